"""Assigns clients to accounts in bounded memory: heavy clients get their own, all others share buckets.

Heavy clients are found by Space-Saving (A. Metwally, D. Agrawal and A. El Abbadi, "Efficient Computation of
Frequent and Top-k Elements in Data Streams", ICDT 2005), with its counts halved periodically. Any other
client has one bucket in each of several rows (the layout of G. Cormode and S. Muthukrishnan, "An Improved
Data Stream Summary: The Count-Min Sketch", J. Algorithms 55, 2005) and is charged in the emptiest of
them, so a light client is affected only if all its buckets are shared with heavy ones.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

from spoolbarrow.admission.errors import AdmissionError

HALVE_AFTER_PER_SLOT = 64  # counts are halved once the total exceeds slots * max(work, 1) this many times


class HeavyHitters:
    """Space-Saving counts of the at most `slots` heaviest clients by work."""

    def __init__(self, slots: int) -> None:
        if slots < 1:
            raise AdmissionError("", "at least one slot is needed")
        self.slots = slots
        self.counts: dict[int, float] = {}
        self.errors: dict[int, float] = {}  # the part of a count that may belong to evicted clients
        self.heap: list[tuple[float, int]] = []
        self.total = 0.0

    def add(self, client: int, work: float) -> None:
        """Count work; without a free slot the client with the smallest count is evicted."""
        self.total += work
        if client in self.counts:
            self.counts[client] += work
        elif len(self.counts) < self.slots:
            self.counts[client], self.errors[client] = work, 0.0
            heappush(self.heap, (work, client))
        else:
            smallest, evicted = self._smallest()
            heappop(self.heap)
            del self.counts[evicted], self.errors[evicted]
            self.counts[client], self.errors[client] = smallest + work, smallest
            heappush(self.heap, (smallest + work, client))

    def is_heavy(self, client: int) -> bool:
        """Whether the client certainly has more than an even share of the work of all slots."""
        count = self.counts.get(client)
        return count is not None and count - self.errors[client] > self.total / self.slots

    def halve(self) -> None:
        """Halve all counts; clients with a count below 1 are dropped."""
        self.total /= 2.0
        self.counts = {client: count / 2.0 for client, count in self.counts.items() if count >= 1.0}
        self.errors = {client: self.errors[client] / 2.0 for client in self.counts}
        self.heap = [(count, client) for client, count in self.counts.items()]
        heapify(self.heap)

    def _smallest(self) -> tuple[float, int]:
        while True:
            count, client = self.heap[0]
            current = self.counts.get(client)
            if current == count:
                return count, client
            heappop(self.heap)
            if current is not None:
                heappush(self.heap, (current, client))


class ClientAccounts:
    """Accounts of clients; a client is a 64-bit hash that outsiders cannot predict."""

    def __init__(self, slots: int = 256, rows: int = 4, width: int = 128) -> None:
        if not 1 <= rows <= 4 or not 1 <= width <= 65_536:
            raise AdmissionError("", "the number of rows must be from 1 to 4, their width from 1 to 65536")
        self.heavy_hitters = HeavyHitters(slots)
        self.rows, self.width = rows, width

    def buckets(self, number: int) -> list[int]:
        """A client's buckets, one per row, each selected by 16 bits of its number."""
        return [row * self.width + (number >> 16 * row & 0xFFFF) % self.width for row in range(self.rows)]

    def account(self, number: int, ahead: Callable[[int], float]) -> int:
        """The account to charge: the client's own, or the emptiest of its buckets.

        Its own account is the bitwise complement of its number, which no bucket index equals.
        """
        if self.heavy_hitters.is_heavy(number):
            return ~number
        emptiest, smallest = -1, 0.0
        for bucket in self.buckets(number):
            charged = ahead(bucket)
            if emptiest < 0 or charged < smallest:
                emptiest, smallest = bucket, charged
                if charged <= 0.0:
                    break
        return emptiest

    def add(self, number: int, work: float) -> None:
        """Count work of a client."""
        self.heavy_hitters.add(number, work)
        if self.heavy_hitters.total > HALVE_AFTER_PER_SLOT * self.heavy_hitters.slots * max(work, 1.0):
            self.heavy_hitters.halve()


def full_collision_probability(heavy_hitters: int, rows: int, width: int) -> float:
    """Probability that a light client shares all its buckets with `heavy_hitters` other clients.

    Each of those occupies a random bucket in every row.
    """
    return float((1.0 - (1.0 - 1.0 / width) ** heavy_hitters) ** rows)
