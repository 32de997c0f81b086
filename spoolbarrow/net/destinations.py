"""Keeps the set of endpoints that discovery lists, and which of them are in service.

An endpoint is in service if discovery says so and neither an operator nor failover has taken it out. To the
decision module, an endpoint that was taken out is reported as draining, and its return as a start. The list
comes from `net/discovery_watch.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.config import Address, Config, ConfigError, HostList, ListEntry, parse_address
from spoolbarrow.errors import Problem
from spoolbarrow.net.discovery_watch import DiscoveryWatch
from spoolbarrow.net.excluded_endpoints import Excluded, ExcludedEndpoints
from spoolbarrow.net.log import log
from spoolbarrow.net.replaced_endpoints import ReplacedEndpoints
from spoolbarrow.wire import STATES

MAX_SUSPENDED = 4096  # names; kept while their endpoints are unlisted, so that only operators remove them


class NoRoom(Problem):
    """The limit of suspended endpoints is reached."""

    where = "none"
    remedy = "Resume suspended engines that are no longer listed, by `POST /v1/engines/ID/resume`."


STALE_START_MS = 60_000.0  # a start reported as a change but older than this comes from a wrong clock


class ListedEndpoint(NamedTuple):
    """An endpoint that discovery lists."""

    line: ListEntry  # the last report from discovery
    address: Address
    incarnation: int  # changes with each restart, move or return
    started_at: float  # ms, on the host's clock; never later than the report of it

    def serving(self) -> bool:
        """Whether it is in service according to discovery."""
        return STATES[self.line.status] is i.ReplicaState.SERVING


class DestinationSet:
    """The listed endpoints by name: address, state, suspension.

    `tell` is called with each change, as an event for the decision module; `left` with the name of each
    endpoint that leaves service or restarts.
    """

    def __init__(
        self,
        config: Config,
        tell: Callable[[i.ReplicaList], None],
        left: Callable[[str], None],
        now: Callable[[], float],
    ) -> None:
        self._config, self._notify, self._on_left = config, tell, left
        self._now = now
        self._listed: dict[str, ListedEndpoint] = {}
        self._suspended: set[str] = set()  # by an operator, at this router
        self._shared_suspended: frozenset[str] = frozenset()  # by the document shared by all routers
        self._listing: dict[str, tuple[str, bool]] | None = None  # cache of `listing`; None: outdated
        self._resumed: dict[str, float] = {}  # resume times of listed endpoints, which may have restarted
        self._discovery = DiscoveryWatch(config, self, tell, now)
        self._replaced = ReplacedEndpoints()  # at whose addresses others have come up
        self._next_incarnation = count(1)
        self._serving: set[str] = set()
        self._list_received = False  # from discovery, by this process
        self._excluded = ExcludedEndpoints()
        self._failed_zones: frozenset[str] = frozenset()  # by failover; treated like suspended
        self._returning_zones: dict[str, float] = {}  # by zone, when its endpoints began their slow start
        self.verdicts: dict[str, dict[str, object]] | None = None  # of failover, by zone or region; None: off

    def apply(self, config: Config) -> None:
        """Apply a new configuration; the endpoints stay unchanged until discovery's next list."""
        old, self._config = self._config, config
        if (config.zones, config.kinds, config.settings.zone) != (old.zones, old.kinds, old.settings.zone):
            # Queued updates may hold the old numbers of zones and types, so the current list is reported
            # again, as RESTORED: any other kind would count as an answer from discovery.
            lines = tuple(self._replica_entry(listed) for listed in self._listed.values())
            self._notify(i.ReplicaList(i.ListKind.RESTORED, lines))
        self._discovery.apply(config)

    def watch(self, pause_ms: float = 0.0) -> None:
        """Watch discovery from now on, or after `pause_ms`."""
        self._discovery.watch(pause_ms)

    def ensure_watch(self) -> None:
        """Watch discovery, unless calls to it are in flight."""
        self._discovery.ensure_watch()

    def await_first_list(self) -> None:
        """Watch discovery, and wait briefly for the list of an agent on this machine."""
        self._discovery.await_first_list()

    def close(self) -> None:
        """Stop watching discovery permanently."""
        self._discovery.close()

    def exclude(self, kind: str, group: int, tell: Callable[[list[Excluded]], None]) -> None:
        """Keep endpoints of a type or group out of service; `tell` gets all of them, now and at each change.

        An empty type and a negative group exclude nothing. When they change, matching endpoints leave service
        at once and the whole list is requested again: until then, formerly excluded ones stay out of service.
        """
        if self._excluded.configure(kind, group, tell):
            leaving = [n for n, e in self._listed.items() if self._excluded.matches(e.line)]
            for name in leaving:
                listed = self._listed[name]
                self._excluded.add(
                    Excluded(name, listed.address, name in self._serving, listed.line.since_ms)
                )
                self._forget(name)
            if leaving:
                gone = [i.ReplicaEntry(name, state=i.ReplicaState.GONE) for name in leaving]
                self._notify(i.ReplicaList(i.ListKind.CHANGES, tuple(gone)))
            self._discovery.request_whole_list()
        self._excluded.notify()

    def any_serving(self) -> bool:
        """Whether any endpoint is in service."""
        return bool(self._serving)

    def any_listed_serving(self) -> bool:
        """Whether any endpoint is in service according to discovery, suspended or not."""
        return any(listed.serving() for listed in self._listed.values())

    def address(self, name: str) -> Address | None:
        """Where an endpoint listens."""
        listed = self._listed.get(name)
        return None if listed is None else listed.address

    def incarnation(self, name: str) -> int:
        """A number that changes with each restart, move or return of the endpoint; 0: not listed."""
        listed = self._listed.get(name)
        return 0 if listed is None else listed.incarnation

    def serving(self, name: str) -> bool:
        """Whether the endpoint accepts new work, as far as this router knows."""
        return name in self._serving

    def starting(self, name: str) -> bool:
        """Whether the endpoint is in its slow start, by its reported start."""
        listed = self._listed.get(name)
        return (
            listed is not None and self._now() < self._slow_start_at(listed) + self._config.settings.cold_ms
        )

    def names(self) -> list[str]:
        """The listed endpoints, including draining ones."""
        return list(self._listed)

    def suspended(self, name: str) -> bool:
        """Whether operators have suspended it."""
        return name in self._suspended or name in self._shared_suspended

    def has(self, name: str) -> bool:
        """Whether an operator can name this endpoint: it is listed, or was when it was suspended."""
        return name in self._listed or name in self._suspended

    def listing(self) -> dict[str, tuple[str, bool]]:
        """Each listed endpoint's zone, and whether it is in service by discovery and operators.

        Returns the same object until that changes; callers must not modify it.
        """
        if self._listing is None:
            self._listing = {
                name: (listed.line.zone, listed.serving() and not self.suspended(name))
                for name, listed in self._listed.items()
            }
        return self._listing

    def seen(self) -> tuple[int, list[ListEntry]]:
        """The list's index and its lines by name, without the addresses, which may differ between routers."""
        lines = [replace(self._listed[name].line, address="") for name in sorted(self._listed)]
        return self._discovery.index or 0, lines

    def suspended_names(self) -> list[str]:
        """The endpoints that operators suspended at this router."""
        return sorted(self._suspended)

    def apply_zone_verdicts(
        self, out: frozenset[str], back: dict[str, float], verdicts: dict[str, dict[str, object]] | None
    ) -> None:
        """Apply failover's verdicts: zones `out` get no new work, zones `back` restarted then (ms)."""
        self.verdicts = verdicts
        changed = (out ^ self._failed_zones) | {
            z
            for z in back.keys() | self._returning_zones.keys()
            if back.get(z) != self._returning_zones.get(z)
        }
        self._failed_zones, self._returning_zones = out, dict(back)
        for name, listed in list(self._listed.items()):
            if listed.line.zone not in changed:
                continue
            if self._replica_entry(listed).state is i.ReplicaState.SERVING:
                self._serving.add(name)
            else:
                self._serving.discard(name)
                self._on_left(name)
            self._notify_again(name)

    def suspend(self, name: str) -> None:
        """Take an endpoint out of service, regardless of discovery, until it is resumed; may raise NoRoom."""
        if name in self._suspended:
            return
        if len(self._suspended) >= MAX_SUSPENDED:
            raise NoRoom("", f"{MAX_SUSPENDED} endpoints are suspended: resume one that is no longer listed")
        self._suspended.add(name)
        self._take_out(name)

    def resume(self, name: str) -> None:
        """End an endpoint's suspension; if it is in service, it counts as started now."""
        if name not in self._suspended:
            return
        self._suspended.discard(name)
        self._take_back(name)

    def set_shared_suspensions(self, names: frozenset[str]) -> None:
        """Set the suspensions shared by all routers; they add to those made at this router."""
        old, self._shared_suspended = self._shared_suspended, names
        for name in sorted(names ^ old):
            if name in self._suspended:
                continue
            if name in names:
                self._take_out(name)
            else:
                self._take_back(name)

    def _take_out(self, name: str) -> None:
        self._listing = None
        self._serving.discard(name)
        self._on_left(name)
        self._notify_again(name)

    def _take_back(self, name: str) -> None:
        self._listing = None
        if name in self._listed and not self.suspended(name):
            self._resumed[name] = self._now()
            if self._listed[name].serving():
                self._serving.add(name)
        self._notify_again(name)

    def export(self) -> tuple[HostList, dict[str, float]]:
        """The list as known to this router, and when operators resumed endpoints on it."""
        # Excluded endpoints are not exported and are only reported in a whole list, which discovery sends
        # in answer to version 0.
        index = 0 if self._excluded.any_matching() else self._discovery.index or 0
        return HostList(index, True, [endpoint.line for endpoint in self._listed.values()]), dict(
            self._resumed
        )

    def restore(self, known: HostList | None = None, resumed: dict[str, float] | None = None) -> None:
        """Start from the last known list: as configured, or as passed by another process."""
        known = self._config.known if known is None else known
        self._discovery.index, self._resumed = known.index, dict(resumed or {})
        self.apply_list(known, i.ListKind.RESTORED)

    def _notify_again(self, name: str) -> None:
        if name in self._listed:
            self._notify(i.ReplicaList(i.ListKind.CHANGES, (self._replica_entry(self._listed[name]),)))

    def _slow_start_at(self, listed: ListedEndpoint) -> float:
        """When an endpoint began its slow start, ms on the host's clock."""
        resumed = self._resumed.get(listed.line.name, 0.0)
        return max(listed.started_at, resumed, self._returning_zones.get(listed.line.zone, 0.0))

    def _replica_entry(self, listed: ListedEndpoint) -> i.ReplicaEntry:
        """An endpoint's entry for the decision module: suspensions and failover override discovery."""
        config, line = self._config, listed.line
        entry = i.ReplicaEntry(
            line.name,
            config.zones.get(line.zone, config.settings.zone),
            config.kinds.get(line.type, 0),
            line.group,
            STATES[line.status],
            line.weight,
            listed.started_at,
        )
        out = self.suspended(entry.replica) or line.zone in self._failed_zones
        out = out or self._replaced.has(entry.replica)
        if out and entry.state is i.ReplicaState.SERVING:
            return replace(entry, state=i.ReplicaState.DRAINING)
        started_at = self._slow_start_at(listed)
        return replace(entry, started_at_ms=started_at) if started_at > entry.started_at_ms else entry

    def apply_list(self, host_list: HostList, kind: i.ListKind) -> None:
        """Apply a list, or changes of it, and notify the decision module."""
        if kind is not i.ListKind.CHANGES:
            for name in self._listed.keys() - {entry.name for entry in host_list.endpoints}:
                self._forget(name)
            self._excluded.clear()
        is_change = kind is i.ListKind.CHANGES and self._list_received
        self._list_received = self._list_received or kind in (i.ListKind.CHANGES, i.ListKind.WHOLE)
        entries, any_excluded = [], False
        for entry in host_list.endpoints:
            if self._excluded.matches(entry):
                any_excluded = True
                self._excluded.update(entry)
                if entry.name in self._listed:  # it was in service until now
                    self._forget(entry.name)
                    entries.append(i.ReplicaEntry(entry.name, state=i.ReplicaState.GONE))
                continue
            before = self.incarnation(entry.name)
            if not self._accept_entry(entry, is_change):
                continue
            has_come = kind is i.ListKind.CHANGES and self.incarnation(entry.name) != before
            replaced = self._replaced.find(entry.name, self._listed, has_come)
            entries += [self._take_out_replaced(name) for name in replaced]
            replica_entry = self._replica_entry(self._listed[entry.name])
            entries.append(replica_entry)
            if replica_entry.state is i.ReplicaState.SERVING:
                self._serving.add(entry.name)
            elif replica_entry.state is i.ReplicaState.DRAINING:
                self._serving.discard(entry.name)
                self._on_left(entry.name)
            else:
                self._forget(entry.name)
        if any_excluded or kind is not i.ListKind.CHANGES:
            self._excluded.notify()
        serving = len(self._serving)
        log(
            "destinations",
            kind=kind.name.lower(),
            index=host_list.index,
            changed=len(entries),
            serving=serving,
        )
        self._notify(i.ReplicaList(kind, tuple(entries)))

    def _take_out_replaced(self, name: str) -> i.ReplicaEntry:
        log("endpoint_replaced", name=name, address=self._listed[name].line.address)
        self._serving.discard(name)
        self._on_left(name)
        return self._replica_entry(self._listed[name])

    def _forget(self, name: str) -> None:
        """Remove an endpoint from all tables, so that they do not grow with every endpoint ever listed."""
        self._replaced.forget(name)
        self._serving.discard(name)
        self._listed.pop(name, None)
        self._listing = None
        self._resumed.pop(name, None)
        self._on_left(name)

    def _accept_entry(self, entry: ListEntry, is_change: bool) -> bool:
        """Store a line's contents and return True; an invalid line is logged and skipped."""
        try:
            listen_address = parse_address("address", entry.address)
        except ConfigError:
            listen_address = None
        if entry.status not in STATES or listen_address is None:
            log("bad_entry", name=entry.name, address=entry.address, status=entry.status)
            return False
        previous = self._listed.get(entry.name)
        if previous is not None and (previous.address, previous.line.since_ms) == (
            listen_address,
            entry.since_ms,
        ):
            incarnation, started_at = previous.incarnation, previous.started_at
        else:  # it moved or restarted: connections to its old process are useless, idle or not
            started = previous is None or previous.line.since_ms != entry.since_ms  # otherwise it moved
            incarnation = next(self._next_incarnation)
            started_at = self._estimate_start(entry, is_change and started)
            self._on_left(entry.name)
        self._listed[entry.name] = ListedEndpoint(entry, listen_address, incarnation, started_at)
        self._listing = None
        return True

    def _estimate_start(self, entry: ListEntry, is_change: bool) -> float:
        """When an endpoint started, ms on the host's clock, corrected for wrong wall clocks.

        Protects the slow start if this machine's or the endpoint's wall clock was wrong. A start in the
        future counts as now, and so does an old start that is reported as a new change. Both err towards a
        slow start, for one slow start at most.
        """
        now = self._now()
        if is_change and 0.0 < entry.since_ms < now - STALE_START_MS and entry.status == "in_service":
            return now
        return min(entry.since_ms, now)
