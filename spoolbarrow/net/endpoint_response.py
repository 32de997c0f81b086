"""An endpoint's answer on its way: how far it has come, and each of its pieces read in good time."""

from __future__ import annotations

import errno
import time

from gevent.socket import MSG_PEEK, socket

from spoolbarrow.config import Options
from spoolbarrow.net import http1
from spoolbarrow.net.connection_pool import Connection
from spoolbarrow.net.request import Attempt

TAIL = 4096  # bytes kept of a stream's end, where it tells its usage
DONE = b"\ndata: [DONE]"  # a stream's last event
LAST_CHUNK, END = b"\r\n0\r\n", b"0\r\n\r\n"  # with what is before it; to the end, without trailers
EVENT_ENDS = b"\n\n", b"\r\n\r\n", b"\r\r"
LONGEST_EVENT_END = max(map(len, EVENT_ENDS))
MOST_HELD = 65536  # bytes of a stream's beginning that are kept back until its first event is whole
MOST_UNREAD = 1 << 20  # bytes in the kernel that are searched for a stream's end


class InFlightAttempt:
    """An attempt that was written, and its answer as far as it has come."""

    def __init__(self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser) -> None:
        self.attempt, self.connection, self.parser = attempt, connection, parser
        self.tail = b""  # the last of what was passed on
        self.claimed = False  # its stream is the client's
        self.handing_over = False  # on its way to another process of this router
        self._held: list[bytes] = []  # of a first event that is not whole yet
        self._held_bytes = 0
        self._held_end = b""  # its last bytes: an event's end may come in two pieces

    def passable(self, parts: list[bytes]) -> list[bytes]:
        """What may be passed on, now that these bytes have come: nothing until the first event is whole.

        Guards an answer: an attempt that breaks inside its first event has given its client nothing, so that
        another one may still serve the request, or its client be told that it failed.
        """
        if self.claimed:
            return parts
        new = b"".join(parts)
        searched = self._held_end + new
        self._held += parts
        self._held_bytes += len(new)
        self._held_end = searched[1 - LONGEST_EVENT_END :]
        if (
            self.parser.complete
            or self._held_bytes >= MOST_HELD
            or any(end in searched for end in EVENT_ENDS)
        ):
            parts, self._held = self._held, []
            return parts
        return []

    def must_finish(self) -> bool:
        """Whether it must not be broken off: its endpoint has finished it, or another process may have it.

        Guards streams whose clients read slowly: their ends stand unread in the kernel. One whose last event
        has come ends at once; a silent endpoint is noticed as ever.
        """
        if self.handing_over or self.parser.complete or DONE in b"\n" + self.tail:
            return True
        try:
            unread = self.connection.sock.recv(MOST_UNREAD, MSG_PEEK) if self.connection.stale() else b""
        except OSError:
            return False
        # The last chunk, perhaps with trailers; of one that is half read the rest.
        last = LAST_CHUNK in b"\r\n" + unread[-TAIL:] and unread.endswith(b"\r\n\r\n")
        return last or (bool(unread) and END.endswith(unread))


class AnswerReader:
    """Reads an answer, each of its pieces in good time.

    Guards against spoilt answers whose connection stays open: nothing else would end them. An endpoint that
    writes a head or a chunk has the whole of it, so what has begun ends soon; time is needed between them.
    """

    def __init__(
        self, parser: http1.ResponseParser, sock: socket, buffer: bytearray, options: Options
    ) -> None:
        self._parser, self._sock, self._buffer, self._options = parser, sock, buffer, options
        self._piece, self._left_s = -1, 0.0  # the piece that has begun, and how long it may still take

    def read(self) -> None:
        """Parse what comes next; HttpError where a piece does not end, TimeoutError where a stream stops."""
        parser = self._parser
        begun = parser.in_chunk or parser.in_size or (parser.begun and not parser.head_complete)
        if begun:
            if self._piece != parser.pieces:
                self._piece, self._left_s = parser.pieces, self._options.piece_ms / 1000
            # The time that its client needs to take it does not count: only that spent here.
            before = time.monotonic()
            try:
                self._sock.settimeout(max(self._left_s, 0.001))
                parser.read(self._sock, self._buffer)
            except TimeoutError as error:
                if error.errno == errno.ETIMEDOUT:  # the connection broke; a time that is over has no number
                    raise
                raise http1.HttpError(502, "no end of a head or a chunk") from None
            self._left_s -= time.monotonic() - before
            if self._left_s <= 0 and self._piece == parser.pieces:
                raise http1.HttpError(502, "no end of a head or a chunk")
        else:
            self._sock.settimeout(self._options.stream_silence_ms / 1000 if parser.head_complete else None)
            parser.read(self._sock, self._buffer)
