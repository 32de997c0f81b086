"""A scenario in virtual time: discrete events, the real decisions; the same run by seed.

Three parties, each in a class of its own: `Machines` (engines, and what the network does on the way to
them), `Nodes` (what the serving program does round the decisions) and `Callers` (clients and the front).
Times are in milliseconds.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from heapq import heappop, heappush
from math import inf, sqrt
from random import Random
from time import perf_counter, perf_counter_ns
from typing import Any

from spoolbarrow import interface as i
from spoolbarrow.lab.account import Record, account, effort
from spoolbarrow.lab.arrivals import Asked, asked
from spoolbarrow.lab.directory import Directory, Told
from spoolbarrow.lab.engine import Engine, Kind, Taken, Work
from spoolbarrow.lab.fleet import Planned, Spec, fleet, moves, plan, stream
from spoolbarrow.lab.kinds import draw
from spoolbarrow.lab.policies import POLICIES, Decider
from spoolbarrow.lab.scenario import Scenario

AFTER_S = 60.0  # a day goes on so long at most after its last arrival
STALL_MS = 20_000.0  # a stream silent for so long is given up by its router
UP_MS = 200.0  # from a router's restart until the front takes it in
MARGIN_MS = 5.0  # of a client's patience that its router is not told
SAMPLE_MS = 1000.0
DAY = ("arrivals", "fleet", "troubles")  # the same in every replay of a seed
GC_OBJECTS = 200_000  # between looks for cycles


class Machine:
    """An engine's process and its place in the network."""

    __slots__ = (
        "spec", "id", "engine", "state", "alive", "silent", "cut", "connections", "cap", "resets",
        "spoilt", "trickle", "trickle_end", "flights", "armed", "started_at",
    )  # fmt: skip

    def __init__(self, spec: Spec, name: str, engine: Engine) -> None:
        self.spec = spec
        self.id = name
        self.engine = engine
        self.state = i.ReplicaState.SERVING
        self.alive = True  # its process runs
        self.silent = -inf  # nothing comes from it, or gets to it, until then
        self.cut: dict[int, float] = {}  # routers that cannot reach it, until when
        self.connections = 0
        self.cap = spec.figures.connections
        self.resets = self.spoilt = self.trickle = self.trickle_end = 0.0
        self.flights: dict[str, Flight] = {}
        self.armed = inf
        self.started_at = 0.0

    def entry(self) -> i.ReplicaEntry:
        """Its line in the list."""
        s = self.spec
        return i.ReplicaEntry(self.id, s.zone, s.kind, s.cell, self.state, s.weight, self.started_at)


class Flight:
    """One attempt on its way."""

    __slots__ = (
        "node", "open", "number", "machine", "name", "sent_at", "delay", "over", "started", "spoil", "engine",
        "first_at", "trickle",
    )  # fmt: skip

    def __init__(self, node: Node, open: Open, number: int, machine: Machine | None, now: float) -> None:
        self.node, self.open, self.number, self.machine = node, open, number, machine
        self.name = f"{open.id}#{number}"
        self.sent_at = now
        self.delay = 0.0
        self.over = self.started = self.spoil = False
        self.engine: Engine | None = None  # the process it has a connection to
        self.first_at = self.trickle = 0.0  # its first token, and the time each takes on the wire

    def connected(self) -> bool:
        """Whether the process that it has a connection to still runs."""
        machine = self.machine
        return machine is not None and machine.alive and machine.engine is self.engine


class Open:
    """A request at its router."""

    __slots__ = ("id", "call", "deadline", "flights", "done", "claimed")

    def __init__(self, name: str, call: Call, deadline: float) -> None:
        self.id, self.call, self.deadline = name, call, deadline
        self.flights: list[Flight] = []
        self.done = False
        self.claimed: Flight | None = None


class Call:
    """One try of a client."""

    __slots__ = ("record", "number", "sent_at", "patience", "over", "started", "node", "open")

    def __init__(self, record: Record, number: int, now: float, patience: float) -> None:
        self.record, self.number, self.sent_at, self.patience = record, number, now, patience
        self.over = self.started = False
        self.node: Node | None = None
        self.open: Open | None = None  # its router's side


class Node:
    """One router."""

    def __init__(self, number: int, zone: int) -> None:
        self.number, self.zone = number, zone
        self.decider: Decider | None = None  # None while dead
        self.life = 0
        self.draining = False
        self.opens: dict[str, Open] = {}
        self.list: dict[str, i.ReplicaEntry] = {}
        self.away: dict[str, float] = {}  # told to drain or gone, since when
        self.idle: dict[Machine, list[float]] = {}
        self.cpu_ns = self.taken = self.probes = 0


