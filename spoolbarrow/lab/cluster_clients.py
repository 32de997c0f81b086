"""Clients of a cluster's routers: single requests, or continuous load whose responses are recorded."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from itertools import count
from typing import NamedTuple, Protocol

from spoolbarrow.lab.process import LISTEN
from spoolbarrow.net.http1 import HttpError, ResponseParser

TRUNCATED = 1  # instead of a status: the response began but ended without its last chunk
MAX_REQUESTS = 200_000  # by each client of a load
_numbers = count()  # of loads


class HasPorts(Protocol):
    """The part of a cluster that a load uses."""

    ports: list[int]  # of the routers


def send_request(port: int, text: bytes, seconds: float = 10.0) -> tuple[int, bytes]:
    """Send one request to a router on a new connection; the response's status, or TRUNCATED, and its bytes.

    OSError or HttpError if there is no response.
    """
    with socket.create_connection((LISTEN, port), seconds) as sock:
        sock.sendall(text)
        parser, received = ResponseParser(16_384), b""
        try:
            while not parser.complete:
                data = sock.recv(65_536)
                if not data:
                    parser.end()
                    continue
                received += data
                parser.feed(memoryview(data))
        except (ConnectionError, HttpError):
            if not parser.head_complete:
                raise
            return TRUNCATED, received
    return parser.status, received


class Answer(NamedTuple):
    """Result of a request: `status` is 0 without a response and TRUNCATED if its end is missing."""

    ended_at: float  # monotonic s
    router: int
    status: int
    duration_ms: float  # from the request's start


class Load:
    """Runs clients of each router until stopped, one request at a time each, and records the responses.

    Each request is a session of its own, and the first ones are spread over a pause, so that bursts at an
    engine are caused by the routers and not by the clients.
    """

    def __init__(self, made: HasPorts, clients: int = 1, pause_s: float = 0.0) -> None:
        self._number = next(_numbers)  # ids are never used again
        self.answers: list[Answer] = []
        self.retry_after_missing = 0
        self._stop = threading.Event()
        self._pause_s, self._clients, self._routers = pause_s, clients, len(made.ports)
        self._threads = [
            threading.Thread(target=self._send_requests, args=(made.ports[n], n, client))
            for n in range(len(made.ports))
            for client in range(clients)
        ]
        for thread in self._threads:
            thread.start()

    def _send_requests(self, port: int, router: int, client: int) -> None:
        body = b'{"model":"chat","stream":true}'
        phase = (router + client / self._clients) / self._routers
        for sent in range(MAX_REQUESTS):
            if self._stop.wait(self._pause_s if sent else self._pause_s * phase):
                return
            head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\n"
                f"X-Correlation-Id: r{router}-{client}-{sent}-{self._number}\r\n"
                f"X-Service-Class: chat\r\nX-Account: acme\r\n"
                f"X-Session-Key: {router:04x}{client:04x}{sent:x}\r\n"
                f"X-Time-Left-Ms: 5000\r\nX-Facts: prompt_len=40,max_out=8\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            ).encode()
            started = time.monotonic()
            try:
                status, raw = send_request(port, head + body)
            except (OSError, HttpError):
                status, raw = 0, b""
            now = time.monotonic()
            self.answers.append(Answer(now, router, status, (now - started) * 1000))
            if status == 503 and b"\r\nretry-after:" not in raw.lower():
                self.retry_after_missing += 1

    def statuses(self) -> Counter[int]:
        """Number of responses by status; 0 means no response."""
        return Counter(answer.status for answer in list(self.answers))

    def stop(self) -> None:
        """Stop the clients once their requests in flight have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join(30)
