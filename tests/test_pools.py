"""The pool's split: sketches, guards against what can't be, a plan that is one for all and moves slowly."""

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
from spoolbarrow.pools.traffic_stats import MOST_CELLS, TrafficRecorder, decode_summary, merged

CLASSES = (
    RequestClass(1500.0, 6000.0, 1.0, late_share=0.2, aim_ms_per_token=0.06),
    RequestClass(600.0, 4000.0, 1.0, late_share=0.2, aim_ms_per_token=0.06, token_aim_ms=40.0),
)
FLEET = {f"e{n}": Engine("big", n % 2) for n in range(8)}
MINUTE = 60_000.0
NOW = 100_000.0
READING = (9.2, 7.3)  # requests a second that read 7,300 tokens, that write 290
BUSY_STEP_MS = 31.0  # of streams that share their engines with so much reading


def notes(
    reads: float,
    writes: float,
    seed: int = 1,
    now: float = NOW,
    tenant: int = 0,
    span_s: float = 60.0,
    tokens: float = 7300.0,
    read_us: float = 81.0,
    late: float = 0.15,
) -> TrafficRecorder:
    """What a router has seen of so many requests a second that read, and that write, until now."""
    rng, found = Random(seed), TrafficRecorder(now - span_s * 1000.0)
    for step in range(round(span_s * (reads + writes))):
        at = now - span_s * 1000.0 + step * 1000.0 / (reads + writes)
        if rng.random() * (reads + writes) < reads:
            prompt, made, cls = round(tokens * rng.uniform(0.6, 1.4)), 20, 0
        else:
            prompt, made, cls = rng.randint(50, 300), rng.randint(150, 430), 1
        found.record_request(at, cls, tenant, prompt, prompt)
        found.record_answer(at, cls, tenant, made, True, rng.random() < late)
        found.record_timing(
            at, "big", prompt, prompt * read_us / 1000.0 + 15.0, made, (made - 1) * BUSY_STEP_MS
        )
        found.record_load(at, "big", 0.25, 0.25)
    return found


def pools(engines: dict[str, Engine] | None = None, portions: Sequence[float] = ()) -> Pools:
    made = Pools(0.0, CLASSES, portions)
    made.set_engines(FLEET if engines is None else engines)
    return made


def decided(bodies: Sequence[bytes], last: bytes | None = None, now: float = NOW, **told: Any) -> split.Plan:
    body = pools(**told).decide(now, bodies, last) or last
    assert body is not None
    plan = split.decode_plan(body)
    assert plan is not None
    return plan


@pytest.fixture(scope="module")
def reading() -> list[bytes]:
    """Summaries of three routers that together see a mix which a split helps."""
    return [notes(READING[0] / 3, READING[1] / 3, seed).body(NOW) for seed in (1, 2, 3)]


# --- sketches


def test_quantiles_are_within_five_percent_and_add_up() -> None:
    rng = Random(3)
    values = [rng.lognormvariate(6.0, 1.5) for _ in range(4000)]
    halves: list[dict[int, float]] = [{}, {}]
    for n, value in enumerate(values):
        place = sketch.bucket(value)
        halves[n % 2][place] = halves[n % 2].get(place, 0.0) + 1.0
    sketch.add(halves[0], halves[1])
    values.sort()
    for share in (0.05, 0.5, 0.9, 0.99):
        true = values[round(share * len(values)) - 1]
        assert abs(sketch.quantile(halves[0], share) - true) <= 0.05 * (true + 1.0)


def test_answers_cut_off_are_not_short_answers() -> None:
    rng = Random(5)
    ended: dict[int, float] = {}
    cut: dict[int, float] = {}
    for _ in range(6000):
        whole, left = rng.expovariate(1 / 300.0), rng.expovariate(1 / 300.0)  # every second one is cut
        into = ended if whole <= left else cut
        place = sketch.bucket(min(whole, left))
        into[place] = into.get(place, 0.0) + 1.0
    assert sketch.quantile(ended, 0.5) < 120.0  # what a plain sketch would tell
    assert abs(sketch.quantile(sketch.kaplan_meier(ended, cut), 0.5) - 208.0) < 0.07 * 208.0
    assert sum(sketch.kaplan_meier(ended, cut).values()) == pytest.approx(1.0)


