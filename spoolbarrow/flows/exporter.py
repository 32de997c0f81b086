"""Exporting process: meters connections and requests, and queues flow records for the collectors.

Owns the meter, the numbers and names of engines, and the sinks. No observer method blocks: each encodes a few
records and puts them into bounded queues; the sinks' greenlets handle sockets and files.
"""

from __future__ import annotations

import os
import ssl
from collections.abc import Callable
from functools import partial
from importlib.util import find_spec
from typing import Any

import gevent

from spoolbarrow import interface as i
from spoolbarrow.config import CannotWrite, Config, ConfigError, NeedsPackage
from spoolbarrow.flows import encode, meter
from spoolbarrow.flows.elements import (
    CONNECTION_TEMPLATE,
    HASH_FILTERING,
    NAMED_KINDS,
    OUTCOMES,
    REQUEST_TEMPLATE,
    V9_CONNECTION_TEMPLATE,
)
from spoolbarrow.flows.encode import ExportStream, Record, RecordWriter, ipv4, uptime_ms
from spoolbarrow.flows.queue import RecordQueue
from spoolbarrow.flows.sender import Sender, Sink, now_ms
from spoolbarrow.net import tcpinfo
from spoolbarrow.net.host import Host
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.observers import CloseReason, Observer, OpenConnection, Side
from spoolbarrow.net.request import Request
from spoolbarrow.operator import FlowsTable, parse_collectors

POLL_INTERVAL_S = 0.1  # between checks for connections that are due
POLLS_PER_YIELD = 64  # connections read before other greenlets run
CLOSE_TIMEOUT_S = 0.3  # for each sink at shutdown: SIGKILL may follow soon after the drain
MAX_ENGINES = 4096  # engine names kept for later records
TCP_PROTOCOL = 6  # protocolIdentifier
CounterCallback = Callable[[int, tcpinfo.Counters, float], meter.ConnectionFlow | None]
_REASONS = {CloseReason.ENDED: meter.FORCED}


class BadCertificate(ConfigError):
    """A certificate or key for flow collectors can't be used."""

    remedy = "Set the key to a PEM file that this user can read; the certificate and the key must be a pair."


class Prepared:
    """Settings that were checked as far as possible before use, so that `apply` can't fail on them."""

    def __init__(self, table: FlowsTable) -> None:
        self.table = table
        self.collectors = parse_collectors(table)
        self.tls = _tls(table) if any(c.kind == "tls" for c in self.collectors) else None
        for collector in self.collectors:
            if collector.kind == "file" and not os.access(collector.directory, os.W_OK | os.X_OK):
                raise CannotWrite(f"flows.collectors: {collector}: no directory that can be written")
            if collector.kind == "file" and find_spec("zstandard") is None:
                raise NeedsPackage(f"flows.collectors: {collector}: needs the package zstandard")


def _tls(table: FlowsTable) -> ssl.SSLContext:
    """The client TLS context, which checks both sides' certificates; ConfigError names an unusable file."""
    from gevent import ssl as gevent_ssl

    tls = table.tls
    assert tls is not None, "parse_collectors() checks it"
    context: ssl.SSLContext = gevent_ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(tls.ca)
    except (OSError, ssl.SSLError) as error:
        raise BadCertificate(f"flows.tls.ca: {tls.ca}: {error}") from error
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as error:
        raise BadCertificate(f"flows.tls.certificate: {tls.certificate}, {tls.key}: {error}") from error
    return context


class EngineNumbers:
    """Numbers of engines, exported with their names; the least recently used engines are forgotten."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._next = 1

    def number(self, name: str) -> tuple[int, bool]:
        """An engine's number, 0 for no engine, and whether it is new. Numbers are never reused."""
        if not name:
            return 0, False
        if (number := self._numbers.pop(name, 0)) != 0:
            self._numbers[name] = number  # moved to the end: most recently used
            return number, False
        if len(self._numbers) >= MAX_ENGINES:
            self._numbers.pop(next(iter(self._numbers)))
        self._numbers[name] = self._next
        self._next += 1
        return self._next - 1, True

    def all(self) -> dict[str, int]:
        """All known engines, with their numbers."""
        return dict(self._numbers)


