"""The control listener: the response and effect of each call, and metrics compared with the peers' view."""

from __future__ import annotations

import os
import select
import signal
import socket as plain
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.admin import calls, control
from spoolbarrow.admin.calls import Call, Verb
from spoolbarrow.admin.commands import OperatorCommands
from spoolbarrow.admin.control import ControlListener
from spoolbarrow.admin.metrics import Metrics
from spoolbarrow.config import HostList
from spoolbarrow.net import destinations, drain_schedule, drainer
from spoolbarrow.net.drain_log import DrainCounts
from spoolbarrow.net.http1 import Message, ResponseParser
from tests.router_harness import (
    EVENTS,
    LISTEN,
    STREAM_HEAD,
    UNPROCESSED_503,
    Client,
    Script,
    ask,
    chunk,
    endpoint_entry,
    free_port,
    make_config,
    running_router,
    serve_all,
    wait_until,
)

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ("passed", "dropped", "bad_gateway")
UP_REQUEST = b"GET /up HTTP/1.1\r\n\r\n"


@contextmanager
def running_control(*scripts: Script, **changes: Any) -> Iterator[Any]:
    """A router with a control listener: (stage, control, call, engines...)."""
    with running_router(*scripts, **changes) as (scene, *engines):
        address = (LISTEN, free_port())
        listener = ControlListener(
            scene.host, scene.inbound, OperatorCommands(scene.host, scene.inbound), lambda: None
        )
        listener.serve_on(control.listen(address))

        def call(path: str, method: str = "POST") -> ResponseParser:
            return Client(address[1]).send(f"{method} /v1/{path} HTTP/1.1\r\n\r\n".encode()).answer()

        try:
            yield scene, listener, call, *engines
        finally:
            listener.close()


def read_metrics(call: Any) -> dict[str, int]:
    text = b"".join(call("metrics", "GET").take_body()).decode()
    return {name: int(value) for name, _, value in (line.partition("=") for line in text.splitlines())}


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        (b"GET", b"/v1/readyz", Call(Verb.READY)),
        (b"GET", b"/v1/metrics?x=1", Call(Verb.METRICS)),
        (b"POST", b"/v1/engines/s-1%2F2/suspend", Call(Verb.SUSPEND, "s-1/2")),
        (b"POST", b"/v1/engines/s/resume", Call(Verb.RESUME, "s")),
        (b"POST", b"/v1/router/activate", Call(Verb.ACTIVATE)),
        (b"GET", b"/v1/zones", Call(Verb.ZONES)),
        (b"GET", b"/v1/router/drain", 405),
        (b"POST", b"/v1/metrics", 405),
        (b"POST", b"/v1/engines//suspend", 404),
        (b"POST", b"/v1/engines/a/b/suspend", 404),
        (b"POST", b"/v1/engines/%ff/suspend", 404),
        (b"GET", b"/", 404),
    ],
)
def test_calls_are_parsed_by_path_and_method(method: bytes, target: bytes, expected: Call | int) -> None:
    message = Message(method=method, target=target)
    if isinstance(expected, Call):
        assert calls.parse(message) == expected
    else:
        with pytest.raises(calls.CallFault) as raised:
            calls.parse(message)
        assert raised.value.answer == expected


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /v1/readyz HTTP/1.1\r\nX: " + b"x" * 9000 + b"\r\n\r\n", 431),
        (b"GET /v1/readyz HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET /v1/readyz HTTP/1.1\r\nContent-Length: 999999\r\n\r\n", 413),
        (b"POST /v1/engines/nobody/suspend HTTP/1.1\r\n\r\n", 404),
        (b"POST /v1/engines/nobody/resume HTTP/1.1\r\n\r\n", 404),
        (b"GET /v1/readyz HTTP/1.1\r\n\r\n", 200),
    ],
)
def test_each_call_gets_a_response_and_closes_its_connection(sent: bytes, status: int) -> None:
    with running_control(serve_all) as (_, listener, _call, _):
        caller = Client(listener._listener.getsockname()[1]).send(sent)
        answer = caller.answer()
        assert answer.status == status and caller.ended()
        body = msgspec.json.decode(b"".join(answer.take_body()))
        assert status == 200 or (body["error"]["code"], bool(body["error"]["remedy"])) == (status, True)


