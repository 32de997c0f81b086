"""Reads and validates the operator's own file and fills in its defaults.

`SPOOLBARROW_OPERATOR` (or `serve --operator`) names a TOML file such as `deploy/operator.toml`. It sets what
the platform's configuration does not: subsystems of this program, each in a table of its own. A subsystem
without a table, or without a file, is off. Environment variables override single values
(`ENVIRONMENT_VARIABLES`).
"""

from __future__ import annotations

import ipaddress
import os
import tomllib
from collections.abc import Collection, Mapping
from datetime import datetime
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from spoolbarrow.config import ConfigError, find_faults, parse_address

FILE_VARIABLE = "SPOOLBARROW_OPERATOR"
ENVIRONMENT_VARIABLES = {
    "SPOOLBARROW_LOG_LEVEL": ("log", "level"),
    "SPOOLBARROW_LOG_FORMAT": ("log", "format"),
    "SPOOLBARROW_FLOWS_COLLECTORS": ("flows", "collectors"),  # separated by blanks
}
FILE_REMEDY = f"Set {FILE_VARIABLE} (or `--operator`) to a file that this user can read."
TOML_REMEDY = "Correct the named line: the file is TOML, like deploy/operator.toml."
LIST_KEYS = frozenset({("flows", "collectors")})

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
Unsigned32 = Annotated[int, Meta(ge=0, lt=1 << 32)]


class LogTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`: log level and format."""

    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    format: Annotated[str, Meta(pattern="^(json|text)$")] = "json"


class TlsTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[flows.tls]`: TLS credentials for sessions with collectors; the files are read again at SIGHUP."""

    ca: str  # PEM: CAs trusted to sign the collector's certificate
    certificate: str  # PEM: this exporter's own
    key: str  # PEM
    server_name: str = ""  # in the collector's certificate; empty: the host of its address


class FlowsTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[flows]`: export of flow records."""

    collectors: Annotated[list[str], Meta(min_length=1)]
    send_to: Annotated[str, Meta(pattern="^(all|first)$")] = "all"  # first: the others are standbys
    format: Annotated[str, Meta(pattern="^(ipfix|netflow9)$")] = "ipfix"
    active_timeout_ms: Positive = 60_000.0  # interval of records for a long connection
    idle_timeout_ms: Positive = 15_000.0  # a connection without traffic for so long is reported as idle
    template_refresh_ms: Positive = 60_000.0  # interval of resending templates and options over UDP
    flush_ms: Positive = 500.0  # longest wait of a record for others in its message
    mtu: Annotated[int, Meta(ge=512, le=65_535)] = 1400  # bytes of a message over UDP
    queue_records: PositiveInt = 20_000  # waiting records of each collector
    queue_bytes: Annotated[int, Meta(ge=65_536)] = 2 << 20
    sample_share: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of conversations, each sampled as a whole
    domain_id: Unsigned32 = 1
    enterprise: Annotated[int, Meta(ge=1, lt=1 << 32)] = 32_473  # RFC 5612: for documentation
    connect_timeout_ms: Positive = 2000.0
    write_timeout_ms: Positive = 5000.0  # a collector that accepts nothing for so long counts as lost
    retry_least_ms: Positive = 200.0  # first delay between attempts to reach a collector, doubled each time
    retry_most_ms: Positive = 30_000.0
    file_bytes: Annotated[int, Meta(ge=4096)] = 16 << 20  # an IPFIX file is closed at this size
    file_ms: Positive = 300_000.0  # or at this age
    file_keep: PositiveInt = 48  # number of files kept; the oldest are removed
    tls: TlsTable | None = None


class ShareTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[[shadow.shares]]`: a different share for a class, a tenant, or both."""

    share: Share
    cls: str = msgspec.field(default="", name="class")
    tenant: str = ""


class ShadowTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[shadow]`: which requests are copied to the candidate pool, and the limits of copying."""

    share: Share  # of sessions; 0 stops all copies
    candidates: list[str] = []  # IP:PORT
    candidate_type: str = ""  # engines of this type in discovery are candidates, and get no live requests
    candidate_group: Annotated[int, Meta(ge=-1)] = -1  # the same for this group; -1: none
    shares: list[ShareTable] = []
    classes: list[str] = []  # empty: all whose requests may be repeated
    not_classes: list[str] = []
    tenants: list[str] = []  # empty: all
    not_tenants: list[str] = []
    begin: datetime | None = None
    end: datetime | None = None
    salt: str = ""  # the same at every router: they then choose the same sessions
    header: Annotated[str, Meta(pattern="^[A-Za-z0-9-]+$")] = "X-Shadow"
    in_flight: PositiveInt = 8
    engine_in_flight: PositiveInt = 4
    requests_per_s: Positive = 10.0
    prompt_tokens_per_s: Positive = 100_000.0
    answer_tokens_per_s: Positive = 10_000.0
    held_bytes: PositiveInt = 1 << 20
    answer_bytes: PositiveInt = 1 << 20  # a longer response of a candidate is cut off
    deadline_ms: Positive = 15_000.0
    slow_first_ms: Positive = 5_000.0
    bad_copies: PositiveInt = 5
    open_ms: Positive = 2_000.0
    most_open_ms: Positive = 60_000.0
    directory: str = ""  # for the pairs; empty: none are kept
    file_bytes: Annotated[int, Meta(ge=4096)] = 16 << 20
    file_ms: Positive = 300_000.0
    file_keep: PositiveInt = 48
    key_file: str = ""  # key of the digests; empty: a random key for this run
    text_for: list[str] = []  # tenants whose response text may be stored


class DoorTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[door]`: admission by fair shares, retry budgets, scheduled retries."""

    client_header: Annotated[str, Meta(pattern="^[A-Za-z0-9-]*$")] = ""  # header that names a tenant's client
    address_bits: Annotated[int, Meta(ge=1, le=32)] = 32  # IPv4 prefix length, if the header is missing
    weights: dict[str, Positive] = {}  # by tenant; for others: quota or portion
    retry_share: Share = 0.1  # of first attempts, while the fleet is nearly full
    retry_window_ms: Positive = 10_000.0
    promised_share: Share = 0.5  # of the capacity, for callers that return at their scheduled time
    slot_ms: Positive = 50.0
    grace_ms: Positive = 500.0  # how late such a caller may come
    most_callers: PositiveInt = 2000  # callers with a scheduled time
    tickets: bool = False  # given to callers without a session
    heavy_clients: PositiveInt = 256  # clients with counters of their own
    bucket_width: Annotated[int, Meta(ge=1, le=65_536)] = 128  # buckets in each of four rows
    max_wait_ms: Annotated[float, Meta(ge=0)] = 0.0  # 0: requests don't wait
    most_waiting: PositiveInt = 256


class FailoverTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[failover]`: health of zones and regions (docs/operators/failover.md); times in milliseconds."""

    regions: dict[str, Annotated[list[str], Meta(min_length=1)]] = {}  # zones by region
    window_ms: Positive = 2000.0
    confirm_ms: Positive = 1000.0
    hold_ms: Positive = 2000.0
    hold_most_ms: Positive = 30000.0
    ramp_ms: Positive = 5000.0
    ramp_start: Share = 0.1
    fail_share: Annotated[float, Meta(gt=0, le=1)] = 0.5
    min_failing: PositiveInt = 2
    check_ms: Positive = 500.0  # interval of checks of a suspected or failed zone
    check_timeout_ms: Positive = 1000.0  # time-out of each check
    check_most: PositiveInt = 3  # endpoints of a zone checked at a time
    period_ms: Annotated[float, Meta(ge=10)] = 100.0  # interval of evaluating the evidence


class AgreeTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[agree]`: versions of shared settings across routers (docs/operators/agreement.md)."""

    revision: Annotated[int, Meta(ge=1)]  # of both files: increased with each change
    within_s: Positive = 10.0  # how long routers may disagree
    period_ms: Annotated[float, Meta(ge=10)] = 500.0  # interval of checking the list


class FleetTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: the store's members, and the decisions made fleet-wide (docs/operators/fleet.md)."""

    members: Annotated[list[str], Meta(min_length=1, max_length=9)]  # HOST:PORT of their control listeners
    parts: list[str] = []  # names of fleet-wide decisions: FLEET_PARTS
    within_s: Positive = 10.0  # without news for longer, the safer of the two known versions applies
    ttl_s: Positive = 10.0  # lifetime of a decision without renewal; a lease lives half as long
    period_ms: Annotated[float, Meta(ge=50)] = 1000.0  # interval of polling the store
    evidence_ms: Annotated[float, Meta(ge=50)] = 5000.0  # interval of writing summaries
    call_ms: Annotated[float, Meta(ge=50)] = 1000.0  # time-out of a member's whole response
    only_read: list[str] = []  # engine types that only prefill: the split lists them and moves none
    only_write: list[str] = []


FLEET_PARTS = {  # module and class by name, imported if it is on
    "roll": "spoolbarrow.fleet.membership:Membership",
    "pools": "spoolbarrow.net.pool_split:PoolSplit",
}


def fleet_faults(table: FleetTable) -> list[ConfigError]:
    """All errors in `[fleet]`, each with its key."""
    faults = []
    for n, text in enumerate(table.members):
        try:
            parse_address(f"fleet.members[{n}]", text)
        except ConfigError as error:
            faults.append(error)
        if text in table.members[:n]:
            faults.append(ConfigError(f"fleet.members[{n}]", f"{text} is named twice"))
    for n, name in enumerate(table.parts):
        if name not in FLEET_PARTS or name in table.parts[:n]:
            reason = f"{name!r} is none of {', '.join(FLEET_PARTS)}, or named twice"
            faults.append(ConfigError(f"fleet.parts[{n}]", reason))
    for n, name in enumerate(table.only_write):
        if name in table.only_read:
            faults.append(ConfigError(f"fleet.only_write[{n}]", f"{name!r} is also in fleet.only_read"))
    if table.ttl_s * 1000 < 8 * table.period_ms:
        reason = "less than eight times fleet.period_ms: leases would expire between polls"
        faults.append(ConfigError("fleet.ttl_s", reason))
    return faults


