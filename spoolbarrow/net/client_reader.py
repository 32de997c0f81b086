"""Reads a client connection at little cost while nothing arrives.

A watcher of the event loop waits for input. A greenlet reads what has arrived and ends once nothing is left,
and a parser exists while requests are read: most connections are at rest most of the time, and a stack and a
parser are most of what one would cost.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

import gevent
from gevent import socket
from gevent.event import Event

from spoolbarrow.net import http1
from spoolbarrow.net.fairness import yield_to_others
from spoolbarrow.net.graceful_close import await_peer_close
from spoolbarrow.net.log import log_exception
from spoolbarrow.net.loop_iterations import ArrivalTimes
from spoolbarrow.net.request_admission import PEEK_BYTES, Listener

READ_EVENT = 1  # of libev: EV_READ
DISCONNECT_POLL_S = 0.05  # for clients with unread input; half the time a disconnect may go unnoticed


class ReadStep(Enum):
    """What a reader does next."""

    READ = 0  # input has arrived and may be read
    REST = 1  # nothing has arrived: the watcher waits for input
    WAIT = 2  # input has arrived that must stay unread for now
    AGAIN = 3  # the state has changed: look again
    END = 4  # nothing more is to be read


class NoInput:
    """Stands for the parser of a connection on which nothing has arrived since its last request."""

    error = None
    complete = ()
    reading = undecided = False

    def at_rest(self) -> bool:
        """Nothing has been fed."""
        return True

    def release(self) -> None:
        """Nothing was read."""

    def held_bytes(self) -> int:
        """No body is held."""
        return 0

    def memory_bytes(self) -> int:
        """No request is held."""
        return 0

    def remaining_bytes(self) -> int | None:
        """No message was refused."""
        return 0


NO_INPUT = NoInput()


class BufferOwner(Listener, Protocol):
    """The listener that accepted a connection."""

    buffer: bytearray  # all input is read to it, and parsed before another greenlet runs


class ReadConnection(Protocol):
    """What a reader needs of its connection."""

    lingering: bool

    @property
    def inbound(self) -> BufferOwner:
        """The listener that accepted it."""

    def is_closed(self) -> bool:
        """Whether its socket is closed."""

    def unread_step(self, data: bytes) -> ReadStep:
        """What to do about input that begins like this, or about the end of input."""

    def fed(self, parser: http1.RequestParser, data: memoryview) -> None:
        """Parse new input, and serve the requests that are complete."""

    def reading_failed(self) -> None:
        """Answer an error of this program in reading."""

    def update_held_bytes(self) -> None:
        """Update the account of what it holds."""

    def abandon(self) -> None:
        """Close it: the client has disconnected."""


class ClientReader:
    """The input of one client connection."""

    def __init__(self, connection: ReadConnection, sock: socket.socket) -> None:
        self._connection, self._sock = connection, sock
        self.parser: http1.RequestParser | NoInput = NO_INPUT
        self.arrivals = ArrivalTimes(connection.inbound.host.loop_iterations, sock)
        self.greenlet: gevent.Greenlet[[], None] | None = None
        self.paused = False  # nothing is read, but the connection stays open
        self._watcher: Any = None  # None: reading has not begun, is paused or has ended
        self._wakeup: Event | None = None  # while the greenlet waits until more may be read

    def started(self) -> bool:
        """Whether input is read as it arrives."""
        return self._watcher is not None

    def start(self) -> None:
        """Start or resume reading."""
        self.paused = False
        self._watch()

    def pause(self) -> None:
        """Stop reading; what was read stays with the parser."""
        self.paused = True
        self._unwatch()
        self.stop()

    def stop(self) -> None:
        """Kill the greenlet, if one is reading."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def end(self) -> None:
        """Stop watching, before the socket is closed; a greenlet that waits notices the close."""
        self._unwatch()
        self.wake()

    def release(self) -> None:
        """Free what was read, after the connection's end, and the reference cycle with the connection."""
        self._drop_parser()
        if self.greenlet is None:
            vars(self).pop("_connection", None)

    def wake(self) -> None:
        """Have the greenlet look again whether it may read on."""
        if self._wakeup is not None:
            self._wakeup.set()

    def parser_in_use(self) -> http1.RequestParser:
        """The parser, made if there is none."""
        if isinstance(self.parser, NoInput):
            options = self._connection.inbound.config.options
            self.parser = http1.RequestParser(options.max_head, options.max_body)
        return self.parser

    def ensure_greenlet(self) -> None:
        """Start a greenlet unless one is reading."""
        if self.greenlet is None and not (self.paused or self._connection.is_closed()):
            if self._watcher is not None:
                self._watcher.stop()
            self.greenlet = gevent.spawn(self.run)
            self._connection.update_held_bytes()

    def run(self) -> None:
        """Read until nothing is left to be read, or until the client disconnects."""
        connection, step = self._connection, ReadStep.END
        view = memoryview(connection.inbound.buffer)
        try:
            while (step := self._read_next(view)) is ReadStep.READ:
                yield_to_others()  # fairness: a client that sends at full speed is always readable
            if connection.lingering and not connection.is_closed():
                self._release_parser_at_rest()
                linger_s = connection.inbound.config.options.linger_ms / 1000
                await_peer_close(self._sock, view, self.parser.remaining_bytes(), linger_s)
        except OSError:
            step = ReadStep.END  # reset by the client, or closed by this process
        except Exception as error:
            step = ReadStep.END
            log_exception("client", error)
        finally:
            self.greenlet = None
            if step is ReadStep.REST and not (connection.is_closed() or connection.lingering):
                self._rest()
            elif not self.paused:
                connection.abandon()

    def _read_next(self, view: memoryview) -> ReadStep:
        """Read the next input if there is any and it may be read."""
        connection = self._connection
        try:
            step = self._await_readable()
            if step is not ReadStep.READ:
                return step
            parser = self.parser_in_use()
            # Before the read, which frees receive buffer space so that more data may arrive at once.
            self.arrivals.before_read(connection.inbound.host.now())
            wanted = view[: parser.next_read_bytes()]
            size = self._sock.recv_into(wanted)
            if not size:
                return ReadStep.END
            connection.fed(parser, view[:size])
            if size < len(wanted) and not connection.lingering:
                return ReadStep.REST  # nothing was left
        except OSError:
            raise
        except Exception as error:
            log_exception("client", error)
            connection.reading_failed()
        return ReadStep.READ

    def _await_readable(self) -> ReadStep:
        """Wait until input that has arrived may be read."""
        while not self._connection.lingering:
            data = http1.peek_now(self._sock, PEEK_BYTES)
            if data is None:
                return ReadStep.REST
            step = self._connection.unread_step(data)
            if step in (ReadStep.READ, ReadStep.END):
                return step
            if step is ReadStep.WAIT:
                self._wakeup = Event()
                self._wakeup.wait(DISCONNECT_POLL_S)
                self._wakeup = None
        return ReadStep.END

    def _rest(self) -> None:
        """Wait for input without a greenlet, and without a parser if no request is being read."""
        self._release_parser_at_rest()
        if not self.paused:
            self._watch()

    def _release_parser_at_rest(self) -> None:
        if self.parser.at_rest():
            self._drop_parser()
        self._connection.update_held_bytes()

    def _drop_parser(self) -> None:
        self.parser.release()
        self.parser = NO_INPUT

    def _watch(self) -> None:
        if self._watcher is None:
            self._watcher = gevent.get_hub().loop.io(self._sock.fileno(), READ_EVENT)
        self._watcher.start(self._input_arrived)

    def _unwatch(self) -> None:
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _input_arrived(self) -> None:
        """Called by the event loop, which must not be blocked."""
        if self._watcher is not None:
            self._watcher.stop()
        self.ensure_greenlet()
