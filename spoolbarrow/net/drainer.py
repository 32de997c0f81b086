"""Drains carried out on the clients' connections of one listener.

Owns the state of drains, their loop and their log. What a connection does at the end of an answer, and what
a request is told that comes meanwhile, asks the state where it happens; here is what nobody else would do.
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

LOOK_S = 0.02  # between looks at what a drain's clock has reached
NEWCOMER_MS = 400.0  # a connection that has said nothing yet still may, so long
LATE_NEWCOMER_MS = 100.0  # and so long where nobody is waited for
LINGER_MS = 200.0  # a client that has its last answer may stay so long, where nobody is waited for
UNTAKEN_MS = 1000.0  # and one whose machine has not acknowledged it
STALL_MS = 5000.0  # a client that takes nothing of its answer does not keep a process that ends longer
HELD_MS = 3900.0  # after an operator's call nothing idle or new may be held (4 s): what is then is told


class Listener(Protocol):
    """Whose clients are drained."""

    config: Config
    host: Host

    def clients(self) -> Collection[ClientConnection]:
        """Their connections."""


class Drainer:
    """Sends clients away while any drain is in force."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self.state, self.log = DrainState(), DrainLog()
        self._carrying_out: gevent.Greenlet[[], None] | None = None
        self._told: set[tuple[DrainCause, str]] = set()
        self._acts: dict[DrainStep, Callable[[float], None]] = {
            DrainStep.CLOSE_IDLE: self.close_idle,
            DrainStep.ANSWER_ALL: self._answer_all,
            DrainStep.REFUSE_HALF_READ: self._refuse_half_read,
            DrainStep.MOVE_STREAMS: self._move_streams,
            DrainStep.CLOSE_ALL: self._close_all,
        }

    def begin(self, cause: DrainCause, schedule: DrainSchedule, passed_ms: float = 0.0) -> None:
        """A drain begins, or began so long ago; one that is in force already goes on by its own clock."""
        if self.state.begin(cause, schedule, self._listener.host.now() - passed_ms):
            self._tell(cause, "begun", passed_ms)
            if self._carrying_out is None:
                self._carrying_out = gevent.spawn(self._carry_out)

    def cancel(self, cause: DrainCause) -> None:
        """A drain is in force no more; others are."""
        drain = self.state.cancel(cause)
        if drain is not None:
            self._told = {told for told in self._told if told[0] is not cause}
            self._tell(cause, "taken_back", self._listener.host.now() - drain.begun)

    def pass_nothing_more(self) -> None:
        """The newer process takes no idle connection any more."""
        self.state.pass_nothing_more(self._listener.host.now(), self._listener.config.resumes_streams)

    def close(self) -> None:
        """Carry out nothing more."""
        if self._carrying_out is not None:
            self._carrying_out.kill()

    def _carry_out(self) -> None:
        while self.state.active():
            now = self._listener.host.now()
            self._tell_steps(now)
            for step, act in self._acts.items():
                if self.state.reached(step, now):
                    try:
                        act(now)
                    except Exception as error:  # what one step runs into must not keep the others from theirs
                        log_exception(f"drain {step.value}", error)
            gevent.sleep(LOOK_S)
        self._carrying_out = None

    def close_idle(self, now: float) -> None:
        """Close what is idle, but for one that came just now: its first request is likely on its way.

        Guards requests on their way: what the kernel holds unread is read first. One that crosses the close
        is not read, so that its client may send it again: with only this side's end said, it would be read
        and could not be answered. Nor is one closed that still takes in its answer: what crosses would have
        the kernel reset the connection under it.
        """
        newcomer_ms = LATE_NEWCOMER_MS if self.state.reached(DrainStep.CLOSE_ALL, now) else NEWCOMER_MS
        for client in [one for one in self._listener.clients() if one.idle() and not one.ending]:
            settled = not client.fresh or client.since < now - newcomer_ms
            # The kernel is asked just before: a request may have come while others were closed.
            if settled and client.answered() and not client.has_unread():
                client.close(CloseReason.ENDED)

    def _answer_all(self, now: float) -> None:
        self._listener.host.answer_all(self.state.retry_after())

    def _refuse_half_read(self, now: float) -> None:
        for client in list(self._listener.clients()):
            client.refuse_half_read(self.state.retry_after())

    def _move_streams(self, now: float) -> None:
        self._listener.host.move_streams()

    def _close_all(self, now: float) -> None:
        """Close what only waits for its client: it has had its last answer, or takes none."""
        for client in list(self._listener.clients()):
            if self._waits_in_vain(client, now):
                client.close(CloseReason.ENDED)

    def _waits_in_vain(self, client: ClientConnection, now: float) -> bool:
        if client.stalled(now - STALL_MS):
            return self.state.process_ending()  # else the process lasts, and `stall_ms` is its client's time
        if not (client.ending or client.idle()):
            return False
        if client.since < now - UNTAKEN_MS:
            return client.ending or not client.has_unread()
        return client.ending and client.since < now - LINGER_MS and client.answered()

    def _tell(self, cause: DrainCause, state: str, passed: float) -> None:
        self.log.state(cause, state, passed, len(self._listener.clients()))

    def _tell_steps(self, now: float) -> None:
        for drain in self.state.drains():
            reached = [step for step in DrainStep if drain.reached(step, now)]
            for step in reached:
                if self._is_news(drain.cause, step.value):
                    self._tell(drain.cause, step.value, now - drain.begun)
            if drain.cause is DrainCause.OPERATOR and now - drain.begun >= HELD_MS:
                self._tell_held(drain, now)

    def _tell_held(self, drain: Drain, now: float) -> None:
        if self._is_news(drain.cause, "held"):
            held = [
                HeldConnection(one.number, one.state(), one.request_id(), round(now - one.since))
                for one in self._listener.clients()
            ]
            self.log.held(drain.cause, now - drain.begun, held)

    def _is_news(self, cause: DrainCause, state: str) -> bool:
        """Whether it is told for the first time."""
        news = (cause, state) not in self._told
        self._told.add((cause, state))
        return news
