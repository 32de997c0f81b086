"""Reads the kernel's state of a TCP connection (Linux, `struct tcp_info` of linux/tcp.h).

Defines the offsets into that struct. The kernel only ever appends fields, so an older one returns a shorter
struct; its missing fields read as 0.
"""

from __future__ import annotations

import struct
from socket import IPPROTO_TCP
from typing import NamedTuple, Protocol

TCP_INFO = 11
TCP_INFO_BYTES = 216  # up to tcpi_bytes_retrans (Linux 4.19); the kernel copies at most this much
# States after the peer's FIN: TIME_WAIT, CLOSE_WAIT, LAST_ACK, CLOSING. The final state is CLOSE after a FIN
# as well as after a RST, so `bytes_received` may be one too many there.
_FIN_RECEIVED = frozenset({6, 8, 9, 11})
CLOSED = 7
OPT_TIMESTAMPS = 1  # bit of tcpi_options
_OPTIONS = struct.Struct("=5xB")
_UNACKED = struct.Struct("=24xI")  # segments
_NOT_SENT = struct.Struct("=144xI")  # bytes
_LAST_DATA_RECV = struct.Struct("=52xI")
_ACKNOWLEDGED = struct.Struct("=120xQ")  # tcpi_bytes_acked; counts the SYN if this side opened the connection
_RTT = struct.Struct("=68xI")
# tcpi_total_retrans, tcpi_bytes_received, _segs_out, _segs_in, _data_segs_in, _data_segs_out, _bytes_sent,
# _bytes_retrans
_COUNTERS = struct.Struct("=100xI24xQII8xII40xQQ")


class Inspectable(Protocol):
    """The part of a socket that is used here."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return the option's bytes."""


class Counters(NamedTuple):
    """Totals of a connection; SYN and FIN count as segments, never as bytes."""

    bytes_sent: int = 0  # payload bytes, including retransmissions (tcpi_bytes_sent)
    bytes_received: int = 0  # payload bytes without duplicates (tcpi_bytes_received, less the FIN)
    segments_sent: int = 0  # all segments: SYN, ACK, FIN and retransmissions (tcpi_segs_out)
    segments_received: int = 0  # likewise (tcpi_segs_in)
    data_segments_sent: int = 0  # segments with payload (tcpi_data_segs_out)
    data_segments_received: int = 0  # likewise (tcpi_data_segs_in)
    segments_retransmitted: int = 0  # (tcpi_total_retrans)
    bytes_retransmitted: int = 0  # payload bytes, included in `bytes_sent` (tcpi_bytes_retrans)
    rtt_us: int = 0  # smoothed round-trip time, microseconds
    timestamps: bool = False  # TCP timestamps add 12 bytes of options to each segment (RFC 7323)


def last_received_ms(sock: Inspectable) -> int:
    """The time in ms since the kernel received the connection's last data."""
    age_ms: int = _LAST_DATA_RECV.unpack_from(_read(sock))[0]
    return age_ms


def counters(sock: Inspectable) -> Counters:
    """The connection's counters; OSError once the socket is closed."""
    raw = _read(sock)
    retransmitted, received, out, into, data_in, data_out, sent, resent = _COUNTERS.unpack_from(raw)
    rtt_us, options = _RTT.unpack_from(raw)[0], _OPTIONS.unpack_from(raw)[0]
    received -= raw[0] in _FIN_RECEIVED  # the kernel counts a FIN as a byte
    return Counters(
        sent,
        received,
        out,
        into,
        data_out,
        data_in,
        retransmitted,
        resent,
        rtt_us,
        bool(options & OPT_TIMESTAMPS),
    )


def acknowledged_bytes(sock: Inspectable) -> int:
    """Bytes on the wire (including TLS framing) that the peer has acknowledged so far."""
    acknowledged: int = _ACKNOWLEDGED.unpack_from(_read(sock))[0]
    return acknowledged


def has_unacknowledged(sock: Inspectable) -> bool:
    """Whether the peer's host has not yet acknowledged all written data."""
    raw = _read(sock)
    return any(field.unpack_from(raw)[0] for field in (_UNACKED, _NOT_SENT))


def has_unsent(sock: Inspectable) -> bool:
    """Whether some written data was never sent, so that the peer can't have it."""
    unsent: int = _NOT_SENT.unpack_from(_read(sock))[0]
    return unsent > 0


def peer_closed(sock: Inspectable) -> bool:
    """Whether the peer has closed or reset the connection."""
    return _read(sock)[0] in _FIN_RECEIVED | {CLOSED}


def _read(sock: Inspectable) -> bytes:
    return sock.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES).ljust(TCP_INFO_BYTES, b"\0")
