"""Tests of sessions: the table, censored waits, the model and its names, reservations, router shares."""

from __future__ import annotations

import math
import subprocess
import sys
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow.errors import Problem
from spoolbarrow.fleet.documents import MAX_BODY_BYTES, Part
from spoolbarrow.sessions import cells, model, part, router_shares, session_table, turn_counts
from spoolbarrow.sessions.cache_retention import CacheRetention
from spoolbarrow.sessions.part import Sessions, Settings
from spoolbarrow.sessions.reservations import ReservationBook
from spoolbarrow.sessions.turn_counts import SCALE, Body, EncodedCounts

SLOTS = 4096
steady = settings(max_examples=60, derandomize=True, deadline=None)


def encoded_counts(
    cls: int, turns: int, gap: float, growth: float, answer: float, count: int, *returned: int
) -> EncodedCounts:
    """Counts of a cell with `count` turns, of which `returned` returned by span and the others never did."""
    remaining, outlasted = count, []
    for returns in (*returned, *[0] * (cells.SPANS - len(returned))):
        remaining -= returns
        outlasted.append(remaining)
    sums = [int(max(0.0, x) * SCALE * count) for x in (gap, growth, answer)]
    cell = cells.encode(cls, turns, gap, growth, answer)
    added = int(growth * SCALE) * sum(returned)
    return EncodedCounts(cell, count, sums[0], sums[1], sums[2], added, tuple(outlasted), returned)


SINGLE_QUESTIONS = [encoded_counts(0, 1, -1.0, 11.5, 6.5, 900, 0, 0, 9)]
LOOPS = [
    encoded_counts(0, 1, -1.0, 8.5, 5.5, 300, 0, 200, 80),
    encoded_counts(0, 4, 3.5, 8.5, 5.5, 900, 0, 700, 170),
]
LONG_CASES = [
    encoded_counts(1, 1, -1.0, 10.5, 8.5, 200, *[0] * 10, 120),
    encoded_counts(1, 3, 12.5, 10.5, 8.5, 500, *[0] * 10, 390),
]


def summary_body(counts: list[EncodedCounts], who: int = 1, acts_on: int = 0, wants: int = 0) -> bytes:
    return msgspec.msgpack.encode(Body(turn_counts.FORMAT, who, acts_on, wants, counts))


def decision_body(bodies: list[bytes], last: bytes | None = None, now: float = 0.0) -> bytes | None:
    return Sessions(Settings(slots=session_table.WAYS), 99).decide(now, bodies, last)


def play_turn(
    sessions: Sessions, now: float, key: int, engine: str = "e0", prompt: int = 1000, **more: Any
) -> None:
    """A request, and the end of its answer a second later."""
    sessions.request_arrived(now, key, more.get("cls", 0), more.get("tenant", 0), prompt, 0)
    sessions.answer_ended(now + 1000.0, key, engine, more.get("answer", 50), more.get("kept", 0))


def trained_sessions(**changes: Any) -> Sessions:
    """A router with a model in force and a learnt cache capacity of 100,000 tokens."""
    sessions = Sessions(Settings(slots=SLOTS, **changes), 7)
    decision = decision_body([summary_body(SINGLE_QUESTIONS + LOOPS + LONG_CASES, 7)])
    assert decision is not None and sessions.adopt(0.0, decision)
    for added in (1e3, 3e4, 9e4, 9.2e4, 2e5, 4e5):
        for _ in range(20):
            sessions.retention.observe(0, added, added / 10.0, 1000, 1000 if added < 1e5 else 0)
    return sessions


# --- the table


def test_a_flood_replaces_the_least_valuable_sessions_and_the_table_stays_bounded() -> None:
    sessions = trained_sessions()
    for n in range(1000):
        for k in range(3):  # three quick turns: these sessions are expected to return
            play_turn(sessions, 4000.0 * k + n, 1 + n, prompt=2000 + 400 * k)
    for n in range(30_000):
        play_turn(sessions, 20_000.0 + n / 10.0, 1_000_000 + n, prompt=3000, cls=0, answer=90)
    assert sessions.table.count <= SLOTS
    assert sum(sessions.table.find(1 + n) >= 0 for n in range(1000)) >= 980


def test_100_000_sessions_fit_in_16_mb() -> None:
    table = session_table.SessionTable()
    rng = Random(1)
    replaced = 0
    for _ in range(100_000):
        key = rng.getrandbits(63) | 1
        slot, occupied = table.place(0.0, key)
        table.begin(slot, key)
        replaced += occupied
    assert table.size_bytes() < 16 << 20 and table.count == 100_000 - replaced and replaced < 1000


