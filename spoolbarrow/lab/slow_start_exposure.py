"""What cold engines are open to, all of it sent there: the share of what rule 4 lets each bear. Pure.

The worst that routers together can do: every request that may go to a cold engine goes to one, and to each
further one that it may go to where attempts fail. Uses the decisions' own homes and draws. Times in ms; work
in requests of mean work.
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

START = 10_000.0  # when the cold engines start
NO_TERMS = (1.0, 0, ClassStats())  # the only class: nothing here depends on them
TOLD = 2.0 / 3.0  # a fall breaks the rule where more than this share came from routers told of the start


class Rule(NamedTuple):
    """Rule 4 as settings tell it."""

    cold_from: float
    cold_ms: float
    overload_factor: float
    tip_after_ms: float


class Traffic(NamedTuple):
    """What comes, and to whom."""

    load: float = 1.0  # of what all engines bear when they are warm
    per_engine_s: float = 2.5  # requests of mean work that a mean engine bears in a second when it is warm
    capacity: float = 1.0  # of the cold engines, as a multiple of the mean
    traffic_sigma: float = 1.0  # of routers: sigma of the logarithm of their traffic
    busiest_factor: float = 1.0  # the first router's traffic, as a further multiple
    openings: int = 60  # beginnings that sessions share
    zipf: float = 0.9  # exponent of their popularity
    hot_share: float = (
        0.0  # share of the requests that one more opening has, whose first home is a cold engine
    )
    work_sigma: float = 0.6  # of the logarithm of a request's work
    lead_ms: float = 2000.0  # for which routers have seen traffic before the start
    restarted_share: float = 0.0  # share of the routers that are killed, begun anew, or join in the ramp
    resumed_ms: float = 0.0  # traffic of so long that comes again at one moment: streams that were moved
    attempts: int = 1  # cold engines that a request is sent to, of those it may go to
    notified_within_ms: float = (
        0.0  # within which routers are told of the start; till then they send as to warm ones
    )


USUAL = Traffic()


class Able:
    """What one or more engines can begin: so many requests a ms, and what they have saved up in a second."""

    def __init__(self, saved_ms: float = 1000.0) -> None:
        self._saved_ms, self._saved, self._at = saved_ms, 0.0, 0.0

    def begins(self, now: float, per_ms: float) -> bool:
        """Whether one more request begins, at their present pace."""
        self._saved = min(per_ms * self._saved_ms, self._saved + per_ms * (now - self._at))
        self._at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class Started(NamedTuple):
    """One cold engine's time until it is warm."""

    worst: float  # work within a span, of what it bears: above 1 it falls
    sent: float  # requests, of an equal share of all while its capacity grows
    used: float  # work, of its budget N
    broke: bool  # it fell, and over two thirds came from routers that had been told


