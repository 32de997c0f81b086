"""What has happened and is not decided on yet, in order; news of the list comes before all else.

Guards engines in slow start, and those that drain: a request must not be decided on by a list that is known
not to be the last.
"""

from __future__ import annotations

from collections.abc import Iterator

from spoolbarrow import interface as i


class Inbox:
    """Events on their way to the decisions."""

    def __init__(self) -> None:
        self._news: list[i.Event] = []
        self._others: list[i.Event] = []

    def add(self, event: i.Event) -> None:
        """One more."""
        (self._news if isinstance(event, i.ReplicaList) else self._others).append(event)

    def take(self) -> list[i.Event]:
        """All that wait."""
        events, self._others = self._others, []
        return self.take_news() + events

    def take_news(self) -> list[i.Event]:
        """What waits of the list alone."""
        news, self._news = self._news, []
        return news

    def __len__(self) -> int:
        """How many wait."""
        return len(self._news) + len(self._others)

    def __iter__(self) -> Iterator[i.Event]:
        """All that wait, which go on waiting."""
        return iter([*self._news, *self._others])