class Clock:
    """Events in the order of their times, and of their making where times are equal."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Call it then; never before now."""
        self.count += 1
        heappush(self.heap, (max(when, self.now), self.count, call, args))

    def run(self, goes_on: Callable[[], bool]) -> None:
        """Play until nothing is left to do, or to wait for."""
        heap = self.heap
        while heap and goes_on():
            self.now, _, call, args = heappop(heap)
            call(*args)


class Simulation:
    """One day."""

    def __init__(self, scenario: Scenario, policy: str, seed: int, replay: int = 0) -> None:
        self.scenario, self.policy, self.seed, self.replay = scenario, policy, seed, replay
        self.clock = Clock()
        self.net = self.stream("net")
        self.plans = plan(scenario, self.stream("troubles"))
        self.broken: dict[str, int] = {}
        self.machines = Machines(self)
        self.directory = Directory(
            scenario.discovery, [m.entry() for m in self.machines.by_id.values()], self.stream("discovery")
        )
        self.nodes = Nodes(self)
        self.callers = Callers(self)

    def stream(self, name: str) -> Random:
        """Random numbers of one concern, the same whatever the others draw."""
        again = f"{name} {self.replay}" if self.replay and name not in DAY else name
        return stream(self.seed, again)

    def delay(self, low_high: Any) -> float:
        """A one-way delay, with jitter."""
        mean = draw(low_high, self.net)
        return mean * max(0.1, 1.0 + self.scenario.net.jitter * self.net.gauss(0.0, 1.0))

    def breaks(self, rule: str) -> None:
        """A rule was broken."""
        self.broken[rule] = self.broken.get(rule, 0) + 1

    def play(self) -> dict[str, Any]:
        """The whole day; what it came to. `run` holds what differs from one playing to the next."""
        begin = perf_counter()
        self.nodes.begin()
        self.callers.begin()
        for planned in self.plans:
            self._schedule(planned)
        self.clock.at(SAMPLE_MS, self.machines.sample)
        # What the lab holds must not be walked through again and again in the middle of decisions.
        gc.freeze()
        usual = gc.get_threshold()
        gc.set_threshold(GC_OBJECTS)
        last = (self.scenario.whole_s() + AFTER_S) * 1000.0
        self.clock.run(lambda: self.clock.now < last and self.callers.pending > 0)
        took = perf_counter() - begin
        gc.set_threshold(*usual)
        gc.unfreeze()
        taken = max(1, sum(node.taken for node in self.nodes.all))
        told = account(self.scenario, self.callers.records, self.plans)
        told |= self.machines.figures(self.callers.records)
        told |= {
            "policy": self.policy,
            "seed": self.seed,
            "probes_a_request": round(sum(node.probes for node in self.nodes.all) / taken, 4),
            "list_calls_failed": self.directory.failed,
            "rules_broken": dict(sorted(self.broken.items())),
            "run": {
                "decision_us_a_request": round(sum(n.cpu_ns for n in self.nodes.all) / 1000.0 / taken, 2),
                "requests_a_second": round(len(self.callers.records) / took, 1),
                "times_real_time": round(self.clock.now / 1000.0 / took, 2),
                "took_s": round(took, 3),
                "events": self.clock.count,
            },
        }
        return told

    # --- troubles

    def _schedule(self, planned: Planned) -> None:
        t = planned.trouble
        begin = self.scenario.lead_ms() + t.begin_s * 1000.0
        end = begin + t.length_s * 1000.0
        at, machines = self.clock.at, self.machines
        if t.name == "discovery_down":
            at(begin, self._down, end)
        elif t.name == "discovery_stale":
            at(begin, self._stale, planned.size * 1000.0)
            at(end, self._stale, 0.0)
        elif t.name == "router_death":
            for number in planned.victims:
                at(begin, self.nodes.die, self.nodes.all[number])
                at(end, self.nodes.rise, self.nodes.all[number])
        elif t.name == "router_restart":
            # One after another: the next is told to end when the one before has been up for a while.
            for turn, number in enumerate(planned.victims):
                when = begin + turn * (planned.size + t.length_s) * 1000.0
                at(when, self.nodes.drain, self.nodes.all[number], planned.size * 1000.0)
        elif t.name != "burst":
            for number in planned.victims:
                machines.trouble(machines.first[number], planned, begin, end)

    def _down(self, until: float) -> None:
        for told in self.directory.down(self.clock.now, until):
            self.clock.at(told.at, self.nodes.told, told)

    def _stale(self, behind_ms: float) -> None:
        self.directory.behind_ms = behind_ms


