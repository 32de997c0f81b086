"""Tests the deadline for a list: idle watches are replaced within 6 s, and pushed lists apply at once.

Uses scripted discoveries on loopback; all cases that wait run concurrently.
"""

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
from hypothesis import strategies as st
from msgspec.structs import replace

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.config import Options
from spoolbarrow.fleet.pacing import MUTE_RETRY_MAX_MS, SILENT_SPREAD_MS, Pacing
from spoolbarrow.lab.wire_engine import PLAIN_RESPONSE
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

LIST_DEADLINE_S = 6.0
Sock = socket.socket


def list_text(index: int, *gone: str, whole: bool = False, indent: int = 0) -> bytes:
    """A list in which these endpoints drain, on one line or indented over many."""
    entries = [endpoint_entry(name, 1, status="terminating") for name in gone]
    text = msgspec.json.encode({"index": index, "snapshot": whole, "endpoints": entries})
    return (msgspec.json.format(text, indent=indent) if indent else text) + b"\n"


def send_chunk(sock: Sock, text: bytes, head: bool = True) -> None:
    sock.sendall((STREAM_HEAD if head else b"") + (chunk(text) if text else b""))


# Splitting a stream


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.none(),
            st.dictionaries(st.text(max_size=6), st.one_of(st.text(), st.lists(st.integers()))),
        ),
        max_size=5,
    ),
    st.integers(0, 3),
    st.lists(st.integers(1, 9), min_size=1, max_size=20),
)
def test_objects_and_empty_lines_are_split_out_in_any_fragmentation(
    sent: list[dict[str, Any] | None], indent: int, sizes: list[int]
) -> None:
    stream = b""
    for item in sent:
        text = b"" if item is None else msgspec.json.encode(item)
        stream += (msgspec.json.format(text, indent=indent) if indent and text else text) + b"\n"
    objects: list[bytes] = []
    messages = JsonObjectSplitter(1 << 20)
    while stream:
        size = sizes[len(stream) % len(sizes)]
        objects += messages.feed(stream[:size])
        stream = stream[size:]
    assert [msgspec.json.decode(text) if text else None for text in objects] == sent


@pytest.mark.parametrize("text", [b"7\n", b"}", b"text", b"] {}", b"{} x\n", b'{"a":"%s' % (b"x" * 200)])
def test_a_non_object_is_an_error(text: bytes) -> None:
    with pytest.raises(HttpError):
        list(JsonObjectSplitter(100).feed(text))


# Idle watches


def test_the_time_limits_fit_into_the_deadline() -> None:
    """Detection, the spread and the call together; and with an update every 2 s, a watch is not idle."""
    options = Options()
    assert options.watch_silence_ms >= 2000 + 400
    assert options.watch_silence_ms + SILENT_SPREAD_MS + options.call_timeout_ms < LIST_DEADLINE_S * 1000
    assert (
        options.watch_silence_ms + MUTE_RETRY_MAX_MS < LIST_DEADLINE_S * 1000 - 1000
    )  # watches without updates


