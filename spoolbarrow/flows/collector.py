"""A collecting process (RFC 7011, section 9): messages over UDP, TCP and TLS, handed on record by record.

Owns the listeners and one session of templates for each exporter, bounded in number. A malformed message ends
its connection (RFC 7011, 9.1: there is no finding the next one) or is passed over (UDP), with its rule told.
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

from spoolbarrow.flows.decode import FlowError, Message, Session, split
from spoolbarrow.net.accepting import next_connection
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.operator import Collector

RECV = 65_536
MOST_SESSIONS = 256  # exporters at once; the one heard of longest ago is forgotten (UDP), or refused (TCP)
LIFETIME_MS = 1_800_000.0  # of templates over UDP (RFC 7011, 8.4: three times their refresh and more)
SILENT_S = 300.0  # a connection over which nothing comes so long is ended
Hear = Callable[[str, Message, bytes], None]  # exporter, message, its octets


class Listener:
    """Collects at one address; `hear` is given each message with its exporter's name."""

    def __init__(
        self, where: Collector, enterprise: int, hear: Hear, tls: ssl.SSLContext | None = None
    ) -> None:
        self._where, self._enterprise, self._hear, self._tls = where, enterprise, hear, tls
        self._sessions: OrderedDict[str, Session] = OrderedDict()
        self._connections: set[Any] = set()
        self.malformed = self.refused = self._lost = 0
        family = socket.AF_INET6 if ":" in where.host else socket.AF_INET
        datagrams = where.kind == "udp"
        self._sock = socket.socket(family, socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM)
        try:
            if datagrams:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
            else:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind((where.host, where.port))
            if not datagrams:
                self._sock.listen(64)
        except OSError:
            self._sock.close()
            raise
        self.port: int = self._sock.getsockname()[1]
        self._greenlets: list[Any] = [gevent.spawn(self._datagrams if datagrams else self._accept)]

    @property
    def lost(self) -> int:
        """Records (NetFlow v9: packets) that never came, as far as sequence numbers tell."""
        return self._lost + sum(session.lost for session in self._sessions.values())

    def close(self) -> None:
        """End the listener and its connections."""
        gevent.killall(self._greenlets)
        self._sock.close()
        for sock in list(self._connections):
            sock.close()

    def _datagrams(self) -> None:
        while True:
            data, address = self._sock.recvfrom(RECV)
            name = f"{address[0]}:{address[1]}"
            session = self._sessions.pop(name, None)
            if session is None:
                session = Session(self._enterprise, LIFETIME_MS)
                while len(self._sessions) >= MOST_SESSIONS:
                    self._lost += self._sessions.popitem(last=False)[1].lost
            self._sessions[name] = session
            self._read(name, session, data)

    def _accept(self) -> None:
        while True:
            sock = next_connection(self._sock, lambda error: log("flow_accept_paused", why=str(error)))
            try:
                address = sock.getpeername()
            except OSError:  # it was reset already
                sock.close()
                continue
            if len(self._connections) >= MOST_SESSIONS:
                self.refused += 1
                sock.close()
                continue
            self._connections.add(sock)
            self._greenlets = [greenlet for greenlet in self._greenlets if not greenlet.dead]
            made: Any = gevent.spawn(self._stream, sock, f"{address[0]}:{address[1]}")
            self._greenlets.append(made)

    def _stream(self, sock: Any, name: str) -> None:
        session, buffer = Session(self._enterprise), bytearray()
        plain = sock
        self._sessions[name] = session
        try:
            sock.settimeout(SILENT_S)
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock, server_side=True)
            while data := sock.recv(RECV):
                buffer += data
                for message in split(buffer):
                    if not self._read(name, session, message):
                        return
                gevent.sleep(0)
            if buffer:
                log("flow_message_cut", exporter=name, octets=len(buffer))
        except FlowError as error:
            self._malformed(name, error)
        except OSError as error:
            log("exporter_lost", exporter=name, why=f"{type(error).__name__}: {error}")
        finally:
            self._connections.discard(plain)
            sock.close()
            self._lost += self._sessions.pop(name).lost

    def _read(self, name: str, session: Session, data: bytes) -> bool:
        try:
            message = session.read(data, time.time() * 1000.0)
        except FlowError as error:
            self._malformed(name, error)
            return False
        try:
            self._hear(name, message, data)
        except Exception as error:
            log_exception("collector", error)
        return True

    def _malformed(self, name: str, error: FlowError) -> None:
        self.malformed += 1
        log("flow_message_refused", exporter=name, octet=error.offset, rule=error.rule)


def server_tls_context(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """A collector's side of TLS: exporters must show a certificate that `ca` signed. OSError, SSLError."""
    from gevent import ssl as gevent_ssl

    context: ssl.SSLContext = gevent_ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    context.load_verify_locations(ca)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def read_ipfix_file(path: Path, enterprise: int) -> Iterator[Message]:
    """The messages of an IPFIX file, plain or zstd; FlowError where it breaks a rule.

    What a torn tail leaves whole is read; then a FlowError tells where the file ends.
    """
    from spoolbarrow.spool import read_spool_file  # its package is needed for files alone

    session, buffer = Session(enterprise), bytearray()
    data, torn = read_spool_file(path)
    buffer += data
    for message in split(buffer):
        yield session.read(message, 0.0)
    if buffer or torn:
        raise FlowError(len(data) - len(buffer), "the file ends inside a message: torn")
