"""Holds the operators' overrides that all processes of a router share: the latest write for each target wins.

Owns the table of overrides and its file format; `commands` applies them. Free of I/O and clock.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from spoolbarrow.handover import HandoverDataError

VERSION = 1
MAX_BYTES = 1 << 20  # of a file: larger than any that MAX_SUSPENDED short names make
CLEARED_RETENTION_MS = 60_000.0  # how long a cleared override is kept: every process has read it by then
ROUTER_DRAIN = ""  # the target for draining the router of clients, instead of an engine


class Override(Struct, frozen=True):
    """Whether an engine is suspended, or the router drained, and since when, in Unix ms."""

    on: bool
    at: float


class _File(Struct):
    v: int
    name: str
    words: dict[str, Override]


class Overrides:
    """Overrides by target: an engine's id, or ROUTER_DRAIN."""

    def __init__(self) -> None:
        self._by_target: dict[str, Override] = {}

    def put(self, target: str, on: bool, now: float) -> bool:
        """Set an override; returns whether it changes anything."""
        old = self._by_target.get(target)
        if on is (old is not None and old.on):
            return False
        # Later than the override that it replaces, even if the clock was set back.
        self._by_target[target] = Override(on, now if old is None else max(now, old.at + 0.001))
        return True

    def merge(self, other: Overrides) -> dict[str, Override]:
        """Take over another table's newer overrides; returns those that change a target."""
        changed = {}
        for target, override in other._by_target.items():
            old = self._by_target.get(target)
            if old is None or override.at > old.at:
                self._by_target[target] = override
                if override.on is not (old is not None and old.on):
                    changed[target] = override
        return changed

    def prune(self, now: float) -> None:
        """Remove overrides cleared long ago."""
        for target in [
            m
            for m, override in self._by_target.items()
            if not override.on and now - override.at > CLEARED_RETENTION_MS
        ]:
            del self._by_target[target]

    def encode(self, name: str) -> bytes:
        """Encode the file for the router with this name."""
        return msgspec.json.encode(_File(VERSION, name, self._by_target))


def decode(text: bytes, name: str) -> Overrides:
    """Decode a file; raises HandoverDataError if it is torn, of another router or another version."""
    if len(text) > MAX_BYTES:
        raise HandoverDataError("", "too large")
    try:
        file = msgspec.json.decode(text, type=_File)
    except msgspec.DecodeError as error:
        raise HandoverDataError("", str(error)) from error
    if file.v != VERSION or file.name != name:
        raise HandoverDataError("", f"version {file.v} of {file.name!r}")
    overrides = Overrides()
    overrides._by_target = file.words
    return overrides
