"""How late events of streams leave a router that has a fifth of a core, and what in it holds them up.

    python benchmarks/event_delay.py [--short] [--share 0.2]

One router as a process of its own, stopped and let go on in turns so that it runs for the share of the time
(SIGSTOP, SIGCONT; no limit of the machine is changed). An engine writes streams of events, each with the time
at which it was written; a client says how long after that it had them. Beside them one engine floods, one
client does not read, and bursts of requests come. Then, in this process and without the stops: what a full
collection of garbage takes with many open requests, and deciding on many requests.

The last line is a JSON object; exit status 1 where an event was later than 0.3 s. A `longest_stop_ms` far
over 20 says that the machine kept this script waiting: the router stood still for that long.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import msgspec
import orjson
import stub_servers
from gevent import socket

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import HttpError, Message, ResponseParser
from spoolbarrow.net.inbound import Inbound

ROOT = Path(__file__).resolve().parent.parent
SLICE_S = 0.02  # of one turn of running and standing still
STREAMS, GAP_S = 20, 0.05  # of timed events at once; between the events of one
ALLOWED_S = 0.3
BURST, BURST_EVERY_S = 100, 3.0  # requests that come at once
FLOOD = stub_servers.chunk(b"data: " + b"x" * 60 + b"\n\n") * 200
COLLECTED = ((1000, 2000), (480, 480))  # open requests and connections


class Engine:
    """Streams by the name of the request: timed, flooding, or one that has begun and says no more."""

    def __init__(self) -> None:
        self.listener = stub_servers.listen()
        gevent.spawn(stub_servers.serve, self.listener, self._answer)

    def _answer(self, sock: Any, message: Message) -> None:
        name = message.fields[b"x-correlation-id"]
        sock.sendall(stub_servers.HEAD + stub_servers.chunk(stub_servers.EVENT))
        if name.startswith(b"timed"):
            for _ in range(200):
                gevent.sleep(random.uniform(0.5, 1.5) * GAP_S)
                sock.sendall(stub_servers.chunk(b"data: %.6f\n\n" % time.monotonic()))
        while name.startswith((b"flood", b"slow")):
            sock.sendall(FLOOD)
            gevent.sleep(0)
        if not name.startswith(b"open"):
            sock.sendall(b"0\r\n\r\n")


def settings(port: int, engine: Engine) -> dict[str, Any]:
    """A router's configuration: its list is known, and discovery is down."""
    made = stub_servers.config(port, 1)
    address = f"{stub_servers.HOST}:{engine.listener.getsockname()[1]}"
    made["known"] = {
        "index": 1,
        "snapshot": True,
        "endpoints": [{"name": "e0", "address": address, "zone": "a", "type": "m"}],
    }
    made["settings"]["Classes"][0] |= {"AimMs": 60e3, "DeadlineMs": 120e3}
    made["limits"] = {"cores": 1.0, "memory_mb": 2048, "sockets": 9000}
    return made


def request(name: str) -> bytes:
    """One, as clients write it."""
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {name}\r\n"
        f"X-Service-Class: chat\r\nX-Account: acme\r\nX-Time-Left-Ms: 100000\r\n"
        f"X-Facts: prompt_len=40,max_out=8\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


def connect(port: int, name: str = "") -> Any:
    """A client's connection, with a request on it where it has a name."""
    sock = socket.create_connection((stub_servers.HOST, port))
    if name:
        sock.sendall(request(name))
    return sock


def read(port: int, name: str, delays: list[float]) -> None:
    """Read a stream to its end; notes how long each timed event took."""
    parser, rest = ResponseParser(16_384), b""
    with connect(port, name) as sock, suppress(OSError, HttpError):
        while not parser.complete:
            data = sock.recv(1 << 18)
            if not data:
                return
            now = time.monotonic()
            parser.feed(memoryview(data))
            *whole, rest = (rest + b"".join(parser.take_body())).split(b"\n\n")
            if name.startswith("timed"):
                delays += [now - float(one[6:]) for one in whole if one[6:7].isdigit()]


def throttle(process: subprocess.Popen[bytes], share: float, stops: list[float]) -> None:
    """Let it run for a share of the time only; notes how long it stood still, as this process came to it."""
    while True:
        process.send_signal(signal.SIGSTOP)
        begun = time.monotonic()
        gevent.sleep((1 - share) * SLICE_S)
        process.send_signal(signal.SIGCONT)
        stops.append(time.monotonic() - begun)
        gevent.sleep(share * SLICE_S)


def forever(port: int, name: str, delays: list[float]) -> None:
    """One stream after the other."""
    number = 0
    while True:
        number += 1
        read(port, f"{name}-{number}", delays)