class Exporter(Observer):
    """Flow export of one router."""

    def __init__(self, host: Host, prepared: Prepared) -> None:
        self._host, self._table = host, prepared.table
        self._origin = now_ms()
        self._meter = meter.Meter(
            prepared.table.active_timeout_ms, prepared.table.idle_timeout_ms, prepared.table.sample_share
        )
        self._sockets: dict[int, Any] = {}
        self._response_octets: dict[str, int] = {}  # octets forwarded, by request
        self._engines = EngineNumbers()
        self._sinks: dict[str, Sink] = {}
        self._connection_writer, self._request_writer = (
            RecordWriter(CONNECTION_TEMPLATE),
            RecordWriter(REQUEST_TEMPLATE),
        )
        self._v9_writer = RecordWriter(V9_CONNECTION_TEMPLATE)
        self.faults = 0  # connections whose counters could not be read
        self.apply(prepared)
        host.observers.add(self)
        self._poll_greenlet = gevent.spawn(self._poll_connections)

    def apply(self, prepared: Prepared) -> None:
        """Apply new settings; collectors that stay keep their queue, session and sequence numbers."""
        old, table = self._table, prepared.table
        self._table = table
        self._meter.configure(table.active_timeout_ms, table.idle_timeout_ms, table.sample_share)
        wanted = {str(collector): collector for collector in prepared.collectors}
        stream_changed = (old.format, old.domain_id, old.enterprise, old.mtu) != (
            table.format,
            table.domain_id,
            table.enterprise,
            table.mtu,
        )
        for name in list(self._sinks):
            if stream_changed or name not in wanted:
                gevent.spawn(self._sinks.pop(name).close, CLOSE_TIMEOUT_S)
        for name, collector in wanted.items():
            if (sink := self._sinks.get(name)) is not None:
                sink.apply(table, prepared.tls)
            elif collector.kind == "file":
                from spoolbarrow.flows.files import FileSink

                self._sinks[name] = FileSink(collector, table, self._options, self._statistics, self._origin)
            else:
                self._sinks[name] = Sender(
                    collector, table, self._options, self._statistics, self._origin, prepared.tls
                )
        self._sinks = {name: self._sinks[name] for name in wanted}  # `first` uses this order

    def close(self) -> None:
        """Export what is unreported, send as much as possible within the time, then stop."""
        self._host.observers.remove(self)
        self._poll_greenlet.kill()
        now = now_ms()
        for number in self._meter.numbers():
            self._read_counters(number, self._meter.flush, now)
        gevent.joinall([gevent.spawn(sink.close, CLOSE_TIMEOUT_S) for sink in self._sinks.values()])
        for name, sink in self._sinks.items():
            log("collector_closed", collector=name, waiting=len(sink.queue), dropped=sink.queue.dropped)
        self._sinks.clear()

    # Observer methods

    def connection_opened(self, opened: OpenConnection) -> None:
        """Start metering the connection."""
        number = opened.number
        outbound = opened.side is Side.ENDPOINT
        if self._meter.opened(number, opened.local, opened.peer, outbound, opened.endpoint, opened.opened_at):
            self._sockets[number] = opened.sock

    def connection_closing(self, number: int, why: CloseReason) -> None:
        """Export the connection's last record."""
        reason = _REASONS.get(why, meter.ENDED)
        self._read_counters(number, partial(self._meter.closing, reason=reason), now_ms())
        self._sockets.pop(number, None)

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """Start counting the response's octets if the request is in the sample."""
        if self._meter.samples_request(facts.session, int(request.key)):
            self._response_octets[request.key] = 0

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """Count the response's octets."""
        if request.key in self._response_octets:
            self._response_octets[request.key] += sum(map(len, parts))

    def request_over(self, request: Request, now: float) -> None:
        """Export the request's record."""
        octets = self._response_octets.pop(request.key, None)
        if octets is None or self._table.format != "ipfix":
            return
        last = request.serving_attempt or (request.attempts[-1] if request.attempts else None)
        start, first = request.taken_at, request.serving_attempt.first_at if request.serving_attempt else 0.0
        engine = self._engine_number(last.endpoint if last else "")
        self._enqueue(
            self._request_writer.record(
                round(start),
                round(now),
                request.connection,
                int(request.key),
                request.cls,
                request.tenant,
                engine,
                last.connection if last else 0,
                min(len(request.attempts), 255),
                OUTCOMES.index(request.answer_kind),
                meter.request_ms(start, first),
                meter.request_ms(start, now),
                octets,
            )
        )

    # Polling connections

    def _poll_connections(self) -> None:
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            try:
                now = now_ms()
                for count, number in enumerate(self._meter.due(now)):
                    self._read_counters(number, self._meter.poll, now)
                    if count % POLLS_PER_YIELD == POLLS_PER_YIELD - 1:
                        gevent.sleep(0)
            except Exception as error:
                log_exception("flows", error)

    def _read_counters(self, number: int, callback: CounterCallback, now: float) -> None:
        sock = self._sockets.get(number)
        if sock is None:
            return
        try:
            counters = tcpinfo.counters(sock)
        except OSError:
            self.faults += 1  # already closed: traffic since the last poll is unknown
            return
        flow = callback(number, counters, now)
        if flow is not None:
            self._export_flow(flow)

    def _export_flow(self, flow: meter.ConnectionFlow) -> None:
        forward, backward = flow.forward, flow.backward
        packets, octets = forward.packets + backward.packets, forward.octets + backward.octets
        endpoints = (
            ipv4(flow.source[0]),
            ipv4(flow.target[0]),
            flow.source[1],
            flow.target[1],
            TCP_PROTOCOL,
        )
        if self._table.format == "ipfix":
            record = self._connection_writer.record(
                round(flow.start),
                round(flow.end),
                flow.number,
                *endpoints,
                *forward,
                *backward,
                1,
                flow.reason,
                int(flow.outbound),
                self._engine_number(flow.engine),
                flow.resent_segments,
                flow.rtt_us,
                packets=packets,
                octets=octets,
            )
        else:
            record = self._v9_writer.record(
                uptime_ms(flow.start, self._origin),
                uptime_ms(flow.end, self._origin),
                flow.number,
                *endpoints,
                forward.octets,
                forward.packets,
                backward.octets,
                backward.packets,
                flow.reason,
                packets=packets,
                octets=octets,
            )
        self._enqueue(record)

    def _engine_number(self, name: str) -> int:
        number, new = self._engines.number(name)
        if new and self._table.format == "ipfix":
            self._enqueue(encode.name_writer.record(NAMED_KINDS.index("engine"), number, name))
        return number

    def _enqueue(self, record: Record) -> None:
        """Queue a record for all collectors, or for the first that accepts records now."""
        sinks = list(self._sinks.values())
        if self._table.send_to == "first" and sinks:
            sinks = [next((sink for sink in sinks if sink.healthy()), sinks[0])]
        for sink in sinks:
            sink.queue.add(record)
            sink.wake()

    # Options data

    def _options(self) -> list[Record]:
        if self._table.format != "ipfix":
            return []
        config: Config = self._host.config
        records = encode.type_records(self._table.enterprise)
        named = {"class": config.classes, "tenant": config.tenants, "engine": self._engines.all()}
        for kind, names in named.items():
            records += [
                encode.name_writer.record(NAMED_KINDS.index(kind), number, name)
                for name, number in names.items()
            ]
        share = self._table.sample_share
        records.append(encode.sampling_writer.record(self._table.domain_id, HASH_FILTERING, share))
        return records

    def _statistics(self, stream: ExportStream, queue: RecordQueue) -> Record:
        return encode.statistics_writer.record(
            os.getpid(),
            stream.messages,
            stream.records,
            stream.octets,
            queue.dropped,
            queue.dropped_packets,
            queue.dropped_octets,
        )
