"""Which drains are in force and what they have come to; each place that asks so, one by one."""

from __future__ import annotations

from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow.admin.commands import OperatorCommands
from spoolbarrow.admin.overrides import ROUTER_DRAIN, Overrides
from spoolbarrow.config import Config, parse
from spoolbarrow.net import drain_log, drainer
from spoolbarrow.net.drain_schedule import (
    ALL_STEPS_REACHED_MS,
    CALL_CLOSE_ALL_MS,
    CALL_REFUSE_MS,
    DrainCause,
    DrainSchedule,
    DrainState,
    DrainStep,
    operator_schedule,
    shutdown_schedule,
)
from spoolbarrow.net.http1 import Message
from tests.router_harness import (
    EVENTS,
    STREAM_HEAD,
    ask,
    chunk,
    make_config,
    running_router,
    serve_all,
    wait_until,
)

NEVER = 600_000.0
REPORT_HELD_MS, RECENT_MS, LATE_CALL_MS = 4000.0, 2000.0, 1000.0  # the operators' terms
PATIENT = {"head_timeout_ms": NEVER, "keep_alive_ms": NEVER, "linger_ms": NEVER, "stall_ms": NEVER}
UP = b"GET /up HTTP/1.1\r\n\r\n"
END = b"0\r\n\r\n"


def configured(resume: bool = False) -> Config:
    raw = make_config([])
    raw["settings"]["Specifics"] = {"Resume": resume}
    return parse(msgspec.json.encode(raw))


def named(name: str, **headers: str) -> bytes:
    return ask(**{"X_Correlation_Id": name, **headers})  # type: ignore[arg-type]


def streams_until(go: Event) -> Any:
    """An engine whose answers begin at once and end when they may."""

    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(EVENTS[1]) + END)

    return script


def passed(scene: Any, ms: float) -> None:
    """Have the drain by hand of this router begun so long ago."""
    scene.inbound.activate()
    scene.inbound.begin_operator_drain(ms)


# The state


def test_after_a_call_what_is_recent_by_the_terms_is_refused() -> None:
    """The call may have waited for up to a second: its clock began with its caller's."""
    schedule = operator_schedule(configured())
    assert schedule.at(DrainStep.REFUSE) + RECENT_MS + LATE_CALL_MS <= REPORT_HELD_MS
    late = drainer.LATE_NEWCOMER_MS + drainer.POLL_S * 1000.0
    assert schedule.at(DrainStep.CLOSE_ALL) + late + LATE_CALL_MS <= REPORT_HELD_MS
    order = (DrainStep.END_ANSWERS, DrainStep.CLOSE_IDLE, DrainStep.REFUSE, DrainStep.CLOSE_ALL)
    assert [schedule.at(step) for step in order] == sorted(schedule.at(step) for step in order)
    assert not schedule.steps.keys() & {DrainStep.MOVE_STREAMS, DrainStep.ANSWER_ALL}  # the process goes on


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(DrainCause)),
            st.booleans(),
            st.floats(0.0, 5000.0),
            st.sampled_from(list(DrainStep)),
        ),
        max_size=12,
    )
)
def test_of_several_drains_the_first_that_comes_to_a_step_counts(
    told: list[tuple[DrainCause, bool, float, DrainStep]],
) -> None:
    state, now, begun = DrainState(), 0.0, dict[DrainCause, float]()
    config = configured(True)
    schedules = {
        DrainCause.OPERATOR: operator_schedule(config),
        DrainCause.SIGTERM: shutdown_schedule(config, False),
        DrainCause.SUCCESSOR: shutdown_schedule(config, True),
    }
    for cause, begins, later, step in told:
        now += later
        if begins:
            assert state.begin(cause, schedules[cause], now) is (cause not in begun)
            begun.setdefault(cause, now)
        else:
            assert (state.cancel(cause) is not None) is (begun.pop(cause, None) is not None)
        reached = [now - at >= schedules[one].at(step) for one, at in begun.items()]
        assert state.reached(step, now) is any(reached) and state.active() is bool(begun)
        refusing = [one for one, at in begun.items() if now - at >= schedules[one].at(DrainStep.REFUSE)]
        assert (state.refusal_retry_ms(now) is not None) is bool(refusing)
        assert state.by_operator() is (DrainCause.OPERATOR in begun)
        assert state.process_ending() is bool(begun.keys() - {DrainCause.OPERATOR})


def test_where_the_newer_process_takes_no_more_idle_connections_end_here() -> None:
    state = DrainState()
    state.begin(DrainCause.SUCCESSOR, shutdown_schedule(configured(), True), 0.0)
    assert not state.reached(DrainStep.CLOSE_IDLE, 900.0) and state.refusal_retry_ms(900.0) is None
    state.stop_idle_handover(100.0, resumes=False)
    assert state.reached(DrainStep.END_ANSWERS, 100.0) and state.refusal_retry_ms(100.0) is not None
    assert not state.reached(DrainStep.CLOSE_IDLE, 900.0) and state.reached(DrainStep.CLOSE_IDLE, 1000.0)


