"""The door's pure parts: shares hold, memory is bounded, retries are budgeted, promises fit the calendar."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow.door.calendar import Calendar
from spoolbarrow.door.clients import Account, Clients, Heavy, shared_wholly
from spoolbarrow.door.door import Arrived, Door, Ended, LetIn, Settings, Started, TurnedAway
from spoolbarrow.door.retries import LEAST_DEPTH, Budget, Seen
from spoolbarrow.door.shares import Clocks, Shares

ALIKE = settings(derandomize=True, deadline=None, max_examples=120)
WORK = st.floats(1.0, 100.0)


def contend(
    shares: Clocks, weights: dict[str, float], works: list[tuple[str, float]], step: float
) -> dict[str, float]:
    """Offer each work in turn with capacity always short, `step` of it served between two."""
    had = dict.fromkeys(weights, 0.0)
    for key, work in works:
        shares.advance(step)
        if shares.room(key) > 0.0:
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
    shares = Clocks(credit, 1e9)
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
            if shares.room(key) > 0.0:
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
    shares, given_, served = Clocks(50.0, 1e12), 0.0, 0.0
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
    shares = Clocks(20.0, 200.0)
    had = contend(shares, weights, [("a", 5.0), ("b", 5.0)] * 2000, 4.0)
    assert had["a"] / had["b"] == pytest.approx(1.5, rel=0.03)
    alone = contend(shares, weights, [("b", 5.0), ("b", 5.0)] * 500, 4.0)
    assert alone["b"] == pytest.approx(4000.0, rel=0.03)  # all there is
    # It was lent, not given: "a" gets its share at once, and no more than its credit besides.
    back = contend(shares, weights, [("a", 5.0), ("b", 5.0)] * 500, 4.0)
    assert back["a"] / back["b"] == pytest.approx(1.5, rel=0.1)


def test_who_was_idle_has_saved_nothing() -> None:
    shares = Clocks(20.0, 200.0)
    contend(shares, {"a": 1.0, "b": 1.0}, [("b", 5.0)] * 1000, 4.0)
    burst = 0.0
    while shares.room("a") > 0.0:
        shares.charge("a", 1.0, 5.0)
        burst += 5.0
    assert burst <= 25.0


def test_what_is_owed_is_bounded_and_corrected() -> None:
    shares = Clocks(20.0, 100.0)
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
    shares = Shares({"t": 1.0, "u": 1.0}, credit=40.0, owed=400.0)
    had = dict.fromkeys("xyz", 0.0)
    for n in range(6000):
        shares.advance(3.0)
        client = "x" if n % 3 else "yz"[n // 3 % 2]  # x asks four times as often
        if shares.allows("t", client):
            shares.charge("t", client, 5.0)
            had[client] += 5.0
        if shares.allows("u", "only"):
            shares.charge("u", "only", 5.0)
    assert had["x"] <= 1.2 * had["y"] and had["y"] == pytest.approx(had["z"], rel=0.1)
    assert sum(had.values()) == pytest.approx(9000.0, rel=0.05)  # half of all
    shares.advance(10_000.0)
    assert not shares.clients and not shares.tenants.flows and shares.tenants.weight == 0.0
    shares.configure({"u": 2.0})
    assert shares.weight("t") == 2.0 and shares.weight("u") == 2.0


@ALIKE
@given(st.lists(st.tuples(st.integers(0, 40), WORK), max_size=300))
def test_counts_of_the_heavy_are_true_within_their_error(asked: list[tuple[int, float]]) -> None:
    heavy, true = Heavy(8), dict.fromkeys(range(41), 0.0)
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
    clients = Clients(slots=64)
    loud = clients.number("loud")
    for n in range(50_000):
        clients.add(clients.number(f"new{n}"), 1.0)
        if n % 10 == 0:
            clients.add(loud, 5.0)
    assert clients.accounts(loud) == [Account(True, loud)]
    assert len(clients.heavy.counts) <= 64 and len(clients.heavy.heap) <= 200
    quiet = clients.accounts(clients.number("quiet"))
    assert len(set(quiet)) == 4 and not any(account.own for account in quiet)
    assert quiet == clients.accounts(clients.number("quiet"))


def test_the_chance_to_share_all_buckets() -> None:
    assert shared_wholly(0, 512, 4) == 0.0 and shared_wholly(1000, 512, 4) == 1.0
    assert shared_wholly(10, 512, 4) < 1e-4
    rng, clients = Random(1), Clients(buckets=32, shards=2)
    heavy = {a for n in range(4) for a in clients.accounts(rng.getrandbits(64))}
    hit = sum(set(clients.accounts(rng.getrandbits(64))) <= heavy for _ in range(5000)) / 5000
    assert hit <= shared_wholly(4, 32, 2) + 0.02


def test_retries_are_a_share_of_first_tries() -> None:
    budget = Budget(0.1, depth=5.0)
    assert [budget.retry() for _ in range(5)] == [True] * 3 + [False] * 2
    for _ in range(25):
        budget.first()
    assert sum(budget.retry() for _ in range(20)) == 2
    for _ in range(1000):
        budget.first()
    assert sum(budget.retry() for _ in range(20)) == 5 >= LEAST_DEPTH


def test_the_same_prompt_of_a_session_is_a_retry_within_the_window() -> None:
    seen = Seen(1000.0, 100)
    assert not seen.again(0.0, 7, b"what") and seen.again(900.0, 7, b"what")
    assert not seen.again(900.0, 8, b"what") and not seen.again(900.0, 7, b"whatever")
    assert not seen.again(2500.0, 7, b"what")
    for n in range(10_000):
        seen.again(2600.0, n, b"x")
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
    calendar, now = Calendar(50.0, 1000.0, 20, 100.0), 0.0
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
    calendar = Calendar(100.0, 2000.0, 100, 200.0)
    calendar.expect(1.0, 0.0)
    wait = calendar.tell(0.0, "a", 60.0, 0.5)
    assert wait == 150.0
    assert not calendar.redeem(100.0, "a") and calendar.tell(100.0, "a", 60.0, 0.9) == 50.0
    assert calendar.tell(0.0, "b", 60.0, 0.5) == 250.0  # 40 in the first slot, the rest in the next
    assert calendar.redeem(151.0, "a") and not calendar.redeem(152.0, "a")
    assert not calendar.redeem(1000.0, "b")  # too late: its piece went back
    assert calendar.share < 1.0 and not calendar.booked


def test_those_who_do_not_come_back_are_overbooked() -> None:
    calendar = Calendar(100.0, 100_000.0, 10_000, 250.0)
    calendar.expect(1.0, 0.0)
    now = 0.0
    for n in range(400):
        calendar.tell(now, n, 10.0, 0.0)
        now += 300.0
        if n % 2:
            calendar.redeem(now, n)
    assert 0.3 < calendar.share < 0.8 and calendar.room(int(now // 100) + 5) > 120.0
    assert calendar.tell(now, "none", 1e9, 0.0) is None


def door() -> Door:
    made = Door(Settings(weights=(0.6, 0.4), least_tokens=100.0, credit_tokens=300.0), 1)
    made.capacity.limit = 400.0
    return made


def ask(name: str, tenant: int = 0, client: str = "c", session: int = 1, repeat: bool = False) -> Arrived:
    return Arrived(name, tenant, client, session, 100.0, 1000.0, repeat=repeat)


def test_everybody_is_let_in_while_nothing_is_short() -> None:
    made = door()
    assert made.handle(0.0, [ask(str(n)) for n in range(4)]) == [LetIn(str(n)) for n in range(4)]
    assert made.capacity.short() and made.capacity.under_way == 400.0


def test_where_it_is_short_who_is_ahead_comes_back_and_others_get_in() -> None:
    made = door()
    made.handle(0.0, [ask(str(n)) for n in range(4)])
    (away,) = made.handle(1.0, [ask("more")])
    assert isinstance(away, TurnedAway) and away.why == "share" and 0.0 < away.retry_after_ms <= 2000.0
    assert made.handle(2.0, [ask("other", tenant=1)]) == [LetIn("other")]


def test_who_comes_at_its_time_is_let_in_and_who_comes_early_gains_nothing() -> None:
    made = door()
    made.handle(0.0, [ask(str(n)) for n in range(4)])
    made.capacity.rate = 2.0
    made.shares.charge(0, "all", 50_000.0)  # so far ahead that its share alone lets it in no sooner
    (away,) = made.handle(1.0, [ask("more")])
    assert isinstance(away, TurnedAway)
    at = 1.0 + away.retry_after_ms
    (early,) = made.handle(at - 1.0, [ask("early", repeat=True)])
    assert isinstance(early, TurnedAway) and early.retry_after_ms == pytest.approx(1.0)
    assert made.handle(at, [ask("again", repeat=True)]) == [LetIn("again")]


def test_a_storm_of_retries_ends_at_the_door() -> None:
    made = door()
    made.handle(0.0, [ask(str(n)) for n in range(4)])
    made.capacity.rate = 0.0
    storm = made.handle(1.0, [ask(f"r{n}", 1, f"c{n}", n, repeat=True) for n in range(50)])
    let_in = [action for action in storm if isinstance(action, LetIn)]
    assert len(let_in) <= LEAST_DEPTH
    assert {action.why for action in storm if isinstance(action, TurnedAway)} >= {"retries"}


def test_what_is_over_leaves_nothing_behind() -> None:
    made = door()
    names = [str(n) for n in range(4)]
    made.handle(0.0, [ask(name) for name in names])
    made.handle(50.0, [Started(name) for name in names])
    made.handle(100.0, [*(Ended(name, True, 40.0) for name in names), Ended("unknown", True, 1.0)])
    assert not made.inside and made.capacity.under_way == 0.0 and made.cost < 1.0
    made.handle(2000.0, [])
    assert made.capacity.rate > 0.0
    made.handle(9000.0, [])
    assert not made.shares.tenants.flows and not made.shares.clients


def test_a_clock_that_jumps_grants_nothing() -> None:
    made = door()
    made.handle(1e6, [ask(str(n)) for n in range(4)])
    made.capacity.rate = 1.0
    made.handle(0.0, [])  # set back
    ahead = made.shares.tenants.ahead(0)
    made.handle(1e12, [])  # and far forward
    assert made.shares.tenants.ahead(0) >= ahead - 10_000.0
    assert isinstance(made.handle(1e12 + 1.0, [ask("more", tenant=1)])[0], LetIn)
