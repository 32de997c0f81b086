"""Fair scheduling of greenlets: lets a long-running one yield to all others, sockets included.

A read or write that does not block does not switch greenlets, so a peer whose data is always available would
delay all others.
"""

from __future__ import annotations

import gevent

# Above 0: callbacks woken by `gevent.sleep(0)` run up to 50 times before the loop polls any socket.
PAUSE_S = 1e-6


def yield_to_others() -> None:
    """Run all other ready greenlets first, including those whose sockets have become ready."""
    gevent.sleep(PAUSE_S)
