"""What operators told this router, as every process of it must know it: the latest word on each matter holds.

Owns the table of words and their form in a file; carrying them out is `orders`'. Free of I/O and clock.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from spoolbarrow.handover import HandoverDataError

VERSION = 1
MOST_BYTES = 1 << 20  # of a file of words: longer than any that MOST_SUSPENDED short names make
KEPT_MS = 60_000.0  # a word that takes one back is kept so long: by then every process has heard it
AWAY = ""  # the matter that is no engine: whether clients are sent away


class Word(Struct, frozen=True):
    """Whether an engine is suspended, or clients are sent away, and since when, Unix ms."""

    on: bool
    at: float


class _File(Struct):
    v: int
    name: str
    words: dict[str, Word]


class Words:
    """By matter: an engine's id, or AWAY."""

    def __init__(self) -> None:
        self._words: dict[str, Word] = {}

    def say(self, matter: str, on: bool, now: float) -> bool:
        """A new word; whether it changes anything."""
        old = self._words.get(matter)
        if on is (old is not None and old.on):
            return False
        # Never before the word that it replaces: clocks may be set back.
        self._words[matter] = Word(on, now if old is None else max(now, old.at + 0.001))
        return True

    def merge(self, other: Words) -> dict[str, Word]:
        """Take over what is later there; the matters that this changes."""
        changed = {}
        for matter, word in other._words.items():
            old = self._words.get(matter)
            if old is None or word.at > old.at:
                self._words[matter] = word
                if word.on is not (old is not None and old.on):
                    changed[matter] = word
        return changed

    def tidy(self, now: float) -> None:
        """Forget what was taken back long ago."""
        for matter in [m for m, word in self._words.items() if not word.on and now - word.at > KEPT_MS]:
            del self._words[matter]

    def write(self, name: str) -> bytes:
        """The text of a file for the router of that name."""
        return msgspec.json.encode(_File(VERSION, name, self._words))


def read(text: bytes, name: str) -> Words:
    """The words in a file's text; HandoverDataError where they are torn, foreign or of another version."""
    if len(text) > MOST_BYTES:
        raise HandoverDataError("", "too large")
    try:
        file = msgspec.json.decode(text, type=_File)
    except msgspec.DecodeError as error:
        raise HandoverDataError("", str(error)) from error
    if file.v != VERSION or file.name != name:
        raise HandoverDataError("", f"version {file.v} of {file.name!r}")
    words = Words()
    words._words = file.words
    return words
