"""A fault proxy on loopback: between routers and engines, it passes, drops, resets, delays or slows bytes.

    python -m spoolbarrow.lab.fault_proxy SECONDS [HOST:]PORT...     prints one listening port a target, then obeys

Each target gets a listener of its own on 127.0.0.1. Lines on standard input set the fault of listeners, by
index (`0,3,4`, or `*` for all): `pass`, `drop` (connections are taken and nothing passes either way),
`reset` (new and open connections are reset), `delay MS` (each piece waits so long), `slow BYTES_PER_S`,
`oneway` (what the router sends passes, nothing comes back). Connections that lost bytes so are reset when
the fault ends, as those of a machine that is back, or GIVE_UP_S after the first, as by a kernel's timers.
Each line is answered `ok` or `error: ...` on standard output. It ends after SECONDS, or when standard input
closes. Connections are bounded (`MOST_OPEN` a listener; beyond that, new ones are reset and counted).
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
MOST_OPEN = 512
CONNECT_S = 2.0
GIVE_UP_S = 2.0
PIECE = 65536
MODES = ("pass", "drop", "reset", "delay", "slow", "oneway")


def _reset(sock: Any) -> None:
    """Close with RST rather than FIN."""
    with suppress(OSError):
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class ProxyListener:
    """One listener before one target, and its fault."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.mode, self.value = "pass", 0.0
        self.open: set[Any] = set()
        self.torn: set[Any] = set()  # of them, those that lost bytes
        self.refused = 0  # connections reset because MOST_OPEN were open
        self.listener = socket.socket()
        self.listener.setsockopt(plain.SOL_SOCKET, plain.SO_REUSEADDR, 1)
        self.listener.bind((HOST, 0))
        self.listener.listen(256)
        self.port: int = self.listener.getsockname()[1]

    def set(self, mode: str, value: float) -> None:
        """Apply a fault from now on; `reset` ends what is open, any other what lost bytes before."""
        self.mode, self.value = mode, value
        for sock in list(self.open if mode == "reset" else self.torn):
            _reset(sock)
            self.open.discard(sock)
        self.torn.clear()

    def serve(self) -> None:
        """Accept for ever."""
        while True:
            client, _ = self.listener.accept()
            if self.mode == "reset" or len(self.open) >= MOST_OPEN:
                self.refused += self.mode != "reset"
                _reset(client)
                continue
            gevent.spawn(self._join, client)

    def _join(self, client: Any) -> None:
        try:
            engine = socket.create_connection(self.target, CONNECT_S)
        except OSError:
            return _reset(client)
        engine.settimeout(None)  # guards against cutting off what is merely silent, as a watch is for 2 s
        self.open |= {client, engine}
        ends = [gevent.spawn(self._pump, client, engine, True)]
        ends.append(gevent.spawn(self._pump, engine, client, False))
        gevent.joinall(ends, count=1)
        gevent.killall(ends, block=False)
        for sock in (client, engine):
            self.open.discard(sock)
            self.torn.discard(sock)
            sock.close()

    def _give_up(self, *ends: Any) -> None:
        for sock in ends:
            if sock in self.torn:  # else the fault has ended, and the connection with it
                _reset(sock)

    def _pump(self, source: Any, sink: Any, outward: bool) -> None:
        try:
            while data := source.recv(PIECE):
                if self.mode == "drop" or (self.mode == "oneway" and not outward):
                    if source not in self.torn:
                        gevent.spawn_later(GIVE_UP_S, self._give_up, source, sink)
                    self.torn |= {source, sink}
                else:
                    self._pass(sink, data)
        except OSError:
            pass

    def _pass(self, sink: Any, data: bytes) -> None:
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
    """Carry out one line of standard input; its answer."""
    words = line.split()
    if len(words) not in (2, 3) or words[1] not in MODES:
        return f"error: want INDEX MODE [VALUE], MODE one of {', '.join(MODES)}"
    chosen = gates
    if words[0] != "*":
        named = words[0].split(",")
        if not all(one.isdigit() and int(one) < len(gates) for one in named):
            return f"error: no listener {words[0]}"
        chosen = [gates[int(one)] for one in named]
    needs = words[1] in ("delay", "slow")
    try:
        value = float(words[2]) if needs else 0.0
    except (IndexError, ValueError):
        return f"error: {words[1]} wants a positive number"
    if needs and value <= 0:
        return f"error: {words[1]} wants a positive number"
    for gate in chosen:
        gate.set(words[1], value)
    return "ok"


def main(argv: list[str]) -> None:
    """Serve the listeners, obey standard input, end in time."""
    loopback.raise_descriptor_limit()
    seconds, targets = float(argv[0]), [target.rpartition(":") for target in argv[1:]]
    gates = [ProxyListener((host or HOST, int(port))) for host, _, port in targets]
    for gate in gates:
        gevent.spawn(gate.serve)
    print(" ".join(str(gate.port) for gate in gates), flush=True)
    serve_commands(seconds, partial(handle_command, gates))


if __name__ == "__main__":
    main(sys.argv[1:])
