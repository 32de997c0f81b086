"""Sends copies of live requests to candidates and records pairs of answers, as an observer of live traffic.

Owns the connections to the candidate pool, and the pairs of which one answer is still missing. The decisions
are made by `copy_controller.CopyController`. Nothing that serves live traffic ever waits for this module.
"""

from __future__ import annotations

import os
import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import gevent
import orjson
from gevent.event import Event
from gevent.socket import socket

from spoolbarrow import interface as i
from spoolbarrow.config import Address, CannotWrite, Config, ConfigError, parse_address
from spoolbarrow.net import http1
from spoolbarrow.net.endpoint_client import EVENT_STREAM_TYPE, UNPROCESSED_HEADER
from spoolbarrow.net.excluded_endpoints import Excluded
from spoolbarrow.net.host import Host
from spoolbarrow.net.load_report import LOAD_HEADER, parse_load
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.observers import Observer
from spoolbarrow.net.request import Attempt, Request
from spoolbarrow.operator import ShadowTable, index_of
from spoolbarrow.shadow import copy_controller
from spoolbarrow.shadow.answer_recorder import AnswerRecorder
from spoolbarrow.spool import Spool

SPOOL_SUFFIX = ".pairs.zst"
RECV_BYTES = 16_384  # per read
READ_PAUSE_S = 0.002  # after each read of a long answer, to yield the event loop to other greenlets
RESOURCES_INTERVAL_S = 0.5  # between measurements of descriptors, memory and processor time
COUNTS_INTERVAL_S = 10.0  # between log lines with counts
RECENT_WINDOW_MS = 5000.0  # older refusals and load reports are ignored
MAX_RECENT = 4096  # requests counted at most for the share of refusals
DESCRIPTORS_DIVISOR = 8  # copies may use at most 1/8 of the machine's descriptors
MAX_PAIRS = 128  # incomplete pairs; each may hold the texts of two answers
PAIRS_PER_FRAME = 256  # pairs written as one frame
CLOSE_TIMEOUT_S = 0.2
SHADOW_MARK = "spoolbarrow-shadow"


class Prepared:
    """Settings, validated as far as possible without applying them."""

    def __init__(self, table: ShadowTable, config: Config) -> None:
        self.table = table
        self.limits = _limits(table, config)
        self.key = _key(table)
        self.text_tenants = frozenset(
            index_of(config.tenants, name, "shadow.text_for") for name in table.text_for
        )
        self.addresses = {}
        for n, text in enumerate(table.candidates):
            self.addresses[text] = parse_address(f"shadow.candidates[{n}]", text)
        if table.in_flight > config.max_outbound // DESCRIPTORS_DIVISOR:
            raise ConfigError(
                f"shadow.in_flight: more than {config.max_outbound // DESCRIPTORS_DIVISOR} here"
            )
        if table.directory and not os.access(table.directory, os.W_OK | os.X_OK):
            raise CannotWrite(f"shadow.directory: {table.directory}: no directory that can be written")
        if not (table.candidates or table.candidate_type or table.candidate_group >= 0):
            raise ConfigError("shadow.candidates: none, and no shadow.candidate_type or candidate_group")


def _key(table: ShadowTable) -> bytes:
    """The key of the digests, which must be the same at all routers whose spools are compared."""
    if not table.key_file:
        return os.urandom(32)  # valid for this run only: the two answers of a pair remain comparable
    try:
        key = Path(table.key_file).read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"shadow.key_file: {table.key_file}: {error.strerror}") from error
    if len(key) < 16:
        raise ConfigError("shadow.key_file: at least 16 bytes are needed")
    return key


