"""Encodes IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) records and messages. Pure.

A record is encoded once for all collectors of its format; `ExportStream` packs records into messages for one
collector, with its own sequence numbers, templates and message size.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from ipaddress import IPv4Address
from typing import Any, NamedTuple

from spoolbarrow.flows.elements import (
    NAME_TEMPLATE,
    OWN_ELEMENTS,
    OWN_ENTERPRISE,
    SAMPLING_TEMPLATE,
    STATISTICS_TEMPLATE,
    TEMPLATES,
    TYPE_TEMPLATE,
    V9_TEMPLATES,
    Kind,
    Template,
)

IPFIX, NETFLOW_V9 = 10, 9  # versions in the header
TEMPLATE_SET, OPTIONS_SET = 2, 3  # RFC 7011, section 3.3.2
V9_TEMPLATE_SET, V9_OPTIONS_SET = 0, 1  # RFC 3954, sections 5.2 and 6.1
MAX_MESSAGE_BYTES = 65_535  # its length is a 16-bit field
_HEADER = struct.Struct("!HHIII")
_V9_HEADER = struct.Struct("!HHIIII")
_SET = struct.Struct("!HH")
_FORMATS = {
    Kind.UNSIGNED8: "B",
    Kind.UNSIGNED16: "H",
    Kind.UNSIGNED32: "I",
    Kind.UNSIGNED64: "Q",
    Kind.FLOAT64: "d",
    Kind.DATE_MS: "Q",
    Kind.IPV4: "4s",
}


class Record(NamedTuple):
    """One encoded record and the number of its template."""

    template: int
    data: bytes
    packets: int = 0  # that it reports, for the statistics of what was not sent
    octets: int = 0


class RecordWriter:
    """Encodes records of one template."""

    def __init__(self, template: Template) -> None:
        self.template = template
        fixed = "".join(_FORMATS.get(field.kind, "") for field in template.fields)
        self._struct = struct.Struct("!" + fixed)
        # Variable-length fields are at the end of each template here: one call packs all other fields.
        self._strings = sum(field.kind is Kind.STRING for field in template.fields)
        assert all(field.kind is not Kind.STRING for field in template.fields[: self._fixed()])

    def _fixed(self) -> int:
        return len(self.template.fields) - self._strings

    def record(self, *values: Any, packets: int = 0, octets: int = 0) -> Record:
        """Encode values in the template's order; numbers must fit their fields, addresses are 4 octets."""
        fixed = self._fixed()
        data = self._struct.pack(*values[:fixed])
        for text in values[fixed:]:
            data += encode_variable(text.encode())
        return Record(self.template.number, data, packets, octets)


def encode_variable(value: bytes) -> bytes:
    """A value with a length prefix (RFC 7011, section 7), truncated so that it fits into a message."""
    value = value[:1024]
    size = bytes([len(value)]) if len(value) < 255 else b"\xff" + struct.pack("!H", len(value))
    return size + value


def ipv4(text: str) -> bytes:
    """An address's 4 octets; ValueError if it is malformed."""
    return IPv4Address(text).packed


def template_record(template: Template, enterprise: int, version: int = IPFIX) -> bytes:
    """A template record for a template set (RFC 7011, section 3.4; RFC 3954, section 5.2)."""
    fields = b""
    for field in template.fields:
        owner = enterprise if field.enterprise == OWN_ENTERPRISE else field.enterprise
        fields += struct.pack("!HH", field.number | (0x8000 if owner else 0), field.size)
        if owner:
            fields += struct.pack("!I", owner)
    if template.scope:
        return struct.pack("!HHH", template.number, len(template.fields), template.scope) + fields
    return struct.pack("!HH", template.number, len(template.fields)) + fields


def type_records(enterprise: int) -> list[Record]:
    """Records that describe the program's own elements to collectors (RFC 5610)."""
    writer = RecordWriter(TYPE_TEMPLATE)
    return [writer.record(enterprise, e.number, e.kind, e.semantics, e.units, e.name) for e in OWN_ELEMENTS]


