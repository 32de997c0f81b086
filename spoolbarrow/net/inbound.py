"""The listener and its clients' connections: accepted, bounded in number, closed when idle, drained."""

from __future__ import annotations

from collections.abc import Callable, Collection
from contextlib import suppress
from itertools import islice

import gevent
from gevent import socket

from spoolbarrow.config import Config
from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.accepting import NO_ROOM, next_connection
from spoolbarrow.net.client import ClientConnection, Exchange
from spoolbarrow.net.drain_schedule import DrainCause, DrainStep, operator_schedule, shutdown_schedule
from spoolbarrow.net.drainer import Drainer
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.observers import CloseReason
from spoolbarrow.net.overflow import Overflow

RECV = 65536  # bytes read at once, into one buffer: they are parsed before any other greenlet runs
BACKLOG = 4096  # connections that the kernel holds for this process, as far as its own limit goes
SETTLED_MS = 100.0  # a connection idle so long may be closed for one that waits
HALF_MS = 500.0  # and a request half read so long refused for it
PATIENCE_MS = 2000.0  # a connection that has waited so long for room is told that there is none,
PATIENCE_SHARE = 0.5  # or for this share of the shortest deadline: its client waits no longer than that
ROOM_S = 0.02  # between looks for room
ROOM_AT_ONCE = 16  # connections closed at once for those that wait
ACCEPT_AT_ONCE, ACCEPT_PAUSE_S = 8, 0.002  # a burst of connections leaves time for those that are served
SWEEP_S = 0.2
DRAIN_S = 0.02  # between looks at whether the last client of a process that ends has gone
ABLE_S = 0.01  # between looks at whether this process can serve yet


