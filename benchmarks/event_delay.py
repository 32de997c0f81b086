"""Measures the delay of stream events in a router that has a fifth of a core, and what in it delays them.

    python benchmarks/event_delay.py [--short] [--share 0.2]

One router runs in a process of its own, stopped and continued in turn so that it runs for the given share of
the time (SIGSTOP, SIGCONT; no limit of the machine is changed). An engine writes streams of events with the
time at which each was written; a client measures how long after that it received them. Besides, one engine
floods, one client does not read, and bursts of requests arrive. Then, in this process and without stops, it
measures a full garbage collection with many open requests, and decisions on many requests.

The last line is a JSON object; exit status 1 if an event was later than 0.3 s. A `longest_stop_ms` far over
20 means that the machine delayed this script, and the router was stopped for that long.
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
CYCLE_S = 0.02  # one cycle of running and being stopped
STREAMS, GAP_S = 20, 0.05  # concurrent streams of timed events; the mean gap between events
MAX_DELAY_S = 0.3
BURST_REQUESTS, BURST_INTERVAL_S = 100, 3.0  # requests that arrive at once
FLOOD = stub_servers.chunk(b"data: " + b"x" * 60 + b"\n\n") * 200
OPEN_COUNTS = ((1000, 2000), (480, 480))  # open requests and connections


class Engine:
    """Streams by the name of the request: timed, flooding, or started and then idle."""

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
    """A router's configuration with a known list, and discovery down."""
    raw = stub_servers.config(port, 1)
    address = f"{stub_servers.HOST}:{engine.listener.getsockname()[1]}"
    raw["known"] = {
        "index": 1,
        "snapshot": True,
        "endpoints": [{"name": "e0", "address": address, "zone": "a", "type": "m"}],
    }
    raw["settings"]["Classes"][0] |= {"AimMs": 60e3, "DeadlineMs": 120e3}
    raw["limits"] = {"cores": 1.0, "memory_mb": 2048, "sockets": 9000}
    return raw


def request(name: str) -> bytes:
    """A request as a client sends it."""
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: {name}\r\n"
        f"X-Service-Class: chat\r\nX-Account: acme\r\nX-Time-Left-Ms: 100000\r\n"
        f"X-Facts: prompt_len=40,max_out=8\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


def connect(port: int, name: str = "") -> Any:
    """Connect a client, and send a request if it has a name."""
    sock = socket.create_connection((stub_servers.HOST, port))
    if name:
        sock.sendall(request(name))
    return sock


def read(port: int, name: str, delays: list[float]) -> None:
    """Read a stream to its end, and record the delay of each timed event."""
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
    """Let the process run for a share of the time, and record how long each stop really took."""
    while True:
        process.send_signal(signal.SIGSTOP)
        stopped_at = time.monotonic()
        gevent.sleep((1 - share) * CYCLE_S)
        process.send_signal(signal.SIGCONT)
        stops.append(time.monotonic() - stopped_at)
        gevent.sleep(share * CYCLE_S)


def read_forever(port: int, name: str, delays: list[float]) -> None:
    """Read one stream after another."""
    number = 0
    while True:
        number += 1
        read(port, f"{name}-{number}", delays)


