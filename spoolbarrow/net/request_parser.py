"""Requests of HTTP/1.1: parsed in place by httptools, each fault told with the status for its sender."""

from __future__ import annotations

from collections import deque

import httptools
from msgspec import Struct

# Fields that two readers could take differently where they are repeated.
ONCE = frozenset(
    b"content-length transfer-encoding host x-correlation-id x-service-class x-account x-session-key"
    b" x-time-left-ms x-facts x-repeat".split()
)


class HttpError(Exception):
    """A message that is not taken; `status` is what its sender is told."""

    def __init__(self, status: int, reason: str, *headers: bytes) -> None:
        super().__init__(reason)
        self.status, self.reason, self.headers = status, reason, headers


class Message(Struct):
    """One request as it came in."""

    method: bytes = b""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = []
    fields: dict[bytes, bytes] = {}  # by lower-case name; the last of repeated ones
    body: bytes = b""
    keep_alive: bool = True
    accepts_chunked: bool = True  # the sender reads chunked answers (HTTP/1.1)

    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


def strip_whitespace(value: bytes | None) -> bytes:
    """A field's value without the optional whitespace round it; llhttp leaves what stands behind it."""
    return (value or b"").strip(b" \t")


class RequestParser:
    """Turns bytes, cut anywhere, into whole requests; the first fault ends the connection's parsing."""

    def __init__(self, max_head: int, max_body: int) -> None:
        self._max_head, self._max_body = max_head, max_body
        self.complete: deque[Message] = deque()
        self.error: HttpError | None = None
        self.reading = False  # in the middle of a request
        self.begins = False  # bytes of the next one are there, too few to tell whether it is one
        self.cut_short = (
            False  # what directly follows the last one that was taken from `whole` begins no request
        )
        self.awaits_continue = False  # its sender waits for 100 before the body
        self._message = Message()
        self._parser = httptools.HttpRequestParser(self)
        # Its own end of parsing there is not used: it can't tell the rest of a body from another request.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._last = False  # one was whole whose sender says that none follows
        self._framed = True  # as far as was read, each message told where it ends
        self._in_head = False
        self._head = self._fed = self._dropped = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def feed(self, data: memoryview) -> None:
        """Parse what came next; complete requests are appended to `whole`."""
        if self.error is not None:
            return
        had = len(self.complete)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._spoilt(HttpError(400, "upgrade not supported"))
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._spoilt(
                cause if isinstance(cause, HttpError) else HttpError(400, f"malformed request: {error}")
            )
        # What is not handed over (an unfinished field, empty lines, what frames chunks) could grow for ever.
        self._fed = 0 if len(self.complete) > had else self._fed + len(data)
        if self.error is None and not self._last and self._fed > self._max_head:
            if self._in_head or not self.reading:
                self.refuse(HttpError(431, "head too large"))
            elif self._fed - self._body_size > self._max_head + self._max_body:
                self.refuse(HttpError(400, "more framing than body"))

    def refuse(self, fault: HttpError) -> None:
        """Take no more of what is read; nothing of a body that is half read is kept in memory."""
        self.error = fault
        self._dropped += self._body_size
        self._body, self._body_size = [], 0

    def _spoilt(self, fault: HttpError) -> None:
        """Nothing more can be parsed.

        Where not even the line of a request can be read directly behind one, that one's length was wrong:
        it must not be served. What follows a request that was to be the last says else nothing of it.
        """
        if self.error is not None:
            return
        self._framed = False
        if self.begins and self.complete:
            self.complete.pop()
        elif self.begins:
            self.cut_short = True
        elif self._last:
            return
        self.refuse(fault)

    def remaining_bytes(self) -> int | None:
        """Bytes that may still come of a message that is refused; None where nothing tells its end."""
        if self.error is None or (self._framed and not self.reading):
            return 0
        length = self._message.fields.get(b"content-length")
        if not self._framed or self._in_head or length is None:
            return None
        return int(length) - self._body_size - self._dropped

    def held_bytes(self) -> int:
        """Bytes of bodies in hand."""
        return self._body_size + sum(len(message.body) for message in self.complete)

    def on_message_begin(self) -> None:
        """httptools: a request's first byte."""
        if self.error is not None:
            raise self.error
        self._message = Message(headers=[], fields={})
        self.begins = self._in_head = True
        self.reading = not self._last
        self._head = self._body_size = self._dropped = 0
        self._body = []

    def on_url(self, part: bytes) -> None:
        """httptools: some of the target."""
        self.begins = False
        if self._last:
            raise HttpError(400, "behind a request that was to be the last")
        self._message.target += part
        self._grow_head(len(part))

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """httptools: one whole field."""
        if not self._in_head:
            return  # a chunked body's trailer says nothing that is used here
        value, key = strip_whitespace(value), name.lower()
        self._grow_head(len(name) + len(value) + 4)
        if key in ONCE and key in self._message.fields:
            raise HttpError(400, f"{key.decode()}: repeated")
        self._message.headers.append((name, value))
        self._message.fields[key] = value

    def on_headers_complete(self) -> None:
        """httptools: the head is whole."""
        message, parser = self._message, self._parser
        self._in_head = False
        message.method = parser.get_method()
        message.accepts_chunked = parser.get_http_version() == "1.1"
        message.keep_alive = parser.should_keep_alive()
        if parser.should_upgrade():
            # llhttp stops reading HTTP here, so the body would be taken for the new protocol.
            raise HttpError(405 if message.method == b"CONNECT" else 400, "upgrade not supported")
        if parser.get_http_version() not in ("1.0", "1.1"):
            raise HttpError(400, "not HTTP/1.0 or 1.1")
        coding = message.fields.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or not message.accepts_chunked):
            # Guards against a length that the next one on the way would read otherwise.
            raise HttpError(400, "Transfer-Encoding: not chunked, or not HTTP/1.1")
        if int(message.fields.get(b"content-length", b"0")) > self._max_body:
            self.refuse(HttpError(413, "body too large"))  # not raised: where it ends stays known
            return
        self.awaits_continue = message.fields.get(b"expect", b"").lower() == b"100-continue"

    def on_body(self, part: bytes) -> None:
        """httptools: some of the body."""
        if self.error is not None:
            self._dropped += len(part)
            return
        self._body_size += len(part)
        if self._body_size > self._max_body:
            raise HttpError(413, "body too large")
        self.awaits_continue = False
        self._body.append(part)

    def on_message_complete(self) -> None:
        """httptools: the request is whole."""
        if self.error is not None:
            self.reading = False
            return
        self._last = not self._message.keep_alive
        self._message.body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self._body, self._body_size = [], 0
        self.reading = self.awaits_continue = False
        self.complete.append(self._message)

    def _grow_head(self, size: int) -> None:
        self._head += size
        if self._head > self._max_head:
            raise HttpError(431, "head too large")


def may_begin_request(data: bytes) -> bool:
    """Whether these bytes begin a request, as far as they tell."""
    parser = RequestParser(len(data), 0)
    parser.feed(memoryview(data))
    return not parser.cut_short
