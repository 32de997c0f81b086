"""The destination set: the endpoints that discovery lists, and which of them are in service.

An endpoint is in service if discovery says so and neither an operator nor failover has taken it out. The
decisions are told of an endpoint that was taken out as one that drains, and of its return as a start. The
list comes from `net/discovery_watch.py`.
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
from spoolbarrow.net.log import log
from spoolbarrow.wire import STATES

MAX_SUSPENDED = 4096  # names; they stay while their endpoints are gone, so only operators take them out


class NoRoom(Problem):
    """As many endpoints are suspended as can be."""

    where = "none"
    remedy = "Resume suspended engines that are gone, by `POST /v1/engines/ID/resume`."


STALE_NEWS_MS = 60_000.0  # a start that is told as a change and was so long ago was told by a wrong clock


class Listed(NamedTuple):
    """An endpoint that discovery lists."""

    line: ListEntry  # what discovery said last
    address: Address
    incarnation: int  # another number after each restart, move or return
    started_at: float  # ms, on the host's clock; never after it was heard of

    def serving(self) -> bool:
        """Whether discovery has it in service."""
        return STATES[self.line.status] is i.ReplicaState.SERVING


class DestinationSet:
    """The listed endpoints by name: address, state, suspension.

    `tell` gets each change as an event for the decisions; `left` the name of each endpoint that leaves
    service or restarts.
    """

    def __init__(
        self,
        config: Config,
        tell: Callable[[i.ReplicaList], None],
        left: Callable[[str], None],
        now: Callable[[], float],
    ) -> None:
        self._config, self._tell, self._left = config, tell, left
        self._now = now
        self._listed: dict[str, Listed] = {}
        self._suspended: set[str] = set()  # by hand, at this router
        self._shared: frozenset[str] = frozenset()  # by the document that all routers share
        self._listing: dict[str, tuple[str, bool]] | None = None  # of both; None: to be made anew
        self._resumed: dict[str, float] = {}  # when, of those listed: they may have been restarted meanwhile
        self._discovery = DiscoveryWatch(config, self, tell, now)
        self._next_incarnation = count(1)
        self._serving: set[str] = set()
        self._heard = False  # discovery has told this process a list
        # Endpoints of this type, or of this group, never serve: they are told to `_aside_tell`.
        self._aside_type, self._aside_group = "", -1
        self._excluded: dict[str, tuple[str, Address, bool, float]] = {}
        self._aside_tell: Callable[[list[tuple[str, Address, bool, float]]], None] | None = None
        self._zones_out: frozenset[str] = frozenset()  # failed by failover's verdict: like suspended
        self._zones_back: dict[str, float] = {}  # returning since, by zone: its endpoints began anew then
        self.verdicts: dict[str, dict[str, object]] | None = None  # failover's, by zone and region; None: off

    def apply(self, config: Config) -> None:
        """Go by a new configuration; the endpoints stay as they are until discovery's next list has come."""
        old, self._config = self._config, config
        if (config.zones, config.kinds, config.settings.zone) != (old.zones, old.kinds, old.settings.zone):
            # News may wait that has the old numbers of zones and types. The list is told as it was last
            # taken, and as restored: any other kind would count as an answer from discovery.
            lines = tuple(self._masked(listed) for listed in self._listed.values())
            self._tell(i.ReplicaList(i.ListKind.RESTORED, lines))
        self._discovery.apply(config)

    def watch(self, pause_ms: float = 0.0) -> None:
        """Watch discovery from now on, or after a pause."""
        self._discovery.watch(pause_ms)

    def ask(self) -> None:
        """Watch discovery, unless calls to it are on their way."""
        self._discovery.ask()

    def hear_first(self) -> None:
        """Watch discovery, and wait a moment for the list of an agent on this machine."""
        self._discovery.hear_first()

    def close(self) -> None:
        """Stop watching discovery, for good."""
        self._discovery.close()

    def exclude(
        self, kind: str, group: int, tell: Callable[[list[tuple[str, Address, bool, float]]], None]
    ) -> None:
        """Keep endpoints of a type or a group out of service; `tell` hears them all, now and at each change.

        An empty type, a negative group: none. Where they change, endpoints that are meant leave service at
        once, and the whole list is asked for again: until it has come, those set aside before serve nobody.
        """
        changed = (kind, group) != (self._aside_type, self._aside_group)
        self._aside_type, self._aside_group, self._aside_tell = kind, group, tell
        if changed:
            self._excluded.clear()
            leaving = [n for n, one in self._listed.items() if self._is_aside(one.line.type, one.line.group)]
            for name in leaving:
                listed = self._listed[name]
                self._excluded[name] = (name, listed.address, name in self._serving, listed.line.since_ms)
                self._forget(name)
            if leaving:
                gone = [i.ReplicaEntry(name, state=i.ReplicaState.GONE) for name in leaving]
                self._tell(i.ReplicaList(i.ListKind.CHANGES, tuple(gone)))
            self._discovery.start_over()
        tell(list(self._excluded.values()))

    def _is_aside(self, kind: str, group: int) -> bool:
        return (self._aside_type != "" and kind == self._aside_type) or group == self._aside_group

    def _set_aside(self, entry: ListEntry) -> None:
        try:
            where = parse_address("address", entry.address)
        except ConfigError:
            self._excluded.pop(entry.name, None)
            return
        if entry.status == "terminated":
            self._excluded.pop(entry.name, None)
        else:
            self._excluded[entry.name] = (entry.name, where, entry.status == "in_service", entry.since_ms)

    def any_serving(self) -> bool:
        """Whether some endpoint is in service."""
        return bool(self._serving)

    def any_listed_serving(self) -> bool:
        """Whether discovery has some endpoint in service, be it suspended or not."""
        return any(listed.serving() for listed in self._listed.values())

    def address(self, name: str) -> Address | None:
        """Where an endpoint listens."""
        listed = self._listed.get(name)
        return None if listed is None else listed.address

    def incarnation(self, name: str) -> int:
        """A number that is another one after each restart, move or return of the endpoint; 0: not listed."""
        listed = self._listed.get(name)
        return 0 if listed is None else listed.incarnation

    def serving(self, name: str) -> bool:
        """Whether the endpoint takes new work, as far as this router was told."""
        return name in self._serving

    def starting(self, name: str) -> bool:
        """Whether the endpoint is in its slow start, by discovery's word."""
        listed = self._listed.get(name)
        return listed is not None and self._now() < self._started_at(listed) + self._config.settings.cold_ms

    def names(self) -> list[str]:
        """The endpoints that are listed, those that drain too."""
        return list(self._listed)

    def suspended(self, name: str) -> bool:
        """Whether operators want nothing more sent to it."""
        return name in self._suspended or name in self._shared

    def has(self, name: str) -> bool:
        """Whether an operator can mean this endpoint: it is listed, or was when it was suspended."""
        return name in self._listed or name in self._suspended

    def listing(self) -> dict[str, tuple[str, bool]]:
        """Each listed endpoint's zone, and whether it is in service by discovery's word and operators'.

        The same object until that changes, not to be changed by who asks.
        """
        if self._listing is None:
            self._listing = {
                name: (listed.line.zone, listed.serving() and not self.suspended(name))
                for name, listed in self._listed.items()
            }
        return self._listing

    def seen(self) -> tuple[int, list[ListEntry]]:
        """The list's index and its lines by name, without the addresses, which may differ by router."""
        lines = [replace(self._listed[name].line, address="") for name in sorted(self._listed)]
        return self._discovery.index or 0, lines

    def all_suspended(self) -> list[str]:
        """The endpoints that operators want nothing more sent to."""
        return sorted(self._suspended)

    def zones(
        self, out: frozenset[str], back: dict[str, float], verdicts: dict[str, dict[str, object]] | None
    ) -> None:
        """Failover's verdicts: zones `out` take no new work; those of `back` began anew then (ms)."""
        self.verdicts = verdicts
        changed = (out ^ self._zones_out) | {
            z for z in back.keys() | self._zones_back.keys() if back.get(z) != self._zones_back.get(z)
        }
        self._zones_out, self._zones_back = out, dict(back)
        for name, listed in list(self._listed.items()):
            if listed.line.zone not in changed:
                continue
            if self._masked(listed).state is i.ReplicaState.SERVING:
                self._serving.add(name)
            else:
                self._serving.discard(name)
                self._left(name)
            self._say_again(name)

    def suspend(self, name: str) -> None:
        """Send nothing more to an endpoint, whatever discovery says, until it is resumed; NoRoom."""
        if name in self._suspended:
            return
        if len(self._suspended) >= MAX_SUSPENDED:
            raise NoRoom("", f"{MAX_SUSPENDED} endpoints are suspended: resume one that is gone")
        self._suspended.add(name)
        self._taken_out(name)

    def resume(self, name: str) -> None:
        """Take an endpoint into service again, as far as discovery does; it counts as started now."""
        if name not in self._suspended:
            return
        self._suspended.discard(name)
        self._taken_back(name)

    def share_suspensions(self, names: frozenset[str]) -> None:
        """What all routers suspend, apart from those by hand: an engine is out while either says so."""
        old, self._shared = self._shared, names
        for name in sorted(names ^ old):
            if name in self._suspended:
                continue
            if name in names:
                self._taken_out(name)
            else:
                self._taken_back(name)

    def _taken_out(self, name: str) -> None:
        self._listing = None
        self._serving.discard(name)
        self._left(name)
        self._say_again(name)

    def _taken_back(self, name: str) -> None:
        self._listing = None
        if name in self._listed and not self.suspended(name):
            self._resumed[name] = self._now()
            if self._listed[name].serving():
                self._serving.add(name)
        self._say_again(name)

    def export(self) -> tuple[HostList, dict[str, float]]:
        """The list as this router has it, and when operators took endpoints of it back."""
        # Endpoints that are set aside are not in the export, and are told by a whole list only: discovery
        # answers version 0 with one.
        aside = self._aside_type or self._aside_group >= 0
        index = 0 if aside else self._discovery.index or 0
        return HostList(index, True, [one.line for one in self._listed.values()]), dict(self._resumed)

    def restore(self, known: HostList | None = None, resumed: dict[str, float] | None = None) -> None:
        """Begin with the list as this router last had it: as configured, or as another process passed it."""
        known = self._config.known if known is None else known
        self._discovery.index, self._resumed = known.index, dict(resumed or {})
        self.apply_list(known, i.ListKind.RESTORED)

    def _say_again(self, name: str) -> None:
        if name in self._listed:
            self._tell(i.ReplicaList(i.ListKind.CHANGES, (self._masked(self._listed[name]),)))

    def _started_at(self, listed: Listed) -> float:
        """When an endpoint began its slow start, ms on the host's clock."""
        resumed = self._resumed.get(listed.line.name, 0.0)
        return max(listed.started_at, resumed, self._zones_back.get(listed.line.zone, 0.0))

    def _masked(self, listed: Listed) -> i.ReplicaEntry:
        """What the decisions hear of a line: operators' word goes before discovery's."""
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
        out = self.suspended(entry.replica) or line.zone in self._zones_out
        if out and entry.state is i.ReplicaState.SERVING:
            return replace(entry, state=i.ReplicaState.DRAINING)
        started_at = self._started_at(listed)
        return replace(entry, started_at_ms=started_at) if started_at > entry.started_at_ms else entry

    def apply_list(self, news: HostList, kind: i.ListKind) -> None:
        """Take over a list, or changes of it, and tell the decisions."""
        if kind is not i.ListKind.CHANGES:
            for name in self._listed.keys() - {entry.name for entry in news.endpoints}:
                self._forget(name)
            self._excluded.clear()
        live = kind is i.ListKind.CHANGES and self._heard
        self._heard = self._heard or kind in (i.ListKind.CHANGES, i.ListKind.WHOLE)
        entries, aside = [], False
        for entry in news.endpoints:
            if self._is_aside(entry.type, entry.group):
                aside = True
                self._set_aside(entry)
                if entry.name in self._listed:  # it served until now
                    self._forget(entry.name)
                    entries.append(i.ReplicaEntry(entry.name, state=i.ReplicaState.GONE))
                continue
            if not self._accepts(entry, live):
                continue
            made = self._masked(self._listed[entry.name])
            entries.append(made)
            if made.state is i.ReplicaState.SERVING:
                self._serving.add(entry.name)
            elif made.state is i.ReplicaState.DRAINING:
                self._serving.discard(entry.name)
                self._left(entry.name)
            else:
                self._forget(entry.name)
        if self._aside_tell is not None and (aside or kind is not i.ListKind.CHANGES):
            self._aside_tell(list(self._excluded.values()))
        serving = len(self._serving)
        log("destinations", kind=kind.name.lower(), index=news.index, changed=len(entries), serving=serving)
        self._tell(i.ReplicaList(kind, tuple(entries)))

    def _forget(self, name: str) -> None:
        """Guards against tables that grow with every endpoint that ever was."""
        self._serving.discard(name)
        self._listed.pop(name, None)
        self._listing = None
        self._resumed.pop(name, None)
        self._left(name)

    def _accepts(self, entry: ListEntry, live: bool) -> bool:
        """Keep what a line says, which may be live news; one that can't be used is logged and left out."""
        try:
            listens = parse_address("address", entry.address)
        except ConfigError:
            listens = None
        if entry.status not in STATES or listens is None:
            log("bad_entry", name=entry.name, address=entry.address, status=entry.status)
            return False
        was = self._listed.get(entry.name)
        if was is not None and (was.address, was.line.since_ms) == (listens, entry.since_ms):
            incarnation, started_at = was.incarnation, was.started_at
        else:  # it moved or restarted: connections to what it was are of no use, idle or not
            started = was is None or was.line.since_ms != entry.since_ms  # else it moved
            incarnation = next(self._next_incarnation)
            started_at = self._start_of(entry, live and started)
            self._left(entry.name)
        self._listed[entry.name] = Listed(entry, listens, incarnation, started_at)
        self._listing = None
        return True

    def _start_of(self, entry: ListEntry, live: bool) -> float:
        """When an endpoint started, ms on the host's clock, as far as the wall clocks can be believed.

        Guards the slow start where this machine's was set before this process began, or the endpoint's: a
        start to come is now, and one long ago that has just become news is now, too. Both err to the slow
        side, for one slow start at most.
        """
        now = self._now()
        if live and 0.0 < entry.since_ms < now - STALE_NEWS_MS and entry.status == "in_service":
            return now
        return min(entry.since_ms, now)
