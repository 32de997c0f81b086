"""Each request read is answered; requests that can't be answered any more stay unread in the kernel.

The order of events is forced by events, scripted engines and checks of the kernel's buffers, never by time.
"""

from __future__ import annotations

import select
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.net import client as client_module
from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.client import ClientConnection as InboundClient
from spoolbarrow.net.http1 import Message, RequestParser
from spoolbarrow.net.overflow import Overflow
from spoolbarrow.net.request_parser import HEAD_READ_BYTES
from tests.router_harness import (
    EVENTS,
    LISTEN,
    STREAM_HEAD,
    chunk,
    close_after_answers,
    running_router,
    serve_all,
    wait_until,
)
from tests.router_harness import ask as asked
from tests.test_client_races import all_of, the_client

UP = b"GET /up HTTP/1.1\r\n\r\n"
NEVER = 600_000.0
MALFORMED = b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"  # starts like a request
NO_REQUEST = b'"more":1}'  # the rest of a body whose Content-Length was too small


def ask(name: str, **headers: str) -> bytes:
    return asked(**{"X_Correlation_Id": name, **headers})  # type: ignore[arg-type]


def served_after(go: Event) -> Any:
    """An engine that answers after `go`."""

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    return wait


def names(engine: Any) -> list[bytes]:
    return [message.fields[b"x-correlation-id"] for message in engine.requests]


def statuses(client: Any) -> list[int]:
    """The status codes of all responses until the connection is closed."""
    return [int(part[:3]) for part in all_of(client).split(b"HTTP/1.1 ")[1:]]


def polls() -> None:
    """Let the event loop poll its sockets and run the greenlets that it wakes."""
    for _ in range(10):
        gevent.sleep(0.002)


def read_or_unread(inside: InboundClient) -> bool:
    """Whether input has arrived, read or unread."""
    return inside.has_unread() or bool(inside.input.parser.complete) or inside.input.parser.reading


# The kernel


@pytest.mark.parametrize("ended", [True, False])
def test_after_a_reset_over_unread_input_the_peer_can_read_acknowledged_data(ended: bool) -> None:
    """Closing connections relies on this behaviour of the kernel."""
    with socket.socket() as listener:
        listener.bind((LISTEN, 0))
        listener.listen()
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    with near, far:
        far.sendall(b"answer")
        if ended:
            far.shutdown(socket.SHUT_WR)
        near.sendall(b"crossing")
        wait_until(lambda: http1.poll_now(far, select.POLLIN) and not tcpinfo.has_unacknowledged(far))
        far.close()
        wait_until(lambda: http1.poll_now(near, select.POLLIN) & (select.POLLHUP | select.POLLERR))
        assert near.recv(100) == b"answer"
        if ended:
            assert near.recv(100) == b""  # no error: the FIN arrived before the reset
        else:
            with pytest.raises(ConnectionResetError):
                near.recv(100)


# The end of a connection


def test_a_request_that_crosses_the_last_response_is_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """It arrives while the response with `Connection: close` is written; the client sends it again."""
    with running_router(serve_all, options={"linger_ms": NEVER}) as (harness, engine):
        client = harness.client().send(UP)
        client.answer()
        inside = the_client(harness)
        wait_until(inside.idle)
        close_after_answers(harness)
        write, gate, came = inside.write, Event(), Event()

        def late(pieces: http1.Pieces) -> None:
            came.set()
            gate.wait()
            write(pieces)

        monkeypatch.setattr(http1, "send_available", lambda sock, pieces: list(pieces))  # the kernel is full
        inside.write = late  # type: ignore[method-assign]
        client.send(UP)
        came.wait()
        client.send(ask("crossing"))
        wait_until(lambda: read_or_unread(inside))
        polls()
        gate.set()
        wait_until(lambda: inside.lingering)
        polls()
        assert inside.has_unread() and not inside.input.parser.complete
        answer = client.answer()
        assert answer.status == 200 and answer.fields[b"connection"] == b"close" and client.ended()
        wait_until(lambda: not harness.inbound._clients)  # soon, although the client stays
        assert not engine.requests


def test_a_request_after_the_last_response_is_not_read() -> None:
    """The reader waits for input as the response ends, and must not read the input that wakes it."""
    with running_router(serve_all, options={"linger_ms": NEVER}) as (harness, engine):
        client = harness.client().send(ask("last", Connection="close"))
        inside = the_client(harness)
        wait_until(lambda: inside.lingering)
        client.send(ask("next"))
        wait_until(lambda: read_or_unread(inside))
        polls()
        assert inside.has_unread()
        assert client.answer().status == 200 and client.ended()
        wait_until(lambda: not harness.inbound._clients)
        assert names(engine) == [b"last"]


