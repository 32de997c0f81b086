"""The watch on discovery: when discovery is called, which of its lists is taken, and how long it is silent.

Discovery is a service for all routers (`subscribe`) or an agent on this machine. A service is asked for the
changes since the known version, or for the whole list where none is known, each time that the decisions order
it; an agent is asked for the whole list again and again. The calls themselves are in
`net/discovery_client.py`, the pauses between them in `fleet/pacing.py`; the endpoints that the lists name are
kept by a `ListKeeper`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from typing import Protocol, TypeVar

import gevent
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.config import Config, HostList
from spoolbarrow.fleet.pacing import (
    LIST_DEADLINE_MS,
    QUEUED_CALL_MS,
    call_spread_ms,
    hung_retry_ms,
    silent_retry_ms,
    stale_list_retry_ms,
)
from spoolbarrow.net import discovery_client
from spoolbarrow.net.log import log, log_exception

T = TypeVar("T")


class ListKeeper(Protocol):
    """Who keeps the endpoints that discovery lists."""

    def apply_list(self, news: HostList, kind: i.ListKind) -> None:
        """Take over a list, or changes of it, and tell the decisions."""


class DiscoveryWatch:
    """The greenlets that call and watch discovery.

    At most one of them is in force. One that was replaced may still run once: it was ready to run when it was
    killed. So each greenlet checks after each wait that it is the one in force (`_take_part`).
    """

    def __init__(
        self,
        config: Config,
        keeper: ListKeeper,
        tell: Callable[[i.ReplicaList], None],
        now: Callable[[], float],
    ) -> None:
        self._config, self._keeper, self._tell, self._now = config, keeper, tell, now
        self.index: int | None = config.known.index  # of the list that is kept; None: ask for the whole list
        self._rng = Random(config.seed)
        self._watch: gevent.Greenlet[[], None] | None = None  # the one in force
        self._begins_at: float | None = None  # while the watch pauses before its first call
        self._closed = False
        self._spoke = False  # the answer that is being read has said something
        self._asking: object = None  # the watch, while its calls are on their way and none has answered
        self._full = False  # the last call was refused after a wait
        self._bad = ""  # what was wrong with the last answer that was no list
        self._agent_heard = Event()  # the agent's list has been taken
        self._heard_at = now()
        self._silence_timer: gevent.Greenlet[[], None] | None = None
        self._unconfirmed = False  # discovery has been silent for LIST_DEADLINE_MS
        self._refusal_timer: gevent.Greenlet[[], None] | None = None  # a list was refused as older

    def apply(self, config: Config) -> None:
        """Go by a new configuration: another discovery is asked afresh, and calls to the old one are dropped.

        The versions of another discovery need not continue those of the old one.
        """
        old, self._config = self._config, config
        moved = config.discovery != old.discovery
        if moved or (config.zones, config.kinds) != (old.zones, old.kinds):
            self._drop_version()
            # Mostly all routers are reloaded at once: calls to one service for all are spread, those to an
            # agent are not.
            self.watch(self._rng.random() * call_spread_ms(config.settings) * config.settings.subscribe)
        elif config.settings.subscribe != old.settings.subscribe:
            self.watch()

    def watch(self, pause_ms: float = 0.0) -> None:
        """Watch discovery from now on, or after a pause.

        A watch on a service ends in exactly one FAILED, unless another watch takes its place; one that falls
        silent is opened anew before that. A watch on an agent does not end. A watch that takes the place of
        one that still pauses begins no later than that one would have.
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

    def ask(self) -> None:
        """Watch, unless calls are on their way: the decisions may have given up one that is not lost."""
        if self._watch is None or self._asking is not self._watch:
            self.watch()

    def hear_first(self) -> None:
        """Watch, and wait a moment for the agent's list: it counts as told before anything is decided."""
        self.watch()
        self._agent_heard.wait(discovery_client.AGENT_ANSWER_MS / 1000)

    def start_over(self) -> None:
        """Ask for the whole list again, unless discovery is not watched."""
        if self._watch is not None:
            self._drop_version()
            self.watch()

    def close(self) -> None:
        """Stop watching, for good: an order to watch may still be on its way."""
        self._closed = True
        for one in (self._watch, self._silence_timer, self._refusal_timer):
            if one is not None:
                one.kill(block=False)
        self._watch = self._silence_timer = self._refusal_timer = None

    def _take_part(self) -> None:
        """End the greenlet that calls this unless it is the watch in force; called after each of its waits.

        A kill is delivered by the event loop: a greenlet that was ready to run before it runs first.
        """
        if gevent.getcurrent() is not self._watch:
            raise gevent.GreenletExit

    # A watch from its begin to its end

    def _follow(self) -> None:
        """Watch a service until a watch ends otherwise than by silence."""
        self._begins_at = None
        mute = 0  # watches in a row that never said anything
        while True:
            self._spoke = False
            why = self._end_of(self._read_watch)
            self._broken(why)
            if why != "silent":
                return self._tell(i.ReplicaList(i.ListKind.FAILED))
            # Watches that never say anything cost the service a call each, so they are opened less often, but
            # still within the clock.
            mute = 0 if self._spoke else mute + 1
            gevent.sleep(silent_retry_ms(mute, self._rng) / 1000)

    def _follow_agent(self) -> None:
        """Watch an agent, for ever."""
        self._begins_at = None
        last = ""
        while True:
            self._spoke = False
            why = self._end_of(self._read_agent)
            if self._spoke or why != last:  # an agent that can't be watched is not logged at each call
                self._broken(why)
            last = why
            gevent.sleep(discovery_client.AGENT_MS / 1000)

    def _end_of(self, read: Callable[[], None]) -> str:
        """Read a watch to its end, and say why it ended."""
        try:
            read()
            why = "ended"
        except Exception as error:
            self._take_part()
            why = self._why(error)
        self._take_part()
        return why

    def _why(self, error: Exception) -> str:
        """The reason for the log; what is wrong with a list is noted."""
        if isinstance(error, (discovery_client.Silent, TimeoutError)):
            # Also a call that got no answer at all: a service that is too busy or down says so, and the clock
            # runs from the call.
            return "silent"
        if not isinstance(error, discovery_client.FAULTS):
            log_exception("watch", error)
            return "unexpected"
        if isinstance(error, discovery_client.OldList):
            self._refuse_older()
        # An agent is asked for ever: the same fault is logged once.
        if isinstance(error, discovery_client.BadList) and str(error) != self._bad:
            self._bad = str(error)
            log("bad_list", why=str(error), index=self.index)
        return f"{type(error).__name__}: {error}"

    # Calls, and what is read from them

    def _read_watch(self) -> None:
        """Ask a service for the whole list where none is known, then read a watch on it to its end."""
        config = self._config
        options, discovery = config.options, config.discovery
        if self.index is None:
            news = self._first_of(
                lambda _: discovery_client.whole(discovery, options, options.call_timeout_ms),
                lambda found: found.index,
            )
            self._accept_list(news)

        def begin(headed: Callable[[], object]) -> tuple[HostList | None, Iterator[HostList | None]]:
            words = self._words(options.call_timeout_ms, headed)
            try:
                first = next(words)
            except StopIteration:
                raise discovery_client.BadList("a watch that ended without a word") from None
            if first is not None:
                self._check(first)
            return first, words

        known = self.index or 0
        first, words = self._first_of(begin, lambda found: known if found[0] is None else found[0].index)
        self._take_word(first)
        self._read_words(words)

    def _first_of(self, call: Callable[[Callable[[], object]], T], version: Callable[[T], int]) -> T:
        """The first answer of several calls to a service (`discovery_client.first_of`)."""
        me = self._asking = gevent.getcurrent()
        begun = self._now()

        def note(error: Exception) -> None:
            refused = isinstance(error, discovery_client.FAULTS) and not isinstance(error, TimeoutError)
            self._full = refused and self._now() - begun >= QUEUED_CALL_MS

        def lost(error: Exception) -> None:
            self._take_part()
            note(error)
            log("watch_broken", why=self._why(error), index=self.index)

        def pause_ms() -> float:
            return hung_retry_ms(self._config.settings, self._rng, self._full)

        try:
            found = discovery_client.first_of(call, pause_ms, self._now, lost, version)
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
        """Ask an agent for the whole list, then read a watch on it to its end."""
        news = discovery_client.ask_agent(self._config.discovery, self._config.options)
        self._take_part()
        self._accept_list(news)
        self._agent_heard.set()
        self._read_words(self._words(discovery_client.AGENT_ANSWER_MS))

    def _words(
        self, limit_ms: float, headed: Callable[[], object] = lambda: None
    ) -> Iterator[HostList | None]:
        config = self._config
        return discovery_client.follow(
            config.discovery, config.options, self.index or 0, self._now, limit_ms, headed
        )

    def _read_words(self, words: Iterator[HostList | None]) -> None:
        for word in words:
            self._take_part()
            self._take_word(word)

    def _take_word(self, word: HostList | None) -> None:
        """Take a list, or an empty line (None): discovery is there and has nothing new."""
        if word is not None:
            self._accept_list(word)
        else:
            self._heard()
            if not self._spoke:
                self._tell(i.ReplicaList(i.ListKind.CHANGES))  # nothing missed: the call's answer
        self._spoke = True

    # Lists and their versions

    def _accept_list(self, news: HostList) -> None:
        self._check(news)
        kind = i.ListKind.WHOLE if news.snapshot else i.ListKind.CHANGES
        self._keeper.apply_list(news, kind)
        self.index = news.index
        self._end_refusal()
        self._heard()

    def _check(self, news: HostList) -> None:
        """OldList for a version older than the known one, also of a whole list: it may undo a drain."""
        if self.index is not None and news.index < self.index:
            raise discovery_client.OldList(f"its index went back from {self.index} to {news.index}")

    def _refuse_older(self) -> None:
        """Have the whole list asked for: an older list may be late, or discovery counts its versions anew.

        A whole list that is asked for from now on tells which. An agent is asked for it at once; a service
        after a pause, in which a watch from the known version on may bring a newer list.
        """
        if not self._config.settings.subscribe:
            self._drop_version()
        elif self._refusal_timer is None:
            pause = stale_list_retry_ms(self._config.settings, self._rng)
            self._refusal_timer = gevent.spawn_later(pause / 1000, self._ask_whole)

    def _ask_whole(self) -> None:
        self._refusal_timer = None
        self._drop_version()
        self.watch()

    def _drop_version(self) -> None:
        """The next list that is taken is a whole one, asked for from now on, whatever its version."""
        self.index = None
        self._end_refusal()

    def _end_refusal(self) -> None:
        if self._refusal_timer is not None:
            self._refusal_timer.kill(block=False)
            self._refusal_timer = None

    # The clock for silence

    def _heard(self) -> None:
        """Discovery has answered: the list that is kept is the one that it has."""
        self._bad = ""
        self._heard_at = self._now()
        if self._silence_timer is not None:
            self._silence_timer.kill(block=False)
            self._silence_timer = None
        if self._unconfirmed:
            self._unconfirmed = False
            log("list_confirmed", index=self.index)

    def _broken(self, why: str) -> None:
        log("watch_broken", why=why, index=self.index)
        self._count_silence()

    def _count_silence(self) -> None:
        """Start the timer for LIST_DEADLINE_MS since discovery's last answer, unless it runs."""
        if self._silence_timer is None:
            left = self._heard_at + LIST_DEADLINE_MS - self._now()
            self._silence_timer = gevent.spawn_later(max(0.0, left) / 1000, self._silent_too_long)

    def _silent_too_long(self) -> None:
        """Log that changes may have been missed: they count as told by now."""
        self._unconfirmed = True
        log("list_unconfirmed", index=self.index, silent_ms=round(self._now() - self._heard_at))
