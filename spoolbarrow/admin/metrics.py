"""The figures that operators fetch: counts since the process began, and how they are written.

Owns the counts by class; what can be read off the router at any time (requests in progress, engines) is
handed in. Each request is counted once, when its answer is settled. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from spoolbarrow.net.drain_log import DrainCounts

PREFIX = "router"


class Fate(Enum):
    """What a request came to; the value is the figure's name."""

    PASSED = "passed"
    DROPPED = "dropped"
    BAD_GATEWAY = "bad_gateway"


# By the host's word for an answer. A client that left is counted nowhere: nobody was answered.
FATES = {
    "served": Fate.PASSED,
    "moved": Fate.PASSED,  # its client goes on with the rest elsewhere
    "fail_fast": Fate.DROPPED,
    "failed": Fate.BAD_GATEWAY,
    "rejected": Fate.BAD_GATEWAY,
    "broken": Fate.BAD_GATEWAY,
}


class Metrics:
    """Counts of what became of requests, for each class."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._counts: dict[str, dict[Fate, int]] = {}
        self.upstream_tries = 0
        self.name(classes)

    def name(self, classes: Iterable[str]) -> None:
        """Classes that are told from now on, from zero; those of before keep their counts."""
        for name in classes:
            self._counts.setdefault(name, dict.fromkeys(Fate, 0))

    def answered(self, cls: str, how: str) -> None:
        """A request of that class has its answer; words that are not in FATES count nowhere."""
        fate, counts = FATES.get(how), self._counts.get(cls)
        if fate is not None and counts is not None:
            counts[fate] += 1

    def tried(self) -> None:
        """An attempt was written whole to an engine."""
        self.upstream_tries += 1

    def write(
        self,
        in_progress: int,
        known_engines: int,
        skipped_engines: int,
        client_connections: int,
        drains: DrainCounts,
    ) -> str:
        """All figures, `name=value` a line."""
        told = {
            f"handled.{cls}.{fate.value}": count
            for cls, counts in self._counts.items()
            for fate, count in counts.items()
        }
        told |= {
            "upstream_tries": self.upstream_tries,
            "in_progress": in_progress,
            "known_engines": known_engines,
            "skipped_engines": skipped_engines,
            "client_connections": client_connections,
            "drains.taken": drains.taken,
            "drains.refused": drains.refused,
            "drains.closed": drains.closed,
        }
        return "".join(f"{PREFIX}.{name}={value}\n" for name, value in told.items())
