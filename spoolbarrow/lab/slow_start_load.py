"""Simulates slow starts under load: the work that all routers send to engines that have just started.

A closed loop in virtual time, free of I/O: the real decisions of each router, clients that retry when they
are refused, engines that work in order and have a budget during slow start. Work is counted in requests of
mean work, as the budget is; the result is the share of the budget that the worst span of each start used.
Times are in ms.
"""

from __future__ import annotations

from collections import deque
from math import exp
from random import Random

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.lab.cold_engine import ColdEngine, ColdEngineParameters, tolerated_requests
from spoolbarrow.lab.virtual_time import VirtualClock
from spoolbarrow.router import Router

NETWORK_MS = 0.5  # one way, between a router and an engine
STREAM_MS = 400.0  # from a response's first token to its last
PROBE_TIMEOUT_MS = 250.0
MEAN_PROMPT_TOKENS = 2000
NOTIFY_SPREAD_MS = 100.0  # within which all routers are notified of a start


class Burst(Struct, frozen=True):
    """A period with a higher request rate."""

    begin_ms: float = 0.0
    length_ms: float = 0.0
    factor: float = 1.0


class Case(Struct, frozen=True, kw_only=True):
    """A fleet, its traffic, and the engines that start."""

    settings: i.Settings
    seed: int
    engines: int = 10  # running before
    starting: int = 4  # further engines, which start one after another from `start_ms` on
    start_ms: float = 4000.0
    start_spread_ms: float = 0.0  # from the first start to the last
    end_ms: float = 16_000.0
    per_s: float = 5.0  # requests of mean work per second of an engine of speed 1
    speeds: tuple[float, ...] = (1.0,)  # of the kinds of engine, assigned in turn
    load: float = 0.6  # requested work, as a share of the capacity of the engines running before
    burst: Burst = Burst()
    hung: float = 0.0  # share of the engines running before that hang when the first one starts
    gone: float = 0.0  # and share that is removed from the list then
    retries: int = 2  # of a client whose request was refused or failed
    backoff_ms: float = 200.0  # mean pause before the first retry
    honours: bool = True  # clients obey Retry-After
    work_sigma: float = 0.6  # sigma of the logarithm of a request's work
    openings: int = 20
    hot: float = 0.0  # share of requests with the first shared prefix
    reports: bool = True  # probes report the load
    uneven: float = 0.5  # sigma of the logarithm of a router's traffic
    zone_skew: float = 0.0  # sigma of the logarithm of a zone's traffic, if there are several


class Start(Struct, frozen=True):
    """The slow start of one engine."""

    engine: str
    speed: float
    worst: float  # work within a span, as a share of what the engine bears: above 1 it crashes
    worst_budgets: float  # the same, as a multiple of N
    worst_at: float  # ms after its start
    work: float  # received during slow start


class Attempt:
    """An attempt in progress."""

    def __init__(self, replica: str) -> None:
        self.replica = replica
        self.ended = False


class ClientRequest:
    """A client's request, across all its tries."""

    def __init__(self, number: int, work: float, prefix: int, session: int, cls: int) -> None:
        self.number, self.work, self.prefix, self.session, self.cls = number, work, prefix, session, cls
        self.tries = 0


class RouterRequest:
    """A request at one router."""

    def __init__(self, request: ClientRequest, key: str) -> None:
        self.request, self.key = request, key
        self.sent: list[Attempt] = []
        self.started = self.over = False


class Engine:
    """One engine: its queue of work, and the work received during slow start."""

    def __init__(
        self, name: str, kind: int, figures: ColdEngineParameters, started_at: float, cold: bool
    ) -> None:
        self.name, self.kind, self.started_at = name, kind, started_at
        self.zone = 0
        self.machine = ColdEngine(figures, started_at, cold)
        self.hung = False
        self.taken: deque[tuple[float, float]] = deque()
        self.span_work = self.work = self.worst = self.worst_budgets = self.worst_at = 0.0

    def arrives(self, now: float, work: float) -> None:
        """Count a request that has arrived, whether it is accepted or rejected."""
        figures = self.machine.figures
        if not self.machine.cold or now - self.started_at >= figures.cold_ms:
            return
        self.taken.append((now, work))
        self.span_work, self.work = self.span_work + work, self.work + work
        while self.taken[0][0] <= now - figures.tip_after_ms:
            self.span_work -= self.taken.popleft()[1]
        able = figures.per_s * self.machine.capacity_share(now) * figures.tip_after_ms / 1000.0
        budget = figures.overload_factor * able
        share = self.span_work / tolerated_requests(budget)
        if share > self.worst:
            self.worst, self.worst_at = share, now - self.started_at
            self.worst_budgets = self.span_work / budget

    def result(self, speed: float) -> Start:
        """The result of its start."""
        return Start(self.name, speed, self.worst, self.worst_budgets, self.worst_at, self.work)


