"""Pools connections to endpoints: opens, reuses and closes them, within the machine's limit."""

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

SETTLE_MS = 5.0  # wait before reuse: a second answer sent right after the first must not pass for the next
MAX_SETTLE_MS = 1000.0  # the wait is extended up to this for endpoints that sent unsolicited bytes later,
SETTLE_FACTOR = 4.0  # to this multiple of the delay with which they arrived
SHORTAGE_LOG_INTERVAL_MS = 5000.0  # between log lines about a shortage of connections
NO_INCARNATION = -1  # of a connection that does not lead to a listed endpoint: it is not kept


class EndpointRegistry(Protocol):
    """The list of endpoints as the pool uses it."""

    def address(self, name: str) -> Address | None:
        """Where an endpoint listens."""

    def incarnation(self, name: str) -> int:
        """A number that changes with each restart, move or return of the endpoint."""

    def serving(self, name: str) -> bool:
        """Whether the endpoint accepts new work."""


class PoolHost(Protocol):
    """The owner of the clock and the observers."""

    observers: Observers

    def now(self) -> float:
        """The decision module's clock, ms."""


class Connection:
    """A connection to an endpoint; it carries one request at a time."""

    def __init__(
        self, endpoint: str, address: Address, sock: socket, number: int, incarnation: int = 0
    ) -> None:
        self.endpoint, self.address, self.sock, self.number = endpoint, address, sock, number
        self.incarnation = incarnation  # of the connected endpoint
        self.idle_since = 0.0

    def stale(self) -> bool:
        """Whether the endpoint closed it or sent unsolicited bytes while it was idle."""
        return http1.poll_now(self.sock, POLLIN) != 0

    def unsolicited_after_ms(self, now: float) -> float:
        """How long after it became idle unsolicited bytes arrived, ms; 0 if there are none."""
        try:
            has_data = bool(self.sock.recv(1, MSG_PEEK))  # otherwise only its end was noticed
            return now - tcpinfo.last_received_ms(self.sock) - self.idle_since if has_data else 0.0
        except OSError:
            return 0.0


