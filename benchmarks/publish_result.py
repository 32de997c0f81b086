"""Writes the result of a long run as a table and a chart to docs/measurements/.

    python benchmarks/NAME.py | tail -n 1 |
        python benchmarks/publish_result.py "what was measured, and on what"

The chart has a pair of bars, median and 99th percentile, for each kind under `times`. The chart of the lab
shows the cost by fleet size and the agreement between sockets and the simulator.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson

OUTPUT_DIR = Path(__file__).resolve().parent.parent / "docs" / "measurements"


def flatten(value: Any, name: str = "") -> Iterator[tuple[str, Any]]:
    """Yield every figure with its dotted path."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{name}.{key}" if name else key)
    else:
        yield name, value


def chart(result: dict[str, Any], path: Path) -> None:
    """Draw bars of the times; needs matplotlib (extra `lab`)."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = result["name"]  # the same figures give the same file
    kinds = list(result["times"])
    fields = list(result["times"][kinds[0]])
    figure, axes = pyplot.subplots(1, len(fields), figsize=(4 * len(fields), 3), layout="constrained")
    for axis, field in zip(axes, fields, strict=True):
        for n, statistic in enumerate(("median_ms", "p99_ms")):
            heights = [result["times"][kind][field][statistic] for kind in kinds]
            axis.bar([at + 0.4 * n for at in range(len(kinds))], heights, 0.4, label=statistic)
        axis.set_xticks([at + 0.2 for at in range(len(kinds))], kinds)
        axis.set_title(field)
        axis.set_ylabel("ms")
    axes[0].legend()
    figure.savefig(path, metadata={"Date": None})


def lab_chart(result: dict[str, Any], path: Path) -> None:
    """Draw the cost of a decision by fleet size, and sockets against the simulator."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = result["name"]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3), layout="constrained")
    sizes = result["sizes"]
    left.plot([int(size) for size in sizes], [one["decision_us"] for one in sizes.values()], marker="o")
    left.set_xscale("log")
    left.set_ylim(bottom=0)
    left.set_xlabel("engines")
    left.set_ylabel("us a request, decisions")
    days = result["days"]
    right.bar(list(days), [one["first_token_ratio"] for one in days.values()])
    right.axhspan(1 / 1.15, 1.15, alpha=0.2)
    right.set_ylabel("median first token, sockets / simulator")
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    """Write the table and the chart."""
    result, description = orjson.loads(sys.stdin.buffer.read().splitlines()[-1]), " ".join(sys.argv[1:])
    name = result["name"]
    OUTPUT_DIR.mkdir(exist_ok=True)
    lines = [f"# {name}", "", description, ""]
    if "times" in result:
        chart(result, OUTPUT_DIR / f"{name}.svg")
        lines += [f"![times]({name}.svg)", ""]
    if "days" in result:
        lab_chart(result, OUTPUT_DIR / f"{name}.svg")
        lines += [f"![sizes, and agreement]({name}.svg)", ""]
    lines += ["| figure | value |", "| --- | --- |"]
    lines += [f"| {key} | {value} |" for key, value in flatten(result)]
    (OUTPUT_DIR / f"{name}.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
