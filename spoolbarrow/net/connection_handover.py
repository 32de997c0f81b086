"""Hands client connections, idle or with a running stream, over to the next process of this router.

Defines the message format, when a connection may be handed over, and how both sides release or adopt it.
`handover` transports messages and descriptors. Not imported if no upgrade is possible.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from contextlib import suppress

import msgspec
from gevent import socket
from msgspec import Struct

from spoolbarrow.handover import HandoverDataError
from spoolbarrow.net.client import ClientConnection, Exchange
from spoolbarrow.net.endpoint_response import InFlightAttempt
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import HttpError
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import log, log_problem
from spoolbarrow.net.request_facts import UnknownName, handover_facts

VERSION = 2  # version 1 had the indices of class and tenant
Send = Callable[[bytes, Sequence[int]], bool | None]  # accepted, rejected, or unknown


class StreamState(Struct):
    """The state of a stream for the next process; times in Unix ms, the host's clock on the same machine."""

    v: int
    id: str
    cls: str  # names, since indices may differ in the next process
    tenant: str
    taken_at: float
    deadline: float
    endpoint: str
    sent_at: float
    first_at: float
    head: list[tuple[str, str]]  # header fields of the endpoint's response
    tail: str  # the last data forwarded, which may contain the usage
    chunks: bool  # the client accepts chunked responses
    closing: bool  # the response head announced that the connection closes


IDLE_MESSAGE = b"idle"  # sent along with an idle connection


def decode_stream(text: bytes) -> StreamState:
    """Decode a stream's state; HandoverDataError if it is malformed or of another version."""
    try:
        stream = msgspec.json.decode(text, type=StreamState)
    except msgspec.DecodeError as error:
        raise HandoverDataError("", str(error)) from error
    if stream.v != VERSION:
        raise HandoverDataError("", f"version {stream.v}")
    return stream


def send_stream(host: Host, underway: InFlightAttempt, send: Send) -> bool:
    """Hand over a stream between two of its chunks; whether this process no longer owns it."""
    request = underway.attempt.request
    exchange = request.answer
    if not isinstance(exchange, Exchange) or request.finished:
        return False
    # The stream must not be stopped now: once closed, its descriptor numbers could be reused.
    underway.handing_over = True
    try:
        return exchange.client.pause_reading() and _transfer(host, underway, exchange, send)
    finally:
        underway.handing_over = False


def _transfer(host: Host, underway: InFlightAttempt, exchange: Exchange, send: Send) -> bool:
    attempt, request = underway.attempt, underway.attempt.request
    stream = StreamState(
        VERSION,
        request.id,
        request.class_name,
        request.tenant_name,
        request.taken_at,
        request.deadline,
        attempt.endpoint,
        attempt.sent_at,
        attempt.first_at,
        [(name.decode("latin-1"), value.decode("latin-1")) for name, value in underway.parser.fields.items()],
        underway.tail.decode("latin-1"),
        exchange.message.accepts_chunked,
        exchange.closes_connection(),
    )
    text = msgspec.json.encode(stream)
    accepted = send(text, (exchange.client.sock.fileno(), underway.connection.sock.fileno()))
    if accepted is None:
        # The other process may have it. Two processes must never read one connection, so shut both down.
        for sock in (underway.connection.sock, exchange.client.sock):
            _shut_down(sock)
        raise ConnectionResetError("handover to the next process failed with unknown outcome")
    if not accepted:
        underway.handover_rejected = True
        exchange.client.start_reading()
        return False
    log("stream_given", request=request.key, id=request.id)
    host.stream_handed_over(attempt)
    exchange.client.detach()
    return True


def _shut_down(sock: socket.socket) -> None:
    """Shut a connection down, also for other processes that hold it."""
    with suppress(OSError):  # it was reset before
        sock.shutdown(socket.SHUT_RDWR)


def send_idle(client: ClientConnection, send: Send) -> bool:
    """Hand over an idle connection; whether this process no longer owns it."""
    if not client.idle() or not client.pause_reading():
        return False
    accepted = send(IDLE_MESSAGE, (client.sock.fileno(),))
    if accepted is False:
        client.start_reading()
        return False
    # If the outcome is unknown, the client may find the connection closed, as is normal between requests.
    client.detach()
    return True


def receive(host: Host, inbound: Inbound, text: bytes, descriptors: Sequence[int]) -> Callable[[], None]:
    """Adopt a connection and return a function that starts it; HandoverDataError or OSError if rejected.

    A stream whose class or tenant is unknown here is accepted and broken off: this is the newest process and
    must not apply another's settings. The descriptors belong to this process in any case.
    """
    socks = _sockets(descriptors)
    try:
        if inbound.drainer.state.process_ending():
            raise HandoverDataError("", "this process is ending as well")
        if text == IDLE_MESSAGE and len(socks) == 1:
            return inbound.adopt_idle(socks[0]).start_reading
        if len(socks) != 2:
            raise HandoverDataError("", f"{len(socks)} descriptors")
        client, engine = socks
        stream = decode_stream(text)
        if host.ids.is_open(stream.id):
            raise HandoverDataError("", "a request with this ID is open")
        client.getpeername()
        engine.getpeername()
        facts = handover_facts(stream.cls, stream.tenant, host.config)
    except UnknownName as error:
        log_problem("stream_lost", error, id=stream.id)
        for sock in socks:
            _shut_down(sock)
            sock.close()
        return lambda: None
    except BaseException:
        for sock in socks:
            sock.close()
        raise
    exchange = inbound.adopt_stream(client, stream.chunks, stream.closing)
    request, attempt = host.take_over(stream, facts, exchange, exchange.client.number)
    exchange.request = request
    try:
        head = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in stream.head]
        underway = host.endpoints().take_over(attempt, engine, head, stream.tail.encode("latin-1"))
    except (HttpError, OSError, UnicodeError) as error:
        # The other process keeps the stream.
        host.stream_handed_over(attempt)
        exchange.client.detach()
        engine.close()
        raise HandoverDataError("", str(error)) from error
    log("stream_taken", request=request.key, id=request.id)

    def start() -> None:
        exchange.client.start_reading()
        host.endpoints().resume_stream(underway)

    return start


def _sockets(descriptors: Sequence[int]) -> list[socket.socket]:
    """A socket for each descriptor; OSError, with all descriptors closed, if one is not a socket."""
    socks: list[socket.socket] = []
    try:
        for number in descriptors:
            socks.append(socket.socket(fileno=number))
    except OSError:
        for sock in socks:
            sock.close()
        for number in descriptors[len(socks) :]:
            os.close(number)
        raise
    return socks
