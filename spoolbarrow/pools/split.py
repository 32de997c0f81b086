"""The split itself: how many engines read, from which prompt length a request does, and which engines move.

Pure functions from merged evidence to a plan. A plan changes slowly: it is entered only on a gain that
outlasts the noise of the evidence, moves a step at a time towards its target, and is left at once where the
model, or what was measured since it stands, shows no gain against no split. The engines that move are
chosen by rendezvous hashing, so that one that comes or goes moves no other and few kept prompts are lost.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from math import inf, isfinite, sqrt

import msgspec
from msgspec import Struct, field

from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.interface import RequestClass
from spoolbarrow.pools import sketch
from spoolbarrow.pools.queue_model import HURT, Atom, Rates, Traffic, flow
from spoolbarrow.pools.traffic_stats import MOST_CLASSES, REST, US, Cell, EngineSpeed, TrafficStats

LITTLE = 60.0  # requests weighed by age, below which there is too little evidence
SURE = 3.0  # standard deviations of the evidence's noise that a gain must outlast
ENTER, LEAVE, MOVE = 0.015, 0.004, 0.008  # predicted share of the worth: to split, to go on, to move
DOUBT = 0.5  # of what was seen, the most that noise is taken for
BACK = 4.0  # times the gain, for a move against the direction of the last one
SAVED = 0.3  # share of the engines' time that kept prompts save, from which losing them is looked at
ENGINES_PER_MOVE = 16  # one engine of so many moves at a time, at least one
MOVE_MS, STAY_MS = 4000.0, 20_000.0  # between moves, and what an engine stays on its side at least
TRIAL_MS, REST_MS = 40_000.0, 600_000.0  # until a split's measured lateness counts; none after it failed
OTHER = 0.15  # in predicted lateness without a split: then the traffic is not what the trial began with
WORSE = 0.02  # share late, beyond the noise, that shows a split to do harm
AMISS = 0.3  # between predicted and measured lateness: the model does not describe this fleet
AMISS_SPLIT = 0.1  # measured beyond predicted under a split that stands: it does not do what it should
KEEPS = 0.35  # share of prompts found kept, from which a class stays on one side: its sessions grow
CUTS = 4  # lengths tried, from which a request reads
CLOSE = 4  # of all tried, the best by what was seen, that are held against the noise as well
TRIES = 12  # numbers of readers tried
FAST = 0.1  # quantile of the times seen that stands for an engine with nothing else to do
PACES = 10.0  # samples of an engine type's rates, below which they are not known
RUN_SHARE = 0.007  # of a step, what each further stream adds: not seen apart from outside (docs/pools.md)
UNTOLD = 0.5  # portion of a tenant that none was told for
NEVER_PREFILL = -1.0  # in `prefill_min_tokens`: no request of this class reads


class Engine(Struct, frozen=True):
    """One line of the holder's list, as far as the split goes."""

    engine_type: str = ""
    zone: int = 0
    cold: bool = False
    fixed_side: str = ""  # "read" or "write": an operator says that this type can do nothing else


class Plan(Struct, array_like=True, forbid_unknown_fields=True, omit_defaults=False):
    """The decision's body. No readers: no split."""

    at_ms: float = 0.0
    prefill_min_tokens: list[float] = field(
        default_factory=list
    )  # by class: prompt tokens from which it reads
    prefill_engines: list[str] = field(default_factory=list)  # engines, in order
    since_ms: float = 0.0  # of the split
    moved_ms: float = 0.0  # of the last move
    moved: dict[str, float] = field(default_factory=dict)  # engines that must stay, since when
    step_ms: float = 0.0  # of an engine, as learnt while there was no split
    direction: int = 0  # of the last move: 1 to read, -1 to write
    rest_until_ms: float = 0.0  # no split until then
    unsplit_loss: float = 0.0  # predicted share of the worth lost without a split
    split_loss: float = 0.0  # and with this one
    trial: tuple[float, float, float] = (0.0, 0.0, 0.0)  # before it: share late, its weight, predicted
    wanted: tuple[int, int] = (0, 0)  # readers and writers that the traffic wants, whatever can be steered
    reason: str = ""


ENCODE, DECODE = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Plan).decode


