"""What operators told this router, as every process of it must know it: the latest word on each matter holds.

Owns the table of words and their form in a file; carrying them out is `commands`'. Free of I/O and clock.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from spoolbarrow.handover import HandoverDataError

VERSION = 1
MOST_BYTES = 1 << 20  # of a file of words: longer than any that MAX_SUSPENDED short names make
CLEARED_RETENTION_MS = (
    60_000.0  # a word that takes one back is kept so long: by then every process has heard it
)
ROUTER_DRAIN = ""  # the matter that is no engine: whether clients are sent away


class Override(Struct, frozen=True):
    """Whether an engine is suspended, or clients are sent away, and since when, Unix ms."""

    on: bool
    at: float


class _File(Struct):
    v: int
    name: str
    words: dict[str, Override]


class Overrides:
    """By matter: an engine's id, or ROUTER_DRAIN."""

    def __init__(self) -> None:
        self._by_target: dict[str, Override] = {}

    def put(self, matter: str, on: bool, now: float) -> bool:
        """A new word; whether it changes anything."""
        old = self._by_target.get(matter)
        if on is (old is not None and old.on):
            return False
        # Never before the word that it replaces: clocks may be set back.
        self._by_target[matter] = Override(on, now if old is None else max(now, old.at + 0.001))
        return True

    def merge(self, other: Overrides) -> dict[str, Override]:
        """Take over what is later there; the matters that this changes."""
        changed = {}
        for matter, word in other._by_target.items():
            old = self._by_target.get(matter)
            if old is None or word.at > old.at:
                self._by_target[matter] = word
                if word.on is not (old is not None and old.on):
                    changed[matter] = word
        return changed

    def prune(self, now: float) -> None:
        """Forget what was taken back long ago."""
        for matter in [
            m for m, word in self._by_target.items() if not word.on and now - word.at > CLEARED_RETENTION_MS
        ]:
            del self._by_target[matter]

    def encode(self, name: str) -> bytes:
        """The text of a file for the router of that name."""
        return msgspec.json.encode(_File(VERSION, name, self._by_target))


def decode(text: bytes, name: str) -> Overrides:
    """The words in a file's text; HandoverDataError where they are torn, foreign or of another version."""
    if len(text) > MOST_BYTES:
        raise HandoverDataError("", "too large")
    try:
        file = msgspec.json.decode(text, type=_File)
    except msgspec.DecodeError as error:
        raise HandoverDataError("", str(error)) from error
    if file.v != VERSION or file.name != name:
        raise HandoverDataError("", f"version {file.v} of {file.name!r}")
    words = Overrides()
    words._by_target = file.words
    return words
