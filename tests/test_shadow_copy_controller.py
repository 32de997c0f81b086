"""Tests the copy controller with scripted events and a state machine."""

from __future__ import annotations

from collections import deque
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from spoolbarrow.shadow import copy_controller as d
from spoolbarrow.shadow.limits import Allowance, Circuit, CircuitBreaker, Gcra, headroom

ALL_LIMITS = d.Limits(
    share=1.0,
    classes=frozenset({0, 1}),
    in_flight=4,
    engine_in_flight=3,
    requests_per_s=40.0,
    prompt_tokens_per_s=4000.0,
    answer_tokens_per_s=2000.0,
    held_bytes=5000,
    deadline_ms=3000.0,
    slow_first_ms=1000.0,
    bad_copies=3,
    open_ms=500.0,
    most_open_ms=4000.0,
)


def make_limits(**changes: Any) -> d.Limits:
    return d.Limits(
        **{**{name: getattr(ALL_LIMITS, name) for name in ALL_LIMITS.__struct_fields__}, **changes}
    )


def received(request: str, **changes: Any) -> d.RequestReceived:
    defaults: dict[str, Any] = {
        "cls": 0,
        "tenant": 0,
        "session": int(request),
        "prompt_tokens": 10,
        "answer_tokens": 10,
    }
    return d.RequestReceived(request, **{**defaults, "held_bytes": 100, **changes})


def ready_controller(limits: d.Limits = ALL_LIMITS, engines: int = 2) -> d.CopyController:
    """A controller with a warm pool at 10,000 ms, with full buckets and the full allowance."""
    controller = d.CopyController(0.0, limits, 1)
    controller.allowance.value = 1.0
    controller.handle(10_000.0, [d.CandidatePool(tuple(d.Engine(f"c{n}") for n in range(engines)))])
    return controller


def sent_copies(actions: list[d.Action]) -> list[d.SendCopy]:
    return [action for action in actions if isinstance(action, d.SendCopy)]


# Selection


def test_sessions_are_copied_completely_or_not_at_all_and_equally_at_every_router() -> None:
    one, other = (d.CopyController(0.0, make_limits(share=0.3, salt=b"x"), seed) for seed in (1, 2))
    picked = [one.wanted(0.0, received(str(n))) for n in range(1, 10_001)]
    assert abs(sum(picked) / 10_000 - 0.3) < 0.02
    for n in range(1, 200):
        again = [other.wanted(0.0, received(str(n + 50_000), session=n)) for _ in range(3)]
        assert set(again) == {picked[n - 1]}
    salted = d.CopyController(0.0, make_limits(share=0.3, salt=b"y"), 1)
    assert [salted.wanted(0.0, received(str(n))) for n in range(1, 200)] != picked[:199]


@pytest.mark.parametrize(
    ("limits", "event"),
    [
        ({}, {"retry": True}),
        ({}, {"cls": 2}),
        ({"tenants": frozenset({1})}, {}),
        ({"shares": {(0, 0): 0.0}}, {}),
        ({"begin_ms": 10_001.0}, {}),
        ({"end_ms": 10_000.0}, {}),
        ({"share": 0.0}, {}),
    ],
)
def test_excluded_requests_are_not_copied(limits: dict[str, Any], event: dict[str, Any]) -> None:
    controller = ready_controller(make_limits(**limits))
    assert not sent_copies(controller.handle(10_000.0, [received("1", **event)])) and not controller.dropped
    assert sent_copies(ready_controller().handle(10_000.0, [received("1")]))


# Limits


def test_a_bucket_and_its_refill_never_pass_more_than_the_limit_in_any_window() -> None:
    limiter, passed = Gcra(100.0, 0.5), deque[tuple[float, float]]()
    most = 0.0
    for step in range(20_000):
        now, cost = step * 0.7, 1.0 + step % 23
        if limiter.conforms(now, cost):
            limiter.charge(now, cost)
            passed.append((now, cost))
        while passed and passed[0][0] <= now - 1000.0:
            passed.popleft()
        most = max(most, sum(c for _, c in passed))
    assert 90.0 < most <= 100.0 + 1e-6
    assert not limiter.conforms(1e9, 51.0)


@pytest.mark.parametrize(
    ("changes", "event", "why"),
    [
        ({"in_flight": 1}, {}, "copies in flight"),
        ({"held_bytes": 150}, {}, "bytes held"),
        ({"requests_per_s": 4.0}, {}, "requests a second"),
        ({"prompt_tokens_per_s": 30.0}, {}, "prompt tokens a second"),
        ({"answer_tokens_per_s": 30.0}, {}, "answer tokens a second"),
        ({"engine_in_flight": 1}, {}, "no engine with room"),
    ],
)
def test_each_limit_drops_copies_with_its_reason(
    changes: dict[str, Any], event: dict[str, Any], why: str
) -> None:
    controller = ready_controller(make_limits(**changes), engines=1)
    actions = controller.handle(10_000.0, [received("1", **event), received("2", **event)])
    assert len(sent_copies(actions)) == 1 and controller.dropped == {why: 1}


