"""The event loop's turns: since when what is read now can have lain unread.

A loop that waits for sockets sees what comes at once. One that is busy looks at them only between its turns:
what it finds then may have come at any time since it looked before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import gevent

from spoolbarrow.net import tcpinfo

WAITED_MS = 1.0  # a look that took so long found nothing at first, and ended as something came
FIRST, LAST = 2, -2  # of the watchers of one kind: libev's priorities


class LoopIterations:
    """When the loop last looked at its sockets."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._begun = self._looked = now()  # the look under way, and the end of the last one
        self._unseen_since: float | None = None
        loop = gevent.get_hub().loop
        self._watchers = (loop.prepare(ref=False, priority=LAST), loop.check(ref=False, priority=FIRST))
        for watcher, call in zip(self._watchers, (self._look, self._seen), strict=True):
            watcher.start(call)

    def earliest(self, latest: float) -> float:
        """When bytes that are read now, the last of which came at `latest`, can have begun to come."""
        return latest if self._unseen_since is None else min(latest, self._unseen_since)

    def stop(self) -> None:
        """Watch no more."""
        for watcher in self._watchers:
            watcher.stop()

    def _look(self) -> None:
        self._begun = self._now()

    def _seen(self) -> None:
        now = self._now()
        self._unseen_since = None if now - self._begun > WAITED_MS else self._looked
        self._looked = now


class ArrivalTimes:
    """From when on the requests of one connection had come: their clients count from sending them."""

    def __init__(self, turns: LoopIterations, sock: tcpinfo.Inspectable) -> None:
        self._turns, self._sock = turns, sock
        self._segments = 0  # that the kernel had taken in when this was asked last
        self._standing: float | None = None  # since when something was left unread, as far as was looked
        self._came = self._first_byte = 0.0  # of what is read next; of the request that is half read
        self._whole: deque[float] = deque()  # of the requests that are whole

    def stands(self, now: float) -> None:
        """Something has come and is left unread for now: what follows it tells no more when it came."""
        if self._standing is None:
            self._standing = now - tcpinfo.last_received_ms(self._sock)

    def look(self, now: float) -> None:
        """Ask the kernel since when what is read next can have come: known where it came in one piece."""
        latest, had = now - tcpinfo.last_received_ms(self._sock), self._segments
        self._segments = tcpinfo.counters(self._sock).data_segments_received
        self._came = latest if self._segments - had == 1 else self._turns.earliest(latest)
        if self._standing is not None:
            self._came, self._standing = min(self._came, self._standing), None

    def read(self, in_request: bool, whole: int) -> None:
        """What was looked at is read: it began inside a request or not, and made so many whole."""
        if not in_request:
            self._first_byte = self._came
        for _ in range(whole):
            self._whole.append(self._first_byte)
            self._first_byte = self._came

    def first(self, otherwise: float) -> float:
        """That of the first whole request; `otherwise` where it is not known."""
        return self._whole.popleft() if self._whole else otherwise
