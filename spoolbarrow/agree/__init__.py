"""Versions of configuration and state that routers share, and where routers differ; no I/O and no clock."""

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
    "Version",
    "VersionTracker",
    "VersionedItem",
    "digest",
    "files_digest",
    "find_differences",
]
