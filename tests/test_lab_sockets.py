"""Tests the model on sockets: its protocol, its network faults, and that a run accounts for every request."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Any

import gevent
import orjson
import pytest
from gevent import socket

from spoolbarrow.lab import socket_run
from spoolbarrow.lab.emulator import EmulatedDiscovery
from spoolbarrow.lab.fleet import fleet, random_stream
from spoolbarrow.lab.scenario import Scenario, convert
from spoolbarrow.lab.wire_engine import HOST, Clock, WireEngine
from spoolbarrow.net.http1 import HttpError, ResponseParser
from tests.router_harness import ask, wait_until

BASE: dict[str, Any] = {
    "name": "small",
    "length_s": 2.0,
    "routers": 2,
    "engines": 2,
    "load": {"per_engine": 5.0},
    "classes": {"chat": {"aim_ms": 1200.0, "deadline_ms": 20_000.0, "new_tokens": 50, "answer_tokens": 8}},
    "kinds": {"engine": {"slots": 2, "waiting": 1, "step_ms": 2.0, "report_delay_ms": 0.0}},
    "discovery": {"notice_s": 0.0, "call_ms": 1.0, "spread_ms": 0.0},
}


def small_scenario(**changes: Any) -> Scenario:
    return convert({**BASE, **changes})


@pytest.fixture
def engine() -> Iterator[WireEngine]:
    scenario = small_scenario()
    reported: list[dict[str, Any]] = []
    made = WireEngine(fleet(scenario, random_stream(1, "fleet"))[0], 2, Clock(), Random(1), reported.append)
    made.reported = reported  # type: ignore[attr-defined]
    yield made
    made.close()


class RouterConnection:
    """A router's connection."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection((HOST, port), 20)

    def ask(self, answer: int = 6) -> RouterConnection:
        body = orjson.dumps({"model": "lab", "lab_answer": answer})
        self.sock.sendall(ask(body, X_Facts="prompt_len=100,max_out=20"))
        return self

    def answer(self) -> tuple[ResponseParser, bytes]:
        parser, buffer, body = ResponseParser(16384), bytearray(65536), b""
        while not parser.complete:
            parser.read(self.sock, buffer)
            body += b"".join(parser.take_body())
        return parser, body


def test_a_stream_is_complete_and_reports_its_usage(engine: WireEngine) -> None:
    connection = RouterConnection(engine.ports[0])
    parser, body = connection.ask().answer()
    assert parser.status == 200 and body.endswith(b"\n\n") and b"data: [DONE]" in body
    assert body.count(b"word") == 6 and b'"completion_tokens":6' in body and b": X-Backend-Load: x1=" in body
    # Again on the same connection: the prompt is in the cache, in whole blocks.
    _, body = connection.ask().answer()
    assert b'"cached_tokens":96' in body
    assert engine.figures()["attempts"] == 2 and engine.engine.made == 12


def test_probes_report_the_load(engine: WireEngine) -> None:
    connection = RouterConnection(engine.ports[1])
    connection.sock.sendall(b"GET /metrics/load HTTP/1.1\r\nHost: e\r\n\r\n")
    parser, body = connection.answer()
    assert parser.status == 200 and body.startswith(b"x1=0.0000,load_share=")


def test_full_and_draining_engines_reject_unprocessed(engine: WireEngine) -> None:
    engine.engine.stall(engine.clock.now(), 1e9)
    held = [RouterConnection(engine.ports[0]).ask() for _ in range(3)]
    wait_until(lambda: len(engine.engine.jobs) == 3)
    parser, _ = RouterConnection(engine.ports[0]).ask().answer()
    assert parser.status == 503 and parser.fields[b"x-unprocessed"] == b"1"
    for connection in held:  # their clients disconnect: all work is dropped
        connection.sock.close()
    wait_until(lambda: not engine.talks or not engine.news)
    engine._drain()
    parser, _ = RouterConnection(engine.ports[0]).ask().answer()
    assert parser.status == 503 and engine.reported[-1]["status"] == "terminating"  # type: ignore[attr-defined]


