"""Tests that all routers together stay within the budget of engines that have just started.

The real decisions in virtual time (`lab/slow_start_load.py`): 1 to 36 routers under random settings and
traffic, with bursts, clients that retry, engines that hang or are removed, and probes without a load report.
The work sent to each start within any span of `tip_after_ms` must stay within N + 2 x root of N + 2 requests
of mean work, for an N under 30 N + 3 x root of N + 3.
"""

from __future__ import annotations

from random import Random

import pytest

from spoolbarrow.interface import RequestClass, Settings
from spoolbarrow.lab.cold_engine import tolerated_requests
from spoolbarrow.lab.slow_start_load import Burst, Case, play

# Seeds of `random_case` at which engines crashed while the chance to be sent to an engine in slow start was
# computed from the requests that clients asked for, not from those that began.
CRASH_SEEDS = {
    2033: "24 routers in three zones, half of the engines hung, the others gone",
    2050: "12 routers without probes",
    2079: "36 routers, one opening has much of the traffic, deadlines of 1.5 s",
    2151: "6 routers, three engines",
    2213: "6 routers in three zones, three kinds of engine",
    2300: "36 routers, no burst",
    2312: "36 routers, half of 20 engines gone",
    2346: "24 routers in three zones, long deadlines beside short ones",
    2360: "36 routers, clients that ask once",
    2377: "36 routers without probes",
}


def _classes(rng: Random) -> tuple[RequestClass, ...]:
    return tuple(
        RequestClass(
            aim_ms=rng.choice([400.0, 1200.0, 3000.0]),
            deadline_ms=rng.choice([1500.0, 4000.0, 15000.0]),
            worth=rng.choice([1.0, 3.0]),
            name=f"class-{number}",
            token_aim_ms=rng.choice([0.0, 50.0, 100.0]),
        )
        for number in range(rng.randint(1, 3))
    )


def random_case(seed: int) -> Case:
    """A random case over the allowed range, with much overload."""
    rng = Random(seed)
    routers = rng.choice([1, 1, 3, 4, 6, 12, 24, 36])
    classes = _classes(rng)
    zones = rng.choice([1, 1, 3]) if routers >= 3 else 1
    settings = Settings(
        nodes=routers,
        classes=classes,
        probing=rng.random() < 0.85,
        second_copies=rng.random() < 0.6,
        retry_after=rng.random() < 0.6,
        max_attempts=rng.choice([1, 3, 6]),
        max_retry_after_ms=rng.choice([500.0, 2000.0]),
        cold_from=rng.choice([0.05, 0.12, 0.34, 0.6]),
        cold_ms=rng.choice([4000.0, 8600.0, 15000.0]),
        overload_factor=rng.choice([1.5, 2.5, 4.0, 6.0]),
        tip_after_ms=rng.choice([1000.0, 1500.0, 2000.0, 3000.0]),
        tick_ms=2.0,
        zones=zones,
        cross_zone_fee=0.1 * (zones > 1),
    )
    engines = rng.choice([3, 6, 10, 12, 20])
    return Case(
        settings=settings,
        seed=seed,
        engines=engines,
        starting=rng.randint(1, engines),
        start_spread_ms=rng.choice([0.0, 3000.0]),
        per_s=rng.choice([2.0, 5.0, 15.0]),
        speeds=rng.choice([(1.0,), (2.0, 1.2, 0.8), (1.3, 0.8)]),
        load=rng.choice([0.6, 1.0, 1.3]),
        burst=Burst(rng.choice([4000.0, 6000.0]), rng.choice([2000.0, 6000.0]), rng.choice([1.0, 2.4, 3.0])),
        hung=rng.choice([0.0, 0.0, 0.25, 0.5]),
        gone=rng.choice([0.0, 0.0, 0.3, 0.5]),
        retries=rng.choice([0, 2, 3, 3]),
        backoff_ms=rng.choice([50.0, 200.0, 500.0]),
        honours=rng.random() < 0.6,
        work_sigma=rng.choice([0.3, 0.6, 1.0]),
        openings=rng.choice([3, 10, 40]),
        hot=rng.choice([0.0, 0.0, 0.3, 0.6]),
        reports=rng.random() < 0.3,
        zone_skew=rng.choice([0.0, 0.5]),
        end_ms=14000.0,
    )


@pytest.mark.parametrize("budget, limit", [(9.0, 21.0), (25.0, 43.0), (36.0, 50.0), (100.0, 122.0)])
def test_the_limit_is_the_stricter_of_both_terms(budget: float, limit: float) -> None:
    assert tolerated_requests(budget) == pytest.approx(limit)


@pytest.mark.parametrize("seed", CRASH_SEEDS, ids=CRASH_SEEDS.values())
def test_seeds_with_former_crashes_stay_within_the_budget(seed: int) -> None:
    starts = play(random_case(seed))
    assert starts and max(start.worst for start in starts) <= 1.0


@pytest.mark.parametrize("seed", range(3000, 3012))
def test_random_fleets_stay_within_the_budget_of_starting_engines(seed: int) -> None:
    starts = play(random_case(seed))
    assert starts and max(start.worst for start in starts) <= 1.0


@pytest.mark.parametrize("routers", [1, 4, 30])
def test_starting_engines_still_get_work(routers: int) -> None:
    """Under high load without bursts, engines in slow start do at least half of the work that they can."""
    settings = Settings(
        nodes=routers,
        classes=(RequestClass(aim_ms=1200.0, deadline_ms=4000.0, worth=1.0),),
        cold_from=0.34,
        cold_ms=8600.0,
        overload_factor=4.0,
        tip_after_ms=2000.0,
    )
    cases = [Case(settings=settings, seed=seed, engines=6, starting=4, load=1.2) for seed in range(6)]
    starts = [start for case in cases for start in play(case)]
    capacity = cases[0].per_s * (1.0 + settings.cold_from) / 2.0 * settings.cold_ms / 1000.0
    assert sum(start.work for start in starts) / len(starts) > 0.5 * capacity
