"""Runs experiments: a grid of scenarios, settings, policies, constants and seeds, kept in one Parquet table.

Rows are appended to a journal of JSON lines as runs end, and merged into the table at the end; after a kill
the same command resumes with the runs that are in neither. A run is identified by the hashes of its scenario,
of its settings and of the code, so results of two versions of the program are never mixed unnoticed.
"""

from __future__ import annotations

import itertools
import os
import tomllib
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from copy import deepcopy
from hashlib import sha256
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec
import orjson
from msgspec import Struct

from spoolbarrow.lab.scenario import ScenarioError, convert, load_raw, set_key

PACKAGE = Path(__file__).resolve().parent.parent
TABLE, JOURNAL = "results.parquet", "results.jsonl"
FLAT = (
    "worth",
    "refused_share",
    "wasted_share",
    "spread",
    "attempts_a_request",
    "probes_a_request",
    "requests",
)
CONSTANTS = {  # keys of `[constants]` with the numbers of the decision module that they set
    "ALPHA_SLO": "ALPHA_SLO",
    "ALPHA_BURST": "ALPHA_BURST",
    "ALPHA_DEBT": "ALPHA_DEBT",
    "GAMMA": "GAMMA",
    "DEBT_FLOOR": "DEBT_FLOOR",
    "USAGE_MS": "USAGE_WINDOW_MS",
    "SLICE_DEPTH_MS": "QUOTA_BURST_MS",
    "SLICE_MIN": "QUOTA_BURST_MIN_REQUESTS",
    "FULL_STEPS": "FULL_WAIT_TOKEN_OBJECTIVES",
    "FULL_SHARE": "FULL_WAIT_OBJECTIVE_SHARE",
    "HOPELESS": "REFUSE_ABOVE_OBJECTIVES",
    "CUT_SAMPLE": "PRIORITY_CUT_SAMPLE",
    "CUT_SPAN": "PRIORITY_CUT_SPAN",
    "MEMORY_FULL": "MEMORY_FULL_SHARE",
    "MEMORY_MS": "MEMORY_FULL_WAIT_MS",
    "QUEUED_MS": "QUEUED_REQUEST_MS",
    "TRUST": "FRESH_REPORT_WEIGHT",
    "ZONE_LEARN": "ZONE_MEAN_WEIGHT",
    "ZONE_MS": "ZONE_MEAN_VALID_MS",
    "FADE_MS": "REPORT_FADE_MS",
    "REPORT_LAG_MS": "REPORT_LAG_MS",
    "POOL_MS": "PROBE_POOL_MS",
    "POOL_SIZE": "PROBE_POOL_SIZE",
    "FRESH_MS": "PREFERRED_REPORT_FRESH_MS",
    "HOLD_MS": "PROBE_HOLD_MS",
    "SILENT_MS": "UNANSWERED_PROBE_WAIT_MS",
    "SILENT_AFTER": "UNANSWERED_PROBE_SHARE",
    "FAR_PROBES": "CROSS_ZONE_PROBE_SHARE",
    "READ_RATE": "PREFILL_TOKENS_PER_MS",
    "RUNNING_PRICE": "RUNNING_STREAM_COST_MS",
    "READ_PRICE": "PREFILL_COST_FACTOR",
    "STEP_MS": "FIRST_TOKEN_OVERHEAD_MS",
    "DECODE_MS": "DECODE_MS_PER_TOKEN",
    "LEARN": "MEAN_WEIGHT",
    "HOME_AIM": "PREFERRED_OBJECTIVE_SHARE",
    "HOME_BUSY": "PREFERRED_FULLNESS_SHARE",
    "SPREAD": "PREFERRED_REPLICAS_FACTOR",
    "HOMES_TOLD": "PREFERRED_PER_PART",
    "HEAT_MS": "PREFIX_COUNT_HALF_LIFE_MS",
    "CROSS_AIMS": "CROSS_ZONE_FEE_OBJECTIVES",
    "SUSPECT_MS": "SUSPECT_MS",
    "SUSPECT_MAX_MS": "SUSPECT_MAX_MS",
    "SILENCE_MS": "SILENCE_MS",
    "OVERTAKEN_MS": "OVERTAKEN_MS",
    "IDLE_TOKENS": "IDLE_UNREAD_TOKENS",
    "LOST_FACTOR": "LOST_FACTOR",
    "SLOW_MAX": "SLOW_FACTOR_MAX",
    "SLOW_FADE_MS": "SLOW_FADE_MS",
    "FAILING_MS": "FAILING_WAIT_MS",
    "HEDGE_FACTOR": "HEDGE_FACTOR",
    "HEDGE_MIN_MS": "HEDGE_MIN_MS",
    "HEDGE_AIM": "HEDGE_OBJECTIVE_SHARE",
    "HEDGE_COST": "HEDGE_WASTE_BUDGET",
    "HEDGE_RATIO": "HEDGES_PER_REQUEST_MAX",
    "HEDGE_DEPTH": "HEDGE_BUDGET_MAX",
    "LATE_MAX": "LATE_FACTOR_MAX",
    "SWEEP_MS": "SWEEP_INTERVAL_MS",
    "COLD_SHARE": "SLOW_START_TOTAL_SHARE",
    "COLD_HOME": "SLOW_START_PREFERRED_SHARE",
    "COLD_LIGHT": "SLOW_START_WORK_MIN",
    "COLD_MOVED": "SLOW_START_RESUMED_SHARE",
    "ASK_LOST_MS": "LIST_CALL_LOST_MS",
    "TIMER_MS": "TIMER_RESOLUTION_MS",
}


