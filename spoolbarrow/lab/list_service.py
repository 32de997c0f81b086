"""A stand-in list service: it works calls off in turn, at a rate, and can fail in every way a service does.

    python -m spoolbarrow.lab.list_service SECONDS RATE LINE_MS TIMEOUT_S     prints its port, then obeys

It speaks `GET /discovery/hosts` and `GET /discovery/hosts?stream=1&index=N`, both of which are calls: RATE a
second (0: any number), and LINE_MS more for each line told. A call whose turn has not come after TIMEOUT_S
gets 503; one whose caller has left is worked off all the same, since the service does not know. A watch then
stays open, says an empty line every 2 s, and tells changes (which cost nothing). Router `n` calls at
`loopback.router_address(n)`.

Lines on standard input: `list FILE` (JSON: `index`, and `endpoints`, whose address may be `@:PORT`, at the
caller's own loopback address, or `addresses`, one for each router); `rate RATE [LINE_MS]`; `fail SHARE` of
calls with 503, at their turn; `down` (connections are refused), `reset` (they are taken and reset), `up`,
`restart` (queue and watches are lost); `ROUTERS MODE` (numbers, or `*`) with the mode `pass`, `mute` (watches
say nothing), `deaf` (calls get no answer), `half` (half an answer, then nothing), `cut` (connections are
reset), `full` (calls get 503 at once), `hang` and `stuck` (as `deaf` and `half`, and what was open then never
speaks again); `mark`: counts begin anew; `counts`, answered in JSON. It ends after SECONDS.
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

ALIVE_S = 2.0  # between empty lines
MOST_QUEUED = 4096  # calls; one more gets 503 at once
MOST_OPEN = 8192  # connections; one more is reset
HISTORY = 64  # versions of the list whose changes are known
LEFT_OUT_S = 3600.0  # a wait that any news ends
MODES = ("pass", "mute", "deaf", "half", "cut", "full", "hang", "stuck")
KINDS = ("calls", "failed", "lines")  # that are counted by router and by second
WATCHED = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
FULL = PLAIN_RESPONSE % (b"503 Service Unavailable", b"", 0, b"")

Line = dict[str, Any]


# What decides: pure, times in s


class Call:
    """One call on its way through the queue."""

    __slots__ = ("router", "came", "lines", "served", "done")

    def __init__(self, router: str, came: float, lines: int = 0) -> None:
        self.router, self.came, self.lines = router, came, lines
        self.served = False
        self.done = Event()  # it has left the queue


class FinishedCall(NamedTuple):
    """A call has left the queue: in its turn, where it is `served`, else by the time-out."""

    at: float
    call: Call


class Queue:
    """Calls, worked off one after the other."""

    def __init__(self, rate: float, line_s: float = 0.0, timeout_s: float = 3.0) -> None:
        self.rate, self.line_s, self.timeout_s = rate, line_s, timeout_s
        self._waiting: deque[Call] = deque()  # in the order they came
        self._working: Call | None = None
        self._ends = 0.0  # of the work on it
        self._free = 0.0  # since when it works on none
        self.longest = 0  # calls waiting or being worked on, at most
        self.longest_s = 0.0  # that one waited which was worked on

    def __len__(self) -> int:
        """Calls in it."""
        return len(self._waiting) + (self._working is not None)

    def enter(self, now: float, call: Call) -> bool:
        """It waits from now on; False where there is no room for it."""
        if len(self) >= MOST_QUEUED:
            return False
        self._waiting.append(call)
        self.longest = max(self.longest, len(self))
        return True

    def advance(self, now: float) -> list[FinishedCall]:
        """What has left the queue by now, in order."""
        found: list[FinishedCall] = []
        while True:
            if self._working is not None:
                if self._ends > now:
                    break
                self._working.served = True
                found.append(FinishedCall(self._ends, self._working))
                self._free, self._working = self._ends, None
            if not self._waiting:
                break
            call = self._waiting[0]
            begin = max(self._free, call.came)
            if begin - call.came >= self.timeout_s:
                self._expire(call.came + self.timeout_s, found)
                continue
            self._waiting.popleft()
            self._working = call
            self.longest_s = max(self.longest_s, begin - call.came)
            work = (1.0 / self.rate if self.rate > 0 else 0.0) + self.line_s * call.lines
            self._ends = begin + work
        while self._waiting and self._waiting[0].came + self.timeout_s <= now:
            self._expire(self._waiting[0].came + self.timeout_s, found)
        return sorted(found, key=lambda one: one.at)

    def _expire(self, at: float, found: list[FinishedCall]) -> None:
        found.append(FinishedCall(at, self._waiting.popleft()))

    def next_at(self) -> float | None:
        """When `advance` will next find something; None: not before another call comes."""
        if self._working is None:
            return None
        return min([self._ends, *(call.came + self.timeout_s for call in list(self._waiting)[:1])])

    def lose(self) -> list[Call]:
        """All calls in it, which it forgets."""
        lost = [*([self._working] if self._working is not None else []), *self._waiting]
        self._waiting.clear()
        self._working = None
        return lost


class Versions:
    """The list and how it came to be."""

    def __init__(self) -> None:
        self.index = 0
        self.lines: dict[str, Line] = {}
        self._changes: deque[tuple[int, dict[str, Line]]] = deque(maxlen=HISTORY)  # version: what it changed
        self._oldest = 0  # whose successors' changes are all known

    def publish(self, index: int, lines: list[Line]) -> None:
        """The list is now this, in a higher version."""
        new = {line["name"]: line for line in lines}
        changed = {name: line for name, line in new.items() if self.lines.get(name) != line}
        changed |= {
            name: {**line, "status": "terminated"} for name, line in self.lines.items() if name not in new
        }
        if len(self._changes) == HISTORY:
            self._oldest = self._changes[0][0]
        if self.index == 0:
            self._oldest = index  # the first list has no past
        else:
            self._changes.append((index, changed))
        self.index, self.lines = index, new

    def since(self, index: int) -> tuple[bool, list[Line]]:
        """What who has a version needs: whether that is the whole list, and its lines."""
        if index <= 0 or index < self._oldest or index > self.index:
            return True, list(self.lines.values())
        found: dict[str, Line] = {}
        for version, changed in self._changes:
            if version > index:
                found |= changed
        return False, list(found.values())


class FailureShare:
    """A share of calls that fails, drawn by a seed."""

    def __init__(self, seed: int = 1) -> None:
        self.share, self._draw = 0.0, Random(seed)

    def fails(self) -> bool:
        """Whether this call does."""
        return self.share > 0 and self._draw.random() < self.share


class Counts:
    """What happened since `begun`, by second and by router."""

    def __init__(self, begun: float) -> None:
        self.begun = begun
        self.by_router: dict[str, Counter[str]] = {kind: Counter() for kind in KINDS}
        self.seconds: dict[str, Counter[int]] = {kind: Counter() for kind in KINDS}
        self.queues: dict[int, int] = {}  # the longest of each second
        self.first_s: dict[str, float] = {}  # when a router's first call was answered well
        self.reset = 0

    def _second(self, now: float) -> int:
        return min(int(now - self.begun), MAX_COUNTED_SECONDS)

    def count(self, kind: str, router: str, now: float, many: int = 1) -> None:
        """Calls came or failed, or lines were told."""
        self.by_router[kind][router] += many
        self.seconds[kind][self._second(now)] += many

    def queue(self, now: float, length: int) -> None:
        """So many calls wait or are worked on."""
        second = self._second(now)
        self.queues[second] = max(length, self.queues.get(second, 0))


# What speaks


def line_for_router(router: str, line: Line) -> Line:
    """A line as this router is told it."""
    number = int(router[1:] or 0)
    told = {key: value for key, value in line.items() if key != "addresses"}
    if "addresses" in line:
        return told | {"address": line["addresses"][number]}
    return told | {"address": line["address"].replace("@", loopback.router_address(number), 1)}


class ListService:
    """The service on its socket."""

    def __init__(self, rate: float, line_s: float, timeout_s: float) -> None:
        self.queue = Queue(rate, line_s, timeout_s)
        self.versions, self.share = Versions(), FailureShare()
        self.counts = Counts(time.monotonic())
        self.modes: dict[str, str] = defaultdict(lambda: "pass")
        self.resets = False
        self.watches: dict[Any, tuple[str, int]] = {}  # by connection: whose, and the version it was told
        self._changed = Event()  # set, and replaced, with each change of the list or of a mode
        self._woken = Event()
        self.door = FaultListener(
            lambda sock, router: serve_connection(
                sock, lambda sock, message: self._answer(sock, message, router)
            ),
            self._admits,
        )
        gevent.spawn(self._work)

    def _admits(self, router: str) -> bool:
        well = not self.resets and self.modes[router] != "cut" and len(self.door.open) < MOST_OPEN
        self.counts.reset += not well
        return well

    def _work(self) -> None:
        """Work the queue off."""
        while True:
            self._woken.clear()
            now = time.monotonic()
            for one in self.queue.advance(now):
                one.call.done.set()
            due = self.queue.next_at()
            self._woken.wait(LEFT_OUT_S if due is None else max(0.0, due - time.monotonic()))

    def _turn(self, router: str, lines: int) -> bool:
        """One call: whether its turn came, and it is to be answered well."""
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
        asked = parse_qs(url.query)
        watch = asked.get("stream") == ["1"]
        index = int(asked.get("index", ["0"])[0]) if watch else 0
        if self.modes[router] == "full" or not self._turn(router, len(self.versions.since(index)[1])):
            sock.sendall(FULL)
            return
        if self.modes[router] == "hang":
            Event().wait()  # until the caller has left
        while self.modes[router] == "deaf" or (watch and self.modes[router] == "mute"):
            self._changed.wait()  # until that ends, or the caller has left and its connection with it
        text, index = self._text(router, index, watch)
        if watch:
            self._watch(sock, router, text, index)
            return
        head = PLAIN_RESPONSE % (b"200 OK", b"Content-Type: application/json\r\n", len(text), b"")
        if self.modes[router] in ("half", "stuck"):
            sock.sendall(head + text[: len(text) // 2])
            self._stop_there(router)
            return
        sock.sendall(head + text)
        self._heard(router)

    def _heard(self, router: str) -> None:
        self.counts.first_s.setdefault(router, time.monotonic() - self.counts.begun)

    def _stop_there(self, router: str) -> None:
        """Say nothing more."""
        self.counts.count("failed", router, time.monotonic())
        stuck = self.modes[router] == "stuck"
        while stuck or self.modes[router] == "half":
            self._changed.wait()
        raise OSError("an answer that stopped half-way")

    def _text(self, router: str, index: int, watch: bool) -> tuple[bytes, int]:
        """What a router with this version is told, a line for a watch; and the version that it has then."""
        whole, lines = self.versions.since(index)
        if watch and index == self.versions.index > 0:
            return b"", index
        self.counts.count("lines", router, time.monotonic(), len(lines))
        told = {
            "index": self.versions.index,
            "snapshot": whole,
            "endpoints": [line_for_router(router, line) for line in lines],
        }
        return json.dumps(told).encode(), self.versions.index

    def _watch(self, sock: Any, router: str, text: bytes, index: int) -> None:
        if self.modes[router] in ("half", "stuck"):
            part = text or b"{"
            sock.sendall(WATCHED + b"%x\r\n" % len(part) + part[: len(part) // 2])
            self._stop_there(router)
        sock.sendall(WATCHED + chunk(text + b"\n"))
        self._heard(router)
        self.watches[sock] = router, index
        leaving = gevent.spawn(self._leaving, sock)
        hung = False
        try:
            while sock in self.watches:
                changed = self._changed
                changed.wait(ALIVE_S)
                hung = hung or self.modes[router] in ("hang", "stuck")
                if not hung and self.modes[router] != "mute":
                    text, index = self._text(router, index, True)
                    sock.sendall(chunk(text + b"\n"))
                    self.watches[sock] = router, index
        finally:
            self.watches.pop(sock, None)
            leaving.kill()

    def _leaving(self, sock: Any) -> None:
        """Notice that a watch's caller has gone, and end it."""
        with suppress(OSError):
            sock.recv(1)
        self.watches.pop(sock, None)
        sock.close()

    def notify_change(self) -> None:
        """The list or a mode has changed."""
        self._changed.set()
        self._changed = Event()

    def lose(self) -> None:
        """What a process that ends loses: its queue and its connections."""
        for call in self.queue.lose():
            call.done.set()
        self.door.reset()
        self.notify_change()  # whoever waits finds its connection gone

    def report_counts(self) -> dict[str, Any]:
        """The counts."""
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
        """Count anew."""
        self.counts = Counts(time.monotonic())
        self.queue.longest, self.queue.longest_s = len(self.queue), 0.0

    # Orders

    def obey(self, line: str) -> str:
        """Carry out one line of standard input; its answer."""
        word, *rest = line.split()
        if word == "counts":
            return json.dumps(self.report_counts())
        orders: dict[str, Callable[..., None]] = {"list": self._list, "rate": self._rate, "fail": self._fail}
        try:
            if word in orders:
                orders[word](*rest)
            elif word in ("mark", "down", "reset", "up", "restart") and not rest:
                self._state(word)
            else:
                self._mode(word, *rest)
        except (CommandFailed, ValueError, TypeError, KeyError, OSError) as error:
            return f"error: {line[:80]}: {error}"
        return "ok"

    def _list(self, file: str) -> None:
        told = json.loads(Path(file).read_bytes())
        self.versions.publish(told["index"], told["endpoints"])
        self.notify_change()

    def _rate(self, rate: str, line_ms: str = "0") -> None:
        self.queue.rate, self.queue.line_s = float(rate), float(line_ms) / 1000.0

    def _fail(self, share: str) -> None:
        self.share.share = float(share)

    def _state(self, word: str) -> None:
        if word == "mark":
            return self.mark()
        self.resets = word == "reset"
        self.lose()
        if word == "down":
            self.door.close()
        else:
            self.door.reopen()

    def _mode(self, named: str, mode: str) -> None:
        if mode not in MODES:
            raise CommandFailed(mode, f"want one of {', '.join(MODES)}")
        if named == "*":
            self.modes = defaultdict(lambda: mode)
        else:
            self.modes |= {f"r{int(one)}": mode for one in named.split(",")}
        if mode == "cut":
            for router in set(self.door.open.values()):
                if self.modes[router] == "cut":
                    self.door.reset(router)
        self.notify_change()


def main(argv: list[str]) -> None:
    """Serve, and obey."""
    loopback.raise_descriptor_limit()
    made = ListService(float(argv[1]), float(argv[2]) / 1000.0, float(argv[3]))
    print(made.door.port, flush=True)
    serve_commands(float(argv[0]), made.obey)


if __name__ == "__main__":
    main(sys.argv[1:])
