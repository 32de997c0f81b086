"""The router's side of the store: shared documents followed, summaries written, the lease's part played.

Owns two greenlets. One talks to the members, one call at a time, each whole within `call_ms`: it reads what
has changed, claims or renews leases, has parts decide where this process holds one, and writes summaries. The
other never waits for anybody: it applies what stands by now, or falls back where there was no word for too
long. No request waits for either. What is decided, and by whom, is `spoolbarrow.fleet`'s, which is pure.

Calls are made with `http1`: members end a connection with each answer, so a pool of connections would hold
nothing; one `gevent.Timeout` bounds a whole call, an answer that comes a byte at a time included, which a
library's time-outs, counted anew with each read, do not; and nothing more is loaded into serving.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from importlib import import_module
from random import SystemRandom
from typing import TYPE_CHECKING, Protocol, runtime_checkable
from urllib.parse import quote

import gevent
import msgspec
from msgspec import Struct
from msgspec.structs import replace

from spoolbarrow.agree import digest
from spoolbarrow.config import Address, address
from spoolbarrow.fleet import documents as d
from spoolbarrow.fleet import lease, safer
from spoolbarrow.fleet.evidence import Table, incarnation
from spoolbarrow.net import http1
from spoolbarrow.net.log import log, unexpected
from spoolbarrow.operator import PARTS

if TYPE_CHECKING:
    from spoolbarrow.interface import Tenant
    from spoolbarrow.net.host import Host
    from spoolbarrow.operator import FleetTable

RECV = 65_536
MAX_HEAD = 8192
MOST_ANSWER = 8 << 20  # bytes; a member tells a MiB of documents at a time, or one that is longer, as JSON
MOST_READS = 64  # calls in a row for one list of changes
MOST_PARTS = 16
OLD = 3.5  # evidence periods: a summary that has not moved for so long counts no more
LONGEST = 4.0  # times to live of one's own: no decision stands longer without word, whatever it says
WATCH_MS = 250.0


class Document(Struct, frozen=True):
    """One document that changed."""

    key: str
    revision: int
    value: str


class Changes(Struct, frozen=True):
    """A member's answer: all that it has up to `upto`; `leader` empty where it knows of none."""

    applied: int
    upto: int
    leader: str
    documents: list[Document]


class Told(Struct, frozen=True):
    """A member's answer to a write or a read of one document."""

    revision: int = -1  # -1: not told
    value: str = ""


_changes = msgspec.json.Decoder(Changes)
_told = msgspec.json.Decoder(Told)


@runtime_checkable
class Telling(Protocol):
    """A part that has something to tell operators."""

    def tell(self) -> dict[str, object]:
        """As JSON."""
        ...


@runtime_checkable
class Watching(Protocol):
    """A part that learns from what happens at its host."""

    def watch(self, host: Host, table: FleetTable) -> None:
        """From now on; again with each new table."""
        ...

    def end(self) -> None:
        """No more."""
        ...


class Silent(Exception):
    """A member gave no answer that can be used."""


class Held:
    """One part, and this process's share of what the fleet does for it."""

    def __init__(self, part: d.Part, me: str, its: str, table: FleetTable) -> None:
        self.part = part
        self.key, self.own = d.STANDING + part.kind, f"{d.EVIDENCE}{part.kind}/{me}"
        self.claim = lease.Claim(me, its, table.ttl_s * 1000 / lease.STANDS)
        self.acting = lease.Acting(LONGEST * table.ttl_s * 1000)
        self.acts: d.Decision | None = None  # adopted
        self.refused: d.Decision | None = None  # one that the part can't act on
        self.evidence: Table | None = None  # the holder's alone
        self.evidence_upto = 0
        self.sequence = 0
        self.revision: int | None = None  # of its own summary; None: to be read
        self.written = False
        self.silent_since = 0.0  # a later process of this router speaks, unmoved since then; 0: none
        self.holding = False  # as logged


