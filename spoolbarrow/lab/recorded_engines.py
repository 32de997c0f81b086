"""Stand-in engines that keep every request they had: for checks of what a fleet owes to engines.

    python -m spoolbarrow.lab.recorded_engines SECONDS COUNT [FIGURES]     prints the ports, then obeys

They obey what `standin` does, and: `ENGINES odd SHARE`, by which that share of requests meets a trouble,
drawn by the engine's number (`ODD_FAULTS`); `ENGINES hang`, by which requests are taken and nothing comes back
until the mode changes, which breaks them; `ENGINES idle MS`, after which a connection that stands idle is
closed; `arrivals`, answered with all requests in JSON; `starts`, with when each engine was started. They
never fall: what is too much is found out from the record. Each event of an answer names its request, the
attempt and its place there; `lab_gap` in `X-Facts` tells the ms between them. Times are `time.monotonic` when
the kernel had the bytes, in s.
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
LONGEST_HANG_S = 60.0
WORD = b'data: {"choices":[{"index":0,"delta":{"content":"%s %s %d"}}]}\n\n'
DONE = b"data: [DONE]\n\n"


def received_at(sock: Any) -> float:
    """When the kernel had the last bytes that came."""
    return time.monotonic() - tcpinfo.last_received_ms(sock) / 1000.0


class RecordingEngine(StandinEngine):
    """One engine."""

    def __init__(self, number: int, figures: ColdEngineParameters | None) -> None:
        super().__init__(figures)
        self.number, self.rng = number, Random(number)
        self.started_at = 0.0  # monotonic s, of this process; 0: long ago
        self.idle_s: float | None = None  # a connection that stands idle for so long is closed; None: none
        self.arrivals: list[dict[str, Any]] = []

    def set_mode(self, words: list[str]) -> str:
        """Go by `MODE [VALUE]`: an own one, or a stand-in's."""
        if words and words[0] == "idle":
            self.idle_s = float(words[1]) / 1000.0
            return "ok"
        if words and words[0] in ("odd", "hang"):
            self.mode, self.value = words[0], float(words[1]) if len(words) == 2 else 0.0
            self.listener.reopen()
            return "ok"
        hung = self.mode == "hang"
        if words and words[0] == "restart":
            self.started_at = time.monotonic()
        said = super().set_mode(words)
        if hung:
            self.listener.reset()
        return said

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
                    self._take(sock, parser.complete.popleft(), router, first)
        except OSError:
            pass
        finally:
            sock.close()

    def _take(self, sock: Any, message: Any, router: str, first: float) -> None:
        if message.method == b"GET":
            self._count("probes", router)
            return sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(IDLE_LOAD_REPORT), IDLE_LOAD_REPORT))  # type: ignore[no-any-return]
        told = parse_facts(message)
        mean = self.figures.mean_prompt if self.figures is not None else 0.0
        one = {
            "engine": f"e{self.number}",
            "started_at": self.started_at,
            "router": router,
            "id": message.fields.get(b"x-correlation-id", b"").decode("latin-1"),
            "first_at": first,
            "last_at": received_at(sock),
            "left_ms": float(message.fields.get(b"x-time-left-ms", b"-1")),
            "work": float(told.get("prompt_len", 0)) / mean if mean else 1.0,
            "digest": sha256(message.body).hexdigest(),
            "end": "left",
        }
        self.arrivals.append(one)
        self._count("work", router, one["work"])
        try:
            one["end"] = self._answer(sock, one, float(told.get("lab_gap", EVENT_GAP_S * 1000.0)) / 1000.0)
        except OSError:
            # The router's end, or this engine's: it was reset, shut or restarted.
            one["end"] = "left" if sock in self.listener.open else "broken"
            raise

    def _answer(self, sock: Any, one: dict[str, Any], gap_s: float) -> str:
        """What became of the request here."""
        mode = self.mode
        if mode == "odd":
            mode = self.rng.choice(ODD_FAULTS) if self.rng.random() < self.value else "well"
        if mode in ("reset", "close"):
            reset_connection(sock) if mode == "reset" else sock.shutdown(socket.SHUT_RDWR)
            return "broken"
        if mode == "hang":
            sock.settimeout(LONGEST_HANG_S)
            while sock.recv(65_536):  # ends by the router's end, or with the mode
                pass
            return "left"
        if mode == "error":
            sock.sendall(PLAIN_RESPONSE % (b"500 Internal Server Error", b"", 0, b""))
            return "error"
        taken = self._turn(one)
        if mode == "full" or taken is None:
            sock.sendall(PLAIN_RESPONSE % (b"503 Service Unavailable", b"X-Unprocessed: 1\r\n", 0, b""))
            return "turned away"
        late = self.value / 1000.0 if mode == "slow" else STALL_S if mode == "stall" else 0.0
        gevent.sleep(max(0.0, taken + late - time.monotonic()))
        return self._stream(sock, one, mode, gap_s)

    def _turn(self, one: dict[str, Any]) -> float | None:
        now = time.monotonic()
        if self.cold is None:
            return now
        taken = self.cold.accept(now * 1000.0, one["work"])
        return None if taken is None else taken / 1000.0

    def _stream(self, sock: Any, one: dict[str, Any], mode: str, gap_s: float) -> str:
        attempt, id = b"e%d#%d" % (self.number, len(self.arrivals)), one["id"].encode("latin-1")
        if mode == "spoilt":
            sock.sendall(b"HTTP/1.1 2OO\r\nTransfer-Encoding: chunked, nonsense\r\n\r\nzz\r\n")
            return "broken"
        sock.sendall(STREAM_HEAD + chunk(WORD % (id, attempt, 0)))
        for place in range(1, EVENTS_PER_ANSWER):
            gevent.sleep(gap_s)
            if mode in ("break", "end") and place == EVENTS_PER_ANSWER // 2:
                reset_connection(sock) if mode == "break" else sock.shutdown(socket.SHUT_RDWR)
                return "broken"
            sock.sendall(chunk(WORD % (id, attempt, place)))
        sock.sendall(chunk(DONE) + b"0\r\n\r\n")
        return "whole"


def main(argv: list[str]) -> None:
    """Serve the engines, and obey."""
    loopback.raise_descriptor_limit()
    figures = msgspec.json.decode(argv[2], type=ColdEngineParameters) if len(argv) > 2 else None
    made = [RecordingEngine(number, figures) for number in range(int(argv[1]))]
    print(*[one.listener.port for one in made], flush=True)

    def carry_out(line: str) -> str:
        if line == "arrivals":
            return json.dumps([arrival for one in made for arrival in one.arrivals])
        if line == "starts":
            return json.dumps([one.started_at for one in made])
        return handle_command(made, line)  # type: ignore[arg-type]

    with suppress(KeyboardInterrupt):
        serve_commands(float(argv[0]), carry_out)


if __name__ == "__main__":
    main(sys.argv[1:])
