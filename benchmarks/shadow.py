"""Measures shadow traffic: the cost of copying for live responses, and whether its limits hold.

    python benchmarks/shadow.py [--short]

Four routers share the same stub engines on loopback: two without copying (the second shows the noise), one
that copies to a healthy candidate, one whose candidate stalls halfway. Clients send requests to all four in
turn. The share over 10,000 sessions and the memory over 100,000 requests are the copy controller's own.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import Any

import gevent
import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import stub_servers  # noqa: E402
from paired_routers import ENGINES, WORKERS, Load, RouterGroup, anonymous_kb, compare_all, max_deviation  # noqa: E402

from spoolbarrow.shadow import copy_controller  # noqa: E402

COPY_SHARE, MAX_COPIES_PER_S = (
    0.5,
    8.0,
)  # of sessions; lower than the share would need, so that the limit binds
SLOW_FIRST_MS, DEADLINE_MS = 300.0, 1500.0
MEDIAN_TOLERANCE = 0.02  # of live medians, relative
SHARE_TOLERANCE = 0.02
MAX_GROWTH_KB = 512
MAX_STOP_S = 1.5  # from the start of a stall to the last copy


class Candidate:
    """A stub candidate that records when copies arrive, and can stall."""

    def __init__(self) -> None:
        self.received: list[float] = []
        self.stalled_at = 0.0
        self.port: int
        listener = stub_servers.listen()
        self.port = listener.getsockname()[1]
        gevent.spawn(stub_servers.serve, listener, self._answer)

    def stall(self) -> None:
        """Stop responding from now on."""
        self.stalled_at = time.monotonic()

    def max_per_second(self) -> int:
        """Copies in the busiest second."""
        window, most = deque[float](), 0
        for at in self.received:
            window.append(at)
            while window[0] <= at - 1.0:
                window.popleft()
            most = max(most, len(window))
        return most

    def after_stall_s(self) -> float:
        """Seconds from the start of the stall to the last copy that was not a single trial."""
        late = [at - self.stalled_at for at in self.received if at > self.stalled_at]
        # Once the breaker is open, single trial copies follow, each over a second after the last.
        dense = [at for n, at in enumerate(late) if n == 0 or at - late[n - 1] < 1.0]
        return max(dense, default=0.0)

    def _answer(self, sock: Any, message: Any) -> None:
        self.received.append(time.monotonic())
        if self.stalled_at:
            gevent.sleep(60.0)
            return
        gevent.sleep(0.02)
        sock.sendall(stub_servers.HEAD + stub_servers.chunk(stub_servers.EVENT))
        for _ in range(5):
            gevent.sleep(0.008)
            sock.sendall(stub_servers.chunk(stub_servers.EVENT))
        sock.sendall(stub_servers.chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")


def table(candidate: Candidate) -> str:
    """The operator file of a router that copies requests."""
    return (
        f'[shadow]\nshare = {COPY_SHARE}\ncandidates = ["{stub_servers.HOST}:{candidate.port}"]\n'
        f"requests_per_s = {MAX_COPIES_PER_S}\nslow_first_ms = {SLOW_FIRST_MS}\ndeadline_ms = {DEADLINE_MS}\n"
        "bad_copies = 3\nopen_ms = 2000.0\nin_flight = 16\nengine_in_flight = 16\n"
    )


def measure_decisions(requests: int) -> dict[str, Any]:
    """Measure the share reached over 10,000 sessions, and memory over many requests."""
    limits = copy_controller.Limits(
        share=0.3,
        classes=frozenset({0}),
        in_flight=10,
        engine_in_flight=10,
        requests_per_s=1e9,
        prompt_tokens_per_s=1e9,
        answer_tokens_per_s=1e9,
    )
    controller = copy_controller.CopyController(0.0, limits, 1)
    controller.allowance.value = 1.0
    controller.handle(1e6, [copy_controller.CandidatePool((copy_controller.Engine("c"),))])
    copied, before = 0, 0
    for n in range(requests):
        now, name = 1e6 + n * 10.0, str(n)
        actions = controller.handle(now, [copy_controller.RequestReceived(name, 0, 0, n + 1, 100, 100, 500)])
        if any(isinstance(action, copy_controller.SendCopy) for action in actions):
            controller.handle(
                now + 5.0, [copy_controller.CopyStarted(name), copy_controller.CopyEnded(name, True)]
            )
        if n == 9_999:
            copied, before = controller.copied, anonymous_kb()
    return {
        "share": 0.3,
        "share_reached": copied / 10_000,
        "requests": requests,
        "grown_kb": anonymous_kb() - before,
    }


def main() -> dict[str, Any]:
    """Measure everything and return it as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    seconds = 26.0 if arguments.parse_args().short else 240.0
    sound, stalling = Candidate(), Candidate()
    with tempfile.TemporaryDirectory() as directory:
        tables = {"off": "", "off_again": "", "on": table(sound), "stalled": table(stalling)}
        group = RouterGroup(Path(directory), tables)
        try:
            group.wait()
            load, before = Load(group, seconds), group.cpu()
            gevent.spawn_later(seconds / 2, stalling.stall)
            load.run()
            cpu = {kind: used - before[kind] for kind, used in group.cpu().items()}
            opened = group.log("stalled").count(b"breaker open")
        finally:
            group.close()
    times = compare_all(load.rounds, group.ports)
    decided = measure_decisions(100_000)
    most = max(sound.max_per_second(), stalling.max_per_second())
    stopped = stalling.after_stall_s()
    holds = (
        max_deviation(times) <= MEDIAN_TOLERANCE
        and load.failed == 0
        and 0 < most <= MAX_COPIES_PER_S
        and opened > 0
        and 0 < stopped <= MAX_STOP_S
        and decided["grown_kb"] <= MAX_GROWTH_KB
        and abs(decided["share_reached"] - decided["share"]) <= SHARE_TOLERANCE
    )
    copies = len(sound.received)
    extra = (cpu["on"] - (cpu["off"] + cpu["off_again"]) / 2) / max(copies, 1)
    return {
        "name": "shadow",
        "holds": holds,
        "rounds": len(load.rounds),
        "requests": sum(load.asked.values()),
        "failed": load.failed,
        "copies": copies,
        "copies_a_second_most": most,
        "limit": MAX_COPIES_PER_S,
        "last_copy_after_stall_s": round(stopped, 3),
        "breaker_opened": opened,
        "times": times,
        "cpu_us_per_copy": round(extra * 1e6),
        "cpu_s": {kind: round(used, 2) for kind, used in cpu.items()},
        "deciding": decided,
        "workers": WORKERS,
        "engines": ENGINES,
        "seconds": seconds,
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result["holds"] else 1)
