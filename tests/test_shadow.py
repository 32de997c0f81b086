"""Shadow traffic on sockets: whatever the candidate does, live answers are the same as without it."""

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
from spoolbarrow.net.http1 import Message
from spoolbarrow.operator import ShadowTable, ShareTable
from spoolbarrow.shadow import copier as copier_module
from spoolbarrow.shadow.answer_recorder import AnswerRecorder, digest_chain
from spoolbarrow.shadow.copier import ENDING, Copier, Prepared, Writer
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

copier_module.CLOSE_S = 20.0  # a busy disk must not pass for one that fails
ROOT = Path(__file__).resolve().parent.parent
PLENTY: dict[str, Any] = {
    "in_flight": 40,
    "engine_in_flight": 40,
    "requests_per_s": 1e5,
    "prompt_tokens_per_s": 1e9,
    "answer_tokens_per_s": 1e9,
    "deadline_ms": 20_000.0,
    "slow_first_ms": 20_000.0,
    "bad_copies": 1000,
}


def settings(*candidates: Any, share: float = 1.0, **changes: Any) -> ShadowTable:
    where = [f"127.0.0.1:{party.port}" for party in candidates]
    return ShadowTable(share=share, candidates=where, **{**PLENTY, **changes})


def eager(copier: Copier) -> None:
    """As after a long good run: the whole allowance, nothing owed, no pressure of this test's own machine."""
    made = copier._decider
    made.allowance.value = 1.0
    for rate in made._rates.values():
        rate._full_at = float("-inf")
    copier._ticker.kill()


@contextmanager
def shadowing(scene: Any, table: ShadowTable) -> Iterator[Copier]:
    copier = Copier(scene.host, Prepared(table, scene.config))
    eager(copier)
    try:
        yield copier
    finally:
        copier.stop()
        copier.close()


@contextmanager
def candidate(script: Any) -> Iterator[ScriptedServer]:
    party = ScriptedServer(script)
    try:
        yield party
    finally:
        party.close()


def pairs(directory: Path) -> list[dict[str, Any]]:
    found = [read_spool_file(path) for path in sorted(directory.glob(f"*{ENDING}"))]
    assert not any(torn for _, torn in found)
    return [orjson.loads(line) for data, _ in found for line in data.splitlines()]


def live(scene: Any, **headers: Any) -> None:
    answer = scene.client().send(ask(**headers)).answer()
    assert (answer.status, b"".join(answer.take_body())) == (200, b"".join(EVENTS))


def other_words(sock: socket.socket, message: Message) -> None:
    said = b'data: {"choices":[{"delta":{"content":"ab cd"},"finish_reason":"stop"}]}\n\n'
    usage = b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2}}\n\n'
    sock.sendall(STREAM_HEAD + chunk(said) + chunk(usage + EVENTS[1]) + b"0\r\n\r\n")


@pytest.mark.parametrize("with_text", [False, True])
def test_a_copy_is_marked_and_its_pair_kept_without_the_text_unless_allowed(
    with_text: bool, tmp_path: Path
) -> None:
    with running_router(serve_all) as (scene, engine), candidate(other_words) as party:
        table = settings(party, directory=str(tmp_path), text_for=["acme"] if with_text else [])
        with shadowing(scene, table) as copier:
            live(scene)
            wait_until(lambda: copier.pairs == 1 and not copier._pairs)
        (copied,) = party.requests
        (original,) = engine.requests
        assert copied.fields[b"x-shadow"] == b"spoolbarrow-shadow" and b"x-shadow" not in original.fields
        assert (copied.body, copied.target) == (original.body, original.target)
    (pair,) = pairs(tmp_path)
    assert (pair["class"], pair["tenant"]) == ("chat", "acme")
    assert (pair["live"]["outcome"], pair["copy"]["outcome"]) == ("served", "served")
    assert pair["copy"]["finish"] == "stop" and pair["copy"]["tokens"] == 2
    assert (pair["live"]["length"], pair["copy"]["length"]) == (2, 5)
    assert ("text" in pair["copy"]) is with_text and (b"ab cd" in orjson.dumps(pair)) is with_text
    assert pair["copy"]["words"][:8] == pair["live"]["words"] and len(pair["copy"]["words"]) == 16


def test_a_pair_that_comes_while_the_file_is_completed_is_kept(tmp_path: Path) -> None:
    """Guards against a writer that ended with a line still waiting."""
    writer = Writer(tmp_path, 1 << 20, 1e12, 10)
    complete = writer._spool.complete

    def meanwhile() -> None:
        complete()
        if not writer._end.is_set():
            writer.add(b'{"late":1}\n')
            writer._end.set()

    writer._spool.complete = meanwhile  # type: ignore[method-assign]
    writer._woken.set()
    writer._greenlet.join()
    assert pairs(tmp_path) == [{"late": 1}]


