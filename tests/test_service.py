"""Tests the running router with faulty clients and endpoints, replaced endpoints and new configurations."""

from __future__ import annotations

import os
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
from spoolbarrow.config import parse
from spoolbarrow.net.client import ClientConnection as InboundClient
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.load_report import parse_load
from spoolbarrow.router import Router
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

ROOT = Path(__file__).resolve().parent.parent
SHORT_TIMEOUTS = {"head_timeout_ms": 400.0, "keep_alive_ms": 400.0}


def refuse_400(sock: socket.socket, message: Message) -> None:
    sock.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")


def serve_after(seen: Event) -> Any:
    def script(sock: socket.socket, message: Message) -> None:
        seen.wait()
        serve_all(sock, message)

    return script


# Faulty clients


def test_a_request_that_an_endpoint_rejects_is_tried_once_and_blamed_on_the_client() -> None:
    """Endpoints must not count as failing because of such clients, or other requests would be refused."""
    with running_router(refuse_400, refuse_400) as (scene, *engines):
        assert scene.client().send(ask()).answer().status == 400
        assert sum(len(engine.requests) for engine in engines) == 1
        wait_until(lambda: scene.host.open_requests() == 0)
        assert all(replica.failing_level == 0.0 for replica in scene.host._router.pool.replicas.values())


def test_the_id_of_an_open_request_is_rejected() -> None:
    seen = Event()
    with running_router(serve_after(seen)) as (scene, engine):
        raw = ask()
        first = scene.client().send(raw)
        wait_until(lambda: engine.requests)
        assert scene.client().send(raw).answer().status == 409
        seen.set()
        assert first.answer().status == 200 and len(engine.requests) == 1
        wait_until(lambda: scene.host.open_requests() == 0)
        assert not scene.host.ids._open


@pytest.mark.parametrize("sent", [b"", b"\r\n", ask()[:30], ask()[:-3]])
def test_a_connection_without_a_complete_request_times_out_with_408(sent: bytes) -> None:
    with running_router(serve_all, options=SHORT_TIMEOUTS) as (scene, engine):
        client = scene.client().send(sent)
        assert client.answer().status == 408 and client.ended() and not engine.requests


def test_a_trickling_head_gets_no_extra_time() -> None:
    with running_router(serve_all, options=SHORT_TIMEOUTS) as (scene, _):
        client = scene.client()

        def trickle() -> None:
            for byte in ask():
                client.send(bytes([byte]))
                gevent.sleep(0.02)

        trickling = gevent.spawn(trickle)
        assert client.answer().status == 408
        trickling.kill()


def test_a_used_idle_connection_is_closed_without_an_answer() -> None:
    """A 408 could cross the next request and pass for its answer."""
    with running_router(serve_all, options=SHORT_TIMEOUTS) as (scene, _):
        client = scene.client().send(ask())
        assert client.answer().status == 200 and client.ended()
        wait_until(lambda: not scene.inbound._clients)


def test_an_idle_connection_with_an_unread_request_is_not_closed() -> None:
    with running_router(serve_all) as (scene, _):
        client = scene.client().send(ask())
        client.answer()
        wait_until(lambda: scene.host.open_requests() == 0)
        (served,) = scene.inbound._clients
        served.since -= 60_000
        client.send(ask())
        while not served.has_unread():
            pass  # busy-wait: no greenlet may run, so that its reader does not read it
        assert not scene.inbound._make_room() and client.answer().status == 200


def test_an_oversized_body_is_refused_by_its_declared_length_while_it_is_sent() -> None:
    with running_router(serve_all) as (scene, engine):
        client = scene.client().send(ask(Content_Length="60000000"))
        sending = gevent.spawn(client.sock.sendall, b"x" * 8_000_000)
        assert client.answer().status == 413 and not engine.requests
        assert scene.inbound.held_bytes == 0
        sending.join()  # the rest is read and discarded: a reset would discard the answer


@pytest.mark.parametrize("pause", [0.0, 0.05])
def test_a_request_followed_by_garbage_is_not_served(pause: float) -> None:
    """Half of a body whose declared length is too small must not be forwarded."""
    seen = Event()
    with running_router(serve_after(seen)) as (scene, engine):
        client = scene.client()
        if pause:
            client.send(ask())
            wait_until(lambda: engine.requests)
            client.send(b'"more":1}')
            seen.set()  # the running request continues and gets its answer
            assert client.answer().status == 200
        else:
            client.send(ask() + b'"more":1}')
        answer = client.answer()
        assert answer.status == 400 and answer.fields[b"connection"] == b"close" and client.ended()
        wait_until(lambda: scene.host.open_requests() == 0)
        assert len(engine.requests) == (1 if pause else 0)


