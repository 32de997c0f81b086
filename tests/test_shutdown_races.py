"""Listeners, drains and signals: what comes between two steps of a change of address, a reload or an end.

Each test forces its order: a connection is held at a gate, a hook runs where another greenlet may, a signal
is sent once a state was seen.
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
    """A router whose clients' places are all taken by streams that wait for the engine's `go`."""
    engine = Engine()
    with running_router(
        lambda sock, message: engine.script(sock, message), limits=SMALL, options=PATIENT | options
    ) as (scene, _):
        busy = [scene.client().send(asked(f"busy{n}", b"begin")) for n in range(scene.config.max_inbound)]
        for client in busy:
            assert client.sock.recv(1) == b"H"
        try:
            yield scene, engine, busy
        finally:
            engine.close()


def move(scene: Any) -> int:
    """Listen at another address: its port."""
    port = free_port()
    scene.inbound.apply(replace(scene.inbound.config, listen=(LISTEN, port)))
    return port


def waits_for_room(scene: Any, count: int) -> Callable[[], bool]:
    """Whether so many connections were accepted and have no place yet."""
    return lambda: len(scene.inbound._waiting) == count


# Listeners


def test_connections_that_wait_at_two_addresses_do_not_take_each_others_place() -> None:
    """The one of the first address gets a place, then the second address ends: its own still waits there."""
    reached, gate = Event(), Event()
    with full() as (scene, engine, busy):
        first = scene.client().send(asked("first"))
        wait_until(waits_for_room(scene, 1))
        second = Client(move(scene)).send(asked("second"))
        wait_until(waits_for_room(scene, 2))
        held = scene.inbound._accepting

        def no_room() -> bool:
            if gevent.getcurrent() is held:
                reached.set()
                gate.wait()  # until it is ended
            return False

        scene.inbound._make_room = no_room
        reached.wait()
        engine.go.set()
        rest(busy[0])
        busy[0].sock.close()
        assert first.answer().status == 200
        move(scene)
        for client in busy[1:]:
            assert rest(client).status == 200
            client.sock.close()
        assert second.answer().status == 200
        wait_until(lambda: not scene.inbound._closing_listeners and not scene.inbound._waiting)


def test_a_drain_waits_for_the_last_connections_of_every_address() -> None:
    """One accepted at the first of three addresses has no place when all others have gone: taken once."""
    gate, seated = Event(), []
    with full(drain_accept_ms=1.0, drain_move_ms=NEVER, drain_answer_ms=NEVER) as (scene, engine, busy):
        tell_steps, admit, looks = scene.inbound.drainer._log_steps, scene.inbound._admit, 0

        def look(now: float) -> None:
            nonlocal looks
            looks += not scene.inbound._clients
            tell_steps(now)

        def no_room() -> bool:
            gate.wait()
            return False

        def seat(sock: socket.socket) -> None:
            seated.append(sock)
            admit(sock)

        scene.inbound.drainer._log_steps, scene.inbound._make_room = look, no_room
        scene.inbound._admit = seat
        waiting = scene.client().send(asked("waits"))
        wait_until(waits_for_room(scene, 1))
        move(scene), move(scene)
        wait_until(lambda: len(scene.inbound._closing_listeners) == 1)  # the second address has nothing left
        draining = gevent.spawn(scene.inbound.drain)
        engine.go.set()
        for client in busy:
            rest(client)
            client.sock.close()
        wait_until(lambda: looks > 2 or draining.ready())
        assert not draining.ready()
        gate.set()
        assert refused(waiting) and waiting.ended()
        waiting.sock.close()
        draining.join()
        assert len(seated) == 1


def test_close_ends_what_waits_at_every_address() -> None:
    with full() as (scene, _, _busy):
        waiting = [scene.client()]
        wait_until(waits_for_room(scene, 1))
        for number in (1, 2):
            waiting.append(Client(move(scene)))
            wait_until(waits_for_room(scene, number + 1))
        scene.inbound.close()
        assert all(closed(client) for client in waiting)


def test_two_changes_of_address_at_once_leave_only_the_last_listener(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """No other greenlet runs in the middle of a change: each ends the listener before it, once."""
    with running_router(serve_all) as (scene, _):
        run_ready()
        ports = [free_port(), free_port()]
        moves = [
            gevent.spawn(scene.inbound.apply, replace(scene.config, listen=(LISTEN, port))) for port in ports
        ]
        gevent.joinall(moves, raise_error=True)
        wait_until(lambda: not scene.inbound._closing_listeners)
        with socket.socket() as sock:
            assert sock.connect_ex((LISTEN, ports[0])) != 0
        assert Client(ports[1]).send(ask()).answer().status == 200
    assert "accept_paused" not in capfd.readouterr().err


def test_a_newer_process_that_never_served_leaves_the_shared_listener_to_the_older_one() -> None:
    """It is ended while it waits for its list: what is in the kernel's queue is the older one's to serve."""
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
        accepted, _ = shared.accept()  # at once: still there
        with accepted:
            assert accepted.recv(65536) == UP
        client.sock.close()
        newer.close()


# Idle closes


@pytest.mark.parametrize("close", ["close_idle", "_make_room"])
def test_a_request_that_comes_while_others_are_closed_keeps_its_connection(close: str) -> None:
    """Each connection is looked at just before it is closed, not all of them before the first one is."""
    with running_router(serve_all) as (scene, _):
        clients = [scene.client().send(UP) for _ in range(2)]
        assert [client.answer().status for client in clients] == [200, 200]
        wait_until(lambda: len(held := scene.inbound._clients) == 2 and all(one.idle() for one in held))
        of = {client.sock.getsockname(): client for client in clients}
        ours = {one: of[one.sock.getpeername()] for one in scene.inbound._clients}
        met: list[Any] = []

        def closing(one: Any, *why: Any) -> None:
            (other,) = ours.keys() - {one}
            if not met:
                ours[other].send(ask())  # written, and no other greenlet runs
            met.append(one)
            type(one).close(one, *why)

        for one in ours:
            one.since -= NEVER
            one.close = lambda *why, one=one: closing(one, *why)
        wait_until(lambda: all(one.all_acknowledged() for one in ours))
        if close == "close_idle":
            scene.inbound.drainer.close_idle(scene.host.now())
        else:
            scene.inbound._make_room()
        (gone,) = met
        (kept,) = ours.keys() - {gone}
        assert ours[kept].answer().status == 200 and ours[gone].ended()


def test_a_request_in_single_bytes_over_the_begin_of_a_drain_is_answered() -> None:
    """Ruled out: a connection whose request has begun to come is not idle, whatever the drain closes."""
    times = {"drain_accept_ms": 1.0, "drain_keep_ms": 1.0, "drain_move_ms": NEVER, "drain_answer_ms": NEVER}
    with running_router(serve_all, options=PATIENT | times, settings=resumed()) as (scene, _):
        client, idle, raw = scene.client(), scene.client().send(UP), ask()
        idle.answer()
        for byte in raw[:20]:
            client.send(bytes([byte]))
            run_ready()  # each is read alone
        wait_until(lambda: [one for one in scene.inbound._clients if one._parser.reading])
        draining = gevent.spawn(scene.inbound.drain)
        assert idle.ended()  # the drain closes what is idle
        for byte in raw[20:]:
            client.send(bytes([byte]))
            run_ready()
        assert client.answer().status == 200 and client.ended()
        draining.join()


def resumed() -> dict[str, Any]:
    raw: dict[str, Any] = make_config([])["settings"] | {"Specifics": {"Resume": True}}
    raw["Limits"]["SecondCopies"] = True
    return raw


def test_what_comes_behind_the_last_answer_is_never_sent_on() -> None:
    """Ruled out: a request comes while the answer that says `Connection: close` waits to be written.

    Its client was told so and asks again elsewhere; here it must reach no engine.
    """
    with running_router(serve_all) as (scene, engine):
        client = scene.client().send(UP)
        client.answer()
        (held,) = scene.inbound._clients
        close_after_answers(scene)
        write, gate, came = held.write, Event(), Event()

        def late(pieces: list[bytes]) -> None:
            came.set()
            gate.wait()
            write(pieces)

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
        wait_until(lambda: not scene.inbound._clients)
        assert not engine.requests and not scene.host.open_requests() and not held._parser.complete


# Reloads


class Program:
    """What `serve.main` joins, in this process."""

    def __init__(self, folder: Path, raw: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
        self.raw, self.file = raw, folder / "config.json"
        monkeypatch.setenv("NODE_CONFIG", str(self.file))
        monkeypatch.setenv("TMPDIR", str(folder))
        self.write()
        settings = config.load()
        self.operations = Coordinator(settings)
        self.host = Host(settings)
        self.inbound = Inbound(settings, self.host)
        self.reloader = Reloader(self.host, self.inbound, self.operations, DescriptorLimit())
        self.inbound.start()
        self.operations.start(self.host, self.inbound)

    def write(self, **changes: Any) -> None:
        """Other files."""
        self.raw = self.raw | changes
        self.file.write_bytes(msgspec.json.encode(self.raw))

    def close(self) -> None:
        self.operations.close()
        self.inbound.close()
        self.host.stop()


@pytest.fixture
def program(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Program]:
    raw = make_config([], control=f"{LISTEN}:{free_port()}", options={"drain_accept_ms": 1.0})
    made = Program(tmp_path, raw, monkeypatch)
    yield made
    made.close()


def at_the_move(program: Program, met: Callable[[], object]) -> None:
    """Have `met` called in the middle of a reload: where its operators' listener is changed for another."""
    control: Any = program.operations._control
    stop_listening = control._stop_listening

    def stopping() -> None:
        control._stop_listening = stop_listening
        met()
        stop_listening()

    control._stop_listening = stopping


