"""Keep the result of a long run: a table and a chart in docs/measurements/.

    python benchmarks/NAME.py | tail -n 1 | python benchmarks/publish_result.py "what was measured, and on what"

The chart has a pair of bars, median and 99th percentile, for each kind under `times`; the lab's shows cost
by size, and how far sockets and the simulator agree.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson

PLACE = Path(__file__).resolve().parent.parent / "docs" / "measurements"


def flat(value: Any, name: str = "") -> Iterator[tuple[str, Any]]:
    """Every figure with the way to it."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flat(inner, f"{name}.{key}" if name else key)
    else:
        yield name, value


def chart(result: dict[str, Any], path: Path) -> None:
    """Bars of the times; needs matplotlib (extra `lab`)."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = result["name"]  # the same figures, the same file
    kinds = list(result["times"])
    fields = list(result["times"][kinds[0]])
    figure, axes = pyplot.subplots(1, len(fields), figsize=(4 * len(fields), 3), layout="constrained")
    for place, field in zip(axes, fields, strict=True):
        for n, which in enumerate(("median_ms", "p99_ms")):
            heights = [result["times"][kind][field][which] for kind in kinds]
            place.bar([at + 0.4 * n for at in range(len(kinds))], heights, 0.4, label=which)
        place.set_xticks([at + 0.2 for at in range(len(kinds))], kinds)
        place.set_title(field)
        place.set_ylabel("ms")
    axes[0].legend()
    figure.savefig(path, metadata={"Date": None})


def panels(result: dict[str, Any], path: Path) -> None:
    """The lab's: what a decision costs by size, and sockets against the simulator."""
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
    """Write both files."""
    result, said = orjson.loads(sys.stdin.buffer.read().splitlines()[-1]), " ".join(sys.argv[1:])
    name = result["name"]
    PLACE.mkdir(exist_ok=True)
    lines = [f"# {name}", "", said, ""]
    if "times" in result:
        chart(result, PLACE / f"{name}.svg")
        lines += [f"![times]({name}.svg)", ""]
    if "days" in result:
        panels(result, PLACE / f"{name}.svg")
        lines += [f"![sizes, and agreement]({name}.svg)", ""]
    lines += ["| figure | value |", "| --- | --- |"]
    lines += [f"| {key} | {value} |" for key, value in flat(result)]
    (PLACE / f"{name}.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
