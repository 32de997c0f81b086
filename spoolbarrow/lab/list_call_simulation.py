"""Many routers that call one list service whose capacity nobody told: ways weighed, in virtual time.

The service works calls off in turn, one in 1 / RATE s (a whole list takes two such turns), and ends one that
has waited 3 s with 503. No router hears of another's calls. Pure; times in ms unless named otherwise.
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
WHOLE = 2.0  # turns of the service for a whole list; changes since a known version take one
START_MS = 300.0  # processes that start together are up within this
MUST_ASK_MS = 10_000.0
RATES_PER_S = (5.0, 10.0, 20.0)  # calls a second
CASES = (("start, known list", True, 0.0), ("start, no list", False, 0.0), ("back after 25 s", True, 25.0))
MOST_CALLS = 2  # of one router open at once, as of `net/discovery_client.py`
BASE_MS = 1000.0  # of a back-off
CLASSES = (RequestClass(aim_ms=1000.0, deadline_ms=5000.0, worth=1.0),)


class PacingStrategy(Protocol):
    """One router's part; times in ms."""

    def first_call_ms(self) -> float:
        """From the start to the first call."""

    def call_answered(self) -> None:
        """A call was answered."""

    def watch_ended_ms(self) -> float:
        """To the next call after a watch ended."""

    def call_failed_ms(self, waited: float) -> float:
        """To the next call after one that failed."""

    def hangs(self, full: bool) -> float:
        """To the next call while one has no answer; `full`: the one before was refused after a wait."""


class FixedBackoff:
    """A spread of the first call, then a back-off that doubles from 1 s to `most`, evenly or decorrelated."""

    def __init__(self, spread: float, rng: Random, most: float = 8000.0, decorrelated: bool = False) -> None:
        self._spread, self._rng, self._most, self._decorrelated = spread, rng, most, decorrelated
        self._last = BASE_MS

    def first_call_ms(self) -> float:
        """Anywhere within the spread."""
        return self._rng.random() * self._spread

    def call_answered(self) -> None:
        """The back-off begins anew."""
        self._last = BASE_MS

    def watch_ended_ms(self) -> float:
        """As after a call that failed."""
        return self.call_failed_ms(0.0)

    def call_failed_ms(self, waited: float) -> float:
        """Whatever it waited."""
        if self._decorrelated:
            self._last = min(self._most, self._rng.uniform(BASE_MS / 2, 3.0 * self._last))
            return self._last
        pause = self._last * (0.5 + 0.5 * self._rng.random())
        self._last = min(self._most, 2.0 * self._last)
        return pause

    def hangs(self, full: bool) -> float:
        """No call beside another."""
        return inf


class ProgramPacing(Pacing):
    """The program's own."""

    def hangs(self, full: bool) -> float:
        """As its watch does."""
        return hung_retry_ms(self.settings, self._rng, full)


def paced(nodes: int, node: int, must_ask: float, rate: float, rng: Random) -> ProgramPacing:
    """The program's own, of a router that was told so much."""
    settings = Settings(nodes=nodes, classes=CLASSES, node=node, must_ask_ms=must_ask, list_rate=rate)
    return ProgramPacing(settings, rng)


