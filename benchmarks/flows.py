"""Measures flow export: the accuracy of what collectors receive, and the cost for the router's responses.

    python benchmarks/flows.py [--short]

Four routers share the same stub engines on loopback: two without export (the second shows the noise), one
that exports over TCP to a collector, and one that exports to a collector that accepts and never reads. Each
round of a worker sends all four the same request in random order, so that differences are paired.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import gevent
import netflume
import orjson
from gevent import socket

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import stub_servers  # noqa: E402
from paired_routers import ENGINES, WORKERS, Load, RouterGroup, anonymous_kb, compare_all, max_deviation  # noqa: E402

from spoolbarrow.flows import encode  # noqa: E402
from spoolbarrow.flows.collector import Listener  # noqa: E402
from spoolbarrow.flows.decode import Message, Session  # noqa: E402
from spoolbarrow.flows.elements import CONNECTION_TEMPLATE, REQUEST_TEMPLATE  # noqa: E402
from spoolbarrow.flows.encode import IPFIX, ExportStream, RecordWriter  # noqa: E402
from spoolbarrow.flows.sender import Sender  # noqa: E402
from spoolbarrow.net.log import default_log  # noqa: E402
from spoolbarrow.operator import Collector, FlowsTable  # noqa: E402

ENTERPRISE_NUMBER = 32_473
MEDIAN_TOLERANCE = 0.02  # relative
COUNT_TOLERANCE = 0.01  # of each connection's octets and packets
MAX_GROWTH_KB = 1024  # over 100,000 records


class ExportingGroup(RouterGroup):
    """Routers with a collector, and with one that accepts and never reads."""

    def __init__(self, directory: Path) -> None:
        self.messages: list[Message] = []
        self.collector = Listener(Collector("tcp", stub_servers.HOST, 0), ENTERPRISE_NUMBER, self._on_message)
        self.stalled_collector = socket.socket()
        self.stalled_collector.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.stalled_collector.bind((stub_servers.HOST, 0))
        self.stalled_collector.listen()
        table = (
            '[flows]\ncollectors = ["tcp://{}:{}"]\n'
            "active_timeout_ms = 100.0\nqueue_records = 200\nwrite_timeout_ms = 2000.0\n"
        )
        on = table.format(stub_servers.HOST, self.collector.port)
        stalled = table.format(stub_servers.HOST, self.stalled_collector.getsockname()[1])
        super().__init__(directory, {"off": "", "off_again": "", "on": on, "stalled": stalled})

    def _on_message(self, exporter: str, message: Message, data: bytes) -> None:
        self.messages.append(message)

    def times_stalled(self) -> int:
        """How often the exporter gave up on the stalled collector, which delays only the export."""
        return self.log("stalled").count(b"TimeoutError")

    def close(self) -> None:
        """Stop the processes and collectors."""
        super().close()
        self.collector.close()
        self.stalled_collector.close()

    def flows(self, template: int) -> list[dict[str, Any]]:
        """Records of a template that the collector received."""
        return [r.values for m in self.messages for r in m.records if r.template == template]


def differences(group: ExportingGroup, load: Load) -> dict[str, float]:
    """The largest relative difference between a connection's records and its client's kernel counters."""
    sums: dict[int, list[int]] = {}
    names = (
        "transportOctetDeltaCount",
        "reverseTransportOctetDeltaCount",
        "packetDeltaCount",
        "reversePacketDeltaCount",
    )
    for record in group.flows(CONNECTION_TEMPLATE.number):
        if record["routerConnectionSide"] == 0:
            total = sums.setdefault(record["sourceTransportPort"], [0] * 4)
            for n, name in enumerate(names):
                total[n] += record[name]
    octets = packets = 0.0
    for port, counted in load.tcp_counters.items():
        ours = sums.get(port, [0] * 4)
        theirs = (
            counted.bytes_sent,
            counted.bytes_received,
            counted.segments_sent,
            counted.segments_received,
        )
        errors = [abs(a - b) / b for a, b in zip(ours, theirs, strict=True)]
        octets, packets = max(octets, *errors[:2]), max(packets, *errors[2:])
    return {"octets": round(octets, 5), "packets": round(packets, 5)}


def rates(number: int) -> dict[str, float]:
    """Records per second that are encoded, decoded, and decoded by a library."""
    writer, stream = RecordWriter(CONNECTION_TEMPLATE), ExportStream(IPFIX, 1, ENTERPRISE_NUMBER, 16_384, 0.0)
    ends = (encode.ipv4("127.0.0.1"), encode.ipv4("127.0.0.2"), 4000, 7070, 6)
    values = (1, 2, 3, *ends, 100, 2, 48, 1, 300, 3, 200, 2, 1, 3, 0, 5, 0, 120)
    messages = stream.template_messages(0.0)
    begun = time.perf_counter()
    records = [writer.record(*values) for _ in range(number)]
    while records:
        data, taken = stream.data_message(records[:256], 0.0)
        messages.append(data)
        del records[:taken]
    written = time.perf_counter() - begun
    session, begun = Session(ENTERPRISE_NUMBER), time.perf_counter()
    ours = sum(len(session.read(data, 0.0).records) for data in messages)
    read = time.perf_counter() - begun
    library: Any = netflume.Decoder()  # type: ignore[no-untyped-call]
    begun = time.perf_counter()
    theirs = sum(len(library.decode(data, "a").flows) for data in messages)
    by_library = time.perf_counter() - begun
    assert ours == theirs == number
    return {
        "written_per_s": round(number / written),
        "read_per_s": round(number / read),
        "read_by_netflume_per_s": round(number / by_library),
        "record_octets": len(writer.record(*values).data),
    }


def memory(number: int) -> dict[str, int]:
    """Growth of an exporter's memory over `number` records, after the first tenth."""
    seen = 0

    def on_message(who: str, message: Message, data: bytes) -> None:
        nonlocal seen
        seen += len(message.records)

    listener = Listener(Collector("tcp", stub_servers.HOST, 0), ENTERPRISE_NUMBER, on_message)
    where = Collector("tcp", stub_servers.HOST, listener.port)
    table = FlowsTable([str(where)], flush_ms=1.0)
    statistics_record = encode.statistics_writer.record(1, 0, 0, 0, 0, 0, 0)
    sender = Sender(where, table, list, lambda stream, queue: statistics_record, 0.0)
    writer, before = RecordWriter(REQUEST_TEMPLATE), 0
    for n in range(number):
        sender.queue.add(writer.record(1, 2, 3, n, 0, 0, 1, 4, 1, 1, 20, 60, 600))
        if n % 500 == 499:
            sender.wake()
            while len(sender.queue) > 1000:
                gevent.sleep(0.001)
        if n == number // 10:
            before = anonymous_kb()
    while seen < number:
        gevent.sleep(0.001)
    grown, dropped = anonymous_kb() - before, sender.queue.dropped
    sender.close(1.0)
    listener.close()
    return {"records": number, "grown_kb": grown, "dropped": dropped}


