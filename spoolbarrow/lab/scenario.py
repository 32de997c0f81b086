"""Reads and validates scenario files: TOML with units in the names of keys."""

from __future__ import annotations

import tomllib
from pathlib import Path
from random import Random
from typing import Any, Literal, get_args

import msgspec
from msgspec import Struct

from spoolbarrow.errors import Problem
from spoolbarrow.interface import Effect, RequestClass, Settings, Tenant
from spoolbarrow.lab import kinds
from spoolbarrow.lab.kinds import EngineKind, Range

TroubleName = Literal[
    "hang", "pauses", "slow", "cold_restart", "drain", "replace", "vanish", "connection_cap", "resets",
    "spoilt", "trickle", "partition", "router_death", "router_restart", "burst", "discovery_down",
    "discovery_stale",
]  # fmt: skip
TROUBLES: tuple[TroubleName, ...] = get_args(TroubleName)


class ScenarioError(Problem, ValueError):
    """A scenario, experiment or comparison of the lab can't be played."""

    status = 2
    where = "the file or the key"
    remedy = "Correct the named key; docs/operators/lab.md describes the format of a scenario."


class ClassShape(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One class of requests: its objectives, and the shape of its requests."""

    share: float = 1.0  # of requests
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_share: float = 0.2  # of the worth, for a response after the objective and before the deadline
    aim_ms_per_1000: float = 60.0  # added to the objective for each 1,000 prompt tokens
    token_aim_ms: float = 100.0  # mean time between tokens; 0: none
    effect: Literal["safe", "unsafe"] = "safe"
    turns: float = 1.2  # mean per session
    think_s: Range = (2.0, 12.0)
    new_tokens: Range = (100, 600)  # added by each turn
    answer_tokens: Range = (40, 160)
    new_sigma: float = 0.0  # above 0: log-normal (heavy-tailed) with this sigma about the middle of the range
    answer_sigma: float = 0.0
    max_context: int = 0  # tokens of prompt and answer; a session that would exceed it ends. 0: no limit
    max_answer: int = 0  # tokens, as stated by requests. 0: the answer's own length
    openings: int = 20  # shared prefixes; 0: none
    opening_tokens: Range = (3000, 6000)
    opening_share: float = 0.9  # share of sessions that begin with one
    zipf: float = 1.0  # exponent of the shared prefixes' popularity


class TenantShape(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One tenant; its requests beyond the quota are worth little."""

    share: float = 1.0  # of requests
    quota_per_engine: float = 0.0  # requests a second for each engine of the scenario; 0: none


class Load(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Arrivals: open loop, drawn in advance."""

    per_engine: float = 2.0  # requests a second
    shape: Literal["steady", "wave", "bursts"] = "steady"
    swing: float = 0.3  # of a wave, as a share of the mean
    period_s: float = 20.0  # of waves and bursts
    burst_factor: float = 2.0  # rate during a burst
    burst_s: float = 3.0
    over_worth: float = 0.05  # share of worth that requests beyond a tenant's quota keep
    trace: str = ""  # a JSON-lines file to replay instead (format: docs/operators/lab.md)


class Network(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One-way network delays, ms."""

    same_ms: Range = 0.2
    cross_ms: Range = 1.0
    client_ms: Range = 0.5
    jitter: float = 0.2  # relative standard deviation


class Clients(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The behaviour of clients."""

    retries: int = 2
    patience: Range = (0.6, 1.0)  # share of the class's deadline
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: Range = 200.0
    honour: float = 0.5  # share of clients that obey Retry-After

    def pause_ms(self, number: int, retry_after_ms: float, rng: Random) -> float:
        """How long a client pauses after try `number` (from 0) before the next."""
        pause = 0.0 if self.backoff == "none" else kinds.draw(self.backoff_ms, rng)
        if self.backoff == "exp":
            pause *= 2.0**number
        if retry_after_ms > 0.0 and rng.random() < self.honour:
            pause = max(pause, retry_after_ms)
        return pause


class Front(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The load balancer that distributes connections among routers."""

    notice_s: Range = 2.0  # until it removes a dead router, or adds a live one


class Discovery(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The discovery service."""

    notice_s: Range = (1.5, 4.5)  # until an announced change is published
    silent_notice_s: Range = (6.0, 13.0)  # until an unresponsive process is removed
    spread_ms: Range = 100.0  # additional delay at each router
    call_ms: float = 200.0  # work for one call; calls are served in turn
    line_ms: float = 0.0  # additional work for each entry sent
    timeout_ms: float = 3000.0
    weights: bool = False  # entries give an engine's approximate speed; else 1
    weight_noise: float = 0.2  # relative standard deviation


class Limits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on what routers may do."""

    probes: bool = True
    probe_timeout_ms: float = 250.0
    cancel: bool = True
    second_copies: bool = True
    retry_after: bool = True
    max_attempts: int = 6
    max_retry_after_ms: float = 2000.0
    connect_timeout_ms: float = 200.0
    idle_connections: int = 64  # most that a router keeps to one engine
    drain_grace_ms: float = 500.0
    waste_fee: float = 0.3


class Trouble(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fault; the meaning of `size` depends on the fault (docs/operators/lab.md)."""

    name: TroubleName
    begin_s: float
    length_s: float = 5.0
    part: float = 0.1  # share of the engines or routers affected; at least one
    zone: int = -1  # only its engines are affected; negative: those of all zones
    size: float = 0.0  # 0: the fault's default


class RandomTroubles(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults drawn at random from the seed."""

    count: int = 0
    names: tuple[TroubleName, ...] = TROUBLES
    length_s: Range = (3.0, 10.0)
    part: Range = (0.05, 0.2)


class Scenario(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A scenario of the lab."""

    name: str
    length_s: float = 30.0
    lead_s: float = 0.0  # run before it and not judged, since engines begin with empty caches
    zones: int = 1
    routers: int = 1
    engines: int = 8
    load: Load = Load()
    kinds: dict[str, EngineKind] = msgspec.field(default_factory=lambda: {"engine": EngineKind()})
    classes: dict[str, ClassShape]
    tenants: dict[str, TenantShape] = msgspec.field(default_factory=lambda: {"all": TenantShape()})
    net: Network = Network()
    clients: Clients = Clients()
    front: Front = Front()
    discovery: Discovery = Discovery()
    limits: Limits = Limits()
    troubles: tuple[Trouble, ...] = ()
    drawn: RandomTroubles = RandomTroubles()

    def lead_ms(self) -> float:
        """The time at which the judged part begins."""
        return self.lead_s * 1000.0

    def total_s(self) -> float:
        """The duration of lead and judged part together."""
        return self.lead_s + self.length_s

    def routers_in_zone(self, routers: list[int], session: int) -> list[int]:
        """Those of the routers that are in the zone of a session's client; all if none is."""
        return [n for n in routers if n % self.zones == session % self.zones] or routers

    def settings(self, router: int) -> Settings:
        """The settings of a router."""
        classes = tuple(
            RequestClass(
                aim_ms=c.aim_ms,
                deadline_ms=c.deadline_ms,
                worth=c.worth,
                effect=Effect.SAFE if c.effect == "safe" else Effect.UNSAFE,
                late_share=c.late_share,
                aim_ms_per_token=c.aim_ms_per_1000 / 1000.0,
                token_aim_ms=c.token_aim_ms,
            )
            for c in self.classes.values()
        )
        total = sum(t.share for t in self.tenants.values())
        tenants = tuple(
            Tenant(t.share / total, t.quota_per_engine * self.engines) for t in self.tenants.values()
        )
        cold = [k for k in self.kinds.values() if kinds.low_high(k.cold_ms)[1] > 0]
        lim = self.limits
        return Settings(
            nodes=self.routers,
            node=router,
            zone=router % self.zones,
            zones=self.zones,
            classes=classes,
            tenants=tenants,
            subscribe=True,
            probing=lim.probes,
            cancelling=lim.cancel,
            second_copies=lim.second_copies,
            retry_after=lim.retry_after,
            max_attempts=lim.max_attempts,
            max_retry_after_ms=lim.max_retry_after_ms,
            drain_grace_ms=lim.drain_grace_ms,
            cold_from=min((kinds.low_high(k.cold_from)[0] for k in cold), default=1.0),
            cold_ms=max((kinds.low_high(k.cold_ms)[1] for k in cold), default=1.0),
            waste_fee=lim.waste_fee,
            tick_ms=1.0,
        )


def _find_errors(s: Scenario) -> list[str]:
    found = []
    for key in ("length_s", "zones", "routers", "engines"):
        if getattr(s, key) <= 0:
            found.append(f"{key}: must be above 0")
    if s.lead_s < 0:
        found.append("lead_s: must not be negative")
    if not s.classes or not s.tenants or not s.kinds:
        found.append("classes, tenants, kinds: at least one of each")
    for table in ("classes", "tenants", "kinds"):
        shares = [one.share for one in getattr(s, table).values()]
        if any(share < 0 for share in shares) or sum(shares) <= 0:
            found.append(f"{table}: shares must not be negative, and not all 0")
    for name, c in s.classes.items():
        if c.aim_ms <= 0 or c.deadline_ms < c.aim_ms or c.turns < 1 or c.worth < 0:
            found.append(
                f"classes.{name}: wants 0 < aim_ms <= deadline_ms, turns of at least 1, worth not negative"
            )
        if kinds.low_high(c.new_tokens)[0] < 1 or kinds.low_high(c.answer_tokens)[0] < 1:
            found.append(f"classes.{name}: new_tokens and answer_tokens must be at least 1")
    for name, kind in s.kinds.items():
        found += kinds.kind_errors(name, kind)
    if s.load.per_engine <= 0 or s.load.period_s <= 0 or not 0 <= s.load.swing <= 1:
        found.append("load: per_engine and period_s must be above 0, swing within 0 and 1")
    if s.limits.max_attempts < 1 or s.clients.retries < 0:
        found.append("limits.max_attempts must be at least 1, clients.retries not negative")
    if kinds.low_high(s.clients.patience)[0] <= 0:
        found.append("clients.patience: must be above 0")
    for n, t in enumerate(s.troubles):
        if t.begin_s < 0 or t.length_s < 0 or not 0 < t.part <= 1 or t.size < 0:
            found.append(f"troubles[{n}]: begin, length and size must not be negative, part within 0 and 1")
        if t.zone >= s.zones:
            found.append(f"troubles[{n}].zone: there are {s.zones} zones, counted from 0")
    return found


def convert(raw: dict[str, Any]) -> Scenario:
    """A scenario from the tables of a TOML file; ScenarioError names every error."""
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(str(error)) from error
    found = _find_errors(scenario)
    if found:
        raise ScenarioError("; ".join(found))
    return scenario


def set_key(raw: dict[str, Any], path: str, value: Any) -> None:
    """Set one value in a scenario's tables by its dotted path, as experiments do."""
    *tables, key = path.split(".")
    for name in tables:
        raw = raw.setdefault(name, {})
        if not isinstance(raw, dict):
            raise ScenarioError(f"{path}: {name} is not a table")
    raw[key] = value


def load_raw(path: str | Path) -> dict[str, Any]:
    """The tables of a scenario file; ScenarioError if it is unreadable. A trace's path is relative to it."""
    try:
        with open(path, "rb") as source:
            raw = tomllib.load(source)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    trace = raw.get("load", {}).get("trace") if isinstance(raw.get("load"), dict) else None
    if isinstance(trace, str) and trace:
        raw["load"]["trace"] = str(Path(path).parent / trace)
    return raw


def load(path: str | Path) -> Scenario:
    """Read a scenario file; ScenarioError names the file and every error."""
    raw = load_raw(path)
    try:
        return convert(raw)
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from error
