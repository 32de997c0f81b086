"""Stand-in engines that record every request, to check a fleet's guarantees to engines.

    python -m spoolbarrow.lab.recorded_engines SECONDS COUNT [FIGURES]     prints ports, reads commands

They accept the commands of `standin`, and: `ENGINES odd SHARE`, that share of requests meets a fault drawn by
the engine's number (`ODD_FAULTS`); `ENGINES hang`, requests are accepted and get no response until the mode
changes, which breaks them; `ENGINES idle MS`, idle connections are closed after this time; `arrivals`,
answered with all requests in JSON; `starts`, answered with the start time of each engine. They never crash:
overload is found from the record. Each event of a response names its request, the attempt and its position;
`lab_gap` in `X-Facts` is the time between events in ms. Times are `time.monotonic` in s, when the kernel
received the bytes.
"""

from __future__ import annotations

import json
import socket
import sys
import time
from contextlib import suppress
from hashlib import sha256
from random import Random
from typing import Any

import gevent
import msgspec

from spoolbarrow.lab import loopback
from spoolbarrow.lab.cold_engine import ColdEngineParameters
from spoolbarrow.lab.line_commands import serve_commands
from spoolbarrow.lab.standin import (
    EVENT_GAP_S,
    EVENTS_PER_ANSWER,
    IDLE_LOAD_REPORT,
    StandinEngine,
    handle_command,
    reset_connection,
)
from spoolbarrow.lab.wire_engine import PLAIN_RESPONSE, STREAM_HEAD, chunk, parse_facts
from spoolbarrow.net import tcpinfo
from spoolbarrow.net.http1 import RequestParser

ODD_FAULTS = ("reset", "break", "end", "error", "full", "stall", "close", "spoilt")
STALL_S = 1.5
MAX_HANG_S = 60.0
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s %s %d"}}]}\n\n'
DONE = b"data: [DONE]\n\n"


def received_at(sock: Any) -> float:
    """When the kernel received the last bytes."""
    return time.monotonic() - tcpinfo.last_received_ms(sock) / 1000.0


