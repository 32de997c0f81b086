"""An upgrade: the inherited listening socket, and what passes between the processes that are one router.

Owns the files in `$TMPDIR/spoolbarrow/` and who of those there lives. Each process writes only its own files,
whole or not at all; a lock that it holds for life says that it is there. What the words and the state mean is
for `admin.overrides` and `admin.state` to know; nothing here is imported where operators call nowhere and no
socket is inherited.
"""

from __future__ import annotations

import fcntl
import os
import time
from array import array
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
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
from spoolbarrow.net.log import log, log_exception

FOLDER = "spoolbarrow"
LOOK_S = 0.05  # between looks at the others' files
STATE_WAIT_S = 1.0  # a process that starts waits so long at most for the state of the one before it
MOST_STATE = 8 << 20  # bytes of a state that is read
MOST_STREAM = 1 << 16  # bytes of a message on a stream: its tail is the most of it
MOST_DESCRIPTORS = 2  # of a stream: its client's connection and its endpoint's
STREAM_S = 0.5  # a stream is passed on within this, or not at all
STREAMS_BACKLOG = 256
MOST_FILES = 64  # looked at in the folder: there are never more than a few processes


class HandoverDataError(Problem, ValueError):
    """What an older process left, or a stream that it gives, can't be taken over."""

    where = "`what` of the line `handover_failed`"
    remedy = "Run both processes with the same name and version; what did not pass begins anew here."


class NotInherited(ConfigError):
    """What the process was started with is no listening TCP socket."""

    where = INHERITED_FD_VARIABLE
    remedy = f"Start it with the older process's listening socket, and have {INHERITED_FD_VARIABLE} name its descriptor."


def inherited_listener(environment: Mapping[str, str] = os.environ) -> socket.socket | None:
    """The listening socket that the environment names, if it does; ConfigError where it is none."""
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


def _receive(giver: socket.socket) -> tuple[bytes, list[int]]:
    """A message and the descriptors that came with it; OSError where it is too long or cut off."""
    held = array("i")
    room = socket.CMSG_SPACE(MOST_DESCRIPTORS * held.itemsize)
    data, rights, _, _ = giver.recvmsg(MOST_STREAM, room, socket.MSG_CMSG_CLOEXEC)
    for level, kind, numbers in rights:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            held.frombytes(numbers[: len(numbers) - len(numbers) % held.itemsize])
    try:
        while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4]):
            more = giver.recv(MOST_STREAM)
            if not more or len(data) > MOST_STREAM:
                raise OSError("a message that is cut off or too long")
            data += more
    except BaseException:
        for number in held:
            os.close(number)
        raise
    return data[4:], list(held)


def _number(name: str) -> int:
    """By which a process's name sorts; 0 for what is no such name."""
    number = name.partition("-")[0]
    return int(number) if number.isascii() and number.isdigit() else 0


