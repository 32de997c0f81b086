"""IPFIX files (RFC 5655): messages in a directory, compressed, each file whole or known not to be.

The disk is written by a thread (spool.py): a slow one holds nobody up.
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
from spoolbarrow.flows.sender import RECORDS_AT_ONCE, STATISTICS_MS, now_ms
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.operator import Collector, FlowsTable
from spoolbarrow.spool import Spool

ENDING = ".ipfix.zst"
FILE_MESSAGE = 16_384  # octets of a message
WRITE_BYTES = 1 << 18  # messages gathered for one write and frame
RETRY_S = 1.0  # after a disk's error, before the next attempt


class FileSink:
    """Writes the records of one directory."""

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
        self.stream = ExportStream(IPFIX, table.domain_id, table.enterprise, FILE_MESSAGE, origin)
        self._spool = Spool(Path(collector.directory), ENDING, table.file_keep)
        self._statistics_at = 0.0
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
        self._table, self._spool.max_files = table, table.file_keep
        self.queue.resize(table.queue_records, table.queue_bytes)

    def close(self, within_s: float) -> None:
        """Write what waits and complete the file, as far as that goes within the time."""
        self._end.set()
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
                self._woken.clear()
                while self.queue.first(1):
                    self._write_some(threads)
                old = now_ms() - self._spool.opened_ms >= self._table.file_ms
                if old or self._end.is_set():
                    threads.apply(self._spool.complete)
                self._failed = False
                # Guards against what came while the thread was at the file: it was lost at the end.
                if self._end.is_set() and not self.queue.first(1):
                    return
            except OSError as error:
                self._failed = True
                log("collector_lost", collector=str(self.collector), why=str(error), waiting=len(self.queue))
                with suppress(OSError):
                    threads.apply(self._spool.abandon)
                if self._end.wait(RETRY_S):
                    return
            except Exception as error:
                log_exception("flows", error)
                if self._end.wait(RETRY_S):
                    return
            self._woken.wait(max(self._table.flush_ms, 10.0) / 1000)
            if self._woken.is_set():
                self._end.wait(self._table.flush_ms / 1000)

    def _write_some(self, threads: Any) -> None:
        messages: list[bytes] = []
        if not self._spool.is_open:
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
            threads.apply(self._spool.append, (b"".join(messages),))
        except BaseException:
            self.queue.put_back(taken)  # the file that has them, torn, is put aside
            raise
        if self._spool.size_bytes >= self._table.file_bytes:
            threads.apply(self._spool.complete)

    def _begin(self) -> list[bytes]:
        """A new file's first messages: it can be read by itself (RFC 5655, section 7.1)."""
        begun, self._statistics_at = now_ms(), 0.0
        self.stream.restart()
        messages = self.stream.template_messages(begun)
        options = self._options()
        while options:
            message, number = self.stream.data_message(options, begun)
            messages.append(message)
            options = options[number:]
        return messages
