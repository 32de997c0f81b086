"""Follows the store at a router, in two greenlets.

One calls the store's members, one call at a time: it reads changes, claims or renews leases, and writes
summaries. The other never blocks: it applies the documents that are valid now, or falls back when they were
not confirmed for too long. No request waits for either. What is decided, and by whom, is decided in
`spoolbarrow.fleet`, which does no I/O.

The calls are in `store_client`, the writes in `fleet_writer`, and the effects of documents on the router in
`shared_documents` and `fleet_part`.
"""

from __future__ import annotations

import math
import os
from collections.abc import Callable
from importlib import import_module
from random import SystemRandom
from typing import TYPE_CHECKING

import gevent

from spoolbarrow.fleet import documents as d
from spoolbarrow.fleet import lease
from spoolbarrow.fleet.summary_table import new_incarnation
from spoolbarrow.net.fleet_part import FleetPart
from spoolbarrow.net.fleet_writer import FleetWriter
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.shared_documents import SharedDocuments
from spoolbarrow.net.store_client import Document, MemberUnavailable, StoreClient
from spoolbarrow.operator import FLEET_PARTS

if TYPE_CHECKING:
    from spoolbarrow.net.host import Host
    from spoolbarrow.operator import FleetTable

MAX_PARTS = 16
MAX_APPLY_PERIOD_MS = 250.0
MIN_PAUSE_MS = 10.0


