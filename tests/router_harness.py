"""Runs a router on loopback sockets with scripted clients and servers, for tests of content, not of speed."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count
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
_ids = count()
Script = Callable[[socket.socket, Message], object]  # closes the connection if it returns a true value
EVENTS = [b'data: {"choices":[{"index":0,"delta":{"content":"ab"}}]}\n\n', b"data: [DONE]\n\n"]
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
UNPROCESSED_503 = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"


def chunk(part: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(part), part)


def serve_all(sock: socket.socket, message: Message) -> None:
    sock.sendall(STREAM_HEAD + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n")


def json_response(status: int, content: bytes) -> bytes:
    """A complete response whose body is JSON."""
    return b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n%b" % (status, len(content), content)


class ScriptedServer:
    """A server that answers each request with a script."""

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
            self.greenlets.append(gevent.spawn(self._serve, sock))

    def _serve(self, sock: socket.socket) -> None:
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
    """A configuration as an object, without probes, so that only the test causes requests.

    The latency objective is long, so that a stalled test machine does not look like a full destination set.
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
            "ConnectTimeoutMs": 10_000.0,  # a busy test machine must not look like an unreachable endpoint
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
    """A client connection."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection((LISTEN, port), 20)

    def send(self, raw: bytes) -> Client:
        self.sock.sendall(raw)
        return self

    def answer(self) -> ResponseParser:
        """The next complete response; ConnectionResetError if it is cut off."""
        parser = ResponseParser(16384)
        while not parser.complete:
            if data := self.sock.recv(1):  # byte by byte, to leave a following response unread
                parser.feed(memoryview(data))
            else:
                parser.end()
        return parser

    def ended(self) -> bool:
        return self.sock.recv(1) == b""


def ask(body: bytes = b'{"model":"chat"}', left: int = 5000, **headers: str) -> bytes:
    """A request as clients send it, with an id of its own; underscores in header names stand for dashes."""
    fields = {"X-Correlation-Id": f"9b1f{next(_ids)}", "X-Service-Class": "chat", "X-Account": "acme"}
    fields |= {"X-Session-Key": "7f3a", "X-Facts": "prompt_len=40,max_out=8", "X-Time-Left-Ms": str(left)}
    fields["Content-Length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: api\r\n{head}\r\n".encode() + body


def run_ready() -> None:
    """Run all ready greenlets, and those that they make ready."""
    for _ in range(10):
        gevent.sleep(0)


def wait_until(condition: Callable[[], T], seconds: float = 40.0) -> T:
    """Wait until a condition is true and return its value; fails after the time-out."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        assert time.monotonic() < end, "condition was not met in time"
        gevent.sleep(0.005)
    return value


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

        def recording(now: float, events: list[i.Event]) -> list[i.Action]:
            self.events += events
            return handle(now, events)  # type: ignore[no-any-return]

        router.handle = recording
        self.inbound.start()
        self.host.start()

    def client(self) -> Client:
        self.clients.append(
            Client(self.config.listen[1])
        )  # kept, as garbage collection would close the socket
        return self.clients[-1]

    def events_of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


@contextmanager
def running_router(
    *scripts: Script, watch: Script = lambda sock, message: None, **changes: Any
) -> Iterator[tuple[Any, ...]]:
    """A router with endpoints that follow these scripts, and a discovery server: (harness, endpoints...)."""
    servers = [ScriptedServer(script) for script in (watch, *scripts)]
    endpoints = [endpoint_entry(f"e{n}", server.port) for n, server in enumerate(servers[1:])]
    harness = RouterHarness(make_config(endpoints, servers[0].port, **changes))
    try:
        yield (harness, *servers[1:])
    finally:
        harness.inbound.close()
        harness.host.stop()
        for server in servers:
            server.close()


def close_after_answers(harness: RouterHarness) -> None:
    """Start a drain whose only step is to close connections after their responses."""
    harness.inbound.drainer.begin(DrainCause.SUCCESSOR, DrainSchedule({DrainStep.END_ANSWERS: 0.0}))


def now_unix_ms() -> float:
    return time.time() * 1000
