"""When a router calls the list service, so that all routers together spare it; pure, times in ms.

Routers share nothing, and mostly nobody told what the service can do. Owns what is known nevertheless: how
many routers there are, which of them this is, how its own calls fared, and how old a list may get.
"""

from __future__ import annotations

from math import inf
from random import Random

from spoolbarrow.interface import Settings

SPREAD_MS, SPREAD_MAX_MS = 40.0, 3000.0  # of calls that may begin together, for each router; at most
GOLDEN = 0.6180339887498949  # its multiples fill an interval evenly, whichever run of them is taken
RETRY_MS, RETRY_MAX_MS = 1000.0, 8000.0  # after a call that failed at once; doubled up to, in a small fleet,
DOWN_MS = 80.0  # or to so much for each router: a service that is back meets all of them within that span
LONGEST_MS = 28_000.0  # between calls, where the settings name no time for asking
WAITED_MS = 800.0  # a call that failed after so long stood in a queue: too many are calling
GROWTH = 2.0  # of the span over which the fleet's calls lie, after one that waited in vain
USED, MEAN = 0.8, 0.75  # of a rate that was told; of a span, the mean pause drawn from it
FAILED_TIMES = 4.0  # after a failed call changes count as told so many times as late as after another one
PATIENCE = 0.7  # of that time, up to the next call: it may wait as well


def spread_ms(settings: Settings) -> float:
    """Over how long the fleet's calls are spread where all may be about to call."""
    spread = _slots(settings) or min(SPREAD_MS * settings.nodes, SPREAD_MAX_MS)
    return min(spread, PATIENCE * settings.must_ask_ms or inf)


def _slots(settings: Settings) -> float:
    """So long all routers take for a call each, at the rate told; 0 where none is."""
    return 1000.0 * settings.nodes / (USED * settings.list_rate) if settings.list_rate > 0.0 else 0.0


class Pacing:
    """One router's calls: when the first is due, and the next after a watch ended or a call failed."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings  # may change
        self._rng = rng
        self._span = 0.0  # over which the fleet's calls lie, as far as this router spreads its own
        self._down = 0.0  # the same while the service is down

    def first(self) -> float:
        """From the start to the first call.

        Where the rate is told, this router's place among all that may have started with it: at a rate near
        what the service can do, chance would bunch calls. Elsewhere chance is as good, and needs no numbers.
        """
        settings, chance = self.settings, self._rng.random()
        self._span = spread_ms(settings)
        if settings.list_rate > 0.0:
            chance = (settings.node * GOLDEN + chance / max(1, settings.nodes)) % 1.0
        return chance * self._span

    def answered(self) -> None:
        """A call was answered: nothing is known against the service."""
        self._span = self._down = 0.0

    def broke(self) -> float:
        """To the next call after a watch ended: perhaps this one alone, mostly all at once."""
        self._span, self._down = max(RETRY_MS, spread_ms(self.settings)), RETRY_MS
        return self._span * self._rng.random()

    def failed(self, waited: float) -> float:
        """To the next call after one that failed after so long.

        One that waited in vain shows that the fleet calls too often: its calls are spread over a longer span,
        and nobody has the list later for that, since the service is not idle meanwhile. One that failed at
        once shows a service that is down: it spends nothing on calls, but meets all routers when it is back.
        """
        settings = self.settings
        if waited >= WAITED_MS:
            span = self._span = GROWTH * max(self._span, self._down, RETRY_MS)
        else:
            most = max(RETRY_MAX_MS, DOWN_MS * settings.nodes)
            span = self._down = min(most, max(RETRY_MS, 2.0 * self._down))
        slots = _slots(settings) / MEAN
        longest = max(RETRY_MAX_MS, PATIENCE * FAILED_TIMES * settings.must_ask_ms or max(LONGEST_MS, slots))
        self._span = min(longest, self._span)
        return min(longest, max(span, slots)) * (0.5 + 0.5 * self._rng.random())
