"""One real router: start, signals, exit status."""

from __future__ import annotations

import gc
import signal
import sys

import gevent
from gevent.event import Event

from spoolbarrow import config
from spoolbarrow.net.host import Host
from spoolbarrow.net.inbound import Inbound
from spoolbarrow.net.log import log

TIDY_S = 2.0


def reload(host: Host, inbound: Inbound) -> None:
    """Go by the configuration file as it is now; a faulty one, or one that comes late, changes nothing."""
    if inbound.draining:
        return log("reload_ignored", why="draining")
    try:
        settings = config.load()
        inbound.apply(settings)
    except (config.ConfigError, OSError) as error:
        return log("reload_failed", error=str(error))
    host.apply(settings)
    log("reloaded", name=settings.name, listen=f"{settings.listen[0]}:{settings.listen[1]}")


def main() -> int:
    """Serve until SIGTERM, then finish what was taken."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it must not end a program that is not up yet
    try:
        settings = config.load()
    except config.ConfigError as error:
        log("bad_config", error=str(error))
        return 2
    told_to_end = Event()
    gevent.signal_handler(signal.SIGTERM, told_to_end.set)
    gevent.signal_handler(signal.SIGINT, told_to_end.set)
    host = Host(settings)
    inbound = Inbound(settings, host)
    # Before it listens: what sends SIGHUP may know of no other sign that the program is up.
    gevent.signal_handler(signal.SIGHUP, reload, host, inbound)
    try:
        inbound.start()
    except OSError as error:
        log("bad_config", error=f"listen: {error}")
        return 2
    host.start()
    gc.freeze()  # what is loaded by now lives as long as the process
    log("started", name=settings.name, listen=f"{settings.listen[0]}:{settings.listen[1]}")
    while not told_to_end.wait(TIDY_S):
        # Connections, parsers and requests refer to each other in rings. Left to its own thresholds, the
        # collector comes to the old ones so seldom that a busy minute's worth of them piles up.
        gc.collect()
    log("draining", open=host.open_requests())
    inbound.drain()
    host.stop()
    log("ended")
    return 0


if __name__ == "__main__":
    sys.exit(main())
