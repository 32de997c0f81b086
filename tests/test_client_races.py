"""Races on a client connection: input, a disconnect, a drain or another write between two steps.

Each order of events is forced by a hook at the yield or by checking the kernel's buffers, not by time.
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


def the_client(harness: Any) -> InboundClient:
    """The router's side of the only client connection."""
    inside: InboundClient | None = wait_until(lambda: next(iter(harness.inbound._clients), None))
    assert inside is not None
    return inside


def all_of(client: Client) -> bytes:
    """All data until the connection is closed; ConnectionResetError if it is reset."""
    got = b""
    while data := client.sock.recv(65536):
        got += data
    return got


@pytest.mark.parametrize("event_first", [True, False])
def test_an_event_read_after_its_stream_was_broken_off_is_discarded(
    event_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine's next event, or its end, is read after a drain broke the stream off.

    The attempt's greenlet is killed later. An event can't be written any more, but this does not mean that
    the client has disconnected: its connection is closed only after it has received what was written before.
    The end alone writes nothing.
    """

    def half(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(b"data: late\n\n") if event_first else END)

    go = Event()
    monkeypatch.setattr(Attempt, "stop", lambda attempt: None)
    with running_router(half) as (harness, _):
        client = harness.client().send(ask())
        inside = the_client(harness)
        wait_until(lambda: harness.events_of(i.StreamStarted))
        (request,) = harness.host._requests.values()
        (attempt,) = request.attempts
        client.send(b"".join(ask(X_Correlation_Id=str(n)) for n in range(5)) + b"POST")
        wait_until(inside.has_unread)
        harness.host.move_streams()
        assert inside.lingering and not inside._closed
        go.set()
        attempt.greenlet.join()
        assert not inside._closed
        got = all_of(client)
        assert EVENTS[0] in got and b"late" not in got and not got.endswith(END)


def test_refusing_a_request_for_lack_of_memory_leaves_earlier_ones_unaffected() -> None:
    """Memory runs out with each of one and a half requests after one that an engine has.

    If a 503 were sent early, the client would take it for the response of a request that may have run.
    """
    go = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(wait, limits={"memory_mb": 0.01}) as (harness, engine):
        client = harness.client().send(ask(X_Correlation_Id="first"))
        wait_until(lambda: engine.requests)
        inside = the_client(harness)
        behind = (
            ask(b"x" * 3000, X_Correlation_Id="second") + ask(b"x" * 60_000, X_Correlation_Id="third")[:-1]
        )
        client.send(behind)
        wait_until(inside.has_unread)
        assert not inside.input.parser.complete and not harness.events_of(i.RequestGone)
        go.set()
        assert client.answer().status == 200
        wait_until(lambda: inside.input.parser.error)
        for _ in range(2):
            answer = client.answer()
            assert answer.status == 503 and float(answer.fields[b"retry-after"]) > 0
        assert client.ended()
        assert [m.fields[b"x-correlation-id"] for m in engine.requests] == [b"first"]


@DISCONNECTS
def test_a_disconnect_after_a_malformed_request_is_noticed(go: Any) -> None:
    """Nothing after a parse error is read, not even the end; the request before it is still in flight."""

    def silent(sock: socket.socket, message: Message) -> None:
        """Never answer."""

    with running_router(silent) as (harness, engine):
        client = harness.client().send(ask() + b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
        wait_until(lambda: engine.requests)
        assert the_client(harness).input.parser.error
        go(client)
        wait_until(lambda: harness.events_of(i.RequestGone) and harness.host.open_requests() == 0)
        wait_until(lambda: not harness.inbound._clients)


def test_an_expect_continue_request_after_the_last_response_causes_no_reset() -> None:
    """Its head arrives after this side's half-close, when 100 Continue can't be written any more."""

    def reject(sock: socket.socket, message: Message) -> None:
        sock.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

    with running_router(reject) as (harness, engine):
        client = harness.client().send(ask())
        inside = the_client(harness)
        wait_until(lambda: inside.lingering)
        client.send(ask(Expect="100-continue").removesuffix(b'{"model":"chat"}'))
        wait_until(lambda: inside._closed or inside.has_unread())
        assert not inside.input.parser.reading
        assert client.answer().status == 400 and client.ended()
        client.sock.close()
        wait_until(lambda: not harness.inbound._clients)
        assert len(engine.requests) == 1


@pytest.mark.parametrize("pieces", [1, 2])
def test_100_continue_expected_during_a_response_is_sent_after_it(pieces: int) -> None:
    """The head followed one or two other requests, and the client waits for it before the body."""
    go = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(wait) as (harness, engine):
        client = harness.client()
        for n in range(pieces):
            client.send(ask(X_Correlation_Id=str(n)))
        client.send(ask(Expect="100-continue").removesuffix(b'{"model":"chat"}'))
        inside = the_client(harness)
        wait_until(lambda: engine.requests and inside.input.parser.reading)
        go.set()
        assert [client.answer().status for _ in range(pieces)] == [200] * pieces
        assert client.sock.recv(25, socket.MSG_WAITALL) == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert client.send(b'{"model":"chat"}').answer().status == 200


def test_no_other_response_is_written_during_100_continue(monkeypatch: pytest.MonkeyPatch) -> None:
    """The write blocks as the client does not read, and meanwhile the request's time-out expires."""
    go, waits = Event(), Event()
    send = http1.send_pieces

    def late(sock: socket.socket, pieces: Any) -> None:
        if b"100 Continue" in b"".join(pieces):
            waits.set()
            go.wait()
        send(sock, pieces)

    monkeypatch.setattr(http1, "send_pieces", late)
    with running_router(serve_all) as (harness, _):
        client = harness.client().send(ask(Expect="100-continue").removesuffix(b'{"model":"chat"}'))
        waits.wait()
        inside = the_client(harness)
        inside.time_out()
        gevent.idle()  # any other writer has run
        go.set()
        assert client.sock.recv(25, socket.MSG_WAITALL) == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert client.answer().status == 408 and client.ended()


def read_as_its_reader_ends(inside: InboundClient, client: Client, raw: bytes, read: Any) -> Event:
    """Have the reader read these bytes after the check for unread input and before it is killed.

    The event returned is set once the reader was killed.
    """
    stop, ended = inside.input.stop, Event()

    def late() -> None:
        inside.input.greenlet = gevent.spawn(inside.input.run)  # one that has just begun
        client.send(raw)
        wait_until(read)
        stop()
        ended.set()

    inside.input.stop = late  # type: ignore[method-assign]
    return ended


class Newer:
    """Another process that accepts every handover; the client connection is the first descriptor."""

    def __init__(self) -> None:
        self.taken: list[socket.socket] = []

    def take(self, text: bytes, descriptors: Any) -> bool:
        self.taken.append(socket.socket(fileno=os.dup(descriptors[0])))
        return True


def test_a_request_read_during_the_handover_of_its_idle_connection_is_answered_here() -> None:
    """The reader is killed by a callback of the event loop, which may poll, and thus read, before that."""
    go, newer = Event(), Newer()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(wait) as (harness, engine):
        client = harness.client().send(b"GET /up HTTP/1.1\r\n\r\n")
        assert client.answer().status == 200
        inside = the_client(harness)
        wait_until(inside.idle)
        read_as_its_reader_ends(inside, client, ask(), lambda: engine.requests)
        assert not connection_handover.send_idle(inside, newer.take)
        go.set()
        assert not newer.taken and client.answer().status == 200
        assert client.send(ask(X_Correlation_Id="next")).answer().status == 200  # it is read again


@pytest.mark.parametrize("raw", [ask(X_Correlation_Id="next"), ask(X_Correlation_Id="next")[:40]])
@pytest.mark.parametrize("moment", ["before", "as its reader ends"])
def test_input_after_a_stream_that_is_handed_over_goes_along_unread(raw: bytes, moment: str) -> None:
    go, newer = Event(), Newer()

    def in_three(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(EVENTS[1]))

    with running_router(in_three) as (harness, _):
        client = harness.client().send(ask())
        inside = the_client(harness)
        wait_until(lambda: harness.events_of(i.StreamStarted))
        if moment == "before":
            client.send(raw)
            wait_until(inside.has_unread)
        else:
            read_as_its_reader_ends(inside, client, raw, inside.has_unread)
        harness.host.hand_over = lambda underway: connection_handover.send_stream(
            harness.host, underway, newer.take
        )
        go.set()
        wait_until(lambda: newer.taken and inside not in harness.inbound._clients)
        with newer.taken[0] as adopted:
            adopted.settimeout(20)
            assert adopted.recv(65536) == raw


@pytest.mark.parametrize("behind", [b"\x00nonsense\r\n\r\n", b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"])
def test_a_client_gets_the_engines_response_whatever_it_sent_after_the_request(behind: bytes) -> None:
    """The data after the request is malformed, which the client is told after the response."""
    go = Event()

    def late(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(late) as (harness, engine):
        client = harness.client().send(ask())
        wait_until(lambda: engine.requests)
        client.send(behind)
        inside = the_client(harness)
        wait_until(lambda: inside.input.parser.error or inside.has_unread())
        go.set()
        answer = client.answer()
        assert answer.status == 200 and not harness.events_of(i.RequestGone)
        got = all_of(client)
        assert got.startswith(b"HTTP/1.1 400 ") and got.count(b"HTTP/1.1 ") == 1 and b"data:" not in got
