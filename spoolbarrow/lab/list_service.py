"""A stand-in list service that processes calls at a limited rate and can be made to fail in many ways.

    python -m spoolbarrow.lab.list_service SECONDS RATE LINE_MS TIMEOUT_S     prints its port, reads commands

It serves `GET /discovery/hosts` and `GET /discovery/hosts?stream=1&index=N`, both counted as calls: RATE per
second (0: unlimited), and LINE_MS more for each line sent. A call that has waited TIMEOUT_S gets 503; one
whose caller has disconnected is still processed, since the service does not know. A watch then stays open,
sends an empty line every 2 s, and sends changes (at no cost). Router `n` calls `loopback.router_address(n)`.

Commands on standard input: `list FILE` (JSON: `index`, and `endpoints`, whose address may be `@:PORT`, at the
caller's own loopback address, or `addresses`, one per router); `rate RATE [LINE_MS]`; `fail SHARE` of calls
with 503, when they are processed; `down` (connections are refused), `reset` (they are accepted and reset),
`up`, `restart` (queue and watches are lost); `ROUTERS MODE` (numbers, or `*`) with the mode `pass`, `mute`
(watches send nothing), `deaf` (calls get no answer), `half` (half an answer, then nothing), `cut`
(connections are reset), `full` (calls get 503 at once), `hang` and `stuck` (as `deaf` and `half`, and
connections open at that time never send anything again); `mark`: resets the counts; `counts`, answered in
JSON. It ends after SECONDS.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent.event import Event

from spoolbarrow.lab import loopback
from spoolbarrow.lab.line_commands import CommandFailed, serve_commands
from spoolbarrow.lab.standin import MAX_COUNTED_SECONDS, FaultListener, serve_connection
from spoolbarrow.lab.wire_engine import PLAIN_RESPONSE, chunk

KEEPALIVE_S = 2.0  # between empty lines
MAX_QUEUED_CALLS = 4096  # calls; further ones get 503 at once
MAX_CONNECTIONS = 8192  # connections; further ones are reset
MAX_KEPT_CHANGES = 64  # versions of the list whose changes are kept
MAX_WAIT_S = 3600.0  # maximum wait; any event ends it earlier
MODES = ("pass", "mute", "deaf", "half", "cut", "full", "hang", "stuck")
KINDS = ("calls", "failed", "lines")  # counted by router and by second
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
FULL_RESPONSE = PLAIN_RESPONSE % (b"503 Service Unavailable", b"", 0, b"")

Line = dict[str, Any]


# Logic without I/O; times in s


class Call:
    """A call in the queue."""

    __slots__ = ("router", "came", "lines", "served", "done")

    def __init__(self, router: str, came: float, lines: int = 0) -> None:
        self.router, self.came, self.lines = router, came, lines
        self.served = False
        self.done = Event()  # set when it has left the queue


class FinishedCall(NamedTuple):
    """A call that has left the queue: processed if `served`, else timed out."""

    at: float
    call: Call


class Queue:
    """A queue of calls that are processed one after another."""

    def __init__(self, rate: float, line_s: float = 0.0, timeout_s: float = 3.0) -> None:
        self.rate, self.line_s, self.timeout_s = rate, line_s, timeout_s
        self._waiting: deque[Call] = deque()  # in order of arrival
        self._working: Call | None = None
        self._ends = 0.0  # when that call is done
        self._free = 0.0  # since when it has been idle
        self.longest = 0  # maximum number of calls in it
        self.longest_s = 0.0  # longest wait of a processed call

    def __len__(self) -> int:
        """Number of calls that wait or are being processed."""
        return len(self._waiting) + (self._working is not None)

    def enter(self, now: float, call: Call) -> bool:
        """Add a call; False if the queue is full."""
        if len(self) >= MAX_QUEUED_CALLS:
            return False
        self._waiting.append(call)
        self.longest = max(self.longest, len(self))
        return True

    def advance(self, now: float) -> list[FinishedCall]:
        """Process the queue up to now; the calls that have left it, in order."""
        finished: list[FinishedCall] = []
        while True:
            if self._working is not None:
                if self._ends > now:
                    break
                self._working.served = True
                finished.append(FinishedCall(self._ends, self._working))
                self._free, self._working = self._ends, None
            if not self._waiting:
                break
            call = self._waiting[0]
            start = max(self._free, call.came)
            if start - call.came >= self.timeout_s:
                self._expire(call.came + self.timeout_s, finished)
                continue
            self._waiting.popleft()
            self._working = call
            self.longest_s = max(self.longest_s, start - call.came)
            work = (1.0 / self.rate if self.rate > 0 else 0.0) + self.line_s * call.lines
            self._ends = start + work
        while self._waiting and self._waiting[0].came + self.timeout_s <= now:
            self._expire(self._waiting[0].came + self.timeout_s, finished)
        return sorted(finished, key=lambda one: one.at)

    def _expire(self, at: float, finished: list[FinishedCall]) -> None:
        finished.append(FinishedCall(at, self._waiting.popleft()))

    def next_at(self) -> float | None:
        """When the next call will leave the queue; None if it is empty."""
        if self._working is None:
            return None
        return min([self._ends, *(call.came + self.timeout_s for call in list(self._waiting)[:1])])

    def lose(self) -> list[Call]:
        """Drop and return all calls in the queue."""
        lost = [*([self._working] if self._working is not None else []), *self._waiting]
        self._waiting.clear()
        self._working = None
        return lost


class Versions:
    """The list and its recent changes."""

    def __init__(self) -> None:
        self.index = 0
        self.lines: dict[str, Line] = {}
        # version, changed lines
        self._changes: deque[tuple[int, dict[str, Line]]] = deque(maxlen=MAX_KEPT_CHANGES)
        self._oldest = 0  # oldest version since which all changes are kept

    def publish(self, index: int, lines: list[Line]) -> None:
        """Replace the list, in a higher version."""
        new = {line["name"]: line for line in lines}
        changed = {name: line for name, line in new.items() if self.lines.get(name) != line}
        changed |= {
            name: {**line, "status": "terminated"} for name, line in self.lines.items() if name not in new
        }
        if len(self._changes) == MAX_KEPT_CHANGES:
            self._oldest = self._changes[0][0]
        if self.index == 0:
            self._oldest = index  # the first list has no changes
        else:
            self._changes.append((index, changed))
        self.index, self.lines = index, new

    def since(self, index: int) -> tuple[bool, list[Line]]:
        """What a caller with this version needs: whether it is the whole list, and its lines."""
        if index <= 0 or index < self._oldest or index > self.index:
            return True, list(self.lines.values())
        changes: dict[str, Line] = {}
        for version, changed in self._changes:
            if version > index:
                changes |= changed
        return False, list(changes.values())


class FailureShare:
    """Draws by a seed which share of calls fails."""

    def __init__(self, seed: int = 1) -> None:
        self.share, self._draw = 0.0, Random(seed)

    def fails(self) -> bool:
        """Whether the next call fails."""
        return self.share > 0 and self._draw.random() < self.share


class Counts:
    """Counts since `begun`, by second and by router."""

    def __init__(self, begun: float) -> None:
        self.begun = begun
        self.by_router: dict[str, Counter[str]] = {kind: Counter() for kind in KINDS}
        self.seconds: dict[str, Counter[int]] = {kind: Counter() for kind in KINDS}
        self.queues: dict[int, int] = {}  # maximum length by second
        self.first_s: dict[str, float] = {}  # when a router's first call succeeded
        self.reset = 0

    def _second(self, now: float) -> int:
        return min(int(now - self.begun), MAX_COUNTED_SECONDS)

    def count(self, kind: str, router: str, now: float, many: int = 1) -> None:
        """Count calls, failed calls or sent lines."""
        self.by_router[kind][router] += many
        self.seconds[kind][self._second(now)] += many

    def queue(self, now: float, length: int) -> None:
        """Record the number of calls in the queue."""
        second = self._second(now)
        self.queues[second] = max(length, self.queues.get(second, 0))


# Network service


def line_for_router(router: str, line: Line) -> Line:
    """A line with the address that this router gets."""
    number = int(router[1:] or 0)
    result = {key: value for key, value in line.items() if key != "addresses"}
    if "addresses" in line:
        return result | {"address": line["addresses"][number]}
    return result | {"address": line["address"].replace("@", loopback.router_address(number), 1)}


class ListService:
    """The service with its sockets and commands."""

    def __init__(self, rate: float, line_s: float, timeout_s: float) -> None:
        self.queue = Queue(rate, line_s, timeout_s)
        self.versions, self.share = Versions(), FailureShare()
        self.counts = Counts(time.monotonic())
        self.modes: dict[str, str] = defaultdict(lambda: "pass")
        self.resets = False
        self.watches: dict[Any, tuple[str, int]] = {}  # by connection: router and the version sent to it
        self._changed = Event()  # set and replaced at each change of the list or a mode
        self._woken = Event()
        self.listener = FaultListener(
            lambda sock, router: serve_connection(
                sock, lambda sock, message: self._answer(sock, message, router)
            ),
            self._admit,
        )
        gevent.spawn(self._work)

    def _admit(self, router: str) -> bool:
        admitted = (
            not self.resets and self.modes[router] != "cut" and len(self.listener.open) < MAX_CONNECTIONS
        )
        self.counts.reset += not admitted
        return admitted

    def _work(self) -> None:
        """Process the queue for ever."""
        while True:
            self._woken.clear()
            now = time.monotonic()
            for one in self.queue.advance(now):
                one.call.done.set()
            due = self.queue.next_at()
            self._woken.wait(MAX_WAIT_S if due is None else max(0.0, due - time.monotonic()))

    def _process(self, router: str, lines: int) -> bool:
        """Queue one call; whether it was processed and succeeds."""
        now = time.monotonic()
        self.counts.count("calls", router, now)
        call = Call(router, now, lines)
        entered = self.queue.enter(now, call)
        if entered:
            self.counts.queue(now, len(self.queue))
            self._woken.set()
            call.done.wait()
        if not call.served or self.share.fails():
            self.counts.count("failed", router, time.monotonic())
            return False
        return True

    def _answer(self, sock: Any, message: Any, router: str) -> None:
        url = urlsplit(message.target.decode("latin-1"))
        query = parse_qs(url.query)
        watch = query.get("stream") == ["1"]
        index = int(query.get("index", ["0"])[0]) if watch else 0
        if self.modes[router] == "full" or not self._process(router, len(self.versions.since(index)[1])):
            sock.sendall(FULL_RESPONSE)
            return
        if self.modes[router] == "hang":
            Event().wait()  # until the caller disconnects
        while self.modes[router] == "deaf" or (watch and self.modes[router] == "mute"):
            self._changed.wait()  # until the mode changes or the caller disconnects
        text, index = self._response(router, index, watch)
        if watch:
            self._watch(sock, router, text, index)
            return
        head = PLAIN_RESPONSE % (b"200 OK", b"Content-Type: application/json\r\n", len(text), b"")
        if self.modes[router] in ("half", "stuck"):
            sock.sendall(head + text[: len(text) // 2])
            self._stall(router)
            return
        sock.sendall(head + text)
        self._count_first(router)

    def _count_first(self, router: str) -> None:
        self.counts.first_s.setdefault(router, time.monotonic() - self.counts.begun)

    def _stall(self, router: str) -> None:
        """Send nothing more."""
        self.counts.count("failed", router, time.monotonic())
        stuck = self.modes[router] == "stuck"
        while stuck or self.modes[router] == "half":
            self._changed.wait()
        raise OSError("response stopped half-way")

    def _response(self, router: str, index: int, watch: bool) -> tuple[bytes, int]:
        """The response for a router with this version, one line for a watch, and the version it then has."""
        whole, lines = self.versions.since(index)
        if watch and index == self.versions.index > 0:
            return b"", index
        self.counts.count("lines", router, time.monotonic(), len(lines))
        document = {
            "index": self.versions.index,
            "snapshot": whole,
            "endpoints": [line_for_router(router, line) for line in lines],
        }
        return json.dumps(document).encode(), self.versions.index

    def _watch(self, sock: Any, router: str, text: bytes, index: int) -> None:
        if self.modes[router] in ("half", "stuck"):
            line = text or b"{"
            sock.sendall(WATCH_HEAD + b"%x\r\n" % len(line) + line[: len(line) // 2])
            self._stall(router)
        sock.sendall(WATCH_HEAD + chunk(text + b"\n"))
        self._count_first(router)
        self.watches[sock] = router, index
        disconnect = gevent.spawn(self._watch_disconnect, sock)
        hangs = False
        try:
            while sock in self.watches:
                changed = self._changed
                changed.wait(KEEPALIVE_S)
                hangs = hangs or self.modes[router] in ("hang", "stuck")
                if not hangs and self.modes[router] != "mute":
                    text, index = self._response(router, index, True)
                    sock.sendall(chunk(text + b"\n"))
                    self.watches[sock] = router, index
        finally:
            self.watches.pop(sock, None)
            disconnect.kill()

    def _watch_disconnect(self, sock: Any) -> None:
        """End a watch when its caller disconnects."""
        with suppress(OSError):
            sock.recv(1)
        self.watches.pop(sock, None)
        sock.close()

    def notify_change(self) -> None:
        """Wake watches after a change of the list or a mode."""
        self._changed.set()
        self._changed = Event()

    def lose(self) -> None:
        """Lose the queue and all connections, as a process that ends does."""
        for call in self.queue.lose():
            call.done.set()
        self.listener.reset()
        self.notify_change()  # waiting greenlets find their connections closed

    def report_counts(self) -> dict[str, Any]:
        """The counts, for `counts`."""
        counts = self.counts
        return {
            **counts.by_router,
            "seconds": counts.seconds | {"queue": counts.queues},
            "first_s": counts.first_s,
            "reset": counts.reset,
            "known": dict(self.watches.values()),
            "index": self.versions.index,
            "queued": len(self.queue),
            "longest": self.queue.longest,
            "longest_s": self.queue.longest_s,
        }

    def mark(self) -> None:
        """Reset the counts."""
        self.counts = Counts(time.monotonic())
        self.queue.longest, self.queue.longest_s = len(self.queue), 0.0

    # Commands

    def execute(self, line: str) -> str:
        """Execute one command; its response."""
        command, *rest = line.split()
        if command == "counts":
            return json.dumps(self.report_counts())
        commands: dict[str, Callable[..., None]] = {
            "list": self._list,
            "rate": self._rate,
            "fail": self._fail,
        }
        try:
            if command in commands:
                commands[command](*rest)
            elif command in ("mark", "down", "reset", "up", "restart") and not rest:
                self._state(command)
            else:
                self._mode(command, *rest)
        except (CommandFailed, ValueError, TypeError, KeyError, OSError) as error:
            return f"error: {line[:80]}: {error}"
        return "ok"

    def _list(self, file: str) -> None:
        document = json.loads(Path(file).read_bytes())
        self.versions.publish(document["index"], document["endpoints"])
        self.notify_change()

    def _rate(self, rate: str, line_ms: str = "0") -> None:
        self.queue.rate, self.queue.line_s = float(rate), float(line_ms) / 1000.0

    def _fail(self, share: str) -> None:
        self.share.share = float(share)

    def _state(self, command: str) -> None:
        if command == "mark":
            return self.mark()
        self.resets = command == "reset"
        self.lose()
        if command == "down":
            self.listener.close()
        else:
            self.listener.reopen()

    def _mode(self, named: str, mode: str) -> None:
        if mode not in MODES:
            raise CommandFailed(mode, f"expected one of {', '.join(MODES)}")
        if named == "*":
            self.modes = defaultdict(lambda: mode)
        else:
            self.modes |= {f"r{int(one)}": mode for one in named.split(",")}
        if mode == "cut":
            for router in set(self.listener.open.values()):
                if self.modes[router] == "cut":
                    self.listener.reset(router)
        self.notify_change()


def main(argv: list[str]) -> None:
    """Run the service and its commands."""
    loopback.raise_descriptor_limit()
    service = ListService(float(argv[1]), float(argv[2]) / 1000.0, float(argv[3]))
    print(service.listener.port, flush=True)
    serve_commands(float(argv[0]), service.execute)


if __name__ == "__main__":
    main(sys.argv[1:])
