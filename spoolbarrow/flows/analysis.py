"""Analyses flow records: rows with names, rankings over a time span, differences from the log. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from spoolbarrow.flows.decode import Message
from spoolbarrow.flows.elements import (
    CONNECTION_TEMPLATE,
    END_REASONS,
    NAMED_KINDS,
    NO_EVENT_MS,
    OUTCOMES,
    REQUEST_TEMPLATE,
)

Row = dict[str, Any]
ROW_KINDS = (CONNECTION_TEMPLATE.name, REQUEST_TEMPLATE.name)
RANK_KEYS = ("tenant", "class", "engine", "address")
MAX_SKEW_MS = 5000.0  # at most, between a log line and the record of the same request
TOLERANCE_MS = 1  # both sides round


class NameTable:
    """Names of the numbers in flow records, by exporter and observation domain."""

    def __init__(self) -> None:
        self._names: dict[tuple[str, int, int, int], str] = {}

    def learn(self, exporter: str, domain: int, values: Row) -> None:
        """Store the name in a record of the name template."""
        kind, index = values["routerNamedKind"], values["routerNamedIndex"]
        self._names[exporter, domain, kind, index] = values["routerName"]

    def find(self, exporter: str, domain: int, kind: str, index: int) -> str:
        """A name, or the number if its name is unknown."""
        return self._names.get(
            (exporter, domain, NAMED_KINDS.index(kind), index), f"#{index}" if index else ""
        )


def flow_rows(messages: Iterable[tuple[str, Message]], names: NameTable | None = None) -> Iterator[Row]:
    """One row for each connection and request record, in their order."""
    names = names or NameTable()
    for exporter, message in messages:
        for record in message.records:
            values, domain = record.values, message.domain
            # By fields, not by template number: other exporters may number templates differently.
            if "routerName" in values:
                names.learn(exporter, domain, values)
            elif "routerRequestNumber" in values:
                yield _request(exporter, domain, values, names)
            elif "sourceIPv4Address" in values:
                yield _connection(exporter, domain, values, names)


def _connection(exporter: str, domain: int, v: Row, names: NameTable) -> Row:
    return {
        "kind": "connection",
        "exporter": exporter,
        "start_ms": v.get("flowStartMilliseconds", v.get("flowStartSysUpTime")),
        "end_ms": v.get("flowEndMilliseconds", v.get("flowEndSysUpTime")),
        "flow": v.get("flowId"),
        "source": f"{v['sourceIPv4Address']}:{v.get('sourceTransportPort', 0)}",
        "target": f"{v['destinationIPv4Address']}:{v.get('destinationTransportPort', 0)}",
        "octets": v.get("octetDeltaCount", 0),
        "packets": v.get("packetDeltaCount", 0),
        "octets_back": v.get("reverseOctetDeltaCount", v.get("postOctetDeltaCount", 0)),
        "packets_back": v.get("reversePacketDeltaCount", v.get("postPacketDeltaCount", 0)),
        "payload": v.get("transportOctetDeltaCount"),
        "payload_back": v.get("reverseTransportOctetDeltaCount"),
        "reason": END_REASONS.get(v.get("flowEndReason", 0), ""),
        "side": ("client", "engine")[v["routerConnectionSide"]] if "routerConnectionSide" in v else "",
        "engine": names.find(exporter, domain, "engine", v.get("routerEngineIndex", 0)),
    }


def _request(exporter: str, domain: int, v: Row, names: NameTable) -> Row:
    def named(kind: str, element: str) -> str:
        # 0 is a valid number of a class or a tenant; for an engine, it means none.
        index = v[element]
        return names.find(exporter, domain, kind, index) or ("#0" if kind != "engine" else "")

    first, outcome = v["routerFirstEventMilliseconds"], v["routerOutcome"]
    return {
        "kind": "request",
        "exporter": exporter,
        "start_ms": v["flowStartMilliseconds"],
        "end_ms": v["flowEndMilliseconds"],
        "flow": v["flowId"],
        "request": v["routerRequestNumber"],
        "class": named("class", "routerClassIndex"),
        "class_index": v["routerClassIndex"],
        "tenant": named("tenant", "routerTenantIndex"),
        "tenant_index": v["routerTenantIndex"],
        "engine": named("engine", "routerEngineIndex"),
        "engine_flow": v["routerEngineFlowId"],
        "attempts": v["routerAttemptCount"],
        "outcome": OUTCOMES[outcome] if outcome < len(OUTCOMES) else f"#{outcome}",
        "first_ms": None if first == NO_EVENT_MS else first,
        "whole_ms": v["routerWholeMilliseconds"],
        "answer_octets": v["routerAnswerOctetCount"],
    }


class Rank(NamedTuple):
    """One line of the command `flows top`."""

    name: str
    requests: int
    served: int
    connections: int
    octets: int  # both directions, with headers; by tenant and class: of answers
    packets: int
    first_ms: float | None  # mean time to the first event


def rank_flows(
    rows: Iterable[Row], by: str, start_ms: float = 0.0, end_ms: float = float("inf")
) -> list[Rank]:
    """Ranks of the flows that ended in a time span, by tenant, class, engine or client address."""
    tables: dict[str, list[Row]] = defaultdict(list)
    for row in rows:
        if not start_ms <= row["end_ms"] <= end_ms:
            continue
        name = _rank_name(row, by)
        if name:
            tables[name].append(row)
    ranks = [_rank(name, group) for name, group in tables.items()]
    return sorted(ranks, key=lambda rank: (-rank.octets, -rank.requests, rank.name))


def _rank_name(row: Row, by: str) -> str:
    if by == "address":
        return row["source"].rpartition(":")[0] if row.get("side") == "client" else ""
    return str(row.get(by, ""))


def _rank(name: str, rows: list[Row]) -> Rank:
    requests = [row for row in rows if row["kind"] == "request"]
    connections = [row for row in rows if row["kind"] == "connection"]
    first_event_ms = [row["first_ms"] for row in requests if row["first_ms"] is not None]
    octets = sum(row["octets"] + row["octets_back"] for row in connections)
    return Rank(
        name,
        len(requests),
        sum(row["outcome"] == "served" for row in requests),
        len({row["flow"] for row in connections}),
        octets or sum(row["answer_octets"] for row in requests),
        sum(row["packets"] + row["packets_back"] for row in connections),
        sum(first_event_ms) / len(first_event_ms) if first_event_ms else None,
    )


def differences_from_log(rows: Iterable[Row], log_lines: Iterable[Row]) -> Iterator[str]:
    """The differences between request records and the router's own log, by request number.

    A restarted router reuses numbers: among several records, the nearest in time is compared.
    """
    records: dict[int, list[Row]] = defaultdict(list)
    for row in rows:
        if row["kind"] == "request":
            records[row["request"]].append(row)
    for line in log_lines:
        if line.get("event") != "request":
            continue
        number, at = int(line["request"]), line["time"] * 1000.0
        nearest = min(records[number], key=lambda row: abs(row["end_ms"] - at), default=None)
        if nearest is None or abs(nearest["end_ms"] - at) > MAX_SKEW_MS:
            yield f"request {number}: in the log, not among the flows"
            continue
        records[number].remove(nearest)
        yield from (f"request {number}: {text}" for text in _differences(nearest, line))
    for number, unmatched in sorted(records.items()):
        for _ in unmatched:
            yield f"request {number}: among the flows, not in the log"


def _differences(row: Row, line: Row) -> Iterator[str]:
    attempts = line["attempts"]
    stream = next((a for a in attempts if "first" in a), attempts[-1] if attempts else {})
    exact = (
        ("outcome", row["outcome"], line["answer"]),
        ("class", row["class_index"], line["class"]),
        ("tenant", row["tenant_index"], line["tenant"]),
        ("attempts", row["attempts"], min(len(attempts), 255)),
        ("engine", row["engine"], stream.get("endpoint", "")),
    )
    for name, exported, logged in exact:
        if exported != logged:
            yield f"{name} is {exported!r} in the flows, {logged!r} in the log"
    for name, exported, logged in (
        ("whole_ms", row["whole_ms"], line["ms"]),
        ("first_ms", row["first_ms"], stream.get("first")),
    ):
        if (exported is None) != (logged is None) or (
            exported is not None and abs(exported - logged) > TOLERANCE_MS
        ):
            yield f"{name} is {exported} in the flows, {logged} in the log"
