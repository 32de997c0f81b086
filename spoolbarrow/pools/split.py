"""The split plan: how many engines do prefill, from which prompt length a request does, which engines move.

Pure functions from merged statistics to a plan. A plan changes slowly: a split starts only on a gain beyond
the noise of the statistics, moves a step at a time towards its target, and ends at once where the model, or
measurements since its start, show no gain over no split. The engines that move are chosen by rendezvous
hashing, so that adding or removing one moves no other and few cached prompts are lost.
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
from spoolbarrow.pools.queue_model import PREFILL_STALL_SHARE, Atom, Rates, Traffic, flow
from spoolbarrow.pools.traffic_stats import (
    MAX_CLASSES,
    OTHER_TENANTS,
    US_PER_MS,
    Cell,
    EngineSpeed,
    TrafficStats,
)

MIN_REQUESTS = 60.0  # weighted by age; fewer are too little evidence
NOISE_SIGMAS = 3.0  # standard deviations of the statistics' noise that a gain must exceed
# Predicted gains, as shares of request value, needed to start a split, to keep it, and to move engines.
START_GAIN, KEEP_GAIN, MOVE_GAIN = 0.015, 0.004, 0.008
MAX_NOISE_SHARE = 0.5  # of the observed value
REVERSE_FACTOR = 4.0  # on the gain needed for a move against the direction of the last one
CACHE_SAVED_SHARE = 0.3  # of engine time, saved by cached prompts, from which losing them is considered
ENGINES_PER_MOVE = 16  # one engine of so many moves at a time, and at least one
MOVE_PERIOD_MS, MIN_STAY_MS = 4000.0, 20_000.0  # between moves; of an engine on its side
TRIAL_MS, REST_MS = 40_000.0, 600_000.0  # before measured lateness counts; without a split after a failed one
TRAFFIC_CHANGE = 0.15  # of predicted lateness without a split: the traffic is not that of the trial's start
HARM_SHARE = 0.02  # late requests beyond the noise, which show that a split does harm
MAX_MODEL_ERROR = 0.3  # between predicted and measured lateness: beyond, the model does not fit this fleet
MAX_SPLIT_ERROR = 0.1  # measured beyond predicted lateness of a current split: beyond, it does not work
SESSION_CACHED_SHARE = 0.35  # of prompts, from which a class stays on one side: its sessions grow
MAX_CUTS = 4  # tried thresholds of uncached tokens
CANDIDATES = 4  # the best of all tried, which are also judged under noise
MAX_COUNTS = 12  # tried numbers of prefill engines
IDLE_QUANTILE = 0.1  # of the observed times, which represents an otherwise idle engine
MIN_SPEED_SAMPLES = 10.0  # of an engine type; fewer leave its rates unknown
STREAM_STEP_SHARE = 0.007  # added to a step by each further stream; can't be observed here (docs/pools.md)
DEFAULT_PORTION = 0.5  # of a tenant without a configured one
NEVER_PREFILL = -1.0  # in `prefill_min_tokens`: no request of this class is on the prefill side


class Engine(Struct, frozen=True):
    """An engine on the list of the lease holder, as far as the split needs it."""

    engine_type: str = ""
    zone: int = 0
    cold: bool = False
    fixed_side: str = ""  # "read" (prefill) or "write" (decode), where an operator limits this type to it


class Plan(Struct, array_like=True, forbid_unknown_fields=True, omit_defaults=False):
    """The body of the decision. Without prefill engines there is no split."""

    at_ms: float = 0.0
    prefill_min_tokens: list[float] = field(
        default_factory=list
    )  # by class: prompt tokens from which a request is on the prefill side
    prefill_engines: list[str] = field(default_factory=list)  # names, sorted
    since_ms: float = 0.0  # start of the split
    moved_ms: float = 0.0  # the last move
    moved: dict[str, float] = field(
        default_factory=dict
    )  # engines that must stay for now, with the time of their move
    step_ms: float = 0.0  # of an engine, as measured without a split
    direction: int = 0  # of the last move: 1 to prefill, -1 to decode
    rest_until_ms: float = 0.0  # no split before this time
    unsplit_loss: float = 0.0  # predicted share of request value lost without a split
    split_loss: float = 0.0  # and with this split
    trial: tuple[float, float, float] = (
        0.0,
        0.0,
        0.0,
    )  # before the split: late share, its weight, and the prediction
    wanted: tuple[int, int] = (
        0,
        0,
    )  # numbers of prefill and decode engines best for the traffic, whether or not they can be moved
    reason: str = ""


ENCODE, DECODE = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Plan).decode


def decode_plan(body: bytes | None) -> Plan | None:
    """Decode a plan; None where it is malformed or holds impossible values."""
    if body is None or len(body) > MAX_BODY_BYTES:
        return None
    try:
        plan = DECODE(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    numbers = (plan.at_ms, plan.since_ms, plan.moved_ms, plan.rest_until_ms, plan.unsplit_loss,
               plan.split_loss, plan.step_ms, *plan.trial, *plan.prefill_min_tokens,
               *plan.moved.values())  # fmt: skip
    is_valid = all(map(isfinite, numbers)) and len(plan.prefill_min_tokens) <= MAX_CLASSES
    return plan if is_valid and all(x == NEVER_PREFILL or x >= 0.0 for x in plan.prefill_min_tokens) else None


# --- from statistics to the model's input


def limited_by_portion(stats: TrafficStats, portions: Sequence[float] | None) -> tuple[dict[int, Cell], bool]:
    """Statistics by class with each tenant limited to its portion, and whether any was; None: no limits.

    No tenant's prefill work weighs more than its portion while others send requests too. Work beyond it
    counts as that of the other tenants: the total rate stays true, and unusual prompts of one tenant change
    the shape of the traffic by no more than its portion.
    """
    work_by_tenant: dict[int, float] = {}
    for (_, tenant), cell in sorted(stats.cells.items()):
        work_by_tenant[tenant] = work_by_tenant.get(tenant, 0.0) + work(cell)
    total = sum(work_by_tenant.values())
    limited: set[int] = set()
    limits: dict[int, float] = {OTHER_TENANTS: 1.0}  # many tenants merged
    if portions is not None and len(work_by_tenant) > 1:
        for tenant in work_by_tenant:
            portion = portions[tenant] if 0 <= tenant < len(portions) else DEFAULT_PORTION
            limits.setdefault(tenant, portion)
        limited = {
            tenant for tenant, amount in work_by_tenant.items() if amount > limits[tenant] * total > 0.0
        }
    remaining = total - sum(limits[tenant] * total for tenant in limited)
    others = sum(amount for tenant, amount in work_by_tenant.items() if tenant not in limited)
    if others <= 0.0 or remaining <= 0.0:
        limited = set()  # all tenants exceed their portions: limit none
    by_class: dict[int, Cell] = {}
    for (cls, tenant), cell in sorted(stats.cells.items()):
        share = 1.0
        if limited:
            share = (
                limits[tenant] * total / work_by_tenant[tenant] if tenant in limited else remaining / others
            )
        by_class.setdefault(cls, Cell()).merge(cell, share)
    return by_class, bool(limited)


def work(cell: Cell) -> float:
    """The work of a cell: its prefill tokens, and one more for each request."""
    return sum(sums[1] for sums in cell.spans.values()) + cell.weight()


def atoms(by_class: Mapping[int, Cell], classes: Sequence[RequestClass], span_ms: float) -> list[Atom]:
    """The model's input from statistics whose weight represents `span_ms` of traffic."""
    result = []
    for cls, cell in sorted(by_class.items()):
        if cls >= len(classes):
            continue
        c = classes[cls]
        lengths = sketch.kaplan_meier(cell.ended, cell.cut)
        answer = sketch.mean(lengths) if lengths else 0.0
        for number, (count, tokens, squares) in sorted(cell.spans.items()):
            if count > 0.0:
                prompt = 1.5 * 2.0**number
                result.append(Atom(
                    cls, 2.0**number, prompt, count / span_ms, tokens / count, squares / count, answer,
                    c.aim(round(prompt)), c.token_aim_ms, c.worth * (1.0 - c.late_share),
                ))  # fmt: skip
    return result


