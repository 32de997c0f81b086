"""Observers: which events they are notified of, in which order, and that faults don't affect serving."""

from __future__ import annotations

from typing import Any

import pytest
from gevent import socket

from spoolbarrow import interface as i
from spoolbarrow.net import tcpinfo
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.observers import CloseReason, Observer, Observers, OpenConnection, Side
from spoolbarrow.net.request import Attempt, Request
from tests.router_harness import EVENTS, STREAM_HEAD, ask, chunk, running_router, serve_all, wait_until


class Listener(Observer):
    """Records its notifications."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.socks: dict[int, Any] = {}
        self.counters: dict[int, tcpinfo.Counters] = {}

    def connection_opened(self, opened: OpenConnection) -> None:
        self.events.append(("opened", opened.side, opened.number, opened.endpoint))
        self.socks[opened.number] = opened.sock

    def connection_closing(self, number: int, why: CloseReason) -> None:
        self.counters[number] = tcpinfo.counters(self.socks.pop(number))
        self.events.append(("closing", why, number))

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        self.events.append(("taken", request.connection))

    def attempt_sent(self, attempt: Attempt) -> None:
        self.events.append(("sent", attempt.connection))

    def attempt_started(self, attempt: Attempt) -> None:
        self.events.append(("started", attempt.connection))

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        self.events.append(("passed", sum(map(len, parts))))

    def attempt_ended(self, attempt: Attempt) -> None:
        self.events.append(("ended", attempt.outcome))

    def request_over(self, request: Request, now: float) -> None:
        self.events.append(("over", request.answer_kind))


def test_an_observer_is_notified_of_a_request_and_its_connections_in_order() -> None:
    with running_router(serve_all) as (harness, _):
        listener = Listener()
        harness.host.observers.add(listener)
        client = harness.client().send(ask())
        assert client.answer().status == 200
        client.sock.close()
        wait_until(lambda: any(noted[0] == "closing" for noted in listener.events))
        (_, _, ours, _), (_, _, theirs, name) = [noted for noted in listener.events if noted[0] == "opened"]
        passed = sum(size for what, size in [t[:2] for t in listener.events] if what == "passed")
        assert passed == sum(map(len, EVENTS)) and name == "e0" and theirs > ours
        noted = [t for t in listener.events if t[0] != "passed"]
        assert noted == [
            ("opened", Side.CLIENT, ours, ""),
            ("taken", ours),
            ("opened", Side.ENDPOINT, theirs, "e0"),
            ("sent", theirs),
            ("started", theirs),
            ("ended", i.Outcome.SERVED),
            ("over", "served"),
            ("closing", CloseReason.DONE, ours),
        ]
        counted = listener.counters[ours]
        assert (
            counted.bytes_received == len(ask())
            and counted.bytes_sent > passed
            and counted.data_segments_received == 1
        )
        harness.host._endpoints._pool.forget("e0")
        assert listener.events[-1] == ("closing", CloseReason.DONE, theirs)
        assert listener.counters[theirs].bytes_sent > len(b'{"model":"chat"}')


def test_a_broken_connection_is_reported_as_broken() -> None:
    def half(sock: socket.socket, message: Message) -> bool:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        return True

    with running_router(half) as (harness, _):
        listener = Listener()
        harness.host.observers.add(listener)
        with pytest.raises(ConnectionResetError):
            harness.client().send(ask()).answer()
        wait_until(lambda: sum(noted[0] == "closing" for noted in listener.events) == 2)
        assert {event[1] for event in listener.events if event[0] == "closing"} == {CloseReason.BROKEN}


HOOKS = [
    name for name in vars(Observer) if not name.startswith(("_", "probe_"))
]  # the harness sends no probes


@pytest.mark.parametrize("hook", HOOKS)
def test_an_observer_that_raises_is_removed_and_serving_continues(
    hook: str, capfd: pytest.CaptureFixture[str]
) -> None:
    with running_router(serve_all) as (harness, _):
        faulty, sound = Listener(), Listener()
        setattr(faulty, hook, lambda *told: 1 / 0)
        harness.host.observers.add(faulty)
        harness.host.observers.add(sound)
        client = harness.client().send(ask())
        assert client.answer().status == 200
        client.sock.close()
        assert harness.client().send(ask(X_Facts="odd")).answer().status == 400  # declined
        wait_until(lambda: any(event[0] == "closing" for event in sound.events))
        assert harness.host.observers._observers == (sound,)
        assert harness.client().send(ask()).answer().status == 200
    assert capfd.readouterr().err.count("observer Listener") == 1


def test_connection_numbers_are_not_reused_after_a_restart(monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        monkeypatch.setattr("time.time", lambda: 1000.0)
        first = [Observers().connection_opened(Side.CLIENT, listener, 0.0) for _ in range(2)][-1]
        monkeypatch.setattr("time.time", lambda: 1001.0)
        assert Observers().connection_opened(Side.CLIENT, listener, 0.0) >= first + (1 << 24) - 1
