"""Clients for which there is no room: each is told so at once, and its connection ends cleanly.

Owns connections that were accepted and become no client's. They come out of the descriptors set aside for
them (`config.RESERVED_DESCRIPTORS`), so that to be told costs nobody else's place.
"""

from __future__ import annotations

from collections import deque

import orjson
from gevent import socket

from spoolbarrow.net import http1
from spoolbarrow.net.log import log

LEAVING = 8  # connections at once whose clients have been told and may still be sending
LINGER_MS = 500.0  # a client that was told so may still be sending so long, where nobody else must be told
LOG_MS = 5000.0  # between lines of the log about it
REFUSAL = b"".join(
    http1.response_pieces(
        503, orjson.dumps({"error": {"message": "no room for more connections", "code": 503}}), True,
        b"Retry-After: 1",
    )
)  # fmt: skip


class Overflow:
    """Connections that are told to go."""

    def __init__(self) -> None:
        self._leaving: deque[tuple[socket.socket, float]] = deque()  # and since when, ms
        self._refused, self._logged_at = 0, -LOG_MS  # since the last line, and when that was written

    def refuse(self, sock: socket.socket, now: float) -> None:
        """Answer 503 and say this side's end, whatever it asks: nothing is read, and nothing waits for it."""
        self._refused += 1
        sock.settimeout(0.0)
        try:
            sock.send(REFUSAL)  # whole: nothing was written on it before
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # its client has gone
            return sock.close()
        self._leaving.append((sock, now))
        while len(self._leaving) > LEAVING:
            self._end()

    def sweep(self, now: float) -> None:
        """End what had its time, and tell the log how many were refused."""
        while self._leaving and now - self._leaving[0][1] > LINGER_MS:
            self._end()
        if self._refused and now - self._logged_at >= LOG_MS:
            log("no_room_for_clients", refused=self._refused)
            self._refused, self._logged_at = 0, now

    def close(self) -> None:
        """End all of them."""
        while self._leaving:
            self._end()

    def _end(self) -> None:
        sock, _ = self._leaving.popleft()
        sock.close()
