"""Measures the processor time of imports and of a router's start, alone and beside many others.

    python benchmarks/startup_cpu.py [--short] [--at-once N]

A router that starts with a list of 100 engines and unreachable discovery is measured until `/up` returns 200,
by the scheduler's count. Other load on the machine changes that figure too, so each round also measures a
bare `import gevent`, and the results are medians of the rounds' ratios to it. Then N processes (60, 12 in the
short form) start at the same time at the lowest priority, on two processors: how long nine in ten of them
took by the clock, and the share of a processor each had.
`holds`: a start costs at most MAX_RATIO of the bare import, and nine in ten of those that start together are
ready within MAX_READY_S.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow.lab.process import LISTEN, free_ports  # noqa: E402

MAX_RATIO = 2.6  # of a start to the bare import
MAX_READY_S = 10.0
ENGINES, PROCESSORS, TIMEOUT_S = 100, 2, 40.0
UNREACHABLE = "127.0.0.1:1"
POLL_INTERVAL_S = 0.01


def interpreter_cpu_ms(code: str) -> float:
    """Processor time of a Python that runs `code`, ms."""
    before = os.times()
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
    after = os.times()
    spent = after.children_user + after.children_system - before.children_user - before.children_system
    return 1000.0 * spent


class Start:
    """A started router process."""

    def __init__(self, folder: Path, number: int, port: int) -> None:
        lines = [{"name": f"e{n}", "address": f"127.0.0.1:{9000 + n}", "zone": "a", "type": "m"}
                 for n in range(ENGINES)]  # fmt: skip
        chat = {"Name": "chat", "AimMs": 2000.0, "DeadlineMs": 5000.0, "Effect": "retryable", "Stream": True}
        raw = {
            "name": f"r{number}", "listen": f"{LISTEN}:{port}", "discovery": UNREACHABLE, "seed": "8c1f",
            "known": {"index": 7, "snapshot": True, "endpoints": lines},
            "settings": {"Balancers": 1, "Classes": [chat], "Zones": ["a"], "Skus": ["m"]},
        }  # fmt: skip
        file = folder / f"r{number}.json"
        file.write_text(json.dumps(raw))
        self.port, self.begun = port, time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "spoolbarrow"], cwd=ROOT, stderr=subprocess.DEVNULL,
            env={**os.environ, "NODE_CONFIG": str(file)},
        )  # fmt: skip
        self.ready_s = self.spent_ms = -1.0

    def poll_ready(self) -> bool:
        """Whether the router is ready; records when that was seen first."""
        if self.ready_s < 0.0:
            try:
                with socket.create_connection((LISTEN, self.port), 1.0) as sock:
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                    if not sock.recv(64).startswith(b"HTTP/1.1 200"):
                        return False
            except OSError:
                return False
            self.ready_s = time.monotonic() - self.begun
            ran_ns = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]
            self.spent_ms = int(ran_ns) / 1e6
        return True

    def end(self) -> None:
        """Kill the process by its id."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def start_together(folder: Path, count: int) -> list[Start]:
    """Start `count` routers at once and run them until all are ready or TIMEOUT_S have passed."""
    made = [Start(folder, number, port) for number, port in enumerate(free_ports(count))]
    try:
        end = time.monotonic() + TIMEOUT_S
        while not all([one.poll_ready() for one in made]) and time.monotonic() < end:
            time.sleep(POLL_INTERVAL_S)
    finally:
        for one in made:
            one.end()
    return made


def main() -> int:
    """Measure, print one line for each, and a JSON object last; exit status 1 if it does not hold."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--at-once", type=int, default=0)
    args = parser.parse_args()
    rounds, at_once = (5, 12) if args.short else (15, 60)
    at_once = args.at_once or at_once
    os.nice(19 - os.nice(0))
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[-PROCESSORS:])
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        cases: dict[str, Callable[[], float]] = {
            "python": lambda: interpreter_cpu_ms("pass"),
            "gevent": lambda: interpreter_cpu_ms("import gevent"),
            "imports": lambda: interpreter_cpu_ms("import spoolbarrow.serve"),
            "start": lambda: start_together(folder, 1)[0].spent_ms,
        }
        interpreter_cpu_ms("import spoolbarrow.serve")  # writes the bytecode cache
        spent_ms: dict[str, list[float]] = {name: [] for name in cases}
        for _ in range(rounds):
            for name, measure in cases.items():
                spent_ms[name].append(measure())
        ratios = {
            name: statistics.median(
                one / baseline for one, baseline in zip(found, spent_ms["gevent"], strict=True)
            )
            for name, found in spent_ms.items()
        }
        for name, found in spent_ms.items():
            print(f"{name}: {statistics.median(found):.0f} ms of a processor, {ratios[name]:.2f} of gevent")
        starts = start_together(folder, at_once)
    ready = sorted(one.ready_s if one.ready_s >= 0.0 else TIMEOUT_S for one in starts)
    nine_in_ten_s = ready[max(0, -(-9 * len(ready) // 10) - 1)]
    shares = [one.spent_ms / 1000.0 / one.ready_s for one in starts if one.ready_s > 0.0]
    share = statistics.median(shares) if shares else 0.0
    print(
        f"{at_once} at once: nine in ten ready in {nine_in_ten_s:.1f} s, each with {share:.3f} of a processor"
    )
    holds = ratios["start"] <= MAX_RATIO and nine_in_ten_s <= MAX_READY_S
    result = {
        "name": "ready", "holds": holds, "ratios": {name: round(one, 2) for name, one in ratios.items()},
        "start_ms": round(statistics.median(spent_ms["start"])), "at_once": at_once,
        "nine_in_ten_s": round(nine_in_ten_s, 2), "share_of_a_processor": round(share, 3),
        "least_share_for_10_s": round(statistics.median(spent_ms["start"]) / 1000.0 / MAX_READY_S, 3),
    }  # fmt: skip
    print(json.dumps(result))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
