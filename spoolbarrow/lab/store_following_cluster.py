"""Runs a cluster whose routers follow store members, with a fault proxy listener per router and member.

The caller owns the members; this module has the listeners, the routers' operator files and what the routers
report of the store.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import quote

from spoolbarrow.agree import digest
from spoolbarrow.fleet.documents import SUSPENSIONS_KEY
from spoolbarrow.lab.cluster import HOST, STANDIN_LIFETIME_S, Cluster, Process


class StoreFollowingCluster(Cluster):
    """`operator` ends with the table `[fleet]`, without `members`; `controls` are the members' addresses.

    Waits for routers are bounded by `bound_s` unless another bound is given. `options` are those of
    `Cluster`.
    """

    def __init__(
        self,
        folder: Path,
        engines: int,
        routers: int,
        operator: str,
        controls: Sequence[str],
        bound_s: float,
        **options: Any,
    ) -> None:
        self.bound_s = bound_s
        super().__init__(folder, {"a": engines}, ["a"] * routers, self._operator_file, **options)
        self._operator_text, self._members = operator, list(controls)
        targets = self._members * routers
        self.store_proxy = Process(
            "-m", "spoolbarrow.lab.fault_proxy", str(STANDIN_LIFETIME_S), *targets, stdin=True
        )
        self.processes.append(self.store_proxy)
        self.store_gate_ports = self.store_proxy.first_output_line().split()

    def _operator_file(self, _: Cluster, number: int) -> str:
        """A router's operator file, with the members' addresses at proxy listeners of its own."""
        count = len(self._members)
        members = [f"{HOST}:{port}" for port in self.store_gate_ports[count * number : count * (number + 1)]]
        return self._operator_text + f"members = {json.dumps(members)}\n"

    def restart_router(self, number: int) -> None:
        """Start a new process of a router whose process has ended, and wait until it has started."""
        self.routers[number] = router = self.start_router(number)
        router.wait_for(lambda: bool(router.events("started")))

    def set_store_fault(
        self, mode: str, routers: Iterable[int] | None = None, members: Iterable[int] | None = None
    ) -> None:
        """Set a fault between these routers and these members; by default all."""
        count = len(self._members)
        chosen = list(range(count) if members is None else members)
        numbers = range(len(self.ports)) if routers is None else routers
        self.store_proxy.send_command(
            f"{','.join(str(count * n + m) for n in numbers for m in chosen)} {mode}"
        )

    def applied_version(self, number: int, item: str) -> tuple[int, str]:
        """Number and digest of the version that a router acts on; (0, "") for none."""
        version = self.control(number, "versions")["versions"].get(item)
        return (version["number"], version["digest"]) if version else (0, "")

    def fleet_status(self, number: int) -> dict[str, Any]:
        """What a router reports of the store."""
        status: dict[str, Any] = self.control(number, "versions")["fleet"]
        return status

    def part_status(self, number: int, kind: str = "roll") -> dict[str, Any]:
        """What a router reports of a fleet part."""
        status: dict[str, Any] = self.fleet_status(number)["parts"][kind]
        return status

    def document_mode(self, number: int, key: str = SUSPENSIONS_KEY) -> str:
        """The mode in which a router uses a shared document."""
        return str(self.fleet_status(number)["documents"][key]["mode"])

    def lease_holder(self, kind: str = "roll") -> int:
        """The router that reports to hold a part's lease."""
        holders: list[int] = poll_until(
            lambda: [n for n in range(len(self.ports)) if self.part_status(n, kind)["holds"]], self.bound_s
        )
        return holders[0]

    def decision_epoch(self, number: int, kind: str = "roll") -> int:
        """Epoch of the part's decision that a router acts on; 0 for none."""
        return int(self.part_status(number, kind)["epoch"] or 0)

    def wait_suspended(
        self, revision: int, *engines: str, routers: Iterable[int] | None = None, seconds: float = 0.0
    ) -> None:
        """Wait until these routers act on this version of the suspensions, which suspends these engines."""
        numbers = list(range(len(self.ports)) if routers is None else routers)
        wanted = {(revision, digest(sorted(engines)))}
        poll_until(
            lambda: {self.applied_version(n, SUSPENSIONS_KEY) for n in numbers} == wanted,
            seconds or self.bound_s,
        )

    def wait_for_roll(self, names: Sequence[str], routers: Iterable[int] | None = None) -> None:
        """Wait until these routers act on the same decision of the roll, which names these routers."""
        numbers, wanted = list(range(len(self.ports)) if routers is None else routers), list(names)
        poll_until(
            lambda: (
                all(self.part_status(n)["routers"] == wanted for n in numbers)
                and len({self.applied_version(n, "fleet/roll") for n in numbers}) == 1
            ),
            self.bound_s,
        )

    def requests_sent(self, engine: int, router: str = "") -> int:
        """Number of requests sent to an engine by one router, or by all."""
        sent = self.counts()[engine]["asked"]
        return int(sent.get(router, 0) if router else sum(sent.values()))


def poll_until(condition: Callable[[], Any], seconds: float = 40.0) -> Any:
    """The first true result of the condition; TimeoutError if there is none in time."""
    end = time.monotonic() + seconds
    while not (result := condition()):
        if time.monotonic() > end:
            raise TimeoutError(f"condition not true within {seconds:g} s")
        time.sleep(0.03)
    return result


def document_path(key: str, expect: int | None = None) -> str:
    """The path of a document in a member's HTTP API."""
    return f"/v1/store/{quote(key, safe='')}" + ("" if expect is None else f"?expect={expect}")
