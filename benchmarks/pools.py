"""Measures the worth of splitting the pool into prefill and decode, with the router's real decisions.

    python benchmarks/pools.py [--short] [--large]

Each scenario is run with no split, with the learned split, with half of the engines for prefill, and with
every fixed number of prefill engines; the same requests each time. The routers' decisions are those of
`spoolbarrow.router`; `SplitRouter` adds the inputs that docs/pools.md proposes (the side of a request, the
side of an engine).
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow import interface as i  # noqa: E402
from spoolbarrow.hash_ring import HashRing  # noqa: E402
from spoolbarrow.lab import policies  # noqa: E402
from spoolbarrow.lab.arrivals import draw_requests  # noqa: E402
from spoolbarrow.lab.policies import EngineOracle, RoutingPolicy  # noqa: E402
from spoolbarrow.lab.run_report import Record, percentile  # noqa: E402
from spoolbarrow.lab.scenario import Scenario, convert  # noqa: E402
from spoolbarrow.lab.simulate import Simulation  # noqa: E402
from spoolbarrow.pools import Engine, Pools, sketch, split  # noqa: E402
from spoolbarrow.router import Replica, ReplicaPool, Request, Router  # noqa: E402

# Predicted wait added to an engine of the other side, in latency objectives.
PREFILL_FEE, DECODE_FEE = 0.1, 1.0
OWN_PROBE_SHARE = 0.7  # of spare probes, to the request's own side
SUMMARY_INTERVAL_MS = 1000.0  # between a router's summaries
DECISION_INTERVAL_MS = 2000.0  # between decisions
TIMER = "pools"
PREFILL_COST_MS, DECODE_COST_MS = 0.0667, 0.5  # engine time per prefill token, and roughly per decode token
LEAD_S = 40.0  # until there is evidence and the split is established
# In worth, against the best fixed split, and against no split.
MAX_LOSS_TO_BEST, MAX_LOSS_TO_NONE = 0.03, 0.01
MAX_FOLLOW_S, MAX_MOVES_PER_HOUR = 30.0, 2.0
ROUTERS_PER_ENGINE = 0.5
MAX_QUANTILE_ERROR = 0.05  # of a quantile from a summary


# --- the router with sides


class SplitPool(ReplicaPool):
    """The pool of replicas, in which those of the other side have a longer predicted wait."""

    side_of: Callable[[str], bool | None] = staticmethod(lambda name: None)
    asking: bool | None = None  # side of the request being placed
    fee = 0.0

    def predict_wait(self, replica: Replica, now: float, with_failures: bool = False) -> float:
        """Add the fee when comparing costs, but not when checking whether the fleet is full."""
        found = super().predict_wait(replica, now, with_failures)
        other = with_failures and self.asking is not None and self.side_of(replica.id) is not self.asking
        return found + self.fee if other else found


class SplitRouter(Router):
    """The router with the sides of requests and of replicas."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.pool: SplitPool = SplitPool(settings, self.rng)
        self.configure(settings)
        self.sides: dict[str, bool] = {}  # of open requests
        self.side: Callable[[i.RequestArrived], bool | None] = lambda event: None

    def _on_request(self, event: i.RequestArrived) -> None:
        side = self.side(event)
        pool = self.pool
        if side is None:
            return super()._on_request(event)
        self.sides[event.request] = side
        whole = pool.local_ring, pool.local
        near = [replica for replica in pool.local if pool.side_of(replica.id) is side]
        if near:
            # Preferred replicas are on the own side, whose loads are probed more often than the other's.
            pool.local_ring = HashRing()
            pool.local_ring.update(near, near)
            if self.rng.random() < OWN_PROBE_SHARE:
                pool.local = [r for r in pool.local if pool.side_of(r.id) is side]
        try:
            super()._on_request(event)
        finally:
            pool.local_ring, pool.local = whole

    def _cheapest(self, request: Request, *args: Any, **kwargs: Any) -> Any:
        self.pool.asking = self.sides.get(request.id)
        self.pool.fee = (PREFILL_FEE if self.pool.asking else DECODE_FEE) * request.objective_ms
        return super()._cheapest(request, *args, **kwargs)

    def _close(self, request: Request) -> None:
        super()._close(request)
        self.sides.pop(request.id, None)


