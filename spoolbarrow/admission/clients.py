"""Whose account a client's work goes to, in bounded memory: the heaviest have one of their own.

Heavy ones are found by Space-Saving (A. Metwally, D. Agrawal and A. El Abbadi, "Efficient Computation of
Frequent and Top-k Elements in Data Streams", ICDT 2005), its counts halved now and then. All others share
buckets: a client has one in each of several rows (the layout of G. Cormode and S. Muthukrishnan, "An Improved
Data Stream Summary: The Count-Min Sketch", J. Algorithms 55, 2005) and is charged in the emptiest of them,
so a quiet client suffers only where all its buckets are shared with somebody heavy.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush

from spoolbarrow.admission.errors import AdmissionError

HALVE_AFTER = 64  # times the slots' number of work units counted: then all counts are halved


class HeavyHitters:
    """The heaviest clients by work, `slots` of them at most."""

    def __init__(self, slots: int) -> None:
        if slots < 1:
            raise AdmissionError("", "there must be a slot at least")
        self.slots = slots
        self.counts: dict[int, float] = {}
        self.errors: dict[int, float] = {}  # how much of a count may be another's
        self.heap: list[tuple[float, int]] = []
        self.total = 0.0

    def add(self, client: int, work: float) -> None:
        """Count work; where no slot is free, who has had least loses its own."""
        self.total += work
        if client in self.counts:
            self.counts[client] += work
        elif len(self.counts) < self.slots:
            self.counts[client], self.errors[client] = work, 0.0
            heappush(self.heap, (work, client))
        else:
            least, evicted = self._least()
            heappop(self.heap)
            del self.counts[evicted], self.errors[evicted]
            self.counts[client], self.errors[client] = least + work, least
            heappush(self.heap, (least + work, client))

    def is_heavy(self, client: int) -> bool:
        """Whether more than an even share of all slots' work is surely this client's."""
        count = self.counts.get(client)
        return count is not None and count - self.errors[client] > self.total / self.slots

    def halve(self) -> None:
        """Old work counts half; what is left of nobody's is forgotten."""
        self.total /= 2.0
        self.counts = {client: count / 2.0 for client, count in self.counts.items() if count >= 1.0}
        self.errors = {client: self.errors[client] / 2.0 for client in self.counts}
        self.heap = [(count, client) for client, count in self.counts.items()]
        heapify(self.heap)

    def _least(self) -> tuple[float, int]:
        while True:
            count, client = self.heap[0]
            now = self.counts.get(client)
            if now == count:
                return count, client
            heappop(self.heap)
            if now is not None:
                heappush(self.heap, (now, client))


class ClientAccounts:
    """Accounts of clients; a client is a 64-bit number, well spread and not to be guessed from outside."""

    def __init__(self, slots: int = 256, rows: int = 4, width: int = 128) -> None:
        if not 1 <= rows <= 4 or not 1 <= width <= 65_536:
            raise AdmissionError("", "rows must lie in 1 to 4, the width of each in 1 to 65536")
        self.heavy = HeavyHitters(slots)
        self.rows, self.width = rows, width

    def buckets(self, number: int) -> list[int]:
        """A client's buckets, one in each row: of 16 bits of its number each."""
        return [row * self.width + (number >> 16 * row & 0xFFFF) % self.width for row in range(self.rows)]

    def account(self, number: int, ahead: Callable[[int], float]) -> int:
        """Where a client's work goes: to its own account, or to the emptiest of its buckets.

        Its own is named by its number's complement, so that no bucket has that name.
        """
        if self.heavy.is_heavy(number):
            return ~number
        best, least = -1, 0.0
        for bucket in self.buckets(number):
            had = ahead(bucket)
            if best < 0 or had < least:
                best, least = bucket, had
                if had <= 0.0:
                    break
        return best

    def add(self, number: int, work: float) -> None:
        """Count a client's work."""
        self.heavy.add(number, work)
        if self.heavy.total > HALVE_AFTER * self.heavy.slots * max(work, 1.0):
            self.heavy.halve()


def shared_wholly(heavy: int, rows: int, width: int) -> float:
    """Chance that a quiet client shares all its buckets with some of `heavy` others.

    Each of those fills a bucket of every row, at random.
    """
    return float((1.0 - (1.0 - 1.0 / width) ** heavy) ** rows)
