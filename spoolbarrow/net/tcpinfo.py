"""What the kernel tells of a TCP connection (Linux, `struct tcp_info` of linux/tcp.h).

Owns the offsets into that struct and nothing else. Fields are only ever appended to it, so an older kernel
gives a shorter answer: what it does not tell reads as 0.
"""

from __future__ import annotations

import struct
from socket import IPPROTO_TCP
from typing import NamedTuple, Protocol

TCP_INFO = 11
TCP_INFO_BYTES = 216  # to tcpi_bytes_retrans (Linux 4.19); the kernel copies what it has, up to this
# States in which the peer's FIN has been taken in: TIME_WAIT, CLOSE_WAIT, LAST_ACK, CLOSING. Once all is over
# the state is CLOSE, whether FIN or RST came, so `received` may be one byte too many there.
_FIN_TAKEN = frozenset({6, 8, 9, 11})
CLOSED = 7
OPT_TIMESTAMPS = 1  # bit of tcpi_options
_OPTIONS = struct.Struct("=5xB")
_UNACKED = struct.Struct("=24xI")  # segments
_NOT_SENT = struct.Struct("=144xI")  # bytes
_LAST_DATA_RECV = struct.Struct("=52xI")
_ACKNOWLEDGED = struct.Struct("=120xQ")  # tcpi_bytes_acked; the SYN counts as one where this side opened it
_RTT = struct.Struct("=68xI")
# tcpi_total_retrans, tcpi_bytes_received, _segs_out, _segs_in, _data_segs_in, _data_segs_out, _bytes_sent,
# _bytes_retrans
_COUNTERS = struct.Struct("=100xI24xQII8xII40xQQ")


class Inspectable(Protocol):
    """A socket, as far as it is asked here."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """The option's bytes."""


class Counters(NamedTuple):
    """Since the connection began; SYN and FIN count as segments, never as bytes."""

    bytes_sent: int = 0  # payload bytes transmitted, those sent again too (tcpi_bytes_sent)
    bytes_received: int = 0  # payload bytes taken in, each once (tcpi_bytes_received, less the FIN)
    segments_sent: int = 0  # all segments: SYN, ACK, FIN and those sent again (tcpi_segs_out)
    segments_received: int = 0  # likewise (tcpi_segs_in)
    data_segments_sent: int = 0  # segments with payload (tcpi_data_segs_out)
    data_segments_received: int = 0  # likewise (tcpi_data_segs_in)
    segments_retransmitted: int = 0  # segments sent again (tcpi_total_retrans)
    bytes_retransmitted: int = 0  # payload bytes among `sent` that were sent before (tcpi_bytes_retrans)
    rtt_us: int = 0  # smoothed round trip, microseconds
    timestamps: bool = False  # each segment carries 12 bytes of TCP options more (RFC 7323)


def last_received_ms(sock: Inspectable) -> int:
    """How long ago, in ms, the kernel took in the connection's last bytes."""
    told: int = _LAST_DATA_RECV.unpack_from(_read(sock))[0]
    return told


def counters(sock: Inspectable) -> Counters:
    """The connection's counters; OSError once the socket is closed."""
    raw = _read(sock)
    again, received, out, into, data_in, data_out, sent, bytes_again = _COUNTERS.unpack_from(raw)
    rtt_us, options = _RTT.unpack_from(raw)[0], _OPTIONS.unpack_from(raw)[0]
    received -= raw[0] in _FIN_TAKEN  # the kernel counts a FIN as a byte
    return Counters(
        sent,
        received,
        out,
        into,
        data_out,
        data_in,
        again,
        bytes_again,
        rtt_us,
        bool(options & OPT_TIMESTAMPS),
    )


def acknowledged_bytes(sock: Inspectable) -> int:
    """Bytes of the wire (TLS records as such) that the peer has acknowledged since the connection began."""
    told: int = _ACKNOWLEDGED.unpack_from(_read(sock))[0]
    return told


def has_unacknowledged(sock: Inspectable) -> bool:
    """Whether some of what was written has not come to the peer's machine, as far as is known here."""
    raw = _read(sock)
    return any(told.unpack_from(raw)[0] for told in (_UNACKED, _NOT_SENT))


def has_unsent(sock: Inspectable) -> bool:
    """Whether this machine holds some of what was written that it has never sent: the peer can't have it."""
    told: int = _NOT_SENT.unpack_from(_read(sock))[0]
    return told > 0


def peer_closed(sock: Inspectable) -> bool:
    """Whether the peer has said its end, or reset the connection."""
    return _read(sock)[0] in _FIN_TAKEN | {CLOSED}


def _read(sock: Inspectable) -> bytes:
    return sock.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES).ljust(TCP_INFO_BYTES, b"\0")
