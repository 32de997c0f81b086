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

    def write_lease(self, held: FleetPart) -> None:
        """Claim or renew the lease of a part if that is due; its holder also makes decisions."""
        now, new_decision, last = self._host.now(), None, None
        if held.claim.observed is None:
            held.claim.observe(now, lease.ObservedRecord(0))  # everything was read, and there is no lease
        elif held.claim.observed.record is not None:
            last = held.claim.observed.record.decision
        if held.claim.holds():
            new_decision = self._decide(held)
        else:
            held.evidence = None
        sent = self._host.now()
        put = held.claim.next_write(sent, new_decision)
        if put is None:
            return
        if new_decision is not None and put.record.decision != last:
            made = put.record.decision
            assert made is not None
            log("fleet_decided", kind=held.part.kind, epoch=made.epoch, number=made.number)
        revision = self._store.put(
            held.standing_key, d.encode_document(put.record), put.expected_revision
        ).revision
        if revision > 0:
            held.record(sent, lease.ObservedRecord(revision, put.record))
            held.adopt(self._host.now())

    def write_summary(self, held: FleetPart) -> bool:
        """Write this router's summary unless a later process of it does; return whether to retry at once."""
        now = self._host.now()
        if (held.passive_since or held.summary_revision is None) and not self._is_writer(now, held):
            return False
        assert held.summary_revision is not None
        body = held.part.summary(now)
        if len(body) > d.MAX_BODY_BYTES:
            raise d.InvalidDocument(held.summary_key, f"a summary of {len(body)} bytes was made")
        held.sequence += 1
        text = d.encode_document(d.Summary(self._router, self._incarnation, held.sequence, now, body))
        put = self._store.put(held.summary_key, text, held.summary_revision)
        if put.revision > 0:
            held.summary_revision, held.summary_written = put.revision, True
            return False
        return put.conflict and self._is_writer(now, held)  # reads the current revision

    def _decide(self, held: FleetPart) -> bytes | None:
        """A new decision from the current evidence; None if there is none or the evidence can't be read."""
        evidence = self._read_evidence(held)
        if evidence is None:
            return None
        now, age_ms = self._host.now(), MAX_SUMMARY_AGE_PERIODS * self.evidence_ms
        evidence.remove_stale(now, age_ms)
        assert held.claim.observed is not None and held.claim.observed.record is not None
        last = held.claim.observed.record.decision
        made = held.part.decide(now, evidence.live_bodies(now, age_ms), None if last is None else last.body)
        if made is not None and len(made) > d.MAX_BODY_BYTES:
            raise d.InvalidDocument(held.standing_key, f"a decision of {len(made)} bytes was made")
        return made

    def _read_evidence(self, held: FleetPart) -> SummaryTable | None:
        """The summaries of all routers, with those written since the last read; None if unavailable."""
        kind = held.part.kind
        if held.evidence is None:
            held.evidence, held.evidence_revision = SummaryTable(kind), 0
        asked = self._host.now()
        try:
            for changes in self._store.changes(held.evidence_revision, [f"{d.EVIDENCE_PREFIX}{kind}/"]):
                for one in changes.documents:
                    held.evidence.add(asked, one.key, one.revision, one.value)
                held.evidence_revision = max(held.evidence_revision, changes.upto)
        except MemberUnavailable:
            return None
        return held.evidence

    def _is_writer(self, now: float, held: FleetPart) -> bool:
        """Read the revision of this router's summary; return whether this process is to write it.

        Of two processes of one router, the later one writes: a process that has written before and finds
        another's summary is the older, and stays passive until that summary is stale.
        """
        try:
            answer = self._store.get(held.summary_key)
        except MemberUnavailable:
            return False
        revision = 0 if answer is None else answer.revision
        try:
            summary = None if answer is None else d.decode_document(held.summary_key, answer.value, d.Summary)
            own = summary is None or summary.incarnation == self._incarnation
        except d.InvalidDocument:
            own = True  # no process writes it
        if not own and held.summary_written:
            if revision != held.summary_revision or not held.passive_since:
                held.passive_since = now
                held.summary_revision = revision
                log(
                    "fleet_silent",
                    kind=held.part.kind,
                    why="a later process of this router writes the summary",
                )
            if now - held.passive_since <= MAX_SUMMARY_AGE_PERIODS * self.evidence_ms:
                return False
        held.passive_since, held.summary_revision = 0.0, revision
        return True
