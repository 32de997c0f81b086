"""One part of the fleet at this router: its lease as it was read, and the decision that the part acts on.

Makes no calls: `see` is told what the store's client read or wrote, `adopt` has the part act on what stands.
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

MAX_DECISION_TTL = 4.0  # times to live of one's own: no decision stands longer without word, whatever it says


@runtime_checkable
class Telling(Protocol):
    """A part that has something to tell operators."""

    def status(self) -> dict[str, object]:
        """As JSON."""
        ...


@runtime_checkable
class Watching(Protocol):
    """A part that learns from what happens at its host."""

    def watch(self, host: Host, table: FleetTable) -> None:
        """From now on; again with each new table."""
        ...

    def end(self) -> None:
        """No more."""
        ...


class FleetPart:
    """A part with this process's state in its lease, its decision and its summary."""

    def __init__(self, part: d.Part, router: str, incarnation: str, table: FleetTable) -> None:
        self.part = part
        self.standing_key = d.STANDING_PREFIX + part.kind
        self.summary_key = f"{d.EVIDENCE_PREFIX}{part.kind}/{router}"
        self.claim = lease.LeaseClaim(router, incarnation, table.ttl_s * 1000 / lease.DECISION_TTL_LEASES)
        self._acting = lease.ActiveDecision(MAX_DECISION_TTL * table.ttl_s * 1000)
        self._adopted: d.Decision | None = None
        self._rejected: d.Decision | None = None  # one that the part can't act on
        self._logged_holding = False
        self.evidence: SummaryTable | None = None  # the lease's holder alone has one
        self.evidence_upto = 0
        self.sequence = 0
        self.summary_revision: int | None = None  # None: to be read
        self.summary_written = False  # by this process
        self.silent_since = 0.0  # a later process of this router writes, unmoved since then; 0: none

    def set_ttl(self, ttl_s: float) -> None:
        """Claim leases for another time to live."""
        self.claim.ttl_ms = ttl_s * 1000 / lease.DECISION_TTL_LEASES

    def watch(self, host: Host, table: FleetTable) -> None:
        """Have the part learn from what happens at its host, if it does."""
        if isinstance(self.part, Watching):
            self.part.watch(host, table)

    def end(self, now: float) -> None:
        """Have the part act on no decision, and watch no more."""
        self.part.adopt(now, None)
        if isinstance(self.part, Watching):
            self.part.end()

    def see(self, asked: float, seen: lease.ObservedRecord) -> None:
        """The lease and decision as read, or just written, at `asked`."""
        self.claim.observe(asked, seen)
        self._acting.observe(asked, seen)
        if self.claim.holds() is not self._logged_holding:
            self._logged_holding = self.claim.holds()
            epoch = seen.record.epoch if seen.record is not None else None
            log("fleet_lease", kind=self.part.kind, holds=self._logged_holding, epoch=epoch)

    def adopt(self, now: float) -> None:
        """Have the part act on the decision that stands by now, or on none. Waits for nobody."""
        wanted = self._acting.current(now)
        if wanted is not None and wanted == self._rejected:
            wanted = None
        old = self._adopted
        if (wanted and (wanted.epoch, wanted.number)) == (old and (old.epoch, old.number)):
            return
        if wanted is not None and not self._part_adopts(now, wanted.body):
            self._rejected, wanted = wanted, None
        if wanted is None:
            self._part_adopts(now, None)
        if wanted is not None or old is not None or self._rejected is not None:
            told = {} if wanted is None else {"epoch": wanted.epoch, "number": wanted.number}
            log("fleet_decision", kind=self.part.kind, acts=wanted is not None, **told)
        self._adopted = wanted

    def version(self) -> tuple[int, str] | None:
        """Number and digest of the decision that is acted on."""
        if self._adopted is None:
            return None
        return self._adopted.number, digest([self._adopted.epoch, self._adopted.body])

    def status(self) -> dict[str, object]:
        """Its lease and decision, and what the part itself tells."""
        seen, adopted = self.claim.observed, self._adopted
        standing = None if seen is None else seen.record
        return {
            "holder": "" if standing is None else standing.lease.holder,
            "holds": self.claim.holds(),
            "epoch": None if adopted is None else adopted.epoch,
            "number": None if adopted is None else adopted.number,
            "refused": self._acting.refused_count,
            "silent": self.silent_since > 0,
            **(self.part.status() if isinstance(self.part, Telling) else {}),
        }

    def _part_adopts(self, now: float, body: bytes | None) -> bool:
        """Whether the part acts on it; one that raises does not, and stops no other."""
        try:
            return self.part.adopt(now, body)
        except Exception as error:
            log_exception(f"fleet {self.part.kind}", error)
            return False
