"""The metering process: what happens on connections and to requests, turned into flow records. Pure.

Owns what it last told of each open connection, and nothing of those that are closed. Times are Unix ms.
The counters come from the kernel (net/tcpinfo.py); what is told is always their growth since the last record
of the same connection, so that the records of a long answer add up to its total, whenever metering began.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

from spoolbarrow.flows.elements import END_REASONS, NONE_MS
from spoolbarrow.net.tcpinfo import Counters

IP_HEADER, TCP_HEADER, TIMESTAMPS = 20, 20, 12  # octets of a segment beside its payload (RFC 791, 9293, 7323)
IDLE, ACTIVE, ENDED, FORCED, RESOURCES = END_REASONS  # flowEndReason
_NOTHING = Counters()
# The SYN-ACK of a connection that came in is sent before its socket is made, which does not count it.
_ACCEPTED = Counters(segments_sent=-1)


class ConnectionFlow(NamedTuple):
    """What passed over a connection since the last record of it; forward is from who opened it."""

    number: int
    start: float
    end: float
    source: tuple[str, int]  # who opened it
    target: tuple[str, int]
    outbound: bool  # this router opened it
    engine: str
    forward: Traffic
    backward: Traffic
    reason: int
    again: int  # segments that this router sent again
    rtt_us: int


class Traffic(NamedTuple):
    """One direction's share of a flow."""

    octets: int  # with IP and TCP headers
    packets: int
    payload: int
    payload_packets: int


class RequestFlow(NamedTuple):
    """A request from taken to over; ms are counted from when it was taken."""

    number: int
    connection: int
    engine_connection: int
    start: float
    end: float
    cls: int
    tenant: int
    engine: str
    attempts: int
    outcome: str
    first_ms: int  # NONE_MS: no event came
    whole_ms: int
    answer_octets: int


class _Open:
    """An open connection and what was told of it."""

    __slots__ = ("engine", "last", "local", "outbound", "peer", "seen", "seen_at", "told_at")

    def __init__(
        self, local: tuple[str, int], peer: tuple[str, int], outbound: bool, engine: str, at: float
    ) -> None:
        self.local, self.peer, self.outbound, self.engine = local, peer, outbound, engine
        self.told_at = at  # the next record begins here
        self.last = _NOTHING if outbound else _ACCEPTED  # as of the last record
        self.seen = self.last  # as of the last look
        self.seen_at = at  # when a look last found something new


class Meter:
    """Open connections, and when each is to be looked at."""

    def __init__(self, active_ms: float, idle_ms: float, sample_share: float = 1.0) -> None:
        # By when the last look was: the oldest in front, so that looking costs nothing for the others.
        self._open: OrderedDict[int, _Open] = OrderedDict()
        self._looked: dict[int, float] = {}
        self.configure(active_ms, idle_ms, sample_share)

    def configure(self, active_ms: float, idle_ms: float, sample_share: float) -> None:
        """Go by other time-outs; open connections keep what was told of them."""
        self._active_ms, self._idle_ms, self._share = active_ms, idle_ms, sample_share
        self._look_ms = min(active_ms, idle_ms)

    def __len__(self) -> int:
        """Open connections that are metered."""
        return len(self._open)

    def opened(
        self,
        number: int,
        local: tuple[str, int],
        peer: tuple[str, int],
        outbound: bool,
        engine: str,
        at: float,
    ) -> bool:
        """A connection came up at `at`, which may be before metering began; whether it is metered."""
        if not sampled(b"%d" % number, self._share):
            return False
        self._open[number] = _Open(local, peer, outbound, engine, at)
        self._looked[number] = at
        return True

    def due(self, now: float) -> list[int]:
        """The connections to be looked at now; each is owed a `look` with its counters."""
        found = []
        for number in self._open:
            if self._looked[number] > now - self._look_ms:
                break
            found.append(number)
        return found

    def look(self, number: int, counters: Counters, now: float) -> ConnectionFlow | None:
        """A connection's counters while it is open: a record, if one of its time-outs has passed."""
        one = self._open.get(number)
        if one is None:
            return None
        self._begin(number, one)
        self._open.move_to_end(number)
        self._looked[number] = now
        if _moved(one.seen, counters):
            one.seen, one.seen_at = counters, now
        untold = _moved(one.last, counters)
        if untold and now - one.told_at >= self._active_ms:
            return self._tell(number, one, counters, now, ACTIVE)
        if untold and now - one.seen_at >= self._idle_ms:
            return self._tell(number, one, counters, one.seen_at, IDLE)
        return None

    def closing(self, number: int, counters: Counters, now: float, reason: int) -> ConnectionFlow | None:
        """A connection is being closed: its last record, unless all was told; nothing is kept of it."""
        one = self._open.pop(number, None)
        if one is None:
            return None
        self._begin(number, one)
        del self._looked[number]
        if not _moved(one.last, counters):
            return None
        return self._tell(number, one, counters, now, reason)

    def flush(self, number: int, counters: Counters, now: float) -> ConnectionFlow | None:
        """Tell what is untold of an open connection, since metering ends."""
        return self.closing(number, counters, now, FORCED)

    def numbers(self) -> list[int]:
        """The open connections."""
        return list(self._open)

    def wants_request(self, session: int, number: int) -> bool:
        """Whether a request is told of: a conversation is, or is not, as a whole."""
        return sampled(b"s%d" % session if session else b"r%d" % number, self._share)

    def _begin(self, number: int, one: _Open) -> None:
        """Where all is told, whatever comes next came after the last look: its record begins there."""
        if not _moved(one.last, one.seen):
            one.told_at = max(one.told_at, self._looked[number])

    def _tell(self, number: int, one: _Open, counters: Counters, end: float, reason: int) -> ConnectionFlow:
        last = one.last
        sent = _traffic(
            counters.bytes_sent - last.bytes_sent,
            counters.segments_sent - last.segments_sent,
            counters.data_segments_sent - last.data_segments_sent,
            counters.timestamps,
        )
        received = _traffic(
            counters.bytes_received - last.bytes_received,
            counters.segments_received - last.segments_received,
            counters.data_segments_received - last.data_segments_received,
            counters.timestamps,
        )
        ours = one.outbound
        flow = ConnectionFlow(
            number,
            one.told_at,
            max(end, one.told_at),
            one.local if ours else one.peer,
            one.peer if ours else one.local,
            ours,
            one.engine,
            sent if ours else received,
            received if ours else sent,
            reason,
            counters.segments_retransmitted - last.segments_retransmitted,
            counters.rtt_us,
        )
        one.last = one.seen = counters
        one.told_at = flow.end
        return flow


def sampled(key: bytes, share: float) -> bool:
    """Whether a key is among the share that is told of; the same at every router."""
    if share >= 1.0:
        return True
    return int.from_bytes(blake2b(key, digest_size=8).digest()) < share * 2.0**64


def _moved(before: Counters, after: Counters) -> bool:
    return before.segments_sent != after.segments_sent or before.segments_received != after.segments_received


def _traffic(payload: int, packets: int, payload_packets: int, timestamps: bool) -> Traffic:
    header = IP_HEADER + TCP_HEADER + (TIMESTAMPS if timestamps else 0)
    return Traffic(payload + packets * header, packets, payload, payload_packets)


def request_ms(start: float, at: float) -> int:
    """Whole ms from one moment to another; NONE_MS where the second never came (0)."""
    return max(0, min(round(at - start), NONE_MS - 1)) if at else NONE_MS
