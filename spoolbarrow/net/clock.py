"""The decisions' clock."""

from __future__ import annotations

import time


class Clock:
    """The module's clock: Unix milliseconds at the start, never set back after it.

    Discovery tells the start of an endpoint in Unix time; on this clock it means the same.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Now, ms."""
        return (time.monotonic() + self._offset) * 1000.0
