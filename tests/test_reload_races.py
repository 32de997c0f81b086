"""A request keeps its class, tenant, windows and limits when new settings are applied during it.

Each test forces the critical order: settings are applied, or a signal sent, where a greenlet yields.
"""

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
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.admin import state
from spoolbarrow.admin.control import RequestCounter
from spoolbarrow.admin.metrics import Metrics
from spoolbarrow.config import ConfigError, HostList
from spoolbarrow.handover import HandoverDataError
from spoolbarrow.net import connection_handover, pool_split
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.log import default_log
from spoolbarrow.operator import FleetTable
from spoolbarrow.reload import DescriptorLimit, Reloader
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
    free_port,
    make_config,
    running_router,
    serve_all,
    wait_until,
)

ROOT = Path(__file__).resolve().parent.parent
# CHAT may be attempted several times, ONCE at most once.
CHAT = {"Name": "chat", "AimMs": 60e3, "DeadlineMs": 20e3, "Effect": "retryable", "Stream": True}
ONCE = {"Name": "once", "AimMs": 60e3, "DeadlineMs": 20e3, "Effect": "fragile", "Stream": True}
ACME, OTHER = {"Name": "acme", "Portion": 0.7}, {"Name": "other", "Portion": 0.3}
INITIAL: dict[str, Any] = {"Classes": [CHAT, ONCE], "Tenants": [ACME, OTHER]}
SWAPPED: dict[str, Any] = {"Classes": [ONCE, CHAT], "Tenants": [OTHER, ACME]}


def make_settings(changes: dict[str, Any], **limits: Any) -> dict[str, Any]:
    base = make_config([])["settings"]
    return {**base, **changes, "Limits": {**base["Limits"], **limits}}


def apply_settings(scene: Any, changes: dict[str, Any], **limits: Any) -> None:
    """Apply settings as SIGHUP does after reading the file; discovery reports no change."""
    raw = make_config([], settings=make_settings(changes, **limits))
    parsed = config.parse(msgspec.json.encode({**raw, "listen": f"{LISTEN}:{scene.config.listen[1]}"}))
    parsed = msgspec.structs.replace(parsed, discovery=scene.config.discovery)
    scene.inbound.apply(parsed)
    scene.host.apply(parsed)


def apply_after_submit(scene: Any, changes: dict[str, Any], **limits: Any) -> None:
    """Apply new settings after the next request is parsed and before its batch of events is handled."""
    original_submit = scene.host.submit

    def submit(*args: Any, **keywords: Any) -> Any:
        scene.host.submit = original_submit
        request = original_submit(*args, **keywords)
        apply_settings(scene, changes, **limits)
        return request

    scene.host.submit = submit


def close_connection(sock: socket.socket, message: Message) -> bool:
    return True


# A request and the settings it was admitted with


def test_a_request_is_not_repeated_when_classes_swap_positions_before_its_batch() -> None:
    with running_router(close_connection, close_connection, settings=make_settings(INITIAL)) as (
        scene,
        *engines,
    ):
        apply_after_submit(scene, SWAPPED)
        assert scene.client().send(ask(X_Service_Class="once")).answer().status == 502
        assert scene.host.config.classes == {"once": 0, "chat": 1}  # the classes changed places
        assert sum(len(engine.requests) for engine in engines) == 1
        again = scene.client().send(ask(X_Service_Class="chat", X_Correlation_Id="2"))
        assert again.answer().status == 503 and sum(len(engine.requests) for engine in engines) == 3


def test_a_request_is_served_under_its_class_removed_before_its_batch() -> None:
    with running_router(serve_all, settings=make_settings(INITIAL)) as (scene, _):
        apply_after_submit(scene, {"Classes": [CHAT], "Tenants": [ACME]})
        client = scene.client().send(ask(X_Service_Class="once", X_Account="other"))
        assert client.answer().status == 200
        wait_until(lambda: scene.host.open_requests() == 0 and not scene.host.router().requests)
        assert list(scene.host.router().class_stats) == ["chat"]
        assert scene.client().send(ask(X_Service_Class="once")).answer().status == 400


