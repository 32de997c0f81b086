"""A request written to its endpoint: whole in good time, or broken off so that it can't run.

The head tells the time that is left as it was when the first byte was written. An endpoint that does not take
in the rest leaves it here, or in this machine's kernel, which would send it on even over a closed connection.
"""

from __future__ import annotations

import select
import struct
from collections.abc import Callable, Sequence
from contextlib import suppress

import gevent
from gevent.socket import MSG_DONTWAIT, SO_LINGER, SOL_SOCKET, socket, wait_write

from spoolbarrow.net import http1, tcpinfo

WAIT_LOOK_S = 0.05  # between looks while the kernel takes no more
UNSENT_LOOK_S = 0.002  # between looks while it holds what it has not sent: mostly for one round trip
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: what was not sent is thrown away at the close


class _NotYet(Exception):
    """The kernel still takes no more."""


def send_while(sock: socket, pieces: Sequence[bytes], may_go_on: Callable[[], bool]) -> bool:
    """Hand all pieces to the kernel; asks after each wait, and at times within; whether all was taken."""
    rest: list[bytes | memoryview] = [piece for piece in pieces if piece]
    while rest:
        try:
            sent = sock.sendmsg(rest[: http1.IOV_MAX], [], MSG_DONTWAIT)
        except BlockingIOError:
            with suppress(_NotYet):
                wait_write(sock.fileno(), WAIT_LOOK_S, _NotYet())
            if not may_go_on():
                return False
        else:
            http1.drop_sent(rest, sent)
    return True


def await_sent(sock: socket, may_go_on: Callable[[], bool]) -> bool:
    """Wait until the kernel has sent all that it was handed, or an answer has come; whether either came."""
    while tcpinfo.has_unsent(sock) and not http1.poll_now(sock, select.POLLIN):
        gevent.sleep(UNSENT_LOOK_S)
        # Looked at again: from the caller's word to the close nothing must leave.
        if not may_go_on() and tcpinfo.has_unsent(sock):
            return False
    return True


def close_and_discard(sock: socket) -> None:
    """Close a connection and have nothing more leave that was written to it."""
    try:
        if tcpinfo.has_unacknowledged(sock):
            sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET)
    except OSError:
        pass  # closed already
    sock.close()
