"""The end of a connection whose last answer is written: what its peer may ask meanwhile is not read.

Closed over bytes that were not read, the kernel resets the connection. What the peer's machine has
acknowledged stays its peer's to read; what it has not is lost. So the close waits for that.
"""

from __future__ import annotations

import select

import gevent
from gevent import socket

from spoolbarrow.net import http1, tcpinfo

ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # what poll tells of a peer's end
DISCARD_PAUSE_S = 0.001  # between reads of what a peer still sends of a message that was refused
LOOK_S = 0.02  # between looks at a peer that has asked more
LOOKS = 15  # of those, after it has acknowledged all: it may still be sending, and then fails to


def await_peer_close(sock: socket.socket, view: memoryview, rest: int | None, longest_s: float) -> None:
    """Wait until the connection may be closed; OSError where it is reset or was closed here.

    Of what comes, only the `rest` of a refused message is read and thrown away (None: nothing tells its end):
    a peer that writes all of it before it reads would else never come to its answer.
    """
    with gevent.Timeout(longest_s, False):  # type: ignore[arg-type]
        _discard(sock, view, rest)
        if sock.recv_into(view, 1, socket.MSG_PEEK):
            _leave_unread(sock)


def _discard(sock: socket.socket, view: memoryview, rest: int | None) -> None:
    while rest is None or rest > 0:
        size = sock.recv_into(view, len(view) if rest is None else min(rest, len(view)))
        if not size:
            return
        if rest is not None:
            rest -= size
        gevent.sleep(DISCARD_PAUSE_S)


def _leave_unread(sock: socket.socket) -> None:
    looks = 0
    while looks < LOOKS and not http1.poll_now(sock, ENDED) & ENDED:
        gevent.sleep(LOOK_S)
        looks += not tcpinfo.has_unacknowledged(sock)
