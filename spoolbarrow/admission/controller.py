"""Admission control: admits each request to the router, or rejects it with a retry time.

While the fleet is not full, every request is admitted and charged. When it is full, only requests within
their share of the work in flight are: that of the tenant by weight, and of the client within it (shares.py),
by the client's own account or the emptiest of its buckets (clients.py). Retries beyond their tenant's budget
are rejected then (retries.py). A request that is rejected, here or by the router, gets a retry time from the
calendar (reservations.py) and is admitted if it returns on time. If the operator allows it, a request waits
before it is rejected. Times in ms, work in tokens; no I/O, no clock.
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

COST_WEIGHT = 0.02  # weight of one answer in the moving average of actual to expected work
MIN_COST_RATIO = 0.05  # lower bound of that ratio for one answer
SERVICE_TIME_WEIGHT = 0.05  # weight of one answer in the mean service time
# Accounts are kept from the first fullness on, and dropped below the second.
ACCOUNTING_ON_FULLNESS, ACCOUNTING_OFF_FULLNESS = 0.35, 0.2
ENFORCE_FULLNESS = 0.4  # fullness from which shares are enforced; from 1 on the router refuses
# The leeway, in shares: the first less the fullness, but at least the second.
BASE_LEEWAY, MIN_LEEWAY = 1.4, 1.0
STANDING_EXPONENT = 2.0  # a tenant's standing falls with this power of the shares that it holds
MIN_STANDING_SHARES, MAX_STANDING_SHARES = 0.2, 5.0  # bounds of the shares used for that
# Unused shares are no longer lent once this share of another tenant's requests was refused although that
# tenant was within its share; the second is the weight of one request in that moving average.
MAX_UNFAIR_SHARE, UNFAIR_SHARE_WEIGHT = 0.2, 0.03
# Shares held from which a tenant is rejected; below that, it only has a lower standing at the router.
REJECT_SHARES = 1.1
TIMELY_OBJECTIVE_SHARE = 0.5  # of the latency objective; a later retry time could not be served within it
CLIENT_EVEN_PARTS = 2.0  # a client may always hold this many even parts of what its tenant holds
CLIENT_ALPHA = 8.0  # a client may be ahead by this multiple of the room left to its tenant
MIN_LIMIT_REQUESTS = 2.0  # lower bound of a tenant's limit, in mean requests
MAX_ADMITTED_PER_CHECK = 4  # waiting requests admitted per check, while the fleet is not full
MAX_CHECKED_PER_TENANT = 8  # waiting requests considered per tenant, oldest first
CHECK_INTERVAL_MS = 20.0  # between checks of the waiting requests
REMEMBERED_PROMPTS = 8_000  # for the detection of retries


class Settings(Struct, frozen=True, kw_only=True):
    """Settings of admission control; times in ms, work in tokens."""

    weights: tuple[float, ...]  # of the tenants, by index
    owed_tokens: float = 2_000_000.0  # upper bound on how far a tenant or client may be ahead
    retry_share: float = 0.1  # of first tries
    retry_window_ms: float = 10_000.0
    promised_share: float = 0.1  # of the capacity, reserved for callers that return on time
    slot_ms: float = 50.0
    max_retry_after_ms: float = 2000.0
    grace_ms: float = 500.0  # a reservation is kept this long past its time
    most_callers: int = 2000
    slots: int = 256
    rows: int = 4
    width: int = 128
    max_wait_ms: float = 0.0  # 0: requests do not wait
    most_waiting: int = 256


class Arrived(Struct, frozen=True):
    """A request to admit or reject; session, prompt and ticket are 0 if unknown."""

    request: str
    tenant: int
    client: int  # 64-bit hash
    work: float  # prompt and maximum answer
    budget_ms: float
    aim_ms: float = 1e9
    session: int = 0
    prompt: int = 0  # hash of session and prompt, which identifies a retry
    ticket: int = 0  # that was issued with its retry time
    repeat: bool | None = None  # as marked by the client; None: unmarked
    resumed: bool = False  # asks for the rest of a broken stream: exempt from the checks


class FleetLoad(Struct, frozen=True):
    """The fullness of the fleet as the router sees it, which refuses from 1 on."""

    fullness: float


class RequestEnded(Struct, frozen=True):
    """An admitted or waiting request ended; `work` is its actual cost, if it was served."""

    request: str
    served: bool
    work: float = 0.0


class RefusedByRouter(Struct, frozen=True):
    """The router refused an admitted request; carries the router's own retry time."""

    event: Arrived
    retry_after_ms: float


class TimerFired(Struct, frozen=True):
    """The timer set by `SetTimer` has expired."""


Event = Arrived | FleetLoad | RequestEnded | RefusedByRouter | TimerFired


