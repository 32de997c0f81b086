"""What is copied and what is not: the deciding part against scripts and a state machine."""

from __future__ import annotations

from collections import deque
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from spoolbarrow.shadow import copy_controller as d
from spoolbarrow.shadow.limits import Allowance, Circuit, CircuitBreaker, Gcra, headroom

ALL = d.Limits(
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


def change(**changes: Any) -> d.Limits:
    return d.Limits(**{**{name: getattr(ALL, name) for name in ALL.__struct_fields__}, **changes})


def taken(request: str, **changes: Any) -> d.RequestReceived:
    plain: dict[str, Any] = {
        "cls": 0,
        "tenant": 0,
        "session": int(request),
        "prompt_tokens": 10,
        "answer_tokens": 10,
    }
    return d.RequestReceived(request, **{**plain, "held_bytes": 100, **changes})


def ready(limits: d.Limits = ALL, engines: int = 2) -> d.CopyController:
    """A decider with a warm pool, at 10,000 ms, its buckets full and its allowance whole."""
    made = d.CopyController(0.0, limits, 1)
    made.allowance.value = 1.0
    made.handle(10_000.0, [d.CandidatePool(tuple(d.Engine(f"c{n}") for n in range(engines)))])
    return made


def copies(actions: list[d.Action]) -> list[d.SendCopy]:
    return [action for action in actions if isinstance(action, d.SendCopy)]


# Which


def test_a_conversation_is_copied_whole_or_not_at_all_and_alike_at_every_router() -> None:
    one, other = (d.CopyController(0.0, change(share=0.3, salt=b"x"), seed) for seed in (1, 2))
    picked = [one.wanted(0.0, taken(str(n))) for n in range(1, 10_001)]
    assert abs(sum(picked) / 10_000 - 0.3) < 0.02
    for n in range(1, 200):
        again = [other.wanted(0.0, taken(str(n + 50_000), session=n)) for _ in range(3)]
        assert set(again) == {picked[n - 1]}
    salted = d.CopyController(0.0, change(share=0.3, salt=b"y"), 1)
    assert [salted.wanted(0.0, taken(str(n))) for n in range(1, 200)] != picked[:199]


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
def test_what_is_not_to_be_copied_is_not(limits: dict[str, Any], event: dict[str, Any]) -> None:
    made = ready(change(**limits))
    assert not copies(made.handle(10_000.0, [taken("1", **event)])) and not made.dropped
    assert copies(ready().handle(10_000.0, [taken("1")]))


# How much


def test_a_bucket_and_its_refill_never_pass_more_than_the_limit_in_any_window() -> None:
    rate, passed = Gcra(100.0, 0.5), deque[tuple[float, float]]()
    most = 0.0
    for step in range(20_000):
        now, cost = step * 0.7, 1.0 + step % 23
        if rate.conforms(now, cost):
            rate.take(now, cost)
            passed.append((now, cost))
        while passed and passed[0][0] <= now - 1000.0:
            passed.popleft()
        most = max(most, sum(c for _, c in passed))
    assert 90.0 < most <= 100.0 + 1e-6
    assert not rate.conforms(1e9, 51.0)


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
def test_each_limit_drops_and_says_so(changes: dict[str, Any], event: dict[str, Any], why: str) -> None:
    made = ready(change(**changes), engines=1)
    actions = made.handle(10_000.0, [taken("1", **event), taken("2", **event)])
    assert len(copies(actions)) == 1 and made.dropped == {why: 1}


@pytest.mark.parametrize(("name", "field", "free", "full"), d.PRESSURES)
def test_each_pressure_of_live_traffic_leaves_less_for_copies(
    name: str, field: str, free: float, full: float
) -> None:
    made = ready(change(in_flight=10, engine_in_flight=10))
    made.handle(10_000.0, [d.Pressure(**{field: free + 0.49 * (full - free)})])
    assert len(copies(made.handle(10_000.0, [taken(str(n)) for n in range(1, 11)]))) == 5
    made.handle(10_000.0, [d.Pressure(**{field: full})])
    assert not copies(made.handle(10_000.0, [taken("99")]))
    assert made.dropped[f"pressure: {name}"] == 1
    made.handle(10_000.0, [d.Pressure()])
    assert copies(made.handle(11_000.0, [taken("100")]))
    assert headroom(full + 1, free, full) == 0.0


def test_trouble_cuts_the_allowance_once_and_success_brings_it_back() -> None:
    made = Allowance(step=0.1, factor=0.5, floor=0.05)
    made.value = 0.8
    made.worse(100.0, begun=50.0)
    made.worse(101.0, begun=60.0)  # begun before the cut: the same trouble
    assert made.value == 0.4
    made.worse(200.0, begun=150.0)
    assert made.value == 0.2
    for _ in range(20):
        made.better()
    assert made.value == 1.0


# Back off


def state(breaker: CircuitBreaker) -> Circuit:
    return breaker.state


def test_the_breaker_opens_tries_one_ever_more_seldom_and_closes() -> None:
    made = CircuitBreaker(2, 100.0, 300.0)
    made.bad(0.0, False)
    made.bad(0.0, False)
    assert state(made) is Circuit.OPEN and not made.allows(99.0)
    for wait, end in ((100.0, 100.0), (200.0, 300.0), (300.0, 600.0)):
        assert not made.allows(end - 1.0) and made.allows(end), wait
        assert made.sent()
        made.good(False)  # an older copy says nothing of now
        assert state(made) is Circuit.HALF_OPEN and not made.allows(end)
        made.bad(end, True)
    assert made.allows(900.0) and made.sent()
    made.good(True)
    assert state(made) is Circuit.CLOSED


def test_a_stalled_candidate_gets_no_more_copies_and_is_told_of_once() -> None:
    made = ready()
    assert len(copies(made.handle(10_000.0, [taken(str(n)) for n in range(1, 5)]))) == 4
    said = made.handle(11_001.0, [])
    assert [s.what for s in said if isinstance(s, d.LogEvent)] == ["breaker open"]
    assert not copies(made.handle(11_002.0, [taken("9")])) and made.dropped["breaker open"] == 1
    gone = made.handle(13_000.0, [])
    assert {a.why for a in gone if isinstance(a, d.CancelCopy)} == {"deadline"} and not made.out()
    assert len(copies(made.handle(13_001.0, [taken("10"), taken("11")]))) == 1  # one tries
    made.handle(13_100.0, [d.CopyStarted("10"), d.CopyEnded("10", True)])
    assert made.breaker.state is Circuit.CLOSED and made.allowance.value < 0.1


def test_switching_off_and_ending_abandon_every_copy() -> None:
    for off in (True, False):
        made = ready()
        out = copies(made.handle(10_000.0, [taken("1"), taken("2")]))
        done = made.configure(10_001.0, change(share=0.0)) if off else made.stop(10_001.0)
        assert {a.request for a in done if isinstance(a, d.CancelCopy)} == {c.request for c in out}
        assert len(out) == 2 and not made.out()
        assert made._held == 0 and not made._in_flight


# Where


def test_a_cold_engine_gets_less_a_draining_one_nothing_and_a_gone_ones_copies_end() -> None:
    made = ready(change(in_flight=20, engine_in_flight=10), engines=0)
    cold = d.Engine("cold", started_at_ms=10_000.0)
    made.handle(10_000.0, [d.CandidatePool((cold, d.Engine("old", serving=False)))])
    found = copies(made.handle(10_000.0, [taken(str(n)) for n in range(1, 11)]))
    assert {c.engine for c in found} == {"cold"} and len(found) == 2  # a fifth of ten
    made.handle(10_000.0, [d.CandidatePool((cold, d.Engine("old")))])
    more = copies(made.handle(10_000.0, [taken(str(n)) for n in range(11, 16)]))
    assert {c.engine for c in more} == {"old"}
    restarted = d.Engine("cold", started_at_ms=12_000.0)
    gone = made.handle(12_000.0, [d.CandidatePool((restarted, d.Engine("old", serving=False)))])
    assert {a.request for a in gone if isinstance(a, d.CancelCopy)} == {c.request for c in found}
    assert set(made.out().values()) == {"old"}


def test_the_less_loaded_of_two_is_taken() -> None:
    made = ready(change(in_flight=20, engine_in_flight=20))
    made.handle(10_000.0, [d.LoadReport("c0", 40_000.0)])
    found = copies(made.handle(10_000.0, [taken(str(n)) for n in range(1, 6)]))
    assert {c.engine for c in found} == {"c1"}


class Machine(RuleBasedStateMachine):
    """Whatever happens: the limits hold, and nothing is kept of what has gone."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.number = 10_000.0, 0
        self.made = d.CopyController(0.0, ALL, 1)
        self.made.allowance.value = 1.0
        self.pool: tuple[d.Engine, ...] = ()
        self.passed: list[tuple[float, int, int]] = []
        self.seen: dict[str, tuple[int, int]] = {}

    def told(self, actions: list[d.Action]) -> None:
        sent = copies(actions)
        for copy in sent:
            self.passed.append((self.now, *self.seen[copy.request]))
            engine = next(e for e in self.pool if e.name == copy.engine)
            assert engine.serving
        if self.made.breaker.state is Circuit.HALF_OPEN and sent:
            assert sum(one.trial for one in self.made._out.values()) == 1

    @rule(number=st.integers(1, 6), prompt=st.integers(1, 1500), answer=st.integers(1, 900))
    def arrive(self, number: int, prompt: int, answer: int) -> None:
        for _ in range(number):
            self.number += 1
            name = str(self.number)
            self.seen[name] = (prompt, answer)
            blocked = not self.made.breaker.allows(self.now)
            event = taken(name, prompt_tokens=prompt, answer_tokens=answer, held_bytes=prompt)
            actions = self.made.handle(self.now, [event])
            assert not (blocked and copies(actions) and self.made.breaker.state is not Circuit.HALF_OPEN)
            self.told(actions)

    @rule(passed=st.sampled_from([1.0, 7.0, 40.0, 300.0, 1200.0]))
    def wait(self, passed: float) -> None:
        self.now += passed
        self.told(self.made.handle(self.now, []))

    @rule(which=st.integers(0, 9), good=st.booleans(), started=st.booleans())
    def end(self, which: int, good: bool, started: bool) -> None:
        out = list(self.made.out())
        if out:
            name = out[which % len(out)]
            events: list[d.Event] = [d.CopyStarted(name)] if started else []
            self.told(self.made.handle(self.now, [*events, d.CopyEnded(name, good)]))
            assert name not in self.made.out()

    @rule(serving=st.lists(st.booleans(), max_size=4), fresh=st.booleans())
    def change_pool(self, serving: list[bool], fresh: bool) -> None:
        at = self.now if fresh else 0.0
        self.pool = tuple(d.Engine(f"c{n}", up, at) for n, up in enumerate(serving))
        self.told(self.made.handle(self.now, [d.CandidatePool(self.pool), d.LoadReport("c0", 100.0)]))
        assert set(self.made.out().values()) <= {e.name for e in self.pool}

    @rule(lag=st.sampled_from([0.0, 10.0, 30.0]), memory=st.sampled_from([0.1, 0.7, 0.9]))
    def press(self, lag: float, memory: float) -> None:
        self.told(self.made.handle(self.now, [d.Pressure(lag_ms=lag, memory_share=memory)]))

    @rule(rate=st.sampled_from([20.0, 40.0]), share=st.sampled_from([0.0, 1.0]))
    def reload(self, rate: float, share: float) -> None:
        self.told(self.made.configure(self.now, change(requests_per_s=rate, share=share)))
        assert share or not self.made.out()

    @invariant()
    def limits_hold(self) -> None:
        made = self.made
        assert len(made._out) <= ALL.in_flight and 0 <= made._held <= ALL.held_bytes
        self.passed = [one for one in self.passed if one[0] > self.now - 1000.0]
        assert len(self.passed) <= 40
        assert sum(prompt for _, prompt, _ in self.passed) <= 4000
        assert sum(answer for _, _, answer in self.passed) <= 2000
        names = set(made._engines)
        assert set(made._unread) <= names and set(made._in_flight) <= names
        assert made._in_flight.total() == len(made._out)
        assert made._held == sum(one.held for one in made._out.values())


Machine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None
)
test_whatever_happens_the_limits_hold = Machine.TestCase