def test_a_request_that_crosses_a_408_is_not_read() -> None:
    """A new connection gets its 408 as its first request arrives."""
    with running_router(serve_all, options={"linger_ms": NEVER}) as (harness, engine):
        client = harness.client()
        inside = the_client(harness)
        inside.time_out()
        wait_until(lambda: inside.lingering)
        client.send(ask("late"))
        wait_until(lambda: read_or_unread(inside))
        polls()
        assert inside.has_unread()
        assert client.answer().status == 408 and client.ended()
        assert not engine.requests


def test_only_the_rest_of_a_refused_body_is_discarded() -> None:
    """If it stayed unread, the client might never read the response; data after it stays unread."""
    with running_router(serve_all, options={"linger_ms": NEVER}) as (harness, engine):
        raw = asked(b"x" * 300_000)
        client = harness.client().send(raw[:-1000])
        inside = the_client(harness)
        wait_until(lambda: inside.lingering)
        client.send(raw[-1000:] + ask("next"))
        wait_until(lambda: unread(inside) == ask("next"))
        polls()
        assert unread(inside) == ask("next")
        got = all_of(client)
        assert got.startswith(b"HTTP/1.1 413 ") and got.count(b"HTTP/1.1 ") == 1 and not engine.requests


def unread(inside: InboundClient) -> bytes:
    """The unread input in the kernel."""
    return inside.sock.recv(65536, socket.MSG_PEEK) if inside.has_unread() else b""


@pytest.mark.parametrize("behind", [ask("next"), ask("next")[:40]])
def test_input_during_a_stream_stays_unread_if_the_stream_breaks(behind: bytes) -> None:
    go = Event()

    def half(sock: socket.socket, message: Message) -> bool:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        return go.wait()

    with running_router(half, options={"linger_ms": NEVER}) as (harness, engine):
        client = harness.client().send(ask("first"))
        inside = the_client(harness)
        wait_until(lambda: harness.events_of(i.StreamStarted))
        client.send(behind)
        wait_until(lambda: read_or_unread(inside))
        polls()
        assert unread(inside) == behind
        go.set()
        got = all_of(client)
        assert EVENTS[0] in got and not got.endswith(b"0\r\n\r\n")
        wait_until(lambda: not harness.inbound._clients)
        assert names(engine) == [b"first"]


def test_a_connection_without_room_is_refused_unread() -> None:
    """Two requests are unread: one is answered, neither is read."""
    with socket.socket() as listener:
        listener.bind((LISTEN, 0))
        listener.listen()
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    with near, far:
        near.sendall(ask("one") + ask("two"))
        wait_until(lambda: http1.poll_now(far, select.POLLIN))
        overflow = Overflow()
        overflow.refuse(far, 0.0)
        far.settimeout(0.0)
        assert far.recv(65536, socket.MSG_PEEK) == ask("one") + ask("two")
        wait_until(lambda: not tcpinfo.has_unacknowledged(far))
        overflow.close()
        got = b""
        while data := near.recv(65536):
            got += data
        assert got.startswith(b"HTTP/1.1 503 ") and got.count(b"HTTP/1.1 ") == 1


# Requests read together


def test_requests_read_after_a_rejected_one_have_their_own_responses() -> None:
    with running_router(serve_all) as (harness, engine):
        client = harness.client()
        client.send(b"GET /nowhere HTTP/1.1\r\n\r\n" + ask("a") + ask("b", X_Account="nobody") + ask("c"))
        assert statuses(client) == [404, 200, 400, 200]  # then it is closed
        assert names(engine) == [b"a", b"c"]


def test_a_request_read_after_one_that_an_endpoint_rejects_has_its_own_response() -> None:
    def script(sock: socket.socket, message: Message) -> None:
        if message.fields[b"x-correlation-id"] == b"bad":
            sock.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
        else:
            serve_all(sock, message)

    with running_router(script) as (harness, engine):
        client = harness.client().send(ask("bad") + ask("good"))
        assert statuses(client) == [400, 200] and names(engine) == [b"bad", b"good"]


def test_requests_read_before_a_malformed_one_have_their_own_responses() -> None:
    with running_router(serve_all) as (harness, engine):
        client = harness.client().send(ask("a") + ask("b") + MALFORMED)
        assert statuses(client) == [200, 200, 400] and names(engine) == [b"a", b"b"]


