"""Measures the latency of the operators' listener under load, and the cost of upgrades for clients.

    python benchmarks/service.py [--short]

One router on loopback serves clients on keep-alive connections, through one upgrade after another on an
inherited socket. Meanwhile an operator fetches the metrics, and idle callers hold as many connections as they
can. Calls are compared with those of the same router before its clients connect; responses that overlapped an
upgrade with those that did not.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent import socket

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import stub_servers  # noqa: E402
from paired_routers import ENGINES, EVENTS, FIRST_MS, GAP_MS  # noqa: E402

from spoolbarrow.config import INHERITED_FD_VARIABLE  # noqa: E402
from spoolbarrow.net.http1 import HttpError, ResponseParser  # noqa: E402

CLIENTS = 24
IDLE_CALLERS = 20  # more than the listener's connection limit
IDLE_PAUSE_S = 0.5
CALL_INTERVAL_S = 0.05
MAX_CALL_MS = 1000.0  # for a response to a call
UPGRADE_PAUSE_S = 3.0  # between upgrades
MAX_MEDIAN_RATIO = 1.1  # of responses during upgrades to the others
MAX_P99_SHARE = 0.25  # of MAX_CALL_MS, at the 99th percentile


class Platform:
    """Holds the clients' listening socket, and starts one process of the router after another on it."""

    def __init__(self, folder: Path, discovery: int) -> None:
        self._folder, self._discovery = folder, discovery
        self.listener = stub_servers.listen()
        self.port: int = self.listener.getsockname()[1]
        self.processes: list[subprocess.Popen[bytes]] = []
        self.control = 0  # operators' port of the newest process

    def start(self) -> None:
        """Start one more process and wait until it is ready."""
        with socket.socket() as probe:
            probe.bind((stub_servers.HOST, 0))
            control = probe.getsockname()[1]
        number, descriptor = len(self.processes), self.listener.fileno()
        file = self._folder / f"{number}.json"
        config = stub_servers.config(self.port, self._discovery) | {
            "control": f"{stub_servers.HOST}:{control}"
        }
        file.write_bytes(orjson.dumps(config))
        env = {"NODE_CONFIG": str(file), "TMPDIR": str(self._folder), INHERITED_FD_VARIABLE: str(descriptor)}
        with (self._folder / f"{number}.log").open("wb") as log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "spoolbarrow"],
                    cwd=ROOT,
                    env=os.environ | env,
                    stderr=log,
                    pass_fds=[descriptor],
                )
            )
        for _ in range(400):
            if call(control, "readyz")[0] == 200:
                break
            gevent.sleep(0.05)
        else:
            raise OSError("the new router process did not become ready")
        self.control = control

    def end_oldest(self) -> None:
        """Terminate the oldest running process and wait until it has exited."""
        oldest = next(one for one in self.processes if one.poll() is None)
        oldest.terminate()
        while oldest.poll() is None:
            gevent.sleep(0.02)

    def close(self) -> None:
        """Kill all processes."""
        for one in self.processes:
            one.kill()
            one.wait()


def call(port: int, path: str) -> tuple[int, float]:
    """Call the operators' listener; returns the status, 0 without a response, and ms to its last byte."""
    begun, parser, buffer = time.perf_counter(), ResponseParser(16_384), bytearray(65_536)
    try:
        with socket.create_connection((stub_servers.HOST, port), 5.0) as sock:
            sock.sendall(f"GET /v1/{path} HTTP/1.1\r\n\r\n".encode())
            while not parser.complete:
                parser.read(sock, buffer)
                parser.take_body()
    except (OSError, HttpError):
        return 0, (time.perf_counter() - begun) * 1000
    return parser.status, (time.perf_counter() - begun) * 1000


class Load:
    """Clients on keep-alive connections; records each response with its start and end."""

    def __init__(self, port: int) -> None:
        self._port, self.ended = port, False
        self.answers: list[tuple[float, float, stub_servers.Timed]] = []
        self.failed = self.lost = self.closed_by_router = 0

    def work(self, worker: int) -> None:
        """Send requests until `ended`."""
        client, number = stub_servers.Client(self._port), 0
        while not self.ended:
            number += 1
            begun = time.monotonic()
            try:
                timed = client.ask(f"{worker}-{number}", worker * 100_003 + number)
            except (OSError, HttpError):
                self.lost += 1  # the connection was closed during the request
                client = stub_servers.Client(self._port)
                continue
            self.answers.append((begun, time.monotonic(), timed))
            self.failed += timed.status != 200
            if timed.closing:
                self.closed_by_router += 1
                client = stub_servers.Client(self._port)