class ScriptedDiscovery:
    """A discovery whose watches follow one script after the other, repeating the last one.

    Each script calls `fall_idle` when it stops sending, which adds to `idle_since`; `update_at` is when the
    router was notified of `e0`'s drain, which every watch after the first idle one has to report.
    """

    def __init__(self, *scripts: Any, mode: str = "subscribe", **options: Any) -> None:
        self.scripts = list(scripts)
        self.targets: list[bytes] = []
        self.idle_since: list[float] = []
        self.kinds: list[i.ListKind] = []
        self.update_at = 0.0
        self.server = ScriptedServer(self.answer)
        raw = make_config(
            [endpoint_entry("e0", 1), endpoint_entry("e1", 2)], self.server.port, options=options
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
            self.update_at = self.update_at or time.monotonic()
        if event.kind is i.ListKind.FAILED:  # as the decision module does if many routers share the service
            pacing = Pacing(replace(self.config.settings, nodes=200), Random(len(self.kinds)))
            gevent.spawn_later(pacing.call_failed_ms(0.0) / 1000, self.set.watch)

    def fall_idle(self) -> None:
        self.idle_since.append(time.monotonic())

    def close(self) -> None:
        self.set.close()
        self.server.close()


def empty_line_then_idle(discovery: ScriptedDiscovery, sock: Sock) -> None:
    send_chunk(sock, b"\n")
    discovery.fall_idle()


def half_line_then_idle(discovery: ScriptedDiscovery, sock: Sock) -> None:
    send_chunk(sock, b"\n")
    send_chunk(sock, list_text(9, "e0")[:30], False)
    discovery.fall_idle()


def half_indented_list_then_idle(discovery: ScriptedDiscovery, sock: Sock) -> None:
    text = list_text(9, "e0", indent=2)
    send_chunk(sock, b"\n" + text[: text.index(b"\n", 40) + 1])  # complete lines but not a complete list
    discovery.fall_idle()


def byte_per_second(discovery: ScriptedDiscovery, sock: Sock) -> None:
    send_chunk(sock, b"\n")
    discovery.fall_idle()
    for byte in list_text(9, "e0"):
        gevent.sleep(1.0)
        send_chunk(sock, bytes([byte]), False)


def head_then_idle(discovery: ScriptedDiscovery, sock: Sock) -> None:
    send_chunk(sock, b"")
    discovery.fall_idle()


def no_answer(discovery: ScriptedDiscovery, sock: Sock) -> None:
    discovery.fall_idle()


def report_change(discovery: ScriptedDiscovery, sock: Sock, head: bool = True) -> None:
    send_chunk(sock, list_text(9, "e0", indent=4), head)
    while True:
        gevent.sleep(2.0)
        send_chunk(sock, b"\n", False)


def report_change_late(discovery: ScriptedDiscovery, sock: Sock) -> None:
    gevent.sleep(3.0)  # in the service's queue: calls may wait
    report_change(discovery, sock)


def empty_lines_late(discovery: ScriptedDiscovery, sock: Sock) -> None:
    send_chunk(sock, b"\n")
    for _ in range(2):
        gevent.sleep(2.3)
        send_chunk(sock, b"\n", False)
    discovery.fall_idle()
    report_change(discovery, sock, False)


def half_list_then_close(discovery: ScriptedDiscovery, sock: Sock) -> bool:
    send_chunk(sock, list_text(9, "e0")[:30])
    return True


IDLE_CASES = {
    "nothing more": (empty_line_then_idle, report_change),
    "half a line": (half_line_then_idle, report_change),
    "complete lines of half a list": (half_indented_list_then_idle, report_change),
    "a byte a second": (byte_per_second, report_change),
    "idle from its first byte": (head_then_idle, report_change),
    "never an answer": (no_answer, report_change),
    "never an answer, twice": (no_answer, no_answer, report_change),
    "idle, then a call that waits": (empty_line_then_idle, report_change_late),
    "a call that waits": (report_change_late,),
    "idle, then idle from its first byte": (empty_line_then_idle, head_then_idle, report_change),
    "three without an update": (head_then_idle,) * 3 + (report_change,),
    "idle, then cut off": (empty_line_then_idle, lambda discovery, sock: True, report_change),
    "half a list, then cut off": (half_list_then_close, report_change),
    "a late empty line is an update": (empty_lines_late,),
}


def test_each_idle_watch_is_replaced_within_the_deadline() -> None:
    """Bound: 6 s from when the last watch fell idle until the router was notified of the missed change."""
    discoveries = {name: ScriptedDiscovery(*scripts) for name, scripts in IDLE_CASES.items()}
    begun = time.monotonic()
    try:
        for case in discoveries.values():
            case.set.watch()
        wait_until(lambda: all(case.update_at for case in discoveries.values()))
        for name, case in discoveries.items():
            idle_at = case.idle_since or [begun]
            resumed_at = [*idle_at[1:], case.update_at]  # the next watch began by then
            assert all(b - a < LIST_DEADLINE_S for a, b in zip(idle_at, resumed_at, strict=True)), (
                name,
                idle_at,
                resumed_at,
            )
            # A call that waits 3 s might as well hang, so another one was started beside it.
            assert len(case.targets) == len(IDLE_CASES[name]) + name.endswith("a call that waits"), name
            failed = case.kinds.count(i.ListKind.FAILED)
            assert failed == name.endswith("cut off"), name
        # The watch continues from the last known version.
        assert discoveries["nothing more"].targets[1] == b"/discovery/hosts?stream=1&index=7"
    finally:
        for case in discoveries.values():
            case.close()


def test_a_pause_of_this_process_does_not_count_as_an_idle_watch() -> None:
    """Updates arrive every 0.1 s, unread while this process is paused for three times the limit."""
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
    reported: list[i.ReplicaList] = []
    destinations = DestinationSet(
        config.parse(msgspec.json.encode(raw)), reported.append, lambda name: None, now_unix_ms
    )
    try:
        destinations.watch()
        wait_until(lambda: reported)
        for _ in range(3):
            time.sleep(2.1)  # blocks the event loop
            gevent.sleep(0.05)
        assert len(opened) == 1 and [event.kind for event in reported] == [i.ListKind.CHANGES]
    finally:
        destinations.close()
        ended.set()
        thread.join(10)
        listener.close()


def test_an_unconfirmed_list_is_logged_once_and_confirmed_later(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr("spoolbarrow.net.discovery_watch.log", lambda event, **fields: logged.append(event))
    monkeypatch.setattr("spoolbarrow.net.discovery_watch.LIST_DEADLINE_MS", 300.0)

    def reject_call(discovery: ScriptedDiscovery, sock: Sock) -> None:
        sock.sendall(UNPROCESSED_503)

    discovery = ScriptedDiscovery(
        empty_line_then_idle, reject_call, reject_call, report_change, watch_silence_ms=100.0
    )
    try:
        discovery.set.watch()
        wait_until(lambda: "list_confirmed" in logged)
        unconfirmed = [event for event in logged if event.startswith("list_")]
        assert unconfirmed == ["list_unconfirmed", "list_confirmed"] and discovery.update_at
    finally:
        discovery.close()


def test_an_incomplete_whole_list_is_requested_again() -> None:
    """From another discovery: the half is not applied, and its versions count from the complete list."""
    text = list_text(3, "e0", whole=True, indent=2)

    def half(discovery: ScriptedDiscovery, sock: Sock) -> None:
        sock.sendall((PLAIN_RESPONSE % (b"200 OK", b"", len(text), text))[:-60])

    def all_of_it(discovery: ScriptedDiscovery, sock: Sock) -> None:
        sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(text), text))

    old, other = (
        ScriptedDiscovery(report_change),
        ScriptedDiscovery(half, all_of_it, empty_line_then_idle, call_timeout_ms=500.0),
    )
    try:
        old.set.apply(other.config)
        wait_until(lambda: other.idle_since)
        assert other.targets[:2] == [b"/discovery/hosts"] * 2
        assert other.targets[2] == b"/discovery/hosts?stream=1&index=3" and not old.targets
        assert old.kinds[:2] == [i.ListKind.RESTORED, i.ListKind.WHOLE] and old.update_at
    finally:
        old.close()
        other.close()


