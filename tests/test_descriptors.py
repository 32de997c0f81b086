"""Exhaustion of descriptors: clients flood a real process while discovery is down and then recovers."""

from __future__ import annotations

import errno
import json
import os
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.handover import Handover
from spoolbarrow.lab.cluster import LISTEN, Process
from spoolbarrow.lab.loopback import raise_descriptor_limit
from spoolbarrow.net import connection_pool, http1
from spoolbarrow.net.failover import ZoneMonitor
from spoolbarrow.operator import FailoverTable
from tests.router_harness import (
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

MANY = 2000  # clients without a valid request
ANSWER_LIMIT_S = 3.0  # time after connecting within which each of them is answered or closed
LIST_S = 6.0  # time after discovery is reachable within which the list is known
LIMITED = (
    "import resource, runpy, sys\n"
    "resource.setrlimit(resource.RLIMIT_NOFILE, (int(sys.argv[1]),) * 2)\n"
    "del sys.argv[1:]\n"
    "runpy.run_module('spoolbarrow', run_name='__main__', alter_sys=True)\n"
)


class Discovery:
    """A discovery server that refuses connections at first, then is unresponsive, then answers."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.endpoints: list[dict[str, Any]] = []
        self.answers = False
        self.held: list[socket.socket] = []
        self.accepting: Any = None

    def listen(self) -> None:
        self.sock.listen(64)
        self.accepting = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            self.held.append(sock)
            if self.answers:
                gevent.spawn(self._answer, sock)

    def _answer(self, sock: socket.socket) -> None:
        line = json.dumps({"index": 9, "snapshot": True, "endpoints": self.endpoints}).encode() + b"\n"
        with suppress(OSError):  # the router may have given up
            watch = b"stream=1" in sock.recv(4096)
            sock.sendall(STREAM_HEAD + chunk(line) + b"0\r\n\r\n" * (not watch))
            while watch:
                gevent.sleep(1.0)
                sock.sendall(chunk(b"\n"))

    def close(self) -> None:
        if self.accepting is not None:
            self.accepting.kill()
        for sock in (self.sock, *self.held):
            sock.close()


class Idler:
    """A client without a valid request that waits for a response or the close, then stays for `stays` s.

    It reconnects while `again` is true.
    """

    def __init__(self, port: int, says: bytes, stays: float, again: bool) -> None:
        self.port, self.says, self.stays, self.again = port, says, stays, again
        self.waited_s: list[float] = []  # by connection: time until the response or the close
        self.running = gevent.spawn(self._run)

    def _run(self) -> None:
        while not self.waited_s or self.again:
            with socket.socket() as sock:
                sock.connect((LISTEN, self.port))
                begun = time.monotonic()
                with suppress(OSError):
                    sock.sendall(self.says)
                    sock.recv(4096)
                self.waited_s.append(time.monotonic() - begun)
                gevent.sleep(self.stays)


def flood(port: int, count: int, says: bytes = b"", stays: float = 0.0, again: bool = False) -> list[Idler]:
    return [Idler(port, says, stays, again) for _ in range(count)]


def asked(port: int, name: str) -> int:
    return Client(port).send(ask(X_Correlation_Id=name, left=9000)).answer().status


def longest(idlers: list[Idler]) -> float:
    for one in idlers:
        one.again = False
    gevent.joinall([one.running for one in idlers], raise_error=True)
    return max(max(one.waited_s) for one in idlers)


class Router:
    """A router process with a descriptor limit; its open descriptors are counted continuously."""

    def __init__(self, folder: Path, sockets: int, limit: int, discovery: Discovery, **changes: Any) -> None:
        known = changes.pop("known", [])
        raw = make_config(known, discovery.port, limits={"sockets": sockets}, **changes)
        raw["settings"]["Discovery"] = "subscribe"
        raw["settings"]["Classes"][0]["DeadlineMs"] = 20e3
        file = folder / f"config{len(list(folder.iterdir()))}.json"
        file.write_text(json.dumps(raw))
        self.port = int(raw["listen"].rpartition(":")[2])
        self.process = Process("-c", LIMITED, str(limit), env={"NODE_CONFIG": str(file)})
        self.most = 0
        self._counter = gevent.spawn(self._count)

    def _count(self) -> None:
        while self.process.popen.poll() is None:
            with suppress(OSError):
                self.most = max(self.most, len(os.listdir(f"/proc/{self.process.popen.pid}/fd")))
            gevent.sleep(0.02)

    def listed(self) -> bool:
        return any(line["serving"] for line in self.process.events("destinations"))

    def end(self) -> None:
        self._counter.kill()
        self.process.kill()


@pytest.fixture
def world(tmp_path: Path) -> Iterator[Callable[..., Any]]:
    """A factory of routers that share one discovery server and one engine."""
    raise_descriptor_limit()
    made: list[Router] = []
    discovery = Discovery()
    engine = ScriptedServer(serve_all)
    discovery.endpoints = [endpoint_entry("e0", engine.port)]

    def make(sockets: int = 256, limit: int = 256, script: Any = serve_all, **changes: Any) -> Any:
        engine.script = script
        made.append(Router(tmp_path, sockets, limit, discovery, **changes))
        wait_until(lambda: made[-1].process.events("started"))
        return made[-1], discovery, engine

    yield make
    for router in made:
        router.end()
    discovery.close()
    engine.close()


@pytest.mark.parametrize(
    "says, stays", [(b"", 0.0), (b"POST /v1/chat/completions HT", 0.0), (b"NONSENSE\r\n\r\n", 1.8)]
)
def test_a_flood_while_discovery_is_down_delays_neither_the_list_nor_clients(
    world: Callable[..., Any], says: bytes, stays: float
) -> None:
    """Without a request, with half of one, or staying after a response.

    Each client is answered in 3 s, the list is known in 6 s, and a request is served.
    """
    router, discovery, _ = world()
    idlers = flood(router.port, MANY, says, stays, again=True)
    asking = [gevent.spawn(asked, router.port, f"a{n}") for n in range(9)]
    gevent.sleep(1.0)  # refused
    discovery.listen()
    gevent.sleep(1.0)  # unresponsive
    discovery.answers = True
    back = time.monotonic()
    wait_until(router.listed)
    assert time.monotonic() - back < LIST_S
    for one in idlers:
        one.again = False
    begun, statuses = time.monotonic(), [0]
    while statuses[-1] != 200:  # refused while earlier clients wait
        statuses.append(asked(router.port, f"b{len(statuses)}"))
    assert time.monotonic() - begun < LIST_S and set(statuses) <= {0, 503, 200}
    assert longest(idlers) < ANSWER_LIMIT_S
    assert {one.get() for one in asking} <= {200, 503, 504}
    assert router.most <= 256 and not router.process.events("accept_paused")


def test_clients_that_do_not_read_their_streams_do_not_block_others(
    world: Callable[..., Any],
) -> None:
    def stream(sock: socket.socket, message: Any) -> None:
        sock.sendall(STREAM_HEAD + chunk(b"data: " + b"x" * 60_000 + b"\n\n") * 200)

    router, discovery, engine = world(script=stream, known=[])
    discovery.answers = True
    discovery.listen()
    wait_until(router.listed)
    places = config.split_connections(256, False)[0]
    slow = [Client(router.port).send(ask(X_Correlation_Id=f"s{n}", left=15_000)) for n in range(places)]
    wait_until(lambda: len(engine.requests) == places)
    begun = time.monotonic()
    late = Client(router.port).send(ask())
    assert late.answer().status == 503 and late.ended()
    assert longest(flood(router.port, 300)) < ANSWER_LIMIT_S
    assert time.monotonic() - begun < 2 * ANSWER_LIMIT_S and router.most <= 256
    assert router.process.events("no_room_for_clients")[0]["remedy"]
    assert all(client.sock.recv(1) for client in slow)  # their streams continue


def test_several_routers_each_keep_their_reserve(world: Callable[..., Any]) -> None:
    """One has a lower descriptor limit than its setting, one a far higher one: the lower value applies."""
    limits = ((256, 256), (1024, 100), (1024, 1024))
    made = [world(sockets, limit) for sockets, limit in limits]
    _, discovery, _ = made[0]
    idlers = [one for router, _, _ in made for one in flood(router.port, 700, again=True)]
    gevent.sleep(0.5)
    discovery.answers = True
    discovery.listen()
    back = time.monotonic()
    for router, _, _ in made:
        wait_until(router.listed)
    assert time.monotonic() - back < LIST_S
    assert longest(idlers) < ANSWER_LIMIT_S
    for (router, _, _), (_, limit) in zip(made, limits, strict=True):
        assert router.most <= limit and not router.process.events("accept_paused")


def test_a_process_with_too_low_a_descriptor_limit_does_not_start(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(make_config([], 1)))
    process = Process("-c", LIMITED, "40", env={"NODE_CONFIG": str(file)})
    assert process.popen.wait(30) == 2
    wait_until(lambda: process.events("bad_config"))
    assert process.events("bad_config")[0]["error"].startswith("limits.sockets: ")


def test_descriptors_open_at_the_start_reduce_the_connection_limits() -> None:
    made = config.parse(json.dumps(make_config([], 1, limits={"sockets": 256})).encode())
    few, many = config.fit_descriptors(made, 1000, 6), config.fit_descriptors(made, 200, 48)
    assert (few.max_inbound, few.max_outbound) == (made.max_inbound, made.max_outbound) == (112, 112)
    assert many.max_inbound + many.max_outbound == 200 - 40 - config.RESERVED_DESCRIPTORS
    called = config.parse(json.dumps(make_config([], 1, limits={"sockets": 256}, control="h:1")).encode())
    assert (
        called.max_inbound + called.max_outbound
        == 256 - config.RESERVED_DESCRIPTORS - config.CONTROL_DESCRIPTORS
    )


def test_two_processes_of_a_router_share_the_limits_of_one(tmp_path: Path) -> None:
    made = config.parse(json.dumps(make_config([], 1, limits={"sockets": 256}, control="h:1")).encode())
    older = Handover(str(tmp_path))
    newer = Handover(str(tmp_path))
    try:
        newer.refresh_peers()
        fitted = newer.divide_limits(made)
        own = (
            fitted.max_inbound
            + fitted.max_outbound
            + config.RESERVED_DESCRIPTORS
            + config.CONTROL_DESCRIPTORS
        )
        assert newer.older and own == 128 and fitted.max_inbound == 38
    finally:
        newer.close()
        older.close()


def test_running_out_of_descriptors_is_logged_once(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    with running_router(serve_all) as (harness, _):
        accept = type(harness.inbound._listener).accept
        failures = iter([OSError(24, "Too many open files")] * 4)

        def failing(listener: Any) -> Any:
            for error in failures if listener is harness.inbound._listener else ():
                raise error
            return accept(listener)

        monkeypatch.setattr(type(harness.inbound._listener), "accept", failing)
        harness.client().send(ask()).answer()  # by the accept call already in progress
        assert harness.client().send(ask()).answer().status == 200
    assert capfd.readouterr().err.count('"accept_paused"') == 1


def none_left(*_: Any) -> Any:
    raise OSError(errno.EMFILE, "Too many open files")


@pytest.mark.parametrize("lack", ["places", "descriptors"])
def test_engines_are_not_blamed_if_the_router_can_open_no_connection(
    lack: str, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Each request is answered at once, no engine is excluded, and a single line is logged."""
    monkeypatch.setattr(
        connection_pool, "SHORTAGE_LOG_INTERVAL_MS", 1e9
    )  # a slow test must not reach a second logging period
    with running_router(serve_all, serve_all) as (harness, *engines):
        pool, replicas = harness.host._endpoints._pool, harness.host._router.pool.replicas.values()
        with monkeypatch.context() as lacking:
            if lack == "places":
                lacking.setattr(pool, "_open_count", harness.config.max_outbound)
            else:
                lacking.setattr(http1, "socket", none_left)
            for n in range(3):
                answer = harness.client().send(ask(X_Correlation_Id=f"a{n}")).answer()
                assert answer.status == 503 and answer.fields[b"retry-after"]
                pool.sweep()
            # Each was answered after an attempt at both engines, not at its deadline.
            assert [event.outcome for event in harness.events_of(i.AttemptEnded)] == [i.Outcome.MOOT] * 6
            for name in ("e0", "e1"):
                harness.host._endpoints.probe(name)
            wait_until(lambda: len(harness.events_of(i.ProbeAnswered)) == 2)
            assert {event.outcome for event in harness.events_of(i.ProbeAnswered)} == {i.Outcome.MOOT}
            assert not any(replica.suspect_count or replica.load_ms for replica in replicas)
        assert harness.client().send(ask(X_Correlation_Id="b")).answer().status == 200
        assert sum(len(engine.requests) for engine in engines) == 1
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    events = [line["event"] for line in lines]
    assert events.count("no_room_for_attempts") == 1 and "not_sent" not in events


def test_a_check_not_made_for_lack_of_descriptors_says_nothing_about_a_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with running_router(serve_all) as (harness, engine):
        watch = ZoneMonitor(harness.host, FailoverTable(period_ms=600_000.0))
        with monkeypatch.context() as lacking:
            lacking.setattr(http1, "socket", none_left)
            watch._check("e0", ("127.0.0.1", engine.port))
        assert not watch._outcomes
        watch._check("e0", ("127.0.0.1", engine.port))
        assert [outcome.ok for outcome in watch._outcomes] == [True]
        watch.stop()
