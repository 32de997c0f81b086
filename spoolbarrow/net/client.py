"""A client's connection: requests read from it, and served in turn."""

from __future__ import annotations

import select
from typing import Protocol

import gevent
from gevent import socket
from gevent.event import Event

from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.drain_schedule import DrainStep
from spoolbarrow.net.exchange import Exchange as Exchange
from spoolbarrow.net.exchange import retry_after
from spoolbarrow.net.graceful_close import ENDED, await_peer_close
from spoolbarrow.net.http1 import HttpError, Message
from spoolbarrow.net.log import log_exception
from spoolbarrow.net.loop_iterations import ArrivalTimes
from spoolbarrow.net.observers import CloseReason, Side
from spoolbarrow.net.request import Request
from spoolbarrow.net.request_admission import LOOKED_AT, Listener, notify_declined
from spoolbarrow.net.request_admission import admit as admit

FIRST_READ = 4096  # bytes of what may be many requests: each that is read must be answered
GONE_S = 0.05  # between looks for the end of a client that has sent more: half of what it may go unseen
GO_AHEAD = b"HTTP/1.1 100 Continue\r\n\r\n"


class Owner(Listener, Protocol):
    """What a connection asks of the listener that accepted it."""

    buffer: bytearray

    def connection_closed(self, client: ClientConnection) -> None:
        """A client's connection is closed."""


