"""What an endpoint is told of the time left is never more than its client has, and what is given up ends.

A request that is not taken in whole at once is forced by small buffers, time that passes by a clock set on.
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

SMALL = 4096  # bytes of a socket's buffer
BEYOND_MS = 200.0  # over what may pass between the head's time and the request's last byte
SLACK_MS = 150.0  # by so much an endpoint may be told more than its client has left


def pass_time(scene: RouterHarness, ms: float) -> None:
    """Set the router's clock on; its loop looks at its sockets before anything else happens."""
    clock = scene.host.now
    scene.host.now = lambda: clock() + ms  # type: ignore[assignment]
    run_ready()


@contextmanager
def slow_engine(**settings: Any) -> Iterator[tuple[RouterHarness, socket.socket]]:
    """A router before an engine whose window is full while this machine's kernel holds the rest."""
    with socket.socket() as machine:
        machine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        machine.bind(("127.0.0.1", 0))
        machine.listen(4)
        changes = make_config([])["settings"]
        changes["Limits"] |= settings
        scene = RouterHarness(make_config([endpoint_entry("e0", machine.getsockname()[1])], settings=changes))
        try:
            yield scene, machine
        finally:
            scene.inbound.close()
            scene.host.stop()


def handed_over(scene: RouterHarness) -> bool:
    """Whether an attempt's last byte was given to the kernel."""
    return any(
        attempt.connection for request in scene.host._requests.values() for attempt in request.attempts
    )


def whole_of(sock: socket.socket) -> http1.Message:
    parser = RequestParser(16384, 262144)
    while not parser.complete:
        parser.feed(memoryview(sock.recv(65536)))
    return parser.complete[0]


def test_a_request_half_written_too_long_is_not_written_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its head tells the time as it was; the engine reads on once that is too much."""
    with unread_engine(monkeypatch, True) as (scene, machine):
        client = scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: window_full(engine))
        pass_time(scene, BEYOND_MS)
        wait_until(lambda: outcomes(scene))
        assert outcomes(scene)[0] is i.Outcome.UNREACHABLE
        assert not read_rest(engine).complete
        assert client.answer().status == 503  # no other engine, and it never ran


def test_a_request_that_this_machine_holds_too_long_never_comes_to_its_engine() -> None:
    """The kernel took the whole of it, and the engine's window is full."""
    with slow_engine() as (scene, machine):
        client = scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(scene) and window_full(engine))
        pass_time(scene, BEYOND_MS)
        wait_until(lambda: outcomes(scene))
        assert outcomes(scene)[0] is i.Outcome.UNREACHABLE
        assert not read_rest(engine).complete
        assert client.answer().status == 503


@DISCONNECTS
@pytest.mark.parametrize("cancelling", [True, False])
def test_what_this_machine_holds_of_a_request_does_not_go_on_after_its_client_went(
    cancelling: bool, go: Any
) -> None:
    """Closed as usual, the kernel would send the rest: the engine would begin it for nobody."""
    with slow_engine(Cancelling=cancelling) as (scene, machine):
        client = scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(scene) and window_full(engine))
        go(client)
        wait_until(lambda: scene.events_of(i.RequestGone) and scene.host.open_requests() == 0)
        assert not read_rest(engine).complete


def test_what_this_machine_holds_of_a_request_does_not_go_on_after_its_deadline() -> None:
    with slow_engine() as (scene, machine):
        client = scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(scene) and window_full(engine))
        (key,) = scene.host._requests
        scene.host._deadline(key)
        assert client.answer().status in (503, 504)
        assert not read_rest(engine).complete


def test_an_engine_that_takes_long_requests_in_slowly_is_told_less_time_for_the_next() -> None:
    """So that it can be used at all: each longer wait that was given up leaves more room."""
    with slow_engine() as (scene, machine):
        scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(scene) and window_full(engine))
        pass_time(scene, BEYOND_MS)
        wait_until(lambda: outcomes(scene))
        pass_time(scene, 5000.0)  # long enough for it not to count as silent any more
        scene.client().send(ask(LONG_BODY, X_Correlation_Id="again"))
        engine, _ = machine.accept()
        wait_until(lambda: handed_over(scene) and window_full(engine))
        pass_time(scene, BEYOND_MS)
        message = whole_of(engine)
        (request,) = scene.host._requests.values()
        left = request.deadline - scene.host.now()
        assert message.body == LONG_BODY and int(message.fields[b"x-time-left-ms"]) <= left + SLACK_MS


def test_the_kernel_tells_what_it_has_not_sent() -> None:
    with socket.socket() as machine:
        machine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        machine.bind(("127.0.0.1", 0))
        machine.listen(1)
        sock = http1.connect(machine.getsockname(), 10.0)
        with sock, machine.accept()[0]:
            assert not tcpinfo.has_unsent(sock)
            sock.sendall(LONG_BODY)
            assert tcpinfo.has_unsent(sock)


def test_an_attempt_that_is_cancelled_in_the_batch_that_sent_it_never_connects() -> None:
    """Its greenlet has not begun: killed before, it does nothing."""
    with running_router(serve_all) as (scene, engine):
        decide = scene.host._router.handle

        def send_and_cancel(now: float, events: list[i.Event]) -> list[i.Action]:
            actions: list[i.Action] = decide(now, events)
            sent = [action for action in actions if isinstance(action, i.Send)]
            return actions + [i.Cancel(action.request, 0) for action in sent]

        scene.host._router.handle = send_and_cancel
        client = scene.client().send(ask())
        wait_until(lambda: outcomes(scene))
        scene.host._router.handle = decide
        assert client.answer().status == 503
        assert outcomes(scene) == [i.Outcome.CANCELLED] and not engine.connections


def test_an_attempt_that_is_cancelled_as_its_connection_comes_up_writes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kill is on its way, and the greenlet runs on in the same turn."""
    connect = http1.connect

    def cancelled_meanwhile(address: Any, timeout_s: float) -> socket.socket:
        sock = connect(address, timeout_s)
        if address[1] == engine.port:
            (request,) = scene.host._requests.values()
            (attempt,) = request.attempts
            greenlet, attempt.greenlet = attempt.greenlet, None  # its kill comes a turn later
            scene.host.end_attempt(attempt, i.Outcome.CANCELLED)
            gevent.spawn(greenlet.kill, block=False)
        return sock

    with running_router(serve_all) as (scene, engine):
        monkeypatch.setattr(http1, "connect", cancelled_meanwhile)
        scene.client().send(ask())
        wait_until(lambda: engine.closed == 1)
        assert not engine.requests and outcomes(scene)[0] is i.Outcome.CANCELLED


@DISCONNECTS
def test_the_connection_of_an_attempt_ends_as_soon_as_its_client_went(go: Any) -> None:
    with running_router(silent) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        go(client)
        wait_until(lambda: engine.closed == 1)
        wait_until(lambda: scene.host.open_requests() == 0)


def test_a_request_whose_client_went_is_not_asked_about_again() -> None:
    """The door is taken away in the tick in which the client went: the decisions would keep it for ever."""
    with running_router(serve_all) as (scene, engine):
        scene.host._post(i.RequestGone("7"))
        scene.host.resubmit([i.RequestArrived("7", cls=0, budget_ms=5000.0)])
        assert scene.client().send(ask()).answer().status == 200
        wait_until(lambda: not scene.host._router.requests)
        assert [event.request for event in scene.events_of(i.RequestArrived)] == ["1"]
        assert len(engine.requests) == 1
