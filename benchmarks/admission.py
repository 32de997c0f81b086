"""The door measured: shares under contention, promises kept, memory, cost, worth against no door.

    python benchmarks/admission.py [--short]

The short form plays fewer and shorter days. All of it in the lab, from fixed seeds; the memory of the door
alone, in a process of its own.
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

DAYS = ROOT / "examples" / "lab"
SHARE_ERROR = 0.03  # of all that was served in a window
KEPT = 0.95  # of callers who come at the time they were promised
MEMORY_KB = 1024
COST = 0.15  # of the decisions' processor time
WORTH_LOST = 0.005  # on any day, at most
WINDOW_MS = 10_000.0
MEMBERS = {"cairn": 1.8, "lough": 1.2}  # requests a second of their quotas, for each engine
CLIENTS = {"retries": 4, "honour": 1.0, "backoff": "fixed", "backoff_ms": 100.0}


def day(name: str = "calm", **changes: Any) -> Any:
    """An example with changes; `load` and `clients` are merged into what it sets."""
    raw = load_raw(DAYS / f"{name}.toml")
    for key, value in changes.items():
        raw[key] = raw.get(key, {}) | value if isinstance(value, dict) and key != "tenants" else value
    return convert(raw)


def members(cairn: float, lough: float) -> dict[str, Any]:
    """The two members, who send in this proportion; their quotas are as ever."""
    sent = {"cairn": cairn, "lough": lough}
    return {name: {"share": sent[name], "quota_per_engine": quota} for name, quota in MEMBERS.items()}


def days(length_s: float) -> dict[str, Any]:
    """Six days on which a door could help or harm."""
    push = {"per_engine": 6.0}
    return {
        "calm": day(length_s=length_s, load={"per_engine": 4.0}),
        "troubles": day("troubles", length_s=length_s),
        "payday": day(length_s=length_s, load=push, tenants=members(0.5, 0.5)),
        "one_pushes": day(length_s=length_s, load=push, tenants=members(0.9, 0.1)),
        "storm": day(
            length_s=length_s,
            load={"per_engine": 4.5},
            clients={"retries": 6, "honour": 0.0, "backoff": "none"},
        ),
        "hang": day(
            length_s=length_s,
            load={"per_engine": 4.0},
            troubles=[{"name": "hang", "begin_s": 5.0, "length_s": 10.0, "part": 0.5}],
        ),
    }


def nothing(now: float, events: list[i.Event]) -> list[i.Action]:
    """A call that does nothing, to know what it costs to time one."""
    return []


def timing_ns() -> float:
    """What timing the decisions inside the door adds to the door's own account, a batch."""
    inside = 0
    begin = perf_counter_ns()
    for _ in range(20_000):
        at = perf_counter_ns()
        nothing(0.0, [])
        inside += perf_counter_ns() - at
    return (perf_counter_ns() - begin - inside) / 20_000


class Watched(AdmissionPolicy):
    """A door that is watched: promises and what became of them, and where time goes."""

    all: ClassVar[list[Watched]] = []

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.promises: dict[tuple[int, int], float] = {}  # by tenant and session, when
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
        self._on_rejected = self._hear
        Watched.all.append(self)

    def _hear(self, told: Any) -> None:
        key = (told.event.tenant, told.event.session)
        if told.answer.promised and key not in self.promises:
            self.made += 1
            self.promises[key] = self.now + told.answer.retry_after_ms

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """As the door does, and look on."""
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


policies.POLICIES["watched"] = lambda settings, seed, truth: Watched(settings, seed)


def door_share() -> float:
    """The door's processor time as a share of the decisions', over all doors watched."""
    own = sum(w.in_all - w.in_decisions - w.batches * timing_ns() for w in Watched.all)
    return own / max(1, sum(w.in_decisions for w in Watched.all))


