"""Traffic statistics of a router, as bounded and mergeable sums without any request or session key.

A cell is one class of one tenant: histograms of prompt lengths, of prompt tokens that were not cached, of the
lengths of complete and of cut answers, and sums by prompt length of prefill tokens. Engine types have
histograms of the time for a token of a prompt and for a token of a stream. All of it halves in HALF_LIFE_MS.
A summary of another router is validated as a whole: one with a single impossible value is rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from math import isfinite, log2

import msgspec
from msgspec import Struct, field

from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.pools import sketch
from spoolbarrow.pools.sketch import bucket, decay, merge

HALF_LIFE_MS = 12_000.0  # half-life of all statistics: a change of the traffic is followed within 30 s
DECAY_PERIOD_MS = 500.0
MAX_CELLS = 64  # of one router; the lightest are merged by class
MAX_ENGINE_TYPES = 16
MAX_CLASSES, MAX_TENANTS = 256, 1_000_000  # larger numbers are invalid
OTHER_TENANTS = -1  # the tenant number for all those without a cell of their own
MIN_PREFILL_TOKENS = 512.0  # from which the time to the first token shows an engine's prefill speed
MIN_STREAM_TOKENS = 16  # of an answer, from which its time shows a decode speed
US_PER_MS = 1000.0  # times per token are in microseconds: a sketch's first bucket is 0.1 wide
SPANS = 25  # ranges of prompt lengths, each twice as long as the one before
VERSION = 1


class Cell(Struct):
    """Statistics of one class of one tenant."""

    prompts: dict[int, float] = field(default_factory=dict)
    unread: dict[int, float] = field(default_factory=dict)
    ended: dict[int, float] = field(default_factory=dict)
    cut: dict[int, float] = field(default_factory=dict)
    # By log2 of the prompt length: count, prefill tokens, sum of their squares.
    spans: dict[int, list[float]] = field(default_factory=dict)
    answered: float = 0.0  # requests that have ended
    late: float = 0.0  # of them: refused, lost, or with a late first token or late later ones

    def weight(self) -> float:
        """Number of requests, weighted by age."""
        return sum(count for count, _, _ in self.spans.values())

    def histograms(self) -> tuple[dict[int, float], ...]:
        """All histograms in a fixed order."""
        return self.prompts, self.unread, self.ended, self.cut

    def merge(self, other: Cell, weight: float = 1.0) -> None:
        """Add another cell's statistics, multiplied by the weight."""
        for own, theirs in zip(self.histograms(), other.histograms(), strict=True):
            merge(own, theirs, weight)
        for span, sums in other.spans.items():
            own_sums = self.spans.setdefault(span, [0.0, 0.0, 0.0])
            for n, value in enumerate(sums):
                own_sums[n] += value * weight
        self.answered += other.answered * weight
        self.late += other.late * weight

    def decay(self, factor: float) -> None:
        """Multiply each weight by the factor."""
        for counts in self.histograms():
            decay(counts, factor)
        for span in list(self.spans):
            self.spans[span] = [value * factor for value in self.spans[span]]
            if self.spans[span][0] < sketch.MIN_WEIGHT:
                del self.spans[span]
        self.answered *= factor
        self.late *= factor


class EngineSpeed(Struct):
    """Observed speed of an engine type: microseconds per prompt token, and between tokens of a stream."""

    read: dict[int, float] = field(default_factory=dict)
    step: dict[int, float] = field(default_factory=dict)
    # Number of load reports, sums of the shares of slots and of memory in use.
    full: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])


class TrafficStats(Struct):
    """All statistics, by (class, tenant) and by engine type, weighted by age as of `at_ms`."""

    at_ms: float = 0.0
    begun_ms: float = 0.0
    cells: dict[tuple[int, int], Cell] = field(default_factory=dict)
    speeds: dict[str, EngineSpeed] = field(default_factory=dict)


class Body(Struct, array_like=True, forbid_unknown_fields=True):
    """The encoded summary; a cell is class, tenant, answered, late, histograms, spans."""

    version: int
    at_ms: float
    since_ms: float
    cells: list[tuple[int, int, float, float, list[list[int]], dict[int, tuple[float, float, float]]]]
    paces: dict[str, tuple[list[int], list[int], tuple[float, float, float]]]


ENCODE, DECODE = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Body).decode