# Invalid lists


def answer_with(text: bytes, end: bool = False) -> Any:
    def script(discovery: ScriptedDiscovery, sock: Sock) -> bool:
        if b"stream=1" in discovery.targets[-1]:
            send_chunk(sock, text)
            sock.sendall(b"0\r\n\r\n" * end)
        else:
            sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(text), text))
        gevent.sleep(20 * (not end))
        return end

    return script


INVALID_WATCHES = {
    "truncated": (answer_with(list_text(9, "e0")[:-9], end=True), "torn"),
    "ended without an update": (answer_with(b"", end=True), "without an update"),
    "no object": (answer_with(b"sorry\n"), "neither an object"),
    "too long": (answer_with(b'{"x":"' + b"x" * 5000), "too long"),
    "of the wrong type": (
        answer_with(list_text(9, "e0").replace(b'"index":9', b'"index":"9"')),
        "Expected `int`",
    ),
    "no text": (answer_with(list_text(9, "e0").replace(b"e0", b"\xff0")), "utf-8"),
    "older changes": (answer_with(list_text(6, "e0")), "went back from 7 to 6"),
    "an older whole list": (answer_with(list_text(6, "e0", whole=True)), "went back from 7 to 6"),
}
INVALID_WHOLE_LISTS = {
    "truncated": (answer_with(list_text(9, "e0", whole=True)[:-9]), "truncated"),
    "too long": (answer_with(b"x" * 5000), "longer than 4000"),
    "not whole": (answer_with(list_text(9, "e0")), "`snapshot`"),
    "of the wrong type": (answer_with(b"[]"), "Expected `object`"),
}