class RecordingEngine(StandinEngine):
    """An engine that records its requests."""

    def __init__(self, number: int, figures: ColdEngineParameters | None) -> None:
        super().__init__(figures)
        self.number, self.rng = number, Random(number)
        self.started_at = 0.0  # monotonic s, of this process; 0: long ago
        self.idle_s: float | None = None  # idle timeout of connections; None: none
        self.arrivals: list[dict[str, Any]] = []

    def set_mode(self, words: list[str]) -> str:
        """Set `MODE [VALUE]`: one of its own, or a stand-in's; the response to the command."""
        if words and words[0] == "idle":
            self.idle_s = float(words[1]) / 1000.0
            return "ok"
        if words and words[0] in ("odd", "hang"):
            self.mode, self.value = words[0], float(words[1]) if len(words) == 2 else 0.0
            self.listener.reopen()
            return "ok"
        was_hanging = self.mode == "hang"
        if words and words[0] == "restart":
            self.started_at = time.monotonic()
        response = super().set_mode(words)
        if was_hanging:
            self.listener.reset()
        return response

    def _converse(self, sock: Any, router: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        parser, first = RequestParser(16_384, 262_144), 0.0
        try:
            while True:
                sock.settimeout(self.idle_s)
                data = sock.recv(65_536)
                sock.settimeout(None)
                if not data:
                    return
                if not parser.reading:
                    first = received_at(sock)
                parser.feed(memoryview(data))
                while parser.complete:
                    self._handle_message(sock, parser.complete.popleft(), router, first)
        except OSError:
            pass
        finally:
            sock.close()

    def _handle_message(self, sock: Any, message: Any, router: str, first: float) -> None:
        if message.method == b"GET":
            self._count("probes", router)
            return sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(IDLE_LOAD_REPORT), IDLE_LOAD_REPORT))  # type: ignore[no-any-return]
        given_facts = parse_facts(message)
        mean = self.figures.mean_prompt if self.figures is not None else 0.0
        record = {
            "engine": f"e{self.number}",
            "started_at": self.started_at,
            "router": router,
            "id": message.fields.get(b"x-correlation-id", b"").decode("latin-1"),
            "first_at": first,
            "last_at": received_at(sock),
            "left_ms": float(message.fields.get(b"x-time-left-ms", b"-1")),
            "work": float(given_facts.get("prompt_len", 0)) / mean if mean else 1.0,
            "digest": sha256(message.body).hexdigest(),
            "end": "left",
        }
        self.arrivals.append(record)
        self._count("work", router, record["work"])
        try:
            record["end"] = self._answer(
                sock, record, float(given_facts.get("lab_gap", EVENT_GAP_S * 1000.0)) / 1000.0
            )
        except OSError:
            # Ended by the router, or by this engine, which was reset, closed or restarted.
            record["end"] = "left" if sock in self.listener.open else "broken"
            raise

    def _answer(self, sock: Any, record: dict[str, Any], gap_s: float) -> str:
        """Respond to a request; its outcome here."""
        mode = self.mode
        if mode == "odd":
            mode = self.rng.choice(ODD_FAULTS) if self.rng.random() < self.value else "well"
        if mode in ("reset", "close"):
            reset_connection(sock) if mode == "reset" else sock.shutdown(socket.SHUT_RDWR)
            return "broken"
        if mode == "hang":
            sock.settimeout(MAX_HANG_S)
            while sock.recv(65_536):  # until the router closes it, or the mode changes
                pass
            return "left"
        if mode == "error":
            sock.sendall(PLAIN_RESPONSE % (b"500 Internal Server Error", b"", 0, b""))
            return "error"
        done_at = self._admit(record)
        if mode == "full" or done_at is None:
            sock.sendall(PLAIN_RESPONSE % (b"503 Service Unavailable", b"X-Unprocessed: 1\r\n", 0, b""))
            return "turned away"
        delay = self.value / 1000.0 if mode == "slow" else STALL_S if mode == "stall" else 0.0
        gevent.sleep(max(0.0, done_at + delay - time.monotonic()))
        return self._stream(sock, record, mode, gap_s)

    def _admit(self, record: dict[str, Any]) -> float | None:
        now = time.monotonic()
        if self.cold is None:
            return now
        done_at = self.cold.accept(now * 1000.0, record["work"])
        return None if done_at is None else done_at / 1000.0

    def _stream(self, sock: Any, record: dict[str, Any], mode: str, gap_s: float) -> str:
        attempt, id = b"e%d#%d" % (self.number, len(self.arrivals)), record["id"].encode("latin-1")
        if mode == "spoilt":
            sock.sendall(b"HTTP/1.1 2OO\r\nTransfer-Encoding: chunked, nonsense\r\n\r\nzz\r\n")
            return "broken"
        sock.sendall(STREAM_HEAD + chunk(EVENT % (id, attempt, 0)))
        for position in range(1, EVENTS_PER_ANSWER):
            gevent.sleep(gap_s)
            if mode in ("break", "end") and position == EVENTS_PER_ANSWER // 2:
                reset_connection(sock) if mode == "break" else sock.shutdown(socket.SHUT_RDWR)
                return "broken"
            sock.sendall(chunk(EVENT % (id, attempt, position)))
        sock.sendall(chunk(DONE) + b"0\r\n\r\n")
        return "whole"


def main(argv: list[str]) -> None:
    """Run the engines and the commands."""
    loopback.raise_descriptor_limit()
    figures = msgspec.json.decode(argv[2], type=ColdEngineParameters) if len(argv) > 2 else None
    engines = [RecordingEngine(number, figures) for number in range(int(argv[1]))]
    print(*[engine.listener.port for engine in engines], flush=True)

    def execute(line: str) -> str:
        if line == "arrivals":
            return json.dumps([arrival for engine in engines for arrival in engine.arrivals])
        if line == "starts":
            return json.dumps([engine.started_at for engine in engines])
        return handle_command(engines, line)  # type: ignore[arg-type]

    with suppress(KeyboardInterrupt):
        serve_commands(float(argv[0]), execute)


if __name__ == "__main__":
    main(sys.argv[1:])
