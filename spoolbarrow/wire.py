"""Codec between the simulator's wire protocol (glacier-0731) and spoolbarrow.interface.

A line is decoded as a whole, then each message by its `type`, so that errors name the place of an unknown
event type, a missing field or a wrong value. Unknown fields are ignored.
"""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Struct

from spoolbarrow import interface as i
from spoolbarrow.errors import Problem

OUTCOMES = {
    "S": i.Outcome.SERVED,
    "E": i.Outcome.ERROR,
    "F": i.Outcome.FULL,
    "T": i.Outcome.TIMEOUT,
    "C": i.Outcome.UNREACHABLE,
    "R": i.Outcome.RESET,
    "X": i.Outcome.CANCELLED,
    "N": i.Outcome.MOOT,
}
EFFECTS = {"retryable": i.Effect.SAFE, "dedup": i.Effect.KEYED, "fragile": i.Effect.UNSAFE}
GROUPS = {"all": i.Group.ALL, "zone": i.Group.ZONE, "cell": i.Group.CELL}
STATES = {
    "in_service": i.ReplicaState.SERVING,
    "terminating": i.ReplicaState.DRAINING,
    "terminated": i.ReplicaState.GONE,
}
LIST_KINDS = {
    "update": i.ListKind.CHANGES,
    "replace": i.ListKind.WHOLE,
    "restored": i.ListKind.RESTORED,
    "unavailable": i.ListKind.FAILED,
}
T = TypeVar("T")
RESUMED_BIT = 16
TOKENS_PER_THOUSAND = 1000.0


class WireError(Problem, ValueError):
    """A line does not follow the simulator's wire protocol."""

    where = "the invalid part of the line"
    remedy = "Send lines as the simulator's page describes them, each a complete JSON value."


class Enlist(Struct, tag_field="type"):
    """A router starts."""

    RandomSeed: int
    Params: dict[str, Any]


class Retire(Struct, tag_field="type"):
    """A router was killed."""


class Entry(Struct):
    Engine: str
    Status: str
    Area: int = 0
    Type: int = 0
    Block: int = 0
    Nominal: float = 1.0
    StartedAtMs: float = 0.0


class View(Struct, tag_field="type"):
    How: str
    MembersList: list[Entry] = []


class Ingress(Struct, tag_field="type"):
    Xid: str
    Kind: int
    BudgetMs: float
    Org: int = 0
    PromptTokens: int = 0
    SharedLen: int = 0
    OutputCap: int = 0
    Bits: int = 0
    PartitionKey: str = "0"
    PrefixId: str = "0"


class Finished(Struct, tag_field="type"):
    Xid: str
    Engine: str
    Result: str
    SendNo: int = 0
    Last: bool = False
    LagMs: float = 0.0
    Note: int = 0
    Stats: dict[str, float] | None = None


class Health(Struct, tag_field="type"):
    Engine: str
    Result: str
    LagMs: float = 0.0
    Stats: dict[str, float] | None = None


class Headers(Struct, tag_field="type"):
    Xid: str
    Engine: str
    SendNo: int = 0
    LagMs: float = 0.0


class Vanished(Struct, tag_field="type"):
    Xid: str


class Due(Struct, tag_field="type"):
    Nonce: str


class NoteFrom(Struct, tag_field="type"):
    """A message from another router; decoded and ignored, since routers do not exchange messages."""

    Src: int = 0
    Msg: str = ""


Message = Enlist | Retire | View | Ingress | Finished | Health | Headers | Vanished | Due | NoteFrom


class NodeBatch(Struct):
    Node: str
    msgs: list[Message] = []


class Batch(Struct):
    TimeMs: float
    serial: int
    nodes: list[NodeBatch] = []


_decoder = msgspec.json.Decoder(Batch)
_encoder = msgspec.json.Encoder()


def decode_batch(line: bytes) -> Batch:
    """Decode a line; WireError says what is malformed and where."""
    try:
        return _decoder.decode(line)
    except msgspec.DecodeError as error:
        raise WireError(str(error)) from error


def encode_reply(serial: int, outputs: list[dict[str, Any]]) -> bytes:
    """Encode a reply line, including its newline."""
    return _encoder.encode({"serial": serial, "nodes": outputs}) + b"\n"


