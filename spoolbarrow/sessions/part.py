"""One router's sessions as a part of the fleet: told what arrives and ends, it predicts and reserves.

Owns the table, the counts, the model acted on and the ledger; says what is worth keeping where and leaves the
choice of an engine to the decisions. Keys are numbers that mean nothing outside of this process. Times are
Unix milliseconds; what it is told may be hostile.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp

import msgspec
from msgspec import Struct

from spoolbarrow.errors import Problem
from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.sessions import cells, model, router_shares, session_table, turn_counts
from spoolbarrow.sessions.cache_retention import TELLS, CacheRetention
from spoolbarrow.sessions.model import Prediction, Predictor
from spoolbarrow.sessions.reservations import ReservationBook
from spoolbarrow.sessions.turn_counts import SCALE, Evidence

SWEEP_MS = 60_000.0  # every session is looked at so often: who is still away is told, who has gone forgotten
LEAST_CHANCE = 0.05  # below it nothing is reserved
LEARN_LEAST = 0.2  # weight of the newest turn in a session's means, at least
MAX_MOVED_SHARE, MOVED_LEARN, MOVED_PRIOR = (
    0.05,
    0.01,
    4,
)  # beyond it homes are by key alone, on which all routers agree
MOST_TOKENS = 0xFFFFFFFF
MOST_SWEPT = 512  # sets in one look: a pause must not end in one long look
HELD_AS_READ_S = 100.0  # holding a prompt for so long is charged like reading it once more
KEEPS_MS = 250.0  # what engines keep is worked out so often at most, each
WANTED_MS = 60_000.0
PROMISE = 0.9  # of the room that is learnt: what it is for sure


class SessionsError(Problem):
    """A setting of sessions that cannot be."""

    status = 2
    remedy = "Set the key that is named as its message says; nothing was changed."


class Settings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What is set of sessions."""

    routers: int = 1  # that share the engines, where no store grants shares
    slots: int = session_table.SLOTS  # sessions that a router knows; 64 bytes each
    portions: tuple[float, ...] = ()  # of tenants, as the platform told
    granted: bool = False  # shares come with the decision (a store): without one, nothing is reserved
    read_price: float = 1.0  # value of a token that need not be read

    def __post_init__(self) -> None:
        """Impossible settings are refused, each by its key."""
        if self.routers < 1:
            raise SessionsError("sessions.routers", "must be at least 1")
        if not session_table.WAYS <= self.slots <= 1 << 22:
            raise SessionsError("sessions.slots", f"must lie between {session_table.WAYS} and {1 << 22}")
        if not all(p >= 0.0 for p in self.portions):
            raise SessionsError("sessions.portions", "must not be negative")
        if not 0.0 < self.read_price < 1e9:
            raise SessionsError("sessions.read_price", "must be above 0")


class CacheHint(Struct, frozen=True):
    """What the decisions may be told of a request before it is placed."""

    home: str  # where its prompt is kept; empty: nowhere
    cached_tokens: int = 0  # tokens beyond the opening that should be found there


class EngineReservations(Struct, frozen=True):
    """What the decisions may be told of an engine."""

    reuse_density: float  # tokens wanted again, of each that is pushed out
    held: int  # tokens reserved, by this router
    at: float  # when this was worked out


class Document(Struct, forbid_unknown_fields=True):
    """The decision: a model, and which share of every engine's room each router may reserve."""

    number: int
    model: model.Model
    grants: dict[int, router_shares.Grant]


UNKNOWN_HINT = CacheHint("")
_documents = msgspec.msgpack.Decoder(Document)


def read(body: bytes) -> Document | None:
    """A decision; None where it can't be acted on."""
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        found = _documents.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    fine = 0 < found.number < 1 << 53 and model.sound(found.model) and router_shares.sound(found.grants)
    return found if fine else None


