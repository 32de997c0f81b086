"""The live sessions of one router, a few packed numbers each: bounded, and nothing stays of who has gone.

A session has its place in one set of WAYS slots, by its key. In a full set the least valuable gives way: no
index, no heap, and a flood of new sessions pushes out itself first. 64 bytes a slot, taken at the start.
"""

from __future__ import annotations

from array import array
from typing import Any

WAYS = 32
SLOTS = 131_072  # 100,000 sessions lie in them with a set in twenty full
PATIENCE_MS = 60_000.0  # away for so long, a session is worth half as much to the table
NO_HOME = 0xFFFF
OUT = 255  # of `passed`: its request is under way
SPREAD = 0x9E3779B97F4A7C15
_M64 = (1 << 64) - 1


class SessionTable:
    """Columns by slot; `find` and `place` give the slot, and whoever holds one may read and write it."""

    __slots__ = (
        "sets", "keys", "at", "away", "turns", "passed", "cls", "tenant", "home", "gap", "growth", "answer",
        "prompt", "context", "shared", "mark", "cell", "worth", "count", "_columns",
    )  # fmt: skip

    def __init__(self, slots: int = SLOTS) -> None:
        self.sets = max(1, slots // WAYS)
        size = self.sets * WAYS

        def column(code: str) -> array[int]:
            return array(code, bytes(size * array(code).itemsize))

        def reals(code: str) -> array[float]:
            return array(code, bytes(size * array(code).itemsize))

        self.keys = column("Q")  # 0: free
        self.at = reals("d")  # of its last turn's end, ms; while OUT: of its request
        self.away = reals("f")  # before its last request, ms
        self.turns, self.tenant, self.home = column("H"), column("H"), column("H")
        self.passed = column("B")  # spans of its time away that are told already
        self.cls = column("B")
        self.gap, self.growth, self.answer = reals("f"), reals("f"), reals("f")  # means, octaves
        self.prompt, self.context = column("I"), column("I")  # tokens asked last, and left at its home
        self.shared = column("I")  # of these, its opening's
        self.mark = column("I")  # what had been poured into its home then
        self.cell = column("I")
        self.worth = reals("f")
        self.count = 0
        columns = (getattr(self, name, None) for name in self.__slots__)
        self._columns: tuple[array[Any], ...] = tuple(c for c in columns if isinstance(c, array))

    def size_bytes(self) -> int:
        """What the columns hold."""
        return sum(len(c) * c.itemsize for c in self._columns)

    def _set(self, key: int) -> int:
        return ((key * SPREAD & _M64) >> 32) * self.sets >> 32

    def find(self, key: int) -> int:
        """Its slot; -1: not known."""
        base = self._set(key) * WAYS
        try:
            return self.keys.index(key, base, base + WAYS)
        except ValueError:
            return -1

    def place(self, now: float, key: int) -> tuple[int, bool]:
        """A slot for a new session, and whether somebody has to leave it first."""
        base = self._set(key) * WAYS
        try:
            return self.keys.index(0, base, base + WAYS), False
        except ValueError:
            worth, at = self.worth, self.at
            return min(
                range(base, base + WAYS), key=lambda n: worth[n] / (PATIENCE_MS + max(0.0, now - at[n]))
            ), True

    def begin(self, slot: int, key: int) -> None:
        """The slot is this session's from now on, as if it had never been another's."""
        self.forget(slot)
        self.keys[slot] = key
        self.count += 1

    def forget(self, slot: int) -> None:
        """Nothing stays."""
        self.count -= self.keys[slot] != 0
        for column in self._columns:
            column[slot] = 0
        self.home[slot] = NO_HOME
