"""What an engine is told of a client's patience where requests stood in the kernel before they were read.

The process stands still in between, as on a busy machine: nothing runs, and nothing is waited for.
"""

from __future__ import annotations

import time

import pytest
from gevent import socket

from spoolbarrow.net.http1 import Message
from tests.stage import ask, serve_all, stage, until
from tests.terms import TOLD_SLACK_S

STILL_S = 0.4  # over twice what may be told too much
LEFT_MS = 5000


@pytest.mark.parametrize("together", [True, False])
def test_requests_that_waited_unread_have_waited_all_the_same(together: bool) -> None:
    """Both stand there before the pause, or the second one comes at its end: each counts from its sending."""
    arrived: list[tuple[float, float]] = []

    def serve(sock: socket.socket, message: Message) -> None:
        arrived.append((time.monotonic(), float(message.fields[b"x-time-left-ms"]) / 1000.0))
        serve_all(sock, message)

    with stage(serve) as (scene, engine):
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
        until(lambda: len(arrived) == 2)
        left = [LEFT_MS / 1000.0 - (at - begun) for (at, _), begun in zip(arrived, sent, strict=True)]
        too_much = [told - own for (_, told), own in zip(arrived, left, strict=True)]
        assert max(too_much) <= TOLD_SLACK_S, too_much
        assert len(engine.requests) == 3
