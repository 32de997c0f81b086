"""Consensus on a log by a few members, as a pure state machine: a message or the time in, what to do out.

After D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014),
with pre-votes and quorum checks of Ongaro's thesis (2014, 9.6 and 6.2). The caller owns disk, network and
clock. What `handle`, `propose` and `compact` return is carried out in this order: save `hard_state`; save as one
write `snapshot`, what `truncate_from` drops, and `entries`; only then send `messages`; then apply `snapshot` and
`committed`. A caller that stops anywhere in between and begins again from what it saved breaks nothing.

A process of a member that begins takes no part until others have said what they know of its earlier ones:
each has a number, its life, which all keep. Who knows of a later life than the member's file has tells it
that the file is an older one: what it had answered for and voted may be lost, and it counts for nothing until
it has all that any leader may have counted on (docs/agreement.md).

Members are fixed. Times are milliseconds on the caller's clock; one that is set back stands still here, one
that leaps ahead costs an election at most. Logs are bounded by the caller's `compact`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from random import Random

from msgspec import Struct, field

from spoolbarrow.errors import Problem


class Role(Enum):
    """What a member takes itself for."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # whether others would vote for it, before it disturbs anybody
    CANDIDATE = "candidate"
    LEADER = "leader"


class Entry(Struct, frozen=True):
    """One place of the log; empty data is a leader's own mark."""

    index: int
    term: int
    data: bytes = b""


class HardState(Struct, frozen=True):
    """What must be on disk before any answer leaves: the term, and who has this member's vote in it."""

    term: int = 0
    vote: str = ""


class Snapshot(Struct, frozen=True):
    """The state after all entries up to `index`, which has `term`."""

    index: int = 0
    term: int = 0
    data: bytes = b""


class Saved(Struct, frozen=True):
    """What a member begins from."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    incarnations: Mapping[str, int] = {}  # the last life known of each member, its own among them


class Message(Struct, frozen=True, kw_only=True, tag=True):
    """From one member to another, in the sender's term."""

    src: str
    dst: str
    term: int


class Ask(Message, frozen=True, kw_only=True):
    """For a vote; `pre`: whether there would be one, in a term that nobody has begun."""

    last_index: int
    last_term: int
    pre: bool = False


class Vote(Message, frozen=True, kw_only=True):
    """The answer."""

    granted: bool
    pre: bool = False
    life: int = 0


class Append(Message, frozen=True, kw_only=True):
    """Entries behind `prev_index`; none: a sign of life."""

    prev_index: int
    prev_term: int
    commit: int
    entries: tuple[Entry, ...] = ()


class Install(Message, frozen=True, kw_only=True):
    """A snapshot, for a member whose entries are no longer kept."""

    snapshot: Snapshot


class Appended(Message, frozen=True, kw_only=True):
    """`ok`: the log is the leader's up to `index`; else it may be so up to there, no further. No life: not to
    be counted on."""

    index: int
    ok: bool
    life: int = 0


class Hello(Message, frozen=True, kw_only=True):
    """From a process that begins, with a mark of its own: `life` is its own if `sure`, else its file's."""

    life: int
    mark: int
    sure: bool


class Known(Message, frozen=True, kw_only=True):
    """The answer: the last `life` known of the asker before, and how far this member's term and log are."""

    life: int
    mark: int
    last_index: int
    leads: bool
    sure: bool


class Settings(Struct, frozen=True, kw_only=True):
    """Times in milliseconds."""

    election_timeout_ms: float = 300.0  # followers wait so long for a leader
    election_jitter: float = 1.0  # and up to this share longer, at random
    heartbeat_ms: float = 60.0
    batch_entries: int = 64  # entries in one message


