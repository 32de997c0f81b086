"""Model of a stand-in engine in slow start: its capacity ramps up, and it crashes when overloaded. No I/O.

Requests are processed in order. Work is counted in requests of mean work, times in ms. The engine crashes by
rule 4: within `tip_after_ms` it tolerates `N + 2 * sqrt(N) + 2` at most, and below `SMALL_BUDGET_REQUESTS` `N
+ 3 * sqrt(N) + 3` (`tolerated_requests`), N being `overload_factor` times what it could process in that span
at its current capacity. The lab's own engine (`engine.py`, `warmth.py`) counts tokens and steps; this one
counts requests, as the rule does, and needs hardly any CPU time.
"""

from __future__ import annotations

from collections import deque
from math import sqrt

from msgspec import Struct

SMALL_BUDGET_REQUESTS = 30.0  # budgets below it get a wider random margin


def tolerated_requests(budget: float) -> float:
    """Requests of mean work that slow start tolerates within `tip_after_ms`, given the budget N."""
    deviations = 3.0 if budget < SMALL_BUDGET_REQUESTS else 2.0
    return budget + deviations * sqrt(budget) + deviations


class ColdEngineParameters(Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of an engine with slow start."""

    per_s: float = 20.0  # requests of mean work per second once it is warm
    mean_prompt: float = 40.0  # prompt tokens of such a request
    cold_from: float = 0.2  # share of its capacity at the start
    cold_ms: float = 10_000.0  # until it is warm
    overload_factor: float = 3.0
    tip_after_ms: float = 2000.0
    waiting: int = 64  # requests that it holds; further ones are rejected
    connections: int = 256  # further ones are refused


class ColdEngine:
    """Model of one engine process."""

    def __init__(self, figures: ColdEngineParameters, started_at: float, cold: bool = True) -> None:
        self.figures, self.started_at, self.cold = figures, started_at, cold
        self._recent: deque[tuple[float, float]] = deque()  # in slow start: time, work
        self._recent_work = 0.0  # of their work
        self._end_times: deque[float] = deque()  # when admitted requests will be done

    def capacity_share(self, now: float) -> float:
        """The current share of its full capacity, in (0, 1]."""
        figures = self.figures
        age = now - self.started_at
        if not self.cold or age >= figures.cold_ms:
            return 1.0
        return figures.cold_from + (1.0 - figures.cold_from) * max(0.0, age) / figures.cold_ms

    def tolerated_work(self, now: float) -> float:
        """Work that it tolerates within `tip_after_ms`, by rule 4."""
        figures = self.figures
        n = figures.overload_factor * figures.per_s * self.capacity_share(now) * figures.tip_after_ms / 1000.0
        return tolerated_requests(n)

    def overloads(self, now: float, work: float = 1.0) -> bool:
        """Record incoming work; True if that overloads the engine in slow start."""
        if not self.cold or now - self.started_at >= self.figures.cold_ms:
            return False
        self._recent.append((now, work))
        self._recent_work += work
        while self._recent[0][0] <= now - self.figures.tip_after_ms:
            self._recent_work -= self._recent.popleft()[1]
        return self._recent_work > self.tolerated_work(now)

    def queue_length(self, now: float) -> int:
        """Number of requests that wait or are being processed."""
        while self._end_times and self._end_times[0] <= now:
            self._end_times.popleft()
        return len(self._end_times)

    def accept(self, now: float, work: float = 1.0) -> float | None:
        """Admit a request; when it will be done, after those before it, or None if it is rejected."""
        if self.queue_length(now) >= self.figures.waiting:
            return None
        begin = max(now, self._end_times[-1] if self._end_times else now)
        # Uses the capacity at the start of processing, which makes long requests slightly too slow.
        self._end_times.append(begin + 1000.0 * work / (self.figures.per_s * self.capacity_share(begin)))
        return self._end_times[-1]
