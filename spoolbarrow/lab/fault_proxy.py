"""A fault-injecting proxy on loopback that passes, drops, resets, delays or slows connections.

    python -m spoolbarrow.lab.fault_proxy SECONDS [HOST:]PORT...     prints a port per target, reads commands

Each target gets a listener of its own on 127.0.0.1. Commands on standard input set the fault of listeners, by
index (`0,3,4`, or `*` for all): `pass`, `drop` (connections are accepted and nothing passes in either
direction), `reset` (new and open connections are reset), `delay MS` (for each piece), `slow BYTES_PER_S`,
`oneway` (what the router sends passes, nothing comes back). Connections that lost bytes are reset when the
fault ends, as by a machine that is back, or LOSS_TIMEOUT_S after the first loss, as by a kernel's timers.
Each command is answered `ok` or `error: ...` on standard output. It ends after SECONDS, or when standard
input closes. Connections are bounded (`MAX_CONNECTIONS` per listener; further ones are reset and counted).
"""

from __future__ import annotations

import socket as plain
import struct
import sys
from contextlib import suppress
from functools import partial
from typing import Any

import gevent
from gevent import socket

from spoolbarrow.lab import loopback
from spoolbarrow.lab.line_commands import serve_commands

HOST = "127.0.0.1"
MAX_CONNECTIONS = 512
CONNECT_TIMEOUT_S = 2.0
LOSS_TIMEOUT_S = 2.0
PIECE_BYTES = 65536
MODES = ("pass", "drop", "reset", "delay", "slow", "oneway")


def _reset(sock: Any) -> None:
    """Close with RST instead of FIN."""
    with suppress(OSError):
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class ProxyListener:
    """A listener in front of one target, with its fault."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.mode, self.value = "pass", 0.0
        self.open: set[Any] = set()
        self.lossy: set[Any] = set()  # open connections that have lost bytes
        self.refused = 0  # connections reset because MAX_CONNECTIONS were open
        self.listener = socket.socket()
        self.listener.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
        self.listener.bind((HOST, 0))
        self.listener.listen(256)
        self.port: int = self.listener.getsockname()[1]

    def set(self, mode: str, value: float) -> None:
        """Set the fault; `reset` ends open connections, any other those that have lost bytes."""
        self.mode, self.value = mode, value
        for sock in list(self.open if mode == "reset" else self.lossy):
            _reset(sock)
            self.open.discard(sock)
        self.lossy.clear()

    def serve(self) -> None:
        """Accept connections for ever."""
        while True:
            client, _ = self.listener.accept()
            if self.mode == "reset" or len(self.open) >= MAX_CONNECTIONS:
                self.refused += self.mode != "reset"
                _reset(client)
                continue
            gevent.spawn(self._connect, client)

    def _connect(self, client: Any) -> None:
        try:
            engine = socket.create_connection(self.target, CONNECT_TIMEOUT_S)
        except OSError:
            return _reset(client)
        engine.settimeout(None)  # idle connections must not time out: a watch is idle for 2 s
        self.open |= {client, engine}
        ends = [gevent.spawn(self._copy, client, engine, True)]
        ends.append(gevent.spawn(self._copy, engine, client, False))
        gevent.joinall(ends, count=1)
        gevent.killall(ends, block=False)
        for sock in (client, engine):
            self.open.discard(sock)
            self.lossy.discard(sock)
            sock.close()

    def _give_up(self, *ends: Any) -> None:
        for sock in ends:
            if sock in self.lossy:  # otherwise the fault has ended, and the connection with it
                _reset(sock)

    def _copy(self, source: Any, sink: Any, to_target: bool) -> None:
        try:
            while data := source.recv(PIECE_BYTES):
                if self.mode == "drop" or (self.mode == "oneway" and not to_target):
                    if source not in self.lossy:
                        gevent.spawn_later(LOSS_TIMEOUT_S, self._give_up, source, sink)
                    self.lossy |= {source, sink}
                else:
                    self._forward(sink, data)
        except OSError:
            pass

    def _forward(self, sink: Any, data: bytes) -> None:
        mode = self.mode
        if mode == "delay":
            gevent.sleep(self.value / 1000)
        if mode == "slow":
            for at in range(0, len(data), 64):
                sink.sendall(data[at : at + 64])
                gevent.sleep(64 / self.value)
            return
        sink.sendall(data)


def handle_command(gates: list[ProxyListener], line: str) -> str:
    """Execute one command; its response."""
    words = line.split()
    if len(words) not in (2, 3) or words[1] not in MODES:
        return f"error: expected INDEX MODE [VALUE], MODE one of {', '.join(MODES)}"
    chosen = gates
    if words[0] != "*":
        indices = words[0].split(",")
        if not all(index.isdigit() and int(index) < len(gates) for index in indices):
            return f"error: no listener {words[0]}"
        chosen = [gates[int(index)] for index in indices]
    needs = words[1] in ("delay", "slow")
    try:
        value = float(words[2]) if needs else 0.0
    except (IndexError, ValueError):
        return f"error: {words[1]} needs a positive number"
    if needs and value <= 0:
        return f"error: {words[1]} needs a positive number"
    for gate in chosen:
        gate.set(words[1], value)
    return "ok"


def main(argv: list[str]) -> None:
    """Run the listeners and the commands."""
    loopback.raise_descriptor_limit()
    seconds, targets = float(argv[0]), [target.rpartition(":") for target in argv[1:]]
    gates = [ProxyListener((host or HOST, int(port))) for host, _, port in targets]
    for gate in gates:
        gevent.spawn(gate.serve)
    print(" ".join(str(gate.port) for gate in gates), flush=True)
    serve_commands(seconds, partial(handle_command, gates))


if __name__ == "__main__":
    main(sys.argv[1:])
