"""Placement on deployments made up at random: variants of the decisions, paired over the same days.

    python benchmarks/placement.py [--short] [--module FILE ...] [--set NAME=VALUE ...] [--seeds N]
                                   [--routers N] [--engines N] [--length S] [--jobs N]

The decisions are played on sites of two sorts (`spoolbarrow/lab/random_scenarios.py`): few openings, and hundreds.
Each `--module` is another text of the decision module, each `--set` this one with constants changed
(`A=1,B=2`). Without either, the decisions are held against themselves with requests taken that are predicted
to be late by half of their aim, which they must not lose to on either sort.
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
LOSS = 0.01  # of the worth, that refusing what is predicted to be late may cost on a sort of sites
CAUSES = {"refused": "refused", "late_first": "late first token", "late_tokens": "slow stream"}
TOLD = ("read_anew_share", "probes_a_request", "attempts_a_request")


def decisions(text: str, constants: dict[str, float]) -> ModuleType:
    """The decision module from a text, with constants changed."""
    module = ModuleType("spoolbarrow.router_played")
    sys.modules[module.__name__] = module
    exec(compile(text, "the module played", "exec"), module.__dict__)
    for name, value in constants.items():
        setattr(module, name, type(getattr(module, name))(value))
    return module


def play(text: str, constants: dict[str, float], scenario: Scenario, seed: int) -> dict[str, float]:
    """One day with one variant."""
    module = decisions(text, constants)

    def make(settings: Any, number: int, truth: Any) -> Any:
        return module.Router(settings, number)

    policies.POLICIES["played"] = make
    report = simulate(scenario, "played", seed)
    lost = report["worth_lost"]
    found = {"worth": report["worth"], **{key: lost.get(cause, 0.0) for key, cause in CAUSES.items()}}
    found |= {key: report[key] for key in TOLD}
    found["first_token_ms_p90"] = report["times"]["first_token_ms_p90"]
    return found | {"decision_us": report["run"]["decision_us_a_request"]}


def variants(args: argparse.Namespace) -> dict[str, tuple[str, dict[str, float]]]:
    """What is played, by name; the first is what the others are held against."""
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
    """Play, print a line for each variant and sort of site, and a JSON object last."""
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
    told: dict[str, Any] = {}
    for many in (False, True):
        sort = "many openings" if many else "few openings"
        seeds = [seed for of, seed, _ in days if of is many]
        for name in chosen:
            rows = [found[name, many, seed] for seed in seeds]
            mean = {key: round(sum(row[key] for row in rows) / len(rows), 4) for key in rows[0]}
            usual = sum(found[base, many, seed]["worth"] for seed in seeds) / len(seeds)
            mean["gain"] = round(mean["worth"] - usual, 4)
            told.setdefault(sort, {})[name] = mean
            print(f"{sort}, {name}: {mean}", flush=True)
    holds = all(one["gain"] <= LOSS for sort in told.values() for name, one in sort.items() if name != base)
    print(json.dumps({"name": "placement", "holds": holds, "sites": told}))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
