"""Parses HTTP/1.1 answers with httptools, and writes requests and answers with gathered writes."""

from __future__ import annotations

import errno
import select
from collections.abc import Sequence
from contextlib import suppress

import httptools
from gevent.socket import (
    AF_INET,
    IPPROTO_TCP,
    MSG_DONTWAIT,
    MSG_PEEK,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)

from spoolbarrow.config import Address
from spoolbarrow.net.fairness import yield_to_others
from spoolbarrow.net.request_parser import MAX_FIELDS, strip_whitespace
from spoolbarrow.net.request_parser import HttpError as HttpError
from spoolbarrow.net.request_parser import Message as Message
from spoolbarrow.net.request_parser import RequestParser as RequestParser
from spoolbarrow.net.request_parser import may_begin_request as may_begin_request

Piece = bytes | bytearray | memoryview
Pieces = Sequence[Piece]

# Fields that apply to one connection only, or that are set again for each one.
NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade"
    b" content-length expect host x-time-left-ms".split()
)
IOV_MAX = 512  # pieces in one gathered write; POSIX promises 16, Linux takes 1,024
READS_PER_TURN = 8  # of one answer, before yielding to other greenlets;
LONG_READ_BYTES = 1 << 14  # one read of this size is enough to yield: it may hold a thousand events
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ResponseParser:
    """Parses an answer into its status, fields, and body parts, which `take_body` returns."""

    def __init__(self, max_head: int, max_chunk: int = 1 << 18) -> None:
        self._max_head, self._max_chunk = max_head, max_chunk
        self.status = 0
        self.fields: dict[bytes, bytes] = {}
        self.head_complete = self.complete = self.reusable = False
        self.begun = False  # the first byte of the head was parsed
        self.in_chunk = False  # within a chunk
        self.at_boundary = False  # the data so far ends at the end of a chunk or of the head
        self.in_chunk_header = False  # within the line before a chunk
        self.pieces = 0  # heads, chunks and chunk headers that have begun
        self._last = b""  # the last two bytes fed
        self._reads = 0  # since the last yield to other greenlets
        self._chunk = 0
        self._body: list[bytes] = []
        self._head = 0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: memoryview) -> None:
        """Parse the next bytes; HttpError if they are not a valid answer."""
        if not self.head_complete:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                if isinstance(error.__context__, HttpError):
                    raise error.__context__ from error
                raise HttpError(502, f"malformed answer: {error}") from error
            self.reusable = False  # the answer is complete; what follows it is discarded
        if not self.head_complete and self._head > self._max_head:
            raise HttpError(502, "head too large")
        self._last = (self._last + bytes(data[-2:]))[-2:]
        outside = self.head_complete and not (self.in_chunk or self.complete)
        self.at_boundary = outside and self._last == b"\r\n"
        was_in_header, self.in_chunk_header = (
            self.in_chunk_header,
            outside and not self.at_boundary and b"transfer-encoding" in self.fields,
        )
        self.pieces += self.in_chunk_header and not was_in_header

    def read(self, sock: socket, buffer: bytearray) -> None:
        """Read and parse the next bytes of a connection; blocks, raises OSError or HttpError.

        Yields regularly, as reads from a peer that sends faster than this side reads never block.
        """
        if self._reads >= READS_PER_TURN:
            self._reads = 0
            yield_to_others()  # before the read: the previous data has been forwarded
        size = sock.recv_into(buffer)
        self._reads += READS_PER_TURN if size >= LONG_READ_BYTES else 1
        if size:
            self.feed(memoryview(buffer)[:size])
        else:
            self.end()

    def end(self) -> None:
        """The connection ended: this completes an answer without a length and breaks any other."""
        if not self.head_complete or (self.has_framing() and not self.complete):
            raise ConnectionResetError("the connection ended inside an answer")
        self.complete, self.reusable = True, False

    def has_framing(self) -> bool:
        """Whether its head says where the answer ends."""
        return b"content-length" in self.fields or b"transfer-encoding" in self.fields

    def take_body(self) -> list[bytes]:
        """The parts of the body since the last call."""
        body, self._body = self._body, []
        return body

    def on_message_begin(self) -> None:
        """httptools: the first byte of an answer; a second answer to one request is an error."""
        if self.complete:
            raise HttpError(502, "bytes after the answer")
        self.begun = True
        self.pieces += 1

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """httptools: a complete field."""
        if self.head_complete:
            return
        if len(self.fields) == MAX_FIELDS:
            raise HttpError(502, f"over {MAX_FIELDS} header fields")
        self.fields[name.lower()] = strip_whitespace(value)

    def on_headers_complete(self) -> None:
        """httptools: the head is complete; interim ones (1xx) are skipped."""
        status = self._parser.get_status_code()
        if status >= 200:
            self.status, self.head_complete = status, True

    def on_chunk_header(self) -> None:
        """httptools: a chunk's size."""
        self.in_chunk, self._chunk = True, 0
        self.pieces += 1

    def on_chunk_complete(self) -> None:
        """httptools: a chunk's end."""
        self.in_chunk = False

    def on_body(self, part: bytes) -> None:
        """httptools: a part of the body."""
        self._chunk += len(part)
        if self.in_chunk and self._chunk > self._max_chunk:
            raise HttpError(502, "chunk too large")
        self._body.append(part)

    def on_message_complete(self) -> None:
        """httptools: the answer is complete, unless it is an interim one."""
        if self.head_complete:
            self.complete, self.reusable = True, self._parser.should_keep_alive()
        else:
            self.begun, self.fields = False, {}