def rates(
    stats: TrafficStats, type_counts: Mapping[str, int], requests: Sequence[Atom], before: float
) -> Rates | None:
    """Rates of an average engine, given the number of each type; None where no type's rates are known.

    Without a split every stream is delayed by prefill: a step's own time is then the median time per token
    without the delay, not the least that was observed. `before` is that time as found before the split, or 0.
    """
    known: dict[str, tuple[float, float]] = {}
    for engine_type, speed in sorted(stats.speeds.items()):
        if (
            engine_type in type_counts
            and min(sum(speed.read.values()), sum(speed.step.values())) >= MIN_SPEED_SAMPLES
        ):
            prefill, step = (sketch.quantile(h, IDLE_QUANTILE) / US_PER_MS for h in (speed.read, speed.step))
            known[engine_type] = (prefill, step)
    weight = sum(type_counts[engine_type] for engine_type in known)
    if not weight:
        return None
    # Speeds are averaged, not times.
    prefill_speed = sum(type_counts[engine_type] / known[engine_type][0] for engine_type in known) / weight
    step_speed = sum(type_counts[engine_type] / known[engine_type][1] for engine_type in known) / weight
    step = 1.0 / step_speed
    if before > 0.0:
        step = min(step, before)
    else:
        prefill = sum(a.rate * a.unread for a in requests) / prefill_speed / sum(type_counts.values())
        step = min(step, _median_step_ms(stats) * max(0.1, 1.0 - PREFILL_STALL_SHARE * min(1.0, prefill)))
    return Rates(1.0 / prefill_speed, step, STREAM_STEP_SHARE * step)


