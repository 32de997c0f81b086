"""Tests races between discovery's lists and the watch on them: updates, orders and closes between two steps.

The order is forced: a hook in the decoding of an answer starts what has to run before the answer is accepted,
and a timer and a read that are due in the same iteration of the event loop are handled in that order.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.config import Config, HostList, ListEntry
from spoolbarrow.fleet.pacing import call_spread_ms
from spoolbarrow.lab.wire_engine import PLAIN_RESPONSE
from spoolbarrow.net import discovery_client, http1
from spoolbarrow.net.destinations import DestinationSet
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import Message
from tests.router_harness import (
    STREAM_HEAD,
    ScriptedServer,
    ask,
    chunk,
    endpoint_entry,
    make_config,
    now_unix_ms,
    running_router,
    serve_all,
    wait_until,
)

KNOWN_VERSION = 7  # the version in the configuration
PAST_SLOW_START_MS = (
    30_000.0  # since an engine's start: its slow start is over, and the report of it is recent
)
WHOLE_TARGET = b"/discovery/hosts"
Sock = socket.socket


def list_line(index: int, *entries: dict[str, Any], whole: bool = False) -> bytes:
    """A list on one line."""
    return msgspec.json.encode({"index": index, "snapshot": whole, "endpoints": list(entries)}) + b"\n"


class ScriptedDiscovery:
    """A discovery that answers calls for the list with `whole_list` and keeps watches open."""

    def __init__(self, index: int, *entries: dict[str, Any]) -> None:
        self.whole_list = list_line(index, *entries, whole=True)
        self.watch_start = STREAM_HEAD + chunk(b"\n")
        self.targets: list[bytes] = []
        self.watches: list[Sock] = []
        self.server = ScriptedServer(self._answer)

    def _answer(self, sock: Sock, message: Message) -> object:
        self.targets.append(message.target)
        if b"stream=1" in message.target:
            self.watches.append(sock)
            sock.sendall(self.watch_start)
        elif self.whole_list:
            sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(self.whole_list), self.whole_list))
        return None

    def watched_from(self) -> list[bytes]:
        """The versions from which watches were opened."""
        return [target.rpartition(b"=")[2] for target in self.targets if b"stream=1" in target]

    def config(self, mode: str = "subscribe", **options: Any) -> Config:
        raw = make_config(
            [endpoint_entry("e0", 1), endpoint_entry("e1", 2)], self.server.port, options=options
        )
        raw["settings"]["Discovery"] = mode
        return config.parse(msgspec.json.encode(raw))


class WatchedDestinations:
    """A destination set that watches a service, and what it reported to the decision module."""

    def __init__(self, settings: Config, now: Callable[[], float] = now_unix_ms) -> None:
        self.reported: list[i.ReplicaList] = []
        self.left_service: list[str] = []
        self.set = DestinationSet(settings, self.reported.append, self.left_service.append, now)
        self.set.restore()

    def kinds(self) -> list[i.ListKind]:
        return [event.kind for event in self.reported]

    def states(self, name: str) -> list[i.ReplicaState]:
        """The reported states of an endpoint, in order."""
        return [e.state for event in self.reported for e in event.entries if e.replica == name]


@contextmanager
def watching(
    *services: ScriptedDiscovery, mode: str = "subscribe", **options: Any
) -> Iterator[WatchedDestinations]:
    """A destination set configured with the first service; closes everything at the end."""
    made = WatchedDestinations(services[0].config(mode, **options))
    try:
        yield made
    finally:
        made.set.close()
        for service in services:
            service.server.close()


def in_one_iteration(order: Callable[[], object], send: Callable[[], object]) -> None:
    """Run `order`, and in the same iteration of the loop the greenlet that reads the bytes written by `send`.

    If a timer and a read are due in the same iteration, the loop handles the timer first.
    """
    done: list[object] = []
    send()
    gevent.spawn_later(0.001, lambda: done.append(order()))
    due = time.monotonic() + 0.002
    while time.monotonic() < due:
        pass  # busy-wait: nothing else may run before both are due
    wait_until(lambda: done)


def before_list_is_accepted(monkeypatch: pytest.MonkeyPatch, index: int, order: Callable[[], object]) -> None:
    """Run `order` after a call has decoded the list of this version, before the watch gets it."""
    decode = discovery_client._decode

    def decoded(text: bytes) -> config.HostList:
        found = decode(text)
        if found.index == index:
            gevent.spawn(order)  # scheduled before the greenlet that the end of the call wakes
        return found

    monkeypatch.setattr(discovery_client, "_decode", decoded)


# Watches that were replaced


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_a_list_read_from_the_old_service_before_a_move_is_not_accepted(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old service's answer is in the watch's queue when SIGHUP configures another service."""
    old, new = (
        ScriptedDiscovery(50, endpoint_entry("e0", 1, status="terminating")),
        ScriptedDiscovery(3, endpoint_entry("e1", 2)),
    )
    old.watch_start = STREAM_HEAD + chunk(old.whole_list)
    with watching(old, new, mode=mode) as watched:
        moved: list[int] = []

        def move() -> None:
            watched.set.apply(new.config(mode))
            moved.append(len(watched.reported))

        before_list_is_accepted(monkeypatch, 50, move)
        watched.set.watch()
        wait_until(lambda: new.watches)
        assert len(moved) == 1 and i.ReplicaState.DRAINING not in watched.states("e0")
        assert new.targets[0] == WHOLE_TARGET and new.watched_from() == [b"3"]
        assert watched.kinds()[:2] == [i.ListKind.RESTORED, i.ListKind.WHOLE] and watched.set.seen()[0] == 3


