"""Verdicts on zones and regions, by one rule that every router applies to the same kinds of evidence.

A zone's fault is a share of its endpoints: each endpoint counts once, by its last outcome within the
window, so that the verdict depends on how many endpoints are gone and not on how much traffic one router
sends. A zone that discovery lists without any endpoint in service, once it had some, is failed at once:
all routers read that list.

Silence is no failure by itself: an endpoint that let a short probe or a request wait in vain is in doubt,
since a slow or busy one does that too. Where most of a zone's endpoints are in doubt, `endpoints_to_check` names some
to be asked with patience, and what comes of that is their outcome. A failed zone is asked so as well, and
not brought back on clients' requests before its endpoints answer; so is one that this router has no word of,
so that routers which send nothing there reach the verdict of those that do.

Suspicion becomes failure after `confirm_ms`; a failed zone returns after its hold once nothing fails, and
takes a share that grows from `ramp_start` to 1 over `ramp_ms`. Each failure during a return doubles the
hold, up to `hold_most_ms`, and the hold only shrinks back after `hold_most_ms` of health: a zone that flaps
moves traffic at most once a hold. The last zone with endpoints in service is never failed: the decisions do
what they can there, and it did not go out of service, so it does not return. A slow zone is suspect but
keeps its share: the decisions weigh waits.

All times are milliseconds on the caller's clock. Nothing here does I/O or reads a clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from statistics import median

from msgspec import Struct, field


class ZoneState(Enum):
    """What a zone or region is taken for."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"  # failing or slow, not long enough or not badly enough to move traffic
    FAILED = "failed"  # its endpoints get no new work
    RETURNING = "returning"  # back, on a ramp


