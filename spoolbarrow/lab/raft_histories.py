"""Checks store members in virtual time, with faults of clocks, disks and network, against Raft's invariants.

A seed determines a history: messages are lost, delayed, duplicated and reordered, members are cut off (also
in one direction), crash between any two writes and return with their disk's contents or with an older copy
(fewer than a majority at a time), clocks jump. Checked at every step: one leader per term; no member applies
another entry at an index than the others, or skips one; what was applied anywhere is never lost; at the end,
logs match where terms do. After the faults end, a new entry must be committed everywhere in bounded time.
`InvariantViolation` names the invariant that is violated.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping
from heapq import heappop, heappush
from random import Random

from msgspec import Struct, structs

from spoolbarrow.store.raft import (
    Append,
    Entry,
    HardState,
    Install,
    Known,
    Message,
    Raft,
    Ready,
    Role,
    Saved,
    Settings,
    Snapshot,
    Vote,
)

TICK_MS = 20.0
FAULTS_MS = 6000.0  # all faults start and end within it
RECOVERY_MS = 6000.0  # within which a new entry must be everywhere
COMPACT_AFTER_ENTRIES = 12  # entries that a member keeps before compaction
CHANCES = {"crash_in_save": (0.01, 0.2), "crash_voting": (0.3, 0.9), "crash_leading": (0.02, 0.2)}
FAULTS = ("net", "net", "cut", "one way", "crash", "leap", "all", "old", "old", *CHANCES)
# From a member's crash to its start with an older file: messages of its last process have arrived by then.
RESTORE_MS = 1600.0
SPREADS = (0.05, 1.0)  # election jitter: elections at the same time, or one after another


class FaultMix(Struct, frozen=True):
    """The faults of a history, and the mean interval between a client's proposals."""

    faults: tuple[str, ...] = FAULTS
    propose_ms: float = 20.0


ANY_FAULTS = FaultMix()
# Entries that only some members have when their leader disappears: entries of older terms that reach a
# majority late (figure 8), and logs that differ in many entries, repaired with duplicated and reordered
# responses.
LEADER_FAULTS = FaultMix(("leader apart", "leader dies"), 120.0)
OLD_FILE_FAULTS = FaultMix(("old", "crash", "crash", "cut"))


class InvariantViolation(AssertionError):
    """An invariant is violated."""


class NetworkConditions(Struct):
    """Current conditions of the network."""

    lost: float = 0.0
    doubled: float = 0.0
    delay_ms: tuple[float, float] = (1.0, 10.0)


class Member:
    """A member's process and its disk."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.raft: Raft | None = None  # None while it is down
        self.life = 0
        self.leap = 0.0  # offset of its clock
        # The disk:
        self.hard, self.snapshot = HardState(), Snapshot()
        self.entries: list[Entry] = []
        self.lives: Mapping[str, int] = {}
        self.kept: list[Saved] = []  # copies of the disk, each made while no process ran
        self.down_at = 0.0
        self.old = False  # started with one of these copies and does not participate yet
        # All that the process has applied:
        self.state: list[str] = []
        self.applied = 0

    def saved(self) -> Saved:
        """The disk's contents."""
        return Saved(self.hard, self.snapshot, tuple(self.entries), self.lives)

    def restore_file(self, saved: Saved) -> None:
        """Replace the disk's contents with an older copy."""
        self.hard, self.snapshot, self.lives = saved.hard_state, saved.snapshot, saved.incarnations
        self.entries, self.old = list(saved.entries), True


