"""How much each engine keeps, and for how long, learnt from what answers tell was found kept.

When a session returns to its home, what was found of its prompt there says whether so many tokens poured in
since, or so much time, had pushed it out. The edge where less than half is found is the engine's room.
"""

from __future__ import annotations

from math import log2

STEPS_AN_OCTAVE = 2
STEPS = 80  # forty octaves
FADE = 0.98  # of a step's counts at each observation in it: about fifty of them are believed
ENOUGH = 8.0  # observations of an engine's own; fewer: the edge of all engines
HALF = 0.5
TELLS = 64  # tokens expected; less says little
EMPTY_OF = 0.125  # of the room: with less poured in since, nothing found is an engine that lost all it kept
LOST_RUN = 2  # such sessions in a row make an engine empty: one may have been preempted
SHRUNK_RUN = 8  # so many, and the room itself has become smaller: they count for its edge
MOST_ENGINES = 16_384


class Edge:
    """Where what is found falls below half, on a scale of half octaves."""

    __slots__ = ("expected", "found", "seen")

    def __init__(self) -> None:
        self.expected = [0.0] * STEPS
        self.found = [0.0] * STEPS
        self.seen = 0.0

    def observe(self, at: float, share: float) -> None:
        """So much was found of what was left `at` this quantity ago."""
        n = min(STEPS - 1, int(STEPS_AN_OCTAVE * log2(at))) if at > 1.0 else 0
        self.expected[n] = FADE * self.expected[n] + 1.0
        self.found[n] = FADE * self.found[n] + min(1.0, max(0.0, share))
        self.seen += 1.0

    def at(self) -> float:
        """The edge; 0: nothing was ever found. Beyond the largest quantity seen to keep, nothing is promised.

        The step chosen splits what was found before it from what was lost after it with the least error.
        """
        kept_after = sum(self.found)
        best, least, error = 0, kept_after, kept_after  # all beyond the edge: what was found is the error
        for n in range(STEPS):
            error += (self.expected[n] - self.found[n]) - self.found[n]
            if error < least and self.expected[n] > 0.0:
                best, least = n + 1, error
        return 2.0 ** (best / STEPS_AN_OCTAVE) if best else 0.0


class Rooms:
    """Edges of engines, of tokens and of age; engines by number."""

    def __init__(self) -> None:
        self.tokens, self.ages = Edge(), Edge()
        self.own: dict[int, Edge] = {}
        self.lost: dict[int, int] = {}
        self.poured: dict[int, int] = {}  # tokens read and made at an engine, as far as this router knows
        self._edge, self._edge_at = (0.0, 0.0), -1.0

    def pour(self, engine: int, tokens: int) -> None:
        """So many tokens were read or made there that were not kept before."""
        if engine in self.poured or len(self.poured) < MOST_ENGINES:
            self.poured[engine] = self.poured.get(engine, 0) + max(0, tokens)

    def mark(self, engine: int) -> int:
        """What has been poured in, to be compared later; within 32 bits."""
        return self.poured.get(engine, 0) & 0xFFFFFFFF

    def since(self, engine: int, mark: int) -> int:
        """Tokens poured in since a mark."""
        return (self.poured.get(engine, 0) - mark) & 0xFFFFFFFF

    def observe(self, engine: int, poured: float, age_ms: float, expected: int, found: int) -> bool:
        """A session came back; whether the engine must have lost all that it kept.

        `poured` is by all routers; `expected` and `found` are tokens beyond the shared opening.
        """
        if expected < TELLS:
            return False
        share = found / expected
        room = self.room(engine)
        if room > 0.0 and share < 0.1 and poured < EMPTY_OF * room:
            # Not an edge: what vanished at once says nothing of how much usually fits.
            run = self.lost[engine] = self.lost.get(engine, 0) + 1
            if run <= SHRUNK_RUN:
                return run == LOST_RUN
        else:
            self.lost.pop(engine, None)
        self.tokens.observe(poured, share)
        self.ages.observe(age_ms, share)
        if engine in self.own or len(self.own) < MOST_ENGINES:
            self.own.setdefault(engine, Edge()).observe(poured, share)
        return False

    def room(self, engine: int) -> float:
        """Tokens that can be poured into an engine before what it keeps goes; 0: not known."""
        own = self.own.get(engine)
        if own is not None and own.seen >= ENOUGH:
            return own.at()
        return self._common()[0]

    def longest_ms(self) -> float:
        """The age at which what is kept goes, whatever is poured in."""
        return self._common()[1]

    def _common(self) -> tuple[float, float]:
        if self.tokens.seen != self._edge_at:
            self._edge, self._edge_at = (self.tokens.at(), self.ages.at()), self.tokens.seen
        return self._edge

    def forget(self, engine: int) -> None:
        """The engine is gone, or begun anew: its own edge and marks mean nothing."""
        for table in (self.own, self.lost, self.poured):
            table.pop(engine, None)