def contention(seed: int, length_s: float, routers: int) -> dict[str, Any]:
    """Both members at about twice their share; each 10 s, how far their parts of what was served are off."""
    scenario = day(
        length_s=length_s,
        routers=routers,
        load={"per_engine": 8.0},
        tenants=members(0.5, 0.5),
        clients=CLIENTS,
    )
    Watched.all.clear()
    played = Simulation(scenario, "watched", seed)
    played.play()
    lead = scenario.lead_ms()
    done = [r for r in played.clients.records if r.outcome == "served" and r.planned.at_ms + r.end_ms >= lead]
    windows: dict[int, list[float]] = {}
    for record in done:
        n = int((record.planned.at_ms + record.end_ms - lead) // WINDOW_MS)
        if (n + 1) * WINDOW_MS <= length_s * 1000.0:
            windows.setdefault(n, [0.0, 0.0])[record.planned.tenant] += record.made
    part = MEMBERS["cairn"] / sum(MEMBERS.values())
    errors = [abs(one / (one + other) - part) for one, other in windows.values()]
    watched = Watched.all
    return {
        "errors": errors,
        "promised": sum(w.made for w in watched),
        "came": sum(w.first for w in watched),
        "kept": sum(w.kept for w in watched),
        "late_ms": [ms for w in watched for ms in w.late_ms],
    }


def worth(name: str, policy: str, seed: int, length_s: float) -> dict[str, Any]:
    """What a day was worth with the door or without, and what the door cost."""
    Watched.all.clear()
    told = Simulation(days(length_s)[name], policy, seed).play()
    return {
        "worth": told["worth"],
        "broken": sum(told["rules_broken"].values()),
        "cost": door_share() if Watched.all else 0.0,
    }


def memory(ids: int) -> int:
    """Memory that a door holds after so many clients, each asking once; kB."""
    done = subprocess.run(
        [sys.executable, __file__, "--ids", str(ids)], capture_output=True, text=True, check=True, timeout=600
    )
    return int(done.stdout)


def held_kb(ids: int) -> int:
    """In this process: requests of so many new clients at a full door, the first million bounded likewise."""
    rng = Random(1)
    door = d.AdmissionController(d.Settings(weights=(0.6, 0.4)), 1)
    now = 0.0

    def one(n: int, client: int) -> None:
        nonlocal now
        now += 1.0
        asked = d.Arrived(
            f"r{n}", n % 2, client, 1000.0, 5000.0, session=client >> 32, prompt=rng.getrandbits(64)
        )
        events: list[d.Event] = [d.FleetLoad(n % 200 / 100.0)]
        if n >= 50:
            events.append(d.RequestEnded(f"r{n - 50}", True, 1000.0))
        door.handle(now, [*events, asked])
        if n % 7 == 0:  # told a time, where it was let in
            door.handle(now, [d.RefusedByRouter(asked, 100.0)])

    same = rng.getrandbits(64)
    for n in range(60_000):  # what time alone brings: tables that hold a window, full
        one(n, same ^ n >> 13)
    before = anonymous_kb()
    for n in range(60_000, 60_000 + ids):
        one(n, rng.getrandbits(64) if ids > 1 else same)
    return anonymous_kb() - before


def main() -> int:
    """Measure, print one line of JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--ids", type=int)
    told = parser.parse_args()
    if told.ids is not None:
        print(held_kb(told.ids))
        return 0
    seeds, length_s, ids = ((1, 2), 20.0, 20_000) if told.short else (tuple(range(1, 9)), 60.0, 1_000_000)
    with ProcessPoolExecutor(mp_context=get_context("spawn")) as pool:
        fights = {n: [pool.submit(contention, seed, length_s, n) for seed in seeds] for n in (1, 2)}
        runs = {
            (name, policy): [pool.submit(worth, name, policy, seed, length_s) for seed in seeds]
            for name in days(length_s)
            for policy in ("spoolbarrow", "watched")
        }
        kept_kb = [memory(1), memory(ids)]
        contended = {n: [one.result() for one in some] for n, some in fights.items()}
        played = {key: [one.result() for one in some] for key, some in runs.items()}
    alone = contended[1]
    errors = [error for one in alone for error in one["errors"]]
    late = [ms for one in alone for ms in one["late_ms"]]
    came = sum(one["came"] for one in alone)
    gains = {}
    for name in days(length_s):
        pairs = zip(played[name, "spoolbarrow"], played[name, "watched"], strict=True)
        apart = [b["worth"] - a["worth"] for a, b in pairs]
        error = stdev(apart) / sqrt(len(apart))
        gains[name] = {
            "without": round(fmean(one["worth"] for one in played[name, "spoolbarrow"]), 4),
            "gain": round(fmean(apart), 4),
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
        "memory_kb": {"1": kept_kb[0], str(ids): kept_kb[1]},
        "cost_of_a_decision": round(cost, 4),
        "rules_broken": sum(one["broken"] for some in played.values() for one in some),
        "worth": gains,
        "seeds": len(seeds),
        "day_s": length_s,
    }
    holds = {
        "shares": figures["share_error_mean"] <= SHARE_ERROR,
        "promises": came > 0 and figures["kept_share"] >= KEPT,
        "memory": kept_kb[1] - kept_kb[0] <= MEMORY_KB,
        "cost": cost <= COST,
        "rules": figures["rules_broken"] == 0,
        "worth": all(one["gain"] + 2.0 * one["standard_error"] >= -WORTH_LOST for one in gains.values()),
    }
    print(orjson.dumps({"name": "door", "holds": all(holds.values()), "held": holds} | figures).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
