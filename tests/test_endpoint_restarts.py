"""Tests that an engine gets no request that was decided on before its restart was reported.

What an engine may be sent in its slow start is decided per request, so a request decided on before that must
not be written after it.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from gevent.event import Event
from gevent.socket import socket as Sock

from spoolbarrow import interface as i
from spoolbarrow.config import HostList, ListEntry
from spoolbarrow.net import http1
from tests.router_harness import ask, endpoint_entry, make_config, running_router, serve_all, wait_until

SLOW_START = {"ColdFrom": 0.1, "ColdMs": 60_000.0, "TipAfterMs": 2000.0, "OverloadFactor": 2.0}


def report_restart(scene: Any, port: int) -> None:
    """Report through discovery that the engine has just started."""
    line = endpoint_entry("e0", port, since_ms=scene.host.now())
    scene.host.destinations._discovery._accept_list(HostList(9, False, [msgspec.convert(line, ListEntry)]))


def test_a_request_is_not_written_to_an_engine_that_restarted_while_connecting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = http1.connect
    reported: list[int] = []
    settings = make_config([])["settings"]
    settings["Invariants"] = settings.get("Invariants", {}) | SLOW_START
    with running_router(serve_all, settings=settings) as (scene, engine):

        def connect_then_restart(address: tuple[str, int], timeout_s: float) -> Sock:
            sock = connect(address, timeout_s)
            if address[1] == engine.port and not reported:
                reported.append(1)
                report_restart(scene, engine.port)
            return sock

        monkeypatch.setattr(http1, "connect", connect_then_restart)
        assert scene.client().send(ask()).answer().status == 503
        (ended,) = scene.events_of(i.AttemptEnded)
        assert ended.outcome is i.Outcome.MOOT and reported and not engine.requests


def test_list_updates_are_decided_on_before_requests_that_arrived_earlier() -> None:
    """Both are queued while a batch is decided on: a request must not be decided on an outdated list."""
    deciding, may_continue = Event(), Event()
    batches: list[list[type]] = []
    with running_router(serve_all) as (scene, engine):
        handle = scene.host._router.handle

        def handle_when_allowed(now: float, events: list[i.Event]) -> list[i.Action]:
            batches.append([type(event) for event in events])
            if i.RequestArrived in batches[-1] and not may_continue.is_set():
                deciding.set()
                may_continue.wait()
            return handle(now, events)  # type: ignore[no-any-return]

        scene.host._router.handle = handle_when_allowed
        scene.client().send(ask(X_Correlation_Id="first"))
        deciding.wait()
        waiting = len(batches)
        scene.client().send(ask(X_Correlation_Id="second"))
        wait_until(lambda: any(isinstance(event, i.RequestArrived) for event in scene.host._inbox))
        report_restart(scene, engine.port)
        may_continue.set()
        wait_until(lambda: any(i.RequestArrived in batch for batch in batches[waiting:]))
        (batch,) = [batch for batch in batches[waiting:] if i.RequestArrived in batch]
        assert batch.index(i.ReplicaList) < batch.index(i.RequestArrived)