def test_a_line_that_arrives_from_the_old_service_during_a_move_is_not_accepted() -> None:
    """The old watch is about to read a line when SIGHUP configures another service."""
    old, new = ScriptedDiscovery(50), ScriptedDiscovery(3, endpoint_entry("e1", 2))
    with watching(old, new) as watched:
        watched.set.watch()
        wait_until(lambda: len(watched.reported) == 2)  # the watch has sent its first update
        line = chunk(list_line(50, endpoint_entry("e0", 1, status="terminating")))
        in_one_iteration(lambda: watched.set.apply(new.config()), lambda: old.watches[0].sendall(line))
        wait_until(lambda: new.watches)
        assert i.ReplicaState.DRAINING not in watched.states("e0")
        assert new.targets[0] == WHOLE_TARGET and new.watched_from() == [b"3"]


def test_the_whole_list_is_requested_although_a_line_arrives_as_endpoints_are_excluded() -> None:
    """Otherwise formerly excluded endpoints would stay out of service."""
    service = ScriptedDiscovery(9, endpoint_entry("e0", 1), endpoint_entry("e1", 2))
    with watching(service) as watched:
        watched.set.watch()
        wait_until(lambda: len(watched.reported) == 2)
        line = chunk(list_line(8, endpoint_entry("e0", 1, status="terminating")))
        in_one_iteration(
            lambda: watched.set.exclude("shadow", -1, lambda entries: None),
            lambda: service.watches[0].sendall(line),
        )
        wait_until(lambda: len(service.watches) == 2)
        assert service.targets[1] == WHOLE_TARGET and service.watched_from() == [b"7", b"9"]


def test_the_end_of_an_old_watch_is_not_reported_for_the_new_one() -> None:
    """Both occur in one iteration: the decision module would back off although a new watch is starting."""
    old, new = ScriptedDiscovery(50), ScriptedDiscovery(3, endpoint_entry("e1", 2))
    with watching(old, new) as watched:
        watched.set.watch()
        wait_until(lambda: len(watched.reported) == 2)
        in_one_iteration(
            lambda: watched.set.apply(new.config()), lambda: old.watches[0].shutdown(socket.SHUT_RDWR)
        )
        wait_until(lambda: new.watches and len(watched.reported) >= 4)
        assert i.ListKind.FAILED not in watched.kinds()


def test_a_reload_while_waiting_for_the_first_list_waits_for_the_new_agents_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The old agent's list is read as SIGHUP configures another agent: nothing is decided on that list."""
    old, new = (
        ScriptedDiscovery(50, endpoint_entry("e0", 1, status="terminating")),
        ScriptedDiscovery(3, endpoint_entry("e1", 2)),
    )
    host = Host(old.config("automatic"))
    try:
        before_list_is_accepted(monkeypatch, 50, lambda: host.apply(new.config("automatic")))
        gevent.spawn(host.start)
        wait_until(host.is_deciding)
        assert host.destinations.seen()[0] == 3 and host.destinations.names() == ["e1"]
    finally:
        host.stop()
        old.server.close()
        new.server.close()


