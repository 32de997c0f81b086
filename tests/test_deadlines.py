"""Endpoints are never given more time than the client has left, and cancelled attempts stop.

Small buffers force requests to be written in several steps; time passes by advancing the router's clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import pytest
from gevent import socket

from spoolbarrow import interface as i
from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.http1 import RequestParser
from tests.router_harness import (
    RouterHarness,
    ask,
    endpoint_entry,
    make_config,
    run_ready,
    running_router,
    serve_all,
    wait_until,
)
from tests.test_answer_races import LONG_BODY, outcomes, read_rest, silent, unread_engine, window_full
from tests.test_client_disconnects import DISCONNECTS

SMALL = 4096  # of a socket's buffer, bytes
BEYOND_MS = 200.0  # above the limit between the time in the head and the request's last byte
SLACK_MS = 150.0  # by which the time given to an endpoint may exceed the client's time left


def pass_time(harness: RouterHarness, ms: float) -> None:
    """Advance the router's clock; its event loop polls the sockets before anything else happens."""
    clock = harness.host.now
    harness.host.now = lambda: clock() + ms  # type: ignore[assignment]
    run_ready()


@contextmanager
def slow_engine(**settings: Any) -> Iterator[tuple[RouterHarness, socket.socket]]:
    """A router with an engine whose window is full while this host's kernel holds the rest."""
    with socket.socket() as machine:
        machine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        machine.bind(("127.0.0.1", 0))
        machine.listen(4)
        changes = make_config([])["settings"]
        changes["Limits"] |= settings
        harness = RouterHarness(
            make_config([endpoint_entry("e0", machine.getsockname()[1])], settings=changes)
        )
        try:
            yield harness, machine
        finally:
            harness.inbound.close()
            harness.host.stop()


def handed_over(harness: RouterHarness) -> bool:
    """Whether an attempt's last byte was handed to the kernel."""
    return any(
        attempt.connection for request in harness.host._requests.values() for attempt in request.attempts
    )


def whole_of(sock: socket.socket) -> http1.Message:
    parser = RequestParser(16384, 262144)
    while not parser.complete:
        parser.feed(memoryview(sock.recv(65536)))
    return parser.complete[0]


def test_a_request_half_written_for_too_long_is_not_completed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its head states the time left at the start, and the engine goes on reading when that is too much."""
    with unread_engine(monkeypatch, True) as (harness, machine):
        client = harness.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: window_full(engine))
        pass_time(harness, BEYOND_MS)
        wait_until(lambda: outcomes(harness))
        assert outcomes(harness)[0] is i.Outcome.UNREACHABLE
        assert not read_rest(engine).complete
        assert client.answer().status == 503  # no other engine, and it never ran


def test_a_request_unsent_for_too_long_never_reaches_its_engine() -> None:
    """The kernel has all of it, and the engine's window is full."""
    with slow_engine() as (harness, machine):
        client = harness.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(harness) and window_full(engine))
        pass_time(harness, BEYOND_MS)
        wait_until(lambda: outcomes(harness))
        assert outcomes(harness)[0] is i.Outcome.UNREACHABLE
        assert not read_rest(engine).complete
        assert client.answer().status == 503


@DISCONNECTS
@pytest.mark.parametrize("cancelling", [True, False])
def test_unsent_data_of_a_request_is_discarded_after_its_client_disconnected(
    cancelling: bool, go: Any
) -> None:
    """After a normal close the kernel would send the rest, and the engine would run it for nobody."""
    with slow_engine(Cancelling=cancelling) as (harness, machine):
        client = harness.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(harness) and window_full(engine))
        go(client)
        wait_until(lambda: harness.events_of(i.RequestGone) and harness.host.open_requests() == 0)
        assert not read_rest(engine).complete


def test_unsent_data_of_a_request_is_discarded_after_its_deadline() -> None:
    with slow_engine() as (harness, machine):
        client = harness.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(harness) and window_full(engine))
        (key,) = harness.host._requests
        harness.host._deadline(key)
        assert client.answer().status in (503, 504)
        assert not read_rest(engine).complete


