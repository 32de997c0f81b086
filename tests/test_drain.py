"""Drains after SIGTERM: each way in which a request may still arrive or be open, with a real process.

The tests wait for events, not for times. Additional connections show which step the drain has reached: an
idle one is closed at `drain_keep_ms`, a running stream is broken off at `drain_move_ms`, and a waiting
request is answered at `drain_answer_ms`.
"""

from __future__ import annotations

import fcntl
import os
import signal
import socket as plain
import subprocess
import sys
import termios
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event
from msgspec.structs import replace

from spoolbarrow.config import parse
from spoolbarrow.net import connection_handover, drainer
from spoolbarrow.net.connection_pool import Connection
from spoolbarrow.net.drain_schedule import NEVER_MS, DrainStep, shutdown_schedule
from spoolbarrow.net.endpoint_response import InFlightAttempt
from spoolbarrow.net.http1 import Message, ResponseParser
from spoolbarrow.net.request import Attempt
from tests.router_harness import (
    EVENTS,
    LISTEN,
    STREAM_HEAD,
    Client,
    ScriptedServer,
    ask,
    chunk,
    endpoint_entry,
    free_port,
    make_config,
    running_router,
    serve_all,
    wait_until,
)
from tests.router_processes import service

ROOT = Path(__file__).resolve().parent.parent
END = b"0\r\n\r\n"
RESUME = {"Specifics": {"Resume": True}}
NEVER = 60_000.0
PATIENT = {"head_timeout_ms": NEVER, "keep_alive_ms": NEVER, "stream_silence_ms": NEVER, "linger_ms": 200.0}
TIMES = {"accept": 100.0, "keep": 300.0, "move": 600.0, "answer": 900.0}


class Engine(ScriptedServer):
    """An engine that does what the request body says: answer, start and wait for `go`, or stay silent."""

    def __init__(self) -> None:
        self.go = Event()
        self.held: list[socket.socket] = []
        super().__init__(self._play)

    def _play(self, sock: socket.socket, message: Message) -> None:
        if message.body == b"serve":
            serve_all(sock, message)
        elif message.body == b"much":
            sock.sendall(STREAM_HEAD + chunk(b"data: " + b"x" * 10_000 + b"\n\n") + END)
        elif message.body == b"begin":
            sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
            self.go.wait()
            sock.sendall(chunk(EVENTS[1]) + END)

    def got(self, name: str) -> bool:
        return any(m.fields[b"x-correlation-id"] == name.encode() for m in self.requests)