class Experiment(Struct, kw_only=True, forbid_unknown_fields=True):
    """An experiment file."""

    name: str
    scenarios: list[str]  # files, relative to this one
    seeds: tuple[int, ...] = (1, 2, 3)
    policies: tuple[str, ...] = ("spoolbarrow",)
    settings: dict[str, Any] = {}  # dotted keys of scenarios, set in all runs
    grid: dict[str, list[Any]] = {}  # keys with their values: every combination is run
    constants: dict[str, list[float]] = {}  # of the decision module, by key; every combination too


class Job(Struct, kw_only=True):
    """One run."""

    experiment: str
    scenario: dict[str, Any]
    settings: dict[str, Any]
    constants: dict[str, float]
    policy: str
    seed: int
    scenario_hash: str
    settings_hash: str
    code_hash: str

    def key(self) -> str:
        """The key that identifies the run."""
        parts = (self.scenario_hash, self.settings_hash, self.code_hash, self.policy, self.seed)
        return digest(parts)


def digest(thing: Any) -> str:
    """A short hash of a JSON value."""
    return sha256(orjson.dumps(thing, option=orjson.OPT_SORT_KEYS)).hexdigest()[:16]


def code_hash() -> str:
    """A hash of the code that determines a run's results: the model and the decisions."""
    files = [*sorted((PACKAGE / "lab").glob("*.py")), PACKAGE / "router.py", PACKAGE / "interface.py"]
    return sha256(b"\0".join(path.read_bytes() for path in files)).hexdigest()[:16]


def read_experiment(path: Path) -> Experiment:
    """Read an experiment file; ScenarioError names the invalid key."""
    try:
        found = msgspec.convert(tomllib.loads(path.read_text()), Experiment)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    from spoolbarrow import router
    from spoolbarrow.lab.policies import POLICIES

    for policy in found.policies:
        if policy not in POLICIES:
            raise ScenarioError(f"{path}: policies: there is no {policy!r}")
    for name in found.constants:
        if not isinstance(getattr(router, CONSTANTS.get(name, ""), None), (int, float)):
            raise ScenarioError(f"{path}: constants: the decision module has no number {name!r}")
    return found


def jobs(experiment: Experiment, directory: Path) -> Iterator[Job]:
    """Every run, in a fixed order; ScenarioError names what cannot be run."""
    code = code_hash()
    for file in experiment.scenarios:
        raw = load_raw(directory / file)
        for values in itertools.product(*experiment.grid.values()):
            settings = dict(zip(experiment.grid, values, strict=True))
            changed = deepcopy(raw)
            for key, value in (experiment.settings | settings).items():
                set_key(changed, key, value)
            convert(changed)
            for numbers in itertools.product(*experiment.constants.values()):
                constants = dict(zip(experiment.constants, numbers, strict=True))
                for policy, seed in itertools.product(experiment.policies, experiment.seeds):
                    yield Job(
                        experiment=experiment.name,
                        scenario=changed,
                        settings=settings,
                        constants=constants,
                        policy=policy,
                        seed=seed,
                        scenario_hash=digest(changed),
                        settings_hash=digest([settings, constants]),
                        code_hash=code,
                    )


