"""The wall clock is stepped, forward or back, between the starts of processes that belong together."""

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
    """Sets the wall clock by so many seconds from what it is."""
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
def test_who_started_later_is_the_successor(tmp_path: Path, step: Step, step_s: float) -> None:
    first = Handover(str(tmp_path))
    step(step_s)
    second = Handover(str(tmp_path))
    step(-2 * step_s)
    third = Handover(str(tmp_path))
    for one in (first, second, third):
        one.refresh_peers()
    assert (first.older, first.newer) == ([], [second.process_name, third.process_name])
    assert (second.older, second.newer) == ([first.process_name], [third.process_name])
    assert (third.older, third.newer) == ([first.process_name, second.process_name], [])
    for one in (first, second, third):
        one.close()


@STEPS
def test_processes_of_one_router_go_by_one_clock(tmp_path: Path, step: Step, step_s: float) -> None:
    """They tell each other times: words, suspicions, debts, when an engine was taken back."""
    first = Handover(str(tmp_path))
    step(step_s)
    second = Handover(str(tmp_path))
    assert second.clock_offset_s == pytest.approx(first.clock_offset_s, abs=1e-5)
    first.close()
    third = Handover(str(tmp_path))  # the one that it took the clock from has gone
    assert third.clock_offset_s == second.clock_offset_s
    for one in (second, third):
        one.close()
    alone = Handover(str(tmp_path))
    assert alone.clock_offset_s == pytest.approx(first.clock_offset_s + step_s, abs=1.0)
    alone.close()


@STEPS
def test_a_state_is_taken_that_was_written_for_this_process_alone(
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
    for one in (first, second):
        one.close()


def test_a_lock_of_an_older_version_tells_no_clock(tmp_path: Path) -> None:
    first = Handover(str(tmp_path))
    first._path("lock").write_bytes(b"")
    second = Handover(str(tmp_path))
    assert second.clock_offset_s == pytest.approx(first.clock_offset_s, abs=1.0) and second.older
    for one in (first, second):
        one.close()


# Starts of engines


class Starts:
    """A destination set that was told lists; when the decisions take an engine to have started."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.told: list[i.ReplicaList] = []
        config = parse(msgspec.json.encode(make_config([])))
        self.made = DestinationSet(config, self.told.append, lambda name: None, clock)

    def hear(self, kind: i.ListKind, since_ms: float, name: str = "e0") -> float:
        """How long ago, ms, an engine has started by the last list."""
        line = msgspec.convert(endpoint_entry(name, 1, since_ms=since_ms), ListEntry)
        self.made.apply_list(HostList(8, kind is not i.ListKind.CHANGES, [line]), kind)
        (told,) = self.told[-1].entries
        return self.clock() - told.started_at_ms


@pytest.mark.parametrize("kind", [i.ListKind.WHOLE, i.ListKind.CHANGES])
def test_an_engine_that_starts_in_the_future_starts_now_and_once(step: Step, kind: i.ListKind) -> None:
    """The wall clock was set back before this process began: else its slow start would last an hour."""
    true_now_ms = time.time() * 1000.0
    step(-HOUR_S)
    starts = Starts(Clock())
    assert 0.0 <= starts.hear(kind, true_now_ms) < 1000.0
    first = starts.made._listed["e0"].started_at
    starts.hear(kind, true_now_ms)
    assert starts.made._listed["e0"].started_at == first


def test_an_engine_whose_start_is_news_has_started_now(step: Step) -> None:
    """The wall clock was set forward before this process began: else the engine were warm at once."""
    true_now_ms = time.time() * 1000.0
    step(HOUR_S)
    starts = Starts(Clock())
    assert starts.hear(i.ListKind.WHOLE, true_now_ms - 5000.0) >= HOUR_S * 1000.0  # nothing tells better
    assert 0.0 <= starts.hear(i.ListKind.CHANGES, true_now_ms) < 1000.0
    assert starts.made.starting("e0")


def test_where_clocks_agree_starts_are_as_told() -> None:
    now_ms = time.time() * 1000.0
    starts = Starts(Clock())
    for kind in (i.ListKind.RESTORED, i.ListKind.WHOLE, i.ListKind.CHANGES):
        for age in (3000.0, 50_000.0):
            assert starts.hear(kind, now_ms - age) == pytest.approx(age, abs=1000.0)
    starts.hear(i.ListKind.CHANGES, 0.0)
    assert starts.told[-1].entries[0].started_at_ms == 0.0  # long ago
