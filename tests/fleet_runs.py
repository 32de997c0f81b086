"""Runs real processes with randomly drawn settings and faults, and records what `tests/terms.py` checks."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Sequence
from contextlib import suppress
from math import inf
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from msgspec import Struct

from spoolbarrow.lab.cluster import LISTEN, STANDIN_LIFETIME_S, Cluster, Process
from spoolbarrow.lab.cold_engine import ColdEngineParameters
from spoolbarrow.lab.recorded_clients import BEHAVIORS, ClientPlan
from tests.terms import (
    Connection,
    CpuStarvation,
    EngineRequest,
    ManualDrain,
    Record,
    RouterKill,
    SlowStartSettings,
    StartNotice,
    Violation,
    check,
)

NAMES = ("chat", "a", "Doc-Query", "batch.low", "x" * 60, "7", "zeta_2")
EFFECTS = ("retryable", "dedup", "fragile")
# SIGKILL follows SIGTERM after the longest deadline, at most MAX_DEADLINE_S, plus the margin.
MAX_DEADLINE_S, SIGKILL_MARGIN_S = 3.0, 0.7
SIGTERM_NOTICE_S = 0.25  # from SIGTERM until the load balancer sends no new connections
NOTIFICATION_S = 0.05  # from a change at the list service until it is written to all routers
# The interval between samples of the routers' wait for a processor, and the shortest wait that counts.
SAMPLE_INTERVAL_S, MIN_STARVATION_S = 0.05, 0.005
LIST_TIMEOUT_S = 10.0  # for a restarted router to get a list
COLD_FAULTS = ("restart", "restart_some", "restart_some", "lose_warm", "kill", "term", "replace", "shrink")
FAULTS = (
    "odd",
    "hang",
    "restart",
    "down",
    "full",
    "slow",
    "replace",
    "term",
    "kill",
    "reset",
    "drain",
    "mute",
    "stop",
    "hang_up",
)


class RunSpec(Struct, frozen=True):
    """The specification of a run, all of it drawn from the seed."""

    seed: int
    zones: dict[str, int]
    routers: list[str]
    settings: dict[str, Any]
    limits: dict[str, Any]
    figures: ColdEngineParameters | None
    plan: dict[str, Any]  # without the ports
    faults: list[tuple[float, str]]  # seconds from the start, and the fault's name
    length_s: float
    known: str
    gates: bool


def draw_settings(rng: Random, figures: ColdEngineParameters) -> dict[str, Any]:
    """Draw the platform's settings from their whole valid range."""
    names = rng.sample(NAMES, rng.randint(1, 4))
    classes = [
        {
            "Name": name,
            "AimMs": rng.choice([50.0, 200.0, 1200.0, 3000.0, 60e3]),
            "DeadlineMs": rng.choice([1000.0, 1000.0, 1500.0, 2500.0, 4000.0]),
            "Effect": rng.choice(EFFECTS),
            "Group": rng.choice(["all", "zone", "cell"]),
            "RepeatWindowMs": rng.choice([0.0, 1.0, 50.0, 500.0, 5000.0]),
            "Importance": rng.choice([0.0, 0.5, 1.0, 3.0]),
            "LateShare": rng.choice([0.0, 0.25, 1.0]),
            "Stream": True,
        }
        for name in names
    ]
    tenants = [
        {"Name": name, "Portion": rng.random(), "QuotaPerS": rng.choice([0.0, 1.0, 100.0])}
        for name in rng.sample(["acme", "b", "Court 3"], rng.randint(0, 3))
    ]
    return {
        "Classes": classes,
        "Tenants": tenants,
        "TickMs": rng.choice([0.0, 1.0, 5.0, 20.0, 50.0]),
        "Discovery": rng.choice(["subscribe", "automatic"]),
        "Fees": rng.choice([{}, {"CrossZone": 0.3, "Waste": 0.3, "Probe": 0.002}]),
        "Stats": rng.choice([{"Via": "off"}, {"Fields": ["x1", "load_share", "x0"], "Via": "on_probe"}]),
        "Specifics": {"Resume": rng.random() < 0.3},
        "Limits": {
            "MaxAttempts": rng.choice([1, 1, 2, 3, 6]),
            "MaxOpen": rng.choice([2, 10_000, 10_000]),
            "RetryAfter": rng.random() < 0.7,
            "Cancelling": rng.random() < 0.7,
            "SecondCopies": rng.random() < 0.5,
            "MaxRetryAfterMs": rng.choice([100.0, 1000.0, 5000.0]),
            "Probing": rng.random() < 0.5,
            "ConnectTimeoutMs": rng.choice([50.0, 200.0, 1000.0]),
            "ConnIdleMs": rng.choice([200.0, 1000.0, 30_000.0]),
        },
        "Invariants": {
            "ColdFrom": figures.cold_from,
            "ColdMs": figures.cold_ms,
            "OverloadFactor": figures.overload_factor,
            "TipAfterMs": figures.tip_after_ms,
            "DrainGraceMs": rng.choice([0.0, 250.0, 1000.0]),
            "MustAskInMs": rng.choice([0.0, 5000.0]),
        },
    }


