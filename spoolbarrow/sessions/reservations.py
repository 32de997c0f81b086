"""Reservations of cached tokens at engines: for which session, until when, and charged to which tenant.

A reservation's value is `chance of return x tokens saved x price of prefill` over the tokens and the time
that it holds. One router's part of an engine's capacity goes to the most valuable ones; the least valuable
are released. Every reserved token is charged to a tenant for the time it is held, and credited to the engine:
the accounts add up to zero.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from msgspec import Struct

MAX_RESERVATIONS = 20_000  # of a router
HEAP_SLACK = 4  # entries of a heap per reservation, before it is rebuilt
BURST_WEIGHT = 1.0  # as in the paper: reservations beyond a tenant's portion are given up more easily
RETURN_PRIOR = 8.0  # returns that every tenant is assumed to have made as predicted
RETURN_DECAY = 0.995
MAX_TENANTS = 65_536


class Reservation(Struct):
    """Tokens reserved at an engine for a session."""

    key: int
    engine: int
    tenant: int
    tokens: int
    chance: float  # of a return in time, corrected by the tenant's reliability
    earns: float  # value per token and second
    since_ms: float  # charged up to this time
    until_ms: float


class EngineAccount:
    """The reservations of this router at one engine."""

    __slots__ = ("cheapest", "held", "keys", "worth")

    def __init__(self) -> None:
        self.held = 0  # tokens
        self.worth = 0.0  # sum of chance x tokens
        self.keys: set[int] = set()
        self.cheapest: list[tuple[float, int]] = []


class ReservationBook:
    """The reservations of one router. `now` is in ms; keys, engines and tenants are numbers."""

    def __init__(
        self, portions: tuple[float, ...] = (), price: float = 1.0, max_reservations: int = MAX_RESERVATIONS
    ) -> None:
        self.portions, self.price, self.max_reservations = portions, price, max_reservations
        self.by_key: dict[int, Reservation] = {}
        self.accounts: dict[int, EngineAccount] = {}
        self.expiries: list[tuple[float, int]] = []
        self.held: dict[int, int] = {}  # tokens, by tenant
        self.reserved_tokens = 0
        self.charged: dict[int, float] = {}  # token-seconds by tenant, not yet collected
        self.credited: dict[int, float] = {}  # by engine: minus all token-seconds ever charged
        self.collected = 0.0  # token-seconds that `charges` has returned
        self.returns: dict[int, tuple[float, float]] = {}  # predicted and actual returns, by tenant
        self.ended: dict[str, int] = {}  # number by reason: return, time, value, engine, room, again

    # --- tenants

    def portion(self, tenant: int) -> float:
        """A tenant's portion of all reservations, of 1."""
        if 0 <= tenant < len(self.portions) and sum(self.portions) > 0.0:
            return self.portions[tenant] / sum(self.portions)
        return 1.0 / max(1, len(self.held))

    def burst(self, tenant: int) -> float:
        """How far a tenant's reservations exceed its portion, relative to it; 0: within."""
        if not self.reserved_tokens:
            return 0.0
        portion = max(self.portion(tenant), 1e-6)
        return max(0.0, self.held.get(tenant, 0) / self.reserved_tokens / portion - 1.0)

    def reliability(self, tenant: int) -> float:
        """A tenant's reliability: its actual returns relative to those predicted; 1 at most."""
        counts = self.returns.get(tenant)
        if counts is None:
            return 1.0
        predicted, actual = counts
        return min(1.0, (actual + RETURN_PRIOR) / (predicted + RETURN_PRIOR))

    def _count_return(self, reservation: Reservation, returned: bool) -> None:
        if reservation.tenant in self.returns or len(self.returns) < MAX_TENANTS:
            predicted, actual = self.returns.get(reservation.tenant, (0.0, 0.0))
            # The predicted chance without the reliability factor: else a low one would recover by itself.
            chance = min(1.0, reservation.chance / max(self.reliability(reservation.tenant), 1e-3))
            self.returns[reservation.tenant] = (
                RETURN_DECAY * predicted + chance,
                RETURN_DECAY * actual + returned,
            )

    def _charge(self, now: float, reservation: Reservation) -> None:
        held = reservation.tokens * max(0.0, now - reservation.since_ms) / 1000.0
        reservation.since_ms = max(now, reservation.since_ms)
        self.charged[reservation.tenant] = self.charged.get(reservation.tenant, 0.0) + held
        self.credited[reservation.engine] = self.credited.get(reservation.engine, 0.0) - held

    def charges(self, now: float) -> dict[int, float]:
        """Token-seconds reserved by tenant since the last call, to be charged to their entitlements."""
        for reservation in self.by_key.values():
            self._charge(now, reservation)
        charged, self.charged = self.charged, {}
        self.collected += sum(charged.values())
        return charged

    def balance(self) -> float:
        """The sum of all accounts: 0, but for rounding."""
        return self.collected + sum(self.charged.values()) + sum(self.credited.values())

    # --- reservations

    def reserve(
        self, now: float, key: int, engine: int, tenant: int, tokens: int, chance: float, until_ms: float,
        limit: float,
    ) -> bool:  # fmt: skip
        """Reserve tokens for a session at its engine; `limit`: tokens that this router may reserve there."""
        if key in self.by_key:
            self.release(now, key, "again")
        account = self.accounts.get(engine)
        if account is not None and account.held > limit:
            self.fit(now, engine, limit)
        seconds = (until_ms - now) / 1000.0
        chance *= self.reliability(tenant)
        if tokens < 1 or tokens > limit or seconds <= 0.0 or not chance > 0.0:
            return False
        earns = self.price * chance / seconds / (1.0 + BURST_WEIGHT * self._burst_with(tenant, tokens))
        account = self.accounts.setdefault(engine, EngineAccount())
        if account.held + tokens > limit and not self._make_room(now, account, tokens, earns, limit):
            return False
        if len(self.by_key) >= self.max_reservations:
            if not account.keys:
                self.accounts.pop(engine, None)
            return False
        self.accounts[engine] = account  # the released reservations may have been its last
        reservation = self.by_key[key] = Reservation(
            key, engine, tenant, tokens, chance, earns, now, until_ms
        )
        account.held += tokens
        account.worth += chance * tokens
        account.keys.add(key)
        heappush(account.cheapest, (earns, key))
        heappush(self.expiries, (until_ms, key))
        self.held[tenant] = self.held.get(tenant, 0) + tokens
        self.reserved_tokens += reservation.tokens
        if len(account.cheapest) > HEAP_SLACK * len(account.keys) + 16:
            account.cheapest = [(self.by_key[k].earns, k) for k in account.keys]
            heapify(account.cheapest)
        if len(self.expiries) > HEAP_SLACK * len(self.by_key) + 16:
            self.expiries = [(other.until_ms, k) for k, other in self.by_key.items()]
            heapify(self.expiries)
        return True

    def _burst_with(self, tenant: int, tokens: int) -> float:
        """The burst that a tenant would have with these tokens; 0 for a single tenant without portions."""
        if len(self.held) < 2 and not self.portions:
            return 0.0
        share = (self.held.get(tenant, 0) + tokens) / (self.reserved_tokens + tokens)
        return max(0.0, share / max(self.portion(tenant), 1e-6) - 1.0)

    def _make_room(self, now: float, account: EngineAccount, tokens: int, earns: float, limit: float) -> bool:
        """Release reservations of less value if that is enough; otherwise none."""
        need = account.held + tokens - limit
        victims: list[tuple[float, int]] = []
        while need > 0.0 and account.cheapest:
            entry = heappop(account.cheapest)
            other = self.by_key.get(entry[1])
            if other is None or other.earns != entry[0] or entry[1] not in account.keys or entry in victims:
                continue
            victims.append(entry)
            if other.earns >= earns:
                break
            need -= other.tokens
        if need > 0.0:
            for entry in victims:
                heappush(account.cheapest, entry)
            return False
        for _, key in victims:
            self.release(now, key, "value")
        return True

    def fit(self, now: float, engine: int, limit: float) -> None:
        """Release the least valuable reservations at an engine until the others fit the limit."""
        account = self.accounts.get(engine)
        while account is not None and account.held > limit and account.cheapest:
            earns, key = heappop(account.cheapest)
            reservation = self.by_key.get(key)
            if reservation is not None and reservation.earns == earns and key in account.keys:
                self.release(now, key, "room")

    def release(self, now: float, key: int, reason: str) -> Reservation | None:
        """End a reservation."""
        reservation = self.by_key.pop(key, None)
        if reservation is None:
            return None
        self._charge(now, reservation)
        account = self.accounts[reservation.engine]
        account.held -= reservation.tokens
        account.worth -= reservation.chance * reservation.tokens
        account.keys.discard(key)
        if not account.keys:
            del self.accounts[reservation.engine]
        self.reserved_tokens -= reservation.tokens
        remaining = self.held[reservation.tenant] - reservation.tokens
        if remaining:
            self.held[reservation.tenant] = remaining
        else:
            del self.held[reservation.tenant]
        if reason in ("return", "time"):
            self._count_return(reservation, reason == "return")
        self.ended[reason] = self.ended.get(reason, 0) + 1
        return reservation

    def release_engine(self, now: float, engine: int) -> int:
        """End all reservations at an engine that drains, restarted or lost its cache; returns the number."""
        account = self.accounts.get(engine)
        keys = list(account.keys) if account is not None else []
        for key in keys:
            self.release(now, key, "engine")
        return len(keys)

    def expire(self, now: float) -> None:
        """End the reservations whose time is over."""
        while self.expiries and self.expiries[0][0] <= now:
            until, key = heappop(self.expiries)
            reservation = self.by_key.get(key)
            if reservation is not None and reservation.until_ms == until:
                self.release(now, key, "time")

    def clear(self, now: float) -> None:
        """End all reservations, since no decision is in force."""
        for key in list(self.by_key):
            self.release(now, key, "room")

    def density(self, engine: int, capacity: float) -> float:
        """Expected reuse of each token evicted from this router's part of an engine's capacity."""
        account = self.accounts.get(engine)
        return min(1.0, max(0.0, account.worth / capacity)) if account is not None and capacity > 0.0 else 0.0
