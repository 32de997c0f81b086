"""Tests that events of a stream are forwarded at once, whatever else the router does and however they arrive.

The tests do not depend on timing: an engine writes its next event once the last one has arrived.
"""

from __future__ import annotations

import itertools
import os
import threading
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import orjson
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.net import http1
from spoolbarrow.net.host import MAX_EVENTS_PER_TURN
from spoolbarrow.net.http1 import READS_PER_TURN, Message, ResponseParser
from spoolbarrow.net.log import Log
from spoolbarrow.net.observers import Observer, OpenConnection
from spoolbarrow.net.request import Attempt, Request
from tests.router_harness import STREAM_HEAD, Client, ask, chunk, running_router, wait_until


class StreamingEngine:
    """An engine whose streams are written by the test; `socks` holds its connections by request id."""

    def __init__(self, head: bytes = STREAM_HEAD) -> None:
        self.socks: dict[str, socket.socket] = {}
        self._head = head

    def __call__(self, sock: socket.socket, message: Message) -> None:
        sock.sendall(self._head)
        self.socks[message.fields[b"x-correlation-id"].decode()] = sock

    def write(self, name: str, data: bytes) -> None:
        self.socks[name].sendall(data)


class Reader:
    """A client that reads a stream and counts its chunks."""

    def __init__(self, client: Client) -> None:
        self._sock, self._parser = client.sock, ResponseParser(16384)

    def read(self, size: int) -> bytes:
        """Read the next bytes of the stream, and no more; they must arrive without further data."""
        received = b""
        while len(received) < size:
            self._parser.feed(memoryview(self._sock.recv(65536)))
            received += b"".join(self._parser.take_body())
        return received

    def pieces(self) -> int:
        return self._parser.pieces


class ForwardOrder(Observer):
    """Records the order in which parts of streams are forwarded, and other entries that a test adds."""

    def __init__(self) -> None:
        self.entries: list[Any] = []

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        self.entries.append(request.id)


def text_event(text: str) -> bytes:
    return b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % text.encode()


def test_each_event_of_twenty_streams_is_sent_alone_beside_a_client_that_does_not_read() -> None:
    engine, count = StreamingEngine(), 20
    with running_router(engine) as (scene, _):
        readers = {
            f"s{n}": Reader(scene.client().send(ask(X_Correlation_Id=f"s{n}", X_Session_Key=f"{n + 1:x}")))
            for n in range(count)
        }
        scene.client().send(ask(X_Correlation_Id="slow", X_Session_Key="ff"))
        wait_until(lambda: len(engine.socks) == count + 1)
        flooding_write = gevent.spawn(engine.write, "slow", chunk(text_event("x" * 60_000)) * 1000)  # 60 MB
        # Wait until all buffers are full: the router waits for the client, and the engine for the router.
        wait_until(
            lambda: (
                any(client.writing_since for client in scene.inbound._clients) and not flooding_write.ready()
            )
        )
        for k, name in itertools.product(range(10), readers):
            expected = text_event(f"{name}-{k}")
            engine.write(name, chunk(expected))  # the last event of each other stream has arrived
            assert readers[name].read(len(expected)) == expected
        for name, reader in readers.items():
            assert reader.pieces() == 11, f"{name}: the head, and a chunk for each event"
        assert not flooding_write.ready() and scene.host.ids.is_open("slow")
        flooding_write.kill()


@pytest.mark.parametrize(("size", "rounds"), [(60, 300), (2 * http1.LONG_READ_BYTES, 30)])
def test_an_engine_that_floods_does_not_delay_the_events_of_others(size: int, rounds: int) -> None:
    """Reads from an engine that always has more data never block."""
    engine = StreamingEngine()

    class Flood(ForwardOrder):
        def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
            super().parts_forwarded(request, parts)
            if request.id == "flood" and self.entries.count("flood") <= rounds:
                engine.write(
                    "flood", chunk(text_event("x" * size))
                )  # available before the router reads again
                if self.entries.count("flood") == 1:
                    engine.write("other", chunk(text_event("a")))

    with running_router(engine) as (scene, _):
        order = Flood()
        readers = {
            name: Reader(scene.client().send(ask(X_Correlation_Id=name, X_Session_Key=name.encode().hex())))
            for name in ("flood", "other")
        }
        wait_until(lambda: len(engine.socks) == 2)
        scene.host.observers.add(order)
        engine.write("flood", chunk(text_event("x" * size)))
        assert readers["other"].read(len(text_event("a"))) == text_event("a")
        wait_until(lambda: order.entries.count("flood") > rounds)
        assert order.entries.index("other") <= 2 * READS_PER_TURN


