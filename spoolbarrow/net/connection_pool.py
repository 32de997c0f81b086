"""Connections to endpoints: opened, kept while idle, and closed, within the machine's limit."""

from __future__ import annotations

from collections import deque
from select import POLLIN
from typing import Protocol

from gevent.socket import MSG_PEEK, socket

from spoolbarrow.config import Address, Config
from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.log import log
from spoolbarrow.net.observers import CloseReason, Observers, Side
from spoolbarrow.net.request_writing import close_and_discard

SETTLE_MS = 5.0  # a connection rests so long: a second answer straight after must not pass for the next
LONGEST_SETTLE_MS = 1000.0  # where an endpoint's unasked bytes came later, its connections rest longer
SETTLE_FACTOR = 4.0  # so many times as late as they came
SHORTAGE_LOG_INTERVAL_MS = 5000.0  # between lines of the log about a lack of connections
NO_INCARNATION = -1  # of a connection that leads to nothing that is listed: it is not kept


class Registry(Protocol):
    """What the pool asks of the list of endpoints."""

    def address(self, name: str) -> Address | None:
        """Where an endpoint listens."""

    def incarnation(self, name: str) -> int:
        """A number that is another one after each restart, move or return of the endpoint."""

    def serving(self, name: str) -> bool:
        """Whether the endpoint takes new work."""


class Observed(Protocol):
    """Who owns the clock and the observers."""

    observers: Observers

    def now(self) -> float:
        """The decisions' clock, ms."""


class Connection:
    """One connection to an endpoint; one request at a time goes over it."""

    def __init__(
        self, endpoint: str, address: Address, sock: socket, number: int, incarnation: int = 0
    ) -> None:
        self.endpoint, self.address, self.sock, self.number = endpoint, address, sock, number
        self.incarnation = incarnation  # of the endpoint that it leads to
        self.idle_since = 0.0

    def stale(self) -> bool:
        """Whether the other side closed it or said something unasked while it was idle."""
        return http1.poll_now(self.sock, POLLIN) != 0

    def unasked_ms(self, now: float) -> float:
        """How long after it became idle unasked bytes came, ms; 0 where none did."""
        try:
            spoke = bool(self.sock.recv(1, MSG_PEEK))  # else it is its end that was noticed
            return now - tcpinfo.last_received_ms(self.sock) - self.idle_since if spoke else 0.0
        except OSError:
            return 0.0


