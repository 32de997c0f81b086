"""One real router: start, signals, exit status.

Subsystems that are off are not imported: what the operator's file switches on is, when it is read.
"""

from __future__ import annotations

import gc
import os
import resource
import signal
from importlib.util import find_spec
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from spoolbarrow import config
from spoolbarrow.errors import Problem
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import log, refused, standard

if TYPE_CHECKING:
    from spoolbarrow.admin.operations import Operations
    from spoolbarrow.agree import Item
    from spoolbarrow.door import keeper
    from spoolbarrow.door.keeper import Keeper
    from spoolbarrow.flows import exporter
    from spoolbarrow.flows.exporter import Exporter
    from spoolbarrow.net.agreement import Agreement
    from spoolbarrow.net.failover import ZoneWatch
    from spoolbarrow.net.follow import Follower
    from spoolbarrow.operator import FailoverTable, Operator
    from spoolbarrow.shadow import copier
    from spoolbarrow.shadow.copier import Copier

    Prepared = tuple[
        exporter.Prepared | None, copier.Prepared | None, keeper.Prepared | None, FailoverTable | None
    ]

TIDY_S = 2.0
OPERATOR = "SPOOLBARROW_"  # what begins so in the environment is the operator's


class Draining(Problem):
    """Files are to be adopted by a router that is ending."""

    remedy = "Say it to the process that takes its place, which reads the files as they are when it starts."


class FilesChanged(config.ConfigError):
    """Files are to be adopted that have changed since they were checked."""

    remedy = "Say `spoolbarrow agree apply` again once the files are as they are meant to be."


def operators() -> Operator | None:
    """The operator's settings, where there are any; ConfigError where they can't be used."""
    if not any(name.startswith(OPERATOR) for name in os.environ):
        return None
    from spoolbarrow import operator

    return operator.load()


class Descriptors:
    """What this process may hold: its own limit counts where it is lower than the platform's."""

    def __init__(self) -> None:
        # The look itself takes one.
        self._held = len(os.listdir("/proc/self/fd")) - 1

    def fit(self, settings: config.Config) -> config.Config:
        """A configuration as this process can keep it; ConfigError where it can't.

        A soft limit below the platform's is raised as far as the process may: it is a shell's habit.
        """
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = settings.limits.sockets if hard < 0 else min(hard, settings.limits.sockets)
        if 0 <= soft < wanted:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
            soft = wanted
        return config.within(settings, settings.limits.sockets if soft < 0 else soft, self._held)


