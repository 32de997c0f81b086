"""Tests of verdicts on zones and regions: the hard cases of docs/failover.md, mostly without sockets."""

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
from spoolbarrow.lab.failover_policy import FailoverRouter
from spoolbarrow.lab.scenario import ScenarioError, convert
from spoolbarrow.lab.simulate import Simulation

SETTINGS = Settings(regions={"west": ("a", "b"), "east": ("c",)})
ZONES = {"a": 8, "b": 8, "c": 8}


def listed(gone: frozenset[str] = frozenset()) -> dict[str, tuple[str, bool]]:
    return {f"{z}{n}": (z, z not in gone) for z, count in ZONES.items() for n in range(count)}


def outcomes(
    now: float, failing: dict[str, int], wait: float = 20.0, slow: str = ""
) -> tuple[EndpointOutcome, ...]:
    """An outcome of every endpoint at `now`; the first `failing[zone]` of a zone fail."""
    return tuple(
        EndpointOutcome(f"{z}{n}", now, n >= failing.get(z, 0), 10 * wait if z == slow else wait)
        for z, count in ZONES.items()
        for n in range(count)
    )


def play(
    tracker: ZoneHealthTracker,
    until: float,
    failing: dict[str, int],
    gone: frozenset[str] = frozenset(),
    start: float = 0.0,
    step: float = 100.0,
    slow: str = "",
) -> list[dict[str, ZoneState]]:
    states = []
    now = start
    while now < until:
        verdicts = tracker.update(now, Evidence(listed(gone), outcomes(now, failing, slow=slow)))
        states.append({name: v.state for name, v in verdicts.items()})
        now += step
    return states


def test_a_lost_zone_fails_only_after_confirmation() -> None:
    tracker = ZoneHealthTracker(SETTINGS)
    states = play(tracker, 3000.0, {"a": 8})
    assert states[0]["a"] is ZoneState.SUSPECT
    failed_at = next(step for step, state in enumerate(states) if state["a"] is ZoneState.FAILED)
    assert failed_at * 100.0 == SETTINGS.confirm_ms
    assert states[-1]["b"] is ZoneState.HEALTHY and states[-1]["west"] is ZoneState.SUSPECT


def test_a_zone_that_discovery_lists_empty_fails_at_once() -> None:
    tracker = ZoneHealthTracker(SETTINGS)
    assert tracker.update(0.0, Evidence({}))["b"].state is ZoneState.HEALTHY  # no list yet
    tracker.update(50.0, Evidence(listed()))
    verdicts = tracker.update(100.0, Evidence(listed(frozenset({"b"}))))
    assert verdicts["b"].state is ZoneState.FAILED and verdicts["b"].load_share == 0.0
    assert verdicts["a"].state is ZoneState.HEALTHY


def test_one_of_eight_endpoints_failing_is_no_zone_fault() -> None:
    assert all(
        states["a"] is ZoneState.HEALTHY for states in play(ZoneHealthTracker(SETTINGS), 10000.0, {"a": 1})
    )


def test_a_region_fails_with_all_its_zones() -> None:
    states = play(ZoneHealthTracker(SETTINGS), 2000.0, {"a": 8, "b": 8})
    assert states[-1]["west"] is ZoneState.FAILED and states[-1]["east"] is ZoneState.HEALTHY


def test_a_slow_zone_is_suspect_and_keeps_its_share() -> None:
    tracker = ZoneHealthTracker(SETTINGS)
    play(tracker, 1000.0, {}, slow="c")
    verdicts = tracker.update(1000.0, Evidence(listed(), outcomes(1000.0, {}, slow="c")))
    assert (
        verdicts["c"].state is ZoneState.SUSPECT
        and verdicts["c"].load_share == 1.0
        and "slow" in verdicts["c"].reason
    )


def test_partitioned_routers_judge_by_their_own_view() -> None:
    # Router A reaches zone a, B does not: B moves its traffic away, A does not, by the same rule.
    a, b = ZoneHealthTracker(SETTINGS), ZoneHealthTracker(SETTINGS)
    assert play(a, 3000.0, {})[-1]["a"] is ZoneState.HEALTHY
    assert play(b, 3000.0, {"a": 8})[-1]["a"] is ZoneState.FAILED


def test_without_checks_a_return_ramps_from_its_start_to_the_full_share() -> None:
    tracker = ZoneHealthTracker(msgspec.structs.replace(SETTINGS, checks=False))
    play(tracker, 2000.0, {"a": 8})
    assert not tracker.endpoints_to_check(2000.0)
    # A failed zone gets no traffic, so its failures age out of the window.
    now, shares = 2000.0, []
    while now < 12000.0:
        verdict = tracker.update(now, Evidence(listed()))["a"]
        shares.append((verdict.state, verdict.load_share))
        now += 100.0
    states = [s for s, _ in shares]
    assert ZoneState.RETURNING in states and states[-1] is ZoneState.HEALTHY
    ramp = [share for s, share in shares if s is ZoneState.RETURNING]
    assert ramp[0] == SETTINGS.ramp_start and ramp == sorted(ramp)


