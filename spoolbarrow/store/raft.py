"""Raft consensus on a replicated log, as a pure state machine: messages and time in, actions out.

After D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014),
with pre-votes and quorum checks of Ongaro's thesis (2014, 9.6 and 6.2). The caller owns disk, network and
clock. It carries out what `handle`, `propose` and `compact` return in this order: save `hard_state`; save
`snapshot`, the truncation at `truncate_from` and `entries` in one write; only then send `messages`; then
apply `snapshot` and `committed`. A caller may stop at any point in between and restart from what it saved.

A restarted member does not participate until other members have reported what they know of its earlier
processes. Each process has a number, its incarnation, which all members save. A member that knows a later
incarnation than the restarted member's file has reports that the file is stale: acknowledged entries and
votes may be missing from it. The member's responses then do not count until its log holds every entry that a
leader may have counted as stored by it (docs/agreement.md).

Membership is fixed. Times are milliseconds on the caller's clock: if that clock is set back, time stands
still here; if it jumps ahead, this costs one election at most. The caller's `compact` bounds the log.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from random import Random

from msgspec import Struct, field

from spoolbarrow.errors import Problem


class Role(Enum):
    """A member's role in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks whether others would vote for it, without starting a new term
    CANDIDATE = "candidate"
    LEADER = "leader"


class Entry(Struct, frozen=True):
    """One log entry; a new leader appends one with empty data to start its term."""

    index: int
    term: int
    data: bytes = b""


class HardState(Struct, frozen=True):
    """What must be on disk before any response is sent: the term and this member's vote in it."""

    term: int = 0
    vote: str = ""


class Snapshot(Struct, frozen=True):
    """The state after all entries up to `index`, which has `term`."""

    index: int = 0
    term: int = 0
    data: bytes = b""


class Saved(Struct, frozen=True):
    """The saved state that a member starts from."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    incarnations: Mapping[str, int] = {}  # the last known one of each member, itself included


class Message(Struct, frozen=True, kw_only=True, tag=True):
    """A message between members, with the sender's term."""

    src: str
    dst: str
    term: int


class Ask(Message, frozen=True, kw_only=True):
    """Requests a vote; with `pre`, asks whether it would be granted, in a term that has not started."""

    last_index: int
    last_term: int
    pre: bool = False


class Vote(Message, frozen=True, kw_only=True):
    """The response to Ask; `life` is the sender's incarnation."""

    granted: bool
    pre: bool = False
    life: int = 0


class Append(Message, frozen=True, kw_only=True):
    """The entries that follow `prev_index`; without entries, a heartbeat."""

    prev_index: int
    prev_term: int
    commit: int
    entries: tuple[Entry, ...] = ()


class Install(Message, frozen=True, kw_only=True):
    """A snapshot, for a member whose next entries the leader has already compacted."""

    snapshot: Snapshot


class Appended(Message, frozen=True, kw_only=True):
    """The response to Append and Install.

    With `ok`, the sender's log matches the leader's up to `index`; otherwise at most up to there.
    `life` is the sender's incarnation; 0 if it does not participate: then its entries must not be counted.
    """

    index: int
    ok: bool
    life: int = 0


class Hello(Message, frozen=True, kw_only=True):
    """Announces a new process of a member, with a random `mark`.

    `life` is its own incarnation if `sure`, otherwise the one in its file.
    """

    life: int
    mark: int
    sure: bool


class Known(Message, frozen=True, kw_only=True):
    """The response to Hello: its sender's last known incarnation (`life`), this member's term and log end."""

    life: int
    mark: int
    last_index: int
    leads: bool
    sure: bool


class Settings(Struct, frozen=True, kw_only=True):
    """Times in milliseconds."""

    election_timeout_ms: float = 300.0  # how long followers wait for a leader
    election_jitter: float = 1.0  # random share of the timeout that is added to it at most
    heartbeat_ms: float = 60.0
    batch_entries: int = 64  # in one message


class Ready(Struct):
    """The actions that the caller must carry out, in the order of the fields."""

    hard_state: HardState | None = None
    incarnations: Mapping[str, int] | None = None  # saved with `hard_state`
    snapshot: Snapshot | None = None
    truncate_from: int | None = None  # the first index of the log that is no longer valid
    entries: tuple[Entry, ...] = ()
    messages: list[Message] = field(default_factory=list)
    committed: tuple[Entry, ...] = ()
    stale_members: tuple[str, ...] = ()  # members newly found to have started from an older file


