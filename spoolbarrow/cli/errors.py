"""Defines the errors of commands besides click's own."""

from __future__ import annotations

from spoolbarrow.errors import Problem


class BadArgument(Problem):
    """An argument or option of a command is invalid."""

    status = 2
    where = "the argument or option"
    remedy = "See `--help` of the command for valid values."


class FileUnusable(Problem):
    """A command can't use a file, directory or connection."""

    where = "the file or directory"
    remedy = "Give this user permission to read or write it, free some space, or name another."


class NoAnswer(Problem):
    """A router or store member does not respond to a command."""

    where = "its address"
    remedy = "Check that it runs, that this is its `control` address, and that the network lets you reach it."


class Unreachable(NoAnswer):
    """A command can't connect to a router or store member, so nothing was sent to it."""


class Refused(Problem):
    """A router or store member answers a command with an error; its own remedy is printed, if any."""

    where = "its address"
    remedy = "See the earlier lines of its log."


class LabRunFailed(Problem):
    """A run of the lab failed because of a process or a socket."""

    where = "none"
    remedy = "Stop processes left over from earlier runs, leave `--port` out, or run a smaller scenario."


class NoResults(Problem):
    """There are no results to draw or compare."""

    where = "the directory"
    remedy = "Run the experiment first: `spoolbarrow lab experiment FILE`."
