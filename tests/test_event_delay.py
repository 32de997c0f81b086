"""Events leave as they come: whatever else the router does, and in whatever pieces they were written.

The order is the program's own, never a clock's: an engine writes its next event once the last has arrived.
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


class Engines:
    """An engine whose streams a test writes: by the client's name of the request, its connection."""

    def __init__(self, head: bytes = STREAM_HEAD) -> None:
        self.socks: dict[str, socket.socket] = {}
        self._head = head

    def __call__(self, sock: socket.socket, message: Message) -> None:
        sock.sendall(self._head)
        self.socks[message.fields[b"x-correlation-id"].decode()] = sock

    def write(self, name: str, data: bytes) -> None:
        self.socks[name].sendall(data)


class Reader:
    """A client that reads a stream, and counts the chunks in which it comes."""

    def __init__(self, client: Client) -> None:
        self._sock, self._parser = client.sock, ResponseParser(16384)

    def read(self, size: int) -> bytes:
        """The next bytes of the stream: no more, and they need nothing else to come."""
        got = b""
        while len(got) < size:
            self._parser.feed(memoryview(self._sock.recv(65536)))
            got += b"".join(self._parser.take_body())
        return got

    def pieces(self) -> int:
        return self._parser.pieces


class Order(Observer):
    """The order in which parts of streams were passed on, beside whatever else a test notes in it."""

    def __init__(self) -> None:
        self.noted: list[Any] = []

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        self.noted.append(request.id)


def event(text: str) -> bytes:
    return b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % text.encode()


def test_each_event_of_twenty_streams_leaves_alone_beside_a_client_that_does_not_read() -> None:
    engines, many = Engines(), 20
    with running_router(engines) as (scene, _):
        readers = {
            f"s{n}": Reader(scene.client().send(ask(X_Correlation_Id=f"s{n}", X_Session_Key=f"{n + 1:x}")))
            for n in range(many)
        }
        scene.client().send(ask(X_Correlation_Id="slow", X_Session_Key="ff"))
        wait_until(lambda: len(engines.socks) == many + 1)
        flood = gevent.spawn(engines.write, "slow", chunk(event("x" * 60_000)) * 1000)  # 60 MB
        # All buffers on the way are full: the router waits for the client, and so does the engine.
        wait_until(
            lambda: any(client.writing_since for client in scene.inbound._clients) and not flood.ready()
        )
        for k, name in itertools.product(range(10), readers):
            told = event(f"{name}-{k}")
            engines.write(name, chunk(told))  # the last event of every other stream has arrived
            assert readers[name].read(len(told)) == told
        for name, reader in readers.items():
            assert reader.pieces() == 11, f"{name}: the head, and a chunk for each event"
        assert not flood.ready() and scene.host.is_open("slow")
        flood.kill()


@pytest.mark.parametrize(("size", "rounds"), [(60, 300), (2 * http1.LONG_READ_BYTES, 30)])
def test_an_engine_that_floods_does_not_hold_up_the_events_of_others(size: int, rounds: int) -> None:
    """Of an engine whose next bytes are there before they are asked for, no read ever waits."""
    engines = Engines()

    class Flood(Order):
        def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
            super().parts_forwarded(request, parts)
            if request.id == "flood" and self.noted.count("flood") <= rounds:
                engines.write("flood", chunk(event("x" * size)))  # there before the router reads again
                if self.noted.count("flood") == 1:
                    engines.write("other", chunk(event("a")))

    with running_router(engines) as (scene, _):
        order = Flood()
        readers = {
            name: Reader(scene.client().send(ask(X_Correlation_Id=name, X_Session_Key=name.encode().hex())))
            for name in ("flood", "other")
        }
        wait_until(lambda: len(engines.socks) == 2)
        scene.host.observers.add(order)
        engines.write("flood", chunk(event("x" * size)))
        assert readers["other"].read(len(event("a"))) == event("a")
        wait_until(lambda: order.noted.count("flood") > rounds)
        assert order.noted.index("other") <= 2 * READS_PER_TURN


