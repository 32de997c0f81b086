"""Tests of the admission checks in their order, and of debt and burst against values computed by hand."""

from __future__ import annotations

import math

import pytest

from spoolbarrow.interface import (
    Action,
    Outcome,
    ProbeAnswered,
    Refuse,
    Report,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Tenant,
    TimerFired,
)
from spoolbarrow.router import Entitlement, Router
from tests.world import make_settings, serving_list


def router_with_report(unread: float, cfg: Settings | None = None) -> Router:
    """A router whose only replica has just reported `unread` tokens."""
    router = Router(cfg or make_settings(nodes=1, zones=1), 1)
    router.handle(0.0, [serving_list("a")])
    router.handle(1.0, [ProbeAnswered("a", Outcome.SERVED, 1.0, Report(0.1, unread))])
    return router


def decisions(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, Send | Refuse)]


def ask(router: Router, name: str, now: float = 2.0, **changes: object) -> Action:
    fields: dict[str, object] = {"cls": 0, "budget_ms": 4000.0, "prompt_tokens": 500, **changes}
    (action,) = decisions(router.handle(now, [RequestArrived(name, **fields)]))  # type: ignore[arg-type]
    return action


def test_a_full_fleet_refuses_the_low_class_with_retry_after() -> None:
    roomy, full = router_with_report(0.0), router_with_report(9000.0)
    for router in (roomy, full):
        ask(router, "high", cls=0)
    assert isinstance(ask(roomy, "low", cls=1), Send)
    refusal = ask(full, "low", cls=1)
    assert isinstance(refusal, Refuse) and refusal.retry_after_ms > 0.0


def test_priority_above_the_lowest_admitted_is_admitted_when_full() -> None:
    router = router_with_report(9000.0)
    assert isinstance(ask(router, "low", cls=1), Send)  # no request admitted yet: no priority to exceed
    assert isinstance(ask(router, "high", cls=0), Send)


def test_the_priority_cut_rises_with_fullness() -> None:
    """Guards against a cut at the lowest priority of many admitted requests, which nearly all exceed."""
    router = router_with_report(0.0)
    for name, cls in (("a1", 1), ("a2", 0), ("a3", 0)):
        assert isinstance(ask(router, name, cls=cls), Send)
    router.handle(3.0, [StreamStarted(n, 0, "a", 1.0) for n in ("a1", "a2", "a3")])
    router.pool.late_factor = 1.0
    router.handle(
        4.0, [ProbeAnswered("a", Outcome.SERVED, 1.0, Report(0.1, 12.0 * router.full_wait_ms * 3.5))]
    )
    assert isinstance(ask(router, "again", now=5.0, cls=0, tenant=0), Refuse)


def test_concurrency_quota_applies_only_when_full() -> None:
    cfg = make_settings(nodes=100, zones=1, tenants=(Tenant(1.0, 1.0),))
    roomy, full = router_with_report(0.0, cfg), router_with_report(0.0, cfg)
    for router in (roomy, full):
        for k in range(6):
            assert isinstance(ask(router, f"q{k}"), Send)
        router.handle(3.0, [StreamStarted(f"q{k}", 0, "a", 1.0) for k in range(6)])
        router.entitlements[0].bucket_tokens = 1e9  # so that the token bucket does not limit here
    assert isinstance(ask(roomy, "more", now=4.0), Send)
    full.handle(4.0, [ProbeAnswered("a", Outcome.SERVED, 1.0, Report(0.1, 9000.0))])
    assert isinstance(ask(full, "more", now=5.0), Refuse)


def test_token_bucket_applies_only_when_full() -> None:
    cfg = make_settings(nodes=100, zones=1, tenants=(Tenant(1.0, 1.0),))
    for unread, kind in ((0.0, Send), (9000.0, Refuse)):
        router = router_with_report(unread, cfg)
        entitlement = router.entitlements.setdefault(0, Entitlement())
        entitlement.bucket_tokens, entitlement.bucket_at = 0.0, 2.0
        assert isinstance(ask(router, "q"), kind)


def test_a_resumed_stream_skips_the_checks() -> None:
    router = router_with_report(9000.0)
    ask(router, "high", cls=0)
    assert isinstance(ask(router, "back", cls=1, resumed=True), Send)


def test_an_unknown_tenant_gets_an_account_and_an_unknown_class_a_refusal() -> None:
    router = router_with_report(0.0)
    assert isinstance(ask(router, "q", tenant=77), Send)
    assert isinstance(ask(router, "r", cls=9), Refuse)


def test_a_wait_well_within_the_objectives_is_not_fullness() -> None:
    """Guards against refusals by the mean of few reports, which one busy replica raises for all."""
    pace = RequestClass(aim_ms=2000.0, deadline_ms=4000.0, worth=3.0, token_aim_ms=80.0)
    slow = RequestClass(aim_ms=3000.0, deadline_ms=15000.0, worth=1.0, token_aim_ms=100.0)
    for wait_ms, kind in ((800.0, Send), (2400.0, Refuse)):
        router = router_with_report(wait_ms * 12.0, make_settings(nodes=1, zones=1, classes=(pace, slow)))
        ask(router, "high", cls=0)
        assert isinstance(ask(router, "low", cls=1), kind)


def test_a_request_that_cannot_be_in_time_is_refused() -> None:
    cls = RequestClass(aim_ms=100.0, deadline_ms=60000.0, worth=1.0, token_aim_ms=1000.0)
    router = router_with_report(5000.0, make_settings(nodes=1, zones=1, classes=(cls,)))
    assert isinstance(ask(router, "q"), Refuse)


