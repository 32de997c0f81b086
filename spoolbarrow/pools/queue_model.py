"""Predicted cost of a split: the share of request value that is late, from a queueing model with batches.

An engine prefills prompts first come, first served, and every step that prefills also makes one token of each
stream. So prefill is a queue at each engine, M/G/1 (the mean wait by F. Pollaczek and A. Khinchine, its tail
taken as exponential), and the time per token of a stream is the step's own time divided by the share of time
that prefill leaves. What would wait beyond its latency objective is refused, so the queue stays finite. Times
are milliseconds, rates requests per millisecond over the whole fleet. docs/pools.md compares approximations:
one queue for all engines of a side, M/G/k, fits worse, since a router sees little of each engine.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import erfc, exp, inf, sqrt

from msgspec import Struct

MAX_BUSY_SHARE = 0.98  # of an engine's time spent on prefill
PREFILL_STALL_SHARE = 0.82  # of prefill time, lost to streams: a step with prefill makes a token of each too
# Extra wait, in latency objectives and with all costs, at which a request leaves its side.
SPILL_PREFILL, SPILL_DECODE = 1.2, 1.0
BISECTION_STEPS = 8  # of each search: a share is exact to 0.4 %
MIN_RATE = 1e-12  # requests or tokens per millisecond: less counts as none
REFUSAL_BUSY_SHARE = 0.5  # below it almost nothing is refused


class Rates(Struct, frozen=True):
    """Speed and capacity of one engine."""

    read_ms: float  # per prompt token, with its share of the step's own time
    step_ms: float  # per token of a single stream, without prefill
    run_ms: float = 0.0  # in addition for each further stream
    slots: float = inf  # concurrent streams
    memory: float = inf  # context tokens held at the same time


class Atom(Struct, frozen=True):
    """Requests of one class and of similar prompt lengths."""

    cls: int
    low: float  # shortest prompt
    prompt: float  # mean tokens
    rate: float
    unread: float  # mean tokens not cached
    unread_sq: float  # mean square of the same
    answer: float  # mean tokens
    first_aim: float  # ms
    token_aim: float  # ms; 0: no objective
    worth: float  # value lost when late


# Per millisecond: requests, prefill tokens, their squares, answer tokens, latency objectives, held context.
Flow = tuple[float, float, float, float, float, float]


def flow(atoms: Sequence[Atom]) -> Flow:
    """The total demand of requests, per millisecond."""
    return (
        sum(a.rate for a in atoms),
        sum(a.rate * a.unread for a in atoms),
        sum(a.rate * a.unread_sq for a in atoms),
        sum(a.rate * a.answer for a in atoms),
        sum(a.rate * a.first_aim for a in atoms),
        sum(a.rate * a.answer * (a.prompt + a.answer / 2.0) for a in atoms),
    )


def mixed(own: Flow, kept_share: float, other: Flow, spilled_share: float) -> Flow:
    """The demand on a side: what stays of its own, and what spills over from the other."""
    a, b, c, d, e, f = (x * kept_share + y * spilled_share for x, y in zip(own, other, strict=True))
    return a, b, c, d, e, f


def tail(x: float) -> float:
    """Chance that a standard normal variable exceeds x."""
    return 0.5 * erfc(x / sqrt(2.0))


class Side:
    """The engines of one side under a given demand."""

    def __init__(self, engines: int, demand: Flow, rates: Rates) -> None:
        count, prefill, square, answer, objectives, held = demand
        self.wait_chance = self.mean_wait = 0.0  # chance that prefill waits, and the mean wait if so
        self.accepted = 1.0  # share of requests not refused
        self.busy = prefill * rates.read_ms / engines  # share of time
        self.read_ms = rates.read_ms
        if min(count, prefill) > MIN_RATE:
            service = prefill / count * rates.read_ms
            # Half the mean service time times 1 + its squared coefficient of variation.
            self._shape = service * square * count / prefill**2 / 2.0
            self._refuse(self.busy, objectives / count)
        free = max(
            0.02, 1.0 - PREFILL_STALL_SHARE * self.busy - rates.run_ms * answer * self.accepted / engines
        )
        self.token_ms = rates.step_ms / free
        self.square = square / engines * self.accepted * rates.read_ms**2
        self.step_ms = rates.step_ms
        # The number of streams is Poisson, as in M/G/infinity, until slots or memory run out.
        running = answer * self.accepted * self.token_ms / engines
        capacity = min(rates.slots, rates.memory * answer / held) if held > 0.0 else inf
        self.full_chance = (
            tail((capacity - running) / sqrt(running)) if running > 0.0 and capacity < inf else 0.0
        )

    def _queue(self, busy: float) -> None:
        self.busy = min(MAX_BUSY_SHARE, busy)
        self.wait_chance = self.busy
        self.mean_wait = self._shape / (1.0 - self.busy)

    def _refuse(self, offered: float, objective: float) -> None:
        self._queue(offered)
        if offered < REFUSAL_BUSY_SHARE:
            return
        low, high = 0.0, 1.0
        for _ in range(BISECTION_STEPS):
            refused = (low + high) / 2.0
            accepted = offered * (1.0 - refused)
            self._queue(accepted)
            if accepted > MAX_BUSY_SHARE or self.longer_wait_chance(objective) > refused:
                low = refused
            else:
                high = refused
        self.accepted = 1.0 - high
        self._queue(offered * self.accepted)

    def longer_wait_chance(self, longer: float) -> float:
        """Chance that prefill begins later than after this time, in ms."""
        if longer <= 0.0:
            return 1.0
        return self.wait_chance * exp(-longer / self.mean_wait) if self.mean_wait > 0.0 else 0.0

    def slow_chance(self, atom: Atom) -> float:
        """Chance that a stream's mean time per token misses its objective; prefill is compound Poisson."""
        if atom.token_aim <= 0.0 or atom.answer <= 1.0:
            return 0.0
        deviation = PREFILL_STALL_SHARE * sqrt(self.square * self.token_ms / atom.answer)
        if deviation <= 0.0:
            return float(self.token_ms > atom.token_aim)
        return tail((atom.token_aim - self.token_ms) / deviation)

    def late_chance(self, atom: Atom) -> float:
        """Chance that a request is refused, or its first token or the later ones are late."""
        own = atom.unread * self.read_ms + self.step_ms
        in_time = (1.0 - self.longer_wait_chance(atom.first_aim - own)) * (1.0 - self.slow_chance(atom))
        return 1.0 - min(in_time, self.accepted) * (1.0 - self.full_chance)


