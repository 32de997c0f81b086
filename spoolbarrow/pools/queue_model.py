"""What a split would cost: predicted share of the worth that is late, from a queue model with batches.

An engine reads prompts first come, first served, and every step that reads also makes one token of each
stream. So reading is a queue at each engine, M/G/1 (the mean wait by F. Pollaczek and A. Khinchine, its tail
taken as exponential), and a stream's pace is the step's own time divided by the share of time that reading
leaves. What would wait for longer than its aim is refused, so the queue stays finite. Times are milliseconds,
rates requests a millisecond over the whole fleet. The approximations weighed stand in docs/pools.md: one
queue for all engines of a side, M/G/k, fits worse, since a router sees little of each engine.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import erfc, exp, inf, sqrt

from msgspec import Struct

FULL = 0.98  # share of the time that reading takes at most
HURT = 0.82  # of reading's time that streams lose: a step that reads makes a token of each as well
SPILL_READ, SPILL_WRITE = 1.2, 1.0  # aims of waiting at which a request leaves its side, all prices together
HALVINGS = 8  # of each search: a share is known to 0.4 %
NOTHING = 1e-12  # requests or tokens a millisecond: less is none
EASY = 0.5  # share of the time: below it next to nothing is refused


class Rates(Struct, frozen=True):
    """How fast one engine is."""

    read_ms: float  # for a prompt token, its share of the step's own time included
    step_ms: float  # from one token of a stream to the next, nothing being read, one stream running
    run_ms: float = 0.0  # more for each further stream
    slots: float = inf  # streams that run at once
    memory: float = inf  # tokens of context held at once


class Atom(Struct, frozen=True):
    """Requests of one class and about one prompt length."""

    cls: int
    low: float  # shortest prompt
    prompt: float  # mean tokens
    rate: float
    unread: float  # mean tokens not found kept
    unread_sq: float  # mean square of them
    answer: float  # mean tokens
    first_aim: float  # ms
    token_aim: float  # ms; 0: none
    worth: float  # lost when late


Flow = tuple[float, float, float, float, float, float]  # requests, tokens read, squares, made, aims, held


def flow(atoms: Sequence[Atom]) -> Flow:
    """What so many requests ask for together, a millisecond."""
    return (
        sum(a.rate for a in atoms),
        sum(a.rate * a.unread for a in atoms),
        sum(a.rate * a.unread_sq for a in atoms),
        sum(a.rate * a.answer for a in atoms),
        sum(a.rate * a.first_aim for a in atoms),
        sum(a.rate * a.answer * (a.prompt + a.answer / 2.0) for a in atoms),
    )


def mixed(own: Flow, stays: float, other: Flow, comes: float) -> Flow:
    """What is left of a side's own, with what spills to it."""
    a, b, c, d, e, f = (x * stays + y * comes for x, y in zip(own, other, strict=True))
    return a, b, c, d, e, f


def tail(x: float) -> float:
    """Chance that a standard normal variable exceeds x."""
    return 0.5 * erfc(x / sqrt(2.0))