class SimulatedRouter:
    """One router: its decisions, and what the network program does for them."""

    def __init__(self, world: Simulation, number: int) -> None:
        self.world, self.number = world, number
        settings = replace(world.case.settings, node=number, zone=number % world.case.settings.zones)
        self.router = Router(settings, world.rng.getrandbits(60))
        self.tries: dict[str, RouterRequest] = {}

    def process_events(self, *events: i.Event) -> None:
        """Pass events to the router and carry out its actions."""
        for action in self.router.handle(self.world.clock.now, list(events)):
            self._do(action)

    def _do(self, action: i.Action) -> None:
        clock = self.world.clock
        if isinstance(action, i.SetTimer):
            clock.at(clock.now + action.in_ms, self.process_events, i.TimerFired(action.token))
        elif isinstance(action, i.Probe):
            self._probe(action.replica)
        elif isinstance(action, i.Send):
            self._send(self.tries[action.request], action.replica)
        elif isinstance(action, i.Cancel):
            self.end(self.tries[action.request], action.attempt, i.Outcome.CANCELLED)
        elif isinstance(action, i.Refuse):
            self._answered(self.tries[action.request], action.retry_after_ms)
        elif isinstance(action, i.Fail):
            self._answered(self.tries[action.request], 0.0)

    def take(self, request: ClientRequest) -> None:
        """Receive a client's request."""
        case, clock = self.world.case, self.world.clock
        one = RouterRequest(request, f"{request.number}.{request.tries}")
        self.tries[one.key] = one
        deadline = case.settings.classes[request.cls].deadline_ms
        clock.at(clock.now + deadline, self._deadline, one)
        prompt = max(1, int(request.work * MEAN_PROMPT_TOKENS))
        self.process_events(
            i.RequestArrived(
                one.key,
                request.cls,
                deadline,
                prompt_tokens=prompt,
                session=request.session,
                prefix=request.prefix,
            )
        )

    def _deadline(self, one: RouterRequest) -> None:
        if not (one.started or one.over):
            for number in range(len(one.sent)):
                self.end(one, number, i.Outcome.TIMEOUT)

    def _answered(self, one: RouterRequest, retry_after_ms: float) -> None:
        if not one.over:
            one.over = True
            self.world.retry(one.request, retry_after_ms)

    def _send(self, one: RouterRequest, replica: str) -> None:
        clock = self.world.clock
        one.sent.append(Attempt(replica))
        clock.at(clock.now + NETWORK_MS, self._deliver, one, len(one.sent) - 1)

    def _deliver(self, one: RouterRequest, number: int) -> None:
        world, now = self.world, self.world.clock.now
        engine = world.engines.get(one.sent[number].replica)
        if one.sent[number].ended or (engine is not None and engine.hung):
            return
        if engine is None:
            return self.end(one, number, i.Outcome.UNREACHABLE)
        engine.arrives(now, one.request.work)
        done = engine.machine.accept(now, one.request.work)
        if done is None:
            return self.end(one, number, i.Outcome.FULL)
        world.clock.at(done, self._started, one, number, engine)

    def _started(self, one: RouterRequest, number: int, engine: Engine) -> None:
        if one.sent[number].ended or one.over or one.started or engine.hung:
            return
        one.started = one.over = True
        self.world.answered += 1
        self.process_events(i.StreamStarted(one.key, number, engine.name))
        self.world.clock.at(self.world.clock.now + STREAM_MS, self.end, one, number, i.Outcome.SERVED)

    def end(self, one: RouterRequest, number: int, outcome: i.Outcome) -> None:
        """End an attempt with its one outcome."""
        sent = one.sent[number]
        if not sent.ended:
            sent.ended = True
            self.process_events(i.AttemptEnded(one.key, number, sent.replica, outcome, one.over))

    def _probe(self, replica: str) -> None:
        world, now = self.world, self.world.clock.now
        engine = world.engines.get(replica)
        if engine is None or engine.hung:
            answer = i.ProbeAnswered(replica, i.Outcome.TIMEOUT, PROBE_TIMEOUT_MS)
            return world.clock.at(now + PROBE_TIMEOUT_MS, self.process_events, answer)
        waiting = engine.machine.queue_length(now)
        memory = min(1.0, waiting / engine.machine.figures.waiting)
        unread = float(waiting * MEAN_PROMPT_TOKENS)
        report = i.Report(memory, unread) if world.case.reports else None
        lag = 2.0 * NETWORK_MS
        world.clock.at(
            now + lag, self.process_events, i.ProbeAnswered(replica, i.Outcome.SERVED, lag, report)
        )