def play(
    nodes: int, rule: Rule, seed: int, traffic: Traffic = USUAL, engines: int = 60, cold: int = 30
) -> list[Started]:
    """A cold start of some of the engines, all at once: each of them."""
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
        tuple(ReplicaEntry(name, started_at_ms=START * (n < cold)) for n, name in enumerate(names)),
    )

    def begun(known: ReplicaList) -> ReplicaPool:
        pool = ReplicaPool(settings, Random(rng.random()))
        pool.apply_list(known, START)
        return pool

    pools = [begun(after if traffic.notified_within_ms <= 0.0 else before) for _ in range(nodes)]
    told_at = {
        n: START + traffic.notified_within_ms * rng.random()
        for n in range(nodes)
        if traffic.notified_within_ms > 0.0
    }
    again = {n: START + rule.cold_ms * rng.random() for n in range(ceil(traffic.restarted_share * nodes))}
    weights = [exp(rng.gauss(0.0, traffic.traffic_sigma)) for _ in pools]
    weights[0] *= traffic.busiest_factor
    popular = [1.0 / (n + 1) ** traffic.zipf for n in range(traffic.openings)]
    popular.append(sum(popular) * traffic.hot_share / (1.0 - traffic.hot_share))
    keys = [7919 * n + 1 for n in range(traffic.openings)]
    keys.append(_at_home(pools[0], set(names[:cold]), settings))
    taken: dict[str, deque[tuple[float, float, bool]]] = {name: deque() for name in names[:cold]}
    sums, told = dict.fromkeys(taken, 0.0), dict.fromkeys(taken, 0.0)
    worst, sent, work_sent = dict.fromkeys(taken, 0.0), dict.fromkeys(taken, 0), dict.fromkeys(taken, 0.0)
    broke = dict.fromkeys(taken, False)
    warm = Able()
    per_warm_ms = traffic.per_engine_s / 1000.0
    per_ms = traffic.load * traffic.per_engine_s * engines / 1000.0
    arrivals, at = [], START - traffic.lead_ms
    while (at := at + rng.expovariate(per_ms)) < START + rule.cold_ms:
        arrivals.append((at, False))
    burst = START + rule.cold_ms * rng.random()
    arrivals += [(burst, True)] * int(traffic.resumed_ms * per_ms)
    for now, moved in sorted(arrivals):
        (number,), (key,) = rng.choices(range(nodes), weights), rng.choices(keys, popular)
        if now >= again.get(number, now + 1.0):
            del again[number]
            pools[number] = begun(after)
        pool = pools[number]
        if now >= told_at.get(number, now + 1.0):
            del told_at[number]
            pool.apply_list(after, now)
        work = exp(rng.gauss(-(traffic.work_sigma**2) / 2.0, traffic.work_sigma))
        asked = RequestArrived("q", 0, 4000.0, session=rng.getrandbits(60) + 1, prefix=key, resumed=moved)
        request = Request(asked, settings, NO_TERMS, now)
        request.expected_tokens, request.slow_start_draw = work * pool.mean_work, rng.getrandbits(63)
        request.preferred_replicas = homes = pool.preferred_replicas(request, now)
        pool.count_arrival(request, now)
        if now < START:
            if warm.begins(now, (engines - cold) * per_warm_ms):
                pool.capacity.count_start(0)
            continue
        knows = number not in told_at
        if knows:
            opened = [
                r.id for r in pool.slow_starting if pool.slow_start_allows(r, request, now, r is homes[0])
            ]
            rng.shuffle(opened)
            opened.sort(key=lambda name: name != homes[0].id)
        else:
            opened = [homes[0].id] if homes[0].id in taken else []
        grown = rule.cold_from + (1.0 - rule.cold_from) * (now - START) / rule.cold_ms
        if not opened and warm.begins(now, (engines - cold) * per_warm_ms):
            pool.capacity.count_start(0)
        for name in opened[: traffic.attempts]:
            sent[name] += 1
            work_sent[name] += work
            within = taken[name]
            within.append((now, work, knows))
            sums[name] += work
            told[name] += work * knows
            while within[0][0] <= now - span:
                _, gone, by_told = within.popleft()
                sums[name] -= gone
                told[name] -= gone * by_told
            budget = rule.overload_factor * grown * traffic.capacity * traffic.per_engine_s * span / 1000.0
            share = sums[name] / tolerated_requests(budget)
            if share > 1.0 >= worst[name]:  # the first fall
                broke[name] = told[name] > TOLD * sums[name]
            worst[name] = max(worst[name], share)
    warming = (rule.cold_from + 1.0) / 2.0 * traffic.per_engine_s * rule.cold_ms / 1000.0
    budgets = warming * rule.overload_factor * traffic.capacity
    return [
        Started(worst[name], sent[name] / warming, work_sent[name] / budgets, broke[name]) for name in taken
    ]


def _at_home(pool: ReplicaPool, cold: set[str], settings: Settings) -> int:
    """An opening whose first home is a cold engine."""
    for key in range(10**9, 10**9 + 1000):
        request = Request(RequestArrived("q", 0, 4000.0, session=1, prefix=key), settings, NO_TERMS, START)
        if pool.local_ring.walk(key, 1)[0].id in cold and request.prefix:
            return key
    raise ScenarioError("engines", "none of them is cold")
