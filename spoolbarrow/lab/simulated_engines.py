"""The engines of a simulation, the network between them and the routers, and the troubles that hit both.

Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf, sqrt
from random import Random
from typing import Any

from spoolbarrow import interface as i
from spoolbarrow.lab.arrivals import PlannedRequest
from spoolbarrow.lab.engine import Engine, EngineRequest, EventKind, SubmitResult
from spoolbarrow.lab.fleet import PlannedTrouble, EngineSpec, fleet, engine_actions
from spoolbarrow.lab.run_report import Record, work_report
from spoolbarrow.lab.simulation_state import Flight, Machine, Node, SimulationContext

STALL_MS = 20_000.0  # a stream silent for so long is given up by its router
SAMPLE_MS = 1000.0


class Machines:
    """Engines, and the way to them."""

    def __init__(self, sim: SimulationContext) -> None:
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

    def _engine(self, spec: EngineSpec, now: float, cold: bool) -> Engine:
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
        machine, node, now, nodes = flight.machine, flight.node, self.clock.now, self.sim.routers
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
            machine.engine.add_overhead(now, machine.spec.figures.handshake_work_ms)
            now += machine.spec.figures.handshake_rtts * 2.0 * delay
        flight.engine = machine.engine
        self.clock.at(max(now, self._held_until(node, machine)) + delay, self._deliver, flight)

    def _purge(self, machine: Machine) -> bool:
        """Close what has been idle for too long; whether that made room."""
        for node in self.sim.routers.all:
            idle = node.idle.get(machine, [])
            young = [at for at in idle if self.clock.now - at < machine.spec.figures.idle_ms]
            machine.connections -= len(idle) - len(young)
            idle[:] = young
        return machine.connections < machine.cap

    def _deliver(self, flight: Flight) -> None:
        machine, now, nodes = flight.machine, self.clock.now, self.sim.routers
        if machine is None or flight.over:
            return
        if not machine.alive or machine.engine is not flight.engine:
            return self._after(flight, nodes.ended, i.Outcome.RESET)
        if machine.state is not i.ReplicaState.SERVING:
            return self._after(flight, nodes.ended, i.Outcome.FULL)
        one = flight.open.call.record.planned
        taken = machine.engine.submit(now, work(flight.name, one))
        if taken is SubmitResult.ACCEPTED:
            machine.flights[flight.name] = flight
            self._arm(machine)
        elif taken is SubmitResult.CRASHED:
            machine.flights[flight.name] = flight
            self.falls += 1
            self.sim.breaks("4: a cold engine fell over")
            self.crash(machine, machine.spec.figures.restart_ms)
        else:
            self._after(
                flight, nodes.ended, i.Outcome.FULL if taken is SubmitResult.FULL else i.Outcome.ERROR
            )

    def _arm(self, machine: Machine) -> None:
        at = machine.engine.next_event_at()
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
            if news.kind is EventKind.STARTED:
                self._started(machine, flight, news.kept)
            else:
                del machine.flights[news.id]
                read = flight.first_at + flight.trickle * flight.open.call.record.planned.answer
                read = min(read, machine.trickle_end)
                if flight.spoil:
                    self._after(flight, self.sim.routers.ended, i.Outcome.UNREADABLE)
                elif read > self.clock.now:
                    ended = (flight, self.sim.routers.ended, i.Outcome.SERVED, news.kept)
                    self.clock.at(read, self._after, *ended)
                else:
                    self._after(flight, self.sim.routers.ended, i.Outcome.SERVED, news.kept)
        self._arm(machine)

    def _started(self, machine: Machine, flight: Flight, kept: int) -> None:
        nodes = self.sim.routers
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
        said = self.sim.routers.probed
        if machine is None:
            return self.clock.at(now + 1.0, said, node, node.life, name, i.Outcome.UNREACHABLE, 1.0)
        delay = self._reach(node, machine)
        if self._held_until(node, machine) > now:
            return self.clock.at(now + limit, said, node, node.life, name, i.Outcome.TIMEOUT, limit)
        if not machine.alive:
            lag = 2.0 * delay
            return self.clock.at(now + lag, said, node, node.life, name, i.Outcome.UNREACHABLE, lag)
        engine = machine.engine
        engine.add_overhead(now, machine.spec.figures.probe_work_ms)
        wait = engine.probe_wait(now)
        lag = 2.0 * delay + wait
        if lag > limit:
            return self.clock.at(now + limit, said, node, node.life, name, i.Outcome.TIMEOUT, limit)
        self.clock.at(now + delay + wait, self._probed, node, node.life, machine, lag, delay)

    def _probed(self, node: Node, life: int, machine: Machine, lag: float, delay: float) -> None:
        now, said = self.clock.now, self.sim.routers.probed
        if not machine.alive:
            return self.clock.at(now + delay, said, node, life, machine.id, i.Outcome.RESET, lag)
        load = machine.engine.report(now)
        report = i.Report(load.memory_share, load.unread_tokens, -1.0, load.busy_share)
        self.clock.at(now + delay, said, node, life, machine.id, i.Outcome.SERVED, lag, report)

    # --- troubles

    def trouble(self, machine: Machine, planned: PlannedTrouble, begin: float, end: float) -> None:
        """Schedule what hits one engine."""
        # What is left of a trickling stream then comes at once.
        machine.trickle_end = end if planned.trouble.name == "trickle" else machine.trickle_end
        for at, move, told in engine_actions(planned, machine.spec.figures, self.rng, begin):
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
        at = self.sim.directory.record_change(self.clock.now, machine.entry(), silent)
        self.clock.at(at, self._noticed)

    def _noticed(self) -> None:
        for told in self.sim.directory.deliver_due(self.clock.now):
            self.clock.at(told.at, self.sim.routers.told, told)

    def _drain(self, machine: Machine) -> None:
        machine.state = i.ReplicaState.DRAINING
        self._change(machine)

    def _lose(self, machine: Machine) -> None:
        """The process ends: what it had is reset."""
        machine.alive = False
        self.past.append(machine.engine)
        for flight in list(machine.flights.values()):
            self._after(flight, self.sim.routers.ended, i.Outcome.RESET)
        machine.flights.clear()
        machine.connections = 0
        for node in self.sim.routers.all:
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
            self.clock.at(self.clock.now + STALL_MS, self.sim.routers.ended, flight, i.Outcome.TIMEOUT)
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
        if self.clock.now < self.sim.scenario.total_s() * 1000.0:
            self.clock.at(self.clock.now + SAMPLE_MS, self.sample)

    def figures(self, records: list[Record]) -> dict[str, Any]:
        """Work of all engines."""
        engines = [*self.past, *(m.engine for m in self.by_id.values() if m.engine not in self.past)]
        for engine in engines:
            engine.check()
        work = sum(engine.made + engine.done_read for engine in engines)
        return work_report(self.sim.scenario, records, work) | {
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
        one = work("", self.sim.clients.asked_of(request.request))
        unread = engine.unread + one.prompt - engine.cached_tokens(one)
        wait = max(0.0, engine.not_before - now)
        wait += engine.slow * (unread / f.read_rate() + f.step_ms) / engine.warmth.speed(now)
        running = len(engine.running)
        behind = max(0, running + len(engine.waiting) + 1 - f.slots)
        short = one.prompt / f.block_tokens > engine.memory.room()
        pace = f.step_ms + f.per_running_ms * running
        return wait + pace * (running * 0.2 + 10.0 * behind + 50.0 * short)


def work(name: str, one: PlannedRequest) -> EngineRequest:
    """A request as an engine sees it."""
    return EngineRequest(name, one.prompt, one.answer, one.prefix or None, one.shared, one.session)
