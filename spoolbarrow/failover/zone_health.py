"""Health of zones and regions, judged by one rule that every router applies to the same kinds of evidence.

A zone's fault is measured as a share of its endpoints: each counts once, by its last outcome within the
window, so that the verdict depends on the number of failed endpoints and not on the traffic of one router. A
zone that discovery lists without any endpoint in service, after it had some, fails at once: all routers read
that list.

A lack of answers is no failure by itself: an endpoint that let a short probe or a request time out is in
doubt, since a slow or busy one does that too. Where most of a zone's endpoints are in doubt,
`endpoints_to_check` names some to be checked with a longer timeout, whose result is their outcome. A failed
zone is checked in the same way, and does not return on clients' requests before its endpoints answer. So is a
zone without recent outcomes, so that routers which send nothing there reach the same verdict as the others.

A suspect zone fails after `confirm_ms`. A failed zone returns once nothing fails and its hold time is over,
and takes a share that grows from `ramp_start` to 1 over `ramp_ms`. Each failure during a return doubles the
hold time, up to `hold_most_ms`, and only `hold_most_ms` of health resets it: a flapping zone moves traffic at
most once per hold time. The last zone with endpoints in service never fails: it stays in service, to be used
as well as possible, and so need not return. A slow zone is suspect but keeps its share, since the routing
decisions already account for waiting times.

All times are milliseconds on the caller's clock. Nothing here does I/O or reads a clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from statistics import median

from msgspec import Struct, field


class ZoneState(Enum):
    """The state of a zone or region."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"  # failing or slow, not long enough or not badly enough to move traffic
    FAILED = "failed"  # its endpoints get no new requests
    RETURNING = "returning"  # back, with a growing share of its load