Make = Callable[[int, int, float, Random], PacingStrategy]  # routers, this one's number, true rate, chance
STRATEGIES: dict[str, Make] = {
    "before: 40 ms a router, 3 s at most; back-off 1 to 8 s": lambda n, me, rate, rng: FixedBackoff(
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
    """Of one play."""

    calls: float  # for each router
    failed: float  # share of them
    queue: float  # the longest wait, over the time-out
    busiest: float  # calls in one second
    half: float  # when half of the routers had their list, over the least time that the service needs for it
    last: float  # when all had it, likewise


def simulate(make: Make, routers: int, rate: float, known: bool, down: float, seed: int) -> Result:
    """All start at once; where the service was then `down` s long, what counts begins with that."""
    rng = Random(seed)
    turn = (1.0 if known else WHOLE) * 1000.0 / rate
    ways = [make(routers, me, 1000.0 / turn, Random(rng.getrandbits(32))) for me in range(routers)]
    found = CallSimulation(ways, turn, rng)
    found.run([START_MS * rng.random() + way.first_call_ms() for way in ways])
    if down:
        found = CallSimulation(ways, turn, rng, down * 1000.0, "refuses")
        found.run([way.watch_ended_ms() for way in ways])
    least, waits = routers * turn, found.notified_after_ms
    return Result(
        found.calls / routers,
        found.failed / found.calls,
        found.longest / TIMEOUT_MS,
        max(found.seconds.values()),
        median(waits) / least * 2.0,
        max(waits) / least,
    )


Fault = Literal["refuses", "hangs", "half"]  # calls fail at once; get no answer, ever; half an answer
StartCondition = Literal["starts", "reset", "silent", "silent at once", Fault]
START_CONDITIONS: tuple[StartCondition, ...] = (*get_args(StartCondition)[:4], *get_args(Fault))
DOWN_MS = 20_000.0  # before the service is back
KEEPALIVE_MS = 2000.0  # between the words of a watch


def simulate_notifications(beginning: StartCondition, routers: int, rate: float, seed: int) -> CallSimulation:
    """How long after the service could be reached each router hears of what changed: `notified_after_ms`.

    All start; or all watches are reset, or fall silent while new calls are answered (at once: their last
    words came in one instant); or the service is back after it refused, hung or answered half.
    """
    rng, options = Random(seed), Options()
    ways = [paced(routers, me, MUST_ASK_MS, 0.0, Random(rng.getrandbits(32))) for me in range(routers)]
    if beginning in get_args(Fault):
        found = CallSimulation(ways, 1000.0 / rate, rng, DOWN_MS, beginning)  # type: ignore[arg-type]
        found.run([way.watch_ended_ms() for way in ways])
        return found
    first = []
    for way in ways:
        last = 0.0 if beginning == "silent at once" else -KEEPALIVE_MS * rng.random()
        silent = last + options.watch_silence_ms + silent_retry_ms(0, rng)
        first.append(
            {"starts": way.first_call_ms, "reset": way.watch_ended_ms}.get(
                beginning, lambda silent=silent: silent
            )()
        )
    found = CallSimulation(ways, 1000.0 / rate, rng)
    found.run(first)
    return found


class _Asker:
    """One router's calls: those open, and which of the events to come still hold."""

    def __init__(self) -> None:
        self.open, self.since, self.due, self.mute = 0, 0.0, 0.0, 0
        self.headed = self.full = False  # an answer has begun; a call was refused after a wait
        self.round = 0  # calls begun together with one that was answered, or until none was open


class CallSimulation:
    """Calls of many routers, each from its first until it has the list; the service is back at `down`."""

    def __init__(
        self,
        ways: Sequence[PacingStrategy],
        turn: float,
        rng: Random,
        down: float = 0.0,
        fault: Fault = "refuses",
    ) -> None:
        self._ways, self._turn, self._rng, self._down, self._fault = ways, turn, rng, down, fault
        self._options = Options()
        self._askers = [_Asker() for _ in ways]
        self._free = 0.0  # when the service has worked off what it has
        self._events: list[tuple[float, int, int, str]] = []  # when, whose, of which round, what
        self.calls = self.failed = 0  # since the service was back
        self.longest = 0.0  # wait, ms
        self.seconds = Counter[int]()
        self.notified_after_ms = [inf] * len(ways)  # after the service was back, ms

    def run(self, first: list[float]) -> None:
        """Until all have the list; `first`: when each calls first."""
        self._events = [(at, me, 0, "due") for me, at in enumerate(first)]
        heapify(self._events)
        while self._events:
            now, me, number, what = heappop(self._events)
            one = self._askers[me]
            if self.notified_after_ms[me] < inf or number != one.round:
                continue
            if what == "due":
                self._due(now, me)
            elif what == "answered":
                self.notified_after_ms[me] = now - self._down
                self._ways[me].call_answered()
            else:
                self._ended(now, me, what)

    def _push(self, at: float, me: int, what: str) -> None:
        heappush(self._events, (at, me, self._askers[me].round, what))

    def _due(self, now: float, me: int) -> None:
        one = self._askers[me]
        if one.open >= MOST_CALLS or one.headed or now < one.due:
            return
        one.since = now if not one.open else one.since
        one.open += 1
        one.due = now + self._ways[me].hangs(one.full)
        if one.due < inf:
            self._push(one.due, me, "due")
        limit = self._options.call_timeout_ms
        if now < self._down:
            if self._fault == "half":
                one.headed = True
            after = {"refuses": 0.0, "hangs": limit, "half": self._options.watch_silence_ms}[self._fault]
            return self._push(now + after, me, "failed" if self._fault == "refuses" else "silent")
        self.calls += 1
        self.seconds[int(now / 1000.0)] += 1
        wait = max(0.0, self._free - now)
        self.longest = max(self.longest, min(wait, TIMEOUT_MS))
        if wait > TIMEOUT_MS:
            self.failed += 1
            return self._push(now + TIMEOUT_MS, me, "failed")
        self._free = max(self._free, now) + self._turn
        # Answered at the end of its turn, though the program gives up one that takes over 0.2 s after 3 s.
        self._push(self._free, me, "answered")

    def _ended(self, now: float, me: int, why: str) -> None:
        one = self._askers[me]
        one.open -= 1
        one.headed, one.full = False, why != "silent" and now - one.since >= QUEUED_CALL_MS
        if one.open:
            return self._due(now, me)
        one.round += 1  # what was due beside it is not
        one.due = 0.0
        if why == "silent":
            one.mute += 1
            pause = silent_retry_ms(one.mute, self._rng)
        else:
            pause = self._ways[me].call_failed_ms(now - one.since)
        self._push(now + pause, me, "due")
