"""The log: one line an event, on standard error, which never holds serving up.

Owns the lines until they are written. Once `start` was called they wait in a bounded buffer, and one greenlet
writes them as the reader takes them: one that stops reading a full pipe costs lines, not answers. What did
not fit is counted, and told as `log_dropped` when the reader is back. Before `start` lines are written at
once; there too, a reader that takes nothing is waited for a moment only.
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
AT_ONCE = 4096  # bytes in one write: what poll says is writable takes PIPE_BUF without blocking (POSIX)
RETRY_S = 0.05  # between looks at a reader that takes nothing
BUFFER_BYTES = 1 << 18  # waiting for the reader at most: some thousand lines
FLUSH_S = 0.2  # before `start` and at the end, a reader that takes nothing is waited for so long
# Told of files, terminals and older kernels, where a write can't be asked not to wait.
NOT_SUPPORTED = frozenset({errno.EOPNOTSUPP, errno.ENOSYS, errno.EINVAL, errno.ESPIPE})

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Log:
    """Lines on their way to a descriptor."""

    def __init__(self, descriptor: int = STDERR, buffer_bytes: int = BUFFER_BYTES) -> None:
        self._descriptor, self._most = descriptor, buffer_bytes
        self._lines: deque[bytes] = deque()
        self._held = 0  # bytes in `_lines`
        self._dropped = 0
        self._woken = Event()
        self._writer: gevent.Greenlet[[], None] | None = None
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.threshold = LEVELS["info"]
        self.text = False

    def configure(self, level: str = "info", format: str = "json") -> None:
        """Go by another level (of LEVELS) and form: json for programs, text for people."""
        self.threshold, self.text = LEVELS[level], format == "text"

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        """Take one event, if it is of the level that is wanted; never waits once started."""
        trouble = DIAGNOSTICS.get(event)
        level = "info" if trouble is None else trouble.level
        if LEVELS[level] < self.threshold:
            return
        if trouble is not None and trouble.logs_remedy and "remedy" not in fields:
            fields = {**fields, "remedy": trouble.remedy}
        line = self._line(event, level, fields)
        waiting = bool(self._lines)
        if self._held + len(line) > self._most:
            self._dropped += 1
        else:
            self._lines.append(line)
            self._held += len(line)
        if self._writer is not None:
            self._woken.set()
        else:
            self._flush(0.0 if waiting else FLUSH_S)  # once: a start must not wait for it line by line

    def start(self) -> None:
        """From now on lines wait for a greenlet to write them."""
        if self._writer is None:
            self._writer = gevent.spawn(self._run)
            self._woken.set()  # for lines that nobody took before

    def stop(self) -> None:
        """Write what waits, as far as the reader takes it soon; then lines go out at once again."""
        if self._writer is None:
            return
        self._writer.kill()
        self._writer = None
        self._flush(FLUSH_S)

    def _flush(self, wait_s: float) -> None:
        """Write what waits; a reader that takes nothing is waited for so long in all."""
        end = time.monotonic() + wait_s
        while self._pending():
            if not self._write_some():
                if time.monotonic() >= end:
                    return
                self._poll.poll(int(RETRY_S * 1000))

    def _pending(self) -> bool:
        if self._dropped and self._held < self._most // 2:
            # Told once there is room again, in the place where the lines are missing.
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
                # A pause after each write: what comes together goes out together.
                gevent.sleep(0 if self._write_some() else RETRY_S)

    def _write_some(self) -> bool:
        """Write as many lines as one call takes; False where the reader takes nothing now."""
        if not self._poll.poll(0):
            return False
        batch: list[bytes] = []
        size = 0
        while self._lines and (not batch or size + len(self._lines[0]) <= AT_ONCE):
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        self._held -= size
        data = b"".join(batch)
        try:
            written = _write_now(self._descriptor, data[:AT_ONCE])
        except OSError:
            return True  # nobody can read it any more: the lines are gone, the requests go on
        if written < len(data):  # the rest of a line longer than a write, or what a full pipe did not take
            self._lines.appendleft(data[written:])
            self._held += len(data) - written
        return written > 0

    def _line(self, event: str, level: str, fields: Mapping[str, object]) -> bytes:
        now = time.time()
        if self.text:
            clock = time.strftime("%H:%M:%S", time.localtime(now))
            told = " ".join(f"{name}={_plain(value)}" for name, value in fields.items())
            clock = f"{clock}.{int(now * 1000) % 1000:03d}"
            return f"{clock} {level:<7} {event:<16} {told}".rstrip().encode() + b"\n"
        record = {"time": round(now, 3), "level": level, "event": event, **fields}
        return orjson.dumps(record, default=repr, option=orjson.OPT_APPEND_NEWLINE)


def _write_now(descriptor: int, data: bytes) -> int:
    """Write what the reader takes at once, perhaps nothing: how many bytes; OSError where nobody can read.

    Guards against another process that writes to the same pipe: it may fill it after poll told of room.
    """
    try:
        return os.pwritev(descriptor, (data,), -1, os.RWF_NOWAIT)
    except BlockingIOError:
        return 0
    except OSError as error:
        if error.errno not in NOT_SUPPORTED:
            raise
    try:
        return os.write(descriptor, data)
    except BlockingIOError:
        return 0


def _plain(value: object) -> str:
    """A value on one line; what holds blanks or quotes is written as JSON writes it."""
    if isinstance(value, str) and value and not any(c.isspace() or c in '"=\\' for c in value):
        return value
    return orjson.dumps(value, default=repr).decode()


default_log = Log()


def log(event: str, **fields: object) -> None:
    """Write one event with its fields."""
    default_log.write(event, fields)


def log_problem(event: str, error: Problem, **fields: object) -> None:
    """Write an event with the error behind it and what can be done about that."""
    default_log.write(event, {"error": str(error), **fields, "remedy": error.remedy})


def log_exception(where: str, error: BaseException) -> None:
    """Write an exception that nothing foresaw, with the place it came from."""
    trace = traceback.format_exception(error)
    log("unexpected", where=where, error=f"{type(error).__name__}: {error}", trace="".join(trace[-4:]))
