"""Tests shadow traffic on sockets: no behaviour of a candidate may change live answers."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import msgspec
import orjson
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.net.excluded_endpoints import Excluded
from spoolbarrow.net.http1 import Message
from spoolbarrow.operator import ShadowTable, ShareTable
from spoolbarrow.shadow import copier as copier_module
from spoolbarrow.shadow.answer_recorder import AnswerRecorder, digest_chain
from spoolbarrow.shadow.copier import SPOOL_SUFFIX, Copier, Prepared, Writer
from spoolbarrow.spool import read_spool_file
from tests.router_harness import (
    EVENTS,
    LISTEN,
    STREAM_HEAD,
    UNPROCESSED_503,
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

copier_module.CLOSE_TIMEOUT_S = 20.0  # a busy disk must not be taken for a failing one
ROOT = Path(__file__).resolve().parent.parent
AMPLE_LIMITS: dict[str, Any] = {
    "in_flight": 40,
    "engine_in_flight": 40,
    "requests_per_s": 1e5,
    "prompt_tokens_per_s": 1e9,
    "answer_tokens_per_s": 1e9,
    "deadline_ms": 20_000.0,
    "slow_first_ms": 20_000.0,
    "bad_copies": 1000,
}


def make_table(*candidates: Any, share: float = 1.0, **changes: Any) -> ShadowTable:
    where = [f"127.0.0.1:{candidate.port}" for candidate in candidates]
    return ShadowTable(share=share, candidates=where, **{**AMPLE_LIMITS, **changes})


def lift_limits(copier: Copier) -> None:
    """Set the full allowance and full buckets, and ignore pressure from the machine that runs the test."""
    controller = copier._controller
    controller.allowance.value = 1.0
    for rate in controller._limiters.values():
        rate._full_at = float("-inf")
    copier._tick_greenlet.kill()


@contextmanager
def running_copier(scene: Any, table: ShadowTable) -> Iterator[Copier]:
    copier = Copier(scene.host, Prepared(table, scene.config))
    lift_limits(copier)
    try:
        yield copier
    finally:
        copier.stop()
        copier.close()


@contextmanager
def running_candidate(script: Any) -> Iterator[ScriptedServer]:
    candidate = ScriptedServer(script)
    try:
        yield candidate
    finally:
        candidate.close()


def read_pairs(directory: Path) -> list[dict[str, Any]]:
    files = [read_spool_file(path) for path in sorted(directory.glob(f"*{SPOOL_SUFFIX}"))]
    assert not any(torn for _, torn in files)
    return [orjson.loads(line) for data, _ in files for line in data.splitlines()]


def send_live(scene: Any, **headers: Any) -> None:
    answer = scene.client().send(ask(**headers)).answer()
    assert (answer.status, b"".join(answer.take_body())) == (200, b"".join(EVENTS))


def answer_differently(sock: socket.socket, message: Message) -> None:
    event = b'data: {"choices":[{"delta":{"content":"ab cd"},"finish_reason":"stop"}]}\n\n'
    usage = b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2}}\n\n'
    sock.sendall(STREAM_HEAD + chunk(event) + chunk(usage + EVENTS[1]) + b"0\r\n\r\n")


@pytest.mark.parametrize("with_text", [False, True])
def test_a_copy_is_marked_and_its_pair_holds_text_only_if_allowed(with_text: bool, tmp_path: Path) -> None:
    with running_router(serve_all) as (scene, engine), running_candidate(answer_differently) as candidate:
        table = make_table(candidate, directory=str(tmp_path), text_for=["acme"] if with_text else [])
        with running_copier(scene, table) as copier:
            send_live(scene)
            wait_until(lambda: copier.pairs == 1 and not copier._pairs)
        (copied,) = candidate.requests
        (original,) = engine.requests
        assert copied.fields[b"x-shadow"] == b"spoolbarrow-shadow" and b"x-shadow" not in original.fields
        assert (copied.body, copied.target) == (original.body, original.target)
    (pair,) = read_pairs(tmp_path)
    assert (pair["class"], pair["tenant"]) == ("chat", "acme")
    assert (pair["live"]["outcome"], pair["copy"]["outcome"]) == ("served", "served")
    assert pair["copy"]["finish"] == "stop" and pair["copy"]["tokens"] == 2
    assert (pair["live"]["length"], pair["copy"]["length"]) == (2, 5)
    assert ("text" in pair["copy"]) is with_text and (b"ab cd" in orjson.dumps(pair)) is with_text
    assert pair["copy"]["words"][:8] == pair["live"]["words"] and len(pair["copy"]["words"]) == 16


def test_a_pair_added_while_the_file_is_completed_is_kept(tmp_path: Path) -> None:
    """A writer once stopped while a line that was added during completion was still waiting."""
    writer = Writer(tmp_path, 1 << 20, 1e12, 10)
    complete = writer._spool.complete

    def complete_and_add() -> None:
        complete()
        if not writer._closing.is_set():
            writer.add(b'{"late":1}\n')
            writer._closing.set()

    writer._spool.complete = complete_and_add  # type: ignore[method-assign]
    writer._woken.set()
    writer._greenlet.join()
    assert read_pairs(tmp_path) == [{"late": 1}]


def test_digests_show_common_openings_and_depend_on_the_key() -> None:
    one, other = digest_chain(b"k" * 16, "the cat sat on"), digest_chain(b"k" * 16, "the cat lay on")
    assert one[:16] == other[:16] and one[16:] != other[16:] and one[24:] != other[24:]
    assert digest_chain(b"j" * 16, "the cat sat on") != one


def test_an_answer_is_recorded_equally_however_it_is_split() -> None:
    text = b"".join(EVENTS) + b": X-Backend-Load: x1=1\n\ndata: {odd\n\ndata: " + b"x" * 70_000
    whole = AnswerRecorder()
    whole.feed(text, 1.0)
    bytewise = AnswerRecorder()
    for n in range(len(text)):
        bytewise.feed(text[n : n + 1], 1.0)
    assert whole.to_record(b"k" * 16, True) == bytewise.to_record(b"k" * 16, True)
    assert whole.whole and whole.cut and whole.events == 1


def never_answer(sock: socket.socket, message: Message) -> None:
    """Accept the copy and send nothing."""


def disconnect(sock: socket.socket, message: Message) -> bool:
    return True


def reject_unprocessed(sock: socket.socket, message: Message) -> None:
    sock.sendall(UNPROCESSED_503)


def answer_malformed(sock: socket.socket, message: Message) -> None:
    sock.sendall(b"\x16\x03\x01 no answer")


def break_stream(sock: socket.socket, message: Message) -> bool:
    sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
    return True


def answer_without_stream(sock: socket.socket, message: Message) -> None:
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd")


def answer_endlessly(sock: socket.socket, message: Message) -> None:
    sock.sendall(STREAM_HEAD)
    for _ in range(60 * 16):
        sock.sendall(chunk(EVENTS[0] * 800))  # 60 MB in total


def answer_slowly(sock: socket.socket, message: Message) -> None:
    for byte in STREAM_HEAD * 50:
        sock.sendall(bytes([byte]))
        gevent.sleep(0.01)


@pytest.mark.parametrize(
    "script",
    [disconnect, reject_unprocessed, answer_malformed, break_stream, answer_without_stream, answer_endlessly],
)
def test_a_failing_candidate_changes_no_live_answer_and_its_failure_is_recorded(
    script: Any, tmp_path: Path
) -> None:
    with running_router(serve_all) as (scene, _), running_candidate(script) as candidate:
        with running_copier(scene, make_table(candidate, directory=str(tmp_path))) as copier:
            for n in range(5):
                send_live(scene, X_Correlation_Id=str(n))
            wait_until(lambda: copier.pairs == 5)
            assert not copier._greenlets and not copier._pairs and not copier._controller.copies_in_flight()
    recorded = read_pairs(tmp_path)
    assert [pair["live"]["outcome"] for pair in recorded] == ["served"] * 5
    assert all(pair["copy"]["outcome"] == "failed" and pair["copy"]["why"] for pair in recorded)
    assert all(pair["copy"]["octets"] <= 2 << 20 for pair in recorded)


@pytest.mark.parametrize("script", [never_answer, answer_slowly])
def test_a_stalled_candidate_gets_no_more_copies_and_live_answers_continue(script: Any) -> None:
    with running_router(serve_all) as (scene, _), running_candidate(script) as candidate:
        table = make_table(candidate, deadline_ms=150.0, bad_copies=2, open_ms=60_000.0)
        with running_copier(scene, table) as copier:
            send_live(scene)
            send_live(scene)
            wait_until(lambda: copier._greenlets == {})
            copier._controller.handle(scene.host.now(), [])
            wait_until(lambda: copier._controller.breaker.state.name == "OPEN")
            sent = len(candidate.requests) + copier._controller.copied
            for _ in range(10):
                send_live(scene)
            assert len(candidate.requests) + copier._controller.copied == sent
            assert copier._controller.dropped["breaker open"] == 10


def test_an_unreachable_candidate_and_one_that_flaps(tmp_path: Path) -> None:
    with (
        running_router(serve_all) as (scene, _),
        running_candidate(serve_all) as candidate,
        running_candidate(serve_all) as unreachable,
    ):
        unreachable.listener.close()
        unreachable.close()
        with running_copier(scene, make_table(candidate, unreachable, directory=str(tmp_path))) as copier:
            for n in range(40):
                if n % 10 == 5:  # another candidate flaps and refuses connections
                    listed = update_pool(copier, serving=n % 20 == 5)
                    assert listed
                send_live(scene)
            wait_until(lambda: not copier._greenlets and not copier._pairs)
            outcomes = {pair["copy"]["outcome"] for pair in stop_and_read_pairs(copier, tmp_path)}
            assert outcomes == {"served", "failed"}
            assert set(copier._controller._in_flight_by_engine) == set()


def update_pool(copier: Copier, serving: bool) -> bool:
    copier._on_candidates([Excluded("flapping", ("127.0.0.1", 1), serving, 0.0)])
    return "flapping" in copier._controller._engines


def stop_and_read_pairs(copier: Copier, directory: Path) -> list[dict[str, Any]]:
    copier.stop()
    copier.close()
    return read_pairs(directory)


def test_a_client_disconnect_ends_its_copy_and_a_finished_copy_waits_for_the_live_answer(
    tmp_path: Path,
) -> None:
    go = Event()

    def slowly(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with running_router(slowly) as (scene, _), running_candidate(never_answer) as candidate:
        with running_copier(scene, make_table(candidate)) as copier:
            client = scene.client().send(ask())
            wait_until(lambda: candidate.requests and scene.events_of(i.StreamStarted))
            client.sock.close()
            wait_until(lambda: not copier._greenlets and not copier._pairs and candidate.closed == 1)
            assert copier._controller.breaker._failures == 0  # no evidence about the candidate
    go.clear()
    with running_router(slowly) as (scene, _), running_candidate(serve_all) as candidate:
        with running_copier(scene, make_table(candidate, directory=str(tmp_path))) as copier:
            client = scene.client().send(ask())
            wait_until(lambda: copier._pairs and not copier._greenlets)
            assert copier.pairs == 0
            go.set()
            assert client.answer().status == 200
            wait_until(lambda: copier.pairs == 1)


def test_a_rerouted_request_is_copied_once_and_client_retries_never() -> None:
    with (
        running_router(reject_unprocessed, serve_all) as (scene, *_),
        running_candidate(serve_all) as candidate,
    ):
        with running_copier(scene, make_table(candidate)) as copier:
            for n in range(6):
                send_live(scene, X_Correlation_Id=str(n))
            wait_until(lambda: not copier._pairs)
            assert len(candidate.requests) == 6
            assert any(event.attempt > 0 for event in scene.events_of(i.AttemptEnded))
            send_live(scene, X_Repeat="1")
            send_live(scene, X_Repeat="again")
            assert len(candidate.requests) == 6 and copier._controller.copied == 6


def test_a_thousand_sessions_match_the_share_and_are_copied_completely() -> None:
    with running_router(serve_all) as (scene, _), running_candidate(serve_all) as candidate:
        shares = [ShareTable(share=0.0, tenant="other")]
        with running_copier(scene, make_table(candidate, share=0.25, shares=shares, salt="s")) as copier:
            client = scene.client()
            for n in range(1000):
                client.send(ask(X_Session_Key=f"{n + 1:x}")).answer()
                wait_until(lambda: scene.host.open_requests() == 0 and not copier._pairs)
            before = copier._controller.copied
            assert 210 <= before <= 290 and not copier._controller.dropped
            keys = {m.fields[b"x-session-key"] for m in candidate.requests}
            assert len(keys) == before
            client.send(ask(X_Session_Key=next(iter(keys)).decode(), X_Account="other")).answer()
            assert copier._controller.copied == before


def test_a_share_of_zero_ends_every_copy_at_once_and_a_new_pool_takes_over() -> None:
    with (
        running_router(serve_all) as (scene, _),
        running_candidate(never_answer) as candidate,
        running_candidate(serve_all) as other,
    ):
        with running_copier(scene, make_table(candidate)) as copier:
            for _ in range(3):
                send_live(scene)
            wait_until(lambda: len(candidate.requests) == 3)
            copier.apply(Prepared(make_table(candidate, share=0.0), scene.config))
            assert not copier._greenlets and not copier._controller.copies_in_flight()
            wait_until(lambda: candidate.closed == 3)
            send_live(scene)
            copier.apply(Prepared(make_table(other), scene.config))
            send_live(scene)
            wait_until(lambda: len(other.requests) == 1)
            assert len(candidate.requests) == 3


@pytest.mark.parametrize("chosen", [{"candidate_type": "candidate"}, {"candidate_group": 7}])
def test_engines_of_the_candidate_type_or_group_serve_no_live_traffic(chosen: dict[str, Any]) -> None:
    scripts = (serve_all, answer_differently)
    parties = [ScriptedServer(script) for script in scripts]
    listed = [
        endpoint_entry("e0", parties[0].port),
        endpoint_entry("new", parties[1].port, type="candidate", group=7),
    ]
    host_list = {"index": 7, "snapshot": True, "endpoints": listed}
    with running_router(serve_all, known=host_list) as (scene, _):
        table = ShadowTable(share=1.0, **chosen, **AMPLE_LIMITS)
        with running_copier(scene, table) as copier:
            wait_until(lambda: len(scene.events_of(i.ReplicaList)) == 2)
            assert [e.replica for e in scene.events_of(i.ReplicaList)[-1].entries] == ["new"]
            assert scene.events_of(i.ReplicaList)[-1].entries[0].state is i.ReplicaState.GONE
            for _ in range(8):
                send_live(scene)
            wait_until(lambda: not copier._pairs)
            assert len(parties[0].requests) == 8 == len(parties[1].requests)
            draining = [
                endpoint_entry("new", parties[1].port, type="candidate", group=7, status="terminating")
            ]
            update = config.HostList(8, False, msgspec.convert(draining, list[config.ListEntry]))
            scene.host.destinations.apply_list(update, i.ListKind.CHANGES)
            send_live(scene)
            assert copier._controller.dropped["no engine with room"] == 1
            update.endpoints[0].status = "terminated"
            scene.host.destinations.apply_list(update, i.ListKind.CHANGES)
            assert not copier._controller._engines and not scene.host.destinations._excluded._endpoints
        for candidate in parties:
            candidate.close()


def test_pressure_is_measured_from_live_traffic() -> None:
    with running_router(reject_unprocessed) as (scene, _), running_candidate(serve_all) as candidate:
        with running_copier(scene, make_table(candidate)) as copier:
            assert scene.client().send(ask()).answer().status == 503
            scene.host.probe_done("e0", i.Outcome.SERVED, 1.0, i.Report(0.1, 9000.0))
            pressure = copier._pressure(7.0)
            assert (pressure.lag_ms, pressure.refused_share, pressure.unread_tokens) == (7.0, 1.0, 9000.0)
            copier._controller.handle(scene.host.now(), [pressure])
            assert scene.client().send(ask()).answer().status == 503
            assert copier._controller.dropped["pressure: refusals"] == 1
            resources = copier._measure_resources(0.25)
            assert resources["cpu_share"] == 0.25
            assert resources["memory_share"] > 0 and resources["descriptors_share"] > 0


def test_a_burst_of_live_traffic_is_answered_fully_and_copies_stay_within_their_limits() -> None:
    with (
        running_router(serve_all, limits={"sockets": 1024}) as (scene, _),
        running_candidate(serve_all) as candidate,
    ):
        with running_copier(scene, make_table(candidate, in_flight=3)) as copier:
            most = 0
            for turn, burst in enumerate((10, 24, 10)):  # 2.4 times the usual load, and back
                clients = [scene.client() for _ in range(burst)]
                for n, client in enumerate(clients):
                    client.send(ask(X_Correlation_Id=f"{turn}-{n}", X_Session_Key=f"{n + 1:x}"))
                wait_until(lambda: scene.events_of(i.RequestArrived))
                for client in clients:
                    answer = client.answer()
                    assert (answer.status, b"".join(answer.take_body())) == (200, b"".join(EVENTS))
                    most = max(most, len(copier._controller.copies_in_flight()))
                wait_until(lambda: not copier._pairs)
            assert most <= 3 and copier._controller.copied == len(candidate.requests) > 0


def test_nothing_is_copied_when_memory_is_near_its_limit() -> None:
    with (
        running_router(serve_all, limits={"memory_mb": 16.0}) as (scene, _),
        running_candidate(serve_all) as candidate,
    ):
        with running_copier(scene, make_table(candidate)) as copier:
            copier._resources = copier._measure_resources(0.0)  # this process uses far more than 16 MB
            copier._controller.handle(scene.host.now(), [copier._pressure(0.0)])
            send_live(scene)
            assert not candidate.requests and copier._controller.dropped == {"pressure: memory": 1}


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"candidates": []}, "shadow.candidates"),
        ({"candidates": ["nowhere"]}, "shadow.candidates[0]"),
        ({"classes": ["odd"]}, "shadow.classes"),
        ({"not_tenants": ["odd"]}, "shadow.not_tenants"),
        ({"shares": [ShareTable(0.5, tenant="odd")]}, "shadow.shares[0].tenant"),
        ({"in_flight": 4000}, "shadow.in_flight"),
        ({"directory": "/nowhere"}, "shadow.directory"),
        ({"key_file": "/nowhere"}, "shadow.key_file"),
        ({"text_for": ["odd"]}, "shadow.text_for"),
    ],
)
def test_a_table_error_names_its_key(changes: dict[str, Any], key: str) -> None:
    parsed = config.parse(msgspec.json.encode(make_config([])))
    with pytest.raises(config.ConfigError) as error:
        Prepared(ShadowTable(**{"share": 1.0, "candidates": ["127.0.0.1:1"], **changes}), parsed)
    assert str(error.value).startswith(f"{key}: ")


def test_sighup_with_no_share_and_sigterm_end_copies_of_a_served_router(tmp_path: Path) -> None:
    go = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    engine, candidate = ScriptedServer(wait), ScriptedServer(never_answer)
    raw = make_config([endpoint_entry("e0", engine.port)])
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(raw))
    file = tmp_path / "o.toml"
    table = f'[shadow]\nshare = %s\ncandidates = ["127.0.0.1:{candidate.port}"]\nrequests_per_s = 100000.0\n'
    file.write_text(table % "1.0")
    environment = {**os.environ, "NODE_CONFIG": str(tmp_path / "config.json")}
    environment["SPOOLBARROW_OPERATOR"] = str(file)
    port = int(raw["listen"].rpartition(":")[2])
    run = [sys.executable, "-m", "spoolbarrow"]
    with subprocess.Popen(run, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL) as router:
        try:
            wait_until(lambda: not socket.socket().connect_ex((LISTEN, port)))
            clients: list[Client] = []

            def copied(number: int) -> bool:
                """Send another live request, none is answered yet; whether `number` copies have arrived."""
                clients.append(Client(port).send(ask(X_Correlation_Id=str(len(clients)))))
                gevent.sleep(0.02)
                return len(candidate.requests) >= number

            wait_until(lambda: copied(1))
            file.write_text(table % "0")
            router.send_signal(signal.SIGHUP)
            wait_until(lambda: candidate.closed == len(candidate.requests))
            file.write_text(table % "1.0")
            router.send_signal(signal.SIGHUP)
            before = len(candidate.requests)
            wait_until(lambda: copied(before + 1))
            router.send_signal(signal.SIGTERM)
            wait_until(lambda: candidate.closed == len(candidate.requests))
            assert router.poll() is None  # live requests have the drain grace period
            go.set()
            assert [client.answer().status for client in clients] == [200] * len(clients)
            wait_until(lambda: router.poll() is not None)
            assert router.returncode == 0
        finally:
            router.kill()
            engine.close()
            candidate.close()
