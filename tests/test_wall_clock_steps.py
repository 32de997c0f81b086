"""Tests steps of the wall clock, forward or back, between the starts of related processes."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from spoolbarrow import interface as i
from spoolbarrow.config import HostList, ListEntry, parse
from spoolbarrow.handover import Handover
from spoolbarrow.net.clock import Clock
from spoolbarrow.net.destinations import DestinationSet
from tests.router_harness import endpoint_entry, make_config

HOUR_S = 3600.0
STEPS = pytest.mark.parametrize("step_s", [-HOUR_S, -5.0, 5.0, HOUR_S])
Step = Callable[[float], None]


@pytest.fixture
def step(monkeypatch: pytest.MonkeyPatch) -> Step:
    """Steps the wall clock by a number of seconds."""
    now, now_ns = time.time, time.time_ns
    ahead = 0.0

    def by(seconds: float) -> None:
        nonlocal ahead
        ahead += seconds
        monkeypatch.setattr(time, "time", lambda: now() + ahead)
        monkeypatch.setattr(time, "time_ns", lambda: now_ns() + int(ahead * 1e9))

    return by


# Processes of one router


@STEPS
def test_the_process_that_started_later_is_the_successor(tmp_path: Path, step: Step, step_s: float) -> None:
    first = Handover(str(tmp_path))
    step(step_s)
    second = Handover(str(tmp_path))
    step(-2 * step_s)
    third = Handover(str(tmp_path))
    for process in (first, second, third):
        process.refresh_peers()
    assert (first.older, first.newer) == ([], [second.process_name, third.process_name])
    assert (second.older, second.newer) == ([first.process_name], [third.process_name])
    assert (third.older, third.newer) == ([first.process_name, second.process_name], [])
    for process in (first, second, third):
        process.close()


@STEPS
def test_processes_of_one_router_share_a_clock(tmp_path: Path, step: Step, step_s: float) -> None:
    """They exchange times: operator overrides, suspicions, debts, and when an engine was resumed."""
    first = Handover(str(tmp_path))
    step(step_s)
    second = Handover(str(tmp_path))
    assert second.clock_offset_s == pytest.approx(first.clock_offset_s, abs=1e-5)
    first.close()
    third = Handover(str(tmp_path))  # the process that it got the offset from has ended
    assert third.clock_offset_s == second.clock_offset_s
    for process in (second, third):
        process.close()
    alone = Handover(str(tmp_path))
    assert alone.clock_offset_s == pytest.approx(first.clock_offset_s + step_s, abs=1.0)
    alone.close()


@STEPS
def test_only_a_state_written_for_this_process_is_loaded(
    tmp_path: Path, step: Step, step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("spoolbarrow.handover.STATE_WAIT_S", 0.05)
    first = Handover(str(tmp_path))
    first._write("state", b"for another")
    step(step_s)
    second = Handover(str(tmp_path))
    assert second.await_state() is None
    first._write("state", b"for the second")
    assert second.await_state() == b"for the second"
    for process in (first, second):
        process.close()


def test_a_lock_of_an_older_version_holds_no_clock_offset(tmp_path: Path) -> None:
    first = Handover(str(tmp_path))
    first._path("lock").write_bytes(b"")
    second = Handover(str(tmp_path))
    assert second.clock_offset_s == pytest.approx(first.clock_offset_s, abs=1.0) and second.older
    for process in (first, second):
        process.close()


# Starts of engines


class ReportedStarts:
    """A destination set that is given lists, and the starts of engines that it reports."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.reported: list[i.ReplicaList] = []
        config = parse(msgspec.json.encode(make_config([])))
        self.destinations = DestinationSet(config, self.reported.append, lambda name: None, clock)

    def age_after(self, kind: i.ListKind, since_ms: float, name: str = "e0") -> float:
        """How long ago, ms, an engine has started according to the decision module, after a list."""
        line = msgspec.convert(endpoint_entry(name, 1, since_ms=since_ms), ListEntry)
        self.destinations.apply_list(HostList(8, kind is not i.ListKind.CHANGES, [line]), kind)
        (reported,) = self.reported[-1].entries
        return self.clock() - reported.started_at_ms


@pytest.mark.parametrize("kind", [i.ListKind.WHOLE, i.ListKind.CHANGES])
def test_a_start_in_the_future_counts_as_now_and_only_once(step: Step, kind: i.ListKind) -> None:
    """The wall clock was set back before this process began: its slow start would last an hour."""
    true_now_ms = time.time() * 1000.0
    step(-HOUR_S)
    starts = ReportedStarts(Clock())
    assert 0.0 <= starts.age_after(kind, true_now_ms) < 1000.0
    first = starts.destinations._listed["e0"].started_at
    starts.age_after(kind, true_now_ms)
    assert starts.destinations._listed["e0"].started_at == first


def test_an_old_start_reported_as_a_change_counts_as_now(step: Step) -> None:
    """The wall clock was set forward before this process began: the slow start would be skipped."""
    true_now_ms = time.time() * 1000.0
    step(HOUR_S)
    starts = ReportedStarts(Clock())
    assert starts.age_after(i.ListKind.WHOLE, true_now_ms - 5000.0) >= HOUR_S * 1000.0  # cannot be corrected
    assert 0.0 <= starts.age_after(i.ListKind.CHANGES, true_now_ms) < 1000.0
    assert starts.destinations.starting("e0")


def test_starts_are_as_reported_if_the_clocks_agree() -> None:
    now_ms = time.time() * 1000.0
    starts = ReportedStarts(Clock())
    for kind in (i.ListKind.RESTORED, i.ListKind.WHOLE, i.ListKind.CHANGES):
        for age in (3000.0, 50_000.0):
            assert starts.age_after(kind, now_ms - age) == pytest.approx(age, abs=1000.0)
    starts.age_after(i.ListKind.CHANGES, 0.0)
    assert starts.reported[-1].entries[0].started_at_ms == 0.0  # long ago
