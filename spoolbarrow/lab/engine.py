"""Models a language-model engine by steps: continuous batching, chunked prefill, paged memory, preemption.

G.-I. Yu et al., "Orca", OSDI '22 (a new batch for each step); A. Agrawal et al., "Taming
Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve", OSDI '24, section 4 (a step's token budget
goes to the running requests' tokens first, then to chunks of prompts, first come first served); vLLM's
scheduler (when memory runs out, the newest request returns to the head of the queue and is prefilled again).

No clock and no I/O: the caller passes the time, in milliseconds. Steps that only decode are run several at
once; an event in between cuts such a leap short after the current step, so the results are the same.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from math import inf
from random import Random
from typing import NamedTuple

from spoolbarrow.lab.kinds import EngineParameters
from spoolbarrow.lab.load_reports import EngineLoad, LoadReporter
from spoolbarrow.lab.memory import Key, Memory
from spoolbarrow.lab.warmup import Warmup

LEAP = 32  # most steps run at once: memory for all of them is allocated ahead


class EngineRequest(NamedTuple):
    """A request as an engine sees it; lengths in tokens."""

    id: str
    prompt: int
    answer: int
    opening: Key = None  # identifies the prefix that many requests share
    opening_tokens: int = 0
    session: Key = None  # identifies the context after it


class SubmitResult(Enum):
    """The result of submitting a request."""

    ACCEPTED = "taken"
    FULL = "full"  # rejected unprocessed
    ERROR = "error"
    CRASHED = "fell"  # too much load during slow start: the process crashes


class EventKind(Enum):
    """The kind of an event of a request."""

    STARTED = "started"  # its first token is generated
    ENDED = "ended"  # its last token is generated


class EngineEvent(NamedTuple):
    """An event of a request."""

    at: float
    kind: EventKind
    id: str
    kept: int  # prompt tokens found in the prefix cache


class Job:
    """The state of a request in the engine."""

    __slots__ = (
        "work", "came", "read", "target", "made", "kept", "cap", "opening", "opening_blocks", "rest", "drop",
    )  # fmt: skip

    def __init__(self, work: EngineRequest, block: int, came: float) -> None:
        self.work = work
        self.came = came
        self.read = 0  # context tokens that are prefilled and in memory
        self.target = work.prompt  # tokens to prefill before the next token can be generated
        self.made = 0
        self.kept = -1  # unknown until it first runs
        self.cap = 0  # token capacity of the blocks held
        shared = min(work.opening_tokens, work.prompt) if work.opening is not None else 0
        self.opening = ("o", work.opening)
        self.opening_blocks = shared // block
        self.rest: Key = ("s", work.session) if work.session is not None else ("r", work.id)
        self.drop = False


class Engine:
    """One engine process. Each method first advances the model to `now`; `advance` returns the events."""

    def __init__(
        self, figures: EngineParameters, rng: Random, now: float = 0.0, cold: bool = False, leap: int = LEAP
    ) -> None:
        self.figures = figures
        self.leap = leap
        self.rng = rng
        self.memory = Memory(figures.blocks)
        self.warmup = Warmup(figures, now, cold)
        self.reports = LoadReporter(figures, rng)
        self.waiting: deque[Job] = deque()
        self.running: list[Job] = []  # in order of admission
        self.jobs: dict[str, Job] = {}
        self.unread = 0  # tokens still to be prefilled, over all jobs
        self.asked = self.done_read = self.found = self.let_go = (
            0  # in tokens; asked less the other three is unread
        )
        self.made = self.preempted = self.steps = 0
        self.slow = 1.0  # factor on all times, set by a fault
        self.owed_ms = 0.0  # work outside the steps: handshakes, probes
        self.not_before = now  # paused until
        self.begin = now
        self.end = inf  # of the current steps
        self.count = 0  # number of current steps
        self.first_ms = self.grow_ms = 0.0  # duration of the first step, and each next one's increase
        self.reading: list[tuple[Job, int]] = []
        self.making: list[Job] = []
        self.events: list[EngineEvent] = []

    # --- public operations

    def next_event_at(self) -> float:
        """The time at which `advance` next has work, in ms; infinity while idle."""
        return self.end

    def advance(self, now: float) -> list[EngineEvent]:
        """Advance to `now`; return the events since the last call, in order."""
        while self.end <= now:
            self._finish_steps()
        events, self.events = self.events, []
        return events

    def submit(self, now: float, work: EngineRequest) -> SubmitResult:
        """Submit a request that has been received completely."""
        self._to(now)
        f = self.figures
        blocks = -(-(work.prompt + work.answer) // f.block_tokens)
        if blocks > f.blocks or work.prompt < 1 or work.answer < 1 or work.id in self.jobs:
            return SubmitResult.ERROR
        if f.error_share > 0.0 and self.rng.random() < f.error_share:
            return SubmitResult.ERROR
        if len(self.waiting) >= f.waiting + f.slots - len(self.running):
            return SubmitResult.FULL
        if self.warmup.take(now, work.prompt):
            return SubmitResult.CRASHED
        job = self.jobs[work.id] = Job(work, f.block_tokens, now)
        self.waiting.append(job)
        self.unread += job.target
        self.asked += job.target
        self._wake(now)
        return SubmitResult.ACCEPTED

    def cancel(self, now: float, request: str) -> None:
        """The client has disconnected: drop the request after the current step, if the kind does that."""
        self._to(now)
        job = self.jobs.get(request)
        if job is None or self.figures.cancel == "none":
            return
        if job in self.waiting:
            self.waiting.remove(job)
            self._forget(job)
        elif self.figures.cancel == "all":
            job.drop = True
            self._cut(now)
        self._note(now)

    def probe_wait(self, now: float) -> float:
        """How long a probe waits if it arrives now: for a pause to end, and for a step with prefill."""
        wait = max(0.0, self.not_before - now)
        return max(wait, min(self.end - now, self.first_ms)) if self.reading else wait

    def add_overhead(self, now: float, work_ms: float) -> None:
        """Lengthen the next step by work outside the steps (a handshake, a probe)."""
        self.owed_ms += work_ms if self.running or self.waiting else 0.0

    def stall(self, now: float, until: float) -> None:
        """Pause all work until `until`."""
        self._to(now)
        if until > self.not_before:
            more = until - max(now, self.not_before)
            self.not_before = until
            if self.end < inf:
                self._cut(now)
                self.end += more

    def slowed(self, now: float, factor: float) -> None:
        """Multiply all durations by `factor` from the next step on."""
        self._to(now)
        self._cut(now)
        self.slow = factor

    def load(self, now: float) -> EngineLoad:
        """The true load at `now`."""
        self._to(now)
        return self._load()

    def report(self, now: float) -> EngineLoad:
        """The load as a probe gets it."""
        self._to(now)
        return self.reports.read(now)

    def cached_tokens(self, work: EngineRequest) -> int:
        """The prompt tokens of this request that are in the prefix cache now."""
        return self._found(Job(work, self.figures.block_tokens, 0.0))

    def check(self) -> None:
        """Raise AssertionError if the counts are inconsistent; thorough and slow."""
        self.memory.check()
        jobs = [*self.waiting, *self.running]
        assert len(jobs) == len(self.jobs) and all(self.jobs[j.work.id] is j for j in jobs), "a job is lost"
        assert len(self.running) <= self.figures.slots, "more running than slots"
        assert self.unread == sum(j.target - j.read for j in jobs), "unread tokens differ from the jobs"
        assert self.asked == self.done_read + self.found + self.let_go + self.unread, "a token is unaccounted"
        assert all(j.read <= j.cap for j in self.running), "context beyond the blocks held"
        assert all(0 <= j.made < j.work.answer for j in jobs), "generated more tokens than requested"
        assert all(not j.cap for j in self.waiting), "a waiting request holds memory"
        users = {u for run in self.memory.runs.values() for u in run.users}
        assert users <= {j.work.id for j in self.running}, "memory is held for a request that is not running"

    # --- steps

    def _to(self, now: float) -> None:
        while self.end <= now:
            self._finish_steps()

    def _load(self) -> EngineLoad:
        f = self.figures
        return EngineLoad(
            self.unread, self.memory.held / f.blocks, len(self.running) / f.slots, len(self.waiting)
        )

    def _note(self, now: float) -> None:
        self.reports.note(now, self._load())

    def _wake(self, now: float) -> None:
        if self.end == inf:
            self._begin_steps(max(now, self.not_before))
        else:
            self._cut(now)
            self._note(now)

    def _lasting(self, steps: int) -> float:
        """The duration of the first `steps` of the current steps."""
        return self.first_ms * steps + self.grow_ms * (steps * (steps - 1) // 2)

    def _cut(self, now: float) -> None:
        """End a leap after the current step."""
        if self.count <= 1 or self.end == inf:
            return
        low, high = 1, self.count
        while low < high:
            middle = (low + high) // 2
            if self.begin + self._lasting(middle) > now:
                high = middle
            else:
                low = middle + 1
        self.count = low
        self.end = self.begin + self._lasting(low)

    def _forget(self, job: Job) -> None:
        del self.jobs[job.work.id]
        self.unread -= job.target - job.read
        self.let_go += job.target - job.read

    def _release(self, job: Job, keep: bool) -> None:
        user = job.work.id
        if job.opening_blocks:
            self.memory.release(user, job.opening, True)
        self.memory.release(user, job.rest, keep)
        job.cap = 0

    def _found(self, job: Job) -> int:
        block = self.figures.block_tokens
        blocks = min(self.memory.kept(job.opening), job.opening_blocks) if job.opening_blocks else 0
        if blocks == job.opening_blocks:
            blocks += self.memory.kept(job.rest)
        return min(blocks * block, (job.target - 1) // block * block)

    def _hold(self, job: Job, tokens: int) -> bool:
        """Hold the blocks for so many context tokens; False if they don't fit."""
        if tokens <= job.cap:
            return True
        block = self.figures.block_tokens
        blocks = -(-tokens // block)
        user = job.work.id
        if job.opening_blocks and not self.memory.hold(user, job.opening, job.opening_blocks):
            return False
        if not self.memory.hold(user, job.rest, blocks - job.opening_blocks):
            if not job.cap and job.opening_blocks:
                self.memory.release(user, job.opening, True)
            return False
        job.cap = blocks * block
        return True

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.figures.slots:
            job = self.waiting[0]
            found = self._found(job)
            if not self._hold(job, job.target + 1):
                return
            self.waiting.popleft()
            self.running.append(job)
            # Holding may have evicted cached blocks of other texts, never of this one: those were held first.
            job.read = found
            if job.kept < 0:
                job.kept = found
            self.unread -= found
            self.found += found

    def _preempt(self) -> Job:
        job = self.running.pop()
        self._release(job, True)
        self.waiting.appendleft(job)
        lost = job.read
        made_since = job.work.prompt + job.made - job.target
        job.target += made_since
        self.unread += lost + made_since
        self.asked += lost + made_since
        # Its generated and prefilled tokens must be prefilled again: the counts include each prefill.
        job.read = 0
        self.preempted += 1
        return job

    def _begin_steps(self, now: float) -> None:
        f = self.figures
        self._admit()
        making = [job for job in self.running if job.read >= job.target]
        context = 0
        for job in making:
            if job.cap and not self._hold(job, job.work.prompt + job.made + 1):
                while job.cap and self._preempt() is not job:
                    if self._hold(job, job.work.prompt + job.made + 1):
                        break
        making = [job for job in making if job.cap]
        for job in making:
            context += job.work.prompt + job.made
        budget = max(1, f.chunk - len(making))
        self.reading = []
        tokens, pairs = 0, 0.0
        for job in self.running:
            if job.read < job.target and tokens < budget:
                piece = min(budget - tokens, job.target - job.read)
                pairs += piece * (job.read + 0.5 * piece)
                self.reading.append((job, piece))
                tokens += piece
                context += job.read
        self.making = making
        if not self.running:
            self.end = inf
            self.count = 0
            self._note(now)
            return
        batch = len(making) + len(self.reading)
        factor = self.slow / self.warmup.speed(now)
        beside = f.per_running_ms * batch + f.per_context_ms * context
        beside += f.read_ms * tokens + f.pair_ms * pairs
        self.first_ms = factor * (f.step_ms + beside)
        self.grow_ms = factor * f.per_context_ms * len(making)
        self.count = 1
        if not self.reading and self.warmup.warm:
            count = min(self.leap, min(job.work.answer - job.made for job in making))
            if count > 1 and self._ahead(count):
                self.count = count
        self.begin = max(now, self.not_before) + self.owed_ms
        self.owed_ms = 0.0
        self.end = self.begin + self._lasting(self.count)
        self._note(now)

    def _ahead(self, steps: int) -> bool:
        """Allocate the blocks for so many steps, if all running requests can have theirs."""
        need = len(self.making) * (-(-steps // self.figures.block_tokens) + 1)
        if need > self.memory.room():
            return False
        for job in self.making:
            assert self._hold(job, job.work.prompt + job.made + steps), "free blocks were miscounted"
        return True

    def _finish_steps(self) -> None:
        now, block = self.end, self.figures.block_tokens
        self.warmup.worked_ms += now - self.begin
        self.steps += self.count
        finished: list[Job] = []
        for job in self.making:
            job.made += self.count
            self.made += self.count
            if job.made >= job.work.answer:
                finished.append(job)
        read = 0
        for job, piece in self.reading:
            job.read += piece
            read += piece
            if job.opening_blocks:
                self.memory.fill(job.opening, min(job.read // block, job.opening_blocks))
            self.memory.fill(job.rest, job.read // block - job.opening_blocks)
            if job.read >= job.target:
                if not job.made:
                    self.events.append(EngineEvent(now, EventKind.STARTED, job.work.id, job.kept))
                job.made += 1
                self.made += 1
                if job.made >= job.work.answer:
                    finished.append(job)
        self.unread -= read
        self.done_read += read
        for job in finished:
            self.events.append(EngineEvent(now, EventKind.ENDED, job.work.id, job.kept))
            if self.figures.keeps_answers:
                self.memory.fill(job.rest, (job.work.prompt + job.made - 1) // block - job.opening_blocks)
            self._leave(job)
        for job in [job for job in self.running if job.drop]:
            self._leave(job)
        assert self.unread >= 0 and self.memory.held <= self.memory.size <= self.memory.total
        assert self.asked == self.done_read + self.found + self.let_go + self.unread
        if self.running or self.waiting:
            self._begin_steps(now)
        else:
            self.end = inf
            self.count = 0
            self._note(now)

    def _leave(self, job: Job) -> None:
        self.running.remove(job)
        self._release(job, True)
        self._forget(job)
