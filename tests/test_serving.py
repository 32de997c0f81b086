"""Tests the router on sockets between scripted clients, endpoints and discovery, and the limits of net/."""

from __future__ import annotations

import os
import select
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.net import client as client_module
from spoolbarrow.net import http1
from spoolbarrow.net.drain_schedule import DrainCause, DrainSchedule
from spoolbarrow.net.endpoint_client import probe_outcome
from spoolbarrow.net.http1 import Message, ResponseParser
from spoolbarrow.net.load_report import parse_load
from tests import router_harness as harness
from tests.router_harness import (
    EVENTS,
    LISTEN,
    STREAM_HEAD,
    Client,
    ScriptedServer,
    ask,
    chunk,
    endpoint_entry,
    make_config,
    running_router,
    serve_all,
    wait_until,
)

LAST_CHUNK = b"0\r\n\r\n"
ROOT = Path(__file__).resolve().parent.parent


def no_answer(sock: socket.socket, message: Message) -> None:
    """Read the request and send nothing."""


def close_unanswered(sock: socket.socket, message: Message) -> bool:
    return True


def outcomes(scene: Any) -> list[i.Outcome]:
    return [event.outcome for event in scene.events_of(i.AttemptEnded)]


def test_events_are_forwarded_unchanged_and_at_once() -> None:
    seen = Event()

    def in_two_steps(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        seen.wait()  # the rest only once the client has the first event
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with running_router(in_two_steps) as (scene, engine):
        client = scene.client().send(ask(X_Correlation_Id="9b1f", X_Trace="t1"))
        received = b""
        while EVENTS[0] not in received:
            received += client.sock.recv(65536)
        seen.set()
        while not received.endswith(b"0\r\n\r\n"):
            received += client.sock.recv(65536)
        assert received.partition(b"\r\n\r\n")[2] == b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"
        sent = engine.requests[0]
        assert (sent.method, sent.target) == (b"POST", b"/v1/chat/completions?a=b")
        assert sent.body == b'{"model":"chat"}'
        assert sent.fields[b"x-correlation-id"] == b"9b1f" and sent.fields[b"x-trace"] == b"t1"
        assert 0 < int(sent.fields[b"x-time-left-ms"]) <= 5000


def test_kept_alive_pipelined_and_split_requests_are_answered_in_order() -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client().send(ask(b"one") + ask(b"two") + ask(b"three")[:40])
        assert [client.answer().status for _ in range(2)] == [200, 200]
        client.send(ask(b"three")[40:])
        assert client.answer().take_body() and [m.body for m in engine.requests] == [b"one", b"two", b"three"]
        wait_until(lambda: scene.host.open_requests() == 0)
        assert client.send(ask(Connection="close")).answer().fields[b"connection"] == b"close"
        assert client.ended()


def test_request_facts_reach_the_decision_module() -> None:
    facts = "prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800,new=1"
    with running_router(serve_all) as (scene, _):
        scene.client().send(ask(X_Facts=facts, X_Account="other", X_Repeat="again", left=4000)).answer()
        (event,) = scene.events_of(i.RequestArrived)
        assert (event.prompt_tokens, event.shared_tokens, event.max_answer_tokens) == (5120, 2048, 800)
        assert (event.prefix, event.session) == (0x5C0F6E1A2B3D4C59, 0x7F3A)
        assert event.tenant == 1 and event.resumed
        assert 0 < event.budget_ms < 4000  # the answer is sent before the client gives up


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (ask(X_Facts="prompt_len=many"), 400),
        (ask(X_Facts="prompt_len"), 400),
        (ask(X_Facts="prompt_len=-4"), 400),
        (ask(X_Session_Key="not hex"), 400),
        (ask(X_Service_Class="odd"), 400),
        (ask(X_Account="nobody"), 400),
        (ask(X_Correlation_Id=""), 400),
        (ask(X_Time_Left_Ms="soon"), 400),
        (ask(Transfer_Encoding="chunked"), 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /nowhere HTTP/1.1\r\n\r\n", 404),
        (b"GET /v1/chat/completions HTTP/1.1\r\n\r\n", 405),
        (b"POST /up HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (ask(b"x" * 262145), 413),
        (ask(X_Long="x" * 20000), 431),
        (ask(left=0), 504),
    ],
)
def test_a_rejected_request_is_answered_and_not_decided_on(raw: bytes, status: int) -> None:
    with running_router(serve_all) as (scene, engine):
        answer = scene.client().send(raw).answer()
        assert answer.status == status
        assert status != 405 or answer.fields[b"allow"] == {b"G": b"POST", b"P": b"GET"}[raw[:1]]
        assert not scene.events_of(i.RequestArrived) and not engine.requests
        assert scene.client().send(ask()).answer().status == 200  # the router keeps serving


def test_up_needs_a_usable_list() -> None:
    up = b"GET /up HTTP/1.1\r\n\r\n"
    with running_router(serve_all) as (scene, _):
        assert scene.client().send(up).answer().status == 200
        scene.inbound.drainer.begin(DrainCause.SIGTERM, DrainSchedule({}))
        assert scene.client().send(up).answer().status == 503
    with running_router() as (scene,):
        assert scene.client().send(up).answer().status == 503


def test_a_broken_stream_ends_the_clients_connection_without_the_last_chunk() -> None:
    def half_stream(sock: socket.socket, message: Message) -> bool:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        return True

    with running_router(half_stream) as (scene, engine):
        with pytest.raises(ConnectionResetError):
            scene.client().send(ask()).answer()
        wait_until(lambda: outcomes(scene) == [i.Outcome.RESET])
        assert scene.events_of(i.AttemptEnded)[0].closed and len(engine.requests) == 1


def test_a_broken_stream_keeps_its_events_if_its_client_sent_more() -> None:
    """Closing a connection with unread bytes resets it, which would lose the bytes in the kernel."""
    proceed = Event()

    def half_stream(sock: socket.socket, message: Message) -> bool:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        return proceed.wait()

    with running_router(half_stream) as (scene, _):
        client = scene.client().send(ask())
        received = client.sock.recv(65536)
        connection = wait_until(lambda: next(iter(scene.inbound._clients), None))
        assert connection is not None
        client.send(b"".join(ask(X_Correlation_Id=str(n)) for n in range(5)) + b"POST")
        wait_until(connection.has_unread)
        proceed.set()
        while data := client.sock.recv(65536):
            received += data
        assert EVENTS[0] in received and LAST_CHUNK not in received
        client.sock.close()
        wait_until(lambda: not scene.inbound._clients)


@pytest.mark.parametrize("endless", [b"0", b";x"])
def test_an_endless_chunk_header_ends_the_stream(endless: bytes) -> None:
    """Each byte is in time, and no chunk has begun: only the time limit of the line can end it."""

    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]) + b"0")
        while True:
            sock.sendall(endless)
            gevent.sleep(0.005)

    with running_router(script, options={"piece_ms": 50.0}) as (scene, engine):
        with pytest.raises(ConnectionResetError):
            scene.client().send(ask()).answer()
        wait_until(lambda: engine.closed == 1 and outcomes(scene) == [i.Outcome.UNREADABLE])


