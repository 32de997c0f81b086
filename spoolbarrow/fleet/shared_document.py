"""The value that a router applies of a document shared by operators: the committed one, or the safer of two.

After a recent confirmation by the store the newest version is applied. After more than `within_s` without
one the router can't know whether the others have the newest version, or a newer one: while its last change is
not settled (not confirmed more than `within_s` after this router learnt of it) it applies the safer of the
newest and the previous version:

    shared/suspensions   engines that either version suspends: a suspension holds, an end of one does not
    shared/shares        the smaller portion and quota of each tenant: a reduction holds, an increase does not

No I/O; `now` is milliseconds on a clock that is never set back.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct
from msgspec.structs import replace

from spoolbarrow.fleet.documents import SHARES_KEY, SUSPENSIONS_KEY, InvalidDocument
from spoolbarrow.interface import Tenant

MAX_NAMES = 4096
Amount = Annotated[float, Meta(ge=0, le=1e12)]
Name = Annotated[str, Meta(min_length=1, max_length=256)]


class Share(Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant's share; what is absent stays as in the router's own file."""

    portion: Amount | None = None
    quota_per_s: Amount | None = None


Suspensions = frozenset[str]
Shares = dict[str, Share]  # by tenant name
_suspensions_decoder = msgspec.json.Decoder(Annotated[list[Name], Meta(max_length=MAX_NAMES)])
_shares_decoder = msgspec.json.Decoder(Annotated[dict[Name, Share], Meta(max_length=MAX_NAMES)])


def _smaller(one: float | None, other: float | None) -> float | None:
    return min((value for value in (one, other) if value is not None), default=None)


def _smaller_quota(one: float | None, other: float | None) -> float | None:
    """The smaller quota; 0 means unlimited."""
    return _smaller(one or None, other or None) if one or other else _smaller(one, other)


def smaller_shares(one: Shares, other: Shares) -> Shares:
    """The smaller share of each tenant; where only one version names a tenant, that version's.

    For a version that does not name a tenant the router's own file applies: see `overlay_shares`.
    """
    return {
        name: Share(
            _smaller(one.get(name, Share()).portion, other.get(name, Share()).portion),
            _smaller_quota(one.get(name, Share()).quota_per_s, other.get(name, Share()).quota_per_s),
        )
        for name in sorted(one.keys() | other.keys())
    }


def overlay_shares(
    shares: Shares, names: dict[str, int], tenants: tuple[Tenant, ...], widen: bool
) -> tuple[Tenant, ...]:
    """The tenants of a router's own file with the shared values; unknown names are left out.

    Without `widen` no tenant gets more than in the file, which counts as the version before the document.
    """
    result = list(tenants)
    for name, share in shares.items():
        index = names.get(name, len(result))
        if index >= len(result):
            continue
        portion = result[index].portion if share.portion is None else share.portion
        quota = result[index].quota_per_s if share.quota_per_s is None else share.quota_per_s
        if not widen:
            portion = min(portion, result[index].portion)
            quota = _smaller_quota(quota, result[index].quota_per_s) or 0.0
        result[index] = replace(result[index], portion=portion, quota_per_s=quota)
    return tuple(result)


class DocumentKind(Struct, frozen=True):
    """How a shared document is parsed, its default without one, and the safer of two versions."""

    read: Callable[[str], Any]
    none: Any
    safer: Callable[[Any, Any], Any]


DOCUMENT_KINDS = {
    SUSPENSIONS_KEY: DocumentKind(
        lambda text: frozenset(_suspensions_decoder.decode(text)), frozenset(), frozenset.union
    ),
    SHARES_KEY: DocumentKind(_shares_decoder.decode, {}, smaller_shares),
}


class Mode(Enum):
    """The version that a router applies."""

    NONE = "none"  # nothing was read yet: only the router's own files apply
    COMMITTED = "committed"
    SAFER = "safer"


class Version(Struct, frozen=True):
    """One version of a document."""

    revision: int
    value: Any


class SharedDocument:
    """One document as one router knows it."""

    def __init__(self, key: str, within_ms: float) -> None:
        self.key, self.within_ms = key, within_ms
        self._kind = DOCUMENT_KINDS[key]
        self.newest: Version | None = None
        self.previous: Version | None = None  # None: the last change is settled
        self._learnt_at = 0.0
        self._confirmed_at = -1e18
        self.invalid_count = 0  # malformed revisions: the one before stays in force

    def learn(self, now: float, revision: int, text: str) -> None:
        """Take a committed version; InvalidDocument where it is malformed: the known one stays in force.

        A version that is not newer is ignored.
        """
        if self.newest is not None and revision <= self.newest.revision:
            return
        try:
            value = self._kind.read(text)
        except (msgspec.DecodeError, RecursionError) as error:
            self.invalid_count += 1
            raise InvalidDocument(self.key, str(error)) from None
        first = self.newest is None
        self.previous = Version(0, self._kind.none) if first else self.newest
        self.newest, self._learnt_at = Version(revision, value), now

    def confirm(self, now: float) -> None:
        """The store, asked at `now`, has confirmed that the known version is the committed one."""
        self._confirmed_at = now
        if now - self._learnt_at > self.within_ms:
            self.previous = None  # every router that reaches the store has it by now

    def mode(self, now: float) -> Mode:
        """The mode now."""
        if self.newest is None:
            return Mode.NONE
        return Mode.COMMITTED if now - self._confirmed_at <= self.within_ms else Mode.SAFER

    def is_unsettled(self, now: float) -> bool:
        """Whether the value is combined from two versions now."""
        return self.mode(now) is Mode.SAFER and self.previous is not None

    def effective(self, now: float) -> Any:
        """The value to apply now."""
        if self.newest is None:
            return self._kind.none
        if not self.is_unsettled(now):
            return self.newest.value
        assert self.previous is not None
        return self._kind.safer(self.previous.value, self.newest.value)
