"""Counts attempts that begin over 0.1 s after their client disconnected, at routers with little CPU time.

    python benchmarks/client_disconnects.py [--short]

Pairs of routers get the same requests at the same times, from clients that disconnect the same way: one
router as it is, one that detects a disconnect only by reading. Each is stopped for part of the time, like a
router with a share of a core. Engines reject requests, respond, never respond, or accept connections late. An
attempt begins when its first bytes reach its engine's machine, by the kernel's clock.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import select
import signal
import struct
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stub_servers
from gevent import socket

from spoolbarrow.net import tcpinfo
from spoolbarrow.net.http1 import RequestParser

ROOT = Path(__file__).resolve().parent.parent
VARIANTS = {
    "as_it_is": "",
    "read_only": "from spoolbarrow.net.client import ClientConnection; "
    "ClientConnection.disconnected = lambda self: self._closed; ",
}
PAIRS = 2
MAX_DELAY_S = 0.1  # as promised to operators
RUN_S, STOP_S = 0.04, 0.16  # a fifth of a core
CLIENTS_PER_S = 25.0  # per pair of routers
MAX_STAY_S = 0.8  # disconnecting clients do so by then
DISCONNECT_SHARE = 0.7  # of all clients
PIPELINED = 8  # requests that some clients send at once: more than a router reads ahead
ACCEPT_INTERVAL_S = 1.5  # between two connections that the late engine accepts
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
RESPONSE = (
    stub_servers.HEAD
    + stub_servers.chunk(stub_servers.EVENT)
    + stub_servers.chunk(b"data: [DONE]\n\n")
    + b"0\r\n\r\n"
)
RESPONSES = (REJECTION, RESPONSE, b"", RESPONSE)  # of each engine; empty: it never responds


class Engines:
    """Engines that record when each request's bytes arrived."""

    def __init__(self) -> None:
        self.attempts_at: dict[str, list[float]] = {}
        self.ports = []
        for number, answer in enumerate(RESPONSES):
            late = number == len(RESPONSES) - 1
            listener = socket.socket()
            listener.bind((stub_servers.HOST, 0))
            listener.listen(0 if late else 1024)
            self.ports.append(listener.getsockname()[1])
            gevent.spawn(self._accept, listener, answer, late)

    def _accept(self, listener: Any, answer: bytes, late: bool) -> None:
        while True:
            if late:
                gevent.sleep(ACCEPT_INTERVAL_S)
            gevent.spawn(self._converse, listener.accept()[0], answer)

    def _converse(self, sock: Any, answer: bytes) -> None:
        parser = RequestParser(16_384, 65_536)
        with suppress(OSError), sock:
            while data := sock.recv(65_536):
                arrived_at = time.monotonic() - tcpinfo.last_received_ms(sock) / 1000
                parser.feed(memoryview(data))
                while parser.complete:
                    message = parser.complete.popleft()
                    name = message.fields.get(b"x-correlation-id", b"").decode()
                    self.attempts_at.setdefault(name, []).append(arrived_at)
                    if answer:
                        gevent.sleep(0.05)
                        sock.sendall(answer)


def settings(port: int, engines: list[int]) -> dict[str, Any]:
    """A router's configuration with a known list, and discovery down."""
    config = stub_servers.config(port, 1)
    config["settings"]["Limits"]["ConnectTimeoutMs"] = 4000.0
    config["known"] = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {"name": f"e{n}", "address": f"{stub_servers.HOST}:{engine_port}", "zone": "a", "type": "m"}
            for n, engine_port in enumerate(engines)
        ],
    }
    return config


def start(
    directory: Path, name: str, prelude: str, engines: list[int]
) -> tuple[subprocess.Popen[bytes], int]:
    """Start a router; returns it and its port once it accepts connections."""
    with socket.socket() as probe:
        probe.bind((stub_servers.HOST, 0))
        port: int = probe.getsockname()[1]
    file = directory / f"{name}.json"
    file.write_bytes(orjson.dumps(settings(port, engines)))
    code = prelude + "import sys; from spoolbarrow.serve import main; sys.exit(main())"
    env = {**os.environ, "NODE_CONFIG": str(file), "PYTHONPATH": str(ROOT)}
    with (directory / f"{name}.log").open("wb") as log:
        process = subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, env=env, stderr=log)
    for _ in range(600):
        with socket.socket() as sock:
            if not sock.connect_ex((stub_servers.HOST, port)):
                return process, port
        gevent.sleep(0.05)
    process.kill()
    raise OSError(f"router {name} never served")


