"""Reads both configuration files at the start and at each reload, and applies them completely or not at all.

Serializes changes: a start, a reload and the beginning of a drain never overlap.
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

OPERATOR_PREFIX = "SPOOLBARROW_"  # prefix of environment variables of the operator's settings


class RouterDraining(Problem):
    """A router that is shutting down is asked to adopt its files."""

    remedy = "Send the call to the process that replaces it, which reads the current files when it starts."


class FilesChanged(config.ConfigError):
    """Files to be adopted have changed since they were checked."""

    remedy = "Run `spoolbarrow agree apply` again once the files are final."


def load_operator() -> Operator | None:
    """The operator's settings, if there are any; raises ConfigError if they are invalid."""
    if not any(name.startswith(OPERATOR_PREFIX) for name in os.environ):
        return None
    from spoolbarrow import operator

    return operator.load()


class DescriptorLimit:
    """The descriptor limit of this process: the lower of its own and the platform's."""

    def __init__(self) -> None:
        # Listing the directory itself takes one.
        self._open_at_start = len(os.listdir("/proc/self/fd")) - 1

    def fit(self, settings: config.Config) -> config.Config:
        """Fit a configuration to this process; raises ConfigError if that is impossible.

        A soft limit below the platform's is raised as far as the process may: shells set low soft limits.
        """
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        limit = settings.limits.sockets if hard < 0 else min(hard, settings.limits.sockets)
        if 0 <= soft < limit:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
            soft = limit
        return config.fit_descriptors(
            settings, settings.limits.sockets if soft < 0 else soft, self._open_at_start
        )


class FilesRead(Struct, frozen=True):
    """Both files as last read."""

    read: config.Config  # as written in the file
    settings: config.Config  # as fitted to this process
    prepared: Prepared


class Reloader:
    """Applies the configuration files to the running router."""

    def __init__(
        self, host: Host, inbound: Inbound, coordinator: Coordinator | None, descriptors: DescriptorLimit
    ) -> None:
        self._host, self._inbound, self._coordinator = host, inbound, coordinator
        self._descriptors = descriptors
        self.subsystems = Subsystems(host, inbound, coordinator, self)
        # Held during the start, a reload, and the beginning of a drain: one of these at a time.
        self.change_lock = BoundedSemaphore(1)

    def _read_files(self) -> FilesRead:
        read, operator = self._descriptors.fit(config.load()), load_operator()
        settings = read if self._coordinator is None else self._coordinator.fit(read)
        return FilesRead(read, settings, self.subsystems.prepare(operator, settings))

    def check(self) -> tuple[dict[VersionedItem, str], int]:
        """The digests of the current files, and their revision; raises ConfigError if they are invalid."""
        return self._digests(self._read_files())

    @staticmethod
    def _digests(files: FilesRead) -> tuple[dict[VersionedItem, str], int]:
        operator = files.prepared.operator
        from spoolbarrow.net.version_monitor import file_digests

        if operator is None or operator.agree is None:
            remedy = "Keep the table `[agree]` in the operator's file."
            raise config.ConfigError("agree", "missing", remedy)
        return file_digests(files.settings, operator), operator.agree.revision

    def reload(self, wanted: str = "") -> Problem | None:
        """Apply the configuration files as they are now, if their digest is `wanted`, or any if it is empty.

        Invalid files, or a call while draining, change nothing: the reason is logged and returned. A call
        during the start or another reload waits, and reads the files after that. It is completed even if its
        caller is killed meanwhile, who may be a connection of the control listener that the reload closes.
        """
        problem: Problem | None = gevent.spawn(self._reload, wanted).get()
        return problem

    def _reload(self, wanted: str) -> Problem | None:
        with self.change_lock:
            if self._inbound.drainer.state.process_ending():
                log("reload_ignored", why="draining")
                return RouterDraining("", "draining")
            try:
                self._apply_files(wanted)
            except config.ConfigError as error:
                log_problem("reload_failed", error)
                return error
            return None

    def _apply_files(self, wanted: str) -> None:
        """Raises ConfigError, changing nothing, if the files are invalid."""
        coordinator = self._coordinator
        files = self._read_files()
        read, settings = files.read, files.settings
        if wanted:
            from spoolbarrow import agree

            if agree.files_digest(self._digests(files)[0]) != wanted:
                raise FilesChanged("agree: the files have changed since the check")
        listener = None if coordinator is None else coordinator.prepare(read)
        try:
            self._inbound.apply(settings)  # the last step that can fail
        except OSError as error:
            if listener is not None:
                listener.close()
            raise config.CannotListen("listen", str(error)) from error
        # No other greenlet runs between reading the files and this call: the connection limits were split
        # between processes then, and another process of this router may start or end at any time.
        self._host.apply(settings)
        if coordinator is not None:
            coordinator.apply(read, listener)
        self.subsystems.apply(files.prepared)
        log("reloaded", name=settings.name, listen=f"{settings.listen[0]}:{settings.listen[1]}")

    def drain(self) -> None:
        """Begin shutting down; a reload in progress is completed first."""
        with self.change_lock:
            self.subsystems.drain()
