"""Closes a connection after its last response without reading further requests.

The kernel resets a connection that is closed with unread input. The peer can then still read what its host
has acknowledged, but the rest is lost; so the close waits for the acknowledgement.
"""

from __future__ import annotations

import select

import gevent
from gevent import socket

from spoolbarrow.net import http1, tcpinfo

ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # poll events of a closed or reset connection
DISCARD_PAUSE_S = 0.001  # between reads of the rest of a refused message
POLL_S = 0.02  # between checks of a peer that has sent another request
MAX_POLLS = 15  # after everything is acknowledged; a peer that is still sending then gets a reset


def await_peer_close(sock: socket.socket, view: memoryview, rest: int | None, longest_s: float) -> None:
    """Wait until the connection may be closed; OSError if it was reset or closed here.

    Reads and discards only the `rest` of a refused message (None: of unknown length), because some peers
    write a whole message before they read the response.
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
    polls = 0
    while polls < MAX_POLLS and not http1.poll_now(sock, ENDED) & ENDED:
        gevent.sleep(POLL_S)
        polls += not tcpinfo.has_unacknowledged(sock)
