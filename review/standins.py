"""Stand-ins for clients, engines, discovery and the network, and starts of the project's own programs.

Standard library only. Everything listens on loopback addresses at free ports. An engine answers as the
protocol page says: events carry the id of their request, so that a client can tell whose answer it got.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
RUN = "exec .venv/bin/python -m spoolbarrow"  # `run` of deploy/balancer.toml


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes record.txt: a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def note(self, what: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{time.monotonic() - self._begun:8.4f} {what} {text}".rstrip(), file=self._file, flush=True)

    def say(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        self.note("SAY", text=text)
        print(text, flush=True)


def settings(**changes: Any) -> dict[str, Any]:
    """Settings like those of the wire page's example: a small deployment."""
    base: dict[str, Any] = {
        "Balancers": 1,
        "Classes": [
            {
                "Name": "doc-summary",
                "AimMs": 3000.0,
                "DeadlineMs": 15000.0,
                "Effect": "retryable",
                "Group": "all",
                "Importance": 1.0,
                "LateShare": 0.25,
                "RepeatWindowMs": 5000.0,
                "Stream": True,
            },
            {
                "Name": "doc-query",
                "AimMs": 1200.0,
                "DeadlineMs": 4000.0,
                "Effect": "retryable",
                "Group": "all",
                "Importance": 1.0,
                "LateShare": 0.2,
                "RepeatWindowMs": 5000.0,
                "Stream": True,
            },
        ],
        "ClientHabits": {"MarksRetry": False},
        "Discovery": "subscribe",
        "Fees": {"Connection": 0.0, "CrossZone": 0.0, "LateFail": 0.08, "Probe": 0.002, "Waste": 0.3},
        "Goal": {"Whole": 0.4, "WorstClass": 0.2, "WorstTenant": 0.25, "WorstWindow": 0.15},
        "Invariants": {
            "AnswerSlackMs": 20.0,
            "ColdFrom": 0.34,
            "ColdMs": 8600.0,
            "DrainGraceMs": 500.0,
            "MustAskInMs": 10000.0,
            "OverloadFactor": 4.0,
            "TipAfterMs": 2000.0,
        },
        "Layers": ["doc-model"],
        "Limits": {
            "Cancelling": True,
            "ConnIdleMs": 30000.0,
            "ConnectTimeoutMs": 200.0,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 400000,
            "MaxAttempts": 6,
            "MaxOpen": 20000,
            "MaxRetryAfterMs": 2000.0,
            "Multiplex": 1,
            "PeerMessages": False,
            "Probing": True,
            "RetryAfter": True,
            "SecondCopies": True,
        },
        "Me": 0,
        "MyZone": 0,
        "OverShareWorth": 0.05,
        "Skus": ["standard"],
        "Specifics": {
            "AimUsPer1000PromptTokens": [60000.0, 60000.0],
            "Notes": "tokens of the prompt that were found kept",
            "ReportX0": "share of memory held by running requests",
            "ReportX1": "thousands of prompt tokens waiting to be read",
            "Resume": True,
            "TokenAimMs": [100.0, 80.0],
        },
        "Stats": {"Fields": ["x1", "load_share", "x0"], "Via": "on_probe"},
        "Tenants": [
            {"Name": "cairn-credit", "Portion": 0.6, "QuotaPerS": 17.0},
            {"Name": "lough-loans", "Portion": 0.4, "QuotaPerS": 11.0},
        ],
        "TickMs": 5.0,
        "Tier": 0,
        "ValueBy": "request",
        "WeightKind": "rough",
        "Workload": "llm",
        "Zones": ["dub1"],
    }
    base.update(changes)
    return base


# Messages


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """A request or an answer with a length: its first line, fields and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return first, fields, body


def plain(status: str, body: bytes, fields: str = "") -> bytes:
    """An answer with a length."""
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    """One chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


