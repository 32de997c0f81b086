"""Metering process: turns connection counters and finished requests into flow records. Pure.

Owns the last reported counters of each open connection, and no state of closed ones. Times are Unix ms. The
counters come from the kernel (net/tcpinfo.py); a record has their growth since the connection's last record,
so that the records of a long response add up to its total, whenever metering began.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

from spoolbarrow.flows.elements import END_REASONS, NO_EVENT_MS
from spoolbarrow.net.tcpinfo import Counters

IP_HEADER, TCP_HEADER, TCP_TIMESTAMPS = 20, 20, 12  # octets besides the payload (RFC 791, 9293, 7323)
IDLE, ACTIVE, ENDED, FORCED, RESOURCES = END_REASONS  # flowEndReason
_NO_TRAFFIC = Counters()
# The SYN-ACK of an incoming connection is sent before its socket exists, so the socket does not count it.
_ACCEPTED = Counters(segments_sent=-1)


class ConnectionFlow(NamedTuple):
    """A connection's traffic since its last record; forward is the direction from the opening side."""

    number: int
    start: float
    end: float
    source: tuple[str, int]  # the opening side
    target: tuple[str, int]
    outbound: bool  # opened by this router
    engine: str
    forward: Traffic
    backward: Traffic
    reason: int
    resent_segments: int  # by this router
    rtt_us: int


class Traffic(NamedTuple):
    """The traffic of a flow in one direction."""

    octets: int  # with IP and TCP headers
    packets: int
    payload: int
    payload_packets: int


class RequestFlow(NamedTuple):
    """A finished request; the ms are counted from when it was accepted."""

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
    first_ms: int  # NO_EVENT_MS: there was no event
    whole_ms: int
    answer_octets: int


class _OpenConnection:
    """An open connection and what was reported of it."""

    __slots__ = ("engine", "reported", "local", "outbound", "peer", "seen", "seen_at", "told_at")

    def __init__(
        self, local: tuple[str, int], peer: tuple[str, int], outbound: bool, engine: str, at: float
    ) -> None:
        self.local, self.peer, self.outbound, self.engine = local, peer, outbound, engine
        self.told_at = at  # the next record begins here
        self.reported = _NO_TRAFFIC if outbound else _ACCEPTED  # as of the last record
        self.seen = self.reported  # as of the last poll
        self.seen_at = at  # time of the last poll that found new traffic


