"""Counts requests by class and result since the start, and formats the metrics that operators fetch.

Owns the counters by class; values that can be read from the router at any time (requests in progress,
engines) are passed in. Each request is counted once, when its response is final. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from spoolbarrow.net.drain_log import DrainCounts

PREFIX = "router"


class Result(Enum):
    """The result of a request; the value is part of the metric's name."""

    PASSED = "passed"
    DROPPED = "dropped"
    BAD_GATEWAY = "bad_gateway"


# By the host's result of a response. A request whose client disconnected is not counted: it got no response.
RESULTS = {
    "served": Result.PASSED,
    "moved": Result.PASSED,  # its client resumes the rest elsewhere
    "fail_fast": Result.DROPPED,
    "failed": Result.BAD_GATEWAY,
    "rejected": Result.BAD_GATEWAY,
    "broken": Result.BAD_GATEWAY,
}


class Metrics:
    """Counters of results by class."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._counts: dict[str, dict[Result, int]] = {}
        self.upstream_tries = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add classes with counters at zero; existing ones keep their counts."""
        for name in classes:
            self._counts.setdefault(name, dict.fromkeys(Result, 0))

    def count_result(self, cls: str, outcome: str) -> None:
        """Count a final response of a class; results that are not in RESULTS are ignored."""
        result, counts = RESULTS.get(outcome), self._counts.get(cls)
        if result is not None and counts is not None:
            counts[result] += 1

    def count_attempt(self) -> None:
        """Count an attempt that was written to an engine completely."""
        self.upstream_tries += 1

    def format(
        self,
        in_progress: int,
        known_engines: int,
        skipped_engines: int,
        client_connections: int,
        drains: DrainCounts,
    ) -> str:
        """All metrics, one `name=value` per line."""
        values = {
            f"handled.{cls}.{result.value}": count
            for cls, counts in self._counts.items()
            for result, count in counts.items()
        }
        values |= {
            "upstream_tries": self.upstream_tries,
            "in_progress": in_progress,
            "known_engines": known_engines,
            "skipped_engines": skipped_engines,
            "client_connections": client_connections,
            "drains.taken": drains.taken,
            "drains.refused": drains.refused,
            "drains.closed": drains.closed,
        }
        return "".join(f"{PREFIX}.{name}={value}\n" for name, value in values.items())
