"""Writes requests to endpoints: completely and in time, or cut off so that they can't run.

The head states the time left as of the first byte. What a slow endpoint does not read stays in this process
or in the kernel's send buffer, which the kernel would still send after a normal close.
"""

from __future__ import annotations

import select
import struct
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent.socket import SO_LINGER, SOL_SOCKET, socket, wait_write

from spoolbarrow.net import http1, tcpinfo

WRITABLE_POLL_S = 0.05  # between checks while the send buffer is full
# Between checks while it holds unsent data, mostly for one round trip: twice as long each time.
UNSENT_POLL_S, MAX_UNSENT_POLL_S = 0.002, 0.02
RESET_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: the close discards unsent data


class _StillFull(Exception):
    """The send buffer is still full."""


def send_while(sock: socket, pieces: http1.Pieces, may_go_on: Callable[[], bool]) -> bool:
    """Hand all pieces to the kernel; asks `may_go_on` after each wait; whether all was written."""
    rest = http1.send_available(sock, pieces)
    while rest:
        with suppress(_StillFull):
            wait_write(sock.fileno(), WRITABLE_POLL_S, _StillFull())
        if not may_go_on():
            return False
        rest = http1.send_available(sock, rest)
    return True


def await_sent(sock: socket, may_go_on: Callable[[], bool]) -> bool:
    """Wait until the kernel has sent all data or a response has arrived; false if stopped before."""
    poll_s = UNSENT_POLL_S
    while tcpinfo.has_unsent(sock) and not http1.poll_now(sock, select.POLLIN):
        gevent.sleep(poll_s)
        poll_s = min(2 * poll_s, MAX_UNSENT_POLL_S)
        # Checked again: nothing may be sent between the caller's decision and the close.
        if not may_go_on() and tcpinfo.has_unsent(sock):
            return False
    return True


def close_and_discard(sock: socket) -> None:
    """Close a connection and discard its unsent data."""
    try:
        if tcpinfo.has_unacknowledged(sock):
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET_LINGER)
    except OSError:
        pass  # closed already
    sock.close()