@pytest.mark.parametrize("left", ["nan", "inf", "1e3", "-5", "", "99999999", "4 800"])
def test_a_request_with_an_invalid_deadline_is_not_decided_on(left: str) -> None:
    with running_router(serve_all) as (scene, _):
        assert scene.client().send(ask(X_Time_Left_Ms=left)).answer().status == 400
        assert not scene.events_of(i.RequestArrived)


def test_incomplete_bodies_count_against_the_memory_limit() -> None:
    with running_router(serve_all, limits={"memory_mb": 0.01}) as (scene, _):
        answer = scene.client().send(ask(b"x" * 4000)[:-9]).answer()
        assert answer.status == 503 and answer.fields[b"retry-after"]


def test_idle_connections_are_closed_for_new_requests() -> None:
    with running_router(serve_all, limits={"sockets": 64}) as (scene, _):
        silent = [scene.client() for _ in range(3 * scene.config.max_inbound)]
        assert scene.client().send(ask()).answer().status == 200
        assert len(scene.inbound._clients) <= scene.config.max_inbound < len(silent)


def test_an_exception_while_parsing_is_answered_with_500(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_router(serve_all) as (scene, _):
        monkeypatch.setattr(InboundClient, "fed", lambda *given: 1 / 0)
        client = scene.client().send(ask())
        assert client.answer().status == 500 and client.ended()


# Faulty endpoints


def outcomes(scene: Any) -> list[i.Outcome]:
    return [event.outcome for event in scene.events_of(i.AttemptEnded)]


OK_HEAD_START = b"HTTP/1.1 200 OK\r\nA: "


@pytest.mark.parametrize(
    "malformed",
    [
        OK_HEAD_START,
        OK_HEAD_START + b"b\r\n\r\n3\r\nabc\r\n",
        OK_HEAD_START + b"x" * 20000,
        STREAM_HEAD[:-2] + b"3\r\n",
        b"HTTP/1.1 2x0",
        b"\x16",
    ],
)
def test_an_answer_malformed_before_its_first_event_is_retried(malformed: bytes) -> None:
    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall(malformed)

    with running_router(script, serve_all, options={"piece_ms": 50.0}) as (scene, bad, _):
        while not bad.requests:
            assert scene.client().send(ask()).answer().status == 200
            wait_until(lambda: scene.host.open_requests() == 0)
        assert i.Outcome.UNREADABLE in outcomes(scene) and bad.closed == len(bad.requests)
        assert all(now < 0 for now in (r.suspect_until for r in scene.host._router.pool.replicas.values()))


@pytest.mark.parametrize(
    "malformed", [b"zz\r\nabc", b"2\r\nabc\r\n", b"ff\r\nabc\r\n", b"c0000000\r\ndata: 1\n\n", b"", b"4"]
)
def test_a_stream_malformed_later_ends_without_the_last_chunk(malformed: bytes) -> None:
    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(b"data: 1\n\n"))
        gevent.sleep(0.02)
        sock.sendall(malformed)
        while malformed[:2] == b"c0":  # a chunk of 3 GB that keeps arriving
            sock.sendall(b"data: 1\n\n")
            gevent.sleep(0.005)

    with running_router(script, options={"piece_ms": 50.0, "stream_silence_ms": 900.0}) as (scene, engine):
        with pytest.raises(ConnectionResetError):
            scene.client().send(ask()).answer()
        wait_until(lambda: len(outcomes(scene)) == 1 and engine.closed == 1)


SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd"


def send_all_at_once(sock: socket.socket, message: Message) -> None:
    early = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n"
    answer = STREAM_HEAD + b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"
    sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" + early + answer + SECOND_ANSWER)


def test_bytes_after_an_answer_are_discarded_and_its_connection_is_not_reused() -> None:
    with running_router(send_all_at_once) as (scene, engine):
        for number in range(1, 4):
            answer = scene.client().send(ask()).answer()
            assert (answer.status, b"".join(answer.take_body())) == (200, b"".join(EVENTS))
            wait_until(lambda: scene.host.open_requests() == 0)
            assert engine.connections == number


