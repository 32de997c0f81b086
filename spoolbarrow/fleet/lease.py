"""The lease that elects the deciding router, and the decision that a router applies: two state machines.

Lease and decision are one document (`LeaseRecord`), so that the store's compare-and-set is the fence: whoever
takes over replaces the revision that the old holder would have to name. A holder that was suspended and
resumes, or whose write was delayed, is therefore rejected by the store itself, whatever it believes. No I/O;
times are milliseconds on this router's own clock, which is never set back. The clocks of others do not
matter, since a router only observes whether the document changes.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow.fleet.documents import Decision, InvalidDocument, Lease, LeaseRecord, decode_document

RENEWALS_PER_TTL = 4
DECISION_TTL_LEASES = (
    2.0  # in lease TTLs: if a holder dies, its successor renews the decision before it expires
)
MAX_WAIT_TTLS = 4.0  # in own TTLs: no longer wait for a lease, even if its document claims an absurd TTL


class ObservedRecord(Struct, frozen=True):
    """The document as it was read: revision 0 if there is none, no record if it is malformed."""

    revision: int
    record: LeaseRecord | None = None


def decode_record(key: str, revision: int, text: str) -> ObservedRecord:
    """Parse the document; InvalidDocument where it is malformed, or its epoch can't be from the store."""
    record = decode_document(key, text, LeaseRecord)
    if record.epoch >= revision:
        raise InvalidDocument(key, f"epoch {record.epoch} at revision {revision}")
    return ObservedRecord(revision, record)


class ConditionalWrite(Struct, frozen=True):
    """Write the record if the document is still at the expected revision."""

    record: LeaseRecord
    expected_revision: int


class LeaseClaim:
    """One process's side of a lease of `ttl_ms`: it says what to write next.

    Of two writes at one revision the store accepts one at most.
    """

    def __init__(self, router: str, incarnation: str, ttl_ms: float) -> None:
        self.router, self.incarnation, self.ttl_ms = router, incarnation, ttl_ms
        self.observed: ObservedRecord | None = None  # None: nothing was read yet
        self._changed_at = 0.0

    def observe(self, now: float, observed: ObservedRecord) -> None:
        """Take what was read, or just written; one older than known is ignored."""
        if self.observed is None or observed.revision > self.observed.revision:
            self.observed, self._changed_at = observed, now

    def holds(self) -> bool:
        """Whether this process holds the lease, as far as it knows."""
        record = None if self.observed is None else self.observed.record
        return record is not None and self._is_own(record.lease)

    def next_write(self, now: float, new_body: bytes | None = None) -> ConditionalWrite | None:
        """What to write now, if anything; `new_body` is a new decision's, used by the holder alone.

        A write with unknown outcome may be repeated: the same revision is named, so that at most one of them
        is carried out.
        """
        if self.observed is None:
            return None
        revision, record = self.observed.revision, self.observed.record
        if record is not None and self._is_own(record.lease):
            return self._renew(now, record, new_body)
        wait = self.ttl_ms
        if record is not None:
            wait = min(max(wait, record.lease.ttl_ms), MAX_WAIT_TTLS * self.ttl_ms)
        if revision and now - self._changed_at < wait:
            return None
        # The replaced revision is the epoch: nobody else can replace it, and revisions increase.
        lease = Lease(self.router, self.incarnation, 0, self.ttl_ms)
        decision = None if record is None else record.decision
        return ConditionalWrite(LeaseRecord(revision, lease, decision), revision)

    def _is_own(self, lease: Lease) -> bool:
        return (lease.holder, lease.incarnation) == (self.router, self.incarnation)

    def _renew(self, now: float, record: LeaseRecord, new_body: bytes | None) -> ConditionalWrite | None:
        assert self.observed is not None
        last = record.decision
        if new_body is not None and (last is None or new_body != last.body):
            number = 1 if last is None else last.number + 1
            decision = Decision(record.epoch, number, DECISION_TTL_LEASES * self.ttl_ms, new_body)
            record = replace(record, decision=decision)
        elif now - self._changed_at < self.ttl_ms / RENEWALS_PER_TTL:
            return None
        lease = replace(record.lease, renewals=record.lease.renewals + 1, ttl_ms=self.ttl_ms)
        return ConditionalWrite(replace(record, lease=lease), self.observed.revision)


class ActiveDecision:
    """The decision that one router applies: the newest while its document changes; none after its TTL.

    The document as first read confirms nothing: its holder may have died long ago.
    """

    def __init__(self, max_ttl_ms: float) -> None:
        self._max_ttl_ms = max_ttl_ms
        self._revision = -1
        self._confirmed_at = -1e18
        self.decision: Decision | None = None  # the newest known
        self.refused_count = 0  # decisions older than one known

    def observe(self, now: float, observed: ObservedRecord) -> None:
        """Take what was read; `now` is the time of the request, which is never after the read itself."""
        if observed.revision <= self._revision:
            return
        first, self._revision = self._revision < 0, observed.revision
        if observed.record is None:
            return  # no confirmation: the current decision expires by its TTL
        new, known = observed.record.decision, self.decision
        if new is not None and known is not None and (new.epoch, new.number) < (known.epoch, known.number):
            self.refused_count += 1
            return
        if new is not None:
            self.decision = new
        if not first:
            self._confirmed_at = now

    def current(self, now: float) -> Decision | None:
        """The decision to apply now; None: the default behaviour."""
        if self.decision is None:
            return None
        is_live = now - self._confirmed_at <= min(self.decision.ttl_ms, self._max_ttl_ms)
        return self.decision if is_live else None