def test_no_call_is_made_after_close() -> None:
    """The decision module may order a watch while the router stops."""
    service = ScriptedDiscovery(9)
    with watching(service) as watched:
        watched.set.watch()
        wait_until(lambda: service.watches)
        watched.set.close()
        watched.set.ensure_watch()
        watched.set.apply(service.config("automatic"))
        calls_before = len(service.targets)
        barrier = socket.create_connection(("127.0.0.1", service.server.port))
        barrier.sendall(b"GET /barrier HTTP/1.1\r\n\r\n")  # arrives after any call made before it
        wait_until(lambda: b"/barrier" in service.targets)
        barrier.close()
        assert service.targets[calls_before:] == [b"/barrier"]


def test_a_second_reload_does_not_delay_the_call_to_the_new_service(monkeypatch: pytest.MonkeyPatch) -> None:
    """The delay of the call counts from the first SIGHUP: a later one must not extend it."""
    old, new = ScriptedDiscovery(50), ScriptedDiscovery(3, endpoint_entry("e1", 2))
    watched = WatchedDestinations(
        old.config(), lambda: 1_000_000.0
    )  # stopped clock: no time passes between reloads
    pauses: list[float] = []
    spawn_later = gevent.spawn_later

    def record_pause(seconds: float, call: Callable[..., Any]) -> object:
        if call == watched.set._discovery._run_service_watch:
            pauses.append(seconds)
        return spawn_later(seconds, call)

    monkeypatch.setattr(gevent, "spawn_later", record_pause)
    try:
        draws = iter([0.25, 0.75, 0.125])
        watched.set._discovery._rng.random = lambda: next(draws, 0.5)  # type: ignore[method-assign]
        settings = new.config()
        fleet = msgspec.structs.replace(settings.settings, nodes=200)
        for kind in ("first", "second", "third"):
            watched.set.apply(msgspec.structs.replace(settings, settings=fleet, kinds={kind: 1}))
        spread = call_spread_ms(fleet) / 1000
        assert pauses == [0.25 * spread, 0.25 * spread, 0.125 * spread]  # may become shorter, but not longer
    finally:
        watched.set.close()
        old.server.close()
        new.server.close()


# Versions that go back


def test_a_list_of_a_service_that_reset_its_versions_is_accepted() -> None:
    """Each watch from the known version is answered with a whole list of a lower version."""
    service = ScriptedDiscovery(3, endpoint_entry("e0", 1, status="terminating"), endpoint_entry("e1", 2))
    service.watch_start = STREAM_HEAD + chunk(service.whole_list)
    with watching(service) as watched:
        watched.set.watch()
        wait_until(lambda: i.ReplicaState.DRAINING in watched.states("e0"))
        assert service.targets[0] != WHOLE_TARGET and WHOLE_TARGET in service.targets
        wait_until(lambda: service.watched_from()[-1] == b"3")


def test_a_refused_change_is_requested_although_empty_lines_follow() -> None:
    """A service that reset its versions has no changes for a version that it has not reached yet."""
    service = ScriptedDiscovery(4, endpoint_entry("e0", 1, status="terminating"), endpoint_entry("e1", 2))
    with watching(service) as watched:
        watched.set.watch()
        wait_until(lambda: len(watched.reported) == 2)
        service.watches[0].sendall(chunk(list_line(4, endpoint_entry("e0", 1, status="terminating"))))
        wait_until(lambda: i.ListKind.FAILED in watched.kinds())
        assert i.ReplicaState.DRAINING not in watched.states("e0")
        watched.set.watch()  # as the decision module orders
        wait_until(lambda: i.ReplicaState.DRAINING in watched.states("e0"))
        assert service.watched_from()[:2] == [b"7", b"7"] and WHOLE_TARGET in service.targets


def test_a_list_of_an_agent_that_reset_its_versions_is_accepted_at_the_next_call() -> None:
    agent = ScriptedDiscovery(3, endpoint_entry("e0", 1, status="terminating"), endpoint_entry("e1", 2))
    with watching(agent, mode="automatic") as watched:
        watched.set.watch()
        wait_until(lambda: watched.set.seen()[0] == 3)
        assert agent.targets[:2] == [WHOLE_TARGET] * 2 and watched.states("e0")[-1] is i.ReplicaState.DRAINING


