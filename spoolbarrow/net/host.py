"""The decision module's interface on the sockets: clock, timers, open requests, each action carried out.

One greenlet alone calls `Router.handle`, on what has come in within a tick; where that is much, in several
calls, between which other greenlets run. Nothing that it does for an action waits: attempts, probes and
answers go on in greenlets of their own and come back as events. The host knows no protocol: whoever takes
requests in hands over an `Answer` to give, and a message to send on.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
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
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.inbox import Inbox
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.loop_iterations import LoopIterations
from spoolbarrow.net.observers import Observers
from spoolbarrow.net.request import Answer, Attempt, Request, TransferredStream
from spoolbarrow.router import Router

if TYPE_CHECKING:
    from spoolbarrow.fleet.documents import SharedState

AT_ONCE = 32  # events decided on, or timers run, before other greenlets have their turn: some ms of a core
OVERDUE_TICKS = (
    2.0  # past its deadline: a request that the decisions then leave open is answered by the host,
)
OVERDUE_MS = 4.0  # at the latest so long past it, however long a tick is: the answer's margin is 15
TIMER_LOOK_MS = 2.0  # between looks at timers within a tick
AGAIN_MS = 1000.0  # a timer of the decisions that a fault swallowed comes again so much later


class Decider(Protocol):
    """What the host asks: the decisions, or what stands before them."""

    actions: list[i.Action]  # of the last batch, as far as it went

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Decide on what happened."""


class Host:
    """The decisions' surroundings on one machine."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config = config
        self.now = clock or Clock()
        self.loop_iterations = LoopIterations(lambda: self.now())
        self.observers = Observers()
        self.fleet: SharedState | None = None  # where the store is followed; versions are told of it
        self.destinations = DestinationSet(config, self._post, self._endpoint_left, self.now)
        self._endpoints = EndpointClient(config, self.destinations, self)
        self._router = Router(config.settings, config.seed)
        self._decider: Decider = self._router
        self._requests: dict[str, Request] = {}
        self._ids: set[str] = set()  # the clients' names for them
        self._keys = count(1)
        self._inbox = Inbox()
        self._wake = Event()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_order = count()
        self._do: dict[type, Callable[..., None]] = {
            i.Send: self._send,
            i.Refuse: self._fail_fast,
            i.Fail: self._fail,
            i.Cancel: self._cancel,
            i.Probe: self._probe,
            i.SetTimer: self._set_timer,
            i.Subscribe: self._subscribe,
        }
        self._loop: gevent.Greenlet[[], None] | None = None
        self.hand_over: Callable[[InFlightAttempt], bool] | None = None  # where streams go to another process

    def start(
        self,
        known: HostList | None = None,
        resumed: dict[str, float] | None = None,
        warm: Callable[[Router], None] | None = None,
    ) -> None:
        """Begin deciding, on the list as last held; `warm` has the decisions know what was passed with it."""
        self.destinations.restore(known, resumed)
        if warm is not None:
            self._decide(self.now(), self._inbox.take())
            warm(self._router)
        if not self.config.settings.subscribe:
            self.destinations.hear_first()  # the decisions expect news unasked
        self._loop = gevent.spawn(self._run)

    def is_deciding(self) -> bool:
        """Whether what is taken is decided on: not while a first list is waited for."""
        return self._loop is not None

    def apply(self, config: Config) -> None:
        """Go by a new configuration; requests under way keep the settings that they were taken under."""
        self.config = config
        self._router.configure(config.settings)
        self._endpoints.apply(config)
        self.destinations.apply(config)

    def endpoints(self) -> EndpointClient:
        """Who carries attempts out."""
        return self._endpoints

    def router(self) -> Router:
        """The decisions, for whoever passes on what they learnt; only the host's greenlet has them decide."""
        return self._router

    def stop(self) -> None:
        """End what still runs for no request."""
        self.loop_iterations.stop()
        self.destinations.close()
        if self._loop is not None:
            self._loop.kill()
        self._endpoints.close()

    def open_requests(self) -> int:
        """Requests that are not answered yet, or whose attempts are still out."""
        return len(self._requests)

    def in_progress(self) -> int:
        """Requests that were taken and are not answered whole."""
        return sum(not request.finished for request in self._requests.values())

    def endpoint_counts(self) -> tuple[int, int]:
        """How many endpoints are listed, and how many of them get nothing now, by hand or by choice."""
        now, pool = self.now(), self._router.pool.replicas
        listed = self.destinations.names()
        chosen = {name for name, replica in pool.items() if now < replica.suspect_until}
        return len(listed), sum(name in chosen or self.destinations.suspended(name) for name in listed)

    def set_decider(self, make: Callable[[Router], Decider] | None) -> None:
        """Put something before the decisions from the next batch on; None: nothing."""
        self._decider = self._router if make is None else make(self._router)

    def resubmit(self, events: list[i.RequestArrived]) -> None:
        """Requests that were taken and not decided on; not those whose clients have gone meanwhile."""
        for event in events:
            if event.request in self._requests:
                self._post(event)

    def find_request(self, key: str) -> Request | None:
        """One that is open, by the host's name for it."""
        return self._requests.get(key)

    # The client's side

    def is_open(self, id: str) -> bool:
        """Whether a request that its client named so is still open, or an attempt at it."""
        return id in self._ids

    def submit(
        self,
        id: str,
        message: Message,
        answer: Answer,
        deadline: float,
        facts: i.RequestArrived,
        connection: int = 0,
    ) -> Request:
        """Take a request; from here on it gets exactly one answer, before `deadline` if it is no stream."""
        key = str(next(self._keys))
        settings = facts.settings or self.config.settings
        facts = replace(facts, request=key, settings=settings)
        request = Request(key, id, message, answer, facts, self.now(), deadline, connection)
        cls, request.max_attempts = settings.classes[facts.cls], settings.max_attempts
        if cls.effect is i.Effect.KEYED:
            request.repeat_window_ms = cls.window_ms - settings.tick_ms  # as the decisions count it
        self._enter(request, facts)
        self._post(facts)
        self._at(deadline, lambda: self._deadline(key))
        return request

    def client_left(self, request: Request) -> None:
        """The client closed its connection before its answer was whole."""
        if request.finished:
            return
        self._settle(request, "left")
        if request.serving_attempt is not None:
            self.end_attempt(request.serving_attempt, i.Outcome.CANCELLED)
        self._post(i.RequestGone(request.key))
        self._forget(request)

    def move_streams(self) -> None:
        """Break off what streams, so that its client goes on with the rest by another router.

        Not one whose endpoint has finished it: it is passed on to its end.
        """
        for request in [
            r for r in self._requests.values() if r.serving_attempt is not None and not r.finished
        ]:
            stream = request.serving_attempt
            assert stream is not None
            if stream.answer_reader is not None and stream.answer_reader.must_finish():
                continue
            self._settle(request, "moved")
            request.answer.abort()
            self.end_attempt(stream, i.Outcome.CANCELLED)

    def answer_all(self, retry_after_ms: float) -> None:
        """Give what waits for its first event its final answer: refused where no endpoint can have run it."""
        for request in [r for r in self._requests.values() if r.serving_attempt is None and not r.finished]:
            if all(attempt.never_ran() for attempt in request.attempts):
                self._answer(request, "fail_fast", lambda answer: answer.fail_fast(retry_after_ms))
            else:
                self._answer(request, "failed", lambda answer: answer.fail(False))
            self._post(i.RequestGone(request.key))

    # The endpoints' side

    def _endpoint_left(self, endpoint: str) -> None:
        self._endpoints.forget(endpoint)

    def may_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may still be written to its endpoint.

        Asked just before the first byte, and again after each wait for the endpoint to take in more.
        Guards against work for nobody: a client's end stands in the kernel until its reader's turn comes,
        perhaps long after a full batch of decisions. One that has gone is settled here, as its reader would.
        And against a second effect: a connection may have come up after the time for repeats.
        """
        request, now = attempt.request, self.now()
        if (
            attempt.ended
            or request.finished
            or request.serving_attempt is not None
            or now >= request.deadline
        ):
            return False
        if not request.may_repeat(attempt, now):
            return False
        if request.answer.disconnected():
            self.client_left(request)
            return False
        return True

    def claim(self, attempt: Attempt) -> bool:
        """An attempt's first event has come: whether it is the client's, or another one was first."""
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
        """The one outcome of an attempt; a later one is ignored."""
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

    def passes(self, underway: InFlightAttempt) -> bool:
        """Whether a stream has just gone to another process of this router."""
        return self.hand_over is not None and self.hand_over(underway)

    def stream_handed_over(self, attempt: Attempt) -> None:
        """Another process has taken this stream over: nothing more of it is told here."""
        if not attempt.request.finished:
            self._settle(attempt.request, "given")
        self.end_attempt(attempt, i.Outcome.CANCELLED)

    def take_over(
        self, stream: TransferredStream, facts: i.RequestArrived, answer: Answer, connection: int
    ) -> tuple[Request, Attempt]:
        """A stream that another process took and began; the decisions never hear of it.

        `facts` have its class and tenant, under this process's settings.
        """
        key = str(next(self._keys))
        facts = replace(facts, request=key)
        request = Request(
            key, stream.id, Message(), answer, facts, stream.taken_at, stream.deadline, connection
        )
        attempt = Attempt(request, 0, stream.endpoint, stream.sent_at)
        attempt.first_at, request.serving_attempt = stream.first_at, attempt
        request.attempts.append(attempt)
        self._enter(request, facts)
        return request, attempt

    def _enter(self, request: Request, facts: i.RequestArrived) -> None:
        """It is open from here on, until `_forget`."""
        self._requests[request.key] = request
        self._ids.add(request.id)
        if self.observers.active:
            self.observers.request_taken(request, facts)

    def probe_done(self, endpoint: str, outcome: i.Outcome, lag: float, report: i.Report | None) -> None:
        """The result of a probe."""
        if self.observers.active:
            if report is not None:
                self.observers.probe_answered(endpoint, report)
            self.observers.probe_ended(endpoint, outcome, lag)
        self._post(i.ProbeAnswered(endpoint, outcome, lag, report))

    # The loop

    def _post(self, event: i.Event) -> None:
        self._inbox.add(event)
        self._wake.set()

    def _at(self, when: float, call: Callable[[], None]) -> None:
        heappush(self._timers, (when, next(self._timer_order), call))

    def _run(self) -> None:
        last = 0.0
        while True:
            if not self._inbox:
                self._wake.clear()
                due = self._timers[0][0] - self.now() if self._timers else 1000.0
                if due > 0:
                    self._wake.wait(due / 1000)
            early = last + self.config.settings.tick_ms - self.now()
            if early > TIMER_LOOK_MS:  # a deadline waits for no tick
                gevent.sleep(TIMER_LOOK_MS / 1000)
                self._run_timers(self.now())
                continue
            if early > 0:
                gevent.sleep(early / 1000)
            last = self.now()
            self._run_timers(last)
            self._decide_in_turns(self._inbox.take())

    def _run_timers(self, now: float) -> None:
        """Run those that are due; hundreds of them must not hold the events of streams up."""
        run = 0
        while self._timers and self._timers[0][0] <= now:
            if run == AT_ONCE:
                run = 0
                yield_to_others()
            run += 1
            try:
                heappop(self._timers)[2]()
            except Exception as error:  # the loop must outlive whatever one request runs into
                log_exception("timer", error)

    def _decide_in_turns(self, events: list[i.Event]) -> None:
        """Decide on what has come in, some events at a time.

        Guards the events of streams: deciding on hundreds of requests and beginning their attempts takes a
        good part of what an event may be late. Timers run in between, for deadlines do not wait either.
        """
        for first in range(0, len(events), AT_ONCE):
            if first:
                yield_to_others()
                self._run_timers(self.now())
            now, batch = self.now(), self._inbox.take_news() + events[first : first + AT_ONCE]
            self._decide(now, [self._dated(event, now) for event in batch])

    def _dated(self, event: i.Event, now: float) -> i.Event:
        """A request's budget counts from the clock of its batch: else the decisions' deadline is too late."""
        if isinstance(event, i.RequestArrived) and event.request in self._requests:
            return replace(event, budget_ms=self._requests[event.request].deadline - now)
        return event

    def _decide(self, now: float, events: list[i.Event]) -> None:
        try:
            actions = self._decider.handle(now, events)
        except Exception as error:
            # What was decided before it stands: a timer lost here would never be set again. A request of
            # this batch that went nowhere is answered now, else it would wait till its deadline.
            log_exception("decisions", error)
            actions = list(self._decider.actions)
            sent = {action.request for action in actions if isinstance(action, i.Send)}
            for event in events:
                if isinstance(event, i.RequestArrived) and event.request not in sent:
                    actions.append(i.Fail(event.request))
            actions += self._swallowed_timers(events, actions)
        for action in actions:
            try:
                self._do[type(action)](action)
            except Exception as error:
                log_exception(f"action {type(action).__name__}", error)

    @staticmethod
    def _swallowed_timers(events: list[i.Event], actions: list[i.Action]) -> list[i.SetTimer]:
        """The timers of a batch that the decisions failed on, but for those that they have set anew."""
        fired = [event.token for event in events if isinstance(event, i.TimerFired)]
        kept = {action.token for action in actions if isinstance(action, i.SetTimer)}
        return [i.SetTimer(token, AGAIN_MS) for token in fired if token not in kept]

    def _deadline(self, key: str) -> None:
        request = self._requests.get(key)
        if request is None or request.serving_attempt is not None:
            return
        for attempt in list(request.attempts):
            self.end_attempt(attempt, i.Outcome.TIMEOUT)
        if not request.finished:
            # Not sooner: the decisions hear of the deadline in this tick and mostly answer in the next.
            patience = min(OVERDUE_TICKS * self.config.settings.tick_ms, OVERDUE_MS)
            self._at(self.now() + patience, lambda: self._overdue(key))

    def _overdue(self, key: str) -> None:
        """Guards a request that the decisions forgot: its client must not wait in vain."""
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
            self._at(attempt.sent_at + action.max_wait_ms, lambda: self._expire(attempt))
        try:
            self._endpoints.send(attempt)
        except Exception as error:
            log_exception("send", error)
            self.end_attempt(attempt, i.Outcome.MOOT)  # else its request would wait for its deadline

    def _expire(self, attempt: Attempt) -> None:
        if attempt.request.serving_attempt is not attempt:
            self.end_attempt(attempt, i.Outcome.TIMEOUT)

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
            return  # over already: the client left, or a stream began in the same tick
        self._settle(request, how)
        give(request.answer)
        self._forget(request)

    def _settle(self, request: Request, how: str) -> None:
        """What it comes to stands; whoever watches hears so, once for each request."""
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
        self._at(self.now() + action.in_ms, lambda: self._post(i.TimerFired(action.token)))

    def _subscribe(self, action: i.Subscribe) -> None:
        self.destinations.ask()

    def _forget(self, request: Request) -> None:
        if request.settled() and self._requests.pop(request.key, None) is not None:
            self._ids.discard(request.id)
            now = self.now()
            log("request", **request.log_fields(now))
            if self.observers.active:
                self.observers.request_over(request, now)
