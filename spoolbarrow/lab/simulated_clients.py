"""The clients of a simulation and the front that deals them out among routers; times in milliseconds."""

from __future__ import annotations

from spoolbarrow.lab.arrivals import PlannedRequest, draw_requests
from spoolbarrow.lab.kinds import draw
from spoolbarrow.lab.run_report import Record
from spoolbarrow.lab.simulation_state import ROUTER_UP_DELAY_MS, Call, Node, SimulationContext


class Callers:
    """Clients, and the front that deals them out among routers."""

    def __init__(self, sim: SimulationContext) -> None:
        self.sim, self.clock = sim, sim.clock
        self.rng = sim.stream("clients")
        self.shapes = list(sim.scenario.classes.values())
        troubles = [planned.trouble for planned in sim.plans]
        self.records = [Record(one) for one in draw_requests(sim.scenario, troubles, sim.stream("arrivals"))]
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
            self.clock.at(record.planned.at_ms, self._due, record)

    def _due(self, record: Record) -> None:
        self._schedule()
        self._try(record, 0)

    def asked_of(self, request: str) -> PlannedRequest:
        """What the client of a request means."""
        return self.calls[request].record.planned

    def died(self, node: Node) -> None:
        """The front will notice."""
        notice = draw(self.sim.scenario.front.notice_s, self.rng) * 1000.0
        self.clock.at(self.clock.now + notice, self.believe)

    def rose(self, node: Node) -> None:
        """The front asks for signs of life."""
        self.clock.at(self.clock.now + ROUTER_UP_DELAY_MS, self.believe)

    def believe(self) -> None:
        """Look which routers say that they serve."""
        self.believed = [n.number for n in self.sim.routers.all if n.policy is not None and not n.draining]

    def _try(self, record: Record, number: int) -> None:
        s, now = self.sim.scenario, self.clock.now
        one = record.planned
        call = Call(
            record, number, now, self.shapes[one.cls].deadline_ms * draw(s.clients.patience, self.rng)
        )
        record.tries += 1
        near = s.routers_in_zone(self.believed, one.session)
        delay = self.sim.delay(s.net.client_ms)
        self.clock.at(now + call.patience, self._patience, call)
        if near:
            node = self.sim.routers.all[near[int(self.rng.random() * len(near))]]
            self.clock.at(now + delay, self.sim.routers.arrived, call, node, delay)
        else:
            self.clock.at(now + delay, self.answered, call, "failed", 0.0)

    def _patience(self, call: Call) -> None:
        if not call.over and not call.started:
            self.clock.at(
                self.clock.now + self.sim.delay(self.sim.scenario.net.client_ms), self.sim.routers.left, call
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
        shape = self.shapes[record.planned.cls]
        if call.number < c.retries and now + pause < record.planned.at_ms + shape.deadline_ms:
            self.clock.at(now + pause, self._try, record, call.number + 1)
        else:
            self._settle(record, how)

    def first_token(self, call: Call) -> None:
        """The first token leaves its router."""
        call.started = True
        delay = self.sim.delay(self.sim.scenario.net.client_ms)
        call.record.first_ms = self.clock.now + delay - call.record.planned.at_ms

    def ended(self, call: Call, whole: bool, read: int) -> None:
        """A stream came to its end, or broke."""
        if call.over:
            return
        call.over = True
        record = call.record
        if whole:
            delay = self.sim.delay(self.sim.scenario.net.client_ms)
            record.end_ms = max(record.first_ms, self.clock.now + delay - record.planned.at_ms)
            record.made = record.planned.answer + read
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
