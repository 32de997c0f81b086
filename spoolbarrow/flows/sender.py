"""One collector's connection: records from its queue to it, over UDP, TCP or TLS.

Owns the queue, the stream of messages and the socket of one collector; a greenlet of its own does all that
can wait. What a collector has not acknowledged when its connection breaks is sent again on the next one, as
far as it is kept (`Unacknowledged`).
"""

from __future__ import annotations

import fcntl
import random
import struct
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from gevent import socket
from gevent.event import Event

from spoolbarrow.flows.encode import IPFIX, V9, ExportStream, Record
from spoolbarrow.flows.queue import RecordQueue
from spoolbarrow.net import tcpinfo
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.operator import Collector, FlowsTable

SIOCOUTQ = 0x5411  # linux/sockios.h: bytes of the send queue that the peer has not acknowledged
UDP_OVERHEAD = 28  # octets of IPv4 and UDP headers beside a message
TCP_MESSAGE = 16_384  # octets of a message over TCP: large enough to be cheap, small enough to come whole
SEND_BUFFER = 65_536  # bytes in the kernel's hands: a collector that does not read must cost no more
RECORDS_AT_ONCE = 256  # looked at for one message
ENDING_RETRY_S = 0.05  # between attempts to reach a collector while the program ends
VERDICT_S = 0.25  # a TLS 1.3 server that refuses this side's certificate says so within this
UNACKNOWLEDGED_BYTES = 1 << 20  # kept for sending again; what is older counts as arrived
STATISTICS_MS = 10_000.0  # between records of the exporter's own statistics


def now_ms() -> float:
    """Unix time, ms."""
    return time.time() * 1000.0


class Backoff:
    """How long to wait before the next attempt to reach a collector: doubled each time, with jitter."""

    def __init__(self, least_ms: float, most_ms: float, random: random.Random) -> None:
        self._least, self._most, self._random = least_ms, most_ms, random
        self._failures = 0

    def failed(self) -> float:
        """One more failure: ms to wait, between half of the doubled step and the whole of it."""
        step = min(self._least * 2.0 ** min(self._failures, 30), self._most)
        self._failures += 1
        return step * self._random.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """The next failure begins at the least again."""
        self._failures = 0


class Unacknowledged:
    """Messages that were written, by where on the wire they end, until the peer acknowledges them."""

    def __init__(self, most_bytes: int = UNACKNOWLEDGED_BYTES) -> None:
        self._most = most_bytes
        self._sent: deque[tuple[int, list[Record]]] = deque()
        self._bytes = 0

    def wrote(self, end: int, records: list[Record]) -> None:
        """A message ends at this byte of the wire."""
        self._sent.append((end, records))
        self._bytes += sum(len(record.data) for record in records)
        while self._bytes > self._most:
            self._pop()

    def acknowledged(self, upto: int) -> None:
        """The peer has everything before this byte."""
        while self._sent and self._sent[0][0] <= upto:
            self._pop()

    def take(self) -> list[Record]:
        """Everything that may not have arrived, in order; nothing is kept of it."""
        records = [record for _, some in self._sent for record in some]
        self._sent.clear()
        self._bytes = 0
        return records

    def __len__(self) -> int:
        """Messages that wait to be acknowledged."""
        return len(self._sent)

    def _pop(self) -> None:
        self._bytes -= sum(len(record.data) for record in self._sent.popleft()[1])


def _await_verdict(sock: Any) -> None:
    """Guards against records to a collector that refuses this side's certificate.

    In TLS 1.3 the handshake is over here before the server has looked at it (RFC 8446, section 4.4.2.4), and
    what is written meanwhile is acknowledged by its kernel and lost. A collector never says anything else.
    """
    if sock.version() != "TLSv1.3":
        return
    sock.settimeout(VERDICT_S)
    try:
        said = sock.recv(1)
    except TimeoutError:
        return
    raise ConnectionResetError("the collector ended the session" if not said else "the collector speaks")


class Sink(Protocol):
    """Where records of one collector go."""

    queue: RecordQueue

    def wake(self) -> None:
        """There may be something to do."""

    def healthy(self) -> bool:
        """Whether it takes records now."""

    def apply(self, table: FlowsTable, tls: Any = None) -> None:
        """Go by other settings, and by certificates as they are now."""

    def close(self, within_s: float) -> None:
        """Send what waits, as far as it goes within the time; then end."""


