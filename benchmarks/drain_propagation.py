"""Measures how late routers learn of a drain from their list service after earlier calls failed.

    python benchmarks/drain_propagation.py [--short] [--before TREE]

Runs real routers (1 and 40; 12 in the short form) with clients, and drains an engine while the service fails
in each way of `lab/told.py`: seconds from when a new call could be answered to a router's last request to the
engine. Then 1, 40 and 200 routers in virtual time (`lab/callers.py`), with services of several rates: seconds
until the last of them is notified, calls per router, and the least rate at which all are notified in time.
With TREE, the real routers run the program of another checkout. `holds`: all within 6 s and a drain's grace,
and in virtual time half a second sooner at MIN_CALLS_PER_S.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow.fleet.pacing import LIST_DEADLINE_MS  # noqa: E402
from spoolbarrow.lab import cluster  # noqa: E402
from spoolbarrow.lab.cluster import Cluster, Load  # noqa: E402
from spoolbarrow.lab.drain_propagation import FAILURE_CASES, measure_drain_delays, undo_drain  # noqa: E402
from spoolbarrow.lab.list_call_simulation import START_CONDITIONS, simulate_notifications  # noqa: E402
from spoolbarrow.lab.process import end_all_at_sigterm  # noqa: E402

BOUND_S = LIST_DEADLINE_MS / 1000 + 0.25  # includes a drain's grace
VIRTUAL_BOUND_S = LIST_DEADLINE_MS / 1000 - 0.5
MIN_CALLS_PER_S = {
    1: 10.0,
    40: 20.0,
    200: 75.0,
}  # lowest service rate that must suffice, by number of routers
CALLS_PER_S = (10.0, 20.0, 30.0, 45.0, 60.0, 75.0, 100.0)
CALLS_PER_ROUTER_S = 20.0  # service rate per real router; fleet effects are measured in virtual time
FLEET_WIDE_FAULTS = ("refuses", "restarts")  # faults that affect all routers at once


def measure_processes(
    routers: int, down_s: float, together: bool, tree: Path | None
) -> dict[str, dict[str, float]]:
    """The worst and median delay of each case; `together`: run the faults of single routers at once."""
    found: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        fleet = Cluster(
            Path(folder),
            {"a": 2},
            ["a"] * routers,
            "",
            gates=False,
            control=False,
            known="old",
            rate=max(CALLS_PER_ROUTER_S, float(routers)),
            tree=tree,
        )
        try:
            fleet.start()
            load = Load(fleet, 1, 0.1 if routers < 20 else 0.5)
            partial_faults = [name for name in FAILURE_CASES if name not in FLEET_WIDE_FAULTS]
            rounds: list[dict[str, Sequence[int]]] = [{name: range(routers)} for name in FLEET_WIDE_FAULTS]
            if together:
                rounds.append(
                    {name: range(n, routers, len(partial_faults)) for n, name in enumerate(partial_faults)}
                )
            else:
                rounds += [{name: range(routers)} for name in partial_faults]
            for groups in rounds:
                found |= measure_drain_delays(fleet, groups, 0, down_s)
                undo_drain(fleet, 0)
            load.stop()
        finally:
            fleet.end(kill=True)
    return {
        name: {"worst_s": max(late), "median_s": sorted(late)[len(late) // 2]} for name, late in found.items()
    }


def measure_virtual(routers: int, seeds: int) -> dict[str, Any]:
    """By rate and start: when the last router knows, calls per router; and the least sufficient rate."""
    table: dict[str, dict[str, list[float]]] = {}
    least: dict[str, float] = {}
    for rate in CALLS_PER_S:
        row = table[str(rate)] = {}
        for beginning in START_CONDITIONS:
            plays = [simulate_notifications(beginning, routers, rate, seed) for seed in range(seeds)]
            last = max(max(one.notified_after_ms) for one in plays) / 1000
            row[beginning] = [round(last, 2), round(sum(one.calls for one in plays) / seeds / routers, 2)]
            if last <= VIRTUAL_BOUND_S:
                least.setdefault(beginning, rate)
            else:
                least.pop(beginning, None)
    return {"last_s_and_calls": table, "fits_from": least}


def main() -> dict[str, Any]:
    """Measure everything and return it as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    arguments.add_argument("--before", type=Path, help="a checkout whose program plays the real routers")
    args = arguments.parse_args()
    short: bool = args.short
    cluster.STANDIN_LIFETIME_S = 600.0
    fleets = {routers: measure_virtual(routers, 3 if short else 20) for routers in MIN_CALLS_PER_S}
    processes = (
        {12: measure_processes(12, 3.0, True, args.before)}
        if short
        else {
            1: measure_processes(1, 9.0, False, args.before),
            40: measure_processes(40, 9.0, False, args.before),
        }
    )
    worst = max(case["worst_s"] for cases in processes.values() for case in cases.values())
    fits = all(
        fleet["fits_from"].get(beginning, 1e9) <= MIN_CALLS_PER_S[routers]
        for routers, fleet in fleets.items()
        for beginning in START_CONDITIONS
    )
    return {
        "name": "told",
        "holds": worst <= BOUND_S and fits,
        "bound_s": BOUND_S,
        "worst_s": worst,
        "processes": processes,
        "virtual": fleets,
    }


if __name__ == "__main__":
    end_all_at_sigterm()
    result = main()
    print(json.dumps(result))
    sys.exit(0 if result["holds"] else 1)