def test_a_reload_in_the_middle_of_another_comes_after_it(program: Program) -> None:
    second: list[Any] = []

    def met() -> None:
        program.write(name="second", listen=f"{LISTEN}:{free_port()}")
        second.append(gevent.spawn(program.reloader.reload))
        run_ready()
        assert program.inbound.config.name == program.host.config.name == "first"

    at_the_move(program, met)
    program.write(name="first", control=f"{LISTEN}:{free_port()}")
    assert program.reloader.reload() is None
    gevent.joinall(second, raise_error=True)
    assert program.inbound.config.name == program.host.config.name == "second"


def test_a_reload_is_whole_also_where_its_caller_is_ended(program: Program) -> None:
    """An operator's call may be the caller: it gives way to others, and ends with its listener."""

    def met() -> None:
        caller.kill(block=False)
        run_ready()

    at_the_move(program, met)
    program.write(name="other", control=f"{LISTEN}:{free_port()}")
    caller = gevent.spawn(program.reloader.reload)
    caller.join()
    wait_until(lambda: program.inbound.config.name == program.host.config.name == "other")
    assert (
        Client(int(program.raw["control"].rpartition(":")[2]))
        .send(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        .answer()
    )


def test_a_drain_begins_after_the_reload_that_is_in_the_middle(program: Program) -> None:
    def end() -> None:
        program.reloader.drain()
        program.inbound.drain()

    ending: list[Any] = []

    def met() -> None:
        ending.append(gevent.spawn(end))
        run_ready()
        assert not program.inbound.drainer.state.process_ending()

    at_the_move(program, met)
    program.write(name="other", control=f"{LISTEN}:{free_port()}")
    assert program.reloader.reload() is None
    gevent.joinall(ending, raise_error=True)
    assert program.host.config.name == "other" and program.reloader.reload() is not None


def test_a_process_that_comes_in_the_middle_of_a_reload_halves_the_room_of_both_sides(
    program: Program,
) -> None:
    """The room is shared out when the files are read, and anew when another process comes or goes."""

    def met() -> None:
        program.operations._handover.newer = ["newer"]  # type: ignore[union-attr]
        program.operations._update_limits()

    at_the_move(program, met)
    whole = program.host.config.max_outbound
    program.write(name="other", control=f"{LISTEN}:{free_port()}")
    assert program.reloader.reload() is None
    assert program.host.config.max_outbound == program.inbound.config.max_outbound < whole


def test_sighup_while_the_program_starts_is_carried_out_once_it_is_up(tmp_path: Path) -> None:
    """An older process that says nothing has the newer one wait for its state, before it decides anything."""
    older = Handover(str(tmp_path))
    party = ScriptedServer(serve_all)
    raw = make_config([endpoint_entry("e0", party.port)], control=f"{LISTEN}:{free_port()}")
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
            told = log.read_text()
            assert process.poll() is None, told
            assert told.index('"handover_failed"') < told.index('"reloaded"')
            assert Client(port).send(ask()).answer().status == 200
            process.send_signal(signal.SIGTERM)
            wait_until(lambda: process.poll() is not None)
            assert process.returncode == 0
        finally:
            process.kill()
            party.close()
            older.close()
