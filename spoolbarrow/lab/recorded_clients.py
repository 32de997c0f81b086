"""Clients that record all connections and responses, to check a fleet's guarantees to clients.

    python -m spoolbarrow.lab.recorded_clients SECONDS PLAN     reads commands

PLAN (JSON, `ClientPlan`) says how many clients each router has, what they request and how they behave
(`BEHAVIORS`). Commands on standard input: `begin`; `away ROUTERS` (no new connections to them) and `back
ROUTERS`; `asked`, answered with the number of requests; `stop`, answered with all connections in JSON once
each request in flight has its response, or DONE_S have passed. Times are `time.monotonic` in s, when the
kernel received the bytes or was given them.
"""

from __future__ import annotations

import json
import socket as plain
import sys
import time
from contextlib import suppress
from hashlib import sha256
from random import Random
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from msgspec import Struct

from spoolbarrow.lab import loopback
from spoolbarrow.lab.line_commands import serve_commands
from spoolbarrow.lab.recorded_engines import received_at
from spoolbarrow.lab.standin import EVENTS_PER_ANSWER, reset_connection
from spoolbarrow.lab.wire_engine import chunk
from spoolbarrow.net import tcpinfo

CONNECT_TIMEOUT_S = 5.0
STATUS_LINE_BYTES = 16  # bytes of it that contain the status
CONTINUE_STATUS = 100  # status: the body may be sent
SLACK_S = 2.0  # until a client gives up, after a request's deadline and between bytes of a stream
MOST_SMALL = 700  # bytes of a request that is written byte by byte
LARGE_BODY_BYTES = 150_000
SLOW_READ_BYTES, SLOW_PAUSE_S = 256, 0.01
RESET_WAIT_S, RESET_POLL_S = 1.0, 0.02  # to wait for a reset after an end, and between checks for it
END_POLL_S = 0.1  # between checks whether to stop, of a client that waits for the peer to close
RETRY_S = 0.05  # before a client connects again
SHARED_PREFIX = "5c0f6e1a2b3d4c59"  # prefix id of prompts with a common beginning
BEHAVIORS = (
    "keeps",  # keeps its connection and pauses between requests
    "eager",  # the same, but sends a request as soon as a response has ended
    "renews",  # uses a connection per request
    "closes",  # sends `Connection: close`
    "leaves",  # closes the connection while it waits
    "resets",  # resets the connection while it waits
    "half",  # shuts down its sending side while it waits
    "pipelines",  # sends several requests in one write
    "garbles",  # sends a malformed request after a valid one
    "slow",  # reads slowly
    "bytewise",  # writes single bytes
    "chunked",  # sends a chunked body in two writes
    "large",  # sends a body of LARGE_BODY_BYTES
    "expects",  # sends `Expect: 100-continue` and the body after a delay
    "stops",  # disconnects in the middle of a request
)
# Used only by runs with drains, so that random choices of other runs stay the same.
DRAIN_BEHAVIORS = (
    "ahead",  # has always one more request in flight than is answered
    "silent",  # connects and sends nothing
    "halts",  # stops sending in the middle of a request and stays connected
)


class RequestKind(Struct, frozen=True):
    """A request class and its time budget."""

    name: str
    left_ms: int


class ClientPlan(Struct, frozen=True):
    """What the clients do."""

    ports: list[int]  # of the routers
    host: str
    kinds: list[RequestKind]
    accounts: list[str]
    habits: list[str]  # of each router's clients
    pause_s: float = 0.1  # maximum between a client's requests
    mean_prompt: float = 40.0
    spread: float = 0.0  # of prompt lengths, as sigma of their logarithm
    hot: float = 0.0  # share of requests whose prompts have a common prefix
    sessions: int = 0  # per client; 0: each request has its own
    # between the events of a response, one drawn per request; empty: the engines' default
    gaps_ms: list[float] = []
    seed: int = 1


class ResponseReader:
    """Parses responses independently of the program's parser, so that they do not share bugs."""

    def __init__(self, sock: Any, slow: bool) -> None:
        self._sock, self._slow, self._rest = sock, slow, b""
        self.at = 0.0  # when the last bytes arrived

    def _receive(self) -> None:
        if self._slow:
            gevent.sleep(SLOW_PAUSE_S)
        data = self._sock.recv(SLOW_READ_BYTES if self._slow else 65_536)
        if not data:
            raise EOFError
        self.at = received_at(self._sock)
        self._rest += data

    def line(self) -> bytes:
        """The next line."""
        while b"\r\n" not in self._rest:
            self._receive()
        line, self._rest = self._rest.split(b"\r\n", 1)
        return line

    def exactly(self, size: int) -> bytes:
        """The next `size` bytes."""
        while len(self._rest) < size:
            self._receive()
        data, self._rest = self._rest[:size], self._rest[size:]
        return data

    def pending(self) -> bool:
        """Whether bytes are buffered or can be read at once."""
        if not self._rest:
            self._sock.settimeout(0.0)
            with suppress(OSError, EOFError):
                self._receive()
        return bool(self._rest)


