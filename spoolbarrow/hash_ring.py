"""Consistent-hash ring that gives the first members for a key; the caller chooses among them."""

from __future__ import annotations

from _blake2 import blake2b  # `hashlib` loads OpenSSL: 3.5 MB of resident memory
from bisect import bisect
from collections.abc import Collection, Iterable
from struct import unpack
from typing import Generic, Protocol, TypeVar

POINTS_PER_MEMBER = 32  # points of a member on the ring: shares are equal to within about a sixth
DIGEST_POINTS = 8  # 64-bit numbers in one digest
CACHED_WALKS_MAX = 250  # cached results of a ring

_M64 = (1 << 64) - 1


def mix64(first: int, second: int) -> int:
    """Mix two numbers into a uniform 64-bit number, the score of rendezvous hashing."""
    x = ((first ^ second) * 0x9E3779B97F4A7C15) & _M64
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & _M64
    return x ^ (x >> 32)


def ring_points(name: str) -> tuple[int, ...]:
    """A member's points on any ring, the same in every process."""
    digests = [
        blake2b(name.encode(), salt=b"%d" % n).digest() for n in range(POINTS_PER_MEMBER // DIGEST_POINTS)
    ]
    return unpack(f">{POINTS_PER_MEMBER}Q", b"".join(digests))


class RingMember(Protocol):
    """A member of a ring."""

    id: str
    points: tuple[int, ...]


Member = TypeVar("Member", bound=RingMember)


class HashRing(Generic[Member]):
    """Members by their points."""

    def __init__(self) -> None:
        self._points: list[tuple[int, str, Member]] = []
        self._walks: dict[tuple[int, int], list[Member]] = {}

    def __bool__(self) -> bool:
        """Whether the ring has members."""
        return bool(self._points)

    def update(self, joined: Iterable[Member], staying: Collection[Member]) -> None:
        """Add new members, and remove those that are neither new nor `staying`."""
        self._points = [entry for entry in self._points if entry[2] in staying]
        self._points += [(point, member.id, member) for member in joined for point in member.points]
        self._points.sort(key=lambda entry: entry[:2])
        self._walks.clear()

    def walk(self, key: int, count: int) -> list[Member]:
        """The first distinct members from a key's point on, at most `count`, without ranking all members."""
        found = self._walks.get((key, count))
        if found is None:
            if len(self._walks) >= CACHED_WALKS_MAX:
                self._walks.clear()  # the keys of ended sessions are never removed singly
            found = self._walks[key, count] = self._search(key, count)
        return list(found)

    def members(self) -> set[Member]:
        """All members."""
        return {entry[2] for entry in self._points}

    def cached_walks(self) -> int:
        """Number of cached walks."""
        return len(self._walks)

    def _search(self, key: int, count: int) -> list[Member]:
        ring, found = self._points, dict[Member, None]()
        start = bisect(ring, (mix64(key, 1), ""), key=lambda entry: entry[:2])
        for index in range(start, start + len(ring)):
            found[ring[index % len(ring)][2]] = None
            if len(found) >= count:
                break
        return list(found)
