"""The base of all errors that reach an operator: what happened, where, and what can be done about it.

An error of this program is of a type of its own below `Problem`; no bare `ValueError`, `RuntimeError` or
tuple crosses a package's border for one.
"""

from __future__ import annotations

from typing import ClassVar


class Problem(Exception):
    """What happened at which place (a key, a file, an address), and what an operator can do.

    `status` is the exit status of a command that ends with it: 2 where its command line or a configuration is
    faulty, 1 where it failed. `remedy` is one sentence; a type's own stands in where an error gives none.
    """

    status: ClassVar[int] = 1
    remedy: str = "Look in the log for what came before it."

    def __init__(self, place: str, what: str, remedy: str = "") -> None:
        super().__init__(f"{place}: {what}" if place else what)
        self.place, self.what = place, what
        if remedy:
            self.remedy = remedy
