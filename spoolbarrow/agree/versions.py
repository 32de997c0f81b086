"""Versions of the configuration and state that routers share, and detection of routers that disagree on them.

A version is a number, from the item's source, and a digest of its contents in canonical form: the digest
decides whether two versions are equal, the number which is newer. Times are Unix milliseconds. Nothing here
does I/O or reads a clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from hashlib import blake2b
from typing import Any

import msgspec
from msgspec import Struct


class VersionedItem(Enum):
    """What has a version."""

    SETTINGS = "settings"  # the platform's settings without those of a single router
    SHARES = "shares"  # portions and quotas of tenants
    OPERATOR = "operator"  # the operator's file
    LIST = "list"  # the list from discovery without addresses
    SUSPENSIONS = "suspensions"  # engines that operators have suspended
    SHARED_SUSPENSIONS = "shared/suspensions"  # documents of the store in force; the number is the revision
    SHARED_SHARES = "shared/shares"
    ROLL = "fleet/roll"  # decisions of the fleet's parts, by the decision's number; absent without a decision
    POOLS = "fleet/pools"
    SESSIONS = "fleet/sessions"
    DRAIN = "drain"  # whether an operator drained this router's clients; differs between routers


COMPARED_ITEMS = tuple(item for item in VersionedItem if item is not VersionedItem.DRAIN)
FILE_ITEMS = (VersionedItem.SETTINGS, VersionedItem.SHARES, VersionedItem.OPERATOR)  # changed by a reload
_canonical_encoder = msgspec.json.Encoder(order="sorted")


class Version(Struct, frozen=True):
    """A version in force since `since_ms`; `number` is 0 where the source has no numbers."""

    number: int
    digest: str
    since_ms: float


def digest(value: Any) -> str:
    """16 hex digits for any JSON value, equal for equal values whatever the order of keys."""
    return blake2b(_canonical_encoder.encode(value), digest_size=8).hexdigest()


def files_digest(digests: Mapping[VersionedItem, str]) -> str:
    """One digest over all files: a router adopts exactly these contents, or nothing."""
    return digest([digests[item] for item in FILE_ITEMS])


class VersionTracker:
    """The versions in force at one router."""

    def __init__(self) -> None:
        self.versions: dict[VersionedItem, Version] = {}

    def record(self, now: float, item: VersionedItem, number: int, contents: str) -> bool:
        """Record contents with this digest as in force; returns whether that is another version."""
        old = self.versions.get(item)
        if old is not None and (old.number, old.digest) == (number, contents):
            return False
        # A new number alone does not change the contents in force.
        since = old.since_ms if old is not None and old.digest == contents else now
        self.versions[item] = Version(number, contents, since)
        return True

    def refusal_reason(self, revision: int, contents: Mapping[VersionedItem, str]) -> str:
        """Why files of this revision must not be adopted, beginning with the key; empty if they may be."""
        old = self.versions.get(VersionedItem.OPERATOR)
        if old is None:
            return ""
        if revision < old.number:
            return f"agree.revision: {revision} is older than {old.number}, which is in force"
        is_same = all(self.versions[item].digest == contents[item] for item in FILE_ITEMS)
        if revision == old.number and not is_same:
            return f"agree.revision: {revision} is in force with other contents: a change needs a higher one"
        return ""


class Difference(Struct, frozen=True):
    """An item of which different routers have different versions in force."""

    item: VersionedItem
    since_ms: float  # when the second of the versions came into force
    routers: Mapping[str, tuple[int, tuple[str, ...]]]  # by digest: the highest number, and its routers


def find_differences(
    versions_by_router: Mapping[str, Mapping[VersionedItem, Version]],
) -> list[Difference]:
    """Find the items on which routers differ; an item that a router does not report is no difference."""
    found = []
    for item in COMPARED_ITEMS:
        groups: dict[str, list[tuple[str, Version]]] = {}
        for router, versions in versions_by_router.items():
            if item in versions:
                groups.setdefault(versions[item].digest, []).append((router, versions[item]))
        if len(groups) < 2:
            continue
        starts = sorted(min(version.since_ms for _, version in group) for group in groups.values())
        routers = {
            contents: (max(version.number for _, version in group), tuple(sorted(name for name, _ in group)))
            for contents, group in groups.items()
        }
        found.append(Difference(item, starts[1], routers))
    return found
