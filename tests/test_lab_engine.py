"""Tests the engine model: its counts stay consistent, and its waits agree with queueing theory."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from spoolbarrow.lab.engine import Engine, EngineEvent, EngineRequest, EventKind, SubmitResult
from spoolbarrow.lab.kinds import EngineKind as EngineKind
from spoolbarrow.lab.kinds import draw_engine
from spoolbarrow.lab.theory import Queue, compare_with_theory, erlang_c


def engine(now: float = 0.0, cold: bool = False, **changes: object) -> Engine:
    base: dict[str, object] = {
        "slots": 4, "waiting": 4, "memory_tokens": 1024, "block_tokens": 16, "step_ms": 10.0,
        "step_ms_per_running": 0.0, "step_ms_per_1000_context": 0.0, "read_tokens_per_s": 10_000.0,
        "chunk_tokens": 100, "report_noise": 0.0,
    }  # fmt: skip
    kind = EngineKind(**{**base, **changes})  # type: ignore[arg-type]
    return Engine(draw_engine(kind, Random(1)), Random(2), now, cold)


def run_to_end(model: Engine) -> list[EngineEvent]:
    events: list[EngineEvent] = []
    while model.next_event_at() < float("inf"):
        events += model.advance(model.next_event_at())
        model.check()
    return events


def test_prefill_precedes_decode() -> None:
    model = engine()
    assert model.submit(0.0, EngineRequest("a", 150, 3)) is SubmitResult.ACCEPTED
    # 100 tokens in the first step (10 + 10 ms), 50 in the second (10 + 5), then a token every 10 ms.
    events = run_to_end(model)
    assert [(h.kind, h.id, h.kept) for h in events] == [
        (EventKind.STARTED, "a", 0),
        (EventKind.ENDED, "a", 0),
    ]
    assert [h.at for h in events] == pytest.approx([35.0, 55.0])


def test_prompts_are_prefilled_in_order_beside_decoding() -> None:
    model = engine()
    model.submit(0.0, EngineRequest("a", 100, 50))
    model.submit(0.0, EngineRequest("b", 100, 1))
    model.submit(0.0, EngineRequest("c", 100, 1))
    started = [h.id for h in run_to_end(model) if h.kind is EventKind.STARTED]
    assert started == ["a", "b", "c"]


def test_prefill_time_grows_with_the_context_before() -> None:
    """Each prefilled token attends to all before it: a prompt's second chunk takes longer than its first."""
    model = engine(read_ms_per_million_pairs=1000.0)
    model.submit(0.0, EngineRequest("a", 200, 1))
    # 100 tokens: 10 + 10 ms and 100 x 50 pairs, 5 ms; then 100 x 150 pairs, 15 ms.
    assert [h.at for h in run_to_end(model)] == pytest.approx([25.0 + 35.0] * 2)


def test_a_cached_prefix_is_not_prefilled_again() -> None:
    model = engine()
    model.submit(0.0, EngineRequest("a", 100, 1, opening="o", opening_tokens=64, session="s"))
    run_to_end(model)
    model.submit(1000.0, EngineRequest("b", 100, 1, opening="o", opening_tokens=64, session="t"))
    assert run_to_end(model)[0].kept == 64
    # A session's next turn also finds the previous turn in the cache, in whole blocks.
    model.submit(2000.0, EngineRequest("c", 120, 1, opening="o", opening_tokens=64, session="s"))
    assert run_to_end(model)[0].kept == 96


def test_least_recently_used_is_evicted_first() -> None:
    model = engine(memory_tokens=320)
    for n, session in enumerate(("s", "t")):
        model.submit(1000.0 * n, EngineRequest(session, 128, 1, session=session))
        run_to_end(model)
    model.submit(3000.0, EngineRequest("s2", 130, 1, session="s"))
    run_to_end(model)
    model.submit(4000.0, EngineRequest("u", 128, 1, session="u"))
    run_to_end(model)
    assert model.cached_tokens(EngineRequest("x", 200, 1, session="s")) == 128
    assert model.cached_tokens(EngineRequest("x", 200, 1, session="t")) < 128


def test_out_of_memory_the_newest_is_preempted_and_prefilled_again() -> None:
    model = engine(memory_tokens=320)
    for name in "ab":
        model.submit(0.0, EngineRequest(name, 100, 150))
    ended = [h.id for h in run_to_end(model) if h.kind is EventKind.ENDED]
    assert ended == ["a", "b"] and model.preempted > 0 and model.made == 300


def test_a_full_queue_rejects() -> None:
    model = engine(slots=1, waiting=2)
    taken = [model.submit(0.0, EngineRequest(str(n), 100, 100)) for n in range(4)]
    assert taken == [SubmitResult.ACCEPTED] * 3 + [SubmitResult.FULL]


@pytest.mark.parametrize("drops, left", [("none", {"a", "b"}), ("queued", {"a"}), ("all", set())])
def test_a_cancel_drops_what_the_kind_allows(drops: str, left: set[str]) -> None:
    model = engine(slots=1, cancel=drops)
    for name in "ab":
        model.submit(0.0, EngineRequest(name, 100, 20))
    for name in "ab":
        model.cancel(50.0, name)
    assert {h.id for h in run_to_end(model) if h.kind is EventKind.ENDED} == left


def test_an_arrival_cuts_a_leap() -> None:
    model = engine()
    model.submit(0.0, EngineRequest("a", 100, 30))  # first token at 20 ms, then one every 10 ms
    model.advance(21.0)
    model.submit(47.0, EngineRequest("b", 100, 1))  # joins the step at 50: 10 ms and prefill of 99 tokens
    events = [h for h in run_to_end(model) if h.id == "b"]
    assert events[0].at == pytest.approx(50.0 + 19.9 + 10.1)


