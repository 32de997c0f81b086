"""Shares of engines' capacity that routers may reserve: never more than one whole, however late some are.

A router may go on applying an older decision until that one's time to live is over. So each grant carries a
claim, the largest share that its router may still believe it holds. Claims add up to FULL_SHARE at most, and
a share that one router gives up is granted to another only when the first applies the decision that took it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct

from spoolbarrow.sessions.turn_counts import Body

FULL_SHARE = 65_536
LEASE_MS = 120_000.0  # a router without a summary for so long applies no decision: at least a decision's TTL
MAX_ROUTERS = 1_000
EVEN_DIVISOR = 4  # a fourth is divided evenly, the rest by the tokens that routers want


class Grant(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A router's share, of FULL_SHARE."""

    share: int
    claim: int  # the largest share that it may believe it has
    until_ms: float  # the claim ends then, unless the router sends a summary


def are_valid(grants: Mapping[int, Grant]) -> bool:
    """Whether received grants are possible: no claim below its share, and no more than FULL_SHARE in all."""
    values = grants.values()
    return (
        len(grants) <= MAX_ROUTERS
        and all(0 <= g.share <= g.claim <= FULL_SHARE and 0.0 <= g.until_ms < 1e15 for g in values)
        and sum(g.claim for g in values) <= FULL_SHARE
    )


def grant(now: float, summaries: Sequence[Body], number: int, last: Mapping[int, Grant]) -> dict[int, Grant]:
    """The grants of the decision after the one with this number; routers by the number of their process."""
    newest: dict[int, Body] = {}
    for body in summaries:
        known = newest.get(body.who)
        # Two summaries of one process: assume the older decision, which it may still apply.
        if known is None or (body.acts_on, body.wants) < (known.acts_on, known.wants):
            newest[body.who] = body
    claims: dict[int, int] = {}
    until: dict[int, float] = {}
    for who, previous in last.items():
        if who in newest:
            claims[who] = previous.share if newest[who].acts_on == number else previous.claim
            until[who] = now + LEASE_MS
        elif previous.until_ms > now:
            claims[who], until[who] = previous.claim, previous.until_ms
    new = sorted(who for who in newest if who not in claims)[: MAX_ROUTERS - len(claims)]
    names = sorted(who for who in newest if who in claims) + new
    total_wanted = sum(newest[who].wants for who in names)
    even = FULL_SHARE // EVEN_DIVISOR if total_wanted else FULL_SHARE
    result: dict[int, Grant] = {}
    free = FULL_SHARE - sum(claims.values())
    for who in names:
        wanted = even // len(names)
        if total_wanted:
            wanted += (FULL_SHARE - even) * newest[who].wants // total_wanted
        held = claims.get(who, 0)
        added = min(max(0, wanted - held), free)
        free -= added
        share = min(wanted, held + added)
        result[who] = Grant(share, max(held, share), until.get(who, now + LEASE_MS))
    for who, claim in claims.items():
        if who not in result:
            result[who] = Grant(0, claim, until[who])
    return dict(sorted(result.items()))
