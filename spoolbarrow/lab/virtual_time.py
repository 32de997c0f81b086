"""A discrete-event queue in virtual time: events run in order without waiting; times in milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class VirtualClock:
    """Runs events in the order of their times; events with equal times in the order they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call at `when`, or now where that is already past."""
        self.count += 1
        heappush(self.heap, (max(when, self.now), self.count, call, args))

    def run(self, should_continue: Callable[[], bool]) -> None:
        """Run events until the queue is empty or `should_continue` returns false."""
        heap = self.heap
        while heap and should_continue():
            self.now, _, call, args = heappop(heap)
            call(*args)
