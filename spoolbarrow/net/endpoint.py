"""Endpoints: the connections to them, attempts at requests, probes."""

from __future__ import annotations

import time
from collections import deque
from select import POLLIN
from typing import Protocol

import gevent
import msgspec
from gevent.socket import MSG_PEEK, socket

from spoolbarrow import interface as i
from spoolbarrow.config import Address, Config, Options
from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.destinations import DestinationSet
from spoolbarrow.net.log import log, unexpected
from spoolbarrow.net.request import Attempt
from spoolbarrow.net.taps import Side, Taps, Why
from spoolbarrow.wire import load_report

RECV = 65536  # bytes read at once
SETTLE_MS = 5.0  # a connection rests so long: a second answer straight after must not pass for the next
LONGEST_SETTLE_MS = 1000.0  # where an endpoint's unasked bytes came later, its connections rest longer
SETTLE_FACTOR = 4.0  # so many times as late as they came
TAIL = 4096  # bytes kept of a stream's end, where it tells its usage
DONE = b"\ndata: [DONE]"  # a stream's last event
LAST_CHUNK, END = b"\r\n0\r\n", b"0\r\n\r\n"  # with what is before it; to the end, without trailers
MOST_UNREAD = 1 << 20  # bytes in the kernel that are searched for a stream's end
NOT_RUN = b"x-unprocessed"
LOAD = b"x-backend-load"
KIND, STREAM = b"content-type", b"text/event-stream"
CLIENTS_FAULT = frozenset({400, 404, 405, 411, 413, 414, 415, 422, 431})  # others would say the same
SHORT_LOG_MS = 5000.0  # between lines of the log about a lack of connections
MAX_LOAD = 1e6  # nothing that is reported is larger
SHORT_NAMES = {"util": "load_share", "queue": "depth"}  # as sockets name them: the settings' names


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _Details | None = None


class _Event(msgspec.Struct):
    usage: _Usage | None = None


_event = msgspec.json.Decoder(_Event)


class NotSent(Exception):
    """The attempt was not written, or not wholly: it never ran."""