def _median_step_ms(stats: TrafficStats) -> float:
    """The median time per token of all streams, in ms."""
    steps: dict[int, float] = {}
    for speed in stats.speeds.values():
        sketch.merge(steps, speed.step)
    return sketch.quantile(steps, 0.5) / US_PER_MS


def with_capacity(base: Rates, stats: TrafficStats, requests: Sequence[Atom], engines: int) -> Rates:
    """Add slots and memory, estimated from load reports: the streams that run now use that share of them."""
    weight, busy, memory = (sum(p.full[n] for p in stats.speeds.values()) for n in range(3))
    _, _, _, answer, _, held = flow(requests)
    running = answer * _median_step_ms(stats) / engines
    if weight < MIN_SPEED_SAMPLES or running <= 0.0:
        return base
    slots = running * weight / busy if busy > 0.0 else inf
    tokens = running * held / answer * weight / memory if memory > 0.0 else inf
    return msgspec.structs.replace(base, slots=slots, memory=tokens)


def are_contradictory(all_stats: Sequence[TrafficStats], total: TrafficStats, factor: float = 3.0) -> bool:
    """Whether two routers report very different rates of one engine type."""
    for stats in all_stats:
        for engine_type, speed in stats.speeds.items():
            for own, overall in _pairs(speed, total.speeds[engine_type]):
                if min(sum(own.values()), sum(overall.values())) >= 2 * MIN_SPEED_SAMPLES:
                    ratio = sketch.quantile(own, 0.5) / max(sketch.quantile(overall, 0.5), 1e-9)
                    if not 1.0 / factor <= ratio <= factor:
                        return True
    return False


def _pairs(one: EngineSpeed, other: EngineSpeed) -> Iterable[tuple[dict[int, float], dict[int, float]]]:
    return (one.read, other.read), (one.step, other.step)


# --- choosing a split


def gain(without: Sequence[float], lost: Sequence[float]) -> float:
    """The larger of the gain for the observed traffic and the mean gain: doubt favours the current split."""
    gains = [a - b for a, b in zip(without, lost, strict=True)]
    return max(gains[0], sum(gains) / len(gains))


class Judgement(Struct):
    """The model's predictions for the observed traffic, and for traffic within the noise around it."""

    traffics: list[Traffic]  # as observed, then with less and with more prefill
    engines: int
    rates: Rates

    def unsplit_losses(self) -> list[float]:
        """Predicted shares of request value lost without a split."""
        return [traffic.unsplit(self.engines, self.rates) for traffic in self.traffics]

    def observed_loss(self, prefill_engines: int) -> float:
        """Predicted share lost with so many prefill engines, for the observed traffic."""
        return self.traffics[0].lost(prefill_engines, self.engines, self.rates)

    def losses(self, prefill_engines: int) -> list[float]:
        """Predicted shares lost with so many prefill engines."""
        return [traffic.lost(prefill_engines, self.engines, self.rates) for traffic in self.traffics]


def judge(
    requests: Sequence[Atom], is_prefill: Sequence[bool], engines: int, rates: Rates, weight: float
) -> Judgement:
    """Predictions with these requests on the prefill side; noise shifts demand from one side to the other."""
    sides = [[a for a, r in zip(requests, is_prefill, strict=True) if r is side] for side in (True, False)]
    shares = [sum(a.rate for a in side) / (sum(a.rate for a in requests) or 1.0) for side in sides]
    noises = (noise(sides[0], weight * shares[0], "unread"), noise(sides[1], weight * shares[1], "answer"))
    traffics = []
    for sign in (0.0, -1.0, 1.0):
        factors = {True: 1.0 + sign * noises[0], False: 1.0 - sign * noises[1]}
        scaled = [
            msgspec.structs.replace(a, rate=a.rate * factors[r])
            for a, r in zip(requests, is_prefill, strict=True)
        ]
        traffics.append(Traffic(scaled, is_prefill))
    return Judgement(traffics, engines, rates)


def noise(requests: Sequence[Atom], weight: float, attribute: str) -> float:
    """Relative error of the observed tokens of so many requests; at most MAX_NOISE_SHARE."""
    rate = sum(a.rate for a in requests)
    tokens = sum(a.rate * getattr(a, attribute) for a in requests)
    square = sum(a.rate * (a.unread_sq if attribute == "unread" else a.answer**2) for a in requests)
    if tokens <= 0.0 or weight <= 0.0:
        return MAX_NOISE_SHARE
    # Exponentially decaying weights are as informative as twice as many equal weights within a span.
    return min(MAX_NOISE_SHARE, NOISE_SIGMAS * sqrt(square * rate / tokens**2 / weight / 2.0))