class ConnectionPool:
    """Connections to all endpoints, within the machine's limit."""

    def __init__(self, config: Config, destinations: EndpointRegistry, host: PoolHost) -> None:
        self._destinations, self._host = destinations, host
        # By endpoint, not by address: another endpoint may reuse the address of a removed one.
        self._idle: dict[str, deque[Connection]] = {}
        self._settle_ms: dict[str, float] = {}  # wait before reuse, ms, where not SETTLE_MS
        self._open_count = 0
        # Shortages since the last log line about them: number, last reason, and the time of that line.
        self._shortage_count, self._shortage_reason, self._logged_at = 0, "", -SHORTAGE_LOG_INTERVAL_MS
        self.apply(config)

    def apply(self, config: Config) -> None:
        """Apply a new configuration."""
        self._config = config
        # Shorter than the endpoint's own idle timeout, so that a request does not cross its close.
        self._idle_ms = config.endpoint_idle_ms - min(2000.0, 0.2 * config.endpoint_idle_ms)

    def acquire(self, endpoint: str) -> Connection:
        """An idle connection or a new one; OSError if connecting fails, Shortage if none can be opened."""
        address, incarnation = self._destinations.address(endpoint), self._destinations.incarnation(endpoint)
        if address is None:
            raise OSError("no address")
        idle = self._idle.get(endpoint)
        settled = self._host.now() - self._settle_ms.get(endpoint, SETTLE_MS)
        while idle and idle[0].idle_since <= settled:
            # The most recently used of the settled ones: the others age and are dropped.
            position = max(n for n, connection in enumerate(idle) if connection.idle_since <= settled)
            connection = idle[position]
            del idle[position]
            if self._host.now() - connection.idle_since < self._idle_ms and not connection.stale():
                return connection
            self._extend_settle(connection)
            self.drop(connection)
        if self._open_count >= self._config.max_outbound and not self._make_room():
            raise self._count_shortage(http1.Shortage("the limit of connections to endpoints is reached"))
        self._open_count += 1
        try:
            sock = http1.connect(address, self._config.connect_timeout_ms / 1000)
            number = self._host.observers.connection_opened(Side.ENDPOINT, sock, self._host.now(), endpoint)
            connection = Connection(endpoint, address, sock, number, incarnation)
        except BaseException as error:  # also GreenletExit of a cancelled attempt: the count must be right
            self._open_count -= 1
            if isinstance(error, http1.Shortage):
                self._count_shortage(error)
            raise
        if self._destinations.incarnation(endpoint) == incarnation:
            return connection
        # Replaced while connecting: another endpoint may listen at the old address by now.
        self.drop(connection)
        return self.acquire(endpoint)

    def _count_shortage(self, error: http1.Shortage) -> http1.Shortage:
        """Count a shortage for the log, which gets one line for many, as a shortage affects all attempts."""
        self._shortage_count, self._shortage_reason = self._shortage_count + 1, str(error)
        return error

    def adopt(self, endpoint: str, sock: socket) -> Connection:
        """Take over a connection opened by another process of this router; OSError if it has ended."""
        address: Address = sock.getpeername()[:2]  # the listed address may be another engine process by now
        number = self._host.observers.connection_opened(Side.ENDPOINT, sock, self._host.now(), endpoint)
        self._open_count += 1
        listed = self._destinations.address(endpoint) == address
        incarnation = self._destinations.incarnation(endpoint) if listed else NO_INCARNATION
        return Connection(endpoint, address, sock, number, incarnation)

    def _extend_settle(self, connection: Connection) -> None:
        """Wait longer before reuse if unsolicited bytes came late: they could pass for the next answer."""
        late = SETTLE_FACTOR * connection.unsolicited_after_ms(self._host.now())
        settle = min(late, MAX_SETTLE_MS)
        if settle > self._settle_ms.get(connection.endpoint, SETTLE_MS):
            self._settle_ms[connection.endpoint] = settle
            log("unasked", endpoint=connection.endpoint, settle_ms=round(settle))

    def release(self, connection: Connection) -> None:
        """Keep a connection for reuse if it still leads to the listed, serving endpoint."""
        endpoint = connection.endpoint
        current = self._destinations.incarnation(endpoint) == connection.incarnation
        if not (current and self._destinations.serving(endpoint)):
            return self.drop(connection)
        connection.sock.settimeout(None)
        connection.idle_since = self._host.now()
        self._idle.setdefault(endpoint, deque()).append(connection)

    def drop(self, connection: Connection, why: CloseReason = CloseReason.DONE) -> None:
        """Close a connection; with CloseReason.BROKEN, unsent bytes of its request are discarded."""
        self._open_count -= 1
        self._host.observers.connection_closing(connection.number, why)
        if why is CloseReason.BROKEN:
            close_and_discard(connection.sock)
        else:
            connection.sock.close()

    def forget(self, endpoint: str) -> None:
        """Drop the idle connections to an endpoint that was removed, drains or restarted."""
        self._settle_ms.pop(endpoint, None)
        for connection in self._idle.pop(endpoint, ()):
            self.drop(connection)

    def sweep(self) -> None:
        """Drop connections that were idle for too long, and log shortages of connections."""
        oldest = self._host.now() - self._idle_ms
        for endpoint, idle in list(self._idle.items()):
            while idle and idle[0].idle_since <= oldest:
                self.drop(idle.popleft(), CloseReason.IDLE)
            if not idle:
                del self._idle[endpoint]
        if self._shortage_count and self._host.now() - self._logged_at >= SHORTAGE_LOG_INTERVAL_MS:
            log("no_room_for_attempts", unsent=self._shortage_count, why=self._shortage_reason)
            self._shortage_count, self._logged_at = 0, self._host.now()

    def close(self) -> None:
        """Drop all idle connections."""
        for idle in self._idle.values():
            while idle:
                self.drop(idle.pop(), CloseReason.ENDED)

    def _make_room(self) -> bool:
        """Drop the connection that has been idle longest."""
        waiting = [idle for idle in self._idle.values() if idle]
        if not waiting:
            return False
        self.drop(min(waiting, key=lambda idle: idle[0].idle_since).popleft(), CloseReason.ROOM)
        return True
