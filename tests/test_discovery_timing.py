"""One clock for a silent list: each silence is noticed and mended within 6 s of its beginning.

Pushed lists are heard at once. Scripted discoveries on loopback; all cases that wait play side by side."""

from __future__ import annotations

import socket as plain
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

import gevent.event
import msgspec
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as some
from msgspec.structs import replace

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.config import Options
from spoolbarrow.fleet.pacing import MUTE_RETRY_MAX_MS, SILENT_SPREAD_MS, Pacing
from spoolbarrow.lab.wire import PLAIN
from spoolbarrow.net import discovery_client
from spoolbarrow.net.destinations import DestinationSet
from spoolbarrow.net.http1 import HttpError, Message
from spoolbarrow.net.json_objects import JsonObjectSplitter
from tests.router_harness import (
    STREAM_HEAD,
    UNPROCESSED_503,
    RouterHarness,
    ScriptedServer,
    ask,
    chunk,
    endpoint_entry,
    make_config,
    now_unix_ms,
    serve_all,
    wait_until,
)

CLOCK_S = 6.0
Sock = socket.socket


def lines(index: int, *gone: str, whole: bool = False, indent: int = 0) -> bytes:
    """News that these endpoints are to be left, on a line or indented over many."""
    found = [endpoint_entry(name, 1, status="terminating") for name in gone]
    text = msgspec.json.encode({"index": index, "snapshot": whole, "endpoints": found})
    return (msgspec.json.format(text, indent=indent) if indent else text) + b"\n"


def say(sock: Sock, text: bytes, head: bool = True) -> None:
    sock.sendall((STREAM_HEAD if head else b"") + (chunk(text) if text else b""))


# What is cut out of a stream


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    some.lists(
        some.one_of(
            some.none(),
            some.dictionaries(some.text(max_size=6), some.one_of(some.text(), some.lists(some.integers()))),
        ),
        max_size=5,
    ),
    some.integers(0, 3),
    some.lists(some.integers(1, 9), min_size=1, max_size=20),
)
def test_objects_and_empty_lines_are_cut_out_however_they_come(
    said: list[dict[str, Any] | None], indent: int, sizes: list[int]
) -> None:
    stream = b""
    for one in said:
        text = b"" if one is None else msgspec.json.encode(one)
        stream += (msgspec.json.format(text, indent=indent) if indent and text else text) + b"\n"
    found: list[bytes] = []
    messages = JsonObjectSplitter(1 << 20)
    while stream:
        size = sizes[len(stream) % len(sizes)]
        found += messages.feed(stream[:size])
        stream = stream[size:]
    assert [msgspec.json.decode(text) if text else None for text in found] == said


@pytest.mark.parametrize("text", [b"7\n", b"}", b"text", b"] {}", b"{} x\n", b'{"a":"%s' % (b"x" * 200)])
def test_what_is_no_object_is_a_fault(text: bytes) -> None:
    with pytest.raises(HttpError):
        list(JsonObjectSplitter(100).feed(text))


# Silence


def test_the_budget_fits_into_the_clock() -> None:
    """Noticing, the spread and the call together; and a word every 2 s is no silence."""
    options = Options()
    assert options.watch_silence_ms >= 2000 + 400
    assert options.watch_silence_ms + SILENT_SPREAD_MS + options.call_timeout_ms < CLOCK_S * 1000
    assert options.watch_silence_ms + MUTE_RETRY_MAX_MS < CLOCK_S * 1000 - 1000  # watches that are mute


