"""A scenario in virtual time: discrete events, the real decisions; the same run by seed.

Three parties, each in a class and a module of its own: `Machines` (engines, and what the network does on the
way to them: `simulated_engines.py`), `Nodes` (what the serving program does round the decisions:
`simulated_routers.py`) and `Callers` (clients and the front: `simulated_clients.py`). What they keep is in
`simulation_state.py`, the queue of events in `virtual_time.py`. Times are in milliseconds.
"""

from __future__ import annotations

import gc
from random import Random
from time import perf_counter
from typing import Any

from spoolbarrow.lab.simulated_discovery import SimulatedDiscovery
from spoolbarrow.lab.fleet import PlannedTrouble, plan, random_stream
from spoolbarrow.lab.kinds import draw
from spoolbarrow.lab.run_report import build_report
from spoolbarrow.lab.scenario import Scenario
from spoolbarrow.lab.simulated_clients import Callers
from spoolbarrow.lab.simulated_engines import SAMPLE_MS, Machines
from spoolbarrow.lab.simulated_routers import Nodes
from spoolbarrow.lab.virtual_time import Clock

AFTER_S = 60.0  # a day goes on so long at most after its last arrival
DAY = ("arrivals", "fleet", "troubles")  # the same in every replay of a seed
GC_OBJECTS = 200_000  # between looks for cycles


class Simulation:
    """One day."""

    def __init__(self, scenario: Scenario, policy: str, seed: int, replay: int = 0) -> None:
        self.scenario, self.policy, self.seed, self.replay = scenario, policy, seed, replay
        self.clock = Clock()
        self.net = self.stream("net")
        self.plans = plan(scenario, self.stream("troubles"))
        self.broken: dict[str, int] = {}
        self.engines = Machines(self)
        self.directory = SimulatedDiscovery(
            scenario.discovery, [m.entry() for m in self.engines.by_id.values()], self.stream("discovery")
        )
        self.routers = Nodes(self)
        self.clients = Callers(self)

    def stream(self, name: str) -> Random:
        """Random numbers of one concern, the same whatever the others draw."""
        again = f"{name} {self.replay}" if self.replay and name not in DAY else name
        return random_stream(self.seed, again)

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
        self.routers.begin()
        self.clients.begin()
        for planned in self.plans:
            self._schedule(planned)
        self.clock.at(SAMPLE_MS, self.engines.sample)
        # What the lab holds must not be walked through again and again in the middle of decisions.
        gc.freeze()
        usual = gc.get_threshold()
        gc.set_threshold(GC_OBJECTS)
        last = (self.scenario.total_s() + AFTER_S) * 1000.0
        self.clock.run(lambda: self.clock.now < last and self.clients.pending > 0)
        took = perf_counter() - begin
        gc.set_threshold(*usual)
        gc.unfreeze()
        taken = max(1, sum(node.taken for node in self.routers.all))
        told = build_report(self.scenario, self.clients.records, self.plans)
        told |= self.engines.figures(self.clients.records)
        told |= {
            "policy": self.policy,
            "seed": self.seed,
            "probes_a_request": round(sum(node.probes for node in self.routers.all) / taken, 4),
            "list_calls_failed": self.directory.failed,
            "rules_broken": dict(sorted(self.broken.items())),
            "run": {
                "decision_us_a_request": round(sum(n.cpu_ns for n in self.routers.all) / 1000.0 / taken, 2),
                "requests_a_second": round(len(self.clients.records) / took, 1),
                "times_real_time": round(self.clock.now / 1000.0 / took, 2),
                "took_s": round(took, 3),
                "events": self.clock.count,
            },
        }
        return told

    # --- troubles

    def _schedule(self, planned: PlannedTrouble) -> None:
        t = planned.trouble
        begin = self.scenario.lead_ms() + t.begin_s * 1000.0
        end = begin + t.length_s * 1000.0
        at, machines = self.clock.at, self.engines
        if t.name == "discovery_down":
            at(begin, self._down, end)
        elif t.name == "discovery_stale":
            at(begin, self._stale, planned.size * 1000.0)
            at(end, self._stale, 0.0)
        elif t.name == "router_death":
            for number in planned.victims:
                at(begin, self.routers.die, self.routers.all[number])
                at(end, self.routers.rise, self.routers.all[number])
        elif t.name == "router_restart":
            # One after another: the next is told to end when the one before has been up for a while.
            for turn, number in enumerate(planned.victims):
                when = begin + turn * (planned.size + t.length_s) * 1000.0
                at(when, self.routers.drain, self.routers.all[number], planned.size * 1000.0)
        elif t.name != "burst":
            for number in planned.victims:
                machines.trouble(machines.first[number], planned, begin, end)

    def _down(self, until: float) -> None:
        for told in self.directory.fail_until(self.clock.now, until):
            self.clock.at(told.at, self.routers.told, told)

    def _stale(self, behind_ms: float) -> None:
        self.directory.behind_ms = behind_ms


def simulate(scenario: Scenario, policy: str, seed: int, replay: int = 0) -> dict[str, Any]:
    """Play a scenario once; a replay asks the same of the same fleet, and all else falls out anew."""
    return Simulation(scenario, policy, seed, replay).play()