class Simulation:
    """The simulation of one case."""

    def __init__(self, case: Case) -> None:
        self.case, self.rng, self.clock = case, Random(case.seed), VirtualClock()
        self.engines: dict[str, Engine] = {}
        self.starts: list[Engine] = []
        for number in range(case.engines):
            self._engine(f"old-{number}", number, -case.settings.cold_ms, False)
        self.nodes = [SimulatedRouter(self, number) for number in range(case.settings.nodes)]
        zones = [exp(self.rng.gauss(0.0, case.zone_skew)) for _ in range(case.settings.zones)]
        self.weights = [
            exp(self.rng.gauss(0.0, case.uneven)) * zones[number % len(zones)]
            for number in range(len(self.nodes))
        ]
        self.requested = self.answered = self.refused = 0

    def _engine(self, name: str, number: int, started_at: float, cold: bool) -> Engine:
        case, rule = self.case, self.case.settings
        kind = number % len(case.speeds)
        figures = ColdEngineParameters(
            per_s=case.per_s * case.speeds[kind],
            cold_from=rule.cold_from,
            cold_ms=rule.cold_ms,
            overload_factor=rule.overload_factor,
            tip_after_ms=rule.tip_after_ms,
        )
        engine = self.engines[name] = Engine(name, kind, figures, started_at, cold)
        engine.zone = number % rule.zones
        return engine

    def play(self) -> list[Start]:
        """Run the case; return the result of each start."""
        case, clock = self.case, self.clock
        entries = tuple(i.ReplicaEntry(e.name, zone=e.zone, kind=e.kind) for e in self.engines.values())
        for node in self.nodes:
            node.process_events(i.ReplicaList(i.ListKind.WHOLE, entries))
        clock.at(case.start_ms, self._trouble)
        step = case.start_spread_ms / max(1, case.starting - 1)
        for number in range(case.starting):
            clock.at(case.start_ms + number * step, self._start, number)
        self._next_arrival()
        clock.run(lambda: clock.now < case.end_ms)
        return [engine.result(case.speeds[engine.kind]) for engine in self.starts]

    def _trouble(self) -> None:
        known = list(self.engines.values())
        self.rng.shuffle(known)
        hung, removed = int(self.case.hung * len(known)), int(self.case.gone * len(known))
        for engine in known[:hung]:
            engine.hung = True
        for engine in known[hung : hung + removed]:
            del self.engines[engine.name]
            self._notify(i.ReplicaEntry(engine.name, state=i.ReplicaState.GONE))

    def _start(self, number: int) -> None:
        engine = self._engine(f"new-{number}", number, self.clock.now, True)
        self.starts.append(engine)
        self._notify(
            i.ReplicaEntry(engine.name, zone=engine.zone, kind=engine.kind, started_at_ms=self.clock.now)
        )

    def _notify(self, entry: i.ReplicaEntry) -> None:
        update = i.ReplicaList(i.ListKind.CHANGES, (entry,))
        for node in self.nodes:
            self.clock.at(self.clock.now + NOTIFY_SPREAD_MS * self.rng.random(), node.process_events, update)

    def _rate_per_ms(self) -> float:
        case, burst = self.case, self.case.burst
        mean_speed = sum(case.speeds[n % len(case.speeds)] for n in range(case.engines))
        rate = case.load * case.per_s * mean_speed / 1000.0
        within = burst.begin_ms <= self.clock.now < burst.begin_ms + burst.length_ms
        return rate * (burst.factor if within else 1.0)

    def _next_arrival(self) -> None:
        self.clock.at(self.clock.now + self.rng.expovariate(self._rate_per_ms()), self._arrival)

    def _arrival(self) -> None:
        self._next_arrival()
        case, rng = self.case, self.rng
        self.requested += 1
        work = exp(rng.gauss(-(case.work_sigma**2) / 2.0, case.work_sigma))
        opening = 0 if rng.random() < case.hot else int(case.openings * rng.random() ** 2)
        cls = rng.randrange(len(case.settings.classes))
        self._dispatch(ClientRequest(self.requested, work, 7919 * opening + 1, rng.getrandbits(60) + 1, cls))

    def _dispatch(self, request: ClientRequest) -> None:
        (node,) = self.rng.choices(self.nodes, self.weights)
        node.take(request)

    def retry(self, request: ClientRequest, retry_after_ms: float) -> None:
        """A client's request was refused or failed: retry it, if tries are left."""
        case = self.case
        self.refused += 1
        if request.tries >= case.retries:
            return
        pause = case.backoff_ms * 2.0**request.tries * (0.5 + self.rng.random())
        if case.honours and case.settings.retry_after:
            pause = max(pause, retry_after_ms)
        request.tries += 1
        self.clock.at(self.clock.now + pause, self._dispatch, request)


def play(case: Case) -> list[Start]:
    """Run a case; return the result of each engine's start."""
    return Simulation(case).play()
