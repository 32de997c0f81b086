"""Tests that no work starts for a client that closed, reset or half-closed its connection.

In most tests the client disconnects at a point where its reader cannot run: within a batch of decisions, or
within the connect to an endpoint. A router short of CPU time meets the same, and the tests need no waiting.
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

PIPELINED = 8  # requests sent at once on one connection
NOW = i.TimerFired("test")
PAUSE_S = 0.25  # of the process; over twice the time in which a disconnect must be noticed


def close(client: Any) -> None:
    client.sock.close()


def reset(client: Any) -> None:
    client.sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()


def half_close(client: Any) -> None:
    client.sock.shutdown(plain.SHUT_WR)


def close_with_unread_bytes(client: Any) -> None:
    client.sock.sendall(b"POST /v1/chat/")
    client.sock.close()


DISCONNECTS = pytest.mark.parametrize("go", [close, reset, half_close, close_with_unread_bytes])


def wait_for_poll(connection: client_connection.ClientConnection, events: int) -> None:
    """Block until poll reports one of the events; no greenlet runs meanwhile."""
    watched = select.poll()
    watched.register(connection.sock.fileno(), events)
    assert watched.poll(20_000)


def disconnect(
    connection: client_connection.ClientConnection, client: Any, go: Callable[[Any], None]
) -> None:
    """Disconnect, and let no greenlet run until the kernel knows."""
    go(client)
    wait_for_poll(connection, select.POLLRDHUP)


def has_event(kind: type, events: list[i.Event]) -> bool:
    return any(isinstance(event, kind) for event in events)


@DISCONNECTS
@pytest.mark.parametrize("moment", ["held", "retry", "hedge"])
def test_no_attempt_starts_for_a_client_that_disconnected_in_the_same_batch(
    moment: str, go: Callable[[Any], None]
) -> None:
    """The disconnect is in the kernel when an attempt is ordered, but its reader has not run yet."""
    held_actions: list[i.Action] = []

    def disconnect_now() -> None:
        disconnect(next(iter(scene.inbound._clients)), client, go)

    def handle(now: float, events: list[i.Event]) -> list[i.Action]:
        actions: list[i.Action] = decide(now, events)
        if NOW in events:
            disconnect_now()
            return actions + held_actions
        if (
            moment == "retry"
            and has_event(i.AttemptEnded, events)
            and not scene.host.find_request("1").finished
        ):
            disconnect_now()
        if has_event(i.RequestArrived, events) and moment == "held":
            held_actions.extend(action for action in actions if isinstance(action, i.Send))
            scene.host._post(NOW)
            return [action for action in actions if action not in held_actions]
        return actions

    def answer_first(sock: socket.socket, message: Message) -> None:
        if moment == "retry":
            sock.sendall(UNPROCESSED_503)
        elif moment == "hedge":
            held_actions.append(i.Send("1", "e0"))
            scene.host._post(NOW)

    with running_router(answer_first, answer_first) as (scene, *engines):
        decide, scene.host._router.handle = scene.host._router.handle, handle
        client = scene.client().send(ask())
        wait_until(lambda: scene.events_of(i.RequestGone) and scene.host.open_requests() == 0)
        assert sum(len(engine.requests) for engine in engines) == (moment in ("retry", "hedge"))


@DISCONNECTS
def test_nothing_is_written_for_a_client_that_disconnected_while_connecting_to_the_endpoint(
    go: Callable[[Any], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = http1.connect

    def connect_then_disconnect(address: Any, timeout_s: float) -> socket.socket:
        sock = connect(address, timeout_s)
        if address[1] == engine.port:
            disconnect(next(iter(scene.inbound._clients)), client, go)
        return sock

    with running_router(serve_all) as (scene, engine):
        monkeypatch.setattr(http1, "connect", connect_then_disconnect)
        client = scene.client().send(ask())
        wait_until(lambda: scene.events_of(i.RequestGone) and scene.host.open_requests() == 0)
        wait_until(lambda: engine.closed == 1)  # the connection was closed, without any request
        assert not engine.requests


def test_a_disconnect_behind_unread_requests_is_noticed_while_a_request_waits() -> None:
    """The attempt waits for a connection; unread requests hide the disconnect from the reader."""
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
            connection = wait_until(lambda: next(iter(scene.inbound._clients), None))
            assert connection is not None
            wait_until(lambda: scene.events_of(i.RequestArrived))
            client.send(b"".join(ask(X_Correlation_Id=str(n)) for n in range(PIPELINED)))
            wait_until(connection.has_unread)
            close(client)
            wait_until(lambda: scene.events_of(i.RequestGone) and scene.host.open_requests() == 0)
            assert len(scene.events_of(i.RequestArrived)) == 1 and connection not in scene.inbound._clients
        finally:
            scene.inbound.close()
            scene.host.stop()


@DISCONNECTS
def test_a_request_of_a_client_that_disconnected_before_accept_is_not_decided_on(
    go: Callable[[Any], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    start_reading = client_connection.ClientConnection.start_reading
    first_connections: list[client_connection.ClientConnection] = []

    def disconnect_first(connection: client_connection.ClientConnection) -> None:
        if not first_connections:
            first_connections.append(connection)
            disconnect(connection, late, go)
        start_reading(connection)

    with running_router(serve_all) as (scene, engine):
        monkeypatch.setattr(client_connection.ClientConnection, "start_reading", disconnect_first)
        late = Client.__new__(Client)
        late.sock = plain.create_connection((LISTEN, scene.config.listen[1]))
        late.send(ask(X_Correlation_Id="late"))
        wait_until(lambda: first_connections and not scene.inbound._clients)
        assert scene.client().send(ask()).answer().status == 200
        assert len(scene.events_of(i.RequestArrived)) == len(engine.requests) == 1


def test_a_half_close_is_noticed_without_pollrdhup(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "ENDED", 0)
    with running_router(serve_all) as (scene, _):
        client = scene.client()
        connection = wait_until(lambda: next(iter(scene.inbound._clients), None))
        assert connection is not None and not connection.disconnected()  # nothing to read: it did not block
        client.sock.sendall(b"P")
        wait_for_poll(connection, select.POLLIN)
        assert not connection.disconnected()
        wait_until(lambda: connection.input.parser.reading)
        client.sock.shutdown(plain.SHUT_WR)
        wait_for_poll(connection, select.POLLIN)
        assert connection.disconnected()


def test_a_half_closed_client_still_gets_answers_that_need_no_endpoint() -> None:
    """Such answers cost nothing, and health checkers half-close their connections."""
    with running_router(serve_all) as (scene, _):
        for raw, status in ((b"GET /up HTTP/1.1\r\n\r\n", 200), (ask(X_Account="nobody"), 400)):
            client = scene.client().send(raw)
            half_close(client)
            assert client.answer().status == status


@DISCONNECTS
def test_a_paused_process_starts_nothing_for_clients_that_disconnected_meanwhile(
    go: Callable[[Any], None], tmp_path: Path
) -> None:
    with router(tmp_path) as running:
        used = [running.used() for _ in range(4)]
        os.kill(running.process.pid, signal.SIGSTOP)
        new = [running.client() for _ in range(4)]
        for n, client in enumerate((*used, *new)):
            client.send(b"".join(asked(f"{n}.{m}") for m in range(PIPELINED if n % 2 else 1)))
            go(client)
        gevent.sleep(PAUSE_S)
        os.kill(running.process.pid, signal.SIGCONT)
        assert running.client().send(asked("last")).answer().status == 200
        wait_until(lambda: running.log().count('"event":"request"') >= 1)
        assert [m.fields[b"x-correlation-id"] for m in running.engine.requests] == [b"last"]


@DISCONNECTS
def test_a_disconnect_that_the_host_noticed_first_leaves_no_connection(go: Callable[[Any], None]) -> None:
    """The host settles the request just before its reader runs, which then has no request to end."""

    def no_answer(sock: socket.socket, message: Message) -> None:
        """Send nothing."""

    with running_router(no_answer) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        (connection,) = scene.inbound._clients
        disconnect(connection, client, go)  # no greenlet runs meanwhile
        scene.host.client_left(connection.exchange.request)
        wait_until(lambda: not scene.inbound._clients)
        assert not scene.host.open_requests()