def evidence_with_timeouts(now: float) -> Evidence:
    """Probes of zone a time out after their short time; the other zones answer."""
    all_outcomes = outcomes(now, {})
    return Evidence(
        listed(),
        tuple(
            msgspec.structs.replace(outcome, ok=None) if outcome.endpoint[0] == "a" else outcome
            for outcome in all_outcomes
        ),
    )


@pytest.mark.parametrize("answers", [False, True])
def test_a_zone_with_late_probes_fails_only_if_it_does_not_answer_longer_checks(
    answers: bool,
) -> None:
    tracker, now, checked_names = ZoneHealthTracker(SETTINGS), 0.0, set()
    states: list[ZoneState] = []
    while now < 6000.0:
        states.append(tracker.update(now, evidence_with_timeouts(now))["a"].state)
        checked = tracker.endpoints_to_check(now)
        assert len(checked) <= SETTINGS.check_most and all(name[0] == "a" for name in checked)
        checked_names |= set(checked)
        tracker.update(
            now, Evidence(listed(), tuple(EndpointOutcome(n, now, answers, 900.0) for n in checked))
        )
        now += 100.0
    assert len(checked_names) == ZONES["a"]  # each endpoint in turn
    assert (ZoneState.FAILED in states) is not answers


def test_a_failed_zone_returns_only_when_it_answers_checks() -> None:
    tracker = ZoneHealthTracker(SETTINGS)
    play(tracker, 2000.0, {"a": 8})
    now, returned_at = 2000.0, 0.0
    while now < 20000.0:
        elsewhere = tuple(outcome for outcome in outcomes(now, {}) if outcome.endpoint[0] != "a")
        state = tracker.update(now, Evidence(listed(), elsewhere))["a"].state
        assert state is ZoneState.FAILED or now > 15000.0
        if state is ZoneState.RETURNING:
            returned_at = returned_at or now
        checked = tracker.endpoints_to_check(now)
        ok = now > 15000.0
        tracker.update(now, Evidence(listed(), tuple(EndpointOutcome(name, now, ok) for name in checked)))
        now += 100.0
    assert 0 < returned_at - 15000.0 <= SETTINGS.window_ms + SETTINGS.check_ms


def test_a_zone_without_outcomes_is_checked_once_a_window_and_found_lost() -> None:
    tracker, now, checks = ZoneHealthTracker(SETTINGS), 0.0, 0
    while now < 10000.0:  # no requests are sent
        tracker.update(now, Evidence(listed()))
        checked = tracker.endpoints_to_check(now)
        checks += len(checked)
        tracker.update(now, Evidence(listed(), tuple(EndpointOutcome(n, now, n[0] != "c") for n in checked)))
        now += 100.0
    verdicts = tracker.update(now, Evidence(listed()))
    assert {z: verdicts[z].state for z in ZONES} == {
        "a": ZoneState.HEALTHY,
        "b": ZoneState.HEALTHY,
        "c": ZoneState.FAILED,
    }
    routine_checks = 2 * SETTINGS.check_most * 10000.0 / SETTINGS.window_ms  # checks of zones a and b
    assert checks <= routine_checks + SETTINGS.check_most * 10000.0 / SETTINGS.check_ms


def test_the_last_zone_in_service_never_fails() -> None:
    # A zone that is alone, or the last: it would return in slow start without having been out of service.
    states = play(ZoneHealthTracker(SETTINGS), 8000.0, {"a": 8, "b": 8, "c": 8})
    assert all([by_zone[zone] for zone in "abc"].count(ZoneState.FAILED) <= 2 for by_zone in states)
    assert states[-1]["c"] is ZoneState.SUSPECT
    tracker = ZoneHealthTracker(Settings())
    endpoints = {f"a{n}": ("a", True) for n in range(8)}
    for now in range(0, 20000, 100):
        failures = tuple(
            EndpointOutcome(name, float(now), int(name[1]) < 3 or now > 9000) for name in endpoints
        )
        verdicts = tracker.update(float(now), Evidence(endpoints, failures))
        assert verdicts["a"].state in (ZoneState.HEALTHY, ZoneState.SUSPECT)
        assert zones_to_mask(verdicts, endpoints) == (frozenset(), {})


def test_a_failure_of_a_slow_zone_is_confirmed_first() -> None:
    tracker = ZoneHealthTracker(SETTINGS)
    play(tracker, 5000.0, {}, slow="a")
    states = play(tracker, 8000.0, {"a": 8}, start=5000.0)
    assert next(n for n, s in enumerate(states) if s["a"] is ZoneState.FAILED) * 100.0 == SETTINGS.confirm_ms


