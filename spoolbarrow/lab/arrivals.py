"""Draws the requests of a scenario in advance: times, classes, tenants, sessions and lengths.

Shared prefixes have a Zipf popularity; each prompt of a session contains all of its earlier context. Nothing
here depends on what routers or engines do: the load is open loop.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable, Iterator
from itertools import accumulate
from math import exp, inf, log, pi, sin, sqrt
from random import Random

import msgspec
from msgspec import Struct

from spoolbarrow.lab.kinds import Range, draw, low_high
from spoolbarrow.lab.scenario import ClassShape, Load, Scenario, ScenarioError, Trouble

QUOTA_BURST_S = 2.0  # of quota that may be used at once
BURST_FACTOR = 2.0  # default size of a burst


class PlannedRequest(Struct, frozen=True):
    """A request as its client first sends it; lengths in tokens."""

    at_ms: float
    cls: int
    tenant: int
    session: int
    prefix: int  # 0: none
    prompt: int
    shared: int
    answer: int
    over_quota: bool  # beyond its tenant's quota


class TraceLine(Struct, forbid_unknown_fields=True):
    """One line of a recorded trace."""

    at_ms: float
    cls: str = msgspec.field(name="class")
    prompt: int
    answer: int
    tenant: str = ""
    session: str = "0"  # hex
    prefix: str = "0"  # hex
    shared: int = 0


def rate(load: Load, bursts: Iterable[Trouble], at_s: float) -> float:
    """The arrival rate at a time, as a multiple of the mean rate."""
    factor = 1.0
    if load.shape == "wave":
        factor = 1.0 + load.swing * sin(2.0 * pi * at_s / load.period_s)
    elif load.shape == "bursts" and at_s % load.period_s < load.burst_s:
        factor = load.burst_factor
    for trouble in bursts:
        if trouble.begin_s <= at_s < trouble.begin_s + trouble.length_s:
            factor *= trouble.size or BURST_FACTOR
    return factor


def _arrival_times(
    scenario: Scenario, mean_per_s: float, bursts: list[Trouble], rng: Random, begin: float
) -> Iterator[float]:
    """The times of a Poisson process of varying rate, by thinning (Lewis and Shedler 1979); in seconds."""
    load = scenario.load
    top = 1.0 + load.swing if load.shape == "wave" else load.burst_factor if load.shape == "bursts" else 1.0
    for trouble in bursts:
        top *= max(1.0, trouble.size or BURST_FACTOR)
    top = max(top, 1.0)
    at = begin
    while True:
        at += rng.expovariate(mean_per_s * top)
        if at >= scenario.total_s():
            return
        if top == 1.0 or rng.random() * top < rate(load, bursts, at):
            yield at


def _pick(shares: list[float], rng: Random) -> int:
    """A random index, by cumulative shares."""
    return min(bisect(shares, rng.random() * shares[-1]), len(shares) - 1)


def _key(rng: Random) -> int:
    return rng.getrandbits(62) | 1


def _tokens(value: Range, rng: Random, sigma: float = 0.0, most: int = 0) -> int:
    """A length in tokens. Lengths vary by orders of magnitude, so log-uniform or log-normal."""
    low, high = low_high(value)
    if sigma > 0.0:
        drawn = sqrt(low * high) * exp(sigma * rng.gauss(0.0, 1.0))
        return max(1, round(min(drawn, most or drawn)))
    return max(1, round(low * (high / low) ** rng.random())) if low > 0 else round(draw(value, rng))


def draw_requests(scenario: Scenario, troubles: Iterable[Trouble], rng: Random) -> list[PlannedRequest]:
    """All requests of the scenario, in the order they are sent."""
    found = _read_trace(scenario) if scenario.load.trace else _draw_all(scenario, troubles, rng)
    found.sort(key=lambda one: one.at_ms)
    return _mark_over_quota(scenario, found)


def _session_duration_s(c: ClassShape) -> float:
    """The duration that nearly all sessions stay within: the turns that 19 in 20 do not exceed."""
    if c.turns <= 1.0:
        return 0.0
    return low_high(c.think_s)[1] * log(0.05) / log(1.0 - 1.0 / c.turns)


def _draw_all(scenario: Scenario, troubles: Iterable[Trouble], rng: Random) -> list[PlannedRequest]:
    lead = scenario.lead_s
    bursts = [msgspec.structs.replace(t, begin_s=t.begin_s + lead) for t in troubles if t.name == "burst"]
    classes = list(scenario.classes.values())
    by_class = list(accumulate(c.share for c in classes))
    by_tenant = list(accumulate(t.share for t in scenario.tenants.values()))
    turns = sum(c.share * c.turns for c in classes) / by_class[-1]
    openings = []
    for c in classes:
        weights = list(accumulate(1.0 / (n + 1) ** c.zipf for n in range(c.openings)))
        openings.append((weights, [(_key(rng), _tokens(c.opening_tokens, rng)) for _ in range(c.openings)]))
    # Include sessions that began before the scenario, or its first seconds would have too little load.
    earlier = max((_session_duration_s(c) for c in classes), default=0.0)
    found: list[PlannedRequest] = []
    for at in _arrival_times(
        scenario, scenario.load.per_engine * scenario.engines / turns, bursts, rng, -earlier
    ):
        cls, tenant, session = _pick(by_class, rng), _pick(by_tenant, rng), _key(rng)
        c = classes[cls]
        prefix, shared = 0, 0
        if c.openings and rng.random() < c.opening_share:
            weights, names = openings[cls]
            prefix, shared = names[_pick(weights, rng)]
        count = 1 if c.turns <= 1.0 else 1 + int(log(1.0 - rng.random()) / log(1.0 - 1.0 / c.turns))
        context, when = shared, at
        for _ in range(count):
            room = c.max_context - context - c.max_answer if c.max_context else 0
            if c.max_context and room < 1:
                break
            context += _tokens(c.new_tokens, rng, c.new_sigma, room)
            answer = _tokens(c.answer_tokens, rng, c.answer_sigma, c.max_answer)
            if 0.0 <= when < scenario.total_s():
                found.append(
                    PlannedRequest(
                        when * 1000.0, cls, tenant, session, prefix, context, shared, answer, False
                    )
                )
            context += answer
            when += draw(c.think_s, rng)
    return found


def _read_trace(scenario: Scenario) -> list[PlannedRequest]:
    classes, tenants = list(scenario.classes), list(scenario.tenants)
    decoder = msgspec.json.Decoder(TraceLine)
    found = []
    try:
        with open(scenario.load.trace, "rb") as source:
            for number, line in enumerate(source, 1):
                if not line.strip():
                    continue
                place = f"{scenario.load.trace}, line {number}"
                try:
                    one = decoder.decode(line)
                    cls = classes.index(one.cls)
                    tenant = tenants.index(one.tenant) if one.tenant else 0
                    session, prefix = int(one.session, 16), int(one.prefix, 16)
                except (msgspec.DecodeError, ValueError) as error:
                    raise ScenarioError(f"{place}: {error}") from error
                if one.prompt < 1 or one.answer < 1 or not 0 <= one.shared <= one.prompt or one.at_ms < 0:
                    raise ScenarioError(f"{place}: lengths must be at least 1, shared within the prompt")
                if one.at_ms < scenario.total_s() * 1000.0:
                    found.append(
                        PlannedRequest(
                            one.at_ms, cls, tenant, session or number, prefix, one.prompt,
                            one.shared if prefix else 0, one.answer, False,
                        )
                    )  # fmt: skip
    except OSError as error:
        raise ScenarioError(f"load.trace: {error}") from error
    return found


def _mark_over_quota(scenario: Scenario, found: list[PlannedRequest]) -> list[PlannedRequest]:
    """Mark the requests of each tenant beyond its quota (a token bucket)."""
    rates = [t.quota_per_engine * scenario.engines or inf for t in scenario.tenants.values()]
    level = [r * QUOTA_BURST_S for r in rates]
    last = 0.0
    marked = []
    for one in found:
        for n, r in enumerate(rates):
            level[n] = min(r * QUOTA_BURST_S, level[n] + r * (one.at_ms - last) / 1000.0) if r < inf else inf
        last = one.at_ms
        over_quota = level[one.tenant] < 1.0
        if not over_quota:
            level[one.tenant] -= 1.0
        marked.append(msgspec.structs.replace(one, over_quota=over_quota))
    return marked
