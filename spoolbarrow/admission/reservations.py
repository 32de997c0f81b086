"""When to come back: a calendar of expected capacity, of which each refused caller gets a piece.

A slot holds what the capacity is expected to serve in it beyond what is under way, less a margin for how
uncertain that is. A caller that is told a time has its work set aside there; one that comes early is told
the same time again. Callers that do not come back are reckoned with: slots are overbooked by their share.
Times in ms, work in tokens.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, NamedTuple

from spoolbarrow.admission.errors import AdmissionError

Key = Any
LEARN = 0.02  # weight of one caller in the share that comes back
LEAST_SHARE = 0.3  # assumed to come back at least: overbooking is bounded


class Reserved(NamedTuple):
    """A caller's piece of the calendar."""

    at: float  # the time it was told
    pieces: tuple[tuple[int, float], ...]  # slots, and the work set aside in each


class ReservationCalendar:
    """Slots of `slot_ms` up to `horizon_ms` ahead; at most `most` callers hold a piece, `grace_ms` long."""

    def __init__(self, slot_ms: float, horizon_ms: float, most: int, grace_ms: float) -> None:
        if slot_ms <= 0.0 or horizon_ms < slot_ms or most < 1 or grace_ms < 0.0:
            raise AdmissionError("", "slots and horizon must be above 0, and hold one caller at least")
        self.slot_ms, self.horizon_ms, self.most, self.grace_ms = slot_ms, horizon_ms, most, grace_ms
        self.rate = 0.0  # tokens a millisecond that can be promised
        self.booked: dict[int, float] = {}
        self.callers: OrderedDict[Key, Reserved] = OrderedDict()  # in the order they were told
        self.share = 1.0  # of told callers that come back
        self.next_slot = 0
        self.latest = float("-inf")

    def expect(self, rate: float, uncertainty: float) -> None:
        """Capacity from now on, and the share of it that may fail to come."""
        self.rate = max(0.0, rate * (1.0 - min(1.0, uncertainty)))

    def room(self, slot: int) -> float:
        """Work that a slot can still take."""
        whole = self.rate * self.slot_ms / max(self.share, LEAST_SHARE)
        return whole - self.booked.get(slot, 0.0)

    def tell(
        self, now: float, key: Key, work: float, spread: float, most_ms: float = float("inf")
    ) -> float | None:
        """When this caller is to come, ms from now; None where nothing can be promised within the horizon.

        Nor where it could be promised only later than `most_ms`.

        `spread`, in [0, 1), places it within its slot. A caller that has been told is told the same again.
        """
        self._pass(now)
        told = self.callers.get(key)
        if told is not None:
            return max(0.0, told.at - now)
        if len(self.callers) >= self.most or self.rate <= 0.0:
            return None
        first, last = int(now // self.slot_ms) + 1, int((now + min(most_ms, self.horizon_ms)) // self.slot_ms)
        slot, left, pieces = max(first, self.next_slot), work, []
        while slot < last:
            # Work larger than a slot takes what is free in several: it comes when all of that is.
            piece = min(left, self.room(slot))
            if piece > 0.0:
                pieces.append((slot, piece))
                left -= piece
            if left <= 0.0:
                break
            slot += 1
        if left > 0.0 or slot >= last:
            return None
        self.next_slot = slot  # all before is full
        for place, piece in pieces:
            self.booked[place] = self.booked.get(place, 0.0) + piece
        at = (slot + spread) * self.slot_ms
        self.callers[key] = Reserved(at, tuple(pieces))
        return at - now

    def redeem(self, now: float, key: Key) -> bool:
        """A caller comes: whether at its time. Too early it keeps its piece, and is told the time again."""
        self._pass(now)
        told = self.callers.get(key)
        if told is None or now < told.at:
            return False
        self._release(key, told)
        self.share += LEARN * (1.0 - self.share)
        return True

    def _release(self, key: Key, told: Reserved) -> None:
        del self.callers[key]
        for slot, piece in told.pieces:
            left = self.booked.get(slot, 0.0) - piece
            if left > 1e-9:
                self.booked[slot] = left
                continue
            self.booked.pop(slot, None)
            self.next_slot = min(self.next_slot, slot)

    def _pass(self, now: float) -> None:
        """Forget callers whose time has passed, and slots that lie behind."""
        if now < self.latest - self.horizon_ms:
            # The clock was set back: what was promised lies too far ahead to be kept.
            self.callers.clear()
            self.booked.clear()
            self.next_slot = 0
        self.latest = now
        while self.callers:
            # In the order they were told, which is nearly that of their times: one behind waits a bit.
            key, told = next(iter(self.callers.items()))
            if told.at + self.grace_ms > now:
                break
            self._release(key, told)
            self.share += LEARN * (0.0 - self.share)
        slot = int(now // self.slot_ms)
        if self.next_slot < slot:
            self.next_slot = slot
