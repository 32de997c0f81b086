"""The client of the store: one HTTP call at a time to one of its members, and which member is called next.

Calls are made with `http1`: members end a connection with each answer, so a pool of connections would hold
nothing; one `gevent.Timeout` bounds a whole call, an answer that comes a byte at a time included, which the
time-outs of a library, restarted with each read, do not; and nothing more is loaded into serving.
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
MAX_ANSWER_BYTES = 8 << 20  # a member sends a MiB of documents at a time, or one that is longer, as JSON
MAX_READS = 64  # calls in a row for one list of changes


class Document(Struct, frozen=True):
    """One document that changed."""

    key: str
    revision: int
    value: str


class Changes(Struct, frozen=True):
    """A member's answer: all that it has up to `upto`; `leader` empty where it knows of none."""

    applied: int
    upto: int
    leader: str
    documents: list[Document]


class Answer(Struct, frozen=True):
    """A member's answer to a write or a read of one document."""

    revision: int = -1  # -1: the member named none
    value: str = ""


class Put(Struct, frozen=True):
    """How a write ended: its `revision`, or 0 and whether the document was at another one than expected.

    Neither: not known. To repeat it at the next member is safe, since only one write replaces a revision.
    """

    revision: int = 0
    conflict: bool = False


_changes = msgspec.json.Decoder(Changes)
_answer = msgspec.json.Decoder(Answer)


class MemberUnavailable(Exception):
    """A member gave no answer that can be used."""


class StoreClient:
    """Calls the members of the store; each call is whole within `call_ms`."""

    def __init__(self, table: FleetTable, random: SystemRandom) -> None:
        self._random = random
        self._errors: dict[Address, str] = {}  # why a member could not be read from, last
        self.apply(table)

    def apply(self, table: FleetTable) -> None:
        """Go by new settings; what is known of members that stay is kept."""
        self._names, self._call_s = table.members, table.call_ms / 1000
        self._members = [parse_address("fleet.members", text) for text in table.members]
        self._next_read = self._next_write = self._random.randrange(len(self._members))

    def status(self) -> dict[str, str]:
        """By member, why it could not be read from; empty where it could."""
        return {self._names[n]: self._errors.get(where, "") for n, where in enumerate(self._members)}

    def read_from_one(self, read: Callable[[int], None]) -> bool:
        """Have `read` try the members in turn until one serves; False where it raises for all of them.

        It raises MemberUnavailable for a member that is lost, without a leader or behind.
        """
        for turn in range(len(self._members)):
            member = (self._next_read + turn) % len(self._members)
            try:
                read(member)
            except MemberUnavailable as error:
                self._note(member, str(error))
                continue
            self._note(member, "")
            self._next_read = member
            return True
        return False

    def changes(self, after: int, prefixes: Iterable[str], member: int | None = None) -> Iterable[Changes]:
        """What changed past revision `after`, a piece at a time; MemberUnavailable where it can't be had.

        Without `member`, the one that served last.
        """
        member = self._next_read if member is None else member
        wanted = "".join(f"&prefix={quote(prefix, safe='')}" for prefix in prefixes)
        for _ in range(MAX_READS):
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
        """A document, or None where there is none; MemberUnavailable where that can't be known."""
        status, text = self._call(self._next_write, b"GET", f"/v1/store/{quote(key, safe='')}")
        if status == 404:
            return None
        try:
            return _answer.decode(text)
        except msgspec.DecodeError as error:
            raise MemberUnavailable(str(error)) from None

    def put(self, key: str, text: bytes, expect: int) -> Put:
        """Replace a document that is at revision `expect`, through the members in turn."""
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
        """A member's status and whole body within `call_ms`; MemberUnavailable where none comes."""
        where, seconds = self._members[member], self._call_s
        head = b"%s %s HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n"
        parser, buffer, parts, size = http1.ResponseParser(MAX_HEAD_BYTES), bytearray(RECEIVE_BYTES), [], 0
        try:
            with gevent.Timeout(seconds), http1.connect(where, seconds) as sock:
                http1.send_pieces(sock, [head % (method, target.encode(), len(body)), body])
                while not parser.complete:
                    parser.read(sock, buffer)
                    came = parser.take_body()
                    parts += came
                    size += sum(map(len, came))
                    if size > MAX_ANSWER_BYTES:
                        raise MemberUnavailable(f"more than {MAX_ANSWER_BYTES} bytes")
        except (OSError, http1.HttpError, gevent.Timeout) as error:
            raise MemberUnavailable(f"{type(error).__name__}: {error}") from None
        return parser.status, b"".join(parts)

    def _note(self, member: int, why: str) -> None:
        """Log how a member does when the kind of its error changes, not with each call."""
        where = self._members[member]
        if why.partition(":")[0] != self._errors.get(where, "").partition(":")[0]:
            log("fleet_member", member=self._names[member], why=why or "well")
        self._errors[where] = why
