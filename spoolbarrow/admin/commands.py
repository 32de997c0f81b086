"""Operators' orders carried out: on this process and, by way of `tell`, on the router's others."""

from __future__ import annotations

from collections.abc import Callable

from spoolbarrow.admin.overrides import ROUTER_DRAIN, Overrides
from spoolbarrow.net.destinations import NoRoom
from spoolbarrow.net.drain_schedule import ALL_STEPS_REACHED_MS
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import log


class OperatorCommands:
    """The words that hold, and what they do here."""

    def __init__(self, host: Host, inbound: Inbound) -> None:
        self._host, self._inbound = host, inbound
        self.words = Overrides()
        self.tell: Callable[[], None] | None = None  # has the other processes know, before a yes

    def suspend(self, engine: str) -> None:
        """Nothing more to an engine; NoRoom where too many are suspended."""
        self._host.destinations.suspend(engine)
        self._say(engine, True)

    def resume(self, engine: str) -> None:
        """An engine is used again."""
        self._host.destinations.resume(engine)
        self._say(engine, False)

    def drain(self) -> None:
        """Clients are sent away."""
        self._inbound.begin_operator_drain()
        self._say(ROUTER_DRAIN, True)

    def activate(self) -> None:
        """Clients are taken again."""
        self._inbound.activate()
        self._say(ROUTER_DRAIN, False)

    def _say(self, matter: str, on: bool) -> None:
        now = self._host.now()
        self.words.prune(now)
        if self.words.put(matter, on, now) and self.tell is not None:
            self.tell()

    def apply_remote(self, other: Overrides, at_start: bool = False) -> bool:
        """Carry out what another process was told later than this one; whether that was anything.

        What is found at the start may have been said at any time before, and its clients have had theirs.
        """
        changed = self.words.merge(other)
        for matter, word in changed.items():
            log("word", engine=matter, on=word.on)
            try:
                if matter == ROUTER_DRAIN:
                    self._adopt_drain(word.on, at_start)
                else:
                    destinations = self._host.destinations
                    (destinations.suspend if word.on else destinations.resume)(matter)
            except NoRoom as error:
                log("word_lost", engine=matter, why=str(error))
        return bool(changed)

    def _adopt_drain(self, on: bool, at_start: bool) -> None:
        if on:
            self._inbound.begin_operator_drain(ALL_STEPS_REACHED_MS if at_start else 0.0)
        else:
            self._inbound.activate()
