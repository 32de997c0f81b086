"""The door's pure parts: shares hold, memory is bounded, retries are budgeted, promises fit the calendar."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow import interface as i
from spoolbarrow.admission.capacity import CapacityEstimator
from spoolbarrow.admission.clients import ClientAccounts, HeavyHitters, shared_wholly
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
from spoolbarrow.admission.retries import LEAST_DEPTH, RetryBudget, RetryDetector
from spoolbarrow.admission.shares import FairShares, TenantShares
from spoolbarrow.router import Router
from tests.world import make_settings

ALIKE = settings(derandomize=True, deadline=None, max_examples=120)
WORK = st.floats(1.0, 100.0)


def contend(
    shares: FairShares,
    weights: dict[str, float],
    works: list[tuple[str, float]],
    step: float,
    credit: float = 20.0,
) -> dict[str, float]:
    """Offer each work in turn with capacity always short, `step` of it served between two."""
    had = dict.fromkeys(weights, 0.0)
    for key, work in works:
        shares.advance(step)
        if shares.ahead(key) < credit:
            shares.charge(key, weights[key], work)
            had[key] += work
    return had


@ALIKE
@given(
    st.dictionaries(st.sampled_from("abcde"), st.floats(0.1, 10.0), min_size=2),
    st.lists(WORK, min_size=50, max_size=200),
    st.randoms(use_true_random=False),
)
def test_busy_flows_differ_by_no_more_than_the_stated_bound(
    weights: dict[str, float], sizes: list[float], rng: Random
) -> None:
    credit, largest = 150.0, max(sizes)
    shares = FairShares(1e9)
    keys = sorted(weights)
    for key in keys:  # all are busy from the start, and stay so: each is offered work in every round
        shares.charge(key, weights[key], credit)
    at_begin = {key: shares.ahead(key) for key in keys}
    had = dict.fromkeys(keys, 0.0)
    for size in sizes:
        shares.advance(rng.random() * 20.0)
        if len(shares.flows) < len(keys):
            return  # one has become idle: the bound speaks of busy ones
        for key in rng.sample(keys, len(keys)):
            if shares.ahead(key) < credit:
                shares.charge(key, weights[key], size)
                had[key] += size
    for one in keys:
        for other in keys:
            apart = abs(had[one] / weights[one] - had[other] / weights[other])
            allowed = sum((credit + largest + at_begin[key]) / weights[key] for key in (one, other))
            assert apart <= allowed + 1e-6


@ALIKE
@given(st.lists(st.tuples(st.sampled_from("abc"), WORK, st.floats(0.0, 60.0)), max_size=150))
def test_nobody_is_charged_what_was_served(steps: list[tuple[str, float, float]]) -> None:
    """What all are ahead is what was given less what was served, while somebody is: work conservation."""
    shares, given_, served = FairShares(1e12), 0.0, 0.0
    for key, work, step in steps:
        before = sum(shares.ahead(flow) for flow in shares.flows)
        shares.advance(step)
        after = sum(shares.ahead(flow) for flow in shares.flows)
        assert before - after == pytest.approx(min(step, before), abs=1e-6)
        shares.charge(key, 2.0, work)
        given_, served = given_ + work, served + min(step, before)
        assert sum(shares.ahead(flow) for flow in shares.flows) == pytest.approx(given_ - served, abs=1e-6)
        assert shares.weight == pytest.approx(2.0 * len(shares.flows))
        assert len(shares.ends) <= 65 + 4 * len(shares.flows)


def test_shares_follow_weights_and_an_idle_ones_is_lent() -> None:
    weights = {"a": 0.6, "b": 0.4}
    shares = FairShares(200.0)
    had = contend(shares, weights, [("a", 5.0), ("b", 5.0)] * 2000, 4.0)
    assert had["a"] / had["b"] == pytest.approx(1.5, rel=0.03)
    alone = contend(shares, weights, [("b", 5.0), ("b", 5.0)] * 500, 4.0)
    assert alone["b"] == pytest.approx(4000.0, rel=0.03)  # all there is
    # It was lent, not given: "a" gets its share at once, and no more than its credit besides.
    back = contend(shares, weights, [("a", 5.0), ("b", 5.0)] * 500, 4.0)
    assert back["a"] / back["b"] == pytest.approx(1.5, rel=0.1)


def test_who_was_idle_has_saved_nothing() -> None:
    shares = FairShares(200.0)
    contend(shares, {"a": 1.0, "b": 1.0}, [("b", 5.0)] * 1000, 4.0)
    burst = 0.0
    while shares.ahead("a") < 20.0:
        shares.charge("a", 1.0, 5.0)
        burst += 5.0
    assert burst <= 25.0


def test_what_is_owed_is_bounded_and_corrected() -> None:
    shares = FairShares(100.0)
    shares.charge("b", 1.0, 5.0)
    for _ in range(1000):
        shares.charge("a", 1.0, 5.0)  # taken while nothing was short
    assert shares.ahead("a") == 100.0
    shares.charge("a", 1.0, -30.0)
    assert shares.ahead("a") == 70.0
    shares.charge("a", 2.0, 0.0)  # another weight from here on: what it is ahead stays
    assert shares.ahead("a") == pytest.approx(70.0)
    shares.charge("a", 2.0, -100.0)
    assert shares.ahead("a") == 0.0 and set(shares.flows) == {"b"}


def test_clients_of_a_tenant_are_alike_and_leave_nothing_behind() -> None:
    shares = TenantShares({"t": 1.0, "u": 1.0}, owed=400.0)
    had = dict.fromkeys("xyz", 0.0)
    for n in range(6000):
        shares.advance(3.0)
        client = "x" if n % 3 else "yz"[n // 3 % 2]  # x asks four times as often
        room = 40.0 - shares.ahead("t")
        if room > 0.0 and shares.client_ahead("t", client) < 2.0 * room:
            shares.charge("t", client, 5.0)
            had[client] += 5.0
        if shares.ahead("u") < 40.0:
            shares.charge("u", "only", 5.0)
    assert had["x"] <= 1.2 * had["y"] and had["y"] == pytest.approx(had["z"], rel=0.1)
    assert sum(had.values()) == pytest.approx(9000.0, rel=0.05)  # half of all
    assert shares.part("t") == 0.5
    shares.advance(10_000.0)
    assert not shares.tenants.flows and shares.tenants.weight == 0.0 and shares.client_ahead("t", "x") == 0.0
    shares.configure({"u": 2.0})
    assert shares.weight("t") == 2.0 and shares.part("u") == 1.0


@ALIKE
@given(st.lists(st.tuples(st.integers(0, 40), WORK), max_size=300))
def test_counts_of_the_heavy_are_true_within_their_error(asked: list[tuple[int, float]]) -> None:
    heavy, true = HeavyHitters(8), dict.fromkeys(range(41), 0.0)
    for client, work in asked:
        heavy.add(client, work)
        true[client] += work
        assert len(heavy.counts) <= 8 and len(heavy.heap) <= 8 + len(asked)
        for one, count in heavy.counts.items():
            assert count - heavy.errors[one] <= true[one] + 1e-6 <= count + 2e-6
    # Whoever has more than a slot's even share is among them.
    for client, work in true.items():
        assert work <= sum(true.values()) / 8 + 1e-6 or client in heavy.counts


def test_a_flood_of_new_clients_costs_no_memory_and_hides_no_heavy_one() -> None:
    clients, rng = ClientAccounts(slots=64), Random(5)
    loud, quiet = rng.getrandbits(64), rng.getrandbits(64)
    for n in range(50_000):
        clients.add(rng.getrandbits(64), 1.0)
        if n % 10 == 0:
            clients.add(loud, 5.0)
    assert clients.account(loud, lambda name: 0.0) == ~loud < 0
    assert len(clients.heavy.counts) <= 64 and len(clients.heavy.heap) <= 200
    buckets = clients.buckets(quiet)
    assert len(set(buckets)) == 4 and all(
        n * 128 <= bucket < n * 128 + 128 for n, bucket in enumerate(buckets)
    )
    full = dict.fromkeys(buckets, 9.0) | {buckets[2]: 4.0}
    assert clients.account(quiet, full.__getitem__) == buckets[2]  # the emptiest


def test_the_chance_to_share_all_buckets() -> None:
    assert shared_wholly(0, 4, 128) == 0.0 and shared_wholly(100_000, 4, 128) == pytest.approx(1.0)
    assert shared_wholly(10, 4, 128) < 1e-4
    rng, clients = Random(1), ClientAccounts(rows=2, width=16)
    hit = 0
    for _ in range(4000):
        heavy = {bucket for _ in range(4) for bucket in clients.buckets(rng.getrandbits(64))}
        hit += set(clients.buckets(rng.getrandbits(64))) <= heavy
    assert hit / 4000 == pytest.approx(shared_wholly(4, 2, 16), abs=0.01)


def test_retries_are_a_share_of_first_tries() -> None:
    budget = RetryBudget(0.1, depth=5.0)
    assert [budget.retry() for _ in range(5)] == [True] * 3 + [False] * 2
    for _ in range(25):
        budget.first()
    assert sum(budget.retry() for _ in range(20)) == 2
    for _ in range(1000):
        budget.first()
    assert sum(budget.retry() for _ in range(20)) == 5 >= LEAST_DEPTH


def test_the_same_prompt_of_a_session_is_a_retry_within_the_window() -> None:
    seen = RetryDetector(1000.0, 100)
    assert not seen.again(0.0, 7) and seen.again(900.0, 7) and not seen.again(900.0, 8)
    assert not seen.again(2500.0, 7)
    for n in range(10_000):
        seen.again(2600.0, n)
    assert len(seen.young) + len(seen.old) <= 101 and seen.dropped > 0


@ALIKE
@given(
    st.lists(
        st.tuples(
            st.sampled_from("tr"), st.integers(0, 30), WORK, st.floats(0.0, 0.999), st.floats(0.0, 80.0)
        ),
        max_size=200,
    )
)
def test_promises_fit_the_calendar(steps: list[tuple[str, int, float, float, float]]) -> None:
    calendar, now = ReservationCalendar(50.0, 1000.0, 20, 100.0), 0.0
    calendar.expect(2.0, 0.25)
    told: dict[int, float] = {}
    for kind, key, work, spread, ms in steps:
        now += ms
        if kind == "r":
            came = calendar.redeem(now, key)
            assert not came or now >= told[key]
            if came:
                del told[key]
        else:
            again = calendar.callers.get(key)
            wait = calendar.tell(now, key, work, spread)
            if wait is not None:
                assert 0.0 <= wait <= 1000.0
                if again is not None and key in calendar.callers and again == calendar.callers[key]:
                    assert wait == max(0.0, told[key] - now)
                told[key] = calendar.callers[key].at
        assert len(calendar.callers) <= 20
        booked: dict[int, float] = {}
        for reserved in calendar.callers.values():
            for slot, piece in reserved.pieces:
                booked[slot] = booked.get(slot, 0.0) + piece
        assert booked.keys() == calendar.booked.keys()
        for slot, work_ in booked.items():
            assert work_ == pytest.approx(calendar.booked[slot])
            # What is promised is no more than what is expected, overbooked by at most the assumed share.
            assert work_ <= 2.0 * 0.75 * 50.0 / 0.3 + 1e-6


def test_who_comes_early_is_told_the_same_time() -> None:
    calendar = ReservationCalendar(100.0, 2000.0, 100, 200.0)
    calendar.expect(1.0, 0.0)
    wait = calendar.tell(0.0, "a", 60.0, 0.5)
    assert wait == 150.0
    assert not calendar.redeem(100.0, "a") and calendar.tell(100.0, "a", 60.0, 0.9) == 50.0
    assert calendar.tell(0.0, "b", 60.0, 0.5) == 250.0  # 40 in the first slot, the rest in the next
    assert calendar.redeem(151.0, "a") and not calendar.redeem(152.0, "a")
    assert not calendar.redeem(1000.0, "b")  # too late: its piece went back
    assert calendar.share < 1.0 and not calendar.booked


def test_those_who_do_not_come_back_are_overbooked() -> None:
    calendar = ReservationCalendar(100.0, 100_000.0, 10_000, 250.0)
    calendar.expect(1.0, 0.0)
    now = 0.0
    for n in range(400):
        calendar.tell(now, n, 10.0, 0.0)
        now += 300.0
        if n % 2:
            calendar.redeem(now, n)
    assert 0.3 < calendar.share < 0.8 and calendar.room(int(now // 100) + 5) > 120.0
    assert calendar.tell(now, "none", 1e9, 0.0) is None


def test_the_clock_set_back_leaves_no_promise_behind() -> None:
    calendar = ReservationCalendar(100.0, 2000.0, 100, 200.0)
    calendar.expect(1.0, 0.0)
    calendar.tell(1e9, "a", 150.0, 0.5)
    assert calendar.tell(0.0, "b", 60.0, 0.5) == 150.0 and set(calendar.callers) == {"b"}


def test_a_rate_is_capacity_only_where_the_fleet_was_full() -> None:
    capacity = CapacityEstimator()
    for second in range(10):
        capacity.passes(1000.0 * second, False)
        capacity.finished += 500.0
    assert capacity.rate == pytest.approx(0.5) and capacity.strays == 0.0
    for second in range(10, 13):
        capacity.passes(1000.0 * second, False)
        capacity.finished += 100.0  # little is asked: that says nothing of what could be
    assert capacity.rate > 0.49
    for second in range(13, 40):
        capacity.passes(1000.0 * second, True)
        capacity.finished += 250.0  # it has halved
    assert capacity.rate == pytest.approx(0.25, rel=0.02)
    capacity.passes(1e12, True)
    assert capacity.rate == pytest.approx(0.25, rel=0.02)  # a clock that jumps has not passed that time


def door(**changes: float) -> AdmissionController:
    return AdmissionController(Settings(weights=(0.6, 0.4), **changes), 1)  # type: ignore[arg-type]


def ask(
    name: str, tenant: int = 0, client: int = 1, session: int = 1, repeat: bool | None = False
) -> Arrived:
    return Arrived(name, tenant, client, 100.0, 5000.0, session=session, repeat=repeat)


def filled(made: AdmissionController) -> AdmissionController:
    """Full, with 40 of the first tenant's inside, of its clients 0 to 7, and 10 of the other's."""
    made.handle(0.0, [ask(f"a{n}", 0, n % 8 << 40) for n in range(40)])
    made.handle(0.0, [ask(f"b{n}", 1, 99) for n in range(10)])
    made.handle(1.0, [FleetLoad(1.2)])
    made.wronged[1] = 1.0
    return made


def away(made: AdmissionController, now: float, event: Event) -> Reject:
    (action,) = made.handle(now, [event])
    assert isinstance(action, Reject), action
    return action


def test_everybody_is_let_in_while_the_fleet_is_not_full() -> None:
    made = door()
    names = [str(n) for n in range(500)]
    assert made.handle(0.0, [ask(name) for name in names]) == [Admit(name) for name in names]
    assert made.under_way == 50_000.0 and not made.shares.tenants.flows  # nobody is watched


def test_where_it_is_full_who_is_ahead_comes_back_and_others_get_in() -> None:
    made = filled(door())
    told = away(made, 2.0, ask("more", client=77))
    assert told.why == "share" and told.ahead > told.limit and 0.0 < told.retry_after_ms <= 2000.0
    (other,) = made.handle(2.0, [ask("other", 1, 98)])
    assert isinstance(other, Admit) and other.standing > 1.0  # within its share
    # A share is lent while nobody is refused within their own; who has it is the first to be refused.
    made.wronged.clear()
    (lent,) = made.handle(2.0, [ask("lent", client=77)])
    assert isinstance(lent, Admit) and lent.standing < 1.0
    # Of one tenant alone nobody is beyond its share, but a client may be.
    alone = door()
    alone.handle(0.0, [FleetLoad(0.95)])
    alone.handle(0.0, [ask(f"y{n}", 1, 6 + n << 16) for n in range(10)])
    alone.handle(0.0, [ask(f"x{n}", 1, 5) for n in range(90)])
    assert away(alone, 2.0, ask("x", 1, 5)).why == "client"
    quiet = alone.handle(2.0, [ask("y", 1, 6 << 16), ask("z", 1, 50 << 16)])
    assert all(isinstance(action, Admit) for action in quiet)


def test_who_has_nothing_under_way_is_never_turned_away_for_a_share() -> None:
    made = filled(door())
    for n in range(10):
        made.handle(2.0 + n, [RequestEnded(f"b{n}", False)])
    made.handle(100.0, [FleetLoad(5.0)])
    assert made.shares.ahead(1) == 0.0 and made.shares.ahead(0) == pytest.approx(made.under_way)
    assert isinstance(made.handle(101.0, [ask("first", 1)])[0], Admit)


def declined(made: AdmissionController, now: float, event: Arrived) -> Reject:
    """Let in by the door, refused by the decisions."""
    (action,) = made.handle(now, [event])
    assert isinstance(action, Admit) and not action.promised
    return away(made, now, RefusedByRouter(event, 77.0))


def test_who_comes_at_its_time_is_let_in_and_who_comes_early_gains_nothing() -> None:
    made = filled(door())
    made.capacity.rate = 20.0
    told = declined(made, 2.0, ask("more", 1, 98))
    assert told.promised and told.why == "full"
    at = 2.0 + told.retry_after_ms
    early = declined(made, at - 1.0, ask("early", 1, 98))
    assert early.promised and early.retry_after_ms == pytest.approx(1.0)
    assert made.handle(at, [ask("again", 1, 98)]) == [Admit("again", True)]
    # One without a session is known by its ticket, and only once.
    told = declined(made, at, Arrived("none", 1, 98, 100.0, 5000.0))
    at += told.retry_after_ms
    again = Arrived("shown", 1, 98, 100.0, 5000.0, ticket=told.ticket)
    assert told.ticket > 0 and made.handle(at, [again]) == [Admit("shown", True)]
    assert declined(made, at, again).promised  # another time, not the old one
    # Nothing is promised that would come too late to be served in time, nor beyond a share.
    soon = Arrived("soon", 1, 98, 100.0, 5000.0, aim_ms=20.0, session=50)
    assert not declined(made, at, soon).promised
    assert not away(made, at, ask("beyond", session=51)).promised


def test_what_the_decisions_refuse_is_charged_to_nobody() -> None:
    made = filled(door())
    made.wronged.clear()
    before, under_way = made.shares.ahead(1), made.under_way
    told = declined(made, 2.0, ask("b", 1, 98))
    assert made.shares.ahead(1) == pytest.approx(before) and made.under_way == pytest.approx(under_way)
    assert not told.promised and told.retry_after_ms == 77.0  # no capacity known: their own time stands
    assert made.wronged[1] > 0.0


def test_a_storm_of_retries_ends_at_the_door() -> None:
    made = filled(door())
    storm = made.handle(2.0, [ask(f"r{n}", 1, n << 20, n + 2, repeat=True) for n in range(50)])
    assert sum(isinstance(action, Admit) for action in storm) <= LEAST_DEPTH + 1  # which first tries earned
    assert {action.why for action in storm if isinstance(action, Reject)} == {"retries"}
    # Unmarked ones are known by session and prompt.
    same = Arrived("s", 1, 7, 100.0, 5000.0, session=9, prompt=1234)
    assert isinstance(made.handle(3.0, [same])[0], Admit)
    assert away(made, 4.0, same).why == "retries"
    resumed = Arrived("t", 1, 7, 100.0, 5000.0, session=9, prompt=1234, resumed=True)
    assert made.handle(5.0, [resumed]) == [Admit("t")]


def test_who_may_wait_is_let_in_when_its_turn_comes_or_told_at_once_when_it_is_over() -> None:
    made = filled(door(max_wait_ms=100.0, most_waiting=2))
    assert made.handle(2.0, [ask("w")]) == [SetTimer(20.0)]
    assert made.handle(3.0, [ask("v", session=2)]) == []
    assert away(made, 4.0, ask("u", session=3)).why == "share"  # bounded
    # One of them goes while others are served, and the other has its turn.
    assert made.handle(5.0, [RequestEnded("w", False)]) == [] and list(made.waiting) == ["v"]
    assert made.handle(6.0, [FleetLoad(0.1)]) == [Admit("v", waited_ms=3.0)]
    again = filled(door(max_wait_ms=100.0))
    assert again.handle(8.0, [ask("t", session=4)]) == [SetTimer(20.0)] and list(again.waiting) == ["t"]
    (told,) = again.handle(109.0, [TimerFired()])
    made = again
    assert isinstance(told, Reject) and told.request == "t" and not made.waiting and not made.queues


def test_what_is_over_leaves_nothing_behind() -> None:
    made = filled(door())
    names = list(made.inside)
    made.handle(
        100.0, [*(RequestEnded(name, True, 40.0) for name in names), RequestEnded("unknown", True, 1.0)]
    )
    assert not made.inside and made.under_way == 0.0 and made.cost < 1.0
    made.handle(2000.0, [FleetLoad(0.0)])
    assert made.capacity.rate > 0.0 and not made.shares.tenants.flows


def test_new_weights_reset_no_account() -> None:
    made = filled(door())
    ahead = made.shares.ahead(0)
    made.configure(Settings(weights=(0.1, 0.9), retry_share=0.5))
    assert made.shares.ahead(0) == ahead and made.budgets[0].ratio == 0.5
    assert away(made, 2.0, ask("more")).limit < 0.2 * made.under_way


def test_a_clock_that_jumps_grants_nothing() -> None:
    made = filled(door())
    ahead = made.shares.ahead(0)
    for now in (1e9, 0.0, 1e12, -1e12):
        assert away(made, now, ask("more")).why == "share"
    assert made.shares.ahead(0) == ahead


@ALIKE
@given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 3), st.floats(1.0, 500.0)), max_size=120))
def test_whatever_comes_each_is_answered_once_and_accounts_add_up(
    steps: list[tuple[int, int, float]],
) -> None:
    made, open_, count = door(max_wait_ms=50.0), set[str](), 0
    for n, (kind, tenant, work) in enumerate(steps):
        made.wronged[n % 4] = 1.0
        events: list[Event] = []
        if kind <= 2:
            events = [Arrived(f"q{n}", tenant, tenant * 7919 << kind * 16, work, 1000.0, 900.0, n)]
            count += 1
        elif kind == 3:
            events = [FleetLoad(work / 250.0)]
        elif made.inside:
            name = sorted(made.inside)[int(work) % len(made.inside)]
            events = [
                RequestEnded(name, kind == 4, work)
                if kind < 6
                else RefusedByRouter(Arrived(name, 0, 1, work, 1000.0), work)
            ]
            open_.discard(name)
        for action in made.handle(10.0 * n, events):
            if isinstance(action, Admit):
                assert action.request not in open_
                open_.add(action.request)
        assert open_ == set(made.inside)
        assert made.under_way == pytest.approx(sum(one.work for one in made.inside.values()))
        assert len(made.waiting) == sum(map(len, made.queues.values()))
        turned = sum(v for k, v in made.counts.items() if k.startswith("turned away"))
        let_in = made.counts["let in"] + made.counts["let in promised"]
        declined = made.counts["turned away: full"]
        assert let_in + turned - declined + len(made.waiting) == count


# --- the gate


def gate(told: list[Rejection], **changes: float) -> AdmissionGate:
    router = Router(make_settings(zones=1, probing=False), 1)
    made = AdmissionGate(
        router, Settings(weights=(1.0, 1.0), **changes), 1,  # type: ignore[arg-type]
        lambda event: Caller(event.session << 32, ticket=event.prefix), told.append,
        header=lambda ticket: b"X: %d" % ticket,
    )  # fmt: skip
    made.handle(0.0, [i.ReplicaList(i.ListKind.WHOLE, (i.ReplicaEntry("e"),))])
    return made


def arrived(name: str, tenant: int = 0, session: int = 0, ticket: int = 0) -> i.RequestArrived:
    return i.RequestArrived(name, 0, 5000.0, tenant, 100, 0, 50, session, ticket)


def fill(made: AdmissionGate, now: float, fullness: float) -> None:
    made.router.pool.zone_updated_at[0], made.router.pool.zone_load_ms[0] = (
        now,
        fullness * made.router.full_wait_ms,
    )


def test_the_gate_passes_on_what_is_let_in_and_gives_refusals_their_time() -> None:
    told: list[Rejection] = []
    made = gate(told)
    sent = [a for a in made.handle(1.0, [arrived(f"a{n}") for n in range(8)]) if isinstance(a, i.Send)]
    assert len(sent) == 8 and made.door.under_way == 8 * 150.0
    made.handle(2.0, [i.AttemptEnded("a0", 0, "e", i.Outcome.SERVED, True, kept_tokens=50)])
    assert "a0" not in made.door.inside and made.door.capacity.finished == 100.0
    fill(made, 100.0, 0.8)
    made.door.capacity.rate = 50.0
    made.handle(100.0, [arrived("b0", 1)])
    assert "b0" in made.door.inside
    made.door.wronged[1] = 1.0
    (refuse,) = made.handle(101.0, [arrived("a9")])
    assert isinstance(refuse, i.Refuse) and told[0].answer.why == "share" and refuse.header == b""
    fill(made, 200.0, 100.0)
    (refuse,) = made.handle(200.0, [arrived("b9", 1)])
    assert isinstance(refuse, i.Refuse) and told[1].answer.why == "full" and refuse.header == b"X: 2"
    fill(made, 200.0, 1.2)
    back = made.handle(200.0 + refuse.retry_after_ms, [arrived("back", 1, ticket=2)])
    assert any(isinstance(a, i.Send) and a.request == "back" for a in back)  # though the fleet is full
    made.handle(4000.0, [*(i.RequestGone(f"a{n}") for n in range(1, 8)), i.RequestGone("b0")])
    assert set(made._events) == set(made.door.inside) == {"back"}


def test_what_the_decisions_refuse_leaves_by_the_door() -> None:
    told: list[Rejection] = []
    made = gate(told)
    made.handle(1.0, [i.ReplicaList(i.ListKind.WHOLE, ())])
    (refuse,) = made.handle(2.0, [arrived("a")])
    assert isinstance(refuse, i.Refuse) and told[0].answer.why == "full"
    assert not made._events and not made.door.inside


def test_who_waits_goes_on_with_less_time_left() -> None:
    made = gate([], max_wait_ms=200.0)
    made.handle(1.0, [*(arrived(f"a{n}") for n in range(8)), arrived("b", 1)])
    fill(made, 100.0, 0.8)
    made.handle(100.0, [arrived("c", 1)])
    made.door.wronged[1] = 1.0
    (timer,) = made.handle(101.0, [arrived("a9")])
    assert timer == i.SetTimer(TIMER, 20.0) and made.waiting() == [arrived("a9")]
    fill(made, 200.0, 0.1)
    made.handle(200.0, [i.TimerFired(TIMER)])
    assert made.router.requests["a9"].deadline == pytest.approx(101.0 + 5000.0)


def test_a_fault_in_the_door_lets_everybody_in(monkeypatch: pytest.MonkeyPatch) -> None:
    heard: list[Exception] = []
    made = gate([])
    made._failed = heard.append

    def faulty(*_: object) -> bool:
        raise ZeroDivisionError

    monkeypatch.setattr(made.door, "passes", faulty)
    assert any(isinstance(a, i.Send) for a in made.handle(1.0, [arrived("a")]))
    assert isinstance(heard[0], ZeroDivisionError)


def test_weights_are_quotas_where_all_are_told() -> None:
    quotas = (i.Tenant(0.5, 3.0), i.Tenant(0.5, 1.0))
    assert tenant_weights(make_settings(tenants=quotas)) == (3.0, 1.0)
    assert tenant_weights(make_settings(tenants=(i.Tenant(0.7), i.Tenant(0.3)))) == (0.7, 0.3)
    assert tenant_weights(make_settings(tenants=())) == (1.0,)
