"""The store measured: histories under faults, bugs put in on purpose, and what members write in a second.

    python benchmarks/store.py [--short]

Histories of three and five members in virtual time (`spoolbarrow/lab/raft_histories.py`), one by seed. A bug that no
history finds is left to the scripted dialogues of the tests. Then three member processes on loopback, and one
alone, take changes of 200 bytes from eight writers until so many keys are kept.
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

from spoolbarrow.cli.errors import NoAnswer  # noqa: E402
from spoolbarrow.cli.http_client import request_json  # noqa: E402
from spoolbarrow.lab.cluster import LISTEN, Process, free_ports  # noqa: E402
from spoolbarrow.lab.raft_histories import MUTANTS, History, find_violation  # noqa: E402

SIZES = (3, 5)
FOUND_BY_PLAY = 7  # of the bugs, at least


WRITERS, VALUE = 8, b"x" * 200
SLOWER_AT_MOST = 10.0  # three members against one


def ask(member: str, method: str, path: str, body: bytes = b"") -> tuple[int, dict[str, Any]]:
    """A member's answer; status 0 with the reason where none came."""
    try:
        return request_json(member, method, path, body)
    except NoAnswer as error:
        return 0, {"error": str(error)}


def members(count: int, keys: int) -> dict[str, Any]:
    """So many members take so many keys: changes a second, how long each took, memory, and what was lost."""
    free = free_ports(2 * count)
    listens, controls = free[:count], [f"{LISTEN}:{port}" for port in free[count:]]
    named = [part for n, port in enumerate(listens) for part in ("--member", f"m{n}={LISTEN}:{port}")]
    with tempfile.TemporaryDirectory() as directory:
        made = [
            Process(
                "-m",
                "spoolbarrow",
                "store",
                "serve",
                "--name",
                f"m{n}",
                *named,
                "--listen",
                f"{LISTEN}:{listens[n]}",
                "--control",
                controls[n],
                "--directory",
                directory,
            )
            for n in range(count)
        ]
        try:
            at = ""
            while not at:
                led = [one for one in controls if ask(one, "GET", "/v1/status")[1].get("role") == "leader"]
                at = led[0] if led else ""
            times: list[float] = []
            failed: list[int] = []

            def write(writer: int) -> None:
                for key in range(writer, keys, WRITERS):
                    begun = time.perf_counter()
                    code, _ = ask(at, "PUT", f"/v1/store/k{key}", VALUE)
                    times.append((time.perf_counter() - begun) * 1000)
                    if code != 200:
                        failed.append(code)

            before, begun = anonymous_kb(made[0].popen.pid), time.perf_counter()
            writers = [threading.Thread(target=write, args=(n,)) for n in range(WRITERS)]
            for writer in writers:
                writer.start()
            for writer in writers:
                writer.join()
            took = time.perf_counter() - begun
            grown = (max(anonymous_kb(one.popen.pid) for one in made) - before) / 1024
            kept = [ask(one, "GET", "/v1/status")[1]["keys"] for one in controls]
        finally:
            for one in made:
                one.end()
    return {
        "keys": max(kept),
        "failed": len(failed),
        "a_second": round(keys / took),
        "median_ms": round(statistics.median(times), 2),
        "grown_mb": round(grown, 1),
        "p99_ms": round(statistics.quantiles(times, n=100)[98], 2),
    }


def first_found(mutant: Any, seeds: int) -> int:
    """The first seed that finds a bug; -1 where none does."""
    for seed in range(seeds):
        if any(find_violation(seed, size, mutant) for size in SIZES):
            return seed
    return -1


def main() -> dict[str, Any]:
    """Everything, as one object."""
    arguments = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    arguments.add_argument("--short", action="store_true", help="ends within 45 s")
    seeds, hunted = (60, 70) if arguments.parse_args().short else (1000, 200)
    begun, broken, applied, leaders = time.perf_counter(), [], [], []
    for seed in range(seeds):
        for size in SIZES:
            play = History(seed, size)
            try:
                play.run()
            except AssertionError as error:
                broken.append(f"seed {seed}, {size} members: {error}")
            applied.append(play.last())
            leaders.append(len(play.leaders))
    took = time.perf_counter() - begun
    found = {mutant.__name__: first_found(mutant, hunted) for mutant in MUTANTS}
    keys = 1000 if seeds < 100 else 10_000
    running = {str(count): members(count, keys) for count in (1, 3)}
    holds = (
        not broken
        and sum(seed >= 0 for seed in found.values()) >= FOUND_BY_PLAY
        and all(one["failed"] == 0 and one["keys"] == keys for one in running.values())
        and running["1"]["a_second"] <= SLOWER_AT_MOST * running["3"]["a_second"]
    )
    return {
        "name": "store",
        "holds": holds,
        "members": running,
        "histories": len(applied),
        "broken": broken[:5],
        "a_minute": round(len(applied) / took * 60),
        "applied_median": statistics.median(applied),
        "leaders_median": statistics.median(leaders),
        "leaders_most": max(leaders),
        "bugs_found_at_seed": found,
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result["holds"] else 1)
