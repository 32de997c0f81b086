"""The door: each request is let in to the decisions, or told when to come back.

While the fleet is not full everybody is let in, and charged. Where it is, whoever is not ahead of their share
of what is under way: the tenant by weight, the client within it (shares.py), by the client's own account or
the emptiest of its buckets (clients.py). Retries beyond their tenant's budget are turned away then
(retries.py). Whoever is turned away, here or by the decisions, gets a time from the calendar (calendar.py),
and is let in when it comes at it. Where the operator allows it, who would be turned away waits first. Times
in ms, work in tokens; no I/O, no clock.
"""

from __future__ import annotations

from collections import Counter, deque
from math import inf
from random import Random

from msgspec import Struct

from spoolbarrow.admission.capacity import CapacityEstimator
from spoolbarrow.admission.clients import ClientAccounts
from spoolbarrow.admission.reservations import ReservationCalendar
from spoolbarrow.admission.retries import RetryBudget, RetryDetector
from spoolbarrow.admission.shares import TenantShares

COST_LEARN = 0.02  # weight of one answer in what prompts and answers truly cost
LEAST_COST = 0.05  # share of what was expected, at least
SERVICE_LEARN = 0.05  # weight of one answer in the mean time of service
WATCH, UNWATCH = 0.35, 0.2  # fullness from which accounts are kept, and below which they are dropped
SHORT = 0.4  # fullness from which shares are kept; at 1 the decisions begin to refuse
LEEWAY, LEEWAY_LEAST = 1.4, 1.0  # of a share, less the fullness; and at least
STEEP = 2.0  # power by which a tenant's standing falls with the shares that it has
STANDING_LEAST, STANDING_MOST = 0.2, 5.0  # shares that count for it
WRONGED, WRONGED_LEARN = 0.2, 0.03  # share of a tenant's refused within its own, from which loans end
FLAGRANT = 1.1  # shares: beyond so much it is refused here, below it has lower standing with the decisions
TIMELY = 0.5  # of the aim: a promise later than this could not be served in time
CLIENT_EVEN = 2.0  # or so many times an even part of what its tenant has
CLIENT_ALPHA = 8.0  # a client may be so many times as far ahead as its tenant has room left
AHEAD_MIN = 2.0  # mean requests that a share allows at least
LET_IN_AT_ONCE = 4  # of those who wait, while the fleet is not full
LOOKED_AT = 8  # of a tenant's who wait, from the first
LOOK_MS = 20.0  # between looks at those who wait
REMEMBERED = 8_000  # prompts, to know retries by


class Settings(Struct, frozen=True, kw_only=True):
    """What a door is told; times in ms, work in tokens."""

    weights: tuple[float, ...]  # of tenants, by number
    owed_tokens: float = 2_000_000.0  # what a party may be ahead at most
    retry_share: float = 0.1  # of first tries
    retry_window_ms: float = 10_000.0
    promised_share: float = 0.1  # of the capacity, to those who come back at their time
    slot_ms: float = 50.0
    max_retry_after_ms: float = 2000.0
    grace_ms: float = 500.0  # a caller's piece is kept so long past its time
    most_callers: int = 2000
    slots: int = 256
    rows: int = 4
    width: int = 128
    max_wait_ms: float = 0.0  # 0: nobody waits
    most_waiting: int = 256


class Arrived(Struct, frozen=True):
    """A request at the door; 0 where session, prompt or ticket are not told."""

    request: str
    tenant: int
    client: int  # 64 bits, well spread
    work: float  # prompt and longest answer
    budget_ms: float
    aim_ms: float = 1e9
    session: int = 0
    prompt: int = 0  # number of session and prompt, by which a retry is known
    ticket: int = 0  # that it was given with its time
    repeat: bool | None = None  # where clients mark their retries
    resumed: bool = False  # asks for the rest of a stream that broke: always let in


class FleetLoad(Struct, frozen=True):
    """How full the fleet is, as the decisions see it: from 1 on they refuse."""

    fullness: float


class RequestEnded(Struct, frozen=True):
    """One that was let in, or waits, is over; `work` is what it truly cost, if it was served."""

    request: str
    served: bool
    work: float = 0.0


