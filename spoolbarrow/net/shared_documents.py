"""Applies documents shared by operators to this router: suspended engines, and tenants' shares.

Makes no calls: `learn` and `confirm` get what the store's client read, and `apply` applies the version that
is valid now: after too long without confirmation, the safer of two versions (`fleet.shared_document`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from spoolbarrow.agree import digest
from spoolbarrow.fleet import documents as d
from spoolbarrow.fleet import shared_document
from spoolbarrow.net.log import log

if TYPE_CHECKING:
    from spoolbarrow.interface import Tenant
    from spoolbarrow.net.host import Host


class SharedDocuments:
    """Both documents as known to this router; `changed` is called after shares were applied."""

    def __init__(self, host: Host, within_ms: float, changed: Callable[[], None]) -> None:
        self._host, self._changed = host, changed
        self._shared = {
            key: shared_document.SharedDocument(key, within_ms) for key in shared_document.DOCUMENT_KINDS
        }
        self._logged: dict[str, tuple[int, shared_document.Mode]] = {}
        self._suspended: frozenset[str] = frozenset()
        self._file_tenants: tuple[Tenant, ...] = ()  # from the router's own file
        self._applied_tenants: tuple[Tenant, ...] | None = None

    def set_within(self, within_ms: float) -> None:
        """Set after how long without confirmation the safer version applies."""
        for shared in self._shared.values():
            shared.within_ms = within_ms

    def __contains__(self, key: str) -> bool:
        """Whether `key` names one of these documents."""
        return key in self._shared

    def learn(self, called_at: float, key: str, revision: int, text: str) -> None:
        """Record a committed version, requested at `called_at`; InvalidDocument if it can't be decoded."""
        self._shared[key].learn(called_at, revision, text)

    def confirm(self, called_at: float) -> None:
        """Record that the store, called at `called_at`, has sent everything committed."""
        for shared in self._shared.values():
            shared.confirm(called_at)

    def apply(self, now: float) -> None:
        """Apply the versions that are valid now to the router. Never blocks."""
        self._apply_suspensions(now)
        self._apply_shares(now)
        self._log_modes(now)

    def stop(self) -> None:
        """Withdraw both documents: the router acts as without a store."""
        self._host.destinations.set_shared_suspensions(frozenset())
        if self._applied_tenants is not None and self._host.config.settings.tenants is self._applied_tenants:
            self._set_tenants(self._file_tenants)

    def versions(self, now: float) -> dict[str, tuple[int, str]]:
        """Revision and digest of each document in effect."""
        found = {}
        for key, shared in self._shared.items():
            if shared.newest is not None:
                acts = msgspec.to_builtins(shared.effective(now), order="sorted")
                found[key] = (shared.newest.revision, digest(acts))
        return found

    def status(self, now: float) -> dict[str, object]:
        """By document: its revision, the mode it is applied in, and the number of invalid versions."""
        return {
            key: {
                "revision": self._revision(shared),
                "mode": shared.mode(now).value,
                "garbage": shared.invalid_count,
            }
            for key, shared in self._shared.items()
        }

    def _apply_suspensions(self, now: float) -> None:
        suspended: frozenset[str] = self._shared[d.SUSPENSIONS_KEY].effective(now)
        if suspended != self._suspended:
            self._suspended = suspended
            self._host.destinations.set_shared_suspensions(suspended)

    def _apply_shares(self, now: float) -> None:
        config, shares = self._host.config, self._shared[d.SHARES_KEY]
        if config.settings.tenants is not self._applied_tenants:
            self._file_tenants = config.settings.tenants  # the file was reloaded
        wanted = shared_document.overlay_shares(
            shares.effective(now), config.tenants, self._file_tenants, not shares.is_unsettled(now)
        )
        if wanted != config.settings.tenants:
            self._set_tenants(wanted)

    def _set_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        config = self._host.config
        self._applied_tenants = tenants
        self._host.apply(replace(config, settings=replace(config.settings, tenants=tenants)))
        self._changed()

    def _log_modes(self, now: float) -> None:
        for key, shared in self._shared.items():
            mode = (self._revision(shared), shared.mode(now))
            if mode != self._logged.get(key, (0, shared_document.Mode.NONE)):
                self._logged[key] = mode
                log("fleet_shared", key=key, revision=mode[0], mode=mode[1].value)

    @staticmethod
    def _revision(shared: shared_document.SharedDocument) -> int:
        return 0 if shared.newest is None else shared.newest.revision