# Where a connection may end


@pytest.mark.parametrize("kind", ["call", "sigterm"])
def test_a_stream_that_began_before_ends_its_connection(kind: str) -> None:
    """Its head told its client that the connection stays; the drain began after it."""
    go = Event()
    with running_router(streams_until(go), options=PATIENT) as (scene, engine):
        client = scene.client().send(named("long"))
        wait_until(lambda: engine.requests)
        assert client.sock.recv(1) == b"H"
        if kind == "call":
            scene.inbound.begin_operator_drain()
        else:
            steps = {DrainStep.END_ANSWERS: 0.0}
            scene.inbound.drainer.begin(DrainCause.SIGTERM, DrainSchedule(steps))
        go.set()
        answer = b"H"
        while data := client.sock.recv(65536):
            answer += data
        assert b"close" not in answer.lower() and answer.endswith(END)
        assert len(engine.requests) == 1


def test_what_stands_unread_behind_a_stream_is_left_so_late_in_a_drain() -> None:
    """Its client sends it again elsewhere: the kernel says that it was not read."""
    go = Event()
    with running_router(streams_until(go), options=PATIENT) as (scene, engine):
        client = scene.client().send(named("long"))
        wait_until(lambda: engine.requests)
        client.send(named("behind"))
        (inside,) = scene.inbound._clients
        wait_until(inside.has_unread)
        passed(scene, CALL_CLOSE_ALL_MS)
        go.set()
        wait_until(lambda: not scene.inbound._clients)
        assert len(engine.requests) == 1 and scene.inbound.drainer.log.counts.refused == 0


def test_what_stands_unread_behind_a_stream_is_refused_while_there_is_time() -> None:
    go = Event()
    with running_router(streams_until(go), options=PATIENT) as (scene, engine):
        client = scene.client().send(named("long"))
        wait_until(lambda: engine.requests)
        client.send(named("behind"))
        (inside,) = scene.inbound._clients
        wait_until(inside.has_unread)
        passed(scene, CALL_REFUSE_MS)
        go.set()
        assert client.answer().status == 200
        behind = client.answer()
        assert behind.status == 503 and float(behind.fields[b"retry-after"]) > 0 and client.ended()
        assert len(engine.requests) == 1


