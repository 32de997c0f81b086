"""Messages read: IPFIX (RFC 7011) and NetFlow v9 (RFC 3954), by whatever templates their exporter sent. Pure.

Owns the templates of one session, bounded in number and lifetime. A message is read whole or refused: a
`FlowError` names the octet at which it goes wrong and the rule that it breaks, and nothing of it is taken.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from ipaddress import IPv4Address, IPv6Address
from socket import inet_ntoa
from typing import Any, NamedTuple

from spoolbarrow.errors import Problem
from spoolbarrow.flows.elements import BY_NUMBER, OWN, REVERSE, VARIABLE, Kind
from spoolbarrow.flows.encode import (
    IPFIX,
    OPTIONS_SET,
    TEMPLATE_SET,
    V9,
    V9_OPTIONS_SET,
    V9_TEMPLATE_SET,
)

MOST_TEMPLATES = 256  # of one session
MOST_FIELDS = 256  # of one template
FIRST_DATA = 256  # lower numbers of sets are reserved (RFC 7011, section 3.3.2)
IPV6_ADDRESSES = frozenset({27, 28, 62, 63})
_HEADER = struct.Struct("!HHIII")
_V9_HEADER = struct.Struct("!HHIIII")
_PAIR = struct.Struct("!HH")


class FlowError(Problem, ValueError):
    """A message of flow records is refused, by the rule that is named."""

    where = "the octet, counted from the message's first"
    remedy = "See that the file is whole and holds IPFIX or NetFlow v9 messages of this enterprise number."

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


class Form(NamedTuple):
    """A template as learnt: `least` is the octets that a record has at least."""

    number: int
    scope: int
    fields: tuple[Field, ...]
    least: int
    learnt_at: float
    fast: struct.Struct | None = None  # reads a whole record, where every field is of a usual width
    names: tuple[str, ...] = ()
    addresses: tuple[str, ...] = ()


class Decoded(NamedTuple):
    """One record: what its fields are called, and their values."""

    template: int
    scope: int
    values: dict[str, Any]


class Message(NamedTuple):
    """One message, whole."""

    version: int
    domain: int
    sequence: int
    exported_s: int
    records: list[Decoded]
    unknown_sets: int  # data sets whose template is not known (yet)
    templates: int  # learnt, changed or withdrawn


class Session:
    """What one exporter's session has taught, by observation domain; `lifetime_ms` 0: as long as it lasts."""

    def __init__(self, own: int, lifetime_ms: float = 0.0, most: int = MOST_TEMPLATES) -> None:
        self._own, self._lifetime_ms, self._most = own, lifetime_ms, most
        self._forms: dict[tuple[int, int], Form] = {}
        self._expected: dict[tuple[int, int], int] = {}  # next sequence number by version and domain
        self.lost = 0  # records (IPFIX) or packets (v9) that never came, as far as numbers tell
        self.dropped_templates = 0

    def __len__(self) -> int:
        """Templates known."""
        return len(self._forms)

    def read(self, data: bytes, now: float) -> Message:
        """A whole message; FlowError where it breaks a rule, and then it changes nothing here."""
        if len(data) < 2:
            raise FlowError(0, "shorter than a header")
        version = int.from_bytes(data[:2])
        if version == IPFIX:
            return self._read_ipfix(data, now)
        if version == V9:
            return self._read_v9(data, now)
        raise FlowError(0, f"version {version} is neither 9 nor 10 (RFC 7011, 3.1)")

    def _read_ipfix(self, data: bytes, now: float) -> Message:
        if len(data) < _HEADER.size:
            raise FlowError(len(data), "header cut short (RFC 7011, 3.1)")
        _, size, exported, sequence, domain = _HEADER.unpack_from(data)
        if size != len(data):
            raise FlowError(2, f"length {size} of a message of {len(data)} octets (RFC 7011, 3.1)")
        records, unknown, templates = self._sets(data, _HEADER.size, IPFIX, domain, now)
        # What stands in sets that can't be read counts in the numbers too: then there is no telling.
        self._count((IPFIX, domain), sequence, len(records), unknown > 0)
        return Message(IPFIX, domain, sequence, exported, records, unknown, templates)

    def _read_v9(self, data: bytes, now: float) -> Message:
        if len(data) < _V9_HEADER.size:
            raise FlowError(len(data), "header cut short (RFC 3954, 5.1)")
        _, _, _, exported, sequence, domain = _V9_HEADER.unpack_from(data)
        records, unknown, templates = self._sets(data, _V9_HEADER.size, V9, domain, now)
        self._count((V9, domain), sequence, 1)
        return Message(V9, domain, sequence, exported, records, unknown, templates)

    def _sets(
        self, data: bytes, at: int, version: int, domain: int, now: float
    ) -> tuple[list[Decoded], int, int]:
        """Every set's records, how many sets can't be read, how many templates changed.

        Templates are kept only once the whole message is read.
        """
        records: list[Decoded] = []
        unknown = 0
        changed: dict[tuple[int, int], Form | None] = {}
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
                scoped = number == options
                for made in self._templates(data, at + 4, end, scoped, ipfix, now):
                    changed[domain, made.number] = made if made.fields else None
            elif number < FIRST_DATA:
                raise FlowError(at, f"set number {number} is reserved (RFC 7011, 3.3.2)")
            else:
                key = (domain, number)
                form = changed[key] if key in changed else self._known(key, now)
                if form is None:
                    unknown += 1
                else:
                    records += self._records(data, at + 4, end, form)
            at = end
        for key, form in changed.items():
            self._learn(key, form)
        return records, unknown, len(changed)

    def _templates(
        self, data: bytes, at: int, end: int, scoped: bool, ipfix: bool, now: float
    ) -> Iterator[Form]:
        while end - at >= 4:  # less is padding (RFC 7011, 3.3.1)
            begun = at
            number, count = _PAIR.unpack_from(data, at)
            at += 4
            if number < FIRST_DATA:
                if number == 0 and count == 0:
                    return  # padding
                raise FlowError(begun, f"template number {number} is reserved (RFC 7011, 3.4.1)")
            if count == 0 and ipfix:
                yield Form(number, 0, (), 0, now)  # withdrawn (RFC 7011, 8.1)
                continue
            scope = 0
            if scoped:
                if end - at < 2:
                    raise FlowError(at, "options template cut short (RFC 7011, 3.4.2)")
                scope = int.from_bytes(data[at : at + 2])
                at += 2
                if ipfix and not 0 < scope <= count:
                    raise FlowError(at - 2, f"scope of {scope} of {count} fields (RFC 7011, 3.4.2.2)")
                if not ipfix:  # octets of scope fields, then of the others (RFC 3954, 6.1)
                    if count % 4 or scope % 4:
                        raise FlowError(begun, "option lengths are not whole fields (RFC 3954, 6.1)")
                    scope, count = count // 4, (count + scope) // 4
            if count > MOST_FIELDS:
                raise FlowError(begun + 2, f"{count} fields: more than {MOST_FIELDS} are not taken")
            fields = []
            for place in range(count):
                field, at = self._field(data, at, end, ipfix, not ipfix and place < scope)
                fields.append(field)
            least = sum(1 if field.size == VARIABLE else field.size for field in fields)
            if least == 0:
                raise FlowError(begun, "records of no octets: there would be no end of them")
            yield _form(number, scope, tuple(fields), least, now)

    def _field(self, data: bytes, at: int, end: int, ipfix: bool, v9_scope: bool) -> tuple[Field, int]:
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
        owner = OWN if enterprise == self._own and enterprise != REVERSE else enterprise
        element = None if v9_scope else BY_NUMBER.get((owner, number))
        kind = element.kind if element is not None else None
        if size == VARIABLE and not ipfix:
            raise FlowError(at - 2, "variable length is not NetFlow v9's (RFC 3954, 5.2)")
        if kind is not None and not _fits(kind, size):
            raise FlowError(at - 2, f"{size} octets for {element and element.name} (RFC 7011, 6.2)")
        prefix = "scope" if v9_scope else f"e{enterprise}." if enterprise else "ie"
        name = element.name if element is not None else f"{prefix}{number}"
        return Field(number, size, enterprise, name, kind), at

    def _records(self, data: bytes, at: int, end: int, form: Form) -> Iterator[Decoded]:
        values: dict[str, Any]
        if form.fast is not None:
            whole = at + (end - at) // form.least * form.least
            for told in form.fast.iter_unpack(memoryview(data)[at:whole]):
                values = dict(zip(form.names, told, strict=True))
                for name in form.addresses:
                    values[name] = inet_ntoa(values[name])
                yield Decoded(form.number, form.scope, values)
            return
        while end - at >= form.least:  # less is padding
            values = {}
            for field in form.fields:
                size = field.size
                if size == VARIABLE:
                    size, at = self._length(data, at, end)
                if at + size > end:
                    raise FlowError(at, f"{field.name}: {size} octets do not fit the set (RFC 7011, 7)")
                values[field.name] = _value(field, data[at : at + size])
                at += size
            yield Decoded(form.number, form.scope, values)

    @staticmethod
    def _length(data: bytes, at: int, end: int) -> tuple[int, int]:
        if at >= end:
            raise FlowError(at, "length of a value cut short (RFC 7011, 7)")
        if data[at] < 255:
            return data[at], at + 1
        if end - at < 3:
            raise FlowError(at, "length of a value cut short (RFC 7011, 7)")
        return int.from_bytes(data[at + 1 : at + 3]), at + 3

    def _known(self, key: tuple[int, int], now: float) -> Form | None:
        form = self._forms.get(key)
        if form is not None and self._lifetime_ms and now - form.learnt_at > self._lifetime_ms:
            del self._forms[key]  # its exporter has not said it again (RFC 7011, 8.4)
            return None
        return form

    def _learn(self, key: tuple[int, int], form: Form | None) -> None:
        self._forms.pop(key, None)
        if form is None:
            return
        if len(self._forms) >= self._most:
            self._forms.pop(next(iter(self._forms)))  # the one said longest ago
            self.dropped_templates += 1
        self._forms[key] = form

    def _count(self, stream: tuple[int, int], sequence: int, records: int, unsure: bool = False) -> None:
        expected = self._expected.get(stream, sequence)
        gap = (sequence - expected) & 0xFFFFFFFF
        if 0 < gap < 1 << 31:  # else late or repeated
            self.lost += gap
        self._expected.pop(stream, None)
        if unsure:
            return
        self._expected[stream] = (sequence + records) & 0xFFFFFFFF
        while len(self._expected) > self._most:
            self._expected.pop(next(iter(self._expected)))


