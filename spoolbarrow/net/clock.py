"""The decisions' clock."""

from __future__ import annotations

import time


def unix_offset_s() -> float:
    """What Unix time is ahead of the monotonic clock now; another value once the wall clock was set."""
    return time.time() - time.monotonic()


class Clock:
    """The module's clock: Unix milliseconds at the start, never set back after it.

    Discovery tells the start of an endpoint in Unix time; on this clock it means the same, unless the wall
    clock was wrong at the start (`DestinationSet` bounds what that does). The processes of one router share
    an offset: they tell each other times.
    """

    def __init__(self, offset_s: float | None = None) -> None:
        self._offset = unix_offset_s() if offset_s is None else offset_s

    def __call__(self) -> float:
        """Now, ms."""
        return (time.monotonic() + self._offset) * 1000.0
