"""Decides what to copy, when and where to: `handle(now, events) -> actions`, without I/O or clock.

Owns the copies in flight, the candidate engines, and all limits on them. Live traffic always takes
precedence: copies use only clearly spare capacity, and a copy that cannot be sent at once is dropped, never
queued. Times are ms on the caller's clock; `handle` must be called at least every `TICK_MS`, if need be
without events.
"""

from __future__ import annotations

from collections import Counter
from random import Random

import xxhash
from msgspec import Struct

from spoolbarrow.shadow.limits import Allowance, Circuit, CircuitBreaker, Gcra, headroom

TICK_MS = 50.0
TOKEN_BURST_SHARE, REQUEST_BURST_SHARE = 0.5, 0.25  # shares of the limits per second, see Gcra
# Requests in flight that one unread token of a candidate counts as when engines are compared.
UNREAD_TOKEN_WEIGHT = 1.0 / 4000.0


class Limits(Struct, frozen=True, kw_only=True):
    """The operator's limits; limits per second hold in any window of one second."""

    share: float = 0.0  # of sessions, unless `shares` says otherwise
    shares: dict[tuple[int, int], float] = {}  # by class and tenant
    classes: frozenset[int] = frozenset()  # repeatable and not denied
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
    slow_first_ms: float = 5_000.0  # a copy with a later first event has failed
    bad_copies: int = 5
    open_ms: float = 2_000.0
    most_open_ms: float = 60_000.0
    cold_from: float = 0.2
    cold_ms: float = 10_000.0


class Engine(Struct, frozen=True):
    """A candidate from discovery or the configuration."""

    name: str
    serving: bool = True
    started_at_ms: float = 0.0


class CandidatePool(Struct, frozen=True):
    """The complete current candidate pool."""

    engines: tuple[Engine, ...]


class RequestReceived(Struct, frozen=True):
    """The host received a live request."""

    request: str
    cls: int
    tenant: int
    session: int
    prompt_tokens: int
    answer_tokens: int
    held_bytes: int
    retry: bool = False  # a client's retry, or the rest of a stream


class Pressure(Struct, frozen=True):
    """The load that live traffic puts on this router; shares lie between 0 and 1."""

    lag_ms: float = 0.0  # of the event loop
    refused_share: float = 0.0  # of the requests of the last seconds
    unread_tokens: float = 0.0  # prompt tokens at live engines, mean
    descriptors_share: float = 0.0
    memory_share: float = 0.0
    cpu_share: float = 0.0


class CopyStarted(Struct, frozen=True):
    """The first event of a copy's answer has arrived."""

    request: str


class CopyEnded(Struct, frozen=True):
    """A copy ended; `good` if the candidate answered correctly."""

    request: str
    good: bool
    why: str = ""
    moot: bool = False  # it says nothing about the candidate


class LoadReport(Struct, frozen=True):
    """The load that a candidate reports."""

    engine: str
    unread_tokens: float


Event = CandidatePool | RequestReceived | Pressure | CopyStarted | CopyEnded | LoadReport


class SendCopy(Struct, frozen=True):
    """Send a copy of a live request."""

    request: str
    engine: str
    deadline_ms: float


class CancelCopy(Struct, frozen=True):
    """Cancel a copy immediately."""

    request: str
    why: str


class LogEvent(Struct, frozen=True):
    """Write an event to the log."""

    what: str
    why: str


Action = SendCopy | CancelCopy | LogEvent

# Per pressure: the value up to which copies are unaffected, and the one from which there are none.
PRESSURES = (
    ("lag", "lag_ms", 5.0, 25.0),
    ("refusals", "refused_share", 0.0, 0.02),
    ("unread", "unread_tokens", 8_000.0, 40_000.0),
    ("descriptors", "descriptors_share", 0.6, 0.85),
    ("memory", "memory_share", 0.6, 0.85),
    ("cpu", "cpu_share", 0.5, 0.85),
)


class _CopyInFlight:
    """A copy in flight."""

    __slots__ = ("bad", "begun", "engine", "held", "started", "trial")

    def __init__(self, engine: str, begun: float, held: int, trial: bool) -> None:
        self.engine, self.begun, self.held = engine, begun, held
        self.trial = trial  # its result closes or reopens the breaker
        self.started = self.bad = False