def test_a_request_that_is_complete_when_its_timeout_expires_is_served() -> None:
    """A paused process finds the timeout expired and the rest unread; the client was in time."""
    with running_router(serve_all) as (scene, _):
        client = scene.client().send(ask()[:40])
        connection = wait_until(lambda: next(iter(scene.inbound._clients), None))
        assert connection is not None
        wait_until(lambda: connection.input.parser.reading)
        client.sock.sendall(ask()[40:])
        watched = select.poll()
        watched.register(connection.sock.fileno(), select.POLLIN)
        assert watched.poll(20_000)  # no greenlet runs meanwhile
        connection.since = 0.0
        scene.inbound._close_overdue()
        assert client.answer().status == 200


def test_no_connection_delays_small_writes() -> None:
    with http1.listen(("127.0.0.1", 0), 1) as listener:
        ours = http1.connect(listener.getsockname(), 5.0)
        theirs, _ = listener.accept()
        for sock in (ours, theirs):
            with sock:
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


def test_a_broken_pooled_connection_is_a_reset_and_only_the_decision_module_retries() -> None:
    def close_on_second(sock: socket.socket, message: Message) -> bool:
        if message.body != b"again":
            serve_all(sock, message)
        return message.body == b"again"

    with running_router(close_on_second) as (scene, engine):
        client = scene.client()
        client.send(ask(b"first")).answer()
        status = client.send(ask(b"again")).answer().status
        wait_until(lambda: len(outcomes(scene)) > 1)
        assert outcomes(scene)[1] is i.Outcome.RESET and status == 503
        assert [m.body for m in engine.requests] == [b"first", b"again"]  # there is no other endpoint