class Side:
    """So many engines under a flow of requests."""

    def __init__(self, engines: int, asked: Flow, rates: Rates) -> None:
        count, read, square, made, aims, held = asked
        self.chance = self.mean = 0.0  # that reading waits, and for how long it then does
        self.kept = 1.0  # share not refused
        self.busy = read * rates.read_ms / engines  # share of the time
        self.read_ms = rates.read_ms
        if min(count, read) > NOTHING:
            service = read / count * rates.read_ms
            # The mean service, times 1 + its squared variation, halved.
            self._shape = service * square * count / read**2 / 2.0
            self._refuse(self.busy, aims / count)
        free = max(0.02, 1.0 - HURT * self.busy - rates.run_ms * made * self.kept / engines)
        self.pace = rates.step_ms / free
        self.square = square / engines * self.kept * rates.read_ms**2
        self.step_ms = rates.step_ms
        # Streams that run are Poisson, as in M/G/infinity, until slots or memory run out.
        running = made * self.kept * self.pace / engines
        room = min(rates.slots, rates.memory * made / held) if held > 0.0 else inf
        self.crowded = tail((room - running) / sqrt(running)) if running > 0.0 and room < inf else 0.0

    def _queue(self, busy: float) -> None:
        self.busy = min(FULL, busy)
        self.chance = self.busy
        self.mean = self._shape / (1.0 - self.busy)

    def _refuse(self, asked: float, aim: float) -> None:
        self._queue(asked)
        if asked < EASY:
            return
        low, high = 0.0, 1.0
        for _ in range(HALVINGS):
            refused = (low + high) / 2.0
            left = asked * (1.0 - refused)
            self._queue(left)
            if left > FULL or self.waits(aim) > refused:
                low = refused
            else:
                high = refused
        self.kept = 1.0 - high
        self._queue(asked * self.kept)

    def waits(self, longer: float) -> float:
        """Chance that reading begins later than so many ms."""
        if longer <= 0.0:
            return 1.0
        return self.chance * exp(-longer / self.mean) if self.mean > 0.0 else 0.0

    def slow(self, atom: Atom) -> float:
        """Chance that a stream's mean pace misses its aim: what is read meanwhile is compound Poisson."""
        if atom.token_aim <= 0.0 or atom.answer <= 1.0:
            return 0.0
        deviation = HURT * sqrt(self.square * self.pace / atom.answer)
        if deviation <= 0.0:
            return float(self.pace > atom.token_aim)
        return tail((atom.token_aim - self.pace) / deviation)

    def late(self, atom: Atom) -> float:
        """Chance that an answer is refused, or its first token or its pace late."""
        own = atom.unread * self.read_ms + self.step_ms
        well = (1.0 - self.waits(atom.first_aim - own)) * (1.0 - self.slow(atom))
        return 1.0 - min(well, self.kept) * (1.0 - self.crowded)


def _leaves(here: Side, there: Side, fee: float) -> float:
    """Chance that the wait here is longer than there by the fee (both exponential), or that here is full."""
    longer = 0.0
    if here.mean > 0.0:
        ahead = there.chance * there.mean / (here.mean + there.mean)
        longer = here.chance * exp(-fee / here.mean) * (1.0 - ahead)
    return max(longer, here.crowded * (1.0 - there.crowded))


class Traffic:
    """What is asked of a fleet, of which some requests read and the others write."""

    def __init__(self, atoms: Sequence[Atom], reads: Sequence[bool]) -> None:
        self.sides = {s: [a for a, r in zip(atoms, reads, strict=True) if r is s] for s in (True, False)}
        self.flows = {side: flow(atoms) for side, atoms in self.sides.items()}
        self.worth = sum(a.rate * a.worth for a in atoms) or 1.0
        self.fees = {
            side: aims * self.flows[side][4] / (self.flows[side][0] or 1.0)
            for side, aims in ((True, SPILL_READ), (False, SPILL_WRITE))
        }

    def unsplit(self, engines: int, rates: Rates) -> float:
        """Predicted share of the worth lost where any engine takes any request."""
        whole = Side(engines, mixed(self.flows[True], 1.0, self.flows[False], 1.0), rates)
        return sum(a.rate * a.worth * whole.late(a) for s in self.sides.values() for a in s) / self.worth

    def lost(self, readers: int, engines: int, rates: Rates) -> float:
        """The same where so many of the engines read and the others write; both must be some."""
        away = {True: 0.0, False: 0.0}

        def side(reads: bool) -> Side:
            asked = mixed(self.flows[reads], 1.0 - away[reads], self.flows[not reads], away[not reads])
            return Side(readers if reads else engines - readers, asked, rates)

        for reads in (True, False, True):
            low, high = 0.0, 1.0
            for _ in range(HALVINGS):
                away[reads] = middle = (low + high) / 2.0
                if _leaves(side(reads), side(not reads), self.fees[reads]) > middle:
                    low = middle
                else:
                    high = middle
        found, both = 0.0, {reads: side(reads) for reads in (True, False)}
        for reads, atoms in self.sides.items():
            own, other, x = both[reads], both[not reads], away[reads]
            found += sum(a.rate * a.worth * ((1.0 - x) * own.late(a) + x * other.late(a)) for a in atoms)
        return found / self.worth