class StoreFollower:
    """Follows the store for one process; `changed` is called after shares were applied."""

    def __init__(self, host: Host, table: FleetTable, changed: Callable[[], None]) -> None:
        self._host = host
        self._router, self._incarnation = (
            host.config.name[: d.MAX_NAME_CHARS],
            new_incarnation(os.urandom(16)),
        )
        self._random = SystemRandom()
        self._store = StoreClient(table, self._random)
        self._shared = SharedDocuments(host, table.within_s * 1000, changed)
        self._writer = FleetWriter(host, self._store, self._router, self._incarnation, table.evidence_ms)
        self._parts: dict[str, FleetPart] = {}
        self._revision = 0  # all writes up to this revision are known
        self._min_applied = 0  # members that have applied less than this are skipped
        self._confirmed_at = -1e18
        self._invalid_count = 0  # documents that could not be decoded
        self._summaries_at = 0.0
        self.apply(table)
        self._loops = [
            gevent.spawn(self._loop, self._sync, math.inf),
            gevent.spawn(self._loop, self._apply, MAX_APPLY_PERIOD_MS),
        ]
        host.fleet = self

    def apply(self, table: FleetTable) -> None:
        """Apply new settings; the known state is kept."""
        self._table = table
        self._store.apply(table)
        self._shared.set_within(table.within_s * 1000)
        self._writer.evidence_ms = table.evidence_ms
        for fleet_part in self._parts.values():
            fleet_part.set_ttl(table.ttl_s)
        for kind in FLEET_PARTS.keys() & self._parts.keys() - set(table.parts):
            self.remove(kind)
        for kind in table.parts:
            if kind not in self._parts:
                module, _, name = FLEET_PARTS[kind].partition(":")
                self.add(getattr(import_module(module), name)(self._router))
        for fleet_part in self._parts.values():
            fleet_part.watch(self._host, table)

    def add(self, part: d.Part) -> None:
        """Add a part; the caller has already given it what it needs of the host."""
        assert len(self._parts) < MAX_PARTS and part.kind not in self._parts
        self._parts[part.kind] = FleetPart(part, self._router, self._incarnation, self._table)
        self._revision = 0  # its document may have been read before
        self._summaries_at = 0.0

    def remove(self, kind: str) -> None:
        """Remove a part: the router acts without its decisions."""
        self._parts.pop(kind).end(self._host.now())

    def stop(self) -> None:
        """Stop following: the router acts as without a store."""
        gevent.killall(self._loops, block=False)
        for kind in list(self._parts):
            self.remove(kind)
        self._shared.stop()
        self._host.fleet = None

    # Reports to operators

    def versions(self) -> dict[str, tuple[int, str]]:
        """Number and digest of each shared document and decision in effect."""
        found = self._shared.versions(self._host.now())
        for kind, fleet_part in self._parts.items():
            version = fleet_part.version()
            if version is not None:
                found[f"fleet/{kind}"] = version
        return found

    def status(self) -> dict[str, object]:
        """The status for operators."""
        now = self._host.now()
        return {
            "word_ms": round(now - self._confirmed_at) if self._confirmed_at > 0 else None,
            "upto": self._revision,
            "members": self._store.status(),
            "dropped": self._invalid_count,
            "documents": self._shared.status(now),
            "balancers": self._host.config.settings.nodes,
            "parts": {kind: fleet_part.status() for kind, fleet_part in self._parts.items()},
        }

    # The loops

    def _loop(self, run_once: Callable[[], None], max_period_ms: float) -> None:
        gevent.sleep(self._random.random() * self._table.period_ms / 1000)  # spread the routers
        while True:
            started_at, period = self._host.now(), min(self._table.period_ms, max_period_ms)
            try:
                run_once()
            except Exception as error:  # must not disturb serving; the next run tries again
                log_exception("fleet", error)
            pause = period * (0.9 + 0.2 * self._random.random()) - (self._host.now() - started_at)
            gevent.sleep(max(pause, MIN_PAUSE_MS) / 1000)

    def _apply(self) -> None:
        """Apply the documents and decisions that are valid now. Never blocks."""
        now = self._host.now()
        self._shared.apply(now)
        for fleet_part in list(self._parts.values()):
            fleet_part.adopt(now)

    def _sync(self) -> None:
        """Read from a member, apply, and write leases and summaries that are due."""
        read_ok = self._store.read_from_one(self._read)
        self._apply()
        if not read_ok:
            return
        summaries_due = self._host.now() - self._summaries_at >= self._table.evidence_ms
        if summaries_due:
            self._summaries_at = self._host.now()
        for fleet_part in list(self._parts.values()):
            try:
                if not fleet_part.passive_since:
                    self._writer.write_lease(fleet_part)
                if summaries_due and self._writer.write_summary(fleet_part):
                    self._summaries_at = 0.0
            except Exception as error:  # a failing part must not stop the others
                log_exception(f"fleet {fleet_part.part.kind}", error)

    # Reading

    def _read(self, member: int) -> None:
        """Read all changes; MemberUnavailable if the member is unreachable, without a leader or behind."""
        prefixes = [d.SHARED_PREFIX, *(fleet_part.standing_key for fleet_part in self._parts.values())]
        called_at = self._host.now()
        for changes in self._store.changes(self._revision, prefixes, member):
            if changes.applied < self._min_applied:
                raise MemberUnavailable(f"behind: it has {changes.applied} of {self._min_applied}")
            for document in changes.documents:
                self._apply_document(called_at, document)
            if not changes.leader:  # it may be partitioned: its data is committed, but may be incomplete
                raise MemberUnavailable("it knows no leader")
            self._revision, self._min_applied = max(self._revision, changes.upto), changes.applied
        self._confirmed_at = called_at
        self._shared.confirm(called_at)

    def _apply_document(self, called_at: float, document: Document) -> None:
        key, revision = document.key, document.revision
        fleet_part = next(
            (fleet_part for fleet_part in self._parts.values() if fleet_part.standing_key == key), None
        )
        try:
            if key in self._shared:
                self._shared.learn(called_at, key, revision, document.value)
            elif fleet_part is not None:
                fleet_part.record(called_at, lease.decode_record(key, revision, document.value))
        except d.InvalidDocument as error:
            self._invalid_count += 1
            log("fleet_document", key=key, revision=revision, why=str(error)[:200], remedy=error.remedy)
            if fleet_part is not None:
                fleet_part.record(called_at, lease.ObservedRecord(revision))
