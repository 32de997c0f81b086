"""Tests of calls to the list service by uncoordinated routers: limits of each, and their joint effect."""

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
from spoolbarrow.lab.list_call_simulation import (
    CASES,
    CLASSES,
    RATES_PER_S,
    START_CONDITIONS,
    STRATEGIES,
    Result,
    StartCondition,
    simulate,
    simulate_notifications,
)
from spoolbarrow.router import Router

BEFORE, *_, TOLD, BOUND, CHOSEN = STRATEGIES
QUEUE_MS = 2_000.0  # longest wait of a call at a service that answers all within the deadline
MARGIN_MS = 500.0


def make_settings(nodes: int, node: int = 0, must_ask: float = 10_000.0, rate: float = 0.0) -> i.Settings:
    return i.Settings(
        nodes=nodes, classes=CLASSES, node=node, must_ask_ms=must_ask, list_rate=rate, subscribe=True
    )


def plays(way: str, case: int, rate: float, routers: int = 200) -> list[Result]:
    _, known, down = CASES[case]
    return [simulate(STRATEGIES[way], routers, rate, known, down, seed) for seed in range(3)]


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
    """After a recovery of the service, the call under way may fail: the next one is within the deadline."""
    settings, rng = make_settings(nodes, node % nodes, must_ask, rate), Random(seed)
    pacing, last = Pacing(settings, rng), LIST_DEADLINE_MS - MARGIN_MS - QUEUE_MS
    first = pacing.first_call_ms()
    for pause in (first, pacing.watch_ended_ms()):
        assert pause >= 0.0 and (not must_ask or pause <= min(last, FIRST_CALL_SHARE * must_ask))
    for wait in waits:
        begun = min(wait, hung_retry_ms(settings, rng, False))  # of the previous call, if none hung meanwhile
        assert not must_ask or begun + pacing.call_failed_ms(wait) <= last
    if not rate:
        assert first <= min(3_000.0, 40.0 * nodes)  # a start is not delayed
        pacing.call_answered()
        assert pacing.call_failed_ms(0.0) <= 1_000.0  # nor is the first retry


@settings(derandomize=True, max_examples=100, deadline=None)
@given(some.integers(0, 5_000), some.integers(0, 999))
def test_a_silent_watch_and_a_hung_call_stay_within_the_deadline(mute: int, seed: int) -> None:
    options, rng = Options(), Random(seed)
    last = LIST_DEADLINE_MS - MARGIN_MS - QUEUE_MS
    assert options.watch_silence_ms + silent_retry_ms(mute, rng) <= last
    # At most two calls are open at once, of 3.2 s each.
    assert 1_500.0 <= hung_retry_ms(make_settings(200), rng, False) <= last
    assert options.call_timeout_ms + silent_retry_ms(0, rng) <= last < 3_400.0 + QUEUE_MS
    # There is no call beside a queued one.
    assert hung_retry_ms(make_settings(200), rng, True) > options.call_timeout_ms


@pytest.mark.parametrize("among", [range(20), range(100, 120), range(0, 200, 10), range(3, 200, 4)])
def test_calls_of_routers_that_start_together_are_spread_evenly(among: range) -> None:
    spread = call_spread_ms(make_settings(200, rate=10.0))
    times = sorted(
        Pacing(make_settings(200, node, rate=10.0), Random(node)).first_call_ms() for node in among
    )
    for tenth in range(10):
        part = [at for at in times if tenth <= 10 * at / spread < tenth + 1]
        assert 0.4 * len(times) / 10 <= len(part) <= 1.6 * len(times) / 10 + 1


@pytest.mark.parametrize("rate", RATES_PER_S)
@pytest.mark.parametrize("case", range(2))
def test_a_configured_rate_prevents_overload(case: int, rate: float) -> None:
    """200 routers start in one second: at most 1.1 calls each, 1 % failed, and half the timeout waited."""
    for result in plays(TOLD, case, rate):
        assert result.calls <= 1.1 and result.failed <= 0.01 and result.queue <= 0.5
        assert result.last <= 1.35


@pytest.mark.parametrize("case", range(len(CASES)))
def test_without_a_rate_the_service_is_never_idle_and_every_router_gets_the_list(case: int) -> None:
    """A service too slow for the deadline: all have the list within 1.25 times the least time it needs."""
    for rate in RATES_PER_S:
        for result in plays(CHOSEN, case, rate):
            assert result.last <= 1.25 and result.half <= 1.25
            assert result.calls <= 1.0 + 60.0 / rate  # of one router in the 200 / RATE s: one in 3.3 s


@pytest.mark.parametrize("beginning", START_CONDITIONS)
@pytest.mark.parametrize("routers, rate", [(1, 10.0), (40, 15.0), (200, 45.0), (200, 75.0)])
def test_all_routers_have_changes_within_the_deadline_at_a_sufficient_rate(
    beginning: StartCondition, routers: int, rate: float
) -> None:
    """Limits: 5.5 s after the service is reachable; 1.5 calls per router, 1 % of them failed."""
    if beginning == "silent at once" and rate == 45.0:
        return  # all calls come within 0.25 s, after 2.5 s, which needs a rate of 75 per second
    for seed in range(20):
        found = simulate_notifications(beginning, routers, rate, seed)
        assert max(found.notified_after_ms) <= LIST_DEADLINE_MS - MARGIN_MS
        assert found.calls <= 1.5 * routers and found.failed <= 0.01 * found.calls


def test_the_router_uses_these_pauses() -> None:
    router = Router(make_settings(200, 7), 1)
    timers = [a for a in router.handle(1_000.0, []) if isinstance(a, i.SetTimer) and a.token == "list"]
    assert len(timers) == 1 and 0.0 <= timers[0].in_ms <= 3_000.0
    (asked,) = router.handle(4_000.0, [i.TimerFired("list")])
    assert isinstance(asked, i.Subscribe)
    (vain,) = router.handle(7_000.0, [i.ReplicaList(i.ListKind.FAILED)])
    assert isinstance(vain, i.SetTimer) and 500.0 <= vain.in_ms <= 1_000.0


def test_a_call_is_made_when_the_last_timer_is_due_after_any_number_of_failures() -> None:
    """A failed watch of a reload, beside a pending call, must not start a second series of calls."""
    router = Router(make_settings(1), seed=1)
    timers: list[float] = []
    calls: list[tuple[float, float]] = []  # time of each call, and when the last timer was due
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
            for number in range(1 + len(calls) % 3):  # one failure or more, from watches that reloads started
                handle(now + 1.0 + number, failed)
    assert all(made == due for made, due in calls), calls
