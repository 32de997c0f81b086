"""The state of drains, and each place that consults it."""

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
MAX_HELD_MS, RECENT_MS, LATE_CALL_MS = 4000.0, 2000.0, 1000.0  # as agreed with operators
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
    """An engine whose streams start at once and end after `go`."""

    def script(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(EVENTS[1]) + END)

    return script


def passed(harness: Any, ms: float) -> None:
    """Restart this router's operator drain as if it had started so long ago."""
    harness.inbound.activate()
    harness.inbound.begin_operator_drain(ms)


# The state


def test_after_a_call_requests_that_count_as_recent_are_refused() -> None:
    """The call may be up to a second late, and the agreed time starts with the caller's clock."""
    schedule = operator_schedule(configured())
    assert schedule.at(DrainStep.REFUSE) + RECENT_MS + LATE_CALL_MS <= MAX_HELD_MS
    late = drainer.LATE_NEWCOMER_MS + drainer.POLL_S * 1000.0
    assert schedule.at(DrainStep.CLOSE_ALL) + late + LATE_CALL_MS <= MAX_HELD_MS
    order = (DrainStep.END_ANSWERS, DrainStep.CLOSE_IDLE, DrainStep.REFUSE, DrainStep.CLOSE_ALL)
    assert [schedule.at(step) for step in order] == sorted(schedule.at(step) for step in order)
    assert not schedule.steps.keys() & {DrainStep.MOVE_STREAMS, DrainStep.ANSWER_ALL}  # the process continues


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
def test_of_several_drains_the_first_to_reach_a_step_counts(
    changes: list[tuple[DrainCause, bool, float, DrainStep]],
) -> None:
    state, now, begun = DrainState(), 0.0, dict[DrainCause, float]()
    config = configured(True)
    schedules = {
        DrainCause.OPERATOR: operator_schedule(config),
        DrainCause.SIGTERM: shutdown_schedule(config, False),
        DrainCause.SUCCESSOR: shutdown_schedule(config, True),
    }
    for cause, begins, later, step in changes:
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


def test_if_the_newer_process_rejects_idle_connections_they_are_closed_here() -> None:
    state = DrainState()
    state.begin(DrainCause.SUCCESSOR, shutdown_schedule(configured(), True), 0.0)
    assert not state.reached(DrainStep.CLOSE_IDLE, 900.0) and state.refusal_retry_ms(900.0) is None
    state.stop_idle_handover(100.0, resumes=False)
    assert state.reached(DrainStep.END_ANSWERS, 100.0) and state.refusal_retry_ms(100.0) is not None
    assert not state.reached(DrainStep.CLOSE_IDLE, 900.0) and state.reached(DrainStep.CLOSE_IDLE, 1000.0)


# Closing connections


@pytest.mark.parametrize("kind", ["call", "sigterm"])
def test_a_stream_that_began_before_the_drain_closes_its_connection(kind: str) -> None:
    """The response head announced that the connection stays open, as the drain began after it."""
    go = Event()
    with running_router(streams_until(go), options=PATIENT) as (harness, engine):
        client = harness.client().send(named("long"))
        wait_until(lambda: engine.requests)
        assert client.sock.recv(1) == b"H"
        if kind == "call":
            harness.inbound.begin_operator_drain()
        else:
            steps = {DrainStep.END_ANSWERS: 0.0}
            harness.inbound.drainer.begin(DrainCause.SIGTERM, DrainSchedule(steps))
        go.set()
        answer = b"H"
        while data := client.sock.recv(65536):
            answer += data
        assert b"close" not in answer.lower() and answer.endswith(END)
        assert len(engine.requests) == 1


def test_late_in_a_drain_a_request_after_a_stream_stays_unread() -> None:
    """The reset tells the client that the request was not read, so it can resend it elsewhere."""
    go = Event()
    with running_router(streams_until(go), options=PATIENT) as (harness, engine):
        client = harness.client().send(named("long"))
        wait_until(lambda: engine.requests)
        client.send(named("behind"))
        (inside,) = harness.inbound._clients
        wait_until(inside.has_unread)
        passed(harness, CALL_CLOSE_ALL_MS)
        go.set()
        wait_until(lambda: not harness.inbound._clients)
        assert len(engine.requests) == 1 and harness.inbound.drainer.log.counts.refused == 0


