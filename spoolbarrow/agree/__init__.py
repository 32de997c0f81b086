"""Versions of what routers share, and where routers contradict each other; free of I/O and clock."""

from spoolbarrow.agree.versions import (
    COMPARED_ITEMS,
    Difference,
    Version,
    VersionedItem,
    VersionTracker,
    digest,
    files_digest,
    find_differences,
)

__all__ = [
    "COMPARED_ITEMS",
    "Difference",
    "VersionedItem",
    "VersionTracker",
    "Version",
    "find_differences",
    "digest",
    "files_digest",
]
