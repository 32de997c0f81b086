"""The client listener: accepts connections, limits their number, closes idle ones and drains them."""

from __future__ import annotations

from collections.abc import Callable, Collection
from contextlib import suppress
from itertools import islice

import gevent
from gevent import socket

from spoolbarrow.config import Config
from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.accepting import RESOURCE_ERRNOS, next_connection
from spoolbarrow.net.client import ClientConnection, Exchange
from spoolbarrow.net.drain_schedule import DrainCause, DrainStep, operator_schedule, shutdown_schedule
from spoolbarrow.net.drainer import Drainer
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.memory_account import (
    READING_SHARE,
    REQUEST_BYTES,
    MemoryAccount,
)
from spoolbarrow.net.observers import CloseReason
from spoolbarrow.net.overflow import Overflow

RECV_BYTES = 65536  # one buffer serves all connections: data is parsed before another greenlet runs
BACKLOG = 4096  # pending connections in the kernel, which may apply a lower limit
SETTLED_MS = 100.0  # minimum idle time before a connection may be closed to make room for a new one
HALF_READ_MS = 500.0  # minimum age of a half-read request before it is refused to make room
ROOM_WAIT_MS = 2000.0  # a new connection that waited this long for room is answered 503,
ROOM_WAIT_SHARE = 0.5  # or after this share of the shortest deadline, as its client waits no longer
ROOM_POLL_S = 0.02  # between checks for room
CLOSE_BATCH = 16  # connections closed at a time to make room
ACCEPT_BATCH, ACCEPT_PAUSE_S = 8, 0.002  # a pause after each batch, so that a burst does not block serving
SWEEP_INTERVAL_S = 0.2
DRAIN_POLL_S = 0.02  # between checks whether all clients of an ending process have disconnected
READY_POLL_S = 0.01  # between checks whether this process can serve yet


