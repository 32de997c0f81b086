"""Emulates a fleet on loopback sockets: engines in worker processes, discovery in this process.

Each router has a discovery address and engine addresses of its own, so that it alone can be partitioned.
A worker prints one JSON line when it listens, reads one when the scenario begins, and prints one for each
change of an engine's state. It ends with its parent, when its input ends.
"""

from __future__ import annotations

import sys
import time
from types import TracebackType
from typing import Any

import gevent
import msgspec
from gevent import subprocess
from gevent.fileobject import FileObjectPosix
from gevent.queue import Empty, Queue

from spoolbarrow import interface as i
from spoolbarrow.lab.fleet import GLOBAL_TROUBLES, ROUTER_TROUBLES, PlannedTrouble, fleet, plan, random_stream
from spoolbarrow.lab.scenario import Scenario
from spoolbarrow.lab.simulated_discovery import Notification, SimulatedDiscovery
from spoolbarrow.lab.wire_engine import HOST, PLAIN_RESPONSE, Clock, WireEngine, chunk, listen
from spoolbarrow.net.http1 import RequestParser
from spoolbarrow.wire import STATES

STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
STATE_NAMES = {state: word for word, state in STATES.items()}
IDLE_LINE_INTERVAL_S = 2.0
READY_TIMEOUT_S = 30.0


class Job(msgspec.Struct):
    """The job of a worker process."""

    scenario: Scenario
    seed: int
    worker: int
    workers: int
    first_port: int = 0  # of the first engine's listeners; 0: any free ports


def planned_troubles(scenario: Scenario, seed: int) -> list[PlannedTrouble]:
    """The scenario's faults, with times counted from the beginning of the lead."""
    return [
        msgspec.structs.replace(
            one, trouble=msgspec.structs.replace(one.trouble, begin_s=one.trouble.begin_s + scenario.lead_s)
        )
        for one in plan(scenario, random_stream(seed, "troubles"))
    ]


def worker() -> None:
    """Serve this process's share of the engines until the input ends."""
    lines = FileObjectPosix(sys.stdin.fileno(), "rb", close=False)
    job = msgspec.json.decode(lines.readline(), type=Job)
    clock = Clock()

    def report(change: dict[str, Any]) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(change) + b"\n")
        sys.stdout.buffer.flush()

    specs = fleet(job.scenario, random_stream(job.seed, "fleet"))
    routers, port = job.scenario.routers, job.first_port
    engines = {
        n: WireEngine(
            spec, routers, clock, random_stream(job.seed, f"engine {n}"), report, port and port + n * routers
        )
        for n, spec in enumerate(specs)
        if n % job.workers == job.worker
    }
    report({"ready": {n: engine.ports for n, engine in engines.items()}})
    begun = lines.readline()
    if begun:
        clock.begun = float(begun)
        for planned in planned_troubles(job.scenario, job.seed):
            if planned.trouble.name not in (*GLOBAL_TROUBLES, *ROUTER_TROUBLES):
                for n in planned.victims:
                    if n in engines:
                        engines[n].plan(planned)
        lines.read()  # returns when the parent ends
    report({"figures": [engine.figures() for engine in engines.values()]})
    for engine in engines.values():
        engine.close()


