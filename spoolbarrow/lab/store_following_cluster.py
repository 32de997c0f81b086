"""A cluster whose routers follow members of the store: a gate of the fault proxy from each to each of them.

The members are the caller's; here are the gates, the routers' tables, and what the routers tell of the store.
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
    """`operator` ends with the table `[fleet]`, without its members; `controls` are their addresses.

    Where it waits for routers it does so for `bound_s` at most, unless it is told otherwise. `options` as of
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
        super().__init__(folder, {"a": engines}, ["a"] * routers, self._told, **options)
        self._text, self._asked = operator, list(controls)
        targets = self._asked * routers
        self.store_proxy = Process(
            "-m", "spoolbarrow.lab.fault_proxy", str(STANDIN_LIFETIME_S), *targets, stdin=True
        )
        self.processes.append(self.store_proxy)
        self.store_gate_ports = self.store_proxy.first_output_line().split()

    def _told(self, _: Cluster, number: int) -> str:
        """A router's file: it knows the members by gates of its own."""
        count = len(self._asked)
        members = [f"{HOST}:{port}" for port in self.store_gate_ports[count * number : count * (number + 1)]]
        return self._text + f"members = {json.dumps(members)}\n"

    def restart_router(self, number: int) -> None:
        """A process of a router in the place of one that ended; returns when it has started."""
        self.routers[number] = made = self.start_router(number)
        made.wait_for(lambda: bool(made.events("started")))

    def set_store_fault(
        self, mode: str, routers: Iterable[int] | None = None, members: Iterable[int] | None = None
    ) -> None:
        """A fault between these routers and these members, all where none are named."""
        count = len(self._asked)
        chosen = list(range(count) if members is None else members)
        numbers = range(len(self.ports)) if routers is None else routers
        self.store_proxy.send_command(
            f"{','.join(str(count * n + m) for n in numbers for m in chosen)} {mode}"
        )

    def applied_version(self, number: int, item: str) -> tuple[int, str]:
        """Number and digest of what a router acts on; (0, "") for nothing."""
        told = self.control(number, "versions")["versions"].get(item)
        return (told["number"], told["digest"]) if told else (0, "")

    def fleet_status(self, number: int) -> dict[str, Any]:
        """What a router tells of the store."""
        told: dict[str, Any] = self.control(number, "versions")["fleet"]
        return told

    def part_status(self, number: int, kind: str = "roll") -> dict[str, Any]:
        """What a router tells of a part of the fleet."""
        told: dict[str, Any] = self.fleet_status(number)["parts"][kind]
        return told

    def document_mode(self, number: int, key: str = SUSPENSIONS_KEY) -> str:
        """By what a router goes about a shared document."""
        return str(self.fleet_status(number)["documents"][key]["mode"])

    def lease_holder(self, kind: str = "roll") -> int:
        """The router that holds a part's lease, as it says itself."""
        found: list[int] = poll_until(
            lambda: [n for n in range(len(self.ports)) if self.part_status(n, kind)["holds"]], self.bound_s
        )
        return found[0]

    def decision_epoch(self, number: int, kind: str = "roll") -> int:
        """Of the decision of a part that a router acts on; 0 for none."""
        return int(self.part_status(number, kind)["epoch"] or 0)

    def wait_suspended(
        self, revision: int, *engines: str, routers: Iterable[int] | None = None, seconds: float = 0.0
    ) -> None:
        """Until these routers act on that version of the suspensions, and suspend these engines."""
        numbers = list(range(len(self.ports)) if routers is None else routers)
        wanted = {(revision, digest(sorted(engines)))}
        poll_until(
            lambda: {self.applied_version(n, SUSPENSIONS_KEY) for n in numbers} == wanted,
            seconds or self.bound_s,
        )

    def wait_for_roll(self, names: Sequence[str], routers: Iterable[int] | None = None) -> None:
        """Until these routers act on one decision of the roll, which names these."""
        numbers, wanted = list(range(len(self.ports)) if routers is None else routers), list(names)
        poll_until(
            lambda: (
                all(self.part_status(n)["routers"] == wanted for n in numbers)
                and len({self.applied_version(n, "fleet/roll") for n in numbers}) == 1
            ),
            self.bound_s,
        )

    def requests_sent(self, engine: int, router: str = "") -> int:
        """Requests that an engine was sent by one router, or all."""
        asked = self.counts()[engine]["asked"]
        return int(asked.get(router, 0) if router else sum(asked.values()))


def poll_until(true: Callable[[], Any], seconds: float = 40.0) -> Any:
    """What it gives once that is true; TimeoutError where it never is."""
    end = time.monotonic() + seconds
    while not (found := true()):
        if time.monotonic() > end:
            raise TimeoutError(f"not true within {seconds:g} s")
        time.sleep(0.03)
    return found


def document_path(key: str, expect: int | None = None) -> str:
    """The path of a document at a member."""
    return f"/v1/store/{quote(key, safe='')}" + ("" if expect is None else f"?expect={expect}")
