"""Collects outcomes per endpoint, evaluates the health of zones each period, and applies the verdicts.

Owns the outcomes that await evaluation (bounded: those beyond `MAX_OUTCOMES` in a period are dropped and
counted), the checks of doubtful endpoints (`MAX_CHECKS` at once; further ones are skipped, and others are
named later) and the last verdicts. The verdicts are made in `spoolbarrow.failover`, which does no I/O. The
destination set masks a failed zone's endpoints like a suspension and lists those of a returning zone as just
started, so that they get a slow start. The last zone with endpoints in service is never masked.
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

MAX_OUTCOMES = 8192  # in one period
FAILURES = frozenset(
    {i.Outcome.UNREACHABLE, i.Outcome.TIMEOUT, i.Outcome.RESET}
)  # no connection or no answer
MAX_CHECKS = 16
MAX_HEAD_BYTES = 4096  # of a check's answer
NEUTRAL = frozenset({i.Outcome.CANCELLED, i.Outcome.MOOT})  # say nothing about health


def settings(table: FailoverTable, checks: bool) -> Settings:
    """Settings of `spoolbarrow.failover` from the operator's table; `checks`: whether probes are allowed."""
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
    """Observes outcomes of attempts and probes; `verdicts` has the last verdicts by zone and region."""

    def __init__(self, host: Host, table: FailoverTable) -> None:
        self._host, self._table = host, table
        self._tracker = ZoneHealthTracker(settings(table, host.config.settings.probing), host.config.zones)
        self._checks: set[gevent.Greenlet[..., None]] = set()
        self._outcomes: list[EndpointOutcome] = []
        self.dropped = self._logged_dropped = 0  # outcomes beyond MAX_OUTCOMES: in all, and already logged
        self.verdicts: dict[str, Verdict] = {}
        host.observers.add(self)
        self._loop = gevent.spawn(self._run)

    def apply(self, table: FailoverTable) -> None:
        """Apply new settings; the evidence so far is kept."""
        self._table = table
        self._tracker.settings = settings(table, self._host.config.settings.probing)

    def stop(self) -> None:
        """Stop observing, and return every zone to service."""
        self._host.observers.remove(self)
        self._loop.kill(block=False)
        gevent.killall(list(self._checks), block=False)
        self._host.destinations.apply_zone_verdicts(frozenset(), {}, None)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Record an attempt's outcome as evidence about its endpoint."""
        outcome = attempt.outcome
        if outcome is None or outcome in NEUTRAL:
            return
        wait = attempt.first_at - attempt.sent_at if attempt.first_at else -1.0
        self._record(EndpointOutcome(attempt.endpoint, attempt.ended_at, self._is_healthy(outcome), wait))

    def probe_ended(self, endpoint: str, outcome: i.Outcome, lag: float) -> None:
        """Record a probe's outcome as evidence about its endpoint."""
        if outcome not in NEUTRAL:
            ok = self._is_healthy(outcome)
            self._record(EndpointOutcome(endpoint, self._host.now(), ok, lag if ok else -1.0))

    def _is_healthy(self, outcome: i.Outcome) -> bool | None:
        """Whether an outcome shows health; None for a timeout, as a busy endpoint can be checked."""
        if outcome is i.Outcome.TIMEOUT and self._tracker.settings.checks:
            return None
        return outcome not in FAILURES

    def _check(self, endpoint: str, address: Address) -> None:
        """Check an endpoint with a long timeout, on a separate connection: any answer counts as healthy."""
        started_at, healthy = self._host.now(), False
        try:
            limit = self._table.check_timeout_ms / 1000
            with gevent.Timeout(limit), http1.connect(address, limit) as sock:
                http1.send_pieces(sock, http1.get_pieces(b"/alive", address))
                parser, buffer = http1.ResponseParser(MAX_HEAD_BYTES), bytearray(MAX_HEAD_BYTES)
                while not parser.head_complete:
                    parser.read(sock, buffer)
                healthy = True
        except http1.Shortage:  # no check was made
            return
        except (OSError, http1.HttpError, gevent.Timeout):
            pass
        now = self._host.now()
        self._record(EndpointOutcome(endpoint, now, healthy, now - started_at if healthy else -1.0))

    def _record(self, outcome: EndpointOutcome) -> None:
        if len(self._outcomes) < MAX_OUTCOMES:
            self._outcomes.append(outcome)
        else:
            self.dropped += 1

    def _run(self) -> None:
        while True:
            gevent.sleep(self._table.period_ms / 1000)
            try:
                self.evaluate(self._host.now())
            except Exception as error:  # must not disturb serving: the verdicts stay
                log_exception("failover", error)

    def evaluate(self, now: float) -> None:
        """Evaluate the outcomes since the last time, and apply the verdicts."""
        destinations = self._host.destinations
        listing = destinations.listing()
        outcomes, self._outcomes = self._outcomes, []
        if self.dropped > self._logged_dropped:
            log("failover_dropped", outcomes=self.dropped - self._logged_dropped, since_start=self.dropped)
            self._logged_dropped = self.dropped
        verdicts = self._tracker.update(now, Evidence(listing, tuple(outcomes)))
        for name in self._tracker.endpoints_to_check(now):
            address = destinations.address(name)
            if address is not None and len(self._checks) < MAX_CHECKS:
                check = gevent.spawn(self._check, name, address)
                self._checks.add(check)
                check.link(self._checks.discard)
        out, back = zones_to_mask(verdicts, listing)
        for name, verdict in verdicts.items():
            last = self.verdicts.get(name)
            if last is None or last.state is not verdict.state:
                log("failover", place=name, state=verdict.state.value, reason=verdict.reason)
        self.verdicts = verdicts
        reported: dict[str, dict[str, object]] = {
            name: {"state": v.state.value, "reason": v.reason, "since_ms": v.since_ms, "share": v.load_share}
            for name, v in verdicts.items()
        }
        destinations.apply_zone_verdicts(out, back, reported)
