"""Connections taken from a listener, whatever befalls one of them or this process for a moment.

accept(2) tells errors of three kinds: of the one connection that was to be taken, after which the next may be
taken at once; of this process or its machine, which has no descriptor or memory just now; and that nobody
listens any more. No accept loop ends by the first two.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

import gevent
from gevent import socket

# What the network did to one connection, as accept(2) lists it; EINTR and EPERM (a packet filter) go with it.
OF_ONE_CONNECTION = frozenset(
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
NOT_LISTENING = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP})
NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
NEXT_S = 0.001  # before the next one, so that errors in a row leave time for what is served
PAUSE_S = 0.1  # before another try where this process has no room


def next_connection(listener: socket.socket, paused: Callable[[OSError], None]) -> socket.socket:
    """The next connection, once one can be taken; `paused` hears why none can, each time.

    BlockingIOError where the listener does not wait and none has come, OSError where nobody listens.
    """
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            raise
        except OSError as error:
            if error.errno in NOT_LISTENING:
                raise
            if error.errno in OF_ONE_CONNECTION:
                gevent.sleep(NEXT_S)
            else:
                paused(error)
                gevent.sleep(PAUSE_S)
        else:
            return sock
