"""Computes the worst load that all routers may send to engines in slow start, relative to rule 4's budget.

The worst case: every request that may go to an engine in slow start goes to one, and where attempts fail, to
each further one that it may go to. Uses the router's own preferred replicas and random draws. Free of I/O and
clock. Times are in ms, work in requests of mean work.
"""

from __future__ import annotations

from collections import deque
from math import ceil, exp
from random import Random
from typing import NamedTuple

from spoolbarrow.interface import ListKind, ReplicaEntry, ReplicaList, RequestArrived, RequestClass, Settings
from spoolbarrow.lab.cold_engine import tolerated_requests
from spoolbarrow.lab.scenario import ScenarioError
from spoolbarrow.router import ClassStats, ReplicaPool, Request

START_MS = 10_000.0  # when the slow start of the engines begins
NO_TERMS = (1.0, 0, ClassStats())  # terms of the only class: nothing here depends on them
NOTIFIED_FALL_SHARE = (
    2.0 / 3.0
)  # a crash breaks the rule if more than this share of the work came from notified routers


class Rule(NamedTuple):
    """Rule 4 as the settings state it."""

    cold_from: float
    cold_ms: float
    overload_factor: float
    tip_after_ms: float


class Traffic(NamedTuple):
    """The traffic, and how it is distributed."""

    load: float = 1.0  # of the capacity of all engines at full speed
    per_engine_s: float = 2.5  # requests of mean work per second that a mean engine serves at full speed
    capacity: float = 1.0  # of the engines in slow start, as a multiple of the mean
    traffic_sigma: float = 1.0  # sigma of the logarithm of the routers' traffic
    busiest_factor: float = 1.0  # further factor on the first router's traffic
    openings: int = 60  # prefixes that sessions share
    zipf: float = 0.9  # exponent of their popularity
    hot_share: float = 0.0  # share of requests with one more prefix, whose preferred replica is in slow start
    work_sigma: float = 0.6  # of the logarithm of a request's work
    lead_ms: float = 2000.0  # duration of traffic that routers have seen before the start
    restarted_share: float = 0.0  # share of routers that are killed, restart or join during slow start
    resumed_ms: float = 0.0  # duration of traffic that returns at one moment: resumed streams
    attempts: int = 1  # engines in slow start that a request is sent to, of those it may go to
    notified_within_ms: float = (
        0.0  # routers learn of the start within it; until then they send as at full speed
    )


USUAL = Traffic()


class RequestBudget:
    """The requests that engines can start: a rate per ms, and what they saved up over a second."""

    def __init__(self, saved_ms: float = 1000.0) -> None:
        self._saved_ms, self._saved, self._at = saved_ms, 0.0, 0.0

    def begins(self, now: float, per_ms: float) -> bool:
        """Whether one more request can start, at the present rate; counts it if so."""
        self._saved = min(per_ms * self._saved_ms, self._saved + per_ms * (now - self._at))
        self._at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class Started(NamedTuple):
    """The slow start of one engine."""

    worst: float  # work within a span, as a share of what the engine bears: above 1 it crashes
    sent: float  # requests, as a share of the engine's equal share while its capacity grows
    used: float  # work, as a share of its budget N
    broke: bool  # it crashed, and over two thirds of the work came from notified routers


