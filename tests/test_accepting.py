"""Accept and connect fail in the ways that Linux documents, for a moment: nobody stops, nobody is blamed."""

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
FOR_A_MOMENT = ("ECONNABORTED", "EINTR", "EPROTO", "ENETDOWN", "EHOSTUNREACH", "EMFILE", "ENFILE", "ENOBUFS")


def failing(listener: Any, *names: str) -> Any:
    """A listener whose next accepts fail with these errors."""
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


@pytest.mark.parametrize("name", FOR_A_MOMENT)
def test_a_connection_behind_a_failed_accept_is_taken(
    listener: Any, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(accepting, "RESOURCE_PAUSE_S", 0.01)
    heard: list[int | None] = []
    with socket.create_connection(listener.getsockname()) as near:
        far = accepting.next_connection(
            failing(listener, name, name), lambda error: heard.append(error.errno)
        )
        assert far.getpeername() == near.getsockname()
        far.close()
    assert heard == (
        [] if getattr(errno, name) in accepting.CONNECTION_ERRNOS else [getattr(errno, name)] * 2
    )


@pytest.mark.parametrize("name", ["EBADF", "EINVAL", "EAGAIN"])
def test_where_nobody_listens_or_nothing_waits_it_is_told(listener: Any, name: str) -> None:
    with pytest.raises(OSError) as raised:
        accepting.next_connection(failing(listener, name), lambda error: None)
    assert raised.value.errno == getattr(errno, name)


def test_no_accept_loop_is_left_to_itself() -> None:
    """Each goes by `next_connection`: one that does not ends with the first connection that is reset."""
    own = [path for path in ROOT.rglob("*.py") if ".accept()" in path.read_text() and "lab" not in path.parts]
    assert own == [ROOT / "net" / "accepting.py"]


def test_clients_are_accepted_after_errors_of_others(monkeypatch: pytest.MonkeyPatch) -> None:
    accept: Callable[..., Any] = socket.socket.accept
    left = ["ECONNABORTED", "ENFILE", "ENOBUFS"]

    def accept_or_fail(self: Any) -> Any:
        taken = accept(self)
        if left and self.getsockname()[1] == port:
            taken[0].close()
            number = getattr(errno, left.pop())
            raise OSError(number, os.strerror(number))
        return taken

    with running_router(serve_all) as (scene, _):
        port = scene.config.listen[1]
        monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
        aborted = [scene.client() for _ in range(3)]
        wait_until(lambda: not left)
        assert scene.client().send(ask()).answer().status == 200
        assert all(client.ended() for client in aborted)


def test_a_collector_goes_on_behind_a_connection_that_was_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    made = Listener(Collector("tcp", LISTEN, 0), 1, lambda *given: None)
    with monkeypatch.context() as broken:
        broken.setattr(made, "_sock", failing(made._sock, "ECONNABORTED"))
        accepting_again = gevent.spawn(made._accept)
        with socket.create_connection((LISTEN, made.port)):
            wait_until(lambda: made._connections)
        accepting_again.kill()
    made.close()


@pytest.mark.parametrize("name", ["EADDRNOTAVAIL", "ENOBUFS", "EAGAIN", "ENFILE"])
def test_a_lack_of_this_machine_is_no_fault_of_the_other_side(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def connect(self: Any, address: Any) -> None:
        raise OSError(getattr(errno, name), name)

    monkeypatch.setattr(socket.socket, "connect", connect)
    with pytest.raises(http1.Shortage):
        http1.connect((LISTEN, 9), 1.0)


@pytest.mark.parametrize("name", ["ENETUNREACH", "EHOSTUNREACH", "ECONNREFUSED", "ETIMEDOUT"])
def test_one_that_cannot_be_reached_is_told_as_such(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def connect(self: Any, address: Any) -> None:
        raise OSError(getattr(errno, name), name)

    monkeypatch.setattr(socket.socket, "connect", connect)
    with pytest.raises(OSError) as raised:
        http1.connect((LISTEN, 9), 1.0)
    assert not isinstance(raised.value, http1.Shortage)
