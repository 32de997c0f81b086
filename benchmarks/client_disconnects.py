"""Clients that go: attempts begun over 0.1 s after that, by routers with little processor time.

    python benchmarks/client_disconnects.py [--short]

Pairs of routers get the same requests at the same times, from clients that go the same way: one as it is,
one that knows of a client's end only what it has read. Each runs for a part of the time only, as one that
gets a part of a core. Engines turn away, answer, stay silent, or take connections late. An attempt's
beginning is when its first bytes came to its engine's machine, by the kernel's clock.
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
KINDS = {
    "as_it_is": "",
    "read_only": "from spoolbarrow.net.client import ClientConnection; "
    "ClientConnection.disconnected = lambda self: self._closed; ",
}
PAIRS = 2
ALLOWED_S = 0.1  # the operators' term
RUN_S, STOP_S = 0.04, 0.16  # a fifth of a core
RATE = 25.0  # clients a second and pair
LONGEST_S = 0.8  # clients that go do so by then
GOING = 0.7  # of all clients
MORE = 8  # requests that some send at once: more than a router reads ahead
LATE_S = 1.5  # between two connections that the late engine takes
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
SERVED = (
    stub_servers.HEAD
    + stub_servers.chunk(stub_servers.EVENT)
    + stub_servers.chunk(b"data: [DONE]\n\n")
    + b"0\r\n\r\n"
)
ANSWERS = (TURNED_AWAY, SERVED, b"", SERVED)  # of each engine; nothing: it stays silent


class Engines:
    """Engines that note when each request's bytes came."""

    def __init__(self) -> None:
        self.begun: dict[str, list[float]] = {}
        self.ports = []
        for number, answer in enumerate(ANSWERS):
            late = number == len(ANSWERS) - 1
            listener = socket.socket()
            listener.bind((stub_servers.HOST, 0))
            listener.listen(0 if late else 1024)
            self.ports.append(listener.getsockname()[1])
            gevent.spawn(self._accept, listener, answer, late)

    def _accept(self, listener: Any, answer: bytes, late: bool) -> None:
        while True:
            if late:
                gevent.sleep(LATE_S)
            gevent.spawn(self._converse, listener.accept()[0], answer)

    def _converse(self, sock: Any, answer: bytes) -> None:
        parser = RequestParser(16_384, 65_536)
        with suppress(OSError), sock:
            while data := sock.recv(65_536):
                came = time.monotonic() - tcpinfo.last_received_ms(sock) / 1000
                parser.feed(memoryview(data))
                while parser.complete:
                    message = parser.complete.popleft()
                    name = message.fields.get(b"x-correlation-id", b"").decode()
                    self.begun.setdefault(name, []).append(came)
                    if answer:
                        gevent.sleep(0.05)
                        sock.sendall(answer)


def settings(port: int, engines: list[int]) -> dict[str, Any]:
    """A router's configuration: its list is known, and discovery is down."""
    made = stub_servers.config(port, 1)
    made["settings"]["Limits"]["ConnectTimeoutMs"] = 4000.0
    made["known"] = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {"name": f"e{n}", "address": f"{stub_servers.HOST}:{one}", "zone": "a", "type": "m"}
            for n, one in enumerate(engines)
        ],
    }
    return made


def start(directory: Path, name: str, before: str, engines: list[int]) -> tuple[subprocess.Popen[bytes], int]:
    """A router, and its port; it serves."""
    with socket.socket() as probe:
        probe.bind((stub_servers.HOST, 0))
        port: int = probe.getsockname()[1]
    file = directory / f"{name}.json"
    file.write_bytes(orjson.dumps(settings(port, engines)))
    code = before + "import sys; from spoolbarrow.serve import main; sys.exit(main())"
    told = {**os.environ, "NODE_CONFIG": str(file), "PYTHONPATH": str(ROOT)}
    with (directory / f"{name}.log").open("wb") as log:
        process = subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, env=told, stderr=log)
    for _ in range(600):
        with socket.socket() as sock:
            if not sock.connect_ex((stub_servers.HOST, port)):
                return process, port
        gevent.sleep(0.05)
    process.kill()
    raise OSError(f"router {name} never served")


