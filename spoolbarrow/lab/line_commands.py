"""Serves commands of a test or benchmark in a process it started: one line of answer for each line."""

from __future__ import annotations

import sys
from collections.abc import Callable

import gevent
from gevent.fileobject import FileObject

from spoolbarrow.errors import Problem


class CommandFailed(Problem):
    """A process of the lab answers a command with an error, or gets a command that it does not have."""

    where = "the line, or the key"
    remedy = "Check which commands the process has, and whether it still runs."


def serve_commands(seconds: float, answer: Callable[[str], str]) -> None:
    """Answer each line of standard input with one on standard output, until it ends or after `seconds`."""
    stdin = FileObject(sys.stdin.fileno(), "r", close=False)

    def answer_lines() -> None:
        for line in stdin:
            if line.strip():
                print(answer(line.strip()), flush=True)

    gevent.spawn(answer_lines).join(timeout=seconds)
