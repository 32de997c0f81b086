"""Small stand-ins for clients, engines, discovery and the platform, for the cases in review/6 to review/10.

They follow the protocol pages: HTTP/1.1 on loopback addresses, one request at a time on a connection. Engines
put the id of the request that they answer into each event, so that a client can tell whose answer it reads.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


_taken: set[int] = set()


def free_port() -> int:
    """A port of the loopback address that nobody listens on, outside the range of outgoing connections."""
    for _ in range(1000):
        port = random.randrange(11_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            if port not in _taken:
                _taken.add(port)
                return port
    raise NotRun("no free port")


class Record:
    """The case's record.txt: a line for each thing sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._began = time.monotonic()

    def __call__(self, *words: object) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:9.4f} " + " ".join(map(str, words)) + "\n")


class NotRun(Exception):
    """The case could not run."""


class Platform:
    """Starts the project's programs with the commands of the deploy file, and ends all that it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._run = tomllib.load(file)["run"]
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self, words: str = "", log: str = "log", **more: Any) -> subprocess.Popen[bytes]:
        """Start `run` of the deploy file, with further words; its output goes to a file of the folder."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "SPOOLBARROW_"))}
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment |= {"TMPDIR": str(temporary)} | more.pop("environment", {})
        with (self.folder / log).open("ab") as output:
            process = subprocess.Popen(
                ["/bin/sh", "-c", f"{self._run} {words}".strip()],
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=output, stderr=output, **more,
            )  # fmt: skip
        self._processes.append(process)
        self.record("started", process.pid, words.replace(str(self.folder), "FOLDER") or "a router")
        return process

    def close(self) -> None:
        """End all processes and remove the folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def settings(**more: Any) -> dict[str, Any]:
    """Settings like those of the first deployment, with a few engines."""
    return {
        "Balancers": 1,
        "Classes": [
            {
                "Name": "doc-query", "AimMs": 1200.0, "DeadlineMs": 4000.0, "Effect": "retryable",
                "Group": "all", "Importance": 1.0, "LateShare": 0.2, "RepeatWindowMs": 5000.0, "Stream": True,
            },
        ],
        "ClientHabits": {"MarksRetry": False},
        "Tenants": [
            {"Name": "cairn-credit", "Portion": 0.6, "QuotaPerS": 100.0},
            {"Name": "lough-loans", "Portion": 0.4, "QuotaPerS": 100.0},
        ],
        "Zones": ["dub1"],
        "Skus": ["fast"],
        "Discovery": "subscribe",
        "Invariants": {
            "AnswerSlackMs": 20.0, "ColdFrom": 0.34, "ColdMs": 8600.0, "DrainGraceMs": 500.0,
            "MustAskInMs": 10000.0, "OverloadFactor": 4.0, "TipAfterMs": 2000.0,
        },
        "Limits": {
            "Cancelling": True, "ConnIdleMs": 30000.0, "ConnectTimeoutMs": 200.0, "MaxAttempts": 6,
            "MaxOpen": 20000, "MaxRetryAfterMs": 2000.0, "Multiplex": 1, "PeerMessages": False,
            "Probing": True, "RetryAfter": True, "SecondCopies": True,
        },
        "Me": 0,
        "MyZone": 0,
        "Specifics": {"Resume": True, "TokenAimMs": [80.0], "AimUsPer1000PromptTokens": [60000.0]},
        "Stats": {"Fields": ["x1", "load_share", "x0"], "Via": "on_probe"},
        "TickMs": 5.0,
        "WeightKind": "rough",
        "ValueBy": "request",
    } | more  # fmt: skip


def write_config(path: Path, listen: int, discovery: int, settings: dict[str, Any], **more: Any) -> None:
    """Write a router's configuration file."""
    config = {
        "name": "n0",
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 0, "snapshot": True, "endpoints": []},
        "settings": settings,
    }
    path.write_text(json.dumps(config | more))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line of a message and its fields; raises EOFError at the connection's end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(port: int, handle: Handler) -> asyncio.Server:
    """Listen on a port; a connection ends with its handler."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handle(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer has gone, or the case is over
        finally:
            writer.close()

    return await asyncio.start_server(guarded, HOST, port)


class Discovery:
    """The list of engines: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, engines: dict[str, int]) -> None:
        self.index = 1
        self.entries = [
            {
                "name": name, "address": f"{HOST}:{port}", "zone": "dub1", "type": "fast", "group": 0,
                "status": "in_service", "weight": 1.0, "since_ms": 0,
            }
            for name, port in engines.items()
        ]  # fmt: skip

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls on one connection."""
        while True:
            first, _ = await read_head(reader)
            text = json.dumps({"index": self.index, "snapshot": True, "endpoints": self.entries}).encode()
            if "stream=1" not in first:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = b"" if f"index={self.index} " in first else text
            while True:
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
                await writer.drain()
                line = b""
                await asyncio.sleep(2.0)


def chunk(data: bytes) -> bytes:
    """One chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def event(content: str, finish: str | None = None) -> bytes:
    """One event of a stream."""
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def last_events(prompt: int, answer: int) -> bytes:
    """The events at the end of a stream: what it used, and that it is done."""
    usage = {
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "prompt_tokens_details": {"cached_tokens": 0},
    }
    return b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\ndata: [DONE]\n\n"


