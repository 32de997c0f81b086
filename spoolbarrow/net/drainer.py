"""Carries out drains on the client connections of one listener.

Owns the drain state, loop and log. Connections consult the state at the end of a response, and admission for
each request; this module performs the steps that no such event triggers.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol

import gevent

from spoolbarrow.config import Config
from spoolbarrow.net.client import ClientConnection
from spoolbarrow.net.drain_log import DrainLog, HeldConnection
from spoolbarrow.net.drain_schedule import Drain, DrainCause, DrainSchedule, DrainState, DrainStep
from spoolbarrow.net.host import Host
from spoolbarrow.net.log import log_exception
from spoolbarrow.net.observers import CloseReason

POLL_S = 0.02  # between checks of the steps reached
NEWCOMER_MS = 400.0  # how long a new connection without a request is kept
LATE_NEWCOMER_MS = 100.0  # the same from CLOSE_ALL on
LINGER_MS = 200.0  # how long, from CLOSE_ALL on, a client with its last response may take to close
UNACKNOWLEDGED_MS = 1000.0  # the same if its host has not acknowledged the response
STALL_MS = 5000.0  # how long a client that reads nothing of its response delays the end of a process
REPORT_HELD_MS = 3900.0  # idle or new connections must be closed within 4 s of an operator's call


class Listener(Protocol):
    """The listener whose clients are drained."""

    config: Config
    host: Host

    def clients(self) -> Collection[ClientConnection]:
        """The open client connections."""


class Drainer:
    """Closes client connections while any drain is in force."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self.state, self.log = DrainState(), DrainLog()
        self._greenlet: gevent.Greenlet[[], None] | None = None
        self._logged: set[tuple[DrainCause, str]] = set()
        self._actions: dict[DrainStep, Callable[[float], None]] = {
            DrainStep.CLOSE_IDLE: self.close_idle,
            DrainStep.ANSWER_ALL: self._answer_all,
            DrainStep.REFUSE_HALF_READ: self._refuse_half_read,
            DrainStep.MOVE_STREAMS: self._move_streams,
            DrainStep.CLOSE_ALL: self._close_all,
        }

    def begin(self, cause: DrainCause, schedule: DrainSchedule, passed_ms: float = 0.0) -> None:
        """Start a drain, as of `passed_ms` ago; one in force already keeps its own clock."""
        if self.state.begin(cause, schedule, self._listener.host.now() - passed_ms):
            self._log_state(cause, "begun", passed_ms)
            if self._greenlet is None:
                self._greenlet = gevent.spawn(self._run)

    def cancel(self, cause: DrainCause) -> None:
        """End the drain of this cause; others stay in force."""
        drain = self.state.cancel(cause)
        if drain is not None:
            self._logged = {entry for entry in self._logged if entry[0] is not cause}
            self._log_state(cause, "taken_back", self._listener.host.now() - drain.begun)

    def stop_idle_handover(self) -> None:
        """Note that the successor accepts no more idle connections."""
        self.state.stop_idle_handover(self._listener.host.now(), self._listener.config.resumes_streams)

    def close(self) -> None:
        """Stop the drain loop."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while self.state.active():
            now = self._listener.host.now()
            self._log_steps(now)
            for step, act in self._actions.items():
                if self.state.reached(step, now):
                    try:
                        act(now)
                    except Exception as error:  # a fault in one step must not stop the others
                        log_exception(f"drain {step.value}", error)
            gevent.sleep(POLL_S)
        self._greenlet = None

    def close_idle(self, now: float) -> None:
        """Close idle connections, except new ones, whose first request is likely on its way.

        Unread requests are read first. A request that crosses the close stays unread, so that its client can
        resend it; after a mere half-close it would be read but could not be answered. A connection with
        unacknowledged response data stays open, since a crossing request would cause a reset that loses it.
        """
        newcomer_ms = LATE_NEWCOMER_MS if self.state.reached(DrainStep.CLOSE_ALL, now) else NEWCOMER_MS
        for client in [c for c in self._listener.clients() if c.idle() and not c.lingering]:
            settled = not client.is_new or client.since < now - newcomer_ms
            # Checked just before the close: a request may have arrived while others were closed.
            if settled and client.all_acknowledged() and not client.has_unread():
                client.close(CloseReason.ENDED)

    def _answer_all(self, now: float) -> None:
        self._listener.host.answer_all(self.state.retry_after_ms())

    def _refuse_half_read(self, now: float) -> None:
        for client in list(self._listener.clients()):
            client.refuse_half_read(self.state.retry_after_ms())

    def _move_streams(self, now: float) -> None:
        self._listener.host.move_streams()

    def _close_all(self, now: float) -> None:
        """Close connections that only wait for their client, which has its last response or reads none."""
        for client in list(self._listener.clients()):
            if self._may_close(client, now):
                client.close(CloseReason.ENDED)

    def _may_close(self, client: ClientConnection, now: float) -> bool:
        if client.write_stalled(now - STALL_MS):
            return self.state.process_ending()  # otherwise `options.stall_ms` applies
        if not (client.lingering or client.idle()):
            return False
        if client.since < now - UNACKNOWLEDGED_MS:
            return client.lingering or not client.has_unread()
        return client.lingering and client.since < now - LINGER_MS and client.all_acknowledged()

    def _log_state(self, cause: DrainCause, state: str, passed: float) -> None:
        self.log.state(cause, state, passed, len(self._listener.clients()))

    def _log_steps(self, now: float) -> None:
        for drain in self.state.active_drains():
            reached = [step for step in DrainStep if drain.reached(step, now)]
            for step in reached:
                if self._first_time(drain.cause, step.value):
                    self._log_state(drain.cause, step.value, now - drain.begun)
            if drain.cause is DrainCause.OPERATOR and now - drain.begun >= REPORT_HELD_MS:
                self._log_held(drain, now)

    def _log_held(self, drain: Drain, now: float) -> None:
        if self._first_time(drain.cause, "held"):
            held = [
                HeldConnection(one.number, one.state(), one.request_id(), round(now - one.since))
                for one in self._listener.clients()
            ]
            self.log.held(drain.cause, now - drain.begun, held)

    def _first_time(self, cause: DrainCause, state: str) -> bool:
        """Whether this state is logged for the first time; marks it as logged."""
        is_first = (cause, state) not in self._logged
        self._logged.add((cause, state))
        return is_first
