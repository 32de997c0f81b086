"""Settings, events and actions of the decision module: all that a router passes to it and gets back.

All times are milliseconds on the caller's clock. Zones, kinds, classes and tenants are indices; Settings give
them names, by which state is carried from one Settings to another (a reload, the next process).
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from spoolbarrow.errors import Problem


class SettingsError(Problem, ValueError):
    """The platform's settings contradict each other or are out of bounds."""

    status = 2
    where = "the invalid settings"
    remedy = "Ask whoever maintains the platform's configuration for settings within the stated bounds."


class Effect(Enum):
    """Whether a request of a class may be repeated."""

    SAFE = 0  # may be repeated without limit
    KEYED = 1  # a group of replicas drops repeats for a limited time
    UNSAFE = 2  # must not run twice


class Group(Enum):
    """Which replicas drop repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = 0
    ERROR = 1  # the replica answered with an error; it may have run
    FULL = 2  # the replica had no capacity and did not process it
    TIMEOUT = 3  # may have run, or may still be running
    UNREACHABLE = 4  # no connection; never ran
    RESET = 5  # the connection broke; may have run
    CANCELLED = 6  # may have run
    MOOT = 7  # never sent
    REJECTED = 8  # invalid request: the client's error, and every other replica would reject it, too
    UNREADABLE = 9  # the answer can't be parsed; may have run, and the replica responds


NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT, Outcome.REJECTED})


class ReplicaState(Enum):
    """State of a replica's process in the replica list."""

    SERVING = 0
    DRAINING = 1
    GONE = 2


class ListKind(Enum):
    """Content of a list event."""

    CHANGES = 0
    WHOLE = 1
    RESTORED = 2  # whole, as last known before a restart
    FAILED = 3  # a call failed or the subscription broke; the previous list stays in force


Key = str | int  # a name, or a position where there is no name


class RequestClass(Struct, frozen=True):
    """A class of requests."""

    aim_ms: float
    deadline_ms: float
    worth: float
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    late_share: float = 0.0
    stream: bool = True
    aim_ms_per_token: float = 0.0
    token_aim_ms: float = 0.0
    name: str = ""  # without a name, its position identifies it

    def aim(self, prompt_tokens: int) -> float:
        """Latency objective of the first token, ms after the request arrived."""
        return self.aim_ms + self.aim_ms_per_token * prompt_tokens


class Tenant(Struct, frozen=True):
    """A tenant; quota_per_s is its quota in requests per second over all routers (0: none set)."""

    portion: float = 1.0
    quota_per_s: float = 0.0
    name: str = ""  # without a name, its position identifies it


class Settings(Struct, frozen=True, kw_only=True):
    """Settings of a router, from its start or a reload on."""

    nodes: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    node: int = 0
    zone: int = 0
    zones: int = 1
    zone_names: tuple[str, ...] = ()  # without names, positions identify zones
    subscribe: bool = False  # the router must call for the replica list
    probing: bool = True
    cancelling: bool = True
    second_copies: bool = True
    retry_after: bool = True
    max_attempts: int = 3
    max_open: int = 10_000
    max_retry_after_ms: float = 1000.0
    drain_grace_ms: float = 1000.0
    must_ask_ms: float = 0.0  # without a watch, changes count as known so long after a call; 0: never
    list_rate: float = 0.0  # whole lists per second that the list service can give in all; 0: unknown
    cold_from: float = 0.2
    cold_ms: float = 10_000.0
    overload_factor: float = 3.0
    tip_after_ms: float = 2000.0
    cross_zone_fee: float = 0.0
    waste_fee: float = 0.0
    tick_ms: float = 1.0

    def __post_init__(self) -> None:
        """Refuse settings that are out of bounds."""
        if not self.classes or any(c.aim_ms <= 0 or c.deadline_ms <= 0 or c.worth < 0 for c in self.classes):
            raise SettingsError(
                "classes: at least one, each with positive aim and deadline, worth not negative"
            )
        if self.nodes < 1 or not 0 <= self.zone < self.zones or self.node < 0:
            raise SettingsError("nodes and zones must be at least 1, and zone one of them")
        if self.max_attempts < 1 or self.max_open < 1:
            raise SettingsError("max_attempts and max_open must be at least 1")
        lowest = min(self.cold_ms, self.tip_after_ms, self.overload_factor)
        if not 0 < self.cold_from <= 1 or lowest < 0:
            raise SettingsError("cold_from must lie in (0, 1], the other cold-start figures not be negative")
        if min(self.tick_ms, self.drain_grace_ms, self.max_retry_after_ms) < 0:
            raise SettingsError("tick, drain grace and longest retry-after must not be negative")
        if any(t.quota_per_s < 0 or t.portion < 0 for t in self.tenants):
            raise SettingsError("quotas and portions of tenants must not be negative")

    def class_keys(self) -> list[Key]:
        """Key of each class, the same under any settings."""
        return [cls.name or n for n, cls in enumerate(self.classes)]

    def tenant_keys(self) -> list[Key]:
        """Key of each tenant, the same under any settings; without tenants, all requests are of the first."""
        return [tenant.name or n for n, tenant in enumerate(self.tenants)] or [0]

    def numbers_alike(self, other: Settings) -> bool:
        """Whether the numbers of classes and tenants mean the same under both."""
        mine, its = (self.class_keys(), self.tenant_keys()), (other.class_keys(), other.tenant_keys())
        return mine == its

    def zone_keys(self) -> list[Key]:
        """Key of each zone, the same under any settings."""
        names = dict(zip(self.zone_names, range(self.zones), strict=False))
        by_position = {n: name for name, n in names.items()}
        return [by_position.get(n, n) for n in range(self.zones)]

    def tenant_name(self, tenant: int) -> str:
        """A tenant's name; empty if it has none or is unknown."""
        return self.tenants[tenant].name if 0 <= tenant < len(self.tenants) else ""

    def account(self, tenant: int) -> tuple[Key, float]:
        """A tenant's key under any settings, and its quota; an unknown tenant has none."""
        if not 0 <= tenant < len(self.tenants):
            return tenant, 0.0
        known = self.tenants[tenant]
        return known.name or tenant, known.quota_per_s

    def mean_aim(self) -> float:
        """Mean latency objective of the classes, ms."""
        return sum(cls.aim_ms for cls in self.classes) / len(self.classes)

    def ranks(self, ranks: int) -> list[int]:
        """Rank of each class by worth, spread over this many ranks; 0 is the highest."""
        worths = sorted({cls.worth for cls in self.classes}, reverse=True)
        steps = max(1, len(worths) - 1)
        return [round((ranks - 1) * worths.index(cls.worth) / steps) for cls in self.classes]


