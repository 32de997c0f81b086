"""What observers hear, in which order, and that they can't hurt serving."""

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
    """Writes down what it hears."""

    def __init__(self) -> None:
        self.heard: list[tuple[Any, ...]] = []
        self.socks: dict[int, Any] = {}
        self.counters: dict[int, tcpinfo.Counters] = {}

    def connection_opened(self, opened: OpenConnection) -> None:
        self.heard.append(("opened", opened.side, opened.number, opened.endpoint))
        self.socks[opened.number] = opened.sock

    def connection_closing(self, number: int, why: CloseReason) -> None:
        self.counters[number] = tcpinfo.counters(self.socks.pop(number))
        self.heard.append(("closing", why, number))

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        self.heard.append(("taken", request.connection))

    def attempt_sent(self, attempt: Attempt) -> None:
        self.heard.append(("sent", attempt.connection))

    def attempt_started(self, attempt: Attempt) -> None:
        self.heard.append(("started", attempt.connection))

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        self.heard.append(("passed", sum(map(len, parts))))

    def attempt_ended(self, attempt: Attempt) -> None:
        self.heard.append(("ended", attempt.outcome))

    def request_over(self, request: Request, now: float) -> None:
        self.heard.append(("over", request.answer_kind))


def test_an_observer_hears_a_request_and_its_connections_from_first_to_last() -> None:
    with running_router(serve_all) as (scene, _):
        listener = Listener()
        scene.host.observers.add(listener)
        client = scene.client().send(ask())
        assert client.answer().status == 200
        client.sock.close()
        wait_until(lambda: any(told[0] == "closing" for told in listener.heard))
        (_, _, ours, _), (_, _, theirs, name) = [told for told in listener.heard if told[0] == "opened"]
        passed = sum(size for what, size in [t[:2] for t in listener.heard] if what == "passed")
        assert passed == sum(map(len, EVENTS)) and name == "e0" and theirs > ours
        told = [t for t in listener.heard if t[0] != "passed"]
        assert told == [
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
        scene.host._endpoints._pool.forget("e0")
        assert listener.heard[-1] == ("closing", CloseReason.DONE, theirs)
        assert listener.counters[theirs].bytes_sent > len(b'{"model":"chat"}')


def test_a_broken_connection_is_told_as_broken() -> None:
    def half(sock: socket.socket, message: Message) -> bool:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        return True

    with running_router(half) as (scene, _):
        listener = Listener()
        scene.host.observers.add(listener)
        with pytest.raises(ConnectionResetError):
            scene.client().send(ask()).answer()
        wait_until(lambda: sum(told[0] == "closing" for told in listener.heard) == 2)
        assert {told[1] for told in listener.heard if told[0] == "closing"} == {CloseReason.BROKEN}


HOOKS = [name for name in vars(Observer) if not name.startswith(("_", "probe_"))]  # this stage sends no probe


@pytest.mark.parametrize("hook", HOOKS)
def test_an_observer_that_raises_is_heard_no_more_and_serving_goes_on(
    hook: str, capfd: pytest.CaptureFixture[str]
) -> None:
    with running_router(serve_all) as (scene, _):
        faulty, sound = Listener(), Listener()
        setattr(faulty, hook, lambda *told: 1 / 0)
        scene.host.observers.add(faulty)
        scene.host.observers.add(sound)
        client = scene.client().send(ask())
        assert client.answer().status == 200
        client.sock.close()
        assert scene.client().send(ask(X_Facts="odd")).answer().status == 400  # turned away, not taken
        wait_until(lambda: any(told[0] == "closing" for told in sound.heard))
        assert scene.host.observers._observers == (sound,)
        assert scene.client().send(ask()).answer().status == 200
    assert capfd.readouterr().err.count("observer Listener") == 1


def test_numbers_of_connections_are_not_used_again_after_a_restart(monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        monkeypatch.setattr("time.time", lambda: 1000.0)
        first = [Observers().connection_opened(Side.CLIENT, listener, 0.0) for _ in range(2)][-1]
        monkeypatch.setattr("time.time", lambda: 1001.0)
        assert Observers().connection_opened(Side.CLIENT, listener, 0.0) >= first + (1 << 24) - 1
