"""Cold starts of sixteen routers with a fault each: what every process must have seen, and by when.

Each class starts all processes once: its first fault occurs at the start, and a second one is run on the same
processes. Bounds are two to three times what an idle machine needs, since it may be busy. With every fault:
no router logged `unexpected`, no engine crashed, each router knows the latest list at the end and has served,
rejections carry `Retry-After` and came at once, and the service and the routers agree on the number of calls.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, repeat
from pathlib import Path
from typing import Any

import pytest

from spoolbarrow.fleet.documents import SUSPENSIONS_KEY
from spoolbarrow.lab import fault_script
from spoolbarrow.lab.cluster import TRUNCATED, Cluster
from spoolbarrow.lab.fault_script import SCRIPTS, cluster_options, run_script

ROUTERS, ENGINES = 16, 6
RATE = 8.0  # calls per second: one call of each router takes 2 s in total
MAX_REJECTION_MS = 2500  # half of a request's time budget: a rejection can't have waited for a list
KNOWN_S = 10.0  # after the fault: the longest pause (2 s), 2 s of calls, and slack
SERVED_S = 6.0  # from the start to a router's first response, with a known list
PAUSES_S = (0.5, 1.0)  # minimum pauses between failed calls; the last one repeats


def max_failed_calls(seconds: float) -> int:
    """Maximum number of immediately failing calls of a router in this time, and one more."""
    calls, at = 1, 0.0
    for pause in chain(PAUSES_S, repeat(PAUSES_S[-1])):
        at += pause
        if at > seconds:
            return calls + 1
        calls += 1
    raise AssertionError


class Start:
    """The processes of one start."""

    def __init__(self, folder: Path, name: str, pace: float, rate: float = RATE) -> None:
        options = cluster_options(SCRIPTS[name], ENGINES, rate, ROUTERS)
        self.made = Cluster(folder, {"a": ENGINES}, ["a"] * ROUTERS, **options)
        try:
            self.made.prepare()
            self.found = self.play(name, pace, begin=True)
        except BaseException:
            self.made.end(kill=True)
            raise

    def play(self, name: str, pace: float, begin: bool = False) -> dict[str, Any]:
        """Run a fault and check what must hold for every one; its results."""
        found = run_script(self.made, SCRIPTS[name], pace, begin=begin)
        about = fault_script.format_results(name, found)
        assert fault_script.passed(found) and not found["events_missed"], about
        assert found["unexpected"] == found["retry_after_missing"] == 0, about
        for one in found["of_routers"].values():
            assert one["answers"].get("200", 0) > 0 and one["slowest_refused_ms"] < MAX_REJECTION_MS, about
        assert found["service"]["calls"] == sum(one["calls"] for one in found["of_routers"].values())
        assert sum(found["goodput"]) == sum(one["answers"]["200"] for one in found["of_routers"].values())
        return found


@pytest.fixture(scope="class")
def start(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Start]:
    """The class's processes, after its first fault."""
    made = Start(tmp_path_factory.mktemp("cold"), *request.cls.FIRST)
    try:
        yield made
    finally:
        made.made.end(kill=True)


def answers(found: dict[str, Any], *but: int) -> set[str]:
    """Statuses that clients got from all routers except these."""
    left = [one for name, one in found["of_routers"].items() if int(name[1:]) not in but]
    return set(chain.from_iterable(one["answers"] for one in left))


def calls(found: dict[str, Any], *but: int, before: dict[str, Any] | None = None) -> list[int]:
    """Calls to the list service of each router except these, without those after an idle watch.

    Messages come every 2 s, and a watch counts as idle after 2.5 s: a busy machine can delay them that long.
    `before`: the results of the previous script on the same processes, which has idle watches of its own.
    """

    def idle_watches(account: dict[str, Any] | None, name: str) -> int:
        return account["of_routers"][name]["why"].get("silent", 0) if account else 0

    return [
        one["calls"] - idle_watches(found, name) + idle_watches(before, name)
        for name, one in found["of_routers"].items()
        if int(name[1:]) not in but
    ]