class CopyController:
    """Decides on copies for one router."""

    def __init__(self, now: float, limits: Limits, seed: int) -> None:
        self._random = Random(seed)
        self._engines: dict[str, Engine] = {}
        self._in_flight_by_engine: Counter[str] = Counter()  # only engines in the pool with copies in flight
        self._unread_tokens: dict[str, float] = {}
        self._copies: dict[str, _CopyInFlight] = {}
        self._held_bytes = 0
        self._headroom, self._tightest_pressure = 1.0, ""
        self._actions: list[Action] = []
        self.dropped: Counter[str] = Counter()  # total by reason; the number of reasons is small
        self.copied = 0
        self.allowance = Allowance()
        self._limiters: dict[str, Gcra] = {}
        self.breaker = CircuitBreaker(limits.bad_copies, limits.open_ms, limits.most_open_ms)
        self.configure(now, limits)

    def configure(self, now: float, limits: Limits) -> list[Action]:
        """Apply new limits; if every share is 0, all copies are cancelled at once."""
        self.limits, self._now = limits, now
        for name, limit, burst in (
            ("requests", limits.requests_per_s, REQUEST_BURST_SHARE),
            ("prompt tokens", limits.prompt_tokens_per_s, TOKEN_BURST_SHARE),
            ("answer tokens", limits.answer_tokens_per_s, TOKEN_BURST_SHARE),
        ):
            if name not in self._limiters or self._limiters[name].limit != limit:
                limiter = self._limiters[name] = Gcra(limit, burst)
                limiter.charge(now, limiter.bucket_size)  # starts empty: costs under the old limit count too
        breaker_settings = (limits.bad_copies, limits.open_ms, limits.most_open_ms)
        if self.breaker.settings != breaker_settings:
            self.breaker = CircuitBreaker(*breaker_settings)
        self._actions = []
        if limits.share <= 0 and not any(share > 0 for share in limits.shares.values()):
            self._cancel_all("switched off")
        return self._actions

    def stop(self, now: float) -> list[Action]:
        """Cancel every copy; the router is stopping."""
        self._actions, self._now = [], now
        self._cancel_all("ending")
        return self._actions

    def copies_in_flight(self) -> dict[str, str]:
        """The engines of the copies in flight, by request."""
        return {request: copy.engine for request, copy in self._copies.items()}

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Handle a batch of events and return the actions to take."""
        self._actions, self._now = [], now
        self._expire(now)
        for event in events:
            if isinstance(event, RequestReceived):
                self._on_request(now, event)
            elif isinstance(event, CopyStarted):
                self._on_started(now, event)
            elif isinstance(event, CopyEnded):
                self._on_ended(now, event)
            elif isinstance(event, Pressure):
                self._on_pressure(event)
            elif isinstance(event, CandidatePool):
                self._on_pool(now, event)
            elif event.engine in self._engines:
                self._unread_tokens[event.engine] = event.unread_tokens
        return self._actions

    # Selection

    def wanted(self, now: float, event: RequestReceived) -> bool:
        """Whether a request is selected for copying; the same at every router with the same salt."""
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

    def _on_request(self, now: float, event: RequestReceived) -> None:
        if not self.wanted(now, event):
            return
        engine, why = self._choose_engine(now, event)
        if engine is None:
            self.dropped[why] += 1
            return
        for name, cost in self._costs(event):
            self._limiters[name].charge(now, cost)
        self._copies[event.request] = _CopyInFlight(engine, now, event.held_bytes, self.breaker.sent())
        self._in_flight_by_engine[engine] += 1
        self._held_bytes += event.held_bytes
        self.copied += 1
        self._actions.append(SendCopy(event.request, engine, self.limits.deadline_ms))

    # Limits and placement

    def _effective_allowance(self) -> float:
        return self.allowance.value * self._headroom

    def _choose_engine(self, now: float, event: RequestReceived) -> tuple[str | None, str]:
        """An engine for a copy, or the reason why there is none."""
        limits, allowance = self.limits, self._effective_allowance()
        if event.request in self._copies:
            return None, "copied already"
        if not self.breaker.allows(now):
            return None, "breaker open"
        if self._headroom <= 0:
            return None, f"pressure: {self._tightest_pressure}"
        if len(self._copies) + 1 > max(1.0, limits.in_flight * allowance):
            return None, "copies in flight"
        if self._held_bytes + event.held_bytes > limits.held_bytes:
            return None, "bytes held"
        for name, cost in self._costs(event):
            if not self._limiters[name].conforms(now, cost):
                return None, f"{name} a second"
        available = [name for name in self._engines if self._has_capacity(now, name)]
        if not available:
            return None, "no engine with room" if self._engines else "no engine"
        sampled = self._random.sample(available, min(2, len(available)))
        return min(sampled, key=lambda name: self._load(now, name)), ""

    def _costs(self, event: RequestReceived) -> list[tuple[str, float]]:
        """The cost of a copy per limiter: it grows as the allowance shrinks, up to a full bucket.

        Without that bound no bucket could hold the cost of a trial copy at the smallest allowance.
        """
        scale = 1.0 / self._effective_allowance()
        costs = {"requests": 1.0, "prompt tokens": event.prompt_tokens, "answer tokens": event.answer_tokens}
        return [(n, min(c * scale, max(c, self._limiters[n].bucket_size))) for n, c in costs.items()]

    def _capacity(self, now: float, name: str) -> float:
        """The maximum number of concurrent copies at an engine, reduced during its slow start."""
        limits, started = self.limits, self._engines[name].started_at_ms
        warm_share = 1.0
        if started > 0 and limits.cold_ms > 0:
            warm_share = min(
                1.0, limits.cold_from + (1.0 - limits.cold_from) * (now - started) / limits.cold_ms
            )
        return max(1.0, limits.engine_in_flight * warm_share)

    def _has_capacity(self, now: float, name: str) -> bool:
        return self._engines[name].serving and self._in_flight_by_engine[name] + 1 <= self._capacity(
            now, name
        )

    def _load(self, now: float, name: str) -> float:
        unread = self._unread_tokens.get(name, 0.0) * UNREAD_TOKEN_WEIGHT
        return (self._in_flight_by_engine[name] + 1 + unread) / self._capacity(now, name)

    def _on_pressure(self, event: Pressure) -> None:
        self._headroom, self._tightest_pressure = 1.0, ""
        for name, field, free_below, full in PRESSURES:
            if (remaining := headroom(getattr(event, field), free_below, full)) < self._headroom:
                self._headroom, self._tightest_pressure = remaining, name

    # Results of copies

    def _on_started(self, now: float, event: CopyStarted) -> None:
        copy = self._copies.get(event.request)
        if copy is None or copy.started:
            return
        copy.started = True

    def _on_ended(self, now: float, event: CopyEnded) -> None:
        copy = self._remove(event.request)
        if copy is None:
            return  # cancelled before
        if event.moot:
            self.breaker.moot(now, copy.trial)
        elif not event.good:
            self._on_failure(now, copy, event.why or "failed")
        elif not copy.bad:
            previous = self.breaker.state
            self.allowance.increase()
            self.breaker.record_success(copy.trial)
            if previous is not self.breaker.state:
                self._actions.append(LogEvent("breaker closed", "a copy succeeded"))

    def _on_failure(self, now: float, copy: _CopyInFlight, why: str) -> None:
        """Record the failure of a copy, once."""
        if copy.bad:
            return
        copy.bad = True
        previous = self.breaker.state
        self.allowance.decrease(now, copy.begun)
        self.breaker.record_failure(now, copy.trial)
        if self.breaker.state is Circuit.OPEN and previous is not Circuit.OPEN:
            self.allowance.reset()
            self._actions.append(LogEvent("breaker open", why))

    def _expire(self, now: float) -> None:
        for request, copy in list(self._copies.items()):
            if now - copy.begun >= self.limits.deadline_ms:
                self._remove(request)
                self._actions.append(CancelCopy(request, "deadline"))
                self._on_failure(now, copy, "deadline")
            elif not copy.started and now - copy.begun > self.limits.slow_first_ms:
                self._on_failure(now, copy, "slow first event")

    def _on_pool(self, now: float, event: CandidatePool) -> None:
        """Apply a new pool: copies at removed engines are cancelled, those at draining engines may finish."""
        engines = {engine.name: engine for engine in event.engines}
        for name in self._engines.keys() - engines.keys():
            self._unread_tokens.pop(name, None)
        for request, copy in list(self._copies.items()):
            previous, current = self._engines.get(copy.engine), engines.get(copy.engine)
            if current is None or (previous is not None and previous.started_at_ms != current.started_at_ms):
                self._remove(request)
                self._actions.append(CancelCopy(request, "engine gone"))
                self.breaker.moot(now, copy.trial)
        self._engines = engines

    def _remove(self, request: str) -> _CopyInFlight | None:
        copy = self._copies.pop(request, None)
        if copy is not None:
            self._held_bytes -= copy.held
            self._in_flight_by_engine[copy.engine] -= 1
            if not self._in_flight_by_engine[copy.engine]:
                del self._in_flight_by_engine[copy.engine]
        return copy

    def _cancel_all(self, why: str) -> None:
        for request, copy in list(self._copies.items()):
            self._remove(request)
            self.breaker.moot(self._now, copy.trial)
            self._actions.append(CancelCopy(request, why))