def _limits(table: ShadowTable, config: Config) -> copy_controller.Limits:
    repeatable = {n for n, cls in enumerate(config.settings.classes) if cls.effect is i.Effect.SAFE}
    copied_classes = {
        index_of(config.classes, name, "shadow.classes") for name in table.classes
    } or repeatable
    if not copied_classes <= repeatable:
        raise ConfigError("shadow.classes: only classes that may be repeated can be copied")
    excluded_classes = {index_of(config.classes, name, "shadow.not_classes") for name in table.not_classes}
    tenants = {index_of(config.tenants, name, "shadow.tenants") for name in table.tenants}
    excluded_tenants = {index_of(config.tenants, name, "shadow.not_tenants") for name in table.not_tenants}
    tenants_or_all = tenants or set(config.tenants.values()) or {0}
    shares: dict[tuple[int, int], float] = {}
    for n, share_table in enumerate(table.shares):
        key = f"shadow.shares[{n}]"
        name = share_table.cls
        classes = [index_of(config.classes, name, f"{key}.class")] if name else config.classes.values()
        share_tenants = (
            [index_of(config.tenants, share_table.tenant, f"{key}.tenant")]
            if share_table.tenant
            else tenants_or_all
        )
        shares |= {(cls, tenant): share_table.share for cls in classes for tenant in share_tenants}
    return copy_controller.Limits(
        share=table.share,
        shares=shares,
        classes=frozenset(copied_classes - excluded_classes),
        tenants=frozenset(tenants_or_all - excluded_tenants),
        begin_ms=table.begin.timestamp() * 1000 if table.begin else 0.0,
        end_ms=table.end.timestamp() * 1000 if table.end else float("inf"),
        salt=table.salt.encode(),
        in_flight=table.in_flight,
        engine_in_flight=table.engine_in_flight,
        requests_per_s=table.requests_per_s,
        prompt_tokens_per_s=table.prompt_tokens_per_s,
        answer_tokens_per_s=table.answer_tokens_per_s,
        held_bytes=table.held_bytes,
        deadline_ms=table.deadline_ms,
        slow_first_ms=table.slow_first_ms,
        bad_copies=table.bad_copies,
        open_ms=table.open_ms,
        most_open_ms=table.most_open_ms,
        cold_from=config.settings.cold_from,
        cold_ms=config.settings.cold_ms,
    )


class _AnswerPair:
    """A live answer and the answer to its copy, until both have ended."""

    def __init__(self, request: Request, facts: i.RequestArrived, engine: str, now: float) -> None:
        self.cls, self.tenant, self.prompt_tokens = request.cls, request.tenant, facts.prompt_tokens
        self.engine = engine
        # Times count from when the request was written to its engine, so without this router's own work.
        self.sent_at: dict[int, float] = {}  # by number of the live attempt; few entries
        self.copy_sent_at = now
        self.live, self.copy = AnswerRecorder(), AnswerRecorder()
        self.live_result: dict[str, Any] | None = None
        self.copy_result: dict[str, Any] | None = None


class CopyFailed(Exception):
    """A copy failed; the text is the reason."""


class CopyMoot(Exception):
    """A copy ended without evidence about the candidate."""


