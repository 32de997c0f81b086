"""Settings, events and actions of the decision module: everything a node tells it and hears back.

All times are milliseconds on the caller's clock; zones, kinds, classes and tenants are indices. Settings give
them names: what goes from one Settings to another (a reload, the next process) goes by these.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from spoolbarrow.errors import Problem


class SettingsError(Problem, ValueError):
    """The platform's settings are impossible together."""

    status = 2
    where = "the settings at fault"
    remedy = "Ask whoever writes the platform's configuration for settings within the bounds that are named."


class Effect(Enum):
    """What repeating a request of a class would do."""

    SAFE = 0  # may be repeated freely
    KEYED = 1  # repeats are dropped within a group of replicas, for a while
    UNSAFE = 2  # must not run twice


class Group(Enum):
    """Which replicas drop the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = 0
    ERROR = 1  # the replica answered with an error; it may have run
    FULL = 2  # turned away unseen
    TIMEOUT = 3  # may have run, or run on
    UNREACHABLE = 4  # no connection; never ran
    RESET = 5  # the connection broke; may have run
    CANCELLED = 6  # may have run
    MOOT = 7  # never transmitted
    REJECTED = 8  # the replica can't use the request: its client's fault, and no other replica's use
    UNREADABLE = 9  # its answer can't be read; may have run, and the replica lives


NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.MOOT, Outcome.REJECTED})


class ReplicaState(Enum):
    """What the replica list says of a process."""

    SERVING = 0
    DRAINING = 1
    GONE = 2


class ListKind(Enum):
    """What a list event carries."""

    CHANGES = 0
    WHOLE = 1
    RESTORED = 2  # whole, but as last held before a restart
    FAILED = 3  # a call failed or the subscription broke; the old list stays


Key = str | int  # a name; a position where there is none


class RequestClass(Struct, frozen=True):
    """One class of requests."""

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
    name: str = ""  # without one, its position tells it from the others

    def aim(self, prompt_tokens: int) -> float:
        """When the first token is wanted, ms after the request came."""
        return self.aim_ms + self.aim_ms_per_token * prompt_tokens


class Tenant(Struct, frozen=True):
    """One tenant; quota_per_s is its share in requests a second over all nodes (0 = not told)."""

    portion: float = 1.0
    quota_per_s: float = 0.0
    name: str = ""  # without one, its position tells it from the others


class Settings(Struct, frozen=True, kw_only=True):
    """What a node is told at start."""

    nodes: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    node: int = 0
    zone: int = 0
    zones: int = 1
    zone_names: tuple[str, ...] = ()  # without them, positions tell zones from each other
    subscribe: bool = False  # the list must be asked for
    probing: bool = True
    cancelling: bool = True
    second_copies: bool = True
    retry_after: bool = True
    max_attempts: int = 3
    max_open: int = 10_000
    max_retry_after_ms: float = 1000.0
    drain_grace_ms: float = 1000.0
    must_ask_ms: float = 0.0  # with no watch, changes count as told so long after the last call; 0: never
    list_rate: float = 0.0  # whole lists a second that the list service can give, all told; 0: nobody told
    cold_from: float = 0.2
    cold_ms: float = 10_000.0
    overload_factor: float = 3.0
    tip_after_ms: float = 2000.0
    cross_zone_fee: float = 0.0
    waste_fee: float = 0.0
    tick_ms: float = 1.0

    def __post_init__(self) -> None:
        """Impossible settings are refused at start."""
        if not self.classes or any(c.aim_ms <= 0 or c.deadline_ms <= 0 or c.worth < 0 for c in self.classes):
            raise SettingsError(
                "classes: at least one, each with positive aim and deadline, worth not negative"
            )
        if self.nodes < 1 or not 0 <= self.zone < self.zones or self.node < 0:
            raise SettingsError("nodes and zones must be at least 1, and zone one of them")
        if self.max_attempts < 1 or self.max_open < 1:
            raise SettingsError("max_attempts and max_open must be at least 1")
        cold = min(self.cold_ms, self.tip_after_ms, self.overload_factor)
        if not 0 < self.cold_from <= 1 or cold < 0:
            raise SettingsError("cold_from must lie in (0, 1], the other cold-start figures not be negative")
        if min(self.tick_ms, self.drain_grace_ms, self.max_retry_after_ms) < 0:
            raise SettingsError("tick, drain grace and longest retry-after must not be negative")
        if any(t.quota_per_s < 0 or t.portion < 0 for t in self.tenants):
            raise SettingsError("quotas and portions of tenants must not be negative")

    def class_keys(self) -> list[Key]:
        """What each class is known by under any settings."""
        return [cls.name or n for n, cls in enumerate(self.classes)]

    def tenant_keys(self) -> list[Key]:
        """What each tenant is known by under any settings; with none told, all requests are the first's."""
        return [tenant.name or n for n, tenant in enumerate(self.tenants)] or [0]

    def numbers_alike(self, other: Settings) -> bool:
        """Whether numbers of classes and tenants stand for the same under both."""
        mine, its = (self.class_keys(), self.tenant_keys()), (other.class_keys(), other.tenant_keys())
        return mine == its

    def zone_keys(self) -> list[Key]:
        """What each zone is known by under any settings."""
        names = dict(zip(self.zone_names, range(self.zones), strict=False))
        by_position = {n: name for name, n in names.items()}
        return [by_position.get(n, n) for n in range(self.zones)]

    def tenant_name(self, tenant: int) -> str:
        """Empty where it has none, or was never told."""
        return self.tenants[tenant].name if 0 <= tenant < len(self.tenants) else ""

    def account(self, tenant: int) -> tuple[Key, float]:
        """What a tenant is known by under any settings, and its quota; one never told has none."""
        if not 0 <= tenant < len(self.tenants):
            return tenant, 0.0
        told = self.tenants[tenant]
        return told.name or tenant, told.quota_per_s

    def mean_aim(self) -> float:
        """Of the classes, ms."""
        return sum(cls.aim_ms for cls in self.classes) / len(self.classes)

    def ranks(self, ranks: int) -> list[int]:
        """Each class's rank by worth, 0 the highest, spread over so many."""
        worths = sorted({cls.worth for cls in self.classes}, reverse=True)
        steps = max(1, len(worths) - 1)
        return [round((ranks - 1) * worths.index(cls.worth) / steps) for cls in self.classes]


