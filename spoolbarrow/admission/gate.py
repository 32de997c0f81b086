"""Puts admission control in front of a router, with the router's own interface.

It forwards every event except rejected requests to the router, and replaces the retry times of the router's
refusals by those of the calendar. If admission control itself fails, every request is admitted: a fault in it
must never cost an answer.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.admission import controller as d
from spoolbarrow.router import ZONE_MEAN_VALID_MS, Router

TIMER = "door"
HANDLED_EVENTS = frozenset({i.RequestArrived, i.AttemptEnded, i.RequestGone})
FINAL_ACTIONS = frozenset({i.Refuse, i.Fail})
FULLNESS_INTERVAL_MS = 50.0  # between updates of the fleet's fullness


class Caller(Struct, frozen=True):
    """The sender of a request; fields are 0 if unknown, `repeat` is None without a mark."""

    client: int
    prompt: int = 0
    ticket: int = 0  # presented with the request, and valid
    repeat: bool | None = None


class Rejection(Struct, frozen=True):
    """A rejected request and its answer."""

    event: i.RequestArrived
    answer: d.Reject


def tenant_weights(settings: i.Settings) -> tuple[float, ...]:
    """Default weights of the tenants: their quotas if all have one, else their portions."""
    quotas = [t.quota_per_s for t in settings.tenants]
    values = quotas if quotas and min(quotas) > 0.0 else [t.portion for t in settings.tenants]
    return tuple(max(weight, 1e-6) for weight in values) or (1.0,)


def expected_work(event: i.RequestArrived) -> float:
    """The expected work of a request, in tokens."""
    return float(event.prompt_tokens + event.max_answer_tokens)


def no_ticket_header(ticket: int) -> bytes:
    """No header: tickets are not sent to clients."""
    return b""


class AdmissionGate:
    """A router with admission control.

    `identify` returns the sender of a request, `on_rejected` is called for each rejection, `on_error` for a
    fault in admission control, which is raised without it. `ticket_header` makes the answer's ticket header.
    """

    def __init__(
        self,
        router: Router,
        settings: d.Settings,
        seed: int,
        identify: Callable[[i.RequestArrived], Caller],
        on_rejected: Callable[[Rejection], None] = lambda rejection: None,
        on_error: Callable[[Exception], None] | None = None,
        ticket_header: Callable[[int], bytes] = no_ticket_header,
    ) -> None:
        self.router = router
        self.controller = d.AdmissionController(settings, seed)
        self.actions: list[i.Action] = []
        self._identify, self._on_rejected, self._on_error, self._ticket_header = (
            identify,
            on_rejected,
            on_error,
            ticket_header,
        )
        self._events: dict[str, i.RequestArrived] = {}  # waiting, or admitted and not finished
        self._fullness_at = float("-inf")
        self._failed_requests: list[str] = []  # failed by the router since the last batch

    def configure(self, settings: i.Settings) -> None:
        """Apply new settings of the router."""
        self.router.configure(settings)

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Decide on a batch of events."""
        self.actions = []
        forwarded = events  # most batches hold only engine updates, timers, first tokens
        for event in events:
            if type(event) in HANDLED_EVENTS:
                forwarded = self._filter_safely(now, events)
                break
        else:
            if self.controller.waiting:
                forwarded = self._filter_safely(now, events)
        try:
            decided = self.router.handle(now, forwarded)
        except Exception:
            self.actions += self.router.actions  # decisions made before the fault stand
            raise
        for action in decided:
            if type(action) in FINAL_ACTIONS:
                self._on_final_actions(now, decided)
                return self.actions
        if self.actions:
            self.actions += decided
        else:
            self.actions = decided
        return self.actions

    def _filter_safely(self, now: float, events: list[i.Event]) -> list[i.Event]:
        """The events to forward to the router; all of them if admission control fails."""
        try:
            return self._filter(now, events)
        except Exception as error:
            self._report_fault(error)
            self.actions = []
            forwarded = [e for e in events if not (isinstance(e, i.TimerFired) and e.token == TIMER)]
            self._events |= {e.request: e for e in events if isinstance(e, i.RequestArrived)}
            return forwarded

    def _on_final_actions(self, now: float, decided: list[i.Action]) -> None:
        """Give the router's refusals their retry times."""
        refused = [a for a in decided if type(a) is i.Refuse]
        failed = [a for a in decided if type(a) is i.Fail]
        for action in failed:
            if self._events.pop(action.request, None) is not None:
                self._failed_requests.append(action.request)
        self.actions += [a for a in decided if type(a) is not i.Refuse]
        declined: list[d.Event] = []
        for refusal in refused:
            event = self._events.get(refusal.request)
            if event is not None:
                declined.append(d.RefusedByRouter(self._to_arrived(event), refusal.retry_after_ms))
        try:
            self._apply(self.controller.handle(now, declined), [])
        except Exception as error:
            self._report_fault(error)
        # If admission control does not know the request or failed, the router's own refusal stands.
        rejected = {action.request for action in self.actions if type(action) is i.Refuse}
        for refusal in refused:
            self._events.pop(refusal.request, None)
            if refusal.request not in rejected:
                self.actions.append(refusal)

    def _filter(self, now: float, events: list[i.Event]) -> list[i.Event]:
        """The events of a batch to forward to the router."""
        controller = self.controller
        forwarded: list[i.Event] = []
        for_controller: list[d.Event] = []
        if self._failed_requests:
            for name in self._failed_requests:
                controller.request_ended(now, name, False, 0.0)
            self._failed_requests.clear()
        if not 0.0 <= now - self._fullness_at < FULLNESS_INTERVAL_MS:
            self._fullness_at = now
            controller.update_fullness(now, self._fullness(now))
        for event in events:
            if isinstance(event, i.RequestArrived):
                self._events[event.request] = event
                if controller.admit_untracked(now, event.request, event.tenant, expected_work(event)):
                    forwarded.append(event)
                else:
                    for_controller.append(self._to_arrived(event))
            elif isinstance(event, i.AttemptEnded):
                forwarded.append(event)
                if event.closed:
                    controller.request_ended(now, event.request, *self._actual_work(event))
            elif isinstance(event, i.RequestGone):
                forwarded.append(event)
                self._events.pop(event.request, None)
                controller.request_ended(now, event.request, False, 0.0)
            elif isinstance(event, i.TimerFired) and event.token == TIMER:
                for_controller.append(d.TimerFired())
            else:
                forwarded.append(event)
        if for_controller or controller.waiting:
            self._apply(controller.handle(now, for_controller), forwarded)
        return forwarded

    def _report_fault(self, error: Exception) -> None:
        if self._on_error is None:
            raise error
        self._on_error(error)

    def waiting_requests(self) -> list[i.RequestArrived]:
        """The waiting requests, which the router must answer once admission control is off."""
        return [self._events[name] for name in self.controller.waiting]

    def _fullness(self, now: float) -> float:
        """The mean wait in the own zone relative to that of a full zone; 0 if unknown."""
        pool, zone = self.router.pool, self.router.settings.zone
        if now - pool.zone_updated_at[zone] > ZONE_MEAN_VALID_MS:
            return 0.0
        return pool.zone_load_ms[zone] * pool.late_factor / self.router.full_wait_ms

    def _to_arrived(self, event: i.RequestArrived) -> d.Arrived:
        caller = self._identify(event)
        classes, objective_ms = (event.settings or self.router.settings).classes, 1.0
        if 0 <= event.cls < len(classes):  # the router refuses unknown classes
            objective_ms = classes[event.cls].aim(event.prompt_tokens)
        return d.Arrived(
            event.request, event.tenant, caller.client, expected_work(event), event.budget_ms, objective_ms,
            event.session, caller.prompt, caller.ticket, caller.repeat, event.resumed,
        )  # fmt: skip

    def _actual_work(self, event: i.AttemptEnded) -> tuple[bool, float]:
        """Whether a request was served, and its actual cost."""
        arrival = self._events.pop(event.request, None)
        if arrival is None or event.outcome is not i.Outcome.SERVED:
            return False, 0.0
        return True, max(1.0, expected_work(arrival) - event.kept_tokens)

    def _apply(self, actions: list[d.Action], forwarded: list[i.Event]) -> None:
        for action in actions:
            if isinstance(action, d.Admit):
                event = self._events[action.request]
                if action.promised or action.waited_ms or action.standing != 1.0:
                    left = event.budget_ms - action.waited_ms
                    event = replace(event, budget_ms=left, promised=action.promised, standing=action.standing)
                forwarded.append(event)
            elif isinstance(action, d.Reject):
                event = self._events.pop(action.request)
                header = self._ticket_header(action.ticket) if action.ticket else b""
                self.actions.append(i.Refuse(action.request, action.retry_after_ms, header))
                self._on_rejected(Rejection(event, action))
            else:
                self.actions.append(i.SetTimer(TIMER, action.in_ms))