class Scripted:
    """A discovery whose watches follow one script after the other, the last one again and again.

    Each script is told when it falls silent; `silent` keeps when each did, `heard` when the router was told
    of `e0`'s end, which every watch after the first silence has to tell.
    """

    def __init__(self, *scripts: Any, mode: str = "subscribe", **options: Any) -> None:
        self.scripts = list(scripts)
        self.targets: list[bytes] = []
        self.silent: list[float] = []
        self.kinds: list[i.ListKind] = []
        self.heard = 0.0
        self.party = ScriptedServer(self.answer)
        raw = make_config(
            [endpoint_entry("e0", 1), endpoint_entry("e1", 2)], self.party.port, options=options
        )
        raw["settings"]["Discovery"] = mode
        self.config = config.parse(msgspec.json.encode(raw))
        self.set = DestinationSet(self.config, self.tell, lambda name: None, now_unix_ms)
        self.set.restore()

    def answer(self, sock: Sock, message: Message) -> object:
        self.targets.append(message.target)
        script = self.scripts[0] if len(self.scripts) == 1 else self.scripts.pop(0)
        return script(self, sock)

    def tell(self, event: i.ReplicaList) -> None:
        self.kinds.append(event.kind)
        if any(e.replica == "e0" and e.state is i.ReplicaState.DRAINING for e in event.entries):
            self.heard = self.heard or time.monotonic()
        if event.kind is i.ListKind.FAILED:  # as the decisions do where many routers share the service
            pacing = Pacing(replace(self.config.settings, nodes=200), Random(len(self.kinds)))
            gevent.spawn_later(pacing.call_failed_ms(0.0) / 1000, self.set.watch)

    def quiet(self) -> None:
        self.silent.append(time.monotonic())

    def close(self) -> None:
        self.set.close()
        self.party.close()


def nothing_more(of: Scripted, sock: Sock) -> None:
    say(sock, b"\n")
    of.quiet()


def half_a_line(of: Scripted, sock: Sock) -> None:
    say(sock, b"\n")
    say(sock, lines(9, "e0")[:30], False)
    of.quiet()


def half_an_indented_list(of: Scripted, sock: Sock) -> None:
    text = lines(9, "e0", indent=2)
    say(sock, b"\n" + text[: text.index(b"\n", 40) + 1])  # whole lines, and no whole list
    of.quiet()


def a_byte_a_second(of: Scripted, sock: Sock) -> None:
    say(sock, b"\n")
    of.quiet()
    for byte in lines(9, "e0"):
        gevent.sleep(1.0)
        say(sock, bytes([byte]), False)


def silent_from_its_first_byte(of: Scripted, sock: Sock) -> None:
    say(sock, b"")
    of.quiet()


def never_an_answer(of: Scripted, sock: Sock) -> None:
    of.quiet()


def tells(of: Scripted, sock: Sock, head: bool = True) -> None:
    say(sock, lines(9, "e0", indent=4), head)
    while True:
        gevent.sleep(2.0)
        say(sock, b"\n", False)


def tells_late(of: Scripted, sock: Sock) -> None:
    gevent.sleep(3.0)  # the service's queue: a call that may wait
    tells(of, sock)


def words_come_late(of: Scripted, sock: Sock) -> None:
    say(sock, b"\n")
    for _ in range(2):
        gevent.sleep(2.3)
        say(sock, b"\n", False)
    of.quiet()
    tells(of, sock, False)


def half_a_list_and_cut(of: Scripted, sock: Sock) -> bool:
    say(sock, lines(9, "e0")[:30])
    return True


SILENCES = {
    "nothing more": (nothing_more, tells),
    "half a line": (half_a_line, tells),
    "whole lines of half a list": (half_an_indented_list, tells),
    "a byte a second": (a_byte_a_second, tells),
    "silent from its first byte": (silent_from_its_first_byte, tells),
    "never an answer": (never_an_answer, tells),
    "never an answer, twice": (never_an_answer, never_an_answer, tells),
    "silent, then a call that waits": (nothing_more, tells_late),
    "a call that waits": (tells_late,),
    "silent, then silent from its first byte": (nothing_more, silent_from_its_first_byte, tells),
    "three without a word": (silent_from_its_first_byte,) * 3 + (tells,),
    "silent, then cut off": (nothing_more, lambda of, sock: True, tells),
    "half a list, then cut off": (half_a_list_and_cut, tells),
    "an empty line that comes late is no silence": (words_come_late,),
}


def test_each_silence_is_mended_within_the_clock() -> None:
    """Bound: 6 s from the beginning of the last silence to when the router was told what it missed."""
    played = {name: Scripted(*scripts) for name, scripts in SILENCES.items()}
    begun = time.monotonic()
    try:
        for one in played.values():
            one.set.watch()
        wait_until(lambda: all(one.heard for one in played.values()))
        for name, one in played.items():
            fell = one.silent or [begun]
            mended = [*fell[1:], one.heard]  # the next watch, silent or not, began by then
            assert all(b - a < CLOCK_S for a, b in zip(fell, mended, strict=True)), (name, fell, mended)
            # A call that waits 3 s might hang, for all that is known: one more was begun beside it.
            assert len(one.targets) == len(SILENCES[name]) + name.endswith("a call that waits"), name
            failed = one.kinds.count(i.ListKind.FAILED)
            assert failed == name.endswith("cut off"), name
        # What was heard before the silence is not asked for again.
        assert played["nothing more"].targets[1] == b"/discovery/hosts?stream=1&index=7"
    finally:
        for one in played.values():
            one.close()


