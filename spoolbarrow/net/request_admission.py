"""A whole request, before the decisions have it: answered at once where it can't or may not be taken.

Owns the paths that clients ask for and the order of the checks. The connection is its caller's; what becomes
of a request that is taken is the host's.
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
from spoolbarrow.net.request_facts import read_facts

CHAT, UP = b"/v1/chat/completions", b"/up"
METHODS = {CHAT: b"POST", UP: b"GET"}
LOOKED_AT = 64  # bytes of what is not read yet: enough to tell whether they begin a request


class Drains(Protocol):
    """Drains: which are in force, and what they do, told."""

    state: DrainState
    log: DrainLog


class Listener(Protocol):
    """What is asked of the listener that accepted a connection."""

    config: Config
    host: Host
    held_bytes: int  # bytes of bodies in memory

    @property
    def drainer(self) -> Drains:
        """The drains that are in force."""

    def ready(self) -> bool:
        """Whether clients may be sent here."""


class Asker(Protocol):
    """The connection that a request came by."""

    sock: socket.socket
    number: int

    @property
    def inbound(self) -> Listener:
        """The listener that accepted it."""

    def disconnected(self) -> bool:
        """Whether its client has closed, reset or half-closed it."""

    def has_unread(self) -> bool:
        """Whether the kernel holds something that its client sent."""

    def voids(self, there: memoryview) -> bool:
        """Whether what directly follows the request shows that its length was wrong."""

    def lost(self) -> None:
        """Its client has gone."""


def admit(client: Asker, exchange: Exchange, message: Message, arrived: float) -> None:
    """Answer a request, or have the host take it; HttpError where its client is to be told what is wrong."""
    path = message.path()
    wanted = METHODS.get(path)
    if wanted is None:
        raise HttpError(404, "no such path")
    if message.method != wanted:
        raise HttpError(405, f"{path.decode()} takes {wanted.decode()}", b"Allow: " + wanted)
    if path == UP:
        return exchange.whole(200 if client.inbound.ready() else 503, "not ready")
    _admit_chat(client, exchange, message, arrived)


def _admit_chat(client: Asker, exchange: Exchange, message: Message, arrived: float) -> None:
    inbound, host = client.inbound, client.inbound.host
    facts, budget = read_facts(message, host.config)
    name = message.fields[b"x-correlation-id"].decode("latin-1")
    if host.is_open(name):
        # Guards the request of that name: an endpoint could not tell the two apart.
        raise HttpError(409, "X-Correlation-Id: a request of this name is open")
    retry_after_ms = _refused(client, name)
    if retry_after_ms is not None:
        notify_declined(inbound, message, "fail_fast")
        return exchange.fail_fast(retry_after_ms)
    deadline = arrived + budget
    if deadline <= host.now():
        notify_declined(inbound, message, "failed")
        return exchange.fail(True)
    if client.disconnected():  # also where its end came while the connection waited to be accepted
        notify_declined(inbound, message, "left")
        return client.lost()
    if client.has_unread() and client.voids(memoryview(client.sock.recv(LOOKED_AT, socket.MSG_PEEK))):
        raise HttpError(400, "malformed request: its length is not that of its body")
    if inbound.drainer.state.active():
        inbound.drainer.log.request_taken(host.now(), name, client.number)
    exchange.request = host.submit(name, message, exchange, deadline, facts, client.number)


def _refused(client: Asker, name: str) -> float | None:
    """When to come back, ms, where nothing more is taken for now."""
    inbound, host = client.inbound, client.inbound.host
    refusal = inbound.drainer.state.refusal(host.now())
    if refusal is not None:
        inbound.drainer.log.request_refused(host.now(), name, client.number)
        return refusal
    settings = inbound.config.settings
    # Guards against running out of memory or over what the platform allows to be open at once.
    if inbound.held_bytes > inbound.config.max_held_bytes or host.open_requests() >= settings.max_open:
        log("no_room", held=inbound.held_bytes, open=host.open_requests())
        return settings.max_retry_after_ms
    return None


def notify_declined(inbound: Listener, message: Message, how: str) -> None:
    """Tell whoever watches of a request that is not taken, where it names a class."""
    taps, config = inbound.host.observers, inbound.config
    name = message.fields.get(b"x-service-class", b"").decode("latin-1")
    if taps.active and message.path() == CHAT and name in config.classes:
        taps.request_declined(config.classes[name], how)
