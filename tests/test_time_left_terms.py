"""Tests the time left that engines receive for requests that waited in the kernel before being read.

The whole process sleeps in between, as on a busy machine: no greenlet runs.
"""

from __future__ import annotations

import socket as plain
import time

import pytest
from gevent import socket

from spoolbarrow.net.http1 import Message
from tests.router_harness import ask, running_router, serve_all, wait_until
from tests.terms import ANSWER_SLACK_S, TIME_LEFT_SLACK_S

PAUSE_S = 0.4  # over twice the permitted excess of the time left
LEFT_MS, SHORT_MS = 5000, 1000
LARGE_BODY_BYTES = 250_000  # more than the kernel receives on a connection before it is read


@pytest.mark.parametrize("together", [True, False])
def test_time_unread_in_the_kernel_counts_as_waiting(together: bool) -> None:
    """Both are sent before the pause, or the second one after it: each waits from when it was sent."""
    arrived: list[tuple[float, float]] = []

    def serve(sock: socket.socket, message: Message) -> None:
        arrived.append((time.monotonic(), float(message.fields[b"x-time-left-ms"]) / 1000.0))
        serve_all(sock, message)

    with running_router(serve) as (scene, engine):
        client = scene.client()
        first, second = ask(left=LEFT_MS, X_Correlation_Id="a"), ask(left=LEFT_MS, X_Correlation_Id="b")
        client.send(ask(X_Correlation_Id="before")).answer()
        arrived.clear()
        client.send(first)
        sent = [time.monotonic()]
        if together:
            client.send(second)
            sent.append(time.monotonic())
        time.sleep(PAUSE_S)  # of the whole process: no greenlet runs
        if not together:
            client.send(second)
            sent.append(time.monotonic())
        wait_until(lambda: len(arrived) == 2)
        left = [LEFT_MS / 1000.0 - (at - begun) for (at, _), begun in zip(arrived, sent, strict=True)]
        excess_s = [received_s - own for (_, received_s), own in zip(arrived, left, strict=True)]
        assert max(excess_s) <= TIME_LEFT_SLACK_S, excess_s
        assert len(engine.requests) == 3


@pytest.mark.parametrize("fresh", [True, False])
def test_time_half_received_in_the_kernel_counts_as_waiting(fresh: bool) -> None:
    """The rest stays in the client's kernel until some is read, and arrives with that read."""
    received_s: list[tuple[float, float]] = []

    def serve(sock: socket.socket, message: Message) -> None:
        received_s.append((time.monotonic(), float(message.fields[b"x-time-left-ms"]) / 1000.0))
        serve_all(sock, message)

    with running_router(serve) as (scene, _):
        client = scene.client()
        client.sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, 2 * LARGE_BODY_BYTES)
        if not fresh:
            client.send(ask(X_Correlation_Id="before")).answer()
            received_s.clear()
        raw = ask(b"x" * LARGE_BODY_BYTES, left=LEFT_MS)
        assert client.sock.send(raw) == len(raw)  # handed over at once: no greenlet has run
        sent = time.monotonic()
        time.sleep(PAUSE_S)
        wait_until(lambda: received_s)
        ((at, seconds),) = received_s
        excess_s = seconds - (LEFT_MS / 1000.0 - (at - sent))
        assert excess_s <= TIME_LEFT_SLACK_S, excess_s


def test_a_request_half_received_by_the_kernel_is_answered_before_its_deadline() -> None:
    """The engine never responds: the client gets a 504 in time."""
    with running_router(lambda sock, message: None) as (scene, _):
        client = scene.client()
        client.sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, 2 * LARGE_BODY_BYTES)
        raw = ask(b"x" * LARGE_BODY_BYTES, left=SHORT_MS)
        assert client.sock.send(raw) == len(raw)
        due = time.monotonic() + SHORT_MS / 1000.0 + ANSWER_SLACK_S
        time.sleep(PAUSE_S)
        assert client.answer().status == 504
        late = time.monotonic() - due
        assert late <= 0.0, late
