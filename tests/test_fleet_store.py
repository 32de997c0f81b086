"""The store with three member processes under a writer: cut off, killed, with full or corrupt disks.

At the end each acknowledged write is on all members, and each unknown one on all or none."""

from __future__ import annotations

import shutil
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from spoolbarrow.lab.cluster import LISTEN, Process, free_ports
from spoolbarrow.lab.store_members import member_arguments, request_member
from tests.router_harness import wait_until

LIFE_S = 120.0


class Members:
    """Three members, with a proxy listener for each direction between two of them."""

    def __init__(self, folder: Path, pages: dict[int, int] | None = None) -> None:
        self.folder, self.pages = folder, pages or {}
        free = free_ports(6)
        self.listens, self.controls = free[:3], [f"{LISTEN}:{port}" for port in free[3:]]
        self.pairs = [(a, b) for a in range(3) for b in range(3) if a != b]
        self.proxy = Process(
            "-m",
            "spoolbarrow.lab.fault_proxy",
            str(LIFE_S),
            *(f"{LISTEN}:{self.listens[b]}" for _, b in self.pairs),
            stdin=True,
        )
        self.fronts = self.proxy.first_output_line().split()
        self.processes = [self.start(n) for n in range(3)]
        for one in self.processes:
            one.wait_for(lambda one=one: bool(one.events("store_started")))  # type: ignore[misc]

    def start(self, number: int) -> Process:
        members = {f"m{number}": f"{LISTEN}:{self.listens[number]}"}
        for other in range(3):
            if other != number:
                members[f"m{other}"] = f"127.0.0.1:{self.fronts[self.pairs.index((number, other))]}"
        pages = self.pages.get(number, 0)
        return Process(*member_arguments(f"m{number}", members, self.controls[number], self.folder, pages))

    def kill(self, number: int) -> None:
        self.processes[number].popen.kill()
        self.processes[number].popen.wait()

    def cut(self, number: int, mode: str) -> None:
        """Set the proxy's mode at all listeners to and from a member."""
        gates = [n for n, pair in enumerate(self.pairs) if number in pair]
        self.proxy.send_command(f"{','.join(map(str, gates))} {mode}")

    def status(self, number: int) -> dict[str, Any]:
        return request_member(self.controls[number], "GET", "/v1/status")[1]

    def leader(self, among: Any = range(3)) -> int:
        """The member that leads and that a majority follows."""

        def found() -> list[int]:
            statuses = {n: self.status(n) for n in among}
            return [
                n
                for n in statuses
                if statuses[n].get("role") == "leader"
                and sum(one.get("leader") == f"m{n}" for one in statuses.values()) >= 2
            ]

        return wait_until(found)[0] if not (at := found()) else at[0]

    def get(self, number: int, key: str) -> tuple[str, int] | None:
        code, document = request_member(self.controls[number], "GET", f"/v1/store/{key}")
        return (document["value"], document["revision"]) if code == 200 else None

    def end(self) -> None:
        for one in (*self.processes, self.proxy):
            one.end()


class Writer:
    """Writes one key after another through the leader; records acknowledged and unknown writes."""

    def __init__(self, made: Members, size: int = 16) -> None:
        self.made, self.size = made, size
        self.written: dict[str, int] = {}
        self.unknown: set[str] = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        number = 0
        while not self._stop.is_set():
            key, number = f"k{number}", number + 1
            for member in self.made.controls:
                code, response = request_member(member, "PUT", f"/v1/store/{key}", key.encode() * self.size)
                if code == 200:
                    self.written[key] = response["revision"]
                if code in (200, 503):
                    self.unknown |= {key} if code == 503 else set()
                    break
                if code == 0 and "refused" not in response["error"]:
                    self.unknown.add(key)  # it may have been written before the member died
                    break

    def more(self, count: int) -> None:
        """Wait until `count` more keys are written."""
        goal = len(self.written) + count
        wait_until(lambda: len(self.written) >= goal)

    def stop(self) -> None:
        self._stop.set()
        self._thread.join(30)


@contextmanager
def written(folder: Path, **more: Any) -> Iterator[tuple[Members, Writer]]:
    """Members under a writer; at the end each change is on all running members, or on none."""
    made = Members(folder, more.get("pages"))
    try:
        made.leader()
        writer = Writer(made, more.get("size", 16))
        try:
            yield made, writer
        finally:
            writer.stop()
        assert len(writer.written) > 20
        well = [n for n in range(3) if not made.status(n)["fault"]]
        wait_until(lambda: len({made.status(n)["applied"] for n in well}) == 1)
        for key, revision in writer.written.items():
            assert {made.get(n, key) for n in well} == {(key * writer.size, revision)}
        for key in writer.unknown:
            assert len({made.get(n, key) for n in well}) == 1
    finally:
        made.end()


def test_a_leader_killed_during_changes_loses_none_of_them(tmp_path: Path) -> None:
    with written(tmp_path) as (made, writer):
        for _ in range(2):
            writer.more(10)
            lost = made.leader()
            made.kill(lost)
            others = [n for n in range(3) if n != lost]
            assert made.leader(others) != lost
            writer.more(10)
            made.processes[lost] = made.start(lost)
            wait_until(lambda n=lost: made.status(n).get("leader"))  # type: ignore[misc]


