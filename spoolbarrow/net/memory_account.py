"""Accounts for the memory that is held for peers, so that nothing a peer causes lies outside the limit.

The limit is what the platform ends the process at; the interpreter and the program's modules take most of a
small one. What is left at the start is the capacity. Whoever holds something for a peer charges what it costs
in memory, objects and stacks included. Costs are estimates, so the resident memory is compared with the limit
as well: where it comes near, the capacity shrinks to what is held then.
"""

from __future__ import annotations

import gc
import os
from functools import cache

from msgspec import Struct

from spoolbarrow.config import Config
from spoolbarrow.heap import trim_heap
from spoolbarrow.net.log import log

MIB = 1024 * 1024
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM, STATM_BYTES = "/proc/self/statm", 128

# Costs in bytes, rounded up from `benchmarks/connection_memory.py`, which fails when one is exceeded.
CONNECTION_BYTES = 3_000  # a client connection at rest: a socket, a watcher, a compact record
INPUT_BYTES = 3_500  # its parser, while a request is read
FIELD_BYTES = 250  # a header field, beside its bytes, which are held twice while they are parsed
MESSAGE_BYTES = 600  # a request that was read, without its head and body
READER_BYTES = 10_000  # the stack of a greenlet that waits for a connection's input
REQUEST_BYTES = 26_000  # a request in flight without its body: two attempts, and an answer being written

# Held back from the capacity: lists of endpoints, the log's buffer, idle connections to endpoints, tables of
# the decisions. Python's heap is never filled without gaps.
RESERVE_BYTES = 1_500_000
USABLE_SHARE = 0.75
UNBOUNDED = 1 << 62
MIN_CAPACITY_BYTES = 512 * 1024  # a limit below the interpreter's own needs still serves a few requests
NEAR_LIMIT_SHARE = 0.94  # of the limit: resident memory from which nothing more may be held than is held
MIN_SHRUNK_SHARE = 0.25  # of the capacity: it shrinks no further,
RECOVERY_SHARE = 0.02  # and grows back by so much a check
CHECK_INTERVAL_MS = 10.0  # between looks at the resident memory
GARBAGE_SHARE = 0.125  # of the capacity: released since the last collection, from which one is due

NEW_CONNECTIONS_SHARE = 0.7  # of the capacity: beyond it no connection is accepted,
READING_SHARE = 0.9  # no request is read further; all of it is for requests in flight


class Resident(Struct, frozen=True):
    """Memory that this process has resident, bytes."""

    total: int
    shared: int  # with other processes that run the same program: files


USUAL_RESIDENT = Resident(25 * MIB, 9 * MIB)  # of a process at its start, where the kernel does not tell


@cache
def _statm() -> int:
    """A descriptor of the kernel's figures, kept open as they are read often."""
    return os.open(STATM, os.O_RDONLY | os.O_CLOEXEC)


def resident() -> Resident | None:
    """The memory that this process has resident now; None if the kernel does not tell."""
    try:
        _, total, shared = os.pread(_statm(), STATM_BYTES, 0).split()[:3]
    except (OSError, ValueError):
        return None
    return Resident(int(total) * PAGE_BYTES, int(shared) * PAGE_BYTES)


def capacity_bytes(limit_mb: float, at_start: Resident, processes: int = 1) -> int:
    """What may be held for peers by each of the processes that share a limit."""
    limit = int(limit_mb * MIB) - at_start.shared
    private = at_start.total - at_start.shared
    left = limit // processes - private - RESERVE_BYTES
    return max(MIN_CAPACITY_BYTES, int(USABLE_SHARE * left))


class MemoryAccount:
    """What is held for peers, and whether more fits; without a bound until `begin`."""

    def __init__(self, config: Config) -> None:
        self.held = 0
        self.capacity = UNBOUNDED
        self._config = config
        self._at_start: Resident | None = None
        self._released = 0  # since the last collection
        self._checked_at = 0.0  # ms

    def begin(self, at_start: Resident | None) -> None:
        """Share out what a process leaves of its limit that has so much resident before its first client."""
        self._at_start = at_start or USUAL_RESIDENT
        self.apply(self._config)

    def apply(self, config: Config) -> None:
        """Apply a new configuration, or another number of processes that share the limit."""
        self._config = config
        self.capacity = self._full_capacity()

    def _full_capacity(self) -> int:
        if self._at_start is None:
            return UNBOUNDED
        return capacity_bytes(self._config.limits.memory_mb, self._at_start, self._config.processes)

    def change(self, by: int) -> None:
        """Charge bytes, or give them back."""
        self.held += by
        if by < 0:
            self._released -= by

    def may_connect(self, connections: int) -> bool:
        """Whether so many connections could all be read at once, as they may be from one moment on."""
        each = CONNECTION_BYTES + INPUT_BYTES + READER_BYTES
        share = NEW_CONNECTIONS_SHARE * self.capacity
        return connections * each <= share and self.held + each <= share

    def fits(self, more: int, share: float = 1.0) -> bool:
        """Whether so much more can be held within a share of the capacity."""
        return self.held + more <= share * self.capacity

    def collect_garbage(self) -> None:
        """Collect cyclic garbage if much was released: it would wait for the next regular collection."""
        if self._released > GARBAGE_SHARE * self.capacity:
            self._released = 0
            gc.collect()

    def collect_and_trim(self) -> None:
        """Make room without giving anything up: collect garbage, and return free pages near the limit."""
        self.collect_garbage()
        now_resident = resident()
        if now_resident is not None and self.is_near_limit(now_resident.total):
            trim_heap()

    def is_near_limit(self, resident_bytes: int) -> bool:
        """Whether so much resident memory is near the limit."""
        return resident_bytes >= NEAR_LIMIT_SHARE * self._config.limits.memory_mb * MIB

    def check_limit(self, now: float) -> bool:
        """Compare the resident memory with the limit, at most each CHECK_INTERVAL_MS; whether it is near.

        The capacity shrinks to what is held then.
        """
        if now - self._checked_at < CHECK_INTERVAL_MS or self._at_start is None:
            return False
        self._checked_at = now
        now_resident = resident()
        if now_resident is None or not self.is_near_limit(now_resident.total):
            return False
        if self.hold_no_more():
            log("memory_near_limit", resident=now_resident.total, charged=self.held)
        return True

    def hold_no_more(self) -> bool:
        """Shrink the capacity to what is held now; false if that changes nothing."""
        full = self._full_capacity()
        shrunk = max(MIN_CAPACITY_BYTES, int(MIN_SHRUNK_SHARE * full), min(self.held, self.capacity))
        changed = shrunk < self.capacity
        self.capacity = shrunk
        return changed

    def recover(self) -> None:
        """Let the capacity grow back, as the resident memory has left the limit's neighbourhood."""
        full = self._full_capacity()
        self.capacity = min(full, self.capacity + int(RECOVERY_SHARE * full))
