"""Provides stub engines that stream at a fixed pace, stub discovery, and a client that times responses.

python benchmarks/stub_servers.py FIRST_MS EVENTS GAP_MS ENGINES      prints discovery's port, then serves
"""

from __future__ import annotations

import sys
import time
from typing import Any, NamedTuple

import gevent
import orjson
from gevent import socket

from spoolbarrow.lab.standin import serve_connection
from spoolbarrow.net import tcpinfo
from spoolbarrow.net.http1 import ResponseParser

HOST = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n' % (b"word " * 4)


def chunk(part: bytes) -> bytes:
    """One chunk of a chunked response."""
    return b"%x\r\n%s\r\n" % (len(part), part)


def listen() -> Any:
    """Listen on a free port."""
    sock = socket.socket()
    sock.bind((HOST, 0))
    sock.listen(1024)
    return sock


def serve(listener: Any, answer: Any) -> None:
    """Accept connections forever."""
    while True:
        gevent.spawn(serve_connection, listener.accept()[0], answer)


def engines(first_ms: float, events: int, gap_ms: float, number: int) -> None:
    """Serve engines and discovery until killed."""

    def stream(sock: Any, message: Any) -> None:
        if message.method == b"GET":
            body = b"x1=0,util=0.1,x0=0.1"
            sock.sendall(PLAIN_RESPONSE % (len(body), body))
            return
        gevent.sleep(first_ms / 1000)
        sock.sendall(HEAD + chunk(EVENT))
        for _ in range(events - 1):
            gevent.sleep(gap_ms / 1000)
            sock.sendall(chunk(EVENT))
        sock.sendall(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")

    listeners = [listen() for _ in range(number)]
    for listener in listeners:
        gevent.spawn(serve, listener, stream)
    names = [f"{HOST}:{listener.getsockname()[1]}" for listener in listeners]
    endpoints = [{"name": f"e{n}", "address": name, "zone": "a", "type": "m"} for n, name in enumerate(names)]
    snapshot = orjson.dumps({"index": 1, "snapshot": True, "endpoints": endpoints})

    def discover(sock: Any, message: Any) -> None:
        if b"stream=1" not in message.target:
            sock.sendall(PLAIN_RESPONSE % (len(snapshot), snapshot))
            return
        sock.sendall(HEAD + chunk(snapshot + b"\n"))
        while True:
            gevent.sleep(2.0)
            sock.sendall(chunk(b"\n"))

    discovery = listen()
    print(discovery.getsockname()[1], flush=True)
    serve(discovery, discover)


def config(listen_port: int, discovery_port: int) -> dict[str, Any]:
    """A router's configuration for these engines."""
    chat = {"Name": "chat", "AimMs": 4e3, "DeadlineMs": 15e3, "Effect": "retryable", "Stream": True}
    settings = {
        "Balancers": 1,
        "Classes": [chat],
        "Tenants": [{"Name": "acme"}],
        "Zones": ["a"],
        "Skus": ["m"],
        "TickMs": 1.0,
        "Discovery": "subscribe",
        "Limits": {"MaxAttempts": 3, "RetryAfter": True, "Cancelling": True, "MaxRetryAfterMs": 2000.0},
    }
    return {
        "name": "bench",
        "listen": f"{HOST}:{listen_port}",
        "discovery": f"{HOST}:{discovery_port}",
        "seed": "8c1f",
        "settings": settings,
    }


class Timed(NamedTuple):
    """One response; times in ms from when its request was written."""

    status: int
    first_ms: float
    whole_ms: float
    closing: bool = False  # the router closes the connection after it


class Client:
    """A keep-alive connection of a client."""

    def __init__(self, port: int) -> None:
        self._sock = socket.socket()
        self._sock.connect((HOST, port))
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port: int = self._sock.getsockname()[1]
        self._buffer = bytearray(65_536)

    def ask(self, name: str, session: int = 0x7F3A) -> Timed:
        """Send one request; OSError or HttpError without a valid response."""
        body = b'{"model":"chat","stream":true}'
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {name}\r\n"
            f"X-Service-Class: chat\r\nX-Account: acme\r\nX-Session-Key: {session:x}\r\n"
            "X-Time-Left-Ms: 15000\r\n"
            f"X-Facts: prompt_len=40,max_out=40\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        parser, first = ResponseParser(16_384), 0.0
        started_at = time.perf_counter()
        self._sock.sendall(head.encode() + body)
        while not parser.complete:
            parser.read(self._sock, self._buffer)
            if not first and parser.take_body():
                first = time.perf_counter()
        end = time.perf_counter()
        closing = parser.fields.get(b"connection", b"").lower() == b"close"
        return Timed(parser.status, ((first or end) - started_at) * 1000, (end - started_at) * 1000, closing)

    def close(self) -> tcpinfo.Counters:
        """Close the connection and return the kernel's counters of it."""
        counters = tcpinfo.counters(self._sock)
        self._sock.close()
        return counters


if __name__ == "__main__":
    engines(float(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4]))
