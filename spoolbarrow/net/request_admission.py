"""Admission of complete requests: routes by path, answers those that can't be accepted, submits the rest.

Defines the client paths and the order of the checks. The caller owns the connection; the host owns accepted
requests.
"""

from __future__ import annotations

from typing import Protocol

from gevent import socket

from spoolbarrow.config import Config
from spoolbarrow.net.drain_log import DrainLog
from spoolbarrow.net.drain_schedule import DrainState
from spoolbarrow.net.exchange import Exchange
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import HttpError, Message
from spoolbarrow.net.log import log
from spoolbarrow.net.memory_account import MemoryAccount
from spoolbarrow.net.request_facts import read_facts

CHAT_PATH, UP_PATH = b"/v1/chat/completions", b"/up"
METHODS = {CHAT_PATH: b"POST", UP_PATH: b"GET"}
ID_TAKEN = "X-Correlation-Id: a request of this name is open or may have run"
PEEK_BYTES = 64  # of unread input: enough to tell whether it starts a request


class Drains(Protocol):
    """The drains in force and their log."""

    state: DrainState
    log: DrainLog


class Listener(Protocol):
    """What admission needs of the listener that accepted a connection."""

    config: Config
    host: Host
    held_bytes: int  # request bodies in memory
    memory: MemoryAccount

    @property
    def drainer(self) -> Drains:
        """The drains in force."""

    def ready(self) -> bool:
        """Whether new clients should be sent to this router."""

    def has_room_for_request(self) -> bool:
        """Whether memory allows another request in flight."""


class RequestConnection(Protocol):
    """The connection that a request arrived on."""

    sock: socket.socket
    number: int
    present_at: float  # when the client was known not to have left, ms

    @property
    def inbound(self) -> Listener:
        """The listener that accepted it."""

    def disconnected(self) -> bool:
        """Whether the client has closed, reset or half-closed it."""

    def has_unread(self) -> bool:
        """Whether the kernel's receive buffer holds data or an end of stream."""

    def proves_bad_length(self, data: bytes) -> bool:
        """Whether data right after the request shows that the request's length was wrong."""

    def abandon(self) -> None:
        """Close it: the client has disconnected."""


def admit(client: RequestConnection, exchange: Exchange, message: Message, arrived: float) -> None:
    """Answer a request or submit it to the host; HttpError if it is invalid."""
    path = message.path()
    method = METHODS.get(path)
    if method is None:
        raise HttpError(404, "no such path")
    if message.method != method:
        raise HttpError(405, f"{path.decode()} takes {method.decode()}", b"Allow: " + method)
    if path == UP_PATH:
        return exchange.respond(200 if client.inbound.ready() else 503, "not ready")
    _admit_chat(client, exchange, message, arrived)


def _admit_chat(client: RequestConnection, exchange: Exchange, message: Message, arrived: float) -> None:
    inbound, host = client.inbound, client.inbound.host
    facts, budget = read_facts(message, host.config)
    name = message.fields[b"x-correlation-id"].decode("latin-1")
    if host.ids.is_taken(name):
        # An endpoint could not tell two requests with the same ID apart.
        raise HttpError(409, ID_TAKEN)
    retry_after_ms = _refusal_ms(client, name)
    if retry_after_ms is not None:
        notify_declined(inbound, message, "fail_fast")
        return exchange.fail_fast(retry_after_ms)
    deadline = arrived + budget
    if deadline <= host.now():
        notify_declined(inbound, message, "failed")
        return exchange.fail(True)
    if client.disconnected():  # possibly while the connection waited to be accepted
        notify_declined(inbound, message, "left")
        return client.abandon()
    if client.has_unread() and client.proves_bad_length(client.sock.recv(PEEK_BYTES, socket.MSG_PEEK)):
        raise HttpError(400, "malformed request: its length is not that of its body")
    if not host.ids.claim(name):
        raise HttpError(409, ID_TAKEN)
    if inbound.drainer.state.active():
        inbound.drainer.log.request_taken(host.now(), name, client.number)
    exchange.present_at = max(arrived, client.present_at)
    exchange.request = host.submit(name, message, exchange, deadline, facts, client.number)


def _refusal_ms(client: RequestConnection, name: str) -> float | None:
    """The Retry-After time in ms if no request is accepted at present."""
    inbound, host = client.inbound, client.inbound.host
    refusal = inbound.drainer.state.refusal_retry_ms(host.now())
    if refusal is not None:
        inbound.drainer.log.request_refused(host.now(), name, client.number)
        return refusal
    settings = inbound.config.settings
    # Limits memory and the number of open requests that the platform allows.
    if host.open_requests() >= settings.max_open or not inbound.has_room_for_request():
        log("no_room", held=inbound.held_bytes, charged=inbound.memory.held, open=host.open_requests())
        return settings.max_retry_after_ms
    return None


def notify_declined(inbound: Listener, message: Message, how: str) -> None:
    """Notify observers of a request that is not accepted, if it names a class."""
    observers, config = inbound.host.observers, inbound.config
    name = message.fields.get(b"x-service-class", b"").decode("latin-1")
    if observers.active and message.path() == CHAT_PATH and name in config.classes:
        observers.request_declined(config.classes[name], how)
