"""Several processes of the program on loopback: stand-in engines, list service, fault proxy, routers, store.

Between each router and each engine, and before each router's list service, stands a gate of the fault proxy
of its own, so that any router can be cut off from any of them. With `gates=False` there are none, and the
service itself cuts routers off: so hundreds of routers fit on one machine. Who calls a stand-in is known by
the loopback address that it was called at. With `at_once` all routers begin in the same instant: their
processes wait, with everything imported, for their configuration. Stand-ins end by themselves after LIFE_S,
or with whoever started them; `Cluster` ends all processes that it started, by id.
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
STANDIN_LIFETIME_S = 150.0  # of every stand-in that a cluster starts
POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 60.0  # for processes to come up: hundreds at once on a busy machine
INITIAL_LISTS = ("none", "empty", "old")  # lists that routers may begin with


def _has_engine(router: Process) -> bool:
    """Whether a router has logged a list with an engine in service."""
    return any(event["serving"] for event in router.events("destinations"))


class Cluster:
    """What is running: routers `0..`, each in a zone, and engines `0..`, by zone in `of_zone`.

    `operator`: the text of each router's operator file (none where it is empty), or what makes it.
    `known`: the list that routers begin with: none, an empty one, or that of all engines, both of a version
    before the one that the service tells. `figures`: engines have a capacity, and fall when they are cold.
    `rate` (calls a second; 0: any number), `line_ms`, `timeout_s`: the list service's. `limits`: what
    routers are told that their machine allows. `engines`: the module that stands in for these. `tree`: where
    the routers' program lies, if it is another than this one.
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
        self._gated, self._control, self._at_once, self._with_members = gates, control, at_once, members
        self._known, self._figures, self._settings = known, figures, dict(settings or {})
        self._limits, self._standin, self._tree = dict(limits or {}), engines, tree
        self.rate, self._service = rate, (rate, line_ms, timeout_s)
        self.engine_names = [f"e{n}" for n in range(sum(zones.values()))]
        self.of_zone: dict[str, list[int]] = {}
        for zone, count in zones.items():
            first = sum(len(found) for found in self.of_zone.values())
            self.of_zone[zone] = list(range(first, first + count))
        self.unlisted: set[int] = set()  # engines that the service does not list
        self.draining: set[int] = set()  # of those listed, engines that want nothing new
        self.since = [0.0] * len(self.engine_names)  # when engines were started, Unix ms; 0: long ago
        self.killed_routers: set[int] = set()  # routers that were killed at some time
        self.processes: list[Process] = []
        self.routers: list[Process] = []
        self.members: StoreMembers | None = None
        self.list_version = 0  # version of the service's list
        self.begun_unix_s = self.begun_monotonic_s = 0.0  # when the routers were begun: Unix s, monotonic s

    def start(self, wait: bool = True) -> None:
        """Start everything; returns when every router has a list, or without `wait` when they have begun."""
        self.prepare()
        self.begin()
        if wait:
            self.wait_listed(range(len(self.ports)))

    def prepare(self) -> None:
        """Start all but the routers."""
        count = len(self.zone_of)
        figures = [] if self._figures is None else [msgspec.json.encode(self._figures).decode()]
        life = str(STANDIN_LIFETIME_S)
        self.engines = self._start(
            "-m", f"spoolbarrow.lab.{self._standin}", life, str(len(self.engine_names)), *figures, stdin=True
        )
        self.service = self._start(
            "-m", "spoolbarrow.lab.list_service", life, *map(str, self._service), stdin=True
        )
        self._engine_ports = self.engines.first_output_line().split()
        told = self.service.first_output_line()
        # After those of the stand-ins: these can then be nobody else's.
        free = free_ports(2 * count)
        self.ports, self.controls = free[::2], free[1::2]
        if self._gated:
            gates = [f"{router_address(n)}:{port}" for n in range(count) for port in self._engine_ports]
            gates += [f"{router_address(n)}:{told}" for n in range(count)]
            self.proxy = self._start(
                "-m", "spoolbarrow.lab.fault_proxy", str(STANDIN_LIFETIME_S), *gates, stdin=True
            )
            self.proxy_ports = self.proxy.first_output_line().split()
            self._discovery = [
                f"{HOST}:{port}" for port in self.proxy_ports[count * len(self.engine_names) :]
            ]
        else:
            self._discovery = [f"{router_address(n)}:{told}" for n in range(count)]
        if self._with_members:
            self.members = StoreMembers(self.folder, count, STANDIN_LIFETIME_S, self._start)
        if self._known != "none":
            self._tell([] if self._known == "empty" else range(len(self.engine_names)))
        self.publish_list()

    def begin(self, before: Callable[[], object] = lambda: None) -> None:
        """Start the routers, at once where that is wanted; `before` is called just before they begin."""
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
        """Until each of these routers has an engine in service."""
        for number in numbers:
            router = self.routers[number]
            router.wait_for(partial(_has_engine, router), seconds)

    def _start(
        self, *argv: str, stdin: bool = False, env: dict[str, str] | None = None, cwd: Path | None = None
    ) -> Process:
        made = Process(*argv, stdin=stdin, env=env, cwd=cwd)
        self.processes.append(made)
        return made

    def config(self, number: int) -> dict[str, Any]:
        """A router's configuration; probes on, so that it hears of engines it sends little to."""
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
        made = {
            "name": f"r{number}",
            "listen": f"{LISTEN}:{self.ports[number]}",
            "seed": f"8c1f{number}",
            "discovery": self._discovery[number],
            "settings": settings | self._settings,
        }
        if self._limits:
            made["limits"] = self._limits
        if self._control:
            made["control"] = f"{LISTEN}:{self.controls[number]}"
        if self._known != "none":
            engines = range(len(self.engine_names)) if self._known == "old" else []
            made["known"] = {
                "index": 1,
                "snapshot": True,
                "endpoints": [
                    {**line, "address": self._address(number, n), "since_ms": 0.0}
                    for n, line in zip(engines, self._lines(engines), strict=True)
                ],
            }
        return made

    def _address(self, router: int, engine: int) -> str:
        if self._gated:
            return f"{HOST}:{self.proxy_ports[router * len(self.engine_names) + engine]}"
        return f"{router_address(router)}:{self._engine_ports[engine]}"

    def start_router(self, number: int, held: bool = False) -> Process:
        """One process of a router; `held`: it waits for `release` before it reads its configuration."""
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
        scratch = self.folder / f"tmp{number}"
        scratch.mkdir(exist_ok=True)
        return self._start("-m", "spoolbarrow", env={**env, "TMPDIR": str(scratch)}, cwd=self._tree)

    def release(
        self,
        numbers: Iterable[int],
        seconds: float = START_TIMEOUT_S,
        before: Callable[[], object] = lambda: None,
    ) -> None:
        """Let routers that were held begin, all in one instant; AssertionError where one never comes up.

        `before` is called when they are all up.
        """
        end, opened = time.monotonic() + seconds, []
        for number in numbers:
            file = self.folder / f"r{number}.json"
            while True:
                try:
                    opened.append((file, number, os.open(file, os.O_WRONLY | os.O_NONBLOCK)))
                    break
                except OSError:  # it is not there yet to read
                    assert time.monotonic() < end, f"router {number} never came up"
                    time.sleep(POLL_INTERVAL_S)
        texts = [json.dumps(self.config(number)).encode() for _, number, _ in opened]
        before()
        for (file, _, pipe), text in zip(opened, texts, strict=True):
            os.set_blocking(pipe, True)
            os.write(pipe, text)
            os.close(pipe)
            fresh = file.with_suffix(".new")  # it is read again at SIGHUP
            fresh.write_bytes(text)
            fresh.replace(file)

    def kill_router(self, number: int) -> None:
        """End a router's process without warning: what its clients get meanwhile is no test of it."""
        self.killed_routers.add(number)
        self.routers[number].kill()

    def restart_routers(self, numbers: Iterable[int]) -> None:
        """Kill routers without warning and begin them anew, all in one instant."""
        chosen = list(numbers)
        for number in chosen:
            self.kill_router(number)
        for number in chosen:
            self.routers[number] = self.start_router(number, held=True)
        self.release(chosen)

    def configure(self, settings: Mapping[str, Any]) -> None:
        """Write other settings into all routers' files; they read them at SIGHUP."""
        self._settings |= settings
        for number in range(len(self.ports)):
            file = self.folder / f"r{number}.json"
            fresh = file.with_suffix(".new")
            fresh.write_text(json.dumps(self.config(number)))
            fresh.replace(file)

    def send_sighup(self, numbers: Iterable[int]) -> None:
        """SIGHUP to routers: they read their files again."""
        for number in numbers:
            self.routers[number].popen.send_signal(signal.SIGHUP)

    def publish_list(self) -> None:
        """The service lists all engines but those in `out`, in a new version."""
        self._tell([n for n in range(len(self.engine_names)) if n not in self.unlisted])

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

    def _tell(self, engines: Iterable[int]) -> None:
        self.list_version += 1
        chosen = list(engines)
        lines = [
            {**line, "addresses": [self._address(router, n) for router in range(len(self.ports))]}
            if self._gated
            else {**line, "address": f"@:{self._engine_ports[n]}"}
            for n, line in zip(chosen, self._lines(chosen), strict=True)
        ]
        file = self.folder / "list.json"
        file.write_text(json.dumps({"index": self.list_version, "endpoints": lines}))
        self.service.send_command(f"list {file}")

    def restart_engines(self, engines: Iterable[int]) -> None:
        """These engines are new processes, with nothing kept and cold where they can be; and listed so."""
        chosen = list(engines)
        since = float(self.engines.send_command(f"{','.join(map(str, chosen))} restart"))
        for n in chosen:
            self.since[n] = since
        self.publish_list()

    def gates(self, engines: Iterable[int], routers: Iterable[int] | None = None) -> list[int]:
        """The gates between these routers (all, where none are named) and these engines."""
        numbers = range(len(self.ports)) if routers is None else routers
        chosen = list(engines)
        return [number * len(self.engine_names) + n for number in numbers for n in chosen]

    def fault(self, mode: str, gates: Iterable[int]) -> None:
        """Have the proxy do so at these gates from now on: `reset`, `delay 250`, `pass` ..."""
        self.proxy.send_command(f"{','.join(map(str, gates))} {mode}")

    def counts(self) -> list[dict[str, Any]]:
        """What each engine has been sent: `asked` by router (`r0` ...), `probes`, more (`StandinEngine.report_counts`)."""
        told: list[dict[str, Any]] = self.engines.send_query("counts")
        return told

    def list_service_counts(self) -> dict[str, Any]:
        """What the list service counted."""
        told: dict[str, Any] = self.service.send_query("counts")
        return told

    def mark_begin(self) -> None:
        """Routers begin now, or what they do is counted from now on."""
        self.begun_unix_s, self.begun_monotonic_s = time.time(), time.monotonic()
        self.reset_counters()

    def reset_counters(self) -> None:
        """Stand-ins count seconds from now on."""
        self.engines.send_command("mark")
        self.service.send_command("mark")

    def up_to_date_routers(self) -> list[int]:
        """Routers whose watch is open and has told them the newest list."""
        told = self.list_service_counts()["known"]
        return [n for n in range(len(self.ports)) if told.get(f"r{n}") == self.list_version]

    def control(self, number: int, path: str, method: str = "GET") -> Any:
        """A call to a router's control listener: the answer's JSON."""
        status, raw = send_request(self.controls[number], f"{method} /v1/{path} HTTP/1.1\r\n\r\n".encode())
        if status != 200:
            raise OSError(f"{path}: {status}")
        return json.loads(raw.partition(b"\r\n\r\n")[2])

    def states(self, number: int, place: str) -> list[str]:
        """The verdicts that a router has reached on a zone or region, oldest first."""
        return [told["state"] for told in self.routers[number].events("failover") if told["place"] == place]

    def wait_state(self, numbers: Iterable[int], place: str, state: str, since: int = 0) -> None:
        """Until each of these routers has reached a state of a place, after the first `since` verdicts."""
        for n in numbers:
            self.routers[n].wait_for(lambda n=n: state in self.states(n, place)[since:])  # type: ignore[misc]

    def end(self, kill: bool = False) -> None:
        """End all processes; `kill`: without the grace that routers take."""
        if self.members is not None:
            self.members.end()
        for process in self.processes:
            if process.popen.poll() is None:
                process.popen.kill() if kill else process.popen.terminate()  # all at once
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
    """Engines by zone, and a router for each zone named, all of which serve; `options` as of `Cluster`."""
    made = Cluster(folder, zones, routers, operator, **options)
    try:
        made.start()
        yield made
    finally:
        made.end()
