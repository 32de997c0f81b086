"""Reads and validates the platform's configuration and fills in its defaults.

`NODE_CONFIG` names a JSON file in the format of README.md; errors name the key at fault. The part of
`settings` that the routing decisions use is decoded by `wire.decode_settings`, so that the router and the
simulator's adapter read it alike; names and limits that only the networking code uses are decoded here.
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
MISSING_FIELD = "Object missing required field "  # prefix of msgspec's message
CONTROL_VARIABLE = "NODE_CONTROL"  # overridden by the key `control`
INHERITED_FD_VARIABLE = "NODE_INHERITED_FD"  # file descriptor of a listening socket passed on at the start
FILE_REMEDY = "Set NODE_CONFIG (or `--config`) to a file that this user can read."
MAX_VALUE = 1e10  # upper bound: a hundred days in ms, more than any machine has in bytes or descriptors
RESUMED_SILENCE_MS = 3000.0  # of a stream that can be resumed elsewhere
LOST_SILENCE_MS = 4900.0  # of one that can't: its client counts it as lost after 5 s
MIN_SOCKETS = 64  # with fewer, the reserved descriptors leave nothing for clients
# Descriptors that are used by neither client nor endpoint connections, whatever their number: standard input,
# output, error and the event loop's (8); the listener, and its replacement when the address changes (2);
# discovery, with a watch and several concurrent calls (9); clients being refused for lack of room (10); files
# being read (3).
RESERVED_DESCRIPTORS = 32
CONTROL_DESCRIPTORS = 20  # also with a control listener: it, its replacement and its connections
STARTUP_DESCRIPTORS = 8  # those that may be open at the start; any more reduce the connections


class ConfigError(Problem, ValueError):
    """A configuration is invalid."""

    status = 2
    where = "the key at fault, or the variable or flag that names the file"
    remedy = "Correct the named key: README.md and docs/operators/ describe the valid values."


class CannotListen(ConfigError):
    """The process can't listen on an address."""

    where = "the key or flag that names the address"
    remedy = "Stop the process that holds the address (`ss -ltnp` shows it), or choose a free one."


class CannotWrite(ConfigError):
    """A directory can't be written to."""

    where = "the key that names the directory"
    remedy = "Create the directory and give this user write permission."


class NeedsPackage(ConfigError):
    """A feature is enabled whose package is not installed."""

    where = "the key that enables it"
    remedy = "Install the named package, or remove the key."


class TooFewDescriptors(ConfigError):
    """The process is allowed too few descriptors, or was started with too many open."""

    where = "limits.sockets"
    remedy = "Raise the process's limit (`ulimit -n`), and don't pass it descriptors that it does not use."


class ListEntry(Struct):
    """One endpoint in discovery's list."""

    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    status: str = "in_service"
    weight: float = 1.0
    since_ms: float = 0.0


class HostList(Struct):
    """A message from discovery: the whole list (a snapshot) or the entries that changed."""

    index: int = 0
    snapshot: bool = False
    endpoints: list[ListEntry] = []


class Options(Struct, forbid_unknown_fields=True):
    """Options that an operator may set in the configuration, under `options`."""

    probe_timeout_ms: float = 250.0  # time-out of a probe
    piece_ms: float = 1000.0  # time-out of an endpoint's response head or chunk, from its first byte
    # Longest pause in a stream before it counts as broken; None: as long as its client gains by waiting.
    stream_silence_ms: float | None = None
    answer_margin_ms: float = 15.0  # a response is sent this long before its client's deadline
    # Both together with the pauses between them must stay under 6 s (docs/design.md, "The list's clock").
    watch_silence_ms: float = 2500.0  # a watch sends something every 2 s: after this silence it is broken
    call_timeout_ms: float = 3200.0  # time-out of the response head of a call to discovery
    list_calls_per_s: float = inf  # whole lists that discovery can serve to all routers; inf: no limit known
    head_timeout_ms: float = 2000.0  # time-out of a connection's first request, from connecting, and of later
    # requests, from their first byte
    keep_alive_ms: float = 2500.0  # how long a client's idle connection is kept
    linger_ms: float = 2000.0  # how long a client may still send while its connection is closed
    stall_ms: float = 30_000.0  # a client that reads nothing of its response for so long is disconnected
    drain_accept_ms: float = 500.0  # after SIGTERM, connections are accepted for so long
    drain_keep_ms: float = 2000.0  # after SIGTERM, clients may reuse their connections for so long
    drain_move_ms: float = 2800.0  # so long after SIGTERM, streams move elsewhere, if clients resume them
    drain_answer_ms: float = 3200.0  # so long after SIGTERM, all requests are answered: SIGKILL may follow
    max_head: int = 16_384  # bytes
    max_body: int = 262_144  # bytes


