"""One request on a client's connection and its answer, as the host gives it."""

from __future__ import annotations

from typing import Protocol

import gevent
import orjson
from gevent import socket

from spoolbarrow.net import http1
from spoolbarrow.net.http1 import HttpError, Message
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.request import Request

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"


class Connection(Protocol):
    """What an answer asks of its client's connection."""

    sock: socket.socket
    number: int
    declined: bool

    def disconnected(self) -> bool:
        """Whether its client has closed, reset or half-closed it."""

    def must_end(self) -> bool:
        """Whether it ends with the answer under way, as far as is known now."""

    def write(self, pieces: list[bytes]) -> None:
        """Write some of an answer; blocks while the client is slow."""

    def count(self) -> None:
        """Keep the account of what it holds in memory."""

    def served(self, closing: bool) -> None:
        """The answer under way is written."""

    def break_off(self) -> None:
        """End it with what was written as the last."""

    def lost(self) -> None:
        """Its client has gone, or must go."""

    def pause_reading(self) -> bool:
        """Stop reading, if its client has sent nothing that is not read and answered; whether it did."""

    def start_reading(self) -> None:
        """Begin, or begin again, to read what its client sends."""

    def detach(self) -> None:
        """It is another process's now."""


def retry_after(ms: float) -> bytes:
    """The field that says when to come back."""
    return b"Retry-After: %.3f" % (ms / 1000) if ms > 0 else b"Retry-After: 0"


class Exchange:
    """One request and its answer on a client's connection: the host's Answer."""

    def __init__(self, client: Connection, message: Message) -> None:
        self.client, self.message = client, message
        self.request: Request | None = None
        self._begun = False
        self._broken_off = False
        self._close = not message.keep_alive

    def client_address(self) -> str:
        """The client's address; empty where it has gone."""
        try:
            address: str = self.client.sock.getpeername()[0]
        except OSError:
            return ""
        return address

    def disconnected(self) -> bool:
        """Whether its client has closed, reset or half-closed the connection."""
        return self.client.disconnected()

    def fail_fast(self, retry_after_ms: float, header: bytes = b"") -> None:
        """Declined: 503, with when to come back."""
        after = retry_after(retry_after_ms)
        self.whole(503, "fail-fast: try again later", *((after, header) if header else (after,)))

    def fail(self, late: bool) -> None:
        """Failed: 504 at the deadline, else 502."""
        self.whole(504 if late else 502, "failed")

    def reject(self) -> None:
        """The endpoint can't use it: 400."""
        self.client.declined = True
        self.whole(400, "no endpoint can use this request")

    def refuse(self, fault: HttpError) -> None:
        """The message is not taken: its client is told why, and its connection ends."""
        self.client.declined = True
        log("bad_request", status=fault.status, why=fault.reason)
        self.whole(fault.status, fault.reason, *fault.headers)

    def whole(self, status: int, reason: str, *headers: bytes) -> None:
        """A whole answer, written by a greenlet of its own: the caller must not wait for a slow client."""
        body = orjson.dumps({"error": {"message": reason, "code": status}}) if status != 200 else b"{}"
        closing = self._closing()
        pieces = http1.response_pieces(status, body, closing, *headers)
        gevent.spawn(self._write_whole, pieces, closing)

    def forward(self, parts: list[bytes]) -> None:
        """Events of the stream, as they come; blocks while the client is slow."""
        pieces = []
        if not self._begun:
            self._begun = True
            self.message.body = b""  # nothing more is sent for it, and a stream may be long
            self.client.count()
            pieces.append(STREAM_HEAD)
            if self._closing() or not self.message.accepts_chunked:
                self._close = True
                pieces.append(b"Connection: close\r\n")
            pieces.append(b"Transfer-Encoding: chunked\r\n\r\n" if self.message.accepts_chunked else b"\r\n")
        for part in parts:
            pieces += (b"%x\r\n" % len(part), part, b"\r\n") if self.message.accepts_chunked else (part,)
        try:
            self.client.write(pieces)
        except OSError:
            if not self._broken_off:  # else it says nothing of the client, which may still take in the rest
                self.client.lost()
            raise

    def end(self) -> None:
        """The last chunk."""
        pieces = [b"0\r\n\r\n"] if self.message.accepts_chunked else []
        gevent.spawn(self._write_whole, pieces, self._close)

    def closes(self) -> bool:
        """Whether its client was told that the connection ends with this answer."""
        return self._close

    def begun(self) -> None:
        """Another process of this router has written its head already."""
        self._begun = True

    def abort(self) -> None:
        """No last chunk: the connection's end tells the client that the stream broke."""
        self._broken_off = True
        self.client.break_off()

    def _closing(self) -> bool:
        """Whether the connection ends with this answer: never before what was read behind it is answered."""
        return self._close or self.client.must_end()

    def _write_whole(self, pieces: list[bytes], closing: bool) -> None:
        try:
            self.client.write(pieces)
        except OSError:
            return self.client.lost()
        except Exception as error:
            log_exception("answer", error)
            return self.client.lost()
        self.client.served(closing)