class Copier(Observer):
    """Copies the live traffic of one router."""

    def __init__(self, host: Host, prepared: Prepared) -> None:
        self._host = host
        self._prepared = prepared
        self._controller = copy_controller.CopyController(host.now(), prepared.limits, host.config.seed)
        self._greenlets: dict[str, Any] = {}  # of copies in flight
        self._pairs: dict[str, _AnswerPair] = {}
        self._addresses: dict[str, Address] = {}
        # Of the last requests: end time, and whether refused.
        self._recent_outcomes: deque[tuple[float, bool]] = deque(maxlen=MAX_RECENT)
        # By live engine: time and unread tokens of its last report.
        self._unread_by_engine: dict[str, tuple[float, float]] = {}
        self._resources = {"descriptors_share": 0.0, "memory_share": 0.0, "cpu_share": 0.0}
        self._logged_drops: Counter[str] = Counter()
        self.pairs = self.pairs_dropped = 0
        self._writer: Writer | None = None
        self.apply(prepared)
        host.observers.add(self)
        self._tick_greenlet = gevent.spawn(self._run_ticks)

    def apply(self, prepared: Prepared) -> None:
        """Apply new settings; with a share of 0 all copies are cancelled at once."""
        self._prepared, table = prepared, prepared.table
        self._apply_actions(self._controller.configure(self._host.now(), prepared.limits))
        self._host.destinations.exclude(table.candidate_type, table.candidate_group, self._on_candidates)
        if self._writer is not None and str(self._writer.directory) != table.directory:
            gevent.spawn(self._writer.close, CLOSE_TIMEOUT_S)
            self._writer = None
        if table.directory and self._writer is None:
            self._writer = Writer(Path(table.directory), table.file_bytes, table.file_ms, table.file_keep)

    def stop(self) -> None:
        """Cancel all copies at once and start no more."""
        self._host.observers.remove(self)
        self._tick_greenlet.kill()
        self._apply_actions(self._controller.stop(self._host.now()))
        self._host.destinations.exclude("", -1, lambda entries: None)
        self._pairs.clear()
        self._log_counts()

    def close(self) -> None:
        """Write the complete pairs, within a short timeout."""
        if self._writer is not None:
            self._writer.close(CLOSE_TIMEOUT_S)

    # Live traffic

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """Decide whether to copy the request, and start its copy."""
        message, now = request.message, self._host.now()
        event = copy_controller.RequestReceived(
            request.key,
            request.cls,
            request.tenant,
            facts.session,
            facts.prompt_tokens,
            facts.max_answer_tokens,
            len(message.body),
            b"x-repeat" in message.fields,
        )
        if len(self._pairs) >= MAX_PAIRS and self._controller.wanted(now, event):
            self._controller.dropped["pairs waiting"] += 1
            return
        for action in self._controller.handle(now, [event]):
            if isinstance(action, copy_controller.SendCopy):
                self._pairs[request.key] = _AnswerPair(request, facts, action.engine, now)
                # The body is shared with the live request, and released once the copy has been written.
                copy = (request.key, message, action.engine, action.deadline_ms)
                self._greenlets[request.key] = gevent.spawn(self._run_copy, *copy)
            else:
                self._apply_actions([action])

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """Record a part of the live answer."""
        pair = self._pairs.get(request.key)
        if pair is not None:
            now, stream = self._host.now(), request.serving_attempt
            sent_at = pair.sent_at.get(stream.number, now) if stream is not None else now
            pair.live.feed(b"".join(parts), now - sent_at)

    def attempt_sent(self, attempt: Attempt) -> None:
        """Start the clock of the live answer."""
        pair = self._pairs.get(attempt.request.key)
        if pair is not None:
            pair.sent_at[attempt.number] = self._host.now()

    def probe_answered(self, endpoint: str, report: i.Report) -> None:
        """Record the load that a live engine reports."""
        if report.unread_tokens >= 0:
            self._unread_by_engine[endpoint] = (self._host.now(), report.unread_tokens)

    def request_over(self, request: Request, now: float) -> None:
        """The live answer ended; if its client disconnected there is nothing to compare with."""
        self._recent_outcomes.append((now, request.answer_kind == "fail_fast"))
        pair = self._pairs.get(request.key)
        if pair is None:
            return
        if request.answer_kind == "left":
            self._discard_pair(request.key)
            greenlet = self._greenlets.get(request.key)
            if greenlet is not None:
                self._on_copy_ended(request.key, False, "live client left", moot=True)
                greenlet.kill(block=False)
            return
        engine = request.serving_attempt.endpoint if request.serving_attempt else ""
        pair.live_result = {
            "outcome": request.answer_kind,
            "engine": engine,
            "attempts": len(request.attempts),
        }
        self._write_if_complete(request.key, pair)

    # Candidates

    def _on_candidates(self, entries: list[Excluded]) -> None:
        """Combine configured candidates with those of discovery: name, address, whether in service, start."""
        engines = [copy_controller.Engine(name) for name in self._prepared.addresses]
        self._addresses = dict(self._prepared.addresses)
        for name, address, serving, started in entries:
            engines.append(copy_controller.Engine(name, serving, started))
            self._addresses[name] = address
        self._apply_actions(
            self._controller.handle(self._host.now(), [copy_controller.CandidatePool(tuple(engines))])
        )

    def _run_copy(self, key: str, message: http1.Message, engine: str, deadline_ms: float) -> None:
        good, why, moot = False, "", False
        try:
            with gevent.Timeout(deadline_ms / 1000):
                self._exchange(key, message, engine, deadline_ms)
            good = True
        except gevent.Timeout:
            why = "deadline"
        except CopyMoot as error:
            why, moot = str(error), True
        except (OSError, http1.HttpError, CopyFailed) as error:
            why = str(error) if isinstance(error, CopyFailed) else f"{type(error).__name__}: {error}"
        except gevent.GreenletExit:
            return  # cancelled: already reported
        except Exception as error:
            log_exception("copy", error)
            why = "unexpected"
        self._on_copy_ended(key, good, why, moot)

    def _exchange(self, key: str, message: http1.Message, engine: str, deadline_ms: float) -> None:
        address = self._addresses.get(engine)
        if address is None:
            raise CopyMoot("engine gone")
        body, pair, table = message.body, self._pairs[key], self._prepared.table
        connect_s = self._host.config.connect_timeout_ms / 1000
        with http1.connect(address, connect_s) as sock:
            marked = http1.Message(
                method=message.method,
                target=message.target,
                body=body,
                headers=[*message.headers, (table.header.encode(), SHADOW_MARK.encode())],
            )
            http1.send_pieces(sock, http1.request_pieces(marked, address, int(deadline_ms)))
            pair.copy_sent_at = self._host.now()
            del body, marked, message
            self._read(key, sock, pair, engine, table.answer_bytes)

    def _read(self, key: str, sock: socket, pair: _AnswerPair, engine: str, max_bytes: int) -> None:
        options = self._host.config.options
        parser, buffer, size = http1.ResponseParser(options.max_head, max_bytes), bytearray(RECV_BYTES), 0
        while not parser.complete:
            parser.read(sock, buffer)
            parts = parser.take_body()
            size += sum(map(len, parts))
            if size > max_bytes:
                raise CopyFailed("answer too large")
            if parser.head_complete and parser.status != 200:
                if parser.status in (400, 404, 405, 413, 422):
                    raise CopyMoot(f"answered {parser.status}")  # the client's error, not the candidate's
                unprocessed = parser.status in (503, 504) and parser.fields.get(UNPROCESSED_HEADER) == b"1"
                raise CopyFailed("turned away" if unprocessed else f"answered {parser.status}")
            if parser.head_complete and not parser.fields.get(b"content-type", b"").lower().startswith(
                EVENT_STREAM_TYPE
            ):
                raise CopyFailed("no stream of events")
            if parts:
                now = self._host.now()
                if not pair.copy.octets:
                    self._apply_actions(self._controller.handle(now, [copy_controller.CopyStarted(key)]))
                pair.copy.feed(b"".join(parts), now - pair.copy_sent_at)
                gevent.sleep(READ_PAUSE_S if size > max_bytes // 4 else 0)
        report = parse_load(parser.fields.get(LOAD_HEADER, b""))
        if report is not None and report.unread_tokens >= 0:
            load = copy_controller.LoadReport(engine, report.unread_tokens)
            self._apply_actions(self._controller.handle(self._host.now(), [load]))
        if not pair.copy.whole:
            raise CopyFailed("no end of the stream")

    def _on_copy_ended(self, key: str, good: bool, why: str, moot: bool = False) -> None:
        self._greenlets.pop(key, None)
        self._apply_actions(
            self._controller.handle(self._host.now(), [copy_controller.CopyEnded(key, good, why, moot)])
        )
        pair = self._pairs.get(key)
        if pair is not None:
            pair.copy_result = {"outcome": "served" if good else "failed", "why": why, "engine": pair.engine}
            self._write_if_complete(key, pair)

    def _apply_actions(self, actions: list[copy_controller.Action]) -> None:
        for action in actions:
            if isinstance(action, copy_controller.CancelCopy):
                greenlet = self._greenlets.pop(action.request, None)
                if greenlet is not None:
                    greenlet.kill(block=False)
                pair = self._pairs.get(action.request)
                if pair is not None:
                    pair.copy_result = {"outcome": "abandoned", "why": action.why, "engine": pair.engine}
                    self._write_if_complete(action.request, pair)
            elif isinstance(action, copy_controller.LogEvent):
                log("shadow", what=action.what, why=action.why)

    # Pairs

    def _write_if_complete(self, key: str, pair: _AnswerPair) -> None:
        """Write a pair once both answers have ended."""
        if pair.live_result is None or pair.copy_result is None:
            return
        del self._pairs[key]
        if self._writer is None:
            return
        config, secret = self._host.config, self._prepared.key
        with_text = pair.tenant in self._prepared.text_tenants
        classes = {n: name for name, n in config.classes.items()}
        tenants = {n: name for name, n in config.tenants.items()}
        line = {
            "time": round(time.time(), 3),
            "router": config.name,
            "request": key,
            "class": classes.get(pair.cls, str(pair.cls)),
            "tenant": tenants.get(pair.tenant, str(pair.tenant)),
            "prompt_tokens": pair.prompt_tokens,
            "live": pair.live_result | pair.live.to_record(secret, with_text),
            "copy": pair.copy_result | pair.copy.to_record(secret, with_text),
        }
        if self._writer.add(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)):
            self.pairs += 1
        else:
            self.pairs_dropped += 1

    def _discard_pair(self, key: str) -> None:
        self._pairs.pop(key, None)

    # Pressure

    def _run_ticks(self) -> None:
        wait = copy_controller.TICK_MS / 1000
        measured_at = logged_at = time.monotonic()
        cpu_used = time.process_time()
        while True:
            due = time.monotonic() + wait
            gevent.sleep(wait)
            now = time.monotonic()
            try:
                if now - measured_at >= RESOURCES_INTERVAL_S:
                    cpu_now = time.process_time()
                    self._resources = self._measure_resources((cpu_now - cpu_used) / (now - measured_at))
                    measured_at, cpu_used = now, cpu_now
                self._apply_actions(
                    self._controller.handle(self._host.now(), [self._pressure((now - due) * 1000.0)])
                )
                if now - logged_at >= COUNTS_INTERVAL_S:
                    logged_at = now
                    self._log_counts()
            except Exception as error:
                log_exception("shadow", error)

    def _pressure(self, lag_ms: float) -> copy_controller.Pressure:
        since = self._host.now() - RECENT_WINDOW_MS
        while self._recent_outcomes and self._recent_outcomes[0][0] < since:
            self._recent_outcomes.popleft()
        self._unread_by_engine = {
            name: last for name, last in self._unread_by_engine.items() if last[0] >= since
        }
        refused = (
            sum(refused for _, refused in self._recent_outcomes) / len(self._recent_outcomes)
            if self._recent_outcomes
            else 0.0
        )
        unread = [tokens for _, tokens in self._unread_by_engine.values()]
        mean = sum(unread) / len(unread) if unread else 0.0
        return copy_controller.Pressure(
            lag_ms=lag_ms, refused_share=refused, unread_tokens=mean, **self._resources
        )

    def _measure_resources(self, cpu_share: float) -> dict[str, float]:
        limits = self._host.config.limits
        descriptors = len(os.listdir("/proc/self/fd")) / limits.sockets
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        memory = pages * os.sysconf("SC_PAGE_SIZE") / (limits.memory_mb * 1024 * 1024)
        cores = min(limits.cores, 1.0)  # this process uses at most one core
        return {"descriptors_share": descriptors, "memory_share": memory, "cpu_share": cpu_share / cores}

    def _log_counts(self) -> None:
        """Log totals of copies and pairs, and the drops by reason since the last line."""
        dropped = self._controller.dropped - self._logged_drops
        self._logged_drops = Counter(self._controller.dropped)
        log(
            "shadow_counts",
            copied=self._controller.copied,
            pairs=self.pairs,
            pairs_dropped=self.pairs_dropped,
            out=len(self._greenlets),
            allowance=round(self._controller.allowance.value, 3),
            breaker=self._controller.breaker.state.name.lower(),
            dropped=dict(dropped),
        )


