"""What an engine is told of a client's patience where requests stood in the kernel before they were read.

The process stands still in between, as on a busy machine: nothing runs, and nothing is waited for.
"""

from __future__ import annotations

import socket as plain
import time

import pytest
from gevent import socket

from spoolbarrow.net.http1 import Message
from tests.router_harness import ask, running_router, serve_all, wait_until
from tests.terms import ANSWER_SLACK_S, TOLD_SLACK_S

STILL_S = 0.4  # over twice what may be told too much
LEFT_MS, SHORT_MS = 5000, 1000
LARGE = 250_000  # bytes: more than a connection's kernel takes in before it is read


@pytest.mark.parametrize("together", [True, False])
def test_requests_that_waited_unread_have_waited_all_the_same(together: bool) -> None:
    """Both stand there before the pause, or the second one comes at its end: each counts from its sending."""
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
        time.sleep(STILL_S)  # of the whole process: no greenlet runs
        if not together:
            client.send(second)
            sent.append(time.monotonic())
        wait_until(lambda: len(arrived) == 2)
        left = [LEFT_MS / 1000.0 - (at - begun) for (at, _), begun in zip(arrived, sent, strict=True)]
        too_much = [told - own for (_, told), own in zip(arrived, left, strict=True)]
        assert max(too_much) <= TOLD_SLACK_S, too_much
        assert len(engine.requests) == 3


@pytest.mark.parametrize("fresh", [True, False])
def test_a_request_that_the_kernel_had_half_of_has_waited_all_the_same(fresh: bool) -> None:
    """The rest stands in its client's kernel until some of it is read, and comes in with that read."""
    told: list[tuple[float, float]] = []

    def serve(sock: socket.socket, message: Message) -> None:
        told.append((time.monotonic(), float(message.fields[b"x-time-left-ms"]) / 1000.0))
        serve_all(sock, message)

    with running_router(serve) as (scene, _):
        client = scene.client()
        client.sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, 2 * LARGE)
        if not fresh:
            client.send(ask(X_Correlation_Id="before")).answer()
            told.clear()
        raw = ask(b"x" * LARGE, left=LEFT_MS)
        assert client.sock.send(raw) == len(raw)  # handed over at once: no greenlet has run
        sent = time.monotonic()
        time.sleep(STILL_S)
        wait_until(lambda: told)
        ((at, seconds),) = told
        too_much = seconds - (LEFT_MS / 1000.0 - (at - sent))
        assert too_much <= TOLD_SLACK_S, too_much


def test_a_request_that_the_kernel_had_half_of_has_its_answer_before_its_deadline() -> None:
    """Its engine says nothing: what its client gets is the 504, and in time."""
    with running_router(lambda sock, message: None) as (scene, _):
        client = scene.client()
        client.sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, 2 * LARGE)
        raw = ask(b"x" * LARGE, left=SHORT_MS)
        assert client.sock.send(raw) == len(raw)
        due = time.monotonic() + SHORT_MS / 1000.0 + ANSWER_SLACK_S
        time.sleep(STILL_S)
        assert client.answer().status == 504
        late = time.monotonic() - due
        assert late <= 0.0, late