class MachineLimits(Struct):
    """Resources that the platform grants to this program."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


_Positive = Annotated[float, Meta(gt=0, le=MAX_VALUE)]
_NotNegative = Annotated[float, Meta(ge=0, le=MAX_VALUE)]
_Count = Annotated[int, Meta(ge=1)]


class _Class(Struct):
    AimMs: _Positive
    DeadlineMs: _Positive
    Name: str = ""
    Importance: _NotNegative = 0.0
    RepeatWindowMs: _NotNegative = 0.0
    LateShare: _NotNegative = 0.0


class _Tenant(Struct):
    Name: str = ""
    Portion: _NotNegative = 0.0
    QuotaPerS: _NotNegative = 0.0


class _Limits(Struct):
    ConnIdleMs: _Positive = 30_000.0
    ConnectTimeoutMs: _Positive = 200.0
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


class _NetSettings(Struct):
    """The settings that only networking uses, and the bounds of those that the decisions use, too."""

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
    settings: _NetSettings  # decoded under its key, so that an error names the full path


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
    """The complete validated configuration of a router."""

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
    resumes_streams: bool  # clients resume a broken stream
    probes_fetch_load: bool  # probes return a load report
    stream_silence_ms: float  # longest pause in a stream before it counts as broken
    max_inbound: int  # client connections
    max_outbound: int  # connections to endpoints
    max_held_bytes: int  # bytes of request bodies held in memory at a time
    control: Address | None = None  # address of the control listener; None: no listener
    processes: int = 1  # of this router that share its memory limit


def parse_address(key: str, text: str) -> Address:
    """Parse `host:port`."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(f"{key}: {text!r} is not HOST:PORT")
    return host, int(port)


def _check_numbers(place: str, values: Struct) -> None:
    for key in values.__struct_fields__:
        value = getattr(values, key)
        if value is None:
            continue
        if value <= 0:
            raise ConfigError(f"{place}.{key}: must be positive")
        if isfinite(value) and value > MAX_VALUE:
            raise ConfigError(f"{place}.{key}: over {MAX_VALUE:g}")


def _check_list_timeouts(options: Options) -> None:
    """Reject time-outs that alone make the list too late (`fleet/pacing.py`)."""
    silence, call = options.watch_silence_ms, options.call_timeout_ms
    if silence + SILENT_SPREAD_MS + call <= LIST_DEADLINE_MS:
        return
    defaults = Options()
    key = "watch_silence_ms" if call <= defaults.call_timeout_ms else "call_timeout_ms"
    raise ConfigError(
        f"options.{key}",
        f"{silence:g} ms of silence, {SILENT_SPREAD_MS:g} and a call of {call:g} exceed {LIST_DEADLINE_MS:g}",
        "Keep `watch_silence_ms` and `call_timeout_ms` at "
        f"{LIST_DEADLINE_MS - SILENT_SPREAD_MS:g} together at most.",
    )


def _index_by_name(names: list[str]) -> dict[str, int]:
    return {name: number for number, name in enumerate(names)}


def _reject_duplicates(names: dict[str, str]) -> None:
    """Reject duplicate names, given with their keys: items are identified by name."""
    seen: set[str] = set()
    for key, name in names.items():
        if name in seen:
            raise ConfigError(f"{key}: {name!r} is named twice")
        seen.add(name)


def _decode_settings(raw: dict[str, Any]) -> tuple[i.Settings, _NetSettings]:
    """Decode the platform's settings for the decisions and for the networking code."""
    outer = {"settings": raw}
    try:
        settings = wire.decode_settings(raw)
    except i.SettingsError:
        msgspec.convert(outer, _Outer)  # names the key, if there is a single one
        raise
    return settings, msgspec.convert(outer, _Outer).settings


def parse(text: bytes) -> Config:
    """Decode and validate the text of a configuration file."""
    try:
        file = msgspec.json.decode(text, type=_File)
        settings, names = _decode_settings(file.settings)
    except (msgspec.DecodeError, wire.WireError) as error:
        raise ConfigError(_locate(str(error))) from error
    except i.SettingsError as error:
        raise ConfigError("settings", str(error), error.remedy) from error
    except ValueError as error:
        raise ConfigError("settings", str(error)) from error
    _check_numbers("limits", file.limits)
    _check_numbers("options", file.options)
    _check_list_timeouts(file.options)
    if file.limits.sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: must be at least {MIN_SOCKETS}")
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {file.seed!r} is not hexadecimal") from None
    if isfinite(file.options.list_calls_per_s):
        settings = replace(settings, list_rate=file.options.list_calls_per_s)
    _reject_duplicates({f"settings.Classes[{n}].Name": one.Name for n, one in enumerate(names.Classes)})
    _reject_duplicates({f"settings.Tenants[{n}].Name": one.Name for n, one in enumerate(names.Tenants)})
    _reject_duplicates({f"settings.Zones[{n}]": name for n, name in enumerate(names.Zones)})
    inbound, outbound = split_connections(file.limits.sockets, bool(file.control))
    return Config(
        name=file.name,
        listen=parse_address("listen", file.listen),
        discovery=parse_address("discovery", file.discovery),
        seed=seed,
        settings=settings,
        known=file.known,
        options=file.options,
        classes=_index_by_name([c.Name for c in names.Classes]),
        tenants=_index_by_name([t.Name for t in names.Tenants]),
        zones=_index_by_name(names.Zones),
        kinds=_index_by_name(names.Skus),
        endpoint_idle_ms=names.Limits.ConnIdleMs,
        connect_timeout_ms=names.Limits.ConnectTimeoutMs,
        limits=file.limits,
        resumes_streams=names.Specifics.Resume,
        stream_silence_ms=_stream_silence_ms(file.options, names.Specifics.Resume),
        probes_fetch_load=names.Stats.Via != "off",
        max_inbound=inbound,
        max_outbound=outbound,
        max_held_bytes=int(file.limits.memory_mb * 1024 * 1024 / 4),
        control=parse_address("control", file.control) if file.control else None,
    )


