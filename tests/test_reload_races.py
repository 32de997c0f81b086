"""New settings between two lines of a request's way: it keeps the class, tenant, windows and limits it has.

Each test forces the bad order: settings are applied, or a signal sent, at the place where a greenlet yields.
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
from spoolbarrow.admin.control import Counting
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
# Many times, else not a second time.
CHAT = {"Name": "chat", "AimMs": 60e3, "DeadlineMs": 20e3, "Effect": "retryable", "Stream": True}
ONCE = {"Name": "once", "AimMs": 60e3, "DeadlineMs": 20e3, "Effect": "fragile", "Stream": True}
ACME, OTHER = {"Name": "acme", "Portion": 0.7}, {"Name": "other", "Portion": 0.3}
FIRST: dict[str, Any] = {"Classes": [CHAT, ONCE], "Tenants": [ACME, OTHER]}
TURNED: dict[str, Any] = {"Classes": [ONCE, CHAT], "Tenants": [OTHER, ACME]}


def settings(changes: dict[str, Any], **limits: Any) -> dict[str, Any]:
    base = make_config([])["settings"]
    return {**base, **changes, "Limits": {**base["Limits"], **limits}}


def apply(scene: Any, changes: dict[str, Any], **limits: Any) -> None:
    """As SIGHUP does, once the file is read; discovery says nothing new."""
    raw = make_config([], settings=settings(changes, **limits))
    made = config.parse(msgspec.json.encode({**raw, "listen": f"{LISTEN}:{scene.config.listen[1]}"}))
    made = msgspec.structs.replace(made, discovery=scene.config.discovery)
    scene.inbound.apply(made)
    scene.host.apply(made)


def at_submit(scene: Any, changes: dict[str, Any], **limits: Any) -> None:
    """Have new settings come after the next request was read, and before its batch."""
    take = scene.host.submit

    def submit(*args: Any, **named: Any) -> Any:
        scene.host.submit = take
        request = take(*args, **named)
        apply(scene, changes, **limits)
        return request

    scene.host.submit = submit


def hang_up(sock: socket.socket, message: Message) -> bool:
    return True


# A request and the settings that it was taken under


def test_a_request_that_must_not_run_twice_does_not_where_classes_change_places_before_its_batch() -> None:
    with running_router(hang_up, hang_up, settings=settings(FIRST)) as (scene, *engines):
        at_submit(scene, TURNED)
        assert scene.client().send(ask(X_Service_Class="once")).answer().status == 502
        assert scene.host.config.classes == {"once": 0, "chat": 1}  # they did
        assert sum(len(engine.requests) for engine in engines) == 1
        again = scene.client().send(ask(X_Service_Class="chat", X_Correlation_Id="2"))
        assert again.answer().status == 503 and sum(len(engine.requests) for engine in engines) == 3


def test_a_request_of_a_class_that_is_gone_before_its_batch_is_served_under_it() -> None:
    with running_router(serve_all, settings=settings(FIRST)) as (scene, _):
        at_submit(scene, {"Classes": [CHAT], "Tenants": [ACME]})
        asked = scene.client().send(ask(X_Service_Class="once", X_Account="other"))
        assert asked.answer().status == 200
        wait_until(lambda: scene.host.open_requests() == 0 and not scene.host.router().requests)
        assert list(scene.host.router().class_stats) == ["chat"]
        assert scene.client().send(ask(X_Service_Class="once")).answer().status == 400


def test_a_request_keeps_its_limits_where_others_come_while_it_is_held_for_a_probe() -> None:
    """The probe's answer is held back until the new limits are there."""
    seen = Event()

    def held(sock: socket.socket, message: Message) -> bool:
        if message.method == b"POST":
            return True
        seen.wait()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        return False

    few = settings(FIRST, Probing=True)
    with running_router(held, held, settings=few) as (scene, *engines):
        handle = scene.host.router().handle

        def then(now: float, events: list[i.Event]) -> list[i.Action]:
            actions: list[i.Action] = handle(now, events)
            if any(isinstance(event, i.RequestArrived) for event in events):
                (request,) = scene.host.router().requests.values()
                assert request.held
                apply(scene, FIRST, Probing=True, MaxAttempts=1)
                seen.set()
            return actions

        scene.host.router().handle = then
        assert scene.client().send(ask()).answer().status == 503
        asked = [m for engine in engines for m in engine.requests if m.method == b"POST"]
        assert len(asked) == 2  # both engines: the new limit would have left it at one
        scene.host.router().handle = handle
        assert scene.client().send(ask(X_Correlation_Id="2")).answer().status == 503
        asked = [m for engine in engines for m in engine.requests if m.method == b"POST"]
        assert len(asked) == 3


