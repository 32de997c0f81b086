"""A request that was read has its answer; what can't be answered any more is left unread in the kernel.

The orders are forced by gates, scripted engines and what the kernel is seen to hold, never by time.
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
from spoolbarrow.net.client import FIRST_READ_BYTES
from spoolbarrow.net.client import ClientConnection as InboundClient
from spoolbarrow.net.http1 import Message, RequestParser
from spoolbarrow.net.overflow import Overflow
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
MALFORMED = b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"  # begins as a request does
NO_REQUEST = b'"more":1}'  # the rest of a body whose length was told too short


def ask(name: str, **headers: str) -> bytes:
    return asked(**{"X_Correlation_Id": name, **headers})  # type: ignore[arg-type]


def served_after(go: Event) -> Any:
    """An engine that answers once it may."""

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    return wait


def names(engine: Any) -> list[bytes]:
    return [message.fields[b"x-correlation-id"] for message in engine.requests]


def statuses(client: Any) -> list[int]:
    """Of all answers up to the end of the connection."""
    return [int(part[:3]) for part in all_of(client).split(b"HTTP/1.1 ")[1:]]


def polls() -> None:
    """Let the event loop see what the kernel has, and whatever it wakes run."""
    for _ in range(10):
        gevent.sleep(0.002)


def read_or_unread(inside: InboundClient) -> bool:
    """Whether something has come, taken out of the kernel or not."""
    return inside.has_unread() or bool(inside._parser.complete) or inside._parser.reading


# What the kernel does


@pytest.mark.parametrize("ended", [True, False])
def test_a_reset_over_unread_bytes_leaves_the_peer_what_it_has_acknowledged(ended: bool) -> None:
    """What the end of a connection relies on: pinned here, as it is the system's and not the program's."""
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
            assert near.recv(100) == b""  # no error either: the end had come before the reset
        else:
            with pytest.raises(ConnectionResetError):
                near.recv(100)


# The end of a connection


def test_a_request_that_crosses_the_last_answer_is_not_read() -> None:
    """It comes while the answer that says `Connection: close` is written; its client sends it again."""
    with running_router(serve_all, options={"linger_ms": NEVER}) as (scene, engine):
        client = scene.client().send(UP)
        client.answer()
        inside = the_client(scene)
        wait_until(inside.idle)
        close_after_answers(scene)
        write, gate, came = inside.write, Event(), Event()

        def late(pieces: list[bytes]) -> None:
            came.set()
            gate.wait()
            write(pieces)

        inside.write = late  # type: ignore[method-assign]
        client.send(UP)
        came.wait()
        client.send(ask("crossing"))
        wait_until(lambda: read_or_unread(inside))
        polls()
        gate.set()
        wait_until(lambda: inside.lingering)
        polls()
        assert inside.has_unread() and not inside._parser.complete
        answer = client.answer()
        assert answer.status == 200 and answer.fields[b"connection"] == b"close" and client.ended()
        wait_until(lambda: not scene.inbound._clients)  # although its client stays: not kept for long
        assert not engine.requests


def test_a_request_that_comes_after_the_last_answer_is_not_read() -> None:
    """The reader waits for bytes as the answer ends; what wakes it is left to the kernel."""
    with running_router(serve_all, options={"linger_ms": NEVER}) as (scene, engine):
        client = scene.client().send(ask("last", Connection="close"))
        inside = the_client(scene)
        wait_until(lambda: inside.lingering)
        client.send(ask("next"))
        wait_until(lambda: read_or_unread(inside))
        polls()
        assert inside.has_unread()
        assert client.answer().status == 200 and client.ended()
        wait_until(lambda: not scene.inbound._clients)
        assert names(engine) == [b"last"]


def test_a_request_that_crosses_the_word_that_none_came_is_not_read() -> None:
    """A fresh connection has its 408 as its first request comes in."""
    with running_router(serve_all, options={"linger_ms": NEVER}) as (scene, engine):
        client = scene.client()
        inside = the_client(scene)
        inside.time_out()
        wait_until(lambda: inside.lingering)
        client.send(ask("late"))
        wait_until(lambda: read_or_unread(inside))
        polls()
        assert inside.has_unread()
        assert client.answer().status == 408 and client.ended()
        assert not engine.requests


def test_only_the_rest_of_a_refused_body_is_thrown_away() -> None:
    """Unread, its sender might never come to its answer; what follows it is left to the kernel."""
    with running_router(serve_all, options={"linger_ms": NEVER}) as (scene, engine):
        raw = asked(b"x" * 300_000)
        client = scene.client().send(raw[:-1000])
        inside = the_client(scene)
        wait_until(lambda: inside.lingering)
        client.send(raw[-1000:] + ask("next"))
        wait_until(lambda: unread(inside) == ask("next"))
        polls()
        assert unread(inside) == ask("next")
        got = all_of(client)
        assert got.startswith(b"HTTP/1.1 413 ") and got.count(b"HTTP/1.1 ") == 1 and not engine.requests


def unread(inside: InboundClient) -> bytes:
    """What stands in the kernel."""
    return inside.sock.recv(65536, socket.MSG_PEEK) if inside.has_unread() else b""


@pytest.mark.parametrize("behind", [ask("next"), ask("next")[:40]])
def test_what_comes_while_a_stream_runs_stays_unread_where_it_breaks(behind: bytes) -> None:
    go = Event()

    def half(sock: socket.socket, message: Message) -> bool:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        return go.wait()

    with running_router(half, options={"linger_ms": NEVER}) as (scene, engine):
        client = scene.client().send(ask("first"))
        inside = the_client(scene)
        wait_until(lambda: scene.events_of(i.StreamStarted))
        client.send(behind)
        wait_until(lambda: read_or_unread(inside))
        polls()
        assert unread(inside) == behind
        go.set()
        got = all_of(client)
        assert EVENTS[0] in got and not got.endswith(b"0\r\n\r\n")
        wait_until(lambda: not scene.inbound._clients)
        assert names(engine) == [b"first"]


def test_a_connection_without_room_is_refused_unread() -> None:
    """Two requests stand there: one is answered, neither is taken out of the kernel."""
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


def test_requests_read_behind_one_that_is_turned_away_have_their_own_answers() -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client()
        client.send(b"GET /nowhere HTTP/1.1\r\n\r\n" + ask("a") + ask("b", X_Account="nobody") + ask("c"))
        assert statuses(client) == [404, 200, 400, 200]  # and then its end
        assert names(engine) == [b"a", b"c"]


def test_a_request_read_behind_one_that_no_endpoint_can_use_has_its_own_answer() -> None:
    def script(sock: socket.socket, message: Message) -> None:
        if message.fields[b"x-correlation-id"] == b"bad":
            sock.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
        else:
            serve_all(sock, message)

    with running_router(script) as (scene, engine):
        client = scene.client().send(ask("bad") + ask("good"))
        assert statuses(client) == [400, 200] and names(engine) == [b"bad", b"good"]


def test_requests_read_before_a_malformed_one_have_their_own_answers() -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client().send(ask("a") + ask("b") + MALFORMED)
        assert statuses(client) == [200, 200, 400] and names(engine) == [b"a", b"b"]


def test_a_request_followed_by_what_begins_none_is_the_malformed_one() -> None:
    """Its length was told too short: it must never be sent on; the one before it is whole."""
    with running_router(serve_all) as (scene, engine):
        client = scene.client().send(ask("a") + ask("b") + NO_REQUEST)
        assert statuses(client) == [200, 400] and names(engine) == [b"a"]


@pytest.mark.parametrize("behind", [MALFORMED, NO_REQUEST])
def test_a_request_that_is_out_has_its_own_answer_whatever_follows(behind: bytes) -> None:
    go = Event()
    with running_router(served_after(go)) as (scene, engine):
        client = scene.client().send(ask("a"))
        wait_until(lambda: engine.requests)
        client.send(behind)
        wait_until(lambda: read_or_unread(the_client(scene)) or scene.events_of(i.RequestGone))
        polls()
        go.set()
        assert statuses(client) == [200, 400] and names(engine) == [b"a"]


def test_what_begins_no_request_and_stands_in_the_kernel_voids_the_request_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The read ended with the request's told length; the rest of its body comes before it is decided on."""
    admit = client_module.admit

    def late(inside: InboundClient, *given: Any) -> None:
        client.send(NO_REQUEST)
        watched = select.poll()
        watched.register(inside.sock.fileno(), select.POLLIN)
        assert watched.poll(20_000)  # and no greenlet runs meanwhile
        admit(inside, *given)

    monkeypatch.setattr(client_module, "admit", late)
    with running_router(serve_all) as (scene, engine):
        client = scene.client().send(ask("a"))
        assert statuses(client) == [400] and not engine.requests and not scene.events_of(i.RequestArrived)


