"""Cold starts measured: all routers begin in one instant, before a list service that works calls off in turn.

    python benchmarks/cold_start.py [--short] [--routers N] [--known old|none] [--before TREE]

Each case is one start of N processes (200, 24 in the short form) with a client each, at a rate of the service
and with or without a known list; a call whose turn has not come after 3 s gets 503. Then, with engines that
are cold as well and fall by rule 4, one more (`--known`: only rows with such a list, and that one). Every
figure that a goal is set on is a ratio: to the calls that are needed, to the service's rate and time-out, to
what engines got in that run once all was steady.
With TREE, the program of another checkout is played beside, case by case. `holds`: all goals are met by this
tree; `adds_up`: what the service, the engines and the routers say of each other agrees.
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
A_ROUTER = 4  # routers for each engine
PAUSE_S = 1.0  # of a router's client between requests
COLD_S = int(ColdEngineParameters().cold_ms / 1000)  # until a cold engine is warm
KINDS = ("handshakes", "probes", "work")
GOALS = {  # at most
    "calls_a_router": 1.1,
    "failed_share": 0.01,
    "longest_wait_of_half_timeout": 1.0,
    "last_list_of_needed": 1.3,  # routers / rate
    "handshakes_busiest_of_steady": 2.0,
    "probes_busiest_of_steady": 2.0,
    "work_busiest_of_steady": 2.0,
    "falls": 0.0,
    "unserved_in_the_cold": 0.5,  # of what was asked while engines were cold: a share chosen here
}


def one(name: str, routers: int, rate: float, known: str, steady_s: int, tree: Path | None) -> dict[str, Any]:
    """One start: its figures, each goal's among them."""
    script, engines = SCRIPTS[name], max(2, routers // A_ROUTER)
    with tempfile.TemporaryDirectory() as folder:
        options = cluster_options(script, engines, rate, routers, known) | {
            "timeout_s": TIMEOUT_S,
            "tree": tree,
        }
        made = Cluster(Path(folder), {"a": engines}, ["a"] * routers, **options)
        try:
            made.prepare()
            least_s = COLD_S + 1 if script.cold else 0
            found = run_script(made, script, pause_s=PAUSE_S, steady_s=steady_s, least_s=least_s)
        finally:
            made.end(kill=True)
    told = figures(found, name, routers, rate)
    return {"case": name, "routers": routers, "rate": rate, "known": known} | told


def figures(found: dict[str, Any], case: str, routers: int, rate: float) -> dict[str, Any]:
    """What a start comes to."""
    service, of_routers, of_engines = found["service"], found["of_routers"], found["of_engines"].values()
    served = sorted(one["first_served_s"] for one in of_routers.values() if one["first_served_s"] is not None)
    answers = {"200": 0, "503": 0, "0": 0}
    for router in of_routers.values():
        for status, count in router["answers"].items():
            answers[status] = answers.get(status, 0) + count
    told: dict[str, Any] = {
        "calls": service["calls"],
        "failed": service["failed"],
        "busiest_second": service["busiest_second"],
        "longest": service["longest"],
        "longest_s": service["longest_s"],
        "last_list_s": service["last_list_s"],
        "unknowing": len(found["unknowing"]),
        "answers": answers,
        "first_served_s": {"routers": len(served), "median": statistics.median(served), "most": served[-1]}
        if served
        else None,
        "calls_a_router": round(service["calls"] / routers, 3),
        "failed_share": service["failed_share"],
        "longest_wait_of_half_timeout": round(service["longest_s"] / (TIMEOUT_S / 2), 3),
        "last_list_of_needed": round((service["last_list_s"] or float("inf")) / (routers / rate), 3),
        "falls": sum(engine["falls"] for engine in of_engines),
        "goodput": found["goodput"],
        "served_in_the_cold": sum(found["goodput"][:COLD_S]),
    }
    if case == "all-cold":
        wanted = routers * COLD_S / PAUSE_S  # engines can bear more of it from the first second on
        told["unserved_in_the_cold"] = round(max(0.0, 1.0 - told["served_in_the_cold"] / wanted), 3)
    for kind in KINDS:
        steady = max(1.0, statistics.mean(engine[kind]["steady"] for engine in of_engines))  # a second
        busiest = max(engine[kind]["busiest"] for engine in of_engines)
        told[f"{kind}_busiest"] = busiest
        told[f"{kind}_busiest_of_steady"] = round(busiest / steady, 2)
    sent = sum(engine["work"]["sum"] for engine in of_engines)
    told["adds_up"] = (
        service["calls"] == sum(router["calls"] for router in of_routers.values())
        and sent >= answers["200"]
        and not found["unexpected"]
    )
    told["missed"] = [goal for goal, most in GOALS.items() if told.get(goal, 0.0) > most]
    return told


def main() -> dict[str, Any]:
    """Everything, as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    arguments.add_argument("--routers", type=int, default=0)
    arguments.add_argument("--known", choices=KNOWN, help="rows with this list alone; engines cold as well")
    arguments.add_argument("--before", type=Path, help="another checkout, played beside")
    asked = arguments.parse_args()
    routers = asked.routers or (24 if asked.short else 200)
    end_all_at_sigterm()
    cluster.STANDIN_LIFETIME_S = 600.0
    steady_s = 3 if asked.short else 15
    rates, lists = RATES[:1] if asked.short else RATES, (asked.known,) if asked.known else KNOWN
    cases = [("calm", rate, known) for rate in rates for known in lists]
    cases.append(("all-cold", RATES[-1], "none"))
    trees = {"now": None} | ({"before": asked.before} if asked.before else {})
    found: dict[str, list[dict[str, Any]]] = {name: [] for name in trees}
    for case, rate, known in cases:
        for name, tree in trees.items():
            found[name].append(one(case, routers, rate, known, steady_s, tree))
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
