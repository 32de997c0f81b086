"""The configuration: the one place where it is read, checked and given defaults.

`NODE_CONFIG` names a JSON file of the form in README.md; a fault names its key. What the decisions need of
`settings` is decoded by `wire.decode_settings`, so that both programs read it alike; the names and limits
that only sockets need are decoded here.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from math import inf, isfinite
from pathlib import Path
from typing import Annotated, Any, get_args

import msgspec
from msgspec import Meta, Struct
from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow import wire
from spoolbarrow.errors import Problem
from spoolbarrow.fleet.pacing import LIST_DEADLINE_MS, SILENT_SPREAD_MS

Address = tuple[str, int]
MISSING = "Object missing required field "  # msgspec's words
CONTROL = "NODE_CONTROL"  # the same as the key `control`, which goes before it
INHERITED_FD_VARIABLE = (
    "NODE_INHERITED_FD"  # the number of a listening socket that was passed on at the start
)
NAME_A_FILE = "Have NODE_CONFIG (or `--config`) name a file that this user can read."
MOST = 1e10  # of any figure that is told: a hundred days in ms, what no machine has in bytes or descriptors
MIN_SOCKETS = 64  # below this the fixed needs leave nothing for clients
# Descriptors that neither clients nor endpoints get, however many there are: standard input, output, error,
# the event loop's (8); the listener, and the next one where its address changes (2); discovery, watched and
# asked by several calls at once (9); clients that are told there is no room (10); files that are read (3).
RESERVED_DESCRIPTORS = 32
CONTROL_DESCRIPTORS = 20  # and, where operators call: their listener, the next one, and their calls
AT_START = 8  # those of RESERVED_DESCRIPTORS that may be open when the program starts; any beyond count against the rest


class ConfigError(Problem, ValueError):
    """A configuration can't be used."""

    status = 2
    where = "the faulty key, or the variable or flag that names the file"
    remedy = "Put the key that is named right: README.md and docs/operators/ have what it takes."


class CannotListen(ConfigError):
    """An address can't be listened on."""

    where = "the key or flag that names the address"
    remedy = "End what holds the address (`ss -ltnp` tells who), or name a free one of this machine."


class CannotWrite(ConfigError):
    """A directory that is to be written to can't be."""

    where = "the key that names the directory"
    remedy = "Make the directory and let this user write there."


class NeedsPackage(ConfigError):
    """Something is switched on whose package is not installed."""

    where = "the key that switches it on"
    remedy = "Install the package that is named, or remove the key."


class TooFewDescriptors(ConfigError):
    """The process may hold fewer descriptors than it needs, or was started with many open."""

    where = "limits.sockets"
    remedy = "Raise the process's limit (`ulimit -n`), and pass it no descriptors that it has no use for."


class ListEntry(Struct):
    """One endpoint as discovery tells it."""

    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "in_service"
    weight: float = 1.0
    since_ms: float = 0.0


class HostList(Struct):
    """What discovery tells at once: the whole list (a snapshot) or the entries that changed."""

    index: int = 0
    snapshot: bool = False
    endpoints: list[ListEntry] = []


class Options(Struct, forbid_unknown_fields=True):
    """What an operator may set beyond what the platform tells, under `options`."""

    probe_timeout_ms: float = 250.0  # a probe unanswered so long has failed
    piece_ms: float = 1000.0  # an endpoint's head or chunk that has begun is whole by then, or spoilt
    stream_silence_ms: float = 3000.0  # a stream that stops for so long is broken
    answer_margin_ms: float = 15.0  # an answer leaves so long before its client gives up
    # Together under 6 s, with what lies between them (docs/design.md, "The list's clock").
    watch_silence_ms: float = 2500.0  # a watch says something every 2 s: after this it is broken
    call_timeout_ms: float = 3200.0  # discovery's head of an answer must have come by then
    list_calls_per_s: float = inf  # whole lists that discovery can give to all routers; inf: nobody told
    head_timeout_ms: float = 2000.0  # the first request must be whole so long after connecting, another
    # one so long after its first byte
    keep_alive_ms: float = 2500.0  # a client's idle connection is kept so long
    linger_ms: float = 2000.0  # a client that was told to go may still be sending so long
    stall_ms: float = 30_000.0  # a client that takes nothing of its answer so long has gone
    drain_accept_ms: float = 500.0  # after SIGTERM, connections are accepted so long
    drain_keep_ms: float = 2000.0  # and clients may use the ones they have so long
    drain_move_ms: float = 2800.0  # streams still running then go on elsewhere, if clients ask
    drain_answer_ms: float = 3200.0  # what has no answer by then gets one: SIGKILL may follow
    max_head: int = 16_384  # bytes
    max_body: int = 262_144  # bytes