class Subsystems:
    """What the operator's file switches on; nothing of what is off is imported."""

    def __init__(
        self, host: Host, inbound: Inbound, operations: Operations | None, descriptors: Descriptors
    ) -> None:
        self._host, self._inbound, self._operations = host, inbound, operations
        self._descriptors = descriptors
        self._flows: Exporter | None = None
        self._shadow: Copier | None = None
        self._door: Keeper | None = None
        self._failover: ZoneWatch | None = None
        self._agreement: Agreement | None = None
        self._fleet: Follower | None = None
        self._operator: Operator | None = None
        # Held while the program starts, goes by other files, or begins to end: one of these at a time.
        self.changing = BoundedSemaphore(1)

    def prepare(self, operator: Operator | None, settings: config.Config) -> Prepared:
        """Everything about new settings that can fail; ConfigError where it does, and nothing is changed."""
        flows = shadow = door = None
        if operator is not None and operator.flows is not None:
            from spoolbarrow.flows import exporter

            flows = exporter.Prepared(operator.flows)
        if operator is not None and operator.shadow is not None:
            for package in ("xxhash", "zstandard"):
                if find_spec(package) is None:
                    raise config.NeedsPackage("shadow", f"needs the package {package} (extra `shadow`)")
            from spoolbarrow.shadow import copier

            shadow = copier.Prepared(operator.shadow, settings)
        if operator is not None and operator.door is not None:
            if find_spec("xxhash") is None:
                raise config.NeedsPackage("door", "needs the package xxhash (extra `door`)")
            from spoolbarrow.door import keeper

            door = keeper.Prepared(operator.door, settings)
        failover = None if operator is None else operator.failover
        if failover is not None:
            from spoolbarrow.operator import zone_faults

            if faults := zone_faults(failover, settings.zones):
                raise faults[0]
        if operator is not None and operator.agree is not None and self._agreement is not None:
            self._agreement.refuse(settings, operator)
        return flows, shadow, door, failover

    def apply(self, operator: Operator | None, prepared: Prepared) -> None:
        """Go by settings that were prepared; what is not set is as without a file."""
        flows, shadow, door, failover = prepared
        self._operator = operator
        if operator is None:
            standard.configure()
        else:
            standard.configure(operator.log.level, operator.log.format)
        if flows is None:
            self._end_flows()
        elif self._flows is not None:
            self._flows.apply(flows)
        else:
            from spoolbarrow.flows.exporter import Exporter

            self._flows = Exporter(self._host, flows)
        if shadow is None:
            self._end_shadow()
        elif self._shadow is not None:
            self._shadow.apply(shadow)
        else:
            from spoolbarrow.shadow.copier import Copier

            self._shadow = Copier(self._host, shadow)
        if door is None:
            self._end_door()
        elif self._door is not None:
            self._door.apply(door)
        else:
            from spoolbarrow.door.keeper import Keeper

            self._door = Keeper(self._host, door)
        if failover is None:
            self._end_failover()
        elif self._failover is not None:
            self._failover.apply(failover)
        else:
            from spoolbarrow.net.failover import ZoneWatch

            self._failover = ZoneWatch(self._host, failover)
        if operator is None or operator.agree is None:
            self._end_agreement()
        elif self._agreement is not None:
            self._agreement.apply(self._host.config, operator)
        else:
            from spoolbarrow.net.agreement import Agreement

            self._agreement = Agreement(self._host, self._inbound, operator, self)
        if self._operations is not None:
            self._operations.agreement = self._agreement
        # Last: the others have seen the tenants as the files have them.
        if operator is None or operator.fleet is None:
            self._end_fleet()
        elif self._fleet is not None:
            self._fleet.apply(operator.fleet)
        else:
            from spoolbarrow.net.follow import Follower

            self._fleet = Follower(self._host, operator.fleet, self._shares_laid)

    def _shares_laid(self) -> None:
        """Tenants have other shares than their file says: the door goes by them, too."""
        if self._door is not None and self._operator is not None and self._operator.door is not None:
            from spoolbarrow.door import keeper

            self._door.apply(keeper.Prepared(self._operator.door, self._host.config))

    @property
    def failover(self) -> ZoneWatch | None:
        """Failover's watch, where it is on."""
        return self._failover

    def _read(self) -> tuple[config.Config, config.Config, Operator | None, Prepared]:
        """Both files as they are now: as read, as it fits this process, and all that can be prepared."""
        read, operator = self._descriptors.fit(config.load()), operators()
        settings = read if self._operations is None else self._operations.fit(read)
        return read, settings, operator, self.prepare(operator, settings)

    def check(self) -> tuple[dict[Item, str], int]:
        """The digests of what the files say now, and their revision; ConfigError where they can't be used."""
        _, settings, operator, _ = self._read()
        return self._contents(settings, operator)

    @staticmethod
    def _contents(settings: config.Config, operator: Operator | None) -> tuple[dict[Item, str], int]:
        from spoolbarrow.net.agreement import of_files

        if operator is None or operator.agree is None:
            remedy = "Keep the table `[agree]` in the operator's file."
            raise config.ConfigError("agree", "missing", remedy)
        return of_files(settings, operator), operator.agree.revision

    def reload(self, wanted: str = "") -> Problem | None:
        """Go by the configuration files as they are now, where they have the digest `wanted` or any will do.

        A faulty or late one changes nothing: why is logged and returned. One that comes while the program
        starts or another is carried out waits, and reads the files after that. It is carried out whole, also
        where its caller, who may be one of the operators' listener that it closes, is ended meanwhile.
        """
        problem: Problem | None = gevent.spawn(self._reload, wanted).get()
        return problem

    def _reload(self, wanted: str) -> Problem | None:
        with self.changing:
            if self._inbound.draining:
                log("reload_ignored", why="draining")
                return Draining("", "draining")
            try:
                self._act_on_files(wanted)
            except config.ConfigError as error:
                refused("reload_failed", error)
                return error
            return None

    def _act_on_files(self, wanted: str) -> None:
        """ConfigError, and nothing is changed, where the files can't be used."""
        operations = self._operations
        read, settings, operator, prepared = self._read()
        if wanted:
            from spoolbarrow.agree import files

            if files(self._contents(settings, operator)[0]) != wanted:
                raise FilesChanged("agree: the files are not what was checked")
        calls = None if operations is None else operations.prepare(read)
        try:
            self._inbound.apply(settings)  # the last that can fail
        except OSError as error:
            if calls is not None:
                calls.close()
            raise config.CannotListen("listen", str(error)) from error
        # No other greenlet runs between the reading of the files and this: the room was shared out there, and
        # another process of this router may come or go at any time.
        self._host.apply(settings)
        if operations is not None:
            operations.apply(read, calls)
        self.apply(operator, prepared)
        log("reloaded", name=settings.name, listen=f"{settings.listen[0]}:{settings.listen[1]}")

    def drain(self) -> None:
        """The router begins to end: copies do at once, so that live requests have the whole grace.

        Files that are being acted on are so whole first.
        """
        with self.changing:
            if self._shadow is not None:
                self._shadow.stop()

    def close(self) -> None:
        """End what is on, after `drain`."""
        if self._shadow is not None:
            self._shadow.close()
        if self._flows is not None:
            self._flows.close()

    def _end_shadow(self) -> None:
        if self._shadow is not None:
            self._shadow.stop()
            gevent.spawn(self._shadow.close)  # a disk may be slow
            self._shadow = None

    def _end_door(self) -> None:
        if self._door is not None:
            self._door.stop()
            self._door = None

    def _end_failover(self) -> None:
        if self._failover is not None:
            self._failover.stop()
            self._failover = None

    def _end_agreement(self) -> None:
        if self._agreement is not None:
            self._agreement.stop()
            self._agreement = None

    def _end_fleet(self) -> None:
        if self._fleet is not None:
            self._fleet.stop()
            self._fleet = None

    def _end_flows(self) -> None:
        if self._flows is not None:
            gevent.spawn(self._flows.close)  # collectors may be slow
            self._flows = None