def fetch(platform: Platform, count: int) -> list[tuple[int, float]]:
    """Fetch the metrics at fixed intervals."""
    found = []
    for _ in range(count):
        found.append(call(platform.control, "metrics"))
        gevent.sleep(CALL_INTERVAL_S)
    return found


def summarize(calls: list[tuple[int, float]]) -> dict[str, Any]:
    """Summarize calls: their number, how many failed or were late, and their latency."""
    times = [ms for _, ms in calls]
    return {
        "calls": len(calls),
        "statuses": sorted({status for status, _ in calls}),
        "late_or_wrong": sum(status != 200 or ms > MAX_CALL_MS for status, ms in calls),
        "median_ms": round(statistics.median(times), 2),
        "p99_ms": round(statistics.quantiles(times, n=100)[98], 2),
    }


def hold_connection(platform: Platform, load: Load) -> None:
    """Connect, stay idle until disconnected, and connect again."""
    while not load.ended:
        try:
            with socket.create_connection((stub_servers.HOST, platform.control), 5.0) as sock:
                sock.recv(4096)
        except OSError:
            pass  # the listener closed it in favour of others
        gevent.sleep(IDLE_PAUSE_S)


def main() -> dict[str, Any]:
    """Measure everything and return it as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    upgrades = 3 if arguments.parse_args().short else 15
    command = [str(ROOT / "benchmarks" / "stub_servers.py"), *map(str, (FIRST_MS, EVENTS, GAP_MS, ENGINES))]
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    engines = subprocess.Popen([sys.executable, *command], stdout=subprocess.PIPE, env=environment)
    assert engines.stdout is not None
    spans: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory() as directory:
        platform = Platform(Path(directory), int(engines.stdout.readline()))
        try:
            platform.start()
            calm = fetch(platform, 40)
            load = Load(platform.port)
            workers = [gevent.spawn(load.work, n) for n in range(CLIENTS)]
            callers = [gevent.spawn(hold_connection, platform, load) for _ in range(IDLE_CALLERS)]
            busy: list[tuple[int, float]] = []
            for _ in range(upgrades):
                busy += fetch(platform, round(UPGRADE_PAUSE_S / CALL_INTERVAL_S))
                begun = time.monotonic()
                platform.start()
                platform.end_oldest()
                spans.append((begun, time.monotonic()))
            busy += fetch(platform, round(UPGRADE_PAUSE_S / CALL_INTERVAL_S))
            load.ended = True
            gevent.joinall(workers, raise_error=True)
            gevent.killall(callers)
            faults = sum(
                (Path(directory) / f"{n}.log").read_bytes().count(b'"unexpected"')
                for n in range(upgrades + 1)
            )
        finally:
            platform.close()
            engines.kill()
            engines.wait()
    during = [t for begin, end, t in load.answers if any(begin < b and end > a for a, b in spans)]
    outside = [t for begin, end, t in load.answers if not any(begin < b and end > a for a, b in spans)]
    ratios = {
        f"{field}_{name}": round(
            of([getattr(t, field) for t in during]) / of([getattr(t, field) for t in outside]), 3
        )
        for field in ("first_ms", "whole_ms")
        for name, of in (("median", statistics.median), ("p99", lambda v: statistics.quantiles(v, n=100)[98]))
    }
    summaries = {"calm": summarize(calm), "busy": summarize(busy)}
    holds = (
        load.failed == load.lost == faults == 0
        and summaries["busy"]["late_or_wrong"] == 0
        and summaries["busy"]["p99_ms"] <= MAX_P99_SHARE * MAX_CALL_MS
        and ratios["whole_ms_median"] <= MAX_MEDIAN_RATIO
    )
    return {
        "name": "service",
        "holds": holds,
        "upgrades": upgrades,
        "clients": CLIENTS,
        "silent": IDLE_CALLERS,
        "answers": len(load.answers),
        "during_upgrades": len(during),
        "failed": load.failed,
        "unheard": load.lost,
        "told_to_go": load.closed_by_router,
        "faults": faults,
        "during_against_others": ratios,
        "calls": summaries,
        "upgrade_s": round(statistics.median(b - a for a, b in spans), 2),
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result["holds"] else 1)