def test_a_stop_of_this_process_is_not_taken_for_silence() -> None:
    """Words every 0.1 s that wait while this process stands still for three times the limit."""
    listener = plain.create_server(("127.0.0.1", 0))
    opened: list[bytes] = []
    ended = threading.Event()

    def serve() -> None:
        while not ended.is_set():
            sock, _ = listener.accept()
            opened.append(sock.recv(4096))
            sock.sendall(STREAM_HEAD + chunk(b"\n"))
            while not ended.wait(0.1):
                sock.sendall(chunk(b"\n"))
            sock.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    raw = make_config(
        [endpoint_entry("e0", 1)], listener.getsockname()[1], options={"watch_silence_ms": 700.0}
    )
    told: list[i.ReplicaList] = []
    made = DestinationSet(config.parse(msgspec.json.encode(raw)), told.append, lambda name: None, now_unix_ms)
    try:
        made.watch()
        wait_until(lambda: told)
        for _ in range(3):
            time.sleep(2.1)  # the loop stands still
            gevent.sleep(0.05)
        assert len(opened) == 1 and [event.kind for event in told] == [i.ListKind.CHANGES]
    finally:
        made.close()
        ended.set()
        thread.join(10)
        listener.close()


def test_what_can_not_be_confirmed_is_told_once_and_taken_back(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr("spoolbarrow.net.discovery_watch.log", lambda event, **fields: logged.append(event))
    monkeypatch.setattr("spoolbarrow.net.discovery_watch.LIST_DEADLINE_MS", 300.0)

    def turned_away(of: Scripted, sock: Sock) -> None:
        sock.sendall(UNPROCESSED_503)

    one = Scripted(nothing_more, turned_away, turned_away, tells, watch_silence_ms=100.0)
    try:
        one.set.watch()
        wait_until(lambda: "list_confirmed" in logged)
        unconfirmed = [event for event in logged if event.startswith("list_")]
        assert unconfirmed == ["list_unconfirmed", "list_confirmed"] and one.heard
    finally:
        one.close()


def test_a_whole_list_that_stops_half_way_is_asked_for_again() -> None:
    """Of another discovery: nothing of the half is acted on, and its versions count from the whole one."""
    text = lines(3, "e0", whole=True, indent=2)

    def half(of: Scripted, sock: Sock) -> None:
        sock.sendall((PLAIN % (b"200 OK", b"", len(text), text))[:-60])

    def all_of_it(of: Scripted, sock: Sock) -> None:
        sock.sendall(PLAIN % (b"200 OK", b"", len(text), text))

    one, other = Scripted(tells), Scripted(half, all_of_it, nothing_more, call_timeout_ms=500.0)
    try:
        one.set.apply(other.config)
        wait_until(lambda: other.silent)
        assert other.targets[:2] == [b"/discovery/hosts"] * 2
        assert other.targets[2] == b"/discovery/hosts?stream=1&index=3" and not one.targets
        assert one.kinds[:2] == [i.ListKind.RESTORED, i.ListKind.WHOLE] and one.heard
    finally:
        one.close()
        other.close()


# Answers that are no list


def answers(text: bytes, end: bool = False) -> Any:
    def script(of: Scripted, sock: Sock) -> bool:
        if b"stream=1" in of.targets[-1]:
            say(sock, text)
            sock.sendall(b"0\r\n\r\n" * end)
        else:
            sock.sendall(PLAIN % (b"200 OK", b"", len(text), text))
        gevent.sleep(20 * (not end))
        return end

    return script


BAD = {
    "torn": (answers(lines(9, "e0")[:-9], end=True), "torn"),
    "ended without a word": (answers(b"", end=True), "without an update"),
    "no object": (answers(b"sorry\n"), "neither an object"),
    "too long": (answers(b'{"x":"' + b"x" * 5000), "too long"),
    "of the wrong type": (answers(lines(9, "e0").replace(b'"index":9', b'"index":"9"')), "Expected `int`"),
    "no text": (answers(lines(9, "e0").replace(b"e0", b"\xff0")), "utf-8"),
    "older changes": (answers(lines(6, "e0")), "went back from 7 to 6"),
    "an older whole list": (answers(lines(6, "e0", whole=True)), "went back from 7 to 6"),
}
BAD_WHOLE = {
    "torn": (answers(lines(9, "e0", whole=True)[:-9]), "truncated"),
    "too long": (answers(b"x" * 5000), "longer than 4000"),
    "not whole": (answers(lines(9, "e0")), "`snapshot`"),
    "of the wrong type": (answers(b"[]"), "Expected `object`"),
}


@pytest.mark.parametrize("name", BAD)
def test_what_is_no_list_changes_nothing_and_is_asked_for_again(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Bound: 6 s from the answer to the list, as after any failed call; the error names the fault once."""
    told: list[dict[str, Any]] = []
    monkeypatch.setattr(
        "spoolbarrow.net.discovery_watch.log", lambda e, **more: told.append({"e": e, **more})
    )
    monkeypatch.setattr(discovery_client, "MAX_LIST_BYTES", 4000)
    bad, fault = BAD[name]
    one, begun = Scripted(bad, tells), time.monotonic()
    try:
        one.set.watch()
        wait_until(lambda: one.heard)
        assert one.heard - begun < CLOCK_S
        assert one.targets == [b"/discovery/hosts?stream=1&index=7"] * 2
        assert one.kinds == [i.ListKind.RESTORED, i.ListKind.FAILED, i.ListKind.CHANGES]
        (line,) = [line for line in told if line["e"] == "bad_list"]
        assert fault in line["why"] and line["index"] == 7
    finally:
        one.close()


@pytest.mark.parametrize("name", BAD_WHOLE)
@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_a_whole_answer_that_is_no_list_is_asked_for_again(
    name: str, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    told: list[dict[str, Any]] = []
    monkeypatch.setattr(
        "spoolbarrow.net.discovery_watch.log", lambda e, **more: told.append({"e": e, **more})
    )
    monkeypatch.setattr(discovery_client, "MAX_LIST_BYTES", 4000)
    bad, fault = BAD_WHOLE[name]
    one = Scripted(tells)
    other = Scripted(bad, answers(lines(9, "e0", whole=True)), tells, mode=mode)
    begun = time.monotonic()
    try:
        one.set.apply(other.config)  # the whole list is asked for
        one.set.watch()
        wait_until(lambda: one.heard)
        assert one.heard - begun < CLOCK_S and i.ListKind.WHOLE in one.kinds
        assert fault in next(line["why"] for line in told if line["e"] == "bad_list")
    finally:
        one.close()
        other.close()


def test_calls_beside_one_that_hangs_are_two_at_most_and_the_first_answer_wins() -> None:
    answer = gevent.event.Event()
    begun: list[int] = []

    def call(headed: Any) -> int:
        number = len(begun)
        begun.append(number)
        answer.wait(20)
        if not number:
            raise OSError("the first fails")
        return number

    lost: list[Exception] = []
    made = gevent.spawn(discovery_client.first_answer, call, lambda: 20.0, now_unix_ms, lost.append)
    wait_until(lambda: len(begun) == 2)
    gevent.sleep(0.2)
    assert begun == [0, 1]
    answer.set()
    assert made.get(timeout=20) in (1, 2) and len(lost) == 1


def test_no_call_begins_beside_an_answer_that_has_begun() -> None:
    begun: list[int] = []

    def call(headed: Any) -> int:
        begun.append(1)
        headed()
        gevent.sleep(0.2)
        raise discovery_client.WatchIdle

    with pytest.raises(discovery_client.WatchIdle):
        discovery_client.first_answer(call, lambda: 20.0, now_unix_ms, print)
    assert begun == [1]


# Pushed lists


class Agent:
    """An agent on the router's machine: answers at once what it has, or says nothing while it is out."""

    def __init__(self) -> None:
        self.news, self.out = lines(8, whole=True), False
        self.asked = 0
        self.party = ScriptedServer(self.answer)

    def answer(self, sock: Sock, message: Message) -> object:
        self.asked += 1
        if self.out:
            return None
        if b"stream=1" not in message.target:
            sock.sendall(PLAIN % (b"200 OK", b"", len(self.news), self.news))
            return None
        say(sock, b"")
        told = self.news
        while not self.out:
            gevent.sleep(0.02)
            if self.news != told:
                told = self.news
                say(sock, told, False)
        gevent.sleep(60)  # a watch that fell silent stays so
        return True


@contextmanager
def pushed(agent: Agent, **changes: Any) -> Iterator[tuple[RouterHarness, ScriptedServer]]:
    """A router with a pushed list; e0, which nobody listens at, and e1 are what it knows."""
    engine = ScriptedServer(serve_all)
    raw = make_config(
        [endpoint_entry("e0", 1), endpoint_entry("e1", engine.port)], agent.party.port, **changes
    )
    raw["settings"]["Discovery"] = "automatic"
    made = RouterHarness(raw)
    try:
        yield made, engine
    finally:
        made.inbound.close()
        made.host.stop()
        engine.close()
        agent.party.close()


def has(agent: Agent, index: int, port: int, *gone: str) -> None:
    """What the agent has from now on: e1 in service, and these to be left."""
    found = [endpoint_entry("e1", port)] + [endpoint_entry(name, 1, status="terminating") for name in gone]
    text = msgspec.json.encode({"index": index, "snapshot": True, "endpoints": found})
    agent.news = msgspec.json.format(text, indent=2)


def test_a_new_process_acts_on_nothing_before_the_agents_list() -> None:
    agent = Agent()
    has(agent, 9, 1, "e0")
    with pushed(agent) as (scene, engine):
        assert not scene.host.destinations.serving("e0")  # from the first moment
        wait_until(lambda: scene.events)
        assert [event.kind for event in scene.events] == [i.ListKind.RESTORED, i.ListKind.WHOLE]
        has(agent, 10, engine.port, "e0")
        wait_until(lambda: scene.host.destinations.address("e1") == ("127.0.0.1", engine.port))
        assert scene.client().send(ask()).answer().status == 200


def test_a_silent_agent_holds_nobody_up() -> None:
    """Bound: served on the known list 5 s after the start, though nothing is heard."""
    agent = Agent()
    agent.out = True
    begun = time.monotonic()
    with pushed(agent) as (scene, engine):
        assert scene.client().send(ask()).answer().status == 200
        assert time.monotonic() - begun < 5.0
        agent.out = False
        has(agent, 9, engine.port, "e0")
        wait_until(lambda: not scene.host.destinations.serving("e0"))


def test_after_an_outage_the_agent_is_heard_at_once() -> None:
    """Bound: 1 s from its return (150 ms by the budget), however long it was out; no call is backed off."""
    agent = Agent()
    with pushed(agent, options={"watch_silence_ms": 500.0}) as (scene, engine):
        has(agent, 9, engine.port)
        wait_until(lambda: scene.host.destinations.seen()[0] == 9)
        agent.out = True
        asked = agent.asked
        wait_until(
            lambda: agent.asked > asked + 3
        )  # the silence is noticed, and the agent asked again and again
        gevent.sleep(4.0)
        has(agent, 10, engine.port, "e0")
        agent.out, back = False, time.monotonic()
        wait_until(lambda: not scene.host.destinations.serving("e0"))
        assert time.monotonic() - back < 1.0
        assert 12 < agent.asked - asked < 60  # none given up for the next, and no storm
        assert i.ListKind.FAILED not in [event.kind for event in scene.events_of(i.ReplicaList)]


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
def test_a_move_by_sighup_is_heard_within_4_s(mode: str) -> None:
    """Bound: 4 s, though the new discovery says nothing in the first second where lists are pushed."""
    agent, other = Agent(), Agent()
    with pushed(agent) as (scene, engine):
        has(other, 3, engine.port, "e0")  # its versions are not the old one's
        other.out = mode == "automatic"
        raw = make_config([], other.party.port)
        raw["settings"]["Discovery"] = mode
        begun = time.monotonic()
        scene.host.apply(config.parse(msgspec.json.encode(raw)))
        gevent.sleep(1.0)
        other.out = False
        wait_until(lambda: scene.host.destinations.seen()[0] == 3)
        assert time.monotonic() - begun < 4.0
        assert not scene.host.destinations.serving("e0")
        assert scene.client().send(ask()).answer().status == 200
        other.party.close()