def test_an_answer_is_counted_for_the_class_that_its_request_was_taken_under() -> None:
    seen = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        seen.wait()
        serve_all(sock, message)

    with running_router(wait, settings=settings(FIRST)) as (scene, engine):
        figures = Metrics(scene.config.classes)
        scene.host.observers.add(Counting(figures, lambda number: list(scene.host.config.classes)[number]))
        asked = scene.client().send(ask(X_Service_Class="once", X_Account="other"))
        wait_until(lambda: engine.requests)
        apply(scene, TURNED)
        seen.set()
        assert asked.answer().status == 200
        counts = {cls: sum(by_fate.values()) for cls, by_fate in figures._counts.items()}
        assert counts == {"chat": 0, "once": 1}


def test_who_notes_requests_by_number_leaves_out_those_whose_numbers_are_others() -> None:
    """And hears on: a class that is gone must not be looked for, which would end the noting for good."""
    seen = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        if message.body == b"waits":
            seen.wait()
        serve_all(sock, message)

    with running_router(wait, settings=settings(FIRST)) as (scene, engine):
        part = pool_split.PoolSplit("n0")
        part.watch(scene.host, FleetTable(["m"]))
        asked = scene.client().send(ask(b"waits", X_Service_Class="once"))
        wait_until(lambda: engine.requests)
        apply(scene, {"Classes": [CHAT], "Tenants": [ACME]})
        part.watch(scene.host, FleetTable(["m"]))  # as each look of the fleet's does
        seen.set()
        assert asked.answer().status == 200
        assert not part._pools.recorder.stats.cells
        assert scene.client().send(ask(X_Correlation_Id="2")).answer().status == 200
        assert [cell.answered for cell in part._pools.recorder.stats.cells.values()] == [1.0]


# What was learnt


def test_what_a_class_taught_stays_its_own_and_a_new_one_begins_with_the_first_guess() -> None:
    """Also what a request teaches whose class moved while it was out."""
    seen = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        seen.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with running_router(wait, settings=settings(FIRST)) as (scene, _):
        router, guess = (
            scene.host.router(),
            Router(scene.config.settings, 1).class_stats["chat"].mean_answer_ms,
        )
        asked = scene.client().send(ask(X_Service_Class="once"))
        wait_until(lambda: scene.events_of(i.StreamStarted))
        router.class_stats["chat"].preferred_prefill_tokens = 77.0
        apply(scene, {"Classes": [{**CHAT, "Name": "new"}, ONCE, CHAT], "Tenants": [ACME]})
        seen.set()
        assert asked.answer().status == 200
        wait_until(lambda: not router.requests)
        learnt = [of for _, _, of in router.class_terms]
        assert [of.preferred_prefill_tokens == 77.0 for of in learnt] == [False, False, True]
        assert [of.mean_answer_ms == guess for of in learnt] == [True, False, True]
        assert [router.class_stats[name] for name in ("new", "once", "chat")] == learnt


def test_a_tenants_account_goes_by_its_name_while_its_request_is_out() -> None:
    seen = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        seen.wait()
        serve_all(sock, message)

    with running_router(wait, settings=settings(FIRST)) as (scene, engine):
        router = scene.host.router()
        asked = scene.client().send(ask(X_Account="other"))
        wait_until(lambda: engine.requests)
        router.entitlements["other"].debt = 0.4
        apply(scene, TURNED)
        assert list(router.entitlements) == ["other"]
        account = router.entitlements["other"]
        assert (account.in_flight, account.debt) == (1, 0.4)
        seen.set()
        assert asked.answer().status == 200
        wait_until(lambda: not router.requests)
        assert account.in_flight == 0 and router.entitlements == {"other": account}
        apply(scene, {"Classes": [CHAT], "Tenants": [ACME]})
        assert not router.entitlements  # a tenant that is gone owes nothing


