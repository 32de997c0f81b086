"""Agreement on versions between five router processes, whose files and lists change on some only.

Each case waits for what the routers report, and ends with each request answered once."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from spoolbarrow.cli import run
from spoolbarrow.lab.cluster import LISTEN, Cluster, Load, cluster
from tests.router_harness import wait_until

ALL = range(5)


def operator(revision: int, more: str = "") -> str:
    return f"[agree]\nrevision = {revision}\nwithin_s = 0.001\nperiod_ms = 20\n{more}"


@contextmanager
def cluster_under_load(tmp: Path) -> Iterator[Cluster]:
    with cluster(tmp, {"a": 2, "b": 2}, ["a", "a", "a", "b", "b"], operator(1)) as made:
        load = Load(made)
        try:
            yield made
        finally:
            load.stop()
        answered = [one for one in load.answers if one.router not in made.killed_routers]
        assert answered and {one.status for one in answered} <= {200, 503}
        assert load.retry_after_missing == 0


def write(made: Cluster, text: str, routers: Any = ALL) -> None:
    for n in routers:
        (made.folder / f"operator{n}.toml").write_text(text)


def agree(made: Cluster, what: str, capsys: pytest.CaptureFixture[str]) -> tuple[int, str]:
    """`spoolbarrow agree WHAT` for all routers: its exit status and output."""
    capsys.readouterr()
    status = run(["agree", what, *(f"{LISTEN}:{port}" for port in made.controls)])
    return status, capsys.readouterr().out


def versions(made: Cluster, number: int) -> dict[str, Any]:
    found: dict[str, Any] = made.control(number, "versions")["versions"]
    return found


def test_a_change_is_adopted_by_all_or_by_none(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with cluster_under_load(tmp_path) as made:
        wait_until(lambda: agree(made, "status", capsys)[0] == 0)  # lists arrive one after another
        before = [versions(made, n) for n in ALL]

        # The change is invalid on one router: rejected everywhere, naming the key.
        write(made, operator(2, "[log]\nlevel = 'debug'\n"))
        write(made, operator(2, "[log]\nlevel = 'loud'\n"), [3])
        status, output = agree(made, "apply", capsys)
        assert status == 1 and "log.level" in output and "nothing is changed" in output
        # Two different changes under one revision: neither is adopted.
        write(made, operator(2, "[log]\nlevel = 'warning'\n"), [3, 4])
        status, output = agree(made, "apply", capsys)
        assert status == 1 and "the files differ" in output and "nothing is changed" in output
        assert [versions(made, n) for n in ALL] == before

        # Valid and equal on all: adopted by all.
        write(made, operator(2))
        status, output = agree(made, "apply", capsys)
        assert status == 0 and "operator: all 5 act on 2 " in output
        assert all(versions(made, n)["operator"]["number"] == 2 for n in ALL)

        # The file has changed since it was checked: rejected.
        checked = made.control(0, "settings/check")["files"]
        write(made, operator(3), [0])
        with pytest.raises(OSError, match="409"):
            made.control(0, f"settings/adopt/{checked}", "POST")
        assert versions(made, 0)["operator"]["number"] == 2


def test_routers_with_other_files_are_reported_and_a_revision_is_never_reused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with cluster_under_load(tmp_path) as made:
        wait_until(lambda: agree(made, "status", capsys)[0] == 0)
        write(made, operator(2), [1, 4])  # two routers are reloaded by hand, the others are not
        for n in (1, 4):
            made.routers[n].popen.send_signal(signal.SIGHUP)
            made.routers[n].wait_for(lambda n=n: bool(made.routers[n].events("reloaded")))  # type: ignore[misc]
        status, output = agree(made, "status", capsys)
        assert status == 1 and "operator: contradict for" in output
        old, new = sorted(line.split(": ", 1)[1] for line in output.splitlines() if line.startswith("  "))
        assert [name.split()[0] for name in (old + ", " + new).split(", ")] == ["r0", "r2", "r3", "r1", "r4"]
        for text in (operator(2, "[log]\nlevel = 'debug'\n"), operator(1)):
            write(made, text, [1])
            seen = len(made.routers[1].events("reload_failed"))
            made.routers[1].popen.send_signal(signal.SIGHUP)
            made.routers[1].wait_for(lambda s=seen: len(made.routers[1].events("reload_failed")) > s)  # type: ignore[misc]
            assert "agree.revision" in made.routers[1].events("reload_failed")[-1]["error"]
        write(made, operator(2))
        assert agree(made, "apply", capsys)[0] == 0


def test_a_router_cut_off_from_discovery_reports_the_older_list_until_it_is_back(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with cluster_under_load(tmp_path) as made:
        wait_until(lambda: agree(made, "status", capsys)[0] == 0)
        gate = [len(made.engine_names) * len(made.ports) + 2]  # the listener of router 2's discovery
        made.fault("drop", gate)
        made.unlisted.add(0)
        made.publish_list()
        others = [0, 1, 3, 4]
        wait_until(lambda: all(versions(made, n)["list"]["number"] == made.list_version for n in others))
        status, output = agree(made, "status", capsys)
        assert status == 1 and "list: contradict for" in output
        (older,) = [line for line in output.splitlines() if line.startswith("  1 ")]
        assert "r2 (" in older and "," not in older
        made.fault("pass", gate)
        wait_until(lambda: agree(made, "status", capsys)[0] == 0)


def test_suspensions_of_some_routers_only_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with cluster_under_load(tmp_path) as made:
        wait_until(lambda: agree(made, "status", capsys)[0] == 0)
        for n in ALL[:3]:
            made.control(n, "engines/e1/suspend", "POST")
        status, output = agree(made, "status", capsys)
        assert status == 1 and "suspensions: contradict for" in output
        for n in ALL[3:]:
            made.control(n, "engines/e1/suspend", "POST")
        made.control(0, "router/drain", "POST")  # local to one router: reported, but no contradiction
        status, output = agree(made, "status", capsys)
        assert status == 0 and "drained by hand: r0" in output


def test_a_router_killed_during_a_change_adopts_it_after_its_restart(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with cluster_under_load(tmp_path) as made:
        wait_until(lambda: agree(made, "status", capsys)[0] == 0)
        write(made, operator(2))
        checked = {made.control(n, "settings/check")["files"] for n in ALL}
        assert len(checked) == 1
        made.kill_router(4)
        status, output = agree(made, "apply", capsys)
        assert status == 1 and "no answer" in output and "nothing is changed" in output
        for n in ALL[:4]:  # as by an operator who checked before it died
            made.control(n, f"settings/adopt/{next(iter(checked))}", "POST")
        made.routers[4] = made.start_router(4)
        made.routers[4].wait_for(lambda: bool(made.routers[4].events("destinations")))
        wait_until(lambda: agree(made, "status", capsys)[0] == 0)
        assert all(versions(made, n)["operator"]["number"] == 2 for n in ALL)
        events = [json.loads(line) for line in made.routers[4].log_lines if '"version"' in line]
        assert {one["item"] for one in events} >= {"settings", "shares", "operator", "list", "suspensions"}
