"""Simulates discovery with delays, bounded capacity, outages and stale data. No I/O; times in ms."""

from __future__ import annotations

from collections import deque
from math import inf
from random import Random
from typing import NamedTuple

from spoolbarrow.interface import ListKind, ReplicaEntry, ReplicaState
from spoolbarrow.lab.kinds import draw
from spoolbarrow.lab.scenario import Discovery


class Notification(NamedTuple):
    """A list or change that a caller receives, and when."""

    at: float
    caller: int
    kind: ListKind
    entries: tuple[ReplicaEntry, ...]


class SimulatedDiscovery:
    """The service: `record_change` takes true states, `request_list` and `deliver_due` return updates."""

    def __init__(self, shape: Discovery, entries: list[ReplicaEntry], rng: Random) -> None:
        self.shape = shape
        self.rng = rng
        self.listed = {entry.replica: entry for entry in entries}  # as the service knows them
        # changes that it has not detected yet, in order
        self.pending_changes: deque[tuple[float, ReplicaEntry]] = deque()
        self.watches: set[int] = set()
        self.busy_until = 0.0
        self.down_until = -inf
        self.behind_ms = 0.0  # staleness, set by a trouble
        self.calls = self.failed = 0

    def record_change(self, now: float, entry: ReplicaEntry, silent: bool = False) -> float:
        """Record an engine's new state; the time of its detection, at which `deliver_due` must be called."""
        seconds = draw(self.shape.silent_notice_s if silent else self.shape.notice_s, self.rng)
        at = now + seconds * 1000.0 + self.behind_ms
        if self.pending_changes:
            at = max(at, self.pending_changes[-1][0])
        self.pending_changes.append((at, entry))
        return at

    def deliver_due(self, now: float) -> list[Notification]:
        """Detect the changes that are due; the notifications to watching callers."""
        updates: dict[str, ReplicaEntry] = {}
        while self.pending_changes and self.pending_changes[0][0] <= now:
            entry = self.pending_changes.popleft()[1]
            updates[entry.replica] = entry
            if entry.state is ReplicaState.GONE:
                self.listed.pop(entry.replica, None)
            else:
                self.listed[entry.replica] = entry
        if not updates or now < self.down_until:
            return []
        entries = tuple(updates.values())
        return [
            Notification(
                now + draw(self.shape.spread_ms, self.rng) * self.rng.random(),
                caller,
                ListKind.CHANGES,
                entries,
            )
            for caller in sorted(self.watches)
        ]

    def request_list(self, now: float, caller: int) -> Notification:
        """Handle a router's call for the list and a watch, which begins when the list is delivered."""
        self.calls += 1
        self.watches.discard(caller)
        if now < self.down_until:
            self.failed += 1
            return Notification(now + 1.0, caller, ListKind.FAILED, ())
        begin = max(now, self.busy_until)
        if begin - now > self.shape.timeout_ms:
            self.failed += 1
            return Notification(now + self.shape.timeout_ms, caller, ListKind.FAILED, ())
        self.busy_until = begin + self.shape.call_ms + self.shape.line_ms * len(self.listed)
        self.watches.add(caller)
        return Notification(self.busy_until, caller, ListKind.WHOLE, ())

    def full_list(self) -> tuple[ReplicaEntry, ...]:
        """The current list as the service knows it."""
        return tuple(self.listed.values())

    def fail_until(self, now: float, until: float) -> list[Notification]:
        """Take the service down until then: calls fail and watches end."""
        self.down_until = until
        self.busy_until = min(self.busy_until, now)
        ended_watches = [Notification(now, caller, ListKind.FAILED, ()) for caller in sorted(self.watches)]
        self.watches.clear()
        return ended_watches

    def remove_caller(self, caller: int) -> None:
        """Remove the watch of a router that has died."""
        self.watches.discard(caller)
