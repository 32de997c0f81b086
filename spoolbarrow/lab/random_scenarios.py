"""Generates random scenarios: engines, classes and load drawn from wide ranges, reproducible by seed.

A change of the decisions that helps one deployment may be overfitted to it. These scenarios match no real
deployment: half of them have few shared prefixes, engines on which each stream costs much and loose latency
objectives; half have hundreds of shared prefixes, engines on which another stream costs almost nothing,
heavy-tailed lengths and little spare memory.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from spoolbarrow.lab.arrivals import PlannedRequest, draw_requests
from spoolbarrow.lab.fleet import EngineSpec, fleet, random_stream
from spoolbarrow.lab.scenario import Scenario, convert

# By whether there are many shared prefixes: slots, memory in tokens, step in ms, ms for a stream, ms for
# 1,000 tokens of context, tokens prefilled per second, ms for a million pairs; below: tokens of a prefill
# chunk, tokens of a memory block
ENGINES: dict[bool, tuple[tuple[float, float], ...]] = {
    False: ((40, 90), (70e3, 130e3), (9, 22), (0.05, 0.35), (0.02, 0.08), (7e3, 30e3), (0.4, 2.0)),
    True: ((100, 160), (240e3, 380e3), (8, 16), (0.02, 0.07), (0.015, 0.06), (11e3, 24e3), (1.0, 4.0)),
}
CHUNKS = {False: (1024, 2048, 4096), True: (4096, 8192)}
BLOCKS = {False: (32, 64), True: (16,)}
KIND_COUNT, CLASS_COUNT = 3, 3


def _within(rng: Random, low: float, high: float, wide: float = 1.0) -> tuple[float, float]:
    """A narrow range about a point drawn from a wide range."""
    middle = rng.uniform(low, high)
    return middle * (1.0 - 0.04 * wide), middle * (1.0 + 0.04 * wide)


def _kind(rng: Random, many: bool, share: float) -> dict[str, Any]:
    slots, memory, step, running, context, read, pairs = (_within(rng, *r) for r in ENGINES[many])
    return {
        "share": share,
        "slots": slots,
        "waiting": (slots[0], 2.0 * slots[1]),
        "memory_tokens": memory,
        "block_tokens": rng.choice(BLOCKS[many]),
        "step_ms": step,
        "step_ms_per_running": running,
        "step_ms_per_1000_context": context,
        "read_tokens_per_s": read,
        "read_ms_per_million_pairs": pairs,
        "chunk_tokens": rng.choice(CHUNKS[many]),
        "speed": _within(rng, 0.7, 2.0, 2.0),
        "cold_from": (0.34, 0.55),
        "cold_ms": (3000.0, 8500.0),
        "connections": 1200,
        "handshake_rtts": (1, 3),
        "handshake_work_ms": (1.7, 4.0),
        "probe_work_ms": (0.07, 0.15),
        "report_every_ms": (40, 470),
        "report_delay_ms": (0.15, 150),
        "report_noise": (0.07, 0.18),
        "error_share": (0.0, 0.001),
    }


def _class(rng: Random, many: bool, share: float, bare: bool) -> dict[str, Any]:
    """One class; a bare one has short prompts and, where there are many shared prefixes, none of them."""
    pace = rng.choice((60.0, 68.0, 80.0)) if many else rng.choice((80.0, 100.0))
    out = _within(rng, 35, 70) if many else _within(rng, 35, 200)
    found: dict[str, Any] = {
        "share": share,
        "aim_ms": rng.choice((1200.0, 1200.0, 2500.0)),
        "deadline_ms": rng.choice((4500.0, 6000.0, 15000.0)),
        "worth": 3.0 if bare else 1.0,
        "late_share": 0.2,
        "token_aim_ms": pace,
        "aim_ms_per_1000": rng.uniform(45, 105),
        "answer_tokens": out,
        "answer_sigma": rng.uniform(1.2, 2.2) if many else rng.uniform(0.5, 1.0),
        "max_answer": 500 if many else 800,
        "max_context": 40_000,
        "new_sigma": rng.uniform(0.8, 1.3) if many else rng.uniform(0.6, 1.0),
        "turns": rng.uniform(1.0, 2.0) if many else rng.uniform(1.0, 1.3),
        "think_s": (1.0, 4.0) if many else (2.5, 7.5),
    }
    if many and bare:
        return found | {"new_tokens": _within(rng, 400, 520), "max_context": 2800, "openings": 0}
    return found | {
        "new_tokens": _within(rng, 700, 1300) if many else _within(rng, 80, 1800),
        "openings": rng.randint(150, 600) if many else rng.randint(6, 15),
        "opening_tokens": (3500, 6150) if many else (3900, 7000),
        "opening_share": rng.uniform(0.9, 1.0),
        "zipf": rng.uniform(0.7, 1.0) if many else rng.uniform(1.0, 1.2),
    }


def random_scenario(
    seed: int, many: bool, routers: int, engines: int, load: float, length_s: float
) -> Scenario:
    """A random deployment and its scenario: `load` is a share of the engines' capacity."""
    rng = random_stream(seed, "site")
    shares = [rng.uniform(0.2, 0.5) for _ in range(KIND_COUNT)]
    parts = [rng.uniform(0.2, 0.45) for _ in range(CLASS_COUNT)]
    raw: dict[str, Any] = {
        "name": f"{'many' if many else 'few'}-{seed}",
        "length_s": length_s,
        "routers": routers,
        "engines": engines,
        "kinds": {f"kind-{n}": _kind(rng, many, share) for n, share in enumerate(shares)},
        "classes": {f"class-{n}": _class(rng, many, p, n == CLASS_COUNT - 1) for n, p in enumerate(parts)},
        "net": {"same_ms": (0.13, 0.3), "client_ms": (0.2, 1.2)},
        "clients": {"retries": 1, "patience": (0.4, 1.0), "backoff": "exp", "backoff_ms": (60, 480)},
        "tenants": {"one": {"share": 0.6}, "other": {"share": 0.4}},
        "load": {"per_engine": 1.0, "shape": "wave", "swing": rng.uniform(0.07, 0.15)},
        "limits": {"waste_fee": 0.3},
        "discovery": {"weights": True},
    }
    rate = load * capacity(convert(raw), seed)
    raw["load"]["per_engine"] = rate
    for tenant in raw["tenants"].values():
        tenant["quota_per_engine"] = rate / load * tenant["share"] * rng.uniform(0.75, 0.95)
    return convert(raw)


