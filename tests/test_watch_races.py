"""Discovery's list and the watch on it, where news, an order or an end comes between two steps of the other.

The order is forced: a hook where an answer is decoded starts what is to run before the answer is taken, and
a timer and a read that fall due in one turn of the loop are handled in that order.
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
from spoolbarrow.lab.wire import PLAIN
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

KNOWN = 7  # the version in the configuration
LONG_WARM_MS = 30_000.0  # since an engine started: its slow start is over, and the news of it is not old
WHOLE_TARGET = b"/discovery/hosts"
Sock = socket.socket


def listing(index: int, *entries: dict[str, Any], whole: bool = False) -> bytes:
    """A list on one line."""
    return msgspec.json.encode({"index": index, "snapshot": whole, "endpoints": list(entries)}) + b"\n"


class Service:
    """A discovery that answers whole lists with `news` and keeps the watches on it open."""

    def __init__(self, index: int, *entries: dict[str, Any]) -> None:
        self.news = listing(index, *entries, whole=True)
        self.watch_begins = STREAM_HEAD + chunk(b"\n")
        self.targets: list[bytes] = []
        self.watches: list[Sock] = []
        self.party = ScriptedServer(self._answer)

    def _answer(self, sock: Sock, message: Message) -> object:
        self.targets.append(message.target)
        if b"stream=1" in message.target:
            self.watches.append(sock)
            sock.sendall(self.watch_begins)
        elif self.news:
            sock.sendall(PLAIN % (b"200 OK", b"", len(self.news), self.news))
        return None

    def watched_from(self) -> list[bytes]:
        """The versions from which watches were opened."""
        return [target.rpartition(b"=")[2] for target in self.targets if b"stream=1" in target]

    def config(self, mode: str = "subscribe", **options: Any) -> Config:
        raw = make_config(
            [endpoint_entry("e0", 1), endpoint_entry("e1", 2)], self.party.port, options=options
        )
        raw["settings"]["Discovery"] = mode
        return config.parse(msgspec.json.encode(raw))


class Listed:
    """The destination set of a router that follows a service, and what it told the decisions."""

    def __init__(self, settings: Config, now: Callable[[], float] = now_unix_ms) -> None:
        self.told: list[i.ReplicaList] = []
        self.left: list[str] = []
        self.set = DestinationSet(settings, self.told.append, self.left.append, now)
        self.set.restore()

    def kinds(self) -> list[i.ListKind]:
        return [event.kind for event in self.told]

    def states(self, name: str) -> list[i.ReplicaState]:
        """What the decisions heard of an endpoint, in order."""
        return [e.state for event in self.told for e in event.entries if e.replica == name]


@contextmanager
def following(*services: Service, mode: str = "subscribe", **options: Any) -> Iterator[Listed]:
    """A destination set that is told of the first service; all is closed in the end."""
    made = Listed(services[0].config(mode, **options))
    try:
        yield made
    finally:
        made.set.close()
        for service in services:
            service.party.close()


def in_one_turn(order: Callable[[], object], comes: Callable[[], object]) -> None:
    """Let `order` run and then, before the loop turns again, who waits for the bytes that `comes` writes.

    Of a timer and a read that are due in the same turn the loop handles the timer first.
    """
    done: list[object] = []
    comes()
    gevent.spawn_later(0.001, lambda: done.append(order()))
    due = time.monotonic() + 0.002
    while time.monotonic() < due:
        pass  # nothing else may run before both are due
    wait_until(lambda: done)


def before_it_is_taken(monkeypatch: pytest.MonkeyPatch, index: int, order: Callable[[], object]) -> None:
    """Run `order` after the list of this version was decoded by a call, and before the watch has it."""
    decode = discovery_client._decode

    def decoded(text: bytes) -> config.HostList:
        found = decode(text)
        if found.index == index:
            gevent.spawn(order)  # waits in the loop before whoever the call's end wakes
        return found

    monkeypatch.setattr(discovery_client, "_decode", decoded)


# A watch that outlives its order


@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_an_old_services_list_that_was_read_before_a_move_is_not_taken(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old service's answer is in the watch's queue when SIGHUP names another service."""
    old, new = Service(50, endpoint_entry("e0", 1, status="terminating")), Service(3, endpoint_entry("e1", 2))
    old.watch_begins = STREAM_HEAD + chunk(old.news)
    with following(old, new, mode=mode) as one:
        moved: list[int] = []

        def move() -> None:
            one.set.apply(new.config(mode))
            moved.append(len(one.told))

        before_it_is_taken(monkeypatch, 50, move)
        one.set.watch()
        wait_until(lambda: new.watches)
        assert len(moved) == 1 and i.ReplicaState.DRAINING not in one.states("e0")
        assert new.targets[0] == WHOLE_TARGET and new.watched_from() == [b"3"]
        assert one.kinds()[:2] == [i.ListKind.RESTORED, i.ListKind.WHOLE] and one.set.seen()[0] == 3


