"""A client connection over HTTP/1.1: reads requests from the socket and serves them one after another."""

from __future__ import annotations

import select
from typing import Protocol

import gevent
from gevent import socket

from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.client_reader import BufferOwner, ClientReader, NoInput, ReadStep
from spoolbarrow.net.drain_schedule import DrainStep
from spoolbarrow.net.exchange import Exchange as Exchange
from spoolbarrow.net.exchange import retry_after_header
from spoolbarrow.net.graceful_close import ENDED
from spoolbarrow.net.http1 import HttpError, Message
from spoolbarrow.net.log import log_exception
from spoolbarrow.net.memory_account import (
    CONNECTION_BYTES,
    INPUT_BYTES,
    READER_BYTES,
    REQUEST_BYTES,
)
from spoolbarrow.net.observers import CloseReason, Side
from spoolbarrow.net.request import Request
from spoolbarrow.net.request_admission import admit as admit
from spoolbarrow.net.request_admission import notify_declined

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Owner(BufferOwner, Protocol):
    """What a connection needs of the listener that accepted it."""

    def make_room_to_read(self) -> bool:
        """Whether a request may be read further; gives back what costs less first."""

    def connection_closed(self, client: ClientConnection) -> None:
        """Forget a closed client connection."""


class ClientConnection:
    """A client connection; its input is watched all the time, so that a disconnect is noticed.

    While a request is in flight nothing more is read: each request read must be answered, which is impossible
    once the connection has to close (broken stream, drain). The client can resend what was not read.
    """

    def __init__(self, inbound: Owner, sock: socket.socket) -> None:
        self.inbound, self.sock = inbound, sock
        self.exchange: Exchange | None = None
        self.number = inbound.host.observers.connection_opened(Side.CLIENT, sock, inbound.host.now())
        self.since = inbound.host.now()  # opened, last became idle, or began to receive a later request
        self.present_at = 0.0  # when a response was written, which a client that has left resets
        self.is_new = True  # no response was sent on it yet
        self.writing_since = 0.0  # start of a write that the client has not accepted yet; 0: none
        self.input = ClientReader(self, sock)
        self._held_bytes = 0  # of bodies
        self._charged = 0  # to the account of memory
        self._closed = False
        self._sending_continue = False
        self.lingering = False  # the last response is written; waits for the client to close
        # Saves CPU: a client that repeats invalid requests has to reconnect each time.
        self.declined = False
        self.update_held_bytes()

    def idle(self) -> bool:
        """Whether nothing read is unanswered; false while it may be handed over to another process."""
        unusable = self._closed or self.input.paused
        return not (unusable or self.exchange or self.input.parser.reading or self.input.parser.complete)

    def state(self) -> str:
        """The current activity, for the log."""
        if self.lingering:
            return "told_to_go"
        if self.exchange is not None or self.input.parser.complete:
            return "answering"
        return "half_read" if self.input.parser.reading else "idle"

    def request_id(self) -> str:
        """The client's ID of the request in flight, for the log; empty if there is none."""
        request = self.exchange.request if self.exchange is not None else None
        return "" if request is None else request.id

    def has_unread(self) -> bool:
        """Whether the kernel's receive buffer holds data or an end of stream."""
        return not self._closed and http1.poll_now(self.sock, select.POLLIN) != 0

    def unread_bytes(self, most: int) -> int:
        """How much input is unread in the kernel, `most` at most."""
        return 0 if self._closed else http1.unread_bytes(self.sock, most)

    def disconnected(self) -> bool:
        """Whether the client closed, half-closed or reset it, even behind unread data; never blocks."""
        if self._closed:
            return True
        events = http1.poll_now(self.sock, select.POLLIN | select.POLLRDHUP)
        if not events or events & ENDED:
            return events != 0  # without POLLRDHUP support, only a read finds a half-close
        try:
            return http1.peek_now(self.sock, 1) == b""
        except OSError:
            return True

    def all_acknowledged(self) -> bool:
        """Whether the client's host has acknowledged everything that was written."""
        return not tcpinfo.has_unacknowledged(self.sock)

    def has_more_requests(self) -> bool:
        """Whether the client sent anything after the request in flight."""
        return bool(self.input.parser.reading or self.input.parser.complete) or self.has_unread()

    def has_read_ahead(self) -> bool:
        """Whether more was read than the request in flight: further requests or a malformed one."""
        return bool(self.input.parser.complete) or self.input.parser.error is not None

    def must_close(self) -> bool:
        """Whether to close after this response; asked at its head and end, as a drain may begin in between.

        Never before everything read is answered. Unread requests are served while the drain leaves time; from
        CLOSE_ALL on they stay unread, so that the client can send them again.
        """
        if self.declined and not self.has_read_ahead():
            return True
        drains, now = self.inbound.drainer.state, self.inbound.host.now()
        if drains.reached(DrainStep.CLOSE_ALL, now):
            return not (self.input.parser.reading or self.has_read_ahead())
        return drains.reached(DrainStep.END_ANSWERS, now) and not self.has_more_requests()

    def write_stalled(self, since: float) -> bool:
        """Whether a write has been blocked by the client since before that time."""
        return 0 < self.writing_since < since

    def refuse_half_read(self, retry_after_ms: float) -> None:
        """Answer 503 to a request that has not arrived completely: there is no time left for the rest."""
        if self.input.parser.reading and self.exchange is None and not (self.lingering or self.has_unread()):
            retry = retry_after_header(retry_after_ms)
            self.input.parser_in_use().refuse(HttpError(503, "no time for the rest", retry))
            self._advance()

    def may_read(self) -> bool:
        """Whether nothing is in flight, or further input decides whether the request in flight is valid."""
        parser = self.input.parser
        if parser.error is not None:
            return False
        return not (self.exchange or parser.complete) or (parser.undecided and self._unsent() is not None)

    def unread_step(self, data: bytes) -> ReadStep:
        """What to do about input that begins like this, or about the end of input."""
        if self.may_read():
            return ReadStep.READ
        if self._client_left() or (self._in_flight() is not None and (not data or self.disconnected())):
            return ReadStep.END
        if data:
            self.input.arrivals.left_unread(self.inbound.host.now())
        if data and self.proves_bad_length(data):
            self._reject_open(HttpError(400, "malformed request: its length is not that of its body"))
            return ReadStep.AGAIN
        return ReadStep.WAIT

    def reading_failed(self) -> None:
        """Answer an error of this program in reading, after the responses still due."""
        self.input.parser_in_use().refuse(HttpError(500, "internal error"))
        self._advance()

    def is_closed(self) -> bool:
        """Whether its socket is closed."""
        return self._closed

    def _in_flight(self) -> Request | None:
        """The request without a complete response; a client that only gets an error may half-close before."""
        request = self.exchange.request if self.exchange is not None else None
        return None if request is None or request.finished else request

    def _client_left(self) -> bool:
        """Whether the host found the client disconnected; the reader then has to close the connection."""
        request = self.exchange.request if self.exchange is not None else None
        return request is not None and request.answer_kind == "left"

    def _unsent(self) -> Request | None:
        """The request in flight, if no endpoint can have received all of it."""
        request = self._in_flight()
        sent = request is not None and any(attempt.connection for attempt in request.attempts)
        return None if sent else request

    def proves_bad_length(self, data: bytes) -> bool:
        """Whether data right after the last request starts no request: that one is truncated or smuggled."""
        if self.input.parser.reading or self.input.parser.undecided or self.has_read_ahead():
            return False
        return not http1.may_begin_request(data)

    def _reject_open(self, fault: HttpError) -> None:
        """Reject the request in flight as malformed, unless an endpoint has it already."""
        self.input.parser_in_use().refuse(fault)
        exchange, request = self.exchange, self._unsent()
        if exchange is not None and request is not None:
            self.exchange = None
            self.inbound.host.client_left(request)
            exchange.release()
        self._advance()

    def start_reading(self) -> None:
        """Start or resume reading."""
        if not self._closed:
            self.input.start()

    def pause_reading(self) -> bool:
        """Stop reading, unless something read is or would be left unanswered; whether it stopped."""
        if self._has_pending() or not self.input.started() or (self.exchange is None and self.has_unread()):
            return False
        exchange = self.exchange
        self.input.pause()
        if self._closed:
            return False
        # The event loop may poll before it kills the reader, which may then have read new input.
        if self._has_pending() or self.exchange is not exchange:
            self.start_reading()
            return False
        return True

    def _has_pending(self) -> bool:
        """Whether input was read that is not served yet, or the connection is closing."""
        return self.lingering or self.input.parser.reading or self.has_read_ahead()

    def reading_paused(self) -> bool:
        """Whether reading is paused for a handover to another process of this router."""
        return self.input.paused

    def detach(self) -> None:
        """Close this process's descriptor only: another process owns the connection now."""
        self.exchange = None
        self.close(CloseReason.DONE)
        self.update_held_bytes()

    def write(self, pieces: http1.Pieces) -> None:
        """Write a part of a response; blocks while the client is slow."""
        self.writing_since = self.inbound.host.now()
        http1.send_pieces(self.sock, pieces)
        self.writing_since = 0.0

    def response_written(self, closing: bool) -> None:
        """Go on to the next request after a complete response."""
        if self.exchange is not None:
            self.exchange.release()
        self.exchange, self.is_new = None, False
        self.update_held_bytes()
        self.since = self.present_at = self.inbound.host.now()
        if closing or self.must_close():
            self._linger()
        else:
            self._advance()
            self.input.wake()

    def abort_response(self) -> None:
        """Close after what was written; lingers where unread input would cause a reset that loses events."""
        if self._closed or not (self.has_unread() or tcpinfo.has_unacknowledged(self.sock)):
            self.close()
        else:
            self._linger()

    def abandon(self) -> None:
        """Close without a further read or write: the client has disconnected or has to be dropped."""
        self.close()
        exchange, self.exchange = self.exchange, None
        self.update_held_bytes()
        if exchange is not None:
            if exchange.request is not None:
                self.inbound.host.client_left(exchange.request)
            exchange.release()
        self.input.release()

    def close(self, why: CloseReason | None = None) -> None:
        """Close the socket; this wakes the reader, which cleans up."""
        if not self._closed:
            state = self.state()
            self._closed = self.lingering = True
            if why is None:
                why = (
                    CloseReason.DONE
                    if self.exchange is None and not self.input.parser.reading
                    else CloseReason.BROKEN
                )
            drainer = self.inbound.drainer
            if drainer.state.active():
                drainer.log.closed(self.inbound.host.now(), self.number, why.name.lower(), state)
            self.inbound.host.observers.connection_closing(self.number, why)
            self.input.end()
            self.sock.close()
            self.inbound.connection_closed(self)
            if self.input.greenlet is None and not self.input.paused:  # otherwise the reader does it
                gevent.get_hub().loop.run_callback(self.abandon)

    def time_out(self) -> None:
        """Answer 408, or close an idle reused connection silently: a 408 could pass for its next response."""
        if self.is_new or self.input.parser.reading:
            self.input.parser_in_use().refuse(HttpError(408, "no whole request in time"))
            self._advance()
        else:
            self.close(CloseReason.IDLE)

    def fed(self, parser: http1.RequestParser, data: memoryview) -> None:
        """Parse new input, and serve the requests that are complete."""
        was_reading, had = parser.reading, len(parser.complete)
        parser.feed(data)
        self.update_held_bytes()
        self.input.arrivals.after_read(was_reading, len(parser.complete) - had)
        if parser.cut_short and parser.error is not None:
            return self._reject_open(parser.error)
        if parser.reading and parser.error is None and not self.inbound.make_room_to_read():
            # Bounds memory, incomplete bodies included. Only this request is refused: were the complete ones
            # before it refused in its place, one that may have run would be sent again.
            parser.refuse(HttpError(503, "no room", b"Retry-After: 1"))
            self.update_held_bytes()
        if self.exchange is None:
            if parser.reading and not was_reading and not self.is_new:
                self.since = self.inbound.host.now()
            self._advance()

    def _advance(self) -> None:
        """Serve the next complete request, or answer with the parse error."""
        parser = self.input.parser
        if isinstance(parser, NoInput) or self.exchange is not None:
            return
        if self.lingering or self._sending_continue:
            return
        if parser.complete:
            message = parser.complete.popleft()
            self.exchange = Exchange(self, message)
            self.update_held_bytes()
            try:
                admit(self, self.exchange, message, self.input.arrivals.next_arrival(self.since))
            except HttpError as error:
                notify_declined(self.inbound, message, "failed")
                self.exchange.refuse(error)
            except OSError:  # reset during the checks
                self.abandon()
            except Exception as error:
                log_exception("inbound", error)
                notify_declined(self.inbound, message, "failed")
                self.exchange.respond(500, "internal error")
        elif parser.error is not None:
            self.exchange = Exchange(self, Message(keep_alive=False))
            self.exchange.refuse(parser.error)
        elif parser.awaits_continue:
            self._send_continue()

    def _send_continue(self) -> None:
        """Send 100 Continue to a client that waits for it, with no concurrent write."""
        self.input.parser_in_use().awaits_continue = False
        self._sending_continue = True
        try:
            self.write([CONTINUE_RESPONSE])
        except OSError:
            return self.abandon()
        finally:
            self._sending_continue = False
        self._advance()

    def update_held_bytes(self) -> None:
        """Update the accounts of the bodies, and of all memory, that this connection holds."""
        body = len(self.exchange.message.body) if self.exchange else 0
        held = 0 if self._closed else self.input.parser.held_bytes() + body
        self.inbound.held_bytes += held - self._held_bytes
        self._held_bytes = held
        charged = 0 if self._closed else self._memory_bytes()
        self.inbound.memory.change(charged - self._charged)
        self._charged = charged

    def _memory_bytes(self) -> int:
        """What this connection costs in memory."""
        cost = CONNECTION_BYTES + self.input.parser.memory_bytes()
        if not isinstance(self.input.parser, NoInput):
            cost += INPUT_BYTES
        if self.input.greenlet is not None:
            cost += READER_BYTES
        if self.exchange is not None:
            cost += self.exchange.message.memory_bytes()
            cost += REQUEST_BYTES if self.exchange.request is not None else 0
        return cost

    def _linger(self) -> None:
        """Shut down writing, then let the reader wait for the client to close."""
        self.lingering, self.since = True, self.inbound.host.now()
        self.input.wake()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
        self.input.ensure_greenlet()
