"""Whose account a client's work goes to, in bounded memory: the heaviest have one of their own.

Heavy ones are found by Space-Saving (A. Metwally, D. Agrawal and A. El Abbadi, "Efficient Computation of
Frequent and Top-k Elements in Data Streams", ICDT 2005), its counts halved now and then. All others share
buckets, each client a few of many (shuffle sharding): it is let in by the emptiest of its own, so a quiet
client suffers only where every one of its buckets is shared with somebody heavy.
"""

from __future__ import annotations

from hashlib import blake2b
from heapq import heapify, heappop, heappush
from math import comb
from typing import NamedTuple

HALVE_AFTER = 64  # times the slots' number of work units counted: then all counts are halved


class Account(NamedTuple):
    """An account of a client's work: its own, or a bucket."""

    own: bool
    name: int


class Heavy:
    """The heaviest clients by work, `slots` of them at most."""

    def __init__(self, slots: int) -> None:
        if slots < 1:
            raise ValueError("there must be a slot at least")
        self.slots = slots
        self.counts: dict[int, float] = {}
        self.errors: dict[int, float] = {}  # how much of a count may be another's
        self.heap: list[tuple[float, int]] = []
        self.total = 0.0

    def add(self, client: int, work: float) -> int | None:
        """Count work; the client that lost its slot for it, if one did."""
        evicted = None
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
        return evicted

    def is_heavy(self, client: int) -> bool:
        """Whether more than an even share of all slots' work is surely this client's."""
        count = self.counts.get(client, 0.0)
        return count - self.errors.get(client, 0.0) > self.total / self.slots

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


class Clients:
    """Accounts of clients."""

    def __init__(self, slots: int = 256, buckets: int = 512, shards: int = 4, salt: bytes = b"") -> None:
        if not 1 <= shards <= buckets:
            raise ValueError("a client needs a bucket at least, and no more than there are")
        self.heavy = Heavy(slots)
        self.buckets, self.shards, self.salt = buckets, shards, salt[:16]

    def number(self, client: str) -> int:
        """A client's number: 64 bits, salted."""
        return int.from_bytes(blake2b(client.encode(), digest_size=8, salt=self.salt).digest(), "big")

    def accounts(self, number: int) -> list[Account]:
        """Where a client's work goes: to its own account, or to each of its buckets."""
        if self.heavy.is_heavy(number):
            return [Account(True, number)]
        chosen: list[Account] = []
        draw = 0
        while len(chosen) < self.shards:
            digest = blake2b(number.to_bytes(8, "big"), salt=draw.to_bytes(4, "big")).digest()
            for place in range(0, len(digest), 4):
                bucket = int.from_bytes(digest[place : place + 4], "big") % self.buckets
                if Account(False, bucket) not in chosen and len(chosen) < self.shards:
                    chosen.append(Account(False, bucket))
            draw += 1
        return chosen

    def add(self, number: int, work: float) -> int | None:
        """Count a client's work; the client whose own account is to be closed, if any."""
        evicted = self.heavy.add(number, work)
        if self.heavy.total > HALVE_AFTER * self.heavy.slots * max(work, 1.0):
            self.heavy.halve()
        return evicted


def shared_wholly(heavy: int, buckets: int, shards: int) -> float:
    """Chance that a quiet client shares every one of its buckets with one of `heavy` clients in buckets.

    Upper bound: each of the heavy ones takes `shards` buckets of its own.
    """
    taken = min(buckets, heavy * shards)
    return comb(taken, shards) / comb(buckets, shards)
