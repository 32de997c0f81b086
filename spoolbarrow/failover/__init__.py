"""Failover between zones and regions: verdicts from what a router has seen, free of I/O and clock.

`ZoneHealthTracker.update(now, evidence)` tells each zone and region healthy, suspect, failed or returning, with the
reason and the share of its fair load it may take; the destination set applies them as suspensions
(`docs/failover.md`).
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
    "Evidence",
    "EndpointOutcome",
    "Settings",
    "ZoneState",
    "Verdict",
    "ZoneHealthTracker",
    "zones_to_mask",
]