def test_what_was_seen_is_forgotten() -> None:
    seen = notes(5.0, 5.0)
    assert seen.stats.cells
    seen.fade(NOW + 20 * MINUTE)
    assert not seen.stats.cells and not seen.stats.speeds["big"].read


@settings(derandomize=True, max_examples=50)
@given(
    st.lists(
        st.tuples(st.integers(-5, 10**19), st.integers(-5, 10**19), st.integers(-5, 10**19), st.floats()),
        max_size=300,
    )
)
def test_a_flood_of_tenants_and_odd_figures_stays_bounded(flood: list[tuple[int, int, int, float]]) -> None:
    found = TrafficRecorder(0.0)
    for n, (cls, tenant, prompt, unread) in enumerate(flood * 3):
        found.record_request(n, cls, tenant + n, prompt, unread)
        found.record_answer(n, cls, tenant + n, prompt, n % 2 == 0, False)
        found.record_timing(n, f"kind {n}", unread, unread, prompt, unread)
        found.record_load(n, f"kind {n}", unread, unread)
    body = found.body(1000.0)
    assert len(body) <= MAX_BODY_BYTES and decode_summary(body) is not None
    assert len(found.stats.cells) <= 2 * MOST_CELLS + 256 and len(found.stats.speeds) <= 16


# --- what others say


def test_it_is_a_part_of_the_fleet() -> None:
    part: Part = pools()
    assert part.kind == "pools"


@settings(derandomize=True, max_examples=15, deadline=None)
@given(st.permutations(range(4)))
def test_the_plan_is_the_same_in_whatever_order_summaries_come(order: list[int]) -> None:
    bodies = [notes(READING[0] / 4, READING[1] / 4, seed, span_s=20.0).body(NOW) for seed in range(4)]
    assert decided([bodies[n] for n in order]) == decided(bodies)


HOSTILE: tuple[Any, ...] = (nan, inf, -inf, -1.0, 1e18, 10**18, -(10**18), "x", None, [], {"a": 1})


def poisoned(body: bytes, rng: Random) -> bytes:
    """The body with one of its values, however deep, replaced by what can't be."""
    whole = msgspec.msgpack.decode(body)
    here: Any = whole
    while True:
        keys = list(here) if isinstance(here, dict) else range(len(here))
        key = rng.choice(list(keys))
        if isinstance(here[key], (list, dict)) and here[key] and rng.random() < 0.95:
            here = here[key]
        else:
            here[key] = rng.choice(HOSTILE)
            return msgspec.msgpack.encode(whole)


def test_a_hostile_summary_counts_as_absent_or_moves_nothing(reading: list[bytes]) -> None:
    rng, plain = Random(7), decided(reading)
    absent = 0
    for _ in range(150):
        bad = poisoned(reading[0], rng)
        absent += decode_summary(bad) is None
        plan = decided([*reading, bad])
        if decode_summary(bad) is None:  # else what was put in can be true after all: an empty histogram
            assert (
                plan.prefill_engines == plain.prefill_engines
                and plan.prefill_min_tokens == plain.prefill_min_tokens
            )
    assert absent >= 110
    for garbage in (b"", b"\xc1", b"\x00" * 70_000, b"[]", reading[0][:-7], msgspec.msgpack.encode([1, 2])):
        assert (
            decode_summary(garbage) is None
            and decided([*reading, garbage]).prefill_engines == plain.prefill_engines
        )


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.binary(max_size=200), max_size=4), st.none() | st.binary(max_size=200))
def test_no_bytes_raise(bodies: list[bytes], last: bytes | None) -> None:
    made = pools()
    body = made.decide(NOW, bodies, last)
    assert body is not None and not (split.decode_plan(body) or split.Plan()).prefill_engines
    assert made.adopt(NOW, last) is (last is None or split.decode_plan(last) is not None)