def test_a_refusal_is_sent_at_once_with_retry_after() -> None:
    def refuse(sock: socket.socket, message: Message) -> None:
        sock.sendall(harness.UNPROCESSED_503)

    with running_router(refuse) as (scene, _):
        answer = scene.client().send(ask(left=9_000)).answer()  # the test would time out if it were held
        assert answer.status == 503 and 0 < float(answer.fields[b"retry-after"]) <= 2.0
        assert outcomes(scene) == [i.Outcome.FULL]


def test_a_refused_connection_is_unreachable() -> None:
    with running_router(no_answer) as (scene, engine):
        engine.listener.close()
        engine.close()
        assert scene.client().send(ask()).answer().status == 503
        assert outcomes(scene) == [i.Outcome.UNREACHABLE]


def test_the_deadline_ends_an_unanswered_attempt_and_closes_its_connection() -> None:
    with running_router(no_answer) as (scene, engine):
        assert scene.client().send(ask(left=150)).answer().status == 504
        wait_until(lambda: engine.closed == 1)
        assert outcomes(scene) == [i.Outcome.TIMEOUT]
        wait_until(lambda: scene.host.open_requests() == 0)


def test_time_in_the_accept_queue_counts_against_the_budget() -> None:
    """The stated time left must not exceed what a client has that waited to be accepted."""
    with running_router(serve_all) as (scene, engine):
        scene.inbound._accepting.kill()
        client = scene.client().send(ask(left=60))
        gevent.sleep(0.15)
        scene.inbound._accepting = gevent.spawn(scene.inbound._accept, scene.inbound._listener, True)
        assert client.answer().status == 504 and not engine.requests


@pytest.mark.parametrize("streaming", [False, True])
def test_a_client_that_disconnects_frees_its_endpoint(streaming: bool) -> None:
    def begin(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]) if streaming else b"")

    with running_router(begin) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: scene.events_of(i.StreamStarted) if streaming else engine.requests)
        client.sock.close()
        wait_until(lambda: engine.closed == 1 and scene.events_of(i.RequestGone))
        wait_until(lambda: outcomes(scene) == [i.Outcome.CANCELLED] and scene.host.open_requests() == 0)


def test_a_slow_client_applies_backpressure_to_its_endpoint() -> None:
    sent = 0

    def flood(sock: socket.socket, message: Message) -> None:
        nonlocal sent
        sock.sendall(STREAM_HEAD)
        for _ in range(1000):
            sock.sendall(chunk(b"x" * 65536))
            sent += 65536

    with running_router(flood) as (scene, _):
        scene.client().send(ask())
        wait_until(lambda: sent)
        before = -1
        while (
            sent != before
        ):  # until it stops: only the kernel's buffers are full, not all 64 MB are forwarded
            before = sent
            gevent.sleep(0.3)
        assert sent < 32 << 20


