"""The state machine behind the replicated log: documents by key, each with its revision. No I/O, no clock.

A command names the revision that it expects the key to have: of two concurrent changes one is refused, and a
repeated change is applied once. The number of keys and the lengths of keys and values are bounded.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from spoolbarrow.store.faults import BadDocument
from spoolbarrow.store.raft import LogError

MAX_KEYS = 10_000
MAX_KEY_BYTES, MAX_VALUE_BYTES = 256, 262_144


class Put(Struct, frozen=True):
    """Writes a document: `expect` is its current revision, 0 if there is none; negative accepts any."""

    id: str
    key: str
    value: bytes
    expect: int = -1


class Document(Struct, frozen=True):
    """A document and its revision: the log index of the entry that wrote it."""

    value: bytes
    revision: int


class Outcome(Struct, frozen=True):
    """A command's result: the document's revision; `why` is the reason if it was refused."""

    revision: int
    why: str = ""


def check_put(put: Put) -> None:
    """Raise BadDocument if a command must not be put into the log."""
    if not put.key or len(put.key.encode()) > MAX_KEY_BYTES:
        raise BadDocument("key", f"wants 1 to {MAX_KEY_BYTES} bytes")
    if len(put.value) > MAX_VALUE_BYTES:
        raise BadDocument("value", f"more than {MAX_VALUE_BYTES} bytes")


class StateMachine:
    """The documents as of one index of the log."""

    def __init__(self, data: bytes = b"") -> None:
        """Load the output of `encode`; no data gives an empty state. LogError if the data is malformed."""
        try:
            self.documents = msgspec.msgpack.decode(data, type=dict[str, Document]) if data else {}
        except msgspec.DecodeError as error:
            raise LogError("", f"the snapshot is malformed: {error}") from error

    def apply(self, index: int, data: bytes) -> tuple[str, Outcome] | None:
        """Apply an entry; returns its command's id and outcome, or None for an entry without a command."""
        if not data:
            return None
        put = msgspec.msgpack.decode(data, type=Put)
        old = self.documents.get(put.key)
        revision = 0 if old is None else old.revision
        if put.expect >= 0 and put.expect != revision:
            return put.id, Outcome(revision, f"{put.key}: at revision {revision}, not {put.expect}")
        if old is None and len(self.documents) >= MAX_KEYS:
            return put.id, Outcome(0, f"{put.key}: {MAX_KEYS} keys are kept")
        self.documents[put.key] = Document(put.value, index)
        return put.id, Outcome(index)

    def encode(self) -> bytes:
        """All documents, encoded for a snapshot."""
        return msgspec.msgpack.encode(self.documents)
