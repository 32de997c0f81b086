"""What a router has seen of its requests, as bounded sums that add up: no request, no key of a session.

A cell is one class of one tenant: histograms of prompts, of tokens not found kept, of answers that ended and
of those that were cut off, and sums by prompt length of what was read. Engine types have histograms of the
time a token takes to read and a stream to go on. All of it halves in HALF_MS. What another router says is
checked whole: a body with one figure that can't be is none.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from math import isfinite, log2

import msgspec
from msgspec import Struct, field

from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.pools import sketch
from spoolbarrow.pools.sketch import add, bucket, fade

HALF_MS = 12_000.0  # half life of all that was seen: a turn is followed within 30 s
FADE_EVERY_MS = 500.0
MOST_CELLS = 64  # of one router; the lightest are added up by class
MOST_TYPES = 16  # of engines
MOST_CLASSES, MOST_TENANTS = 256, 1_000_000  # beyond: a fault
REST = -1  # the tenant that stands for all those not told apart
LONG = 512.0  # tokens read, from which the time to the first token tells how fast an engine reads
STREAM = 16  # tokens of an answer, from which its time tells a pace
US = 1000.0  # rates are kept in microseconds: a sketch's first bucket is 0.1 wide
SPANS = 25  # of prompt lengths, each twice as long as the one before
VERSION = 1


class Cell(Struct):
    """One class of one tenant."""

    prompts: dict[int, float] = field(default_factory=dict)
    unread: dict[int, float] = field(default_factory=dict)
    ended: dict[int, float] = field(default_factory=dict)
    cut: dict[int, float] = field(default_factory=dict)
    spans: dict[int, list[float]] = field(default_factory=dict)  # log2 of prompts: count, read, squares
    answered: float = 0.0  # requests that have an end
    late: float = 0.0  # of them: refused, lost, or their first token or their pace late

    def weight(self) -> float:
        """Requests in it, as weighed by age."""
        return sum(count for count, _, _ in self.spans.values())

    def histograms(self) -> tuple[dict[int, float], ...]:
        """All of them, in a settled order."""
        return self.prompts, self.unread, self.ended, self.cut

    def take(self, other: Cell, weight: float = 1.0) -> None:
        """Merge."""
        for mine, its in zip(self.histograms(), other.histograms(), strict=True):
            add(mine, its, weight)
        for span, sums in other.spans.items():
            mine_sums = self.spans.setdefault(span, [0.0, 0.0, 0.0])
            for n, value in enumerate(sums):
                mine_sums[n] += value * weight
        self.answered += other.answered * weight
        self.late += other.late * weight

    def fade(self, share: float) -> None:
        """Keep so much of each weight."""
        for counts in self.histograms():
            fade(counts, share)
        for span in list(self.spans):
            self.spans[span] = [value * share for value in self.spans[span]]
            if self.spans[span][0] < sketch.LEAST:
                del self.spans[span]
        self.answered *= share
        self.late *= share


class EngineSpeed(Struct):
    """What one type of engines showed: microseconds for a token read, and between tokens of a stream."""

    read: dict[int, float] = field(default_factory=dict)
    step: dict[int, float] = field(default_factory=dict)
    full: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])  # reports, share of slots and memory


class TrafficStats(Struct):
    """All that was seen, by (class, tenant) and by engine type, weighed by age as of `at_ms`."""

    at_ms: float = 0.0
    begun_ms: float = 0.0
    cells: dict[tuple[int, int], Cell] = field(default_factory=dict)
    speeds: dict[str, EngineSpeed] = field(default_factory=dict)


class Body(Struct, array_like=True, forbid_unknown_fields=True):
    """A summary as it is said: cells as class, tenant, answered, late, histograms, spans."""

    version: int
    at_ms: float
    since_ms: float
    cells: list[tuple[int, int, float, float, list[list[int]], dict[int, tuple[float, float, float]]]]
    paces: dict[str, tuple[list[int], list[int], tuple[float, float, float]]]


ENCODE, DECODE = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Body).decode


class TrafficRecorder:
    """One router's own, noted as requests go by; memory is bounded by MOST_CELLS and the sketches'."""

    def __init__(self, now: float) -> None:
        self.stats = TrafficStats(now, now)

    def _cell(self, cls: int, tenant: int) -> Cell:
        cells = self.stats.cells
        key = (cls, tenant)
        if key not in cells:
            if not (0 <= cls < MOST_CLASSES and 0 <= tenant < MOST_TENANTS) or len(cells) >= 2 * MOST_CELLS:
                key = (max(0, min(cls, MOST_CLASSES - 1)), REST)
            cells.setdefault(key, Cell())
        return cells[key]

    def record_request(self, now: float, cls: int, tenant: int, prompt: int, unread: float) -> None:
        """A request came, with so many tokens expected not to be found kept (or known not to have been)."""
        long, read = bucket(prompt), bucket(min(unread, prompt))
        if long < 0 or read < 0:
            return
        self.fade(now)
        cell = self._cell(cls, tenant)
        cell.prompts[long] = cell.prompts.get(long, 0.0) + 1.0
        cell.unread[read] = cell.unread.get(read, 0.0) + 1.0
        sums = cell.spans.setdefault(span(prompt), [0.0, 0.0, 0.0])
        for n, value in enumerate((1.0, min(unread, prompt), min(unread, prompt) ** 2)):
            sums[n] += value

    def record_answer(self, now: float, cls: int, tenant: int, tokens: int, whole: bool, late: bool) -> None:
        """Its answer ended, whole or cut off after so many tokens; 0 tokens cut off: refused or lost."""
        self.fade(now)
        cell = self._cell(cls, tenant)
        cell.answered += 1.0
        cell.late += late
        made = bucket(tokens)
        if made >= 0 and (tokens > 0 or whole):
            counts = cell.ended if whole else cell.cut
            counts[made] = counts.get(made, 0.0) + 1.0

    def _pace(self, kind: str) -> EngineSpeed:
        """Of a type of engines; one too many is noted for nobody."""
        paces = self.stats.speeds
        return (
            paces.setdefault(kind, EngineSpeed())
            if kind in paces or len(paces) < MOST_TYPES
            else EngineSpeed()
        )

    def record_load(self, now: float, kind: str, busy_share: float, memory_share: float) -> None:
        """An engine told how full it is; what it does not tell is negative."""
        self.fade(now)
        if 0.0 <= busy_share <= 1.0 and 0.0 <= memory_share <= 1.0:
            full = self._pace(kind).full
            full[:] = full[0] + 1.0, full[1] + busy_share, full[2] + memory_share

    def record_timing(
        self, now: float, kind: str, unread: float, first_ms: float, tokens: int, rest_ms: float
    ) -> None:
        """What an answer told of its engine's type: ms to its first token, and from there to its last."""
        self.fade(now)
        pace = self._pace(kind)
        for counts, tells, value in (
            (pace.read, unread >= LONG, US * first_ms / max(unread, 1.0)),
            (pace.step, tokens >= STREAM, US * rest_ms / max(tokens - 1, 1)),
        ):
            place = bucket(value)
            if tells and place > 0:
                counts[place] = counts.get(place, 0.0) + 1.0

    def expected_unread(self, cls: int, tenant: int, prompt: int) -> float:
        """Tokens of such a prompt that will not be found kept, by those before it."""
        cell = self.stats.cells.get((cls, tenant))
        sums = cell.spans.get(span(prompt)) if cell is not None else None
        return min(float(prompt), sums[1] / sums[0]) if sums is not None and sums[0] >= 1.0 else float(prompt)

    def fade(self, now: float) -> None:
        """Let what was seen grow old."""
        seen = self.stats
        if now - seen.at_ms >= FADE_EVERY_MS:
            share = 0.5 ** ((now - seen.at_ms) / HALF_MS)
            seen.at_ms = now
            for key in list(seen.cells):
                seen.cells[key].fade(share)
                if not seen.cells[key].spans and seen.cells[key].answered < sketch.LEAST:
                    del seen.cells[key]
            for pace in seen.speeds.values():
                fade(pace.read, share)
                fade(pace.step, share)
                pace.full = [value * share for value in pace.full]

    def body(self, now: float) -> bytes:
        """The summary; never longer than MAX_BODY_BYTES: the lightest cells are added up until it fits."""
        self.fade(now)
        most = MOST_CELLS
        while True:
            told = ENCODE(_said(now, self.stats, most))
            if len(told) <= MAX_BODY_BYTES:
                return told
            if most <= 1:
                raise AssertionError("the sketches' bound broke: two cells are longer than a body")
            most //= 2


