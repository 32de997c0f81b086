"""Quantile sketches: mergeable histograms in logarithmic buckets that decay and handle censored values.

Each bucket is GROWTH times as wide as the one below, so a quantile is within 5 % (the same bound as DDSketch:
C. Masson, J. E. Rim and H. K. Lee, VLDB 12(12), 2019; docs/pools.md compares libraries). A value that was cut
off (its client left, its stream broke) is known to be larger than what was observed, and is counted as
censored: E. L. Kaplan and P. Meier, JASA 53(282), 1958.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import exp, isfinite, log, log1p, sqrt

GROWTH = 1.1
MAX_VALUE = 1e7  # tokens, or any other unit: a larger value is invalid
LOG_GROWTH = log(GROWTH)
BUCKETS = int(log1p(MAX_VALUE) / LOG_GROWTH) + 1
MIN_WEIGHT = 0.01  # a bucket that has decayed below is removed
MAX_WEIGHT = 1e9  # of a bucket: no router observes so much within a half-life


def bucket(value: float) -> int:
    """The bucket of a value; -1: invalid."""
    return int(log1p(value) / LOG_GROWTH) if isfinite(value) and 0.0 <= value <= MAX_VALUE else -1


def midpoint(number: int) -> float:
    """The value that represents a bucket, at the same relative distance from both of its ends."""
    return exp(number * LOG_GROWTH) * sqrt(GROWTH) - 1.0


def decay(counts: dict[int, float], factor: float) -> None:
    """Multiply each weight by the factor."""
    for number in list(counts):
        counts[number] *= factor
        if counts[number] < MIN_WEIGHT:
            del counts[number]


def quantile(counts: Mapping[int, float], share: float) -> float:
    """The value that `share` of the weight does not exceed; 0 if empty."""
    remaining = share * sum(counts.values())
    found = -1
    for found in sorted(counts):
        remaining -= counts[found]
        if remaining <= 0.0:
            break
    return midpoint(found) if found >= 0 else 0.0


def mean(counts: Mapping[int, float]) -> float:
    """The mean; 0 if empty."""
    total = sum(counts.values())
    return sum(midpoint(n) * weight for n, weight in sorted(counts.items())) / total if total > 0.0 else 0.0


def kaplan_meier(ended: Mapping[int, float], cut: Mapping[int, float]) -> dict[int, float]:
    """The distribution of complete lengths by the product-limit estimate, as weights that add up to 1.

    The probability beyond the longest observed length is put there: how much longer those would have been is
    not known, and a guess would be no evidence.
    """
    at_risk = sum(ended.values()) + sum(cut.values())
    survival, weights = 1.0, {}
    for number in sorted(ended.keys() | cut.keys()):
        ends = ended.get(number, 0.0)
        if ends > 0.0 and at_risk > 0.0:
            weights[number] = survival * min(1.0, ends / at_risk)
            survival -= weights[number]
        at_risk -= ends + cut.get(number, 0.0)
    if survival > 1e-9 and (ended or cut):
        last = max(ended.keys() | cut.keys())
        weights[last] = weights.get(last, 0.0) + survival
    return weights


def encode(counts: Mapping[int, float]) -> list[int]:
    """As bucket, weight, bucket, weight ... in order; weights in hundredths."""
    return [value for n, weight in sorted(counts.items()) for value in (n, round(weight * 100.0))]


def decode(values: Sequence[int]) -> dict[int, float] | None:
    """The histogram that `encode` wrote; None where it is invalid (negative, out of bounds or of order)."""
    if len(values) % 2 or len(values) > 2 * BUCKETS:
        return None
    counts: dict[int, float] = {}
    last = -1
    for n, weight in zip(values[::2], values[1::2], strict=True):
        if not (last < n < BUCKETS and 0 <= weight <= 100 * MAX_WEIGHT):
            return None
        last = n
        counts[n] = weight / 100.0
    return counts


def merge(into: dict[int, float], other: Mapping[int, float], factor: float = 1.0) -> None:
    """Add another histogram's weights, multiplied by the factor."""
    for number, weight in other.items():
        into[number] = into.get(number, 0.0) + weight * factor
