"""The roll: which routers are alive, called by all alike. A part of the fleet; pure.

Each router's summary is its name; the decision is the names of those whose summaries move. It is told
(`/v1/versions`) beside `Balancers`, which is what the platform's settings said at the start.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from spoolbarrow.fleet.documents import MAX_NAME_CHARS

MOST_ROUTERS = 256
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
_summary = msgspec.json.Decoder(Name)
_decision = msgspec.json.Decoder(Annotated[list[Name], Meta(max_length=MOST_ROUTERS)])


class Membership:
    """One router's roll."""

    kind = "roll"

    def __init__(self, name: str) -> None:
        self._name = name
        self.routers: tuple[str, ...] | None = None  # None: not known

    def summary(self, now: float) -> bytes:
        """This router is there."""
        return msgspec.json.encode(self._name)

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """The names, each once, in order; None where nobody has been heard yet."""
        names = set()
        for body in bodies:
            try:
                names.add(_summary.decode(body))
            except msgspec.DecodeError:
                continue
        return msgspec.json.encode(sorted(names)[:MOST_ROUTERS]) if names else None

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Know these names; None: none."""
        try:
            self.routers = None if body is None else tuple(_decision.decode(body))
        except msgspec.DecodeError:
            self.routers = None
            return False
        return True

    def status(self) -> dict[str, object]:
        """For an operator."""
        return {"routers": None if self.routers is None else list(self.routers)}