class Report(Struct, frozen=True):
    """Load reported by a replica; figures that it does not report are negative."""

    memory_share: float = -1.0  # used by running requests
    unread_tokens: float = -1.0  # of prompts waiting for prefill
    queued: float = -1.0  # requests waiting
    busy_share: float = -1.0


class ReplicaEntry(Struct, frozen=True):
    """An entry of the replica list."""

    replica: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: ReplicaState = ReplicaState.SERVING
    weight: float = 1.0
    started_at_ms: float = 0.0  # 0: long ago


class ReplicaList(Struct, frozen=True):
    """A replica list, changes to it, or a failure to get it."""

    kind: ListKind
    entries: tuple[ReplicaEntry, ...] = ()


class RequestArrived(Struct, frozen=True):
    """A client's request, which must get exactly one final answer."""

    request: str
    cls: int
    budget_ms: float
    tenant: int = 0
    prompt_tokens: int = 0
    shared_tokens: int = 0
    max_answer_tokens: int = 0
    session: int = 0  # 0: none
    prefix: int = 0  # 0: none
    resumed: bool = False
    promised: bool = False  # a retry at the time given to the client, for which capacity is reserved
    standing: float = 1.0  # of the client: below 1 beyond its share of capacity, above 1 within it
    settings: Settings | None = None  # in force when it arrived, kept to its end; None: the current ones


class StreamStarted(Struct, frozen=True):
    """The first token of an attempt reached the client."""

    request: str
    attempt: int
    replica: str
    lag_ms: float = 0.0


class AttemptEnded(Struct, frozen=True):
    """The only outcome of an attempt; `closed` if the request has ended with it or before."""

    request: str
    attempt: int
    replica: str
    outcome: Outcome
    closed: bool = False
    lag_ms: float = 0.0
    kept_tokens: int = 0
    report: Report | None = None


class ProbeAnswered(Struct, frozen=True):
    """The result of a probe."""

    replica: str
    outcome: Outcome
    lag_ms: float = 0.0
    report: Report | None = None


class RequestGone(Struct, frozen=True):
    """The client disconnected; no answer is due any more."""

    request: str


class TimerFired(Struct, frozen=True):
    """A timer has expired."""

    token: str


Event = ReplicaList | RequestArrived | StreamStarted | AttemptEnded | ProbeAnswered | RequestGone | TimerFired


class Send(Struct, frozen=True):
    """Start an attempt. A request's attempts are numbered 0, 1, 2 ... as sent. 0 ms: no limit of its own."""

    request: str
    replica: str
    max_wait_ms: float = 0.0


class Refuse(Struct, frozen=True):
    """Final answer: refused, a retry is harmless."""

    request: str
    retry_after_ms: float = 0.0
    header: bytes = b""  # an extra header line of the answer


class Fail(Struct, frozen=True):
    """Final answer: failed, with no promise about retries."""

    request: str


class Cancel(Struct, frozen=True):
    """Cancel an attempt."""

    request: str
    attempt: int


class Probe(Struct, frozen=True):
    """Request a replica's load."""

    replica: str


class SetTimer(Struct, frozen=True):
    """Request a TimerFired event."""

    token: str
    in_ms: float


class Subscribe(Struct, frozen=True):
    """Subscribe to changes of the replica list."""


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe
