"""What is reserved where, for whom, until when, and who pays: one router's slice of every engine's room.

A reservation earns `chance of return x tokens saved x price of reading` over the tokens and the time that it
holds. An engine's slice is given to those that earn most; the cheapest give way. Every token held is charged
to a tenant for as long as it is held, and credited to the engine: the accounts add up to zero.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from msgspec import Struct

MOST_RESERVED = 20_000  # reservations of a router
HEAP_SLACK = 4  # lines of a heap for each that stands, before it is made anew
ALPHA_BURST = 1.0  # as the paper's: memory held beyond a tenant's part of it makes it cheap to give up
HONOUR_PRIOR = 8.0  # reservations that a tenant is taken to have honoured
HONOUR_FADE = 0.995
MOST_TENANTS = 65_536


class Reservation(Struct):
    """Room that is held."""

    key: int
    engine: int
    tenant: int
    tokens: int
    chance: float  # of return while it holds, as its tenant's word is worth
    earns: float  # value a token and second
    since_ms: float  # charged up to here
    until_ms: float


class Slice:
    """An engine's account at this router."""

    __slots__ = ("cheapest", "held", "keys", "worth")

    def __init__(self) -> None:
        self.held = 0  # tokens
        self.worth = 0.0  # chance x tokens of all
        self.keys: set[int] = set()
        self.cheapest: list[tuple[float, int]] = []


