"""Measures cold starts: all routers start at once, with a list service that handles calls one after another.

    python benchmarks/cold_start.py [--short] [--routers N] [--known old|none] [--before TREE]

Each case is one start of N processes (200, 24 in the short form) with one client each, at a rate of the
service and with or without a known list; a call that has waited for 3 s gets a 503. One more case has engines
that are in slow start as well and fail when overloaded (rule 4) (`--known`: only rows with such a list, and
that case). Every figure with a goal is a ratio: to the calls needed, to the service's rate and timeout, or to
what engines got in the same run in steady state. With TREE, the program of another checkout is run as well,
case by case. `holds`: this tree meets all goals; `adds_up`: the counts of the service, the engines and the
routers agree.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow.lab import cluster  # noqa: E402
from spoolbarrow.lab.cluster import Cluster  # noqa: E402
from spoolbarrow.lab.cold_engine import ColdEngineParameters  # noqa: E402
from spoolbarrow.lab.fault_script import SCRIPTS, cluster_options, run_script  # noqa: E402
from spoolbarrow.lab.process import end_all_at_sigterm  # noqa: E402

RATES, KNOWN = (5.0, 10.0, 20.0), ("none", "old")
TIMEOUT_S = 3.0
ROUTERS_PER_ENGINE = 4  # one engine for so many routers
PAUSE_S = 1.0  # between the requests of a router's client
SLOW_START_S = int(ColdEngineParameters().cold_ms / 1000)  # duration of slow start
KINDS = ("handshakes", "probes", "work")
GOALS = {  # upper bounds
    "calls_a_router": 1.1,
    "failed_share": 0.01,
    "longest_wait_of_half_timeout": 1.0,
    "last_list_of_needed": 1.3,  # routers / rate
    "handshakes_busiest_of_steady": 2.0,
    "probes_busiest_of_steady": 2.0,
    "work_busiest_of_steady": 2.0,
    "falls": 0.0,
    "unserved_in_the_cold": 0.5,  # of the requests sent while engines were in slow start
}


def measure_start(
    name: str, routers: int, rate: float, known: str, steady_s: int, tree: Path | None
) -> dict[str, Any]:
    """Run one start; returns its figures, including those with goals."""
    script, engines = SCRIPTS[name], max(2, routers // ROUTERS_PER_ENGINE)
    with tempfile.TemporaryDirectory() as folder:
        options = cluster_options(script, engines, rate, routers, known) | {
            "timeout_s": TIMEOUT_S,
            "tree": tree,
        }
        cluster_run = Cluster(Path(folder), {"a": engines}, ["a"] * routers, **options)
        try:
            cluster_run.prepare()
            least_s = SLOW_START_S + 1 if script.cold else 0
            outcome = run_script(cluster_run, script, pause_s=PAUSE_S, steady_s=steady_s, least_s=least_s)
        finally:
            cluster_run.end(kill=True)
    summary = figures(outcome, name, routers, rate)
    return {"case": name, "routers": routers, "rate": rate, "known": known} | summary


def figures(outcome: dict[str, Any], case: str, routers: int, rate: float) -> dict[str, Any]:
    """The figures of a start."""
    service, of_routers, of_engines = (
        outcome["service"],
        outcome["of_routers"],
        outcome["of_engines"].values(),
    )
    served = sorted(one["first_served_s"] for one in of_routers.values() if one["first_served_s"] is not None)
    answers = {"200": 0, "503": 0, "0": 0}
    for router in of_routers.values():
        for status, count in router["answers"].items():
            answers[status] = answers.get(status, 0) + count
    result: dict[str, Any] = {
        "calls": service["calls"],
        "failed": service["failed"],
        "busiest_second": service["busiest_second"],
        "longest": service["longest"],
        "longest_s": service["longest_s"],
        "last_list_s": service["last_list_s"],
        "unknowing": len(outcome["unknowing"]),
        "answers": answers,
        "first_served_s": {"routers": len(served), "median": statistics.median(served), "most": served[-1]}
        if served
        else None,
        "calls_a_router": round(service["calls"] / routers, 3),
        "failed_share": service["failed_share"],
        "longest_wait_of_half_timeout": round(service["longest_s"] / (TIMEOUT_S / 2), 3),
        "last_list_of_needed": round((service["last_list_s"] or float("inf")) / (routers / rate), 3),
        "falls": sum(engine["falls"] for engine in of_engines),
        "goodput": outcome["goodput"],
        "served_in_the_cold": sum(outcome["goodput"][:SLOW_START_S]),
    }
    if case == "all-cold":
        needed = routers * SLOW_START_S / PAUSE_S  # engines have capacity for more from the first second on
        result["unserved_in_the_cold"] = round(max(0.0, 1.0 - result["served_in_the_cold"] / needed), 3)
    for kind in KINDS:
        steady = max(1.0, statistics.mean(engine[kind]["steady"] for engine in of_engines))  # per second
        busiest = max(engine[kind]["busiest"] for engine in of_engines)
        result[f"{kind}_busiest"] = busiest
        result[f"{kind}_busiest_of_steady"] = round(busiest / steady, 2)
    sent = sum(engine["work"]["sum"] for engine in of_engines)
    result["adds_up"] = (
        service["calls"] == sum(router["calls"] for router in of_routers.values())
        and sent >= answers["200"]
        and not outcome["unexpected"]
    )
    result["missed"] = [goal for goal, bound in GOALS.items() if result.get(goal, 0.0) > bound]
    return result


def main() -> dict[str, Any]:
    """Measure everything and return it as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    arguments.add_argument("--routers", type=int, default=0)
    arguments.add_argument(
        "--known", choices=KNOWN, help="only rows with this list, and the case with cold engines"
    )
    arguments.add_argument("--before", type=Path, help="another checkout, run as well")
    args = arguments.parse_args()
    routers = args.routers or (24 if args.short else 200)
    end_all_at_sigterm()
    cluster.STANDIN_LIFETIME_S = 600.0
    steady_s = 3 if args.short else 15
    rates, lists = RATES[:1] if args.short else RATES, (args.known,) if args.known else KNOWN
    cases = [("calm", rate, known) for rate in rates for known in lists]
    cases.append(("all-cold", RATES[-1], "none"))
    trees = {"now": None} | ({"before": args.before} if args.before else {})
    found: dict[str, list[dict[str, Any]]] = {name: [] for name in trees}
    for case, rate, known in cases:
        for name, tree in trees.items():
            found[name].append(measure_start(case, routers, rate, known, steady_s, tree))
            print(orjson.dumps({"tree": name} | found[name][-1]).decode(), flush=True)
    missed = sorted({goal for case in found["now"] for goal in case["missed"]})
    adds_up = all(case["adds_up"] for case in found["now"])
    return {
        "name": "cold_start",
        "holds": adds_up and not missed,
        "adds_up": adds_up,
        "missed": missed,
        "goals": GOALS,
        "routers": routers,
        **found,
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result["holds"] else 1)