_ports, _given = random.Random(), set[int]()
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class Listener:
    """A TCP listener whose connections can be closed together."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen, at a free port unless one is given."""
        self._server = await asyncio.start_server(self._run, HOST, port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # closed, or the end of the case
        finally:
            self._open.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""

    def close(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._open):
            writer.transport.abort()


class Discovery(Listener):
    """The list service of the protocol page: the whole list, and watches on its changes."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed: list[tuple[int, str]] = []
        self._news = asyncio.Event()

    def put(self, name: str, port: int, status: str = "in_service", since_ms: float = 0) -> None:
        """Add or change an entry; watches are told at once."""
        self.index += 1
        self.entries[name] = {
            "name": name,
            "address": f"{HOST}:{port}",
            "zone": "dub1",
            "type": "standard",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }
        self._changed.append((self.index, name))
        self._news.set()
        self._news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        listed = [e for e in self.entries.values() if e["status"] != "terminated"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls in turn; a watch stays open."""
        while (message := await read_message(reader)) is not None:
            target = message[0].split()[1]
            if "stream=1" not in target:
                writer.write(plain("200 OK", json.dumps(self.whole()).encode()))
                continue
            had = int(target.partition("index=")[2] or 0)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            first = True
            while True:
                news = self._news
                names = {name for index, name in self._changed if index > had}
                if first and had < 2:
                    writer.write(chunk(json.dumps(self.whole()).encode() + b"\n"))
                elif names or first:
                    entries = [self.entries[name] for name in sorted(names)]
                    update = {"index": self.index, "snapshot": False, "endpoints": entries}
                    writer.write(chunk(json.dumps(update).encode() + b"\n"))
                else:
                    writer.write(chunk(b"\n"))
                first, had = False, self.index
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(news.wait(), 2.0)
                if writer.is_closing():
                    return


class Engine(Listener):
    """A sound engine: reads for a while, then streams events that carry the request's id."""

    def __init__(self, name: str, record: Record, rng: random.Random) -> None:
        super().__init__()
        self.name, self.record, self.rng = name, record, rng
        self.first_ms, self.gap_ms, self.events = 60.0, 10.0, 6
        self.begun: list[tuple[float, str, dict[str, str]]] = []  # time, id, fields of requests
        self.whole: list[str] = []  # ids of requests whose answer was written to its end
        self.after: Callable[[str, bytes, asyncio.StreamWriter], Awaitable[None]] | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One request at a time."""
        while (message := await read_message(reader)) is not None:
            first, fields, _ = message
            method, target, _ = first.split()
            if method == "GET":
                await asyncio.sleep(0.001)
                writer.write(
                    plain(
                        "200 OK", b"x1=0.01,load_share=0.10,x0=0.05" if target == "/metrics/load" else b"{}"
                    )
                )
                continue
            name = fields.get("x-correlation-id", "")
            if not name:
                writer.write(plain("404 Not Found", b""))
                continue
            self.begun.append((time.monotonic(), name, fields))
            self.record.note("engine-begins", engine=self.name, id=name)
            await self.answer(name, writer)

    def event(self, name: str, number: int) -> bytes:
        """One event of the answer to a request."""
        last = '"stop"' if number == self.events - 1 else "null"
        content = f"{name}/{self.name}/{number};"
        choice = f'{{"index":0,"delta":{{"content":"{content}"}},"finish_reason":{last}}}'
        return f'data: {{"choices":[{choice}]}}\n\n'.encode()

    def tail(self) -> bytes:
        """The last events and the end of an answer."""
        usage = b'data: {"choices":[],"usage":{"prompt_tokens":800,"completion_tokens":%d,' % self.events
        usage += b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
        return chunk(usage) + chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n"

    async def answer(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Write the whole answer to a request."""
        await asyncio.sleep(self.first_ms / 1000.0)
        writer.write(STREAM_HEAD)
        copy = STREAM_HEAD
        for number in range(self.events):
            part = chunk(self.event(name, number))
            copy += part
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.gap_ms / 1000.0)
        writer.write(self.tail())
        await writer.drain()
        copy += self.tail()
        self.whole.append(name)
        self.record.note("engine-ends", engine=self.name, id=name)
        if self.after is not None:
            await self.after(name, copy, writer)


class Answer:
    """What a client got for one request."""

    def __init__(self) -> None:
        self.status = 0  # 0: none
        self.body = b""
        self.whole = False
        self.closes = False
        self.error = ""

    def contents(self) -> list[str]:
        """The contents of the events, joined and cut at their marks: `ID/ENGINE/NUMBER`."""
        text = ""
        for line in self.body.decode("utf-8", "replace").split("\n"):
            if line.startswith("data: {"):
                with contextlib.suppress(ValueError, KeyError, IndexError):
                    text += json.loads(line[6:])["choices"][0]["delta"]["content"]
        return [part for part in text.split(";") if part]


