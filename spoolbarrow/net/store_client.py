"""Calls the store's members over HTTP, one call at a time, and chooses which member is called next.

Calls use `http1`: members close the connection after each answer, so pooling would have nothing to keep; one
`gevent.Timeout` bounds a whole call, even if the answer arrives byte by byte, unlike the timeouts of HTTP
libraries, which restart with each read; and the serving process loads no further library.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import SystemRandom
from typing import TYPE_CHECKING
from urllib.parse import quote

import gevent
import msgspec
from msgspec import Struct

from spoolbarrow.config import Address, parse_address
from spoolbarrow.net import http1
from spoolbarrow.net.log import log

if TYPE_CHECKING:
    from spoolbarrow.operator import FleetTable

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 8192
MAX_ANSWER_BYTES = 8 << 20  # a member sends up to a MiB of documents at a time, or a longer one, as JSON
MAX_CHANGE_CALLS = 64  # consecutive calls for one list of changes


class Document(Struct, frozen=True):
    """A changed document."""

    key: str
    revision: int
    value: str


class Changes(Struct, frozen=True):
    """A member's answer: all changes up to revision `upto`; `leader` is empty if it knows none."""

    applied: int
    upto: int
    leader: str
    documents: list[Document]


class Answer(Struct, frozen=True):
    """A member's answer to a write or a read of one document."""

    revision: int = -1  # -1: not given by the member
    value: str = ""


class Put(Struct, frozen=True):
    """The result of a write: its `revision`, or 0 and whether the document had another one than expected.

    Neither: unknown. Repeating it at the next member is safe, since only one write replaces a revision; if
    the first of them was not answered, the conflict may be due to that one.
    """

    revision: int = 0
    conflict: bool = False


_changes = msgspec.json.Decoder(Changes)
_answer = msgspec.json.Decoder(Answer)


class MemberUnavailable(Exception):
    """A member gave no usable answer."""


class StoreClient:
    """Calls the members of the store; each call is limited to `call_ms`."""

    def __init__(self, table: FleetTable, random: SystemRandom) -> None:
        self._random = random
        self._errors: dict[Address, str] = {}  # a member's last read error
        self.apply(table)

    def apply(self, table: FleetTable) -> None:
        """Apply new settings; the state of members that remain is kept."""
        self._names, self._call_s = table.members, table.call_ms / 1000
        self._members = [parse_address("fleet.members", text) for text in table.members]
        self._next_read = self._next_write = self._random.randrange(len(self._members))

    def status(self) -> dict[str, str]:
        """By member, its last read error; empty if there was none."""
        return {self._names[n]: self._errors.get(address, "") for n, address in enumerate(self._members)}

    def read_from_one(self, read: Callable[[int], None]) -> bool:
        """Call `read` for the members in turn until one succeeds; False if it raises for all of them.

        It raises MemberUnavailable for a member that is unreachable, without a leader or behind.
        """
        for turn in range(len(self._members)):
            member = (self._next_read + turn) % len(self._members)
            try:
                read(member)
            except MemberUnavailable as error:
                self._set_error(member, str(error))
                continue
            self._set_error(member, "")
            self._next_read = member
            return True
        return False

    def changes(self, after: int, prefixes: Iterable[str], member: int | None = None) -> Iterable[Changes]:
        """Yield the changes after revision `after`, page by page; MemberUnavailable if they can't be read.

        Without `member`, the one that answered last is called.
        """
        member = self._next_read if member is None else member
        wanted = "".join(f"&prefix={quote(prefix, safe='')}" for prefix in prefixes)
        for _ in range(MAX_CHANGE_CALLS):
            status, text = self._call(member, b"GET", f"/v1/changes?after={after}{wanted}")
            if status != 200:
                raise MemberUnavailable(f"status {status}")
            try:
                changes = _changes.decode(text)
            except msgspec.DecodeError as error:
                raise MemberUnavailable(str(error)) from None
            yield changes
            if changes.upto >= changes.applied or changes.upto <= after:
                return
            after = changes.upto

    def get(self, key: str) -> Answer | None:
        """A document, or None if it does not exist; MemberUnavailable if that is unknown."""
        status, text = self._call(self._next_write, b"GET", f"/v1/store/{quote(key, safe='')}")
        if status == 404:
            return None
        try:
            answer = _answer.decode(text)
        except msgspec.DecodeError as error:
            raise MemberUnavailable(str(error)) from None
        if status != 200 or answer.revision <= 0:
            raise MemberUnavailable(f"status {status}, revision {answer.revision}")
        return answer

    def put(self, key: str, text: bytes, expect: int) -> Put:
        """Replace a document that is at revision `expect`, trying the members in turn."""
        target = f"/v1/store/{quote(key, safe='')}?expect={expect}"
        for turn in range(len(self._members)):
            member = (self._next_write + turn) % len(self._members)
            try:
                status, body = self._call(member, b"PUT", target, text)
                answer = _answer.decode(body)
            except (MemberUnavailable, msgspec.DecodeError):
                continue
            if status == 200 and answer.revision > 0:
                self._next_write = member
                return Put(answer.revision)
            if status == 409 and answer.revision >= 0:
                self._next_write = member
                return Put(conflict=True)
        return Put()

    def _call(self, member: int, method: bytes, target: str, body: bytes = b"") -> tuple[int, bytes]:
        """A member's status and complete body within `call_ms`; MemberUnavailable if there is none."""
        member_address, seconds = self._members[member], self._call_s
        head = b"%s %s HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n"
        parser, buffer, parts, size = http1.ResponseParser(MAX_HEAD_BYTES), bytearray(RECEIVE_BYTES), [], 0
        try:
            with gevent.Timeout(seconds), http1.connect(member_address, seconds) as sock:
                http1.send_pieces(sock, [head % (method, target.encode(), len(body)), body])
                while not parser.complete:
                    parser.read(sock, buffer)
                    received = parser.take_body()
                    parts += received
                    size += sum(map(len, received))
                    if size > MAX_ANSWER_BYTES:
                        raise MemberUnavailable(f"more than {MAX_ANSWER_BYTES} bytes")
        except (OSError, http1.HttpError, gevent.Timeout) as error:
            raise MemberUnavailable(f"{type(error).__name__}: {error}") from None
        return parser.status, b"".join(parts)

    def _set_error(self, member: int, why: str) -> None:
        """Record a member's error, and log it when its kind changes, not with each call."""
        member_address = self._members[member]
        if why.partition(":")[0] != self._errors.get(member_address, "").partition(":")[0]:
            log("fleet_member", member=self._names[member], why=why or "well")
        self._errors[member_address] = why