def start(host: Host, inbound: Inbound, operations: Operations | None) -> None:
    """Listen and begin to decide; CannotListen where an address can't be had."""
    try:
        if operations is None:
            inbound.start()
            host.start()
        else:
            inbound.start(operations.inherited, operations.alone())
            operations.start(host, inbound)
    except OSError as error:
        raise config.CannotListen("listen", str(error)) from error


def main() -> int:
    """Serve until SIGTERM, then finish what was taken."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it must not end a program that is not up yet
    operations: Operations | None = None
    descriptors = Descriptors()
    try:
        settings, operator = descriptors.fit(config.load()), operators()
        if settings.control is not None or config.INHERITED in os.environ:
            from spoolbarrow.admin.operations import Operations

            operations = Operations(settings)
            settings = operations.fit(settings)
    except config.ConfigError as error:
        refused("bad_config", error)
        return error.status
    told_to_end = Event()
    gevent.signal_handler(signal.SIGTERM, told_to_end.set)
    gevent.signal_handler(signal.SIGINT, told_to_end.set)
    host = Host(settings)
    inbound = Inbound(settings, host)
    subsystems = Subsystems(host, inbound, operations, descriptors)
    try:
        subsystems.apply(operator, subsystems.prepare(operator, settings))
    except config.ConfigError as error:
        refused("bad_config", error)
        return error.status
    # Before it listens: what sends SIGHUP may know of no other sign that the program is up.
    gevent.signal_handler(signal.SIGHUP, subsystems.reload)
    try:
        with subsystems.changing:
            start(host, inbound, operations)
    except config.CannotListen as error:
        refused("bad_config", error)
        return error.status
    standard.start()
    gc.freeze()  # what is loaded by now lives as long as the process
    gc.enable()
    log("started", name=settings.name, listen=f"{settings.listen[0]}:{settings.listen[1]}")
    while not told_to_end.wait(TIDY_S):
        # Connections, parsers and requests refer to each other in rings. Left to its own thresholds, the
        # collector comes to the old ones so seldom that a busy minute's worth of them piles up.
        gc.collect()
    log("draining", open=host.open_requests())
    subsystems.drain()
    inbound.drain(operations.drain() if operations is not None else None)
    host.stop()
    if operations is not None:
        operations.close()
    subsystems.close()
    log("ended")
    standard.stop()
    return 0