class TestDownAtStart:
    FIRST = "down-at-start", 0.12

    def test_service_down_for_the_first_3_s(self, start: Start) -> None:
        # Bound: KNOWN_S after it is back. Until then each router rejected requests; it needs one call.
        found = start.found
        assert found["known_after_last_step_s"] < KNOWN_S
        assert answers(found) <= {"200", "503"} and "503" in answers(found)
        assert max(calls(found)) <= 2

    def test_service_down_for_1500_ms_with_all_watches_open(self, start: Start) -> None:
        # Bound: KNOWN_S after it is back. Each router's watch broke, and it served throughout.
        before = start.found["of_routers"]
        found = start.play("outage", 0.3)
        assert found["known_after_last_step_s"] < KNOWN_S and answers(found) == {"200"}
        for name, one in found["of_routers"].items():
            assert one["watches_broken"] > before[name]["watches_broken"] and one["serving"] == ENGINES
        assert max(calls(found, before=start.found)) <= 3


class TestHalfFail:
    FIRST = "half-fail", 0.25

    def test_503_for_half_of_the_calls_of_the_first_5_s(self, start: Start) -> None:
        # Bound: KNOWN_S after that. Each router needed one successful call, and paused after failed ones.
        found = start.found
        assert found["known_after_last_step_s"] < KNOWN_S and answers(found) <= {"200", "503"}
        assert found["service"]["failed"] >= ROUTERS / 2
        for one in found["of_routers"].values():
            assert one["calls"] <= max_failed_calls(found["known_s"])

    def test_all_watches_idle_for_4_s_while_an_engine_leaves(self, start: Start) -> None:
        # Bound: 6 s, the idle timeout, after messages resume, and 2 s of slack. Each router detected it,
        # called again no faster than the idle timeout, kept serving, and knows that the engine has left.
        before = start.found["of_routers"]
        found = start.play("silent-watches", 0.5)
        assert found["known_after_last_step_s"] < 8.0 and answers(found) == {"200"}
        for name, one in found["of_routers"].items():
            assert one["watches_broken"] > before[name]["watches_broken"] and one["serving"] == ENGINES - 1
        assert max(one["calls"] for one in found["of_routers"].values()) <= 5


class TestHalfAnswer:
    FIRST = "half-answer", 0.4

    def test_responses_that_stop_half_way_for_the_first_4_s(self, start: Start) -> None:
        # Bound: KNOWN_S after that. No router used half a list: none served until then.
        found = start.found
        assert found["known_after_last_step_s"] < KNOWN_S and answers(found) <= {"200", "503"}
        assert min(one["first_served_s"] for one in found["of_routers"].values()) > 3.9
        assert max(one["calls"] for one in found["of_routers"].values()) <= 6

    def test_a_router_is_killed_every_2_s(self, start: Start) -> None:
        # Bound: KNOWN_S after the last kill. All others kept serving and made no further calls.
        found = start.play("crash-loop", 1.0)
        assert found["known_after_last_step_s"] < KNOWN_S
        assert answers(found, 0) == {"200"} and set(calls(found, 0, before=start.found)) == {0}
        assert 2 <= found["of_routers"]["r0"]["calls"] <= 2 * len(SCRIPTS["crash-loop"].steps)


class TestTenthCut:
    FIRST = "tenth-cut", 0.4

    def test_a_tenth_of_the_routers_cut_off_for_the_first_4_s(self, start: Start) -> None:
        # Bounds: SERVED_S for the others, KNOWN_S after the end for the two cut off, which rejected until
        # then.
        found, cut = start.found, (0, 1)
        assert found["known_after_last_step_s"] < KNOWN_S and answers(found) <= {"200", "503"}
        for n in range(ROUTERS):
            one = found["of_routers"][f"r{n}"]
            assert one["first_list_s"] < SERVED_S or n in cut
            assert n not in cut or (one["first_served_s"] > 3.9 and one["answers"]["503"] > 0)
        assert len(cut) <= found["service"]["reset"] <= len(cut) * max_failed_calls(found["known_s"])
        assert max(calls(found)) <= 4

    def test_sighup_to_all_at_once(self, start: Start) -> None:
        # Bound: KNOWN_S. Each router loaded the new file, requested list and watch once, and kept serving.
        # The service is fast enough that no call waits for 2 s, which would start another one beside it.
        start.made.service.send_command(f"rate {2 * RATE}")
        found = start.play("hang-up", 1.0)
        assert found["known_after_last_step_s"] < KNOWN_S and answers(found) == {"200"}
        assert all(one["reloaded"] == 1 for one in found["of_routers"].values())
        assert set(calls(found, before=start.found)) == {2} and found["service"]["failed"] == 0
        assert found["service"]["lines"] == ROUTERS * ENGINES