def test_a_request_after_a_stream_is_refused_while_the_drain_leaves_time() -> None:
    go = Event()
    with running_router(streams_until(go), options=PATIENT) as (harness, engine):
        client = harness.client().send(named("long"))
        wait_until(lambda: engine.requests)
        client.send(named("behind"))
        (inside,) = harness.inbound._clients
        wait_until(inside.has_unread)
        passed(harness, CALL_REFUSE_MS)
        go.set()
        assert client.answer().status == 200
        behind = client.answer()
        assert behind.status == 503 and float(behind.fields[b"retry-after"]) > 0 and client.ended()
        assert len(engine.requests) == 1


def test_late_in_a_drain_an_idle_connection_is_closed_without_acknowledgement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that has disappeared acknowledges nothing, so the data stays in the kernel's send buffer."""
    with running_router(serve_all, options=PATIENT) as (harness, _):
        client = harness.client().send(UP)
        client.answer()
        (inside,) = harness.inbound._clients
        wait_until(inside.idle)
        monkeypatch.setattr(type(inside), "all_acknowledged", lambda self: False)
        passed(harness, CALL_REFUSE_MS)
        gevent.sleep(2 * drainer.POLL_S)
        assert harness.inbound._clients
        inside.since -= drainer.UNACKNOWLEDGED_MS
        passed(harness, CALL_CLOSE_ALL_MS)
        assert client.ended()


