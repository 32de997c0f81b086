"""Routers in pairs: the same requests to several of them in turn, so that their times can be compared.

Owns the processes: stand-in engines, and a router for each kind with what is set for it.
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
FIRST_MS, EVENTS, GAP_MS, ENGINES = 20.0, 6, 8.0, 3  # an answer's first event, its events, between them
ROUNDS_A_CONNECTION = 60  # then a client opens a new one
SETTLE_S = 3.0  # rounds are not counted before


def cpu_s(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    used = psutil.Process(pid).cpu_times()
    return float(used.user + used.system)


def anonymous_kb(pid: int | None = None) -> int:
    """Memory of a process that lies in no file; None: of this one."""
    memory = psutil.Process(pid).memory_info()
    return int(memory.rss - memory.shared) // 1024


class Rig:
    """The engines, and a router of each kind with the text of its operator's file."""

    def __init__(self, directory: Path, tables: Mapping[str, str]) -> None:
        self._directory = directory
        engines = [
            str(ROOT / "benchmarks" / "stub_servers.py"),
            *map(str, (FIRST_MS, EVENTS, GAP_MS, ENGINES)),
        ]
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.engines = subprocess.Popen([sys.executable, *engines], stdout=subprocess.PIPE, env=environment)
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
            told = {**environment, "NODE_CONFIG": str(file)}
            if table:
                (directory / f"{kind}.toml").write_text(table)
                told["SPOOLBARROW_OPERATOR"] = str(directory / f"{kind}.toml")
            run = [sys.executable, "-m", "spoolbarrow"]
            with (directory / f"{kind}.log").open("wb") as log:
                self.routers[kind] = subprocess.Popen(run, cwd=ROOT, env=told, stderr=log)

    def log(self, kind: str) -> bytes:
        """What a router has logged."""
        return (self._directory / f"{kind}.log").read_bytes()

    def wait(self) -> None:
        """Until every router serves."""
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
        """End all of it."""
        for one in (*self.routers.values(), self.engines):
            one.kill()
            one.wait()


class Load:
    """Workers that ask all routers in turn."""

    def __init__(self, rig: Rig, seconds: float) -> None:
        self._rig, self._end = rig, time.monotonic() + seconds
        self._count_from = time.monotonic() + SETTLE_S
        self.rounds: list[dict[str, stub_servers.Timed]] = []
        self.counted: dict[int, Any] = {}  # of connections to the exporting router, by the client's port
        self._kinds = list(rig.ports)
        self.asked = dict.fromkeys(self._kinds, 0)
        self.failed = 0

    def run(self) -> None:
        """All workers to their end."""
        gevent.joinall([gevent.spawn(self._work, n) for n in range(WORKERS)], raise_error=True)

    def _work(self, worker: int) -> None:
        luck, n = random.Random(worker), 0
        while time.monotonic() < self._end:
            clients = {kind: stub_servers.Client(self._rig.ports[kind]) for kind in self._kinds}
            for _ in range(ROUNDS_A_CONNECTION):
                n += 1
                found, session = {}, luck.getrandbits(60) + 1
                for kind in luck.sample(self._kinds, len(self._kinds)):
                    found[kind] = clients[kind].ask(f"{worker}-{n}", session)
                    self.asked[kind] += 1
                    self.failed += found[kind].status != 200
                if time.monotonic() > self._count_from:
                    self.rounds.append(found)
            for kind, client in clients.items():
                counted = client.close()
                if kind == "on":
                    self.counted[client.port] = counted


FIELDS = ("first_ms", "whole_ms")


def compared(rounds: list[dict[str, stub_servers.Timed]], kinds: Iterable[str]) -> dict[str, Any]:
    """Each router's times."""
    return {kind: {field: compare(rounds, kind, field) for field in FIELDS} for kind in kinds}


def apart(times: dict[str, Any]) -> float:
    """How far times are from those of the router without the feature, at most, as a share."""
    paired: list[float] = [times[kind][field]["paired"] for kind in ("on", "stalled") for field in FIELDS]
    return max(map(abs, paired))


def compare(rounds: list[dict[str, stub_servers.Timed]], kind: str, field: str) -> dict[str, float]:
    """A router's times against those of the first without export, paired by round."""
    base = [getattr(found["off"], field) for found in rounds]
    these = [getattr(found[kind], field) for found in rounds]
    paired = statistics.median(a - b for a, b in zip(these, base, strict=True))
    return {
        "median_ms": round(statistics.median(these), 3),
        "p99_ms": round(statistics.quantiles(these, n=100)[98], 3),
        "paired": round(paired / statistics.median(base), 5),
    }