class TrafficRecorder:
    """Records the statistics of one router; memory is bounded by MAX_CELLS and the size of sketches."""

    def __init__(self, now: float) -> None:
        self.stats = TrafficStats(now, now)

    def _cell(self, cls: int, tenant: int) -> Cell:
        cells = self.stats.cells
        key = (cls, tenant)
        if key not in cells:
            if not (0 <= cls < MAX_CLASSES and 0 <= tenant < MAX_TENANTS) or len(cells) >= 2 * MAX_CELLS:
                key = (max(0, min(cls, MAX_CLASSES - 1)), OTHER_TENANTS)
            cells.setdefault(key, Cell())
        return cells[key]

    def record_request(self, now: float, cls: int, tenant: int, prompt: int, unread: float) -> None:
        """Record a request, with the prompt tokens that are expected (or known) not to be cached."""
        prompt_bucket, unread_bucket = bucket(prompt), bucket(min(unread, prompt))
        if prompt_bucket < 0 or unread_bucket < 0:
            return
        self.decay(now)
        cell = self._cell(cls, tenant)
        cell.prompts[prompt_bucket] = cell.prompts.get(prompt_bucket, 0.0) + 1.0
        cell.unread[unread_bucket] = cell.unread.get(unread_bucket, 0.0) + 1.0
        sums = cell.spans.setdefault(span_of(prompt), [0.0, 0.0, 0.0])
        for n, value in enumerate((1.0, min(unread, prompt), min(unread, prompt) ** 2)):
            sums[n] += value

    def record_answer(
        self, now: float, cls: int, tenant: int, tokens: int, is_complete: bool, is_late: bool
    ) -> None:
        """Record the end of an answer, complete or cut after so many tokens; cut at 0: refused or lost."""
        self.decay(now)
        cell = self._cell(cls, tenant)
        cell.answered += 1.0
        cell.late += is_late
        length_bucket = bucket(tokens)
        if length_bucket >= 0 and (tokens > 0 or is_complete):
            counts = cell.ended if is_complete else cell.cut
            counts[length_bucket] = counts.get(length_bucket, 0.0) + 1.0

    def _speed(self, engine_type: str) -> EngineSpeed:
        """The speed of an engine type; beyond MAX_ENGINE_TYPES one that is not kept."""
        speeds = self.stats.speeds
        return (
            speeds.setdefault(engine_type, EngineSpeed())
            if engine_type in speeds or len(speeds) < MAX_ENGINE_TYPES
            else EngineSpeed()
        )

    def record_load(self, now: float, engine_type: str, busy_share: float, memory_share: float) -> None:
        """Record an engine's load report; a value that it does not report is negative."""
        self.decay(now)
        if 0.0 <= busy_share <= 1.0 and 0.0 <= memory_share <= 1.0:
            sums = self._speed(engine_type).full
            sums[:] = sums[0] + 1.0, sums[1] + busy_share, sums[2] + memory_share

    def record_timing(
        self, now: float, engine_type: str, unread: float, first_ms: float, tokens: int, rest_ms: float
    ) -> None:
        """Record an answer's times for its engine type: ms to the first token, and from there to the last."""
        self.decay(now)
        speed = self._speed(engine_type)
        for counts, is_significant, value in (
            (speed.read, unread >= MIN_PREFILL_TOKENS, US_PER_MS * first_ms / max(unread, 1.0)),
            (speed.step, tokens >= MIN_STREAM_TOKENS, US_PER_MS * rest_ms / max(tokens - 1, 1)),
        ):
            number = bucket(value)
            if is_significant and number > 0:
                counts[number] = counts.get(number, 0.0) + 1.0

    def expected_unread(self, cls: int, tenant: int, prompt: int) -> float:
        """Tokens of such a prompt that are expected not to be cached, by earlier requests."""
        cell = self.stats.cells.get((cls, tenant))
        sums = cell.spans.get(span_of(prompt)) if cell is not None else None
        return min(float(prompt), sums[1] / sums[0]) if sums is not None and sums[0] >= 1.0 else float(prompt)

    def decay(self, now: float) -> None:
        """Decay the statistics by the time passed."""
        stats = self.stats
        if now - stats.at_ms >= DECAY_PERIOD_MS:
            factor = 0.5 ** ((now - stats.at_ms) / HALF_LIFE_MS)
            stats.at_ms = now
            for key in list(stats.cells):
                stats.cells[key].decay(factor)
                if not stats.cells[key].spans and stats.cells[key].answered < sketch.MIN_WEIGHT:
                    del stats.cells[key]
            for speed in stats.speeds.values():
                decay(speed.read, factor)
                decay(speed.step, factor)
                speed.full = [value * factor for value in speed.full]

    def body(self, now: float) -> bytes:
        """The encoded summary; the lightest cells are merged until it fits into MAX_BODY_BYTES."""
        self.decay(now)
        max_cells = MAX_CELLS
        while True:
            encoded = ENCODE(_summary(now, self.stats, max_cells))
            if len(encoded) <= MAX_BODY_BYTES:
                return encoded
            if max_cells <= 1:
                raise AssertionError(
                    "two cells are longer than a body, which the size of sketches should rule out"
                )
            max_cells //= 2


