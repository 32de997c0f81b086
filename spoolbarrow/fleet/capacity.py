"""Estimates, from one router's counts, the share of arriving requests that replicas can start.

The capacity of replicas is not configured. In overload it is less than the demand, all the more because
refused clients retry; but the requests that replicas of a kind are seen to start never exceed what they can
serve. This module counts both and gives their ratio; its callers decide what follows from it. It does no I/O;
times (ms) are passed in by the caller.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from math import exp, sqrt
from typing import Protocol

COUNT_WINDOW_MS = 6000.0  # time constant of the decaying counts
PRIOR_REQUESTS = 3.0  # requests added to those counted, all started: a few requests carry little evidence
SHARE_HEADROOM = 1.11  # factor on the ratio: where all requests are started, chance must not lower it below 1
MIN_SHARE = 1e-6  # prevents a division by zero


class Member(Protocol):
    """The part of a replica that is used here."""

    id: str
    kind: int


class DecayingCount:
    """Exponentially decaying count of events."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms, self._count, self._at = max(span_ms, 1.0), 0.0, 0.0

    def add(self, now: float, count: float = 1.0) -> None:
        """Add an event, or `count` of them."""
        self._count, self._at = self.at(now) + count, now

    def at(self, now: float) -> float:
        """The decayed count at `now`."""
        return self._count * exp((self._at - now) / self._span_ms)


class WarmStarts:
    """Requests that warm replicas of one kind, or of all kinds, were seen to start while there were any."""

    def __init__(self) -> None:
        self.started = DecayingCount(COUNT_WINDOW_MS)  # per replica, on the clock below
        self.warm_ms = 0.0  # time with warm replicas: without any, the count does not decay

    def share_of(self, age_ms: float) -> float:
        """Share of the counted time during which there were warm replicas."""
        counted, warm = 1.0 - exp(-age_ms / COUNT_WINDOW_MS), 1.0 - exp(-self.warm_ms / COUNT_WINDOW_MS)
        return max(min(1.0, warm / max(counted, MIN_SHARE)), MIN_SHARE)


class Capacity:
    """Counts of the requests that arrived at one router and of those that warm replicas started, by kind."""

    def __init__(self, burst_ms: float) -> None:
        """`burst_ms`: a sudden rise in arrivals must take effect within this time."""
        self._burst_ms = max(burst_ms, 1.0)
        self._arrived, self._recent = DecayingCount(COUNT_WINDOW_MS), DecayingCount(self._burst_ms)
        self._starts: dict[int, WarmStarts] = {}  # by kind
        self._all_kinds = WarmStarts()
        # Arrivals that prefer a slow-starting replica, by its name.
        self._preferring: dict[str, DecayingCount] = {}
        self._members = Counter[int]()  # in service, by kind
        self._warm: Mapping[int, int] = {}  # of these, the replicas at full capacity
        self._first_arrival_at = self._last_arrival_at = -1.0  # of the first request and the last one

    def set_members(self, serving: Iterable[Member], starting: Iterable[Member]) -> None:
        """Set the replicas in service, and which of them are in slow start, after a change of the list."""
        self._warm = self._members = Counter(replica.kind for replica in serving)
        kept = {replica.id for replica in starting}
        self._preferring = {name: count for name, count in self._preferring.items() if name in kept}

    def count_arrival(self, now: float, preferred: str | None, warm: Mapping[int, int] | None) -> None:
        """Count an arrival, or a client's retry, that prefers this slow-starting replica, if any.

        `warm`: number of replicas of each kind that are in service, warm and responsive; None: all are.
        """
        elapsed_ms = now - self._last_arrival_at if self._first_arrival_at >= 0.0 else 0.0
        self._first_arrival_at, self._last_arrival_at = (
            (self._first_arrival_at if self._first_arrival_at >= 0.0 else now),
            now,
        )
        self._warm = self._members if warm is None else warm
        for kind, number in self._warm.items():
            if number:
                self._starts.setdefault(kind, WarmStarts()).warm_ms += elapsed_ms
        self._all_kinds.warm_ms += elapsed_ms if any(self._warm.values()) else 0.0
        self._arrived.add(now)
        self._recent.add(now)
        if preferred is not None:
            self._preferring.setdefault(preferred, DecayingCount(COUNT_WINDOW_MS)).add(now)

    def count_start(self, kind: int) -> None:
        """Count a request that a warm replica of this kind has started."""
        # Divided by the present number, so that replicas that leave do not raise the share of the others.
        starts = self._starts.setdefault(kind, WarmStarts())
        starts.started.add(starts.warm_ms, 1.0 / max(1, self._warm.get(kind, 0)))
        self._all_kinds.started.add(self._all_kinds.warm_ms, 1.0 / max(1, sum(self._warm.values())))

    def started_share(self, replica: Member, now: float, preferred: bool) -> float:
        """Requests that a warm replica of this kind starts, as a share of arrivals per replica; 1 at most.

        With `preferred`, as a share of the arrivals that prefer this replica, if they are more. Time without
        any warm replica shows nothing about capacity: the earlier count remains; the share is 1 without one.
        """
        arrived = self._arrived.at(now)
        demand = max(arrived, self._recent_rise(now))
        members = max(1, self._members.total())
        per_replica = (demand + PRIOR_REQUESTS) / members
        if preferred and replica.id in self._preferring:
            count = self._preferring[replica.id].at(now)
            per_replica = max(per_replica, lower_bound(count) * demand / max(arrived, 1.0))
        starts = self._starts.get(replica.kind, self._all_kinds)
        starts = starts if starts.warm_ms > 0.0 else self._all_kinds
        if starts.warm_ms <= 0.0:
            return 1.0
        started = starts.started.at(starts.warm_ms) / starts.share_of(now - self._first_arrival_at)
        return min(1.0, SHARE_HEADROOM * (started + PRIOR_REQUESTS / members) / per_replica)

    def _recent_rise(self, now: float) -> float:
        """Arrivals that the most recent rate would give over the counted time, less what may be chance."""
        others = max(0.0, self._recent.at(now) - 1.0)  # without the request being decided
        return lower_bound(others) * COUNT_WINDOW_MS / self._burst_ms


def lower_bound(count: float) -> float:
    """A count less its standard deviation: where counts are low, chance must not look like a rise."""
    return max(0.0, count - sqrt(count))