def test_a_request_followed_by_data_that_starts_no_request_is_malformed() -> None:
    """Its Content-Length is too small, so it must not reach an engine; the one before it is valid."""
    with running_router(serve_all) as (harness, engine):
        client = harness.client().send(ask("a") + ask("b") + NO_REQUEST)
        assert statuses(client) == [200, 400] and names(engine) == [b"a"]


@pytest.mark.parametrize("behind", [MALFORMED, NO_REQUEST])
def test_a_request_sent_to_an_engine_has_its_own_response_whatever_follows(behind: bytes) -> None:
    go = Event()
    with running_router(served_after(go)) as (harness, engine):
        client = harness.client().send(ask("a"))
        wait_until(lambda: engine.requests)
        client.send(behind)
        wait_until(lambda: read_or_unread(the_client(harness)) or harness.events_of(i.RequestGone))
        polls()
        go.set()
        assert statuses(client) == [200, 400] and names(engine) == [b"a"]


def test_unread_data_that_starts_no_request_invalidates_the_request_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The read ended at the request's Content-Length; the rest of the body arrives before admission."""
    admit = client_module.admit

    def late(inside: InboundClient, *given: Any) -> None:
        client.send(NO_REQUEST)
        watched = select.poll()
        watched.register(inside.sock.fileno(), select.POLLIN)
        assert watched.poll(20_000)  # no other greenlet runs meanwhile
        admit(inside, *given)

    monkeypatch.setattr(client_module, "admit", late)
    with running_router(serve_all) as (harness, engine):
        client = harness.client().send(ask("a"))
        assert statuses(client) == [400] and not engine.requests and not harness.events_of(i.RequestArrived)


@pytest.mark.parametrize("behind, answers", [(ask("b"), [200]), (MALFORMED, [200]), (NO_REQUEST, [400])])
def test_data_after_a_request_with_connection_close_is_no_request(behind: bytes, answers: list[int]) -> None:
    """Unless it shows that the request itself was truncated."""
    with running_router(serve_all) as (harness, engine):
        client = harness.client().send(ask("a", Connection="close") + behind)
        assert statuses(client) == answers and names(engine) == [b"a"] * (answers == [200])


def test_an_internal_error_leaves_requests_read_before_it_their_responses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    feed = RequestParser.feed

    def fails(parser: RequestParser, data: memoryview) -> None:
        feed(parser, data)
        if parser is inside.input.parser and parser.reading:
            raise ZeroDivisionError

    go = Event()
    with running_router(served_after(go)) as (harness, engine):
        client = harness.client().send(ask("a"))
        wait_until(lambda: engine.requests)
        inside = the_client(harness)
        monkeypatch.setattr(RequestParser, "feed", fails)
        client.send(ask("b") + b"POST ")
        wait_until(lambda: read_or_unread(inside))
        polls()
        go.set()
        assert statuses(client) == [200, 200, 500]


def test_an_internal_error_while_peeking_leaves_the_request_in_flight_its_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    go, met = Event(), Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    def fails(data: bytes) -> bool:
        met.set()
        raise ZeroDivisionError

    monkeypatch.setattr(http1, "may_begin_request", fails)
    with running_router(wait) as (harness, engine):
        client = harness.client().send(ask("a"))
        wait_until(lambda: engine.requests)
        client.send(ask("b"))
        met.wait()
        polls()
        go.set()
        assert statuses(client) == [200, 500]


@pytest.mark.parametrize("by_call", [True, False])
def test_requests_read_together_are_answered_during_a_drain(by_call: bool) -> None:
    with running_router(serve_all) as (harness, engine):
        if by_call:
            harness.inbound.begin_operator_drain()
        else:
            close_after_answers(harness)
        client = harness.client().send(ask("a") + ask("b") + ask("c"))
        assert statuses(client) == [200] * 3 and names(engine) == [b"a", b"b", b"c"]


def test_little_of_a_rejected_flood_is_read_and_that_is_answered() -> None:
    """Each request read must be answered; the rest of a flood stays unread after its first response."""
    with running_router(serve_all) as (harness, engine):
        one = ask("flood", X_Service_Class="unknown")
        client = harness.client().send(one * 500)
        answered = statuses(client)
        assert set(answered) == {400} and len(answered) <= 1 + HEAD_READ_BYTES // len(one)
        assert not engine.requests
