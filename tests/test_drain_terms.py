"""What is owed after an operator drains a router by hand, on runs of real processes.

Four seconds after the call a router holds no idle connection and no request of the last two, whatever its
clients do; and each request still has its one answer. Times are the kernels', on the clients' side. The drawn
runs are a few seeds of `benchmarks/drains.py`.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from spoolbarrow.lab.recorded_clients import DRAIN_HABITS
from tests.drain_scenes import broken, draw, scene

MIXED = ["eager", "keeps", "renews", "pipelines", "bytewise", "slow", "closes", *DRAIN_HABITS]
SHIMS = Path(__file__).resolve().parent.parent / "benchmarks" / "shims"
DRAIN = [(2.0, "call_drain")]
AGAIN = [(1.0, "call_drain"), (2.0, "call_activate"), (3.0, "call_drain")]


@pytest.mark.parametrize(
    ("routers", "habit"), [(1, "eager"), (1, "ahead"), (1, "renews"), (2, "eager"), (2, "ahead")]
)
def test_a_drained_router_holds_nothing_new_whatever_its_clients_do(
    tmp_path: Path, routers: int, habit: str
) -> None:
    """Where it is the only one, clients come back to it; else those that it has are left to it."""
    assert broken(tmp_path, scene(routers, [habit] * 10, DRAIN)) == ""


@pytest.mark.parametrize("routers", [2, 3])
@pytest.mark.parametrize("faults", [DRAIN, AGAIN])
def test_a_drained_router_of_several_holds_nothing_new(
    tmp_path: Path, routers: int, faults: list[tuple[float, str]]
) -> None:
    assert broken(tmp_path, scene(routers, MIXED * 2, faults)) == ""


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_drawn_drains_and_faults_break_no_term(tmp_path: Path, seed: int) -> None:
    assert broken(tmp_path, draw(seed)) == ""


def test_drawn_drains_break_no_term_where_system_calls_fail_and_fall_short(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Accept, connect, short reads and writes, and wall clocks that differ between the routers."""
    monkeypatch.setenv("PYTHONPATH", str(SHIMS))
    assert broken(tmp_path, draw(100)) == ""