def test_a_received_call_is_answered_despite_a_burst_of_idle_connections() -> None:
    with running_control(serve_all) as (_, listener, *_rest):
        address = listener._listener.getsockname()
        caller = plain.create_connection(address, 20)  # all wait in the backlog, none accepted yet
        caller.sendall(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        idle = [plain.create_connection(address, 20) for _ in range(2 * control.MAX_CONNECTIONS)]
        wait_until(lambda: select.select([caller], [], [], 0)[0])  # a response, or the connection's end
        assert caller.recv(4096).startswith(b"HTTP/1.1 200")
        for sock in (caller, *idle):
            sock.close()


def test_idle_connections_block_nobody_and_the_oldest_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_control(serve_all) as (_, listener, call, _):
        port = listener._listener.getsockname()[1]
        idle = [Client(port).send(b"GET /v1/re"[:n]) for n in range(control.MAX_CONNECTIONS)]
        wait_until(lambda: len(listener._connections) == control.MAX_CONNECTIONS)
        assert call("readyz", "GET").status == 200
        assert idle[0].ended()
        assert len(listener._connections) <= control.MAX_CONNECTIONS
    monkeypatch.setattr(control, "CALL_TIMEOUT_S", 0.05)
    with running_control(serve_all) as (_, listener, call, _):
        assert Client(listener._listener.getsockname()[1]).send(b"GET").answer().status == 408


def test_an_error_in_a_call_is_answered_with_500_and_affects_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with running_control(serve_all) as (scene, _, call, _):
        with monkeypatch.context() as broken:
            broken.setattr(scene.host, "endpoint_counts", lambda: 1 / 0)
            assert call("metrics", "GET").status == 500
        assert call("metrics", "GET").status == 200 and scene.client().send(ask()).answer().status == 200


def test_every_class_is_listed_from_the_start_and_unknown_results_are_ignored() -> None:
    metrics = Metrics(["chat", "deep"])
    metrics.count_result("deep", "left")
    metrics.count_result("nobody", "served")
    assert metrics.format(1, 2, 3, 4, DrainCounts(5, 6, 7)).splitlines() == [
        *(f"router.handled.{c}.{f}=0" for c in ("chat", "deep") for f in RESULTS),
        *("router.upstream_tries=0", "router.in_progress=1"),
        *("router.known_engines=2", "router.skipped_engines=3", "router.client_connections=4"),
        *("router.drains.taken=5", "router.drains.refused=6", "router.drains.closed=7"),
    ]


def test_metrics_match_what_the_peers_saw() -> None:
    """Served, refused, failed, broken, malformed, disconnected, cut off before complete: each once."""
    bodies: list[str] = []

    def by_body(sock: socket.socket, message: Message) -> bool | None:
        bodies.append(body := message.body.decode())
        if body == "full":
            sock.sendall(UNPROCESSED_503)
        elif body == "break":
            sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        elif body == "serve":
            serve_all(sock, message)
        return body == "break" or None

    with running_control(by_body) as (scene, _, call, engine):
        initial = read_metrics(call)
        assert initial["router.handled.chat.passed"] == 0 and initial["router.known_engines"] == 1
        statuses = {"serve": 200, "full": 503, "wait": 504}
        for body, status in statuses.items():
            left = 200 if body == "wait" else 5000
            client = scene.client().send(ask(body.encode(), left, X_Correlation_Id=body))
            assert client.answer().status == status
        with pytest.raises(ConnectionResetError):
            scene.client().send(ask(b"break", X_Correlation_Id="b")).answer()
        assert scene.client().send(ask(X_Facts="odd")).answer().status == 400
        leaving = scene.client().send(ask(b"leave", X_Correlation_Id="l"))
        wait_until(lambda: "leave" in bodies)
        assert read_metrics(call)["router.in_progress"] == 1
        leaving.sock.close()
        wait_until(lambda: scene.host.open_requests() == 0)
        metrics = read_metrics(call)
        assert metrics["router.handled.chat.passed"] == 1 and metrics["router.handled.chat.dropped"] == 1
        assert metrics["router.handled.chat.bad_gateway"] == 3  # deadline exceeded, broken, malformed
        assert metrics["router.upstream_tries"] == len(engine.requests) and metrics["router.in_progress"] == 0
        engine.listener.close()  # no request is written completely to an engine that refuses connections
        engine.close()
        scene.client().send(ask(X_Correlation_Id="c")).answer()
        assert read_metrics(call)["router.upstream_tries"] == metrics["router.upstream_tries"]


def test_engines_both_suspended_and_suspected_are_counted_once() -> None:
    with running_control(serve_all, serve_all, serve_all) as (scene, _, call, *_):
        wait_until(lambda: len(scene.host._router.pool.replicas) == 3)
        scene.host._router.pool.replicas["e0"].suspect_until = scene.host.now() + 60_000
        call("engines/e0/suspend")
        call("engines/e1/suspend")
        metrics = read_metrics(call)
        assert (metrics["router.known_engines"], metrics["router.skipped_engines"]) == (3, 2)


# Suspended engines


def deliver_list(scene: Any, *entries: dict[str, Any], whole: bool = False) -> None:
    raw = {"index": 9, "snapshot": whole, "endpoints": list(entries)}
    scene.host.destinations._discovery._accept_list(msgspec.convert(raw, HostList))


def test_nothing_is_sent_to_a_suspended_engine_whatever_discovery_reports() -> None:
    with running_control(serve_all, serve_all) as (scene, _, call, first, second):
        assert [call("engines/e0/suspend").status for _ in range(2)] == [200, 200]
        listed = endpoint_entry("e0", first.port, since_ms=5.0)
        for number, entries in enumerate(
            ([listed], [endpoint_entry("e0", 0, status="terminated")], [listed])
        ):
            deliver_list(scene, *entries)
            for again in range(4):
                scene.client().send(ask(X_Correlation_Id=f"{number}-{again}")).answer()
        deliver_list(scene, listed, endpoint_entry("e1", second.port), whole=True)
        scene.client().send(ask(X_Correlation_Id="whole")).answer()
        assert not first.requests and len(second.requests) == 13
        assert call("engines/e0/resume").status == 200  # once for both suspensions
        wait_until(lambda: scene.host._router.pool.replicas["e0"].serving)
        assert scene.host._router.pool.replicas["e0"].started_at > 5.0  # it may have restarted cold
        call("engines/e1/suspend")
        wait_until(lambda: not scene.host._router.pool.replicas["e1"].serving)
        scene.host._router.pool.replicas["e0"].started_at = 0.0
        assert scene.client().send(ask(X_Correlation_Id="back")).answer().status == 200 and first.requests


def test_an_engine_suspended_during_a_connect_gets_neither_request_nor_probe() -> None:
    with running_control(serve_all) as (scene, _, call, engine):
        take = scene.host._endpoints._pool.acquire

        def slow_take(endpoint: str) -> Any:
            connection = take(endpoint)
            scene.host.destinations.suspend(endpoint)
            return connection

        scene.host._endpoints._pool.acquire = slow_take
        scene.host._endpoints.probe("e0")
        wait_until(lambda: scene.events_of(i.ProbeAnswered))
        assert scene.events_of(i.ProbeAnswered)[0].outcome is i.Outcome.MOOT
        call("engines/e0/resume")
        wait_until(lambda: scene.host._router.pool.replicas["e0"].serving)
        scene.host._router.pool.replicas["e0"].started_at = 0.0
        assert scene.client().send(ask()).answer().status == 503
        assert scene.events_of(i.AttemptEnded)[0].outcome is i.Outcome.UNREACHABLE and not engine.requests


def test_the_table_of_suspensions_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(destinations, "MAX_SUSPENDED", 1)
    with running_control(serve_all, serve_all) as (_, _, call, *_):
        assert [call(f"engines/e{n}/suspend").status for n in (0, 0, 1)] == [200, 200, 503]
        assert call("engines/e0/resume").status == 200 and call("engines/e1/suspend").status == 200


# A router drained by an operator


def test_a_drained_router_refuses_clients_until_it_is_activated(monkeypatch: pytest.MonkeyPatch) -> None:
    go_on = Event()

    def long(sock: socket.socket, message: Message) -> None:
        if message.body != b"long":
            return serve_all(sock, message)
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go_on.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    monkeypatch.setattr(drain_schedule, "CALL_CLOSE_IDLE_MS", 100.0)
    monkeypatch.setattr(drainer, "NEWCOMER_MS", 100.0)
    with running_control(long) as (scene, _, call, _):
        idle, silent, streaming = scene.client(), scene.client(), scene.client()
        assert idle.send(ask()).answer().status == 200
        streaming.send(ask(b"long", X_Correlation_Id="long"))
        wait_until(lambda: scene.events_of(i.StreamStarted))
        assert [call("router/drain").status for _ in range(2)] == [200, 200]
        late = scene.client().send(UP_REQUEST).answer()
        assert late.status == 503 and late.fields[b"connection"] == b"close"
        assert scene.client().send(ask(X_Correlation_Id="late")).answer().fields[b"connection"] == b"close"
        assert idle.ended() and silent.ended()
        assert call("readyz", "GET").status == 200  # it can serve: only clients are drained
        go_on.set()
        assert streaming.answer().take_body() and streaming.ended()
        wait_until(lambda: not scene.inbound._clients)
        assert [call("router/activate").status for _ in range(2)] == [200, 200]
        back = scene.client()
        assert back.send(UP_REQUEST).answer().status == 200
        gevent.sleep(0.3)
        assert back.send(ask(X_Correlation_Id="back")).answer().status == 200


def test_shutdown_drains_even_during_an_operators_drain() -> None:
    with running_control(serve_all, options={"drain_accept_ms": 10.0, "drain_keep_ms": 10.0}) as (
        scene,
        _,
        call,
        _,
    ):
        scene.client().send(ask()).answer()
        call("router/drain")
        scene.inbound.drain()
        assert not scene.inbound._clients
        assert call("router/activate").status == 200 and not scene.inbound.ready()
        assert call("readyz", "GET").status == 503


# The configuration


def test_an_invalid_control_address_is_an_error_that_names_its_key(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    environment = {"NODE_CONFIG": str(file)}
    file.write_bytes(msgspec.json.encode(make_config([])))
    assert config.load(environment).control is None
    assert config.load({**environment, "NODE_CONTROL": "127.0.0.1:7"}).control == ("127.0.0.1", 7)
    with pytest.raises(config.ConfigError, match=r"^NODE_CONTROL: "):
        config.load({**environment, "NODE_CONTROL": "here"})
    file.write_bytes(msgspec.json.encode(make_config([], control="127.0.0.1:8")))
    assert config.load({**environment, "NODE_CONTROL": "127.0.0.1:7"}).control == ("127.0.0.1", 8)
    with pytest.raises(config.ConfigError, match=r"^control: "):
        config.parse(msgspec.json.encode(make_config([], control="127.0.0.1")))


def test_sighup_moves_the_control_listener_and_an_unavailable_address_changes_nothing(tmp_path: Path) -> None:
    taken = socket.socket()
    taken.bind((LISTEN, 0))
    taken.listen()
    file, first, second = tmp_path / "config.json", free_port(), free_port()
    raw = make_config([endpoint_entry("e0", 9)])

    def configure(port: int) -> None:
        file.write_bytes(msgspec.json.encode({**raw, "control": f"{LISTEN}:{port}"}))

    def ready(port: int) -> bool:
        try:
            return Client(port).send(b"GET /v1/readyz HTTP/1.1\r\n\r\n").answer().status == 200
        except OSError:
            return False

    configure(first)
    environment = {**os.environ, "NODE_CONFIG": str(file), "TMPDIR": str(tmp_path)}
    run = [sys.executable, "-m", "spoolbarrow"]
    with subprocess.Popen(run, cwd=ROOT, env=environment, stderr=subprocess.PIPE) as router:
        assert router.stderr is not None
        wait_until(lambda: ready(first))
        configure(taken.getsockname()[1])
        router.send_signal(signal.SIGHUP)
        while b"reload_failed" not in (line := router.stderr.readline()):
            pass
        assert b'"error":"control: ' in line and ready(first)
        configure(second)
        router.send_signal(signal.SIGHUP)
        wait_until(lambda: ready(second))
        assert not ready(first)
        router.kill()
    configure(taken.getsockname()[1])
    done = subprocess.run(run, cwd=ROOT, env=environment, stderr=subprocess.PIPE)
    assert done.returncode == 2 and b'"error":"control: ' in done.stderr
    environment["NODE_INHERITED_FD"] = "0"
    done = subprocess.run(run, cwd=ROOT, env=environment, stderr=subprocess.PIPE)
    assert done.returncode == 2 and b'"error":"NODE_INHERITED_FD: ' in done.stderr
    taken.close()


def test_disabled_features_are_not_imported() -> None:
    code = (
        "import sys, spoolbarrow.serve; "
        "print([m for m in sys.modules if 'admin' in m or 'handover' in m or 'connection_handover' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.strip() == "[]"


def test_zones_reports_failover_off_and_then_its_verdicts() -> None:
    from spoolbarrow.net.failover import ZoneMonitor
    from spoolbarrow.operator import FailoverTable

    with running_control(serve_all) as (scene, _, call, _engine):
        assert msgspec.json.decode(b"".join(call("zones", "GET").take_body())) == {"failover": "off"}
        watch = ZoneMonitor(scene.host, FailoverTable(period_ms=600_000.0))
        watch.evaluate(scene.host.now())
        body = msgspec.json.decode(b"".join(call("zones", "GET").take_body()))
        assert body["failover"] == "on" and body["zones"]["a"]["state"] == "healthy"
        watch.stop()
        assert msgspec.json.decode(b"".join(call("zones", "GET").take_body())) == {"failover": "off"}
