"""How many tokens each engine's prefix cache retains, and for how long, learnt from cache hits in answers.

When a session returns to its engine, the share of its prompt found there shows whether the tokens added
since, or the time, have evicted it. The quantity at which less than half is found (the edge) is the engine's
capacity.
"""

from __future__ import annotations

from math import inf, log2

STEPS_AN_OCTAVE = 2
STEPS = 80  # 40 octaves
DECAY = 0.98  # of a step's counts at each observation in it: about 50 of them have effect
MIN_OBSERVATIONS = 8  # of an engine; with fewer the edge of all engines is used
HALF = 0.5
PRIOR_OBSERVATIONS = 0.2  # assumed at each step, with HALF of the tokens found
EDGE_REFRESH = 32  # observations, at most, until an edge is computed again
CURVE_REFRESH = 32  # observations until the curve of all engines is computed again
MIN_EXPECTED_TOKENS = 64  # for an observation; fewer say little
LOST_CAPACITY_SHARE = 0.125  # with less added since and nothing found, an engine lost its whole cache
LOST_RUN = 2  # such sessions in a row show a lost cache: one alone may have been preempted
AGE_CAPACITY_SHARE = 0.25  # with less added, what was lost was lost by age
SHRUNK_RUN = 8  # more in a row show that the capacity shrank: they count for its edge
MAX_ENGINES = 16_384


def step(quantity: float) -> int:
    """The half octave that a quantity falls into."""
    return min(STEPS - 1, int(STEPS_AN_OCTAVE * log2(quantity))) if quantity > 1.0 else 0


class Edge:
    """The quantity at which the share found falls below half, on a scale of half octaves."""

    __slots__ = ("beyond", "edge", "edge_at", "expected", "found", "observations")

    def __init__(self) -> None:
        self.expected = [0.0] * STEPS
        self.found = [0.0] * STEPS
        self.observations = 0
        self.edge, self.edge_at = 0.0, 0
        self.beyond = 0.0  # observations beyond the edge: without any, it is only the largest quantity seen

    def observe(self, at: float, share: float) -> None:
        """Record the share that was found `at` this quantity (of tokens or of age)."""
        self.observe_step(step(at), share)

    def observe_step(self, n: int, share: float) -> None:
        """The same, by step."""
        self.expected[n] = DECAY * self.expected[n] + 1.0
        self.found[n] = DECAY * self.found[n] + share
        self.observations += 1

    def at(self) -> float:
        """The edge; 0: nothing was ever found. It is never beyond the largest quantity with tokens found.

        Computed again after an eighth more observations, or EDGE_REFRESH. The chosen step separates what was
        found before it from what was lost after it with the least error.
        """
        if self.observations - self.edge_at <= min(EDGE_REFRESH, self.observations // 8):
            return self.edge
        self.edge_at = self.observations
        found_after = sum(self.found)
        best, least, error = 0, found_after, found_after  # edge at 0: all that was found is the error
        for n in range(STEPS):
            error += (self.expected[n] - self.found[n]) - self.found[n]
            if error < least and self.expected[n] > 0.0:
                best, least = n + 1, error
        self.edge = 2.0 ** (best / STEPS_AN_OCTAVE) if best else 0.0
        self.beyond = sum(self.expected[best:])
        return self.edge

    def curve(self) -> tuple[float, ...]:
        """Share found by step, made non-increasing by pooling adjacent violators."""
        blocks: list[tuple[float, float, int]] = []  # found, expected, steps
        for found, expected in zip(self.found, self.expected, strict=True):
            block = (
                found + PRIOR_OBSERVATIONS * HALF * (expected > 0.0),
                expected + PRIOR_OBSERVATIONS * (expected > 0.0),
                1,
            )
            while blocks and block[0] * blocks[-1][1] >= blocks[-1][0] * block[1]:
                last = blocks.pop()
                block = (last[0] + block[0], last[1] + block[1], last[2] + block[2])
            blocks.append(block)
        return tuple(f / e if e > 0.0 else 1.0 for f, e, n in blocks for _ in range(n))


class CacheRetention:
    """The cache retention of engines by added tokens and by age; engines by number."""

    def __init__(self) -> None:
        self.tokens, self.ages = Edge(), Edge()
        self.own: dict[int, Edge] = {}
        self.lost: dict[int, int] = {}
        self.added: dict[int, int] = {}  # tokens that this router has added to an engine's cache
        self._curve: tuple[float, ...] = (1.0,) * STEPS
        self._curve_at = 0

    def add_tokens(self, engine: int, tokens: int) -> int:
        """Record tokens added to an engine's cache; returns a mark of 32 bits for `since`."""
        added = self.added.get(engine, 0) + tokens
        if added > tokens or len(self.added) < MAX_ENGINES:
            self.added[engine] = added
        return added & 0xFFFFFFFF

    def since(self, engine: int, mark: int) -> int:
        """Tokens added since a mark."""
        return (self.added.get(engine, 0) - mark) & 0xFFFFFFFF

    def observe(self, engine: int, added: float, age_ms: float, expected: int, found: int) -> bool:
        """Record a session's return; returns whether the engine must have lost its whole cache.

        `added` is by all routers; `expected` and `found` are tokens beyond the shared prefix.
        """
        if expected < MIN_EXPECTED_TOKENS:
            return False
        share = min(1.0, max(0, found) / expected)
        capacity = self.capacity(engine)
        if capacity > 0.0 and share < 0.1 and added < LOST_CAPACITY_SHARE * capacity:
            # Not an edge: a sudden loss says nothing about the usual capacity.
            run = self.lost[engine] = self.lost.get(engine, 0) + 1
            if run <= SHRUNK_RUN:
                return run == LOST_RUN
        else:
            self.lost.pop(engine, None)
        n = step(added)
        self.tokens.observe_step(n, share)
        if capacity <= 0.0 or added < AGE_CAPACITY_SHARE * capacity:
            self.ages.observe(age_ms, share)  # otherwise it was evicted by newer tokens, whatever its age
        own = self.own.get(engine)
        if own is None and len(self.own) < MAX_ENGINES:
            own = self.own[engine] = Edge()
        if own is not None:
            own.observe_step(n, share)
        return False

    def capacity(self, engine: int) -> float:
        """Tokens that can be added to an engine before its cached ones are evicted; 0: unknown."""
        own = self.own.get(engine)
        if own is not None and own.observations >= MIN_OBSERVATIONS:
            return own.at()
        return self.tokens.at()

    def share(self, engine: int, added: float) -> float:
        """The expected share, of 1, of a prompt still cached after so many tokens were added.

        From the curve of all engines, scaled to this engine's own edge.
        """
        if self.tokens.observations - self._curve_at >= CURVE_REFRESH:
            self._curve, self._curve_at = self.tokens.curve(), self.tokens.observations
        own, common = self.capacity(engine), self.tokens.at()
        if own > 0.0 and common > 0.0:
            added *= common / own
        return self._curve[step(added)] if added > 1.0 else 1.0

    def longest_ms(self) -> float:
        """The age at which cached tokens are evicted in any case; infinity: no such age was observed."""
        edge = self.ages.at()
        return edge if self.ages.beyond >= 1.0 else inf

    def forget(self, engine: int) -> None:
        """Drop an engine's edge and marks: it was removed or restarted."""
        for table in (self.own, self.lost, self.added):
            table.pop(engine, None)