class Operator(Struct, forbid_unknown_fields=True, frozen=True):
    """The operator's whole file."""

    log: LogTable = LogTable()
    flows: FlowsTable | None = None
    shadow: ShadowTable | None = None
    door: DoorTable | None = None
    failover: FailoverTable | None = None
    agree: AgreeTable | None = None
    fleet: FleetTable | None = None


class Collector(Struct, frozen=True):
    """A destination of flow records: `kind` is udp, tcp or tls with an address, or file with a directory."""

    kind: str
    host: str = ""
    port: int = 0
    directory: str = ""

    def __str__(self) -> str:
        """As written in the operator's file."""
        if self.kind == "file":
            return f"file:{self.directory}"
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{self.kind}://{host}:{self.port}"


def index_of(names: Mapping[str, int], name: str, key: str) -> int:
    """The index of a tenant or class by its name; raises ConfigError with the key if there is none."""
    if name not in names:
        raise ConfigError(f"{key}: {name!r} is none of {', '.join(names)}")
    return names[name]


def parse_collector(key: str, text: str) -> Collector:
    """Parse a collector; raises ConfigError if the text is invalid.

    Hosts must be IP addresses: resolving a name could block the program, and may be impossible.
    """
    if text.startswith("file:") and len(text) > len("file:"):
        return Collector("file", directory=text.removeprefix("file:"))
    kind, separator, place = text.partition("://")
    host, _, port = place.rpartition(":")
    unbracketed = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ip = ipaddress.ip_address(unbracketed)
    except ValueError:
        ip = None
    valid_port = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    if kind not in ("udp", "tcp", "tls") or not separator or ip is None or not valid_port:
        expected = "udp://IP:PORT, tcp://IP:PORT, tls://IP:PORT or file:DIRECTORY"
        raise ConfigError(f"{key}: {text!r} is not {expected}")
    return Collector(kind, str(ip), int(port))


def parse_collectors(flows: FlowsTable) -> list[Collector]:
    """The collectors of a table, in its order; raises ConfigError with the key at fault."""
    parsed = [parse_collector(f"flows.collectors[{n}]", text) for n, text in enumerate(flows.collectors)]
    for n, collector in enumerate(parsed):
        if collector in parsed[:n]:
            raise ConfigError(f"flows.collectors[{n}]: {collector} is named twice")
        if collector.kind == "tls" and flows.tls is None:
            raise ConfigError(f"flows.tls: missing, but {collector} needs it")
        if flows.format == "netflow9" and collector.kind != "udp":
            raise ConfigError(f"flows.collectors[{n}]: netflow9 works over udp only")
    if flows.retry_most_ms < flows.retry_least_ms:
        raise ConfigError("flows.retry_most_ms: less than flows.retry_least_ms")
    return parsed


def zone_faults(table: FailoverTable, zones: Collection[str]) -> list[ConfigError]:
    """One error for each zone in `[failover]` that the platform's settings lack, with its key."""
    return [
        ConfigError(f"failover.regions.{region}", f"{zone} is no zone of the settings")
        for region, members in table.regions.items()
        for zone in members
        if zone not in zones
    ]


def read(environment: Mapping[str, str] = os.environ) -> tuple[Operator, list[ConfigError]]:
    """The operator's settings and all errors in them; with errors, the settings are the defaults."""
    raw: dict[str, Any] = {}
    path = environment.get(FILE_VARIABLE)
    if path:
        try:
            raw = tomllib.loads(Path(path).read_text("utf-8"))
        except OSError as error:
            return Operator(), [ConfigError(FILE_VARIABLE, f"{path}: {error.strerror}", FILE_REMEDY)]
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return Operator(), [ConfigError(FILE_VARIABLE, f"{path}: {error}", TOML_REMEDY)]
    for variable, (table, key) in ENVIRONMENT_VARIABLES.items():
        if (value := environment.get(variable)) is not None:
            inner = raw.setdefault(table, {})
            if isinstance(inner, dict):
                inner[key] = value.split() if (table, key) in LIST_KEYS else value
    faults = find_faults(raw, Operator)
    if faults:
        return Operator(), faults
    operator = msgspec.convert(raw, Operator)
    try:
        if operator.flows is not None:
            parse_collectors(operator.flows)
        if operator.failover is not None and operator.failover.hold_most_ms < operator.failover.hold_ms:
            raise ConfigError("failover.hold_most_ms: less than failover.hold_ms")
        if operator.fleet is not None and (faults := fleet_faults(operator.fleet)):
            return Operator(), faults
    except ConfigError as error:
        return Operator(), [error]
    return operator, []


def load(environment: Mapping[str, str] = os.environ) -> Operator:
    """The operator's settings; raises ConfigError if they are invalid."""
    operator, faults = read(environment)
    if len(faults) > 1:
        raise ConfigError("; ".join(map(str, faults)))
    if faults:
        raise faults[0]
    return operator


def is_configured(environment: Mapping[str, str] = os.environ) -> bool:
    """Whether the operator's file or an environment variable sets anything."""
    return bool(environment.get(FILE_VARIABLE)) or any(name in environment for name in ENVIRONMENT_VARIABLES)
