"""Compares pacing strategies of many routers that call one list service of unknown capacity, in virtual time.

The service processes calls in order, one per 1 / RATE s (a whole list takes two such slots), and answers 503
to a call that has waited 3 s. Routers do not know of each other's calls. No I/O; times are in ms unless
named otherwise.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from heapq import heapify, heappop, heappush
from math import inf
from random import Random
from statistics import median
from typing import Literal, NamedTuple, Protocol, get_args

from spoolbarrow.config import Options
from spoolbarrow.fleet.pacing import QUEUED_CALL_MS, Pacing, hung_retry_ms, silent_retry_ms
from spoolbarrow.interface import RequestClass, Settings

TIMEOUT_MS = 3000.0
WHOLE_LIST_SLOTS = 2.0  # service slots for a whole list; changes since a known version take one
START_MS = 300.0  # processes that start together are up within this time
MUST_ASK_MS = 10_000.0
RATES_PER_S = (5.0, 10.0, 20.0)  # calls a second
CASES = (("start, known list", True, 0.0), ("start, no list", False, 0.0), ("back after 25 s", True, 25.0))
MAX_OPEN_CALLS = 2  # open at once per router, as in `net/discovery_client.py`
BASE_BACKOFF_MS = 1000.0  # of a backoff
CLASSES = (RequestClass(aim_ms=1000.0, deadline_ms=5000.0, worth=1.0),)


class PacingStrategy(Protocol):
    """When one router calls the service; times in ms."""

    def first_call_ms(self) -> float:
        """Delay from the start to the first call."""

    def call_answered(self) -> None:
        """Record that a call was answered."""

    def watch_ended_ms(self) -> float:
        """Delay to the next call after a watch has ended."""

    def call_failed_ms(self, waited: float) -> float:
        """Delay to the next call after a failed one."""

    def hangs(self, full: bool) -> float:
        """Delay to another call while one is open; `full`: the previous one was rejected after a wait."""


class FixedBackoff:
    """Spreads first calls, then backs off by doubling from 1 s up to `most`, evenly or decorrelated."""

    def __init__(self, spread: float, rng: Random, most: float = 8000.0, decorrelated: bool = False) -> None:
        self._spread, self._rng, self._most, self._decorrelated = spread, rng, most, decorrelated
        self._last = BASE_BACKOFF_MS

    def first_call_ms(self) -> float:
        """A random delay within the spread."""
        return self._rng.random() * self._spread

    def call_answered(self) -> None:
        """Reset the backoff."""
        self._last = BASE_BACKOFF_MS

    def watch_ended_ms(self) -> float:
        """The delay after a failed call."""
        return self.call_failed_ms(0.0)

    def call_failed_ms(self, waited: float) -> float:
        """The backoff, independent of how long the call waited."""
        if self._decorrelated:
            self._last = min(self._most, self._rng.uniform(BASE_BACKOFF_MS / 2, 3.0 * self._last))
            return self._last
        pause = self._last * (0.5 + 0.5 * self._rng.random())
        self._last = min(self._most, 2.0 * self._last)
        return pause

    def hangs(self, full: bool) -> float:
        """Never: calls do not overlap."""
        return inf


class ProgramPacing(Pacing):
    """The strategy that the router uses."""

    def hangs(self, full: bool) -> float:
        """The delay that the router's watch uses."""
        return hung_retry_ms(self.settings, self._rng, full)


def paced(nodes: int, node: int, must_ask: float, rate: float, rng: Random) -> ProgramPacing:
    """The router's own strategy with these settings."""
    settings = Settings(nodes=nodes, classes=CLASSES, node=node, must_ask_ms=must_ask, list_rate=rate)
    return ProgramPacing(settings, rng)


