"""Pairs of live and copied answers held against each other: figures, intervals, a verdict. Pure.

Needs the packages of the extra `lab` (numpy, hdrhistogram, rapidfuzz). Every difference is copy less live.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import numpy
from hdrh.histogram import HdrHistogram
from msgspec import Struct
from rapidfuzz.distance import Levenshtein

from spoolbarrow.shadow.answer_recorder import DIGEST

Pair = dict[str, Any]
LENGTHS = (1000, 4000, 8000, 16_000)  # prompt tokens that part the groups
PERCENTILES = (50.0, 90.0, 99.0)
RESAMPLES = 2000
CONFIDENCE = 0.95
MOST_MS, DIGITS = 3_600_000, 3  # an hour, in units of 0.1 ms: of the histograms
SEED = 11  # the same pairs, the same intervals
EDIT_MOST = 4000  # characters of texts compared letter by letter


class Bounds(Struct, frozen=True):
    """What a candidate must keep to be promoted; shares of the live figure."""

    least_pairs: int = 200
    first_slower: float = 0.10  # the upper end of the interval of the median difference
    pace_slower: float = 0.10
    errors: float = 0.01  # more failed copies than failed live answers, of all
    agree: float = 0.0  # the least share of answers that are the same
    not_copied: float = 0.5  # of what was wanted, dropped: beyond it the pairs may not speak for the traffic


class Side(Struct):
    """One side's figures."""

    first_ms: dict[str, float]
    token_ms: dict[str, float]
    tokens: float
    failed: float


class Figures(Struct):
    """A group of pairs."""

    name: str
    pairs: int
    compared: int  # both whole: times and texts are of these
    live: Side
    copy: Side
    first_difference: tuple[float, float, float]  # low, median, high: share of live's median
    pace_difference: tuple[float, float, float]
    same: float
    opening: float  # mean share of words in common from the start
    edit: float | None  # mean normalized distance, where texts are kept
    finish_agree: float
    length_ratio: float


class Report(Struct):
    """All of it."""

    groups: list[Figures]
    failures: dict[str, int]
    verdict: str
    reasons: list[str]
    not_copied: dict[str, int]


def whole(pair: Pair) -> bool:
    """Whether both answers came to their end."""
    return all(pair[side]["outcome"] == "served" and pair[side]["whole"] for side in ("live", "copy"))


def first_ms(answer: Pair) -> float:
    """Time to the first event with text; NaN where there was none."""
    return float(answer["times"][0]) if answer["times"] else float("nan")


def token_ms(answer: Pair) -> float:
    """Mean time a token after the first event; NaN where there are no two events."""
    times, tokens = answer["times"], answer["tokens"]
    if len(times) < 2 or tokens < 2:
        return float("nan")
    return float((times[-1] - times[0]) / (tokens - 1))


def opening(live: str, copy: str) -> float:
    """The share of words that two chains of digests have in common from the start."""
    width = 2 * DIGEST
    mine = [live[n : n + width] for n in range(0, len(live), width)]
    theirs = [copy[n : n + width] for n in range(0, len(copy), width)]
    longest = max(len(mine), len(theirs))
    common = next((n for n, (a, b) in enumerate(zip(mine, theirs, strict=False)) if a != b), None)
    if common is None:
        common = min(len(mine), len(theirs))
    return common / longest if longest else 1.0


def length_group(tokens: int) -> str:
    """The group of a prompt's length."""
    under = next((bound for bound in LENGTHS if tokens < bound), None)
    return f"under {under} tokens" if under else f"{LENGTHS[-1]} tokens and more"


def percentiles(values: Iterable[float]) -> dict[str, float]:
    """Percentiles by HdrHistogram, ms to three digits; empty without values."""
    histogram = HdrHistogram(1, MOST_MS * 10, DIGITS)
    for value in values:
        if value == value:
            histogram.record_value(max(1, round(value * 10)))
    if not histogram.get_total_count():
        return {}
    return {f"p{p:g}": histogram.get_value_at_percentile(p) / 10 for p in PERCENTILES}


def interval(live: list[float], copy: list[float]) -> tuple[float, float, float]:
    """Low, median and high of the paired differences' median, as shares of live's median (bootstrap)."""
    pairs = [(a, b) for a, b in zip(live, copy, strict=True) if a == a and b == b]
    if not pairs:
        return (float("nan"),) * 3
    base = float(numpy.median([a for a, _ in pairs])) or 1.0
    differences = numpy.array([b - a for a, b in pairs]) / base
    luck = numpy.random.default_rng(SEED)
    picked = luck.integers(0, len(differences), (RESAMPLES, len(differences)))
    medians = numpy.median(differences[picked], axis=1)
    tail = (1.0 - CONFIDENCE) / 2
    low, high = numpy.quantile(medians, (tail, 1.0 - tail))
    return float(low), float(numpy.median(differences)), float(high)


