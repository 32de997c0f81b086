"""The state of a simulation, and the protocols by which its parts call each other.

Engines and the network to them (`simulated_engines.py`), routers (`simulated_routers.py`) and clients
(`simulated_clients.py`) share the state types and know each other only by the protocols. Times are in
milliseconds.
"""

from __future__ import annotations

from math import inf
from random import Random
from typing import Any, Protocol

from spoolbarrow import interface as i
from spoolbarrow.lab.arrivals import PlannedRequest
from spoolbarrow.lab.simulated_discovery import SimulatedDiscovery, Notification
from spoolbarrow.lab.engine import Engine
from spoolbarrow.lab.fleet import PlannedTrouble, EngineSpec
from spoolbarrow.lab.policies import EngineOracle, RoutingPolicy
from spoolbarrow.lab.run_report import Record
from spoolbarrow.lab.scenario import Scenario
from spoolbarrow.lab.virtual_time import Clock

ROUTER_UP_DELAY_MS = 200.0  # from a router's restart until the front takes it in


class Machine:
    """An engine's process and its place in the network."""

    __slots__ = (
        "spec", "id", "engine", "state", "alive", "silent", "cut", "connections", "cap", "resets",
        "spoilt", "trickle", "trickle_end", "flights", "armed", "started_at",
    )  # fmt: skip

    def __init__(self, spec: EngineSpec, name: str, engine: Engine) -> None:
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
        self.policy: RoutingPolicy | None = None  # None while dead
        self.life = 0
        self.draining = False
        self.opens: dict[str, Open] = {}
        self.list: dict[str, i.ReplicaEntry] = {}
        self.away: dict[str, float] = {}  # told to drain or gone, since when
        self.idle: dict[Machine, list[float]] = {}
        self.cpu_ns = self.taken = self.probes = 0


class SimulatedEngines(EngineOracle, Protocol):
    """The engines and the network to them, as routers use them."""

    by_id: dict[str, Machine]

    def send(self, flight: Flight) -> None:
        """An attempt leaves its router."""

    def drop(self, flight: Flight) -> None:
        """The router, or a fault, closes the attempt's connection."""

    def probe(self, node: Node, name: str) -> None:
        """A probe leaves its router."""


class SimulatedRouters(Protocol):
    """The routers, as engines, the network and clients use them."""

    all: list[Node]

    def told(self, told: Notification, life: int = -1) -> None:
        """Discovery speaks to a router."""

    def started(self, flight: Flight) -> None:
        """An attempt's first token is here."""

    def ended(self, flight: Flight, outcome: i.Outcome, kept: int = 0) -> None:
        """An attempt has its outcome."""

    def probed(
        self, node: Node, life: int, name: str, outcome: i.Outcome, lag: float, report: i.Report | None = None
    ) -> None:
        """A probe's answer is here."""

    def arrived(self, call: Call, node: Node, client_ms: float) -> None:
        """A request's last byte is here."""

    def left(self, call: Call) -> None:
        """A client closed its connection."""


class SimulatedClients(Protocol):
    """The clients and the front, as routers and engines use them."""

    calls: dict[str, Call]

    def asked_of(self, request: str) -> PlannedRequest:
        """What the client of a request means."""

    def died(self, node: Node) -> None:
        """The front will notice."""

    def rose(self, node: Node) -> None:
        """The front asks for signs of life."""

    def believe(self) -> None:
        """Look which routers say that they serve."""

    def tell(self, call: Call, how: str, retry_after_ms: float) -> None:
        """A final answer leaves its router."""

    def answered(self, call: Call, how: str, retry_after_ms: float) -> None:
        """A try ended without an answer: again, or never."""

    def first_token(self, call: Call) -> None:
        """The first token leaves its router."""

    def ended(self, call: Call, whole: bool, read: int) -> None:
        """A stream came to its end, or broke."""

    def cut_off(self, call: Call) -> None:
        """Its router died."""


class SimulationContext(Protocol):
    """The simulation, as each of its parts uses it."""

    scenario: Scenario
    policy: str
    clock: Clock
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
        """The clients and the front."""

    def stream(self, name: str) -> Random:
        """Random numbers of one concern, the same whatever the others draw."""

    def delay(self, low_high: Any) -> float:
        """A one-way delay, with jitter."""

    def breaks(self, rule: str) -> None:
        """A rule was broken."""
