"""What the fleet can take, learnt at this router from what is served: a rate, and a limit of work under way.

The limit grows by a little with each answer that began in good time while it was used, and shrinks by a
share, once a while, when first tokens come late (additive increase, multiplicative decrease: D.-M. Chiu and
R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989). The rate is what
was finished a millisecond while the limit was reached. Times in ms, work in tokens.
"""

from __future__ import annotations

USED = 0.8  # of the limit: under way beyond this, it is used
GROW = 0.05  # of an answer's work, added to the limit for each in good time
SHRINK = 0.9  # what is left of the limit after a cut
CUT_EVERY_MS = 500.0
LATE = 0.6  # of the aim: first tokens later than this on average are a sign of too much
MEAN = 0.05  # weight of one answer in the mean lateness
WINDOW_MS = 1000.0  # the rate is looked at this often
LEARN = 0.3  # weight of one window in the rate
FORGET = 0.999  # a rate seen while the limit was not reached is a lower bound, and fades so a window
JUMP_MS = 10_000.0  # a clock that jumps further than this has not passed that time


class Capacity:
    """A limit and a rate; `least` bounds the limit from below, so that a trickle always gets in."""

    def __init__(self, least: float) -> None:
        if least <= 0.0:
            raise ValueError("the least limit must be above 0")
        self.least = least
        self.limit = 10.0 * least
        self.under_way = 0.0
        self.late = 0.0  # mean of first-token times over aims
        self.rate = 0.0
        self.finished = 0.0
        self.short_ms = 0.0
        self.window_at = self.seen_at = self.cut_at = 0.0
        self.begun = False

    def short(self) -> bool:
        """Whether as much is under way as there may be."""
        return self.under_way >= self.limit

    def passes(self, now: float) -> float:
        """Time goes on; how much of it since the last call."""
        if not self.begun:
            self.begun = True
            self.window_at = self.seen_at = self.cut_at = now
        passed = min(max(0.0, now - self.seen_at), JUMP_MS)
        self.seen_at = now
        self.short_ms += passed * self.short()
        window = now - self.window_at
        if not 0.0 <= window <= JUMP_MS:
            self.window_at, self.finished, self.short_ms = now, 0.0, 0.0
        elif window >= WINDOW_MS:
            seen = self.finished / window
            if self.short_ms > 0.5 * window:
                self.rate += LEARN * (seen - self.rate)
            else:
                self.rate = max(self.rate * FORGET, seen)
            self.window_at, self.finished, self.short_ms = now, 0.0, 0.0
        return passed

    def taken(self, work: float) -> None:
        """A request goes on to the fleet."""
        self.under_way += work

    def started(self, now: float, first_ms: float, aim_ms: float, work: float) -> None:
        """Its first token came so long after it was taken."""
        self.late += MEAN * (first_ms / aim_ms - self.late)
        if self.late > LATE:
            if now - self.cut_at >= CUT_EVERY_MS:
                self.cut_at = now
                self.limit = max(self.least, SHRINK * min(self.limit, self.under_way))
        elif self.under_way > USED * self.limit:
            self.limit += GROW * work

    def ended(self, work: float, served: bool, true_work: float) -> None:
        """It is over, with an answer or none."""
        self.under_way = max(0.0, self.under_way - work)
        if served:
            self.finished += true_work
