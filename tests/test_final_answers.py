"""Each request gets exactly one response before its client's time-out, with any settings and any fault."""

from __future__ import annotations

from typing import Any

import pytest
from gevent import socket

from spoolbarrow import interface as i
from spoolbarrow.net import tcpinfo
from spoolbarrow.net.http1 import Message
from tests.router_harness import ask, make_config, running_router, serve_all, wait_until
from tests.test_answer_races import outcomes, silent
from tests.test_deadlines import pass_time

ENDLESS_TICK_MS = 60_000.0  # longer than any test waits


def settings(**changes: Any) -> dict[str, Any]:
    made: dict[str, Any] = make_config([])["settings"]
    return made | changes


def test_a_client_with_a_time_out_within_the_margin_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """The full answer margin of 15 ms would leave nothing of a time-out of 14 ms."""
    monkeypatch.setattr(tcpinfo, "last_received_ms", lambda sock: 0)
    with running_router(serve_all) as (harness, engine):
        now = harness.host.now()
        harness.host.now = lambda: now
        assert harness.client().send(ask(left=14)).answer().status == 200
        assert 0 < int(engine.requests[0].fields[b"x-time-left-ms"]) < 14


def test_a_client_without_time_left_is_answered_at_once() -> None:
    with running_router(serve_all) as (harness, engine):
        assert harness.client().send(ask(left=0)).answer().status == 504
        assert not harness.events_of(i.RequestArrived) and not engine.requests


def test_a_deadline_does_not_wait_for_the_routers_tick() -> None:
    """The router's next tick is long after the client's time-out."""
    with running_router(silent, settings=settings(TickMs=ENDLESS_TICK_MS)) as (harness, _):
        wait_until(lambda: harness.events_of(i.ReplicaList))
        assert harness.client().send(ask(left=300)).answer().status == 504


def test_a_deadline_is_kept_without_ticks() -> None:
    with running_router(silent, settings=settings(TickMs=0.0)) as (harness, engine):
        assert harness.client().send(ask(left=300)).answer().status == 504
        assert len(engine.requests) == 1


def break_on_gone(harness: Any) -> list[str]:
    """Make the router fail on RequestGone; returns the tokens of the timers that fire."""
    host, fired = harness.host, []

    def broken(event: i.RequestGone) -> None:
        raise ZeroDivisionError

    def note(event: i.TimerFired) -> None:
        fired.append(event.token)
        host._router._timer(event.token, 60_000.0)

    host._router.handlers[i.RequestGone], host._router.handlers[i.TimerFired] = broken, note
    return fired


def test_a_timer_in_the_same_batch_as_a_fault_is_not_lost() -> None:
    """Some timers are only restarted when they fire; after a loss, replicas would never be checked again."""
    with running_router(serve_all) as (harness, _):
        fired = break_on_gone(harness)
        harness.host._post(i.RequestGone("none"))
        harness.host._post(i.TimerFired("odd"))
        wait_until(lambda: "odd" in fired)


def test_a_timer_handled_before_a_fault_does_not_fire_again() -> None:
    """It would fire twice as often from then on."""
    with running_router(serve_all) as (harness, _):
        fired = break_on_gone(harness)
        harness.host._post(i.TimerFired("odd"))
        harness.host._post(i.RequestGone("none"))
        wait_until(lambda: "odd" in fired)
        pass_time(harness, 30_000.0)
        harness.host._post(i.TimerFired("marker"))
        wait_until(lambda: "marker" in fired)
        assert fired.count("odd") == 1


def test_an_attempt_that_cannot_start_ends_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a greenlet to report its outcome, its request would wait until the deadline."""

    def no_memory(attempt: Any) -> None:
        raise MemoryError

    with running_router(serve_all) as (harness, _):
        monkeypatch.setattr(harness.host._endpoints, "send", no_memory)
        client = harness.client().send(ask())
        wait_until(lambda: outcomes(harness))
        assert outcomes(harness)[0] is i.Outcome.MOOT
        assert client.answer().status == 503  # it never ran, so a retry is safe


def test_a_time_out_beyond_the_classs_deadline_is_reduced_and_not_rejected() -> None:
    """The class's deadline is 5 s, and the prompt's length is optional."""
    with running_router(serve_all) as (harness, engine):
        assert harness.client().send(ask(left=60_000)).answer().status == 200
        assert int(engine.requests[0].fields[b"x-time-left-ms"]) <= 10_000


def test_a_200_that_ends_without_an_event_is_answered() -> None:
    """Requests of this class may be retried."""

    def empty(sock: socket.socket, message: Message) -> bool:
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        return True

    with running_router(empty) as (harness, _):
        assert harness.client().send(ask()).answer().status == 503
        wait_until(lambda: harness.host.open_requests() == 0)


def test_a_200_without_an_event_is_answered_before_the_deadline() -> None:
    def head_alone(sock: socket.socket, message: Message) -> None:
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

    with running_router(head_alone) as (harness, _):
        assert harness.client().send(ask(left=400)).answer().status == 504
        wait_until(lambda: harness.host.open_requests() == 0)


def test_an_incomplete_event_is_answered_before_the_deadline() -> None:
    def event_without_end(sock: socket.socket, message: Message) -> None:
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(b"4\r\ndata\r\n")

    with running_router(event_without_end) as (harness, _):
        assert harness.client().send(ask(left=400)).answer().status == 504
        wait_until(lambda: harness.host.open_requests() == 0)
