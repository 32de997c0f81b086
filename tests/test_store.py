"""Raft consensus and the state behind it: single rules, histories under injected faults, and mutants.

Each rule check scripts the messages of one rule of the paper. Each mutant has one deliberate bug, which the
rule checks must find; some must also be found by a history.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from spoolbarrow.lab import raft_histories
from spoolbarrow.lab.raft_histories import find_violation
from spoolbarrow.store import raft as r
from spoolbarrow.store import state
from spoolbarrow.store.disk import Disk, DiskError
from spoolbarrow.store.faults import BadDocument
from spoolbarrow.store.raft import (
    Append,
    Appended,
    Ask,
    Entry,
    HardState,
    Hello,
    Install,
    Known,
    Raft,
    Role,
    Saved,
    Snapshot,
    Vote,
)
from spoolbarrow.store.state import Document, Outcome, Put, StateMachine

MEMBERS = ["m0", "m1", "m2"]


def member(make: type[Raft] = Raft, saved: Saved = Saved(), members: list[str] = MEMBERS) -> Raft:  # noqa: B008
    """A participating member: no other member knows a later incarnation of it."""
    made = make("m0", members, 0.0, Random(1), saved, r.Settings())
    hellos: list[Any] = made.handle(0.0).messages
    for hello in hellos:
        hellos += made.handle(0.0, known(hello, hello.life)).messages
    assert made.participating
    return made


def known(hello: Any, life: int, **fields: Any) -> Known:
    """A member's response to a Hello."""
    return Known(
        src=hello.dst,
        dst="m0",
        life=life,
        mark=hello.mark,
        **{"term": 0, "last_index": 0, "leads": False, "sure": True, **fields},
    )


def ask(src: str, term: int, last: tuple[int, int] = (0, 0), pre: bool = False) -> Ask:
    return Ask(src=src, dst="m0", term=term, last_term=last[0], last_index=last[1], pre=pre)


def append(term: int, prev: tuple[int, int], commit: int, *entries: Entry) -> Append:
    return Append(
        src="m1", dst="m0", term=term, prev_term=prev[0], prev_index=prev[1], commit=commit, entries=entries
    )


def log(*terms: int) -> tuple[Entry, ...]:
    return tuple(Entry(n + 1, term, b"%d" % term) for n, term in enumerate(terms))


def lead(make: type[Raft], saved: Saved, members: list[str] = MEMBERS) -> tuple[Raft, float]:
    """A member that won the election of the next term."""
    made = member(make, saved, members)
    now = 700.0
    made.handle(now)
    for pre in (True, False):
        for name in members[1:]:
            made.handle(now, Vote(src=name, dst="m0", term=saved.hard_state.term + 1, granted=True, pre=pre))
    assert made.role is Role.LEADER
    return made, now


def vote_survives_restart(make: type[Raft]) -> None:
    ready = member(make).handle(1.0, ask("m1", 1))
    assert ready.messages == [Vote(src="m0", dst="m1", term=1, granted=True, life=1)]
    again = member(make, Saved(ready.hard_state or HardState()))
    (answer,) = again.handle(2.0, ask("m2", 1)).messages
    assert isinstance(answer, Vote) and not answer.granted


def votes_once_per_term(make: type[Raft]) -> None:
    made = member(make)
    made.handle(1.0, ask("m1", 1))
    (answer,) = made.handle(2.0, ask("m2", 1)).messages
    assert isinstance(answer, Vote) and not answer.granted


def denies_vote_to_incomplete_log(make: type[Raft]) -> None:
    saved = Saved(HardState(3, ""), Snapshot(), log(1, 3))
    for last in ((1, 9), (3, 1)):
        (answer,) = member(make, saved).handle(1.0, ask("m1", 4, last)).messages
        assert isinstance(answer, Vote) and not answer.granted


def commits_older_term_only_with_own_entry(make: type[Raft]) -> None:
    """Figure 8: an entry of term 2 is on a majority in term 4, but one of term 3 may still replace it."""
    five = [*MEMBERS, "m3", "m4"]
    leader, now = lead(make, Saved(HardState(3, ""), Snapshot(), log(1, 2)), five)
    for name in ("m1", "m2"):
        ready = leader.handle(now, Appended(src=name, dst="m0", term=4, index=2, ok=True, life=1))
        assert not ready.committed and leader.commit == 0
    for name in ("m1", "m2"):
        leader.handle(now, Appended(src=name, dst="m0", term=4, index=3, ok=True, life=1))
    assert leader.commit == 3


