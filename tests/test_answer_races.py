"""Tests events that happen between two steps of an attempt: a disconnect, the deadline, a list, a close.

Each order is forced (by a peer that stops at a certain byte, or a hook where the greenlet yields), not timed.
"""

from __future__ import annotations

import select
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.config import HostList, ListEntry
from spoolbarrow.net import http1
from spoolbarrow.net.http1 import Message, RequestParser
from tests.router_harness import (
    EVENTS,
    STREAM_HEAD,
    RouterHarness,
    ask,
    chunk,
    endpoint_entry,
    make_config,
    running_router,
    serve_all,
    wait_until,
)
from tests.test_client_disconnects import DISCONNECTS

LAST_CHUNK = b"0\r\n\r\n"
ANSWER = STREAM_HEAD + b"".join(map(chunk, EVENTS)) + LAST_CHUNK
LONG_BODY = b"x" * 200_000  # longer than the socket buffers of an engine that does not read
SMALL_BUFFER_BYTES = 4096  # size of a socket's buffer
RESTARTED_MS = 1000.0  # Unix ms; differs from the listed start, and is too long ago for a slow start


def outcomes(scene: Any) -> list[i.Outcome]:
    return [event.outcome for event in scene.events_of(i.AttemptEnded)]


def silent(sock: socket.socket, message: Message) -> None:
    """Send nothing."""


@contextmanager
def unread_engine(monkeypatch: pytest.MonkeyPatch, cancelling: bool) -> Iterator[tuple[Any, socket.socket]]:
    """A router and an engine whose receive window fills up during a long request."""
    connect = http1.connect

    def with_small_buffer(address: Any, timeout_s: float) -> socket.socket:
        sock = connect(address, timeout_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        return sock

    with socket.socket() as machine:
        machine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        machine.bind(("127.0.0.1", 0))
        machine.listen(1)
        settings = make_config([])["settings"]
        settings["Limits"]["Cancelling"] = cancelling
        monkeypatch.setattr(http1, "connect", with_small_buffer)
        scene = RouterHarness(
            make_config([endpoint_entry("e0", machine.getsockname()[1])], settings=settings)
        )
        try:
            yield scene, machine
        finally:
            scene.inbound.close()
            scene.host.stop()


def window_full(sock: socket.socket) -> bool:
    """Whether data of a long request has arrived; unread, it fills the window and stops the sender."""
    return bool(sock.recv(1, socket.MSG_PEEK))


def read_rest(sock: socket.socket) -> RequestParser:
    """Parse everything until the other side closes the connection."""
    parser = RequestParser(16384, 262144)
    while True:
        try:
            data = sock.recv(65536)
        except ConnectionResetError:
            return parser
        if not data:
            return parser
        parser.feed(memoryview(data))


@DISCONNECTS
@pytest.mark.parametrize("cancelling", [True, False])
def test_a_half_written_request_is_not_completed_for_a_disconnected_client(
    cancelling: bool, go: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine reads on only after the disconnect was noticed; it must never get the whole request."""
    with unread_engine(monkeypatch, cancelling) as (scene, machine):
        client = scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: window_full(engine))
        go(client)
        wait_until(lambda: scene.events_of(i.RequestGone))
        assert not read_rest(engine).complete
        wait_until(lambda: scene.host.open_requests() == 0)


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_half_written_request_is_not_completed_after_it_was_refused(
    cancelling: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A drain answers that no engine can have run it; the engine reads on only after that."""
    with unread_engine(monkeypatch, cancelling) as (scene, machine):
        client = scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: window_full(engine))
        scene.host.answer_all(100.0)
        assert client.answer().status == 503
        assert not read_rest(engine).complete
        wait_until(lambda: scene.host.open_requests() == 0)
        wait_until(lambda: outcomes(scene))
        assert outcomes(scene)[0] in i.NEVER_RAN | {i.Outcome.CANCELLED}


def test_a_long_request_to_a_slowly_reading_engine_is_completed(monkeypatch: pytest.MonkeyPatch) -> None:
    """As long as the time stated in the head is right: the clock is stopped, however busy the machine is."""
    with unread_engine(monkeypatch, True) as (scene, machine):
        now = scene.host.now()
        scene.host.now = lambda: now
        client = scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: window_full(engine))
        parser = RequestParser(16384, 262144)
        while not parser.complete:
            parser.feed(memoryview(engine.recv(65536)))
        assert parser.complete[0].body == LONG_BODY
        engine.sendall(ANSWER)
        assert client.answer().status == 200