@pytest.mark.parametrize(("name", "field", "free", "full"), d.PRESSURES)
def test_each_pressure_of_live_traffic_reduces_copies(
    name: str, field: str, free: float, full: float
) -> None:
    controller = ready_controller(make_limits(in_flight=10, engine_in_flight=10))
    controller.handle(10_000.0, [d.Pressure(**{field: free + 0.49 * (full - free)})])
    assert len(sent_copies(controller.handle(10_000.0, [received(str(n)) for n in range(1, 11)]))) == 5
    controller.handle(10_000.0, [d.Pressure(**{field: full})])
    assert not sent_copies(controller.handle(10_000.0, [received("99")]))
    assert controller.dropped[f"pressure: {name}"] == 1
    controller.handle(10_000.0, [d.Pressure()])
    assert sent_copies(controller.handle(11_000.0, [received("100")]))
    assert headroom(full + 1, free, full) == 0.0


def test_an_incident_cuts_the_allowance_once_and_successes_restore_it() -> None:
    allowance = Allowance(step=0.1, factor=0.5, floor=0.05)
    allowance.value = 0.8
    allowance.decrease(100.0, sent_at=50.0)
    allowance.decrease(101.0, sent_at=60.0)  # sent before the cut: the same incident
    assert allowance.value == 0.4
    allowance.decrease(200.0, sent_at=150.0)
    assert allowance.value == 0.2
    for _ in range(20):
        allowance.increase()
    assert allowance.value == 1.0


# Backoff


def state(breaker: CircuitBreaker) -> Circuit:
    return breaker.state


def test_the_breaker_opens_sends_trials_at_growing_intervals_and_closes() -> None:
    breaker = CircuitBreaker(2, 100.0, 300.0)
    breaker.record_failure(0.0, False)
    breaker.record_failure(0.0, False)
    assert state(breaker) is Circuit.OPEN and not breaker.allows(99.0)
    for wait, end in ((100.0, 100.0), (200.0, 300.0), (300.0, 600.0)):
        assert not breaker.allows(end - 1.0) and breaker.allows(end), wait
        assert breaker.sent()
        breaker.record_success(False)  # an older copy does not count
        assert state(breaker) is Circuit.HALF_OPEN and not breaker.allows(end)
        breaker.record_failure(end, True)
    assert breaker.allows(900.0) and breaker.sent()
    breaker.record_success(True)
    assert state(breaker) is Circuit.CLOSED


def test_a_stalled_candidate_gets_no_more_copies_and_is_logged_once() -> None:
    controller = ready_controller()
    assert len(sent_copies(controller.handle(10_000.0, [received(str(n)) for n in range(1, 5)]))) == 4
    logged = controller.handle(11_001.0, [])
    assert [s.what for s in logged if isinstance(s, d.LogEvent)] == ["breaker open"]
    assert (
        not sent_copies(controller.handle(11_002.0, [received("9")]))
        and controller.dropped["breaker open"] == 1
    )
    expired = controller.handle(13_000.0, [])
    assert {a.why for a in expired if isinstance(a, d.CancelCopy)} == {
        "deadline"
    } and not controller.copies_in_flight()
    assert len(sent_copies(controller.handle(13_001.0, [received("10"), received("11")]))) == 1  # one trial
    controller.handle(13_100.0, [d.CopyStarted("10"), d.CopyEnded("10", True)])
    assert controller.breaker.state is Circuit.CLOSED and controller.allowance.value < 0.1


def test_switching_off_and_stopping_cancel_every_copy() -> None:
    for off in (True, False):
        controller = ready_controller()
        copies = sent_copies(controller.handle(10_000.0, [received("1"), received("2")]))
        actions = controller.configure(10_001.0, make_limits(share=0.0)) if off else controller.stop(10_001.0)
        assert {a.request for a in actions if isinstance(a, d.CancelCopy)} == {c.request for c in copies}
        assert len(copies) == 2 and not controller.copies_in_flight()
        assert controller._held_bytes == 0 and not controller._in_flight_by_engine


# Placement


def test_a_starting_engine_gets_fewer_copies_a_draining_or_removed_one_none() -> None:
    controller = ready_controller(make_limits(in_flight=20, engine_in_flight=10), engines=0)
    starting = d.Engine("cold", started_at_ms=10_000.0)
    controller.handle(10_000.0, [d.CandidatePool((starting, d.Engine("old", serving=False)))])
    first_copies = sent_copies(controller.handle(10_000.0, [received(str(n)) for n in range(1, 11)]))
    assert {c.engine for c in first_copies} == {"cold"} and len(first_copies) == 2  # a fifth of ten
    controller.handle(10_000.0, [d.CandidatePool((starting, d.Engine("old")))])
    later_copies = sent_copies(controller.handle(10_000.0, [received(str(n)) for n in range(11, 16)]))
    assert {c.engine for c in later_copies} == {"old"}
    restarted = d.Engine("cold", started_at_ms=12_000.0)
    actions = controller.handle(12_000.0, [d.CandidatePool((restarted, d.Engine("old", serving=False)))])
    assert {a.request for a in actions if isinstance(a, d.CancelCopy)} == {c.request for c in first_copies}
    assert set(controller.copies_in_flight().values()) == {"old"}


