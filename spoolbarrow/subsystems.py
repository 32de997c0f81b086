"""Starts, reconfigures and stops the operator file's subsystems; those that are off are not imported.

Each subsystem has the same life cycle: its settings are prepared, which may fail and changes nothing; then it
is started, reconfigured or stopped. `Subsystems` holds all of them and defines their order.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib.util import find_spec
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

import gevent
from msgspec import Struct

from spoolbarrow.config import Config, NeedsPackage
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import default_log

if TYPE_CHECKING:
    from spoolbarrow.admin.coordinator import Coordinator
    from spoolbarrow.admission import service
    from spoolbarrow.admission.service import AdmissionService
    from spoolbarrow.flows import exporter
    from spoolbarrow.flows.exporter import Exporter
    from spoolbarrow.net.failover import ZoneMonitor
    from spoolbarrow.net.store_follower import StoreFollower
    from spoolbarrow.net.version_monitor import ConfigFiles, VersionMonitor
    from spoolbarrow.operator import FailoverTable, FleetTable, Operator
    from spoolbarrow.shadow import copier
    from spoolbarrow.shadow.copier import Copier

SettingsT = TypeVar("SettingsT", contravariant=True)


class Running(Protocol[SettingsT]):
    """A running subsystem."""

    def apply(self, prepared: SettingsT, /) -> None:
        """Apply changed settings."""


RunningT = TypeVar("RunningT", bound=Running)  # type: ignore[type-arg]
PreparedT = TypeVar("PreparedT")


class Switch(Generic[PreparedT, RunningT]):
    """One subsystem that can be started, reconfigured and stopped."""

    def __init__(self, start: Callable[[PreparedT], RunningT], stop: Callable[[RunningT], object]) -> None:
        self._start, self._stop = start, stop
        self.running: RunningT | None = None

    def apply(self, prepared: PreparedT | None) -> None:
        """Start or reconfigure with these settings; None: stop."""
        if prepared is None:
            self.stop()
        elif self.running is None:
            self.running = self._start(prepared)
        else:
            self.running.apply(prepared)

    def stop(self) -> None:
        """Stop, if running."""
        running, self.running = self.running, None
        if running is not None:
            self._stop(running)


class Prepared(Struct, frozen=True):
    """Validated settings ready to be applied; a subsystem without settings is off."""

    operator: Operator | None = None
    flows: exporter.Prepared | None = None
    shadow: copier.Prepared | None = None
    door: service.Prepared | None = None
    failover: FailoverTable | None = None
    agree: Operator | None = None
    fleet: FleetTable | None = None


class Subsystems:
    """All subsystems of one router."""

    def __init__(
        self, host: Host, inbound: Inbound, coordinator: Coordinator | None, files: ConfigFiles
    ) -> None:
        self._host, self._inbound, self._coordinator, self._files = host, inbound, coordinator, files
        self._operator: Operator | None = None
        self._flows = Switch(self._start_flows, lambda part: gevent.spawn(part.close))  # slow collectors
        self._shadow = Switch(self._start_shadow, _stop_shadow)
        self._door = Switch(self._start_door, lambda part: part.stop())
        self._failover = Switch(self._start_failover, lambda part: part.stop())
        self._agreement = Switch(self._start_agreement, lambda part: part.stop())
        self._fleet = Switch(self._start_fleet, lambda part: part.stop())

    def prepare(self, operator: Operator | None, settings: Config) -> Prepared:
        """Do all that can fail for new settings; raises ConfigError and changes nothing if it does."""
        if operator is None:
            return Prepared()
        prepared = Prepared(
            operator,
            _prepare_flows(operator),
            _prepare_shadow(operator, settings),
            _prepare_door(operator, settings),
            _prepare_failover(operator, settings),
            operator if operator.agree is not None else None,
            operator.fleet,
        )
        if prepared.agree is not None and self._agreement.running is not None:
            self._agreement.running.check_revision(settings, prepared.agree)
        return prepared

    def apply(self, prepared: Prepared) -> None:
        """Apply prepared settings; anything not set takes its default."""
        self._operator = operator = prepared.operator
        if operator is None:
            default_log.configure()
        else:
            default_log.configure(operator.log.level, operator.log.format)
        self._flows.apply(prepared.flows)
        self._shadow.apply(prepared.shadow)
        self._door.apply(prepared.door)
        self._failover.apply(prepared.failover)
        self._agreement.apply(prepared.agree)
        if self._coordinator is not None:
            self._coordinator.agreement = self._agreement.running
        # Last: the other subsystems have used the tenants as given in the files.
        self._fleet.apply(prepared.fleet)

    @property
    def failover(self) -> ZoneMonitor | None:
        """The zone watch of failover, if it is on."""
        return self._failover.running

    def drain(self) -> None:
        """Begin shutting down: copying stops at once, so that live requests have the whole grace period."""
        if self._shadow.running is not None:
            self._shadow.running.stop()

    def close(self) -> None:
        """Stop what is still running, after `drain`."""
        if self._shadow.running is not None:
            self._shadow.running.close()
        if self._flows.running is not None:
            self._flows.running.close()

    def _start_flows(self, prepared: exporter.Prepared) -> Exporter:
        from spoolbarrow.flows.exporter import Exporter

        return Exporter(self._host, prepared)

    def _start_shadow(self, prepared: copier.Prepared) -> Copier:
        from spoolbarrow.shadow.copier import Copier

        return Copier(self._host, prepared)

    def _start_door(self, prepared: service.Prepared) -> AdmissionService:
        from spoolbarrow.admission.service import AdmissionService

        return AdmissionService(self._host, prepared)

    def _start_failover(self, table: FailoverTable) -> ZoneMonitor:
        from spoolbarrow.net.failover import ZoneMonitor

        return ZoneMonitor(self._host, table)

    def _start_agreement(self, operator: Operator) -> VersionMonitor:
        from spoolbarrow.net.version_monitor import VersionMonitor

        return VersionMonitor(self._host, self._inbound, operator, self._files)

    def _start_fleet(self, table: FleetTable) -> StoreFollower:
        from spoolbarrow.net.store_follower import StoreFollower

        return StoreFollower(self._host, table, self._shares_changed)

    def _shares_changed(self) -> None:
        """Tenants' shares differ from their file: reconfigure the door with them."""
        if self._operator is not None:
            self._door.apply(_prepare_door(self._operator, self._host.config))


