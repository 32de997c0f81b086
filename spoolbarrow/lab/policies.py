"""Implements routing policies to compare the router with: they take `Router`'s events and return its actions.

Random, round robin and least in flight are folklore; two choices: M. Mitzenmacher, "The Power of Two Choices
in Randomized Load Balancing", IEEE TPDS 12(10), 2001; prefix hash: V. Mirrokni, M. Thorup and
M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA '18. The oracle knows the true state
of every engine.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import Protocol

from spoolbarrow.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    ReplicaEntry,
    ReplicaList,
    ReplicaState,
    RequestArrived,
    RequestGone,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)
from spoolbarrow.router import Router

LIST_RETRY_MS = 2000.0
MAX_LOAD_FACTOR = 1.25  # of the mean in flight; a request passes over an engine beyond it
RING_POINTS_PER_ENGINE = 32  # hash ring points of each engine


class RoutingPolicy(Protocol):
    """Decides in place of a router."""

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Return the actions for a batch of events."""
        ...


class EngineOracle(Protocol):
    """The true state of engines, which only the lab knows."""

    def first_token_ms(self, replica: str, request: RequestArrived, now: float) -> float:
        """The time from now until the request would get its first token there."""
        ...


class RequestState:
    """The state of a request in progress."""

    __slots__ = ("event", "tried", "ran", "out", "deadline")

    def __init__(self, event: RequestArrived, deadline: float) -> None:
        self.event = event
        self.tried: list[str] = []
        self.ran = False
        self.out = False
        self.deadline = deadline


class BasicPolicy:
    """Sends one attempt at a time and retries elsewhere while that is safe; subclasses choose the engine."""

    def __init__(self, settings: Settings, seed: int, truth: EngineOracle) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.truth = truth
        self.entries: dict[str, ReplicaEntry] = {}
        self.serving: list[str] = []
        self.in_flight: dict[str, int] = {}
        self.open: dict[str, RequestState] = {}
        self.list_timer_set = False
        self.now = 0.0

    def choose(self, request: RequestState) -> str | None:
        """The engine for the next attempt; None to give up."""
        raise NotImplementedError

    def list_changed(self) -> None:
        """Called when the list has changed."""

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Return the actions for a batch of events."""
        self.now = now_ms
        actions: list[Action] = []
        if not self.list_timer_set:
            self.list_timer_set = True
            actions.append(SetTimer("list", self.rng.random() * 40.0 * self.settings.nodes))
        for event in events:
            if isinstance(event, RequestArrived):
                self.open[event.request] = RequestState(event, now_ms + event.budget_ms)
                self._next(event.request, actions)
            elif isinstance(event, AttemptEnded):
                self._ended(event, actions)
            elif isinstance(event, RequestGone):
                self._forget(event.request)
            elif isinstance(event, ReplicaList):
                self._list(event, actions)
            elif isinstance(event, TimerFired):
                actions.append(Subscribe())
        return actions

    def _list(self, event: ReplicaList, actions: list[Action]) -> None:
        if event.kind is ListKind.FAILED:
            actions.append(SetTimer("list", LIST_RETRY_MS * (0.5 + self.rng.random())))
            return
        if event.kind is not ListKind.CHANGES:
            self.entries.clear()
        for entry in event.entries:
            if entry.state is ReplicaState.GONE:
                self.entries.pop(entry.replica, None)
            else:
                self.entries[entry.replica] = entry
        self.serving = [name for name, e in self.entries.items() if e.state is ReplicaState.SERVING]
        self.in_flight = {name: self.in_flight.get(name, 0) for name in self.entries}
        self.list_changed()

    def _next(self, name: str, actions: list[Action]) -> None:
        request = self.open[name]
        chosen = None
        if len(request.tried) < self.settings.max_attempts and self.now + 2.0 < request.deadline:
            chosen = self.choose(request) if self.serving else None
        if chosen is None:
            safe = not request.ran or self._safe(request)
            pause = min(100.0 + 200.0 * self.rng.random(), self.settings.max_retry_after_ms)
            actions.append(Refuse(name, pause) if safe and self.now < request.deadline else Fail(name))
            self._forget(name)
            return
        request.tried.append(chosen)
        request.out = True
        self.in_flight[chosen] = self.in_flight.get(chosen, 0) + 1
        actions.append(Send(name, chosen))

    def _ended(self, event: AttemptEnded, actions: list[Action]) -> None:
        request = self.open.get(event.request)
        if request is None or not request.out:
            return
        request.out = False
        if event.replica in self.in_flight:
            self.in_flight[event.replica] -= 1
        request.ran |= event.outcome not in NEVER_RAN
        if event.closed or event.outcome is Outcome.SERVED:
            self._forget(event.request)
        elif event.outcome is Outcome.REJECTED or (
            request.ran and self.settings.classes[request.event.cls].effect is not Effect.SAFE
        ):
            actions.append(Fail(event.request))
            self._forget(event.request)
        else:
            self._next(event.request, actions)

    def _safe(self, request: RequestState) -> bool:
        return self.settings.classes[request.event.cls].effect is Effect.SAFE

    def _forget(self, name: str) -> None:
        request = self.open.pop(name, None)
        if request is not None and request.out and request.tried[-1] in self.in_flight:
            self.in_flight[request.tried[-1]] -= 1

    def pick_untried(self, tried: list[str]) -> str:
        """A random engine, preferably one not tried yet (8 draws at most)."""
        for _ in range(8):
            name = self.serving[int(self.rng.random() * len(self.serving))]
            if name not in tried:
                break
        return name


class RandomChoice(BasicPolicy):
    """Random choice."""

    def choose(self, request: RequestState) -> str | None:
        """A random engine."""
        return self.pick_untried(request.tried)


class RoundRobin(BasicPolicy):
    """Each engine in turn, from a random start."""

    def list_changed(self) -> None:
        """Restart at a random engine."""
        self.turn = int(self.rng.random() * max(1, len(self.serving)))

    def choose(self, request: RequestState) -> str | None:
        """The next engine in turn."""
        self.turn = (self.turn + 1) % len(self.serving)
        return self.serving[self.turn]


class LeastInFlight(BasicPolicy):
    """The engine with the fewest of this router's own requests."""

    def choose(self, request: RequestState) -> str | None:
        """The engine with the fewest; ties at random."""
        left = [name for name in self.serving if name not in request.tried] or self.serving
        least = min(self.in_flight[name] for name in left)
        return self.rng.choice([name for name in left if self.in_flight[name] == least])


