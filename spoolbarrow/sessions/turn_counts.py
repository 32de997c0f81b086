"""What routers add up of sessions: counts by cell, in whole numbers, so that any order gives the same sum.

Of each cell: how many turns ended there, the sums of their features, and for each span of time away how many
returned within it and how many are known to have outlasted it. Who is still away is told only as far as that
is known (discrete hazards: a censored wait is no end). Never a session, never a key.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec
from msgspec import Struct

from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.sessions import cells

SCALE = 16  # sums are told in sixteenths of an octave
MOST_CELLS = 2_000  # of a generation
FORGET_MS = 1_800_000.0  # a generation lasts so long, and is told for as long again
MOST_COUNT = 1 << 40
MOST_OVER = 4  # a router counts for at most so many times the median one
RESERVE = 512  # bytes of a body kept for all but cells
FORM = 1


class Told(Struct, array_like=True, forbid_unknown_fields=True):
    """One cell's counts; lists without their last zeros."""

    cell: int
    count: int
    gap: int  # sums of the turns' means so far
    growth: int
    answer: int
    added: int  # sum of what those who returned within the horizon came back with, octaves of tokens
    outlasted: tuple[int, ...]
    returned: tuple[int, ...]


class Body(Struct, array_like=True, forbid_unknown_fields=True):
    """A router's summary."""

    form: int
    who: int  # a number drawn by the process
    acts_on: int  # the newest model it acts on, by its number; 0: none
    wants: int  # tokens it would reserve, if it had room
    cells: list[Told]


class Counts:
    """One cell."""

    __slots__ = ("count", "gap", "growth", "answer", "added", "outlasted", "returned")

    def __init__(self) -> None:
        self.count = self.gap = self.growth = self.answer = self.added = 0
        self.outlasted = [0] * cells.SPANS
        self.returned = [0] * cells.SPANS

    def add(self, told: Told, numerator: int = 1, denominator: int = 1) -> None:
        """Add a told cell, in part where its router tells too much."""
        self.count += told.count * numerator // denominator
        self.gap += told.gap * numerator // denominator
        self.growth += told.growth * numerator // denominator
        self.answer += told.answer * numerator // denominator
        self.added += told.added * numerator // denominator
        for mine, its in ((self.outlasted, told.outlasted), (self.returned, told.returned)):
            for n, value in enumerate(its):
                mine[n] += value * numerator // denominator


def trimmed(values: Sequence[int]) -> tuple[int, ...]:
    """Without the last zeros."""
    end = len(values)
    while end and not values[end - 1]:
        end -= 1
    return tuple(values[:end])


class Evidence:
    """What one router has seen: this generation and the one before it, then forgotten."""

    def __init__(self) -> None:
        self.now: dict[int, Counts] = {}
        self.before: dict[int, Counts] = {}
        self.turned_at = -1.0
        self.lost = 0  # turns of cells there was no place for

    def turn(self, now: float) -> None:
        """Forget by age."""
        if self.turned_at < 0.0:
            self.turned_at = now
        if now - self.turned_at >= FORGET_MS:
            self.before = self.now if now - self.turned_at < 2.0 * FORGET_MS else {}
            self.now, self.turned_at = {}, now

    def at(self, cell: int) -> Counts | None:
        """The counts of a cell; None: there are too many."""
        found = self.now.get(cell)
        if found is None:
            if len(self.now) >= MOST_CELLS:
                self.lost += 1
                return None
            found = self.now[cell] = Counts()
        return found

    def body(self, now: float, who: int, acts_on: int, wants: int) -> bytes:
        """All of it within MAX_BODY_BYTES, the heaviest cells first."""
        self.turn(now)
        merged: dict[int, Counts] = {}
        for generation in (self.before, self.now):
            for cell, counts in generation.items():
                merged.setdefault(cell, Counts()).add(_told(cell, counts))
        size, told = RESERVE, []
        for cell, counts in sorted(merged.items(), key=lambda one: (-one[1].count, one[0])):
            # A wait that began in the generation before this one may outlive its count.
            counts.count = max(
                counts.count, sum(counts.returned),
                max(map(sum, zip(counts.outlasted, counts.returned, strict=True))),
            )  # fmt: skip
            one = _told(cell, counts)
            size += len(msgspec.msgpack.encode(one))
            if size > MAX_BODY_BYTES:
                break
            told.append(one)
        return msgspec.msgpack.encode(Body(FORM, who, acts_on, min(max(wants, 0), MOST_COUNT), told))


def _told(cell: int, counts: Counts) -> Told:
    return Told(
        cell, counts.count, counts.gap, counts.growth, counts.answer, counts.added, trimmed(counts.outlasted),
        trimmed(counts.returned),
    )  # fmt: skip


def _sound(one: Told) -> bool:
    """Whether a cell says what can be."""
    if not cells.valid(one.cell) or not 0 < one.count <= MOST_COUNT:
        return False
    most = one.count * SCALE * (cells.MOST_OCTAVE + 1)
    if any(not 0 <= total <= most for total in (one.gap, one.growth, one.answer)):
        return False
    if not 0 <= one.added <= sum(one.returned) * SCALE * (cells.MOST_OCTAVE + 1):
        return False
    lists = (one.outlasted, one.returned)
    if any(len(its) > cells.SPANS or any(v < 0 for v in its) for its in lists):
        return False
    # Those at risk in a span are those who outlasted it or returned in it: never more than there were.
    at_risk = [0] * cells.SPANS
    for its in lists:
        for n, value in enumerate(its):
            at_risk[n] += value
    return max(at_risk) <= one.count and sum(one.returned) <= one.count


_decoder = msgspec.msgpack.Decoder(Body)


def read(body: bytes) -> Body | None:
    """A router's summary; None where it can't be read or says what can't be."""
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        found = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    told = (found.who, found.acts_on, found.wants)
    if found.form != FORM or any(not 0 <= n < 1 << 64 for n in told) or found.wants > MOST_COUNT:
        return None
    if len({one.cell for one in found.cells}) < len(found.cells) or not all(map(_sound, found.cells)):
        return None
    return found


def merge(bodies: Iterable[Body]) -> dict[int, Counts]:
    """All routers' counts. One that tells far more than the others counts for MOST_OVER of the median."""
    its = [(sum(one.count for one in body.cells), body) for body in bodies]
    totals = sorted(total for total, _ in its if total)
    most = totals[len(totals) // 2] * MOST_OVER if len(totals) > 2 else MOST_COUNT * MOST_CELLS
    merged: dict[int, Counts] = {}
    for total, body in its:
        for one in body.cells:
            merged.setdefault(one.cell, Counts()).add(one, min(most, total), max(total, 1))
    return {cell: merged[cell] for cell in sorted(merged) if merged[cell].count}
