"""A stand-in engine and a list service in the test's process, for clients that misbehave.

A request says in `X-Lab` how it is answered: `first` and `gap` in ms, `events`, `size` in bytes of each.
Each event tells when it was written. The engine keeps a record of every attempt by the kernel's times.
"""

from __future__ import annotations

import json
import time
from contextlib import suppress
from typing import Any

import gevent
import msgspec
from gevent import socket
from msgspec import Struct

from spoolbarrow.net import tcpinfo
from spoolbarrow.net.http1 import HttpError, Message, RequestParser
from tests.router_harness import STREAM_HEAD, UNPROCESSED_503, chunk

MAX_HEAD_BYTES, MAX_BODY_BYTES = 65_536, 262_144
EVENT = b'data: {"at":%.6f,"id":"%b","choices":[{"delta":{"content":"%b"}}]}\n\n'
DONE_EVENT = b"data: [DONE]\n\n"
HEARTBEAT_S = 1.0  # of the list service's watches


class AnswerPlan(Struct):
    """How an engine answers a request."""

    first: float = 20.0  # ms until the first event
    events: int = 3
    gap: float = 20.0  # ms between events
    size: int = 20  # bytes of each event's content
    drip: float = 0.0  # ms within each chunk but the first


class AttemptRecord(Struct):
    """A request as an engine received it; times are monotonic s."""

    engine: str
    id: str
    began_at: float
    complete_at: float
    ended_at: float = 0.0  # 0: still open
    whole: bool = False


def plan_of(message: Message) -> AnswerPlan:
    """The answer that a request asks for."""
    text = message.fields.get(b"x-lab", b"").decode()
    pairs = dict(pair.split("=") for pair in text.split(",") if pair)
    return msgspec.convert(pairs, AnswerPlan, strict=False)


class FaultEngine:
    """An engine that records its attempts; `read_bytes_per_s` makes it read requests slowly.

    Until `full_until`, monotonic s, it turns requests away unprocessed, `full_after_s` after they came.
    """

    def __init__(self, name: str, port: int = 0, receive_bytes: int = 0) -> None:
        self.name, self.read_bytes_per_s = name, 0.0
        self.full_until = self.full_after_s = 0.0
        self.attempts: list[AttemptRecord] = []
        self.sockets: set[socket.socket] = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(512)
        self.port: int = self.listener.getsockname()[1]
        self._accepting = gevent.spawn(self._accept)
        self._greenlets: set[Any] = set()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            greenlet = gevent.spawn(self._serve, sock)
            self._greenlets.add(greenlet)
            greenlet.link(self._greenlets.discard)

    def _serve(self, sock: socket.socket) -> None:
        self.sockets.add(sock)
        parser, began_at = RequestParser(MAX_HEAD_BYTES, MAX_BODY_BYTES), 0.0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while data := sock.recv(4096 if self.read_bytes_per_s else 65_536):
                received_at = time.monotonic() - tcpinfo.last_received_ms(sock) / 1000
                if not parser.reading:
                    began_at = received_at
                parser.feed(memoryview(data))
                if parser.error is not None:
                    return
                while parser.complete:
                    self._handle(sock, parser.complete.popleft(), began_at, received_at)
                if self.read_bytes_per_s:
                    gevent.sleep(len(data) / self.read_bytes_per_s)
        except (OSError, HttpError):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _handle(self, sock: socket.socket, message: Message, began_at: float, complete_at: float) -> None:
        if message.method == b"GET":
            return sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        id = message.fields.get(b"x-correlation-id", b"")
        record = AttemptRecord(self.name, id.decode("latin-1"), began_at, complete_at)
        self.attempts.append(record)
        try:
            if began_at < self.full_until:
                self._wait(sock, self.full_after_s)
                return sock.sendall(UNPROCESSED_503)
            self._stream(sock, id, plan_of(message))
            record.whole = True
        finally:
            record.ended_at = time.monotonic()

    def _stream(self, sock: socket.socket, id: bytes, plan: AnswerPlan) -> None:
        self._wait(sock, plan.first / 1000)
        sock.sendall(STREAM_HEAD)
        for number in range(plan.events):
            if number:
                self._wait(sock, plan.gap / 1000)
            drip_s = plan.drip / 1000 if number else 0.0
            data = chunk(EVENT % (time.monotonic() + drip_s, id, b"x" * plan.size))
            sock.sendall(data[: len(data) // 2])
            self._wait(sock, drip_s)
            sock.sendall(data[len(data) // 2 :])
        sock.sendall(chunk(DONE_EVENT) + b"0\r\n\r\n")

    def _wait(self, sock: socket.socket, seconds: float) -> None:
        """Wait; OSError as soon as the router closes the connection."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            sock.settimeout(left)
            try:
                if not sock.recv(1, socket.MSG_PEEK):
                    raise ConnectionResetError("closed by the router")
                gevent.sleep(min(left, 0.01))
            except TimeoutError:
                break
            finally:
                sock.settimeout(None)

    def die(self) -> None:
        """End as a killed process does: its connections are reset, new ones refused."""
        self._accepting.kill()
        self.listener.close()
        for sock in list(self.sockets):
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        gevent.killall(list(self._greenlets))

    close = die


class ListService:
    """A list service whose watches bring each change; `lines` is the whole list."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []
        self.index = 10
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.port: int = self.listener.getsockname()[1]
        self._watches: set[socket.socket] = set()
        self._greenlets: list[Any] = [gevent.spawn(self._accept)]

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self._greenlets.append(gevent.spawn(self._serve, sock))

    def _text(self, snapshot: bool, lines: list[dict[str, Any]]) -> bytes:
        return json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": lines}).encode() + b"\n"

    def _serve(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            watch = b"stream=1" in sock.recv(4096)
            sock.sendall(STREAM_HEAD + chunk(self._text(True, self.lines)) + b"0\r\n\r\n" * (not watch))
            self._watches.add(sock)
            try:
                while watch:
                    gevent.sleep(HEARTBEAT_S)
                    sock.sendall(chunk(b"\n"))
            finally:
                self._watches.discard(sock)

    def change(self, *lines: dict[str, Any]) -> None:
        """Add or replace lines by name, and tell all watches."""
        self.index += 1
        named = {line["name"]: line for line in (*self.lines, *lines)}
        self.lines = [line for line in named.values() if line.get("status") != "terminated"]
        for sock in list(self._watches):
            with suppress(OSError):
                sock.sendall(chunk(self._text(False, list(lines))))

    def close(self) -> None:
        gevent.killall(self._greenlets)
        self.listener.close()
