"""One request on a client connection and its response: what the host uses to answer it."""

from __future__ import annotations

from typing import Protocol

import gevent
import orjson
from gevent import socket

from spoolbarrow.net import http1
from spoolbarrow.net.http1 import HttpError, Message
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.request import Request

MAX_UNSURE_MS = 50.0  # in which requests are sent although their client may have left unnoticed
MAX_LOGGED_ID = 64  # characters
MAX_UNREAD_BYTES = 16_384  # well below the least receive buffer that Linux gives a connection
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"


class Connection(Protocol):
    """What an exchange needs of the client connection."""

    sock: socket.socket
    number: int
    declined: bool

    def disconnected(self) -> bool:
        """Whether the client has closed, reset or half-closed it."""

    def unread_bytes(self, most: int) -> int:
        """How much input is unread in the kernel, `most` at most."""

    def must_close(self) -> bool:
        """Whether to close it after this response, as known now."""

    def write(self, pieces: http1.Pieces) -> None:
        """Write a part of a response; blocks while the client is slow."""

    def update_held_bytes(self) -> None:
        """Update the account of the bodies it holds in memory."""

    def response_written(self, closing: bool) -> None:
        """Go on after a complete response."""

    def abort_response(self) -> None:
        """Close it after what was written."""

    def abandon(self) -> None:
        """Close it: the client has disconnected or has to be dropped."""

    def pause_reading(self) -> bool:
        """Stop reading, unless something the client sent is unanswered; whether it stopped."""

    def start_reading(self) -> None:
        """Start or resume reading."""

    def detach(self) -> None:
        """Leave it to another process."""


def retry_after_header(ms: float) -> bytes:
    """The Retry-After header field."""
    return b"Retry-After: %.3f" % (ms / 1000) if ms > 0 else b"Retry-After: 0"


class Exchange:
    """One request and its response on a client connection; implements `request.Answer`."""

    def __init__(self, client: Connection, message: Message) -> None:
        self.client, self.message = client, message
        self.request: Request | None = None
        self.present_at = 0.0  # when the client showed that it had not left, ms
        self._begun = False
        self._aborted = False
        self._close = not message.keep_alive

    def client_address(self) -> str:
        """The client's address; empty if it has disconnected."""
        try:
            address: str = self.client.sock.getpeername()[0]
        except OSError:
            return ""
        return address

    def disconnected(self) -> bool:
        """Whether its client has closed, reset or half-closed the connection."""
        return self.client.disconnected()

    def shows_disconnect(self, now: float) -> bool:
        """Whether its client's close would be noticed, or it was there a moment ago.

        A close comes behind all that was sent, and the kernel takes no more while too much is unread.
        """
        if now - self.present_at <= MAX_UNSURE_MS:
            return True
        return self.client.unread_bytes(MAX_UNREAD_BYTES) < MAX_UNREAD_BYTES

    def fail_fast(self, retry_after_ms: float, header: bytes = b"") -> None:
        """Answer 503 with Retry-After."""
        retry = retry_after_header(retry_after_ms)
        self.respond(503, "fail-fast: try again later", *((retry, header) if header else (retry,)))

    def fail(self, late: bool) -> None:
        """Answer 504 at the deadline, else 502."""
        self.respond(504 if late else 502, "failed")

    def reject(self) -> None:
        """Answer 400: the endpoint can't process the request."""
        self.client.declined = True
        self.respond(400, "no endpoint can use this request")

    def refuse(self, fault: HttpError) -> None:
        """Answer a request that is not accepted with its error, and close the connection."""
        self.client.declined = True
        id = self.message.fields.get(b"x-correlation-id", b"").decode("latin-1")[:MAX_LOGGED_ID]
        log("bad_request", status=fault.status, why=fault.reason, connection=self.client.number, id=id)
        self.respond(fault.status, fault.reason, *fault.headers)

    def respond(self, status: int, reason: str, *headers: bytes) -> None:
        """Write a complete response in its own greenlet, so that a slow client does not block the caller."""
        body = orjson.dumps({"error": {"message": reason, "code": status}}) if status != 200 else b"{}"
        closing = self._is_closing()
        self.message.body = b""  # free memory: no further attempt needs it
        self._write_last(http1.response_pieces(status, body, closing, *headers), closing)

    def forward(self, data: bytes) -> None:
        """Write a part of the stream as it came; blocks while the client is slow."""
        pieces: list[bytes] = []
        if not self._begun:
            self._begun = True
            self.message.body = b""  # free memory: no further attempt needs it, and a stream may be long
            self.client.update_held_bytes()
            pieces.append(STREAM_HEAD)
            if self._is_closing() or not self.message.accepts_chunked:
                self._close = True
                pieces.append(b"Connection: close\r\n")
            pieces.append(b"Transfer-Encoding: chunked\r\n\r\n" if self.message.accepts_chunked else b"\r\n")
        if data and self.message.accepts_chunked:
            pieces += (b"%x\r\n" % len(data), data, b"\r\n")
        else:
            pieces.append(data)
        try:
            self.client.write(pieces)
        except OSError:
            if not self._aborted:  # after an abort, the client may still read the rest
                self.client.abandon()
            raise

    def end(self) -> None:
        """Write the last chunk."""
        pieces = [b"0\r\n\r\n"] if self.message.accepts_chunked else []
        self._write_last(pieces, self._close)

    def closes_connection(self) -> bool:
        """Whether the response announced that the connection closes after it."""
        return self._close

    def release(self) -> None:
        """Free what was needed to carry out the request, and end the reference cycle with it."""
        self.message.body = b""
        self.request = None

    def mark_begun(self) -> None:
        """Note that another process of this router has already written the response head."""
        self._begun = True

    def abort(self) -> None:
        """Close without the last chunk, which tells the client that the stream is incomplete."""
        self._aborted = True
        self.client.abort_response()

    def _is_closing(self) -> bool:
        """Whether the connection closes after this response."""
        return self._close or self.client.must_close()

    def _write_last(self, pieces: list[bytes], closing: bool) -> None:
        """Write the end of a response; never blocks, so that a slow client does not block the caller."""
        try:
            rest = http1.send_available(self.client.sock, pieces)
        except OSError:
            gevent.get_hub().loop.run_callback(self.client.abandon)
            return
        if rest:
            gevent.spawn(self._write_whole, rest, closing)
        else:
            gevent.get_hub().loop.run_callback(self._written, closing)

    def _written(self, closing: bool) -> None:
        """Called by the event loop, which must not be blocked."""
        try:
            self.client.response_written(closing)
        except Exception as error:
            log_exception("answer", error)
            self.client.abandon()

    def _write_whole(self, pieces: http1.Pieces, closing: bool) -> None:
        try:
            self.client.write(pieces)
        except OSError:
            return self.client.abandon()
        except Exception as error:
            log_exception("answer", error)
            return self.client.abandon()
        self.client.response_written(closing)