def test_a_request_waiting_for_a_probe_keeps_its_limits_when_they_change() -> None:
    """The probe's response is held back until the new limits are applied."""
    applied = Event()

    def respond(sock: socket.socket, message: Message) -> bool:
        if message.method == b"POST":
            return True
        applied.wait()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        return False

    probing = make_settings(INITIAL, Probing=True)
    with running_router(respond, respond, settings=probing) as (scene, *engines):
        handle = scene.host.router().handle

        def handle_and_apply(now: float, events: list[i.Event]) -> list[i.Action]:
            actions: list[i.Action] = handle(now, events)
            if any(isinstance(event, i.RequestArrived) for event in events):
                (request,) = scene.host.router().requests.values()
                assert request.held
                apply_settings(scene, INITIAL, Probing=True, MaxAttempts=1)
                applied.set()
            return actions

        scene.host.router().handle = handle_and_apply
        assert scene.client().send(ask()).answer().status == 503
        sent = [m for engine in engines for m in engine.requests if m.method == b"POST"]
        assert len(sent) == 2  # both engines: the new limit would have allowed one
        scene.host.router().handle = handle
        assert scene.client().send(ask(X_Correlation_Id="2")).answer().status == 503
        sent = [m for engine in engines for m in engine.requests if m.method == b"POST"]
        assert len(sent) == 3


def test_a_response_is_counted_for_the_class_at_admission() -> None:
    release = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        release.wait()
        serve_all(sock, message)

    with running_router(wait, settings=make_settings(INITIAL)) as (scene, engine):
        metrics = Metrics(scene.config.classes)
        scene.host.observers.add(
            RequestCounter(metrics, lambda number: list(scene.host.config.classes)[number])
        )
        client = scene.client().send(ask(X_Service_Class="once", X_Account="other"))
        wait_until(lambda: engine.requests)
        apply_settings(scene, SWAPPED)
        release.set()
        assert client.answer().status == 200
        counts = {cls: sum(by_result.values()) for cls, by_result in metrics._counts.items()}
        assert counts == {"chat": 0, "once": 1}


def test_the_pool_split_ignores_requests_whose_class_index_changed() -> None:
    """Recording continues: looking up a removed class would raise, and end the recording for good."""
    release = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        if message.body == b"waits":
            release.wait()
        serve_all(sock, message)

    with running_router(wait, settings=make_settings(INITIAL)) as (scene, engine):
        part = pool_split.PoolSplit("n0")
        part.watch(scene.host, FleetTable(["m"]))
        client = scene.client().send(ask(b"waits", X_Service_Class="once"))
        wait_until(lambda: engine.requests)
        apply_settings(scene, {"Classes": [CHAT], "Tenants": [ACME]})
        part.watch(scene.host, FleetTable(["m"]))  # as at each poll of the fleet's documents
        release.set()
        assert client.answer().status == 200
        assert not part._pools.recorder.stats.cells
        assert scene.client().send(ask(X_Correlation_Id="2")).answer().status == 200
        assert [cell.answered for cell in part._pools.recorder.stats.cells.values()] == [1.0]


# Learnt state


def test_learnt_state_stays_with_its_class_and_a_new_class_starts_with_defaults() -> None:
    """Also what is learnt from a request whose class changed position while it was in progress."""
    release = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        release.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with running_router(wait, settings=make_settings(INITIAL)) as (scene, _):
        router, default = (
            scene.host.router(),
            Router(scene.config.settings, 1).class_stats["chat"].mean_answer_ms,
        )
        client = scene.client().send(ask(X_Service_Class="once"))
        wait_until(lambda: scene.events_of(i.StreamStarted))
        router.class_stats["chat"].preferred_prefill_tokens = 77.0
        apply_settings(scene, {"Classes": [{**CHAT, "Name": "new"}, ONCE, CHAT], "Tenants": [ACME]})
        release.set()
        assert client.answer().status == 200
        wait_until(lambda: not router.requests)
        learnt = [stats for _, _, stats in router.class_terms]
        assert [stats.preferred_prefill_tokens == 77.0 for stats in learnt] == [False, False, True]
        assert [stats.mean_answer_ms == default for stats in learnt] == [True, False, True]
        assert [router.class_stats[name] for name in ("new", "once", "chat")] == learnt


