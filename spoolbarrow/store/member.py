"""The process of one store member: connects consensus with its disk, the other members and control calls.

Owns the listener for members, whose messages are msgpack with a length prefix of four bytes; `control_server`
has the listener for control calls. Each other member has one outgoing connection with a bounded queue that
drops the oldest messages: consensus repeats what was lost. If the disk fails, the member reports it and stops
participating until it is restarted; it still serves reads from its last state.

    GET /v1/status            leader, term, commit index, dropped messages, and the disk's fault
    GET /v1/store/KEY         the document as this member has it, with its revision
    GET /v1/changes?after=REVISION&prefix=PREFIX...
                              documents written since then, oldest first, as far as this member has them
    PUT /v1/store/KEY[?expect=REVISION]
                              through the leader; 409 with the leader's name on other members, or if the
                              document is at another revision
"""

from __future__ import annotations

import secrets
import struct
import time
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path
from random import SystemRandom
from typing import Any, TypeVar
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult, Event

from spoolbarrow.config import Address, CannotListen
from spoolbarrow.net import http1
from spoolbarrow.net.accepting import next_connection
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.store import faults as f
from spoolbarrow.store import state as s
from spoolbarrow.store.control_server import Call, ControlServer
from spoolbarrow.store.disk import Disk, DiskError
from spoolbarrow.store.raft import (
    Append,
    Appended,
    Ask,
    Hello,
    Install,
    Known,
    Raft,
    Ready,
    Settings,
    Vote,
)

T = TypeVar("T")
WireMessage = Ask | Vote | Append | Appended | Install | Hello | Known
STALE_FILE = "its file is older than the one it had before"
MAX_FRAME_BYTES = 64 << 20  # longer frames are refused, even a snapshot within the limits on keys and values
MAX_QUEUED_MESSAGES = 256  # to one member
MAX_PEER_CONNECTIONS = 32  # incoming, open at once
TICK_S = 0.02
COMMIT_TIMEOUT_S = 3.0  # the outcome of a change that is not committed by then is reported as unknown
SEND_TIMEOUT_S = 2.0  # reconnect to a member that does not take a message within this time
SNAPSHOT_ENTRIES = 1000  # log entries between snapshots
MAX_CHANGES_BYTES = 1 << 20  # values in one response; it has at least one document
_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(WireMessage).decode


