"""One member's process: consensus between its disk, the other members and whoever asks.

Owns the sockets: a listener for members, whose messages come as msgpack behind four bytes of length, and one
for callers over HTTP/1.1, one call to a connection. To each other member goes one connection with a bounded
queue that drops what is oldest: consensus says again what was lost. Where the disk fails, the member says so
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
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from random import SystemRandom
from typing import Any
from urllib.parse import parse_qs, unquote

import gevent
import msgspec
import orjson
from gevent import socket
from gevent.event import AsyncResult, Event

from spoolbarrow.config import Address
from spoolbarrow.net import http1
from spoolbarrow.net.log import log, unexpected
from spoolbarrow.store import state as s
from spoolbarrow.store.disk import Disk, DiskError
from spoolbarrow.store.raft import Append, Appended, Ask, Install, Raft, Ready, Settings, Vote

Wire = Ask | Vote | Append | Appended | Install
MOST_FRAME = 64 << 20  # a snapshot of all that may be kept is refused before it is longer
MOST_QUEUED = 256  # messages to one member
MOST_PEERS, MOST_CALLERS = 32, 64  # connections at once
TICK_S = 0.02
ANSWER_S = 3.0  # a change that is not committed by then is told as unknown
CALL_S = 3.0
TAKES_S = 2.0  # a member that takes nothing of a message so long is connected to anew
KEPT = 1000  # entries between snapshots
MAX_HEAD = 8192
MOST_TOLD = 1 << 20  # bytes of documents in one answer; at least one is told
_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(Wire).decode


class Member:
    """A running member; DiskError where its file can't be used, OSError where it can't listen."""

    def __init__(
        self, name: str, members: Mapping[str, Address], listen: Address, control: Address, path: Path,
        settings: Settings, most_pages: int = 0,
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
        self._listeners = [http1.listen(listen, 64), http1.listen(control, 64)]
        self._peers: set[Any] = set()
        self._callers: set[Any] = set()
        for other, address in members.items():
            if other != name:
                self._queues[other], self._wake[other] = deque(), Event()
                gevent.spawn(self._send_to, other, address)
        gevent.spawn(self._accept, self._listeners[0], self._peers, MOST_PEERS, self._hear)
        gevent.spawn(self._accept, self._listeners[1], self._callers, MOST_CALLERS, self._converse)
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
            log("store_disk", member=self.name, why=self.fault)
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

    def _accept(self, listener: Any, open_: set[Any], most: int, serve: Any) -> None:
        while True:
            sock, _ = listener.accept()
            if len(open_) >= most:
                sock.close()
                continue
            open_.add(sock)
            gevent.spawn(self._serve, sock, open_, serve)

    def _serve(self, sock: Any, open_: set[Any], serve: Any) -> None:
        try:
            with sock:
                serve(sock)
        except (OSError, http1.Fault, gevent.Timeout):
            pass  # it has gone, or says nothing that can be read
        except Exception as error:
            unexpected("store", error)
        finally:
            open_.discard(sock)

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

    def _converse(self, sock: Any) -> None:
        parser = http1.RequestParser(MAX_HEAD, s.MOST_VALUE)
        with gevent.Timeout(CALL_S):
            while not parser.whole and parser.fault is None:
                data = sock.recv(65_536)
                if not data:
                    return
                parser.feed(memoryview(data))
        if parser.whole:
            status, told = self._answer(parser.whole.popleft())
        else:
            assert parser.fault is not None
            status, told = parser.fault.status, {"error": str(parser.fault)}
        http1.send_pieces(sock, http1.answer_pieces(status, orjson.dumps(told), True))
        sock.shutdown(socket.SHUT_WR)

    def _answer(self, message: http1.Message) -> tuple[int, dict[str, Any]]:
        path, _, query = message.target.decode("latin-1").partition("?")
        if path == "/v1/status" and message.method == b"GET":
            return 200, self.status()
        if path == "/v1/changes" and message.method == b"GET":
            return self._changes(query)
        key = unquote(path.removeprefix("/v1/store/"))
        if not path.startswith("/v1/store/") or not key:
            return 404, {"error": "no such path"}
        if message.method == b"GET":
            found = self._state.documents.get(key)
            if found is None:
                return 404, {"error": "no such key"}
            return 200, {"revision": found.revision, "value": found.value.decode("utf-8", "replace")}
        if message.method != b"PUT":
            return 405, {"error": "takes GET and PUT"}
        expect = query.removeprefix("expect=") if query else "-1"
        if not expect.removeprefix("-").isdigit():
            return 400, {"error": "expect: wants a revision"}
        return self._put(s.Put(secrets.token_hex(8), key, bytes(message.body), int(expect)))

    def _changes(self, query: str) -> tuple[int, dict[str, Any]]:
        asked = parse_qs(query)
        after, prefixes = asked.get("after", ["0"])[0], tuple(asked.get("prefix", ()))
        if not after.isdigit() or not prefixes:
            return 400, {"error": "wants after=REVISION and prefix=PREFIX"}
        told: list[dict[str, Any]] = []
        size, upto = 0, self._applied
        newer = [
            (found.revision, key) for key, found in self._state.documents.items()
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
        return 200, {"applied": self._applied, "upto": upto, "leader": self._raft.leader, "documents": told}

    def _put(self, put: s.Put) -> tuple[int, dict[str, Any]]:
        if why := s.fault(put):
            return 400, {"error": why}
        if self.fault:
            return 409, {"error": self.fault, "leader": ""}  # nothing was done here: another may be asked
        done = self._raft.propose(self._now(), _encode(put))
        if done is None:
            return 409, {"error": "another member leads", "leader": self._raft.leader}
        waiting = self._waiting[put.id] = AsyncResult()
        self._do(done[1])
        try:
            outcome: s.Outcome = waiting.get(timeout=ANSWER_S)  # type: ignore[assignment]
        except gevent.Timeout:
            return 503, {"error": "unknown: not committed in time"}
        finally:
            del self._waiting[put.id]
        if outcome.why:
            status = 503 if outcome.why.startswith("unknown") else 409
            return status, {"error": outcome.why, "revision": outcome.revision}
        return 200, {"revision": outcome.revision}

    def status(self) -> dict[str, Any]:
        """What an operator wants to know."""
        raft = self._raft
        role = "stopped" if self.fault else raft.role.value
        return {
            "member": self.name, "role": role, "leader": raft.leader, "term": raft.term,
            "commit": raft.commit, "applied": self._applied, "kept": len(raft.log),
            "keys": len(self._state.documents), "dropped": self.dropped, "fault": self.fault,
        }

    def close(self) -> None:
        """End; what was answered for is on disk."""
        for listener in self._listeners:
            listener.close()
        self._disk.close()


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
