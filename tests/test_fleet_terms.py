"""Checks the terms for clients and engines on runs of real processes with random settings and faults.

The seed determines what is drawn but not the timing, so a run finds a race by chance, and a seed that found
one may not find it again. Times are taken by the kernel on the peers' side; a router is allowed the time for
which it was runnable without a processor (`tests/terms.py`). No test depends on speed beyond the terms
themselves.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec.structs import replace

from spoolbarrow.lab.cold_engine import ColdEngineParameters
from tests.fleet_runs import COLD_FAULTS, FAULTS, RunSpec, draw_run, play, report


def assert_terms_hold(folder: Path, spec: RunSpec, least: int) -> None:
    """Assert that a run with at least `least` requests violates no term."""
    run, record, violations = play(folder, spec)
    assert not violations, report(run, record, violations)
    assert sum(len(one.requests) for one in record.connections) >= least
    assert record.arrivals and not [
        line for log in run.logs.values() for line in log if '"unexpected"' in line
    ]


@pytest.mark.parametrize(("routers", "seed", "each"), [(1, 205, 12), (4, 214, 8), (6, 211, 8)])
def test_random_settings_and_faults_violate_no_term(
    tmp_path: Path, routers: int, seed: int, each: int
) -> None:
    assert_terms_hold(tmp_path, draw_run(seed, routers, 5.0, each, FAULTS), 50)


def test_random_settings_and_faults_violate_no_term_with_two_dozen_processes(tmp_path: Path) -> None:
    assert_terms_hold(tmp_path, draw_run(400, 22, 5.0, 3, COLD_FAULTS), 100)


def two_restarting_engines(seed: int, routers: int, attempts: int) -> RunSpec:
    """Two of six engines stay in the list, both restart, and they get the load of all six."""
    each = 30
    figures = ColdEngineParameters(
        per_s=20.0, cold_from=0.12, cold_ms=4000.0, overload_factor=2.5, tip_after_ms=1000.0
    )
    base = draw_run(seed, routers, 4.5, each)
    chat = {"Name": "chat", "AimMs": 2000.0, "DeadlineMs": 4000.0, "Effect": "retryable", "Stream": True}
    settings = {
        **base.settings,
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
        base,
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
def test_the_only_two_engines_are_not_overloaded_in_slow_start(tmp_path: Path, attempts: int) -> None:
    assert_terms_hold(tmp_path, two_restarting_engines(1, 4, attempts), 100)
