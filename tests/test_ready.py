"""Tests that processes started at once without discovery become ready, and that /up is correct."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from spoolbarrow.lab.cluster import Process
from tests.router_harness import (
    Client,
    ScriptedServer,
    ask,
    endpoint_entry,
    make_config,
    serve_all,
    wait_until,
)
from tests.test_descriptors import Discovery

ROUTERS = 6
READY_TIMEOUT_S = 10.0  # from a process's start until it serves clients


class Router:
    def __init__(self, folder: Path, number: int, discovery: int, known: list[Any], asked: bool) -> None:
        raw = make_config(known, discovery)
        raw["settings"]["Discovery"] = "subscribe" if asked else "automatic"
        file = folder / f"r{number}.json"
        file.write_text(json.dumps(raw))
        self.port = int(raw["listen"].rpartition(":")[2])
        self.begun = time.monotonic()
        self.process = Process("-m", "spoolbarrow", env={"NODE_CONFIG": str(file)})
        self.refused = 0  # 503 responses of `/up`

    def ready(self) -> bool:
        try:
            status = Client(self.port).send(b"GET /up HTTP/1.1\r\n\r\n").answer().status
        except OSError:
            return False
        self.refused += status == 503
        return status == 200

    def serves(self, left: int) -> int:
        return Client(self.port).send(ask(left=left)).answer().status

    def first_result(self) -> tuple[float, int]:
        """The time until it was ready, in s, and the status of a request with little time left then."""
        wait_until(self.ready)
        return time.monotonic() - self.begun, self.serves(500)


@pytest.fixture
def begin(tmp_path: Path) -> Iterator[Callable[..., list[Router]]]:
    """Starts processes at once: `begin(known, asked, discovery)`."""
    made: list[Router] = []
    engine = ScriptedServer(serve_all)

    def start(known: bool, asked: bool, discovery: Discovery) -> list[Router]:
        lines = [endpoint_entry("e0", engine.port)]
        discovery.endpoints = lines
        for n in range(ROUTERS):
            made.append(Router(tmp_path, n, discovery.port, lines if known else [], asked))
        return made

    yield start
    for one in made:
        one.process.kill()
    engine.close()


@pytest.fixture
def discovery() -> Iterator[Discovery]:
    made = Discovery()
    yield made
    made.close()


def first_results(routers: list[Router]) -> list[tuple[float, int]]:
    jobs = [gevent.spawn(one.first_result) for one in routers]
    gevent.joinall(jobs, raise_error=True)
    return [job.get() for job in jobs]


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("asked", [True, False])
def test_a_known_list_is_enough_without_discovery(
    begin: Callable[..., list[Router]], discovery: Discovery, asked: bool, silent: bool
) -> None:
    """Discovery refuses connections or never responds; once /up is 200, an urgent request is served."""
    if silent:
        discovery.listen()
    found = first_results(begin(True, asked, discovery))
    assert (
        all(took < READY_TIMEOUT_S for took, _ in found)
        and [status for _, status in found] == [200] * ROUTERS
    )


@pytest.mark.parametrize("asked", [True, False])
def test_without_a_known_list_up_is_503_until_discovery_gives_one(
    begin: Callable[..., list[Router]], discovery: Discovery, asked: bool
) -> None:
    routers = begin(False, asked, discovery)
    for one in routers:
        wait_until(lambda r=one: r.ready() or r.refused)  # type: ignore[misc]
        assert one.refused
    discovery.answers = True
    discovery.listen()
    available_at = time.monotonic()
    assert [status for _, status in first_results(routers)] == [200] * ROUTERS
    assert time.monotonic() - available_at < READY_TIMEOUT_S
