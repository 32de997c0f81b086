"""The exporting process: hears what happens by taps, has it metered, and hands records to the collectors.

Owns the meter, the names told to collectors, and the sinks. Nothing here waits while serving: hooks encode a
record or two and put them into bounded queues; sockets and files are the sinks' own greenlets' business.
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
    NAMED,
    OUTCOMES,
    REQUEST_TEMPLATE,
    V9_CONNECTION,
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

LOOK_S = 0.1  # between looks at which connections' time-outs have passed
LOOKS_AT_ONCE = 64  # connections read before the others get a turn
CLOSE_S = 0.3  # at the end, collectors are waited for so long: SIGKILL may follow the drain closely
MOST_ENGINES = 4096  # names of engines kept for records still to come
TCP = 6  # protocolIdentifier
Tell = Callable[[int, tcpinfo.Counters, float], meter.ConnectionFlow | None]
_REASONS = {CloseReason.ENDED: meter.FORCED}


class BadCertificate(ConfigError):
    """A certificate or key for flow collectors can't be used."""

    remedy = "Have the key name a PEM file that this user can read, the certificate and the key of one pair."


class Prepared:
    """Settings that were checked as far as that goes without using them: what `apply` can't fail on."""

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
    """Both sides' certificates are checked; ConfigError names the file that can't be used."""
    from gevent import ssl as gevent_ssl

    told = table.tls
    assert told is not None, "collectors() checks it"
    context: ssl.SSLContext = gevent_ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(told.ca)
    except (OSError, ssl.SSLError) as error:
        raise BadCertificate(f"flows.tls.ca: {told.ca}: {error}") from error
    try:
        context.load_cert_chain(told.certificate, told.key)
    except (OSError, ssl.SSLError) as error:
        raise BadCertificate(f"flows.tls.certificate: {told.certificate}, {told.key}: {error}") from error
    return context


class Engines:
    """Numbers of engines, told to collectors with their names; the longest unused ones are forgotten."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._next = 1

    def number(self, name: str) -> tuple[int, bool]:
        """An engine's number, 0 for none, and whether it is new. A number is never used again."""
        if not name:
            return 0, False
        if (number := self._numbers.pop(name, 0)) != 0:
            self._numbers[name] = number  # in use: last to be forgotten
            return number, False
        if len(self._numbers) >= MOST_ENGINES:
            self._numbers.pop(next(iter(self._numbers)))
        self._numbers[name] = self._next
        self._next += 1
        return self._next - 1, True

    def all(self) -> dict[str, int]:
        """Every name that is kept."""
        return dict(self._numbers)