class Ready(Struct):
    """What is to be done, in the order of the fields."""

    hard_state: HardState | None = None
    incarnations: Mapping[str, int] | None = None  # saved with `hard_state`
    snapshot: Snapshot | None = None
    truncate_from: int | None = None  # the first index that no longer holds
    entries: tuple[Entry, ...] = ()
    messages: list[Message] = field(default_factory=list)
    committed: tuple[Entry, ...] = ()
    stale_members: tuple[str, ...] = ()  # members newly found to have begun with an older file


class Peer:
    """What a leader knows of another member."""

    __slots__ = ("match", "next", "sent_at", "heard_at", "waiting", "life")

    def __init__(self, last: int, now: float) -> None:
        self.match, self.next = 0, last + 1
        self.sent_at, self.heard_at = -1e18, now
        self.waiting = False  # for the answer to what was sent: one batch at a time
        self.life = 0  # whose answers `match` goes by


class LogError(Problem, ValueError):
    """What a store member saved is no log of these members."""

    status = 2
    where = "none"
    remedy = "Give each member the same `--member` names as before, or restore its file from a backup."


class Raft:
    """One member."""

    def __init__(
        self, me: str, members: Sequence[str], now: float, rng: Random, saved: Saved, settings: Settings
    ) -> None:
        """LogError where `me` is no member, or what was saved is no log."""
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
        self.commit = self._applied = saved.snapshot.index
        self.peers: dict[str, Peer] = {}
        self._votes: set[str] = set()
        self._led_at = -1e18  # a leader of this term was last heard
        self._saved_hard = saved.hard_state
        self._stable = self.last_index  # what is saved of the log
        self._truncate: int | None = None
        self._installed: Snapshot | None = None
        self._out: list[Message] = []
        self._wait_anew()
        self.incarnations, self._saved_lives = dict(saved.incarnations), dict(saved.incarnations)
        self.participating = self.stale = (
            False  # whether it takes part; whether its file is known to be an older one
        )
        self._mark = rng.getrandbits(32)
        self._begun_at, self._said_at = now, -1e18
        self._known: dict[str, Known] = {}
        self._told: dict[str, int] = {}  # the life that others know of it
        self._same = (0, 0)  # the log is that of this term's leader up to this index
        self._found: dict[str, int] = {}  # the marks of members that were found behind
        self._behind: list[str] = []
        self._be_sure()

    # What it is asked

    def handle(self, now: float, message: Message | None = None) -> Ready:
        """Time has come this far, and perhaps a message."""
        self.now = max(self.now, now)
        if message is not None and message.dst == self.me and message.src in self.others:
            self._receive(message)
        self._tick()
        return self._ready()

    def propose(self, now: float, data: bytes) -> tuple[int, Ready] | None:
        """Put data into the log: its index, not yet committed. None where this member does not lead."""
        self.now = max(self.now, now)
        if self.role is not Role.LEADER:
            return None
        entry = self._append_entry(data)
        for name, peer in self.peers.items():
            if not peer.waiting:
                self._send_entries(name, peer)
        return entry.index, self._ready()

    def compact(self, index: int, data: bytes) -> Ready:
        """The state after `index`, which was applied, stands for all before it; LogError where it can't."""
        term = self.term_at(index)
        if index > self._applied or term is None:
            raise LogError("", f"{index} is not applied, or no longer kept")
        del self.log[: index - self.snapshot.index]
        self.snapshot = self._installed = Snapshot(index, term, data)
        self._stable = max(self._stable, index)
        return self._ready()

    @property
    def last_index(self) -> int:
        """Of the log's end."""
        return self.snapshot.index + len(self.log)

    def term_at(self, index: int) -> int | None:
        """The term of a place of the log; None where it is not kept, or beyond the end."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.log[index - self.snapshot.index - 1].term
        return None

    # Elections

    def _wait_anew(self) -> None:
        late = self.settings.election_jitter * self._rng.random()
        self._deadline = self.now + self.settings.election_timeout_ms * (1.0 + late)

    def _follow(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        self.role, self.leader = Role.FOLLOWER, leader
        self.peers.clear()
        self._votes.clear()
        self._wait_anew()

    def _led(self) -> bool:
        """Whether a leader lives, as far as this member knows: then nobody else is voted for."""
        if self.role is Role.LEADER:
            return True
        return self.leader != "" and self.now - self._led_at < self.settings.election_timeout_ms

    def _tick(self) -> None:
        self._say_hello()
        if self.role is Role.LEADER:
            heard = sum(
                self.now - peer.heard_at < self.settings.election_timeout_ms for peer in self.peers.values()
            )
            if heard + 1 < self.quorum:
                self._follow(self.term)  # it may be the one that is cut off: clients are to be told no
                return
            for name, peer in self.peers.items():
                if self.now - peer.sent_at >= self.settings.heartbeat_ms:
                    self._send_entries(name, peer)
        elif self.participating and self.now >= self._deadline:
            self._ask(pre=True)

    def _ask(self, pre: bool) -> None:
        self.role, self.leader = (Role.PRE_CANDIDATE if pre else Role.CANDIDATE), ""
        if not pre:
            self.term, self.vote = self.term + 1, self.me
        self._votes = {self.me}
        self._wait_anew()
        for name in self.others:
            self._out.append(
                Ask(
                    src=self.me,
                    dst=name,
                    term=self.term + pre,
                    pre=pre,
                    last_index=self.last_index,
                    last_term=self._last_term(),
                )
            )
        self._count()

    def _count(self) -> None:
        if len(self._votes) < self.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._ask(pre=False)
        elif self.role is Role.CANDIDATE:
            self._lead()

    def _lead(self) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.peers = {name: Peer(self.last_index, self.now) for name in self.others}
        self._append_entry(b"")  # entries of older terms are committed only behind one of its own
        for name, peer in self.peers.items():
            self._send_entries(name, peer)

    def _last_term(self) -> int:
        return self.log[-1].term if self.log else self.snapshot.term

    def _log_up_to_date(self, ask: Ask) -> bool:
        """Whether the asker's log holds all that can be committed here."""
        return (ask.last_term, ask.last_index) >= (self._last_term(), self.last_index)

    def _may_vote(self, ask: Ask) -> bool:
        return ask.term == self.term and self.vote in ("", ask.src)

    def _asked(self, ask: Ask) -> None:
        if ask.pre:
            granted = (
                self.participating and ask.term > self.term and self._log_up_to_date(ask) and not self._led()
            )
            term = ask.term if granted else self.term
        else:
            if ask.term > self.term:
                if self._led():
                    return
                self._follow(ask.term)
            granted = self.participating and self._may_vote(ask) and self._log_up_to_date(ask)
            term = self.term
            if granted:
                self.vote = ask.src
                self._wait_anew()
        self._out.append(
            Vote(
                src=self.me,
                dst=ask.src,
                term=term,
                granted=granted,
                pre=ask.pre,
                life=self._life(),
            )
        )

    def _voted(self, vote: Vote) -> None:
        wanted = Role.PRE_CANDIDATE if vote.pre else Role.CANDIDATE
        term = self.term + 1 if vote.pre else self.term
        if vote.granted and self.role is wanted and vote.term == term:
            self._votes.add(vote.src)
            self._count()

    # Lives

    def _life(self) -> int:
        """Its own, where it takes part."""
        return self.incarnations[self.me] if self.participating else 0

    def _say_hello(self) -> None:
        """To all until it is sure, then to those that do not know it yet."""
        every = self.settings.election_timeout_ms if self.participating else self.settings.heartbeat_ms
        life = self.incarnations.get(self.me, 0)
        unheard = [name for name in self.others if not self.participating or self._told.get(name, 0) < life]
        if not unheard or self.now - self._said_at < every:
            return
        self._said_at = self.now
        for name in unheard:
            self._out.append(
                Hello(
                    src=self.me,
                    dst=name,
                    term=self.term,
                    life=life,
                    mark=self._mark,
                    sure=self.participating,
                )
            )

    def _hello(self, hello: Hello) -> None:
        last = self.incarnations.get(hello.src, 0)
        if hello.sure:
            self._lives(hello.src, hello.life)
        elif hello.life < last and self._found.get(hello.src) != hello.mark and self.role is Role.LEADER:
            self._found[hello.src] = hello.mark
            self._behind.append(hello.src)
        self._out.append(
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

    def _lives(self, name: str, life: int) -> bool:
        """Keep a member's life, if one is told; False for one that has ended."""
        if life:
            self.incarnations[name] = max(life, self.incarnations.get(name, 0))
        return not life or life == self.incarnations[name]

    def _receive_known(self, known: Known) -> None:
        if known.mark != self._mark:
            return
        self._known[known.src] = known
        self._told[known.src] = known.life
        if known.life > self.incarnations.get(self.me, 0) and not self.stale:
            self.participating, self.stale = False, True  # what it voted and answered for since is not there
            self._behind.append(self.me)
            self._follow(self.term)
        self._be_sure()

    def _be_sure(self) -> None:
        if self.participating or not (self._caught_up() if self.stale else self._confirmed_current()):
            return
        lives = [known.life for known in self._known.values()]
        self.incarnations[self.me] = max([self.incarnations.get(self.me, 0), *lives]) + 1
        self.participating, self.stale = True, False
        self._said_at = -1e18
        self._wait_anew()

    def _confirmed_current(self) -> bool:
        """As many know of no later life as it needs to be of use, and the rest had its time to answer."""
        patient = self.now - self._begun_at < self.settings.election_timeout_ms
        return len(self._known) >= (len(self.others) if patient else self.quorum - 1)

    def _caught_up(self) -> bool:
        """Whether its log holds all that it can have answered for: a majority without it answered, nobody of
        it in a later term than a leader, whose log it has up to where that was then."""
        told = [known for known in self._known.values() if known.sure]
        if len(told) < self.quorum:
            return False
        newest = max(self.term, *(known.term for known in told))
        return any(
            known.leads and known.term == newest == self._same[0] and known.last_index <= self._same[1]
            for known in told
        )

    # The log

    def _receive(self, message: Message) -> None:
        if isinstance(message, Hello):
            return self._hello(message)
        if isinstance(message, Known):
            return self._receive_known(message)
        if isinstance(message, Ask):
            return self._asked(message)
        if message.term > self.term and not (isinstance(message, Vote) and message.pre and message.granted):
            self._follow(message.term)
        if isinstance(message, (Vote, Appended)) and not self._lives(message.src, message.life):
            return
        if isinstance(message, Vote):
            return self._voted(message)
        if message.term < self.term:
            if isinstance(message, (Append, Install)):  # so that a leader of old learns that it is none
                self._answer(message.src, 0, False)
            return
        if isinstance(message, (Append, Install)):
            if self.role is not Role.FOLLOWER:
                self._follow(self.term)
            self.leader, self._led_at = message.src, self.now
            self._wait_anew()
            if isinstance(message, Append):
                self._append(message)
            else:
                self._install(message.snapshot, message.src)
        elif isinstance(message, Appended) and self.role is Role.LEADER:
            self._appended(message)

    def _append_entry(self, data: bytes) -> Entry:
        entry = Entry(self.last_index + 1, self.term, data)
        self.log.append(entry)
        self._advance_commit()
        return entry

    def _log_matches(self, message: Append) -> bool:
        """Whether the log is the leader's up to the place before the entries; what is committed is."""
        return message.prev_index < self.snapshot.index or (
            self.term_at(message.prev_index) == message.prev_term
        )

    def _append(self, message: Append) -> None:
        if not self._log_matches(message):
            return self._answer(message.src, min(self.last_index, message.prev_index - 1), False)
        for entry in message.entries:
            if entry.index <= self.snapshot.index:
                continue
            if self._conflicts(entry):
                assert entry.index > self.commit, "a committed entry is never replaced"
                del self.log[entry.index - self.snapshot.index - 1 :]
                if entry.index <= self._stable:
                    self._truncate = min(entry.index, self._truncate or entry.index)
                    self._stable = entry.index - 1
            if entry.index == self.last_index + 1:
                self.log.append(entry)
        match = message.prev_index + len(message.entries)
        self.commit = max(self.commit, self._matched_commit(message, match))
        self._answer(message.src, max(match, self.snapshot.index), True)

    def _conflicts(self, entry: Entry) -> bool:
        """Whether another entry stands in its place: one that is there already must stay, with all behind."""
        return entry.index <= self.last_index and self.term_at(entry.index) != entry.term

    def _matched_commit(self, message: Append, match: int) -> int:
        """What lies behind the last matching entry may be another leader's."""
        return min(message.commit, match)

    def _install(self, snapshot: Snapshot, src: str) -> None:
        if snapshot.index > self.commit:
            kept = self.log[snapshot.index - self.snapshot.index :]
            if self.term_at(snapshot.index) != snapshot.term:
                kept = []
                self._truncate, self._stable = snapshot.index + 1, snapshot.index
            self.snapshot, self.log = snapshot, kept
            self._installed = snapshot
            self._stable = max(self._stable, snapshot.index)
            self.commit = self._applied = snapshot.index
        self._answer(src, self.commit, True)

    def _answer(self, dst: str, index: int, ok: bool) -> None:
        if ok:
            self._same = (self.term, max(index, self._same[1] if self._same[0] == self.term else 0))
            self._be_sure()
        self._out.append(
            Appended(
                src=self.me,
                dst=dst,
                term=self.term,
                index=index,
                ok=ok,
                life=self._life(),
            )
        )

    def _send_entries(self, name: str, peer: Peer) -> None:
        peer.sent_at, peer.waiting = self.now, True
        if peer.next <= self.snapshot.index:
            self._out.append(Install(src=self.me, dst=name, term=self.term, snapshot=self.snapshot))
            return
        first = peer.next - self.snapshot.index - 1
        term = self.term_at(peer.next - 1)
        assert term is not None, "what comes before the next entry is kept, or the snapshot's"
        self._out.append(
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

    def _appended(self, answer: Appended) -> None:
        peer = self.peers[answer.src]
        peer.heard_at, peer.waiting = self.now, False
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
        """Whether another process answers: what those before it had is not known to be there."""
        return answer.life != peer.life

    def _counts_for_commit(self, answer: Appended) -> bool:
        """Whether what it has will be there if its file is."""
        return answer.life > 0

    def _advance_commit(self) -> None:
        """Commit what a quorum has."""
        for index in range(self.last_index, self.commit, -1):
            having = 1 + sum(peer.match >= index for peer in self.peers.values())
            if having >= self.quorum and self._committable(index):
                self.commit = index
                return

    def _committable(self, index: int) -> bool:
        """Only an entry of this term, and all before it: one of an older term may yet be replaced (5.4.2)."""
        return self.term_at(index) == self.term

    def _ready(self) -> Ready:
        hard, base = HardState(self.term, self.vote), self.snapshot.index
        ready = Ready(
            hard_state=None if hard == self._saved_hard else hard,
            incarnations=None if self.incarnations == self._saved_lives else dict(self.incarnations),
            snapshot=self._installed,
            truncate_from=self._truncate,
            entries=tuple(self.log[self._stable - base :]),
            messages=self._out,
            committed=tuple(self.log[self._applied - base : self.commit - base]),
            stale_members=tuple(self._behind),
        )
        self._saved_lives = dict(self.incarnations)
        self._behind = []
        self._saved_hard, self._stable, self._applied = hard, self.last_index, self.commit
        self._installed = self._truncate = None
        self._out = []
        return ready
