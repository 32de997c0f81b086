"""A client that closed, reset or half-closed its connection has gone: nothing is begun for it after that.

Most tests have the client go in an instant in which its reader can have no turn: inside a batch of
decisions, or inside the connect to an endpoint. That is what a router short of processor time sees, and
needs no waiting.
"""

from __future__ import annotations

import os
import select
import signal
import socket as plain
import struct
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket

from spoolbarrow import interface as i
from spoolbarrow.net import client as client_connection
from spoolbarrow.net import http1
from spoolbarrow.net.http1 import Message
from tests.router_harness import (
    LISTEN,
    UNPROCESSED_503,
    Client,
    RouterHarness,
    ask,
    endpoint_entry,
    make_config,
    running_router,
    serve_all,
    wait_until,
)
from tests.test_drain import asked, router

MANY = 8  # requests at once
NOW = i.TimerFired("test")
LONG_S = 0.25  # a stop of the process, over twice what a client's end may go unseen


def close(client: Any) -> None:
    client.sock.close()


def reset(client: Any) -> None:
    client.sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()


def half_close(client: Any) -> None:
    client.sock.shutdown(plain.SHUT_WR)


def with_more_unread(client: Any) -> None:
    client.sock.sendall(b"POST /v1/chat/")
    client.sock.close()


DISCONNECTS = pytest.mark.parametrize("go", [close, reset, half_close, with_more_unread])


def await_in_kernel(inside: client_connection.ClientConnection, what: int) -> None:
    """Until it is there; no greenlet runs meanwhile."""
    watched = select.poll()
    watched.register(inside.sock.fileno(), what)
    assert watched.poll(20_000)


def leave(inside: client_connection.ClientConnection, client: Any, go: Callable[[Any], None]) -> None:
    """Go, and let no greenlet run until the end is in the kernel."""
    go(client)
    await_in_kernel(inside, select.POLLRDHUP)


def has(kind: type, events: list[i.Event]) -> bool:
    return any(isinstance(event, kind) for event in events)


@DISCONNECTS
@pytest.mark.parametrize("moment", ["held", "retry", "hedge"])
def test_nothing_begins_for_a_client_that_went_in_the_same_batch(
    moment: str, go: Callable[[Any], None]
) -> None:
    """Its end stands in the kernel when the decisions have an attempt begun, and its reader had no turn."""
    kept: list[i.Action] = []

    def go_now() -> None:
        leave(next(iter(scene.inbound._clients)), client, go)

    def handle(now: float, events: list[i.Event]) -> list[i.Action]:
        actions: list[i.Action] = decide(now, events)
        if NOW in events:
            go_now()
            return actions + kept
        if moment == "retry" and has(i.AttemptEnded, events) and not scene.host.find_request("1").finished:
            go_now()
        if has(i.RequestArrived, events) and moment == "held":
            kept.extend(action for action in actions if isinstance(action, i.Send))
            scene.host._post(NOW)
            return [action for action in actions if action not in kept]
        return actions

    def first(sock: socket.socket, message: Message) -> None:
        if moment == "retry":
            sock.sendall(UNPROCESSED_503)
        elif moment == "hedge":
            kept.append(i.Send("1", "e0"))
            scene.host._post(NOW)

    with running_router(first, first) as (scene, *engines):
        decide, scene.host._router.handle = scene.host._router.handle, handle
        client = scene.client().send(ask())
        wait_until(lambda: scene.events_of(i.RequestGone) and scene.host.open_requests() == 0)
        assert sum(len(engine.requests) for engine in engines) == (moment in ("retry", "hedge"))