@pytest.mark.parametrize("name", INVALID_WATCHES)
def test_an_invalid_list_changes_nothing_and_is_requested_again(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Bound: 6 s from the answer to a valid list, as after any failed call; the error is logged once."""
    reported: list[dict[str, Any]] = []
    monkeypatch.setattr(
        "spoolbarrow.net.discovery_watch.log", lambda e, **more: reported.append({"e": e, **more})
    )
    monkeypatch.setattr(discovery_client, "MAX_LIST_BYTES", 4000)
    bad, fault = INVALID_WATCHES[name]
    discovery, begun = ScriptedDiscovery(bad, report_change), time.monotonic()
    try:
        discovery.set.watch()
        wait_until(lambda: discovery.update_at)
        assert discovery.update_at - begun < LIST_DEADLINE_S
        assert discovery.targets == [b"/discovery/hosts?stream=1&index=7"] * 2
        assert discovery.kinds == [i.ListKind.RESTORED, i.ListKind.FAILED, i.ListKind.CHANGES]
        (line,) = [line for line in reported if line["e"] == "bad_list"]
        assert fault in line["why"] and line["index"] == 7
    finally:
        discovery.close()


@pytest.mark.parametrize("name", INVALID_WHOLE_LISTS)
@pytest.mark.parametrize("mode", ["subscribe", "automatic"])
def test_an_invalid_whole_list_is_requested_again(
    name: str, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    reported: list[dict[str, Any]] = []
    monkeypatch.setattr(
        "spoolbarrow.net.discovery_watch.log", lambda e, **more: reported.append({"e": e, **more})
    )
    monkeypatch.setattr(discovery_client, "MAX_LIST_BYTES", 4000)
    bad, fault = INVALID_WHOLE_LISTS[name]
    old = ScriptedDiscovery(report_change)
    other = ScriptedDiscovery(bad, answer_with(list_text(9, "e0", whole=True)), report_change, mode=mode)
    begun = time.monotonic()
    try:
        old.set.apply(other.config)  # requests the whole list
        old.set.watch()
        wait_until(lambda: old.update_at)
        assert old.update_at - begun < LIST_DEADLINE_S and i.ListKind.WHOLE in old.kinds
        assert fault in next(line["why"] for line in reported if line["e"] == "bad_list")
    finally:
        old.close()
        other.close()


def test_at_most_two_calls_are_open_and_the_first_answer_wins() -> None:
    answer = gevent.event.Event()
    begun: list[int] = []

    def call(on_head: Any) -> int:
        number = len(begun)
        begun.append(number)
        answer.wait(20)
        if not number:
            raise OSError("the first fails")
        return number

    lost: list[Exception] = []
    destinations = gevent.spawn(discovery_client.first_answer, call, lambda: 20.0, now_unix_ms, lost.append)
    wait_until(lambda: len(begun) == 2)
    gevent.sleep(0.2)
    assert begun == [0, 1]
    answer.set()
    assert destinations.get(timeout=20) in (1, 2) and len(lost) == 1


def test_no_call_starts_while_an_answer_has_begun() -> None:
    begun: list[int] = []

    def call(on_head: Any) -> int:
        begun.append(1)
        on_head()
        gevent.sleep(0.2)
        raise discovery_client.WatchIdle

    with pytest.raises(discovery_client.WatchIdle):
        discovery_client.first_answer(call, lambda: 20.0, now_unix_ms, print)
    assert begun == [1]


# Pushed lists


class Agent:
    """An agent on the router's machine: answers at once, or not at all while it is down."""

    def __init__(self) -> None:
        self.list_body, self.down = list_text(8, whole=True), False
        self.calls = 0
        self.server = ScriptedServer(self.answer)

    def answer(self, sock: Sock, message: Message) -> object:
        self.calls += 1
        if self.down:
            return None
        if b"stream=1" not in message.target:
            sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(self.list_body), self.list_body))
            return None
        send_chunk(sock, b"")
        reported = self.list_body
        while not self.down:
            gevent.sleep(0.02)
            if self.list_body != reported:
                reported = self.list_body
                send_chunk(sock, reported, False)
        gevent.sleep(60)  # a watch that fell idle stays so
        return True


