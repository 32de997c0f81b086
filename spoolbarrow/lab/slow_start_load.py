"""Slow starts under load: what engines that have just started are sent by all routers together. Pure.

A closed loop in virtual time: the real decisions of each router, clients that come again when they were
refused, engines that do their work in turn and have a budget while they are cold. It counts requests of mean
work, as the budget does, and tells what share of it the worst span of each start took. Times are in ms.
"""

from __future__ import annotations

from collections import deque
from math import exp
from random import Random

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.lab.cold_engine import ColdEngine, ColdEngineParameters, tolerated_requests
from spoolbarrow.lab.virtual_time import Clock
from spoolbarrow.router import Router

NETWORK_MS = 0.5  # one way, between a router and an engine
STREAM_MS = 400.0  # from an answer's first token to its last
PROBE_TIMEOUT_MS = 250.0
MEAN_PROMPT_TOKENS = 2000
TELLING_MS = 100.0  # within which all routers are told of a start


class Burst(Struct, frozen=True):
    """A time in which more requests come."""

    begin_ms: float = 0.0
    length_ms: float = 0.0
    factor: float = 1.0


class Case(Struct, frozen=True, kw_only=True):
    """A fleet, what comes to it, and the engines that start."""

    settings: i.Settings
    seed: int
    engines: int = 10  # known before
    starting: int = 4  # more engines, which start one after another from `start_ms` on
    start_ms: float = 4000.0
    start_spread_ms: float = 0.0  # from the first start to the last
    end_ms: float = 16_000.0
    per_s: float = 5.0  # requests of mean work that an engine of speed 1 does in a second
    speeds: tuple[float, ...] = (1.0,)  # of the kinds of engine, dealt out in turn
    load: float = 0.6  # requests of mean work asked, as a share of what the engines known before do
    burst: Burst = Burst()
    hung: float = 0.0  # share of the engines known before that stop in silence as the first one starts
    gone: float = 0.0  # and share that leaves the list then
    retries: int = 2  # of a client that was refused or failed
    backoff_ms: float = 200.0  # mean pause before the first of them
    honours: bool = True  # clients wait as Retry-After says
    work_sigma: float = 0.6  # of the logarithm of a request's work
    openings: int = 20
    hot: float = 0.0  # share of the requests that have the first opening
    reports: bool = True  # probes tell the load
    uneven: float = 0.5  # of the logarithm of a router's traffic
    zone_skew: float = 0.0  # of the logarithm of a zone's traffic, where there are several


class Start(Struct, frozen=True):
    """One engine's slow start."""

    engine: str
    speed: float
    worst: float  # work within a span, as a share of what the engine bears: above 1 it falls
    worst_budgets: float  # the same as a multiple of N
    worst_at: float  # ms after its start
    work: float  # taken while it was cold


class Sent:
    """An attempt on its way."""

    def __init__(self, replica: str) -> None:
        self.replica = replica
        self.ended = False


class Asked:
    """A client's request, over all its tries."""

    def __init__(self, number: int, work: float, prefix: int, session: int, cls: int) -> None:
        self.number, self.work, self.prefix, self.session, self.cls = number, work, prefix, session, cls
        self.tries = 0


class Try:
    """A request as one router has it."""

    def __init__(self, asked: Asked, key: str) -> None:
        self.asked, self.key = asked, key
        self.sent: list[Sent] = []
        self.started = self.over = False


class Engine:
    """One engine: its work in turn, and what it took while it was cold."""

    def __init__(self, name: str, kind: int, figures: ColdEngineParameters, started_at: float, cold: bool) -> None:
        self.name, self.kind, self.started_at = name, kind, started_at
        self.zone = 0
        self.machine = ColdEngine(figures, started_at, cold)
        self.hung = False
        self.taken: deque[tuple[float, float]] = deque()
        self.span_work = self.work = self.worst = self.worst_budgets = self.worst_at = 0.0

    def arrives(self, now: float, work: float) -> None:
        """Account for a request that has come, whether it is taken or turned away."""
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

    def told(self, speed: float) -> Start:
        """What its start came to."""
        return Start(self.name, speed, self.worst, self.worst_budgets, self.worst_at, self.work)


