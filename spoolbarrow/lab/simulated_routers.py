"""Simulates the routers in virtual time: does for the decisions what the network program does.

Times are in milliseconds.
"""

from __future__ import annotations

from time import perf_counter_ns

from spoolbarrow import interface as i
from spoolbarrow.lab.policies import POLICIES
from spoolbarrow.lab.simulated_discovery import Notification
from spoolbarrow.lab.simulation_state import (
    ROUTER_UP_DELAY_MS,
    Attempt,
    ClientTry,
    PendingRequest,
    RouterProcess,
    SimulationContext,
)

DEADLINE_MARGIN_MS = 5.0  # of a client's patience, withheld from its router


class Routers:
    """The routers: do for the decisions what the network program does."""

    def __init__(self, sim: SimulationContext) -> None:
        self.sim, self.clock = sim, sim.clock
        self.all = [RouterProcess(n, n % sim.scenario.zones) for n in range(sim.scenario.routers)]
        self.seeds = sim.stream("routers")

    def begin(self) -> None:
        """Start all routers, each with the present list."""
        for router in self.all:
            router.list = dict(self.sim.directory.listed)
            self._start(router)

    def _start(self, router: RouterProcess) -> None:
        settings = self.sim.scenario.settings(router.number)
        make = POLICIES[self.sim.policy]
        router.policy = make(settings, self.seeds.getrandbits(32), self.sim.engines)
        router.away.clear()
        self.process_events(router, [i.ReplicaList(i.ListKind.RESTORED, tuple(router.list.values()))])

    def kill(self, router: RouterProcess) -> None:
        """Kill a router's process: its connections break, and its state is lost except for the last list."""
        if router.policy is None:
            return
        router.policy = None
        router.life += 1
        for machine, idle in router.idle.items():
            machine.connections -= len(idle)
        router.idle.clear()
        for pending in router.opens.values():
            for attempt in pending.flights:
                if not attempt.over:
                    attempt.over = True
                    self._hang_up(attempt)
                    if attempt.machine is not None and attempt.connected():
                        attempt.machine.connections -= 1
            self.sim.clients.connection_lost(pending.call)
            del self.sim.clients.calls[pending.id]
        router.opens.clear()
        self.sim.directory.remove_caller(router.number)
        self.sim.clients.router_died(router)

    def drain(self, router: RouterProcess, grace_ms: float) -> None:
        """Drain a router: the load balancer stops using it; requests left after the grace are cut off."""
        router.draining = True
        self.clock.at(self.clock.now + ROUTER_UP_DELAY_MS, self.sim.clients.update_live_routers)
        self.clock.at(self.clock.now + grace_ms, self._replaced, router)

    def _replaced(self, router: RouterProcess) -> None:
        self.kill(router)
        self.restart(router)

    def restart(self, router: RouterProcess) -> None:
        """Start a router again."""
        router.draining = False
        self._start(router)
        self.sim.clients.router_started(router)

    def process_events(self, router: RouterProcess, events: list[i.Event]) -> None:
        """Pass events to a router's policy and carry out its actions."""
        decider, now = router.policy, self.clock.now
        if decider is None:
            return
        begin = perf_counter_ns()
        actions = decider.handle(now, events)
        router.cpu_ns += perf_counter_ns() - begin
        for action in actions:
            kind = type(action)
            if kind is i.SetTimer:
                assert isinstance(action, i.SetTimer)
                self.clock.at(now + action.in_ms, self._fire, router, router.life, action.token)
            elif kind is i.Send:
                assert isinstance(action, i.Send)
                self._send(router, action)
            elif kind is i.Probe:
                assert isinstance(action, i.Probe)
                router.probes += 1
                self.sim.engines.probe(router, action.replica)
            elif kind is i.Cancel:
                assert isinstance(action, i.Cancel)
                self._cancel(router, action)
            elif kind is i.Refuse or kind is i.Fail:
                assert isinstance(action, (i.Refuse, i.Fail))
                self._answer(router, action)
            else:
                change = self.sim.directory.request_list(now, router.number)
                self.clock.at(change.at, self.list_received, change, router.life)

    def _fire(self, router: RouterProcess, life: int, token: str) -> None:
        if router.life == life:
            self.process_events(router, [i.TimerFired(token)])

    def list_received(self, change: Notification, life: int = -1) -> None:
        """Deliver a list or an update from discovery to a router."""
        router = self.all[change.caller]
        if router.policy is None or (life >= 0 and life != router.life):
            return
        kind, entries = change.kind, change.entries
        if kind is i.ListKind.WHOLE:
            if router.number not in self.sim.directory.watches:
                kind = i.ListKind.FAILED  # discovery went down while the call waited
            else:
                entries = self.sim.directory.full_list()
                for gone in set(router.list) - {e.replica for e in entries}:
                    del router.list[gone]
                    router.away.setdefault(gone, self.clock.now)
        for entry in entries:
            if entry.state is i.ReplicaState.SERVING:
                router.away.pop(entry.replica, None)
            else:
                router.away.setdefault(entry.replica, self.clock.now)
            if entry.state is i.ReplicaState.GONE:
                router.list.pop(entry.replica, None)
            else:
                router.list[entry.replica] = entry
        self.process_events(router, [i.ReplicaList(kind, entries)])

    def request_arrived(self, call: ClientTry, router: RouterProcess, client_ms: float) -> None:
        """Receive a complete request."""
        if router.policy is None:
            return self.clock.at(
                self.clock.now + client_ms, self.sim.clients.response_received, call, "failed", 0.0
            )
        if call.over:
            return
        one, now = call.record.planned, self.clock.now
        budget = max(1.0, call.patience - (now - call.sent_at) - client_ms - DEADLINE_MARGIN_MS)
        router.taken += 1
        name = f"{one.session:x}.{call.record.tries}.{router.number}.{router.taken}"
        call.node = router
        pending = call.open = router.opens[name] = PendingRequest(name, call, now + budget)
        self.sim.clients.calls[name] = call
        self.clock.at(pending.deadline, self._deadline, router, router.life, pending)
        most = list(self.sim.scenario.classes.values())[one.cls].max_answer or one.answer
        event = i.RequestArrived(
            name, one.cls, budget, one.tenant, one.prompt, one.shared, most, one.session, one.prefix
        )
        self.process_events(router, [event])

    def _send(self, router: RouterProcess, action: i.Send) -> None:
        pending, now = router.opens.get(action.request), self.clock.now
        if pending is None or pending.done or pending.claimed is not None:
            return self.sim.record_violation("1: sent after the answer")
        since = router.away.get(action.replica)
        if since is not None and now - since > self.sim.scenario.limits.drain_grace_ms:
            self.sim.record_violation("3: sent to what drains or is gone")
        machine = self.sim.engines.by_id.get(action.replica)
        attempt = Attempt(router, pending, len(pending.flights), machine, now)
        pending.flights.append(attempt)
        pending.call.record.attempts += 1
        self.sim.engines.send(attempt)

    def started(self, attempt: Attempt) -> None:
        """Receive an attempt's first token."""
        pending, router = attempt.open, attempt.node
        if attempt.over:
            return
        if pending.done or pending.claimed is not None:
            self._hang_up(attempt)
            return self._end(attempt, i.Outcome.CANCELLED, 0)
        pending.claimed, attempt.started = attempt, True
        self.sim.clients.first_token(pending.call)
        lag = self.clock.now - attempt.sent_at
        assert attempt.machine is not None
        self.process_events(router, [i.StreamStarted(pending.id, attempt.number, attempt.machine.id, lag)])

    def ended(self, attempt: Attempt, outcome: i.Outcome, kept: int = 0) -> None:
        """Receive an attempt's outcome."""
        if attempt.over:
            return
        if outcome is i.Outcome.TIMEOUT:
            self._hang_up(attempt)
        self._end(attempt, outcome, kept)

    def _end(self, attempt: Attempt, outcome: i.Outcome, kept: int) -> None:
        pending, router, machine = attempt.open, attempt.node, attempt.machine
        attempt.over = True
        if machine is not None and attempt.connected():
            idle = router.idle.setdefault(machine, [])
            usable = outcome in (i.Outcome.SERVED, i.Outcome.FULL, i.Outcome.ERROR)
            if usable and len(idle) < self.sim.scenario.limits.idle_connections:
                idle.append(self.clock.now)
            else:
                machine.connections -= 1
        closed = pending.done
        if attempt.started:
            closed = pending.done = True
            whole = outcome is i.Outcome.SERVED
            self.sim.clients.ended(pending.call, whole, pending.call.record.planned.prompt - kept)
        if pending.done and all(f.over for f in pending.flights):
            self._forget(router, pending)
        name = machine.id if machine is not None else ""
        lag = self.clock.now - attempt.sent_at
        self.process_events(
            router, [i.AttemptEnded(pending.id, attempt.number, name, outcome, closed, lag, kept)]
        )

    def _forget(self, router: RouterProcess, pending: PendingRequest) -> None:
        if router.opens.pop(pending.id, None) is not None:
            del self.sim.clients.calls[pending.id]

    def _hang_up(self, attempt: Attempt) -> None:
        machine = attempt.machine
        if machine is not None:
            delay = attempt.delay
            self.clock.at(self.clock.now + delay, self.sim.engines.drop, attempt)

    def _cancel(self, router: RouterProcess, action: i.Cancel) -> None:
        pending = router.opens.get(action.request)
        attempt = pending.flights[action.attempt] if pending is not None else None
        if attempt is not None and not attempt.over and not attempt.started:
            self._hang_up(attempt)
            self.clock.at(self.clock.now, self.ended, attempt, i.Outcome.CANCELLED)

    def _answer(self, router: RouterProcess, action: i.Refuse | i.Fail) -> None:
        pending = router.opens.get(action.request)
        if pending is None or pending.done:
            return self.sim.record_violation("1: answered twice")
        pending.done = True
        refused = isinstance(action, i.Refuse)
        pause = action.retry_after_ms if isinstance(action, i.Refuse) else 0.0
        self.sim.clients.send_response(pending.call, "refused" if refused else "failed", pause)
        if all(f.over for f in pending.flights):
            self._forget(router, pending)

    def _deadline(self, router: RouterProcess, life: int, pending: PendingRequest) -> None:
        if router.life != life or router.opens.get(pending.id) is not pending or pending.claimed is not None:
            return
        for attempt in pending.flights:
            self.ended(attempt, i.Outcome.TIMEOUT)
        if not pending.done:
            self.sim.record_violation("1: no answer by the deadline")
            self.client_disconnected(pending.call)

    def client_disconnected(self, call: ClientTry) -> None:
        """A client closed its connection."""
        router, pending = call.node, call.open
        if router is None or pending is None or pending.done or router.opens.get(pending.id) is not pending:
            return
        pending.done = True
        for attempt in pending.flights:
            if not attempt.over and attempt.started:
                self._hang_up(attempt)
                self.clock.at(self.clock.now, self.ended, attempt, i.Outcome.CANCELLED)
        self.process_events(router, [i.RequestGone(pending.id)])
        if all(f.over for f in pending.flights):
            self._forget(router, pending)

    def probe_answered(
        self,
        router: RouterProcess,
        life: int,
        name: str,
        outcome: i.Outcome,
        lag: float,
        report: i.Report | None = None,
    ) -> None:
        """Receive a probe's response."""
        if router.life == life:
            self.process_events(router, [i.ProbeAnswered(name, outcome, lag, report)])
