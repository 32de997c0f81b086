"""The routers of a simulation: what the serving program does round the decisions, in virtual time.

Times are in milliseconds.
"""

from __future__ import annotations

from time import perf_counter_ns

from spoolbarrow import interface as i
from spoolbarrow.lab.simulated_discovery import Notification
from spoolbarrow.lab.policies import POLICIES
from spoolbarrow.lab.simulation_state import ROUTER_UP_DELAY_MS, Call, Flight, Node, Open, SimulationContext

MARGIN_MS = 5.0  # of a client's patience that its router is not told


class Nodes:
    """Routers: what the serving program does round the decisions."""

    def __init__(self, sim: SimulationContext) -> None:
        self.sim, self.clock = sim, sim.clock
        self.all = [Node(n, n % sim.scenario.zones) for n in range(sim.scenario.routers)]
        self.seeds = sim.stream("routers")

    def begin(self) -> None:
        """Start all, each with the list as it is."""
        for node in self.all:
            node.list = dict(self.sim.directory.listed)
            self._start(node)

    def _start(self, node: Node) -> None:
        settings = self.sim.scenario.settings(node.number)
        make = POLICIES[self.sim.policy]
        node.policy = make(settings, self.seeds.getrandbits(32), self.sim.engines)
        node.away.clear()
        self.feed(node, [i.ReplicaList(i.ListKind.RESTORED, tuple(node.list.values()))])

    def die(self, node: Node) -> None:
        """Its process is killed: connections break, and all it knew is gone but the last list."""
        if node.policy is None:
            return
        node.policy = None
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
            self.sim.clients.cut_off(open.call)
            del self.sim.clients.calls[open.id]
        node.opens.clear()
        self.sim.directory.remove_caller(node.number)
        self.sim.clients.died(node)

    def drain(self, node: Node, grace_ms: float) -> None:
        """It is told to end: the front turns away from it; what it has when its grace ends is cut off."""
        node.draining = True
        self.clock.at(self.clock.now + ROUTER_UP_DELAY_MS, self.sim.clients.believe)
        self.clock.at(self.clock.now + grace_ms, self._replaced, node)

    def _replaced(self, node: Node) -> None:
        self.die(node)
        self.rise(node)

    def rise(self, node: Node) -> None:
        """It starts again."""
        node.draining = False
        self._start(node)
        self.sim.clients.rose(node)

    def feed(self, node: Node, events: list[i.Event]) -> None:
        """Let it decide, and do what it says."""
        decider, now = node.policy, self.clock.now
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
                self.sim.engines.probe(node, action.replica)
            elif kind is i.Cancel:
                assert isinstance(action, i.Cancel)
                self._cancel(node, action)
            elif kind is i.Refuse or kind is i.Fail:
                assert isinstance(action, (i.Refuse, i.Fail))
                self._answer(node, action)
            else:
                told = self.sim.directory.request_list(now, node.number)
                self.clock.at(told.at, self.told, told, node.life)

    def _fire(self, node: Node, life: int, token: str) -> None:
        if node.life == life:
            self.feed(node, [i.TimerFired(token)])

    def told(self, told: Notification, life: int = -1) -> None:
        """Discovery speaks to a router."""
        node = self.all[told.caller]
        if node.policy is None or (life >= 0 and life != node.life):
            return
        kind, entries = told.kind, told.entries
        if kind is i.ListKind.WHOLE:
            if node.number not in self.sim.directory.watches:
                kind = i.ListKind.FAILED  # it went down while the call waited
            else:
                entries = self.sim.directory.full_list()
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
        if node.policy is None:
            return self.clock.at(self.clock.now + client_ms, self.sim.clients.answered, call, "failed", 0.0)
        if call.over:
            return
        one, now = call.record.planned, self.clock.now
        budget = max(1.0, call.patience - (now - call.sent_at) - client_ms - MARGIN_MS)
        node.taken += 1
        name = f"{one.session:x}.{call.record.tries}.{node.number}.{node.taken}"
        call.node = node
        open = call.open = node.opens[name] = Open(name, call, now + budget)
        self.sim.clients.calls[name] = call
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
        machine = self.sim.engines.by_id.get(action.replica)
        flight = Flight(node, open, len(open.flights), machine, now)
        open.flights.append(flight)
        open.call.record.attempts += 1
        self.sim.engines.send(flight)

    def started(self, flight: Flight) -> None:
        """An attempt's first token is here."""
        open, node = flight.open, flight.node
        if flight.over:
            return
        if open.done or open.claimed is not None:
            self._hang_up(flight)
            return self._end(flight, i.Outcome.CANCELLED, 0)
        open.claimed, flight.started = flight, True
        self.sim.clients.first_token(open.call)
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
            self.sim.clients.ended(open.call, whole, open.call.record.planned.prompt - kept)
        if open.done and all(f.over for f in open.flights):
            self._forget(node, open)
        name = machine.id if machine is not None else ""
        lag = self.clock.now - flight.sent_at
        self.feed(node, [i.AttemptEnded(open.id, flight.number, name, outcome, closed, lag, kept)])

    def _forget(self, node: Node, open: Open) -> None:
        if node.opens.pop(open.id, None) is not None:
            del self.sim.clients.calls[open.id]

    def _hang_up(self, flight: Flight) -> None:
        machine = flight.machine
        if machine is not None:
            delay = flight.delay
            self.clock.at(self.clock.now + delay, self.sim.engines.drop, flight)

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
        self.sim.clients.tell(open.call, "refused" if refused else "failed", pause)
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
