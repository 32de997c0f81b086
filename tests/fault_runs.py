"""Runs a router's real processes between faulty clients and stand-in engines, and judges what they did.

The judgements are pure functions over records. Bounds: `TERM_SLACK_S` is the page's slack on every limit.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from itertools import pairwise
from pathlib import Path
from typing import Any

import gevent

from tests.fault_clients import Departure, UsualAnswer
from tests.fault_engine import AttemptRecord, FaultEngine, ListService
from tests.router_harness import endpoint_entry, make_config
from tests.router_processes import Service

LEAST_LIMITS = {"cores": 1.0, "memory_mb": 32.0, "sockets": 1024}  # the least memory that the pages name
TERM_SLACK_S = 0.05
ATTEMPT_AFTER_LEAVING_S = 0.1  # an attempt that begins later after its client left is lost
LATE_ANSWER_S = 0.5  # an answer later than this after its client's time is lost
MAX_EVENT_DELAY_S = 0.3
HELD_EVENT_SHARE = 1 / 20  # of streams may have an event held up for longer


class Scene:
    """A router behind a shared listening socket, its engines and its list service."""

    def __init__(
        self, folder: Path, engines: Sequence[FaultEngine], max_attempts: int = 3, **changes: Any
    ) -> None:
        self.engines, self.discovery = list(engines), ListService()
        self.discovery.lines = [endpoint_entry(one.name, one.port) for one in self.engines]
        raw = make_config(self.discovery.lines, self.discovery.port, **{"limits": LEAST_LIMITS, **changes})
        raw["settings"]["Limits"]["MaxAttempts"] = max_attempts
        self.service = Service(folder, raw)

    def attempts(self) -> list[AttemptRecord]:
        return [attempt for engine in self.engines for attempt in engine.attempts]

    def attempts_of(self, id: str) -> list[AttemptRecord]:
        return [attempt for attempt in self.attempts() if attempt.id == id]

    def close(self) -> None:
        self.service.kill_all()
        for engine in self.engines:
            engine.close()
        self.discovery.close()


@contextmanager
def running_scene(folder: Path, engines: int = 2, **changes: Any) -> Iterator[Scene]:
    """A scene with one running process."""
    scene = Scene(folder, [FaultEngine(f"e{number}") for number in range(engines)], **changes)
    try:
        scene.service.start()
        yield scene
    finally:
        scene.close()


def play_until(until: float) -> None:
    """Let clients and engines run."""
    gevent.sleep(max(0.0, until - time.monotonic()))


def attempts_for_departed(attempts: Sequence[AttemptRecord], departures: Sequence[Departure]) -> list[str]:
    """Attempts that began too long after their client had left."""
    left_at = {id: departure.left_at for departure in departures for id in departure.ids}
    limit = ATTEMPT_AFTER_LEAVING_S + TERM_SLACK_S
    return [
        f"{one.id} at {one.engine}, {one.began_at - left_at[one.id]:.3f} s after its client left"
        for one in attempts
        if one.id in left_at and one.began_at > left_at[one.id] + limit
    ]


def ids_open_twice(attempts: Sequence[AttemptRecord]) -> list[str]:
    """Ids of which two attempts were open at the same time, in runs without hedges."""
    by_id: dict[str, list[AttemptRecord]] = {}
    for one in sorted(attempts, key=lambda one: one.began_at):
        by_id.setdefault(one.id, []).append(one)
    return [
        f"{id}: {after.began_at:.3f} while another is open until {before.ended_at:.3f}"
        for id, found in by_id.items()
        for before, after in pairwise(found)
        if not before.ended_at or after.began_at + TERM_SLACK_S < before.ended_at
    ]


def ids_run_twice(attempts: Sequence[AttemptRecord]) -> list[str]:
    """Ids that came to engines more than once, in runs in which a request has one attempt."""
    counts = Counter(one.id for one in attempts)
    return [f"{id}: {times} attempts" for id, times in counts.items() if times > 1]


def unfair_answers(answers: Sequence[UsualAnswer], left_s: float, may_refuse: bool = True) -> list[str]:
    """Answers of usual clients that are lost, late or not one of those that the terms allow."""
    allowed = {200, 503} if may_refuse else {200}
    broken = [one for one in answers if one.status not in allowed or not one.whole]
    late = [one for one in answers if one.whole and one.first_s > left_s + LATE_ANSWER_S]
    held = [one for one in answers if one.whole and one.event_delay_s > MAX_EVENT_DELAY_S]
    unfair = [f"{one.id}: status {one.status}, whole {one.whole}, {one.took_s:.2f} s" for one in broken]
    unfair += [f"{one.id}: answered after {one.first_s:.2f} s" for one in late]
    if len(held) > max(1.0, HELD_EVENT_SHARE * len(answers)):
        unfair += [f"{one.id}: an event was held for {one.event_delay_s:.2f} s" for one in held]
    return unfair
