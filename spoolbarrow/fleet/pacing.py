"""Decides when a router calls the list service, so that all routers together do not overload it.

Routers do not coordinate, and the capacity of the service is usually unknown. The pauses follow from what is
known: the number of routers and which of them this is, how this router's calls fared, and how old a list may
get. This module does no I/O; times are in ms.
"""

from __future__ import annotations

from math import inf
from random import Random

from spoolbarrow.interface import Settings

LIST_DEADLINE_MS = 6000.0  # a change counts as known this long after the reachable service had it
SILENT_SPREAD_MS = 250.0  # before a silent watch is reopened: all watches may have fallen silent at once
MUTE_RETRY_MAX_MS = 1000.0  # longest pause after consecutive watches that opened but brought no message
# Per router, and at most: time over which calls that may start together are spread.
SPREAD_PER_ROUTER_MS, SPREAD_MAX_MS = 40.0, 3000.0
GOLDEN_RATIO = 0.6180339887498949  # any run of consecutive multiples of it fills an interval evenly
# After a failed call: doubled, up to the maximum, while each call fails at once.
RETRY_MS, RETRY_MAX_MS = 1000.0, 2000.0
# Between calls while none is answered: a queue short enough for the deadline has answered most calls by then.
HUNG_RETRY_MS = 2000.0
FULL_RETRY_MS = 3400.0  # the same after a call that was refused after a wait: the open call has ended by then
QUEUED_CALL_MS = 800.0  # a call that took this long to fail was queued, or hung
# From a list that is older than the known one to the call for a whole list: least pause, and random addition.
STALE_LIST_RETRY_MS, STALE_LIST_SPREAD_MS = 1500.0, 2000.0
RATE_USED_SHARE, MEAN_PAUSE_SHARE = 0.8, 0.75  # of a configured rate; of a span, the mean pause drawn from it
FIRST_CALL_SHARE = 0.7  # of must_ask_ms, up to the first call: that call may have to wait, too


def call_spread_ms(settings: Settings) -> float:
    """Time over which the calls of all routers are spread when all may be about to call."""
    spread_ms = _fleet_turn_ms(settings) or SPREAD_PER_ROUTER_MS * settings.nodes
    if not _rate_takes_precedence(settings):
        spread_ms = min(spread_ms, SPREAD_MAX_MS)
    return min(spread_ms, FIRST_CALL_SHARE * settings.must_ask_ms or inf)


def _fleet_turn_ms(settings: Settings) -> float:
    """Time in which all routers can make one call each at the configured rate; 0 without one."""
    return (
        1000.0 * settings.nodes / (RATE_USED_SHARE * settings.list_rate) if settings.list_rate > 0.0 else 0.0
    )


def _rate_takes_precedence(settings: Settings) -> bool:
    """Whether the rate takes precedence over the deadline: it is configured, and must_ask_ms is not."""
    return settings.list_rate > 0.0 and settings.must_ask_ms <= 0.0


def hung_retry_ms(settings: Settings, rng: Random, full: bool) -> float:
    """Pause from one call to the next while no answer has started; the first call stays open.

    `full`: the previous call was refused after a wait, so the service does not hang but has too many
    callers. Then no call is made beside an open one, since the service might process it for nothing.
    """
    pause_ms = FULL_RETRY_MS if full else HUNG_RETRY_MS * (0.875 + 0.25 * rng.random())
    return max(pause_ms, _fleet_turn_ms(settings)) if _rate_takes_precedence(settings) else pause_ms


def silent_retry_ms(mute: int, rng: Random) -> float:
    """Pause from a silent watch to the next call; `mute`: consecutive watches without any message."""
    return min(MUTE_RETRY_MAX_MS, SILENT_SPREAD_MS * 2.0 ** min(max(0, mute - 1), 8)) * rng.random()


def stale_list_retry_ms(settings: Settings, rng: Random) -> float:
    """Pause from the refusal of a list that is older than the known one to the call for a whole list.

    There is no call if a newer list arrives meanwhile. All routers may have refused the list at once.
    """
    spread_ms = call_spread_ms(settings)
    if not _rate_takes_precedence(settings):
        spread_ms = min(spread_ms, STALE_LIST_SPREAD_MS)
    return STALE_LIST_RETRY_MS + spread_ms * rng.random()


class Pacing:
    """Pauses of one router: before its first call, and after a watch ended or a call failed."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings  # replaced on reload
        self._rng = rng
        self._backoff_ms = 0.0  # time over which the calls of all routers are spread while each fails at once

    def first_call_ms(self) -> float:
        """Pause from the start to the first call.

        With a configured rate, it follows from this router's number among those that may have started
        together: at a rate near the service's capacity, random times would bunch calls. Without one, random
        times are as good, and need no numbers.
        """
        settings, position = self.settings, self._rng.random()
        if settings.list_rate > 0.0:
            position = (settings.node * GOLDEN_RATIO + position / max(1, settings.nodes)) % 1.0
        return position * call_spread_ms(settings)

    def call_answered(self) -> None:
        """Reset the backoff after an answered call."""
        self._backoff_ms = 0.0

    def watch_ended_ms(self) -> float:
        """Pause to the next call after a watch ended: usually the watches of all routers end at once."""
        self._backoff_ms = RETRY_MS
        return max(RETRY_MS, call_spread_ms(self.settings)) * self._rng.random()

    def call_failed_ms(self, waited: float) -> float:
        """Pause to the next call after one that failed after this wait.

        A service that has recovered must be called within the deadline, so the pause stays short whatever
        happened before. A service that is down spends nothing on calls, and one whose queue is full spends
        little on those that it refuses.
        """
        self._backoff_ms = (
            RETRY_MS if waited >= QUEUED_CALL_MS else min(RETRY_MAX_MS, max(RETRY_MS, 2.0 * self._backoff_ms))
        )
        turn_ms = (
            _fleet_turn_ms(self.settings) / MEAN_PAUSE_SHARE if _rate_takes_precedence(self.settings) else 0.0
        )
        return max(self._backoff_ms, turn_ms) * (0.5 + 0.5 * self._rng.random())
