"""Writes the documents of fleet parts to the store: leases, decisions of a lease's holder, and summaries.

Blocks on calls to the store's members, so it runs in the greenlet that makes them. What is written, and by
whom, is decided in `spoolbarrow.fleet`, which does no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from spoolbarrow.fleet import documents as d
from spoolbarrow.fleet import lease
from spoolbarrow.fleet.summary_table import SummaryTable
from spoolbarrow.net.log import log
from spoolbarrow.net.store_client import MemberUnavailable, StoreClient

if TYPE_CHECKING:
    from spoolbarrow.net.fleet_part import FleetPart
    from spoolbarrow.net.host import Host

MAX_SUMMARY_AGE_PERIODS = 3.5  # evidence periods without a new summary, after which the last one is stale


class FleetWriter:
    """Writes for one process of a router, identified by `router` and `incarnation`."""

    def __init__(
        self, host: Host, store: StoreClient, router: str, incarnation: str, evidence_ms: float
    ) -> None:
        self._host, self._store = host, store
        self._router, self._incarnation = router, incarnation
        self.evidence_ms = evidence_ms

    def write_lease(self, fleet_part: FleetPart) -> None:
        """Claim or renew the lease of a part if that is due; its holder also makes decisions."""
        now, new_decision, last_decision = self._host.now(), None, None
        if fleet_part.claim.observed is None:
            fleet_part.claim.observe(now, lease.ObservedRecord(0))  # all was read: there is no lease
        elif fleet_part.claim.observed.record is not None:
            last_decision = fleet_part.claim.observed.record.decision
        if fleet_part.claim.holds():
            new_decision = self._decide(fleet_part)
        else:
            fleet_part.evidence = None
        written_at = self._host.now()
        put = fleet_part.claim.next_write(written_at, new_decision)
        if put is None:
            return
        if new_decision is not None and put.record.decision != last_decision:
            decided = put.record.decision
            assert decided is not None
            log("fleet_decided", kind=fleet_part.part.kind, epoch=decided.epoch, number=decided.number)
        revision = self._store.put(
            fleet_part.standing_key, d.encode_document(put.record), put.expected_revision
        ).revision
        if revision > 0:
            fleet_part.record(written_at, lease.ObservedRecord(revision, put.record))
            fleet_part.adopt(self._host.now())

    def write_summary(self, fleet_part: FleetPart) -> bool:
        """Write this router's summary unless a later process of it does; return whether to retry at once."""
        now = self._host.now()
        if (fleet_part.passive_since or fleet_part.summary_revision is None) and not self._is_writer(
            now, fleet_part
        ):
            return False
        assert fleet_part.summary_revision is not None
        body = fleet_part.part.summary(now)
        if len(body) > d.MAX_BODY_BYTES:
            raise d.InvalidDocument(fleet_part.summary_key, f"a summary of {len(body)} bytes was made")
        fleet_part.sequence += 1
        text = d.encode_document(d.Summary(self._router, self._incarnation, fleet_part.sequence, now, body))
        put = self._store.put(fleet_part.summary_key, text, fleet_part.summary_revision)
        if put.revision > 0:
            fleet_part.summary_revision, fleet_part.summary_written = put.revision, True
            return False
        return put.conflict and self._is_writer(now, fleet_part)  # reads the current revision

    def _decide(self, fleet_part: FleetPart) -> bytes | None:
        """A new decision from the current evidence; None if there is none or the evidence can't be read."""
        evidence = self._read_evidence(fleet_part)
        if evidence is None:
            return None
        now, age_ms = self._host.now(), MAX_SUMMARY_AGE_PERIODS * self.evidence_ms
        evidence.remove_stale(now, age_ms)
        assert fleet_part.claim.observed is not None and fleet_part.claim.observed.record is not None
        last_decision = fleet_part.claim.observed.record.decision
        decided = fleet_part.part.decide(
            now, evidence.live_bodies(now, age_ms), None if last_decision is None else last_decision.body
        )
        if decided is not None and len(decided) > d.MAX_BODY_BYTES:
            raise d.InvalidDocument(fleet_part.standing_key, f"a decision of {len(decided)} bytes was made")
        return decided

    def _read_evidence(self, fleet_part: FleetPart) -> SummaryTable | None:
        """The summaries of all routers, with those written since the last read; None if unavailable."""
        kind = fleet_part.part.kind
        if fleet_part.evidence is None:
            fleet_part.evidence, fleet_part.evidence_revision = SummaryTable(kind), 0
        called_at = self._host.now()
        try:
            for changes in self._store.changes(fleet_part.evidence_revision, [f"{d.EVIDENCE_PREFIX}{kind}/"]):
                for document in changes.documents:
                    fleet_part.evidence.add(called_at, document.key, document.revision, document.value)
                fleet_part.evidence_revision = max(fleet_part.evidence_revision, changes.upto)
        except MemberUnavailable:
            return None
        return fleet_part.evidence

    def _is_writer(self, now: float, fleet_part: FleetPart) -> bool:
        """Read the revision of this router's summary; return whether this process is to write it.

        Of two processes of one router, the later one writes: a process that has written before and finds
        another's summary is the older, and stays passive until that summary is stale.
        """
        try:
            answer = self._store.get(fleet_part.summary_key)
        except MemberUnavailable:
            return False
        revision = 0 if answer is None else answer.revision
        try:
            summary = (
                None if answer is None else d.decode_document(fleet_part.summary_key, answer.value, d.Summary)
            )
            own = summary is None or summary.incarnation == self._incarnation
        except d.InvalidDocument:
            own = True  # no process writes it
        if not own and fleet_part.summary_written:
            if revision != fleet_part.summary_revision or not fleet_part.passive_since:
                fleet_part.passive_since = now
                fleet_part.summary_revision = revision
                log(
                    "fleet_silent",
                    kind=fleet_part.part.kind,
                    why="a later process of this router writes the summary",
                )
            if now - fleet_part.passive_since <= MAX_SUMMARY_AGE_PERIODS * self.evidence_ms:
                return False
        fleet_part.passive_since, fleet_part.summary_revision = 0.0, revision
        return True
