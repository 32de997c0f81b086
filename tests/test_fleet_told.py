"""A change counts as told 6 s after discovery had it and could be reached, whatever call failed.

Sixteen real routers with clients, an engine that drains while the list service fails in one way after the
other, and when each router's last request came there.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from spoolbarrow.fleet.pacing import CLOCK_MS
from spoolbarrow.lab.cluster import Cluster, Load, cluster
from spoolbarrow.lab.told import CASES, play, take_back

ROUTERS, ENGINES = 16, 2
RATE = 20.0  # calls a second
DOWN_S = 9.0  # long enough for pauses to grow, where they do
BOUND_S = CLOCK_MS / 1000 + 0.25  # and a drain's grace
GROUPS = ["watches fall silent", "watches and calls are silent", "resets", "503", "half answers"]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("told")
    with cluster(folder, {"a": ENGINES}, ["a"] * ROUTERS, gates=False, known="old", rate=RATE) as made:
        load = Load(made, 1, 0.1)
        try:
            yield made
        finally:
            load.stop()
            assert set(load.statuses()) == {200}


@pytest.fixture(scope="module")
def together(fleet: Cluster) -> dict[str, list[float]]:
    """Faults that the service can have for some routers only, side by side."""
    groups = {name: range(n, ROUTERS, len(GROUPS)) for n, name in enumerate(GROUPS)}
    found = play(fleet, groups, 0, DOWN_S)
    take_back(fleet, 0)
    return found


@pytest.mark.parametrize("name", GROUPS)
def test_sendings_end_in_time(together: dict[str, list[float]], name: str) -> None:
    assert len(together[name]) >= 3 and max(together[name]) < BOUND_S, together


@pytest.mark.parametrize("name", sorted(CASES.keys() - set(GROUPS)))
def test_sendings_end_in_time_after_a_fault_that_all_meet(fleet: Cluster, name: str) -> None:
    found = play(fleet, {name: range(ROUTERS)}, 0, DOWN_S)
    assert max(found[name]) < BOUND_S, found
    take_back(fleet, 0)
