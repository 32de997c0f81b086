"""Timers of the host: limits of requests that have ended are dropped, the others run in order."""

from __future__ import annotations

from spoolbarrow.net.host_timers import MAX_WAIT_MS, MIN_DROPPED, HostTimers, TimeLimit


def test_limits_of_ended_requests_are_dropped_before_they_are_due() -> None:
    open_keys: set[str] = set()
    expired: list[TimeLimit] = []
    timers = HostTimers(open_keys.__contains__, expired.append)
    for number in range(100 * MIN_DROPPED):
        open_keys.add(str(number))
        timers.limit(60_000.0 + number, str(number))
        if number >= 10:
            open_keys.discard(str(number - 10))
            timers.request_ended()
    assert len(timers._limits) <= 2 * MIN_DROPPED + 20
    while timers.run_next(1e9):
        pass
    assert {limit.key for limit in expired} >= open_keys


def test_calls_and_limits_run_in_the_order_of_their_times() -> None:
    ran: list[object] = []
    timers = HostTimers(lambda key: True, ran.append)
    assert timers.next_at(5.0) == 5.0 + MAX_WAIT_MS
    timers.call_at(30.0, lambda: ran.append("call"))
    timers.limit(20.0, "r1")
    assert timers.next_at(5.0) == 20.0 and not timers.run_next(19.0)
    while timers.run_next(30.0):
        pass
    assert ran == [TimeLimit(20.0, "r1"), "call"]