def decode_plan(body: bytes | None) -> Plan | None:
    """A plan that can be acted on; None otherwise."""
    if body is None or len(body) > MAX_BODY_BYTES:
        return None
    try:
        plan = DECODE(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    numbers = (plan.at_ms, plan.since_ms, plan.moved_ms, plan.rest_until_ms, plan.unsplit_loss, plan.split_loss,
               plan.step_ms, *plan.trial, *plan.prefill_min_tokens, *plan.moved.values())  # fmt: skip
    sane = all(map(isfinite, numbers)) and len(plan.prefill_min_tokens) <= MOST_CLASSES
    return plan if sane and all(x == NEVER_PREFILL or x >= 0.0 for x in plan.prefill_min_tokens) else None


# --- from evidence to what the model takes


def guarded(seen: TrafficStats, portions: Sequence[float] | None) -> tuple[dict[int, Cell], bool]:
    """By class, and whether a tenant was held back; None: hold nobody back.

    No tenant's reading weighs more than its portion while others ask as well. What a tenant asks beyond
    counts as if it were asked by the others: the rate stays true, and one tenant's odd prompts move the shape
    of the traffic by no more than its share.
    """
    asked: dict[int, float] = {}
    for (_, tenant), cell in sorted(seen.cells.items()):
        asked[tenant] = asked.get(tenant, 0.0) + work(cell)
    total = sum(asked.values())
    over: set[int] = set()
    most: dict[int, float] = {REST: 1.0}  # many tenants together
    if portions is not None and len(asked) > 1:
        for tenant in asked:
            told = portions[tenant] if 0 <= tenant < len(portions) else UNTOLD
            most.setdefault(tenant, told)
        over = {tenant for tenant, much in asked.items() if much > most[tenant] * total > 0.0}
    left = total - sum(most[tenant] * total for tenant in over)
    others = sum(much for tenant, much in asked.items() if tenant not in over)
    if others <= 0.0 or left <= 0.0:
        over = set()  # all ask beyond their portions: then none of them is odd
    found: dict[int, Cell] = {}
    for (cls, tenant), cell in sorted(seen.cells.items()):
        share = 1.0
        if over:
            share = most[tenant] * total / asked[tenant] if tenant in over else left / others
        found.setdefault(cls, Cell()).take(cell, share)
    return found, bool(over)


def work(cell: Cell) -> float:
    """What a cell asks, in tokens read; a request counts as one more."""
    return sum(sums[1] for sums in cell.spans.values()) + cell.weight()


def atoms(by_class: Mapping[int, Cell], classes: Sequence[RequestClass], span_ms: float) -> list[Atom]:
    """What the model takes, of evidence whose weight stands for so many ms."""
    found = []
    for cls, cell in sorted(by_class.items()):
        if cls >= len(classes):
            continue
        c = classes[cls]
        lengths = sketch.kaplan_meier(cell.ended, cell.cut)
        answer = sketch.mean(lengths) if lengths else 0.0
        for number, (count, tokens, squares) in sorted(cell.spans.items()):
            if count > 0.0:
                prompt = 1.5 * 2.0**number
                found.append(Atom(
                    cls, 2.0**number, prompt, count / span_ms, tokens / count, squares / count, answer,
                    c.aim(round(prompt)), c.token_aim_ms, c.worth * (1.0 - c.late_share),
                ))  # fmt: skip
    return found


def rates(seen: TrafficStats, kinds: Mapping[str, int], found: Sequence[Atom], before: float) -> Rates | None:
    """Of a mean engine of a fleet with so many of each type; None where no type's rates are known.

    Where engines do not stand apart, every stream is held up by reading: a step's own time is then what is
    left of the usual pace, not the least that was seen. `before` is what that came to before they did, or 0.
    """
    known: dict[str, tuple[float, float]] = {}
    for kind, pace in sorted(seen.speeds.items()):
        if kind in kinds and min(sum(pace.read.values()), sum(pace.step.values())) >= PACES:
            read, step = (sketch.quantile(h, FAST) / US for h in (pace.read, pace.step))
            known[kind] = (read, step)
    weight = sum(kinds[kind] for kind in known)
    if not weight:
        return None
    # Speeds add up, times do not.
    reading = sum(kinds[kind] / known[kind][0] for kind in known) / weight
    stepping = sum(kinds[kind] / known[kind][1] for kind in known) / weight
    step = 1.0 / stepping
    if before > 0.0:
        step = min(step, before)
    else:
        read = sum(a.rate * a.unread for a in found) / reading / sum(kinds.values())
        step = min(step, _usual(seen) * max(0.1, 1.0 - HURT * min(1.0, read)))
    return Rates(1.0 / reading, step, RUN_SHARE * step)


def _usual(seen: TrafficStats) -> float:
    """The median pace of all streams, ms a token."""
    steps: dict[int, float] = {}
    for pace in seen.speeds.values():
        sketch.add(steps, pace.step)
    return sketch.quantile(steps, 0.5) / US


def roomy(told: Rates, seen: TrafficStats, found: Sequence[Atom], engines: int) -> Rates:
    """With the slots and the memory that reports tell of: the streams that run now fill so much of them."""
    weight, busy, memory = (sum(p.full[n] for p in seen.speeds.values()) for n in range(3))
    _, _, _, made, _, held = flow(found)
    running = made * _usual(seen) / engines
    if weight < PACES or running <= 0.0:
        return told
    slots = running * weight / busy if busy > 0.0 else inf
    tokens = running * held / made * weight / memory if memory > 0.0 else inf
    return msgspec.structs.replace(told, slots=slots, memory=tokens)


def contradicts(all_seen: Sequence[TrafficStats], whole: TrafficStats, factor: float = 3.0) -> bool:
    """Whether two routers tell quite different rates of one type of engine."""
    for seen in all_seen:
        for kind, pace in seen.speeds.items():
            for mine, its in _pairs(pace, whole.speeds[kind]):
                if min(sum(mine.values()), sum(its.values())) >= 2 * PACES:
                    ratio = sketch.quantile(mine, 0.5) / max(sketch.quantile(its, 0.5), 1e-9)
                    if not 1.0 / factor <= ratio <= factor:
                        return True
    return False


def _pairs(one: EngineSpeed, other: EngineSpeed) -> Iterable[tuple[dict[int, float], dict[int, float]]]:
    return (one.read, other.read), (one.step, other.step)


# --- the choice


def gain(without: Sequence[float], lost: Sequence[float]) -> float:
    """The larger of the gain by what was seen and of the mean one: what stands has the benefit of doubt."""
    gains = [a - b for a, b in zip(without, lost, strict=True)]
    return max(gains[0], sum(gains) / len(gains))


class Judged(Struct):
    """What the model says of this traffic, at the figures seen and at those that noise could hide."""

    traffics: list[Traffic]  # as seen, then with less and with more reading
    engines: int
    rates: Rates

    def none(self) -> list[float]:
        """Predicted share of the worth lost without a split."""
        return [traffic.unsplit(self.engines, self.rates) for traffic in self.traffics]

    def seen(self, readers: int) -> float:
        """Predicted share lost with so many readers, by the figures as seen."""
        return self.traffics[0].lost(readers, self.engines, self.rates)

    def lost(self, readers: int) -> list[float]:
        """With so many readers."""
        return [traffic.lost(readers, self.engines, self.rates) for traffic in self.traffics]


def judged(found: Sequence[Atom], reads: Sequence[bool], engines: int, rates: Rates, weight: float) -> Judged:
    """With these requests reading, of evidence of so many requests; one side's noise against the other's."""
    sides = [[a for a, r in zip(found, reads, strict=True) if r is side] for side in (True, False)]
    share = [sum(a.rate for a in side) / (sum(a.rate for a in found) or 1.0) for side in sides]
    doubts = (noise(sides[0], weight * share[0], "unread"), noise(sides[1], weight * share[1], "answer"))
    traffics = []
    for sign in (0.0, -1.0, 1.0):
        of = {True: 1.0 + sign * doubts[0], False: 1.0 - sign * doubts[1]}
        some = [msgspec.structs.replace(a, rate=a.rate * of[r]) for a, r in zip(found, reads, strict=True)]
        traffics.append(Traffic(some, reads))
    return Judged(traffics, engines, rates)


def noise(found: Sequence[Atom], weight: float, of: str) -> float:
    """How far the tokens asked of so many requests may be from what was seen, as a share; DOUBT at most."""
    asked = sum(a.rate for a in found)
    tokens = sum(a.rate * getattr(a, of) for a in found)
    square = sum(a.rate * (a.unread_sq if of == "unread" else a.answer**2) for a in found)
    if tokens <= 0.0 or weight <= 0.0:
        return DOUBT
    # Weights that halve with age tell as much as twice as many requests that count alike in one span.
    return min(DOUBT, SURE * sqrt(square * asked / tokens**2 / weight / 2.0))


def lies_in_prompt(atom: Atom, rates: Rates) -> bool:
    """Whether more of an engine's time goes into reading such a request than into writing its answer."""
    return atom.unread * rates.read_ms > atom.answer * rates.run_ms


def lives_on_kept(found: Sequence[Atom], engines: int, rates: Rates) -> bool:
    """Whether the fleet could not read its prompts if none were kept: then no homes may move at once."""
    whole = sum(a.rate * a.prompt for a in found) * rates.read_ms / engines
    read = sum(a.rate * a.unread for a in found) * rates.read_ms / engines
    return whole - read > SAVED and whole > 1.0


def cuts(found: Sequence[Atom], rates: Rates) -> list[float]:
    """Tokens to be read, from which requests could be taken as readers: their cost lies in the prompt."""
    values = sorted({a.unread for a in found if a.rate > 0.0 and lies_in_prompt(a, rates)})
    if len(values) <= CUTS:
        return values
    return [values[n * (len(values) - 1) // (CUTS - 1)] for n in range(CUTS)]


def counts(engines: int, now: int) -> list[int]:
    """Numbers of readers to try: all of a small fleet, evenly of a large one, and near what stands."""
    if engines <= TRIES + 1:
        return list(range(1, engines))
    some = {max(1, round(engines * n / (TRIES + 1))) for n in range(1, TRIES + 1)}
    near = {now + d * max(1, engines // 32) for d in (-1, 0, 1)} if now else set()
    return sorted(k for k in some | near if 1 <= k < engines)


def thresholds(found: Sequence[Atom], cut: float, classes: int, rates: Rates) -> list[float]:
    """By class, the prompt length from which requests read: all spans above it read at least `cut` tokens."""
    limits = [NEVER_PREFILL] * classes
    for cls in range(classes):
        own = [a for a in found if a.cls == cls]
        asked = sum(a.rate for a in own)
        unread = sum(a.rate * a.unread for a in own)
        if unread < (1.0 - KEEPS) * sum(a.rate * a.prompt for a in own):
            # A session that changed sides as its prompt grows would leave all behind that was kept of it.
            writes = sum(a.rate * a.answer for a in own) * rates.run_ms
            limits[cls] = 0.0 if unread >= cut * asked and unread * rates.read_ms > writes else NEVER_PREFILL
            continue
        for atom in sorted(own, key=lambda a: -a.low):
            if atom.unread < cut or not lies_in_prompt(atom, rates):
                break
            limits[cls] = atom.low if atom.low > 1.0 else 0.0
    return limits


def apart(found: Sequence[Atom], limits: Sequence[float]) -> list[bool]:
    """Which of the requests read by these thresholds."""
    return [limits[a.cls] != NEVER_PREFILL and a.low >= limits[a.cls] for a in found]


# --- which engines


def score(name: str) -> int:
    """An engine's place in the order in which engines read: the same at all times, whoever else is there."""
    return int.from_bytes(blake2b(name.encode(), key=b"pools", digest_size=8).digest(), "big")


def moved(readers: set[str], engines: Mapping[str, Engine], change: int, staying: set[str]) -> list[str]:
    """Engines that change sides: so many begin to read (or, below 0, to write), zones kept in proportion."""
    names = sorted(name for name, e in engines.items() if not e.fixed_side and name not in staying)
    sizes: dict[int, int] = {}
    reading: dict[int, int] = {}
    for name, engine in engines.items():
        sizes[engine.zone] = sizes.get(engine.zone, 0) + 1
        reading[engine.zone] = reading.get(engine.zone, 0) + (name in readers)
    sign = 1 if change > 0 else -1
    # Cold ones have little to lose, but the zones' proportion comes first: reading must be near.
    free: dict[int, list[tuple[bool, int, str]]] = {}  # by zone, the best last
    for name in names:
        if (name in readers) is (change < 0):
            free.setdefault(engines[name].zone, []).append(
                (not engines[name].cold, sign * score(name), name))  # fmt: skip
    for some in free.values():
        some.sort(reverse=True)
    chosen: list[str] = []
    while free and len(chosen) < abs(change):
        zone = min(free, key=lambda z: (sign * reading[z] / sizes[z], free[z][-1]))
        chosen.append(free[zone].pop()[2])
        reading[zone] += sign
        if not free[zone]:
            del free[zone]
    return chosen
