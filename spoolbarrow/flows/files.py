"""Writes flow records to compressed IPFIX files (RFC 5655) in a directory.

Each file is complete, or its name shows that it is not. A thread writes to the disk (spool.py), so that a
slow disk does not block other greenlets.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from spoolbarrow.flows.encode import IPFIX, ExportStream, Record
from spoolbarrow.flows.queue import RecordQueue
from spoolbarrow.flows.sender import MAX_MESSAGE_RECORDS, STATISTICS_MS, now_ms
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.operator import Collector, FlowsTable
from spoolbarrow.spool import Spool

FILE_SUFFIX = ".ipfix.zst"
FILE_MESSAGE_BYTES = 16_384  # of one message at most
WRITE_BYTES = 1 << 18  # of messages for one write and one zstd frame
RETRY_S = 1.0  # between a disk error and the next attempt


class FileSink:
    """Writes the records of one collector to its directory."""

    def __init__(
        self,
        collector: Collector,
        table: FlowsTable,
        options: Callable[[], list[Record]],
        statistics: Callable[[ExportStream, RecordQueue], Record],
        origin: float,
    ) -> None:
        self.collector, self._table, self._options, self._statistics = collector, table, options, statistics
        self.queue = RecordQueue(table.queue_records, table.queue_bytes)
        self.stream = ExportStream(IPFIX, table.domain_id, table.enterprise, FILE_MESSAGE_BYTES, origin)
        self._spool = Spool(Path(collector.directory), FILE_SUFFIX, table.file_keep)
        self._statistics_at = 0.0
        self._failed = False
        self._wake_event = Event()
        self._end_event = Event()
        self._greenlet = gevent.spawn(self._run)

    def wake(self) -> None:
        """Wake the greenlet: there may be records to write."""
        self._wake_event.set()

    def healthy(self) -> bool:
        """Whether the last write succeeded."""
        return not self._failed

    def apply(self, table: FlowsTable, tls: Any = None) -> None:
        """Apply new settings."""
        self._table, self._spool.max_files = table, table.file_keep
        self.queue.resize(table.queue_records, table.queue_bytes)

    def close(self, within_s: float) -> None:
        """Write queued records and complete the file, as far as possible within the time."""
        self._end_event.set()
        self.wake()
        self._greenlet.join(within_s)
        self._greenlet.kill()

    def _run(self) -> None:
        threads = gevent.get_hub().threadpool
        try:
            threads.apply(self._spool.set_aside_leftovers)
        except OSError as error:
            log("collector_lost", collector=str(self.collector), why=str(error), waiting=len(self.queue))
        while True:
            try:
                self._wake_event.clear()
                while self.queue.first(1):
                    self._write_batch(threads)
                old = now_ms() - self._spool.opened_ms >= self._table.file_ms
                if old or self._end_event.is_set():
                    threads.apply(self._spool.complete)
                self._failed = False
                # Records that arrived while the thread completed the file would otherwise be lost at the end.
                if self._end_event.is_set() and not self.queue.first(1):
                    return
            except OSError as error:
                self._failed = True
                log("collector_lost", collector=str(self.collector), why=str(error), waiting=len(self.queue))
                with suppress(OSError):
                    threads.apply(self._spool.abandon)
                if self._end_event.wait(RETRY_S):
                    return
            except Exception as error:
                log_exception("flows", error)
                if self._end_event.wait(RETRY_S):
                    return
            self._wake_event.wait(max(self._table.flush_ms, 10.0) / 1000)
            if self._wake_event.is_set():
                self._end_event.wait(self._table.flush_ms / 1000)

    def _write_batch(self, threads: Any) -> None:
        messages: list[bytes] = []
        if not self._spool.is_open:
            messages += self._start_file()
        if now_ms() - self._statistics_at >= STATISTICS_MS:
            statistics = self._statistics(self.stream, self.queue)
            messages.append(self.stream.data_message([statistics], now_ms())[0])
            self._statistics_at = now_ms()
        taken: list[Record] = []
        while sum(map(len, messages)) < WRITE_BYTES and (records := self.queue.first(MAX_MESSAGE_RECORDS)):
            message, number = self.stream.data_message(records, now_ms())
            taken += self.queue.take(number)
            messages.append(message)
        try:
            threads.apply(self._spool.append, (b"".join(messages),))
        except BaseException:
            self.queue.put_back(taken)  # the incomplete file that has them is set aside
            raise
        if self._spool.size_bytes >= self._table.file_bytes:
            threads.apply(self._spool.complete)

    def _start_file(self) -> list[bytes]:
        """The first messages of a new file, which make it readable by itself (RFC 5655, section 7.1)."""
        now, self._statistics_at = now_ms(), 0.0
        self.stream.restart()
        messages = self.stream.template_messages(now)
        options = self._options()
        while options:
            message, number = self.stream.data_message(options, now)
            messages.append(message)
            options = options[number:]
        return messages