class Router:
    """A router process."""

    def __init__(self, folder: Path, raw: dict[str, Any], engine: Engine) -> None:
        self.engine, self.port = engine, int(raw["listen"].rpartition(":")[2])
        (folder / "config.json").write_bytes(msgspec.json.encode(raw))
        self.log_file = folder / "log"
        with open(self.log_file, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "spoolbarrow"],
                cwd=ROOT,
                stderr=log,
                env={**os.environ, "NODE_CONFIG": str(folder / "config.json")},
            )
        wait_until(self.listens)

    def listens(self) -> bool:
        with socket.socket() as sock:
            return not sock.connect_ex((LISTEN, self.port))

    def client(self) -> Client:
        return Client(self.port)

    def used(self) -> Client:
        """An idle connection that was used once."""
        client = self.client().send(b"GET /up HTTP/1.1\r\n\r\n")
        assert client.answer().status == 200
        return client

    def begun(self, name: str) -> Client:
        """A connection whose stream has started and waits for the engine's `go`."""
        client = self.client().send(asked(name, b"begin"))
        assert client.sock.recv(1) == b"H"
        return client

    def waiting(self) -> Client:
        """A connection whose request has reached the engine, which never answers it."""
        client = self.client().send(asked("waits", b"silence"))
        wait_until(lambda: self.engine.got("waits"))
        return client

    def term(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        wait_until(lambda: "draining" in self.log())

    def log(self) -> str:
        return self.log_file.read_text()

    def ends(self) -> None:
        wait_until(lambda: self.process.poll() is not None)
        assert self.process.returncode == 0 and "unexpected" not in self.log()


@contextmanager
def router(
    folder: Path,
    times: dict[str, float] = TIMES,
    resume: bool = True,
    deadline: float = 5000.0,
    full: socket.socket | None = None,
    **changes: Any,
) -> Iterator[Router]:
    """A router with an engine, or with a listener (`full`) that accepts no connection."""
    engine, port = Engine(), 0
    if full is not None:
        full.bind(("127.0.0.1", 0))  # the address that `endpoint_entry` uses
        full.listen(0)
        port = full.getsockname()[1]
        for _ in range(2):
            with suppress(TimeoutError):
                engine.held.append(socket.create_connection(("127.0.0.1", port), 0.2))
    raw = make_config([endpoint_entry("e0", port or engine.port)])
    raw["settings"]["Classes"][0]["DeadlineMs"] = deadline
    raw["settings"] |= RESUME if resume else {}
    raw["settings"]["Limits"]["SecondCopies"] = resume
    raw["options"] = {f"drain_{name}_ms": time for name, time in times.items()}
    raw["options"] |= PATIENT
    raw |= changes
    made = Router(folder, raw, engine)
    try:
        yield made
    finally:
        made.process.kill()
        made.process.wait()
        engine.close()


def asked(name: str, body: bytes = b"serve") -> bytes:
    return ask(body, X_Correlation_Id=name)


def rest(client: Client, begun: bytes = b"H") -> ResponseParser:
    """Read the rest of a response whose first byte was read."""
    parser = ResponseParser(16384)
    parser.feed(memoryview(begun))
    while not parser.complete:
        seen = client.sock.recv(65536, socket.MSG_PEEK)
        size = seen.find(END) + len(END) if END in seen else max(1, len(seen) - len(END))
        data = client.sock.recv(size)  # no more, so that a following response stays unread
        parser.feed(memoryview(data)) if data else parser.end()
    return parser


def refused(client: Client) -> bool:
    """Whether its next response is a 503 with Retry-After."""
    answer = client.answer()
    return answer.status == 503 and float(answer.fields[b"retry-after"]) > 0


# Requests after SIGTERM on connections that stay open


def test_after_drain_accept_a_kept_connection_is_served(tmp_path: Path) -> None:
    with router(tmp_path, TIMES | {"keep": 5000.0, "move": 9000.0, "answer": 9000.0}) as made:
        kept, fresh = made.used(), made.client()
        made.term()
        wait_until(lambda: not made.listens())
        for client, name in ((kept, "kept"), (fresh, "fresh")):
            assert client.send(asked(name)).answer().status == 200
            client.sock.close()
        made.ends()


def test_after_drain_keep_the_next_request_on_a_busy_connection_is_served(tmp_path: Path) -> None:
    with router(tmp_path, TIMES | {"move": NEVER, "answer": NEVER}) as made:
        idle, busy = made.used(), made.begun("first")
        made.term()
        assert idle.ended()  # drain_keep_ms has passed
        busy.send(asked("next"))
        made.engine.go.set()
        assert rest(busy).status == 200
        answer = busy.answer()
        assert answer.status == 200 and answer.fields[b"connection"] == b"close" and busy.ended()
        made.ends()


def test_after_drain_answer_a_request_is_refused_at_once_and_reaches_no_engine(tmp_path: Path) -> None:
    """A slow reader of a stream keeps its connection open; its next request is read after the stream."""
    with router(tmp_path, TIMES | {"move": NEVER}) as made:
        slow, got = slow_client(made.port, made.engine)
        waiting = made.waiting()
        made.term()
        waiting.answer()  # drain_answer_ms has passed
        slow.send(asked("late"))
        assert rest(slow, got).status == 200
        assert refused(slow) and slow.ended() and not made.engine.got("late")
        made.ends()


def test_without_resumable_streams_each_request_read_ahead_is_refused(tmp_path: Path) -> None:
    with router(tmp_path, TIMES | {"answer": NEVER}, resume=False) as made:
        idle, busy = made.used(), made.begun("first")
        busy.send(asked("second") + asked("third"))
        made.term()
        assert idle.ended()
        busy.send(asked("fourth")[:40])
        made.engine.go.set()
        assert rest(busy).status == 200
        assert refused(busy) and refused(busy)
        busy.send(asked("fourth")[40:])
        assert refused(busy) and busy.ended() and len(made.engine.requests) == 1
        made.ends()


def test_requests_read_ahead_are_answered_in_turn_at_drain_answer(tmp_path: Path) -> None:
    with router(tmp_path) as made:
        waiting = made.waiting().send(asked("second") + asked("third"))
        made.term()
        assert waiting.answer().status == 502  # the request may have run
        assert refused(waiting) and refused(waiting) and waiting.ended()
        assert len(made.engine.requests) == 1
        made.ends()


# Requests half read


@pytest.mark.parametrize("resume", [True, False])
def test_a_request_half_read_at_the_start_of_a_drain_may_be_completed(tmp_path: Path, resume: bool) -> None:
    with router(tmp_path, TIMES | {"move": NEVER, "answer": NEVER}, resume) as made:
        idle, half, fresh = made.used(), made.used(), made.client()
        half.send(asked("half")[:60])
        fresh.send(asked("fresh")[:-1])
        wait_until(lambda: nothing_unsent(half.sock) and nothing_unsent(fresh.sock))
        made.term()
        assert idle.ended()  # drain_keep_ms has passed, or drain_accept_ms if streams can't be resumed
        half.send(asked("half")[60:])
        fresh.send(asked("fresh")[-1:])
        if resume:
            assert half.answer().status == fresh.answer().status == 200
        else:
            assert refused(half) and refused(fresh)
        assert half.ended() and fresh.ended()
        made.ends()


def test_a_request_half_read_at_drain_answer_is_refused(tmp_path: Path) -> None:
    with router(tmp_path) as made:
        half = made.used().send(asked("half")[:60])
        wait_until(lambda: nothing_unsent(half.sock))
        made.term()
        assert refused(half) and half.ended()
        made.ends()


# Connections in the kernel's accept queue


def test_connections_in_the_accept_queue_are_served_before_the_listener_closes(tmp_path: Path) -> None:
    """At the limit of sixteen busy connections, four more wait in the queue with a complete request."""
    limits = {"sockets": 64}
    with router(tmp_path, TIMES | {"move": NEVER, "answer": NEVER}, limits=limits) as made:
        busy = [made.begun(f"busy{n}") for n in range(16)]
        queued = [made.client().send(asked(f"queued{n}")) for n in range(4)]
        made.term()
        gevent.sleep(0.5)  # drain_accept_ms and drain_keep_ms pass; not observable from outside
        assert not any(made.engine.got(f"queued{n}") for n in range(4))
        made.engine.go.set()
        for client in busy:
            assert rest(client).status == 200
            client.sock.close()
        assert [client.answer().status for client in queued] == [200] * 4
        made.ends()


def test_a_connection_in_the_accept_queue_is_served_when_the_address_changes() -> None:
    with running_router(serve_all) as (harness, _), plain.socket() as waits:
        waits.connect(harness.config.listen)  # a plain socket: no other greenlet runs meanwhile
        waits.sendall(ask())
        harness.inbound.apply(replace(harness.config, listen=(LISTEN, free_port())))
        client = Client.__new__(Client)
        client.sock = socket.socket(fileno=os.dup(waits.fileno()))
        assert client.answer().status == 200
        client.sock.close()


def test_a_new_connection_may_still_send_a_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(drainer, "NEWCOMER_MS", NEVER)
    with running_router(options={"drain_accept_ms": 50.0}) as (harness,):
        idle, newcomer = harness.client().send(b"GET /up HTTP/1.1\r\n\r\n"), harness.client()
        idle.answer()
        draining = gevent.spawn(harness.inbound.drain)
        assert idle.ended()
        assert refused(newcomer.send(ask())) and newcomer.ended()
        draining.join()


def test_a_connection_with_an_unread_request_is_not_closed() -> None:
    with running_router(serve_all) as (harness, _):
        client = harness.client()
        for name in ("first", "second"):
            wait_until(lambda: [c for c in harness.inbound._clients if c.idle()])
            client.send(asked(name))  # no other greenlet has run since
            harness.inbound.drainer.close_idle(harness.host.now() + NEVER)
            assert client.answer().status == 200


def test_a_client_that_is_still_reading_its_response_keeps_its_connection(tmp_path: Path) -> None:
    """The response is in the kernel's send buffer, and a request that crosses the close would reset it."""
    with router(tmp_path, TIMES | {"move": NEVER, "answer": NEVER}) as made:
        idle, slow = made.used(), slow_socket(made.port)
        slow.send(asked("slow", b"much"))
        wait_until(lambda: '"served"' in made.log())
        made.term()
        assert idle.ended()  # drain_keep_ms has passed
        slow.send(asked("next"))
        assert rest(slow, b"").status == 200 and slow.answer().status == 200 and slow.ended()
        made.ends()


def test_a_request_is_answered_or_its_connection_is_closed_before_it_is_read(tmp_path: Path) -> None:
    """Clients send requests one after another on kept connections until these are closed."""
    with router(tmp_path, TIMES | {"accept": 30.0, "move": NEVER, "answer": NEVER}) as made:
        clients, answered, unanswered = [made.used() for _ in range(24)], 0, []

        def keep_asking(who: int) -> None:
            nonlocal answered
            for number in range(10_000):
                name = f"{who}-{number}"
                try:
                    answer = clients[who].send(asked(name)).answer()
                except ConnectionError:
                    return unanswered.append(name)
                assert answer.status == 200
                answered += 1
                if answer.fields.get(b"connection") == b"close":
                    return None
                gevent.sleep(0.001 * (who % 5))
            return None

        asking = [gevent.spawn(keep_asking, who) for who in range(24)]
        wait_until(lambda: answered > 100)
        made.term()
        gevent.joinall(asking, raise_error=True)
        made.ends()
        assert answered == len(made.engine.requests) and not any(made.engine.got(name) for name in unanswered)


# Requests that wait for their first event


def test_a_request_that_cannot_have_run_is_refused_and_not_failed(tmp_path: Path) -> None:
    """The engine never accepts the connection."""
    with socket.socket() as full, router(tmp_path, full=full) as made:
        waits = made.client().send(asked("waits"))
        wait_until(lambda: nothing_unsent(waits.sock))
        made.term()
        assert refused(waits) and waits.ended()
        made.ends()


def test_with_an_earlier_sigkill_requests_are_answered_earlier(tmp_path: Path) -> None:
    """SIGKILL comes 2.2 s after SIGTERM; at its own deadline, 2.9 s, the request would get a 504."""
    with router(tmp_path, {}, deadline=1500.0) as made:
        waiting = made.client()
        waiting.send(ask(b"silence", left=2900))
        wait_until(lambda: made.engine.requests)
        made.term()
        assert waiting.answer().status == 502
        made.ends()


@pytest.mark.parametrize(
    ("longest", "resume", "has_successor", "times"),
    [  # accept, keep, refuse, handover, move, answer
        (15_000.0, True, False, (500, 2000, 2800, 1000, 2800, 3200)),
        (3000.0, True, False, (500, 2000, 2800, 1000, 2800, 3200)),
        (3000.0, False, False, (500, 500, 500, 1000, 2800, 3200)),
        (3000.0, False, True, (0, 1000, 2800, 1000, 2800, 3200)),
        (1500.0, True, False, (500, 500, 1300, 500, 1300, 1700)),
        (200.0, True, False, (500, 500, 500, 500, 500, 500)),
        (1500.0, True, True, (0, 0, 1300, 0, 1300, 1700)),
    ],
)
def test_a_drain_is_over_before_sigkill(
    longest: float, resume: bool, has_successor: bool, times: tuple[float, ...]
) -> None:
    raw = make_config([])
    raw["settings"] |= RESUME if resume else {}
    raw["settings"]["Classes"][0]["DeadlineMs"] = longest
    made = shutdown_schedule(parse(msgspec.json.encode(raw)), has_successor)
    steps = (made.at(step) for step in (DrainStep.END_ANSWERS, DrainStep.REFUSE, DrainStep.ANSWER_ALL))
    keep, refuse, answer = steps
    move = made.at(DrainStep.MOVE_STREAMS) if resume else times[4]
    assert (made.accept_ms, keep, refuse, made.handover_ms, move, answer, made.retry_after_ms) == (
        *times,
        500,
    )
    assert made.at(DrainStep.CLOSE_IDLE) == (NEVER_MS if has_successor else keep)
    assert made.at(DrainStep.REFUSE_HALF_READ) == answer and (
        resume or made.at(DrainStep.MOVE_STREAMS) == NEVER_MS
    )
    assert made.at(DrainStep.CLOSE_ALL) == max(made.accept_ms, min(longest, 3000.0) + 700.0)


# Streams


def test_a_running_stream_is_broken_off_unless_its_last_event_was_sent(tmp_path: Path) -> None:
    """The engine has sent its last event, but the end of its response comes after drain_move_ms."""
    with router(tmp_path, TIMES | {"answer": NEVER}) as made:
        runs = made.begun("runs")
        step = Event()

        def late_end(sock: socket.socket, message: Message) -> None:
            sock.sendall(STREAM_HEAD + chunk(EVENTS[0]) + chunk(EVENTS[1]))
            step.wait()
            sock.sendall(chunk(b": X-Backend-Load: queue=0\n\n") + END)

        made.engine.script = late_end
        ending = made.client().send(asked("ending"))
        assert ending.sock.recv(1) == b"H"
        made.term()
        with pytest.raises(ConnectionResetError):
            rest(runs)  # drain_move_ms has passed
        step.set()
        answer = rest(ending)
        assert b"".join(answer.take_body()).endswith(EVENTS[1] + b": X-Backend-Load: queue=0\n\n")
        ending.sock.close()
        made.ends()


def test_a_stream_that_its_engine_has_finished_is_forwarded_to_its_end(tmp_path: Path) -> None:
    """The client reads slowly: at drain_move_ms the end of the stream is unread in the router's kernel."""
    with router(tmp_path, TIMES | {"answer": NEVER}) as made:
        slow, got = slow_client(made.port, made.engine)
        runs = made.begun("runs")
        made.term()
        with pytest.raises(ConnectionResetError):
            rest(runs)  # drain_move_ms has passed
        answer = rest(slow, got)
        assert answer.status == 200 and b"".join(answer.take_body()).endswith(b"data: end\n\n")
        slow.sock.close()
        made.ends()


@pytest.mark.parametrize(
    ("read", "unread", "stays"),
    [
        (chunk(EVENTS[0]), b"", False),
        (chunk(EVENTS[0]), chunk(b"data: 2\n\n"), False),
        (chunk(EVENTS[0]), chunk(b"data: 0\r\n\r\n"), False),
        (chunk(EVENTS[0])[:9], chunk(EVENTS[0])[9:] + END, True),
        (chunk(EVENTS[0]), END, True),
        (chunk(EVENTS[0]) + END[:3], END[3:], True),
        (chunk(EVENTS[0]), b"0\r\nX-Backend-Load: queue=0\r\n\r\n", True),
        (chunk(EVENTS[0]) + END, b"", True),
        (chunk(EVENTS[1]), b"", True),
    ],
)
def test_a_stream_whose_end_has_arrived_at_this_host_must_finish(
    read: bytes, unread: bytes, stays: bool
) -> None:
    engine, sock = socket.socketpair()
    with engine, sock:
        request: Any = None  # not used
        connection = Connection("e", ("", 1), sock, 1)
        underway = InFlightAttempt(Attempt(request, 0, "e", 0.0), connection, ResponseParser(16384))
        underway.parser.feed(memoryview(STREAM_HEAD + read))
        underway.tail = b"".join(underway.parser.take_body())
        engine.sendall(unread)
        assert underway.must_finish() is stays
        engine.close()
        assert underway.must_finish() is stays


def nothing_unsent(sock: socket.socket) -> bool:
    """Whether the peer's host has acknowledged everything that was written."""
    return fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4) == b"\0" * 4


