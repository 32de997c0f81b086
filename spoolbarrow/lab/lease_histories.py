"""Histories of the lease in virtual time: routers that stop, die, lose words and have clocks of their own.

`play` runs one history from a seed against a store that does what the real one promises (one write replaces
a revision; reads may be old), and holds at each step what must hold: what is written never goes back to a
lower epoch or number, a number under an epoch means one decision, and a router acts on no decision that was
replaced longer ago than its time to live and the oldest read. `fenced=False` takes the store's comparison
away, which a history must find.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random

from msgspec import Struct

from spoolbarrow.fleet.documents import LeaseRecord, decode_document, encode_document
from spoolbarrow.fleet.lease import (
    DECISION_TTL_LEASES,
    ActiveDecision,
    ConditionalWrite,
    LeaseClaim,
    ObservedRecord,
    decode_record,
)

KEY = "fleet/standing/history"
TTL_MS, PERIOD_MS = 4000.0, 500.0
LAG_MS = 1500.0  # a read is so old at most, and a write so long on its way
SKEW = 0.02  # clocks go so much too fast or slow
QUIET_MS = 20_000.0  # at the end nothing fails for so long: all must act alike by then


class InvariantViolated(AssertionError):
    """A history in which something does not hold."""


class Router:
    """A router's process: its clock, and the two state machines."""

    def __init__(self, name: str, random: Random) -> None:
        self.name, self._random = name, random
        self._offset, self._rate = random.uniform(-6e4, 6e4), 1 + random.uniform(-SKEW, SKEW)
        self.processes = 0
        self.stopped_until = 0.0
        self.begin()

    def begin(self) -> None:
        """A process that knows nothing."""
        self.processes += 1
        self.claim = LeaseClaim(self.name, f"{self.name}.{self.processes}", TTL_MS)
        self.acting = ActiveDecision(DECISION_TTL_LEASES * TTL_MS)

    def clock(self, now: float) -> float:
        """Its own."""
        return self._offset + now * self._rate


class Played(Struct):
    """What a history came to."""

    decisions: int
    epochs: int
    refused: int  # writes that the fence refused
    fallbacks: int  # looks at which a router that had decided before acted on none


class History:
    """One history: a heap of what happens next."""

    def __init__(self, seed: int, routers: int, fenced: bool) -> None:
        self.random, self.fenced = Random(seed), fenced
        self.routers = [Router(f"r{n}", self.random) for n in range(routers)]
        self.written: list[tuple[float, ObservedRecord]] = [(0.0, ObservedRecord(0))]
        self.revision = 0
        self.bodies: dict[tuple[int, int], bytes] = {}
        self.replaced: dict[tuple[int, int], float] = {}
        self.played = Played(0, 0, 0, 0)
        self.faulty = True
        self._heap: list[tuple[float, int, int, ConditionalWrite | None]] = []
        self._order = count()

    def at(self, when: float, router: int, put: ConditionalWrite | None = None) -> None:
        """A router's turn, or a write of it that arrives."""
        heappush(self._heap, (when, next(self._order), router, put))

    def run(self, until: float) -> None:
        """Play it."""
        for number in range(len(self.routers)):
            self.at(self.random.uniform(0, PERIOD_MS), number)
        while self._heap and self._heap[0][0] < until:
            now, _, number, put = heappop(self._heap)
            self.faulty = now < until - QUIET_MS
            if put is not None:
                self.arrive(now, put)
                continue
            self.at(now + PERIOD_MS * self.random.uniform(0.8, 1.2), number)
            router = self.routers[number]
            if now >= router.stopped_until:
                self.turn(now, number, router)

    def turn(self, now: float, number: int, router: Router) -> None:
        """Read, perhaps; write, perhaps; be stopped or killed between the two, perhaps."""
        chance, clock = self.random.random, router.clock(now)
        if not self.faulty or chance() < 0.8:
            old = now - (self.random.uniform(0, LAG_MS) if self.faulty and chance() < 0.5 else 0.0)
            found = next(one for at, one in reversed(self.written) if at <= max(0.0, old))
            router.claim.observe(clock, found)
            router.acting.observe(clock, found)
        self.look(now, router)
        wish = b"%d by %s" % (now // 3000, router.name.encode()) if router.claim.holds() else None
        put = router.claim.next_write(clock, wish)
        fault = chance() if self.faulty else 1.0
        if fault < 0.02:
            router.begin()
        elif fault < 0.05:
            router.stopped_until = now + self.random.uniform(0, 5 * TTL_MS)
        if put is None or fault < 0.02 or (self.faulty and chance() < 0.1):
            return  # nothing to say, or it died before it was said, or it was lost
        late = self.random.uniform(0, LAG_MS) if self.faulty else 0.0
        if fault < 0.05 and chance() < 0.5:
            late = router.stopped_until - now  # it was stopped before the write left
        self.at(now + late, number, put)

    def arrive(self, now: float, put: ConditionalWrite) -> None:
        """The store's side of a write."""
        if self.fenced and put.expected_revision != self.revision:
            self.played.refused += 1
            return
        self.revision += 1 + self.random.randrange(3)  # other documents are written in between
        before = self.written[-1][1].record
        stands = decode_record(KEY, self.revision, encode_document(put.record).decode())
        self.written.append((now, stands))
        self.hold(now, before, decode_document(KEY, encode_document(put.record), LeaseRecord))

    def hold(self, now: float, before: LeaseRecord | None, after: LeaseRecord) -> None:
        """What must hold of each write."""
        if before is not None and after.epoch < before.epoch:
            raise InvariantViolated(f"epoch {after.epoch} after {before.epoch}")
        self.played.epochs += before is None or after.epoch > before.epoch
        old, new = None if before is None else before.decision, after.decision
        if new is None:
            if old is not None:
                raise InvariantViolated("a decision was lost")
            return
        number = (new.epoch, new.number)
        if old is not None and number < (old.epoch, old.number):
            raise InvariantViolated(f"decision {number} after {(old.epoch, old.number)}")
        if self.bodies.setdefault(number, new.body) != new.body:
            raise InvariantViolated(f"decision {number} is two")
        if old is None or number != (old.epoch, old.number):
            self.played.decisions += 1
            if old is not None:
                self.replaced[(old.epoch, old.number)] = now

    def look(self, now: float, router: Router) -> None:
        """What must hold of what a router acts on."""
        acts = router.acting.current(router.clock(now))
        self.played.fallbacks += acts is None and router.acting.decision is not None
        if acts is None:
            return
        if self.bodies.get((acts.epoch, acts.number)) != acts.body:
            raise InvariantViolated("acts on what was never written")
        gone = self.replaced.get((acts.epoch, acts.number), now)
        if now - gone > DECISION_TTL_LEASES * TTL_MS * (1 + SKEW) / (1 - SKEW) + LAG_MS:
            raise InvariantViolated(f"acts on a decision replaced {now - gone:.0f} ms ago")


def play(seed: int, routers: int = 5, seconds: float = 120.0, fenced: bool = True) -> Played:
    """One history; InvariantViolated where something does not hold, at its end too: all act on the same."""
    history = History(seed, routers, fenced)
    end = seconds * 1000
    history.run(end)
    awake = [router for router in history.routers if router.stopped_until < end - QUIET_MS]
    acts = {router.acting.current(router.clock(end)) for router in awake}
    standing = history.written[-1][1].record
    assert standing is not None
    numbers = {(one.epoch, one.number) if one is not None else None for one in acts}
    if None in numbers or len(numbers) > 2:  # a decision of the last moment may be known to some
        raise InvariantViolated(f"at the end routers act on {numbers}")
    return history.played
