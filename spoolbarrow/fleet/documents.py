"""Documents that routers exchange through the store, and the interface of a part of the fleet's decisions.

A part (the prefill/decode split, sessions) knows nothing of leases, members or sequence numbers: each router
contributes a bounded summary of its observations, the lease holder makes one decision from all summaries, and
every router applies it until it expires. Times are Unix milliseconds. In the store each document is JSON,
with bodies as base64.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec
from msgspec import Struct

from spoolbarrow.errors import Problem

MAX_BODY_BYTES = 65_536  # of a summary or a decision
MAX_NAME_CHARS = 128  # of a router's name or an incarnation
MAX_COUNTER = 1 << 62  # bounds sequences and epochs: a hostile value must not exhaust a counter
EVIDENCE_PREFIX, STANDING_PREFIX = "fleet/evidence/", "fleet/standing/"  # followed by KIND/ROUTER, or by KIND
SHARED_PREFIX = "shared/"  # documents that operators write for all routers
SUSPENSIONS_KEY, SHARES_KEY = SHARED_PREFIX + "suspensions", SHARED_PREFIX + "shares"


class InvalidDocument(Problem):
    """A document in the store can't be parsed, or holds impossible values."""

    remedy = (
        "Rewrite the document with `spoolbarrow store put`; routers keep the last valid version meanwhile."
    )


class Summary(Struct, frozen=True):
    """The observations of one router process, under `fleet/evidence/KIND/ROUTER`."""

    router: str
    incarnation: str  # of the process: after a restart the summaries of the old one no longer count
    sequence: int  # within an incarnation; a lower one than known is outdated and ignored
    at_ms: float  # by the router's clock; informational, no decision depends on it
    body: bytes  # in the part's own format, mergeable in any order


class Lease(Struct, frozen=True):
    """The router that makes the decisions."""

    holder: str
    incarnation: str
    renewals: int  # others watch this counter rather than a clock: a stopped holder renews nothing
    ttl_ms: float


class Decision(Struct, frozen=True):
    """What all routers apply."""

    epoch: int  # of the lease: a decision with a lower epoch than known is rejected
    number: int  # one more than that of the previous decision
    ttl_ms: float  # a router falls back to default behaviour this long after the last confirmation
    body: bytes


class LeaseRecord(Struct, frozen=True):
    """Lease and decision in one document, under `fleet/standing/KIND`, so that a takeover is its own fence.

    `epoch` is the revision that the document had when the lease was taken over: the store lets only one
    write replace a revision, so epochs are unique and increase.
    """

    epoch: int
    lease: Lease
    decision: Decision | None = None


class Part(Protocol):
    """One kind of decision that the fleet makes in common.

    Pure: no I/O and no clock. Its input may be hostile.
    """

    kind: str  # part of the keys above

    def summary(self, now: float) -> bytes:
        """All observations of this router, not only new ones, in at most MAX_BODY_BYTES."""
        ...

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """Decide from the newest body of each router; called at the lease holder, independent of their order.

        `last` is the current decision. None: keep the current one, if any. A body that can't be parsed, or
        holds impossible values, counters as absent.
        """
        ...

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Apply a decision from now on; None: none, the default behaviour.

        Returns False where the decision can't be applied.
        """
        ...


T = TypeVar("T", Summary, LeaseRecord)


def encode_document(document: Summary | LeaseRecord) -> bytes:
    """A document as JSON."""
    return msgspec.json.encode(document)


def decode_document(key: str, text: bytes | str, document_type: type[T]) -> T:
    """Parse a document; InvalidDocument where it is malformed, too long, or a number is out of bounds."""
    try:
        document = msgspec.json.decode(text, type=document_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidDocument(key, str(error)) from None
    if isinstance(document, Summary):
        names, counters, bodies = (
            [document.router, document.incarnation],
            [document.sequence],
            [document.body],
        )
    else:
        lease, decision = document.lease, document.decision
        names, counters, bodies = [lease.holder, lease.incarnation], [document.epoch, lease.renewals], []
        if decision is not None:
            counters += [decision.epoch, decision.number]
            bodies.append(decision.body)
            if not (0 < decision.ttl_ms < MAX_COUNTER and decision.epoch <= document.epoch):
                raise InvalidDocument(key, "the decision has an invalid time to live or epoch")
        if not 0 < lease.ttl_ms < MAX_COUNTER:
            raise InvalidDocument(key, "the lease has an invalid time to live")
    if not all(0 < len(name) <= MAX_NAME_CHARS for name in names):
        raise InvalidDocument(key, "a name is empty or too long")
    if not all(0 <= counter < MAX_COUNTER for counter in counters):
        raise InvalidDocument(key, "a counter is out of bounds")
    if any(len(body) > MAX_BODY_BYTES for body in bodies):
        raise InvalidDocument(key, f"a body is larger than {MAX_BODY_BYTES} bytes")
    return document


class SharedState(Protocol):
    """The state that this router shares with others."""

    def versions(self) -> dict[str, tuple[int, str]]:
        """Number and digest of each shared document and decision in force, by item."""
        ...

    def status(self) -> dict[str, object]:
        """The state of the store's connection and of the parts, for operators."""
        ...
