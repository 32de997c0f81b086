"""The operators' side of one process: its listener, the orders that hold, the router's other processes.

Joins what `control`, `commands`, `state` and `handover` own; `serve` starts it where operators call or a
listening socket is inherited. It keeps the configuration as it was read: while another process of the router
lives, only a part of the room is this one's.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from contextlib import suppress
from functools import partial

import gevent
from gevent import socket

from spoolbarrow import handover
from spoolbarrow.admin import overrides, state
from spoolbarrow.admin.commands import OperatorCommands
from spoolbarrow.admin.control import Control, Versions, listen
from spoolbarrow.config import Config
from spoolbarrow.handover import Handover, HandoverDataError
from spoolbarrow.net import connection_handover
from spoolbarrow.net.client import ClientConnection
from spoolbarrow.net.clock import Clock
from spoolbarrow.net.drain_schedule import shutdown_schedule
from spoolbarrow.net.endpoint_response import InFlightAttempt
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import log


class Coordinator:
    """From the start of a process to its end."""

    def __init__(self, config: Config) -> None:
        """ConfigError where what is inherited can't be used."""
        self._config = config
        self.inherited_socket = handover.inherited_listener()
        self._handover: Handover | None = None
        self._control: Control | None = None
        self._shared = False  # another process lives
        self._unheard = False  # the newer process did not say whether it took a connection
        self.agreement: Versions | None = None  # where versions are told
        directory = os.environ.get("TMPDIR")
        if directory:
            try:
                self._handover = Handover(directory)
            except OSError as error:
                log("handover_failed", what="folder", why=str(error))

    def fit(self, config: Config) -> Config:
        """A configuration with this process's part of the room."""
        return config if self._handover is None else self._handover.divide_limits(config)

    def clock(self) -> Clock:
        """The clock that all processes of this router go by."""
        return Clock(None if self._handover is None else self._handover.clock_offset_s)

    def is_oldest(self) -> bool:
        """Whether no older process of this router lives."""
        return self._handover is None or not self._handover.older

    def has_successor(self) -> bool:
        """Whether a newer process takes clients from the same socket."""
        return self.inherited_socket is not None and self._handover is not None and bool(self._handover.newer)

    def start(self, host: Host, inbound: Inbound) -> None:
        """Take over what an older process passes on, and begin to decide; CannotListen for calls."""
        self._host, self._inbound = host, inbound
        self._orders = orders = OperatorCommands(host, inbound)
        passed = None
        if self._handover is not None:
            dead = self._handover.refresh_peers()
            self._adopt(self._handover.read_peer_overrides(dead), at_start=True)
            self._handover.remove_files(dead)
            orders.tell = self._tell
            self._tell()  # what the dead were told is this process's to pass on from here
            passed = self._read_state(self._handover.await_state())
        if passed is None:
            host.start()
        else:
            given = passed
            host.start(passed.known, passed.resumed, lambda router: state.restore(given, router))
        if self._config.control is not None:
            self._control = Control(host, inbound, orders, lambda: self.agreement)
            self._control.move(listen(self._config.control))
        if self._handover is not None and self.inherited_socket is not None:
            self._handover.start(self._update_limits, self._adopt, self._write_state)
            try:
                self._handover.listen_for_streams(partial(connection_handover.receive, host, inbound))
            except OSError as error:
                log("handover_failed", what="streams", why=str(error))  # a path that is too long, say

    def drain(self) -> Callable[[ClientConnection], bool] | None:
        """SIGTERM has come: what passes idle connections on, where a newer process takes clients.

        Streams that last pass on to it by themselves.
        """
        if self._handover is not None:
            with suppress(OSError):
                self._handover.refresh_peers()  # the newer one may have ended since the last look
        if not self.has_successor():
            return None
        gevent.spawn_later(
            shutdown_schedule(self._inbound.config, True).handover_ms / 1000, self._pass_streams
        )
        return self._give_idle

    def _give_idle(self, client: ClientConnection) -> bool:
        """Whether the next idle connection may be tried, too.

        One whose next request is coming in is served here, and that is no reason to give up on the others.
        """
        if self._unheard:
            return False
        if client.has_unread() or connection_handover.send_idle(client, self._send_idle):
            return True
        return not client.idle() or client.has_unread()  # its request came just now

    def _send_idle(self, text: bytes, descriptors: Sequence[int]) -> bool | None:
        assert self._handover is not None
        taken = self._handover.send_stream(text, descriptors)
        # Guards the others: each would wait in vain, and longer than this process lives.
        self._unheard = taken is None
        return taken

    def _pass_streams(self) -> None:
        self._host.hand_over = self._give

    def _give(self, underway: InFlightAttempt) -> bool:
        assert self._handover is not None
        return connection_handover.send_stream(self._host, underway, self._send_stream)

    def _send_stream(self, text: bytes, descriptors: Sequence[int]) -> bool | None:
        assert self._handover is not None
        taken = self._handover.send_stream(text, descriptors)
        if not taken:
            self._host.hand_over = None  # the clock of the drain sees to the rest
        return taken

    def prepare(self, config: Config) -> socket.socket | None:
        """What a new configuration needs that can fail: CannotListen, and nothing is changed."""
        moved = config.control != self._config.control
        return listen(config.control) if moved and config.control is not None else None

    def apply(self, config: Config, listener: socket.socket | None) -> None:
        """Go by a new configuration, with what was prepared for it."""
        moved, self._config = config.control != self._config.control, config
        if listener is not None:
            if self._control is None:
                self._control = Control(self._host, self._inbound, self._orders, lambda: self.agreement)
            self._control.move(listener)
        elif moved and self._control is not None:
            self._control.close()
            self._control = None
        if self._control is not None:
            self._control.figures.name(config.classes)

    def close(self) -> None:
        """End."""
        if self._control is not None:
            self._control.close()
        if self._handover is not None:
            self._handover.close()

    def _update_limits(self) -> None:
        """Guards the limits of the router: two processes have them together."""
        shared = self._handover is not None and self._handover.has_peers()
        if shared is not self._shared:
            self._shared = shared
            fitting = self.fit(self._config)
            self._inbound.config = fitting
            self._host.apply(fitting)

    def _tell(self) -> None:
        assert self._handover is not None
        self._handover.write_overrides(self._orders.words.encode(self._config.name))

    def _adopt(self, texts: list[bytes], at_start: bool = False) -> None:
        changed = False
        for text in texts:
            try:
                changed |= self._orders.apply_remote(overrides.decode(text, self._config.name), at_start)
            except HandoverDataError as error:
                log("handover_failed", what="words", why=str(error), remedy=error.remedy)
        if changed:
            self._tell()

    def _write_state(self) -> bytes:
        known, resumed = self._host.destinations.export()
        return state.encode(self._config.name, known, resumed, self._host.router())

    def _read_state(self, text: bytes | None) -> state.State | None:
        if text is None:
            if not self.is_oldest():
                log("handover_failed", what="state", why="none came")
            return None
        try:
            return state.decode(text, self._config.name)
        except HandoverDataError as error:
            log("handover_failed", what="state", why=str(error), remedy=error.remedy)
            return None
