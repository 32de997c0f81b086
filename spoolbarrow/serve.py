"""Runs one serving router process: startup, signal handling and exit status."""

from __future__ import annotations

import gc
import os
import signal
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from spoolbarrow import config
from spoolbarrow.heap import configure_heap, trim_heap
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import default_log, log, log_problem
from spoolbarrow.net.memory_account import resident
from spoolbarrow.reload import DescriptorLimit, Reloader, load_operator

if TYPE_CHECKING:
    from spoolbarrow.admin.coordinator import Coordinator

GC_INTERVAL_S = 2.0


def start(host: Host, inbound: Inbound, coordinator: Coordinator | None) -> None:
    """Start listening and deciding; raises CannotListen if an address is unavailable."""
    try:
        if coordinator is None:
            inbound.start()
            host.start()
        else:
            inbound.start(coordinator.inherited_socket, coordinator.is_oldest())
            coordinator.start(host, inbound)
    except OSError as error:
        raise config.CannotListen("listen", str(error)) from error


def main() -> int:
    """Serve until SIGTERM, then finish the requests in progress."""
    configure_heap()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # must not end a program that is still starting
    coordinator: Coordinator | None = None
    descriptors = DescriptorLimit()
    try:
        settings, operator = descriptors.fit(config.load()), load_operator()
        if settings.control is not None or config.INHERITED_FD_VARIABLE in os.environ:
            from spoolbarrow.admin.coordinator import Coordinator

            coordinator = Coordinator(settings)
            settings = coordinator.fit(settings)
    except config.ConfigError as error:
        log_problem("bad_config", error)
        return error.status
    stop_requested = Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGINT, stop_requested.set)
    host = Host(settings, coordinator.clock() if coordinator is not None else None)
    inbound = Inbound(settings, host)
    reloader = Reloader(host, inbound, coordinator, descriptors)
    subsystems = reloader.subsystems
    try:
        subsystems.apply(subsystems.prepare(operator, settings))
    except config.ConfigError as error:
        log_problem("bad_config", error)
        return error.status
    # Before listening: a sender of SIGHUP may have no other sign that the program is up.
    gevent.signal_handler(signal.SIGHUP, reloader.reload)
    trim_heap()
    inbound.memory.begin(resident())  # before the first client can be accepted
    try:
        with reloader.change_lock:
            start(host, inbound, coordinator)
    except config.CannotListen as error:
        log_problem("bad_config", error)
        return error.status
    default_log.start()
    gc.freeze()  # objects loaded so far live as long as the process
    gc.enable()
    listen = f"{settings.listen[0]}:{settings.listen[1]}"
    log("started", name=settings.name, listen=listen, room=inbound.memory.capacity)
    while not stop_requested.wait(GC_INTERVAL_S):
        # Connections, parsers and requests form reference cycles. With its default thresholds, the collector
        # reaches the old generation so rarely that a busy minute's worth of them accumulates.
        gc.collect()
    log("draining", open=host.open_requests())
    reloader.drain()
    inbound.drain(coordinator.drain() if coordinator is not None else None)
    host.stop()
    if coordinator is not None:
        coordinator.close()
    subsystems.close()
    log("ended")
    default_log.stop()
    return 0
