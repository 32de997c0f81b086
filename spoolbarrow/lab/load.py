"""Generates open-loop load over sockets: sends each request when it is due, independent of the responses.

Latency counts from the time a request was due, so that a slow response can't hide the wait of the requests
behind it (G. Tene's "coordinated omission"; wrk2). Several processes share the requests; each reads a JSON
line with the time to begin, and further lines with the routers that the load balancer uses. Runs in gevent
greenlets.
"""

from __future__ import annotations

import gc
import sys
import time
from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any

import gevent
import msgspec
from gevent import subprocess
from gevent.fileobject import FileObjectPosix
from hdrh.histogram import HdrHistogram

from spoolbarrow.lab.arrivals import PlannedRequest, draw_requests
from spoolbarrow.lab.fleet import plan, random_stream
from spoolbarrow.lab.kinds import draw
from spoolbarrow.lab.run_report import Record
from spoolbarrow.lab.scenario import Scenario
from spoolbarrow.net import http1

LOWEST_US, HIGHEST_US, DIGITS = 1, 3_600_000_000, 3
STREAM_TIMEOUT_S = 60.0  # a stream that is idle for this long is lost
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 2000  # to one router
LATE_MS = 10.0  # a request sent later than that after it was due counts as late
SPAWN_AHEAD_MS = 50.0
FINISH_TIMEOUT_S = 60.0
MAX_HEAD_BYTES = 16_384


class PatienceExceeded(Exception):
    """A client's patience ended before its first token."""


class Job(msgspec.Struct):
    """The job of a load process."""

    scenario: Scenario
    seed: int
    worker: int
    workers: int
    targets: list[tuple[str, int]]
    token_bytes: int  # prompt text sent per token


class Result(msgspec.Struct):
    """The result of a load process; records by number of the request: outcome, first, end, tries, tokens."""

    records: list[tuple[int, str, float, float, int, int]]
    late: str  # this and the next two: encoded histograms, in us
    first: str
    whole: str
    late_share: float
    unanswered: int  # tries whose patience ended without a response


def histogram() -> Any:
    """A histogram of times in microseconds, to three digits."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def records(scenario: Scenario, seed: int) -> list[Record]:
    """The scenario's requests, the same in every process."""
    troubles = [planned.trouble for planned in plan(scenario, random_stream(seed, "troubles"))]
    return [Record(one) for one in draw_requests(scenario, troubles, random_stream(seed, "arrivals"))]