def _host(address: Address) -> bytes:
    return b"%s:%d" % (address[0].encode(), address[1])


def poll_now(sock: socket, events: int) -> int:
    """Which of poll's `events`, or hang-up or error, a connection has now; 0 for none. Never blocks."""
    watched = select.poll()  # not select: that fails on descriptors of 1,024 and more
    watched.register(sock.fileno(), events)
    ready = watched.poll(0)
    return ready[0][1] if ready else 0


def peek_now(sock: socket, most: int) -> bytes | None:
    """Unread input, `most` bytes at most, or empty at its end; None if nothing has arrived. Never blocks.

    Raises OSError if the connection broke.
    """
    sock.settimeout(0.0)
    try:
        return sock.recv(most, MSG_PEEK)
    except BlockingIOError:
        return None
    finally:
        sock.settimeout(None)


def unread_bytes(sock: socket, most: int) -> int:
    """How many bytes are unread in the kernel, `most` at most; 0 if the connection broke. Never blocks."""
    try:
        return len(peek_now(sock, most) or b"")
    except OSError:
        return 0


# Errors of connect(2) that concern this machine alone: no free port, no buffer, no room in its tables.
LOCAL_SHORTAGES = frozenset(
    {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


class Shortage(OSError):
    """This process can open no connection; this says nothing about the other side."""


def connect(address: Address, timeout_s: float) -> socket:
    """Connect, with TCP_NODELAY; OSError if that fails or takes too long.

    Raises Shortage if this process or machine has no descriptor, port or memory for it: nothing was sent.
    """
    try:
        sock = socket(AF_INET, SOCK_STREAM)
    except OSError as error:
        raise Shortage(error.errno, error.strerror) from error
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
        sock.settimeout(None)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    except BaseException as error:
        sock.close()
        if isinstance(error, OSError) and error.errno in LOCAL_SHORTAGES:
            raise Shortage(error.errno, error.strerror) from error
        raise
    return sock


def listen(address: Address, backlog: int) -> socket:
    """A listening socket; OSError if the address is unavailable."""
    listener = socket(AF_INET, SOCK_STREAM)
    try:
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)  # inherited by accepted sockets (Linux)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def request_pieces(message: Message, address: Address, time_left_ms: int) -> list[Piece]:
    """A request for another connection, as pieces for a gathered write."""
    pieces: list[Piece] = [
        message.method,
        b" ",
        message.target,
        b" HTTP/1.1\r\nHost: ",
        _host(address),
        b"\r\n",
    ]
    for name, value in message.headers:
        if name.lower() not in NOT_FORWARDED:
            pieces += (name, b": ", value, b"\r\n")
    pieces.append(b"X-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (time_left_ms, len(message.body)))
    pieces.append(message.body)
    return pieces


def get_pieces(target: bytes, address: Address) -> list[bytes]:
    """A GET request of the router itself."""
    return [b"GET ", target, b" HTTP/1.1\r\nHost: ", _host(address), b"\r\n\r\n"]


def response_pieces(
    status: int, body: bytes, close: bool, *headers: bytes, kind: bytes = b"application/json"
) -> list[bytes]:
    """A complete answer; `kind` is the content type of its body."""
    pieces = [b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\n" % (status, REASON_PHRASES[status], kind)]
    pieces += [header + b"\r\n" for header in headers]
    if close:
        pieces.append(b"Connection: close\r\n")
    pieces += (b"Content-Length: %d\r\n\r\n" % len(body), body)
    return pieces


def send_available(sock: socket, pieces: Pieces) -> list[Piece]:
    """Write as much as the kernel takes at once; the pieces that are left. Never blocks, raises OSError."""
    rest: list[Piece] = [piece for piece in pieces if piece]
    with suppress(BlockingIOError):
        while rest:
            drop_sent(rest, sock.sendmsg(rest[:IOV_MAX], [], MSG_DONTWAIT))
    return rest


def send_pieces(sock: socket, pieces: Pieces) -> None:
    """Write all pieces in as few calls as possible; blocks the greenlet, raises OSError."""
    rest: list[Piece] = [piece for piece in pieces if piece]
    while rest:
        drop_sent(rest, sock.sendmsg(rest[:IOV_MAX]))


def drop_sent(rest: list[Piece], sent: int) -> None:
    """Remove `sent` bytes from the front of the pieces still to be written."""
    done = 0
    while done < len(rest) and sent >= len(rest[done]):
        sent -= len(rest[done])
        done += 1
    del rest[:done]
    if sent:
        rest[0] = memoryview(rest[0])[sent:]