@pytest.mark.parametrize(("name", "why"), [
    ("nothing", "too little evidence"), ("little", "too little evidence"),
    ("yesterday", "too little evidence"),
    ("contradiction", "routers contradict each other"), ("one engine", "fewer than two engines"),
    ("not this fleet", "the model does not describe this fleet"), ("calm", "no gain predicted"),
])  # fmt: skip
def test_without_good_evidence_there_is_no_split(name: str, why: str, reading: list[bytes]) -> None:
    engines = {"e0": FLEET["e0"]} if name == "one engine" else FLEET
    bodies = {
        "nothing": [], "little": [notes(0.5, 0.5, span_s=10.0).body(NOW)],
        "yesterday": [notes(*READING, now=NOW - 24 * 60 * MINUTE).body(NOW - 24 * 60 * MINUTE)],
        "contradiction": [reading[0], notes(*READING, read_us=810.0).body(NOW)],
        "one engine": reading, "not this fleet": [notes(*READING, late=0.99).body(NOW)],
        "calm": [notes(0.8, 8.0).body(NOW)],
    }[name]  # fmt: skip
    plan = decided(bodies, engines=engines)
    assert not plan.prefill_engines and plan.reason == why
    stood = split.ENCODE(
        split.Plan(prefill_engines=["e1", "e2"], prefill_min_tokens=[0.0, -1.0], reason="split")
    )
    after = decided(bodies, stood, engines=engines)
    assert not after.prefill_engines or name in ("calm", "not this fleet")


def test_clocks_a_minute_apart_change_nothing(reading: list[bytes]) -> None:
    skewed = [notes(READING[0] / 3, READING[1] / 3, seed, now=NOW + (seed - 2) * MINUTE).body(
        NOW + (seed - 2) * MINUTE) for seed in (1, 2, 3)]  # fmt: skip
    assert decided(skewed).prefill_engines == decided(reading).prefill_engines != []


def test_routers_that_see_different_traffic_add_up(reading: list[bytes]) -> None:
    apart = [notes(READING[0], 0.0).body(NOW), notes(0.0, READING[1]).body(NOW)]
    assert abs(len(decided(apart).prefill_engines) - len(decided(reading).prefill_engines)) <= 1
    assert decided(apart).prefill_min_tokens[1] == split.NEVER_PREFILL


def test_one_tenants_odd_prompts_count_by_its_portion() -> None:
    usual = notes(READING[0] / 2, READING[1]).body(NOW)
    odd = notes(6.0, 0.0, tenant=1, tokens=60_000.0).body(NOW)
    seen = [one for one in map(decode_summary, (usual, odd)) if one is not None]
    whole = merged(seen, [1.0, 1.0])
    held, over = split.guarded(whole, [0.8, 0.2])
    work = {t: sum(split.work(c) for (_, its), c in whole.cells.items() if its == t) for t in (0, 1)}
    assert over and work[1] > 3.0 * work[0]
    assert sum(map(split.work, held.values())) == pytest.approx(sum(work.values()))
    long = sum(sums[1] for cell in held.values() for s, sums in cell.spans.items() if s >= 15)
    assert long <= 0.21 * sum(work.values())
    alone, over = split.guarded(seen[1], [0.8, 0.2])
    assert not over and alone[0].weight() == pytest.approx(seen[1].cells[0, 1].weight())


# --- the plan


def test_a_split_that_helps_is_entered_and_told(reading: list[bytes]) -> None:
    plan = decided(reading)
    assert 3 <= len(plan.prefill_engines) <= 7
    assert plan.prefill_min_tokens[1] == split.NEVER_PREFILL and 0.0 <= plan.prefill_min_tokens[0] <= 4096.0
    assert plan.split_loss < plan.unsplit_loss - split.ENTER
    made = pools()
    assert made.is_prefill_request(0, 5000) is None and made.is_prefill_engine("e0") is None
    assert made.adopt(NOW, split.ENCODE(plan))
    assert made.is_prefill_request(0, 8000) is True and made.is_prefill_request(1, 8000) is False
    assert made.is_prefill_request(9, 8000) is False and made.is_prefill_request(-1, 8000) is False
    assert {name for name in FLEET if made.is_prefill_engine(name)} == set(plan.prefill_engines)
    assert made.decide(NOW + 1000.0, reading, split.ENCODE(plan)) is None  # what stands goes on
    assert made.adopt(NOW, b"garbage") is False and made.is_prefill_request(0, 8000) is None
    assert made.adopt(NOW, None) is True


