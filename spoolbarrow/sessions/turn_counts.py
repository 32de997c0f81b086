"""Counts of sessions' turns by cell that routers add up, as integers so that any order gives the same sum.

Of each cell: how many turns ended there, the sums of their features, and for each span of the time away how
many sessions returned within it and how many are known to have been away for longer. A session still away
counts only as far as its wait is known (discrete hazards: a censored wait is no end). No session or key is
included.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec
from msgspec import Struct

from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.sessions import cells

SCALE = 16  # sums are in sixteenths of an octave
MAX_CELLS = 2_000  # per generation
GENERATION_MS = 1_800_000.0  # a generation lasts this long, and is reported for as long again
MAX_COUNT = 1 << 40
MAX_MEDIAN_FACTOR = 4  # a router counts for at most so many times the median router
RESERVED_BYTES = 512  # of a body, for all but its cells
FORMAT = 1


class EncodedCounts(Struct, array_like=True, forbid_unknown_fields=True):
    """The encoded counts of one cell; lists without trailing zeros."""

    cell: int
    count: int
    gap: int  # sum over turns of the session's mean gap so far; the next two likewise
    growth: int
    answer: int
    added: int  # sum of tokens added by returns within the horizon, in octaves
    outlasted: tuple[int, ...]
    returned: tuple[int, ...]


class Body(Struct, array_like=True, forbid_unknown_fields=True):
    """A router's encoded summary."""

    form: int
    who: int  # a random number of the process
    acts_on: int  # number of the decision in force at the router; 0: none
    wants: int  # tokens that it would reserve, if it could
    cells: list[EncodedCounts]


class Counts:
    """The counts of one cell."""

    __slots__ = ("count", "gap", "growth", "answer", "added", "outlasted", "returned")

    def __init__(self) -> None:
        self.count = self.gap = self.growth = self.answer = self.added = 0
        self.outlasted = [0] * cells.SPANS
        self.returned = [0] * cells.SPANS

    def add(self, other: EncodedCounts, numerator: int = 1, denominator: int = 1) -> None:
        """Add encoded counts, scaled down for a router that reports too many."""
        self.count += other.count * numerator // denominator
        self.gap += other.gap * numerator // denominator
        self.growth += other.growth * numerator // denominator
        self.answer += other.answer * numerator // denominator
        self.added += other.added * numerator // denominator
        for own, theirs in ((self.outlasted, other.outlasted), (self.returned, other.returned)):
            for n, value in enumerate(theirs):
                own[n] += value * numerator // denominator


def trimmed(values: Sequence[int]) -> tuple[int, ...]:
    """The values without trailing zeros."""
    end = len(values)
    while end and not values[end - 1]:
        end -= 1
    return tuple(values[:end])


class TurnCounts:
    """The counts of one router, of the current generation and of the one before it."""

    def __init__(self) -> None:
        self.now: dict[int, Counts] = {}
        self.previous: dict[int, Counts] = {}
        self.started_at = -1.0
        self.dropped = 0  # turns in cells beyond MAX_CELLS

    def rotate(self, now: float) -> None:
        """Start a new generation when the current one is old enough, and drop the one before."""
        if self.started_at < 0.0:
            self.started_at = now
        if now - self.started_at >= GENERATION_MS:
            self.previous = self.now if now - self.started_at < 2.0 * GENERATION_MS else {}
            self.now, self.started_at = {}, now

    def counts_of(self, cell: int) -> Counts | None:
        """The counts of a cell in the current generation; None: there are too many cells."""
        found = self.now.get(cell)
        if found is None:
            if len(self.now) >= MAX_CELLS:
                self.dropped += 1
                return None
            found = self.now[cell] = Counts()
        return found

    def body(self, now: float, who: int, acts_on: int, wants: int) -> bytes:
        """The encoded summary within MAX_BODY_BYTES, the heaviest cells first."""
        self.rotate(now)
        merged: dict[int, Counts] = {}
        for generation in (self.previous, self.now):
            for cell, counts in generation.items():
                merged.setdefault(cell, Counts()).add(_encode_cell(cell, counts))
        size, entries = RESERVED_BYTES, []
        for cell, counts in sorted(merged.items(), key=lambda entry: (-entry[1].count, entry[0])):
            # A wait that began in a dropped generation may outlive the count of its turn.
            counts.count = max(
                counts.count, sum(counts.returned),
                max(map(sum, zip(counts.outlasted, counts.returned, strict=True))),
            )  # fmt: skip
            entry = _encode_cell(cell, counts)
            size += len(msgspec.msgpack.encode(entry))
            if size > MAX_BODY_BYTES:
                break
            entries.append(entry)
        return msgspec.msgpack.encode(Body(FORMAT, who, acts_on, min(max(wants, 0), MAX_COUNT), entries))


def _encode_cell(cell: int, counts: Counts) -> EncodedCounts:
    return EncodedCounts(
        cell, counts.count, counts.gap, counts.growth, counts.answer, counts.added, trimmed(counts.outlasted),
        trimmed(counts.returned),
    )  # fmt: skip


def _is_valid(counts: EncodedCounts) -> bool:
    """Whether the counts of a cell are possible."""
    if not cells.is_valid(counts.cell) or not 0 < counts.count <= MAX_COUNT:
        return False
    max_sum = counts.count * SCALE * (cells.MAX_OCTAVE + 1)
    if any(not 0 <= total <= max_sum for total in (counts.gap, counts.growth, counts.answer)):
        return False
    if not 0 <= counts.added <= sum(counts.returned) * SCALE * (cells.MAX_OCTAVE + 1):
        return False
    lists = (counts.outlasted, counts.returned)
    if any(len(values) > cells.SPANS or any(v < 0 for v in values) for values in lists):
        return False
    # At risk in a span are those who outlasted it or returned in it: never more than the turns.
    at_risk = [0] * cells.SPANS
    for values in lists:
        for n, value in enumerate(values):
            at_risk[n] += value
    return max(at_risk) <= counts.count and sum(counts.returned) <= counts.count


_decoder = msgspec.msgpack.Decoder(Body)


def decode_summary(body: bytes) -> Body | None:
    """Decode a summary; None where it is malformed or holds impossible values."""
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        summary = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    numbers = (summary.who, summary.acts_on, summary.wants)
    if summary.form != FORMAT or any(not 0 <= n < 1 << 64 for n in numbers) or summary.wants > MAX_COUNT:
        return None
    if len({counts.cell for counts in summary.cells}) < len(summary.cells) or not all(
        map(_is_valid, summary.cells)
    ):
        return None
    return summary


def merge(bodies: Iterable[Body]) -> dict[int, Counts]:
    """Merge the counts of all routers, each limited to MAX_MEDIAN_FACTOR times the median router's."""
    totals_and_bodies = [(sum(counts.count for counts in body.cells), body) for body in bodies]
    totals = sorted(total for total, _ in totals_and_bodies if total)
    limit = totals[len(totals) // 2] * MAX_MEDIAN_FACTOR if len(totals) > 2 else MAX_COUNT * MAX_CELLS
    merged: dict[int, Counts] = {}
    for total, body in totals_and_bodies:
        for counts in body.cells:
            merged.setdefault(counts.cell, Counts()).add(counts, min(limit, total), max(total, 1))
    return {cell: merged[cell] for cell in sorted(merged) if merged[cell].count}