def _spill_chance(here: Side, there: Side, margin: float) -> float:
    """Chance that the wait here exceeds that there by the margin (both exponential), or that here is full."""
    wait_chance = 0.0
    if here.mean_wait > 0.0:
        ahead = there.wait_chance * there.mean_wait / (here.mean_wait + there.mean_wait)
        wait_chance = here.wait_chance * exp(-margin / here.mean_wait) * (1.0 - ahead)
    return max(wait_chance, here.full_chance * (1.0 - there.full_chance))


class Traffic:
    """The requests to a fleet, of which some belong to the prefill side and the others to the decode side."""

    def __init__(self, atoms: Sequence[Atom], is_prefill: Sequence[bool]) -> None:
        self.sides = {s: [a for a, r in zip(atoms, is_prefill, strict=True) if r is s] for s in (True, False)}
        self.flows = {side: flow(atoms) for side, atoms in self.sides.items()}
        self.worth = sum(a.rate * a.worth for a in atoms) or 1.0
        self.margins = {
            side: objectives * self.flows[side][4] / (self.flows[side][0] or 1.0)
            for side, objectives in ((True, SPILL_PREFILL), (False, SPILL_DECODE))
        }

    def unsplit(self, engines: int, rates: Rates) -> float:
        """Predicted share of request value lost where any engine takes any request."""
        all_engines = Side(engines, mixed(self.flows[True], 1.0, self.flows[False], 1.0), rates)
        return (
            sum(a.rate * a.worth * all_engines.late_chance(a) for s in self.sides.values() for a in s)
            / self.worth
        )

    def lost(self, prefill_engines: int, engines: int, rates: Rates) -> float:
        """The same with so many prefill engines, the others for decode; neither may be zero."""
        spilled = {True: 0.0, False: 0.0}

        def side(is_prefill: bool) -> Side:
            demand = mixed(
                self.flows[is_prefill],
                1.0 - spilled[is_prefill],
                self.flows[not is_prefill],
                spilled[not is_prefill],
            )
            return Side(prefill_engines if is_prefill else engines - prefill_engines, demand, rates)

        for is_prefill in (True, False, True):
            low, high = 0.0, 1.0
            for _ in range(BISECTION_STEPS):
                spilled[is_prefill] = middle = (low + high) / 2.0
                if _spill_chance(side(is_prefill), side(not is_prefill), self.margins[is_prefill]) > middle:
                    low = middle
                else:
                    high = middle
        total, by_side = 0.0, {is_prefill: side(is_prefill) for is_prefill in (True, False)}
        for is_prefill, atoms in self.sides.items():
            own, other, x = by_side[is_prefill], by_side[not is_prefill], spilled[is_prefill]
            total += sum(
                a.rate * a.worth * ((1.0 - x) * own.late_chance(a) + x * other.late_chance(a)) for a in atoms
            )
        return total / self.worth
