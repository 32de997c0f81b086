"""The pool's split as a part of what the fleet decides in common: `Pools` notes, sums up, decides and adopts.

It owns no socket and no clock. A router tells it what its requests showed (`recorder`) and which engines there
are (`set_engines`); the two facts it gives back are the side of a request and the side of an engine.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import msgspec

from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.interface import RequestClass
from spoolbarrow.pools import split
from spoolbarrow.pools.queue_model import Atom, Rates
from spoolbarrow.pools.split import ENCODE, Engine, Plan
from spoolbarrow.pools.traffic_stats import HALF_MS, TrafficRecorder, TrafficStats, decode_summary, merged

OLD_MS = 120_000.0  # a summary said so long ago, or ahead, says nothing; clocks may be a minute apart
YOUNG_MS = 2000.0  # a router that has listened for less tells no rates
SPAN_MS = HALF_MS / 0.6931  # so long a span the weights of a steady flow stand for


class Target(msgspec.Struct):
    """The best split the model sees, and what it says of it and of what stands."""

    limits: list[float]
    readers: int
    none: list[float]
    best: list[float]
    stands: list[float]


class Pools:
    """Part of the fleet's decisions: which engines read and which write."""

    kind = "pools"

    def __init__(
        self,
        now: float,
        classes: Sequence[RequestClass],
        portions: Sequence[float] = (),
        between: Callable[[], None] = lambda: None,
    ) -> None:
        self.classes = classes
        self.portions = portions  # of tenants, as shares of 1
        self.between = between  # called between the pieces of a decision, each a few ms at most
        self.recorder = TrafficRecorder(now)
        self.engines: dict[str, Engine] = {}
        self.plan: Plan | None = None  # acted on
        self._readers: frozenset[str] = frozenset()

    def set_engines(self, engines: Mapping[str, Engine]) -> None:
        """The engines in service, as this router's list has them."""
        self.engines = dict(engines)

    # --- the part's seam

    def summary(self, now: float) -> bytes:
        """What this router has seen."""
        return self.recorder.body(now)

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Act on a plan from now on, or on none."""
        plan = split.decode_plan(body)
        self.plan = plan if plan is not None and plan.prefill_engines else None
        self._readers = frozenset(self.plan.prefill_engines) if self.plan is not None else frozenset()
        return plan is not None or body is None

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """One plan from all summaries, the same whatever their order; None: what stands goes on."""
        before = split.decode_plan(last)
        plan = self._without_lost(before or Plan())
        told = []
        for body in sorted(bodies):
            seen = decode_summary(body)
            if seen is not None and _current(seen, now):
                told.append(seen)
            self.between()
        after = self._next(now, plan, told)
        if before is not None and _same(before, after):
            return None
        made = ENCODE(msgspec.structs.replace(after, at_ms=now))
        return made if len(made) <= MAX_BODY_BYTES else None

    # --- the facts

    def is_prefill_request(self, cls: int, prompt: int) -> bool | None:
        """Whether a request is of the reading side; None: there are no sides."""
        if self.plan is None:
            return None
        limits = self.plan.prefill_min_tokens
        return 0 <= cls < len(limits) and limits[cls] != split.NEVER_PREFILL and prompt >= limits[cls]

    def is_prefill_engine(self, name: str) -> bool | None:
        """Whether an engine is of the reading side; None: there are no sides."""
        if self.plan is None:
            return None
        only = self.engines[name].fixed_side if name in self.engines else ""
        return only == "read" if only else name in self._readers

    # --- deciding

    def _without_lost(self, plan: Plan) -> Plan:
        """Engines that are gone, or cannot be steered, are no longer named."""
        kept = [
            name
            for name in plan.prefill_engines
            if name in self.engines and not self.engines[name].fixed_side
        ]
        return msgspec.structs.replace(plan, prefill_engines=kept)

    def _next(self, now: float, plan: Plan, told: list[TrafficStats]) -> Plan:
        steered = sum(not e.fixed_side for e in self.engines.values())
        if len(self.engines) < 2:
            return _none(plan, "fewer than two engines")
        whole = merged(told, [_youth(seen) for seen in told], self.between)
        kinds: dict[str, int] = {}
        for engine in self.engines.values():
            kinds[engine.engine_type] = kinds.get(engine.engine_type, 0) + 1
        guarded, odd = split.guarded(whole, self.portions)
        found = split.atoms(guarded, self.classes, SPAN_MS)
        rates = split.rates(whole, kinds, found, plan.step_ms if plan.prefill_engines else 0.0)
        weight = sum(cell.weight() for cell in whole.cells.values())
        if rates is None or weight < split.LITTLE or len(found) < 2:
            return _none(plan, "too little evidence")
        rates = split.roomy(rates, whole, found, len(self.engines))
        if split.contradicts(told, whole):
            return _none(plan, "routers contradict each other")
        if any(e.fixed_side for e in self.engines.values()):
            best = self._target(plan, found, rates, weight)
            readers = best.readers if best is not None else 0
            wanted = (readers, len(self.engines) - readers) if readers else (0, 0)
            plan = msgspec.structs.replace(plan, wanted=wanted)
        if steered < 2:
            return _none(plan, "fewer than two engines that can do both")
        if not plan.prefill_engines and split.lives_on_kept(found, len(self.engines), rates):
            return _none(plan, "the fleet lives on kept prompts, and homes would move")
        target = self._target(plan, found, rates, weight)
        if target is None:
            return _none(plan, "all requests read alike")
        if odd and plan.prefill_engines:
            # What a tenant asks beyond its portion moves nothing, but leaving it out may do no harm.
            true = split.atoms(split.guarded(whole, None)[0], self.classes, SPAN_MS)
            really = split.judged(
                true, split.apart(true, plan.prefill_min_tokens), len(self.engines), rates, weight
            )
            if really.seen(self._reading(plan)) > really.none()[0] + split.ENTER:
                return _none(plan, "harms the traffic as it is")
        return self._weighed(now, plan, target, whole, rates)

    def _reading(self, plan: Plan) -> int:
        return len(plan.prefill_engines) + sum(e.fixed_side == "read" for e in self.engines.values())

    def _target(self, plan: Plan, found: Sequence[Atom], rates: Rates, weight: float) -> Target | None:
        engines, now = len(self.engines), self._reading(plan) if plan.prefill_engines else 0
        options: list[list[float]] = []
        for cut in split.cuts(found, rates):
            limits = split.thresholds(found, cut, len(self.classes), rates)
            options += [limits] if limits not in options else []
        stands = (
            plan.prefill_min_tokens
            if plan.prefill_engines and len(plan.prefill_min_tokens) == len(self.classes)
            else None
        )
        if stands is not None and stands not in options:
            options.append(stands)
        tried: list[tuple[float, int, split.Judged, list[float]]] = []
        now_lost: list[float] = []
        for limits in options:
            reads = split.apart(found, limits)
            if all(reads) or not any(reads):
                continue
            judge = split.judged(found, reads, engines, rates, weight)
            if limits == stands and 0 < now < engines:
                now_lost = judge.lost(now)
            for readers in split.counts(engines, now if limits == stands else 0):
                tried.append((judge.seen(readers), readers, judge, limits))
                self.between()
        tried.sort(key=lambda one: one[:2])
        close: list[tuple[list[float], int, split.Judged, list[float]]] = []
        for _, readers, judge, limits in tried[: split.CLOSE]:
            close.append((judge.lost(readers), readers, judge, limits))
            self.between()
        if not close:
            return None
        lost, readers, judge, limits = min(close, key=lambda one: sum(one[0]))
        return Target(limits, readers, judge.none(), lost, now_lost)

    def _weighed(self, now: float, plan: Plan, target: Target, whole: TrafficStats, rates: Rates) -> Plan:
        """From what stands to the target: by so much, or not at all."""
        gains = [without - lost for without, lost in zip(target.none, target.best, strict=True)]
        late, weight = self._measured(whole)
        # What is not late cannot be gained: a model that sees more lateness than there is gains less.
        real = min(1.0, late / target.none[0]) if target.none[0] > 0.0 else 0.0
        earns = sum(gains) * real >= len(gains) * split.ENTER and min(gains) >= 0.0
        if not plan.prefill_engines:
            if _until(plan.rest_until_ms, now, split.REST_MS):
                return _none(plan, "rests: the last split did not show the gain predicted")
            if not earns:
                return _none(plan, "no gain predicted")
            if weight >= split.LITTLE and abs(target.none[0] - late) > split.AMISS:
                return _none(plan, "the model does not describe this fleet")
            change = target.readers - self._reading(plan)
            names = split.moved(set(), self.engines, change, set()) if change > 0 else []
            if not names:
                return _none(plan, "no engine can be moved")
            return msgspec.structs.replace(
                plan, prefill_engines=sorted(names), prefill_min_tokens=target.limits, since_ms=now, moved_ms=now, moved={},
                unsplit_loss=target.none[0], split_loss=target.best[0], trial=(late, weight, target.none[0]),
                step_ms=rates.step_ms, reason="split",
            )  # fmt: skip
        # Without a gain anywhere it ends; where it only stands wrongly it moves, unless that does harm.
        stood = split.gain(target.none, target.stands) if target.stands else 0.0
        most = split.gain(target.none, target.best)
        if max(stood, most) < split.LEAVE or stood < -split.ENTER:
            return _none(plan, "no gain predicted any more")
        if now - plan.since_ms >= split.TRIAL_MS and self._failed(plan, target, late, weight):
            rest = _none(plan, "rests: the last split did not show the gain predicted")
            return msgspec.structs.replace(rest, rest_until_ms=now + split.REST_MS)
        return self._moved(now, plan, target)

    @staticmethod
    def _failed(plan: Plan, target: Target, late: float, weight: float) -> bool:
        """Whether what is measured shows that a split which stands does harm, or not what it should."""
        least, (before, then, predicted) = min(weight, plan.trial[1]), plan.trial
        if least < split.LITTLE or abs(target.none[0] - predicted) > split.OTHER:
            return False
        doubt = split.SURE * 0.5 * (1.0 / weight + 1.0 / then) ** 0.5
        expected = before + max(0.0, target.none[0] - predicted)
        amiss = late - max(target.stands, default=1.0) - doubt > split.AMISS_SPLIT
        return late > expected + split.WORSE + doubt or (amiss and late >= expected)

    def _moved(self, now: float, plan: Plan, target: Target) -> Plan:
        """One step towards the target, where the gain outlasts the noise."""
        reading = self._reading(plan)
        harms = bool(target.stands) and split.gain(target.none, target.stands) < 0.0
        back = (target.readers - reading) * plan.direction < 0 and not harms
        least = split.MOVE * (split.BACK if back else 1.0)
        gains = [a - b for a, b in zip(target.stands, target.best, strict=False)]
        worth = not gains or (sum(gains) > least * len(gains) and min(gains) > -least / 2.0)
        if not worth or 0.0 <= now - plan.moved_ms < split.MOVE_MS:
            return plan
        most = max(1, len(self.engines) // split.ENGINES_PER_MOVE)
        change = max(-most, min(most, target.readers - reading))
        staying = {name for name, at in plan.moved.items() if 0.0 <= now - at < split.STAY_MS}
        names = split.moved(set(plan.prefill_engines), self.engines, change, staying) if change else []
        if not names and target.limits == plan.prefill_min_tokens:
            return plan
        readers = sorted(set(plan.prefill_engines) ^ set(names))
        moved = {name: at for name, at in plan.moved.items() if name in staying} | dict.fromkeys(names, now)
        return msgspec.structs.replace(
            plan, prefill_engines=readers, prefill_min_tokens=target.limits, moved_ms=now, moved=moved,
            direction=(change > 0) - (change < 0) or plan.direction,
            unsplit_loss=target.none[0], split_loss=target.best[0], reason="split",
        )  # fmt: skip

    def _measured(self, whole: TrafficStats) -> tuple[float, float]:
        """Share of the worth that came late, and the requests it was counted of."""
        asked = lost = weight = 0.0
        for (cls, _), cell in sorted(whole.cells.items()):
            worth = self.classes[cls].worth if cls < len(self.classes) else 0.0
            asked += worth * cell.answered
            lost += worth * cell.late
            weight += cell.answered
        return (lost / asked if asked > 0.0 else 0.0), weight


def _current(seen: TrafficStats, now: float) -> bool:
    return abs(now - seen.at_ms) < OLD_MS and seen.at_ms - seen.begun_ms >= YOUNG_MS


def _youth(seen: TrafficStats) -> float:
    """What makes the weights of a router that began lately stand for as long a span as the others'."""
    return float(min(4.0, 1.0 / (1.0 - 0.5 ** ((seen.at_ms - seen.begun_ms) / HALF_MS))))


def _until(end: float, now: float, most: float) -> bool:
    """Whether a time that was set at most so long ahead is still to come, by whatever clock it was set."""
    return now < end <= now + 2.0 * most


def _none(plan: Plan, why: str) -> Plan:
    return Plan(rest_until_ms=plan.rest_until_ms, wanted=plan.wanted, reason=why)


def _same(one: Plan, other: Plan) -> bool:
    """Whether routers would do the same by both, and a person be told the same."""
    return (one.prefill_engines, one.prefill_min_tokens, one.rest_until_ms, one.wanted, one.reason) == (
        other.prefill_engines, other.prefill_min_tokens, other.rest_until_ms, other.wanted, other.reason,
    )  # fmt: skip