@contextmanager
def router_with_agent(agent: Agent, **changes: Any) -> Iterator[tuple[RouterHarness, ScriptedServer]]:
    """A router with a pushed list that knows e0, whose port is closed, and e1."""
    engine = ScriptedServer(serve_all)
    raw = make_config(
        [endpoint_entry("e0", 1), endpoint_entry("e1", engine.port)], agent.server.port, **changes
    )
    raw["settings"]["Discovery"] = "automatic"
    destinations = RouterHarness(raw)
    try:
        yield destinations, engine
    finally:
        destinations.inbound.close()
        destinations.host.stop()
        engine.close()
        agent.server.close()


def set_agent_list(agent: Agent, index: int, port: int, *gone: str) -> None:
    """Set the agent's list: e1 is in service, and these endpoints drain."""
    entries = [endpoint_entry("e1", port)] + [endpoint_entry(name, 1, status="terminating") for name in gone]
    text = msgspec.json.encode({"index": index, "snapshot": True, "endpoints": entries})
    agent.list_body = msgspec.json.format(text, indent=2)


def test_a_new_process_decides_nothing_before_the_agents_list() -> None:
    agent = Agent()
    set_agent_list(agent, 9, 1, "e0")
    with router_with_agent(agent) as (scene, engine):
        assert not scene.host.destinations.serving("e0")  # from the first moment
        wait_until(lambda: scene.events)
        assert [event.kind for event in scene.events] == [i.ListKind.RESTORED, i.ListKind.WHOLE]
        set_agent_list(agent, 10, engine.port, "e0")
        wait_until(lambda: scene.host.destinations.address("e1") == ("127.0.0.1", engine.port))
        assert scene.client().send(ask()).answer().status == 200


def test_an_unresponsive_agent_delays_nothing() -> None:
    """Bound: serves on the known list within 5 s of the start, without any answer from the agent."""
    agent = Agent()
    agent.down = True
    begun = time.monotonic()
    with router_with_agent(agent) as (scene, engine):
        assert scene.client().send(ask()).answer().status == 200
        assert time.monotonic() - begun < 5.0
        agent.down = False
        set_agent_list(agent, 9, engine.port, "e0")
        wait_until(lambda: not scene.host.destinations.serving("e0"))


def test_after_an_outage_the_agents_list_is_applied_at_once() -> None:
    """Bound: 1 s from its return (150 ms by design), however long it was down; calls are not backed off."""
    agent = Agent()
    with router_with_agent(agent, options={"watch_silence_ms": 500.0}) as (scene, engine):
        set_agent_list(agent, 9, engine.port)
        wait_until(lambda: scene.host.destinations.seen()[0] == 9)
        agent.down = True
        calls = agent.calls
        wait_until(lambda: agent.calls > calls + 3)  # noticed, and called repeatedly
        gevent.sleep(4.0)
        set_agent_list(agent, 10, engine.port, "e0")
        agent.down, back = False, time.monotonic()
        wait_until(lambda: not scene.host.destinations.serving("e0"))
        assert time.monotonic() - back < 1.0
        assert 12 < agent.calls - calls < 60  # no call was cancelled for the next, and no burst
        assert i.ListKind.FAILED not in [event.kind for event in scene.events_of(i.ReplicaList)]


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
def test_a_move_by_sighup_takes_effect_within_4_s(mode: str) -> None:
    """Bound: 4 s, though a pushing discovery does not answer in the first second."""
    agent, other = Agent(), Agent()
    with router_with_agent(agent) as (scene, engine):
        set_agent_list(other, 3, engine.port, "e0")  # its versions are unrelated to the old one's
        other.down = mode == "automatic"
        raw = make_config([], other.server.port)
        raw["settings"]["Discovery"] = mode
        begun = time.monotonic()
        scene.host.apply(config.parse(msgspec.json.encode(raw)))
        gevent.sleep(1.0)
        other.down = False
        wait_until(lambda: scene.host.destinations.seen()[0] == 3)
        assert time.monotonic() - begun < 4.0
        assert not scene.host.destinations.serving("e0")
        assert scene.client().send(ask()).answer().status == 200
        other.server.close()
