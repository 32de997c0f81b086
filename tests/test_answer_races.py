"""What comes between two lines of an attempt: its client's end, the deadline, a list, an engine's close.

Each order is forced by a gate (a peer that stops at a byte, a hook at the yield), not by time.
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

END = b"0\r\n\r\n"
WHOLE = STREAM_HEAD + b"".join(map(chunk, EVENTS)) + END
LONG_BODY = b"x" * 200_000  # a body that an engine which reads nothing does not take in whole
SMALL = 4096  # bytes of a socket's buffer
RESTARTED = 1000.0  # Unix ms: another start than the one listed before, and so long ago that it is not cold


def outcomes(scene: Any) -> list[i.Outcome]:
    return [event.outcome for event in scene.events_of(i.AttemptEnded)]


def silent(sock: socket.socket, message: Message) -> None:
    """Say nothing."""


@contextmanager
def unread_engine(monkeypatch: pytest.MonkeyPatch, cancelling: bool) -> Iterator[tuple[Any, socket.socket]]:
    """A router before an engine whose window is full after some of a long request."""
    connect = http1.connect

    def with_small_buffer(address: Any, timeout_s: float) -> socket.socket:
        sock = connect(address, timeout_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
        return sock

    with socket.socket() as machine:
        machine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
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
    """Whether this connection has come to a stop with more to read than its window takes."""
    return bool(sock.recv(1, socket.MSG_PEEK))


def read_rest(sock: socket.socket) -> RequestParser:
    """All that still comes, parsed; until the other side ends it."""
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
def test_a_request_half_written_is_not_written_whole_for_a_client_that_has_gone(
    cancelling: bool, go: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine reads on only after the client's end was heard; it must never have the whole of it."""
    with unread_engine(monkeypatch, cancelling) as (scene, machine):
        client = scene.client().send(ask(LONG_BODY))
        engine, _ = machine.accept()
        wait_until(lambda: window_full(engine))
        go(client)
        wait_until(lambda: scene.events_of(i.RequestGone))
        assert not read_rest(engine).complete
        wait_until(lambda: scene.host.open_requests() == 0)


