"""IPFIX files (RFC 5655): messages in a directory, compressed, each file whole or known not to be.

A file is written as `NAME.part` and renamed once it is complete and on the disk. Each write is a zstd frame
of its own, so a crash tears the last frame at most: what is before it can be read. Leftover parts of an
earlier run are renamed `.torn` and kept like the others. The disk is written by a thread: a slow one holds
nobody up.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import zstandard
from gevent.event import Event

from spoolbarrow.flows.encode import IPFIX, Record, Stream
from spoolbarrow.flows.queue import RecordQueue
from spoolbarrow.flows.sender import RECORDS_AT_ONCE, STATISTICS_MS, now_ms
from spoolbarrow.net.log import log, unexpected
from spoolbarrow.operator import Collector, FlowsTable

PART, WHOLE, TORN = ".part", ".ipfix.zst", ".torn"
FILE_MESSAGE = 16_384  # octets of a message
WRITE_BYTES = 1 << 18  # messages gathered for one write and frame
RETRY_S = 1.0  # after a disk's error, before the next attempt


class FileSink:
    """Writes the records of one directory."""

    def __init__(
        self, collector: Collector, table: FlowsTable, options: Callable[[], list[Record]],
        statistics: Callable[[Stream, RecordQueue], Record], origin: float,
    ) -> None:
        self.collector, self._table, self._options, self._statistics = collector, table, options, statistics
        self.queue = RecordQueue(table.queue_records, table.queue_bytes)
        self.stream = Stream(IPFIX, table.domain_id, table.enterprise, FILE_MESSAGE, origin)
        self._directory = Path(collector.directory)
        self._packer = zstandard.ZstdCompressor(level=3)
        self._file: int | None = None
        self._path = self._directory
        self._size, self._begun, self._statistics_at = 0, 0.0, 0.0
        self._count = 0
        self._failed = False
        self._woken = Event()
        self._end = Event()
        self._greenlet = gevent.spawn(self._run)

    def wake(self) -> None:
        """There may be something to do."""
        self._woken.set()

    def healthy(self) -> bool:
        """Whether the last write went well."""
        return not self._failed

    def apply(self, table: FlowsTable, tls: Any = None) -> None:
        """Go by other settings."""
        self._table = table
        self.queue.resize(table.queue_records, table.queue_bytes)

    def close(self, within_s: float) -> None:
        """Write what waits and complete the file, as far as that goes within the time."""
        self._end.set()
        self.wake()
        self._greenlet.join(within_s)
        self._greenlet.kill()

    def _run(self) -> None:
        threads = gevent.get_hub().threadpool
        threads.apply(self._tidy)
        while True:
            try:
                self._woken.clear()
                while self.queue.first(1):
                    self._write_some(threads)
                old = self._file is not None and now_ms() - self._begun >= self._table.file_ms
                if self._file is not None and (old or self._end.is_set()):
                    threads.apply(self._complete)
                self._failed = False
                if self._end.is_set():
                    return
            except OSError as error:
                self._failed = True
                log("collector_lost", collector=str(self.collector), why=str(error), waiting=len(self.queue))
                self._abandon()
                if self._end.wait(RETRY_S):
                    return
            except Exception as error:
                unexpected("flows", error)
                if self._end.wait(RETRY_S):
                    return
            self._woken.wait(max(self._table.flush_ms, 10.0) / 1000)
            if self._woken.is_set():
                self._end.wait(self._table.flush_ms / 1000)

    def _write_some(self, threads: Any) -> None:
        messages: list[bytes] = []
        if self._file is None:
            messages += self._begin()
        if now_ms() - self._statistics_at >= STATISTICS_MS:
            told = self._statistics(self.stream, self.queue)
            messages.append(self.stream.data_message([told], now_ms())[0])
            self._statistics_at = now_ms()
        taken: list[Record] = []
        while sum(map(len, messages)) < WRITE_BYTES and (records := self.queue.first(RECORDS_AT_ONCE)):
            message, number = self.stream.data_message(records, now_ms())
            taken += self.queue.take(number)
            messages.append(message)
        try:
            threads.apply(self._append, (b"".join(messages),))
        except BaseException:
            self.queue.put_back(taken)  # the file that has them, torn, is put aside
            raise
        if self._size >= self._table.file_bytes:
            threads.apply(self._complete)

    def _begin(self) -> list[bytes]:
        """A new file's first messages: it can be read by itself (RFC 5655, section 7.1)."""
        self._begun = now_ms()
        self._statistics_at = 0.0
        self.stream.restart()
        messages = self.stream.template_messages(self._begun)
        options = self._options()
        while options:
            message, number = self.stream.data_message(options, self._begun)
            messages.append(message)
            options = options[number:]
        return messages

    # In a thread

    def _append(self, data: bytes) -> None:
        if self._file is None:
            self._count += 1
            stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime(self._begun / 1000))
            self._path = self._directory / f"{stamp}-{os.getpid()}-{self._count:05d}{WHOLE}{PART}"
            self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o640)
            self._size = 0
        frame = self._packer.compress(data)
        while frame:
            done = os.write(self._file, frame)
            self._size += done
            frame = frame[done:]

    def _complete(self) -> None:
        assert self._file is not None, "called with a file open"
        os.fsync(self._file)
        os.close(self._file)
        self._file = None
        os.rename(self._path, self._path.with_suffix(""))
        kept = sorted(p for p in self._directory.iterdir() if p.name.endswith((WHOLE, WHOLE + TORN)))
        for old in kept[: -self._table.file_keep]:
            old.unlink(missing_ok=True)

    def _abandon(self) -> None:
        """Put a file aside that could not be written on."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
            self._aside(self._path)

    def _tidy(self) -> None:
        """What an earlier run left unfinished; another one's that still runs is left alone."""
        for part in self._directory.glob(f"*{WHOLE}{PART}"):
            owner = part.name.split("-")[1]
            if not (owner.isdigit() and Path(f"/proc/{owner}").exists()) or int(owner) == os.getpid():
                self._aside(part)

    def _aside(self, part: Path) -> None:
        try:
            part.rename(part.with_suffix(TORN))
        except OSError as error:
            log("collector_lost", collector=str(self.collector), why=str(error), waiting=len(self.queue))
