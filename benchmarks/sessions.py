"""Measures session predictions: their calibration, the benefit of cache reservations, and their cost.

    python benchmarks/sessions.py [--short]

Sessions of four hidden kinds are mixed; the model learns from one trace and is judged on others. Reservations
are simulated with the real decisions, which get the inputs that docs/sessions.md proposes.
"""

from __future__ import annotations

import argparse
import gc
import importlib
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from math import inf
from multiprocessing import get_context
from pathlib import Path
from random import Random
from statistics import mean, median
from time import perf_counter, process_time_ns
from typing import Any

import orjson
from msgspec.structs import fields, replace

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow import interface as i  # noqa: E402
from spoolbarrow import router as r  # noqa: E402
from spoolbarrow.lab.policies import POLICIES, EngineOracle, RoutingPolicy  # noqa: E402
from spoolbarrow.lab.run_report import percentile  # noqa: E402
from spoolbarrow.lab.scenario import Scenario, convert  # noqa: E402
from spoolbarrow.lab.simulate import Simulation  # noqa: E402
from spoolbarrow.sessions import cells  # noqa: E402
from spoolbarrow.sessions.model import Prediction  # noqa: E402
from spoolbarrow.sessions.part import MAX_MOVED_SHARE, UNKNOWN_HINT, CacheHint, Sessions, Settings  # noqa: E402

TENTH_TOLERANCE, MIN_TURNS_GAIN, MIN_REREAD_GAIN, WORTH_TOLERANCE, MAX_COST_SHARE = (
    0.05,
    1 / 3,
    0.25,
    0.005,
    0.1,
)
MIN_EQUAL_TURNS = 100  # turns with the same prediction before its uncertainty is judged
MIN_TENTH_TURNS = 300  # in a tenth before it is judged
MAX_MEMORY_BYTES = 16 << 20
RequestTimes = dict[int, list[float]]  # of each session, ms


@dataclass(frozen=True)
class Kind:
    """The behaviour of one hidden kind; ranges are log-uniform."""

    turns: tuple[int, int]  # uniform in this range, then one more with chance `going`, repeatedly
    going: float
    gap_s: tuple[float, float]
    fresh: tuple[int, int]  # tokens of the first turn besides the opening
    adds: tuple[int, int]
    answer: tuple[int, int]


ONCE = Kind((1, 1), 0.0, (1, 1), (600, 4000), (1, 1), (40, 200))
LOOP = Kind((4, 4), 0.93, (0.6, 3.0), (800, 2500), (150, 500), (30, 90))
TALK = Kind((1, 1), 0.72, (6.0, 45.0), (100, 600), (60, 400), (80, 300))
CASE = Kind((2, 2), 0.75, (500.0, 1500.0), (1500, 5000), (600, 2500), (120, 400))
QUICK_CASE = Kind((2, 2), 0.75, (40.0, 90.0), (1500, 5000), (600, 2500), (120, 400))
MIXES = {  # shares of sessions: once, loop, talk, case
    "even": (0.25, 0.25, 0.25, 0.25),
    "questions": (0.7, 0.08, 0.12, 0.1),
    "loops": (0.2, 0.6, 0.1, 0.1),
    "cases": (0.35, 0.05, 0.2, 0.4),
}
SITES = {  # share of each kind's sessions in the first of two classes
    "docs": (0.6, 0.3, 0.5, 0.8),
    "agents": (0.5, 0.9, 0.1, 0.4),
}


@dataclass
class Turn:
    """One turn as its client plans it."""

    at: float  # ms
    session: int
    cls: int
    tenant: int
    prompt: int
    answer: int
    number: int  # from 1
    left: int  # turns after it
    away: float  # ms from its response to the next turn; inf: none
    kind: int


def _even(span: tuple[float, float], rng: Random) -> float:
    return float(span[0] * (span[1] / span[0]) ** rng.random())