def play(seconds: float, share: float, disturbed: bool) -> dict[str, Any]:
    """Measure the delays of events, with or without disturbing traffic."""
    engine, delays, stops, bursts = Engine(), list[float](), list[float](), 0
    with socket.socket() as probe:
        probe.bind((stub_servers.HOST, 0))
        port: int = probe.getsockname()[1]
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory) / "router.json"
        file.write_bytes(orjson.dumps(settings(port, engine)))
        env = {**os.environ, "NODE_CONFIG": str(file), "PYTHONPATH": str(ROOT)}
        with (Path(directory) / "log").open("wb") as log:
            run = [sys.executable, "-m", "spoolbarrow"]
            router = subprocess.Popen(run, cwd=ROOT, env=env, stderr=log)
        greenlets: list[Any] = []
        try:
            for _ in range(600):
                with socket.socket() as sock:
                    if not sock.connect_ex((stub_servers.HOST, port)):
                        break
                gevent.sleep(0.05)
            greenlets.append(gevent.spawn(throttle, router, share, stops))
            greenlets += [gevent.spawn(read_forever, port, f"timed{n}", delays) for n in range(STREAMS)]
            if disturbed:
                stuck = connect(port, "slow")
                greenlets.append(gevent.spawn(read_forever, port, "flood", []))
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                gevent.sleep(min(BURST_INTERVAL_S, seconds))
                if disturbed:
                    bursts += 1
                    greenlets += [
                        gevent.spawn(read, port, f"b{bursts}-{n}", []) for n in range(BURST_REQUESTS)
                    ]
            gevent.killall(greenlets)
            if disturbed:
                stuck.close()
        finally:
            gevent.killall(greenlets)
            router.send_signal(signal.SIGCONT)
            router.kill()
            router.wait()
    late = sum(delay > MAX_DELAY_S for delay in delays)
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
    """Processor time of full collections; clients and the engine run in another process."""
    with socket.socket() as probe:
        probe.bind((stub_servers.HOST, 0))
        port: int = probe.getsockname()[1]
    peers = subprocess.Popen(
        [sys.executable, __file__, "--others", str(port), str(requests), str(connections)],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert peers.stdout is not None
    engine = json.loads(peers.stdout.readline())
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
        started_at = time.process_time()
        gc.collect()
        times.append((time.process_time() - started_at) * 1000)
    found["objects"] = len(gc.get_objects())
    inbound.close()
    host.stop()
    peers.kill()
    peers.wait()
    return {**found, "median_ms": round(sorted(times)[10], 1), "longest_ms": round(max(times), 1)}


def others(port: int, requests: int, connections: int) -> None:
    """Run an engine and clients of the router on `port` until killed."""
    engine = Engine()
    print(json.dumps(settings(port, engine)), flush=True)
    sockets = []
    for n in range(connections):
        for _ in range(200):
            try:
                sockets.append(connect(port, f"open{n}" if n < requests else ""))
                break
            except OSError:
                gevent.sleep(0.05)
        if n % 50 == 0:
            gevent.sleep(0.02)
    gevent.sleep(600)


class NullResponse:
    """A response that discards everything."""

    def disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return False

    def __getattr__(self, name: str) -> Any:
        """Ignore any other call."""
        return lambda *given: None


def decisions(count: int) -> dict[str, Any]:
    """Processor time of decisions on requests of one tick, and the longest part without a greenlet switch."""
    raw = settings(1, Engine())
    endpoints = [
        {"name": f"e{n}", "address": f"{stub_servers.HOST}:{n + 1}", "zone": "a", "type": "m"}
        for n in range(100)
    ]
    raw["known"]["endpoints"] = endpoints
    host = Host(config.parse(msgspec.json.encode(raw)))
    host.destinations.restore(None, None)
    ignore: Any = lambda *given: None  # noqa: E731
    host._endpoints.send = host._endpoints.probe = ignore  # type: ignore[method-assign]
    parts: list[float] = []
    decide = host._decide

    def timed(now: float, events: list[i.Event]) -> None:
        started_at = time.process_time()
        decide(now, events)
        parts.append((time.process_time() - started_at) * 1000)

    host._decide = timed  # type: ignore[method-assign]
    rng = random.Random(1)
    for n in range(count):
        facts = i.RequestArrived("", 0, 5000.0, 0, 2000, 1000, session=rng.getrandbits(60))
        answer: Any = NullResponse()
        host.submit(f"{count}-{n}", Message(), answer, host.now() + 5000, facts)
    host._loop = gevent.spawn(host._run)
    while sum(one.attempts != [] for one in host._requests.values()) < count:
        gevent.sleep(0.01)
    host.stop()
    return {"requests": count, "all_ms": round(sum(parts), 1), "longest_part_ms": round(max(parts), 1)}


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--share", type=float, default=0.2)
    parser.add_argument("--others", nargs=3, type=int)
    args = parser.parse_args()
    if args.others:
        others(*args.others)
    seconds = 10.0 if args.short else 60.0
    found: dict[str, Any] = {"share": args.share, "seconds": seconds}
    for kind, disturbed in (("alone", False), ("beside", True)):
        found[kind] = play(seconds, args.share, disturbed)
        print(f"{kind}: {found[kind]}", flush=True)
    found["collections"] = [collection(*each) for each in OPEN_COUNTS]
    found["decisions"] = decisions(500)
    holds = all(found[kind]["latest_ms"] <= MAX_DELAY_S * 1000 for kind in ("alone", "beside"))
    print(json.dumps({"name": "event_delay", "holds": holds, **found}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