def test_digests_tell_common_openings_and_nothing_without_the_key() -> None:
    one, other = digest_chain(b"k" * 16, "the cat sat on"), digest_chain(b"k" * 16, "the cat lay on")
    assert one[:16] == other[:16] and one[16:] != other[16:] and one[24:] != other[24:]
    assert digest_chain(b"j" * 16, "the cat sat on") != one


def test_an_answer_is_read_alike_however_it_is_cut() -> None:
    text = b"".join(EVENTS) + b": X-Backend-Load: x1=1\n\ndata: {odd\n\ndata: " + b"x" * 70_000
    whole = AnswerRecorder()
    whole.feed(text, 1.0)
    bytewise = AnswerRecorder()
    for n in range(len(text)):
        bytewise.feed(text[n : n + 1], 1.0)
    assert whole.told(b"k" * 16, True) == bytewise.told(b"k" * 16, True)
    assert whole.whole and whole.cut and whole.events == 1


def silent(sock: socket.socket, message: Message) -> None:
    """Takes the copy, says nothing."""


def hang_up(sock: socket.socket, message: Message) -> bool:
    return True


def turn_away(sock: socket.socket, message: Message) -> None:
    sock.sendall(UNPROCESSED_503)


def spoilt(sock: socket.socket, message: Message) -> None:
    sock.sendall(b"\x16\x03\x01 no answer")


def broken(sock: socket.socket, message: Message) -> bool:
    sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
    return True


def plain(sock: socket.socket, message: Message) -> None:
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd")


def pour(sock: socket.socket, message: Message) -> None:
    sock.sendall(STREAM_HEAD)
    for _ in range(60 * 16):
        sock.sendall(chunk(EVENTS[0] * 800))  # 60 MB in all


def trickle(sock: socket.socket, message: Message) -> None:
    for byte in STREAM_HEAD * 50:
        sock.sendall(bytes([byte]))
        gevent.sleep(0.01)


@pytest.mark.parametrize("script", [hang_up, turn_away, spoilt, broken, plain, pour])
def test_a_bad_candidate_changes_no_live_answer_and_its_fault_is_kept(script: Any, tmp_path: Path) -> None:
    with running_router(serve_all) as (scene, _), candidate(script) as party:
        with shadowing(scene, settings(party, directory=str(tmp_path))) as copier:
            for n in range(5):
                live(scene, X_Correlation_Id=str(n))
            wait_until(lambda: copier.pairs == 5)
            assert not copier._greenlets and not copier._pairs and not copier._decider.out()
    told = pairs(tmp_path)
    assert [pair["live"]["outcome"] for pair in told] == ["served"] * 5
    assert all(pair["copy"]["outcome"] == "failed" and pair["copy"]["why"] for pair in told)
    assert all(pair["copy"]["octets"] <= 2 << 20 for pair in told)


@pytest.mark.parametrize("script", [silent, trickle])
def test_a_stalled_candidate_gets_no_more_copies_and_live_answers_go_on(script: Any) -> None:
    with running_router(serve_all) as (scene, _), candidate(script) as party:
        table = settings(party, deadline_ms=150.0, bad_copies=2, open_ms=60_000.0)
        with shadowing(scene, table) as copier:
            live(scene)
            live(scene)
            wait_until(lambda: copier._greenlets == {})
            copier._decider.handle(scene.host.now(), [])
            wait_until(lambda: copier._decider.breaker.state.name == "OPEN")
            sent = len(party.requests) + copier._decider.copied
            for _ in range(10):
                live(scene)
            assert len(party.requests) + copier._decider.copied == sent
            assert copier._decider.dropped["breaker open"] == 10


def test_a_candidate_that_is_gone_and_one_that_flaps(tmp_path: Path) -> None:
    with running_router(serve_all) as (scene, _), candidate(serve_all) as party, candidate(serve_all) as gone:
        gone.listener.close()
        gone.close()
        with shadowing(scene, settings(party, gone, directory=str(tmp_path))) as copier:
            for n in range(40):
                if n % 10 == 5:  # the pool's other half goes, and comes back with nothing
                    only = decide_pool(copier, serving=n % 20 == 5)
                    assert only
                live(scene)
            wait_until(lambda: not copier._greenlets and not copier._pairs)
            outcomes = {pair["copy"]["outcome"] for pair in until_pairs(copier, tmp_path)}
            assert outcomes == {"served", "failed"}
            assert set(copier._decider._in_flight) == set()


def decide_pool(copier: Copier, serving: bool) -> bool:
    copier._pooled([("flapping", ("127.0.0.1", 1), serving, 0.0)])
    return "flapping" in copier._decider._engines


