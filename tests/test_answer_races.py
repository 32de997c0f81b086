"""What comes between two lines of an attempt: its client's end, the deadline, a list, an engine's close.

Each order is forced by a gate (a peer that stops at a byte, a hook at the yield), not by time.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.config import HostList, ListEntry
from spoolbarrow.net import http1
from spoolbarrow.net.http1 import Message, RequestParser
from tests.stage import (
    EVENTS,
    HEAD,
    Stage,
    ask,
    chunk,
    entry,
    make_config,
    serve_all,
    stage,
    until,
)
from tests.test_gone import ENDS

END = b"0\r\n\r\n"
WHOLE = HEAD + b"".join(map(chunk, EVENTS)) + END
LONG = b"x" * 200_000  # a body that an engine which reads nothing does not take in whole
SMALL = 4096  # bytes of a socket's buffer
RESTARTED = 1000.0  # Unix ms: another start than the one listed before, and so long ago that it is not cold


def outcomes(scene: Any) -> list[i.Outcome]:
    return [event.outcome for event in scene.heard(i.AttemptEnded)]


@contextmanager
def unread_engine(monkeypatch: pytest.MonkeyPatch, cancelling: bool) -> Iterator[tuple[Any, socket.socket]]:
    """A router before an engine whose window is full after some of a long request."""
    connect = http1.connect

    def with_small_buffer(address: Any, timeout_s: float) -> socket.socket:
        sock = connect(address, timeout_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
        return sock

    with socket.socket() as machine:
        machine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        machine.bind(("127.0.0.1", 0))
        machine.listen(1)
        settings = make_config([])["settings"]
        settings["Limits"]["Cancelling"] = cancelling
        monkeypatch.setattr(http1, "connect", with_small_buffer)
        scene = Stage(make_config([entry("e0", machine.getsockname()[1])], settings=settings))
        try:
            yield scene, machine
        finally:
            scene.inbound.close()
            scene.host.stop()


def stuck(sock: socket.socket) -> bool:
    """Whether this connection has come to a stop with more to read than its window takes."""
    return bool(sock.recv(1, socket.MSG_PEEK))


def rest_of(sock: socket.socket) -> RequestParser:
    """All that still comes, parsed; until the other side ends it."""
    parser = RequestParser(16384, 262144)
    while True:
        try:
            data = sock.recv(65536)
        except ConnectionResetError:
            return parser
        if not data:
            return parser
        parser.feed(memoryview(data))


@ENDS
@pytest.mark.parametrize("cancelling", [True, False])
def test_a_request_half_written_is_not_written_whole_for_a_client_that_has_gone(
    cancelling: bool, go: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine reads on only after the client's end was heard; it must never have the whole of it."""
    with unread_engine(monkeypatch, cancelling) as (scene, machine):
        client = scene.client().send(ask(LONG))
        engine, _ = machine.accept()
        until(lambda: stuck(engine))
        go(client)
        until(lambda: scene.heard(i.RequestGone))
        assert not rest_of(engine).whole
        until(lambda: scene.host.open_requests() == 0)


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_request_half_written_is_not_written_whole_after_it_was_refused(
    cancelling: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A drain tells its client that no engine can have run it; the engine reads on only then."""
    with unread_engine(monkeypatch, cancelling) as (scene, machine):
        client = scene.client().send(ask(LONG))
        engine, _ = machine.accept()
        until(lambda: stuck(engine))
        scene.host.answer_all(100.0)
        assert client.answer().status == 503
        assert not rest_of(engine).whole
        until(lambda: scene.host.open_requests() == 0)
        until(lambda: outcomes(scene))
        assert outcomes(scene)[0] in i.NEVER_RAN | {i.Outcome.CANCELLED}


def test_a_long_request_that_an_engine_reads_slowly_is_written_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    with unread_engine(monkeypatch, True) as (scene, machine):
        client = scene.client().send(ask(LONG))
        engine, _ = machine.accept()
        until(lambda: stuck(engine))
        parser = RequestParser(16384, 262144)
        while not parser.whole:
            parser.feed(memoryview(engine.recv(65536)))
        assert parser.whole[0].body == LONG
        engine.sendall(WHOLE)
        assert client.answer().status == 200


def news(scene: Any, *lines: ListEntry) -> None:
    """Discovery says this now."""
    scene.host.destinations._news(HostList(100, False, list(lines)))


def line(name: str, port: int, since_ms: float = 0.0) -> ListEntry:
    return ListEntry(name, f"127.0.0.1:{port}", "a", "m", since_ms=since_ms)


@pytest.mark.parametrize("probe", [False, True])
def test_a_connection_is_not_kept_where_its_engine_was_restarted_in_place(probe: bool) -> None:
    """The list tells of the restart while the connection is in use: it leads to the process before."""
    go = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with stage(wait) as (scene, engine):
        if probe:
            scene.host.endpoints().probe("e0")
        else:
            client = scene.client().send(ask())
        until(lambda: engine.requests)
        news(scene, line("e0", engine.port, since_ms=RESTARTED))
        go.set()
        if not probe:
            assert client.answer().status == 200
        until(lambda: engine.ends == 1)  # it was closed
        assert scene.client().send(ask(X_Correlation_Id="next")).answer().status == 200
        assert engine.connections == 2


@pytest.mark.parametrize("moved", [True, False])
def test_nothing_is_written_to_an_engine_that_was_replaced_while_its_connection_came_up(
    moved: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its name now stands for another process, at another address or at the same one."""
    connect = http1.connect

    def late(address: Any, timeout_s: float) -> socket.socket:
        sock = connect(address, timeout_s)
        if address[1] == old.port and not told:
            told.append(True)
            news(scene, line("e0", new.port if moved else old.port, since_ms=RESTARTED))
        return sock

    told: list[bool] = []
    with stage(serve_all, serve_all) as (scene, old, new):
        news(scene, ListEntry("e1", f"127.0.0.1:{new.port}", "a", "m", status="terminated"))
        monkeypatch.setattr(http1, "connect", late)
        scene.client().send(ask()).answer()
        until(lambda: old.ends == 1)
        assert told and not old.requests and outcomes(scene)[0] is i.Outcome.UNREACHABLE


def test_a_stream_that_was_taken_over_does_not_keep_a_connection_to_where_its_engine_was() -> None:
    """The endpoint moved before the stream came to this process: its connection leads to the old address."""
    with stage(serve_all, serve_all) as (scene, old, new):
        news(scene, line("e0", new.port))
        sock = socket.create_connection(("127.0.0.1", old.port))
        pool = scene.host.endpoints()._pool
        pool.give_back(pool.adopt("e0", sock))
        until(lambda: old.ends == 1)
        assert not pool._idle.get("e0")
