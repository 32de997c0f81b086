"""Cold engines: the chance that one falls when all it is open to is sent there, at both sites' rule 4.

    python benchmarks/cold_engines.py [--short]
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from spoolbarrow.lab.opened import Rule, play

RULES = {"first": Rule(0.34, 8600.0, 4.0, 2000.0), "second": Rule(0.12, 22_000.0, 2.5, 2000.0)}
ROUTERS = (1, 2, 40, 200)
CHANCE = 0.001  # of a fall, for an engine of mean capacity
SLOW = 0.6  # of the mean capacity: told, not judged


def main() -> int:
    """Play, print a line each, and a JSON object last; exit status 1 where the chance is higher."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    plays = 2 if parser.parse_args().short else 20
    found: dict[str, dict[str, float]] = {}
    for site, rule in RULES.items():
        for nodes in ROUTERS:
            for capacity in (1.0, SLOW):
                all_of = [one for seed in range(plays) for one in play(nodes, rule, seed, capacity=capacity)]
                found[f"{site} {nodes} {capacity}"] = one_case = {
                    "starts": len(all_of), "falls": sum(one.worst > 1.0 for one in all_of),
                    "worst": round(max(one.worst for one in all_of), 3),
                    "sent": round(sum(one.sent for one in all_of) / len(all_of), 3),
                }
                print(f"{site} site, {nodes} routers, capacity {capacity}: {one_case}", flush=True)
    judged = [case for key, case in found.items() if key.endswith(" 1.0")]
    falls, starts = sum(case["falls"] for case in judged), sum(case["starts"] for case in judged)
    holds = bool(falls <= CHANCE * starts)
    told = {"name": "cold_engines", "holds": holds, "falls": falls, "starts": starts, "plays": found}
    print(json.dumps(told))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
