"""Carries out attempts at requests, and probes, each in a greenlet of its own."""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent.socket import socket

from spoolbarrow import interface as i
from spoolbarrow.config import Config
from spoolbarrow.net import http1
from spoolbarrow.net.connection_pool import Connection, ConnectionPool
from spoolbarrow.net.destinations import DestinationSet
from spoolbarrow.net.endpoint_response import TAIL_BYTES, InFlightAttempt, ResponseReader
from spoolbarrow.net.load_report import LOAD_HEADER, parse_cached_tokens, parse_load, parse_tail_report
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.observers import CloseReason, Observers
from spoolbarrow.net.request import Attempt
from spoolbarrow.net.request_writing import await_sent, send_while

RECV_BYTES = 8192  # read at once: each client that reads slowly has so much waiting for it
UNPROCESSED_HEADER = b"x-unprocessed"
CONTENT_TYPE_HEADER, EVENT_STREAM_TYPE = b"content-type", b"text/event-stream"
MAX_SEND_MS = 100.0  # between sending a request's head, which states the time left, and its last byte
MAX_DISCOUNT_MS = 2000.0  # subtracted at most from the stated time for endpoints that read slowly,
INITIAL_WINDOW_BYTES = 14_000  # if the body is longer: a new connection can send this at once (RFC 6928)
CLIENT_ERROR_STATUSES = frozenset({400, 404, 405, 411, 413, 414, 415, 422, 431})  # same at any endpoint


class NotSent(Exception):
    """The attempt was not written, or not completely: it never ran."""


class AttemptHost(Protocol):
    """Orders attempts and probes and receives their results."""

    observers: Observers

    def now(self) -> float:
        """The decision module's clock, ms."""

    def may_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may still be written: asked before its first byte and after each wait."""

    def claim(self, attempt: Attempt) -> bool:
        """Called with an attempt's first event: whether this attempt serves the client."""

    def end_attempt(
        self, attempt: Attempt, outcome: i.Outcome, kept: int = 0, report: i.Report | None = None
    ) -> None:
        """The outcome of an attempt."""

    def probe_done(self, endpoint: str, outcome: i.Outcome, lag: float, report: i.Report | None) -> None:
        """The result of a probe."""

    def try_hand_over(self, in_flight: InFlightAttempt) -> bool:
        """Between two chunks, try to hand a stream over to another process; whether it was taken."""