def turns(
    mix: tuple[float, ...],
    site: tuple[float, ...],
    rate: float,
    length_s: float,
    seed: int,
    case: Kind = CASE,
) -> Iterator[Turn]:
    """Draw turns in order: `rate` new sessions per second. A response takes 30 ms per token."""
    rng, count, at = Random(f"sessions {seed}"), 0, 0.0
    heap: list[tuple[float, int, Turn]] = []
    kinds = (ONCE, LOOP, TALK, case)
    while True:
        at += rng.expovariate(rate) * 1000.0
        if at >= length_s * 1000.0:
            break
        n = rng.choices(range(4), mix)[0]
        kind, session = kinds[n], rng.getrandbits(62) | 1
        total = rng.randint(*kind.turns)
        while rng.random() < kind.going:
            total += 1
        cls, tenant = int(rng.random() >= site[n]), int(rng.random() < 0.4)
        context, when = 0, at
        for number in range(1, total + 1):
            context += round(_even(kind.fresh if number == 1 else kind.adds, rng))
            answer, gap = round(_even(kind.answer, rng)), _even(kind.gap_s, rng) * 1000.0
            left = total - number
            one = Turn(when, session, cls, tenant, context, answer, number, left, gap if left else inf, n)
            heappush(heap, (when, count, one))
            count += 1
            context += answer
            when += 30.0 * answer + gap
    while heap:
        yield heappop(heap)[2]


def expected_turns_left(kind: Kind, number: int) -> float:
    """The mean number of turns left if the kind is known."""
    more = kind.going / (1.0 - kind.going)
    low, high = kind.turns
    totals = [n for n in range(low, high + 1) if n >= number]
    return mean(n - number for n in totals) + more if totals else more


def learn(days: list[Iterator[Turn]], length_s: float) -> tuple[bytes, list[bytes], float]:
    """A model of traces seen by one router each, the summaries it was made of, and the time that took, s."""
    bodies = []
    for who, day in enumerate(days):
        one = Sessions(Settings(slots=32_768), who + 1)
        for _ in replay(one, day):
            pass
        one.sweep(length_s * 1000.0)
        bodies.append(one.summary(length_s * 1000.0))
    begin = perf_counter()
    body = Sessions(Settings(), 99).decide(length_s * 1000.0, bodies, None)
    assert body is not None
    return body, bodies, perf_counter() - begin


def replay(part: Sessions, day: Iterator[Turn]) -> Iterator[tuple[float, tuple[Turn, Prediction | None]]]:
    """Replay a trace to a router, served by one of eight engines; yields each turn's prediction."""
    ends: list[tuple[float, int, Turn]] = []
    swept = 0.0

    def end(one: Turn, at: float) -> Prediction | None:
        return part.answer_ended(at, one.session, f"e{one.session % 8}", one.answer, max(0, one.prompt - 500))

    for count, one in enumerate(day):
        while ends and ends[0][0] <= one.at:
            at, _, before = heappop(ends)
            yield at, (before, end(before, at))
        if one.at - swept >= 1000.0:
            part.sweep(one.at)
            swept = one.at
        part.request_arrived(one.at, one.session, one.cls, one.tenant, one.prompt, 0)
        heappush(ends, (one.at + 30.0 * one.answer, count, one))
    while ends:
        at, _, before = heappop(ends)
        yield at, (before, end(before, at))


