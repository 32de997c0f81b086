"""The live sessions of one router as a few packed numbers each: bounded, and without data of ended sessions.

A session has its place in one set of WAYS slots, by its key. In a full set the least valuable session is
replaced: that needs no index and no heap, and a flood of new sessions replaces itself first. 64 bytes per
slot, allocated at the start.
"""

from __future__ import annotations

from array import array
from typing import Any

WAYS = 32
SLOTS = 131_072  # with 100,000 sessions one set in 20 is full
VALUE_HALF_TIME_MS = 60_000.0  # time away after which a session is worth half as much to the table
NO_ENGINE = 0xFFFF
IN_PROGRESS = 255  # value of `passed` while a request is under way
HASH_FACTOR = 0x9E3779B97F4A7C15
_MASK_64 = (1 << 64) - 1


class SessionTable:
    """Columns by slot; callers read and write the columns at the slot that `find` or `place` returns."""

    __slots__ = (
        "sets", "keys", "at", "away", "turns", "passed", "cls", "tenant", "home", "gap", "growth", "answer",
        "prompt", "context", "shared", "mark", "cell", "worth", "count", "_columns",
    )  # fmt: skip

    def __init__(self, slots: int = SLOTS) -> None:
        self.sets = max(1, slots // WAYS)
        size = self.sets * WAYS

        def integers(code: str) -> array[int]:
            return array(code, bytes(size * array(code).itemsize))

        def floats(code: str) -> array[float]:
            return array(code, bytes(size * array(code).itemsize))

        self.keys = integers("Q")  # 0: free
        self.at = floats("d")  # end of its last turn, ms; while IN_PROGRESS: time of its request
        self.away = floats("f")  # time away before its last request, ms
        self.turns, self.tenant, self.home = integers("H"), integers("H"), integers("H")
        self.passed = integers("B")  # spans of its time away that were counted already
        self.cls = integers("B")
        self.gap, self.growth, self.answer = floats("f"), floats("f"), floats("f")  # means, in octaves
        # Tokens of its last prompt, and those cached at its engine after the answer.
        self.prompt, self.context = integers("I"), integers("I")
        self.shared = integers("I")  # of these, tokens of the shared prefix
        self.mark = integers("I")  # mark of the tokens added to its engine by then
        self.cell = integers("I")
        self.worth = floats("f")
        self.count = 0
        columns = (getattr(self, name, None) for name in self.__slots__)
        self._columns: tuple[array[Any], ...] = tuple(c for c in columns if isinstance(c, array))

    def size_bytes(self) -> int:
        """The size of the columns."""
        return sum(len(c) * c.itemsize for c in self._columns)

    def _set(self, key: int) -> int:
        return ((key * HASH_FACTOR & _MASK_64) >> 32) * self.sets >> 32

    def find(self, key: int) -> int:
        """The slot of a session; -1: unknown."""
        base = self._set(key) * WAYS
        try:
            return self.keys.index(key, base, base + WAYS)
        except ValueError:
            return -1

    def place(self, now: float, key: int) -> tuple[int, bool]:
        """A slot for a new session, and whether another one has to be removed from it first."""
        base = self._set(key) * WAYS
        try:
            return self.keys.index(0, base, base + WAYS), False
        except ValueError:
            worth, at = self.worth, self.at
            return min(
                range(base, base + WAYS),
                key=lambda n: worth[n] / (VALUE_HALF_TIME_MS + max(0.0, now - at[n])),
            ), True

    def begin(self, slot: int, key: int) -> None:
        """Assign a slot to a session, with empty columns."""
        self.clear(slot)
        self.keys[slot] = key
        self.count += 1

    def clear(self, slot: int) -> None:
        """Clear a slot."""
        self.count -= self.keys[slot] != 0
        for column in self._columns:
            column[slot] = 0
        self.home[slot] = NO_ENGINE
