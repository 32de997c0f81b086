"""Policies to compare the router with, in the lab only: they hear and say what `Router` does.

Random, round robin and least in flight are folklore; two choices: M. Mitzenmacher, "The Power of Two Choices
in Randomized Load Balancing", IEEE TPDS 12(10), 2001; prefix hash: V. Mirrokni, M. Thorup and
M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA '18. The oracle sees every engine's state.
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

RETRY_LIST_MS = 2000.0
BOUND = 1.25  # of the mean in flight: an engine beyond it passes a request on
POINTS = 32  # of an engine on the ring


class RoutingPolicy(Protocol):
    """What plays a router's part."""

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Decide on what happened."""
        ...


class EngineOracle(Protocol):
    """What only the lab can know."""

    def first_token_ms(self, replica: str, request: RequestArrived, now: float) -> float:
        """When the request would get its first token there, from now."""
        ...


class Open:
    """A request under way."""

    __slots__ = ("event", "tried", "ran", "out", "deadline")

    def __init__(self, event: RequestArrived, deadline: float) -> None:
        self.event = event
        self.tried: list[str] = []
        self.ran = False
        self.out = False
        self.deadline = deadline


class Simple:
    """One attempt at a time, tried elsewhere while it is safe; subclasses choose the engine."""

    def __init__(self, settings: Settings, seed: int, truth: EngineOracle) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.truth = truth
        self.entries: dict[str, ReplicaEntry] = {}
        self.serving: list[str] = []
        self.in_flight: dict[str, int] = {}
        self.open: dict[str, Open] = {}
        self.begun = False
        self.now = 0.0

    def choose(self, request: Open) -> str | None:
        """The engine for the next attempt; None to give up."""
        raise NotImplementedError

    def listed(self) -> None:
        """The list has changed."""

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Decide on what happened."""
        self.now = now_ms
        actions: list[Action] = []
        if not self.begun:
            self.begun = True
            actions.append(SetTimer("list", self.rng.random() * 40.0 * self.settings.nodes))
        for event in events:
            if isinstance(event, RequestArrived):
                self.open[event.request] = Open(event, now_ms + event.budget_ms)
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
            actions.append(SetTimer("list", RETRY_LIST_MS * (0.5 + self.rng.random())))
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
        self.listed()

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

    def _safe(self, request: Open) -> bool:
        return self.settings.classes[request.event.cls].effect is Effect.SAFE

    def _forget(self, name: str) -> None:
        request = self.open.pop(name, None)
        if request is not None and request.out and request.tried[-1] in self.in_flight:
            self.in_flight[request.tried[-1]] -= 1

    def some(self, tried: list[str]) -> str:
        """Any engine, one not tried if a few draws find it."""
        for _ in range(8):
            name = self.serving[int(self.rng.random() * len(self.serving))]
            if name not in tried:
                break
        return name


class AnyEngine(Simple):
    """Random choice."""

    def choose(self, request: Open) -> str | None:
        """Any."""
        return self.some(request.tried)


class RoundRobin(Simple):
    """Each in turn, from a random beginning."""

    def listed(self) -> None:
        """Go on from anywhere."""
        self.turn = int(self.rng.random() * max(1, len(self.serving)))

    def choose(self, request: Open) -> str | None:
        """The next."""
        self.turn = (self.turn + 1) % len(self.serving)
        return self.serving[self.turn]


class LeastInFlight(Simple):
    """The engine with the fewest of this router's own requests."""

    def choose(self, request: Open) -> str | None:
        """The least, ties at random."""
        left = [name for name in self.serving if name not in request.tried] or self.serving
        least = min(self.in_flight[name] for name in left)
        return self.rng.choice([name for name in left if self.in_flight[name] == least])


class TwoChoices(Simple):
    """The less loaded of two random engines."""

    def choose(self, request: Open) -> str | None:
        """Of two."""
        return min(
            (self.some(request.tried), self.some(request.tried)), key=lambda name: self.in_flight[name]
        )


class PrefixHash(Simple):
    """The first engine with room on a ring, from the place of the request's opening or session."""

    def listed(self) -> None:
        """Lay the ring anew."""
        self.ring = sorted(
            (int.from_bytes(blake2b(name.encode(), salt=b"%d" % n, digest_size=8).digest(), "big"), name)
            for name in self.serving
            for n in range(POINTS)
        )

    def choose(self, request: Open) -> str | None:
        """Walk on while full."""
        key = request.event.prefix or request.event.session
        place = blake2b(key.to_bytes(8, "big"), digest_size=8).digest()
        start = bisect(self.ring, (int.from_bytes(place, "big"), ""))
        bound = BOUND * (len(self.open) + 1) / len(self.serving)
        for n in range(len(self.ring)):
            name = self.ring[(start + n) % len(self.ring)][1]
            if name not in request.tried and self.in_flight[name] + 1 <= max(bound, 1.0):
                return name
        return self.some(request.tried)


class Oracle(Simple):
    """Sees when each engine would give the first token; gives up what cannot be in time anywhere."""

    def choose(self, request: Open) -> str | None:
        """The soonest of all."""
        best, least = None, float("inf")
        for name in self.serving:
            if name not in request.tried:
                first = self.truth.first_token_ms(name, request.event, self.now)
                if first < least:
                    best, least = name, first
        return best if self.now + least < request.deadline else None


def own(settings: Settings, seed: int, truth: EngineOracle) -> RoutingPolicy:
    """The project's decisions."""
    return Router(settings, seed)


def doored(settings: Settings, seed: int, truth: EngineOracle) -> RoutingPolicy:
    """The project's decisions behind its door."""
    from spoolbarrow.lab.admission_policy import AdmissionPolicy

    return AdmissionPolicy(settings, seed)


def zoned(settings: Settings, seed: int, truth: EngineOracle) -> RoutingPolicy:
    """The project's decisions with failover between zones."""
    from spoolbarrow.lab.failover_policy import FailoverRouter

    return FailoverRouter(settings, seed)


POLICIES: dict[str, Callable[[Settings, int, EngineOracle], RoutingPolicy]] = {
    "spoolbarrow": own,
    "door": doored,
    "failover": zoned,
    "random": AnyEngine,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
    "prefix-hash": PrefixHash,
    "oracle": Oracle,
}