def test_the_less_loaded_of_two_engines_is_chosen() -> None:
    controller = ready_controller(make_limits(in_flight=20, engine_in_flight=20))
    controller.handle(10_000.0, [d.LoadReport("c0", 40_000.0)])
    copies = sent_copies(controller.handle(10_000.0, [received(str(n)) for n in range(1, 6)]))
    assert {c.engine for c in copies} == {"c1"}


class CopyControllerMachine(RuleBasedStateMachine):
    """Any sequence of events: the limits hold, and no state of removed engines or copies is kept."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.number = 10_000.0, 0
        self.controller = d.CopyController(0.0, ALL_LIMITS, 1)
        self.controller.allowance.value = 1.0
        self.pool: tuple[d.Engine, ...] = ()
        self.passed: list[tuple[float, int, int]] = []
        self.costs: dict[str, tuple[int, int]] = {}

    def check_actions(self, actions: list[d.Action]) -> None:
        sent = sent_copies(actions)
        for copy in sent:
            self.passed.append((self.now, *self.costs[copy.request]))
            engine = next(e for e in self.pool if e.name == copy.engine)
            assert engine.serving
        if self.controller.breaker.state is Circuit.HALF_OPEN and sent:
            assert sum(one.trial for one in self.controller._copies.values()) == 1

    @rule(number=st.integers(1, 6), prompt=st.integers(1, 1500), answer=st.integers(1, 900))
    def arrive(self, number: int, prompt: int, answer: int) -> None:
        for _ in range(number):
            self.number += 1
            name = str(self.number)
            self.costs[name] = (prompt, answer)
            blocked = not self.controller.breaker.allows(self.now)
            event = received(name, prompt_tokens=prompt, answer_tokens=answer, held_bytes=prompt)
            actions = self.controller.handle(self.now, [event])
            assert not (
                blocked and sent_copies(actions) and self.controller.breaker.state is not Circuit.HALF_OPEN
            )
            self.check_actions(actions)

    @rule(passed=st.sampled_from([1.0, 7.0, 40.0, 300.0, 1200.0]))
    def wait(self, passed: float) -> None:
        self.now += passed
        self.check_actions(self.controller.handle(self.now, []))

    @rule(which=st.integers(0, 9), good=st.booleans(), started=st.booleans())
    def end(self, which: int, good: bool, started: bool) -> None:
        out = list(self.controller.copies_in_flight())
        if out:
            name = out[which % len(out)]
            events: list[d.Event] = [d.CopyStarted(name)] if started else []
            self.check_actions(self.controller.handle(self.now, [*events, d.CopyEnded(name, good)]))
            assert name not in self.controller.copies_in_flight()

    @rule(serving=st.lists(st.booleans(), max_size=4), fresh=st.booleans())
    def change_pool(self, serving: list[bool], fresh: bool) -> None:
        at = self.now if fresh else 0.0
        self.pool = tuple(d.Engine(f"c{n}", up, at) for n, up in enumerate(serving))
        self.check_actions(
            self.controller.handle(self.now, [d.CandidatePool(self.pool), d.LoadReport("c0", 100.0)])
        )
        assert set(self.controller.copies_in_flight().values()) <= {e.name for e in self.pool}

    @rule(lag=st.sampled_from([0.0, 10.0, 30.0]), memory=st.sampled_from([0.1, 0.7, 0.9]))
    def press(self, lag: float, memory: float) -> None:
        self.check_actions(self.controller.handle(self.now, [d.Pressure(lag_ms=lag, memory_share=memory)]))

    @rule(rate=st.sampled_from([20.0, 40.0]), share=st.sampled_from([0.0, 1.0]))
    def reload(self, rate: float, share: float) -> None:
        self.check_actions(self.controller.configure(self.now, make_limits(requests_per_s=rate, share=share)))
        assert share or not self.controller.copies_in_flight()

    @invariant()
    def limits_hold(self) -> None:
        controller = self.controller
        assert (
            len(controller._copies) <= ALL_LIMITS.in_flight
            and 0 <= controller._held_bytes <= ALL_LIMITS.held_bytes
        )
        self.passed = [one for one in self.passed if one[0] > self.now - 1000.0]
        assert len(self.passed) <= 40
        assert sum(prompt for _, prompt, _ in self.passed) <= 4000
        assert sum(answer for _, _, answer in self.passed) <= 2000
        names = set(controller._engines)
        assert set(controller._unread_tokens) <= names and set(controller._in_flight_by_engine) <= names
        assert controller._in_flight_by_engine.total() == len(controller._copies)
        assert controller._held_bytes == sum(one.held for one in controller._copies.values())


CopyControllerMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None
)
test_limits_hold_under_any_sequence_of_events = CopyControllerMachine.TestCase
