"""Compares the engine model, reduced to a simple queue, with the mean waits of queueing theory.

M/M/1 and M/D/1: L. Kleinrock, "Queueing Systems", volume 1, sections 3.2 and 5.6 (Pollaczek and Khinchine).
M/M/c: A. K. Erlang's delay formula, the same book, section 3.5. Confidence intervals are by batch means.
"""

from __future__ import annotations

from math import sqrt
from random import Random
from typing import NamedTuple

from spoolbarrow.lab.engine import Engine, EngineRequest, EventKind, SubmitResult
from spoolbarrow.lab.kinds import EngineKind as EngineKind
from spoolbarrow.lab.kinds import EngineParameters
from spoolbarrow.lab.kinds import draw_engine as draw_figures

BATCHES = 20
T_975 = 2.093  # Student's t, 19 degrees of freedom
READ_MS = 0.01  # per prompt token: with one server the service time is the prefill of the prompt
STEP_MS = 1.0  # with several servers the service time is the steps of the answer


class Queue(NamedTuple):
    """Poisson arrivals to `servers` servers; times in ms."""

    servers: int
    load: float  # offered, as a share of all servers
    service_ms: float  # mean
    fixed: bool = False  # every service time is the mean; else they are exponential


class Agreement(NamedTuple):
    """A mean wait according to theory and according to the engine, in ms."""

    theory_ms: float
    mean_ms: float
    within_ms: float  # half of the 95% interval

    def holds(self, slack_ms: float = 0.0) -> bool:
        """Whether the theoretical mean lies within the run's interval, widened by rounding to steps."""
        return abs(self.theory_ms - self.mean_ms) <= self.within_ms + slack_ms


def erlang_c(servers: int, offered: float) -> float:
    """The probability that an arrival waits, with `offered` erlangs (less than `servers`)."""
    blocked = 1.0
    for n in range(1, servers + 1):
        blocked = offered * blocked / (n + offered * blocked)
    return servers * blocked / (servers - offered * (1.0 - blocked))


def mean_wait_ms(queue: Queue) -> float:
    """The mean wait before service."""
    if queue.fixed:
        assert queue.servers == 1, "there is no formula for several servers with fixed service"
        return queue.load * queue.service_ms / (2.0 * (1.0 - queue.load))
    chance = erlang_c(queue.servers, queue.load * queue.servers)
    return chance * queue.service_ms / (queue.servers * (1.0 - queue.load))


def as_queue(queue: Queue) -> EngineParameters:
    """The parameters of an engine that behaves as this queue."""
    alone = queue.servers == 1
    kind = EngineKind(
        slots=queue.servers,
        waiting=10**9,
        memory_tokens=1e12,
        block_tokens=1 << 20,
        step_ms=1e-9 if alone else STEP_MS,
        step_ms_per_running=0.0,
        step_ms_per_1000_context=0.0,
        read_tokens_per_s=1000.0 / READ_MS if alone else 1e12,
        chunk_tokens=10**9,
        report_noise=0.0,
        keeps_answers=False,
    )
    return draw_figures(kind, Random(0))


def waits(queue: Queue, count: int, seed: int) -> list[float]:
    """The wait before service of each of `count` arrivals, in ms."""
    rng = Random(seed)
    engine = Engine(as_queue(queue), Random(seed))
    gap = queue.service_ms / queue.servers / queue.load
    submitted: dict[str, tuple[float, float]] = {}
    found: dict[str, float] = {}

    def collect_waits() -> None:
        for event in engine.advance(now):
            # The step that generates the first token is part of the service.
            at, service = submitted[event.id]
            if event.kind is EventKind.STARTED:
                found[event.id] = max(0.0, event.at - at - service)

    now = 0.0
    for n in range(count):
        now += rng.expovariate(1.0 / gap)
        collect_waits()
        drawn = queue.service_ms if queue.fixed else rng.expovariate(1.0 / queue.service_ms)
        if queue.servers == 1:
            prompt, answer = max(1, round(drawn / READ_MS)), 1
            submitted[str(n)] = (now, prompt * READ_MS)
        else:
            prompt, answer = 1, max(1, round(drawn / STEP_MS))
            submitted[str(n)] = (now, STEP_MS)
        taken = engine.submit(now, EngineRequest(str(n), prompt, answer))
        assert taken is SubmitResult.ACCEPTED
    while engine.next_event_at() < float("inf"):
        now = engine.next_event_at()
        collect_waits()
    return [found[str(n)] for n in range(count)]


def compare_with_theory(queue: Queue, count: int, seed: int) -> Agreement:
    """Compare a run of `count` arrivals with theory; the first tenth only fills the queue and is not used."""
    found = waits(queue, count, seed)[count // 10 :]
    size = len(found) // BATCHES
    means = [sum(found[n * size : (n + 1) * size]) / size for n in range(BATCHES)]
    mean = sum(means) / BATCHES
    spread = sqrt(sum((m - mean) ** 2 for m in means) / (BATCHES - 1))
    return Agreement(mean_wait_ms(queue), mean, T_975 * spread / sqrt(BATCHES))
