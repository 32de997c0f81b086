"""Compares two sets of runs: paired by seed and settings, with bootstrap confidence intervals.

B. Efron and R. J. Tibshirani, "An Introduction to the Bootstrap", 1993, chapter 13 (percentile intervals).
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from spoolbarrow.lab.experiment import ResultTable
from spoolbarrow.lab.scenario import ScenarioError

RESAMPLES = 4000
LEAST_PAIRS = 5
PAIRED_BY = ("scenario", "settings", "constants", "policy", "seed")
LESS_IS_BETTER = (
    "refused_share",
    "wasted_share",
    "spread",
    "decision_us",
    "rules_broken",
    "probes_a_request",
)


class Difference(NamedTuple):
    """The difference of a figure, B less A, over all pairs."""

    figure: str
    pairs: int
    of_a: float
    of_b: float
    difference: float
    low: float  # of its 95% interval
    high: float
    verdict: str


def select(text: str) -> tuple[list[dict[str, Any]], set[str]]:
    """The rows of `DIRECTORY` or `DIRECTORY:key=value,...` and its keys; ScenarioError if none match."""
    place, _, chosen = text.partition(":")
    if not Path(place).is_dir():
        raise ScenarioError(f"{place}: no such directory")
    rows = ResultTable(Path(place)).rows()
    filters = dict(pair.partition("=")[::2] for pair in chosen.split(",") if pair)
    for key, value in filters.items():
        if rows and key not in rows[0]:
            raise ScenarioError(f"{text}: there is no column {key!r}")
        rows = [row for row in rows if str(row[key]) == value]
    if not rows:
        raise ScenarioError(f"{text}: no rows")
    return rows, set(filters)


def compare(a: str, b: str, figure: str) -> Difference:
    """Compare B with A in one figure; ScenarioError if no runs can be paired."""
    (first, one), (second, other) = select(a), select(b)
    by = [key for key in PAIRED_BY if key not in one | other]

    def keyed(rows: list[dict[str, Any]]) -> dict[tuple[Any, ...], float]:
        if figure not in rows[0]:
            raise ScenarioError(f"there is no figure {figure!r}")
        return {tuple(row[key] for key in by): float(row[figure]) for row in rows}

    left, right = keyed(first), keyed(second)
    shared = sorted(left.keys() & right.keys(), key=str)
    if not shared:
        raise ScenarioError("no run of one has its pair in the other")
    x = np.array([left[key] for key in shared])
    y = np.array([right[key] for key in shared])
    differences = y - x
    draws = np.random.default_rng(1).integers(0, len(shared), (RESAMPLES, len(shared)))
    low, high = np.percentile(differences[draws].mean(axis=1), [2.5, 97.5])
    more, less = low > 0.0, high < 0.0
    better, worse = (less, more) if figure in LESS_IS_BETTER or "_ms_" in figure else (more, less)
    if len(shared) < LEAST_PAIRS:
        verdict = f"not enough pairs (under {LEAST_PAIRS})"
    elif better or worse:
        verdict = "B is better" if better else "B is worse"
    else:
        verdict = "no difference shown"
    mean = float(differences.mean())
    return Difference(
        figure, len(shared), float(x.mean()), float(y.mean()), mean, float(low), float(high), verdict
    )
