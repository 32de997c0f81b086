"""Measures how long routers keep sending to a draining engine when the list service has failed before.

Each case is a failure of the service for a group of routers: how it fails before or while the engine starts
to drain, and how it recovers. The time is measured from when a new call could be answered to the last request
that the engine received from the router.
"""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from spoolbarrow.lab.cluster import Cluster

SETTLE_S = 0.6  # after all routers know: requests in flight have arrived by then
UPDATE_TIMEOUT_S = 30.0  # maximum time for all routers to know the list


class Case(NamedTuple):
    """Commands for the list service (`lab/list_service.py`); `{}` stands for the routers."""

    begin: tuple[str, ...]
    back: tuple[str, ...] = ("{} pass",)
    at_once: bool = False  # the service can be reached again as soon as the engine drains


FAILURE_CASES = {
    "watches fall silent": Case(("{} hang",), at_once=True),
    "watches and calls are silent": Case(("{} hang",)),
    "resets": Case(("{} cut",)),
    "503": Case(("{} cut", "{} full")),
    "half answers": Case(("{} cut", "{} stuck")),
    "refuses": Case(("down",), ("up",)),
    "restarts": Case(("down", "up"), (), at_once=True),
}


def measure_drain_delays(
    made: Cluster, groups: Mapping[str, Sequence[int]], engine: int, down_s: float
) -> dict[str, list[float]]:
    """Seconds from reachability to each router's last request to the engine, 0 if it was earlier.

    `groups`: the routers of each case; the outage lasts `down_s`, the engine starts to drain in the middle.
    Clients must send requests meanwhile. AssertionError if a router is never notified of the drain.
    """

    def send_commands(name: str, commands: Sequence[str]) -> None:
        for text in commands:
            made.service.send_command(text.format(",".join(map(str, groups[name]))))

    reachable: dict[str, float] = {}
    for name in groups:
        if not FAILURE_CASES[name].at_once:
            send_commands(name, FAILURE_CASES[name].begin)
    time.sleep(down_s / 2)
    for name in groups:
        if FAILURE_CASES[name].at_once:
            send_commands(name, FAILURE_CASES[name].begin)
    made.draining.add(engine)
    made.publish_list()
    for name in groups:
        if FAILURE_CASES[name].at_once:
            send_commands(name, FAILURE_CASES[name].back)
            reachable[name] = time.time()
    time.sleep(down_s / 2)
    for name in groups:
        if not FAILURE_CASES[name].at_once:
            send_commands(name, FAILURE_CASES[name].back)
            reachable[name] = time.time()
    for numbers in groups.values():
        for n in numbers:
            made.routers[n].wait_for(lambda n=n: _has_latest_list(made, n), UPDATE_TIMEOUT_S)  # type: ignore[misc]
    time.sleep(SETTLE_S)
    last = made.counts()[engine]["last"]
    return {
        name: [round(max(0.0, last.get(f"r{n}", 0.0) - reachable[name]), 2) for n in numbers]
        for name, numbers in groups.items()
    }


def _has_latest_list(made: Cluster, router: int) -> bool:
    return any(event["index"] >= made.list_version for event in made.routers[router].events("destinations"))


def undo_drain(made: Cluster, engine: int) -> None:
    """Put the engine back into service and wait until all routers know."""
    made.draining.discard(engine)
    made.publish_list()
    for n, router in enumerate(made.routers):
        router.wait_for(lambda n=n: _has_latest_list(made, n), UPDATE_TIMEOUT_S)  # type: ignore[misc]