class RefusedByRouter(Struct, frozen=True):
    """The decisions refused one that was let in; what they would tell it, ms."""

    event: Arrived
    retry_after_ms: float


class TimerFired(Struct, frozen=True):
    """The time asked for by `SetTimer` has passed."""


Event = Arrived | FleetLoad | RequestEnded | RefusedByRouter | TimerFired


class Admit(Struct, frozen=True):
    """On to the decisions; `promised` to one that came back at its time, `waited` ms at the door."""

    request: str
    promised: bool = False
    waited_ms: float = 0.0
    standing: float = 1.0  # below 1 beyond its share, so that it is refused first; above 1 within it


class Reject(Struct, frozen=True):
    """Answered at once: when to come back, and why. A ticket other than 0 is to be shown then."""

    request: str
    retry_after_ms: float
    why: str  # retries, share, client, full (the decisions refused it)
    promised: bool  # its time is set aside for it
    ticket: int
    fullness: float
    ahead: float  # its tenant, and what it may be
    limit: float
    client_ahead: float
    client_limit: float


class SetTimer(Struct, frozen=True):
    """Ask for `TimerFired`."""

    in_ms: float


Action = Admit | Reject | SetTimer


class Inside(Struct):
    """A request that was let in; its client has no account where nobody was watched then."""

    tenant: int
    account: int | None
    work: float  # as charged
    expected: float  # as told
    at: float


class Waiter(Struct):
    """A request at the door that may still be let in."""

    event: Arrived
    since: float
    until: float
    why: str