def test_late_in_a_drain_a_client_that_stays_after_its_last_response_is_closed() -> None:
    with running_router(serve_all, options=PATIENT) as (harness, _):
        client = harness.client().send(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
        client.answer()
        wait_until(lambda: [one for one in harness.inbound._clients if one.lingering])
        passed(harness, CALL_CLOSE_ALL_MS)
        wait_until(lambda: not harness.inbound._clients)


@pytest.mark.parametrize("ends", [True, False])
def test_a_client_that_reads_nothing_does_not_delay_the_end_of_a_process(ends: bool) -> None:
    """A process that continues waits for it as long as usual, since its request is an old one."""
    stopped = Event()

    def flood(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD)
        while not stopped.is_set():
            sock.sendall(chunk(b"data: " + b"x" * 60_000 + b"\n\n"))

    with running_router(flood, options=PATIENT) as (harness, _):
        client = harness.client().send(ask())
        (inside,) = wait_until(lambda: harness.inbound._clients)
        wait_until(lambda: inside.write_stalled(harness.host.now() - 100.0))
        cause = DrainCause.SIGTERM if ends else DrainCause.OPERATOR
        harness.inbound.drainer.begin(cause, DrainSchedule({DrainStep.CLOSE_ALL: 0.0}))
        inside.writing_since -= drainer.STALL_MS
        if ends:
            wait_until(lambda: not harness.inbound._clients)
        else:
            gevent.sleep(3 * drainer.POLL_S)
            assert harness.inbound._clients and not client.sock.closed
        stopped.set()


@pytest.mark.parametrize("sent", [b"", ask()[:40], ask()[:-3]])
def test_late_in_a_drain_a_connection_without_a_complete_request_is_closed(sent: bytes) -> None:
    with running_router(serve_all, options=PATIENT) as (harness, engine):
        passed(harness, CALL_CLOSE_ALL_MS)
        client = harness.client().send(sent) if sent else harness.client()
        if sent:
            answer = client.answer()
            assert answer.status == 503 and float(answer.fields[b"retry-after"]) > 0
        assert client.ended() and not engine.requests


def test_late_in_a_drain_a_connection_that_waits_for_room_is_refused_at_once() -> None:
    go = Event()
    with running_router(streams_until(go), options=PATIENT, limits={"sockets": 64}) as (harness, _):
        most = harness.config.max_inbound
        busy = [harness.client().send(named(f"busy{n}")) for n in range(most)]
        assert [client.sock.recv(1) for client in busy] == [b"H"] * most
        passed(harness, CALL_CLOSE_ALL_MS)
        waiting = harness.client()
        answer = waiting.answer()
        assert answer.status == 503 and answer.fields[b"retry-after"] and waiting.ended()
        go.set()


# Accepting requests


def test_a_new_connection_is_refused_late_in_a_drain_and_served_after_activate() -> None:
    with running_router(serve_all, options=PATIENT) as (harness, engine):
        passed(harness, CALL_REFUSE_MS)
        client = harness.client().send(named("late"))
        answer = client.answer()
        assert answer.status == 503 and float(answer.fields[b"retry-after"]) > 0 and client.ended()
        assert answer.fields[b"connection"] == b"close" and not engine.requests
        harness.inbound.activate()
        again = harness.client().send(named("again"))
        assert again.answer().status == 200
        assert again.send(UP).answer().status == 200  # and the connection stays open


def test_a_repeated_call_does_not_restart_the_drain() -> None:
    with running_router(serve_all, options=PATIENT) as (harness, _):
        passed(harness, CALL_REFUSE_MS)
        harness.inbound.begin_operator_drain()
        assert harness.client().send(ask()).answer().status == 503


def test_activate_does_not_cancel_the_end_of_the_process() -> None:
    with running_router(serve_all, options=PATIENT) as (harness, _):
        harness.inbound.begin_operator_drain()
        harness.inbound.drainer.begin(DrainCause.SIGTERM, shutdown_schedule(harness.config, False))
        harness.inbound.activate()
        assert (
            not harness.inbound.ready()
            and not harness.inbound.can_serve()
            and not harness.inbound.operator_drained()
        )


@pytest.mark.parametrize("at_start", [True, False])
def test_a_drain_from_an_earlier_process_has_reached_all_steps_at_the_start(at_start: bool) -> None:
    with running_router(serve_all, options=PATIENT) as (harness, _):
        commands, other = OperatorCommands(harness.host, harness.inbound), Overrides()
        other.put(ROUTER_DRAIN, True, 1.0)
        commands.apply_remote(other, at_start)
        assert harness.inbound.operator_drained()
        assert harness.client().send(ask()).answer().status == (503 if at_start else 200)


def test_a_fault_in_one_step_does_not_stop_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_router(serve_all, options=PATIENT) as (harness, _):
        client = harness.client().send(UP)
        client.answer()
        client.send(ask()[:40])  # half a request
        monkeypatch.setitem(harness.inbound.drainer._actions, DrainStep.CLOSE_IDLE, lambda now: 1 / 0)
        passed(harness, ALL_STEPS_REACHED_MS)
        assert client.answer().status == 503 and client.ended()


# Log


def test_each_step_request_and_connection_is_logged(capfd: pytest.CaptureFixture[str]) -> None:
    with running_router(serve_all, options=PATIENT) as (harness, _):
        idle = harness.client().send(UP)
        idle.answer()
        harness.inbound.begin_operator_drain()
        harness.client().send(named("taken")).answer()
        passed(harness, ALL_STEPS_REACHED_MS)
        harness.client().send(named("refused")).answer()
        wait_until(lambda: not harness.inbound._clients)
        counts = harness.inbound.drainer.log.counts
        assert (counts.taken, counts.refused, counts.closed) == (1, 1, 3)
    lines = [msgspec.json.decode(line) for line in capfd.readouterr().err.splitlines()]
    states = [(line["cause"], line["state"]) for line in lines if line["event"] == "drain_state"]
    assert states[0] == ("call", "begun") and ("call", "taken_back") in states
    assert states[-len(operator_schedule(harness.config).steps) :] == [
        ("call", step.value) for step in DrainStep if step in operator_schedule(harness.config).steps
    ]
    requests = [(line["id"], line["what"]) for line in lines if line["event"] == "drain_request"]
    assert requests == [("taken", "taken"), ("refused", "refused")]
    assert sum(line["event"] == "drain_closed" for line in lines) == 3
    assert [line["connections"] for line in lines if line["event"] == "drain_held"][:1] != []


def test_log_lines_about_single_requests_are_limited_and_omitted_ones_counted(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(drain_log, "MAX_LINES_PER_S", 3)
    made = drain_log.DrainLog()
    for n in range(10):
        made.request_refused(1000.0, f"q{n}", 1)
    made.request_refused(2000.0, "next", 1)
    lines = [msgspec.json.decode(line) for line in capfd.readouterr().err.splitlines()]
    assert [line["id"] for line in lines] == ["q0", "q1", "q2", "next"]
    assert lines[-1]["left_out"] == 7 and made.counts.refused == 11