def slow_socket(port: int) -> Client:
    """A client with a small receive buffer."""
    client = Client.__new__(Client)
    client.sock = socket.socket()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.sock.connect((LISTEN, port))
    return client


def slow_client(port: int, engine: Engine) -> tuple[Client, bytes]:
    """A client that has read a part of a stream whose end is unread in the router's kernel."""
    full, finished, block = Event(), Event(), chunk(b"data: " + b"x" * 8000 + b"\n\n")

    def flood(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD)
        sock.settimeout(0.5)
        written = 0
        with suppress(TimeoutError):  # the buffers of both sides are full
            while True:
                written += sock.send(block[written % len(block) :])
        sock.settimeout(None)
        full.set()
        sock.sendall(block[written % len(block) :] + chunk(b"data: end\n\n") + END)
        while not nothing_unsent(sock):
            gevent.sleep(0)
        finished.set()

    play, engine.script = engine.script, flood
    client = slow_socket(port).send(asked("slow"))
    full.wait()
    engine.script, got = play, b""
    while not finished.is_set():
        got += client.sock.recv(1024)
        gevent.sleep(0)
    return client, got


# Handover in an upgrade


def test_in_an_upgrade_requests_read_are_answered_and_the_rest_is_handed_over(tmp_path: Path) -> None:
    engine = Engine()
    with service(tmp_path, engine, options=PATIENT) as made:
        old = made.start()
        idle, half, ahead = (Client(made.port) for _ in range(3))
        assert idle.send(asked("before")).answer().status == 200
        half.send(asked("half")[:60])
        ahead.send(asked("begun", b"begin") + asked("ahead"))
        assert ahead.sock.recv(1) == b"H"
        slow, got = slow_client(made.port, engine)
        wait_until(lambda: nothing_unsent(half.sock))
        made.start()
        made.processes[old].send_signal(signal.SIGTERM)
        wait_until(lambda: "draining" in made.log(old))
        assert idle.send(asked("after")).answer().status == 200
        assert half.send(asked("half")[60:]).answer().status == 200
        engine.go.set()
        assert rest(ahead).status == 200 and ahead.answer().status == 200
        assert rest(slow, got).status == 200
        wait_until(lambda: made.processes[old].poll() is not None)
        assert made.processes[old].returncode == 0 and len(engine.requests) == 6