def test_a_tenants_account_follows_its_name_while_a_request_is_in_progress() -> None:
    release = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        release.wait()
        serve_all(sock, message)

    with running_router(wait, settings=make_settings(INITIAL)) as (scene, engine):
        router = scene.host.router()
        client = scene.client().send(ask(X_Account="other"))
        wait_until(lambda: engine.requests)
        router.entitlements["other"].debt = 0.4
        apply_settings(scene, SWAPPED)
        assert list(router.entitlements) == ["other"]
        account = router.entitlements["other"]
        assert (account.in_flight, account.debt) == (1, 0.4)
        release.set()
        assert client.answer().status == 200
        wait_until(lambda: not router.requests)
        assert account.in_flight == 0 and router.entitlements == {"other": account}
        apply_settings(scene, {"Classes": [CHAT], "Tenants": [ACME]})
        assert not router.entitlements  # a removed tenant keeps no debt


def test_zones_are_matched_by_name_at_the_reload_not_at_the_next_list() -> None:
    """Discovery reports no change: the current list must be read with the new zone numbers at once."""
    zones = {"Zones": ["a", "b"], "MyZone": 0}
    with running_router(serve_all, serve_all, settings=make_settings(INITIAL | zones)) as (scene, *engines):
        listed = [endpoint_entry("near", engines[0].port), endpoint_entry("far", engines[1].port, zone="b")]
        known = config.parse(msgspec.json.encode(make_config(listed, settings=make_settings(zones)))).known
        scene.host.destinations.apply_list(known, i.ListKind.WHOLE)
        pool = scene.host.router().pool
        wait_until(lambda: [replica.id for replica in pool.local] == ["near"])
        far = pool.replicas["far"]
        pool.zone_load_ms[:], pool.zone_updated_at[:] = [5.0, 9.0], [scene.host.now()] * 2
        apply_settings(scene, INITIAL | {"Zones": ["b", "a"], "MyZone": 1})
        assert [replica.id for replica in pool.local] == ["near"] and pool.remote == [far]
        assert {member.id for member in pool.local_ring.members()} == {"near"}
        assert {member.id for member in pool.remote_ring.members()} == {"far"}
        assert pool.zone_load_ms == [9.0, 5.0]
        apply_settings(scene, INITIAL | {"Zones": ["a"], "MyZone": 0})  # its own zone is removed: not local
        assert [replica.id for replica in pool.local] == ["near"] and pool.remote == [far]
        assert pool.zone_load_ms == [5.0, 9.0]
        apply_settings(scene, INITIAL | {"Zones": ["c", "b"], "MyZone": 1})
        assert pool.local == [far] and pool.zone_load_ms[:2] == [0.0, 9.0]


def test_a_pending_list_update_is_not_read_with_new_zone_indices() -> None:
    zones = {"Zones": ["a", "b"], "MyZone": 0}
    with running_router(serve_all, settings=make_settings(INITIAL | zones)) as (scene, engine):
        pool, destinations = scene.host.router().pool, scene.host.destinations
        listed = [endpoint_entry("near", engine.port), endpoint_entry("far", engine.port, zone="b")]
        known = config.parse(msgspec.json.encode(make_config(listed, settings=make_settings(zones)))).known
        destinations.apply_list(known, i.ListKind.WHOLE)
        assert "near" not in pool.replicas  # delivered, but no batch was handled since
        apply_settings(scene, INITIAL | {"Zones": ["b", "a"], "MyZone": 1})
        wait_until(lambda: "near" in pool.replicas)
        assert [replica.id for replica in pool.local] == ["near"]
        assert [replica.id for replica in pool.remote] == ["far"]


def test_a_response_is_accepted_after_its_engines_zone_was_removed() -> None:
    """Its engine has left the list as well: only the attempt still refers to it."""
    release = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        release.wait()
        sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")

    zones = {"Zones": ["a", "b"], "MyZone": 1}
    with running_router(wait, settings=make_settings(INITIAL | zones)) as (scene, engine):
        router = scene.host.router()
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        scene.host.destinations.apply_list(HostList(9, True, []), i.ListKind.WHOLE)
        wait_until(lambda: not router.pool.replicas)
        apply_settings(scene, INITIAL | {"Zones": ["b"], "MyZone": 0})
        release.set()
        assert client.answer().status == 503
        wait_until(lambda: not router.requests)
        assert router.pool.zone_keys[0] == "b" and router.pool.zone_load_ms[0] == 0.0


# The next process