class ReservationBook:
    """Every method takes `now` where time counts, ms; keys, engines and tenants are numbers."""

    def __init__(
        self, portions: tuple[float, ...] = (), price: float = 1.0, most: int = MOST_RESERVED
    ) -> None:
        self.portions, self.price, self.most = portions, price, most
        self.by_key: dict[int, Reservation] = {}
        self.slices: dict[int, Slice] = {}
        self.times: list[tuple[float, int]] = []
        self.held: dict[int, int] = {}  # tokens, by tenant
        self.reserved_tokens = 0
        self.charged: dict[int, float] = {}  # token-seconds by tenant, not yet taken
        self.credited: dict[int, float] = {}  # by engine; minus the sum of all ever charged
        self.taken = 0.0  # token-seconds that `charges` has told
        self.words: dict[int, tuple[float, float]] = {}  # promised and kept returns, by tenant
        self.ends: dict[str, int] = {}  # how many ended, by why: return, time, value, engine, room, again

    # --- tenants

    def portion(self, tenant: int) -> float:
        """A tenant's part of what is reserved, of 1."""
        if 0 <= tenant < len(self.portions) and sum(self.portions) > 0.0:
            return self.portions[tenant] / sum(self.portions)
        return 1.0 / max(1, len(self.held))

    def burst(self, tenant: int) -> float:
        """How far beyond its part the memory lies that a tenant has reserved; 0: within."""
        if not self.reserved_tokens:
            return 0.0
        part = max(self.portion(tenant), 1e-6)
        return max(0.0, self.held.get(tenant, 0) / self.reserved_tokens / part - 1.0)

    def word(self, tenant: int) -> float:
        """What a tenant's returns are worth: those that came, of those that were predicted; 1 at most."""
        found = self.words.get(tenant)
        if found is None:
            return 1.0
        promised, kept = found
        return min(1.0, (kept + HONOUR_PRIOR) / (promised + HONOUR_PRIOR))

    def _judge(self, one: Reservation, returned: bool) -> None:
        if one.tenant in self.words or len(self.words) < MOST_TENANTS:
            promised, kept = self.words.get(one.tenant, (0.0, 0.0))
            # What was promised is the chance before the tenant's word was counted: else it would mend itself.
            chance = min(1.0, one.chance / max(self.word(one.tenant), 1e-3))
            self.words[one.tenant] = (HONOUR_FADE * promised + chance, HONOUR_FADE * kept + returned)

    def _charge(self, now: float, one: Reservation) -> None:
        held = one.tokens * max(0.0, now - one.since_ms) / 1000.0
        one.since_ms = max(now, one.since_ms)
        self.charged[one.tenant] = self.charged.get(one.tenant, 0.0) + held
        self.credited[one.engine] = self.credited.get(one.engine, 0.0) - held

    def charges(self, now: float) -> dict[int, float]:
        """Token-seconds held by tenant since this was last asked, to be taken from their entitlements."""
        for one in self.by_key.values():
            self._charge(now, one)
        told, self.charged = self.charged, {}
        self.taken += sum(told.values())
        return told

    def balance(self) -> float:
        """What all accounts add up to: 0, but for the rounding of many sums."""
        return self.taken + sum(self.charged.values()) + sum(self.credited.values())

    # --- reservations

    def reserve(
        self, now: float, key: int, engine: int, tenant: int, tokens: int, chance: float, until_ms: float,
        most: float,
    ) -> bool:  # fmt: skip
        """Hold room for a session at its home until then; `most`: tokens this router may hold there."""
        if key in self.by_key:
            self.release(now, key, "again")
        account = self.slices.get(engine)
        if account is not None and account.held > most:
            self.fit(now, engine, most)
        seconds = (until_ms - now) / 1000.0
        chance *= self.word(tenant)
        if tokens < 1 or tokens > most or seconds <= 0.0 or not chance > 0.0:
            return False
        earns = self.price * chance / seconds / (1.0 + ALPHA_BURST * self._burst_with(tenant, tokens))
        account = self.slices.setdefault(engine, Slice())
        if account.held + tokens > most and not self._make_room(now, account, tokens, earns, most):
            return False
        if len(self.by_key) >= self.most:
            if not account.keys:
                self.slices.pop(engine, None)
            return False
        self.slices[engine] = account  # who gave way may have been the last that held it
        one = self.by_key[key] = Reservation(key, engine, tenant, tokens, chance, earns, now, until_ms)
        account.held += tokens
        account.worth += chance * tokens
        account.keys.add(key)
        heappush(account.cheapest, (earns, key))
        heappush(self.times, (until_ms, key))
        self.held[tenant] = self.held.get(tenant, 0) + tokens
        self.reserved_tokens += one.tokens
        if len(account.cheapest) > HEAP_SLACK * len(account.keys) + 16:
            account.cheapest = [(self.by_key[k].earns, k) for k in account.keys]
            heapify(account.cheapest)
        if len(self.times) > HEAP_SLACK * len(self.by_key) + 16:
            self.times = [(its.until_ms, k) for k, its in self.by_key.items()]
            heapify(self.times)
        return True

    def _burst_with(self, tenant: int, tokens: int) -> float:
        """The burst that a tenant would have with these tokens; within its part of much, none."""
        if len(self.held) < 2 and not self.portions:
            return 0.0
        share = (self.held.get(tenant, 0) + tokens) / (self.reserved_tokens + tokens)
        return max(0.0, share / max(self.portion(tenant), 1e-6) - 1.0)

    def _make_room(self, now: float, account: Slice, tokens: int, earns: float, most: float) -> bool:
        """Give up what earns less, if that is enough; else nothing is given up."""
        need = account.held + tokens - most
        victims: list[tuple[float, int]] = []
        while need > 0.0 and account.cheapest:
            line = heappop(account.cheapest)
            one = self.by_key.get(line[1])
            if one is None or one.earns != line[0] or line[1] not in account.keys or line in victims:
                continue
            victims.append(line)
            if one.earns >= earns:
                break
            need -= one.tokens
        if need > 0.0:
            for line in victims:
                heappush(account.cheapest, line)
            return False
        for _, key in victims:
            self.release(now, key, "value")
        return True

    def fit(self, now: float, engine: int, most: float) -> None:
        """The slice became smaller: the cheapest go until what is held fits."""
        account = self.slices.get(engine)
        while account is not None and account.held > most and account.cheapest:
            earns, key = heappop(account.cheapest)
            one = self.by_key.get(key)
            if one is not None and one.earns == earns and key in account.keys:
                self.release(now, key, "room")

    def release(self, now: float, key: int, why: str) -> Reservation | None:
        """A reservation ends."""
        one = self.by_key.pop(key, None)
        if one is None:
            return None
        self._charge(now, one)
        account = self.slices[one.engine]
        account.held -= one.tokens
        account.worth -= one.chance * one.tokens
        account.keys.discard(key)
        if not account.keys:
            del self.slices[one.engine]
        self.reserved_tokens -= one.tokens
        left = self.held[one.tenant] - one.tokens
        if left:
            self.held[one.tenant] = left
        else:
            del self.held[one.tenant]
        if why in ("return", "time"):
            self._judge(one, why == "return")
        self.ends[why] = self.ends.get(why, 0) + 1
        return one

    def engine_gone(self, now: float, engine: int) -> int:
        """It drains, restarted, or lost what it kept; how many reservations ended."""
        account = self.slices.get(engine)
        keys = list(account.keys) if account is not None else []
        for key in keys:
            self.release(now, key, "engine")
        return len(keys)

    def expire(self, now: float) -> None:
        """What was held long enough ends."""
        while self.times and self.times[0][0] <= now:
            until, key = heappop(self.times)
            one = self.by_key.get(key)
            if one is not None and one.until_ms == until:
                self.release(now, key, "time")

    def clear(self, now: float) -> None:
        """No decision stands: the plain behaviour, nothing reserved."""
        for key in list(self.by_key):
            self.release(now, key, "room")

    def density(self, engine: int, room: float) -> float:
        """Tokens that somebody will want again, of each that is pushed out of this engine's room."""
        account = self.slices.get(engine)
        return min(1.0, max(0.0, account.worth / room)) if account is not None and room > 0.0 else 0.0
