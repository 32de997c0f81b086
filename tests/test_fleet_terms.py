"""The terms owed to clients and engines, on runs of real processes with drawn settings and faults.

What is drawn follows from the seed; when things happen does not, so that a run finds a race by chance, and a
seed that has found one is no promise to find it again. Times are the kernels', on the peers' side; a router
is allowed the time for which it stood ready and had no processor (`tests/terms.py`). No test goes by how fast
anything is beyond the terms themselves.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.fleet_record import COLD_FAULTS, FAULTS, Scene, draw_scene, play, report


def kept(folder: Path, scene: Scene, least: int) -> None:
    """No term is broken on a run in which so many requests at least were asked."""
    run, record, violations = play(folder, scene)
    assert not violations, report(run, record, violations)
    assert sum(len(one.requests) for one in record.connections) >= least
    assert record.arrivals and not [
        line for log in run.logs.values() for line in log if '"unexpected"' in line
    ]


@pytest.mark.parametrize(("routers", "seed", "each"), [(1, 205, 12), (4, 214, 8), (6, 211, 8)])
def test_drawn_settings_and_faults_break_no_term(tmp_path: Path, routers: int, seed: int, each: int) -> None:
    kept(tmp_path, draw_scene(seed, routers, 5.0, each, FAULTS), 50)


def test_drawn_settings_and_faults_break_no_term_with_two_dozen_processes(tmp_path: Path) -> None:
    kept(tmp_path, draw_scene(400, 22, 5.0, 3, COLD_FAULTS), 100)
