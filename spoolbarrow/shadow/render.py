"""Renders a comparison as an HTML page with charts and as a CSV table."""

from __future__ import annotations

import csv
import html
import io
from collections.abc import Callable
from typing import Any

import msgspec

from spoolbarrow.shadow.compare import Figures, Pair, Report, first_event_ms, is_complete, time_per_token_ms

STYLE = (
    "body{font:14px sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}td:first-child,th:first-child"
    "{text-align:left}.promote{color:#070}.hold{color:#a00}svg{max-width:100%;height:auto}"
)


def flatten(group: Figures) -> dict[str, Any]:
    """The figures of a group as one flat row."""
    row: dict[str, Any] = {}

    def visit(value: Any, name: str) -> None:
        if isinstance(value, dict):
            for key, item in value.items():
                visit(item, f"{name}_{key}" if name else key)
        elif isinstance(value, (list, tuple)):
            for part, item in zip(("low", "median", "high"), value, strict=True):
                visit(item, f"{name}_{part}")
        else:
            row[name] = round(value, 5) if isinstance(value, float) else value

    visit(msgspec.to_builtins(group), "")
    return row


def to_csv(report: Report) -> str:
    """A CSV table with one row per group."""
    rows = [flatten(group) for group in report.groups]
    columns = list(dict.fromkeys(name for row in rows for name in row))
    out = io.StringIO()
    writer = csv.DictWriter(out, columns, lineterminator="\n")
    writer.writeheader()
    writer.writerows(rows)
    return out.getvalue()


def to_html(report: Report, pairs: list[Pair]) -> str:
    """An HTML page with inline charts."""
    escape = html.escape
    parts = [f"<!doctype html><meta charset=utf-8><title>Shadow report</title><style>{STYLE}</style>"]
    mark = report.verdict.split()[0]
    parts.append(f"<h1>Shadow report: <span class={mark}>{escape(report.verdict)}</span></h1>")
    parts += [f"<p>{escape(reason)}</p>" for reason in report.reasons]
    columns: tuple[tuple[str, Callable[[Figures], str]], ...] = (
        ("pairs", lambda g: str(g.pairs)),
        ("whole", lambda g: str(g.compared)),
        ("first event, live p50 / p99", lambda g: _two(g.live.first_ms)),
        ("copy", lambda g: _two(g.copy.first_ms)),
        ("difference (95%)", lambda g: _range(g.first_difference)),
        ("ms a token, live p50 / p99", lambda g: _two(g.live.token_ms)),
        ("copy", lambda g: _two(g.copy.token_ms)),
        ("difference (95%)", lambda g: _range(g.pace_difference)),
        ("same", lambda g: f"{g.same:.1%}"),
        ("common opening", lambda g: f"{g.opening:.1%}"),
        ("edit distance", lambda g: "" if g.edit is None else f"{g.edit:.3f}"),
        ("same finish", lambda g: f"{g.finish_agree:.1%}"),
        ("length, copy / live", lambda g: f"{g.length_ratio:.2f}"),
        ("failed, live / copy", lambda g: f"{g.live.failed:.1%} / {g.copy.failed:.1%}"),
    )
    parts.append(
        "<table><tr><th></th>" + "".join(f"<th>{escape(name)}</th>" for name, _ in columns) + "</tr>"
    )
    for group in report.groups:
        cells = "".join(f"<td>{escape(show(group))}</td>" for _, show in columns)
        parts.append(f"<tr><td>{escape(group.name)}</td>{cells}</tr>")
    parts.append("</table>")
    for title, counts in (("What failed", report.failures), ("What was not copied", report.not_copied)):
        if counts:
            parts.append(f"<h2>{title}</h2><table>")
            parts += [f"<tr><td>{escape(why)}</td><td>{n}</td></tr>" for why, n in counts.items()]
            parts.append("</table>")
    compared = [pair for pair in pairs if is_complete(pair)]
    if compared:
        parts.append("<h2>Times</h2>" + _charts(compared))
    return "\n".join(parts) + "\n"


def _two(values: dict[str, float]) -> str:
    return f"{values['p50']:.1f} / {values['p99']:.1f}" if values else ""


def _range(difference: tuple[float, float, float]) -> str:
    low, middle, high = difference
    return f"{middle:+.1%} ({low:+.1%} to {high:+.1%})"


def _charts(compared: list[Pair]) -> str:
    """The distributions of both sides, as SVG."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "shadow"
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 3.2), layout="constrained")
    for axis, (title, time) in zip(
        axes, (("first event, ms", first_event_ms), ("ms a token", time_per_token_ms)), strict=True
    ):
        for side in ("live", "copy"):
            values = sorted(v for v in (time(pair[side]) for pair in compared) if v == v)
            shares = [(n + 1) / len(values) for n in range(len(values))]
            axis.step(values, shares, where="post", label=side)
        axis.set_title(title)
        axis.set_ylabel("share of answers")
        axis.legend()
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]
