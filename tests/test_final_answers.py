"""A request gets its one final answer before its client gives up, whatever the settings and the trouble."""

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


def test_a_client_that_waits_no_longer_than_the_margin_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """The answer margin is 15 ms: taken whole from 14 ms it leaves nothing, and each such request fails."""
    monkeypatch.setattr(tcpinfo, "last_received_ms", lambda sock: 0)
    with running_router(serve_all) as (scene, engine):
        now = scene.host.now()
        scene.host.now = lambda: now
        assert scene.client().send(ask(left=14)).answer().status == 200
        assert 0 < int(engine.requests[0].fields[b"x-time-left-ms"]) < 14


def test_a_client_that_waits_no_longer_at_all_is_told_at_once() -> None:
    with running_router(serve_all) as (scene, engine):
        assert scene.client().send(ask(left=0)).answer().status == 504
        assert not scene.events_of(i.RequestArrived) and not engine.requests


def test_a_deadline_does_not_wait_for_the_decisions_tick() -> None:
    """They hear of nothing before their next one, long after the client has given up."""
    with running_router(silent, settings=settings(TickMs=ENDLESS_TICK_MS)) as (scene, _):
        wait_until(lambda: scene.events_of(i.ReplicaList))
        assert scene.client().send(ask(left=300)).answer().status == 504


def test_a_deadline_is_kept_without_ticks() -> None:
    with running_router(silent, settings=settings(TickMs=0.0)) as (scene, engine):
        assert scene.client().send(ask(left=300)).answer().status == 504
        assert len(engine.requests) == 1


def break_on_gone(scene: Any) -> list[str]:
    """Have the decisions fail on one kind of event; the tokens of the timers that they hear of."""
    host, heard = scene.host, []

    def broken(event: i.RequestGone) -> None:
        raise ZeroDivisionError

    def note(event: i.TimerFired) -> None:
        heard.append(event.token)
        host._router._timer(event.token, 60_000.0)

    host._router.handlers[i.RequestGone], host._router.handlers[i.TimerFired] = broken, note
    return heard


def test_a_timer_that_came_beside_a_fault_of_the_decisions_is_not_lost() -> None:
    """Some are set anew by their own firing alone: lost once, replicas are never looked over again."""
    with running_router(serve_all) as (scene, _):
        heard = break_on_gone(scene)
        scene.host._post(i.RequestGone("none"))
        scene.host._post(i.TimerFired("odd"))
        wait_until(lambda: "odd" in heard)


def test_a_timer_that_was_decided_on_before_a_fault_does_not_come_again() -> None:
    """It would go on twice as often from then on."""
    with running_router(serve_all) as (scene, _):
        heard = break_on_gone(scene)
        scene.host._post(i.TimerFired("odd"))
        scene.host._post(i.RequestGone("none"))
        wait_until(lambda: "odd" in heard)
        pass_time(scene, 30_000.0)
        scene.host._post(i.TimerFired("marker"))
        wait_until(lambda: "marker" in heard)
        assert heard.count("odd") == 1


def test_an_attempt_that_can_not_be_begun_ends_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Left open, its request would wait for its deadline: no greenlet tells its outcome."""

    def no_memory(attempt: Any) -> None:
        raise MemoryError

    with running_router(serve_all) as (scene, _):
        monkeypatch.setattr(scene.host._endpoints, "send", no_memory)
        client = scene.client().send(ask())
        wait_until(lambda: outcomes(scene))
        assert outcomes(scene)[0] is i.Outcome.MOOT
        assert client.answer().status == 503  # it never ran: trying again is harmless


def test_a_longer_patience_than_the_class_has_is_cut_and_not_refused() -> None:
    """Its class's deadline is 5 s, and the prompt's length need not be told."""
    with running_router(serve_all) as (scene, engine):
        assert scene.client().send(ask(left=60_000)).answer().status == 200
        assert int(engine.requests[0].fields[b"x-time-left-ms"]) <= 10_000


def test_an_engine_that_says_200_and_ends_without_an_event_leaves_an_answer() -> None:
    """The class may be tried again."""

    def empty(sock: socket.socket, message: Message) -> bool:
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        return True

    with running_router(empty) as (scene, _):
        assert scene.client().send(ask()).answer().status == 503
        wait_until(lambda: scene.host.open_requests() == 0)


def test_an_engine_that_says_200_and_then_nothing_leaves_an_answer_before_the_deadline() -> None:
    def head_alone(sock: socket.socket, message: Message) -> None:
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

    with running_router(head_alone) as (scene, _):
        assert scene.client().send(ask(left=400)).answer().status == 504
        wait_until(lambda: scene.host.open_requests() == 0)


def test_an_event_that_never_ends_leaves_an_answer_before_the_deadline() -> None:
    def event_without_end(sock: socket.socket, message: Message) -> None:
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(b"4\r\ndata\r\n")

    with running_router(event_without_end) as (scene, _):
        assert scene.client().send(ask(left=400)).answer().status == 504
        wait_until(lambda: scene.host.open_requests() == 0)