_FAST = {1: "B", 2: "H", 4: "I", 8: "Q"}


def _form(number: int, scope: int, fields: tuple[Field, ...], least: int, now: float) -> Form:
    """A template, with the means to read its records at once where that can be done."""
    codes, addresses, names = "", [], tuple(field.name for field in fields)
    for field in fields:
        if field.kind is Kind.IPV4:
            codes += "4s"
            addresses.append(field.name)
        elif field.kind not in (Kind.STRING, Kind.FLOAT64) and field.size in _FAST:
            codes += _FAST[field.size]
        else:
            return Form(number, scope, fields, least, now)
    return Form(number, scope, fields, least, now, struct.Struct("!" + codes), names, tuple(addresses))


_WIDEST = {Kind.UNSIGNED8: 1, Kind.UNSIGNED16: 2, Kind.UNSIGNED32: 4, Kind.UNSIGNED64: 8}


def _fits(kind: Kind, size: int) -> bool:
    """Whether an element may be written in so many octets; numbers may be shortened (RFC 7011, 6.2)."""
    if kind in _WIDEST:
        return 0 < size <= _WIDEST[kind]
    if kind is Kind.FLOAT64:
        return size in (4, 8)
    return kind is Kind.STRING or size == {Kind.DATE_MS: 8, Kind.IPV4: 4}[kind]


def _value(field: Field, raw: bytes) -> Any:
    kind = field.kind
    if kind is Kind.IPV4:
        return str(IPv4Address(raw))
    if kind is Kind.STRING:
        return raw.decode("utf-8", "replace")
    if kind is Kind.FLOAT64:
        return struct.unpack("!d" if len(raw) == 8 else "!f", raw)[0]
    if kind is not None:
        return int.from_bytes(raw)
    if field.enterprise == 0 and field.number in IPV6_ADDRESSES and len(raw) == 16:
        return str(IPv6Address(raw))
    return int.from_bytes(raw) if len(raw) <= 8 else raw.hex()


def split(buffer: bytearray) -> Iterator[bytes]:
    """Whole IPFIX messages from the front of a stream's bytes (RFC 7011, 10.4), or FlowError."""
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