class Client:
    """One client connection, which is kept; one request at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self, name: str, left_ms: int, wait_s: float, into: Answer | None = None, **more: str
    ) -> Answer:
        """Send a request and read its answer to the end; `into` can be looked at meanwhile."""
        fields = {
            "X-Service-Class": "doc-query",
            "X-Account": "cairn-credit",
            "X-Session-Key": "1",
            "X-Facts": "prompt_len=800,prefix_len=0,max_out=40",
            **{key.replace("_", "-"): value for key, value in more.items()},
        }
        body = b'{"model":"chat","stream":true,"max_tokens":40,"messages":[]}'
        head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {name}\r\n"
        head += "".join(f"{key}: {value}\r\n" for key, value in fields.items())
        head += f"X-Time-Left-Ms: {left_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
        answer = into or Answer()
        for fresh in (False, True):
            if fresh or self._writer is None:
                self.close()
                try:
                    self._reader, self._writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
                except OSError as error:
                    answer.error = f"{type(error).__name__}: {error}"
                    return answer
                fresh = True
            try:
                self._writer.write(head.encode() + body)
                await asyncio.wait_for(self._read(answer), wait_s)
            except TimeoutError:
                answer.error = "no answer"
            except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
                answer.error = f"{type(error).__name__}: {error}"
            if answer.status or fresh or answer.error == "no answer":
                break
            answer.error = ""  # a close between requests crossed this one: once more on a new connection
        if answer.closes or not answer.whole:
            self.close()
        return answer

    async def _read(self, answer: Answer) -> None:
        reader = self._reader
        assert reader is not None
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        answer.status = int(head.split()[1])
        answer.closes = "connection: close" in head
        if "transfer-encoding: chunked" not in head:
            length = int(head.partition("content-length:")[2].split("\r\n")[0])
            answer.body = await reader.readexactly(length)
            answer.whole = True
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.whole = True
                return
            answer.body += data[:-2]

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def call(address: str, method: str, path: str, wait_s: float = 5.0) -> tuple[int, bytes]:
    """One call on a connection of its own; status 0 where there is no answer."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0, b""
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n".encode())
        message = await asyncio.wait_for(read_message(reader), wait_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        writer.close()
    return (int(message[0].split()[1]), message[2]) if message is not None else (0, b"")


class Program:
    """One process of the project, started by /bin/sh as the platform does; its log goes to a file."""

    def __init__(self, folder: Path, name: str, command: str, record: Record, **env: str) -> None:
        self.folder, self.name, self.command, self.record, self.env = folder, name, command, record, env
        self.process: asyncio.subprocess.Process | None = None
        self.inherits = -1  # the descriptor that it gets as number 3
        self._starts = 0

    async def start(self) -> None:
        """Start it, in a private empty TMPDIR."""
        self._starts += 1
        place = self.folder / f"{self.name}-{self._starts}"
        place.mkdir()
        log = (self.folder / f"{self.name}-{self._starts}.log").open("wb")
        env = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "SPOOLBARROW_"))}
        env |= {"TMPDIR": str(place), "PYTHONDONTWRITEBYTECODE": "1", **self.env}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.command,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            close_fds=False,
            preexec_fn=(lambda: os.dup2(self.inherits, 3)) if self.inherits >= 0 else None,
        )
        log.close()
        self.record.note("start", program=self.name, pid=self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.note("signal", program=self.name, signal=number.name)
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL, wait_s: float = 10.0) -> None:
        """End it by its process id."""
        if self.process is None or self.process.returncode is not None:
            return
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), wait_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.record.note("ended", program=self.name, status=self.process.returncode)


def free_port() -> int:
    """A port of the loopback address that is free now, and not one that outgoing connections are given."""
    for _ in range(1000):
        port = _ports.randrange(12_000, 32_000)
        if port not in _given:
            with socket.socket() as sock, contextlib.suppress(OSError):
                sock.bind((HOST, port))
                _given.add(port)
                return port
    raise CannotRun("no free port")


class Router(Program):
    """One router, by the deploy file's `run`."""

    def __init__(
        self,
        folder: Path,
        name: str,
        record: Record,
        discovery: int,
        set_to: dict[str, Any],
        known: dict[str, Any] | None = None,
        operator: str = "",
    ) -> None:
        self.port, self.control = free_port(), f"{HOST}:{free_port()}"
        config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery}",
            "control": self.control,
            "seed": f"{random.Random(name).getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {"index": 0, "snapshot": True, "endpoints": []},
            "settings": set_to,
        }
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        env = {
            "NODE_NAME": name,
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": f"{HOST}:{discovery}",
            "NODE_CONFIG": str(path),
        }
        if operator:
            other = folder / f"{name}.toml"
            other.write_text(operator, encoding="utf-8")
            env["SPOOLBARROW_OPERATOR"] = str(other)
        super().__init__(folder, name, RUN, record, **env)

    async def up(self) -> bool:
        """Whether `GET /up` says 200, as the front asks it."""
        return (await call(f"{HOST}:{self.port}", "GET", "/up", 1.0))[0] == 200

    async def wait_up(self, wait_s: float = 30.0) -> None:
        """Wait until the front would send clients; CannotRun if that takes too long."""
        end = time.monotonic() + wait_s
        while not await self.up():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)
        self.record.note("up", program=self.name)