def test_zones_go_by_their_names_from_the_signal_on_and_not_from_the_next_list() -> None:
    """Discovery says nothing more: the list that is held must be read by the new numbers at once."""
    zones = {"Zones": ["a", "b"], "MyZone": 0}
    with running_router(serve_all, serve_all, settings=settings(FIRST | zones)) as (scene, *engines):
        listed = [endpoint_entry("near", engines[0].port), endpoint_entry("far", engines[1].port, zone="b")]
        known = config.parse(msgspec.json.encode(make_config(listed, settings=settings(zones)))).known
        scene.host.destinations.apply_list(known, i.ListKind.WHOLE)
        pool = scene.host.router().pool
        wait_until(lambda: [replica.id for replica in pool.local] == ["near"])
        far = pool.replicas["far"]
        pool.zone_load_ms[:], pool.zone_updated_at[:] = [5.0, 9.0], [scene.host.now()] * 2
        apply(scene, FIRST | {"Zones": ["b", "a"], "MyZone": 1})
        assert [replica.id for replica in pool.local] == ["near"] and pool.remote == [far]
        assert {one.id for one in pool.local_ring.members()} == {"near"}
        assert {one.id for one in pool.remote_ring.members()} == {"far"}
        assert pool.zone_load_ms == [9.0, 5.0]
        apply(scene, FIRST | {"Zones": ["a"], "MyZone": 0})  # its zone is gone, and it is not local by that
        assert [replica.id for replica in pool.local] == ["near"] and pool.remote == [far]
        assert pool.zone_load_ms == [5.0, 9.0]
        apply(scene, FIRST | {"Zones": ["c", "b"], "MyZone": 1})
        assert pool.local == [far] and pool.zone_load_ms[:2] == [0.0, 9.0]


def test_news_of_the_list_that_is_not_decided_on_yet_is_not_read_by_new_numbers() -> None:
    zones = {"Zones": ["a", "b"], "MyZone": 0}
    with running_router(serve_all, settings=settings(FIRST | zones)) as (scene, engine):
        pool, destinations = scene.host.router().pool, scene.host.destinations
        listed = [endpoint_entry("near", engine.port), endpoint_entry("far", engine.port, zone="b")]
        known = config.parse(msgspec.json.encode(make_config(listed, settings=settings(zones)))).known
        destinations.apply_list(known, i.ListKind.WHOLE)
        assert "near" not in pool.replicas  # it is told, and no batch was since
        apply(scene, FIRST | {"Zones": ["b", "a"], "MyZone": 1})
        wait_until(lambda: "near" in pool.replicas)
        assert [replica.id for replica in pool.local] == ["near"]
        assert [replica.id for replica in pool.remote] == ["far"]


def test_an_answer_that_comes_after_its_engines_zone_is_gone_is_taken() -> None:
    """Its engine has left the list as well: only the attempt still names it."""
    seen = Event()

    def wait(sock: socket.socket, message: Message) -> None:
        seen.wait()
        sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")

    zones = {"Zones": ["a", "b"], "MyZone": 1}
    with running_router(wait, settings=settings(FIRST | zones)) as (scene, engine):
        router = scene.host.router()
        asked = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        scene.host.destinations.apply_list(HostList(9, True, []), i.ListKind.WHOLE)
        wait_until(lambda: not router.pool.replicas)
        apply(scene, FIRST | {"Zones": ["b"], "MyZone": 0})
        seen.set()
        assert asked.answer().status == 503
        wait_until(lambda: not router.requests)
        assert router.pool.zone_keys[0] == "b" and router.pool.zone_load_ms[0] == 0.0


# The next process


@contextmanager
def next_process(script: Any, changes: dict[str, Any]) -> Iterator[tuple[Any, Any, Any]]:
    """Two routers of which the first passes its streams to the second, which has other settings."""
    with (
        running_router(script, settings=settings(FIRST)) as (old, engine),
        running_router(settings=settings(changes)) as (new,),
    ):

        def send(text: bytes, descriptors: Any) -> bool:
            connection_handover.receive(
                new.host, new.inbound, text, [os.dup(number) for number in descriptors]
            )()
            return True

        old.host.hand_over = lambda underway: connection_handover.send_stream(old.host, underway, send)
        yield old, new, engine


