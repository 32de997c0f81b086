"""Sessions as a part of the fleet's decisions: predicts returns of one router's sessions and reserves cache.

Owns the session table, the turn counts, the model in force and the reservations. It says what is worth
keeping in which engine's cache and leaves the choice of an engine to the routing decisions. Keys are numbers
without a meaning outside of this process. Times are Unix milliseconds; input may be hostile.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp

import msgspec
from msgspec import Struct

from spoolbarrow.errors import Problem
from spoolbarrow.fleet.documents import MAX_BODY_BYTES
from spoolbarrow.sessions import cells, model, router_shares, session_table, turn_counts
from spoolbarrow.sessions.cache_retention import MIN_EXPECTED_TOKENS, CacheRetention
from spoolbarrow.sessions.model import Prediction, Predictor
from spoolbarrow.sessions.reservations import ReservationBook
from spoolbarrow.sessions.turn_counts import SCALE, TurnCounts

SWEEP_MS = 60_000.0  # period in which every session's wait is counted, and ended sessions are removed
MIN_RETURN_CHANCE = 0.05  # for a reservation
MIN_TURN_WEIGHT = 0.2  # of the newest turn in a session's means
# Above MAX_MOVED_SHARE a session's preferred engine is by its key alone, on which all routers agree.
MAX_MOVED_SHARE, MOVED_MIN_WEIGHT, MOVED_PRIOR_TURNS = 0.05, 0.01, 4
MAX_TOKENS = 0xFFFFFFFF
MAX_SWEPT_SETS = 512  # per sweep: a long pause must not be followed by a long sweep
PREFILL_EQUIVALENT_S = 100.0  # reserving a prompt for so long is charged like one prefill of it
RESERVATIONS_MAX_AGE_MS = 250.0  # of an engine's values, before they are computed again
WANTED_DECAY_MS = 60_000.0
USABLE_SHARE = 0.9  # of the learnt capacity: the part that is certain


class SessionsError(Problem):
    """A setting of sessions is out of range."""

    status = 2
    remedy = "Correct the named key as the message says; nothing was changed."


class Settings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The settings of sessions."""

    routers: int = 1  # that share the engines equally, without a store that grants shares
    slots: int = session_table.SLOTS  # sessions that a router can track; 64 bytes each
    portions: tuple[float, ...] = ()  # of tenants, from the platform's settings
    granted: bool = (
        False  # whether shares come with the decision (of a store): without one nothing is reserved
    )
    read_price: float = 1.0  # value of a prompt token that need not be prefilled

    def __post_init__(self) -> None:
        """Reject values out of range, each by its key."""
        if self.routers < 1:
            raise SessionsError("sessions.routers", "must be at least 1")
        if not session_table.WAYS <= self.slots <= 1 << 22:
            raise SessionsError("sessions.slots", f"must lie between {session_table.WAYS} and {1 << 22}")
        if not all(p >= 0.0 for p in self.portions):
            raise SessionsError("sessions.portions", "must not be negative")
        if not 0.0 < self.read_price < 1e9:
            raise SessionsError("sessions.read_price", "must be above 0")


class CacheHint(Struct, frozen=True):
    """What is known of a request's cached prefix before the request is placed."""

    home: str  # the engine with its cached prefix; empty: none
    cached_tokens: int = 0  # tokens expected to be cached there, beyond the shared prefix


class EngineReservations(Struct, frozen=True):
    """The reservations at an engine."""

    reuse_density: float  # expected reuse of each token evicted
    held: int  # tokens reserved by this router
    at: float  # when this was computed


class Document(Struct, forbid_unknown_fields=True):
    """The decision: a model, and the share of engines' capacity that each router may reserve."""

    number: int
    model: model.Model
    grants: dict[int, router_shares.Grant]


UNKNOWN_HINT = CacheHint("")
_decoder = msgspec.msgpack.Decoder(Document)


def decode_document(body: bytes) -> Document | None:
    """Decode a decision; None where it is malformed or holds impossible values."""
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        document = _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    is_valid = (
        0 < document.number < 1 << 53
        and model.is_valid(document.model)
        and router_shares.are_valid(document.grants)
    )
    return document if is_valid else None


