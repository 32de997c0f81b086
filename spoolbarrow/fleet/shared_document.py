"""What a router acts on of the documents that operators share: what is committed, or the safer of two.

With word from the store the newest version is acted on. Past `within_s` without word the router can't know
whether the others have the newest one, or a newer one yet: while its last change is not settled (it has not
had word for `within_s` since it learnt of it) it goes by the safer of the newest and the one before:

    shared/suspensions   engines that either version suspends: a suspension holds, a return does not
    shared/shares        of each tenant the smaller portion and quota: a narrowed share holds, a widened not

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

MOST_NAMES = 4096
Figure = Annotated[float, Meta(ge=0, le=1e12)]
Name = Annotated[str, Meta(min_length=1, max_length=256)]


class Share(Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant's part; what is left out stays as the router's own file has it."""

    portion: Figure | None = None
    quota_per_s: Figure | None = None


Suspensions = frozenset[str]
Shares = dict[str, Share]  # by tenant's name
_suspensions = msgspec.json.Decoder(Annotated[list[Name], Meta(max_length=MOST_NAMES)])
_shares = msgspec.json.Decoder(Annotated[dict[Name, Share], Meta(max_length=MOST_NAMES)])


def _smaller(one: float | None, other: float | None) -> float | None:
    return min((value for value in (one, other) if value is not None), default=None)


def _smaller_quota(one: float | None, other: float | None) -> float | None:
    """A quota of 0 is none, which is the widest."""
    return _smaller(one or None, other or None) if one or other else _smaller(one, other)


def smaller(one: Shares, other: Shares) -> Shares:
    """For each tenant the smaller of both; what only one version names is as that one has it.

    The router's own file stands beside a version that does not name a tenant: `overlay_shares` weighs it in.
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
    """The tenants of a router's own file with the shared figures; names that it does not have are left out.

    Without `widen` none gets more than the file says: a version before the document was there is one too.
    """
    laid = list(tenants)
    for name, share in shares.items():
        at = names.get(name, len(laid))
        if at >= len(laid):
            continue
        portion = laid[at].portion if share.portion is None else share.portion
        quota = laid[at].quota_per_s if share.quota_per_s is None else share.quota_per_s
        if not widen:
            portion = min(portion, laid[at].portion)
            quota = _smaller_quota(quota, laid[at].quota_per_s) or 0.0
        laid[at] = replace(laid[at], portion=portion, quota_per_s=quota)
    return tuple(laid)


class Kind(Struct, frozen=True):
    """How a shared document is read, what stands without it, and which of two versions is safer."""

    read: Callable[[str], Any]
    none: Any
    safer: Callable[[Any, Any], Any]


DOCUMENT_KINDS = {
    SUSPENSIONS_KEY: Kind(lambda text: frozenset(_suspensions.decode(text)), frozenset(), frozenset.union),
    SHARES_KEY: Kind(_shares.decode, {}, smaller),
}


class Mode(Enum):
    """By what a router acts."""

    NONE = "none"  # nothing was ever read: its own files alone
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
        self.before: Version | None = None  # None: the change since is settled
        self._learnt_at = 0.0
        self._word_at = -1e18
        self.invalid_count = 0  # revisions that could not be read: the one before stands

    def learn(self, now: float, revision: int, text: str) -> None:
        """A version that is committed; InvalidDocument where it can't be read: what was known stands.

        One that is not newer says nothing.
        """
        if self.newest is not None and revision <= self.newest.revision:
            return
        try:
            value = self._kind.read(text)
        except (msgspec.DecodeError, RecursionError) as error:
            self.invalid_count += 1
            raise InvalidDocument(self.key, str(error)) from None
        first = self.newest is None
        self.before = Version(0, self._kind.none) if first else self.newest
        self.newest, self._learnt_at = Version(revision, value), now

    def confirm(self, now: float) -> None:
        """The store has just been heard, asked at `now`: what is known is what is committed."""
        self._word_at = now
        if now - self._learnt_at > self.within_ms:
            self.before = None  # whoever hears the store has it too by now

    def mode(self, now: float) -> Mode:
        """By what this router acts now."""
        if self.newest is None:
            return Mode.NONE
        return Mode.COMMITTED if now - self._word_at <= self.within_ms else Mode.SAFER

    def is_unsettled(self, now: float) -> bool:
        """Whether it goes by two versions now."""
        return self.mode(now) is Mode.SAFER and self.before is not None

    def effective(self, now: float) -> Any:
        """The contents to act on now."""
        if self.newest is None:
            return self._kind.none
        if not self.is_unsettled(now):
            return self.newest.value
        assert self.before is not None
        return self._kind.safer(self.before.value, self.newest.value)