class LoadWorker:
    """The clients of this process."""

    def __init__(self, job: Job) -> None:
        self.job, self.scenario = job, job.scenario
        self.rng = random_stream(job.seed, f"clients {job.worker}")
        self.classes = list(self.scenario.classes)
        self.shapes = list(self.scenario.classes.values())
        self.tenants = list(self.scenario.tenants)
        all_records = records(self.scenario, job.seed)
        self.assigned = [(n, all_records[n]) for n in range(job.worker, len(all_records), job.workers)]
        self.live_routers = list(range(len(job.targets)))
        self.idle: dict[int, deque[Any]] = {n: deque() for n in self.live_routers}
        self.begun = 0.0
        self.done = self.sent_late = self.unanswered = 0
        self.late, self.first, self.whole = histogram(), histogram(), histogram()

    def now(self) -> float:
        """Milliseconds since the scenario began."""
        return (time.monotonic() - self.begun) * 1000.0

    def play(self, begun: float, report: Callable[[dict[str, int]], None]) -> Result:
        """Send all requests when they are due; returns when the last has its outcome."""
        self.begun = begun
        gc.collect()
        gc.freeze()
        out = set()
        last_report = 0.0
        for _, record in self.assigned:
            while (ahead := record.planned.at_ms - self.now()) > 0.0:
                gevent.sleep(min(ahead, SPAWN_AHEAD_MS) / 1000.0)
            late = self.now() - record.planned.at_ms
            self.late.record_value(max(LOWEST_US, int(late * 1000.0)))
            self.sent_late += late > LATE_MS
            greenlet = gevent.spawn(self._client, record, self._number(record))
            out.add(greenlet)
            greenlet.link(out.discard)
            if self.now() - last_report > 1000.0:
                last_report = self.now()
                report(
                    {
                        "sent": len(out) + self.done,
                        "done": self.done,
                        "open": len(out),
                        "late": self.sent_late,
                    }
                )
        gevent.joinall(list(out), timeout=FINISH_TIMEOUT_S)
        for greenlet in list(out):
            greenlet.kill()
        found = [(n, r.outcome, r.first_ms, r.end_ms, r.tries, r.made) for n, r in self.assigned]
        late_share = self.sent_late / max(1, len(self.assigned))
        late, first, whole = (h.encode().decode() for h in (self.late, self.first, self.whole))
        return Result(found, late, first, whole, late_share, self.unanswered)

    def _number(self, record: Record) -> str:
        return f"{self.job.seed:x}-{record.planned.session:x}-{int(record.planned.at_ms * 1000.0):x}"

    def _client(self, record: Record, name: str) -> None:
        """Run one client with all its tries."""
        c, one = self.scenario.clients, record.planned
        shape = self.shapes[one.cls]
        for number in range(c.retries + 1):
            record.tries += 1
            how, retry_after_ms = self._try(
                record, f"{name}-{number}", shape.deadline_ms * draw(c.patience, self.rng)
            )
            pause = c.pause_ms(number, retry_after_ms, self.rng)
            settled = how in ("served", "lost")
            if settled or number == c.retries or self.now() + pause >= one.at_ms + shape.deadline_ms:
                break
            gevent.sleep(pause / 1000.0)
        record.outcome = how
        self.done += 1
        if how == "served":
            self.first.record_value(max(LOWEST_US, int(record.first_ms * 1000.0)))
            self.whole.record_value(max(LOWEST_US, int(record.end_ms * 1000.0)))

    def _try(self, record: Record, name: str, patience_ms: float) -> tuple[str, float]:
        """Run one try: its outcome, and the Retry-After in ms, if any."""
        near = self.scenario.routers_in_zone(self.live_routers, record.planned.session)
        if not near:
            return "failed", 0.0
        target = near[int(self.rng.random() * len(near))]
        parser = http1.ResponseParser(MAX_HEAD_BYTES)
        sock = None
        try:
            with gevent.Timeout(patience_ms / 1000.0, PatienceExceeded()):
                sock, kept = self._connection(target), True
                request = self._request(record.planned, name, patience_ms)
                try:
                    sock.sendall(request)
                    buffer = bytearray(65_536)
                    while not parser.head_complete:
                        parser.read(sock, buffer)
                except OSError:
                    if parser.begun:
                        raise
                    # A reused connection closed during the request: retry once on a new one.
                    sock.close()
                    sock = http1.connect(self.job.targets[target], CONNECT_TIMEOUT_S)
                    sock.sendall(request)
                    parser = http1.ResponseParser(MAX_HEAD_BYTES)
                    while not parser.head_complete:
                        parser.read(sock, buffer)
                if parser.status == 200:
                    while not (body := b"".join(parser.take_body())):
                        parser.read(sock, buffer)
            if parser.status == 200:
                return self._stream(record, sock, parser, body, target), 0.0
            while not parser.complete:
                parser.read(sock, buffer)
            kept = parser.reusable
            retry_after_ms = float(parser.fields.get(b"retry-after", b"0")) * 1000.0
            if kept:
                self._keep(target, sock)
                sock = None
            return ("refused" if parser.status in (429, 503) else "failed"), retry_after_ms
        except PatienceExceeded:
            self.unanswered += 1
            return "left", 0.0
        except (OSError, http1.HttpError, ValueError):
            return "failed", 0.0
        finally:
            if sock is not None and not (parser.status == 200 and parser.complete and parser.reusable):
                sock.close()

    def _stream(self, record: Record, sock: Any, parser: Any, body: bytes, target: int) -> str:
        """Read a stream to its end."""
        record.first_ms = self.now() - record.planned.at_ms
        buffer = bytearray(65_536)
        tail = body
        sock.settimeout(STREAM_TIMEOUT_S)
        try:
            while not parser.complete:
                parser.read(sock, buffer)
                tail = (tail + b"".join(parser.take_body()))[-2048:]
        except (OSError, http1.HttpError):
            return "lost"
        if b"data: [DONE]" not in tail:
            return "lost"
        record.end_ms = self.now() - record.planned.at_ms
        record.made = record.planned.answer + record.planned.prompt - _cached_tokens(tail)
        if parser.reusable:
            self._keep(target, sock)
        return "served"

    def _connection(self, target: int) -> Any:
        idle = self.idle[target]
        return idle.pop() if idle else http1.connect(self.job.targets[target], CONNECT_TIMEOUT_S)

    def _keep(self, target: int, sock: Any) -> None:
        sock.settimeout(None)
        self.idle[target].append(sock)
        if len(self.idle[target]) > MAX_IDLE_CONNECTIONS:
            self.idle[target].popleft().close()

    def _request(self, one: PlannedRequest, name: str, patience_ms: float) -> bytes:
        text = b"a" * (one.prompt * self.job.token_bytes)
        body = b'{"model":"lab","stream":true,"lab_answer":%d,"messages":[{"role":"user","content":"%s"}]}'
        body %= (one.answer, text)
        facts = f"prompt_len={one.prompt},max_out={2 * one.answer}"
        if one.prefix:
            facts += f",prefix={one.prefix:x},prefix_len={one.shared}"
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {name}\r\n"
            f"X-Service-Class: {self.classes[one.cls]}\r\nX-Account: {self.tenants[one.tenant]}\r\n"
            f"X-Session-Key: {one.session:x}\r\nX-Time-Left-Ms: {int(patience_ms)}\r\n"
            f"X-Facts: {facts}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