def fixed(readers: frozenset[str], cls: int) -> Callable[[i.Settings, int, EngineOracle], RoutingPolicy]:
    """Routers with a fixed split: one class is prefill, on these engines."""

    def make(settings: i.Settings, seed: int, truth: EngineOracle) -> RoutingPolicy:
        router = SplitRouter(settings, seed)
        if readers:
            router.side = lambda event: event.cls == cls
            router.pool.side_of = lambda name: name in readers
        return router

    return make


class SharedStore:
    """Stands in for the store and the lease: the newest summaries, and the decision made from them."""

    def __init__(self) -> None:
        self.bodies: dict[int, bytes] = {}
        self.decision: bytes | None = None
        self.decided_ms = 0.0
        self.history: list[tuple[float, int, str]] = []  # time, number of prefill engines, reason
        self.said = 0  # bytes
        self.decision_s: list[float] = []
        self.moves: list[float] = []

    def turn(self, now: float, node: int, pools: Pools) -> None:
        """Publish a router's summary; the first router decides, and all adopt the decision."""
        self.bodies[node] = pools.summary(now)
        self.said += len(self.bodies[node])
        if node == 0 and now - self.decided_ms >= DECISION_INTERVAL_MS:
            self.decided_ms = now
            begin = time.perf_counter()
            new = pools.decide(now, list(self.bodies.values()), self.decision)
            self.decision_s.append(time.perf_counter() - begin)
            if new is not None:
                self._note(now, split.decode_plan(new), split.decode_plan(self.decision))
                self.decision = new
        pools.adopt(now, self.decision)

    def _note(self, now: float, new: split.Plan | None, old: split.Plan | None) -> None:
        assert new is not None, "what was decided can be read"
        self.history.append((now, len(new.prefill_engines), new.reason))
        if new.prefill_engines != (old.prefill_engines if old is not None else []):
            self.moves.append(now)