def commits_only_matched_entries(make: type[Raft]) -> None:
    made = member(make, Saved(HardState(1, ""), Snapshot(), log(1, 1, 1)))
    ready = made.handle(1.0, append(2, (1, 1), 3))  # entries after the first may be another leader's
    assert [entry.index for entry in ready.committed] == [1]


def rejects_append_without_matching_entry(make: type[Raft]) -> None:
    made = member(make, Saved(HardState(1, ""), Snapshot(), log(1, 1)))
    (answer,) = made.handle(1.0, append(3, (2, 2), 0, Entry(3, 3))).messages
    assert answer == Appended(src="m0", dst="m1", term=3, index=1, ok=False, life=1) and made.last_index == 2


def replaces_conflicting_entries(make: type[Raft]) -> None:
    made = member(make, Saved(HardState(1, ""), Snapshot(), log(1, 1, 1)))
    ready = made.handle(1.0, append(2, (1, 1), 0, Entry(2, 2, b"new")))
    assert (ready.truncate_from, ready.entries, made.last_index) == (2, (Entry(2, 2, b"new"),), 2)
    late = made.handle(2.0, append(2, (0, 0), 0, Entry(1, 1, b"1")))  # a late message removes no entries
    assert late.truncate_from is None and made.last_index == 2


def half_is_no_majority(make: type[Raft]) -> None:
    made = member(make, members=[*MEMBERS, "m3"])
    made.handle(700.0)
    made.handle(700.0, Vote(src="m1", dst="m0", term=1, granted=True, pre=True))
    assert made.role is Role.PRE_CANDIDATE


def saves_acknowledged_entries(make: type[Raft]) -> None:
    made = member(make)
    saved: list[Entry] = []
    for index in range(1, 60):
        previous = (1, index - 1) if index > 1 else (0, 0)
        ready = made.handle(float(index), append(1, previous, 0, Entry(index, 1)))
        saved += ready.entries
        assert [entry.index for entry in saved] == list(range(1, index + 1))


def ignores_matches_of_stale_incarnation(make: type[Raft]) -> None:
    leader, now = lead(make, Saved(HardState(3, ""), Snapshot(), log(1, 2)), [*MEMBERS, "m3", "m4"])

    def receive(src: str, index: int, ok: bool, life: int) -> int:
        leader.handle(now, Appended(src=src, dst="m0", term=4, index=index, ok=ok, life=life))
        return leader.commit

    assert receive("m1", 3, True, 7) == 0
    assert receive("m1", 1, False, 0) == 0  # its log ends before the entries it had acknowledged
    assert receive("m2", 3, True, 1) == 0  # would be the third of five if m1 counted
    assert receive("m1", 3, True, 0) == 0  # it has all entries again, but may lack its votes
    assert receive("m1", 3, True, 8) == 3


def stale_member_waits_until_caught_up(make: type[Raft]) -> None:
    saved = Saved(HardState(1, ""), Snapshot(), log(1), {"m0": 1})
    made = make("m0", MEMBERS, 0.0, Random(1), saved, r.Settings())
    hello, other = made.handle(0.0).messages
    leads: Any = {"term": 2, "last_index": 3, "leads": True}
    assert made.handle(1.0, known(hello, 2, **leads)).stale_members == ("m0",)
    made.handle(700.0, known(other, 1))  # m2 does not know its later incarnation
    (answer,) = (sent for sent in made.handle(701.0, ask("m2", 3, (9, 9))).messages if isinstance(sent, Vote))
    assert not answer.granted and made.role is Role.FOLLOWER and made.stale
    made.handle(702.0, known(hello, 2, **{**leads, "term": 3}))
    for entry in (Entry(2, 3), Entry(3, 3)):
        assert not made.participating
        made.handle(703.0, append(3, (made.term_at(entry.index - 1) or 0, entry.index - 1), 0, entry))
    assert made.participating and made.incarnations["m0"] == 3


