"""Upgrades without downtime: the inherited listening socket and the handover between a router's processes.

Owns the files in `$TMPDIR/spoolbarrow/` and tracks which of the processes there are alive. Each process
writes only its own files, atomically, and holds a lock for its lifetime that marks it as alive.
`admin.overrides` and `admin.state` define the contents. Not imported if there is neither a control listener
nor an inherited socket.
"""

from __future__ import annotations

import fcntl
import os
import time
from array import array
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from mmap import ACCESS_READ, mmap
from pathlib import Path

import gevent
from gevent import socket
from msgspec.structs import replace

from spoolbarrow.config import (
    INHERITED_FD_VARIABLE,
    Config,
    ConfigError,
    reserved_descriptors,
    split_connections,
)
from spoolbarrow.errors import Problem
from spoolbarrow.net.accepting import next_connection
from spoolbarrow.net.clock import unix_offset_s
from spoolbarrow.net.id_table import TABLE_BYTES, IdTable
from spoolbarrow.net.log import log, log_exception

FOLDER = "spoolbarrow"
POLL_S = 0.05  # between checks of the other processes' files
STATE_WAIT_S = 1.0  # time-out of a starting process for the state of its predecessor
MAX_STATE_BYTES = 8 << 20  # of a state file
MAX_STREAM_BYTES = 1 << 16  # of a stream's message, most of which is its tail
MAX_DESCRIPTORS = 2  # of a stream: client connection and endpoint connection
STREAM_TIMEOUT_S = 0.5  # for handing over a stream
STREAMS_BACKLOG = 256
FILE_KINDS = ("words", "words-partial", "state", "state-partial", "streams", "ids", "lock")
MAX_FILES = 512  # read from the folder; there are never more than a few processes


class HandoverDataError(Problem, ValueError):
    """The data or a stream of an older process can't be taken over."""

    where = "`what` of the line `handover_failed`"
    remedy = "Run both processes with the same name and version; what was not handed over starts anew here."


class NotInherited(ConfigError):
    """The inherited descriptor is no listening TCP socket."""

    where = INHERITED_FD_VARIABLE
    remedy = f"Pass the older process's listening socket, and set {INHERITED_FD_VARIABLE} to its descriptor."


def inherited_listener(environment: Mapping[str, str] = os.environ) -> socket.socket | None:
    """The listening socket that the environment names, if any; ConfigError if it is not one."""
    text = environment.get(INHERITED_FD_VARIABLE)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise NotInherited(f"{INHERITED_FD_VARIABLE}: {text!r} is not the number of a descriptor")
    try:
        listener = socket.socket(fileno=int(text))
    except (OSError, OverflowError) as error:
        raise NotInherited(f"{INHERITED_FD_VARIABLE}: {text} is no socket: {error}") from None
    listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if not listens or (listener.family, listener.type) != (socket.AF_INET, socket.SOCK_STREAM):
        listener.detach()
        raise NotInherited(f"{INHERITED_FD_VARIABLE}: {text} is no listening TCP socket")
    return listener


def _receive_message(sender: socket.socket) -> tuple[bytes, list[int]]:
    """Receive a message with its descriptors; OSError if it is too long or incomplete."""
    held = array("i")
    room = socket.CMSG_SPACE(MAX_DESCRIPTORS * held.itemsize)
    data, rights, _, _ = sender.recvmsg(MAX_STREAM_BYTES, room, socket.MSG_CMSG_CLOEXEC)
    for level, kind, numbers in rights:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            held.frombytes(numbers[: len(numbers) - len(numbers) % held.itemsize])
    try:
        while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4]):
            more = sender.recv(MAX_STREAM_BYTES)
            if not more or len(data) > MAX_STREAM_BYTES:
                raise OSError("message incomplete or too long")
            data += more
    except BaseException:
        for number in held:
            os.close(number)
        raise
    return data[4:], list(held)


def _number(name: str) -> int:
    """The number that a process name starts with; 0 for any other name."""
    number = name.partition("-")[0]
    return int(number) if number.isascii() and number.isdigit() else 0