class TestRestartFull:
    FIRST = "restart-full", 1.0, 6.0  # calls per second: slightly less than the timeout allows for

    def test_service_restarted_while_its_queue_is_full(self, start: Start) -> None:
        # Bound: KNOWN_S after that. Routers with queued calls call again, and have the list within two more.
        found = start.found
        assert found["known_after_last_step_s"] < KNOWN_S and answers(found) <= {"200", "503"}
        assert ROUTERS + fault_script.MIN_QUEUED_CALLS <= found["service"]["calls"] <= 3 * ROUTERS
        assert max(calls(found)) <= 4


class TestThirdGone:
    FIRST = "third-gone", 1.0

    def test_a_third_of_the_known_list_is_removed(self, start: Start) -> None:
        # Bounds: KNOWN_S for the list, SERVED_S for the first response. Each router has the four remaining
        # engines after one call for the changes, and no client was affected.
        found = start.found
        assert found["known_s"] < KNOWN_S and answers(found) == {"200"}
        for one in found["of_routers"].values():
            assert one["serving"] == 4 and one["first_served_s"] < SERVED_S
        assert set(calls(found)) == {1}
        work = [engine["work"]["sum"] for engine in found["of_engines"].values()]
        # removed engines got nothing: they refuse connections
        assert work[:2] == [0.0, 0.0] and min(work[2:]) > 0

    def test_all_routers_are_killed_and_restarted_at_once(self, start: Start) -> None:
        # Bound: KNOWN_S after they are up. Each router made one call: it started with an old list again.
        found = start.play("all-killed", 1.0)
        assert found["known_after_last_step_s"] < KNOWN_S
        # requests in flight, and those sent while no router listened
        assert answers(found) <= {
            "200",
            "0",
            str(TRUNCATED),
        }
        assert set(calls(found)) == {1} and found["service"]["failed"] == 0


class TestAllCold:
    FIRST = "all-cold", 1.0

    def test_all_routers_and_all_engines_start_at_once(self, start: Start) -> None:
        # Bounds: KNOWN_S for the list; 8 s for the first response of three quarters of the routers, during
        # the engines' slow start (10 s); 12 s for all.
        found = start.found
        assert found["known_s"] < KNOWN_S and answers(found) <= {"200", "503"}
        first = sorted(one["first_served_s"] for one in found["of_routers"].values())
        assert first[ROUTERS * 3 // 4 - 1] < 8.0 and first[-1] < 12.0 and max(calls(found)) <= 2
        assert all(engine["work"]["sum"] > 0 for engine in found["of_engines"].values())


class TestNoLeader:
    FIRST = "no-leader", 0.6

    def test_store_without_a_leader_for_the_first_3_s(self, start: Start) -> None:
        # Bounds: KNOWN_S for the list and SERVED_S for the first response, with or without a leader; KNOWN_S
        # after the members are back each router acts on what is then written.
        found, members = start.found, start.made.members
        assert found["known_s"] < 3.0 + KNOWN_S and answers(found) == {"200"} and members is not None
        for one in found["of_routers"].values():
            assert one["first_served_s"] < SERVED_S
        assert set(calls(found)) == {1}
        members.leader()
        assert members.put(SUSPENSIONS_KEY, b'["e5"]') > 0
        for router in start.made.routers:
            router.wait_for(
                lambda router=router: any(  # type: ignore[misc]
                    one["key"] == SUSPENSIONS_KEY and one["mode"] == "committed"
                    for one in router.events("fleet_shared")
                ),
                KNOWN_S,
            )
