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

COUNT_WINDOW_MS = 6000.0  # requests are counted over about this span
PRIOR_REQUESTS = 3.0  # requests counted beside those seen, all of them begun: few say little
SHARE_HEADROOM = 1.11  # of the ratio: where all that comes is begun, chance must not make it less than 1
MIN_SHARE = 1e-6  # guards a division


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


class WarmStarts:
    """What warm replicas of one kind, or of all, were seen to begin, while there were any."""

    def __init__(self) -> None:
        self.begun = DecayingCount(COUNT_WINDOW_MS)  # for each replica, on the clock below
        self.warm_ms = 0.0  # for which there were some: without, what is known stays as it was

    def share_of(self, age_ms: float) -> float:
        """How much of the time that is counted there were some."""
        counted, seen = 1.0 - exp(-age_ms / COUNT_WINDOW_MS), 1.0 - exp(-self.warm_ms / COUNT_WINDOW_MS)
        return max(min(1.0, seen / max(counted, MIN_SHARE)), MIN_SHARE)


class Capacity:
    """Counts of what came to one node, and of what warm replicas began, by kind."""

    def __init__(self, burst_ms: float) -> None:
        """`burst_ms`: within such a time a sudden rise of what comes must tell."""
        self._burst_ms = max(burst_ms, 1.0)
        self._came, self._sudden = DecayingCount(COUNT_WINDOW_MS), DecayingCount(self._burst_ms)
        self._seen: dict[int, WarmStarts] = {}  # by kind
        self._of_all = WarmStarts()
        self._preferring: dict[str, DecayingCount] = {}  # what came for a starting replica, by its name
        self._members = Counter[int]()  # in service, by kind
        self._warm: Mapping[int, int] = {}  # of those, the ones that can begin all that they ever can
        self._begun_at = self._counted_at = -1.0  # the first request and the last one

    def set_members(self, serving: Iterable[Member], starting: Iterable[Member]) -> None:
        """The list has changed: who is in service, and which of them are in slow start."""
        self._warm = self._members = Counter(replica.kind for replica in serving)
        kept = {replica.id for replica in starting}
        self._preferring = {name: count for name, count in self._preferring.items() if name in kept}

    def count_arrival(self, now: float, preferred: str | None, warm: Mapping[int, int] | None) -> None:
        """A request has come, a client's repetition too, and prefers this starting replica.

        `warm`: how many replicas of each kind are in service, warm and not silent; None: all are.
        """
        passed = now - self._counted_at if self._begun_at >= 0.0 else 0.0
        self._begun_at, self._counted_at = (self._begun_at if self._begun_at >= 0.0 else now), now
        self._warm = self._members if warm is None else warm
        for kind, number in self._warm.items():
            if number:
                self._seen.setdefault(kind, WarmStarts()).warm_ms += passed
        self._of_all.warm_ms += passed if any(self._warm.values()) else 0.0
        self._came.add(now)
        self._sudden.add(now)
        if preferred is not None:
            self._preferring.setdefault(preferred, DecayingCount(COUNT_WINDOW_MS)).add(now)

    def count_start(self, kind: int) -> None:
        """A warm replica of this kind has begun to answer a request."""
        # By how many there are now: those that leave must not look as if the others had begun it.
        seen = self._seen.setdefault(kind, WarmStarts())
        seen.begun.add(seen.warm_ms, 1.0 / max(1, self._warm.get(kind, 0)))
        self._of_all.begun.add(self._of_all.warm_ms, 1.0 / max(1, sum(self._warm.values())))

    def started_share(self, replica: Member, now: float, preferred: bool) -> float:
        """What a warm replica of this kind begins, of what comes for each replica; 1 at most.

        With `preferred`, of what comes for this one, where that is more. Time without any warm replica tells
        nothing of what they bear: what was seen before goes on, and 1 where nothing ever was.
        """
        came = self._came.at(now)
        coming = max(came, self._sudden_rise(now))
        members = max(1, self._members.total())
        for_each = (coming + PRIOR_REQUESTS) / members
        if preferred and replica.id in self._preferring:
            count = self._preferring[replica.id].at(now)
            for_each = max(for_each, lower_bound(count) * coming / max(came, 1.0))
        seen = self._seen.get(replica.kind, self._of_all)
        seen = seen if seen.warm_ms > 0.0 else self._of_all
        if seen.warm_ms <= 0.0:
            return 1.0
        begun = seen.begun.at(seen.warm_ms) / seen.share_of(now - self._begun_at)
        return min(1.0, SHARE_HEADROOM * (begun + PRIOR_REQUESTS / members) / for_each)

    def _sudden_rise(self, now: float) -> float:
        """What would have come by now at the rate of the last moments, as far as that is no chance."""
        others = max(0.0, self._sudden.at(now) - 1.0)  # without the one that is decided on
        return lower_bound(others) * COUNT_WINDOW_MS / self._burst_ms


def lower_bound(count: float) -> float:
    """A count less its standard deviation: a node that sees little must not take chance for a rise."""
    return max(0.0, count - sqrt(count))
