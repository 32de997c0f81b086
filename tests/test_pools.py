"""Tests of the prefill/decode split: sketches, validation of summaries, the plan, the queueing model."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import pairwise
from math import inf, nan
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow.fleet.documents import MAX_BODY_BYTES, Part
from spoolbarrow.interface import RequestClass
from spoolbarrow.pools import Engine, Pools, sketch, split
from spoolbarrow.pools.queue_model import Atom, Rates, Traffic
from spoolbarrow.pools.traffic_stats import MAX_CELLS, TrafficRecorder, decode_summary, merge_stats

CLASSES = (
    RequestClass(1500.0, 6000.0, 1.0, late_share=0.2, aim_ms_per_token=0.06),
    RequestClass(600.0, 4000.0, 1.0, late_share=0.2, aim_ms_per_token=0.06, token_aim_ms=40.0),
)
FLEET = {f"e{n}": Engine("big", n % 2) for n in range(8)}
MINUTE = 60_000.0
NOW = 100_000.0
BUSY_RATES = (9.2, 7.3)  # requests per second with prompts of 7,300 tokens, with answers of 290
BUSY_STEP_MS = 31.0  # of streams that share their engines with that much prefill


def recorded_traffic(
    prefill_rate: float,
    decode_rate: float,
    seed: int = 1,
    now: float = NOW,
    tenant: int = 0,
    span_s: float = 60.0,
    tokens: float = 7300.0,
    read_us: float = 81.0,
    late: float = 0.15,
) -> TrafficRecorder:
    """Statistics of a router with these rates of prefill and of decode requests per second, until now."""
    rng, recorder = Random(seed), TrafficRecorder(now - span_s * 1000.0)
    for step in range(round(span_s * (prefill_rate + decode_rate))):
        at = now - span_s * 1000.0 + step * 1000.0 / (prefill_rate + decode_rate)
        if rng.random() * (prefill_rate + decode_rate) < prefill_rate:
            prompt, answer, cls = round(tokens * rng.uniform(0.6, 1.4)), 20, 0
        else:
            prompt, answer, cls = rng.randint(50, 300), rng.randint(150, 430), 1
        recorder.record_request(at, cls, tenant, prompt, prompt)
        recorder.record_answer(at, cls, tenant, answer, True, rng.random() < late)
        recorder.record_timing(
            at, "big", prompt, prompt * read_us / 1000.0 + 15.0, answer, (answer - 1) * BUSY_STEP_MS
        )
        recorder.record_load(at, "big", 0.25, 0.25)
    return recorder


def make_pools(engines: dict[str, Engine] | None = None, portions: Sequence[float] = ()) -> Pools:
    pools = Pools(0.0, CLASSES, portions)
    pools.set_engines(FLEET if engines is None else engines)
    return pools


def decided_plan(
    bodies: Sequence[bytes], last: bytes | None = None, now: float = NOW, **options: Any
) -> split.Plan:
    body = make_pools(**options).decide(now, bodies, last) or last
    assert body is not None
    plan = split.decode_plan(body)
    assert plan is not None
    return plan


@pytest.fixture(scope="module")
def busy_bodies() -> list[bytes]:
    """Summaries of three routers whose combined traffic gains by a split."""
    return [recorded_traffic(BUSY_RATES[0] / 3, BUSY_RATES[1] / 3, seed).body(NOW) for seed in (1, 2, 3)]


# --- sketches


def test_quantiles_are_within_five_percent_after_a_merge() -> None:
    rng = Random(3)
    values = [rng.lognormvariate(6.0, 1.5) for _ in range(4000)]
    halves: list[dict[int, float]] = [{}, {}]
    for n, value in enumerate(values):
        number = sketch.bucket(value)
        halves[n % 2][number] = halves[n % 2].get(number, 0.0) + 1.0
    sketch.merge(halves[0], halves[1])
    values.sort()
    for share in (0.05, 0.5, 0.9, 0.99):
        exact = values[round(share * len(values)) - 1]
        assert abs(sketch.quantile(halves[0], share) - exact) <= 0.05 * (exact + 1.0)


def test_cut_answers_do_not_count_as_short_answers() -> None:
    rng = Random(5)
    ended: dict[int, float] = {}
    cut: dict[int, float] = {}
    for _ in range(6000):
        # Every second answer is cut.
        complete, cut_at = rng.expovariate(1 / 300.0), rng.expovariate(1 / 300.0)
        into = ended if complete <= cut_at else cut
        number = sketch.bucket(min(complete, cut_at))
        into[number] = into.get(number, 0.0) + 1.0
    assert sketch.quantile(ended, 0.5) < 120.0  # the biased result of a plain sketch
    assert abs(sketch.quantile(sketch.kaplan_meier(ended, cut), 0.5) - 208.0) < 0.07 * 208.0
    assert sum(sketch.kaplan_meier(ended, cut).values()) == pytest.approx(1.0)


def test_statistics_decay() -> None:
    recorder = recorded_traffic(5.0, 5.0)
    assert recorder.stats.cells
    recorder.decay(NOW + 20 * MINUTE)
    assert not recorder.stats.cells and not recorder.stats.speeds["big"].read


@settings(derandomize=True, max_examples=50)
@given(
    st.lists(
        st.tuples(st.integers(-5, 10**19), st.integers(-5, 10**19), st.integers(-5, 10**19), st.floats()),
        max_size=300,
    )
)
def test_memory_stays_bounded_under_many_tenants_and_invalid_values(
    flood: list[tuple[int, int, int, float]],
) -> None:
    recorder = TrafficRecorder(0.0)
    for n, (cls, tenant, prompt, unread) in enumerate(flood * 3):
        recorder.record_request(n, cls, tenant + n, prompt, unread)
        recorder.record_answer(n, cls, tenant + n, prompt, n % 2 == 0, False)
        recorder.record_timing(n, f"kind {n}", unread, unread, prompt, unread)
        recorder.record_load(n, f"kind {n}", unread, unread)
    body = recorder.body(1000.0)
    assert len(body) <= MAX_BODY_BYTES and decode_summary(body) is not None
    assert len(recorder.stats.cells) <= 2 * MAX_CELLS + 256 and len(recorder.stats.speeds) <= 16


# --- summaries of other routers


def test_it_implements_the_part_protocol() -> None:
    part: Part = make_pools()
    assert part.kind == "pools"


@settings(derandomize=True, max_examples=15, deadline=None)
@given(st.permutations(range(4)))
def test_the_plan_is_independent_of_the_order_of_summaries(order: list[int]) -> None:
    bodies = [
        recorded_traffic(BUSY_RATES[0] / 4, BUSY_RATES[1] / 4, seed, span_s=20.0).body(NOW)
        for seed in range(4)
    ]
    assert decided_plan([bodies[n] for n in order]) == decided_plan(bodies)


HOSTILE: tuple[Any, ...] = (nan, inf, -inf, -1.0, 1e18, 10**18, -(10**18), "x", None, [], {"a": 1})


def corrupted(body: bytes, rng: Random) -> bytes:
    """The body with one of its values, at any depth, replaced by an invalid one."""
    summary = msgspec.msgpack.decode(body)
    container: Any = summary
    while True:
        keys = list(container) if isinstance(container, dict) else range(len(container))
        key = rng.choice(list(keys))
        if isinstance(container[key], (list, dict)) and container[key] and rng.random() < 0.95:
            container = container[key]
        else:
            container[key] = rng.choice(HOSTILE)
            return msgspec.msgpack.encode(summary)


def test_a_hostile_summary_counts_as_absent_or_changes_nothing(busy_bodies: list[bytes]) -> None:
    rng, expected = Random(7), decided_plan(busy_bodies)
    absent = 0
    for _ in range(150):
        corrupt = corrupted(busy_bodies[0], rng)
        absent += decode_summary(corrupt) is None
        plan = decided_plan([*busy_bodies, corrupt])
        if decode_summary(corrupt) is None:  # otherwise the value is possible after all: an empty histogram
            assert (
                plan.prefill_engines == expected.prefill_engines
                and plan.prefill_min_tokens == expected.prefill_min_tokens
            )
    assert absent >= 110
    for garbage in (
        b"",
        b"\xc1",
        b"\x00" * 70_000,
        b"[]",
        busy_bodies[0][:-7],
        msgspec.msgpack.encode([1, 2]),
    ):
        assert (
            decode_summary(garbage) is None
            and decided_plan([*busy_bodies, garbage]).prefill_engines == expected.prefill_engines
        )


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.binary(max_size=200), max_size=4), st.none() | st.binary(max_size=200))
def test_no_bytes_raise(bodies: list[bytes], last: bytes | None) -> None:
    pools = make_pools()
    body = pools.decide(NOW, bodies, last)
    assert body is not None and not (split.decode_plan(body) or split.Plan()).prefill_engines
    assert pools.adopt(NOW, last) is (last is None or split.decode_plan(last) is not None)


@pytest.mark.parametrize(("case", "reason"), [
    ("nothing", "too little evidence"), ("little", "too little evidence"),
    ("yesterday", "too little evidence"),
    ("contradiction", "routers contradict each other"), ("one engine", "fewer than two engines"),
    ("not this fleet", "the model does not describe this fleet"), ("calm", "no gain predicted"),
])  # fmt: skip
def test_there_is_no_split_without_good_evidence(case: str, reason: str, busy_bodies: list[bytes]) -> None:
    engines = {"e0": FLEET["e0"]} if case == "one engine" else FLEET
    bodies = {
        "nothing": [], "little": [recorded_traffic(0.5, 0.5, span_s=10.0).body(NOW)],
        "yesterday": [recorded_traffic(*BUSY_RATES, now=NOW - 24 * 60 * MINUTE).body(NOW - 24 * 60 * MINUTE)],
        "contradiction": [busy_bodies[0], recorded_traffic(*BUSY_RATES, read_us=810.0).body(NOW)],
        "one engine": busy_bodies, "not this fleet": [recorded_traffic(*BUSY_RATES, late=0.99).body(NOW)],
        "calm": [recorded_traffic(0.8, 8.0).body(NOW)],
    }[case]  # fmt: skip
    plan = decided_plan(bodies, engines=engines)
    assert not plan.prefill_engines and plan.reason == reason
    current = split.ENCODE(
        split.Plan(prefill_engines=["e1", "e2"], prefill_min_tokens=[0.0, -1.0], reason="split")
    )
    after = decided_plan(bodies, current, engines=engines)
    assert not after.prefill_engines or case in ("calm", "not this fleet")


def test_clock_differences_of_a_minute_change_nothing(busy_bodies: list[bytes]) -> None:
    skewed = [recorded_traffic(
        BUSY_RATES[0] / 3, BUSY_RATES[1] / 3, seed, now=NOW + (seed - 2) * MINUTE
    ).body(NOW + (seed - 2) * MINUTE) for seed in (1, 2, 3)]  # fmt: skip
    assert decided_plan(skewed).prefill_engines == decided_plan(busy_bodies).prefill_engines != []


def test_routers_with_different_traffic_are_merged(busy_bodies: list[bytes]) -> None:
    separate = [
        recorded_traffic(BUSY_RATES[0], 0.0).body(NOW),
        recorded_traffic(0.0, BUSY_RATES[1]).body(NOW),
    ]
    assert (
        abs(len(decided_plan(separate).prefill_engines) - len(decided_plan(busy_bodies).prefill_engines)) <= 1
    )
    assert decided_plan(separate).prefill_min_tokens[1] == split.NEVER_PREFILL


def test_unusual_prompts_of_a_tenant_count_by_its_portion() -> None:
    usual = recorded_traffic(BUSY_RATES[0] / 2, BUSY_RATES[1]).body(NOW)
    unusual = recorded_traffic(6.0, 0.0, tenant=1, tokens=60_000.0).body(NOW)
    all_stats = [stats for stats in map(decode_summary, (usual, unusual)) if stats is not None]
    total = merge_stats(all_stats, [1.0, 1.0])
    by_class, is_limited = split.limited_by_portion(total, [0.8, 0.2])
    work = {t: sum(split.work(c) for (_, its), c in total.cells.items() if its == t) for t in (0, 1)}
    assert is_limited and work[1] > 3.0 * work[0]
    assert sum(map(split.work, by_class.values())) == pytest.approx(sum(work.values()))
    long = sum(sums[1] for cell in by_class.values() for s, sums in cell.spans.items() if s >= 15)
    assert long <= 0.21 * sum(work.values())
    alone, is_limited = split.limited_by_portion(all_stats[1], [0.8, 0.2])
    assert not is_limited and alone[0].weight() == pytest.approx(all_stats[1].cells[0, 1].weight())


# --- the plan


def test_a_useful_split_starts_and_is_applied(busy_bodies: list[bytes]) -> None:
    plan = decided_plan(busy_bodies)
    assert 3 <= len(plan.prefill_engines) <= 7
    assert plan.prefill_min_tokens[1] == split.NEVER_PREFILL and 0.0 <= plan.prefill_min_tokens[0] <= 4096.0
    assert plan.split_loss < plan.unsplit_loss - split.START_GAIN
    pools = make_pools()
    assert pools.is_prefill_request(0, 5000) is None and pools.is_prefill_engine("e0") is None
    assert pools.adopt(NOW, split.ENCODE(plan))
    assert pools.is_prefill_request(0, 8000) is True and pools.is_prefill_request(1, 8000) is False
    assert pools.is_prefill_request(9, 8000) is False and pools.is_prefill_request(-1, 8000) is False
    assert {name for name in FLEET if pools.is_prefill_engine(name)} == set(plan.prefill_engines)
    assert pools.decide(NOW + 1000.0, busy_bodies, split.ENCODE(plan)) is None  # the plan stays in force
    assert pools.adopt(NOW, b"garbage") is False and pools.is_prefill_request(0, 8000) is None
    assert pools.adopt(NOW, None) is True


def test_few_engines_move_at_a_time_and_each_stays_for_a_while() -> None:
    """After a change of traffic to a fleet of 32, one engine of 16 moves every four seconds at most."""
    engines = {f"e{n}": Engine("big", n % 2) for n in range(32)}
    calm, changed = (
        [recorded_traffic(*mix, 1, span_s=40.0).body(NOW)] for mix in ((10.0, 50.0), (36.0, 29.0))
    )
    plan = msgspec.structs.replace(decided_plan(calm, engines=engines), step_ms=15.0)
    initial = len(plan.prefill_engines)
    early = NOW + split.MOVE_PERIOD_MS - 1.0
    assert (
        initial
        and decided_plan(changed, split.ENCODE(plan), early, engines=engines).prefill_engines
        == plan.prefill_engines
    )
    moved_at: dict[str, float] = {}
    sizes, now = [initial], NOW
    for _ in range(12):
        now += split.MOVE_PERIOD_MS
        after = decided_plan(changed, split.ENCODE(plan), now, engines=engines)
        for name in set(after.prefill_engines) ^ set(plan.prefill_engines):
            assert now - moved_at.get(name, -inf) >= split.MIN_STAY_MS
            moved_at[name] = now
        sizes.append(len(after.prefill_engines))
        plan = after
    assert all(0 <= b - a <= 2 for a, b in pairwise(sizes)) and sizes[-1] >= initial + 2
    assert sizes[-1] == sizes[-3]


def test_a_lost_sole_prefill_engine_is_replaced_at_once(busy_bodies: list[bytes]) -> None:
    plan = msgspec.structs.replace(decided_plan(busy_bodies), prefill_engines=["e1"], moved_ms=NOW)
    remaining = {name: engine for name, engine in FLEET.items() if name != "e1"}
    after = decided_plan(busy_bodies, split.ENCODE(plan), NOW + 1.0, engines=remaining)
    assert after.prefill_engines and "e1" not in after.prefill_engines


def test_a_split_with_more_late_requests_ends_for_a_while(busy_bodies: list[bytes]) -> None:
    plan = msgspec.structs.replace(
        decided_plan(busy_bodies), trial=(0.02, 300.0, decided_plan(busy_bodies).unsplit_loss)
    )
    harmed = [
        recorded_traffic(BUSY_RATES[0] / 3, BUSY_RATES[1] / 3, seed, late=0.35).body(NOW)
        for seed in (1, 2, 3)
    ]
    early = decided_plan(harmed, split.ENCODE(plan), NOW + split.TRIAL_MS - 1.0)
    assert early.prefill_engines
    after = decided_plan(harmed, split.ENCODE(plan), NOW + split.TRIAL_MS)
    assert not after.prefill_engines and after.reason.startswith("rests")
    again = decided_plan(busy_bodies, split.ENCODE(after), NOW + split.TRIAL_MS + 1000.0)
    assert not again.prefill_engines
    later = NOW + split.TRIAL_MS + split.REST_MS
    fresh = [
        recorded_traffic(BUSY_RATES[0] / 3, BUSY_RATES[1] / 3, seed, now=later).body(later)
        for seed in (1, 2, 3)
    ]
    assert decided_plan(fresh, split.ENCODE(after), later).prefill_engines


def test_engines_move_by_rendezvous_hash_cold_ones_first_in_proportion_to_zones() -> None:
    engines = {f"e{n}": Engine("big", n % 3, cold=n in (4, 7)) for n in range(30)}
    first = split.engines_to_move(set(), engines, 9, set())
    zones = [sum(engines[name].zone == z for name in first) for z in range(3)]
    assert zones == [3, 3, 3] and {"e4", "e7"} <= set(first)
    fewer = {name: e for name, e in engines.items() if name not in ("e20", "e21", "e22")}
    assert len(set(split.engines_to_move(set(), fewer, 9, set())) - set(first)) <= 3
    back = split.engines_to_move(set(first), engines, -3, set())
    assert set(back) <= set(first) and [engines[name].zone for name in back].count(0) == 1
    assert not set(split.engines_to_move(set(first), engines, 3, set(engines) - {"e0"})) - {"e0"}


def test_engine_types_with_a_fixed_side_are_counted_and_never_moved(busy_bodies: list[bytes]) -> None:
    fixed = {f"e{n}": Engine("big", fixed_side="read" if n < 5 else "write") for n in range(8)}
    plan = decided_plan(busy_bodies, engines=fixed)
    assert not plan.prefill_engines and sum(plan.wanted) == 8 and 3 <= plan.wanted[0] <= 7
    mixed = {
        f"e{n}": Engine("big", fixed_side="read" if n < 1 else "write" if n < 2 else "") for n in range(8)
    }
    plan = decided_plan(busy_bodies, engines=mixed)
    assert plan.prefill_engines and not {"e0", "e1"} & set(plan.prefill_engines)
    pools = make_pools(mixed)
    pools.adopt(NOW, split.ENCODE(plan))
    assert pools.is_prefill_engine("e0") is True and pools.is_prefill_engine("e1") is False


def test_a_class_with_cached_prompts_stays_on_one_side() -> None:
    def atoms(unread: float) -> list[Atom]:
        return [Atom(0, low, 1.5 * low, 0.002, unread * low, (unread * low) ** 2, 50.0, 1500.0, 0.0, 1.0)
                for low in (1024.0, 4096.0, 16384.0)]  # fmt: skip

    rates = Rates(0.081, 15.0, 0.1)
    assert split.thresholds(atoms(1.4), 5000.0, 1, rates) == [4096.0]
    assert split.thresholds(atoms(0.3), 2000.0, 1, rates) == [0.0]
    assert split.thresholds(atoms(0.3), 5000.0, 1, rates) == [split.NEVER_PREFILL]
    # Prompts for 5.2 engines, one of them for uncached tokens: four engines need the cache, 100 do not.
    assert split.depends_on_cache(atoms(0.3), 4, rates) and not split.depends_on_cache(atoms(0.3), 100, rates)
    assert not split.depends_on_cache(atoms(1.5), 4, rates)


def test_a_thousand_engines_fit_into_a_decision() -> None:
    engines = {f"engine-with-a-rather-long-name-{n:04d}.example": Engine("big", n % 5) for n in range(1000)}
    many = [
        recorded_traffic(BUSY_RATES[0] * 4, BUSY_RATES[1] * 4, seed, span_s=15.0).body(NOW)
        for seed in range(3)
    ]
    factor = 1000 / 8 / 12
    assert factor > 10  # the three report a tenth of the load of a busy fleet: no split is right
    assert not decided_plan(many, engines=engines).prefill_engines
    names = sorted(engines)[:600]
    assert (
        len(split.ENCODE(split.Plan(prefill_engines=names, moved=dict.fromkeys(names[:62], NOW))))
        <= MAX_BODY_BYTES
    )


# --- the model


@settings(derandomize=True, max_examples=100)
@given(st.floats(0.0, 2.0), st.floats(0.01, 2.0), st.integers(2, 200), st.integers(1, 199))
def test_the_model_predicts_shares_and_more_load_is_never_better(
    prefill: float, decode: float, engines: int, prefill_engines: int
) -> None:
    rates = Rates(0.081, 15.0, 0.1, 64.0, 100_000.0)

    def traffic(factor: float) -> Traffic:
        return Traffic([
            Atom(0, 4096.0, 6000.0, factor * prefill / 1000.0 * engines, 6000.0, 4e7, 20.0, 1800.0, 0.0, 0.8),
            Atom(1, 64.0, 100.0, factor * decode / 1000.0 * engines, 100.0, 1.2e4, 290.0, 600.0, 40.0, 0.8),
        ], [True, False])  # fmt: skip

    losses = [traffic(f).unsplit(engines, rates) for f in (0.5, 1.0, 2.0)]
    losses += [traffic(1.0).lost(1 + (prefill_engines - 1) % (engines - 1), engines, rates)]
    assert all(0.0 <= share <= 1.0 for share in losses) and losses[0] <= losses[1] + 0.02 <= losses[2] + 0.04
