"""Quantiles of what was seen: histograms in logarithmic buckets that add up, forget, and know of cut ends.

Each bucket is GROWTH times as wide as the one below, so a quantile is told within 5 % (the same bound as
DDSketch: C. Masson, J. E. Rim and H. K. Lee, VLDB 12(12), 2019; the libraries weighed stand in
docs/pools.md). What was cut off (its client left, its stream broke) is known to be longer than what was seen
of it, and counts so: E. L. Kaplan and P. Meier, JASA 53(282), 1958.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import exp, isfinite, log, log1p, sqrt

GROWTH = 1.1
LONGEST = 1e7  # tokens, or any other unit: what is longer is no length but a fault
WIDTH = log(GROWTH)
BUCKETS = int(log1p(LONGEST) / WIDTH) + 1
LEAST = 0.01  # a bucket that weighs less has been forgotten
MOST = 1e9  # no weight is larger: no router sees so much within a half-life


def bucket(value: float) -> int:
    """Where a value belongs; -1: it can't be a length."""
    return int(log1p(value) / WIDTH) if isfinite(value) and 0.0 <= value <= LONGEST else -1


def middle(number: int) -> float:
    """The value that stands for a bucket, off by the same share from both of its ends."""
    return exp(number * WIDTH) * sqrt(GROWTH) - 1.0


def fade(counts: dict[int, float], share: float) -> None:
    """Keep so much of each weight."""
    for number in list(counts):
        counts[number] *= share
        if counts[number] < LEAST:
            del counts[number]


def quantile(counts: Mapping[int, float], share: float) -> float:
    """The value that `share` of the weight does not exceed; 0 of nothing."""
    left = share * sum(counts.values())
    found = -1
    for found in sorted(counts):
        left -= counts[found]
        if left <= 0.0:
            break
    return middle(found) if found >= 0 else 0.0


def mean(counts: Mapping[int, float]) -> float:
    """The mean; 0 of nothing."""
    total = sum(counts.values())
    return sum(middle(n) * weight for n, weight in sorted(counts.items())) / total if total > 0.0 else 0.0


def kaplan_meier(ended: Mapping[int, float], cut: Mapping[int, float]) -> dict[int, float]:
    """The distribution of whole lengths by the product-limit estimate, as weights that add up to 1.

    What is left beyond the longest one that ended is told there: how much longer it would have been is not
    known, and a guess would be no evidence.
    """
    at_risk = sum(ended.values()) + sum(cut.values())
    alive, found = 1.0, {}
    for number in sorted(ended.keys() | cut.keys()):
        gone = ended.get(number, 0.0)
        if gone > 0.0 and at_risk > 0.0:
            found[number] = alive * min(1.0, gone / at_risk)
            alive -= found[number]
        at_risk -= gone + cut.get(number, 0.0)
    if alive > 1e-9 and (ended or cut):
        last = max(ended.keys() | cut.keys())
        found[last] = found.get(last, 0.0) + alive
    return found


def told(counts: Mapping[int, float]) -> list[int]:
    """As bucket, weight, bucket, weight ... in order; weights in hundredths."""
    return [value for n, weight in sorted(counts.items()) for value in (n, round(weight * 100.0))]


def heard(values: Sequence[int]) -> dict[int, float] | None:
    """What `told` says; None where it can't be (negative, beyond all bounds, out of order)."""
    if len(values) % 2 or len(values) > 2 * BUCKETS:
        return None
    found: dict[int, float] = {}
    last = -1
    for n, weight in zip(values[::2], values[1::2], strict=True):
        if not (last < n < BUCKETS and 0 <= weight <= 100 * MOST):
            return None
        last = n
        found[n] = weight / 100.0
    return found


def add(into: dict[int, float], other: Mapping[int, float], weight: float = 1.0) -> None:
    """Merge."""
    for number, much in other.items():
        into[number] = into.get(number, 0.0) + much * weight