def _prepare_flows(operator: Operator) -> exporter.Prepared | None:
    if operator.flows is None:
        return None
    from spoolbarrow.flows import exporter

    return exporter.Prepared(operator.flows)


def _prepare_shadow(operator: Operator, settings: Config) -> copier.Prepared | None:
    if operator.shadow is None:
        return None
    for package in ("xxhash", "zstandard"):
        if find_spec(package) is None:
            raise NeedsPackage("shadow", f"needs the package {package} (extra `shadow`)")
    from spoolbarrow.shadow import copier

    return copier.Prepared(operator.shadow, settings)


def _prepare_door(operator: Operator, settings: Config) -> service.Prepared | None:
    if operator.door is None:
        return None
    if find_spec("xxhash") is None:
        raise NeedsPackage("door", "needs the package xxhash (extra `door`)")
    from spoolbarrow.admission import service

    return service.Prepared(operator.door, settings)


def _prepare_failover(operator: Operator, settings: Config) -> FailoverTable | None:
    if operator.failover is None:
        return None
    from spoolbarrow.operator import zone_faults

    if faults := zone_faults(operator.failover, settings.zones):
        raise faults[0]
    return operator.failover


def _stop_shadow(running: Copier) -> None:
    running.stop()
    gevent.spawn(running.close)  # a disk may be slow