class Follower:
    """Follows the store for one process; see the module. `changed` is told when shares were laid anew."""

    def __init__(self, host: Host, table: FleetTable, changed: Callable[[], None]) -> None:
        self._host, self._changed = host, changed
        self._me, self._its = host.config.name[: d.MOST_NAME], incarnation(os.urandom(16))
        self._random = SystemRandom()
        self._parts: dict[str, Held] = {}
        self._shared = {key: safer.Shared(key, table.within_s * 1000) for key in safer.KINDS}
        self._modes: dict[str, tuple[int, safer.Mode]] = {}  # as logged
        self._suspended: frozenset[str] = frozenset()
        self._base: tuple[Tenant, ...] = ()  # the tenants as the file has them
        self._laid: tuple[Tenant, ...] | None = None
        self._after = 0  # what was written up to this revision is known
        self._floor = 0  # no member that has less than this is listened to
        self._word_at = -1e18
        self._faults: dict[Address, str] = {}  # why a member gave no word, last
        self.dropped = 0  # documents that could not be read
        self._summaries_at = 0.0
        self.apply(table)
        self._loops = [gevent.spawn(self._loop, self._round), gevent.spawn(self._loop, self._apply)]
        host.fleet = self

    def apply(self, table: FleetTable) -> None:
        """Go by new settings; what is known stays."""
        self._table = table
        self._members = [address("fleet.members", text) for text in table.members]
        self._reads = self._writes = self._random.randrange(len(self._members))
        for shared in self._shared.values():
            shared.within_ms = table.within_s * 1000
        for held in self._parts.values():
            held.claim.ttl_ms = table.ttl_s * 1000 / lease.STANDS
        for kind in PARTS.keys() & self._parts.keys() - set(table.parts):
            self.remove(kind)
        for kind in table.parts:
            if kind not in self._parts:
                module, _, name = PARTS[kind].partition(":")
                self.add(getattr(import_module(module), name)(self._me))
        for held in self._parts.values():
            if isinstance(held.part, Watching):
                held.part.watch(self._host, table)

    def add(self, part: d.Part) -> None:
        """Decide this in common, too, from now on; who adds it has given it what it needs of the host."""
        assert len(self._parts) < MOST_PARTS and part.kind not in self._parts
        self._parts[part.kind] = Held(part, self._me, self._its, self._table)
        self._after = 0  # its document may have been told before
        self._summaries_at = 0.0

    def remove(self, kind: str) -> None:
        """Decide this no more: plain behaviour."""
        part = self._parts.pop(kind).part
        part.adopt(self._host.now(), None)
        if isinstance(part, Watching):
            part.end()

    def stop(self) -> None:
        """Follow no more: as without a store."""
        gevent.killall(self._loops, block=False)
        for kind in list(self._parts):
            self.remove(kind)
        self._host.destinations.share_suspensions(frozenset())
        if self._laid is not None and self._host.config.settings.tenants is self._laid:
            self._lay(self._base)
        self._host.fleet = None

    # What operators are told

    def versions(self) -> dict[str, tuple[int, str]]:
        """Number and digest of what is acted on."""
        now, found = self._host.now(), {}
        for key, shared in self._shared.items():
            if shared.newest is not None:
                acts = msgspec.to_builtins(shared.acts(now), order="sorted")
                found[key] = (shared.newest.revision, digest(acts))
        for kind, held in self._parts.items():
            if held.acts is not None:
                found[f"fleet/{kind}"] = (held.acts.number, digest([held.acts.epoch, held.acts.body]))
        return found

    def tell(self) -> dict[str, object]:
        """How it goes."""
        now = self._host.now()
        documents = {
            key: {
                "revision": 0 if s.newest is None else s.newest.revision,
                "mode": s.mode(now).value,
                "garbage": s.garbage,
            }
            for key, s in self._shared.items()
        }
        return {
            "word_ms": round(now - self._word_at) if self._word_at > 0 else None,
            "upto": self._after,
            "members": {
                self._table.members[n]: self._faults.get(where, "") for n, where in enumerate(self._members)
            },
            "dropped": self.dropped,
            "documents": documents,
            "balancers": self._host.config.settings.nodes,
            "parts": {kind: self._tell_part(held) for kind, held in self._parts.items()},
        }

    def _tell_part(self, held: Held) -> dict[str, object]:
        seen, acts = held.claim.seen, held.acts
        standing = None if seen is None else seen.standing
        return {
            "holder": "" if standing is None else standing.lease.holder,
            "holds": held.claim.holds(),
            "epoch": None if acts is None else acts.epoch,
            "number": None if acts is None else acts.number,
            "refused": held.acting.refused,
            "silent": held.silent_since > 0,
            **(held.part.tell() if isinstance(held.part, Telling) else {}),
        }

    # The loops

    def _loop(self, turn: Callable[[], None]) -> None:
        gevent.sleep(self._random.random() * self._table.period_ms / 1000)  # not all routers in one moment
        while True:
            begun, period = self._host.now(), self._table.period_ms
            if turn == self._apply:
                period = min(period, WATCH_MS)
            try:
                turn()
            except Exception as error:  # never into serving; the next turn is as good
                unexpected("fleet", error)
            pause = period * (0.9 + 0.2 * self._random.random()) - (self._host.now() - begun)
            gevent.sleep(max(pause, 10.0) / 1000)

    def _apply(self) -> None:
        """Act on what stands by now. Waits for nobody."""
        now = self._host.now()
        suspended: frozenset[str] = self._shared[d.SUSPENSIONS].acts(now)
        if suspended != self._suspended:
            self._suspended = suspended
            self._host.destinations.share_suspensions(suspended)
        config, shares = self._host.config, self._shared[d.SHARES]
        if config.settings.tenants is not self._laid:
            self._base = config.settings.tenants  # the file was read anew
        wanted = safer.lay(shares.acts(now), config.tenants, self._base, not shares.unsettled(now))
        if wanted != config.settings.tenants:
            self._lay(wanted)
        for key, shared in self._shared.items():
            mode = (0 if shared.newest is None else shared.newest.revision, shared.mode(now))
            if mode != self._modes.get(key, (0, safer.Mode.NONE)):
                self._modes[key] = mode
                log("fleet_shared", key=key, revision=mode[0], mode=mode[1].value)
        for held in list(self._parts.values()):
            self._adopt(now, held)

    def _lay(self, tenants: tuple[Tenant, ...]) -> None:
        config = self._host.config
        self._laid = tenants
        self._host.apply(replace(config, settings=replace(config.settings, tenants=tenants)))
        self._changed()

    def _adopt(self, now: float, held: Held) -> None:
        wanted = held.acting.acts(now)
        if wanted is not None and wanted == held.refused:
            wanted = None
        old = held.acts
        if (wanted and (wanted.epoch, wanted.number)) == (old and (old.epoch, old.number)):
            return
        if wanted is not None and not self._takes(now, held.part, wanted.body):
            held.refused, wanted = wanted, None
        if wanted is None:
            self._takes(now, held.part, None)
        if wanted is not None or old is not None or held.refused is not None:
            told = {} if wanted is None else {"epoch": wanted.epoch, "number": wanted.number}
            log("fleet_decision", kind=held.part.kind, acts=wanted is not None, **told)
        held.acts = wanted

    @staticmethod
    def _takes(now: float, part: d.Part, body: bytes | None) -> bool:
        """Whether a part acts on it; one that breaks on it does not, and stops no other."""
        try:
            return part.adopt(now, body)
        except Exception as error:
            unexpected(f"fleet {part.kind}", error)
            return False

    def _round(self) -> None:
        """Everything that is to be said to the members now."""
        heard = self._read()
        self._apply()
        if not heard:
            return
        due = self._host.now() - self._summaries_at >= self._table.evidence_ms
        if due:
            self._summaries_at = self._host.now()
        for held in list(self._parts.values()):
            try:
                if not held.silent_since:
                    self._lead(held)
                if due:
                    self._say(held)
            except Exception as error:  # one part stops no other
                unexpected(f"fleet {held.part.kind}", error)

    # Reading

    def _read(self) -> bool:
        """What has changed; whether a member gave word: those lost, alone or behind are passed over."""
        for turn in range(len(self._members)):
            member = (self._reads + turn) % len(self._members)
            try:
                self._read_from(member)
            except Silent as silent:
                self._fault(member, str(silent))
                continue
            self._fault(member, "")
            self._reads = member
            return True
        return False

    def _read_from(self, member: int) -> None:
        prefixes = [d.SHARED, *(held.key for held in self._parts.values())]
        asked = self._host.now()
        for told in self._changes(member, self._after, prefixes):
            if told.applied < self._floor:
                raise Silent(f"behind: it has {told.applied} of {self._floor}")
            for document in told.documents:
                self._take(asked, document)
            if not told.leader:  # cut off from the others: what it has is committed, and may not be all
                raise Silent("it knows of no leader")
            self._after, self._floor = max(self._after, told.upto), told.applied
        self._word_at = asked
        for shared in self._shared.values():
            shared.word(asked)

    def _changes(self, member: int, after: int, prefixes: Iterable[str]) -> Iterable[Changes]:
        """A member's changes, a piece at a time; Silent where it gives none."""
        wanted = "".join(f"&prefix={quote(prefix, safe='')}" for prefix in prefixes)
        for _ in range(MOST_READS):
            status, text = self._call(member, b"GET", f"/v1/changes?after={after}{wanted}")
            if status != 200:
                raise Silent(f"status {status}")
            try:
                told = _changes.decode(text)
            except msgspec.DecodeError as error:
                raise Silent(str(error)) from None
            yield told
            if told.upto >= told.applied or told.upto <= after:
                return
            after = told.upto

    def _take(self, asked: float, document: Document) -> None:
        key, revision = document.key, document.revision
        held = next((held for held in self._parts.values() if held.key == key), None)
        try:
            if key in self._shared:
                self._shared[key].learn(asked, revision, document.value)
            elif held is not None:
                self._see(asked, held, lease.seen(key, revision, document.value))
        except d.Garbage as error:
            self.dropped += 1
            log("fleet_document", key=key, revision=revision, why=str(error)[:200], remedy=error.remedy)
            if held is not None:
                self._see(asked, held, lease.Seen(revision))

    def _see(self, asked: float, held: Held, seen: lease.Seen) -> None:
        held.claim.see(asked, seen)
        held.acting.see(asked, seen)
        if held.claim.holds() is not held.holding:
            held.holding = held.claim.holds()
            epoch = seen.standing.epoch if seen.standing is not None else None
            log("fleet_lease", kind=held.part.kind, holds=held.holding, epoch=epoch)

    # Leading

    def _lead(self, held: Held) -> None:
        now, wish, last = self._host.now(), None, None
        if held.claim.seen is None:
            held.claim.see(now, lease.Seen(0))  # all was read, and there is none
        elif held.claim.seen.standing is not None:
            last = held.claim.seen.standing.decision
        if held.claim.holds():
            wish = self._decide(held)
        else:
            held.evidence = None
        sent = self._host.now()
        put = held.claim.handle(sent, wish)
        if put is not None:
            if wish is not None and put.standing.decision != last:
                made = put.standing.decision
                assert made is not None
                log("fleet_decided", kind=held.part.kind, epoch=made.epoch, number=made.number)
            revision, _ = self._put(held.key, d.write(put.standing), put.expect)
            if revision > 0:
                self._see(sent, held, lease.Seen(revision, put.standing))
                self._adopt(self._host.now(), held)

    def _decide(self, held: Held) -> bytes | None:
        """A new decision of the evidence as it is by now; None: none, or it can't be had."""
        kind = held.part.kind
        if held.evidence is None:
            held.evidence, held.evidence_upto = Table(kind), 0
        asked = self._host.now()
        try:
            for told in self._changes(self._reads, held.evidence_upto, [f"{d.EVIDENCE}{kind}/"]):
                for one in told.documents:
                    held.evidence.take(asked, one.key, one.revision, one.value)
                held.evidence_upto = max(held.evidence_upto, told.upto)
        except Silent:
            return None
        now, age = self._host.now(), OLD * self._table.evidence_ms
        held.evidence.tidy(now, age)
        assert held.claim.seen is not None and held.claim.seen.standing is not None
        last = held.claim.seen.standing.decision
        made = held.part.decide(now, held.evidence.bodies(now, age), None if last is None else last.body)
        if made is not None and len(made) > d.MOST_BODY:
            raise d.Garbage(held.key, f"a decision of {len(made)} bytes was made")
        return made

    # Summaries

    def _say(self, held: Held) -> None:
        """Write this router's summary, unless a later process of it does."""
        now = self._host.now()
        if (held.silent_since or held.revision is None) and not self._look_at_own(now, held):
            return
        assert held.revision is not None
        body = held.part.summary(now)
        if len(body) > d.MOST_BODY:
            raise d.Garbage(held.own, f"a summary of {len(body)} bytes was made")
        held.sequence += 1
        text = d.write(d.Summary(self._me, self._its, held.sequence, now, body))
        revision, refused = self._put(held.own, text, held.revision)
        if revision > 0:
            held.revision, held.written = revision, True
        elif refused and self._look_at_own(now, held):
            self._summaries_at = 0.0  # at once again, at the revision that it has

    def _look_at_own(self, now: float, held: Held) -> bool:
        """Learn the revision of this router's summary; whether this process is to write it.

        Of two processes of one router the later one does: who has written before and finds another's is the
        older, and is silent until that one has been for so long that its summaries count no more.
        """
        try:
            status, text = self._call(self._writes, b"GET", f"/v1/store/{quote(held.own, safe='')}")
            told = Told(0) if status == 404 else _told.decode(text)
        except (Silent, msgspec.DecodeError):
            return False
        try:
            own = status == 404 or d.read(held.own, told.value, d.Summary).incarnation == self._its
        except d.Garbage:
            own = True  # nobody speaks
        if not own and held.written:
            if told.revision != held.revision or not held.silent_since:
                held.silent_since = now
                held.revision = told.revision
                log("fleet_silent", kind=held.part.kind, why="a later process of this router speaks")
            if now - held.silent_since <= OLD * self._table.evidence_ms:
                return False
        held.silent_since, held.revision = 0.0, told.revision
        return True

    # Calls

    def _put(self, key: str, text: bytes, expect: int) -> tuple[int, bool]:
        """Write through whoever leads: the new revision, or 0 and whether the document was at another one.

        (0, False): not known. To say it to the next member is safe, since only one write replaces a revision.
        """
        target = f"/v1/store/{quote(key, safe='')}?expect={expect}"
        for turn in range(len(self._members)):
            member = (self._writes + turn) % len(self._members)
            try:
                status, answer = self._call(member, b"PUT", target, text)
                told = _told.decode(answer)
            except (Silent, msgspec.DecodeError):
                continue
            if status == 200 and told.revision > 0:
                self._writes = member
                return told.revision, False
            if status == 409 and told.revision >= 0:
                self._writes = member
                return 0, True
        return 0, False

    def _call(self, member: int, method: bytes, target: str, body: bytes = b"") -> tuple[int, bytes]:
        """A member's whole answer within `call_ms`; Silent where none comes."""
        where, seconds = self._members[member], self._table.call_ms / 1000
        head = b"%s %s HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n"
        parser, buffer, parts, size = http1.ResponseParser(MAX_HEAD), bytearray(RECV), [], 0
        try:
            with gevent.Timeout(seconds), http1.connect(where, seconds) as sock:
                http1.send_pieces(sock, [head % (method, target.encode(), len(body)), body])
                while not parser.whole:
                    parser.read(sock, buffer)
                    came = parser.take_body()
                    parts += came
                    size += sum(map(len, came))
                    if size > MOST_ANSWER:
                        raise Silent(f"more than {MOST_ANSWER} bytes")
        except (OSError, http1.Fault, gevent.Timeout) as error:
            raise Silent(f"{type(error).__name__}: {error}") from None
        return parser.status, b"".join(parts)

    def _fault(self, member: int, why: str) -> None:
        """Logged when its kind changes, not with each call."""
        where = self._members[member]
        if why.partition(":")[0] != self._faults.get(where, "").partition(":")[0]:
            log("fleet_member", member=self._table.members[member], why=why or "well")
        self._faults[where] = why
