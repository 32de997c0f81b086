"""Virtual time: a queue of events, played in order without waiting; times in milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Clock:
    """Events in the order of their times, and of their making where times are equal."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Call it then; never before now."""
        self.count += 1
        heappush(self.heap, (max(when, self.now), self.count, call, args))

    def run(self, goes_on: Callable[[], bool]) -> None:
        """Play until nothing is left to do, or to wait for."""
        heap = self.heap
        while heap and goes_on():
            self.now, _, call, args = heappop(heap)
            call(*args)
