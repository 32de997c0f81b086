"""Sends the records of one collector from its queue to it, over UDP, TCP or TLS.

Owns the queue, the message stream and the socket of one collector; its own greenlet does everything that may
block. Records that a collector has not acknowledged when its connection breaks are sent again on the next
connection, as far as they are kept (`Unacknowledged`).
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

from spoolbarrow.flows.encode import IPFIX, NETFLOW_V9, ExportStream, Record
from spoolbarrow.flows.queue import RecordQueue
from spoolbarrow.net import tcpinfo
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.operator import Collector, FlowsTable

SIOCOUTQ = 0x5411  # linux/sockios.h: bytes of the send queue that the peer has not acknowledged
UDP_HEADER_BYTES = 28  # IPv4 and UDP headers
TCP_MESSAGE_BYTES = 16_384  # large enough to be efficient, small enough to arrive complete
SEND_BUFFER_BYTES = 65_536  # in the kernel: a collector that does not read must not hold more memory
MAX_MESSAGE_RECORDS = 256  # considered for one message
SHUTDOWN_RETRY_S = 0.05  # between connection attempts during shutdown
CERTIFICATE_REFUSAL_S = 0.25  # a TLS 1.3 server reports within this that it refuses the client certificate
UNACKNOWLEDGED_BYTES = 1 << 20  # kept for sending again; older records count as delivered
STATISTICS_MS = 10_000.0  # between records of the exporter's own statistics


def now_ms() -> float:
    """Unix time, ms."""
    return time.time() * 1000.0


class Backoff:
    """The delay before the next connection attempt: exponential backoff with jitter."""

    def __init__(self, min_ms: float, max_ms: float, random: random.Random) -> None:
        self._min_ms, self._max_ms, self._random = min_ms, max_ms, random
        self._failures = 0

    def failed(self) -> float:
        """Count a failure; returns the ms to wait, between half of the doubled step and the full step."""
        step = min(self._min_ms * 2.0 ** min(self._failures, 30), self._max_ms)
        self._failures += 1
        return step * self._random.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Reset the delay to its minimum."""
        self._failures = 0