def test_an_old_services_line_that_is_there_with_a_move_is_not_taken() -> None:
    """The old watch is about to read a line when SIGHUP names another service."""
    old, new = Service(50), Service(3, endpoint_entry("e1", 2))
    with following(old, new) as one:
        one.set.watch()
        wait_until(lambda: len(one.told) == 2)  # the watch has said its first word
        line = chunk(listing(50, endpoint_entry("e0", 1, status="terminating")))
        in_one_turn(lambda: one.set.apply(new.config()), lambda: old.watches[0].sendall(line))
        wait_until(lambda: new.watches)
        assert i.ReplicaState.DRAINING not in one.states("e0")
        assert new.targets[0] == WHOLE_TARGET and new.watched_from() == [b"3"]


def test_the_whole_list_is_asked_for_though_a_line_comes_as_endpoints_are_set_aside() -> None:
    """Otherwise endpoints that were set aside before would stay out of service."""
    service = Service(9, endpoint_entry("e0", 1), endpoint_entry("e1", 2))
    with following(service) as one:
        one.set.watch()
        wait_until(lambda: len(one.told) == 2)
        line = chunk(listing(8, endpoint_entry("e0", 1, status="terminating")))
        in_one_turn(
            lambda: one.set.exclude("shadow", -1, lambda entries: None),
            lambda: service.watches[0].sendall(line),
        )
        wait_until(lambda: len(service.watches) == 2)
        assert service.targets[1] == WHOLE_TARGET and service.watched_from() == [b"7", b"9"]


def test_the_end_of_an_old_watch_is_not_told_for_the_new_one() -> None:
    """Both come in one turn: the decisions would back off though a new watch is on its way."""
    old, new = Service(50), Service(3, endpoint_entry("e1", 2))
    with following(old, new) as one:
        one.set.watch()
        wait_until(lambda: len(one.told) == 2)
        in_one_turn(lambda: one.set.apply(new.config()), lambda: old.watches[0].shutdown(socket.SHUT_RDWR))
        wait_until(lambda: new.watches and len(one.told) >= 4)
        assert i.ListKind.FAILED not in one.kinds()