@contextmanager
def next_process(script: Any, changes: dict[str, Any]) -> Iterator[tuple[Any, Any, Any]]:
    """Two routers; the first hands its streams over to the second, which has other settings."""
    with (
        running_router(script, settings=make_settings(INITIAL)) as (old, engine),
        running_router(settings=make_settings(changes)) as (new,),
    ):

        def send(text: bytes, descriptors: Any) -> bool:
            connection_handover.receive(
                new.host, new.inbound, text, [os.dup(number) for number in descriptors]
            )()
            return True

        old.host.hand_over = lambda attempt: connection_handover.send_stream(old.host, attempt, send)
        yield old, new, engine


def test_a_handed_over_stream_keeps_its_class_and_tenant_at_other_positions() -> None:
    release = Event()

    def in_steps(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        release.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with next_process(in_steps, SWAPPED) as (old, new, _):
        client = old.client().send(ask(X_Service_Class="once", X_Account="other"))
        wait_until(lambda: new.host.in_progress() == 1 and old.host.open_requests() == 0)
        (request,) = new.host._requests.values()
        assert (request.class_name, request.tenant_name) == ("once", "other")
        assert (request.cls, request.tenant) == (0, 0)
        release.set()
        assert b"".join(client.answer().take_body()) == b"".join(EVENTS)


@pytest.mark.parametrize(
    "changes, key",
    [
        ({"Classes": [CHAT], "Tenants": [ACME, OTHER]}, "settings.Classes"),
        ({"Classes": [ONCE, CHAT], "Tenants": [ACME]}, "settings.Tenants"),
        ({"Classes": [ONCE, CHAT], "Tenants": []}, "settings.Tenants"),
    ],
    ids=["class", "tenant", "no tenants"],
)
def test_a_handed_over_stream_with_unknown_names_is_closed(
    changes: dict[str, Any], key: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    written: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(default_log, "write", lambda event, fields: written.append((event, fields)))

    def begin(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))

    with next_process(begin, changes) as (old, new, engine):
        client = old.client().send(ask(X_Service_Class="once", X_Account="other"))
        with pytest.raises(ConnectionResetError):
            client.answer()
        wait_until(lambda: engine.closed == 1 and old.host.open_requests() == 0 and not old.inbound._clients)
        assert new.host.open_requests() == 0 and not new.inbound._clients
        (lost,) = [fields for event, fields in written if event == "stream_lost"]
        assert str(lost["error"]).startswith(f"{key}: ") and lost["remedy"]


def test_a_handover_message_with_positions_is_rejected() -> None:
    """It comes from an older version of the program, which then keeps its stream."""
    with next_process(serve_all, SWAPPED) as (_, new, _):
        one, other = socket.socketpair()
        now = new.host.now()
        stream = connection_handover.StreamState(
            1, "x", "once", "other", now, now, "e0", now, now, [], "", True, False
        )
        with pytest.raises(HandoverDataError):
            connection_handover.receive(
                new.host, new.inbound, msgspec.json.encode(stream), [one.detach(), other.detach()]
            )
        assert not new.inbound._clients


def test_the_next_process_restores_learnt_state_by_name() -> None:
    def router_with(changes: dict[str, Any]) -> Router:
        zones = {"Zones": changes["Zones"]}
        return Router(
            config.parse(
                msgspec.json.encode(make_config([], settings=make_settings(changes | zones)))
            ).settings,
            1,
        )

    old, new = router_with(INITIAL | {"Zones": ["a", "b"]}), router_with(SWAPPED | {"Zones": ["b", "c"]})
    old.class_stats["once"].mean_answer_ms, old.class_stats["once"].prefix_miss_share = 5.0, [0.1, 0.2, 0.3]
    old.class_stats["chat"].preferred_prefill_tokens = 77.0
    old.pool.zone_load_ms[:] = [3.0, 4.0]
    old.handle(1.0, [i.ReplicaList(i.ListKind.WHOLE, (i.ReplicaEntry("e0"),))])
    old.handle(2.0, [i.RequestArrived("q", 0, 4000.0, tenant=1)])
    old.entitlements["other"].debt = 0.4
    state.restore(state.decode(state.encode("n0", HostList(), {}, old), "n0"), new)
    assert new.class_stats["once"].mean_answer_ms == 5.0 and new.class_terms[0][2].prefix_miss_share == [
        0.1,
        0.2,
        0.3,
    ]
    assert new.class_terms[1][2].preferred_prefill_tokens == 77.0
    assert new.pool.zone_load_ms == [4.0, 0.0]
    assert list(new.entitlements) == ["other"] and new.entitlements["other"].debt == 0.4


# The signal


@pytest.mark.parametrize(
    "changes, key",
    [
        ({"Classes": [CHAT, CHAT]}, "settings.Classes[1].Name"),
        ({"Tenants": [ACME, OTHER, ACME]}, "settings.Tenants[2].Name"),
        ({"Zones": ["a", "b", "b"]}, "settings.Zones[2]"),
    ],
)
def test_duplicate_names_are_rejected_with_their_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError) as rejected:
        config.parse(msgspec.json.encode(make_config([], settings=make_settings(changes))))
    assert rejected.value.place == key