def test_no_data_of_ended_sessions_remains() -> None:
    sessions = trained_sessions()
    play_turn(sessions, 0.0, 5)
    slot = sessions.table.find(5)
    assert 5 in sessions.reservations.by_key and sessions.table.context[slot] == 1050
    for second in range(int(cells.HORIZON_MS // 1000) + 130):
        sessions.sweep(second * 1000.0)
    assert sessions.table.count == 0 and not sessions.reservations.by_key and sessions.table.find(5) < 0
    assert sessions.table.keys[slot] == sessions.table.context[slot] == sessions.table.tenant[slot] == 0
    assert sessions.table.home[slot] == session_table.NO_ENGINE


# --- waits


def test_sessions_still_away_count_as_censored() -> None:
    sessions = Sessions(Settings(slots=SLOTS), 1)
    for key in range(1, 101):
        play_turn(sessions, 0.0, key)
    for key in range(1, 41):
        sessions.request_arrived(1000.0 + 5000.0, key, 0, 0, 1200, 0)  # away for 5 s: the span from 4 to 8 s
    for _ in range(sessions.table.sets):
        sessions.sweep(31_000.0)
    (counts,) = (c for c in sessions.evidence.now.values() if c.count)
    n = cells.span(5000.0)
    assert counts.count == 100 and counts.returned[n] == 40 and sum(counts.returned) == 40
    # Counted up to the span in which the others are now, and not beyond it.
    assert counts.outlasted[:n] == [100] * n and counts.outlasted[n : cells.span(25_000.0)][0] == 60
    assert sum(counts.outlasted[cells.span(31_000.0) :]) == 0


def test_censored_waits_give_the_same_prediction_as_complete_ones() -> None:
    """Half of the sessions return, evenly over a minute; after 15 s most of them have not returned yet."""

    def predicted(until: float) -> model.Prediction:
        sessions, rng = Sessions(Settings(slots=SLOTS), 1), Random(3)
        for key in range(1, 1001):
            play_turn(sessions, 0.0, key)
        returns = sorted((1000.0 + rng.random() * 60_000.0, key) for key in range(1, 501))
        for at, key in returns:
            if at <= until:
                sessions.request_arrived(at, key, 0, 0, 1200, 0)
        for _ in range(sessions.table.sets):
            sessions.sweep(until)
        decision = decision_body([sessions.summary(until)])
        assert decision is not None and sessions.adopt(until, decision) and sessions.predictor is not None
        return sessions.predictor.predict(cells.encode(0, 1, -1.0, math.log2(1000.0), math.log2(51.0)))

    complete, censored = predicted(120_000.0), predicted(15_000.0)
    assert complete.return_chance == pytest.approx(0.5, abs=0.03)
    for at in (2000.0, 4000.0, 8000.0):
        assert censored.share_away(at) == pytest.approx(complete.share_away(at), abs=0.03)
    assert complete.later(40_000.0) < complete.later(1000.0) and complete.later(1e9) == 0.0


# --- merging counts


count_strategy = st.integers(0, 50)
cell_counts = st.builds(
    encoded_counts, st.integers(0, 3), st.integers(1, 30), st.sampled_from([-1.0, 0.5, 3.5, 12.5]),
    st.floats(0, 14), st.floats(0, 9), st.integers(200, 400), count_strategy, count_strategy, count_strategy,
)  # fmt: skip
summary_bodies = st.builds(
    lambda its, who, on, wants: summary_body(list({one.cell: one for one in its}.values()), who, on, wants),
    st.lists(cell_counts, min_size=1, max_size=4), st.integers(0, 5), st.integers(0, 3),
    st.integers(0, 10**6),
)  # fmt: skip


@steady
@given(st.lists(summary_bodies, min_size=1, max_size=4), st.lists(st.binary(), max_size=3), st.integers())
def test_a_decision_is_independent_of_order_and_garbage_counts_as_absent(
    bodies: list[bytes], garbage: list[bytes], seed: int
) -> None:
    first = decision_body(bodies)
    mixed = bodies + garbage
    Random(seed).shuffle(mixed)
    assert decision_body(mixed) == first and first is not None and len(first) <= MAX_BODY_BYTES
    again = decision_body(mixed, first)
    assert again is not None and part.decode_document(again) is not None
    assert decision_body(list(reversed(mixed)), first) == again


HOSTILE: dict[str, Any] = {
    "negative": [[0, -1, 0, 0, 0, 0, [], []]],
    "huge": [[0, 10**18, 0, 0, 0, 0, [], []]],
    "no number": [[0, float("nan"), 0, 0, 0, 0, [], []]],
    "more returned than came": [[0, 5, 0, 0, 0, 0, [], [3, 3]]],
    "more at risk than came": [[0, 5, 0, 0, 0, 0, [4], [2]]],
    "sums beyond the scale": [[0, 5, 10**6, 0, 0, 0, [], []]],
    "no such stage": [[7 << 15, 5, 0, 0, 0, 0, [], []]],
    "no such span": [[0, 5, 0, 0, 0, 0, [0] * 14, []]],
    "a cell twice": [[0, 5, 0, 0, 0, 0, [], []], [0, 5, 0, 0, 0, 0, [], []]],
    "added by nobody": [[0, 5, 0, 0, 0, 1, [], []]],
    "no cells": 5,
}


@pytest.mark.parametrize("cells_value", HOSTILE.values(), ids=HOSTILE.keys())
def test_a_summary_with_impossible_values_counts_as_absent(cells_value: Any) -> None:
    hostile = msgspec.msgpack.encode([turn_counts.FORMAT, 1, 0, 0, cells_value])
    assert turn_counts.decode_summary(hostile) is None and decision_body([hostile]) is None
    assert decision_body([hostile, summary_body(LOOPS, 2)]) == decision_body([summary_body(LOOPS, 2)])


def test_a_router_with_excessive_counts_has_limited_weight() -> None:
    excessive = msgspec.structs.replace(
        SINGLE_QUESTIONS[0], count=10**9, gap=0, growth=0, answer=0, added=0, returned=()
    )
    excessive = msgspec.structs.replace(excessive, outlasted=(10**9,) * cells.SPANS)
    merged = turn_counts.merge([Body(1, n, 0, 0, LOOPS) for n in range(3)] + [Body(1, 9, 0, 0, [excessive])])
    assert merged[excessive.cell].count <= turn_counts.MAX_MEDIAN_FACTOR * sum(
        counts.count for counts in LOOPS
    )


def test_summaries_and_decisions_stay_within_their_bounds() -> None:
    sessions, rng = Sessions(Settings(slots=SLOTS), 1), Random(5)
    for n in range(3000):
        lengths = (rng.random() * 15, rng.random() * 15, rng.random() * 9)
        reported = encoded_counts(n % 256, 1 + n % 30, *lengths, 10**6, *[9999] * cells.SPANS)
        counts = sessions.evidence.counts_of(reported.cell)
        if counts is not None:
            counts.add(reported)
    summary = sessions.summary(0.0)
    assert len(summary) <= MAX_BODY_BYTES and turn_counts.decode_summary(summary) is not None
    assert len(sessions.evidence.now) <= turn_counts.MAX_CELLS and sessions.evidence.dropped > 0
    decision = decision_body([summary, *(summary_body([], who) for who in range(1200))])
    assert (
        decision is not None
        and len(decision) <= MAX_BODY_BYTES
        and part.decode_document(decision) is not None
    )


# --- the model


def test_cluster_names_persist_between_models_and_drift_is_detected() -> None:
    first = model.fit(turn_counts.merge([Body(1, 1, 0, 0, LOOPS + LONG_CASES)]), None)
    assert first is not None
    slower = [
        encoded_counts(0, 1, -1.0, 8.7, 5.5, 310, 0, 190, 90),
        encoded_counts(0, 4, 3.7, 8.7, 5.6, 800, 0, 600, 170),
    ]
    second = model.fit(turn_counts.merge([Body(1, 1, 0, 0, slower + LONG_CASES + SINGLE_QUESTIONS)]), first)
    assert second is not None

    def nearest(fitted: model.Model, gap: float) -> str:
        return min(fitted.clusters, key=lambda c: abs(c.mean[0] - gap)).name

    assert nearest(first, 3.5) == nearest(second, 3.7) and nearest(first, 12.5) == nearest(second, 12.5)
    assert {c.name for c in second.clusters} - {c.name for c in first.clusters} and second.drifted
    same = model.fit(turn_counts.merge([Body(1, 1, 0, 0, slower + LONG_CASES + SINGLE_QUESTIONS)]), second)
    assert same is not None and not same.drifted and same.next_name == second.next_name
    assert [c.name for c in same.clusters] == [c.name for c in second.clusters]


def test_too_few_counts_give_no_model_and_none_keep_the_last() -> None:
    assert decision_body([summary_body(SINGLE_QUESTIONS[:0])]) is None and decision_body([]) is None
    current = decision_body([summary_body(LOOPS)])
    assert current is not None
    later = part.decode_document(decision_body([], current) or b"")
    previous = part.decode_document(current)
    assert later is not None and previous is not None
    assert later.model == previous.model and later.number == previous.number + 1


def test_predictions_distinguish_behaviours_and_state_their_uncertainty() -> None:
    sessions = trained_sessions()
    assert sessions.predictor is not None
    loop, single = (sessions.predictor.predict(t.cell) for t in (LOOPS[1], SINGLE_QUESTIONS[0]))
    assert loop.return_chance == pytest.approx(870 / 900, abs=0.02) and single.return_chance == pytest.approx(
        0.01, abs=0.02
    )
    assert loop.low <= loop.return_chance <= loop.high and loop.high - loop.low < 0.1
    assert 500.0 < loop.median_return_ms < 1000.0 < loop.p90_return_ms < 2000.0
    assert sessions.predictor.turns_left(loop, 4) > 5.0 > 0.1 > sessions.predictor.turns_left(single, 1)


def test_an_invalid_decision_is_rejected_and_none_is_the_default_behaviour() -> None:
    sessions = trained_sessions()
    play_turn(sessions, 0.0, 5)
    decision = decision_body([summary_body(LOOPS)])
    assert decision is not None and sessions.reservations.by_key
    document = msgspec.msgpack.decode(decision)
    document["model"]["clusters"][0]["hazards"][0][0] = 2.0
    for invalid in (b"", b"\xc1", decision[:-3], msgspec.msgpack.encode(document), bytes(MAX_BODY_BYTES + 1)):
        assert (
            not sessions.adopt(0.0, invalid)
            and sessions.predictor is not None
            and sessions.reservations.by_key
        )
    assert sessions.adopt(0.0, None) and not sessions.reservations.by_key and sessions.predictor is None
    play_turn(sessions, 9000.0, 6)
    assert not sessions.reservations.by_key and sessions.document is None


# --- reservations


operations = st.lists(
    st.tuples(
        st.sampled_from(["reserve", "reserve", "reserve", "release", "gone", "expire", "fit", "charges"]),
        st.integers(0, 12), st.integers(0, 2), st.integers(0, 3), st.integers(1, 4000),
        st.floats(0.01, 1.0), st.floats(1.0, 90_000.0), st.integers(0, 6000),
    ),
    max_size=60,
)  # fmt: skip


@steady
@given(operations)
def test_reservations_never_exceed_their_limit_and_accounts_add_up(sequence: list[Any]) -> None:
    book, now = ReservationBook((0.5, 0.3, 0.2), max_reservations=8), 0.0
    for operation, key, engine, tenant, tokens, chance, ms, limit in sequence:
        now += 700.0
        if operation == "reserve":
            if book.reserve(now, key, engine, tenant, tokens, chance, now + ms, limit):
                assert book.accounts[engine].held <= limit
        elif operation == "release":
            book.release(now, key, "return")
        elif operation == "gone":
            book.release_engine(now, engine)
            assert engine not in book.accounts
        elif operation == "expire":
            book.expire(now)
            assert all(reservation.until_ms > now for reservation in book.by_key.values())
        elif operation == "fit":
            book.fit(now, engine, limit)
            assert engine not in book.accounts or book.accounts[engine].held <= limit
        else:
            assert all(value >= 0.0 for value in book.charges(now).values())
        assert len(book.by_key) <= 8 and len(book.expiries) <= 4 * 8 + 16
        for number, account in book.accounts.items():
            own = [reservation for reservation in book.by_key.values() if reservation.engine == number]
            assert account.held == sum(reservation.tokens for reservation in own) and account.keys == {
                o.key for o in own
            }
        assert (
            book.reserved_tokens
            == sum(book.held.values())
            == sum(reservation.tokens for reservation in book.by_key.values())
        )
        assert book.balance() == pytest.approx(0.0, abs=1e-6)


def test_reserved_cache_is_charged_like_prefill() -> None:
    sessions = trained_sessions()
    play_turn(sessions, 0.0, 5, prompt=500, tenant=3)
    until = sessions.reservations.by_key[5].until_ms
    sessions.sweep(until)
    assert not sessions.reservations.by_key and sessions.reservations.ended == {"time": 1}
    assert sessions.charges(until) == {
        3: pytest.approx(550 * (until - 1000.0) / 1000.0 / part.PREFILL_EQUIVALENT_S)
    }


def test_the_least_valuable_are_released_and_never_for_less_valuable_ones() -> None:
    book = ReservationBook()
    assert book.reserve(0.0, 1, 0, 0, 500, 0.9, 1e4, 1000) and book.reserve(0.0, 2, 0, 0, 500, 0.2, 1e4, 1000)
    assert not book.reserve(0.0, 3, 0, 0, 600, 0.1, 1e4, 1000) and set(book.by_key) == {1, 2}
    assert book.reserve(0.0, 4, 0, 0, 500, 0.5, 1e4, 1000) and set(book.by_key) == {1, 4}
    assert not book.reserve(0.0, 5, 0, 0, 900, 0.8, 1e4, 1000) and set(book.by_key) == {1, 4}


def test_a_tenant_with_feigned_returns_gains_nothing() -> None:
    book = ReservationBook((0.5, 0.5))
    for n in range(200):  # both are predicted to return with 0.9; one tenant's sessions never do
        now = n * 1000.0
        book.reserve(now, n, 0, 0, 100, 0.9, now + 900.0, 1e6)
        book.reserve(now, 1000 + n, 0, 1, 100, 0.9, now + 900.0, 1e6)
        book.release(now + 500.0, 1000 + n, "return")
        book.expire(now + 950.0)
    assert book.reliability(0) < 0.15 and book.reliability(1) == 1.0
    charged = book.charges(1e6)
    assert charged[0] > charged[1] > 0.0  # it was charged for its reservations
    for n in range(20):
        book.reserve(1e6, n, 0, 0, 100, 0.9, 1e6 + 900.0, 1000)
    for n in range(10):
        assert book.reserve(1e6, 1000 + n, 0, 1, 100, 0.5, 1e6 + 900.0, 1000)
    assert set(book.held) == {1}


def test_reservations_beyond_a_tenants_portion_are_released_first() -> None:
    book = ReservationBook((0.5, 0.5))
    for n in range(10):
        assert book.reserve(0.0, n, 0, 0, 100, 0.5, 1e4, 1000)
    assert book.burst(0) == pytest.approx(1.0)
    for n in range(10, 15):
        assert book.reserve(0.0, n, 0, 1, 100, 0.4, 1e4, 1000)
    assert book.held == {0: 500, 1: 500} and book.burst(0) == book.burst(1) == 0.0


@pytest.mark.parametrize("cause", ["restart", "drain", "empty"])
def test_reservations_end_with_the_engines_cache(cause: str) -> None:
    sessions = trained_sessions()
    sessions.update_engine(0.0, "e0", True, 100.0)
    for key in range(1, 6):
        play_turn(sessions, 0.0, key, prompt=800)
    assert sessions.reservations.accounts[0].held > 0
    if cause == "empty":
        for key in (1, 2):
            play_turn(sessions, 3000.0, key, prompt=1000, kept=0)
        held = {sessions.reservations.by_key[key].key for key in sessions.reservations.by_key}
        assert held <= {1, 2}  # of sessions that came since
    else:
        sessions.update_engine(3000.0, "e0", cause != "drain", 2000.0 if cause == "restart" else 100.0)
        assert (
            not sessions.reservations.by_key and sessions.request_arrived(4000.0, 3, 0, 0, 1000, 0).home == ""
        )


def test_capacity_is_learnt_from_cache_hits_and_a_lost_cache_does_not_reduce_it() -> None:
    retention, rng = CacheRetention(), Random(2)
    for _ in range(400):
        added = 2.0 ** rng.uniform(8, 20)
        retention.observe(1, added, added, 1000, 1000 if added < 65_536 else 0)
    assert 46_000 <= retention.capacity(1) <= 93_000 and retention.share(
        1, 1000.0
    ) > 0.9 > 0.1 > retention.share(1, 5e5)
    assert [retention.observe(1, 500.0, 500.0, 1000, 0) for _ in range(3)] == [False, True, False]
    assert 46_000 <= retention.capacity(1) <= 93_000


# --- shares


@steady
@given(st.integers(0, 10_000))
def test_shares_of_all_routers_never_exceed_one_whole(seed: int) -> None:
    """Routers are late, unresponsive, die and restart, and a decision reaches only some of them."""
    rng, now = Random(seed), 0.0
    granted: dict[int, router_shares.Grant] = {}
    # By router: decision, share, time of the last confirmation.
    believed: dict[int, tuple[int, int, float]] = {}
    for number in range(25):
        now += rng.choice([5_000.0, 30_000.0, 70_000.0])
        # After a decision's TTL a router applies none.
        believed = {who: state for who, state in believed.items() if now - state[2] < router_shares.LEASE_MS}
        reporting = [who for who in range(6) if rng.random() < 0.6]
        acts_on = {who: believed.get(who, (0, 0, 0.0))[0] for who in reporting}
        bodies = [Body(1, who, acts_on[who], rng.choice([0, 100, 9000]), []) for who in reporting]
        rng.shuffle(bodies)
        granted = router_shares.grant(now, bodies, number, granted)
        assert router_shares.are_valid(granted)
        for who in reporting:
            if rng.random() < 0.7 and who in granted:
                believed[who] = (number + 1, granted[who].share, now)
            elif who in believed:
                believed[who] = (*believed[who][:2], now)  # the older decision is still confirmed to it
        assert sum(state[1] for state in believed.values()) <= router_shares.FULL_SHARE


def test_a_dead_routers_share_is_reserved_for_its_lease_and_then_free() -> None:
    three = [Body(1, who, 0, 0, []) for who in (1, 2, 3)]
    first = router_shares.grant(0.0, three, 0, {})
    assert {g.share for g in first.values()} == {router_shares.FULL_SHARE // 3}
    two = [Body(1, who, 1, 0, []) for who in (1, 2)]
    before = router_shares.grant(router_shares.LEASE_MS - 1.0, two, 1, first)
    assert (
        before[3].claim == first[3].claim
        and before[1].share <= (router_shares.FULL_SHARE - before[3].claim) // 2 + 1
    )
    after = router_shares.grant(
        router_shares.LEASE_MS + 1.0, [Body(1, who, 2, 0, []) for who in (1, 2)], 2, before
    )
    assert 3 not in after and after[1].share == router_shares.FULL_SHARE // 2


def test_with_a_store_nothing_is_reserved_without_a_grant() -> None:
    sessions = trained_sessions(granted=True)
    assert sessions.share == 1.0  # the whole is granted to it
    play_turn(sessions, 0.0, 5)
    decision = decision_body([summary_body(LOOPS, 8)])
    assert decision is not None and sessions.reservations.by_key and sessions.adopt(2000.0, decision)
    assert sessions.share == 0.0 and not sessions.reservations.by_key


def test_without_a_store_each_router_reserves_its_equal_share() -> None:
    sessions = trained_sessions(routers=4)
    for key in range(1, 300):
        play_turn(sessions, 0.0, key, prompt=500)
    capacity = sessions.retention.capacity(0)
    assert 0 < sessions.reservations.reserved_tokens <= capacity / 4.0


def test_a_session_that_moves_between_routers_is_routed_by_key() -> None:
    sessions = trained_sessions(routers=4)
    for key in range(1, 200):  # each session is new here, and finds a prefix that other routers had cached
        play_turn(sessions, key * 1000.0, key, prompt=3000, kept=2500)
    assert sessions.moved_share > 0.9 and sessions.request_arrived(3e5, 5, 0, 0, 4000, 0) == part.UNKNOWN_HINT
    for key in range(1000, 1600):
        play_turn(sessions, 4e5 + key * 1000.0, key, prompt=3000, kept=0)
    play_turn(sessions, 2.05e6, 1599, prompt=3500, kept=3000)  # no more than was left here
    assert (
        sessions.moved_share < part.MAX_MOVED_SHARE
        and sessions.request_arrived(2.1e6, 1599, 0, 0, 4000, 0).cached_tokens > 3000
    )


# --- interface of a part


def test_invalid_settings_name_their_key() -> None:
    faults: dict[str, Any] = {"routers": 0, "slots": 3, "portions": (-1.0,), "read_price": float("nan")}
    for key, value in faults.items():
        with pytest.raises(part.SessionsError, match=f"^sessions.{key}: ") as error:
            Settings(**{key: value})
        assert isinstance(error.value, Problem) and error.value.status == 2 and error.value.remedy


def test_it_implements_the_part_protocol_and_is_not_imported_when_off() -> None:
    as_part: Part = trained_sessions()
    assert as_part.kind == "sessions"
    code = "import sys, spoolbarrow.serve; print([m for m in sys.modules if 'sessions' in m])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout == b"[]\n"
