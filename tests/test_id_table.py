"""The ids that no new request may have: remembered by age, bounded, and shared between processes."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from spoolbarrow.handover import Handover
from spoolbarrow.net.id_table import BUCKETS, REMEMBERED_S, SLOTS_PER_BUCKET, IdTable, RequestIds


def test_an_id_is_remembered_for_a_while_if_it_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    table = IdTable()
    for id in ("ran", "unrun", "open"):
        table.open(id)
    table.end("ran", may_have_run=True)
    table.end("unrun", may_have_run=False)
    assert [table.has(id) for id in ("ran", "unrun", "open", "new")] == [True, False, True, False]
    now[0] += REMEMBERED_S + 1.0
    assert [table.has(id) for id in ("ran", "open")] == [False, True]


def test_a_flood_of_new_ids_evicts_the_oldest_and_no_open_one() -> None:
    table = IdTable()
    table.open("open")
    for number in range(8 * BUCKETS * SLOTS_PER_BUCKET):
        table.end(f"flood{number}", may_have_run=True)
    assert table.has("open") and table.has(f"flood{number}")
    assert sum(1 for _ in table.entries()) <= BUCKETS * SLOTS_PER_BUCKET


def test_processes_know_each_others_ids_and_those_of_a_dead_one(tmp_path: Path) -> None:
    one, two = Handover(str(tmp_path)), Handover(str(tmp_path))
    one.refresh_peers()
    old, new = RequestIds(), RequestIds()
    for ids, handover in ((old, one), (new, two)):
        ids.table, ids.peers = handover.id_table, handover.peer_tables
    assert old.claim("taken") and not new.claim("taken")
    assert new.is_taken("taken") and not new.is_open("taken")
    old.end("taken", may_have_run=True)
    assert not new.claim("taken") and new.claim("other") and old.is_taken("other")
    one.close()
    two.remove_files(two.refresh_peers())
    assert new.is_taken("taken") and not list(two.peer_tables())
    two.close()


def test_two_processes_that_take_an_id_at_the_same_time_do_not_both_run_it(tmp_path: Path) -> None:
    one, two = Handover(str(tmp_path)), Handover(str(tmp_path))
    one.refresh_peers()
    one.id_table.open("same")
    two.id_table.open("same")
    ids = RequestIds()
    ids.table, ids.peers = one.id_table, one.peer_tables
    assert not ids.claim("same")
    for handover in (one, two):
        handover.close()


def test_a_full_file_system_leaves_a_process_its_own_table(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def full(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.posix_fallocate", full)
    one = Handover(str(tmp_path))
    one.id_table.open("id")
    assert one.id_table.has("id")
    monkeypatch.undo()
    two = Handover(str(tmp_path))
    assert not [table for table in two.peer_tables() if table.has("id")]
    for handover in (one, two):
        handover.close()
