"""Queues events for the decision module in order, list updates first.

Protects endpoints in slow start and draining ones: no request may be decided on an outdated list while
a newer one is queued.
"""

from __future__ import annotations

from collections.abc import Iterator

from spoolbarrow import interface as i


class Inbox:
    """Events that wait to be decided on."""

    def __init__(self) -> None:
        self._list_updates: list[i.Event] = []
        self._others: list[i.Event] = []

    def add(self, event: i.Event) -> None:
        """Queue an event."""
        (self._list_updates if isinstance(event, i.ReplicaList) else self._others).append(event)

    def take(self) -> list[i.Event]:
        """Remove and return all events."""
        events, self._others = self._others, []
        return self.take_list_updates() + events

    def take_list_updates(self) -> list[i.Event]:
        """Remove and return the list updates alone."""
        updates, self._list_updates = self._list_updates, []
        return updates

    def __len__(self) -> int:
        """Number of queued events."""
        return len(self._list_updates) + len(self._others)

    def __iter__(self) -> Iterator[i.Event]:
        """All queued events, without removing them."""
        return iter([*self._list_updates, *self._others])
