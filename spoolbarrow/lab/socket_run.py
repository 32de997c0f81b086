"""Runs a scenario on loopback sockets: emulated engines and discovery, real routers, open-loop load."""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import socket, subprocess

from spoolbarrow.lab.emulator import Emulator, planned_troubles
from spoolbarrow.lab.fleet import ROUTER_TROUBLES, plan, random_stream
from spoolbarrow.lab.kinds import draw
from spoolbarrow.lab.load import LoadGenerator
from spoolbarrow.lab.run_report import build_report, work_report
from spoolbarrow.lab.scenario import Scenario
from spoolbarrow.lab.simulation_state import ROUTER_UP_DELAY_MS
from spoolbarrow.lab.wire_engine import HOST
from spoolbarrow.net import http1

START_TIMEOUT_S = 20.0
TRANSIT_MS = 50.0  # for messages in transit


def router_config(scenario: Scenario, number: int, port: int, discovery: str, seed: int) -> dict[str, Any]:
    """The contents of a router's configuration file."""
    own_settings, limits = scenario.settings(number), scenario.limits
    classes = [
        {
            "Name": name,
            "AimMs": c.aim_ms,
            "DeadlineMs": c.deadline_ms,
            "Importance": c.worth,
            "Effect": "retryable" if c.effect == "safe" else "fragile",
            "LateShare": c.late_share,
            "Stream": True,
        }
        for name, c in scenario.classes.items()
    ]
    tenants = [
        {"Name": name, "Portion": t.portion, "QuotaPerS": t.quota_per_s}
        for name, t in zip(scenario.tenants, own_settings.tenants, strict=True)
    ]
    settings = {
        "Balancers": own_settings.nodes,
        "Me": number,
        "MyZone": own_settings.zone,
        "Classes": classes,
        "Tenants": tenants,
        "Zones": [f"z{n}" for n in range(scenario.zones)],
        "Skus": list(scenario.kinds),
        "Discovery": "subscribe",
        "TickMs": own_settings.tick_ms,
        "Limits": {
            "Cancelling": limits.cancel,
            "ConnectTimeoutMs": limits.connect_timeout_ms,
            "MaxAttempts": limits.max_attempts,
            "MaxRetryAfterMs": limits.max_retry_after_ms,
            "Probing": limits.probes,
            "RetryAfter": limits.retry_after,
            "SecondCopies": limits.second_copies,
        },
        "Invariants": {
            "ColdFrom": own_settings.cold_from,
            "ColdMs": own_settings.cold_ms,
            "DrainGraceMs": limits.drain_grace_ms,
        },
        "Fees": {"Waste": limits.waste_fee},
        "Specifics": {
            "AimUsPer1000PromptTokens": [c.aim_ms_per_1000 * 1000.0 for c in scenario.classes.values()],
            "TokenAimMs": [c.token_aim_ms for c in scenario.classes.values()],
        },
        "Stats": {"Fields": ["x1", "load_share", "x0"], "Via": "on_probe"},
    }
    return {
        "name": f"n{number}",
        "listen": f"{HOST}:{port}",
        "discovery": discovery,
        "seed": f"{random_stream(seed, f'router {number}').getrandbits(32):x}",
        "settings": settings,
    }