class Handover:
    """This process among those that share a folder: they are one router."""

    def __init__(self, directory: str) -> None:
        """OSError where the folder can't be used."""
        self._folder = Path(directory) / FOLDER
        self._folder.mkdir(mode=0o700, exist_ok=True)
        # A Unix socket's path holds 107 bytes, and the folder's alone may be longer: a descriptor names it.
        self._directory = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        others = self._others()
        # A state that is there already was written for another process.
        self._old_states = {other: self._writing("state", other) for other in others}
        # Names sort by age: who is later is the successor, also where the wall clock was set back meanwhile.
        number = max([time.time_ns(), *(_number(other) + 1 for other in others)])
        self.process_name = f"{number:020d}-{os.getpid()}"
        self.clock_offset_s = self._shared_offset_s(others)  # of the clock that all of them go by
        self._lock = os.open(self._path("lock"), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        os.write(self._lock, b"%.6f" % self.clock_offset_s)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.older: list[str] = []  # the others that live
        self.newer: list[str] = []
        self._served: set[str] = set()  # those that the state was written for
        self._read: dict[str, tuple[int, int]] = {}  # words taken over: by whom, which writing of them
        self._looking: gevent.Greenlet[..., None] | None = None
        self._streams: socket.socket | None = None
        self._taking: gevent.Greenlet[..., None] | None = None
        self.refresh_peers()

    def _path(self, kind: str, of: str = "") -> Path:
        return self._folder / f"{of or self.process_name}.{kind}"

    def _streams_path(self, of: str = "") -> str:
        return f"/proc/self/fd/{self._directory}/{self._path('streams', of).name}"

    def refresh_peers(self) -> list[str]:
        """See who lives; those that are dead and left files."""
        others = [other for other in self._others() if other != self.process_name]
        alive = [other for other in others if self._lives(other)]
        self.older = [other for other in alive if other < self.process_name]
        self.newer = [other for other in alive if other > self.process_name]
        return [other for other in others if other not in alive]

    def _others(self) -> list[str]:
        """The processes that have files here, alive or not, by age."""
        with os.scandir(self._folder) as entries:
            names = sorted(entry.name for _, entry in zip(range(MOST_FILES), entries, strict=False))
        return [name.removesuffix(".lock") for name in names if name.endswith(".lock")]

    def _shared_offset_s(self, others: list[str]) -> float:
        """The clock offset of the processes that live, else this machine's now."""
        for other in others:
            if self._lives(other):
                with suppress(OSError, ValueError):
                    return float(self._path("lock", other).read_bytes())
        return unix_offset_s()

    def _writing(self, kind: str, of: str) -> tuple[int, int] | None:
        """Which writing of a file there is; None where there is none."""
        with suppress(OSError):
            status = self._path(kind, of).stat()
            return status.st_ino, status.st_mtime_ns
        return None

    def _lives(self, other: str) -> bool:
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
        """Have the others know; a fault is logged: what was said holds in this process all the same."""
        self._write("words", text)

    def _write(self, kind: str, text: bytes) -> None:
        partial = self._path(f"{kind}-partial")
        try:
            partial.write_bytes(text)
            partial.replace(self._path(kind))
        except OSError as error:
            log("handover_failed", what=kind, why=str(error))

    def read_peer_overrides(self, dead: list[str]) -> list[bytes]:
        """Words of the others, those not read yet; the files of the dead are gone after this."""
        texts = []
        for other in (*self.older, *self.newer, *dead):
            writing = self._writing("words", other)
            if writing is not None and self._read.get(other) != writing:
                with suppress(OSError):
                    texts.append(self._path("words", other).read_bytes())
                    self._read[other] = writing
        return texts

    def remove_files(self, dead: list[str]) -> None:
        """Remove what the dead left."""
        for other in dead:
            self._read.pop(other, None)
            self._served.discard(other)
            for kind in ("words", "words-partial", "state", "state-partial", "streams", "lock"):
                self._path(kind, other).unlink(missing_ok=True)

    def start(
        self, looked: Callable[[], None], adopt: Callable[[list[bytes]], None], state: Callable[[], bytes]
    ) -> None:
        """Go on looking: `looked` hears so each time, `adopt` what others were told, and `state` is asked for
        what a newer process is to know.
        """
        self._looking = gevent.spawn(self._go_on, looked, adopt, state)

    def _go_on(
        self, looked: Callable[[], None], adopt: Callable[[list[bytes]], None], state: Callable[[], bytes]
    ) -> None:
        while True:
            try:
                dead = self.refresh_peers()
                looked()
                if texts := self.read_peer_overrides(dead):
                    adopt(texts)
                self.remove_files(dead)
                if unserved := set(self.newer) - self._served:
                    self._served |= unserved
                    self._write("state", state())
                    log("handed_over", to=sorted(unserved))
            except Exception as error:  # the next look may fare better; serving never hears of it
                log_exception("handover", error)
            gevent.sleep(LOOK_S)

    def listen_for_streams(self, take: Callable[[bytes, list[int]], Callable[[], None]]) -> None:
        """Have older processes pass on their streams: `take` has a message and its descriptors; OSError."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            listener.bind(self._streams_path())
            listener.listen(STREAMS_BACKLOG)
        except OSError:
            listener.close()
            raise
        self._streams = listener
        self._taking = gevent.spawn(self._take_streams, listener, take)

    def _take_streams(
        self, listener: socket.socket, take: Callable[[bytes, list[int]], Callable[[], None]]
    ) -> None:
        while True:
            try:
                giver = next_connection(
                    listener, lambda error: log("handover_failed", what="streams", why=str(error))
                )
                with giver, gevent.Timeout(STREAM_S):
                    text, descriptors = _receive(giver)
                    try:
                        go = take(text, descriptors)
                    except (HandoverDataError, OSError) as error:
                        log("handover_failed", what="stream", why=str(error))
                        giver.sendall(b"n")
                        continue
                    try:
                        giver.sendall(b"y")
                    finally:
                        go()  # a giver that can't be told shuts the connections down
            except (OSError, gevent.Timeout) as error:
                log("handover_failed", what="stream", why=f"{type(error).__name__}: {error}")
            except Exception as error:
                log_exception("handover", error)

    def send_stream(self, text: bytes, descriptors: Sequence[int]) -> bool | None:
        """Pass a stream to the newest process: taken, not taken, or not known."""
        if not self.newer:
            return False
        sent = False
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as taker, gevent.Timeout(STREAM_S):
                taker.connect(self._streams_path(self.newer[-1]))
                rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array("i", descriptors))
                done = taker.sendmsg([len(text).to_bytes(4), text], [rights])
                sent = True  # the descriptors go with the first byte, or not at all
                taker.sendall((len(text).to_bytes(4) + text)[done:])
                return {b"y": True, b"n": False}.get(taker.recv(1))
        except (OSError, gevent.Timeout) as error:
            log("handover_failed", what="stream", why=f"{type(error).__name__}: {error}")
            return None if sent else False

    def await_state(self) -> bytes | None:
        """The state of the process before this one; None where there is none or it does not come in time."""
        until = time.monotonic() + STATE_WAIT_S
        while self.older and time.monotonic() < until:
            older = self.older[-1]
            path, writing = self._path("state", older), self._writing("state", older)
            if writing is not None and writing != self._old_states.get(older):
                with suppress(OSError):
                    return path.read_bytes() if path.stat().st_size <= MOST_STATE else None
            gevent.sleep(LOOK_S / 5)
            self.refresh_peers()
        return None

    def has_peers(self) -> bool:
        """Whether another process of the router lives."""
        return bool(self.older or self.newer)

    def divide_limits(self, config: Config) -> Config:
        """This process's part of the router's room while another one lives."""
        if not self.has_peers():
            return config
        # Each keeps a whole reserve for itself: together they hold no more than one alone.
        control = config.control is not None
        both = config.max_inbound + config.max_outbound + reserved_descriptors(control)
        inbound, outbound = split_connections(both // 2, control)
        return replace(
            config,
            max_inbound=inbound,
            max_outbound=outbound,
            max_held_bytes=config.max_held_bytes // 2,
        )

    def close(self) -> None:
        """End: words stay for whoever comes next."""
        if self._looking is not None:
            self._looking.kill()
        if self._taking is not None and self._streams is not None:
            self._taking.kill()
            self._streams.close()
        for kind in ("state", "streams"):
            self._path(kind).unlink(missing_ok=True)
        os.close(self._directory)
        os.close(self._lock)