class Sessions:
    """`documents.Part` for one router; `who` is a random number of its process."""

    kind = "sessions"

    def __init__(self, settings: Settings, who: int) -> None:
        self.settings, self.who = settings, who
        self.table = session_table.SessionTable(settings.slots)
        self.evidence = TurnCounts()
        self.retention = CacheRetention()
        self.reservations = ReservationBook(settings.portions, settings.read_price)
        self.document: Document | None = None
        self.predictor: Predictor | None = None
        self.share = 0.0 if settings.granted else 1.0 / settings.routers
        self.engines: list[str] = []  # by number
        self.numbers: dict[str, int] = {}
        self._free: list[int] = []  # numbers of removed engines
        self.started: dict[int, float] = {}  # since_ms by engine number
        self._swept, self._swept_at = 0, -1.0
        self._engine_reservations: dict[int, EngineReservations] = {}
        self.wanted = 0.0, 0.0
        # Share of turns whose session was served elsewhere since its last turn here; assumed high at first.
        self.moved_share, self.turns_seen = float(settings.routers > 1), 0

    # --- engines

    def _engine_number(self, engine: str) -> int:
        number = self.numbers.get(engine)
        if number is None:
            if self._free:
                number = self._free.pop()
                self.engines[number] = engine
            elif len(self.engines) < session_table.NO_ENGINE:
                number = len(self.engines)
                self.engines.append(engine)
            else:
                return session_table.NO_ENGINE  # too many engines: these are not tracked
            self.numbers[engine] = number
        return number

    def update_engine(self, now: float, name: str, serving: bool, since_ms: float = 0.0) -> None:
        """Take an engine's state from the list; one that drains, was removed or restarted loses its cache."""
        number = self._engine_number(name)
        restarted = since_ms > self.started.get(number, since_ms)
        self.started[number] = max(since_ms, self.started.get(number, since_ms))
        if restarted or not serving:
            self._forget_engine(now, number)
        if not serving:
            self.started.pop(number)
            self._engine_reservations.pop(number, None)
            self._free.append(self.numbers.pop(name, number))  # reused, since engines come and go for months

    def _forget_engine(self, now: float, number: int) -> None:
        self.reservations.release_engine(now, number)
        self.retention.forget(number)
        home, at = self.table.home, -1
        while True:
            try:
                at = home.index(number, at + 1)
            except ValueError:
                return
            home[at] = session_table.NO_ENGINE

    # --- sessions

    def request_arrived(
        self, now: float, key: int, cls: int, tenant: int, prompt: int, shared: int
    ) -> CacheHint:
        """Record a request of a session (`key` of 64 bits; 0: none); returns where its prompt is cached."""
        t = self.table
        if not key:
            return UNKNOWN_HINT
        prompt, shared = min(max(prompt, 0), MAX_TOKENS), min(max(shared, 0), MAX_TOKENS)
        slot = t.find(key)
        if slot < 0:
            slot, occupied = t.place(now, key)
            if occupied:
                self._remove(now, slot)
            t.begin(slot, key)
            t.cls[slot], t.tenant[slot] = min(max(cls, 0), cells.MAX_CLASS), min(max(tenant, 0), 65_535)
            t.gap[slot] = t.answer[slot] = cells.UNKNOWN
            t.growth[slot] = cells.octave(float(prompt - shared))
            turns = 1
        else:
            turns = min(t.turns[slot] + 1, 65_535)
            weight = max(MIN_TURN_WEIGHT, 1.0 / turns)
            if t.passed[slot] != session_table.IN_PROGRESS:
                away = t.away[slot] = max(0.0, now - t.at[slot])
                added = cells.octave(float(prompt - t.context[slot]))
                self._count_wait(slot, away, int(added * SCALE))
                if key in self.reservations.by_key:
                    self.reservations.release(now, key, "return")
                gap, mean = cells.octave(away / cells.GAP_BASE_MS), t.gap[slot]
                t.gap[slot] = (
                    gap if mean < 0.0 else mean + max(MIN_TURN_WEIGHT, 1.0 / (turns - 1)) * (gap - mean)
                )
            mean = t.growth[slot]
            t.growth[slot] = mean + weight * (cells.octave(float(prompt - t.context[slot])) - mean)
        t.turns[slot], t.at[slot], t.passed[slot] = turns, now, session_table.IN_PROGRESS
        t.prompt[slot], t.shared[slot] = prompt, shared
        home = t.home[slot]
        if home == session_table.NO_ENGINE or self.moved_share > MAX_MOVED_SHARE:
            return UNKNOWN_HINT  # sessions move between routers, which agree only on a key's engine
        share = self.retention.share(home, self.retention.since(home, t.mark[slot]) * self.settings.routers)
        return CacheHint(self.engines[home], int(share * max(0, min(t.context[slot], prompt) - shared)))

    def answer_ended(self, now: float, key: int, engine: str, answer: int, cached: int) -> Prediction | None:
        """Record an answer by an engine that had `cached` tokens of the prompt; returns the prediction.

        Only attempts that served an answer end a turn; others are not reported here.
        """
        t = self.table
        slot = t.find(key) if key else -1
        if slot < 0 or t.passed[slot] != session_table.IN_PROGRESS:
            return None
        number, prompt, shared, turns = (
            self._engine_number(engine),
            t.prompt[slot],
            t.shared[slot],
            t.turns[slot],
        )
        cached, answer = min(max(cached, 0), prompt), min(max(answer, 0), MAX_TOKENS)
        # More cached tokens than were left here show that another router served the session meanwhile.
        self.turns_seen += 1
        weight = max(MOVED_MIN_WEIGHT, 1.0 / (self.turns_seen + MOVED_PRIOR_TURNS))
        known = max(t.context[slot], shared)
        self.moved_share += weight * ((cached - known >= MIN_EXPECTED_TOKENS) - self.moved_share)
        if t.home[slot] == number:
            self._observe(now, slot, number, cached)
        gap, growth, mean = t.gap[slot], t.growth[slot], t.answer[slot]
        octaves = cells.octave(answer + 1.0)
        mean = octaves if mean < 0.0 else mean + max(MIN_TURN_WEIGHT, 1.0 / turns) * (octaves - mean)
        context = t.context[slot] = min(prompt + answer, MAX_TOKENS)
        t.answer[slot], t.home[slot], t.at[slot], t.passed[slot] = mean, number, now, 0
        t.mark[slot] = self.retention.add_tokens(number, prompt - cached + answer)
        cell = t.cell[slot] = cells.encode(t.cls[slot], turns, gap, growth, mean)
        counts = self.evidence.counts_of(cell)
        if counts is not None:
            counts.count += 1
            counts.gap += int(gap * SCALE) if gap > 0.0 else 0
            counts.growth += int(growth * SCALE)
            counts.answer += int(mean * SCALE)
        if self.predictor is None:
            t.worth[slot] = MIN_RETURN_CHANCE * context
            return None
        prediction = self.predict(now, key, cell)
        tokens, tenant = max(0, context - shared), t.tenant[slot]
        reliability = self.reservations.reliability(tenant)
        t.worth[slot] = prediction.return_chance * tokens * reliability
        capacity = self.retention.capacity(number)
        if (
            prediction.return_chance >= MIN_RETURN_CHANCE
            and capacity > 0.0
            and number != session_table.NO_ENGINE
        ):
            hold, chance = prediction.p90_return_ms, prediction.p90_return_chance
            longest = self.retention.longest_ms()
            if hold > longest:
                hold = max(longest, cells.EDGES_MS[0])
                chance = 1.0 - prediction.share_away(hold)
            self._add_wanted(now, chance * tokens * reliability)
            limit = USABLE_SHARE * capacity * self.share
            self.reservations.reserve(now, key, number, tenant, tokens, chance, now + hold, limit)
        return prediction

    def predict(self, now: float, key: int, cell: int) -> Prediction:
        """The prediction for a session in this cell; only while a model is in force."""
        assert self.predictor is not None
        return self.predictor.predict(cell)

    def _observe(self, now: float, slot: int, number: int, cached: int) -> None:
        """Learn an engine's cache capacity from a returned session; a lost cache ends its reservations."""
        t = self.table
        shared = t.shared[slot]
        expected = min(t.context[slot], t.prompt[slot]) - shared
        added = self.retention.since(number, t.mark[slot]) * self.settings.routers
        if self.retention.observe(number, added, t.away[slot], expected, cached - shared):
            self.reservations.release_engine(now, number)

    # --- waits

    def _count_wait(self, slot: int, away_ms: float, added: int = -1) -> None:
        """Count the spans that a wait has outlasted, each once; `added` >= 0: the session returned."""
        t = self.table
        first, last = t.passed[slot], cells.span(away_ms)
        if last > first or added >= 0:
            counts = self.evidence.counts_of(t.cell[slot])
            if counts is not None:
                for n in range(first, last):
                    counts.outlasted[n] += 1
                if added >= 0 and last < cells.SPANS:
                    counts.returned[last] += 1
                    counts.added += added
            t.passed[slot] = last

    def _remove(self, now: float, slot: int) -> None:
        """Remove a session that was replaced or ended, and count its wait so far."""
        t = self.table
        if t.passed[slot] != session_table.IN_PROGRESS:
            self._count_wait(slot, max(0.0, now - t.at[slot]))
        self.reservations.release(now, t.keys[slot], "time")
        t.clear(slot)

    def sweep(self, now: float) -> None:
        """Process the next sets of the table and end expired reservations; call it about every second."""
        t = self.table
        self.reservations.expire(now)
        self._fit_reservations(now)
        elapsed = 1000.0 if self._swept_at < 0.0 else max(0.0, now - self._swept_at)
        self._swept_at = now
        count = min(MAX_SWEPT_SETS, max(1, int(t.sets * elapsed / SWEEP_MS)))
        for turn in range(count):
            base = (self._swept + turn) % t.sets * session_table.WAYS
            if not any(t.keys[base : base + session_table.WAYS]):
                continue
            for slot in range(base, base + session_table.WAYS):
                if t.keys[slot]:
                    away, at = now - t.at[slot], t.passed[slot]
                    if away >= cells.HORIZON_MS:
                        self._remove(now, slot)
                    elif at != session_table.IN_PROGRESS and away >= cells.EDGES_MS[at]:
                        self._count_wait(slot, away)
        self._swept = (self._swept + count) % t.sets

    # --- routing hints

    def engine_reservations(self, now: float, engine: str) -> EngineReservations:
        """The reservations at an engine, which show the cost of evicting tokens there."""
        number = self.numbers.get(engine)
        if number is None:
            return EngineReservations(0.0, 0, now)
        old = self._engine_reservations.get(number)
        if old is not None and now - old.at < RESERVATIONS_MAX_AGE_MS:
            return old
        capacity = self.retention.capacity(number)
        account = self.reservations.accounts.get(number)
        density = self.reservations.density(number, capacity * self.share)
        result = EngineReservations(density, account.held if account is not None else 0, now)
        self._engine_reservations[number] = result
        return result

    def charges(self, now: float) -> dict[int, float]:
        """Charges by tenant for cache reserved since the last call, in tokens as entitlements count them."""
        return {
            tenant: held / PREFILL_EQUIVALENT_S for tenant, held in self.reservations.charges(now).items()
        }

    # --- interface of a part

    def summary(self, now: float) -> bytes:
        """The counts of turns by cell, and the tokens that would be reserved."""
        acts_on = self.document.number if self.document is not None else 0
        return self.evidence.body(now, self.who, acts_on, int(self._add_wanted(now, 0.0)))

    def _add_wanted(self, now: float, tokens: float) -> float:
        """Tokens expected to be used again, reserved or not, of the last WANTED_DECAY_MS or so."""
        total, at = self.wanted
        self.wanted = total * exp(min(0.0, at - now) / WANTED_DECAY_MS) + tokens, max(at, now)
        return self.wanted[0]

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """Fit a model to all counts, and grant shares; independent of the order of bodies."""
        summaries = sorted(
            (summary for summary in map(turn_counts.decode_summary, bodies) if summary is not None),
            key=msgspec.msgpack.encode,
        )  # fmt: skip
        current = decode_document(last) if last is not None else None
        fitted = model.fit(turn_counts.merge(summaries), current.model if current is not None else None)
        if fitted is None and current is None:
            return None
        previous = current if current is not None else Document(0, model.EMPTY_MODEL, {})
        chosen, number = fitted if fitted is not None else previous.model, previous.number + 1
        grants = router_shares.grant(now, summaries, previous.number, previous.grants)
        while True:
            body = msgspec.msgpack.encode(Document(number, chosen, grants))
            if len(body) <= MAX_BODY_BYTES:
                return body
            if not chosen.cells:
                return None
            chosen = chosen.with_fewer_cells()

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Apply a decision; None: predict and reserve nothing."""
        if body is None:
            self.document = self.predictor = None
            self.share = 0.0 if self.settings.granted else self.share
            self.reservations.clear(now)
            return True
        document = decode_document(body)
        if document is None:
            return False
        if self.document is None or document.model != self.document.model:
            self.predictor = Predictor(document.model)
        self.document = document
        if self.settings.granted:
            grant = document.grants.get(self.who)
            self.share = grant.share / router_shares.FULL_SHARE if grant is not None else 0.0
            self._fit_reservations(now)
        return True

    def _fit_reservations(self, now: float) -> None:
        """Release reservations beyond the limits, after a share or a learnt capacity became smaller."""
        for engine in list(self.reservations.accounts):
            self.reservations.fit(now, engine, USABLE_SHARE * self.retention.capacity(engine) * self.share)