def free_port() -> int:
    """A loopback port that is currently free."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class RouterProcesses:
    """Real router processes."""

    def __init__(self, scenario: Scenario, seed: int, discovery: list[str], directory: Path) -> None:
        self.directory = directory
        self.ports = [free_port() for _ in range(scenario.routers)]
        self.running: list[Any] = [None] * scenario.routers
        for n, port in enumerate(self.ports):
            raw = router_config(scenario, n, port, discovery[n], seed)
            (directory / f"router{n}.json").write_bytes(msgspec.json.encode(raw))
            self.start(n)

    def start(self, number: int) -> None:
        """Start a router."""
        environment = {**os.environ, "NODE_CONFIG": str(self.directory / f"router{number}.json")}
        with (self.directory / f"router{number}.log").open("ab") as log:
            self.running[number] = subprocess.Popen(
                [sys.executable, "-m", "spoolbarrow"], env=environment, stderr=log, stdout=log
            )

    def kill(self, number: int) -> None:
        """Kill a router."""
        if self.running[number].poll() is None:
            self.running[number].send_signal(signal.SIGKILL)
        self.running[number].wait()

    def up(self, number: int) -> bool:
        """Whether a router reports that it serves."""
        address = (HOST, self.ports[number])
        parser = http1.ResponseParser(4096)
        try:
            with http1.connect(address, 1.0) as sock:
                sock.settimeout(1.0)
                http1.send_pieces(sock, http1.get_pieces(b"/up", address))
                while not parser.complete:
                    parser.read(sock, bytearray(4096))
        except (OSError, http1.HttpError):
            return False
        return parser.status == 200

    def wait(self) -> None:
        """Wait until all routers serve; OSError if one does not in time."""
        with gevent.Timeout(
            START_TIMEOUT_S, OSError(f"a router did not start; its log is in {self.directory}")
        ):
            for n in range(len(self.ports)):
                while not self.up(n):
                    gevent.sleep(0.05)

    def stop(self) -> list[int]:
        """End all routers with SIGTERM; their exit statuses."""
        for one in self.running:
            if one.poll() is None:
                one.terminate()
        for one in self.running:
            try:
                one.wait(20.0)
            except subprocess.TimeoutExpired:
                one.kill()
                one.wait()
        return [one.returncode for one in self.running]


def run_on_sockets(
    scenario: Scenario,
    seed: int,
    processes: int = 2,
    watch: Callable[[LoadGenerator], None] | None = None,
    directory: Path | None = None,
) -> dict[str, Any]:
    """Run the scenario on sockets in real time; a report like the simulator's. OSError if a party fails.

    The routers' configurations and logs go to `directory`, or are discarded.
    """
    with tempfile.TemporaryDirectory() as scratch, Emulator(scenario, seed, processes) as fleet:
        routers = RouterProcesses(scenario, seed, fleet.discovery.addresses, directory or Path(scratch))
        try:
            routers.wait()
            targets = [(HOST, port) for port in routers.ports]
            with LoadGenerator(scenario, seed, targets, processes) as load:
                begun = time.perf_counter()
                fleet.begin()
                load.begin(fleet.clock.begun)
                troubles = gevent.spawn(_apply_router_troubles, scenario, seed, fleet, routers, load)
                if watch is not None:
                    watch(load)
                records, figures = load.wait()
                took = time.perf_counter() - begun
                troubles.kill()
        finally:
            statuses = routers.stop()
    plans = plan(scenario, random_stream(seed, "troubles"))
    report = build_report(scenario, records, plans)
    engines = fleet.figures
    work = sum(one["work"] for one in engines)
    broken = {"a router crashed": sum(status != 0 for status in statuses)}
    if not any(one.trouble.name in ROUTER_TROUBLES for one in plans):
        # Requests of a router that dies stay unanswered: an effect of the trouble, not a violation.
        broken["1: no answer by the deadline"] = figures["unanswered"]
    broken["3: sent to what drains or is gone"] = fleet.late_sends(
        scenario.limits.drain_grace_ms + TRANSIT_MS
    )
    broken["4: a cold engine fell over"] = sum(one["falls"] for one in engines)
    report |= work_report(scenario, records, work)
    return report | {
        "preempted": sum(one["preempted"] for one in engines),
        "attempts_a_request": round(sum(one["attempts"] for one in engines) / max(1, len(records)), 4),
        "policy": "spoolbarrow",
        "seed": seed,
        "rules_broken": {rule: count for rule, count in broken.items() if count},
        "load": figures,
        "run": {"took_s": round(took, 3)},
    }


def _apply_router_troubles(
    scenario: Scenario, seed: int, fleet: Emulator, routers: RouterProcesses, load: LoadGenerator
) -> None:
    """Kill and start routers as the scenario says; the front detects it with a delay."""
    rng = random_stream(seed, "front")
    steps: list[tuple[float, str, int]] = []
    for planned in planned_troubles(scenario, seed):
        trouble = planned.trouble
        if trouble.name == "router_death":
            for n in planned.victims:
                notice = draw(scenario.front.notice_s, rng)
                steps += [(trouble.begin_s, "kill", n), (trouble.begin_s + notice, "look", n)]
                steps += [(trouble.begin_s + trouble.length_s, "start", n)]
        elif trouble.name == "router_restart":
            for index, n in enumerate(planned.victims):
                when = trouble.begin_s + index * (planned.size + trouble.length_s)
                steps += [(when, "drain", n), (when + ROUTER_UP_DELAY_MS / 1000.0, "look", n)]
                steps += [(when + planned.size, "kill", n), (when + planned.size, "start", n)]
    front = FrontBalancer(routers, load)
    for at_s, action, n in sorted(steps, key=lambda step: step[0]):
        gevent.sleep(max(0.0, at_s - fleet.clock.now() / 1000.0))
        if action == "drain":
            routers.running[n].terminate()
            front.dead.add(n)
        elif action == "kill":
            routers.kill(n)
            front.dead.add(n)
        elif action == "look":
            front.look()
        else:
            routers.start(n)
            gevent.spawn(front.add_when_up, n)


class FrontBalancer:
    """The routers that the layer in front of them considers alive."""

    def __init__(self, routers: RouterProcesses, load: LoadGenerator) -> None:
        self.routers, self.load = routers, load
        self.dead: set[int] = set()

    def look(self) -> None:
        """Detect dead routers and distribute load among the others."""
        self.load.set_live_routers([n for n in range(len(self.routers.ports)) if n not in self.dead])

    def add_when_up(self, number: int) -> None:
        """Check a router that has started until it responds, then use it."""
        while not self.routers.up(number):
            gevent.sleep(ROUTER_UP_DELAY_MS / 1000.0)
        self.dead.discard(number)
        self.look()
