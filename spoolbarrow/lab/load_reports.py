"""Load reports of an engine: refreshed periodically, delivered with a delay, with some noise."""

from __future__ import annotations

from math import floor
from random import Random
from typing import NamedTuple

from spoolbarrow.lab.kinds import EngineParameters


class EngineLoad(NamedTuple):
    """The load that an engine reports."""

    unread_tokens: float
    memory_share: float
    busy_share: float
    queued: float


IDLE = EngineLoad(0.0, 0.0, 0.0, 0.0)


class LoadReporter:
    """Gives probes the state as of the last refresh that is older than the report delay."""

    __slots__ = ("every", "delay", "noise", "rng", "phase", "state", "boundary", "told")

    def __init__(self, figures: EngineParameters, rng: Random) -> None:
        self.every = max(1.0, figures.report_every_ms)
        self.delay, self.noise, self.rng = figures.report_delay_ms, figures.report_noise, rng
        self.phase = rng.random() * self.every
        self.state = IDLE  # the current state
        self.boundary = 0.0  # time of the last refresh that was recorded
        self.told: list[tuple[float, EngineLoad]] = [
            (0.0, IDLE)
        ]  # refreshes; the first is the one reported now

    def note(self, now: float, state: EngineLoad) -> None:
        """Record that the engine's state changes now; until now the previously recorded state held."""
        self._refresh(now)
        self.state = state

    def read(self, now: float) -> EngineLoad:
        """The report that a probe gets at `now`."""
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
            state = EngineLoad(state.unread_tokens * factor, memory, state.busy_share, state.queued)
        while len(self.told) > 1 and self.told[1][0] + self.delay <= now:
            del self.told[0]
        if len(self.told) >= 64:
            del self.told[1]  # no probes come: the refreshes in between are not needed
        self.told.append((last, state))
