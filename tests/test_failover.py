"""Verdicts on zones and regions: the hard cases of docs/failover.md, on the pure part."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow.failover import (
    EndpointOutcome,
    Evidence,
    Settings,
    ZoneHealthTracker,
    ZoneState,
    zones_to_mask,
)
from spoolbarrow.lab import failover_policy
from spoolbarrow.lab.scenario import ScenarioError, convert
from spoolbarrow.lab.simulate import Simulation
from spoolbarrow.lab.failover_policy import FailoverRouter

SETTINGS = Settings(regions={"west": ("a", "b"), "east": ("c",)})
ZONES = {"a": 8, "b": 8, "c": 8}


def listed(gone: frozenset[str] = frozenset()) -> dict[str, tuple[str, bool]]:
    return {f"{z}{n}": (z, z not in gone) for z, count in ZONES.items() for n in range(count)}


def outcomes(
    now: float, failing: dict[str, int], wait: float = 20.0, slow: str = ""
) -> tuple[EndpointOutcome, ...]:
    """Every endpoint heard from at `now`; the first `failing[zone]` of a zone fail."""
    return tuple(
        EndpointOutcome(f"{z}{n}", now, n >= failing.get(z, 0), 10 * wait if z == slow else wait)
        for z, count in ZONES.items()
        for n in range(count)
    )


def play(
    verdicts: ZoneHealthTracker,
    until: float,
    failing: dict[str, int],
    gone: frozenset[str] = frozenset(),
    start: float = 0.0,
    step: float = 100.0,
    slow: str = "",
) -> list[dict[str, ZoneState]]:
    seen = []
    now = start
    while now < until:
        told = verdicts.update(now, Evidence(listed(gone), outcomes(now, failing, slow=slow)))
        seen.append({name: v.state for name, v in told.items()})
        now += step
    return seen


def test_a_zone_lost_wholly_fails_after_confirmation_only() -> None:
    verdicts = ZoneHealthTracker(SETTINGS)
    seen = play(verdicts, 3000.0, {"a": 8})
    assert seen[0]["a"] is ZoneState.SUSPECT
    first = next(n for n, s in enumerate(seen) if s["a"] is ZoneState.FAILED)
    assert first * 100.0 == SETTINGS.confirm_ms
    assert seen[-1]["b"] is ZoneState.HEALTHY and seen[-1]["west"] is ZoneState.SUSPECT


def test_a_zone_that_discovery_lists_empty_fails_at_once() -> None:
    verdicts = ZoneHealthTracker(SETTINGS)
    assert verdicts.update(0.0, Evidence({}))["b"].state is ZoneState.HEALTHY  # no list yet: nothing known
    verdicts.update(50.0, Evidence(listed()))
    told = verdicts.update(100.0, Evidence(listed(frozenset({"b"}))))
    assert told["b"].state is ZoneState.FAILED and told["b"].load_share == 0.0
    assert told["a"].state is ZoneState.HEALTHY


def test_one_in_eight_failing_is_no_zone_fault() -> None:
    assert all(s["a"] is ZoneState.HEALTHY for s in play(ZoneHealthTracker(SETTINGS), 10000.0, {"a": 1}))


def test_a_region_lost_with_all_its_zones() -> None:
    seen = play(ZoneHealthTracker(SETTINGS), 2000.0, {"a": 8, "b": 8})
    assert seen[-1]["west"] is ZoneState.FAILED and seen[-1]["east"] is ZoneState.HEALTHY


def test_a_slow_zone_is_suspect_and_keeps_its_share() -> None:
    verdicts = ZoneHealthTracker(SETTINGS)
    play(verdicts, 1000.0, {}, slow="c")
    told = verdicts.update(1000.0, Evidence(listed(), outcomes(1000.0, {}, slow="c")))
    assert told["c"].state is ZoneState.SUSPECT and told["c"].load_share == 1.0 and "slow" in told["c"].reason


def test_routers_cut_off_apart_disagree_only_on_their_own_view() -> None:
    # A reaches zone a, B does not: B moves its own traffic, A keeps it; both by the same rule.
    a, b = ZoneHealthTracker(SETTINGS), ZoneHealthTracker(SETTINGS)
    assert play(a, 3000.0, {})[-1]["a"] is ZoneState.HEALTHY
    assert play(b, 3000.0, {"a": 8})[-1]["a"] is ZoneState.FAILED


def test_where_nothing_can_be_asked_a_return_ramps_from_its_start_to_the_whole_share() -> None:
    verdicts = ZoneHealthTracker(msgspec.structs.replace(SETTINGS, checks=False))
    play(verdicts, 2000.0, {"a": 8})
    assert not verdicts.endpoints_to_check(2000.0)
    # Failed: no traffic, so nothing is heard of it; its failures age out of the window.
    now, shares = 2000.0, []
    while now < 12000.0:
        told = verdicts.update(now, Evidence(listed()))["a"]
        shares.append((told.state, told.load_share))
        now += 100.0
    states = [s for s, _ in shares]
    assert ZoneState.RETURNING in states and states[-1] is ZoneState.HEALTHY
    ramp = [share for s, share in shares if s is ZoneState.RETURNING]
    assert ramp[0] == SETTINGS.ramp_start and ramp == sorted(ramp)


def doubts(now: float) -> Evidence:
    """Probes of zone a come to nothing in their short time; the others answer."""
    heard = outcomes(now, {})
    return Evidence(
        listed(), tuple(msgspec.structs.replace(h, ok=None) if h.endpoint[0] == "a" else h for h in heard)
    )


@pytest.mark.parametrize("answers", [False, True])
def test_a_zone_whose_probes_come_late_fails_only_where_it_does_not_answer_with_patience(
    answers: bool,
) -> None:
    verdicts, now, named = ZoneHealthTracker(SETTINGS), 0.0, set()
    seen: list[ZoneState] = []
    while now < 6000.0:
        seen.append(verdicts.update(now, doubts(now))["a"].state)
        asked = verdicts.endpoints_to_check(now)
        assert len(asked) <= SETTINGS.check_most and all(name[0] == "a" for name in asked)
        named |= set(asked)
        verdicts.update(
            now, Evidence(listed(), tuple(EndpointOutcome(n, now, answers, 900.0) for n in asked))
        )
        now += 100.0
    assert len(named) == ZONES["a"]  # in turn
    assert (ZoneState.FAILED in seen) is not answers


def test_a_failed_zone_returns_only_when_it_answers_what_it_is_asked() -> None:
    verdicts = ZoneHealthTracker(SETTINGS)
    play(verdicts, 2000.0, {"a": 8})
    now, back = 2000.0, 0.0
    while now < 20000.0:
        elsewhere = tuple(heard for heard in outcomes(now, {}) if heard.endpoint[0] != "a")
        state = verdicts.update(now, Evidence(listed(), elsewhere))["a"].state
        assert state is ZoneState.FAILED or now > 15000.0
        if state is ZoneState.RETURNING:
            back = back or now
        asked = verdicts.endpoints_to_check(now)
        well = now > 15000.0
        verdicts.update(now, Evidence(listed(), tuple(EndpointOutcome(name, now, well) for name in asked)))
        now += 100.0
    assert 0 < back - 15000.0 <= SETTINGS.window_ms + SETTINGS.check_ms


def test_a_zone_that_is_not_heard_from_is_asked_once_a_window_and_so_found_lost() -> None:
    verdicts, now, asked = ZoneHealthTracker(SETTINGS), 0.0, 0
    while now < 10000.0:  # nothing is sent anywhere
        verdicts.update(now, Evidence(listed()))
        named = verdicts.endpoints_to_check(now)
        asked += len(named)
        verdicts.update(now, Evidence(listed(), tuple(EndpointOutcome(n, now, n[0] != "c") for n in named)))
        now += 100.0
    told = verdicts.update(now, Evidence(listed()))
    assert {z: told[z].state for z in ZONES} == {
        "a": ZoneState.HEALTHY,
        "b": ZoneState.HEALTHY,
        "c": ZoneState.FAILED,
    }
    quiet = 2 * SETTINGS.check_most * 10000.0 / SETTINGS.window_ms  # of zones a and b
    assert asked <= quiet + SETTINGS.check_most * 10000.0 / SETTINGS.check_ms


def test_the_last_zone_in_service_is_never_failed() -> None:
    # Where there is one zone, or the others have failed: it would return as cold without having been out.
    seen = play(ZoneHealthTracker(SETTINGS), 8000.0, {"a": 8, "b": 8, "c": 8})
    assert all([one[zone] for zone in "abc"].count(ZoneState.FAILED) <= 2 for one in seen)
    assert seen[-1]["c"] is ZoneState.SUSPECT
    verdicts = ZoneHealthTracker(Settings())
    alone = {f"a{n}": ("a", True) for n in range(8)}
    for now in range(0, 20000, 100):
        lost = tuple(EndpointOutcome(name, float(now), int(name[1]) < 3 or now > 9000) for name in alone)
        told = verdicts.update(float(now), Evidence(alone, lost))
        assert told["a"].state in (ZoneState.HEALTHY, ZoneState.SUSPECT)
        assert zones_to_mask(told, alone) == (frozenset(), {})


def test_a_slow_zone_that_begins_to_fail_is_confirmed_first() -> None:
    verdicts = ZoneHealthTracker(SETTINGS)
    play(verdicts, 5000.0, {}, slow="a")
    seen = play(verdicts, 8000.0, {"a": 8}, start=5000.0)
    assert next(n for n, s in enumerate(seen) if s["a"] is ZoneState.FAILED) * 100.0 == SETTINGS.confirm_ms


def test_entries_of_endpoints_no_longer_listed_are_dropped() -> None:
    verdicts = ZoneHealthTracker(SETTINGS)
    verdicts.update(0.0, Evidence(listed(), outcomes(0.0, {})))
    verdicts.update(100.0, Evidence({"a0": ("a", True)}))
    assert set(verdicts._last) == {"a0"}
    verdicts.update(200.0, Evidence({"a0": ("a", True)}, (EndpointOutcome("a0", 200.0, None),)))
    verdicts.update(300.0, Evidence({"b0": ("b", True)}))
    assert not verdicts._last and not verdicts._doubted and not verdicts._checked


@settings(derandomize=True, max_examples=60, deadline=None)
@given(period=st.sampled_from([200.0, 500.0, 1000.0, 2000.0]), seconds=st.integers(30, 90))
def test_a_flapping_zone_moves_traffic_at_most_once_a_hold(period: float, seconds: int) -> None:
    verdicts = ZoneHealthTracker(SETTINGS)
    now, moves, last = 0.0, [], ZoneState.HEALTHY
    while now < seconds * 1000.0:
        down = int(now // period) % 2 == 0
        state = verdicts.update(now, Evidence(listed(), outcomes(now, {"a": 8} if down else {})))["a"].state
        if (state is ZoneState.FAILED) != (last is ZoneState.FAILED):
            moves.append(now)
        last, now = state, now + 50.0
    # Each failure during a return doubles the hold (2, 4, 8, 16, then 30 s): moves away thin out.
    away = moves[::2]
    assert all(b - a >= SETTINGS.hold_ms for a, b in pairwise(away))
    assert len(away) <= 6 + seconds * 1000.0 / SETTINGS.hold_most_ms


# On the sockets: verdicts applied to the destination set as suspensions are


def state(watch: Any, place: str) -> ZoneState:
    return watch.verdicts[place].state  # type: ignore[no-any-return]


def test_a_failed_zone_gets_no_new_work_and_returns_cold() -> None:
    from spoolbarrow import interface as i
    from spoolbarrow.net.failover import ZoneMonitor
    from spoolbarrow.operator import FailoverTable
    from tests.router_harness import ask, make_config, running_router, serve_all, wait_until

    two = make_config([])["settings"] | {"Zones": ["a", "b"]}
    with running_router(serve_all, serve_all, serve_all, settings=two) as (scene, near, other, far):
        scene.config.known.endpoints[2].zone = "b"
        scene.host.destinations.restore(scene.config.known)
        replicas = scene.host._router.pool.replicas
        wait_until(lambda: "e2" in replicas and replicas["e2"].zone == 1)
        watch = ZoneMonitor(scene.host, FailoverTable(period_ms=600_000.0, regions={"all": ["a", "b"]}))
        now = scene.host.now()
        for name in ("e0", "e1"):
            watch.probe_ended(name, i.Outcome.UNREACHABLE, 0.0)
        watch.evaluate(now)
        assert state(watch, "a") is ZoneState.SUSPECT and replicas["e0"].serving
        watch.evaluate(now + 1000.0)
        assert state(watch, "a") is ZoneState.FAILED and state(watch, "all") is ZoneState.SUSPECT
        wait_until(lambda: not replicas["e0"].serving and not replicas["e1"].serving)
        assert scene.client().send(ask()).answer().status == 200
        assert far.requests and not near.requests and not other.requests
        watch.evaluate(now + 3500.0)  # the failures aged out; the hold is over
        assert state(watch, "a") is ZoneState.RETURNING
        wait_until(lambda: replicas["e0"].serving)
        assert replicas["e0"].started_at >= now + 1000.0  # cold: rule 4's ramp takes it from here
        watch.stop()


def test_faulty_failover_settings_name_their_key(tmp_path: Path) -> None:
    from spoolbarrow import config
    from spoolbarrow.operator import read
    from spoolbarrow.subsystems import Subsystems
    from tests.router_harness import make_config

    def faults(text: str) -> list[str]:
        (tmp_path / "operator.toml").write_text(text)
        return [str(fault) for fault in read({"SPOOLBARROW_OPERATOR": str(tmp_path / "operator.toml")})[1]]

    assert faults("[failover]\nregions = {west = []}\n")[0].startswith("failover.regions")
    assert faults("[failover]\nconfirm_ms = 'soon'\n")[0].startswith("failover.confirm_ms")
    assert faults("[failover]\nhold_ms = 5000\nhold_most_ms = 100\n")[0].startswith("failover.hold_most_ms")
    (tmp_path / "operator.toml").write_text("[failover]\nregions = {west = ['a', 'x']}\n")
    operator, none = read({"SPOOLBARROW_OPERATOR": str(tmp_path / "operator.toml")})
    settings = config.parse(msgspec.json.encode(make_config([])))
    with pytest.raises(config.ConfigError, match=r"^failover\.regions\.west: x is no zone"):
        Subsystems(None, None, None, None).prepare(operator, settings)  # type: ignore[arg-type]
    assert not none


def test_check_names_a_zone_of_failover_that_the_settings_lack(tmp_path: Path) -> None:
    from tests.router_harness import make_config
    from tests.test_cli import invoke

    (tmp_path / "config.json").write_bytes(msgspec.json.encode(make_config([])))
    (tmp_path / "operator.toml").write_text("[failover]\nregions = {west = ['a'], east = ['x']}\n")
    status, output = invoke(
        "check", "--config", str(tmp_path / "config.json"), "--operator", str(tmp_path / "operator.toml")
    )
    assert status == 2
    assert output.splitlines()[0] == "operator: failover.regions.east: x is no zone of the settings"


def test_outcomes_beyond_the_bound_are_dropped_and_told(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    from spoolbarrow import interface as i
    from spoolbarrow.net import failover
    from spoolbarrow.operator import FailoverTable
    from tests.router_harness import running_router, serve_all

    monkeypatch.setattr(failover, "MAX_OUTCOMES", 1)
    with running_router(serve_all) as (scene, _):
        watch = failover.ZoneMonitor(scene.host, FailoverTable(period_ms=600_000.0))
        for _ in range(3):
            watch.probe_ended("e0", i.Outcome.SERVED, 1.0)
        watch.evaluate(scene.host.now())
        watch.stop()
    assert watch.dropped == 2 and '"event":"failover_dropped","outcomes":2' in capfd.readouterr().err


DAY: dict[str, Any] = {
    "name": "zones",
    "length_s": 16.0,
    "zones": 3,
    "routers": 9,
    "engines": 24,
    "classes": {"ask": {"aim_ms": 1500.0, "deadline_ms": 5000.0}},
}


@pytest.mark.parametrize("trouble", ["vanish", "hang"])
def test_in_the_lab_every_router_fails_a_lost_zone_in_time_and_takes_it_back(trouble: str) -> None:
    lost = {"name": trouble, "zone": 1, "part": 1.0, "begin_s": 4.0, "length_s": 5.0}
    simulation = Simulation(convert({**DAY, "troubles": [lost]}), "failover", 3)
    report = simulation.play()
    assert not report["rules_broken"]
    for node in simulation.routers.all:
        assert isinstance(node.policy, FailoverRouter)
        changes = node.policy.changes
        assert {zone for _, zone, state in changes if state is ZoneState.FAILED} == {"1"}
        at = next(now for now, _, state in changes if state is ZoneState.FAILED) - 4000.0
        checked = 1000.0 + SETTINGS.check_ms
        assert at <= SETTINGS.window_ms + checked + SETTINGS.confirm_ms + 2 * failover_policy.UPDATE_PERIOD_MS
        assert [state for _, zone, state in changes if zone == "1"][-1] in (
            ZoneState.RETURNING,
            ZoneState.HEALTHY,
        )


def test_a_trouble_of_a_zone_that_is_none_names_its_key() -> None:
    with pytest.raises(ScenarioError, match=r"troubles\[0\].zone"):
        convert({**DAY, "troubles": [{"name": "hang", "begin_s": 1.0, "zone": 3}]})