class Handover:
    """This process and the other processes of the same router, which share a folder."""

    def __init__(self, directory: str) -> None:
        """OSError if the folder is unusable."""
        self._folder = Path(directory) / FOLDER
        self._folder.mkdir(mode=0o700, exist_ok=True)
        # A Unix socket path is limited to 107 bytes; as the folder's may be longer, a descriptor replaces it.
        self._directory = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        others = self._processes()
        # Existing state files were written for other processes.
        self._old_state_versions = {other: self._file_version("state", other) for other in others}
        # Names sort by age: the latest process is the successor, even if the wall clock was set back.
        number = max([time.time_ns(), *(_number(other) + 1 for other in others)])
        self.process_name = f"{number:020d}-{os.getpid()}"
        self.clock_offset_s = self._shared_offset_s(others)  # of the clock that all processes share
        self._lock = os.open(self._path("lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        os.write(self._lock, b"%.6f" % self.clock_offset_s)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.older: list[str] = []  # live processes
        self.newer: list[str] = []
        self.id_table = self._create_id_table()
        self._peer_tables: dict[str, IdTable] = {}
        self._state_given: set[str] = set()  # newer processes that the state was written for
        self._read_versions: dict[str, tuple[int, int]] = {}  # by process: last override file read
        self._poller: gevent.Greenlet[..., None] | None = None
        self._stream_listener: socket.socket | None = None
        self._stream_taker: gevent.Greenlet[..., None] | None = None
        self.refresh_peers()

    def _create_id_table(self) -> IdTable:
        """This process's table, in a file that the others map; in its own memory if that fails."""
        try:
            with open(self._path("ids"), "w+b") as file:
                file.truncate(TABLE_BYTES)
                os.posix_fallocate(file.fileno(), 0, TABLE_BYTES)  # a full file system would end the process
                return IdTable(mmap(file.fileno(), TABLE_BYTES))
        except OSError as error:
            log("handover_failed", what="ids", why=str(error))
            return IdTable()

    def _read_id_table(self, of: str) -> IdTable | None:
        """Another process's table; None if it can't be read."""
        try:
            with open(self._path("ids", of), "rb") as file:
                return IdTable(mmap(file.fileno(), TABLE_BYTES, access=ACCESS_READ))
        except (OSError, ValueError):  # none, or one of another size
            return None

    def peer_tables(self) -> Iterable[IdTable]:
        """The tables of the router's other live processes."""
        return self._peer_tables.values()

    def _map_peer_tables(self) -> None:
        for other in (*self.older, *self.newer):
            if other not in self._peer_tables and (table := self._read_id_table(other)) is not None:
                self._peer_tables[other] = table

    def _path(self, kind: str, of: str = "") -> Path:
        return self._folder / f"{of or self.process_name}.{kind}"

    def _stream_socket_path(self, of: str = "") -> str:
        return f"/proc/self/fd/{self._directory}/{self._path('streams', of).name}"

    def refresh_peers(self) -> list[str]:
        """Update `older` and `newer`; returns the dead processes that left files."""
        others = [other for other in self._processes() if other != self.process_name]
        alive = [other for other in others if self._is_alive(other)]
        self.older = [other for other in alive if other < self.process_name]
        self.newer = [other for other in alive if other > self.process_name]
        self._map_peer_tables()
        return [other for other in others if other not in alive]

    def _processes(self) -> list[str]:
        """All processes with files in the folder, alive or dead, by age."""
        with os.scandir(self._folder) as entries:
            names = sorted(entry.name for _, entry in zip(range(MAX_FILES), entries, strict=False))
        return [name.removesuffix(".lock") for name in names if name.endswith(".lock")]

    def _shared_offset_s(self, others: list[str]) -> float:
        """The clock offset of a live process, else this machine's present one."""
        for other in others:
            if self._is_alive(other):
                with suppress(OSError, ValueError):
                    return float(self._path("lock", other).read_bytes())
        return unix_offset_s()

    def _file_version(self, kind: str, of: str) -> tuple[int, int] | None:
        """Identify the current version of a file; None if there is none."""
        with suppress(OSError):
            status = self._path(kind, of).stat()
            return status.st_ino, status.st_mtime_ns
        return None

    def _is_alive(self, other: str) -> bool:
        try:
            held = os.open(self._path("lock", other), os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(held, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return False
        except OSError:
            return True
        finally:
            os.close(held)

    def write_overrides(self, text: bytes) -> None:
        """Publish this process's overrides to the others; a fault is logged, as they apply here anyway."""
        self._write("words", text)

    def _write(self, kind: str, text: bytes) -> None:
        partial = self._path(f"{kind}-partial")
        try:
            partial.write_bytes(text)
            partial.replace(self._path(kind))
        except OSError as error:
            log("handover_failed", what=kind, why=str(error))

    def read_peer_overrides(self, dead: list[str]) -> list[bytes]:
        """Overrides of other processes that were not read yet; files of dead ones are removed afterwards."""
        texts = []
        for other in (*self.older, *self.newer, *dead):
            version = self._file_version("words", other)
            if version is not None and self._read_versions.get(other) != version:
                with suppress(OSError):
                    texts.append(self._path("words", other).read_bytes())
                    self._read_versions[other] = version
        return texts

    def remove_files(self, dead: list[str]) -> None:
        """Remove the files of dead processes."""
        for other in dead:
            self._read_versions.pop(other, None)
            self._state_given.discard(other)
            table = self._peer_tables.pop(other, None) or self._read_id_table(other)
            if table is not None:
                self.id_table.absorb(table)
            for kind in FILE_KINDS:
                self._path(kind, other).unlink(missing_ok=True)

    def start(
        self, polled: Callable[[], None], adopt: Callable[[list[bytes]], None], state: Callable[[], bytes]
    ) -> None:
        """Start polling: calls `polled` each time, `adopt` with new overrides of other processes, and `state`
        to encode the state for a newer process.
        """
        self._poller = gevent.spawn(self._poll, polled, adopt, state)

    def _poll(
        self, polled: Callable[[], None], adopt: Callable[[list[bytes]], None], state: Callable[[], bytes]
    ) -> None:
        while True:
            try:
                dead = self.refresh_peers()
                polled()
                if texts := self.read_peer_overrides(dead):
                    adopt(texts)
                self.remove_files(dead)
                if unserved := set(self.newer) - self._state_given:
                    self._state_given |= unserved
                    self._write("state", state())
                    log("handed_over", to=sorted(unserved))
            except Exception as error:  # the next poll may succeed; serving is not affected
                log_exception("handover", error)
            gevent.sleep(POLL_S)

    def listen_for_streams(self, take: Callable[[bytes, list[int]], Callable[[], None]]) -> None:
        """Accept streams from older processes by `take(message, descriptors)`; OSError if it can't listen."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            listener.bind(self._stream_socket_path())
            listener.listen(STREAMS_BACKLOG)
        except OSError:
            listener.close()
            raise
        self._stream_listener = listener
        self._stream_taker = gevent.spawn(self._serve_streams, listener, take)

    def _serve_streams(
        self, listener: socket.socket, take: Callable[[bytes, list[int]], Callable[[], None]]
    ) -> None:
        while True:
            try:
                sender = next_connection(
                    listener, lambda error: log("handover_failed", what="streams", why=str(error))
                )
                with sender, gevent.Timeout(STREAM_TIMEOUT_S):
                    text, descriptors = _receive_message(sender)
                    try:
                        start = take(text, descriptors)
                    except (HandoverDataError, OSError) as error:
                        log("handover_failed", what="stream", why=str(error))
                        sender.sendall(b"n")
                        continue
                    try:
                        sender.sendall(b"y")
                    finally:
                        start()  # a sender without the reply shuts the connections down
            except (OSError, gevent.Timeout) as error:
                log("handover_failed", what="stream", why=f"{type(error).__name__}: {error}")
            except Exception as error:
                log_exception("handover", error)

    def send_stream(self, text: bytes, descriptors: Sequence[int]) -> bool | None:
        """Hand a stream over to the newest process; whether it was accepted, None if unknown."""
        if not self.newer:
            return False
        sent = False
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as peer, gevent.Timeout(STREAM_TIMEOUT_S):
                peer.connect(self._stream_socket_path(self.newer[-1]))
                rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array("i", descriptors))
                size = peer.sendmsg([len(text).to_bytes(4), text], [rights])
                sent = True  # the descriptors are sent with the first byte
                peer.sendall((len(text).to_bytes(4) + text)[size:])
                return {b"y": True, b"n": False}.get(peer.recv(1))
        except (OSError, gevent.Timeout) as error:
            log("handover_failed", what="stream", why=f"{type(error).__name__}: {error}")
            return None if sent else False

    def await_state(self) -> bytes | None:
        """Wait for the predecessor's state; None if there is no predecessor or it is too late."""
        deadline = time.monotonic() + STATE_WAIT_S
        while self.older and time.monotonic() < deadline:
            older = self.older[-1]
            path, version = self._path("state", older), self._file_version("state", older)
            if version is not None and version != self._old_state_versions.get(older):
                with suppress(OSError):
                    return path.read_bytes() if path.stat().st_size <= MAX_STATE_BYTES else None
            gevent.sleep(POLL_S / 5)
            self.refresh_peers()
        return None

    def has_peers(self) -> bool:
        """Whether another process of this router is alive."""
        return bool(self.older or self.newer)

    def divide_limits(self, config: Config) -> Config:
        """This process's share of the router's limits while another one is alive."""
        if not self.has_peers():
            return config
        # Each process has a full reserve of its own; together they hold no more than one process alone.
        control = config.control is not None
        total = config.max_inbound + config.max_outbound + reserved_descriptors(control)
        inbound, outbound = split_connections(total // 2, control)
        return replace(
            config,
            max_inbound=inbound,
            max_outbound=outbound,
            max_held_bytes=config.max_held_bytes // 2,
            processes=2,
        )

    def close(self) -> None:
        """End the handover; the overrides file stays for the next process."""
        if self._poller is not None:
            self._poller.kill()
        if self._stream_taker is not None and self._stream_listener is not None:
            self._stream_taker.kill()
            self._stream_listener.close()
        for kind in ("state", "streams"):
            self._path(kind).unlink(missing_ok=True)
        os.close(self._directory)
        os.close(self._lock)
