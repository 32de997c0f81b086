"""Processes that a test or a benchmark starts: their output read by one thread, their end by id."""

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

READ = 65_536
LOOK_S = 0.25  # between looks at whether a process that says nothing has ended


class _Reader:
    """One thread that reads the pipes of all processes, however many there are."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None

    def watch(self, stream: IO[bytes], take: Callable[[bytes], None]) -> None:
        """Give `take` what comes from a pipe, at its end nothing."""
        with self._lock:
            self._selector.register(stream, selectors.EVENT_READ, take)
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()

    def _run(self) -> None:
        while True:
            for key, _ in self._selector.select():
                try:
                    data = os.read(key.fd, READ)
                except OSError:
                    data = b""
                if not data:
                    with self._lock:
                        self._selector.unregister(key.fileobj)
                    key.fileobj.close()  # type: ignore[union-attr]
                key.data(data)


_reader = _Reader()


class Process:
    """A process of ours; its standard output and error are read as they come."""

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
        self.log_lines: list[str] = []  # of standard error: the log
        self.output_lines: list[str] = []  # of standard output
        self._heard = threading.Condition()
        self._telling = threading.Lock()
        for stream, into in ((self.popen.stdout, self.output_lines), (self.popen.stderr, self.log_lines)):
            assert stream is not None
            _reader.watch(stream, self._taker(into))

    def _taker(self, into: list[str]) -> Callable[[bytes], None]:
        rest = b""

        def take(data: bytes) -> None:
            nonlocal rest
            *lines, rest = (rest + data).split(b"\n")
            with self._heard:
                into.extend(line.decode(errors="replace") for line in lines)
                self._heard.notify_all()

        return take

    def wait_for(self, true: Callable[[], bool], seconds: float = 30.0) -> None:
        """Until something holds of what was read; AssertionError where the process ends or time runs out."""
        end = time.monotonic() + seconds
        with self._heard:
            while not true():
                left = end - time.monotonic()
                if left <= 0 or self.popen.poll() is not None:
                    self._heard.wait(LOOK_S)  # what it said last may still be on its way
                    if true():
                        return
                    raise AssertionError(f"never came true; last lines: {self.log_lines[-5:]}")
                self._heard.wait(min(left, LOOK_S))

    def first_output_line(self) -> str:
        """The first line of standard output."""
        self.wait_for(lambda: bool(self.output_lines))
        return self.output_lines[0]

    def send_command(self, line: str) -> str:
        """A line to standard input; the next line of output. CommandFailed where it is not obeyed."""
        assert self.popen.stdin is not None
        with self._telling:
            count = len(self.output_lines)
            self.popen.stdin.write(line.encode() + b"\n")
            self.popen.stdin.flush()
            self.wait_for(lambda: len(self.output_lines) > count)
            said = self.output_lines[count]
        if said.startswith("error"):
            raise CommandFailed(line, said)
        return said

    def send_query(self, line: str) -> Any:
        """The same, its answer as JSON."""
        return json.loads(self.send_command(line))

    def events(self, name: str) -> list[dict[str, Any]]:
        """Log lines of one event, as JSON."""
        with self._heard:
            lines = list(self.log_lines)
        marked = [line for line in lines if f'"{name}"' in line]
        return [one for line in marked if (one := json.loads(line)).get("event") == name]

    def kill(self) -> None:
        """End it without warning."""
        self.popen.kill()
        self.popen.wait()

    def end(self, grace_s: float = 10.0) -> None:
        """By its id: SIGTERM, then SIGKILL where it does not end."""
        if self.popen.poll() is None:
            self.popen.terminate()
            try:
                self.popen.wait(grace_s)
            except subprocess.TimeoutExpired:
                self.kill()
        if self.popen.stdin is not None:
            with suppress(OSError):
                self.popen.stdin.close()


# Guards against another program that takes a port between its choice and the router's bind: connections
# leave from 127.0.0.1, and each process that starts routers has them listen at an address of its own.
LISTEN = f"127.{64 + (os.getpid() >> 16 & 63)}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"


def end_all_at_sigterm() -> None:
    """Have SIGTERM unwind this program, so that its clusters end what they started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))


def free_ports(count: int) -> list[int]:
    """Ports of LISTEN that nothing listens on just now, each another one."""
    with ExitStack() as held:
        socks = [held.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((LISTEN, 0))
        return [int(sock.getsockname()[1]) for sock in socks]
