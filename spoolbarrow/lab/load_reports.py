"""Load reports of an engine: refreshed now and then, told late, a little noisy."""

from __future__ import annotations

from math import floor
from random import Random
from typing import NamedTuple

from spoolbarrow.lab.kinds import EngineParameters


class Load(NamedTuple):
    """What an engine tells of itself."""

    unread_tokens: float
    memory_share: float
    busy_share: float
    queued: float


IDLE = Load(0.0, 0.0, 0.0, 0.0)


class Reports:
    """What a probe hears: the state as it was at the last refresh that has had time to arrive."""

    __slots__ = ("every", "delay", "noise", "rng", "phase", "state", "boundary", "told")

    def __init__(self, figures: EngineParameters, rng: Random) -> None:
        self.every = max(1.0, figures.report_every_ms)
        self.delay, self.noise, self.rng = figures.report_delay_ms, figures.report_noise, rng
        self.phase = rng.random() * self.every
        self.state = IDLE  # as it is now
        self.boundary = 0.0  # the last refresh taken account of
        self.told: list[tuple[float, Load]] = [(0.0, IDLE)]  # refreshes, the one to be told first

    def note(self, now: float, state: Load) -> None:
        """The engine's state changes now; until now it was what was noted before."""
        self._refresh(now)
        self.state = state

    def read(self, now: float) -> Load:
        """The report that a probe gets now."""
        self._refresh(now)
        while len(self.told) > 1 and self.told[1][0] + self.delay <= now:
            del self.told[0]
        return self.told[0][1]

    def _refresh(self, now: float) -> None:
        last = floor((now - self.phase) / self.every) * self.every + self.phase
        if last <= self.boundary:
            return
        self.boundary = last
        state = self.state
        if self.noise > 0.0 and state != IDLE:
            factor = max(0.0, 1.0 + self.noise * self.rng.gauss(0.0, 1.0))
            memory = min(1.0, state.memory_share * max(0.0, 1.0 + self.noise * self.rng.gauss(0.0, 1.0)))
            state = Load(state.unread_tokens * factor, memory, state.busy_share, state.queued)
        while len(self.told) > 1 and self.told[1][0] + self.delay <= now:
            del self.told[0]
        if len(self.told) >= 64:
            del self.told[1]  # nobody asks: what lies between need not be known
        self.told.append((last, state))
