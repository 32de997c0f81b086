"""Assigns retry times to rejected callers by reserving expected capacity in time slots.

A slot holds the work that the fleet is expected to serve in it beyond the requests in flight, less a margin
for the uncertainty of that estimate. A caller that is given a time has its work reserved in slots; one that
returns early is given the same time again. Slots are overbooked by the share of callers that do not return.
Times in ms, work in tokens.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, NamedTuple

from spoolbarrow.admission.errors import AdmissionError

Key = Any
RETURN_SHARE_WEIGHT = 0.02  # weight of one caller in the moving average of callers that return
MIN_RETURN_SHARE = 0.3  # lower bound of the assumed share, which bounds overbooking


class Reservation(NamedTuple):
    """The capacity reserved for one caller."""

    at: float  # the time given to the caller
    bookings: tuple[tuple[int, float], ...]  # slots, and the work reserved in each


class ReservationCalendar:
    """Slots of `slot_ms` up to `horizon_ms` ahead.

    At most `max_reservations` are held, each until `grace_ms` past its time.
    """

    def __init__(self, slot_ms: float, horizon_ms: float, max_reservations: int, grace_ms: float) -> None:
        if slot_ms <= 0.0 or horizon_ms < slot_ms or max_reservations < 1 or grace_ms < 0.0:
            raise AdmissionError(
                "", "the slot length must be above 0, the horizon at least one slot, and one caller must fit"
            )
        self.slot_ms, self.horizon_ms, self.max_reservations, self.grace_ms = (
            slot_ms,
            horizon_ms,
            max_reservations,
            grace_ms,
        )
        self.rate = 0.0  # tokens per ms that can be reserved
        self.booked: dict[int, float] = {}
        self.reservations: OrderedDict[Key, Reservation] = OrderedDict()  # in the order they were made
        self.return_share = 1.0  # share of callers with a reservation that return
        self.first_free_slot = 0
        self.latest = float("-inf")

    def set_capacity(self, rate: float, uncertainty: float) -> None:
        """Set the expected capacity, and the share of it that may not materialize."""
        self.rate = max(0.0, rate * (1.0 - min(1.0, uncertainty)))

    def free_work(self, slot: int) -> float:
        """Work that can still be reserved in a slot."""
        total = self.rate * self.slot_ms / max(self.return_share, MIN_RETURN_SHARE)
        return total - self.booked.get(slot, 0.0)

    def reserve(
        self, now: float, key: Key, work: float, slot_offset: float, max_delay_ms: float = float("inf")
    ) -> float | None:
        """Reserve work for a caller and return its retry time, in ms from now.

        None if the work does not fit within the horizon or within `max_delay_ms`. `slot_offset`, in [0, 1),
        places the time within its slot. A caller that holds a reservation gets the same time again.
        """
        self._expire(now)
        reservation = self.reservations.get(key)
        if reservation is not None:
            return max(0.0, reservation.at - now)
        if len(self.reservations) >= self.max_reservations or self.rate <= 0.0:
            return None
        first, last = (
            int(now // self.slot_ms) + 1,
            int((now + min(max_delay_ms, self.horizon_ms)) // self.slot_ms),
        )
        slot, remaining, bookings = max(first, self.first_free_slot), work, []
        while slot < last:
            # Work that exceeds one slot takes free capacity of several; its time lies in the last of them.
            booked_work = min(remaining, self.free_work(slot))
            if booked_work > 0.0:
                bookings.append((slot, booked_work))
                remaining -= booked_work
            if remaining <= 0.0:
                break
            slot += 1
        if remaining > 0.0 or slot >= last:
            return None
        self.first_free_slot = slot  # all earlier slots are full
        for booked_slot, booked_work in bookings:
            self.booked[booked_slot] = self.booked.get(booked_slot, 0.0) + booked_work
        at = (slot + slot_offset) * self.slot_ms
        self.reservations[key] = Reservation(at, tuple(bookings))
        return at - now

    def redeem(self, now: float, key: Key) -> bool:
        """Whether a returning caller is on time. One that is early keeps its reservation and its time."""
        self._expire(now)
        reservation = self.reservations.get(key)
        if reservation is None or now < reservation.at:
            return False
        self._release(key, reservation)
        self.return_share += RETURN_SHARE_WEIGHT * (1.0 - self.return_share)
        return True

    def _release(self, key: Key, reservation: Reservation) -> None:
        del self.reservations[key]
        for slot, booked_work in reservation.bookings:
            remaining = self.booked.get(slot, 0.0) - booked_work
            if remaining > 1e-9:
                self.booked[slot] = remaining
                continue
            self.booked.pop(slot, None)
            self.first_free_slot = min(self.first_free_slot, slot)

    def _expire(self, now: float) -> None:
        """Drop expired reservations and past slots."""
        if now < self.latest - self.horizon_ms:
            # The clock was set back: the reservations now lie too far ahead to be kept.
            self.reservations.clear()
            self.booked.clear()
            self.first_free_slot = 0
        self.latest = now
        while self.reservations:
            # Insertion order is nearly that of the times: one behind a later one expires slightly late.
            key, reservation = next(iter(self.reservations.items()))
            if reservation.at + self.grace_ms > now:
                break
            self._release(key, reservation)
            self.return_share += RETURN_SHARE_WEIGHT * (0.0 - self.return_share)
        slot = int(now // self.slot_ms)
        if self.first_free_slot < slot:
            self.first_free_slot = slot
