"""Races in the handover between processes: events between sending, adopting and acknowledging.

Each test forces the order of events with a hook at a place where another greenlet may run.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event
from msgspec.structs import replace

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.admin.coordinator import Coordinator
from spoolbarrow.config import INHERITED_FD_VARIABLE
from spoolbarrow.handover import Handover, HandoverDataError
from spoolbarrow.net import connection_handover
from spoolbarrow.net.drain_schedule import DrainCause, DrainSchedule
from spoolbarrow.net.http1 import Message
from tests.router_harness import (
    EVENTS,
    LISTEN,
    STREAM_HEAD,
    ask,
    chunk,
    make_config,
    running_router,
    serve_all,
    wait_until,
)
from tests.test_drain import END, asked, rest
from tests.test_handover import begin_only, two_processes


class LateReader:
    """A connection's reader that has just begun, and runs once more before it is killed."""

    def __init__(self, held: Any, before_kill: Callable[[], object]) -> None:
        self.held, self.stop, self.before_kill = held, held.input.stop, before_kill
        held.input.stop = self.kill

    def kill(self) -> None:
        self.held.input.greenlet = gevent.spawn(self.held.input.run)
        self.before_kill()
        self.stop()


def never_sent(text: bytes, descriptors: Any) -> bool:
    raise AssertionError("the connection was handed over")


# The client sends while its connection is prepared for the handover


def test_a_request_read_while_an_idle_connection_is_paused_is_answered_here() -> None:
    given = Event()

    def later(sock: socket.socket, message: Message) -> None:
        given.wait()
        serve_all(sock, message)

    with running_router(later) as (harness, engine):
        client = harness.client().send(b"GET /up HTTP/1.1\r\n\r\n")
        client.answer()
        (held,) = harness.inbound._clients
        wait_until(held.idle)

        def crossing() -> None:
            client.send(asked("crossing"))
            wait_until(lambda: harness.events_of(i.RequestArrived))

        LateReader(held, crossing)
        assert not connection_handover.send_idle(held, never_sent)
        given.set()
        assert client.answer().status == 200 and len(engine.requests) == 1
        assert client.send(asked("next")).answer().status == 200  # reading continues


@pytest.mark.parametrize("size", [1, 40])
def test_a_partial_request_read_while_reading_is_paused_is_kept(size: int) -> None:
    with running_router(serve_all) as (harness, _):
        client = harness.client().send(b"GET /up HTTP/1.1\r\n\r\n")
        client.answer()
        (held,) = harness.inbound._clients
        wait_until(held.idle)

        def crossing() -> None:
            client.send(asked("crossing")[:size])
            wait_until(lambda: held.input.parser.reading)

        LateReader(held, crossing)
        assert not connection_handover.send_idle(held, never_sent)
        assert client.send(asked("crossing")[size:]).answer().status == 200


def test_a_request_that_arrives_while_a_stream_is_paused_is_answered_by_the_next_process() -> None:
    """It is not read here; the next process reads it after the end of the stream."""
    step = Event()

    def in_two(sock: socket.socket, message: Message) -> None:
        step.wait()
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        wait_until(lambda: new.host.in_progress() == 1)
        sock.sendall(chunk(EVENTS[1]) + END)

    with two_processes(in_two) as (old, new, engine):
        client = old.client().send(asked("first"))
        wait_until(lambda: engine.requests)
        (held,) = old.inbound._clients

        def crossing() -> None:
            client.send(asked("second"))
            wait_until(held.has_unread)

        LateReader(held, crossing)
        step.set()
        assert rest(client, b"").status == 200
        assert client.answer().status == 503  # the next process has no engine
        assert not old.inbound._clients and not held.input.parser.complete


def test_a_stream_is_not_broken_off_while_its_reader_is_being_stopped() -> None:
    """A drain may reach `drain_move_ms` at that moment."""
    with two_processes(begin_only) as (old, new, engine):
        client = old.client()
        wait_until(lambda: old.inbound._clients)
        (held,) = old.inbound._clients
        LateReader(held, old.host.move_streams)
        client.send(ask())
        wait_until(lambda: new.host.in_progress() == 1)
        assert old.events_of(i.StreamStarted) and engine.closed == 0
        client.sock.settimeout(0.0)
        received = client.sock.recv(65536)
        assert received.endswith(chunk(EVENTS[0]))
        with pytest.raises(BlockingIOError):
            client.sock.recv(1)  # neither closed nor reset


# The other process


