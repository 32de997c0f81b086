"""The operators' listener: what each call is answered and does, and figures held against what peers saw."""

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
from spoolbarrow.admin.control import Control
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
FATES = ("passed", "dropped", "bad_gateway")
UP = b"GET /up HTTP/1.1\r\n\r\n"


@contextmanager
def operated(*scripts: Script, **changes: Any) -> Iterator[Any]:
    """A router with an operators' listener: (stage, control, call, engines...)."""
    with running_router(*scripts, **changes) as (scene, *engines):
        address = (LISTEN, free_port())
        listener = Control(
            scene.host, scene.inbound, OperatorCommands(scene.host, scene.inbound), lambda: None
        )
        listener.move(control.listen(address))

        def call(path: str, method: str = "POST") -> ResponseParser:
            return Client(address[1]).send(f"{method} /v1/{path} HTTP/1.1\r\n\r\n".encode()).answer()

        try:
            yield scene, listener, call, *engines
        finally:
            listener.close()


def figures(call: Any) -> dict[str, int]:
    text = b"".join(call("metrics", "GET").take_body()).decode()
    return {name: int(value) for name, _, value in (line.partition("=") for line in text.splitlines())}


@pytest.mark.parametrize(
    ("method", "target", "told"),
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
def test_calls_are_read_by_path_and_method(method: bytes, target: bytes, told: Call | int) -> None:
    message = Message(method=method, target=target)
    if isinstance(told, Call):
        assert calls.read(message) == told
    else:
        with pytest.raises(calls.CallFault) as raised:
            calls.read(message)
        assert raised.value.answer == told


@pytest.mark.parametrize(
    ("said", "status"),
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
def test_each_call_is_answered_and_ends_its_connection(said: bytes, status: int) -> None:
    with operated(serve_all) as (_, listener, _call, _):
        caller = Client(listener._listener.getsockname()[1]).send(said)
        answer = caller.answer()
        assert answer.status == status and caller.ended()
        told = msgspec.json.decode(b"".join(answer.take_body()))
        assert status == 200 or (told["error"]["code"], bool(told["error"]["remedy"])) == (status, True)


def test_a_call_that_has_come_is_answered_though_silent_callers_come_in_a_burst_behind_it() -> None:
    with operated(serve_all) as (_, listener, *_rest):
        where = listener._listener.getsockname()
        asking = plain.create_connection(where, 20)  # all wait in the backlog, none accepted yet
        asking.sendall(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        silent = [plain.create_connection(where, 20) for _ in range(2 * control.CALLERS)]
        wait_until(lambda: select.select([asking], [], [], 0)[0])  # an answer, or its end
        assert asking.recv(4096).startswith(b"HTTP/1.1 200")
        for one in (asking, *silent):
            one.close()


def test_silent_callers_hold_nobody_up_and_the_oldest_gives_way(monkeypatch: pytest.MonkeyPatch) -> None:
    with operated(serve_all) as (_, listener, call, _):
        port = listener._listener.getsockname()[1]
        silent = [Client(port).send(b"GET /v1/re"[:n]) for n in range(control.CALLERS)]
        wait_until(lambda: len(listener._silent) == control.CALLERS)
        assert call("readyz", "GET").status == 200
        assert silent[0].ended()
        assert len(listener._silent) <= control.CALLERS
    monkeypatch.setattr(control, "CALL_S", 0.05)
    with operated(serve_all) as (_, listener, call, _):
        assert Client(listener._listener.getsockname()[1]).send(b"GET").answer().status == 408


def test_a_fault_behind_a_call_is_told_and_reaches_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    with operated(serve_all) as (scene, _, call, _):
        with monkeypatch.context() as broken:
            broken.setattr(scene.host, "endpoint_counts", lambda: 1 / 0)
            assert call("metrics", "GET").status == 500
        assert call("metrics", "GET").status == 200 and scene.client().send(ask()).answer().status == 200


def test_every_class_is_told_from_the_start_and_words_unknown_count_nowhere() -> None:
    made = Metrics(["chat", "deep"])
    made.answered("deep", "left")
    made.answered("nobody", "served")
    assert made.write(1, 2, 3, 4, DrainCounts(5, 6, 7)).splitlines() == [
        *(f"router.handled.{c}.{f}=0" for c in ("chat", "deep") for f in FATES),
        *("router.upstream_tries=0", "router.in_progress=1"),
        *("router.known_engines=2", "router.skipped_engines=3", "router.client_connections=4"),
        *("router.drains.taken=5", "router.drains.refused=6", "router.drains.closed=7"),
    ]


def test_figures_are_what_the_peers_saw() -> None:
    """Served, turned away, failed, broken, malformed, left, cut off before they were whole: each once."""
    seen: list[str] = []

    def by_word(sock: socket.socket, message: Message) -> bool | None:
        seen.append(word := message.body.decode())
        if word == "full":
            sock.sendall(UNPROCESSED_503)
        elif word == "break":
            sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        elif word == "serve":
            serve_all(sock, message)
        return word == "break" or None

    with operated(by_word) as (scene, _, call, engine):
        start = figures(call)
        assert start["router.handled.chat.passed"] == 0 and start["router.known_engines"] == 1
        asked = {"serve": 200, "full": 503, "wait": 504}
        for word, status in asked.items():
            left = 200 if word == "wait" else 5000
            asking = scene.client().send(ask(word.encode(), left, X_Correlation_Id=word))
            assert asking.answer().status == status
        with pytest.raises(ConnectionResetError):
            scene.client().send(ask(b"break", X_Correlation_Id="b")).answer()
        assert scene.client().send(ask(X_Facts="odd")).answer().status == 400
        leaving = scene.client().send(ask(b"leave", X_Correlation_Id="l"))
        wait_until(lambda: "leave" in seen)
        assert figures(call)["router.in_progress"] == 1
        leaving.sock.close()
        wait_until(lambda: scene.host.open_requests() == 0)
        told = figures(call)
        assert told["router.handled.chat.passed"] == 1 and told["router.handled.chat.dropped"] == 1
        assert told["router.handled.chat.bad_gateway"] == 3  # at its deadline, broken, malformed
        assert told["router.upstream_tries"] == len(engine.requests) and told["router.in_progress"] == 0
        engine.listener.close()  # nothing is written whole to one that refuses connections
        engine.close()
        scene.client().send(ask(X_Correlation_Id="c")).answer()
        assert figures(call)["router.upstream_tries"] == told["router.upstream_tries"]


def test_engines_avoided_by_hand_and_by_choice_are_told_once_each() -> None:
    with operated(serve_all, serve_all, serve_all) as (scene, _, call, *_):
        wait_until(lambda: len(scene.host._router.pool.replicas) == 3)
        scene.host._router.pool.replicas["e0"].suspect_until = scene.host.now() + 60_000
        call("engines/e0/suspend")
        call("engines/e1/suspend")
        told = figures(call)
        assert (told["router.known_engines"], told["router.skipped_engines"]) == (3, 2)


# Suspended engines


def news(scene: Any, *entries: dict[str, Any], whole: bool = False) -> None:
    raw = {"index": 9, "snapshot": whole, "endpoints": list(entries)}
    scene.host.destinations._discovery._accept_list(msgspec.convert(raw, HostList))


def test_nothing_goes_to_a_suspended_engine_whatever_discovery_says() -> None:
    with operated(serve_all, serve_all) as (scene, _, call, first, second):
        assert [call("engines/e0/suspend").status for _ in range(2)] == [200, 200]
        listed = endpoint_entry("e0", first.port, since_ms=5.0)
        for number, said in enumerate(([listed], [endpoint_entry("e0", 0, status="terminated")], [listed])):
            news(scene, *said)
            for again in range(4):
                scene.client().send(ask(X_Correlation_Id=f"{number}-{again}")).answer()
        news(scene, listed, endpoint_entry("e1", second.port), whole=True)
        scene.client().send(ask(X_Correlation_Id="whole")).answer()
        assert not first.requests and len(second.requests) == 13
        assert call("engines/e0/resume").status == 200  # once for both
        wait_until(lambda: scene.host._router.pool.replicas["e0"].serving)
        assert scene.host._router.pool.replicas["e0"].started_at > 5.0  # it may have been restarted: cold
        call("engines/e1/suspend")
        wait_until(lambda: not scene.host._router.pool.replicas["e1"].serving)
        scene.host._router.pool.replicas["e0"].started_at = 0.0
        assert scene.client().send(ask(X_Correlation_Id="back")).answer().status == 200 and first.requests


def test_an_engine_suspended_while_a_connection_came_up_gets_neither_prompt_nor_probe() -> None:
    with operated(serve_all) as (scene, _, call, engine):
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
    with operated(serve_all, serve_all) as (_, _, call, *_):
        assert [call(f"engines/e{n}/suspend").status for n in (0, 0, 1)] == [200, 200, 503]
        assert call("engines/e0/resume").status == 200 and call("engines/e1/suspend").status == 200


# A router that is drained by hand


def test_a_drained_router_sends_clients_away_and_takes_them_back(monkeypatch: pytest.MonkeyPatch) -> None:
    go_on = Event()

    def long(sock: socket.socket, message: Message) -> None:
        if message.body != b"long":
            return serve_all(sock, message)
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go_on.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    monkeypatch.setattr(drain_schedule, "CALL_CLOSE_IDLE_MS", 100.0)
    monkeypatch.setattr(drainer, "NEWCOMER_MS", 100.0)
    with operated(long) as (scene, _, call, _):
        idle, silent, streaming = scene.client(), scene.client(), scene.client()
        assert idle.send(ask()).answer().status == 200
        streaming.send(ask(b"long", X_Correlation_Id="long"))
        wait_until(lambda: scene.events_of(i.StreamStarted))
        assert [call("router/drain").status for _ in range(2)] == [200, 200]
        late = scene.client().send(UP).answer()
        assert late.status == 503 and late.fields[b"connection"] == b"close"
        assert scene.client().send(ask(X_Correlation_Id="late")).answer().fields[b"connection"] == b"close"
        assert idle.ended() and silent.ended()
        assert call("readyz", "GET").status == 200  # it can serve: only clients are sent away
        go_on.set()
        assert streaming.answer().take_body() and streaming.ended()
        wait_until(lambda: not scene.inbound._clients)
        assert [call("router/activate").status for _ in range(2)] == [200, 200]
        back = scene.client()
        assert back.send(UP).answer().status == 200
        gevent.sleep(0.3)
        assert back.send(ask(X_Correlation_Id="back")).answer().status == 200


def test_the_last_drain_goes_on_beside_one_by_hand() -> None:
    with operated(serve_all, options={"drain_accept_ms": 10.0, "drain_keep_ms": 10.0}) as (scene, _, call, _):
        scene.client().send(ask()).answer()
        call("router/drain")
        scene.inbound.drain()
        assert not scene.inbound._clients
        assert call("router/activate").status == 200 and not scene.inbound.ready()
        assert call("readyz", "GET").status == 503


# The configuration


def test_a_faulty_control_is_a_fault_that_names_its_key(tmp_path: Path) -> None:
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


def test_control_moves_at_sighup_and_one_that_cannot_be_had_changes_nothing(tmp_path: Path) -> None:
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


def test_what_is_off_is_not_imported() -> None:
    code = (
        "import sys, spoolbarrow.serve; "
        "print([m for m in sys.modules if 'admin' in m or 'handover' in m or 'connection_handover' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.strip() == "[]"


def test_zones_tell_failover_off_and_then_its_verdicts() -> None:
    from spoolbarrow.net.failover import ZoneMonitor
    from spoolbarrow.operator import FailoverTable

    with operated(serve_all) as (scene, _, call, _engine):
        assert msgspec.json.decode(b"".join(call("zones", "GET").take_body())) == {"failover": "off"}
        watch = ZoneMonitor(scene.host, FailoverTable(period_ms=600_000.0))
        watch.evaluate(scene.host.now())
        told = msgspec.json.decode(b"".join(call("zones", "GET").take_body()))
        assert told["failover"] == "on" and told["zones"]["a"]["state"] == "healthy"
        watch.stop()
        assert msgspec.json.decode(b"".join(call("zones", "GET").take_body())) == {"failover": "off"}
