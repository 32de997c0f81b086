"""Measures the chance that an engine in slow start is overloaded, and the usable share of its budget.

    python benchmarks/slow_start_overload.py [--short]

Uses the slow start rule (rule 4) of several sites, 1 to 200 routers, and traffic of many kinds
(`lab/slow_start_exposure.py`). The share of starts that were overloaded has an interval (Clopper and Pearson,
95 %). `holds`: of all judged starts together no more than MAX_FALL_CHANCE were overloaded, and engines of
each site may get MIN_BUDGET_USED of their budget at full load; a short run, with few starts, is judged by the
interval's lower end and by 0.95 of MIN_BUDGET_USED.
"""

from __future__ import annotations

import argparse
import json
import sys
from math import comb
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from spoolbarrow.lab.slow_start_exposure import USUAL, Rule, Traffic, play

RULES = {
    "first": Rule(0.34, 8600.0, 4.0, 2000.0),
    "second": Rule(0.12, 22_000.0, 2.5, 2000.0),
    "small": Rule(0.1, 10_000.0, 2.0, 1000.0),
    "wide": Rule(0.6, 10_000.0, 3.0, 3000.0),
}
ROUTERS = (1, 20, 30, 200)
TRAFFIC = {
    "usual": USUAL,
    "equal work": Traffic(work_sigma=0.0),
    "heavy work": Traffic(work_sigma=1.2),
    "one busy router": Traffic(busiest_factor=8.0),
    "hot opening": Traffic(zipf=1.3, hot_share=0.3),
    "hot opening, routers that know nothing": Traffic(zipf=1.3, hot_share=0.3, lead_ms=0.0),
    "half of the routers end, begin or join": Traffic(restarted_share=0.5),
    "streams moved at once": Traffic(resumed_ms=3000.0),
    "three attempts": Traffic(attempts=3),
    "load 0.4": Traffic(load=0.4),
    "load 1.2": Traffic(load=1.2),
    "load 3": Traffic(load=3.0),
    "load 3 and a hot opening": Traffic(load=3.0, zipf=1.3, hot_share=0.3),
    "one request a second": Traffic(per_engine_s=1.0),
    "restarts told within 1.5 s": Traffic(notified_within_ms=1500.0),
    "slow engines": Traffic(capacity=0.6),
}
NOT_JUDGED = ("slow engines",)  # a router does not know that their capacity is below the mean
ENGINES = 30
COLD_ENGINES = (6, 9, 18)  # that start at once, by seed; among them a zone, and six in ten of all
MAX_FALL_CHANCE = 0.001  # of an overload, for an engine of mean capacity
MIN_BUDGET_USED = 0.5  # of the budget that a cold engine may get at full load: less would starve it


def interval(falls: int, starts: int) -> tuple[float, float]:
    """The 95 % interval of Clopper and Pearson."""

    def at_most(p: float, most: int) -> float:
        return sum(comb(starts, k) * p**k * (1.0 - p) ** (starts - k) for k in range(most + 1))

    def solve(most: int, wanted: float) -> float:
        low, high = 0.0, 1.0
        for _ in range(40):
            middle = (low + high) / 2.0
            low, high = (middle, high) if at_most(middle, most) > wanted else (low, middle)
        return low

    return (solve(falls - 1, 0.975) if falls else 0.0), solve(falls, 0.025)


def case(rule: Rule, nodes: int, traffic: Traffic, runs: int) -> dict[str, float]:
    """Run one case with several seeds."""
    results = [
        result
        for seed in range(runs)
        for result in play(nodes, rule, seed, traffic, ENGINES, COLD_ENGINES[seed % len(COLD_ENGINES)])
    ]
    falls = sum(result.broke for result in results)
    return {
        "starts": len(results),
        "falls": falls,
        "with_untold": sum(result.worst > 1.0 for result in results),
        "worst": round(max(result.worst for result in results), 3),
        "used": round(sum(result.used for result in results) / len(results), 3),
    }


def main() -> int:
    """Run, print one line for each case, and a JSON object last; exit status 1 if it does not hold."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    short = parser.parse_args().short
    found: dict[str, dict[str, dict[str, float]]] = {}
    falls = starts = 0
    for number, (name, traffic) in enumerate(TRAFFIC.items()):
        for offset, (site, rule) in enumerate(RULES.items()):
            routers = (ROUTERS[(number + offset) % len(ROUTERS)],) if short else ROUTERS
            for nodes in routers:
                figures = case(rule, nodes, traffic, 2 if short else 10)
                found.setdefault(name, {})[f"{site}, {nodes} routers"] = figures
                print(f"{name}: {site} site, {nodes} routers: {figures}", flush=True)
                if name not in NOT_JUDGED:
                    falls, starts = falls + int(figures["falls"]), starts + int(figures["starts"])
    # The most an engine may get: every request that may go there does, even if it may go to others.
    opened = {
        site: case(rule, 20, Traffic(attempts=ENGINES, load=1.0), 18 if short else 60)["used"]
        for site, rule in RULES.items()
    }
    low, high = interval(falls, starts)
    fall_chance, least = (low, 0.95 * MIN_BUDGET_USED) if short else (falls / starts, MIN_BUDGET_USED)
    holds = bool(fall_chance <= MAX_FALL_CHANCE and min(opened.values()) >= least)
    print(
        json.dumps(
            {
                "name": "cold_engines",
                "holds": holds,
                "falls": falls,
                "starts": starts,
                "chance": round(falls / starts, 5),
                "interval": [round(low, 5), round(high, 5)],
                "opened": opened,
                "plays": found,
            }
        )
    )
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