def test_an_idle_connection_whose_answer_is_not_acknowledged_is_closed_late_in_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine that has gone acknowledges nothing; what was written stays with the kernel."""
    with running_router(serve_all, options=PATIENT) as (scene, _):
        client = scene.client().send(UP)
        client.answer()
        (inside,) = scene.inbound._clients
        wait_until(inside.idle)
        monkeypatch.setattr(type(inside), "all_acknowledged", lambda self: False)
        passed(scene, CALL_REFUSE_MS)
        gevent.sleep(2 * drainer.POLL_S)
        assert scene.inbound._clients
        inside.since -= drainer.UNACKNOWLEDGED_MS
        passed(scene, CALL_CLOSE_ALL_MS)
        assert client.ended()


def test_a_client_that_stays_after_its_last_answer_is_not_waited_for_late_in_a_drain() -> None:
    with running_router(serve_all, options=PATIENT) as (scene, _):
        client = scene.client().send(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
        client.answer()
        wait_until(lambda: [one for one in scene.inbound._clients if one.lingering])
        passed(scene, CALL_CLOSE_ALL_MS)
        wait_until(lambda: not scene.inbound._clients)


@pytest.mark.parametrize("ends", [True, False])
def test_a_client_that_takes_nothing_holds_no_process_that_ends(ends: bool) -> None:
    """One that goes on waits for it as long as ever: its request is an old one."""
    stopped = Event()

    def flood(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD)
        while not stopped.is_set():
            sock.sendall(chunk(b"data: " + b"x" * 60_000 + b"\n\n"))

    with running_router(flood, options=PATIENT) as (scene, _):
        client = scene.client().send(ask())
        (inside,) = wait_until(lambda: scene.inbound._clients)
        wait_until(lambda: inside.write_stalled(scene.host.now() - 100.0))
        cause = DrainCause.SIGTERM if ends else DrainCause.OPERATOR
        scene.inbound.drainer.begin(cause, DrainSchedule({DrainStep.CLOSE_ALL: 0.0}))
        inside.writing_since -= drainer.STALL_MS
        if ends:
            wait_until(lambda: not scene.inbound._clients)
        else:
            gevent.sleep(3 * drainer.POLL_S)
            assert scene.inbound._clients and not client.sock.closed
        stopped.set()


@pytest.mark.parametrize("sent", [b"", ask()[:40], ask()[:-3]])
def test_a_connection_that_says_nothing_or_half_is_ended_late_in_a_drain(sent: bytes) -> None:
    with running_router(serve_all, options=PATIENT) as (scene, engine):
        passed(scene, CALL_CLOSE_ALL_MS)
        client = scene.client().send(sent) if sent else scene.client()
        if sent:
            answer = client.answer()
            assert answer.status == 503 and float(answer.fields[b"retry-after"]) > 0
        assert client.ended() and not engine.requests


def test_a_connection_that_waits_for_room_late_in_a_drain_is_told_at_once() -> None:
    go = Event()
    with running_router(streams_until(go), options=PATIENT, limits={"sockets": 64}) as (scene, _):
        most = scene.config.max_inbound
        busy = [scene.client().send(named(f"busy{n}")) for n in range(most)]
        assert [client.sock.recv(1) for client in busy] == [b"H"] * most
        passed(scene, CALL_CLOSE_ALL_MS)
        waiting = scene.client()
        answer = waiting.answer()
        assert answer.status == 503 and answer.fields[b"retry-after"] and waiting.ended()
        go.set()


# Where a request may be taken


def test_a_new_connection_is_refused_late_in_a_drain_and_served_after_activate() -> None:
    with running_router(serve_all, options=PATIENT) as (scene, engine):
        passed(scene, CALL_REFUSE_MS)
        client = scene.client().send(named("late"))
        answer = client.answer()
        assert answer.status == 503 and float(answer.fields[b"retry-after"]) > 0 and client.ended()
        assert answer.fields[b"connection"] == b"close" and not engine.requests
        scene.inbound.activate()
        again = scene.client().send(named("again"))
        assert again.answer().status == 200
        assert again.send(UP).answer().status == 200  # and the connection stays


def test_a_call_that_is_repeated_does_not_begin_anew() -> None:
    with running_router(serve_all, options=PATIENT) as (scene, _):
        passed(scene, CALL_REFUSE_MS)
        scene.inbound.begin_operator_drain()
        assert scene.client().send(ask()).answer().status == 503


def test_activate_takes_back_no_end_of_the_process() -> None:
    with running_router(serve_all, options=PATIENT) as (scene, _):
        scene.inbound.begin_operator_drain()
        scene.inbound.drainer.begin(DrainCause.SIGTERM, shutdown_schedule(scene.config, False))
        scene.inbound.activate()
        assert (
            not scene.inbound.ready()
            and not scene.inbound.can_serve()
            and not scene.inbound.operator_drained()
        )


@pytest.mark.parametrize("at_start", [True, False])
def test_a_drain_that_an_earlier_process_was_told_is_old_at_the_start(at_start: bool) -> None:
    with running_router(serve_all, options=PATIENT) as (scene, _):
        orders, other = OperatorCommands(scene.host, scene.inbound), Overrides()
        other.put(ROUTER_DRAIN, True, 1.0)
        orders.apply_remote(other, at_start)
        assert scene.inbound.operator_drained()
        assert scene.client().send(ask()).answer().status == (503 if at_start else 200)


def test_what_one_step_runs_into_keeps_no_other_from_its_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_router(serve_all, options=PATIENT) as (scene, _):
        client = scene.client().send(UP)
        client.answer()
        client.send(ask()[:40])  # half a request
        monkeypatch.setitem(scene.inbound.drainer._actions, DrainStep.CLOSE_IDLE, lambda now: 1 / 0)
        passed(scene, ALL_STEPS_REACHED_MS)
        assert client.answer().status == 503 and client.ended()


# What is told


def test_the_log_tells_each_step_request_and_connection(capfd: pytest.CaptureFixture[str]) -> None:
    with running_router(serve_all, options=PATIENT) as (scene, _):
        idle = scene.client().send(UP)
        idle.answer()
        scene.inbound.begin_operator_drain()
        scene.client().send(named("taken")).answer()
        passed(scene, ALL_STEPS_REACHED_MS)
        scene.client().send(named("refused")).answer()
        wait_until(lambda: not scene.inbound._clients)
        counts = scene.inbound.drainer.log.counts
        assert (counts.taken, counts.refused, counts.closed) == (1, 1, 3)
    told = [msgspec.json.decode(line) for line in capfd.readouterr().err.splitlines()]
    states = [(line["cause"], line["state"]) for line in told if line["event"] == "drain_state"]
    assert states[0] == ("call", "begun") and ("call", "taken_back") in states
    assert states[-len(operator_schedule(scene.config).steps) :] == [
        ("call", step.value) for step in DrainStep if step in operator_schedule(scene.config).steps
    ]
    requests = [(line["id"], line["what"]) for line in told if line["event"] == "drain_request"]
    assert requests == [("taken", "taken"), ("refused", "refused")]
    assert sum(line["event"] == "drain_closed" for line in told) == 3
    assert [line["connections"] for line in told if line["event"] == "drain_held"][:1] != []


def test_lines_on_single_requests_are_bounded_and_the_others_counted(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(drain_log, "MAX_LINES_PER_S", 3)
    made = drain_log.DrainLog()
    for n in range(10):
        made.request_refused(1000.0, f"q{n}", 1)
    made.request_refused(2000.0, "next", 1)
    told = [msgspec.json.decode(line) for line in capfd.readouterr().err.splitlines()]
    assert [line["id"] for line in told] == ["q0", "q1", "q2", "next"]
    assert told[-1]["left_out"] == 7 and made.counts.refused == 11
