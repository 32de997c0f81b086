"""Measures the simulator: its speed, the growth of decision cost with the fleet, and its accuracy.

    python benchmarks/lab.py [--short]

The short form runs shorter scenarios and compares the simulator with sockets over all six scenarios together;
the long one compares each scenario, over six seeds.
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from math import exp, log
from multiprocessing import get_context
from pathlib import Path
from statistics import median
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from spoolbarrow.lab.emulator import Emulator  # noqa: E402
from spoolbarrow.lab.load import LoadGenerator  # noqa: E402
from spoolbarrow.lab.scenario import convert, load_raw  # noqa: E402
from spoolbarrow.lab.simulate import simulate  # noqa: E402
from spoolbarrow.lab.theory import Queue, compare_with_theory  # noqa: E402

CALM = ROOT / "examples" / "lab" / "calm.toml"
MIN_REAL_TIME_FACTOR = 20.0
MAX_GROWTH = {1000: 2.0, 4000: 4.0}  # of the processor time of a decision, relative to 10 engines
MAX_REFUSED_SHARE = 0.005
WORTH_TOLERANCE, FIRST_TOKEN_TOLERANCE = 0.05, 0.15
REPLAYS = 8
REQUESTS_PER_S = 2000.0  # of the load generator
QUEUES = (Queue(1, 0.7, 20.0), Queue(1, 0.7, 20.0, fixed=True), Queue(4, 0.7, 200.0), Queue(16, 0.8, 200.0))
TROUBLES: dict[str, list[dict[str, Any]]] = {
    "calm": [],
    "hang": [{"name": "hang", "begin_s": 2.0, "length_s": 5.0, "part": 0.1}],
    "cold": [{"name": "cold_restart", "begin_s": 2.0, "part": 0.3}],
    "spoilt": [{"name": "spoilt", "begin_s": 2.0, "length_s": 6.0, "part": 0.3, "size": 0.3}],
    "burst": [{"name": "burst", "begin_s": 2.0, "length_s": 5.0, "size": 1.6}],
    "death": [{"name": "router_death", "begin_s": 3.0, "length_s": 3.0, "part": 0.5}],
}


def calm_scenario(**changes: Any) -> Any:
    """The calm example scenario with changes."""
    return convert(load_raw(CALM) | changes)


def measure_sizes(short: bool) -> dict[str, Any]:
    """Simulate one router with the same load per engine at each fleet size."""
    found = {}
    for engines, length, lead in ((10, 60.0, 10.0), (100, 10.0, 5.0), (1000, 2.0, 2.0), (4000, 1.0, 1.0)):
        scenario = calm_scenario(
            engines=engines, routers=1, length_s=length if short else 4 * length, lead_s=lead
        )
        seeds = (1, 2, 3) if engines <= 100 or not short else (1,)
        reports = [simulate(scenario, "spoolbarrow", seed) for seed in seeds]
        found[str(engines)] = {
            "requests": sum(report["requests"] for report in reports),
            "decision_us": median(report["run"]["decision_us_a_request"] for report in reports),
            "refused_share": round(sum(report["refused_share"] for report in reports) / len(reports), 6),
            "requests_a_second": median(report["run"]["requests_a_second"] for report in reports),
            "times_real_time": median(report["run"]["times_real_time"] for report in reports),
            "worth": round(sum(report["worth"] for report in reports) / len(reports), 4),
            "rules_broken": sum(sum(report["rules_broken"].values()) for report in reports),
        }
    return found


def router_kb(engines: int) -> int:
    """Memory of one router's decisions with a list of so many engines."""
    from paired_routers import anonymous_kb

    from spoolbarrow.interface import ListKind, ReplicaEntry, ReplicaList
    from spoolbarrow.router import Router

    settings = calm_scenario(engines=engines).settings(0)
    entries = tuple(ReplicaEntry(f"engine-{n:08x}") for n in range(engines))
    before = anonymous_kb()
    router = Router(settings, 1)
    router.handle(0.0, [ReplicaList(ListKind.WHOLE, entries)])
    return anonymous_kb() - before


def compare_run(name: str, seed: int, length_s: float, lead_s: float) -> dict[str, float]:
    """Run one scenario in the simulator and on sockets."""
    from spoolbarrow.lab import socket_run

    scenario = calm_scenario(length_s=length_s, lead_s=lead_s, troubles=TROUBLES[name])
    measured = socket_run.run_on_sockets(scenario, seed, processes=2)
    # Repeated runs of a scenario differ, so the result on sockets is compared with the simulator's mean.
    simulated = [simulate(scenario, "spoolbarrow", seed, replay) for replay in range(REPLAYS)]
    first = "first_token_ms_p50"
    worth = sum(model["worth"] for model in simulated) / REPLAYS
    mean_log = sum(log(model["times"][first]) for model in simulated) / REPLAYS
    return {
        "worth": measured["worth"] - worth,
        "first_log_ratio": log(measured["times"][first]) - mean_log,
        "broken": sum(sum(one["rules_broken"].values()) for one in (measured, *simulated)),
        "sent_late_share": measured["load"]["sent_late_share"],
    }


