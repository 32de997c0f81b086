"""The store's consensus measured: histories under faults, and how soon each bug put in on purpose is found.

    python benchmarks/store.py [--short]

Histories of three and five members in virtual time (`spoolbarrow/lab/quorum.py`), one by seed. A bug that no
history finds is left to the scripted dialogues of the tests.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from spoolbarrow.lab.quorum import MUTANTS, Play, survives  # noqa: E402

SIZES = (3, 5)
FOUND_BY_PLAY = 7  # of the bugs, at least


def first_found(mutant: Any, seeds: int) -> int:
    """The first seed that finds a bug; -1 where none does."""
    for seed in range(seeds):
        if any(survives(seed, size, mutant) for size in SIZES):
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
            play = Play(seed, size)
            try:
                play.run()
            except AssertionError as error:
                broken.append(f"seed {seed}, {size} members: {error}")
            applied.append(play.last())
            leaders.append(len(play.leaders))
    took = time.perf_counter() - begun
    found = {mutant.__name__: first_found(mutant, hunted) for mutant in MUTANTS}
    return {
        "name": "store", "holds": not broken and sum(seed >= 0 for seed in found.values()) >= FOUND_BY_PLAY,
        "histories": len(applied), "broken": broken[:5], "a_minute": round(len(applied) / took * 60),
        "applied_median": statistics.median(applied), "leaders_median": statistics.median(leaders),
        "leaders_most": max(leaders), "bugs_found_at_seed": found,
    }


if __name__ == "__main__":
    result = main()
    print(orjson.dumps(result).decode())
    sys.exit(0 if result["holds"] else 1)