def test_a_client_that_reads_nothing_for_too_long_is_disconnected() -> None:
    def flood(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD)
        while True:
            sock.sendall(chunk(b"x" * 65536))

    with running_router(flood, options={"stall_ms": 500.0}) as (scene, engine):
        scene.client().send(ask())
        wait_until(lambda: scene.events_of(i.RequestGone) and engine.closed == 1)
        assert not scene.inbound._clients


def test_bodies_beyond_the_memory_limit_are_refused() -> None:
    with running_router(serve_all, limits={"memory_mb": 0.01}) as (scene, engine):
        answer = scene.client().send(ask(b"x" * 4000)).answer()
        assert answer.status == 503 and answer.fields[b"retry-after"] and not engine.requests
        assert scene.client().send(ask()).answer().status == 200
        wait_until(lambda: scene.inbound.held_bytes == 0)


def test_http_1_0_clients_get_no_chunks_and_expect_100_continue_is_answered() -> None:
    with running_router(serve_all) as (scene, _):
        client = scene.client().send(ask().replace(b"HTTP/1.1", b"HTTP/1.0"))
        answer = client.answer()
        assert answer.take_body() == [bytes([byte]) for byte in b"".join(EVENTS)] and not answer.reusable
        client = scene.client().send(ask(Expect="100-continue").removesuffix(b'{"model":"chat"}'))
        assert client.sock.recv(65536) == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert client.send(b'{"model":"chat"}').answer().status == 200


def test_of_two_first_events_in_one_tick_one_attempt_wins() -> None:
    with running_router(no_answer, no_answer) as (scene, *engines):
        scene.client().send(ask())
        wait_until(lambda: engines[0].requests or engines[1].requests)
        (request,) = scene.host._requests.values()
        other = {"e0": "e1", "e1": "e0"}[request.attempts[0].endpoint]
        scene.host._send(i.Send(request.key, other))
        first, second = request.attempts
        assert scene.host.claim(second) and not scene.host.claim(first)
        scene.host._fail_fast(
            i.Refuse(request.key)
        )  # decided before the event was reported: the stream goes on
        assert not request.finished
        scene.host._cancel(i.Cancel(request.key, 1))  # a stream is not cancelled
        assert not second.ended


def test_an_endpoint_withdrawn_while_connecting_is_not_written_to() -> None:
    """The drain's time limit applies to the first byte sent, not to the decision."""
    with running_router(serve_all) as (scene, engine):
        acquire = scene.host._endpoints._pool.acquire

        def acquire_slowly(address: Any) -> Any:
            connection = acquire(address)
            scene.host.destinations._serving.discard("e0")
            return connection

        scene.host._endpoints._pool.acquire = acquire_slowly
        assert scene.client().send(ask()).answer().status == 503
        assert outcomes(scene) == [i.Outcome.UNREACHABLE] and not engine.requests


