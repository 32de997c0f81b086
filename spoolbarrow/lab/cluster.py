"""Runs a cluster on loopback: stand-in engines, list service, fault proxy, routers and store members.

The fault proxy has a listener (a gate) for each pair of router and engine and for each router's list service,
so that any router can be cut off from any of them. With `gates=False` there is no proxy and the list service
itself cuts routers off, so that hundreds of routers fit on one machine. Stand-ins identify a calling router
by the loopback address that it connected to. With `at_once` all routers start at the same time: their
processes wait for their configuration with everything imported. Stand-ins end after STANDIN_LIFETIME_S, or
with the process that started them; `Cluster` ends all processes that it started, by id.
"""

from __future__ import annotations

import json
import os
import signal
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from spoolbarrow.lab.cluster_clients import TRUNCATED as TRUNCATED
from spoolbarrow.lab.cluster_clients import Answer as Answer
from spoolbarrow.lab.cluster_clients import Load as Load
from spoolbarrow.lab.cluster_clients import send_request as send_request
from spoolbarrow.lab.cold_engine import ColdEngineParameters
from spoolbarrow.lab.line_commands import CommandFailed
from spoolbarrow.lab.loopback import router_address
from spoolbarrow.lab.process import LISTEN as LISTEN
from spoolbarrow.lab.process import Process as Process
from spoolbarrow.lab.process import free_ports as free_ports
from spoolbarrow.lab.store_members import StoreMembers

HOST = "127.0.0.1"
STANDIN_LIFETIME_S = 150.0  # of stand-in processes
POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 60.0  # hundreds of processes may start at once on a busy machine
INITIAL_LISTS = ("none", "empty", "old")  # lists that routers may start with


def _has_engine(router: Process) -> bool:
    """Whether a router has logged a list with an engine in service."""
    return any(event["serving"] for event in router.events("destinations"))


