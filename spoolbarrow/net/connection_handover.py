"""Clients' connections, idle or with a running stream, on their way to the next process of this router.

Owns their form in a message, when one may go, and how either side lets go of it or takes it up. How messages
and descriptors travel is `handover`'s business. Nothing here is imported where no upgrade can come.
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
from spoolbarrow.net.request_facts import UnknownName, passed_facts

VERSION = 2  # 1 told class and tenant by their positions
Send = Callable[[bytes, Sequence[int]], bool | None]  # taken, not taken, or not known


class StreamState(Struct):
    """What the next process must know; times are Unix ms, as the host's clock is on one machine."""

    v: int
    id: str
    cls: str  # names: the next process may have them at other positions
    tenant: str
    taken_at: float
    deadline: float
    endpoint: str
    sent_at: float
    first_at: float
    head: list[tuple[str, str]]  # fields of the endpoint's answer
    tail: str  # the last of what was passed on: usage may stand there
    chunks: bool  # the client reads chunked answers
    closing: bool  # it was told that its connection ends with the answer


IDLE = b"idle"  # the message that comes with a connection on which nothing is under way


def decode_stream(text: bytes) -> StreamState:
    """The stream in a message; HandoverDataError where it is torn or of another version."""
    try:
        stream = msgspec.json.decode(text, type=StreamState)
    except msgspec.DecodeError as error:
        raise HandoverDataError("", str(error)) from error
    if stream.v != VERSION:
        raise HandoverDataError("", f"version {stream.v}")
    return stream


def send_stream(host: Host, underway: InFlightAttempt, send: Send) -> bool:
    """Hand a stream over, asked between two of its chunks; whether it is no longer this process's."""
    request = underway.attempt.request
    exchange = request.answer
    if not isinstance(exchange, Exchange) or request.finished:
        return False
    # From here on it is not broken off: closed meanwhile, its descriptors' numbers could be others'.
    underway.handing_over = True
    try:
        return exchange.client.pause_reading() and _pass(host, underway, exchange, send)
    finally:
        underway.handing_over = False


def _pass(host: Host, underway: InFlightAttempt, exchange: Exchange, send: Send) -> bool:
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
        exchange.closes(),
    )
    text = msgspec.json.encode(stream)
    taken = send(text, (exchange.client.sock.fileno(), underway.connection.sock.fileno()))
    if taken is None:
        # Perhaps it was taken: two processes must never read one connection, so that nobody does.
        for sock in (underway.connection.sock, exchange.client.sock):
            _end(sock)
        raise ConnectionResetError("lost on its way to the next process")
    if not taken:
        exchange.client.start_reading()
        return False
    log("stream_given", request=request.key, id=request.id)
    host.stream_handed_over(attempt)
    exchange.client.detach()
    return True


def _end(sock: socket.socket) -> None:
    """End a connection for whoever else holds it, too."""
    with suppress(OSError):  # it was reset meanwhile
        sock.shutdown(socket.SHUT_RDWR)


def send_idle(client: ClientConnection, send: Send) -> bool:
    """Hand over a connection on which nothing is under way; whether it is no longer this process's."""
    if not client.idle() or not client.pause_reading():
        return False
    taken = send(IDLE, (client.sock.fileno(),))
    if taken is False:
        client.start_reading()
        return False
    # Where it may have been taken, its client finds it closed, which between requests it may.
    client.detach()
    return True


def receive(host: Host, inbound: Inbound, text: bytes, descriptors: Sequence[int]) -> Callable[[], None]:
    """Take a stream up; what is returned sets it going. HandoverDataError or OSError: it is not taken.

    One whose class or tenant this process does not have is taken and broken off: it is the last to serve
    clients, and must not go by another's rules. The descriptors are this process's either way.
    """
    socks = _sockets(descriptors)
    try:
        if inbound.drainer.state.process_ending():
            raise HandoverDataError("", "this process is ending, too")
        if text == IDLE and len(socks) == 1:
            return inbound.adopt_idle(socks[0]).start_reading
        if len(socks) != 2:
            raise HandoverDataError("", f"{len(socks)} descriptors")
        client, engine = socks
        stream = decode_stream(text)
        if host.is_open(stream.id):
            raise HandoverDataError("", "a request of this name is open")
        client.getpeername()
        engine.getpeername()
        facts = passed_facts(stream.cls, stream.tenant, host.config)
    except UnknownName as error:
        log_problem("stream_lost", error, id=stream.id)
        for sock in socks:
            _end(sock)
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
        # The other process keeps it: nothing of it stays here.
        host.stream_handed_over(attempt)
        exchange.client.detach()
        engine.close()
        raise HandoverDataError("", str(error)) from error
    log("stream_taken", request=request.key, id=request.id)

    def go() -> None:
        exchange.client.start_reading()
        host.endpoints().resume_stream(underway)

    return go


def _sockets(descriptors: Sequence[int]) -> list[socket.socket]:
    """Each descriptor's socket; OSError, and all of them are closed, where one is none."""
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
