"""Measures how soon all routers act on a changed document, on a new lease holder, or without a holder.

    python benchmarks/fleet_updates.py [--short]

Five routers use three store members under load. Times are shares of the settings that bound them, since a
busy machine stretches all of them: a change as shares of `period_ms`; from a holder's kill to another's
decision at all routers, and from a cut to the fallback, as shares of `ttl_s`. Memory is the difference of the
median router with `[fleet]` and without. Histories of the lease are counted, and those that violate it.
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

POLL_INTERVAL_S = 0.1  # as set in OPERATOR


def summarize(found: list[float]) -> dict[str, Any]:
    """Median and worst of shares."""
    return {"plays": len(found), "median": round(statistics.median(found), 2), "worst": round(max(found), 2)}


def change_delay(fleet: Fleet, turn: int) -> float:
    """From the store's response until all routers act on a change."""
    revision = fleet.suspend(f"e{turn % 2}")
    changed_at = time.time()

    def times() -> list[float]:
        found = [
            [one["time"] for one in router.events("fleet_shared") if one["revision"] == revision]
            for router in fleet.routers
        ]
        return [its[0] for its in found] if all(found) else []

    at: list[float] = poll_until(times)
    return max(0.0, max(at) - changed_at) / POLL_INTERVAL_S


def count_fallbacks(fleet: Fleet, routers: list[int]) -> int:
    """How often these routers have fallen back from a decision to none."""
    return sum(not one["acts"] for n in routers for one in fleet.routers[n].events("fleet_decision"))


def holder_failover(fleet: Fleet) -> tuple[float, int]:
    """From a holder's kill until all others act on another's decision; how many fell back meanwhile."""
    holder = fleet.lease_holder()
    others = [n for n in ALL if n != holder]
    before = count_fallbacks(fleet, others)
    killed_at = time.monotonic()
    fleet.kill_router(holder)
    fleet.wait_for_roll([f"r{n}" for n in others], others)
    took, gaps = time.monotonic() - killed_at, count_fallbacks(fleet, others) - before
    fleet.restart_router(holder)
    fleet.wait_for_roll(NAMES)
    return took / TTL_S, gaps


def fallback_delay(fleet: Fleet) -> float:
    """From cutting all routers off the store until none acts on a decision."""
    cut_at = time.monotonic()
    fleet.set_store_fault("drop")
    poll_until(lambda: all(fleet.part_status(n)["routers"] is None for n in ALL))
    took = time.monotonic() - cut_at
    fleet.set_store_fault("pass")
    fleet.wait_for_roll(NAMES)
    return took / TTL_S


def memory_kb(routers: list[Process]) -> float:
    """Resident memory of the median router."""
    found = []
    for router in routers:
        lines = Path(f"/proc/{router.popen.pid}/status").read_text().splitlines()
        found += [float(line.split()[1]) for line in lines if line.startswith("VmRSS")]
    return statistics.median(found)


def measure(plays: int, seeds: int) -> dict[str, Any]:
    """Measure all figures."""
    broken = []
    for seed in range(seeds):
        try:
            play(seed)
        except InvariantViolated as error:
            broken.append([seed, str(error)])
    result: dict[str, Any] = {"name": "follow", "histories": seeds, "broken": broken}
    with tempfile.TemporaryDirectory() as folder:
        plain_cluster = Cluster(Path(folder), {"a": 6}, ["a"] * 5, OPERATOR.partition("[fleet]")[0])
        try:
            plain_cluster.start()
            without = memory_kb(plain_cluster.routers)
        finally:
            plain_cluster.end()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start()
            fleet.wait_for_roll(NAMES)
            result["memory_more_mb"] = round((memory_kb(fleet.routers) - without) / 1024, 2)
            load = Load(fleet, pause_s=0.02)
            try:
                result["change_by_period"] = summarize(
                    [change_delay(fleet, turn) for turn in range(4 * plays)]
                )
                result["cut_off_by_ttl"] = summarize([fallback_delay(fleet) for _ in range(plays)])
                lost = [holder_failover(fleet) for _ in range(plays)]
                result["holder_lost_by_ttl"] = summarize([delay for delay, _ in lost])
                result["holder_lost_fallbacks"] = sum(gaps for _, gaps in lost)
            finally:
                load.stop()
            result["lost_elsewhere"] = sum(
                one.status in (0, 1) and one.router not in fleet.killed_routers for one in load.answers
            )
        finally:
            fleet.end()
            fleet.store.end()
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