# number of routers, index of this one, true rate, random numbers
Make = Callable[[int, int, float, Random], PacingStrategy]
STRATEGIES: dict[str, Make] = {
    "before: 40 ms a router, 3 s at most; backoff 1 to 8 s": lambda n, me, rate, rng: FixedBackoff(
        min(3000.0, 40.0 * n), rng
    ),
    "decorrelated jitter, 0.5 to 28 s": lambda n, me, rate, rng: FixedBackoff(
        min(3000.0, 40.0 * n), rng, most=28_000.0, decorrelated=True
    ),
    "a spread that suits 5 a second (15 calls in 3 s)": lambda n, me, rate, rng: FixedBackoff(
        n * TIMEOUT_MS / 15.0, rng
    ),
    "a spread within the time for asking (6 s)": lambda n, me, rate, rng: FixedBackoff(
        min(6000.0, 200.0 * n), rng
    ),
    "places at the rate told, no time for asking": lambda n, me, rate, rng: paced(n, me, 0.0, rate, rng),
    "chosen, the rate told: within the clock": lambda n, me, rate, rng: paced(n, me, MUST_ASK_MS, rate, rng),
    "chosen, no rate told: within the clock": lambda n, me, rate, rng: paced(n, me, MUST_ASK_MS, 0.0, rng),
}


class Result(NamedTuple):
    """Figures of one simulation."""

    calls: float  # per router
    failed: float  # share of calls
    queue: float  # longest wait, as a multiple of the timeout
    busiest: float  # most calls in one second
    half: (
        float  # when half of the routers had their list, over the minimum time that the service needs for it
    )
    last: float  # when all routers had it, likewise


def simulate(make: Make, routers: int, rate: float, known: bool, down: float, seed: int) -> Result:
    """Start all routers at once; with an outage of `down` s afterwards, only what follows is counted."""
    rng = Random(seed)
    slot_ms = (1.0 if known else WHOLE_LIST_SLOTS) * 1000.0 / rate
    strategies = [
        make(routers, router, 1000.0 / slot_ms, Random(rng.getrandbits(32))) for router in range(routers)
    ]
    simulation = CallSimulation(strategies, slot_ms, rng)
    simulation.run([START_MS * rng.random() + strategy.first_call_ms() for strategy in strategies])
    if down:
        simulation = CallSimulation(strategies, slot_ms, rng, down * 1000.0, "refuses")
        simulation.run([strategy.watch_ended_ms() for strategy in strategies])
    least_ms, waits = routers * slot_ms, simulation.notified_after_ms
    return Result(
        simulation.calls / routers,
        simulation.failed / simulation.calls,
        simulation.longest / TIMEOUT_MS,
        max(simulation.seconds.values()),
        median(waits) / least_ms * 2.0,
        max(waits) / least_ms,
    )


Fault = Literal["refuses", "hangs", "half"]  # calls fail at once; never get an answer; get half an answer
StartCondition = Literal["starts", "reset", "silent", "silent at once", Fault]
START_CONDITIONS: tuple[StartCondition, ...] = (*get_args(StartCondition)[:4], *get_args(Fault))
DOWN_MS = 20_000.0  # outage of the service
KEEPALIVE_MS = 2000.0  # between messages of a watch


def simulate_notifications(beginning: StartCondition, routers: int, rate: float, seed: int) -> CallSimulation:
    """Measure how long after the service became reachable each router is notified: `notified_after_ms`.

    All routers start; or all watches are reset, or become idle while new calls are answered (at once: the
    last messages of all came at the same time); or the service is back after it refused calls, hung or sent
    half answers.
    """
    rng, options = Random(seed), Options()
    strategies = [
        paced(routers, router, MUST_ASK_MS, 0.0, Random(rng.getrandbits(32))) for router in range(routers)
    ]
    if beginning in get_args(Fault):
        simulation = CallSimulation(strategies, 1000.0 / rate, rng, DOWN_MS, beginning)  # type: ignore[arg-type]
        simulation.run([strategy.watch_ended_ms() for strategy in strategies])
        return simulation
    first = []
    for strategy in strategies:
        last = 0.0 if beginning == "silent at once" else -KEEPALIVE_MS * rng.random()
        silent = last + options.watch_silence_ms + silent_retry_ms(0, rng)
        first.append(
            {"starts": strategy.first_call_ms, "reset": strategy.watch_ended_ms}.get(
                beginning, lambda silent=silent: silent
            )()
        )
    simulation = CallSimulation(strategies, 1000.0 / rate, rng)
    simulation.run(first)
    return simulation


