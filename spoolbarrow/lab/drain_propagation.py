"""How long real routers go on sending to an engine that drains, when the list service failed before.

Each case is a way for the service to fail, played on routers of its own: what they meet, while the engine
begins to drain, and how the service comes back. The time counts from when a new call could be answered to
the last request that the engine got from the router.
"""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from spoolbarrow.lab.cluster import Cluster

SETTLED_S = 0.6  # after all know: requests that were under way have come by then
LATEST_S = 30.0  # by when all know the list, or never


class Case(NamedTuple):
    """Orders for the list service (`lab/list_service.py`); `{}` stands for the routers."""

    begin: tuple[str, ...]
    back: tuple[str, ...] = ("{} pass",)
    at_once: bool = False  # the service can be called again as soon as the engine drains


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
    """Seconds from reachable to each router's last request to the engine, 0 where it is before that.

    `groups`: the routers of each case; the service is away for `down_s`, the engine drains in the middle.
    Clients must be asking meanwhile. AssertionError where a router never hears of the drain.
    """

    def order(name: str, orders: Sequence[str]) -> None:
        for text in orders:
            made.service.send_command(text.format(",".join(map(str, groups[name]))))

    reachable: dict[str, float] = {}
    for name in groups:
        if not FAILURE_CASES[name].at_once:
            order(name, FAILURE_CASES[name].begin)
    time.sleep(down_s / 2)
    for name in groups:
        if FAILURE_CASES[name].at_once:
            order(name, FAILURE_CASES[name].begin)
    made.draining.add(engine)
    made.publish_list()
    for name in groups:
        if FAILURE_CASES[name].at_once:
            order(name, FAILURE_CASES[name].back)
            reachable[name] = time.time()
    time.sleep(down_s / 2)
    for name in groups:
        if not FAILURE_CASES[name].at_once:
            order(name, FAILURE_CASES[name].back)
            reachable[name] = time.time()
    for numbers in groups.values():
        for n in numbers:
            made.routers[n].wait_for(lambda n=n: _knows(made, n), LATEST_S)  # type: ignore[misc]
    time.sleep(SETTLED_S)
    last = made.counts()[engine]["last"]
    return {
        name: [round(max(0.0, last.get(f"r{n}", 0.0) - reachable[name]), 2) for n in numbers]
        for name, numbers in groups.items()
    }


def _knows(made: Cluster, router: int) -> bool:
    return any(told["index"] >= made.list_version for told in made.routers[router].events("destinations"))


def undo_drain(made: Cluster, engine: int) -> None:
    """The engine serves again, and all routers know."""
    made.draining.discard(engine)
    made.publish_list()
    for n, router in enumerate(made.routers):
        router.wait_for(lambda n=n: _knows(made, n), LATEST_S)  # type: ignore[misc]
