"""Draws a scenario's engines and troubles by seed: which engines there are and which ones a trouble hits."""

from __future__ import annotations

from random import Random
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow.lab.kinds import EngineParameters, draw, draw_engine
from spoolbarrow.lab.scenario import Scenario, Trouble

ENGINES_PER_CELL = 8  # number of neighbouring engines
DEFAULT_TROUBLE_SIZES = {
    "pauses": 300.0,
    "slow": 4.0,
    "connection_cap": 4.0,
    "resets": 0.2,
    "spoilt": 0.2,
    "discovery_stale": 6.0,
    "trickle": 200.0,
    "router_restart": 3.7,
}
ROUTER_TROUBLES = ("router_death", "router_restart")  # troubles that hit routers
GLOBAL_TROUBLES = ("burst", "discovery_down", "discovery_stale")  # troubles that hit no single machine
PAUSE_EVERY_MS = 1500.0


def random_stream(seed: int, name: str) -> Random:
    """A random number generator for one purpose, independent of what others draw."""
    return Random(f"{seed}:{name}")


class EngineSpec(Struct, frozen=True):
    """An engine of the fleet."""

    id: str
    zone: int
    kind: int
    cell: int
    figures: EngineParameters
    weight: float = 1.0  # in the list


class PlannedTrouble(Struct, frozen=True):
    """A trouble whose open choices are drawn."""

    trouble: Trouble
    victims: tuple[int, ...]  # engines or routers, by number
    routers: tuple[int, ...]  # cut off from the victims by a partition
    size: float


def fleet(scenario: Scenario, rng: Random) -> list[EngineSpec]:
    """Draw engines of each kind by its share, assigned to the zones in turn."""
    names = list(scenario.kinds)
    total = sum(kind.share for kind in scenario.kinds.values())
    wanted = [kind.share / total * scenario.engines for kind in scenario.kinds.values()]
    counts = [int(w) for w in wanted]
    for n in sorted(range(len(names)), key=lambda k: counts[k] - wanted[k])[: scenario.engines - sum(counts)]:
        counts[n] += 1
    kinds = [n for n, count in enumerate(counts) for _ in range(count)]
    rng.shuffle(kinds)
    specs = [
        EngineSpec(
            f"e{rng.getrandbits(32):08x}{n:04x}",
            n % scenario.zones,
            kind,
            n // ENGINES_PER_CELL,
            draw_engine(scenario.kinds[names[kind]], rng),
        )
        for n, kind in enumerate(kinds)
    ]
    if not scenario.discovery.weights:
        return specs
    return [replace(s, weight=_noisy_weight(s, scenario.discovery.weight_noise)) for s in specs]


def _noisy_weight(spec: EngineSpec, noise: float) -> float:
    """An engine's size with the noise that the list's weights have."""
    return spec.figures.speed * max(0.2, 1.0 + noise * Random(spec.id).gauss(0.0, 1.0))


def plan(scenario: Scenario, rng: Random) -> list[PlannedTrouble]:
    """The scenario's own troubles and the random ones, with their victims."""
    drawn = scenario.drawn
    troubles = list(scenario.troubles)
    for _ in range(drawn.count):
        length = draw(drawn.length_s, rng)
        begin = rng.uniform(0.1, 0.9) * max(0.0, scenario.length_s - length)
        share = draw(drawn.part, rng)
        troubles.append(Trouble(name=rng.choice(drawn.names), begin_s=begin, length_s=length, part=share))
    return [_draw_victims(scenario, trouble, rng) for trouble in troubles]


def engine_actions(
    planned: PlannedTrouble, figures: EngineParameters, rng: Random, begin: float
) -> list[tuple[float, str, tuple[Any, ...]]]:
    """The effects of a trouble on one engine: time in ms, action and arguments.

    `stall` until a time, `slowed` by a factor, `crash` for a duration, `drain`, `replace` and `vanish` until
    a time, `cut` off from routers until a time, `put` a value into an attribute.
    """
    name, size = planned.trouble.name, planned.size
    end = begin + planned.trouble.length_s * 1000.0
    if name == "hang":
        return [(begin, "stall", (end,))]
    if name == "pauses":
        pauses: list[tuple[float, str, tuple[Any, ...]]] = []
        when = begin + PAUSE_EVERY_MS * rng.random()
        while when < end:
            pauses.append((when, "stall", (when + size,)))
            when += PAUSE_EVERY_MS * (0.5 + rng.random())
        return pauses
    if name == "slow":
        return [(begin, "slowed", (size,)), (end, "slowed", (1.0,))]
    if name == "cold_restart":
        return [(begin, "crash", (figures.restart_ms,))]
    if name == "drain":
        return [(begin, "drain", ()), (end, "crash", (0.0,))]
    if name in ("replace", "vanish"):
        return [(begin, name, (end,))]
    if name == "partition":
        return [(begin, "cut", (planned.routers, end))]
    if name == "connection_cap":
        return [(begin, "put", ("cap", int(size))), (end, "put", ("cap", figures.connections))]
    return [(begin, "put", (name, size)), (end, "put", (name, 0.0))]


def _draw_victims(scenario: Scenario, trouble: Trouble, rng: Random) -> PlannedTrouble:
    size = trouble.size or DEFAULT_TROUBLE_SIZES.get(trouble.name, 0.0)
    if trouble.name in GLOBAL_TROUBLES:
        return PlannedTrouble(trouble, (), (), size)
    population = scenario.routers if trouble.name in ROUTER_TROUBLES else scenario.engines
    candidates: range | list[int] = range(population)
    if trouble.zone >= 0 and trouble.name not in ROUTER_TROUBLES:
        candidates = [n for n in candidates if n % scenario.zones == trouble.zone]
    count = max(1, min(len(candidates), round(trouble.part * len(candidates))))
    victims = tuple(sorted(rng.sample(candidates, count)))
    cut: tuple[int, ...] = ()
    if trouble.name == "partition":
        cut_count = max(1, round(trouble.size * scenario.routers))
        cut = tuple(rng.sample(range(scenario.routers), cut_count))
    return PlannedTrouble(trouble, victims, cut, size)
