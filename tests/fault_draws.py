"""Draws runs of faulty clients, kills and upgrades from a seed, plays them and judges them.

python -m tests.fault_draws FIRST LAST       plays these seeds, prints what each broke
"""

from __future__ import annotations

import random
import signal
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
from msgspec import Struct

from tests.fault_clients import (
    ClientShape,
    Crowd,
    CrowdPlan,
    CrowdRecord,
    UsualAnswer,
    UsualClient,
    draw_shape,
)
from tests.fault_engine import FaultEngine
from tests.fault_runs import Scene, attempts_for_departed, ids_open_twice, ids_run_twice, unfair_answers
from tests.router_harness import LISTEN, wait_until
from tests.router_processes import KIB_PER_MB

DISRUPTIONS = ("none", "kill", "kills", "term", "upgrade", "upgrade_kill", "reloads")
KEEPS_MEMORY = ("none", "upgrade", "reloads")  # a killed process takes the ids that it knew along
LABS = (
    "events=3",
    "first=300,events=3",
    "events=30,gap=50",
    "events=300,gap=5,size=1500",
    "first=900,events=2",
)
USUAL_LABS = ("events=3", "first=100,events=6,gap=50")
LEFT_S = 3.0
KILL_S = 3.7  # after SIGTERM: the longest deadline, at most 3 s, and 0.7 s
SAMPLE_S = 0.02  # between looks at the processes' memory
MEMORY_MB, UPGRADE_MEMORY_MB = 32.0, 64.0  # two processes share the limit during an upgrade


class FaultRun(Struct, frozen=True):
    """What a seed draws."""

    seed: int
    shapes: tuple[ClientShape, ...]
    lab: str
    usual_lab: str
    disruption: str
    disrupted_at_s: float
    max_attempts: int
    sockets: int
    length_s: float

    def memory_mb(self) -> float:
        return UPGRADE_MEMORY_MB if self.disruption.startswith("upgrade") else MEMORY_MB


class Disturbed(Struct, frozen=True):
    """A time in which processes ended or were not ready; monotonic s."""

    begin: float
    end: float


def draw_run(seed: int, length_s: float = 4.0) -> FaultRun:
    rng = random.Random(seed)
    crowd = rng.random() < 0.4
    shapes = [draw_shape(rng)] * rng.randint(200, 450) if crowd else [draw_shape(rng) for _ in range(40)]
    return FaultRun(
        seed=seed,
        shapes=tuple(shapes),
        lab=rng.choice(LABS),
        usual_lab=rng.choice(USUAL_LABS),
        disruption=rng.choice(DISRUPTIONS),
        disrupted_at_s=rng.uniform(1.0, 0.6 * length_s),
        max_attempts=rng.choice([1, 3]),
        sockets=rng.choice([256, 1024]),
        length_s=length_s,
    )


