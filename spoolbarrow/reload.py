"""The configuration files: read at the start and again on request, and acted on whole or not at all.

Owns the order of changes: a start, a reload and the beginning of a drain never run inside each other.
"""

from __future__ import annotations

import os
import resource
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore
from msgspec import Struct

from spoolbarrow import config
from spoolbarrow.errors import Problem
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import log, log_problem
from spoolbarrow.subsystems import Prepared, Subsystems

if TYPE_CHECKING:
    from spoolbarrow.admin.coordinator import Coordinator
    from spoolbarrow.agree import VersionedItem
    from spoolbarrow.operator import Operator

OPERATOR = "SPOOLBARROW_"  # what begins so in the environment is the operator's


class RouterDraining(Problem):
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


class DescriptorLimit:
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
        return config.fit_descriptors(settings, settings.limits.sockets if soft < 0 else soft, self._held)


class FilesRead(Struct, frozen=True):
    """Both files as they are now."""

    read: config.Config  # as the file says
    settings: config.Config  # as it fits this process
    prepared: Prepared


class Reloader:
    """Has the router go by its files."""

    def __init__(
        self, host: Host, inbound: Inbound, operations: Coordinator | None, descriptors: DescriptorLimit
    ) -> None:
        self._host, self._inbound, self._operations = host, inbound, operations
        self._descriptors = descriptors
        self.subsystems = Subsystems(host, inbound, operations, self)
        # Held while the program starts, goes by other files, or begins to end: one of these at a time.
        self.changing = BoundedSemaphore(1)

    def _read(self) -> FilesRead:
        read, operator = self._descriptors.fit(config.load()), operators()
        settings = read if self._operations is None else self._operations.fit(read)
        return FilesRead(read, settings, self.subsystems.prepare(operator, settings))

    def check(self) -> tuple[dict[VersionedItem, str], int]:
        """The digests of what the files say now, and their revision; ConfigError where they can't be used."""
        return self._contents(self._read())

    @staticmethod
    def _contents(files: FilesRead) -> tuple[dict[VersionedItem, str], int]:
        operator = files.prepared.operator
        from spoolbarrow.net.version_monitor import file_digests

        if operator is None or operator.agree is None:
            remedy = "Keep the table `[agree]` in the operator's file."
            raise config.ConfigError("agree", "missing", remedy)
        return file_digests(files.settings, operator), operator.agree.revision

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
            if self._inbound.drainer.state.process_ending():
                log("reload_ignored", why="draining")
                return RouterDraining("", "draining")
            try:
                self._act_on_files(wanted)
            except config.ConfigError as error:
                log_problem("reload_failed", error)
                return error
            return None

    def _act_on_files(self, wanted: str) -> None:
        """ConfigError, and nothing is changed, where the files can't be used."""
        operations = self._operations
        files = self._read()
        read, settings = files.read, files.settings
        if wanted:
            from spoolbarrow import agree

            if agree.files_digest(self._contents(files)[0]) != wanted:
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
        self.subsystems.apply(files.prepared)
        log("reloaded", name=settings.name, listen=f"{settings.listen[0]}:{settings.listen[1]}")

    def drain(self) -> None:
        """The router begins to end; files that are being acted on are so whole first."""
        with self.changing:
            self.subsystems.drain()