def span(prompt: float) -> int:
    """Which of the spans of prompt lengths."""
    return min(SPANS - 1, int(log2(max(1.0, prompt))))


def _said(now: float, seen: TrafficStats, most: int) -> Body:
    order = sorted(seen.cells, key=lambda key: (-seen.cells[key].weight(), key))
    kept: dict[tuple[int, int], Cell] = {}
    for n, (cls, tenant) in enumerate(order):
        if n < most:
            kept.setdefault((cls, tenant), Cell()).take(seen.cells[cls, tenant])
        else:
            kept.setdefault((cls, REST), Cell()).take(seen.cells[cls, tenant])
    cells = [
        (cls, tenant, round(c.answered, 2), round(c.late, 2), [sketch.told(h) for h in c.histograms()],
         {s: (round(a, 2), round(b, 1), round(q, 1)) for s, (a, b, q) in sorted(c.spans.items())})
        for (cls, tenant), c in sorted(kept.items())
    ]  # fmt: skip
    paces = {
        kind: (sketch.told(p.read), sketch.told(p.step), (p.full[0], p.full[1], p.full[2]))
        for kind, p in sorted(seen.speeds.items())
    }
    return Body(VERSION, now, seen.begun_ms, cells, paces)


def _sane(*values: float) -> bool:
    return all(isfinite(value) and 0.0 <= value <= sketch.MOST for value in values)