def test_a_leader_that_is_cut_off_accepts_no_changes_and_returns_with_an_old_log(tmp_path: Path) -> None:
    with written(tmp_path) as (made, writer):
        writer.more(10)
        lost = made.leader()
        made.cut(lost, "drop")
        others = [n for n in range(3) if n != lost]
        made.leader(others)
        wait_until(lambda: made.status(lost)["role"] != "leader")
        code, response = request_member(made.controls[lost], "PUT", "/v1/store/alone", b"x")
        assert code == 409 and response["leader"] != f"m{lost}"
        assert made.get(lost, "k0") is not None  # it still serves reads of its entries
        writer.more(20)
        made.cut(lost, "pass")
        had = max(made.status(n)["applied"] for n in others)  # read once: the writer continues
        wait_until(lambda: made.status(lost)["applied"] >= had)
        assert made.get(lost, "alone") is None


def test_of_two_concurrent_changes_one_is_accepted(tmp_path: Path) -> None:
    with written(tmp_path) as (made, writer):
        at = made.controls[made.leader()]
        revision = 0
        for turn in range(10):
            codes: list[tuple[int, int]] = []

            def change(who: int, expect: int = revision, codes: list[tuple[int, int]] = codes) -> None:
                code, response = request_member(
                    at, "PUT", f"/v1/store/document?expect={expect}", b"by %d" % who
                )
                codes.append((code, response["revision"]))

            operators = [threading.Thread(target=change, args=(who,)) for who in range(2)]
            for one in operators:
                one.start()
            for one in operators:
                one.join(30)
            assert sorted(code for code, _ in codes) == [200, 409], (turn, codes)
            assert len({response for _, response in codes}) == 1  # both get the current revision
            revision = codes[0][1]
        writer.more(25)


def test_a_member_with_a_full_disk_reports_it_and_the_others_continue(tmp_path: Path) -> None:
    with written(tmp_path, pages={1: 24}, size=256) as (made, writer):
        wait_until(lambda: made.status(1)["fault"])
        assert "full" in made.status(1)["fault"] and made.status(1)["role"] == "stopped"
        made.leader([0, 2])
        writer.more(20)
        code, response = request_member(made.controls[1], "PUT", "/v1/store/x", b"x")
        # not unknown: nothing was written, other members may be tried
        assert code == 409 and "full" in response["error"]


def test_all_members_killed_at_once_return_with_every_change(tmp_path: Path) -> None:
    with written(tmp_path) as (made, writer):
        writer.more(30)
        for n in range(3):
            made.kill(n)
        for n in range(3):
            made.processes[n] = made.start(n)
        made.leader()
        writer.more(5)


def test_a_member_started_with_an_older_file_does_not_count_until_it_has_all_entries(tmp_path: Path) -> None:
    """The leader stays. Within 20 s of the third member's return the one with the older file has all entries;
    before that it does not count for commits, and committed entries remain after the leader is killed."""
    with written(tmp_path) as (made, writer):
        lead = made.leader()
        back, third = (n for n in range(3) if n != lead)
        writer.more(5)
        made.kill(back)
        (tmp_path / "kept").mkdir()
        for file in tmp_path.glob(f"m{back}.store*"):
            shutil.copy(file, tmp_path / "kept")
        made.processes[back] = made.start(back)
        writer.more(20)
        had = made.status(lead)["applied"]
        wait_until(lambda: made.status(back).get("applied", 0) >= had)
        made.kill(third)
        # Committed with the restarted member: it has counted, and its entries were acknowledged.
        wait_until(lambda: request_member(made.controls[lead], "PUT", "/v1/store/on-both", b"x")[0] == 200)
        made.kill(back)
        for file in tmp_path.glob(f"m{back}.store*"):
            file.unlink()
        for file in (tmp_path / "kept").iterdir():
            shutil.copy(file, tmp_path)
        made.processes[back] = made.start(back)
        wait_until(lambda: made.status(back).get("behind"))
        code, _ = request_member(made.controls[lead], "PUT", "/v1/store/on-one", b"x")
        assert code != 200 and made.status(back)["behind"]  # two of three run, one counts
        assert made.processes[back].events("store_member_behind")
        made.processes[third] = made.start(third)
        wait_until(lambda: made.status(back).get("behind") is False, 20.0)
        wait_until(lambda: made.status(back).get("applied", 0) >= had, 20.0)
        made.leader()
        writer.more(5)
        lost = made.leader()
        made.kill(lost)
        made.leader([n for n in range(3) if n != lost])
        writer.more(5)
        made.processes[lost] = made.start(lost)
        wait_until(lambda: made.status(lost).get("leader"))


def test_a_corrupt_or_foreign_file_is_rejected_at_the_start(tmp_path: Path) -> None:
    (tmp_path / "m0.store").write_bytes(b"something else entirely" * 400)
    listen, control = (f"{LISTEN}:{port}" for port in free_ports(2))
    made = Process(*member_arguments("m0", {"m0": listen}, control, tmp_path))
    try:
        made.wait_for(lambda: any("m0.store" in line and "not a database" in line for line in made.log_lines))
        assert made.popen.wait(30) == 2
    finally:
        made.end()
