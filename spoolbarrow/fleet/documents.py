"""The seam of the fleet's parts: the documents in the store, and what a part of the fleet has to offer.

A part (the pool's split, sessions) is told nothing of leases, members or sequences: each router gives a
bounded summary of what it saw, the lease's holder makes one decision of all summaries, and every router
adopts it until it ends. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from msgspec import Struct

MOST_BODY = 65_536  # bytes of a summary's or a decision's body
EVIDENCE, LEASE, DECISION = "fleet/evidence/", "fleet/lease/", "fleet/decision/"  # KIND[/ROUTER] follows


class Summary(Struct, frozen=True):
    """What one process of a router has seen, under `fleet/evidence/KIND/ROUTER`."""

    router: str
    incarnation: str  # of its process: a restart begins anew, and what the old one said counts no more
    sequence: int  # within an incarnation; a lower one than known is late and says nothing
    at_ms: float  # by the router's clock
    body: bytes  # the part's own form, mergeable in any order


class Lease(Struct, frozen=True):
    """Who decides, under `fleet/lease/KIND`: the store's revision of it is the fencing epoch."""

    holder: str
    incarnation: str
    renewals: int  # a holder that is stopped renews nothing: others count these, not its clock
    ttl_ms: float


class Decision(Struct, frozen=True):
    """What all act on, under `fleet/decision/KIND`."""

    epoch: int  # the lease's: a decision of a lower one than known is refused
    number: int  # one more than the decision before it
    ttl_ms: float  # after a router last learnt that it stands, it falls back to plain behaviour
    body: bytes


class Part(Protocol):
    """One thing the fleet decides in common. Pure: no I/O, no clock; what it is told may be hostile."""

    kind: str  # a word; part of the keys above

    def summary(self, now: float) -> bytes:
        """What this router has seen, at most MOST_BODY bytes; the whole of it each time, not what is new."""
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