RULE_CHECKS = [
    vote_survives_restart,
    votes_once_per_term,
    denies_vote_to_incomplete_log,
    commits_older_term_only_with_own_entry,
    commits_only_matched_entries,
    rejects_append_without_matching_entry,
    replaces_conflicting_entries,
    half_is_no_majority,
    saves_acknowledged_entries,
    ignores_matches_of_stale_incarnation,
    stale_member_waits_until_caught_up,
]


@pytest.mark.parametrize("rule_check", RULE_CHECKS)
def test_consensus_rule(rule_check: Any) -> None:
    rule_check(Raft)


@pytest.mark.parametrize("mutant", raft_histories.MUTANTS)
def test_each_mutant_fails_a_rule_check(mutant: type[Raft]) -> None:
    found = []
    for rule_check in RULE_CHECKS:
        try:
            rule_check(mutant)
        except AssertionError:
            found.append(rule_check.__name__)
    assert found


def test_a_follower_of_a_live_leader_denies_votes_and_keeps_its_term() -> None:
    made = member()
    made.handle(1.0, append(1, (0, 0), 0))
    (answer,) = made.handle(100.0, ask("m2", 2, pre=True)).messages
    assert isinstance(answer, Vote) and not answer.granted
    assert made.handle(100.0, ask("m2", 9)).messages == [] and made.term == 1
    (answer,) = made.handle(302.0, ask("m2", 2, pre=True)).messages  # the leader has been unresponsive
    assert isinstance(answer, Vote) and answer.granted and made.term == 1


def test_a_leader_without_a_majority_steps_down() -> None:
    leader, now = lead(Raft, Saved())
    assert leader.propose(now, b"x") is not None
    leader.handle(now + 299.0)
    leader.handle(now + 301.0)
    assert leader.role is Role.FOLLOWER and leader.propose(now + 301.0, b"y") is None


def test_a_member_that_lacks_compacted_entries_gets_the_snapshot() -> None:
    leader, now = lead(Raft, Saved(HardState(1, ""), Snapshot(5, 1, b"state"), ()))
    (sent,) = leader.handle(now, Appended(src="m1", dst="m0", term=2, index=0, ok=False)).messages
    assert sent == Install(src="m0", dst="m1", term=2, snapshot=Snapshot(5, 1, b"state"))
    other = Raft("m1", MEMBERS, 0.0, Random(2), Saved(), r.Settings())
    ready = other.handle(1.0, sent)
    assert ready.snapshot == Snapshot(5, 1, b"state") and not ready.committed
    assert Appended(src="m1", dst="m0", term=2, index=5, ok=True) in ready.messages
    assert other.compact(5, b"state").snapshot == Snapshot(5, 1, b"state")
    with pytest.raises(ValueError):
        other.compact(6, b"more")


def test_a_single_member_commits_what_it_saves() -> None:
    alone = member(members=["m0"])
    alone.handle(700.0)
    done = alone.propose(701.0, b"x")
    assert done is not None
    ready = done[1]
    assert [e.data for e in ready.committed] == [b"x"] == [e.data for e in ready.entries]


def test_messages_encode_as_json_and_msgpack() -> None:
    union = Ask | Vote | Append | Appended | Install | Hello | Known
    sent = append(2, (1, 1), 0, Entry(2, 2, b"\x00\xff"))
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=union) == sent
    assert msgspec.json.decode(msgspec.json.encode(sent), type=union) == sent


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(25))
def test_histories_under_faults_keep_the_invariants(seed: int, size: int) -> None:
    assert find_violation(seed, size) == ""


@pytest.mark.parametrize("aim", [raft_histories.LEADER_FAULTS, raft_histories.OLD_FILE_FAULTS])
@pytest.mark.parametrize("seed", range(10))
def test_histories_with_leader_faults_and_older_files_keep_the_invariants(
    seed: int, aim: raft_histories.FaultMix
) -> None:
    assert [find_violation(seed, size, aim=aim) for size in (3, 5)] == ["", ""]


@pytest.mark.parametrize(
    ("mutant", "seed", "size", "aim"),
    [
        (raft_histories.CommitsOldTerm, 92, 5, raft_histories.LEADER_FAULTS),
        (raft_histories.CommitsBeyond, 2, 3, raft_histories.LEADER_FAULTS),
        (raft_histories.TrustsItsFile, 42, 3, raft_histories.OLD_FILE_FAULTS),
        (raft_histories.SureTooSoon, 57, 3, raft_histories.ANY_FAULTS),
    ],
)
def test_a_history_finds_a_mutant_that_loses_committed_entries(
    mutant: type[Raft], seed: int, size: int, aim: raft_histories.FaultMix
) -> None:
    found = find_violation(seed, size, mutant, aim)
    assert "was applied" in found or "never replaced" in found
    assert find_violation(seed, size, aim=aim) == ""


