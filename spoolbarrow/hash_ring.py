"""A consistent-hash ring: which members come first for a key. Who asks chooses among them."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Collection, Iterable
from hashlib import blake2b
from struct import unpack
from typing import Generic, Protocol, TypeVar

POINTS_PER_MEMBER = 32  # places of a member on the ring: shares even to about a sixth
DIGEST_POINTS = 8  # 64-bit numbers in one digest
CACHED_WALKS_MAX = 250  # walks of a ring remembered

_M64 = (1 << 64) - 1


def mix64(first: int, second: int) -> int:
    """A well spread 64-bit number of two: the score of rendezvous hashing."""
    x = ((first ^ second) * 0x9E3779B97F4A7C15) & _M64
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & _M64
    return x ^ (x >> 32)


def ring_points(name: str) -> tuple[int, ...]:
    """A member's places on any ring, the same in every process."""
    digests = [
        blake2b(name.encode(), salt=b"%d" % n).digest() for n in range(POINTS_PER_MEMBER // DIGEST_POINTS)
    ]
    return unpack(f">{POINTS_PER_MEMBER}Q", b"".join(digests))


class RingMember(Protocol):
    """What stands on a ring."""

    id: str
    points: tuple[int, ...]


Member = TypeVar("Member", bound=RingMember)


class HashRing(Generic[Member]):
    """Members by their places."""

    def __init__(self) -> None:
        self._places: list[tuple[int, str, Member]] = []
        self._walks: dict[tuple[int, int], list[Member]] = {}

    def __bool__(self) -> bool:
        """Whether anybody stands on it."""
        return bool(self._places)

    def update(self, joined: Iterable[Member], staying: Collection[Member]) -> None:
        """Take new members in, and drop those that are neither new nor `staying`."""
        self._places = [place for place in self._places if place[2] in staying]
        self._places += [(point, member.id, member) for member in joined for point in member.points]
        self._places.sort(key=lambda place: place[:2])
        self._walks.clear()

    def walk(self, key: int, count: int) -> list[Member]:
        """The first distinct members from a key's place on, `count` at most: no ranking of all."""
        found = self._walks.get((key, count))
        if found is None:
            if len(self._walks) >= CACHED_WALKS_MAX:
                self._walks.clear()  # sessions come and go
            found = self._walks[key, count] = self._search(key, count)
        return list(found)

    def members(self) -> set[Member]:
        """Who stands on it."""
        return {place[2] for place in self._places}

    def cached_walks(self) -> int:
        """How many walks it keeps in memory."""
        return len(self._walks)

    def _search(self, key: int, count: int) -> list[Member]:
        ring, found = self._places, dict[Member, None]()
        start = bisect(ring, (mix64(key, 1), ""), key=lambda place: place[:2])
        for place in range(start, start + len(ring)):
            found[ring[place % len(ring)][2]] = None
            if len(found) >= count:
                break
        return list(found)