class Exporter(Observer):
    """Flow export of one router."""

    def __init__(self, host: Host, prepared: Prepared) -> None:
        self._host, self._table = host, prepared.table
        self._origin = now_ms()
        self._meter = meter.Meter(
            prepared.table.active_timeout_ms, prepared.table.idle_timeout_ms, prepared.table.sample_share
        )
        self._socks: dict[int, Any] = {}
        self._answers: dict[str, int] = {}  # octets passed on, by request
        self._engines = Engines()
        self._sinks: dict[str, Sink] = {}
        self._connection, self._request = RecordWriter(CONNECTION_TEMPLATE), RecordWriter(REQUEST_TEMPLATE)
        self._v9 = RecordWriter(V9_CONNECTION)
        self.faults = 0  # connections that could not be read
        self.apply(prepared)
        host.observers.add(self)
        self._looker = gevent.spawn(self._look)

    def apply(self, prepared: Prepared) -> None:
        """Go by other settings; collectors that stay keep their queue, session and numbers."""
        old, table = self._table, prepared.table
        self._table = table
        self._meter.configure(table.active_timeout_ms, table.idle_timeout_ms, table.sample_share)
        wanted = {str(collector): collector for collector in prepared.collectors}
        anew = (old.format, old.domain_id, old.enterprise, old.mtu) != (
            table.format,
            table.domain_id,
            table.enterprise,
            table.mtu,
        )
        for name in list(self._sinks):
            if anew or name not in wanted:
                gevent.spawn(self._sinks.pop(name).close, CLOSE_S)
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
        self._sinks = {name: self._sinks[name] for name in wanted}  # `first` goes by their order

    def close(self) -> None:
        """Tell what is untold, send what goes within the time, and end."""
        self._host.observers.remove(self)
        self._looker.kill()
        now = now_ms()
        for number in self._meter.numbers():
            self._read(number, self._meter.flush, now)
        gevent.joinall([gevent.spawn(sink.close, CLOSE_S) for sink in self._sinks.values()])
        for name, sink in self._sinks.items():
            log("collector_closed", collector=name, waiting=len(sink.queue), dropped=sink.queue.dropped)
        self._sinks.clear()

    # What happens

    def connection_opened(self, opened: OpenConnection) -> None:
        """Begin to meter it."""
        number = opened.number
        outbound = opened.side is Side.ENDPOINT
        if self._meter.opened(number, opened.local, opened.peer, outbound, opened.endpoint, opened.opened_at):
            self._socks[number] = opened.sock

    def connection_closing(self, number: int, why: CloseReason) -> None:
        """Its last record."""
        reason = _REASONS.get(why, meter.ENDED)
        self._read(number, partial(self._meter.closing, reason=reason), now_ms())
        self._socks.pop(number, None)

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """Whether it is told of."""
        if self._meter.wants_request(facts.session, int(request.key)):
            self._answers[request.key] = 0

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """Count the answer's octets."""
        if request.key in self._answers:
            self._answers[request.key] += sum(map(len, parts))

    def request_over(self, request: Request, now: float) -> None:
        """Its record."""
        octets = self._answers.pop(request.key, None)
        if octets is None or self._table.format != "ipfix":
            return
        last = request.serving_attempt or (request.attempts[-1] if request.attempts else None)
        start, first = request.taken_at, request.serving_attempt.first_at if request.serving_attempt else 0.0
        engine = self._engine(last.endpoint if last else "")
        self._put(
            self._request.record(
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

    # Looking at connections whose time-outs pass

    def _look(self) -> None:
        while True:
            gevent.sleep(LOOK_S)
            try:
                now = now_ms()
                for n, number in enumerate(self._meter.due(now)):
                    self._read(number, self._meter.look, now)
                    if n % LOOKS_AT_ONCE == LOOKS_AT_ONCE - 1:
                        gevent.sleep(0)
            except Exception as error:
                log_exception("flows", error)

    def _read(self, number: int, tell: Tell, now: float) -> None:
        sock = self._socks.get(number)
        if sock is None:
            return
        try:
            counters = tcpinfo.counters(sock)
        except OSError:
            self.faults += 1  # closed under it: what passed since the last look can't be told
            return
        flow = tell(number, counters, now)
        if flow is not None:
            self._tell(flow)

    def _tell(self, flow: meter.ConnectionFlow) -> None:
        forward, backward = flow.forward, flow.backward
        packets, octets = forward.packets + backward.packets, forward.octets + backward.octets
        ends = (
            ipv4(flow.source[0]),
            ipv4(flow.target[0]),
            flow.source[1],
            flow.target[1],
            TCP,
        )
        if self._table.format == "ipfix":
            record = self._connection.record(
                round(flow.start),
                round(flow.end),
                flow.number,
                *ends,
                *forward,
                *backward,
                1,
                flow.reason,
                int(flow.outbound),
                self._engine(flow.engine),
                flow.again,
                flow.rtt_us,
                packets=packets,
                octets=octets,
            )
        else:
            record = self._v9.record(
                uptime_ms(flow.start, self._origin),
                uptime_ms(flow.end, self._origin),
                flow.number,
                *ends,
                forward.octets,
                forward.packets,
                backward.octets,
                backward.packets,
                flow.reason,
                packets=packets,
                octets=octets,
            )
        self._put(record)

    def _engine(self, name: str) -> int:
        number, new = self._engines.number(name)
        if new and self._table.format == "ipfix":
            self._put(encode.name_writer.record(NAMED.index("engine"), number, name))
        return number

    def _put(self, record: Record) -> None:
        """To all collectors, or to the first that takes records now."""
        sinks = list(self._sinks.values())
        if self._table.send_to == "first" and sinks:
            sinks = [next((sink for sink in sinks if sink.healthy()), sinks[0])]
        for sink in sinks:
            sink.queue.add(record)
            sink.wake()

    # What collectors are told beside records

    def _options(self) -> list[Record]:
        if self._table.format != "ipfix":
            return []
        config: Config = self._host.config
        told = encode.type_records(self._table.enterprise)
        named = {"class": config.classes, "tenant": config.tenants, "engine": self._engines.all()}
        for kind, names in named.items():
            told += [encode.name_writer.record(NAMED.index(kind), n, name) for name, n in names.items()]
        share = self._table.sample_share
        told.append(encode.sampling_writer.record(self._table.domain_id, HASH_FILTERING, share))
        return told

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