def test_a_stream_has_its_class_and_tenant_in_a_process_that_has_them_elsewhere() -> None:
    step = Event()

    def in_steps(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        step.wait()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with next_process(in_steps, TURNED) as (old, new, _):
        client = old.client().send(ask(X_Service_Class="once", X_Account="other"))
        wait_until(lambda: new.host.in_progress() == 1 and old.host.open_requests() == 0)
        (request,) = new.host._requests.values()
        assert (request.class_name, request.tenant_name) == ("once", "other")
        assert (request.cls, request.tenant) == (0, 0)
        step.set()
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
def test_a_stream_whose_names_the_next_process_lacks_is_broken_off_there(
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
        (told,) = [fields for event, fields in written if event == "stream_lost"]
        assert str(told["error"]).startswith(f"{key}: ") and told["remedy"]


def test_a_message_that_tells_positions_is_not_taken() -> None:
    """It is of an older version of the program, which goes on with its stream itself."""
    with next_process(serve_all, TURNED) as (_, new, _):
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


def test_the_next_process_learns_by_names() -> None:
    def of(changes: dict[str, Any]) -> Router:
        zones = {"Zones": changes["Zones"]}
        return Router(
            config.parse(msgspec.json.encode(make_config([], settings=settings(changes | zones)))).settings, 1
        )

    old, new = of(FIRST | {"Zones": ["a", "b"]}), of(TURNED | {"Zones": ["b", "c"]})
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
def test_names_that_stand_twice_are_refused_with_their_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError) as refused:
        config.parse(msgspec.json.encode(make_config([], settings=settings(changes))))
    assert refused.value.place == key


def test_sighup_is_refused_whole_or_leaves_what_is_open_its_own_rules(tmp_path: Path) -> None:
    seen, file = Event(), tmp_path / "config.json"

    def wait(sock: socket.socket, message: Message) -> bool:
        if b"first" in message.body:
            seen.wait()
        return True

    engines = [ScriptedServer(wait), ScriptedServer(wait)]
    listed = [endpoint_entry(f"e{n}", engine.port) for n, engine in enumerate(engines)]
    raw = make_config(listed, settings=settings(FIRST))
    file.write_bytes(msgspec.json.encode(raw))
    port = int(raw["listen"].rpartition(":")[2])
    environment = {**os.environ, "NODE_CONFIG": str(file)}
    run = [sys.executable, "-m", "spoolbarrow"]

    def asked() -> int:
        return sum(len(engine.requests) for engine in engines)

    with subprocess.Popen(run, cwd=ROOT, env=environment, stderr=subprocess.PIPE) as router:
        try:
            assert router.stderr is not None

            def reload(changes: dict[str, Any], word: bytes) -> bytes:
                file.write_bytes(msgspec.json.encode({**raw, "settings": settings(changes)}))
                router.send_signal(signal.SIGHUP)
                line = b""
                while b'"reload' not in line:
                    line = router.stderr.readline()  # type: ignore[union-attr]
                assert word in line
                return line

            wait_until(lambda: not socket.socket().connect_ex((LISTEN, port)))
            waiting = Client(port).send(ask(b"first", X_Service_Class="once"))
            wait_until(asked)
            line = reload({"Classes": [ONCE, CHAT, CHAT]}, b"reload_failed")
            assert b"settings.Classes[2].Name" in line
            twice = Client(port).send(ask(X_Service_Class="chat", X_Correlation_Id="2"))
            assert twice.answer().status == 503 and asked() == 3  # nothing was changed
            reload(TURNED, b'"reloaded"')
            seen.set()
            assert waiting.answer().status == 502 and asked() == 3  # under its own rules to the end
            reload({"Classes": [CHAT], "Tenants": [ACME]}, b'"reloaded"')
            gone = Client(port).send(ask(X_Service_Class="once", X_Correlation_Id="3"))
            assert gone.answer().status == 400
        finally:
            router.kill()
            for party in engines:
                party.close()


def test_a_signal_within_a_reload_is_followed_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first has a new address, and waits for its old listener's end; the second is sent at that place."""
    file = tmp_path / "config.json"
    monkeypatch.setenv("NODE_CONFIG", str(file))
    with running_router(serve_all, settings=settings(FIRST)) as (scene, _):
        reloader = Reloader(scene.host, scene.inbound, None, DescriptorLimit())
        stop, second = scene.inbound._stop_listening, []
        listen = f"{LISTEN}:{free_port()}"

        def write(changes: dict[str, Any]) -> None:
            raw = make_config([], scene.config.discovery[1], settings=settings(changes))
            file.write_bytes(msgspec.json.encode({**raw, "listen": listen}))

        def between() -> None:
            scene.inbound._stop_listening = stop
            write(TURNED)
            second.append(gevent.spawn(reloader.reload))
            gevent.sleep(0)  # it runs as far as it can
            stop()

        scene.inbound._stop_listening = between
        write({"Classes": [ONCE], "Tenants": [OTHER]})
        assert reloader.reload() is None
        assert second[0].get(timeout=20) is None
        for settled in (scene.host.config, scene.inbound.config):
            assert settled.classes == {"once": 0, "chat": 1} and settled.tenants == {"other": 0, "acme": 1}
        assert Client(int(listen.rpartition(":")[2])).send(ask()).answer().status == 200
