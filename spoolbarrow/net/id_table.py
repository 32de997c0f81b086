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
from functools import lru_cache
from mmap import mmap

SLOTS_PER_BUCKET, BUCKETS = 8, 1024
REMEMBERED_S = 60  # after the end of a request that may have run
CACHED_FINGERPRINTS = 64
OPEN = 0xFFFF_FFFF  # in place of an expiry time
EMPTY = 0
_SLOT = struct.Struct("=QI")  # fingerprint of an id, expiry time
_BUCKET = struct.Struct("=" + "QI" * SLOTS_PER_BUCKET)
TABLE_BYTES = _BUCKET.size * BUCKETS

Memory = bytearray | mmap


@lru_cache(CACHED_FINGERPRINTS)
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
        mark = fingerprint(id)
        _, marks, expiries = self._bucket(mark)
        return mark in marks and expiries[marks.index(mark)] > time.monotonic()

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

    def _put(self, mark: int, expiry: int) -> None:
        """Write an entry over its own, or over the one that expires first."""
        first, marks, expiries = self._bucket(mark)
        known = mark in marks
        slot = marks.index(mark) if known else expiries.index(min(expiries))
        if expiry != EMPTY:
            _SLOT.pack_into(self._memory, first + slot * _SLOT.size, mark, expiry)
        elif known:
            _SLOT.pack_into(self._memory, first + slot * _SLOT.size, 0, EMPTY)

    def _bucket(self, mark: int) -> tuple[int, tuple[int, ...], tuple[int, ...]]:
        """Where the slots are that an id may be in, their fingerprints and their expiry times."""
        first = mark % BUCKETS * _BUCKET.size
        slots = _BUCKET.unpack_from(self._memory, first)
        return first, slots[::2], slots[1::2]


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
        if id not in self._open:
            self._open.add(id)
            self.table.open(id)

    def end(self, id: str, may_have_run: bool) -> None:
        """Note that a request is over and its last attempt has ended."""
        self._open.discard(id)
        self.table.end(id, may_have_run)
