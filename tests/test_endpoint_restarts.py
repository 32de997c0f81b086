"""An engine that starts anew between the decision on a request and its first byte gets none by the old word.

What it may be sent in its slow start is decided on each request; one that was decided on before the start was
told must not be written after.
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

COLD = {"ColdFrom": 0.1, "ColdMs": 60_000.0, "TipAfterMs": 2000.0, "OverloadFactor": 2.0}


def starts_anew(scene: Any, port: int) -> None:
    """Discovery tells that the engine has just started."""
    line = endpoint_entry("e0", port, since_ms=scene.host.now())
    scene.host.destinations._discovery._accept_list(HostList(9, False, [msgspec.convert(line, ListEntry)]))


def test_a_request_is_not_written_to_an_engine_that_started_as_its_connection_came_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = http1.connect
    told: list[int] = []
    settings = make_config([])["settings"]
    settings["Invariants"] = settings.get("Invariants", {}) | COLD
    with running_router(serve_all, settings=settings) as (scene, engine):

        def starts_meanwhile(where: tuple[str, int], timeout_s: float) -> Sock:
            sock = connect(where, timeout_s)
            if where[1] == engine.port and not told:
                told.append(1)
                starts_anew(scene, engine.port)
            return sock

        monkeypatch.setattr(http1, "connect", starts_meanwhile)
        assert scene.client().send(ask()).answer().status == 503
        (ended,) = scene.events_of(i.AttemptEnded)
        assert ended.outcome is i.Outcome.MOOT and told and not engine.requests


def test_news_of_the_list_is_decided_on_before_requests_that_came_sooner() -> None:
    """Both wait while a batch is decided on: a request must not go by a list that is not the last."""
    held, through = Event(), Event()
    batches: list[list[type]] = []
    with running_router(serve_all) as (scene, engine):
        handle = scene.host._router.handle

        def deciding(now: float, events: list[i.Event]) -> list[i.Action]:
            batches.append([type(event) for event in events])
            if i.RequestArrived in batches[-1] and not through.is_set():
                held.set()
                through.wait()
            return handle(now, events)  # type: ignore[no-any-return]

        scene.host._router.handle = deciding
        scene.client().send(ask(X_Correlation_Id="first"))
        held.wait()
        waiting = len(batches)
        scene.client().send(ask(X_Correlation_Id="second"))
        wait_until(lambda: any(isinstance(event, i.RequestArrived) for event in scene.host._inbox))
        starts_anew(scene, engine.port)
        through.set()
        wait_until(lambda: any(i.RequestArrived in batch for batch in batches[waiting:]))
        (batch,) = [batch for batch in batches[waiting:] if i.RequestArrived in batch]
        assert batch.index(i.ReplicaList) < batch.index(i.RequestArrived)