def calibration(mix: str, site: str, short: bool, seeds: tuple[int, ...]) -> dict[str, Any]:
    """Compare predictions with outcomes, on traces that the model has not seen."""
    length, rate = (5_400.0, 1.0) if short else (10_800.0, 2.0)
    shape, classes = MIXES[mix], SITES[site]
    body, bodies, took = learn([turns(shape, classes, rate, length, 100 + n) for n in range(2)], length)
    tenths: list[list[float]] = [[0, 0.0, 0.0] for _ in range(10)]
    brier: list[float] = []
    blank: list[float] = []
    rests: dict[int, list[int]] = {}
    for one in turns(shape, classes, rate, length, 100):
        rests.setdefault(one.cls, []).append(one.left)
    usual = {cls: mean(lefts) for cls, lefts in rests.items()}
    back = mean(float(left > 0) for lefts in rests.values() for left in lefts)
    kinds = ("own", "class", "own2", "class2", "known", "half", "next")
    off: dict[str, list[float]] = {kind: [] for kind in kinds}
    names: dict[str, int] = {}
    due: dict[int, float] = {}  # predicted next prompt, by session
    alike: dict[tuple[float, float, float], list[float]] = {}  # by prediction: turns, returns
    for seed in seeds:
        part = Sessions(Settings(slots=32_768), 7)
        assert part.adopt(0.0, body) and part.predictor is not None
        for _, (one, found) in replay(part, turns(shape, classes, rate, length, seed)):
            assert found is not None
            returns = float(one.away <= cells.HORIZON_MS)
            row = tenths[min(9, int(found.return_chance * 10.0))]
            row[0] += 1
            row[1] += found.return_chance
            row[2] += returns
            brier.append((found.return_chance - returns) ** 2)
            blank.append((back - returns) ** 2)
            guess = part.predictor.turns_left(found, one.number)
            known = expected_turns_left((ONCE, LOOP, TALK, CASE)[one.kind], one.number)
            off["known"].append(abs(known - one.left))
            off["own"].append(abs(guess - one.left))
            off["class"].append(abs(usual[one.cls] - one.left))
            off["own2"].append((guess - one.left) ** 2)
            off["class2"].append((usual[one.cls] - one.left) ** 2)
            if returns:
                off["half"].append(float(one.away <= found.median_return_ms))
            if one.session in due:
                off["next"].append(abs(due.pop(one.session) - one.prompt) / one.prompt)
            if one.left:
                due[one.session] = one.prompt + one.answer + found.growth_tokens
            names[found.cluster] = names.get(found.cluster, 0) + 1
            of = alike.setdefault((found.low, found.high, found.return_chance), [0, 0])
            of[0] += 1
            of[1] += returns
    tenth_rows = [
        {"turns": int(n), "stated": round(s / n, 4), "seen": round(k / n, 4)} for n, s, k in tenths if n
    ]
    sure = []
    for (low, high, chance), (n, back) in alike.items():
        drawn = 1.645 * (chance * (1.0 - chance) / n) ** 0.5  # sampling error of the observed share
        off_by, doubt = abs(back / n - chance), max(high - chance, chance - low)
        if n >= MIN_EQUAL_TURNS:
            sure.append(off_by <= (doubt**2 + drawn**2) ** 0.5)
    worst = max(abs(t["stated"] - t["seen"]) for t in tenth_rows if t["turns"] >= MIN_TENTH_TURNS)
    return {
        "mix": mix, "site": site, "turns": len(brier), "clusters": len(names),
        "brier": round(mean(brier), 4), "brier_of_the_mean": round(mean(blank), 4),
        "tenths": tenth_rows, "worst_tenth": round(worst, 4),
        "left_error_of_class_mean": round(mean(off["own"]) / mean(off["class"]), 3),
        "left_squared_error_of_class_mean": round((mean(off["own2"]) / mean(off["class2"])) ** 0.5, 3),
        "left_error_with_the_kind_known": round(mean(off["known"]) / mean(off["class"]), 3),
        "next_prompt_error": round(mean(off["next"]), 3),
        "within_stated_doubt": round(mean(sure), 3) if sure else None,
        "returned_within_median": round(mean(off["half"]), 3),
        "model_bytes": len(body), "evidence_bytes": max(map(len, bodies)), "fit_s": round(took, 3),
    }  # fmt: skip


# --- simulated reservations

ENGINE = {"memory_tokens": 100_000, "slots": 64, "speed": [0.9, 1.2], "chunk_tokens": 2048}
CLASSES: dict[str, list[dict[str, Any]]] = {
    "docs": [
        {"aim_ms": 3000.0, "deadline_ms": 15000.0, "late_share": 0.25},
        {"aim_ms": 1200.0, "deadline_ms": 6000.0, "worth": 3.0, "token_aim_ms": 80.0},
    ],
    "agents": [
        {"aim_ms": 1500.0, "deadline_ms": 6000.0, "token_aim_ms": 80.0},
        {"aim_ms": 900.0, "deadline_ms": 5000.0, "worth": 2.0, "token_aim_ms": 80.0},
    ],
}
SWEEP_INTERVAL_MS = 1000.0
EVICTION_WEIGHT = 1.0  # weight of the prefill cost of evicted prompts that must be read again


