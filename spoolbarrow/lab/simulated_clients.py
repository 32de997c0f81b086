"""Simulates the clients and the load balancer that distributes them among routers; times in milliseconds."""

from __future__ import annotations

from spoolbarrow.lab.arrivals import PlannedRequest, draw_requests
from spoolbarrow.lab.kinds import draw
from spoolbarrow.lab.run_report import Record
from spoolbarrow.lab.simulation_state import ROUTER_UP_DELAY_MS, ClientTry, RouterProcess, SimulationContext


class Clients:
    """The clients, and the load balancer that distributes them among routers."""

    def __init__(self, sim: SimulationContext) -> None:
        self.sim, self.clock = sim, sim.clock
        self.rng = sim.stream("clients")
        self.shapes = list(sim.scenario.classes.values())
        troubles = [planned.trouble for planned in sim.plans]
        self.records = [Record(one) for one in draw_requests(sim.scenario, troubles, sim.stream("arrivals"))]
        self.pending = len(self.records)
        self.live_routers = list(range(sim.scenario.routers))
        self.calls: dict[str, ClientTry] = {}
        self.next = 0

    def begin(self) -> None:
        """Schedule the first request."""
        self._schedule()

    def _schedule(self) -> None:
        if self.next < len(self.records):
            record = self.records[self.next]
            self.next += 1
            self.clock.at(record.planned.at_ms, self._due, record)

    def _due(self, record: Record) -> None:
        self._schedule()
        self._try(record, 0)

    def planned_request(self, request: str) -> PlannedRequest:
        """The planned request behind a request of a router."""
        return self.calls[request].record.planned

    def router_died(self, router: RouterProcess) -> None:
        """Let the load balancer notice a router's death after its delay."""
        notice = draw(self.sim.scenario.front.notice_s, self.rng) * 1000.0
        self.clock.at(self.clock.now + notice, self.update_live_routers)

    def router_started(self, router: RouterProcess) -> None:
        """Let the load balancer find a router that has started."""
        self.clock.at(self.clock.now + ROUTER_UP_DELAY_MS, self.update_live_routers)

    def update_live_routers(self) -> None:
        """Refresh the routers that the load balancer sends to: those that run and don't drain."""
        self.live_routers = [
            n.number for n in self.sim.routers.all if n.policy is not None and not n.draining
        ]

    def _try(self, record: Record, number: int) -> None:
        s, now = self.sim.scenario, self.clock.now
        one = record.planned
        call = ClientTry(
            record, number, now, self.shapes[one.cls].deadline_ms * draw(s.clients.patience, self.rng)
        )
        record.tries += 1
        near = s.routers_in_zone(self.live_routers, one.session)
        delay = self.sim.delay(s.net.client_ms)
        self.clock.at(now + call.patience, self._patience, call)
        if near:
            router = self.sim.routers.all[near[int(self.rng.random() * len(near))]]
            self.clock.at(now + delay, self.sim.routers.request_arrived, call, router, delay)
        else:
            self.clock.at(now + delay, self.response_received, call, "failed", 0.0)

    def _patience(self, call: ClientTry) -> None:
        if not call.over and not call.started:
            self.clock.at(
                self.clock.now + self.sim.delay(self.sim.scenario.net.client_ms),
                self.sim.routers.client_disconnected,
                call,
            )
            self.response_received(call, "left", 0.0)

    def send_response(self, call: ClientTry, how: str, retry_after_ms: float) -> None:
        """A router sends a final response without a stream."""
        delay = self.sim.delay(self.sim.scenario.net.client_ms)
        self.clock.at(self.clock.now + delay, self.response_received, call, how, retry_after_ms)

    def response_received(self, call: ClientTry, how: str, retry_after_ms: float) -> None:
        """A try ended without a stream: retry, or give up."""
        if call.over or call.started:
            return
        call.over = True
        c, now, record = self.sim.scenario.clients, self.clock.now, call.record
        pause = c.pause_ms(call.number, retry_after_ms, self.rng)
        shape = self.shapes[record.planned.cls]
        if call.number < c.retries and now + pause < record.planned.at_ms + shape.deadline_ms:
            self.clock.at(now + pause, self._try, record, call.number + 1)
        else:
            self._settle(record, how)

    def first_token(self, call: ClientTry) -> None:
        """A router sends the first token."""
        call.started = True
        delay = self.sim.delay(self.sim.scenario.net.client_ms)
        call.record.first_ms = self.clock.now + delay - call.record.planned.at_ms

    def ended(self, call: ClientTry, whole: bool, read: int) -> None:
        """A stream ended or broke."""
        if call.over:
            return
        call.over = True
        record = call.record
        if whole:
            delay = self.sim.delay(self.sim.scenario.net.client_ms)
            record.end_ms = max(record.first_ms, self.clock.now + delay - record.planned.at_ms)
            record.made = record.planned.answer + read
        self._settle(record, "served" if whole else "lost")

    def connection_lost(self, call: ClientTry) -> None:
        """The router of a try died."""
        if call.started:
            self.ended(call, False, 0)
        else:
            self.response_received(call, "failed", 0.0)

    def _settle(self, record: Record, how: str) -> None:
        record.outcome = how
        self.pending -= 1
