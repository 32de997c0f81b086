"""One real router: start, signals, exit status."""

from __future__ import annotations

import gc
import os
import signal
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from spoolbarrow import config
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import default_log, log, log_problem
from spoolbarrow.reload import DescriptorLimit, Reloader, operators

if TYPE_CHECKING:
    from spoolbarrow.admin.coordinator import Coordinator

TIDY_S = 2.0


def start(host: Host, inbound: Inbound, operations: Coordinator | None) -> None:
    """Listen and begin to decide; CannotListen where an address can't be had."""
    try:
        if operations is None:
            inbound.start()
            host.start()
        else:
            inbound.start(operations.inherited_socket, operations.is_oldest())
            operations.start(host, inbound)
    except OSError as error:
        raise config.CannotListen("listen", str(error)) from error


def main() -> int:
    """Serve until SIGTERM, then finish what was taken."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it must not end a program that is not up yet
    operations: Coordinator | None = None
    descriptors = DescriptorLimit()
    try:
        settings, operator = descriptors.fit(config.load()), operators()
        if settings.control is not None or config.INHERITED_FD_VARIABLE in os.environ:
            from spoolbarrow.admin.coordinator import Coordinator

            operations = Coordinator(settings)
            settings = operations.fit(settings)
    except config.ConfigError as error:
        log_problem("bad_config", error)
        return error.status
    told_to_end = Event()
    gevent.signal_handler(signal.SIGTERM, told_to_end.set)
    gevent.signal_handler(signal.SIGINT, told_to_end.set)
    host = Host(settings, operations.clock() if operations is not None else None)
    inbound = Inbound(settings, host)
    reloader = Reloader(host, inbound, operations, descriptors)
    subsystems = reloader.subsystems
    try:
        subsystems.apply(subsystems.prepare(operator, settings))
    except config.ConfigError as error:
        log_problem("bad_config", error)
        return error.status
    # Before it listens: what sends SIGHUP may know of no other sign that the program is up.
    gevent.signal_handler(signal.SIGHUP, reloader.reload)
    try:
        with reloader.changing:
            start(host, inbound, operations)
    except config.CannotListen as error:
        log_problem("bad_config", error)
        return error.status
    default_log.start()
    gc.freeze()  # what is loaded by now lives as long as the process
    gc.enable()
    log("started", name=settings.name, listen=f"{settings.listen[0]}:{settings.listen[1]}")
    while not told_to_end.wait(TIDY_S):
        # Connections, parsers and requests refer to each other in rings. Left to its own thresholds, the
        # collector comes to the old ones so seldom that a busy minute's worth of them piles up.
        gc.collect()
    log("draining", open=host.open_requests())
    reloader.drain()
    inbound.drain(operations.drain() if operations is not None else None)
    host.stop()
    if operations is not None:
        operations.close()
    subsystems.close()
    log("ended")
    default_log.stop()
    return 0