def capacity(scenario: Scenario, seed: int) -> float:
    """Requests per second and engine at which tokens meet their objective, with a perfect prefix cache.

    In a steady batch a step of T ms prefills T x rate x new tokens and generates a token for each of the
    rate x answer x T running requests, so T = step / (1 - rate x cost), where cost is what a request adds to
    steps.
    """
    requests = draw_requests(scenario, (), random_stream(seed, "arrivals"))
    return _mean_rate(requests, fleet(scenario, random_stream(seed, "fleet")), scenario)


def _mean_rate(requests: Iterable[PlannedRequest], specs: list[EngineSpec], scenario: Scenario) -> float:
    ended: dict[int, int] = {}
    count = new = answer = context = pairs = 0.0
    for one in requests:
        fresh = one.prompt - ended.get(one.session, one.shared)
        ended[one.session] = one.prompt + one.answer
        count, new, answer = count + 1, new + fresh, answer + one.answer
        context += one.answer * (one.prompt + 0.5 * one.answer)
        pairs += fresh * (one.prompt - 0.5 * fresh)
    classes = scenario.classes.values()
    aim = sum(c.share * c.token_aim_ms for c in classes) / sum(c.share for c in classes)
    total = 0.0
    for spec in specs:
        f = spec.figures
        cost = f.per_running_ms * answer + f.per_context_ms * context + f.read_ms * new + f.pair_ms * pairs
        total += max(0.0, 1.0 - f.step_ms / aim) / (cost / count)
    return 1000.0 * total / len(specs)
