"""Runs a scenario in virtual time: discrete events around the real decisions, reproducible by seed.

Three parts, each a class in a module of its own: `Engines` (engines and the network to them:
`simulated_engines.py`), `Routers` (what the network program does for the decisions: `simulated_routers.py`)
and `Clients` (clients and the load balancer: `simulated_clients.py`). Their state types are in
`simulation_state.py`, the event queue in `virtual_time.py`. Times are in milliseconds.
"""

from __future__ import annotations

import gc
from random import Random
from time import perf_counter
from typing import Any

from spoolbarrow.lab.fleet import PlannedTrouble, plan, random_stream
from spoolbarrow.lab.kinds import draw
from spoolbarrow.lab.run_report import build_report
from spoolbarrow.lab.scenario import Scenario
from spoolbarrow.lab.simulated_clients import Clients
from spoolbarrow.lab.simulated_discovery import SimulatedDiscovery
from spoolbarrow.lab.simulated_engines import SAMPLE_INTERVAL_MS, Engines
from spoolbarrow.lab.simulated_routers import Routers
from spoolbarrow.lab.virtual_time import VirtualClock

MAX_OVERTIME_S = 60.0  # longest time that a run continues after the end of its arrivals
REPLAYED_STREAMS = (
    "arrivals",
    "fleet",
    "troubles",
)  # random generators that are the same in every replay of a seed
GC_THRESHOLD_OBJECTS = 200_000  # allocations between collections of cycles


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, policy: str, seed: int, replay: int = 0) -> None:
        self.scenario, self.policy, self.seed, self.replay = scenario, policy, seed, replay
        self.clock = VirtualClock()
        self.net = self.stream("net")
        self.plans = plan(scenario, self.stream("troubles"))
        self.violations: dict[str, int] = {}
        self.engines = Engines(self)
        self.directory = SimulatedDiscovery(
            scenario.discovery, [m.entry() for m in self.engines.by_id.values()], self.stream("discovery")
        )
        self.routers = Routers(self)
        self.clients = Clients(self)

    def stream(self, name: str) -> Random:
        """A random generator for one purpose, independent of the draws of the others."""
        label = f"{name} {self.replay}" if self.replay and name not in REPLAYED_STREAMS else name
        return random_stream(self.seed, label)

    def delay(self, low_high: Any) -> float:
        """A one-way delay, with jitter."""
        mean = draw(low_high, self.net)
        return mean * max(0.1, 1.0 + self.scenario.net.jitter * self.net.gauss(0.0, 1.0))

    def record_violation(self, rule: str) -> None:
        """Count a violation of a rule."""
        self.violations[rule] = self.violations.get(rule, 0) + 1

    def play(self) -> dict[str, Any]:
        """Run the scenario; return its report. `run` holds the figures that differ between runs of a seed."""
        begin = perf_counter()
        self.routers.begin()
        self.clients.begin()
        for planned in self.plans:
            self._schedule(planned)
        self.clock.at(SAMPLE_INTERVAL_MS, self.engines.sample)
        # Keep the garbage collector from scanning the lab's own objects during decisions.
        gc.freeze()
        threshold = gc.get_threshold()
        gc.set_threshold(GC_THRESHOLD_OBJECTS)
        last = (self.scenario.total_s() + MAX_OVERTIME_S) * 1000.0
        self.clock.run(lambda: self.clock.now < last and self.clients.pending > 0)
        elapsed_s = perf_counter() - begin
        gc.set_threshold(*threshold)
        gc.unfreeze()
        request_count = max(1, sum(router.taken for router in self.routers.all))
        report = build_report(self.scenario, self.clients.records, self.plans)
        report |= self.engines.figures(self.clients.records)
        report |= {
            "policy": self.policy,
            "seed": self.seed,
            "probes_a_request": round(sum(router.probes for router in self.routers.all) / request_count, 4),
            "list_calls_failed": self.directory.failed,
            "rules_broken": dict(sorted(self.violations.items())),
            "run": {
                "decision_us_a_request": round(
                    sum(n.cpu_ns for n in self.routers.all) / 1000.0 / request_count, 2
                ),
                "requests_a_second": round(len(self.clients.records) / elapsed_s, 1),
                "times_real_time": round(self.clock.now / 1000.0 / elapsed_s, 2),
                "took_s": round(elapsed_s, 3),
                "events": self.clock.count,
            },
        }
        return report

    # --- faults

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
                at(begin, self.routers.kill, self.routers.all[number])
                at(end, self.routers.restart, self.routers.all[number])
        elif t.name == "router_restart":
            # One after another: the next one drains when the one before has been up for a while.
            for turn, number in enumerate(planned.victims):
                when = begin + turn * (planned.size + t.length_s) * 1000.0
                at(when, self.routers.drain, self.routers.all[number], planned.size * 1000.0)
        elif t.name != "burst":
            for number in planned.victims:
                machines.schedule_trouble(machines.initial[number], planned, begin, end)

    def _down(self, until: float) -> None:
        for change in self.directory.fail_until(self.clock.now, until):
            self.clock.at(change.at, self.routers.list_received, change)

    def _stale(self, behind_ms: float) -> None:
        self.directory.behind_ms = behind_ms


def simulate(scenario: Scenario, policy: str, seed: int, replay: int = 0) -> dict[str, Any]:
    """Run a scenario once; a replay has the same requests, fleet and faults, and redraws everything else."""
    return Simulation(scenario, policy, seed, replay).play()