def draw_run(
    seed: int,
    routers: int,
    length_s: float = 8.0,
    each: int = 4,
    faults: Sequence[str] = FAULTS,
    least: float = 0.3,
) -> RunSpec:
    """Draw a run from its seed; the load is at least the share `least` of the capacity of warm engines."""
    rng = Random(seed)
    figures = ColdEngineParameters(
        per_s=rng.choice([10.0, 20.0, 40.0]),
        cold_from=rng.choice([0.05, 0.12, 0.34, 1.0]),
        cold_ms=rng.choice([2000.0, 5000.0, 10_000.0]),
        overload_factor=rng.choice([1.0, 2.0, 4.0]),
        tip_after_ms=rng.choice([500.0, 1000.0, 2000.0]),
        waiting=rng.choice([2, 16, 64]),
        connections=rng.choice([4, 16, 256]),
    )
    settings = draw_settings(rng, figures)
    count = rng.randint(1, 3)
    zones = {f"z{n}": rng.randint(2, 4 - count // 2) for n in range(count)}
    settings["Zones"] = list(zones)
    engines = sum(zones.values())
    kinds = [{"name": one["Name"], "left_ms": int(one["DeadlineMs"])} for one in settings["Classes"]]
    clients = routers * each
    asked = max(least, rng.choice([0.3, 0.8, 1.3])) * figures.per_s * engines  # a second
    plan = {
        "kinds": kinds,
        "accounts": [one["Name"] for one in settings["Tenants"]] or ["acme"],
        "habits": [rng.choice(BEHAVIORS) for _ in range(each)],
        "pause_s": min(2.0, max(0.01, 2 * clients / asked)),
        "spread": rng.choice([0.0, 0.5, 1.0]),
        "hot": rng.choice([0.0, 0.3, 1.0]),
        "sessions": rng.choice([0, 1, 5]),
        "seed": seed,
    }
    drawn = sorted(
        (round(rng.uniform(0.5, length_s - 2.0), 2), rng.choice(faults)) for _ in range(rng.randint(2, 6))
    )
    limits = {
        "cores": 1.0,
        "memory_mb": rng.choice([2.0, 192.0]),
        "sockets": rng.choice([64, 100, 256, 1024]),
    }
    return RunSpec(
        seed=seed,
        zones=zones,
        routers=[rng.choice(list(zones)) for _ in range(routers)],
        settings=settings,
        limits=limits,
        figures=figures,
        plan=plan,
        faults=drawn,
        length_s=length_s,
        known=rng.choice(["none", "old"]),
        gates=rng.random() < 0.3,
    )


class Run:
    """The processes of a run, and what is recorded of it."""

    def __init__(self, folder: Path, spec: RunSpec) -> None:
        self.spec, self.rng = spec, Random(spec.seed + 1)
        self.told: list[StartNotice] = []
        self.deaths: list[RouterKill] = []
        self.cuts: list[tuple[str, float]] = []  # resets by the proxy: an engine, and when the reset ended
        self.steps: list[str] = []
        self.starved: list[CpuStarvation] = []
        self.drains: list[ManualDrain] = []
        self._over = threading.Event()
        self.logs: dict[str, list[str]] = {}  # by router: log lines of processes that have ended
        self.cluster = Cluster(
            folder,
            spec.zones,
            spec.routers,
            "",
            gates=spec.gates,
            control=any("call" in fault for _, fault in spec.faults),
            figures=spec.figures,
            settings=spec.settings,
            limits=spec.limits,
            engines="recorded_engines",
            known=spec.known,
        )

    def play(self) -> Record:
        """Run to the end and return the record."""
        cluster = self.cluster
        try:
            cluster.start()
            plan = msgspec.convert({**self.spec.plan, "ports": cluster.ports, "host": LISTEN}, ClientPlan)
            self.clients = Process(
                "-m",
                "spoolbarrow.lab.recorded_clients",
                str(STANDIN_LIFETIME_S),
                msgspec.json.encode(plan).decode(),
                stdin=True,
            )
            cluster.processes.append(self.clients)
            idle_ms = self.spec.settings["Limits"].get("ConnIdleMs", 30_000.0)
            cluster.engines.send_command(f"* idle {idle_ms}")
            watching = threading.Thread(target=self._watch, daemon=True)
            watching.start()
            self.clients.send_command("begin")
            self.started_at = time.monotonic()
            for at, fault in self.spec.faults:
                self._until(at)
                self.note(fault)
                getattr(self, f"_{fault}")()
            self._until(self.spec.length_s)
            return self.end()
        finally:
            self._over.set()
            self.keep_logs()
            cluster.end(kill=True)

    def end(self) -> Record:
        """Stop the clients and collect the record."""
        visits = self.clients.send_query("stop")
        arrivals = [self._mark_cut(one) for one in self.cluster.engines.send_query("arrivals")]
        figures = self.spec.figures
        terms = None
        if figures is not None:
            terms = SlowStartSettings(
                overload_factor=figures.overload_factor,
                cold_from=figures.cold_from,
                cold_ms=figures.cold_ms,
                tip_after_ms=figures.tip_after_ms,
                per_s=figures.per_s,
            )
        return Record(
            connections=tuple(msgspec.convert(visits, list[Connection])),
            arrivals=tuple(msgspec.convert(arrivals, list[EngineRequest])),
            told=tuple(self.told),
            deaths=tuple(self.deaths),
            terms=terms,
            starved=tuple(self.starved),
            drains=tuple(self.drains),
            resumes=self.spec.settings["Specifics"]["Resume"],
        )

    def _watch(self) -> None:
        """Record how long routers' processes were runnable without a processor."""
        had: dict[int, tuple[float, float]] = {}
        while not self._over.wait(SAMPLE_INTERVAL_S):
            for number, router in enumerate(list(self.cluster.routers)):
                now, pid = time.monotonic(), router.popen.pid
                try:
                    waited = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
                except OSError:
                    continue
                at, before = had.get(pid, (now, waited))
                had[pid] = now, waited
                if waited - before > MIN_STARVATION_S:
                    seconds = waited - before
                    self.starved.append(
                        CpuStarvation(router=f"r{number}", begin=at, end=now, seconds=seconds)
                    )

    def _mark_cut(self, arrival: dict[str, Any]) -> dict[str, Any]:
        """Attribute responses that the proxy reset to the engine: the router did not cause their end."""
        for engine, at in self.cuts:
            if arrival["engine"] == engine and arrival["first_at"] < at and arrival["end"] == "left":
                return {**arrival, "end": "broken"}
        return arrival

    def note(self, what: str) -> None:
        self.steps.append(f"{time.monotonic() - self.started_at:.2f} {what} ({time.monotonic():.3f})")

    def keep_logs(self) -> None:
        for number, router in enumerate(self.cluster.routers):
            self.logs.setdefault(f"r{number}", []).extend(router.log_lines)

    def _until(self, at: float) -> None:
        time.sleep(max(0.0, self.started_at + at - time.monotonic()))

    def _engine(self) -> int:
        return self.rng.randrange(len(self.cluster.engine_names))

    def _router(self) -> int:
        return self.rng.randrange(len(self.cluster.ports))

    # Faults of engines

    def _odd(self) -> None:
        self.cluster.engines.send_command(f"* odd {self.rng.choice([0.05, 0.2, 0.5])}")

    def _hang(self) -> None:
        self.cluster.engines.send_command(f"{self._engine()} hang")

    def _down(self) -> None:
        self.cluster.engines.send_command(f"{self._engine()} down")

    def _full(self) -> None:
        self.cluster.engines.send_command(f"{self._engine()} full")

    def _slow(self) -> None:
        self.cluster.engines.send_command(f"{self._engine()} slow {self.rng.choice([300, 1200, 4000])}")

    def _restart(self) -> None:
        engine = self._engine()
        self.cluster.restart_engines([engine])
        self._record_start(engine)

    def _restart_some(self) -> None:
        """Several engines restart at once, and load moves to them from the others."""
        count = self.rng.randint(2, len(self.cluster.engine_names))
        chosen = self.rng.sample(range(len(self.cluster.engine_names)), count)
        self.cluster.restart_engines(chosen)
        for engine in chosen:
            self._record_start(engine)

    def _lose_warm(self) -> None:
        """Half of the engines fail, and half of the others restart."""
        order = self.rng.sample(range(len(self.cluster.engine_names)), len(self.cluster.engine_names))
        lost, new = order[: len(order) // 2], order[len(order) // 2 :][::2]
        self.cluster.engines.send_command(f"{','.join(map(str, lost))} down")
        self.cluster.restart_engines(new)
        for engine in new:
            self._record_start(engine)

    def _shrink(self) -> None:
        """Half of the engines leave the list, and half of the others restart."""
        order = self.rng.sample(range(len(self.cluster.engine_names)), len(self.cluster.engine_names))
        self.cluster.unlisted |= set(order[: len(order) // 2])
        new = order[len(order) // 2 :][::2]
        self.cluster.restart_engines(new)
        for engine in new:
            self._record_start(engine)

    def _few(self) -> None:
        """Only two engines stay in the list, and both restart."""
        self.cluster.unlisted |= set(range(2, len(self.cluster.engine_names)))
        self.cluster.restart_engines([0, 1])
        for engine in (0, 1):
            self._record_start(engine)

    def _replace(self) -> None:
        """An engine leaves the list, its process is replaced, and it is listed again."""
        engine = self._engine()
        self.cluster.unlisted.add(engine)
        self.cluster.publish_list()
        self.cluster.engines.send_command(f"{engine} down")
        time.sleep(0.3)
        self.cluster.unlisted.discard(engine)
        self.cluster.restart_engines([engine])
        self._record_start(engine)

    def _drain(self) -> None:
        self.cluster.draining = {self._engine()}
        self.cluster.publish_list()

    def _reset(self) -> None:
        if not self.spec.gates:
            return
        engine = self._engine()
        gates = self.cluster.gates([engine])
        self.cluster.fault("reset", gates)
        time.sleep(0.2)
        self.cuts.append((f"e{engine}", time.monotonic()))
        self.cluster.fault("pass", gates)

    def _mute(self) -> None:
        self.cluster.service.send_command("* mute")

    def _record_start(self, engine: int) -> None:
        now = time.monotonic() + NOTIFICATION_S
        starts = self.cluster.engines.send_query("starts")
        for router in range(len(self.cluster.ports)):
            self.told.append(
                StartNotice(router=f"r{router}", engine=f"e{engine}", started_at=starts[engine], at=now)
            )

    # Faults of routers

    def _term(self) -> None:
        number = self._router()
        router = self.cluster.routers[number]
        router.popen.terminate()
        time.sleep(SIGTERM_NOTICE_S)
        self.clients.send_command(f"away {number}")
        router.popen.wait(30)
        self._not_drained(f"r{number}")
        self.note(f"r{number} ended with {router.popen.returncode}")
        self._start_again(number)

    def _stop(self) -> None:
        """A router's process is stopped for a while, as on a busy or suspended machine."""
        number, begin = self._router(), time.monotonic()
        router = self.cluster.routers[number]
        router.popen.send_signal(signal.SIGSTOP)
        time.sleep(self.rng.choice([0.2, 0.4, 0.8]))
        router.popen.send_signal(signal.SIGCONT)
        now = time.monotonic()
        self.starved.append(CpuStarvation(router=f"r{number}", begin=begin, end=now, seconds=now - begin))

    def _hang_up(self) -> None:
        self.cluster.send_sighup(range(len(self.cluster.ports)))

    def _term_kill(self) -> None:
        """SIGTERM, then SIGKILL as soon as it is allowed; clients use open connections until then."""
        number, told_at = self._router(), time.monotonic()
        router = self.cluster.routers[number]
        longest_s = max(one["DeadlineMs"] for one in self.spec.settings["Classes"]) / 1000.0
        router.popen.terminate()
        time.sleep(SIGTERM_NOTICE_S)
        self.clients.send_command(f"away {number}")
        time.sleep(max(0.0, told_at + min(longest_s, MAX_DEADLINE_S) + SIGKILL_MARGIN_S - time.monotonic()))
        self.deaths.append(RouterKill(router=f"r{number}", at=time.monotonic(), told_at=told_at))
        self.cluster.kill_router(number)
        self._not_drained(f"r{number}")
        self.note(f"r{number} ended with {router.popen.returncode}")
        self._start_again(number)

    def _not_drained(self, router: str) -> None:
        """End a drain: its process ended, or an operator activated the router."""
        now = time.monotonic()
        self.drains = [
            msgspec.structs.replace(one, until=min(one.until, now)) if one.router == router else one
            for one in self.drains
        ]

    def _call_drain(self) -> None:
        """An operator drains a router; the load balancer stops using it, if there is another router."""
        number = len(self.drains) % len(self.cluster.ports)
        if not any(one.router == f"r{number}" and one.until == inf for one in self.drains):
            self.drains.append(ManualDrain(router=f"r{number}", at=time.monotonic()))
        self.cluster.control(number, "router/drain", "POST")
        if len(self.cluster.ports) > 1:
            time.sleep(SIGTERM_NOTICE_S)
            self.clients.send_command(f"away {number}")

    def _call_activate(self) -> None:
        """An operator activates all drained routers."""
        for router in {one.router for one in self.drains if one.until == inf}:
            number = int(router[1:])
            self._not_drained(router)
            self.cluster.control(number, "router/activate", "POST")
            self.clients.send_command(f"back {number}")

    def _kill(self) -> None:
        number = self._router()
        self.deaths.append(RouterKill(router=f"r{number}", at=time.monotonic()))
        self.cluster.kill_router(number)
        self._start_again(number)

    def _start_again(self, number: int) -> None:
        self.logs.setdefault(f"r{number}", []).extend(self.cluster.routers[number].log_lines)
        self.cluster.routers[number] = self.cluster.start_router(number)
        with suppress(AssertionError):  # no engine may be listed; the router then serves no requests
            self.cluster.wait_listed([number], LIST_TIMEOUT_S)
        self.clients.send_command(f"back {number}")


def report(run: Run, record: Record, violations: list[Violation]) -> str:
    """Describe a run and its violations for debugging."""
    lines = [f"seed {run.spec.seed}", *(f"  {step}" for step in run.steps)]
    for one in violations:
        lines.append(f"{one.term}: {one.id}: {one.message}")
        asked = [a for c in record.connections for a in c.requests if a.id == one.id]
        visits = [c for c in record.connections if any(a.id == one.id for a in c.requests)]
        for visit in visits:
            lines.append(
                f"    on {visit.router} ended={visit.ended} at {visit.ended_at:.3f},"
                f" closed {visit.closed_at:.3f},"
                f" of {len(visit.requests)}: {[a.id for a in visit.requests].index(one.id)}"
            )
        lines += [f"    {msgspec.json.encode(a).decode()}" for a in asked]
        lines += [f"    {msgspec.json.encode(a).decode()}" for a in record.arrivals if a.id == one.id]
        for name, log in run.logs.items():
            lines += [f"    {name} {line}" for line in log if f'"id":"{one.id}"' in line]
    for name, log in run.logs.items():
        lines += [f"    {name} {line}" for line in log if '"unexpected"' in line or '"drain_' in line]
    return "\n".join(lines)


def play(folder: Path, spec: RunSpec) -> tuple[Run, Record, list[Violation]]:
    """Run a specification; returns the run, its record and its violations."""
    run = Run(folder, spec)
    record = run.play()
    return run, record, check(record)
