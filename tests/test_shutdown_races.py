"""Races of listeners, drains and signals: events between two steps of a reload or a shutdown.

Each test forces the order of events: a connection waits for an event, a hook runs where another greenlet may,
or a signal is sent once a state is reached.
"""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event
from msgspec.structs import replace

from spoolbarrow import config
from spoolbarrow.admin.coordinator import Coordinator
from spoolbarrow.handover import Handover
from spoolbarrow.net import http1
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.reload import DescriptorLimit, Reloader
from tests.router_harness import (
    LISTEN,
    Client,
    ScriptedServer,
    ask,
    close_after_answers,
    endpoint_entry,
    free_port,
    make_config,
    run_ready,
    running_router,
    serve_all,
    wait_until,
)
from tests.test_drain import NEVER, PATIENT, ROOT, Engine, asked, closed, refused, rest

UP = b"GET /up HTTP/1.1\r\n\r\n"
SMALL = {"sockets": 64}  # sixteen clients at once


@contextmanager
def full(**options: float) -> Iterator[tuple[Any, Engine, list[Client]]]:
    """A router at its connection limit, with streams that wait for the engine's `go`."""
    engine = Engine()
    with running_router(
        lambda sock, message: engine.script(sock, message), limits=SMALL, options=PATIENT | options
    ) as (harness, _):
        busy = [harness.client().send(asked(f"busy{n}", b"begin")) for n in range(harness.config.max_inbound)]
        for client in busy:
            assert client.sock.recv(1) == b"H"
        try:
            yield harness, engine, busy
        finally:
            engine.close()


def move(harness: Any) -> int:
    """Listen at another address and return its port."""
    port = free_port()
    harness.inbound.apply(replace(harness.inbound.config, listen=(LISTEN, port)))
    return port


def waits_for_room(harness: Any, count: int) -> Callable[[], bool]:
    """A condition: so many accepted connections wait for room."""
    return lambda: len(harness.inbound._waiting) == count


# Listeners


def test_connections_that_wait_at_two_addresses_keep_separate_places() -> None:
    """The first address's connection is served, then the second address is closed while its own waits."""
    reached, gate = Event(), Event()
    with full() as (harness, engine, busy):
        first = harness.client().send(asked("first"))
        wait_until(waits_for_room(harness, 1))
        second = Client(move(harness)).send(asked("second"))
        wait_until(waits_for_room(harness, 2))
        held = harness.inbound._accepting

        def no_room() -> bool:
            if gevent.getcurrent() is held:
                reached.set()
                gate.wait()  # until the greenlet is killed
            return False

        harness.inbound._make_room = no_room
        reached.wait()
        engine.go.set()
        rest(busy[0])
        busy[0].sock.close()
        assert first.answer().status == 200
        move(harness)
        for client in busy[1:]:
            assert rest(client).status == 200
            client.sock.close()
        assert second.answer().status == 200
        wait_until(lambda: not harness.inbound._closing_listeners and not harness.inbound._waiting)


def test_a_drain_waits_for_the_last_connections_of_every_address() -> None:
    """A connection of the first of three addresses still waits when all others are closed: served once."""
    gate, admitted = Event(), []
    with full(drain_accept_ms=1.0, drain_move_ms=NEVER, drain_answer_ms=NEVER) as (harness, engine, busy):
        log_steps, admit, polls = harness.inbound.drainer._log_steps, harness.inbound._admit, 0

        def poll(now: float) -> None:
            nonlocal polls
            polls += not harness.inbound._clients
            log_steps(now)

        def no_room() -> bool:
            gate.wait()
            return False

        def record_admit(sock: socket.socket) -> None:
            admitted.append(sock)
            admit(sock)

        harness.inbound.drainer._log_steps, harness.inbound._make_room = poll, no_room
        harness.inbound._admit = record_admit
        waiting = harness.client().send(asked("waits"))
        wait_until(waits_for_room(harness, 1))
        move(harness), move(harness)
        wait_until(lambda: len(harness.inbound._closing_listeners) == 1)  # the second has no connections left
        draining = gevent.spawn(harness.inbound.drain)
        engine.go.set()
        for client in busy:
            rest(client)
            client.sock.close()
        wait_until(lambda: polls > 2 or draining.ready())
        assert not draining.ready()
        gate.set()
        assert refused(waiting) and waiting.ended()
        waiting.sock.close()
        draining.join()
        assert len(admitted) == 1


def test_close_ends_waiting_connections_at_every_address() -> None:
    with full() as (harness, _, _busy):
        waiting = [harness.client()]
        wait_until(waits_for_room(harness, 1))
        for number in (1, 2):
            waiting.append(Client(move(harness)))
            wait_until(waits_for_room(harness, number + 1))
        harness.inbound.close()
        assert all(closed(client) for client in waiting)