class Sender:
    """Sends to one collector."""

    def __init__(
        self,
        collector: Collector,
        table: FlowsTable,
        options: Callable[[], list[Record]],
        statistics: Callable[[ExportStream, RecordQueue], Record],
        origin: float,
        tls: Any = None,
    ) -> None:
        self.collector, self._table, self._options = collector, table, options
        self._statistics, self._tls = statistics, tls
        self.queue = RecordQueue(table.queue_records, table.queue_bytes)
        udp = collector.kind == "udp"
        most = table.mtu - UDP_OVERHEAD if udp else TCP_MESSAGE
        version = IPFIX if table.format == "ipfix" else V9
        self.stream = ExportStream(version, table.domain_id, table.enterprise, most, origin)
        self._backoff = Backoff(table.retry_least_ms, table.retry_most_ms, random.Random())
        self._unacknowledged = Unacknowledged()
        self._sock: Any = None
        self._woken = Event()
        self._end = Event()
        self._renewing = self._proven = False
        self._templates_at = self._statistics_at = 0.0
        self._greenlet = gevent.spawn(self._run)

    def wake(self) -> None:
        """There may be something to do."""
        self._woken.set()

    def healthy(self) -> bool:
        """Whether its connection is up."""
        return self._sock is not None

    def apply(self, table: FlowsTable, tls: Any = None) -> None:
        """Go by other settings, and by certificates as they are now from the next connection on."""
        self._table = table
        if tls is not None:
            # The connection ends once what is under way is written, and the next one uses them.
            self._tls, self._renewing = tls, True
            self.wake()
        self.queue.resize(table.queue_records, table.queue_bytes)
        self._backoff = Backoff(table.retry_least_ms, table.retry_most_ms, random.Random())

    def close(self, within_s: float) -> None:
        """Send what waits, as far as it goes within the time; then end."""
        self._end.set()
        self.wake()
        self._greenlet.join(within_s)
        self._greenlet.kill()
        self._drop()

    # The greenlet

    def _run(self) -> None:
        while not (self._end.is_set() and not len(self.queue)):
            try:
                if self._sock is None:
                    self._connect()
                self._work()
            except OSError as error:
                self._broken(f"{type(error).__name__}: {error}")
            except Exception as error:
                log_exception("flows", error)
                self._broken("unexpected")

    def _broken(self, why: str) -> None:
        self._drop()
        wait = self._backoff.failed()
        waiting = len(self.queue)
        log("collector_lost", collector=str(self.collector), why=why, retry_ms=round(wait), waiting=waiting)
        if self._end.is_set():
            gevent.sleep(ENDING_RETRY_S)
        else:
            self._end.wait(wait / 1000)

    def _drop(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        self.queue.put_back(self._unacknowledged.take())

    def _connect(self) -> None:
        where, table = (self.collector.host, self.collector.port), self._table
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        datagrams = self.collector.kind == "udp"
        sock = socket.socket(family, socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM)
        try:
            sock.settimeout(table.connect_timeout_ms / 1000)
            sock.connect(where)
            if not datagrams:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.collector.kind == "tls":
                name = (table.tls.server_name if table.tls else "") or self.collector.host
                sock = self._tls.wrap_socket(sock, server_hostname=name)
                _await_verdict(sock)
            sock.settimeout(table.write_timeout_ms / 1000)
        except BaseException:
            sock.close()
            raise
        self._sock = sock
        if not datagrams:
            self.stream.restart()
        self._templates_at = self._statistics_at = 0.0
        self._proven = False
        waiting, dropped = len(self.queue), self.queue.dropped
        log("collector_up", collector=str(self.collector), waiting=waiting, dropped=dropped)

    def _work(self) -> None:
        """What is to be sent now; then wait for more, at most till something else is due."""
        now, table = now_ms(), self._table
        datagrams = self.collector.kind == "udp"
        if not datagrams:
            self._look()
        if not self._templates_at or (datagrams and now - self._templates_at >= table.template_refresh_ms):
            for message in self.stream.template_messages(now):
                self._write(message, [])
            self._send_options(self._options())
            self._templates_at = now
        if self.stream.version == IPFIX and now - self._statistics_at >= STATISTICS_MS:
            self._send_options([self._statistics(self.stream, self.queue)])
            self._statistics_at = now
        while records := self.queue.first(RECORDS_AT_ONCE):
            message, taken = self.stream.data_message(records, now_ms())
            sent = self.queue.take(taken)
            if not message:
                self.queue.lose(sent)
                continue
            try:
                self._write(message, sent)
            except BaseException:
                # Not written, or not wholly: a collector drops a message that is cut short.
                self.queue.put_back(sent)
                raise
            gevent.sleep(0)  # the others' turn: a long queue must not take the loop for itself
        if self._renewing and self.collector.kind == "tls":
            self._renewing = False
            self._drop()
        if datagrams or self._proven:
            self._backoff.succeeded()
        if self._end.is_set():
            return
        self._woken.clear()
        self._woken.wait(table.flush_ms / 1000)
        if self._woken.is_set():
            self._end.wait(table.flush_ms / 1000)  # what comes soon goes with it

    def _send_options(self, records: list[Record]) -> None:
        while records:
            message, taken = self.stream.data_message(records, now_ms())
            self._write(message, [])
            records = records[taken:]

    def _write(self, message: bytes, records: list[Record]) -> None:
        if self.collector.kind == "udp":
            self._sock.send(message)
            return
        self._sock.sendall(message)
        self._unacknowledged.wrote(self._written(), records)

    def _written(self) -> int:
        """Bytes of the wire written so far: acknowledged, and still in the kernel's hands."""
        waiting: int = struct.unpack("i", fcntl.ioctl(self._sock.fileno(), SIOCOUTQ, b"\0" * 4))[0]
        return tcpinfo.acknowledged_bytes(self._sock) + waiting

    def _look(self) -> None:
        """Guards against writing to a collector that has gone: nothing else tells of its end before that."""
        self._unacknowledged.acknowledged(tcpinfo.acknowledged_bytes(self._sock))
        # One that accepts and hangs up has taken nothing: the attempts to reach it go on backing off.
        self._proven = self._proven or (bool(self._templates_at) and not len(self._unacknowledged))
        if tcpinfo.peer_closed(self._sock):
            raise ConnectionResetError("the collector closed its connection")
