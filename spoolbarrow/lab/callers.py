"""Many routers that call one list service whose capacity nobody told: ways weighed, in virtual time.

The service works calls off in turn, one in 1 / RATE s (a whole list takes two such turns), and ends one that
has waited 3 s with 503. No router hears of another's calls. Pure; times in ms unless named otherwise.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from statistics import median
from typing import NamedTuple, Protocol

from spoolbarrow.fleet.pacing import Pacing
from spoolbarrow.interface import RequestClass, Settings

TIMEOUT = 3000.0
WHOLE = 2.0  # turns of the service for a whole list; changes since a known version take one
START_MS = 300.0  # processes that start together are up within this
MUST_ASK_MS = 10_000.0
RATES = (5.0, 10.0, 20.0)  # calls a second
CASES = (("start, known list", True, 0.0), ("start, no list", False, 0.0), ("back after 25 s", True, 25.0))
BASE_MS = 1000.0  # of a back-off
CLASSES = (RequestClass(aim_ms=1000.0, deadline_ms=5000.0, worth=1.0),)


class Way(Protocol):
    """One router's part; times in ms."""

    def first(self) -> float:
        """From the start to the first call."""

    def answered(self) -> None:
        """A call was answered."""

    def broke(self) -> float:
        """To the next call after a watch ended."""

    def failed(self, waited: float) -> float:
        """To the next call after one that failed."""


class Fixed:
    """A spread of the first call, then a back-off that doubles from 1 s to `most`, evenly or decorrelated."""

    def __init__(self, spread: float, rng: Random, most: float = 8000.0, decorrelated: bool = False) -> None:
        self._spread, self._rng, self._most, self._decorrelated = spread, rng, most, decorrelated
        self._last = BASE_MS

    def first(self) -> float:
        """Anywhere within the spread."""
        return self._rng.random() * self._spread

    def answered(self) -> None:
        """The back-off begins anew."""
        self._last = BASE_MS

    def broke(self) -> float:
        """As after a call that failed."""
        return self.failed(0.0)

    def failed(self, waited: float) -> float:
        """Whatever it waited."""
        if self._decorrelated:
            self._last = min(self._most, self._rng.uniform(BASE_MS / 2, 3.0 * self._last))
            return self._last
        pause = self._last * (0.5 + 0.5 * self._rng.random())
        self._last = min(self._most, 2.0 * self._last)
        return pause


def paced(nodes: int, node: int, must_ask: float, rate: float, rng: Random) -> Pacing:
    """The program's own."""
    settings = Settings(nodes=nodes, classes=CLASSES, node=node, must_ask_ms=must_ask, list_rate=rate)
    return Pacing(settings, rng)


Make = Callable[[int, int, float, Random], Way]  # routers, this one's number, true rate, chance
WAYS: dict[str, Make] = {
    "before: 40 ms a router, 3 s at most; back-off 1 to 8 s":
        lambda n, me, rate, rng: Fixed(min(3000.0, 40.0 * n), rng),
    "decorrelated jitter, 0.5 to 28 s":
        lambda n, me, rate, rng: Fixed(min(3000.0, 40.0 * n), rng, most=28_000.0, decorrelated=True),
    "a spread that suits 5 a second (15 calls in 3 s)":
        lambda n, me, rate, rng: Fixed(n * TIMEOUT / 15.0, rng),
    "a spread within the time for asking (6 s)":
        lambda n, me, rate, rng: Fixed(min(6000.0, 200.0 * n), rng),
    "places at the rate told, no time for asking": lambda n, me, rate, rng: paced(n, me, 0.0, rate, rng),
    "places at the rate told, within the time for asking":
        lambda n, me, rate, rng: paced(n, me, MUST_ASK_MS, rate, rng),
    "chosen, no rate told: as before, but twice the span after each wait in vain":
        lambda n, me, rate, rng: paced(n, me, MUST_ASK_MS, 0.0, rng),
}


class Result(NamedTuple):
    """Of one play."""

    calls: float  # for each router
    failed: float  # share of them
    queue: float  # the longest wait, over the time-out
    busiest: float  # calls in one second
    half: float  # when half of the routers had their list, over the least time that the service needs for it
    last: float  # when all had it, likewise


def play(make: Make, routers: int, rate: float, known: bool, down: float, seed: int) -> Result:
    """All start at once; where the service was then `down` s long, what counts begins with that."""
    rng = Random(seed)
    turn = (1.0 if known else WHOLE) * 1000.0 / rate
    ways = [make(routers, me, 1000.0 / turn, Random(rng.getrandbits(32))) for me in range(routers)]
    result = begin(ways, [START_MS * rng.random() + way.first() for way in ways], turn, 0.0)
    return begin(ways, [way.broke() for way in ways], turn, down * 1000.0) if down else result


def begin(ways: list[Way], first: list[float], turn: float, down: float) -> Result:
    """From the first calls, at these times, until all have the list; the service is back at `down`."""
    events = sorted((at, me) for me, at in enumerate(first))
    calls = failed = 0
    free, longest, told, seconds = 0.0, 0.0, [0.0] * len(ways), Counter[int]()
    while events:
        now, me = heappop(events)
        if now < down:
            heappush(events, (now + ways[me].failed(0.0), me))
            continue
        calls += 1
        seconds[int(now / 1000.0)] += 1
        wait = max(0.0, free - now)
        longest = max(longest, min(wait, TIMEOUT))
        if wait > TIMEOUT:
            failed += 1
            heappush(events, (now + TIMEOUT + ways[me].failed(TIMEOUT), me))
            continue
        free = max(free, now) + turn
        told[me] = free - down
        ways[me].answered()
    least = len(ways) * turn
    return Result(calls / len(ways), failed / calls, longest / TIMEOUT, max(seconds.values()),
                  median(told) / least * 2.0, max(told) / least)
