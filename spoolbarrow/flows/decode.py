"""Decodes IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) messages, by the templates that their exporter sent.
Pure.

Owns the templates of one session, bounded in number and lifetime. A message is decoded completely or refused:
`FlowError` names the offset of the fault and the rule that is broken, and the session is left unchanged.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from ipaddress import IPv4Address, IPv6Address
from socket import inet_ntoa
from typing import Any, NamedTuple

from spoolbarrow.errors import Problem
from spoolbarrow.flows.elements import BY_NUMBER, OWN_ENTERPRISE, REVERSE, VARIABLE, Kind
from spoolbarrow.flows.encode import (
    IPFIX,
    NETFLOW_V9,
    OPTIONS_SET,
    TEMPLATE_SET,
    V9_OPTIONS_SET,
    V9_TEMPLATE_SET,
)

MAX_TEMPLATES = 256  # of one session
MAX_FIELDS = 256  # of one template
FIRST_DATA_SET = 256  # lower set numbers are reserved (RFC 7011, section 3.3.2)
IPV6_ELEMENTS = frozenset({27, 28, 62, 63})
_HEADER = struct.Struct("!HHIII")
_V9_HEADER = struct.Struct("!HHIIII")
_PAIR = struct.Struct("!HH")


class FlowError(Problem, ValueError):
    """A message of flow records breaks the named rule and is refused."""

    where = "the octet, counted from the message's first"
    remedy = "Check that the file is complete and has IPFIX or NetFlow v9 messages of this enterprise number."

    def __init__(self, offset: int, rule: str) -> None:
        super().__init__(f"octet {offset}", rule)
        self.offset, self.rule = offset, rule


class Field(NamedTuple):
    """One field of a template as its exporter wrote it."""

    number: int
    size: int
    enterprise: int
    name: str
    kind: Kind | None


class LearntTemplate(NamedTuple):
    """A template as received; `min_size` is the least number of octets of a record."""

    number: int
    scope: int
    fields: tuple[Field, ...]
    min_size: int
    received_at: float
    record_struct: struct.Struct | None = None  # decodes a record at once, if all fields have standard widths
    names: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()


class DecodedRecord(NamedTuple):
    """One record, with its values by field name."""

    template: int
    scope: int
    values: dict[str, Any]


class Message(NamedTuple):
    """One decoded message."""

    version: int
    domain: int
    sequence: int
    exported_s: int
    records: list[DecodedRecord]
    unknown_sets: int  # data sets without a known template
    templates: int  # learnt, changed or withdrawn


class Session:
    """One exporter's templates, by observation domain; `lifetime_ms` 0: until the session ends."""

    def __init__(self, enterprise: int, lifetime_ms: float = 0.0, max_templates: int = MAX_TEMPLATES) -> None:
        self._enterprise, self._lifetime_ms, self._max_templates = enterprise, lifetime_ms, max_templates
        self._known_templates: dict[tuple[int, int], LearntTemplate] = {}
        self._next_sequences: dict[tuple[int, int], int] = {}  # by version and domain
        self.lost = 0  # records (IPFIX) or packets (v9) missing by their sequence numbers
        self.dropped_templates = 0

    def __len__(self) -> int:
        """The number of known templates."""
        return len(self._known_templates)

    def read(self, data: bytes, now: float) -> Message:
        """Decode a message; if it breaks a rule, raise FlowError and leave the session unchanged."""
        if len(data) < 2:
            raise FlowError(0, "shorter than a header")
        version = int.from_bytes(data[:2])
        if version == IPFIX:
            return self._read_ipfix(data, now)
        if version == NETFLOW_V9:
            return self._read_v9(data, now)
        raise FlowError(0, f"version {version} is neither 9 nor 10 (RFC 7011, 3.1)")

    def _read_ipfix(self, data: bytes, now: float) -> Message:
        if len(data) < _HEADER.size:
            raise FlowError(len(data), "header cut short (RFC 7011, 3.1)")
        _, size, exported, sequence, domain = _HEADER.unpack_from(data)
        if size != len(data):
            raise FlowError(2, f"length {size} of a message of {len(data)} octets (RFC 7011, 3.1)")
        records, unknown, templates = self._read_sets(data, _HEADER.size, IPFIX, domain, now)
        # Records in sets without a known template are numbered too: the next number is then unknown.
        self._count_lost((IPFIX, domain), sequence, len(records), unknown > 0)
        return Message(IPFIX, domain, sequence, exported, records, unknown, templates)

    def _read_v9(self, data: bytes, now: float) -> Message:
        if len(data) < _V9_HEADER.size:
            raise FlowError(len(data), "header cut short (RFC 3954, 5.1)")
        _, _, _, exported, sequence, domain = _V9_HEADER.unpack_from(data)
        records, unknown, templates = self._read_sets(data, _V9_HEADER.size, NETFLOW_V9, domain, now)
        self._count_lost((NETFLOW_V9, domain), sequence, 1)
        return Message(NETFLOW_V9, domain, sequence, exported, records, unknown, templates)

    def _read_sets(
        self, data: bytes, at: int, version: int, domain: int, now: float
    ) -> tuple[list[DecodedRecord], int, int]:
        """The records of all sets, the number of sets without a known template, and of changed templates.

        Templates are stored only after the whole message is decoded.
        """
        records: list[DecodedRecord] = []
        unknown = 0
        changed: dict[tuple[int, int], LearntTemplate | None] = {}
        ipfix = version == IPFIX
        templates, options = (TEMPLATE_SET, OPTIONS_SET) if ipfix else (V9_TEMPLATE_SET, V9_OPTIONS_SET)
        while at < len(data):
            if len(data) - at < _PAIR.size:
                raise FlowError(at, "set header cut short (RFC 7011, 3.3.2)")
            number, size = _PAIR.unpack_from(data, at)
            if size < _PAIR.size or at + size > len(data):
                raise FlowError(at + 2, f"set length {size} does not fit the message (RFC 7011, 3.3.2)")
            end = at + size
            if number in (templates, options):
                is_options = number == options
                for learnt in self._read_templates(data, at + 4, end, is_options, ipfix, now):
                    changed[domain, learnt.number] = learnt if learnt.fields else None
            elif number < FIRST_DATA_SET:
                raise FlowError(at, f"set number {number} is reserved (RFC 7011, 3.3.2)")
            else:
                key = (domain, number)
                template = changed[key] if key in changed else self._find_template(key, now)
                if template is None:
                    unknown += 1
                else:
                    records += self._read_records(data, at + 4, end, template)
            at = end
        for key, template in changed.items():
            self._store_template(key, template)
        return records, unknown, len(changed)

    def _read_templates(
        self, data: bytes, at: int, end: int, is_options: bool, ipfix: bool, now: float
    ) -> Iterator[LearntTemplate]:
        while end - at >= 4:  # less is padding (RFC 7011, 3.3.1)
            start = at
            number, count = _PAIR.unpack_from(data, at)
            at += 4
            if number < FIRST_DATA_SET:
                if number == 0 and count == 0:
                    return  # padding
                raise FlowError(start, f"template number {number} is reserved (RFC 7011, 3.4.1)")
            if count == 0 and ipfix:
                yield LearntTemplate(number, 0, (), 0, now)  # withdrawn (RFC 7011, 8.1)
                continue
            scope = 0
            if is_options:
                if end - at < 2:
                    raise FlowError(at, "options template cut short (RFC 7011, 3.4.2)")
                scope = int.from_bytes(data[at : at + 2])
                at += 2
                if ipfix and not 0 < scope <= count:
                    raise FlowError(at - 2, f"scope of {scope} of {count} fields (RFC 7011, 3.4.2.2)")
                if not ipfix:  # lengths in octets of the scope fields and the others (RFC 3954, 6.1)
                    if count % 4 or scope % 4:
                        raise FlowError(start, "option lengths are not whole fields (RFC 3954, 6.1)")
                    scope, count = count // 4, (count + scope) // 4
            if count > MAX_FIELDS:
                raise FlowError(start + 2, f"{count} fields: at most {MAX_FIELDS} are accepted")
            fields = []
            for index in range(count):
                field, at = self._read_field(data, at, end, ipfix, not ipfix and index < scope)
                fields.append(field)
            min_size = sum(1 if field.size == VARIABLE else field.size for field in fields)
            if min_size == 0:
                raise FlowError(start, "records of no octets: their number is unlimited")
            yield _learnt_template(number, scope, tuple(fields), min_size, now)

    def _read_field(self, data: bytes, at: int, end: int, ipfix: bool, v9_scope: bool) -> tuple[Field, int]:
        if end - at < 4:
            raise FlowError(at, "field cut short (RFC 7011, 3.2)")
        number, size = _PAIR.unpack_from(data, at)
        at += 4
        enterprise = 0
        if ipfix and number & 0x8000:
            if end - at < 4:
                raise FlowError(at, "enterprise number cut short (RFC 7011, 3.2)")
            number &= 0x7FFF
            enterprise = int.from_bytes(data[at : at + 4])
            at += 4
        owner = OWN_ENTERPRISE if enterprise == self._enterprise and enterprise != REVERSE else enterprise
        element = None if v9_scope else BY_NUMBER.get((owner, number))
        kind = element.kind if element is not None else None
        if size == VARIABLE and not ipfix:
            raise FlowError(at - 2, "variable length is not NetFlow v9's (RFC 3954, 5.2)")
        if kind is not None and not _size_allowed(kind, size):
            raise FlowError(at - 2, f"{size} octets for {element and element.name} (RFC 7011, 6.2)")
        prefix = "scope" if v9_scope else f"e{enterprise}." if enterprise else "ie"
        name = element.name if element is not None else f"{prefix}{number}"
        return Field(number, size, enterprise, name, kind), at

    def _read_records(
        self, data: bytes, at: int, end: int, template: LearntTemplate
    ) -> Iterator[DecodedRecord]:
        values: dict[str, Any]
        if template.record_struct is not None:
            complete = at + (end - at) // template.min_size * template.min_size
            for row in template.record_struct.iter_unpack(memoryview(data)[at:complete]):
                values = dict(zip(template.names, row, strict=True))
                for name in template.addresses:
                    values[name] = inet_ntoa(values[name])
                yield DecodedRecord(template.number, template.scope, values)
            return
        while end - at >= template.min_size:  # less is padding
            values = {}
            for field in template.fields:
                size = field.size
                if size == VARIABLE:
                    size, at = self._read_length(data, at, end)
                if at + size > end:
                    raise FlowError(at, f"{field.name}: {size} octets do not fit the set (RFC 7011, 7)")
                values[field.name] = _decode_value(field, data[at : at + size])
                at += size
            yield DecodedRecord(template.number, template.scope, values)

    @staticmethod
    def _read_length(data: bytes, at: int, end: int) -> tuple[int, int]:
        if at >= end:
            raise FlowError(at, "length of a value cut short (RFC 7011, 7)")
        if data[at] < 255:
            return data[at], at + 1
        if end - at < 3:
            raise FlowError(at, "length of a value cut short (RFC 7011, 7)")
        return int.from_bytes(data[at + 1 : at + 3]), at + 3

    def _find_template(self, key: tuple[int, int], now: float) -> LearntTemplate | None:
        template = self._known_templates.get(key)
        if template is not None and self._lifetime_ms and now - template.received_at > self._lifetime_ms:
            del self._known_templates[key]  # its exporter has not sent it again (RFC 7011, 8.4)
            return None
        return template

    def _store_template(self, key: tuple[int, int], template: LearntTemplate | None) -> None:
        self._known_templates.pop(key, None)
        if template is None:
            return
        if len(self._known_templates) >= self._max_templates:
            self._known_templates.pop(next(iter(self._known_templates)))  # the one sent longest ago
            self.dropped_templates += 1
        self._known_templates[key] = template

    def _count_lost(
        self, stream: tuple[int, int], sequence: int, records: int, incomplete: bool = False
    ) -> None:
        expected = self._next_sequences.get(stream, sequence)
        gap = (sequence - expected) & 0xFFFFFFFF
        if 0 < gap < 1 << 31:  # else late or repeated
            self.lost += gap
        self._next_sequences.pop(stream, None)
        if incomplete:
            return
        self._next_sequences[stream] = (sequence + records) & 0xFFFFFFFF
        while len(self._next_sequences) > self._max_templates:
            self._next_sequences.pop(next(iter(self._next_sequences)))


