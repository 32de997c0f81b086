"""The guarantees of an operator's drain, checked on runs of real processes.

Four seconds after the call a router holds no idle connection and no request of the last two seconds, whatever
its clients do, and each request still gets exactly one answer. Times are those of the kernels on the clients'
side. The random runs are a few seeds of `benchmarks/drains.py`.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from spoolbarrow.lab.recorded_clients import DRAIN_BEHAVIORS
from tests.drain_runs import drain_run, draw_drain_run, violation_report

MIXED = ["eager", "keeps", "renews", "pipelines", "bytewise", "slow", "closes", *DRAIN_BEHAVIORS]
SHIMS = Path(__file__).resolve().parent.parent / "benchmarks" / "shims"
DRAIN = [(2.0, "call_drain")]
AGAIN = [(1.0, "call_drain"), (2.0, "call_activate"), (3.0, "call_drain")]


@pytest.mark.parametrize(
    ("routers", "habit"), [(1, "eager"), (1, "ahead"), (1, "renews"), (2, "eager"), (2, "ahead")]
)
def test_a_drained_router_holds_nothing_recent_whatever_its_clients_do(
    tmp_path: Path, routers: int, habit: str
) -> None:
    """Clients of the only router reconnect to it; otherwise it keeps only the clients that it has."""
    assert violation_report(tmp_path, drain_run(routers, [habit] * 10, DRAIN)) == ""


@pytest.mark.parametrize("routers", [2, 3])
@pytest.mark.parametrize("faults", [DRAIN, AGAIN])
def test_a_drained_router_of_several_holds_nothing_recent(
    tmp_path: Path, routers: int, faults: list[tuple[float, str]]
) -> None:
    assert violation_report(tmp_path, drain_run(routers, MIXED * 2, faults)) == ""


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_drains_and_faults_violate_no_term(tmp_path: Path, seed: int) -> None:
    assert violation_report(tmp_path, draw_drain_run(seed)) == ""


def test_random_drains_violate_no_term_if_system_calls_fail_or_are_partial(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failures of accept and connect, short reads and writes, and wall clocks that differ between routers."""
    monkeypatch.setenv("PYTHONPATH", str(SHIMS))
    assert violation_report(tmp_path, draw_drain_run(100)) == ""
