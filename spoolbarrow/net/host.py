"""Runs the decision module on real sockets: clock, timers, open requests, and the actions it orders.

One greenlet alone calls `Router.handle`, with the events of a tick, in batches between which other
greenlets run. Carrying out an action never blocks: attempts, probes and answers run in greenlets of their
own and report back as events. The host is protocol-neutral: the inbound side passes it an `Answer` and a
message to forward.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Protocol

import gevent
from gevent.event import Event
from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.config import Config, HostList
from spoolbarrow.net.clock import Clock
from spoolbarrow.net.destinations import DestinationSet
from spoolbarrow.net.endpoint_client import EndpointClient
from spoolbarrow.net.endpoint_response import InFlightAttempt
from spoolbarrow.net.fairness import yield_to_others
from spoolbarrow.net.host_timers import WHOLE_REQUEST, HostTimers, TimeLimit, lost_timers
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.id_table import RequestIds
from spoolbarrow.net.inbox import Inbox
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.loop_iterations import LoopIterations
from spoolbarrow.net.observers import Observers
from spoolbarrow.net.request import Answer, Attempt, Request, TransferredStream
from spoolbarrow.router import Router

if TYPE_CHECKING:
    from spoolbarrow.fleet.documents import SharedState

MAX_EVENTS_PER_TURN = 32  # events or timers handled before yielding to other greenlets: some ms of a core
OVERDUE_TICKS = 2.0  # ticks past its deadline after which the host fails a request that is still open,
MAX_OVERDUE_MS = 4.0  # but never later than this, however long a tick is: the answer's margin is 15 ms
TIMER_CHECK_MS = 2.0  # between checks of the timers within a tick


class Decider(Protocol):
    """The decision module, or a wrapper around it."""

    actions: list[i.Action]  # of the last batch; partial if `handle` raised

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Return the actions for a batch of events."""