def test_events_are_forwarded_between_hundreds_of_decisions() -> None:
    """All requests wait to be decided on when an event arrives; it is forwarded before they are done."""
    engine, count = StreamingEngine(), 8 * MAX_EVENTS_PER_TURN
    with running_router(engine) as (scene, _):
        order, deciding, may_continue = ForwardOrder(), Event(), Event()
        reader = Reader(scene.client().send(ask(X_Correlation_Id="stream")))
        wait_until(lambda: "stream" in engine.socks)
        scene.host.observers.add(order)
        handle = scene.host._router.handle

        def handle_when_allowed(now: float, events: list[i.Event]) -> list[i.Action]:
            if not may_continue.is_set():  # waiting for a set event may also yield
                deciding.set()
                may_continue.wait()
            arrived = sum(isinstance(one, i.RequestArrived) for one in events)
            if arrived > 1 and "decided" not in order.entries:
                engine.write("stream", chunk(text_event("a")))
            order.entries += ["decided"] * (arrived > 1)
            assert len(events) <= MAX_EVENTS_PER_TURN
            return handle(now, events)  # type: ignore[no-any-return]

        scene.host._router.handle = handle_when_allowed
        scene.client().send(ask(X_Correlation_Id="first"))
        deciding.wait()
        for n in range(count):
            scene.client().send(ask(X_Correlation_Id=f"r{n}"))
        wait_until(lambda: sum(isinstance(one, i.RequestArrived) for one in scene.host._inbox) == count)
        may_continue.set()
        assert reader.read(len(text_event("a"))) == text_event("a")
        wait_until(lambda: order.entries.count("decided") >= count // MAX_EVENTS_PER_TURN)
        assert order.entries.index("stream") <= 3


def test_events_are_forwarded_between_hundreds_of_timers() -> None:
    """Hundreds of timers are due in one tick; an event that arrives then is forwarded in between."""
    engine, count = StreamingEngine(), 8 * MAX_EVENTS_PER_TURN
    with running_router(engine) as (scene, _):
        order = ForwardOrder()
        reader = Reader(scene.client().send(ask(X_Correlation_Id="stream")))
        wait_until(lambda: "stream" in engine.socks)
        scene.host.observers.add(order)

        def fire() -> None:
            if "timer" not in order.entries:
                engine.write("stream", chunk(text_event("a")))
            order.entries.append("timer")

        for _ in range(count):
            scene.host._timers.call_at(scene.host.now(), fire)
        scene.host._wake.set()
        assert reader.read(len(text_event("a"))) == text_event("a")
        wait_until(lambda: order.entries.count("timer") == count)
        assert order.entries.index("stream") <= 3 * MAX_EVENTS_PER_TURN


CONTENT_LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 5000\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "pieces"),
    [
        # A complete event in an incomplete chunk, then one over two chunks, and line ends that arrive late.
        (STREAM_HEAD, [(b"20\r\ndata: one\n\n", b"data: one\n\n"), (b"data: two\n\n", b"data: two\n\n")]),
        # Only the first event is held until complete: until then another attempt may serve the request.
        (STREAM_HEAD, [(b"5\r\ndata:", b""), (b"\r\n6\r\n one\n\n", b"data: one\n\n")]),
        (STREAM_HEAD, [(b"b\r\ndata: one\n\n", b"data: one\n\n"), (b"\r\n5\r\ndata:", b"data:")]),
        (
            STREAM_HEAD,
            [(b"b\r\ndata: one\n\n\r", b"data: one\n\n"), (b"\nb\r\ndata: two\n\n", b"data: two\n\n")],
        ),
        (STREAM_HEAD, [(b"b;x=y\r\ndata: one\n\n\r\nb", b"data: one\n\n"), (b"\r\nd", b"d")]),
        (
            CONTENT_LENGTH_HEAD,
            [(b"data: one\n\n", b"data: one\n\n"), (b"data: tw", b"data: tw"), (b"o\n\n", b"o\n\n")],
        ),
    ],
)
def test_events_are_forwarded_in_any_fragmentation(head: bytes, pieces: list[tuple[bytes, bytes]]) -> None:
    """No byte of a body is delayed until the end of its chunk or the line end after it."""
    engine = StreamingEngine(head)
    with running_router(engine) as (scene, _):
        reader = Reader(scene.client().send(ask(X_Correlation_Id="s")))
        wait_until(lambda: engine.socks)
        for written, expected in pieces:
            engine.write("s", written)
            assert reader.read(len(expected)) == expected


