"""Routers act on a change within 6 s after discovery has it and can be reached, whichever call failed.

Sixteen real routers with clients and an engine that drains while the list service fails in various ways;
measured is each router's last request to that engine.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from gevent import socket

from spoolbarrow.fleet.pacing import LIST_DEADLINE_MS
from spoolbarrow.lab.cluster import Cluster, Load, cluster
from spoolbarrow.lab.drain_propagation import FAILURE_CASES, measure_drain_delays, undo_drain
from tests.router_harness import LISTEN, make_config, wait_until

ROOT = Path(__file__).parent.parent
ROUTERS, ENGINES = 16, 2
RATE = 20.0  # calls per second
SETTINGS = {"Balancers": 200}  # call spreads and pauses as in a large fleet
DOWN_S = 12.0  # long enough for backoff pauses to grow
BOUND_S = LIST_DEADLINE_MS / 1000 + 0.25  # plus a drain's grace period
GROUPS = ["watches fall silent", "watches and calls are silent", "resets", "503", "half answers"]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("told")
    options: dict[str, Any] = {"gates": False, "known": "old", "rate": RATE, "settings": SETTINGS}
    with cluster(folder, {"a": ENGINES}, ["a"] * ROUTERS, **options) as made:
        load = Load(made, 1, 0.1)
        try:
            yield made
        finally:
            load.stop()
            assert set(load.statuses()) == {200}


@pytest.fixture(scope="module")
def together(fleet: Cluster) -> dict[str, list[float]]:
    """Results of faults that the service can have for some routers only, run side by side."""
    groups = {name: range(n, ROUTERS, len(GROUPS)) for n, name in enumerate(GROUPS)}
    found = measure_drain_delays(fleet, groups, 0, DOWN_S)
    undo_drain(fleet, 0)
    return found


@pytest.mark.parametrize("name", GROUPS)
def test_requests_end_in_time(together: dict[str, list[float]], name: str) -> None:
    assert len(together[name]) >= 3 and max(together[name]) < BOUND_S, together


@pytest.mark.parametrize("name", sorted(FAILURE_CASES.keys() - set(GROUPS)))
def test_requests_end_in_time_after_a_fault_of_all_routers(fleet: Cluster, name: str) -> None:
    found = measure_drain_delays(fleet, {name: range(ROUTERS)}, 0, DOWN_S)
    assert max(found[name]) < BOUND_S, found
    undo_drain(fleet, 0)


def test_timeouts_beyond_the_list_deadline_are_rejected_with_their_key(tmp_path: Path) -> None:
    """Exit status 2 at the start; no change on SIGHUP."""
    file, good = tmp_path / "config.json", make_config([])
    bad = {**good, "options": {"call_timeout_ms": 3_251.0}}
    environment = {**os.environ, "NODE_CONFIG": str(file)}
    file.write_bytes(msgspec.json.encode(bad))
    run = [sys.executable, "-m", "spoolbarrow"]
    ended = subprocess.run(run, cwd=ROOT, env=environment, capture_output=True, timeout=60)
    assert ended.returncode == 2 and b"options.call_timeout_ms" in ended.stderr
    file.write_bytes(msgspec.json.encode(good))
    port = int(good["listen"].rpartition(":")[2])
    with subprocess.Popen(run, cwd=ROOT, env=environment, stderr=subprocess.PIPE) as router:
        try:
            assert router.stderr is not None
            wait_until(lambda: not socket.socket().connect_ex((LISTEN, port)))
            file.write_bytes(msgspec.json.encode({**bad, "discovery": "127.0.0.1:2"}))
            router.send_signal(signal.SIGHUP)
            while b"reload_failed" not in (line := router.stderr.readline()):
                assert line and b'"reloaded"' not in line
            assert b"options.call_timeout_ms" in line
        finally:
            router.kill()
