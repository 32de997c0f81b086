"""What a store member answers to a call that it does not carry out; free of I/O."""

from __future__ import annotations

from typing import Any, ClassVar

from spoolbarrow.errors import Problem


class StoreFault(Problem):
    """A call to a store member is not carried out; `answer` is the status of HTTP."""

    answer: ClassVar[int] = 400
    where = "the document's key, or the part of the call"

    def __init__(self, place: str, what: str = "", **told: Any) -> None:
        """`told` goes into the answer beside the error."""
        super().__init__(place, what)
        self.told = told


class BadCall(StoreFault):
    """A call to a store member can't be read."""

    remedy = "Say it again as docs/operators/store.md has it, or by `spoolbarrow store`."


class BadDocument(StoreFault):
    """A document's key or value is outside the bounds."""

    remedy = "Keep keys within 1 to 256 bytes and values within 256 KiB."


class NoSuchPath(StoreFault):
    """A store member has no call of this path."""

    answer = 404
    remedy = "Look the path up in docs/operators/store.md."


class NoSuchKey(StoreFault):
    """This store member has no document of this key."""

    answer = 404
    remedy = "See that the key is spelt as it was written; a member that was cut off may not have it yet."


class WrongMethod(StoreFault):
    """A document is asked for by another method than GET or PUT."""

    answer = 405
    remedy = "Use GET to read and PUT to write: documents are not removed."


class Stopped(StoreFault):
    """This store member's disk failed, and it takes no more part; nothing was done."""

    answer = 409
    remedy = "Ask another member; make room for this one's file and start it again."


class NotLeading(StoreFault):
    """Another store member leads, or none does yet; nothing was done."""

    answer = 409
    remedy = "Ask the member that `leader` names, or all of them in turn (several `--at`)."


class Conflict(StoreFault):
    """A document is at another revision than the change expects, or there are as many as are kept."""

    answer = 409
    remedy = "Read the document again, make the change to that, and write it with the revision it has now."


class Unknown(StoreFault):
    """It is not known whether a change was written: it was not committed in time, or the disk failed."""

    answer = 503
    remedy = "Read the document, or say the change again with the same `expect`: it is written once."
