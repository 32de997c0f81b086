"""The base of all errors that reach an operator: what happened, where, and what can be done about it.

An error of this program is of a type of its own below `Problem`; no bare `ValueError`, `RuntimeError` or
tuple crosses a package's border for one. `docs/operators/errors.md` lists the types, as they say it here.
"""

from __future__ import annotations

from typing import ClassVar


class Problem(Exception):
    """What happened at which place (a key, a file, an address), and what an operator can do.

    `status` is the exit status of a command that ends with it: 2 where its command line or a configuration is
    faulty, 1 where it failed. `where` says what kind of thing `place` names. `remedy` is one sentence; a
    type's own stands in where an error gives none.
    """

    status: ClassVar[int] = 1
    where: ClassVar[str] = ""
    remedy: str = "Look in the log for what came before it."

    def __init__(self, place: str, what: str = "", remedy: str = "") -> None:
        """A text alone is `PLACE: WHAT`; one without a colon names no place."""
        if not what:
            named, mark, rest = place.partition(": ")
            place, what = (named, rest) if mark else ("", place)
        super().__init__(f"{place}: {what}" if place else what)
        self.place, self.what = place, what
        if remedy:
            self.remedy = remedy


class InternalError(Problem):
    """A fault of this program, which nothing foresaw."""

    where = "the part that ran into it"
    remedy = "Report the line with its trace; what was under way has had its answer, and serving goes on."


class MissingPackage(Problem):
    """A command needs a package that is not installed."""

    where = "the package"
    remedy = "Install the program with the extra that is named: `pip install 'spoolbarrow[EXTRA]'`."

    def __init__(self, extra: str, error: ImportError) -> None:
        super().__init__(f"{error.name or 'packages'}", f"needs the packages of the extra `{extra}`: {error}")