def span_of(prompt: float) -> int:
    """The range of prompt lengths that a prompt falls into."""
    return min(SPANS - 1, int(log2(max(1.0, prompt))))


def _summary(now: float, stats: TrafficStats, max_cells: int) -> Body:
    heaviest = sorted(stats.cells, key=lambda key: (-stats.cells[key].weight(), key))
    merged: dict[tuple[int, int], Cell] = {}
    for n, (cls, tenant) in enumerate(heaviest):
        if n < max_cells:
            merged.setdefault((cls, tenant), Cell()).merge(stats.cells[cls, tenant])
        else:
            merged.setdefault((cls, OTHER_TENANTS), Cell()).merge(stats.cells[cls, tenant])
    cells = [
        (cls, tenant, round(c.answered, 2), round(c.late, 2), [sketch.encode(h) for h in c.histograms()],
         {s: (round(a, 2), round(b, 1), round(q, 1)) for s, (a, b, q) in sorted(c.spans.items())})
        for (cls, tenant), c in sorted(merged.items())
    ]  # fmt: skip
    speeds = {
        engine_type: (sketch.encode(p.read), sketch.encode(p.step), (p.full[0], p.full[1], p.full[2]))
        for engine_type, p in sorted(stats.speeds.items())
    }
    return Body(VERSION, now, stats.begun_ms, cells, speeds)


def _are_valid(*values: float) -> bool:
    return all(isfinite(value) and 0.0 <= value <= sketch.MAX_WEIGHT for value in values)


def _decode_cell(
    answered: float,
    late: float,
    encoded: Sequence[Sequence[int]],
    spans: Mapping[int, tuple[float, float, float]],
) -> Cell | None:
    histograms = [counts for counts in map(sketch.decode, encoded) if counts is not None]
    if len(histograms) != 4 or not _are_valid(answered, late) or late > answered + 0.01:
        return None
    for number, (count, read, square) in spans.items():
        # Impossible moments: a mean beyond the span's prompt lengths, or a variance below 0.
        longest = 2.0 ** (number + 1)
        is_possible = 0 <= number < SPANS and _are_valid(count) and 0.0 <= read <= (count + 0.01) * longest
        if not is_possible or not (read * read <= square * (count + 0.01) * 1.001 + longest * longest):
            return None
        if not 0.0 <= square <= (count + 0.01) * longest * longest:
            return None
    prompts, unread, ended, cut = histograms
    sums_of = {number: list(sums) for number, sums in spans.items()}
    return Cell(prompts, unread, ended, cut, sums_of, answered, late)


def decode_summary(body: bytes) -> TrafficStats | None:
    """Decode a summary; None where it is malformed or holds impossible values."""
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        summary = DECODE(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if summary.version != VERSION or len(summary.cells) > 2 * MAX_CELLS + MAX_CLASSES:
        return None
    if not (isfinite(summary.at_ms) and isfinite(summary.since_ms)) or len(summary.paces) > MAX_ENGINE_TYPES:
        return None
    stats = TrafficStats(summary.at_ms, summary.since_ms)
    for cls, tenant, answered, late, encoded, spans in summary.cells:
        cell = _decode_cell(answered, late, encoded, spans)
        if cell is None or not (0 <= cls < MAX_CLASSES and OTHER_TENANTS <= tenant < MAX_TENANTS):
            return None
        stats.cells[cls, tenant] = cell
    for engine_type, (read, step, full) in summary.paces.items():
        read_times, step_times = sketch.decode(read), sketch.decode(step)
        if (
            read_times is None
            or step_times is None
            or not _are_valid(*full)
            or max(full[1:]) > full[0] + 0.01
        ):
            return None
        stats.speeds[engine_type] = EngineSpeed(read_times, step_times, list(full))
    return stats


def merge_stats(
    all_stats: Sequence[TrafficStats], weights: Sequence[float], on_step: Callable[[], None] = lambda: None
) -> TrafficStats:
    """Merge the statistics of several routers.

    Ages are relative to each router's own clock, so different clocks do no harm. `on_step` is called after
    each router.
    """
    total = TrafficStats()
    for stats, weight in zip(all_stats, weights, strict=True):
        for key, cell in stats.cells.items():
            total.cells.setdefault(key, Cell()).merge(cell, weight)
        for engine_type, speed in stats.speeds.items():
            own = total.speeds.setdefault(engine_type, EngineSpeed())
            merge(own.read, speed.read)
            merge(own.step, speed.step)
            own.full = [a + b for a, b in zip(own.full, speed.full, strict=True)]
        on_step()
    return total
