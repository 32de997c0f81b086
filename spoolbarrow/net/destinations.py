"""The destination set: discovery's list, the watch on it, and what has been withdrawn since when.

Owns who is in service: what discovery says, masked by what operators suspended. A suspension is their fact,
not a decision: the decisions hear of such an endpoint as one that drains, and of its return as a start.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import count
from random import Random
from typing import NamedTuple, TypeVar

import gevent
from gevent.event import Event
from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.config import Address, Config, ConfigError, HostList, ListEntry, address
from spoolbarrow.errors import Problem
from spoolbarrow.fleet.pacing import CLOCK_MS, WAITED_MS, hangs_ms, refused_ms, silent_ms, spread_ms
from spoolbarrow.net import asking
from spoolbarrow.net.log import log, unexpected
from spoolbarrow.wire import STATES

T = TypeVar("T")
MOST_SUSPENDED = 4096  # names; they stay while their endpoints are gone, so only operators take them out


class NoRoom(Problem):
    """As many endpoints are suspended as can be."""

    where = "none"
    remedy = "Resume suspended engines that are gone, by `POST /v1/engines/ID/resume`."


class Listed(NamedTuple):
    """An endpoint that discovery lists."""

    line: ListEntry  # what discovery said last
    address: Address
    incarnation: int  # another number after each restart, move or return

    def serving(self) -> bool:
        """Whether discovery has it in service."""
        return STATES[self.line.status] is i.ReplicaState.SERVING


class DestinationSet:
    """Addresses and states by name; `tell` hears each piece of news as the decisions' event."""

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
        self._index: int | None = config.known.index  # None: the whole list must be asked for
        # The one whose news counts: another that still runs was ready to when it was killed (`_take_part`).
        self._watch: gevent.Greenlet[[], None] | None = None
        self._begins_at: float | None = None  # while the watch pauses before its first call
        self._closed = False
        self._rng = Random(config.seed)
        self._spoke = False  # this watch has said something
        self._asking: object = None  # the watch, while its calls are on their way and none has answered
        self._full = False  # the last call was refused after a wait
        self._bad = ""  # what was wrong with the last answer that was no list
        self._agent_heard = Event()  # where lists are pushed: what the agent has is known
        self._heard_at = now()
        self._doubt: gevent.Greenlet[[], None] | None = None  # until the clock for silence runs out
        self._unconfirmed = False
        self._refused: gevent.Greenlet[[], None] | None = None  # a list was, as older; its end: `_ask_whole`
        self._next_incarnation = count(1)
        self._serving: set[str] = set()
        # Endpoints of this type, or of this group, never serve: they are told to `_aside_tell`.
        self._aside_type, self._aside_group = "", -1
        self._aside: dict[str, tuple[str, Address, bool, float]] = {}
        self._aside_tell: Callable[[list[tuple[str, Address, bool, float]]], None] | None = None
        self._zones_out: frozenset[str] = frozenset()  # failed by failover's verdict: like suspended
        self._zones_back: dict[str, float] = {}  # returning since, by zone: its endpoints began anew then
        self.verdicts: dict[str, dict[str, object]] | None = None  # failover's, by zone and region; None: off

    def apply(self, config: Config) -> None:
        """Go by a new configuration: another discovery is asked afresh, and calls to the old one dropped.

        Until its list has come, the endpoints stay as they are. Its versions need not be the old one's.
        """
        old, self._config = self._config, config
        if (config.zones, config.kinds, config.settings.zone) != (old.zones, old.kinds, old.settings.zone):
            # Guards against numbers of before in news that is told and not decided on yet. It is the list as
            # last held: not news, which would count as an answer of discovery's.
            lines = tuple(self._masked(listed.line) for listed in self._listed.values())
            self._tell(i.ReplicaList(i.ListKind.RESTORED, lines))
        moved = config.discovery != old.discovery
        if moved or (config.zones, config.kinds) != (old.zones, old.kinds):
            self._drop_version()
            # All are told at once, mostly: an agent is asked now, one service for all by and by.
            self.watch(self._rng.random() * spread_ms(config.settings) * config.settings.subscribe)
        elif config.settings.subscribe != old.settings.subscribe:
            self.watch()

    def set_aside(
        self, kind: str, group: int, tell: Callable[[list[tuple[str, Address, bool, float]]], None]
    ) -> None:
        """Keep endpoints of a type or a group out of service; `tell` hears them all, now and at each change.

        An empty type, a negative group: none. Where they change, endpoints that are meant leave service at
        once, and the whole list is asked for again: until it has come, those set aside before serve nobody.
        """
        changed = (kind, group) != (self._aside_type, self._aside_group)
        self._aside_type, self._aside_group, self._aside_tell = kind, group, tell
        if changed:
            self._aside.clear()
            leaving = [n for n, one in self._listed.items() if self._is_aside(one.line.type, one.line.group)]
            for name in leaving:
                listed = self._listed[name]
                self._aside[name] = (name, listed.address, name in self._serving, listed.line.since_ms)
                self._forget(name)
            if leaving:
                gone = [i.ReplicaEntry(name, state=i.ReplicaState.GONE) for name in leaving]
                self._tell(i.ReplicaList(i.ListKind.CHANGES, tuple(gone)))
            if self._watch is not None:
                self._drop_version()
                self.watch()
        tell(list(self._aside.values()))

    def _is_aside(self, kind: str, group: int) -> bool:
        return (self._aside_type != "" and kind == self._aside_type) or group == self._aside_group

    def _set_aside(self, entry: ListEntry) -> None:
        try:
            where = address("address", entry.address)
        except ConfigError:
            self._aside.pop(entry.name, None)
            return
        if entry.status == "terminated":
            self._aside.pop(entry.name, None)
        else:
            self._aside[entry.name] = (entry.name, where, entry.status == "in_service", entry.since_ms)

    def usable(self) -> bool:
        """Whether some endpoint is in service."""
        return bool(self._serving)

    def told_usable(self) -> bool:
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
        return self._index or 0, lines

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
            if self._masked(listed.line).state is i.ReplicaState.SERVING:
                self._serving.add(name)
            else:
                self._serving.discard(name)
                self._left(name)
            self._say_again(name)

    def suspend(self, name: str) -> None:
        """Send nothing more to an endpoint, whatever discovery says, until it is resumed; NoRoom."""
        if name in self._suspended:
            return
        if len(self._suspended) >= MOST_SUSPENDED:
            raise NoRoom("", f"{MOST_SUSPENDED} endpoints are suspended: resume one that is gone")
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
        # Who sets endpoints aside hears of them from a whole list only: version 0 is answered with that.
        aside = self._aside_type or self._aside_group >= 0
        index = 0 if aside or self._index is None else self._index
        return HostList(index, True, [one.line for one in self._listed.values()]), dict(self._resumed)

    def restore(self, known: HostList | None = None, resumed: dict[str, float] | None = None) -> None:
        """Begin with the list as this router last had it: as configured, or as another process passed it."""
        known = self._config.known if known is None else known
        self._index, self._resumed = known.index, dict(resumed or {})
        self._take(known, i.ListKind.RESTORED)

    def _say_again(self, name: str) -> None:
        if name in self._listed:
            self._tell(i.ReplicaList(i.ListKind.CHANGES, (self._masked(self._listed[name].line),)))

    def _masked(self, line: ListEntry) -> i.ReplicaEntry:
        """What the decisions hear of a line: operators' word goes before discovery's."""
        config = self._config
        entry = i.ReplicaEntry(
            line.name,
            config.zones.get(line.zone, config.settings.zone),
            config.kinds.get(line.type, 0),
            line.group,
            STATES[line.status],
            line.weight,
            line.since_ms,  # Unix time, as the host's clock counts too
        )
        out = self.suspended(entry.replica) or line.zone in self._zones_out
        if out and entry.state is i.ReplicaState.SERVING:
            return replace(entry, state=i.ReplicaState.DRAINING)
        resumed = max(self._resumed.get(entry.replica, 0.0), self._zones_back.get(line.zone, 0.0))
        return replace(entry, started_at_ms=resumed) if resumed > entry.started_at_ms else entry

    def watch(self, pause_ms: float = 0.0) -> None:
        """Hear of changes from now on, or after a pause.

        Where discovery is asked, this ends in exactly one FAILED, unless another watch takes its place; one
        that falls silent is opened anew before that. Where lists are pushed it does not end. A watch
        that takes the place of one that still pauses begins no later than that one would have.
        """
        if self._closed:
            return
        if self._watch is not None:
            self._watch.kill(block=False)
        self._count_silence()
        now = self._now()
        begins = now + pause_ms
        if self._begins_at is not None:
            begins = min(begins, max(now, self._begins_at))
        self._begins_at = begins
        asked = self._config.settings.subscribe
        follow = self._follow if asked else self._follow_agent
        self._watch = gevent.spawn_later((begins - now) / 1000, follow)

    def _take_part(self) -> None:
        """End the greenlet that calls this unless it is the watch in force; asked after each of its waits.

        A kill reaches a greenlet by way of the loop, and one that was ready to run by then runs before it.
        """
        if gevent.getcurrent() is not self._watch:
            raise gevent.GreenletExit

    def ask(self) -> None:
        """Watch, unless calls are on their way: the decisions may have given up one that is not lost."""
        if self._watch is None or self._asking is not self._watch:
            self.watch()

    def hear_first(self) -> None:
        """Watch, and wait a moment for what the agent has: it counts as told before anything is decided."""
        self.watch()
        self._agent_heard.wait(asking.AGENT_ANSWER_MS / 1000)

    def close(self) -> None:
        """Stop watching, for good: an order to watch may still be on its way."""
        self._closed = True
        for one in (self._watch, self._doubt, self._refused):
            if one is not None:
                one.kill(block=False)
        self._watch = self._doubt = self._refused = None

    def _follow(self) -> None:
        self._begins_at = None
        mute = 0  # watches in a row that never said a word
        while True:
            self._spoke = False
            why = self._end_of(self._read_watch)
            self._broken(why)
            if why != "silent":
                return self._tell(i.ReplicaList(i.ListKind.FAILED))
            # Watches that never speak cost the service a call each, so they are opened less often, but still
            # within the clock.
            mute = 0 if self._spoke else mute + 1
            gevent.sleep(silent_ms(mute, self._rng) / 1000)

    def _follow_agent(self) -> None:
        self._begins_at = None
        last = ""
        while True:
            self._spoke = False
            why = self._end_of(self._read_agent)
            if self._spoke or why != last:  # an agent without a watch is asked for ever: not a line each time
                self._broken(why)
            last = why
            gevent.sleep(asking.AGENT_MS / 1000)

    def _end_of(self, read: Callable[[], None]) -> str:
        """Why a watch ended."""
        try:
            read()
            why = "ended"
        except Exception as error:
            self._take_part()
            why = self._why(error)
        self._take_part()
        return why

    def _why(self, error: Exception) -> str:
        if isinstance(error, (asking.Silent, TimeoutError)):
            # Also a call that got no answer at all: a service that is too busy or down says so, and the clock
            # runs from the call.
            return "silent"
        if not isinstance(error, asking.FAULTS):
            unexpected("watch", error)
            return "unexpected"
        if isinstance(error, asking.OldList):
            self._refuse_older()
        if isinstance(error, asking.BadList) and str(error) != self._bad:  # an agent is asked for ever
            self._bad = str(error)
            log("bad_list", why=str(error), index=self._index)
        return f"{type(error).__name__}: {error}"

    def _read_watch(self) -> None:
        config = self._config
        options, discovery = config.options, config.discovery
        if self._index is None:
            news = self._first_of(
                lambda _: asking.whole(discovery, options, options.call_timeout_ms),
                lambda found: found.index,
            )
            self._news(news)

        def begin(headed: Callable[[], object]) -> tuple[HostList | None, Iterator[HostList | None]]:
            words = self._words(options.call_timeout_ms, headed)
            try:
                first = next(words)
            except StopIteration:
                raise asking.BadList("a watch that ended without a word") from None
            if first is not None:
                self._check(first)
            return first, words

        known = self._index or 0
        first, words = self._first_of(begin, lambda found: known if found[0] is None else found[0].index)
        self._take_word(first)
        self._read_words(words)

    def _first_of(self, call: Callable[[Callable[[], object]], T], version: Callable[[T], int]) -> T:
        me = self._asking = gevent.getcurrent()
        begun = self._now()

        def note(error: Exception) -> None:
            refused = isinstance(error, asking.FAULTS) and not isinstance(error, TimeoutError)
            self._full = refused and self._now() - begun >= WAITED_MS

        def lost(error: Exception) -> None:
            self._take_part()
            note(error)
            log("watch_broken", why=self._why(error), index=self._index)

        def pause_ms() -> float:
            return hangs_ms(self._config.settings, self._rng, self._full)

        try:
            found = asking.first_of(call, pause_ms, self._now, lost, version)
            self._take_part()
            self._full = False
            return found
        except Exception as error:
            self._take_part()
            note(error)
            raise
        finally:
            if self._asking is me:  # else another watch has taken its place
                self._asking = None

    def _read_agent(self) -> None:
        news = asking.ask_agent(self._config.discovery, self._config.options)
        self._take_part()
        self._news(news)
        self._agent_heard.set()
        self._read_words(self._words(asking.AGENT_ANSWER_MS))

    def _words(
        self, limit_ms: float, headed: Callable[[], object] = lambda: None
    ) -> Iterator[HostList | None]:
        config = self._config
        return asking.follow(config.discovery, config.options, self._index or 0, self._now, limit_ms, headed)

    def _read_words(self, words: Iterator[HostList | None]) -> None:
        for word in words:
            self._take_part()
            self._take_word(word)

    def _take_word(self, word: HostList | None) -> None:
        if word is not None:
            self._news(word)
        else:
            self._heard()
            if not self._spoke:
                self._tell(i.ReplicaList(i.ListKind.CHANGES))  # nothing missed: the call's answer
        self._spoke = True

    def _heard(self) -> None:
        """Discovery spoke: the list is what it has."""
        self._bad = ""
        self._heard_at = self._now()
        if self._doubt is not None:
            self._doubt.kill(block=False)
            self._doubt = None
        if self._unconfirmed:
            self._unconfirmed = False
            log("list_confirmed", index=self._index)

    def _broken(self, why: str) -> None:
        log("watch_broken", why=why, index=self._index)
        self._count_silence()

    def _count_silence(self) -> None:
        if self._doubt is None:
            left = self._heard_at + CLOCK_MS - self._now()
            self._doubt = gevent.spawn_later(max(0.0, left) / 1000, self._run_out)

    def _run_out(self) -> None:
        """The clock has run out: what discovery may have said since counts as told, and is not known here."""
        self._unconfirmed = True
        log("list_unconfirmed", index=self._index, silent_ms=round(self._now() - self._heard_at))

    def _check(self, news: HostList) -> None:
        """OldList for a version older than what is known, be it whole: engines that drain may serve in it."""
        if self._index is not None and news.index < self._index:
            raise asking.OldList(f"its index went back from {self._index} to {news.index}")

    def _refuse_older(self) -> None:
        """An older list may be one that is late, or discovery has begun its versions anew.

        What tells them apart is a whole list that is asked for from now on. An agent is asked for it at once;
        the service after a pause, in which a watch that goes on from the known version may bring newer news.
        """
        if not self._config.settings.subscribe:
            self._drop_version()
        elif self._refused is None:
            pause = refused_ms(self._config.settings, self._rng)
            self._refused = gevent.spawn_later(pause / 1000, self._ask_whole)

    def _ask_whole(self) -> None:
        self._refused = None
        self._drop_version()
        self.watch()

    def _drop_version(self) -> None:
        """The next list that is taken is a whole one, asked for from now on, whatever its version."""
        self._index = None
        self._end_refusal()

    def _end_refusal(self) -> None:
        if self._refused is not None:
            self._refused.kill(block=False)
            self._refused = None

    def _news(self, news: HostList) -> None:
        self._check(news)
        kind = i.ListKind.WHOLE if news.snapshot else i.ListKind.CHANGES
        self._take(news, kind)
        self._index = news.index
        self._end_refusal()
        self._heard()

    def _take(self, news: HostList, kind: i.ListKind) -> None:
        if kind is not i.ListKind.CHANGES:
            for name in self._listed.keys() - {entry.name for entry in news.endpoints}:
                self._forget(name)
            self._aside.clear()
        entries, aside = [], False
        for entry in news.endpoints:
            if self._is_aside(entry.type, entry.group):
                aside = True
                self._set_aside(entry)
                if entry.name in self._listed:  # it served until now
                    self._forget(entry.name)
                    entries.append(i.ReplicaEntry(entry.name, state=i.ReplicaState.GONE))
                continue
            if not self._accepts(entry):
                continue
            made = self._masked(entry)
            entries.append(made)
            if made.state is i.ReplicaState.SERVING:
                self._serving.add(entry.name)
            elif made.state is i.ReplicaState.DRAINING:
                self._serving.discard(entry.name)
                self._left(entry.name)
            else:
                self._forget(entry.name)
        if self._aside_tell is not None and (aside or kind is not i.ListKind.CHANGES):
            self._aside_tell(list(self._aside.values()))
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

    def _accepts(self, entry: ListEntry) -> bool:
        """Keep what a line says; one that can't be used is logged and left out."""
        try:
            listens = address("address", entry.address)
        except ConfigError:
            listens = None
        if entry.status not in STATES or listens is None:
            log("bad_entry", name=entry.name, address=entry.address, status=entry.status)
            return False
        was = self._listed.get(entry.name)
        if was is not None and (was.address, was.line.since_ms) == (listens, entry.since_ms):
            incarnation = was.incarnation
        else:  # it moved or restarted: connections to what it was are of no use, idle or not
            incarnation = next(self._next_incarnation)
            self._left(entry.name)
        self._listed[entry.name] = Listed(entry, listens, incarnation)
        self._listing = None
        return True
