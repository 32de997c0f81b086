"""Compares ways for a fleet to pace calls to its list service (`lab/list_call_simulation.py`), as tables.

    python benchmarks/list_pacing.py [--short]

Each cell has means over the seeds: calls per router, failed %, the longest wait relative to the timeout,
calls in the busiest second, and when half and all had their list, over the least time the service needs.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from statistics import mean

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow.lab.list_call_simulation import CASES, RATES_PER_S, STRATEGIES, Result, simulate  # noqa: E402


def main() -> None:
    """Print a table for each fleet and case."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true", help="two seeds and 200 routers only")
    short = parser.parse_args().short
    seeds = range(2 if short else 20)
    for routers in (200,) if short else (10, 100, 200, 400):
        for title, known, down in CASES:
            print(f"\n{routers} routers, {title}\n\n| way | 5 a second | 10 | 20 |\n{'| --- ' * 4}|")
            for name, make in STRATEGIES.items():
                cells = []
                for rate in RATES_PER_S:
                    cells.append(
                        format_cell([simulate(make, routers, rate, known, down, seed) for seed in seeds])
                    )
                print(f"| {name} | {' | '.join(cells)} |")


def format_cell(plays: list[Result]) -> str:
    """Format calls per router, failed %, longest wait, busiest second, and when half and all had a list."""
    calls, failed, queue, busiest, half, last = (mean(values) for values in zip(*plays, strict=True))
    return f"{calls:.2f}, {100 * failed:.0f}, {queue:.2f}, {busiest:.0f}, {half:.1f}, {last:.1f}"


if __name__ == "__main__":
    main()
