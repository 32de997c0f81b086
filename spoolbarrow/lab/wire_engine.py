"""Serves a modelled engine on loopback sockets: the engine side of PROTOCOL, with faults on the wire.

There is one listener per router, so that an engine can be cut off from one of them. Runs in gevent greenlets;
`now` is milliseconds since the scenario started, the same in every process of an emulation.
"""

from __future__ import annotations

import struct
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from random import Random
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.queue import Queue

from spoolbarrow.lab.engine import Engine, EngineRequest, EventKind, SubmitResult
from spoolbarrow.lab.fleet import EngineSpec, PlannedTrouble, engine_actions
from spoolbarrow.net.http1 import Message, RequestParser

HOST = "127.0.0.1"
MAX_HEAD, MAX_BODY = 16_384, 262_144
TOKENS_PER_EVENT = 4  # tokens per event
READ_GRACE_S = 0.05
MAX_REPORTED_UNWANTED = 1000  # sends to a draining engine that are reported; more than one is already a fault
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN_RESPONSE = b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s"
EVENT_TEMPLATE = b'data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":%s}]}\n\n'
USAGE_TEMPLATE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,'
    b'"prompt_tokens_details":{"cached_tokens":%d}}}\n\n'
)
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset


class Clock:
    """Milliseconds since the scenario started, by the machine's monotonic clock."""

    def __init__(self) -> None:
        self.begun = time.monotonic()

    def now(self) -> float:
        """The current time."""
        return (time.monotonic() - self.begun) * 1000.0

    def later(self, at_ms: float, call: Callable[..., object], *args: Any) -> None:
        """Schedule a call."""
        gevent.spawn_later(max(0.0, (at_ms - self.now()) / 1000.0), call, *args)


def listen(port: int = 0) -> Any:
    """A listener on loopback; OSError if the port is taken."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    sock.listen(1024)
    return sock


def chunk(part: bytes) -> bytes:
    """A part as an HTTP chunk."""
    return b"%x\r\n%s\r\n" % (len(part), part)


def parse_facts(message: Message) -> dict[str, str]:
    """The key-value pairs of `X-Facts`."""
    text = message.fields.get(b"x-facts", b"").decode("latin-1")
    return dict(pair.partition("=")[::2] for pair in text.split(",") if pair)


class LabBody(msgspec.Struct):
    """Fields that the lab's clients add to the request body."""

    lab_answer: int = 0  # output tokens of the response; 0: half of max_out