class Member:
    """A running member; raises DiskError or LogError if its file can't be used, or CannotListen."""

    def __init__(
        self,
        name: str,
        members: Mapping[str, Address],
        listen: Address,
        control: Address,
        path: Path,
        settings: Settings,
        max_pages: int = 0,
    ) -> None:
        self.name = name
        self._disk = Disk(path, name)
        if max_pages:
            self._disk.limit_pages(max_pages)
        saved = self._disk.load()
        self._logged_role = ("", "")  # last logged role and leader
        self._raft = Raft(name, list(members), self._now(), SystemRandom(), saved, settings)
        self._state_machine = s.StateMachine(saved.snapshot.data)
        self._applied = saved.snapshot.index
        self._pending_writes: dict[str, AsyncResult[s.Outcome]] = {}
        self._send_queues: dict[str, deque[bytes]] = {}
        self._wake_events: dict[str, Event] = {}
        self.dropped = 0  # messages dropped from full queues
        self.fault = ""  # of the disk
        self._listener = _listen_or_fail("--listen", listen, lambda: http1.listen(listen, 64))
        self._control_server = _listen_or_fail(
            "--control", control, lambda: ControlServer(control, self._answer)
        )
        self._peer_sockets: set[Any] = set()
        for other, address in members.items():
            if other != name:
                self._send_queues[other], self._wake_events[other] = deque(), Event()
                gevent.spawn(self._send_to, other, address)
        gevent.spawn(self._accept)
        gevent.spawn(self._tick)

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    # Consensus

    def _tick(self) -> None:
        while not self.fault:
            self._execute(self._raft.handle(self._now()))
            gevent.sleep(TICK_S)

    def _execute(self, ready: Ready) -> None:
        """Save, send and apply. Never yields to other greenlets, so calls don't interleave."""
        if self.fault:
            return
        try:
            self._disk.save(ready)
        except DiskError as error:
            self.fault = str(error)
            log("store_disk", member=self.name, why=self.fault, remedy=error.remedy)
            for waiting in self._pending_writes.values():
                waiting.set_exception(f.Unknown("", "unknown: the disk failed", revision=0))
            return
        for message in ready.messages:
            self._enqueue(message.dst, _encode(message))
        if ready.snapshot is not None and ready.snapshot.index > self._applied:
            self._state_machine, self._applied = s.StateMachine(ready.snapshot.data), ready.snapshot.index
        for entry in ready.committed:
            self._applied = entry.index
            done = self._state_machine.apply(entry.index, entry.data)
            if done is not None and done[0] in self._pending_writes:
                self._pending_writes[done[0]].set(done[1])
        for name in ready.stale_members:
            log("store_member_behind", member=name, told_by=self.name, why=STALE_FILE)
        role = (self._raft.role.value, self._raft.leader)
        if role != self._logged_role:
            self._logged_role = role
            log("store_role", member=self.name, role=role[0], leader=role[1], term=self._raft.term)
        if self._applied - self._raft.snapshot.index >= SNAPSHOT_ENTRIES:
            self._execute(self._raft.compact(self._applied, self._state_machine.encode()))

    def _enqueue(self, name: str, data: bytes) -> None:
        queue = self._send_queues[name]
        if len(queue) >= MAX_QUEUED_MESSAGES:
            queue.popleft()
            self.dropped += 1
        queue.append(data)
        self._wake_events[name].set()

    # Other members

    def _send_to(self, name: str, address: Address) -> None:
        queue, wake = self._send_queues[name], self._wake_events[name]
        while True:
            try:
                with socket.create_connection(address, 1.0) as sock:
                    sock.settimeout(None)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    # Detects a connection that was closed while idle. Otherwise the first messages of an
                    # election would be lost with it, and a second or two until they are sent again.
                    closed = gevent.spawn(_wait_closed, sock)
                    closed.link(lambda _: wake.set())
                    while not closed.ready():
                        while queue and not closed.ready():
                            data = queue.popleft()
                            with gevent.Timeout(SEND_TIMEOUT_S):
                                sock.sendall(struct.pack(">I", len(data)) + data)
                        wake.clear()
                        if not closed.ready():
                            wake.wait()
            except (OSError, gevent.Timeout):
                pass
            gevent.sleep(0.05)

    def _accept(self) -> None:
        while True:
            sock = next_connection(
                self._listener, lambda error: log("store_accept_paused", member=self.name, why=str(error))
            )
            if len(self._peer_sockets) >= MAX_PEER_CONNECTIONS:
                sock.close()
                continue
            self._peer_sockets.add(sock)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        try:
            with sock:
                self._read_messages(sock)
        except OSError:
            pass  # the member disconnected
        except Exception as error:
            log_exception("store", error)
        finally:
            self._peer_sockets.discard(sock)

    def _read_messages(self, sock: Any) -> None:
        while True:
            size = struct.unpack(">I", _receive_exactly(sock, 4))[0]
            if size > MAX_FRAME_BYTES:
                return log("store_frame", member=self.name, why=f"{size} bytes")
            try:
                message = _decode(_receive_exactly(sock, size))
            except msgspec.DecodeError as error:
                return log("store_frame", member=self.name, why=str(error))
            self._execute(self._raft.handle(self._now(), message))

    # Control calls

    def _answer(self, call: Call) -> dict[str, Any]:
        """Carry out a call and return the response body; raises StoreFault if it is not carried out."""
        if call.path == "/v1/status" and call.method == "GET":
            return self.status()
        if call.path == "/v1/changes" and call.method == "GET":
            return self._changes(call.query)
        key = call.path.removeprefix("/v1/store/")
        if not call.path.startswith("/v1/store/") or not key:
            raise f.NoSuchPath("", "no such path")
        if call.method == "GET":
            found = self._state_machine.documents.get(key)
            if found is None:
                raise f.NoSuchKey("", "no such key")
            return {"revision": found.revision, "value": found.value.decode("utf-8", "replace")}
        if call.method != "PUT":
            raise f.WrongMethod("", "takes GET and PUT")
        expect = call.query.removeprefix("expect=") if call.query else "-1"
        if not expect.removeprefix("-").isdigit():
            raise f.BadCall("expect", "wants a revision")
        return self._write_document(s.Put(secrets.token_hex(8), key, call.body, int(expect)))

    def _changes(self, query: str) -> dict[str, Any]:
        parameters = parse_qs(query)
        after, prefixes = parameters.get("after", ["0"])[0], tuple(parameters.get("prefix", ()))
        if not after.isdigit() or not prefixes:
            raise f.BadCall("after", "wants after=REVISION and prefix=PREFIX")
        documents: list[dict[str, Any]] = []
        size, upto = 0, self._applied
        newer = [
            (found.revision, key)
            for key, found in self._state_machine.documents.items()
            if found.revision > int(after) and key.startswith(prefixes)
        ]
        for _, key in sorted(newer):
            found = self._state_machine.documents[key]
            if documents and size + len(found.value) > MAX_CHANGES_BYTES:
                upto = documents[-1]["revision"]
                break
            size += len(found.value)
            value = found.value.decode("utf-8", "replace")
            documents.append({"key": key, "revision": found.revision, "value": value})
        return {"applied": self._applied, "upto": upto, "leader": self._raft.leader, "documents": documents}

    def _write_document(self, put: s.Put) -> dict[str, Any]:
        s.check_put(put)
        if self.fault:
            raise f.Stopped("", self.fault, leader="")
        done = self._raft.propose(self._now(), _encode(put))
        if done is None:
            raise f.NotLeading("", "another member leads", leader=self._raft.leader)
        waiting = self._pending_writes[put.id] = AsyncResult()
        self._execute(done[1])
        try:
            outcome: s.Outcome = waiting.get(timeout=COMMIT_TIMEOUT_S)  # type: ignore[assignment]
        except gevent.Timeout:
            raise f.Unknown("", "unknown: not committed in time") from None
        finally:
            del self._pending_writes[put.id]
        if outcome.why:
            raise f.Conflict("", outcome.why, revision=outcome.revision)
        return {"revision": outcome.revision}

    def status(self) -> dict[str, Any]:
        """The member's status for operators."""
        raft = self._raft
        role = "stopped" if self.fault else raft.role.value
        return {
            "member": self.name,
            "role": role,
            "leader": raft.leader,
            "term": raft.term,
            "commit": raft.commit,
            "applied": self._applied,
            "kept": len(raft.log),
            "keys": len(self._state_machine.documents),
            "dropped": self.dropped,
            "fault": self.fault,
            "behind": raft.stale,
        }

    def close(self) -> None:
        """Stop listening and close the file; everything acknowledged is on disk."""
        self._listener.close()
        self._control_server.close()
        self._disk.close()


def _listen_or_fail(key: str, address: Address, listen: Callable[[], T]) -> T:
    try:
        return listen()
    except OSError as error:
        raise CannotListen(key, f"{address[0]}:{address[1]}: {error}") from error


def _wait_closed(sock: Any) -> None:
    """Return once the other side, which sends nothing on this connection, has closed it."""
    with suppress(OSError):
        sock.recv(1)


def _receive_exactly(sock: Any, size: int) -> bytes:
    """Read exactly `size` bytes; OSError if the connection ends before."""
    pieces, missing = [], size
    while missing:
        data = sock.recv(min(missing, 1 << 20))
        if not data:
            raise OSError("ended")
        pieces.append(data)
        missing -= len(data)
    return b"".join(pieces)