def _side(pairs: list[Pair], compared: list[Pair], side: str) -> Side:
    return Side(
        percentiles(first_ms(pair[side]) for pair in compared),
        percentiles(token_ms(pair[side]) for pair in compared),
        float(numpy.mean([pair[side]["tokens"] for pair in compared])) if compared else 0.0,
        sum(pair[side]["outcome"] != "served" for pair in pairs) / len(pairs),
    )


def figures(name: str, pairs: list[Pair]) -> Figures:
    """The figures of a group that is not empty."""
    compared = [pair for pair in pairs if whole(pair)]
    sides = [[pair["live"] for pair in compared], [pair["copy"] for pair in compared]]

    def mean(values: list[float]) -> float:
        return float(numpy.mean(values)) if values else float("nan")

    texts = [
        (a["text"][:EDIT_MOST], b["text"][:EDIT_MOST])
        for a, b in zip(*sides, strict=True)
        if "text" in a and "text" in b
    ]
    both = list(zip(*sides, strict=True))
    return Figures(
        name,
        len(pairs),
        len(compared),
        _side(pairs, compared, "live"),
        _side(pairs, compared, "copy"),
        interval([first_ms(a) for a in sides[0]], [first_ms(b) for b in sides[1]]),
        interval([token_ms(a) for a in sides[0]], [token_ms(b) for b in sides[1]]),
        mean([float(a["words"] == b["words"] and a["length"] == b["length"]) for a, b in both]),
        mean([opening(a["words"], b["words"]) for a, b in both]),
        mean([Levenshtein.normalized_distance(a, b) for a, b in texts]) if texts else None,
        mean([float(a["finish"] == b["finish"]) for a, b in both]),
        mean([b["length"] / a["length"] for a, b in both if a["length"]]),
    )


def report(pairs: list[Pair], bounds: Bounds, not_copied: dict[str, int] | None = None) -> Report:
    """Figures of all pairs, by class, tenant and prompt length; and whether the candidate may serve."""
    groups: dict[str, list[Pair]] = defaultdict(list)
    for pair in pairs:
        groups[f"class {pair['class']}"].append(pair)
        groups[f"tenant {pair['tenant']}"].append(pair)
        groups[length_group(pair["prompt_tokens"])].append(pair)
    found = [figures("all", pairs)] if pairs else []
    found += [figures(name, some) for name, some in sorted(groups.items())]
    failures = Counter(
        f"{side}: {pair[side].get('why') or pair[side]['outcome']}"
        for pair in pairs
        for side in ("live", "copy")
        if pair[side]["outcome"] != "served"
    )
    verdict, reasons = judge(found, bounds, len(pairs), not_copied or {})
    return Report(found, dict(failures.most_common()), verdict, reasons, not_copied or {})


def judge(
    groups: list[Figures], bounds: Bounds, pairs: int, not_copied: dict[str, int]
) -> tuple[str, list[str]]:
    """`promote`, `hold` or `not enough pairs`, with each bound that was broken."""
    compared = groups[0].compared if groups else 0
    all_failed = bool(groups) and groups[0].copy.failed - groups[0].live.failed > bounds.errors
    if compared < bounds.least_pairs and not all_failed:
        return "not enough pairs", [f"{compared} pairs are whole, {bounds.least_pairs} are needed"]
    reasons = []
    for group in groups:
        if group.name != "all" and group.compared < bounds.least_pairs:
            continue  # too few to hold the whole for them
        for what, difference, bound in (
            ("first event", group.first_difference, bounds.first_slower),
            ("pace", group.pace_difference, bounds.pace_slower),
        ):
            if difference[2] > bound:
                slower = f"{difference[2]:+.1%} slower, {bound:.1%} is allowed"
                reasons.append(f"{group.name}: {what} may be {slower}")
        if group.copy.failed - group.live.failed > bounds.errors:
            more = group.copy.failed - group.live.failed
            reasons.append(f"{group.name}: {more:.1%} more failed, {bounds.errors:.1%} is allowed")
        if group.same < bounds.agree:
            reasons.append(f"{group.name}: {group.same:.1%} are the same, {bounds.agree:.1%} are needed")
    missed = sum(not_copied.values())
    if missed and missed / (missed + pairs) > bounds.not_copied:
        share = missed / (missed + pairs)
        reasons.append(f"{share:.1%} of what was wanted was not copied: the pairs may not speak for all")
    return ("hold" if reasons else "promote"), reasons
