"""Drains: what is done how long after each began, and which are in force. Pure: times, not connections.

Clients are sent away for one of three causes, and several may hold at once: an operator's call and the end of
the process. Whoever may end a connection, take a request or accept a client asks the one `DrainState`, at the
moment of doing so; nothing else keeps whether clients are to go.
The options tell the times after SIGTERM for a platform that sends SIGKILL 3.7 s later. It comes sooner where
no class has a deadline of 3 s, and all that has to be over before it then moves to the front.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import inf

from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow.config import Config

NEVER_MS = inf
LONGEST_MS = 3000.0  # SIGKILL comes this and the longest deadline, counted as this at most, after SIGTERM:
KILL_MARGIN_MS = 700.0
PASS_MS = 1000.0  # most streams end by then; those that run are handed to a process that takes clients
SUCCEEDED_KEEP_MS = 1000.0  # clients may use connections so long, where another process takes idle ones
# After an operator's call. The front asks every 0.1 s whether clients may come, and sends for 0.2 s more.
CALL_CLOSE_IDLE_MS = 400.0  # closed sooner, clients would come back here
# 4 s after the call nothing of the last 2 s may be held; the call itself may have waited for up to 1 s.
CALL_REFUSE_MS = 1000.0
CALL_CLOSE_ALL_MS = 2500.0
ALL_STEPS_REACHED_MS = 60_000.0  # since a call that an earlier process was told: all its steps are reached


class DrainCause(Enum):
    """Why clients are to go."""

    OPERATOR = "call"  # an operator drains this router by hand
    SIGTERM = "sigterm"  # the process ends
    SUCCESSOR = "successor"  # the process ends, and a newer one takes its clients


class DrainStep(Enum):
    """What a drain comes to do, each from some time on."""

    END_ANSWERS = "end_answers"  # the end of an answer ends its connection
    CLOSE_IDLE = "close_idle"  # connections on which nothing is under way are closed
    REFUSE = "refuse"  # what comes is refused: no engine hears of it
    REFUSE_HALF_READ = "refuse_half_read"  # so is what has not come whole
    MOVE_STREAMS = "move_streams"  # running streams are let go, where clients ask for the rest
    ANSWER_ALL = "answer_all"  # what has no answer gets one
    CLOSE_ALL = "close_all"  # nobody is waited for but answers that run: what is unread is left so


class DrainSchedule(Struct, frozen=True):
    """Each time in ms after the drain began; the steps that are missing are never reached."""

    steps: Mapping[DrainStep, float]
    accept_ms: float = NEVER_MS  # connections are accepted until then
    handover_ms: float = NEVER_MS  # from then on running streams pass to a newer process
    retry_after_ms: float = 0.0  # ms, for those that are refused

    def at(self, step: DrainStep) -> float:
        """When a step is reached."""
        return self.steps.get(step, NEVER_MS)


def operator_schedule(config: Config) -> DrainSchedule:
    """The times of a drain by an operator's call: the process goes on, and so do streams."""
    steps = {
        DrainStep.END_ANSWERS: 0.0,
        DrainStep.CLOSE_IDLE: CALL_CLOSE_IDLE_MS,
        DrainStep.REFUSE: CALL_REFUSE_MS,
        DrainStep.REFUSE_HALF_READ: CALL_REFUSE_MS,
        DrainStep.CLOSE_ALL: CALL_CLOSE_ALL_MS,
    }
    return DrainSchedule(steps, retry_after_ms=_retry_after(config))


