"""From when a client's time counts, where the router reads what was sent long after it came.

The hub is held by a gate: no greenlet runs between the client's sending and the time that has passed.
"""

from __future__ import annotations

import time
from typing import Any

import gevent
import pytest

from spoolbarrow import interface as i
from tests.router_harness import ask, running_router, serve_all, wait_until

HELD_S = 0.4  # for so long no greenlet runs
SLACK_MS = 150.0
LEFT = 5000


def told(engine: Any) -> list[int]:
    return [int(message.fields[b"x-time-left-ms"]) for message in engine.requests]


def held(*pieces: bytes, client: Any) -> None:
    """Send these with the hub held after each."""
    for piece in pieces:
        client.sock._sock.sendall(piece)  # not gevent's: nothing else runs
        time.sleep(HELD_S)


def test_a_request_that_lay_unread_is_told_with_the_time_that_is_left() -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client()
        wait_until(lambda: scene.inbound._clients)
        held(ask(left=LEFT), client=client)
        assert client.answer().status == 200
        assert told(engine)[0] <= LEFT - 1000 * HELD_S + SLACK_MS


@pytest.mark.parametrize("first", [b"", b"GET /up HTTP/1.1\r\n\r\n"])
def test_requests_read_at_once_count_from_when_they_came(first: bytes) -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client()
        wait_until(lambda: scene.inbound._clients)
        held(first + b"".join(ask(left=LEFT, X_Correlation_Id=str(n)) for n in range(3)), client=client)
        for _ in range(3 + bool(first)):
            assert client.answer().status == 200
        assert max(told(engine)) <= LEFT - 1000 * HELD_S + SLACK_MS


def test_a_request_in_pieces_read_at_once_counts_from_its_first_byte() -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client()
        wait_until(lambda: scene.inbound._clients)
        request = ask(left=LEFT)
        held(request[:30], request[30:], client=client)
        assert client.answer().status == 200
        assert told(engine)[0] <= LEFT - 2000 * HELD_S + SLACK_MS


def test_a_request_that_is_read_promptly_keeps_its_time() -> None:
    with running_router(serve_all) as (scene, _):
        client = scene.client()
        for n in range(5):
            gevent.sleep(0.05)
            assert client.send(ask(left=LEFT, X_Correlation_Id=str(n))).answer().status == 200
        arrived = [event.budget_ms for event in scene.events_of(i.RequestArrived)]
        assert max(arrived) > LEFT - 60


def test_a_request_in_one_piece_loses_nothing_where_the_loop_is_busy() -> None:
    """The loop looked last before it was held, and the request came at the end of that."""
    with running_router(serve_all) as (scene, _):
        client = scene.client()
        wait_until(lambda: scene.inbound._clients)
        time.sleep(HELD_S)
        client.sock._sock.sendall(ask(left=LEFT))
        assert client.answer().status == 200
        assert scene.events_of(i.RequestArrived)[0].budget_ms > LEFT - 1000 * HELD_S / 2
