"""The door: each request is let in to the decisions, or told when to come back.

Where capacity is not short everybody is let in, and charged. Where it is, whoever is not ahead of their
share: the tenant by weight, the client within it (shares.py), by the client's own account or the emptiest of
its buckets (clients.py). Retries beyond their tenant's budget are turned away then (retries.py). Whoever is
turned away gets a time from the calendar, and is let in when it comes at it. Times in ms, work in tokens.
"""

from __future__ import annotations

from random import Random

from msgspec import Struct

from spoolbarrow.door.calendar import Calendar
from spoolbarrow.door.capacity import Capacity
from spoolbarrow.door.clients import Clients
from spoolbarrow.door.retries import Budget, Seen
from spoolbarrow.door.shares import Shares

UNCERTAIN = 0.3  # share of the rate that is not promised
COST_LEARN = 0.02  # weight of one answer in what prompts and answers truly cost
LEAST_COST = 0.05  # share of what was expected, at least
PROMISED = 0.25  # share of the rest: most goes to those who come for the first time


class Settings(Struct, frozen=True, kw_only=True):
    """What a door is told."""

    weights: tuple[float, ...]  # of tenants, by number
    credit_tokens: float = 40_000.0
    owed_tokens: float = 200_000.0
    least_tokens: float = 20_000.0  # under way that is always allowed
    retry_share: float = 0.1
    retry_window_ms: float = 10_000.0
    slot_ms: float = 50.0
    max_retry_after_ms: float = 2000.0
    grace_ms: float = 500.0
    most_callers: int = 2000
    slots: int = 256
    buckets: int = 512
    shards: int = 4


class Arrived(Struct, frozen=True):
    """A request at the door; `repeat` where clients mark their retries, else None."""

    request: str
    tenant: int
    client: str
    session: int
    work: float
    aim_ms: float
    digest: bytes = b""
    repeat: bool | None = None


class Started(Struct, frozen=True):
    """The first token of one that was let in."""

    request: str


class Ended(Struct, frozen=True):
    """One that was let in is over; `work` is what it truly cost, if it was served."""

    request: str
    served: bool
    work: float = 0.0


Event = Arrived | Started | Ended


class LetIn(Struct, frozen=True):
    """On to the decisions."""

    request: str


class TurnedAway(Struct, frozen=True):
    """Answered at once; when to come back, and why."""

    request: str
    retry_after_ms: float
    why: str


Action = LetIn | TurnedAway


class Inside(Struct):
    """A request that was let in."""

    tenant: int
    accounts: list[object]
    work: float  # as charged
    expected: float  # as told
    aim_ms: float
    at: float


class Door:
    """One router's; its `salt` differs from the next one's, so that buckets do."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.capacity = Capacity(settings.least_tokens)
        self.clients = Clients(settings.slots, settings.buckets, settings.shards, seed.to_bytes(8, "big"))
        self.seen = Seen(settings.retry_window_ms, 20_000)
        self.inside: dict[str, Inside] = {}
        self.cost = 1.0  # true work for each token expected: kept beginnings need not be read
        self.shares = Shares(dict(enumerate(settings.weights)), settings.credit_tokens, settings.owed_tokens)
        self.calendar = Calendar(
            settings.slot_ms, settings.max_retry_after_ms, settings.most_callers, settings.grace_ms
        )
        self.budgets: dict[int, Budget] = {}
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Go by these weights and shares of retries; accounts stay as they are."""
        self.settings = settings
        weights = dict(enumerate(settings.weights))
        self.shares.configure(weights)
        self.budgets = {n: self.budgets.get(n, Budget(settings.retry_share)) for n in weights}

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Decide on a batch of events that happened at `now`."""
        passed = self.capacity.passes(now)
        self.shares.advance(self.capacity.rate * passed)
        self.calendar.expect(self.capacity.rate * PROMISED, UNCERTAIN)
        actions: list[Action] = []
        for event in events:
            if isinstance(event, Arrived):
                actions.append(self._arrived(now, event))
            elif isinstance(event, Started):
                inside = self.inside.get(event.request)
                if inside is not None:
                    self.capacity.started(now, now - inside.at, inside.aim_ms, inside.work)
            else:
                self._ended(event)
        return actions

    def _arrived(self, now: float, event: Arrived) -> Action:
        s, work = self.settings, event.work * self.cost
        number = self.clients.number(event.client)
        evicted = self.clients.add(number, work)
        if evicted is not None:
            for clocks in self.shares.clients.values():
                clocks.charge((True, evicted), 1.0, -clocks.ahead((True, evicted)))
        accounts: list[object] = [tuple(account) for account in self.clients.accounts(number)]
        retry = self.seen.again(now, event.session, event.digest) if event.repeat is None else event.repeat
        budget = self.budgets.get(event.tenant)
        if not retry and budget is not None:
            budget.first()
        key = (event.tenant, number, event.session)
        redeemed = self.calendar.redeem(now, key)
        if self.capacity.short() and not redeemed:
            why = ""
            if retry and budget is not None and not budget.retry():
                why = "retries"
            elif not any(self.shares.allows(event.tenant, account) for account in accounts):
                why = "share"
            if why:
                pause = self.calendar.tell(now, key, work, self.rng.random())
                if pause is None:
                    pause = s.max_retry_after_ms * (0.75 + 0.25 * self.rng.random())
                return TurnedAway(event.request, min(pause, s.max_retry_after_ms), why)
        self.capacity.taken(work)
        self._charge(event.tenant, accounts, work)
        self.inside[event.request] = Inside(event.tenant, accounts, work, event.work, event.aim_ms, now)
        return LetIn(event.request)

    def _charge(self, tenant: int, accounts: list[object], work: float) -> None:
        """The tenant pays once; of several buckets each is charged, the emptiest decides."""
        self.shares.charge(tenant, accounts[0], work)
        clocks = self.shares.clients.get(tenant)
        if clocks is not None:
            for account in accounts[1:]:
                clocks.charge(account, 1.0, work)

    def _ended(self, event: Ended) -> None:
        inside = self.inside.pop(event.request, None)
        if inside is None:
            return
        true = event.work if event.served else 0.0
        self.capacity.ended(inside.work, event.served, true)
        if event.served:
            self.cost += COST_LEARN * (max(true / inside.expected, LEAST_COST) - self.cost)
        if event.served and true != inside.work:
            self._charge(inside.tenant, inside.accounts, true - inside.work)
