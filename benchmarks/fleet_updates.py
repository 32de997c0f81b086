"""Following the store measured: how soon all routers act on a change, on another holder, or on none.

    python benchmarks/fleet_updates.py [--short]

Five routers on three members under load. Times are given as shares of the settings that bound them, since a
busy machine stretches all of them: a change as shares of `period_ms`; from a holder's death to another's
decision at all routers, and from a cut to the fallback, as shares of `ttl_s`. Memory is the difference of the
median router with `[fleet]` and without. Histories of the lease are counted, and those that break.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow.lab.cluster import Cluster, Load, Process  # noqa: E402
from spoolbarrow.lab.lease_histories import InvariantViolated, play  # noqa: E402
from spoolbarrow.lab.store_following_cluster import poll_until  # noqa: E402
from tests.test_fleet_follow import ALL, NAMES, OPERATOR, TTL_S, Fleet  # noqa: E402

PERIOD_S = 0.1  # of OPERATOR


def summed(found: list[float]) -> dict[str, Any]:
    """Median and worst of shares."""
    return {"plays": len(found), "median": round(statistics.median(found), 2), "worst": round(max(found), 2)}


def change(made: Fleet, turn: int) -> float:
    """From the store's answer until all routers act on a change."""
    revision = made.suspend(f"e{turn % 2}")
    begun = time.time()

    def times() -> list[float]:
        found = [
            [one["time"] for one in router.events("fleet_shared") if one["revision"] == revision]
            for router in made.routers
        ]
        return [its[0] for its in found] if all(found) else []

    at: list[float] = poll_until(times)
    return max(0.0, max(at) - begun) / PERIOD_S


def fallbacks(made: Fleet, routers: list[int]) -> int:
    """How often these routers have gone from a decision to none."""
    return sum(not one["acts"] for n in routers for one in made.routers[n].events("fleet_decision"))


def holder_lost(made: Fleet) -> tuple[float, int]:
    """From a holder's death until all others act on another's decision; how many acted on none meanwhile."""
    holder = made.lease_holder()
    left = [n for n in ALL if n != holder]
    before = fallbacks(made, left)
    begun = time.monotonic()
    made.kill_router(holder)
    made.wait_for_roll([f"r{n}" for n in left], left)
    took, gaps = time.monotonic() - begun, fallbacks(made, left) - before
    made.restart_router(holder)
    made.wait_for_roll(NAMES)
    return took / TTL_S, gaps


def cut_off(made: Fleet) -> float:
    """From the cut of all routers from the store until none acts on a decision."""
    begun = time.monotonic()
    made.set_store_fault("drop")
    poll_until(lambda: all(made.part_status(n)["routers"] is None for n in ALL))
    took = time.monotonic() - begun
    made.set_store_fault("pass")
    made.wait_for_roll(NAMES)
    return took / TTL_S


def memory_kb(routers: list[Process]) -> float:
    """Resident memory of the median router."""
    found = []
    for router in routers:
        lines = Path(f"/proc/{router.popen.pid}/status").read_text().splitlines()
        found += [float(line.split()[1]) for line in lines if line.startswith("VmRSS")]
    return statistics.median(found)


def measure(plays: int, seeds: int) -> dict[str, Any]:
    """All figures."""
    broken = []
    for seed in range(seeds):
        try:
            play(seed)
        except InvariantViolated as error:
            broken.append([seed, str(error)])
    result: dict[str, Any] = {"name": "follow", "histories": seeds, "broken": broken}
    with tempfile.TemporaryDirectory() as folder:
        plain = Cluster(Path(folder), {"a": 6}, ["a"] * 5, OPERATOR.partition("[fleet]")[0])
        try:
            plain.start()
            without = memory_kb(plain.routers)
        finally:
            plain.end()
    with tempfile.TemporaryDirectory() as folder:
        made = Fleet(Path(folder))
        try:
            made.start()
            made.wait_for_roll(NAMES)
            result["memory_more_mb"] = round((memory_kb(made.routers) - without) / 1024, 2)
            load = Load(made, pause_s=0.02)
            try:
                result["change_by_period"] = summed([change(made, turn) for turn in range(4 * plays)])
                result["cut_off_by_ttl"] = summed([cut_off(made) for _ in range(plays)])
                lost = [holder_lost(made) for _ in range(plays)]
                result["holder_lost_by_ttl"] = summed([took for took, _ in lost])
                result["holder_lost_fallbacks"] = sum(gaps for _, gaps in lost)
            finally:
                load.stop()
            result["lost_elsewhere"] = sum(
                one.status in (0, 1) and one.router not in made.killed_routers for one in load.answers
            )
        finally:
            made.end()
            made.store.end()
    result["holds"] = not broken and result["lost_elsewhere"] == 0
    return result


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    short = parser.parse_args().short
    result = measure(2 if short else 6, 200 if short else 2000)
    print(orjson.dumps(result, option=orjson.OPT_INDENT_2).decode())
    sys.exit(not result["holds"])


if __name__ == "__main__":
    main()
