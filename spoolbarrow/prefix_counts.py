"""Counts how often prompts with the same prefix come, in a table that callers can't make grow without end.

The counts are halved at intervals; a prefix that is not seen again is forgotten. Free of I/O.
"""

from __future__ import annotations

MAX_PREFIXES = 8192  # some 1.3 MB; more are forgotten by age, as callers can invent them
FORGOTTEN_BELOW = 0.5


class PrefixCounts:
    """How often prefixes were seen lately."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.keyed_count = 0.0  # requests with a key
        self.halved_at = 0.0
        self.count_sum = 0.0
        self.seen_once = 0  # number of prefixes

    def age(self, now: float, half_life_ms: float) -> None:
        """Halve the counts if it is time, or if there are too many prefixes."""
        if now - self.halved_at > half_life_ms:
            self.halved_at = now
            self._halve()
        while len(self.counts) >= MAX_PREFIXES:
            self._halve()

    def _halve(self) -> None:
        self.counts = {k: v / 2 for k, v in self.counts.items() if v > FORGOTTEN_BELOW}
        self.keyed_count, self.count_sum = self.keyed_count / 2.0, sum(self.counts.values())
        self.seen_once = sum(v <= 1.0 for v in self.counts.values())

    def add(self, prefix: int) -> None:
        """Count a request with this prefix; prefixes seen once estimate the share of unseen ones."""
        count = self.counts[prefix] = self.counts.get(prefix, 0.0) + 1.0
        self.count_sum += 1.0
        self.seen_once += (count <= 1.0) - (1.0 < count <= 2.0)

    def share(self, prefix: int) -> float:
        """A prefix's share of the requests with a key (Good-Turing): only prefixes seen again give shares."""
        seen_share = (self.count_sum - self.seen_once + 1.0) / (self.count_sum + 4.0)
        return seen_share * self.counts[prefix] / (self.keyed_count + 5.0)
