"""A router on loopback sockets between scripted parties: for tests of what is said, never of how fast."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import gevent
import msgspec
from gevent import socket

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.lab.cluster import LISTEN as LISTEN
from spoolbarrow.lab.cluster import free_ports
from spoolbarrow.net.drain_schedule import DrainCause, DrainSchedule, DrainStep
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import Message, RequestParser, ResponseParser
from spoolbarrow.net.inbound import Inbound

T = TypeVar("T")
Script = Callable[[socket.socket, Message], object]  # true: hang up
EVENTS = [b'data: {"choices":[{"index":0,"delta":{"content":"ab"}}]}\n\n', b"data: [DONE]\n\n"]
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
UNPROCESSED_503 = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"


def chunk(part: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(part), part)


def serve_all(sock: socket.socket, message: Message) -> None:
    sock.sendall(STREAM_HEAD + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n")


class ScriptedServer:
    """A listener that answers each request by a script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[Message] = []
        self.connections = self.closed = 0
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.port: int = self.listener.getsockname()[1]
        self.greenlets: list[Any] = [gevent.spawn(self._accept)]

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.connections += 1
            self.greenlets.append(gevent.spawn(self._converse, sock))

    def _converse(self, sock: socket.socket) -> None:
        parser = RequestParser(16384, 262144)
        with sock:
            try:
                while data := sock.recv(65536):
                    parser.feed(memoryview(data))
                    while parser.complete:
                        message = parser.complete.popleft()
                        self.requests.append(message)
                        if self.script(sock, message):
                            return
            except OSError:
                pass
            self.closed += 1

    def close(self) -> None:
        gevent.killall(self.greenlets)
        self.listener.close()


def free_port() -> int:
    return free_ports(1)[0]


def endpoint_entry(name: str, port: int, **changes: Any) -> dict[str, Any]:
    return {"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "type": "m", **changes}


def make_config(endpoints: list[dict[str, Any]], discovery: int = 1, **changes: Any) -> dict[str, Any]:
    """The text of a configuration, as an object; no probes, so that only what a test does is seen.

    The aim is long: where a busy machine stands still, waiting must not pass for a full destination set.
    """
    settings = {
        "Balancers": 1,
        "Classes": [
            {"Name": "chat", "AimMs": 60e3, "DeadlineMs": 5e3, "Effect": "retryable", "Stream": True}
        ],
        "Tenants": [{"Name": "acme"}, {"Name": "other"}],
        "Zones": ["a"],
        "Skus": ["m"],
        "TickMs": 1.0,
        "Limits": {
            "MaxAttempts": 3,
            "RetryAfter": True,
            "Cancelling": True,
            "MaxRetryAfterMs": 2000.0,
            "ConnectTimeoutMs": 10_000.0,  # a busy machine must not pass for an endpoint that is cut off
        },
    }
    return {
        "name": "n0",
        "listen": f"{LISTEN}:{free_port()}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f",
        "known": {"index": 7, "snapshot": True, "endpoints": endpoints},
        "settings": settings,
        **changes,
    }


class Client:
    """A client's connection."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection((LISTEN, port), 20)

    def send(self, raw: bytes) -> Client:
        self.sock.sendall(raw)
        return self

    def answer(self) -> ResponseParser:
        """The next whole answer, its body in `text`; ConnectionResetError where it is cut off."""
        parser = ResponseParser(16384)
        while not parser.complete:
            if data := self.sock.recv(1):  # byte by byte: an answer that follows stays unread
                parser.feed(memoryview(data))
            else:
                parser.end()
        return parser

    def ended(self) -> bool:
        return self.sock.recv(1) == b""


def ask(body: bytes = b'{"model":"chat"}', left: int = 5000, **headers: str) -> bytes:
    """A request as clients write it; underscores in header names stand for dashes."""
    named = {"X-Correlation-Id": "9b1f", "X-Service-Class": "chat", "X-Account": "acme"}
    named |= {"X-Session-Key": "7f3a", "X-Facts": "prompt_len=40,max_out=8", "X-Time-Left-Ms": str(left)}
    named["Content-Length"] = str(len(body))
    named |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in named.items())
    return f"POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: api\r\n{head}\r\n".encode() + body


def run_ready() -> None:
    """Let whatever is ready run, and what that makes ready."""
    for _ in range(10):
        gevent.sleep(0)


def wait_until(true: Callable[[], T], seconds: float = 40.0) -> T:
    """Let greenlets and processes run until something holds, and give that; in vain it fails here."""
    end = time.monotonic() + seconds
    while not (found := true()):
        assert time.monotonic() < end, "never came true"
        gevent.sleep(0.005)
    return found


class RouterHarness:
    """A running router."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.config = config.parse(msgspec.json.encode(raw))
        self.host = Host(self.config)
        self.inbound = Inbound(self.config, self.host)
        self.events: list[Any] = []
        self.clients: list[Client] = []
        router: Any = self.host._router
        handle = router.handle

        def listening(now: float, events: list[i.Event]) -> list[i.Action]:
            self.events += events
            return handle(now, events)  # type: ignore[no-any-return]

        router.handle = listening
        self.inbound.start()
        self.host.start()

    def client(self) -> Client:
        self.clients.append(Client(self.config.listen[1]))  # kept: a forgotten socket would be closed
        return self.clients[-1]

    def events_of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


@contextmanager
def running_router(
    *scripts: Script, watch: Script = lambda sock, message: None, **changes: Any
) -> Iterator[tuple[Any, ...]]:
    """A router before endpoints that follow these scripts, and a discovery: (stage, endpoints...)."""
    parties = [ScriptedServer(script) for script in (watch, *scripts)]
    endpoints = [endpoint_entry(f"e{n}", party.port) for n, party in enumerate(parties[1:])]
    made = RouterHarness(make_config(endpoints, parties[0].port, **changes))
    try:
        yield (made, *parties[1:])
    finally:
        made.inbound.close()
        made.host.stop()
        for party in parties:
            party.close()


def close_after_answers(scene: RouterHarness) -> None:
    """From now on the end of an answer ends its connection, and nothing else is done."""
    scene.inbound.drainer.begin(DrainCause.SUCCESSOR, DrainSchedule({DrainStep.END_ANSWERS: 0.0}))


def now_unix_ms() -> float:
    return time.time() * 1000
