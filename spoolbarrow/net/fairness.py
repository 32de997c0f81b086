"""Fairness between greenlets: a long run of one lets the others in between, those that wait for sockets too.

Owns how that is said to gevent, and how much is done before. A read or a write that need not wait does not
switch greenlets, so a peer whose bytes are always there would hold all others up.
"""

from __future__ import annotations

import gevent

# More than 0: what `gevent.sleep(0)` wakes runs up to 50 times before any socket is looked at.
PAUSE_S = 1e-6


def yield_to_others() -> None:
    """Let others run first: those that are ready, and those whose sockets have become ready."""
    gevent.sleep(PAUSE_S)
