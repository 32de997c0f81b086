"""Measures how long routers act on different versions during a change of files or of discovery's list.

    python benchmarks/agreement.py [--short]

Five routers on loopback under load get one change after another: files adopted by `spoolbarrow agree apply`,
lists sent by discovery; then lists while one router's discovery responds late, and while it is cut off. A
change's contradiction is the time from the first router that acts on it to the last, from their logs. The
bound is `within_s`; the result also has the routers' poll interval, `period_ms`.
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

MAX_CONTRADICTION_S = 10.0
POLL_INTERVAL_MS = 20.0
LATE_MS = 250.0  # of each piece of one router's discovery
CUT_S = 3.0
WAIT_S = 30.0


def operator_file(revision: int) -> str:
    """The operator file of a revision."""
    level = ("info", "debug")[revision % 2]
    return (
        f"[agree]\nrevision = {revision}\nwithin_s = {MAX_CONTRADICTION_S}\nperiod_ms = {POLL_INTERVAL_MS}\n"
        f"[log]\nlevel = '{level}'\n"
    )


def contradiction_s(cluster: Cluster, item: str, number: int) -> float:
    """Seconds from the first router that acts on a version to the last; TimeoutError if one never does."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        times: list[float] = []
        for router in cluster.routers:
            times_of_router = [
                one["time"]
                for one in router.events("version")
                if one["item"] == item and one["number"] == number
            ]
            times += times_of_router[:1]
        if len(times) == len(cluster.routers):
            return max(times) - min(times)
        time.sleep(0.01)
    raise TimeoutError(f"{item} {number} has not reached all routers")


def change_files(cluster: Cluster, revision: int) -> tuple[float, int]:
    """Change the files by the command line; returns the contradiction, s, and the command's exit status."""
    for number in range(len(cluster.ports)):
        (cluster.folder / f"operator{number}.toml").write_text(operator_file(revision))
    with contextlib.redirect_stdout(io.StringIO()):
        status = run(["agree", "apply", *(f"{LISTEN}:{port}" for port in cluster.controls)])
    return contradiction_s(cluster, "operator", revision), status


def change_list(cluster: Cluster, turn: int) -> float:
    """Remove or restore one engine in the list; returns the contradiction, s."""
    cluster.unlisted = set() if turn % 2 else {turn % 4}
    cluster.publish_list()
    return contradiction_s(cluster, "list", cluster.list_version)


def summarize(found: list[float]) -> dict[str, Any]:
    """Summarize contradictions in ms, and the worst as a share of the bound."""
    return {
        "changes": len(found),
        "median_ms": round(statistics.median(found) * 1000, 1),
        "most_ms": round(max(found) * 1000, 1),
        "of_allowed": round(max(found) / MAX_CONTRADICTION_S, 4),
    }


def main() -> dict[str, Any]:
    """Measure everything and return it as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    changes = 8 if arguments.parse_args().short else 100
    cluster.STANDIN_LIFETIME_S = 600.0
    zones, routers = {"a": 4, "b": 4}, ["a", "a", "a", "b", "b"]
    with tempfile.TemporaryDirectory() as directory:
        with cluster.cluster(Path(directory), zones, routers, operator_file(1)) as made:
            load = Load(made, pause_s=0.02)
            try:
                changed = [change_files(made, 2 + n) for n in range(changes)]
                found = {"files": [seconds for seconds, _ in changed]}
                found["list"] = [change_list(made, n) for n in range(changes)]
                gate = [len(made.engine_names) * len(made.ports)]  # before the first router's discovery
                made.fault(f"delay {LATE_MS:g}", gate)
                found["list_late"] = [change_list(made, n) for n in range(changes // 2)]
                made.fault("pass", gate)
                cut = []
                for n in range(1 if changes < 50 else 5):
                    made.fault("drop", gate)
                    made.unlisted = set() if made.unlisted else {n % 4}
                    made.publish_list()
                    time.sleep(CUT_S)
                    made.fault("pass", gate)
                    cut.append(contradiction_s(made, "list", made.list_version) - CUT_S)
            finally:
                load.stop()
    answers: Counter[int] = load.statuses()
    figures = {name: summarize(seconds) for name, seconds in found.items()}
    figures["cut_off_beyond_the_cut"] = summarize(cut)
    refused = sum(status != 0 for _, status in changed)
    holds = (
        refused == 0
        and answers.keys() <= {200, 503}
        and load.retry_after_missing == 0
        and all(figure["of_allowed"] <= 1.0 for figure in figures.values())
    )
    return {
        "name": "agreement",
        "holds": holds,
        "routers": len(routers),
        "within_s": MAX_CONTRADICTION_S,
        "period_ms": POLL_INTERVAL_MS,
        "contradiction": figures,
        "changes_not_taken": refused,
        "answers": dict(answers),
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result, option=orjson.OPT_NON_STR_KEYS).decode())
    sys.exit(0 if result["holds"] else 1)