def _lookup(table: dict[str, T], value: str, place: str) -> T:
    try:
        return table[value]
    except KeyError:
        raise WireError(f"{place}: unknown value {value!r}") from None


def _hex_key(text: str, place: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise WireError(f"{place}: {text!r} is not hex") from None


def decode_load_report(stats: dict[str, float] | None) -> i.Report | None:
    """Decode a load report; statistics without a use here are left out."""
    if not stats:
        return None
    get = stats.get
    unread_thousands = get("x1")
    return i.Report(
        memory_share=get("x0", -1.0),
        unread_tokens=-1.0 if unread_thousands is None else unread_thousands * TOKENS_PER_THOUSAND,
        queued=get("depth", -1.0),
        busy_share=get("load_share", -1.0),
    )


def decode_event(message: Message) -> i.Event | None:
    """The event for a wire message; None for messages that need no decision."""
    kind = type(message)
    if kind is Ingress:
        assert isinstance(message, Ingress)
        return i.RequestArrived(
            message.Xid,
            message.Kind,
            message.BudgetMs,
            message.Org,
            message.PromptTokens,
            message.SharedLen,
            message.OutputCap,
            _hex_key(message.PartitionKey, "PartitionKey"),
            _hex_key(message.PrefixId, "PrefixId"),
            bool(message.Bits & RESUMED_BIT),
        )
    if kind is Health:
        assert isinstance(message, Health)
        outcome = _lookup(OUTCOMES, message.Result, "Health.Result")
        return i.ProbeAnswered(message.Engine, outcome, message.LagMs, decode_load_report(message.Stats))
    if kind is Finished:
        assert isinstance(message, Finished)
        return i.AttemptEnded(
            message.Xid,
            message.SendNo,
            message.Engine,
            _lookup(OUTCOMES, message.Result, "Finished.Result"),
            message.Last,
            message.LagMs,
            message.Note,
            decode_load_report(message.Stats),
        )
    if kind is Headers:
        assert isinstance(message, Headers)
        return i.StreamStarted(message.Xid, message.SendNo, message.Engine, message.LagMs)
    if kind is Due:
        assert isinstance(message, Due)
        return i.TimerFired(message.Nonce)
    if kind is Vanished:
        assert isinstance(message, Vanished)
        return i.RequestGone(message.Xid)
    if kind is View:
        assert isinstance(message, View)
        entries = tuple(
            i.ReplicaEntry(
                e.Engine,
                e.Area,
                e.Type,
                e.Block,
                _lookup(STATES, e.Status, "View.MembersList.Status"),
                e.Nominal,
                e.StartedAtMs,
            )
            for e in message.MembersList
        )
        return i.ReplicaList(_lookup(LIST_KINDS, message.How, "View.How"), entries)
    return None


def encode_action(action: i.Action) -> dict[str, Any]:
    """Encode an action for the wire."""
    kind = type(action)
    if kind is i.Send:
        assert isinstance(action, i.Send)
        return {
            "type": "Relay",
            "Xid": action.request,
            "Engine": action.replica,
            "MaxWaitMs": action.max_wait_ms,
        }
    if kind is i.SetTimer:
        assert isinstance(action, i.SetTimer)
        return {"type": "SetAlarm", "FromNowMs": action.in_ms, "Nonce": action.token}
    if kind is i.Probe:
        assert isinstance(action, i.Probe)
        return {"type": "Inspect", "Engine": action.replica}
    if kind is i.Refuse:
        assert isinstance(action, i.Refuse)
        return {"type": "Reject", "Xid": action.request, "RetryInMs": action.retry_after_ms}
    if kind is i.Fail:
        assert isinstance(action, i.Fail)
        return {"type": "RespondError", "Xid": action.request}
    if kind is i.Cancel:
        assert isinstance(action, i.Cancel)
        return {"type": "StopAttempt", "Xid": action.request, "SendNo": action.attempt}
    return {"type": "Listen", "Want": True}


class _Class(Struct):
    AimMs: float
    DeadlineMs: float
    Importance: float = 1.0
    Effect: str = "fragile"  # if missing: the most cautious value
    Group: str = "all"
    RepeatWindowMs: float = 0.0
    LateShare: float = 0.0
    Stream: bool = False
    Name: str = ""


class _Tenant(Struct):
    Portion: float = 1.0
    QuotaPerS: float = 0.0
    Name: str = ""


class _Limits(Struct):
    Cancelling: bool = False
    MaxAttempts: int = 1
    MaxOpen: int = 10_000
    MaxRetryAfterMs: float = 1000.0
    Probing: bool = False
    RetryAfter: bool = False
    SecondCopies: bool = False


class _Invariants(Struct):
    ColdFrom: float = 0.2
    ColdMs: float = 10_000.0
    DrainGraceMs: float = 0.0
    MustAskInMs: float = 0.0
    OverloadFactor: float = 3.0
    TipAfterMs: float = 2000.0


_Fee = Annotated[float, msgspec.Meta(ge=0.0)]  # points of the result; a missing price counts as 0


class _Fees(Struct):  # the decisions use two of these; the other routing fees are only validated
    Connection: _Fee = 0.0
    CrossZone: _Fee = 0.0
    Discovery: _Fee = 0.0
    Handshake: _Fee = 0.0
    Probe: _Fee = 0.0
    Waste: _Fee = 0.0


class _Specifics(Struct):
    AimUsPer1000PromptTokens: list[float] = []
    TokenAimMs: list[float] = []


class _Params(Struct):
    Balancers: int
    Classes: list[_Class]
    Me: int = 0
    MyZone: int = 0
    Zones: list[str] = []
    Tenants: list[_Tenant] = []
    Discovery: str = "subscribe"
    TickMs: float = 1.0
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Invariants: _Invariants = msgspec.field(default_factory=_Invariants)
    Fees: _Fees = msgspec.field(default_factory=_Fees)
    Specifics: _Specifics = msgspec.field(default_factory=_Specifics)


US_PER_1000_TO_MS_PER_TOKEN = 1e-6


def decode_settings(raw: dict[str, Any]) -> i.Settings:
    """Decode settings; a missing key gets its most cautious value, an unknown one is ignored."""
    try:
        params = msgspec.convert(raw, _Params)
    except msgspec.ValidationError as error:
        raise WireError(f"Params: {error}") from error
    us_per_1000 = params.Specifics.AimUsPer1000PromptTokens
    token_objectives_ms = params.Specifics.TokenAimMs
    classes = tuple(
        i.RequestClass(
            aim_ms=c.AimMs,
            deadline_ms=c.DeadlineMs,
            worth=c.Importance,
            effect=_lookup(EFFECTS, c.Effect, "Params.Classes.Effect"),
            group=_lookup(GROUPS, c.Group, "Params.Classes.Group"),
            window_ms=c.RepeatWindowMs,
            late_share=c.LateShare,
            stream=c.Stream,
            aim_ms_per_token=us_per_1000[n] * US_PER_1000_TO_MS_PER_TOKEN if n < len(us_per_1000) else 0.0,
            token_aim_ms=token_objectives_ms[n] if n < len(token_objectives_ms) else 0.0,
            name=c.Name,
        )
        for n, c in enumerate(params.Classes)
    )
    return i.Settings(
        nodes=params.Balancers,
        classes=classes,
        tenants=tuple(i.Tenant(t.Portion, t.QuotaPerS, t.Name) for t in params.Tenants),
        node=params.Me,
        zone=params.MyZone,
        zones=max(1, len(params.Zones)),
        zone_names=tuple(params.Zones),
        subscribe=params.Discovery != "automatic",
        probing=params.Limits.Probing,
        cancelling=params.Limits.Cancelling,
        second_copies=params.Limits.SecondCopies,
        retry_after=params.Limits.RetryAfter,
        max_attempts=params.Limits.MaxAttempts,
        max_open=params.Limits.MaxOpen,
        max_retry_after_ms=params.Limits.MaxRetryAfterMs,
        drain_grace_ms=params.Invariants.DrainGraceMs,
        must_ask_ms=max(0.0, params.Invariants.MustAskInMs),
        cold_from=params.Invariants.ColdFrom,
        cold_ms=params.Invariants.ColdMs,
        overload_factor=params.Invariants.OverloadFactor,
        tip_after_ms=params.Invariants.TipAfterMs,
        cross_zone_fee=params.Fees.CrossZone,
        waste_fee=params.Fees.Waste,
        tick_ms=params.TickMs,
    )
