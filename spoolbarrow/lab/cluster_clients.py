"""Clients of a cluster's routers: one request, or a load of them whose answers are kept."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from typing import NamedTuple, Protocol

from spoolbarrow.lab.process import LISTEN
from spoolbarrow.net.http1 import HttpError, ResponseParser

TRUNCATED = 1  # in place of a status: the answer began, and ended without its last chunk
MOST_ASKED = 200_000  # requests of one load


class Serving(Protocol):
    """What a load asks of a cluster."""

    ports: list[int]  # of its routers


def send_request(port: int, text: bytes, seconds: float = 10.0) -> tuple[int, bytes]:
    """One request to a router's port, on a connection of its own: the answer's status, or BROKEN, and bytes.

    OSError or HttpError where none comes.
    """
    with socket.create_connection((LISTEN, port), seconds) as sock:
        sock.sendall(text)
        parser, raw = ResponseParser(16_384), b""
        try:
            while not parser.complete:
                data = sock.recv(65_536)
                if not data:
                    parser.end()
                    continue
                raw += data
                parser.feed(memoryview(data))
        except (ConnectionError, HttpError):
            if not parser.head_complete:
                raise
            return TRUNCATED, raw
    return parser.status, raw


class Answer(NamedTuple):
    """What a client got: `status` 0 where nothing came, BROKEN where the end did not."""

    ended_at: float  # monotonic s, of its end
    router: int
    status: int
    duration_ms: float  # since it was asked


class Load:
    """Clients of each router, one request at a time each, until stopped; what they were answered is kept.

    Each request is a session of its own, and the first ones are spread over a pause: what comes together at
    an engine is the routers' doing.
    """

    def __init__(self, made: Serving, clients: int = 1, pause_s: float = 0.0) -> None:
        self.answers: list[Answer] = []
        self.retry_after_missing = 0
        self._stop = threading.Event()
        self._pause_s, self._clients, self._routers = pause_s, clients, len(made.ports)
        self._threads = [
            threading.Thread(target=self._ask, args=(made.ports[n], n, client))
            for n in range(len(made.ports))
            for client in range(clients)
        ]
        for thread in self._threads:
            thread.start()

    def _ask(self, port: int, router: int, client: int) -> None:
        body = b'{"model":"chat","stream":true}'
        place = (router + client / self._clients) / self._routers
        for sent in range(MOST_ASKED):
            if self._stop.wait(self._pause_s if sent else self._pause_s * place):
                return
            head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\n"
                f"X-Correlation-Id: r{router}-{client}-{sent}\r\n"
                f"X-Service-Class: chat\r\nX-Account: acme\r\n"
                f"X-Session-Key: {router:04x}{client:04x}{sent:x}\r\n"
                f"X-Time-Left-Ms: 5000\r\nX-Facts: prompt_len=40,max_out=8\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            ).encode()
            begun = time.monotonic()
            try:
                status, raw = send_request(port, head + body)
            except (OSError, HttpError):
                status, raw = 0, b""
            now = time.monotonic()
            self.answers.append(Answer(now, router, status, (now - begun) * 1000))
            if status == 503 and b"\r\nretry-after:" not in raw.lower():
                self.retry_after_missing += 1

    def statuses(self) -> Counter[int]:
        """How many answers there were of each status; 0: none came."""
        return Counter(one.status for one in list(self.answers))

    def stop(self) -> None:
        """After the requests under way."""
        self._stop.set()
        for thread in self._threads:
            thread.join(30)
