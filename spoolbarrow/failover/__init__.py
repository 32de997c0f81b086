"""Failover between zones and regions: verdicts from what a router has seen, free of I/O and clock.

`Verdicts.handle(now, evidence)` tells each zone and region healthy, suspect, failed or returning, with the
reason and the share of its fair load it may take; the destination set applies them as suspensions
(`docs/failover.md`).
"""

from spoolbarrow.failover.verdicts import Evidence, Heard, Settings, State, Verdict, Verdicts, masks

__all__ = ["Evidence", "Heard", "Settings", "State", "Verdict", "Verdicts", "masks"]