def test_a_request_is_refused_only_if_predicted_after_its_objective() -> None:
    """Guards against admitting late work that delays others: a quarter over the objective was admitted."""
    first = 0.0
    for aims, kind in ((99.0, Send), (0.8, Refuse), (1.25, Send)):
        aim = aims * (first or 100.0)
        cls = RequestClass(aim_ms=aim, deadline_ms=60000.0, worth=1.0, token_aim_ms=1000.0)
        router = router_with_report(9000.0, make_settings(nodes=1, zones=1, classes=(cls,)))
        assert isinstance(ask(router, "q"), kind)
        first = first or router.requests["q"].attempts[0].predicted_ms


def weights(router: Router) -> list[float]:
    return [weight for weight, _, _ in router.class_terms]


def test_class_weights_follow_worth_and_objectives() -> None:
    classes = tuple(
        RequestClass(aim_ms=1000.0, deadline_ms=4000.0, worth=w) for w in (5.0, 3.0, 2.0, 1.0, 5.0)
    )
    router = Router(make_settings(classes=classes), 1)
    assert weights(router) == pytest.approx([1000 / 3, 100 / 3, 1 / 3, 0.1 / 3, 1000 / 3])
    two = (RequestClass(500.0, 4000.0, 2.0), RequestClass(1500.0, 4000.0, 1.0))
    # mean aim 1000: 1000 / (1 + 2 * 0.5) = 500 and 0.1 / (1 + 2 * 1.5) = 0.025
    assert weights(Router(make_settings(classes=two), 1)) == pytest.approx([500.0, 0.025])


def test_debt_and_burst_match_hand_computed_values() -> None:
    e = Entitlement()
    e.used_tokens, e.used_at, e.in_flight = 5000.0, 10.0, 3  # usage 5000 tokens / 5000 ms = 1 a ms
    e.settle(10.0, quota_rate=2.0, concurrency=2.0, elastic=True)
    # share 0.5: g = 0.5, d = 0.3 * 0.5 = 0.15; excess = 3/2 - 1 = 0.5, b = 0.3 * 0.5 = 0.15
    assert (e.debt, e.burst) == pytest.approx((0.15, 0.15))
    e.used_tokens = 20000.0
    e.settle(10.0, quota_rate=2.0, concurrency=3.0, elastic=True)
    # share 2: g = -1, d = 0.7 * 0.15 - 0.3 = -0.195; excess = 2 * 1 + 0, b = 0.105 + 0.6 = 0.705
    assert (e.debt, e.burst) == pytest.approx((-0.195, 0.705))
    e.settle(10.0, quota_rate=2.0, concurrency=3.0, elastic=True)
    assert e.debt == -0.2  # -0.4365 is cut off: the priority must stay positive


def test_spot_class_keeps_no_debt() -> None:
    e = Entitlement()
    e.settle(10.0, quota_rate=2.0, concurrency=2.0, elastic=False)
    assert e.debt == 0.0


def test_usage_decays_by_e_over_its_window() -> None:
    e = Entitlement()
    e.used_tokens, e.used_at = 5000.0, 0.0
    assert e.usage_rate(5000.0) == pytest.approx(math.exp(-1.0))


def test_a_low_quota_still_admits_requests() -> None:
    e = Entitlement()
    assert e.refill(1.0, quota_rate=0.001, request_tokens=2000.0) == 4000.0


def test_impossible_settings_are_refused() -> None:
    bad: list[dict[str, object]] = [
        {"classes": ()},
        {"classes": (RequestClass(0.0, 1.0, 1.0),)},
        {"nodes": 0},
        {"zone": 2},
        {"max_attempts": 0},
        {"cold_from": 0.0},
        {"tick_ms": -1.0},
        {"tenants": (Tenant(1.0, -1.0),)},
    ]
    for changes in bad:
        with pytest.raises(ValueError):
            make_settings(**changes)


def test_a_held_request_is_decided_by_its_timer_without_a_probe_answer() -> None:
    router = Router(make_settings(nodes=1, zones=1), 1)
    router.handle(0.0, [serving_list("a", "b")])
    event = RequestArrived("q", 0, 4000.0, prompt_tokens=900, session=5)
    first = router.handle(1.0, [event])
    timers = [a for a in first if isinstance(a, SetTimer) and a.token == "h:q"]
    assert not decisions(first) and len(timers) == 1
    assert len(decisions(router.handle(1.0 + timers[0].in_ms, [TimerFired("h:q")]))) == 1
    assert not decisions(router.handle(60.0, [TimerFired("h:q"), TimerFired("nonsense")]))


def test_a_few_long_queues_do_not_represent_their_zone() -> None:
    """Guards against refusals while most engines are idle: a few long queues dominate the mean load."""
    router = Router(make_settings(nodes=1, zones=1), 1)
    names = [f"r{k}" for k in range(12)]
    router.handle(0.0, [serving_list(*names)])
    for n, name in enumerate(names * 2):
        router.handle(10.0 + n, [ProbeAnswered(name, Outcome.SERVED, 1.0, Report(0.1, 600.0))])
    for n, name in enumerate(names[:3]):
        router.handle(40.0 + n, [ProbeAnswered(name, Outcome.SERVED, 1.0, Report(0.1, 300_000.0))])
    assert isinstance(ask(router, "q", now=50.0, cls=1), Send)


def test_refusals_before_the_first_list_spread_retries_over_the_startup_time() -> None:
    """Guards against simultaneous retries of all requests that were refused while routers start."""
    times = []
    for seed in range(40):
        refusal = ask(Router(make_settings(max_retry_after_ms=2000.0), seed), "q")
        assert isinstance(refusal, Refuse)
        times.append(refusal.retry_after_ms)
    assert min(times) >= 1000.0 and max(times) <= 2000.0 and max(times) - min(times) > 800.0
