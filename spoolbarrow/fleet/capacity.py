"""What replicas bear, as one node can tell: how much of what comes for each of them is begun.

Nobody tells a replica's capacity. In overload it is less than what is asked, the more so as clients that were
refused ask again; but what replicas of a kind are seen to begin is never more than they can do. This module
counts both and gives their ratio; what is made of it is decided elsewhere. Pure: times (ms) are the caller's.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from math import exp, sqrt
from typing import Protocol

COUNT_MS = 6000.0  # requests are counted over about this span
PRIOR = 3.0  # requests counted beside those seen, all of them begun: few say little
HEADROOM = 1.15  # of the ratio: where all that comes is begun, chance must not make it less than 1
LEAST_ABLE = 0.5  # replicas; fewer than one begins what one does


class Member(Protocol):
    """A replica, as far as it is counted here."""

    id: str
    kind: int


class DecayingCount:
    """How many there were of late: each counts less the longer ago it was."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms, self._count, self._at = max(span_ms, 1.0), 0.0, 0.0

    def add(self, now: float, count: float = 1.0) -> None:
        """One more, or so many."""
        self._count, self._at = self.at(now) + count, now

    def at(self, now: float) -> float:
        """How many they count for now."""
        return self._count * exp((self._at - now) / self._span_ms)


class Capacity:
    """Counts of what came to one node, and of what replicas began, by kind."""

    def __init__(self, burst_ms: float) -> None:
        """`burst_ms`: within such a time a sudden rise of what comes must tell."""
        self._burst_ms = max(burst_ms, 1.0)
        self._came, self._sudden = DecayingCount(COUNT_MS), DecayingCount(self._burst_ms)
        self._begun: dict[int, DecayingCount] = {}  # by kind, for each replica that was able to
        self._preferring: dict[str, DecayingCount] = {}  # what came for a starting replica, by its name
        self._members = Counter[int]()  # in service, by kind
        self._able: Mapping[
            int, float
        ] = {}  # by kind: how many warm replicas begin what those in service can

    def listed(self, serving: Iterable[Member], starting: Iterable[Member]) -> None:
        """The list has changed: who is in service, and which of them are in slow start."""
        self._able = self._members = Counter(replica.kind for replica in serving)
        kept = {replica.id for replica in starting}
        self._preferring = {name: count for name, count in self._preferring.items() if name in kept}

    def came(self, now: float, preferred: str | None, able: Mapping[int, float]) -> None:
        """A request has come, a client's repetition too, and prefers this starting replica.

        `able`: by kind, how many warm replicas begin what those in service can; empty: each of them is one.
        """
        self._came.add(now)
        self._sudden.add(now)
        self._able = able or self._members
        if preferred is not None:
            self._preferring.setdefault(preferred, DecayingCount(COUNT_MS)).add(now)

    def begun(self, now: float, kind: int) -> None:
        """A replica of this kind has begun to answer a request."""
        # By how many there are now: those that leave must not look as if the others had begun it.
        each = 1.0 / max(self._able.get(kind, 0.0), LEAST_ABLE)
        self._begun.setdefault(kind, DecayingCount(COUNT_MS)).add(now, each)

    def begun_share(self, replica: Member, now: float, preferred: bool) -> float:
        """What a warm replica of this kind begins, of what comes for each replica; 1 at most.

        With `preferred`, of what comes for this one, where that is more.
        """
        came = self._came.at(now)
        coming = max(came, self._sudden_rise(now))
        members = max(1, self._members.total())
        for_each = (coming + PRIOR) / members
        if preferred and replica.id in self._preferring:
            count = self._preferring[replica.id].at(now)
            for_each = max(for_each, surely(count) * coming / max(came, 1.0))
        begun = self._begun[replica.kind].at(now) if replica.kind in self._begun else 0.0
        return min(1.0, HEADROOM * (begun + PRIOR / members) / for_each)

    def _sudden_rise(self, now: float) -> float:
        """What would have come by now at the rate of the last moments, as far as that is no chance."""
        others = max(0.0, self._sudden.at(now) - 1.0)  # without the one that is decided on
        return surely(others) * COUNT_MS / self._burst_ms


def surely(count: float) -> float:
    """A count less its standard deviation: a node that sees little must not take chance for a rise."""
    return max(0.0, count - sqrt(count))