class ConnectionPool:
    """Connections to all endpoints, within the machine's limit."""

    def __init__(self, config: Config, destinations: Registry, host: Observed) -> None:
        self._destinations, self._host = destinations, host
        # By endpoint, not by address: another one may come to listen where one has gone.
        self._idle: dict[str, deque[Connection]] = {}
        self._settle: dict[str, float] = {}  # ms that connections rest, where it is not SETTLE_MS
        self._open_count = 0
        # For lack of connections, since the last line of the log about it: how many, why, and its time.
        self._unsent, self._short_of, self._logged_at = 0, "", -SHORTAGE_LOG_INTERVAL_MS
        self.apply(config)

    def apply(self, config: Config) -> None:
        """Go by a new configuration."""
        self._config = config
        # Guards against writing to a connection just as the endpoint closes it for idleness.
        self._idle_ms = config.endpoint_idle_ms - min(2000.0, 0.2 * config.endpoint_idle_ms)

    def acquire(self, endpoint: str) -> Connection:
        """An idle connection, else a new one; OSError where none comes up, Shortage where none can be had."""
        address, incarnation = self._destinations.address(endpoint), self._destinations.incarnation(endpoint)
        if address is None:
            raise OSError("no address")
        idle = self._idle.get(endpoint)
        settled = self._host.now() - self._settle.get(endpoint, SETTLE_MS)
        while idle and idle[0].idle_since <= settled:
            # The warmest that is settled: the others grow old and are dropped.
            place = max(n for n, connection in enumerate(idle) if connection.idle_since <= settled)
            connection = idle[place]
            del idle[place]
            if self._host.now() - connection.idle_since < self._idle_ms and not connection.stale():
                return connection
            self._learn_settle(connection)
            self.drop(connection)
        if self._open_count >= self._config.max_outbound and not self._make_room():
            raise self._short(http1.Shortage("all places for connections to endpoints are taken"))
        self._open_count += 1
        try:
            sock = http1.connect(address, self._config.connect_timeout_ms / 1000)
            number = self._host.observers.connection_opened(Side.ENDPOINT, sock, self._host.now(), endpoint)
            connection = Connection(endpoint, address, sock, number, incarnation)
        except BaseException as error:  # a cancelled attempt's GreenletExit too: the count must stay true
            self._open_count -= 1
            if isinstance(error, http1.Shortage):
                self._short(error)
            raise
        if self._destinations.incarnation(endpoint) == incarnation:
            return connection
        # Replaced while it came up: at the old address another one may listen by now.
        self.drop(connection)
        return self.acquire(endpoint)

    def _short(self, error: http1.Shortage) -> http1.Shortage:
        """Kept for the log: one line for many, since a shortage meets all that is sent."""
        self._unsent, self._short_of = self._unsent + 1, str(error)
        return error

    def adopt(self, endpoint: str, sock: socket) -> Connection:
        """A connection that another process of this router opened; OSError where it has ended."""
        address: Address = sock.getpeername()[:2]  # where the list has it now may be another process
        number = self._host.observers.connection_opened(Side.ENDPOINT, sock, self._host.now(), endpoint)
        self._open_count += 1
        listed = self._destinations.address(endpoint) == address
        incarnation = self._destinations.incarnation(endpoint) if listed else NO_INCARNATION
        return Connection(endpoint, address, sock, number, incarnation)

    def _learn_settle(self, connection: Connection) -> None:
        """Guards against a second answer that comes so late that it passes for the next request's."""
        late = SETTLE_FACTOR * connection.unasked_ms(self._host.now())
        settle = min(late, LONGEST_SETTLE_MS)
        if settle > self._settle.get(connection.endpoint, SETTLE_MS):
            self._settle[connection.endpoint] = settle
            log("unasked", endpoint=connection.endpoint, settle_ms=round(settle))

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for the next request, if its endpoint is still the one that it leads to."""
        endpoint = connection.endpoint
        current = self._destinations.incarnation(endpoint) == connection.incarnation
        if not (current and self._destinations.serving(endpoint)):
            return self.drop(connection)
        connection.sock.settimeout(None)
        connection.idle_since = self._host.now()
        self._idle.setdefault(endpoint, deque()).append(connection)

    def drop(self, connection: Connection, why: CloseReason = CloseReason.DONE) -> None:
        """Close a connection; of a request that was broken off nothing more leaves this machine."""
        self._open_count -= 1
        self._host.observers.connection_closing(connection.number, why)
        if why is CloseReason.BROKEN:
            close_and_discard(connection.sock)
        else:
            connection.sock.close()

    def forget(self, endpoint: str) -> None:
        """Drop the idle connections to an endpoint that is gone, drains, or is no longer what it was."""
        self._settle.pop(endpoint, None)
        for connection in self._idle.pop(endpoint, ()):
            self.drop(connection)

    def sweep(self) -> None:
        """Drop what has stood idle too long, and tell the log of a lack of connections."""
        oldest = self._host.now() - self._idle_ms
        for endpoint, idle in list(self._idle.items()):
            while idle and idle[0].idle_since <= oldest:
                self.drop(idle.popleft(), CloseReason.IDLE)
            if not idle:
                del self._idle[endpoint]
        if self._unsent and self._host.now() - self._logged_at >= SHORTAGE_LOG_INTERVAL_MS:
            log("no_room_for_attempts", unsent=self._unsent, why=self._short_of)
            self._unsent, self._logged_at = 0, self._host.now()

    def close(self) -> None:
        """Drop all idle connections."""
        for idle in self._idle.values():
            while idle:
                self.drop(idle.pop(), CloseReason.ENDED)

    def _make_room(self) -> bool:
        """Drop the connection that has stood idle longest."""
        waiting = [idle for idle in self._idle.values() if idle]
        if not waiting:
            return False
        self.drop(min(waiting, key=lambda idle: idle[0].idle_since).popleft(), CloseReason.ROOM)
        return True
