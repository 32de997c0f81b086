"""Transient errors of accept and connect, as documented by Linux, stop no accept loop and blame no peer."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket

import spoolbarrow
from spoolbarrow.flows.collector import Listener
from spoolbarrow.net import accepting, http1
from spoolbarrow.operator import Collector
from tests.router_harness import LISTEN, ask, running_router, serve_all, wait_until

ROOT = Path(spoolbarrow.__file__).parent
TRANSIENT = ("ECONNABORTED", "EINTR", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "EMFILE", "ENFILE", "ENOBUFS")


def failing(listener: Any, *names: str) -> Any:
    """Wrap a listener so that its next accepts fail with these errors."""
    return _Failing(listener, names)


class _Failing:
    def __init__(self, listener: Any, names: tuple[str, ...]) -> None:
        self._listener, self._names = listener, list(names)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)

    def accept(self) -> Any:
        if self._names:
            number = getattr(errno, self._names.pop(0))
            raise OSError(number, os.strerror(number))
        return self._listener.accept()


@pytest.fixture
def listener() -> Any:
    with socket.socket() as made:
        made.bind((LISTEN, 0))
        made.listen()
        yield made


@pytest.mark.parametrize("name", TRANSIENT)
def test_accept_continues_after_a_passing_error(
    listener: Any, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(accepting, "RESOURCE_PAUSE_S", 0.01)
    reported: list[int | None] = []
    with socket.create_connection(listener.getsockname()) as near:
        far = accepting.next_connection(
            failing(listener, name, name), lambda error: reported.append(error.errno)
        )
        assert far.getpeername() == near.getsockname()
        far.close()
    assert reported == (
        [] if getattr(errno, name) in accepting.CONNECTION_ERRNOS else [getattr(errno, name)] * 2
    )


@pytest.mark.parametrize("name", ["EBADF", "EINVAL", "EAGAIN"])
def test_errors_of_the_listener_itself_are_raised(listener: Any, name: str) -> None:
    with pytest.raises(OSError) as raised:
        accepting.next_connection(failing(listener, name), lambda error: None)
    assert raised.value.errno == getattr(errno, name)


def test_every_accept_loop_uses_next_connection() -> None:
    """A loop of its own would end at the first connection that is reset."""
    own = [path for path in ROOT.rglob("*.py") if ".accept()" in path.read_text() and "lab" not in path.parts]
    assert own == [ROOT / "net" / "accepting.py"]


def test_clients_are_accepted_after_accept_errors(monkeypatch: pytest.MonkeyPatch) -> None:
    accept: Callable[..., Any] = socket.socket.accept
    left = ["ECONNABORTED", "ENFILE", "ENOBUFS"]

    def accept_or_fail(self: Any) -> Any:
        accepted = accept(self)
        if left and self.getsockname()[1] == port:
            accepted[0].close()
            number = getattr(errno, left.pop())
            raise OSError(number, os.strerror(number))
        return accepted

    with running_router(serve_all) as (harness, _):
        port = harness.config.listen[1]
        monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
        aborted = [harness.client() for _ in range(3)]
        wait_until(lambda: not left)
        assert harness.client().send(ask()).answer().status == 200
        assert all(client.ended() for client in aborted)


def test_a_collector_continues_after_a_reset_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    made = Listener(Collector("tcp", LISTEN, 0), 1, lambda *given: None)
    with monkeypatch.context() as broken:
        broken.setattr(made, "_sock", failing(made._sock, "ECONNABORTED"))
        loop = gevent.spawn(made._accept)
        with socket.create_connection((LISTEN, made.port)):
            wait_until(lambda: made._connections)
        loop.kill()
    made.close()


@pytest.mark.parametrize("name", ["EADDRNOTAVAIL", "ENOBUFS", "EAGAIN", "ENFILE"])
def test_a_local_resource_shortage_is_no_peer_failure(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def connect(self: Any, address: Any) -> None:
        raise OSError(getattr(errno, name), name)

    monkeypatch.setattr(socket.socket, "connect", connect)
    with pytest.raises(http1.Shortage):
        http1.connect((LISTEN, 9), 1.0)


@pytest.mark.parametrize("name", ["ENETUNREACH", "EHOSTUNREACH", "ECONNREFUSED", "ETIMEDOUT"])
def test_an_unreachable_peer_is_no_local_shortage(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def connect(self: Any, address: Any) -> None:
        raise OSError(getattr(errno, name), name)

    monkeypatch.setattr(socket.socket, "connect", connect)
    with pytest.raises(OSError) as raised:
        http1.connect((LISTEN, 9), 1.0)
    assert not isinstance(raised.value, http1.Shortage)