class Writer:
    """Writes lines to the spool from a bounded buffer, with a greenlet and a thread."""

    MAX_WAITING_BYTES = 4 << 20  # of waiting lines

    def __init__(self, directory: Path, file_bytes: int, file_ms: float, keep: int) -> None:
        self.directory = directory
        self._file_bytes, self._file_ms = file_bytes, file_ms
        self._spool = Spool(directory, SPOOL_SUFFIX, keep)
        self._lines: deque[bytes] = deque()
        self._held_bytes = 0
        self._woken, self._closing = Event(), Event()
        self._greenlet = gevent.spawn(self._run)

    def add(self, line: bytes) -> bool:
        """Buffer a line; False if there is no room."""
        if self._held_bytes + len(line) > self.MAX_WAITING_BYTES:
            return False
        self._lines.append(line)
        self._held_bytes += len(line)
        self._woken.set()
        return True

    def close(self, within_s: float) -> None:
        """Write the waiting lines and complete the file, as far as the time allows."""
        self._closing.set()
        self._woken.set()
        self._greenlet.join(within_s)
        self._greenlet.kill()

    def _run(self) -> None:
        apply: Callable[..., Any] = gevent.get_hub().threadpool.apply
        self._log_os_errors(partial(apply, self._spool.set_aside_leftovers))
        while True:
            self._woken.clear()
            while self._lines:
                batch = [self._lines.popleft() for _ in range(min(PAIRS_PER_FRAME, len(self._lines)))]
                data = b"".join(batch)
                self._held_bytes -= len(data)
                if not self._log_os_errors(partial(apply, self._spool.append, (data,))):
                    self._log_os_errors(partial(apply, self._spool.abandon))
                if self._spool.size_bytes >= self._file_bytes:
                    self._log_os_errors(partial(apply, self._spool.complete))
            old = time.time() * 1000.0 - self._spool.opened_ms >= self._file_ms
            if old or self._closing.is_set():
                self._log_os_errors(partial(apply, self._spool.complete))
            # A line that was added while the thread completed the file would otherwise be lost at the end.
            if self._closing.is_set() and not self._lines:
                return
            self._woken.wait(1.0)
            self._closing.wait(0.2)  # batches lines that follow shortly

    def _log_os_errors(self, call: Callable[[], Any]) -> bool:
        try:
            call()
        except OSError as error:
            log("shadow_spool", directory=str(self.directory), why=str(error))
            return False
        return True
