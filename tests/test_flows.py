"""Flow export end to end: what collectors receive, and what happens to records when a collector fails."""

from __future__ import annotations

import datetime
import ipaddress
import itertools
import os
import random
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import msgspec
import netflume
import orjson
import pytest
from click.testing import CliRunner
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from gevent import socket
from gevent.event import Event

from spoolbarrow import config, operator
from spoolbarrow.cli import main
from spoolbarrow.flows import collector as fc
from spoolbarrow.flows import encode, meter
from spoolbarrow.flows.decode import DecodedRecord, FlowError, Message, Session
from spoolbarrow.flows.elements import (
    CONNECTION_TEMPLATE,
    NO_EVENT_MS,
    OUTCOMES,
    REQUEST_TEMPLATE,
    TEMPLATES,
    V9_CONNECTION_TEMPLATE,
)
from spoolbarrow.flows.encode import IPFIX, NETFLOW_V9, ExportStream, Record, RecordWriter
from spoolbarrow.flows.exporter import Exporter, Prepared
from spoolbarrow.flows.queue import RecordQueue
from spoolbarrow.flows.sender import Backoff, Unacknowledged
from spoolbarrow.net.http1 import Message as HttpMessage
from spoolbarrow.net.tcpinfo import Counters
from spoolbarrow.operator import Collector, FlowsTable
from tests.router_harness import (
    EVENTS,
    LISTEN,
    STREAM_HEAD,
    Client,
    ScriptedServer,
    ask,
    chunk,
    endpoint_entry,
    make_config,
    running_router,
    serve_all,
    wait_until,
)
from tests.test_taps import Listener as CountingObserver

ROOT = Path(__file__).resolve().parent.parent
OWN = 32_473
ONE_FIELD = b"\x00\x0a\x00\x1c" + bytes(12) + b"\x00\x02\x00\x0c\x01\x00\x00\x01"


def connection_record(number: int = 7, octets: int = 100) -> Record:
    ends = (encode.ipv4("127.0.0.1"), encode.ipv4("127.0.0.2"), 4000, 7070, 6)
    values = (1000, 2000, number, *ends, octets, 2, 48, 1, 300, 3, 200, 2, 1, 3, 0, 5, 0, 120)
    return RecordWriter(CONNECTION_TEMPLATE).record(*values, packets=5, octets=octets)


def read_all(
    stream: ExportStream, records: list[Record], session: Session | None = None
) -> list[DecodedRecord]:
    session = session or Session(OWN)
    for data in stream.template_messages(5000.0):
        session.read(data, 0.0)
    found: list[DecodedRecord] = []
    while records:
        data, taken = stream.data_message(records, 5000.0)
        found += session.read(data, 0.0).records
        records = records[taken:]
    assert session.lost == 0
    return found


def test_encoded_records_are_decoded_again() -> None:
    records = [connection_record(), *encode.type_records(OWN), encode.name_writer.record(1, 0, "acme" * 80)]
    found = read_all(ExportStream(IPFIX, 9, OWN, 1372, 0.0), records)
    assert found[0].values["sourceIPv4Address"] == "127.0.0.1"
    assert found[0].values["octetDeltaCount"] == 100 and found[0].values["reverseOctetDeltaCount"] == 300
    assert found[0].values["routerRoundTripMicroseconds"] == 120
    assert found[1].values["informationElementName"] == "routerConnectionSide"
    assert found[-1].values["routerName"] == "acme" * 80 and found[-1].scope == 2


@pytest.mark.parametrize("version", [IPFIX, NETFLOW_V9])
def test_an_independent_reader_reads_the_same(version: int) -> None:
    stream = ExportStream(version, 9, OWN, 1372, 0.0)
    if version == IPFIX:
        records = [connection_record(n, 100 + n) for n in range(50)]
    else:
        writer = RecordWriter(V9_CONNECTION_TEMPLATE)
        ends = (encode.ipv4("127.0.0.1"), encode.ipv4("127.0.0.2"), 4000, 7070, 6)
        records = [writer.record(1000, 2000, n, *ends, 100 + n, 2, 300, 3, 3) for n in range(50)]
    messages = stream.template_messages(5000.0)
    while records:
        data, taken = stream.data_message(records, 5000.0)
        assert len(data) <= 1372
        messages.append(data)
        records = records[taken:]
    reader: Any = netflume.Decoder()  # type: ignore[no-untyped-call]
    flows = [flow for data in messages for flow in reader.decode(data, "127.0.0.1").typed_flows()]
    assert [flow.octets for flow in flows] == [100 + n for n in range(50)]
    seen = {(flow.src_addr, flow.dst_addr, flow.dst_port) for flow in flows}
    assert seen == {("127.0.0.1", "127.0.0.2", 7070)}


