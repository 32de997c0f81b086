"""Remembers the ids of requests that are open or may have run, in a table of fixed size.

A second request with such an id would run the first one's work twice, or could be taken for it. The table is
plain memory of fixed layout, so that processes of one router can map each other's. Entries are evicted by
age, those of open requests last. Times are seconds of the machine's monotonic clock, which processes share.
"""

from __future__ import annotations

import struct
import time
from _blake2 import blake2b  # `hashlib` loads OpenSSL: 3.5 MB of resident memory
from collections.abc import Callable, Iterable, Iterator
from mmap import mmap

SLOTS_PER_BUCKET, BUCKETS = 8, 1024
REMEMBERED_S = 60  # after the end of a request that may have run
OPEN = 0xFFFF_FFFF  # in place of an expiry time
EMPTY = 0
_SLOT = struct.Struct("=QI")  # fingerprint of an id, expiry time
TABLE_BYTES = _SLOT.size * SLOTS_PER_BUCKET * BUCKETS

Memory = bytearray | mmap


def fingerprint(id: str) -> int:
    """What stands for an id in the table."""
    digest = blake2b(id.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return int.from_bytes(digest) or 1


class IdTable:
    """The ids of one process, in its own memory or in a file that others map."""

    def __init__(self, memory: Memory | None = None) -> None:
        self._memory: Memory = bytearray(TABLE_BYTES) if memory is None else memory

    def has(self, id: str) -> bool:
        """Whether a request with this id is open or may have run."""
        mark, now = fingerprint(id), int(time.monotonic())
        return any(found == mark and expiry > now for _, found, expiry in self._bucket(mark))

    def open(self, id: str) -> None:
        """Note that a request is open."""
        self._put(fingerprint(id), OPEN)

    def end(self, id: str, may_have_run: bool) -> None:
        """Note that a request is over; it is remembered for a while if it may have run."""
        self._put(fingerprint(id), int(time.monotonic()) + REMEMBERED_S if may_have_run else EMPTY)

    def absorb(self, other: IdTable) -> None:
        """Remember what a process that has ended knew: its open requests may have run."""
        now = int(time.monotonic())
        for mark, expiry in other.entries():
            if expiry > now:
                self._put(mark, min(expiry, now + REMEMBERED_S))

    def entries(self) -> Iterator[tuple[int, int]]:
        """All fingerprints, with their expiry times."""
        for position in range(0, TABLE_BYTES, _SLOT.size):
            mark, expiry = _SLOT.unpack_from(self._memory, position)
            if mark:
                yield mark, expiry

    def _bucket(self, mark: int) -> Iterator[tuple[int, int, int]]:
        """Position, fingerprint and expiry time of each slot that this one may be in."""
        first = mark % BUCKETS * SLOTS_PER_BUCKET * _SLOT.size
        for position in range(first, first + SLOTS_PER_BUCKET * _SLOT.size, _SLOT.size):
            found, expiry = _SLOT.unpack_from(self._memory, position)
            yield position, found, expiry

    def _put(self, mark: int, expiry: int) -> None:
        """Write an entry over its own, or over the one that expires first."""
        slots = list(self._bucket(mark))
        own = [slot for slot in slots if slot[1] == mark]
        position = (own or [min(slots, key=lambda slot: slot[2])])[0][0]
        if expiry != EMPTY:
            _SLOT.pack_into(self._memory, position, mark, expiry)
        elif own:
            _SLOT.pack_into(self._memory, position, 0, EMPTY)


class RequestIds:
    """The ids that no new request may have, as known to this process."""

    def __init__(self) -> None:
        self.table = IdTable()
        self.peers: Callable[[], Iterable[IdTable]] = tuple  # tables of the router's other processes
        self._open: set[str] = set()

    def is_open(self, id: str) -> bool:
        """Whether a request with this id, or an attempt at it, is open in this process."""
        return id in self._open

    def is_taken(self, id: str) -> bool:
        """Whether a request with this id is open or may have run, in any process of this router."""
        return id in self._open or self.table.has(id) or any(peer.has(id) for peer in self.peers())

    def claim(self, id: str) -> bool:
        """Note an id as open; false if another process does so at the same time."""
        self.open(id)
        if any(peer.has(id) for peer in self.peers()):
            self.end(id, may_have_run=False)
            return False
        return True

    def open(self, id: str) -> None:
        """Note that a request is open in this process."""
        self._open.add(id)
        self.table.open(id)

    def end(self, id: str, may_have_run: bool) -> None:
        """Note that a request is over and its last attempt has ended."""
        self._open.discard(id)
        self.table.end(id, may_have_run)