def test_an_engine_that_reads_slowly_is_given_less_time_for_the_next_request() -> None:
    """So that it can be used at all: each attempt given up for a longer wait allows for more time."""
    with slow_engine() as (harness, machine):
        harness.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(harness) and window_full(engine))
        pass_time(harness, BEYOND_MS)
        wait_until(lambda: outcomes(harness))
        pass_time(harness, 5000.0)  # until it no longer counts as unresponsive
        harness.client().send(ask(LONG_BODY, X_Correlation_Id="again"))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(harness) and window_full(engine))
        pass_time(harness, BEYOND_MS)
        message = whole_of(engine)
        (request,) = harness.host._requests.values()
        left = request.deadline - harness.host.now()
        assert message.body == LONG_BODY and int(message.fields[b"x-time-left-ms"]) <= left + SLACK_MS


def test_the_kernel_reports_unsent_data() -> None:
    with socket.socket() as machine:
        machine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        machine.bind(("127.0.0.1", 0))
        machine.listen(1)
        sock = http1.connect(machine.getsockname(), 10.0)
        with sock, machine.accept()[0]:
            assert not tcpinfo.has_unsent(sock)
            sock.sendall(LONG_BODY)
            assert tcpinfo.has_unsent(sock)


def test_an_attempt_cancelled_in_the_batch_that_sent_it_never_connects() -> None:
    """Its greenlet is killed before it starts."""
    with running_router(serve_all) as (harness, engine):
        decide = harness.host._router.handle

        def send_and_cancel(now: float, events: list[i.Event]) -> list[i.Action]:
            actions: list[i.Action] = decide(now, events)
            sent = [action for action in actions if isinstance(action, i.Send)]
            return actions + [i.Cancel(action.request, 0) for action in sent]

        harness.host._router.handle = send_and_cancel
        client = harness.client().send(ask())
        wait_until(lambda: outcomes(harness))
        harness.host._router.handle = decide
        assert client.answer().status == 503
        assert outcomes(harness) == [i.Outcome.CANCELLED] and not engine.connections


def test_an_attempt_cancelled_while_its_connection_opens_writes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kill is pending while the greenlet continues in the same loop iteration."""
    connect = http1.connect

    def cancelled_meanwhile(address: Any, timeout_s: float) -> socket.socket:
        sock = connect(address, timeout_s)
        if address[1] == engine.port:
            (request,) = harness.host._requests.values()
            (attempt,) = request.attempts
            greenlet, attempt.greenlet = attempt.greenlet, None  # killed one loop iteration later
            harness.host.end_attempt(attempt, i.Outcome.CANCELLED)
            gevent.spawn(greenlet.kill, block=False)
        return sock

    with running_router(serve_all) as (harness, engine):
        monkeypatch.setattr(http1, "connect", cancelled_meanwhile)
        harness.client().send(ask())
        wait_until(lambda: engine.closed == 1)
        assert not engine.requests and outcomes(harness)[0] is i.Outcome.CANCELLED


@DISCONNECTS
def test_an_attempts_connection_closes_as_soon_as_its_client_disconnects(go: Any) -> None:
    with running_router(silent) as (harness, engine):
        client = harness.client().send(ask())
        wait_until(lambda: engine.requests)
        go(client)
        wait_until(lambda: engine.closed == 1)
        wait_until(lambda: harness.host.open_requests() == 0)


def test_a_request_of_a_disconnected_client_is_not_resubmitted() -> None:
    """Admission control is removed in the tick of the disconnect; the router would keep the request."""
    with running_router(serve_all) as (harness, engine):
        harness.host._post(i.RequestGone("7"))
        harness.host.resubmit([i.RequestArrived("7", cls=0, budget_ms=5000.0)])
        assert harness.client().send(ask()).answer().status == 200
        wait_until(lambda: not harness.host._router.requests)
        assert [event.request for event in harness.events_of(i.RequestArrived)] == ["1"]
        assert len(engine.requests) == 1
