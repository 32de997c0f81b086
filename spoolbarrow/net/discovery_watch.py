"""Watches discovery: decides when to call it, which lists to accept, and when it counts as unresponsive.

Discovery is a service for all routers (`subscribe`) or an agent on this machine. A service is asked for the
changes since the known version, or for the whole list if no version is known, each time that the decision
module orders it; an agent is asked for the whole list repeatedly. The calls themselves are in
`net/discovery_client.py`, the pauses between them in `fleet/pacing.py`; a `ListConsumer` keeps the endpoints.
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


class ListConsumer(Protocol):
    """Keeps the endpoints that discovery lists."""

    def apply_list(self, host_list: HostList, kind: i.ListKind) -> None:
        """Apply a list, or changes of it, and notify the decision module."""


class DiscoveryWatch:
    """The greenlets that call and watch discovery.

    At most one of them is current. A replaced one may still run once, if it was ready to run when it was
    killed, so each greenlet checks after each wait that it is the current one (`_ensure_current`).
    """

    def __init__(
        self,
        config: Config,
        keeper: ListConsumer,
        tell: Callable[[i.ReplicaList], None],
        now: Callable[[], float],
    ) -> None:
        self._config, self._keeper, self._notify, self._now = config, keeper, tell, now
        self.index: int | None = config.known.index  # version of the known list; None: request the whole list
        self._rng = Random(config.seed)
        self._watch: gevent.Greenlet[[], None] | None = None  # the current one
        self._begins_at: float | None = None  # while the watch pauses before its first call
        self._closed = False
        self._update_received = False  # by the watch that is being read
        self._calling: object = None  # the watch, while its calls are in flight and unanswered
        self._refused_after_wait = False  # whether the last call was
        self._last_bad_list = ""  # the error of the last invalid list
        self._agent_answered = Event()  # the agent's list has been applied
        self._confirmed_at = now()
        self._idle_timer: gevent.Greenlet[[], None] | None = None
        self._unconfirmed = False  # no answer from discovery for LIST_DEADLINE_MS
        self._refusal_timer: gevent.Greenlet[[], None] | None = None  # set after an outdated list

    def apply(self, config: Config) -> None:
        """Apply a new configuration: a different discovery is asked for its whole list.

        Calls to the old one are cancelled.
        The versions of a different discovery need not continue those of the old one.
        """
        old, self._config = self._config, config
        moved = config.discovery != old.discovery
        if moved or (config.zones, config.kinds) != (old.zones, old.kinds):
            self._drop_version()
            # Routers are usually reloaded together, so calls to a shared service are spread; those to an
            # agent are not.
            self.watch(self._rng.random() * call_spread_ms(config.settings) * config.settings.subscribe)
        elif config.settings.subscribe != old.settings.subscribe:
            self.watch()

    def watch(self, pause_ms: float = 0.0) -> None:
        """Watch discovery from now on, or after `pause_ms`.

        A watch on a service ends with exactly one FAILED unless another watch replaces it; an idle one is
        opened again before that. A watch on an agent does not end. A watch that replaces one that still
        pauses begins no later than that one would have.
        """
        if self._closed:
            return
        if self._watch is not None:
            self._watch.kill(block=False)
        self._start_idle_timer()
        now = self._now()
        begins = now + pause_ms
        if self._begins_at is not None:
            begins = min(begins, max(now, self._begins_at))
        self._begins_at = begins
        subscribed = self._config.settings.subscribe
        follow = self._run_service_watch if subscribed else self._run_agent_watch
        self._watch = gevent.spawn_later((begins - now) / 1000, follow)

    def ensure_watch(self) -> None:
        """Watch, unless calls are in flight: the decision module may have given up on one that still runs."""
        if self._watch is None or self._calling is not self._watch:
            self.watch()

    def await_first_list(self) -> None:
        """Watch, and wait briefly for the agent's list: it counts as known before the first decision."""
        self.watch()
        self._agent_answered.wait(discovery_client.AGENT_TIMEOUT_MS / 1000)

    def request_whole_list(self) -> None:
        """Request the whole list again if discovery is being watched."""
        if self._watch is not None:
            self._drop_version()
            self.watch()

    def close(self) -> None:
        """Stop watching permanently: later orders to watch are ignored."""
        self._closed = True
        for greenlet in (self._watch, self._idle_timer, self._refusal_timer):
            if greenlet is not None:
                greenlet.kill(block=False)
        self._watch = self._idle_timer = self._refusal_timer = None

    def _ensure_current(self) -> None:
        """End the calling greenlet unless it is the current watch; called after each of its waits.

        The event loop delivers a kill only after it has run greenlets that were ready before it.
        """
        if gevent.getcurrent() is not self._watch:
            raise gevent.GreenletExit

    # A watch from its beginning to its end

    def _run_service_watch(self) -> None:
        """Watch a service until a watch ends for another reason than idleness."""
        self._begins_at = None
        idle_watches = 0  # in a row, without any update
        while True:
            self._update_received = False
            why = self._run_to_end(self._read_watch)
            self._watch_ended(why)
            if why != "silent":
                return self._notify(i.ReplicaList(i.ListKind.FAILED))
            # Watches without updates cost the service a call each, so they are opened less often, but still
            # within LIST_DEADLINE_MS.
            idle_watches = 0 if self._update_received else idle_watches + 1
            gevent.sleep(silent_retry_ms(idle_watches, self._rng) / 1000)

    def _run_agent_watch(self) -> None:
        """Watch an agent indefinitely."""
        self._begins_at = None
        last = ""
        while True:
            self._update_received = False
            why = self._run_to_end(self._read_agent)
            if self._update_received or why != last:  # not at each call to an agent that fails alike
                self._watch_ended(why)
            last = why
            gevent.sleep(discovery_client.AGENT_RETRY_MS / 1000)

    def _run_to_end(self, read: Callable[[], None]) -> str:
        """Read a watch to its end and return why it ended."""
        try:
            read()
            why = "ended"
        except Exception as error:
            self._ensure_current()
            why = self._describe_end(error)
        self._ensure_current()
        return why

    def _describe_end(self, error: Exception) -> str:
        """The reason for the log; also logs an invalid list."""
        if isinstance(error, (discovery_client.WatchIdle, TimeoutError)):
            # Also a call without any answer: a service that is overloaded or down refuses the call, and the
            # time runs from the call.
            return "silent"
        if not isinstance(error, discovery_client.CALL_ERRORS):
            log_exception("watch", error)
            return "unexpected"
        if isinstance(error, discovery_client.OldList):
            self._handle_older_list()
        # An agent is called indefinitely: the same error is logged once.
        if isinstance(error, discovery_client.BadList) and str(error) != self._last_bad_list:
            self._last_bad_list = str(error)
            log("bad_list", why=str(error), index=self.index)
        return f"{type(error).__name__}: {error}"

    # Calls and their answers

    def _read_watch(self) -> None:
        """Ask a service for the whole list if none is known, then read a watch on it to its end."""
        config = self._config
        options, discovery = config.options, config.discovery
        if self.index is None:
            host_list = self._first_of(
                lambda _: discovery_client.fetch_list(discovery, options, options.call_timeout_ms),
                lambda found: found.index,
            )
            self._accept_list(host_list)

        def begin(on_head: Callable[[], object]) -> tuple[HostList | None, Iterator[HostList | None]]:
            updates = self._open_watch(options.call_timeout_ms, on_head)
            try:
                first = next(updates)
            except StopIteration:
                raise discovery_client.BadList("the watch ended without an update") from None
            if first is not None:
                self._check_version(first)
            return first, updates

        known = self.index or 0
        first, updates = self._first_of(begin, lambda found: known if found[0] is None else found[0].index)
        self._accept_update(first)
        self._read_updates(updates)

    def _first_of(self, call: Callable[[Callable[[], object]], T], version: Callable[[T], int]) -> T:
        """The first answer of several calls to a service (`discovery_client.first_answer`)."""
        me = self._calling = gevent.getcurrent()
        started_at = self._now()

        def note(error: Exception) -> None:
            refused = isinstance(error, discovery_client.CALL_ERRORS) and not isinstance(error, TimeoutError)
            self._refused_after_wait = refused and self._now() - started_at >= QUEUED_CALL_MS

        def on_failure(error: Exception) -> None:
            self._ensure_current()
            note(error)
            log("watch_broken", why=self._describe_end(error), index=self.index)

        def pause_ms() -> float:
            return hung_retry_ms(self._config.settings, self._rng, self._refused_after_wait)

        try:
            found = discovery_client.first_answer(call, pause_ms, self._now, on_failure, version)
            self._ensure_current()
            self._refused_after_wait = False
            return found
        except Exception as error:
            self._ensure_current()
            note(error)
            raise
        finally:
            if self._calling is me:  # otherwise another watch has replaced this one
                self._calling = None

    def _read_agent(self) -> None:
        """Ask an agent for the whole list, then read a watch on it to its end."""
        host_list = discovery_client.ask_agent(self._config.discovery, self._config.options)
        self._ensure_current()
        self._accept_list(host_list)
        self._agent_answered.set()
        self._read_updates(self._open_watch(discovery_client.AGENT_TIMEOUT_MS))

    def _open_watch(
        self, limit_ms: float, on_head: Callable[[], object] = lambda: None
    ) -> Iterator[HostList | None]:
        config = self._config
        return discovery_client.watch_list(
            config.discovery, config.options, self.index or 0, self._now, limit_ms, on_head
        )

    def _read_updates(self, updates: Iterator[HostList | None]) -> None:
        for update in updates:
            self._ensure_current()
            self._accept_update(update)

    def _accept_update(self, update: HostList | None) -> None:
        """Accept a list or an empty line (None), which says that there is nothing new."""
        if update is not None:
            self._accept_list(update)
        else:
            self._confirm()
            if not self._update_received:
                self._notify(i.ReplicaList(i.ListKind.CHANGES))  # reports that the call was answered
        self._update_received = True

    # Lists and their versions

    def _accept_list(self, host_list: HostList) -> None:
        self._check_version(host_list)
        kind = i.ListKind.WHOLE if host_list.snapshot else i.ListKind.CHANGES
        self._keeper.apply_list(host_list, kind)
        self.index = host_list.index
        self._cancel_refusal_timer()
        self._confirm()

    def _check_version(self, host_list: HostList) -> None:
        """Raise OldList for a version below the known one, even of a whole list: it could undo a drain."""
        if self.index is not None and host_list.index < self.index:
            raise discovery_client.OldList(f"its index went back from {self.index} to {host_list.index}")

    def _handle_older_list(self) -> None:
        """Request the whole list: the older list may be late, or discovery may have reset its versions.

        A whole list requested from now on shows which. An agent is asked for it at once; a service after
        a pause, in which a watch from the known version on may bring a newer list.
        """
        if not self._config.settings.subscribe:
            self._drop_version()
        elif self._refusal_timer is None:
            pause = stale_list_retry_ms(self._config.settings, self._rng)
            self._refusal_timer = gevent.spawn_later(pause / 1000, self._on_refusal_timer)

    def _on_refusal_timer(self) -> None:
        self._refusal_timer = None
        self._drop_version()
        self.watch()

    def _drop_version(self) -> None:
        """Accept next only a whole list that is requested from now on, whatever its version."""
        self.index = None
        self._cancel_refusal_timer()

    def _cancel_refusal_timer(self) -> None:
        if self._refusal_timer is not None:
            self._refusal_timer.kill(block=False)
            self._refusal_timer = None

    # Detection of an unresponsive discovery

    def _confirm(self) -> None:
        """Discovery has answered: the known list is up to date."""
        self._last_bad_list = ""
        self._confirmed_at = self._now()
        if self._idle_timer is not None:
            self._idle_timer.kill(block=False)
            self._idle_timer = None
        if self._unconfirmed:
            self._unconfirmed = False
            log("list_confirmed", index=self.index)

    def _watch_ended(self, why: str) -> None:
        log("watch_broken", why=why, index=self.index)
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        """Start the timer for LIST_DEADLINE_MS since discovery's last answer, unless it is running."""
        if self._idle_timer is None:
            left = self._confirmed_at + LIST_DEADLINE_MS - self._now()
            self._idle_timer = gevent.spawn_later(max(0.0, left) / 1000, self._report_unconfirmed)

    def _report_unconfirmed(self) -> None:
        """Log that the list is unconfirmed: changes may have been missed, though they count as known."""
        self._unconfirmed = True
        log("list_unconfirmed", index=self.index, silent_ms=round(self._now() - self._confirmed_at))