def compare_runs(short: bool) -> dict[str, Any]:
    """Compare the simulator with sockets in six scenarios."""
    seeds, length, lead, at_once = ((1,), 8.0, 2.0, 6) if short else (tuple(range(1, 7)), 25.0, 5.0, 4)
    with ProcessPoolExecutor(at_once, mp_context=get_context("spawn")) as pool:
        runs = {
            name: [pool.submit(compare_run, name, seed, length, lead) for seed in seeds] for name in TROUBLES
        }
        found = {name: [run.result() for run in some] for name, some in runs.items()}
    result: dict[str, Any] = {}
    for name, some in found.items():
        mean = {key: sum(one[key] for one in some) / len(some) for key in some[0]}
        result[name] = {
            "worth_difference": round(mean["worth"], 4),
            "first_token_ratio": round(exp(mean["first_log_ratio"]), 4),
            "rules_broken": sum(one["broken"] for one in some),
            "sent_late_share": round(mean["sent_late_share"], 4),
        }
    return result


def runs_agree(days: dict[str, Any], short: bool) -> bool:
    """Whether simulator and sockets agree."""
    ratios = [abs(log(one["first_token_ratio"])) for one in days.values()]
    worths = [abs(one["worth_difference"]) for one in days.values()]
    bound = log(1.0 + FIRST_TOKEN_TOLERANCE)
    unbroken = not any(one["rules_broken"] for one in days.values())
    if short:
        mean = sum(log(one["first_token_ratio"]) for one in days.values()) / len(days)
        return abs(mean) <= bound and sum(worths) / len(worths) <= WORTH_TOLERANCE and unbroken
    return max(ratios) <= bound and max(worths) <= WORTH_TOLERANCE and unbroken


def measure_schedule(short: bool) -> dict[str, Any]:
    """Run the load generator directly against fast emulated engines."""
    engines = 8
    kind = {"slots": 2000, "waiting": 5000, "step_ms": 5.0, "step_ms_per_running": 0.0, "connections": 5000}
    scenario = convert(
        {
            "name": "rate",
            "length_s": 4.0 if short else 20.0,
            "engines": engines,
            "load": {"per_engine": REQUESTS_PER_S / engines},
            "kinds": {"quick": {**kind, "memory_tokens": 10_000_000, "read_tokens_per_s": 1e9}},
            "classes": {
                "ask": {"aim_ms": 1000.0, "deadline_ms": 10_000.0, "turns": 1.0, "openings": 0,
                        "new_tokens": 20, "answer_tokens": 2},
            },
        }
    )  # fmt: skip
    with Emulator(scenario, 1, 3) as fleet:
        targets = [("127.0.0.1", ports[0]) for ports in fleet.discovery.ports.values()]
        with LoadGenerator(scenario, 1, targets, 3) as load:
            fleet.begin()
            load.begin(time.monotonic() + 0.2)
            records, figures = load.wait()
    served = sum(record.outcome == "served" for record in records)
    return {"requests": len(records), "served": served} | figures


def main() -> int:
    """Measure everything; the exit status is 1 if it does not hold."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    short = parser.parse_args().short
    by_size = measure_sizes(short)
    with ProcessPoolExecutor(1, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        for size, figures in by_size.items():
            figures["router_kb"] = pool.submit(router_kb, int(size)).result()
    base = by_size["10"]["decision_us"]
    growth = {size: round(by_size[str(size)]["decision_us"] / base, 3) for size in MAX_GROWTH}
    one, repeat = (
        simulate(calm_scenario(length_s=10.0, troubles=TROUBLES["hang"]), "spoolbarrow", 7) for _ in range(2)
    )
    repeatable = all(one[key] == repeat[key] for key in one if key != "run")
    queues = {}
    for queue in QUEUES:
        found = compare_with_theory(queue, 20_000 if short else 200_000, seed=7)
        # Service takes whole steps of 1 ms, and arrivals fall between them.
        slack = 0.0 if queue.servers == 1 else 1.0
        name = f"{'M/D' if queue.fixed else 'M/M'}/{queue.servers} at {queue.load}"
        queues[name] = {key: round(value, 3) for key, value in found._asdict().items()}
        queues[name]["holds"] = found.holds(slack)
    rate = measure_schedule(short)
    days = compare_runs(short)
    holds = {
        "real_time": by_size["10"]["times_real_time"] >= MIN_REAL_TIME_FACTOR,
        "growth": all(growth[size] <= bound for size, bound in MAX_GROWTH.items()),
        "refused": all(one["refused_share"] <= MAX_REFUSED_SHARE for one in by_size.values()),
        "rules": not any(one["rules_broken"] for one in by_size.values()),
        "same_by_seed": repeatable,
        "queues": all(one["holds"] for one in queues.values()),
        "schedule": rate["kept_its_schedule"] and rate["served"] == rate["requests"],
        "agreement": runs_agree(days, short),
    }
    result = {
        "name": "lab",
        "holds": all(holds.values()),
        "held": holds,
        "sizes": by_size,
        "growth": {str(size): value for size, value in growth.items()},
        "queues": queues,
        "schedule": rate,
        "days": days,
    }
    print(orjson.dumps(result).decode())
    return 0 if result["holds"] else 1


if __name__ == "__main__":
    sys.exit(main())