@DISCONNECTS
def test_nothing_is_written_for_a_client_that_went_while_its_connection_came_up(
    go: Callable[[Any], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = http1.connect

    def last_instant(address: Any, timeout_s: float) -> socket.socket:
        sock = connect(address, timeout_s)
        if address[1] == engine.port:
            leave(next(iter(scene.inbound._clients)), client, go)
        return sock

    with running_router(serve_all) as (scene, engine):
        monkeypatch.setattr(http1, "connect", last_instant)
        client = scene.client().send(ask())
        wait_until(lambda: scene.events_of(i.RequestGone) and scene.host.open_requests() == 0)
        wait_until(lambda: engine.closed == 1)  # the connection, and nothing on it
        assert not engine.requests


def test_an_end_behind_what_is_not_read_is_seen_while_the_request_waits() -> None:
    """The attempt waits for a connection; what is not read meanwhile hides the end from the reader."""
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(2)]
        for filler in fillers:
            with suppress(TimeoutError):
                filler.settimeout(0.2)
                filler.connect(full.getsockname())
        scene = RouterHarness(make_config([endpoint_entry("slow", full.getsockname()[1])]))
        try:
            client = scene.client().send(ask(X_Correlation_Id="first"))
            inside = wait_until(lambda: next(iter(scene.inbound._clients), None))
            assert inside is not None
            wait_until(lambda: scene.events_of(i.RequestArrived))
            client.send(b"".join(ask(X_Correlation_Id=str(n)) for n in range(MANY)))
            wait_until(inside.has_unread)
            close(client)
            wait_until(lambda: scene.events_of(i.RequestGone) and scene.host.open_requests() == 0)
            assert len(scene.events_of(i.RequestArrived)) == 1 and inside not in scene.inbound._clients
        finally:
            scene.inbound.close()
            scene.host.stop()


@DISCONNECTS
def test_the_decisions_never_hear_of_a_client_that_went_before_it_was_accepted(
    go: Callable[[Any], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    go_on = client_connection.ClientConnection.start_reading
    seen: list[client_connection.ClientConnection] = []

    def first_sees_it_go(inside: client_connection.ClientConnection) -> None:
        if not seen:
            seen.append(inside)
            leave(inside, late, go)
        go_on(inside)

    with running_router(serve_all) as (scene, engine):
        monkeypatch.setattr(client_connection.ClientConnection, "start_reading", first_sees_it_go)
        late = Client.__new__(Client)
        late.sock = plain.create_connection((LISTEN, scene.config.listen[1]))
        late.send(ask(X_Correlation_Id="late"))
        wait_until(lambda: seen and not scene.inbound._clients)
        assert scene.client().send(ask()).answer().status == 200
        assert len(scene.events_of(i.RequestArrived)) == len(engine.requests) == 1


def test_where_the_system_tells_of_no_half_close_the_end_is_found_by_looking(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "ENDED", 0)
    with running_router(serve_all) as (scene, _):
        client = scene.client()
        inside = wait_until(lambda: next(iter(scene.inbound._clients), None))
        assert inside is not None and not inside.disconnected()  # nothing to read: it did not wait
        client.sock.sendall(b"P")
        await_in_kernel(inside, select.POLLIN)
        assert not inside.disconnected()
        wait_until(lambda: inside._parser.reading)
        client.sock.shutdown(plain.SHUT_WR)
        await_in_kernel(inside, select.POLLIN)
        assert inside.disconnected()


def test_a_client_that_said_its_end_still_hears_what_was_wrong() -> None:
    """Where no endpoint is asked, an answer costs nothing: programs that check routers do so."""
    with running_router(serve_all) as (scene, _):
        for raw, status in ((b"GET /up HTTP/1.1\r\n\r\n", 200), (ask(X_Account="nobody"), 400)):
            client = scene.client().send(raw)
            half_close(client)
            assert client.answer().status == status


@DISCONNECTS
def test_a_process_that_stood_still_begins_nothing_for_clients_that_went_meanwhile(
    go: Callable[[Any], None], tmp_path: Path
) -> None:
    with router(tmp_path) as made:
        known = [made.used() for _ in range(4)]
        os.kill(made.process.pid, signal.SIGSTOP)
        fresh = [made.client() for _ in range(4)]
        for n, client in enumerate((*known, *fresh)):
            client.send(b"".join(asked(f"{n}.{m}") for m in range(MANY if n % 2 else 1)))
            go(client)
        gevent.sleep(LONG_S)
        os.kill(made.process.pid, signal.SIGCONT)
        assert made.client().send(asked("last")).answer().status == 200
        wait_until(lambda: made.log().count('"event":"request"') >= 1)
        assert [m.fields[b"x-correlation-id"] for m in made.engine.requests] == [b"last"]


@DISCONNECTS
def test_a_client_that_the_host_found_gone_leaves_no_connection(go: Callable[[Any], None]) -> None:
    """The host settles its request just before its reader's turn, which then has no request to end."""

    def silent(sock: socket.socket, message: Message) -> None:
        """Say nothing."""

    with running_router(silent) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        (inside,) = scene.inbound._clients
        leave(inside, client, go)  # no greenlet runs meanwhile
        scene.host.client_left(inside.exchange.request)
        wait_until(lambda: not scene.inbound._clients)
        assert not scene.host.open_requests()