@pytest.mark.parametrize("behind, answers", [(ask("b"), [200]), (MALFORMED, [200]), (NO_REQUEST, [400])])
def test_what_follows_a_request_that_says_close_is_no_request(behind: bytes, answers: list[int]) -> None:
    """Unless it shows that the request itself was cut short."""
    with running_router(serve_all) as (scene, engine):
        client = scene.client().send(ask("a", Connection="close") + behind)
        assert statuses(client) == answers and names(engine) == [b"a"] * (answers == [200])


def test_an_error_of_this_program_leaves_requests_read_before_it_their_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    feed = RequestParser.feed

    def fails(parser: RequestParser, data: memoryview) -> None:
        feed(parser, data)
        if parser is inside._parser and parser.reading:
            raise ZeroDivisionError

    go = Event()
    with running_router(served_after(go)) as (scene, engine):
        client = scene.client().send(ask("a"))
        wait_until(lambda: engine.requests)
        inside = the_client(scene)
        monkeypatch.setattr(RequestParser, "feed", fails)
        client.send(ask("b") + b"POST ")
        wait_until(lambda: read_or_unread(inside))
        polls()
        go.set()
        assert statuses(client) == [200, 200, 500]


def test_an_error_as_more_is_looked_at_leaves_the_request_under_way_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    go, met = Event(), Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    def fails(there: bytes) -> bool:
        met.set()
        raise ZeroDivisionError

    monkeypatch.setattr(http1, "may_begin_request", fails)
    with running_router(wait) as (scene, engine):
        client = scene.client().send(ask("a"))
        wait_until(lambda: engine.requests)
        client.send(ask("b"))
        met.wait()
        polls()
        go.set()
        assert statuses(client) == [200, 500]


@pytest.mark.parametrize("by_call", [True, False])
def test_requests_read_together_are_answered_while_clients_are_sent_away(by_call: bool) -> None:
    with running_router(serve_all) as (scene, engine):
        if by_call:
            scene.inbound.begin_operator_drain()
        else:
            close_after_answers(scene)
        client = scene.client().send(ask("a") + ask("b") + ask("c"))
        assert statuses(client) == [200] * 3 and names(engine) == [b"a", b"b", b"c"]


def test_of_a_flood_that_is_turned_away_little_is_read_and_that_is_answered() -> None:
    """Each that is read must be answered: a flood that ends with its first answer is left in the kernel."""
    with running_router(serve_all) as (scene, engine):
        one = ask("flood", X_Service_Class="unknown")
        client = scene.client().send(one * 500)
        answered = statuses(client)
        assert set(answered) == {400} and len(answered) <= FIRST_READ_BYTES // len(one)
        assert not engine.requests
