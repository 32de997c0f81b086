"""The versions that this process acts on: read off the configuration and the destinations, told and logged.

Owns the ledger of versions (`spoolbarrow.agree`) and the look at it each `period_ms`. It reads what others
own and changes nothing of it.
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

IN_COMMON = tuple(item for item in VersionedItem if "/" in item.value)  # followed from the store
OWN = ("node", "zone")  # of the settings: each router's own


def file_digests(config: Config, operator: Operator) -> dict[VersionedItem, str]:
    """The digests of what both files say, as it was understood."""
    settings: dict[str, Any] = to_builtins(config.settings)
    shares = settings.pop("tenants")
    for key in OWN:
        del settings[key]
    names = {key: getattr(config, key) for key in ("classes", "zones", "kinds")}
    rest = [settings, names, to_builtins(config.options), config.resumes_streams, config.probes_fetch_load]
    return {
        VersionedItem.SETTINGS: digest(rest),
        VersionedItem.SHARES: digest([shares, config.tenants]),
        VersionedItem.OPERATOR: digest(to_builtins(operator)),
    }


class ConfigFiles(Protocol):
    """Who reads both files, as at SIGHUP."""

    def check(self) -> tuple[dict[VersionedItem, str], int]:
        """The digests of what they say and their revision; ConfigError where they can't be acted on."""
        ...

    def reload(self, wanted: str = "") -> Problem | None:
        """Act on them, where they have this digest or any will do; else why not."""
        ...


class Destinations(Protocol):
    """What is known of the list and of operators' words on it."""

    def listing(self) -> object:
        """Another object than before once anything of it has changed."""
        ...

    def seen(self) -> tuple[int, object]:
        """The list's index, and its lines."""
        ...

    def all_suspended(self) -> object:
        """The names that operators suspended."""
        ...


class Surroundings(Protocol):
    """What is acted on besides the files."""

    config: Config

    @property
    def fleet(self) -> SharedState | None:
        """Where the store is followed."""
        ...

    @property
    def destinations(self) -> Destinations:
        """The list."""
        ...

    def now(self) -> float:
        """The clock, Unix ms."""
        ...


class Gate(Protocol):
    """Where clients come in."""

    def operator_drained(self) -> bool:
        """Whether an operator drained this router by hand."""
        ...


class Outdated(ConfigError):
    """Files would give a revision two meanings, or go back to an older one."""

    where = "agree.revision"
    remedy = "Raise `agree.revision` with each change, also where old contents come back."


class VersionMonitor:
    """The ledger of one process, looked at each period."""

    def __init__(self, host: Surroundings, gate: Gate, operator: Operator, files: ConfigFiles) -> None:
        self._host, self._gate, self._files = host, gate, files
        self.ledger = VersionTracker()
        self._listing: object = None
        self.apply(operator)
        self._loop = gevent.spawn(self._run)

    def check_revision(self, config: Config, operator: Operator) -> None:
        """Outdated where these files must not be acted on after those that are."""
        assert operator.agree is not None
        if why := self.ledger.refusal_reason(operator.agree.revision, file_digests(config, operator)):
            raise Outdated(why)

    def apply(self, operator: Operator) -> None:
        """These files are acted on from now on."""
        assert operator.agree is not None
        self._table = operator.agree
        for item, contents in file_digests(self._host.config, operator).items():
            self._note(item, self._table.revision, contents)

    def stop(self) -> None:
        """Look no more."""
        self._loop.kill(block=False)

    def check(self) -> dict[str, Any]:
        """What would be acted on with the files as they are now; ConfigError, and nothing is changed."""
        contents, revision = self._files.check()
        versions = {item.value: told for item, told in contents.items()}
        return {
            "router": self._host.config.name,
            "revision": revision,
            "versions": versions,
            "files": files_digest(contents),
        }

    def adopt(self, wanted: str) -> None:
        """Act on the files as they are now, where their digest is this one; a Problem where that fails."""
        if problem := self._files.reload(wanted):
            raise problem

    def look(self) -> None:
        """Note what has changed of the list and of operators' words."""
        destinations = self._host.destinations
        if self._listing is not destinations.listing():
            self._listing = destinations.listing()
            index, lines = destinations.seen()
            self._note(VersionedItem.LIST, index, digest(lines))
            self._note(VersionedItem.SUSPENSIONS, 0, digest(destinations.all_suspended()))
        self._note(VersionedItem.DRAIN, 0, digest(self._gate.operator_drained()))
        told = {} if self._host.fleet is None else self._host.fleet.versions()
        for item in IN_COMMON:
            if item.value in told:
                self._note(item, *told[item.value])
            elif self.ledger.versions.pop(item, None) is not None:
                log("version", item=item.value, number=0, digest="")

    def status(self) -> dict[str, Any]:
        """Every version as it is now, for an operator."""
        self.look()
        fleet = self._host.fleet
        return {
            **({} if fleet is None else {"fleet": fleet.status()}),
            "agree": "on",
            "router": self._host.config.name,
            "within_s": self._table.within_s,
            "now_ms": self._host.now(),
            "versions": {item.value: to_builtins(v) for item, v in self.ledger.versions.items()},
        }

    def _note(self, item: VersionedItem, number: int, contents: str) -> None:
        if self.ledger.record(self._host.now(), item, number, contents):
            log("version", item=item.value, number=number, digest=contents)

    def _run(self) -> None:
        while True:
            gevent.sleep(self._table.period_ms / 1000)
            try:
                self.look()
            except Exception as error:  # never into serving
                log_exception("agreement", error)
