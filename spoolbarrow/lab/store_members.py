"""Runs three store members for a cluster, connected through the fault proxy.

Owns the members' processes and files: they can be killed, stopped and continued, cut off, slowed, and
restarted with their current or an older file. Each pair of members, and each router and member, has a proxy
listener of its own, so that a member can be cut off from any of them.
"""

from __future__ import annotations

import os
import shutil
import signal
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from spoolbarrow.cli import store_client
from spoolbarrow.cli.errors import NoAnswer
from spoolbarrow.cli.http_client import Answer, request_json
from spoolbarrow.errors import Problem
from spoolbarrow.lab.process import LISTEN, Process, free_ports

MEMBER_COUNT = 3
LEADER_TIMEOUT_S, POLL_INTERVAL_S = 40.0, 0.03


def request_member(address: str, method: str, path: str, body: bytes = b"") -> Answer:
    """A member's response; status 0 if there is none."""
    try:
        return request_json(address, method, path, body)
    except NoAnswer as error:
        return Answer(0, {"error": str(error)})


def member_arguments(
    name: str, members: Mapping[str, str], control: str, folder: Path, max_pages: int = 0
) -> list[str]:
    """The arguments of a process of a member.

    `members` has the address on which it listens, and those at which it reaches the others.
    """
    named = [part for member, address in members.items() for part in ("--member", f"{member}={address}")]
    own = ["--name", name, "--listen", members[name], "--control", control]
    return [
        *("-m", "spoolbarrow", "store", "serve", *own, *named),
        *("--directory", str(folder), "--most-pages", str(max_pages)),
    ]


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
        self._between, router_gates = gates[: len(self._pairs)], gates[len(self._pairs) :]
        self.fronts = [
            router_gates[MEMBER_COUNT * router : MEMBER_COUNT * (router + 1)] for router in range(routers)
        ]
        self.processes = [self.start(member) for member in range(MEMBER_COUNT)]
        for one in self.processes:
            one.wait_for(lambda one=one: bool(one.events("store_started")))  # type: ignore[misc]

    def start(self, member: int) -> Process:
        """Start a process of a member on its current file."""
        members = {f"m{other}": self._peer_address(member, other) for other in range(MEMBER_COUNT)}
        return self._start(*member_arguments(f"m{member}", members, self.controls[member], self.folder))

    def _peer_address(self, member: int, other: int) -> str:
        if other == member:
            return self.listens[member]
        return self._between[self._pairs.index((member, other))]

    def kill(self, member: int) -> None:
        """Kill a member's process."""
        self.processes[member].kill()

    def stop(self, member: int) -> None:
        """Stop a member's process; its connections stay open."""
        self.processes[member].popen.send_signal(signal.SIGSTOP)

    def wake(self, member: int) -> None:
        """Continue a stopped member, which does not know that it was stopped."""
        self.processes[member].popen.send_signal(signal.SIGCONT)

    def save_file_copy(self, member: int) -> None:
        """Copy the file of a member that has ended, for `restart` with `old`."""
        kept = self.folder / f"kept{member}"
        kept.mkdir(exist_ok=True)
        for file in self.folder.glob(f"m{member}.store*"):  # including what a crash left to be rolled back
            shutil.copy(file, kept)

    def restart(self, member: int, old: bool = False) -> None:
        """Restart a killed member with its current file, or with the saved copy."""
        if old:
            for file in self.folder.glob(f"m{member}.store*"):
                file.unlink()
            for file in (self.folder / f"kept{member}").iterdir():
                shutil.copy(file, self.folder)
        self.processes[member] = self.start(member)
        self.processes[member].wait_for(lambda: bool(self.processes[member].events("store_started")))

    def gates(self, member: int, routers: Iterable[int] | None = None) -> list[int]:
        """The proxy listeners of a member: those to and from the others, or those of these routers."""
        if routers is None:
            return [n for n, pair in enumerate(self._pairs) if member in pair]
        return [len(self._pairs) + MEMBER_COUNT * router + member for router in routers]

    def fault(self, mode: str, gates: Iterable[int]) -> None:
        """Set the proxy's mode at these listeners: `drop`, `delay 250`, `pass` ..."""
        self.proxy.send_command(f"{','.join(map(str, gates))} {mode}")

    def status(self, member: int) -> dict[str, Any]:
        """A member's status."""
        return request_member(self.controls[member], "GET", "/v1/status")[1]

    def leader(self, among: Iterable[int] = range(MEMBER_COUNT)) -> int:
        """The member that leads and that a majority follows; AssertionError if there is none in time."""
        candidates, end = list(among), time.monotonic() + LEADER_TIMEOUT_S
        while time.monotonic() < end:
            statuses = {n: self.status(n) for n in candidates}
            for n in candidates:
                followers = sum(one.get("leader") == f"m{n}" for one in statuses.values())
                if statuses[n].get("role") == "leader" and 2 * followers > MEMBER_COUNT:
                    return n
            time.sleep(POLL_INTERVAL_S)
        raise AssertionError(f"no member of {candidates} leads")

    def put(self, key: str, value: bytes) -> int:
        """Write a document at most once; its revision, or 0 if it is not known to be written."""
        try:
            return store_client.write(self.controls, key, value, None, lambda _: None)
        except Problem:
            return 0

    def get(self, member: int, key: str) -> str | None:
        """A member's copy of a document."""
        status, document = request_member(self.controls[member], "GET", f"/v1/store/{key}")
        return str(document["value"]) if status == 200 else None

    def end(self) -> None:
        """Continue stopped members, which could not end otherwise."""
        for process in self.processes:
            if process.popen.poll() is None:
                os.kill(process.popen.pid, signal.SIGCONT)