class Admit(Struct, frozen=True):
    """Pass a request to the router; `promised` if it returned on time, `waited_ms` in the admission queue."""

    request: str
    promised: bool = False
    waited_ms: float = 0.0
    standing: float = 1.0  # below 1 beyond its tenant's share, so that it is refused first; above 1 within it


class Reject(Struct, frozen=True):
    """Reject a request with a retry time and a reason. A nonzero ticket must be presented on return."""

    request: str
    retry_after_ms: float
    why: str  # retries, share, client, full (the router refused it)
    promised: bool  # capacity is reserved at its retry time
    ticket: int
    fullness: float
    ahead: float  # of its tenant, with the limit below
    limit: float
    client_ahead: float
    client_limit: float


class SetTimer(Struct, frozen=True):
    """Request a `TimerFired` event."""

    in_ms: float


Action = Admit | Reject | SetTimer


class AdmittedRequest(Struct):
    """A request in flight; `account` is None if it was admitted while no accounts were kept."""

    tenant: int
    account: int | None
    work: float  # work charged
    expected: float  # work expected from its declared sizes
    at: float


class WaitingRequest(Struct):
    """A request in the admission queue."""

    event: Arrived
    since: float
    until: float
    why: str


class AdmissionController:
    """Admission control of one router; `seed` randomizes the retry times."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.capacity = CapacityEstimator()
        self.clients = ClientAccounts(settings.slots, settings.rows, settings.width)
        self.retry_detector = RetryDetector(settings.retry_window_ms, REMEMBERED_PROMPTS)
        self.admitted: dict[str, AdmittedRequest] = {}
        self.work_in_flight = 0.0  # work admitted and not finished
        self.fullness = 0.0
        self.accounting = False
        # By tenant: moving average of its requests that were refused although it was within its share.
        self.unfair_refusals: dict[int, float] = {}
        self.cost_ratio = 1.0  # actual per expected work: cached prefixes need no prefill
        self.mean_work = 1.0
        self.service_ms = 0.0
        self.shares = TenantShares(dict(enumerate(settings.weights)), settings.owed_tokens)
        self.calendar = ReservationCalendar(
            settings.slot_ms, settings.max_retry_after_ms, settings.most_callers, settings.grace_ms
        )
        self.last_ticket = 0
        self.counts: Counter[str] = Counter()  # admitted, and rejected by reason
        self.retry_budgets: dict[int, RetryBudget] = {}
        self.queues: dict[int, deque[WaitingRequest]] = {}  # by tenant
        self.waiting: dict[str, WaitingRequest] = {}
        self.timer_due = 0.0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply new weights, shares and waits; accounts and reservations are kept."""
        self.settings = settings
        weights = dict(enumerate(settings.weights))
        self.shares.configure(weights)
        retry_budgets = {n: self.retry_budgets.get(n) or RetryBudget(settings.retry_share) for n in weights}
        for budget in retry_budgets.values():
            budget.ratio = settings.retry_share
        self.retry_budgets = retry_budgets

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Decide on a batch of events that happened at `now`."""
        self.update_fullness(now, self.fullness)
        actions: list[Action] = []
        for event in events:
            if isinstance(event, Arrived):
                self._on_arrival(now, event, actions)
            elif isinstance(event, FleetLoad):
                self.update_fullness(now, event.fullness)
            elif isinstance(event, RequestEnded):
                self.request_ended(now, event.request, event.served, event.work)
            elif isinstance(event, RefusedByRouter):
                self._on_refused_by_router(now, event, actions)
        if self.waiting:
            self._check_waiting(now, actions)
        return actions

    def admit_untracked(self, now: float, request: str, tenant: int, expected: float) -> bool:
        """Fast path for a fleet far from full: admit without accounting. False if it does not apply."""
        if self.accounting or self.calendar.reservations or self.waiting:
            return False
        work = expected * self.cost_ratio
        self.mean_work += COST_WEIGHT * (work - self.mean_work)
        self.work_in_flight += work
        self.admitted[request] = AdmittedRequest(tenant, None, work, expected, now)
        return True

    def update_fullness(self, now: float, fullness: float) -> None:
        """Advance to `now` and set the fullness of the fleet.

        Accounts start with the requests in flight, and are dropped when the fleet has ample capacity.
        """
        self.capacity.update(now, fullness >= 1.0)
        self.calendar.set_capacity(self.capacity.rate * self.settings.promised_share, self.capacity.deviation)
        self.fullness = fullness
        if not self.accounting and fullness >= ACCOUNTING_ON_FULLNESS:
            self.accounting = True
            for admitted in self.admitted.values():
                self.shares.charge(admitted.tenant, None, admitted.work)
        elif self.accounting and fullness < ACCOUNTING_OFF_FULLNESS:
            self.accounting = False
            self.unfair_refusals.clear()
            self.shares.advance(inf)

    # --- arrivals

    def _on_arrival(self, now: float, event: Arrived, actions: list[Action]) -> None:
        work = event.work * self.cost_ratio
        self.mean_work += COST_WEIGHT * (work - self.mean_work)
        self.clients.add(event.client, work)
        retry = (
            self.retry_detector.is_retry(now, event.prompt)
            if event.prompt and event.repeat is None
            else event.repeat
        )
        budget = self.retry_budgets.get(event.tenant)
        if not retry and budget is not None:
            budget.record_first_try()
        account = self._account(event)
        if self.calendar.reservations and self.calendar.redeem(now, self._reservation_key(event)):
            return self._admit(now, event, account, actions, promised=True)
        why, shares_held = "", 0.0
        if self.fullness >= ENFORCE_FULLNESS and not event.resumed:
            if retry and budget is not None and not budget.take_retry():
                why = "retries"
            else:
                why, shares_held = self._exceeded_share(event, account)
        if not why:
            standing = (
                min(max(shares_held, MIN_STANDING_SHARES), MAX_STANDING_SHARES) ** -STANDING_EXPONENT
                if shares_held > 0.0
                else 1.0
            )
            return self._admit(now, event, account, actions, standing=standing)
        wait = min(self.settings.max_wait_ms, event.budget_ms - 2.0 * self.service_ms)
        if wait > 0.0 and why != "retries" and len(self.waiting) < self.settings.most_waiting:
            waiter = self.waiting[event.request] = WaitingRequest(event, now, now + wait, why)
            self.queues.setdefault(event.tenant, deque()).append(waiter)
            return
        actions.append(self._reject(now, event, why, 0.0))

    @staticmethod
    def _reservation_key(event: Arrived) -> object:
        return event.ticket or (event.tenant, event.client, event.session)

    def _account(self, event: Arrived) -> int:
        return self.clients.account(event.client, lambda name: self.shares.client_ahead(event.tenant, name))

    def _limits(self, tenant: int) -> tuple[float, float]:
        """How far a tenant, and each of its clients, may be ahead."""
        leeway = max(MIN_LEEWAY, BASE_LEEWAY - self.fullness)
        limit = max(
            MIN_LIMIT_REQUESTS * self.mean_work,
            self.shares.capacity_share(tenant) * self.work_in_flight * leeway,
        )
        ahead = self.shares.ahead(tenant)
        # On a borrowed share a client may hold a multiple of an even part of what its tenant holds.
        even = CLIENT_EVEN_PARTS * ahead / max(1, self.shares.client_count(tenant))
        return limit, max(CLIENT_ALPHA * (REJECT_SHARES * limit - ahead), even)

    def _exceeded_share(self, event: Arrived, account: int) -> tuple[str, float]:
        """The share that is clearly exceeded (empty: none), and the number of shares its tenant holds."""
        limit, client_limit = self._limits(event.tenant)
        shares = self.shares.ahead(event.tenant) / limit
        if shares >= REJECT_SHARES and any(
            share > MAX_UNFAIR_SHARE
            for tenant, share in self.unfair_refusals.items()
            if tenant != event.tenant
        ):
            return "share", shares
        client = self.shares.client_ahead(event.tenant, account)
        return ("client" if client >= client_limit else ""), shares

    def _admit(
        self,
        now: float,
        event: Arrived,
        account: int,
        actions: list[Action],
        promised: bool = False,
        waited: float = 0.0,
        standing: float = 1.0,
    ) -> None:
        work = event.work * self.cost_ratio
        if self.accounting:
            self.shares.charge(event.tenant, account, work)
            if event.tenant in self.unfair_refusals:
                self.unfair_refusals[event.tenant] *= 1.0 - UNFAIR_SHARE_WEIGHT
        self.work_in_flight += work
        self.admitted[event.request] = AdmittedRequest(event.tenant, account, work, event.work, now)
        self.counts["let in promised" if promised else "let in"] += 1
        actions.append(Admit(event.request, promised, waited, standing))

    def _reject(self, now: float, event: Arrived, why: str, fallback_ms: float) -> Reject:
        config, key, ticket = self.settings, self._reservation_key(event), event.ticket
        if not (event.session or ticket):
            self.last_ticket += 1
            key = ticket = self.last_ticket
        limit, client_limit = self._limits(event.tenant)
        max_delay_ms = (
            TIMELY_OBJECTIVE_SHARE * event.aim_ms if self.shares.ahead(event.tenant) <= limit else 0.0
        )
        delay_ms = self.calendar.reserve(
            now, key, event.work * self.cost_ratio, self.rng.random(), max_delay_ms
        )
        promised = delay_ms is not None
        if delay_ms is None:
            ticket = 0
            delay_ms = fallback_ms or config.max_retry_after_ms * (0.75 + 0.25 * self.rng.random())
        self.counts[f"turned away: {why}"] += 1
        self.counts["told a time"] += promised
        return Reject(
            event.request, min(delay_ms, config.max_retry_after_ms), why, promised, ticket, self.fullness,
            self.shares.ahead(event.tenant), limit,
            self.shares.client_ahead(event.tenant, self._account(event)), client_limit,
        )  # fmt: skip

    # --- ends

    def _remove(self, request: str) -> AdmittedRequest | None:
        admitted = self.admitted.pop(request, None)
        if admitted is not None:
            # With no request in flight the sum is 0, whatever rounding errors have accumulated.
            self.work_in_flight = max(0.0, self.work_in_flight - admitted.work) if self.admitted else 0.0
        return admitted

    def request_ended(self, now: float, request: str, served: bool, work: float) -> None:
        """Handle a `RequestEnded`; unknown requests are ignored."""
        waiter = self.waiting.get(request)
        if waiter is not None:
            return self._dequeue(waiter)
        admitted = self._remove(request)
        if admitted is None:
            return
        actual_work = work if served else 0.0
        if self.accounting:
            self._settle(admitted, actual_work)
        if served:
            share = actual_work / admitted.expected if admitted.expected > 1.0 else 1.0
            self.cost_ratio += COST_WEIGHT * (
                (share if share > MIN_COST_RATIO else MIN_COST_RATIO) - self.cost_ratio
            )
            self.service_ms += SERVICE_TIME_WEIGHT * (now - admitted.at - self.service_ms)
            self.capacity.finished_tokens += actual_work

    def _settle(self, admitted: AdmittedRequest, actual_work: float) -> None:
        """Correct the charge to the actual work, and advance virtual time by the rest: by the charge in all.

        This keeps the sum of all work ahead equal to the work in flight, though a correction may come too
        late for a flow that virtual time has caught up with.
        """
        tenant, before = admitted.tenant, self.shares.ahead(admitted.tenant)
        self.shares.charge(tenant, admitted.account, actual_work - admitted.work)
        self.shares.advance(admitted.work + self.shares.ahead(tenant) - before if self.admitted else inf)

    def _on_refused_by_router(self, now: float, event: RefusedByRouter, actions: list[Action]) -> None:
        admitted = self._remove(event.event.request)
        if admitted is not None:
            if self.accounting:
                self._settle(admitted, 0.0)
                if self.shares.ahead(admitted.tenant) < self._limits(admitted.tenant)[0]:
                    self.unfair_refusals[admitted.tenant] = (
                        self.unfair_refusals.get(admitted.tenant, 0.0) + UNFAIR_SHARE_WEIGHT
                    )
            actions.append(self._reject(now, event.event, "full", event.retry_after_ms))

    # --- admission queue

    def _dequeue(self, waiter: WaitingRequest) -> None:
        del self.waiting[waiter.event.request]
        queue = self.queues[waiter.event.tenant]
        queue.remove(waiter)
        if not queue:
            del self.queues[waiter.event.tenant]

    def _check_waiting(self, now: float, actions: list[Action]) -> None:
        """Reject requests whose wait is over, admit those that may be, and set a timer while any wait."""
        for waiter in [w for w in self.waiting.values() if w.until <= now]:
            self._dequeue(waiter)
            actions.append(self._reject(now, waiter.event, waiter.why, 0.0))
        for _ in range(MAX_ADMITTED_PER_CHECK):
            chosen = self._next_admissible()
            if chosen is None:
                break
            self._dequeue(chosen)
            account = self._account(chosen.event)
            self._admit(now, chosen.event, account, actions, waited=now - chosen.since)
        if self.waiting and not 0.0 < self.timer_due - now <= CHECK_INTERVAL_MS:
            self.timer_due = now + CHECK_INTERVAL_MS
            actions.append(SetTimer(CHECK_INTERVAL_MS))

    def _next_admissible(self) -> WaitingRequest | None:
        """The first admissible request, from the tenant least ahead of its share on."""
        order = sorted(self.queues, key=lambda t: (self.shares.ahead(t) / self.shares.weight(t), t))
        for tenant in order:
            for waiter in list(self.queues[tenant])[:MAX_CHECKED_PER_TENANT]:
                if (
                    self.fullness < ENFORCE_FULLNESS
                    or not self._exceeded_share(waiter.event, self._account(waiter.event))[0]
                ):
                    return waiter
        return None
