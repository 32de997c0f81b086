"""The operator's own file: the one place where it is read, checked and given defaults.

`SPOOLBARROW_OPERATOR` (or `serve --operator`) names a TOML file such as `deploy/operator.toml`. It sets what
the platform's configuration does not: subsystems of this program, each in a table of its own. Without a file,
and without a table, its subsystem is off. Environment variables override single values (`ENVIRONMENT`).
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
ENVIRONMENT = {
    "SPOOLBARROW_LOG_LEVEL": ("log", "level"),
    "SPOOLBARROW_LOG_FORMAT": ("log", "format"),
    "SPOOLBARROW_FLOWS_COLLECTORS": ("flows", "collectors"),  # separated by blanks
}
NAME_A_FILE = f"Have {FILE_VARIABLE} (or `--operator`) name a file that this user can read."
WRITE_TOML = "Put the line that is named right: the file is TOML, as deploy/operator.toml."
LISTS = frozenset({("flows", "collectors")})

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Whole = Annotated[int, Meta(ge=1)]
Unsigned32 = Annotated[int, Meta(ge=0, lt=1 << 32)]


class LogTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`: what is written, and in which form."""

    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    format: Annotated[str, Meta(pattern="^(json|text)$")] = "json"


class TlsTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[flows.tls]`: what a TLS session with a collector needs; files are read again at SIGHUP."""

    ca: str  # PEM: who may have signed the collector's certificate
    certificate: str  # PEM: this exporter's own
    key: str  # PEM
    server_name: str = ""  # in the collector's certificate; empty: the host of its address


class FlowsTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[flows]`: flow records and where they go."""

    collectors: Annotated[list[str], Meta(min_length=1)]
    send_to: Annotated[str, Meta(pattern="^(all|first)$")] = "all"  # first: the others stand by
    format: Annotated[str, Meta(pattern="^(ipfix|netflow9)$")] = "ipfix"
    active_timeout_ms: Positive = 60_000.0  # a connection that lasts is told of so often
    idle_timeout_ms: Positive = 15_000.0  # one over which nothing passed for so long is told of as idle
    template_refresh_ms: Positive = 60_000.0  # over UDP, templates and options are sent again so often
    flush_ms: Positive = 500.0  # a record waits so long at most for others to go with it
    mtu: Annotated[int, Meta(ge=512, le=65_535)] = 1400  # bytes of a message over UDP
    queue_records: Whole = 20_000  # waiting for a collector, each
    queue_bytes: Annotated[int, Meta(ge=65_536)] = 2 << 20
    sample_share: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of conversations, each whole
    domain_id: Unsigned32 = 1
    enterprise: Annotated[int, Meta(ge=1, lt=1 << 32)] = 32_473  # RFC 5612: for documentation
    connect_timeout_ms: Positive = 2000.0
    write_timeout_ms: Positive = 5000.0  # a collector that takes nothing so long has fallen behind
    retry_least_ms: Positive = 200.0  # between attempts to reach a collector, doubled each time
    retry_most_ms: Positive = 30_000.0
    file_bytes: Annotated[int, Meta(ge=4096)] = 16 << 20  # an IPFIX file is closed at this size
    file_ms: Positive = 300_000.0  # or at this age
    file_keep: Whole = 48  # and the oldest of more files removed
    tls: TlsTable | None = None


class ShareTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[[shadow.shares]]`: another share for a class, a tenant, or both."""

    share: Share
    cls: str = msgspec.field(default="", name="class")
    tenant: str = ""


class ShadowTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[shadow]`: what is copied to the candidate pool, and how much at most."""

    share: Share  # of sessions; 0 ends every copy
    candidates: list[str] = []  # IP:PORT
    candidate_type: str = ""  # engines of this type in discovery are candidates, and serve nothing live
    candidate_group: Annotated[int, Meta(ge=-1)] = -1  # likewise those of this group; -1: none
    shares: list[ShareTable] = []
    classes: list[str] = []  # none: all that may be repeated
    not_classes: list[str] = []
    tenants: list[str] = []  # none: all
    not_tenants: list[str] = []
    begin: datetime | None = None
    end: datetime | None = None
    salt: str = ""  # the same at every router: they then choose alike
    header: Annotated[str, Meta(pattern="^[A-Za-z0-9-]+$")] = "X-Shadow"
    in_flight: Whole = 8
    engine_in_flight: Whole = 4
    requests_per_s: Positive = 10.0
    prompt_tokens_per_s: Positive = 100_000.0
    answer_tokens_per_s: Positive = 10_000.0
    held_bytes: Whole = 1 << 20
    answer_bytes: Whole = 1 << 20  # a longer answer of a candidate is cut off
    deadline_ms: Positive = 15_000.0
    slow_first_ms: Positive = 5_000.0
    bad_copies: Whole = 5
    open_ms: Positive = 2_000.0
    most_open_ms: Positive = 60_000.0
    directory: str = ""  # of the pairs; none: nothing is kept
    file_bytes: Annotated[int, Meta(ge=4096)] = 16 << 20
    file_ms: Positive = 300_000.0
    file_keep: Whole = 48
    key_file: str = ""  # of the digests; none: a key for this run alone
    text_for: list[str] = []  # tenants whose answers' text may be kept


class DoorTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[door]`: shares at the front door, retries, come-back times."""

    client_header: Annotated[str, Meta(pattern="^[A-Za-z0-9-]*$")] = ""  # names a tenant's client
    address_bits: Annotated[int, Meta(ge=1, le=32)] = 32  # of an IPv4 address, where the header does not
    weights: dict[str, Positive] = {}  # by tenant; of one not named: its quota or portion
    retry_share: Share = 0.1  # of first tries, while the fleet is nearly full
    retry_window_ms: Positive = 10_000.0
    promised_share: Share = 0.5  # of the capacity, to callers who come at their time
    slot_ms: Positive = 50.0
    grace_ms: Positive = 500.0  # a caller may come so late
    most_callers: Whole = 2000  # with a time to come back at
    tickets: bool = False  # shown to callers without a session
    heavy_clients: Whole = 256  # with accounts of their own
    bucket_width: Annotated[int, Meta(ge=1, le=65_536)] = 128  # of four rows
    max_wait_ms: Annotated[float, Meta(ge=0)] = 0.0  # 0: nobody waits
    most_waiting: Whole = 256


class FailoverTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[failover]`: verdicts on zones and regions (docs/operators/failover.md); times in milliseconds."""

    regions: dict[str, Annotated[list[str], Meta(min_length=1)]] = {}  # region: its zones
    window_ms: Positive = 2000.0
    confirm_ms: Positive = 1000.0
    hold_ms: Positive = 2000.0
    hold_most_ms: Positive = 30000.0
    ramp_ms: Positive = 5000.0
    ramp_start: Share = 0.1
    fail_share: Annotated[float, Meta(gt=0, le=1)] = 0.5
    min_failing: Whole = 2
    check_ms: Positive = 500.0  # a zone in doubt, or failed, is asked so often
    check_timeout_ms: Positive = 1000.0  # and each of its endpoints waited for so long
    check_most: Whole = 3  # endpoints of a zone asked at a time
    period_ms: Annotated[float, Meta(ge=10)] = 100.0  # how often the evidence is weighed


class AgreeTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[agree]`: versions of what routers share (docs/operators/agreement.md)."""

    revision: Annotated[int, Meta(ge=1)]  # of both files: higher with each change
    within_s: Positive = 10.0  # routers may contradict each other so long
    period_ms: Annotated[float, Meta(ge=10)] = 500.0  # how often the list is looked at


class FleetTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: the store's members, and what is decided in common (docs/operators/fleet.md)."""

    members: Annotated[list[str], Meta(min_length=1, max_length=9)]  # HOST:PORT of their control listeners
    parts: list[str] = []  # what is decided for all, by name: FLEET_PARTS
    within_s: Positive = 10.0  # past this without word, the safer of the two versions known
    ttl_s: Positive = 10.0  # of a decision without word; a lease lives half as long
    period_ms: Annotated[float, Meta(ge=50)] = 1000.0  # how often the store is asked
    evidence_ms: Annotated[float, Meta(ge=50)] = 5000.0  # how often summaries are written
    call_ms: Annotated[float, Meta(ge=50)] = 1000.0  # a member's whole answer must have come by then
    only_read: list[str] = []  # engine types that can do nothing else: the split names them, and moves none
    only_write: list[str] = []


FLEET_PARTS = {  # by name: module and class, loaded where it is on
    "roll": "spoolbarrow.fleet.membership:Membership",
    "pools": "spoolbarrow.net.pool_split:PoolSplit",
}


def fleet_faults(table: FleetTable) -> list[ConfigError]:
    """What `[fleet]` says that can't be: each fault with its key."""
    found = []
    for n, text in enumerate(table.members):
        try:
            parse_address(f"fleet.members[{n}]", text)
        except ConfigError as error:
            found.append(error)
        if text in table.members[:n]:
            found.append(ConfigError(f"fleet.members[{n}]", f"{text} is named twice"))
    for n, name in enumerate(table.parts):
        if name not in FLEET_PARTS or name in table.parts[:n]:
            why = f"{name!r} is none of {', '.join(FLEET_PARTS)}, or named twice"
            found.append(ConfigError(f"fleet.parts[{n}]", why))
    for n, name in enumerate(table.only_write):
        if name in table.only_read:
            found.append(ConfigError(f"fleet.only_write[{n}]", f"{name!r} stands in fleet.only_read, too"))
    if table.ttl_s * 1000 < 8 * table.period_ms:
        why = "less than eight times fleet.period_ms: leases would end between looks"
        found.append(ConfigError("fleet.ttl_s", why))
    return found


class Operator(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    log: LogTable = LogTable()
    flows: FlowsTable | None = None
    shadow: ShadowTable | None = None
    door: DoorTable | None = None
    failover: FailoverTable | None = None
    agree: AgreeTable | None = None
    fleet: FleetTable | None = None


class Collector(Struct, frozen=True):
    """Where flow records go: `kind` is udp, tcp or tls with an address, or file with a directory."""

    kind: str
    host: str = ""
    port: int = 0
    directory: str = ""

    def __str__(self) -> str:
        """As the file names it."""
        if self.kind == "file":
            return f"file:{self.directory}"
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{self.kind}://{host}:{self.port}"


def index_of(names: Mapping[str, int], name: str, key: str) -> int:
    """A tenant's or class's number by its name; ConfigError, naming the key, where there is none of it."""
    if name not in names:
        raise ConfigError(f"{key}: {name!r} is none of {', '.join(names)}")
    return names[name]


def parse_collector(key: str, text: str) -> Collector:
    """The collector that a text names; ConfigError where it names none.

    Addresses are numbers: to look a name up could hold the program up, and may not be possible.
    """
    if text.startswith("file:") and len(text) > len("file:"):
        return Collector("file", directory=text.removeprefix("file:"))
    kind, mark, place = text.partition("://")
    host, _, port = place.rpartition(":")
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ip = ipaddress.ip_address(bare)
    except ValueError:
        ip = None
    listens = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    if kind not in ("udp", "tcp", "tls") or not mark or ip is None or not listens:
        form = "udp://IP:PORT, tcp://IP:PORT, tls://IP:PORT or file:DIRECTORY"
        raise ConfigError(f"{key}: {text!r} is not {form}")
    return Collector(kind, str(ip), int(port))


def parse_collectors(flows: FlowsTable) -> list[Collector]:
    """The collectors of a table, in its order; ConfigError names the one at fault."""
    found = [parse_collector(f"flows.collectors[{n}]", text) for n, text in enumerate(flows.collectors)]
    for n, one in enumerate(found):
        if one in found[:n]:
            raise ConfigError(f"flows.collectors[{n}]: {one} is named twice")
        if one.kind == "tls" and flows.tls is None:
            raise ConfigError(f"flows.tls: missing, but {one} needs it")
        if flows.format == "netflow9" and one.kind != "udp":
            raise ConfigError(f"flows.collectors[{n}]: netflow9 goes over udp only")
    if flows.retry_most_ms < flows.retry_least_ms:
        raise ConfigError("flows.retry_most_ms: less than flows.retry_least_ms")
    return found


def zone_faults(table: FailoverTable, zones: Collection[str]) -> list[ConfigError]:
    """What `[failover]` names that the platform's settings do not have: one fault a zone, with its key."""
    return [
        ConfigError(f"failover.regions.{region}", f"{zone} is no zone of the settings")
        for region, members in table.regions.items()
        for zone in members
        if zone not in zones
    ]


def read(environment: Mapping[str, str] = os.environ) -> tuple[Operator, list[ConfigError]]:
    """The operator's settings and all faults in them; with a fault, the settings are the defaults."""
    raw: dict[str, Any] = {}
    path = environment.get(FILE_VARIABLE)
    if path:
        try:
            raw = tomllib.loads(Path(path).read_text("utf-8"))
        except OSError as error:
            return Operator(), [ConfigError(FILE_VARIABLE, f"{path}: {error.strerror}", NAME_A_FILE)]
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return Operator(), [ConfigError(FILE_VARIABLE, f"{path}: {error}", WRITE_TOML)]
    for variable, (table, key) in ENVIRONMENT.items():
        if (told := environment.get(variable)) is not None:
            inner = raw.setdefault(table, {})
            if isinstance(inner, dict):
                inner[key] = told.split() if (table, key) in LISTS else told
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
    """The operator's settings; ConfigError where they can't be used."""
    operator, faults = read(environment)
    if len(faults) > 1:
        raise ConfigError("; ".join(map(str, faults)))
    if faults:
        raise faults[0]
    return operator


def named(environment: Mapping[str, str] = os.environ) -> bool:
    """Whether there is anything of the operator's to read."""
    return bool(environment.get(FILE_VARIABLE)) or any(name in environment for name in ENVIRONMENT)