class Machines:
    """Engines, and the way to them."""

    def __init__(self, sim: Simulation) -> None:
        self.sim, self.clock = sim, sim.clock
        self.rng = sim.stream("engines")
        specs = fleet(sim.scenario, sim.stream("fleet"))
        self.first = [Machine(spec, spec.id, self._engine(spec, 0.0, False)) for spec in specs]
        self.by_id = {machine.id: machine for machine in self.first}
        self.falls = 0
        self.past: list[Engine] = []  # processes that have ended: their work still counts
        self.spread: list[float] = []
        self.moves: dict[str, Callable[..., None]] = {
            "stall": self._stall,
            "slowed": self._slowed,
            "crash": self.crash,
            "drain": self._drain,
            "replace": self._replace,
            "vanish": self._vanish,
            "cut": self._cut,
            "put": setattr,
        }

    def _engine(self, spec: Spec, now: float, cold: bool) -> Engine:
        return Engine(spec.figures, Random(self.rng.random()), now, cold)

    # --- attempts and probes on the way

    def _reach(self, node: Node, machine: Machine) -> float:
        """The one-way delay from a router to an engine."""
        net = self.sim.scenario.net
        return self.sim.delay(net.same_ms if node.zone == machine.spec.zone else net.cross_ms)

    def _held_until(self, node: Node, machine: Machine) -> float:
        """Until when nothing passes between the two."""
        return max(machine.silent, machine.cut.get(node.number, -inf))

    def _after(self, flight: Flight, call: Callable[..., None], *args: Any) -> None:
        """What the engine says reaches the router: after a cut, where the packets are sent again."""
        machine = flight.machine
        assert machine is not None
        begin = max(self.clock.now, self._held_until(flight.node, machine))
        self.clock.at(begin + flight.delay, call, flight, *args)

    def send(self, flight: Flight) -> None:
        """An attempt leaves its router."""
        machine, node, now, nodes = flight.machine, flight.node, self.clock.now, self.sim.nodes
        timeout = self.sim.scenario.limits.connect_timeout_ms
        if machine is None:
            return self.clock.at(now + 1.0, nodes.ended, flight, i.Outcome.UNREACHABLE)
        flight.delay = delay = self._reach(node, machine)
        held = self._held_until(node, machine) > now
        if not machine.alive and not held:
            return self.clock.at(now + 2.0 * delay, nodes.ended, flight, i.Outcome.UNREACHABLE)
        idle = node.idle.get(machine, [])
        while idle and now - idle[-1] >= machine.spec.figures.idle_ms:
            machine.connections -= len(idle)
            idle.clear()
        if idle:
            idle.pop()
        elif held:
            return self.clock.at(now + timeout, nodes.ended, flight, i.Outcome.UNREACHABLE)
        elif machine.connections >= machine.cap and not self._purge(machine):
            return self.clock.at(now + 2.0 * delay, nodes.ended, flight, i.Outcome.UNREACHABLE)
        else:
            machine.connections += 1
            machine.engine.charge(now, machine.spec.figures.handshake_work_ms)
            now += machine.spec.figures.handshake_rtts * 2.0 * delay
        flight.engine = machine.engine
        self.clock.at(max(now, self._held_until(node, machine)) + delay, self._deliver, flight)

    def _purge(self, machine: Machine) -> bool:
        """Close what has been idle for too long; whether that made room."""
        for node in self.sim.nodes.all:
            idle = node.idle.get(machine, [])
            young = [at for at in idle if self.clock.now - at < machine.spec.figures.idle_ms]
            machine.connections -= len(idle) - len(young)
            idle[:] = young
        return machine.connections < machine.cap

    def _deliver(self, flight: Flight) -> None:
        machine, now, nodes = flight.machine, self.clock.now, self.sim.nodes
        if machine is None or flight.over:
            return
        if not machine.alive or machine.engine is not flight.engine:
            return self._after(flight, nodes.ended, i.Outcome.RESET)
        if machine.state is not i.ReplicaState.SERVING:
            return self._after(flight, nodes.ended, i.Outcome.FULL)
        one = flight.open.call.record.asked
        taken = machine.engine.submit(now, work(flight.name, one))
        if taken is Taken.TAKEN:
            machine.flights[flight.name] = flight
            self._arm(machine)
        elif taken is Taken.FELL:
            machine.flights[flight.name] = flight
            self.falls += 1
            self.sim.breaks("4: a cold engine fell over")
            self.crash(machine, machine.spec.figures.restart_ms)
        else:
            self._after(flight, nodes.ended, i.Outcome.FULL if taken is Taken.FULL else i.Outcome.ERROR)

    def _arm(self, machine: Machine) -> None:
        at = machine.engine.next_at()
        if at < machine.armed:
            machine.armed = at
            self.clock.at(at, self._wake, machine)

    def _wake(self, machine: Machine) -> None:
        if self.clock.now < machine.armed:
            return
        machine.armed = inf
        if not machine.alive:
            return
        for news in machine.engine.advance(self.clock.now):
            flight = machine.flights.get(news.id)
            if flight is None:
                continue
            if news.kind is Kind.STARTED:
                self._started(machine, flight, news.kept)
            else:
                del machine.flights[news.id]
                read = flight.first_at + flight.trickle * flight.open.call.record.asked.answer
                read = min(read, machine.trickle_end)
                if flight.spoil:
                    self._after(flight, self.sim.nodes.ended, i.Outcome.UNREADABLE)
                elif read > self.clock.now:
                    ended = (flight, self.sim.nodes.ended, i.Outcome.SERVED, news.kept)
                    self.clock.at(read, self._after, *ended)
                else:
                    self._after(flight, self.sim.nodes.ended, i.Outcome.SERVED, news.kept)
        self._arm(machine)

    def _started(self, machine: Machine, flight: Flight, kept: int) -> None:
        nodes = self.sim.nodes
        if machine.resets and self.rng.random() < machine.resets:
            self.drop(flight)
            return self._after(flight, nodes.ended, i.Outcome.RESET)
        if machine.spoilt and self.rng.random() < machine.spoilt:
            if self.rng.random() < 0.5:
                self.drop(flight)
                return self._after(flight, nodes.ended, i.Outcome.UNREADABLE)
            flight.spoil = True  # only a later event of the stream
        flight.first_at, flight.trickle = self.clock.now, machine.trickle
        self._after(flight, nodes.started)

    def drop(self, flight: Flight) -> None:
        """The router, or a fault, closes the attempt's connection."""
        machine = flight.machine
        if machine is not None and machine.flights.pop(flight.name, None) is not None:
            machine.engine.cancel(self.clock.now, flight.name)
            self._arm(machine)

    def probe(self, node: Node, name: str) -> None:
        """A probe leaves its router."""
        machine, now = self.by_id.get(name), self.clock.now
        limit = self.sim.scenario.limits.probe_timeout_ms
        said = self.sim.nodes.probed
        if machine is None:
            return self.clock.at(now + 1.0, said, node, node.life, name, i.Outcome.UNREACHABLE, 1.0)
        delay = self._reach(node, machine)
        if self._held_until(node, machine) > now:
            return self.clock.at(now + limit, said, node, node.life, name, i.Outcome.TIMEOUT, limit)
        if not machine.alive:
            lag = 2.0 * delay
            return self.clock.at(now + lag, said, node, node.life, name, i.Outcome.UNREACHABLE, lag)
        engine = machine.engine
        engine.charge(now, machine.spec.figures.probe_work_ms)
        wait = engine.probe_wait(now)
        lag = 2.0 * delay + wait
        if lag > limit:
            return self.clock.at(now + limit, said, node, node.life, name, i.Outcome.TIMEOUT, limit)
        self.clock.at(now + delay + wait, self._probed, node, node.life, machine, lag, delay)

    def _probed(self, node: Node, life: int, machine: Machine, lag: float, delay: float) -> None:
        now, said = self.clock.now, self.sim.nodes.probed
        if not machine.alive:
            return self.clock.at(now + delay, said, node, life, machine.id, i.Outcome.RESET, lag)
        load = machine.engine.report(now)
        report = i.Report(load.memory_share, load.unread_tokens, -1.0, load.busy_share)
        self.clock.at(now + delay, said, node, life, machine.id, i.Outcome.SERVED, lag, report)

    # --- troubles

    def trouble(self, machine: Machine, planned: Planned, begin: float, end: float) -> None:
        """Schedule what hits one engine."""
        # What is left of a trickling stream then comes at once.
        machine.trickle_end = end if planned.trouble.name == "trickle" else machine.trickle_end
        for at, move, told in moves(planned, machine.spec.figures, self.rng, begin):
            self.clock.at(at, self.moves[move], machine, *told)

    def _stall(self, machine: Machine, until: float) -> None:
        machine.engine.stall(self.clock.now, until)
        self._rearm(machine)

    def _slowed(self, machine: Machine, factor: float) -> None:
        machine.engine.slowed(self.clock.now, factor)
        self._rearm(machine)

    def _rearm(self, machine: Machine) -> None:
        machine.armed = inf
        self._arm(machine)

    def _cut(self, machine: Machine, routers: tuple[int, ...], until: float) -> None:
        for number in routers:
            machine.cut[number] = until

    def _change(self, machine: Machine, silent: bool = False) -> None:
        at = self.sim.directory.changed(self.clock.now, machine.entry(), silent)
        self.clock.at(at, self._noticed)

    def _noticed(self) -> None:
        for told in self.sim.directory.due(self.clock.now):
            self.clock.at(told.at, self.sim.nodes.told, told)

    def _drain(self, machine: Machine) -> None:
        machine.state = i.ReplicaState.DRAINING
        self._change(machine)

    def _lose(self, machine: Machine) -> None:
        """The process ends: what it had is reset."""
        machine.alive = False
        self.past.append(machine.engine)
        for flight in list(machine.flights.values()):
            self._after(flight, self.sim.nodes.ended, i.Outcome.RESET)
        machine.flights.clear()
        machine.connections = 0
        for node in self.sim.nodes.all:
            node.idle.pop(machine, None)

    def crash(self, machine: Machine, down_ms: float) -> None:
        """The process dies and starts again, cold."""
        if machine.alive:
            self._lose(machine)
            self.clock.at(self.clock.now + down_ms, self._restart, machine)

    def _restart(self, machine: Machine) -> None:
        now = self.clock.now
        if machine.alive:
            return
        machine.engine = self._engine(machine.spec, now, True)
        machine.alive, machine.started_at, machine.state = True, now, i.ReplicaState.SERVING
        machine.armed = inf
        self._change(machine)

    def _replace(self, machine: Machine, until: float) -> None:
        """It goes for good; another takes its place, with a new id."""
        if machine.alive:
            self._lose(machine)
        machine.state = i.ReplicaState.GONE
        self._change(machine)
        self.by_id.pop(machine.id, None)
        new = Machine(machine.spec, f"{machine.id}r", self._engine(machine.spec, until, True))
        new.alive = False
        self.by_id[new.id] = new
        self.clock.at(until, self._restart, new)

    def _vanish(self, machine: Machine, until: float) -> None:
        machine.silent = until
        flights = list(machine.flights.values())
        for flight in flights:
            self.clock.at(self.clock.now + STALL_MS, self.sim.nodes.ended, flight, i.Outcome.TIMEOUT)
        machine.state = i.ReplicaState.GONE
        self._change(machine, silent=True)
        if machine.alive:
            self._lose(machine)
        self.clock.at(until, self._restart, machine)

    # --- what it came to

    def sample(self) -> None:
        """How evenly the load lies just now: its standard deviation among engines, as a share of the mean."""
        counts = [len(m.engine.jobs) for m in self.by_id.values() if m.alive]
        mean = sum(counts) / max(1, len(counts))
        if mean > 0.0:
            self.spread.append(sqrt(sum((c - mean) ** 2 for c in counts) / len(counts)) / mean)
        if self.clock.now < self.sim.scenario.whole_s() * 1000.0:
            self.clock.at(self.clock.now + SAMPLE_MS, self.sample)

    def figures(self, records: list[Record]) -> dict[str, Any]:
        """Work of all engines."""
        engines = [*self.past, *(m.engine for m in self.by_id.values() if m.engine not in self.past)]
        for engine in engines:
            engine.check()
        work = sum(engine.made + engine.done_read for engine in engines)
        return effort(self.sim.scenario, records, work) | {
            "spread": round(sum(self.spread) / max(1, len(self.spread)), 4),
            "read_anew_share": round(
                sum(e.done_read for e in engines) / max(1, sum(e.asked for e in engines)), 6
            ),
            "preempted": sum(engine.preempted for engine in engines),
            "falls": self.falls,
        }

    def first_token_ms(self, replica: str, request: i.RequestArrived, now: float) -> float:
        """The true state of an engine, for the oracle."""
        machine = self.by_id.get(replica)
        if machine is None or not machine.alive or machine.silent > now:
            return inf
        if machine.state is not i.ReplicaState.SERVING:
            return inf
        engine, f = machine.engine, machine.spec.figures
        engine.load(now)
        one = work("", self.sim.callers.asked_of(request.request))
        unread = engine.unread + one.prompt - engine.found_kept(one)
        wait = max(0.0, engine.not_before - now)
        wait += engine.slow * (unread / f.read_rate() + f.step_ms) / engine.warmth.speed(now)
        running = len(engine.running)
        behind = max(0, running + len(engine.waiting) + 1 - f.slots)
        short = one.prompt / f.block_tokens > engine.memory.room()
        pace = f.step_ms + f.per_running_ms * running
        return wait + pace * (running * 0.2 + 10.0 * behind + 50.0 * short)