def test_a_reload_while_the_first_list_is_awaited_waits_for_the_new_agents(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The old agent's list is read as SIGHUP names another agent: nothing is decided on the old one's."""
    old, new = Service(50, endpoint_entry("e0", 1, status="terminating")), Service(3, endpoint_entry("e1", 2))
    host = Host(old.config("automatic"))
    try:
        before_it_is_taken(monkeypatch, 50, lambda: host.apply(new.config("automatic")))
        gevent.spawn(host.start)
        wait_until(host.is_deciding)
        assert host.destinations.seen()[0] == 3 and host.destinations.names() == ["e1"]
    finally:
        host.stop()
        old.party.close()
        new.party.close()


def test_nothing_is_asked_after_the_close() -> None:
    """The decisions may have an order to watch in hand while the router stops."""
    service = Service(9)
    with following(service) as one:
        one.set.watch()
        wait_until(lambda: service.watches)
        one.set.close()
        one.set.ensure_watch()
        one.set.apply(service.config("automatic"))
        asked = len(service.targets)
        barrier = socket.create_connection(("127.0.0.1", service.party.port))
        barrier.sendall(b"GET /barrier HTTP/1.1\r\n\r\n")  # whatever was begun by then is there before it
        wait_until(lambda: b"/barrier" in service.targets)
        barrier.close()
        assert service.targets[asked:] == [b"/barrier"]


def test_a_second_reload_does_not_put_the_new_service_off(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the new service has counts from the first SIGHUP: the pause drawn then is not drawn anew."""
    old, new = Service(50), Service(3, endpoint_entry("e1", 2))
    one = Listed(old.config(), lambda: 1_000_000.0)  # the clock stands: no time passes between the two
    pauses: list[float] = []
    spawn_later = gevent.spawn_later

    def noted(seconds: float, call: Callable[..., Any]) -> object:
        if call == one.set._discovery._run_service_watch:
            pauses.append(seconds)
        return spawn_later(seconds, call)

    monkeypatch.setattr(gevent, "spawn_later", noted)
    try:
        draws = iter([0.25, 0.75, 0.125])
        one.set._discovery._rng.random = lambda: next(draws, 0.5)  # type: ignore[method-assign]
        settings = new.config()
        fleet = msgspec.structs.replace(settings.settings, nodes=200)
        for kind in ("first", "second", "third"):
            one.set.apply(msgspec.structs.replace(settings, settings=fleet, kinds={kind: 1}))
        spread = call_spread_ms(fleet) / 1000
        assert pauses == [0.25 * spread, 0.25 * spread, 0.125 * spread]  # sooner is fine, later is not
    finally:
        one.set.close()
        old.party.close()
        new.party.close()


# Versions that go back


def test_a_service_that_began_its_versions_anew_is_heard() -> None:
    """Each watch from the known version is answered with the whole list, of a lower version."""
    service = Service(3, endpoint_entry("e0", 1, status="terminating"), endpoint_entry("e1", 2))
    service.watch_begins = STREAM_HEAD + chunk(service.news)
    with following(service) as one:
        one.set.watch()
        wait_until(lambda: i.ReplicaState.DRAINING in one.states("e0"))
        assert service.targets[0] != WHOLE_TARGET and WHOLE_TARGET in service.targets
        wait_until(lambda: service.watched_from()[-1] == b"3")


def test_a_change_that_was_refused_is_asked_for_though_empty_lines_follow() -> None:
    """A service that counts anew has nothing to tell from a version that it has not reached yet."""
    service = Service(4, endpoint_entry("e0", 1, status="terminating"), endpoint_entry("e1", 2))
    with following(service) as one:
        one.set.watch()
        wait_until(lambda: len(one.told) == 2)
        service.watches[0].sendall(chunk(listing(4, endpoint_entry("e0", 1, status="terminating"))))
        wait_until(lambda: i.ListKind.FAILED in one.kinds())
        assert i.ReplicaState.DRAINING not in one.states("e0")
        one.set.watch()  # as the decisions order
        wait_until(lambda: i.ReplicaState.DRAINING in one.states("e0"))
        assert service.watched_from()[:2] == [b"7", b"7"] and WHOLE_TARGET in service.targets


def test_an_agent_that_began_its_versions_anew_is_heard_at_the_next_call() -> None:
    agent = Service(3, endpoint_entry("e0", 1, status="terminating"), endpoint_entry("e1", 2))
    with following(agent, mode="automatic") as one:
        one.set.watch()
        wait_until(lambda: one.set.seen()[0] == 3)
        assert agent.targets[:2] == [WHOLE_TARGET] * 2 and one.states("e0")[-1] is i.ReplicaState.DRAINING


def test_a_late_old_list_does_not_undo_a_newer_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next watch brings newer news: the list in which e0 still served is not asked for, nor taken."""
    service = Service(9, endpoint_entry("e0", 1), endpoint_entry("e1", 2))
    held: list[Any] = []
    spawn_later = gevent.spawn_later
    with following(service) as one:

        def hold(seconds: float, call: Callable[..., Any]) -> Any:
            made = spawn_later(3600.0 if call == one.set._discovery._on_refusal_timer else seconds, call)
            if call == one.set._discovery._on_refusal_timer:
                held.append(made)
            return made

        monkeypatch.setattr(gevent, "spawn_later", hold)
        one.set.watch()
        wait_until(lambda: len(one.told) == 2)
        service.watches[0].sendall(chunk(listing(9, endpoint_entry("e0", 1, status="terminating"))))
        wait_until(lambda: one.set.seen()[0] == 9)
        service.watches[0].sendall(chunk(listing(8, endpoint_entry("e0", 1), whole=True)))
        wait_until(lambda: i.ListKind.FAILED in one.kinds())
        assert len(held) == 1 and not held[0].dead
        service.watch_begins = STREAM_HEAD + chunk(listing(10, endpoint_entry("e1", 2, weight=2.0)))
        one.set.watch()
        wait_until(lambda: one.set.seen()[0] == 10)
        wait_until(lambda: held[0].dead)
        assert WHOLE_TARGET not in service.targets and one.states("e0")[-1] is i.ReplicaState.DRAINING


@pytest.mark.parametrize("first", ["old", "new"])
def test_of_two_calls_answered_at_once_the_newer_answer_counts(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call that hung is answered in the same turn as the one beside it, with what it was asked for then."""
    service = Service(9)
    service.watch_begins = b""
    monkeypatch.setattr("spoolbarrow.net.discovery_watch.hung_retry_ms", lambda *more: 20.0)
    with following(service) as one:
        one.set.watch()
        wait_until(lambda: len(service.watches) == 2)
        old, new = service.watches
        drains, serves = endpoint_entry("e0", 1, status="terminating"), endpoint_entry("e0", 1)
        answers = {
            new: STREAM_HEAD + chunk(listing(9, drains)),
            old: STREAM_HEAD + chunk(listing(8, serves, whole=True)),
        }
        for sock in (old, new) if first == "old" else (new, old):
            sock.sendall(answers[sock])
        wait_until(lambda: one.set.seen()[0] == 9)
        wait_until(lambda: service.party.closed == 1)  # the other call's connection
        new.sendall(chunk(listing(10, endpoint_entry("e1", 2))))
        wait_until(lambda: one.set.seen()[0] == 10)
        assert one.states("e0") == [i.ReplicaState.SERVING, i.ReplicaState.DRAINING]


@pytest.mark.parametrize("first", [8, 9])
def test_of_two_whole_lists_that_come_at_once_the_newer_one_counts(
    first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    service = Service(9)
    asked: list[Sock] = []
    service.news = b""
    monkeypatch.setattr("spoolbarrow.net.discovery_watch.hung_retry_ms", lambda *more: 20.0)
    with following(service) as one:
        answer = service.party.script

        def keep(sock: Sock, message: Message) -> object:
            asked.append(sock)
            return answer(sock, message)

        service.party.script = keep
        one.set.apply(msgspec.structs.replace(service.config(), kinds={"another": 1}))
        before = one.states("e0")  # a reload tells again what is known
        assert set(before) == {i.ReplicaState.SERVING}
        wait_until(lambda: len(asked) == 2)
        for index in (8, 9) if first == 8 else (9, 8):
            status = "in_service" if index == 8 else "terminating"
            text = listing(index, endpoint_entry("e0", 1, status=status), whole=True)
            asked[index - 8].sendall(PLAIN % (b"200 OK", b"", len(text), text))
        wait_until(lambda: service.watches)
        assert service.watched_from() == [b"9"]
        assert one.states("e0") == [*before, i.ReplicaState.DRAINING]


def test_of_an_agents_answers_that_come_at_once_the_newest_counts() -> None:
    """A call that hung is answered in the same turn as later ones, and one of them with no list."""
    agent = Service(9)
    agent.news = b""
    asked: list[Sock] = []
    with following(agent, mode="automatic") as one:
        answer = agent.party.script

        def keep(sock: Sock, message: Message) -> object:
            asked.append(sock)
            return answer(sock, message)

        agent.party.script = keep
        one.set.watch()
        wait_until(lambda: len(asked) == 4)
        texts = [listing(8, whole=True), listing(9, whole=True), listing(8, whole=True), b"[]"]
        for sock, text in zip(asked, texts, strict=True):
            sock.sendall(PLAIN % (b"200 OK", b"", len(text), text))
        wait_until(lambda: len(one.told) > 1)
        assert one.kinds()[:2] == [i.ListKind.RESTORED, i.ListKind.WHOLE] and one.set.seen()[0] == 9


# What is whole before a fault or an end


DRAINS = listing(8, endpoint_entry("e0", 1, status="terminating"))
MORE = listing(9, endpoint_entry("e1", 2, weight=2.0))
ENDS = {
    "the end": chunk(DRAINS + MORE) + b"0\r\n\r\n",
    "a torn list and the end": chunk(DRAINS + MORE) + chunk(MORE[:-9]) + b"0\r\n\r\n",
    "no object": chunk(DRAINS + MORE) + chunk(b"sorry\n"),
    "no object on the same line": chunk(DRAINS + MORE[:-1] + b" sorry\n"),
    "a chunk without a size": chunk(DRAINS + MORE) + b"sorry\r\n",
    "a list too long": chunk(DRAINS + MORE) + chunk(b'{"x":"' + b"x" * 5000),
    "an older list": chunk(DRAINS + MORE) + chunk(listing(2)),
    "a list of the wrong type": chunk(DRAINS + MORE) + chunk(b'{"index":"x"}\n'),
}


@pytest.mark.parametrize("known", ["first", "later"])
@pytest.mark.parametrize("name", ENDS)
def test_what_is_whole_before_a_fault_in_the_same_read_is_taken(
    name: str, known: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Discovery has written it, so it is told; the fault ends the watch all the same."""
    monkeypatch.setattr(discovery_client, "MAX_LIST_BYTES", 4000)
    service = Service(9)
    service.watch_begins = STREAM_HEAD + ENDS[name] if known == "first" else STREAM_HEAD + chunk(b"\n")
    with following(service) as one:
        one.set.watch()
        wait_until(lambda: len(one.told) >= 2)
        if known == "later":
            service.watches[0].sendall(ENDS[name])
        wait_until(lambda: i.ListKind.FAILED in one.kinds())
        assert one.states("e0")[-1] is i.ReplicaState.DRAINING and one.set.seen()[0] == 9


@pytest.mark.parametrize("end", ["end", "reset"])
def test_a_list_cut_off_in_its_middle_changes_nothing_and_what_came_before_stands(end: str) -> None:
    service = Service(9)
    with following(service) as one:
        one.set.watch()
        wait_until(lambda: len(one.told) == 2)
        watch = service.watches[0]
        watch.sendall(chunk(DRAINS + MORE[:20]))
        if end == "reset":
            watch.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            wait_until(lambda: one.set.seen()[0] == 8)
            watch.close()
        else:
            watch.shutdown(socket.SHUT_WR)
        wait_until(lambda: i.ListKind.FAILED in one.kinds())
        assert one.set.seen()[0] == 8 and one.states("e1") == [i.ReplicaState.SERVING]
        assert one.states("e0")[-1] is i.ReplicaState.DRAINING


def test_a_watch_in_one_byte_pieces_is_taken_as_in_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The whole list that a watch begins with, an empty line and a change; then the end between two lists."""
    whole = listing(8, endpoint_entry("e0", 1), endpoint_entry("e1", 2), endpoint_entry("e2", 3), whole=True)
    service = Service(9)
    service.watch_begins = b""
    monkeypatch.setattr(discovery_client, "RECV_BYTES", 1)  # bytes a read takes
    with following(service) as one:
        one.set.watch()
        wait_until(lambda: service.watches)
        text = chunk(msgspec.json.format(whole, indent=2) + b"\n\n") + chunk(MORE)
        service.watches[0].sendall(STREAM_HEAD + text)
        wait_until(lambda: one.set.seen()[0] == 9)
        service.watches[0].shutdown(socket.SHUT_RDWR)
        wait_until(lambda: i.ListKind.FAILED in one.kinds())
        assert one.kinds()[1:] == [i.ListKind.WHOLE, i.ListKind.CHANGES, i.ListKind.FAILED]
        assert one.set.names() == ["e0", "e1", "e2"]


# Engines that were replaced or restarted while a connection to them was in use


def slow_then_served(gate: Event) -> Any:
    """An engine whose first answer waits for the gate; it stays up, as its machine does."""

    def script(sock: Sock, message: Message) -> None:
        gate.wait(20)
        serve_all(sock, message)

    return script


CHANGES: dict[str, list[list[dict[str, Any]]]] = {
    "restarted in place": [[{"since_ms": 5.0}]],
    "gone, then back": [[{"status": "terminated"}], [{}]],
    "gone and back in one list": [[{"status": "terminated"}, {}]],
}


@pytest.mark.parametrize("name", CHANGES)
def test_a_connection_from_before_a_restart_is_not_kept(name: str) -> None:
    """It comes back from a request that was under way; what it leads to is a new engine by then."""
    gate = Event()
    with running_router(slow_then_served(gate)) as (scene, engine):
        asked = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        for index, changes in enumerate(CHANGES[name], 8):
            lines = [endpoint_entry("e0", engine.port, **change) for change in changes]
            news = HostList(index, False, msgspec.convert(lines, list[ListEntry]))
            scene.host.destinations._discovery._accept_list(news)
        gate.set()
        assert asked.answer().status == 200
        wait_until(lambda: not scene.host.open_requests())
        assert not scene.host._endpoints._pool._idle
        wait_until(lambda: engine.closed == 1)


def test_a_connection_through_a_drain_that_was_withdrawn_is_kept() -> None:
    """The engine is the same: what was under way when the drain was told and taken back goes on."""
    gate = Event()
    with running_router(slow_then_served(gate)) as (scene, engine):
        asked = scene.client().send(ask())
        wait_until(lambda: engine.requests)
        for index, status in ((8, "terminating"), (9, "in_service")):
            line = msgspec.convert(endpoint_entry("e0", engine.port, status=status), ListEntry)
            scene.host.destinations._discovery._accept_list(HostList(index, False, [line]))
        gate.set()
        assert asked.answer().status == 200
        wait_until(lambda: not scene.host.open_requests())
        assert len(scene.host._endpoints._pool._idle["e0"]) == 1


@pytest.mark.parametrize("change", ["moved", "restarted in place", "gone and back"])
def test_nothing_is_written_to_what_an_engine_was_before_it_was_replaced(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The list tells of the change while the connection comes up: at the old address another may listen."""
    connect = http1.connect
    changed: list[Sock] = []
    with running_router(serve_all, serve_all) as (scene, old, other):
        port = other.port if change == "moved" else old.port
        gone = [endpoint_entry("e0", old.port, status="terminated")] if change == "gone and back" else []
        back = endpoint_entry("e0", port, since_ms=0.0 if gone else now_unix_ms() - LONG_WARM_MS)
        news = HostList(9, False, msgspec.convert([*gone, back], list[ListEntry]))
        alone = msgspec.convert([endpoint_entry("e1", other.port, status="terminated")], list[ListEntry])
        scene.host.destinations._discovery._accept_list(HostList(8, False, alone))

        def change_meanwhile(where: tuple[str, int], timeout_s: float) -> Sock:
            sock = connect(where, timeout_s)
            if where[1] == old.port and not changed:
                changed.append(sock)
                scene.host.destinations._discovery._accept_list(news)
            return sock

        monkeypatch.setattr(http1, "connect", change_meanwhile)
        assert scene.client().send(ask()).answer().status == 200
        wait_until(lambda: old.closed >= 1)  # the connection that was opened before the change
        assert len(changed) == 1 and changed[0].fileno() == -1
        assert [len(party.requests) for party in (old, other)] == ([0, 1] if change == "moved" else [1, 0])
        assert old.connections + other.connections == 2
