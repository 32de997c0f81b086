"""Measures the admission service: shares under contention, kept retry promises, memory, cost and worth.

    python benchmarks/admission.py [--short]

The short form runs fewer and shorter scenarios. Everything is simulated from fixed seeds; the memory of the
admission service alone is measured in a process of its own.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from multiprocessing import get_context
from pathlib import Path
from random import Random
from statistics import fmean, stdev
from time import perf_counter_ns
from typing import Any, ClassVar

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from paired_routers import anonymous_kb  # noqa: E402

from spoolbarrow import interface as i  # noqa: E402
from spoolbarrow.admission import controller as d  # noqa: E402
from spoolbarrow.lab import policies  # noqa: E402
from spoolbarrow.lab.admission_policy import AdmissionPolicy  # noqa: E402
from spoolbarrow.lab.run_report import percentile  # noqa: E402
from spoolbarrow.lab.scenario import convert, load_raw  # noqa: E402
from spoolbarrow.lab.simulate import Simulation  # noqa: E402

SCENARIO_DIR = ROOT / "examples" / "lab"
MAX_SHARE_ERROR = 0.03  # of everything that was served in a window
MIN_KEPT_SHARE = 0.95  # of clients that retry at the promised time
MAX_MEMORY_KB = 1024
MAX_COST_SHARE = 0.15  # of the decisions' processor time
MAX_WORTH_LOSS = 0.005  # in any scenario
WINDOW_MS = 10_000.0
TENANT_QUOTAS = {"cairn": 1.8, "lough": 1.2}  # quotas in requests per second and engine
CLIENTS = {"retries": 4, "honour": 1.0, "backoff": "fixed", "backoff_ms": 100.0}


def scenario_with(name: str = "calm", **changes: Any) -> Any:
    """An example scenario with changes; tables such as `load` and `clients` are merged into its own."""
    raw = load_raw(SCENARIO_DIR / f"{name}.toml")
    for key, value in changes.items():
        raw[key] = raw.get(key, {}) | value if isinstance(value, dict) and key != "tenants" else value
    return convert(raw)


def tenants(cairn: float, lough: float) -> dict[str, Any]:
    """The two tenants with these shares of the load and their usual quotas."""
    sent = {"cairn": cairn, "lough": lough}
    return {name: {"share": sent[name], "quota_per_engine": quota} for name, quota in TENANT_QUOTAS.items()}


def scenarios(length_s: float) -> dict[str, Any]:
    """Six scenarios in which admission control could help or harm."""
    high_load = {"per_engine": 6.0}
    return {
        "calm": scenario_with(length_s=length_s, load={"per_engine": 4.0}),
        "troubles": scenario_with("troubles", length_s=length_s),
        "payday": scenario_with(length_s=length_s, load=high_load, tenants=tenants(0.5, 0.5)),
        "one_pushes": scenario_with(length_s=length_s, load=high_load, tenants=tenants(0.9, 0.1)),
        "storm": scenario_with(
            length_s=length_s,
            load={"per_engine": 4.5},
            clients={"retries": 6, "honour": 0.0, "backoff": "none"},
        ),
        "hang": scenario_with(
            length_s=length_s,
            load={"per_engine": 4.0},
            troubles=[{"name": "hang", "begin_s": 5.0, "length_s": 10.0, "part": 0.5}],
        ),
    }


def do_nothing(now: float, events: list[i.Event]) -> list[i.Action]:
    """Do nothing; used to measure the cost of timing a call."""
    return []


def timing_overhead_ns() -> float:
    """The time per batch that timing the inner decisions adds to the measured time of admission."""
    inside = 0
    begin = perf_counter_ns()
    for _ in range(20_000):
        at = perf_counter_ns()
        do_nothing(0.0, [])
        inside += perf_counter_ns() - at
    return (perf_counter_ns() - begin - inside) / 20_000


class InstrumentedAdmission(AdmissionPolicy):
    """Admission that records its retry promises, whether they were kept, and the processor time."""

    all: ClassVar[list[InstrumentedAdmission]] = []

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.promises: dict[tuple[int, int], float] = {}  # promised time by tenant and session
        self.made = self.first = self.kept = 0
        self.late_ms: list[float] = []
        self.in_all = self.in_decisions = self.batches = 0
        decide = self.router.handle

        def timed(now: float, events: list[i.Event]) -> list[i.Action]:
            begin = perf_counter_ns()
            actions = decide(now, events)
            self.in_decisions += perf_counter_ns() - begin
            return actions

        setattr(self.router, "handle", timed)  # noqa: B010
        self._on_rejected = self._record_promise
        InstrumentedAdmission.all.append(self)

    def _record_promise(self, rejection: Any) -> None:
        key = (rejection.event.tenant, rejection.event.session)
        if rejection.answer.promised and key not in self.promises:
            self.made += 1
            self.promises[key] = self.now + rejection.answer.retry_after_ms

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Handle events as usual, and record the results."""
        self.now = now
        came = []
        for event in events:
            if isinstance(event, i.RequestArrived):
                at = self.promises.get((event.tenant, event.session))
                if at is not None and now >= at - 1e-6:
                    del self.promises[event.tenant, event.session]
                    came.append((event.request, at))
        self.batches += 1
        begin = perf_counter_ns()
        actions = super().handle(now, events)
        self.in_all += perf_counter_ns() - begin
        refused = {action.request for action in actions if isinstance(action, i.Refuse)}
        for request, at in came:
            self.first += 1
            self.kept += request not in refused
            self.late_ms.append(now - at)
        return actions