_STRUCT_CODES = {1: "B", 2: "H", 4: "I", 8: "Q"}


def _learnt_template(
    number: int, scope: int, fields: tuple[Field, ...], min_size: int, now: float
) -> LearntTemplate:
    """A template, with a struct that decodes a record at once if all fields have standard widths."""
    codes, addresses, names = "", [], tuple(field.name for field in fields)
    for field in fields:
        if field.kind is Kind.IPV4:
            codes += "4s"
            addresses.append(field.name)
        elif field.kind not in (Kind.STRING, Kind.FLOAT64) and field.size in _STRUCT_CODES:
            codes += _STRUCT_CODES[field.size]
        else:
            return LearntTemplate(number, scope, fields, min_size, now)
    return LearntTemplate(
        number, scope, fields, min_size, now, struct.Struct("!" + codes), names, tuple(addresses)
    )


_MAX_SIZES = {Kind.UNSIGNED8: 1, Kind.UNSIGNED16: 2, Kind.UNSIGNED32: 4, Kind.UNSIGNED64: 8}


def _size_allowed(kind: Kind, size: int) -> bool:
    """Whether an element may be encoded in `size` octets; integers may be shortened (RFC 7011, 6.2)."""
    if kind in _MAX_SIZES:
        return 0 < size <= _MAX_SIZES[kind]
    if kind is Kind.FLOAT64:
        return size in (4, 8)
    return kind is Kind.STRING or size == {Kind.DATE_MS: 8, Kind.IPV4: 4}[kind]


def _decode_value(field: Field, raw: bytes) -> Any:
    kind = field.kind
    if kind is Kind.IPV4:
        return str(IPv4Address(raw))
    if kind is Kind.STRING:
        return raw.decode("utf-8", "replace")
    if kind is Kind.FLOAT64:
        return struct.unpack("!d" if len(raw) == 8 else "!f", raw)[0]
    if kind is not None:
        return int.from_bytes(raw)
    if field.enterprise == 0 and field.number in IPV6_ELEMENTS and len(raw) == 16:
        return str(IPv6Address(raw))
    return int.from_bytes(raw) if len(raw) <= 8 else raw.hex()


def split_messages(buffer: bytearray) -> Iterator[bytes]:
    """Remove and yield the complete IPFIX messages at the front of a stream (RFC 7011, 10.4); FlowError."""
    while len(buffer) >= 4:
        version, size = _PAIR.unpack_from(buffer)
        if version != IPFIX:
            raise FlowError(0, f"version {version} is not 10 (RFC 7011, 3.1)")
        if size < _HEADER.size:
            raise FlowError(2, f"length {size} is less than a header's (RFC 7011, 3.1)")
        if len(buffer) < size:
            return
        message = bytes(buffer[:size])
        del buffer[:size]
        yield message
