"""A scenario on loopback sockets: emulated engines and discovery, the real program, open-loop load."""

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

START_S = 20.0
SLACK_MS = 50.0  # for what is on its way


def router_config(scenario: Scenario, number: int, port: int, discovery: str, seed: int) -> dict[str, Any]:
    """A router's configuration file."""
    told, lim = scenario.settings(number), scenario.limits
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
        for name, t in zip(scenario.tenants, told.tenants, strict=True)
    ]
    settings = {
        "Balancers": told.nodes,
        "Me": number,
        "MyZone": told.zone,
        "Classes": classes,
        "Tenants": tenants,
        "Zones": [f"z{n}" for n in range(scenario.zones)],
        "Skus": list(scenario.kinds),
        "Discovery": "subscribe",
        "TickMs": told.tick_ms,
        "Limits": {
            "Cancelling": lim.cancel,
            "ConnectTimeoutMs": lim.connect_timeout_ms,
            "MaxAttempts": lim.max_attempts,
            "MaxRetryAfterMs": lim.max_retry_after_ms,
            "Probing": lim.probes,
            "RetryAfter": lim.retry_after,
            "SecondCopies": lim.second_copies,
        },
        "Invariants": {
            "ColdFrom": told.cold_from,
            "ColdMs": told.cold_ms,
            "DrainGraceMs": lim.drain_grace_ms,
        },
        "Fees": {"Waste": lim.waste_fee},
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
    """A port of loopback that nothing listens on just now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class RouterProcesses:
    """The real program, one process for each router."""

    def __init__(self, scenario: Scenario, seed: int, discovery: list[str], directory: Path) -> None:
        self.directory = directory
        self.ports = [free_port() for _ in range(scenario.routers)]
        self.running: list[Any] = [None] * scenario.routers
        for n, port in enumerate(self.ports):
            raw = router_config(scenario, n, port, discovery[n], seed)
            (directory / f"router{n}.json").write_bytes(msgspec.json.encode(raw))
            self.start(n)

    def start(self, number: int) -> None:
        """Start one."""
        environment = {**os.environ, "NODE_CONFIG": str(self.directory / f"router{number}.json")}
        with (self.directory / f"router{number}.log").open("ab") as log:
            self.running[number] = subprocess.Popen(
                [sys.executable, "-m", "spoolbarrow"], env=environment, stderr=log, stdout=log
            )

    def kill(self, number: int) -> None:
        """End one without warning."""
        if self.running[number].poll() is None:
            self.running[number].send_signal(signal.SIGKILL)
        self.running[number].wait()

    def up(self, number: int) -> bool:
        """Whether it says that it serves."""
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
        """Until all serve; OSError where one does not."""
        with gevent.Timeout(START_S, OSError(f"a router did not start; its log is in {self.directory}")):
            for n in range(len(self.ports)):
                while not self.up(n):
                    gevent.sleep(0.05)

    def stop(self) -> list[int]:
        """End all with SIGTERM; their exit statuses."""
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
    """The day on sockets, in real time; the same report as the simulator's. OSError where a party fails.

    The routers' configurations and logs go into `directory`, or are thrown away.
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
                deaths = gevent.spawn(_deaths, scenario, seed, fleet, routers, load)
                if watch is not None:
                    watch(load)
                records, figures = load.wait()
                took = time.perf_counter() - begun
                deaths.kill()
        finally:
            statuses = routers.stop()
    plans = plan(scenario, random_stream(seed, "troubles"))
    told = build_report(scenario, records, plans)
    engines = fleet.figures
    work = sum(one["work"] for one in engines)
    broken = {"a router crashed": sum(status != 0 for status in statuses)}
    if not any(one.trouble.name in ROUTER_TROUBLES for one in plans):
        # Where a router dies, what it had goes unanswered: that is the trouble, and breaks no rule.
        broken["1: no answer by the deadline"] = figures["unanswered"]
    broken["3: sent to what drains or is gone"] = fleet.late_sends(scenario.limits.drain_grace_ms + SLACK_MS)
    broken["4: a cold engine fell over"] = sum(one["falls"] for one in engines)
    told |= work_report(scenario, records, work)
    return told | {
        "preempted": sum(one["preempted"] for one in engines),
        "attempts_a_request": round(sum(one["attempts"] for one in engines) / max(1, len(records)), 4),
        "policy": "spoolbarrow",
        "seed": seed,
        "rules_broken": {rule: count for rule, count in broken.items() if count},
        "load": figures,
        "run": {"took_s": round(took, 3)},
    }


def _deaths(
    scenario: Scenario, seed: int, fleet: Emulator, routers: RouterProcesses, load: LoadGenerator
) -> None:
    """Kill and start routers as the day has it, and let the front notice late."""
    rng = random_stream(seed, "front")
    steps: list[tuple[float, str, int]] = []
    for planned in planned_troubles(scenario, seed):
        t = planned.trouble
        if t.name == "router_death":
            for n in planned.victims:
                notice = draw(scenario.front.notice_s, rng)
                steps += [(t.begin_s, "kill", n), (t.begin_s + notice, "look", n)]
                steps += [(t.begin_s + t.length_s, "start", n)]
        elif t.name == "router_restart":
            for turn, n in enumerate(planned.victims):
                when = t.begin_s + turn * (planned.size + t.length_s)
                steps += [(when, "drain", n), (when + ROUTER_UP_DELAY_MS / 1000.0, "look", n)]
                steps += [(when + planned.size, "kill", n), (when + planned.size, "start", n)]
    front = FrontBalancer(routers, load)
    for at_s, what, n in sorted(steps, key=lambda step: step[0]):
        gevent.sleep(max(0.0, at_s - fleet.clock.now() / 1000.0))
        if what == "drain":
            routers.running[n].terminate()
            front.dead.add(n)
        elif what == "kill":
            routers.kill(n)
            front.dead.add(n)
        elif what == "look":
            front.look()
        else:
            routers.start(n)
            gevent.spawn(front.take_in, n)


class FrontBalancer:
    """Which routers the layer before them believes in."""

    def __init__(self, routers: RouterProcesses, load: LoadGenerator) -> None:
        self.routers, self.load = routers, load
        self.dead: set[int] = set()

    def look(self) -> None:
        """See which are dead, and deal out among the others."""
        self.load.set_live_routers([n for n in range(len(self.routers.ports)) if n not in self.dead])

    def take_in(self, number: int) -> None:
        """Ask one that has started for a sign of life until it gives one."""
        while not self.routers.up(number):
            gevent.sleep(ROUTER_UP_DELAY_MS / 1000.0)
        self.dead.discard(number)
        self.look()
