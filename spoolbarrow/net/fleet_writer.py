"""What this process writes to the store for a part: leases, decisions where it holds one, and summaries.

Waits for the store's members, so it runs in the greenlet that calls them. What is to be written, and by whom,
is decided in `spoolbarrow.fleet`, which is pure.
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

MAX_AGE_PERIODS = 3.5  # evidence periods: a summary that has not moved for so long counts no more


class FleetWriter:
    """Writes for one process of a router, which is named by `router` and `incarnation`."""

    def __init__(
        self, host: Host, store: StoreClient, router: str, incarnation: str, evidence_ms: float
    ) -> None:
        self._host, self._store = host, store
        self._router, self._incarnation = router, incarnation
        self.evidence_ms = evidence_ms

    def write_lease(self, held: FleetPart) -> None:
        """Claim or renew the lease of a part where that is due; its holder decides, too."""
        now, wish, last = self._host.now(), None, None
        if held.claim.observed is None:
            held.claim.observe(now, lease.ObservedRecord(0))  # all was read, and there is none
        elif held.claim.observed.record is not None:
            last = held.claim.observed.record.decision
        if held.claim.holds():
            wish = self._decide(held)
        else:
            held.evidence = None
        sent = self._host.now()
        put = held.claim.next_write(sent, wish)
        if put is None:
            return
        if wish is not None and put.record.decision != last:
            made = put.record.decision
            assert made is not None
            log("fleet_decided", kind=held.part.kind, epoch=made.epoch, number=made.number)
        revision = self._store.put(
            held.standing_key, d.encode_document(put.record), put.expected_revision
        ).revision
        if revision > 0:
            held.see(sent, lease.ObservedRecord(revision, put.record))
            held.adopt(self._host.now())

    def write_summary(self, held: FleetPart) -> bool:
        """Write this router's summary, unless a later process of it does; whether to write again at once."""
        now = self._host.now()
        if (held.silent_since or held.summary_revision is None) and not self._is_writer(now, held):
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
        return put.conflict and self._is_writer(now, held)  # then at the revision that it has

    def _decide(self, held: FleetPart) -> bytes | None:
        """A new decision of the evidence as it is by now; None: none, or the evidence can't be had."""
        evidence = self._read_evidence(held)
        if evidence is None:
            return None
        now, age_ms = self._host.now(), MAX_AGE_PERIODS * self.evidence_ms
        evidence.remove_stale(now, age_ms)
        assert held.claim.observed is not None and held.claim.observed.record is not None
        last = held.claim.observed.record.decision
        made = held.part.decide(now, evidence.live_bodies(now, age_ms), None if last is None else last.body)
        if made is not None and len(made) > d.MAX_BODY_BYTES:
            raise d.InvalidDocument(held.standing_key, f"a decision of {len(made)} bytes was made")
        return made

    def _read_evidence(self, held: FleetPart) -> SummaryTable | None:
        """The summaries of all routers, with those written since they were last read; None: can't be had."""
        kind = held.part.kind
        if held.evidence is None:
            held.evidence, held.evidence_upto = SummaryTable(kind), 0
        asked = self._host.now()
        try:
            for changes in self._store.changes(held.evidence_upto, [f"{d.EVIDENCE_PREFIX}{kind}/"]):
                for one in changes.documents:
                    held.evidence.add(asked, one.key, one.revision, one.value)
                held.evidence_upto = max(held.evidence_upto, changes.upto)
        except MemberUnavailable:
            return None
        return held.evidence

    def _is_writer(self, now: float, held: FleetPart) -> bool:
        """Read the revision of this router's summary; whether this process is to write it.

        Of two processes of one router the later one does: who has written before and finds another's is the
        older, and is silent until that one has been for so long that its summaries count no more.
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
            own = True  # nobody writes it
        if not own and held.summary_written:
            if revision != held.summary_revision or not held.silent_since:
                held.silent_since = now
                held.summary_revision = revision
                log("fleet_silent", kind=held.part.kind, why="a later process of this router speaks")
            if now - held.silent_since <= MAX_AGE_PERIODS * self.evidence_ms:
                return False
        held.silent_since, held.summary_revision = 0.0, revision
        return True
