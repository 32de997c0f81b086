"""Copies sent and pairs kept: an observer of the taps, with connections and greenlets of its own.

Owns what is out towards the candidate pool, and the pairs of answers whose halves have not both come. The
decisions are `copy_controller.CopyController`'s; nothing that serves live traffic ever waits for anything here.
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
from spoolbarrow.net.host import Host
from spoolbarrow.net.load_report import LOAD_HEADER, parse_load
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.observers import Observer
from spoolbarrow.net.request import Attempt, Request
from spoolbarrow.operator import ShadowTable, index_of
from spoolbarrow.shadow import copy_controller
from spoolbarrow.shadow.answer_recorder import AnswerRecorder
from spoolbarrow.spool import Spool

ENDING = ".pairs.zst"
RECV = 16_384  # bytes read at once
READ_PAUSE_S = 0.002  # after a read that was full: one that pours leaves the loop to the others
SLOW_S = 0.5  # between looks at descriptors, memory and processor time
SAY_S = 10.0  # between lines with counts
RECENT_MS = 5000.0  # refusals and reports so old say nothing of now
MOST_RECENT = 4096  # requests remembered for the share of refusals
DESCRIPTORS_SHARE = 8  # of the machine's, one part in so many may be copies
MOST_PAIRS = 128  # whose live half is not over: each may hold two answers' text
WRITE_AT_ONCE = 256  # pairs in one frame
CLOSE_S = 0.2
CHAT = "spoolbarrow-shadow"


class Prepared:
    """Settings that were checked as far as that goes without using them."""

    def __init__(self, table: ShadowTable, config: Config) -> None:
        self.table = table
        self.limits = _limits(table, config)
        self.key = _key(table)
        self.texts = frozenset(index_of(config.tenants, name, "shadow.text_for") for name in table.text_for)
        self.addresses = {}
        for n, text in enumerate(table.candidates):
            self.addresses[text] = parse_address(f"shadow.candidates[{n}]", text)
        if table.in_flight > config.max_outbound // DESCRIPTORS_SHARE:
            raise ConfigError(f"shadow.in_flight: more than {config.max_outbound // DESCRIPTORS_SHARE} here")
        if table.directory and not os.access(table.directory, os.W_OK | os.X_OK):
            raise CannotWrite(f"shadow.directory: {table.directory}: no directory that can be written")
        if not (table.candidates or table.candidate_type or table.candidate_group >= 0):
            raise ConfigError("shadow.candidates: none, and no shadow.candidate_type or candidate_group")


def _key(table: ShadowTable) -> bytes:
    """The key of the digests: the same at every router whose spools are compared."""
    if not table.key_file:
        return os.urandom(32)  # of this run alone: pairs within one line still compare
    try:
        key = Path(table.key_file).read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"shadow.key_file: {table.key_file}: {error.strerror}") from error
    if len(key) < 16:
        raise ConfigError("shadow.key_file: at least 16 bytes are needed")
    return key


def _limits(table: ShadowTable, config: Config) -> copy_controller.Limits:
    repeatable = {n for n, cls in enumerate(config.settings.classes) if cls.effect is i.Effect.SAFE}
    allowed = {index_of(config.classes, name, "shadow.classes") for name in table.classes} or repeatable
    if not allowed <= repeatable:
        raise ConfigError("shadow.classes: only classes that may be repeated can be copied")
    denied = {index_of(config.classes, name, "shadow.not_classes") for name in table.not_classes}
    tenants = {index_of(config.tenants, name, "shadow.tenants") for name in table.tenants}
    refused = {index_of(config.tenants, name, "shadow.not_tenants") for name in table.not_tenants}
    everyone = tenants or set(config.tenants.values()) or {0}
    shares: dict[tuple[int, int], float] = {}
    for n, told in enumerate(table.shares):
        key = f"shadow.shares[{n}]"
        name = told.cls
        classes = [index_of(config.classes, name, f"{key}.class")] if name else config.classes.values()
        of = [index_of(config.tenants, told.tenant, f"{key}.tenant")] if told.tenant else everyone
        shares |= {(cls, tenant): told.share for cls in classes for tenant in of}
    return copy_controller.Limits(
        share=table.share,
        shares=shares,
        classes=frozenset(allowed - denied),
        tenants=frozenset(everyone - refused),
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


class _Pair:
    """A live answer and its copy, until both are over."""

    def __init__(self, request: Request, facts: i.RequestArrived, engine: str, now: float) -> None:
        self.cls, self.tenant, self.prompt_tokens = request.cls, request.tenant, facts.prompt_tokens
        self.engine = engine
        # Times count from when a request was written to its engine: what this router did before is its own.
        self.sent: dict[int, float] = {}  # by the live attempt's number; few
        self.copy_sent = now
        self.live, self.copy = AnswerRecorder(), AnswerRecorder()
        self.live_told: dict[str, Any] | None = None
        self.copy_told: dict[str, Any] | None = None


class Failed(Exception):
    """A copy that went badly; its text says why."""


class Moot(Exception):
    """A copy that tells nothing of the candidate."""


class Copier(Observer):
    """Shadow traffic of one router."""

    def __init__(self, host: Host, prepared: Prepared) -> None:
        self._host = host
        self._prepared = prepared
        self._decider = copy_controller.CopyController(host.now(), prepared.limits, host.config.seed)
        self._greenlets: dict[str, Any] = {}  # copies that are out
        self._pairs: dict[str, _Pair] = {}
        self._addresses: dict[str, Address] = {}
        self._recent: deque[tuple[float, bool]] = deque(maxlen=MOST_RECENT)  # when over, and whether refused
        self._unread: dict[str, tuple[float, float]] = {}  # by live engine: when told, and how much
        self._slow = {"descriptors_share": 0.0, "memory_share": 0.0, "cpu_share": 0.0}
        self._said: Counter[str] = Counter()
        self.pairs = self.pairs_dropped = 0
        self._writer: Writer | None = None
        self.apply(prepared)
        host.observers.add(self)
        self._ticker = gevent.spawn(self._tick)

    def apply(self, prepared: Prepared) -> None:
        """Go by other settings; with a share of 0 every copy ends now."""
        self._prepared, table = prepared, prepared.table
        self._act(self._decider.configure(self._host.now(), prepared.limits))
        self._host.destinations.exclude(table.candidate_type, table.candidate_group, self._pooled)
        if self._writer is not None and str(self._writer.directory) != table.directory:
            gevent.spawn(self._writer.close, CLOSE_S)
            self._writer = None
        if table.directory and self._writer is None:
            self._writer = Writer(Path(table.directory), table.file_bytes, table.file_ms, table.file_keep)

    def stop(self) -> None:
        """End every copy at once, and begin no other."""
        self._host.observers.remove(self)
        self._ticker.kill()
        self._act(self._decider.stop(self._host.now()))
        self._host.destinations.exclude("", -1, lambda entries: None)
        self._pairs.clear()
        self._say()

    def close(self) -> None:
        """Keep the pairs that are whole, as far as the disk takes them soon."""
        if self._writer is not None:
            self._writer.close(CLOSE_S)

    # Live traffic

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """Whether it is copied, and then its copy."""
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
        if len(self._pairs) >= MOST_PAIRS and self._decider.wanted(now, event):
            self._decider.dropped["pairs waiting"] += 1
            return
        for action in self._decider.handle(now, [event]):
            if isinstance(action, copy_controller.SendCopy):
                self._pairs[request.key] = _Pair(request, facts, action.engine, now)
                # The body is the live request's own, held once; it is let go when the copy is written.
                copy = (request.key, message, action.engine, action.deadline_ms)
                self._greenlets[request.key] = gevent.spawn(self._copy, *copy)
            else:
                self._act([action])

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """The live half of a pair."""
        pair = self._pairs.get(request.key)
        if pair is not None:
            now, stream = self._host.now(), request.serving_attempt
            begun = pair.sent.get(stream.number, now) if stream is not None else now
            pair.live.feed(b"".join(parts), now - begun)

    def attempt_sent(self, attempt: Attempt) -> None:
        """From here on the live answer's time counts."""
        pair = self._pairs.get(attempt.request.key)
        if pair is not None:
            pair.sent[attempt.number] = self._host.now()

    def probe_answered(self, endpoint: str, report: i.Report) -> None:
        """How full live engines are."""
        if report.unread_tokens >= 0:
            self._unread[endpoint] = (self._host.now(), report.unread_tokens)

    def request_over(self, request: Request, now: float) -> None:
        """The live half is over; where its client left there is nothing to compare with."""
        self._recent.append((now, request.answer_kind == "fail_fast"))
        pair = self._pairs.get(request.key)
        if pair is None:
            return
        if request.answer_kind == "left":
            self._drop(request.key)
            greenlet = self._greenlets.get(request.key)
            if greenlet is not None:
                self._ended(request.key, False, "live client left", moot=True)
                greenlet.kill(block=False)
            return
        engine = request.serving_attempt.endpoint if request.serving_attempt else ""
        pair.live_told = {"outcome": request.answer_kind, "engine": engine, "attempts": len(request.attempts)}
        self._keep(request.key, pair)

    # The candidates

    def _pooled(self, entries: list[tuple[str, Address, bool, float]]) -> None:
        """Discovery's candidates: name, address, whether in service, start; with the configured ones."""
        told = [copy_controller.Engine(name) for name in self._prepared.addresses]
        self._addresses = dict(self._prepared.addresses)
        for name, where, serving, started in entries:
            told.append(copy_controller.Engine(name, serving, started))
            self._addresses[name] = where
        self._act(self._decider.handle(self._host.now(), [copy_controller.CandidatePool(tuple(told))]))

    def _copy(self, key: str, message: http1.Message, engine: str, deadline_ms: float) -> None:
        good, why, moot = False, "", False
        try:
            with gevent.Timeout(deadline_ms / 1000):
                self._exchange(key, message, engine, deadline_ms)
            good = True
        except gevent.Timeout:
            why = "deadline"
        except Moot as error:
            why, moot = str(error), True
        except (OSError, http1.HttpError, Failed) as error:
            why = str(error) if isinstance(error, Failed) else f"{type(error).__name__}: {error}"
        except gevent.GreenletExit:
            return  # abandoned: told already
        except Exception as error:
            log_exception("copy", error)
            why = "unexpected"
        self._ended(key, good, why, moot)

    def _exchange(self, key: str, message: http1.Message, engine: str, deadline_ms: float) -> None:
        where = self._addresses.get(engine)
        if where is None:
            raise Moot("engine gone")
        body, pair, table = message.body, self._pairs[key], self._prepared.table
        connect_s = self._host.config.connect_timeout_ms / 1000
        with http1.connect(where, connect_s) as sock:
            marked = http1.Message(
                method=message.method,
                target=message.target,
                body=body,
                headers=[*message.headers, (table.header.encode(), CHAT.encode())],
            )
            http1.send_pieces(sock, http1.request_pieces(marked, where, int(deadline_ms)))
            pair.copy_sent = self._host.now()
            del body, marked, message
            self._read(key, sock, pair, engine, table.answer_bytes)

    def _read(self, key: str, sock: socket, pair: _Pair, engine: str, most: int) -> None:
        options = self._host.config.options
        parser, buffer, size = http1.ResponseParser(options.max_head, most), bytearray(RECV), 0
        while not parser.complete:
            parser.read(sock, buffer)
            parts = parser.take_body()
            size += sum(map(len, parts))
            if size > most:
                raise Failed("answer too large")
            if parser.head_complete and parser.status != 200:
                if parser.status in (400, 404, 405, 413, 422):
                    raise Moot(f"answered {parser.status}")  # its client's fault, not the candidate's
                full = parser.status in (503, 504) and parser.fields.get(UNPROCESSED_HEADER) == b"1"
                raise Failed("turned away" if full else f"answered {parser.status}")
            if parser.head_complete and not parser.fields.get(b"content-type", b"").lower().startswith(
                EVENT_STREAM_TYPE
            ):
                raise Failed("no stream of events")
            if parts:
                now = self._host.now()
                if not pair.copy.octets:
                    self._act(self._decider.handle(now, [copy_controller.CopyStarted(key)]))
                pair.copy.feed(b"".join(parts), now - pair.copy_sent)
                gevent.sleep(READ_PAUSE_S if size > most // 4 else 0)
        report = parse_load(parser.fields.get(LOAD_HEADER, b""))
        if report is not None and report.unread_tokens >= 0:
            told = copy_controller.LoadReport(engine, report.unread_tokens)
            self._act(self._decider.handle(self._host.now(), [told]))
        if not pair.copy.whole:
            raise Failed("no end of the stream")

    def _ended(self, key: str, good: bool, why: str, moot: bool = False) -> None:
        self._greenlets.pop(key, None)
        self._act(self._decider.handle(self._host.now(), [copy_controller.CopyEnded(key, good, why, moot)]))
        pair = self._pairs.get(key)
        if pair is not None:
            pair.copy_told = {"outcome": "served" if good else "failed", "why": why, "engine": pair.engine}
            self._keep(key, pair)

    def _act(self, actions: list[copy_controller.Action]) -> None:
        for action in actions:
            if isinstance(action, copy_controller.CancelCopy):
                greenlet = self._greenlets.pop(action.request, None)
                if greenlet is not None:
                    greenlet.kill(block=False)
                pair = self._pairs.get(action.request)
                if pair is not None:
                    pair.copy_told = {"outcome": "abandoned", "why": action.why, "engine": pair.engine}
                    self._keep(action.request, pair)
            elif isinstance(action, copy_controller.LogEvent):
                log("shadow", what=action.what, why=action.why)

    # Pairs

    def _keep(self, key: str, pair: _Pair) -> None:
        """Write a pair once both halves are over."""
        if pair.live_told is None or pair.copy_told is None:
            return
        del self._pairs[key]
        if self._writer is None:
            return
        config, secret = self._host.config, self._prepared.key
        with_text = pair.tenant in self._prepared.texts
        classes = {n: name for name, n in config.classes.items()}
        tenants = {n: name for name, n in config.tenants.items()}
        line = {
            "time": round(time.time(), 3),
            "router": config.name,
            "request": key,
            "class": classes.get(pair.cls, str(pair.cls)),
            "tenant": tenants.get(pair.tenant, str(pair.tenant)),
            "prompt_tokens": pair.prompt_tokens,
            "live": pair.live_told | pair.live.told(secret, with_text),
            "copy": pair.copy_told | pair.copy.told(secret, with_text),
        }
        if self._writer.add(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)):
            self.pairs += 1
        else:
            self.pairs_dropped += 1

    def _drop(self, key: str) -> None:
        self._pairs.pop(key, None)

    # Pressure

    def _tick(self) -> None:
        wait = copy_controller.TICK_MS / 1000
        looked = said = time.monotonic()
        used = time.process_time()
        while True:
            due = time.monotonic() + wait
            gevent.sleep(wait)
            now = time.monotonic()
            try:
                if now - looked >= SLOW_S:
                    spent = time.process_time()
                    self._slow = self._look((spent - used) / (now - looked))
                    looked, used = now, spent
                self._act(self._decider.handle(self._host.now(), [self._pressure((now - due) * 1000.0)]))
                if now - said >= SAY_S:
                    said = now
                    self._say()
            except Exception as error:
                log_exception("shadow", error)

    def _pressure(self, lag_ms: float) -> copy_controller.Pressure:
        since = self._host.now() - RECENT_MS
        while self._recent and self._recent[0][0] < since:
            self._recent.popleft()
        self._unread = {name: told for name, told in self._unread.items() if told[0] >= since}
        refused = sum(refused for _, refused in self._recent) / len(self._recent) if self._recent else 0.0
        unread = [tokens for _, tokens in self._unread.values()]
        mean = sum(unread) / len(unread) if unread else 0.0
        return copy_controller.Pressure(
            lag_ms=lag_ms, refused_share=refused, unread_tokens=mean, **self._slow
        )

    def _look(self, cpu_share: float) -> dict[str, float]:
        limits = self._host.config.limits
        descriptors = len(os.listdir("/proc/self/fd")) / limits.sockets
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        memory = pages * os.sysconf("SC_PAGE_SIZE") / (limits.memory_mb * 1024 * 1024)
        cores = min(limits.cores, 1.0)  # one is all that this program can use
        return {"descriptors_share": descriptors, "memory_share": memory, "cpu_share": cpu_share / cores}

    def _say(self) -> None:
        """What was copied and what was not, and why, since the last line."""
        dropped = self._decider.dropped - self._said
        self._said = Counter(self._decider.dropped)
        log(
            "shadow_counts",
            copied=self._decider.copied,
            pairs=self.pairs,
            pairs_dropped=self.pairs_dropped,
            out=len(self._greenlets),
            allowance=round(self._decider.allowance.value, 3),
            breaker=self._decider.breaker.state.name.lower(),
            dropped=dict(dropped),
        )