class Settings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Thresholds and times of the verdicts; times in milliseconds."""

    window_ms: float = 2000.0  # older outcomes are ignored
    confirm_ms: float = 1000.0  # a zone suspect for this long fails
    hold_ms: float = 2000.0  # minimum time between failure and return
    hold_most_ms: float = 30000.0  # maximum hold time; also the time of health that resets it
    ramp_ms: float = 5000.0  # from the return to the full share
    ramp_start: float = 0.1  # share at the start of the return
    fail_share: float = 0.5  # failing share of endpoints with outcomes that makes the zone suspect
    min_failing: int = 2  # and their minimum number
    slow_factor: float = 3.0  # of the other zones' median wait, from which a zone is slow
    slow_min_ms: float = 200.0  # and the minimum median wait
    checks: bool = (
        True  # whether endpoints can be checked; if not, a zone returns unchecked after its hold time
    )
    check_ms: float = 500.0  # between checks of one zone
    check_most: int = 3  # endpoints of a zone checked at a time
    regions: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # zones by region


class EndpointOutcome(Struct, frozen=True):
    """The outcome of an attempt, probe or check.

    `ok` is True for an answer, None where the wait for one was cut short, False for a failed connection or a
    long wait without an answer.
    """

    endpoint: str
    at_ms: float
    ok: bool | None
    wait_ms: float = -1.0  # until the first byte of the answer; negative: not known


class Evidence(Struct, frozen=True):
    """The list (by endpoint: zone, whether in service) and the outcomes since the last call."""

    endpoints: Mapping[str, tuple[str, bool]]
    outcomes: tuple[EndpointOutcome, ...] = ()


class Verdict(Struct, frozen=True):
    """State of a zone or region since `since_ms`, its reason, and the share of fair load that it may take."""

    state: ZoneState
    reason: str
    since_ms: float
    load_share: float = 1.0


class _Zone:
    __slots__ = ("state", "reason", "since", "sick_since", "hold", "healthy_since", "listed", "checked_at")

    def __init__(self, hold: float) -> None:
        self.state, self.reason, self.since = ZoneState.HEALTHY, "no fault seen", 0.0
        self.sick_since: float | None = None
        self.checked_at = 0.0  # when endpoints of it were last named to be checked
        self.hold, self.healthy_since = hold, 0.0
        self.listed = (
            False  # whether it ever had an endpoint in service: without one before, it does not fail
        )


class ZoneHealthTracker:
    """The verdicts of one router; its tables hold only listed endpoints and configured or listed zones.

    The cost of a call depends on the number of outcomes within the window, not on the size of the fleet: a
    list that is the same object as the last one is not read again.
    """

    def __init__(self, settings: Settings, zones: Iterable[str] = ()) -> None:
        self.settings = settings
        self._endpoints: Mapping[str, tuple[str, bool]] = {}
        self._serving: dict[str, list[str]] = {}  # listed endpoints in service, by zone
        self._last: dict[str, EndpointOutcome] = {}  # last outcome by listed endpoint, the latest at the end
        self._in_doubt: set[str] = set()  # endpoints with a timeout since their last answer
        self._checked: dict[str, float] = {}  # when each was last named to be checked
        self._zones: dict[str, _Zone] = {}
        for zone in (*zones, *(z for members in settings.regions.values() for z in members)):
            self._zones.setdefault(zone, _Zone(settings.hold_ms))

    def update(self, now: float, evidence: Evidence) -> dict[str, Verdict]:
        """Process new outcomes and the current list; returns the verdict of every zone and region by name.

        Outcomes of endpoints that are not listed, or older than an endpoint's last one, are ignored.
        """
        if evidence.endpoints is not self._endpoints:
            self._read_list(evidence.endpoints)
        for outcome in evidence.outcomes:
            last = self._last.get(outcome.endpoint)
            if outcome.endpoint not in self._endpoints or (last is not None and outcome.at_ms < last.at_ms):
                continue
            if outcome.ok is None:
                self._in_doubt.add(outcome.endpoint)
            else:
                self._last.pop(outcome.endpoint, None)
                self._last[outcome.endpoint] = outcome
                if outcome.ok:
                    self._in_doubt.discard(outcome.endpoint)
        recent = self._recent(now)
        slow = self._slow_zones(recent)
        verdicts = {}
        for name, zone in self._zones.items():
            outcomes = [outcome for outcome in recent.get(name, ()) if self._endpoints[outcome.endpoint][1]]
            answering = sum(outcome.ok is True for outcome in outcomes)
            serving = len(self._serving.get(name, ()))
            self._update_state(
                now,
                zone,
                serving,
                answering,
                len(outcomes) - answering,
                name in slow,
                self._has_alternative(name),
            )
            verdicts[name] = Verdict(zone.state, zone.reason, zone.since, self._load_share(now, zone))
        for region, members in self.settings.regions.items():
            verdicts[region] = self._region_verdict(members, verdicts)
        return verdicts

    def endpoints_to_check(self, now: float) -> list[str]:
        """Endpoints whose answer is to be checked now: of zones in doubt, failed, or without recent outcomes.

        Those checked least recently, once in `check_ms` for each zone: `check_most` of them, or
        `min_failing`, enough for a verdict, in a zone that merely lacks outcomes.
        """
        s = self.settings
        if not s.checks:
            return []
        recent, in_doubt = self._recent(now), Counter(self._endpoints[name][0] for name in self._in_doubt)
        chosen: list[str] = []
        for zone, names in self._serving.items():
            state, outcomes = self._zones[zone], recent.get(zone, [])
            known = sum(outcome.endpoint not in self._in_doubt for outcome in outcomes)
            is_in_doubt = in_doubt[zone] >= s.min_failing and in_doubt[zone] >= s.fail_share * (
                in_doubt[zone] + known
            )
            lacks_outcomes = len(outcomes) < min(s.min_failing, len(names))
            count = (
                s.check_most
                if is_in_doubt or state.state is ZoneState.FAILED
                else s.min_failing * lacks_outcomes
            )
            if count and now - state.checked_at >= s.check_ms:
                state.checked_at = now
                names.sort(key=lambda name: (self._checked.get(name, 0.0), name))
                for name in names[:count]:
                    self._checked[name] = now
                    chosen.append(name)
        return chosen

    def _read_list(self, endpoints: Mapping[str, tuple[str, bool]]) -> None:
        self._endpoints = endpoints
        self._serving = {}
        for name, (zone, in_service) in endpoints.items():
            self._zones.setdefault(zone, _Zone(self.settings.hold_ms))
            if in_service:
                self._serving.setdefault(zone, []).append(name)
        for table in (self._last, self._checked):
            for name in [n for n in table if n not in endpoints]:
                del table[name]
        self._in_doubt &= endpoints.keys()

    def _recent(self, now: float) -> dict[str, list[EndpointOutcome]]:
        """Outcomes within the window, by zone."""
        by_zone: dict[str, list[EndpointOutcome]] = {}
        window = self.settings.window_ms
        for outcome in reversed(self._last.values()):
            age = now - outcome.at_ms
            if age > 2 * window:
                break  # outcomes come in order of time, or nearly so: the others are older
            if age <= window:
                by_zone.setdefault(self._endpoints[outcome.endpoint][0], []).append(outcome)
        return by_zone

    def _slow_zones(self, recent: Mapping[str, list[EndpointOutcome]]) -> set[str]:
        waits = {
            zone: [outcome.wait_ms for outcome in outcomes if outcome.ok and outcome.wait_ms >= 0]
            for zone, outcomes in recent.items()
        }
        slow, s = set(), self.settings
        for zone, own in waits.items():
            others = [w for z, ws in waits.items() if z != zone for w in ws]
            if own and others and median(own) >= max(s.slow_min_ms, s.slow_factor * median(others)):
                slow.add(zone)
        return slow

    def _has_alternative(self, name: str) -> bool:
        """Whether another zone has endpoints in service and has not failed."""
        return any(
            zone.state is not ZoneState.FAILED and self._serving.get(other)
            for other, zone in self._zones.items()
            if other != name
        )

    def _update_state(
        self,
        now: float,
        zone: _Zone,
        serving: int,
        answering: int,
        failing: int,
        is_slow: bool,
        has_alternative: bool,
    ) -> None:
        s = self.settings
        is_failing = failing >= s.min_failing and failing >= s.fail_share * (failing + answering)
        zone.listed = zone.listed or serving > 0
        is_empty = serving == 0 and zone.listed
        state = zone.state
        if not is_failing:
            zone.sick_since = None
        elif zone.sick_since is None:
            zone.sick_since = now
        is_confirmed = zone.sick_since is not None and now - zone.sick_since >= s.confirm_ms
        can_return = not s.checks or answering >= min(s.min_failing, serving)
        if is_empty and state in (ZoneState.HEALTHY, ZoneState.SUSPECT, ZoneState.RETURNING):
            self._fail(now, zone, "none of its endpoints in service")
        elif is_failing and state is ZoneState.RETURNING and has_alternative:
            self._fail(now, zone, f"{failing} of {failing + answering} observed endpoints fail again")
        elif is_confirmed and state is ZoneState.SUSPECT and has_alternative:
            self._fail(now, zone, f"{failing} of {failing + answering} observed endpoints fail")
        elif is_failing and state is ZoneState.HEALTHY:
            self._set_state(
                now, zone, ZoneState.SUSPECT, f"{failing} of {failing + answering} observed endpoints fail"
            )
        elif not is_failing and state is ZoneState.SUSPECT and not is_slow:
            self._set_state(now, zone, ZoneState.HEALTHY, "no fault seen")
        elif is_slow and state is ZoneState.HEALTHY:
            self._set_state(
                now, zone, ZoneState.SUSPECT, "slow: its waiting times are several times those of other zones"
            )
        elif (
            state is ZoneState.FAILED
            and not is_empty
            and not is_failing
            and can_return
            and now - zone.since >= zone.hold
        ):
            self._set_state(now, zone, ZoneState.RETURNING, f"back after {zone.hold / 1000:g} s")
        elif state is ZoneState.RETURNING and now - zone.since >= s.ramp_ms:
            self._set_state(now, zone, ZoneState.HEALTHY, "returned")
            zone.healthy_since = now
        if zone.state is ZoneState.HEALTHY and now - zone.healthy_since >= s.hold_most_ms:
            zone.hold, zone.healthy_since = s.hold_ms, now

    def _fail(self, now: float, zone: _Zone, reason: str) -> None:
        if zone.state is ZoneState.RETURNING:  # failed again before its full share: hold longer next time
            zone.hold = min(self.settings.hold_most_ms, 2 * zone.hold)
        self._set_state(now, zone, ZoneState.FAILED, reason)

    @staticmethod
    def _set_state(now: float, zone: _Zone, state: ZoneState, reason: str) -> None:
        zone.state, zone.reason, zone.since = state, reason, now

    def _load_share(self, now: float, zone: _Zone) -> float:
        s = self.settings
        if zone.state is ZoneState.FAILED:
            return 0.0
        if zone.state is ZoneState.RETURNING:
            return min(1.0, s.ramp_start + (1 - s.ramp_start) * (now - zone.since) / s.ramp_ms)
        return 1.0

    @staticmethod
    def _region_verdict(members: tuple[str, ...], verdicts: Mapping[str, Verdict]) -> Verdict:
        zones = [verdicts[zone] for zone in members]
        states = {v.state for v in zones}
        if states == {ZoneState.FAILED}:
            return Verdict(ZoneState.FAILED, "all its zones failed", max(v.since_ms for v in zones), 0.0)
        if states <= {ZoneState.FAILED, ZoneState.RETURNING}:
            returning = [v for v in zones if v.state is ZoneState.RETURNING]
            return Verdict(
                ZoneState.RETURNING,
                "a zone returns",
                min(v.since_ms for v in returning),
                sum(v.load_share for v in zones) / len(zones),
            )
        if states & {ZoneState.FAILED, ZoneState.SUSPECT, ZoneState.RETURNING}:
            unhealthy = [v for v in zones if v.state is not ZoneState.HEALTHY]
            return Verdict(
                ZoneState.SUSPECT,
                f"{len(unhealthy)} of {len(zones)} zones not healthy",
                min(v.since_ms for v in unhealthy),
                sum(v.load_share for v in zones) / len(zones),
            )
        return Verdict(ZoneState.HEALTHY, "all its zones healthy", 0.0)


def zones_to_mask(
    verdicts: Mapping[str, Verdict], endpoints: Mapping[str, tuple[str, bool]]
) -> tuple[frozenset[str], dict[str, float]]:
    """The listed zones to take out of service, and those that return, with the time of their return (ms).

    Where nothing would be left in service, no zone is taken out, as without failover.
    """
    if all(verdict.state in (ZoneState.HEALTHY, ZoneState.SUSPECT) for verdict in verdicts.values()):
        return frozenset(), {}
    zones = {zone for zone, _ in endpoints.values()}
    failed = frozenset(zone for zone in zones if verdicts[zone].state is ZoneState.FAILED)
    if failed and all(zone in failed for zone, in_service in endpoints.values() if in_service):
        failed = frozenset()
    return failed, {
        zone: verdicts[zone].since_ms for zone in zones if verdicts[zone].state is ZoneState.RETURNING
    }
