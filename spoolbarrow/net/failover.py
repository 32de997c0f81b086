"""Failover on the sockets: outcomes heard through the taps, verdicts weighed each period, applied to the set.

Owns the evidence that waits to be weighed (bounded: what comes beyond `MAX_OUTCOMES` in one period is dropped
and counted), the checks of endpoints in doubt (`MOST_CHECKS` at once; beyond it none is made, and the pure
part names others later) and the last verdicts. The verdicts are the pure part's (`spoolbarrow.failover`);
the destination set masks a failed zone's endpoints as a suspension does, and lists a returning zone's as
started anew, so the decisions ramp them as cold. The last zone with endpoints in service is never masked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from spoolbarrow import interface as i
from spoolbarrow.config import Address
from spoolbarrow.failover import (
    EndpointOutcome,
    Evidence,
    Settings,
    Verdict,
    ZoneHealthTracker,
    zones_to_mask,
)
from spoolbarrow.net import http1
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.net.observers import Observer

if TYPE_CHECKING:
    from spoolbarrow.net.host import Host
    from spoolbarrow.net.request import Attempt
    from spoolbarrow.operator import FailoverTable

MAX_OUTCOMES = 8192  # outcomes in one period
FAILING = frozenset({i.Outcome.UNREACHABLE, i.Outcome.TIMEOUT, i.Outcome.RESET})  # no connection, or silence
MOST_CHECKS = 16
MAX_HEAD = 4096  # of a check's answer
SAYS_NOTHING = frozenset({i.Outcome.CANCELLED, i.Outcome.MOOT})  # of the endpoint's health


def settings(table: FailoverTable, checks: bool) -> Settings:
    """The pure part's settings from the operator's table; `checks`: whether the platform allows probes."""
    return Settings(
        checks=checks,
        check_ms=table.check_ms,
        check_most=table.check_most,
        window_ms=table.window_ms,
        confirm_ms=table.confirm_ms,
        hold_ms=table.hold_ms,
        hold_most_ms=table.hold_most_ms,
        ramp_ms=table.ramp_ms,
        ramp_start=table.ramp_start,
        fail_share=table.fail_share,
        min_failing=table.min_failing,
        regions={region: tuple(zones) for region, zones in table.regions.items()},
    )


class ZoneMonitor(Observer):
    """Hears outcomes of attempts and probes; `verdicts` has the last verdicts by zone and region."""

    def __init__(self, host: Host, table: FailoverTable) -> None:
        self._host, self._table = host, table
        self._verdicts = ZoneHealthTracker(settings(table, host.config.settings.probing), host.config.zones)
        self._checks: set[gevent.Greenlet[..., None]] = set()
        self._outcomes: list[EndpointOutcome] = []
        self.dropped = self._told_dropped = 0  # outcomes beyond MAX_OUTCOMES in a period, and those logged
        self.verdicts: dict[str, Verdict] = {}
        host.observers.add(self)
        self._loop = gevent.spawn(self._run)

    def apply(self, table: FailoverTable) -> None:
        """Go by new settings: what was weighed so far is kept."""
        self._table = table
        self._verdicts.settings = settings(table, self._host.config.settings.probing)

    def stop(self) -> None:
        """Hear nothing more, and give every zone back."""
        self._host.observers.remove(self)
        self._loop.kill(block=False)
        gevent.killall(list(self._checks), block=False)
        self._host.destinations.zones(frozenset(), {}, None)

    def attempt_ended(self, attempt: Attempt) -> None:
        """An attempt's outcome is evidence of its endpoint."""
        outcome = attempt.outcome
        if outcome is None or outcome in SAYS_NOTHING:
            return
        wait = attempt.first_at - attempt.sent_at if attempt.first_at else -1.0
        self._hear(EndpointOutcome(attempt.endpoint, attempt.ended_at, self._well(outcome), wait))

    def probe_ended(self, endpoint: str, outcome: i.Outcome, lag: float) -> None:
        """So is a probe's."""
        if outcome not in SAYS_NOTHING:
            ok = self._well(outcome)
            self._hear(EndpointOutcome(endpoint, self._host.now(), ok, lag if ok else -1.0))

    def _well(self, outcome: i.Outcome) -> bool | None:
        """None where nothing came in time: a busy or slow endpoint does that, too, and can be asked."""
        if outcome is i.Outcome.TIMEOUT and self._verdicts.settings.checks:
            return None
        return outcome not in FAILING

    def _check(self, endpoint: str, where: Address) -> None:
        """Ask with patience, on a connection of its own: any answer is one."""
        begun, well = self._host.now(), False
        try:
            limit = self._table.check_timeout_ms / 1000
            with gevent.Timeout(limit), http1.connect(where, limit) as sock:
                http1.send_pieces(sock, http1.get_pieces(b"/alive", where))
                parser, buffer = http1.ResponseParser(MAX_HEAD), bytearray(MAX_HEAD)
                while not parser.head_complete:
                    parser.read(sock, buffer)
                well = True
        except http1.Shortage:  # nothing was asked
            return
        except (OSError, http1.HttpError, gevent.Timeout):
            pass
        now = self._host.now()
        self._hear(EndpointOutcome(endpoint, now, well, now - begun if well else -1.0))

    def _hear(self, heard: EndpointOutcome) -> None:
        if len(self._outcomes) < MAX_OUTCOMES:
            self._outcomes.append(heard)
        else:
            self.dropped += 1

    def _run(self) -> None:
        while True:
            gevent.sleep(self._table.period_ms / 1000)
            try:
                self.evaluate(self._host.now())
            except Exception as error:  # never into serving: the zones stay as last told
                log_exception("failover", error)

    def evaluate(self, now: float) -> None:
        """Weigh what was heard since the last time, and apply the verdicts that changed."""
        destinations = self._host.destinations
        listing = destinations.listing()
        heard, self._outcomes = self._outcomes, []
        if self.dropped > self._told_dropped:
            log("failover_dropped", outcomes=self.dropped - self._told_dropped, since_start=self.dropped)
            self._told_dropped = self.dropped
        told = self._verdicts.update(now, Evidence(listing, tuple(heard)))
        for name in self._verdicts.endpoints_to_check(now):
            where = destinations.address(name)
            if where is not None and len(self._checks) < MOST_CHECKS:
                check = gevent.spawn(self._check, name, where)
                self._checks.add(check)
                check.link(self._checks.discard)
        out, back = zones_to_mask(told, listing)
        for name, verdict in told.items():
            last = self.verdicts.get(name)
            if last is None or last.state is not verdict.state:
                log("failover", place=name, state=verdict.state.value, reason=verdict.reason)
        self.verdicts = told
        shown: dict[str, dict[str, object]] = {
            name: {"state": v.state.value, "reason": v.reason, "since_ms": v.since_ms, "share": v.load_share}
            for name, v in told.items()
        }
        destinations.zones(out, back, shown)
