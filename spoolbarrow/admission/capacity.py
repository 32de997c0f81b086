"""Estimates the fleet's capacity for this router from finished work: a rate and its deviation.

A rate measured while the fleet is full is its capacity; otherwise it is only a lower bound. Times in ms, work
in tokens.
"""

from __future__ import annotations

WINDOW_MS = 1000.0  # length of a measurement window
RATE_WEIGHT = 0.3  # weight of one window in the moving average
# Factor per window while the fleet is not full: the rate is then only a lower bound.
PARTIAL_LOAD_DECAY = 0.999
MAX_CLOCK_STEP_MS = 10_000.0  # a longer step is a clock jump and not elapsed time


class CapacityEstimator:
    """The rate in tokens per ms, and the mean relative deviation of the windows from it."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.deviation = 0.0
        self.finished_tokens = 0.0
        self.full_ms = 0.0
        self.window_start_ms = self.updated_at_ms = 0.0
        self.started = False

    def update(self, now: float, full: bool) -> None:
        """Advance to `now`; `full` says whether the fleet was full since the last call."""
        if not self.started:
            self.started, self.window_start_ms, self.updated_at_ms = True, now, now
        elapsed_ms, self.updated_at_ms = now - self.updated_at_ms, now
        window_ms = now - self.window_start_ms
        if not (0.0 <= elapsed_ms <= MAX_CLOCK_STEP_MS and 0.0 <= window_ms <= MAX_CLOCK_STEP_MS):
            self.window_start_ms, self.finished_tokens, self.full_ms = now, 0.0, 0.0
            return
        self.full_ms += elapsed_ms * full
        if window_ms < WINDOW_MS:
            return
        measured_rate = self.finished_tokens / window_ms
        if self.full_ms > 0.5 * window_ms:
            if self.rate > 0.0:
                self.deviation += RATE_WEIGHT * (
                    min(1.0, abs(measured_rate - self.rate) / self.rate) - self.deviation
                )
            self.rate += RATE_WEIGHT * (measured_rate - self.rate)
        else:
            self.rate = max(self.rate * PARTIAL_LOAD_DECAY, measured_rate)
        self.window_start_ms, self.finished_tokens, self.full_ms = now, 0.0, 0.0
