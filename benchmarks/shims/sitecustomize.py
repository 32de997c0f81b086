"""System calls of a router's process that fail, or do less than they were asked, as Linux documents.

Loaded by the interpreter where this folder is on PYTHONPATH; it changes `python -m spoolbarrow` alone. Drawn
by the name of the process's configuration: errors of accept that cost no connection, errors of connect, short
reads and writes, and a wall clock that was set before the process began.
"""

from __future__ import annotations

import errno
import os
import random
import sys
import time
from collections.abc import Sequence
from typing import Any

ACCEPT = ("ENFILE", "ENOBUFS", "EINTR", "EPROTO", "ENETDOWN")
CONNECT = ("EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT")
FAILS, SHORT = 0.1, 0.4  # share of calls
MOST_READ = 60  # bytes of a short read
STEPS_S = (0, 5, -5, 3600, -3600)


def _fail(rng: random.Random, names: Sequence[str]) -> None:
    if rng.random() < FAILS:
        number = getattr(errno, rng.choice(names))
        raise OSError(number, os.strerror(number))


def _install(rng: random.Random) -> None:
    from gevent import socket

    kind: Any = socket.socket
    accept, connect, recv_into, sendmsg = kind.accept, kind.connect, kind.recv_into, kind.sendmsg

    def failing_accept(self: Any) -> Any:
        _fail(rng, ACCEPT)
        return accept(self)

    def failing_connect(self: Any, address: Any) -> Any:
        if self.family == socket.AF_INET:
            _fail(rng, CONNECT)
        return connect(self, address)

    def short_recv_into(self: Any, buffer: Any, nbytes: int = 0, flags: int = 0) -> Any:
        if not flags and rng.random() < SHORT:
            buffer, nbytes = memoryview(buffer)[: rng.randint(1, MOST_READ)], 0
        return recv_into(self, buffer, nbytes, flags)

    def short_sendmsg(self: Any, buffers: Sequence[bytes], *rest: Any) -> Any:
        if rng.random() < SHORT:
            data = b"".join(map(bytes, buffers))
            buffers = [data[: rng.randint(1, max(1, len(data)))]]
        return sendmsg(self, buffers, *rest)

    kind.accept, kind.connect = failing_accept, failing_connect
    kind.recv_into, kind.sendmsg = short_recv_into, short_sendmsg


def _step(seconds: int) -> None:
    now, now_ns = time.time, time.time_ns
    time.time = lambda: now() + seconds
    time.time_ns = lambda: now_ns() + seconds * 10**9


if sys.orig_argv[-2:] == ["-m", "spoolbarrow"]:
    _drawn = random.Random(os.path.basename(os.environ.get("NODE_CONFIG", "")))
    _install(_drawn)
    _step(_drawn.choice(STEPS_S))