def test_a_late_old_list_does_not_undo_a_newer_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next watch brings a newer list, so the whole list, in which e0 still served, is not requested."""
    service = ScriptedDiscovery(9, endpoint_entry("e0", 1), endpoint_entry("e1", 2))
    timers: list[Any] = []
    spawn_later = gevent.spawn_later
    with watching(service) as watched:

        def spawn_held(seconds: float, call: Callable[..., Any]) -> Any:
            made = spawn_later(3600.0 if call == watched.set._discovery._on_refusal_timer else seconds, call)
            if call == watched.set._discovery._on_refusal_timer:
                timers.append(made)
            return made

        monkeypatch.setattr(gevent, "spawn_later", spawn_held)
        watched.set.watch()
        wait_until(lambda: len(watched.reported) == 2)
        service.watches[0].sendall(chunk(list_line(9, endpoint_entry("e0", 1, status="terminating"))))
        wait_until(lambda: watched.set.seen()[0] == 9)
        service.watches[0].sendall(chunk(list_line(8, endpoint_entry("e0", 1), whole=True)))
        wait_until(lambda: i.ListKind.FAILED in watched.kinds())
        assert len(timers) == 1 and not timers[0].dead
        service.watch_start = STREAM_HEAD + chunk(list_line(10, endpoint_entry("e1", 2, weight=2.0)))
        watched.set.watch()
        wait_until(lambda: watched.set.seen()[0] == 10)
        wait_until(lambda: timers[0].dead)
        assert WHOLE_TARGET not in service.targets and watched.states("e0")[-1] is i.ReplicaState.DRAINING


@pytest.mark.parametrize("first", ["old", "new"])
def test_of_two_calls_answered_together_the_newer_answer_counts(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call that hung is answered together with a later one, with the list as of its own time."""
    service = ScriptedDiscovery(9)
    service.watch_start = b""
    monkeypatch.setattr("spoolbarrow.net.discovery_watch.hung_retry_ms", lambda *more: 20.0)
    with watching(service) as watched:
        watched.set.watch()
        wait_until(lambda: len(service.watches) == 2)
        old, new = service.watches
        drain_entry, serving_entry = endpoint_entry("e0", 1, status="terminating"), endpoint_entry("e0", 1)
        answers = {
            new: STREAM_HEAD + chunk(list_line(9, drain_entry)),
            old: STREAM_HEAD + chunk(list_line(8, serving_entry, whole=True)),
        }
        for sock in (old, new) if first == "old" else (new, old):
            sock.sendall(answers[sock])
        wait_until(lambda: watched.set.seen()[0] == 9)
        wait_until(lambda: service.server.closed == 1)  # the other call's connection is closed
        new.sendall(chunk(list_line(10, endpoint_entry("e1", 2))))
        wait_until(lambda: watched.set.seen()[0] == 10)
        assert watched.states("e0") == [i.ReplicaState.SERVING, i.ReplicaState.DRAINING]


@pytest.mark.parametrize("first", [8, 9])
def test_of_two_whole_lists_that_arrive_together_the_newer_one_counts(
    first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    service = ScriptedDiscovery(9)
    call_sockets: list[Sock] = []
    service.whole_list = b""
    monkeypatch.setattr("spoolbarrow.net.discovery_watch.hung_retry_ms", lambda *more: 20.0)
    with watching(service) as watched:
        answer = service.server.script

        def keep_socket(sock: Sock, message: Message) -> object:
            call_sockets.append(sock)
            return answer(sock, message)

        service.server.script = keep_socket
        watched.set.apply(msgspec.structs.replace(service.config(), kinds={"another": 1}))
        before = watched.states("e0")  # a reload reports the known list again
        assert set(before) == {i.ReplicaState.SERVING}
        wait_until(lambda: len(call_sockets) == 2)
        for index in (8, 9) if first == 8 else (9, 8):
            status = "in_service" if index == 8 else "terminating"
            text = list_line(index, endpoint_entry("e0", 1, status=status), whole=True)
            call_sockets[index - 8].sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(text), text))
        wait_until(lambda: service.watches)
        assert service.watched_from() == [b"9"]
        assert watched.states("e0") == [*before, i.ReplicaState.DRAINING]


