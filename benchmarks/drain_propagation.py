"""How late a fleet hears of a drain that its list service could tell, whatever calls failed before.

    python benchmarks/drain_propagation.py [--short] [--before TREE]

Real routers (1 and 40; 12 in the short form) with clients, and an engine that drains while the service fails
in each way of `lab/drain_propagation.py`: seconds from when a new call could be answered to a router's last request
there. Then 1, 40 and 200 routers in virtual time (`lab/list_call_simulation.py`), at services of several rates: seconds to
when the last of them hears, calls a router, and the least rate at which all hear within the clock. With TREE,
the program of another checkout plays the real routers. `holds`: all within 6 s and a drain's grace, and in
virtual time half a second sooner at FITS calls a second.
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

BOUND_S = LIST_DEADLINE_MS / 1000 + 0.25  # and a drain's grace
FITS_S = LIST_DEADLINE_MS / 1000 - 0.5
FITS = {1: 10.0, 40: 20.0, 200: 75.0}  # calls a second
RATES = (10.0, 20.0, 30.0, 45.0, 60.0, 75.0, 100.0)
A_ROUTER_S = 20.0  # calls a second for each of real routers: the fleet's part is virtual
OF_ALL = ("refuses", "restarts")  # faults that a service has for all routers at once


def real(routers: int, down_s: float, together: bool, tree: Path | None) -> dict[str, dict[str, float]]:
    """The worst and median delay of each case; `together`: faults of some routers only are played at once."""
    found: dict[str, list[float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        made = Cluster(
            Path(folder),
            {"a": 2},
            ["a"] * routers,
            "",
            gates=False,
            control=False,
            known="old",
            rate=max(A_ROUTER_S, float(routers)),
            tree=tree,
        )
        try:
            made.start()
            load = Load(made, 1, 0.1 if routers < 20 else 0.5)
            some = [name for name in FAILURE_CASES if name not in OF_ALL]
            rounds: list[dict[str, Sequence[int]]] = [{name: range(routers)} for name in OF_ALL]
            if together:
                rounds.append({name: range(n, routers, len(some)) for n, name in enumerate(some)})
            else:
                rounds += [{name: range(routers)} for name in some]
            for groups in rounds:
                found |= measure_drain_delays(made, groups, 0, down_s)
                undo_drain(made, 0)
            load.stop()
        finally:
            made.end(kill=True)
    return {
        name: {"worst_s": max(late), "median_s": sorted(late)[len(late) // 2]} for name, late in found.items()
    }


def virtual(routers: int, seeds: int) -> dict[str, Any]:
    """By rate and beginning: when the last hears, calls a router; and from which rate on all fit."""
    table: dict[str, dict[str, list[float]]] = {}
    least: dict[str, float] = {}
    for rate in RATES:
        row = table[str(rate)] = {}
        for beginning in START_CONDITIONS:
            plays = [simulate_notifications(beginning, routers, rate, seed) for seed in range(seeds)]
            last = max(max(one.notified_after_ms) for one in plays) / 1000
            row[beginning] = [round(last, 2), round(sum(one.calls for one in plays) / seeds / routers, 2)]
            if last <= FITS_S:
                least.setdefault(beginning, rate)
            else:
                least.pop(beginning, None)
    return {"last_s_and_calls": table, "fits_from": least}


def main() -> dict[str, Any]:
    """Everything, as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    arguments.add_argument("--before", type=Path, help="a checkout whose program plays the real routers")
    given = arguments.parse_args()
    short: bool = given.short
    cluster.STANDIN_LIFETIME_S = 600.0
    fleets = {routers: virtual(routers, 3 if short else 20) for routers in FITS}
    processes = (
        {12: real(12, 3.0, True, given.before)}
        if short
        else {1: real(1, 9.0, False, given.before), 40: real(40, 9.0, False, given.before)}
    )
    worst = max(case["worst_s"] for cases in processes.values() for case in cases.values())
    fits = all(
        fleet["fits_from"].get(beginning, 1e9) <= FITS[routers]
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
