"""Draws runs in which routers are drained by operators, terminated and killed, among other faults."""

from __future__ import annotations

from pathlib import Path
from random import Random

from spoolbarrow.lab.recorded_clients import BEHAVIORS, DRAIN_BEHAVIORS
from tests.fleet_runs import RunSpec, play, report

EVENT_GAPS_MS = [20.0, 400.0, 800.0, 1100.0, 2400.0]  # between two of four events: streams of 0.06 to 7.2 s
MAX_CLIENTS = 24  # clients of each router, where there is one
LENGTH_S = 9.0
# Faults besides the drains; `stop` delays a process for as long as the kernel might.
OTHER_FAULTS = ("term_kill", "term", "hang_up", "hang", "slow", "restart", "odd", "stop", "call_activate")


def drain_run(
    routers: int,
    habits: list[str],
    faults: list[tuple[float, str]],
    seed: int = 1,
    deadline_ms: float = 3000.0,
    resumes: bool = False,
    sockets: int = 512,
    length_s: float = 8.5,
) -> RunSpec:
    """Specify routers before engines with capacity for all requests; each router has one client per habit."""
    chat = {
        "Name": "chat",
        "AimMs": 5000.0,
        "DeadlineMs": deadline_ms,
        "Effect": "retryable",
        "Stream": True,
    }
    return RunSpec(
        seed=seed,
        zones={"a": 3},
        routers=["a"] * routers,
        settings={
            "Classes": [chat],
            "Tenants": [],
            "Specifics": {"Resume": resumes},
            "Limits": {"MaxAttempts": 2, "RetryAfter": True, "Cancelling": True, "MaxRetryAfterMs": 1000.0},
        },
        limits={"cores": 1.0, "memory_mb": 192.0, "sockets": sockets},
        figures=None,
        plan={
            "kinds": [{"name": "chat", "left_ms": int(deadline_ms)}],
            "accounts": ["acme"],
            "habits": habits,
            "pause_s": 0.3,
            "gaps_ms": EVENT_GAPS_MS,
            "seed": seed,
        },
        faults=faults,
        length_s=length_s,
        known="old",
        gates=False,
    )


def draw_drain_run(seed: int) -> RunSpec:
    """Draw a run from its seed: one to four routers, at least one drain call, clients of all habits."""
    rng = Random(seed)
    deadline_ms = rng.choice([300.0, 1000.0, 1500.0, 3000.0, 5000.0])
    count = rng.choice([6, 10, MAX_CLIENTS])
    drains = [(round(rng.uniform(0.5, 3.5), 2), "call_drain") for _ in range(rng.randint(1, 2))]
    others = [(round(rng.uniform(0.5, 6.0), 2), rng.choice(OTHER_FAULTS)) for _ in range(rng.randint(0, 3))]
    return drain_run(
        rng.choice([1, 1, 2, 4]),
        [rng.choice(BEHAVIORS + DRAIN_BEHAVIORS) for _ in range(count)],
        sorted(drains + others),
        seed,
        deadline_ms,
        rng.random() < 0.4,
        rng.choice([64, 256, 512]),
        LENGTH_S,
    )


def violation_report(folder: Path, spec: RunSpec) -> str:
    """Run a specification and report its violations; empty without any."""
    run, record, violations = play(folder, spec)
    unexpected = [line for log in run.logs.values() for line in log if '"unexpected"' in line]
    if violations or unexpected or not record.connections:
        return report(run, record, violations) + "".join(unexpected)
    return ""