class Caller(Protocol):
    """Who has attempts and probes carried out, and hears what came of them."""

    taps: Taps

    def now(self) -> float:
        """The decisions' clock, ms."""

    def may_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may still be written, asked just before its first byte."""

    def claim(self, attempt: Attempt) -> bool:
        """An attempt's first event has come: whether it is the client's."""

    def ended(
        self, attempt: Attempt, outcome: i.Outcome, kept: int = 0, report: i.Report | None = None
    ) -> None:
        """The outcome of an attempt."""

    def probed(self, endpoint: str, outcome: i.Outcome, lag: float, report: i.Report | None) -> None:
        """The result of a probe."""

    def passes(self, underway: Underway) -> bool:
        """Between two chunks of a stream: whether it has just gone to another process of this router."""


class Connection:
    """One connection to an endpoint; one request at a time goes over it."""

    def __init__(self, endpoint: str, address: Address, sock: socket, number: int) -> None:
        self.endpoint, self.address, self.sock, self.number = endpoint, address, sock, number
        self.idle_since = 0.0

    def stale(self) -> bool:
        """Whether the other side closed it or said something unasked while it was idle."""
        return http1.polled(self.sock, POLLIN) != 0

    def unasked_ms(self, now: float) -> float:
        """How long after it became idle unasked bytes came, ms; 0 where none did."""
        try:
            spoke = bool(self.sock.recv(1, MSG_PEEK))  # else it is its end that was noticed
            return now - tcpinfo.last_received_ms(self.sock) - self.idle_since if spoke else 0.0
        except OSError:
            return 0.0


class Underway:
    """An attempt that was written, and its answer as far as it has come."""

    def __init__(self, attempt: Attempt, connection: Connection, parser: http1.ResponseParser) -> None:
        self.attempt, self.connection, self.parser = attempt, connection, parser
        self.tail = b""  # the last of what was passed on
        self.claimed = False  # its stream is the client's
        self.passing = False  # on its way to another process of this router

    def stays(self) -> bool:
        """Whether it must not be broken off: its endpoint has finished it, or another process may have it.

        Guards streams whose clients read slowly: their ends stand unread in the kernel. One whose last event
        has come ends at once; a silent endpoint is noticed as ever.
        """
        if self.passing or self.parser.whole or DONE in b"\n" + self.tail:
            return True
        try:
            unread = self.connection.sock.recv(MOST_UNREAD, MSG_PEEK) if self.connection.stale() else b""
        except OSError:
            return False
        # The last chunk, perhaps with trailers; of one that is half read the rest.
        last = LAST_CHUNK in b"\r\n" + unread[-TAIL:] and unread.endswith(b"\r\n\r\n")
        return last or (bool(unread) and END.endswith(unread))


class AnswerReader:
    """Reads an answer, each of its pieces in good time.

    Guards against spoilt answers whose connection stays open: nothing else would end them. An endpoint that
    writes a head or a chunk has the whole of it, so what has begun ends soon; time is needed between them.
    """

    def __init__(
        self, parser: http1.ResponseParser, sock: socket, buffer: bytearray, options: Options
    ) -> None:
        self._parser, self._sock, self._buffer, self._options = parser, sock, buffer, options
        self._piece, self._left_s = -1, 0.0  # the piece that has begun, and how long it may still take

    def read(self) -> None:
        """Parse what comes next; Fault where a piece does not end, TimeoutError where a stream stops."""
        parser = self._parser
        begun = parser.in_chunk or parser.in_size or (parser.begun and not parser.headed)
        if begun:
            if self._piece != parser.pieces:
                self._piece, self._left_s = parser.pieces, self._options.piece_ms / 1000
            # The time that its client needs to take it does not count: only that spent here.
            before = time.monotonic()
            try:
                self._sock.settimeout(max(self._left_s, 0.001))
                parser.read(self._sock, self._buffer)
            except TimeoutError:
                raise http1.Fault(502, "no end of a head or a chunk") from None
            self._left_s -= time.monotonic() - before
            if self._left_s <= 0 and self._piece == parser.pieces:
                raise http1.Fault(502, "no end of a head or a chunk")
        else:
            self._sock.settimeout(self._options.stream_silence_ms / 1000 if parser.headed else None)
            parser.read(self._sock, self._buffer)


class Pool:
    """Connections to all endpoints, within the machine's limit."""

    def __init__(self, config: Config, destinations: DestinationSet, host: Caller) -> None:
        self._destinations, self._host = destinations, host
        # By endpoint, not by address: another one may come to listen where one has gone.
        self._idle: dict[str, deque[Connection]] = {}
        self._settle: dict[str, float] = {}  # ms that connections rest, where it is not SETTLE_MS
        self._open = 0
        # For lack of connections, since the last line of the log about it: how many, why, and its time.
        self._unsent, self._short_of, self._logged_at = 0, "", -SHORT_LOG_MS
        self.apply(config)

    def apply(self, config: Config) -> None:
        """Go by a new configuration."""
        self._config = config
        # Guards against writing to a connection just as the endpoint closes it for idleness.
        self._idle_ms = config.idle_ms - min(2000.0, 0.2 * config.idle_ms)

    def take(self, endpoint: str) -> Connection:
        """An idle connection, else a new one; OSError where none comes up, Shortage where none can be had."""
        address = self._destinations.address(endpoint)
        if address is None:
            raise OSError("no address")
        idle = self._idle.get(endpoint)
        settled = self._host.now() - self._settle.get(endpoint, SETTLE_MS)
        while idle and idle[0].idle_since <= settled:
            # The warmest that is settled: the others grow old and are dropped.
            place = max(n for n, connection in enumerate(idle) if connection.idle_since <= settled)
            connection = idle[place]
            del idle[place]
            if self._host.now() - connection.idle_since < self._idle_ms and not connection.stale():
                return connection
            self._learn_settle(connection)
            self.drop(connection)
        if self._open >= self._config.max_outbound and not self._make_room():
            raise self._short(http1.Shortage("all places for connections to endpoints are taken"))
        self._open += 1
        try:
            sock = http1.connect(address, self._config.connect_timeout_ms / 1000)
            number = self._host.taps.opened(Side.ENDPOINT, sock, self._host.now(), endpoint)
            return Connection(endpoint, address, sock, number)
        except BaseException as error:  # a cancelled attempt's GreenletExit too: the count must stay true
            self._open -= 1
            if isinstance(error, http1.Shortage):
                self._short(error)
            raise

    def _short(self, error: http1.Shortage) -> http1.Shortage:
        """Kept for the log: one line for many, since a shortage meets all that is sent."""
        self._unsent, self._short_of = self._unsent + 1, str(error)
        return error

    def adopt(self, endpoint: str, sock: socket) -> Connection:
        """A connection that another process of this router opened; OSError where it has ended."""
        address = self._destinations.address(endpoint) or sock.getpeername()
        number = self._host.taps.opened(Side.ENDPOINT, sock, self._host.now(), endpoint)
        self._open += 1
        return Connection(endpoint, address, sock, number)

    def _learn_settle(self, connection: Connection) -> None:
        """Guards against a second answer that comes so late that it passes for the next request's."""
        late = SETTLE_FACTOR * connection.unasked_ms(self._host.now())
        settle = min(late, LONGEST_SETTLE_MS)
        if settle > self._settle.get(connection.endpoint, SETTLE_MS):
            self._settle[connection.endpoint] = settle
            log("unasked", endpoint=connection.endpoint, settle_ms=round(settle))

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for the next request, if its endpoint is still the one that it leads to."""
        endpoint = connection.endpoint
        current = self._destinations.address(endpoint) == connection.address
        if not (current and self._destinations.serving(endpoint)):
            return self.drop(connection)
        connection.sock.settimeout(None)
        connection.idle_since = self._host.now()
        self._idle.setdefault(endpoint, deque()).append(connection)

    def drop(self, connection: Connection, why: Why = Why.DONE) -> None:
        """Close a connection."""
        self._open -= 1
        self._host.taps.closing(connection.number, why)
        connection.sock.close()

    def forget(self, endpoint: str) -> None:
        """Drop the idle connections to an endpoint that is gone, drains, or is no longer what it was."""
        self._settle.pop(endpoint, None)
        for connection in self._idle.pop(endpoint, ()):
            self.drop(connection)

    def sweep(self) -> None:
        """Drop what has stood idle too long, and tell the log of a lack of connections."""
        oldest = self._host.now() - self._idle_ms
        for endpoint, idle in list(self._idle.items()):
            while idle and idle[0].idle_since <= oldest:
                self.drop(idle.popleft(), Why.IDLE)
            if not idle:
                del self._idle[endpoint]
        if self._unsent and self._host.now() - self._logged_at >= SHORT_LOG_MS:
            log("no_room_for_attempts", unsent=self._unsent, why=self._short_of)
            self._unsent, self._logged_at = 0, self._host.now()

    def close(self) -> None:
        """Drop all idle connections."""
        for idle in self._idle.values():
            while idle:
                self.drop(idle.pop(), Why.ENDED)

    def _make_room(self) -> bool:
        """Drop the connection that has stood idle longest."""
        waiting = [idle for idle in self._idle.values() if idle]
        if not waiting:
            return False
        self.drop(min(waiting, key=lambda idle: idle[0].idle_since).popleft(), Why.ROOM)
        return True


class Endpoints:
    """Carries out attempts and probes, each in a greenlet of its own."""

    def __init__(self, config: Config, destinations: DestinationSet, host: Caller) -> None:
        self._config, self._destinations, self._host = config, destinations, host
        self._pool = Pool(config, destinations, host)
        self._buffer = bytearray(RECV)  # one for all: what is read is parsed before another greenlet runs
        self._sweeper = gevent.spawn(self._sweep)

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        attempt.greenlet = gevent.spawn(self._attempt, attempt, None)

    def probe(self, endpoint: str) -> None:
        """Start a probe."""
        gevent.spawn(self._probe, endpoint)

    def apply(self, config: Config) -> None:
        """Go by a new configuration."""
        self._config = config
        self._pool.apply(config)

    def forget(self, endpoint: str) -> None:
        """Keep nothing of an endpoint that is gone, drains, or is no longer what it was."""
        self._pool.forget(endpoint)

    def close(self) -> None:
        """End the pool."""
        self._sweeper.kill()
        self._pool.close()

    def _sweep(self) -> None:
        while True:
            gevent.sleep(1.0)
            self._pool.sweep()

    def take_over(
        self, attempt: Attempt, sock: socket, head: list[tuple[bytes, bytes]], tail: bytes
    ) -> Underway:
        """A stream that another process of this router has begun; OSError where its connection has ended."""
        connection = self._pool.adopt(attempt.endpoint, sock)
        attempt.connection = connection.number
        options = self._config.options
        parser = http1.ResponseParser(options.max_head, options.max_body)
        lines = b"".join(b"%s: %s\r\n" % field for field in head)
        # Fed what the other process was, up to the end of a chunk, the parser stands where that one's did.
        parser.feed(memoryview(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n"))
        underway = Underway(attempt, connection, parser)
        underway.tail, underway.claimed = tail, True
        return underway

    def carry_on(self, underway: Underway) -> None:
        """Go on with a stream that was taken over."""
        underway.attempt.greenlet = gevent.spawn(self._attempt, underway.attempt, underway)

    def _attempt(self, attempt: Attempt, underway: Underway | None) -> None:
        outcome, kept, report = i.Outcome.RESET, 0, None
        try:
            outcome, kept, report = self._exchange(attempt) if underway is None else self._read(underway)
        except http1.Shortage:  # the pool tells the log
            outcome = i.Outcome.MOOT
        except NotSent as error:
            outcome = i.Outcome.UNREACHABLE
            log("not_sent", request=attempt.request.key, endpoint=attempt.endpoint, why=str(error))
        except OSError as error:
            if not attempt.ended:  # else its client left, and that is why it can't go on
                why = f"{type(error).__name__}: {error}"
                log("reset", request=attempt.request.key, endpoint=attempt.endpoint, why=why)
        except http1.Fault as error:
            outcome = i.Outcome.UNREADABLE
            log("unreadable", request=attempt.request.key, endpoint=attempt.endpoint, why=str(error))
        except Exception as error:
            unexpected("attempt", error)
        finally:
            # Also where the greenlet is killed: then the outcome stands already, and this one is ignored.
            self._host.ended(attempt, outcome, kept, report)

    def _exchange(self, attempt: Attempt) -> tuple[i.Outcome, int, i.Report | None]:
        """Send the request and pass its stream on; any error after the last byte is a reset."""
        connection, moot = self._write(attempt)
        if connection is None:
            return moot, 0, None
        options = self._config.options
        parser = http1.ResponseParser(options.max_head, options.max_body)
        return self._read(Underway(attempt, connection, parser))

    def _read(self, underway: Underway) -> tuple[i.Outcome, int, i.Report | None]:
        attempt, connection, parser = underway.attempt, underway.connection, underway.parser
        attempt.running, whole, reusable = underway, False, False
        try:
            reader = AnswerReader(parser, connection.sock, self._buffer, self._config.options)
            while not parser.whole:
                reader.read()
                if parser.status == 200 and not parser.framed():
                    # A head cut short: what is left of it would pass for events, and any end for the last.
                    raise http1.Fault(502, "a stream without an end")
                if parser.status == 200 and not parser.fields.get(KIND, b"").lower().startswith(STREAM):
                    # Guards against what an endpoint says unasked passing for the answer to this request.
                    raise http1.Fault(502, "a 200 that is no stream of events")
                parts = parser.take_body()
                if parser.status == 200 and (parts or (parser.whole and not underway.claimed)):
                    if not underway.claimed:
                        if not self._host.claim(attempt):
                            return i.Outcome.CANCELLED, 0, None  # another attempt was first
                        underway.claimed = True
                    attempt.request.answer.pass_on(parts)
                    if self._host.taps.active:
                        self._host.taps.passed_on(attempt.request, parts)
                    underway.tail = (underway.tail + b"".join(parts))[-TAIL:]
                    if parser.between and self._host.passes(underway):
                        whole = True  # for this process: only its descriptor is closed
                        return i.Outcome.CANCELLED, 0, None
            whole, reusable = True, parser.reusable
            report = parse_load(parser.fields.get(LOAD, b"")) or _tail_report(underway.tail)
            return self._outcome(attempt, parser), _kept_tokens(underway.tail), report
        finally:
            attempt.running = None
            if reusable:
                self._pool.give_back(connection)
            else:
                self._pool.drop(connection, Why.DONE if whole else Why.BROKEN)

    def _outcome(self, attempt: Attempt, parser: http1.ResponseParser) -> i.Outcome:
        if parser.status == 200:
            return i.Outcome.SERVED
        if parser.status in (503, 504) and parser.fields.get(NOT_RUN) == b"1":
            return i.Outcome.FULL
        log("endpoint_error", request=attempt.request.key, endpoint=attempt.endpoint, status=parser.status)
        return i.Outcome.REJECTED if parser.status in CLIENTS_FAULT else i.Outcome.ERROR

    def _write(self, attempt: Attempt) -> tuple[Connection | None, i.Outcome]:
        """A connection with the whole request written to it, or why there is none."""
        try:
            connection = self._pool.take(attempt.endpoint)
        except http1.Shortage:
            raise
        except OSError as error:
            raise NotSent(f"{type(error).__name__}: {error}") from error
        request, written = attempt.request, False
        try:
            # While this one waited for its connection, its request may have ended, or the endpoint may
            # have been withdrawn: a drain's clock runs to the first byte sent.
            if not self._host.may_send(attempt):
                return None, i.Outcome.MOOT
            if not self._destinations.serving(attempt.endpoint):
                raise NotSent("withdrawn")
            left = max(1, int(request.deadline - self._host.now()))
            pieces = http1.request_pieces(request.message, connection.address, left)
            http1.send_pieces(connection.sock, pieces)
            written = True
            attempt.connection = connection.number
            if self._host.taps.active:
                self._host.taps.attempt_sent(attempt)
            return connection, i.Outcome.MOOT
        except OSError as error:
            raise NotSent(f"{type(error).__name__}: {error}") from error
        finally:
            if not written:
                self._pool.drop(connection, Why.BROKEN)

    def _probe(self, endpoint: str) -> None:
        begun, outcome, report = self._host.now(), i.Outcome.RESET, None
        try:
            with gevent.Timeout(self._config.options.probe_timeout_ms / 1000):
                outcome, report = self._ask_load(endpoint)
        except gevent.Timeout:
            outcome = i.Outcome.TIMEOUT
        except http1.Shortage:  # this router's own lack: an endpoint that was not asked is not blamed
            outcome = i.Outcome.MOOT
        except NotSent:
            outcome = i.Outcome.UNREACHABLE
        except (OSError, http1.Fault, ValueError) as error:
            log("probe_failed", endpoint=endpoint, why=f"{type(error).__name__}: {error}")
        except Exception as error:
            unexpected("probe", error)
        finally:
            self._host.probed(endpoint, outcome, self._host.now() - begun, report)

    def _ask_load(self, endpoint: str) -> tuple[i.Outcome, i.Report | None]:
        try:
            connection = self._pool.take(endpoint)
        except http1.Shortage:
            raise
        except OSError as error:
            raise NotSent(str(error)) from error
        whole = reusable = False
        try:
            if self._destinations.suspended(endpoint):  # perhaps while the connection came up
                return i.Outcome.MOOT, None
            path = b"/metrics/load" if self._config.load_probes else b"/alive"
            http1.send_pieces(connection.sock, http1.get_pieces(path, connection.address))
            parser, body = http1.ResponseParser(self._config.options.max_head), b""
            while not parser.whole:
                parser.read(connection.sock, self._buffer)
                body += b"".join(parser.take_body())
                if len(body) > RECV:
                    raise http1.Fault(502, "load report too long")
            whole, reusable = True, parser.reusable
            report = parse_load(body) or parse_load(parser.fields.get(LOAD, b""))
            return probe_outcome(parser), report
        finally:
            if reusable:
                self._pool.give_back(connection)
            else:
                self._pool.drop(connection, Why.DONE if whole else Why.BROKEN)


def probe_outcome(parser: http1.ResponseParser) -> i.Outcome:
    """A 503 without the mark of being turned away comes from an endpoint that let the probe wait in vain.

    Guards against taking a silent endpoint for a full one: a probe waits there like a request, until the
    endpoint's own limit ends it with a 503, at about the time that this side would give up as well.
    """
    if parser.status == 200:
        return i.Outcome.SERVED
    if parser.status == 503:
        return i.Outcome.FULL if parser.fields.get(NOT_RUN) == b"1" else i.Outcome.TIMEOUT
    return i.Outcome.ERROR


def parse_load(text: bytes) -> i.Report | None:
    """A load report, `x1=3.2,util=0.4`; what can't be read of it is left out."""
    stats: dict[str, float] = {}
    for pair in text.decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        name = name.strip()
        try:
            number = float(value)
        except ValueError:
            continue
        if 0.0 <= number < MAX_LOAD:  # nor is a number of no size: it would spoil the means it goes into
            stats[SHORT_NAMES.get(name, name)] = number
    return load_report(stats)


def _kept_tokens(tail: bytes) -> int:
    """How much of the prompt the endpoint found kept, as the last events of a stream tell."""
    at = tail.rfind(b'"usage"')
    start = tail.rfind(b"data:", 0, at) if at >= 0 else -1
    if start < 0:
        return 0
    try:
        event = _event.decode(tail[start + 5 :].partition(b"\n")[0])
    except msgspec.DecodeError:
        return 0
    details = event.usage and event.usage.prompt_tokens_details
    return details.cached_tokens if details else 0


def _tail_report(tail: bytes) -> i.Report | None:
    """The load report at the end of a stream, a comment line."""
    mark = b": X-Backend-Load:"
    at = tail.rfind(mark)
    return parse_load(tail[at + len(mark) :].partition(b"\n")[0]) if at >= 0 else None
