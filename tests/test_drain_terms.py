"""What is owed after an operator drains a router by hand, on runs of real processes.

Four seconds after the call a router holds no idle connection and no request of the last two, whatever its
clients do; and each request still has its one answer. Times are the kernels', on the clients' side.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.fleet_record import Scene, play, report

HABITS = ["eager", "ahead", "keeps", "renews", "silent", "halts", "pipelines", "bytewise", "slow", "closes"]
STREAMS_MS = [20.0, 400.0, 800.0, 1100.0, 2400.0]  # between two of four events: answers of 0.06 to 7.2 s
CHAT = {"Name": "chat", "AimMs": 5000.0, "DeadlineMs": 3000.0, "Effect": "retryable", "Stream": True}


def scene(routers: int, habits: list[str], faults: list[tuple[float, str]], seed: int = 1) -> Scene:
    """Routers before engines that have room for all; each habit has one client at each router."""
    return Scene(
        seed=seed,
        zones={"a": 3},
        routers=["a"] * routers,
        settings={
            "Classes": [CHAT],
            "Tenants": [],
            "Specifics": {"Resume": False},
            "Limits": {"MaxAttempts": 2, "RetryAfter": True, "Cancelling": True, "MaxRetryAfterMs": 1000.0},
        },
        limits={"cores": 1.0, "memory_mb": 192.0, "sockets": 512},
        figures=None,
        plan={
            "kinds": [{"name": "chat", "left_ms": 3000}],
            "accounts": ["acme"],
            "habits": habits,
            "pause_s": 0.3,
            "gaps_ms": STREAMS_MS,
            "seed": seed,
        },
        faults=faults,
        length_s=8.5,
        known="old",
        gates=False,
    )


def kept(folder: Path, made: Scene) -> None:
    """No term is broken, and the drain was one."""
    run, record, violations = play(folder, made)
    assert not violations, report(run, record, violations)
    assert record.drains and record.connections
    assert not [line for log in run.logs.values() for line in log if '"unexpected"' in line]


DRAIN = [(2.0, "call_drain")]
AGAIN = [(1.0, "call_drain"), (2.0, "call_activate"), (3.0, "call_drain")]


@pytest.mark.parametrize("habit", ["eager", "ahead", "renews"])
def test_a_drained_router_holds_nothing_new_whatever_its_clients_do(tmp_path: Path, habit: str) -> None:
    kept(tmp_path, scene(1, [habit] * 10, DRAIN))


@pytest.mark.parametrize("routers", [2, 3])
@pytest.mark.parametrize("faults", [DRAIN, AGAIN])
def test_a_drained_router_of_several_holds_nothing_new(
    tmp_path: Path, routers: int, faults: list[tuple[float, str]]
) -> None:
    kept(tmp_path, scene(routers, HABITS * 2, faults))
