"""Logs what drains do to client connections, and counts it for the metrics.

Defines the log events and limits their rate; omitted lines are counted and reported with the next line. Makes
no decisions and never blocks.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from msgspec import Struct

from spoolbarrow.net.drain_schedule import DrainCause
from spoolbarrow.net.log import log

MAX_LINES_PER_S = 50  # about single connections and requests, which could crowd out other log lines
MAX_LISTED = 20  # connections listed in one line


class DrainCounts(Struct):
    """Counts since the start of the process, made while a drain was in force."""

    taken: int = 0  # requests accepted
    refused: int = 0  # requests refused because of the drain
    closed: int = 0  # client connections closed


class HeldConnection(NamedTuple):
    """A client connection that is still open late in a drain."""

    connection: int
    state: str  # idle, half_read, answering, told_to_go
    request: str  # the client's ID of the request in flight
    age_ms: int  # time in that state


class DrainLog:
    """Writes the drain events of one process."""

    def __init__(self) -> None:
        self.counts = DrainCounts()
        self._second = 0
        self._written = self._left_out = 0

    def state(self, cause: DrainCause, state: str, after_ms: float, open_connections: int) -> None:
        """Log that a drain began, reached a step or was cancelled."""
        counts = self.counts
        log(
            "drain_state",
            cause=cause.value,
            state=state,
            after_ms=round(after_ms),
            connections=open_connections,
            taken=counts.taken,
            refused=counts.refused,
            closed=counts.closed,
        )

    def request_taken(self, now: float, id: str, connection: int) -> None:
        """Log a request that is served during a drain."""
        self.counts.taken += 1
        self._line(now, "drain_request", id=id, connection=connection, what="taken")

    def request_refused(self, now: float, id: str, connection: int) -> None:
        """Log a request that came too late in a drain and is refused."""
        self.counts.refused += 1
        self._line(now, "drain_request", id=id, connection=connection, what="refused")

    def closed(self, now: float, connection: int, why: str, state: str) -> None:
        """Log a client connection closed during a drain, with the reason and its state."""
        self.counts.closed += 1
        self._line(now, "drain_closed", connection=connection, why=why, state=state)

    def held(self, cause: DrainCause, after_ms: float, connections: Sequence[HeldConnection]) -> None:
        """Log the connections still open at a time when only running responses should be left."""
        listed = [connection._asdict() for connection in connections[:MAX_LISTED]]
        log(
            "drain_held",
            cause=cause.value,
            after_ms=round(after_ms),
            connections=len(connections),
            held=listed,
        )

    def _line(self, now: float, event: str, **fields: object) -> None:
        second = int(now // 1000)
        if second != self._second:
            self._second, self._written = second, 0
        if self._written == MAX_LINES_PER_S:
            self._left_out += 1
            return
        self._written += 1
        if self._left_out:
            fields["left_out"] = self._left_out
            self._left_out = 0
        log(event, **fields)
