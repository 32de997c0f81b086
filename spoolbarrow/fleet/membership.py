"""The list of live routers, agreed by all of them: a part of the fleet's decisions. Pure.

Each router's summary is its name; the decision is the names of those whose summaries keep changing. It is
reported (`/v1/versions`) beside `Balancers`, which is what the platform's settings gave at the start.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from spoolbarrow.fleet.documents import MAX_NAME_CHARS

MAX_ROUTERS = 256
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
_summary_decoder = msgspec.json.Decoder(Name)
_decision_decoder = msgspec.json.Decoder(Annotated[list[Name], Meta(max_length=MAX_ROUTERS)])


class Membership:
    """The live routers as one router knows them."""

    kind = "roll"

    def __init__(self, name: str) -> None:
        self._name = name
        self.routers: tuple[str, ...] | None = None  # None: not known

    def summary(self, now: float) -> bytes:
        """This router's name."""
        return msgspec.json.encode(self._name)

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """The names, each once, in order; None where no summary counts yet."""
        names = set()
        for body in bodies:
            try:
                names.add(_summary_decoder.decode(body))
            except msgspec.DecodeError:
                continue
        return msgspec.json.encode(sorted(names)[:MAX_ROUTERS]) if names else None

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Use these names from now on; None: the live routers are not known."""
        try:
            self.routers = None if body is None else tuple(_decision_decoder.decode(body))
        except msgspec.DecodeError:
            self.routers = None
            return False
        return True

    def status(self) -> dict[str, object]:
        """The live routers, for operators."""
        return {"routers": None if self.routers is None else list(self.routers)}
