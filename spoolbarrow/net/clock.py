"""Provides the clock of the decision module."""

from __future__ import annotations

import time


def unix_offset_s() -> float:
    """Unix time minus the monotonic clock, s; changes whenever the wall clock is set."""
    return time.time() - time.monotonic()


class Clock:
    """A monotonic clock that starts at the Unix time, in ms.

    Discovery reports start times of endpoints in Unix time. They hold on this clock too, unless the wall
    clock was wrong at the start (`DestinationSet` bounds the effect). The processes of one router exchange
    times, so they share one offset.
    """

    def __init__(self, offset_s: float | None = None) -> None:
        self._offset = unix_offset_s() if offset_s is None else offset_s

    def __call__(self) -> float:
        """Now, ms."""
        return (time.monotonic() + self._offset) * 1000.0
