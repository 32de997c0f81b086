"""The operators' listener: one call to a connection, each answered at once; nothing here waits for serving.

Owns the listener and the callers' connections. What a call means is `calls`' business, what the figures are
`metrics`'. Callers that say nothing hold up nobody: their connections are few, bounded in time, and the
oldest silent one gives way to a new one. A fault here is logged, answered 500, and reaches nothing else.
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

CALLERS = 16  # connections at once: their descriptors are set aside from the clients'
CALL_S = 3.0  # a caller that has not said what it wants by then is told so
LINGER_S = 0.5  # what it still sends after its answer is taken in so long
MAX_HEAD, MAX_BODY = 8192, 4096  # bytes
RECV = 4096
BACKLOG = 64
OF_AGREEMENT = frozenset({Verb.VERSIONS, Verb.CHECK, Verb.ADOPT})
ANSWERS: tuple[tuple[type[Problem], int], ...] = ((InternalError, 500), (NoRoom, 503), (Problem, 409))
TEXT = b"text/plain; charset=utf-8"


class Counting(Observer):
    """Counts what the taps tell."""

    def __init__(self, figures: Metrics, name: Callable[[int], str]) -> None:
        self._figures, self._name = figures, name

    def attempt_sent(self, attempt: object) -> None:
        """An attempt's last byte is written."""
        self._figures.tried()

    def request_answered(self, request: Request) -> None:
        """A request has its answer."""
        self._figures.answered(request.class_name, request.answer_kind)

    def request_declined(self, cls: int, how: str) -> None:
        """A request was answered without being taken."""
        self._figures.answered(self._name(cls), how)


def listen(address: Address) -> socket.socket:
    """A listener; CannotListen where the address can't be had."""
    try:
        return http1.listen(address, BACKLOG)
    except OSError as error:
        raise CannotListen("control", str(error)) from error


class Versions(Protocol):
    """Who tells which versions this process acts on, where that is on."""

    def status(self) -> dict[str, Any]:
        """Every version as it is now."""
        ...

    def check(self) -> dict[str, Any]:
        """What would be acted on with the files as they are; ConfigError where they can't be used."""
        ...

    def adopt(self, wanted: str) -> None:
        """Act on the files of this digest; a Problem where that fails."""
        ...