def main() -> dict[str, Any]:
    """Measure everything and return it as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    short = arguments.parse_args().short
    seconds = 22.0 if short else 240.0
    default_log.configure("error")
    with tempfile.TemporaryDirectory() as directory:
        group = ExportingGroup(Path(directory))
        try:
            group.wait()
            load, before = Load(group, seconds), group.cpu()
            load.run()
            cpu = {kind: used - before[kind] for kind, used in group.cpu().items()}
            for _ in range(100):  # until the last records have arrived
                if len(group.flows(REQUEST_TEMPLATE.number)) >= load.asked["on"] + 1:
                    break
                gevent.sleep(0.05)
            gevent.sleep(1.0)
            requests = len(group.flows(REQUEST_TEMPLATE.number)) - 1  # without the readiness check
            records = sum(len(m.records) for m in group.messages)
            errors = differences(group, load)
            stalled = group.times_stalled()
            lost = group.collector.lost + load.asked["on"] - requests
        finally:
            group.close()
    times = compare_all(load.rounds, group.ports)
    growth = memory(100_000)
    holds = (
        max_deviation(times) <= MEDIAN_TOLERANCE
        and max(errors.values()) <= COUNT_TOLERANCE
        and lost == 0
        and load.failed == 0
        and growth["grown_kb"] <= MAX_GROWTH_KB
        and growth["dropped"] == 0
        and stalled > 0
    )
    extra = (cpu["on"] - (cpu["off"] + cpu["off_again"]) / 2) / records
    return {
        "name": "flows",
        "holds": holds,
        "rounds": len(load.rounds),
        "requests": sum(load.asked.values()),
        "failed": load.failed,
        "connections": len(load.tcp_counters),
        "records": records,
        "lost": lost,
        "difference": errors,
        "times": times,
        "cpu_us_per_record": round(extra * 1e6, 1),
        "cpu_s": {kind: round(used, 2) for kind, used in cpu.items()},
        "times_stalled": stalled,
        "rates": rates(20_000 if short else 100_000),
        "memory": growth,
        "workers": WORKERS,
        "engines": ENGINES,
        "seconds": seconds,
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result["holds"] else 1)
