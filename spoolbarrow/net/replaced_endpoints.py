"""Decides which listed endpoints have ended, because another endpoint is listed at their address.

A process that comes up at the address of one that has gone is listed under its own name, mostly before the
other's entry is withdrawn. What is sent to the old name meanwhile would run at the new process. Pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from spoolbarrow.config import Address, ListEntry


class Listed(Protocol):
    """An endpoint that discovery lists."""

    @property
    def line(self) -> ListEntry:
        """Its line of the list."""

    @property
    def address(self) -> Address:
        """Where it listens."""


class ReplacedEndpoints:
    """The names of endpoints that are listed still, but whose address another process has."""

    def __init__(self) -> None:
        self._names: set[str] = set()

    def has(self, name: str) -> bool:
        """Whether an endpoint has been replaced."""
        return name in self._names

    def find(self, told: str, listed: Mapping[str, Listed], has_come: bool) -> list[str]:
        """The endpoints that are replaced from now on, as `told` was listed.

        The one that started last has the address. Where their starts don't tell, it is the one that a change
        has brought there (`has_come`); endpoints of a whole list then share the address.
        """
        entry = listed[told]
        others = [n for n, other in listed.items() if other.address == entry.address and n != told]
        starts = {name: listed[name].line.since_ms for name in others}
        since_ms = entry.line.since_ms
        self._names.discard(told)
        if any(start > since_ms for start in starts.values()):
            self._names.add(told)
            return []
        older = [name for name, start in starts.items() if start < since_ms or has_come]
        replaced = [name for name in older if name not in self._names]
        self._names.update(replaced)
        return replaced

    def forget(self, name: str) -> None:
        """Forget an endpoint that is listed no more, or elsewhere."""
        self._names.discard(name)