@pytest.mark.parametrize("cancelling", [True, False])
def test_a_request_half_written_is_not_written_whole_after_it_was_refused(
    cancelling: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A drain tells its client that no engine can have run it; the engine reads on only then."""
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


def test_a_long_request_that_an_engine_reads_slowly_is_written_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """As long as its head's time holds: the clock stands still, however busy the machine is."""
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
        engine.sendall(WHOLE)
        assert client.answer().status == 200


def news(scene: Any, *lines: ListEntry) -> None:
    """Discovery says this now."""
    scene.host.destinations._discovery._accept_list(HostList(100, False, list(lines)))


def line(name: str, port: int, since_ms: float = 0.0) -> ListEntry:
    return ListEntry(name, f"127.0.0.1:{port}", "a", "m", since_ms=since_ms)


@pytest.mark.parametrize("probe", [False, True])
def test_a_connection_is_not_kept_where_its_engine_was_restarted_in_place(probe: bool) -> None:
    """The list tells of the restart while the connection is in use: it leads to the process before."""
    go = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    with running_router(wait) as (scene, engine):
        if probe:
            scene.host.endpoints().probe("e0")
        else:
            client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        news(scene, line("e0", engine.port, since_ms=RESTARTED))
        go.set()
        if not probe:
            assert client.answer().status == 200
        wait_until(lambda: engine.closed == 1)  # it was closed
        assert scene.client().send(ask(X_Correlation_Id="next")).answer().status == 200
        assert engine.connections == 2


def test_a_stream_that_was_taken_over_does_not_keep_a_connection_to_where_its_engine_was() -> None:
    """The endpoint moved before the stream came to this process: its connection leads to the old address."""
    with running_router(serve_all, serve_all) as (scene, old, new):
        news(scene, line("e0", new.port))
        sock = socket.create_connection(("127.0.0.1", old.port))
        pool = scene.host.endpoints()._pool
        pool.release(pool.adopt("e0", sock))
        wait_until(lambda: old.closed == 1)
        assert not pool._idle.get("e0")


def hold(seconds: float) -> None:
    """Let no greenlet run for so long: the process is stopped, or short of processor time."""
    select.poll().poll(seconds * 1000)


@pytest.mark.parametrize("at", [len(STREAM_HEAD) // 2, len(STREAM_HEAD + chunk(EVENTS[0]))])
def test_what_came_while_this_process_stood_still_is_read_before_its_time_counts_as_over(at: int) -> None:
    """The rest of the answer stands in the kernel, and the time for it is over, when it next has a turn.

    Holds without a change: the event loop runs time-outs after what can be read.
    """
    limit_ms = 1000.0
    parts: list[socket.socket] = []

    def begin(sock: socket.socket, message: Message) -> None:
        sock.sendall(WHOLE[:at])
        parts.append(sock)

    options = {"stream_silence_ms": limit_ms, "piece_ms": limit_ms}
    with running_router(begin, options=options) as (scene, _):
        client = scene.client().send(ask())
        wait_until(lambda: parts and scene.host._requests)
        (request,) = scene.host._requests.values()
        attempt = request.attempts[0]
        wait_until(lambda: attempt.answer_reader is not None and not attempt.answer_reader.connection.stale())
        gevent.sleep(0)  # its reader waits for the rest
        parts[0].sendall(WHOLE[at:])
        hold(1.2 * limit_ms / 1000)
        assert client.answer().status == 200
        wait_until(lambda: outcomes(scene) == [i.Outcome.SERVED])


def reset(sock: socket.socket) -> None:
    """End a connection so that its peer hears of a reset, behind what was written to it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize("begun", [0, len(STREAM_HEAD + chunk(EVENTS[0]))])
def test_an_answer_that_comes_whole_with_its_connections_end_is_whole(begun: int, end: Any) -> None:
    """The kernel keeps what came before a reset, and tells of the end behind it. Holds without a change."""
    go = Event()

    def whole_and_end(sock: socket.socket, message: Message) -> bool:
        sock.sendall(WHOLE[:begun])
        if begun:
            go.wait()
        sock.sendall(WHOLE[begun:])
        end(sock)
        return True

    with running_router(whole_and_end) as (scene, engine):
        for name in ("first", "next"):
            client = scene.client().send(ask(X_Correlation_Id=name))
            if begun:
                wait_until(lambda: scene.events_of(i.StreamStarted))
            go.set()
            answer = client.answer()
            assert answer.status == 200 and b"".join(answer.take_body()) == b"".join(EVENTS)
        wait_until(lambda: len(outcomes(scene)) == 2)
        assert outcomes(scene) == [i.Outcome.SERVED] * 2 and engine.connections == 2


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize("missing", [1, len(END), len(END) + 1])
def test_an_answer_without_its_last_byte_is_broken(missing: int, end: Any) -> None:
    """What came is passed on, and never a last chunk. Holds without a change."""

    def cut(sock: socket.socket, message: Message) -> bool:
        sock.sendall(WHOLE[:-missing])
        end(sock)
        return True

    with running_router(cut) as (scene, _):
        client, got = scene.client().send(ask()), b""
        while data := client.sock.recv(65536):
            got += data
        assert EVENTS[0] in got and not got.endswith(END)
        wait_until(lambda: outcomes(scene) == [i.Outcome.RESET])


@pytest.mark.parametrize("cut", [0, 8, 25, 40, 60])
def test_interim_answers_are_none(cut: int) -> None:
    """Of an engine that says so before, in one read or two. Holds without a change."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall((interim + WHOLE)[:cut])
        gevent.idle()
        sock.sendall((interim + WHOLE)[cut:])

    with running_router(script) as (scene, _):
        client = scene.client().send(ask())
        answer = client.answer()
        assert answer.status == 200 and b"".join(answer.take_body()) == b"".join(EVENTS)
        assert client.send(ask(X_Correlation_Id="next")).answer().status == 200


def test_an_interim_answer_and_the_end_are_a_reset() -> None:
    def script(sock: socket.socket, message: Message) -> bool:
        sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    with running_router(script) as (scene, _):
        scene.client().send(ask()).answer()
        wait_until(lambda: outcomes(scene))
        assert outcomes(scene)[0] is i.Outcome.RESET


def test_an_early_answer_to_a_long_request_counts_though_its_connection_is_reset() -> None:
    """The engine reads the head alone, says that the body is too long, and closes. Holds without a change.

    The kernel takes the whole request in; where it does not, the rest can't be written, and it never ran.
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
            engine.close()  # over unread bytes: reset
            assert client.answer().status == 400
            assert outcomes(scene) == [i.Outcome.REJECTED]
        finally:
            scene.inbound.close()
            scene.host.stop()


def test_an_answer_that_says_close_is_not_followed_by_another_request() -> None:
    closing = WHOLE.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)

    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall(closing)

    with running_router(script) as (scene, engine):
        for name in ("first", "next"):
            assert scene.client().send(ask(X_Correlation_Id=name)).answer().status == 200
            wait_until(lambda: scene.host.open_requests() == 0)
        assert engine.connections == 2


@pytest.mark.parametrize("how", ["closed", "reset", "spoke"])
def test_what_an_engine_does_as_its_idle_connection_is_taken_is_no_answer(how: str) -> None:
    """Between the look at the connection and the request's first byte. Holds without a change.

    Closed, the bytes are written whole, so that it may have run; reset, none is, so that it never did. What
    it said unasked is no stream of events.
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
        take = pool.acquire

        def taken(endpoint: str) -> Any:
            pool.acquire = take
            pool._idle["e0"][0].idle_since -= 1000.0  # it has settled
            connection = take(endpoint)
            if how == "spoke":
                socks[0].sendall(b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n")
            if how == "reset":
                socks[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            engine.greenlets[1].kill()  # it closes its connection
            assert connection.stale()
            return connection

        pool.acquire = taken
        scene.client().send(ask(X_Correlation_Id="next")).answer()
        wait_until(lambda: len(outcomes(scene)) > 1)
        expected = {"closed": i.Outcome.RESET, "reset": i.Outcome.UNREACHABLE, "spoke": i.Outcome.ERROR}
        assert outcomes(scene)[1] is expected[how]


@pytest.mark.parametrize("order", ["deadline first", "overdue", "refused first", "event first"])
def test_a_first_event_and_a_final_answer_in_one_tick_give_one_answer(order: str) -> None:
    """Whichever comes first stands, and the other finds it so. Holds without a change."""
    go = Event()

    def late(sock: socket.socket, message: Message) -> None:
        go.wait()
        sock.sendall(WHOLE)

    with running_router(late) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        host = scene.host
        (key,) = host._requests
        claim = host.claim
        claims: list[bool] = []

        def claimed(attempt: Any) -> bool:
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

        host.claim = claimed
        go.set()
        status = {"deadline first": 504, "overdue": 504, "refused first": 503, "event first": 200}[order]
        assert client.answer().status == status
        assert claims == [status == 200]
        wait_until(lambda: host.open_requests() == 0 and outcomes(scene))
        assert len(outcomes(scene)) == 1
        # Nothing more came behind it, and the connection goes on.
        assert client.send(b"GET /up HTTP/1.1\r\n\r\n").answer().status == 200


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize(
    "cut",
    [len(STREAM_HEAD), len(STREAM_HEAD) + 1, len(STREAM_HEAD) + 9, len(STREAM_HEAD + chunk(EVENTS[0])) - 3],
)
@pytest.mark.parametrize(
    "framing", [chunk, lambda event: b"".join(chunk(event[n : n + 1]) for n in range(len(event)))]
)
def test_a_stream_that_breaks_inside_its_first_event_is_nobodys_yet(framing: Any, cut: int, end: Any) -> None:
    """Half an event is none: another attempt may serve the request, and its client hears of that alone."""
    go = Event()

    def breaks(sock: socket.socket, message: Message) -> bool:
        scripts.remove(breaks)
        for engine in engines:
            engine.script = serve_all
        sock.sendall((STREAM_HEAD + framing(EVENTS[0]))[:cut])
        go.wait()
        end(sock)
        return True

    scripts = [breaks]
    with running_router(breaks, breaks) as (scene, *engines):
        client = scene.client().send(ask())
        wait_until(lambda: not scripts)
        (request,) = scene.host._requests.values()
        wait_until(
            lambda: (
                request.attempts[0].answer_reader and not request.attempts[0].answer_reader.connection.stale()
            )
        )
        assert not scene.events_of(i.StreamStarted)
        go.set()
        answer = client.answer()
        assert answer.status == 200 and b"".join(answer.take_body()) == b"".join(EVENTS)
        wait_until(lambda: len(outcomes(scene)) == 2)
        assert outcomes(scene) == [i.Outcome.RESET, i.Outcome.SERVED]


@pytest.mark.parametrize("event_first", [True, False])
def test_a_first_event_in_the_tick_in_which_another_attempt_ends_is_the_answer(event_first: bool) -> None:
    """The decisions hear of both at once, and a stream stands over what they make of the end.

    Holds without a change.
    """
    go = Event()

    def late(sock: socket.socket, message: Message) -> None:
        go.wait()
        sock.sendall(WHOLE)

    with running_router(silent, silent) as (scene, *engines):
        client = scene.client().send(ask())
        wait_until(lambda: engines[0].requests or engines[1].requests)
        host = scene.host
        (request,) = host._requests.values()
        other = {"e0": 1, "e1": 0}[request.attempts[0].endpoint]
        engines[other].script = late
        host._send(i.Send(request.key, f"e{other}"))
        wait_until(lambda: engines[other].requests)
        claim = host.claim

        def claimed(attempt: Any) -> bool:
            claims: bool = claim(attempt) if event_first else False
            host.end_attempt(request.attempts[0], i.Outcome.RESET)
            if event_first:
                host._fail(i.Fail(request.key))
            else:
                claims = claim(attempt)
            return claims

        host.claim = claimed
        go.set()
        assert client.answer().status == 200
        wait_until(lambda: len(outcomes(scene)) == 2)
        assert outcomes(scene) == [i.Outcome.RESET, i.Outcome.SERVED]
        assert client.send(b"GET /up HTTP/1.1\r\n\r\n").answer().status == 200
