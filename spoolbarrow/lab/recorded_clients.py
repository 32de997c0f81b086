"""Clients that keep all they saw: for checks of what a fleet owes to clients.

    python -m spoolbarrow.lab.recorded_clients SECONDS PLAN     begins when told, then obeys

PLAN (JSON, `ClientPlan`) says how many clients each router has, what they ask and how they behave (`BEHAVIORS`). Lines
on standard input: `begin`; `away ROUTERS` (no new connections go there) and `back ROUTERS`; `asked`, answered
with the number of requests; `stop`, answered with every connection in JSON once each request under way has
its answer, or DONE_S have passed. Times are `time.monotonic` when the kernel had the bytes, or was handed
them, in s.
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

CONNECT_S = 5.0
STATUS_LINE = 16  # bytes: as much of it as tells the status
GO_AHEAD = 100  # a status: the body may come
SLACK_S = 2.0  # beyond a request's time, and between a stream's bytes, until a client gives up
MOST_SMALL = 700  # bytes of a request that is written byte by byte
LARGE_BODY_BYTES = 150_000
SLOW_READ, SLOW_PAUSE_S = 256, 0.01
RESET_S, RESET_LOOK_S = 1.0, 0.02  # for a reset to come behind an end, and between looks for it
END_LOOK_S = 0.1  # between looks at whether to stop, of a client that waits for the other side's end
RETRY_S = 0.05  # before a client tries to connect again
SHARED_PREFIX = "5c0f6e1a2b3d4c59"  # what prompts that begin alike begin with
BEHAVIORS = (
    "keeps",  # its connection, and pauses between requests
    "eager",  # the same, and asks again in the instant in which an answer has ended
    "renews",  # a connection for each request
    "closes",  # says that its connection is to end with the answer
    "leaves",  # closes while it waits
    "resets",  # likewise
    "half",  # says its end while it waits
    "pipelines",  # several requests in one write
    "garbles",  # what is no request, behind one that is
    "slow",  # to read
    "bytewise",  # writes single bytes
    "chunked",  # sends its body in chunks, in two writes
    "large",  # sends a body of LARGE bytes
    "expects",  # the word to send its body
    "stops",  # in the middle of a request
)
# Of runs with drains alone: what is drawn for others stays as it is.
DRAIN_BEHAVIORS = (
    "ahead",  # one request more on its way than is answered
    "silent",  # connects and says nothing
    "halts",  # in the middle of a request, and stays
)


class RequestKind(Struct, frozen=True):
    """One class that is asked for."""

    name: str
    left_ms: int


class ClientPlan(Struct, frozen=True):
    """What clients do."""

    ports: list[int]  # of the routers
    host: str
    kinds: list[RequestKind]
    accounts: list[str]
    habits: list[str]  # of each router's clients
    pause_s: float = 0.1  # at most, between a client's requests
    mean_prompt: float = 40.0
    spread: float = 0.0  # of prompts' lengths, as sigma of their logarithm
    hot: float = 0.0  # share of requests whose prompts begin alike
    sessions: int = 0  # of a client; 0: each request is of its own
    gaps_ms: list[float] = []  # between the events of an answer, one drawn for each; empty: the engines' own
    seed: int = 1


class Reader:
    """Takes answers apart: a reader of its own, so that it does not share the program's mistakes."""

    def __init__(self, sock: Any, slow: bool) -> None:
        self._sock, self._slow, self._rest = sock, slow, b""
        self.at = 0.0  # when the last bytes came

    def _more(self) -> None:
        if self._slow:
            gevent.sleep(SLOW_PAUSE_S)
        data = self._sock.recv(SLOW_READ if self._slow else 65_536)
        if not data:
            raise EOFError
        self.at = received_at(self._sock)
        self._rest += data

    def line(self) -> bytes:
        """The next line."""
        while b"\r\n" not in self._rest:
            self._more()
        line, self._rest = self._rest.split(b"\r\n", 1)
        return line

    def exactly(self, size: int) -> bytes:
        """So many bytes."""
        while len(self._rest) < size:
            self._more()
        data, self._rest = self._rest[:size], self._rest[size:]
        return data

    def pending(self) -> bool:
        """Whether bytes stand there, or come within an instant."""
        if not self._rest:
            self._sock.settimeout(0.0)
            with suppress(OSError, EOFError):
                self._more()
        return bool(self._rest)


