"""The door before the decisions: what stands where a router's decisions stood, and passes on to them.

It hands the decisions every event but the requests that are turned away, and gives what they refuse the time
that the calendar tells. Where the door itself fails, it lets everybody in: it must never cost an answer.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.door import door as d
from spoolbarrow.router import ZONE_MS, Router

TIMER = "door"


class Caller(Struct, frozen=True):
    """Who asks; 0 where it is not told, None where clients do not mark their retries."""

    client: int
    prompt: int = 0
    ticket: int = 0  # shown with the request, and good
    repeat: bool | None = None


class Told(Struct, frozen=True):
    """A request that was turned away."""

    event: i.RequestArrived
    away: d.TurnedAway


def weights(settings: i.Settings) -> tuple[float, ...]:
    """Of the tenants where the operator names none: their quotas where all have one, else their portions."""
    quotas = [t.quota_per_s for t in settings.tenants]
    found = quotas if quotas and min(quotas) > 0.0 else [t.portion for t in settings.tenants]
    return tuple(max(weight, 1e-6) for weight in found) or (1.0,)


def no_header(ticket: int) -> bytes:
    """Tickets are not shown to clients."""
    return b""


class Gate:
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
        told: Callable[[Told], None] = lambda told: None,
        failed: Callable[[Exception], None] | None = None,
        header: Callable[[int], bytes] = no_header,
    ) -> None:
        self.router = router
        self.door = d.Door(settings, seed)
        self.actions: list[i.Action] = []
        self._who, self._told, self._failed, self._header = who, told, failed, header
        self._events: dict[str, i.RequestArrived] = {}  # at the door, or let in and not over
        self._over: list[d.Event] = []  # what the decisions have ended since the last look

    def configure(self, settings: i.Settings) -> None:
        """Go by other settings of the decisions."""
        self.router.configure(settings)

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Decide on what happened."""
        self.actions = []
        passed: list[i.Event] = []
        at_door: list[d.Event] = [d.Load(self._fullness(now)), *self._over]
        self._over = []
        for event in events:
            if isinstance(event, i.RequestArrived):
                self._events[event.request] = event
                at_door.append(self._arrived(event))
                continue
            if isinstance(event, i.TimerFired) and event.token == TIMER:
                at_door.append(d.Woken())
                continue
            if isinstance(event, i.AttemptEnded) and event.closed:
                at_door.append(self._ended(event))
            elif isinstance(event, i.RequestGone):
                self._events.pop(event.request, None)
                at_door.append(d.Ended(event.request, False))
            passed.append(event)
        self._apply(self._ask(now, at_door), passed)
        declined: list[d.Event] = []
        refused: dict[str, i.Refuse] = {}
        try:
            decided = self.router.handle(now, passed)
        except Exception:
            self.actions += self.router.actions  # what was decided before it stands
            raise
        for action in decided:
            if isinstance(action, i.Refuse) and action.request in self._events:
                declined.append(d.Declined(action.request, action.retry_after_ms))
                refused[action.request] = action
                continue
            if isinstance(action, i.Fail) and self._events.pop(action.request, None) is not None:
                self._over.append(d.Ended(action.request, False))
            self.actions.append(action)
        if declined:
            self._apply(self._ask(now, declined), [])
        for name in refused.keys() & self._events.keys():  # the door knew nothing of it, or failed
            del self._events[name]
            self.actions.append(refused[name])
        return self.actions

    def waiting(self) -> list[i.RequestArrived]:
        """Who waits at the door; with the door gone they are the decisions' to answer."""
        return [self._events[name] for name in self.door.waiting]

    def _fullness(self, now: float) -> float:
        """The mean wait in the own zone, as a share of what counts as full; 0 where nothing is known."""
        pool, zone = self.router.pool, self.router.settings.zone
        if now - pool.zone_at[zone] > ZONE_MS:
            return 0.0
        return pool.zone_load[zone] * pool.lateness / self.router.full_ms

    def _arrived(self, event: i.RequestArrived) -> d.Arrived:
        caller = self._who(event)
        work = float(event.prompt_tokens + event.max_answer_tokens)
        return d.Arrived(
            event.request, event.tenant, caller.client, work, event.budget_ms, event.session, caller.prompt,
            caller.ticket, caller.repeat, event.resumed,
        )  # fmt: skip

    def _ended(self, event: i.AttemptEnded) -> d.Ended:
        asked = self._events.pop(event.request, None)
        served = event.outcome is i.Outcome.SERVED and asked is not None
        work = asked.prompt_tokens - event.kept_tokens + asked.max_answer_tokens if asked is not None else 0
        return d.Ended(event.request, served, float(max(work, 1)) if served else 0.0)

    def _ask(self, now: float, events: list[d.Event]) -> list[d.Action]:
        try:
            return self.door.handle(now, events)
        except Exception as error:
            if self._failed is None:
                raise
            self._failed(error)
            return [d.LetIn(event.request) for event in events if isinstance(event, d.Arrived)]

    def _apply(self, actions: list[d.Action], passed: list[i.Event]) -> None:
        for action in actions:
            if isinstance(action, d.LetIn):
                event = self._events[action.request]
                if action.promised or action.waited_ms:
                    left = event.budget_ms - action.waited_ms
                    event = replace(event, budget_ms=left, promised=action.promised)
                passed.append(event)
            elif isinstance(action, d.TurnedAway):
                event = self._events.pop(action.request)
                header = self._header(action.ticket) if action.ticket else b""
                self.actions.append(i.Refuse(action.request, action.retry_after_ms, header))
                self._told(Told(event, action))
            else:
                self.actions.append(i.SetTimer(TIMER, action.in_ms))
