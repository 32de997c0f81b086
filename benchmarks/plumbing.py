"""What a library costs a process that loads it: memory and time at its start, against the same without it.

    python benchmarks/plumbing.py

For the table of plumbing in docs/design.md. Five pairs of fresh processes a library, without and with it in
turn; told are the medians of the differences. Libraries that are not installed are left out.
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
SERVING = "spoolbarrow.serve, spoolbarrow.admin.coordinator"
MEMBER = "spoolbarrow.store.raft, spoolbarrow.net.http1"
LIBRARIES = (  # what is loaded anyway, and what comes to it
    (SERVING, "gevent.pywsgi"), (MEMBER, "gevent.pywsgi"), (SERVING, "prometheus_client"),
    (SERVING, "structlog"), (SERVING, "tenacity"), ("click, json", "http.client"), ("click, json", "urllib3"),
    ("os", "psutil"), ("pytest", "pytest_timeout"), ("pytest", "xdist.dsession"),
)  # fmt: skip
TELL = """
import time; begun = time.perf_counter()
import {}
took = time.perf_counter() - begun
told = dict(line.split(":") for line in open("/proc/self/smaps_rollup").read().splitlines()[1:])
print(took * 1000, sum(int(told[key].split()[0]) for key in ("Private_Dirty", "Private_Clean")) / 1024)
"""


def start(modules: str) -> tuple[float, float]:
    """Milliseconds that a fresh process takes to load modules, and its own memory after it, in MiB."""
    run = [sys.executable, "-c", TELL.format(modules)]
    done = subprocess.run(run, cwd=ROOT, env=os.environ, capture_output=True, text=True, check=True)
    took, memory = done.stdout.split()
    return float(took), float(memory)


def main() -> int:
    """Measure each, print a line each."""
    for anyway, library in LIBRARIES:
        if find_spec(library.partition(".")[0]) is None:
            continue
        pairs = [(start(anyway), start(f"{anyway}, {library}")) for _ in range(PAIRS)]
        took, memory = (statistics.median(more[n] - less[n] for less, more in pairs) for n in (0, 1))
        print(f"{library:20} {took:+7.1f} ms {memory:+6.2f} MiB  beside {anyway}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