class Meter:
    """The open connections, and when each must be polled."""

    def __init__(self, active_ms: float, idle_ms: float, sample_share: float = 1.0) -> None:
        # In the order of their last polls, oldest first, so that `due` stops at the first that is not due.
        self._connections: OrderedDict[int, _OpenConnection] = OrderedDict()
        self._polled_at: dict[int, float] = {}
        self.configure(active_ms, idle_ms, sample_share)

    def configure(self, active_ms: float, idle_ms: float, sample_share: float) -> None:
        """Apply new time-outs; open connections keep what was reported of them."""
        self._active_ms, self._idle_ms, self._share = active_ms, idle_ms, sample_share
        self._poll_interval_ms = min(active_ms, idle_ms)

    def __len__(self) -> int:
        """The number of metered open connections."""
        return len(self._connections)

    def opened(
        self,
        number: int,
        local: tuple[str, int],
        peer: tuple[str, int],
        outbound: bool,
        engine: str,
        at: float,
    ) -> bool:
        """Register a connection opened at `at`, maybe before metering began; whether it is metered."""
        if not sampled(b"%d" % number, self._share):
            return False
        self._connections[number] = _OpenConnection(local, peer, outbound, engine, at)
        self._polled_at[number] = at
        return True

    def due(self, now: float) -> list[int]:
        """The connections that must be polled now: call `poll` for each with its counters."""
        found = []
        for number in self._connections:
            if self._polled_at[number] > now - self._poll_interval_ms:
                break
            found.append(number)
        return found

    def poll(self, number: int, counters: Counters, now: float) -> ConnectionFlow | None:
        """Process an open connection's counters; returns a record if one of its time-outs has passed."""
        connection = self._connections.get(number)
        if connection is None:
            return None
        self._set_record_start(number, connection)
        self._connections.move_to_end(number)
        self._polled_at[number] = now
        if _has_new_traffic(connection.seen, counters):
            connection.seen, connection.seen_at = counters, now
        unreported = _has_new_traffic(connection.reported, counters)
        if unreported and now - connection.told_at >= self._active_ms:
            return self._make_record(number, connection, counters, now, ACTIVE)
        if unreported and now - connection.seen_at >= self._idle_ms:
            return self._make_record(number, connection, counters, connection.seen_at, IDLE)
        return None

    def closing(self, number: int, counters: Counters, now: float, reason: int) -> ConnectionFlow | None:
        """Forget a closing connection; returns its last record, or None if everything was reported."""
        connection = self._connections.pop(number, None)
        if connection is None:
            return None
        self._set_record_start(number, connection)
        del self._polled_at[number]
        if not _has_new_traffic(connection.reported, counters):
            return None
        return self._make_record(number, connection, counters, now, reason)

    def flush(self, number: int, counters: Counters, now: float) -> ConnectionFlow | None:
        """The last record of an open connection when metering ends, or None."""
        return self.closing(number, counters, now, FORCED)

    def numbers(self) -> list[int]:
        """The open connections."""
        return list(self._connections)

    def samples_request(self, session: int, number: int) -> bool:
        """Whether a request is in the sample: conversations are sampled as a whole."""
        return sampled(b"s%d" % session if session else b"r%d" % number, self._share)

    def _set_record_start(self, number: int, connection: _OpenConnection) -> None:
        """If all traffic was reported, the next record starts at the last poll: new traffic came after it."""
        if not _has_new_traffic(connection.reported, connection.seen):
            connection.told_at = max(connection.told_at, self._polled_at[number])

    def _make_record(
        self, number: int, connection: _OpenConnection, counters: Counters, end: float, reason: int
    ) -> ConnectionFlow:
        reported = connection.reported
        sent = _traffic(
            counters.bytes_sent - reported.bytes_sent,
            counters.segments_sent - reported.segments_sent,
            counters.data_segments_sent - reported.data_segments_sent,
            counters.timestamps,
        )
        received = _traffic(
            counters.bytes_received - reported.bytes_received,
            counters.segments_received - reported.segments_received,
            counters.data_segments_received - reported.data_segments_received,
            counters.timestamps,
        )
        outbound = connection.outbound
        flow = ConnectionFlow(
            number,
            connection.told_at,
            max(end, connection.told_at),
            connection.local if outbound else connection.peer,
            connection.peer if outbound else connection.local,
            outbound,
            connection.engine,
            sent if outbound else received,
            received if outbound else sent,
            reason,
            counters.segments_retransmitted - reported.segments_retransmitted,
            counters.rtt_us,
        )
        connection.reported = connection.seen = counters
        connection.told_at = flow.end
        return flow


def sampled(key: bytes, share: float) -> bool:
    """Whether a key is in the sampled share; the same on every router."""
    if share >= 1.0:
        return True
    return int.from_bytes(blake2b(key, digest_size=8).digest()) < share * 2.0**64


def _has_new_traffic(before: Counters, after: Counters) -> bool:
    return before.segments_sent != after.segments_sent or before.segments_received != after.segments_received


def _traffic(payload: int, packets: int, payload_packets: int, timestamps: bool) -> Traffic:
    header = IP_HEADER + TCP_HEADER + (TCP_TIMESTAMPS if timestamps else 0)
    return Traffic(payload + packets * header, packets, payload, payload_packets)


def request_ms(start: float, at: float) -> int:
    """Whole ms from `start` to `at`; NO_EVENT_MS if `at` is 0 (it never happened)."""
    return max(0, min(round(at - start), NO_EVENT_MS - 1)) if at else NO_EVENT_MS