class ClientConnection:
    """One connection of a client."""

    def __init__(self, sock: Any, router: str, slow: bool) -> None:
        self.sock, self.reader = sock, Reader(sock, slow)
        self.requests: list[dict[str, Any]] = []
        self.told: dict[str, Any] = {
            "router": router,
            "requests": self.requests,
            "opened_at": time.monotonic(),
        }
        self.lasts = True  # more may be asked on it
        self.unanswered: list[dict[str, Any]] = []  # asked, and not read yet

    def read(self, asked: dict[str, Any]) -> None:
        """The answer to a request, as far as it comes."""
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
        while status == GO_AHEAD:
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
        rest = b""  # of a line: chunks need not hold whole events
        while size := int(self.reader.line(), 16):
            *lines, rest = (rest + self.reader.exactly(size + 2)[:-2]).split(b"\n")
            for line in lines:
                if line.startswith(b"data: {"):
                    told = json.loads(line[6:])["choices"][0]["delta"]["content"]
                    id, attempt, place = told.split(" ")
                    asked["words"].append({"id": id, "attempt": attempt, "place": int(place)})
        self.reader.line()

    def _is_reset(self) -> bool:
        """Whether a reset follows the other side's end: it had not read, nor will, all that was sent."""
        until = time.monotonic() + RESET_S
        while not self._was_reset() and time.monotonic() < until:
            gevent.sleep(RESET_LOOK_S)
        return self._was_reset()

    def refused_within(self, seconds: float, asked: dict[str, Any]) -> bool:
        """Wait so long, or until an answer begins that is no stream; of one that is, its begin is noted."""
        until = time.monotonic() + seconds
        self.sock.settimeout(max(0.001, seconds))
        with suppress(OSError):
            told = self.sock.recv(STATUS_LINE, plain.MSG_PEEK)[9:12]
            if told not in (b"", b"200"):
                return True
            if told:
                asked["status"], asked["first_at"] = 200, time.monotonic()
            gevent.sleep(max(0.0, until - time.monotonic()))
        return False

    def _was_reset(self) -> bool:
        told = self.sock.getsockopt(plain.IPPROTO_TCP, tcpinfo.TCP_INFO, tcpinfo.TCP_INFO_BYTES)
        return bool(told[0] == tcpinfo.CLOSED)

    def stands(self) -> bool:
        """Whether its other side has not ended it, as far as this machine knows."""
        self.sock.settimeout(0.0)
        try:
            return bool(self.sock.recv(1, plain.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    def rest(self, seconds: float) -> None:
        """Ask nothing for so long, or until the other side ends the connection."""
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
        """Take in what comes up to the other side's end."""
        self.sock.settimeout(END_LOOK_S)
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
        """End it; `gone`: the client leaves, rather than giving up on an answer that never came."""
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
        """Go while something is under way."""
        self._close(True, way)

    def finish(self) -> None:
        """End it after its last answer; what came beyond that is one answer too many."""
        if "ended" not in self.told and "closed_at" not in self.told:
            if "malformed_from" not in self.told:  # else it is told what was wrong
                self.told["answers_too_many"] = int(self.reader.pending())
            if all(one["whole"] for one in self.requests):
                self.told["closed_at"] = time.monotonic()
        self.sock.close()


class Client:
    """One client of one router."""

    def __init__(self, crowd: ClientGroup, router: int, number: int, habit: str) -> None:
        self.crowd, self.router, self.habit = crowd, router, habit
        self.name = f"r{router}-{number}"
        self.rng = Random(f"{crowd.plan.seed} {self.name}")
        self.count = 0

    def run(self) -> None:
        """Ask until told to stop."""
        plan = self.crowd.plan
        gevent.sleep(self.rng.random() * plan.pause_s)
        while not self.crowd.stopping.is_set():
            if self.router in self.crowd.away:
                gevent.sleep(RETRY_S)
                continue
            try:
                sock = socket.socket()
                if self.habit == "slow":
                    sock.setsockopt(plain.SOL_SOCKET, plain.SO_RCVBUF, 2048)
                sock.settimeout(CONNECT_S)
                sock.connect((plan.host, plan.ports[self.router]))
            except OSError:
                sock.close()
                gevent.sleep(RETRY_S)
                continue
            sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
            visit = ClientConnection(sock, f"r{self.router}", self.habit == "slow")
            self.crowd.visits.append(visit.told)
            self._stay(visit)
            visit.finish()

    def _stay(self, visit: ClientConnection) -> None:
        while visit.lasts and visit.stands() and not self.crowd.stopping.is_set():
            self._turn(visit)
            if self.habit == "ahead" and visit.lasts:
                continue
            if self.habit != "eager" or self.rng.random() < 0.2 or not visit.lasts:
                pause_s = self.rng.random() * self.crowd.plan.pause_s
                visit.rest(pause_s) if visit.lasts else gevent.sleep(pause_s)
            if self.habit in ("renews", "closes", "garbles"):
                break
        self._read(visit, 0)

    def _read(self, visit: ClientConnection, left: int) -> None:
        """Read answers until so many requests have none yet, or no more will come."""
        while len(visit.unanswered) > left and not visit.told.keys() & {"ended", "closed_at"}:
            visit.read(visit.unanswered.pop(0))

    def _say_nothing(self, visit: ClientConnection) -> None:
        """Nothing, or half a request; then wait for the other side's end."""
        if self.habit == "halts":
            _, raw = self._request()
            with suppress(OSError):
                visit.sock.sendall(raw[: self.rng.randrange(1, len(raw))])
        visit.await_end(self.crowd.stopping)

    def _turn(self, visit: ClientConnection) -> None:
        if self.habit in ("silent", "halts"):
            return self._say_nothing(visit)
        many = self.rng.randint(2, 6) if self.habit == "pipelines" else 1
        if self.habit == "ahead" and not visit.unanswered:
            many = 2
        made = [self._request() for _ in range(many)]
        raw = b"".join(text for _, text in made)
        if self.habit == "garbles":
            visit.told["malformed_from"] = len(visit.requests) + many
            raw += self.rng.choice(
                [b"\x00\x01nonsense\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n", raw[:40] + b"\r\n\r\n\r\n"]
            )
        asked = [one for one, _ in made]
        try:
            self._send(visit, raw, asked)
        except OSError:
            # Not wholly handed over, so nothing is owed; some may have come all the same.
            return visit.leave("leaves")
        if self.habit in ("leaves", "resets", "half") and self.rng.random() < 0.6:
            patience_s = self.rng.choice([0.0, 0.001, 0.01, 0.05, 0.3]) * self.rng.random() * 2
            if not visit.refused_within(patience_s, asked[0]):
                return visit.leave(self.habit)
        visit.unanswered += asked
        self._read(visit, 1 if self.habit == "ahead" else 0)

    def _send(self, visit: ClientConnection, raw: bytes, asked: list[dict[str, Any]]) -> None:
        visit.sock.settimeout(CONNECT_S)
        if self.habit == "stops" and self.rng.random() < 0.5:
            visit.sock.sendall(raw[: self.rng.randrange(1, len(raw))])
            gevent.sleep(self.rng.random() * 0.1)
            return visit.leave(self.rng.choice(["leaves", "resets"]))
        if self.habit == "bytewise":
            for at in range(0, len(raw) - 1):
                visit.sock.sendall(raw[at : at + 1])
                if at % 50 == 0:
                    gevent.sleep(0)
            raw = raw[-1:]
        if self.habit in ("chunked", "expects"):
            raw = self._send_head(visit, raw)
        for last in (False, True):
            for one in asked:
                one["sent_at"] = time.monotonic()
            if not last:
                visit.requests += asked
                visit.sock.sendall(raw)

    def _send_head(self, visit: ClientConnection, raw: bytes) -> bytes:
        """The head first; what is left to send."""
        head, end, body = raw.partition(b"\r\n\r\n")
        visit.sock.sendall(head + end)
        gevent.sleep(self.rng.choice([0.0, 0.02, 0.2]))
        return body

    def _session(self) -> str:
        if not self.crowd.plan.sessions:
            return f"{self.rng.getrandbits(64):016x}"
        return sha256(f"{self.name} {self.rng.randrange(self.crowd.plan.sessions)}".encode()).hexdigest()[:16]

    def _request(self) -> tuple[dict[str, Any], bytes]:
        plan, rng = self.crowd.plan, self.rng
        kind = rng.choice(plan.kinds)
        self.count += 1
        id = f"{self.name}-{self.count}"
        prompt = max(1, round(plan.mean_prompt * rng.lognormvariate(0.0, plan.spread)))
        told = {"model": "chat", "stream": True, "q": id}
        if self.habit == "large":
            told["fill"] = "x" * LARGE_BODY_BYTES
        body = json.dumps(told).encode()
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
    """All clients."""

    def __init__(self, plan: ClientPlan) -> None:
        self.plan = plan
        self.visits: list[dict[str, Any]] = []
        self.away: set[int] = set()
        self.stopping = Event()
        self._running: list[Any] = []

    def obey(self, line: str) -> str:
        """Carry out one line of standard input; its answer."""
        word, *rest = line.split()
        if word == "begin":
            self._running = [
                gevent.spawn(Client(self, router, number, habit).run)
                for router in range(len(self.plan.ports))
                for number, habit in enumerate(self.plan.habits)
            ]
        elif word == "asked":
            return json.dumps(sum(len(one["requests"]) for one in self.visits))
        elif word == "stop":
            self.stopping.set()
            gevent.joinall(self._running)
            return json.dumps(self.visits)
        elif word in ("away", "back") and rest:
            chosen = {int(one) for one in rest[0].split(",")}
            self.away = self.away | chosen if word == "away" else self.away - chosen
        else:
            return f"error: {line[:80]}"
        return "ok"


def main(argv: list[str]) -> None:
    """Ask, and obey."""
    loopback.raise_descriptor_limit()
    crowd = ClientGroup(msgspec.json.decode(argv[1], type=ClientPlan))
    serve_commands(float(argv[0]), crowd.obey)


if __name__ == "__main__":
    main(sys.argv[1:])
