"""Drain schedules and the set of drains in force: computes times only and touches no connections.

A drain has one of three causes, and an operator's drain may coincide with the end of the process. Code that
closes a connection, accepts a request or accepts a client consults the one `DrainState` at that moment; this
state is kept nowhere else.
The options give the times after SIGTERM for a platform that sends SIGKILL 3.7 s later. If every class has a
deadline below 3 s, SIGKILL comes sooner, and all steps due before it move forward accordingly.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import inf

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow.config import Config

NEVER_MS = inf
# SIGKILL follows SIGTERM after KILL_MARGIN_MS and the longest deadline, the latter limited to LONGEST_MS.
LONGEST_MS = 3000.0
KILL_MARGIN_MS = 700.0
HANDOVER_MS = 1000.0  # most streams end by then; the others are handed over to the successor process
SUCCESSOR_KEEP_MS = 1000.0  # how long connections stay in use if a successor takes over idle ones
# Drain by an operator's call. The load balancer polls readiness every 0.1 s and still sends for 0.2 s after.
CALL_CLOSE_IDLE_MS = 400.0  # clients of connections closed earlier would reconnect to this router
# 4 s after the call nothing accepted in the last 2 s may be held; the call itself may be up to 1 s late.
CALL_REFUSE_MS = 1000.0
CALL_CLOSE_ALL_MS = 2500.0
ALL_STEPS_REACHED_MS = 60_000.0  # assumed age of a drain inherited from an earlier process: past all steps


class DrainCause(Enum):
    """Why clients are drained."""

    OPERATOR = "call"  # an operator drains this router
    SIGTERM = "sigterm"  # the process ends
    SUCCESSOR = "successor"  # the process ends, and a newer one takes over its clients


class DrainStep(Enum):
    """Steps of a drain; each applies from its time on."""

    END_ANSWERS = "end_answers"  # connections close after their response
    CLOSE_IDLE = "close_idle"  # idle connections are closed
    REFUSE = "refuse"  # new requests are refused and reach no engine
    REFUSE_HALF_READ = "refuse_half_read"  # incomplete requests are refused
    MOVE_STREAMS = "move_streams"  # running streams are broken off, if clients can resume them elsewhere
    ANSWER_ALL = "answer_all"  # requests without a response get a final one
    CLOSE_ALL = "close_all"  # only running responses are waited for; unread requests stay unread


class DrainSchedule(Struct, frozen=True):
    """Times in ms after the start of a drain; a missing step is never reached."""

    steps: Mapping[DrainStep, float]
    accept_ms: float = NEVER_MS  # until then connections are accepted
    handover_ms: float = NEVER_MS  # from then on running streams are handed over to a newer process
    retry_after_ms: float = 0.0  # for refused requests

    def at(self, step: DrainStep) -> float:
        """The time of a step."""
        return self.steps.get(step, NEVER_MS)


def operator_schedule(config: Config) -> DrainSchedule:
    """The schedule of a drain by an operator: the process and its streams continue."""
    steps = {
        DrainStep.END_ANSWERS: 0.0,
        DrainStep.CLOSE_IDLE: CALL_CLOSE_IDLE_MS,
        DrainStep.REFUSE: CALL_REFUSE_MS,
        DrainStep.REFUSE_HALF_READ: CALL_REFUSE_MS,
        DrainStep.CLOSE_ALL: CALL_CLOSE_ALL_MS,
    }
    return DrainSchedule(steps, retry_after_ms=_retry_after(config))


def shutdown_schedule(config: Config, has_successor: bool) -> DrainSchedule:
    """The schedule for the end of a process, with or without a successor for its clients and streams."""
    options, settings = config.options, config.settings
    longest = max(cls.deadline_ms for cls in settings.classes)
    advance = max(0.0, LONGEST_MS - longest)
    accept = 0.0 if has_successor else options.drain_accept_ms

    def adjusted(time: float) -> float:
        return max(accept, time - advance)

    keep, move = adjusted(options.drain_keep_ms), adjusted(options.drain_move_ms)
    if has_successor:
        keep = min(keep, adjusted(SUCCESSOR_KEEP_MS))
    elif not config.resumes_streams:
        # A stream cut off by SIGKILL can't be resumed, so accepted requests have to be complete by then.
        keep = min(keep, options.drain_accept_ms)
    answer = adjusted(options.drain_answer_ms)
    steps = {
        DrainStep.END_ANSWERS: keep,
        DrainStep.REFUSE: min(answer, move if has_successor or config.resumes_streams else keep),
        DrainStep.REFUSE_HALF_READ: answer,
        DrainStep.ANSWER_ALL: answer,
        DrainStep.CLOSE_ALL: adjusted(LONGEST_MS + KILL_MARGIN_MS),
    }
    if not has_successor:
        steps[DrainStep.CLOSE_IDLE] = keep  # a successor takes idle connections over instead
    if config.resumes_streams:
        steps[DrainStep.MOVE_STREAMS] = move
    return DrainSchedule(steps, accept, adjusted(HANDOVER_MS), _retry_after(config))


def _retry_after(config: Config) -> float:
    return min(config.options.drain_accept_ms, config.settings.max_retry_after_ms)


class Drain(Struct, frozen=True):
    """A drain in force."""

    cause: DrainCause
    begun: float  # ms, on the host's clock
    schedule: DrainSchedule

    def reached(self, step: DrainStep, now: float) -> bool:
        """Whether it has reached a step."""
        return now - self.begun >= self.schedule.at(step)


class DrainState:
    """The drains in force; a step applies as soon as any of them reaches it."""

    def __init__(self) -> None:
        self._drains: dict[DrainCause, Drain] = {}

    def begin(self, cause: DrainCause, schedule: DrainSchedule, begun: float) -> bool:
        """Start a drain; False, with its clock unchanged, if one of this cause is in force already."""
        if cause in self._drains:
            return False
        self._drains[cause] = Drain(cause, begun, schedule)
        return True

    def cancel(self, cause: DrainCause) -> Drain | None:
        """End a drain and return it; None if it was not in force."""
        return self._drains.pop(cause, None)

    def stop_idle_handover(self, now: float, resumes: bool) -> None:
        """End the handover of idle connections, as the successor rejects them: close them here instead."""
        drain = self._drains[DrainCause.SUCCESSOR]
        passed, schedule = now - drain.begun, drain.schedule
        keep = schedule.at(DrainStep.END_ANSWERS)
        sooner = {DrainStep.END_ANSWERS: min(keep, passed), DrainStep.CLOSE_IDLE: max(keep, passed)}
        if not resumes:
            # New streams could not be handed over either.
            sooner[DrainStep.REFUSE] = min(schedule.at(DrainStep.REFUSE), passed)
        steps = {**schedule.steps, **sooner}
        self._drains[drain.cause] = replace(drain, schedule=replace(schedule, steps=steps))

    def active_drains(self) -> list[Drain]:
        """The drains in force."""
        return list(self._drains.values())

    def by_operator(self) -> bool:
        """Whether an operator's drain is in force."""
        return DrainCause.OPERATOR in self._drains

    def has_successor(self) -> bool:
        """Whether the process is ending and another one accepts clients."""
        return DrainCause.SUCCESSOR in self._drains

    def process_ending(self) -> bool:
        """Whether the process is ending."""
        return self.has_successor() or DrainCause.SIGTERM in self._drains

    def active(self) -> bool:
        """Whether any drain is in force."""
        return bool(self._drains)

    def reached(self, step: DrainStep, now: float) -> bool:
        """Whether any drain has reached a step."""
        return any(drain.reached(step, now) for drain in self._drains.values())

    def refusal_retry_ms(self, now: float) -> float | None:
        """The Retry-After time in ms if new requests are refused now."""
        refusing = [one.schedule for one in self._drains.values() if one.reached(DrainStep.REFUSE, now)]
        return max((schedule.retry_after_ms for schedule in refusing), default=None)

    def retry_after_ms(self) -> float:
        """The Retry-After time in ms of responses caused by a drain."""
        return max((one.schedule.retry_after_ms for one in self._drains.values()), default=0.0)
