"""Defines the state of a simulation and the protocols through which its parts call each other.

Engines and the network to them (`simulated_engines.py`), routers (`simulated_routers.py`) and clients
(`simulated_clients.py`) share the state types and depend on each other only through the protocols. Times are
in milliseconds.
"""

from __future__ import annotations

from math import inf
from random import Random
from typing import Any, Protocol

from spoolbarrow import interface as i
from spoolbarrow.lab.arrivals import PlannedRequest
from spoolbarrow.lab.engine import Engine
from spoolbarrow.lab.fleet import EngineSpec, PlannedTrouble
from spoolbarrow.lab.policies import EngineOracle, RoutingPolicy
from spoolbarrow.lab.run_report import Record
from spoolbarrow.lab.scenario import Scenario
from spoolbarrow.lab.simulated_discovery import Notification, SimulatedDiscovery
from spoolbarrow.lab.virtual_time import VirtualClock

ROUTER_UP_DELAY_MS = 200.0  # from a router's restart until the load balancer uses it


class EngineProcess:
    """An engine process and its state in the network."""

    __slots__ = (
        "spec", "id", "engine", "state", "alive", "silent", "cut", "connections", "cap", "resets",
        "spoilt", "trickle", "trickle_end", "flights", "armed", "started_at",
    )  # fmt: skip

    def __init__(self, spec: EngineSpec, name: str, engine: Engine) -> None:
        self.spec = spec
        self.id = name
        self.engine = engine
        self.state = i.ReplicaState.SERVING
        self.alive = True  # the process runs
        self.silent = -inf  # unreachable in both directions until then
        self.cut: dict[int, float] = {}  # routers partitioned from it, each with the end
        self.connections = 0
        self.cap = spec.figures.connections
        self.resets = self.spoilt = self.trickle = self.trickle_end = 0.0
        self.flights: dict[str, Attempt] = {}
        self.armed = inf
        self.started_at = 0.0

    def entry(self) -> i.ReplicaEntry:
        """Its entry in the discovery list."""
        s = self.spec
        return i.ReplicaEntry(self.id, s.zone, s.kind, s.cell, self.state, s.weight, self.started_at)


class Attempt:
    """One attempt in progress."""

    __slots__ = (
        "node", "open", "number", "machine", "name", "sent_at", "delay", "over", "started", "spoil", "engine",
        "first_at", "trickle",
    )  # fmt: skip

    def __init__(
        self,
        router: RouterProcess,
        pending: PendingRequest,
        number: int,
        machine: EngineProcess | None,
        now: float,
    ) -> None:
        self.node, self.open, self.number, self.machine = router, pending, number, machine
        self.name = f"{pending.id}#{number}"
        self.sent_at = now
        self.delay = 0.0
        self.over = self.started = self.spoil = False
        self.engine: Engine | None = None  # the process that it is connected to
        self.first_at = self.trickle = 0.0  # time of the first token, and delay of each token on the network

    def connected(self) -> bool:
        """Whether the process that it is connected to still runs."""
        machine = self.machine
        return machine is not None and machine.alive and machine.engine is self.engine


class PendingRequest:
    """A request in progress at a router."""

    __slots__ = ("id", "call", "deadline", "flights", "done", "claimed")

    def __init__(self, name: str, call: ClientTry, deadline: float) -> None:
        self.id, self.call, self.deadline = name, call, deadline
        self.flights: list[Attempt] = []
        self.done = False
        self.claimed: Attempt | None = None


class ClientTry:
    """One try of a client's request."""

    __slots__ = ("record", "number", "sent_at", "patience", "over", "started", "node", "open")

    def __init__(self, record: Record, number: int, now: float, patience: float) -> None:
        self.record, self.number, self.sent_at, self.patience = record, number, now, patience
        self.over = self.started = False
        self.node: RouterProcess | None = None
        self.open: PendingRequest | None = None  # the router's state of it


class RouterProcess:
    """One router process."""

    def __init__(self, number: int, zone: int) -> None:
        self.number, self.zone = number, zone
        self.policy: RoutingPolicy | None = None  # None while it is dead
        self.life = 0
        self.draining = False
        self.opens: dict[str, PendingRequest] = {}
        self.list: dict[str, i.ReplicaEntry] = {}
        self.away: dict[str, float] = {}  # draining or removed replicas, each with the time
        self.idle: dict[EngineProcess, list[float]] = {}
        self.cpu_ns = self.taken = self.probes = 0


class SimulatedEngines(EngineOracle, Protocol):
    """The interface of the engines and the network to them."""

    by_id: dict[str, EngineProcess]

    def send(self, attempt: Attempt) -> None:
        """Send an attempt from its router."""

    def drop(self, attempt: Attempt) -> None:
        """Close the attempt's connection, by the router or by a fault."""

    def probe(self, router: RouterProcess, name: str) -> None:
        """Send a probe from its router."""


class SimulatedRouters(Protocol):
    """The interface of the routers, for engines, the network and clients."""

    all: list[RouterProcess]

    def list_received(self, change: Notification, life: int = -1) -> None:
        """Deliver a list or an update from discovery to a router."""

    def started(self, attempt: Attempt) -> None:
        """Receive an attempt's first token."""

    def ended(self, attempt: Attempt, outcome: i.Outcome, kept: int = 0) -> None:
        """Receive an attempt's outcome."""

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

    def request_arrived(self, call: ClientTry, router: RouterProcess, client_ms: float) -> None:
        """Receive a complete request."""

    def client_disconnected(self, call: ClientTry) -> None:
        """A client closed its connection."""


class SimulatedClients(Protocol):
    """The interface of the clients and the load balancer, for routers and engines."""

    calls: dict[str, ClientTry]

    def planned_request(self, request: str) -> PlannedRequest:
        """The planned request behind a request of a router."""

    def router_died(self, router: RouterProcess) -> None:
        """Let the load balancer notice a router's death after its delay."""

    def router_started(self, router: RouterProcess) -> None:
        """Let the load balancer find a router that has started."""

    def update_live_routers(self) -> None:
        """Refresh the routers that the load balancer sends to: those that run and don't drain."""

    def send_response(self, call: ClientTry, how: str, retry_after_ms: float) -> None:
        """A router sends a final response without a stream."""

    def response_received(self, call: ClientTry, how: str, retry_after_ms: float) -> None:
        """A try ended without a stream: retry, or give up."""

    def first_token(self, call: ClientTry) -> None:
        """A router sends the first token."""

    def ended(self, call: ClientTry, whole: bool, read: int) -> None:
        """A stream ended or broke."""

    def connection_lost(self, call: ClientTry) -> None:
        """The router of a try died."""


class SimulationContext(Protocol):
    """The interface of the simulation for its parts."""

    scenario: Scenario
    policy: str
    clock: VirtualClock
    plans: list[PlannedTrouble]
    directory: SimulatedDiscovery

    @property
    def engines(self) -> SimulatedEngines:
        """The engines and the network to them."""

    @property
    def routers(self) -> SimulatedRouters:
        """The routers."""

    @property
    def clients(self) -> SimulatedClients:
        """The clients and the load balancer."""

    def stream(self, name: str) -> Random:
        """A random generator for one purpose, independent of the draws of the others."""

    def delay(self, low_high: Any) -> float:
        """A one-way delay, with jitter."""

    def record_violation(self, rule: str) -> None:
        """Count a violation of a rule."""
