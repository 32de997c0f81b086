"""When a router calls the list service, so that all routers together spare it; pure, times in ms.

Routers share nothing, and mostly nobody told what the service can do. Owns what is known nevertheless: how
many routers there are, which of them this is, how its own calls fared, and how old a list may get.
"""

from __future__ import annotations

from math import inf
from random import Random

from spoolbarrow.interface import Settings

LIST_DEADLINE_MS = 6000.0  # a change counts as told so long after the service had it and could be reached
SILENT_SPREAD_MS = 250.0  # before a silent watch is opened anew: all may have fallen silent at once
MUTE_RETRY_MAX_MS = (
    1000.0  # the longest pause after answers that began and never brought a word, one after the other
)
SPREAD_PER_ROUTER_MS, SPREAD_MAX_MS = (
    40.0,
    3000.0,
)  # of calls that may begin together, for each router; at most
GOLDEN_RATIO = 0.6180339887498949  # its multiples fill an interval evenly, whichever run of them is taken
RETRY_MS, RETRY_MAX_MS = 1000.0, 2000.0  # after a call that failed: doubled up to where each failed at once
HUNG_RETRY_MS = (
    2000.0  # between calls while none has an answer: in a queue that fits the clock most have by then
)
FULL_RETRY_MS = 3400.0  # the same where a call has been refused after a wait: it has ended by then
QUEUED_CALL_MS = 800.0  # a call that failed after so long stood in a queue, or hung
STALE_LIST_RETRY_MS, STALE_LIST_SPREAD_MS = (
    1500.0,
    2000.0,
)  # from an older list to the call for the whole one; and chance
RATE_USED_SHARE, MEAN_PAUSE_SHARE = (
    0.8,
    0.75,
)  # of a rate that was told; of a span, the mean pause drawn from it
FIRST_CALL_SHARE = (
    0.7  # of the time for asking that the settings name, up to the first call: it may wait as well
)


def call_spread_ms(settings: Settings) -> float:
    """Over how long the fleet's calls are spread where all may be about to call."""
    spread = _turns(settings) or SPREAD_PER_ROUTER_MS * settings.nodes
    if not _spared(settings):
        spread = min(spread, SPREAD_MAX_MS)
    return min(spread, FIRST_CALL_SHARE * settings.must_ask_ms or inf)


def _turns(settings: Settings) -> float:
    """So long all routers take for a call each, at the rate told; 0 where none is."""
    return (
        1000.0 * settings.nodes / (RATE_USED_SHARE * settings.list_rate) if settings.list_rate > 0.0 else 0.0
    )


def _spared(settings: Settings) -> bool:
    """Whether the rate goes before the clock: it is told, and no change counts as told to who did not ask."""
    return settings.list_rate > 0.0 and settings.must_ask_ms <= 0.0


def hung_retry_ms(settings: Settings, rng: Random, full: bool) -> float:
    """From one call to the next while no answer has begun; the first is left open.

    `full`: the call before waited and was refused, so the service does not hang but has too many callers: no
    call beside another then, for its turn may be worked off for nothing.
    """
    pause = FULL_RETRY_MS if full else HUNG_RETRY_MS * (0.875 + 0.25 * rng.random())
    return max(pause, _turns(settings)) if _spared(settings) else pause


def silent_retry_ms(mute: int, rng: Random) -> float:
    """From a watch that fell silent to the next call; `mute`: so many in a row never said a word."""
    return min(MUTE_RETRY_MAX_MS, SILENT_SPREAD_MS * 2.0 ** min(max(0, mute - 1), 8)) * rng.random()


def stale_list_retry_ms(settings: Settings, rng: Random) -> float:
    """From a list that was refused as older than the known one to the call for a whole list.

    Newer news may come meanwhile, and then none is called for. All routers may have refused it at once.
    """
    spread = call_spread_ms(settings)
    if not _spared(settings):
        spread = min(spread, STALE_LIST_SPREAD_MS)
    return STALE_LIST_RETRY_MS + spread * rng.random()


class Pacing:
    """One router's calls: when the first is due, and the next after a watch ended or a call failed."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings  # may change
        self._rng = rng
        self._down = 0.0  # over which the fleet's calls lie while each fails at once

    def first_call_ms(self) -> float:
        """From the start to the first call.

        Where the rate is told, this router's place among all that may have started with it: at a rate near
        what the service can do, chance would bunch calls. Elsewhere chance is as good, and needs no numbers.
        """
        settings, chance = self.settings, self._rng.random()
        if settings.list_rate > 0.0:
            chance = (settings.node * GOLDEN_RATIO + chance / max(1, settings.nodes)) % 1.0
        return chance * call_spread_ms(settings)

    def call_answered(self) -> None:
        """A call was answered: nothing is known against the service."""
        self._down = 0.0

    def watch_ended_ms(self) -> float:
        """To the next call after a watch ended: perhaps this one alone, mostly all at once."""
        self._down = RETRY_MS
        return max(RETRY_MS, call_spread_ms(self.settings)) * self._rng.random()

    def call_failed_ms(self, waited: float) -> float:
        """To the next call after one that failed after so long.

        A service that is back, or has room again, has to be called within the clock, whatever it did before:
        so the pause stays short. A service that is down spends nothing on calls, and one whose queue is full
        little on those that it refuses.
        """
        self._down = (
            RETRY_MS if waited >= QUEUED_CALL_MS else min(RETRY_MAX_MS, max(RETRY_MS, 2.0 * self._down))
        )
        slots = _turns(self.settings) / MEAN_PAUSE_SHARE if _spared(self.settings) else 0.0
        return max(self._down, slots) * (0.5 + 0.5 * self._rng.random())