class Host:
    """The decision module's environment in one process."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config = config
        self.now = clock or Clock()
        self.loop_iterations = LoopIterations(lambda: self.now())
        self.observers = Observers()
        self.fleet: SharedState | None = None  # set while the store is followed; its versions are reported
        self.destinations = DestinationSet(config, self._post, self._forget_endpoint, self.now)
        self._endpoints = EndpointClient(config, self.destinations, self)
        self._router = Router(config.settings, config.seed)
        self._decider: Decider = self._router
        self._requests: dict[str, Request] = {}
        self.ids = RequestIds()  # given by clients
        self._keys = count(1)
        self._inbox = Inbox()
        self._wake = Event()
        self._timers = HostTimers(lambda key: key in self._requests, self._expire)
        self._handlers: dict[type, Callable[..., None]] = {
            i.Send: self._send,
            i.Refuse: self._fail_fast,
            i.Fail: self._fail,
            i.Cancel: self._cancel,
            i.Probe: self._probe,
            i.SetTimer: self._set_timer,
            i.Subscribe: self._subscribe,
        }
        self._loop: gevent.Greenlet[[], None] | None = None
        self.hand_over: Callable[[InFlightAttempt], bool] | None = None  # passes a stream to another process

    def start(
        self,
        known: HostList | None = None,
        resumed: dict[str, float] | None = None,
        restore_state: Callable[[Router], None] | None = None,
    ) -> None:
        """Start deciding on the last known list; `restore_state` loads the state passed along with it."""
        self.destinations.restore(known, resumed)
        if restore_state is not None:
            self._decide(self.now(), self._inbox.take())
            restore_state(self._router)
        if not self.config.settings.subscribe:
            self.destinations.await_first_list()  # the decision module does not ask for a pushed list
        self._loop = gevent.spawn(self._run)

    def is_deciding(self) -> bool:
        """Whether events are being decided on: not while waiting for the first list."""
        return self._loop is not None

    def apply(self, config: Config) -> None:
        """Apply a new configuration; open requests keep the settings that they were accepted under."""
        self.config = config
        self._router.configure(config.settings)
        self._endpoints.apply(config)
        self.destinations.apply(config)

    def endpoints(self) -> EndpointClient:
        """The client that carries out attempts."""
        return self._endpoints

    def router(self) -> Router:
        """The decision module, for exporting its state; only the host's greenlet may call `handle`."""
        return self._router

    def stop(self) -> None:
        """Stop background work that belongs to no request."""
        self.loop_iterations.stop()
        self.destinations.close()
        if self._loop is not None:
            self._loop.kill()
        self._endpoints.close()

    def open_requests(self) -> int:
        """Number of requests that are unanswered or have running attempts."""
        return len(self._requests)

    def in_progress(self) -> int:
        """Number of accepted requests whose answers are not complete."""
        return sum(not request.finished for request in self._requests.values())

    def endpoint_counts(self) -> tuple[int, int]:
        """How many endpoints are listed, and how many of them are skipped: suspended or suspect."""
        now, pool = self.now(), self._router.pool.replicas
        listed = self.destinations.names()
        suspect = {name for name, replica in pool.items() if now < replica.suspect_until}
        return len(listed), sum(name in suspect or self.destinations.suspended(name) for name in listed)

    def set_decider(self, make: Callable[[Router], Decider] | None) -> None:
        """Wrap the decision module from the next batch on; None removes the wrapper."""
        self._decider = self._router if make is None else make(self._router)

    def resubmit(self, events: list[i.RequestArrived]) -> None:
        """Post accepted but undecided requests again, except those that are no longer open."""
        for event in events:
            if event.request in self._requests:
                self._post(event)

    def find_request(self, key: str) -> Request | None:
        """An open request by the host's key for it."""
        return self._requests.get(key)

    # The client's side

    def submit(
        self,
        id: str,
        message: Message,
        answer: Answer,
        deadline: float,
        facts: i.RequestArrived,
        connection: int = 0,
    ) -> Request:
        """Accept a request; it then gets exactly one answer, by `deadline` unless that is a stream."""
        key = str(next(self._keys))
        settings = facts.settings or self.config.settings
        facts = replace(facts, request=key, settings=settings)
        request = Request(key, id, message, answer, facts, self.now(), deadline, connection)
        cls, request.max_attempts = settings.classes[facts.cls], settings.max_attempts
        if cls.effect is i.Effect.KEYED:
            request.repeat_window_ms = cls.window_ms - settings.tick_ms  # as the decision module counts it
        self._register(request, facts)
        self._post(facts)
        self._timers.limit(deadline, key)
        return request

    def client_left(self, request: Request) -> None:
        """The client disconnected before its answer was complete."""
        if request.finished:
            return
        self._settle(request, "left")
        if request.serving_attempt is not None:
            self.end_attempt(request.serving_attempt, i.Outcome.CANCELLED)
        self._post(i.RequestGone(request.key))
        self._forget(request)

    def move_streams(self) -> None:
        """Break off running streams, so that their clients resume them at another router.

        A stream that its endpoint has finished is forwarded to its end instead.
        """
        for moved in [r for r in self._requests.values() if r.serving_attempt is not None and not r.finished]:
            stream = moved.serving_attempt
            assert stream is not None
            if stream.answer_reader is not None and stream.answer_reader.must_finish():
                continue
            self._settle(moved, "moved")
            moved.answer.abort()
            self.end_attempt(stream, i.Outcome.CANCELLED)

    def answer_all(self, retry_after_ms: float) -> None:
        """Answer every request that awaits its first event: refused if no endpoint can have run it."""
        for request in [r for r in self._requests.values() if r.serving_attempt is None and not r.finished]:
            self._answer_unsent(request, retry_after_ms)

    def _answer_unsent(self, request: Request, retry_after_ms: float) -> None:
        """Answer a request for which nothing more is sent: refused if no endpoint can have run it."""
        if all(attempt.never_ran() for attempt in request.attempts):
            self._answer(request, "fail_fast", lambda answer: answer.fail_fast(retry_after_ms))
        else:
            self._answer(request, "failed", lambda answer: answer.fail(False))
        self._post(i.RequestGone(request.key))

    # The endpoints' side

    def _forget_endpoint(self, endpoint: str) -> None:
        self._endpoints.forget(endpoint)

    def may_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may still be written to its endpoint.

        Asked before the first byte and after each wait for the endpoint to read. Avoids work for a client
        whose disconnect is still unread in the kernel, as its reader may run only after a full batch of
        decisions: such a client is handled here. Also prevents a second effect of a request if connecting
        outlasted the repeat window.
        """
        request, at = attempt.request, self.now()
        if attempt.ended or request.finished or request.serving_attempt is not None or at >= request.deadline:
            return False
        if not request.may_repeat(attempt, at):
            return False
        if request.answer.disconnected():
            self.client_left(request)
            return False
        if not request.answer.shows_disconnect(at):
            self._answer_unsent(request, self.config.settings.max_retry_after_ms)
            return False
        return True

    def claim(self, attempt: Attempt) -> bool:
        """Called with an attempt's first event: whether this attempt serves the client."""
        request = attempt.request
        if request.finished or request.serving_attempt is not None or attempt.ended:
            return False
        request.serving_attempt, attempt.first_at = attempt, self.now()
        if self.observers.active:
            self.observers.attempt_started(attempt)
        lag = self.now() - attempt.sent_at
        self._post(i.StreamStarted(request.key, attempt.number, attempt.endpoint, lag))
        return True

    def end_attempt(
        self, attempt: Attempt, outcome: i.Outcome, kept: int = 0, report: i.Report | None = None
    ) -> None:
        """Record the outcome of an attempt; only the first call counts."""
        if attempt.ended:
            return
        attempt.ended, attempt.outcome, attempt.ended_at = True, outcome, self.now()
        request = attempt.request
        if request.serving_attempt is attempt and not request.finished:
            if outcome is i.Outcome.SERVED:
                self._settle(request, "served")
                request.answer.end()
            else:
                self._settle(request, "broken")
                request.answer.abort()
        lag = attempt.ended_at - attempt.sent_at
        self._post(
            i.AttemptEnded(
                request.key, attempt.number, attempt.endpoint, outcome, request.finished, lag, kept, report
            )
        )
        if self.observers.active:
            self.observers.attempt_ended(attempt)
        self._forget(request)
        attempt.stop()

    def try_hand_over(self, in_flight: InFlightAttempt) -> bool:
        """Try to hand a stream over to another process of this router; whether it was taken."""
        return self.hand_over is not None and not in_flight.handover_rejected and self.hand_over(in_flight)

    def stream_handed_over(self, attempt: Attempt) -> None:
        """End the local side of a stream that another process has taken over."""
        if not attempt.request.finished:
            self._settle(attempt.request, "given")
        self.end_attempt(attempt, i.Outcome.CANCELLED)

    def take_over(
        self, stream: TransferredStream, facts: i.RequestArrived, answer: Answer, connection: int
    ) -> tuple[Request, Attempt]:
        """Register a stream that another process started, without notifying the decision module.

        `facts` hold its class and tenant under this process's settings.
        """
        key = str(next(self._keys))
        facts = replace(facts, request=key)
        request = Request(
            key, stream.id, Message(), answer, facts, stream.taken_at, stream.deadline, connection
        )
        attempt = Attempt(request, 0, stream.endpoint, stream.sent_at)
        attempt.first_at, request.serving_attempt = stream.first_at, attempt
        request.attempts.append(attempt)
        self._register(request, facts)
        return request, attempt

    def _register(self, request: Request, facts: i.RequestArrived) -> None:
        """Mark a request as open, until `_forget`."""
        self._requests[request.key] = request
        self.ids.open(request.id)
        if self.observers.active:
            self.observers.request_taken(request, facts)

    def probe_done(self, endpoint: str, outcome: i.Outcome, lag: float, report: i.Report | None) -> None:
        """Report the result of a probe."""
        if self.observers.active:
            if report is not None:
                self.observers.probe_answered(endpoint, report)
            self.observers.probe_ended(endpoint, outcome, lag)
        self._post(i.ProbeAnswered(endpoint, outcome, lag, report))

    # The loop

    def _post(self, event: i.Event) -> None:
        self._inbox.add(event)
        self._wake.set()

    def _run(self) -> None:
        last = 0.0
        while True:
            if not self._inbox:
                self._wake.clear()
                now = self.now()
                due = self._timers.next_at(now) - now
                if due > 0:
                    self._wake.wait(due / 1000)
            early = last + self.config.settings.tick_ms - self.now()
            if early > TIMER_CHECK_MS:  # deadlines are not delayed until the next tick
                gevent.sleep(TIMER_CHECK_MS / 1000)
                self._run_timers(self.now())
                continue
            if early > 0:
                gevent.sleep(early / 1000)
            last = self.now()
            self._run_timers(last)
            self._decide_in_batches(self._inbox.take())

    def _run_timers(self, now: float) -> None:
        """Run the timers that are due, yielding in between so that hundreds of them do not delay streams."""
        run, more = 0, True
        while more:
            if run == MAX_EVENTS_PER_TURN:
                run = 0
                yield_to_others()
            run += 1
            try:
                more = self._timers.run_next(now)
            except Exception as error:  # a failure of one request must not end the loop
                log_exception("timer", error)

    def _decide_in_batches(self, events: list[i.Event]) -> None:
        """Decide on the events in batches, running due timers and other greenlets in between.

        Deciding on hundreds of requests and starting their attempts would use up much of the delay that
        a stream's event may have.
        """
        for first in range(0, len(events), MAX_EVENTS_PER_TURN):
            if first:
                yield_to_others()
                self._run_timers(self.now())
            now, batch = (
                self.now(),
                self._inbox.take_list_updates() + events[first : first + MAX_EVENTS_PER_TURN],
            )
            self._decide(now, [self._with_current_budget(event, now) for event in batch])

    def _with_current_budget(self, event: i.Event, now: float) -> i.Event:
        """Count a request's budget from the time of its batch: otherwise its deadline would be too late."""
        if isinstance(event, i.RequestArrived) and event.request in self._requests:
            return replace(event, budget_ms=self._requests[event.request].deadline - now)
        return event

    def _decide(self, now: float, events: list[i.Event]) -> None:
        try:
            actions = self._decider.handle(now, events)
        except Exception as error:
            # Keep the actions decided before the error. Requests of this batch that were not sent fail now
            # instead of waiting for their deadline, and its timers are set again, or they would be lost.
            log_exception("decisions", error)
            actions = list(self._decider.actions)
            sent = {action.request for action in actions if isinstance(action, i.Send)}
            for event in events:
                if isinstance(event, i.RequestArrived) and event.request not in sent:
                    actions.append(i.Fail(event.request))
            actions += lost_timers(events, actions)
        for action in actions:
            try:
                self._handlers[type(action)](action)
            except Exception as error:
                log_exception(f"action {type(action).__name__}", error)

    def _deadline(self, key: str) -> None:
        request = self._requests.get(key)
        if request is None or request.serving_attempt is not None:
            return
        for attempt in list(request.attempts):
            self.end_attempt(attempt, i.Outcome.TIMEOUT)
        if not request.finished:
            # Not sooner: the decision module is notified in this tick and mostly answers in the next.
            patience = min(OVERDUE_TICKS * self.config.settings.tick_ms, MAX_OVERDUE_MS)
            self._timers.call_at(self.now() + patience, lambda: self._overdue(key))

    def _overdue(self, key: str) -> None:
        """Fail a request that the decision module left open past its deadline."""
        request = self._requests.get(key)
        if request is not None and not request.finished and request.serving_attempt is None:
            log("overdue", request=key)
            self._answer(request, "failed", lambda answer: answer.fail(True))
            self._post(i.RequestGone(key))

    # Actions

    def _send(self, action: i.Send) -> None:
        request = self._requests.get(action.request)
        if request is None:
            return log("send_for_unknown", request=action.request)
        attempt = Attempt(request, len(request.attempts), action.replica, self.now())
        request.attempts.append(attempt)
        if len(request.attempts) > request.max_attempts or not self.may_send(attempt):
            return self.end_attempt(attempt, i.Outcome.MOOT)
        if action.max_wait_ms > 0:
            self._timers.limit(attempt.sent_at + action.max_wait_ms, request.key, attempt.number)
        try:
            self._endpoints.send(attempt)
        except Exception as error:
            log_exception("send", error)
            self.end_attempt(attempt, i.Outcome.MOOT)  # otherwise the request would wait for its deadline

    def _expire(self, limit: TimeLimit) -> None:
        """Act on a limit that is due."""
        if limit.attempt == WHOLE_REQUEST:
            return self._deadline(limit.key)
        request = self._requests.get(limit.key)
        if request is not None and request.attempts[limit.attempt] is not request.serving_attempt:
            self.end_attempt(request.attempts[limit.attempt], i.Outcome.TIMEOUT)

    def _fail_fast(self, action: i.Refuse) -> None:
        request = self._requests.get(action.request)
        after, header = action.retry_after_ms, action.header
        self._answer(request, "fail_fast", lambda answer: answer.fail_fast(after, header))

    def _fail(self, action: i.Fail) -> None:
        request = self._requests.get(action.request)
        if request is not None and any(a.outcome is i.Outcome.REJECTED for a in request.attempts):
            return self._answer(request, "rejected", lambda answer: answer.reject())
        late = request is not None and self.now() >= request.deadline
        self._answer(request, "failed", lambda answer: answer.fail(late))

    def _answer(self, request: Request | None, how: str, give: Callable[[Answer], None]) -> None:
        if request is None or request.finished or request.serving_attempt is not None:
            return  # already settled: the client disconnected, or a stream began in the same tick
        self._settle(request, how)
        give(request.answer)
        self._forget(request)

    def _settle(self, request: Request, how: str) -> None:
        """Fix a request's result and notify the observers, once per request."""
        request.finish(how)
        if self.observers.active:
            self.observers.request_answered(request)

    def _cancel(self, action: i.Cancel) -> None:
        request = self._requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            attempt = request.attempts[action.attempt]
            if request.serving_attempt is not attempt:
                self.end_attempt(attempt, i.Outcome.CANCELLED)

    def _probe(self, action: i.Probe) -> None:
        self._endpoints.probe(action.replica)

    def _set_timer(self, action: i.SetTimer) -> None:
        self._timers.call_at(self.now() + action.in_ms, lambda: self._post(i.TimerFired(action.token)))

    def _subscribe(self, action: i.Subscribe) -> None:
        self.destinations.ensure_watch()

    def _forget(self, request: Request) -> None:
        if request.settled() and self._requests.pop(request.key, None) is not None:
            self.ids.end(request.id, any(not attempt.never_ran() for attempt in request.attempts))
            now = self.now()
            log("request", **request.log_fields(now))
            if self.observers.active:
                self.observers.request_over(request, now)
            request.release()
            self._timers.request_ended()
