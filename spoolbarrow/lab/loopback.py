"""Loopback addresses of the stand-ins: each router connects to an address of its own, which identifies it.

A stand-in listens on one port at all loopback addresses. Router `n` is given `router_address(n)` as the host,
so that a connection's local address identifies the router: hundreds of routers need no listener, and no proxy
listener, per pair. Ports lie below the kernel's ephemeral range, so that a port reserved for a router
(`process.free_ports`) is never taken by one of these listeners.
"""

from __future__ import annotations

import resource
from contextlib import suppress
from pathlib import Path
from random import SystemRandom
from typing import Any

from gevent import socket

BASE_SECOND_BYTE = 200  # second byte of router 0's address
# first of these ports; start of the ephemeral range if the kernel does not report it
LOWEST_PORT, DEFAULT_EPHEMERAL_START = 10_240, 32_768
MIN_PORTS = 4096  # minimum number of these ports
MAX_ATTEMPTS = 200
BACKLOG = 1024
_EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def router_address(router: int) -> str:
    """The address at which this router reaches stand-ins."""
    return f"127.{BASE_SECOND_BYTE + (router >> 16)}.{router >> 8 & 255}.{router & 255}"


def router_at(text: str) -> str:
    """The router (`r0` ...) that uses this address; empty if none does."""
    _, second, third, fourth = map(int, text.split("."))
    return (
        f"r{(second - BASE_SECOND_BYTE << 16) + (third << 8) + fourth}" if second >= BASE_SECOND_BYTE else ""
    )


def listen(port: int = 0) -> Any:
    """A listener at all loopback addresses and no others; OSError if no port is free."""
    end = (
        int(_EPHEMERAL_RANGE.read_text().split()[0]) if _EPHEMERAL_RANGE.exists() else DEFAULT_EPHEMERAL_START
    )
    # the ephemeral range covers nearly all ports
    end = end if end >= LOWEST_PORT + MIN_PORTS else DEFAULT_EPHEMERAL_START
    random = SystemRandom()
    for attempt in range(MAX_ATTEMPTS):
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
            sock.bind(("0.0.0.0", port or random.randrange(LOWEST_PORT, end)))
            sock.listen(BACKLOG)
            return sock
        except OSError:
            sock.close()
            if port or attempt == MAX_ATTEMPTS - 1:
                raise
    raise OSError("no port is free")


def raise_descriptor_limit() -> None:
    """Raise the descriptor limit to the maximum, for the connections of hundreds of routers."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