class Sessions:
    """`documents.Part` for one router; `who` is a number that its process drew."""

    kind = "sessions"

    def __init__(self, settings: Settings, who: int) -> None:
        self.settings, self.who = settings, who
        self.table = session_table.SessionTable(settings.slots)
        self.evidence = Evidence()
        self.retention = CacheRetention()
        self.reservations = ReservationBook(settings.portions, settings.read_price)
        self.document: Document | None = None
        self.predictor: Predictor | None = None
        self.share = 0.0 if settings.granted else 1.0 / settings.routers
        self.engines: list[str] = []  # by number
        self.numbers: dict[str, int] = {}
        self._free: list[int] = []  # numbers of engines that have gone
        self.started: dict[int, float] = {}  # since_ms of each
        self._swept, self._swept_at = 0, -1.0
        self._keeps: dict[int, EngineReservations] = {}
        self.wanted = 0.0, 0.0
        # Share of turns whose session others served since it was here; routers begin by doubting.
        self.moved_share, self.met = float(settings.routers > 1), 0

    # --- engines

    def _number(self, engine: str) -> int:
        found = self.numbers.get(engine)
        if found is None:
            if self._free:
                found = self._free.pop()
                self.engines[found] = engine
            elif len(self.engines) < session_table.NO_HOME:
                found = len(self.engines)
                self.engines.append(engine)
            else:
                return (
                    session_table.NO_HOME
                )  # more engines than a fleet has: nothing is kept in mind of these
            self.numbers[engine] = found
        return found

    def update_engine(self, now: float, name: str, serving: bool, since_ms: float = 0.0) -> None:
        """What the list says of an engine: one that drains, is gone or has restarted keeps nothing for us."""
        number = self._number(name)
        restarted = since_ms > self.started.get(number, since_ms)
        self.started[number] = max(since_ms, self.started.get(number, since_ms))
        if restarted or not serving:
            self._lost(now, number)
        if not serving:
            self.started.pop(number)
            self._keeps.pop(number, None)
            self._free.append(self.numbers.pop(name, number))  # engines come and go for months

    def _lost(self, now: float, number: int) -> None:
        self.reservations.engine_gone(now, number)
        self.retention.forget(number)
        home, at = self.table.home, -1
        while True:
            try:
                at = home.index(number, at + 1)
            except ValueError:
                return
            home[at] = session_table.NO_HOME

    # --- sessions

    def request_arrived(
        self, now: float, key: int, cls: int, tenant: int, prompt: int, shared: int
    ) -> CacheHint:
        """A request of a session came, `key` of 64 bits, 0: of none; where its prompt lies."""
        t = self.table
        if not key:
            return UNKNOWN_HINT
        prompt, shared = min(max(prompt, 0), MOST_TOKENS), min(max(shared, 0), MOST_TOKENS)
        slot = t.find(key)
        if slot < 0:
            slot, full = t.place(now, key)
            if full:
                self._leave(now, slot)
            t.begin(slot, key)
            t.cls[slot], t.tenant[slot] = min(max(cls, 0), cells.MOST_CLASS), min(max(tenant, 0), 65_535)
            t.gap[slot] = t.answer[slot] = cells.NOT_KNOWN
            t.growth[slot] = cells.octave(float(prompt - shared))
            turns = 1
        else:
            turns = min(t.turns[slot] + 1, 65_535)
            weight = max(LEARN_LEAST, 1.0 / turns)
            if t.passed[slot] != session_table.OUT:
                away = t.away[slot] = max(0.0, now - t.at[slot])
                grown = cells.octave(float(prompt - t.context[slot]))
                self._told(slot, away, int(grown * SCALE))
                if key in self.reservations.by_key:
                    self.reservations.release(now, key, "return")
                gap, mean = cells.octave(away / cells.GAP_BASE_MS), t.gap[slot]
                t.gap[slot] = gap if mean < 0.0 else mean + max(LEARN_LEAST, 1.0 / (turns - 1)) * (gap - mean)
            mean = t.growth[slot]
            t.growth[slot] = mean + weight * (cells.octave(float(prompt - t.context[slot])) - mean)
        t.turns[slot], t.at[slot], t.passed[slot] = turns, now, session_table.OUT
        t.prompt[slot], t.shared[slot] = prompt, shared
        home = t.home[slot]
        if home == session_table.NO_HOME or self.moved_share > MAX_MOVED_SHARE:
            return UNKNOWN_HINT  # of one that moves only its key tells all routers the same
        share = self.retention.share(home, self.retention.since(home, t.mark[slot]) * self.settings.routers)
        return CacheHint(self.engines[home], int(share * max(0, min(t.context[slot], prompt) - shared)))

    def answer_ended(self, now: float, key: int, engine: str, answer: int, kept: int) -> Prediction | None:
        """Its answer was served by an engine that found so many tokens kept; what is thought of it now.

        An attempt that served nothing is no turn's end: it is not told here.
        """
        t = self.table
        slot = t.find(key) if key else -1
        if slot < 0 or t.passed[slot] != session_table.OUT:
            return None
        number, prompt, shared, turns = self._number(engine), t.prompt[slot], t.shared[slot], t.turns[slot]
        kept, answer = min(max(kept, 0), prompt), min(max(answer, 0), MOST_TOKENS)
        # Who finds more of its own kept than it left here was at another router in between, or before.
        self.met += 1
        learn = max(MOVED_LEARN, 1.0 / (self.met + MOVED_PRIOR))
        left = max(t.context[slot], shared)
        self.moved_share += learn * ((kept - left >= TELLS) - self.moved_share)
        if t.home[slot] == number:
            self._observe(now, slot, number, kept)
        gap, growth, mean = t.gap[slot], t.growth[slot], t.answer[slot]
        told = cells.octave(answer + 1.0)
        mean = told if mean < 0.0 else mean + max(LEARN_LEAST, 1.0 / turns) * (told - mean)
        context = t.context[slot] = min(prompt + answer, MOST_TOKENS)
        t.answer[slot], t.home[slot], t.at[slot], t.passed[slot] = mean, number, now, 0
        t.mark[slot] = self.retention.pour(number, prompt - kept + answer)
        cell = t.cell[slot] = cells.cell(t.cls[slot], turns, gap, growth, mean)
        counts = self.evidence.at(cell)
        if counts is not None:
            counts.count += 1
            counts.gap += int(gap * SCALE) if gap > 0.0 else 0
            counts.growth += int(growth * SCALE)
            counts.answer += int(mean * SCALE)
        if self.predictor is None:
            t.worth[slot] = LEAST_CHANCE * context
            return None
        found = self.predict(now, key, cell)
        tokens, tenant = max(0, context - shared), t.tenant[slot]
        word = self.reservations.word(tenant)
        t.worth[slot] = found.return_chance * tokens * word
        room = self.retention.room(number)
        if found.return_chance >= LEAST_CHANCE and room > 0.0 and number != session_table.NO_HOME:
            hold, chance = found.p90_return_ms, found.p90_return_chance
            longest = self.retention.longest_ms()
            if hold > longest:
                hold = max(longest, cells.EDGES_MS[0])
                chance = 1.0 - found.still(hold)
            self._wanted(now, chance * tokens * word)
            most = PROMISE * room * self.share
            self.reservations.reserve(now, key, number, tenant, tokens, chance, now + hold, most)
        return found

    def predict(self, now: float, key: int, cell: int) -> Prediction:
        """What is thought of a session in this cell; only while a model stands."""
        assert self.predictor is not None
        return self.predictor.of(cell)

    def _observe(self, now: float, slot: int, number: int, kept: int) -> None:
        """What was found at a session's home tells of its room; one found empty keeps nothing any more."""
        t = self.table
        shared = t.shared[slot]
        left = min(t.context[slot], t.prompt[slot]) - shared
        poured = self.retention.since(number, t.mark[slot]) * self.settings.routers
        if self.retention.observe(number, poured, t.away[slot], left, kept - shared):
            self.reservations.engine_gone(now, number)

    # --- waits

    def _told(self, slot: int, away_ms: float, added: int = -1) -> None:
        """Who is away has outlasted the spans before this one, each told once; 0 or more: it returned."""
        t = self.table
        first, last = t.passed[slot], cells.span(away_ms)
        if last > first or added >= 0:
            counts = self.evidence.at(t.cell[slot])
            if counts is not None:
                for n in range(first, last):
                    counts.outlasted[n] += 1
                if added >= 0 and last < cells.SPANS:
                    counts.returned[last] += 1
                    counts.added += added
            t.passed[slot] = last

    def _leave(self, now: float, slot: int) -> None:
        """It gives way or has gone: what is known of its wait is told, and nothing stays."""
        t = self.table
        if t.passed[slot] != session_table.OUT:
            self._told(slot, max(0.0, now - t.at[slot]))
        self.reservations.release(now, t.keys[slot], "time")
        t.forget(slot)

    def sweep(self, now: float) -> None:
        """Look at the next sets: call it about every second. Ends what was reserved long enough."""
        t = self.table
        self.reservations.expire(now)
        self._fit(now)
        passed = 1000.0 if self._swept_at < 0.0 else max(0.0, now - self._swept_at)
        self._swept_at = now
        number = min(MOST_SWEPT, max(1, int(t.sets * passed / SWEEP_MS)))
        for turn in range(number):
            base = (self._swept + turn) % t.sets * session_table.WAYS
            if not any(t.keys[base : base + session_table.WAYS]):
                continue
            for slot in range(base, base + session_table.WAYS):
                if t.keys[slot]:
                    away, at = now - t.at[slot], t.passed[slot]
                    if away >= cells.HORIZON_MS:
                        self._leave(now, slot)
                    elif at != session_table.OUT and away >= cells.EDGES_MS[at]:
                        self._told(slot, away)
        self._swept = (self._swept + number) % t.sets

    # --- facts

    def engine_reservations(self, now: float, engine: str) -> EngineReservations:
        """What pushing tokens out of this engine would cost."""
        number = self.numbers.get(engine)
        if number is None:
            return EngineReservations(0.0, 0, now)
        old = self._keeps.get(number)
        if old is not None and now - old.at < KEEPS_MS:
            return old
        room = self.retention.room(number)
        account = self.reservations.slices.get(number)
        density = self.reservations.density(number, room * self.share)
        found = EngineReservations(density, account.held if account is not None else 0, now)
        self._keeps[number] = found
        return found

    def charges(self, now: float) -> dict[int, float]:
        """What tenants owe for memory reserved since this was last asked, in tokens as entitlements count."""
        return {tenant: held / HELD_AS_READ_S for tenant, held in self.reservations.charges(now).items()}

    # --- the fleet

    def summary(self, now: float) -> bytes:
        """Counts of behaviour by cell, and how much would be reserved."""
        acts_on = self.document.number if self.document is not None else 0
        return self.evidence.body(now, self.who, acts_on, int(self._wanted(now, 0.0)))

    def _wanted(self, now: float, more: float) -> float:
        """Tokens that would come back, reserved or not, of the last WANTED_MS or so."""
        total, at = self.wanted
        self.wanted = total * exp(min(0.0, at - now) / WANTED_MS) + more, max(at, now)
        return self.wanted[0]

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """A model of all counts, and grants; the same whatever the order of bodies."""
        told = sorted(
            (one for one in map(turn_counts.read, bodies) if one is not None),
            key=msgspec.msgpack.encode,
        )  # fmt: skip
        stands = read(last) if last is not None else None
        made = model.fit(turn_counts.merge(told), stands.model if stands is not None else None)
        if made is None and stands is None:
            return None
        before = stands if stands is not None else Document(0, model.NONE, {})
        chosen, number = made if made is not None else before.model, before.number + 1
        grants = router_shares.grant(now, told, before.number, before.grants)
        while True:
            body = msgspec.msgpack.encode(Document(number, chosen, grants))
            if len(body) <= MAX_BODY_BYTES:
                return body
            if not chosen.cells:
                return None
            chosen = chosen.lighter()

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Act on a decision; None: predict and reserve nothing."""
        if body is None:
            self.document = self.predictor = None
            self.share = 0.0 if self.settings.granted else self.share
            self.reservations.clear(now)
            return True
        found = read(body)
        if found is None:
            return False
        if self.document is None or found.model != self.document.model:
            self.predictor = Predictor(found.model)
        self.document = found
        if self.settings.granted:
            mine = found.grants.get(self.who)
            self.share = mine.share / router_shares.WHOLE if mine is not None else 0.0
            self._fit(now)
        return True

    def _fit(self, now: float) -> None:
        """Hold no more than may be held: a share was taken, or a room is smaller than it seemed."""
        for engine in list(self.reservations.slices):
            self.reservations.fit(now, engine, PROMISE * self.retention.room(engine) * self.share)