def test_bytes_on_an_idle_connection_close_it_and_lengthen_the_settle_time() -> None:
    """An endpoint's second answer, sent late, must not pass for the answer to the next request."""
    socks: list[socket.socket] = []

    def keep_socket(sock: socket.socket, message: Message) -> None:
        socks.append(sock)
        serve_all(sock, message)

    with running_router(keep_socket) as (scene, engine):
        pool = scene.host._endpoints._pool
        assert scene.client().send(ask()).answer().status == 200
        wait_until(lambda: pool._idle)
        (connection,) = pool._idle["e0"]
        connection.idle_since -= 100.0  # the bytes come this late
        socks[0].sendall(SECOND_ANSWER)
        wait_until(connection.stale)
        assert scene.client().send(ask()).answer().status == 200
        wait_until(lambda: engine.closed == 1 and pool._idle.get("e0"))
        assert engine.connections == 2
        assert 300.0 <= pool._settle_ms["e0"] <= 1000.0
        (released,) = pool._idle["e0"]
        released.idle_since = scene.host.now()
        assert pool.acquire("e0") is not released  # its settle time is not over
        pool._open_count -= 1
        pool.forget("e0")
        assert not pool._settle_ms


def test_a_late_second_answer_that_crosses_a_request_is_not_its_answer() -> None:
    """The endpoint's second answer arrives after the next request was written."""

    def late(sock: socket.socket, message: Message) -> None:
        if message.body == b"first":
            serve_all(sock, message)
        else:
            sock.sendall(SECOND_ANSWER)  # and nothing else: sent before it reads the request

    with running_router(late) as (scene, engine):
        assert scene.client().send(ask(b"first")).answer().status == 200
        wait_until(lambda: scene.host.open_requests() == 0)
        assert scene.client().send(ask(b"next")).answer().status == 503
        wait_until(lambda: scene.host.open_requests() == 0)
        assert outcomes(scene)[1] is i.Outcome.UNREADABLE and len(engine.requests) >= 2


def test_an_invalid_load_report_changes_nothing() -> None:
    for text in (b"x1=nan,x0=inf", b"x1=-5", b"x1=1e99", b"\x00\xff", b"x1"):
        assert parse_load(text) is None
    router = Router(i.Settings(nodes=1, classes=(i.RequestClass(1000.0, 4000.0, 1.0),)), 1)
    router.handle(0.0, [i.ReplicaList(i.ListKind.WHOLE, (i.ReplicaEntry("a"),))])
    router.handle(1.0, [i.ProbeAnswered("a", i.Outcome.SERVED, 1.0, i.Report(0.5, 9000.0))])
    before = router.pool.replicas["a"].load_ms
    router.handle(2.0, [i.ProbeAnswered("a", i.Outcome.SERVED, 1.0, None)])
    assert router.pool.replicas["a"].load_ms == before > 0


# Replaced endpoints


def test_a_new_endpoint_at_an_old_address_inherits_nothing() -> None:
    with running_router(serve_all) as (scene, engine):
        scene.client().send(ask()).answer()
        wait_until(lambda: scene.host._endpoints._pool._idle)
        listed = parse(msgspec.json.encode(make_config([endpoint_entry("new", engine.port)]))).known
        scene.host.destinations.apply_list(listed, i.ListKind.WHOLE)
        wait_until(lambda: engine.closed == 1)
        assert scene.client().send(ask()).answer().status == 200
        assert engine.connections == 2
        wait_until(lambda: scene.host.open_requests() == 0)
        host, router = scene.host, scene.host._router
        tables = (host.destinations._listed, host.destinations._serving)
        assert all(set(table) == {"new"} for table in (*tables, router.pool.replicas))
        wait_until(lambda: not router.requests)
        assert not host._requests and not host.ids._open
        timers = (*host._timers._calls, *host._timers._limits)
        assert not [timer for timer in timers if timer[0] > host.now() + 5000]


def test_streams_that_outlast_a_drain_are_moved_and_every_request_is_answered() -> None:
    def begin(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(b"data: 1\n\n") if message.body == b"stream" else b"")

    times = {"accept": 50.0, "keep": 150.0, "move": 200.0, "answer": 300.0}
    options = {f"drain_{name}_ms": time for name, time in times.items()}
    raw = make_config([])["settings"] | {"Specifics": {"Resume": True}}
    raw["Limits"]["SecondCopies"] = True
    with running_router(begin, options=options, settings=raw) as (scene, _):
        streaming = scene.client().send(ask(b"stream", X_Correlation_Id="1"))
        waiting = scene.client().send(ask(X_Correlation_Id="2"))
        wait_until(lambda: scene.events_of(i.StreamStarted) and scene.host.open_requests() == 2)
        draining = gevent.spawn(scene.inbound.drain)
        assert waiting.answer().status == 502
        with pytest.raises(ConnectionResetError):
            streaming.answer()
        draining.join()
        assert scene.host.open_requests() == 0


