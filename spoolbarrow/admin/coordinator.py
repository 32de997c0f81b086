"""Connects one process's control listener, operators' commands and handover to the router's other processes.

Joins `control`, `commands`, `state` and `handover`; `serve` creates it if there is a control listener or an
inherited listening socket. It keeps the configuration as it was read: while another process of the router
lives, this one gets only a part of the connection limits.
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
from spoolbarrow.admin.control import ControlListener, Versions, listen
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
    """Manages a process's control listener, operators' commands and handover, from its start to its end."""

    def __init__(self, config: Config) -> None:
        """Raises ConfigError if the inherited socket can't be used."""
        self._config = config
        self.inherited_socket = handover.inherited_listener()
        self._handover: Handover | None = None
        self._control: ControlListener | None = None
        self._shared = False  # another process is running
        self._handover_unanswered = False  # the newer process did not say whether it took a connection
        self.agreement: Versions | None = None  # set while versions are enabled
        directory = os.environ.get("TMPDIR")
        if directory:
            try:
                self._handover = Handover(directory)
            except OSError as error:
                log("handover_failed", what="folder", why=str(error))

    def fit(self, config: Config) -> Config:
        """A configuration with this process's part of the connection limits."""
        return config if self._handover is None else self._handover.divide_limits(config)

    def clock(self) -> Clock:
        """The clock shared by all processes of this router."""
        return Clock(None if self._handover is None else self._handover.clock_offset_s)

    def is_oldest(self) -> bool:
        """Whether no older process of this router is running."""
        return self._handover is None or not self._handover.older

    def has_successor(self) -> bool:
        """Whether a newer process accepts clients from the same socket."""
        return self.inherited_socket is not None and self._handover is not None and bool(self._handover.newer)

    def start(self, host: Host, inbound: Inbound) -> None:
        """Take over an older process's state and start deciding; raises CannotListen."""
        self._host, self._inbound = host, inbound
        self._commands = commands = OperatorCommands(host, inbound)
        received = None
        if self._handover is not None:
            host.ids.table, host.ids.peers = self._handover.id_table, self._handover.peer_tables
            dead = self._handover.refresh_peers()
            self._apply_remote(self._handover.read_peer_overrides(dead), at_start=True)
            self._handover.remove_files(dead)
            commands.publish = self._publish
            self._publish()  # this process publishes the overrides of dead processes from here on
            received = self._read_state(self._handover.await_state())
        if received is None:
            host.start()
        else:
            previous = received
            host.start(received.known, received.resumed, lambda router: state.restore(previous, router))
        if self._config.control is not None:
            self._control = ControlListener(host, inbound, commands, lambda: self.agreement)
            self._control.serve_on(listen(self._config.control))
        if self._handover is not None and self.inherited_socket is not None:
            self._handover.start(self._update_limits, self._apply_remote, self._write_state)
            try:
                self._handover.listen_for_streams(partial(connection_handover.receive, host, inbound))
            except OSError as error:
                log("handover_failed", what="streams", why=str(error))  # for example a path that is too long

    def drain(self) -> Callable[[ClientConnection], bool] | None:
        """Begin shutting down; returns what hands over idle connections, if a newer process accepts clients.

        Long streams are handed over to it later, by a timer.
        """
        if self._handover is not None:
            with suppress(OSError):
                self._handover.refresh_peers()  # the newer process may have ended since the last scan
        if not self.has_successor():
            return None
        gevent.spawn_later(
            shutdown_schedule(self._inbound.config, True).handover_ms / 1000, self._start_stream_handover
        )
        return self._give_idle

    def _give_idle(self, client: ClientConnection) -> bool:
        """Hand over an idle connection; returns whether the next one may be tried.

        A connection with a request coming in is served here, which does not stop the handover of others.
        """
        if self._handover_unanswered:
            return False
        if client.has_unread() or connection_handover.send_idle(client, self._send_idle):
            return True
        return not client.idle() or client.has_unread()  # its request has just arrived

    def _send_idle(self, text: bytes, descriptors: Sequence[int]) -> bool | None:
        assert self._handover is not None
        accepted = self._handover.send_stream(text, descriptors)
        # The other connections are not tried: each would wait in vain, and longer than this process lives.
        self._handover_unanswered = accepted is None
        return accepted

    def _start_stream_handover(self) -> None:
        self._host.hand_over = self._give_stream

    def _give_stream(self, attempt: InFlightAttempt) -> bool:
        assert self._handover is not None
        return connection_handover.send_stream(self._host, attempt, self._send_stream)

    def _send_stream(self, text: bytes, descriptors: Sequence[int]) -> bool | None:
        assert self._handover is not None
        accepted = self._handover.send_stream(text, descriptors)
        if accepted is None:
            self._host.hand_over = None  # each would wait in vain: the drain schedule handles the others
        return accepted

    def prepare(self, config: Config) -> socket.socket | None:
        """Do what can fail for a new configuration: raises CannotListen, changing nothing."""
        address_changed = config.control != self._config.control
        return listen(config.control) if address_changed and config.control is not None else None

    def apply(self, config: Config, listener: socket.socket | None) -> None:
        """Apply a new configuration, with the listener prepared for it."""
        address_changed, self._config = config.control != self._config.control, config
        if listener is not None:
            if self._control is None:
                self._control = ControlListener(
                    self._host, self._inbound, self._commands, lambda: self.agreement
                )
            self._control.serve_on(listener)
        elif address_changed and self._control is not None:
            self._control.close()
            self._control = None
        if self._control is not None:
            self._control.metrics.add_classes(config.classes)

    def close(self) -> None:
        """Stop listening and leave the handover."""
        if self._control is not None:
            self._control.close()
        if self._handover is not None:
            self._handover.close()

    def _update_limits(self) -> None:
        """Apply the connection limits anew: two processes share those of the router."""
        shared = self._handover is not None and self._handover.has_peers()
        if shared is not self._shared:
            self._shared = shared
            fitted = self.fit(self._config)
            self._inbound.share_limits(fitted)
            self._host.apply(fitted)

    def _publish(self) -> None:
        assert self._handover is not None
        self._handover.write_overrides(self._commands.overrides.encode(self._config.name))

    def _apply_remote(self, texts: list[bytes], at_start: bool = False) -> None:
        changed = False
        for text in texts:
            try:
                changed |= self._commands.apply_remote(overrides.decode(text, self._config.name), at_start)
            except HandoverDataError as error:
                log("handover_failed", what="words", why=str(error), remedy=error.remedy)
        if changed:
            self._publish()

    def _write_state(self) -> bytes:
        known, resumed = self._host.destinations.export()
        return state.encode(self._config.name, known, resumed, self._host.router())

    def _read_state(self, text: bytes | None) -> state.State | None:
        if text is None:
            if not self.is_oldest():
                log("handover_failed", what="state", why="none received")
            return None
        try:
            return state.decode(text, self._config.name)
        except HandoverDataError as error:
            log("handover_failed", what="state", why=str(error), remedy=error.remedy)
            return None