def test_a_repeat_that_connects_after_the_repeat_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Prevents a second effect: the window ends at the last byte sent, not at the decision."""
    connect = http1.connect
    ports: list[int] = []

    def second_connect_is_late(address: Any, timeout_s: float) -> socket.socket:
        if address[1] in (engines[0].port, engines[1].port):
            ports.append(address[1])
            if len(ports) == 2:
                scene.host.now._offset += 20.0  # advances the clock instead of waiting
        return connect(address, timeout_s)

    settings = make_config([])["settings"]
    settings["Classes"][0] |= {"Effect": "dedup", "Group": "all", "RepeatWindowMs": 20e3, "DeadlineMs": 60e3}
    with running_router(close_unanswered, close_unanswered, settings=settings) as (scene, *engines):
        monkeypatch.setattr(http1, "connect", second_connect_is_late)
        # The client may repeat it, as the group is `all`.
        assert scene.client().send(ask(left=60_000)).answer().status == 503
        assert outcomes(scene) == [i.Outcome.RESET, i.Outcome.MOOT]
        assert sum(len(engine.requests) for engine in engines) == 1


def test_idle_connections_expire_and_only_clean_ones_are_reused() -> None:
    def answer_and_more(sock: socket.socket, message: Message) -> None:
        serve_all(sock, message)
        sock.sendall(b"HTTP/1.1 200 OK\r\n")

    with running_router(answer_and_more) as (scene, engine):
        for _ in range(2):
            scene.client().send(ask()).answer()
            wait_until(lambda: scene.host.open_requests() == 0)
        assert engine.connections == 2  # unsolicited bytes make a connection unusable
    with running_router(serve_all) as (scene, engine):
        for _ in range(2):
            scene.client().send(ask()).answer()
            wait_until(lambda: scene.host.open_requests() == 0)
            gevent.sleep(0.02)
        assert engine.connections == 1
        (connection,) = next(iter(scene.host._endpoints._pool._idle.values()))
        connection.idle_since -= (
            0.9 * scene.config.endpoint_idle_ms
        )  # below the configured time, which has a margin
        scene.host._endpoints._pool.sweep()
        wait_until(lambda: engine.closed == 1)


def test_connections_beyond_the_limit_wait_until_one_is_idle() -> None:
    seen = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        seen.wait()
        serve_all(sock, message)

    with running_router(wait, limits={"sockets": 64}) as (scene, _):
        clients = [scene.client().send(ask()) for _ in range(scene.config.max_inbound + 1)]
        wait_until(lambda: len(scene.inbound._clients) == scene.config.max_inbound)
        assert len(scene.inbound._clients) == scene.config.max_inbound
        seen.set()
        assert clients[-1].answer().status == 200


def test_accepting_continues_after_running_out_of_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_router(serve_all) as (scene, _):
        accept = type(scene.inbound._listener).accept
        failures = iter([OSError(24, "Too many open files")])

        def accept_failing(listener: Any) -> Any:
            for error in failures:
                raise error
            return accept(listener)

        monkeypatch.setattr(type(scene.inbound._listener), "accept", accept_failing)
        scene.client().send(ask()).answer()  # the pending accept is the old one
        assert scene.client().send(ask()).answer().status == 200


def test_an_exception_in_the_decision_module_still_gives_an_answer() -> None:
    with running_router(serve_all) as (scene, _):
        scene.host._router.handlers[i.RequestArrived] = lambda event: 1 / 0
        assert scene.client().send(ask()).answer().status == 502
        scene.host._router.handlers[i.RequestArrived] = scene.host._router._on_request
        assert scene.client().send(ask()).answer().status == 200


def test_an_exception_in_inbound_still_gives_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_router(serve_all) as (scene, _):
        monkeypatch.setattr(client_module, "admit", lambda *given: 1 / 0)
        assert scene.client().send(ask()).answer().status == 500


def test_a_request_that_is_never_decided_on_is_answered_at_its_deadline() -> None:
    with running_router(serve_all) as (scene, _):
        scene.host._router.handle = lambda now, events: []
        assert scene.client().send(ask(left=100)).answer().status == 504


def list_chunks(*objects: object) -> bytes:
    return b"".join(chunk(msgspec.json.encode(o) + b"\n") for o in objects)


def test_the_watch_follows_the_list_and_reports_its_end() -> None:
    since = harness.now_unix_ms()

    def follow(sock: socket.socket, message: Message) -> bool:
        changed = [endpoint_entry("e0", 1, status="terminating"), endpoint_entry("new", 2, since_ms=since)]
        change = {"index": 9, "endpoints": changed}
        sock.sendall(STREAM_HEAD + list_chunks(change)[:9])
        sock.sendall(list_chunks(change)[9:] + chunk(b"\n"))
        return message.target == b"/discovery/hosts?stream=1&index=9"

    with running_router(serve_all, watch=follow, options={"watch_silence_ms": 900.0}) as (scene, _):
        wait_until(lambda: len(scene.events_of(i.ReplicaList)) >= 3)
        restored, changes, again = scene.events_of(i.ReplicaList)[:3]
        assert (restored.kind, changes.kind) == (i.ListKind.RESTORED, i.ListKind.CHANGES)
        assert [e.state.name for e in changes.entries] == ["DRAINING", "SERVING"]
        assert changes.entries[1].started_at_ms == since  # on the clock that `handle` gets
        assert abs(scene.host.now() - harness.now_unix_ms()) < 60_000
        # Idle, with its connection open: the next watch starts at once, from the last version.
        assert again.kind is i.ListKind.CHANGES
        assert not scene.host.destinations.serving("e0") and scene.host.destinations.serving("new")
        wait_until(
            lambda: scene.events_of(i.ReplicaList)[-1].kind is i.ListKind.FAILED
        )  # the second watch is closed


@pytest.mark.parametrize(
    "said", [harness.UNPROCESSED_503, STREAM_HEAD + chunk(b"{]\n"), STREAM_HEAD + b"0\r\n\r\n", b"\x00"]
)
def test_a_failed_watch_is_reported_once(said: bytes) -> None:
    with running_router(watch=lambda sock, message: sock.sendall(said)) as (scene,):
        wait_until(lambda: len(scene.events_of(i.ReplicaList)) > 1)
        gevent.sleep(0.05)
        kinds = [event.kind for event in scene.events_of(i.ReplicaList)]
        assert kinds == [i.ListKind.RESTORED, i.ListKind.FAILED]


def test_a_load_report_is_parsed_by_field_name() -> None:
    assert parse_load(b"x1=1.5, util=0.25,x0=0.5,odd") == i.Report(0.5, 1500.0, -1.0, 0.25)
    assert parse_load(b"") is None and parse_load(b"\xff=\xff") is None


@pytest.mark.parametrize(
    ("head", "outcome"),
    [
        (b"200 OK", i.Outcome.SERVED),
        (b"503 No", i.Outcome.TIMEOUT),  # the probe waited in vain: unresponsive, not full
        (b"503 No\r\nX-Unprocessed: 1", i.Outcome.FULL),
        (b"404 No", i.Outcome.ERROR),
    ],
)
def test_probe_outcomes_distinguish_unresponsive_from_full_endpoints(head: bytes, outcome: i.Outcome) -> None:
    parser = ResponseParser(500)
    parser.feed(memoryview(b"HTTP/1.1 " + head + b"\r\nContent-Length: 0\r\n\r\n"))
    assert probe_outcome(parser) is outcome


def test_sigterm_finishes_accepted_requests_and_config_errors_exit_2(tmp_path: Path) -> None:
    seen = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        seen.wait()
        serve_all(sock, message)

    engine = ScriptedServer(wait)
    raw = make_config([endpoint_entry("e0", engine.port)])
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(raw))
    environment = {**os.environ, "NODE_CONFIG": str(tmp_path / "config.json")}
    run = [sys.executable, "-m", "spoolbarrow"]
    port = int(raw["listen"].rpartition(":")[2])
    with subprocess.Popen(run, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL) as router:
        try:
            wait_until(lambda: not socket.socket().connect_ex((LISTEN, port)))
            waiting, idle = Client(port).send(ask()), Client(port)
            wait_until(lambda: engine.requests)
            router.send_signal(signal.SIGTERM)
            wait_until(lambda: Client(port).send(b"GET /up HTTP/1.1\r\n\r\n").answer().status == 503)
            late = idle.send(ask(X_Correlation_Id="late"))  # on a kept-alive connection: still accepted
            seen.set()
            answers = [waiting.answer(), late.answer()]
            assert [a.status for a in answers] == [200, 200]
            wait_until(lambda: router.poll() is not None)
            assert router.returncode == 0
        finally:
            router.kill()
            engine.close()
    done = subprocess.run(run, cwd=ROOT, env={"NODE_CONFIG": "/none"}, capture_output=True, text=True)
    assert done.returncode == 2 and "NODE_CONFIG" in done.stderr
