"""`spoolbarrow shadow`: compares a candidate's responses with live ones, and shows the state of copying."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import click
import orjson

from spoolbarrow.errors import MissingPackage

SPOOLS_ARGUMENT = click.argument(
    "spools", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True)
)
EXIT_STATUS = {"promote": 0, "hold": 1, "not enough pairs": 3}


@click.group()
def command() -> None:
    """Shadow traffic: compare a candidate's responses, show the state of copying."""


@command.command()
@SPOOLS_ARGUMENT
@click.option("--log", "logs", multiple=True, type=click.File("rb"), help="Routers' logs.")
@click.option("--html", "page", type=click.Path(path_type=Path), help="Write a page with charts.")
@click.option("--csv", "table", type=click.Path(path_type=Path), help="Write a line for each group.")
@click.option("--least-pairs", default=200, show_default=True)
@click.option("--first-slower", default=0.10, show_default=True, help="Share of the live median.")
@click.option("--pace-slower", default=0.10, show_default=True)
@click.option("--errors", default=0.01, show_default=True, help="Excess share of failures over live.")
@click.option("--agree", default=0.0, show_default=True, help="Least share of identical responses.")
@click.option("--not-copied", default=0.5, show_default=True, help="Greatest share of wanted copies.")
def report(
    spools: tuple[Path, ...], logs: tuple[Any, ...], page: Path | None, table: Path | None, **bounds: Any
) -> int:
    """Compare the pairs in SPOOLS: files, or directories of them, from one router or several.

    \b
    Exit status: 0 promote, 1 hold, 3 not enough pairs.
    """
    try:
        from spoolbarrow.shadow import compare
        from spoolbarrow.shadow.render import to_csv, to_html
    except ImportError as error:
        raise MissingPackage("lab", error) from error
    pairs = read_pairs(spools)
    dropped: Counter[str] = Counter()
    for log in logs:
        for entry in count_lines(log):
            dropped.update(entry["dropped"])
    result = compare.report(pairs, compare.Bounds(**bounds), dict(dropped))
    if page is not None:
        page.write_text(to_html(result, pairs))
    if table is not None:
        table.write_text(to_csv(result))
    click.echo(f"{result.verdict}: {len(pairs)} pairs")
    for reason in result.reasons:
        click.echo(f"  {reason}")
    for group in result.groups:
        low, middle, high = group.first_difference
        first = f"first event {middle:+.1%} ({low:+.1%} to {high:+.1%})"
        low, middle, high = group.pace_difference
        pace = f"pace {middle:+.1%} ({low:+.1%} to {high:+.1%})"
        click.echo(f"{group.name}: {group.compared}, {first}, {pace}, same {group.same:.1%}")
    return EXIT_STATUS[result.verdict]


@command.command()
@click.argument("log", type=click.File("rb"))
def status(log: Any) -> int:
    """Show the state of copying from the last counts in a router's LOG; exit status 1 if there are none."""
    last: dict[str, Any] | None = None
    dropped: Counter[str] = Counter()
    for entry in count_lines(log):
        last = entry
        dropped.update(entry["dropped"])
    if last is None:
        click.echo("nothing about shadow traffic")
        return 1
    for name in ("copied", "pairs", "pairs_dropped", "out", "allowance", "breaker"):
        click.echo(f"{name}: {last[name]}")
    for why, number in dropped.most_common():
        click.echo(f"not copied, {why}: {number}")
    return 0


def count_lines(log: Any) -> list[dict[str, Any]]:
    """The log lines with counts; other lines, and those that are not JSON, are skipped."""
    entries = []
    for line in log:
        if b'"shadow_counts"' in line:
            try:
                entry = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue  # truncated by a crash
            if isinstance(entry, dict) and isinstance(entry.get("dropped"), dict):
                entries.append(entry)
    return entries


def read_pairs(spools: tuple[Path, ...]) -> list[dict[str, Any]]:
    """The pairs of all files; those before a torn end are used, and a warning is printed."""
    from spoolbarrow.spool import read_spool_file

    pairs = []
    for spool in spools:
        for path in sorted(spool.glob("*.pairs.zst*")) if spool.is_dir() else [spool]:
            data, torn = read_spool_file(path)
            if torn:
                click.echo(f"{path}: torn, read up to the damage", err=True)
            for line in data.splitlines():
                try:
                    pairs.append(orjson.loads(line))
                except orjson.JSONDecodeError:
                    click.echo(f"{path}: skipped a malformed line", err=True)
    return pairs
