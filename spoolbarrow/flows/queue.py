"""Queue of records for one collector, bounded in number and bytes; drops and counts the oldest. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from spoolbarrow.flows.encode import Record

RECORD_OVERHEAD_BYTES = 120  # memory besides its data: its tuple and its queue slot


class RecordQueue:
    """First in, first out; over its bounds it drops the oldest record, since newer ones are worth more."""

    def __init__(self, max_records: int, max_bytes: int) -> None:
        self._max_records, self._max_bytes = max_records, max_bytes
        self._records: deque[Record] = deque()
        self.bytes = 0
        self.dropped = self.dropped_packets = self.dropped_octets = 0  # totals

    def __len__(self) -> int:
        """The number of queued records."""
        return len(self._records)

    def resize(self, max_records: int, max_bytes: int) -> None:
        """Apply new bounds."""
        self._max_records, self._max_bytes = max_records, max_bytes
        self._drop_excess()

    def add(self, record: Record) -> None:
        """Append a record."""
        self._records.append(record)
        self.bytes += len(record.data) + RECORD_OVERHEAD_BYTES
        self._drop_excess()

    def first(self, count: int) -> list[Record]:
        """The oldest records, without removing them."""
        return list(islice(self._records, count))

    def take(self, number: int) -> list[Record]:
        """Remove and return the oldest records."""
        taken = [self._records.popleft() for _ in range(min(number, len(self._records)))]
        self.bytes -= sum(len(record.data) + RECORD_OVERHEAD_BYTES for record in taken)
        return taken

    def put_back(self, records: Iterable[Record]) -> None:
        """Put records that were taken and not delivered back to the front, in their order."""
        for record in reversed(list(records)):
            self._records.appendleft(record)
            self.bytes += len(record.data) + RECORD_OVERHEAD_BYTES
        self._drop_excess()

    def count_dropped(self, records: Iterable[Record]) -> None:
        """Count records that were taken and will not be delivered."""
        for record in records:
            self.dropped += 1
            self.dropped_packets += record.packets
            self.dropped_octets += record.octets

    def _drop_excess(self) -> None:
        while len(self._records) > self._max_records or self.bytes > self._max_bytes:
            self.count_dropped(self.take(1))
