"""Clients that misbehave, in a process of their own, beside usual ones whose answers are judged.

python -m tests.fault_clients PLAN       plays a `CrowdPlan`, prints a `CrowdRecord`; both are JSON
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from contextlib import suppress
from typing import Any

import gevent
import msgspec
from gevent import socket
from msgspec import Struct

from spoolbarrow.lab.loopback import raise_descriptor_limit
from spoolbarrow.lab.process import Process
from spoolbarrow.net.http1 import HttpError, ResponseParser
from tests.router_harness import LISTEN
from tests.router_processes import ROOT

SENDS = (
    "nothing",
    "head",
    "fields",
    "chunks",
    "trailers",
    "body",
    "whole",
    "pipeline",
    "unsound",
    "long_name",
    "again",
)
IDS_AGAIN = 4  # ids that clients of the kind `again` use in turn
PACES = ("at_once", "in_pieces", "slowly")
STOPS = ("half", "end", "never")  # half way through the message, at its end, or repeating it
LEAVES = ("closes", "resets", "half_closes", "stays")
READS = ("all", "slowly", "never")
UNSOUND = (b"\0\1\2\3" * 64, b"GET /nope HTTP/1.1\r\n\r\n", b"\r\n" * 500, b"POST / HTTP/9.9\r\n\r\n")
PIECE_BYTES, SLOW_PIECE_BYTES = 2048, 97
LAST_VISIT_S = 0.5  # after a plan's end, for visits to come to theirs
STAY_S = 4.0  # for which a client that stays does so
CLIENT_BUFFER_BYTES = 4096  # receive buffer of clients that read slowly


class ClientShape(Struct, frozen=True):
    """What a client does on each of its connections."""

    sends: str
    pace: str
    stops: str
    leaves: str
    reads: str


class Departure(Struct, frozen=True):
    """A client that closed or reset its connection; the ids are those that it had sent on it."""

    left_at: float
    ids: tuple[str, ...]


class UsualAnswer(Struct, frozen=True):
    """What a usual client got."""

    id: str
    asked_at: float
    status: int  # 0: the connection ended without an answer
    whole: bool
    took_s: float
    first_s: float  # until the first byte
    event_delay_s: float  # the longest from an engine's write to the client's read


def draw_shape(rng: random.Random) -> ClientShape:
    return ClientShape(*(rng.choice(each) for each in (SENDS, PACES, STOPS, LEAVES, READS)))


def head(id: str, length: str = "Content-Length: 2", lab: str = "", left_ms: int = 3000) -> bytes:
    """A request's head."""
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\n"
        f"X-Correlation-Id: {id}\r\nX-Service-Class: chat\r\nX-Account: acme\r\nX-Session-Key: 7f3a\r\n"
        f"X-Time-Left-Ms: {left_ms}\r\nX-Facts: prompt_len=40,max_out=8\r\nX-Lab: {lab}\r\n{length}\r\n\r\n"
    ).encode()


def message(sends: str, id: str, rng: random.Random, lab: str) -> bytes:
    """The bytes of one message of this kind."""
    if sends == "nothing":
        return b""
    if sends == "head":
        return head(id, lab=lab)[:-2] + b"X-More: " + b"y" * 12_000
    if sends == "fields":
        separator = rng.choice([b"a:\r\n", b"%d:1\r\n"])
        fields = [separator % number if b"%" in separator else separator for number in range(2500)]
        return head(id, lab=lab)[:-2] + b"".join(fields)
    if sends == "chunks":
        return head(id, "Transfer-Encoding: chunked", lab) + b"1\r\nx\r\n" * 40_000
    if sends == "trailers":
        return head(id, "Transfer-Encoding: chunked", lab) + b"1\r\nx\r\n0\r\n" + b"t:\r\n" * 40_000
    if sends == "body":
        size = rng.choice([40_000, 200_000, 262_144])
        return head(id, f"Content-Length: {size}", lab) + b"x" * size
    if sends == "pipeline":
        return b"".join(head(f"{id}.{number}", lab=lab) + b"{}" for number in range(400))
    if sends == "unsound":
        return rng.choice(
            [b"\0\1\2\3" * 64, b"GET /nope HTTP/1.1\r\n\r\n", b"\r\n" * 500, b"POST / HTTP/9.9\r\n\r\n"]
        )
    if sends == "long_name":
        return head(id + "n" * 8000, lab=lab) + b"{}"
    return head(id, lab=lab) + b"{}"