def _stream_silence_ms(options: Options, resumes: bool) -> float:
    """How long a stream may pause: less where its client can get the rest elsewhere."""
    default = RESUMED_SILENCE_MS if resumes else LOST_SILENCE_MS
    return default if options.stream_silence_ms is None else options.stream_silence_ms


def reserved_descriptors(control: bool) -> int:
    """Number of descriptors reserved from connections; `control`: whether there is a control listener."""
    return RESERVED_DESCRIPTORS + CONTROL_DESCRIPTORS * control


def split_connections(descriptors: int, control: bool) -> tuple[int, int]:
    """Split descriptors into the number of client connections and of endpoint connections.

    Each side gets half, so that neither can use up what the other needs, and 4 at least.
    """
    available = max(8, descriptors - reserved_descriptors(control))
    return available // 2, available - available // 2


def fit_descriptors(config: Config, allowed: int, held: int) -> Config:
    """Fit the connection limits to a process that may hold `allowed` descriptors and started with `held`.

    Raises ConfigError if too few remain.
    """
    usable = min(config.limits.sockets, allowed) - max(0, held - STARTUP_DESCRIPTORS)
    if usable < MIN_SOCKETS:
        raise TooFewDescriptors("limits.sockets", f"{usable} left, {MIN_SOCKETS} needed")
    inbound, outbound = split_connections(usable, config.control is not None)
    return replace(config, max_inbound=inbound, max_outbound=outbound)


def _locate(error: str) -> str:
    """Put the key first in msgspec's message: `settings.Classes[0].AimMs: Expected ...`."""
    in_settings = error.startswith("Params")  # the simulator's name for settings
    text, _, place = error.removeprefix("Params: ").partition(" - at `")
    place = place.rstrip("`").removeprefix("$").removeprefix(".")
    if text.startswith("Params."):
        place, _, text = text.removeprefix("Params.").partition(": ")
    elif text.startswith(MISSING_FIELD):
        place, text = f"{place}.{text[len(MISSING_FIELD) :].strip('`')}".removeprefix("."), "missing"
    if in_settings:
        place = f"settings.{place}".removesuffix(".")
    return f"{place or 'NODE_CONFIG'}: {text}"


def read(environment: Mapping[str, str] = os.environ) -> bytes:
    """The text of the file named in the environment; raises ConfigError if it can't be read."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set", remedy=FILE_REMEDY)
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"NODE_CONFIG: {path}: {error.strerror}", remedy=FILE_REMEDY) from error


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Load the configuration named in the environment."""
    config = parse(read(environment))
    if config.control is None and environment.get(CONTROL_VARIABLE):
        inbound, outbound = split_connections(config.limits.sockets, True)
        control = parse_address(CONTROL_VARIABLE, environment[CONTROL_VARIABLE])
        return replace(config, control=control, max_inbound=inbound, max_outbound=outbound)
    return config


def find_faults(raw: Any, expected: Any, place: str = "") -> list[ConfigError]:
    """All errors of decoded values against a Struct, each with its key."""
    table = _struct_of(expected)
    if table is None or not isinstance(raw, dict):
        try:
            msgspec.convert(raw, expected)
        except msgspec.ValidationError as error:
            text, _, inner = str(error).partition(" - at `$")
            return [ConfigError(f"{place}{inner.rstrip('`')}", text)]
        return []
    strict = table.__struct_config__.forbid_unknown_fields
    fields = {field.name: field for field in msgspec.structs.fields(table)}
    prefix = f"{place}." if place else ""
    faults = [ConfigError(prefix + name, "unknown key") for name in raw if strict and name not in fields]
    for name, field in fields.items():
        if name in raw:
            faults += find_faults(raw[name], field.type, prefix + name)
        elif field.required:
            faults.append(ConfigError(prefix + name, "missing"))
    return faults


def _struct_of(expected: Any) -> type[Struct] | None:
    """The Struct of a type, also of an optional one."""
    for candidate in get_args(expected) or (expected,):
        if isinstance(candidate, type) and issubclass(candidate, Struct):
            return candidate
    return None


def faults(text: bytes) -> list[ConfigError]:
    """All errors in a file's text; if its structure is valid, the first error of its values."""
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
