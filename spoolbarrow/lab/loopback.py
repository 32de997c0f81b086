"""Loopback addresses of the stand-ins: each router calls at an address of its own, which tells who calls.

A stand-in listens on one port at all loopback addresses. Router `n` is told `router_address(n)` as its host, so the
address that a connection came to names the router: hundreds of routers need no listener, and no gate of the
proxy, for each pair. Ports lie below those that the kernel hands out by itself, so that a port which a router
was promised (`process.free_ports`) is never taken by one of these listeners.
"""

from __future__ import annotations

import resource
from contextlib import suppress
from pathlib import Path
from random import SystemRandom
from typing import Any

from gevent import socket

FIRST = 200  # second byte of router 0's address
LOWEST_PORT, USUAL_PORT = 10_240, 32_768  # the first of these ports, and the kernel's own where it tells none
ENOUGH = 4096  # of these ports
TRIES = 200
BACKLOG = 1024
_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def router_address(router: int) -> str:
    """Where this router reaches stand-ins."""
    return f"127.{FIRST + (router >> 16)}.{router >> 8 & 255}.{router & 255}"


def router_at(text: str) -> str:
    """The router (`r0` ...) that calls at this address; empty where it is no router's."""
    _, second, third, fourth = map(int, text.split("."))
    return f"r{(second - FIRST << 16) + (third << 8) + fourth}" if second >= FIRST else ""


def listen(port: int = 0) -> Any:
    """A listener at all addresses of loopback, and of nothing else; OSError where none is free."""
    below = int(_RANGE.read_text().split()[0]) if _RANGE.exists() else USUAL_PORT
    below = below if below >= LOWEST_PORT + ENOUGH else USUAL_PORT  # a kernel that hands out nearly all ports
    draw = SystemRandom()
    for turn in range(TRIES):
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
            sock.bind(("0.0.0.0", port or draw.randrange(LOWEST_PORT, below)))
            sock.listen(BACKLOG)
            return sock
        except OSError:
            sock.close()
            if port or turn == TRIES - 1:
                raise
    raise OSError("no port is free")


def raise_descriptor_limit() -> None:
    """Take all the descriptors that the machine allows: hundreds of routers hold connections."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