class MachineLimits(Struct):
    """What the platform allows this program."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


_Longer = Annotated[float, Meta(gt=0, le=MOST)]
_NotNegative = Annotated[float, Meta(ge=0, le=MOST)]
_Count = Annotated[int, Meta(ge=1)]


class _Class(Struct):
    AimMs: _Longer
    DeadlineMs: _Longer
    Name: str = ""
    Importance: _NotNegative = 0.0
    RepeatWindowMs: _NotNegative = 0.0
    LateShare: _NotNegative = 0.0


class _Tenant(Struct):
    Name: str = ""
    Portion: _NotNegative = 0.0
    QuotaPerS: _NotNegative = 0.0


class _Limits(Struct):
    ConnIdleMs: _Longer = 30_000.0
    ConnectTimeoutMs: _Longer = 200.0
    MaxAttempts: _Count = 1
    MaxOpen: _Count = 1
    MaxRetryAfterMs: _NotNegative = 0.0


class _Invariants(Struct):
    ColdFrom: Annotated[float, Meta(gt=0, le=1)] = 1.0
    ColdMs: _NotNegative = 0.0
    DrainGraceMs: _NotNegative = 0.0
    OverloadFactor: _NotNegative = 0.0
    TipAfterMs: _NotNegative = 0.0


class _Stats(Struct):
    Via: str = "off"


class _Specifics(Struct):
    Resume: bool = False
    AimUsPer1000PromptTokens: list[_NotNegative] = []
    TokenAimMs: list[_NotNegative] = []


class _Names(Struct):
    """What sockets need of the settings beyond what the decisions do, and the bounds of what both read."""

    Classes: Annotated[list[_Class], Meta(min_length=1)]
    Tenants: list[_Tenant] = []
    Zones: list[str] = []
    Skus: list[str] = []
    TickMs: _NotNegative = 0.0
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Invariants: _Invariants = msgspec.field(default_factory=_Invariants)
    Stats: _Stats = msgspec.field(default_factory=_Stats)
    Specifics: _Specifics = msgspec.field(default_factory=_Specifics)


class _Outer(Struct):
    settings: _Names  # decoded under its key, so that a fault names the whole way


class _File(Struct):
    name: str
    listen: str
    discovery: str
    seed: str
    settings: dict[str, Any]
    control: str = ""
    limits: MachineLimits = msgspec.field(default_factory=MachineLimits)
    known: HostList = msgspec.field(default_factory=HostList)
    options: Options = msgspec.field(default_factory=Options)


class Config(Struct, frozen=True, kw_only=True):
    """Everything the router uses of its configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: i.Settings
    known: HostList
    options: Options
    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    endpoint_idle_ms: float
    connect_timeout_ms: float
    limits: MachineLimits
    resumes_streams: bool  # clients ask for the rest of a stream that broke
    probes_fetch_load: bool  # probes bring a load report
    max_inbound: int  # clients' connections
    max_outbound: int  # connections to endpoints
    max_held_bytes: int  # bytes of request bodies held at once
    control: Address | None = None  # where operators call; None: nowhere


