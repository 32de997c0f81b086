"""Stand-in engines with scripted responses, which count what they receive and can have a slow start.

    python -m spoolbarrow.lab.standin SECONDS COUNT [FIGURES]     prints the ports, reads commands

FIGURES (JSON, `cold_engine.ColdEngineParameters`) gives them a capacity, a connection limit, and a crash on
overload in slow start. Commands on standard input: `ENGINES MODE [VALUE]`, the engines by index (`0,3,4`, or
`*`), the mode `well`, `error` (500), `full` (503, unprocessed, with VALUE as `Retry-After`), `slow MS` (to
the first event), `asked` (by each request's `X-Facts`: `lab_first` ms to the first event, then `max_out`
tokens `lab_pace` ms apart, and a usage that reports them), `down` (refuses connections and resets open ones)
or `restart` (a new process, in slow start if there are FIGURES; answered with its start time in Unix ms);
`counts`, answered with what each engine received; `mark`: resets the counts of seconds. It ends after
SECONDS.
"""

from __future__ import annotations

import json
import socket
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
import msgspec

from spoolbarrow.lab import loopback
from spoolbarrow.lab.cold_engine import ColdEngine, ColdEngineParameters
from spoolbarrow.lab.line_commands import serve_commands
from spoolbarrow.lab.wire_engine import (
    EVENT_TEMPLATE,
    LINGER_RESET,
    PLAIN_RESPONSE,
    STREAM_HEAD,
    USAGE_TEMPLATE,
    chunk,
    parse_facts,
)
from spoolbarrow.net.http1 import RequestParser

EVENTS_PER_ANSWER, EVENT_GAP_S = 4, 0.02  # events of a response, and time between them
# Maximum number of values for each mode.
MODE_VALUES = {"well": 0, "error": 0, "full": 1, "slow": 1, "asked": 0, "down": 0, "restart": 0}
MAX_COUNTED_SECONDS = 900  # counted separately; later ones count in the last
KINDS = ("handshakes", "probes", "work")
IDLE_LOAD_REPORT = b"x1=0,load_share=0.1,x0=0.1"


def serve_connection(sock: Any, answer: Callable[[Any, Any], None]) -> None:
    """Answer the requests on a connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    parser = RequestParser(16_384, 262_144)
    try:
        while data := sock.recv(65_536):
            parser.feed(memoryview(data))
            while parser.complete:
                answer(sock, parser.complete.popleft())
    except OSError:
        pass
    finally:
        sock.close()


def reset_connection(sock: Any) -> None:
    """Close a connection with a reset, so that the peer is notified."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


class FaultListener:
    """A listener at all loopback addresses that can be closed and reopened, with its connections."""

    def __init__(self, serve: Callable[[Any, str], None], admit: Callable[[str], bool]) -> None:
        self._serve, self._admit = serve, admit
        self.open: dict[Any, str] = {}  # open connections and their routers
        self._listener: Any = loopback.listen()
        self.port: int = self._listener.getsockname()[1]
        self._accepting = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            router = loopback.router_at(sock.getsockname()[0])
            if self._admit(router):
                self.open[sock] = router
                gevent.spawn(self._run, sock, router)
            else:
                reset_connection(sock)

    def _run(self, sock: Any, router: str) -> None:
        try:
            self._serve(sock, router)
        finally:
            self.open.pop(sock, None)
            sock.close()

    def reset(self, of: str = "") -> None:
        """Reset connections: all, or a router's."""
        for sock, router in list(self.open.items()):
            if not of or router == of:
                self.open.pop(sock, None)
                reset_connection(sock)

    def close(self) -> None:
        """Refuse new connections and reset open ones."""
        if self._listener is not None:
            self._accepting.kill()
            self._listener.close()
            self._listener = None
        self.reset()

    def reopen(self) -> None:
        """Accept connections again; OSError if the port has been taken meanwhile."""
        if self._listener is None:
            self._listener = loopback.listen(self.port)
            self._accepting = gevent.spawn(self._accept)


class StandinEngine:
    """A stand-in engine."""

    def __init__(self, figures: ColdEngineParameters | None = None) -> None:
        self.figures = figures
        self.mode, self.value = "well", 0.0
        self.cold = None if figures is None else ColdEngine(figures, self._now(), cold=False)
        self.incarnation = 0
        self.fallen = False
        self.falls = self.refused = self.full = 0
        self.asked: Counter[str] = Counter()  # requests by the part of their ids before the first `-`
        self.by: dict[str, dict[str, float]] = {kind: defaultdict(float) for kind in KINDS}  # by router
        self.seconds: dict[str, dict[int, float]] = {kind: defaultdict(float) for kind in KINDS}
        self.last: dict[str, float] = {}  # time of each router's last request, Unix s
        self.begun = time.monotonic()
        self.listener = FaultListener(self._converse, self._admit_connection)

    def _now(self) -> float:
        return time.monotonic() * 1000.0

    def mark(self) -> None:
        """Reset the counts of seconds."""
        self.begun = time.monotonic()
        for counted in self.seconds.values():
            counted.clear()

    def _count(self, kind: str, router: str, much: float = 1.0) -> None:
        self.by[kind][router] += much
        if kind == "work":
            self.last[router] = time.time()
        self.seconds[kind][min(int(time.monotonic() - self.begun), MAX_COUNTED_SECONDS)] += much

    def report_counts(self) -> dict[str, Any]:
        """What the engine has received, for `counts`."""
        return {
            "asked": self.asked,
            "probes": int(sum(self.by["probes"].values())),
            "by_router": self.by,
            "seconds": self.seconds,
            "fallen": self.fallen,
            "falls": self.falls,
            "refused": self.refused,
            "full": self.full,
            "incarnation": self.incarnation,
            "connections": len(self.listener.open),
            "last": self.last,
        }

    def set_mode(self, words: list[str]) -> str:
        """Set `MODE [VALUE]`; the response to the command."""
        if not words or words[0] not in MODE_VALUES or len(words) > 1 + MODE_VALUES[words[0]]:
            return f"error: expected one of {', '.join(MODE_VALUES)}"
        try:
            value = float(words[1]) if len(words) == 2 else 0.0
        except ValueError:
            return f"error: {words[0]} needs a number"
        if words[0] == "restart":
            return self._restart()
        self.mode, self.value = words[0], value
        if self.mode == "down":
            self.listener.close()
        elif not self.fallen:
            self.listener.reopen()
        return "ok"

    def _restart(self) -> str:
        self.listener.close()
        self.incarnation += 1
        self.mode, self.fallen = "well", False
        if self.figures is not None:
            self.cold = ColdEngine(self.figures, self._now())
        self.listener.reopen()
        return f"{time.time() * 1000.0:.0f}"

    def _admit_connection(self, router: str) -> bool:
        self._count("handshakes", router)
        admitted = self.figures is None or len(self.listener.open) < self.figures.connections
        self.refused += not admitted
        return admitted

    def _converse(self, sock: Any, router: str) -> None:
        serve_connection(sock, lambda sock, message: self.answer(sock, message, router))

    def answer(self, sock: Any, message: Any, router: str) -> None:
        """Answer a request or a probe."""
        if self.fallen:
            return reset_connection(sock)  # it arrived while the engine crashed
        if message.method == b"GET":
            self._count("probes", router)
            report = IDLE_LOAD_REPORT if self.cold is None else self._report(self.cold)
            sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(report), report))
            return
        self.asked[message.fields.get(b"x-correlation-id", b"").partition(b"-")[0].decode("latin-1")] += 1
        work, now = 1.0, self._now()
        if self.cold is not None:
            work = float(parse_facts(message).get("prompt_len", 0)) / self.cold.figures.mean_prompt or 1.0
        self._count("work", router, work)
        if self.mode == "error":
            sock.sendall(PLAIN_RESPONSE % (b"500 Internal Server Error", b"", 0, b""))
            return
        if self.cold is not None and self.cold.overloads(now, work):
            self.fallen, self.falls = True, self.falls + 1
            return self.listener.close()
        done_at = now if self.cold is None else self.cold.accept(now, work)
        if self.mode == "full" or done_at is None:
            self.full += 1
            retry_after = b"Retry-After: %g\r\n" % self.value if self.value else b""
            sock.sendall(
                PLAIN_RESPONSE % (b"503 Service Unavailable", b"X-Unprocessed: 1\r\n" + retry_after, 0, b"")
            )
            return
        delay_ms = self.value if self.mode == "slow" else 0.0
        gap_s, end = EVENT_GAP_S, b""
        if self.mode == "asked":
            given_facts = parse_facts(message)
            delay_ms, tokens = float(given_facts["lab_first"]), int(given_facts["max_out"])
            gap_s = float(given_facts["lab_pace"]) * (tokens - 1) / (EVENTS_PER_ANSWER - 1) / 1000.0
            end = chunk(USAGE_TEMPLATE % (int(given_facts["prompt_len"]), tokens, 0))
        if done_at + delay_ms > now:
            gevent.sleep((done_at + delay_ms - now) / 1000.0)
        event = EVENT_TEMPLATE % (b"word", b"null")
        sock.sendall(STREAM_HEAD + chunk(event))
        for _ in range(EVENTS_PER_ANSWER - 1):
            gevent.sleep(gap_s)
            sock.sendall(chunk(event))
        sock.sendall(end + chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")

    def _report(self, cold: ColdEngine) -> bytes:
        waiting = cold.queue_length(self._now())
        share = waiting / cold.figures.waiting
        return b"x1=%g,load_share=%g,x0=%g" % (waiting * cold.figures.mean_prompt / 1000.0, share, share)


def handle_command(engines: list[StandinEngine], line: str) -> str:
    """Execute one command; its response."""
    if line == "counts":
        return json.dumps([one.report_counts() for one in engines])
    if line == "mark":
        for one in engines:
            one.mark()
        return "ok"
    selection, *words = line.split()
    chosen = [str(n) for n in range(len(engines))] if selection == "*" else selection.split(",")
    if not all(one.isdigit() and int(one) < len(engines) for one in chosen):
        return f"error: no engine {selection}"
    try:
        return [engines[int(one)].set_mode(words) for one in chosen][-1]
    except OSError as error:
        return f"error: {error}"


def main(argv: list[str]) -> None:
    """Run the engines and the commands."""
    loopback.raise_descriptor_limit()
    figures = msgspec.json.decode(argv[2], type=ColdEngineParameters) if len(argv) > 2 else None
    engines = [StandinEngine(figures) for _ in range(int(argv[1]))]
    print(*[engine.listener.port for engine in engines], flush=True)
    serve_commands(float(argv[0]), lambda line: handle_command(engines, line))


if __name__ == "__main__":
    main(sys.argv[1:])