class Report(Struct, frozen=True):
    """A replica's account of its load; what it does not tell is negative."""

    memory_share: float = -1.0  # held by running requests
    unread_tokens: float = -1.0  # of prompts waiting to be read
    queued: float = -1.0  # requests waiting
    busy_share: float = -1.0


class ReplicaEntry(Struct, frozen=True):
    """One line of the replica list."""

    replica: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: ReplicaState = ReplicaState.SERVING
    weight: float = 1.0
    started_at_ms: float = 0.0  # 0: long ago


class ReplicaList(Struct, frozen=True):
    """News of the replica list."""

    kind: ListKind
    entries: tuple[ReplicaEntry, ...] = ()


class RequestArrived(Struct, frozen=True):
    """A client's request; the node now owes it one final answer."""

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
    promised: bool = False  # it comes at the time that it was told, and capacity was set aside for it
    standing: float = 1.0  # of who asks, as the door sees it: below 1 beyond their share, above within
    settings: Settings | None = None  # it was taken under, and keeps; None: those that the decisions go by


class StreamStarted(Struct, frozen=True):
    """The first token of an attempt reached the client."""

    request: str
    attempt: int
    replica: str
    lag_ms: float = 0.0


class AttemptEnded(Struct, frozen=True):
    """The one outcome of an attempt; `closed` when the request is finished with it or before."""

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
    """The client left; nothing is owed any more."""

    request: str


class TimerFired(Struct, frozen=True):
    """A timer set before is due."""

    token: str


Event = ReplicaList | RequestArrived | StreamStarted | AttemptEnded | ProbeAnswered | RequestGone | TimerFired


class Send(Struct, frozen=True):
    """Start an attempt; attempts of a request count 0, 1, 2 ... in the order sent. 0 ms: no own limit."""

    request: str
    replica: str
    max_wait_ms: float = 0.0


class Refuse(Struct, frozen=True):
    """Final answer: declined, trying again is harmless."""

    request: str
    retry_after_ms: float = 0.0
    header: bytes = b""  # one more line of the answer's head


class Fail(Struct, frozen=True):
    """Final answer: failed, nothing promised."""

    request: str


class Cancel(Struct, frozen=True):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class Probe(Struct, frozen=True):
    """Ask a replica for its load."""

    replica: str


class SetTimer(Struct, frozen=True):
    """Ask for a TimerFired."""

    token: str
    in_ms: float


class Subscribe(Struct, frozen=True):
    """Ask the list service for changes from now on."""


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe
