"""Calls to the list service by many routers that share nothing: bounds of each, and what they do together."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from spoolbarrow import interface as i
from spoolbarrow.fleet.pacing import PATIENCE, Pacing, spread_ms
from spoolbarrow.lab.callers import CASES, CLASSES, RATES, WAYS, Result, play
from spoolbarrow.router import Router

BEFORE, *_, TOLD, BOUND, CHOSEN = WAYS


def facts(nodes: int, node: int = 0, must_ask: float = 10_000.0, rate: float = 0.0) -> i.Settings:
    return i.Settings(
        nodes=nodes, classes=CLASSES, node=node, must_ask_ms=must_ask, list_rate=rate, subscribe=True
    )


def plays(way: str, case: int, rate: float, routers: int = 200) -> list[Result]:
    _, known, down = CASES[case]
    return [play(WAYS[way], routers, rate, known, down, seed) for seed in range(3)]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    some.integers(1, 500), some.integers(0, 499), some.sampled_from([0.0, 4_000.0, 10_000.0]),
    some.sampled_from([0.0, 5.0, 50.0]), some.lists(some.sampled_from([0.0, 3_000.0]), max_size=30),
    some.integers(0, 999),
)
def test_no_call_is_later_than_the_settings_allow(
    nodes: int, node: int, must_ask: float, rate: float, waits: list[float], seed: int
) -> None:
    one = Pacing(facts(nodes, node % nodes, must_ask, rate), Random(seed))
    first = one.first()
    for pause in (first, one.broke()):
        assert pause >= 0.0 and (not must_ask or pause <= PATIENCE * must_ask)
    for wait in waits:
        pause = one.failed(wait)
        assert not must_ask or wait + pause < 4.0 * must_ask  # after a failed call it is four times as long
    if not rate:
        assert first <= min(3_000.0, 40.0 * nodes)  # a start is as quick as it was
        one.answered()
        assert one.failed(0.0) <= 1_000.0  # and so is the first retry


@pytest.mark.parametrize("among", [range(20), range(100, 120), range(0, 200, 10), range(3, 200, 4)])
def test_whichever_routers_start_together_lie_evenly(among: range) -> None:
    spread = spread_ms(facts(200, rate=10.0))
    times = sorted(Pacing(facts(200, node, rate=10.0), Random(node)).first() for node in among)
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
def test_where_it_is_not_fewer_calls_wait_in_vain_than_before(case: int) -> None:
    for rate in RATES:
        for way in (CHOSEN, BOUND):
            now = sum(result.calls for result in plays(way, case, rate))
            assert now <= 1.05 * sum(result.calls for result in plays(BEFORE, case, rate))
    ours, before = (sum(r.calls for r in plays(way, case, 5.0)) for way in (CHOSEN, BEFORE))
    assert ours < 0.85 * before


def test_the_decisions_call_by_it() -> None:
    router = Router(facts(200, 7), 1)
    timers = [a for a in router.handle(1_000.0, []) if isinstance(a, i.SetTimer) and a.token == "list"]
    assert len(timers) == 1 and 0.0 <= timers[0].in_ms <= 3_000.0
    (asked,) = router.handle(4_000.0, [i.TimerFired("list")])
    assert isinstance(asked, i.Subscribe)
    (vain,) = router.handle(7_000.0, [i.ReplicaList(i.ListKind.FAILED)])
    assert isinstance(vain, i.SetTimer) and 3_000.0 <= vain.in_ms <= 6_000.0  # twice the span of 3 s
