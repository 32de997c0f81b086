"""Failover with five router processes and engines in three zones and two regions; faults come from the proxy.

Each case waits for events, never for a time, and ends with each request answered once: 200, or 503 with
`Retry-After`; a stream that a fault resets is also truncated for its client."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from spoolbarrow.lab.cluster import TRUNCATED, Cluster, Load, Process, cluster

ZONES = {"a": 4, "b": 4, "c": 4}
ROUTERS = ["a", "a", "b", "b", "c"]
ALL = range(len(ROUTERS))
OPERATOR = "[failover]\nregions = {west = ['a', 'b'], east = ['c']}\nperiod_ms = 50\nramp_ms = 1500\n"


@contextmanager
def cluster_under_load(tmp: Path, operator: str = OPERATOR, faults: int = 1) -> Iterator[Cluster]:
    """A cluster under load; each of the `faults` may truncate the current stream of each client."""
    with cluster(tmp, ZONES, ROUTERS, operator) as made:
        load = Load(made)
        try:
            yield made
        finally:
            load.stop()
        statuses = load.statuses()
        assert statuses.keys() <= {200, 503, TRUNCATED} and statuses[200] > 50, statuses
        assert statuses[TRUNCATED] <= faults * len(ROUTERS), statuses
        assert load.retry_after_missing == 0
        assert not [line for router in made.routers for line in router.log_lines if '"unexpected"' in line]


def asked(router: Process) -> int:
    return len(router.events("request"))


def more_requests(made: Cluster, count: int) -> None:
    """Wait until each router has answered `count` more requests."""
    for router in made.routers:
        until = asked(router) + count
        router.wait_for(lambda r=router, u=until: asked(r) >= u)  # type: ignore[misc]


def never_failed(made: Cluster, *places: str) -> None:
    for n in ALL:
        for place in places:
            assert "failed" not in made.states(n, place), made.routers[n].events("failover")


@pytest.mark.parametrize("fault", ["reset", "drop", "oneway"])
def test_a_lost_zone_fails_at_every_router_and_returns_at_every_router(tmp_path: Path, fault: str) -> None:
    with cluster_under_load(tmp_path) as made:
        gates = made.gates(made.of_zone["a"])
        made.fault(fault, gates)
        made.wait_state(ALL, "a", "failed")
        more_requests(made, 10)  # served elsewhere meanwhile
        made.fault("pass", gates)
        made.wait_state(ALL, "a", "healthy")
        never_failed(made, "b", "c", "east")


def test_a_slow_zone_is_never_failed(tmp_path: Path) -> None:
    with cluster_under_load(tmp_path) as made:
        made.fault("delay 250", made.gates(made.of_zone["a"]))
        more_requests(made, 15)
        never_failed(made, "a", "b", "c")
        for router in made.routers:
            suspicions = [
                e for e in router.events("failover") if e["place"] == "a" and e["state"] == "suspect"
            ]
            assert all("slow" in e["reason"] for e in suspicions), suspicions


def test_a_zone_cut_off_from_some_routers_moves_only_their_traffic(tmp_path: Path) -> None:
    with cluster_under_load(tmp_path) as made:
        made.fault("reset", made.gates(made.of_zone["a"], [0]))  # router 1 in the same zone still reaches it
        made.wait_state([0], "a", "failed")
        before = made.counts()
        more_requests(made, 15)
        sent = [
            after["asked"].get("r1", 0) - past["asked"].get("r1", 0)
            for after, past in zip(made.counts(), before, strict=True)
        ]
        near = sum(sent[n] for n in made.of_zone["a"])
        assert near >= 0.9 * sum(sent), sent  # the zone's other router keeps its traffic there
        assert made.control(0, "zones")["zones"]["a"]["state"] in ("failed", "returning")
        for n in (1, 2, 3, 4):
            assert "failed" not in made.states(n, "a"), made.routers[n].events("failover")


def test_a_majority_fails_a_zone_that_one_router_still_reaches(tmp_path: Path) -> None:
    with cluster_under_load(tmp_path, OPERATOR + "hold_ms = 30000\n") as made:
        made.fault("reset", made.gates(made.of_zone["c"], [0, 1, 2, 3]))
        made.wait_state([0, 1, 2, 3], "c", "failed")
        more_requests(made, 5)
        assert "failed" not in made.states(4, "c")


def test_a_flapping_zone_moves_traffic_once_per_hold_time(tmp_path: Path) -> None:
    # The zone is lost, and back before or just after the router has returned to it: there is at most one move
    # away per hold time, which doubles with each loss during a return.
    settings = OPERATOR + "hold_ms = 400\nhold_most_ms = 8000\nconfirm_ms = 200\nwindow_ms = 500\n"
    with cluster_under_load(tmp_path, settings, faults=3) as made:
        gates = made.gates(made.of_zone["a"])
        for _ in range(3):
            made.fault("reset", gates)
            more_requests(made, 6)
            made.fault("pass", gates)
            more_requests(made, 6)
        made.wait_state([0, 1], "a", "returning")
        for n in (0, 1):
            failed = [
                e
                for e in made.routers[n].events("failover")
                if e["place"] == "a" and e["state"] in ("failed", "returning")
            ]
            times: list[float] = [e["time"] for e in failed if e["state"] == "failed"]
            back: list[float] = [e["time"] for e in failed if e["state"] == "returning"]
            for nth, (out, again) in enumerate(zip(times, back, strict=False)):
                # a hold time, minus a period and the log's rounding
                assert again - out >= 0.35, (
                    nth,
                    failed,
                )
            assert len(times) <= 3, failed


def test_one_failing_engine_in_four_does_not_fail_a_zone(tmp_path: Path) -> None:
    with cluster_under_load(tmp_path) as made:
        made.fault("reset", made.gates([made.of_zone[zone][0] for zone in ZONES]))
        more_requests(made, 20)
        never_failed(made, "a", "b", "c")


def test_a_lost_region_fails_and_its_traffic_goes_to_the_other(tmp_path: Path) -> None:
    with cluster_under_load(tmp_path) as made:
        west = made.of_zone["a"] + made.of_zone["b"]
        made.fault("reset", made.gates(west))
        made.wait_state(ALL, "west", "failed")
        before = made.counts()
        more_requests(made, 10)
        sent = [
            sum(after["asked"].values()) - sum(past["asked"].values())
            for after, past in zip(made.counts(), before, strict=True)
        ]
        assert sum(sent[n] for n in made.of_zone["c"]) >= 50 and not any(sent[n] for n in west)
        made.fault("pass", made.gates(west))
        made.wait_state(ALL, "west", "healthy")
        never_failed(made, "c", "east")


def test_a_zone_that_discovery_lists_empty_fails_everywhere_and_returns_everywhere(tmp_path: Path) -> None:
    with cluster_under_load(tmp_path) as made:
        more_requests(made, 1)  # all have seen it in service: a zone that was never listed does not fail
        made.unlisted |= set(made.of_zone["a"])
        made.publish_list()
        made.wait_state(ALL, "a", "failed")
        more_requests(made, 5)
        made.unlisted.clear()
        made.publish_list()
        made.wait_state(ALL, "a", "healthy")
        never_failed(made, "b", "c")


def test_requests_beyond_all_capacity_are_rejected_at_once_and_served_again_later(tmp_path: Path) -> None:
    with cluster_under_load(tmp_path) as made:

        def answers(n: int, how: str, since: int = 0) -> int:
            requests = made.routers[n].events("request")[since:]
            return sum(one["answer"] == how for one in requests)

        made.fault("reset", made.gates(made.of_zone["a"]))
        made.wait_state(ALL, "a", "failed")
        for engine in made.of_zone["b"]:
            made.engines.send_command(f"{engine} full 1")
        more_requests(made, 10)  # the third zone serves the requests
        for engine in made.of_zone["c"]:
            made.engines.send_command(f"{engine} full")
        for n in ALL:
            made.routers[n].wait_for(lambda n=n: answers(n, "fail_fast") >= 5)  # type: ignore[misc]
            refused = [e for e in made.routers[n].events("request") if e["answer"] == "fail_fast"]
            # MaxAttempts: no retry storm on full zones
            assert all(len(one["attempts"]) <= 3 for one in refused)
        never_failed(made, "b", "c")  # `full` is a valid response
        for engine in made.of_zone["b"] + made.of_zone["c"]:
            made.engines.send_command(f"{engine} well")
        for n in ALL:
            seen = asked(made.routers[n])
            made.routers[n].wait_for(lambda n=n, s=seen: answers(n, "served", s) >= 5)  # type: ignore[misc]