def test_of_an_agents_answers_that_arrive_together_the_newest_counts() -> None:
    """A call that hung is answered together with later ones, one of which gets an invalid list."""
    agent = ScriptedDiscovery(9)
    agent.whole_list = b""
    call_sockets: list[Sock] = []
    with watching(agent, mode="automatic") as watched:
        answer = agent.server.script

        def keep_socket(sock: Sock, message: Message) -> object:
            call_sockets.append(sock)
            return answer(sock, message)

        agent.server.script = keep_socket
        watched.set.watch()
        wait_until(lambda: len(call_sockets) == 4)
        texts = [list_line(8, whole=True), list_line(9, whole=True), list_line(8, whole=True), b"[]"]
        for sock, text in zip(call_sockets, texts, strict=True):
            sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(text), text))
        wait_until(lambda: len(watched.reported) > 1)
        assert watched.kinds()[:2] == [i.ListKind.RESTORED, i.ListKind.WHOLE] and watched.set.seen()[0] == 9


# Complete lists before an error or a close


DRAIN_LINE = list_line(8, endpoint_entry("e0", 1, status="terminating"))
NEXT_LINE = list_line(9, endpoint_entry("e1", 2, weight=2.0))
WATCH_ENDINGS = {
    "the end": chunk(DRAIN_LINE + NEXT_LINE) + b"0\r\n\r\n",
    "a truncated list and the end": chunk(DRAIN_LINE + NEXT_LINE) + chunk(NEXT_LINE[:-9]) + b"0\r\n\r\n",
    "not an object": chunk(DRAIN_LINE + NEXT_LINE) + chunk(b"sorry\n"),
    "not an object on the same line": chunk(DRAIN_LINE + NEXT_LINE[:-1] + b" sorry\n"),
    "a chunk without a size": chunk(DRAIN_LINE + NEXT_LINE) + b"sorry\r\n",
    "a list too long": chunk(DRAIN_LINE + NEXT_LINE) + chunk(b'{"x":"' + b"x" * 5000),
    "an older list": chunk(DRAIN_LINE + NEXT_LINE) + chunk(list_line(2)),
    "a list of the wrong type": chunk(DRAIN_LINE + NEXT_LINE) + chunk(b'{"index":"x"}\n'),
}


