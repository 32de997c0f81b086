"""Executes operators' commands on this process and publishes them to the router's other processes."""

from __future__ import annotations

from collections.abc import Callable

from spoolbarrow.admin.overrides import ROUTER_DRAIN, Overrides
from spoolbarrow.net.destinations import NoRoom
from spoolbarrow.net.drain_schedule import ALL_STEPS_REACHED_MS
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import log


class OperatorCommands:
    """The current overrides, and their effect on this process."""

    def __init__(self, host: Host, inbound: Inbound) -> None:
        self._host, self._inbound = host, inbound
        self.overrides = Overrides()
        self.publish: Callable[[], None] | None = None  # called before a command is confirmed

    def suspend(self, engine: str) -> None:
        """Stop sending to an engine; raises NoRoom if too many are suspended."""
        self._host.destinations.suspend(engine)
        self._set(engine, True)

    def resume(self, engine: str) -> None:
        """Use an engine again."""
        self._host.destinations.resume(engine)
        self._set(engine, False)

    def drain(self) -> None:
        """Drain the router of clients."""
        self._inbound.begin_operator_drain()
        self._set(ROUTER_DRAIN, True)

    def activate(self) -> None:
        """Accept clients again."""
        self._inbound.activate()
        self._set(ROUTER_DRAIN, False)

    def _set(self, target: str, on: bool) -> None:
        now = self._host.now()
        self.overrides.prune(now)
        if self.overrides.put(target, on, now) and self.publish is not None:
            self.publish()

    def apply_remote(self, other: Overrides, at_start: bool = False) -> bool:
        """Apply the overrides of another process that are newer than this one's; returns whether any were.

        Those found at the start may be of any age, so a drain among them gives clients no further time.
        """
        changed = self.overrides.merge(other)
        for target, override in changed.items():
            log("word", engine=target, on=override.on)
            try:
                if target == ROUTER_DRAIN:
                    self._apply_drain(override.on, at_start)
                else:
                    destinations = self._host.destinations
                    (destinations.suspend if override.on else destinations.resume)(target)
            except NoRoom as error:
                log("word_lost", engine=target, why=str(error))
        return bool(changed)

    def _apply_drain(self, on: bool, at_start: bool) -> None:
        if on:
            self._inbound.begin_operator_drain(ALL_STEPS_REACHED_MS if at_start else 0.0)
        else:
            self._inbound.activate()