def run_job(job: Job) -> dict[str, Any]:
    """Execute one run in this process; return its row."""
    from spoolbarrow import router
    from spoolbarrow.lab.simulate import simulate

    defaults = {name: getattr(router, CONSTANTS[name]) for name in job.constants}
    try:
        for name, value in job.constants.items():
            setattr(router, CONSTANTS[name], type(defaults[name])(value))
        report = simulate(convert(job.scenario), job.policy, job.seed)
    finally:
        for name, value in defaults.items():
            setattr(router, CONSTANTS[name], value)
    return row(job, report)


def row(job: Job, report: dict[str, Any]) -> dict[str, Any]:
    """A run as a row of the table: the most used figures, and the whole report."""
    worst = min((window["worth"] for window in report["windows"]), default=1.0)
    return {
        "key": job.key(),
        "experiment": job.experiment,
        "scenario": report["scenario"],
        "scenario_hash": job.scenario_hash,
        "settings_hash": job.settings_hash,
        "code_hash": job.code_hash,
        "settings": orjson.dumps(job.settings, option=orjson.OPT_SORT_KEYS).decode(),
        "constants": orjson.dumps(job.constants, option=orjson.OPT_SORT_KEYS).decode(),
        "policy": job.policy,
        "seed": job.seed,
        "engines": report["engines"],
        "routers": report["routers"],
        "per_engine": convert(job.scenario).load.per_engine,
        **{name: float(report[name]) for name in FLAT},
        **report["times"],
        "worst_class": min(found["worth"] for found in report["classes"].values()),
        "worst_tenant": min(found["worth"] for found in report["tenants"].values()),
        "worst_window": worst,
        "rules_broken": sum(report["rules_broken"].values()),
        "decision_us": report["run"]["decision_us_a_request"],
        "times_real_time": report["run"]["times_real_time"],
        "report": orjson.dumps(report).decode(),
    }


class ResultTable:
    """The results in a directory: the Parquet table, and the journal of rows not yet merged into it."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self.path, self.journal = directory / TABLE, directory / JOURNAL

    def rows(self) -> list[dict[str, Any]]:
        """All rows, one for each run."""
        import polars

        found: dict[str, dict[str, Any]] = {}
        if self.path.exists():
            for one in polars.read_parquet(self.path).to_dicts():
                found[one["key"]] = one
        if self.journal.exists():
            for line in self.journal.read_bytes().split(b"\n"):
                try:
                    one = orjson.loads(line)
                except orjson.JSONDecodeError:
                    continue  # cut short by a kill, or empty
                found[one["key"]] = one
        return list(found.values())

    def append(self, one: dict[str, Any]) -> None:
        """Store a row durably."""
        with self.journal.open("ab") as journal:
            # The leading newline keeps a line cut short by a kill from corrupting this one.
            journal.write(b"\n" + orjson.dumps(one) + b"\n")
            journal.flush()
            os.fsync(journal.fileno())

    def fold(self) -> None:
        """Merge the journal's rows into the table."""
        import polars

        rows = self.rows()
        if not rows or not self.journal.exists():
            return
        fresh = self.path.with_suffix(".new")
        polars.DataFrame(rows, infer_schema_length=None).sort("key").write_parquet(fresh)
        os.replace(fresh, self.path)
        self.journal.unlink()


def run_experiment(
    experiment: Experiment, directory: Path, into: Path, workers: int, tell: Callable[[int, int], None]
) -> int:
    """Execute the runs that the table in `into` lacks; return their number.

    `tell` is called with how many runs are done, and with how many there are.
    """
    table = ResultTable(into)
    known = {one["key"] for one in table.rows()}
    all_jobs = list(jobs(experiment, directory))
    remaining = [job for job in all_jobs if job.key() not in known]
    done = len(all_jobs) - len(remaining)
    tell(done, len(all_jobs))
    # Largest first: otherwise one long run would be left alone at the end.
    remaining.sort(key=lambda job: -job.scenario.get("engines", 8))
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        out: set[Future[dict[str, Any]]] = set()
        while remaining or out:
            while remaining and len(out) < 2 * workers:
                out.add(pool.submit(run_job, remaining.pop(0)))
            finished, out = wait(out, return_when=FIRST_COMPLETED)
            for one in finished:
                table.append(one.result())
                done += 1
                tell(done, len(all_jobs))
    table.fold()
    return len(all_jobs) - len(known & {job.key() for job in all_jobs})
