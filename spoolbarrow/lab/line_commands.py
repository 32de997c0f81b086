"""How a test or benchmark speaks to a process it started: a line in, a line out, until a time at most."""

from __future__ import annotations

import sys
from collections.abc import Callable

import gevent
from gevent.fileobject import FileObject

from spoolbarrow.errors import Problem


class CommandFailed(Problem):
    """A process of the lab answers a line with an error, or is asked for what it is not."""

    where = "the line, or the key"
    remedy = "See what the process takes, and whether it still runs."


def serve_commands(seconds: float, obey: Callable[[str], str]) -> None:
    """Answer each line of standard input with one on standard output, until it ends or `seconds` are over."""
    ear = FileObject(sys.stdin.fileno(), "r", close=False)

    def listen() -> None:
        for line in ear:
            if line.strip():
                print(obey(line.strip()), flush=True)

    gevent.spawn(listen).join(timeout=seconds)
