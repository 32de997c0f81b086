"""`spoolbarrow shadow`: compare what the candidate answered, and see how copying goes."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import click
import orjson

from spoolbarrow.errors import MissingPackage

PATHS = click.argument("spools", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
STATUS = {"promote": 0, "hold": 1, "not enough pairs": 3}


@click.group()
def command() -> None:
    """Shadow traffic: compare a candidate's answers, see how copying goes."""


@command.command()
@PATHS
@click.option("--log", "logs", multiple=True, type=click.File("rb"), help="Routers' logs.")
@click.option("--html", "page", type=click.Path(path_type=Path), help="Write a page with charts.")
@click.option("--csv", "table", type=click.Path(path_type=Path), help="Write a line for each group.")
@click.option("--least-pairs", default=200, show_default=True)
@click.option("--first-slower", default=0.10, show_default=True, help="Share of live's median.")
@click.option("--pace-slower", default=0.10, show_default=True)
@click.option("--errors", default=0.01, show_default=True, help="More failed copies than live answers.")
@click.option("--agree", default=0.0, show_default=True, help="Least share of answers that are the same.")
@click.option("--not-copied", default=0.5, show_default=True, help="Of what was wanted, at most.")
def report(
    spools: tuple[Path, ...], logs: tuple[Any, ...], page: Path | None, table: Path | None, **bounds: Any
) -> int:
    """Compare the pairs in SPOOLS: files, or directories of them, of one router or several.

    \b
    Exit status: 0 promote, 1 hold, 3 not enough pairs.
    """
    try:
        from spoolbarrow.shadow import compare
        from spoolbarrow.shadow.render import to_csv, to_html
    except ImportError as error:
        raise MissingPackage("lab", error) from error
    pairs = read(spools)
    missed: Counter[str] = Counter()
    for log in logs:
        for told in counts(log):
            missed.update(told["dropped"])
    found = compare.report(pairs, compare.Bounds(**bounds), dict(missed))
    if page is not None:
        page.write_text(to_html(found, pairs))
    if table is not None:
        table.write_text(to_csv(found))
    click.echo(f"{found.verdict}: {len(pairs)} pairs")
    for reason in found.reasons:
        click.echo(f"  {reason}")
    for group in found.groups:
        low, middle, high = group.first_difference
        first = f"first event {middle:+.1%} ({low:+.1%} to {high:+.1%})"
        low, middle, high = group.pace_difference
        pace = f"pace {middle:+.1%} ({low:+.1%} to {high:+.1%})"
        click.echo(f"{group.name}: {group.compared}, {first}, {pace}, same {group.same:.1%}")
    return STATUS[found.verdict]


@command.command()
@click.argument("log", type=click.File("rb"))
def status(log: Any) -> int:
    """How copying goes, as a router's LOG last told; exit status 1 where it tells nothing."""
    last: dict[str, Any] | None = None
    dropped: Counter[str] = Counter()
    for told in counts(log):
        last = told
        dropped.update(told["dropped"])
    if last is None:
        click.echo("nothing about shadow traffic")
        return 1
    for name in ("copied", "pairs", "pairs_dropped", "out", "allowance", "breaker"):
        click.echo(f"{name}: {last[name]}")
    for why, number in dropped.most_common():
        click.echo(f"not copied, {why}: {number}")
    return 0


def counts(log: Any) -> list[dict[str, Any]]:
    """The lines with counts of a log; others, and what is no line, are passed over."""
    found = []
    for line in log:
        if b'"shadow_counts"' in line:
            try:
                told = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue  # cut short by a crash
            if isinstance(told, dict) and isinstance(told.get("dropped"), dict):
                found.append(told)
    return found


def read(spools: tuple[Path, ...]) -> list[dict[str, Any]]:
    """The pairs of all files; what a torn tail leaves whole counts, and is told."""
    from spoolbarrow.spool import read_spool_file

    pairs = []
    for place in spools:
        for path in sorted(place.glob("*.pairs.zst*")) if place.is_dir() else [place]:
            data, torn = read_spool_file(path)
            if torn:
                click.echo(f"{path}: torn, read as far as it is whole", err=True)
            for line in data.splitlines():
                try:
                    pairs.append(orjson.loads(line))
                except orjson.JSONDecodeError:
                    click.echo(f"{path}: a line that is none", err=True)
    return pairs
