"""The error type of admission control: bounds that are out of range."""

from __future__ import annotations

from spoolbarrow.errors import Problem


class AdmissionError(Problem, ValueError):
    """A bound of admission control is out of range."""

    status = 2
    where = "none"
    remedy = "Put the keys of `[door]` within the bounds of docs/operators/door.md."