def test_a_malformed_request_is_answered_400(engine: WireEngine) -> None:
    connection = RouterConnection(engine.ports[0])
    connection.sock.sendall(ask(b"not json"))
    assert connection.answer()[0].status == 400


@pytest.mark.parametrize("kind", ["resets", "spoilt"])
def test_faults_on_the_network_break_responses(engine: WireEngine, kind: str) -> None:
    setattr(engine, kind, 1.0)
    for _ in range(4):
        with pytest.raises((OSError, HttpError)):
            RouterConnection(engine.ports[0]).ask(answer=40).answer()


def test_a_crash_breaks_streams_and_a_restart_is_reported(engine: WireEngine) -> None:
    engine.engine.stall(engine.clock.now(), 1e9)
    connection = RouterConnection(engine.ports[0]).ask()
    wait_until(lambda: engine.engine.jobs)
    engine.crash(0.0)
    with pytest.raises(OSError):
        connection.answer()
    wait_until(lambda: engine.alive)
    parser, _ = RouterConnection(engine.ports[0]).ask().answer()
    assert parser.status == 200 and engine.reported[-1]["status"] == "in_service"  # type: ignore[attr-defined]


def test_one_router_is_partitioned(engine: WireEngine) -> None:
    engine._hold((0,), 1e12)
    cut, other = RouterConnection(engine.ports[0]).ask(), RouterConnection(engine.ports[1]).ask()
    assert other.answer()[0].status == 200
    assert not engine.news and engine.figures()["attempts"] == 1
    cut.sock.close()


def test_a_connection_beyond_the_limit_is_closed(engine: WireEngine) -> None:
    engine.cap = 1
    one = RouterConnection(engine.ports[0])
    assert one.ask().answer()[0].status == 200
    with pytest.raises(OSError):
        RouterConnection(engine.ports[0]).ask().answer()


def test_discovery_sends_each_router_its_addresses_and_changes() -> None:
    scenario = small_scenario()
    discovery = EmulatedDiscovery(scenario, Clock(), {0: [11, 12], 1: [21, 22]}, 1)
    try:
        connection = RouterConnection(int(discovery.addresses[1].rpartition(":")[2]))
        connection.sock.sendall(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n")
        whole = orjson.loads(connection.answer()[1])
        assert [e["address"] for e in whole["endpoints"]] == [f"{HOST}:12", f"{HOST}:22"]
        connection.sock.sendall(b"GET /discovery/hosts?stream=1&index=1 HTTP/1.1\r\nHost: d\r\n\r\n")
        wait_until(lambda: discovery.watchers[1])
        name = whole["endpoints"][0]["name"]
        discovery.changed(
            {"id": name, "status": "terminating", "silent": False, "ports": [11, 12], "started_at": 5.0}
        )
        parser, buffer, body = ResponseParser(16384), bytearray(65536), b""
        while b"terminating" not in body:
            parser.read(connection.sock, buffer)
            body += b"".join(parser.take_body())
        change = orjson.loads(body.strip().splitlines()[-1])
        assert not change["snapshot"] and [e["name"] for e in change["endpoints"]] == [name]
        discovery._down(1e12)
        with pytest.raises(OSError):
            while True:
                parser.read(connection.sock, buffer)
        again = RouterConnection(int(discovery.addresses[1].rpartition(":")[2]))
        again.sock.sendall(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n")
        assert again.answer()[0].status == 503
    finally:
        discovery.close()


def test_a_run_with_a_dead_router_accounts_for_every_request() -> None:
    scenario = small_scenario(
        kinds={"engine": {}},
        troubles=[{"name": "router_death", "begin_s": 0.8, "length_s": 0.2, "part": 0.5}],
        front={"notice_s": 0.1},
    )
    report = socket_run.run_on_sockets(scenario, 3, processes=1)
    gevent.sleep(0)
    assert sum(report["outcomes"].values()) == report["requests"] > 5
    assert report["outcomes"]["served"] > 0 and report["tokens_worked"] > 0
    assert "a router crashed" not in report["rules_broken"]