def test_state_of_endpoints_no_longer_listed_is_dropped() -> None:
    tracker = ZoneHealthTracker(SETTINGS)
    tracker.update(0.0, Evidence(listed(), outcomes(0.0, {})))
    tracker.update(100.0, Evidence({"a0": ("a", True)}))
    assert set(tracker._last) == {"a0"}
    tracker.update(200.0, Evidence({"a0": ("a", True)}, (EndpointOutcome("a0", 200.0, None),)))
    tracker.update(300.0, Evidence({"b0": ("b", True)}))
    assert not tracker._last and not tracker._in_doubt and not tracker._checked


@settings(derandomize=True, max_examples=60, deadline=None)
@given(period=st.sampled_from([200.0, 500.0, 1000.0, 2000.0]), seconds=st.integers(30, 90))
def test_a_flapping_zone_moves_traffic_at_most_once_per_hold_time(period: float, seconds: int) -> None:
    tracker = ZoneHealthTracker(SETTINGS)
    now, moves, last = 0.0, [], ZoneState.HEALTHY
    while now < seconds * 1000.0:
        is_down = int(now // period) % 2 == 0
        state = tracker.update(now, Evidence(listed(), outcomes(now, {"a": 8} if is_down else {})))["a"].state
        if (state is ZoneState.FAILED) != (last is ZoneState.FAILED):
            moves.append(now)
        last, now = state, now + 50.0
    # Each failure during a return doubles the hold time (2, 4, 8, 16, then 30 s), so moves become rarer.
    away = moves[::2]
    assert all(b - a >= SETTINGS.hold_ms for a, b in pairwise(away))
    assert len(away) <= 6 + seconds * 1000.0 / SETTINGS.hold_most_ms


# With sockets: verdicts are applied to the destination set like suspensions


def state(watch: Any, place: str) -> ZoneState:
    return watch.verdicts[place].state  # type: ignore[no-any-return]


def test_a_failed_zone_gets_no_new_requests_and_returns_in_slow_start() -> None:
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
        watch.evaluate(now + 3500.0)  # the failures aged out, and the hold time is over
        assert state(watch, "a") is ZoneState.RETURNING
        wait_until(lambda: replicas["e0"].serving)
        assert replicas["e0"].started_at >= now + 1000.0  # in slow start, by rule 4
        watch.stop()


def test_invalid_failover_settings_name_their_key(tmp_path: Path) -> None:
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
    operator, no_faults = read({"SPOOLBARROW_OPERATOR": str(tmp_path / "operator.toml")})
    settings = config.parse(msgspec.json.encode(make_config([])))
    with pytest.raises(config.ConfigError, match=r"^failover\.regions\.west: x is no zone"):
        Subsystems(None, None, None, None).prepare(operator, settings)  # type: ignore[arg-type]
    assert not no_faults


def test_check_command_names_an_unknown_zone_of_failover(tmp_path: Path) -> None:
    from tests.router_harness import make_config
    from tests.test_cli import invoke

    (tmp_path / "config.json").write_bytes(msgspec.json.encode(make_config([])))
    (tmp_path / "operator.toml").write_text("[failover]\nregions = {west = ['a'], east = ['x']}\n")
    status, output = invoke(
        "check", "--config", str(tmp_path / "config.json"), "--operator", str(tmp_path / "operator.toml")
    )
    assert status == 2
    assert output.splitlines()[0] == "operator: failover.regions.east: x is no zone of the settings"


def test_outcomes_beyond_the_bound_are_dropped_and_logged(
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
def test_in_simulation_every_router_fails_a_lost_zone_in_time_and_restores_it(trouble: str) -> None:
    outage = {"name": trouble, "zone": 1, "part": 1.0, "begin_s": 4.0, "length_s": 5.0}
    simulation = Simulation(convert({**DAY, "troubles": [outage]}), "failover", 3)
    report = simulation.play()
    assert not report["rules_broken"]
    for node in simulation.routers.all:
        assert isinstance(node.policy, FailoverRouter)
        changes = node.policy.changes
        assert {zone for _, zone, state in changes if state is ZoneState.FAILED} == {"1"}
        detected_ms = next(now for now, _, state in changes if state is ZoneState.FAILED) - 4000.0
        check_ms = 1000.0 + SETTINGS.check_ms
        assert (
            detected_ms
            <= SETTINGS.window_ms + check_ms + SETTINGS.confirm_ms + 2 * failover_policy.UPDATE_PERIOD_MS
        )
        assert [state for _, zone, state in changes if zone == "1"][-1] in (
            ZoneState.RETURNING,
            ZoneState.HEALTHY,
        )


def test_a_trouble_of_an_unknown_zone_names_its_key() -> None:
    with pytest.raises(ScenarioError, match=r"troubles\[0\].zone"):
        convert({**DAY, "troubles": [{"name": "hang", "begin_s": 1.0, "zone": 3}]})