class Peer:
    """A leader's record of another member."""

    __slots__ = ("match", "next", "sent_at", "last_response_at", "awaiting_response", "life")

    def __init__(self, last: int, now: float) -> None:
        self.match, self.next = 0, last + 1
        self.sent_at, self.last_response_at = -1e18, now
        self.awaiting_response = False  # one batch is in flight at a time
        self.life = 0  # the incarnation whose responses `match` is based on


class LogError(Problem, ValueError):
    """A store member's saved log is invalid, or belongs to other members."""

    status = 2
    where = "none"
    remedy = "Give each member the same `--member` names as before, or restore its file from a backup."


class Raft:
    """One member's consensus state."""

    def __init__(
        self, me: str, members: Sequence[str], now: float, rng: Random, saved: Saved, settings: Settings
    ) -> None:
        """Raises LogError if `me` is not a member, or the saved log is invalid."""
        if me not in members or len(set(members)) != len(members):
            raise LogError("", f"{me} must be one of the members, each named once")
        indexes = [entry.index for entry in saved.entries]
        if indexes != list(range(saved.snapshot.index + 1, saved.snapshot.index + 1 + len(indexes))):
            raise LogError("", "the entries do not follow the snapshot")
        self.me, self.others = me, [name for name in members if name != me]
        self.quorum = len(members) // 2 + 1
        self.settings, self._rng = settings, rng
        self.now = now
        self.term, self.vote = saved.hard_state.term, saved.hard_state.vote
        self.snapshot, self.log = saved.snapshot, list(saved.entries)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = self._applied_index = saved.snapshot.index
        self.peers: dict[str, Peer] = {}
        self._votes: set[str] = set()
        self._leader_seen_at = -1e18  # last message from this term's leader
        self._saved_hard_state = saved.hard_state
        self._saved_index = self.last_index  # the last index that is saved
        self._truncate_from: int | None = None
        self._installed_snapshot: Snapshot | None = None
        self._outbox: list[Message] = []
        self._reset_election_timer()
        self.incarnations, self._saved_incarnations = dict(saved.incarnations), dict(saved.incarnations)
        self.participating = self.stale = False  # `stale`: its file is known to be an older one
        self._nonce = rng.getrandbits(32)
        self._started_at, self._hello_sent_at = now, -1e18
        self._known_replies: dict[str, Known] = {}
        self._acknowledged: dict[str, int] = {}  # its incarnation as other members know it
        self._matched = (0, 0)  # term, and the index up to which the log matches that term's leader's
        self._stale_nonces: dict[str, int] = {}  # `mark` of the processes that were found to be stale
        self._stale_members: list[str] = []
        self._try_participating()

    # Calls

    def handle(self, now: float, message: Message | None = None) -> Ready:
        """Advance the time and process a message, if there is one."""
        self.now = max(self.now, now)
        if message is not None and message.dst == self.me and message.src in self.others:
            self._dispatch(message)
        self._tick()
        return self._ready()

    def propose(self, now: float, data: bytes) -> tuple[int, Ready] | None:
        """Append data to the log; returns its index, not yet committed. None if this member does not lead."""
        self.now = max(self.now, now)
        if self.role is not Role.LEADER:
            return None
        entry = self._append_entry(data)
        for name, peer in self.peers.items():
            if not peer.awaiting_response:
                self._send_entries(name, peer)
        return entry.index, self._ready()

    def compact(self, index: int, data: bytes) -> Ready:
        """Replace the log up to `index` by `data`, the state after it; LogError if `index` is not applied."""
        term = self.term_at(index)
        if index > self._applied_index or term is None:
            raise LogError("", f"entry {index} is not applied, or no longer kept")
        del self.log[: index - self.snapshot.index]
        self.snapshot = self._installed_snapshot = Snapshot(index, term, data)
        self._saved_index = max(self._saved_index, index)
        return self._ready()

    @property
    def last_index(self) -> int:
        """The index of the log's last entry."""
        return self.snapshot.index + len(self.log)

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index; None if it is compacted or beyond the end."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.log[index - self.snapshot.index - 1].term
        return None

    # Elections

    def _reset_election_timer(self) -> None:
        jitter = self.settings.election_jitter * self._rng.random()
        self._deadline = self.now + self.settings.election_timeout_ms * (1.0 + jitter)

    def _become_follower(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        self.role, self.leader = Role.FOLLOWER, leader
        self.peers.clear()
        self._votes.clear()
        self._reset_election_timer()

    def _has_leader(self) -> bool:
        """Whether this member knows of a live leader; it then votes for no other."""
        if self.role is Role.LEADER:
            return True
        return self.leader != "" and self.now - self._leader_seen_at < self.settings.election_timeout_ms

    def _tick(self) -> None:
        self._send_hello()
        if self.role is Role.LEADER:
            reachable = sum(
                self.now - peer.last_response_at < self.settings.election_timeout_ms
                for peer in self.peers.values()
            )
            if reachable + 1 < self.quorum:
                self._become_follower(self.term)  # it may be partitioned: clients must be refused
                return
            for name, peer in self.peers.items():
                if self.now - peer.sent_at >= self.settings.heartbeat_ms:
                    self._send_entries(name, peer)
        elif self.participating and self.now >= self._deadline:
            self._start_election(pre=True)

    def _start_election(self, pre: bool) -> None:
        self.role, self.leader = (Role.PRE_CANDIDATE if pre else Role.CANDIDATE), ""
        if not pre:
            self.term, self.vote = self.term + 1, self.me
        self._votes = {self.me}
        self._reset_election_timer()
        for name in self.others:
            self._outbox.append(
                Ask(
                    src=self.me,
                    dst=name,
                    term=self.term + pre,
                    pre=pre,
                    last_index=self.last_index,
                    last_term=self._last_term(),
                )
            )
        self._count_votes()

    def _count_votes(self) -> None:
        if len(self._votes) < self.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.peers = {name: Peer(self.last_index, self.now) for name in self.others}
        self._append_entry(b"")  # entries of older terms are committed only by a later one of its own term
        for name, peer in self.peers.items():
            self._send_entries(name, peer)

    def _last_term(self) -> int:
        return self.log[-1].term if self.log else self.snapshot.term

    def _log_up_to_date(self, ask: Ask) -> bool:
        """Whether the candidate's log holds all entries that can be committed here."""
        return (ask.last_term, ask.last_index) >= (self._last_term(), self.last_index)

    def _may_vote(self, ask: Ask) -> bool:
        return ask.term == self.term and self.vote in ("", ask.src)

    def _receive_ask(self, ask: Ask) -> None:
        if ask.pre:
            granted = (
                self.participating
                and ask.term > self.term
                and self._log_up_to_date(ask)
                and not self._has_leader()
            )
            term = ask.term if granted else self.term
        else:
            if ask.term > self.term:
                if self._has_leader():
                    return
                self._become_follower(ask.term)
            granted = self.participating and self._may_vote(ask) and self._log_up_to_date(ask)
            term = self.term
            if granted:
                self.vote = ask.src
                self._reset_election_timer()
        self._outbox.append(
            Vote(
                src=self.me,
                dst=ask.src,
                term=term,
                granted=granted,
                pre=ask.pre,
                life=self._own_incarnation(),
            )
        )

    def _receive_vote(self, vote: Vote) -> None:
        wanted = Role.PRE_CANDIDATE if vote.pre else Role.CANDIDATE
        term = self.term + 1 if vote.pre else self.term
        if vote.granted and self.role is wanted and vote.term == term:
            self._votes.add(vote.src)
            self._count_votes()

    # Incarnations

    def _own_incarnation(self) -> int:
        """This process's incarnation; 0 until it participates."""
        return self.incarnations[self.me] if self.participating else 0

    def _send_hello(self) -> None:
        """Announce this process to all members until it participates, then to those that don't know it."""
        interval = self.settings.election_timeout_ms if self.participating else self.settings.heartbeat_ms
        incarnation = self.incarnations.get(self.me, 0)
        pending = [
            name
            for name in self.others
            if not self.participating or self._acknowledged.get(name, 0) < incarnation
        ]
        if not pending or self.now - self._hello_sent_at < interval:
            return
        self._hello_sent_at = self.now
        for name in pending:
            self._outbox.append(
                Hello(
                    src=self.me,
                    dst=name,
                    term=self.term,
                    life=incarnation,
                    mark=self._nonce,
                    sure=self.participating,
                )
            )

    def _receive_hello(self, hello: Hello) -> None:
        last = self.incarnations.get(hello.src, 0)
        if hello.sure:
            self._record_incarnation(hello.src, hello.life)
        elif (
            hello.life < last and self._stale_nonces.get(hello.src) != hello.mark and self.role is Role.LEADER
        ):
            self._stale_nonces[hello.src] = hello.mark
            self._stale_members.append(hello.src)
        self._outbox.append(
            Known(
                src=self.me,
                dst=hello.src,
                term=self.term,
                life=self.incarnations.get(hello.src, 0),
                mark=hello.mark,
                last_index=self.last_index,
                leads=self.role is Role.LEADER,
                sure=self.participating,
            )
        )

    def _record_incarnation(self, name: str, incarnation: int) -> bool:
        """Record a member's incarnation, if there is one; False if it is an earlier one than is known."""
        if incarnation:
            self.incarnations[name] = max(incarnation, self.incarnations.get(name, 0))
        return not incarnation or incarnation == self.incarnations[name]

    def _receive_known(self, known: Known) -> None:
        if known.mark != self._nonce:
            return
        self._known_replies[known.src] = known
        self._acknowledged[known.src] = known.life
        if known.life > self.incarnations.get(self.me, 0) and not self.stale:
            self.participating, self.stale = False, True  # later votes and entries are missing
            self._stale_members.append(self.me)
            self._become_follower(self.term)
        self._try_participating()

    def _try_participating(self) -> None:
        if self.participating or not (self._caught_up() if self.stale else self._confirmed_current()):
            return
        incarnations = [known.life for known in self._known_replies.values()]
        self.incarnations[self.me] = max([self.incarnations.get(self.me, 0), *incarnations]) + 1
        self.participating, self.stale = True, False
        self._hello_sent_at = -1e18
        self._reset_election_timer()

    def _confirmed_current(self) -> bool:
        """Whether enough members for a quorum know no later incarnation, and the rest had time to respond."""
        waiting = self.now - self._started_at < self.settings.election_timeout_ms
        return len(self._known_replies) >= (len(self.others) if waiting else self.quorum - 1)

    def _caught_up(self) -> bool:
        """Whether its log holds every entry that it can have acknowledged.

        A majority of participating members, itself excluded, must have responded, none in a later term than
        a leader among them, and its log must match that leader's up to the end that the leader reported.
        """
        replies = [known for known in self._known_replies.values() if known.sure]
        if len(replies) < self.quorum:
            return False
        newest = max(self.term, *(known.term for known in replies))
        return any(
            known.leads and known.term == newest == self._matched[0] and known.last_index <= self._matched[1]
            for known in replies
        )

    # The log

    def _dispatch(self, message: Message) -> None:
        if isinstance(message, Hello):
            return self._receive_hello(message)
        if isinstance(message, Known):
            return self._receive_known(message)
        if isinstance(message, Ask):
            return self._receive_ask(message)
        if message.term > self.term and not (isinstance(message, Vote) and message.pre and message.granted):
            self._become_follower(message.term)
        if isinstance(message, (Vote, Appended)) and not self._record_incarnation(message.src, message.life):
            return
        if isinstance(message, Vote):
            return self._receive_vote(message)
        if message.term < self.term:
            if isinstance(message, (Append, Install)):  # so that a former leader steps down
                self._send_appended(message.src, 0, False)
            return
        if isinstance(message, (Append, Install)):
            if self.role is not Role.FOLLOWER:
                self._become_follower(self.term)
            self.leader, self._leader_seen_at = message.src, self.now
            self._reset_election_timer()
            if isinstance(message, Append):
                self._receive_append(message)
            else:
                self._receive_install(message.snapshot, message.src)
        elif isinstance(message, Appended) and self.role is Role.LEADER:
            self._receive_appended(message)

    def _append_entry(self, data: bytes) -> Entry:
        entry = Entry(self.last_index + 1, self.term, data)
        self.log.append(entry)
        self._advance_commit()
        return entry

    def _log_matches(self, message: Append) -> bool:
        """Whether the log matches the leader's before the new entries; committed entries always do."""
        return message.prev_index < self.snapshot.index or (
            self.term_at(message.prev_index) == message.prev_term
        )

    def _receive_append(self, message: Append) -> None:
        if not self._log_matches(message):
            return self._send_appended(message.src, min(self.last_index, message.prev_index - 1), False)
        for entry in message.entries:
            if entry.index <= self.snapshot.index:
                continue
            if self._conflicts(entry):
                assert entry.index > self.commit, "a committed entry is never replaced"
                del self.log[entry.index - self.snapshot.index - 1 :]
                if entry.index <= self._saved_index:
                    self._truncate_from = min(entry.index, self._truncate_from or entry.index)
                    self._saved_index = entry.index - 1
            if entry.index == self.last_index + 1:
                self.log.append(entry)
        match = message.prev_index + len(message.entries)
        self.commit = max(self.commit, self._matched_commit(message, match))
        self._send_appended(message.src, max(match, self.snapshot.index), True)

    def _conflicts(self, entry: Entry) -> bool:
        """Whether another entry has this index; an equal one and all that follow it must stay."""
        return entry.index <= self.last_index and self.term_at(entry.index) != entry.term

    def _matched_commit(self, message: Append, match: int) -> int:
        """The commit index, limited to the last matching entry: later ones may be from another leader."""
        return min(message.commit, match)

    def _receive_install(self, snapshot: Snapshot, src: str) -> None:
        if snapshot.index > self.commit:
            kept = self.log[snapshot.index - self.snapshot.index :]
            if self.term_at(snapshot.index) != snapshot.term:
                kept = []
                self._truncate_from, self._saved_index = snapshot.index + 1, snapshot.index
            self.snapshot, self.log = snapshot, kept
            self._installed_snapshot = snapshot
            self._saved_index = max(self._saved_index, snapshot.index)
            self.commit = self._applied_index = snapshot.index
        self._send_appended(src, self.commit, True)

    def _send_appended(self, dst: str, index: int, ok: bool) -> None:
        if ok:
            self._matched = (self.term, max(index, self._matched[1] if self._matched[0] == self.term else 0))
            self._try_participating()
        self._outbox.append(
            Appended(
                src=self.me,
                dst=dst,
                term=self.term,
                index=index,
                ok=ok,
                life=self._own_incarnation(),
            )
        )

    def _send_entries(self, name: str, peer: Peer) -> None:
        peer.sent_at, peer.awaiting_response = self.now, True
        if peer.next <= self.snapshot.index:
            self._outbox.append(Install(src=self.me, dst=name, term=self.term, snapshot=self.snapshot))
            return
        first = peer.next - self.snapshot.index - 1
        term = self.term_at(peer.next - 1)
        assert term is not None, "the entry before the next one is kept, or is the snapshot's last"
        self._outbox.append(
            Append(
                src=self.me,
                dst=name,
                term=self.term,
                prev_index=peer.next - 1,
                prev_term=term,
                commit=self.commit,
                entries=tuple(self.log[first : first + self.settings.batch_entries]),
            )
        )

    def _receive_appended(self, answer: Appended) -> None:
        peer = self.peers[answer.src]
        peer.last_response_at, peer.awaiting_response = self.now, False
        if self._is_new_incarnation(peer, answer):
            peer.life, peer.match = answer.life, 0
        if answer.ok:
            peer.match = max(peer.match, answer.index if self._counts_for_commit(answer) else 0)
            peer.next = max(peer.next, answer.index + 1)
            self._advance_commit()
            if peer.next <= self.last_index:
                self._send_entries(answer.src, peer)
        else:
            peer.next = max(peer.match + 1, min(peer.next - 1, answer.index + 1))
            self._send_entries(answer.src, peer)

    def _is_new_incarnation(self, peer: Peer, answer: Appended) -> bool:
        """Whether another process responds: it may not have the entries that earlier ones had."""
        return answer.life != peer.life

    def _counts_for_commit(self, answer: Appended) -> bool:
        """Whether its entries may be counted: not while it may be running from a stale file."""
        return answer.life > 0

    def _advance_commit(self) -> None:
        """Commit the entries that a quorum has."""
        for index in range(self.last_index, self.commit, -1):
            replicated = 1 + sum(peer.match >= index for peer in self.peers.values())
            if replicated >= self.quorum and self._committable(index):
                self.commit = index
                return

    def _committable(self, index: int) -> bool:
        """Only an entry of this term, with all before it: older ones may still be replaced (5.4.2)."""
        return self.term_at(index) == self.term

    def _ready(self) -> Ready:
        hard_state, base = HardState(self.term, self.vote), self.snapshot.index
        ready = Ready(
            hard_state=None if hard_state == self._saved_hard_state else hard_state,
            incarnations=None if self.incarnations == self._saved_incarnations else dict(self.incarnations),
            snapshot=self._installed_snapshot,
            truncate_from=self._truncate_from,
            entries=tuple(self.log[self._saved_index - base :]),
            messages=self._outbox,
            committed=tuple(self.log[self._applied_index - base : self.commit - base]),
            stale_members=tuple(self._stale_members),
        )
        self._saved_incarnations = dict(self.incarnations)
        self._stale_members = []
        self._saved_hard_state, self._saved_index, self._applied_index = (
            hard_state,
            self.last_index,
            self.commit,
        )
        self._installed_snapshot = self._truncate_from = None
        self._outbox = []
        return ready
