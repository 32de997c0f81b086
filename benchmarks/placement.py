"""Compares variants of the placement decisions on random deployments, paired over the same scenarios.

    python benchmarks/placement.py [--short] [--module FILE ...] [--set NAME=VALUE ...] [--seeds N]
                                   [--routers N] [--engines N] [--length S] [--jobs N]

Simulates sites of two sorts (`spoolbarrow/lab/random_scenarios.py`): few openings, and hundreds. Each
`--module` is another version of the decision module, each `--set` the current one with constants changed
(`A=1,B=2`). Without either, the decisions are compared with a variant that accepts requests predicted to be
late by half of their latency objective; that variant must not be better on either sort.
"""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from types import ModuleType
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from spoolbarrow.lab import policies  # noqa: E402
from spoolbarrow.lab.random_scenarios import random_scenario  # noqa: E402
from spoolbarrow.lab.scenario import Scenario  # noqa: E402
from spoolbarrow.lab.simulate import simulate  # noqa: E402

MODULE = ROOT / "spoolbarrow" / "router.py"
LOADS = (0.25, 0.32, 0.4)
# What refusing requests predicted to be late may cost in worth on a sort of sites.
MAX_GAIN = 0.01
LOSS_CAUSES = {"refused": "refused", "late_first": "late first token", "late_tokens": "slow stream"}
REPORT_KEYS = ("read_anew_share", "probes_a_request", "attempts_a_request")


def load_decisions(text: str, constants: dict[str, float]) -> ModuleType:
    """Load the decision module from source text, with constants changed."""
    module = ModuleType("spoolbarrow.router_played")
    sys.modules[module.__name__] = module
    exec(compile(text, "the module played", "exec"), module.__dict__)
    for name, value in constants.items():
        setattr(module, name, type(getattr(module, name))(value))
    return module


def play(text: str, constants: dict[str, float], scenario: Scenario, seed: int) -> dict[str, float]:
    """Simulate one scenario with one variant."""
    module = load_decisions(text, constants)

    def make(settings: Any, number: int, truth: Any) -> Any:
        return module.Router(settings, number)

    policies.POLICIES["played"] = make
    report = simulate(scenario, "played", seed)
    lost = report["worth_lost"]
    found = {"worth": report["worth"], **{key: lost.get(cause, 0.0) for key, cause in LOSS_CAUSES.items()}}
    found |= {key: report[key] for key in REPORT_KEYS}
    found["first_token_ms_p90"] = report["times"]["first_token_ms_p90"]
    return found | {"decision_us": report["run"]["decision_us_a_request"]}


def variants(args: argparse.Namespace) -> dict[str, tuple[str, dict[str, float]]]:
    """The variants by name; the first is the baseline for the others."""
    text = MODULE.read_text()
    found: dict[str, tuple[str, dict[str, float]]] = {"as it is": (text, {})}
    for file in args.module:
        found[file] = (Path(file).read_text(), {})
    for setting in args.set:
        constants = {name: float(value) for name, value in (one.split("=") for one in setting.split(","))}
        found[setting] = (text, constants)
    if len(found) == 1:
        found["REFUSE_ABOVE_OBJECTIVES=1.5"] = (text, {"REFUSE_ABOVE_OBJECTIVES": 1.5})
    return found


def main() -> int:
    """Run, print a line for each variant and sort of site, and a JSON object last."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--module", action="append", default=[])
    parser.add_argument("--set", action="append", default=[])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--routers", type=int, default=200)
    parser.add_argument("--engines", type=int, default=60)
    parser.add_argument("--length", type=float, default=20.0)
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    if args.short:
        args.routers, args.engines, args.length = 100, 40, 8.0
    days = [
        (
            many,
            seed,
            random_scenario(seed, many, args.routers, args.engines, LOADS[seed % len(LOADS)], args.length),
        )
        for many in (False, True)
        for seed in range(1, 1 + args.seeds)
    ]
    chosen = variants(args)
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        runs = {
            (name, many, seed): pool.submit(play, *chosen[name], scenario, seed)
            for name in chosen
            for many, seed, scenario in days
        }
        found = {key: run.result() for key, run in runs.items()}
    base = next(iter(chosen))
    sites: dict[str, Any] = {}
    for many in (False, True):
        site_sort = "many openings" if many else "few openings"
        seeds = [seed for of, seed, _ in days if of is many]
        for name in chosen:
            rows = [found[name, many, seed] for seed in seeds]
            mean = {key: round(sum(row[key] for row in rows) / len(rows), 4) for key in rows[0]}
            base_worth = sum(found[base, many, seed]["worth"] for seed in seeds) / len(seeds)
            mean["gain"] = round(mean["worth"] - base_worth, 4)
            sites.setdefault(site_sort, {})[name] = mean
            print(f"{site_sort}, {name}: {mean}", flush=True)
    holds = all(
        one["gain"] <= MAX_GAIN
        for site_sort in sites.values()
        for name, one in site_sort.items()
        if name != base
    )
    print(json.dumps({"name": "placement", "holds": holds, "sites": sites}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
