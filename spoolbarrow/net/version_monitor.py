"""Tracks, reports and logs the versions in effect in this process, of its configuration and shared documents.

Owns the version tracker (`spoolbarrow.agree`) and refreshes it every `period_ms`. It reads the state of other
modules and does not change it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import gevent
from msgspec import to_builtins

from spoolbarrow.agree import VersionedItem, VersionTracker, digest, files_digest
from spoolbarrow.config import Config, ConfigError
from spoolbarrow.errors import Problem
from spoolbarrow.net.log import log, log_exception

if TYPE_CHECKING:
    from spoolbarrow.fleet.documents import SharedState
    from spoolbarrow.operator import Operator

SHARED_ITEMS = tuple(item for item in VersionedItem if "/" in item.value)  # read from the store
OWN_SETTINGS = ("node", "zone")  # settings that differ between routers


def file_digests(config: Config, operator: Operator) -> dict[VersionedItem, str]:
    """The digests of the parsed contents of both files."""
    settings: dict[str, Any] = to_builtins(config.settings)
    shares = settings.pop("tenants")
    for key in OWN_SETTINGS:
        del settings[key]
    names = {key: getattr(config, key) for key in ("classes", "zones", "kinds")}
    rest = [settings, names, to_builtins(config.options), config.resumes_streams, config.probes_fetch_load]
    return {
        VersionedItem.SETTINGS: digest(rest),
        VersionedItem.SHARES: digest([shares, config.tenants]),
        VersionedItem.OPERATOR: digest(to_builtins(operator)),
    }


class ConfigFiles(Protocol):
    """Reads both files, as on SIGHUP."""

    def check(self) -> tuple[dict[VersionedItem, str], int]:
        """The digests of their contents and their revision; ConfigError if they can't be applied."""
        ...

    def reload(self, wanted: str = "") -> Problem | None:
        """Apply them if they have the `wanted` digest or that is empty; return the problem otherwise."""
        ...


class Destinations(Protocol):
    """The list of endpoints and operators' suspensions."""

    def listing(self) -> object:
        """The list; a different object after each change."""
        ...

    def seen(self) -> tuple[int, object]:
        """The list's index, and its lines."""
        ...

    def suspended_names(self) -> object:
        """The names of suspended endpoints."""
        ...


class Surroundings(Protocol):
    """The state in effect besides the files."""

    config: Config

    @property
    def fleet(self) -> SharedState | None:
        """The state shared through the store, if that is followed."""
        ...

    @property
    def destinations(self) -> Destinations:
        """The list of endpoints."""
        ...

    def now(self) -> float:
        """The clock, Unix ms."""
        ...


class Gate(Protocol):
    """The inbound side."""

    def operator_drained(self) -> bool:
        """Whether an operator drained this router."""
        ...


class Outdated(ConfigError):
    """The files have an older revision, or the same one with other contents."""

    where = "agree.revision"
    remedy = "Raise `agree.revision` with each change, also when restoring old contents."


class VersionMonitor:
    """The versions of one process, refreshed each period."""

    def __init__(self, host: Surroundings, gate: Gate, operator: Operator, files: ConfigFiles) -> None:
        self._host, self._gate, self._files = host, gate, files
        self.ledger = VersionTracker()
        self._listing: object = None
        self.apply(operator)
        self._loop = gevent.spawn(self._run)

    def check_revision(self, config: Config, operator: Operator) -> None:
        """Raise Outdated if these files must not replace those in effect."""
        assert operator.agree is not None
        if why := self.ledger.refusal_reason(operator.agree.revision, file_digests(config, operator)):
            raise Outdated(why)

    def apply(self, operator: Operator) -> None:
        """Record the versions of files that are in effect from now on."""
        assert operator.agree is not None
        self._table = operator.agree
        for item, contents in file_digests(self._host.config, operator).items():
            self._record(item, self._table.revision, contents)

    def stop(self) -> None:
        """Stop refreshing."""
        self._loop.kill(block=False)

    def check(self) -> dict[str, Any]:
        """The versions that applying the current files would give; may raise ConfigError, changes nothing."""
        contents, revision = self._files.check()
        versions = {item.value: value for item, value in contents.items()}
        return {
            "router": self._host.config.name,
            "revision": revision,
            "versions": versions,
            "files": files_digest(contents),
        }

    def adopt(self, wanted: str) -> None:
        """Apply the current files if they have the `wanted` digest; raises the Problem if that fails."""
        if problem := self._files.reload(wanted):
            raise problem

    def refresh(self) -> None:
        """Record changes of the list, suspensions, the drain and shared documents."""
        destinations = self._host.destinations
        if self._listing is not destinations.listing():
            self._listing = destinations.listing()
            index, lines = destinations.seen()
            self._record(VersionedItem.LIST, index, digest(lines))
            self._record(VersionedItem.SUSPENSIONS, 0, digest(destinations.suspended_names()))
        self._record(VersionedItem.DRAIN, 0, digest(self._gate.operator_drained()))
        versions = {} if self._host.fleet is None else self._host.fleet.versions()
        for item in SHARED_ITEMS:
            if item.value in versions:
                self._record(item, *versions[item.value])
            elif self.ledger.versions.pop(item, None) is not None:
                log("version", item=item.value, number=0, digest="")

    def status(self) -> dict[str, Any]:
        """All current versions, for an operator."""
        self.refresh()
        fleet = self._host.fleet
        return {
            **({} if fleet is None else {"fleet": fleet.status()}),
            "agree": "on",
            "router": self._host.config.name,
            "within_s": self._table.within_s,
            "now_ms": self._host.now(),
            "versions": {item.value: to_builtins(v) for item, v in self.ledger.versions.items()},
        }

    def _record(self, item: VersionedItem, number: int, contents: str) -> None:
        if self.ledger.record(self._host.now(), item, number, contents):
            log("version", item=item.value, number=number, digest=contents)

    def _run(self) -> None:
        while True:
            gevent.sleep(self._table.period_ms / 1000)
            try:
                self.refresh()
            except Exception as error:  # must not disturb serving
                log_exception("agreement", error)
