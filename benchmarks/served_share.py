"""Measures the share of requests answered by prompt length, and the sessions that are refused throughout.

    python benchmarks/served_share.py [--short] [--module FILE ...] [--day NAME ...] [--seeds N] [--routers N]
                                [--engines N] [--length S] [--jobs N]

Simulates randomly drawn sites (`spoolbarrow/lab/random_scenarios.py`) of both sorts: at four loads, and at a
quiet load with all engines in slow start. Each `--module` is another version of the decision module, run on
the same scenarios.

Prints means over the classes of all scenarios, and the worst class. In the quiet scenario the longest tenth
and the fifth after it must get two thirds of their class's share, in the others half; and in the quiet
scenario the sessions of which all turns are refused may exceed what chance gives by 0.12 of a class's
sessions.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import msgspec  # noqa: E402
from placement import MODULE, load_decisions  # noqa: E402

from spoolbarrow.lab import policies  # noqa: E402
from spoolbarrow.lab.random_scenarios import random_scenario  # noqa: E402
from spoolbarrow.lab.run_report import Record  # noqa: E402
from spoolbarrow.lab.scenario import Scenario, Trouble  # noqa: E402
from spoolbarrow.lab.simulate import Simulation  # noqa: E402

LOADS = {"quiet": 0.25, "usual": 0.45, "busy": 0.7, "full": 1.1, "cold": 0.25}
MIN_RELATIVE_SHARE = {"quiet": 2.0 / 3.0, "usual": 0.5, "busy": 0.5, "full": 0.5, "cold": 0.5}
# From MANY_REQUESTS requests on the longest are a tenth, below that a quarter.
MANY_REQUESTS, TENTH, QUARTER = 400, 0.1, 0.25
NEXT_SHARE = 0.2
MAX_EXCESS_REFUSED = 0.12  # of a class's sessions, in the quiet scenario
MIN_REQUESTS = 40  # of a class; fewer are not significant
DECILES = 10

Row = dict[str, Any]


def answered_share(records: list[Record]) -> float:
    """The share that was answered, in time or late."""
    return sum(one.first_ms >= 0.0 for one in records) / max(1, len(records))


def refused_throughout(records: list[Record]) -> tuple[float, float]:
    """The share of sessions of which all turns are refused, and the share expected by chance."""
    sessions: dict[int, list[bool]] = defaultdict(list)
    for one in records:
        sessions[one.planned.session].append(one.outcome in ("refused", "failed"))
    chance = sum(sum(turns) for turns in sessions.values()) / max(1, len(records))
    by_chance = sum(chance ** len(turns) for turns in sessions.values())
    return sum(map(all, sessions.values())) / len(sessions), by_chance / len(sessions)


def class_result(records: list[Record]) -> Row:
    """The results of one class's requests."""
    ranked = sorted(records, key=lambda one: one.planned.prompt, reverse=True)
    longest_count = round(len(ranked) * (TENTH if len(ranked) >= MANY_REQUESTS else QUARTER))
    next_end = longest_count + round(len(ranked) * NEXT_SHARE)
    whole = max(answered_share(ranked), 1e-9)
    throughout, chance = refused_throughout(records)
    size = len(ranked) / DECILES
    deciles = [ranked[round(n * size) : round((n + 1) * size)] for n in reversed(range(DECILES))]
    return {
        "requests": len(ranked),
        "answered": answered_share(ranked),
        "longest": answered_share(ranked[:longest_count]) / whole,
        "next": answered_share(ranked[longest_count:next_end]) / whole,
        "refused_throughout": throughout,
        "by_chance": chance,
        "deciles": [answered_share(decile) for decile in deciles],
    }


def play(text: str, scenario: Scenario, seed: int) -> Row:
    """Simulate one scenario with one version of the decision module."""
    module = load_decisions(text, {})

    def make(settings: Any, number: int, truth: Any) -> Any:
        return module.Router(settings, number)

    policies.POLICIES["played"] = make
    day = Simulation(scenario, "played", seed)
    report = day.play()
    by_class: dict[int, list[Record]] = defaultdict(list)
    for record in day.clients.records:
        by_class[record.planned.cls].append(record)
    return {
        "worth": report["worth"],
        "broken": sum(report["rules_broken"].values()),
        "decision_us": report["run"]["decision_us_a_request"],
        "classes": [class_result(records) for records in by_class.values() if len(records) >= MIN_REQUESTS],
    }


def scenario_for(name: str, seed: int, many: bool, args: argparse.Namespace) -> Scenario:
    """The scenario of that name on the site of that seed."""
    made = random_scenario(seed, many, args.routers, args.engines, LOADS[name], args.length)
    if name != "cold":
        return made
    begin = (Trouble(name="cold_restart", begin_s=0.0, part=1.0),)
    return msgspec.structs.replace(made, troubles=begin)


def summary(days: list[Row]) -> Row:
    """Means over the classes of several scenarios, and the worst of them."""
    classes = [one for day in days for one in day["classes"]]

    def mean(key: str) -> float:
        return round(float(sum(one[key] for one in classes)) / len(classes), 4)

    excess = [one["refused_throughout"] - one["by_chance"] for one in classes]
    return {
        "worth": round(sum(day["worth"] for day in days) / len(days), 4),
        "worths": [round(day["worth"], 4) for day in days],
        "decision_us": round(sum(day["decision_us"] for day in days) / len(days), 1),
        "rules_broken": sum(day["broken"] for day in days),
        "answered": mean("answered"),
        "longest": mean("longest"),
        "next": mean("next"),
        "worst_longest": round(min(one["longest"] for one in classes), 4),
        "worst_next": round(min(one["next"] for one in classes), 4),
        "refused_throughout": mean("refused_throughout"),
        "by_chance": mean("by_chance"),
        "worst_refused_more": round(max(excess), 4),
        "deciles": [
            round(sum(one["deciles"][n] for one in classes) / len(classes), 3) for n in range(DECILES)
        ],
    }


def holds(name: str, result: Row) -> bool:
    """Whether the bounds hold in every class of every scenario of that name."""
    longest = min(result["worst_longest"], result["worst_next"]) >= MIN_RELATIVE_SHARE[name]
    return longest and (name != "quiet" or result["worst_refused_more"] <= MAX_EXCESS_REFUSED)


def main() -> int:
    """Run, print a line for each scenario and module, and a JSON object last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--module", action="append", default=[])
    parser.add_argument("--day", action="append", choices=list(LOADS))
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--routers", type=int, default=100)
    parser.add_argument("--engines", type=int, default=30)
    parser.add_argument("--length", type=float, default=12.0)
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    if args.short:
        args.seeds, args.routers, args.engines, args.length = 1, 40, 20, 6.0
    texts = {"as it is": MODULE.read_text(), **{file: Path(file).read_text() for file in args.module}}
    days = [(many, seed) for many in (False, True) for seed in range(1, 1 + args.seeds)]
    names = args.day or list(LOADS)
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        runs = {
            (name, text): [
                pool.submit(play, texts[text], scenario_for(name, seed, many, args), seed)
                for many, seed in days
            ]
            for name in names
            for text in texts
        }
        results: dict[str, dict[str, Row]] = {}
        for (name, text), some in runs.items():
            found = results.setdefault(name, {})[text] = summary([run.result() for run in some])
            found["holds"] = holds(name, found)
            print(f"{name}, {text}: {found}", flush=True)
    all_hold = all(found["as it is"]["holds"] for found in results.values())
    print(json.dumps({"name": "served", "holds": all_hold, "days": results}))
    return 0 if all_hold else 1


if __name__ == "__main__":
    sys.exit(main())
