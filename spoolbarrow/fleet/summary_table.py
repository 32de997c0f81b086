"""The evidence table: the newest summary of each router, of one kind, and which of them count.

Two tables that were told the same documents are equal, in whatever order and however often those came: of a
router's documents the one with the highest revision stands, and of more routers than `MOST_ROUTERS` those
with the lowest names. Processes write their key only at the revision they know, so the store's revisions are
the one order of incarnations too: what a dead process says late is never written. No I/O; times are
milliseconds on the reader's own clock, which is never set back; other machines' clocks decide nothing.
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

MOST_ROUTERS = 256  # with MAX_BODY_BYTES each: 16 MiB at the worst, at the lease's holder alone


class Entry(Struct, frozen=True):
    """A router's newest document; `moved` is whether an older one of it was seen before."""

    revision: int
    summary: Summary | None  # None: it can't be read, and counts as absent
    seen_at: float
    moved: bool


class SummaryTable:
    """By router; `dropped` counts documents that were unreadable, foreign or beyond the bound."""

    def __init__(self, kind: str) -> None:
        self._prefix = f"{EVIDENCE_PREFIX}{kind}/"
        self._entries: dict[str, Entry] = {}
        self.dropped = 0

    def add(self, now: float, key: str, revision: int, text: bytes | str) -> None:
        """A document of the store, perhaps told before or late."""
        router = key.removeprefix(self._prefix)
        if router == key or not 0 < len(router) <= MAX_NAME_CHARS:
            self.dropped += 1
            return
        old = self._entries.get(router)
        if old is not None and revision <= old.revision:
            return
        try:
            summary: Summary | None = decode_document(key, text, Summary)
        except InvalidDocument:
            summary = None
        if summary is not None and summary.router != router:
            summary = None  # a router speaks for itself alone
        self.dropped += summary is None
        self._entries[router] = Entry(revision, summary, now, old is not None)
        if len(self._entries) > MOST_ROUTERS:
            del self._entries[max(self._entries)]
            self.dropped += 1

    def newest(self) -> dict[str, tuple[int, Summary | None]]:
        """What stands of each router: the same for all tables that were told the same."""
        return {name: (e.revision, e.summary) for name, e in sorted(self._entries.items())}

    def live_bodies(self, now: float, age_ms: float) -> list[bytes]:
        """The bodies that count now, in one order whatever came first.

        Those count whose router wrote within `age_ms`, seen by this reader's own clock to have moved: a
        document that it has seen only once may be of a process that died long ago.
        """
        counting = [
            (router, entry.summary.body)
            for router, entry in self._entries.items()
            if entry.summary is not None and entry.moved and now - entry.seen_at <= age_ms
        ]
        return [body for _, body in sorted(counting)]

    def remove_stale(self, now: float, age_ms: float) -> None:
        """Forget routers that have said nothing for four times the age: they have gone for good."""
        for router, entry in list(self._entries.items()):
            if now - entry.seen_at > 4 * age_ms:
                del self._entries[router]


def new_incarnation(entropy: bytes) -> str:
    """A process's name for its documents: no two are the same; their order is the store's."""
    return hashlib.blake2b(entropy, digest_size=8).hexdigest()