class ReservingPool(r.ReplicaPool):
    """The pool of replicas, with preferred replicas by session and the contents of their caches."""

    def __init__(
        self, settings: i.Settings, rng: Random, part: Sessions, facts: dict[str, CacheHint]
    ) -> None:
        super().__init__(settings, rng)
        self.part, self.facts = part, facts
        self.read = 0.0

    def preferred_replicas(self, request: r.Request, now: float) -> list[r.Replica]:
        """The replica that has the session's prompt, before those preferred by its key."""
        usual = super().preferred_replicas(request, now)
        hint = self.facts.get(request.id)
        home = self.replicas.get(hint.home) if hint is not None and hint.home else None
        if home is not None and home.serving:
            usual = [home, *(one for one in usual if one is not home)]
        return usual

    def predict_prefill(self, request: r.Request, rank: int) -> float:
        """Tokens to prefill: at the preferred replica, those that are not cached there."""
        hint = self.facts.get(request.id)
        self.read = super().predict_prefill(request, rank)
        if hint is not None and hint.home:
            self.read = float(request.prompt_tokens - (hint.cached_tokens if rank == 0 else 0))
        return self.read

    def predict_wait(self, replica: r.Replica, now: float, with_failures: bool = False) -> float:
        """When comparing choices, also count what the request would evict."""
        found = super().predict_wait(replica, now, with_failures)
        if not with_failures or self.part.moved_share > MAX_MOVED_SHARE:
            return found
        density = self.part.engine_reservations(now, replica.id).reuse_density
        return found + EVICTION_WEIGHT * r.PREFILL_COST_FACTOR / r.PREFILL_TOKENS_PER_MS * density * self.read


class OracleSessions(Sessions):
    """Predicts returns from the actual future of the trace."""

    def __init__(self, settings: Settings, who: int, asks: RequestTimes) -> None:
        super().__init__(settings, who)
        self.asks = asks

    def predict(self, now: float, key: int, cell: int) -> Prediction:
        """Predict the actual next request."""
        found = super().predict(now, key, cell)
        at = next((at for at in self.asks[key] if at > now), None)
        if at is None:
            return replace(found, return_chance=0.0)
        return replace(
            found, return_chance=1.0, p90_return_chance=1.0, p90_return_ms=at - now + SWEEP_INTERVAL_MS
        )


class SessionRouter:
    """The real decisions with session predictions; `asks`: request times for the oracle."""

    def __init__(self, settings: i.Settings, seed: int, body: bytes, asks: RequestTimes | None) -> None:
        options = Settings(routers=settings.nodes, slots=32_768)
        self.part = Sessions(options, seed) if asks is None else OracleSessions(options, seed, asks)
        assert self.part.adopt(0.0, body)
        self.facts: dict[str, CacheHint] = {}
        self.router = r.Router(settings, seed)
        self.router.pool = ReservingPool(settings, self.router.rng, self.part, self.facts)
        self.router.pool.full_wait_ms = self.router.full_wait_ms
        self.swept_at = 0.0
        self.asked: dict[str, i.RequestArrived] = {}

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Notify the sessions first, then the decisions."""
        for event in events:
            if isinstance(event, i.RequestArrived):
                self.asked[event.request] = event
                part, e = self.part, event
                hint = part.request_arrived(now, e.session, e.cls, e.tenant, e.prompt_tokens, e.shared_tokens)
                self.facts[event.request] = hint
            elif isinstance(event, i.AttemptEnded) and event.outcome is i.Outcome.SERVED:
                one = self.asked.get(event.request)
                if one is not None:
                    self.part.answer_ended(
                        now, one.session, event.replica, one.max_answer_tokens, event.kept_tokens
                    )
            elif isinstance(event, i.ReplicaList):
                for line in event.entries:
                    serving = line.state is i.ReplicaState.SERVING
                    self.part.update_engine(now, line.replica, serving, line.started_at_ms)
        if now - self.swept_at >= SWEEP_INTERVAL_MS:
            self.part.sweep(now)
            self.swept_at = now
            for name in [n for n in self.asked if n not in self.router.requests]:
                del self.asked[name], self.facts[name]
        return self.router.handle(now, events)


class CacheRecorder:
    """Wraps any decisions, and records the cached tokens reported in their responses."""

    def __init__(self, its: RoutingPolicy, seen: dict[str, tuple[i.RequestArrived, int]]) -> None:
        self.its, self.seen = its, seen
        self.open: dict[str, i.RequestArrived] = {}

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Record the events, and decide."""
        for event in events:
            if isinstance(event, i.RequestArrived):
                self.open[event.request] = event
            elif (
                isinstance(event, i.AttemptEnded)
                and event.outcome is i.Outcome.SERVED
                and event.request in self.open
            ):
                self.seen[event.request] = (self.open.pop(event.request), event.kept_tokens)
        return self.its.handle(now, events)