class _RouterCalls:
    """Open calls of one router, and which pending events are still valid."""

    def __init__(self) -> None:
        self.open, self.since, self.due, self.mute = 0, 0.0, 0.0, 0
        self.headed = self.full = False  # a response has begun; a call was rejected after a wait
        self.round = 0  # increases when a call is answered or no call is open any more


class CallSimulation:
    """Simulates calls of many routers, each until it has the list; the service is back at `down`."""

    def __init__(
        self,
        ways: Sequence[PacingStrategy],
        turn: float,
        rng: Random,
        down: float = 0.0,
        fault: Fault = "refuses",
    ) -> None:
        self._strategies, self._slot_ms, self._rng, self._back_at_ms, self._fault = (
            ways,
            turn,
            rng,
            down,
            fault,
        )
        self._options = Options()
        self._routers = [_RouterCalls() for _ in ways]
        self._free = 0.0  # when the service will be idle
        self._events: list[tuple[float, int, int, str]] = []  # time, router, round, kind
        self.calls = self.failed = 0  # since the service has been back
        self.longest = 0.0  # longest wait, ms
        self.seconds = Counter[int]()
        self.notified_after_ms = [inf] * len(ways)  # by router; since the service has been back

    def run(self, first: list[float]) -> None:
        """Run until all routers have the list; `first`: times of their first calls."""
        self._events = [(at, router, 0, "due") for router, at in enumerate(first)]
        heapify(self._events)
        while self._events:
            now, router, round_number, kind = heappop(self._events)
            calls = self._routers[router]
            if self.notified_after_ms[router] < inf or round_number != calls.round:
                continue
            if kind == "due":
                self._due(now, router)
            elif kind == "answered":
                self.notified_after_ms[router] = now - self._back_at_ms
                self._strategies[router].call_answered()
            else:
                self._ended(now, router, kind)

    def _schedule(self, at: float, router: int, kind: str) -> None:
        heappush(self._events, (at, router, self._routers[router].round, kind))

    def _due(self, now: float, router: int) -> None:
        calls = self._routers[router]
        if calls.open >= MAX_OPEN_CALLS or calls.headed or now < calls.due:
            return
        calls.since = now if not calls.open else calls.since
        calls.open += 1
        calls.due = now + self._strategies[router].hangs(calls.full)
        if calls.due < inf:
            self._schedule(calls.due, router, "due")
        limit = self._options.call_timeout_ms
        if now < self._back_at_ms:
            if self._fault == "half":
                calls.headed = True
            delay = {"refuses": 0.0, "hangs": limit, "half": self._options.watch_silence_ms}[self._fault]
            return self._schedule(now + delay, router, "failed" if self._fault == "refuses" else "silent")
        self.calls += 1
        self.seconds[int(now / 1000.0)] += 1
        wait = max(0.0, self._free - now)
        self.longest = max(self.longest, min(wait, TIMEOUT_MS))
        if wait > TIMEOUT_MS:
            self.failed += 1
            return self._schedule(now + TIMEOUT_MS, router, "failed")
        self._free = max(self._free, now) + self._slot_ms
        # Answered at the end of its slot, although a router gives up a call that takes over 0.2 s after 3 s.
        self._schedule(self._free, router, "answered")

    def _ended(self, now: float, router: int, reason: str) -> None:
        calls = self._routers[router]
        calls.open -= 1
        calls.headed, calls.full = False, reason != "silent" and now - calls.since >= QUEUED_CALL_MS
        if calls.open:
            return self._due(now, router)
        calls.round += 1  # cancels pending overlapping calls
        calls.due = 0.0
        if reason == "silent":
            calls.mute += 1
            pause = silent_retry_ms(calls.mute, self._rng)
        else:
            pause = self._strategies[router].call_failed_ms(now - calls.since)
        self._schedule(now + pause, router, "due")
