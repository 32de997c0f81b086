"""One member's process: consensus between its disk, the other members and whoever asks.

Owns the listener for members, whose messages come as msgpack behind four bytes of length; `control_server` has the
one for callers. To each other member goes one connection with a bounded queue that drops what is oldest:
consensus says again what was lost. Where the disk fails, the member says so
and takes no more part, until it is started again; its last state is told as before.

    GET /v1/status            who leads, term, commit, drops, and the disk's fault
    GET /v1/store/KEY         the document as this member has it, with its revision
    GET /v1/changes?after=REVISION&prefix=PREFIX...
                              documents written since then, oldest first, as far as this member has them
    PUT /v1/store/KEY[?expect=REVISION]
                              through the leader; 409 with its name elsewhere, or at another revision
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
from spoolbarrow.store.control_server import Call, Callers
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
Wire = Ask | Vote | Append | Appended | Install | Hello | Known
OLDER = "its file is an older one than it had"
MOST_FRAME = 64 << 20  # a snapshot of all that may be kept is refused before it is longer
MOST_QUEUED = 256  # messages to one member
MOST_PEERS = 32  # connections at once
TICK_S = 0.02
ANSWER_S = 3.0  # a change that is not committed by then is told as unknown
TAKES_S = 2.0  # a member that takes nothing of a message so long is connected to anew
KEPT = 1000  # entries between snapshots
MOST_TOLD = 1 << 20  # bytes of documents in one answer; at least one is told
_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(Wire).decode


class Member:
    """A running member; DiskError or LogError where its file can't be used, CannotListen."""

    def __init__(
        self,
        name: str,
        members: Mapping[str, Address],
        listen: Address,
        control: Address,
        path: Path,
        settings: Settings,
        most_pages: int = 0,
    ) -> None:
        self.name = name
        self._disk = Disk(path, name)
        if most_pages:
            self._disk.allow(most_pages)
        saved = self._disk.load()
        self._told = ("", "")  # the role and leader that were logged last
        self._raft = Raft(name, list(members), self._now(), SystemRandom(), saved, settings)
        self._state = s.State(saved.snapshot.data)
        self._applied = saved.snapshot.index
        self._waiting: dict[str, AsyncResult[s.Outcome]] = {}
        self._queues: dict[str, deque[bytes]] = {}
        self._wake: dict[str, Event] = {}
        self.dropped = 0  # messages to members that took none
        self.fault = ""  # of the disk
        self._listener = _named("--listen", listen, lambda: http1.listen(listen, 64))
        self._callers = _named("--control", control, lambda: Callers(control, self._answer))
        self._peers: set[Any] = set()
        for other, address in members.items():
            if other != name:
                self._queues[other], self._wake[other] = deque(), Event()
                gevent.spawn(self._send_to, other, address)
        gevent.spawn(self._accept)
        gevent.spawn(self._tick)

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    # Consensus

    def _tick(self) -> None:
        while not self.fault:
            self._do(self._raft.handle(self._now()))
            gevent.sleep(TICK_S)

    def _do(self, ready: Ready) -> None:
        """Save, send, apply. Nothing here waits for others, so nothing comes in between."""
        if self.fault:
            return
        try:
            self._disk.save(ready)
        except DiskError as error:
            self.fault = str(error)
            log("store_disk", member=self.name, why=self.fault, remedy=error.remedy)
            for waiting in self._waiting.values():
                waiting.set(s.Outcome(0, "unknown: the disk failed"))
            return
        for message in ready.messages:
            self._queue(message.dst, _encode(message))
        if ready.snapshot is not None and ready.snapshot.index > self._applied:
            self._state, self._applied = s.State(ready.snapshot.data), ready.snapshot.index
        for entry in ready.committed:
            self._applied = entry.index
            done = self._state.apply(entry.index, entry.data)
            if done is not None and done[0] in self._waiting:
                self._waiting[done[0]].set(done[1])
        for name in ready.stale_members:
            log("store_member_behind", member=name, told_by=self.name, why=OLDER)
        now = (self._raft.role.value, self._raft.leader)
        if now != self._told:
            self._told = now
            log("store_role", member=self.name, role=now[0], leader=now[1], term=self._raft.term)
        if self._applied - self._raft.snapshot.index >= KEPT:
            self._do(self._raft.compact(self._applied, self._state.write()))

    def _queue(self, name: str, text: bytes) -> None:
        queue = self._queues[name]
        if len(queue) >= MOST_QUEUED:
            queue.popleft()
            self.dropped += 1
        queue.append(text)
        self._wake[name].set()

    # Other members

    def _send_to(self, name: str, address: Address) -> None:
        queue, wake = self._queues[name], self._wake[name]
        while True:
            try:
                with socket.create_connection(address, 1.0) as sock:
                    sock.settimeout(None)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    # Guards against a connection that ended while nothing was said: what an election sends
                    # first would be lost with it, and a second or two until it is sent again.
                    ended = gevent.spawn(_ended, sock)
                    ended.link(lambda _: wake.set())
                    while not ended.ready():
                        while queue and not ended.ready():
                            text = queue.popleft()
                            with gevent.Timeout(TAKES_S):
                                sock.sendall(struct.pack(">I", len(text)) + text)
                        wake.clear()
                        if not ended.ready():
                            wake.wait()
            except (OSError, gevent.Timeout):
                pass
            gevent.sleep(0.05)

    def _accept(self) -> None:
        while True:
            sock = next_connection(
                self._listener, lambda error: log("store_accept_paused", member=self.name, why=str(error))
            )
            if len(self._peers) >= MOST_PEERS:
                sock.close()
                continue
            self._peers.add(sock)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        try:
            with sock:
                self._hear(sock)
        except OSError:
            pass  # it has gone
        except Exception as error:
            log_exception("store", error)
        finally:
            self._peers.discard(sock)

    def _hear(self, sock: Any) -> None:
        while True:
            size = struct.unpack(">I", _exactly(sock, 4))[0]
            if size > MOST_FRAME:
                return log("store_frame", member=self.name, why=f"{size} bytes")
            try:
                message = _decode(_exactly(sock, size))
            except msgspec.DecodeError as error:
                return log("store_frame", member=self.name, why=str(error))
            self._do(self._raft.handle(self._now(), message))

    # Callers

    def _answer(self, call: Call) -> dict[str, Any]:
        """What a call comes to; StoreFault where it is not carried out."""
        if call.path == "/v1/status" and call.method == "GET":
            return self.status()
        if call.path == "/v1/changes" and call.method == "GET":
            return self._changes(call.query)
        key = call.path.removeprefix("/v1/store/")
        if not call.path.startswith("/v1/store/") or not key:
            raise f.NoSuchPath("", "no such path")
        if call.method == "GET":
            found = self._state.documents.get(key)
            if found is None:
                raise f.NoSuchKey("", "no such key")
            return {"revision": found.revision, "value": found.value.decode("utf-8", "replace")}
        if call.method != "PUT":
            raise f.WrongMethod("", "takes GET and PUT")
        expect = call.query.removeprefix("expect=") if call.query else "-1"
        if not expect.removeprefix("-").isdigit():
            raise f.BadCall("expect", "wants a revision")
        return self._put(s.Put(secrets.token_hex(8), key, call.body, int(expect)))

    def _changes(self, query: str) -> dict[str, Any]:
        asked = parse_qs(query)
        after, prefixes = asked.get("after", ["0"])[0], tuple(asked.get("prefix", ()))
        if not after.isdigit() or not prefixes:
            raise f.BadCall("after", "wants after=REVISION and prefix=PREFIX")
        told: list[dict[str, Any]] = []
        size, upto = 0, self._applied
        newer = [
            (found.revision, key)
            for key, found in self._state.documents.items()
            if found.revision > int(after) and key.startswith(prefixes)
        ]
        for _, key in sorted(newer):
            found = self._state.documents[key]
            if told and size + len(found.value) > MOST_TOLD:
                upto = told[-1]["revision"]
                break
            size += len(found.value)
            value = found.value.decode("utf-8", "replace")
            told.append({"key": key, "revision": found.revision, "value": value})
        return {"applied": self._applied, "upto": upto, "leader": self._raft.leader, "documents": told}

    def _put(self, put: s.Put) -> dict[str, Any]:
        s.check(put)
        if self.fault:
            raise f.Stopped("", self.fault, leader="")
        done = self._raft.propose(self._now(), _encode(put))
        if done is None:
            raise f.NotLeading("", "another member leads", leader=self._raft.leader)
        waiting = self._waiting[put.id] = AsyncResult()
        self._do(done[1])
        try:
            outcome: s.Outcome = waiting.get(timeout=ANSWER_S)  # type: ignore[assignment]
        except gevent.Timeout:
            raise f.Unknown("", "unknown: not committed in time") from None
        finally:
            del self._waiting[put.id]
        if outcome.why:
            kind = f.Unknown if outcome.why.startswith("unknown") else f.Conflict
            raise kind("", outcome.why, revision=outcome.revision)
        return {"revision": outcome.revision}

    def status(self) -> dict[str, Any]:
        """What an operator wants to know."""
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
            "keys": len(self._state.documents),
            "dropped": self.dropped,
            "fault": self.fault,
            "behind": raft.stale,
        }

    def close(self) -> None:
        """End; what was answered for is on disk."""
        self._listener.close()
        self._callers.close()
        self._disk.close()


def _named(key: str, where: Address, listen: Callable[[], T]) -> T:
    try:
        return listen()
    except OSError as error:
        raise CannotListen(key, f"{where[0]}:{where[1]}: {error}") from error


def _ended(sock: Any) -> None:
    """Until the other side, which says nothing on this connection, has closed it."""
    with suppress(OSError):
        sock.recv(1)


def _exactly(sock: Any, size: int) -> bytes:
    """So many bytes; OSError where the other side ends before."""
    pieces, left = [], size
    while left:
        data = sock.recv(min(left, 1 << 20))
        if not data:
            raise OSError("ended")
        pieces.append(data)
        left -= len(data)
    return b"".join(pieces)
