"""Collecting process (RFC 7011, section 9): receives flow messages over UDP, TCP and TLS and decodes them.

Owns the listeners and one template session for each exporter, bounded in number. After a malformed message,
the connection is closed (RFC 7011, 9.1: the next message can't be found); over UDP, the message is skipped.
The log names the rule that it breaks.
"""

from __future__ import annotations

import ssl
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
from gevent import socket

from spoolbarrow.flows.decode import FlowError, Message, Session, split_messages
from spoolbarrow.net.accepting import next_connection
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.operator import Collector

RECEIVE_BYTES = 65_536
MAX_SESSIONS = 256  # exporters; beyond, the one idle the longest is forgotten (UDP), a new one refused (TCP)
TEMPLATE_LIFETIME_MS = 1_800_000.0  # over UDP (RFC 7011, 8.4: at least three times the refresh interval)
IDLE_TIMEOUT_S = 300.0  # a connection that is idle so long is closed
MessageHandler = Callable[[str, Message, bytes], None]  # exporter, message, its bytes


class Listener:
    """Collects at one address; calls `on_message` for each message with its exporter's name."""

    def __init__(
        self,
        address: Collector,
        enterprise: int,
        on_message: MessageHandler,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._address, self._enterprise, self._on_message, self._tls = address, enterprise, on_message, tls
        self._sessions: OrderedDict[str, Session] = OrderedDict()
        self._connections: set[Any] = set()
        self.malformed = self.refused = self._lost = 0
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        datagrams = address.kind == "udp"
        self._sock = socket.socket(family, socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM)
        try:
            if datagrams:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
            else:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind((address.host, address.port))
            if not datagrams:
                self._sock.listen(64)
        except OSError:
            self._sock.close()
            raise
        self.port: int = self._sock.getsockname()[1]
        self._greenlets: list[Any] = [gevent.spawn(self._receive_datagrams if datagrams else self._accept)]

    @property
    def lost(self) -> int:
        """Records (NetFlow v9: packets) that were lost, according to the sequence numbers."""
        return self._lost + sum(session.lost for session in self._sessions.values())

    def close(self) -> None:
        """Close the listener and its connections."""
        gevent.killall(self._greenlets)
        self._sock.close()
        for sock in list(self._connections):
            sock.close()

    def _receive_datagrams(self) -> None:
        while True:
            data, address = self._sock.recvfrom(RECEIVE_BYTES)
            name = f"{address[0]}:{address[1]}"
            session = self._sessions.pop(name, None)
            if session is None:
                session = Session(self._enterprise, TEMPLATE_LIFETIME_MS)
                while len(self._sessions) >= MAX_SESSIONS:
                    self._lost += self._sessions.popitem(last=False)[1].lost
            self._sessions[name] = session
            self._read_message(name, session, data)

    def _accept(self) -> None:
        while True:
            sock = next_connection(self._sock, lambda error: log("flow_accept_paused", why=str(error)))
            try:
                address = sock.getpeername()
            except OSError:  # already reset
                sock.close()
                continue
            if len(self._connections) >= MAX_SESSIONS:
                self.refused += 1
                sock.close()
                continue
            self._connections.add(sock)
            self._greenlets = [greenlet for greenlet in self._greenlets if not greenlet.dead]
            spawned: Any = gevent.spawn(self._receive_stream, sock, f"{address[0]}:{address[1]}")
            self._greenlets.append(spawned)

    def _receive_stream(self, sock: Any, name: str) -> None:
        session, buffer = Session(self._enterprise), bytearray()
        accepted = sock
        self._sessions[name] = session
        try:
            sock.settimeout(IDLE_TIMEOUT_S)
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock, server_side=True)
            while data := sock.recv(RECEIVE_BYTES):
                buffer += data
                for message in split_messages(buffer):
                    if not self._read_message(name, session, message):
                        return
                gevent.sleep(0)
            if buffer:
                log("flow_message_cut", exporter=name, octets=len(buffer))
        except FlowError as error:
            self._reject(name, error)
        except OSError as error:
            log("exporter_lost", exporter=name, why=f"{type(error).__name__}: {error}")
        finally:
            self._connections.discard(accepted)
            sock.close()
            self._lost += self._sessions.pop(name).lost

    def _read_message(self, name: str, session: Session, data: bytes) -> bool:
        try:
            message = session.read(data, time.time() * 1000.0)
        except FlowError as error:
            self._reject(name, error)
            return False
        try:
            self._on_message(name, message, data)
        except Exception as error:
            log_exception("collector", error)
        return True

    def _reject(self, name: str, error: FlowError) -> None:
        self.malformed += 1
        log("flow_message_refused", exporter=name, octet=error.offset, rule=error.rule)


def server_tls_context(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """The TLS context of a collector: exporters need a certificate signed by `ca`. OSError, SSLError."""
    from gevent import ssl as gevent_ssl

    context: ssl.SSLContext = gevent_ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    context.load_verify_locations(ca)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def read_ipfix_file(path: Path, enterprise: int) -> Iterator[Message]:
    """The messages of an IPFIX file, plain or zstd; FlowError if it breaks a rule.

    If the file was cut short, the complete messages are read; then a FlowError gives the offset of its end.
    """
    from spoolbarrow.spool import read_spool_file  # zstandard is needed for files only

    session, buffer = Session(enterprise), bytearray()
    data, torn = read_spool_file(path)
    buffer += data
    for message in split_messages(buffer):
        yield session.read(message, 0.0)
    if buffer or torn:
        raise FlowError(len(data) - len(buffer), "the file ends inside a message: torn")
