"""Endpoints of a type or group that this router never uses: which they are, for whoever does use them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from spoolbarrow.config import Address, ConfigError, ListEntry, parse_address


class Excluded(NamedTuple):
    """A listed endpoint that is excluded."""

    name: str
    address: Address
    serving: bool  # according to discovery
    since_ms: float


class ExcludedEndpoints:
    """The listed endpoints of the excluded type or group; an empty type, a negative group: none."""

    def __init__(self) -> None:
        self._type, self._group = "", -1
        self._endpoints: dict[str, Excluded] = {}
        self._tell: Callable[[list[Excluded]], None] | None = None

    def configure(self, kind: str, group: int, tell: Callable[[list[Excluded]], None]) -> bool:
        """Set what is excluded, and who is told of it; whether that changed what is excluded."""
        changed = (kind, group) != (self._type, self._group)
        self._type, self._group, self._tell = kind, group, tell
        if changed:
            self._endpoints.clear()
        return changed

    def matches(self, entry: ListEntry) -> bool:
        """Whether an endpoint is excluded."""
        return (self._type != "" and entry.type == self._type) or entry.group == self._group

    def any_matching(self) -> bool:
        """Whether endpoints may be excluded at all."""
        return self._type != "" or self._group >= 0

    def add(self, endpoint: Excluded) -> None:
        """Add an endpoint that was used until now."""
        self._endpoints[endpoint.name] = endpoint

    def update(self, entry: ListEntry) -> None:
        """Take over a line of the list."""
        try:
            address = parse_address("address", entry.address)
        except ConfigError:
            self._endpoints.pop(entry.name, None)
            return
        if entry.status == "terminated":
            self._endpoints.pop(entry.name, None)
        else:
            self.add(Excluded(entry.name, address, entry.status == "in_service", entry.since_ms))

    def clear(self) -> None:
        """Forget all endpoints, before a whole list."""
        self._endpoints.clear()

    def notify(self) -> None:
        """Tell of all excluded endpoints."""
        if self._tell is not None:
            self._tell(list(self._endpoints.values()))
