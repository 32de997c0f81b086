"""Engines that write or read slowly: streams go on while pages allow it, final answers come in time."""

from __future__ import annotations

import time
from pathlib import Path

import gevent
import pytest

from tests.fault_clients import head
from tests.fault_engine import FaultEngine
from tests.fault_runs import LATE_ANSWER_S, TERM_SLACK_S, Scene, running_scene
from tests.router_harness import Client

LARGE_BODY_BYTES = 250_000
MAX_SILENCE_S = 5.0  # after an engine's last event, within which the client's connection must end


@pytest.mark.parametrize("lab", ["events=4,gap=3600", "events=3,gap=20,drip=2500", "events=2,gap=4700"])
def test_a_stream_that_its_engine_still_writes_is_not_cut_off(tmp_path: Path, lab: str) -> None:
    with running_scene(tmp_path, 1) as scene:
        assert Client(scene.service.port).send(head("slow", lab=lab) + b"{}").answer().status == 200


def test_a_stream_whose_engine_fell_silent_ends_in_time(tmp_path: Path) -> None:
    with running_scene(tmp_path, 1) as scene:
        client = Client(scene.service.port).send(head("silent", lab="events=2,gap=30000") + b"{}")
        with pytest.raises(ConnectionResetError):
            client.answer()
        silence_s = time.monotonic() - scene.attempts()[0].complete_at
        assert silence_s <= MAX_SILENCE_S + TERM_SLACK_S + 0.02  # and the 20 ms until the first event


@pytest.mark.parametrize(("bytes_per_s", "left_ms"), [(20_000.0, 500), (60_000.0, 1500), (200_000.0, 800)])
def test_the_final_answer_is_in_time_where_engines_read_a_large_request_slowly(
    tmp_path: Path, bytes_per_s: float, left_ms: int
) -> None:
    engines = [FaultEngine(f"e{number}", receive_bytes=8192) for number in range(3)]
    scene = Scene(tmp_path, engines)
    try:
        for engine in engines:
            engine.read_bytes_per_s = bytes_per_s
        scene.service.start()
        text = head("large", f"Content-Length: {LARGE_BODY_BYTES}", "", left_ms) + b"x" * LARGE_BODY_BYTES
        asked_at, client = time.monotonic(), Client(scene.service.port).send(text)
        answer = client.answer()
        took_s = time.monotonic() - asked_at
        assert answer.status in (200, 502, 503, 504)
        assert took_s <= left_ms / 1000 + LATE_ANSWER_S
        gevent.sleep(0.5)
        began = [
            one for one in scene.attempts() if one.complete_at > asked_at + left_ms / 1000 + TERM_SLACK_S
        ]
        assert answer.status == 200 or began == []
    finally:
        scene.close()