def test_no_connection_delays_small_writes() -> None:
    """TCP_NODELAY is set on opened and accepted connections, also if nothing sets it after the accept.

    A connection from another process is the same one in the kernel and keeps its options.
    """

    class NoDelayOptions(Observer):
        def __init__(self) -> None:
            self.options: list[int] = []
            self.socks: list[Any] = []

        def connection_opened(self, opened: OpenConnection) -> None:
            self.socks.append(opened.sock)

        def attempt_sent(self, attempt: Attempt) -> None:
            self.options += [sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for sock in self.socks]

    engine = StreamingEngine()
    with running_router(engine) as (scene, _):
        options_seen = NoDelayOptions()
        scene.host.observers.add(options_seen)
        scene.client().send(ask())
        wait_until(lambda: options_seen.options)
        assert len(options_seen.options) == 2 and all(options_seen.options)
    listener = http1.listen(("127.0.0.1", 0), 8)
    with listener, socket.create_connection(listener.getsockname()):
        accepted, _ = listener.accept()
        with accepted:
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def fill_pipe(writer: int) -> None:
    """Write another process's lines until the pipe is full."""
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4095 + b"\n")
    except BlockingIOError:
        os.set_blocking(writer, True)


def returns_in_time(call: Callable[[], object]) -> bool:
    """Whether a call returns; one that blocks is left behind in its thread."""
    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    thread.join(20)
    return not thread.is_alive()


def logged_events(reader: int) -> list[str]:
    """The events of the lines in a pipe."""
    os.set_blocking(reader, False)
    try:
        lines = os.read(reader, 1 << 20).splitlines()
    except BlockingIOError:
        return []
    return [orjson.loads(line)["event"] for line in lines if line.startswith(b"{")]


def test_a_log_pipe_filled_by_another_process_blocks_nothing(pipe: tuple[int, int]) -> None:
    """The pipe is filled between poll and write: two processes of a router share their log."""
    reader, writer = pipe
    log = Log(writer)
    poller = log._poll

    class FillAfterPoll:
        def poll(self, wait_ms: int) -> object:
            writable = poller.poll(wait_ms)
            fill_pipe(writer)
            return writable

    log._lines.append(log._line("started", "info", {}))
    log._held = len(log._lines[0])
    log._poll = FillAfterPoll()  # type: ignore[assignment]
    assert returns_in_time(log._write_some)
    assert logged_events(reader) == [] and len(log._lines) == 1
    log._poll = poller
    assert log._write_some() and logged_events(reader) == ["started"] and log._held == 0


def test_a_log_that_nobody_reads_does_not_prevent_the_start(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    fill_pipe(writer)
    log = Log(writer)
    assert returns_in_time(lambda: log.write("destinations", {})) and returns_in_time(
        lambda: log.write("started", {})
    )
    log.start()
    gevent.sleep(0)
    assert logged_events(reader) == []  # the pipe is read again from here on
    wait_until(lambda: not log._lines)
    assert logged_events(reader) == ["destinations", "started"]
    log.stop()
