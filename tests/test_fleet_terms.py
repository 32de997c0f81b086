"""The terms owed to clients and engines, on runs of real processes with drawn settings and faults.

What is drawn follows from the seed; when things happen does not, so that a run finds a race by chance, and a
seed that has found one is no promise to find it again. Times are the kernels', on the peers' side; a router
is allowed the time for which it stood ready and had no processor (`tests/terms.py`). No test goes by how fast
anything is beyond the terms themselves.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec.structs import replace

from spoolbarrow.lab.cold_engine import ColdEngineParameters
from tests.fleet_runs import COLD_FAULTS, FAULTS, RunSpec, draw_scene, play, report


def kept(folder: Path, scene: RunSpec, least: int) -> None:
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


def few_left(seed: int, routers: int, attempts: int) -> RunSpec:
    """Of six engines two are left, both begin anew, and all that the six were asked for comes to them."""
    each = 30
    figures = ColdEngineParameters(
        per_s=20.0, cold_from=0.12, cold_ms=4000.0, overload_factor=2.5, tip_after_ms=1000.0
    )
    drawn = draw_scene(seed, routers, 4.5, each)
    chat = {"Name": "chat", "AimMs": 2000.0, "DeadlineMs": 4000.0, "Effect": "retryable", "Stream": True}
    settings = {
        **drawn.settings,
        "Classes": [chat],
        "Tenants": [],
        "Zones": ["z0"],
        "Discovery": "subscribe",
        "Stats": {"Via": "off"},
        "Specifics": {"Resume": False},
        "Limits": {
            "MaxAttempts": attempts,
            "RetryAfter": True,
            "Cancelling": True,
            "SecondCopies": True,
            "Probing": False,
            "ConnectTimeoutMs": 200.0,
        },
        "Invariants": {
            "ColdFrom": figures.cold_from,
            "ColdMs": figures.cold_ms,
            "OverloadFactor": figures.overload_factor,
            "TipAfterMs": figures.tip_after_ms,
        },
    }
    plan = {
        "kinds": [{"name": "chat", "left_ms": 4000}],
        "accounts": ["acme"],
        "habits": ["keeps"] * each,
        "pause_s": 2 * each * routers / (4.0 * figures.per_s * 6),
        "seed": seed,
    }
    return replace(
        drawn,
        zones={"z0": 6},
        routers=["z0"] * routers,
        settings=settings,
        limits={"cores": 1.0, "memory_mb": 192.0, "sockets": 1024},
        figures=figures,
        plan=plan,
        faults=[(1.0, "few")],
        gates=False,
        known="old",
    )


@pytest.mark.parametrize("attempts", [1, 3])
def test_two_engines_in_slow_start_that_are_all_there_is_are_not_overloaded(
    tmp_path: Path, attempts: int
) -> None:
    kept(tmp_path, few_left(1, 4, attempts), 100)