# New configurations


def test_new_settings_apply_to_new_requests_only() -> None:
    chat = i.RequestClass(1000.0, 4000.0, 1.0)
    tenants = (i.Tenant(1.0),)
    settings = i.Settings(nodes=1, classes=(chat, chat, chat), zones=2, probing=False, tenants=tenants)
    router = Router(settings, 1)
    router.handle(0.0, [i.ReplicaList(i.ListKind.WHOLE, (i.ReplicaEntry("a"),))])
    router.handle(1.0, [i.RequestArrived("old", 2, 4000.0)])
    router.configure(i.Settings(nodes=2, classes=(chat,), probing=False))
    assert [type(a) for a in router.handle(2.0, [i.RequestArrived("odd", 2, 4000.0)])] == [i.Refuse]
    router.handle(3.0, [i.AttemptEnded("old", 0, "a", i.Outcome.SERVED, True, 2.0)])
    assert not router.requests
    router.configure(settings)
    sent = router.handle(4.0, [i.RequestArrived("new", 2, 4000.0)])
    assert isinstance(sent[0], i.Send)


def test_sighup_switches_to_the_new_discovery_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    seen, file = Event(), tmp_path / "config.json"
    targets: list[bytes] = []

    def discovery(*names: str) -> Any:
        def script(sock: socket.socket, message: Message) -> None:
            targets.append(message.target)
            listed = [endpoint_entry(name, engine.port) for name in names]
            body = msgspec.json.encode({"index": 3, "snapshot": True, "endpoints": listed})
            if message.path() == message.target:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            else:
                sock.sendall(STREAM_HEAD + chunk(b"\n"))

        return script

    engine = ScriptedServer(serve_after(seen))
    old, new = ScriptedServer(discovery("e0")), ScriptedServer(discovery("e1"))
    raw = make_config([endpoint_entry("e0", engine.port)], old.port)
    file.write_bytes(msgspec.json.encode(raw))
    port = int(raw["listen"].rpartition(":")[2])
    environment = {**os.environ, "NODE_CONFIG": str(file)}
    run = [sys.executable, "-m", "spoolbarrow"]
    with subprocess.Popen(run, cwd=ROOT, env=environment, stderr=subprocess.PIPE) as router:
        try:
            assert router.stderr is not None
            wait_until(lambda: not socket.socket().connect_ex((LISTEN, port)))
            waiting = Client(port).send(ask())
            wait_until(lambda: engine.requests and targets)
            file.write_bytes(b"{")
            router.send_signal(signal.SIGHUP)
            while b"reload_failed" not in router.stderr.readline():
                pass
            file.write_bytes(msgspec.json.encode({**raw, "discovery": f"127.0.0.1:{new.port}"}))
            targets.clear()
            router.send_signal(signal.SIGHUP)
            router.send_signal(signal.SIGHUP)  # a second signal changes nothing
            wait_until(lambda: old.closed == 1 and targets[-1:] == [b"/discovery/hosts?stream=1&index=3"])
            assert targets[0] == b"/discovery/hosts"
            seen.set()
            assert waiting.answer().status == 200
            router.send_signal(signal.SIGTERM)
            router.send_signal(signal.SIGHUP)
            wait_until(lambda: router.poll() is not None)
            assert router.returncode == 0
        finally:
            router.kill()
            for party in (engine, old, new):
                party.close()


def test_without_resumption_a_drain_accepts_only_requests_that_can_finish() -> None:
    """SIGKILL would cut off other streams, and their clients could not resume them."""
    options = {"drain_accept_ms": 100.0, "drain_keep_ms": 60_000.0}
    seen = Event()

    def stream_in_two_steps(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        seen.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with running_router(stream_in_two_steps, options=options) as (scene, engine):
        idle, busy = scene.client().send(b"GET /up HTTP/1.1\r\n\r\n"), scene.client().send(ask())
        idle.answer()
        wait_until(lambda: scene.events_of(i.StreamStarted))
        draining = gevent.spawn(scene.inbound.drain)
        assert idle.ended()
        busy.send(ask(X_Correlation_Id="late"))
        seen.set()
        assert busy.answer().status == 200
        refused = busy.answer()
        assert refused.status == 503 and refused.fields[b"retry-after"] and busy.ended()
        draining.join()
        assert len(engine.requests) == 1
