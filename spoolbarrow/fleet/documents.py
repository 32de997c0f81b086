"""The seam of the fleet's parts: the documents in the store, and what a part of the fleet has to offer.

A part (the pool's split, sessions) is told nothing of leases, members or sequences: each router gives a
bounded summary of what it saw, the lease's holder makes one decision of all summaries, and every router
adopts it until it ends. Times are Unix milliseconds. In the store each document is JSON, bodies as base64.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec
from msgspec import Struct

from spoolbarrow.errors import Problem

MAX_BODY_BYTES = 65_536  # bytes of a summary's or a decision's body
MAX_NAME_CHARS = 128  # characters of a router's name or an incarnation
MOST_NUMBER = 1 << 62  # of a sequence, an epoch: a hostile one must not end what counts upwards
EVIDENCE_PREFIX, STANDING_PREFIX = "fleet/evidence/", "fleet/standing/"  # KIND/ROUTER, or KIND, follows
SHARED_PREFIX = "shared/"  # what operators say to all routers: SUSPENSIONS_KEY, SHARES_KEY
SUSPENSIONS_KEY, SHARES_KEY = SHARED_PREFIX + "suspensions", SHARED_PREFIX + "shares"


class InvalidDocument(Problem):
    """A document of the store that can't be read or says what can't be."""

    remedy = "Write the document anew with `spoolbarrow store put`; routers keep what they had meanwhile."


class Summary(Struct, frozen=True):
    """What one process of a router has seen, under `fleet/evidence/KIND/ROUTER`."""

    router: str
    incarnation: str  # of its process: a restart begins anew, and what the old one said counts no more
    sequence: int  # within an incarnation; a lower one than known is late and says nothing
    at_ms: float  # by the router's clock; for people: nothing is decided by it
    body: bytes  # the part's own form, mergeable in any order


class Lease(Struct, frozen=True):
    """Who decides."""

    holder: str
    incarnation: str
    renewals: int  # a holder that is stopped renews nothing: others count these, not its clock
    ttl_ms: float


class Decision(Struct, frozen=True):
    """What all act on."""

    epoch: int  # the lease's: a decision of a lower one than known is refused
    number: int  # one more than the decision before it
    ttl_ms: float  # after a router last learnt that it stands, it falls back to plain behaviour
    body: bytes


class LeaseRecord(Struct, frozen=True):
    """Lease and decision in one document, under `fleet/standing/KIND`: taking over fences by itself.

    `epoch` is the revision that the document had when the lease was taken over: the store lets one
    write only replace a revision, so epochs are unique and grow.
    """

    epoch: int
    lease: Lease
    decision: Decision | None = None


class Part(Protocol):
    """One thing the fleet decides in common. Pure: no I/O, no clock; what it is told may be hostile."""

    kind: str  # a word; part of the keys above

    def summary(self, now: float) -> bytes:
        """What this router has seen, at most MAX_BODY_BYTES bytes; the whole of it each time, not what is new."""
        ...

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """The holder's: one decision from the newest body of each router, the same whatever their order.

        `last` is the decision that stands. None: keep what stands, or none. A body that can't be read, or
        says what can't be, counts as absent.
        """
        ...

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Act on a decision from now on; None: on none, the plain behaviour. False: it can't be acted on."""
        ...


T = TypeVar("T", Summary, LeaseRecord)


def encode_document(document: Summary | LeaseRecord) -> bytes:
    """A document's text."""
    return msgspec.json.encode(document)


def decode_document(key: str, text: bytes | str, form: type[T]) -> T:
    """The document in a text; InvalidDocument where it is none, too long, or a number is out of all bounds."""
    try:
        document = msgspec.json.decode(text, type=form)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidDocument(key, str(error)) from None
    if isinstance(document, Summary):
        names, counts, bodies = [document.router, document.incarnation], [document.sequence], [document.body]
    else:
        lease, decision = document.lease, document.decision
        names, counts, bodies = [lease.holder, lease.incarnation], [document.epoch, lease.renewals], []
        if decision is not None:
            counts += [decision.epoch, decision.number]
            bodies.append(decision.body)
            if not (0 < decision.ttl_ms < MOST_NUMBER and decision.epoch <= document.epoch):
                raise InvalidDocument(key, "a decision with an impossible time to live or epoch")
        if not 0 < lease.ttl_ms < MOST_NUMBER:
            raise InvalidDocument(key, "a lease with an impossible time to live")
    if not all(0 < len(name) <= MAX_NAME_CHARS for name in names):
        raise InvalidDocument(key, "a name that is empty or too long")
    if not all(0 <= count < MOST_NUMBER for count in counts):
        raise InvalidDocument(key, "a count out of bounds")
    if any(len(body) > MAX_BODY_BYTES for body in bodies):
        raise InvalidDocument(key, f"a body of more than {MAX_BODY_BYTES} bytes")
    return document


class SharedState(Protocol):
    """What this router knows together with others."""

    def versions(self) -> dict[str, tuple[int, str]]:
        """Number and digest of each shared document and decision that is acted on, by item."""
        ...

    def status(self) -> dict[str, object]:
        """How it goes, for an operator."""
        ...