def work(name: str, one: Asked) -> Work:
    """A request as an engine sees it."""
    return Work(name, one.prompt, one.answer, one.prefix or None, one.shared, one.session)


class Nodes:
    """Routers: what the serving program does round the decisions."""

    def __init__(self, sim: Simulation) -> None:
        self.sim, self.clock = sim, sim.clock
        self.all = [Node(n, n % sim.scenario.zones) for n in range(sim.scenario.routers)]
        self.seeds = sim.stream("routers")

    def begin(self) -> None:
        """Start all, each with the list as it is."""
        for node in self.all:
            node.list = dict(self.sim.directory.shown)
            self._start(node)

    def _start(self, node: Node) -> None:
        settings = self.sim.scenario.settings(node.number)
        make = POLICIES[self.sim.policy]
        node.decider = make(settings, self.seeds.getrandbits(32), self.sim.machines)
        node.away.clear()
        self.feed(node, [i.ReplicaList(i.ListKind.RESTORED, tuple(node.list.values()))])

    def die(self, node: Node) -> None:
        """Its process is killed: connections break, and all it knew is gone but the last list."""
        if node.decider is None:
            return
        node.decider = None
        node.life += 1
        for machine, idle in node.idle.items():
            machine.connections -= len(idle)
        node.idle.clear()
        for open in node.opens.values():
            for flight in open.flights:
                if not flight.over:
                    flight.over = True
                    self._hang_up(flight)
                    if flight.machine is not None and flight.connected():
                        flight.machine.connections -= 1
            self.sim.callers.cut_off(open.call)
            del self.sim.callers.calls[open.id]
        node.opens.clear()
        self.sim.directory.leave(node.number)
        self.sim.callers.died(node)

    def drain(self, node: Node, grace_ms: float) -> None:
        """It is told to end: the front turns away from it; what it has when its grace ends is cut off."""
        node.draining = True
        self.clock.at(self.clock.now + UP_MS, self.sim.callers.believe)
        self.clock.at(self.clock.now + grace_ms, self._replaced, node)

    def _replaced(self, node: Node) -> None:
        self.die(node)
        self.rise(node)

    def rise(self, node: Node) -> None:
        """It starts again."""
        node.draining = False
        self._start(node)
        self.sim.callers.rose(node)

    def feed(self, node: Node, events: list[i.Event]) -> None:
        """Let it decide, and do what it says."""
        decider, now = node.decider, self.clock.now
        if decider is None:
            return
        begin = perf_counter_ns()
        actions = decider.handle(now, events)
        node.cpu_ns += perf_counter_ns() - begin
        for action in actions:
            kind = type(action)
            if kind is i.SetTimer:
                assert isinstance(action, i.SetTimer)
                self.clock.at(now + action.in_ms, self._fire, node, node.life, action.token)
            elif kind is i.Send:
                assert isinstance(action, i.Send)
                self._send(node, action)
            elif kind is i.Probe:
                assert isinstance(action, i.Probe)
                node.probes += 1
                self.sim.machines.probe(node, action.replica)
            elif kind is i.Cancel:
                assert isinstance(action, i.Cancel)
                self._cancel(node, action)
            elif kind is i.Refuse or kind is i.Fail:
                assert isinstance(action, (i.Refuse, i.Fail))
                self._answer(node, action)
            else:
                told = self.sim.directory.call(now, node.number)
                self.clock.at(told.at, self.told, told, node.life)

    def _fire(self, node: Node, life: int, token: str) -> None:
        if node.life == life:
            self.feed(node, [i.TimerFired(token)])

    def told(self, told: Told, life: int = -1) -> None:
        """Discovery speaks to a router."""
        node = self.all[told.caller]
        if node.decider is None or (life >= 0 and life != node.life):
            return
        kind, entries = told.kind, told.entries
        if kind is i.ListKind.WHOLE:
            if node.number not in self.sim.directory.watches:
                kind = i.ListKind.FAILED  # it went down while the call waited
            else:
                entries = self.sim.directory.whole()
                for gone in set(node.list) - {e.replica for e in entries}:
                    del node.list[gone]
                    node.away.setdefault(gone, self.clock.now)
        for entry in entries:
            if entry.state is i.ReplicaState.SERVING:
                node.away.pop(entry.replica, None)
            else:
                node.away.setdefault(entry.replica, self.clock.now)
            if entry.state is i.ReplicaState.GONE:
                node.list.pop(entry.replica, None)
            else:
                node.list[entry.replica] = entry
        self.feed(node, [i.ReplicaList(kind, entries)])

    def arrived(self, call: Call, node: Node, client_ms: float) -> None:
        """A request's last byte is here."""
        if node.decider is None:
            return self.clock.at(self.clock.now + client_ms, self.sim.callers.answered, call, "failed", 0.0)
        if call.over:
            return
        one, now = call.record.asked, self.clock.now
        budget = max(1.0, call.patience - (now - call.sent_at) - client_ms - MARGIN_MS)
        node.taken += 1
        name = f"{one.session:x}.{call.record.tries}.{node.number}.{node.taken}"
        call.node = node
        open = call.open = node.opens[name] = Open(name, call, now + budget)
        self.sim.callers.calls[name] = call
        self.clock.at(open.deadline, self._deadline, node, node.life, open)
        most = list(self.sim.scenario.classes.values())[one.cls].max_answer or one.answer
        event = i.RequestArrived(
            name, one.cls, budget, one.tenant, one.prompt, one.shared, most, one.session, one.prefix
        )
        self.feed(node, [event])

    def _send(self, node: Node, action: i.Send) -> None:
        open, now = node.opens.get(action.request), self.clock.now
        if open is None or open.done or open.claimed is not None:
            return self.sim.breaks("1: sent after the answer")
        since = node.away.get(action.replica)
        if since is not None and now - since > self.sim.scenario.limits.drain_grace_ms:
            self.sim.breaks("3: sent to what drains or is gone")
        machine = self.sim.machines.by_id.get(action.replica)
        flight = Flight(node, open, len(open.flights), machine, now)
        open.flights.append(flight)
        open.call.record.attempts += 1
        self.sim.machines.send(flight)

    def started(self, flight: Flight) -> None:
        """An attempt's first token is here."""
        open, node = flight.open, flight.node
        if flight.over:
            return
        if open.done or open.claimed is not None:
            self._hang_up(flight)
            return self._end(flight, i.Outcome.CANCELLED, 0)
        open.claimed, flight.started = flight, True
        self.sim.callers.first_token(open.call)
        lag = self.clock.now - flight.sent_at
        assert flight.machine is not None
        self.feed(node, [i.StreamStarted(open.id, flight.number, flight.machine.id, lag)])

    def ended(self, flight: Flight, outcome: i.Outcome, kept: int = 0) -> None:
        """An attempt has its outcome."""
        if flight.over:
            return
        if outcome is i.Outcome.TIMEOUT:
            self._hang_up(flight)
        self._end(flight, outcome, kept)

    def _end(self, flight: Flight, outcome: i.Outcome, kept: int) -> None:
        open, node, machine = flight.open, flight.node, flight.machine
        flight.over = True
        if machine is not None and flight.connected():
            idle = node.idle.setdefault(machine, [])
            usable = outcome in (i.Outcome.SERVED, i.Outcome.FULL, i.Outcome.ERROR)
            if usable and len(idle) < self.sim.scenario.limits.idle_connections:
                idle.append(self.clock.now)
            else:
                machine.connections -= 1
        closed = open.done
        if flight.started:
            closed = open.done = True
            whole = outcome is i.Outcome.SERVED
            self.sim.callers.ended(open.call, whole, open.call.record.asked.prompt - kept)
        if open.done and all(f.over for f in open.flights):
            self._forget(node, open)
        name = machine.id if machine is not None else ""
        lag = self.clock.now - flight.sent_at
        self.feed(node, [i.AttemptEnded(open.id, flight.number, name, outcome, closed, lag, kept)])

    def _forget(self, node: Node, open: Open) -> None:
        if node.opens.pop(open.id, None) is not None:
            del self.sim.callers.calls[open.id]

    def _hang_up(self, flight: Flight) -> None:
        machine = flight.machine
        if machine is not None:
            delay = flight.delay
            self.clock.at(self.clock.now + delay, self.sim.machines.drop, flight)

    def _cancel(self, node: Node, action: i.Cancel) -> None:
        open = node.opens.get(action.request)
        flight = open.flights[action.attempt] if open is not None else None
        if flight is not None and not flight.over and not flight.started:
            self._hang_up(flight)
            self.clock.at(self.clock.now, self.ended, flight, i.Outcome.CANCELLED)

    def _answer(self, node: Node, action: i.Refuse | i.Fail) -> None:
        open = node.opens.get(action.request)
        if open is None or open.done:
            return self.sim.breaks("1: answered twice")
        open.done = True
        refused = isinstance(action, i.Refuse)
        pause = action.retry_after_ms if isinstance(action, i.Refuse) else 0.0
        self.sim.callers.tell(open.call, "refused" if refused else "failed", pause)
        if all(f.over for f in open.flights):
            self._forget(node, open)

    def _deadline(self, node: Node, life: int, open: Open) -> None:
        if node.life != life or node.opens.get(open.id) is not open or open.claimed is not None:
            return
        for flight in open.flights:
            self.ended(flight, i.Outcome.TIMEOUT)
        if not open.done:
            self.sim.breaks("1: no answer by the deadline")
            self.left(open.call)

    def left(self, call: Call) -> None:
        """A client closed its connection."""
        node, open = call.node, call.open
        if node is None or open is None or open.done or node.opens.get(open.id) is not open:
            return
        open.done = True
        for flight in open.flights:
            if not flight.over and flight.started:
                self._hang_up(flight)
                self.clock.at(self.clock.now, self.ended, flight, i.Outcome.CANCELLED)
        self.feed(node, [i.RequestGone(open.id)])
        if all(f.over for f in open.flights):
            self._forget(node, open)

    def probed(
        self, node: Node, life: int, name: str, outcome: i.Outcome, lag: float, report: i.Report | None = None
    ) -> None:
        """A probe's answer is here."""
        if node.life == life:
            self.feed(node, [i.ProbeAnswered(name, outcome, lag, report)])


