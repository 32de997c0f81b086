"""What cold engines are open to, all of it sent there: the share of what rule 4 lets each bear. Pure.

The worst that routers together can do: at full load, every request that may go to a cold engine goes to one.
Uses the decisions' own homes and draws. Times in ms; work in requests of mean work.
"""

from __future__ import annotations

from collections import deque
from math import exp, sqrt
from random import Random
from typing import NamedTuple

from spoolbarrow.interface import ListKind, ReplicaEntry, ReplicaList, RequestArrived, RequestClass, Settings
from spoolbarrow.router import ReplicaPool, Request

START = 10_000.0  # when the cold engines start; routers have seen traffic for LEAD before
LEAD = 2000.0
OPENINGS, ZIPF = 60, 0.9
WORK_SIGMA = 0.6  # of the logarithm of a request's work


class Rule(NamedTuple):
    """Rule 4 as settings tell it."""

    cold_from: float
    cold_ms: float
    overload_factor: float
    tip_after_ms: float


class Started(NamedTuple):
    """One cold engine's time until it is warm."""

    worst: float  # work within a span, of what it bears: above 1 it falls
    sent: float  # requests, of an equal share of all while its capacity grows


def play(
    nodes: int, rule: Rule, seed: int, unevenness: float = 1.0, engines: int = 60, cold: int = 30,
    per_engine_s: float = 2.5, capacity: float = 1.0,
) -> list[Started]:
    """Some seconds of `nodes` routers with uneven traffic (sigma of its logarithm): each cold engine.

    All engines bear `per_engine_s` requests a second when warm, as much as comes; cold ones `capacity` of it.
    """
    rng, span = Random(seed), rule.tip_after_ms
    cls = RequestClass(aim_ms=1200.0, deadline_ms=4000.0, worth=1.0)
    settings = Settings(
        nodes=nodes, classes=(cls,), cold_from=rule.cold_from, cold_ms=rule.cold_ms,
        overload_factor=rule.overload_factor, tip_after_ms=span,
    )
    entries = [ReplicaEntry(f"e{seed}-{n}", started_at_ms=START * (n < cold)) for n in range(engines)]
    pools = [ReplicaPool(settings, Random(rng.random())) for _ in range(nodes)]
    for pool in pools:
        pool.take(ReplicaList(ListKind.WHOLE, tuple(entries)), START)
    traffic = [exp(rng.gauss(0.0, unevenness)) for _ in pools]
    popular = [1.0 / (n + 1) ** ZIPF for n in range(OPENINGS)]
    taken: dict[str, deque[tuple[float, float]]] = {one.replica: deque() for one in entries[:cold]}
    worst, sent = dict.fromkeys(taken, 0.0), dict.fromkeys(taken, 0)
    now, per_ms = START - LEAD, per_engine_s * engines / 1000.0
    while (now := now + rng.expovariate(per_ms)) < START + rule.cold_ms:
        (pool,), (opening,) = rng.choices(pools, traffic), rng.choices(range(OPENINGS), popular)
        work = exp(rng.gauss(-WORK_SIGMA**2 / 2.0, WORK_SIGMA))
        asked = RequestArrived("q", 0, 4000.0, session=rng.getrandbits(60) + 1, prefix=7919 * opening + 1)
        request = Request(asked, cls, now)
        request.tokens, request.draw = work * pool.request_tokens, rng.getrandbits(63)
        homes = pool.homes(request, now)
        if now < START:
            continue
        opened = [r for r in pool.cold if pool.cold_allows(r, request, now, r is homes[0])]
        if not opened:
            continue
        name = (homes[0] if homes[0] in opened else rng.choice(opened)).id
        sent[name] += 1
        within = taken[name]
        within.append((now, work))
        while within[0][0] <= now - span:
            within.popleft()
        ramp = rule.cold_from + (1.0 - rule.cold_from) * (now - START) / rule.cold_ms
        tolerated = rule.overload_factor * ramp * capacity * per_engine_s * span / 1000.0
        bears = tolerated + 3.0 * sqrt(tolerated) + 3.0
        worst[name] = max(worst[name], sum(one for _, one in within) / bears)
    grown = (rule.cold_from + 1.0) / 2.0 * per_engine_s * rule.cold_ms / 1000.0
    return [Started(worst[name], sent[name] / grown) for name in taken]
