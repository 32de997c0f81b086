"""Timers of the host: calls at a time, and the time limits of open requests and their attempts.

A request is mostly answered long before its limit. Limits of requests that have ended are dropped together
once they are the greater part, so that a burst of short requests leaves nothing behind until its deadlines.
Pure: the host waits, and asks what is due.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

from spoolbarrow import interface as i

LOST_TIMER_RETRY_MS = 1000.0  # delay before a timer whose handler raised is fired again
MAX_WAIT_MS = 1000.0
MIN_DROPPED = 64  # fewer ended ones are not worth a pass
WHOLE_REQUEST = -1  # in place of an attempt's number


class TimeLimit(NamedTuple):
    """The limit of a request, or of one of its attempts; ordered by time."""

    at: float  # ms
    key: str  # the host's key of the request
    attempt: int = WHOLE_REQUEST


class HostTimers:
    """Calls and limits by time; `is_open` tells whether a request is, `expire` acts on a limit."""

    def __init__(self, is_open: Callable[[str], bool], expire: Callable[[TimeLimit], None]) -> None:
        self._is_open, self._expire = is_open, expire
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._limits: list[TimeLimit] = []
        self._ended = 0  # requests that ended since ended ones were dropped

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """Call at a time, ms."""
        heappush(self._calls, (when, next(self._order), call))

    def limit(self, at: float, key: str, attempt: int = WHOLE_REQUEST) -> None:
        """Add a limit of an open request."""
        heappush(self._limits, TimeLimit(at, key, attempt))

    def request_ended(self) -> None:
        """Note that a request is no longer open."""
        self._ended += 1
        if self._ended >= MIN_DROPPED and 2 * self._ended > len(self._limits):
            self._limits = [limit for limit in self._limits if self._is_open(limit.key)]
            heapify(self._limits)
            self._ended = 0

    def next_at(self, now: float) -> float:
        """When the next one is due; without any, a time to look again."""
        due = [heap[0][0] for heap in (self._calls, self._limits) if heap]
        return min([now + MAX_WAIT_MS, *due])

    def run_next(self, now: float) -> bool:
        """Run the next one that is due, and remove it; false if none is."""
        if self._limits and self._limits[0].at <= now:
            self._expire(heappop(self._limits))
            return True
        if self._calls and self._calls[0][0] <= now:
            heappop(self._calls)[2]()
            return True
        return False


def lost_timers(events: list[i.Event], actions: list[i.Action]) -> list[i.SetTimer]:
    """The fired timers of a failed batch that have not been set again."""
    fired = [event.token for event in events if isinstance(event, i.TimerFired)]
    kept = {action.token for action in actions if isinstance(action, i.SetTimer)}
    return [i.SetTimer(token, LOST_TIMER_RETRY_MS) for token in fired if token not in kept]
