"""Measures the store: histories under faults, detection of deliberate bugs, and writes per second.

    python benchmarks/store.py [--short]

Runs histories of three and five members in virtual time (`spoolbarrow/lab/raft_histories.py`), one per
seed. A bug that no history finds is left to the scripted dialogues of the tests. Then three member
processes on loopback, and one alone, take changes of 200 bytes from eight writers until a number of keys is
stored.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from paired_routers import anonymous_kb  # noqa: E402

from spoolbarrow.lab.cluster import LISTEN, Process, free_ports  # noqa: E402
from spoolbarrow.lab.raft_histories import MUTANTS, History, find_violation  # noqa: E402
from spoolbarrow.lab.store_members import member_arguments, request_member  # noqa: E402

CLUSTER_SIZES = (3, 5)
MIN_BUGS_FOUND = 7  # by histories


WRITERS, VALUE = 8, b"x" * 200
MAX_SLOWDOWN = 10.0  # of three members against one


def measure_members(count: int, keys: int) -> dict[str, Any]:
    """Write keys to a cluster of members: changes per second, their duration, memory, and losses."""
    free = free_ports(2 * count)
    listens, controls = free[:count], [f"{LISTEN}:{port}" for port in free[count:]]
    addresses = {f"m{n}": f"{LISTEN}:{port}" for n, port in enumerate(listens)}
    with tempfile.TemporaryDirectory() as directory:
        processes = [
            Process(*member_arguments(name, addresses, control, Path(directory)))
            for name, control in zip(addresses, controls, strict=True)
        ]
        try:
            leader = ""
            while not leader:
                leading = [
                    one
                    for one in controls
                    if request_member(one, "GET", "/v1/status")[1].get("role") == "leader"
                ]
                leader = leading[0] if leading else ""
            times: list[float] = []
            failed: list[int] = []

            def write(writer: int) -> None:
                for key in range(writer, keys, WRITERS):
                    begun = time.perf_counter()
                    code, _ = request_member(leader, "PUT", f"/v1/store/k{key}", VALUE)
                    times.append((time.perf_counter() - begun) * 1000)
                    if code != 200:
                        failed.append(code)

            before, begun = anonymous_kb(processes[0].popen.pid), time.perf_counter()
            writers = [threading.Thread(target=write, args=(n,)) for n in range(WRITERS)]
            for writer in writers:
                writer.start()
            for writer in writers:
                writer.join()
            elapsed_s = time.perf_counter() - begun
            grown = (max(anonymous_kb(one.popen.pid) for one in processes) - before) / 1024
            kept = [request_member(one, "GET", "/v1/status")[1]["keys"] for one in controls]
        finally:
            for one in processes:
                one.end()
    return {
        "keys": max(kept),
        "failed": len(failed),
        "a_second": round(keys / elapsed_s),
        "median_ms": round(statistics.median(times), 2),
        "grown_mb": round(grown, 1),
        "p99_ms": round(statistics.quantiles(times, n=100)[98], 2),
    }


def first_failing_seed(mutant: Any, seeds: int) -> int:
    """The first seed that finds a bug; -1 if none does."""
    for seed in range(seeds):
        if any(find_violation(seed, size, mutant) for size in CLUSTER_SIZES):
            return seed
    return -1


def main() -> dict[str, Any]:
    """Measure everything and return it as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    seeds, bug_seeds = (60, 70) if arguments.parse_args().short else (1000, 200)
    begun, broken, applied, leaders = time.perf_counter(), [], [], []
    for seed in range(seeds):
        for size in CLUSTER_SIZES:
            play = History(seed, size)
            try:
                play.run()
            except AssertionError as error:
                broken.append(f"seed {seed}, {size} members: {error}")
            applied.append(play.last())
            leaders.append(len(play.leaders))
    elapsed_s = time.perf_counter() - begun
    found = {mutant.__name__: first_failing_seed(mutant, bug_seeds) for mutant in MUTANTS}
    keys = 1000 if seeds < 100 else 10_000
    measured = {str(count): measure_members(count, keys) for count in (1, 3)}
    holds = (
        not broken
        and sum(seed >= 0 for seed in found.values()) >= MIN_BUGS_FOUND
        and all(one["failed"] == 0 and one["keys"] == keys for one in measured.values())
        and measured["1"]["a_second"] <= MAX_SLOWDOWN * measured["3"]["a_second"]
    )
    return {
        "name": "store",
        "holds": holds,
        "members": measured,
        "histories": len(applied),
        "broken": broken[:5],
        "a_minute": round(len(applied) / elapsed_s * 60),
        "applied_median": statistics.median(applied),
        "leaders_median": statistics.median(leaders),
        "leaders_most": max(leaders),
        "bugs_found_at_seed": found,
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result["holds"] else 1)