class Callers:
    """Clients, and the front that deals them out among routers."""

    def __init__(self, sim: Simulation) -> None:
        self.sim, self.clock = sim, sim.clock
        self.rng = sim.stream("clients")
        self.shapes = list(sim.scenario.classes.values())
        troubles = [planned.trouble for planned in sim.plans]
        self.records = [Record(one) for one in asked(sim.scenario, troubles, sim.stream("arrivals"))]
        self.pending = len(self.records)
        self.believed = list(range(sim.scenario.routers))
        self.calls: dict[str, Call] = {}
        self.next = 0

    def begin(self) -> None:
        """The first request."""
        self._schedule()

    def _schedule(self) -> None:
        if self.next < len(self.records):
            record = self.records[self.next]
            self.next += 1
            self.clock.at(record.asked.at_ms, self._due, record)

    def _due(self, record: Record) -> None:
        self._schedule()
        self._try(record, 0)

    def asked_of(self, request: str) -> Asked:
        """What the client of a request means."""
        return self.calls[request].record.asked

    def died(self, node: Node) -> None:
        """The front will notice."""
        notice = draw(self.sim.scenario.front.notice_s, self.rng) * 1000.0
        self.clock.at(self.clock.now + notice, self.believe)

    def rose(self, node: Node) -> None:
        """The front asks for signs of life."""
        self.clock.at(self.clock.now + UP_MS, self.believe)

    def believe(self) -> None:
        """Look which routers say that they serve."""
        self.believed = [n.number for n in self.sim.nodes.all if n.decider is not None and not n.draining]

    def _try(self, record: Record, number: int) -> None:
        s, now = self.sim.scenario, self.clock.now
        one = record.asked
        call = Call(
            record, number, now, self.shapes[one.cls].deadline_ms * draw(s.clients.patience, self.rng)
        )
        record.tries += 1
        near = s.near(self.believed, one.session)
        delay = self.sim.delay(s.net.client_ms)
        self.clock.at(now + call.patience, self._patience, call)
        if near:
            node = self.sim.nodes.all[near[int(self.rng.random() * len(near))]]
            self.clock.at(now + delay, self.sim.nodes.arrived, call, node, delay)
        else:
            self.clock.at(now + delay, self.answered, call, "failed", 0.0)

    def _patience(self, call: Call) -> None:
        if not call.over and not call.started:
            self.clock.at(
                self.clock.now + self.sim.delay(self.sim.scenario.net.client_ms), self.sim.nodes.left, call
            )
            self.answered(call, "left", 0.0)

    def tell(self, call: Call, how: str, retry_after_ms: float) -> None:
        """A final answer leaves its router."""
        delay = self.sim.delay(self.sim.scenario.net.client_ms)
        self.clock.at(self.clock.now + delay, self.answered, call, how, retry_after_ms)

    def answered(self, call: Call, how: str, retry_after_ms: float) -> None:
        """A try ended without an answer: again, or never."""
        if call.over or call.started:
            return
        call.over = True
        c, now, record = self.sim.scenario.clients, self.clock.now, call.record
        pause = c.pause_ms(call.number, retry_after_ms, self.rng)
        shape = self.shapes[record.asked.cls]
        if call.number < c.retries and now + pause < record.asked.at_ms + shape.deadline_ms:
            self.clock.at(now + pause, self._try, record, call.number + 1)
        else:
            self._settle(record, how)

    def first_token(self, call: Call) -> None:
        """The first token leaves its router."""
        call.started = True
        delay = self.sim.delay(self.sim.scenario.net.client_ms)
        call.record.first_ms = self.clock.now + delay - call.record.asked.at_ms

    def ended(self, call: Call, whole: bool, read: int) -> None:
        """A stream came to its end, or broke."""
        if call.over:
            return
        call.over = True
        record = call.record
        if whole:
            delay = self.sim.delay(self.sim.scenario.net.client_ms)
            record.end_ms = max(record.first_ms, self.clock.now + delay - record.asked.at_ms)
            record.made = record.asked.answer + read
        self._settle(record, "served" if whole else "lost")

    def cut_off(self, call: Call) -> None:
        """Its router died."""
        if call.started:
            self.ended(call, False, 0)
        else:
            self.answered(call, "failed", 0.0)

    def _settle(self, record: Record, how: str) -> None:
        record.outcome = how
        self.pending -= 1


def simulate(scenario: Scenario, policy: str, seed: int, replay: int = 0) -> dict[str, Any]:
    """Play a scenario once; a replay asks the same of the same fleet, and all else falls out anew."""
    return Simulation(scenario, policy, seed, replay).play()
