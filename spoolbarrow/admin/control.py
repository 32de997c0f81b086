"""Serves the operators' control listener: one call per connection, answered without waiting for serving.

Owns the listener and its connections. `calls` parses the calls, `metrics` holds the counters. Idle
connections block nobody: they are few, limited in time, and the oldest is closed for a new one. An error here
is logged, answered with 500, and affects nothing else.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import gevent
import orjson
from gevent import socket

from spoolbarrow.admin import calls
from spoolbarrow.admin.calls import AgreementOff, BadCall, Call, CallFault, NoSuchEngine, NotReady, Verb
from spoolbarrow.admin.commands import OperatorCommands
from spoolbarrow.admin.metrics import Metrics
from spoolbarrow.config import Address, CannotListen
from spoolbarrow.errors import InternalError, Problem
from spoolbarrow.net import http1
from spoolbarrow.net.accepting import next_connection
from spoolbarrow.net.destinations import NoRoom
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import HttpError
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.observers import Observer
from spoolbarrow.net.request import Request

MAX_CONNECTIONS = 16  # concurrent connections: their descriptors are reserved, apart from those of clients
CALL_TIMEOUT_S = 3.0  # time-out of a whole call, answered with 408
LINGER_S = 0.5  # after the response, further input is read for so long
MAX_HEAD_BYTES, MAX_BODY_BYTES = 8192, 4096
RECV_BYTES = 4096
BACKLOG = 64
VERSION_VERBS = frozenset({Verb.VERSIONS, Verb.CHECK, Verb.ADOPT})
ERROR_STATUS: tuple[tuple[type[Problem], int], ...] = ((InternalError, 500), (NoRoom, 503), (Problem, 409))
TEXT_TYPE = b"text/plain; charset=utf-8"


class RequestCounter(Observer):
    """Counts attempts and requests in the metrics."""

    def __init__(self, metrics: Metrics, name: Callable[[int], str]) -> None:
        self._metrics, self._name = metrics, name

    def attempt_sent(self, attempt: object) -> None:
        """Counts an attempt whose last byte is written."""
        self._metrics.count_attempt()

    def request_answered(self, request: Request) -> None:
        """Counts a request with a final response."""
        self._metrics.count_result(request.class_name, request.answer_kind)

    def request_declined(self, cls: int, how: str) -> None:
        """Counts a request that was answered without being admitted."""
        self._metrics.count_result(self._name(cls), how)


def listen(address: Address) -> socket.socket:
    """Open a listening socket; raises CannotListen if the address is unavailable."""
    try:
        return http1.listen(address, BACKLOG)
    except OSError as error:
        raise CannotListen("control", str(error)) from error


class Versions(Protocol):
    """Tells the versions that this process acts on, if that is enabled."""

    def status(self) -> dict[str, Any]:
        """All versions as of now."""
        ...

    def check(self) -> dict[str, Any]:
        """What the current files would change to; raises ConfigError if they are invalid."""
        ...

    def adopt(self, wanted: str) -> None:
        """Apply the files with this digest; raises a Problem if that fails."""
        ...


class ControlListener:
    """The listener and its handling of calls."""

    def __init__(
        self,
        host: Host,
        inbound: Inbound,
        commands: OperatorCommands,
        agreement: Callable[[], Versions | None],
    ) -> None:
        self._host, self._inbound, self._commands, self._agreement = host, inbound, commands, agreement
        self.metrics = Metrics(host.config.classes)
        self._counter = RequestCounter(self.metrics, self._class_name)
        host.observers.add(self._counter)
        self._connections: dict[socket.socket, gevent.Greenlet[..., None]] = {}  # oldest first
        self._listener: socket.socket | None = None
        self._accepting: gevent.Greenlet[..., None] | None = None

    def serve_on(self, listener: socket.socket) -> None:
        """Accept calls on this listener only, closing the one before."""
        self._stop_listening()
        self._listener = listener
        self._accepting = gevent.spawn(self._accept, listener)

    def _stop_listening(self) -> None:
        if self._accepting is not None:
            self._accepting.kill()
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        """Stop listening; open connections are cut off."""
        self._host.observers.remove(self._counter)
        self._stop_listening()
        gevent.killall(list(self._connections.values()))

    def _class_name(self, number: int) -> str:
        names = list(self._host.config.classes)
        return names[number] if 0 <= number < len(names) else ""

    def _accept(self, listener: socket.socket) -> None:
        while True:
            sock = next_connection(listener, lambda error: log("control_paused", why=str(error)))
            if len(self._connections) >= MAX_CONNECTIONS:
                gevent.sleep(0)  # in a burst, none has been read yet: complete calls are answered first
            if len(self._connections) >= MAX_CONNECTIONS:
                # Closes the oldest idle connection: it has had the most time to send its call.
                oldest = next(iter(self._connections))
                self._connections.pop(oldest).kill(block=False)
            self._connections[sock] = gevent.spawn(self._handle, sock)

    def _handle(self, sock: socket.socket) -> None:
        parser = http1.RequestParser(MAX_HEAD_BYTES, MAX_BODY_BYTES)
        try:
            with sock:
                try:
                    with gevent.Timeout(CALL_TIMEOUT_S):
                        while not parser.complete and parser.error is None:
                            data = sock.recv(RECV_BYTES)
                            if not data:
                                return
                            parser.feed(memoryview(data))
                    pieces = self._answer(parser)
                except gevent.Timeout:
                    pieces = _error_response(BadCall(HttpError(408, "no whole call in time")))
                sock.settimeout(LINGER_S)
                http1.send_pieces(sock, pieces)
                sock.shutdown(socket.SHUT_WR)
                with gevent.Timeout(LINGER_S, False):  # type: ignore[arg-type]
                    while sock.recv(RECV_BYTES):  # unread input would cause a reset that loses the response
                        pass
        except OSError:
            pass  # the caller has disconnected
        except Exception as error:
            log_exception("control", error)
        finally:
            self._connections.pop(sock, None)

    def _answer(self, parser: http1.RequestParser) -> list[bytes]:
        try:
            if parser.error is not None and not parser.complete:
                raise BadCall(parser.error)
            call = calls.parse(parser.complete.popleft())
            if call.verb is Verb.ZONES:
                verdicts = self._host.destinations.verdicts
                body = {"failover": "off"} if verdicts is None else {"failover": "on", "zones": verdicts}
                return http1.response_pieces(200, orjson.dumps(body), True)
            if call.verb in VERSION_VERBS:
                return self._handle_versions(call)
            text = self._execute(call)
            if call.verb is Verb.METRICS:
                return http1.response_pieces(200, text.encode(), True, kind=TEXT_TYPE)
            return http1.response_pieces(200, _status_body(text), True)
        except Problem as error:
            return _error_response(error)
        except Exception as error:
            log_exception("call", error)
            return _error_response(InternalError("", "internal error"))

    def _handle_versions(self, call: Call) -> list[bytes]:
        """Handle the calls about versions; raises ConfigError if the files are invalid."""
        agreement = self._agreement()
        if agreement is None:
            raise AgreementOff("", "the operator's file has no [agree]")
        if call.verb is Verb.VERSIONS:
            return http1.response_pieces(200, orjson.dumps(agreement.status()), True)
        if call.verb is Verb.CHECK:
            return http1.response_pieces(200, orjson.dumps(agreement.check()), True)
        log("call", verb=call.verb.value, engine=call.engine)
        agreement.adopt(call.engine)
        return http1.response_pieces(200, _status_body("adopted"), True)

    def _execute(self, call: Call) -> str:
        """The text of the response; raises a Problem if the call fails."""
        verb = call.verb
        if verb is Verb.READY:
            if not self._inbound.can_serve():
                raise NotReady("", "not ready")
            return "ready"
        if verb is Verb.METRICS:
            known, skipped = self._host.endpoint_counts()
            inbound = self._inbound
            return self.metrics.format(
                self._host.in_progress(), known, skipped, len(inbound.clients()), inbound.drainer.log.counts
            )
        log("call", verb=verb.value, engine=call.engine)
        if verb is Verb.DRAIN:
            self._commands.drain()
        elif verb is Verb.ACTIVATE:
            self._commands.activate()
        else:
            self._execute_on_engine(call)
        return str(verb.value)

    def _execute_on_engine(self, call: Call) -> None:
        if not self._host.destinations.has(call.engine):
            raise NoSuchEngine("", "no such engine")
        if call.verb is Verb.RESUME:
            return self._commands.resume(call.engine)
        self._commands.suspend(call.engine)


def _status_body(text: str) -> bytes:
    return orjson.dumps({"status": text})


def _error_response(error: Problem) -> list[bytes]:
    """The response to a failed call: the error and its remedy."""
    headers: tuple[bytes, ...] = ()
    if isinstance(error, CallFault):
        status, headers = error.answer, error.headers
    else:
        status = next(status for kind, status in ERROR_STATUS if isinstance(error, kind))
    body = {"message": str(error), "code": status, "remedy": error.remedy}
    return http1.response_pieces(status, orjson.dumps({"error": body}), True, *headers)