def test_events_leave_between_hundreds_of_decisions() -> None:
    """All requests wait for the decisions when an event comes, which leaves before they are through."""
    engines, many = Engines(), 8 * MAX_EVENTS_PER_TURN
    with running_router(engines) as (scene, _):
        order, held, through = Order(), Event(), Event()
        reader = Reader(scene.client().send(ask(X_Correlation_Id="stream")))
        wait_until(lambda: "stream" in engines.socks)
        scene.host.observers.add(order)
        handle = scene.host._router.handle

        def deciding(now: float, events: list[i.Event]) -> list[i.Action]:
            if not through.is_set():  # an event that is set may let others run, too
                held.set()
                through.wait()
            arrived = sum(isinstance(one, i.RequestArrived) for one in events)
            if arrived > 1 and "decided" not in order.noted:
                engines.write("stream", chunk(event("a")))
            order.noted += ["decided"] * (arrived > 1)
            assert len(events) <= MAX_EVENTS_PER_TURN
            return handle(now, events)  # type: ignore[no-any-return]

        scene.host._router.handle = deciding
        scene.client().send(ask(X_Correlation_Id="first"))
        held.wait()
        for n in range(many):
            scene.client().send(ask(X_Correlation_Id=f"r{n}"))
        wait_until(lambda: sum(isinstance(one, i.RequestArrived) for one in scene.host._inbox) == many)
        through.set()
        assert reader.read(len(event("a"))) == event("a")
        wait_until(lambda: order.noted.count("decided") >= many // MAX_EVENTS_PER_TURN)
        assert order.noted.index("stream") <= 3


def test_events_leave_between_hundreds_of_timers() -> None:
    """Hundreds of requests reach their time in one tick; an event that comes then leaves in between."""
    engines, many = Engines(), 8 * MAX_EVENTS_PER_TURN
    with running_router(engines) as (scene, _):
        order = Order()
        reader = Reader(scene.client().send(ask(X_Correlation_Id="stream")))
        wait_until(lambda: "stream" in engines.socks)
        scene.host.observers.add(order)

        def fire() -> None:
            if "timer" not in order.noted:
                engines.write("stream", chunk(event("a")))
            order.noted.append("timer")

        for _ in range(many):
            scene.host._call_at(scene.host.now(), fire)
        scene.host._wake.set()
        assert reader.read(len(event("a"))) == event("a")
        wait_until(lambda: order.noted.count("timer") == many)
        assert order.noted.index("stream") <= 3 * MAX_EVENTS_PER_TURN


LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 5000\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "pieces"),
    [
        # An event whole inside a chunk that is not, then one over two chunks, and line ends that come late.
        (STREAM_HEAD, [(b"20\r\ndata: one\n\n", b"data: one\n\n"), (b"data: two\n\n", b"data: two\n\n")]),
        # Only the first event waits to be whole: until then another attempt may still serve the request.
        (STREAM_HEAD, [(b"5\r\ndata:", b""), (b"\r\n6\r\n one\n\n", b"data: one\n\n")]),
        (STREAM_HEAD, [(b"b\r\ndata: one\n\n", b"data: one\n\n"), (b"\r\n5\r\ndata:", b"data:")]),
        (
            STREAM_HEAD,
            [(b"b\r\ndata: one\n\n\r", b"data: one\n\n"), (b"\nb\r\ndata: two\n\n", b"data: two\n\n")],
        ),
        (STREAM_HEAD, [(b"b;x=y\r\ndata: one\n\n\r\nb", b"data: one\n\n"), (b"\r\nd", b"d")]),
        (LENGTH, [(b"data: one\n\n", b"data: one\n\n"), (b"data: tw", b"data: tw"), (b"o\n\n", b"o\n\n")]),
    ],
)
def test_events_leave_in_whatever_pieces_they_come(head: bytes, pieces: list[tuple[bytes, bytes]]) -> None:
    """Ruled out: no byte of a body waits for the end of its chunk, nor for the line end after it."""
    engines = Engines(head)
    with running_router(engines) as (scene, _):
        reader = Reader(scene.client().send(ask(X_Correlation_Id="s")))
        wait_until(lambda: engines.socks)
        for written, told in pieces:
            engines.write("s", written)
            assert reader.read(len(told)) == told


def test_no_connection_holds_small_writes_back() -> None:
    """Ruled out: TCP_NODELAY is set on what is opened and accepted, also where nobody sets it after that.

    What another process hands over is the same connection in the kernel, with the options that it had.
    """

    class Delays(Observer):
        def __init__(self) -> None:
            self.options: list[int] = []
            self.socks: list[Any] = []

        def connection_opened(self, opened: OpenConnection) -> None:
            self.socks.append(opened.sock)

        def attempt_sent(self, attempt: Attempt) -> None:
            self.options += [sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for sock in self.socks]

    engines = Engines()
    with running_router(engines) as (scene, _):
        delays = Delays()
        scene.host.observers.add(delays)
        scene.client().send(ask())
        wait_until(lambda: delays.options)
        assert len(delays.options) == 2 and all(delays.options)
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


def fill(writer: int) -> None:
    """Another process's lines, until the pipe takes no more."""
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4095 + b"\n")
    except BlockingIOError:
        os.set_blocking(writer, True)


def returns(call: Callable[[], object]) -> bool:
    """Whether a call comes back; one that would hold the whole process stays behind in its thread."""
    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    thread.join(20)
    return not thread.is_alive()


def told(reader: int) -> list[str]:
    """The events among the lines that stand in a pipe."""
    os.set_blocking(reader, False)
    try:
        lines = os.read(reader, 1 << 20).splitlines()
    except BlockingIOError:
        return []
    return [orjson.loads(line)["event"] for line in lines if line.startswith(b"{")]


def test_a_log_that_another_process_fills_holds_nothing_up(pipe: tuple[int, int]) -> None:
    """The pipe is filled between the look at it and the write: two processes of a router share their log."""
    reader, writer = pipe
    log = Log(writer)
    look = log._poll

    class Filled:
        def poll(self, wait_ms: int) -> object:
            room = look.poll(wait_ms)
            fill(writer)
            return room

    log._lines.append(log._line("started", "info", {}))
    log._held = len(log._lines[0])
    log._poll = Filled()  # type: ignore[assignment]
    assert returns(log._write_some)
    assert told(reader) == [] and len(log._lines) == 1
    log._poll = look
    assert log._write_some() and told(reader) == ["started"] and log._held == 0


def test_a_log_that_nobody_reads_does_not_keep_the_program_from_starting(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    fill(writer)
    log = Log(writer)
    assert returns(lambda: log.write("destinations", {})) and returns(lambda: log.write("started", {}))
    log.start()
    gevent.sleep(0)
    assert told(reader) == []  # it is read again from here on
    wait_until(lambda: not log._lines)
    assert told(reader) == ["destinations", "started"]
    log.stop()
