"""Records that wait for one collector: bounded in number and bytes, the oldest dropped and counted. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from spoolbarrow.flows.encode import Record

OVERHEAD = 120  # bytes that a record takes in memory beside its data: its tuple, its place in the queue


class RecordQueue:
    """First in, first out; over its bounds the oldest goes, since newer records are worth more."""

    def __init__(self, most_records: int, most_bytes: int) -> None:
        self._most_records, self._most_bytes = most_records, most_bytes
        self._records: deque[Record] = deque()
        self.bytes = 0
        self.dropped = self.dropped_packets = self.dropped_octets = 0  # in all

    def __len__(self) -> int:
        """Records that wait."""
        return len(self._records)

    def resize(self, most_records: int, most_bytes: int) -> None:
        """Go by other bounds."""
        self._most_records, self._most_bytes = most_records, most_bytes
        self._bound()

    def add(self, record: Record) -> None:
        """Take one more."""
        self._records.append(record)
        self.bytes += len(record.data) + OVERHEAD
        self._bound()

    def first(self, most: int) -> list[Record]:
        """The oldest ones, which stay."""
        return list(islice(self._records, most))

    def take(self, number: int) -> list[Record]:
        """The oldest ones, which go."""
        taken = [self._records.popleft() for _ in range(min(number, len(self._records)))]
        self.bytes -= sum(len(record.data) + OVERHEAD for record in taken)
        return taken

    def put_back(self, records: Iterable[Record]) -> None:
        """Records that were taken and did not arrive: in front again, in their order."""
        for record in reversed(list(records)):
            self._records.appendleft(record)
            self.bytes += len(record.data) + OVERHEAD
        self._bound()

    def lose(self, records: Iterable[Record]) -> None:
        """Count records that were taken and will never arrive."""
        for record in records:
            self.dropped += 1
            self.dropped_packets += record.packets
            self.dropped_octets += record.octets

    def _bound(self) -> None:
        while len(self._records) > self._most_records or self.bytes > self._most_bytes:
            self.lose(self.take(1))