class TwoChoices(BasicPolicy):
    """The less loaded of two random engines."""

    def choose(self, request: RequestState) -> str | None:
        """The less loaded of two random engines."""
        return min(
            (self.pick_untried(request.tried), self.pick_untried(request.tried)),
            key=lambda name: self.in_flight[name],
        )


class PrefixHash(BasicPolicy):
    """The first engine below its load bound on a hash ring, from the request's prefix or session."""

    def list_changed(self) -> None:
        """Rebuild the ring."""
        self.ring = sorted(
            (int.from_bytes(blake2b(name.encode(), salt=b"%d" % n, digest_size=8).digest(), "big"), name)
            for name in self.serving
            for n in range(RING_POINTS_PER_ENGINE)
        )

    def choose(self, request: RequestState) -> str | None:
        """The first engine on the ring below the bound."""
        key = request.event.prefix or request.event.session
        place = blake2b(key.to_bytes(8, "big"), digest_size=8).digest()
        start = bisect(self.ring, (int.from_bytes(place, "big"), ""))
        bound = MAX_LOAD_FACTOR * (len(self.open) + 1) / len(self.serving)
        for n in range(len(self.ring)):
            name = self.ring[(start + n) % len(self.ring)][1]
            if name not in request.tried and self.in_flight[name] + 1 <= max(bound, 1.0):
                return name
        return self.pick_untried(request.tried)


class Oracle(BasicPolicy):
    """Knows when each engine would give the first token; gives up what no engine can serve in time."""

    def choose(self, request: RequestState) -> str | None:
        """The engine with the earliest first token."""
        best, least = None, float("inf")
        for name in self.serving:
            if name not in request.tried:
                first = self.truth.first_token_ms(name, request.event, self.now)
                if first < least:
                    best, least = name, first
        return best if self.now + least < request.deadline else None


def router_policy(settings: Settings, seed: int, truth: EngineOracle) -> RoutingPolicy:
    """The router's own decisions."""
    return Router(settings, seed)


def admission_policy(settings: Settings, seed: int, truth: EngineOracle) -> RoutingPolicy:
    """The router's own decisions behind its admission service."""
    from spoolbarrow.lab.admission_policy import AdmissionPolicy

    return AdmissionPolicy(settings, seed)


def failover_router(settings: Settings, seed: int, truth: EngineOracle) -> RoutingPolicy:
    """The router's own decisions with failover between zones."""
    from spoolbarrow.lab.failover_policy import FailoverRouter

    return FailoverRouter(settings, seed)


POLICIES: dict[str, Callable[[Settings, int, EngineOracle], RoutingPolicy]] = {
    "spoolbarrow": router_policy,
    "door": admission_policy,
    "failover": failover_router,
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
    "prefix-hash": PrefixHash,
    "oracle": Oracle,
}