class EndpointClient:
    """Carries out attempts and probes, each in a greenlet of its own."""

    def __init__(self, config: Config, destinations: DestinationSet, host: AttemptHost) -> None:
        self._config, self._destinations, self._host = config, destinations, host
        self._pool = ConnectionPool(config, destinations, host)
        self._buffer = bytearray(RECV_BYTES)  # shared: data is parsed before another greenlet runs
        # By endpoint that read a request too slowly: how much is subtracted from the stated time left.
        self._time_discount_ms: dict[str, float] = {}
        self._sweeper = gevent.spawn(self._sweep)

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        attempt.incarnation = self._destinations.incarnation(attempt.endpoint)
        attempt.greenlet = gevent.spawn(self._attempt, attempt, None)

    def probe(self, endpoint: str) -> None:
        """Start a probe."""
        gevent.spawn(self._probe, endpoint)

    def apply(self, config: Config) -> None:
        """Apply a new configuration."""
        self._config = config
        self._pool.apply(config)

    def forget(self, endpoint: str) -> None:
        """Drop all state of an endpoint that was removed, drains or restarted."""
        self._time_discount_ms.pop(endpoint, None)
        self._pool.forget(endpoint)

    def close(self) -> None:
        """Close the pool."""
        self._sweeper.kill()
        self._pool.close()

    def _sweep(self) -> None:
        while True:
            gevent.sleep(1.0)
            self._pool.sweep()

    def take_over(
        self, attempt: Attempt, sock: socket, head: list[tuple[bytes, bytes]], tail: bytes
    ) -> InFlightAttempt:
        """Take over a stream that another process of this router has begun.

        Raises OSError if its connection has ended, HttpError if this process can't parse its head.
        """
        options = self._config.options
        parser = http1.ResponseParser(options.max_head, options.max_body)
        lines = b"".join(b"%s: %s\r\n" % field for field in head)
        # Feeding the head puts the parser in the state of the other process's, which is between two chunks.
        parser.feed(memoryview(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n"))
        connection = self._pool.adopt(attempt.endpoint, sock)
        attempt.connection = connection.number
        in_flight = InFlightAttempt(attempt, connection, parser)
        in_flight.tail, in_flight.claimed = tail, True
        return in_flight

    def resume_stream(self, in_flight: InFlightAttempt) -> None:
        """Continue a stream that was taken over."""
        in_flight.attempt.greenlet = gevent.spawn(self._attempt, in_flight.attempt, in_flight)

    def _attempt(self, attempt: Attempt, in_flight: InFlightAttempt | None) -> None:
        outcome, kept, report = i.Outcome.RESET, 0, None
        try:
            outcome, kept, report = self._exchange(attempt) if in_flight is None else self._read(in_flight)
        except http1.Shortage:  # logged by the pool
            outcome = i.Outcome.MOOT
        except NotSent as error:
            outcome = i.Outcome.UNREACHABLE
            log("not_sent", request=attempt.request.key, endpoint=attempt.endpoint, why=str(error))
        except OSError as error:
            if not attempt.ended:  # otherwise its client disconnected, which closed the connection
                why = f"{type(error).__name__}: {error}"
                log("reset", request=attempt.request.key, endpoint=attempt.endpoint, why=why)
        except http1.HttpError as error:
            outcome = i.Outcome.UNREADABLE
            log("unreadable", request=attempt.request.key, endpoint=attempt.endpoint, why=str(error))
        except Exception as error:
            log_exception("attempt", error)
        finally:
            # Also runs when the greenlet is killed: its outcome is already recorded and this one is ignored.
            self._host.end_attempt(attempt, outcome, kept, report)

    def _exchange(self, attempt: Attempt) -> tuple[i.Outcome, int, i.Report | None]:
        """Send the request and forward its stream; any error after the last byte is a reset."""
        connection, outcome = self._write(attempt)
        if connection is None:
            return outcome, 0, None
        options = self._config.options
        parser = http1.ResponseParser(options.max_head, options.max_body)
        return self._read(InFlightAttempt(attempt, connection, parser))

    def _read(self, in_flight: InFlightAttempt) -> tuple[i.Outcome, int, i.Report | None]:
        attempt, connection, parser = in_flight.attempt, in_flight.connection, in_flight.parser
        attempt.answer_reader, whole, reusable = in_flight, False, False
        try:
            reader = ResponseReader(parser, connection.sock, self._buffer, self._config)
            while not parser.complete:
                reader.read(in_flight.claimed)
                if parser.status == 200 and not parser.has_framing():
                    # A truncated head: its rest would pass for events, and any close for the stream's end.
                    raise http1.HttpError(502, "event stream without framing")
                if parser.status == 200 and not parser.fields.get(
                    CONTENT_TYPE_HEADER, b""
                ).lower().startswith(EVENT_STREAM_TYPE):
                    # Unsolicited data from an endpoint must not pass for the answer to this request.
                    raise http1.HttpError(502, "status 200 without an event stream")
                data = in_flight.forwardable(parser.take_body())
                if parser.status == 200 and (data or (parser.complete and not in_flight.claimed)):
                    if not in_flight.claimed:
                        if not self._host.claim(attempt):
                            return i.Outcome.CANCELLED, 0, None  # another attempt serves the client
                        in_flight.claimed = True
                    attempt.request.answer.forward(data)
                    if self._host.observers.active:
                        self._host.observers.parts_forwarded(attempt.request, [data])
                    in_flight.tail = (in_flight.tail + data)[-TAIL_BYTES:]
                    if parser.at_boundary and self._host.try_hand_over(in_flight):
                        whole = True  # only this process's descriptor is closed
                        return i.Outcome.CANCELLED, 0, None
            whole, reusable = True, parser.reusable
            report = parse_load(parser.fields.get(LOAD_HEADER, b"")) or parse_tail_report(in_flight.tail)
            return self._outcome(attempt, parser), parse_cached_tokens(in_flight.tail), report
        finally:
            attempt.answer_reader = None
            if reusable:
                self._pool.release(connection)
            else:
                self._pool.drop(connection, CloseReason.DONE if whole else CloseReason.BROKEN)

    def _outcome(self, attempt: Attempt, parser: http1.ResponseParser) -> i.Outcome:
        if parser.status == 200:
            return i.Outcome.SERVED
        if parser.status in (503, 504) and parser.fields.get(UNPROCESSED_HEADER) == b"1":
            return i.Outcome.FULL
        log("endpoint_error", request=attempt.request.key, endpoint=attempt.endpoint, status=parser.status)
        return i.Outcome.REJECTED if parser.status in CLIENT_ERROR_STATUSES else i.Outcome.ERROR

    def _write(self, attempt: Attempt) -> tuple[Connection | None, i.Outcome]:
        """A connection with the whole request written to it, or the outcome if there is none."""
        try:
            connection = self._pool.acquire(attempt.endpoint)
        except http1.Shortage:
            raise
        except OSError as error:
            raise NotSent(f"{type(error).__name__}: {error}") from error
        written = False
        try:
            # While waiting for the connection, the request may have ended or the endpoint left service: a
            # drain's time limit applies to the first byte sent.
            if not self._host.may_send(attempt):
                return None, i.Outcome.MOOT
            if not self._destinations.serving(attempt.endpoint):
                raise NotSent("withdrawn")
            if self._restarted_since(attempt):
                return None, i.Outcome.MOOT  # slow start limits what it may be sent: decide again
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

    def _restarted_since(self, attempt: Attempt) -> bool:
        """Whether its endpoint entered slow start after the attempt was decided on."""
        same = self._destinations.incarnation(attempt.endpoint) == attempt.incarnation
        return not same and self._destinations.starting(attempt.endpoint)

    def _write_whole(self, attempt: Attempt, connection: Connection) -> bool:
        """Write a request; False if its attempt has ended, NotSent if the endpoint reads it too slowly.

        The time left that the head states must still be true when the last byte has left.
        """
        host, request, started_at = self._host, attempt.request, self._host.now()
        left = request.deadline - started_at
        discount_ms = (
            self._time_discount_ms.get(attempt.endpoint, 0.0)
            if len(request.message.body) > INITIAL_WINDOW_BYTES
            else 0.0
        )
        stated_ms = max(1, int(max(left - discount_ms, left / 2)))
        patience = MAX_SEND_MS + left - stated_ms
        pieces = http1.request_pieces(request.message, connection.address, stated_ms)

        def in_time() -> bool:
            return host.now() - started_at <= patience

        def may_continue() -> bool:
            return host.may_send(attempt) and in_time()

        # A long request may wait half written for its endpoint; until it is complete, it can't run.
        if send_while(connection.sock, pieces, may_continue):
            attempt.connection = connection.number  # bytes in the kernel may leave at any time
            if await_sent(connection.sock, may_continue):
                return True
        if in_time():
            return False
        self._time_discount_ms[attempt.endpoint] = min(2.0 * patience, MAX_DISCOUNT_MS)
        raise NotSent(f"request not read within {patience:.0f} ms")

    def _probe(self, endpoint: str) -> None:
        started_at, outcome, report = self._host.now(), i.Outcome.RESET, None
        try:
            with gevent.Timeout(self._config.options.probe_timeout_ms / 1000):
                outcome, report = self._fetch_load(endpoint)
        except gevent.Timeout:
            outcome = i.Outcome.TIMEOUT
        except http1.Shortage:  # local to this router: says nothing about the endpoint
            outcome = i.Outcome.MOOT
        except NotSent:
            outcome = i.Outcome.UNREACHABLE
        except (OSError, http1.HttpError, ValueError) as error:
            log("probe_failed", endpoint=endpoint, why=f"{type(error).__name__}: {error}")
        except Exception as error:
            log_exception("probe", error)
        finally:
            self._host.probe_done(endpoint, outcome, self._host.now() - started_at, report)

    def _fetch_load(self, endpoint: str) -> tuple[i.Outcome, i.Report | None]:
        try:
            connection = self._pool.acquire(endpoint)
        except http1.Shortage:
            raise
        except OSError as error:
            raise NotSent(str(error)) from error
        whole = reusable = False
        try:
            if self._destinations.suspended(endpoint):  # possibly while connecting
                return i.Outcome.MOOT, None
            path = b"/metrics/load" if self._config.probes_fetch_load else b"/alive"
            http1.send_pieces(connection.sock, http1.get_pieces(path, connection.address))
            parser, body = http1.ResponseParser(self._config.options.max_head), b""
            while not parser.complete:
                parser.read(connection.sock, self._buffer)
                body += b"".join(parser.take_body())
                if len(body) > RECV_BYTES:
                    raise http1.HttpError(502, "load report too long")
            whole, reusable = True, parser.reusable
            report = parse_load(body) or parse_load(parser.fields.get(LOAD_HEADER, b""))
            return probe_outcome(parser), report
        finally:
            if reusable:
                self._pool.release(connection)
            else:
                self._pool.drop(connection, CloseReason.DONE if whole else CloseReason.BROKEN)


def probe_outcome(parser: http1.ResponseParser) -> i.Outcome:
    """The outcome of an answered probe; a 503 without the header for unprocessed requests is a TIMEOUT.

    Keeps an unresponsive endpoint from being taken for a full one: a probe waits there like a request until
    the endpoint's own limit ends it with a 503, at about the time that this router would give up as well.
    """
    if parser.status == 200:
        return i.Outcome.SERVED
    if parser.status == 503:
        return i.Outcome.FULL if parser.fields.get(UNPROCESSED_HEADER) == b"1" else i.Outcome.TIMEOUT
    return i.Outcome.ERROR
