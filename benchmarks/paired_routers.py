"""Runs several routers side by side and sends them the same requests, so that their times can be compared.

Owns the processes: stub engines, and one router for each kind of settings.
"""

from __future__ import annotations

import os
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import gevent
import orjson
import psutil
import stub_servers
from gevent import socket

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 6  # clients of each router at once
# A stream's first event, its number of events, the gap between them; the number of engines.
FIRST_MS, EVENTS, GAP_MS, ENGINES = 20.0, 6, 8.0, 3
ROUNDS_PER_CONNECTION = 60  # then the client opens a new connection
SETTLE_S = 3.0  # rounds are not counted before


def cpu_s(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    used = psutil.Process(pid).cpu_times()
    return float(used.user + used.system)


def anonymous_kb(pid: int | None = None) -> int:
    """Anonymous memory of a process, which no file backs; None: of this process."""
    memory = psutil.Process(pid).memory_info()
    return int(memory.rss - memory.shared) // 1024


class RouterGroup:
    """Stub engines, and one router for each kind, given the text of its operator file."""

    def __init__(self, directory: Path, tables: Mapping[str, str]) -> None:
        self._directory = directory
        engines = [
            str(ROOT / "benchmarks" / "stub_servers.py"),
            *map(str, (FIRST_MS, EVENTS, GAP_MS, ENGINES)),
        ]
        env = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.engines = subprocess.Popen([sys.executable, *engines], stdout=subprocess.PIPE, env=env)
        assert self.engines.stdout is not None
        discovery = int(self.engines.stdout.readline())
        self.routers: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {}
        for kind, table in tables.items():
            with socket.socket() as probe:
                probe.bind((stub_servers.HOST, 0))
                self.ports[kind] = probe.getsockname()[1]
            file = directory / f"{kind}.json"
            file.write_bytes(orjson.dumps(stub_servers.config(self.ports[kind], discovery)))
            router_env = {**env, "NODE_CONFIG": str(file)}
            if table:
                (directory / f"{kind}.toml").write_text(table)
                router_env["SPOOLBARROW_OPERATOR"] = str(directory / f"{kind}.toml")
            command = [sys.executable, "-m", "spoolbarrow"]
            with (directory / f"{kind}.log").open("wb") as log:
                self.routers[kind] = subprocess.Popen(command, cwd=ROOT, env=router_env, stderr=log)

    def log(self, kind: str) -> bytes:
        """Read a router's log."""
        return (self._directory / f"{kind}.log").read_bytes()

    def wait(self) -> None:
        """Wait until every router serves."""
        for kind in self.ports:
            for _ in range(400):
                try:
                    if stub_servers.Client(self.ports[kind]).ask("up").status == 200:
                        break
                except OSError:
                    pass
                gevent.sleep(0.05)
            else:
                raise OSError(f"router {kind} never served")

    def cpu(self) -> dict[str, float]:
        """Seconds of processor time of each router."""
        return {kind: cpu_s(router.pid) for kind, router in self.routers.items()}

    def close(self) -> None:
        """Kill all processes."""
        for process in (*self.routers.values(), self.engines):
            process.kill()
            process.wait()


class Load:
    """Workers that send each request to all routers in turn."""

    def __init__(self, group: RouterGroup, seconds: float) -> None:
        self._group, self._end = group, time.monotonic() + seconds
        self._count_from = time.monotonic() + SETTLE_S
        self.rounds: list[dict[str, stub_servers.Timed]] = []
        self.tcp_counters: dict[int, Any] = {}  # of connections to router `on`, by the client's port
        self._kinds = list(group.ports)
        self.asked = dict.fromkeys(self._kinds, 0)
        self.failed = 0

    def run(self) -> None:
        """Run all workers to completion."""
        gevent.joinall([gevent.spawn(self._work, n) for n in range(WORKERS)], raise_error=True)

    def _work(self, worker: int) -> None:
        rng, n = random.Random(worker), 0
        while time.monotonic() < self._end:
            clients = {kind: stub_servers.Client(self._group.ports[kind]) for kind in self._kinds}
            for _ in range(ROUNDS_PER_CONNECTION):
                n += 1
                timed, session = {}, rng.getrandbits(60) + 1
                for kind in rng.sample(self._kinds, len(self._kinds)):
                    timed[kind] = clients[kind].ask(f"{worker}-{n}", session)
                    self.asked[kind] += 1
                    self.failed += timed[kind].status != 200
                if time.monotonic() > self._count_from:
                    self.rounds.append(timed)
            for kind, client in clients.items():
                tcp_counters = client.close()
                if kind == "on":
                    self.tcp_counters[client.port] = tcp_counters


FIELDS = ("first_ms", "whole_ms")


def compare_all(rounds: list[dict[str, stub_servers.Timed]], kinds: Iterable[str]) -> dict[str, Any]:
    """Compare each router's times with those of router `off`."""
    return {kind: {field: compare_times(rounds, kind, field) for field in FIELDS} for kind in kinds}


def max_deviation(times: dict[str, Any]) -> float:
    """The largest relative difference from the times of the router without the feature."""
    paired: list[float] = [times[kind][field]["paired"] for kind in ("on", "stalled") for field in FIELDS]
    return max(map(abs, paired))


def compare_times(rounds: list[dict[str, stub_servers.Timed]], kind: str, field: str) -> dict[str, float]:
    """A router's times against those of router `off`, paired by round."""
    base = [getattr(timed["off"], field) for timed in rounds]
    own = [getattr(timed[kind], field) for timed in rounds]
    paired = statistics.median(a - b for a, b in zip(own, base, strict=True))
    return {
        "median_ms": round(statistics.median(own), 3),
        "p99_ms": round(statistics.quantiles(own, n=100)[98], 3),
        "paired": round(paired / statistics.median(base), 5),
    }
