"""Simulates random histories of the lease: routers pause, die, lose writes and have drifting clocks.

`play` runs one history in virtual time, from a seed, against a store with the guarantees of the real one (a
write replaces one revision; reads may be stale). It checks the invariants at each step: writes never go back
to a lower epoch or number, a number within an epoch means one decision, and a router acts on no decision that
was replaced longer ago than its time to live plus the age of the oldest read. `fenced=False` removes the
store's revision check, and a history must detect that.
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
MAX_DELAY_MS = 1500.0  # greatest age of a read, and greatest delay of a write
SKEW = 0.02  # greatest relative error of a clock's rate
FAULT_FREE_MS = 20_000.0  # fault-free time at the end, by which all routers must act on the same decision


class InvariantViolated(AssertionError):
    """An invariant does not hold in a history."""


class Router:
    """A router process: its clock and the two state machines."""

    def __init__(self, name: str, random: Random) -> None:
        self.name, self._random = name, random
        self._offset, self._rate = random.uniform(-6e4, 6e4), 1 + random.uniform(-SKEW, SKEW)
        self.processes = 0
        self.stopped_until = 0.0
        self.begin()

    def begin(self) -> None:
        """Start a process without any state."""
        self.processes += 1
        self.claim = LeaseClaim(self.name, f"{self.name}.{self.processes}", TTL_MS)
        self.acting = ActiveDecision(DECISION_TTL_LEASES * TTL_MS)

    def clock(self, now: float) -> float:
        """The time by the router's own clock."""
        return self._offset + now * self._rate


class HistoryResult(Struct):
    """The counts of a history."""

    decisions: int
    epochs: int
    refused: int  # writes that the revision check refused
    fallbacks: int  # checks at which a router that had a decision acted on none


class History:
    """One history: a heap of pending events."""

    def __init__(self, seed: int, routers: int, fenced: bool) -> None:
        self.random, self.fenced = Random(seed), fenced
        self.routers = [Router(f"r{n}", self.random) for n in range(routers)]
        self.written: list[tuple[float, ObservedRecord]] = [(0.0, ObservedRecord(0))]
        self.revision = 0
        self.bodies: dict[tuple[int, int], bytes] = {}
        self.replaced: dict[tuple[int, int], float] = {}
        self.result = HistoryResult(0, 0, 0, 0)
        self.faulty = True
        self._heap: list[tuple[float, int, int, ConditionalWrite | None]] = []
        self._order = count()

    def at(self, when: float, router: int, put: ConditionalWrite | None = None) -> None:
        """Schedule a router's next step, or the arrival of its write."""
        heappush(self._heap, (when, next(self._order), router, put))

    def run(self, until: float) -> None:
        """Run the history until the given time."""
        for number in range(len(self.routers)):
            self.at(self.random.uniform(0, PERIOD_MS), number)
        while self._heap and self._heap[0][0] < until:
            now, _, number, put = heappop(self._heap)
            self.faulty = now < until - FAULT_FREE_MS
            if put is not None:
                self.apply_write(now, put)
                continue
            self.at(now + PERIOD_MS * self.random.uniform(0.8, 1.2), number)
            router = self.routers[number]
            if now >= router.stopped_until:
                self.step(now, number, router)

    def step(self, now: float, number: int, router: Router) -> None:
        """One step of a router: a possible read and write, and possibly a pause or a kill between the two."""
        chance, clock = self.random.random, router.clock(now)
        if not self.faulty or chance() < 0.8:
            old = now - (self.random.uniform(0, MAX_DELAY_MS) if self.faulty and chance() < 0.5 else 0.0)
            found = next(one for at, one in reversed(self.written) if at <= max(0.0, old))
            router.claim.observe(clock, found)
            router.acting.observe(clock, found)
        self.check_acting(now, router)
        proposal = b"%d by %s" % (now // 3000, router.name.encode()) if router.claim.holds() else None
        put = router.claim.next_write(clock, proposal)
        fault = chance() if self.faulty else 1.0
        if fault < 0.02:
            router.begin()
        elif fault < 0.05:
            router.stopped_until = now + self.random.uniform(0, 5 * TTL_MS)
        if put is None or fault < 0.02 or (self.faulty and chance() < 0.1):
            return  # nothing to write, the router died before it, or the write was lost
        late = self.random.uniform(0, MAX_DELAY_MS) if self.faulty else 0.0
        if fault < 0.05 and chance() < 0.5:
            late = router.stopped_until - now  # the router was paused before it sent the write
        self.at(now + late, number, put)

    def apply_write(self, now: float, put: ConditionalWrite) -> None:
        """Apply a write at the store."""
        if self.fenced and put.expected_revision != self.revision:
            self.result.refused += 1
            return
        self.revision += 1 + self.random.randrange(3)  # other documents are written in between
        before = self.written[-1][1].record
        stands = decode_record(KEY, self.revision, encode_document(put.record).decode())
        self.written.append((now, stands))
        self.check_write(now, before, decode_document(KEY, encode_document(put.record), LeaseRecord))

    def check_write(self, now: float, before: LeaseRecord | None, after: LeaseRecord) -> None:
        """Check the invariants of a write."""
        if before is not None and after.epoch < before.epoch:
            raise InvariantViolated(f"epoch {after.epoch} after {before.epoch}")
        self.result.epochs += before is None or after.epoch > before.epoch
        old, new = None if before is None else before.decision, after.decision
        if new is None:
            if old is not None:
                raise InvariantViolated("a decision was lost")
            return
        number = (new.epoch, new.number)
        if old is not None and number < (old.epoch, old.number):
            raise InvariantViolated(f"decision {number} after {(old.epoch, old.number)}")
        if self.bodies.setdefault(number, new.body) != new.body:
            raise InvariantViolated(f"decision {number} has two bodies")
        if old is None or number != (old.epoch, old.number):
            self.result.decisions += 1
            if old is not None:
                self.replaced[(old.epoch, old.number)] = now

    def check_acting(self, now: float, router: Router) -> None:
        """Check the invariants of the decision that a router acts on."""
        acts = router.acting.current(router.clock(now))
        self.result.fallbacks += acts is None and router.acting.decision is not None
        if acts is None:
            return
        if self.bodies.get((acts.epoch, acts.number)) != acts.body:
            raise InvariantViolated("acts on a decision that was never written")
        gone = self.replaced.get((acts.epoch, acts.number), now)
        if now - gone > DECISION_TTL_LEASES * TTL_MS * (1 + SKEW) / (1 - SKEW) + MAX_DELAY_MS:
            raise InvariantViolated(f"acts on a decision replaced {now - gone:.0f} ms ago")


def play(seed: int, routers: int = 5, seconds: float = 120.0, fenced: bool = True) -> HistoryResult:
    """Run one history; InvariantViolated if an invariant fails, or if routers differ at the end."""
    history = History(seed, routers, fenced)
    end = seconds * 1000
    history.run(end)
    awake = [router for router in history.routers if router.stopped_until < end - FAULT_FREE_MS]
    acts = {router.acting.current(router.clock(end)) for router in awake}
    standing = history.written[-1][1].record
    assert standing is not None
    numbers = {(one.epoch, one.number) if one is not None else None for one in acts}
    if None in numbers or len(numbers) > 2:  # some may know a decision of the last moment
        raise InvariantViolated(f"at the end routers act on {numbers}")
    return history.result
