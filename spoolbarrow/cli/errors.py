"""What the command line tells besides click's own errors."""

from __future__ import annotations

from spoolbarrow.errors import Problem


class BadArgument(Problem):
    """An argument or option of a command can't be used."""

    status = 2
    where = "the argument or option"
    remedy = "See what it takes by `--help` behind the command."


class FileUnusable(Problem):
    """A file, directory or connection that a command needs can't be used."""

    where = "the file or directory"
    remedy = "Let this user read or write it, make room there, or name another."


class NoAnswer(Problem):
    """A router or store member that a command asks gives no answer."""

    where = "its address"
    remedy = "See that it runs, that this is its `control` address, and that the network lets you reach it."


class Refused(Problem):
    """A router or store member that a command asks answers no; its own remedy is told where it gives one."""

    where = "its address"
    remedy = "Look in its log for what came before it."


class LabRunFailed(Problem):
    """A day of the lab can't be played: a process or a socket of it failed."""

    where = "none"
    remedy = "End what is left of earlier days, leave `--port` out, or play a smaller scenario."


class NoResults(Problem):
    """There is nothing to draw or compare."""

    where = "the directory"
    remedy = "Play the experiment first: `spoolbarrow lab experiment FILE`."
