"""What is copied, when and where to: `handle(now, events) -> actions`, free of I/O and clock.

Owns the copies that are out, the candidate engines, and every limit on them. Live traffic wins each conflict:
whatever is not plainly left over is not copied, and a copy whose turn does not come is dropped, never queued.
Times are ms on the caller's clock; `handle` is to be called with no event at least every `TICK_MS`.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import xxhash
from msgspec import Struct

from spoolbarrow.shadow.limits import Allowance, Circuit, CircuitBreaker, Gcra, headroom

TICK_MS = 50.0
TOKEN_BURST, REQUEST_BURST = 0.5, 0.25  # of the limits a second, see Gcra
UNREAD_WEIGHT = 1.0 / 4000.0  # a candidate's unread tokens against requests in flight, in placing


class Limits(Struct, frozen=True, kw_only=True):
    """What the operator allows; a second is any window of one."""

    share: float = 0.0  # of sessions, where no other share is told
    shares: dict[tuple[int, int], float] = {}  # by class and tenant
    classes: frozenset[int] = frozenset()  # that may be repeated and are not denied
    tenants: frozenset[int] | None = None  # None: all
    begin_ms: float = 0.0  # Unix time
    end_ms: float = float("inf")
    salt: bytes = b""
    in_flight: int = 8
    engine_in_flight: int = 4
    requests_per_s: float = 10.0
    prompt_tokens_per_s: float = 100_000.0
    answer_tokens_per_s: float = 10_000.0
    held_bytes: int = 1 << 20
    deadline_ms: float = 15_000.0
    slow_first_ms: float = 5_000.0  # a first event later than that is a bad copy
    bad_copies: int = 5
    open_ms: float = 2_000.0
    most_open_ms: float = 60_000.0
    cold_from: float = 0.2
    cold_ms: float = 10_000.0


class Engine(Struct, frozen=True):
    """A candidate as discovery or the configuration tells it."""

    name: str
    serving: bool = True
    started_at_ms: float = 0.0


class CandidatePool(Struct, frozen=True):
    """The whole candidate pool, as it is now."""

    engines: tuple[Engine, ...]


class RequestReceived(Struct, frozen=True):
    """The host took a live request."""

    request: str
    cls: int
    tenant: int
    session: int
    prompt_tokens: int
    answer_tokens: int
    held_bytes: int
    retry: bool = False  # its client's, or the rest of a stream


class Pressure(Struct, frozen=True):
    """How busy live traffic keeps this router; shares lie between 0 and 1."""

    lag_ms: float = 0.0  # by which the loop runs late
    refused_share: float = 0.0  # of the last seconds' requests
    unread_tokens: float = 0.0  # of prompts at live engines, the mean
    descriptors_share: float = 0.0
    memory_share: float = 0.0
    cpu_share: float = 0.0


class CopyStarted(Struct, frozen=True):
    """A copy's first event has come."""

    request: str


class CopyEnded(Struct, frozen=True):
    """A copy is over: `good` where the candidate answered as it should."""

    request: str
    good: bool
    why: str = ""
    moot: bool = False  # it tells nothing of the candidate


class LoadReport(Struct, frozen=True):
    """A candidate's own account of its load."""

    engine: str
    unread_tokens: float


Event = CandidatePool | RequestReceived | Pressure | CopyStarted | CopyEnded | LoadReport


class SendCopy(Struct, frozen=True):
    """Send a copy of a live request."""

    request: str
    engine: str
    deadline_ms: float


class CancelCopy(Struct, frozen=True):
    """End a copy now."""

    request: str
    why: str


class LogEvent(Struct, frozen=True):
    """Something for the log."""

    what: str
    why: str


Action = SendCopy | CancelCopy | LogEvent

# What each pressure leaves alone, and where nothing is left over for copies.
PRESSURES = (
    ("lag", "lag_ms", 5.0, 25.0),
    ("refusals", "refused_share", 0.0, 0.02),
    ("unread", "unread_tokens", 8_000.0, 40_000.0),
    ("descriptors", "descriptors_share", 0.6, 0.85),
    ("memory", "memory_share", 0.6, 0.85),
    ("cpu", "cpu_share", 0.5, 0.85),
)


class _Out:
    """A copy that is out."""

    __slots__ = ("bad", "begun", "engine", "held", "started", "trial")

    def __init__(self, engine: str, begun: float, held: int, trial: bool) -> None:
        self.engine, self.begun, self.held = engine, begun, held
        self.trial = trial  # by it the breaker closes or opens again
        self.started = self.bad = False


