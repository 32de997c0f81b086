"""Work belongs to one client and one process: nothing runs for a client that left, and no id runs twice."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import gevent
from gevent import socket

from tests.fault_clients import Departure, head
from tests.fault_engine import FaultEngine
from tests.fault_runs import Scene, attempts_for_departed, ids_open_twice, running_scene
from tests.router_harness import LISTEN, Client, endpoint_entry, wait_until

BODY = b'{"model":"chat"}'


def ask(scene: Scene, id: str, lab: str, left_ms: int = 3000) -> Client:
    """Send a request on a new connection."""
    return Client(scene.service.port).send(request(id, lab, left_ms))


def request(id: str, lab: str, left_ms: int = 3000) -> bytes:
    return head(id, f"Content-Length: {len(BODY)}", lab, left_ms) + BODY


def send_until_full(sock: Any, data: bytes) -> int:
    """Write until the kernel takes no more; the number of bytes written."""
    sock.settimeout(0.0)
    written = 0
    while written < len(data):
        try:
            written += sock.send(data[written:])
        except BlockingIOError:
            gevent.sleep(0.05)
            try:
                written += sock.send(data[written:])
            except BlockingIOError:
                break
    return written


def send_and_leave(scene: Scene, lab: str) -> Departure:
    """A client that sends as much as the kernel takes, and closes its connection."""
    sock = socket.create_connection((LISTEN, scene.service.port))
    ids = [f"x{number}" for number in range(20_000)]
    send_until_full(sock, b"".join(request(id, lab) for id in ids))
    sock.close()
    return Departure(time.monotonic(), tuple(ids))


def test_no_attempt_begins_for_a_client_that_left_behind_more_than_the_router_has_read(
    tmp_path: Path,
) -> None:
    with running_scene(tmp_path, 4) as scene:
        for engine in scene.engines:
            engine.full_until, engine.full_after_s = time.monotonic() + 2.0, 0.3
        left = send_and_leave(scene, "first=200")
        gevent.sleep(3.0)
        assert scene.attempts()
        assert attempts_for_departed(scene.attempts(), [left]) == []


def test_no_attempt_begins_for_a_client_that_left_before_its_connection_was_accepted(tmp_path: Path) -> None:
    """The process is held up; more than the kernel takes was sent meanwhile."""
    with running_scene(tmp_path, 2) as scene:
        process = scene.service.processes[0]
        process.send_signal(signal.SIGSTOP)
        left = send_and_leave(scene, "first=20")
        gevent.sleep(0.5)
        process.send_signal(signal.SIGCONT)
        gevent.sleep(1.0)
        assert ask(scene, "after", "").answer().status == 200
        assert attempts_for_departed(scene.attempts(), [left]) == []


def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(tmp_path: Path) -> None:
    with running_scene(tmp_path, max_attempts=1) as scene:
        first = ask(scene, "again", "first=600")
        wait_until(lambda: scene.attempts_of("again"))
        first.sock.close()
        gevent.sleep(0.3)
        assert ask(scene, "again", "first=20").answer().status == 409
        assert len(scene.attempts_of("again")) == 1


def test_an_id_that_was_served_does_not_run_twice(tmp_path: Path) -> None:
    with running_scene(tmp_path, max_attempts=1) as scene:
        assert ask(scene, "served", "").answer().status == 200
        assert ask(scene, "served", "").answer().status == 409
        assert len(scene.attempts_of("served")) == 1


def test_an_id_that_no_engine_can_have_run_may_come_again(tmp_path: Path) -> None:
    with running_scene(tmp_path, 1) as scene:
        scene.engines[0].full_until = time.monotonic() + 60.0
        assert ask(scene, "unrun", "", 300).answer().status in (502, 503, 504)
        scene.engines[0].full_until = 0.0
        assert ask(scene, "unrun", "").answer().status == 200


def test_an_id_open_at_the_old_process_of_an_upgrade_is_refused_by_the_new_one(tmp_path: Path) -> None:
    with running_scene(tmp_path, max_attempts=1) as scene:
        owner = ask(scene, "open", "first=2500")
        departed = ask(scene, "ran", "first=2500")
        wait_until(lambda: scene.attempts_of("open") and scene.attempts_of("ran"))
        scene.service.start()
        scene.service.processes[0].terminate()
        departed.sock.close()
        gevent.sleep(0.6)  # the old process accepts no more
        statuses = {id: ask(scene, id, "").answer().status for id in ("open", "ran")}
        assert statuses == {"open": 409, "ran": 409}
        assert owner.answer().status == 200
        assert ids_open_twice(scene.attempts()) == []
        assert len(scene.attempts_of("open")) == len(scene.attempts_of("ran")) == 1


def test_a_stream_moves_to_the_next_process_although_another_is_rejected(tmp_path: Path) -> None:
    with running_scene(tmp_path) as scene:
        clients = [ask(scene, f"long{number}", "first=20,events=90,gap=100") for number in range(6)]
        wait_until(lambda: len(scene.attempts()) == 6)
        gevent.sleep(0.3)
        scene.service.start()
        scene.service.processes[0].terminate()
        gevent.sleep(0.6)
        refused = [ask(scene, f"long{number}", "").answer().status for number in range(6)]
        gevent.sleep(3.1)
        scene.service.processes[0].kill()
        assert refused == [409] * 6
        assert [client.answer().status for client in clients] == [200] * 6


def test_a_new_engine_at_the_address_of_another_is_not_taken_for_it(tmp_path: Path) -> None:
    with running_scene(tmp_path, 1) as scene:
        assert ask(scene, "before", "").answer().status == 200
        old = scene.engines[0]
        old.die()
        scene.engines.append(FaultEngine("e1", old.port))
        scene.discovery.change(endpoint_entry("e1", old.port, since_ms=time.time() * 1000))
        wait_until(lambda: '"index":11' in scene.service.log(0))
        statuses = [ask(scene, f"after{number}", "").answer().status for number in range(8)]
        assert 200 in statuses and set(statuses) <= {200, 503}  # the new engine is in its slow start
        wait_until(lambda: '"id":"after7"' in scene.service.log(0))
        lines = [line for line in scene.service.log(0).splitlines() if '"id":"after' in line]
        assert lines and [line for line in lines if '"endpoint":"e0"' in line] == []


def test_work_decided_for_an_engine_is_not_written_to_its_successor(tmp_path: Path) -> None:
    """The successor is listed while the request waits for its first engine's connection."""
    with running_scene(tmp_path, 1) as scene:
        old = scene.engines[0]
        clients = [ask(scene, f"held{number}", "first=2000") for number in range(3)]
        wait_until(lambda: len(old.attempts) == 3)
        old.die()
        successor = FaultEngine("e1", old.port)
        scene.engines.append(successor)
        scene.discovery.change(endpoint_entry("e1", old.port, since_ms=time.time() * 1000))
        statuses = [client.answer().status for client in clients]
        assert set(statuses) <= {200, 502, 503, 504}
        assert ids_open_twice(scene.attempts()) == []
