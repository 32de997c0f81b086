"""Three members of the store for a cluster, with a gate of the fault proxy between any two that speak.

Owns the members' processes and files: killed, stopped and woken, cut off, slowed, begun again with what they
had, or with what they had long ago. Between members, and between routers and members, stand gates of their
own, so that a member can be cut off from any of them.
"""

from __future__ import annotations

import os
import shutil
import signal
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from spoolbarrow.cli.errors import NoAnswer
from spoolbarrow.cli.http_client import Answer, request_json
from spoolbarrow.lab.process import LISTEN, Process, free_ports

MEMBER_COUNT = 3
WAIT_S, LOOK_S = 40.0, 0.03


def request_member(address: str, method: str, path: str, body: bytes = b"") -> Answer:
    """What a member answers; status 0 where it does not."""
    try:
        return request_json(address, method, path, body)
    except NoAnswer as error:
        return Answer(0, {"error": str(error)})


class StoreMembers:
    """Members `0..2`, and `fronts[r]`, the addresses at which router `r` reaches their control listeners."""

    def __init__(self, folder: Path, routers: int, life_s: float, start: Callable[..., Process]) -> None:
        self.folder, self._start = folder, start
        free = free_ports(2 * MEMBER_COUNT)
        self.listens = [f"{LISTEN}:{port}" for port in free[:MEMBER_COUNT]]
        self.controls = [f"{LISTEN}:{port}" for port in free[MEMBER_COUNT:]]
        self._pairs = [(a, b) for a in range(MEMBER_COUNT) for b in range(MEMBER_COUNT) if a != b]
        targets = [self.listens[b] for _, b in self._pairs]
        targets += [self.controls[member] for _ in range(routers) for member in range(MEMBER_COUNT)]
        self.proxy = start("-m", "spoolbarrow.lab.fault_proxy", str(life_s), *targets, stdin=True)
        gates = [f"127.0.0.1:{port}" for port in self.proxy.first_output_line().split()]
        self._between, rest = gates[: len(self._pairs)], gates[len(self._pairs) :]
        self.fronts = [rest[MEMBER_COUNT * router : MEMBER_COUNT * (router + 1)] for router in range(routers)]
        self.processes = [self.start(member) for member in range(MEMBER_COUNT)]
        for one in self.processes:
            one.wait_for(lambda one=one: bool(one.events("store_started")))  # type: ignore[misc]

    def start(self, member: int) -> Process:
        """A process of a member, with the file that it has."""
        named = []
        for other in range(MEMBER_COUNT):
            mine = other == member
            where = self.listens[member] if mine else self._between[self._pairs.index((member, other))]
            named += ["--member", f"m{other}={where}"]
        return self._start(
            "-m",
            "spoolbarrow",
            "store",
            "serve",
            "--name",
            f"m{member}",
            *named,
            "--listen",
            self.listens[member],
            "--control",
            self.controls[member],
            "--directory",
            str(self.folder),
        )

    def kill(self, member: int) -> None:
        """End it without warning."""
        self.processes[member].kill()

    def stop(self, member: int) -> None:
        """It stands still, with all its connections."""
        self.processes[member].popen.send_signal(signal.SIGSTOP)

    def wake(self, member: int) -> None:
        """It goes on, and does not know that it stood still."""
        self.processes[member].popen.send_signal(signal.SIGCONT)

    def save_file_copy(self, member: int) -> None:
        """Lay by the file of a member that has ended, for `restart` with `old`."""
        kept = self.folder / f"kept{member}"
        kept.mkdir(exist_ok=True)
        for file in self.folder.glob(f"m{member}.store*"):  # and what a crash left to be undone
            shutil.copy(file, kept)

    def restart(self, member: int, old: bool = False) -> None:
        """Begin one that was killed again, with the file that it had, or the one that was laid by."""
        if old:
            for file in self.folder.glob(f"m{member}.store*"):
                file.unlink()
            for file in (self.folder / f"kept{member}").iterdir():
                shutil.copy(file, self.folder)
        self.processes[member] = self.start(member)
        self.processes[member].wait_for(lambda: bool(self.processes[member].events("store_started")))

    def gates(self, member: int, routers: Iterable[int] | None = None) -> list[int]:
        """The gates at a member: those to and from the others, or those of these routers."""
        if routers is None:
            return [n for n, pair in enumerate(self._pairs) if member in pair]
        return [len(self._pairs) + MEMBER_COUNT * router + member for router in routers]

    def fault(self, mode: str, gates: Iterable[int]) -> None:
        """Have the proxy do so at these gates from now on: `drop`, `delay 250`, `pass` ..."""
        self.proxy.send_command(f"{','.join(map(str, gates))} {mode}")

    def status(self, member: int) -> dict[str, Any]:
        """What it says of itself."""
        return request_member(self.controls[member], "GET", "/v1/status")[1]

    def leader(self, among: Iterable[int] = range(MEMBER_COUNT)) -> int:
        """A member that leads and that a majority follows; AssertionError where there is none for long."""
        chosen, end = list(among), time.monotonic() + WAIT_S
        while time.monotonic() < end:
            told = {n: self.status(n) for n in chosen}
            for n in chosen:
                followers = sum(one.get("leader") == f"m{n}" for one in told.values())
                if told[n].get("role") == "leader" and 2 * followers > MEMBER_COUNT:
                    return n
            time.sleep(LOOK_S)
        raise AssertionError(f"no member of {chosen} leads")

    def put(self, key: str, value: bytes) -> int:
        """Write a document through whoever leads; its revision, or 0 where none took it."""
        for control in self.controls:
            code, told = request_member(control, "PUT", f"/v1/store/{key}", value)
            if code == 200:
                return int(told["revision"])
        return 0

    def get(self, member: int, key: str) -> str | None:
        """A document as a member has it."""
        code, told = request_member(self.controls[member], "GET", f"/v1/store/{key}")
        return str(told["value"]) if code == 200 else None

    def end(self) -> None:
        """Wake those that stand still: what is stopped does not end."""
        for process in self.processes:
            if process.popen.poll() is None:
                os.kill(process.popen.pid, signal.SIGCONT)
