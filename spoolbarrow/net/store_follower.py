"""The router's side of the store: the two greenlets that follow it.

One talks to the members, one call at a time: it reads what has changed, has leases claimed or renewed, and
summaries written. The other never waits for anybody: it applies what stands by now, or falls back where there
was no word for too long. No request waits for either. What is decided, and by whom, is decided in
`spoolbarrow.fleet`, which is pure.

The calls are in `store_client`, what is written in `fleet_writer`, and what documents do to the router in
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
    """Follows the store for one process; `changed` is called when shares were applied anew."""

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
        self._after = 0  # what was written up to this revision is known
        self._floor = 0  # no member that has less than this is listened to
        self._word_at = -1e18
        self._dropped = 0  # documents that could not be read
        self._summaries_at = 0.0
        self.apply(table)
        self._loops = [
            gevent.spawn(self._loop, self._round, math.inf),
            gevent.spawn(self._loop, self._apply, MAX_APPLY_PERIOD_MS),
        ]
        host.fleet = self

    def apply(self, table: FleetTable) -> None:
        """Go by new settings; what is known stays."""
        self._table = table
        self._store.apply(table)
        self._shared.set_within(table.within_s * 1000)
        self._writer.evidence_ms = table.evidence_ms
        for held in self._parts.values():
            held.set_ttl(table.ttl_s)
        for kind in FLEET_PARTS.keys() & self._parts.keys() - set(table.parts):
            self.remove(kind)
        for kind in table.parts:
            if kind not in self._parts:
                module, _, name = FLEET_PARTS[kind].partition(":")
                self.add(getattr(import_module(module), name)(self._router))
        for held in self._parts.values():
            held.watch(self._host, table)

    def add(self, part: d.Part) -> None:
        """Decide this in common, too, from now on; who adds it has given it what it needs of the host."""
        assert len(self._parts) < MAX_PARTS and part.kind not in self._parts
        self._parts[part.kind] = FleetPart(part, self._router, self._incarnation, self._table)
        self._after = 0  # its document may have been read before
        self._summaries_at = 0.0

    def remove(self, kind: str) -> None:
        """Decide this no more: plain behaviour."""
        self._parts.pop(kind).end(self._host.now())

    def stop(self) -> None:
        """Follow no more: as without a store."""
        gevent.killall(self._loops, block=False)
        for kind in list(self._parts):
            self.remove(kind)
        self._shared.stop()
        self._host.fleet = None

    # What operators are told

    def versions(self) -> dict[str, tuple[int, str]]:
        """Number and digest of what is acted on."""
        found = self._shared.versions(self._host.now())
        for kind, held in self._parts.items():
            version = held.version()
            if version is not None:
                found[f"fleet/{kind}"] = version
        return found

    def status(self) -> dict[str, object]:
        """How it goes."""
        now = self._host.now()
        return {
            "word_ms": round(now - self._word_at) if self._word_at > 0 else None,
            "upto": self._after,
            "members": self._store.status(),
            "dropped": self._dropped,
            "documents": self._shared.status(now),
            "balancers": self._host.config.settings.nodes,
            "parts": {kind: held.status() for kind, held in self._parts.items()},
        }

    # The loops

    def _loop(self, turn: Callable[[], None], max_period_ms: float) -> None:
        gevent.sleep(self._random.random() * self._table.period_ms / 1000)  # not all routers in one moment
        while True:
            begun, period = self._host.now(), min(self._table.period_ms, max_period_ms)
            try:
                turn()
            except Exception as error:  # never into serving; the next turn is as good
                log_exception("fleet", error)
            pause = period * (0.9 + 0.2 * self._random.random()) - (self._host.now() - begun)
            gevent.sleep(max(pause, MIN_PAUSE_MS) / 1000)

    def _apply(self) -> None:
        """Act on what stands by now. Waits for nobody."""
        now = self._host.now()
        self._shared.apply(now)
        for held in list(self._parts.values()):
            held.adopt(now)

    def _round(self) -> None:
        """Everything that is to be said to the members now."""
        heard = self._store.read_from_one(self._read)
        self._apply()
        if not heard:
            return
        due = self._host.now() - self._summaries_at >= self._table.evidence_ms
        if due:
            self._summaries_at = self._host.now()
        for held in list(self._parts.values()):
            try:
                if not held.silent_since:
                    self._writer.write_lease(held)
                if due and self._writer.write_summary(held):
                    self._summaries_at = 0.0
            except Exception as error:  # one part stops no other
                log_exception(f"fleet {held.part.kind}", error)

    # Reading

    def _read(self, member: int) -> None:
        """Learn what has changed; MemberUnavailable where the member is lost, without a leader or behind."""
        prefixes = [d.SHARED_PREFIX, *(held.standing_key for held in self._parts.values())]
        asked = self._host.now()
        for changes in self._store.changes(self._after, prefixes, member):
            if changes.applied < self._floor:
                raise MemberUnavailable(f"behind: it has {changes.applied} of {self._floor}")
            for document in changes.documents:
                self._learn(asked, document)
            if not changes.leader:  # cut off from the others: what it has is committed, and may not be all
                raise MemberUnavailable("it knows of no leader")
            self._after, self._floor = max(self._after, changes.upto), changes.applied
        self._word_at = asked
        self._shared.word(asked)

    def _learn(self, asked: float, document: Document) -> None:
        key, revision = document.key, document.revision
        held = next((held for held in self._parts.values() if held.standing_key == key), None)
        try:
            if key in self._shared:
                self._shared.learn(asked, key, revision, document.value)
            elif held is not None:
                held.see(asked, lease.decode_record(key, revision, document.value))
        except d.InvalidDocument as error:
            self._dropped += 1
            log("fleet_document", key=key, revision=revision, why=str(error)[:200], remedy=error.remedy)
            if held is not None:
                held.see(asked, lease.ObservedRecord(revision))