def throttle(processes: list[subprocess.Popen[bytes]], until: float) -> None:
    """Let them run for a part of the time only; all run at the end."""
    while time.monotonic() < until:
        for one in processes:
            one.send_signal(signal.SIGSTOP)
        gevent.sleep(STOP_S)
        for one in processes:
            one.send_signal(signal.SIGCONT)
        gevent.sleep(RUN_S)


def request(name: str) -> bytes:
    """One, as clients write it."""
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {name}\r\n"
        f"X-Service-Class: chat\r\nX-Account: acme\r\nX-Time-Left-Ms: 15000\r\n"
        f"X-Facts: prompt_len=40,max_out=8\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


def client(port: int, names: list[str], way: str, after: float, left: dict[str, float]) -> None:
    """Ask, and go (or read what comes); notes when it went by the name of each of its requests."""
    sock = socket.socket()
    with suppress(OSError), sock:
        sock.connect((stub_servers.HOST, port))
        sock.sendall(b"".join(map(request, names)))
        if way == "stay":
            sock.settimeout(4.0)
            while sock.recv(65_536):
                pass
            return
        # One that has its answer goes too: nothing counts then but what begins later.
        gevent.sleep(after)
        if way == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if way == "half":
            sock.shutdown(socket.SHUT_WR)
        else:
            sock.close()
        left.update(dict.fromkeys(names, time.monotonic()))  # its end is on its way for certain
        if way == "half":
            gevent.sleep(6.0)


def play(seconds: float, seed: int) -> dict[str, dict[str, int]]:
    """What each kind of router did."""
    engines, left = Engines(), dict[str, float]()
    rows = {kind: dict.fromkeys(("gone", "begun_late", "begun"), 0) for kind in KINDS}
    luck = random.Random(seed)
    with tempfile.TemporaryDirectory() as directory:
        routers: list[tuple[str, subprocess.Popen[bytes], int]] = []
        try:
            for pair in range(PAIRS):
                for kind, before in KINDS.items():
                    routers.append((kind, *start(Path(directory), f"{kind}{pair}", before, engines.ports)))
            end = time.monotonic() + seconds
            running: list[Any] = [gevent.spawn(throttle, [one for _, one, _ in routers], end)]
            number = 0
            while time.monotonic() < end:
                gevent.sleep(luck.expovariate(RATE * PAIRS))
                number += 1
                pair, many = luck.randrange(PAIRS), MORE if luck.random() < 0.25 else 1
                way = luck.choice(("close", "reset", "half")) if luck.random() < GOING else "stay"
                after = luck.uniform(0.0, LONGEST_S)
                for kind, _, port in routers[pair * len(KINDS) : (pair + 1) * len(KINDS)]:
                    names = [f"{kind}-{number}-{one}" for one in range(many)]
                    running.append(gevent.spawn(client, port, names, way, after, left))
            gevent.sleep(6.0)  # what begins late does so by then
            gevent.killall(running)
        finally:
            for _, one, _ in routers:
                one.send_signal(signal.SIGCONT)
                one.kill()
                one.wait()
    for name, times in engines.begun.items():
        rows[name.partition("-")[0]]["begun"] += len(times)
    for name, when in left.items():
        row = rows[name.partition("-")[0]]
        row["gone"] += 1
        row["begun_late"] += sum(began > when + ALLOWED_S for began in engines.begun.get(name, ()))
    return rows


def look_us(times: int = 50_000) -> float:
    """What one look for a client's end takes, us."""
    with socket.socket() as listener:
        listener.bind((stub_servers.HOST, 0))
        listener.listen(1)
        ours = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
        with ours, theirs:
            begun = time.perf_counter()
            for _ in range(times):
                watched = select.poll()
                watched.register(theirs.fileno(), select.POLLIN | select.POLLRDHUP)
                watched.poll(0)
            return (time.perf_counter() - begun) / times * 1e6


def main() -> int:
    """Play, print what each kind did, and a JSON object last; exit status 1 where an attempt began late."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    found = play(20.0 if parser.parse_args().short else 120.0, 1)
    for kind, row in found.items():
        print(f"{kind}: {row}", flush=True)
    # Held against the other kind, too: a load under which that one begins nothing late shows nothing.
    holds = found["as_it_is"]["begun_late"] == 0 < found["read_only"]["begun_late"]
    print(json.dumps({"name": "gone", "holds": holds, "look_us": round(look_us(), 2), **found}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