def test_an_unresponsive_newer_process_does_not_delay_the_drain(tmp_path: Path) -> None:
    """Stopped by a signal, it holds its lock but never responds. SIGKILL would come 3.7 s after SIGTERM."""
    engine = Engine()
    with service(tmp_path, engine, options=PATIENT | {"drain_answer_ms": 1000.0}) as made:
        old = made.start()
        idle = [Client(made.port).send(asked(f"{n}")) for n in range(16)]
        assert all(client.answer().status == 200 for client in idle)
        waiting = Client(made.port).send(asked("waits", b"silence"))
        wait_until(lambda: engine.got("waits"))
        new = made.start()
        made.processes[new].send_signal(signal.SIGSTOP)
        made.processes[old].send_signal(signal.SIGTERM)
        with gevent.Timeout(3.7):
            assert waiting.answer().status == 502 and waiting.ended()
            wait_until(lambda: made.processes[old].poll() is not None)
        assert made.processes[old].returncode == 0
        assert sum(closed(client) for client in idle) == 15  # the newer process may have one
        made.processes[new].send_signal(signal.SIGCONT)


def closed(client: Client) -> bool:
    client.sock.settimeout(0.1)
    try:
        return client.ended()
    except ConnectionResetError:
        return True
    except TimeoutError:
        return False