class AdmissionController:
    """One router's. Its `seed` spreads the times told."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.capacity = CapacityEstimator()
        self.clients = ClientAccounts(settings.slots, settings.rows, settings.width)
        self.seen = RetryDetector(settings.retry_window_ms, REMEMBERED)
        self.inside: dict[str, Inside] = {}
        self.under_way = 0.0  # work let in and not over
        self.fullness = 0.0
        self.watching = False
        self.wronged: dict[int, float] = {}  # by tenant, share refused of late while within its own
        self.cost = 1.0  # true work for each token expected: kept beginnings need not be read
        self.mean_work = 1.0
        self.service_ms = 0.0
        self.shares = TenantShares(dict(enumerate(settings.weights)), settings.owed_tokens)
        self.calendar = ReservationCalendar(
            settings.slot_ms, settings.max_retry_after_ms, settings.most_callers, settings.grace_ms
        )
        self.tickets = 0
        self.counts: Counter[str] = Counter()  # let in and turned away, by reason
        self.budgets: dict[int, RetryBudget] = {}
        self.queues: dict[int, deque[Waiter]] = {}  # by tenant
        self.waiting: dict[str, Waiter] = {}
        self.wake_at = 0.0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Go by these weights, shares and waits; accounts and what was promised stay as they are."""
        self.settings = settings
        weights = dict(enumerate(settings.weights))
        self.shares.configure(weights)
        budgets = {n: self.budgets.get(n) or RetryBudget(settings.retry_share) for n in weights}
        for budget in budgets.values():
            budget.ratio = settings.retry_share
        self.budgets = budgets

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Decide on a batch of events that happened at `now`."""
        self.look(now, self.fullness)
        actions: list[Action] = []
        for event in events:
            if isinstance(event, Arrived):
                self._arrived(now, event, actions)
            elif isinstance(event, FleetLoad):
                self.look(now, event.fullness)
            elif isinstance(event, RequestEnded):
                self.left(now, event.request, event.served, event.work)
            elif isinstance(event, RefusedByRouter):
                self._declined(now, event, actions)
        if self.waiting:
            self._look(now, actions)
        return actions

    def passes(self, now: float, request: str, tenant: int, expected: float) -> bool:
        """The short way in, where the fleet is far from full: whether it was taken, and only noted."""
        if self.watching or self.calendar.callers or self.waiting:
            return False
        work = expected * self.cost
        self.mean_work += COST_LEARN * (work - self.mean_work)
        self.under_way += work
        self.inside[request] = Inside(tenant, None, work, expected, now)
        return True

    def look(self, now: float, fullness: float) -> None:
        """Time goes on, and this is how full the fleet is.

        Accounts begin with what is under way, and are dropped where the fleet has much room.
        """
        self.capacity.passes(now, fullness >= 1.0)
        self.calendar.expect(self.capacity.rate * self.settings.promised_share, self.capacity.strays)
        self.fullness = fullness
        if not self.watching and fullness >= WATCH:
            self.watching = True
            for inside in self.inside.values():
                self.shares.charge(inside.tenant, None, inside.work)
        elif self.watching and fullness < UNWATCH:
            self.watching = False
            self.wronged.clear()
            self.shares.advance(inf)

    # --- arrivals

    def _arrived(self, now: float, event: Arrived, actions: list[Action]) -> None:
        work = event.work * self.cost
        self.mean_work += COST_LEARN * (work - self.mean_work)
        self.clients.add(event.client, work)
        retry = self.seen.again(now, event.prompt) if event.prompt and event.repeat is None else event.repeat
        budget = self.budgets.get(event.tenant)
        if not retry and budget is not None:
            budget.first()
        account = self._account(event)
        if self.calendar.callers and self.calendar.redeem(now, self._key(event)):
            return self._let_in(now, event, account, actions, promised=True)
        why, beyond = "", 0.0
        if self.fullness >= SHORT and not event.resumed:
            if retry and budget is not None and not budget.retry():
                why = "retries"
            else:
                why, beyond = self._beyond(event, account)
        if not why:
            standing = min(max(beyond, STANDING_LEAST), STANDING_MOST) ** -STEEP if beyond > 0.0 else 1.0
            return self._let_in(now, event, account, actions, standing=standing)
        wait = min(self.settings.max_wait_ms, event.budget_ms - 2.0 * self.service_ms)
        if wait > 0.0 and why != "retries" and len(self.waiting) < self.settings.most_waiting:
            waiter = self.waiting[event.request] = Waiter(event, now, now + wait, why)
            self.queues.setdefault(event.tenant, deque()).append(waiter)
            return
        actions.append(self._away(now, event, why, 0.0))

    @staticmethod
    def _key(event: Arrived) -> object:
        return event.ticket or (event.tenant, event.client, event.session)

    def _account(self, event: Arrived) -> int:
        return self.clients.account(event.client, lambda name: self.shares.client_ahead(event.tenant, name))

    def _limits(self, tenant: int) -> tuple[float, float]:
        """How far a tenant may be ahead, and each of its clients."""
        leeway = max(LEEWAY_LEAST, LEEWAY - self.fullness)
        limit = max(AHEAD_MIN * self.mean_work, self.shares.part(tenant) * self.under_way * leeway)
        ahead = self.shares.ahead(tenant)
        # On a lent share a client may hold some times an even part of what its tenant holds.
        even = CLIENT_EVEN * ahead / max(1, self.shares.clients(tenant))
        return limit, max(CLIENT_ALPHA * (FLAGRANT * limit - ahead), even)

    def _beyond(self, event: Arrived, account: int) -> tuple[str, float]:
        """Whose share it would go flagrantly beyond (nobody's: empty); how many shares its tenant has."""
        limit, client_limit = self._limits(event.tenant)
        shares = self.shares.ahead(event.tenant) / limit
        if shares >= FLAGRANT and any(
            share > WRONGED for tenant, share in self.wronged.items() if tenant != event.tenant
        ):
            return "share", shares
        client = self.shares.client_ahead(event.tenant, account)
        return ("client" if client >= client_limit else ""), shares

    def _let_in(
        self,
        now: float,
        event: Arrived,
        account: int,
        actions: list[Action],
        promised: bool = False,
        waited: float = 0.0,
        standing: float = 1.0,
    ) -> None:
        work = event.work * self.cost
        if self.watching:
            self.shares.charge(event.tenant, account, work)
            if event.tenant in self.wronged:
                self.wronged[event.tenant] *= 1.0 - WRONGED_LEARN
        self.under_way += work
        self.inside[event.request] = Inside(event.tenant, account, work, event.work, now)
        self.counts["let in promised" if promised else "let in"] += 1
        actions.append(Admit(event.request, promised, waited, standing))

    def _away(self, now: float, event: Arrived, why: str, otherwise_ms: float) -> Reject:
        s, key, ticket = self.settings, self._key(event), event.ticket
        if not (event.session or ticket):
            self.tickets += 1
            key = ticket = self.tickets
        limit, client_limit = self._limits(event.tenant)
        most = TIMELY * event.aim_ms if self.shares.ahead(event.tenant) <= limit else 0.0
        pause = self.calendar.tell(now, key, event.work * self.cost, self.rng.random(), most)
        promised = pause is not None
        if pause is None:
            ticket = 0
            pause = otherwise_ms or s.max_retry_after_ms * (0.75 + 0.25 * self.rng.random())
        self.counts[f"turned away: {why}"] += 1
        self.counts["told a time"] += promised
        return Reject(
            event.request, min(pause, s.max_retry_after_ms), why, promised, ticket, self.fullness,
            self.shares.ahead(event.tenant), limit,
            self.shares.client_ahead(event.tenant, self._account(event)), client_limit,
        )  # fmt: skip

    # --- ends

    def _out(self, request: str) -> Inside | None:
        inside = self.inside.pop(request, None)
        if inside is not None:
            # Nothing under way leaves nothing behind, whatever was lost in adding and taking away.
            self.under_way = max(0.0, self.under_way - inside.work) if self.inside else 0.0
        return inside

    def left(self, now: float, request: str, served: bool, work: float) -> None:
        """As `RequestEnded` says; of what was let in or waits, and nothing else."""
        waiter = self.waiting.get(request)
        if waiter is not None:
            return self._unqueue(waiter)
        inside = self._out(request)
        if inside is None:
            return
        true = work if served else 0.0
        if self.watching:
            self._settle(inside, true)
        if served:
            share = true / inside.expected if inside.expected > 1.0 else 1.0
            self.cost += COST_LEARN * ((share if share > LEAST_COST else LEAST_COST) - self.cost)
            self.service_ms += SERVICE_LEARN * (now - inside.at - self.service_ms)
            self.capacity.finished += true

    def _settle(self, inside: Inside, true: float) -> None:
        """Correct what was charged, and let virtual time pass by the rest: by the work in all.

        So all that parties are ahead stays what is under way, though a correction may come too late for one
        whose share has caught up with it.
        """
        tenant, before = inside.tenant, self.shares.ahead(inside.tenant)
        self.shares.charge(tenant, inside.account, true - inside.work)
        self.shares.advance(inside.work + self.shares.ahead(tenant) - before if self.inside else inf)

    def _declined(self, now: float, event: RefusedByRouter, actions: list[Action]) -> None:
        inside = self._out(event.event.request)
        if inside is not None:
            if self.watching:
                self._settle(inside, 0.0)
                if self.shares.ahead(inside.tenant) < self._limits(inside.tenant)[0]:
                    self.wronged[inside.tenant] = self.wronged.get(inside.tenant, 0.0) + WRONGED_LEARN
            actions.append(self._away(now, event.event, "full", event.retry_after_ms))

    # --- those who wait

    def _unqueue(self, waiter: Waiter) -> None:
        del self.waiting[waiter.event.request]
        queue = self.queues[waiter.event.tenant]
        queue.remove(waiter)
        if not queue:
            del self.queues[waiter.event.tenant]

    def _look(self, now: float, actions: list[Action]) -> None:
        """Turn away who has waited long enough, let in who may be; ask to be woken while somebody waits."""
        for waiter in [w for w in self.waiting.values() if w.until <= now]:
            self._unqueue(waiter)
            actions.append(self._away(now, waiter.event, waiter.why, 0.0))
        for _ in range(LET_IN_AT_ONCE):
            chosen = self._next()
            if chosen is None:
                break
            self._unqueue(chosen)
            account = self._account(chosen.event)
            self._let_in(now, chosen.event, account, actions, waited=now - chosen.since)
        if self.waiting and not 0.0 < self.wake_at - now <= LOOK_MS:
            self.wake_at = now + LOOK_MS
            actions.append(SetTimer(LOOK_MS))

    def _next(self) -> Waiter | None:
        """Of the tenants least ahead, the first that may be let in."""
        order = sorted(self.queues, key=lambda t: (self.shares.ahead(t) / self.shares.weight(t), t))
        for tenant in order:
            for waiter in list(self.queues[tenant])[:LOOKED_AT]:
                if self.fullness < SHORT or not self._beyond(waiter.event, self._account(waiter.event))[0]:
                    return waiter
        return None