def parse_address(key: str, text: str) -> Address:
    """Host and port of `host:port`."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(f"{key}: {text!r} is not HOST:PORT")
    return host, int(port)


def _positive(place: str, values: Struct) -> None:
    for key in values.__struct_fields__:
        value = getattr(values, key)
        if value <= 0:
            raise ConfigError(f"{place}.{key}: must be positive")
        if isfinite(value) and value > MOST:
            raise ConfigError(f"{place}.{key}: over {MOST:g}")


def _fits_clock(options: Options) -> None:
    """Guards against time-outs with which the list comes too late by themselves (`fleet/pacing.py`)."""
    silence, call = options.watch_silence_ms, options.call_timeout_ms
    if silence + SILENT_SPREAD_MS + call <= LIST_DEADLINE_MS:
        return
    plain = Options()
    key = "watch_silence_ms" if call <= plain.call_timeout_ms else "call_timeout_ms"
    raise ConfigError(
        f"options.{key}",
        f"{silence:g} ms of silence, {SILENT_SPREAD_MS:g} and a call of {call:g} are over {LIST_DEADLINE_MS:g}",
        f"Let `watch_silence_ms` and `call_timeout_ms` be {LIST_DEADLINE_MS - SILENT_SPREAD_MS:g} together at most.",
    )


def _index(names: list[str]) -> dict[str, int]:
    return {name: number for number, name in enumerate(names)}


def _unlike(names: dict[str, str]) -> None:
    """Guards what goes by names, each told with its key: two of one name could not be told apart."""
    told: set[str] = set()
    for key, name in names.items():
        if name in told:
            raise ConfigError(f"{key}: {name!r} is another's name already")
        told.add(name)


def _settings(raw: dict[str, Any]) -> tuple[i.Settings, _Names]:
    """What the decisions and the sockets take of the platform's settings."""
    outer = {"settings": raw}
    try:
        settings = wire.decode_settings(raw)
    except i.SettingsError:
        msgspec.convert(outer, _Outer)  # names the key, where it is one alone
        raise
    return settings, msgspec.convert(outer, _Outer).settings


def parse(text: bytes) -> Config:
    """The checked configuration of a file's text."""
    try:
        file = msgspec.json.decode(text, type=_File)
        settings, names = _settings(file.settings)
    except (msgspec.DecodeError, wire.WireError) as error:
        raise ConfigError(_place(str(error))) from error
    except i.SettingsError as error:
        raise ConfigError("settings", str(error), error.remedy) from error
    except ValueError as error:
        raise ConfigError("settings", str(error)) from error
    _positive("limits", file.limits)
    _positive("options", file.options)
    _fits_clock(file.options)
    if file.limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: at least {MIN_SOCKETS} are needed")
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {file.seed!r} is not hex") from None
    if isfinite(file.options.list_calls_per_s):
        settings = replace(settings, list_rate=file.options.list_calls_per_s)
    _unlike({f"settings.Classes[{n}].Name": one.Name for n, one in enumerate(names.Classes)})
    _unlike({f"settings.Tenants[{n}].Name": one.Name for n, one in enumerate(names.Tenants)})
    _unlike({f"settings.Zones[{n}]": name for n, name in enumerate(names.Zones)})
    inbound, outbound = split_connections(file.limits.sockets, bool(file.control))
    return Config(
        name=file.name,
        listen=parse_address("listen", file.listen),
        discovery=parse_address("discovery", file.discovery),
        seed=seed,
        settings=settings,
        known=file.known,
        options=file.options,
        classes=_index([c.Name for c in names.Classes]),
        tenants=_index([t.Name for t in names.Tenants]),
        zones=_index(names.Zones),
        kinds=_index(names.Skus),
        endpoint_idle_ms=names.Limits.ConnIdleMs,
        connect_timeout_ms=names.Limits.ConnectTimeoutMs,
        limits=file.limits,
        resumes_streams=names.Specifics.Resume,
        probes_fetch_load=names.Stats.Via != "off",
        max_inbound=inbound,
        max_outbound=outbound,
        max_held_bytes=int(file.limits.memory_mb * 1024 * 1024 / 4),
        control=parse_address("control", file.control) if file.control else None,
    )