def until_pairs(copier: Copier, directory: Path) -> list[dict[str, Any]]:
    copier.stop()
    copier.close()
    return pairs(directory)


def test_a_live_client_that_leaves_ends_its_copy_and_a_copy_that_ends_first_waits_for_it(
    tmp_path: Path,
) -> None:
    go = Event()

    def slowly(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with running_router(slowly) as (scene, _), candidate(silent) as party:
        with shadowing(scene, settings(party)) as copier:
            client = scene.client().send(ask())
            wait_until(lambda: party.requests and scene.events_of(i.StreamStarted))
            client.sock.close()
            wait_until(lambda: not copier._greenlets and not copier._pairs and party.closed == 1)
            assert copier._decider.breaker._bad == 0  # that says nothing of the candidate
    go.clear()
    with running_router(slowly) as (scene, _), candidate(serve_all) as party:
        with shadowing(scene, settings(party, directory=str(tmp_path))) as copier:
            client = scene.client().send(ask())
            wait_until(lambda: copier._pairs and not copier._greenlets)
            assert copier.pairs == 0
            go.set()
            assert client.answer().status == 200
            wait_until(lambda: copier.pairs == 1)


def test_a_request_that_is_tried_elsewhere_is_copied_once_and_clients_retries_never() -> None:
    with running_router(turn_away, serve_all) as (scene, *_), candidate(serve_all) as party:
        with shadowing(scene, settings(party)) as copier:
            for n in range(6):
                live(scene, X_Correlation_Id=str(n))
            wait_until(lambda: not copier._pairs)
            assert len(party.requests) == 6
            assert any(event.attempt > 0 for event in scene.events_of(i.AttemptEnded))
            live(scene, X_Repeat="1")
            live(scene, X_Repeat="again")
            assert len(party.requests) == 6 and copier._decider.copied == 6


def test_a_thousand_sessions_of_one_tenant_keep_the_share_and_each_whole() -> None:
    with running_router(serve_all) as (scene, _), candidate(serve_all) as party:
        shares = [ShareTable(share=0.0, tenant="other")]
        with shadowing(scene, settings(party, share=0.25, shares=shares, salt="s")) as copier:
            client = scene.client()
            for n in range(1000):
                client.send(ask(X_Session_Key=f"{n + 1:x}")).answer()
                wait_until(lambda: scene.host.open_requests() == 0 and not copier._pairs)
            before = copier._decider.copied
            assert 210 <= before <= 290 and not copier._decider.dropped
            keys = {m.fields[b"x-session-key"] for m in party.requests}
            assert len(keys) == before
            client.send(ask(X_Session_Key=next(iter(keys)).decode(), X_Account="other")).answer()
            assert copier._decider.copied == before


def test_a_share_of_nothing_ends_every_copy_at_once_and_a_new_pool_takes_over() -> None:
    with running_router(serve_all) as (scene, _), candidate(silent) as party, candidate(serve_all) as other:
        with shadowing(scene, settings(party)) as copier:
            for _ in range(3):
                live(scene)
            wait_until(lambda: len(party.requests) == 3)
            copier.apply(Prepared(settings(party, share=0.0), scene.config))
            assert not copier._greenlets and not copier._decider.out()
            wait_until(lambda: party.closed == 3)
            live(scene)
            copier.apply(Prepared(settings(other), scene.config))
            live(scene)
            wait_until(lambda: len(other.requests) == 1)
            assert len(party.requests) == 3


@pytest.mark.parametrize("chosen", [{"candidate_type": "candidate"}, {"candidate_group": 7}])
def test_engines_of_the_candidate_type_or_group_serve_nothing_live(chosen: dict[str, Any]) -> None:
    scripts = (serve_all, other_words)
    parties = [ScriptedServer(script) for script in scripts]
    listed = [
        endpoint_entry("e0", parties[0].port),
        endpoint_entry("new", parties[1].port, type="candidate", group=7),
    ]
    known = {"index": 7, "snapshot": True, "endpoints": listed}
    with running_router(serve_all, known=known) as (scene, _):
        table = ShadowTable(share=1.0, **chosen, **PLENTY)
        with shadowing(scene, table) as copier:
            wait_until(lambda: len(scene.events_of(i.ReplicaList)) == 2)
            assert [e.replica for e in scene.events_of(i.ReplicaList)[-1].entries] == ["new"]
            assert scene.events_of(i.ReplicaList)[-1].entries[0].state is i.ReplicaState.GONE
            for _ in range(8):
                live(scene)
            wait_until(lambda: not copier._pairs)
            assert len(parties[0].requests) == 8 == len(parties[1].requests)
            draining = [
                endpoint_entry("new", parties[1].port, type="candidate", group=7, status="terminating")
            ]
            news = config.HostList(8, False, msgspec.convert(draining, list[config.ListEntry]))
            scene.host.destinations.apply_list(news, i.ListKind.CHANGES)
            live(scene)
            assert copier._decider.dropped["no engine with room"] == 1
            news.endpoints[0].status = "terminated"
            scene.host.destinations.apply_list(news, i.ListKind.CHANGES)
            assert not copier._decider._engines and not scene.host.destinations._excluded
        for party in parties:
            party.close()


def test_pressure_is_what_live_traffic_shows() -> None:
    with running_router(turn_away) as (scene, _), candidate(serve_all) as party:
        with shadowing(scene, settings(party)) as copier:
            assert scene.client().send(ask()).answer().status == 503
            scene.host.probe_done("e0", i.Outcome.SERVED, 1.0, i.Report(0.1, 9000.0))
            found = copier._pressure(7.0)
            assert (found.lag_ms, found.refused_share, found.unread_tokens) == (7.0, 1.0, 9000.0)
            copier._decider.handle(scene.host.now(), [found])
            assert scene.client().send(ask()).answer().status == 503
            assert copier._decider.dropped["pressure: refusals"] == 1
            looked = copier._look(0.25)
            assert looked["cpu_share"] == 0.25
            assert looked["memory_share"] > 0 and looked["descriptors_share"] > 0


def test_a_burst_of_live_traffic_is_answered_whole_and_copies_stay_within_their_limits() -> None:
    with running_router(serve_all, limits={"sockets": 1024}) as (scene, _), candidate(serve_all) as party:
        with shadowing(scene, settings(party, in_flight=3)) as copier:
            most = 0
            for burst in (10, 24, 10):  # 2.4 times the usual, and back
                clients = [scene.client() for _ in range(burst)]
                for n, client in enumerate(clients):
                    client.send(ask(X_Correlation_Id=f"{burst}-{n}", X_Session_Key=f"{n + 1:x}"))
                wait_until(lambda: scene.events_of(i.RequestArrived))
                for client in clients:
                    answer = client.answer()
                    assert (answer.status, b"".join(answer.take_body())) == (200, b"".join(EVENTS))
                    most = max(most, len(copier._decider.out()))
                wait_until(lambda: not copier._pairs)
            assert most <= 3 and copier._decider.copied == len(party.requests) > 0


def test_nothing_is_copied_where_memory_is_near_its_limit() -> None:
    with running_router(serve_all, limits={"memory_mb": 16.0}) as (scene, _), candidate(serve_all) as party:
        with shadowing(scene, settings(party)) as copier:
            copier._slow = copier._look(0.0)  # this process holds far more than 16 MB
            copier._decider.handle(scene.host.now(), [copier._pressure(0.0)])
            live(scene)
            assert not party.requests and copier._decider.dropped == {"pressure: memory": 1}


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
def test_a_fault_of_the_table_names_its_key(changes: dict[str, Any], key: str) -> None:
    made = config.parse(msgspec.json.encode(make_config([])))
    with pytest.raises(config.ConfigError) as fault:
        Prepared(ShadowTable(**{"share": 1.0, "candidates": ["127.0.0.1:1"], **changes}), made)
    assert str(fault.value).startswith(f"{key}: ")


def test_sighup_with_no_share_and_sigterm_end_copies_of_a_served_router(tmp_path: Path) -> None:
    go = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        go.wait()
        serve_all(sock, message)

    engine, party = ScriptedServer(wait), ScriptedServer(silent)
    raw = make_config([endpoint_entry("e0", engine.port)])
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(raw))
    file = tmp_path / "o.toml"
    table = f'[shadow]\nshare = %s\ncandidates = ["127.0.0.1:{party.port}"]\nrequests_per_s = 100000.0\n'
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
                """A new live request each time, until one more copy is out; none of them is answered yet."""
                clients.append(Client(port).send(ask(X_Correlation_Id=str(len(clients)))))
                gevent.sleep(0.02)
                return len(party.requests) >= number

            wait_until(lambda: copied(1))
            file.write_text(table % "0")
            router.send_signal(signal.SIGHUP)
            wait_until(lambda: party.closed == len(party.requests))
            file.write_text(table % "1.0")
            router.send_signal(signal.SIGHUP)
            before = len(party.requests)
            wait_until(lambda: copied(before + 1))
            router.send_signal(signal.SIGTERM)
            wait_until(lambda: party.closed == len(party.requests))
            assert router.poll() is None  # live requests have the grace
            go.set()
            assert [client.answer().status for client in clients] == [200] * len(clients)
            wait_until(lambda: router.poll() is not None)
            assert router.returncode == 0
        finally:
            router.kill()
            engine.close()
            party.close()
