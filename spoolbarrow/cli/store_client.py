"""Calls of commands to the store's members, and writes that are carried out at most once.

A call without an answer may have been carried out, or may still be, even after a later call. Each call of a
write therefore names the revision that it replaces: the store replaces a revision only once, so at most one
of these calls changes the document, whichever is carried out first. A write without an expected revision
reads the current one, and reads it again from a member that has definitely refused the write.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar
from urllib.parse import quote

from msgspec import Struct

from spoolbarrow.cli.errors import NoAnswer, Refused, Unreachable
from spoolbarrow.cli.http_client import convert_response, request_json
from spoolbarrow.errors import Problem

T = TypeVar("T")
Report = Callable[[Problem], None]
NO_DOCUMENT = 0  # the revision of a key that has no document
MAX_OVERTAKEN = 50  # writes of others that an overwrite may meet before it gives up


class Document(Struct):
    """A document and its revision."""

    revision: int
    value: str


class Written(Struct):
    """The new revision of a document."""

    revision: int


class ErrorBody(Struct):
    """A member's response to a call that it did not carry out."""

    error: str = "no"
    remedy: str = ""
    leader: str | None = None  # given if another member may carry the call out
    revision: int | None = None  # the document's, given if the write names another one


class MemberError(Refused):
    """A store member answers a call with an error."""

    def __init__(self, member: str, body: ErrorBody) -> None:
        super().__init__(member, body.error, body.remedy)


class MemberFailed(MemberError):
    """A store member could not complete a call; the change may be made, or may still be."""


class MemberRefused(MemberError):
    """A store member refuses a call; nothing was changed."""


class NoDocument(MemberRefused):
    """A store member has no document with a key, or is another program."""


class NotLeader(MemberRefused):
    """A store member carries out no writes; nothing was changed, and another member may be the leader."""


class RevisionConflict(MemberRefused):
    """A document is not at the revision that a write is to replace; nothing was changed by this call."""

    def __init__(self, member: str, body: ErrorBody, revision: int) -> None:
        super().__init__(member, body)
        self.revision = revision  # the document's current one


class OutcomeUnknown(Problem):
    """A write may have been carried out: a call had no definite answer, and no later call was accepted."""

    where = "the document's key"
    remedy = "Read it with `spoolbarrow store get`, and write it again only if the change is missing."


class NotWritten(Problem):
    """No store member accepted a write; nothing was changed."""

    where = "the document's key"
    remedy = "Repeat the command once `spoolbarrow store status` shows a leader among the members of `--at`."


def read(member: str, key: str) -> Document:
    """A member's copy of a document, which may be an older revision."""
    return request(member, "GET", _document_path(key), Document)


def request(member: str, method: str, path: str, kind: type[T], body: bytes = b"") -> T:
    """A member's response; raises NoAnswer if there is none, MemberError if it is an error."""
    status, decoded = request_json(member, method, path, body)
    if status == 200:
        return convert_response(member, decoded, kind)
    raise _to_error(member, status, convert_response(member, decoded, ErrorBody))


def write(members: Sequence[str], key: str, body: bytes, expect: int | None, report: Report) -> int:
    """Write a document at most once and return its new revision; `expect` None replaces any revision.

    Members are called in turn until one accepts. Raises MemberRefused or NotWritten if nothing was changed,
    OutcomeUnknown otherwise; `report` gets the errors of members after which another one is called.
    """
    if expect is not None:
        return _replace(members, key, body, expect, report)
    current = _read_revision(members, key, report)
    for _ in range(MAX_OVERTAKEN):
        try:
            return _replace(current.members, key, body, current.revision, report)
        except RevisionConflict as conflict:
            if conflict.revision == current.revision:
                raise  # refused for another reason, such as the limit of keys
            current = current._replace(revision=conflict.revision)
    remedy = "Repeat the command once the document is written less often."
    raise NotWritten(key, f"other writes came first {MAX_OVERTAKEN} times", remedy)


class _CurrentRevision(NamedTuple):
    """A document's revision, and the members to write it through: those without an answer come last."""

    revision: int
    members: Sequence[str]


def _read_revision(members: Sequence[str], key: str, report: Report) -> _CurrentRevision:
    """The revision that the first responding member has; it may be an older one."""
    for position, member in enumerate(members):
        in_turn = [*members[position:], *members[:position]]
        try:
            return _CurrentRevision(read(member, key).revision, in_turn)
        except NoDocument:
            return _CurrentRevision(NO_DOCUMENT, in_turn)
        except (NoAnswer, MemberError) as error:
            report(error)
    raise NotWritten(key, "no member tells its revision")


def _replace(members: Sequence[str], key: str, body: bytes, revision: int, report: Report) -> int:
    """Replace one revision through the first member that accepts it; raises as `write`.

    After a call with an unknown outcome, a conflict can be due to that call.
    """
    is_uncertain, detail = False, "no member accepted it"
    for member in members:
        try:
            return request(member, "PUT", f"{_document_path(key)}?expect={revision}", Written, body).revision
        except (NotLeader, Unreachable) as error:
            report(error)
        except (MemberFailed, NoAnswer) as error:
            report(error)
            is_uncertain = True
        except MemberRefused as error:
            if not is_uncertain:
                raise
            detail = str(error)
            break
    if is_uncertain:
        raise OutcomeUnknown(key, f"it may be written over revision {revision} ({detail})")
    raise NotWritten(key, detail)


def _document_path(key: str) -> str:
    return f"/v1/store/{quote(key, safe='')}"


def _to_error(member: str, status: int, body: ErrorBody) -> MemberError:
    if status >= 500:
        return MemberFailed(member, body)
    if status == 404:
        return NoDocument(member, body)
    if body.leader is not None:
        return NotLeader(member, body)
    if body.revision is not None:
        return RevisionConflict(member, body, body.revision)
    return MemberRefused(member, body)
