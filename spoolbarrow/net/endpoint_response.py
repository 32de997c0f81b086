"""Tracks the answer to an attempt in flight and reads it with a time limit on each of its parts."""

from __future__ import annotations

import errno
import time

from gevent.socket import MSG_PEEK, socket

from spoolbarrow.config import Config
from spoolbarrow.net import http1
from spoolbarrow.net.connection_pool import Connection
from spoolbarrow.net.request import Attempt

TAIL_BYTES = 4096  # kept of a stream's end, where its usage is
DONE_EVENT = b"\ndata: [DONE]"  # a stream's last event
LAST_CHUNK, CHUNKED_END = b"\r\n0\r\n", b"0\r\n\r\n"  # after the line end before it; without trailers
EVENT_ENDS = b"\n\n", b"\r\n\r\n", b"\r\r"
MAX_EVENT_END_BYTES = max(map(len, EVENT_ENDS))
MAX_HELD_BYTES = 16_384  # of a stream's beginning, held until its first event is complete
MAX_PEEK_BYTES = 1 << 20  # in the kernel, searched for a stream's end


class InFlightAttempt:
    """An attempt that was sent, and the state of its answer."""

    def __init__(self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser) -> None:
        self.attempt, self.connection, self.parser = attempt, connection, parser
        self.tail = b""  # the last bytes forwarded
        self.claimed = False  # this attempt serves the client
        self.handing_over = False  # to another process of this router
        self.handover_rejected = False  # by that process: not tried again
        self._held = bytearray()  # an incomplete first event

    def forwardable(self, parts: list[bytes]) -> bytes:
        """What may be forwarded after these parts: nothing until the first event is complete.

        If an attempt breaks within its first event, its client has received nothing, so another attempt can
        still serve the request, or the client gets an error.
        """
        new = parts[0] if len(parts) == 1 else b"".join(parts)
        if self.claimed:
            return new
        searched_from = max(0, len(self._held) + 1 - MAX_EVENT_END_BYTES)  # an end may be split between reads
        self._held += new
        if (
            self.parser.complete
            or len(self._held) >= MAX_HELD_BYTES
            or any(self._held.find(end, searched_from) >= 0 for end in EVENT_ENDS)
        ):
            data, self._held = bytes(self._held), bytearray()
            return data
        return b""

    def must_finish(self) -> bool:
        """Whether it must not be broken off: its endpoint has finished it, or another process may own it.

        Protects streams whose clients read slowly, as their ends are unread in the kernel. One whose last
        event has arrived ends at once; an unresponsive endpoint is noticed as usual.
        """
        if self.handing_over or self.parser.complete or DONE_EVENT in b"\n" + self.tail:
            return True
        try:
            unread = self.connection.sock.recv(MAX_PEEK_BYTES, MSG_PEEK) if self.connection.stale() else b""
        except OSError:
            return False
        # The last chunk, possibly with trailers, or the rest of one that is partly read.
        last = LAST_CHUNK in b"\r\n" + unread[-TAIL_BYTES:] and unread.endswith(b"\r\n\r\n")
        return last or (bool(unread) and CHUNKED_END.endswith(unread))


class ResponseReader:
    """Reads an answer with a time limit on each head and chunk.

    Ends malformed answers whose connection stays open, which nothing else would end. An endpoint has all of
    a head or chunk when it starts to write it, so each must end soon; the time needed is between them. Once
    the client has a part of the answer, no other one can take its place, so that a slow endpoint is given as
    long as a silent one.
    """

    def __init__(self, parser: http1.ResponseParser, sock: socket, buffer: bytearray, config: Config) -> None:
        self._parser, self._sock, self._buffer, self._config = parser, sock, buffer, config
        self._piece, self._left_s = -1, 0.0  # the current head or chunk and its time left

    def _piece_ms(self, claimed: bool) -> float:
        limit_ms = self._config.options.piece_ms
        return max(limit_ms, self._config.stream_silence_ms) if claimed else limit_ms

    def read(self, claimed: bool) -> None:
        """Parse the next bytes; HttpError if a head or chunk does not end, TimeoutError if a stream stops.

        `claimed`: the client has a part of the answer.
        """
        parser = self._parser
        in_part = parser.in_chunk or parser.in_chunk_header or (parser.begun and not parser.head_complete)
        if in_part:
            if self._piece != parser.pieces:
                self._piece, self._left_s = parser.pieces, self._piece_ms(claimed) / 1000
            # Only the time spent here counts, not the time that the client needs to read.
            before = time.monotonic()
            try:
                self._sock.settimeout(max(self._left_s, 0.001))
                parser.read(self._sock, self._buffer)
            except TimeoutError as error:
                if error.errno == errno.ETIMEDOUT:  # the connection broke; socket timeouts have no errno
                    raise
                raise http1.HttpError(502, "no end of a head or a chunk") from None
            self._left_s -= time.monotonic() - before
            if self._left_s <= 0 and self._piece == parser.pieces:
                raise http1.HttpError(502, "no end of a head or a chunk")
        else:
            silence_s = self._config.stream_silence_ms / 1000
            self._sock.settimeout(silence_s if parser.head_complete else None)
            parser.read(self._sock, self._buffer)