def parse_request(message: Message, name: str) -> EngineRequest:
    """The request in the engine model's form; ValueError if it is malformed."""
    fields = parse_facts(message)
    body = msgspec.json.decode(message.body, type=LabBody)
    prompt = int(fields.get("prompt_len", "0")) or max(1, len(message.body) // 4)
    answer = body.lab_answer or max(1, int(fields.get("max_out", "64")) // 2)
    prefix = fields.get("prefix") or None
    session = message.fields.get(b"x-session-key", b"").decode("latin-1") or None
    return EngineRequest(name, prompt, answer, prefix, int(fields.get("prefix_len", "0")), session)


class WireEngine:
    """One engine, whose process may die, restart or be replaced while its addresses stay the same."""

    def __init__(
        self,
        spec: EngineSpec,
        routers: int,
        clock: Clock,
        rng: Random,
        tell: Callable[[dict[str, Any]], None],
        first_port: int = 0,
    ) -> None:
        self.spec, self.clock, self.rng, self.tell = spec, clock, rng, tell
        self.id = spec.id
        self.engine = Engine(spec.figures, Random(rng.random()), clock.now(), False, TOKENS_PER_EVENT)
        self.listeners: list[Any] = [listen(first_port and first_port + n) for n in range(routers)]
        self.ports = [one.getsockname()[1] for one in self.listeners]
        self.cap = spec.figures.connections
        self.resets = self.spoilt = self.trickle = 0.0
        self.draining, self.alive = False, True
        self.held = [-1e18] * routers  # by router: nothing passes before this time
        # by request: new tokens; cached prompt tokens at the end, else -1
        self.news: dict[str, Queue[tuple[int, int]]] = {}
        self.sent: dict[str, int] = {}
        self.talks: dict[Any, gevent.Greenlet[..., Any]] = {}  # by socket
        self.wake = Event()
        self.moves: dict[str, Callable[..., None]] = {
            "stall": self._stall,
            "slowed": self._slowed,
            "crash": self.crash,
            "drain": self._drain,
            "replace": self._replace,
            "vanish": self._vanish,
            "cut": self._hold,
            "put": partial(setattr, self),
        }
        self.count = self.falls = 0
        # requests received while it drained: engine id, router, time
        self.unwanted: list[tuple[str, int, float]] = []
        self.past_processes: list[Engine] = []  # processes that have ended: their work still counts
        self.tasks = [gevent.spawn(self._drive), *self._accepting()]

    def _accepting(self) -> list[Any]:
        return [gevent.spawn(self._accept, one, n) for n, one in enumerate(self.listeners)]

    def close(self) -> None:
        """Stop the engine."""
        gevent.killall(self.tasks)
        self._break_all()
        for one in self.listeners:
            one.close()

    def figures(self) -> dict[str, Any]:
        """Totals of the engine."""
        engines = [*self.past_processes, self.engine] if self.alive else self.past_processes
        work = sum(one.made + one.done_read for one in engines)
        preempted = sum(one.preempted for one in engines)
        return {"attempts": self.count, "work": work, "preempted": preempted, "falls": self.falls,
                "unwanted": self.unwanted}  # fmt: skip

    # --- virtual time of the model

    def _drive(self) -> None:
        while True:
            at = self.engine.next_event_at()
            self.wake.clear()
            self.wake.wait(None if at == float("inf") else max(0.0, (at - self.clock.now()) / 1000.0))
            engine = self.engine
            ended = {}
            for event in engine.advance(self.clock.now()):
                if event.kind is EventKind.ENDED:
                    ended[event.id] = event.kept
            for name, queue in self.news.items():
                job = engine.jobs.get(name)
                if name in ended:
                    queue.put((0, ended[name]))
                elif job is not None and job.made > self.sent[name]:
                    queue.put((job.made - self.sent[name], -1))
                    self.sent[name] = job.made

    # --- connections

    def _accept(self, listener: Any, router: int) -> None:
        while True:
            sock, _ = listener.accept()
            self._wait(router)
            if len(self.talks) >= self.cap:
                self._reset(sock)
                continue
            self.engine.add_overhead(self.clock.now(), self.spec.figures.handshake_work_ms)
            self.talks[sock] = gevent.spawn(self._converse, sock, router)

    def _wait(self, router: int) -> None:
        while (left := self.held[router] - self.clock.now()) > 0.0:
            gevent.sleep(left / 1000.0)

    def _reset(self, sock: Any) -> None:
        with suppress(OSError):  # the peer may have reset it already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        sock.close()

    def _break_all(self) -> None:
        connections, self.talks = self.talks, {}
        for sock, greenlet in connections.items():
            greenlet.kill(block=False)
            self._reset(sock)
        self.news.clear()
        self.sent.clear()

    def _converse(self, sock: Any, router: int) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        parser, answering = RequestParser(MAX_HEAD, MAX_BODY), None
        try:
            while True:
                sock.settimeout(self.spec.figures.idle_ms / 1000.0)
                data = sock.recv(65_536)
                if not data:
                    return
                self._wait(router)
                parser.feed(memoryview(data))
                if parser.error is not None:
                    return
                while parser.complete:
                    if answering is not None:
                        answering.join()
                    answering = gevent.spawn(self._answer, sock, router, parser.complete.popleft())
        except OSError:
            pass  # closed, unreadable or idle for too long
        finally:
            if answering is not None:
                answering.kill(block=False)
            self.talks.pop(sock, None)
            sock.close()

    def _answer(self, sock: Any, router: int, message: Message) -> None:
        try:
            if message.method == b"GET":
                self._probe(sock, router)
            else:
                self._chat(sock, router, message)
        except OSError:
            sock.close()

    def _plain(self, sock: Any, router: int, status: bytes, fields: bytes = b"", body: bytes = b"") -> None:
        self._wait(router)
        sock.sendall(PLAIN_RESPONSE % (status, fields, len(body), body))

    def _load(self) -> bytes:
        load = self.engine.report(self.clock.now())
        return b"x1=%.4f,load_share=%.4f,x0=%.4f" % (
            load.unread_tokens / 1000.0, load.busy_share, load.memory_share,
        )  # fmt: skip

    def _probe(self, sock: Any, router: int) -> None:
        now, engine = self.clock.now(), self.engine
        engine.add_overhead(now, self.spec.figures.probe_work_ms)
        gevent.sleep(engine.probe_wait(now) / 1000.0)
        self._plain(sock, router, b"200 OK", body=self._load())

    def _chat(self, sock: Any, router: int, message: Message) -> None:
        self.count += 1
        name = f"{message.fields.get(b'x-correlation-id', b'').decode('latin-1')}#{self.count}"
        try:
            work = parse_request(message, name)
        except ValueError as error:
            return self._plain(sock, router, b"400 Bad Request", body=str(error).encode())
        now, engine = self.clock.now(), self.engine
        if self.draining and len(self.unwanted) < MAX_REPORTED_UNWANTED:
            self.unwanted.append((self.id, router, now))
        result = SubmitResult.FULL if self.draining else engine.submit(now, work)
        if result is SubmitResult.CRASHED:
            self.falls += 1
            return self.crash(self.spec.figures.restart_ms)
        if result is not SubmitResult.ACCEPTED:
            full = result is SubmitResult.FULL
            status = b"503 Service Unavailable" if full else b"500 Internal Server Error"
            return self._plain(sock, router, status, b"X-Unprocessed: 1\r\n" if full else b"")
        queue: Queue[tuple[int, int]] = Queue()
        self.news[name], self.sent[name] = queue, 0
        self.wake.set()
        try:
            self._stream(sock, router, work, queue)
        finally:
            self.news.pop(name, None)
            self.sent.pop(name, None)
            engine.cancel(self.clock.now(), name)
            self.wake.set()

    def _stream(self, sock: Any, router: int, work: EngineRequest, queue: Queue[tuple[int, int]]) -> None:
        made, malformed_at = 0, -1
        while True:
            tokens, kept = queue.get()
            ended = kept >= 0
            tokens = work.answer - made if ended else tokens
            self._wait(router)
            if not made:
                if self.resets and self.rng.random() < self.resets:
                    return self._cut_short(sock)
                if self.spoilt and self.rng.random() < self.spoilt:
                    malformed_at = self.rng.choice([0, work.answer // 2])
                if malformed_at == 0:
                    sock.sendall(b"HTTP/1.1 2OO\r\nTransfer-Encoding: chunked, nonsense\r\n\r\nzz\r\n")
                    return self._cut_short(sock)
                sock.sendall(STREAM_HEAD)
            if tokens:
                made += tokens
                event = EVENT_TEMPLATE % (b"word" * tokens, b'"stop"' if ended else b"null")
                if 0 < malformed_at <= made:
                    sock.sendall(b"xyz\r\n" + event)
                    return self._cut_short(sock)
                sock.sendall(chunk(event))
                gevent.sleep(self.trickle * tokens / 1000.0)
            if ended:
                usage = USAGE_TEMPLATE % (work.prompt, work.answer, kept)
                tail = chunk(usage) + chunk(b"data: [DONE]\n\n")
                return sock.sendall(tail + chunk(b": X-Backend-Load: %s\n\n" % self._load()) + b"0\r\n\r\n")  # type: ignore[no-any-return]

    def _cut_short(self, sock: Any) -> None:
        gevent.sleep(READ_GRACE_S)  # lets the peer read what was written
        greenlet = self.talks.pop(sock, None)
        self._reset(sock)
        if greenlet is not None:
            greenlet.kill(block=False)

    # --- troubles

    def plan(self, planned: PlannedTrouble) -> None:
        """Schedule the effects of a trouble on this engine."""
        for at, action, arguments in engine_actions(
            planned, self.spec.figures, self.rng, planned.trouble.begin_s * 1000.0
        ):
            self.clock.later(at, self.moves[action], *arguments)

    def _stall(self, until: float) -> None:
        self.engine.stall(self.clock.now(), until)
        self.wake.set()

    def _slowed(self, factor: float) -> None:
        self.engine.slowed(self.clock.now(), factor)
        self.wake.set()

    def _hold(self, routers: tuple[int, ...], until: float) -> None:
        for number in routers:
            self.held[number] = until

    def _drain(self) -> None:
        self.draining = True
        self._changed("terminating")

    def _changed(self, status: str, silent: bool = False) -> None:
        self.tell({"id": self.id, "number": self.spec.cell, "status": status, "silent": silent,
                   "ports": self.ports, "started_at": self.clock.now()})  # fmt: skip

    def crash(self, down_ms: float) -> None:
        """End the process and restart it, in slow start."""
        if self.alive:
            self._end_process()
            self.clock.later(self.clock.now() + down_ms, self._start_process)

    def _end_process(self) -> None:
        self.alive = False
        self.past_processes.append(self.engine)
        for task in self.tasks:
            if task is not gevent.getcurrent():
                task.kill(block=False)
        for one in self.listeners:
            one.close()
        self._break_all()

    def _start_process(self) -> None:
        self.listeners = [listen(port) for port in self.ports]
        self.engine = Engine(
            self.spec.figures, Random(self.rng.random()), self.clock.now(), True, TOKENS_PER_EVENT
        )
        self.alive, self.draining = True, False
        self.tasks = [gevent.spawn(self._drive), *self._accepting()]
        self._changed("in_service")

    def _replace(self, until: float) -> None:
        self._changed("terminated")
        if self.alive:
            self._end_process()
        self.id += "r"
        self.clock.later(until, self._start_process)

    def _vanish(self, until: float) -> None:
        self.held = [until] * len(self.held)
        self.engine.stall(self.clock.now(), until + 1.0)
        self._changed("terminated", silent=True)
        self.clock.later(until, self.crash, 0.0)
