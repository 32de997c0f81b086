"""Failover between zones and regions: verdicts from the outcomes that a router observes; no I/O and no clock.

`ZoneHealthTracker.update(now, evidence)` classifies each zone and region as healthy, suspect, failed or
returning, with the reason and the share of its fair load that it may take; the destination set applies the
verdicts like suspensions (`docs/failover.md`).
"""

from spoolbarrow.failover.zone_health import (
    EndpointOutcome,
    Evidence,
    Settings,
    Verdict,
    ZoneHealthTracker,
    ZoneState,
    zones_to_mask,
)

__all__ = [
    "EndpointOutcome",
    "Evidence",
    "Settings",
    "Verdict",
    "ZoneHealthTracker",
    "ZoneState",
    "zones_to_mask",
]