def mutate(data: bytes, rng: random.Random) -> bytes:
    raw = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(raw))
        match rng.randrange(4):
            case 0:
                raw[at] = rng.randrange(256)
            case 1:
                del raw[at : at + rng.randint(1, 8)]
            case 2:
                raw[at:at] = rng.randbytes(rng.randint(1, 8))
            case _:
                raw[at : at + 2] = rng.choice([b"\xff\xff", b"\x00\x00", b"\x01\x00", b"\x00\x04"])
        if not raw:
            return b""
    return bytes(raw)


def test_ten_thousand_mutated_messages_are_decoded_or_refused_with_an_offset() -> None:
    rng = random.Random(7)
    for version in (IPFIX, NETFLOW_V9):
        stream = ExportStream(version, 9, OWN, 1372, 0.0)
        names = [encode.name_writer.record(1, 0, "acme")] if version == IPFIX else []
        data = stream.data_message([connection_record(), *names], 0.0)[0]
        sound = [*stream.template_messages(0.0), data]
        session, refused = Session(OWN), 0
        for n in range(5000):
            data = mutate(sound[n % len(sound)], rng)
            if rng.random() < 0.5 and version == IPFIX and len(data) > 4:
                data = data[:2] + len(data).to_bytes(2) + data[4:]  # a valid length, to reach deeper faults
            try:
                session.read(data, 0.0)
            except FlowError as error:
                assert 0 <= error.offset <= len(data) and error.rule
                refused += 1
            assert len(session) <= 256 and len(session._next_sequences) <= 256
        assert 500 < refused < 5000


@pytest.mark.parametrize(
    ("data", "offset", "rule"),
    [
        (b"", 0, "header"),
        (b"\x00\x05" + bytes(14), 0, "version"),
        (b"\x00\x0a\x00\x11" + bytes(12), 2, "length"),
        (b"\x00\x0a\x00\x14" + bytes(12) + b"\x01\x00\x00\x03", 18, "set length"),
        (b"\x00\x0a\x00\x14" + bytes(12) + b"\x00\x09\x00\x04", 16, "reserved"),
        (b"\x00\x0a\x00\x18" + bytes(12) + b"\x00\x02\x00\x08\x00\x03\x00\x01", 20, "reserved"),
        (ONE_FIELD + b"\x00\x01\x00\x09", 26, "octets for"),
        (ONE_FIELD + b"\x7f\x01\x00\x00", 20, "no octets"),
    ],
)
def test_a_flow_error_names_the_octet_and_the_rule(data: bytes, offset: int, rule: str) -> None:
    with pytest.raises(FlowError, match=rule) as refusal:
        Session(OWN).read(data, 0.0)
    assert refusal.value.offset == offset


def test_templates_are_withdrawn_redefined_and_expire() -> None:
    session, stream = Session(OWN, lifetime_ms=100.0), ExportStream(IPFIX, 9, OWN, 1372, 0.0)
    for data in stream.template_messages(0.0):
        session.read(data, 0.0)
    data = stream.data_message([connection_record()], 0.0)[0]
    assert len(session.read(data, 100.0).records) == 1
    assert session.read(data, 101.0).unknown_sets == 1
    assert len(session) == len(TEMPLATES) - 1
    withdrawn = encode._set(2, (257).to_bytes(2) + b"\0\0")
    session.read(stream._message([withdrawn], 0, 1, 0.0), 0.0)
    assert len(session) == len(TEMPLATES) - 2
    one_field = encode._set(2, b"\x01\x00\x00\x01\x00\x04\x00\x01")
    session.read(stream._message([one_field], 0, 1, 0.0), 0.0)
    (record,) = session.read(stream._message([encode._set(256, b"\x06")], 1, 1, 0.0), 0.0).records
    assert record.values == {"protocolIdentifier": 6}


