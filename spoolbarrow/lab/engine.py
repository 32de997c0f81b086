"""A language-model engine in steps: continuous batching, chunked reading, paged memory, preemption.

G.-I. Yu et al., "Orca", OSDI '22 (a batch is formed anew for each step); A. Agrawal et al., "Taming
Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve", OSDI '24, section 4 (a step's token budget
holds the running requests' tokens first, then pieces of prompts, first come first served); vLLM's scheduler
(when memory runs out the newest request goes back to the head of the queue and is read again).

No clock, no I/O: the caller says what time it is, in milliseconds. Steps that only make tokens are taken
several at once; whatever comes in between cuts such a leap to the step under way, so nothing is different
for it.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from math import inf
from random import Random
from typing import NamedTuple

from spoolbarrow.lab.kinds import EngineParameters
from spoolbarrow.lab.load_reports import Load, Reports
from spoolbarrow.lab.memory import Key, Memory
from spoolbarrow.lab.warmup import Warmth

LEAP = 32  # steps taken at once at most: memory is taken ahead for so many


class EngineRequest(NamedTuple):
    """A request as an engine sees it; lengths in tokens."""

    id: str
    prompt: int
    answer: int
    opening: Key = None  # names what many requests begin with
    opening_tokens: int = 0
    session: Key = None  # names what follows it


class SubmitResult(Enum):
    """What becomes of a request that comes."""

    ACCEPTED = "taken"
    FULL = "full"  # turned away unseen
    ERROR = "error"
    CRASHED = "fell"  # it was too much for a cold engine: the process dies


class EventKind(Enum):
    """What happened to a request."""

    STARTED = "started"  # its first token is made
    ENDED = "ended"  # its last token is made


class EngineEvent(NamedTuple):
    """News of a request."""

    at: float
    kind: EventKind
    id: str
    kept: int  # prompt tokens that were not read


class Job:
    """A request in the engine."""

    __slots__ = (
        "work", "came", "read", "target", "made", "kept", "cap", "opening", "opening_blocks", "rest", "drop",
    )  # fmt: skip

    def __init__(self, work: EngineRequest, block: int, came: float) -> None:
        self.work = work
        self.came = came
        self.read = 0  # tokens of context that are in memory and read
        self.target = work.prompt  # tokens to read before the next token can be made
        self.made = 0
        self.kept = -1  # not known before it first runs
        self.cap = 0  # tokens that the blocks held can take
        shared = min(work.opening_tokens, work.prompt) if work.opening is not None else 0
        self.opening = ("o", work.opening)
        self.opening_blocks = shared // block
        self.rest: Key = ("s", work.session) if work.session is not None else ("r", work.id)
        self.drop = False


class Engine:
    """One process. `submit`, `cancel` and the rest first bring it to `now`; news is fetched by `advance`."""

    def __init__(
        self, figures: EngineParameters, rng: Random, now: float = 0.0, cold: bool = False, leap: int = LEAP
    ) -> None:
        self.figures = figures
        self.leap = leap
        self.rng = rng
        self.memory = Memory(figures.blocks)
        self.warmth = Warmth(figures, now, cold)
        self.reports = Reports(figures, rng)
        self.waiting: deque[Job] = deque()
        self.running: list[Job] = []  # in the order they were admitted
        self.jobs: dict[str, Job] = {}
        self.unread = 0  # tokens still to be read, of all jobs
        self.asked = self.done_read = self.found = self.let_go = 0  # tokens: asked - rest = unread
        self.made = self.preempted = self.steps = 0
        self.slow = 1.0  # factor on all times, a trouble
        self.owed_ms = 0.0  # work beside the steps: handshakes, probes
        self.not_before = now  # paused until
        self.begin = now
        self.end = inf  # of the steps under way
        self.count = 0  # of them
        self.first_ms = self.grow_ms = 0.0  # the first step's length, and each one's more than the last
        self.reading: list[tuple[Job, int]] = []
        self.making: list[Job] = []
        self.news: list[EngineEvent] = []

    # --- from outside

    def next_event_at(self) -> float:
        """When `advance` will next have something to do, ms; infinity while idle."""
        return self.end

    def advance(self, now: float) -> list[EngineEvent]:
        """Bring it to `now`; what happened since the last call, in order."""
        while self.end <= now:
            self._finish_steps()
        news, self.news = self.news, []
        return news

    def submit(self, now: float, work: EngineRequest) -> SubmitResult:
        """A request has come whole."""
        self._to(now)
        f = self.figures
        blocks = -(-(work.prompt + work.answer) // f.block_tokens)
        if blocks > f.blocks or work.prompt < 1 or work.answer < 1 or work.id in self.jobs:
            return SubmitResult.ERROR
        if f.error_share > 0.0 and self.rng.random() < f.error_share:
            return SubmitResult.ERROR
        if len(self.waiting) >= f.waiting + f.slots - len(self.running):
            return SubmitResult.FULL
        if self.warmth.take(now, work.prompt):
            return SubmitResult.CRASHED
        job = self.jobs[work.id] = Job(work, f.block_tokens, now)
        self.waiting.append(job)
        self.unread += job.target
        self.asked += job.target
        self._wake(now)
        return SubmitResult.ACCEPTED

    def cancel(self, now: float, request: str) -> None:
        """Its caller has gone: what the kind drops is dropped, at the end of the step under way."""
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
        """How long a probe that comes now waits: for a pause to end, and a step that reads prompts."""
        wait = max(0.0, self.not_before - now)
        return max(wait, min(self.end - now, self.first_ms)) if self.reading else wait

    def add_overhead(self, now: float, work_ms: float) -> None:
        """Work beside the steps (a handshake, a probe) makes the next one longer."""
        self.owed_ms += work_ms if self.running or self.waiting else 0.0

    def stall(self, now: float, until: float) -> None:
        """Nothing moves until then."""
        self._to(now)
        if until > self.not_before:
            more = until - max(now, self.not_before)
            self.not_before = until
            if self.end < inf:
                self._cut(now)
                self.end += more

    def slowed(self, now: float, factor: float) -> None:
        """From the next step on all takes `factor` times as long."""
        self._to(now)
        self._cut(now)
        self.slow = factor

    def load(self, now: float) -> Load:
        """The true state."""
        self._to(now)
        return self._load()

    def report(self, now: float) -> Load:
        """The state as a probe is told."""
        self._to(now)
        return self.reports.read(now)

    def cached_tokens(self, work: EngineRequest) -> int:
        """Prompt tokens of this request that are in memory now."""
        return self._found(Job(work, self.figures.block_tokens, 0.0))

    def check(self) -> None:
        """Raise AssertionError where an account does not add up; thorough, and slow."""
        self.memory.check()
        jobs = [*self.waiting, *self.running]
        assert len(jobs) == len(self.jobs) and all(self.jobs[j.work.id] is j for j in jobs), "a job is lost"
        assert len(self.running) <= self.figures.slots, "more running than slots"
        assert self.unread == sum(j.target - j.read for j in jobs), "unread tokens differ from the jobs"
        assert self.asked == self.done_read + self.found + self.let_go + self.unread, "a token is unaccounted"
        assert all(j.read <= j.cap for j in self.running), "context beyond the blocks held"
        assert all(0 <= j.made < j.work.answer for j in jobs), "made more than asked"
        assert all(not j.cap for j in self.waiting), "a waiting request holds memory"
        users = {u for run in self.memory.runs.values() for u in run.users}
        assert users <= {j.work.id for j in self.running}, "memory is held for one that is not running"

    # --- steps

    def _to(self, now: float) -> None:
        while self.end <= now:
            self._finish_steps()

    def _load(self) -> Load:
        f = self.figures
        return Load(self.unread, self.memory.held / f.blocks, len(self.running) / f.slots, len(self.waiting))

    def _note(self, now: float) -> None:
        self.reports.note(now, self._load())

    def _wake(self, now: float) -> None:
        if self.end == inf:
            self._begin_steps(max(now, self.not_before))
        else:
            self._cut(now)
            self._note(now)

    def _lasting(self, steps: int) -> float:
        """Length of the first so many of the steps under way."""
        return self.first_ms * steps + self.grow_ms * (steps * (steps - 1) // 2)

    def _cut(self, now: float) -> None:
        """End a leap with the step that is under way."""
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
        """Blocks for so many tokens of context."""
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
            # Holding may have evicted kept blocks of others, never these: they were held first.
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
        # What it had made and read is asked for again: the accounts count each reading.
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
        factor = self.slow / self.warmth.speed(now)
        beside = f.per_running_ms * batch + f.per_context_ms * context
        beside += f.read_ms * tokens + f.pair_ms * pairs
        self.first_ms = factor * (f.step_ms + beside)
        self.grow_ms = factor * f.per_context_ms * len(making)
        self.count = 1
        if not self.reading and self.warmth.warm:
            count = min(self.leap, min(job.work.answer - job.made for job in making))
            if count > 1 and self._ahead(count):
                self.count = count
        self.begin = max(now, self.not_before) + self.owed_ms
        self.owed_ms = 0.0
        self.end = self.begin + self._lasting(self.count)
        self._note(now)

    def _ahead(self, steps: int) -> bool:
        """Take the blocks for so many steps, if that leaves nobody short."""
        need = len(self.making) * (-(-steps // self.figures.block_tokens) + 1)
        if need > self.memory.room():
            return False
        for job in self.making:
            assert self._hold(job, job.work.prompt + job.made + steps), "room was counted wrongly"
        return True

    def _finish_steps(self) -> None:
        now, block = self.end, self.figures.block_tokens
        self.warmth.worked_ms += now - self.begin
        self.steps += self.count
        gone: list[Job] = []
        for job in self.making:
            job.made += self.count
            self.made += self.count
            if job.made >= job.work.answer:
                gone.append(job)
        read = 0
        for job, piece in self.reading:
            job.read += piece
            read += piece
            if job.opening_blocks:
                self.memory.fill(job.opening, min(job.read // block, job.opening_blocks))
            self.memory.fill(job.rest, job.read // block - job.opening_blocks)
            if job.read >= job.target:
                if not job.made:
                    self.news.append(EngineEvent(now, EventKind.STARTED, job.work.id, job.kept))
                job.made += 1
                self.made += 1
                if job.made >= job.work.answer:
                    gone.append(job)
        self.unread -= read
        self.done_read += read
        for job in gone:
            self.news.append(EngineEvent(now, EventKind.ENDED, job.work.id, job.kept))
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
