"""What the log's entries make: documents by key, each with the revision that wrote it. Free of I/O and clock.

A command names the revision that it expects the key to have, so that of two changes at once one is refused,
and one said again changes nothing twice. Bounded in keys, and in the length of a key and a value.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from spoolbarrow.store.faults import BadDocument
from spoolbarrow.store.raft import LogError

MOST_KEYS = 10_000
MOST_KEY, MOST_VALUE = 256, 262_144  # bytes


class Put(Struct, frozen=True):
    """Write a document: `expect` is the revision it has now, 0 for none; negative for any."""

    id: str
    key: str
    value: bytes
    expect: int = -1


class Document(Struct, frozen=True):
    """A document and the revision that wrote it: its place in the log."""

    value: bytes
    revision: int


class Outcome(Struct, frozen=True):
    """What came of a command: the document's revision; `why` where it was refused."""

    revision: int
    why: str = ""


def check(put: Put) -> None:
    """BadDocument where a command must not be put into the log."""
    if not put.key or len(put.key.encode()) > MOST_KEY:
        raise BadDocument("key", f"wants 1 to {MOST_KEY} bytes")
    if len(put.value) > MOST_VALUE:
        raise BadDocument("value", f"more than {MOST_VALUE} bytes")


class State:
    """The documents after some place of the log."""

    def __init__(self, data: bytes = b"") -> None:
        """As `write` wrote it; nothing: empty. LogError where it is neither."""
        try:
            self.documents = msgspec.msgpack.decode(data, type=dict[str, Document]) if data else {}
        except msgspec.DecodeError as error:
            raise LogError("", f"the snapshot is none: {error}") from error

    def apply(self, index: int, data: bytes) -> tuple[str, Outcome] | None:
        """Carry out an entry: its command's id and what came of it; None for one that carries none."""
        if not data:
            return None
        put = msgspec.msgpack.decode(data, type=Put)
        old = self.documents.get(put.key)
        revision = 0 if old is None else old.revision
        if put.expect >= 0 and put.expect != revision:
            return put.id, Outcome(revision, f"{put.key}: at revision {revision}, not {put.expect}")
        if old is None and len(self.documents) >= MOST_KEYS:
            return put.id, Outcome(0, f"{put.key}: {MOST_KEYS} keys are kept")
        self.documents[put.key] = Document(put.value, index)
        return put.id, Outcome(index)

    def write(self) -> bytes:
        """All of it, for a snapshot."""
        return msgspec.msgpack.encode(self.documents)