class FaultClient:
    """One client: it comes again after each connection until `until`, monotonic s."""

    def __init__(self, plan: CrowdPlan, number: int) -> None:
        self.host, self.port, self.until, self.lab = plan.host, plan.port, plan.until, plan.lab
        self.name, self.shape = f"c{plan.seed}x{number}", plan.shapes[number]
        self.rng = random.Random(plan.seed + number)
        self.connections = 0
        self.departures: list[Departure] = []
        self.statuses: list[int] = []
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        number = 0
        while time.monotonic() < self.until:
            number += 1
            with suppress(OSError):
                self._visit(f"{self.name}.{number}")
            gevent.sleep(self.rng.uniform(0.01, 0.2))

    def _visit(self, id: str) -> None:
        sock = socket.socket()
        ids: list[str] = []
        reader = None
        try:
            if self.shape.reads != "all":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
            sock.settimeout(STAY_S)
            sock.connect((self.host, self.port))
            self.connections += 1
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.shape.reads != "never":
                reader = gevent.spawn(self._read, sock)
            with suppress(OSError):
                self._send(sock, id, ids)
            self._leave(sock, reader)
        finally:
            if reader is not None:
                reader.kill()
            sock.close()
            if self.shape.sends != "again":  # others may have the same ids open
                self.departures.append(Departure(time.monotonic(), tuple(ids)))

    def _send(self, sock: socket.socket, id: str, ids: list[str]) -> None:
        number = 0
        while True:
            number += 1
            one = f"again{self.rng.randrange(IDS_AGAIN)}" if self.shape.sends == "again" else f"{id}.{number}"
            data = message(self.shape.sends, one, self.rng, self.lab)
            ids += [f"{one}.{n}" for n in range(400)] if self.shape.sends == "pipeline" else [one]
            self._write(sock, data[: len(data) // 2] if self.shape.stops == "half" else data)
            if self.shape.stops != "never" or not data or time.monotonic() > self.until:
                return
            gevent.sleep(0)

    def _write(self, sock: socket.socket, data: bytes) -> None:
        if self.shape.pace == "at_once":
            return sock.sendall(data)
        size, pause_s = (PIECE_BYTES, 0.002) if self.shape.pace == "in_pieces" else (SLOW_PIECE_BYTES, 0.05)
        for first in range(0, len(data), size):
            sock.sendall(data[first : first + size])
            gevent.sleep(pause_s)
            if time.monotonic() > self.until:
                return

    def _read(self, sock: socket.socket) -> None:
        with suppress(OSError):
            while data := sock.recv(65_536 if self.shape.reads == "all" else 64):
                if data.startswith(b"HTTP/1.1 "):
                    self.statuses.append(int(data[9:12]))
                if self.shape.reads == "slowly":
                    gevent.sleep(0.02)

    def _leave(self, sock: socket.socket, reader: Any) -> None:
        if self.shape.leaves in ("stays", "half_closes"):
            if self.shape.leaves == "half_closes":
                sock.shutdown(socket.SHUT_WR)
            if reader is not None:
                reader.join(STAY_S)
            else:
                gevent.sleep(min(STAY_S, max(0.0, self.until - time.monotonic())))
        elif self.shape.leaves == "resets":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


class CrowdPlan(Struct, frozen=True):
    """Clients of one router, each with a shape; `until` is monotonic s."""

    host: str
    port: int
    shapes: tuple[ClientShape, ...]
    seed: int
    until: float
    lab: str


class CrowdRecord(Struct, frozen=True):
    """What became of a crowd."""

    connections: int
    departures: tuple[Departure, ...]
    statuses: dict[int, int]


def play_crowd(plan: CrowdPlan) -> CrowdRecord:
    """Run the clients to the end of the plan."""
    raise_descriptor_limit()
    clients = [FaultClient(plan, number) for number in range(len(plan.shapes))]
    gevent.sleep(max(0.0, plan.until - time.monotonic()) + LAST_VISIT_S)
    statuses = Counter(status for client in clients for status in client.statuses)
    departures = tuple(one for client in clients for one in client.departures)
    return CrowdRecord(sum(client.connections for client in clients), departures, dict(statuses))


class Crowd:
    """A crowd in a process of its own, so that it delays neither engines nor usual clients."""

    def __init__(self, plan: CrowdPlan) -> None:
        self._process = Process("-m", "tests.fault_clients", msgspec.json.encode(plan).decode(), cwd=ROOT)

    def record(self) -> CrowdRecord:
        """Wait for its end."""
        while self._process.popen.poll() is None:
            gevent.sleep(0.02)
        return msgspec.json.decode(self._process.first_output_line(), type=CrowdRecord)

    def end(self) -> None:
        self._process.kill()


class UsualClient:
    """A client as the protocol describes it: one request at a time, on a connection that it keeps."""

    def __init__(self, port: int, name: str, until: float, lab: str, pause_s: float = 0.1) -> None:
        self.port, self.name, self.until, self.lab, self.pause_s = port, name, until, lab, pause_s
        self.left_ms = 3000
        self.answers: list[UsualAnswer] = []
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        number, sock = 0, None
        while time.monotonic() < self.until:
            number += 1
            id, asked_at = f"{self.name}.{number}", time.monotonic()
            kept = sock is not None
            answer, sock = self._ask(sock, id, asked_at)
            if answer.status == 0 and kept:  # an end that crossed the request: asked once more
                answer, sock = self._ask(None, f"{id}r", time.monotonic())
            self.answers.append(answer)
            gevent.sleep(self.pause_s)
        if sock is not None:
            sock.close()

    def _ask(self, sock: Any, id: str, asked_at: float) -> tuple[UsualAnswer, Any]:
        parser, first_at, delay_s = ResponseParser(16_384), 0.0, 0.0
        try:
            if sock is None:
                sock = socket.create_connection((LISTEN, self.port), 10)
            sock.settimeout(30)
            body = b'{"model":"chat"}'
            sock.sendall(head(id, f"Content-Length: {len(body)}", self.lab, self.left_ms) + body)
            while not parser.complete:
                data = sock.recv(65_536)
                now = time.monotonic()
                first_at = first_at or now
                if not data:
                    parser.end()
                    break
                parser.feed(memoryview(data))
                for part in b"".join(parser.take_body()).split(b'"at":')[1:]:
                    with suppress(ValueError):
                        delay_s = max(delay_s, now - float(part.partition(b",")[0]))
        except (OSError, HttpError):
            parser.complete = False
        now = time.monotonic()
        answer = UsualAnswer(
            id,
            asked_at,
            parser.status,
            parser.complete,
            now - asked_at,
            (first_at or now) - asked_at,
            delay_s,
        )
        if sock is not None and not (parser.complete and parser.reusable):
            sock.close()
            sock = None
        return answer, sock


if __name__ == "__main__":
    print(msgspec.json.encode(play_crowd(msgspec.json.decode(sys.argv[1], type=CrowdPlan))).decode())
