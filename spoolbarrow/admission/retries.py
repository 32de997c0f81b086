"""Retries at the door: recognised where clients do not mark them, and held to a share of first tries.

The budget is the one of B. Beyer et al., "Site Reliability Engineering", chapter 21 (per client retry
budget), kept for each tenant. Times in ms.
"""

from __future__ import annotations

from spoolbarrow.admission.errors import AdmissionError

LEAST_DEPTH = 3.0  # retries a quiet tenant may have at once


class RetryBudget:
    """One tenant's: each first try earns `ratio` of a retry, up to `depth` of them."""

    def __init__(self, ratio: float, depth: float = 50.0) -> None:
        self.ratio = ratio
        self.depth = max(depth, LEAST_DEPTH)
        self.left = LEAST_DEPTH

    def first(self) -> None:
        """A first try came."""
        self.left = min(self.depth, self.left + self.ratio)

    def retry(self) -> bool:
        """A retry came; whether the budget has room for it."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class RetryDetector:
    """What was asked of late, by a 64-bit number of session and prompt: the same again is a retry."""

    def __init__(self, window_ms: float, most: int) -> None:
        if window_ms <= 0.0 or most < 2:
            raise AdmissionError("", "the window must be above 0, and hold two requests at least")
        self.window_ms, self.most = window_ms, most
        self.young: dict[int, float] = {}
        self.old: dict[int, float] = {}
        self.turned_at = 0.0
        self.dropped = 0  # forgotten before their window had passed, for want of room

    def again(self, now: float, asked: int) -> bool:
        """Whether the same was asked within the window; from now on it was."""
        if not 0.0 <= now - self.turned_at < self.window_ms or len(self.young) >= self.most // 2:
            if 0.0 <= now - self.turned_at < self.window_ms:
                self.dropped += len(self.old)
            self.old, self.young, self.turned_at = self.young, {}, now
        at = self.young.get(asked)
        if at is None:
            at = self.old.get(asked)
        self.young[asked] = now
        return at is not None and 0.0 <= now - at < self.window_ms
