"""Errors that a store member returns for calls that it refuses or can't complete; no I/O."""

from __future__ import annotations

from typing import Any, ClassVar

from spoolbarrow.errors import Problem


class StoreFault(Problem):
    """A call to a store member was not carried out; `answer` is the HTTP status."""

    answer: ClassVar[int] = 400
    where = "the document's key, or the part of the call"

    def __init__(self, place: str, what: str = "", **details: Any) -> None:
        """`details` are further fields of the response, beside the error."""
        super().__init__(place, what)
        self.details = details


class BadCall(StoreFault):
    """A call to a store member is malformed."""

    remedy = "Send the call as docs/operators/store.md describes it, or use `spoolbarrow store`."


class BadDocument(StoreFault):
    """A document's key or value is outside the bounds."""

    remedy = "Keep keys within 1 to 256 bytes and values within 256 KiB."


class NoSuchPath(StoreFault):
    """A store member has no endpoint at this path."""

    answer = 404
    remedy = "See docs/operators/store.md for the paths."


class NoSuchKey(StoreFault):
    """This store member has no document with this key."""

    answer = 404
    remedy = "Check the spelling of the key; a member that was partitioned may not have the document yet."


class WrongMethod(StoreFault):
    """A document was requested by a method other than GET and PUT."""

    answer = 405
    remedy = "Use GET to read and PUT to write: documents can't be removed."


class Stopped(StoreFault):
    """This store member's disk failed and it no longer participates; nothing was changed."""

    answer = 409
    remedy = "Use another member; make room for this member's file and restart it."


class NotLeading(StoreFault):
    """Another store member is the leader, or there is none yet; nothing was changed."""

    answer = 409
    remedy = "Send the call to the member that `leader` names, or to all members in turn (several `--at`)."


class Conflict(StoreFault):
    """A document is not at the revision that the change expects, or the limit of keys is reached."""

    answer = 409
    remedy = "Read the document again, apply the change to it, and write it with its current revision."


class Unknown(StoreFault):
    """It is unknown whether a change was written: it was not committed in time, or the disk failed."""

    answer = 503
    remedy = "Read the document, or repeat the change with the same `expect`: it is written only once."
