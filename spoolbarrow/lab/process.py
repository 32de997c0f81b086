"""Starts processes for tests and benchmarks, reads their output in one thread and ends them by id."""

from __future__ import annotations

import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import IO, Any

from spoolbarrow.lab.line_commands import CommandFailed

READ_BYTES = 65_536
POLL_INTERVAL_S = 0.25  # between checks whether a process without output has ended


class _Reader:
    """A single thread that reads the pipes of all processes."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None

    def watch(self, stream: IO[bytes], take: Callable[[bytes], None]) -> None:
        """Pass data from a pipe to `take`, and empty data at its end."""
        with self._lock:
            self._selector.register(stream, selectors.EVENT_READ, take)
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()

    def _run(self) -> None:
        while True:
            for key, _ in self._selector.select():
                try:
                    data = os.read(key.fd, READ_BYTES)
                except OSError:
                    data = b""
                if not data:
                    with self._lock:
                        self._selector.unregister(key.fileobj)
                    key.fileobj.close()  # type: ignore[union-attr]
                key.data(data)


_reader = _Reader()


class Process:
    """A Python process whose standard output and error are read continuously."""

    def __init__(
        self, *argv: str, env: dict[str, str] | None = None, stdin: bool = False, cwd: Path | None = None
    ) -> None:
        self.popen = subprocess.Popen(
            [sys.executable, *argv],
            env={**os.environ, **(env or {})},
            cwd=cwd,
            stdin=subprocess.PIPE if stdin else subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.log_lines: list[str] = []  # of standard error, which is the log
        self.output_lines: list[str] = []  # of standard output
        self._output = threading.Condition()
        self._command_lock = threading.Lock()
        for stream, into in ((self.popen.stdout, self.output_lines), (self.popen.stderr, self.log_lines)):
            assert stream is not None
            _reader.watch(stream, self._line_reader(into))

    def _line_reader(self, output: list[str]) -> Callable[[bytes], None]:
        rest = b""

        def take(data: bytes) -> None:
            nonlocal rest
            *lines, rest = (rest + data).split(b"\n")
            with self._output:
                output.extend(line.decode(errors="replace") for line in lines)
                self._output.notify_all()

        return take

    def wait_for(self, true: Callable[[], bool], seconds: float = 30.0) -> None:
        """Wait for a condition on the output; AssertionError if the process ends or time runs out."""
        end = time.monotonic() + seconds
        with self._output:
            while not true():
                remaining = end - time.monotonic()
                if remaining <= 0 or self.popen.poll() is not None:
                    self._output.wait(POLL_INTERVAL_S)  # the last output may not have been read yet
                    if true():
                        return
                    raise AssertionError(f"condition not met; last lines: {self.log_lines[-5:]}")
                self._output.wait(min(remaining, POLL_INTERVAL_S))

    def first_output_line(self) -> str:
        """The first line of standard output."""
        self.wait_for(lambda: bool(self.output_lines))
        return self.output_lines[0]

    def send_command(self, line: str) -> str:
        """Send a command on standard input; the next line of output. CommandFailed if it is an error."""
        assert self.popen.stdin is not None
        with self._command_lock:
            count = len(self.output_lines)
            self.popen.stdin.write(line.encode() + b"\n")
            self.popen.stdin.flush()
            self.wait_for(lambda: len(self.output_lines) > count)
            response = self.output_lines[count]
        if response.startswith("error"):
            raise CommandFailed(line, response)
        return response

    def send_query(self, line: str) -> Any:
        """Send a command and decode its JSON response."""
        return json.loads(self.send_command(line))

    def events(self, name: str) -> list[dict[str, Any]]:
        """Decoded log lines of one event."""
        with self._output:
            lines = list(self.log_lines)
        candidates = [line for line in lines if f'"{name}"' in line]
        return [event for line in candidates if (event := json.loads(line)).get("event") == name]

    def kill(self) -> None:
        """Kill the process."""
        self.popen.kill()
        self.popen.wait()

    def end(self, grace_s: float = 10.0) -> None:
        """End the process by its id: SIGTERM, then SIGKILL if it does not end in time."""
        if self.popen.poll() is None:
            self.popen.terminate()
            try:
                self.popen.wait(grace_s)
            except subprocess.TimeoutExpired:
                self.kill()
        if self.popen.stdin is not None:
            with suppress(OSError):
                self.popen.stdin.close()


# An address per process that starts routers, and not 127.0.0.1, from which connections leave: prevents that
# another program takes a port between its choice and the router's bind.
LISTEN = f"127.{64 + (os.getpid() >> 16 & 63)}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"


def end_all_at_sigterm() -> None:
    """Make SIGTERM unwind this program, so that its clusters end the processes that they started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))


def free_ports(count: int) -> list[int]:
    """Distinct ports of LISTEN that are currently free."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((LISTEN, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