class CopyController:
    """The decisions of one router."""

    def __init__(self, now: float, limits: Limits, seed: int) -> None:
        self._random = Random(seed)
        self._engines: dict[str, Engine] = {}
        self._in_flight: Counter[str] = Counter()  # by engine; only of those in the pool with copies out
        self._unread: dict[str, float] = {}
        self._out: dict[str, _Out] = {}
        self._held = 0
        self._room, self._narrowest = 1.0, ""
        self._actions: list[Action] = []
        self.dropped: Counter[str] = Counter()  # by reason, in all; reasons are few
        self.copied = 0
        self.allowance = Allowance()
        self._rates: dict[str, Gcra] = {}
        self.breaker = CircuitBreaker(limits.bad_copies, limits.open_ms, limits.most_open_ms)
        self.configure(now, limits)

    def configure(self, now: float, limits: Limits) -> list[Action]:
        """Go by other limits; with a share of 0 everywhere every copy ends at once."""
        self.limits, self._now = limits, now
        for name, most, burst in (
            ("requests", limits.requests_per_s, REQUEST_BURST),
            ("prompt tokens", limits.prompt_tokens_per_s, TOKEN_BURST),
            ("answer tokens", limits.answer_tokens_per_s, TOKEN_BURST),
        ):
            if name not in self._rates or self._rates[name].most != most:
                rate = self._rates[name] = Gcra(most, burst)
                rate.take(now, rate.bucket)  # nothing at first: what the old limit let pass counts as well
        told = (limits.bad_copies, limits.open_ms, limits.most_open_ms)
        if self.breaker.settings != told:
            self.breaker = CircuitBreaker(*told)
        self._actions = []
        if limits.share <= 0 and not any(share > 0 for share in limits.shares.values()):
            self._abandon_all("switched off")
        return self._actions

    def stop(self, now: float) -> list[Action]:
        """The router ends: every copy does."""
        self._actions, self._now = [], now
        self._abandon_all("ending")
        return self._actions

    def out(self) -> dict[str, str]:
        """The engines of the copies that are out, by request."""
        return {request: one.engine for request, one in self._out.items()}

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """What is to be done about what happened."""
        self._actions, self._now = [], now
        self._expire(now)
        for event in events:
            if isinstance(event, RequestReceived):
                self._taken(now, event)
            elif isinstance(event, CopyStarted):
                self._started(now, event)
            elif isinstance(event, CopyEnded):
                self._ended(now, event)
            elif isinstance(event, Pressure):
                self._pressed(event)
            elif isinstance(event, CandidatePool):
                self._pooled(now, event)
            elif event.engine in self._engines:
                self._unread[event.engine] = event.unread_tokens
        return self._actions

    # Which

    def wanted(self, now: float, event: RequestReceived) -> bool:
        """Whether a request is among those to be copied; the same at every router with the same salt."""
        limits = self.limits
        if event.retry or event.cls not in limits.classes or not limits.begin_ms <= now < limits.end_ms:
            return False
        if limits.tenants is not None and event.tenant not in limits.tenants:
            return False
        share = limits.shares.get((event.cls, event.tenant), limits.share)
        key = (
            b"%s|%d" % (limits.salt, event.session)
            if event.session
            else b"%s|%s"
            % (
                limits.salt,
                event.request.encode(),
            )
        )
        return bool(xxhash.xxh3_64_intdigest(key) < share * 2.0**64)

    def _taken(self, now: float, event: RequestReceived) -> None:
        if not self.wanted(now, event):
            return
        engine, why = self._place(now, event)
        if engine is None:
            self.dropped[why] += 1
            return
        for name, cost in self._costs(event):
            self._rates[name].take(now, cost)
        self._out[event.request] = _Out(engine, now, event.held_bytes, self.breaker.sent())
        self._in_flight[engine] += 1
        self._held += event.held_bytes
        self.copied += 1
        self._actions.append(SendCopy(event.request, engine, self.limits.deadline_ms))

    # How much and where

    def _allowed(self) -> float:
        return self.allowance.value * self._room

    def _place(self, now: float, event: RequestReceived) -> tuple[str | None, str]:
        """An engine for a copy, or why there is none."""
        limits, allowed = self.limits, self._allowed()
        if event.request in self._out:
            return None, "copied already"
        if not self.breaker.allows(now):
            return None, "breaker open"
        if self._room <= 0:
            return None, f"pressure: {self._narrowest}"
        if len(self._out) + 1 > max(1.0, limits.in_flight * allowed):
            return None, "copies in flight"
        if self._held + event.held_bytes > limits.held_bytes:
            return None, "bytes held"
        for name, cost in self._costs(event):
            if not self._rates[name].conforms(now, cost):
                return None, f"{name} a second"
        open_ones = [name for name in self._engines if self._free(now, name)]
        if not open_ones:
            return None, "no engine with room" if self._engines else "no engine"
        two = self._random.sample(open_ones, min(2, len(open_ones)))
        return min(two, key=lambda name: self._load(now, name)), ""

    def _costs(self, event: RequestReceived) -> list[tuple[str, float]]:
        """What a copy takes of each rate: dearer the less is allowed, yet never more than a full bucket.

        Guards the copy that tries a pool again: at the least allowance no bucket would hold its price.
        """
        scale = 1.0 / self._allowed()
        plain = {"requests": 1.0, "prompt tokens": event.prompt_tokens, "answer tokens": event.answer_tokens}
        return [(n, min(c * scale, max(c, self._rates[n].bucket))) for n, c in plain.items()]

    def _capacity(self, now: float, name: str) -> float:
        """Copies that an engine may have at once; one that has just started ramps up."""
        limits, started = self.limits, self._engines[name].started_at_ms
        warm = 1.0
        if started > 0 and limits.cold_ms > 0:
            warm = min(1.0, limits.cold_from + (1.0 - limits.cold_from) * (now - started) / limits.cold_ms)
        return max(1.0, limits.engine_in_flight * warm)

    def _free(self, now: float, name: str) -> bool:
        return self._engines[name].serving and self._in_flight[name] + 1 <= self._capacity(now, name)

    def _load(self, now: float, name: str) -> float:
        unread = self._unread.get(name, 0.0) * UNREAD_WEIGHT
        return (self._in_flight[name] + 1 + unread) / self._capacity(now, name)

    def _pressed(self, event: Pressure) -> None:
        self._room, self._narrowest = 1.0, ""
        for name, field, free, full in PRESSURES:
            if (left := headroom(getattr(event, field), free, full)) < self._room:
                self._room, self._narrowest = left, name

    # What comes of copies

    def _started(self, now: float, event: CopyStarted) -> None:
        one = self._out.get(event.request)
        if one is None or one.started:
            return
        one.started = True

    def _ended(self, now: float, event: CopyEnded) -> None:
        one = self._forget(event.request)
        if one is None:
            return  # abandoned before
        if event.moot:
            self.breaker.moot(now, one.trial)
        elif not event.good:
            self._bad(now, one, event.why or "failed")
        elif not one.bad:
            before = self.breaker.state
            self.allowance.better()
            self.breaker.good(one.trial)
            if before is not self.breaker.state:
                self._actions.append(LogEvent("breaker closed", "a copy went well"))

    def _bad(self, now: float, one: _Out, why: str) -> None:
        """A copy went badly; that counts once."""
        if one.bad:
            return
        one.bad = True
        before = self.breaker.state
        self.allowance.worse(now, one.begun)
        self.breaker.bad(now, one.trial)
        if self.breaker.state is Circuit.OPEN and before is not Circuit.OPEN:
            self.allowance.reset()
            self._actions.append(LogEvent("breaker open", why))

    def _expire(self, now: float) -> None:
        for request, one in list(self._out.items()):
            if now - one.begun >= self.limits.deadline_ms:
                self._forget(request)
                self._actions.append(CancelCopy(request, "deadline"))
                self._bad(now, one, "deadline")
            elif not one.started and now - one.begun > self.limits.slow_first_ms:
                self._bad(now, one, "slow first event")

    def _pooled(self, now: float, event: CandidatePool) -> None:
        """Follow the pool: copies at what has gone are abandoned, those at what drains may finish."""
        new = {engine.name: engine for engine in event.engines}
        for name in self._engines.keys() - new.keys():
            self._unread.pop(name, None)
        for request, one in list(self._out.items()):
            before, after = self._engines.get(one.engine), new.get(one.engine)
            if after is None or (before is not None and before.started_at_ms != after.started_at_ms):
                self._forget(request)
                self._actions.append(CancelCopy(request, "engine gone"))
                self.breaker.moot(now, one.trial)
        self._engines = new

    def _forget(self, request: str) -> _Out | None:
        one = self._out.pop(request, None)
        if one is not None:
            self._held -= one.held
            self._in_flight[one.engine] -= 1
            if not self._in_flight[one.engine]:
                del self._in_flight[one.engine]
        return one

    def _abandon_all(self, why: str) -> None:
        for request, one in list(self._out.items()):
            self._forget(request)
            self.breaker.moot(self._now, one.trial)
            self._actions.append(CancelCopy(request, why))
