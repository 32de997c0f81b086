"""Attempts at requests, and probes: each carried out by a greenlet of its own."""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent.socket import socket

from spoolbarrow import interface as i
from spoolbarrow.config import Config
from spoolbarrow.net import http1
from spoolbarrow.net.connection_pool import Connection, ConnectionPool
from spoolbarrow.net.destinations import DestinationSet
from spoolbarrow.net.endpoint_response import TAIL, AnswerReader, InFlightAttempt
from spoolbarrow.net.load_report import LOAD_HEADER, kept_tokens, parse_load, tail_report
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.observers import CloseReason, Observers
from spoolbarrow.net.request import Attempt
from spoolbarrow.net.request_writing import await_sent, send_while

RECV = 65536  # bytes read at once
UNPROCESSED_HEADER = b"x-unprocessed"
KIND, EVENT_STREAM_TYPE = b"content-type", b"text/event-stream"
OLDEST_TOLD_MS = 100.0  # a request's last byte leaves so long after its head, which tells the time left
MOST_FOREGONE_MS = 2000.0  # by so much less is told at most where an endpoint takes requests in slowly,
ONE_FLIGHT = (
    14_000  # and of bodies longer than these bytes: a new connection sends so much unasked (RFC 6928)
)
CLIENTS_FAULT = frozenset({400, 404, 405, 411, 413, 414, 415, 422, 431})  # others would say the same


class NotSent(Exception):
    """The attempt was not written, or not wholly: it never ran."""


