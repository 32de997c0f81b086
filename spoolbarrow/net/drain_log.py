"""What drains do to clients' connections, told to the log and counted for the figures.

Owns the form of those lines and their bound: so many a second at most, what is left out is counted and told
with the next line. It decides nothing and waits for nothing.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from msgspec import Struct

from spoolbarrow.net.drain_schedule import DrainCause
from spoolbarrow.net.log import log

LINES_A_SECOND = 50  # on single connections and requests: a crowd's would push the others' lines out
MOST_NAMED = 20  # connections that are named in one line


class DrainCounts(Struct):
    """Since the process began, while a drain was in force."""

    taken: int = 0  # requests that were taken
    refused: int = 0  # requests that were refused because of it
    closed: int = 0  # clients' connections that ended


class HeldConnection(NamedTuple):
    """A client's connection that is still open late in a drain."""

    connection: int
    state: str  # idle, half_read, answering, told_to_go
    request: str  # the client's name for the request under way
    age_ms: int  # of that state


class DrainLog:
    """One process's drains, as they are told."""

    def __init__(self) -> None:
        self.counts = DrainCounts()
        self._second = 0
        self._written = self._left_out = 0

    def state(self, cause: DrainCause, state: str, after_ms: float, open_connections: int) -> None:
        """A drain began, came to its next step or was taken back."""
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
        """A request came while a drain was in force, and is served."""
        self.counts.taken += 1
        self._line(now, "drain_request", id=id, connection=connection, what="taken")

    def request_refused(self, now: float, id: str, connection: int) -> None:
        """A request came too late in a drain, and is told so."""
        self.counts.refused += 1
        self._line(now, "drain_request", id=id, connection=connection, what="refused")

    def closed(self, now: float, connection: int, why: str, state: str) -> None:
        """A client's connection ended while a drain was in force: why, and what it was doing."""
        self.counts.closed += 1
        self._line(now, "drain_closed", connection=connection, why=why, state=state)

    def held(self, cause: DrainCause, after_ms: float, connections: Sequence[HeldConnection]) -> None:
        """These connections are still open when nothing but answers that run should be."""
        named = [one._asdict() for one in connections[:MOST_NAMED]]
        log(
            "drain_held",
            cause=cause.value,
            after_ms=round(after_ms),
            connections=len(connections),
            held=named,
        )

    def _line(self, now: float, event: str, **fields: object) -> None:
        second = int(now // 1000)
        if second != self._second:
            self._second, self._written = second, 0
        if self._written == LINES_A_SECOND:
            self._left_out += 1
            return
        self._written += 1
        if self._left_out:
            fields["left_out"] = self._left_out
            self._left_out = 0
        log(event, **fields)