class ClientConnection:
    """A client's connection: its greenlet waits for what comes, so that a client that leaves is noticed.

    While a request is under way nothing more is read. What was read must be answered, and a connection
    that has to end first (a stream that breaks, a drain) could not; unread, its client may send it again.
    """

    def __init__(self, inbound: Owner, sock: socket.socket) -> None:
        self.inbound, self.sock = inbound, sock
        self.exchange: Exchange | None = None
        self.number = inbound.host.observers.connection_opened(Side.CLIENT, sock, inbound.host.now())
        self.since = inbound.host.now()  # it was opened or became idle, or a later request began
        self.fresh = True  # nothing was answered on it yet
        self.writing_since = 0.0  # when a write began that the client has not taken yet
        self._arrivals = ArrivalTimes(inbound.host.loop_iterations, sock)
        options = inbound.config.options
        self._parser = http1.RequestParser(options.max_head, options.max_body)
        self._room = Event()
        self._held = 0
        self._closed = False
        self._going_ahead = False  # the word to send a body is being written
        self._paused = False  # its reader is to end without the connection
        self.reader: gevent.Greenlet[[], None] | None = None
        self.ending = False  # its last answer is written; only the client's end is waited for
        # Guards the CPU: a client that repeats what is turned away must come back through the listener.
        self.declined = False

    def idle(self) -> bool:
        """Whether nothing is under way on it, as far as was read; not while another process may take it."""
        gone = self._closed or self._paused
        return not (gone or self.exchange or self._parser.reading or self._parser.complete)

    def state(self) -> str:
        """What it is doing, for the log."""
        if self.ending:
            return "told_to_go"
        if self.exchange is not None or self._parser.complete:
            return "answering"
        return "half_read" if self._parser.reading else "idle"

    def request_id(self) -> str:
        """Its client's name for the request under way, for the log; empty where there is none."""
        request = self.exchange.request if self.exchange is not None else None
        return "" if request is None else request.id

    def has_unread(self) -> bool:
        """Whether the kernel holds something that its client sent."""
        return not self._closed and http1.poll_now(self.sock, select.POLLIN) != 0

    def disconnected(self) -> bool:
        """Whether its client has closed, reset or half-closed it, whatever stands unread before that end.

        Never waits. Where the system does not tell, the client counts as there: its reader comes to the end.
        """
        if self._closed:
            return True
        told = http1.poll_now(self.sock, select.POLLIN | select.POLLRDHUP)
        if not told or told & ENDED:
            return told != 0  # else a system may tell of no half-close: the end is then what is read next
        self.sock.settimeout(0.0)
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(None)

    def answered(self) -> bool:
        """Whether its client's machine has all that was written to it."""
        return not tcpinfo.has_unacknowledged(self.sock)

    def asked_more(self) -> bool:
        """Whether its client sent something behind the request that is served."""
        return bool(self._parser.reading or self._parser.complete) or self.has_unread()

    def read_more(self) -> bool:
        """Whether what was read of it is not all answered when the request under way is."""
        return bool(self._parser.complete) or self._parser.error is not None

    def must_end(self) -> bool:
        """Whether the connection ends with the answer under way, or the one that has just ended.

        Asked at an answer's head, to tell the client, and again at its end: a drain may have begun meanwhile.
        Never before what was read is answered. What stands unread is served as long as there is time for it;
        from then on it is left so, for its client to send again.
        """
        if self.declined and not self.read_more():
            return True
        drains, now = self.inbound.drainer.state, self.inbound.host.now()
        if drains.reached(DrainStep.CLOSE_ALL, now):
            return not (self._parser.reading or self.read_more())
        return drains.reached(DrainStep.END_ANSWERS, now) and not self.asked_more()

    def stalled(self, since: float) -> bool:
        """Whether its client has taken nothing of an answer since then."""
        return 0 < self.writing_since < since

    def refuse_half_read(self, retry_after_ms: float) -> None:
        """Refuse a request that is still half read: there is no time left for the rest of it."""
        if self._parser.reading and self.exchange is None and not (self.ending or self.has_unread()):
            self._parser.refuse(HttpError(503, "no time for the rest", retry_after(retry_after_ms)))
            self._advance()

    def run(self) -> None:
        """Read until the client goes."""
        view = memoryview(self.inbound.buffer)
        try:
            while self._read_next(view):
                gevent.sleep(0)  # guards the others: a client that sends at full speed is always readable
            if self.ending and not self._closed:
                await_peer_close(
                    self.sock,
                    view,
                    self._parser.remaining_bytes(),
                    self.inbound.config.options.linger_ms / 1000,
                )
        except OSError:
            pass  # reset by the client, or closed by this side
        except Exception as error:
            log_exception("client", error)
        finally:
            if not self._paused:
                self.lost()

    def _read_next(self, view: memoryview) -> bool:
        """Read what comes next once it may be read; false where nothing more is to be read."""
        try:
            if not self._await_turn(view):
                return False
            # Asked before the read: the room that it makes in the kernel lets more come at once.
            self._arrivals.look(self.inbound.host.now())
            size = self.sock.recv_into(view if self._parser.reading else view[:FIRST_READ])
            if size:
                self._fed(view[:size])
            return size > 0
        except OSError:
            raise
        except Exception as error:
            log_exception("client", error)
            self._parser.refuse(
                HttpError(500, "internal error")
            )  # its client is told all the same, in its turn
            self._advance()
            return True

    def _await_turn(self, view: memoryview) -> bool:
        """Wait until something has come that may be read; false where nothing more is to be read."""
        while not self.ending:
            there = self.sock.recv_into(view, LOOKED_AT, socket.MSG_PEEK)
            if self.ending or self._may_read():
                return not self.ending
            if self._left() or (self._under_way() is not None and (not there or self.disconnected())):
                return False
            if there:
                self._arrivals.stands(self.inbound.host.now())
            if there and self.voids(view[:there]):
                self._take_back(HttpError(400, "malformed request: its length is not that of its body"))
                continue
            self._room.clear()
            self._room.wait(GONE_S)
        return False

    def _may_read(self) -> bool:
        """Whether nothing is under way, or what was read last shows it to be wrong or not."""
        parser = self._parser
        if parser.error is not None:
            return False
        return not (self.exchange or parser.complete) or (parser.begins and self._unsent() is not None)

    def _under_way(self) -> Request | None:
        """The request that has not its whole answer: one only told what was wrong may have said its end."""
        request = self.exchange.request if self.exchange is not None else None
        return None if request is None or request.finished else request

    def _left(self) -> bool:
        """Whether the host found its client gone: nobody else ends the connection."""
        request = self.exchange.request if self.exchange is not None else None
        return request is not None and request.answer_kind == "left"

    def _unsent(self) -> Request | None:
        """The request under way, where no endpoint can have all of it."""
        request = self._under_way()
        sent = request is not None and any(attempt.connection for attempt in request.attempts)
        return None if sent else request

    def voids(self, there: memoryview) -> bool:
        """Whether what directly follows the last request that was read begins none: that one is cut short.

        Guards against passing on a part of a request, or one hidden in another's body.
        """
        if self._parser.reading or self._parser.begins or self.read_more():
            return False
        return not http1.may_begin_request(bytes(there))

    def _take_back(self, fault: HttpError) -> None:
        """The request under way is not what its client meant; one that is out already goes on."""
        self._parser.refuse(fault)
        request = self._unsent()
        if request is not None:
            self.exchange = None
            self.inbound.host.client_left(request)
        self._advance()

    def start_reading(self) -> None:
        """Begin, or begin again, to read what the client sends."""
        self._paused = False
        self.reader = gevent.spawn(self.run)

    def pause_reading(self) -> bool:
        """Stop reading, if nothing that was or will be read here waits for its answer; whether it did."""
        if self._unsettled() or self.reader is None or (self.exchange is None and self.has_unread()):
            return False
        exchange, self._paused = self.exchange, True
        self.reader.kill()
        if self._closed:
            return False
        # The event loop may poll before it ends the reader, which then reads what has come meanwhile.
        if self._unsettled() or self.exchange is not exchange:
            self.start_reading()
            return False
        return True

    def _unsettled(self) -> bool:
        """Whether something was read that is not served yet, or it is to be closed."""
        return self.ending or self._parser.reading or self.read_more()

    def reading_paused(self) -> bool:
        """Whether nobody reads: it is on its way to another process of this router."""
        return self._paused

    def detach(self) -> None:
        """The connection is another process's now: only this one's descriptor is closed."""
        self.exchange = None
        self.close(CloseReason.DONE)
        self.count()

    def write(self, pieces: list[bytes]) -> None:
        """Write some of an answer; blocks while the client is slow."""
        self.writing_since = self.inbound.host.now()
        http1.send_pieces(self.sock, pieces)
        self.writing_since = 0.0

    def served(self, closing: bool) -> None:
        """The answer under way is written: go on to the next request."""
        self.exchange, self.fresh = None, False
        self.count()
        self.since = self.inbound.host.now()
        if closing or self.must_end():
            self._finish()
        else:
            self._advance()
            self._room.set()

    def break_off(self) -> None:
        """End the connection with what was written as the last.

        Guards events that its client has not had: closed over unread bytes, a reset takes them along.
        """
        if self._closed or not (self.has_unread() or tcpinfo.has_unacknowledged(self.sock)):
            self.close()
        else:
            self._finish()

    def lost(self) -> None:
        """The client has gone, or must go: nothing more is read or written."""
        self.close()
        exchange, self.exchange = self.exchange, None
        self.count()
        if exchange is not None and exchange.request is not None:
            self.inbound.host.client_left(exchange.request)

    def close(self, why: CloseReason | None = None) -> None:
        """End the connection; its reader, woken by that, does the rest."""
        if not self._closed:
            state = self.state()
            self._closed = self.ending = True
            if why is None:
                why = (
                    CloseReason.DONE
                    if self.exchange is None and not self._parser.reading
                    else CloseReason.BROKEN
                )
            drainer = self.inbound.drainer
            if drainer.state.active():
                drainer.log.closed(self.inbound.host.now(), self.number, why.name.lower(), state)
            self.inbound.host.observers.connection_closing(self.number, why)
            self._room.set()
            self.sock.close()
            self.inbound.connection_closed(self)

    def overdue(self) -> None:
        """Its request did not become whole in time, or it asked nothing: tell it, and go on to its end.

        One that was answered before is closed without a word: that could pass for its next request's answer.
        """
        if self.fresh or self._parser.reading:
            self._parser.refuse(HttpError(408, "no whole request in time"))
            self._advance()
        else:
            self.close(CloseReason.IDLE)

    def _fed(self, data: memoryview) -> None:
        parser = self._parser
        was_reading, had = parser.reading, len(parser.complete)
        parser.feed(data)
        self.count()
        self._arrivals.read(was_reading, len(parser.complete) - had)
        if parser.cut_short and parser.error is not None:
            return self._take_back(parser.error)
        if (
            parser.reading
            and parser.error is None
            and self.inbound.held_bytes > self.inbound.config.max_held_bytes
        ):
            # Guards the memory: bodies that never become whole count as well. The requests before it are
            # as good as ever: refused in their place, one that may have run would be sent again.
            parser.refuse(HttpError(503, "no room", b"Retry-After: 1"))
        if self.exchange is None:
            if parser.reading and not was_reading and not self.fresh:
                self.since = self.inbound.host.now()
            self._advance()

    def _advance(self) -> None:
        """Serve the next request that is whole, or tell what is wrong with what came."""
        parser = self._parser
        if self.exchange is not None or self.ending or self._going_ahead:
            return
        if parser.complete:
            message = parser.complete.popleft()
            self.exchange = Exchange(self, message)
            try:
                admit(self, self.exchange, message, self._arrivals.first(self.since))
            except HttpError as error:
                notify_declined(self.inbound, message, "failed")
                self.exchange.refuse(error)
            except OSError:  # reset, as it was looked at
                self.lost()
            except Exception as error:
                log_exception("inbound", error)
                notify_declined(self.inbound, message, "failed")
                self.exchange.whole(500, "internal error")
        elif parser.error is not None:
            self.exchange = Exchange(self, Message(keep_alive=False))
            self.exchange.refuse(parser.error)
        elif parser.awaits_continue:
            self._go_ahead()

    def _go_ahead(self) -> None:
        """Tell a client that waits for this word to send the body, with no other write beside it."""
        self._parser.awaits_continue = False
        self._going_ahead = True
        try:
            self.write([GO_AHEAD])
        except OSError:
            return self.lost()
        finally:
            self._going_ahead = False
        self._advance()

    def count(self) -> None:
        """Keep the account of the bodies that this connection holds in memory."""
        held = self._parser.held_bytes() + (len(self.exchange.message.body) if self.exchange else 0)
        if self._closed:
            held = 0
        self.inbound.held_bytes += held - self._held
        self._held = held

    def _finish(self) -> None:
        """Say that nothing more comes, then let the reader see the client's end."""
        self.ending, self.since = True, self.inbound.host.now()
        self._room.set()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
