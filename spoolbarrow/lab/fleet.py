"""The fleet of a day and its troubles, drawn by seed: which engines there are, and whom each trouble hits."""

from __future__ import annotations

from random import Random
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow.lab.kinds import EngineParameters, draw, draw_engine
from spoolbarrow.lab.scenario import Scenario, Trouble

CELL = 8  # engines that are close to each other
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
GLOBAL_TROUBLES = ("burst", "discovery_down", "discovery_stale")  # or no single machine
PAUSE_EVERY_MS = 1500.0


def random_stream(seed: int, name: str) -> Random:
    """Random numbers of one concern, the same whatever others draw."""
    return Random(f"{seed}:{name}")


class EngineSpec(Struct, frozen=True):
    """An engine of the fleet."""

    id: str
    zone: int
    kind: int
    cell: int
    figures: EngineParameters
    weight: float = 1.0  # that the list tells


class PlannedTrouble(Struct, frozen=True):
    """A trouble with all that was left open decided."""

    trouble: Trouble
    victims: tuple[int, ...]  # engines or routers, by number
    routers: tuple[int, ...]  # those cut off from the victims, of a partition
    size: float


def fleet(scenario: Scenario, rng: Random) -> list[EngineSpec]:
    """Engines of each kind by its share, zone by zone in turn."""
    names = list(scenario.kinds)
    total = sum(kind.share for kind in scenario.kinds.values())
    wanted = [kind.share / total * scenario.engines for kind in scenario.kinds.values()]
    counts = [int(w) for w in wanted]
    for n in sorted(range(len(names)), key=lambda k: counts[k] - wanted[k])[: scenario.engines - sum(counts)]:
        counts[n] += 1
    which = [n for n, count in enumerate(counts) for _ in range(count)]
    rng.shuffle(which)
    specs = [
        EngineSpec(
            f"e{rng.getrandbits(32):08x}{n:04x}",
            n % scenario.zones,
            kind,
            n // CELL,
            draw_engine(scenario.kinds[names[kind]], rng),
        )
        for n, kind in enumerate(which)
    ]
    if not scenario.discovery.weights:
        return specs
    return [replace(s, weight=_rough(s, scenario.discovery.weight_noise)) for s in specs]


def _rough(spec: EngineSpec, noise: float) -> float:
    """An engine's size, more or less, as the list tells it."""
    return spec.figures.speed * max(0.2, 1.0 + noise * Random(spec.id).gauss(0.0, 1.0))


def plan(scenario: Scenario, rng: Random) -> list[PlannedTrouble]:
    """The scenario's troubles and those drawn at random, with their victims."""
    drawn = scenario.drawn
    troubles = list(scenario.troubles)
    for _ in range(drawn.count):
        length = draw(drawn.length_s, rng)
        begin = rng.uniform(0.1, 0.9) * max(0.0, scenario.length_s - length)
        part = draw(drawn.part, rng)
        troubles.append(Trouble(name=rng.choice(drawn.names), begin_s=begin, length_s=length, part=part))
    return [_planned(scenario, trouble, rng) for trouble in troubles]


def engine_actions(
    planned: PlannedTrouble, figures: EngineParameters, rng: Random, begin: float
) -> list[tuple[float, str, tuple[Any, ...]]]:
    """What happens to one engine that a trouble hits: when, ms, which move, and with what.

    `stall` until a time, `slowed` by a factor, `crash` for so long, `drain`, `replace` and `vanish` until a
    time, `cut` off from routers until a time, `put` a value in place of one of its own.
    """
    name, size = planned.trouble.name, planned.size
    end = begin + planned.trouble.length_s * 1000.0
    if name == "hang":
        return [(begin, "stall", (end,))]
    if name == "pauses":
        found: list[tuple[float, str, tuple[Any, ...]]] = []
        when = begin + PAUSE_EVERY_MS * rng.random()
        while when < end:
            found.append((when, "stall", (when + size,)))
            when += PAUSE_EVERY_MS * (0.5 + rng.random())
        return found
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


def _planned(scenario: Scenario, trouble: Trouble, rng: Random) -> PlannedTrouble:
    size = trouble.size or DEFAULT_TROUBLE_SIZES.get(trouble.name, 0.0)
    if trouble.name in GLOBAL_TROUBLES:
        return PlannedTrouble(trouble, (), (), size)
    of = scenario.routers if trouble.name in ROUTER_TROUBLES else scenario.engines
    among: range | list[int] = range(of)
    if trouble.zone >= 0 and trouble.name not in ROUTER_TROUBLES:
        among = [n for n in among if n % scenario.zones == trouble.zone]
    hit = max(1, min(len(among), round(trouble.part * len(among))))
    victims = tuple(sorted(rng.sample(among, hit)))
    cut: tuple[int, ...] = ()
    if trouble.name == "partition":
        many = max(1, round(trouble.size * scenario.routers))
        cut = tuple(rng.sample(range(scenario.routers), many))
    return PlannedTrouble(trouble, victims, cut, size)
