"""Parses HTTP/1.1 requests with httptools; each error carries the status code for the client."""

from __future__ import annotations

from collections import deque
from typing import ClassVar

import httptools
from msgspec import Struct

from spoolbarrow.net.memory_account import FIELD_BYTES, MESSAGE_BYTES

# Fields that two recipients could interpret differently if repeated.
SINGLE_FIELDS = frozenset(
    b"content-length transfer-encoding host x-correlation-id x-service-class x-account x-session-key"
    b" x-time-left-ms x-facts x-repeat".split()
)

MAX_FIELDS = 100  # header fields of a request, whatever their size: each is several objects
MAX_SMALL_CHUNKS, SMALL_CHUNK_BYTES = 512, 16  # of a body; further ones must be of this size on average
HEAD_READ_BYTES = 1024  # read at a time where requests may follow that were not asked for yet


class HttpError(Exception):
    """An invalid or rejected message; `status` and `headers` are for the response."""

    def __init__(self, status: int, reason: str, *headers: bytes) -> None:
        super().__init__(reason)
        self.status, self.reason, self.headers = status, reason, headers


class Message(Struct, dict=True):
    """One request as received; `head_cost`, no part of its content, is what its head costs in memory."""

    head_cost: ClassVar[int] = MESSAGE_BYTES

    method: bytes = b""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = []
    fields: dict[bytes, bytes] = {}  # by lower-case name; the last value of a repeated one
    body: bytes | bytearray = b""
    keep_alive: bool = True
    accepts_chunked: bool = True  # HTTP/1.1

    def memory_bytes(self) -> int:
        """What it costs in memory."""
        return self.head_cost + len(self.body)

    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


def strip_whitespace(value: bytes | None) -> bytes:
    """A field's value without surrounding whitespace; llhttp leaves the trailing part."""
    return (value or b"").strip(b" \t")