def test_a_closed_connection_is_not_handed_over() -> None:
    """While another connection is handed over, its client may disconnect."""
    with running_router() as (harness,):
        client = harness.client().send(b"GET /up HTTP/1.1\r\n\r\n")
        client.answer()
        (held,) = harness.inbound._clients
        wait_until(held.idle)
        client.sock.close()
        wait_until(lambda: not harness.inbound._clients)
        assert not held.idle() and not connection_handover.send_idle(held, lambda text, descriptors: True)


def test_a_stream_is_not_broken_off_during_its_handover() -> None:
    asked_for, replied = Event(), Event()

    def send(text: bytes, descriptors: Any) -> bool:
        asked_for.set()
        replied.wait()
        return False

    def in_two(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        replied.wait()
        sock.sendall(chunk(EVENTS[1]) + END)

    with running_router(in_two) as (harness, _):
        harness.host.hand_over = lambda underway: connection_handover.send_stream(
            harness.host, underway, send
        )
        client = harness.client().send(ask())
        asked_for.wait()
        harness.host.move_streams()
        replied.set()
        assert client.answer().status == 200


def test_if_the_newer_process_rejects_connections_and_streams_cannot_resume_requests_are_refused() -> None:
    step, met = Event(), Event()

    def in_two(sock: socket.socket, message: Message) -> None:
        sock.sendall(STREAM_HEAD + chunk(EVENTS[0]))
        step.wait()
        sock.sendall(chunk(EVENTS[1]) + END)

    with running_router(in_two, options={"drain_accept_ms": NEVER, "drain_move_ms": NEVER}) as (
        harness,
        engine,
    ):
        idle, busy = harness.client().send(b"GET /up HTTP/1.1\r\n\r\n"), harness.client().send(ask())
        idle.answer()
        wait_until(lambda: engine.requests)
        draining = gevent.spawn(harness.inbound.drain, lambda client: met.set())
        met.wait()
        busy.send(asked("next"))
        step.set()
        assert busy.answer().status == 200
        assert refused(busy) and busy.ended() and len(engine.requests) == 1
        idle.sock.close()
        draining.join()


def test_a_lingering_connection_does_not_prevent_the_handover_of_idle_ones() -> None:
    met: list[Any] = []

    def pass_on(client: Any) -> bool:
        met.append(client)
        client.detach()
        return True

    with running_router() as (harness,):
        idle, leaving = harness.client(), harness.client()
        leaving.send(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").answer()
        wait_until(lambda: [client for client in harness.inbound._clients if client.lingering])
        draining = gevent.spawn(harness.inbound.drain, pass_on)
        assert idle.ended()
        wait_until(lambda: len(harness.inbound._clients) == 1)
        assert len(met) == 1 and not harness.inbound.drainer.state.reached(
            DrainStep.CLOSE_IDLE, harness.host.now()
        )
        leaving.sock.close()
        draining.join()


def test_a_fault_on_one_connection_leaves_no_request_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    met = Event()

    def fault(retry_after_ms: float) -> None:
        monkeypatch.undo()
        met.set()
        raise ZeroDivisionError

    def silent(sock: socket.socket, message: Message) -> None:
        """Never answer."""

    with running_router(silent, options={f"drain_{name}_ms": 20.0 for name in TIMES}) as (harness, engine):
        waiting = harness.client().send(ask())
        wait_until(lambda: engine.requests)
        monkeypatch.setattr(harness.host, "answer_all", fault)
        draining = gevent.spawn(harness.inbound.drain)
        assert waiting.answer().status == 502 and met.is_set()
        waiting.sock.close()
        draining.join()
