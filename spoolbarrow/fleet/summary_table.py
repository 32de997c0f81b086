"""The table of routers' summaries of one kind: the newest of each router, and which of them count.

Two tables that were given the same documents are equal, in whatever order and however often those came: of
a router's documents the one with the highest revision counts, and of more routers than `MAX_ROUTERS` those
with the lowest names. Processes write their key only at the revision they know, so the store's revisions also
order incarnations: a late write of a dead process is never accepted. No I/O; times are milliseconds on the
reader's own clock, which is never set back; decisions do not depend on the clocks of other machines.
"""

from __future__ import annotations

import hashlib

from msgspec import Struct

from spoolbarrow.fleet.documents import (
    EVIDENCE_PREFIX,
    MAX_NAME_CHARS,
    InvalidDocument,
    Summary,
    decode_document,
)

MAX_ROUTERS = 256  # with MAX_BODY_BYTES each: at most 16 MiB, at the lease holder alone


class Entry(Struct, frozen=True):
    """A router's newest document; `moved` is whether an older one of it was seen before."""

    revision: int
    summary: Summary | None  # None: it is malformed, and counts as absent
    seen_at: float
    moved: bool


class SummaryTable:
    """Entries by router; `dropped` counts documents that were malformed, foreign or beyond the bound."""

    def __init__(self, kind: str) -> None:
        self._prefix = f"{EVIDENCE_PREFIX}{kind}/"
        self._entries: dict[str, Entry] = {}
        self.dropped = 0

    def add(self, now: float, key: str, revision: int, text: bytes | str) -> None:
        """Add a document of the store, which may be a duplicate or out of date."""
        router = key.removeprefix(self._prefix)
        if router == key or not 0 < len(router) <= MAX_NAME_CHARS:
            self.dropped += 1
            return
        previous = self._entries.get(router)
        if previous is not None and revision <= previous.revision:
            return
        try:
            summary: Summary | None = decode_document(key, text, Summary)
        except InvalidDocument:
            summary = None
        if summary is not None and summary.router != router:
            summary = None  # a router may report for itself only
        self.dropped += summary is None
        self._entries[router] = Entry(revision, summary, now, previous is not None)
        if len(self._entries) > MAX_ROUTERS:
            del self._entries[max(self._entries)]
            self.dropped += 1

    def newest(self) -> dict[str, tuple[int, Summary | None]]:
        """Revision and summary by router: equal for all tables that were given the same documents."""
        return {name: (e.revision, e.summary) for name, e in sorted(self._entries.items())}

    def live_bodies(self, now: float, age_ms: float) -> list[bytes]:
        """The bodies that count now, in an order that does not depend on arrival.

        A body counts if its document changed within `age_ms` by this reader's own clock. A document that was
        seen only once may be of a process that died long ago.
        """
        live = [
            (router, entry.summary.body)
            for router, entry in self._entries.items()
            if entry.summary is not None and entry.moved and now - entry.seen_at <= age_ms
        ]
        return [body for _, body in sorted(live)]

    def remove_stale(self, now: float, age_ms: float) -> None:
        """Remove routers without a write for four times the age: they are gone for good."""
        for router, entry in list(self._entries.items()):
            if now - entry.seen_at > 4 * age_ms:
                del self._entries[router]


def new_incarnation(entropy: bytes) -> str:
    """A unique name of a process for its documents; the store's revisions order them, not the names."""
    return hashlib.blake2b(entropy, digest_size=8).hexdigest()