@contextmanager
def stream(**changes: Any) -> Iterator[tuple[bytes, list[int], list[socket.socket]]]:
    """A stream's message, the descriptors of its two connections, and their peers."""
    state = connection_handover.StreamState(
        connection_handover.VERSION, "9b1f", "chat", "acme", 0.0, 0.0, "e0", 0.0, 0.0,
        [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")], "", True, False,
    )  # fmt: skip
    pairs = [socket.socketpair() for _ in range(2)]
    numbers = [os.dup(theirs.fileno()) for _, theirs in pairs]
    for _, theirs in pairs:
        theirs.close()
    try:
        yield msgspec.json.encode(replace(state, **changes)), numbers, [ours for ours, _ in pairs]
    finally:
        for ours, _ in pairs:
            ours.close()


@pytest.mark.parametrize(
    "head",
    [
        [("no name", "")],
        [("content-length", "none")],
        [("snowman", "\u2603")],
    ],
)
def test_a_rejected_stream_with_an_invalid_head_leaves_nothing_behind(
    head: list[tuple[str, str]],
) -> None:
    """The other process is told that it was rejected, and keeps it."""
    with running_router() as (new,), stream(head=head) as (text, numbers, ends):
        with pytest.raises(HandoverDataError):
            connection_handover.receive(new.host, new.inbound, text, numbers)
        assert not new.inbound._clients and not new.host.open_requests() and not new.host.ids.is_open("9b1f")
        assert new.host._endpoints._pool._open_count == 0
        assert [end.recv(1) for end in ends] == [b"", b""]  # no descriptor stays open


@pytest.mark.parametrize("idle", [True, False])
def test_an_ending_process_accepts_no_handover(idle: bool) -> None:
    """It may have already checked for the last time what is still open."""
    with running_router() as (new,), stream() as (text, numbers, ends):
        new.inbound.drainer.begin(DrainCause.SIGTERM, DrainSchedule({}))
        if idle:
            os.close(numbers.pop())
            text = connection_handover.IDLE_MESSAGE
        with pytest.raises(HandoverDataError):
            connection_handover.receive(new.host, new.inbound, text, numbers)
        assert not new.inbound._clients and [end.recv(1) for end in ends] == [b"", b""]


@pytest.mark.parametrize("first", [True, False])
def test_if_one_descriptor_is_no_socket_all_are_closed(first: bool) -> None:
    with running_router() as (new,), stream() as (text, numbers, ends):
        file = os.open(os.devnull, os.O_RDONLY)
        numbers.insert(0 if first else 2, file)
        with pytest.raises(OSError):
            connection_handover.receive(new.host, new.inbound, text, numbers)
        assert [end.recv(1) for end in ends] == [b"", b""]
        with pytest.raises(OSError):
            os.fstat(file)


@pytest.mark.parametrize("taken", [True, False])
def test_a_stream_that_was_never_sent_is_rejected_and_not_unknown(tmp_path: Path, taken: bool) -> None:
    """Only a stream that was sent may be in another process; otherwise it continues here."""
    one, two = Handover(str(tmp_path)), Handover(str(tmp_path))
    one.refresh_peers()
    two.listen_for_streams(lambda text, descriptors: lambda: None)
    with socket.socket() as idle:
        number = idle.fileno() if taken else -1  # a closed descriptor can't be sent
        assert one.send_stream(b"x", [number]) is taken
    one.close()
    two.close()


def test_overrides_that_could_not_be_read_are_read_at_the_next_poll(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process may run out of descriptors for a short time."""
    one, two = Handover(str(tmp_path)), Handover(str(tmp_path))
    one.refresh_peers()
    two.write_overrides(b"said")

    def none_left(path: Path) -> bytes:
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as lacking:
        lacking.setattr(Path, "read_bytes", none_left)
        assert one.read_peer_overrides([]) == []
    assert one.read_peer_overrides([]) == [b"said"] and one.read_peer_overrides([]) == []
    one.close()
    two.close()


def test_a_newer_process_that_has_just_ended_is_no_successor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """SIGTERM may arrive before the next poll; the router then ends without a successor."""
    raw = make_config([])
    with socket.socket() as shared, running_router() as (harness,):
        shared.bind((LISTEN, 0))
        shared.listen(8)
        monkeypatch.setenv("TMPDIR", str(tmp_path))
        monkeypatch.setenv(INHERITED_FD_VARIABLE, str(os.dup(shared.fileno())))
        older = Coordinator(config.parse(msgspec.json.encode(raw)))
        older._host, older._inbound = harness.host, harness.inbound
        newer = Handover(str(tmp_path))
        older._handover.refresh_peers()  # type: ignore[union-attr]
        assert older.has_successor()
        newer.close()
        assert older.drain() is None
        older.close()
        assert older.inherited_socket is not None
        older.inherited_socket.close()


def test_a_request_that_arrives_during_an_idle_handover_does_not_end_it_for_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It arrives between the two checks of the connection and is still unread."""
    send_idle = connection_handover.send_idle
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with running_router(serve_all) as (harness, _):
        client = harness.client().send(ask())
        assert client.answer().status == 200
        (held,) = harness.inbound._clients
        wait_until(held.idle)

        def just_now(given: Any, send: Any) -> bool:
            client.send(ask(X_Correlation_Id="next"))
            assert given.has_unread() and given.idle()  # no other greenlet ran
            return send_idle(given, send)

        monkeypatch.setattr(connection_handover, "send_idle", just_now)
        coordinator = Coordinator(harness.config)
        monkeypatch.setattr(coordinator, "_send_idle", never_sent)
        assert coordinator._give_idle(held)
        assert client.answer().status == 200
        coordinator.close()


@pytest.mark.parametrize(("accepted", "goes_on"), [(False, True), (None, False)])
def test_a_rejected_stream_does_not_end_the_handover_of_others(accepted: bool | None, goes_on: bool) -> None:
    """Only a newer process that does not answer does: each stream would wait for it."""

    class NewerProcess:
        def send_stream(self, text: bytes, descriptors: Any) -> bool | None:
            return accepted

    with running_router(serve_all) as (harness, _):
        coordinator: Any = Coordinator.__new__(Coordinator)
        coordinator._handover, coordinator._host = NewerProcess(), harness.host
        harness.host.hand_over = lambda in_flight: True
        assert coordinator._send_stream(b"", ()) is accepted
        assert (harness.host.hand_over is not None) is goes_on