class RequestParser:
    """Parses a byte stream, in pieces of any size, into requests; stops at the first error."""

    def __init__(self, max_head: int, max_body: int) -> None:
        self._max_head, self._max_body = max_head, max_body
        self.complete: deque[Message] = deque()
        self.error: HttpError | None = None
        self.reading = False  # in the middle of a request
        self.undecided = False  # too few bytes so far to tell whether they start a request
        self.cut_short = False  # data right after the last request taken from `complete` starts no request
        self.awaits_continue = False  # the client waits for 100 Continue before the body
        self._message = Message()
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        # llhttp must not stop after "Connection: close": it can't tell the rest of a body from a new request.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._final = False  # a complete request announced that it is the last one
        self._framed = True  # so far, the end of each message is known
        self._in_head = False
        self._head_bytes = self._fed_bytes = self._discarded = 0
        self._body: bytes | bytearray = b""
        self._body_size = self._chunks = self._trailers = 0

    def release(self) -> None:
        """Free what was read, and end the reference cycle with the native parser; nothing more can be fed."""
        self._parser, self._message, self._body = None, Message(), b""
        self.complete.clear()

    def at_rest(self) -> bool:
        """Whether nothing of a request, and no error, has been fed since the last complete one was taken."""
        fresh = not (self.reading or self.complete or self.undecided or self._final or self._fed_bytes)
        return fresh and self.error is None

    def next_read_bytes(self) -> int:
        """How much to read next: the rest of a body, but little where further requests may follow.

        Each request that is read has to be held until it is answered.
        """
        if not self.reading or self._in_head or self.error is not None:
            return HEAD_READ_BYTES
        length = self._message.fields.get(b"content-length")
        if length is None:
            return HEAD_READ_BYTES * 4
        return max(1, int(length) - self._body_size)

    def feed(self, data: memoryview) -> None:
        """Parse the next data; complete requests are appended to `complete`."""
        if self.error is not None or self._parser is None:
            return
        had = len(self.complete)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_malformed(HttpError(400, "upgrade not supported"))
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._reject_malformed(
                cause if isinstance(cause, HttpError) else HttpError(400, f"malformed request: {error}")
            )
        # Limits input without callbacks (unfinished fields, empty lines, chunk framing): may grow forever.
        self._fed_bytes = 0 if len(self.complete) > had else self._fed_bytes + len(data)
        if self.error is None and not self._final and self._fed_bytes > self._max_head:
            if self._in_head or not self.reading:
                self.refuse(HttpError(431, "head too large"))
            elif self._fed_bytes - self._body_size > self._max_head + self._max_body:
                self.refuse(HttpError(400, "more framing than body"))

    def refuse(self, fault: HttpError) -> None:
        """Reject further input and free the memory of a half-read body."""
        self.error = fault
        self._discarded += self._body_size
        self._body, self._body_size = b"", 0
        if self._in_head:
            self._message = Message()

    def _reject_malformed(self, fault: HttpError) -> None:
        """Handle input that can't be parsed.

        If the data right after a request does not even start with a request line, the length of that request
        was wrong, and it must not be served. Other data after a final request is ignored.
        """
        if self.error is not None:
            return
        self._framed = False
        if self.undecided and self.complete:
            self.complete.pop()
        elif self.undecided:
            self.cut_short = True
        elif self._final:
            return
        self.refuse(fault)

    def remaining_bytes(self) -> int | None:
        """Bytes still expected of a refused message; None if its end is unknown."""
        if self.error is None or (self._framed and not self.reading):
            return 0
        length = self._message.fields.get(b"content-length")
        if not self._framed or self._in_head or length is None:
            return None
        return int(length) - self._body_size - self._discarded

    def held_bytes(self) -> int:
        """Bytes of request bodies in memory."""
        return self._body_size + sum(len(message.body) for message in self.complete)

    def memory_bytes(self) -> int:
        """What the requests read so far cost in memory, bodies included."""
        cost = self._body_size + sum(message.memory_bytes() for message in self.complete)
        if self.reading:
            # Fields that are not complete are held by the native parser, which copies them as they grow.
            cost += self._head_cost() + 3 * self._fed_bytes * self._in_head
        return cost

    def _head_cost(self) -> int:
        """What the head read so far costs in memory."""
        return MESSAGE_BYTES + self._head_bytes + FIELD_BYTES * len(self._message.headers)

    def on_message_begin(self) -> None:
        """httptools callback: the first byte of a request."""
        if self.error is not None:
            raise self.error
        self._message = Message(headers=[], fields={})
        self.undecided = self._in_head = True
        self.reading = not self._final
        self._head_bytes = self._body_size = self._discarded = self._chunks = self._trailers = 0
        self._body = b""

    def on_url(self, part: bytes) -> None:
        """httptools callback: a part of the target."""
        self.undecided = False
        if self._final:
            raise HttpError(400, "behind a request that was to be the last")
        self._message.target += part
        self._grow_head(len(part))

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """httptools callback: one complete header field."""
        if not self._in_head:
            return self._count_trailer()  # trailers of chunked bodies are ignored
        value, key = strip_whitespace(value), name.lower()
        self._grow_head(len(name) + len(value) + 4)
        if key in SINGLE_FIELDS and key in self._message.fields:
            raise HttpError(400, f"{key.decode()}: repeated")
        if len(self._message.headers) == MAX_FIELDS:
            raise HttpError(431, f"over {MAX_FIELDS} header fields")
        self._message.headers.append((name, value))
        self._message.fields[key] = value

    def _count_trailer(self) -> None:
        self._trailers += 1
        if self._trailers > MAX_FIELDS and self.error is None:
            raise HttpError(400, f"over {MAX_FIELDS} trailers")

    def on_headers_complete(self) -> None:
        """httptools callback: the head is complete."""
        message, parser = self._message, self._parser
        assert parser is not None
        self._in_head = False
        message.method = parser.get_method()
        message.accepts_chunked = parser.get_http_version() == "1.1"
        message.keep_alive = parser.should_keep_alive()
        if parser.should_upgrade():
            # llhttp stops parsing HTTP here and would treat the body as the new protocol.
            raise HttpError(405 if message.method == b"CONNECT" else 400, "upgrade not supported")
        if parser.get_http_version() not in ("1.0", "1.1"):
            raise HttpError(400, "not HTTP/1.0 or 1.1")
        coding = message.fields.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or not message.accepts_chunked):
            # The next hop could interpret the length differently (request smuggling).
            raise HttpError(400, "Transfer-Encoding: not chunked, or not HTTP/1.1")
        if int(message.fields.get(b"content-length", b"0")) > self._max_body:
            self.refuse(HttpError(413, "body too large"))  # not raised, so that the end stays known
            return
        self.awaits_continue = message.fields.get(b"expect", b"").lower() == b"100-continue"

    def on_body(self, part: bytes) -> None:
        """httptools callback: a part of the body."""
        if self.error is not None:
            self._discarded += len(part)
            return
        self._body_size += len(part)
        if self._body_size > self._max_body:
            raise HttpError(413, "body too large")
        self.awaits_continue = False
        if not self._body:
            self._body = part
        elif isinstance(self._body, bytearray):
            self._body += part
        else:  # one buffer, however many parts
            self._body = bytearray(self._body) + part

    def on_chunk_header(self) -> None:
        """httptools callback: a chunk begins."""
        self._chunks += 1
        if self._chunks > MAX_SMALL_CHUNKS + self._body_size // SMALL_CHUNK_BYTES and self.error is None:
            raise HttpError(400, "too many small chunks")

    def on_message_complete(self) -> None:
        """httptools callback: the request is complete."""
        if self.error is not None:
            self.reading = False
            return
        self._final = not self._message.keep_alive
        self._message.body = self._body
        vars(self._message)["head_cost"] = self._head_cost()
        self._body, self._body_size = b"", 0
        self.reading = self.awaits_continue = False
        self.complete.append(self._message)

    def _grow_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._max_head:
            raise HttpError(431, "head too large")


def may_begin_request(data: bytes) -> bool:
    """Whether these bytes may be the start of a request."""
    parser = RequestParser(len(data), 0)
    parser.feed(memoryview(data))
    return not parser.cut_short