class ExportStream:
    """The messages to one collector: an IPFIX Transport Session or a NetFlow Export Stream."""

    def __init__(self, version: int, domain: int, enterprise: int, max_octets: int, origin: float) -> None:
        self.version, self._domain, self._enterprise = version, domain, enterprise
        self._max_octets = min(max_octets, MAX_MESSAGE_BYTES)  # of a message
        self._origin = origin  # Unix ms; NetFlow v9 counts its uptime from here
        self.sequence = 0
        self.messages = self.octets = self.records = 0  # totals, including earlier sessions

    def restart(self) -> None:
        """Start a new session: templates must be sent again, sequence numbers start at 0 (RFC 7011, 10.4)."""
        self.sequence = 0

    def template_messages(self, now: float) -> list[bytes]:
        """Messages with all templates; `now` in Unix ms."""
        ipfix = self.version == IPFIX
        sets = []
        for options in (False, True):
            templates = [t for t in (TEMPLATES if ipfix else V9_TEMPLATES) if bool(t.scope) == options]
            if templates:
                number = (OPTIONS_SET if options else TEMPLATE_SET) if ipfix else V9_TEMPLATE_SET
                body = b"".join(template_record(t, self._enterprise, self.version) for t in templates)
                sets.append(_set(number, body))
        return [self._message([template_set], 0, 1, now) for template_set in sets]

    def body_octets(self) -> int:
        """Octets of a message that are available for sets."""
        return self._max_octets - (_HEADER.size if self.version == IPFIX else _V9_HEADER.size)

    def data_message(self, records: Sequence[Record], now: float) -> tuple[bytes, int]:
        """A message with as many records, from the first, as fit, and their number.

        Consecutive records of one template share a set. If the first record is too large for any message, it
        counts as packed, and the message is empty.
        """
        body_octets, packed, sets = self.body_octets(), 0, []
        body: list[bytes] = []
        number, size = -1, 0
        for record in records:
            more = len(record.data) + (_SET.size if record.template != number else 0)
            padding = 3 if self.version == NETFLOW_V9 else 0  # v9 pads sets to a multiple of 4 octets
            if size + more + padding > body_octets:
                break
            if record.template != number:
                if body:
                    sets.append(_set(number, b"".join(body), self.version == NETFLOW_V9))
                number, body = record.template, []
            body.append(record.data)
            size += more
            packed += 1
        if not packed:
            return b"", min(1, len(records))
        sets.append(_set(number, b"".join(body), self.version == NETFLOW_V9))
        return self._message(sets, packed, packed, now), packed

    def _message(self, sets: Iterable[bytes], records: int, count: int, now: float) -> bytes:
        body, seconds = b"".join(sets), int(now / 1000)
        if self.version == IPFIX:
            size = _HEADER.size + len(body)
            head = _HEADER.pack(IPFIX, size, seconds & 0xFFFFFFFF, self.sequence, self._domain)
            self.sequence = (self.sequence + records) & 0xFFFFFFFF  # data records (RFC 7011, section 3.1)
        else:
            uptime = uptime_ms(now, self._origin)
            head = _V9_HEADER.pack(
                NETFLOW_V9, count, uptime, seconds & 0xFFFFFFFF, self.sequence, self._domain
            )
            self.sequence = (self.sequence + 1) & 0xFFFFFFFF  # packets (RFC 3954, section 5.1)
        self.messages += 1
        self.records += records
        self.octets += len(head) + len(body)
        return head + body


def uptime_ms(at: float, origin: float) -> int:
    """NetFlow v9's 32-bit uptime at a time, both in Unix ms; 0 for times before the origin."""
    return max(0, int(at - origin)) & 0xFFFFFFFF


def _set(number: int, body: bytes, pad: bool = False) -> bytes:
    padding = b"\0" * (-len(body) % 4) if pad else b""
    return _SET.pack(number, _SET.size + len(body) + len(padding)) + body + padding


name_writer, statistics_writer, sampling_writer = (
    RecordWriter(NAME_TEMPLATE),
    RecordWriter(STATISTICS_TEMPLATE),
    RecordWriter(SAMPLING_TEMPLATE),
)