def report(scene: Any, *lines: ListEntry) -> None:
    """Report these lines through discovery."""
    scene.host.destinations._discovery._accept_list(HostList(100, False, list(lines)))


def list_line(name: str, port: int, since_ms: float = 0.0) -> ListEntry:
    return ListEntry(name, f"127.0.0.1:{port}", "a", "m", since_ms=since_ms)


@pytest.mark.parametrize("probe", [False, True])
def test_a_connection_is_not_reused_after_its_engine_restarted_in_place(probe: bool) -> None:
    """The list reports the restart while the connection is in use: it leads to the old process."""
    proceed = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        proceed.wait()
        serve_all(sock, message)

    with running_router(wait) as (scene, engine):
        if probe:
            scene.host.endpoints().probe("e0")
        else:
            client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        report(scene, list_line("e0", engine.port, since_ms=RESTARTED_MS))
        proceed.set()
        if not probe:
            assert client.answer().status == 200
        wait_until(lambda: engine.closed == 1)  # it was closed
        assert scene.client().send(ask(X_Correlation_Id="next")).answer().status == 200
        assert engine.connections == 2


def test_the_connection_of_a_stream_that_was_taken_over_is_not_reused_after_its_engine_moved() -> None:
    """The endpoint moved before the stream was handed over: its connection leads to the old address."""
    with running_router(serve_all, serve_all) as (scene, old, new):
        report(scene, list_line("e0", new.port))
        sock = socket.create_connection(("127.0.0.1", old.port))
        pool = scene.host.endpoints()._pool
        pool.release(pool.adopt("e0", sock))
        wait_until(lambda: old.closed == 1)
        assert not pool._idle.get("e0")


def block_loop(seconds: float) -> None:
    """Let no greenlet run for this time, as if the process were paused or short of CPU time."""
    select.poll().poll(seconds * 1000)


