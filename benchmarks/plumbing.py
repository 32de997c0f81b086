"""Measures the memory and start time that a library adds to a process that loads it.

    python benchmarks/plumbing.py

For the table of plumbing in docs/design.md. Starts five pairs of fresh processes per library, without and
with it in turn, and prints the medians of the differences. Libraries that are not installed are skipped.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
from importlib.util import find_spec
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAIRS = 5
ROUTER = "spoolbarrow.serve, spoolbarrow.admin.coordinator"
MEMBER = "spoolbarrow.store.raft, spoolbarrow.net.http1"
LIBRARIES = (  # modules loaded in both processes, and the added library
    (ROUTER, "gevent.pywsgi"), (MEMBER, "gevent.pywsgi"), (ROUTER, "prometheus_client"),
    (ROUTER, "structlog"), (ROUTER, "tenacity"), ("click, json", "http.client"), ("click, json", "urllib3"),
    ("os", "psutil"), ("pytest", "pytest_timeout"), ("pytest", "xdist.dsession"),
)  # fmt: skip
MEASURE = """
import time; begun = time.perf_counter()
import {}
took = time.perf_counter() - begun
told = dict(line.split(":") for line in open("/proc/self/smaps_rollup").read().splitlines()[1:])
print(took * 1000, sum(int(told[key].split()[0]) for key in ("Private_Dirty", "Private_Clean")) / 1024)
"""


def start(modules: str) -> tuple[float, float]:
    """Milliseconds that a fresh process takes to load modules, and its private memory after that, in MiB."""
    run = [sys.executable, "-c", MEASURE.format(modules)]
    done = subprocess.run(run, cwd=ROOT, env=os.environ, capture_output=True, text=True, check=True)
    took, memory = done.stdout.split()
    return float(took), float(memory)


def main() -> int:
    """Measure each library and print one line for it."""
    for baseline, library in LIBRARIES:
        if find_spec(library.partition(".")[0]) is None:
            continue
        pairs = [(start(baseline), start(f"{baseline}, {library}")) for _ in range(PAIRS)]
        took, memory = (statistics.median(more[n] - less[n] for less, more in pairs) for n in (0, 1))
        print(f"{library:20} {took:+7.1f} ms {memory:+6.2f} MiB  beside {baseline}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