def reserved_descriptors(control: bool) -> int:
    """Descriptors that no connection of clients or to endpoints may take; `control`: operators call."""
    return RESERVED_DESCRIPTORS + CONTROL_DESCRIPTORS * control


def split_connections(descriptors: int, control: bool) -> tuple[int, int]:
    """How many connections clients may hold, and how many there may be to endpoints.

    Each side has its half, so that neither can take what the other needs; a side has 4 at least.
    """
    spare = max(8, descriptors - reserved_descriptors(control))
    return spare // 2, spare - spare // 2


def fit_descriptors(config: Config, allowed: int, held: int) -> Config:
    """The configuration for a process that may hold `allowed` descriptors and held `held` as it started.

    ConfigError where that leaves too few.
    """
    own = min(config.limits.sockets, allowed) - max(0, held - AT_START)
    if own < MIN_SOCKETS:
        raise TooFewDescriptors("limits.sockets", f"{own} left, {MIN_SOCKETS} are needed")
    inbound, outbound = split_connections(own, config.control is not None)
    return replace(config, max_inbound=inbound, max_outbound=outbound)


def _place(error: str) -> str:
    """msgspec's message with its place in front: `settings.Classes[0].AimMs: Expected ...`."""
    of_settings = error.startswith("Params")  # the simulator's word for them
    text, _, place = error.removeprefix("Params: ").partition(" - at `")
    place = place.rstrip("`").removeprefix("$").removeprefix(".")
    if text.startswith("Params."):
        place, _, text = text.removeprefix("Params.").partition(": ")
    elif text.startswith(MISSING):
        place, text = f"{place}.{text[len(MISSING) :].strip('`')}".removeprefix("."), "missing"
    if of_settings:
        place = f"settings.{place}".removesuffix(".")
    return f"{place or 'NODE_CONFIG'}: {text}"


def read(environment: Mapping[str, str] = os.environ) -> bytes:
    """The text of the file that the environment names; ConfigError where there is none."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set", remedy=NAME_A_FILE)
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"NODE_CONFIG: {path}: {error.strerror}", remedy=NAME_A_FILE) from error


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """The configuration that the environment names."""
    config = parse(read(environment))
    if config.control is None and environment.get(CONTROL):
        inbound, outbound = split_connections(config.limits.sockets, True)
        control = parse_address(CONTROL, environment[CONTROL])
        return replace(config, control=control, max_inbound=inbound, max_outbound=outbound)
    return config


def find_faults(raw: Any, wanted: Any, place: str = "") -> list[ConfigError]:
    """Every fault of decoded values against a Struct, each with its key."""
    table = _table_of(wanted)
    if table is None or not isinstance(raw, dict):
        try:
            msgspec.convert(raw, wanted)
        except msgspec.ValidationError as error:
            text, _, inner = str(error).partition(" - at `$")
            return [ConfigError(f"{place}{inner.rstrip('`')}", text)]
        return []
    strict = table.__struct_config__.forbid_unknown_fields
    fields = {field.name: field for field in msgspec.structs.fields(table)}
    way = f"{place}." if place else ""
    faults = [ConfigError(way + name, "unknown key") for name in raw if strict and name not in fields]
    for name, field in fields.items():
        if name in raw:
            faults += find_faults(raw[name], field.type, way + name)
        elif field.required:
            faults.append(ConfigError(way + name, "missing"))
    return faults


def _table_of(wanted: Any) -> type[Struct] | None:
    """The Struct that a type stands for, also where it is optional."""
    for one in get_args(wanted) or (wanted,):
        if isinstance(one, type) and issubclass(one, Struct):
            return one
    return None


def faults(text: bytes) -> list[ConfigError]:
    """Every fault of a file's text that can be told apart; where its form holds, the first in its meaning."""
    try:
        raw = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        return [ConfigError("NODE_CONFIG", str(error))]
    found = find_faults(raw, _File)
    if not found:
        try:
            parse(text)
        except ConfigError as error:
            return [error]
    return found
