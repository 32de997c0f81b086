"""The door before the decisions, as a policy of the lab. A session's last digits stand for its client."""

from __future__ import annotations

from spoolbarrow import interface as i
from spoolbarrow.door import door as d
from spoolbarrow.router import Router

CLIENTS = 40  # of a tenant


class Doored:
    """A router with a door."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.router = Router(settings, seed)
        self.settings = settings
        weights = tuple(max(tenant.portion, 1e-6) for tenant in settings.tenants)
        self.door = d.Door(d.Settings(weights=weights, max_retry_after_ms=settings.max_retry_after_ms), seed)
        self.work: dict[str, tuple[int, int]] = {}  # prompt and answer of what was let in

    def handle(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Decide on what happened."""
        at_door: list[d.Event] = []
        arrived: dict[str, i.RequestArrived] = {}
        passed: list[i.Event] = []
        for event in events:
            if isinstance(event, i.RequestArrived):
                arrived[event.request] = event
                at_door.append(self._arrived(event))
                continue
            passed.append(event)
            if isinstance(event, i.StreamStarted):
                at_door.append(d.Started(event.request))
            elif isinstance(event, i.RequestGone):
                at_door.append(self._over(event.request, False, 0))
            elif isinstance(event, i.AttemptEnded) and event.closed:
                at_door.append(
                    self._over(event.request, event.outcome is i.Outcome.SERVED, event.kept_tokens)
                )
        actions: list[i.Action] = []
        for action in self.door.handle(now_ms, at_door):
            if isinstance(action, d.LetIn):
                passed.append(arrived[action.request])
            else:
                self.work.pop(action.request, None)
                actions.append(i.Refuse(action.request, action.retry_after_ms))
        actions += self.router.handle(now_ms, passed)
        ended: list[d.Event] = [
            self._over(action.request, False, 0)
            for action in actions
            if isinstance(action, (i.Refuse, i.Fail)) and action.request in self.work
        ]
        self.door.handle(now_ms, ended)
        return actions

    def _arrived(self, event: i.RequestArrived) -> d.Arrived:
        cls = self.settings.classes[event.cls]
        self.work[event.request] = (event.prompt_tokens, event.max_answer_tokens)
        return d.Arrived(
            request=event.request,
            tenant=event.tenant,
            client=f"{event.tenant}/{event.session % CLIENTS}",
            session=event.session,
            work=float(event.prompt_tokens + event.max_answer_tokens),
            aim_ms=cls.aim_ms + cls.aim_ms_per_token * event.prompt_tokens,
            digest=event.prompt_tokens.to_bytes(8, "big"),
        )

    def _over(self, request: str, served: bool, kept: int) -> d.Ended:
        prompt, answer = self.work.pop(request, (0, 0))
        return d.Ended(request, served, float(prompt - kept + answer) if served else 0.0)
