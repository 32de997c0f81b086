"""A real process stays under its memory limit, whatever hundreds of clients send, stop or leave unread."""

from __future__ import annotations

import time
from pathlib import Path

import gevent
import pytest

from tests.fault_clients import ClientShape, Crowd, CrowdPlan, UsualClient
from tests.fault_runs import (
    LEAST_LIMITS,
    attempts_for_departed,
    ids_open_twice,
    running_scene,
    unfair_answers,
)
from tests.router_harness import LISTEN

CROWD = 450
RUN_S, LEFT_S = 3.0, 3.0
SHAPES = {
    "idle": ClientShape("nothing", "at_once", "end", "stays", "all"),
    "slow_heads": ClientShape("head", "slowly", "end", "stays", "all"),
    "half_heads": ClientShape("head", "at_once", "half", "stays", "all"),
    "many_short_fields": ClientShape("fields", "at_once", "end", "stays", "all"),
    "tiny_chunks": ClientShape("chunks", "at_once", "end", "stays", "all"),
    "tiny_chunks_in_pieces": ClientShape("chunks", "in_pieces", "end", "stays", "all"),
    "trailers": ClientShape("trailers", "in_pieces", "end", "stays", "all"),
    "half_bodies": ClientShape("body", "at_once", "half", "stays", "all"),
    "whole_bodies": ClientShape("body", "at_once", "end", "stays", "all"),
    "pipelines": ClientShape("pipeline", "at_once", "end", "stays", "all"),
    "long_names": ClientShape("long_name", "at_once", "end", "resets", "all"),
    "unsound_at_full_speed": ClientShape("unsound", "at_once", "never", "closes", "never"),
    "long_answers_read_slowly": ClientShape("whole", "at_once", "end", "stays", "slowly"),
    "long_answers_not_read": ClientShape("whole", "at_once", "end", "stays", "never"),
}
LONG_ANSWER = "first=10,events=2000,gap=1,size=2000"


@pytest.mark.parametrize("name", list(SHAPES))
def test_a_crowd_of_clients_never_takes_a_process_over_its_memory(tmp_path: Path, name: str) -> None:
    lab = LONG_ANSWER if name.startswith("long_answers") else "events=2"
    with running_scene(tmp_path) as scene:
        port, until = scene.service.port, time.monotonic() + RUN_S
        usual = [UsualClient(port, f"u{n}", until, "events=3") for n in range(4)]
        crowd = Crowd(CrowdPlan(LISTEN, port, (SHAPES[name],) * CROWD, 1, until, lab))
        record = crowd.record()
        assert record.connections >= CROWD / 2
        assert scene.service.peak_mb(0) <= LEAST_LIMITS["memory_mb"]
        gevent.joinall([client.greenlet for client in usual])
        answers = [answer for client in usual for answer in client.answers]
        assert unfair_answers(answers, LEFT_S) == []
        assert attempts_for_departed(scene.attempts(), record.departures) == []
        assert ids_open_twice(scene.attempts()) == []


FULL_SPEED = {
    "whole_requests": ClientShape("whole", "at_once", "never", "stays", "all"),
    "pipelines": ClientShape("pipeline", "at_once", "never", "stays", "all"),
    "unsound_ones": ClientShape("unsound", "at_once", "never", "closes", "all"),
}


@pytest.mark.parametrize("name", list(FULL_SPEED))
def test_one_client_at_full_speed_delays_no_other(tmp_path: Path, name: str) -> None:
    with running_scene(tmp_path) as scene:
        port, until = scene.service.port, time.monotonic() + RUN_S
        usual = [UsualClient(port, f"u{n}", until, "events=3") for n in range(4)]
        record = Crowd(CrowdPlan(LISTEN, port, (FULL_SPEED[name],), 1, until, "events=1")).record()
        gevent.joinall([client.greenlet for client in usual])
        assert unfair_answers([answer for client in usual for answer in client.answers], LEFT_S, False) == []
        assert scene.service.peak_mb(0) <= LEAST_LIMITS["memory_mb"]
        assert attempts_for_departed(scene.attempts(), record.departures) == []