def test_it_moves_a_few_engines_at_a_time_and_each_stays() -> None:
    """A turn, seen by a fleet of 32: one engine of 16 moves every four seconds at most, and then it rests."""
    engines = {f"e{n}": Engine("big", n % 2) for n in range(32)}
    calm, turned = ([notes(*mix, 1, span_s=40.0).body(NOW)] for mix in ((10.0, 50.0), (36.0, 29.0)))
    plan = msgspec.structs.replace(decided(calm, engines=engines), step_ms=15.0)
    begun = len(plan.prefill_engines)
    early = NOW + split.MOVE_MS - 1.0
    assert (
        begun
        and decided(turned, split.ENCODE(plan), early, engines=engines).prefill_engines
        == plan.prefill_engines
    )
    touched: dict[str, float] = {}
    sizes, now = [begun], NOW
    for _ in range(12):
        now += split.MOVE_MS
        after = decided(turned, split.ENCODE(plan), now, engines=engines)
        for name in set(after.prefill_engines) ^ set(plan.prefill_engines):
            assert now - touched.get(name, -inf) >= split.STAY_MS
            touched[name] = now
        sizes.append(len(after.prefill_engines))
        plan = after
    assert all(0 <= b - a <= 2 for a, b in pairwise(sizes)) and sizes[-1] >= begun + 2
    assert sizes[-1] == sizes[-3]


def test_an_engine_lost_while_its_side_is_at_its_least_is_replaced_at_once(reading: list[bytes]) -> None:
    plan = msgspec.structs.replace(decided(reading), prefill_engines=["e1"], moved_ms=NOW)
    left = {name: engine for name, engine in FLEET.items() if name != "e1"}
    after = decided(reading, split.ENCODE(plan), NOW + 1.0, engines=left)
    assert after.prefill_engines and "e1" not in after.prefill_engines


def test_a_split_whose_lateness_grew_is_given_up_for_a_while(reading: list[bytes]) -> None:
    plan = msgspec.structs.replace(decided(reading), trial=(0.02, 300.0, decided(reading).unsplit_loss))
    harmed = [notes(READING[0] / 3, READING[1] / 3, seed, late=0.35).body(NOW) for seed in (1, 2, 3)]
    early = decided(harmed, split.ENCODE(plan), NOW + split.TRIAL_MS - 1.0)
    assert early.prefill_engines
    after = decided(harmed, split.ENCODE(plan), NOW + split.TRIAL_MS)
    assert not after.prefill_engines and after.reason.startswith("rests")
    again = decided(reading, split.ENCODE(after), NOW + split.TRIAL_MS + 1000.0)
    assert not again.prefill_engines
    later = NOW + split.TRIAL_MS + split.REST_MS
    fresh = [notes(READING[0] / 3, READING[1] / 3, seed, now=later).body(later) for seed in (1, 2, 3)]
    assert decided(fresh, split.ENCODE(after), later).prefill_engines


def test_engines_move_by_rendezvous_cold_ones_first_and_zones_in_proportion() -> None:
    engines = {f"e{n}": Engine("big", n % 3, cold=n in (4, 7)) for n in range(30)}
    first = split.moved(set(), engines, 9, set())
    zones = [sum(engines[name].zone == z for name in first) for z in range(3)]
    assert zones == [3, 3, 3] and {"e4", "e7"} <= set(first)
    fewer = {name: e for name, e in engines.items() if name not in ("e20", "e21", "e22")}
    assert len(set(split.moved(set(), fewer, 9, set())) - set(first)) <= 3
    back = split.moved(set(first), engines, -3, set())
    assert set(back) <= set(first) and [engines[name].zone for name in back].count(0) == 1
    assert not set(split.moved(set(first), engines, 3, set(engines) - {"e0"})) - {"e0"}