class Unacknowledged:
    """Written messages, by their end positions in the byte stream, until the peer acknowledges them."""

    def __init__(self, max_bytes: int = UNACKNOWLEDGED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._messages: deque[tuple[int, list[Record]]] = deque()
        self._bytes = 0

    def wrote(self, end: int, records: list[Record]) -> None:
        """Add a message that ends at this position of the byte stream."""
        self._messages.append((end, records))
        self._bytes += sum(len(record.data) for record in records)
        while self._bytes > self._max_bytes:
            self._pop()

    def acknowledged(self, position: int) -> None:
        """Remove the messages that end at or before this position: the peer has them."""
        while self._messages and self._messages[0][0] <= position:
            self._pop()

    def take(self) -> list[Record]:
        """Remove and return all records that may not have arrived, in order."""
        records = [record for _, batch in self._messages for record in batch]
        self._messages.clear()
        self._bytes = 0
        return records

    def __len__(self) -> int:
        """The number of unacknowledged messages."""
        return len(self._messages)

    def _pop(self) -> None:
        self._bytes -= sum(len(record.data) for record in self._messages.popleft()[1])


def _await_certificate_refusal(sock: Any) -> None:
    """Raise ConnectionResetError if the collector refuses the client certificate.

    In TLS 1.3 the handshake ends on this side before the server has checked the certificate (RFC 8446,
    section 4.4.2.4); records written meanwhile are acknowledged by its kernel and lost. A collector sends
    no other data.
    """
    if sock.version() != "TLSv1.3":
        return
    sock.settimeout(CERTIFICATE_REFUSAL_S)
    try:
        data = sock.recv(1)
    except TimeoutError:
        return
    raise ConnectionResetError(
        "the collector ended the session" if not data else "the collector sent unexpected data"
    )


class Sink(Protocol):
    """The output of one collector's records."""

    queue: RecordQueue

    def wake(self) -> None:
        """Wake the greenlet: there may be records to send."""

    def healthy(self) -> bool:
        """Whether it accepts records now."""

    def apply(self, table: FlowsTable, tls: Any = None) -> None:
        """Apply new settings and the current certificates."""

    def close(self, within_s: float) -> None:
        """Send queued records, as far as possible within the time, then stop."""


class Sender:
    """Sends the records of one collector."""

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
        max_octets = table.mtu - UDP_HEADER_BYTES if udp else TCP_MESSAGE_BYTES
        version = IPFIX if table.format == "ipfix" else NETFLOW_V9
        self.stream = ExportStream(version, table.domain_id, table.enterprise, max_octets, origin)
        self._backoff = Backoff(table.retry_least_ms, table.retry_most_ms, random.Random())
        self._unacknowledged = Unacknowledged()
        self._sock: Any = None
        self._wake_event = Event()
        self._end_event = Event()
        self._certificates_changed = self._confirmed = False
        self._templates_at = self._statistics_at = 0.0
        self._greenlet = gevent.spawn(self._run)

    def wake(self) -> None:
        """Wake the greenlet: there may be records to send."""
        self._wake_event.set()

    def healthy(self) -> bool:
        """Whether its connection is up."""
        return self._sock is not None

    def apply(self, table: FlowsTable, tls: Any = None) -> None:
        """Apply new settings; certificates take effect with the next connection."""
        self._table = table
        if tls is not None:
            # The connection is closed once pending messages are written; the next one uses them.
            self._tls, self._certificates_changed = tls, True
            self.wake()
        self.queue.resize(table.queue_records, table.queue_bytes)
        self._backoff = Backoff(table.retry_least_ms, table.retry_most_ms, random.Random())

    def close(self, within_s: float) -> None:
        """Send queued records, as far as possible within the time, then stop."""
        self._end_event.set()
        self.wake()
        self._greenlet.join(within_s)
        self._greenlet.kill()
        self._disconnect()

    # The greenlet

    def _run(self) -> None:
        while not (self._end_event.is_set() and not len(self.queue)):
            try:
                if self._sock is None:
                    self._connect()
                self._export()
            except OSError as error:
                self._connection_failed(f"{type(error).__name__}: {error}")
            except Exception as error:
                log_exception("flows", error)
                self._connection_failed("unexpected")

    def _connection_failed(self, why: str) -> None:
        self._disconnect()
        wait = self._backoff.failed()
        waiting = len(self.queue)
        log("collector_lost", collector=str(self.collector), why=why, retry_ms=round(wait), waiting=waiting)
        if self._end_event.is_set():
            gevent.sleep(SHUTDOWN_RETRY_S)
        else:
            self._end_event.wait(wait / 1000)

    def _disconnect(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        self.queue.put_back(self._unacknowledged.take())

    def _connect(self) -> None:
        address, table = (self.collector.host, self.collector.port), self._table
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        datagrams = self.collector.kind == "udp"
        sock = socket.socket(family, socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM)
        try:
            sock.settimeout(table.connect_timeout_ms / 1000)
            sock.connect(address)
            if not datagrams:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.collector.kind == "tls":
                name = (table.tls.server_name if table.tls else "") or self.collector.host
                sock = self._tls.wrap_socket(sock, server_hostname=name)
                _await_certificate_refusal(sock)
            sock.settimeout(table.write_timeout_ms / 1000)
        except BaseException:
            sock.close()
            raise
        self._sock = sock
        if not datagrams:
            self.stream.restart()
        self._templates_at = self._statistics_at = 0.0
        self._confirmed = False
        waiting, dropped = len(self.queue), self.queue.dropped
        log("collector_up", collector=str(self.collector), waiting=waiting, dropped=dropped)

    def _export(self) -> None:
        """Send what is due and all queued records, then wait for more for at most the flush interval."""
        now, table = now_ms(), self._table
        datagrams = self.collector.kind == "udp"
        if not datagrams:
            self._check_collector()
        if not self._templates_at or (datagrams and now - self._templates_at >= table.template_refresh_ms):
            for message in self.stream.template_messages(now):
                self._write(message, [])
            self._send_options(self._options())
            self._templates_at = now
        if self.stream.version == IPFIX and now - self._statistics_at >= STATISTICS_MS:
            self._send_options([self._statistics(self.stream, self.queue)])
            self._statistics_at = now
        while records := self.queue.first(MAX_MESSAGE_RECORDS):
            message, taken = self.stream.data_message(records, now_ms())
            records_taken = self.queue.take(taken)
            if not message:
                self.queue.count_dropped(records_taken)
                continue
            try:
                self._write(message, records_taken)
            except BaseException:
                # Not written completely: a collector drops a truncated message.
                self.queue.put_back(records_taken)
                raise
            gevent.sleep(0)  # a long queue must not block other greenlets
        if self._certificates_changed and self.collector.kind == "tls":
            self._certificates_changed = False
            self._disconnect()
        if datagrams or self._confirmed:
            self._backoff.succeeded()
        if self._end_event.is_set():
            return
        self._wake_event.clear()
        self._wake_event.wait(table.flush_ms / 1000)
        if self._wake_event.is_set():
            self._end_event.wait(table.flush_ms / 1000)  # records that arrive soon share its message

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
        self._unacknowledged.wrote(self._stream_position(), records)

    def _stream_position(self) -> int:
        """The current position in the byte stream: bytes acknowledged, and bytes still in the kernel."""
        waiting: int = struct.unpack("i", fcntl.ioctl(self._sock.fileno(), SIOCOUTQ, b"\0" * 4))[0]
        return tcpinfo.acknowledged_bytes(self._sock) + waiting

    def _check_collector(self) -> None:
        """Raise if the collector closed its connection; otherwise only a later write would fail."""
        self._unacknowledged.acknowledged(tcpinfo.acknowledged_bytes(self._sock))
        # A collector that accepts and disconnects has received nothing: attempts continue to back off.
        self._confirmed = self._confirmed or (bool(self._templates_at) and not len(self._unacknowledged))
        if tcpinfo.peer_closed(self._sock):
            raise ConnectionResetError("the collector closed its connection")
