"""Cold engines: the chance that one falls when all it is open to is sent there, and what share that is.

    python benchmarks/slow_start_overload.py [--short]

Several sites' rule 4, 1 to 200 routers, and traffic of many kinds (`lab/slow_start_exposure.py`). The share of starts that
fell is told with its interval (Clopper and Pearson, 95 %). `holds`: of all judged starts together no more
than CHANCE fell, and engines of each site are open to USED of their budget at full load; a short run, of
few starts, is judged by the interval's lower end and by 0.95 of USED.
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
TOLD_ONLY = ("slow engines",)  # not judged: a router does not know that they bear less than the mean
ENGINES = 30
COLD = (6, 9, 18)  # of them, at once, by seed: also a zone, and six in ten
CHANCE = 0.001  # of a fall, for an engine of mean capacity
USED = 0.5  # of the budget, at least, to which a cold engine is open at full load: less would starve it


def interval(falls: int, starts: int) -> tuple[float, float]:
    """Clopper and Pearson, 95 %."""

    def at_most(p: float, most: int) -> float:
        return sum(comb(starts, k) * p**k * (1.0 - p) ** (starts - k) for k in range(most + 1))

    def solve(most: int, wanted: float) -> float:
        low, high = 0.0, 1.0
        for _ in range(40):
            middle = (low + high) / 2.0
            low, high = (middle, high) if at_most(middle, most) > wanted else (low, middle)
        return low

    return (solve(falls - 1, 0.975) if falls else 0.0), solve(falls, 0.025)


def case(rule: Rule, nodes: int, traffic: Traffic, plays: int) -> dict[str, float]:
    """Plays of one case."""
    all_of = [
        one
        for seed in range(plays)
        for one in play(nodes, rule, seed, traffic, ENGINES, COLD[seed % len(COLD)])
    ]
    falls = sum(one.broke for one in all_of)
    return {
        "starts": len(all_of),
        "falls": falls,
        "with_untold": sum(one.worst > 1.0 for one in all_of),
        "worst": round(max(one.worst for one in all_of), 3),
        "used": round(sum(one.used for one in all_of) / len(all_of), 3),
    }


def main() -> int:
    """Play, print a line each, and a JSON object last; exit status 1 where it does not hold."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    short = parser.parse_args().short
    found: dict[str, dict[str, dict[str, float]]] = {}
    falls = starts = 0
    for number, (name, traffic) in enumerate(TRAFFIC.items()):
        for at, (site, rule) in enumerate(RULES.items()):
            routers = (ROUTERS[(number + at) % len(ROUTERS)],) if short else ROUTERS
            for nodes in routers:
                told = case(rule, nodes, traffic, 2 if short else 10)
                found.setdefault(name, {})[f"{site}, {nodes} routers"] = told
                print(f"{name}: {site} site, {nodes} routers: {told}", flush=True)
                if name not in TOLD_ONLY:
                    falls, starts = falls + int(told["falls"]), starts + int(told["starts"])
    # What an engine is open to: all that may go there does, also what may go to others.
    opened = {
        site: case(rule, 20, Traffic(attempts=ENGINES, load=1.0), 18 if short else 60)["used"]
        for site, rule in RULES.items()
    }
    low, high = interval(falls, starts)
    chance, least = (low, 0.95 * USED) if short else (falls / starts, USED)
    holds = bool(chance <= CHANCE and min(opened.values()) >= least)
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
