"""Calls to the list service by many routers that share nothing: bounds of each, and what they do together."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from spoolbarrow import interface as i
from spoolbarrow.config import Options
from spoolbarrow.fleet.pacing import (
    FIRST_CALL_SHARE,
    LIST_DEADLINE_MS,
    Pacing,
    call_spread_ms,
    hung_retry_ms,
    silent_retry_ms,
)
from spoolbarrow.lab.callers import BEGINNINGS, CASES, CLASSES, RATES, WAYS, Beginning, Result, heard, play
from spoolbarrow.router import Router

BEFORE, *_, TOLD, BOUND, CHOSEN = WAYS
QUEUE_MS = 2_000.0  # that a call may wait at a service that answers all within the clock
MARGIN_MS = 500.0


def facts(nodes: int, node: int = 0, must_ask: float = 10_000.0, rate: float = 0.0) -> i.Settings:
    return i.Settings(
        nodes=nodes, classes=CLASSES, node=node, must_ask_ms=must_ask, list_rate=rate, subscribe=True
    )


def plays(way: str, case: int, rate: float, routers: int = 200) -> list[Result]:
    _, known, down = CASES[case]
    return [play(WAYS[way], routers, rate, known, down, seed) for seed in range(3)]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    some.integers(1, 500),
    some.integers(0, 499),
    some.sampled_from([0.0, 4_000.0, 10_000.0]),
    some.sampled_from([0.0, 5.0, 50.0]),
    some.lists(some.sampled_from([0.0, 3_000.0]), max_size=30),
    some.integers(0, 999),
)
def test_no_call_is_later_than_the_settings_allow(
    nodes: int, node: int, must_ask: float, rate: float, waits: list[float], seed: int
) -> None:
    """What was under way when the service came back is not the last chance: the next call fits the clock."""
    settings, rng = facts(nodes, node % nodes, must_ask, rate), Random(seed)
    one, last = Pacing(settings, rng), LIST_DEADLINE_MS - MARGIN_MS - QUEUE_MS
    first = one.first_call_ms()
    for pause in (first, one.watch_ended_ms()):
        assert pause >= 0.0 and (not must_ask or pause <= min(last, FIRST_CALL_SHARE * must_ask))
    for wait in waits:
        begun = min(wait, hung_retry_ms(settings, rng, False))  # of the call before, if none hung meanwhile
        assert not must_ask or begun + one.call_failed_ms(wait) <= last
    if not rate:
        assert first <= min(3_000.0, 40.0 * nodes)  # a start is as quick as it was
        one.call_answered()
        assert one.call_failed_ms(0.0) <= 1_000.0  # and so is the first retry


@settings(derandomize=True, max_examples=100, deadline=None)
@given(some.integers(0, 5_000), some.integers(0, 999))
def test_a_silent_watch_and_a_call_that_hangs_fit_the_clock(mute: int, seed: int) -> None:
    options, rng = Options(), Random(seed)
    last = LIST_DEADLINE_MS - MARGIN_MS - QUEUE_MS
    assert options.watch_silence_ms + silent_retry_ms(mute, rng) <= last
    assert (
        1_500.0 <= hung_retry_ms(facts(200), rng, False) <= last
    )  # two calls open at once at most: 3.2 s each
    assert options.call_timeout_ms + silent_retry_ms(0, rng) <= last < 3_400.0 + QUEUE_MS
    assert (
        hung_retry_ms(facts(200), rng, True) > options.call_timeout_ms
    )  # none beside one that stands in a queue


@pytest.mark.parametrize("among", [range(20), range(100, 120), range(0, 200, 10), range(3, 200, 4)])
def test_whichever_routers_start_together_lie_evenly(among: range) -> None:
    spread = call_spread_ms(facts(200, rate=10.0))
    times = sorted(Pacing(facts(200, node, rate=10.0), Random(node)).first_call_ms() for node in among)
    for tenth in range(10):
        part = [at for at in times if tenth <= 10 * at / spread < tenth + 1]
        assert 0.4 * len(times) / 10 <= len(part) <= 1.6 * len(times) / 10 + 1


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("case", range(2))
def test_where_the_rate_is_told_the_service_is_spared(case: int, rate: float) -> None:
    """200 routers in one second: 1.1 calls each at most, 1 % failed, half of the time-out waited."""
    for result in plays(TOLD, case, rate):
        assert result.calls <= 1.1 and result.failed <= 0.01 and result.queue <= 0.5
        assert result.last <= 1.35


@pytest.mark.parametrize("case", range(len(CASES)))
def test_where_it_is_not_the_service_is_never_idle_and_no_wave_keeps_a_router_out(case: int) -> None:
    """Too slow a service for the clock: all have the list within 1.25 times the least time that it needs."""
    for rate in RATES:
        for result in plays(CHOSEN, case, rate):
            assert result.last <= 1.25 and result.half <= 1.25
            assert result.calls <= 1.0 + 60.0 / rate  # of a router, in the 200 / RATE s: one in 3.3 s


@pytest.mark.parametrize("beginning", BEGINNINGS)
@pytest.mark.parametrize("routers, rate", [(1, 10.0), (40, 15.0), (200, 45.0), (200, 75.0)])
def test_all_hear_within_the_clock_at_a_service_that_can_answer_so_many(
    beginning: Beginning, routers: int, rate: float
) -> None:
    """Bound: 5.5 s from when the service could be reached; 1.5 calls a router, 1 % of them in vain."""
    if beginning == "silent at once" and rate == 45.0:
        return  # calls come within 0.25 s, 2.5 s after: it takes 75 a second
    for seed in range(20):
        found = heard(beginning, routers, rate, seed)
        assert max(found.told) <= LIST_DEADLINE_MS - MARGIN_MS
        assert found.calls <= 1.5 * routers and found.failed <= 0.01 * found.calls


def test_the_decisions_call_by_it() -> None:
    router = Router(facts(200, 7), 1)
    timers = [a for a in router.handle(1_000.0, []) if isinstance(a, i.SetTimer) and a.token == "list"]
    assert len(timers) == 1 and 0.0 <= timers[0].in_ms <= 3_000.0
    (asked,) = router.handle(4_000.0, [i.TimerFired("list")])
    assert isinstance(asked, i.Subscribe)
    (vain,) = router.handle(7_000.0, [i.ReplicaList(i.ListKind.FAILED)])
    assert isinstance(vain, i.SetTimer) and 500.0 <= vain.in_ms <= 1_000.0


def test_a_call_is_made_at_the_time_set_last_however_many_failures_were_told() -> None:
    """A reload's own watch fails beside the call that the decisions wait for: no second series begins."""
    router = Router(facts(1), seed=1)
    timers: list[float] = []
    calls: list[tuple[float, float]] = []  # when each was made, and when the last timer was to fire
    last = 0.0

    def handle(now: float, *events: i.Event) -> None:
        nonlocal last
        for action in router.handle(now, list(events)):
            if isinstance(action, i.SetTimer) and action.token == "list":
                last = now + action.in_ms
                timers.append(last)
            elif isinstance(action, i.Subscribe):
                calls.append((now, last))

    failed = i.ReplicaList(i.ListKind.FAILED)
    handle(0.0)
    while len(calls) < 20:
        now = timers.pop(timers.index(min(timers)))
        before = len(calls)
        handle(now, i.TimerFired("list"))
        if len(calls) > before:
            for told in range(1 + len(calls) % 3):  # one failure, or more: of watches that reloads began
                handle(now + 1.0 + told, failed)
    assert all(made == due for made, due in calls), calls
