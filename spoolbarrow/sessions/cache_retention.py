"""How much each engine keeps, and for how long, learnt from what answers tell was found kept.

When a session returns to its home, what was found of its prompt there says whether so many tokens poured in
since, or so much time, had pushed it out. The edge where less than half is found is the engine's room.
"""

from __future__ import annotations

from math import inf, log2

STEPS_AN_OCTAVE = 2
STEPS = 80  # forty octaves
FADE = 0.98  # of a step's counts at each observation in it: about fifty of them are believed
ENOUGH = 8  # observations of an engine's own; fewer: the edge of all engines
HALF = 0.5
PRIOR = 0.2  # observations that each step is taken to have had, half of them found
AGAIN = 32
REFRESH = 32  # observations until the curve of all engines is drawn anew
TELLS = 64  # tokens expected; less says little
EMPTY_OF = 0.125  # of the room: with less poured in since, nothing found is an engine that lost all it kept
LOST_RUN = 2  # such sessions in a row make an engine empty: one may have been preempted
QUIET = 0.25  # of the room: with less poured in, what has gone went by age
SHRUNK_RUN = 8  # so many, and the room itself has become smaller: they count for its edge
MOST_ENGINES = 16_384


def step(quantity: float) -> int:
    """Which half octave it lies in."""
    return min(STEPS - 1, int(STEPS_AN_OCTAVE * log2(quantity))) if quantity > 1.0 else 0


class Edge:
    """Where what is found falls below half, on a scale of half octaves."""

    __slots__ = ("beyond", "edge", "edge_at", "expected", "found", "seen")

    def __init__(self) -> None:
        self.expected = [0.0] * STEPS
        self.found = [0.0] * STEPS
        self.seen = 0
        self.edge, self.edge_at = 0.0, 0
        self.beyond = 0.0  # observations beyond the edge: where there are none, it is only the largest seen

    def observe(self, at: float, share: float) -> None:
        """So much was found of what was left `at` this quantity ago."""
        self.note(step(at), share)

    def note(self, n: int, share: float) -> None:
        """The same, of a step."""
        self.expected[n] = FADE * self.expected[n] + 1.0
        self.found[n] = FADE * self.found[n] + share
        self.seen += 1

    def at(self) -> float:
        """The edge; 0: nothing was ever found. Beyond the largest quantity seen to keep, nothing is promised.

        Worked out anew when an eighth more was seen, or AGAIN. The step chosen splits what was found before
        it from what was lost after it with the least error.
        """
        if self.seen - self.edge_at <= min(AGAIN, self.seen // 8):
            return self.edge
        self.edge_at = self.seen
        kept_after = sum(self.found)
        best, least, error = 0, kept_after, kept_after  # all beyond the edge: what was found is the error
        for n in range(STEPS):
            error += (self.expected[n] - self.found[n]) - self.found[n]
            if error < least and self.expected[n] > 0.0:
                best, least = n + 1, error
        self.edge = 2.0 ** (best / STEPS_AN_OCTAVE) if best else 0.0
        self.beyond = sum(self.expected[best:])
        return self.edge

    def curve(self) -> tuple[float, ...]:
        """Share found by step, never more after a longer while (pooled where it seemed so)."""
        blocks: list[tuple[float, float, int]] = []  # found, expected, steps
        for found, expected in zip(self.found, self.expected, strict=True):
            block = (found + PRIOR * HALF * (expected > 0.0), expected + PRIOR * (expected > 0.0), 1)
            while blocks and block[0] * blocks[-1][1] >= blocks[-1][0] * block[1]:
                last = blocks.pop()
                block = (last[0] + block[0], last[1] + block[1], last[2] + block[2])
            blocks.append(block)
        return tuple(f / e if e > 0.0 else 1.0 for f, e, n in blocks for _ in range(n))


class CacheRetention:
    """Edges of engines, of tokens and of age; engines by number."""

    def __init__(self) -> None:
        self.tokens, self.ages = Edge(), Edge()
        self.own: dict[int, Edge] = {}
        self.lost: dict[int, int] = {}
        self.poured: dict[int, int] = {}  # tokens read and made at an engine, as far as this router knows
        self._curve: tuple[float, ...] = (1.0,) * STEPS
        self._curve_at = 0

    def pour(self, engine: int, tokens: int) -> int:
        """So many tokens were read or made there that were not kept before; a mark, of 32 bits."""
        poured = self.poured.get(engine, 0) + tokens
        if poured > tokens or len(self.poured) < MOST_ENGINES:
            self.poured[engine] = poured
        return poured & 0xFFFFFFFF

    def since(self, engine: int, mark: int) -> int:
        """Tokens poured in since a mark."""
        return (self.poured.get(engine, 0) - mark) & 0xFFFFFFFF

    def observe(self, engine: int, poured: float, age_ms: float, expected: int, found: int) -> bool:
        """A session came back; whether the engine must have lost all that it kept.

        `poured` is by all routers; `expected` and `found` are tokens beyond the shared opening.
        """
        if expected < TELLS:
            return False
        share = min(1.0, max(0, found) / expected)
        room = self.room(engine)
        if room > 0.0 and share < 0.1 and poured < EMPTY_OF * room:
            # Not an edge: what vanished at once says nothing of how much usually fits.
            run = self.lost[engine] = self.lost.get(engine, 0) + 1
            if run <= SHRUNK_RUN:
                return run == LOST_RUN
        else:
            self.lost.pop(engine, None)
        n = step(poured)
        self.tokens.note(n, share)
        if room <= 0.0 or poured < QUIET * room:
            self.ages.observe(age_ms, share)  # else it was pushed out, and its age says nothing
        own = self.own.get(engine)
        if own is None and len(self.own) < MOST_ENGINES:
            own = self.own[engine] = Edge()
        if own is not None:
            own.note(n, share)
        return False

    def room(self, engine: int) -> float:
        """Tokens that can be poured into an engine before what it keeps goes; 0: not known."""
        own = self.own.get(engine)
        if own is not None and own.seen >= ENOUGH:
            return own.at()
        return self.tokens.at()

    def share(self, engine: int, poured: float) -> float:
        """What should be found of what was left there before so many tokens were poured in, of 1.

        The curve is that of all engines, moved to where this one's own edge lies.
        """
        if self.tokens.seen - self._curve_at >= REFRESH:
            self._curve, self._curve_at = self.tokens.curve(), self.tokens.seen
        own, common = self.room(engine), self.tokens.at()
        if own > 0.0 and common > 0.0:
            poured *= common / own
        return self._curve[step(poured)] if poured > 1.0 else 1.0

    def longest_ms(self) -> float:
        """The age at which what is kept goes, whatever is poured in; infinity: no such age was seen."""
        edge = self.ages.at()
        return edge if self.ages.beyond >= 1.0 else inf

    def forget(self, engine: int) -> None:
        """The engine is gone, or begun anew: its own edge and marks mean nothing."""
        for table in (self.own, self.lost, self.poured):
            table.pop(engine, None)
