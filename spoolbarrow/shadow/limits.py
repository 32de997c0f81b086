"""What bounds copying: rates, the allowance that follows the candidate's health, the breaker. Pure.

Times are ms on the caller's clock.
"""

from __future__ import annotations

from enum import Enum


class Gcra:
    """The generic cell rate algorithm (ITU-T I.371, annex A), for costs of any size.

    `most` is what may pass in any window of `window_ms`: a bucket of `burst_share` of it, refilled with the
    rest a window, so that bucket and refill together never exceed it. A cost above the bucket never conforms.
    """

    def __init__(self, most: float, burst_share: float, window_ms: float = 1000.0) -> None:
        self.most = most
        self.bucket = most * burst_share
        self._ms_per_unit = window_ms / (most - self.bucket)
        self._full_at = float("-inf")  # when the bucket is empty of debts again: the theoretical arrival time

    def conforms(self, now: float, cost: float) -> bool:
        """Whether so much may pass now."""
        debt_ms = max(self._full_at - now, 0.0)
        return debt_ms + cost * self._ms_per_unit <= self.bucket * self._ms_per_unit + 1e-9

    def take(self, now: float, cost: float) -> None:
        """It passes."""
        self._full_at = max(self._full_at, now) + cost * self._ms_per_unit


class Allowance:
    """Additive increase, multiplicative decrease (Chiu and Jain, 1989) of a share between floor and 1."""

    def __init__(self, step: float = 0.02, factor: float = 0.5, floor: float = 0.02) -> None:
        self._step, self._factor, self._floor = step, factor, floor
        self.value = floor  # a pool that was never tried is tried gently
        self._cut_at = float("-inf")

    def better(self) -> None:
        """A copy went well."""
        self.value = min(1.0, self.value + self._step)

    def worse(self, now: float, begun: float) -> None:
        """One went badly. Copies begun before the last cut tell nothing new: one trouble is one cut."""
        if begun > self._cut_at:
            self.value = max(self._floor, self.value * self._factor)
            self._cut_at = now

    def reset(self) -> None:
        """Begin from the floor."""
        self.value = self._floor


class Circuit(Enum):
    """States of the breaker."""

    CLOSED = 0
    OPEN = 1
    HALF_OPEN = 2  # one copy is out, to see


class CircuitBreaker:
    """Opens after so many bad copies on end; then one at a time is tried, ever more seldom."""

    def __init__(self, bad_copies: int, open_ms: float, most_open_ms: float) -> None:
        self.settings = (bad_copies, open_ms, most_open_ms)
        self._bad_copies, self._least, self._most = bad_copies, open_ms, most_open_ms
        self.state = Circuit.CLOSED
        self._bad = 0
        self._open_ms = open_ms
        self._until = 0.0

    def allows(self, now: float) -> bool:
        """Whether a copy may be sent."""
        if self.state is Circuit.OPEN and now >= self._until:
            return True  # the next `sent` is the one that tries
        return self.state is Circuit.CLOSED

    def sent(self) -> bool:
        """A copy was sent: whether it is the one that tries."""
        if self.state is Circuit.OPEN:
            self.state = Circuit.HALF_OPEN
            return True
        return False

    def good(self, trial: bool) -> None:
        """A copy went well; while half open only the one that tries counts."""
        if self.state is Circuit.CLOSED:
            self._bad = 0
        elif self.state is Circuit.HALF_OPEN and trial:
            self.state, self._bad, self._open_ms = Circuit.CLOSED, 0, self._least

    def bad(self, now: float, trial: bool) -> None:
        """A copy went badly."""
        if self.state is Circuit.HALF_OPEN and trial:
            self._open_ms = min(self._open_ms * 2.0, self._most)
            self._open(now)
        elif self.state is Circuit.CLOSED:
            self._bad += 1
            if self._bad >= self._bad_copies:
                self._open(now)

    def moot(self, now: float, trial: bool) -> None:
        """A copy was ended for a reason that is not the candidate's: where it tried, another one is to."""
        if self.state is Circuit.HALF_OPEN and trial:
            self.state, self._until = Circuit.OPEN, now

    def _open(self, now: float) -> None:
        self.state, self._until, self._bad = Circuit.OPEN, now + self._open_ms, 0


def headroom(value: float, free: float, full: float) -> float:
    """How much a pressure leaves: 1 up to `free`, 0 from `full` on, in between what is left of the way."""
    if value <= free:
        return 1.0
    return max(0.0, (full - value) / (full - free))