class LearningRouter(SplitRouter):
    """Routers that learn the split from the results of their requests."""

    def __init__(self, settings: i.Settings, seed: int, store: SharedStore) -> None:
        super().__init__(settings, seed)
        self.store = store
        total = sum(t.portion for t in settings.tenants)
        self.pools = Pools(0.0, settings.classes, [t.portion / total for t in settings.tenants])
        self.pool.side_of = self.pools.is_prefill_engine
        self.side = lambda event: self.pools.is_prefill_request(event.cls, event.prompt_tokens)
        # Arrival time, and the time of the first token.
        self.open: dict[str, tuple[i.RequestArrived, float, float]] = {}
        self.timer_set = False

    def handle(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Decide as usual, and record the events."""
        rest = []
        turned = not self.timer_set
        for event in events:
            if isinstance(event, i.TimerFired) and event.token == TIMER:
                turned = True
                continue
            rest.append(event)
            self._note(now_ms, event)
        actions = super().handle(now_ms, rest)
        for action in actions:
            if isinstance(action, (i.Refuse, i.Fail)) and action.request in self.open:
                event, _, _ = self.open.pop(action.request)
                self.pools.recorder.record_answer(now_ms, event.cls, event.tenant, 0, False, True)
        if turned:
            self.timer_set = True
            self.pools.set_engines({
                name: Engine(str(r.kind), r.zone, 0.0 < now_ms - r.started_at < self.settings.cold_ms
                             and r.started_at > 0.0)
                for name, r in self.pool.replicas.items() if r.serving
            })  # fmt: skip
            self.store.turn(now_ms, self.settings.node, self.pools)
            actions = [*actions, i.SetTimer(TIMER, SUMMARY_INTERVAL_MS)]
        return actions

    def _note(self, now: float, event: i.Event) -> None:
        notes = self.pools.recorder
        if isinstance(event, i.RequestArrived):
            self.open[event.request] = (event, now, 0.0)
        elif isinstance(event, i.StreamStarted) and event.request in self.open:
            one, came, _ = self.open[event.request]
            self.open[event.request] = (one, came, now)
        elif isinstance(event, i.ProbeAnswered) and event.report is not None:
            replica, report = self.pool.replicas.get(event.replica), event.report
            if replica is not None:
                notes.record_load(now, str(replica.kind), report.busy_share, report.memory_share)
        elif isinstance(event, i.RequestGone) and event.request in self.open:
            one, _, first = self.open.pop(event.request)
            self._record_request(now, one, -1.0)
            notes.record_answer(now, one.cls, one.tenant, 0, False, first == 0.0)
        elif isinstance(event, i.AttemptEnded) and event.closed and event.request in self.open:
            one, came, first = self.open.pop(event.request)
            whole = event.outcome is i.Outcome.SERVED
            tokens = one.max_answer_tokens if whole else 0
            unread = one.prompt_tokens - event.kept_tokens
            self._record_request(now, one, unread if whole else -1.0)
            cls = self.settings.classes[one.cls]
            pace = (now - first) / max(1, tokens - 1)
            late = (
                not whole
                or first - came > cls.aim(one.prompt_tokens)
                or (0.0 < cls.token_aim_ms < pace and tokens > 1)
            )
            notes.record_answer(now, one.cls, one.tenant, tokens, whole, late)
            replica = self.pool.replicas.get(event.replica)
            if whole and replica is not None:
                sent = event.lag_ms - (now - first)
                notes.record_timing(now, str(replica.kind), unread, sent, tokens, now - first)

    def _record_request(self, now: float, event: i.RequestArrived, unread: float) -> None:
        notes = self.pools.recorder
        if unread < 0.0:
            unread = notes.expected_unread(event.cls, event.tenant, event.prompt_tokens)
        notes.record_request(now, event.cls, event.tenant, event.prompt_tokens, unread)


# --- scenarios


PREFILL_CLASS = {"aim_ms": 1500.0, "deadline_ms": 6000.0, "token_aim_ms": 0.0, "new_tokens": [4000, 12000],
         "answer_tokens": [8, 32], "openings": 0, "opening_share": 0.0, "turns": 1.0}  # fmt: skip
DECODE_CLASS = {"aim_ms": 600.0, "deadline_ms": 4000.0, "token_aim_ms": 40.0, "new_tokens": [50, 300],
          "answer_tokens": [150, 500], "openings": 0, "opening_share": 0.0, "turns": 1.0}  # fmt: skip


def mixed_scenario(
    reading: float, load: float, engines: int = 8, length_s: float = 40.0, **changes: Any
) -> Scenario:
    """A scenario with this share of the engines' work in prefill, at this load relative to their capacity."""
    mean_read, mean_write = 7300.0 * PREFILL_COST_MS, 290.0 * DECODE_COST_MS + 130.0 * PREFILL_COST_MS
    reads, writes = reading / mean_read, (1.0 - reading) / mean_write
    return convert({
        "name": f"{reading:g} reading at {load:g}", "length_s": length_s, "lead_s": LEAD_S,
        "engines": engines, "routers": max(2, round(ROUTERS_PER_ENGINE * engines)),
        "load": {"per_engine": load * 1000.0 * (reads + writes)},
        "classes": {"read": {"share": reads, **PREFILL_CLASS}, "write": {"share": writes, **DECODE_CLASS}},
        **changes,
    })  # fmt: skip


SESSION_CLASS = {"aim_ms": 1000.0, "deadline_ms": 5000.0, "token_aim_ms": 60.0, "new_tokens": [200, 2000],
         "answer_tokens": [40, 200], "openings": 10, "opening_tokens": [2000, 4000], "turns": 5.0,
         "think_s": [1.0, 6.0]}  # fmt: skip


def session_scenario(per_engine: float, share: float) -> Scenario:
    """A scenario in which this share of the requests is in growing sessions with cached prompts."""
    rest = (1.0 - share) / 2.0
    return convert({
        "name": f"{share:g} in sessions at {per_engine:g}", "length_s": 40.0, "lead_s": LEAD_S, "engines": 8,
        "routers": 4, "load": {"per_engine": per_engine},
        "classes": {"read": {"share": rest, **PREFILL_CLASS}, "write": {"share": rest, **DECODE_CLASS},
                    "session": {"share": share / 5.0, **SESSION_CLASS}},
    })  # fmt: skip


class RunResult(msgspec.Struct):
    """The results of one run."""

    worth: float
    first_ms: list[float]  # by class, 95th percentile
    pace_ms: list[float]
    requests: int
    history: list[tuple[float, int, str]] = []
    moves: list[float] = []
    said: float = 0.0  # bytes per router and second
    decide_ms: float = 0.0


def play(
    scenario: Scenario, seed: int, make: Callable[[i.Settings, int, EngineOracle], RoutingPolicy]
) -> RunResult:
    """Simulate one scenario with these routers."""
    policies.POLICIES["pools"] = make
    simulation = Simulation(scenario, "pools", seed)
    report = simulation.play()
    assert not report["rules_broken"], report["rules_broken"]
    records = [r for r in simulation.clients.records if r.planned.at_ms >= scenario.lead_ms()]
    by_class = [[r for r in records if r.planned.cls == n] for n in range(len(scenario.classes))]
    return RunResult(
        report["worth"],
        [round(percentile([r.first_ms for r in some if r.first_ms >= 0.0], 95), 1) for some in by_class],
        [round(percentile([_pace(r) for r in some if r.outcome == "served"], 95), 2) for some in by_class],
        len(records),
    )


def _pace(record: Record) -> float:
    return (record.end_ms - record.first_ms) / max(1, record.planned.answer - 1)


def play_learned(scenario: Scenario, seed: int) -> RunResult:
    """Simulate a scenario with the learned split."""
    store = SharedStore()
    played = play(scenario, seed, lambda settings, its, truth: LearningRouter(settings, its, store))
    whole = scenario.total_s() * scenario.routers
    return msgspec.structs.replace(
        played, history=store.history, moves=store.moves, said=store.said / whole,
        decide_ms=1000.0 * percentile(store.decision_s, 50),
    )  # fmt: skip


def pick_engines(scenario: Scenario, seed: int, count: int) -> frozenset[str]:
    """The first `count` engines of the scenario."""
    return frozenset(sorted(Simulation(scenario, "random", seed).engines.by_id)[:count])


def compared(scenario: Scenario, seeds: tuple[int, ...], tries: list[int]) -> dict[str, Any]:
    """Compare one mix without a split, with the learned one, with halves, and with the best fixed one.

    The best fixed one is the number of prefill engines with the highest mean worth over the seeds; no split
    is one of the candidates.
    """
    half = scenario.engines // 2
    counts = sorted({0, half, *tries})
    plays = {n: [play(scenario, s, fixed(pick_engines(scenario, s, n), 0)) for s in seeds] for n in counts}
    own = [play_learned(scenario, seed) for seed in seeds]
    worth = {n: mean([one.worth for one in some]) for n, some in plays.items()}
    best = max(worth, key=lambda n: worth[n])
    ours = mean([one.worth for one in own])
    both = {"none": plays[0], "learnt": own}
    return {
        "day": scenario.name, "engines": scenario.engines, "requests": sum(one.requests for one in own),
        "none": round(worth[0], 4), "learnt": round(ours, 4), "halves": round(worth[half], 4),
        "best": round(worth[best], 4), "best_readers": best,
        "fixed": {n: round(w, 4) for n, w in worth.items()},
        "readers": [one.history[-1][1] if one.history else 0 for one in own],
        "against_none": [round(one.worth - two.worth, 4) for one, two in zip(own, plays[0], strict=True)],
        "behind_best": round(worth[best] - ours, 4),
        "first_ms_p95": {name: means([p.first_ms for p in some]) for name, some in both.items()},
        "pace_ms_p95": {name: means([p.pace_ms for p in some]) for name, some in both.items()},
        "bytes_a_router_s": round(mean([one.said for one in own])),
        "decide_ms": round(mean([one.decide_ms for one in own]), 1),
    }  # fmt: skip


def mean(values: list[float]) -> float:
    """The mean."""
    return sum(values) / len(values)


def means(rows: list[list[float]]) -> list[float]:
    """The mean of each column."""
    return [round(mean(list(column)), 1) for column in zip(*rows, strict=True)]


def turning(engines: int, seed: int, phase_s: float = 90.0) -> dict[str, Any]:
    """Make prompts three times as long at one time, and change back: how soon the split settles."""
    phases = (1.0, 3.0, 1.0)
    lines = []
    for n, factor in enumerate(phases):
        part = mixed_scenario(0.45, 0.65, engines, phase_s * len(phases) - LEAD_S)
        turned = msgspec.structs.replace(part.classes["read"], new_tokens=(2400.0 * factor, 7200.0 * factor))
        part = msgspec.structs.replace(part, classes=part.classes | {"read": turned})
        for one in draw_requests(part, [], Random(f"{seed} {n}")):
            if n * phase_s <= one.at_ms / 1000.0 < (n + 1) * phase_s:
                lines.append({"at_ms": one.at_ms, "class": ("read", "write")[one.cls], "prompt": one.prompt,
                              "answer": one.answer, "session": f"{one.session:x}"})  # fmt: skip
    made = mixed_scenario(0.45, 0.65, engines, phase_s * len(phases) - LEAD_S)
    with tempfile.NamedTemporaryFile() as trace:
        trace.write(b"\n".join(map(orjson.dumps, lines)))
        trace.flush()
        made = msgspec.structs.replace(made, load=msgspec.structs.replace(made.load, trace=trace.name))
        none, own = play(made, seed, fixed(frozenset(), 0)), play_learned(made, seed)
    slack = max(1, engines // split.ENGINES_PER_MOVE)
    follows, settled = [], []
    for n in range(len(phases)):
        begin, end = n * phase_s * 1000.0, (n + 1) * phase_s * 1000.0
        last = [readers(own.history, begin + (end - begin) * x / 30.0) for x in range(20, 30)]
        settled.append(sorted(last)[len(last) // 2])
        away = [at for at in range(int(begin), int(end), 1000)
                if abs(readers(own.history, at) - settled[-1]) > slack]  # fmt: skip
        if n > 0:
            follows.append(max(0.0, (max(away) + 1000.0 - begin) / 1000.0) if away else 0.0)
    return {"engines": engines, "readers": settled, "follow_s": follows,
            "none": round(none.worth, 4), "learnt": round(own.worth, 4),
            "history": [(round(at / 1000.0), n) for at, n, _ in own.history]}  # fmt: skip


def readers(history: list[tuple[float, int, str]], at: float) -> int:
    """The number of prefill engines at a time."""
    return next((n for when, n, _ in reversed(history) if when <= at), 0)


def steady(reading: float, load: float, length_s: float, seed: int) -> dict[str, Any]:
    """Run one constant mix for long: moves per hour once the split is established."""
    own = play_learned(mixed_scenario(reading, load, length_s=length_s), seed)
    moves = [at for at in own.moves if at >= 2.0 * LEAD_S * 1000.0]
    hours = (length_s - LEAD_S) / 3600.0
    return {"reading": reading, "load": load, "s": length_s, "moves": len(moves),
            "an_hour": round(len(moves) / hours, 2)}  # fmt: skip


def quantile_errors(seed: int) -> dict[str, float]:
    """Largest relative error of quantiles in a summary against the drawn values, also of censored data."""
    rng, pools = Random(seed), Pools(0.0, ())
    prompts: list[float] = []
    wholes: list[float] = []
    for n in range(8000):
        at = n * 0.5  # all within a fraction of the half-life, so that aging does not affect the result
        prompt, whole = round(100 * 120 ** rng.random()), max(1, round(rng.expovariate(1 / 300.0)))
        left = round(rng.expovariate(1 / 600.0))
        prompts.append(prompt)
        wholes.append(whole)
        pools.recorder.record_request(at, 0, 0, prompt, prompt)
        pools.recorder.record_answer(at, 0, 0, min(whole, left), whole <= left, False)
    cell = pools.recorder.stats.cells[0, 0]
    sketches = {"prompt": cell.prompts, "answer, a third cut": sketch.kaplan_meier(cell.ended, cell.cut),
            "answer, cut ones left out": cell.ended}  # fmt: skip
    found = {}
    for name, counts in sketches.items():
        true = sorted(prompts if name == "prompt" else wholes)
        found[name] = max(
            abs(sketch.quantile(counts, q) - true[int(q * len(true))]) / (true[int(q * len(true))] + 1.0)
            for q in (0.1, 0.25, 0.5, 0.75, 0.9)
        )
    return {name: round(error, 4) for name, error in found.items()}


MIXES = (0.05, 0.2, 0.5, 0.8, 0.95)


def _perform(job: tuple[Callable[..., Any], Any]) -> Any:
    call, arguments = job
    return call(*arguments)


def main() -> dict[str, Any]:
    """Measure everything; the short form has three mixes once, one change and the quantile errors."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else None)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--large", action="store_true", help="200 engines as well; some ten minutes more")
    args = parser.parse_args()
    short = args.short
    jobs: list[tuple[Callable[..., Any], Any]] = []
    if short:
        mixes = ((0.2, 0.85), (0.5, 0.7), (0.8, 0.85))
        jobs = [
            (compared, (mixed_scenario(reading, load), (21,), [2, 4, 5, 6, 7])) for reading, load in mixes
        ]
        jobs += [(turning, (8, 21))]
    else:
        jobs = [(steady, (reading, load, 3640.0, 21)) for reading, load in ((0.5, 0.7), (0.8, 0.85))]
        jobs += [(turning, (engines, seed)) for engines, seed in ((8, 21), (8, 22), (32, 21))]
        jobs += [(compared, (mixed_scenario(0.5, 0.75, 32), (21,), [8, 12, 20, 24]))]
        jobs += [
            (compared, (session_scenario(load, share), (21, 22), []))
            for load in (2.0, 3.0)
            for share in (0.3, 0.8)
        ]
        jobs += [(compared, (mixed_scenario(reading, load), (21, 22), list(range(1, 8))))
                 for load in (0.5, 0.7, 0.85) for reading in MIXES]  # fmt: skip
    if args.large:
        jobs += [(compared, (mixed_scenario(0.5, 0.75, 200, 20.0), (21,), [75, 125]))]
    found: dict[str, list[Any]] = {"compared": [], "turning": [], "steady": []}
    with ProcessPoolExecutor(1 if short else 2, mp_context=get_context("spawn")) as pool:
        begun = {pool.submit(_perform, job): job[0].__name__ for job in jobs}
        for done in as_completed(begun):
            found[begun[done]].append(done.result())
            print(orjson.dumps(done.result(), option=orjson.OPT_NON_STR_KEYS).decode(), flush=True)
    days, turns, still = found["compared"], found["turning"], found["steady"]
    quantile_error = quantile_errors(21)
    follow = max(s for turn in turns for s in turn["follow_s"])
    checks = {
        "never more than 1 % under no split": all(
            mean(one["against_none"]) >= -MAX_LOSS_TO_NONE for one in days
        ),
        "within 3 % of the best fixed split": all(one["behind_best"] <= MAX_LOSS_TO_BEST for one in days),
        "follows a turn within 30 s": follow <= MAX_FOLLOW_S,
        "quantiles within 5 %": quantile_error["prompt"] <= MAX_QUANTILE_ERROR,
    }
    if still:
        checks["at most 2 moves an hour"] = all(one["an_hour"] <= MAX_MOVES_PER_HOUR for one in still)
    return {
        "name": "pools", "holds": all(checks.values()), "checks": checks,
        "gain": {one["day"]: round(mean(one["against_none"]), 4) for one in days},
        "behind_best": {one["day"]: one["behind_best"] for one in days},
        "turns": turns, "follow_s": follow, "steady": still, "errors": quantile_error,
        "bytes_a_router_s": max(one["bytes_a_router_s"] for one in days),
        "decide_ms": max(one["decide_ms"] for one in days),
    }  # fmt: skip


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result, option=orjson.OPT_NON_STR_KEYS).decode())
    sys.exit(0 if result["holds"] else 1)
