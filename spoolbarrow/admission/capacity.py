"""What the fleet finishes for this router, learnt from answers: a rate, and how far it strays.

A rate that is seen while the fleet is full is its capacity; seen while it is not, it is only a lower bound.
Times in ms, work in tokens.
"""

from __future__ import annotations

WINDOW_MS = 1000.0  # the rate is looked at this often
LEARN = 0.3  # weight of one window in the rate
FORGET = 0.999  # a rate seen while the fleet was not full is a lower bound, and fades so a window
JUMP_MS = 10_000.0  # a clock that jumps further than this has not passed that time


class CapacityEstimator:
    """A rate, tokens a millisecond, and the mean share by which windows miss it."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.strays = 0.0
        self.finished = 0.0
        self.full_ms = 0.0
        self.window_at = self.seen_at = 0.0
        self.begun = False

    def passes(self, now: float, full: bool) -> None:
        """Time goes on; whether the fleet was full since the last call."""
        if not self.begun:
            self.begun, self.window_at, self.seen_at = True, now, now
        passed, self.seen_at = now - self.seen_at, now
        window = now - self.window_at
        if not (0.0 <= passed <= JUMP_MS and 0.0 <= window <= JUMP_MS):
            self.window_at, self.finished, self.full_ms = now, 0.0, 0.0
            return
        self.full_ms += passed * full
        if window < WINDOW_MS:
            return
        seen = self.finished / window
        if self.full_ms > 0.5 * window:
            if self.rate > 0.0:
                self.strays += LEARN * (min(1.0, abs(seen - self.rate) / self.rate) - self.strays)
            self.rate += LEARN * (seen - self.rate)
        else:
            self.rate = max(self.rate * FORGET, seen)
        self.window_at, self.finished, self.full_ms = now, 0.0, 0.0