def is_prefill_bound(atom: Atom, rates: Rates) -> bool:
    """Whether prefill takes more of an engine's time for such a request than decode."""
    return atom.unread * rates.read_ms > atom.answer * rates.run_ms


def depends_on_cache(requests: Sequence[Atom], engines: int, rates: Rates) -> bool:
    """Whether the fleet would be overloaded without cached prompts: preferred engines must not all change."""
    uncached_load = sum(a.rate * a.prompt for a in requests) * rates.read_ms / engines
    load = sum(a.rate * a.unread for a in requests) * rates.read_ms / engines
    return uncached_load - load > CACHE_SAVED_SHARE and uncached_load > 1.0


def cuts(requests: Sequence[Atom], rates: Rates) -> list[float]:
    """Candidate thresholds of uncached tokens for the prefill side, of requests dominated by prefill."""
    values = sorted({a.unread for a in requests if a.rate > 0.0 and is_prefill_bound(a, rates)})
    if len(values) <= MAX_CUTS:
        return values
    return [values[n * (len(values) - 1) // (MAX_CUTS - 1)] for n in range(MAX_CUTS)]


def counts(engines: int, now: int) -> list[int]:
    """Numbers of prefill engines to try: all in a small fleet; some, and those near `now`, in a large one."""
    if engines <= MAX_COUNTS + 1:
        return list(range(1, engines))
    spread = {max(1, round(engines * n / (MAX_COUNTS + 1))) for n in range(1, MAX_COUNTS + 1)}
    near = {now + d * max(1, engines // 32) for d in (-1, 0, 1)} if now else set()
    return sorted(k for k in spread | near if 1 <= k < engines)


def thresholds(requests: Sequence[Atom], cut: float, classes: int, rates: Rates) -> list[float]:
    """By class, the prompt length of the prefill side: all longer spans prefill at least `cut` tokens."""
    limits = [NEVER_PREFILL] * classes
    for cls in range(classes):
        own = [a for a in requests if a.cls == cls]
        rate = sum(a.rate for a in own)
        unread = sum(a.rate * a.unread for a in own)
        if unread < (1.0 - SESSION_CACHED_SHARE) * sum(a.rate * a.prompt for a in own):
            # A session that changed sides as its prompt grows would lose its cached prefix.
            decode = sum(a.rate * a.answer for a in own) * rates.run_ms
            limits[cls] = 0.0 if unread >= cut * rate and unread * rates.read_ms > decode else NEVER_PREFILL
            continue
        for atom in sorted(own, key=lambda a: -a.low):
            if atom.unread < cut or not is_prefill_bound(atom, rates):
                break
            limits[cls] = atom.low if atom.low > 1.0 else 0.0
    return limits


def prefill_flags(requests: Sequence[Atom], limits: Sequence[float]) -> list[bool]:
    """Which of the requests are on the prefill side by these thresholds."""
    return [limits[a.cls] != NEVER_PREFILL and a.low >= limits[a.cls] for a in requests]


# --- choosing engines


def rendezvous_hash(name: str) -> int:
    """An engine's rendezvous hash, which orders engines for prefill whatever the time and other engines."""
    return int.from_bytes(blake2b(name.encode(), key=b"pools", digest_size=8).digest(), "big")


def engines_to_move(
    prefill_engines: set[str], engines: Mapping[str, Engine], change: int, must_stay: set[str]
) -> list[str]:
    """Engines to move to prefill (or, below 0, to decode) so that zones keep their proportion."""
    names = sorted(name for name, e in engines.items() if not e.fixed_side and name not in must_stay)
    sizes: dict[int, int] = {}
    prefill_counts: dict[int, int] = {}
    for name, engine in engines.items():
        sizes[engine.zone] = sizes.get(engine.zone, 0) + 1
        prefill_counts[engine.zone] = prefill_counts.get(engine.zone, 0) + (name in prefill_engines)
    sign = 1 if change > 0 else -1
    # Engines in slow start have little cache to lose, but proportion comes first: each zone needs prefill.
    free: dict[int, list[tuple[bool, int, str]]] = {}  # by zone, the best at the end
    for name in names:
        if (name in prefill_engines) is (change < 0):
            free.setdefault(engines[name].zone, []).append(
                (not engines[name].cold, sign * rendezvous_hash(name), name))  # fmt: skip
    for candidates in free.values():
        candidates.sort(reverse=True)
    chosen: list[str] = []
    while free and len(chosen) < abs(change):
        zone = min(free, key=lambda z: (sign * prefill_counts[z] / sizes[z], free[z][-1]))
        chosen.append(free[zone].pop()[2])
        prefill_counts[zone] += sign
        if not free[zone]:
            del free[zone]
    return chosen
