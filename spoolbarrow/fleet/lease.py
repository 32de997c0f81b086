"""Who decides for the fleet, and what a router acts on: two state machines over one document, `LeaseRecord`.

Lease and decision are one document, so that the store's compare-and-set is the fence: whoever takes over
replaces the revision that the old holder would have to name, and a holder that was stopped and wakes again,
or whose write lay on the way, is refused by the store itself, whatever it believes. No I/O; times are
milliseconds on this router's own clock, which is never set back; clocks of others decide nothing, since all
that one sees of them is whether the document moves.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow.fleet.documents import Decision, InvalidDocument, Lease, LeaseRecord, decode_document

RENEWALS = 4  # within a lease's time to live
DECISION_TTL_LEASES = (
    2.0  # of them a decision stands: where a holder dies, another has renewed its word before it ends
)
LONGEST = 4.0  # times to live of one's own: an absurd one in a document is waited out no longer


class ObservedRecord(Struct, frozen=True):
    """The document as it was read: revision 0 for none, no standing where it can't be read."""

    revision: int
    record: LeaseRecord | None = None


def decode_record(key: str, revision: int, text: str) -> ObservedRecord:
    """The document in a text; InvalidDocument where it is none, or no store can have given its epoch."""
    standing = decode_document(key, text, LeaseRecord)
    if standing.epoch >= revision:
        raise InvalidDocument(key, f"epoch {standing.epoch} at revision {revision}")
    return ObservedRecord(revision, standing)


class ConditionalWrite(Struct, frozen=True):
    """Write this where the document is still at that revision."""

    record: LeaseRecord
    expected_revision: int


class LeaseClaim:
    """One process's part in a lease of `ttl_ms`: it says what to write, twice at one revision never both."""

    def __init__(self, me: str, incarnation: str, ttl_ms: float) -> None:
        self.me, self.incarnation, self.ttl_ms = me, incarnation, ttl_ms
        self.observed: ObservedRecord | None = None  # None: nothing was read yet
        self._moved_at = 0.0

    def observe(self, now: float, seen: ObservedRecord) -> None:
        """What was read, or what was just written; an older one than known says nothing."""
        if self.observed is None or seen.revision > self.observed.revision:
            self.observed, self._moved_at = seen, now

    def holds(self) -> bool:
        """Whether the lease is this process's, as far as it knows."""
        standing = None if self.observed is None else self.observed.record
        return standing is not None and self._mine(standing.lease)

    def next_write(self, now: float, wish: bytes | None = None) -> ConditionalWrite | None:
        """What to write now, if anything; `wish` is a new decision's body, used by the holder alone.

        A write whose end is not known may be said again: the same revision is named, so one of them at
        most is carried out.
        """
        if self.observed is None:
            return None
        revision, standing = self.observed.revision, self.observed.record
        if standing is not None and self._mine(standing.lease):
            return self._renew(now, standing, wish)
        wait = self.ttl_ms
        if standing is not None:
            wait = min(max(wait, standing.lease.ttl_ms), LONGEST * self.ttl_ms)
        if revision and now - self._moved_at < wait:
            return None
        # The revision replaced is the epoch: nobody else can replace it, and it grows.
        lease = Lease(self.me, self.incarnation, 0, self.ttl_ms)
        stands = None if standing is None else standing.decision
        return ConditionalWrite(LeaseRecord(revision, lease, stands), revision)

    def _mine(self, lease: Lease) -> bool:
        return (lease.holder, lease.incarnation) == (self.me, self.incarnation)

    def _renew(self, now: float, standing: LeaseRecord, wish: bytes | None) -> ConditionalWrite | None:
        assert self.observed is not None
        last = standing.decision
        if wish is not None and (last is None or wish != last.body):
            number = 1 if last is None else last.number + 1
            made = Decision(standing.epoch, number, DECISION_TTL_LEASES * self.ttl_ms, wish)
            standing = replace(standing, decision=made)
        elif now - self._moved_at < self.ttl_ms / RENEWALS:
            return None
        lease = replace(standing.lease, renewals=standing.lease.renewals + 1, ttl_ms=self.ttl_ms)
        return ConditionalWrite(replace(standing, lease=lease), self.observed.revision)


class ActiveDecision:
    """What one router acts on: the newest decision, while its document moves; past its time to live, none.

    The document as first read is no word that it stands: its holder may have died long ago.
    """

    def __init__(self, longest_ms: float) -> None:
        self._longest_ms = longest_ms
        self._revision = -1
        self._word_at = -1e18
        self.decision: Decision | None = None  # the newest known
        self.refused_count = 0  # decisions older than one known

    def observe(self, now: float, seen: ObservedRecord) -> None:
        """What was read; `now` is when it was asked for, which is never later than when it stood."""
        if seen.revision <= self._revision:
            return
        first, self._revision = self._revision < 0, seen.revision
        if seen.record is None:
            return  # no word: what is acted on ends by its time to live
        told, known = seen.record.decision, self.decision
        if told is not None and known is not None and (told.epoch, told.number) < (known.epoch, known.number):
            self.refused_count += 1
            return
        if told is not None:
            self.decision = told
        if not first:
            self._word_at = now

    def current(self, now: float) -> Decision | None:
        """The decision to act on now; None: the plain behaviour."""
        if self.decision is None:
            return None
        stands = now - self._word_at <= min(self.decision.ttl_ms, self._longest_ms)
        return self.decision if stands else None
