"""What version of each shared item a router acts on, and since when routers contradict each other.

A version is a number, from the item's source, and a digest of its contents in one canonical form: the digest
decides whether two are the same, the number which is newer. Times are Unix milliseconds. Nothing here does
I/O or reads a clock.
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

    SETTINGS = "settings"  # the platform's, less what is each router's own
    SHARES = "shares"  # tenants' portions and quotas
    OPERATOR = "operator"  # the operator's file
    LIST = "list"  # discovery's, less addresses
    SUSPENSIONS = "suspensions"  # engines that operators want nothing sent to
    SHARED_SUSPENSIONS = "shared/suspensions"  # the store's documents as acted on: number is the revision
    SHARED_SHARES = "shared/shares"
    ROLL = "fleet/roll"  # decisions of the fleet's parts: number is the decision's; absent: none
    POOLS = "fleet/pools"
    SESSIONS = "fleet/sessions"
    DRAIN = "drain"  # whether operators sent this router's clients away: each router's own


COMPARED_ITEMS = tuple(item for item in VersionedItem if item is not VersionedItem.DRAIN)
OF_FILES = (
    VersionedItem.SETTINGS,
    VersionedItem.SHARES,
    VersionedItem.OPERATOR,
)  # the items that a reload changes
_canonical = msgspec.json.Encoder(order="sorted")


class Version(Struct, frozen=True):
    """`number` 0: the source gives none."""

    number: int
    digest: str
    since_ms: float


def digest(value: Any) -> str:
    """16 hex digits of anything that JSON can hold, the same for equal values whatever order keys have."""
    return blake2b(_canonical.encode(value), digest_size=8).hexdigest()


def files_digest(told: Mapping[VersionedItem, str]) -> str:
    """One digest of all that files say: what a router is told to adopt, or nothing."""
    return digest([told[item] for item in OF_FILES])


class VersionTracker:
    """The versions that one router acts on."""

    def __init__(self) -> None:
        self.versions: dict[VersionedItem, Version] = {}

    def record(self, now: float, item: VersionedItem, number: int, contents: str) -> bool:
        """It acts on contents of this digest now; whether that is another version."""
        old = self.versions.get(item)
        if old is not None and (old.number, old.digest) == (number, contents):
            return False
        # A number alone is no change of what the router acts on.
        since = old.since_ms if old is not None and old.digest == contents else now
        self.versions[item] = Version(number, contents, since)
        return True

    def refusal_reason(self, revision: int, contents: Mapping[VersionedItem, str]) -> str:
        """Why files of this revision must not be acted on, beginning with the key; empty: they may be."""
        old = self.versions.get(VersionedItem.OPERATOR)
        if old is None:
            return ""
        if revision < old.number:
            return f"agree.revision: {revision} is older than {old.number}, which is acted on"
        same = all(self.versions[item].digest == contents[item] for item in OF_FILES)
        if revision == old.number and not same:
            return f"agree.revision: {revision} is acted on with other contents: a change needs a higher one"
        return ""


class Difference(Struct, frozen=True):
    """An item on which routers act on more than one version."""

    item: VersionedItem
    since_ms: float  # the second of the versions came into force
    routers: Mapping[str, tuple[int, tuple[str, ...]]]  # by digest: its highest number, and who acts on it


def find_differences(told: Mapping[str, Mapping[VersionedItem, Version]]) -> list[Difference]:
    """Where routers, by name, contradict each other; what a router does not tell is no contradiction."""
    found = []
    for item in COMPARED_ITEMS:
        groups: dict[str, list[tuple[str, Version]]] = {}
        for router, versions in told.items():
            if item in versions:
                groups.setdefault(versions[item].digest, []).append((router, versions[item]))
        if len(groups) < 2:
            continue
        began = sorted(min(version.since_ms for _, version in its) for its in groups.values())
        routers = {
            of: (max(version.number for _, version in its), tuple(sorted(name for name, _ in its)))
            for of, its in groups.items()
        }
        found.append(Difference(item, began[1], routers))
    return found
