"""Detects retries that clients do not mark, and limits retries to a share of first tries.

The budget follows B. Beyer et al., "Site Reliability Engineering", chapter 21 (per-client retry
budget), with one budget per tenant. Times in ms.
"""

from __future__ import annotations

from spoolbarrow.admission.errors import AdmissionError

MIN_DEPTH = 3.0  # retries that a tenant without first tries may send at once


class RetryBudget:
    """One tenant's budget: each first try adds `ratio` of a retry, up to `depth` retries."""

    def __init__(self, ratio: float, depth: float = 50.0) -> None:
        self.ratio = ratio
        self.depth = max(depth, MIN_DEPTH)
        self.available = MIN_DEPTH

    def record_first_try(self) -> None:
        """Credit the budget for a first try."""
        self.available = min(self.depth, self.available + self.ratio)

    def take_retry(self) -> bool:
        """Charge a retry; False if the budget is exhausted."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class RetryDetector:
    """Recent prompts as 64-bit hashes of session and prompt: a repeated one is a retry."""

    def __init__(self, window_ms: float, max_entries: int) -> None:
        if window_ms <= 0.0 or max_entries < 2:
            raise AdmissionError("", "the window must be above 0 and hold at least two requests")
        self.window_ms, self.max_entries = window_ms, max_entries
        self.current: dict[int, float] = {}
        self.previous: dict[int, float] = {}
        self.rotated_at = 0.0
        self.forgotten = 0  # entries dropped before the end of their window, for lack of room

    def is_retry(self, now: float, digest: int) -> bool:
        """Whether this prompt was seen within the window; records it."""
        if not 0.0 <= now - self.rotated_at < self.window_ms or len(self.current) >= self.max_entries // 2:
            if 0.0 <= now - self.rotated_at < self.window_ms:
                self.forgotten += len(self.previous)
            self.previous, self.current, self.rotated_at = self.current, {}, now
        seen_at = self.current.get(digest)
        if seen_at is None:
            seen_at = self.previous.get(digest)
        self.current[digest] = now
        return seen_at is not None and 0.0 <= now - seen_at < self.window_ms
