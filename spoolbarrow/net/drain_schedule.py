"""The clock of a drain: what ends how long after SIGTERM. Pure: it knows times, not connections.

The options tell the times for a platform that sends SIGKILL 3.7 s after SIGTERM. It comes sooner where no
class has a deadline of 3 s, and all that has to be over before it then moves to the front.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from spoolbarrow.config import Config

LONGEST_MS = 3000.0  # SIGKILL comes 0.7 s and the longest deadline, counted as this at most, after SIGTERM
PASS_MS = 1000.0  # most streams end by then; those that run are handed to a process that takes clients
SUCCEEDED_KEEP_MS = 1000.0  # clients may use connections so long, where another process takes idle ones


class DrainCause(Enum):
    """Why clients are to go."""

    CALL = "call"  # an operator drains this router by hand
    SIGTERM = "sigterm"  # the process ends
    SUCCESSOR = "successor"  # the process ends, and a newer one takes its clients


class DrainSchedule(Struct, frozen=True):
    """Each time in ms after SIGTERM."""

    accept: float  # connections are accepted until then
    keep: float  # from then on idle connections are closed and answers end theirs
    refuse: float  # from then on what comes is refused: no engine hears of it
    pass_on: float  # from then on running streams pass to a newer process
    move: float  # from then on running streams are let go, where clients ask for the rest
    answer: float  # what has no answer gets one
    retry_after: float  # ms, for those that are refused


def drain_schedule(config: Config, succeeded: bool) -> DrainSchedule:
    """The times of a drain; `succeeded`: another process accepts from the same socket and takes streams."""
    options, settings = config.options, config.settings
    longest = max(cls.deadline_ms for cls in settings.classes)
    sooner = max(0.0, LONGEST_MS - longest)
    accept = 0.0 if succeeded else options.drain_accept_ms

    def until(time: float) -> float:
        return max(accept, time - sooner)

    keep, move = until(options.drain_keep_ms), until(options.drain_move_ms)
    if succeeded:
        keep = min(keep, until(SUCCEEDED_KEEP_MS))
    elif not config.resumes:
        # Nobody asks for the rest of a stream that SIGKILL cuts off: what is taken must be whole by then.
        keep = min(keep, options.drain_accept_ms)
    answer = until(options.drain_answer_ms)
    refuse = min(answer, move if succeeded or config.resumes else keep)
    retry_after = min(options.drain_accept_ms, settings.max_retry_after_ms)
    return DrainSchedule(accept, keep, refuse, until(PASS_MS), move, answer, retry_after)
