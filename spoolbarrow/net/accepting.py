"""Accepts connections from a listener and survives passing errors.

accept(2) reports three kinds of errors: of the one connection, after which the next can be accepted at once;
of the process or machine, which lacks descriptors or memory at present; and of a socket that no longer
listens. Only the last kind ends an accept loop.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

import gevent
from gevent import socket

# Network errors of one connection, as listed in accept(2), with EINTR and EPERM (packet filter).
CONNECTION_ERRNOS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
NOT_LISTENING_ERRNOS = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP})
RESOURCE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
NEXT_ACCEPT_S = 0.001  # after an error, so that a series of errors does not block serving
RESOURCE_PAUSE_S = 0.1  # before a retry if descriptors or memory are lacking


def next_connection(listener: socket.socket, paused: Callable[[OSError], None]) -> socket.socket:
    """Accept the next connection; calls `paused` with each resource error before the retry.

    BlockingIOError if the listener is non-blocking and none is pending, OSError if it does not listen.
    """
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            raise
        except OSError as error:
            if error.errno in NOT_LISTENING_ERRNOS:
                raise
            if error.errno in CONNECTION_ERRNOS:
                gevent.sleep(NEXT_ACCEPT_S)
            else:
                paused(error)
                gevent.sleep(RESOURCE_PAUSE_S)
        else:
            return sock
