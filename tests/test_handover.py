"""Upgrades: two processes of one router, the handover between them, and its failures."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import handover
from spoolbarrow import interface as i
from spoolbarrow.admin import overrides, state
from spoolbarrow.admin.commands import OperatorCommands
from spoolbarrow.admin.overrides import ROUTER_DRAIN, Overrides
from spoolbarrow.config import INHERITED_FD_VARIABLE, ConfigError, HostList, ListEntry
from spoolbarrow.handover import Handover, HandoverDataError
from spoolbarrow.net import connection_handover
from spoolbarrow.net.http1 import Message
from spoolbarrow.router import Router
from tests.router_harness import (
    EVENTS,
    STREAM_HEAD,
    Client,
    ScriptedServer,
    ask,
    chunk,
    make_config,
    running_router,
    serve_all,
    wait_until,
)
from tests.router_processes import service

SETTINGS = i.Settings(nodes=2, classes=(i.RequestClass(aim_ms=1000.0, deadline_ms=5000.0, worth=1.0),))


# Overrides


def test_the_latest_override_applies_in_any_order_of_arrival() -> None:
    one, two = Overrides(), Overrides()
    assert one.put("e0", True, 10.0) and not one.put("e0", True, 11.0) and not two.put("e1", False, 1.0)
    assert two.put("e0", True, 12.0) and two.put("e0", False, 5.0)  # the clock was set back
    assert {m: override.on for m, override in one.merge(two).items()} == {"e0": False} and not two.merge(one)
    assert one.put(ROUTER_DRAIN, True, 20.0) and set(two.merge(one)) == {ROUTER_DRAIN}
    one.prune(30.0 + overrides.CLEARED_RETENTION_MS)
    assert list(overrides.decode(one.encode("n0"), "n0")._by_target) == [
        ROUTER_DRAIN
    ]  # cleared overrides are pruned


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b'{"v":1,"name":"n0","wor',
        b'{"v":9,"name":"n0","words":{}}',
        Overrides().encode("n1"),
        b" " * 2**21,
    ],
)
def test_malformed_or_foreign_overrides_are_rejected(text: bytes) -> None:
    with pytest.raises(ValueError):
        overrides.decode(text, "n0")


# State


def learned() -> Router:
    router = Router(SETTINGS, 1)
    router.handle(0.0, [i.ReplicaList(i.ListKind.WHOLE, (i.ReplicaEntry("e0"), i.ReplicaEntry("e1")))])
    replica = router.pool.replicas["e0"]
    replica.slow_factor, replica.slow_factor_at, replica.suspect_until = 2.5, 50.0, 4000.0
    router.pool.prefixes.counts, router.pool.mean_request_tokens = {7: 3.0}, 4321.0
    router.handle(1.0, [i.RequestArrived("r", 0, 4000.0, prompt_tokens=100)])
    router.entitlements[0].debt = 0.4
    return router


def test_learned_state_and_used_entitlements_reach_the_next_process() -> None:
    router = learned()
    known = HostList(5, True, [ListEntry("e0", "127.0.0.1:1", since_ms=9.0)])
    decoded = state.decode(state.encode("n0", known, {"e0": 77.0}, router), "n0")
    assert decoded.known == known and decoded.resumed == {"e0": 77.0}
    other = Router(SETTINGS, 2)
    other.handle(2.0, [i.ReplicaList(i.ListKind.RESTORED, (i.ReplicaEntry("e0"),))])
    state.restore(decoded, other)
    replica = other.pool.replicas["e0"]
    assert (replica.slow_factor, replica.slow_factor_at, replica.suspect_until) == (2.5, 50.0, 4000.0)
    assert (other.pool.prefixes.counts, other.pool.mean_request_tokens) == (
        {7: 3.0},
        router.pool.mean_request_tokens,
    )
    assert (
        other.entitlements[0].debt == 0.4 and other.entitlements[0].in_flight == 0
    )  # requests in flight stay with the old one
    assert set(other.pool.replicas) == {"e0"}


def test_state_that_does_not_fit_is_ignored() -> None:
    decoded = state.decode(state.encode("n0", HostList(), {}, learned()), "n0")
    decoded.pool |= {"heat_sum": "much"}
    decoded.zones = {"9": (1.0, 2.0, 3.0)}
    decoded.classes = {"0": {"answer_ms": "much", "missed": [0.1]}, "9": {"answer_ms": 7.0}}
    decoded.entitlements["9"] = {"debt": 1.0}
    other = Router(SETTINGS, 2)
    initial = vars(Router(SETTINGS, 2).class_stats[0])
    state.restore(decoded, other)
    assert (
        other.pool.zone_load_ms == [0.0]
        and other.pool.prefixes.keyed_count == 0.0
        and list(other.class_stats) == [0]
    )
    assert vars(other.class_stats[0]) == initial and list(other.entitlements) == [0]
    for text in (b"", b'{"v":1', state.encode("n1", HostList(), {}, learned())):
        with pytest.raises(ValueError):
            state.decode(text, "n0")


# Processes in the folder


def test_a_process_is_alive_while_it_holds_its_lock(tmp_path: Path) -> None:
    one = Handover(str(tmp_path))
    two = Handover(str(tmp_path))
    one.refresh_peers()
    assert one.newer == [two.process_name] and two.older == [one.process_name] and not one.older
    one.write_overrides(b"said")
    assert two.read_peer_overrides([]) == [b"said"] and two.read_peer_overrides([]) == []
    one.close()  # like a kill, except for the files left behind
    dead = two.refresh_peers()
    assert dead == [one.process_name] and not two.older
    two.remove_files(dead)
    left = {path.name for path in (tmp_path / handover.FOLDER).iterdir()}
    assert left == {f"{two.process_name}.{kind}" for kind in ("ids", "lock")}
    two.close()


def test_overrides_of_dead_processes_apply(tmp_path: Path) -> None:
    first = Handover(str(tmp_path))
    first.write_overrides(b"banned")
    first.close()
    second = Handover(str(tmp_path))
    assert second.read_peer_overrides(second.refresh_peers()) == [b"banned"]
    second.close()


def test_an_unwritable_folder_affects_only_the_handover(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    one = Handover(str(tmp_path))
    one._folder = tmp_path / "gone"
    one.write_overrides(b"said")
    assert "handover_failed" in capfd.readouterr().err
    one.close()


@pytest.mark.parametrize("text", ["", "three", "-1", "1000000", "99999999999999999999"])
def test_an_invalid_descriptor_is_an_error_that_names_its_variable(text: str) -> None:
    with pytest.raises(ConfigError, match=f"^{INHERITED_FD_VARIABLE}: "):
        handover.inherited_listener({INHERITED_FD_VARIABLE: text})


def test_only_a_listening_tcp_socket_is_accepted() -> None:
    with socket.socket() as idle, open(os.devnull) as file:
        for number in (idle.fileno(), file.fileno()):
            with pytest.raises(ConfigError, match="no "):
                handover.inherited_listener({INHERITED_FD_VARIABLE: str(number)})
    assert handover.inherited_listener({}) is None


def test_overrides_of_another_process_are_applied() -> None:
    with running_router(serve_all) as (harness, _):
        commands, other = OperatorCommands(harness.host, harness.inbound), Overrides()
        other.put("e0", True, 1.0)
        other.put(ROUTER_DRAIN, True, 1.0)
        assert commands.apply_remote(other) and not commands.apply_remote(other)
        assert harness.host.destinations.suspended("e0") and harness.inbound.operator_drained()
        other.put("e0", False, 2.0)
        other.put(ROUTER_DRAIN, False, 2.0)
        commands.apply_remote(other)
        assert harness.host.destinations.serving("e0") and not harness.inbound.operator_drained()


# Real processes


def test_ten_upgrades_in_a_row_under_load_lose_no_request(tmp_path: Path) -> None:
    """Every request gets one response, from the process that holds the socket at that time."""

    def in_steps(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        gevent.sleep(0.05)
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    answers: dict[str, list[int]] = {}
    unanswered = ended = 0

    def load(who: int) -> None:
        nonlocal unanswered
        client, number = None, 0
        while not ended:
            name, number = f"{who}-{number}", number + 1
            got = answers.setdefault(name, [])
            while not got:
                client = client or Client(made.port)
                try:
                    answer = client.send(ask(X_Correlation_Id=name)).answer()
                    got.append(answer.status)
                    if answer.fields.get(b"connection") == b"close":
                        client = None
                except ConnectionError:  # closed between requests: sent again on another connection
                    client, unanswered = None, unanswered + 1
            gevent.sleep(0.02)

    with service(tmp_path, ScriptedServer(in_steps)) as made:
        old = made.start()
        clients = [gevent.spawn(load, who) for who in range(8)]
        for _ in range(10):
            new = made.start()
            assert made.end(old) == 0
            old = new
        ended = 1
        gevent.joinall(clients, raise_error=True)
        assert len(answers) > 100 and all(got == [200] for got in answers.values())
        # Connections are handed over as well, except in an upgrade whose processes get little processor time.
        assert unanswered <= 2 * len(clients)
        assert all("unexpected" not in made.log(number) for number in range(11))


def test_overrides_survive_an_upgrade_and_apply_in_both_processes(tmp_path: Path) -> None:
    engines = [ScriptedServer(serve_all), ScriptedServer(serve_all)]

    def asked(number: int) -> int:
        return Client(made.port).send(ask(X_Correlation_Id=str(number))).answer().status

    def up() -> int:
        return Client(made.port).send(b"GET /up HTTP/1.1\r\n\r\n").answer().status

    with service(tmp_path, *engines) as made:
        first = made.start()
        assert made.call(first, "engines/e0/suspend") == 200 and made.call(first, "router/drain") == 200
        second = made.start()
        assert {up() for _ in range(8)} == {503}
        assert made.call(first, "router/activate") == 200  # sent to the older process
        wait_until(lambda: {up() for _ in range(8)} == {200})
        assert made.call(second, "engines/e1/suspend") == 200  # and to the newer one
        wait_until(lambda: '"on":true' in made.log(first).rpartition("e1")[2])
        assert {asked(n) for n in range(8)} == {503} and not any(engine.requests for engine in engines)
        assert made.end(first) == 0
        third = made.start()
        assert made.call(second, "engines/e1/resume") == 200
        wait_until(lambda: '"on":false' in made.log(third).rpartition("e1")[2])
        assert made.end(second) == 0
        assert made.call(third, "engines/e0/suspend") == 200 and not engines[0].requests


def test_a_new_process_that_fails_to_start_does_not_affect_the_old_one(tmp_path: Path) -> None:
    with service(tmp_path, ScriptedServer(serve_all)) as made:
        old = made.start()
        new = made.start(ready=False)
        wait_until(lambda: "handed_over" in made.log(old))
        made.processes[new].kill()
        made.raw["settings"]["Classes"] = []
        faulty = made.start(ready=False)
        wait_until(lambda: made.processes[faulty].poll() is not None)
        assert made.processes[faulty].returncode == 2
        made.raw = make_config([])  # without an endpoint it is never ready
        made.raw["name"] = "n1"
        idle = made.start(ready=False)
        wait_until(lambda: made.call(idle, "readyz", "GET") == 503)
        asking = [Client(made.port).send(ask(X_Correlation_Id=str(n))) for n in range(8)]
        assert {client.answer().status for client in asking} == {200}
        assert made.end(idle) == 0
        wait_until(lambda: len(list((tmp_path / handover.FOLDER).glob("*.lock"))) == 1)
        assert made.call(old, "readyz", "GET") == 200


# Streams


@contextmanager
def two_processes(*script: Any) -> Iterator[tuple[Any, Any, Any]]:
    """Two routers, of which the first hands its streams over to the second: (old, new, engine)."""
    with running_router(*script) as (old, engine), running_router() as (new,):

        def send(text: bytes, descriptors: Any) -> bool:
            connection_handover.receive(
                new.host, new.inbound, text, [os.dup(number) for number in descriptors]
            )()
            return True

        old.send = send
        old.host.hand_over = lambda underway: connection_handover.send_stream(old.host, underway, old.send)
        yield old, new, engine


def test_a_stream_continues_in_the_next_process_with_each_event_once() -> None:
    step = Event()

    def in_steps(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        step.wait()
        sock.sendall(chunk(EVENTS[1])[:5])  # cut at any place
        gevent.sleep(0.05)
        sock.sendall(chunk(EVENTS[1])[5:] + b"0\r\n\r\n")

    with two_processes(in_steps) as (old, new, _):
        client = old.client().send(ask())
        wait_until(lambda: new.host.in_progress() == 1)
        wait_until(lambda: not old.inbound._clients and old.host.open_requests() == 0)
        assert old.events_of(i.AttemptEnded)[0].closed and old.host.in_progress() == 0
        assert old.host._endpoints._pool._open_count == 0 and new.host._endpoints._pool._open_count == 1
        step.set()
        answer = client.answer()
        assert answer.status == 200 and b"".join(answer.take_body()) == b"".join(EVENTS)
        wait_until(lambda: new.host.open_requests() == 0)
        assert client.send(ask()).answer().status == 503  # the new process has no engine
        assert len(new.events_of(i.RequestArrived)) == 1 and len(old.events_of(i.RequestArrived)) == 1


def test_an_idle_connection_continues_in_the_next_process() -> None:
    with two_processes(serve_all) as (old, _, engine):
        client, busy = old.client(), old.client().send(ask()[:30])
        assert client.send(ask()).answer().status == 200
        wait_until(lambda: len(old.inbound._clients) == 2 and old.host.open_requests() == 0)
        given = [connection_handover.send_idle(one, old.send) for one in list(old.inbound._clients)]
        assert sorted(given) == [False, True]  # not the half-read one
        assert (
            client.send(ask()).answer().status == 503 and len(engine.requests) == 1
        )  # the new process has none
        assert busy.send(ask()[30:]).answer().status == 200
        (left,) = old.inbound._clients
        wait_until(lambda: left.idle())
        assert not connection_handover.send_idle(left, lambda text, descriptors: False)
        assert busy.send(ask(X_Correlation_Id="on")).answer().status == 200  # still read here


def test_a_client_that_disconnects_after_the_handover_frees_its_engine() -> None:
    def begin(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))

    with two_processes(begin) as (old, new, engine):
        client = old.client().send(ask())
        wait_until(lambda: new.host.in_progress() == 1)
        client.sock.close()
        wait_until(lambda: engine.closed == 1 and new.host.open_requests() == 0 and not new.inbound._clients)


def test_an_engine_failure_after_the_handover_closes_the_client_connection() -> None:
    step = Event()

    def half(sock: socket.socket, message: Message) -> bool:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        step.wait()
        return True

    with two_processes(half) as (old, new, _):
        client = old.client().send(ask())
        wait_until(lambda: new.host.in_progress() == 1)
        step.set()
        with pytest.raises(ConnectionResetError):
            client.answer()


@pytest.mark.parametrize("taken", [False, None])
def test_a_rejected_stream_stays_and_one_of_unknown_outcome_ends_in_both(taken: bool | None) -> None:
    tries: list[bytes] = []

    def send(text: bytes, descriptors: Any) -> bool | None:
        tries.append(text)
        return taken

    def in_two(sock: socket.socket, message: Message) -> None:
        begin_only(sock, message)
        wait_until(lambda: tries)
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with two_processes(in_two) as (old, new, _):
        old.send = send
        client = old.client().send(ask(X_Correlation_Id="9b1f"))
        if taken is False:
            for name in ("n", "m"):
                assert client.answer().status == 200
                client.send(ask(X_Correlation_Id=name))
        else:
            with pytest.raises(ConnectionResetError):
                client.answer()
        assert connection_handover.decode_stream(tries[0]).id == "9b1f" and not new.inbound._clients


def begin_only(sock: socket.socket, message: Message) -> None:
    sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))


def test_nothing_half_read_is_handed_over() -> None:
    step = Event()

    def cut(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]) + chunk(EVENTS[1])[:7])
        step.wait()
        sock.sendall(chunk(EVENTS[1])[7:] + b"0\r\n\r\n")

    with two_processes(cut) as (old, new, _):
        client = old.client().send(ask())
        wait_until(lambda: old.events_of(i.StreamStarted))
        gevent.sleep(0.05)
        assert not new.inbound._clients
        step.set()
        assert client.answer().status == 200
    with two_processes(begin_only) as (old, new, _):  # nor if the client has sent more already
        old.client().send(ask() + ask(X_Correlation_Id="next"))
        wait_until(lambda: old.events_of(i.StreamStarted))
        gevent.sleep(0.05)
        assert not new.inbound._clients and old.host.in_progress() == 1


@pytest.mark.parametrize("text", [b"", b'{"v":1', b'{"v":2}', b"[]"])
def test_a_malformed_or_foreign_message_is_rejected(text: bytes) -> None:
    with running_router() as (new,):
        ends = socket.socketpair()
        with pytest.raises(ValueError):
            connection_handover.receive(new.host, new.inbound, text, [os.dup(end.fileno()) for end in ends])
        with pytest.raises(ValueError):
            connection_handover.receive(new.host, new.inbound, text, [])
        assert not new.inbound._clients
        for end in ends:
            end.close()


def test_streams_move_between_processes_or_stay(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    folder = tmp_path / ("long" * 30)  # longer than a Unix socket path may be
    folder.mkdir()
    one, two = Handover(str(folder)), Handover(str(folder))
    one.refresh_peers()
    ends = socket.socketpair()
    numbers = [end.fileno() for end in ends]
    assert one.send_stream(b"x", numbers) is False  # nobody listens yet
    got: list[tuple[bytes, list[int]]] = []

    def take(text: bytes, descriptors: list[int]) -> Any:
        got.append((text, descriptors))
        if text == b"bad":
            raise HandoverDataError("", "no")
        if text == b"slow":
            gevent.sleep(1.0)
        return lambda: None

    two.listen_for_streams(take)
    text = b"y" * 60_000  # more than one read
    assert one.send_stream(text, numbers) is True and got[0][0] == text and len(got[0][1]) == 2
    assert not set(got[0][1]) & set(numbers) and not os.get_inheritable(got[0][1][0])
    assert one.send_stream(b"bad", numbers) is False
    monkeypatch.setattr(handover, "STREAM_TIMEOUT_S", 0.05)
    assert one.send_stream(b"slow", numbers) is None
    for _, descriptors in got:
        for number in descriptors:
            os.close(number)
    for handed in (one, two):
        handed.close()
    for end in ends:
        end.close()


def test_long_streams_outlive_the_process_that_started_them(tmp_path: Path) -> None:
    go = Event()

    def long(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD)
        while not go.is_set():
            sock.sendall(chunk(EVENTS[0]))
            gevent.sleep(0.05)
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with service(tmp_path, ScriptedServer(long)) as made:
        first = made.start()
        clients = [Client(made.port).send(ask(X_Correlation_Id=str(n))) for n in range(4)]
        assert all(client.sock.recv(1) == b"H" for client in clients)
        second = made.start()
        assert made.end(first) == 0
        assert made.log(second).count("stream_taken") == 4 and "moved" not in made.log(first)
        go.set()
        for client in clients:
            rest = b"H"
            while not rest.endswith(b"0\r\n\r\n"):
                got = client.sock.recv(65536)
                assert got
                rest += got
            body = rest.partition(b"\r\n\r\n")[2]
            assert body.replace(chunk(EVENTS[0]), b"") == chunk(EVENTS[1]) + b"0\r\n\r\n"
