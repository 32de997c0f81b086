"""Versions measured: how long routers contradict each other during a change of files or of discovery's list.

    python benchmarks/agreement.py [--short]

Five routers on loopback under load take one change after another: files adopted by `spoolbarrow agree apply`,
lists told by discovery; then lists while one router's discovery answers late, and while it is cut off. A
change's contradiction is the time from the first router that acts on it to the last, from their logs. The
bound is `within_s`, and beside it stand the routers' own looks, `period_ms`.
"""

from __future__ import annotations

import argparse
import contextlib
import io
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow.cli import run  # noqa: E402
from spoolbarrow.lab import cluster  # noqa: E402
from spoolbarrow.lab.cluster import LISTEN, Cluster, Load  # noqa: E402

WITHIN_S = 10.0
PERIOD_MS = 20.0
LATE_MS = 250.0  # of each piece of one router's discovery
CUT_S = 3.0
WAIT_S = 30.0


def text(revision: int) -> str:
    """An operator's file."""
    level = ("info", "debug")[revision % 2]
    return (
        f"[agree]\nrevision = {revision}\nwithin_s = {WITHIN_S}\nperiod_ms = {PERIOD_MS}\n"
        f"[log]\nlevel = '{level}'\n"
    )


def acted(made: Cluster, item: str, number: int) -> float:
    """Seconds from the first router that acts on a version to the last; TimeoutError where one never does."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        times: list[float] = []
        for router in made.routers:
            its = [
                one["time"]
                for one in router.events("version")
                if one["item"] == item and one["number"] == number
            ]
            times += its[:1]
        if len(times) == len(made.routers):
            return max(times) - min(times)
        time.sleep(0.01)
    raise TimeoutError(f"{item} {number} is not acted on by all")


def change_files(made: Cluster, revision: int) -> tuple[float, int]:
    """One change by the command line: its contradiction, s, and the command's status."""
    for number in range(len(made.ports)):
        (made.folder / f"operator{number}.toml").write_text(text(revision))
    with contextlib.redirect_stdout(io.StringIO()):
        status = run(["agree", "apply", *(f"{LISTEN}:{port}" for port in made.controls)])
    return acted(made, "operator", revision), status


def change_list(made: Cluster, turn: int) -> float:
    """One engine leaves or comes back: the contradiction, s."""
    made.unlisted = set() if turn % 2 else {turn % 4}
    made.publish_list()
    return acted(made, "list", made.list_version)


def summed(found: list[float]) -> dict[str, Any]:
    """Of contradictions in s: in ms, and the worst as a share of what is allowed."""
    return {
        "changes": len(found),
        "median_ms": round(statistics.median(found) * 1000, 1),
        "most_ms": round(max(found) * 1000, 1),
        "of_allowed": round(max(found) / WITHIN_S, 4),
    }


def main() -> dict[str, Any]:
    """Everything, as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    many = 8 if arguments.parse_args().short else 100
    cluster.STANDIN_LIFETIME_S = 600.0
    zones, routers = {"a": 4, "b": 4}, ["a", "a", "a", "b", "b"]
    with tempfile.TemporaryDirectory() as directory:
        with cluster.cluster(Path(directory), zones, routers, text(1)) as made:
            load = Load(made, pause_s=0.02)
            try:
                changed = [change_files(made, 2 + n) for n in range(many)]
                found = {"files": [seconds for seconds, _ in changed]}
                found["list"] = [change_list(made, n) for n in range(many)]
                gate = [len(made.engine_names) * len(made.ports)]  # before the first router's discovery
                made.fault(f"delay {LATE_MS:g}", gate)
                found["list_late"] = [change_list(made, n) for n in range(many // 2)]
                made.fault("pass", gate)
                cut = []
                for n in range(1 if many < 50 else 5):
                    made.fault("drop", gate)
                    made.unlisted = set() if made.unlisted else {n % 4}
                    made.publish_list()
                    time.sleep(CUT_S)
                    made.fault("pass", gate)
                    cut.append(acted(made, "list", made.list_version) - CUT_S)
            finally:
                load.stop()
    answers: Counter[int] = load.statuses()
    told = {name: summed(seconds) for name, seconds in found.items()}
    told["cut_off_beyond_the_cut"] = summed(cut)
    refused = sum(status != 0 for _, status in changed)
    holds = (
        refused == 0
        and answers.keys() <= {200, 503}
        and load.retry_after_missing == 0
        and all(one["of_allowed"] <= 1.0 for one in told.values())
    )
    return {
        "name": "agreement",
        "holds": holds,
        "routers": len(routers),
        "within_s": WITHIN_S,
        "period_ms": PERIOD_MS,
        "contradiction": told,
        "changes_not_taken": refused,
        "answers": dict(answers),
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result, option=orjson.OPT_NON_STR_KEYS).decode())
    sys.exit(0 if result["holds"] else 1)
