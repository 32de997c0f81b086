"""Listeners, drains and signals: what comes between two steps of a change of address, a reload or an end.

Each test forces its order: a connection is held at a gate, a hook runs where another greenlet may, a signal
is sent once a state was seen.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event
from msgspec.structs import replace

from spoolbarrow import config
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from tests.stage import LISTEN, Client, ask, free_port, make_config, serve_all, stage, until
from tests.test_drain import NEVER, PATIENT, Engine, asked, closed, refused, rest

UP = b"GET /up HTTP/1.1\r\n\r\n"
SMALL = {"sockets": 64}  # sixteen clients at once


@contextmanager
def full(**options: float) -> Iterator[tuple[Any, Engine, list[Client]]]:
    """A router whose clients' places are all taken by streams that wait for the engine's `go`."""
    engine = Engine()
    with stage(
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


def turns() -> None:
    """Let whatever is ready run, and what that makes ready."""
    for _ in range(10):
        gevent.sleep(0)


# Listeners


def test_connections_that_wait_at_two_addresses_do_not_take_each_others_place() -> None:
    """The one of the first address gets a place, then the second address ends: its own still waits there."""
    reached, gate = Event(), Event()
    with full() as (scene, engine, busy):
        first = scene.client().send(asked("first"))
        until(waits_for_room(scene, 1))
        second = Client(move(scene)).send(asked("second"))
        until(waits_for_room(scene, 2))
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
        until(lambda: not scene.inbound._leaving and not scene.inbound._waiting)


def test_a_drain_waits_for_the_last_connections_of_every_address() -> None:
    """One accepted at the first of three addresses has no place when all others have gone: taken once."""
    gate, seated = Event(), []
    with full(drain_accept_ms=1.0, drain_move_ms=NEVER, drain_answer_ms=NEVER) as (scene, engine, busy):
        end_due, admit, looks = scene.inbound._end_what_is_due, scene.inbound._admit, 0

        def look(*given: Any) -> None:
            nonlocal looks
            looks += not scene.inbound._clients
            end_due(*given)

        def no_room() -> bool:
            gate.wait()
            return False

        def seat(sock: socket.socket) -> None:
            seated.append(sock)
            admit(sock)

        scene.inbound._end_what_is_due, scene.inbound._make_room = look, no_room
        scene.inbound._admit = seat
        waiting = scene.client().send(asked("waits"))
        until(waits_for_room(scene, 1))
        move(scene), move(scene)
        until(lambda: len(scene.inbound._leaving) == 1)  # the second address has nothing left
        draining = gevent.spawn(scene.inbound.drain)
        engine.go.set()
        for client in busy:
            rest(client)
            client.sock.close()
        until(lambda: looks > 2 or draining.ready())
        assert not draining.ready()
        gate.set()
        assert refused(waiting) and waiting.ended()
        waiting.sock.close()
        draining.join()
        assert len(seated) == 1


def test_close_ends_what_waits_at_every_address() -> None:
    with full() as (scene, _, _busy):
        waiting = [scene.client()]
        until(waits_for_room(scene, 1))
        for number in (1, 2):
            waiting.append(Client(move(scene)))
            until(waits_for_room(scene, number + 1))
        scene.inbound.close()
        assert all(closed(client) for client in waiting)


def test_two_changes_of_address_at_once_leave_only_the_last_listener(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """No other greenlet runs in the middle of a change: each ends the listener before it, once."""
    with stage(serve_all) as (scene, _):
        turns()
        ports = [free_port(), free_port()]
        moves = [
            gevent.spawn(scene.inbound.apply, replace(scene.config, listen=(LISTEN, port))) for port in ports
        ]
        gevent.joinall(moves, raise_error=True)
        until(lambda: not scene.inbound._leaving)
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


@pytest.mark.parametrize("close", ["_close_idle", "_make_room"])
def test_a_request_that_comes_while_others_are_closed_keeps_its_connection(close: str) -> None:
    """Each connection is looked at just before it is closed, not all of them before the first one is."""
    with stage(serve_all) as (scene, _):
        clients = [scene.client().send(UP) for _ in range(2)]
        assert [client.answer().status for client in clients] == [200, 200]
        until(lambda: len(held := scene.inbound._clients) == 2 and all(one.idle() for one in held))
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
        until(lambda: all(one.answered() for one in ours))
        if close == "_close_idle":
            scene.inbound._close_idle(scene.host.now())
        else:
            scene.inbound._make_room()
        (gone,) = met
        (kept,) = ours.keys() - {gone}
        assert ours[kept].answer().status == 200 and ours[gone].ended()


def test_a_request_in_single_bytes_over_the_begin_of_a_drain_is_answered() -> None:
    """Ruled out: a connection whose request has begun to come is not idle, whatever the drain closes."""
    times = {"drain_accept_ms": 1.0, "drain_keep_ms": 1.0, "drain_move_ms": NEVER, "drain_answer_ms": NEVER}
    with stage(serve_all, options=PATIENT | times, settings=resumed()) as (scene, _):
        client, idle, raw = scene.client(), scene.client().send(UP), ask()
        idle.answer()
        for byte in raw[:20]:
            client.send(bytes([byte]))
            turns()  # each is read alone
        until(lambda: [one for one in scene.inbound._clients if one._parser.reading])
        draining = gevent.spawn(scene.inbound.drain)
        assert idle.ended()  # the drain closes what is idle
        for byte in raw[20:]:
            client.send(bytes([byte]))
            turns()
        assert client.answer().status == 200 and client.ended()
        draining.join()


def resumed() -> dict[str, Any]:
    raw: dict[str, Any] = make_config([])["settings"] | {"Specifics": {"Resume": True}}
    raw["Limits"]["SecondCopies"] = True
    return raw


def test_what_is_read_behind_the_last_answer_is_never_sent_on() -> None:
    """Ruled out: a request comes while the answer that says `Connection: close` waits to be written.

    Its client was told so and asks again elsewhere; here it must reach no engine.
    """
    with stage(serve_all) as (scene, engine):
        client = scene.client().send(UP)
        client.answer()
        (held,) = scene.inbound._clients
        scene.inbound.closing = True
        write, gate, came = held.write, Event(), Event()

        def late(pieces: list[bytes]) -> None:
            came.set()
            gate.wait()
            write(pieces)

        held.write = late
        client.send(UP)
        came.wait()
        client.send(asked("crossing"))
        until(lambda: held._parser.whole)
        gate.set()
        answer = client.answer()
        assert answer.status == 200 and answer.fields[b"connection"] == b"close" and client.ended()
        client.sock.close()
        until(lambda: not scene.inbound._clients)
        assert not engine.requests and not scene.host.open_requests()
