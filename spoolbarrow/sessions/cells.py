"""A session's behaviour as one small number, the same at every router: its cell.

A cell is what is known of a session after a turn: its class, how many turns, and the octaves of its mean gap,
of what it adds per turn, and of its answers. It identifies no session. Times in ms, lengths in tokens.
"""

from __future__ import annotations

from bisect import bisect_right
from math import log2

FIRST_TURNS = (1, 2, 3, 5, 9, 17)  # of each stage: behaviour changes most in the first few turns
STAGES = len(FIRST_TURNS)
EDGES_MS = tuple(500.0 * 2.0**n for n in range(13))  # of spans of the time away: half a second to 34 minutes
SPANS = len(EDGES_MS)
HORIZON_MS = EDGES_MS[-1]  # a session away for longer counts as ended
GAP_BASE_MS = 125.0  # gaps are in octaves above it
MAX_OCTAVE = 30  # bins 1..31; 0: unknown
UNKNOWN = -1.0
MAX_CLASS = 255

_STAGES = tuple(sum(turn >= first for first in FIRST_TURNS) - 1 for turn in range(FIRST_TURNS[-1] + 1))


def stage(turns: int) -> int:
    """The stage of a session after so many turns, at least one."""
    return _STAGES[turns] if turns < FIRST_TURNS[-1] else STAGES - 1


def span(away_ms: float) -> int:
    """The span that a time away falls into; SPANS: beyond the horizon."""
    return bisect_right(EDGES_MS, away_ms)


def octave(value: float) -> float:
    """A positive quantity on the scale of cells: octaves above one, limited to the range of a bin."""
    return min(float(MAX_OCTAVE), log2(value)) if value > 1.0 else 0.0


def encode(cls: int, turns: int, gap: float, growth: float, answer: float) -> int:
    """The number of a cell; gap, growth and answer in octaves, or UNKNOWN."""
    return (
        cls << 18
        | (_STAGES[turns] if turns < FIRST_TURNS[-1] else STAGES - 1) << 15
        | (int(gap) + 1 if gap >= 0.0 else 0) << 10
        | (int(growth) + 1 if growth >= 0.0 else 0) << 5
        | (int(answer) + 1 if answer >= 0.0 else 0)
    )


def parts(number: int) -> tuple[int, int, int, int, int]:
    """Class, stage, and the bins of gap, growth and answer; bin 0: unknown."""
    return number >> 18, number >> 15 & 7, number >> 10 & 31, number >> 5 & 31, number & 31


def is_valid(number: int) -> bool:
    """Whether a number from another router can be a cell."""
    return 0 <= number < (MAX_CLASS + 1) << 18 and (number >> 15 & 7) < STAGES