@pytest.mark.parametrize("at", [len(STREAM_HEAD) // 2, len(STREAM_HEAD + chunk(EVENTS[0]))])
def test_data_that_arrived_while_the_process_was_paused_is_read_before_a_timeout(at: int) -> None:
    """When the process runs again, the rest of the answer is in the kernel and its timeout has expired.

    The event loop handles readable sockets before timeouts.
    """
    limit_ms = 1000.0
    parts: list[socket.socket] = []

    def begin(sock: socket.socket, message: Message) -> None:
        sock.sendall(ANSWER[:at])
        parts.append(sock)

    options = {"stream_silence_ms": limit_ms, "piece_ms": limit_ms}
    with running_router(begin, options=options) as (scene, _):
        client = scene.client().send(ask())
        wait_until(lambda: parts and scene.host._requests)
        (request,) = scene.host._requests.values()
        attempt = request.attempts[0]
        wait_until(lambda: attempt.answer_reader is not None and not attempt.answer_reader.connection.stale())
        gevent.sleep(0)  # lets its reader wait for the rest
        parts[0].sendall(ANSWER[at:])
        block_loop(1.2 * limit_ms / 1000)
        assert client.answer().status == 200
        wait_until(lambda: outcomes(scene) == [i.Outcome.SERVED])


def reset(sock: socket.socket) -> None:
    """Close a connection so that its peer gets a reset after the data."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize("begun", [0, len(STREAM_HEAD + chunk(EVENTS[0]))])
def test_an_answer_that_arrives_together_with_the_close_is_complete(begun: int, end: Any) -> None:
    """The kernel keeps data that arrived before a reset, and reports the reset after it."""
    proceed = Event()

    def answer_and_close(sock: socket.socket, message: Message) -> bool:
        sock.sendall(ANSWER[:begun])
        if begun:
            proceed.wait()
        sock.sendall(ANSWER[begun:])
        end(sock)
        return True

    with running_router(answer_and_close) as (scene, engine):
        for name in ("first", "next"):
            client = scene.client().send(ask(X_Correlation_Id=name))
            if begun:
                wait_until(lambda: scene.events_of(i.StreamStarted))
            proceed.set()
            answer = client.answer()
            assert answer.status == 200 and b"".join(answer.take_body()) == b"".join(EVENTS)
        wait_until(lambda: len(outcomes(scene)) == 2)
        assert outcomes(scene) == [i.Outcome.SERVED] * 2 and engine.connections == 2


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize("missing", [1, len(LAST_CHUNK), len(LAST_CHUNK) + 1])
def test_an_answer_without_its_last_byte_is_broken(missing: int, end: Any) -> None:
    """The data is forwarded, but never a last chunk."""

    def cut(sock: socket.socket, message: Message) -> bool:
        sock.sendall(ANSWER[:-missing])
        end(sock)
        return True

    with running_router(cut) as (scene, _):
        client, received = scene.client().send(ask()), b""
        while data := client.sock.recv(65536):
            received += data
        assert EVENTS[0] in received and not received.endswith(LAST_CHUNK)
        wait_until(lambda: outcomes(scene) == [i.Outcome.RESET])


@pytest.mark.parametrize("cut", [0, 8, 25, 40, 60])
def test_interim_answers_are_skipped(cut: int) -> None:
    """Interim answers before the answer, in one read or two."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall((interim + ANSWER)[:cut])
        gevent.idle()
        sock.sendall((interim + ANSWER)[cut:])

    with running_router(script) as (scene, _):
        client = scene.client().send(ask())
        answer = client.answer()
        assert answer.status == 200 and b"".join(answer.take_body()) == b"".join(EVENTS)
        assert client.send(ask(X_Correlation_Id="next")).answer().status == 200


def test_a_close_after_an_interim_answer_is_a_reset() -> None:
    def script(sock: socket.socket, message: Message) -> bool:
        sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    with running_router(script) as (scene, _):
        scene.client().send(ask()).answer()
        wait_until(lambda: outcomes(scene))
        assert outcomes(scene)[0] is i.Outcome.RESET


def test_an_early_answer_to_a_long_request_counts_despite_a_reset() -> None:
    """The engine reads only the head, answers that the body is too long, and closes.

    The kernel buffers the whole request; if it did not, the rest could not be written and it never ran.
    """
    with socket.socket() as machine:
        machine.bind(("127.0.0.1", 0))
        machine.listen(1)
        scene = RouterHarness(make_config([endpoint_entry("e0", machine.getsockname()[1])]))
        try:
            client = scene.client().send(ask(LONG_BODY))
            engine, _ = machine.accept()
            wait_until(lambda: window_full(engine))
            engine.sendall(b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n")
            engine.close()  # with unread bytes: sends a reset
            assert client.answer().status == 400
            assert outcomes(scene) == [i.Outcome.REJECTED]
        finally:
            scene.inbound.close()
            scene.host.stop()


def test_a_connection_is_not_reused_after_an_answer_with_connection_close() -> None:
    closing = ANSWER.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)

    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall(closing)

    with running_router(script) as (scene, engine):
        for name in ("first", "next"):
            assert scene.client().send(ask(X_Correlation_Id=name)).answer().status == 200
            wait_until(lambda: scene.host.open_requests() == 0)
        assert engine.connections == 2


@pytest.mark.parametrize("how", ["closed", "reset", "spoke"])
def test_what_an_engine_does_while_its_idle_connection_is_acquired_is_not_an_answer(how: str) -> None:
    """Between the check of the connection and the request's first byte.

    After a close, the request is written completely and may have run; after a reset, nothing is written and
    it did not run. Unsolicited bytes are not an event stream.
    """
    with running_router(serve_all) as (scene, engine):
        socks: list[socket.socket] = []

        def keep(sock: socket.socket, message: Message) -> None:
            socks.append(sock)
            serve_all(sock, message)

        engine.script = keep
        pool = scene.host.endpoints()._pool
        assert scene.client().send(ask()).answer().status == 200
        wait_until(lambda: scene.host.open_requests() == 0 and pool._idle)
        acquire = pool.acquire

        def acquire_after_event(endpoint: str) -> Any:
            pool.acquire = acquire
            pool._idle["e0"][0].idle_since -= 1000.0  # past the settle time
            connection = acquire(endpoint)
            if how == "spoke":
                socks[0].sendall(b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n")
            if how == "reset":
                socks[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            engine.greenlets[1].kill()  # closes its connection
            assert connection.stale()
            return connection

        pool.acquire = acquire_after_event
        scene.client().send(ask(X_Correlation_Id="next")).answer()
        wait_until(lambda: len(outcomes(scene)) > 1)
        expected = {"closed": i.Outcome.RESET, "reset": i.Outcome.UNREACHABLE, "spoke": i.Outcome.ERROR}
        assert outcomes(scene)[1] is expected[how]


@pytest.mark.parametrize("order", ["deadline first", "overdue", "refused first", "event first"])
def test_a_first_event_and_a_final_answer_in_one_tick_give_one_answer(order: str) -> None:
    """The first one counts, and the other one notices that."""
    proceed = Event()

    def answer_late(sock: socket.socket, message: Message) -> None:
        proceed.wait()
        sock.sendall(ANSWER)

    with running_router(answer_late) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        host = scene.host
        (key,) = host._requests
        claim = host.claim
        claims: list[bool] = []

        def claim_after_order(attempt: Any) -> bool:
            if order in ("deadline first", "overdue"):
                host._deadline(key)
            if order == "overdue":
                host._overdue(key)
            if order == "refused first":
                host._fail_fast(i.Refuse(key, 100.0))
            claims.append(claim(attempt))
            host._deadline(key)
            host._overdue(key)
            host._fail(i.Fail(key))
            host._fail_fast(i.Refuse(key, 100.0))
            host._cancel(i.Cancel(key, 0))
            host.answer_all(100.0)
            return claims[-1]

        host.claim = claim_after_order
        proceed.set()
        status = {"deadline first": 504, "overdue": 504, "refused first": 503, "event first": 200}[order]
        assert client.answer().status == status
        assert claims == [status == 200]
        wait_until(lambda: host.open_requests() == 0 and outcomes(scene))
        assert len(outcomes(scene)) == 1
        # Nothing follows the answer, and the connection is still usable.
        assert client.send(b"GET /up HTTP/1.1\r\n\r\n").answer().status == 200


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize(
    "cut",
    [len(STREAM_HEAD), len(STREAM_HEAD) + 1, len(STREAM_HEAD) + 9, len(STREAM_HEAD + chunk(EVENTS[0])) - 3],
)
@pytest.mark.parametrize(
    "framing", [chunk, lambda event: b"".join(chunk(event[n : n + 1]) for n in range(len(event)))]
)
def test_a_stream_that_breaks_within_its_first_event_does_not_reach_the_client(
    framing: Any, cut: int, end: Any
) -> None:
    """Another attempt may serve the request, and the client gets only that one's answer."""
    proceed = Event()

    def break_first_event(sock: socket.socket, message: Message) -> bool:
        scripts.remove(break_first_event)
        for engine in engines:
            engine.script = serve_all
        sock.sendall((STREAM_HEAD + framing(EVENTS[0]))[:cut])
        proceed.wait()
        end(sock)
        return True

    scripts = [break_first_event]
    with running_router(break_first_event, break_first_event) as (scene, *engines):
        client = scene.client().send(ask())
        wait_until(lambda: not scripts)
        (request,) = scene.host._requests.values()
        wait_until(
            lambda: (
                request.attempts[0].answer_reader and not request.attempts[0].answer_reader.connection.stale()
            )
        )
        assert not scene.events_of(i.StreamStarted)
        proceed.set()
        answer = client.answer()
        assert answer.status == 200 and b"".join(answer.take_body()) == b"".join(EVENTS)
        wait_until(lambda: len(outcomes(scene)) == 2)
        assert outcomes(scene) == [i.Outcome.RESET, i.Outcome.SERVED]


@pytest.mark.parametrize("event_first", [True, False])
def test_a_first_event_in_the_tick_in_which_another_attempt_ends_is_the_answer(event_first: bool) -> None:
    """Both are decided on together, and a running stream overrides the action on the other's end."""
    proceed = Event()

    def answer_late(sock: socket.socket, message: Message) -> None:
        proceed.wait()
        sock.sendall(ANSWER)

    with running_router(silent, silent) as (scene, *engines):
        client = scene.client().send(ask())
        wait_until(lambda: engines[0].requests or engines[1].requests)
        host = scene.host
        (request,) = host._requests.values()
        other = {"e0": 1, "e1": 0}[request.attempts[0].endpoint]
        engines[other].script = answer_late
        host._send(i.Send(request.key, f"e{other}"))
        wait_until(lambda: engines[other].requests)
        claim = host.claim

        def claim_after_order(attempt: Any) -> bool:
            claims: bool = claim(attempt) if event_first else False
            host.end_attempt(request.attempts[0], i.Outcome.RESET)
            if event_first:
                host._fail(i.Fail(request.key))
            else:
                claims = claim(attempt)
            return claims

        host.claim = claim_after_order
        proceed.set()
        assert client.answer().status == 200
        wait_until(lambda: len(outcomes(scene)) == 2)
        assert outcomes(scene) == [i.Outcome.RESET, i.Outcome.SERVED]
        assert client.send(b"GET /up HTTP/1.1\r\n\r\n").answer().status == 200
