"""Models slow start of an engine: its speed grows by time or work; if overloaded meanwhile, it crashes."""

from __future__ import annotations

from collections import deque

from spoolbarrow.lab.cold_engine import tolerated_requests
from spoolbarrow.lab.kinds import EngineParameters


class Warmup:
    """The slow start of one engine process."""

    __slots__ = ("figures", "started_at", "worked_ms", "warm", "taken", "taken_tokens")

    def __init__(self, figures: EngineParameters, started_at: float, cold: bool) -> None:
        self.figures = figures
        self.started_at = started_at
        self.worked_ms = 0.0  # time spent in steps
        self.warm = not cold or figures.cold_ms <= 0.0
        self.taken: deque[tuple[float, int]] = deque()  # prompts admitted during slow start: (time, tokens)
        self.taken_tokens = 0

    def speed(self, now: float) -> float:
        """The share of full speed at `now`, in (0, 1]."""
        if self.warm:
            return 1.0
        f = self.figures
        done = (self.worked_ms if f.by_work else now - self.started_at) / f.cold_ms
        if done >= 1.0:
            self.warm = True
            self.taken.clear()
            return 1.0
        return f.cold_from + (1.0 - f.cold_from) * max(0.0, done)

    def take(self, now: float, tokens: int) -> bool:
        """Count an admitted prompt; True if the load is more than slow start and chance allow for."""
        f = self.figures
        if self.warm or f.fall_multiple <= 0.0:
            return False
        self.taken.append((now, tokens))
        self.taken_tokens += tokens
        while self.taken[0][0] <= now - f.fall_ms:
            self.taken_tokens -= self.taken.popleft()[1]
        mean = self.taken_tokens / len(self.taken)
        tolerated = f.fall_multiple * self.speed(now) * f.read_rate() * f.fall_ms / mean
        return len(self.taken) > tolerated_requests(tolerated)
