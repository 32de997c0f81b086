"""Puts zone failover before the router, as a policy of the lab: applies verdicts of `spoolbarrow.failover`.

They are applied as in the network program; a check there waits for its response as long as several
consecutive probes do here.
"""

from __future__ import annotations

from msgspec.structs import replace

from spoolbarrow import interface as i
from spoolbarrow.failover import (
    EndpointOutcome,
    Evidence,
    Settings,
    Verdict,
    ZoneHealthTracker,
    ZoneState,
    zones_to_mask,
)
from spoolbarrow.router import Router

UPDATE_PERIOD_MS = 100.0
PROBES_PER_CHECK = 4  # a probe waits a fourth of a check's time
TIMER_TOKEN = "failover"
FAILURES = frozenset({i.Outcome.UNREACHABLE, i.Outcome.RESET})
UNINFORMATIVE = frozenset({i.Outcome.CANCELLED, i.Outcome.MOOT})


class FailoverRouter:
    """A router that takes failed zones out of service; zones are named by their numbers."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self._router = Router(settings, seed)
        self.verdicts = ZoneHealthTracker(Settings(checks=settings.probing))
        self._entries: dict[str, i.ReplicaEntry] = {}
        self._listed: dict[str, tuple[str, bool]] = {}
        self._changed = False  # whether the entries changed since the last update of the verdicts
        self._outcomes: list[EndpointOutcome] = []
        self._checks: dict[str, int] = {}  # probes left, by replica
        self._masked_zones: frozenset[str] = frozenset()
        self._return_times: dict[str, float] = {}
        self._timer_set = False
        self._last_verdicts: dict[str, Verdict] = {}
        self.changes: list[tuple[float, str, ZoneState]] = []  # of verdicts: time, zone, new state

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Return the actions for a batch of events."""
        passed: list[i.Event] = []
        actions: list[i.Action] = []
        update_due = not self._timer_set
        for event in events:
            if isinstance(event, i.TimerFired) and event.token == TIMER_TOKEN:
                update_due = True
                continue
            if isinstance(event, i.AttemptEnded):
                self._record_outcome(now, event.replica, event.outcome)
            elif isinstance(event, i.ProbeAnswered):
                self._record_outcome(now, event.replica, event.outcome)
                left = self._checks.pop(event.replica, 0)
                if left > 1 and event.outcome is i.Outcome.TIMEOUT:
                    self._checks[event.replica] = left - 1
                    actions.append(i.Probe(event.replica))
                elif left == 1 and event.outcome is i.Outcome.TIMEOUT:
                    self._outcomes.append(EndpointOutcome(event.replica, now, False))
            elif isinstance(event, i.ReplicaList):
                event = self._take_list(event)
            passed.append(event)
        if update_due:
            self._timer_set = True
            passed += self._update_verdicts(now, actions)
            actions.append(i.SetTimer(TIMER_TOKEN, UPDATE_PERIOD_MS))
        return actions + self._router.handle(now, passed)

    def _record_outcome(self, now: float, replica: str, outcome: i.Outcome) -> None:
        if outcome not in UNINFORMATIVE:
            well = None if outcome is i.Outcome.TIMEOUT else outcome not in FAILURES
            self._outcomes.append(EndpointOutcome(replica, now, well))

    def _take_list(self, event: i.ReplicaList) -> i.ReplicaList:
        self._changed = True
        if event.kind in (i.ListKind.WHOLE, i.ListKind.RESTORED):
            self._entries.clear()
        for entry in event.entries:
            if entry.state is i.ReplicaState.GONE:
                self._entries.pop(entry.replica, None)
            else:
                self._entries[entry.replica] = entry
        return replace(event, entries=tuple(map(self._masked, event.entries)))

    def _masked(self, entry: i.ReplicaEntry) -> i.ReplicaEntry:
        zone = str(entry.zone)
        if entry.state is i.ReplicaState.SERVING and zone in self._masked_zones:
            return replace(entry, state=i.ReplicaState.DRAINING)
        back = self._return_times.get(zone, 0.0)
        return replace(entry, started_at_ms=back) if back > entry.started_at_ms else entry

    def _update_verdicts(self, now: float, actions: list[i.Action]) -> list[i.Event]:
        if self._changed:
            self._changed = False
            self._listed = {
                name: (str(e.zone), e.state is i.ReplicaState.SERVING) for name, e in self._entries.items()
            }
        outcomes, self._outcomes = tuple(self._outcomes), []
        verdicts = self.verdicts.update(now, Evidence(self._listed, outcomes))
        for zone, verdict in verdicts.items():
            if zone not in self._last_verdicts or self._last_verdicts[zone].state is not verdict.state:
                self.changes.append((now, zone, verdict.state))
        self._last_verdicts = verdicts
        for name in self.verdicts.endpoints_to_check(now):
            if name not in self._checks:
                self._checks[name] = PROBES_PER_CHECK
                actions.append(i.Probe(name))
        out, back = zones_to_mask(verdicts, self._listed)
        return_changed = {
            z for z in back.keys() | self._return_times.keys() if back.get(z) != self._return_times.get(z)
        }
        changed = (out ^ self._masked_zones) | return_changed
        self._masked_zones, self._return_times = out, back
        changed_entries = tuple(self._masked(e) for e in self._entries.values() if str(e.zone) in changed)
        return [i.ReplicaList(i.ListKind.CHANGES, changed_entries)] if changed_entries else []
