"""Simulates the engines, the network between them and the routers, and the faults of both.

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
from spoolbarrow.lab.fleet import EngineSpec, PlannedTrouble, engine_actions, fleet
from spoolbarrow.lab.run_report import Record, work_report
from spoolbarrow.lab.simulation_state import Attempt, EngineProcess, RouterProcess, SimulationContext

STREAM_IDLE_TIMEOUT_MS = 20_000.0  # routers abandon a stream that is idle for this long
SAMPLE_INTERVAL_MS = 1000.0


class Engines:
    """The engines and the network to them."""

    def __init__(self, sim: SimulationContext) -> None:
        self.sim, self.clock = sim, sim.clock
        self.rng = sim.stream("engines")
        specs = fleet(sim.scenario, sim.stream("fleet"))
        self.initial = [EngineProcess(spec, spec.id, self._engine(spec, 0.0, False)) for spec in specs]
        self.by_id = {machine.id: machine for machine in self.initial}
        self.falls = 0
        self.ended_engines: list[Engine] = []  # processes that have ended: their work counts too
        self.spread: list[float] = []
        self.moves: dict[str, Callable[..., None]] = {
            "stall": self._stall,
            "slowed": self._slowed,
            "crash": self.crash,
            "drain": self._drain,
            "replace": self._replace,
            "vanish": self._vanish,
            "cut": self._partition,
            "put": setattr,
        }

    def _engine(self, spec: EngineSpec, now: float, cold: bool) -> Engine:
        return Engine(spec.figures, Random(self.rng.random()), now, cold)

    # --- attempts and probes on the network

    def _one_way_delay(self, router: RouterProcess, machine: EngineProcess) -> float:
        """The one-way delay from a router to an engine."""
        net = self.sim.scenario.net
        return self.sim.delay(net.same_ms if router.zone == machine.spec.zone else net.cross_ms)

    def _blocked_until(self, router: RouterProcess, machine: EngineProcess) -> float:
        """The time until which nothing passes between the two."""
        return max(machine.silent, machine.cut.get(router.number, -inf))

    def _to_router(self, attempt: Attempt, call: Callable[..., None], *args: Any) -> None:
        """Deliver an engine's message to the router; during a partition, at its end (retransmission)."""
        machine = attempt.machine
        assert machine is not None
        begin = max(self.clock.now, self._blocked_until(attempt.node, machine))
        self.clock.at(begin + attempt.delay, call, attempt, *args)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt from its router."""
        machine, router, now, routers = attempt.machine, attempt.node, self.clock.now, self.sim.routers
        timeout = self.sim.scenario.limits.connect_timeout_ms
        if machine is None:
            return self.clock.at(now + 1.0, routers.ended, attempt, i.Outcome.UNREACHABLE)
        attempt.delay = delay = self._one_way_delay(router, machine)
        held = self._blocked_until(router, machine) > now
        if not machine.alive and not held:
            return self.clock.at(now + 2.0 * delay, routers.ended, attempt, i.Outcome.UNREACHABLE)
        idle = router.idle.get(machine, [])
        while idle and now - idle[-1] >= machine.spec.figures.idle_ms:
            machine.connections -= len(idle)
            idle.clear()
        if idle:
            idle.pop()
        elif held:
            return self.clock.at(now + timeout, routers.ended, attempt, i.Outcome.UNREACHABLE)
        elif machine.connections >= machine.cap and not self._close_idle(machine):
            return self.clock.at(now + 2.0 * delay, routers.ended, attempt, i.Outcome.UNREACHABLE)
        else:
            machine.connections += 1
            machine.engine.add_overhead(now, machine.spec.figures.handshake_work_ms)
            now += machine.spec.figures.handshake_rtts * 2.0 * delay
        attempt.engine = machine.engine
        self.clock.at(max(now, self._blocked_until(router, machine)) + delay, self._deliver, attempt)

    def _close_idle(self, machine: EngineProcess) -> bool:
        """Close connections that have been idle for too long; whether one more connection fits then."""
        for router in self.sim.routers.all:
            idle = router.idle.get(machine, [])
            young = [at for at in idle if self.clock.now - at < machine.spec.figures.idle_ms]
            machine.connections -= len(idle) - len(young)
            idle[:] = young
        return machine.connections < machine.cap

    def _deliver(self, attempt: Attempt) -> None:
        machine, now, routers = attempt.machine, self.clock.now, self.sim.routers
        if machine is None or attempt.over:
            return
        if not machine.alive or machine.engine is not attempt.engine:
            return self._to_router(attempt, routers.ended, i.Outcome.RESET)
        if machine.state is not i.ReplicaState.SERVING:
            return self._to_router(attempt, routers.ended, i.Outcome.FULL)
        one = attempt.open.call.record.planned
        result = machine.engine.submit(now, work(attempt.name, one))
        if result is SubmitResult.ACCEPTED:
            machine.flights[attempt.name] = attempt
            self._schedule_wake(machine)
        elif result is SubmitResult.CRASHED:
            machine.flights[attempt.name] = attempt
            self.falls += 1
            self.sim.record_violation("4: a cold engine fell over")
            self.crash(machine, machine.spec.figures.restart_ms)
        else:
            self._to_router(
                attempt, routers.ended, i.Outcome.FULL if result is SubmitResult.FULL else i.Outcome.ERROR
            )

    def _schedule_wake(self, machine: EngineProcess) -> None:
        at = machine.engine.next_event_at()
        if at < machine.armed:
            machine.armed = at
            self.clock.at(at, self._wake, machine)

    def _wake(self, machine: EngineProcess) -> None:
        if self.clock.now < machine.armed:
            return
        machine.armed = inf
        if not machine.alive:
            return
        for event in machine.engine.advance(self.clock.now):
            attempt = machine.flights.get(event.id)
            if attempt is None:
                continue
            if event.kind is EventKind.STARTED:
                self._started(machine, attempt, event.kept)
            else:
                del machine.flights[event.id]
                read = attempt.first_at + attempt.trickle * attempt.open.call.record.planned.answer
                read = min(read, machine.trickle_end)
                if attempt.spoil:
                    self._to_router(attempt, self.sim.routers.ended, i.Outcome.UNREADABLE)
                elif read > self.clock.now:
                    ended = (attempt, self.sim.routers.ended, i.Outcome.SERVED, event.kept)
                    self.clock.at(read, self._to_router, *ended)
                else:
                    self._to_router(attempt, self.sim.routers.ended, i.Outcome.SERVED, event.kept)
        self._schedule_wake(machine)

    def _started(self, machine: EngineProcess, attempt: Attempt, kept: int) -> None:
        routers = self.sim.routers
        if machine.resets and self.rng.random() < machine.resets:
            self.drop(attempt)
            return self._to_router(attempt, routers.ended, i.Outcome.RESET)
        if machine.spoilt and self.rng.random() < machine.spoilt:
            if self.rng.random() < 0.5:
                self.drop(attempt)
                return self._to_router(attempt, routers.ended, i.Outcome.UNREADABLE)
            attempt.spoil = True  # only a later event of the stream is malformed
        attempt.first_at, attempt.trickle = self.clock.now, machine.trickle
        self._to_router(attempt, routers.started)

    def drop(self, attempt: Attempt) -> None:
        """Close the attempt's connection, by the router or by a fault."""
        machine = attempt.machine
        if machine is not None and machine.flights.pop(attempt.name, None) is not None:
            machine.engine.cancel(self.clock.now, attempt.name)
            self._schedule_wake(machine)

    def probe(self, router: RouterProcess, name: str) -> None:
        """Send a probe from its router."""
        machine, now = self.by_id.get(name), self.clock.now
        limit = self.sim.scenario.limits.probe_timeout_ms
        callback = self.sim.routers.probe_answered
        if machine is None:
            return self.clock.at(now + 1.0, callback, router, router.life, name, i.Outcome.UNREACHABLE, 1.0)
        delay = self._one_way_delay(router, machine)
        if self._blocked_until(router, machine) > now:
            return self.clock.at(now + limit, callback, router, router.life, name, i.Outcome.TIMEOUT, limit)
        if not machine.alive:
            lag = 2.0 * delay
            return self.clock.at(now + lag, callback, router, router.life, name, i.Outcome.UNREACHABLE, lag)
        engine = machine.engine
        engine.add_overhead(now, machine.spec.figures.probe_work_ms)
        wait = engine.probe_wait(now)
        lag = 2.0 * delay + wait
        if lag > limit:
            return self.clock.at(now + limit, callback, router, router.life, name, i.Outcome.TIMEOUT, limit)
        self.clock.at(now + delay + wait, self._probed, router, router.life, machine, lag, delay)

    def _probed(
        self, router: RouterProcess, life: int, machine: EngineProcess, lag: float, delay: float
    ) -> None:
        now, callback = self.clock.now, self.sim.routers.probe_answered
        if not machine.alive:
            return self.clock.at(now + delay, callback, router, life, machine.id, i.Outcome.RESET, lag)
        load = machine.engine.report(now)
        report = i.Report(load.memory_share, load.unread_tokens, -1.0, load.busy_share)
        self.clock.at(now + delay, callback, router, life, machine.id, i.Outcome.SERVED, lag, report)

    # --- faults

    def schedule_trouble(
        self, machine: EngineProcess, planned: PlannedTrouble, begin: float, end: float
    ) -> None:
        """Schedule the effects of a fault on one engine."""
        # When a trickle ends, the rest of a stream arrives at once.
        machine.trickle_end = end if planned.trouble.name == "trickle" else machine.trickle_end
        for at, move, args in engine_actions(planned, machine.spec.figures, self.rng, begin):
            self.clock.at(at, self.moves[move], machine, *args)

    def _stall(self, machine: EngineProcess, until: float) -> None:
        machine.engine.stall(self.clock.now, until)
        self._reschedule_wake(machine)

    def _slowed(self, machine: EngineProcess, factor: float) -> None:
        machine.engine.slowed(self.clock.now, factor)
        self._reschedule_wake(machine)

    def _reschedule_wake(self, machine: EngineProcess) -> None:
        machine.armed = inf
        self._schedule_wake(machine)

    def _partition(self, machine: EngineProcess, routers: tuple[int, ...], until: float) -> None:
        for number in routers:
            machine.cut[number] = until

    def _change(self, machine: EngineProcess, silent: bool = False) -> None:
        at = self.sim.directory.record_change(self.clock.now, machine.entry(), silent)
        self.clock.at(at, self._publish_changes)

    def _publish_changes(self) -> None:
        for change in self.sim.directory.deliver_due(self.clock.now):
            self.clock.at(change.at, self.sim.routers.list_received, change)

    def _drain(self, machine: EngineProcess) -> None:
        machine.state = i.ReplicaState.DRAINING
        self._change(machine)

    def _end_process(self, machine: EngineProcess) -> None:
        """End the process; its connections are reset."""
        machine.alive = False
        self.ended_engines.append(machine.engine)
        for attempt in list(machine.flights.values()):
            self._to_router(attempt, self.sim.routers.ended, i.Outcome.RESET)
        machine.flights.clear()
        machine.connections = 0
        for router in self.sim.routers.all:
            router.idle.pop(machine, None)

    def crash(self, machine: EngineProcess, down_ms: float) -> None:
        """Crash the process; it restarts later, in slow start."""
        if machine.alive:
            self._end_process(machine)
            self.clock.at(self.clock.now + down_ms, self._restart, machine)

    def _restart(self, machine: EngineProcess) -> None:
        now = self.clock.now
        if machine.alive:
            return
        machine.engine = self._engine(machine.spec, now, True)
        machine.alive, machine.started_at, machine.state = True, now, i.ReplicaState.SERVING
        machine.armed = inf
        self._change(machine)

    def _replace(self, machine: EngineProcess, until: float) -> None:
        """Remove the engine for good; another one with a new id replaces it."""
        if machine.alive:
            self._end_process(machine)
        machine.state = i.ReplicaState.GONE
        self._change(machine)
        self.by_id.pop(machine.id, None)
        new = EngineProcess(machine.spec, f"{machine.id}r", self._engine(machine.spec, until, True))
        new.alive = False
        self.by_id[new.id] = new
        self.clock.at(until, self._restart, new)

    def _vanish(self, machine: EngineProcess, until: float) -> None:
        machine.silent = until
        flights = list(machine.flights.values())
        for attempt in flights:
            self.clock.at(
                self.clock.now + STREAM_IDLE_TIMEOUT_MS, self.sim.routers.ended, attempt, i.Outcome.TIMEOUT
            )
        machine.state = i.ReplicaState.GONE
        self._change(machine, silent=True)
        if machine.alive:
            self._end_process(machine)
        self.clock.at(until, self._restart, machine)

    # --- results

    def sample(self) -> None:
        """Record how uneven the load is now: its standard deviation over engines, divided by the mean."""
        counts = [len(m.engine.jobs) for m in self.by_id.values() if m.alive]
        mean = sum(counts) / max(1, len(counts))
        if mean > 0.0:
            self.spread.append(sqrt(sum((c - mean) ** 2 for c in counts) / len(counts)) / mean)
        if self.clock.now < self.sim.scenario.total_s() * 1000.0:
            self.clock.at(self.clock.now + SAMPLE_INTERVAL_MS, self.sample)

    def figures(self, records: list[Record]) -> dict[str, Any]:
        """The figures of all engines' work."""
        engines = [
            *self.ended_engines,
            *(m.engine for m in self.by_id.values() if m.engine not in self.ended_engines),
        ]
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
        """The time to the first token from an engine's true state, for the oracle."""
        machine = self.by_id.get(replica)
        if machine is None or not machine.alive or machine.silent > now:
            return inf
        if machine.state is not i.ReplicaState.SERVING:
            return inf
        engine, f = machine.engine, machine.spec.figures
        engine.load(now)
        one = work("", self.sim.clients.planned_request(request.request))
        unread = engine.unread + one.prompt - engine.cached_tokens(one)
        wait = max(0.0, engine.not_before - now)
        wait += engine.slow * (unread / f.read_rate() + f.step_ms) / engine.warmup.speed(now)
        running = len(engine.running)
        behind = max(0, running + len(engine.waiting) + 1 - f.slots)
        short = one.prompt / f.block_tokens > engine.memory.room()
        pace = f.step_ms + f.per_running_ms * running
        return wait + pace * (running * 0.2 + 10.0 * behind + 50.0 * short)


def work(name: str, one: PlannedRequest) -> EngineRequest:
    """A request as an engine sees it."""
    return EngineRequest(name, one.prompt, one.answer, one.prefix or None, one.shared, one.session)
