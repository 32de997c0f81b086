"""Refuses connections above the limit: each gets a 503 at once and a clean close.

Owns accepted connections that are not served. They use reserved descriptors
(`config.RESERVED_DESCRIPTORS`), so that refusing takes no descriptor from other connections.
"""

from __future__ import annotations

from collections import deque

import orjson
from gevent import socket

from spoolbarrow.net import http1
from spoolbarrow.net.log import log

MAX_LINGERING = 8  # refused connections kept open at once, since their clients may still be sending
LINGER_MS = 500.0  # for which a refused connection stays open, unless others have to be refused
LOG_INTERVAL_MS = 5000.0  # between log lines about refusals
REFUSAL_RESPONSE = b"".join(
    http1.response_pieces(
        503, orjson.dumps({"error": {"message": "no room for more connections", "code": 503}}), True,
        b"Retry-After: 1",
    )
)  # fmt: skip


class Overflow:
    """Refused connections until they are closed."""

    def __init__(self) -> None:
        self._lingering: deque[tuple[socket.socket, float]] = deque()  # with the time of refusal, ms
        self._refused, self._logged_at = 0, -LOG_INTERVAL_MS  # count since the last log line, and its time

    def refuse(self, sock: socket.socket, now: float) -> None:
        """Answer 503 and shut down writing, without reading a request; never blocks."""
        self._refused += 1
        sock.settimeout(0.0)
        try:
            sock.send(REFUSAL_RESPONSE)  # sent completely, as the send buffer is empty
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the client has disconnected
            return sock.close()
        self._lingering.append((sock, now))
        while len(self._lingering) > MAX_LINGERING:
            self._close_oldest()

    def sweep(self, now: float) -> None:
        """Close connections whose linger time is over, and log the number of refusals."""
        while self._lingering and now - self._lingering[0][1] > LINGER_MS:
            self._close_oldest()
        if self._refused and now - self._logged_at >= LOG_INTERVAL_MS:
            log("no_room_for_clients", refused=self._refused)
            self._refused, self._logged_at = 0, now

    def close(self) -> None:
        """Close all of them."""
        while self._lingering:
            self._close_oldest()

    def _close_oldest(self) -> None:
        sock, _ = self._lingering.popleft()
        sock.close()