def throttle(processes: list[subprocess.Popen[bytes]], until: float) -> None:
    """Let the processes run for part of the time only; all run at the end."""
    while time.monotonic() < until:
        for one in processes:
            one.send_signal(signal.SIGSTOP)
        gevent.sleep(STOP_S)
        for one in processes:
            one.send_signal(signal.SIGCONT)
        gevent.sleep(RUN_S)


def request(name: str) -> bytes:
    """A request as a client sends it."""
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {name}\r\n"
        f"X-Service-Class: chat\r\nX-Account: acme\r\nX-Time-Left-Ms: 15000\r\n"
        f"X-Facts: prompt_len=40,max_out=8\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


def client(port: int, names: list[str], how: str, stay_s: float, left_at: dict[str, float]) -> None:
    """Send requests, then disconnect or read; records when it disconnected for each of its requests."""
    sock = socket.socket()
    with suppress(OSError), sock:
        sock.connect((stub_servers.HOST, port))
        sock.sendall(b"".join(map(request, names)))
        if how == "stay":
            sock.settimeout(4.0)
            while sock.recv(65_536):
                pass
            return
        # A client with its response disconnects too: only attempts that begin later count then.
        gevent.sleep(stay_s)
        if how == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how == "half":
            sock.shutdown(socket.SHUT_WR)
        else:
            sock.close()
        left_at.update(dict.fromkeys(names, time.monotonic()))  # the disconnect has certainly been sent
        if how == "half":
            gevent.sleep(6.0)


def play(seconds: float, seed: int) -> dict[str, dict[str, int]]:
    """Run both variants; returns the counts of each."""
    engines, left = Engines(), dict[str, float]()
    rows = {kind: dict.fromkeys(("gone", "begun_late", "begun"), 0) for kind in VARIANTS}
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as directory:
        routers: list[tuple[str, subprocess.Popen[bytes], int]] = []
        try:
            for pair in range(PAIRS):
                for kind, prelude in VARIANTS.items():
                    routers.append((kind, *start(Path(directory), f"{kind}{pair}", prelude, engines.ports)))
            end = time.monotonic() + seconds
            greenlets: list[Any] = [gevent.spawn(throttle, [one for _, one, _ in routers], end)]
            number = 0
            while time.monotonic() < end:
                gevent.sleep(rng.expovariate(CLIENTS_PER_S * PAIRS))
                number += 1
                pair, count = rng.randrange(PAIRS), PIPELINED if rng.random() < 0.25 else 1
                way = rng.choice(("close", "reset", "half")) if rng.random() < DISCONNECT_SHARE else "stay"
                stay_s = rng.uniform(0.0, MAX_STAY_S)
                for kind, _, port in routers[pair * len(VARIANTS) : (pair + 1) * len(VARIANTS)]:
                    names = [f"{kind}-{number}-{one}" for one in range(count)]
                    greenlets.append(gevent.spawn(client, port, names, way, stay_s, left))
            gevent.sleep(6.0)  # late attempts begin by then
            gevent.killall(greenlets)
        finally:
            for _, one, _ in routers:
                one.send_signal(signal.SIGCONT)
                one.kill()
                one.wait()
    for name, times in engines.attempts_at.items():
        rows[name.partition("-")[0]]["begun"] += len(times)
    for name, left_at in left.items():
        row = rows[name.partition("-")[0]]
        row["gone"] += 1
        row["begun_late"] += sum(began > left_at + MAX_DELAY_S for began in engines.attempts_at.get(name, ()))
    return rows


def poll_cost_us(times: int = 50_000) -> float:
    """The time of one poll for a client's disconnect, us."""
    with socket.socket() as listener:
        listener.bind((stub_servers.HOST, 0))
        listener.listen(1)
        ours = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
        with ours, theirs:
            started_at = time.perf_counter()
            for _ in range(times):
                poller = select.poll()
                poller.register(theirs.fileno(), select.POLLIN | select.POLLRDHUP)
                poller.poll(0)
            return (time.perf_counter() - started_at) / times * 1e6


def main() -> int:
    """Run, print each variant's counts, and a JSON object last; exit status 1 if an attempt began late."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    found = play(20.0 if parser.parse_args().short else 120.0, 1)
    for kind, row in found.items():
        print(f"{kind}: {row}", flush=True)
    # The other variant must begin attempts late, otherwise the load proves nothing.
    holds = found["as_it_is"]["begun_late"] == 0 < found["read_only"]["begun_late"]
    print(json.dumps({"name": "gone", "holds": holds, "look_us": round(poll_cost_us(), 2), **found}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
