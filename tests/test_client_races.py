"""What comes between two lines of a client's connection: its bytes, its end, a drain, another write.

Each order is forced by a gate (a hook at the yield, or what the kernel is seen to hold), not by time.
"""

from __future__ import annotations

import os
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.net import connection_handover, http1
from spoolbarrow.net.client import ClientConnection as InboundClient
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.request import Attempt
from tests.router_harness import (
    EVENTS,
    STREAM_HEAD,
    Client,
    ask,
    chunk,
    running_router,
    serve_all,
    wait_until,
)
from tests.test_client_disconnects import DISCONNECTS

END = b"0\r\n\r\n"


def the_client(scene: Any) -> InboundClient:
    """The router's side of the only client's connection."""
    inside: InboundClient | None = wait_until(lambda: next(iter(scene.inbound._clients), None))
    assert inside is not None
    return inside


def all_of(client: Client) -> bytes:
    """What comes until the connection ends; ConnectionResetError where it is reset."""
    got = b""
    while data := client.sock.recv(65536):
        got += data
    return got


@pytest.mark.parametrize("event_first", [True, False])
def test_an_event_that_is_read_after_its_stream_was_broken_off_goes_nowhere(
    event_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine's next event, or its end, is read after a drain broke the stream off.

    Its greenlet is ended later. An event can't be written any more. That is no sign that the client has gone:
    its connection is closed only after it has taken in what was written before. The end alone writes nothing,
    which holds without a change.
    """

    def half(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(b"data: late\n\n") if event_first else END)

    go = Event()
    monkeypatch.setattr(Attempt, "stop", lambda attempt: None)
    with running_router(half) as (scene, _):
        client = scene.client().send(ask())
        inside = the_client(scene)
        wait_until(lambda: scene.events_of(i.StreamStarted))
        (request,) = scene.host._requests.values()
        (attempt,) = request.attempts
        client.send(b"".join(ask(X_Correlation_Id=str(n)) for n in range(5)) + b"POST")
        wait_until(inside.has_unread)
        scene.host.move_streams()
        assert inside.lingering and not inside._closed
        go.set()
        attempt.greenlet.join()
        assert not inside._closed
        got = all_of(client)
        assert EVENTS[0] in got and b"late" not in got and not got.endswith(END)


def test_no_room_for_a_request_leaves_those_before_it_their_own_answers() -> None:
    """A whole request and half of one come behind one that an engine has, as memory runs out.

    Refused in their place, a client would take a 503 for the answer of a request that may have run.
    """
    go = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(wait, limits={"memory_mb": 0.01}) as (scene, engine):
        client = scene.client().send(ask(X_Correlation_Id="first"))
        wait_until(lambda: engine.requests)
        inside = the_client(scene)
        behind = ask(X_Correlation_Id="second") + ask(b"x" * 60_000, X_Correlation_Id="third")[:-1]
        client.send(behind)
        wait_until(inside.has_unread)
        assert not inside._parser.complete and not scene.events_of(i.RequestGone)
        go.set()
        assert client.answer().status == 200
        wait_until(lambda: inside._parser.error)
        for _ in range(2):
            answer = client.answer()
            assert answer.status == 503 and float(answer.fields[b"retry-after"]) > 0
        assert client.ended()
        assert [m.fields[b"x-correlation-id"] for m in engine.requests] == [b"first"]


@DISCONNECTS
def test_a_client_that_goes_behind_a_malformed_request_is_noticed(go: Any) -> None:
    """What follows a fault is not read, its end neither; the request before it still waits for its engine."""

    def silent(sock: socket.socket, message: Message) -> None:
        """Say nothing."""

    with running_router(silent) as (scene, engine):
        client = scene.client().send(ask() + b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
        wait_until(lambda: engine.requests)
        assert the_client(scene)._parser.error
        go(client)
        wait_until(lambda: scene.events_of(i.RequestGone) and scene.host.open_requests() == 0)
        wait_until(lambda: not scene.inbound._clients)


def test_a_request_that_asks_for_a_go_ahead_after_the_last_answer_does_not_reset_it() -> None:
    """Its head comes after this side's end: a go-ahead can't be written, the answer may be on its way."""

    def reject(sock: socket.socket, message: Message) -> None:
        sock.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

    with running_router(reject) as (scene, engine):
        client = scene.client().send(ask())
        inside = the_client(scene)
        wait_until(lambda: inside.lingering)
        client.send(ask(Expect="100-continue").removesuffix(b'{"model":"chat"}'))
        wait_until(lambda: inside._closed or inside.has_unread())
        assert not inside._parser.reading
        assert client.answer().status == 400 and client.ended()
        client.sock.close()
        wait_until(lambda: not scene.inbound._clients)
        assert len(engine.requests) == 1


@pytest.mark.parametrize("pieces", [1, 2])
def test_a_go_ahead_that_was_asked_for_while_an_answer_was_under_way_is_given_after_it(pieces: int) -> None:
    """Its head came behind a request, or behind two, and its sender waits for the word before the body."""
    go = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(wait) as (scene, engine):
        client = scene.client()
        for n in range(pieces):
            client.send(ask(X_Correlation_Id=str(n)))
        client.send(ask(Expect="100-continue").removesuffix(b'{"model":"chat"}'))
        inside = the_client(scene)
        wait_until(lambda: engine.requests and inside._parser.reading)
        go.set()
        assert [client.answer().status for _ in range(pieces)] == [200] * pieces
        assert client.sock.recv(25, socket.MSG_WAITALL) == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert client.send(b'{"model":"chat"}').answer().status == 200


def test_nothing_else_is_written_while_a_go_ahead_is(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client takes in nothing, so that it waits, and its request's time to become whole runs out."""
    go, waits = Event(), Event()
    send = http1.send_pieces

    def late(sock: socket.socket, pieces: Any) -> None:
        if b"100 Continue" in b"".join(pieces):
            waits.set()
            go.wait()
        send(sock, pieces)

    monkeypatch.setattr(http1, "send_pieces", late)
    with running_router(serve_all) as (scene, _):
        client = scene.client().send(ask(Expect="100-continue").removesuffix(b'{"model":"chat"}'))
        waits.wait()
        inside = the_client(scene)
        inside.time_out()
        gevent.idle()  # whoever would write has had a turn
        go.set()
        assert client.sock.recv(25, socket.MSG_WAITALL) == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert client.answer().status == 408 and client.ended()


def read_as_its_reader_ends(inside: InboundClient, client: Client, raw: bytes, read: Any) -> Event:
    """Have the reader read these bytes after it was looked whether there are any, before it is ended.

    What is returned tells that it was ended.
    """
    reader, ended = inside.reader, Event()
    assert reader is not None
    kill = reader.kill

    def late(*given: Any, **named: Any) -> None:
        client.send(raw)
        wait_until(read)
        kill(*given, **named)
        ended.set()

    reader.kill = late  # type: ignore[method-assign]
    return ended


class Newer:
    """Another process that takes whatever it is given; the client's connection is the first descriptor."""

    def __init__(self) -> None:
        self.taken: list[socket.socket] = []

    def take(self, text: bytes, descriptors: Any) -> bool:
        self.taken.append(socket.socket(fileno=os.dup(descriptors[0])))
        return True


def test_a_request_that_is_read_as_its_idle_connection_is_passed_on_is_answered_here() -> None:
    """Its reader is ended by a callback of the event loop, which may poll, and so read, before that."""
    go, newer = Event(), Newer()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(wait) as (scene, engine):
        client = scene.client().send(b"GET /up HTTP/1.1\r\n\r\n")
        assert client.answer().status == 200
        inside = the_client(scene)
        wait_until(inside.idle)
        read_as_its_reader_ends(inside, client, ask(), lambda: engine.requests)
        assert not connection_handover.send_idle(inside, newer.take)
        go.set()
        assert not newer.taken and client.answer().status == 200
        assert client.send(ask(X_Correlation_Id="next")).answer().status == 200  # it is read again


@pytest.mark.parametrize("raw", [ask(X_Correlation_Id="next"), ask(X_Correlation_Id="next")[:40]])
@pytest.mark.parametrize("moment", ["before", "as its reader ends"])
def test_what_comes_behind_a_stream_that_is_passed_on_goes_along_unread(raw: bytes, moment: str) -> None:
    go, newer = Event(), Newer()

    def in_three(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(EVENTS[1]))

    with running_router(in_three) as (scene, _):
        client = scene.client().send(ask())
        inside = the_client(scene)
        wait_until(lambda: scene.events_of(i.StreamStarted))
        if moment == "before":
            client.send(raw)
            wait_until(inside.has_unread)
        else:
            read_as_its_reader_ends(inside, client, raw, inside.has_unread)
        scene.host.hand_over = lambda underway: connection_handover.send_stream(
            scene.host, underway, newer.take
        )
        go.set()
        wait_until(lambda: newer.taken and inside not in scene.inbound._clients)
        with newer.taken[0] as passed:
            passed.settimeout(20)
            assert passed.recv(65536) == raw


@pytest.mark.parametrize("behind", [b"\x00nonsense\r\n\r\n", b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"])
def test_an_engines_answer_is_its_clients_whatever_the_client_sent_behind_the_request(behind: bytes) -> None:
    """What follows the request can't be read, and its client is told so in its turn."""
    go = Event()

    def late(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(late) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        client.send(behind)
        inside = the_client(scene)
        wait_until(lambda: inside._parser.error or inside.has_unread())
        go.set()
        answer = client.answer()
        assert answer.status == 200 and not scene.events_of(i.RequestGone)
        got = all_of(client)
        assert got.startswith(b"HTTP/1.1 400 ") and got.count(b"HTTP/1.1 ") == 1 and b"data:" not in got