class Writer:
    """Lines on their way to the spool, bounded; a greenlet and a thread write them."""

    MOST_BYTES = 4 << 20  # waiting

    def __init__(self, directory: Path, file_bytes: int, file_ms: float, keep: int) -> None:
        self.directory = directory
        self._file_bytes, self._file_ms = file_bytes, file_ms
        self._spool = Spool(directory, ENDING, keep)
        self._lines: deque[bytes] = deque()
        self._held = 0
        self._woken, self._end = Event(), Event()
        self._greenlet = gevent.spawn(self._run)

    def add(self, line: bytes) -> bool:
        """Take a line; False where there is no room."""
        if self._held + len(line) > self.MOST_BYTES:
            return False
        self._lines.append(line)
        self._held += len(line)
        self._woken.set()
        return True

    def close(self, within_s: float) -> None:
        """Write what waits and complete the file, as far as that goes within the time."""
        self._end.set()
        self._woken.set()
        self._greenlet.join(within_s)
        self._greenlet.kill()

    def _run(self) -> None:
        apply: Callable[..., Any] = gevent.get_hub().threadpool.apply
        self._try(partial(apply, self._spool.set_aside_leftovers))
        while True:
            self._woken.clear()
            while self._lines:
                batch = [self._lines.popleft() for _ in range(min(WRITE_AT_ONCE, len(self._lines)))]
                data = b"".join(batch)
                self._held -= len(data)
                if not self._try(partial(apply, self._spool.append, (data,))):
                    self._try(partial(apply, self._spool.abandon))
                if self._spool.size_bytes >= self._file_bytes:
                    self._try(partial(apply, self._spool.complete))
            old = time.time() * 1000.0 - self._spool.opened_ms >= self._file_ms
            if old or self._end.is_set():
                self._try(partial(apply, self._spool.complete))
            # Guards against a line that came while the thread was at the file: it was lost at the end.
            if self._end.is_set() and not self._lines:
                return
            self._woken.wait(1.0)
            self._end.wait(0.2)  # what comes soon goes with it

    def _try(self, call: Callable[[], Any]) -> bool:
        try:
            call()
        except OSError as error:
            log("shadow_spool", directory=str(self.directory), why=str(error))
            return False
        return True