def test_gaps_in_sequence_numbers_are_counted_as_lost() -> None:
    session, stream = Session(OWN), ExportStream(IPFIX, 9, OWN, 1372, 0.0)
    for data in stream.template_messages(0.0):
        session.read(data, 0.0)
    session.read(stream.data_message([connection_record()] * 2, 0.0)[0], 0.0)
    stream.data_message([connection_record()] * 3, 0.0)
    session.read(stream.data_message([connection_record()], 0.0)[0], 0.0)
    assert session.lost == 3


# The meter


def counters(sent: int, received: int) -> Counters:
    return Counters(sent, received, 1 + sent // 100, 1 + received // 100, sent // 100, received // 100)


def test_the_records_of_a_long_answer_add_up_to_its_total() -> None:
    made = meter.Meter(active_ms=100.0, idle_ms=60.0)
    made.opened(1, ("127.0.0.1", 7070), ("127.0.0.9", 999), False, "", at=0.0)
    records = []
    for now in range(10, 1210, 10):
        for number in made.due(float(now)):
            records.append(made.poll(number, counters(now * 10, 500), float(now)))
    records.append(made.closing(1, counters(12_345, 500), 1215.0, meter.ENDED))
    flows = [flow for flow in records if flow]
    assert len(flows) >= 10 and [f.reason for f in flows] == [meter.ACTIVE] * (len(flows) - 1) + [meter.ENDED]
    assert (
        sum(f.backward.payload for f in flows) == 12_345
    )  # backward is towards the client, which opened the connection
    assert sum(f.forward.payload for f in flows) == 500
    assert sum(f.backward.packets for f in flows) == counters(12_345, 500).segments_sent + 1
    assert all(a.end == b.start for a, b in itertools.pairwise(flows))
    assert flows[0].source == ("127.0.0.9", 999) and len(made) == 0 and not made._polled_at


def test_an_idle_connection_is_reported_once_and_its_next_record_starts_with_new_traffic() -> None:
    made = meter.Meter(active_ms=1000.0, idle_ms=50.0)
    made.opened(1, ("a", 1), ("b", 2), True, "e0", at=0.0)
    assert made.poll(1, counters(100, 100), 50.0) is None
    idle = made.poll(1, counters(100, 100), 100.0)
    assert idle is not None and (idle.reason, idle.end, idle.engine) == (meter.IDLE, 50.0, "e0")
    for now in (150.0, 200.0, 250.0):
        assert made.poll(1, counters(100, 100), now) is None
    assert made.poll(1, counters(200, 100), 300.0) is None
    last = made.closing(1, counters(200, 100), 310.0, meter.ENDED)
    assert last is not None and (last.start, last.forward.payload) == (250.0, 100)


def test_a_connection_without_new_traffic_is_not_reported_again() -> None:
    made = meter.Meter(active_ms=100.0, idle_ms=100.0)
    made.opened(1, ("a", 1), ("b", 2), True, "", at=0.0)
    assert made.poll(1, counters(100, 0), 100.0) is not None
    assert made.closing(1, counters(100, 0), 120.0, meter.ENDED) is None


def test_a_sample_keeps_about_its_share_and_whole_conversations() -> None:
    made = meter.Meter(1.0, 1.0, sample_share=0.25)
    kept = [session for session in range(1, 4001) if made.samples_request(session, 0)]
    assert 900 < len(kept) < 1100
    assert all(made.samples_request(session, number) for session in kept[:50] for number in range(5))


# Queue and recovery


def test_a_full_queue_drops_the_oldest_records_and_counts_their_traffic() -> None:
    queue = RecordQueue(10, 1 << 20)
    for n in range(25):
        queue.add(Record(256, b"%d" % n, 2, 100))
    assert [record.data for record in queue.first(99)] == [b"%d" % n for n in range(15, 25)]
    assert (queue.dropped, queue.dropped_packets, queue.dropped_octets) == (15, 30, 1500)
    taken = queue.take(4)
    queue.put_back(taken)
    assert queue.first(1)[0].data == b"15"
    small = RecordQueue(1000, 1000)
    for _ in range(50):
        small.add(Record(256, bytes(100)))
    assert small.bytes <= 1000 and small.dropped == 50 - len(small) > 0
    small.take(99)
    assert small.bytes == 0


def test_attempts_back_off_with_jitter_and_reset_on_success() -> None:
    made = Backoff(100.0, 1000.0, random.Random(1))
    waits = [made.failed() for _ in range(8)]
    steps = [100.0, 200.0, 400.0, 800.0, 1000.0, 1000.0, 1000.0, 1000.0]
    assert all(step / 2 <= wait <= step for wait, step in zip(waits, steps, strict=True))
    assert len(set(waits[4:])) > 1
    made.succeeded()
    assert made.failed() <= 100.0


def test_unacknowledged_records_are_kept_in_order_and_bounded() -> None:
    made = Unacknowledged(max_bytes=50)
    some = [Record(256, b"%02d" % n * 5) for n in range(8)]
    for n, record in enumerate(some):
        made.wrote((n + 1) * 100, [record])
    assert len(made) == 5
    made.acknowledged(500)
    assert made.take() == some[5:] and len(made) == 0


# The exporter


def table(*collectors: str, **changes: Any) -> FlowsTable:
    quick = {"flush_ms": 5.0, "retry_least_ms": 5.0, "retry_most_ms": 20.0, "active_timeout_ms": 60_000.0}
    return FlowsTable(list(collectors), **{**quick, **changes})


class ReceivedMessages:
    """The messages that a collector received."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def __call__(self, exporter: str, message: Message, data: bytes) -> None:
        self.messages.append(message)

    def of(self, template: int) -> list[dict[str, Any]]:
        return [r.values for m in self.messages for r in m.records if r.template == template]


@contextmanager
def running_collector(
    kind: str, port: int = 0, tls: Any = None
) -> Iterator[tuple[ReceivedMessages, fc.Listener]]:
    collected = ReceivedMessages()
    listener = fc.Listener(Collector(kind, "127.0.0.1", port), OWN, collected, tls)
    try:
        yield collected, listener
    finally:
        listener.close()


@contextmanager
def running_exporter(scene: Any, made: FlowsTable) -> Iterator[Exporter]:
    exporter = Exporter(scene.host, Prepared(made))
    try:
        yield exporter
    finally:
        exporter.close()


@pytest.mark.parametrize("kind", ["udp", "tcp"])
def test_a_collector_receives_accurate_connection_and_request_records(kind: str) -> None:
    with running_router(serve_all) as (scene, _), running_collector(kind) as (collected, listener):
        with running_exporter(scene, table(f"{kind}://127.0.0.1:{listener.port}")):
            observer = CountingObserver()
            scene.host.observers.add(observer)
            client = scene.client().send(ask())
            assert client.answer().status == 200
            client.sock.close()
            wait_until(lambda: collected.of(257) and collected.of(256))
            scene.host._endpoints._pool.forget("e0")
            wait_until(lambda: len(collected.of(256)) == 2)
            (request,) = collected.of(257)
            ours = next(c for c in collected.of(256) if c["flowId"] == request["flowId"])
            theirs = next(c for c in collected.of(256) if c["flowId"] == request["routerEngineFlowId"])
            for record, outbound in ((ours, False), (theirs, True)):
                counted = observer.counters[record["flowId"]]
                sent, received = ("", "reverseT") if outbound else ("reverseT", "")
                name = "ransportOctetDeltaCount"
                assert record[(sent or "t") + name] == counted.bytes_sent
                assert record[(received or "t") + name] == counted.bytes_received
                forward = counted.segments_sent if outbound else counted.segments_received
                assert record["packetDeltaCount"] == forward
                assert record["octetDeltaCount"] >= record["transportOctetDeltaCount"] + 40 * forward
            assert ours["destinationTransportPort"] == scene.config.listen[1]
            assert (ours["routerConnectionSide"], theirs["routerConnectionSide"]) == (0, 1)
            assert OUTCOMES[request["routerOutcome"]] == "served" and request["routerAttemptCount"] == 1
            assert request["routerAnswerOctetCount"] == sum(map(len, EVENTS))
            assert request["routerFirstEventMilliseconds"] <= request["routerWholeMilliseconds"] < NO_EVENT_MS
            names = {
                (n["routerNamedKind"], n["routerNamedIndex"]): n["routerName"] for n in collected.of(258)
            }
            assert names[0, request["routerClassIndex"]] == "chat"
            assert names[1, request["routerTenantIndex"]] == "acme"
            assert names[2, request["routerEngineIndex"]] == names[2, theirs["routerEngineIndex"]] == "e0"
            assert collected.of(259) and len(collected.of(260)) == 16 and collected.of(261)
        assert listener.lost == listener.malformed == 0


def test_a_collector_that_was_down_receives_all_records_after_its_return() -> None:
    port = free_collector_port()
    with (
        running_router(serve_all) as (scene, _),
        running_exporter(scene, table(f"tcp://127.0.0.1:{port}")) as exporter,
    ):
        (sink,) = exporter._sinks.values()
        seen: list[int] = []
        for round in range(3):
            for _ in range(5):
                client = scene.client().send(ask())
                assert client.answer().status == 200
                wait_until(lambda: scene.host.open_requests() == 0)
            with running_collector("tcp", port) as (collected, listener):
                wait_until(lambda: len(seen) + len(collected.of(257)) == 5 * (round + 1))  # noqa: B023
                seen += [request["routerRequestNumber"] for request in collected.of(257)]
                assert listener.lost == 0
            wait_until(lambda: not sink.healthy())
        assert seen == list(range(1, 16)) and sink.queue.dropped == 0


class Authority:
    """Signs certificates for 127.0.0.1."""

    def __init__(self, name: str) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._certificate = self._signed(self._name, self._key, True)

    def _signed(self, subject: x509.Name, key: ec.EllipticCurvePrivateKey, ca: bool) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        made = x509.CertificateBuilder().subject_name(subject).issuer_name(self._name)
        made = made.public_key(key.public_key()).serial_number(x509.random_serial_number())
        day = datetime.timedelta(days=1)
        made = made.not_valid_before(now - day).not_valid_after(now + day)
        made = made.add_extension(x509.BasicConstraints(ca=ca, path_length=None), critical=True)
        host = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        made = made.add_extension(x509.SubjectAlternativeName([host]), critical=False)
        return made.sign(self._key, hashes.SHA256())

    def pem(self) -> bytes:
        return self._certificate.public_bytes(serialization.Encoding.PEM)

    def issue(self, directory: Path, name: str) -> None:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        pem = self._signed(subject, key, False).public_bytes(serialization.Encoding.PEM)
        (directory / f"{name}.pem").write_bytes(pem)
        form, plain = serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        (directory / f"{name}.key").write_bytes(key.private_bytes(serialization.Encoding.PEM, form, plain))


def free_collector_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def test_a_collector_that_never_reads_loses_records_but_blocks_no_response() -> None:
    with running_router(serve_all) as (scene, _), socket.create_server(("127.0.0.1", 0)) as stalled:
        stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        made = table(
            f"tcp://127.0.0.1:{stalled.getsockname()[1]}", queue_records=50, write_timeout_ms=60_000.0
        )
        with running_exporter(scene, made) as exporter:
            (sink,) = exporter._sinks.values()
            while not sink.queue.dropped:
                for _ in range(2000):
                    sink.queue.add(connection_record())
                sink.wake()
                gevent.sleep(0.001)
            for _ in range(20):
                assert scene.client().send(ask()).answer().status == 200
            wait_until(lambda: scene.host.open_requests() == 0)
            assert len(sink.queue) <= 50


def test_a_slow_collector_costs_another_no_records() -> None:
    with (
        running_router(serve_all) as (scene, _),
        running_collector("tcp") as (collected, listener),
        socket.create_server(("127.0.0.1", 0)) as stalled,
    ):
        where = [f"tcp://127.0.0.1:{port}" for port in (stalled.getsockname()[1], listener.port)]
        made = table(*where, queue_records=3, write_timeout_ms=60_000.0)
        with running_exporter(scene, made) as exporter:
            slow, quick = exporter._sinks.values()
            wait_until(lambda: slow.healthy() and quick.healthy())
            exporter._sinks[where[0]].queue.resize(1, 1 << 20)
            for number in range(1, 11):
                assert scene.client().send(ask()).answer().status == 200
                wait_until(lambda: len(collected.of(257)) == number)  # noqa: B023
            assert quick.queue.dropped == 0


def test_send_to_first_sends_records_to_the_first_healthy_collector() -> None:
    port = free_collector_port()
    with running_router(serve_all) as (scene, _), running_collector("tcp") as (collected, listener):
        where = [f"tcp://127.0.0.1:{port}", f"tcp://127.0.0.1:{listener.port}"]
        with running_exporter(scene, table(*where, send_to="first")) as exporter:
            first, second = exporter._sinks.values()
            wait_until(second.healthy)
            assert scene.client().send(ask()).answer().status == 200
            wait_until(lambda: collected.of(257))
            with running_collector("tcp", port) as (later, _):
                wait_until(first.healthy)
                assert scene.client().send(ask()).answer().status == 200
                wait_until(lambda: later.of(257))
                assert len(collected.of(257)) == 1


def test_new_settings_keep_queued_records_and_the_totals_of_an_open_stream() -> None:
    go = Event()

    def slowly(sock: socket.socket, message: HttpMessage) -> None:
        sock.sendall(STREAM_HEAD)
        for _ in range(10):
            sock.sendall(chunk(EVENTS[0]))
            go.wait()
            go.clear()
        sock.sendall(chunk(EVENTS[1]) + b"0\r\n\r\n")

    with (
        running_router(slowly) as (scene, _),
        running_collector("tcp") as (collected, listener),
        running_collector("tcp") as (more, other),
    ):
        client = scene.client().send(ask())
        wait_until(lambda: scene.host._requests and next(iter(scene.host._requests.values())).serving_attempt)
        first, second = (f"tcp://127.0.0.1:{one.port}" for one in (listener, other))
        quick = {"active_timeout_ms": 20.0, "idle_timeout_ms": 10_000.0}
        with running_exporter(scene, table(first, **quick)) as exporter:  # starts in the middle of a response
            for round in range(10):
                before = len(collected.of(256)) + len(more.of(256))
                go.set()
                if round < 9:
                    wait_until(lambda: len(collected.of(256)) + len(more.of(256)) >= before + 2)  # noqa: B023
                if round == 4:
                    exporter.apply(Prepared(table(second, **quick)))
            assert client.answer().status == 200
            wait_until(lambda: scene.host.open_requests() == 0)
            observer = CountingObserver()
            scene.host.observers.add(observer)
            client.sock.close()
            scene.host._endpoints._pool.forget("e0")
            wait_until(lambda: len(observer.counters) == 2)

        def record_octets(number: int) -> list[int]:
            ours = [r for r in collected.of(256) + more.of(256) if r["flowId"] == number]
            return [r["transportOctetDeltaCount"] + r["reverseTransportOctetDeltaCount"] for r in ours]

        for number, counted in observer.counters.items():
            wait_until(lambda: sum(record_octets(number)) == counted.bytes_sent + counted.bytes_received)  # noqa: B023
            assert len(record_octets(number)) >= 5


def test_files_are_complete_or_marked_as_torn(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "spoolbarrow.flows.exporter.CLOSE_TIMEOUT_S", 20.0
    )  # a busy disk must not fail the test
    leftover = tmp_path / "20200101T000000-999999999-00001.ipfix.zst.part"
    leftover.write_bytes(b"\x28\xb5\x2f\xfd")
    with (
        running_router(serve_all) as (scene, _),
        running_exporter(scene, table(f"file:{tmp_path}", file_bytes=4096)),
    ):
        for _ in range(3):
            assert scene.client().send(ask()).answer().status == 200
            wait_until(lambda: scene.host.open_requests() == 0)
    assert [p.name for p in tmp_path.glob("*.torn")] == [leftover.with_suffix(".torn").name]
    found = [path for path in sorted(tmp_path.glob("*.ipfix.zst"))]
    records = [r for path in found for m in fc.read_ipfix_file(path, OWN) for r in m.records]
    assert sum(r.template == REQUEST_TEMPLATE.number for r in records) == 3
    whole = found[0].read_bytes()
    torn = tmp_path / "torn"
    for cut in range(len(whole) - 1, len(whole) - 40, -3):
        torn.write_bytes(whole[:cut])
        with pytest.raises(FlowError, match="torn"):
            list(fc.read_ipfix_file(torn, OWN))


def test_five_hundred_concurrent_connections_are_reported_and_leave_no_state() -> None:
    with (
        running_router(serve_all, limits={"sockets": 1100}) as (scene, _),
        running_collector("tcp") as (collected, listener),
    ):
        with running_exporter(scene, table(f"tcp://127.0.0.1:{listener.port}")) as exporter:
            clients = [scene.client() for _ in range(500)]
            wait_until(lambda: len(exporter._meter) == 500)
            for n, client in enumerate(clients):
                if n % 5 == 0:  # a reset
                    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                client.sock.close()
            wait_until(lambda: len({r["flowId"] for r in collected.of(256)}) == 500)
            assert not len(exporter._meter) and not exporter._sockets and not exporter._response_octets
        assert listener.lost == 0


def test_attempts_back_off_for_a_collector_that_disconnects_at_once() -> None:
    with running_router(serve_all) as (scene, _), socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen()

        def hang_up() -> None:
            while True:
                server.accept()[0].close()

        greenlet = gevent.spawn(hang_up)
        made = table(f"tcp://127.0.0.1:{server.getsockname()[1]}", retry_least_ms=1.0, retry_most_ms=64.0)
        with running_exporter(scene, made) as exporter:
            sink: Any = next(iter(exporter._sinks.values()))
            wait_until(lambda: sink._backoff._failures >= 7)
            assert scene.client().send(ask()).answer().status == 200
        greenlet.kill()


@pytest.mark.parametrize("trusted", [True, False])
def test_tls_checks_both_certificates(trusted: bool, tmp_path: Path) -> None:
    ca, other = Authority("a"), Authority("b")
    for name, authority in (("server", ca), ("client", ca if trusted else other)):
        authority.issue(tmp_path, name)
    (tmp_path / "ca.pem").write_bytes(ca.pem())
    context = fc.server_tls_context(*(str(tmp_path / n) for n in ("ca.pem", "server.pem", "server.key")))
    tls_table = operator.TlsTable(*(str(tmp_path / n) for n in ("ca.pem", "client.pem", "client.key")))
    with (
        running_router(serve_all) as (scene, _),
        running_collector("tls", tls=context) as (collected, listener),
        running_exporter(scene, table(f"tls://127.0.0.1:{listener.port}", tls=tls_table)) as exporter,
    ):
        sink: Any = exporter._sinks[f"tls://127.0.0.1:{listener.port}"]
        assert scene.client().send(ask()).answer().status == 200
        if not trusted:
            wait_until(lambda: sink._backoff._failures >= 2)
            assert not collected.messages and not sink.queue.dropped and len(sink.queue) >= 1
            return
        wait_until(lambda: len(collected.of(257)) == 1)
        before = sink._sock
        ca.issue(tmp_path, "client")  # a new certificate, loaded by `Prepared`
        exporter.apply(Prepared(table(f"tls://127.0.0.1:{listener.port}", tls=tls_table)))
        wait_until(lambda: sink._sock not in (None, before))
        assert scene.client().send(ask()).answer().status == 200
        wait_until(lambda: len(collected.of(257)) == 2)
        assert sink.queue.dropped == listener.lost == 0


def test_unusable_certificates_are_config_errors(tmp_path: Path) -> None:
    tls_table = operator.TlsTable(str(tmp_path / "none"), "", "")
    with pytest.raises(config.ConfigError, match=r"^flows\.tls\.ca: "):
        Prepared(table("tls://127.0.0.1:1", tls=tls_table))
    ca = Authority("a")
    (tmp_path / "ca.pem").write_bytes(ca.pem())
    with pytest.raises(config.ConfigError, match=r"^flows\.tls\.certificate: "):
        Prepared(table("tls://127.0.0.1:1", tls=operator.TlsTable(str(tmp_path / "ca.pem"), "", "")))


# The commands


def request_log(scene: Any, capfd: pytest.CaptureFixture[str]) -> str:
    wait_until(lambda: scene.host.open_requests() == 0)
    return capfd.readouterr().err


def test_read_top_and_verify_match_the_log(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "spoolbarrow.flows.exporter.CLOSE_TIMEOUT_S", 20.0
    )  # a busy disk must not fail the test
    with running_router(serve_all) as (scene, _):
        with running_exporter(scene, table(f"file:{tmp_path}")):
            for account in ("acme", "acme", "other"):
                assert scene.client().send(ask(X_Account=account)).answer().status == 200
                wait_until(lambda: scene.host.open_requests() == 0)
        log_text = request_log(scene, capfd)
    log, (file,) = tmp_path / "log", tmp_path.glob("*.ipfix.zst")
    log.write_text(log_text)
    run = CliRunner().invoke

    def call(*arguments: str) -> tuple[Any, str]:
        done = run(main, ["flows", *arguments], standalone_mode=False)
        return done.return_value, done.output

    status, output = call("read", str(file), "--format", "json", "--kind", "request")
    found = [orjson.loads(line) for line in output.splitlines()]
    assert status == 0 and [row["tenant"] for row in found] == ["acme", "acme", "other"]
    status, output = call("top", str(file), "--format", "csv", "--by", "tenant")
    assert output.splitlines()[0].startswith("tenant,requests,served")
    ranks = [line.split(",")[:3] for line in output.splitlines()[1:]]
    assert ranks == [["acme", "2", "2"], ["other", "1", "1"]]
    assert "127.0.0.1" in call("top", str(file), "--by", "address")[1]
    assert call("verify", str(file), "--log", str(log)) == (0, "0 differences\n")
    log.write_text(log_text.replace('"answer":"served"', '"answer":"failed"', 1) + '{"event":"odd"}\nno line')
    status, output = call("verify", str(file), "--log", str(log))
    assert status == 1
    assert output.startswith("request 1: outcome is 'served' in the flows, 'failed' in the log")
    lines = log_text.splitlines(keepends=True)
    log.write_text("".join(line for line in lines if '"request":"2"' not in line))
    assert call("verify", str(file), "--log", str(log))[1].startswith("request 2: among the flows, not in")
    file.write_bytes(file.read_bytes()[:-3])
    done = run(main, ["flows", "read", str(file)], standalone_mode=False)
    assert done.return_value == 1 and "torn" in done.output


def test_a_router_exports_to_the_collect_command_and_flushes_at_sigterm(tmp_path: Path) -> None:
    engine, kept, port = ScriptedServer(serve_all), tmp_path / "kept", free_collector_port()
    raw = make_config([endpoint_entry("e0", engine.port)])
    (tmp_path / "config.json").write_bytes(msgspec.json.encode(raw))
    (tmp_path / "o.toml").write_text(
        f'[flows]\ncollectors = ["tcp://127.0.0.1:{port}"]\nflush_ms = 60000.0\nretry_most_ms = 200.0\n'
    )
    python = [sys.executable, "-m", "spoolbarrow"]
    collect = ["flows", "collect", f"tcp://127.0.0.1:{port}", "--directory", str(kept), "--format", "json"]
    environment = {**os.environ, "NODE_CONFIG": str(tmp_path / "config.json")}
    environment["SPOOLBARROW_OPERATOR"] = str(tmp_path / "o.toml")
    listens = int(raw["listen"].rpartition(":")[2])
    with (
        subprocess.Popen([*python, *collect], cwd=ROOT, stdout=subprocess.PIPE) as collector,
        subprocess.Popen(python, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True) as router,
    ):
        try:
            assert router.stderr is not None and collector.stdout is not None
            while "collector_up" not in (line := router.stderr.readline()):
                assert line
            wait_until(lambda: not socket.socket().connect_ex((LISTEN, listens)))
            assert Client(listens).send(ask()).answer().status == 200
            router.send_signal(signal.SIGTERM)  # long before `flush_ms`
            wait_until(lambda: router.poll() is not None)
            assert router.returncode == 0
            rows: list[dict[str, Any]] = []
            while not any(row["kind"] == "request" for row in rows):
                rows.append(orjson.loads(collector.stdout.readline()))
            collector.send_signal(signal.SIGTERM)
            wait_until(lambda: collector.poll() is not None)
            assert collector.returncode == 0
        finally:
            router.kill()
            collector.kill()
            engine.close()
    records = [
        r for path in kept.glob("*.ipfix.zst") for m in fc.read_ipfix_file(path, OWN) for r in m.records
    ]
    assert sum("routerRequestNumber" in record.values for record in records) == 1


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("collectors = []", "flows.collectors"),
        ('collectors = ["udp://host:1"]', "flows.collectors[0]"),
        ('collectors = ["udp://127.0.0.1:1", "udp://127.0.0.1:1"]', "flows.collectors[1]"),
        ('collectors = ["tls://127.0.0.1:1"]', "flows.tls"),
        ('collectors = ["tcp://127.0.0.1:1"]\nformat = "netflow9"', "flows.collectors[0]"),
        ('collectors = ["udp://127.0.0.1:1"]\nmtu = 12', "flows.mtu"),
        ('collectors = ["udp://127.0.0.1:1"]\nsample_share = 0', "flows.sample_share"),
        ('collectors = ["udp://127.0.0.1:1"]\nretry_most_ms = 1', "flows.retry_most_ms"),
        ('collectors = ["udp://127.0.0.1:1"]\nactive_timeout = 5', "flows.active_timeout"),
    ],
)
def test_a_config_error_names_its_key(text: str, key: str, tmp_path: Path) -> None:
    (tmp_path / "o.toml").write_text(f"[flows]\n{text}\n")
    _, faults = operator.read({operator.FILE_VARIABLE: str(tmp_path / "o.toml")})
    assert [fault.place for fault in faults] == [key]