def test_types_that_can_do_one_thing_are_counted_and_never_steered(reading: list[bytes]) -> None:
    fixed = {f"e{n}": Engine("big", fixed_side="read" if n < 5 else "write") for n in range(8)}
    plan = decided(reading, engines=fixed)
    assert not plan.prefill_engines and sum(plan.wanted) == 8 and 3 <= plan.wanted[0] <= 7
    some = {
        f"e{n}": Engine("big", fixed_side="read" if n < 1 else "write" if n < 2 else "") for n in range(8)
    }
    plan = decided(reading, engines=some)
    assert plan.prefill_engines and not {"e0", "e1"} & set(plan.prefill_engines)
    made = pools(some)
    made.adopt(NOW, split.ENCODE(plan))
    assert made.is_prefill_engine("e0") is True and made.is_prefill_engine("e1") is False


def test_a_class_that_keeps_its_prompts_stays_on_one_side() -> None:
    def atoms(unread: float) -> list[Atom]:
        return [Atom(0, low, 1.5 * low, 0.002, unread * low, (unread * low) ** 2, 50.0, 1500.0, 0.0, 1.0)
                for low in (1024.0, 4096.0, 16384.0)]  # fmt: skip

    rates = Rates(0.081, 15.0, 0.1)
    assert split.thresholds(atoms(1.4), 5000.0, 1, rates) == [4096.0]
    assert split.thresholds(atoms(0.3), 2000.0, 1, rates) == [0.0]
    assert split.thresholds(atoms(0.3), 5000.0, 1, rates) == [split.NEVER_PREFILL]
    # Prompts for 5.2 engines, of which one's are read: four could not read all anew, a hundred could.
    assert split.lives_on_kept(atoms(0.3), 4, rates) and not split.lives_on_kept(atoms(0.3), 100, rates)
    assert not split.lives_on_kept(atoms(1.5), 4, rates)


def test_a_thousand_engines_fit_into_a_decision() -> None:
    engines = {f"engine-with-a-rather-long-name-{n:04d}.example": Engine("big", n % 5) for n in range(1000)}
    many = [notes(READING[0] * 4, READING[1] * 4, seed, span_s=15.0).body(NOW) for seed in range(3)]
    factor = 1000 / 8 / 12
    assert factor > 10  # these three see a tenth of what would keep the fleet busy: no split is right
    assert not decided(many, engines=engines).prefill_engines
    names = sorted(engines)[:600]
    assert (
        len(split.ENCODE(split.Plan(prefill_engines=names, moved=dict.fromkeys(names[:62], NOW))))
        <= MAX_BODY_BYTES
    )


# --- the model


@settings(derandomize=True, max_examples=100)
@given(st.floats(0.0, 2.0), st.floats(0.01, 2.0), st.integers(2, 200), st.integers(1, 199))
def test_the_model_tells_shares_and_more_load_is_never_better(
    reads: float, writes: float, engines: int, readers: int
) -> None:
    rates = Rates(0.081, 15.0, 0.1, 64.0, 100_000.0)

    def traffic(factor: float) -> Traffic:
        return Traffic([
            Atom(0, 4096.0, 6000.0, factor * reads / 1000.0 * engines, 6000.0, 4e7, 20.0, 1800.0, 0.0, 0.8),
            Atom(1, 64.0, 100.0, factor * writes / 1000.0 * engines, 100.0, 1.2e4, 290.0, 600.0, 40.0, 0.8),
        ], [True, False])  # fmt: skip

    told = [traffic(f).unsplit(engines, rates) for f in (0.5, 1.0, 2.0)]
    told += [traffic(1.0).lost(1 + (readers - 1) % (engines - 1), engines, rates)]
    assert all(0.0 <= share <= 1.0 for share in told) and told[0] <= told[1] + 0.02 <= told[2] + 0.04
