"""Shadow traffic measured: what copying costs live answers, and whether its limits hold.

    python benchmarks/shadow.py [--short]

Four routers stand before the same stand-in engines on loopback: two without copying (the second shows the
noise), one that copies to a sound candidate, one whose candidate stalls half-way. Clients ask all four in
turn. The share over 10,000 sessions and the memory over 100,000 requests are the deciding part's own.
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
from paired_routers import ENGINES, WORKERS, Load, Rig, anonymous_kb, apart, compared  # noqa: E402

from spoolbarrow.shadow import copy_controller  # noqa: E402

SHARE, LIMIT = 0.5, 8.0  # of sessions; copies a second: less than the share asks for, so that it binds
SLOW_MS, DEADLINE_MS = 300.0, 1500.0
WITHIN = 0.02  # of live medians
SHARE_WITHIN = 0.02
FLAT_KB = 512
STOPPED_WITHIN_S = 1.5  # from a stall's begin to the last copy


class Candidate:
    """A stand-in candidate that writes down when copies come, and may stall."""

    def __init__(self) -> None:
        self.came: list[float] = []
        self.stalled_at = 0.0
        self.port: int
        listener = stub_servers.listen()
        self.port = listener.getsockname()[1]
        gevent.spawn(stub_servers.serve, listener, self._answer)

    def stall(self) -> None:
        """From now on nothing is said."""
        self.stalled_at = time.monotonic()

    def most_a_second(self) -> int:
        """Copies in the fullest second."""
        window, most = deque[float](), 0
        for at in self.came:
            window.append(at)
            while window[0] <= at - 1.0:
                window.popleft()
            most = max(most, len(window))
        return most

    def after_stall_s(self) -> float:
        """Seconds from the stall's begin to the last copy that was not a single try."""
        late = [at - self.stalled_at for at in self.came if at > self.stalled_at]
        # Once the breaker is open one copy at a time tries again: those stand alone for over a second.
        dense = [at for n, at in enumerate(late) if n == 0 or at - late[n - 1] < 1.0]
        return max(dense, default=0.0)

    def _answer(self, sock: Any, message: Any) -> None:
        self.came.append(time.monotonic())
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
    """The operator's file of a copying router."""
    return (
        f'[shadow]\nshare = {SHARE}\ncandidates = ["{stub_servers.HOST}:{candidate.port}"]\n'
        f"requests_per_s = {LIMIT}\nslow_first_ms = {SLOW_MS}\ndeadline_ms = {DEADLINE_MS}\n"
        "bad_copies = 3\nopen_ms = 2000.0\nin_flight = 16\nengine_in_flight = 16\n"
    )


def deciding(requests: int) -> dict[str, Any]:
    """The share reached over 10,000 sessions, and memory over many requests."""
    plenty = copy_controller.Limits(
        share=0.3,
        classes=frozenset({0}),
        in_flight=10,
        engine_in_flight=10,
        requests_per_s=1e9,
        prompt_tokens_per_s=1e9,
        answer_tokens_per_s=1e9,
    )
    made = copy_controller.CopyController(0.0, plenty, 1)
    made.allowance.value = 1.0
    made.handle(1e6, [copy_controller.CandidatePool((copy_controller.Engine("c"),))])
    copied, before = 0, 0
    for n in range(requests):
        now, name = 1e6 + n * 10.0, str(n)
        actions = made.handle(now, [copy_controller.RequestReceived(name, 0, 0, n + 1, 100, 100, 500)])
        if any(isinstance(action, copy_controller.SendCopy) for action in actions):
            made.handle(now + 5.0, [copy_controller.CopyStarted(name), copy_controller.CopyEnded(name, True)])
        if n == 9_999:
            copied, before = made.copied, anonymous_kb()
    return {
        "share": 0.3,
        "share_reached": copied / 10_000,
        "requests": requests,
        "grown_kb": anonymous_kb() - before,
    }


def main() -> dict[str, Any]:
    """Everything, as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    seconds = 26.0 if arguments.parse_args().short else 240.0
    sound, stalling = Candidate(), Candidate()
    with tempfile.TemporaryDirectory() as directory:
        tables = {"off": "", "off_again": "", "on": table(sound), "stalled": table(stalling)}
        rig = Rig(Path(directory), tables)
        try:
            rig.wait()
            load, before = Load(rig, seconds), rig.cpu()
            gevent.spawn_later(seconds / 2, stalling.stall)
            load.run()
            cpu = {kind: used - before[kind] for kind, used in rig.cpu().items()}
            opened = rig.log("stalled").count(b"breaker open")
        finally:
            rig.close()
    times = compared(load.rounds, rig.ports)
    pure = deciding(100_000)
    most = max(sound.most_a_second(), stalling.most_a_second())
    stopped = stalling.after_stall_s()
    holds = (
        apart(times) <= WITHIN
        and load.failed == 0
        and 0 < most <= LIMIT
        and opened > 0
        and 0 < stopped <= STOPPED_WITHIN_S
        and pure["grown_kb"] <= FLAT_KB
        and abs(pure["share_reached"] - pure["share"]) <= SHARE_WITHIN
    )
    copies = len(sound.came)
    extra = (cpu["on"] - (cpu["off"] + cpu["off_again"]) / 2) / max(copies, 1)
    return {
        "name": "shadow",
        "holds": holds,
        "rounds": len(load.rounds),
        "requests": sum(load.asked.values()),
        "failed": load.failed,
        "copies": copies,
        "copies_a_second_most": most,
        "limit": LIMIT,
        "last_copy_after_stall_s": round(stopped, 3),
        "breaker_opened": opened,
        "times": times,
        "cpu_us_per_copy": round(extra * 1e6),
        "cpu_s": {kind: round(used, 2) for kind, used in cpu.items()},
        "deciding": pure,
        "workers": WORKERS,
        "engines": ENGINES,
        "seconds": seconds,
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result["holds"] else 1)
