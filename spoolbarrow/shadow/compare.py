"""Compares pairs of live and copied answers: figures, confidence intervals and a verdict.

Needs the packages of the extra `lab` (numpy, hdrhistogram, rapidfuzz). Every difference is copy minus live.
No I/O.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import numpy
from hdrh.histogram import HdrHistogram
from msgspec import Struct
from rapidfuzz.distance import Levenshtein

from spoolbarrow.shadow.answer_recorder import DIGEST_BYTES

Pair = dict[str, Any]
LENGTH_BOUNDS_TOKENS = (1000, 4000, 8000, 16_000)  # upper bounds of the groups by prompt length
PERCENTILES = (50.0, 90.0, 99.0)
RESAMPLES = 2000
CONFIDENCE = 0.95
MAX_MS, DIGITS = 3_600_000, 3  # histogram range of an hour in units of 0.1 ms, and its precision
RESAMPLING_SEED = 11  # fixed, so that the same pairs give the same intervals
MAX_EDIT_CHARS = 4000  # longer texts are cut for the edit distance


class Bounds(Struct, frozen=True):
    """Bounds that a candidate must meet to be promoted, as shares of the live figure."""

    least_pairs: int = 200
    first_slower: float = 0.10  # upper end of the confidence interval of the median difference
    pace_slower: float = 0.10
    errors: float = 0.01  # excess of failed copies over failed live answers, of all
    agree: float = 0.0  # minimum share of identical answers
    not_copied: float = (
        0.5  # dropped share of selected requests; beyond it the pairs may not be representative
    )


class Side(Struct):
    """Figures of the live answers or of the copies."""

    first_ms: dict[str, float]
    token_ms: dict[str, float]
    tokens: float
    failed: float


class Figures(Struct):
    """Figures of a group of pairs."""

    name: str
    pairs: int
    compared: int  # pairs with both answers complete; times and texts are of these
    live: Side
    copy: Side
    first_difference: tuple[float, float, float]  # low, median, high; as shares of the live median
    pace_difference: tuple[float, float, float]
    same: float
    opening: float  # mean share of words in common from the start
    edit: float | None  # mean normalized edit distance, if texts are kept
    finish_agree: float
    length_ratio: float


class Report(Struct):
    """The whole comparison."""

    groups: list[Figures]
    failures: dict[str, int]
    verdict: str
    reasons: list[str]
    not_copied: dict[str, int]


def is_complete(pair: Pair) -> bool:
    """Whether both answers are complete."""
    return all(pair[side]["outcome"] == "served" and pair[side]["whole"] for side in ("live", "copy"))


def first_event_ms(answer: Pair) -> float:
    """Time to the first event with text; NaN if there was none."""
    return float(answer["times"][0]) if answer["times"] else float("nan")


def time_per_token_ms(answer: Pair) -> float:
    """Mean time per token after the first event; NaN with fewer than two events."""
    times, tokens = answer["times"], answer["tokens"]
    if len(times) < 2 or tokens < 2:
        return float("nan")
    return float((times[-1] - times[0]) / (tokens - 1))


def common_opening(live: str, copy: str) -> float:
    """The share of words that two digest chains have in common from the start."""
    width = 2 * DIGEST_BYTES
    live_words = [live[n : n + width] for n in range(0, len(live), width)]
    copy_words = [copy[n : n + width] for n in range(0, len(copy), width)]
    longest = max(len(live_words), len(copy_words))
    common = next((n for n, (a, b) in enumerate(zip(live_words, copy_words, strict=False)) if a != b), None)
    if common is None:
        common = min(len(live_words), len(copy_words))
    return common / longest if longest else 1.0


def length_group(tokens: int) -> str:
    """The group that a prompt length belongs to."""
    under = next((bound for bound in LENGTH_BOUNDS_TOKENS if tokens < bound), None)
    return f"under {under} tokens" if under else f"{LENGTH_BOUNDS_TOKENS[-1]} tokens and more"


def percentiles(values: Iterable[float]) -> dict[str, float]:
    """Percentiles in ms by HdrHistogram, to three digits; empty without values."""
    histogram = HdrHistogram(1, MAX_MS * 10, DIGITS)
    for value in values:
        if value == value:
            histogram.record_value(max(1, round(value * 10)))
    if not histogram.get_total_count():
        return {}
    return {f"p{p:g}": histogram.get_value_at_percentile(p) / 10 for p in PERCENTILES}


def interval(live: list[float], copy: list[float]) -> tuple[float, float, float]:
    """Bootstrap interval of the paired differences' median (low, median, high; shares of the live median)."""
    pairs = [(a, b) for a, b in zip(live, copy, strict=True) if a == a and b == b]
    if not pairs:
        return (float("nan"),) * 3
    base = float(numpy.median([a for a, _ in pairs])) or 1.0
    differences = numpy.array([b - a for a, b in pairs]) / base
    rng = numpy.random.default_rng(RESAMPLING_SEED)
    sampled_indices = rng.integers(0, len(differences), (RESAMPLES, len(differences)))
    medians = numpy.median(differences[sampled_indices], axis=1)
    tail = (1.0 - CONFIDENCE) / 2
    low, high = numpy.quantile(medians, (tail, 1.0 - tail))
    return float(low), float(numpy.median(differences)), float(high)