class Play:
    """A run under way."""

    def __init__(self, folder: Path, run: FaultRun) -> None:
        self.run = run
        engines = [FaultEngine(f"e{number}") for number in range(3)]
        limits = {"cores": 1.0, "memory_mb": run.memory_mb(), "sockets": run.sockets}
        self.scene = Scene(folder, engines, run.max_attempts, limits=limits)
        self.peak_mb = 0.0
        self.disturbed: list[Disturbed] = []
        self.ended_alone: list[str] = []
        self._expected_ends: set[int] = set()

    def play(self) -> list[str]:
        """What was broken."""
        run, scene = self.run, self.scene
        watching = gevent.spawn(self._watch_memory)
        crowd: Crowd | None = None
        try:
            scene.service.start()
            begun = time.monotonic()
            until = begun + run.length_s
            usual = [UsualClient(scene.service.port, f"u{n}", until, run.usual_lab) for n in range(4)]
            crowd = Crowd(CrowdPlan(LISTEN, scene.service.port, run.shapes, run.seed, until, run.lab))
            gevent.sleep(run.disrupted_at_s)
            getattr(self, f"_{run.disruption}")()
            record = crowd.record()
            gevent.joinall([client.greenlet for client in usual])
            return self._judge([answer for client in usual for answer in client.answers], record)
        finally:
            watching.kill()
            if crowd is not None:
                crowd.end()
            scene.close()

    def _judge(self, answers: list[UsualAnswer], record: CrowdRecord) -> list[str]:
        undisturbed = [one for one in answers if not self._is_disturbed(one)]
        attempts = self.scene.attempts()
        broken = unfair_answers(undisturbed, LEFT_S)
        if self.peak_mb > self.run.memory_mb():
            broken.append(f"memory: {self.peak_mb:.1f} MB")
        if not (answers and record.connections):
            broken.append("nothing was played")
        logs = "".join(self.scene.service.log(n) for n in range(len(self.scene.service.processes)))
        broken += [line for line in logs.splitlines() if '"unexpected"' in line]
        broken += self.ended_alone
        if self.run.max_attempts == 1 and self.run.disruption in KEEPS_MEMORY:
            broken += ids_run_twice(attempts)
        return broken + attempts_for_departed(attempts, record.departures) + ids_open_twice(attempts)

    def _is_disturbed(self, answer: UsualAnswer) -> bool:
        ended_at = answer.asked_at + answer.took_s
        return any(one.begin <= ended_at and answer.asked_at <= one.end for one in self.disturbed)

    def _watch_memory(self) -> None:
        while True:
            service = self.scene.service
            running = [(n, p) for n, p in enumerate(service.processes) if p.poll() is None]
            for number, process in enumerate(service.processes):
                if process.poll() is not None and number not in self._expected_ends:
                    self._expected_ends.add(number)
                    self.ended_alone.append(f"process {number} ended: {process.returncode}")
            self.peak_mb = max(self.peak_mb, self._resident_mb([process.pid for _, process in running]))
            gevent.sleep(SAMPLE_S)

    @staticmethod
    def _resident_mb(pids: list[int]) -> float:
        """The memory of processes that run the same program: what they share counts once."""
        private, shared = 0.0, 0.0
        for pid in pids:
            with suppress(OSError, IndexError):
                status = Path(f"/proc/{pid}/status").read_text()
                peak, now, file = (
                    int(status.split(f"{name}:")[1].split()[0]) / KIB_PER_MB
                    for name in ("VmHWM", "VmRSS", "RssFile")
                )
                private += (peak if len(pids) == 1 else now) - file
                shared = max(shared, file)
        return private + shared

    # Disruptions

    def _none(self) -> None:
        pass

    def _kill(self) -> None:
        self._restart(signal.SIGKILL, 0.0)

    def _kills(self) -> None:
        """In series, each soon after the start, as planned kills were in the incident."""
        for _ in range(3):
            self._restart(signal.SIGKILL, 0.0)
            gevent.sleep(0.4)

    def _term(self) -> None:
        self._restart(signal.SIGTERM, KILL_S)

    def _restart(self, number: signal.Signals, kill_after_s: float) -> None:
        service = self.scene.service
        last = len(service.processes) - 1
        begin = time.monotonic()
        self._expected_ends.add(last)
        service.processes[last].send_signal(number)
        self._await_end(last, kill_after_s)
        service.start()
        self.disturbed.append(Disturbed(begin, time.monotonic() + 0.1))

    def _await_end(self, number: int, kill_after_s: float) -> None:
        process, until = self.scene.service.processes[number], time.monotonic() + kill_after_s
        while process.poll() is None and time.monotonic() < until:
            gevent.sleep(0.02)
        process.kill()
        process.wait()

    def _upgrade(self) -> None:
        """The old process may be killed at the earliest; what it took in its last 3 s may be lost then."""
        self._upgrade_from(0)

    def _upgrade_kill(self) -> None:
        """The new process is killed right after it was ready; another one follows."""
        service = self.scene.service
        new = service.start()
        self._expected_ends.add(new)
        begin = time.monotonic()
        service.processes[new].kill()
        service.processes[new].wait()
        self.disturbed.append(Disturbed(begin - 3.0, begin + 0.1))
        self._upgrade_from(0)

    def _upgrade_from(self, old: int) -> None:
        service = self.scene.service
        service.start()
        self._expected_ends.add(old)
        service.processes[old].terminate()
        self._await_end(old, KILL_S)

    def _reloads(self) -> None:
        """Several, in quick succession."""
        process = self.scene.service.processes[0]
        wait_until(lambda: '"started"' in self.scene.service.log(0))
        for _ in range(4):
            process.send_signal(signal.SIGHUP)
            gevent.sleep(0.15)


def play(folder: Path, run: FaultRun) -> list[str]:
    """Play a run; what was broken."""
    return Play(folder, run).play()


def main(argv: list[str]) -> int:
    """Play a range of seeds."""
    failed: list[Any] = []
    for seed in range(int(argv[0]), int(argv[1]) + 1):
        run = draw_run(seed)
        with tempfile.TemporaryDirectory() as folder:
            broken = play(Path(folder), run)
        kinds = "mixed" if len(set(run.shapes)) > 1 else str(run.shapes[0])
        print(seed, run.disruption, len(run.shapes), kinds, broken[:3], flush=True)
        failed += [seed] if broken else []
    print("broken:", failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
