"""Draws charts of a table of results: SVG files and an HTML page with all of them."""

from __future__ import annotations

import html
import io
from collections.abc import Callable
from pathlib import Path
from typing import Any

import matplotlib
import orjson

matplotlib.use("svg")
from matplotlib import pyplot

STYLE = "body{font:14px sans-serif;max-width:75em;margin:2em auto}svg{max-width:100%;height:auto}"
FIGURES = ("worth", "refused_share", "decision_us")
NAMES = {
    "worth": "share of worth",
    "refused_share": "share refused",
    "decision_us": "us a request, decisions",
    "engines": "engines",
    "per_engine": "requests a second for each engine",
}


def render(draw: Callable[[Any], None], width: float = 6.0, height: float = 3.4) -> str:
    """The chart as SVG text; the same figures give the same text."""
    matplotlib.rcParams["svg.hashsalt"] = "lab"
    figure, axes = pyplot.subplots(figsize=(width, height), layout="constrained")
    draw(axes)
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def groups(rows: list[dict[str, Any]], key: str) -> dict[Any, list[dict[str, Any]]]:
    """The rows grouped by a column, in the order of its values."""
    found: dict[Any, list[dict[str, Any]]] = {}
    for row in sorted(rows, key=lambda row: row[key]):
        found.setdefault(row[key], []).append(row)
    return found


def distribution(rows: list[dict[str, Any]], figure: str) -> str:
    """The distribution of a figure over runs, by policy."""

    def draw(axes: Any) -> None:
        for policy, policy_rows in groups(rows, "policy").items():
            values = sorted(row[figure] for row in policy_rows)
            axes.step(values, [(n + 1) / len(values) for n in range(len(values))], where="post", label=policy)
        axes.set_xlabel(NAMES.get(figure, figure))
        axes.set_ylabel("share of runs at or under")
        axes.legend(fontsize="small")

    return render(draw)


def against(rows: list[dict[str, Any]], figure: str, key: str) -> str:
    """The mean of a figure over load or size, by policy; bars show the minimum and maximum."""

    def draw(axes: Any) -> None:
        for policy, policy_rows in groups(rows, "policy").items():
            by = groups(policy_rows, key)
            means = [sum(row[figure] for row in some) / len(some) for some in by.values()]
            low = [m - min(row[figure] for row in some) for m, some in zip(means, by.values(), strict=True)]
            high = [max(row[figure] for row in some) - m for m, some in zip(means, by.values(), strict=True)]
            axes.errorbar(list(by), means, yerr=[low, high], capsize=3, marker="o", label=policy)
        if key == "engines":
            axes.set_xscale("log")
        axes.set_xlabel(NAMES.get(key, key))
        axes.set_ylabel(NAMES.get(figure, figure))
        axes.legend(fontsize="small")

    return render(draw)


def timeline(report: dict[str, Any]) -> str:
    """A run's worth by window, with its faults shaded."""

    def draw(axes: Any) -> None:
        windows = report["windows"]
        axes.step([w["begin_s"] for w in windows], [w["worth"] for w in windows], where="post")
        for trouble in report["troubles"]:
            begin = trouble["begin_s"]
            axes.axvspan(begin, begin + max(trouble["length_s"], 0.5), alpha=0.2, color="tab:red")
            axes.text(begin, 0.02, trouble["name"], rotation=90, fontsize="small", va="bottom")
        axes.set_ylim(0.0, 1.05)
        axes.set_xlabel("s")
        axes.set_ylabel("share of worth")
        axes.set_title(f"{report['scenario']}, {report['policy']}, seed {report['seed']}", fontsize="medium")

    return render(draw, 8.0)


def charts(rows: list[dict[str, Any]]) -> dict[str, str]:
    """Every chart that the rows have data for, by name."""
    found = {}
    for figure in FIGURES:
        found[f"{figure}-distribution"] = distribution(rows, figure)
        for key in ("engines", "per_engine"):
            if len({row[key] for row in rows}) > 1:
                found[f"{figure}-against-{key}"] = against(rows, figure, key)
    for (scenario, policy), one in {(row["scenario"], row["policy"]): row for row in rows}.items():
        report = orjson.loads(one["report"])
        if report["troubles"]:
            found[f"timeline-{scenario}-{policy}"] = timeline(report)
    return found


def write(rows: list[dict[str, Any]], into: Path, title: str) -> list[Path]:
    """Write the charts and the page; return the paths written."""
    into.mkdir(parents=True, exist_ok=True)
    made = charts(rows)
    written = []
    parts = [f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{STYLE}</style>"]
    parts.append(f"<h1>{html.escape(title)}</h1><p>{len(rows)} runs</p>")
    for name, svg in made.items():
        path = into / f"{name}.svg"
        path.write_text(svg)
        written.append(path)
        parts.append(f"<h2>{html.escape(name)}</h2>{svg}")
    page = into / "index.html"
    page.write_text("\n".join(parts))
    return [*written, page]
