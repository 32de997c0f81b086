"""Defines the base class of all errors that reach an operator: what happened, where, and how to resolve it.

Each error of this program has its own subclass of `Problem`; no bare `ValueError`, `RuntimeError` or tuple is
used for one across packages. `docs/operators/errors.md` is generated from these classes.
"""

from __future__ import annotations

from typing import ClassVar


class Problem(Exception):
    """What happened at which place (a key, a file, an address), and what an operator can do about it.

    `status` is the exit status of a command that ends with this error: 2 for an invalid command line or
    configuration, 1 for a failure. `where` describes what `place` names. `remedy` is one sentence; the
    class's own is used if an error gives none.
    """

    status: ClassVar[int] = 1
    where: ClassVar[str] = ""
    remedy: str = "See the earlier lines of the log."

    def __init__(self, place: str, detail: str = "", remedy: str = "") -> None:
        """A single text is `PLACE: DETAIL`; without a colon it names no place."""
        if not detail:
            head, colon, rest = place.partition(": ")
            place, detail = (head, rest) if colon else ("", place)
        super().__init__(f"{place}: {detail}" if place else detail)
        self.place, self.detail = place, detail
        if remedy:
            self.remedy = remedy


class InternalError(Problem):
    """An unforeseen error in this program."""

    where = "the part of the program that raised it"
    remedy = "Report the line with its trace; requests in progress have been answered, and serving continues."


class MissingPackage(Problem):
    """A command needs a package that is not installed."""

    where = "the package"
    remedy = "Install the program with the named extra: `pip install 'spoolbarrow[EXTRA]'`."

    def __init__(self, extra: str, error: ImportError) -> None:
        super().__init__(f"{error.name or 'packages'}", f"needs the packages of the extra `{extra}`: {error}")
