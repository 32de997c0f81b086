"""Failover on the sockets: outcomes heard through the taps, verdicts weighed each period, applied to the set.

Owns the evidence that waits to be weighed (bounded: what comes beyond `MOST_HEARD` in one period is dropped
and counted) and the last verdicts. The verdicts are the pure part's (`spoolbarrow.failover`); the destination
set masks a failed zone's endpoints as a suspension does, and lists a returning zone's as started anew, so the
decisions ramp them as cold. The last zone with endpoints in service is never masked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from spoolbarrow import interface as i
from spoolbarrow.failover import Evidence, Heard, Settings, State, Verdict, Verdicts
from spoolbarrow.net.log import log, unexpected
from spoolbarrow.net.taps import Observer

if TYPE_CHECKING:
    from spoolbarrow.net.host import Host
    from spoolbarrow.net.request import Attempt
    from spoolbarrow.operator import FailoverTable

MOST_HEARD = 8192  # outcomes in one period
FAILING = frozenset({i.Outcome.UNREACHABLE, i.Outcome.TIMEOUT, i.Outcome.RESET})  # no connection, or silence
SAYS_NOTHING = frozenset({i.Outcome.CANCELLED, i.Outcome.MOOT})  # of the endpoint's health


def settings(table: FailoverTable) -> Settings:
    """The pure part's settings from the operator's table."""
    return Settings(
        window_ms=table.window_ms, confirm_ms=table.confirm_ms, hold_ms=table.hold_ms,
        hold_most_ms=table.hold_most_ms, ramp_ms=table.ramp_ms, ramp_start=table.ramp_start,
        fail_share=table.fail_share, min_failing=table.min_failing,
        regions={region: tuple(zones) for region, zones in table.regions.items()},
    )


class ZoneWatch(Observer):
    """Hears outcomes of attempts and probes; `told` has the last verdicts by zone and region."""

    def __init__(self, host: Host, table: FailoverTable) -> None:
        self._host, self._period = host, table.period_ms
        self._verdicts = Verdicts(settings(table), host.config.zones)
        self._heard: list[Heard] = []
        self.dropped = self._told_dropped = 0  # outcomes beyond MOST_HEARD in a period, and those logged
        self.told: dict[str, Verdict] = {}
        host.taps.add(self)
        self._loop = gevent.spawn(self._run)

    def apply(self, table: FailoverTable) -> None:
        """Go by new settings: what was weighed so far is kept."""
        self._period = table.period_ms
        self._verdicts.settings = settings(table)

    def stop(self) -> None:
        """Hear nothing more, and give every zone back."""
        self._host.taps.remove(self)
        self._loop.kill(block=False)
        self._host.destinations.zones(frozenset(), {}, None)

    def attempt_ended(self, attempt: Attempt) -> None:
        """An attempt's outcome is evidence of its endpoint."""
        outcome = attempt.outcome
        if outcome is None or outcome in SAYS_NOTHING:
            return
        wait = attempt.first_at - attempt.sent_at if attempt.first_at else -1.0
        self._hear(Heard(attempt.endpoint, attempt.ended_at, outcome not in FAILING, wait))

    def probe_ended(self, endpoint: str, outcome: i.Outcome, lag: float) -> None:
        """So is a probe's, but for a late one: a busy or slow engine misses a probe's short hold."""
        if outcome not in SAYS_NOTHING and outcome is not i.Outcome.TIMEOUT:
            ok = outcome not in FAILING
            self._hear(Heard(endpoint, self._host.now(), ok, lag if ok else -1.0))

    def _hear(self, heard: Heard) -> None:
        if len(self._heard) < MOST_HEARD:
            self._heard.append(heard)
        else:
            self.dropped += 1

    def _run(self) -> None:
        while True:
            gevent.sleep(self._period / 1000)
            try:
                self.weigh(self._host.now())
            except Exception as error:  # never into serving: the zones stay as last told
                unexpected("failover", error)

    def weigh(self, now: float) -> None:
        """Weigh what was heard since the last time, and apply the verdicts that changed."""
        destinations = self._host.destinations
        listing = destinations.listing()
        heard, self._heard = self._heard, []
        if self.dropped > self._told_dropped:
            log("failover_dropped", outcomes=self.dropped - self._told_dropped, since_start=self.dropped)
            self._told_dropped = self.dropped
        told = self._verdicts.handle(now, Evidence(listing, tuple(heard)))
        zones = {zone for zone, _ in listing.values()}
        out = frozenset(z for z in zones if told[z].state is State.FAILED)
        if out and all(z in out for z, serving in listing.values() if serving):
            out = frozenset()  # nowhere else to go: the decisions carry on as without failover
        back = {z: told[z].since_ms for z in zones if told[z].state is State.RETURNING}
        for name, verdict in told.items():
            last = self.told.get(name)
            if last is None or last.state is not verdict.state:
                log("failover", place=name, state=verdict.state.value, reason=verdict.reason)
        self.told = told
        shown: dict[str, dict[str, object]] = {
            name: {"state": v.state.value, "reason": v.reason, "since_ms": v.since_ms, "share": v.share}
            for name, v in told.items()
        }
        destinations.zones(out, back, shown)
