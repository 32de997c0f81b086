"""Failover before the decisions, as a policy of the lab: the verdicts of `spoolbarrow.failover`.

They are applied as on sockets; a check there waits for its answer as long as several probes here, one after
the other.
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
TRIES = 4  # of a check: a probe waits a fourth of a check's time
TIMER = "failover"
FAILING = frozenset({i.Outcome.UNREACHABLE, i.Outcome.RESET})
SAYS_NOTHING = frozenset({i.Outcome.CANCELLED, i.Outcome.MOOT})


class FailoverRouter:
    """A router that takes failed zones out of service; zones go by their numbers."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self._router = Router(settings, seed)
        self.verdicts = ZoneHealthTracker(Settings(checks=settings.probing))
        self._lines: dict[str, i.ReplicaEntry] = {}
        self._listed: dict[str, tuple[str, bool]] = {}
        self._changed = False  # the lines, since they were last listed for the verdicts
        self._heard: list[EndpointOutcome] = []
        self._checks: dict[str, int] = {}  # tries left, by replica
        self._out: frozenset[str] = frozenset()
        self._back: dict[str, float] = {}
        self._armed = False
        self._told: dict[str, Verdict] = {}
        self.changes: list[tuple[float, str, ZoneState]] = []  # of each zone's verdict: when, which, to what

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Decide on what happened."""
        passed: list[i.Event] = []
        actions: list[i.Action] = []
        weigh = not self._armed
        for event in events:
            if isinstance(event, i.TimerFired) and event.token == TIMER:
                weigh = True
                continue
            if isinstance(event, i.AttemptEnded):
                self._hear(now, event.replica, event.outcome)
            elif isinstance(event, i.ProbeAnswered):
                self._hear(now, event.replica, event.outcome)
                left = self._checks.pop(event.replica, 0)
                if left > 1 and event.outcome is i.Outcome.TIMEOUT:
                    self._checks[event.replica] = left - 1
                    actions.append(i.Probe(event.replica))
                elif left == 1 and event.outcome is i.Outcome.TIMEOUT:
                    self._heard.append(EndpointOutcome(event.replica, now, False))
            elif isinstance(event, i.ReplicaList):
                event = self._take_list(event)
            passed.append(event)
        if weigh:
            self._armed = True
            passed += self._weigh(now, actions)
            actions.append(i.SetTimer(TIMER, UPDATE_PERIOD_MS))
        return actions + self._router.handle(now, passed)

    def _hear(self, now: float, replica: str, outcome: i.Outcome) -> None:
        if outcome not in SAYS_NOTHING:
            well = None if outcome is i.Outcome.TIMEOUT else outcome not in FAILING
            self._heard.append(EndpointOutcome(replica, now, well))

    def _take_list(self, event: i.ReplicaList) -> i.ReplicaList:
        self._changed = True
        if event.kind in (i.ListKind.WHOLE, i.ListKind.RESTORED):
            self._lines.clear()
        for entry in event.entries:
            if entry.state is i.ReplicaState.GONE:
                self._lines.pop(entry.replica, None)
            else:
                self._lines[entry.replica] = entry
        return replace(event, entries=tuple(map(self._masked, event.entries)))

    def _masked(self, entry: i.ReplicaEntry) -> i.ReplicaEntry:
        zone = str(entry.zone)
        if entry.state is i.ReplicaState.SERVING and zone in self._out:
            return replace(entry, state=i.ReplicaState.DRAINING)
        back = self._back.get(zone, 0.0)
        return replace(entry, started_at_ms=back) if back > entry.started_at_ms else entry

    def _weigh(self, now: float, actions: list[i.Action]) -> list[i.Event]:
        if self._changed:
            self._changed = False
            self._listed = {
                name: (str(e.zone), e.state is i.ReplicaState.SERVING) for name, e in self._lines.items()
            }
        heard, self._heard = tuple(self._heard), []
        told = self.verdicts.update(now, Evidence(self._listed, heard))
        for zone, verdict in told.items():
            if zone not in self._told or self._told[zone].state is not verdict.state:
                self.changes.append((now, zone, verdict.state))
        self._told = told
        for name in self.verdicts.endpoints_to_check(now):
            if name not in self._checks:
                self._checks[name] = TRIES
                actions.append(i.Probe(name))
        out, back = zones_to_mask(told, self._listed)
        turned = {z for z in back.keys() | self._back.keys() if back.get(z) != self._back.get(z)}
        changed = (out ^ self._out) | turned
        self._out, self._back = out, back
        again = tuple(self._masked(e) for e in self._lines.values() if str(e.zone) in changed)
        return [i.ReplicaList(i.ListKind.CHANGES, again)] if again else []