class Node:
    """One router: its decisions, and what serving does round them."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        settings = replace(world.case.settings, node=number, zone=number % world.case.settings.zones)
        self.router = Router(settings, world.rng.getrandbits(60))
        self.tries: dict[str, Try] = {}

    def feed(self, *events: i.Event) -> None:
        """Have it decide, and do what it says."""
        for action in self.router.handle(self.world.clock.now, list(events)):
            self._do(action)

    def _do(self, action: i.Action) -> None:
        clock = self.world.clock
        if isinstance(action, i.SetTimer):
            clock.at(clock.now + action.in_ms, self.feed, i.TimerFired(action.token))
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

    def take(self, asked: Asked) -> None:
        """A client's request has come."""
        case, clock = self.world.case, self.world.clock
        one = Try(asked, f"{asked.number}.{asked.tries}")
        self.tries[one.key] = one
        deadline = case.settings.classes[asked.cls].deadline_ms
        clock.at(clock.now + deadline, self._deadline, one)
        prompt = max(1, int(asked.work * MEAN_PROMPT_TOKENS))
        self.feed(
            i.RequestArrived(
                one.key, asked.cls, deadline, prompt_tokens=prompt, session=asked.session, prefix=asked.prefix
            )
        )

    def _deadline(self, one: Try) -> None:
        if not (one.started or one.over):
            for number in range(len(one.sent)):
                self.end(one, number, i.Outcome.TIMEOUT)

    def _answered(self, one: Try, retry_after_ms: float) -> None:
        if not one.over:
            one.over = True
            self.world.again(one.asked, retry_after_ms)

    def _send(self, one: Try, replica: str) -> None:
        clock = self.world.clock
        one.sent.append(Sent(replica))
        clock.at(clock.now + NETWORK_MS, self._deliver, one, len(one.sent) - 1)

    def _deliver(self, one: Try, number: int) -> None:
        world, now = self.world, self.world.clock.now
        engine = world.engines.get(one.sent[number].replica)
        if one.sent[number].ended or (engine is not None and engine.hung):
            return
        if engine is None:
            return self.end(one, number, i.Outcome.UNREACHABLE)
        engine.arrives(now, one.asked.work)
        done = engine.machine.accept(now, one.asked.work)
        if done is None:
            return self.end(one, number, i.Outcome.FULL)
        world.clock.at(done, self._started, one, number, engine)

    def _started(self, one: Try, number: int, engine: Engine) -> None:
        if one.sent[number].ended or one.over or one.started or engine.hung:
            return
        one.started = one.over = True
        self.world.answered += 1
        self.feed(i.StreamStarted(one.key, number, engine.name))
        self.world.clock.at(self.world.clock.now + STREAM_MS, self.end, one, number, i.Outcome.SERVED)

    def end(self, one: Try, number: int, outcome: i.Outcome) -> None:
        """The one outcome of an attempt."""
        sent = one.sent[number]
        if not sent.ended:
            sent.ended = True
            self.feed(i.AttemptEnded(one.key, number, sent.replica, outcome, one.over))

    def _probe(self, replica: str) -> None:
        world, now = self.world, self.world.clock.now
        engine = world.engines.get(replica)
        if engine is None or engine.hung:
            answer = i.ProbeAnswered(replica, i.Outcome.TIMEOUT, PROBE_TIMEOUT_MS)
            return world.clock.at(now + PROBE_TIMEOUT_MS, self.feed, answer)
        waiting = engine.machine.queue_length(now)
        memory = min(1.0, waiting / engine.machine.figures.waiting)
        unread = float(waiting * MEAN_PROMPT_TOKENS)
        report = i.Report(memory, unread) if world.case.reports else None
        lag = 2.0 * NETWORK_MS
        world.clock.at(now + lag, self.feed, i.ProbeAnswered(replica, i.Outcome.SERVED, lag, report))


class World:
    """One case as it is played."""

    def __init__(self, case: Case) -> None:
        self.case, self.rng, self.clock = case, Random(case.seed), Clock()
        self.engines: dict[str, Engine] = {}
        self.starts: list[Engine] = []
        for number in range(case.engines):
            self._engine(f"old-{number}", number, -case.settings.cold_ms, False)
        self.nodes = [Node(self, number) for number in range(case.settings.nodes)]
        zones = [exp(self.rng.gauss(0.0, case.zone_skew)) for _ in range(case.settings.zones)]
        self.weights = [
            exp(self.rng.gauss(0.0, case.uneven)) * zones[number % len(zones)]
            for number in range(len(self.nodes))
        ]
        self.asked = self.answered = self.refused = 0

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
        """The whole case: each start."""
        case, clock = self.case, self.clock
        entries = tuple(i.ReplicaEntry(e.name, zone=e.zone, kind=e.kind) for e in self.engines.values())
        for node in self.nodes:
            node.feed(i.ReplicaList(i.ListKind.WHOLE, entries))
        clock.at(case.start_ms, self._trouble)
        step = case.start_spread_ms / max(1, case.starting - 1)
        for number in range(case.starting):
            clock.at(case.start_ms + number * step, self._start, number)
        self._next_arrival()
        clock.run(lambda: clock.now < case.end_ms)
        return [engine.told(case.speeds[engine.kind]) for engine in self.starts]

    def _trouble(self) -> None:
        known = list(self.engines.values())
        self.rng.shuffle(known)
        hung, gone = int(self.case.hung * len(known)), int(self.case.gone * len(known))
        for engine in known[:hung]:
            engine.hung = True
        for engine in known[hung : hung + gone]:
            del self.engines[engine.name]
            self._tell(i.ReplicaEntry(engine.name, state=i.ReplicaState.GONE))

    def _start(self, number: int) -> None:
        engine = self._engine(f"new-{number}", number, self.clock.now, True)
        self.starts.append(engine)
        self._tell(
            i.ReplicaEntry(engine.name, zone=engine.zone, kind=engine.kind, started_at_ms=self.clock.now)
        )

    def _tell(self, entry: i.ReplicaEntry) -> None:
        news = i.ReplicaList(i.ListKind.CHANGES, (entry,))
        for node in self.nodes:
            self.clock.at(self.clock.now + TELLING_MS * self.rng.random(), node.feed, news)

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
        self.asked += 1
        work = exp(rng.gauss(-(case.work_sigma**2) / 2.0, case.work_sigma))
        opening = 0 if rng.random() < case.hot else int(case.openings * rng.random() ** 2)
        cls = rng.randrange(len(case.settings.classes))
        self._come(Asked(self.asked, work, 7919 * opening + 1, rng.getrandbits(60) + 1, cls))

    def _come(self, asked: Asked) -> None:
        (node,) = self.rng.choices(self.nodes, self.weights)
        node.take(asked)

    def again(self, asked: Asked, retry_after_ms: float) -> None:
        """A client was refused or failed: it may come again."""
        case = self.case
        self.refused += 1
        if asked.tries >= case.retries:
            return
        pause = case.backoff_ms * 2.0**asked.tries * (0.5 + self.rng.random())
        if case.honours and case.settings.retry_after:
            pause = max(pause, retry_after_ms)
        asked.tries += 1
        self.clock.at(self.clock.now + pause, self._come, asked)


def play(case: Case) -> list[Start]:
    """What each engine that starts was sent."""
    return World(case).play()