class Inbound:
    """The client listener and its connections."""

    def __init__(self, config: Config, host: Host) -> None:
        self.config, self.host = config, host
        self.drainer = Drainer(self)
        self.held_bytes = 0  # request bodies in memory
        self.memory = MemoryAccount(config)
        self.buffer = bytearray(RECV_BYTES)
        self._clients: set[ClientConnection] = set()
        self._overflow = Overflow()
        self._waiting: dict[socket.socket, socket.socket] = {}  # by listener: accepted, waits for room
        self._out_of_descriptors = False  # the last accept failed
        self._listener: socket.socket | None = None
        self._inherited = False  # other processes accept from the same listener
        self._accepts = False  # this process accepts, or will even if it can't serve
        self._accepting: gevent.Greenlet[[socket.socket, bool], None] | None = None
        # By listener that is being closed: greenlets that accept the remaining connections.
        self._closing_listeners: dict[socket.socket, gevent.Greenlet[..., None]] = {}
        self._sweeper: gevent.Greenlet[[], None] | None = None

    def start(self, inherited: socket.socket | None = None, alone: bool = True) -> None:
        """Listen, or accept from an inherited listener; OSError if the address is unavailable.

        If another process accepts from it too (`alone` is false), this one starts once it can serve.
        """
        if inherited is None:
            self._listen(self.config)
        else:
            self._listener, self._inherited, self._accepts = inherited, True, alone
            self._accepting = gevent.spawn(self._accept, inherited, alone)
        self._sweeper = gevent.spawn(self._sweep)

    def apply(self, config: Config) -> None:
        """Apply a new configuration; OSError, with nothing changed, if its address is unavailable."""
        if config.listen != self.config.listen:
            self._listen(config)
        self.share_limits(config)

    def share_limits(self, config: Config) -> None:
        """Apply this process's share of the limits, which may change while it serves."""
        self.config = config
        self.memory.apply(config)

    def _listen(self, config: Config) -> None:
        listener = http1.listen(config.listen, BACKLOG)
        self._stop_listening()
        self._listener, self._inherited, self._accepts = listener, False, True
        self._accepting = gevent.spawn(self._accept, listener, True)

    def ready(self) -> bool:
        """Whether new clients should be sent to this router."""
        drains = self.drainer.state
        ending = drains.process_ending() and not drains.has_successor()
        return (
            self.host.is_deciding()
            and not (ending or drains.by_operator())
            and self.host.destinations.any_serving()
        )

    def operator_drained(self) -> bool:
        """Whether an operator has drained this router."""
        return self.drainer.state.by_operator()

    def can_serve(self) -> bool:
        """Whether this process could serve, operator overrides on it or its endpoints aside."""
        return not self.drainer.state.process_ending() and self.host.destinations.any_listed_serving()

    def begin_operator_drain(self, passed_ms: float = 0.0) -> None:
        """Drain on an operator's command, given `passed_ms` ago, until `activate`.

        The load balancer in front is informed, and connections are closed after their responses. Accepted
        requests are answered and long streams continue. The process goes on; `drain` is for its end.
        """
        self.drainer.begin(DrainCause.OPERATOR, operator_schedule(self.config), passed_ms)

    def activate(self) -> None:
        """End an operator's drain: accept clients again."""
        self.drainer.cancel(DrainCause.OPERATOR)

    def drain(self, pass_on: Callable[[ClientConnection], bool] | None = None) -> None:
        """Drain for the end of the process: answer requests until the grace period is over, then close.

        During a rolling restart of the routers clients may have no other router, so existing connections may
        be used for a while after new ones go elsewhere. Not if clients can't resume a stream that SIGKILL
        breaks: then requests are refused from that point.
        A stream that outlasts the grace period would break at SIGKILL, when the next router may be draining
        too; its client is disconnected earlier, while another router can resume the stream. For the same
        reason no request is left unanswered. If streams can't be resumed, they run while the client reads.
        If another process accepts from the same socket, nothing more is accepted here, and `pass_on` hands
        idle connections to that process; those that it rejects are closed as usual.
        """
        has_successor = pass_on is not None
        times = shutdown_schedule(self.config, has_successor)
        self.drainer.begin(DrainCause.SUCCESSOR if has_successor else DrainCause.SIGTERM, times)
        gevent.sleep(times.accept_ms / 1000)
        self._stop_listening()
        handover = None if pass_on is None else gevent.spawn(self._hand_over_idle, pass_on)
        while self._clients or self._closing_listeners:
            gevent.sleep(DRAIN_POLL_S)
        if handover is not None:
            handover.kill()

    def _hand_over_idle(self, pass_on: Callable[[ClientConnection], bool]) -> None:
        """Hand over idle connections until one is rejected.

        Apart from the drain's loop, whose timing must not depend on an unresponsive process.
        """
        try:
            while all(
                pass_on(client) for client in list(self._clients) if client.idle() and not client.lingering
            ):
                gevent.sleep(DRAIN_POLL_S)
        finally:
            self.drainer.stop_idle_handover()

    def close(self) -> None:
        """Close all listeners and connections immediately."""
        self.drainer.close()
        running = (self._accepting, self._sweeper)
        listeners = [*self._closing_listeners, *([self._listener] if self._listener is not None else [])]
        gevent.killall([*(each for each in running if each is not None), *self._closing_listeners.values()])
        for sock in (*listeners, *self._waiting.values()):
            sock.close()
        self._overflow.close()
        for client in list(self._clients):
            client.close(CloseReason.ENDED)

    def adopt_idle(self, sock: socket.socket) -> ClientConnection:
        """Adopt an idle connection from another process of this router; does not read from it yet."""
        client = ClientConnection(self, sock)
        client.is_new = False
        self._clients.add(client)
        return client

    def adopt_stream(self, sock: socket.socket, chunks: bool, closing: bool) -> Exchange:
        """Adopt a connection on which another process of this router began a response; no read yet."""
        client = self.adopt_idle(sock)
        client.exchange = Exchange(client, Message(accepts_chunked=chunks, keep_alive=not closing))
        client.exchange.mark_begun()
        return client.exchange

    def clients(self) -> Collection[ClientConnection]:
        """The open client connections."""
        return self._clients

    def connection_closed(self, client: ClientConnection) -> None:
        """Forget a closed client connection."""
        self._clients.discard(client)

    def _accept(self, listener: socket.socket, at_once: bool) -> None:
        accepted = 0
        while not (at_once or self.can_serve()):
            gevent.sleep(READY_POLL_S)
        self._accepts = True
        while True:
            self._accept_next(listener)
            accepted += 1
            if accepted % ACCEPT_BATCH == 0:
                gevent.sleep(ACCEPT_PAUSE_S)

    def _accept_next(self, listener: socket.socket) -> None:
        """Accept the next connection and serve it once there is room, or answer 503.

        BlockingIOError if the listener is non-blocking and none is pending. Connections are handled in order:
        if the first one has waited too long, those behind it have waited nearly as long.
        """
        sock = next_connection(listener, self._accept_failed)
        self._out_of_descriptors = False
        self._serve_when_room(listener, sock)

    def _serve_when_room(self, listener: socket.socket, sock: socket.socket) -> None:
        """Serve a connection as soon as there is room, or answer 503."""
        self._waiting[listener], since = sock, self.host.now()
        while not self._has_room():
            if self._make_room():
                continue
            waited = max(self.host.now() - since, tcpinfo.last_received_ms(sock))
            # Late in a drain it would be refused anyway, so it does not wait.
            if waited >= self._room_wait_ms() or self.drainer.state.reached(
                DrainStep.CLOSE_ALL, self.host.now()
            ):
                del self._waiting[listener]
                return self._overflow.refuse(sock, self.host.now())
            gevent.sleep(ROOM_POLL_S)
        del self._waiting[listener]
        self._admit(sock)

    def _has_room(self) -> bool:
        """Whether another connection can be served."""
        self.memory.check_limit(self.host.now())
        count = len(self._clients)
        return count < self.config.max_inbound and self.memory.may_connect(count + 1)

    def make_room_to_read(self) -> bool:
        """Whether requests may be read further: bodies and memory are within their bounds."""
        self.memory.check_limit(self.host.now())
        if self.held_bytes > self.config.max_held_bytes:
            return False
        return self.memory.fits(0, READING_SHARE) or (
            self._make_room() and self.memory.fits(0, READING_SHARE)
        )

    def has_room_for_request(self) -> bool:
        """Whether another request can be in flight; closes idle connections for it first."""
        self.memory.check_limit(self.host.now())
        within = self.held_bytes <= self.config.max_held_bytes
        while within and not self.memory.fits(REQUEST_BYTES):
            if not self._make_room():
                return False
        return within

    def _room_wait_ms(self) -> float:
        shortest = min(cls.deadline_ms for cls in self.config.settings.classes)
        return min(ROOM_WAIT_MS, ROOM_WAIT_SHARE * shortest)

    def _accept_failed(self, error: OSError) -> None:
        """Make room if resources ran out; logs only the first of several failures in a row."""
        if error.errno in RESOURCE_ERRNOS:
            self._make_room()
        if not self._out_of_descriptors:
            self._out_of_descriptors = True
            log("accept_paused", why=str(error))

    def _admit(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            waited = tcpinfo.last_received_ms(sock)
        except OSError:  # the client has disconnected
            return sock.close()
        sock.settimeout(None)
        client = ClientConnection(self, sock)
        client.since -= waited  # time spent in the kernel's queue counts towards the idle time
        self._clients.add(client)
        client.start_reading()

    def _stop_listening(self) -> None:
        """Stop accepting, except for connections that no other process accepts; never blocks.

        An inherited listener from which this process never accepted is left to the other process.
        """
        if self._accepting is not None and self._listener is not None:
            takes_last = self._accepts and not self.drainer.state.has_successor()
            self._accepting.kill(block=False)
            self._closing_listeners[self._listener] = gevent.spawn(
                self._close_listener, self._listener, self._inherited, self._accepting, takes_last
            )
            self._accepting = None

    def _close_listener(
        self,
        listener: socket.socket,
        inherited: bool,
        accepting: gevent.Greenlet[[socket.socket, bool], None],
        takes_last: bool,
    ) -> None:
        """Close a listener after serving the connections in its queue, which closing it would reset."""
        try:
            accepting.join()
            waiting = self._waiting.get(listener)
            if waiting is not None:
                self._serve_when_room(listener, waiting)
            if not takes_last:
                return
            listener.settimeout(0.0)
            with suppress(BlockingIOError):
                while True:
                    self._accept_next(listener)
            # An inherited listener stays open: after a close here, the other processes' descriptor would
            # still wake this event loop for each connection.
            if not inherited:
                listener.close()
        finally:
            del self._closing_listeners[listener]

    def _make_room(self) -> bool:
        """Close connections without a request: lingering ones first, then unused ones, oldest first.

        If there are none, requests that are still half read are refused, which makes room soon.
        """
        # Not connections just opened or used, whose next request is likely on its way; nor those with
        # unacknowledged data, which a reset discards if a request crosses the close.
        now = self.host.now()
        settled = [c for c in self._clients if c.since < now - SETTLED_MS and (c.lingering or c.idle())]
        settled.sort(key=lambda c: (not c.lingering, not c.is_new, c.since))
        # Lazy: the sockets' state is checked for few connections, each just before its close.
        closable = islice((c for c in settled if c.all_acknowledged() and not c.has_unread()), CLOSE_BATCH)
        closed = 0
        for client in closable:
            client.close(CloseReason.ROOM)
            closed += 1
        if not closed:
            for client in [c for c in self._clients if c.since < now - HALF_READ_MS]:
                client.refuse_half_read(self.config.settings.max_retry_after_ms)
        return closed > 0

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            try:
                self._overflow.sweep(self.host.now())
                self._close_overdue()
                self._check_memory()
            except Exception as error:  # the loop must go on, or idle connections would take all room
                log_exception("sweep", error)

    def _check_memory(self) -> None:
        """Collect what was released, and hold no more than now if the limit is near."""
        self.memory.collect_and_trim()
        if not self.memory.check_limit(self.host.now()):
            self.memory.recover()
        if not self._has_room():
            self._make_room()

    def _close_overdue(self) -> None:
        """Close connections that were idle or stalled too long, or whose request stayed incomplete."""
        options, now = self.config.options, self.host.now()
        for client in [c for c in self._clients if c.write_stalled(now - options.stall_ms)]:
            log("client_stalled")
            client.close()
        # A lingering client that neither closes nor sends: its reader would wait forever.
        for client in [c for c in self._clients if c.lingering and now - c.since > options.linger_ms]:
            client.close()
        for client in [c for c in self._clients if not (c.exchange or c.lingering or c.reading_paused())]:
            used = client.idle() and not client.is_new
            limit = options.keep_alive_ms if used else options.head_timeout_ms
            # Not if unread data has arrived: the reader runs next.
            if now - client.since > limit and not client.has_unread():
                client.time_out()