def trace(path: Path, mix: str, site: str, rate: float, length_s: float, seed: int) -> RequestTimes:
    """Write a trace in the simulator's format; returns the request times of each session, ms."""
    asks: RequestTimes = {}
    with path.open("wb") as out:
        for one in turns(MIXES[mix], SITES[site], rate, length_s, seed, QUICK_CASE):
            asks.setdefault(one.session, []).append(one.at)
            line = {
                "at_ms": one.at,
                "class": f"c{one.cls}",
                "prompt": one.prompt,
                "answer": one.answer,
                "tenant": f"t{one.tenant}",
                "session": f"{one.session:x}",
            }
            out.write(orjson.dumps(line) + b"\n")
    return asks


class StickyScenario(Scenario, frozen=True):
    """A load balancer that sends a session to the same router each time."""

    def routers_in_zone(self, routers: list[int], session: int) -> list[int]:
        """Choose one router by the session."""
        return [routers[session // 7 % len(routers)]]


def day(
    path: Path, site: str, engines: int, routers: int, length_s: float, lead_s: float, sticky: bool
) -> Scenario:
    """The simulator's scenario of a trace."""
    found = convert({
        "name": "sessions", "length_s": length_s - lead_s, "lead_s": lead_s,
        "engines": engines, "routers": routers, "load": {"per_engine": 1.0, "trace": str(path)},
        "kinds": {"engine": ENGINE},
        "classes": {f"c{n}": one for n, one in enumerate(CLASSES[site])},
        "tenants": {"t0": {"share": 0.6}, "t1": {"share": 0.4}},
    })  # fmt: skip
    names = [field.name for field in fields(Scenario)]
    return StickyScenario(**{name: getattr(found, name) for name in names}) if sticky else found


def play(
    scenario: Scenario, make: Callable[[i.Settings, int], RoutingPolicy], seed: int, asks: RequestTimes
) -> dict[str, Any]:
    """Simulate one scenario; the cached share of all prompts, and of those of returning sessions."""
    seen: dict[str, tuple[i.RequestArrived, int]] = {}
    made: list[RoutingPolicy] = []

    def heard(settings: i.Settings, number: int, truth: EngineOracle) -> RoutingPolicy:
        made.append(make(settings, number))
        return CacheRecorder(made[-1], seen)

    POLICIES["measured"] = heard
    simulation = Simulation(scenario, "measured", seed)
    report = simulation.play()
    lead = scenario.lead_ms()
    prompts = kept = back = anew = 0
    first = [x.first_ms for x in simulation.clients.records if x.planned.at_ms >= lead and x.first_ms >= 0.0]
    left: dict[int, int] = {}  # tokens of each session's last turn
    begun = {session: at[0] for session, at in asks.items()}
    for one, found in seen.values():
        before = left.get(one.session, 0)
        left[one.session] = one.prompt_tokens + one.max_answer_tokens
        if begun[one.session] < lead:
            continue  # skip sessions that started in the lead time
        prompts += one.prompt_tokens
        kept += found
        if before:
            back += min(before, one.prompt_tokens)
            anew += max(0, min(before, one.prompt_tokens) - found)
    session_routers = [one for one in made if isinstance(one, SessionRouter)]
    return {
        "worth": report["worth"], "kept_share": round(kept / max(1, prompts), 4),
        "anew": anew, "anew_share": round(anew / max(1, back), 4),
        "first_p95_ms": round(percentile(first, 95), 1),
        "decision_us": report["run"]["decision_us_a_request"],
        "reserved": sum(t.part.reservations.reserved_tokens for t in session_routers),
    }  # fmt: skip


def compare_reservations(
    mix: str, site: str, engines: int, routers: int, rate: float, length_s: float, seed: int, sticky: bool
) -> dict[str, Any]:
    """The same trace without reservations, with them, and with an oracle's predictions."""
    learnt, _, _ = learn(
        [turns(MIXES[mix], SITES[site], 1.0, 3600.0, 300 + n, QUICK_CASE) for n in range(2)], 3600.0
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "day.jsonl"
        asks = trace(path, mix, site, rate, length_s, seed)
        scenario = day(path, site, engines, routers, length_s, 0.25 * length_s, sticky)
        makes: dict[str, Callable[[i.Settings, int], RoutingPolicy]] = {
            "plain": lambda settings, number: r.Router(settings, number),
            "reserved": lambda settings, number: SessionRouter(settings, number, learnt, None),
            "oracle": lambda settings, number: SessionRouter(settings, number, learnt, asks),
        }
        found = {name: play(scenario, make, seed, asks) for name, make in makes.items()}
    return {"mix": mix, "site": site, "routers": routers, "requests": sum(map(len, asks.values())), **found}


# --- cost


def cost(short: bool) -> dict[str, Any]:
    """Processor time per request here, sweeps included, against that of the decisions alone, in turn."""
    shape, classes = MIXES["even"], SITES["docs"]
    body, _, took = learn([turns(shape, classes, 1.0, 3600.0, 300, QUICK_CASE)], 3600.0)
    own, decisions = [], []
    for seed in range(3 if short else 9):
        asked = list(turns(shape, classes, 3.0, 300.0, seed, QUICK_CASE))
        spent = []
        for make in (Sessions, NullSessions):
            part = make(Settings(slots=32_768), 7)
            assert part.adopt(0.0, body)
            begin = process_time_ns()
            for _ in replay(part, iter(asked)):
                pass
            spent.append(process_time_ns() - begin)
        own.append((spent[0] - spent[1]) / 1000.0 / len(asked))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "day.jsonl"
            asks = trace(path, "even", "docs", 3.0, 60.0, seed)
            scenario = day(path, "docs", 8, 1, 60.0, 1.0, True)
            timed = TimedRouter(scenario.settings(0), seed)
            play(scenario, partial(existing, timed), seed, asks)
        decisions.append(timed.spent_ns / 1000.0 / timed.taken)
    return {
        "us_a_request": round(median(own), 1), "decision_us": round(median(decisions), 1),
        "of_a_decision": round(median(a / b for a, b in zip(own, decisions, strict=True)), 3),
        "fit_s": round(took, 3),
    }  # fmt: skip


def existing(timed: TimedRouter, settings: i.Settings, seed: int) -> RoutingPolicy:
    """Return the policy that was made before."""
    return timed


class TimedRouter:
    """Measures the processor time of the real decisions; the simulator's own figure is wall time."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.its = r.Router(settings, seed)
        self.spent_ns = self.taken = 0

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Decide, and add up the time."""
        self.taken += sum(isinstance(event, i.RequestArrived) for event in events)
        begin = process_time_ns()
        actions = self.its.handle(now, events)
        self.spent_ns += process_time_ns() - begin
        return actions


class NullSessions(Sessions):
    """Does nothing, to measure the cost of the measurement itself."""

    def request_arrived(
        self, now: float, key: int, cls: int, tenant: int, prompt: int, shared: int
    ) -> CacheHint:
        """Nothing."""
        return UNKNOWN_HINT

    def answer_ended(self, now: float, key: int, engine: str, answer: int, kept: int) -> Prediction | None:
        """Nothing."""
        return None

    def sweep(self, now: float) -> None:
        """Nothing."""


def memory() -> dict[str, Any]:
    """Resident memory of 100,000 sessions with their reservations, in a process of its own."""
    done = subprocess.run([sys.executable, __file__, "--memory"], capture_output=True, check=True)
    found: dict[str, Any] = orjson.loads(done.stdout)
    return found


def resident_bytes() -> int:
    """Resident memory of this process in bytes."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


def fill_table() -> dict[str, Any]:
    """Fill a table with 100,000 sessions that wait between turns."""
    body, _, _ = learn([turns(MIXES["even"], SITES["docs"], 1.0, 1800.0, 300)], 1800.0)
    rng = Random(1)
    before = resident_bytes()
    part = Sessions(Settings(), 7)
    assert part.adopt(0.0, body)
    for n in range(64):
        for poured in (100.0, 5e4, 2e5):
            part.retention.observe(n % 50, poured, poured, 1000, 1000 if poured < 1e5 else 0)
    for n in range(100_000):
        key = rng.getrandbits(62) | 1
        part.request_arrived(n * 0.1, key, n % 2, n % 5, rng.randint(100, 3000), 0)
        part.answer_ended(n * 0.1, key, f"e{n % 50}", rng.randint(30, 300), 0)
    return {
        "bytes": resident_bytes() - before, "columns": part.table.size_bytes(), "sessions": part.table.count,
        "reservations": len(part.reservations.by_key),
    }  # fmt: skip


# --- libraries, if they are installed


def compare_libraries() -> dict[str, Any]:
    """Fit libraries to the same evidence: how well each predicts the next trace, and at what cost.

    scikit-learn's mixture gets the cells' centres, repeated by count; river's k-means each turn, one by one;
    lifelines the waits of one stage, to compare with this project's curve.
    """
    made: dict[str, Any] = {}
    shape, classes, length = MIXES["questions"], SITES["agents"], 5_400.0
    days = [list(turns(shape, classes, 1.0, length, 100 + n)) for n in range(2)]
    states = [list(features(day)) for day in days]
    returns = [[float(one.away <= cells.HORIZON_MS) for one in day] for day in days]
    body, _, took = learn([iter(days[0])], length)
    ours = Sessions(Settings(slots=32_768), 7)
    assert ours.adopt(0.0, body)
    got = [
        (found.return_chance - (one.away <= cells.HORIZON_MS)) ** 2
        for _, (one, found) in replay(ours, iter(days[1]))
        if found is not None
    ]
    made["own"] = {"brier": round(mean(got), 4), "fit_s": round(took, 3), "import_bytes": 0}
    for name, fit in (("scikit-learn", by_sklearn), ("river", by_river)):
        before, begin = resident_bytes(), perf_counter()
        try:
            whose = fit()
        except ImportError:
            continue
        imported, begin = resident_bytes() - before, perf_counter()
        first, second = whose(states[0], states[1])
        rates: dict[Any, list[float]] = {}
        for key, back in zip(first, returns[0], strict=True):
            rates.setdefault(key, []).append(back)
        usual = mean(returns[0])
        guess = [(sum(rates[k]) + 4 * usual) / (len(rates[k]) + 4) if k in rates else usual for k in second]
        made[name] = {
            "brier": round(mean((g - b) ** 2 for g, b in zip(guess, returns[1], strict=True)), 4),
            "fit_s": round(perf_counter() - begin, 3), "import_bytes": imported,
        }  # fmt: skip
    try:
        before = resident_bytes()
        lifelines = importlib.import_module("lifelines")
    except ImportError:
        return made
    imported, begin = resident_bytes() - before, perf_counter()
    waits = [min(one.away, cells.HORIZON_MS * 2) for one in days[0] if one.number == 1]
    meier = lifelines.KaplanMeierFitter().fit(waits, [w <= cells.HORIZON_MS for w in waits])
    took = perf_counter() - begin
    one = Sessions(Settings(slots=32_768), 7)
    for _ in replay(one, iter(days[0])):
        pass
    stays, apart = 1.0, 0.0
    first_turns = [c for cell, c in one.evidence.now.items() if cells.parts(cell)[1] == 0]
    for n, edge in enumerate(cells.EDGES_MS):
        back, stay = sum(c.returned[n] for c in first_turns), sum(c.outlasted[n] for c in first_turns)
        stays *= 1.0 - back / max(1, back + stay)
        apart = max(apart, abs(stays - float(meier.predict(edge))))
    made["lifelines"] = {"curve_apart": round(apart, 4), "fit_s": round(took, 3), "import_bytes": imported}
    return made


def features(day: list[Turn]) -> Iterator[tuple[int, float, float, float, int]]:
    """Yield the features of a cell: stage, mean gap, growth and response length in octaves, and class."""
    means: dict[int, list[float]] = {}
    for one in day:
        its = means.setdefault(one.session, [-1.0, 0.0, 0.0, 0.0, 0.0])  # gap, growth, answer, context, away
        n = one.number
        if n > 1:
            gap = cells.octave(its[4] / cells.GAP_BASE_MS)
            its[0] = gap if its[0] < 0.0 else its[0] + (gap - its[0]) / (n - 1)
        its[1] += (cells.octave(max(1.0, one.prompt - its[3])) - its[1]) / n
        its[2] += (cells.octave(one.answer + 1.0) - its[2]) / n
        its[3], its[4] = float(one.prompt + one.answer), one.away
        yield cells.stage(n), its[0], its[1], its[2], one.cls


Clustering = Callable[[list[Any], list[Any]], tuple[list[Any], list[Any]]]


def by_sklearn() -> Clustering:
    """Cluster and stage of each turn by a Gaussian mixture with the best information criterion."""
    numpy = importlib.import_module("numpy")
    mixture = importlib.import_module("sklearn.mixture")

    def whose(first: list[Any], second: list[Any]) -> tuple[list[Any], list[Any]]:
        rows = numpy.array(first)[:, 1:]
        fits = [mixture.GaussianMixture(k, random_state=1).fit(rows) for k in range(1, 9)]
        best = min(fits, key=lambda one: one.bic(rows))
        both = (zip(best.predict(numpy.array(its)[:, 1:]), its, strict=True) for its in (first, second))
        labels = [[(int(k), one[0]) for k, one in pairs] for pairs in both]
        return labels[0], labels[1]

    return whose


def by_river() -> Clustering:
    """Cluster and stage of each turn by incremental k-means."""
    cluster = importlib.import_module("river.cluster")

    def whose(first: list[Any], second: list[Any]) -> tuple[list[Any], list[Any]]:
        made = cluster.KMeans(n_clusters=8, seed=1)
        for one in first:
            made.learn_one(dict(enumerate(one[1:])))

        def of(its: list[Any]) -> list[Any]:
            return [(made.predict_one(dict(enumerate(one[1:]))), one[0]) for one in its]

        return of(first), of(second)

    return whose


# --- everything

# New sessions per second, for eight engines.
RATES = {"even": 3.0, "questions": 7.0, "loops": 2.0, "cases": 4.0}
FRONTS = ((1, True), (4, True), (4, False))  # routers; whether a session stays with one


def main() -> dict[str, Any]:
    """Measure everything and return it as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    arguments.add_argument("--memory", action="store_true", help="only fill a table; used by the full run")
    arguments.add_argument("--libraries", action="store_true", help="only the libraries that are installed")
    args = arguments.parse_args()
    if args.memory:
        return fill_table()
    if args.libraries:
        return compare_libraries()
    short = args.short
    pairs = [("questions", "docs")] if short else [(mix, site) for mix in MIXES for site in SITES]
    days = [("questions", "docs", FRONTS[0])] if short else [
        (mix, site, front) for mix, site in pairs for front in FRONTS if front == FRONTS[0] or site == "docs"
    ]  # fmt: skip
    length, seeds = (200.0, (1,)) if short else (300.0, (1, 2, 3))
    with ProcessPoolExecutor(1 if short else 2, mp_context=get_context("spawn")) as pool:
        all_stated = [pool.submit(calibration, mix, site, short, (1,)) for mix, site in pairs]
        all_days = [
            [
                pool.submit(compare_reservations, mix, site, 8, front[0], RATES[mix], length, seed, front[1])
                for seed in seeds
            ]
            for mix, site, front in days
        ]
        calibrations = [one.result() for one in all_stated]
        results = [[one.result() for one in its] for its in all_days]
    played_days = []
    for (mix, site, (routers, sticky)), each in zip(days, results, strict=True):
        read = {name: sum(one[name]["anew"] for one in each) for name in ("plain", "reserved", "oracle")}
        played_days.append({
            "mix": mix, "site": site, "routers": routers, "sticky": sticky, "days": each,
            "anew_of_plain": round(read["reserved"] / max(1, read["plain"]), 3),
            "oracle_of_plain": round(read["oracle"] / max(1, read["plain"]), 3),
            "worth": round(mean(one["reserved"]["worth"] - one["plain"]["worth"] for one in each), 5),
        })  # fmt: skip
    costs, held = cost(short), memory()
    # Bounds that hold by construction; goals that are not reached are reported below and in the docs.
    holds = (
        all(one["worst_tenth"] <= 1.5 * TENTH_TOLERANCE for one in calibrations)
        and all(its["worth"] >= -WORTH_TOLERANCE for its in played_days)
        and all(its["anew_of_plain"] <= 1.02 for its in played_days)
        and held["bytes"] <= MAX_MEMORY_BYTES
    )
    goals = {
        "tenths_within_5_points": all(one["worst_tenth"] <= TENTH_TOLERANCE for one in calibrations),
        "turns_left_a_third_less": all(
            one["left_error_of_class_mean"] <= 1 - MIN_TURNS_GAIN for one in calibrations
        ),
        "a_quarter_less_read_anew": all(its["anew_of_plain"] <= 1 - MIN_REREAD_GAIN for its in played_days),
        "worth_within_half_a_percent": all(its["worth"] >= -WORTH_TOLERANCE for its in played_days),
        "a_tenth_of_a_decision": costs["of_a_decision"] <= MAX_COST_SHARE,
        "sessions_within_16_mb": held["bytes"] <= MAX_MEMORY_BYTES,
    }
    return {
        "name": "sessions", "holds": holds, "goals": goals, "calibration": calibrations,
        "reservations": played_days, "cost": costs, "memory": held,
    }  # fmt: skip


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result.get("holds", True) else 1)