class Inbound:
    """The listener and the clients' connections."""

    def __init__(self, config: Config, host: Host) -> None:
        self.config, self.host = config, host
        self.drainer = Drainer(self)
        self.held_bytes = 0  # bytes of bodies in memory
        self.buffer = bytearray(RECV)
        self._clients: set[ClientConnection] = set()
        self._overflow = Overflow()
        self._waiting: dict[socket.socket, socket.socket] = {}  # by listener: accepted, and waiting for room
        self._out = False  # of descriptors, as far as is known
        self._listener: socket.socket | None = None
        self._inherited = False  # other processes accept from it, too
        self._accepts = False  # this one does, or will whether it can serve or not
        self._accepting: gevent.Greenlet[[socket.socket, bool], None] | None = None
        # By listener that is no longer listened at: they accept the last that have come.
        self._leaving: dict[socket.socket, gevent.Greenlet[..., None]] = {}
        self._sweeper: gevent.Greenlet[[], None] | None = None

    def start(self, inherited: socket.socket | None = None, alone: bool = True) -> None:
        """Listen, or accept from a socket that listens already; OSError where the address can't be had.

        Where another process accepts from it (`alone` is false), this one begins once it can serve.
        """
        if inherited is None:
            self._listen(self.config)
        else:
            self._listener, self._inherited, self._accepts = inherited, True, alone
            self._accepting = gevent.spawn(self._accept, inherited, alone)
        self._sweeper = gevent.spawn(self._sweep)

    def apply(self, config: Config) -> None:
        """Go by a new configuration; OSError, and nothing is changed, where its address can't be had."""
        if config.listen != self.config.listen:
            self._listen(config)
        self.config = config

    def _listen(self, config: Config) -> None:
        listener = http1.listen(config.listen, BACKLOG)
        self._stop_listening()
        self._listener, self._inherited, self._accepts = listener, False, True
        self._accepting = gevent.spawn(self._accept, listener, True)

    def ready(self) -> bool:
        """Whether clients may be sent here."""
        drains = self.drainer.state
        ending = drains.process_ending() and not drains.has_successor()
        return (
            self.host.is_deciding()
            and not (ending or drains.by_operator())
            and self.host.destinations.any_serving()
        )

    def operator_drained(self) -> bool:
        """Whether an operator drained this router by hand."""
        return self.drainer.state.by_operator()

    def can_serve(self) -> bool:
        """Whether this process could serve; also where operators' words keep clients or endpoints from it."""
        return not self.drainer.state.process_ending() and self.host.destinations.any_listed_serving()

    def begin_operator_drain(self, passed_ms: float = 0.0) -> None:
        """Have no clients until `activate`, as an operator said, or said so long ago.

        The front is told so, and answers end connections. What was taken is answered, and long streams run
        on. It is not the end: that is `drain`.
        """
        self.drainer.begin(DrainCause.OPERATOR, operator_schedule(self.config), passed_ms)

    def activate(self) -> None:
        """Take clients again, as an operator said."""
        self.drainer.cancel(DrainCause.OPERATOR)

    def drain(self, pass_on: Callable[[ClientConnection], bool] | None = None) -> None:
        """Answer what was taken and what still comes within the grace, then close what is idle.

        Clients may have nowhere else to go while routers are restarted one after the other, so those that
        have a connection may use it for a while after new ones go elsewhere; not where a stream that SIGKILL
        cuts off is lost to its client: what would be taken then is refused.
        A stream that outlasts the grace would break at SIGKILL, when the next router may be draining too:
        its client is let go early, while there is another one to go on with. For the same reason nothing
        is left without an answer. Where nobody asks for the rest, a stream runs on as long as its client
        takes it in.
        Where another process accepts from the same socket, the router goes on: nothing more is accepted here,
        and `pass_on` hands idle connections to that process. One that it does not take is ended as else.
        """
        succeeded = pass_on is not None
        times = shutdown_schedule(self.config, succeeded)
        self.drainer.begin(DrainCause.SUCCESSOR if succeeded else DrainCause.SIGTERM, times)
        gevent.sleep(times.accept_ms / 1000)
        self._stop_listening()
        passing = None if pass_on is None else gevent.spawn(self._pass_idle, pass_on)
        while self._clients or self._leaving:
            gevent.sleep(DRAIN_S)
        if passing is not None:
            passing.kill()

    def _pass_idle(self, pass_on: Callable[[ClientConnection], bool]) -> None:
        """Hand idle connections on until one is not taken.

        Not in the drain's own loop: a process that does not answer must not hold up its clock.
        """
        try:
            while all(
                pass_on(client) for client in list(self._clients) if client.idle() and not client.ending
            ):
                gevent.sleep(DRAIN_S)
        finally:
            self.drainer.pass_nothing_more()

    def close(self) -> None:
        """Drop everything at once."""
        self.drainer.close()
        running = (self._accepting, self._sweeper)
        listeners = [*self._leaving, *([self._listener] if self._listener is not None else [])]
        gevent.killall([*(each for each in running if each is not None), *self._leaving.values()])
        for sock in (*listeners, *self._waiting.values()):
            sock.close()
        self._overflow.close()
        for client in list(self._clients):
            client.close(CloseReason.ENDED)

    def adopt_idle(self, sock: socket.socket) -> ClientConnection:
        """A connection that another process of this router accepted; nothing is read yet."""
        client = ClientConnection(self, sock)
        client.fresh = False
        self._clients.add(client)
        return client

    def adopt_stream(self, sock: socket.socket, chunks: bool, closing: bool) -> Exchange:
        """A connection on which another process of this router has begun an answer; nothing is read yet."""
        client = self.adopt_idle(sock)
        client.exchange = Exchange(client, Message(accepts_chunked=chunks, keep_alive=not closing))
        client.exchange.begun()
        return client.exchange

    def clients(self) -> Collection[ClientConnection]:
        """Clients' connections that are open."""
        return self._clients

    def connection_closed(self, client: ClientConnection) -> None:
        """A client's connection is closed."""
        self._clients.discard(client)

    def _accept(self, listener: socket.socket, at_once: bool) -> None:
        accepted = 0
        while not (at_once or self.can_serve()):
            gevent.sleep(ABLE_S)
        self._accepts = True
        while True:
            self._take(listener)
            accepted += 1
            if accepted % ACCEPT_AT_ONCE == 0:
                gevent.sleep(ACCEPT_PAUSE_S)

    def _take(self, listener: socket.socket) -> None:
        """The next connection that comes: taken as soon as there is room, or told that there is none.

        BlockingIOError where the listener does not wait and none has come. Nobody waits long: the one in
        front is told first, and where it came long ago those behind it have waited hardly less.
        """
        sock = next_connection(listener, self._cannot_accept)
        self._out = False
        self._seat(listener, sock)

    def _seat(self, listener: socket.socket, sock: socket.socket) -> None:
        """Serve a connection as soon as there is room, or tell it that there is none."""
        self._waiting[listener], since = sock, self.host.now()
        while len(self._clients) >= self.config.max_inbound:
            if self._make_room():
                continue
            waited = max(self.host.now() - since, tcpinfo.last_received_ms(sock))
            # Late in a drain it would be refused all the same: no place is waited for.
            if waited >= self._patience_ms() or self.drainer.state.reached(
                DrainStep.CLOSE_ALL, self.host.now()
            ):
                del self._waiting[listener]
                return self._overflow.refuse(sock, self.host.now())
            gevent.sleep(ROOM_S)
        del self._waiting[listener]
        self._admit(sock)

    def _patience_ms(self) -> float:
        shortest = min(cls.deadline_ms for cls in self.config.settings.classes)
        return min(PATIENCE_MS, PATIENCE_SHARE * shortest)

    def _cannot_accept(self, error: OSError) -> None:
        """Those waiting to be accepted wait on; the log must not be filled."""
        if error.errno in NO_ROOM:
            self._make_room()
        if not self._out:
            self._out = True
            log("accept_paused", why=str(error))

    def _admit(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            waited = tcpinfo.last_received_ms(sock)
        except OSError:  # its client has gone
            return sock.close()
        sock.settimeout(None)
        client = ClientConnection(self, sock)
        client.since -= waited  # in the kernel's queue: a silent one has had that time already
        self._clients.add(client)
        client.start_reading()

    def _stop_listening(self) -> None:
        """Accept nothing that comes from now on, but for what another process does not; never waits.

        An inherited listener from which this process has not begun to accept is another process's still.
        """
        if self._accepting is not None and self._listener is not None:
            takes_last = self._accepts and not self.drainer.state.has_successor()
            self._accepting.kill(block=False)
            self._leaving[self._listener] = gevent.spawn(
                self._let_go, self._listener, self._inherited, self._accepting, takes_last
            )
            self._accepting = None

    def _let_go(
        self,
        listener: socket.socket,
        inherited: bool,
        accepting: gevent.Greenlet[[socket.socket, bool], None],
        takes_last: bool,
    ) -> None:
        """Guards requests on connections that the kernel has accepted: a listener's end resets them."""
        try:
            accepting.join()
            waiting = self._waiting.get(listener)
            if waiting is not None:
                self._seat(listener, waiting)
            if not takes_last:
                return
            listener.settimeout(0.0)
            with suppress(BlockingIOError):
                while True:
                    self._take(listener)
            # One that was inherited stays as long as the process: closed here, the others' would still wake
            # this one's event loop for each connection.
            if not inherited:
                listener.close()
        finally:
            del self._leaving[listener]

    def _make_room(self) -> bool:
        """Close what has longest had nothing under way: first those that have their last answer.

        Then those that never asked anything, the oldest first. Where there are none, requests that are still
        half read are refused, which makes room soon.
        """
        # Not one just opened or just used: its next request is likely on its way. Nor one that has not taken
        # in its answer: what crosses the close would have the kernel reset the connection under that.
        now = self.host.now()
        settled = [c for c in self._clients if c.since < now - SETTLED_MS and (c.ending or c.idle())]
        settled.sort(key=lambda c: (not c.ending, not c.fresh, c.since))
        # The kernel is asked of few, and just before each is closed.
        leave = islice((c for c in settled if c.answered() and not c.has_unread()), ROOM_AT_ONCE)
        closed = 0
        for client in leave:
            client.close(CloseReason.ROOM)
            closed += 1
        if not closed:
            for client in [c for c in self._clients if c.since < now - HALF_MS]:
                client.refuse_half_read(self.config.settings.max_retry_after_ms)
        return closed > 0

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            try:
                self._overflow.sweep(self.host.now())
                self._close_overdue()
            except Exception as error:  # without this loop, silent connections would take all the room
                log_exception("sweep", error)

    def _close_overdue(self) -> None:
        """Close connections that stood idle too long, or whose request never became whole."""
        options, now = self.config.options, self.host.now()
        for client in [c for c in self._clients if c.stalled(now - options.stall_ms)]:
            log("client_stalled")
            client.close()
        # One that was told to go and neither goes nor sends anything: its reader would wait for ever.
        for client in [c for c in self._clients if c.ending and now - c.since > options.linger_ms]:
            client.close()
        for client in [c for c in self._clients if not (c.exchange or c.ending or c.reading_paused())]:
            used = client.idle() and not client.fresh
            limit = options.keep_alive_ms if used else options.head_timeout_ms
            # Never one of whose request more has come in, or its beginning: its reader runs next.
            if now - client.since > limit and not client.has_unread():
                client.overdue()