class Held:
    """The clients' listening socket, which the platform holds on days with upgrades."""

    def __init__(self, folder: Path) -> None:
        self.sock = socket.socket()
        self.port = free_port()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, self.port))
        self.sock.listen(512)
        self.shared = folder / "shared"  # $TMPDIR, common to both processes
        self.shared.mkdir()

    def give(self, router: Router, tag: str) -> Router:
        """Let a router inherit the socket as descriptor 3; `tag` tells its processes apart."""
        path = Path(router.env["NODE_CONFIG"])
        config = json.loads(path.read_text(encoding="utf-8"))
        config["listen"] = f"{HOST}:{self.port}"
        path = path.with_name(f"{tag}.json")
        path.write_text(json.dumps(config), encoding="utf-8")
        router.name, router.port, router.inherits = tag, self.port, self.sock.fileno()
        router.env |= {"NODE_CONFIG": str(path), "NODE_LISTEN": f"{HOST}:{self.port}"}
        router.env |= {"NODE_INHERITED_FD": "3", "TMPDIR": str(self.shared)}
        return router

    async def wait_ready(self, router: Router, wait_s: float = 10.0) -> None:
        """Wait until the process says that it is ready to serve."""
        end = time.monotonic() + wait_s
        while (await call(router.control, "GET", "/v1/readyz", 1.0))[0] != 200:
            if time.monotonic() > end:
                raise CannotRun(f"{router.name} is not ready")
            await asyncio.sleep(0.05)
        router.record.note("ready", program=router.name)


class Store:
    """Three members of the project's own store, and its command line for operators."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.names = ["m0", "m1", "m2"]
        listens = {name: free_port() for name in self.names}
        self.controls = {name: free_port() for name in self.names}
        (folder / "store").mkdir()
        self.members = {}
        for name in self.names:
            command = f"{RUN} store serve --name {name} --listen {HOST}:{listens[name]}"
            command += f" --control {HOST}:{self.controls[name]} --directory {folder / 'store'}"
            command += "".join(f" --member {other}={HOST}:{listens[other]}" for other in self.names)
            self.members[name] = Program(folder, name, command, record)

    async def start(self) -> None:
        """Start the members and wait for a leader."""
        for member in self.members.values():
            await member.start()
        for _ in range(200):
            for port in self.controls.values():
                status, body = await call(f"{HOST}:{port}", "GET", "/v1/status", 1.0)
                if status == 200 and json.loads(body)["role"] == "leader":
                    return
            await asyncio.sleep(0.1)
        raise CannotRun("no member leads")

    async def put(self, key: str, value: Any) -> int:
        """Write a document as an operator does; its revision. CannotRun if it is not accepted."""
        at = " ".join(f"--at {HOST}:{port}" for port in self.controls.values())
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            f"{RUN} store put {at} {key} -",
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        output, _ = await process.communicate(json.dumps(value).encode())
        self.record.note("put", key=key, value=json.dumps(value), status=process.returncode)
        if process.returncode != 0:
            raise CannotRun(f"the store did not accept {key}")
        return int(output)

    async def end(self) -> None:
        """End the members."""
        for member in self.members.values():
            await member.end()


async def acts_on(router: Router, item: str, revision: int, wait_s: float = 10.0) -> None:
    """Wait until a router tells that it acts on a document's revision; CannotRun if it does not."""
    end = time.monotonic() + wait_s
    while time.monotonic() < end:
        status, body = await call(router.control, "GET", "/v1/versions", 1.0)
        if status == 200 and json.loads(body)["versions"].get(item, {}).get("number") == revision:
            router.record.note("acts-on", program=router.name, item=item, revision=revision)
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{router.name} does not act on {item} {revision}")


def main(play: Callable[[Path, Record, bool], Awaitable[bool]], here: Path, limit_s: float = 110.0) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    import tempfile

    record = Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as name:
            try:
                return 1 if await asyncio.wait_for(play(Path(name), record, trouble), limit_s) else 0
            except CannotRun as error:
                record.say(f"could not run: {error}")
                return 2
            except TimeoutError:
                record.say("could not run: it took too long")
                return 2

    try:
        status = asyncio.run(run())
    except Exception as error:
        record.say(f"could not run: {type(error).__name__}: {error}")
        status = 2
    record.note("exit", status=status)
    sys.exit(status)