@pytest.mark.parametrize("known", ["first", "later"])
@pytest.mark.parametrize("name", WATCH_ENDINGS)
def test_complete_lists_before_an_error_in_the_same_read_are_accepted(
    name: str, known: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Complete lists are reported; the error ends the watch nevertheless."""
    monkeypatch.setattr(discovery_client, "MAX_LIST_BYTES", 4000)
    service = ScriptedDiscovery(9)
    service.watch_start = (
        STREAM_HEAD + WATCH_ENDINGS[name] if known == "first" else STREAM_HEAD + chunk(b"\n")
    )
    with watching(service) as watched:
        watched.set.watch()
        wait_until(lambda: len(watched.reported) >= 2)
        if known == "later":
            service.watches[0].sendall(WATCH_ENDINGS[name])
        wait_until(lambda: i.ListKind.FAILED in watched.kinds())
        assert watched.states("e0")[-1] is i.ReplicaState.DRAINING and watched.set.seen()[0] == 9


@pytest.mark.parametrize("end", ["end", "reset"])
def test_a_truncated_list_changes_nothing_and_earlier_lists_stay(end: str) -> None:
    service = ScriptedDiscovery(9)
    with watching(service) as watched:
        watched.set.watch()
        wait_until(lambda: len(watched.reported) == 2)
        watch = service.watches[0]
        watch.sendall(chunk(DRAIN_LINE + NEXT_LINE[:20]))
        if end == "reset":
            watch.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            wait_until(lambda: watched.set.seen()[0] == 8)
            watch.close()
        else:
            watch.shutdown(socket.SHUT_WR)
        wait_until(lambda: i.ListKind.FAILED in watched.kinds())
        assert watched.set.seen()[0] == 8 and watched.states("e1") == [i.ReplicaState.SERVING]
        assert watched.states("e0")[-1] is i.ReplicaState.DRAINING


def test_a_watch_read_byte_by_byte_gives_the_same_lists(monkeypatch: pytest.MonkeyPatch) -> None:
    """The whole list that a watch begins with, an empty line and a change; then a close between two lists."""
    whole = list_line(
        8, endpoint_entry("e0", 1), endpoint_entry("e1", 2), endpoint_entry("e2", 3), whole=True
    )
    service = ScriptedDiscovery(9)
    service.watch_start = b""
    monkeypatch.setattr(discovery_client, "RECV_BYTES", 1)  # read one byte at a time
    with watching(service) as watched:
        watched.set.watch()
        wait_until(lambda: service.watches)
        text = chunk(msgspec.json.format(whole, indent=2) + b"\n\n") + chunk(NEXT_LINE)
        service.watches[0].sendall(STREAM_HEAD + text)
        wait_until(lambda: watched.set.seen()[0] == 9)
        service.watches[0].shutdown(socket.SHUT_RDWR)
        wait_until(lambda: i.ListKind.FAILED in watched.kinds())
        assert watched.kinds()[1:] == [i.ListKind.WHOLE, i.ListKind.CHANGES, i.ListKind.FAILED]
        assert watched.set.names() == ["e0", "e1", "e2"]


# Engines that were replaced or restarted while a connection to them was in use


def serve_after(gate: Event) -> Any:
    """An engine whose first answer waits for the gate; its process stays up."""

    def script(sock: Sock, message: Message) -> None:
        gate.wait(20)
        serve_all(sock, message)

    return script


RESTARTS: dict[str, list[list[dict[str, Any]]]] = {
    "restarted in place": [[{"since_ms": 5.0}]],
    "removed, then back": [[{"status": "terminated"}], [{}]],
    "removed and back in one list": [[{"status": "terminated"}, {}]],
}


@pytest.mark.parametrize("name", RESTARTS)
def test_a_connection_from_before_a_restart_is_not_reused(name: str) -> None:
    """It is released after a request; the endpoint is a new process by then."""
    gate = Event()
    with running_router(serve_after(gate)) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        for index, changes in enumerate(RESTARTS[name], 8):
            lines = [endpoint_entry("e0", engine.port, **change) for change in changes]
            update = HostList(index, False, msgspec.convert(lines, list[ListEntry]))
            scene.host.destinations._discovery._accept_list(update)
        gate.set()
        assert client.answer().status == 200
        wait_until(lambda: not scene.host.open_requests())
        assert not scene.host._endpoints._pool._idle
        wait_until(lambda: engine.closed == 1)


def test_a_connection_is_reused_after_a_withdrawn_drain() -> None:
    """The engine is the same process: a request during the drain and its withdrawal goes on."""
    gate = Event()
    with running_router(serve_after(gate)) as (scene, engine):
        client = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        for index, status in ((8, "terminating"), (9, "in_service")):
            line = msgspec.convert(endpoint_entry("e0", engine.port, status=status), ListEntry)
            scene.host.destinations._discovery._accept_list(HostList(index, False, [line]))
        gate.set()
        assert client.answer().status == 200
        wait_until(lambda: not scene.host.open_requests())
        assert len(scene.host._endpoints._pool._idle["e0"]) == 1


@pytest.mark.parametrize("change", ["moved", "restarted in place", "removed and back"])
def test_nothing_is_written_to_the_old_process_of_a_replaced_engine(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The list reports the change while connecting: another engine may listen at the old address."""
    connect = http1.connect
    changed: list[Sock] = []
    with running_router(serve_all, serve_all) as (scene, old, other):
        port = other.port if change == "moved" else old.port
        removed = (
            [endpoint_entry("e0", old.port, status="terminated")] if change == "removed and back" else []
        )
        back = endpoint_entry("e0", port, since_ms=0.0 if removed else now_unix_ms() - PAST_SLOW_START_MS)
        update = HostList(9, False, msgspec.convert([*removed, back], list[ListEntry]))
        alone = msgspec.convert([endpoint_entry("e1", other.port, status="terminated")], list[ListEntry])
        scene.host.destinations._discovery._accept_list(HostList(8, False, alone))

        def connect_then_change(address: tuple[str, int], timeout_s: float) -> Sock:
            sock = connect(address, timeout_s)
            if address[1] == old.port and not changed:
                changed.append(sock)
                scene.host.destinations._discovery._accept_list(update)
            return sock

        monkeypatch.setattr(http1, "connect", connect_then_change)
        assert scene.client().send(ask()).answer().status == 200
        wait_until(lambda: old.closed >= 1)  # the connection that was opened before the change
        assert len(changed) == 1 and changed[0].fileno() == -1
        assert [len(server.requests) for server in (old, other)] == ([0, 1] if change == "moved" else [1, 0])
        assert old.connections + other.connections == 2