class ClientConnection:
    """A client's connection and its record."""

    def __init__(self, sock: Any, router: str, slow: bool) -> None:
        self.sock, self.reader = sock, ResponseReader(sock, slow)
        self.requests: list[dict[str, Any]] = []
        self.told: dict[str, Any] = {
            "router": router,
            "requests": self.requests,
            "opened_at": time.monotonic(),
        }
        self.lasts = True  # more requests may be sent on it
        self.unanswered: list[dict[str, Any]] = []  # sent, without a response read yet

    def read(self, asked: dict[str, Any]) -> None:
        """Read the response to a request, as far as it arrives."""
        try:
            self._read(asked)
        except EOFError:
            ended_at = time.monotonic()
            self._ended("reset" if self._is_reset() else "eof", ended_at)
        except TimeoutError:
            self._close(gone=False)
        except (OSError, ValueError):
            self._ended("reset")

    def _wait(self, until: float) -> None:
        self.sock.settimeout(max(0.01, until - time.monotonic()))

    def _read(self, asked: dict[str, Any]) -> None:
        self._wait(asked["sent_at"] + asked["left_s"] + SLACK_S)
        status = int(self.reader.line().split()[1])
        while status == CONTINUE_STATUS:
            self.reader.line()
            status = int(self.reader.line().split()[1])
        asked["status"], asked["first_at"] = status, self.reader.at
        fields: dict[bytes, bytes] = {}
        while line := self.reader.line():
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip()
        if fields.get(b"connection", b"").lower() == b"close":
            self.lasts = False
        self.sock.settimeout(SLACK_S + 3.0)
        if b"content-length" in fields:
            self.reader.exactly(int(fields[b"content-length"]))
        else:
            self._chunks(asked)
        asked["answered_at"], asked["whole"] = self.reader.at, True

    def _chunks(self, asked: dict[str, Any]) -> None:
        rest = b""  # of an incomplete line: chunks need not contain whole events
        while size := int(self.reader.line(), 16):
            *lines, rest = (rest + self.reader.exactly(size + 2)[:-2]).split(b"\n")
            for line in lines:
                if line.startswith(b"data: {"):
                    content = json.loads(line[6:])["choices"][0]["delta"]["content"]
                    id, attempt, place = content.split(" ")
                    asked["words"].append({"id": id, "attempt": attempt, "place": int(place)})
        self.reader.line()

    def _is_reset(self) -> bool:
        """Whether a reset follows the peer's end, which means that it has not read all that was sent."""
        until = time.monotonic() + RESET_WAIT_S
        while not self._was_reset() and time.monotonic() < until:
            gevent.sleep(RESET_POLL_S)
        return self._was_reset()

    def refused_within(self, seconds: float, asked: dict[str, Any]) -> bool:
        """Wait, or until a response other than a stream begins; the beginning of a stream is recorded."""
        until = time.monotonic() + seconds
        self.sock.settimeout(max(0.001, seconds))
        with suppress(OSError):
            status = self.sock.recv(STATUS_LINE_BYTES, plain.MSG_PEEK)[9:12]
            if status not in (b"", b"200"):
                return True
            if status:
                asked["status"], asked["first_at"] = 200, time.monotonic()
            gevent.sleep(max(0.0, until - time.monotonic()))
        return False

    def _was_reset(self) -> bool:
        info = self.sock.getsockopt(plain.IPPROTO_TCP, tcpinfo.TCP_INFO, tcpinfo.TCP_INFO_BYTES)
        return bool(info[0] == tcpinfo.CLOSED)

    def stands(self) -> bool:
        """Whether the peer has not closed it, as far as this machine knows."""
        self.sock.settimeout(0.0)
        try:
            return bool(self.sock.recv(1, plain.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def rest(self, seconds: float) -> None:
        """Send nothing for this time, or until the peer closes the connection."""
        until = time.monotonic() + seconds
        self.sock.settimeout(seconds)
        try:
            if self.sock.recv(1, plain.MSG_PEEK):
                return gevent.sleep(max(0.0, until - time.monotonic()))
            self._ended("eof")
        except TimeoutError:
            pass
        except OSError:
            self._ended("reset")

    def await_end(self, stopping: Event) -> None:
        """Read until the peer closes the connection."""
        self.sock.settimeout(END_POLL_S)
        while not stopping.is_set():
            try:
                if not self.sock.recv(65_536):
                    return self._ended("eof")
            except TimeoutError:
                continue
            except OSError:
                return self._ended("reset")
        self.leave("leaves")

    def _ended(self, how: str, at: float = 0.0) -> None:
        self.told |= {"ended": how, "ended_at": at or time.monotonic()}
        self.lasts = False

    def _close(self, gone: bool = True, way: str = "") -> None:
        """Close it; `gone`: the client leaves, rather than giving up on a missing response."""
        self.lasts = False
        if way == "half":
            with suppress(OSError):
                self.sock.shutdown(plain.SHUT_WR)
        elif way == "resets":
            reset_connection(self.sock)
        else:
            self.sock.close()
        if gone:
            self.told.setdefault("closed_at", time.monotonic())

    def leave(self, way: str) -> None:
        """Leave while a request is in flight."""
        self._close(True, way)

    def finish(self) -> None:
        """Close it after its last response; any further bytes are recorded as a surplus response."""
        if "ended" not in self.told and "closed_at" not in self.told:
            if "malformed_from" not in self.told:  # otherwise an error response is expected
                self.told["answers_too_many"] = int(self.reader.pending())
            if all(one["whole"] for one in self.requests):
                self.told["closed_at"] = time.monotonic()
        self.sock.close()


class Client:
    """A client of one router."""

    def __init__(self, group: ClientGroup, router: int, number: int, habit: str) -> None:
        self.group, self.router, self.habit = group, router, habit
        self.name = f"r{router}-{number}"
        self.rng = Random(f"{group.plan.seed} {self.name}")
        self.count = 0

    def run(self) -> None:
        """Send requests until stopped."""
        plan = self.group.plan
        gevent.sleep(self.rng.random() * plan.pause_s)
        while not self.group.stopping.is_set():
            if self.router in self.group.away:
                gevent.sleep(RETRY_S)
                continue
            try:
                sock = socket.socket()
                if self.habit == "slow":
                    sock.setsockopt(plain.SOL_SOCKET, plain.SO_RCVBUF, 2048)
                sock.settimeout(CONNECT_TIMEOUT_S)
                sock.connect((plan.host, plan.ports[self.router]))
            except OSError:
                sock.close()
                gevent.sleep(RETRY_S)
                continue
            sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
            connection = ClientConnection(sock, f"r{self.router}", self.habit == "slow")
            self.group.visits.append(connection.told)
            self._use_connection(connection)
            connection.finish()

    def _use_connection(self, connection: ClientConnection) -> None:
        while connection.lasts and connection.stands() and not self.group.stopping.is_set():
            self._exchange(connection)
            if self.habit == "ahead" and connection.lasts:
                continue
            if self.habit != "eager" or self.rng.random() < 0.2 or not connection.lasts:
                pause_s = self.rng.random() * self.group.plan.pause_s
                connection.rest(pause_s) if connection.lasts else gevent.sleep(pause_s)
            if self.habit in ("renews", "closes", "garbles"):
                break
        self._read(connection, 0)

    def _read(self, connection: ClientConnection, left: int) -> None:
        """Read responses until `left` requests are unanswered, or no more will arrive."""
        while len(connection.unanswered) > left and not connection.told.keys() & {"ended", "closed_at"}:
            connection.read(connection.unanswered.pop(0))

    def _stall(self, connection: ClientConnection) -> None:
        """Send nothing, or half a request, then wait for the peer to close."""
        if self.habit == "halts":
            _, raw = self._request()
            with suppress(OSError):
                connection.sock.sendall(raw[: self.rng.randrange(1, len(raw))])
        connection.await_end(self.group.stopping)

    def _exchange(self, connection: ClientConnection) -> None:
        if self.habit in ("silent", "halts"):
            return self._stall(connection)
        count = self.rng.randint(2, 6) if self.habit == "pipelines" else 1
        if self.habit == "ahead" and not connection.unanswered:
            count = 2
        requests = [self._request() for _ in range(count)]
        raw = b"".join(text for _, text in requests)
        if self.habit == "garbles":
            connection.told["malformed_from"] = len(connection.requests) + count
            raw += self.rng.choice(
                [b"\x00\x01nonsense\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n", raw[:40] + b"\r\n\r\n\r\n"]
            )
        asked = [one for one, _ in requests]
        try:
            self._send(connection, raw, asked)
        except OSError:
            # Not sent completely, so no response is required; some requests may have arrived nevertheless.
            return connection.leave("leaves")
        if self.habit in ("leaves", "resets", "half") and self.rng.random() < 0.6:
            patience_s = self.rng.choice([0.0, 0.001, 0.01, 0.05, 0.3]) * self.rng.random() * 2
            if not connection.refused_within(patience_s, asked[0]):
                return connection.leave(self.habit)
        connection.unanswered += asked
        self._read(connection, 1 if self.habit == "ahead" else 0)

    def _send(self, connection: ClientConnection, raw: bytes, asked: list[dict[str, Any]]) -> None:
        connection.sock.settimeout(CONNECT_TIMEOUT_S)
        if self.habit == "stops" and self.rng.random() < 0.5:
            connection.sock.sendall(raw[: self.rng.randrange(1, len(raw))])
            gevent.sleep(self.rng.random() * 0.1)
            return connection.leave(self.rng.choice(["leaves", "resets"]))
        if self.habit == "bytewise":
            for at in range(0, len(raw) - 1):
                connection.sock.sendall(raw[at : at + 1])
                if at % 50 == 0:
                    gevent.sleep(0)
            raw = raw[-1:]
        if self.habit in ("chunked", "expects"):
            raw = self._send_head(connection, raw)
        for last in (False, True):
            for one in asked:
                one["sent_at"] = time.monotonic()
            if not last:
                connection.requests += asked
                connection.sock.sendall(raw)

    def _send_head(self, connection: ClientConnection, raw: bytes) -> bytes:
        """Send the head; returns the rest to send."""
        head, end, body = raw.partition(b"\r\n\r\n")
        connection.sock.sendall(head + end)
        gevent.sleep(self.rng.choice([0.0, 0.02, 0.2]))
        return body

    def _session(self) -> str:
        if not self.group.plan.sessions:
            return f"{self.rng.getrandbits(64):016x}"
        return sha256(f"{self.name} {self.rng.randrange(self.group.plan.sessions)}".encode()).hexdigest()[:16]

    def _request(self) -> tuple[dict[str, Any], bytes]:
        plan, rng = self.group.plan, self.rng
        kind = rng.choice(plan.kinds)
        self.count += 1
        id = f"{self.name}-{self.count}"
        prompt = max(1, round(plan.mean_prompt * rng.lognormvariate(0.0, plan.spread)))
        document = {"model": "chat", "stream": True, "q": id}
        if self.habit == "large":
            document["fill"] = "x" * LARGE_BODY_BYTES
        body = json.dumps(document).encode()
        length = f"Content-Length: {len(body)}"
        if self.habit == "chunked":
            length = "Transfer-Encoding: chunked"
        left = kind.left_ms
        prefix = f"prefix={SHARED_PREFIX},prefix_len={prompt // 2}," if rng.random() < plan.hot else ""
        gap = f",lab_gap={rng.choice(plan.gaps_ms):g}" if plan.gaps_ms else ""
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {id}\r\n"
            f"X-Service-Class: {kind.name}\r\nX-Account: {rng.choice(plan.accounts)}\r\n"
            f"X-Session-Key: {self._session()}\r\nX-Time-Left-Ms: {left}\r\n"
            f"X-Facts: {prefix}prompt_len={prompt},max_out=8{gap}\r\n{length}\r\n"
        )
        if self.habit == "expects":
            head += "Expect: 100-continue\r\n"
        if self.habit == "closes":
            head += "Connection: close\r\n"
        asked = {
            "id": id,
            "sent_at": 0.0,
            "left_s": left / 1000.0,
            "digest": sha256(body).hexdigest(),
            "status": 0,
            "whole": False,
            "first_at": 0.0,
            "answered_at": 0.0,
            "words": [],
            "length": EVENTS_PER_ANSWER,
        }
        framed = chunk(body[:9]) + chunk(body[9:]) + b"0\r\n\r\n" if self.habit == "chunked" else body
        return asked, head.encode("latin-1") + b"\r\n" + framed


class ClientGroup:
    """All clients, and the commands."""

    def __init__(self, plan: ClientPlan) -> None:
        self.plan = plan
        self.visits: list[dict[str, Any]] = []
        self.away: set[int] = set()
        self.stopping = Event()
        self._running: list[Any] = []

    def execute(self, line: str) -> str:
        """Execute one command; its response."""
        command, *rest = line.split()
        if command == "begin":
            self._running = [
                gevent.spawn(Client(self, router, number, habit).run)
                for router in range(len(self.plan.ports))
                for number, habit in enumerate(self.plan.habits)
            ]
        elif command == "asked":
            return json.dumps(sum(len(one["requests"]) for one in self.visits))
        elif command == "stop":
            self.stopping.set()
            gevent.joinall(self._running)
            return json.dumps(self.visits)
        elif command in ("away", "back") and rest:
            chosen = {int(one) for one in rest[0].split(",")}
            self.away = self.away | chosen if command == "away" else self.away - chosen
        else:
            return f"error: {line[:80]}"
        return "ok"


def main(argv: list[str]) -> None:
    """Run the clients and the commands."""
    loopback.raise_descriptor_limit()
    group = ClientGroup(msgspec.json.decode(argv[1], type=ClientPlan))
    serve_commands(float(argv[0]), group.execute)


if __name__ == "__main__":
    main(sys.argv[1:])