class EmulatedDiscovery:
    """Discovery's listeners, one for each router."""

    def __init__(
        self, scenario: Scenario, clock: Clock, ports: dict[int, list[int]], seed: int, first_port: int = 0
    ) -> None:
        self.scenario, self.clock = scenario, clock
        specs = fleet(scenario, random_stream(seed, "fleet"))
        self.kinds = list(scenario.kinds)
        self.ports = {spec.id: ports[n] for n, spec in enumerate(specs)}
        self.specs = {spec.id: spec for spec in specs}
        entries = [i.ReplicaEntry(s.id, s.zone, s.kind, s.cell) for s in specs]
        self.directory = SimulatedDiscovery(scenario.discovery, entries, random_stream(seed, "discovery"))
        self.index = 1
        self.unix_ms = 0.0  # of the scenario's beginning
        self.withdrawn: dict[tuple[str, int], float] = {}  # time each router knew that an engine drains
        self.watchers: dict[int, list[Queue[bytes | None]]] = {n: [] for n in range(scenario.routers)}
        self.listeners = [listen(first_port and first_port + n) for n in range(scenario.routers)]
        self.addresses = [f"{HOST}:{one.getsockname()[1]}" for one in self.listeners]
        self.tasks = [gevent.spawn(self._accept, one, n) for n, one in enumerate(self.listeners)]

    def close(self) -> None:
        """Stop the listeners."""
        gevent.killall(self.tasks)
        for one in self.listeners:
            one.close()

    def begin(self, troubles: list[PlannedTrouble]) -> None:
        """Schedule the faults of discovery."""
        self.unix_ms = time.time() * 1000.0 - self.clock.now()
        for planned in troubles:
            t = planned.trouble
            begin, end = t.begin_s * 1000.0, (t.begin_s + t.length_s) * 1000.0
            if t.name == "discovery_down":
                self.clock.later(begin, self._down, end)
            elif t.name == "discovery_stale":
                self.clock.later(begin, setattr, self.directory, "behind_ms", planned.size * 1000.0)
                self.clock.later(end, setattr, self.directory, "behind_ms", 0.0)

    def changed(self, change: dict[str, Any]) -> None:
        """Publish an engine's change that a worker reported."""
        name = change["id"]
        spec = self.specs.get(name) or self.specs[name.rstrip("r")]
        self.specs[name], self.ports[name] = spec, change["ports"]
        state = STATES[change["status"]]
        started = self.unix_ms + change["started_at"] if state is i.ReplicaState.SERVING else 0.0
        entry = i.ReplicaEntry(name, spec.zone, spec.kind, spec.cell, state, 1.0, started)
        at = self.directory.record_change(self.clock.now(), entry, change["silent"])
        self.clock.later(at, self._notice)

    def lines(self, entries: tuple[i.ReplicaEntry, ...], whole: bool, caller: int) -> bytes:
        """A list as discovery sends it, on one line."""
        entries_json = [
            {
                "name": e.replica,
                "address": f"{HOST}:{self.ports[e.replica][caller]}",
                "zone": f"z{e.zone}",
                "type": self.kinds[e.kind],
                "group": e.cell,
                "status": STATE_NAMES[e.state],
                "weight": e.weight,
                "since_ms": round(e.started_at_ms),
            }
            for e in entries
        ]
        return (
            msgspec.json.encode({"index": self.index, "snapshot": whole, "endpoints": entries_json}) + b"\n"
        )

    def _notice(self) -> None:
        due = self.directory.deliver_due(self.clock.now())
        self.index += 1
        for one in due:
            self.clock.later(one.at, self._push, one)

    def _push(self, change: Notification) -> None:
        line = self.lines(change.entries, False, change.caller)
        for entry in change.entries:
            if entry.state is i.ReplicaState.SERVING:
                self.withdrawn.pop((entry.replica, change.caller), None)
            else:
                self.withdrawn.setdefault((entry.replica, change.caller), self.clock.now())
        for queue in self.watchers[change.caller]:
            queue.put(line)

    def _down(self, until: float) -> None:
        self.directory.fail_until(self.clock.now(), until)
        for queues in self.watchers.values():
            for queue in queues:
                queue.put(None)

    def _accept(self, listener: Any, caller: int) -> None:
        while True:
            gevent.spawn(self._serve_connection, listener.accept()[0], caller)

    def _serve_connection(self, sock: Any, caller: int) -> None:
        parser = RequestParser(16_384, 1024)
        try:
            while data := sock.recv(65_536):
                parser.feed(memoryview(data))
                if parser.error is not None:
                    return
                while parser.complete:
                    self._respond(sock, caller, parser.complete.popleft().target)
        except OSError:
            pass
        finally:
            sock.close()

    def _respond(self, sock: Any, caller: int, target: bytes) -> None:
        call = self.directory.request_list(self.clock.now(), caller)
        gevent.sleep(max(0.0, (call.at - self.clock.now()) / 1000.0))
        if call.kind is i.ListKind.FAILED:
            sock.sendall(PLAIN_RESPONSE % (b"503 Service Unavailable", b"", 0, b""))
            return
        whole = self.lines(self.directory.full_list(), True, caller)
        if b"stream=1" not in target:
            sock.sendall(PLAIN_RESPONSE % (b"200 OK", b"", len(whole), whole))
            return
        queue: Queue[bytes | None] = Queue()
        self.watchers[caller].append(queue)
        try:
            same = b"index=%d" % self.index in target.partition(b"?")[2].split(b"&")
            sock.sendall(STREAM + chunk(b"\n" if same else whole))
            while True:
                try:
                    line = queue.get(timeout=IDLE_LINE_INTERVAL_S)
                except Empty:
                    line = b"\n"
                if line is None:
                    raise OSError("discovery is down")
                sock.sendall(chunk(line))
        finally:
            self.watchers[caller].remove(queue)