def _cached_tokens(tail: bytes) -> int:
    """The cached prompt tokens that the end of a stream reports."""
    found = tail.rpartition(b'"cached_tokens":')[2]
    digits = found[: len(found) - len(found.lstrip(b"0123456789"))]
    return int(digits or b"0")


def worker() -> None:
    """Run one load process; it reads its job from standard input."""
    lines = FileObjectPosix(sys.stdin.fileno(), "rb", close=False)
    player = LoadWorker(msgspec.json.decode(lines.readline(), type=Job))

    def report(thing: Any) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(thing) + b"\n")
        sys.stdout.buffer.flush()

    def read_updates() -> None:
        while line := lines.readline():
            player.live_routers = msgspec.json.decode(line)["believed"]

    report({"ready": len(player.assigned)})
    begun = msgspec.json.decode(lines.readline())["begin"]
    readers = gevent.spawn(read_updates)
    report(player.play(begun, report))
    readers.kill()


class LoadGenerator:
    """Processes that send the scenario's requests, as a context manager."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        targets: list[tuple[str, int]],
        processes: int,
        token_bytes: int = 0,
    ) -> None:
        self.scenario, self.seed = scenario, seed
        command = [sys.executable, "-c", "from spoolbarrow.lab.load import worker; worker()"]
        self.processes: list[Any] = [
            subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) for _ in range(processes)
        ]
        self.progress: list[dict[str, int]] = [{} for _ in self.processes]
        self.results: list[Result] = []
        try:
            for n, one in enumerate(self.processes):
                job = Job(scenario, seed, n, processes, targets, token_bytes)
                self._write(one, msgspec.json.encode(job))
            for one in self.processes:
                if b"ready" not in one.stdout.readline():
                    raise OSError("a load process did not start")
        except BaseException:
            self._end()
            raise

    def _write(self, one: Any, line: bytes) -> None:
        one.stdin.write(line + b"\n")
        one.stdin.flush()

    def begin(self, begun: float) -> None:
        """Begin the scenario at this time of the monotonic clock, in seconds."""
        for one in self.processes:
            self._write(one, msgspec.json.encode({"begin": begun}))
        self.readers = [gevent.spawn(self._read_worker, n) for n in range(len(self.processes))]

    def set_live_routers(self, routers: list[int]) -> None:
        """Send to these routers from now on."""
        for one in self.processes:
            if one.poll() is None:
                self._write(one, msgspec.json.encode({"believed": routers}))

    def _read_worker(self, number: int) -> None:
        while line := self.processes[number].stdout.readline():
            if line.startswith(b'{"records"'):
                self.results.append(msgspec.json.decode(line, type=Result))
            else:
                self.progress[number] = msgspec.json.decode(line)

    def wait(self) -> tuple[list[Record], dict[str, Any]]:
        """Wait for the end; all records and the figures of the load itself. OSError if a process died."""
        gevent.joinall(self.readers)
        if len(self.results) < len(self.processes):
            raise OSError("a load process ended without a result")
        all_records = records(self.scenario, self.seed)
        times = {name: histogram() for name in ("late", "first", "whole")}
        for result in self.results:
            for n, outcome, first, end, tries, made in result.records:
                r = all_records[n]
                r.outcome, r.first_ms, r.end_ms, r.tries, r.made = outcome, first, end, tries, made
            for name, merged in times.items():
                merged.decode_and_add(getattr(result, name).encode())
        late_share = sum(r.late_share * len(r.records) for r in self.results) / max(1, len(all_records))
        percentiles = {
            f"{name}_ms_p{p:g}": round(merged.get_value_at_percentile(p) / 1000.0, 3)
            for name, merged in times.items()
            for p in (50, 90, 99, 99.9)
        }
        kept = late_share <= 0.01
        unanswered = sum(result.unanswered for result in self.results)
        return all_records, {
            "sent_late_share": round(late_share, 6),
            "kept_its_schedule": kept,
            "unanswered": unanswered,
        } | percentiles

    def _end(self) -> None:
        for one in self.processes:
            if one.poll() is None:
                one.kill()
            one.wait()

    def __enter__(self) -> LoadGenerator:
        """Return the processes, ready to begin."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End the processes that still run."""
        self._end()