def play(
    nodes: int, rule: Rule, seed: int, traffic: Traffic = USUAL, engines: int = 60, cold: int = 30
) -> list[Started]:
    """Start some of the engines at once; the result of each one's slow start."""
    rng, span = Random(seed), rule.tip_after_ms
    cls = RequestClass(aim_ms=1200.0, deadline_ms=4000.0, worth=1.0)
    settings = Settings(
        nodes=nodes,
        classes=(cls,),
        cold_from=rule.cold_from,
        cold_ms=rule.cold_ms,
        overload_factor=rule.overload_factor,
        tip_after_ms=span,
    )
    names = [f"e{seed}-{n}" for n in range(engines)]
    before = ReplicaList(ListKind.WHOLE, tuple(ReplicaEntry(name) for name in names))
    after = ReplicaList(
        ListKind.WHOLE,
        tuple(ReplicaEntry(name, started_at_ms=START_MS * (n < cold)) for n, name in enumerate(names)),
    )

    def make_pool(known: ReplicaList) -> ReplicaPool:
        pool = ReplicaPool(settings, Random(rng.random()))
        pool.apply_list(known, START_MS)
        return pool

    pools = [make_pool(after if traffic.notified_within_ms <= 0.0 else before) for _ in range(nodes)]
    notified_at = {
        n: START_MS + traffic.notified_within_ms * rng.random()
        for n in range(nodes)
        if traffic.notified_within_ms > 0.0
    }
    restart_at = {
        n: START_MS + rule.cold_ms * rng.random() for n in range(ceil(traffic.restarted_share * nodes))
    }
    weights = [exp(rng.gauss(0.0, traffic.traffic_sigma)) for _ in pools]
    weights[0] *= traffic.busiest_factor
    popular = [1.0 / (n + 1) ** traffic.zipf for n in range(traffic.openings)]
    popular.append(sum(popular) * traffic.hot_share / (1.0 - traffic.hot_share))
    keys = [7919 * n + 1 for n in range(traffic.openings)]
    keys.append(_prefix_preferring(pools[0], set(names[:cold]), settings))
    recent: dict[str, deque[tuple[float, float, bool]]] = {name: deque() for name in names[:cold]}
    sums, notified_work = dict.fromkeys(recent, 0.0), dict.fromkeys(recent, 0.0)
    worst, sent, work_sent = dict.fromkeys(recent, 0.0), dict.fromkeys(recent, 0), dict.fromkeys(recent, 0.0)
    broke = dict.fromkeys(recent, False)
    warm = RequestBudget()
    per_warm_ms = traffic.per_engine_s / 1000.0
    per_ms = traffic.load * traffic.per_engine_s * engines / 1000.0
    arrivals, at = [], START_MS - traffic.lead_ms
    while (at := at + rng.expovariate(per_ms)) < START_MS + rule.cold_ms:
        arrivals.append((at, False))
    burst = START_MS + rule.cold_ms * rng.random()
    arrivals += [(burst, True)] * int(traffic.resumed_ms * per_ms)
    for now, moved in sorted(arrivals):
        (number,), (key,) = rng.choices(range(nodes), weights), rng.choices(keys, popular)
        if now >= restart_at.get(number, now + 1.0):
            del restart_at[number]
            pools[number] = make_pool(after)
        pool = pools[number]
        if now >= notified_at.get(number, now + 1.0):
            del notified_at[number]
            pool.apply_list(after, now)
        work = exp(rng.gauss(-(traffic.work_sigma**2) / 2.0, traffic.work_sigma))
        event = RequestArrived("q", 0, 4000.0, session=rng.getrandbits(60) + 1, prefix=key, resumed=moved)
        request = Request(event, settings, NO_TERMS, now)
        request.expected_tokens, request.slow_start_draw = work * pool.mean_work, rng.getrandbits(63)
        request.preferred_replicas = preferred = pool.preferred_replicas(request, now)
        pool.count_arrival(request, now)
        if now < START_MS:
            if warm.begins(now, (engines - cold) * per_warm_ms):
                pool.capacity.count_start(0)
            continue
        knows = number not in notified_at
        if knows:
            allowed = [
                r.id for r in pool.slow_starting if pool.slow_start_allows(r, request, now, r is preferred[0])
            ]
            rng.shuffle(allowed)
            allowed.sort(key=lambda name: name != preferred[0].id)
        else:
            allowed = [preferred[0].id] if preferred[0].id in recent else []
        grown = rule.cold_from + (1.0 - rule.cold_from) * (now - START_MS) / rule.cold_ms
        if not allowed and warm.begins(now, (engines - cold) * per_warm_ms):
            pool.capacity.count_start(0)
        for name in allowed[: traffic.attempts]:
            sent[name] += 1
            work_sent[name] += work
            within = recent[name]
            within.append((now, work, knows))
            sums[name] += work
            notified_work[name] += work * knows
            while within[0][0] <= now - span:
                _, old_work, by_notified = within.popleft()
                sums[name] -= old_work
                notified_work[name] -= old_work * by_notified
            budget = rule.overload_factor * grown * traffic.capacity * traffic.per_engine_s * span / 1000.0
            share = sums[name] / tolerated_requests(budget)
            if share > 1.0 >= worst[name]:  # the first crash
                broke[name] = notified_work[name] > NOTIFIED_FALL_SHARE * sums[name]
            worst[name] = max(worst[name], share)
    warming = (rule.cold_from + 1.0) / 2.0 * traffic.per_engine_s * rule.cold_ms / 1000.0
    budgets = warming * rule.overload_factor * traffic.capacity
    return [
        Started(worst[name], sent[name] / warming, work_sent[name] / budgets, broke[name]) for name in recent
    ]


def _prefix_preferring(pool: ReplicaPool, cold: set[str], settings: Settings) -> int:
    """A prefix whose preferred replica is an engine in slow start."""
    for key in range(10**9, 10**9 + 1000):
        request = Request(RequestArrived("q", 0, 4000.0, session=1, prefix=key), settings, NO_TERMS, START_MS)
        if pool.local_ring.walk(key, 1)[0].id in cold and request.prefix:
            return key
    raise ScenarioError("engines", "none of them is in slow start")
