"""Tests the parts of admission control without I/O: shares, accounts, retries, reservations, the gate."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow import interface as i
from spoolbarrow.admission.capacity import CapacityEstimator
from spoolbarrow.admission.clients import ClientAccounts, HeavyHitters, full_collision_probability
from spoolbarrow.admission.controller import (
    AdmissionController,
    Admit,
    Arrived,
    Event,
    FleetLoad,
    RefusedByRouter,
    Reject,
    RequestEnded,
    SetTimer,
    Settings,
    TimerFired,
)  # fmt: skip
from spoolbarrow.admission.gate import TIMER, AdmissionGate, Caller, Rejection, tenant_weights
from spoolbarrow.admission.reservations import ReservationCalendar
from spoolbarrow.admission.retries import MIN_DEPTH, RetryBudget, RetryDetector
from spoolbarrow.admission.shares import FairShares, TenantShares
from spoolbarrow.router import Router
from tests.world import make_settings

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=120)
WORK = st.floats(1.0, 100.0)


def contend(
    shares: FairShares,
    weights: dict[str, float],
    works: list[tuple[str, float]],
    step: float,
    credit: float = 20.0,
) -> dict[str, float]:
    """Offer each piece of work in turn under constant overload; `step` is served between two of them."""
    charged = dict.fromkeys(weights, 0.0)
    for key, work in works:
        shares.advance(step)
        if shares.ahead(key) < credit:
            shares.charge(key, weights[key], work)
            charged[key] += work
    return charged


@DETERMINISTIC
@given(
    st.dictionaries(st.sampled_from("abcde"), st.floats(0.1, 10.0), min_size=2),
    st.lists(WORK, min_size=50, max_size=200),
    st.randoms(use_true_random=False),
)
def test_busy_flows_differ_by_at_most_the_stated_bound(
    weights: dict[str, float], sizes: list[float], rng: Random
) -> None:
    credit, largest = 150.0, max(sizes)
    shares = FairShares(1e9)
    keys = sorted(weights)
    for key in keys:  # all are busy throughout: each is offered work in every round
        shares.charge(key, weights[key], credit)
    at_begin = {key: shares.ahead(key) for key in keys}
    charged = dict.fromkeys(keys, 0.0)
    for size in sizes:
        shares.advance(rng.random() * 20.0)
        if len(shares.flows) < len(keys):
            return  # a flow has become idle: the bound holds for busy flows only
        for key in rng.sample(keys, len(keys)):
            if shares.ahead(key) < credit:
                shares.charge(key, weights[key], size)
                charged[key] += size
    for one in keys:
        for other in keys:
            apart = abs(charged[one] / weights[one] - charged[other] / weights[other])
            allowed = sum((credit + largest + at_begin[key]) / weights[key] for key in (one, other))
            assert apart <= allowed + 1e-6


@DETERMINISTIC
@given(st.lists(st.tuples(st.sampled_from("abc"), WORK, st.floats(0.0, 60.0)), max_size=150))
def test_work_ahead_is_work_charged_less_work_served(steps: list[tuple[str, float, float]]) -> None:
    """Work conservation: while any flow is active, the sum ahead is the work charged less the work served."""
    shares, given_, served = FairShares(1e12), 0.0, 0.0
    for key, work, step in steps:
        before = sum(shares.ahead(flow) for flow in shares.flows)
        shares.advance(step)
        after = sum(shares.ahead(flow) for flow in shares.flows)
        assert before - after == pytest.approx(min(step, before), abs=1e-6)
        shares.charge(key, 2.0, work)
        given_, served = given_ + work, served + min(step, before)
        assert sum(shares.ahead(flow) for flow in shares.flows) == pytest.approx(given_ - served, abs=1e-6)
        assert shares.total_weight == pytest.approx(2.0 * len(shares.flows))
        assert len(shares.heap) <= 65 + 4 * len(shares.flows)


def test_shares_follow_weights_and_idle_shares_are_lent() -> None:
    weights = {"a": 0.6, "b": 0.4}
    shares = FairShares(200.0)
    charged = contend(shares, weights, [("a", 5.0), ("b", 5.0)] * 2000, 4.0)
    assert charged["a"] / charged["b"] == pytest.approx(1.5, rel=0.03)
    alone = contend(shares, weights, [("b", 5.0), ("b", 5.0)] * 500, 4.0)
    assert alone["b"] == pytest.approx(4000.0, rel=0.03)  # the whole capacity
    # The share was only lent: "a" gets it back at once, and no more than its credit in addition.
    returned = contend(shares, weights, [("a", 5.0), ("b", 5.0)] * 500, 4.0)
    assert returned["a"] / returned["b"] == pytest.approx(1.5, rel=0.1)


def test_an_idle_flow_saves_no_credit() -> None:
    shares = FairShares(200.0)
    contend(shares, {"a": 1.0, "b": 1.0}, [("b", 5.0)] * 1000, 4.0)
    burst = 0.0
    while shares.ahead("a") < 20.0:
        shares.charge("a", 1.0, 5.0)
        burst += 5.0
    assert burst <= 25.0


def test_work_ahead_is_bounded_and_corrected() -> None:
    shares = FairShares(100.0)
    shares.charge("b", 1.0, 5.0)
    for _ in range(1000):
        shares.charge("a", 1.0, 5.0)  # charged without any contention
    assert shares.ahead("a") == 100.0
    shares.charge("a", 1.0, -30.0)
    assert shares.ahead("a") == 70.0
    shares.charge("a", 2.0, 0.0)  # a new weight leaves the work ahead unchanged
    assert shares.ahead("a") == pytest.approx(70.0)
    shares.charge("a", 2.0, -100.0)
    assert shares.ahead("a") == 0.0 and set(shares.flows) == {"b"}


def test_clients_of_a_tenant_share_equally_and_leave_no_state() -> None:
    shares = TenantShares({"t": 1.0, "u": 1.0}, max_ahead=400.0)
    charged = dict.fromkeys("xyz", 0.0)
    for n in range(6000):
        shares.advance(3.0)
        client = "x" if n % 3 else "yz"[n // 3 % 2]  # x sends four times as often
        room = 40.0 - shares.ahead("t")
        if room > 0.0 and shares.client_ahead("t", client) < 2.0 * room:
            shares.charge("t", client, 5.0)
            charged[client] += 5.0
        if shares.ahead("u") < 40.0:
            shares.charge("u", "only", 5.0)
    assert charged["x"] <= 1.2 * charged["y"] and charged["y"] == pytest.approx(charged["z"], rel=0.1)
    assert sum(charged.values()) == pytest.approx(9000.0, rel=0.05)  # half of the capacity
    assert shares.capacity_share("t") == 0.5
    shares.advance(10_000.0)
    assert (
        not shares.tenants.flows
        and shares.tenants.total_weight == 0.0
        and shares.client_ahead("t", "x") == 0.0
    )
    shares.configure({"u": 2.0})
    assert shares.weight("t") == 2.0 and shares.capacity_share("u") == 1.0


@DETERMINISTIC
@given(st.lists(st.tuples(st.integers(0, 40), WORK), max_size=300))
def test_heavy_hitter_counts_are_within_their_error(asked: list[tuple[int, float]]) -> None:
    heavy, true = HeavyHitters(8), dict.fromkeys(range(41), 0.0)
    for client, work in asked:
        heavy.add(client, work)
        true[client] += work
        assert len(heavy.counts) <= 8 and len(heavy.heap) <= 8 + len(asked)
        for one, count in heavy.counts.items():
            assert count - heavy.errors[one] <= true[one] + 1e-6 <= count + 2e-6
    # Every client with more than a slot's even share is among them.
    for client, work in true.items():
        assert work <= sum(true.values()) / 8 + 1e-6 or client in heavy.counts


def test_a_flood_of_new_clients_uses_bounded_memory_and_hides_no_heavy_client() -> None:
    clients, rng = ClientAccounts(slots=64), Random(5)
    heavy, light = rng.getrandbits(64), rng.getrandbits(64)
    for n in range(50_000):
        clients.add(rng.getrandbits(64), 1.0)
        if n % 10 == 0:
            clients.add(heavy, 5.0)
    assert clients.account(heavy, lambda name: 0.0) == ~heavy < 0
    assert len(clients.heavy_hitters.counts) <= 64 and len(clients.heavy_hitters.heap) <= 200
    buckets = clients.buckets(light)
    assert len(set(buckets)) == 4 and all(
        n * 128 <= bucket < n * 128 + 128 for n, bucket in enumerate(buckets)
    )
    full = dict.fromkeys(buckets, 9.0) | {buckets[2]: 4.0}
    assert clients.account(light, full.__getitem__) == buckets[2]  # the emptiest


def test_probability_of_sharing_all_buckets() -> None:
    assert full_collision_probability(0, 4, 128) == 0.0 and full_collision_probability(
        100_000, 4, 128
    ) == pytest.approx(1.0)
    assert full_collision_probability(10, 4, 128) < 1e-4
    rng, clients = Random(1), ClientAccounts(rows=2, width=16)
    hit = 0
    for _ in range(4000):
        heavy = {bucket for _ in range(4) for bucket in clients.buckets(rng.getrandbits(64))}
        hit += set(clients.buckets(rng.getrandbits(64))) <= heavy
    assert hit / 4000 == pytest.approx(full_collision_probability(4, 2, 16), abs=0.01)


def test_retries_are_a_share_of_first_tries() -> None:
    budget = RetryBudget(0.1, depth=5.0)
    assert [budget.take_retry() for _ in range(5)] == [True] * 3 + [False] * 2
    for _ in range(25):
        budget.record_first_try()
    assert sum(budget.take_retry() for _ in range(20)) == 2
    for _ in range(1000):
        budget.record_first_try()
    assert sum(budget.take_retry() for _ in range(20)) == 5 >= MIN_DEPTH


def test_the_same_prompt_of_a_session_is_a_retry_within_the_window() -> None:
    seen = RetryDetector(1000.0, 100)
    assert not seen.is_retry(0.0, 7) and seen.is_retry(900.0, 7) and not seen.is_retry(900.0, 8)
    assert not seen.is_retry(2500.0, 7)
    for n in range(10_000):
        seen.is_retry(2600.0, n)
    assert len(seen.current) + len(seen.previous) <= 101 and seen.forgotten > 0


@DETERMINISTIC
@given(
    st.lists(
        st.tuples(
            st.sampled_from("tr"), st.integers(0, 30), WORK, st.floats(0.0, 0.999), st.floats(0.0, 80.0)
        ),
        max_size=200,
    )
)
def test_reservations_fit_the_expected_capacity(steps: list[tuple[str, int, float, float, float]]) -> None:
    calendar, now = ReservationCalendar(50.0, 1000.0, 20, 100.0), 0.0
    calendar.set_capacity(2.0, 0.25)
    times: dict[int, float] = {}
    for kind, key, work, spread, ms in steps:
        now += ms
        if kind == "r":
            on_time = calendar.redeem(now, key)
            assert not on_time or now >= times[key]
            if on_time:
                del times[key]
        else:
            earlier = calendar.reservations.get(key)
            wait = calendar.reserve(now, key, work, spread)
            if wait is not None:
                assert 0.0 <= wait <= 1000.0
                if (
                    earlier is not None
                    and key in calendar.reservations
                    and earlier == calendar.reservations[key]
                ):
                    assert wait == max(0.0, times[key] - now)
                times[key] = calendar.reservations[key].at
        assert len(calendar.reservations) <= 20
        booked: dict[int, float] = {}
        for reservation in calendar.reservations.values():
            for slot, booked_work in reservation.bookings:
                booked[slot] = booked.get(slot, 0.0) + booked_work
        assert booked.keys() == calendar.booked.keys()
        for slot, work_ in booked.items():
            assert work_ == pytest.approx(calendar.booked[slot])
            # Reservations stay within the expected capacity, overbooked by at most the assumed share.
            assert work_ <= 2.0 * 0.75 * 50.0 / 0.3 + 1e-6


def test_an_early_caller_gets_the_same_time() -> None:
    calendar = ReservationCalendar(100.0, 2000.0, 100, 200.0)
    calendar.set_capacity(1.0, 0.0)
    wait = calendar.reserve(0.0, "a", 60.0, 0.5)
    assert wait == 150.0
    assert not calendar.redeem(100.0, "a") and calendar.reserve(100.0, "a", 60.0, 0.9) == 50.0
    assert calendar.reserve(0.0, "b", 60.0, 0.5) == 250.0  # 40 in the first slot, the rest in the next
    assert calendar.redeem(151.0, "a") and not calendar.redeem(152.0, "a")
    assert not calendar.redeem(1000.0, "b")  # too late: its reservation has expired
    assert calendar.return_share < 1.0 and not calendar.booked


def test_slots_are_overbooked_by_callers_that_do_not_return() -> None:
    calendar = ReservationCalendar(100.0, 100_000.0, 10_000, 250.0)
    calendar.set_capacity(1.0, 0.0)
    now = 0.0
    for n in range(400):
        calendar.reserve(now, n, 10.0, 0.0)
        now += 300.0
        if n % 2:
            calendar.redeem(now, n)
    assert 0.3 < calendar.return_share < 0.8 and calendar.free_work(int(now // 100) + 5) > 120.0
    assert calendar.reserve(now, "none", 1e9, 0.0) is None


def test_setting_the_clock_back_drops_reservations() -> None:
    calendar = ReservationCalendar(100.0, 2000.0, 100, 200.0)
    calendar.set_capacity(1.0, 0.0)
    calendar.reserve(1e9, "a", 150.0, 0.5)
    assert calendar.reserve(0.0, "b", 60.0, 0.5) == 150.0 and set(calendar.reservations) == {"b"}


def test_a_rate_is_capacity_only_while_the_fleet_is_full() -> None:
    capacity = CapacityEstimator()
    for second in range(10):
        capacity.update(1000.0 * second, False)
        capacity.finished_tokens += 500.0
    assert capacity.rate == pytest.approx(0.5) and capacity.deviation == 0.0
    for second in range(10, 13):
        capacity.update(1000.0 * second, False)
        capacity.finished_tokens += 100.0  # low demand says nothing about the capacity
    assert capacity.rate > 0.49
    for second in range(13, 40):
        capacity.update(1000.0 * second, True)
        capacity.finished_tokens += 250.0  # the capacity has halved
    assert capacity.rate == pytest.approx(0.25, rel=0.02)
    capacity.update(1e12, True)
    assert capacity.rate == pytest.approx(0.25, rel=0.02)  # a clock jump is not elapsed time


def make_controller(**changes: float) -> AdmissionController:
    return AdmissionController(Settings(weights=(0.6, 0.4), **changes), 1)  # type: ignore[arg-type]


def make_arrival(
    name: str, tenant: int = 0, client: int = 1, session: int = 1, repeat: bool | None = False
) -> Arrived:
    return Arrived(name, tenant, client, 100.0, 5000.0, session=session, repeat=repeat)


def make_full_controller(controller: AdmissionController) -> AdmissionController:
    """A full fleet with 40 requests of tenant 0 in flight, from its clients 0 to 7, and 10 of tenant 1."""
    controller.handle(0.0, [make_arrival(f"a{n}", 0, n % 8 << 40) for n in range(40)])
    controller.handle(0.0, [make_arrival(f"b{n}", 1, 99) for n in range(10)])
    controller.handle(1.0, [FleetLoad(1.2)])
    controller.unfair_refusals[1] = 1.0
    return controller


def expect_rejection(controller: AdmissionController, now: float, event: Event) -> Reject:
    (action,) = controller.handle(now, [event])
    assert isinstance(action, Reject), action
    return action


def test_every_request_is_admitted_while_the_fleet_is_not_full() -> None:
    controller = make_controller()
    names = [str(n) for n in range(500)]
    assert controller.handle(0.0, [make_arrival(name) for name in names]) == [Admit(name) for name in names]
    # No accounts are kept.
    assert controller.work_in_flight == 50_000.0 and not controller.shares.tenants.flows


def test_a_full_fleet_rejects_tenants_beyond_their_share_and_admits_others() -> None:
    controller = make_full_controller(make_controller())
    rejection = expect_rejection(controller, 2.0, make_arrival("more", client=77))
    assert (
        rejection.why == "share"
        and rejection.ahead > rejection.limit
        and 0.0 < rejection.retry_after_ms <= 2000.0
    )
    (other,) = controller.handle(2.0, [make_arrival("other", 1, 98)])
    assert isinstance(other, Admit) and other.standing > 1.0  # within its share
    # Shares are lent while no tenant is refused within its own; the borrower is refused first.
    controller.unfair_refusals.clear()
    (lent,) = controller.handle(2.0, [make_arrival("lent", client=77)])
    assert isinstance(lent, Admit) and lent.standing < 1.0
    # A single tenant is never beyond its share, but one of its clients may be.
    alone = make_controller()
    alone.handle(0.0, [FleetLoad(0.95)])
    alone.handle(0.0, [make_arrival(f"y{n}", 1, 6 + n << 16) for n in range(10)])
    alone.handle(0.0, [make_arrival(f"x{n}", 1, 5) for n in range(90)])
    assert expect_rejection(alone, 2.0, make_arrival("x", 1, 5)).why == "client"
    actions = alone.handle(2.0, [make_arrival("y", 1, 6 << 16), make_arrival("z", 1, 50 << 16)])
    assert all(isinstance(action, Admit) for action in actions)


def test_a_tenant_without_work_in_flight_is_never_rejected_for_its_share() -> None:
    controller = make_full_controller(make_controller())
    for n in range(10):
        controller.handle(2.0 + n, [RequestEnded(f"b{n}", False)])
    controller.handle(100.0, [FleetLoad(5.0)])
    assert controller.shares.ahead(1) == 0.0 and controller.shares.ahead(0) == pytest.approx(
        controller.work_in_flight
    )
    assert isinstance(controller.handle(101.0, [make_arrival("first", 1)])[0], Admit)


def expect_refusal(controller: AdmissionController, now: float, event: Arrived) -> Reject:
    """Have a request admitted and then refused by the router."""
    (action,) = controller.handle(now, [event])
    assert isinstance(action, Admit) and not action.promised
    return expect_rejection(controller, now, RefusedByRouter(event, 77.0))


def test_a_caller_on_time_is_admitted_and_an_early_one_gains_nothing() -> None:
    controller = make_full_controller(make_controller())
    controller.capacity.rate = 20.0
    rejection = expect_refusal(controller, 2.0, make_arrival("more", 1, 98))
    assert rejection.promised and rejection.why == "full"
    at = 2.0 + rejection.retry_after_ms
    early = expect_refusal(controller, at - 1.0, make_arrival("early", 1, 98))
    assert early.promised and early.retry_after_ms == pytest.approx(1.0)
    assert controller.handle(at, [make_arrival("again", 1, 98)]) == [Admit("again", True)]
    # A request without a session is identified by its ticket, which is valid once.
    rejection = expect_refusal(controller, at, Arrived("none", 1, 98, 100.0, 5000.0))
    at += rejection.retry_after_ms
    again = Arrived("shown", 1, 98, 100.0, 5000.0, ticket=rejection.ticket)
    assert rejection.ticket > 0 and controller.handle(at, [again]) == [Admit("shown", True)]
    assert expect_refusal(controller, at, again).promised  # a new time, not the old one
    # No reservation is made that could not be served in time, nor beyond a share.
    soon = Arrived("soon", 1, 98, 100.0, 5000.0, aim_ms=20.0, session=50)
    assert not expect_refusal(controller, at, soon).promised
    assert not expect_rejection(controller, at, make_arrival("beyond", session=51)).promised


def test_requests_refused_by_the_router_are_not_charged() -> None:
    controller = make_full_controller(make_controller())
    controller.unfair_refusals.clear()
    before, work_in_flight = controller.shares.ahead(1), controller.work_in_flight
    rejection = expect_refusal(controller, 2.0, make_arrival("b", 1, 98))
    assert controller.shares.ahead(1) == pytest.approx(before) and controller.work_in_flight == pytest.approx(
        work_in_flight
    )
    # Without a known capacity the router's own time stands.
    assert not rejection.promised and rejection.retry_after_ms == 77.0
    assert controller.unfair_refusals[1] > 0.0


def test_a_retry_storm_is_rejected() -> None:
    controller = make_full_controller(make_controller())
    # First tries earn at most one retry beyond the minimum.
    storm = controller.handle(2.0, [make_arrival(f"r{n}", 1, n << 20, n + 2, repeat=True) for n in range(50)])
    assert sum(isinstance(action, Admit) for action in storm) <= MIN_DEPTH + 1
    assert {action.why for action in storm if isinstance(action, Reject)} == {"retries"}
    # Unmarked retries are detected by session and prompt.
    same = Arrived("s", 1, 7, 100.0, 5000.0, session=9, prompt=1234)
    assert isinstance(controller.handle(3.0, [same])[0], Admit)
    assert expect_rejection(controller, 4.0, same).why == "retries"
    resumed = Arrived("t", 1, 7, 100.0, 5000.0, session=9, prompt=1234, resumed=True)
    assert controller.handle(5.0, [resumed]) == [Admit("t")]


def test_waiting_requests_are_admitted_in_turn_or_rejected_after_their_wait() -> None:
    controller = make_full_controller(make_controller(max_wait_ms=100.0, most_waiting=2))
    assert controller.handle(2.0, [make_arrival("w")]) == [SetTimer(20.0)]
    assert controller.handle(3.0, [make_arrival("v", session=2)]) == []
    assert expect_rejection(controller, 4.0, make_arrival("u", session=3)).why == "share"  # bounded
    # One of them is cancelled, and the other has its turn once the fleet has room.
    assert controller.handle(5.0, [RequestEnded("w", False)]) == [] and list(controller.waiting) == ["v"]
    assert controller.handle(6.0, [FleetLoad(0.1)]) == [Admit("v", waited_ms=3.0)]
    second = make_full_controller(make_controller(max_wait_ms=100.0))
    assert second.handle(8.0, [make_arrival("t", session=4)]) == [SetTimer(20.0)] and list(
        second.waiting
    ) == ["t"]
    (rejection,) = second.handle(109.0, [TimerFired()])
    controller = second
    assert (
        isinstance(rejection, Reject)
        and rejection.request == "t"
        and not controller.waiting
        and not controller.queues
    )


def test_ended_requests_leave_no_state() -> None:
    controller = make_full_controller(make_controller())
    names = list(controller.admitted)
    controller.handle(
        100.0, [*(RequestEnded(name, True, 40.0) for name in names), RequestEnded("unknown", True, 1.0)]
    )
    assert not controller.admitted and controller.work_in_flight == 0.0 and controller.cost_ratio < 1.0
    controller.handle(2000.0, [FleetLoad(0.0)])
    assert controller.capacity.rate > 0.0 and not controller.shares.tenants.flows


def test_new_weights_keep_the_accounts() -> None:
    controller = make_full_controller(make_controller())
    ahead = controller.shares.ahead(0)
    controller.configure(Settings(weights=(0.1, 0.9), retry_share=0.5))
    assert controller.shares.ahead(0) == ahead and controller.retry_budgets[0].ratio == 0.5
    assert expect_rejection(controller, 2.0, make_arrival("more")).limit < 0.2 * controller.work_in_flight


def test_a_clock_jump_grants_no_credit() -> None:
    controller = make_full_controller(make_controller())
    ahead = controller.shares.ahead(0)
    for now in (1e9, 0.0, 1e12, -1e12):
        assert expect_rejection(controller, now, make_arrival("more")).why == "share"
    assert controller.shares.ahead(0) == ahead


@DETERMINISTIC
@given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 3), st.floats(1.0, 500.0)), max_size=120))
def test_each_request_is_answered_once_and_accounts_add_up(
    steps: list[tuple[int, int, float]],
) -> None:
    controller, open_, count = make_controller(max_wait_ms=50.0), set[str](), 0
    for n, (kind, tenant, work) in enumerate(steps):
        controller.unfair_refusals[n % 4] = 1.0
        events: list[Event] = []
        if kind <= 2:
            events = [Arrived(f"q{n}", tenant, tenant * 7919 << kind * 16, work, 1000.0, 900.0, n)]
            count += 1
        elif kind == 3:
            events = [FleetLoad(work / 250.0)]
        elif controller.admitted:
            name = sorted(controller.admitted)[int(work) % len(controller.admitted)]
            events = [
                RequestEnded(name, kind == 4, work)
                if kind < 6
                else RefusedByRouter(Arrived(name, 0, 1, work, 1000.0), work)
            ]
            open_.discard(name)
        for action in controller.handle(10.0 * n, events):
            if isinstance(action, Admit):
                assert action.request not in open_
                open_.add(action.request)
        assert open_ == set(controller.admitted)
        assert controller.work_in_flight == pytest.approx(
            sum(request.work for request in controller.admitted.values())
        )
        assert len(controller.waiting) == sum(map(len, controller.queues.values()))
        rejected = sum(v for k, v in controller.counts.items() if k.startswith("turned away"))
        admitted_count = controller.counts["let in"] + controller.counts["let in promised"]
        refused = controller.counts["turned away: full"]
        assert admitted_count + rejected - refused + len(controller.waiting) == count


# --- the gate


def make_gate(rejections: list[Rejection], **changes: float) -> AdmissionGate:
    router = Router(make_settings(zones=1, probing=False), 1)
    gate = AdmissionGate(
        router, Settings(weights=(1.0, 1.0), **changes), 1,  # type: ignore[arg-type]
        lambda event: Caller(event.session << 32, ticket=event.prefix), rejections.append,
        ticket_header=lambda ticket: b"X: %d" % ticket,
    )  # fmt: skip
    gate.handle(0.0, [i.ReplicaList(i.ListKind.WHOLE, (i.ReplicaEntry("e"),))])
    return gate


def gate_arrival(name: str, tenant: int = 0, session: int = 0, ticket: int = 0) -> i.RequestArrived:
    return i.RequestArrived(name, 0, 5000.0, tenant, 100, 0, 50, session, ticket)


def set_fullness(gate: AdmissionGate, now: float, fullness: float) -> None:
    gate.router.pool.zone_updated_at[0], gate.router.pool.zone_load_ms[0] = (
        now,
        fullness * gate.router.full_wait_ms,
    )


def test_the_gate_forwards_admitted_requests_and_gives_refusals_a_retry_time() -> None:
    rejections: list[Rejection] = []
    gate = make_gate(rejections)
    sent = [a for a in gate.handle(1.0, [gate_arrival(f"a{n}") for n in range(8)]) if isinstance(a, i.Send)]
    assert len(sent) == 8 and gate.controller.work_in_flight == 8 * 150.0
    gate.handle(2.0, [i.AttemptEnded("a0", 0, "e", i.Outcome.SERVED, True, kept_tokens=50)])
    assert "a0" not in gate.controller.admitted and gate.controller.capacity.finished_tokens == 100.0
    set_fullness(gate, 100.0, 0.8)
    gate.controller.capacity.rate = 50.0
    gate.handle(100.0, [gate_arrival("b0", 1)])
    assert "b0" in gate.controller.admitted
    gate.controller.unfair_refusals[1] = 1.0
    (refuse,) = gate.handle(101.0, [gate_arrival("a9")])
    assert isinstance(refuse, i.Refuse) and rejections[0].answer.why == "share" and refuse.header == b""
    set_fullness(gate, 200.0, 100.0)
    (refuse,) = gate.handle(200.0, [gate_arrival("b9", 1)])
    assert isinstance(refuse, i.Refuse) and rejections[1].answer.why == "full" and refuse.header == b"X: 2"
    set_fullness(gate, 200.0, 1.2)
    back = gate.handle(200.0 + refuse.retry_after_ms, [gate_arrival("back", 1, ticket=2)])
    assert any(isinstance(a, i.Send) and a.request == "back" for a in back)  # although the fleet is full
    gate.handle(4000.0, [*(i.RequestGone(f"a{n}") for n in range(1, 8)), i.RequestGone("b0")])
    assert set(gate._events) == set(gate.controller.admitted) == {"back"}


def test_a_request_refused_by_the_router_leaves_no_state() -> None:
    rejections: list[Rejection] = []
    gate = make_gate(rejections)
    gate.handle(1.0, [i.ReplicaList(i.ListKind.WHOLE, ())])
    (refuse,) = gate.handle(2.0, [gate_arrival("a")])
    assert isinstance(refuse, i.Refuse) and rejections[0].answer.why == "full"
    assert not gate._events and not gate.controller.admitted


def test_waiting_reduces_the_remaining_budget() -> None:
    gate = make_gate([], max_wait_ms=200.0)
    gate.handle(1.0, [*(gate_arrival(f"a{n}") for n in range(8)), gate_arrival("b", 1)])
    set_fullness(gate, 100.0, 0.8)
    gate.handle(100.0, [gate_arrival("c", 1)])
    gate.controller.unfair_refusals[1] = 1.0
    (timer,) = gate.handle(101.0, [gate_arrival("a9")])
    assert timer == i.SetTimer(TIMER, 20.0) and gate.waiting_requests() == [gate_arrival("a9")]
    set_fullness(gate, 200.0, 0.1)
    gate.handle(200.0, [i.TimerFired(TIMER)])
    assert gate.router.requests["a9"].deadline == pytest.approx(101.0 + 5000.0)


def test_a_fault_in_admission_control_admits_every_request(monkeypatch: pytest.MonkeyPatch) -> None:
    errors: list[Exception] = []
    gate = make_gate([])
    gate._on_error = errors.append

    def faulty(*_: object) -> bool:
        raise ZeroDivisionError

    monkeypatch.setattr(gate.controller, "admit_untracked", faulty)
    assert any(isinstance(a, i.Send) for a in gate.handle(1.0, [gate_arrival("a")]))
    assert isinstance(errors[0], ZeroDivisionError)


def test_weights_are_quotas_if_every_tenant_has_one() -> None:
    quotas = (i.Tenant(0.5, 3.0), i.Tenant(0.5, 1.0))
    assert tenant_weights(make_settings(tenants=quotas)) == (3.0, 1.0)
    assert tenant_weights(make_settings(tenants=(i.Tenant(0.7), i.Tenant(0.3)))) == (0.7, 0.3)
    assert tenant_weights(make_settings(tenants=())) == (1.0,)