class History:
    """A history given by its seed; `make` builds members, mutants included, which must be detected."""

    def __init__(
        self, seed: int, size: int = 3, make: Callable[..., Raft] = Raft, aim: FaultMix = ANY_FAULTS
    ) -> None:
        self.rng, self.make, self.aim = Random(seed), make, aim
        # Small batches, so that a log is repaired in many steps.
        self.settings = Settings(batch_entries=2, election_jitter=SPREADS[seed % len(SPREADS)])
        self.names = [f"m{n}" for n in range(size)]
        self.members = {name: Member(name) for name in self.names}
        self.now = 0.0
        self.net = NetworkConditions()
        self.cut: set[tuple[str, str]] = set()  # messages from the first to the second are lost
        self.events: list[tuple[float, int, Callable[..., object], tuple[object, ...]]] = []
        self.count = 0
        self.leaders: dict[int, str] = {}  # by term
        self.applied: dict[int, Entry] = {}  # by index: the entry applied first by any member
        self.proposed = 0
        self.steps = self.restored = 0
        self.crash_in_save = 0.0  # probability at each write
        self.crash_voting = self.crash_leading = 0.0  # at each granted vote, and at each message of a leader

    def at(self, when: float, call: Callable[..., object], *args: object) -> None:
        """Schedule a call."""
        self.count += 1
        heappush(self.events, (when, self.count, call, args))

    def run(self) -> None:
        """Run the history; InvariantViolation if an invariant is violated."""
        for name in self.names:
            self.start(name)
        for _ in range(self.rng.randint(8, 30)):
            self.at(self.rng.uniform(0.0, FAULTS_MS), self.trouble)
        at = 0.0
        while at < FAULTS_MS:
            at += self.rng.expovariate(1 / self.aim.propose_ms)
            self.at(at, self.propose)
        self._run_until(FAULTS_MS)
        self.heal()
        self._check_logs()
        self._run_until(FAULTS_MS + RECOVERY_MS / 2)
        before = self.last()
        if not self.propose():
            raise InvariantViolation("no leader after the faults have ended")
        self._run_until(FAULTS_MS + RECOVERY_MS)
        if any(member.applied <= before for member in self.members.values()):
            raise InvariantViolation("the entry proposed after the faults had ended is not everywhere")
        self._check_logs()

    def last(self) -> int:
        """The highest index applied by any member."""
        return max(self.applied, default=0)

    def _run_until(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heappop(self.events)
            call(*args)
        self.now = until

    # Members

    def start(self, name: str) -> None:
        """Start a member's process from its disk."""
        member = self.members[name]
        if member.raft is not None:
            return
        member.life += 1
        saved = member.saved()
        rng = Random(self.rng.random())
        try:
            member.raft = self.make(name, self.names, self.now + member.leap, rng, saved, self.settings)
        except ValueError as error:
            raise InvariantViolation(f"the saved state of {name} is not a valid log: {error}") from error
        self._load(member, member.snapshot)
        self.at(self.now, self.tick, name, member.life)

    def crash(
        self, name: str, away: tuple[float, float] | None = None, again: Callable[[str], None] | None = None
    ) -> None:
        """End a member's process; the disk stays, and a copy of it is kept."""
        member = self.members[name]
        if member.raft is not None:
            member.down_at = self.now
            member.kept.append(member.saved())
        member.raft = None
        away = away or ((1.0, 20.0) if self.rng.random() < 0.5 else (50.0, 1500.0))
        self.at(self.now + self.rng.uniform(*away), again or self.start, name)

    def restore(self, name: str) -> None:
        """Start a member that was down long enough with an older file; see RESTORE_MS."""
        member = self.members[name]
        if member.raft is not None or self.now - member.down_at < RESTORE_MS:
            return
        others = [one for one in self.members.values() if one is not member]
        quorum = len(self.names) // 2 + 1
        # to all others but too few for a quorum
        known = sorted(one.lives.get(name, 0) for one in others)[quorum - 2]
        kept = [saved for saved in member.kept if saved.incarnations.get(name, 0) < known]
        if kept and sum(one.old for one in others) + 1 < quorum:
            self.restored += 1
            member.restore_file(self.rng.choice(kept))
        self.start(name)

    def tick(self, name: str, life: int) -> None:
        """Advance a member's time."""
        member = self.members[name]
        if member.raft is not None and member.life == life:
            self.do(member, member.raft.handle(self.now + member.leap))
            self.at(self.now + TICK_MS * self.rng.uniform(0.8, 1.2), self.tick, name, life)

    def propose(self) -> bool:
        """Propose an entry to a member that considers itself the leader; False if there is none."""
        leaders = [m for m in self.members.values() if m.raft is not None and m.raft.role is Role.LEADER]
        if not leaders:
            return False
        member = self.rng.choice(leaders)
        assert member.raft is not None
        self.proposed += 1
        done = member.raft.propose(self.now + member.leap, b"%d" % self.proposed)
        if done is not None:
            self.do(member, done[1])
        return True

    def arrive(self, message: Message) -> None:
        """Deliver a message."""
        member = self.members[message.dst]
        if member.raft is not None and (message.src, message.dst) not in self.cut:
            self.do(member, member.raft.handle(self.now + member.leap, message))

    def do(self, member: Member, ready: Ready) -> None:
        """Save, send and apply; the member may crash before each write and after each message."""
        self.steps += 1
        for write in self._writes(member, ready):
            if self.crash_in_save and self.rng.random() < self.crash_in_save:
                return self.crash(member.name)
            write()
        raft = member.raft
        assert raft is not None
        member.old &= not raft.participating
        for message in ready.messages:
            self.send(message)
            voting = isinstance(message, Vote) and message.granted and not message.pre
            chance = self.crash_voting * voting + self.crash_leading * (raft.role is Role.LEADER)
            if chance and self.rng.random() < chance:
                return self.crash(member.name)
        if raft.role is Role.LEADER and self.leaders.setdefault(raft.term, member.name) != member.name:
            raise InvariantViolation(f"two leaders in term {raft.term}")
        if ready.snapshot is not None and ready.snapshot.index > member.applied:
            self._load(member, ready.snapshot)
        for entry in ready.committed:
            self._apply(member, entry)
        if member.applied - raft.snapshot.index > COMPACT_AFTER_ENTRIES:
            state = json.dumps(member.state).encode()
            self.do(member, raft.compact(member.applied, state))

    def _writes(self, member: Member, ready: Ready) -> Iterator[Callable[[], None]]:
        if ready.hard_state is not None:
            yield lambda: setattr(member, "hard", ready.hard_state)
        if ready.incarnations is not None:
            yield lambda: setattr(member, "lives", ready.incarnations)
        if ready.snapshot is not None or ready.truncate_from is not None or ready.entries:
            yield lambda: self._save_log(member, ready)

    def _save_log(self, member: Member, ready: Ready) -> None:
        entries = member.entries
        if ready.truncate_from is not None:
            entries = [entry for entry in entries if entry.index < ready.truncate_from]
        if ready.snapshot is not None:
            member.snapshot = ready.snapshot
            entries = [entry for entry in entries if entry.index > ready.snapshot.index]
        member.entries = entries + list(ready.entries)

    def _apply(self, member: Member, entry: Entry) -> None:
        if entry.index != member.applied + 1:
            raise InvariantViolation(f"{member.name} applies {entry.index} after {member.applied}")
        first = self.applied.setdefault(entry.index, entry)
        if first != entry:
            raise InvariantViolation(f"{member.name} applies {entry} where {first} was applied")
        member.applied = entry.index
        if entry.data:
            member.state.append(entry.data.decode())

    def _load(self, member: Member, snapshot: Snapshot) -> None:
        member.applied = snapshot.index
        member.state = json.loads(snapshot.data) if snapshot.data else []
        wanted = [e.data.decode() for i in range(1, snapshot.index + 1) if (e := self.applied[i]).data]
        if member.state != wanted:
            raise InvariantViolation(
                f"{member.name} loads a state at {snapshot.index} that differs from what was applied"
            )

    # The network and its faults

    def send(self, message: Message) -> None:
        """Send a message, which may be lost, duplicated or delayed."""
        for _ in range(1 + (self.rng.random() < self.net.doubled)):
            if self.rng.random() >= self.net.lost:
                delay = self.rng.uniform(*self.net.delay_ms)
                if isinstance(message, Install):
                    delay *= 3.0
                self.at(self.now + delay, self.arrive, message)

    def trouble(self) -> None:
        """Start a random fault and schedule its end."""
        rng = self.rng
        kind = rng.choice(self.aim.faults)
        end = self.now + rng.uniform(100.0, 2000.0)
        if kind == "net":
            late = rng.choice((10.0, 100.0, 500.0))
            self.net = NetworkConditions(rng.uniform(0.0, 0.4), rng.uniform(0.0, 0.3), (1.0, late))
            self.at(end, self.reset_network)
        elif kind in ("cut", "one way"):
            apart = set(rng.sample(self.names, rng.randint(1, len(self.names) // 2)))
            pairs = {(a, b) for a in apart for b in self.names if b not in apart}
            if kind == "cut":
                pairs |= {(b, a) for a, b in pairs}
            elif rng.random() < 0.5:
                pairs = {(b, a) for a, b in pairs}
            self.cut |= pairs
            self.at(end, self.cut.difference_update, pairs)
        elif kind == "crash":
            self.crash(rng.choice(self.names))
        elif kind in ("leader apart", "leader dies"):
            leads = [name for name, one in self.members.items() if one.raft and one.raft.role is Role.LEADER]
            self.net = NetworkConditions(
                rng.uniform(0.0, 0.5), rng.uniform(0.3, 0.9), (1.0, rng.choice((30.0, 100.0)))
            )
            self.at(end, self.reset_network)
            if leads and kind == "leader dies":
                self.crash(leads[-1])
            elif leads:
                pairs = {pair for other in self.names for pair in ((leads[-1], other), (other, leads[-1]))}
                self.cut |= pairs
                self.at(self.now + rng.uniform(200.0, 2500.0), self.cut.difference_update, pairs)
        elif kind == "old":
            name = rng.choice(self.names)
            if self.members[name].raft is not None:
                self.crash(name, (RESTORE_MS + 1.0, 2 * RESTORE_MS), self.restore)
        elif kind in CHANCES:
            setattr(self, kind, rng.uniform(*CHANCES[kind]))
            self.at(end, setattr, self, kind, 0.0)
        elif kind == "leap":
            member = self.members[rng.choice(self.names)]
            member.leap += rng.choice((-1.0, 1.0)) * rng.uniform(100.0, 5000.0)
        else:
            for name in self.names:
                self.crash(name)

    def reset_network(self) -> None:
        """Reset the network to normal conditions."""
        self.net = NetworkConditions()

    def heal(self) -> None:
        """End all faults."""
        self.reset_network()
        self.cut.clear()
        self.crash_in_save = self.crash_voting = self.crash_leading = 0.0
        for name, member in self.members.items():
            if member.raft is not None:  # a clock that was set back does not stand still any longer
                member.leap = max(member.leap, member.raft.now - self.now)
            self.start(name)

    def _check_logs(self) -> None:
        """Check that two logs with the same index and term of an entry are equal up to it."""
        logs = [{entry.index: entry for entry in m.entries} for m in self.members.values()]
        for n, one in enumerate(logs):
            for other in logs[:n]:
                both = sorted(one.keys() & other.keys(), reverse=True)
                same = [index for index in both if one[index].term == other[index].term]
                for index in both:
                    if same and index <= same[0] and one[index] != other[index]:
                        raise InvariantViolation(f"logs that agree at {same[0]} differ at {index}")


def find_violation(
    seed: int, size: int = 3, make: Callable[..., Raft] = Raft, aim: FaultMix = ANY_FAULTS
) -> str:
    """Run the history of a seed: empty if no invariant is violated, else which one is."""
    try:
        History(seed, size, make, aim).run()
    except AssertionError as error:
        return str(error) or type(error).__name__
    return ""


class VoteForgotten(Raft):
    """Does not save whom it voted for."""

    def _ready(self) -> Ready:
        ready = super()._ready()
        return (
            ready
            if ready.hard_state is None
            else structs.replace(ready, hard_state=HardState(ready.hard_state.term, ""))
        )


class VotesTwice(Raft):
    """Votes for every candidate."""

    def _may_vote(self, ask: object) -> bool:
        return True


class VotesForStale(Raft):
    """Votes for members whose logs lack committed entries."""

    def _log_up_to_date(self, ask: object) -> bool:
        return True


class CommitsOldTerm(Raft):
    """Commits entries of older terms by counting (figure 8 of the paper)."""

    def _committable(self, index: int) -> bool:
        return True

    def _append_entry(self, data: bytes) -> Entry:
        if not data:  # and writes no entry at the start of its term
            self._advance_commit()
            return Entry(self.last_index, self.term)
        return super()._append_entry(data)


class AppendsBlindly(Raft):
    """Appends entries without comparing the ones before them."""

    def _log_matches(self, message: Append) -> bool:
        return message.prev_index <= self.last_index


class KeepsConflicts(Raft):
    """Keeps entries that conflict with the leader's."""

    def _conflicts(self, entry: Entry) -> bool:
        return False


class CommitsBeyond(Raft):
    """Treats entries as committed that it has not compared with the leader's log."""

    def _matched_commit(self, message: Append, match: int) -> int:
        return min(message.commit, self.last_index)


class SmallQuorum(Raft):
    """Uses half of the members as a quorum."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.quorum = (len(self.others) + 1) // 2


class EntriesUnsaved(Raft):
    """Acknowledges entries that it has not saved."""

    def _ready(self) -> Ready:
        ready = super()._ready()
        return structs.replace(ready, entries=ready.entries[:-1]) if self._rng.random() < 0.1 else ready


class CountsLost(Raft):
    """Counts what a member had before it restarted with an older file, and members that do not count."""

    def _is_new_incarnation(self, peer: object, answer: object) -> bool:
        return False

    def _counts_for_commit(self, answer: object) -> bool:
        return True


class TrustsItsFile(Raft):
    """Participates even if others know later incarnations of it."""

    def _receive_known(self, known: Known) -> None:
        super()._receive_known(
            structs.replace(known, life=min(known.life, self.incarnations.get(self.me, 0)))
        )


class SureTooSoon(Raft):
    """Participates again as soon as others have answered, even if it lacks entries."""

    def _caught_up(self) -> bool:
        return self._confirmed_current()


MUTANTS = (
    VoteForgotten,
    VotesTwice,
    VotesForStale,
    CommitsOldTerm,
    AppendsBlindly,
    KeepsConflicts,
    CommitsBeyond,
    SmallQuorum,
    EntriesUnsaved,
    CountsLost,
    TrustsItsFile,
    SureTooSoon,
)