def play(seconds: float, share: float, beside: bool) -> dict[str, Any]:
    """The delays of events, with trouble `beside` them or without."""
    engine, delays, stops, bursts = Engine(), list[float](), list[float](), 0
    with socket.socket() as probe:
        probe.bind((stub_servers.HOST, 0))
        port: int = probe.getsockname()[1]
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory) / "router.json"
        file.write_bytes(orjson.dumps(settings(port, engine)))
        told = {**os.environ, "NODE_CONFIG": str(file), "PYTHONPATH": str(ROOT)}
        with (Path(directory) / "log").open("wb") as log:
            run = [sys.executable, "-m", "spoolbarrow"]
            router = subprocess.Popen(run, cwd=ROOT, env=told, stderr=log)
        running: list[Any] = []
        try:
            for _ in range(600):
                with socket.socket() as sock:
                    if not sock.connect_ex((stub_servers.HOST, port)):
                        break
                gevent.sleep(0.05)
            running.append(gevent.spawn(throttle, router, share, stops))
            running += [gevent.spawn(forever, port, f"timed{n}", delays) for n in range(STREAMS)]
            if beside:
                stuck = connect(port, "slow")
                running.append(gevent.spawn(forever, port, "flood", []))
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                gevent.sleep(min(BURST_EVERY_S, seconds))
                if beside:
                    bursts += 1
                    running += [gevent.spawn(read, port, f"b{bursts}-{n}", []) for n in range(BURST)]
            gevent.killall(running)
            if beside:
                stuck.close()
        finally:
            gevent.killall(running)
            router.send_signal(signal.SIGCONT)
            router.kill()
            router.wait()
    late = sum(one > ALLOWED_S for one in delays)
    delays.sort()
    return {
        "events": len(delays),
        "median_ms": round(delays[len(delays) // 2] * 1000, 1),
        "p99_ms": round(delays[len(delays) * 99 // 100] * 1000, 1),
        "latest_ms": round(delays[-1] * 1000, 1),
        "late_share": round(late / len(delays), 5),
        "longest_stop_ms": round(max(stops) * 1000, 1),
    }


def collection(requests: int, connections: int) -> dict[str, Any]:
    """Processor time of full collections, with so many open; clients and the engine are another process."""
    with socket.socket() as probe:
        probe.bind((stub_servers.HOST, 0))
        port: int = probe.getsockname()[1]
    others = subprocess.Popen(
        [sys.executable, __file__, "--others", str(port), str(requests), str(connections)],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert others.stdout is not None
    engine = json.loads(others.stdout.readline())
    made = config.parse(orjson.dumps(engine))
    host = Host(made)
    inbound = Inbound(made, host)
    gc.collect()
    gc.freeze()  # as the program does
    inbound.start()
    host.start()
    until = time.monotonic() + 60
    while time.monotonic() < until and (len(inbound._clients), host.in_progress()) != (connections, requests):
        gevent.sleep(0.1)
    found, times = {"requests": host.in_progress(), "connections": len(inbound._clients)}, []
    for _ in range(20):
        gevent.sleep(0.05)
        begun = time.process_time()
        gc.collect()
        times.append((time.process_time() - begun) * 1000)
    found["objects"] = len(gc.get_objects())
    inbound.close()
    host.stop()
    others.kill()
    others.wait()
    return {**found, "median_ms": round(sorted(times)[10], 1), "longest_ms": round(max(times), 1)}


def others(port: int, requests: int, connections: int) -> None:
    """An engine, and clients of the router on `port`; until killed."""
    engine = Engine()
    print(json.dumps(settings(port, engine)), flush=True)
    kept = []
    for n in range(connections):
        for _ in range(200):
            try:
                kept.append(connect(port, f"open{n}" if n < requests else ""))
                break
            except OSError:
                gevent.sleep(0.05)
        if n % 50 == 0:
            gevent.sleep(0.02)
    gevent.sleep(600)


class Nobody:
    """An answer that goes nowhere."""

    def gone(self) -> bool:
        """Whether the client has gone."""
        return False

    def __getattr__(self, name: str) -> Any:
        """Whatever else is told, it does nothing with."""
        return lambda *given: None


def decisions(many: int) -> dict[str, Any]:
    """Processor time of deciding on so many requests of one tick, and the longest part without a switch."""
    made = settings(1, Engine())
    endpoints = [
        {"name": f"e{n}", "address": f"{stub_servers.HOST}:{n + 1}", "zone": "a", "type": "m"}
        for n in range(100)
    ]
    made["known"]["endpoints"] = endpoints
    host = Host(config.parse(msgspec.json.encode(made)))
    host.destinations.restore(None, None)
    nothing: Any = lambda *given: None  # noqa: E731
    host._endpoints.send = host._endpoints.probe = nothing  # type: ignore[method-assign]
    parts: list[float] = []
    decide = host._decide

    def timed(now: float, events: list[i.Event]) -> None:
        begun = time.process_time()
        decide(now, events)
        parts.append((time.process_time() - begun) * 1000)

    host._decide = timed  # type: ignore[method-assign]
    luck = random.Random(1)
    for n in range(many):
        facts = i.RequestArrived("", 0, 5000.0, 0, 2000, 1000, session=luck.getrandbits(60))
        answer: Any = Nobody()
        host.submit(f"{many}-{n}", Message(), answer, host.now() + 5000, facts)
    host._loop = gevent.spawn(host._run)
    while sum(one.attempts != [] for one in host._requests.values()) < many:
        gevent.sleep(0.01)
    host.stop()
    return {"requests": many, "all_ms": round(sum(parts), 1), "longest_part_ms": round(max(parts), 1)}


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--share", type=float, default=0.2)
    parser.add_argument("--others", nargs=3, type=int)
    given = parser.parse_args()
    if given.others:
        others(*given.others)
    seconds = 10.0 if given.short else 60.0
    found: dict[str, Any] = {"share": given.share, "seconds": seconds}
    for kind, beside in (("alone", False), ("beside", True)):
        found[kind] = play(seconds, given.share, beside)
        print(f"{kind}: {found[kind]}", flush=True)
    found["collections"] = [collection(*each) for each in COLLECTED]
    found["decisions"] = decisions(500)
    holds = all(found[kind]["latest_ms"] <= ALLOWED_S * 1000 for kind in ("alone", "beside"))
    print(json.dumps({"name": "event_delay", "holds": holds, **found}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
