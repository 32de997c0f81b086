"""How a session's behaviour is written as one small number, the same at every router: its cell.

A cell is what is known of a session after a turn: class, how many turns, and the octaves of its mean gap, of
what it adds a turn, and of its answers. It names nobody. Times in ms, lengths in tokens.
"""

from __future__ import annotations

from bisect import bisect_right
from math import log2

TURNS = (1, 2, 3, 5, 9, 17)  # first turn of each stage: behaviour changes most in the first few
STAGES = len(TURNS)
EDGES_MS = tuple(500.0 * 2.0**n for n in range(13))  # of the time away: half a second to 34 minutes
SPANS = len(EDGES_MS)
HORIZON_MS = EDGES_MS[-1]  # who is away for longer counts as gone
GAP_BASE_MS = 125.0  # gaps are told in octaves above it
MOST_OCTAVE = 30  # bins 1..31; 0: not known
NOT_KNOWN = -1.0
MOST_CLASS = 255

_STAGE = tuple(sum(turn >= first for first in TURNS) - 1 for turn in range(TURNS[-1] + 1))


def stage(turns: int) -> int:
    """Which stage a session is in that has had so many turns, at least one."""
    return _STAGE[turns] if turns < TURNS[-1] else STAGES - 1


def span(away_ms: float) -> int:
    """Which span of time away this lies in; SPANS: beyond the horizon."""
    return bisect_right(EDGES_MS, away_ms)


def octave(value: float) -> float:
    """A positive quantity on the scale of cells: octaves above one, within what a bin can say."""
    return min(float(MOST_OCTAVE), log2(value)) if value > 1.0 else 0.0


def cell(cls: int, turns: int, gap: float, growth: float, answer: float) -> int:
    """One number of it all; gap, growth and answer in octaves, NOT_KNOWN where they are."""
    return (
        cls << 18
        | (_STAGE[turns] if turns < TURNS[-1] else STAGES - 1) << 15
        | (int(gap) + 1 if gap >= 0.0 else 0) << 10
        | (int(growth) + 1 if growth >= 0.0 else 0) << 5
        | (int(answer) + 1 if answer >= 0.0 else 0)
    )


def parts(number: int) -> tuple[int, int, int, int, int]:
    """Class, stage, and the bins of gap, growth and answer; a bin of 0: not known."""
    return number >> 18, number >> 15 & 7, number >> 10 & 31, number >> 5 & 31, number & 31


def valid(number: int) -> bool:
    """Whether a number that somebody else told can be a cell."""
    return 0 <= number < (MOST_CLASS + 1) << 18 and (number >> 15 & 7) < STAGES
