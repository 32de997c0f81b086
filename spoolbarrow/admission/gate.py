"""The door before the decisions: what stands where a router's decisions stood, and passes on to them.

It hands the decisions every event but the requests that are turned away, and gives what they refuse the time
that the calendar tells. Where the door itself fails, it lets everybody in: it must never cost an answer.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.admission import controller as d
from spoolbarrow.router import ZONE_MEAN_VALID_MS, Router

TIMER = "door"
OURS = frozenset({i.RequestArrived, i.AttemptEnded, i.RequestGone})
FINAL = frozenset({i.Refuse, i.Fail})
LOOK_MS = 50.0  # between looks at how full the fleet is


class Caller(Struct, frozen=True):
    """Who asks; 0 where it is not told, None where clients do not mark their retries."""

    client: int
    prompt: int = 0
    ticket: int = 0  # shown with the request, and good
    repeat: bool | None = None


class Rejection(Struct, frozen=True):
    """A request that was turned away."""

    event: i.RequestArrived
    answer: d.Reject


def tenant_weights(settings: i.Settings) -> tuple[float, ...]:
    """Of the tenants where the operator names none: their quotas where all have one, else their portions."""
    quotas = [t.quota_per_s for t in settings.tenants]
    found = quotas if quotas and min(quotas) > 0.0 else [t.portion for t in settings.tenants]
    return tuple(max(weight, 1e-6) for weight in found) or (1.0,)


def expected(event: i.RequestArrived) -> float:
    """The work of a request as far as it is told, tokens."""
    return float(event.prompt_tokens + event.max_answer_tokens)


def no_header(ticket: int) -> bytes:
    """Tickets are not shown to clients."""
    return b""


class AdmissionGate:
    """A router with a door.

    `who` tells who asks a request, `told` hears of those turned away, `failed` of a fault in the door; where
    nobody hears of that, it is raised. `header` is the line of the answer that shows its client a ticket.
    """

    def __init__(
        self,
        router: Router,
        settings: d.Settings,
        seed: int,
        who: Callable[[i.RequestArrived], Caller],
        told: Callable[[Rejection], None] = lambda told: None,
        failed: Callable[[Exception], None] | None = None,
        header: Callable[[int], bytes] = no_header,
    ) -> None:
        self.router = router
        self.door = d.AdmissionController(settings, seed)
        self.actions: list[i.Action] = []
        self._who, self._on_rejected, self._failed, self._header = who, told, failed, header
        self._events: dict[str, i.RequestArrived] = {}  # at the door, or let in and not over
        self._looked_at = float("-inf")
        self._over: list[str] = []  # what the decisions have failed since the last look

    def configure(self, settings: i.Settings) -> None:
        """Go by other settings of the decisions."""
        self.router.configure(settings)

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Decide on what happened."""
        self.actions = []
        passed = events  # of most batches: news of engines, timers, first tokens
        for event in events:
            if type(event) in OURS:
                passed = self._gated(now, events)
                break
        else:
            if self.door.waiting:
                passed = self._gated(now, events)
        try:
            decided = self.router.handle(now, passed)
        except Exception:
            self.actions += self.router.actions  # what was decided before it stands
            raise
        for action in decided:
            if type(action) in FINAL:
                self._after(now, decided)
                return self.actions
        if self.actions:
            self.actions += decided
        else:
            self.actions = decided
        return self.actions

    def _gated(self, now: float, events: list[i.Event]) -> list[i.Event]:
        """What goes on to the decisions; all of it where the door fails."""
        try:
            return self._before(now, events)
        except Exception as error:
            self._fault(error)
            self.actions = []
            passed = [e for e in events if not (isinstance(e, i.TimerFired) and e.token == TIMER)]
            self._events |= {e.request: e for e in events if isinstance(e, i.RequestArrived)}
            return passed

    def _after(self, now: float, decided: list[i.Action]) -> None:
        """The decisions' refusals get their time from the door."""
        refused = [a for a in decided if type(a) is i.Refuse]
        failed = [a for a in decided if type(a) is i.Fail]
        for action in failed:
            if self._events.pop(action.request, None) is not None:
                self._over.append(action.request)
        self.actions += [a for a in decided if type(a) is not i.Refuse]
        declined: list[d.Event] = []
        for refusal in refused:
            event = self._events.get(refusal.request)
            if event is not None:
                declined.append(d.RefusedByRouter(self._arrived(event), refusal.retry_after_ms))
        try:
            self._apply(self.door.handle(now, declined), [])
        except Exception as error:
            self._fault(error)
        # Of those that the door knew nothing of, or failed on, the decisions' own answer stands.
        told = {action.request for action in self.actions if type(action) is i.Refuse}
        for refusal in refused:
            self._events.pop(refusal.request, None)
            if refusal.request not in told:
                self.actions.append(refusal)

    def _before(self, now: float, events: list[i.Event]) -> list[i.Event]:
        """What of a batch goes on to the decisions."""
        door = self.door
        passed: list[i.Event] = []
        at_door: list[d.Event] = []
        if self._over:
            for name in self._over:
                door.left(now, name, False, 0.0)
            self._over.clear()
        if not 0.0 <= now - self._looked_at < LOOK_MS:
            self._looked_at = now
            door.look(now, self._fullness(now))
        for event in events:
            if isinstance(event, i.RequestArrived):
                self._events[event.request] = event
                if door.passes(now, event.request, event.tenant, expected(event)):
                    passed.append(event)
                else:
                    at_door.append(self._arrived(event))
            elif isinstance(event, i.AttemptEnded):
                passed.append(event)
                if event.closed:
                    door.left(now, event.request, *self._work(event))
            elif isinstance(event, i.RequestGone):
                passed.append(event)
                self._events.pop(event.request, None)
                door.left(now, event.request, False, 0.0)
            elif isinstance(event, i.TimerFired) and event.token == TIMER:
                at_door.append(d.TimerFired())
            else:
                passed.append(event)
        if at_door or door.waiting:
            self._apply(door.handle(now, at_door), passed)
        return passed

    def _fault(self, error: Exception) -> None:
        if self._failed is None:
            raise error
        self._failed(error)

    def waiting(self) -> list[i.RequestArrived]:
        """Who waits at the door; with the door gone they are the decisions' to answer."""
        return [self._events[name] for name in self.door.waiting]

    def _fullness(self, now: float) -> float:
        """The mean wait in the own zone, as a share of what counts as full; 0 where nothing is known."""
        pool, zone = self.router.pool, self.router.settings.zone
        if now - pool.zone_updated_at[zone] > ZONE_MEAN_VALID_MS:
            return 0.0
        return pool.zone_load_ms[zone] * pool.late_factor / self.router.full_wait_ms

    def _arrived(self, event: i.RequestArrived) -> d.Arrived:
        caller = self._who(event)
        classes, aim = (event.settings or self.router.settings).classes, 1.0
        if 0 <= event.cls < len(classes):  # a class never told is refused by the decisions
            aim = classes[event.cls].aim(event.prompt_tokens)
        return d.Arrived(
            event.request, event.tenant, caller.client, expected(event), event.budget_ms, aim, event.session,
            caller.prompt, caller.ticket, caller.repeat, event.resumed,
        )  # fmt: skip

    def _work(self, event: i.AttemptEnded) -> tuple[bool, float]:
        """Whether a request was served, and what it truly cost."""
        asked = self._events.pop(event.request, None)
        if asked is None or event.outcome is not i.Outcome.SERVED:
            return False, 0.0
        return True, max(1.0, expected(asked) - event.kept_tokens)

    def _apply(self, actions: list[d.Action], passed: list[i.Event]) -> None:
        for action in actions:
            if isinstance(action, d.Admit):
                event = self._events[action.request]
                if action.promised or action.waited_ms or action.standing != 1.0:
                    left = event.budget_ms - action.waited_ms
                    event = replace(event, budget_ms=left, promised=action.promised, standing=action.standing)
                passed.append(event)
            elif isinstance(action, d.Reject):
                event = self._events.pop(action.request)
                header = self._header(action.ticket) if action.ticket else b""
                self.actions.append(i.Refuse(action.request, action.retry_after_ms, header))
                self._on_rejected(Rejection(event, action))
            else:
                self.actions.append(i.SetTimer(TIMER, action.in_ms))
