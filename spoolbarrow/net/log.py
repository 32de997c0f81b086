"""The log: writes one line per event to standard error without ever blocking serving.

After `start`, lines wait in a bounded buffer, and one greenlet writes them at the reader's pace: if the
reader stops, lines are lost but requests are served. Lost lines are counted and reported as `log_dropped`
once the reader is back. Before `start`, lines are written directly, with a short time-out if the reader is
blocked.
"""

from __future__ import annotations

import errno
import os
import select
import time
import traceback
from collections import deque
from collections.abc import Mapping

import gevent
import orjson
from gevent.event import Event

from spoolbarrow.errors import Problem
from spoolbarrow.net.diagnostics import DIAGNOSTICS

STDERR = 2
MAX_WRITE_BYTES = 4096  # a pipe that poll reports as writable takes PIPE_BUF bytes without blocking (POSIX)
RETRY_INTERVAL_S = 0.05  # between attempts to write to a blocked reader
BUFFER_BYTES = 1 << 18  # limit of the buffer: some thousand lines
FLUSH_TIMEOUT_S = 0.2  # for a blocked reader, before `start` and at the end
# Errors of files, terminals and older kernels, which do not support RWF_NOWAIT.
UNSUPPORTED_ERRNOS = frozenset({errno.EOPNOTSUPP, errno.ENOSYS, errno.EINVAL, errno.ESPIPE})

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Log:
    """Writes log lines to a descriptor, buffered."""

    def __init__(self, descriptor: int = STDERR, buffer_bytes: int = BUFFER_BYTES) -> None:
        self._descriptor, self._buffer_bytes = descriptor, buffer_bytes
        self._lines: deque[bytes] = deque()
        self._held = 0  # bytes in `_lines`
        self._dropped = 0
        self._woken = Event()
        self._writer: gevent.Greenlet[[], None] | None = None
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.threshold = LEVELS["info"]
        self.as_text = False

    def configure(self, level: str = "info", format: str = "json") -> None:
        """Set the level (of LEVELS) and the format: json for programs, text for people."""
        self.threshold, self.as_text = LEVELS[level], format == "text"

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        """Log one event if its level is enabled; never blocks after `start`."""
        diagnostic = DIAGNOSTICS.get(event)
        level = "info" if diagnostic is None else diagnostic.level
        if LEVELS[level] < self.threshold:
            return
        if diagnostic is not None and diagnostic.logs_remedy and "remedy" not in fields:
            fields = {**fields, "remedy": diagnostic.remedy}
        line = self._line(event, level, fields)
        waiting = bool(self._lines)
        if self._held + len(line) > self._buffer_bytes:
            self._dropped += 1
        else:
            self._lines.append(line)
            self._held += len(line)
        if self._writer is not None:
            self._woken.set()
        else:
            # Waits once at most, not for each line of a start.
            self._flush(0.0 if waiting else FLUSH_TIMEOUT_S)

    def start(self) -> None:
        """Write lines from a greenlet from now on."""
        if self._writer is None:
            self._writer = gevent.spawn(self._run)
            self._woken.set()  # for lines that could not be written before

    def stop(self) -> None:
        """Flush the buffer with a time-out; write lines directly from now on."""
        if self._writer is None:
            return
        self._writer.kill()
        self._writer = None
        self._flush(FLUSH_TIMEOUT_S)

    def _flush(self, wait_s: float) -> None:
        """Write the buffered lines; waits at most `wait_s` in total for a blocked reader."""
        end = time.monotonic() + wait_s
        while self._pending():
            if not self._write_some():
                if time.monotonic() >= end:
                    return
                self._poll.poll(int(RETRY_INTERVAL_S * 1000))

    def _pending(self) -> bool:
        if self._dropped and self._held < self._buffer_bytes // 2:
            # Logged once there is room again, at the place of the missing lines.
            line = self._line("log_dropped", "warning", {"lines": self._dropped})
            self._dropped = 0
            self._lines.append(line)
            self._held += len(line)
        return bool(self._lines)

    def _run(self) -> None:
        while True:
            self._woken.wait()
            self._woken.clear()
            while self._pending():
                # Yields after each write, so that lines logged together are written together.
                gevent.sleep(0 if self._write_some() else RETRY_INTERVAL_S)

    def _write_some(self) -> bool:
        """Write as many lines as fit in one call; False if the reader is blocked."""
        if not self._poll.poll(0):
            return False
        batch: list[bytes] = []
        size = 0
        while self._lines and (not batch or size + len(self._lines[0]) <= MAX_WRITE_BYTES):
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        self._held -= size
        data = b"".join(batch)
        try:
            written = _write_now(self._descriptor, data[:MAX_WRITE_BYTES])
        except OSError:
            return True  # nobody can read the log any more: drop the lines and keep serving
        if written < len(data):  # a line longer than a write, or a full pipe
            self._lines.appendleft(data[written:])
            self._held += len(data) - written
        return written > 0

    def _line(self, event: str, level: str, fields: Mapping[str, object]) -> bytes:
        now = time.time()
        if self.as_text:
            clock = time.strftime("%H:%M:%S", time.localtime(now))
            text = " ".join(f"{name}={_format_value(value)}" for name, value in fields.items())
            clock = f"{clock}.{int(now * 1000) % 1000:03d}"
            return f"{clock} {level:<7} {event:<16} {text}".rstrip().encode() + b"\n"
        record = {"time": round(now, 3), "level": level, "event": event, **fields}
        return orjson.dumps(record, default=repr, option=orjson.OPT_APPEND_NEWLINE)


def _write_now(descriptor: int, data: bytes) -> int:
    """Write without blocking and return the number of bytes written; OSError if nobody can read.

    Another process may fill the same pipe after poll reported it as writable.
    """
    try:
        return os.pwritev(descriptor, (data,), -1, os.RWF_NOWAIT)
    except BlockingIOError:
        return 0
    except OSError as error:
        if error.errno not in UNSUPPORTED_ERRNOS:
            raise
    try:
        return os.write(descriptor, data)
    except BlockingIOError:
        return 0


def _format_value(value: object) -> str:
    """A value on one line; strings with blanks or quotes are written as JSON."""
    if isinstance(value, str) and value and not any(c.isspace() or c in '"=\\' for c in value):
        return value
    return orjson.dumps(value, default=repr).decode()


default_log = Log()


def log(event: str, **fields: object) -> None:
    """Log one event with its fields."""
    default_log.write(event, fields)


def log_problem(event: str, error: Problem, **fields: object) -> None:
    """Log an event with its error and remedy."""
    default_log.write(event, {"error": str(error), **fields, "remedy": error.remedy})


def log_exception(where: str, error: BaseException) -> None:
    """Log an unexpected exception with its origin."""
    trace = traceback.format_exception(error)
    log("unexpected", where=where, error=f"{type(error).__name__}: {error}", trace="".join(trace[-4:]))