def test_a_pause_delays_all_that_follows() -> None:
    model = engine()
    model.submit(0.0, EngineRequest("a", 100, 2))
    model.stall(5.0, 505.0)
    model.submit(100.0, EngineRequest("b", 100, 1))
    assert [h.at for h in run_to_end(model)][:1] == [pytest.approx(520.0)]


def test_slow_start_is_slow_and_crashes_under_overload() -> None:
    model = engine(cold=True, cold_from=0.5, cold_ms=1000.0, fall_multiple=2.0, fall_ms=1000.0, waiting=1000)
    model.submit(0.0, EngineRequest("a", 100, 1))
    assert run_to_end(model)[0].at == pytest.approx(40.0)
    rate = model.figures.read_rate()
    fits = int(2.0 * rate * 1000.0 * 0.5 / 100)
    taken = [model.submit(50.0, EngineRequest(str(n), 100, 1)) for n in range(2 * fits)]
    # Allowance for chance as in rule 4: N + 2 x root of N + 2 prompts, one of them accepted before.
    assert taken.index(SubmitResult.CRASHED) == pytest.approx(fits + 2.0 * fits**0.5 + 1.0, rel=0.1)


def test_reports_are_delayed() -> None:
    model = engine(report_every_ms=100.0, report_delay_ms=30.0, waiting=100)
    for n in range(8):
        model.submit(1000.0, EngineRequest(str(n), 60, 1))
    assert model.report(1001.0).queued == 0 and model.load(1001.0).queued == 7
    seen = [model.report(1000.0 + at).unread_tokens for at in range(0, 200, 5)]
    assert seen[0] == 0 and max(seen) > 0


def test_erlang_c_known_values() -> None:
    assert erlang_c(1, 0.7) == pytest.approx(0.7)
    assert erlang_c(2, 1.0) == pytest.approx(1 / 3)


@pytest.mark.parametrize(
    "queue", [Queue(1, 0.7, 20.0), Queue(1, 0.7, 20.0, fixed=True), Queue(4, 0.7, 200.0)], ids=str
)
def test_a_queue_agrees_with_theory(queue: Queue) -> None:
    # With several servers service starts only between steps: half a step, and rounding of service to steps.
    found = compare_with_theory(queue, 20_000, seed=7)
    assert found.holds(slack_ms=0.0 if queue.servers == 1 else 1.0), found


class EngineMachine(RuleBasedStateMachine):
    """An engine under arbitrary operations: nothing is lost, generated twice or held beyond its memory."""

    @initialize(
        slots=st.integers(1, 5), memory=st.integers(6, 40), chunk=st.integers(1, 80), cold=st.booleans(),
        cancel=st.sampled_from(["none", "queued", "all"]), keeps=st.booleans(),
    )  # fmt: skip
    def begin(self, slots: int, memory: int, chunk: int, cold: bool, cancel: str, keeps: bool) -> None:
        self.now = 0.0
        self.model = engine(
            0.0, cold, slots=slots, memory_tokens=memory * 16, chunk_tokens=chunk, cancel=cancel,
            keeps_answers=keeps, cold_ms=500.0, step_ms_per_1000_context=5.0,
        )  # fmt: skip
        self.requests: dict[str, EngineRequest] = {}
        self.dropped: set[str] = set()
        self.started: dict[str, float] = {}
        self.ended: dict[str, float] = {}

    @rule(prompt=st.integers(1, 300), answer=st.integers(1, 60), opening=st.integers(0, 3),
          shared=st.integers(0, 300), session=st.integers(0, 4))  # fmt: skip
    def submit(self, prompt: int, answer: int, opening: int, shared: int, session: int) -> None:
        work = EngineRequest(
            str(len(self.requests)), prompt, answer, opening or None, shared, session or None
        )
        taken = self.model.submit(self.now, work)
        self.requests[work.id] = work
        if taken is not SubmitResult.ACCEPTED:
            self.dropped.add(work.id)

    @rule(which=st.integers(0, 30))
    def cancel(self, which: int) -> None:
        self.model.cancel(self.now, str(which))
        self.dropped.add(str(which))

    @rule(ms=st.floats(0.0, 400.0))
    def pass_time(self, ms: float) -> None:
        self.now += ms
        self.check_events()

    @rule(ms=st.floats(0.0, 300.0))
    def stall(self, ms: float) -> None:
        self.model.stall(self.now, self.now + ms)

    @rule(factor=st.sampled_from([0.5, 1.0, 4.0]), work=st.floats(0.0, 5.0))
    def trouble(self, factor: float, work: float) -> None:
        self.model.slowed(self.now, factor)
        self.model.add_overhead(self.now, work)

    def check_events(self) -> None:
        for event in self.model.advance(self.now):
            table = self.started if event.kind is EventKind.STARTED else self.ended
            assert event.id not in table and event.id in self.requests and event.at <= self.now
            assert 0 <= event.kept < self.requests[event.id].prompt
            table[event.id] = event.at
            assert event.id in self.started and self.started[event.id] <= event.at

    @invariant()
    def counts_are_consistent(self) -> None:
        if hasattr(self, "model"):
            self.model.check()

    def teardown(self) -> None:
        if not hasattr(self, "model"):
            return
        while self.model.next_event_at() < float("inf"):
            self.now = self.model.next_event_at()
            self.check_events()
            self.model.check()
        whole = set(self.requests) - self.dropped
        assert whole <= set(self.ended), "a request was lost"
        assert not self.model.jobs and self.model.memory.held == 0 and self.model.unread == 0
        if self.model.figures.cancel != "all":
            assert self.model.made == sum(self.requests[name].answer for name in self.ended)


EngineMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
TestEngineMachine = EngineMachine.TestCase
