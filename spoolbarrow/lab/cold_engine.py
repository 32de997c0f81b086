"""A cold engine as a stand-in: its capacity ramps up, it works in turn, and overfilled it falls. Pure.

Work is counted in requests of mean work, times in ms. It falls by rule 4: within `tip_after_ms` it takes
`N + 2 * sqrt(N) + 2` at most, where N is under `SMALL_BUDGET_REQUESTS` `N + 3 * sqrt(N) + 3` (`tolerated_requests`), N being
`overload_factor` times what it could do in that span at its present capacity. The lab's own engine
(`engine.py`, `warmth.py`) counts tokens and steps; this one counts requests, as the rule does, and costs
nothing to run.
"""

from __future__ import annotations

from collections import deque
from math import sqrt

from msgspec import Struct

SMALL_BUDGET_REQUESTS = 30.0  # requests: a budget below it has more room for chance


def tolerated_requests(budget: float) -> float:
    """Requests of mean work that a cold engine bears in the settings' time, of its budget N."""
    deviations = 3.0 if budget < SMALL_BUDGET_REQUESTS else 2.0
    return budget + deviations * sqrt(budget) + deviations


class ColdEngineParameters(Struct, frozen=True, forbid_unknown_fields=True):
    """What a cold engine is."""

    per_s: float = 20.0  # requests of mean work that it does in a second once it is warm
    mean_prompt: float = 40.0  # tokens of such a request's prompt
    cold_from: float = 0.2  # share of its capacity at the start
    cold_ms: float = 10_000.0  # until it is warm
    overload_factor: float = 3.0
    tip_after_ms: float = 2000.0
    waiting: int = 64  # requests that it holds; one more is turned away
    connections: int = 256  # that it holds; one more is refused


class ColdEngine:
    """One process of an engine."""

    def __init__(self, figures: ColdEngineParameters, started_at: float, cold: bool = True) -> None:
        self.figures, self.started_at, self.cold = figures, started_at, cold
        self._taken: deque[tuple[float, float]] = deque()  # while cold: when, work
        self._sum = 0.0  # of their work
        self._ends: deque[float] = deque()  # when those in hand will be done

    def capacity_share(self, now: float) -> float:
        """Share of its capacity, in (0, 1]."""
        figures = self.figures
        age = now - self.started_at
        if not self.cold or age >= figures.cold_ms:
            return 1.0
        return figures.cold_from + (1.0 - figures.cold_from) * max(0.0, age) / figures.cold_ms

    def tolerated_work(self, now: float) -> float:
        """Work that it bears within `tip_after_ms`, by rule 4."""
        figures = self.figures
        n = figures.overload_factor * figures.per_s * self.capacity_share(now) * figures.tip_after_ms / 1000.0
        return tolerated_requests(n)

    def overloads(self, now: float, work: float = 1.0) -> bool:
        """So much work came; True where that was too much for it as cold as it is."""
        if not self.cold or now - self.started_at >= self.figures.cold_ms:
            return False
        self._taken.append((now, work))
        self._sum += work
        while self._taken[0][0] <= now - self.figures.tip_after_ms:
            self._sum -= self._taken.popleft()[1]
        return self._sum > self.tolerated_work(now)

    def queue_length(self, now: float) -> int:
        """Requests in hand."""
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        return len(self._ends)

    def accept(self, now: float, work: float = 1.0) -> float | None:
        """When it will have done this request, after those in hand; None where it turns it away."""
        if self.queue_length(now) >= self.figures.waiting:
            return None
        begin = max(now, self._ends[-1] if self._ends else now)
        # By its capacity when the request's turn comes: one that lasts long is a little too slow.
        self._ends.append(begin + 1000.0 * work / (self.figures.per_s * self.capacity_share(begin)))
        return self._ends[-1]
