"""The one error of the door's parts: bounds that can't be, found where they are made."""

from __future__ import annotations

from spoolbarrow.errors import Problem


class AdmissionError(Problem, ValueError):
    """The door is to be made with bounds that can't be."""

    status = 2
    where = "none"
    remedy = "Put the keys of `[door]` within the bounds of docs/operators/door.md."