def shutdown_schedule(config: Config, succeeded: bool) -> DrainSchedule:
    """The times of a process's end; `succeeded`: another one takes its clients and streams."""
    options, settings = config.options, config.settings
    longest = max(cls.deadline_ms for cls in settings.classes)
    sooner = max(0.0, LONGEST_MS - longest)
    accept = 0.0 if succeeded else options.drain_accept_ms

    def until(time: float) -> float:
        return max(accept, time - sooner)

    keep, move = until(options.drain_keep_ms), until(options.drain_move_ms)
    if succeeded:
        keep = min(keep, until(SUCCEEDED_KEEP_MS))
    elif not config.resumes_streams:
        # Nobody asks for the rest of a stream that SIGKILL cuts off: what is taken must be whole by then.
        keep = min(keep, options.drain_accept_ms)
    answer = until(options.drain_answer_ms)
    steps = {
        DrainStep.END_ANSWERS: keep,
        DrainStep.REFUSE: min(answer, move if succeeded or config.resumes_streams else keep),
        DrainStep.REFUSE_HALF_READ: answer,
        DrainStep.ANSWER_ALL: answer,
        DrainStep.CLOSE_ALL: until(LONGEST_MS + KILL_MARGIN_MS),
    }
    if not succeeded:
        steps[DrainStep.CLOSE_IDLE] = keep  # else idle connections pass on as long as they are taken
    if config.resumes_streams:
        steps[DrainStep.MOVE_STREAMS] = move
    return DrainSchedule(steps, accept, until(PASS_MS), _retry_after(config))


def _retry_after(config: Config) -> float:
    return min(config.options.drain_accept_ms, config.settings.max_retry_after_ms)


class Drain(Struct, frozen=True):
    """One that is in force."""

    cause: DrainCause
    begun: float  # ms, on the host's clock
    schedule: DrainSchedule

    def reached(self, step: DrainStep, now: float) -> bool:
        """Whether it has come to a step."""
        return now - self.begun >= self.schedule.at(step)


class DrainState:
    """The drains that are in force: of several, the one that reaches a step first counts."""

    def __init__(self) -> None:
        self._drains: dict[DrainCause, Drain] = {}

    def begin(self, cause: DrainCause, schedule: DrainSchedule, begun: float) -> bool:
        """A drain begins; False, and the clock of the first one goes on, where it has begun already."""
        if cause in self._drains:
            return False
        self._drains[cause] = Drain(cause, begun, schedule)
        return True

    def cancel(self, cause: DrainCause) -> Drain | None:
        """A drain is in force no more; None where it was not."""
        return self._drains.pop(cause, None)

    def pass_nothing_more(self, now: float, resumes: bool) -> None:
        """The newer process takes no idle connection: they end here, and so does what is asked on them."""
        drain = self._drains[DrainCause.SUCCESSOR]
        passed, schedule = now - drain.begun, drain.schedule
        keep = schedule.at(DrainStep.END_ANSWERS)
        sooner = {DrainStep.END_ANSWERS: min(keep, passed), DrainStep.CLOSE_IDLE: max(keep, passed)}
        if not resumes:
            sooner[DrainStep.REFUSE] = min(
                schedule.at(DrainStep.REFUSE), passed
            )  # a stream could not pass on either
        steps = {**schedule.steps, **sooner}
        self._drains[drain.cause] = replace(drain, schedule=replace(schedule, steps=steps))

    def drains(self) -> list[Drain]:
        """Those that are in force."""
        return list(self._drains.values())

    def by_operator(self) -> bool:
        """Whether an operator wants no clients here."""
        return DrainCause.OPERATOR in self._drains

    def has_successor(self) -> bool:
        """Whether the process ends and another one takes clients."""
        return DrainCause.SUCCESSOR in self._drains

    def process_ending(self) -> bool:
        """Whether the process ends."""
        return self.has_successor() or DrainCause.SIGTERM in self._drains

    def active(self) -> bool:
        """Whether clients are to go."""
        return bool(self._drains)

    def reached(self, step: DrainStep, now: float) -> bool:
        """Whether any drain has come to a step."""
        return any(drain.reached(step, now) for drain in self._drains.values())

    def refusal(self, now: float) -> float | None:
        """When to come back, ms, where what comes now is refused."""
        refusing = [one.schedule for one in self._drains.values() if one.reached(DrainStep.REFUSE, now)]
        return max((schedule.retry_after_ms for schedule in refusing), default=None)

    def retry_after(self) -> float:
        """When to come back, ms, for what a drain answers."""
        return max((one.schedule.retry_after_ms for one in self._drains.values()), default=0.0)