class Control:
    """The listener and what its callers may do."""

    def __init__(
        self, host: Host, inbound: Inbound, orders: OperatorCommands, agreement: Callable[[], Versions | None]
    ) -> None:
        self._host, self._inbound, self._orders, self._agreement = host, inbound, orders, agreement
        self.figures = Metrics(host.config.classes)
        self._counting = Counting(self.figures, self._class)
        host.observers.add(self._counting)
        self._silent: dict[socket.socket, gevent.Greenlet[..., None]] = {}  # oldest first
        self._listener: socket.socket | None = None
        self._accepting: gevent.Greenlet[..., None] | None = None

    def move(self, listener: socket.socket) -> None:
        """Answer calls that come by this listener, and by no other."""
        self._stop_listening()
        self._listener = listener
        self._accepting = gevent.spawn(self._accept, listener)

    def _stop_listening(self) -> None:
        if self._accepting is not None:
            self._accepting.kill()
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        """Stop listening; callers under way are cut off."""
        self._host.observers.remove(self._counting)
        self._stop_listening()
        gevent.killall(list(self._silent.values()))

    def _class(self, number: int) -> str:
        names = list(self._host.config.classes)
        return names[number] if 0 <= number < len(names) else ""

    def _accept(self, listener: socket.socket) -> None:
        while True:
            sock = next_connection(listener, lambda error: log("control_paused", why=str(error)))
            if len(self._silent) >= CALLERS:
                gevent.sleep(0)  # in a burst, none has been read yet: whose call has come is answered first
            if len(self._silent) >= CALLERS:
                # The one that has had most time to speak gives way.
                oldest = next(iter(self._silent))
                self._silent.pop(oldest).kill(block=False)
            self._silent[sock] = gevent.spawn(self._converse, sock)

    def _converse(self, sock: socket.socket) -> None:
        parser = http1.RequestParser(MAX_HEAD, MAX_BODY)
        try:
            with sock:
                try:
                    with gevent.Timeout(CALL_S):
                        while not parser.complete and parser.error is None:
                            data = sock.recv(RECV)
                            if not data:
                                return
                            parser.feed(memoryview(data))
                    pieces = self._answer(parser)
                except gevent.Timeout:
                    pieces = _refusal(BadCall(HttpError(408, "no whole call in time")))
                sock.settimeout(LINGER_S)
                http1.send_pieces(sock, pieces)
                sock.shutdown(socket.SHUT_WR)
                with gevent.Timeout(LINGER_S, False):  # type: ignore[arg-type]
                    while sock.recv(RECV):  # else what is unread would reset the connection under the answer
                        pass
        except OSError:
            pass  # the caller has gone
        except Exception as error:
            log_exception("control", error)
        finally:
            self._silent.pop(sock, None)

    def _answer(self, parser: http1.RequestParser) -> list[bytes]:
        try:
            if parser.error is not None and not parser.complete:
                raise BadCall(parser.error)
            call = calls.read(parser.complete.popleft())
            if call.verb is Verb.ZONES:
                verdicts = self._host.destinations.verdicts
                told = {"failover": "off"} if verdicts is None else {"failover": "on", "zones": verdicts}
                return http1.response_pieces(200, orjson.dumps(told), True)
            if call.verb in OF_AGREEMENT:
                return self._agree(call)
            text = self._carry_out(call)
            if call.verb is Verb.METRICS:
                return http1.response_pieces(200, text.encode(), True, kind=TEXT)
            return http1.response_pieces(200, _told(text), True)
        except Problem as error:
            return _refusal(error)
        except Exception as error:
            log_exception("call", error)
            return _refusal(InternalError("", "internal error"))

    def _agree(self, call: Call) -> list[bytes]:
        """Versions told, files checked, or adopted; ConfigError where the files can't be used."""
        agreement = self._agreement()
        if agreement is None:
            raise AgreementOff("", "the operator's file has no [agree]")
        if call.verb is Verb.VERSIONS:
            return http1.response_pieces(200, orjson.dumps(agreement.status()), True)
        if call.verb is Verb.CHECK:
            return http1.response_pieces(200, orjson.dumps(agreement.check()), True)
        log("call", verb=call.verb.value, engine=call.engine)
        agreement.adopt(call.engine)
        return http1.response_pieces(200, _told("adopted"), True)

    def _carry_out(self, call: Call) -> str:
        """The answer's text; a Problem where it is no."""
        verb = call.verb
        if verb is Verb.READY:
            if not self._inbound.can_serve():
                raise NotReady("", "not ready")
            return "ready"
        if verb is Verb.METRICS:
            known, skipped = self._host.endpoint_counts()
            inbound = self._inbound
            return self.figures.write(
                self._host.in_progress(), known, skipped, len(inbound.clients()), inbound.drainer.log.counts
            )
        log("call", verb=verb.value, engine=call.engine)
        if verb is Verb.DRAIN:
            self._orders.drain()
        elif verb is Verb.ACTIVATE:
            self._orders.activate()
        else:
            self._engine(call)
        return str(verb.value)

    def _engine(self, call: Call) -> None:
        if not self._host.destinations.has(call.engine):
            raise NoSuchEngine("", "no such engine")
        if call.verb is Verb.RESUME:
            return self._orders.resume(call.engine)
        self._orders.suspend(call.engine)


def _told(text: str) -> bytes:
    return orjson.dumps({"status": text})


def _refusal(error: Problem) -> list[bytes]:
    """The answer to a call that is not carried out: what is wrong, and what can be done."""
    headers: tuple[bytes, ...] = ()
    if isinstance(error, CallFault):
        status, headers = error.answer, error.headers
    else:
        status = next(status for kind, status in ANSWERS if isinstance(error, kind))
    told = {"message": str(error), "code": status, "remedy": error.remedy}
    return http1.response_pieces(status, orjson.dumps({"error": told}), True, *headers)
