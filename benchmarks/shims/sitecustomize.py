"""Makes system calls of a router's process fail or complete partially, as Linux documents that they may.

The interpreter loads it where this folder is on PYTHONPATH; it changes only `python -m spoolbarrow`. The name
of the configuration file seeds what happens: accept errors that lose no connection, connect errors, short
reads and writes, and a wall clock that was set before the process started.
"""

from __future__ import annotations

import errno
import os
import random
import sys
import time
from collections.abc import Sequence
from typing import Any

ACCEPT_ERRORS = ("ENFILE", "ENOBUFS", "EINTR", "EPROTO", "ENETDOWN")
CONNECT_ERRORS = ("EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT")
FAILURE_SHARE, SHORT_SHARE = 0.1, 0.4  # share of calls
MAX_SHORT_READ_BYTES = 60  # bytes of a short read
CLOCK_STEPS_S = (0, 5, -5, 3600, -3600)


def _maybe_fail(rng: random.Random, names: Sequence[str]) -> None:
    if rng.random() < FAILURE_SHARE:
        number = getattr(errno, rng.choice(names))
        raise OSError(number, os.strerror(number))


def _install(rng: random.Random) -> None:
    from gevent import socket

    socket_class: Any = socket.socket
    accept, connect, recv_into, sendmsg = (
        socket_class.accept,
        socket_class.connect,
        socket_class.recv_into,
        socket_class.sendmsg,
    )

    def failing_accept(self: Any) -> Any:
        _maybe_fail(rng, ACCEPT_ERRORS)
        return accept(self)

    def failing_connect(self: Any, address: Any) -> Any:
        if self.family == socket.AF_INET:
            _maybe_fail(rng, CONNECT_ERRORS)
        return connect(self, address)

    def short_recv_into(self: Any, buffer: Any, nbytes: int = 0, flags: int = 0) -> Any:
        if not flags and rng.random() < SHORT_SHARE:
            buffer, nbytes = memoryview(buffer)[: rng.randint(1, MAX_SHORT_READ_BYTES)], 0
        return recv_into(self, buffer, nbytes, flags)

    def short_sendmsg(self: Any, buffers: Sequence[bytes], *rest: Any) -> Any:
        if rng.random() < SHORT_SHARE:
            data = b"".join(map(bytes, buffers))
            buffers = [data[: rng.randint(1, max(1, len(data)))]]
        return sendmsg(self, buffers, *rest)

    socket_class.accept, socket_class.connect = failing_accept, failing_connect
    socket_class.recv_into, socket_class.sendmsg = short_recv_into, short_sendmsg


def _step_clock(seconds: int) -> None:
    now, now_ns = time.time, time.time_ns
    time.time = lambda: now() + seconds
    time.time_ns = lambda: now_ns() + seconds * 10**9


if sys.orig_argv[-2:] == ["-m", "spoolbarrow"]:
    _rng = random.Random(os.path.basename(os.environ.get("NODE_CONFIG", "")))
    _install(_rng)
    _step_clock(_rng.choice(CLOCK_STEPS_S))