class Settings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How evidence is weighed; times in milliseconds."""

    window_ms: float = 2000.0  # an outcome older than this says nothing
    confirm_ms: float = 1000.0  # suspicion that lasts so long is failure
    hold_ms: float = 2000.0  # shortest time failed before a return
    hold_most_ms: float = 30000.0  # longest hold; also the health that shrinks the hold again
    ramp_ms: float = 5000.0  # from the return to the whole share
    ramp_start: float = 0.1  # share at the return
    fail_share: float = 0.5  # of the endpoints heard from, failing, to suspect the zone
    min_failing: int = 2  # and at least so many
    slow_factor: float = 3.0  # median wait of a zone against the others' to call it slow
    slow_min_ms: float = 200.0  # and at least so long
    checks: bool = True  # whether endpoints in doubt can be asked; else a zone returns unasked after its hold
    check_ms: float = 500.0  # a zone is asked again so long after
    check_most: int = 3  # endpoints of a zone asked at a time
    regions: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # region: its zones


class EndpointOutcome(Struct, frozen=True):
    """One outcome of an attempt, probe or check: `ok` for an answer, None for one not waited for to the end,
    else a failed connection or long silence."""

    endpoint: str
    at_ms: float
    ok: bool | None
    wait_ms: float = -1.0  # to the first byte of the answer; negative: not known


class Evidence(Struct, frozen=True):
    """What a router has: the list (endpoint: zone, in service or not) and outcomes since the last call."""

    endpoints: Mapping[str, tuple[str, bool]]
    outcomes: tuple[EndpointOutcome, ...] = ()


class Verdict(Struct, frozen=True):
    """A zone's or region's verdict since `since_ms`, why, and the share of its fair load it may take."""

    state: ZoneState
    reason: str
    since_ms: float
    load_share: float = 1.0


class _Zone:
    __slots__ = ("state", "reason", "since", "sick_since", "hold", "healthy_since", "listed", "checked_at")

    def __init__(self, hold: float) -> None:
        self.state, self.reason, self.since = ZoneState.HEALTHY, "no fault seen", 0.0
        self.sick_since: float | None = None
        self.checked_at = 0.0  # some of its endpoints were last named to be asked
        self.hold, self.healthy_since = hold, 0.0
        self.listed = False  # some endpoint of it has been in service: before that, none is no fault


class ZoneHealthTracker:
    """Verdicts of one router; its tables hold listed endpoints and configured or listed zones only.

    A call costs what was heard within the window, not the size of the fleet: a list that is the same object
    as the last one is not read again.
    """

    def __init__(self, settings: Settings, zones: Iterable[str] = ()) -> None:
        self.settings = settings
        self._listed: Mapping[str, tuple[str, bool]] = {}
        self._serving: dict[str, list[str]] = {}  # listed endpoints in service, by zone
        self._last: dict[
            str, EndpointOutcome
        ] = {}  # each listed endpoint's last outcome; the latest heard is last
        self._doubted: set[str] = set()  # those that have let something wait in vain since they last answered
        self._checked: dict[str, float] = {}  # when each was last named to be asked
        self._zones: dict[str, _Zone] = {}
        for zone in (*zones, *(z for members in settings.regions.values() for z in members)):
            self._zones.setdefault(zone, _Zone(settings.hold_ms))

    def update(self, now: float, evidence: Evidence) -> dict[str, Verdict]:
        """Take new outcomes and the list as it is now; return the verdict of every zone and region by name.

        Outcomes of endpoints that are not listed are dropped, and so are older ones than an endpoint's last.
        """
        if evidence.endpoints is not self._listed:
            self._read_list(evidence.endpoints)
        for heard in evidence.outcomes:
            last = self._last.get(heard.endpoint)
            if heard.endpoint not in self._listed or (last is not None and heard.at_ms < last.at_ms):
                continue
            if heard.ok is None:
                self._doubted.add(heard.endpoint)
            else:
                self._last.pop(heard.endpoint, None)
                self._last[heard.endpoint] = heard
                if heard.ok:
                    self._doubted.discard(heard.endpoint)
        recent = self._recent(now)
        slow = self._slow(recent)
        verdicts = {}
        for name, zone in self._zones.items():
            serves = [heard for heard in recent.get(name, ()) if self._listed[heard.endpoint][1]]
            well = sum(heard.ok is True for heard in serves)
            serving = len(self._serving.get(name, ()))
            self._step(now, zone, serving, well, len(serves) - well, name in slow, self._elsewhere(name))
            verdicts[name] = Verdict(zone.state, zone.reason, zone.since, self._share(now, zone))
        for region, members in self.settings.regions.items():
            verdicts[region] = self._region(members, verdicts)
        return verdicts

    def endpoints_to_check(self, now: float) -> list[str]:
        """Endpoints to be asked now whether they answer: of zones in doubt, failed, or not heard from.

        Named are those not asked for longest, once in `check_ms` for each zone: `check_most`, or as many as
        it takes to judge a zone that nothing is known against.
        """
        s = self.settings
        if not s.checks:
            return []
        recent, doubts = self._recent(now), Counter(self._listed[name][0] for name in self._doubted)
        named: list[str] = []
        for zone, names in self._serving.items():
            its, heard = self._zones[zone], recent.get(zone, [])
            sure = sum(one.endpoint not in self._doubted for one in heard)
            doubt = doubts[zone] >= s.min_failing and doubts[zone] >= s.fail_share * (doubts[zone] + sure)
            unheard = len(heard) < min(s.min_failing, len(names))
            many = s.check_most if doubt or its.state is ZoneState.FAILED else s.min_failing * unheard
            if many and now - its.checked_at >= s.check_ms:
                its.checked_at = now
                names.sort(key=lambda name: (self._checked.get(name, 0.0), name))
                for name in names[:many]:
                    self._checked[name] = now
                    named.append(name)
        return named

    def _read_list(self, listed: Mapping[str, tuple[str, bool]]) -> None:
        self._listed = listed
        self._serving = {}
        for name, (zone, serves) in listed.items():
            self._zones.setdefault(zone, _Zone(self.settings.hold_ms))
            if serves:
                self._serving.setdefault(zone, []).append(name)
        for table in (self._last, self._checked):
            for name in [n for n in table if n not in listed]:
                del table[name]
        self._doubted &= listed.keys()

    def _recent(self, now: float) -> dict[str, list[EndpointOutcome]]:
        """What was heard within the window, by zone."""
        found: dict[str, list[EndpointOutcome]] = {}
        window = self.settings.window_ms
        for heard in reversed(self._last.values()):
            age = now - heard.at_ms
            if age > 2 * window:
                break  # they were heard in turn, or nearly so: the others are older
            if age <= window:
                found.setdefault(self._listed[heard.endpoint][0], []).append(heard)
        return found

    def _slow(self, recent: Mapping[str, list[EndpointOutcome]]) -> set[str]:
        waits = {
            zone: [one.wait_ms for one in heard if one.ok and one.wait_ms >= 0]
            for zone, heard in recent.items()
        }
        slow, s = set(), self.settings
        for zone, own in waits.items():
            others = [w for z, ws in waits.items() if z != zone for w in ws]
            if own and others and median(own) >= max(s.slow_min_ms, s.slow_factor * median(others)):
                slow.add(zone)
        return slow

    def _elsewhere(self, name: str) -> bool:
        """Whether another zone has endpoints in service and has not failed."""
        return any(
            zone.state is not ZoneState.FAILED and self._serving.get(other)
            for other, zone in self._zones.items()
            if other != name
        )

    def _step(
        self, now: float, zone: _Zone, serving: int, well: int, failing: int, slow: bool, elsewhere: bool
    ) -> None:
        s = self.settings
        sick = failing >= s.min_failing and failing >= s.fail_share * (failing + well)
        zone.listed = zone.listed or serving > 0
        empty = serving == 0 and zone.listed
        state = zone.state
        if not sick:
            zone.sick_since = None
        elif zone.sick_since is None:
            zone.sick_since = now
        confirmed = zone.sick_since is not None and now - zone.sick_since >= s.confirm_ms
        answers = not s.checks or well >= min(s.min_failing, serving)
        if empty and state in (ZoneState.HEALTHY, ZoneState.SUSPECT, ZoneState.RETURNING):
            self._fail(now, zone, "none of its endpoints in service")
        elif sick and state is ZoneState.RETURNING and elsewhere:
            self._fail(now, zone, f"{failing} of {failing + well} endpoints heard from fail again")
        elif confirmed and state is ZoneState.SUSPECT and elsewhere:
            self._fail(now, zone, f"{failing} of {failing + well} endpoints heard from fail")
        elif sick and state is ZoneState.HEALTHY:
            self._set(
                now, zone, ZoneState.SUSPECT, f"{failing} of {failing + well} endpoints heard from fail"
            )
        elif not sick and state is ZoneState.SUSPECT and not slow:
            self._set(now, zone, ZoneState.HEALTHY, "no fault seen")
        elif slow and state is ZoneState.HEALTHY:
            self._set(now, zone, ZoneState.SUSPECT, "slow: its waits several times the others'")
        elif (
            state is ZoneState.FAILED and not empty and not sick and answers and now - zone.since >= zone.hold
        ):
            self._set(now, zone, ZoneState.RETURNING, f"back after {zone.hold / 1000:g} s")
        elif state is ZoneState.RETURNING and now - zone.since >= s.ramp_ms:
            self._set(now, zone, ZoneState.HEALTHY, "returned")
            zone.healthy_since = now
        if zone.state is ZoneState.HEALTHY and now - zone.healthy_since >= s.hold_most_ms:
            zone.hold, zone.healthy_since = s.hold_ms, now

    def _fail(self, now: float, zone: _Zone, reason: str) -> None:
        if zone.state is ZoneState.RETURNING:  # failed again before it was whole: wait longer next time
            zone.hold = min(self.settings.hold_most_ms, 2 * zone.hold)
        self._set(now, zone, ZoneState.FAILED, reason)

    @staticmethod
    def _set(now: float, zone: _Zone, state: ZoneState, reason: str) -> None:
        zone.state, zone.reason, zone.since = state, reason, now

    def _share(self, now: float, zone: _Zone) -> float:
        s = self.settings
        if zone.state is ZoneState.FAILED:
            return 0.0
        if zone.state is ZoneState.RETURNING:
            return min(1.0, s.ramp_start + (1 - s.ramp_start) * (now - zone.since) / s.ramp_ms)
        return 1.0

    @staticmethod
    def _region(members: tuple[str, ...], verdicts: Mapping[str, Verdict]) -> Verdict:
        own = [verdicts[zone] for zone in members]
        states = {v.state for v in own}
        if states == {ZoneState.FAILED}:
            return Verdict(ZoneState.FAILED, "all its zones failed", max(v.since_ms for v in own), 0.0)
        if states <= {ZoneState.FAILED, ZoneState.RETURNING}:
            back = [v for v in own if v.state is ZoneState.RETURNING]
            return Verdict(
                ZoneState.RETURNING,
                "a zone returns",
                min(v.since_ms for v in back),
                sum(v.load_share for v in own) / len(own),
            )
        if states & {ZoneState.FAILED, ZoneState.SUSPECT, ZoneState.RETURNING}:
            sick = [v for v in own if v.state is not ZoneState.HEALTHY]
            return Verdict(
                ZoneState.SUSPECT,
                f"{len(sick)} of {len(own)} zones not healthy",
                min(v.since_ms for v in sick),
                sum(v.load_share for v in own) / len(own),
            )
        return Verdict(ZoneState.HEALTHY, "all its zones healthy", 0.0)


def zones_to_mask(
    told: Mapping[str, Verdict], listed: Mapping[str, tuple[str, bool]]
) -> tuple[frozenset[str], dict[str, float]]:
    """Of the listed zones: those to take no new work, and those that began anew, with when (ms).

    Where nothing would be left in service, none is taken out: the decisions carry on as without failover.
    """
    if all(one.state in (ZoneState.HEALTHY, ZoneState.SUSPECT) for one in told.values()):
        return frozenset(), {}
    zones = {zone for zone, _ in listed.values()}
    out = frozenset(zone for zone in zones if told[zone].state is ZoneState.FAILED)
    if out and all(zone in out for zone, serves in listed.values() if serves):
        out = frozenset()
    return out, {zone: told[zone].since_ms for zone in zones if told[zone].state is ZoneState.RETURNING}
