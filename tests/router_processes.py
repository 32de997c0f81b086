"""Starts the processes of one router on a shared listening socket, as a platform does."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
from gevent import socket

from spoolbarrow.config import INHERITED_FD_VARIABLE
from tests.router_harness import (
    LISTEN,
    Client,
    ScriptedServer,
    endpoint_entry,
    free_port,
    make_config,
    wait_until,
)

ROOT = Path(__file__).resolve().parent.parent
KIB_PER_MB = 1024.0


class Service:
    """A platform that starts the processes of one router on a shared listening socket."""

    def __init__(self, folder: Path, raw: dict[str, Any]) -> None:
        self.folder, self.raw = folder, raw
        self.listener = socket.socket()
        self.listener.bind((LISTEN, 0))
        self.listener.listen(4096)
        self.port: int = self.listener.getsockname()[1]
        self.processes: list[subprocess.Popen[bytes]] = []
        self.calls: list[int] = []

    def start(self, ready: bool = True) -> int:
        """Start another process and return its number."""
        number, control = len(self.processes), free_port()
        file = self.folder / f"config-{number}.json"
        file.write_bytes(msgspec.json.encode({**self.raw, "control": f"{LISTEN}:{control}"}))
        descriptor = self.listener.fileno()
        environment = {
            **os.environ,
            "NODE_CONFIG": str(file),
            "TMPDIR": str(self.folder),
            INHERITED_FD_VARIABLE: str(descriptor),
        }
        with open(self.folder / f"log-{number}", "wb") as log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "spoolbarrow"],
                    cwd=ROOT,
                    env=environment,
                    stderr=log,
                    pass_fds=[descriptor],
                )
            )
        self.calls.append(control)
        if ready:
            wait_until(lambda: self.call(number, "readyz", "GET") == 200)
        return number

    def call(self, number: int, path: str, method: str = "POST") -> int:
        try:
            raw = f"{method} /v1/{path} HTTP/1.1\r\n\r\n".encode()
            return Client(self.calls[number]).send(raw).answer().status
        except OSError:
            return 0

    def end(self, number: int) -> int:
        """Send SIGTERM, as after the new process is ready, and return the exit status."""
        process = self.processes[number]
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: process.poll() is not None)
        return process.returncode

    def log(self, number: int) -> str:
        return (self.folder / f"log-{number}").read_text()

    def peak_mb(self, number: int) -> float:
        """The most memory that a running process has held; fails if it has ended."""
        status = Path(f"/proc/{self.processes[number].pid}/status").read_text()
        assert "VmHWM:" in status, f"process {number} has ended: {self.log(number)[-2000:]}"
        return int(status.split("VmHWM:")[1].split()[0]) / KIB_PER_MB

    def kill_all(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.listener.close()


@contextmanager
def service(folder: Path, *servers: ScriptedServer, **changes: Any) -> Iterator[Service]:
    endpoints = [endpoint_entry(f"e{n}", server.port) for n, server in enumerate(servers)]
    made = Service(folder, make_config(endpoints, **changes))
    try:
        yield made
    finally:
        made.kill_all()
        for server in servers:
            server.close()
