"""Limits on copying: rate limiters, an allowance that follows the candidate's health, a circuit breaker.

No I/O; times are ms on the caller's clock.
"""

from __future__ import annotations

from enum import Enum


class Gcra:
    """The generic cell rate algorithm (ITU-T I.371, annex A), for costs of any size.

    `limit` is the cost that may pass in any window of `window_ms`: a bucket of `burst_share` of it, refilled
    with the rest per window, so that bucket and refill together never exceed the limit. A cost above the
    bucket size never conforms.
    """

    def __init__(self, limit: float, burst_share: float, window_ms: float = 1000.0) -> None:
        self.limit = limit
        self.bucket_size = limit * burst_share
        self._ms_per_unit = window_ms / (limit - self.bucket_size)
        self._full_at = float("-inf")  # when the bucket is full again: the theoretical arrival time

    def conforms(self, now: float, cost: float) -> bool:
        """Whether this cost may pass now."""
        debt_ms = max(self._full_at - now, 0.0)
        return debt_ms + cost * self._ms_per_unit <= self.bucket_size * self._ms_per_unit + 1e-9

    def charge(self, now: float, cost: float) -> None:
        """Charge a cost that passes."""
        self._full_at = max(self._full_at, now) + cost * self._ms_per_unit


class Allowance:
    """Additive increase, multiplicative decrease (Chiu and Jain, 1989) of a share between `floor` and 1."""

    def __init__(self, step: float = 0.02, factor: float = 0.5, floor: float = 0.02) -> None:
        self._step, self._factor, self._floor = step, factor, floor
        self.value = floor  # an untested pool starts with the smallest share
        self._cut_at = float("-inf")

    def increase(self) -> None:
        """Raise the allowance after a successful copy."""
        self.value = min(1.0, self.value + self._step)

    def decrease(self, now: float, sent_at: float) -> None:
        """Cut the allowance after a failed copy; copies sent before the last cut count with that one."""
        if sent_at > self._cut_at:
            self.value = max(self._floor, self.value * self._factor)
            self._cut_at = now

    def reset(self) -> None:
        """Return to the floor."""
        self.value = self._floor


class Circuit(Enum):
    """States of the circuit breaker."""

    CLOSED = 0
    OPEN = 1
    HALF_OPEN = 2  # one trial copy is in flight


class CircuitBreaker:
    """Opens after `bad_copies` consecutive failures, then sends single trials at growing intervals."""

    def __init__(self, bad_copies: int, open_ms: float, most_open_ms: float) -> None:
        self.settings = (bad_copies, open_ms, most_open_ms)
        self._max_failures, self._min_open_ms, self._max_open_ms = bad_copies, open_ms, most_open_ms
        self.state = Circuit.CLOSED
        self._failures = 0
        self._open_ms = open_ms
        self._open_until_ms = 0.0

    def allows(self, now: float) -> bool:
        """Whether a copy may be sent."""
        if self.state is Circuit.OPEN and now >= self._open_until_ms:
            return True  # the next `sent` is the trial
        return self.state is Circuit.CLOSED

    def sent(self) -> bool:
        """Record a sent copy; whether it is the trial."""
        if self.state is Circuit.OPEN:
            self.state = Circuit.HALF_OPEN
            return True
        return False

    def record_success(self, trial: bool) -> None:
        """Record a success; while half open only the trial counts."""
        if self.state is Circuit.CLOSED:
            self._failures = 0
        elif self.state is Circuit.HALF_OPEN and trial:
            self.state, self._failures, self._open_ms = Circuit.CLOSED, 0, self._min_open_ms

    def record_failure(self, now: float, trial: bool) -> None:
        """Record a failure; while half open only the trial counts."""
        if self.state is Circuit.HALF_OPEN and trial:
            self._open_ms = min(self._open_ms * 2.0, self._max_open_ms)
            self._open(now)
        elif self.state is Circuit.CLOSED:
            self._failures += 1
            if self._failures >= self._max_failures:
                self._open(now)

    def moot(self, now: float, trial: bool) -> None:
        """Record a copy that ended for another reason than the candidate; a trial is repeated."""
        if self.state is Circuit.HALF_OPEN and trial:
            self.state, self._open_until_ms = Circuit.OPEN, now

    def _open(self, now: float) -> None:
        self.state, self._open_until_ms, self._failures = Circuit.OPEN, now + self._open_ms, 0


def headroom(value: float, free_below: float, full: float) -> float:
    """The share left by a pressure: 1 up to `free_below`, 0 from `full` on, linear in between."""
    if value <= free_below:
        return 1.0
    return max(0.0, (full - value) / (full - free_below))
