"""Which share of every engine's room each router may reserve: never more than one whole, whoever is late.

A router may go on acting on an older decision until that one's time to live is over. So each grant carries a
claim, the most that its router may still believe it holds; claims add up to one whole at most, and a share
that one router gives up is granted to another only when the first acts on the decision that took it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct

from spoolbarrow.sessions.turn_counts import Body

WHOLE = 65_536
LEASE_MS = 120_000.0  # a router not heard of for so long acts on nothing: at least a decision's time to live
MOST_ROUTERS = 1_000
EVEN_PART = 4  # a fourth of the whole is dealt out evenly, the rest by what routers want


class Grant(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A router's share, of WHOLE."""

    share: int
    claim: int  # the most it may believe it has
    until_ms: float  # its claim ends then, unless it is heard of


def sound(grants: Mapping[int, Grant]) -> bool:
    """Whether grants that were told can stand: whole shares, no claim below its share, one whole in all."""
    its = grants.values()
    return (
        len(grants) <= MOST_ROUTERS
        and all(0 <= g.share <= g.claim <= WHOLE and 0.0 <= g.until_ms < 1e15 for g in its)
        and sum(g.claim for g in its) <= WHOLE
    )


def grant(now: float, told: Sequence[Body], number: int, last: Mapping[int, Grant]) -> dict[int, Grant]:
    """Grants of a decision that follows the one of this number; routers by their process's number."""
    heard: dict[int, Body] = {}
    for body in told:
        old = heard.get(body.who)
        # Two that say they are the same process: the one that has seen less may be acting on less.
        if old is None or (body.acts_on, body.wants) < (old.acts_on, old.wants):
            heard[body.who] = body
    claims: dict[int, int] = {}
    until: dict[int, float] = {}
    for who, g in last.items():
        if who in heard:
            claims[who] = g.share if heard[who].acts_on == number else g.claim
            until[who] = now + LEASE_MS
        elif g.until_ms > now:
            claims[who], until[who] = g.claim, g.until_ms
    new = sorted(who for who in heard if who not in claims)[: MOST_ROUTERS - len(claims)]
    names = sorted(who for who in heard if who in claims) + new
    wants = sum(heard[who].wants for who in names)
    even = WHOLE // EVEN_PART if wants else WHOLE
    found: dict[int, Grant] = {}
    free = WHOLE - sum(claims.values())
    for who in names:
        wanted = even // len(names)
        if wants:
            wanted += (WHOLE - even) * heard[who].wants // wants
        held = claims.get(who, 0)
        more = min(max(0, wanted - held), free)
        free -= more
        share = min(wanted, held + more)
        found[who] = Grant(share, max(held, share), until.get(who, now + LEASE_MS))
    for who, claim in claims.items():
        if who not in found:
            found[who] = Grant(0, claim, until[who])
    return dict(sorted(found.items()))