class Cluster:
    """Running processes: routers `0..`, each in a zone, and engines `0..`, listed by zone in `of_zone`.

    `operator`: the text of each router's operator file (no file if empty), or a function that returns it.
    `known`: the list that routers start with: none, an empty one, or one of all engines, both of a version
    older than the service's. `figures`: engines have a capacity and crash when overloaded in slow start.
    `rate` (calls per second; 0: unlimited), `line_ms`, `timeout_s`: of the list service. `limits`: the
    machine limits in the routers' configuration. `engines`: the module of the stand-in engines. `tree`: the
    directory of the routers' program, if not this one.
    """

    def __init__(
        self,
        folder: Path,
        zones: Mapping[str, int],
        routers: Sequence[str],
        operator: str | Callable[[Cluster, int], str],
        *,
        gates: bool = True,
        control: bool = True,
        at_once: bool = False,
        members: bool = False,
        known: str = "none",
        figures: ColdEngineParameters | None = None,
        rate: float = 0.0,
        line_ms: float = 0.0,
        timeout_s: float = 3.0,
        settings: Mapping[str, Any] | None = None,
        limits: Mapping[str, Any] | None = None,
        engines: str = "standin",
        tree: Path | None = None,
    ) -> None:
        if known not in INITIAL_LISTS:
            raise CommandFailed("known", f"one of {', '.join(INITIAL_LISTS)}")
        self.folder, self.zones, self.zone_of, self._operator = folder, list(zones), list(routers), operator
        self._has_gates, self._control, self._at_once, self._with_members = gates, control, at_once, members
        self._known, self._figures, self._settings = known, figures, dict(settings or {})
        self._limits, self._engine_module, self._tree = dict(limits or {}), engines, tree
        self.rate, self._service_arguments = rate, (rate, line_ms, timeout_s)
        self.engine_names = [f"e{n}" for n in range(sum(zones.values()))]
        self.of_zone: dict[str, list[int]] = {}
        for zone, count in zones.items():
            first = sum(len(found) for found in self.of_zone.values())
            self.of_zone[zone] = list(range(first, first + count))
        self.unlisted: set[int] = set()  # engines that the service does not list
        self.draining: set[int] = set()  # listed engines that drain
        self.since = [0.0] * len(self.engine_names)  # start times of engines, Unix ms; 0: long ago
        self.killed_routers: set[int] = set()  # routers that have been killed at any time
        self.processes: list[Process] = []
        self.routers: list[Process] = []
        self.members: StoreMembers | None = None
        self.list_version = 0  # version of the service's list
        self.begun_unix_s = self.begun_monotonic_s = 0.0  # when the routers were started

    def start(self, wait: bool = True) -> None:
        """Start everything; with `wait` return once each router has a list, else once they are started."""
        self.prepare()
        self.begin()
        if wait:
            self.wait_listed(range(len(self.ports)))

    def prepare(self) -> None:
        """Start everything except the routers."""
        count = len(self.zone_of)
        figures = [] if self._figures is None else [msgspec.json.encode(self._figures).decode()]
        life = str(STANDIN_LIFETIME_S)
        self.engines = self._start(
            "-m",
            f"spoolbarrow.lab.{self._engine_module}",
            life,
            str(len(self.engine_names)),
            *figures,
            stdin=True,
        )
        self.service = self._start(
            "-m", "spoolbarrow.lab.list_service", life, *map(str, self._service_arguments), stdin=True
        )
        self._engine_ports = self.engines.first_output_line().split()
        list_service_port = self.service.first_output_line()
        # Chosen after the stand-ins have their ports, so that they cannot take these.
        ports = free_ports(2 * count)
        self.ports, self.controls = ports[::2], ports[1::2]
        if self._has_gates:
            gates = [f"{router_address(n)}:{port}" for n in range(count) for port in self._engine_ports]
            gates += [f"{router_address(n)}:{list_service_port}" for n in range(count)]
            self.proxy = self._start(
                "-m", "spoolbarrow.lab.fault_proxy", str(STANDIN_LIFETIME_S), *gates, stdin=True
            )
            self.proxy_ports = self.proxy.first_output_line().split()
            self._discovery = [
                f"{HOST}:{port}" for port in self.proxy_ports[count * len(self.engine_names) :]
            ]
        else:
            self._discovery = [f"{router_address(n)}:{list_service_port}" for n in range(count)]
        if self._with_members:
            self.members = StoreMembers(self.folder, count, STANDIN_LIFETIME_S, self._start)
        if self._known != "none":
            self._publish([] if self._known == "empty" else range(len(self.engine_names)))
        self.publish_list()

    def begin(self, before: Callable[[], object] = lambda: None) -> None:
        """Start the routers, at the same time with `at_once`; `before` is called just before that."""
        numbers = range(len(self.ports))
        for number in numbers:
            text = self._operator if isinstance(self._operator, str) else self._operator(self, number)
            if text:
                (self.folder / f"operator{number}.toml").write_text(text)

        def ready() -> None:
            before()
            self.mark_begin()

        if not self._at_once:
            ready()
        self.routers = [self.start_router(number, self._at_once) for number in numbers]
        if self._at_once:
            self.release(numbers, before=ready)

    def wait_listed(self, numbers: Iterable[int], seconds: float = START_TIMEOUT_S) -> None:
        """Wait until each of these routers has an engine in service."""
        for number in numbers:
            router = self.routers[number]
            router.wait_for(partial(_has_engine, router), seconds)

    def _start(
        self, *argv: str, stdin: bool = False, env: dict[str, str] | None = None, cwd: Path | None = None
    ) -> Process:
        process = Process(*argv, stdin=stdin, env=env, cwd=cwd)
        self.processes.append(process)
        return process

    def config(self, number: int) -> dict[str, Any]:
        """A router's configuration; probing is on, to get reports of engines that receive few requests."""
        chat = {"Name": "chat", "AimMs": 2000.0, "DeadlineMs": 5000.0, "Effect": "retryable", "Stream": True}
        settings = {
            "Balancers": len(self.ports),
            "Me": number,
            "Classes": [chat],
            "Tenants": [{"Name": "acme"}],
            "Zones": self.zones,
            "MyZone": self.zones.index(self.zone_of[number]),
            "Skus": ["m"],
            "TickMs": 2.0,
            "Discovery": "subscribe",
            "Fees": {"CrossZone": 0.03},
            "Stats": {"Fields": ["x1", "load_share", "x0"], "Via": "on_probe"},
            "Limits": {
                "MaxAttempts": 3,
                "RetryAfter": True,
                "Cancelling": True,
                "MaxRetryAfterMs": 2000.0,
                "Probing": True,
                "ConnectTimeoutMs": 300.0,
            },
        }
        if (cold := self._figures) is not None:
            settings["Invariants"] = {
                "ColdFrom": cold.cold_from,
                "ColdMs": cold.cold_ms,
                "OverloadFactor": cold.overload_factor,
                "TipAfterMs": cold.tip_after_ms,
            }
        config = {
            "name": f"r{number}",
            "listen": f"{LISTEN}:{self.ports[number]}",
            "seed": f"8c1f{number}",
            "discovery": self._discovery[number],
            "settings": settings | self._settings,
        }
        if self._limits:
            config["limits"] = self._limits
        if self._control:
            config["control"] = f"{LISTEN}:{self.controls[number]}"
        if self._known != "none":
            engines = range(len(self.engine_names)) if self._known == "old" else []
            config["known"] = {
                "index": 1,
                "snapshot": True,
                "endpoints": [
                    {**line, "address": self._address(number, n), "since_ms": 0.0}
                    for n, line in zip(engines, self._lines(engines), strict=True)
                ],
            }
        return config

    def _address(self, router: int, engine: int) -> str:
        if self._has_gates:
            return f"{HOST}:{self.proxy_ports[router * len(self.engine_names) + engine]}"
        return f"{router_address(router)}:{self._engine_ports[engine]}"

    def start_router(self, number: int, held: bool = False) -> Process:
        """Start a router process; `held`: it waits for `release` before it reads its configuration."""
        file = self.folder / f"r{number}.json"
        if held:
            file.unlink(missing_ok=True)
            os.mkfifo(file)
        else:
            file.write_text(json.dumps(self.config(number)))
        env = {"NODE_CONFIG": str(file)}
        operator = self.folder / f"operator{number}.toml"
        if operator.exists():
            env["SPOOLBARROW_OPERATOR"] = str(operator)
        temporary = self.folder / f"tmp{number}"
        temporary.mkdir(exist_ok=True)
        return self._start("-m", "spoolbarrow", env={**env, "TMPDIR": str(temporary)}, cwd=self._tree)

    def release(
        self,
        numbers: Iterable[int],
        seconds: float = START_TIMEOUT_S,
        before: Callable[[], object] = lambda: None,
    ) -> None:
        """Let held routers start, all at the same time; AssertionError if one does not come up.

        `before` is called once all of them are up.
        """
        end, opened = time.monotonic() + seconds, []
        for number in numbers:
            file = self.folder / f"r{number}.json"
            while True:
                try:
                    opened.append((file, number, os.open(file, os.O_WRONLY | os.O_NONBLOCK)))
                    break
                except OSError:  # the router does not read it yet
                    assert time.monotonic() < end, f"router {number} did not come up"
                    time.sleep(POLL_INTERVAL_S)
        texts = [json.dumps(self.config(number)).encode() for _, number, _ in opened]
        before()
        for (file, _, pipe), text in zip(opened, texts, strict=True):
            os.set_blocking(pipe, True)
            os.write(pipe, text)
            os.close(pipe)
            fresh = file.with_suffix(".new")  # read again on SIGHUP
            fresh.write_bytes(text)
            fresh.replace(file)

    def kill_router(self, number: int) -> None:
        """Kill a router's process; tests do not judge what its clients get afterwards."""
        self.killed_routers.add(number)
        self.routers[number].kill()

    def restart_routers(self, numbers: Iterable[int]) -> None:
        """Kill routers and start them again, all at the same time."""
        chosen = list(numbers)
        for number in chosen:
            self.kill_router(number)
        for number in chosen:
            self.routers[number] = self.start_router(number, held=True)
        self.release(chosen)

    def configure(self, settings: Mapping[str, Any]) -> None:
        """Write changed settings to all routers' files, which are read on SIGHUP."""
        self._settings |= settings
        for number in range(len(self.ports)):
            file = self.folder / f"r{number}.json"
            fresh = file.with_suffix(".new")
            fresh.write_text(json.dumps(self.config(number)))
            fresh.replace(file)

    def send_sighup(self, numbers: Iterable[int]) -> None:
        """Send SIGHUP to routers, which makes them reload their files."""
        for number in numbers:
            self.routers[number].popen.send_signal(signal.SIGHUP)

    def publish_list(self) -> None:
        """Publish a new version of the service's list: all engines except those in `unlisted`."""
        self._publish([n for n in range(len(self.engine_names)) if n not in self.unlisted])

    def _lines(self, engines: Iterable[int]) -> list[dict[str, Any]]:
        zone = {n: name for name, found in self.of_zone.items() for n in found}
        return [
            {
                "name": self.engine_names[n],
                "zone": zone[n],
                "type": "m",
                "since_ms": self.since[n],
                **({"status": "terminating"} if n in self.draining else {}),
            }
            for n in engines
        ]

    def _publish(self, engines: Iterable[int]) -> None:
        self.list_version += 1
        chosen = list(engines)
        lines = [
            {**line, "addresses": [self._address(router, n) for router in range(len(self.ports))]}
            if self._has_gates
            else {**line, "address": f"@:{self._engine_ports[n]}"}
            for n, line in zip(chosen, self._lines(chosen), strict=True)
        ]
        file = self.folder / "list.json"
        file.write_text(json.dumps({"index": self.list_version, "endpoints": lines}))
        self.service.send_command(f"list {file}")

    def restart_engines(self, engines: Iterable[int]) -> None:
        """Restart engines, with empty state and in slow start if they have one, and publish that."""
        chosen = list(engines)
        since = float(self.engines.send_command(f"{','.join(map(str, chosen))} restart"))
        for n in chosen:
            self.since[n] = since
        self.publish_list()

    def gates(self, engines: Iterable[int], routers: Iterable[int] | None = None) -> list[int]:
        """The proxy listeners between these routers (by default all) and these engines."""
        numbers = range(len(self.ports)) if routers is None else routers
        chosen = list(engines)
        return [number * len(self.engine_names) + n for number in numbers for n in chosen]

    def fault(self, mode: str, gates: Iterable[int]) -> None:
        """Set the proxy's mode at these listeners: `reset`, `delay 250`, `pass` ..."""
        self.proxy.send_command(f"{','.join(map(str, gates))} {mode}")

    def counts(self) -> list[dict[str, Any]]:
        """Counts by engine: `asked` by router (`r0` ...), `probes`, ... (`StandinEngine.report_counts`)."""
        counts: list[dict[str, Any]] = self.engines.send_query("counts")
        return counts

    def list_service_counts(self) -> dict[str, Any]:
        """The counts of the list service."""
        counts: dict[str, Any] = self.service.send_query("counts")
        return counts

    def mark_begin(self) -> None:
        """Record that routers start, or are counted, from now on."""
        self.begun_unix_s, self.begun_monotonic_s = time.time(), time.monotonic()
        self.reset_counters()

    def reset_counters(self) -> None:
        """Reset the counts of the stand-ins."""
        self.engines.send_command("mark")
        self.service.send_command("mark")

    def up_to_date_routers(self) -> list[int]:
        """Routers whose open watch has sent them the latest list."""
        known = self.list_service_counts()["known"]
        return [n for n in range(len(self.ports)) if known.get(f"r{n}") == self.list_version]

    def control(self, number: int, path: str, method: str = "GET") -> Any:
        """Call a router's control listener; the response's JSON."""
        status, raw = send_request(self.controls[number], f"{method} /v1/{path} HTTP/1.1\r\n\r\n".encode())
        if status != 200:
            raise OSError(f"{path}: {status}")
        return json.loads(raw.partition(b"\r\n\r\n")[2])

    def states(self, number: int, place: str) -> list[str]:
        """The states that a router has assigned to a zone or region, oldest first."""
        return [
            event["state"] for event in self.routers[number].events("failover") if event["place"] == place
        ]

    def wait_state(self, numbers: Iterable[int], place: str, state: str, since: int = 0) -> None:
        """Wait until these routers have assigned this state to a place, after the first `since` ones."""
        for n in numbers:
            self.routers[n].wait_for(lambda n=n: state in self.states(n, place)[since:])  # type: ignore[misc]

    def end(self, kill: bool = False) -> None:
        """End all processes; `kill`: without the routers' grace period."""
        if self.members is not None:
            self.members.end()
        for process in self.processes:
            if process.popen.poll() is None:
                process.popen.kill() if kill else process.popen.terminate()  # all at the same time
        for process in self.processes:
            process.end()


@contextmanager
def cluster(
    folder: Path,
    zones: Mapping[str, int],
    routers: Sequence[str],
    operator: str | Callable[[Cluster, int], str] = "",
    **options: Any,
) -> Iterator[Cluster]:
    """Run engines by zone and a router for each zone named, ready to serve; `options` as for `Cluster`."""
    running = Cluster(folder, zones, routers, operator, **options)
    try:
        running.start()
        yield running
    finally:
        running.end()