policies.POLICIES["watched"] = lambda settings, seed, truth: InstrumentedAdmission(settings, seed)


def admission_cost_share() -> float:
    """The processor time of admission as a share of that of the decisions, over all instances."""
    own = sum(w.in_all - w.in_decisions - w.batches * timing_overhead_ns() for w in InstrumentedAdmission.all)
    return own / max(1, sum(w.in_decisions for w in InstrumentedAdmission.all))


def contention(seed: int, length_s: float, routers: int) -> dict[str, Any]:
    """Both tenants at about twice their share; the error of their served shares in each 10 s."""
    scenario = scenario_with(
        length_s=length_s,
        routers=routers,
        load={"per_engine": 8.0},
        tenants=tenants(0.5, 0.5),
        clients=CLIENTS,
    )
    InstrumentedAdmission.all.clear()
    played = Simulation(scenario, "watched", seed)
    played.play()
    lead = scenario.lead_ms()
    done = [r for r in played.clients.records if r.outcome == "served" and r.planned.at_ms + r.end_ms >= lead]
    windows: dict[int, list[float]] = {}
    for record in done:
        n = int((record.planned.at_ms + record.end_ms - lead) // WINDOW_MS)
        if (n + 1) * WINDOW_MS <= length_s * 1000.0:
            windows.setdefault(n, [0.0, 0.0])[record.planned.tenant] += record.made
    expected_share = TENANT_QUOTAS["cairn"] / sum(TENANT_QUOTAS.values())
    errors = [abs(one / (one + other) - expected_share) for one, other in windows.values()]
    watched = InstrumentedAdmission.all
    return {
        "errors": errors,
        "promised": sum(w.made for w in watched),
        "came": sum(w.first for w in watched),
        "kept": sum(w.kept for w in watched),
        "late_ms": [ms for w in watched for ms in w.late_ms],
    }


def worth(name: str, policy: str, seed: int, length_s: float) -> dict[str, Any]:
    """The worth of a scenario with or without admission, and the cost of admission."""
    InstrumentedAdmission.all.clear()
    report = Simulation(scenarios(length_s)[name], policy, seed).play()
    return {
        "worth": report["worth"],
        "broken": sum(report["rules_broken"].values()),
        "cost": admission_cost_share() if InstrumentedAdmission.all else 0.0,
    }


def measure_memory(ids: int) -> int:
    """Memory in kB that admission holds after requests of `ids` clients."""
    done = subprocess.run(
        [sys.executable, __file__, "--ids", str(ids)], capture_output=True, text=True, check=True, timeout=600
    )
    return int(done.stdout)


def held_memory_kb(ids: int) -> int:
    """Memory in this process after requests of `ids` new clients at full load, beyond the usual tables."""
    rng = Random(1)
    controller = d.AdmissionController(d.Settings(weights=(0.6, 0.4)), 1)
    now = 0.0

    def send(n: int, client: int) -> None:
        nonlocal now
        now += 1.0
        arrival = d.Arrived(
            f"r{n}", n % 2, client, 1000.0, 5000.0, session=client >> 32, prompt=rng.getrandbits(64)
        )
        events: list[d.Event] = [d.FleetLoad(n % 200 / 100.0)]
        if n >= 50:
            events.append(d.RequestEnded(f"r{n - 50}", True, 1000.0))
        controller.handle(now, [*events, arrival])
        if n % 7 == 0:  # admitted, then refused by the router: gets a retry time
            controller.handle(now, [d.RefusedByRouter(arrival, 100.0)])

    same_client = rng.getrandbits(64)
    for n in range(60_000):  # fills the tables that hold a window of time
        send(n, same_client ^ n >> 13)
    before = anonymous_kb()
    for n in range(60_000, 60_000 + ids):
        send(n, rng.getrandbits(64) if ids > 1 else same_client)
    return anonymous_kb() - before


def main() -> int:
    """Measure, print one line of JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--ids", type=int)
    args = parser.parse_args()
    if args.ids is not None:
        print(held_memory_kb(args.ids))
        return 0
    seeds, length_s, ids = ((1, 2), 20.0, 20_000) if args.short else (tuple(range(1, 9)), 60.0, 1_000_000)
    with ProcessPoolExecutor(mp_context=get_context("spawn")) as pool:
        fights = {n: [pool.submit(contention, seed, length_s, n) for seed in seeds] for n in (1, 2)}
        runs = {
            (name, policy): [pool.submit(worth, name, policy, seed, length_s) for seed in seeds]
            for name in scenarios(length_s)
            for policy in ("spoolbarrow", "watched")
        }
        memory_kb = [measure_memory(1), measure_memory(ids)]
        contended = {n: [one.result() for one in some] for n, some in fights.items()}
        played = {key: [one.result() for one in some] for key, some in runs.items()}
    alone = contended[1]
    errors = [error for one in alone for error in one["errors"]]
    late = [ms for one in alone for ms in one["late_ms"]]
    came = sum(one["came"] for one in alone)
    gains = {}
    for name in scenarios(length_s):
        pairs = zip(played[name, "spoolbarrow"], played[name, "watched"], strict=True)
        differences = [b["worth"] - a["worth"] for a, b in pairs]
        error = stdev(differences) / sqrt(len(differences))
        gains[name] = {
            "without": round(fmean(one["worth"] for one in played[name, "spoolbarrow"]), 4),
            "gain": round(fmean(differences), 4),
            "standard_error": round(error, 4),
        }
    cost = fmean(one["cost"] for (_, policy), some in played.items() if policy == "watched" for one in some)
    figures = {
        "share_error_mean": round(fmean(errors), 4),
        "share_error_worst": round(max(errors), 4),
        "share_error_two_routers": round(fmean(e for one in contended[2] for e in one["errors"]), 4),
        "promised": sum(one["promised"] for one in alone),
        "came": came,
        "kept_share": round(sum(one["kept"] for one in alone) / max(1, came), 4),
        "told_time_error_ms": {"p50": round(percentile(late, 50), 1), "p95": round(percentile(late, 95), 1)},
        "memory_kb": {"1": memory_kb[0], str(ids): memory_kb[1]},
        "cost_of_a_decision": round(cost, 4),
        "rules_broken": sum(one["broken"] for some in played.values() for one in some),
        "worth": gains,
        "seeds": len(seeds),
        "day_s": length_s,
    }
    holds = {
        "shares": figures["share_error_mean"] <= MAX_SHARE_ERROR,
        "promises": came > 0 and figures["kept_share"] >= MIN_KEPT_SHARE,
        "memory": memory_kb[1] - memory_kb[0] <= MAX_MEMORY_KB,
        "cost": cost <= MAX_COST_SHARE,
        "rules": figures["rules_broken"] == 0,
        "worth": all(one["gain"] + 2.0 * one["standard_error"] >= -MAX_WORTH_LOSS for one in gains.values()),
    }
    print(orjson.dumps({"name": "door", "holds": all(holds.values()), "held": holds} | figures).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