class Emulator:
    """A running fleet, as a context manager; `discovery.addresses` has the address for each router."""

    def __init__(
        self, scenario: Scenario, seed: int, processes: int, first_port: int = 0, engine_port: int = 0
    ) -> None:
        self.scenario, self.seed, self.clock = scenario, seed, Clock()
        processes = max(1, min(processes, scenario.engines))
        command = [sys.executable, "-c", "from spoolbarrow.lab.emulator import worker; worker()"]
        self.workers: list[Any] = [
            subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) for _ in range(processes)
        ]
        ports: dict[int, list[int]] = {}
        try:
            for n, one in enumerate(self.workers):
                self._write(one, msgspec.json.encode(Job(scenario, seed, n, processes, engine_port)))
            for one in self.workers:
                with gevent.Timeout(READY_TIMEOUT_S):
                    ready = msgspec.json.decode(one.stdout.readline())["ready"]
                ports |= {int(n): found for n, found in ready.items()}
            self.discovery = EmulatedDiscovery(scenario, self.clock, ports, seed, first_port)
        except BaseException:
            self._end()
            raise
        self.figures: list[dict[str, Any]] = []  # of each engine, once it has ended
        self.readers = [gevent.spawn(self._read_worker, one) for one in self.workers]

    def begin(self) -> None:
        """Begin the scenario now."""
        self.clock.begun = time.monotonic()
        self.discovery.begin(planned_troubles(self.scenario, self.seed))
        for one in self.workers:
            self._write(one, repr(self.clock.begun).encode())

    def late_sends(self, grace_ms: float) -> int:
        """The number of requests sent to an engine more than `grace_ms` after its router knew that it drains.

        To be called after the fleet has ended. Engines that serve again are not counted any more.
        """
        withdrawn = self.discovery.withdrawn
        sends = [send for one in self.figures for send in one["unwanted"]]
        return sum(at > withdrawn.get((name, router), float("inf")) + grace_ms for name, router, at in sends)

    def _write(self, one: Any, line: bytes) -> None:
        one.stdin.write(line + b"\n")
        one.stdin.flush()

    def _read_worker(self, one: Any) -> None:
        while line := one.stdout.readline():
            change = msgspec.json.decode(line)
            if "figures" in change:
                self.figures += change["figures"]
            else:
                self.discovery.changed(change)

    def _end(self) -> None:
        for one in self.workers:
            one.stdin.close()
        for one in self.workers:
            try:
                one.wait(5.0)
            except subprocess.TimeoutExpired:
                one.kill()
                one.wait()

    def __enter__(self) -> Emulator:
        """The running fleet."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End all its processes."""
        self.discovery.close()
        self._end()
        gevent.joinall(self.readers)