def test_two_changes_of_address_at_once_leave_only_the_last_listener(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """No other greenlet runs in the middle of a change; each closes the previous listener once."""
    with running_router(serve_all) as (harness, _):
        run_ready()
        ports = [free_port(), free_port()]
        moves = [
            gevent.spawn(harness.inbound.apply, replace(harness.config, listen=(LISTEN, port)))
            for port in ports
        ]
        gevent.joinall(moves, raise_error=True)
        wait_until(lambda: not harness.inbound._closing_listeners)
        with socket.socket() as sock:
            assert sock.connect_ex((LISTEN, ports[0])) != 0
        assert Client(ports[1]).send(ask()).answer().status == 200
    assert "accept_paused" not in capfd.readouterr().err


def test_a_newer_process_that_never_served_leaves_the_shared_listener_to_the_older_one() -> None:
    """It is ended while it waits for its list; the older process serves the connections in the queue."""
    raw = make_config([], options={"drain_accept_ms": 1.0})
    settings = config.parse(msgspec.json.encode(raw))
    shared = socket.socket()
    shared.bind((LISTEN, 0))
    shared.listen(8)
    shared.settimeout(20)
    with shared:
        newer = Inbound(settings, Host(settings))
        newer.start(socket.socket(fileno=shared.dup().detach()), alone=False)
        client = Client(shared.getsockname()[1]).send(UP)
        gevent.spawn(newer.drain).join()
        accepted, _ = shared.accept()  # it is still in the queue
        with accepted:
            assert accepted.recv(65536) == UP
        client.sock.close()
        newer.close()


# Idle closes


@pytest.mark.parametrize("close", ["close_idle", "_make_room"])
def test_a_request_that_arrives_while_others_are_closed_keeps_its_connection(close: str) -> None:
    """Each connection is checked just before it is closed, not all of them before the first close."""
    with running_router(serve_all) as (harness, _):
        clients = [harness.client().send(UP) for _ in range(2)]
        assert [client.answer().status for client in clients] == [200, 200]
        wait_until(lambda: len(held := harness.inbound._clients) == 2 and all(one.idle() for one in held))
        of = {client.sock.getsockname(): client for client in clients}
        ours = {one: of[one.sock.getpeername()] for one in harness.inbound._clients}
        met: list[Any] = []

        def closing(one: Any, *why: Any) -> None:
            (other,) = ours.keys() - {one}
            if not met:
                ours[other].send(ask())  # no other greenlet runs
            met.append(one)
            type(one).close(one, *why)

        for one in ours:
            one.since -= NEVER
            one.close = lambda *why, one=one: closing(one, *why)
        wait_until(lambda: all(one.all_acknowledged() for one in ours))
        if close == "close_idle":
            harness.inbound.drainer.close_idle(harness.host.now())
        else:
            harness.inbound._make_room()
        (dropped,) = met
        (kept,) = ours.keys() - {dropped}
        assert ours[kept].answer().status == 200 and ours[dropped].ended()


def test_a_request_sent_byte_by_byte_across_the_start_of_a_drain_is_answered() -> None:
    """A connection with a partly received request is not idle, so the drain does not close it."""
    times = {"drain_accept_ms": 1.0, "drain_keep_ms": 1.0, "drain_move_ms": NEVER, "drain_answer_ms": NEVER}
    with running_router(serve_all, options=PATIENT | times, settings=resumed()) as (harness, _):
        client, idle, raw = harness.client(), harness.client().send(UP), ask()
        idle.answer()
        for byte in raw[:20]:
            client.send(bytes([byte]))
            run_ready()  # each byte is read on its own
        wait_until(lambda: [one for one in harness.inbound._clients if one.input.parser.reading])
        draining = gevent.spawn(harness.inbound.drain)
        assert idle.ended()  # the drain closes idle connections
        for byte in raw[20:]:
            client.send(bytes([byte]))
            run_ready()
        assert client.answer().status == 200 and client.ended()
        draining.join()


def resumed() -> dict[str, Any]:
    raw: dict[str, Any] = make_config([])["settings"] | {"Specifics": {"Resume": True}}
    raw["Limits"]["SecondCopies"] = True
    return raw


def test_a_request_after_the_last_response_reaches_no_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request arrives while the response with `Connection: close` waits to be written.

    The client will resend it elsewhere, so it must reach no engine here.
    """
    with running_router(serve_all) as (harness, engine):
        client = harness.client().send(UP)
        client.answer()
        (held,) = harness.inbound._clients
        close_after_answers(harness)
        write, gate, came = held.write, Event(), Event()

        def late(pieces: list[bytes]) -> None:
            came.set()
            gate.wait()
            write(pieces)

        monkeypatch.setattr(http1, "send_available", lambda sock, pieces: list(pieces))  # the kernel is full
        held.write = late
        client.send(UP)
        came.wait()
        client.send(asked("crossing"))
        wait_until(held.has_unread)
        run_ready()
        gate.set()
        answer = client.answer()
        assert answer.status == 200 and answer.fields[b"connection"] == b"close" and client.ended()
        client.sock.close()
        wait_until(lambda: not harness.inbound._clients)
        assert not engine.requests and not harness.host.open_requests() and not held.input.parser.complete


# Reloads


class Program:
    """The components that `serve.main` joins, in this process."""

    def __init__(self, folder: Path, raw: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
        self.raw, self.file = raw, folder / "config.json"
        monkeypatch.setenv("NODE_CONFIG", str(self.file))
        monkeypatch.setenv("TMPDIR", str(folder))
        self.write()
        settings = config.load()
        self.coordinator = Coordinator(settings)
        self.host = Host(settings)
        self.inbound = Inbound(settings, self.host)
        self.reloader = Reloader(self.host, self.inbound, self.coordinator, DescriptorLimit())
        self.inbound.start()
        self.coordinator.start(self.host, self.inbound)

    def write(self, **changes: Any) -> None:
        """Change the configuration file."""
        self.raw = self.raw | changes
        self.file.write_bytes(msgspec.json.encode(self.raw))

    def close(self) -> None:
        self.coordinator.close()
        self.inbound.close()
        self.host.stop()


@pytest.fixture
def program(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Program]:
    raw = make_config([], control=f"{LISTEN}:{free_port()}", options={"drain_accept_ms": 1.0})
    made = Program(tmp_path, raw, monkeypatch)
    yield made
    made.close()


def in_the_middle(program: Program, met: Callable[[], object]) -> None:
    """Have `met` called in the middle of a reload, while the control listener is replaced."""
    control: Any = program.coordinator._control
    stop_listening = control._stop_listening

    def stopping() -> None:
        control._stop_listening = stop_listening
        met()
        stop_listening()

    control._stop_listening = stopping


def test_a_reload_during_another_one_runs_after_it(program: Program) -> None:
    second: list[Any] = []

    def met() -> None:
        program.write(name="second", listen=f"{LISTEN}:{free_port()}")
        second.append(gevent.spawn(program.reloader.reload))
        run_ready()
        assert program.inbound.config.name == program.host.config.name == "first"

    in_the_middle(program, met)
    program.write(name="first", control=f"{LISTEN}:{free_port()}")
    assert program.reloader.reload() is None
    gevent.joinall(second, raise_error=True)
    assert program.inbound.config.name == program.host.config.name == "second"


def test_a_reload_completes_even_if_its_caller_is_killed(program: Program) -> None:
    """The caller may be an operator's call, which yields to others and ends with its listener."""

    def met() -> None:
        caller.kill(block=False)
        run_ready()

    in_the_middle(program, met)
    program.write(name="other", control=f"{LISTEN}:{free_port()}")
    caller = gevent.spawn(program.reloader.reload)
    caller.join()
    wait_until(lambda: program.inbound.config.name == program.host.config.name == "other")
    assert (
        Client(int(program.raw["control"].rpartition(":")[2]))
        .send(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        .answer()
    )


def test_a_drain_starts_after_a_reload_in_progress(program: Program) -> None:
    def end() -> None:
        program.reloader.drain()
        program.inbound.drain()

    ending: list[Any] = []

    def met() -> None:
        ending.append(gevent.spawn(end))
        run_ready()
        assert not program.inbound.drainer.state.process_ending()

    in_the_middle(program, met)
    program.write(name="other", control=f"{LISTEN}:{free_port()}")
    assert program.reloader.reload() is None
    gevent.joinall(ending, raise_error=True)
    assert program.host.config.name == "other" and program.reloader.reload() is not None


def test_a_process_that_starts_during_a_reload_halves_both_connection_limits(
    program: Program,
) -> None:
    """The limits are divided when the files are read, and again when another process starts or ends."""

    def met() -> None:
        program.coordinator._handover.newer = ["newer"]  # type: ignore[union-attr]
        program.coordinator._update_limits()

    in_the_middle(program, met)
    whole = program.host.config.max_outbound
    program.write(name="other", control=f"{LISTEN}:{free_port()}")
    assert program.reloader.reload() is None
    assert program.host.config.max_outbound == program.inbound.config.max_outbound < whole


def test_sighup_during_the_start_is_handled_once_the_program_is_up(tmp_path: Path) -> None:
    """With an unresponsive older process, the newer one waits for its state before it starts to serve."""
    older = Handover(str(tmp_path))
    server = ScriptedServer(serve_all)
    raw = make_config([endpoint_entry("e0", server.port)], control=f"{LISTEN}:{free_port()}")
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(raw))
    environment = {"NODE_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)}
    port = int(raw["listen"].rpartition(":")[2])
    log = tmp_path / "log"
    with (
        open(log, "wb") as written,
        subprocess.Popen(
            [sys.executable, "-m", "spoolbarrow"], cwd=ROOT, env=environment, stderr=written
        ) as process,
    ):
        try:
            wait_until(lambda: not socket.socket().connect_ex((LISTEN, port)))
            process.send_signal(signal.SIGHUP)
            wait_until(lambda: process.poll() is not None or '"reloaded"' in log.read_text())
            text = log.read_text()
            assert process.poll() is None, text
            assert text.index('"handover_failed"') < text.index('"reloaded"')
            assert Client(port).send(ask()).answer().status == 200
            process.send_signal(signal.SIGTERM)
            wait_until(lambda: process.poll() is not None)
            assert process.returncode == 0
        finally:
            process.kill()
            server.close()
            older.close()
