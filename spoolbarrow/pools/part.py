"""The prefill/decode split as a part of the fleet's decisions: it records, summarizes, decides and applies.

It owns no socket and no clock. A router reports its requests (`recorder`) and its engines (`set_engines`),
and gets two facts back: the side of a request and the side of an engine.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import msgspec

from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.interface import RequestClass
from spoolbarrow.pools import split
from spoolbarrow.pools.queue_model import Atom, Rates
from spoolbarrow.pools.split import ENCODE, Engine, Plan
from spoolbarrow.pools.traffic_stats import (
    HALF_LIFE_MS,
    TrafficRecorder,
    TrafficStats,
    decode_summary,
    merge_stats,
)

MAX_AGE_MS = 120_000.0  # older, or further ahead, summaries are ignored; clocks may differ by a minute
MIN_SPAN_MS = 2000.0  # a router that has observed for less reports no rates
SPAN_MS = HALF_LIFE_MS / 0.6931  # the span that the total weight of steady traffic represents


class Target(msgspec.Struct):
    """The best split by the model, with the predicted losses of it, of none and of the current split."""

    limits: list[float]
    readers: int
    none: list[float]
    best: list[float]
    stands: list[float]


class Pools:
    """The part of the fleet's decisions on which engines do prefill and which decode."""

    kind = "pools"

    def __init__(
        self,
        now: float,
        classes: Sequence[RequestClass],
        portions: Sequence[float] = (),
        on_step: Callable[[], None] = lambda: None,
    ) -> None:
        self.classes = classes
        self.portions = portions  # of tenants, as shares that add up to 1
        self.on_step = on_step  # called between steps of a decision, each a few ms at most
        self.recorder = TrafficRecorder(now)
        self.engines: dict[str, Engine] = {}
        self.plan: Plan | None = None  # in force
        self._prefill_engines: frozenset[str] = frozenset()

    def set_engines(self, engines: Mapping[str, Engine]) -> None:
        """Set the engines in service, as on this router's list."""
        self.engines = dict(engines)

    # --- interface of a part

    def summary(self, now: float) -> bytes:
        """This router's traffic statistics."""
        return self.recorder.body(now)

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Apply a plan from now on, or none."""
        plan = split.decode_plan(body)
        self.plan = plan if plan is not None and plan.prefill_engines else None
        self._prefill_engines = frozenset(self.plan.prefill_engines) if self.plan is not None else frozenset()
        return plan is not None or body is None

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """One plan from all summaries, independent of their order; None: the current one stays in force."""
        before = split.decode_plan(last)
        plan = self._without_removed(before or Plan())
        all_stats = []
        for body in sorted(bodies):
            stats = decode_summary(body)
            if stats is not None and _is_current(stats, now):
                all_stats.append(stats)
            self.on_step()
        after = self._decide(now, plan, all_stats)
        if before is not None and _is_same(before, after):
            return None
        encoded = ENCODE(msgspec.structs.replace(after, at_ms=now))
        return encoded if len(encoded) <= MAX_BODY_BYTES else None

    # --- sides

    def is_prefill_request(self, cls: int, prompt: int) -> bool | None:
        """Whether a request is on the prefill side; None: there is no split."""
        if self.plan is None:
            return None
        limits = self.plan.prefill_min_tokens
        return 0 <= cls < len(limits) and limits[cls] != split.NEVER_PREFILL and prompt >= limits[cls]

    def is_prefill_engine(self, name: str) -> bool | None:
        """Whether an engine is on the prefill side; None: there is no split."""
        if self.plan is None:
            return None
        fixed_side = self.engines[name].fixed_side if name in self.engines else ""
        return fixed_side == "read" if fixed_side else name in self._prefill_engines

    # --- deciding

    def _without_removed(self, plan: Plan) -> Plan:
        """The plan without engines that were removed or have a fixed side."""
        kept = [
            name
            for name in plan.prefill_engines
            if name in self.engines and not self.engines[name].fixed_side
        ]
        return msgspec.structs.replace(plan, prefill_engines=kept)

    def _decide(self, now: float, plan: Plan, all_stats: list[TrafficStats]) -> Plan:
        movable = sum(not e.fixed_side for e in self.engines.values())
        if len(self.engines) < 2:
            return _no_split(plan, "fewer than two engines")
        total = merge_stats(all_stats, [_span_factor(stats) for stats in all_stats], self.on_step)
        type_counts: dict[str, int] = {}
        for engine in self.engines.values():
            type_counts[engine.engine_type] = type_counts.get(engine.engine_type, 0) + 1
        by_class, is_limited = split.limited_by_portion(total, self.portions)
        requests = split.atoms(by_class, self.classes, SPAN_MS)
        rates = split.rates(total, type_counts, requests, plan.step_ms if plan.prefill_engines else 0.0)
        weight = sum(cell.weight() for cell in total.cells.values())
        if rates is None or weight < split.MIN_REQUESTS or len(requests) < 2:
            return _no_split(plan, "too little evidence")
        rates = split.with_capacity(rates, total, requests, len(self.engines))
        if split.are_contradictory(all_stats, total):
            return _no_split(plan, "routers contradict each other")
        if any(e.fixed_side for e in self.engines.values()):
            best = self._target(plan, requests, rates, weight)
            prefill = best.readers if best is not None else 0
            wanted = (prefill, len(self.engines) - prefill) if prefill else (0, 0)
            plan = msgspec.structs.replace(plan, wanted=wanted)
        if movable < 2:
            return _no_split(plan, "fewer than two engines that can do both")
        if not plan.prefill_engines and split.depends_on_cache(requests, len(self.engines), rates):
            return _no_split(plan, "the fleet lives on kept prompts, and homes would move")
        target = self._target(plan, requests, rates, weight)
        if target is None:
            return _no_split(plan, "all requests read alike")
        if is_limited and plan.prefill_engines:
            # A tenant's requests beyond its portion don't shape the plan, but ignoring them must do no harm.
            actual = split.atoms(split.limited_by_portion(total, None)[0], self.classes, SPAN_MS)
            judgement = split.judge(
                actual, split.prefill_flags(actual, plan.prefill_min_tokens), len(self.engines), rates, weight
            )
            if (
                judgement.observed_loss(self._prefill_count(plan))
                > judgement.unsplit_losses()[0] + split.START_GAIN
            ):
                return _no_split(plan, "harms the traffic as it is")
        return self._next_plan(now, plan, target, total, rates)

    def _prefill_count(self, plan: Plan) -> int:
        return len(plan.prefill_engines) + sum(e.fixed_side == "read" for e in self.engines.values())

    def _target(self, plan: Plan, requests: Sequence[Atom], rates: Rates, weight: float) -> Target | None:
        engines, current = len(self.engines), self._prefill_count(plan) if plan.prefill_engines else 0
        options: list[list[float]] = []
        for cut in split.cuts(requests, rates):
            limits = split.thresholds(requests, cut, len(self.classes), rates)
            options += [limits] if limits not in options else []
        current_limits = (
            plan.prefill_min_tokens
            if plan.prefill_engines and len(plan.prefill_min_tokens) == len(self.classes)
            else None
        )
        if current_limits is not None and current_limits not in options:
            options.append(current_limits)
        tried: list[tuple[float, int, split.Judgement, list[float]]] = []
        current_losses: list[float] = []
        for limits in options:
            is_prefill = split.prefill_flags(requests, limits)
            if all(is_prefill) or not any(is_prefill):
                continue
            judgement = split.judge(requests, is_prefill, engines, rates, weight)
            if limits == current_limits and 0 < current < engines:
                current_losses = judgement.losses(current)
            for prefill_engines in split.counts(engines, current if limits == current_limits else 0):
                tried.append((judgement.observed_loss(prefill_engines), prefill_engines, judgement, limits))
                self.on_step()
        tried.sort(key=lambda candidate: candidate[:2])
        candidates: list[tuple[list[float], int, split.Judgement, list[float]]] = []
        for _, prefill_engines, judgement, limits in tried[: split.CANDIDATES]:
            candidates.append((judgement.losses(prefill_engines), prefill_engines, judgement, limits))
            self.on_step()
        if not candidates:
            return None
        losses, prefill_engines, judgement, limits = min(candidates, key=lambda candidate: sum(candidate[0]))
        return Target(limits, prefill_engines, judgement.unsplit_losses(), losses, current_losses)

    def _next_plan(self, now: float, plan: Plan, target: Target, total: TrafficStats, rates: Rates) -> Plan:
        """The next plan from the current one towards the target."""
        gains = [without - lost for without, lost in zip(target.none, target.best, strict=True)]
        late_share, weight = self._measured_lateness(total)
        # Only measured lateness can be avoided: where the model predicts more, the gain is scaled down.
        scale = min(1.0, late_share / target.none[0]) if target.none[0] > 0.0 else 0.0
        is_worthwhile = sum(gains) * scale >= len(gains) * split.START_GAIN and min(gains) >= 0.0
        if not plan.prefill_engines:
            if _is_ahead(plan.rest_until_ms, now, split.REST_MS):
                return _no_split(plan, "rests: the last split did not show the gain predicted")
            if not is_worthwhile:
                return _no_split(plan, "no gain predicted")
            if weight >= split.MIN_REQUESTS and abs(target.none[0] - late_share) > split.MAX_MODEL_ERROR:
                return _no_split(plan, "the model does not describe this fleet")
            change = target.readers - self._prefill_count(plan)
            names = split.engines_to_move(set(), self.engines, change, set()) if change > 0 else []
            if not names:
                return _no_split(plan, "no engine can be moved")
            return msgspec.structs.replace(
                plan, prefill_engines=sorted(names), prefill_min_tokens=target.limits, since_ms=now,
                moved_ms=now, moved={}, unsplit_loss=target.none[0], split_loss=target.best[0],
                trial=(late_share, weight, target.none[0]),
                step_ms=rates.step_ms, reason="split",
            )  # fmt: skip
        # Without a possible gain the split ends; one with wrong sizes moves instead, unless it does harm.
        current_gain = split.gain(target.none, target.stands) if target.stands else 0.0
        best_gain = split.gain(target.none, target.best)
        if max(current_gain, best_gain) < split.KEEP_GAIN or current_gain < -split.START_GAIN:
            return _no_split(plan, "no gain predicted any more")
        if now - plan.since_ms >= split.TRIAL_MS and self._has_failed(plan, target, late_share, weight):
            resting = _no_split(plan, "rests: the last split did not show the gain predicted")
            return msgspec.structs.replace(resting, rest_until_ms=now + split.REST_MS)
        return self._move(now, plan, target)

    @staticmethod
    def _has_failed(plan: Plan, target: Target, late_share: float, weight: float) -> bool:
        """Whether measurements show that the current split does harm, or does not work as predicted."""
        least_weight, (late_before, weight_before, predicted) = min(weight, plan.trial[1]), plan.trial
        if least_weight < split.MIN_REQUESTS or abs(target.none[0] - predicted) > split.TRAFFIC_CHANGE:
            return False
        margin = split.NOISE_SIGMAS * 0.5 * (1.0 / weight + 1.0 / weight_before) ** 0.5
        expected = late_before + max(0.0, target.none[0] - predicted)
        is_unexplained = late_share - max(target.stands, default=1.0) - margin > split.MAX_SPLIT_ERROR
        return late_share > expected + split.HARM_SHARE + margin or (
            is_unexplained and late_share >= expected
        )

    def _move(self, now: float, plan: Plan, target: Target) -> Plan:
        """One step towards the target, if the gain exceeds the noise."""
        prefill = self._prefill_count(plan)
        is_harmful = bool(target.stands) and split.gain(target.none, target.stands) < 0.0
        is_reversal = (target.readers - prefill) * plan.direction < 0 and not is_harmful
        least = split.MOVE_GAIN * (split.REVERSE_FACTOR if is_reversal else 1.0)
        gains = [a - b for a, b in zip(target.stands, target.best, strict=False)]
        is_worthwhile = not gains or (sum(gains) > least * len(gains) and min(gains) > -least / 2.0)
        if not is_worthwhile or 0.0 <= now - plan.moved_ms < split.MOVE_PERIOD_MS:
            return plan
        max_change = max(1, len(self.engines) // split.ENGINES_PER_MOVE)
        change = max(-max_change, min(max_change, target.readers - prefill))
        fixed = {name for name, at in plan.moved.items() if 0.0 <= now - at < split.MIN_STAY_MS}
        names = (
            split.engines_to_move(set(plan.prefill_engines), self.engines, change, fixed) if change else []
        )
        if not names and target.limits == plan.prefill_min_tokens:
            return plan
        changed = sorted(set(plan.prefill_engines) ^ set(names))
        moved = {name: at for name, at in plan.moved.items() if name in fixed} | dict.fromkeys(names, now)
        return msgspec.structs.replace(
            plan, prefill_engines=changed, prefill_min_tokens=target.limits, moved_ms=now, moved=moved,
            direction=(change > 0) - (change < 0) or plan.direction,
            unsplit_loss=target.none[0], split_loss=target.best[0], reason="split",
        )  # fmt: skip

    def _measured_lateness(self, total: TrafficStats) -> tuple[float, float]:
        """Share of request value that was late, and the number of requests it is based on."""
        value = late_value = weight = 0.0
        for (cls, _), cell in sorted(total.cells.items()):
            worth = self.classes[cls].worth if cls < len(self.classes) else 0.0
            value += worth * cell.answered
            late_value += worth * cell.late
            weight += cell.answered
        return (late_value / value if value > 0.0 else 0.0), weight


def _is_current(stats: TrafficStats, now: float) -> bool:
    return abs(now - stats.at_ms) < MAX_AGE_MS and stats.at_ms - stats.begun_ms >= MIN_SPAN_MS


def _span_factor(stats: TrafficStats) -> float:
    """The factor by which a recently started router's weights represent the same span as the others'."""
    return float(min(4.0, 1.0 / (1.0 - 0.5 ** ((stats.at_ms - stats.begun_ms) / HALF_LIFE_MS))))


def _is_ahead(end: float, now: float, max_ahead: float) -> bool:
    """Whether a time set at most so far ahead has yet to come; bounded, since it may be by another clock."""
    return now < end <= now + 2.0 * max_ahead


def _no_split(plan: Plan, reason: str) -> Plan:
    return Plan(rest_until_ms=plan.rest_until_ms, wanted=plan.wanted, reason=reason)


def _is_same(one: Plan, other: Plan) -> bool:
    """Whether both have the same effect on routers, and the same reason for operators."""
    return (one.prefill_engines, one.prefill_min_tokens, one.rest_until_ms, one.wanted, one.reason) == (
        other.prefill_engines, other.prefill_min_tokens, other.rest_until_ms, other.wanted, other.reason,
    )  # fmt: skip