def test_a_reload_is_rejected_as_a_whole_or_leaves_open_requests_their_settings(tmp_path: Path) -> None:
    release, file = Event(), tmp_path / "config.json"

    def wait(sock: socket.socket, message: Message) -> bool:
        if b"first" in message.body:
            release.wait()
        return True

    engines = [ScriptedServer(wait), ScriptedServer(wait)]
    listed = [endpoint_entry(f"e{n}", engine.port) for n, engine in enumerate(engines)]
    raw = make_config(listed, settings=make_settings(INITIAL))
    file.write_bytes(msgspec.json.encode(raw))
    port = int(raw["listen"].rpartition(":")[2])
    environment = {**os.environ, "NODE_CONFIG": str(file)}
    run = [sys.executable, "-m", "spoolbarrow"]

    def requests_sent() -> int:
        return sum(len(engine.requests) for engine in engines)

    with subprocess.Popen(run, cwd=ROOT, env=environment, stderr=subprocess.PIPE) as router:
        try:
            assert router.stderr is not None

            def reload(changes: dict[str, Any], event: bytes) -> bytes:
                file.write_bytes(msgspec.json.encode({**raw, "settings": make_settings(changes)}))
                router.send_signal(signal.SIGHUP)
                line = b""
                while b'"reload' not in line:
                    line = router.stderr.readline()  # type: ignore[union-attr]
                assert event in line
                return line

            wait_until(lambda: not socket.socket().connect_ex((LISTEN, port)))
            waiting = Client(port).send(ask(b"first", X_Service_Class="once"))
            wait_until(requests_sent)
            line = reload({"Classes": [ONCE, CHAT, CHAT]}, b"reload_failed")
            assert b"settings.Classes[2].Name" in line
            retried = Client(port).send(ask(X_Service_Class="chat", X_Correlation_Id="2"))
            assert retried.answer().status == 503 and requests_sent() == 3  # nothing changed
            reload(SWAPPED, b'"reloaded"')
            release.set()
            assert waiting.answer().status == 502 and requests_sent() == 3  # under its original settings
            reload({"Classes": [CHAT], "Tenants": [ACME]}, b'"reloaded"')
            removed = Client(port).send(ask(X_Service_Class="once", X_Correlation_Id="3"))
            assert removed.answer().status == 400
        finally:
            router.kill()
            for server in engines:
                server.close()


def test_a_signal_during_a_reload_is_handled_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first changes the address and waits for its old listener's end; the second is sent then."""
    file = tmp_path / "config.json"
    monkeypatch.setenv("NODE_CONFIG", str(file))
    with running_router(serve_all, settings=make_settings(INITIAL)) as (scene, _):
        reloader = Reloader(scene.host, scene.inbound, None, DescriptorLimit())
        stop, second = scene.inbound._stop_listening, []
        listen = f"{LISTEN}:{free_port()}"

        def write(changes: dict[str, Any]) -> None:
            raw = make_config([], scene.config.discovery[1], settings=make_settings(changes))
            file.write_bytes(msgspec.json.encode({**raw, "listen": listen}))

        def between() -> None:
            scene.inbound._stop_listening = stop
            write(SWAPPED)
            second.append(gevent.spawn(reloader.reload))
            gevent.sleep(0)  # it runs until it blocks
            stop()

        scene.inbound._stop_listening = between
        write({"Classes": [ONCE], "Tenants": [OTHER]})
        assert reloader.reload() is None
        assert second[0].get(timeout=20) is None
        for settled in (scene.host.config, scene.inbound.config):
            assert settled.classes == {"once": 0, "chat": 1} and settled.tenants == {"other": 0, "acme": 1}
        assert Client(int(listen.rpartition(":")[2])).send(ask()).answer().status == 200
