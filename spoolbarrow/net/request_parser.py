"""Parses HTTP/1.1 requests with httptools; each error carries the status code for the client."""

from __future__ import annotations

from collections import deque

import httptools
from msgspec import Struct

# Fields that two recipients could interpret differently if repeated.
SINGLE_FIELDS = frozenset(
    b"content-length transfer-encoding host x-correlation-id x-service-class x-account x-session-key"
    b" x-time-left-ms x-facts x-repeat".split()
)


class HttpError(Exception):
    """An invalid or rejected message; `status` and `headers` are for the response."""

    def __init__(self, status: int, reason: str, *headers: bytes) -> None:
        super().__init__(reason)
        self.status, self.reason, self.headers = status, reason, headers


class Message(Struct):
    """One request as received."""

    method: bytes = b""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = []
    fields: dict[bytes, bytes] = {}  # by lower-case name; the last value of a repeated one
    body: bytes = b""
    keep_alive: bool = True
    accepts_chunked: bool = True  # HTTP/1.1

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
        self._parser = httptools.HttpRequestParser(self)
        # llhttp must not stop after "Connection: close": it can't tell the rest of a body from a new request.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._final = False  # a complete request announced that it is the last one
        self._framed = True  # so far, the end of each message is known
        self._in_head = False
        self._head_bytes = self._fed_bytes = self._discarded = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def feed(self, data: memoryview) -> None:
        """Parse the next data; complete requests are appended to `complete`."""
        if self.error is not None:
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
        self._body, self._body_size = [], 0

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

    def on_message_begin(self) -> None:
        """httptools callback: the first byte of a request."""
        if self.error is not None:
            raise self.error
        self._message = Message(headers=[], fields={})
        self.undecided = self._in_head = True
        self.reading = not self._final
        self._head_bytes = self._body_size = self._discarded = 0
        self._body = []

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
            return  # trailers of chunked bodies are ignored
        value, key = strip_whitespace(value), name.lower()
        self._grow_head(len(name) + len(value) + 4)
        if key in SINGLE_FIELDS and key in self._message.fields:
            raise HttpError(400, f"{key.decode()}: repeated")
        self._message.headers.append((name, value))
        self._message.fields[key] = value

    def on_headers_complete(self) -> None:
        """httptools callback: the head is complete."""
        message, parser = self._message, self._parser
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
        self._body.append(part)

    def on_message_complete(self) -> None:
        """httptools callback: the request is complete."""
        if self.error is not None:
            self.reading = False
            return
        self._final = not self._message.keep_alive
        self._message.body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self._body, self._body_size = [], 0
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