@pytest.mark.parametrize(
    "saved",
    [Saved(entries=log(1, 1)[1:]), Saved(HardState(), Snapshot(3, 1), log(1))],
)
def test_an_invalid_saved_log_is_rejected(saved: Saved) -> None:
    with pytest.raises(ValueError, match="follow the snapshot"):
        member(saved=saved)
    with pytest.raises(ValueError, match="one of the members"):
        Raft("m9", MEMBERS, 0.0, Random(1), Saved(), r.Settings())


# The disk


def new_disk(path: Path) -> Disk:
    disk = Disk(path, "m0")
    disk.save(r.Ready(hard_state=HardState(3, "m1"), entries=log(1, 2, 3)))
    return disk


def test_saved_state_is_loaded_again(tmp_path: Path) -> None:
    disk = new_disk(tmp_path / "m0")
    disk.save(r.Ready(truncate_from=3, entries=(Entry(3, 4, b"new"),)))
    disk.save(r.Ready(snapshot=Snapshot(2, 2, b"state")))
    disk.close()
    again = Disk(tmp_path / "m0", "m0")
    assert again.load() == Saved(HardState(3, "m1"), Snapshot(2, 2, b"state"), (Entry(3, 4, b"new"),))
    again.close()


def test_a_full_disk_raises_and_keeps_saved_state(tmp_path: Path) -> None:
    disk = new_disk(tmp_path / "m0")
    disk.limit_pages(6)
    with pytest.raises(DiskError, match="full"):
        for index in range(4, 4000):
            disk.save(r.Ready(hard_state=HardState(index, ""), entries=(Entry(index, 3, b"x" * 900),)))
    saved = disk.load()
    last = saved.entries[-1].index
    assert saved.hard_state.term == (last if last > 3 else 3)  # each save is complete or absent
    disk.close()


def test_foreign_and_damaged_files_are_refused(tmp_path: Path) -> None:
    disk = new_disk(tmp_path / "m0")
    for index in range(4, 200):
        disk.save(r.Ready(entries=(Entry(index, 3, b"x" * 900),)))
    disk.close()
    whole = (tmp_path / "m0").read_bytes()
    (tmp_path / "torn").write_bytes(whole[: len(whole) // 2])
    (tmp_path / "flipped").write_bytes(whole[:8192] + bytes(4096) + whole[12288:])
    (tmp_path / "other").write_bytes(b"no database at all, but long enough to look at" * 100)
    other = sqlite3.connect(tmp_path / "foreign")
    other.execute("create table log (x)")
    other.close()
    later = sqlite3.connect(tmp_path / "m0")
    later.execute("pragma user_version=2")
    later.close()
    found = {
        "torn": "damaged|malformed",
        "flipped": "damaged|malformed",
        "other": "not a database",
        "foreign": "not a file of",
        "m0": "version 2",
    }
    for name, why in found.items():
        with pytest.raises(DiskError, match=why):
            Disk(tmp_path / name, "m0").load()


# The state machine


def test_only_one_of_two_commands_expecting_the_same_revision_is_applied() -> None:
    made = StateMachine()
    encode = msgspec.msgpack.encode
    assert made.apply(1, b"") is None
    assert made.apply(2, encode(Put("a", "key", b"one", 0))) == ("a", Outcome(2))
    result = made.apply(3, encode(Put("b", "key", b"two", 0)))
    assert result is not None and result[1].revision == 2 and "not 0" in result[1].why
    assert made.apply(4, encode(Put("c", "key", b"three"))) == ("c", Outcome(4))
    assert StateMachine(made.encode()).documents == made.documents == {"key": Document(b"three", 4)}
    state.check_put(Put("d", "k", b"v"))
    for put, place in (
        (Put("d", "", b""), "key"),
        (Put("d", "k", b"v" * (state.MAX_VALUE_BYTES + 1)), "value"),
    ):
        with pytest.raises(BadDocument) as fault:
            state.check_put(put)
        assert fault.value.place == place
