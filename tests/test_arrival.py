"""Tests from when a request's time budget runs if the router reads it long after it arrived.

The test blocks the gevent hub: no greenlet runs between the client's sending and the end of the delay.
"""

from __future__ import annotations

import time
from typing import Any

import gevent
import pytest

from spoolbarrow import interface as i
from tests.router_harness import ask, running_router, serve_all, wait_until

BLOCKED_S = 0.4  # the hub is blocked for this long
SLACK_MS = 150.0
LEFT = 5000


def time_left_headers(engine: Any) -> list[int]:
    return [int(message.fields[b"x-time-left-ms"]) for message in engine.requests]


def send_and_block(*pieces: bytes, client: Any) -> None:
    """Send the pieces, and block the hub after each."""
    for piece in pieces:
        client.sock._sock.sendall(piece)  # bypasses gevent, so that no other greenlet runs
        time.sleep(BLOCKED_S)


def test_time_left_header_counts_from_the_arrival_of_an_unread_request() -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client()
        wait_until(lambda: scene.inbound._clients)
        send_and_block(ask(left=LEFT), client=client)
        assert client.answer().status == 200
        assert time_left_headers(engine)[0] <= LEFT - 1000 * BLOCKED_S + SLACK_MS


@pytest.mark.parametrize("first", [b"", b"GET /up HTTP/1.1\r\n\r\n"])
def test_requests_read_together_count_from_their_arrival(first: bytes) -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client()
        wait_until(lambda: scene.inbound._clients)
        send_and_block(
            first + b"".join(ask(left=LEFT, X_Correlation_Id=str(n)) for n in range(3)), client=client
        )
        for _ in range(3 + bool(first)):
            assert client.answer().status == 200
        assert max(time_left_headers(engine)) <= LEFT - 1000 * BLOCKED_S + SLACK_MS


def test_a_request_in_pieces_counts_from_its_first_byte() -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client()
        wait_until(lambda: scene.inbound._clients)
        request = ask(left=LEFT)
        send_and_block(request[:30], request[30:], client=client)
        assert client.answer().status == 200
        assert time_left_headers(engine)[0] <= LEFT - 2000 * BLOCKED_S + SLACK_MS


def test_a_request_read_promptly_keeps_its_budget() -> None:
    with running_router(serve_all) as (scene, _):
        client = scene.client()
        for n in range(5):
            gevent.sleep(0.05)
            assert client.send(ask(left=LEFT, X_Correlation_Id=str(n))).answer().status == 200
        arrived = [event.budget_ms for event in scene.events_of(i.RequestArrived)]
        assert max(arrived) > LEFT - 60


def test_a_request_that_arrives_while_the_loop_is_busy_keeps_its_budget() -> None:
    """The loop polled before it was blocked, and the request arrived at the end of the blocked time."""
    with running_router(serve_all) as (scene, _):
        client = scene.client()
        wait_until(lambda: scene.inbound._clients)
        time.sleep(BLOCKED_S)
        client.sock._sock.sendall(ask(left=LEFT))
        assert client.answer().status == 200
        assert scene.events_of(i.RequestArrived)[0].budget_ms > LEFT - 1000 * BLOCKED_S / 2