def _side(pairs: list[Pair], compared: list[Pair], side: str) -> Side:
    return Side(
        percentiles(first_event_ms(pair[side]) for pair in compared),
        percentiles(time_per_token_ms(pair[side]) for pair in compared),
        float(numpy.mean([pair[side]["tokens"] for pair in compared])) if compared else 0.0,
        sum(pair[side]["outcome"] != "served" for pair in pairs) / len(pairs),
    )


def figures(name: str, pairs: list[Pair]) -> Figures:
    """The figures of a non-empty group."""
    compared = [pair for pair in pairs if is_complete(pair)]
    sides = [[pair["live"] for pair in compared], [pair["copy"] for pair in compared]]

    def mean(values: list[float]) -> float:
        return float(numpy.mean(values)) if values else float("nan")

    texts = [
        (a["text"][:MAX_EDIT_CHARS], b["text"][:MAX_EDIT_CHARS])
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
        interval([first_event_ms(a) for a in sides[0]], [first_event_ms(b) for b in sides[1]]),
        interval([time_per_token_ms(a) for a in sides[0]], [time_per_token_ms(b) for b in sides[1]]),
        mean([float(a["words"] == b["words"] and a["length"] == b["length"]) for a, b in both]),
        mean([common_opening(a["words"], b["words"]) for a, b in both]),
        mean([Levenshtein.normalized_distance(a, b) for a, b in texts]) if texts else None,
        mean([float(a["finish"] == b["finish"]) for a, b in both]),
        mean([b["length"] / a["length"] for a, b in both if a["length"]]),
    )


def report(pairs: list[Pair], bounds: Bounds, not_copied: dict[str, int] | None = None) -> Report:
    """Compute the figures of all pairs, by class, tenant and prompt length, and the verdict."""
    groups: dict[str, list[Pair]] = defaultdict(list)
    for pair in pairs:
        groups[f"class {pair['class']}"].append(pair)
        groups[f"tenant {pair['tenant']}"].append(pair)
        groups[length_group(pair["prompt_tokens"])].append(pair)
    group_figures = [figures("all", pairs)] if pairs else []
    group_figures += [figures(name, group_pairs) for name, group_pairs in sorted(groups.items())]
    failures = Counter(
        f"{side}: {pair[side].get('why') or pair[side]['outcome']}"
        for pair in pairs
        for side in ("live", "copy")
        if pair[side]["outcome"] != "served"
    )
    verdict, reasons = judge(group_figures, bounds, len(pairs), not_copied or {})
    return Report(group_figures, dict(failures.most_common()), verdict, reasons, not_copied or {})


def judge(
    groups: list[Figures], bounds: Bounds, pairs: int, not_copied: dict[str, int]
) -> tuple[str, list[str]]:
    """`promote`, `hold` or `not enough pairs`, with every violated bound."""
    compared = groups[0].compared if groups else 0
    too_many_failures = bool(groups) and groups[0].copy.failed - groups[0].live.failed > bounds.errors
    if compared < bounds.least_pairs and not too_many_failures:
        return "not enough pairs", [f"{compared} pairs are complete, {bounds.least_pairs} are needed"]
    reasons = []
    for group in groups:
        if group.name != "all" and group.compared < bounds.least_pairs:
            continue  # too few pairs to hold the candidate for this group
        for name, difference, bound in (
            ("first event", group.first_difference, bounds.first_slower),
            ("pace", group.pace_difference, bounds.pace_slower),
        ):
            if difference[2] > bound:
                slower = f"{difference[2]:+.1%} slower, {bound:.1%} is allowed"
                reasons.append(f"{group.name}: {name} may be {slower}")
        if group.copy.failed - group.live.failed > bounds.errors:
            excess = group.copy.failed - group.live.failed
            reasons.append(f"{group.name}: {excess:.1%} more failed, {bounds.errors:.1%} is allowed")
        if group.same < bounds.agree:
            reasons.append(f"{group.name}: {group.same:.1%} are the same, {bounds.agree:.1%} are needed")
    not_copied_count = sum(not_copied.values())
    if not_copied_count and not_copied_count / (not_copied_count + pairs) > bounds.not_copied:
        share = not_copied_count / (not_copied_count + pairs)
        reasons.append(
            f"{share:.1%} of the selected requests were not copied: the pairs may not be representative"
        )
    return ("hold" if reasons else "promote"), reasons