def _cell(
    answered: float,
    late: float,
    flat: Sequence[Sequence[int]],
    spans: Mapping[int, tuple[float, float, float]],
) -> Cell | None:
    histograms = [counts for counts in map(sketch.heard, flat) if counts is not None]
    if len(histograms) != 4 or not _sane(answered, late) or late > answered + 0.01:
        return None
    for number, (count, read, square) in spans.items():
        # Moments that no numbers have: a mean beyond the span's prompts, a variance below 0.
        longest = 2.0 ** (number + 1)
        possible = 0 <= number < SPANS and _sane(count) and 0.0 <= read <= (count + 0.01) * longest
        if not possible or not (read * read <= square * (count + 0.01) * 1.001 + longest * longest):
            return None
        if not 0.0 <= square <= (count + 0.01) * longest * longest:
            return None
    prompts, unread, ended, cut = histograms
    sums_of = {number: list(sums) for number, sums in spans.items()}
    return Cell(prompts, unread, ended, cut, sums_of, answered, late)


def decode_summary(body: bytes) -> TrafficStats | None:
    """What a summary says; None where it can't be read, or says what can't be."""
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        said = DECODE(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if said.version != VERSION or len(said.cells) > 2 * MOST_CELLS + MOST_CLASSES:
        return None
    if not (isfinite(said.at_ms) and isfinite(said.since_ms)) or len(said.paces) > MOST_TYPES:
        return None
    found = TrafficStats(said.at_ms, said.since_ms)
    for cls, tenant, answered, late, flat, spans in said.cells:
        cell = _cell(answered, late, flat, spans)
        if cell is None or not (0 <= cls < MOST_CLASSES and REST <= tenant < MOST_TENANTS):
            return None
        found.cells[cls, tenant] = cell
    for kind, (read, step, full) in said.paces.items():
        one, two = sketch.heard(read), sketch.heard(step)
        if one is None or two is None or not _sane(*full) or max(full[1:]) > full[0] + 0.01:
            return None
        found.speeds[kind] = EngineSpeed(one, two, list(full))
    return found


def merged(
    all_seen: Sequence[TrafficStats], weights: Sequence[float], between: Callable[[], None] = lambda: None
) -> TrafficStats:
    """Of several routers; ages are each router's own, so clocks that differ say nothing wrong.

    `between` is called after each router.
    """
    whole = TrafficStats()
    for seen, weight in zip(all_seen, weights, strict=True):
        for key, cell in seen.cells.items():
            whole.cells.setdefault(key, Cell()).take(cell, weight)
        for kind, pace in seen.speeds.items():
            mine = whole.speeds.setdefault(kind, EngineSpeed())
            add(mine.read, pace.read)
            add(mine.step, pace.step)
            mine.full = [a + b for a, b in zip(mine.full, pace.full, strict=True)]
        between()
    return whole