class Engine:
    """An engine that answers each request with a stream of events that hold the request's id."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record, self.port = name, record, free_port()
        self.first_ms, self.gap_ms, self.events = 40.0, 20.0, 5
        self.running = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer probes and requests on one connection."""
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while True:
            first, fields = await read_head(reader)
            length = int(fields.get("content-length", "0"))
            if length:
                await reader.readexactly(length)
            path = first.split(" ")[1]
            if path in ("/alive", "/metrics/load"):
                text = b"x1=%.3f,util=%.2f,x0=%.2f" % (0.0, self.running / 64, self.running / 128)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
            elif "x-correlation-id" not in fields:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            else:
                self.record(self.name, "begins", fields["x-correlation-id"])
                self.running += 1
                try:
                    await self.answer(fields["x-correlation-id"], reader, writer)
                finally:
                    self.running -= 1
            await writer.drain()

    def head(self) -> bytes:
        """The head of an answer."""
        return STREAM_HEAD

    async def answer(self, id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write the stream for a request."""
        await asyncio.sleep(self.first_ms / 1000)
        writer.write(self.head())
        for number in range(self.events):
            if number:
                await asyncio.sleep(self.gap_ms / 1000)
            writer.write(chunk(event(f"{id}:{number} ", "stop" if number == self.events - 1 else None)))
            await writer.drain()
        writer.write(chunk(last_events(8, self.events)) + b"0\r\n\r\n")
        self.record(self.name, "ends", id)


class Answered:
    """What a client got for one request."""

    def __init__(self) -> None:
        self.status, self.whole, self.events, self.octets = 0, False, list[str](), 0
        self.error = ""


class Client:
    """A client with one connection, on which it sends one request at a time."""

    def __init__(self, port: int, record: Record) -> None:
        self._port, self._record = port, record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def ask(self, id: str, cls: str, tenant: str, session: int, time_left_ms: int, body: bytes = b"{}"
                  ) -> Answered:  # fmt: skip
        """Send a request and read its answer to the end."""
        got = Answered()
        self._record("client sends", id, "class", cls, "account", tenant, "session", session)
        try:
            for turn in range(2):
                reused = self._writer is not None
                if self._reader is None or self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
                self._writer.write(
                    f"POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id}\r\n"
                    f"X-Service-Class: {cls}\r\nX-Account: {tenant}\r\nX-Session-Key: {session:016x}\r\n"
                    f"X-Time-Left-Ms: {time_left_ms}\r\nX-Facts: prompt_len=200,max_out=200\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                try:
                    first, fields = await read_head(self._reader)
                    break
                except (OSError, EOFError, asyncio.IncompleteReadError):
                    self.close()
                    if turn or not reused:
                        raise
            got.status = int(first.split(" ")[1])
            await self._read_body(fields, got)
            if fields.get("connection", "").lower() == "close":
                self.close()
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            got.error = type(error).__name__
            self.close()
        self._record(
            "client got",
            id,
            got.status,
            "whole" if got.whole else "not whole",
            got.error,
            " ".join(got.events),
        )
        return got

    async def _read_body(self, fields: dict[str, str], got: Answered) -> None:
        assert self._reader is not None
        if "content-length" in fields:
            await self._reader.readexactly(int(fields["content-length"]))
            got.whole = True
            return
        text = b""
        while True:
            line = await self._reader.readline()
            if not line.endswith(b"\n"):
                raise EOFError
            size = int(line, 16)
            data = (await self._reader.readexactly(size + 2))[:-2]
            if not size:
                got.whole = True
                return
            text += data
            got.octets += len(data)
            *events, text = text.split(b"\n\n")
            for one in events:
                content = one.removeprefix(b"data: ")
                if content == b"[DONE]":
                    got.events.append("done")
                    continue
                for choice in json.loads(content)["choices"]:
                    got.events.append(choice["delta"]["content"].strip())


class CountingClient(Client):
    """A client that counts the bytes which it writes and reads on each of its connections."""

    def __init__(self, port: int, record: Record, counts: dict[str, list[int]]) -> None:
        super().__init__(port, record)
        self._counts = counts

    async def ask(self, id: str, cls: str, tenant: str, session: int, time_left_ms: int, body: bytes = b"{}"
                  ) -> Answered:  # fmt: skip
        """Send a request, and count."""
        if self._writer is None:
            self._reader, writer = await asyncio.open_connection(HOST, self._port)
            host, port = writer.get_extra_info("sockname")
            name = f"{host}:{port}"
            count = self._counts.setdefault(name, [0, 0])  # a port may be used again
            write, reader = writer.write, self._reader
            feed = reader.feed_data

            def counted_write(data: bytes) -> None:
                count[0] += len(data)
                write(data)

            def counted_feed(data: bytes) -> None:
                count[1] += len(data)
                feed(data)

            writer.write, reader.feed_data = counted_write, counted_feed  # type: ignore[assignment,method-assign]
            self._writer = writer
        return await super().ask(id, cls, tenant, session, time_left_ms, body)


async def await_up(port: int, within_s: float = 20.0) -> None:
    """Wait until the router's `/up` says yes; NotRun if it does not."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
            first, _ = await read_head(reader)
            writer.close()
            if " 200 " in first:
                return
        await asyncio.sleep(0.1)
    raise NotRun("the router is not up")


def run(folder: Path, case: Callable[[Record, Platform], Awaitable[list[str]]]) -> int:
    """Play a case; its list names what broke the rule. Returns the exit status."""
    record = Record(folder)
    record("trouble", "on" if TROUBLE else "off")
    platform = Platform(record)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, platform), 112.0))
    except Exception as error:  # a fault of the stand-ins must not pass for one of the project
        record("could not run:", type(error).__name__, error)
        traceback.print_exc()
        return NOT_RUN
    finally:
        platform.close()
    for line in broken:
        record("BROKEN:", line)
    record("rule", "broken" if broken else "held")
    print(f"{len(broken)} times broken" if broken else "held", *broken[:3], sep="\n  ")
    return BROKEN if broken else HELD