class Caller(Protocol):
    """Who has attempts and probes carried out, and hears what came of them."""

    observers: Observers

    def now(self) -> float:
        """The decisions' clock, ms."""

    def may_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may still be written: asked just before its first byte, and after each wait."""

    def claim(self, attempt: Attempt) -> bool:
        """An attempt's first event has come: whether it is the client's."""

    def end_attempt(
        self, attempt: Attempt, outcome: i.Outcome, kept: int = 0, report: i.Report | None = None
    ) -> None:
        """The outcome of an attempt."""

    def probe_done(self, endpoint: str, outcome: i.Outcome, lag: float, report: i.Report | None) -> None:
        """The result of a probe."""

    def passes(self, underway: InFlightAttempt) -> bool:
        """Between two chunks of a stream: whether it has just gone to another process of this router."""


class EndpointClient:
    """Carries out attempts and probes, each in a greenlet of its own."""

    def __init__(self, config: Config, destinations: DestinationSet, host: Caller) -> None:
        self._config, self._destinations, self._host = config, destinations, host
        self._pool = ConnectionPool(config, destinations, host)
        self._buffer = bytearray(RECV)  # one for all: what is read is parsed before another greenlet runs
        # By endpoint that took a request in too slowly: how much less than is left the next ones tell, ms.
        self._foregone: dict[str, float] = {}
        self._sweeper = gevent.spawn(self._sweep)

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        attempt.incarnation = self._destinations.incarnation(attempt.endpoint)
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
        self._foregone.pop(endpoint, None)
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
    ) -> InFlightAttempt:
        """A stream that another process of this router has begun.

        OSError where its connection has ended, HttpError where this process can't read its head: it is not taken.
        """
        options = self._config.options
        parser = http1.ResponseParser(options.max_head, options.max_body)
        lines = b"".join(b"%s: %s\r\n" % field for field in head)
        # Fed what the other process was, up to the end of a chunk, the parser stands where that one's did.
        parser.feed(memoryview(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n"))
        connection = self._pool.adopt(attempt.endpoint, sock)
        attempt.connection = connection.number
        underway = InFlightAttempt(attempt, connection, parser)
        underway.tail, underway.claimed = tail, True
        return underway

    def resume_stream(self, underway: InFlightAttempt) -> None:
        """Go on with a stream that was taken over."""
        underway.attempt.greenlet = gevent.spawn(self._attempt, underway.attempt, underway)

    def _attempt(self, attempt: Attempt, underway: InFlightAttempt | None) -> None:
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
        except http1.HttpError as error:
            outcome = i.Outcome.UNREADABLE
            log("unreadable", request=attempt.request.key, endpoint=attempt.endpoint, why=str(error))
        except Exception as error:
            log_exception("attempt", error)
        finally:
            # Also where the greenlet is killed: then the outcome stands already, and this one is ignored.
            self._host.end_attempt(attempt, outcome, kept, report)

    def _exchange(self, attempt: Attempt) -> tuple[i.Outcome, int, i.Report | None]:
        """Send the request and pass its stream on; any error after the last byte is a reset."""
        connection, moot = self._write(attempt)
        if connection is None:
            return moot, 0, None
        options = self._config.options
        parser = http1.ResponseParser(options.max_head, options.max_body)
        return self._read(InFlightAttempt(attempt, connection, parser))

    def _read(self, underway: InFlightAttempt) -> tuple[i.Outcome, int, i.Report | None]:
        attempt, connection, parser = underway.attempt, underway.connection, underway.parser
        attempt.answer_reader, whole, reusable = underway, False, False
        try:
            reader = AnswerReader(parser, connection.sock, self._buffer, self._config.options)
            while not parser.complete:
                reader.read()
                if parser.status == 200 and not parser.framed():
                    # A head cut short: what is left of it would pass for events, and any end for the last.
                    raise http1.HttpError(502, "a stream without an end")
                if parser.status == 200 and not parser.fields.get(KIND, b"").lower().startswith(
                    EVENT_STREAM_TYPE
                ):
                    # Guards against what an endpoint says unasked passing for the answer to this request.
                    raise http1.HttpError(502, "a 200 that is no stream of events")
                parts = underway.passable(parser.take_body())
                if parser.status == 200 and (parts or (parser.complete and not underway.claimed)):
                    if not underway.claimed:
                        if not self._host.claim(attempt):
                            return i.Outcome.CANCELLED, 0, None  # another attempt was first
                        underway.claimed = True
                    attempt.request.answer.forward(parts)
                    if self._host.observers.active:
                        self._host.observers.parts_forwarded(attempt.request, parts)
                    underway.tail = (underway.tail + b"".join(parts))[-TAIL:]
                    if parser.between and self._host.passes(underway):
                        whole = True  # for this process: only its descriptor is closed
                        return i.Outcome.CANCELLED, 0, None
            whole, reusable = True, parser.reusable
            report = parse_load(parser.fields.get(LOAD_HEADER, b"")) or tail_report(underway.tail)
            return self._outcome(attempt, parser), kept_tokens(underway.tail), report
        finally:
            attempt.answer_reader = None
            if reusable:
                self._pool.give_back(connection)
            else:
                self._pool.drop(connection, CloseReason.DONE if whole else CloseReason.BROKEN)

    def _outcome(self, attempt: Attempt, parser: http1.ResponseParser) -> i.Outcome:
        if parser.status == 200:
            return i.Outcome.SERVED
        if parser.status in (503, 504) and parser.fields.get(UNPROCESSED_HEADER) == b"1":
            return i.Outcome.FULL
        log("endpoint_error", request=attempt.request.key, endpoint=attempt.endpoint, status=parser.status)
        return i.Outcome.REJECTED if parser.status in CLIENTS_FAULT else i.Outcome.ERROR

    def _write(self, attempt: Attempt) -> tuple[Connection | None, i.Outcome]:
        """A connection with the whole request written to it, or why there is none."""
        try:
            connection = self._pool.acquire(attempt.endpoint)
        except http1.Shortage:
            raise
        except OSError as error:
            raise NotSent(f"{type(error).__name__}: {error}") from error
        written = False
        try:
            # While this one waited for its connection, its request may have ended, or the endpoint may
            # have been withdrawn: a drain's clock runs to the first byte sent.
            if not self._host.may_send(attempt):
                return None, i.Outcome.MOOT
            if not self._destinations.serving(attempt.endpoint):
                raise NotSent("withdrawn")
            if self._started_since(attempt):
                return None, i.Outcome.MOOT  # what it may be sent now is decided anew
            written = self._write_whole(attempt, connection)
            if not written:
                return None, i.Outcome.MOOT
            if self._host.observers.active:
                self._host.observers.attempt_sent(attempt)
            return connection, i.Outcome.MOOT
        except OSError as error:
            raise NotSent(f"{type(error).__name__}: {error}") from error
        finally:
            if not written:
                self._pool.drop(connection, CloseReason.BROKEN)

    def _started_since(self, attempt: Attempt) -> bool:
        """Whether its endpoint began its slow start after the attempt was decided on."""
        same = self._destinations.incarnation(attempt.endpoint) == attempt.incarnation
        return not same and self._destinations.starting(attempt.endpoint)

    def _write_whole(self, attempt: Attempt, connection: Connection) -> bool:
        """Write a request; False where its attempt is over, NotSent where it is taken in too slowly.

        Guards the time that the head tells: by the request's last byte it must not be more than is left.
        """
        host, request, begun = self._host, attempt.request, self._host.now()
        left = request.deadline - begun
        foregone = (
            self._foregone.get(attempt.endpoint, 0.0) if len(request.message.body) > ONE_FLIGHT else 0.0
        )
        told = max(1, int(max(left - foregone, left / 2)))
        patience = OLDEST_TOLD_MS + left - told
        pieces = http1.request_pieces(request.message, connection.address, told)

        def in_good_time() -> bool:
            return host.now() - begun <= patience

        def may_go_on() -> bool:
            return host.may_send(attempt) and in_good_time()

        # A long request may wait for its endpoint half written; as long as it is not whole, it can't run.
        if send_while(connection.sock, pieces, may_go_on):
            attempt.connection = connection.number  # what the kernel holds may leave at any time
            if await_sent(connection.sock, may_go_on):
                return True
        if in_good_time():
            return False
        self._foregone[attempt.endpoint] = min(2.0 * patience, MOST_FOREGONE_MS)
        raise NotSent(f"not taken in within {patience:.0f} ms")

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
        except (OSError, http1.HttpError, ValueError) as error:
            log("probe_failed", endpoint=endpoint, why=f"{type(error).__name__}: {error}")
        except Exception as error:
            log_exception("probe", error)
        finally:
            self._host.probe_done(endpoint, outcome, self._host.now() - begun, report)

    def _ask_load(self, endpoint: str) -> tuple[i.Outcome, i.Report | None]:
        try:
            connection = self._pool.acquire(endpoint)
        except http1.Shortage:
            raise
        except OSError as error:
            raise NotSent(str(error)) from error
        whole = reusable = False
        try:
            if self._destinations.suspended(endpoint):  # perhaps while the connection came up
                return i.Outcome.MOOT, None
            path = b"/metrics/load" if self._config.probes_fetch_load else b"/alive"
            http1.send_pieces(connection.sock, http1.get_pieces(path, connection.address))
            parser, body = http1.ResponseParser(self._config.options.max_head), b""
            while not parser.complete:
                parser.read(connection.sock, self._buffer)
                body += b"".join(parser.take_body())
                if len(body) > RECV:
                    raise http1.HttpError(502, "load report too long")
            whole, reusable = True, parser.reusable
            report = parse_load(body) or parse_load(parser.fields.get(LOAD_HEADER, b""))
            return probe_outcome(parser), report
        finally:
            if reusable:
                self._pool.give_back(connection)
            else:
                self._pool.drop(connection, CloseReason.DONE if whole else CloseReason.BROKEN)


def probe_outcome(parser: http1.ResponseParser) -> i.Outcome:
    """A 503 without the mark of being turned away comes from an endpoint that let the probe wait in vain.

    Guards against taking a silent endpoint for a full one: a probe waits there like a request, until the
    endpoint's own limit ends it with a 503, at about the time that this side would give up as well.
    """
    if parser.status == 200:
        return i.Outcome.SERVED
    if parser.status == 503:
        return i.Outcome.FULL if parser.fields.get(UNPROCESSED_HEADER) == b"1" else i.Outcome.TIMEOUT
    return i.Outcome.ERROR
