"""Holds the state of one part of the fleet at this router: its lease as read, and the decision in effect.

Makes no calls: `record` gets what the store's client read or wrote, `adopt` applies the valid decision.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, runtime_checkable

from spoolbarrow.agree import digest
from spoolbarrow.fleet import documents as d
from spoolbarrow.fleet import lease
from spoolbarrow.fleet.summary_table import SummaryTable
from spoolbarrow.net.log import log, log_exception

if TYPE_CHECKING:
    from spoolbarrow.net.host import Host
    from spoolbarrow.operator import FleetTable

MAX_DECISION_TTLS = 4.0  # own times to live; unconfirmed, no decision is valid longer, whatever it states


@runtime_checkable
class StatusProvider(Protocol):
    """A part that reports a status to operators."""

    def status(self) -> dict[str, object]:
        """The status, as JSON values."""
        ...


@runtime_checkable
class HostObserver(Protocol):
    """A part that observes its host."""

    def watch(self, host: Host, table: FleetTable) -> None:
        """Start observing; called again with each new table."""
        ...

    def end(self) -> None:
        """Stop observing."""
        ...


class FleetPart:
    """A part with this process's state of its lease, decision and summary."""

    def __init__(self, part: d.Part, router: str, incarnation: str, table: FleetTable) -> None:
        self.part = part
        self.standing_key = d.STANDING_PREFIX + part.kind
        self.summary_key = f"{d.EVIDENCE_PREFIX}{part.kind}/{router}"
        self.claim = lease.LeaseClaim(router, incarnation, table.ttl_s * 1000 / lease.DECISION_TTL_LEASES)
        self._active = lease.ActiveDecision(MAX_DECISION_TTLS * table.ttl_s * 1000)
        self._adopted: d.Decision | None = None
        self._rejected: d.Decision | None = None  # one that the part refused
        self._logged_holding = False
        self.evidence: SummaryTable | None = None  # only at the holder of the lease
        self.evidence_revision = 0
        self.sequence = 0
        self.summary_revision: int | None = None  # None: not read yet
        self.summary_written = False  # by this process
        self.passive_since = 0.0  # last change in a later process's summary, while that one writes; 0: none

    def set_ttl(self, ttl_s: float) -> None:
        """Set the time to live of claimed leases."""
        self.claim.ttl_ms = ttl_s * 1000 / lease.DECISION_TTL_LEASES

    def watch(self, host: Host, table: FleetTable) -> None:
        """Let the part observe its host, if it does so."""
        if isinstance(self.part, HostObserver):
            self.part.watch(host, table)

    def end(self, now: float) -> None:
        """Withdraw the decision from the part, and stop it observing."""
        self.part.adopt(now, None)
        if isinstance(self.part, HostObserver):
            self.part.end()

    def record(self, called_at: float, seen: lease.ObservedRecord) -> None:
        """Record the lease and decision as read or written at `called_at`."""
        self.claim.observe(called_at, seen)
        self._active.observe(called_at, seen)
        if self.claim.holds() is not self._logged_holding:
            self._logged_holding = self.claim.holds()
            epoch = seen.record.epoch if seen.record is not None else None
            log("fleet_lease", kind=self.part.kind, holds=self._logged_holding, epoch=epoch)

    def adopt(self, now: float) -> None:
        """Let the part act on the decision that is valid now, or on none. Never blocks."""
        decision = self._active.current(now)
        if decision is not None and decision == self._rejected:
            decision = None
        previous = self._adopted
        if (decision and (decision.epoch, decision.number)) == (
            previous and (previous.epoch, previous.number)
        ):
            return
        if decision is not None and not self._part_adopts(now, decision.body):
            self._rejected, decision = decision, None
        if decision is None:
            self._part_adopts(now, None)
        if decision is not None or previous is not None or self._rejected is not None:
            fields = {} if decision is None else {"epoch": decision.epoch, "number": decision.number}
            log("fleet_decision", kind=self.part.kind, acts=decision is not None, **fields)
        self._adopted = decision

    def version(self) -> tuple[int, str] | None:
        """Number and digest of the decision in effect."""
        if self._adopted is None:
            return None
        return self._adopted.number, digest([self._adopted.epoch, self._adopted.body])

    def status(self) -> dict[str, object]:
        """The lease and decision, and the part's own status."""
        seen, adopted = self.claim.observed, self._adopted
        standing = None if seen is None else seen.record
        return {
            "holder": "" if standing is None else standing.lease.holder,
            "holds": self.claim.holds(),
            "epoch": None if adopted is None else adopted.epoch,
            "number": None if adopted is None else adopted.number,
            "refused": self._active.refused_count,
            "silent": self.passive_since > 0,
            **(self.part.status() if isinstance(self.part, StatusProvider) else {}),
        }

    def _part_adopts(self, now: float, body: bytes | None) -> bool:
        """Whether the part acts on it; an exception counts as no, and does not affect other parts."""
        try:
            return self.part.adopt(now, body)
        except Exception as error:
            log_exception(f"fleet {self.part.kind}", error)
            return False
