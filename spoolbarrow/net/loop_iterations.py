"""Estimates when input arrived, from the times at which the event loop polls its sockets.

A loop that waits in its poll notices input at once. A busy loop polls only between its iterations, so input
found then may have arrived at any time since the poll before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import gevent

from spoolbarrow.net import tcpinfo

WAIT_THRESHOLD_MS = 1.0  # a longer poll had nothing to report at first and ended as input arrived
FIRST_PRIORITY, LAST_PRIORITY = 2, -2  # libev's highest and lowest, among watchers of one kind


class LoopIterations:
    """Records when the event loop polled its sockets."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._poll_began = self._poll_ended = now()  # of the current poll; of the last one
        self._unpolled_since: float | None = None
        loop = gevent.get_hub().loop
        self._watchers = (
            loop.prepare(ref=False, priority=LAST_PRIORITY),
            loop.check(ref=False, priority=FIRST_PRIORITY),
        )
        for watcher, callback in zip(self._watchers, (self._before_poll, self._after_poll), strict=True):
            watcher.start(callback)

    def earliest_arrival(self, latest: float) -> float:
        """The earliest arrival time of data read now whose last byte arrived at `latest`."""
        return latest if self._unpolled_since is None else min(latest, self._unpolled_since)

    def stop(self) -> None:
        """Stop watching."""
        for watcher in self._watchers:
            watcher.stop()

    def _before_poll(self) -> None:
        self._poll_began = self._now()

    def _after_poll(self) -> None:
        now = self._now()
        self._unpolled_since = None if now - self._poll_began > WAIT_THRESHOLD_MS else self._poll_ended
        self._poll_ended = now


class ArrivalTimes:
    """Arrival times of the requests of one connection; clients count their time-out from the sending."""

    def __init__(self, iterations: LoopIterations, sock: tcpinfo.Inspectable) -> None:
        self._iterations, self._sock = iterations, sock
        self._segments = 0  # data segments received, as of the last query
        self._unread_since: float | None = None  # start of a time with unread input, as far as known
        self._earliest = self._request_began = 0.0  # of the next input; of the request being read
        self._complete: deque[float] = deque()  # of complete requests

    def left_unread(self, now: float) -> None:
        """Note input that stays unread for now; its arrival time is lost once more input follows."""
        if self._unread_since is None:
            self._unread_since = now - tcpinfo.last_received_ms(self._sock)

    def before_read(self, now: float) -> None:
        """Determine the earliest arrival time of the next input; exact if it is a single segment."""
        latest, had = now - tcpinfo.last_received_ms(self._sock), self._segments
        self._segments = tcpinfo.counters(self._sock).data_segments_received
        self._earliest = latest if self._segments - had == 1 else self._iterations.earliest_arrival(latest)
        if self._unread_since is not None:
            self._earliest, self._unread_since = min(self._earliest, self._unread_since), None

    def after_read(self, in_request: bool, completed: int) -> None:
        """Note a read of input that began inside a request or not and completed so many requests."""
        if not in_request:
            self._request_began = self._earliest
        for _ in range(completed):
            self._complete.append(self._request_began)
            self._request_began = self._earliest

    def next_arrival(self, default: float) -> float:
        """Remove and return the arrival time of the first complete request; `default` if unknown."""
        return self._complete.popleft() if self._complete else default
