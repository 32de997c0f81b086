"""`spoolbarrow lab`: runs scenarios with a model of the fleet, in virtual time or on sockets."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import click
import orjson

from spoolbarrow.cli.errors import BadArgument, LabRunFailed, NoResults
from spoolbarrow.errors import MissingPackage
from spoolbarrow.lab.scenario import Scenario, convert, load_raw, set_key

SCENARIO_ARGUMENT = click.argument("scenario", type=click.Path(path_type=Path, exists=True, dir_okay=False))
SET_OPTION = click.option(
    "--set", "sets", multiple=True, metavar="KEY=VALUE", help="For example `engines=100`."
)


@click.group()
def command() -> None:
    """The lab: run scenarios with a model of engines, discovery, clients and faults."""


def read(path: Path, sets: tuple[str, ...]) -> Scenario:
    """The scenario of a file with changes; if it is invalid, the command ends with status 2."""
    raw = load_raw(path)
    for assignment in sets:
        key, equals, text = assignment.partition("=")
        if not equals:
            raise BadArgument(f"--set {assignment}", "must be KEY=VALUE")
        set_key(raw, key, parse_value(text))
    return convert(raw)


def parse_value(text: str) -> Any:
    """Parse a TOML value; anything else is a string."""
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


@command.command()
@SCENARIO_ARGUMENT
@SET_OPTION
@click.option("--policy", default="spoolbarrow", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the whole report, on one line.")
def simulate(scenario: Path, sets: tuple[str, ...], policy: str, seed: int, as_json: bool) -> int:
    """Run SCENARIO in virtual time with the real decisions, or another policy.

    The same seed gives the same report, except for its last member `run`, which describes this machine.
    """
    from spoolbarrow.lab.policies import POLICIES
    from spoolbarrow.lab.simulate import simulate as play

    if policy not in POLICIES:
        raise BadArgument("--policy", f"one of {', '.join(POLICIES)}")
    report = play(read(scenario, sets), policy, seed)
    print_report(report, as_json)
    return 1 if report["rules_broken"] else 0


@command.command()
@SCENARIO_ARGUMENT
@SET_OPTION
@click.option("--on", type=click.Choice(["simulator", "sockets"]), default="simulator", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=2, show_default=True, help="For the engines, and as many for the load.")
@click.option("--keep", type=click.Path(path_type=Path, file_okay=False), help="Directory for routers' logs.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole report, on one line.")
def run(
    scenario: Path,
    sets: tuple[str, ...],
    on: str,
    seed: int,
    processes: int,
    keep: Path | None,
    as_json: bool,
) -> int:
    """Run SCENARIO with the real decisions; on sockets with the real program, in real time.

    \b
    Exit status: 1 if a rule was broken.
    """
    loaded = read(scenario, sets)
    if on == "simulator":
        from spoolbarrow.lab.simulate import simulate as play

        report = play(loaded, "spoolbarrow", seed)
    else:
        try:
            from spoolbarrow.lab import socket_run
        except ImportError as error:
            raise MissingPackage("lab", error) from error
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
        try:
            report = socket_run.run_on_sockets(loaded, seed, processes, show_progress, keep)
        except OSError as error:
            raise LabRunFailed("", str(error)) from error
    print_report(report, as_json)
    return 1 if report["rules_broken"] else 0


@command.command()
@SCENARIO_ARGUMENT
@SET_OPTION
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=2, show_default=True)
@click.option(
    "--port", default=0, help="Port of the first router's discovery, others follow; default: free ports."
)
@click.option(
    "--engine-port", default=0, help="First engine's first port, one for each router; others follow."
)
def emulate(
    scenario: Path, sets: tuple[str, ...], seed: int, processes: int, port: int, engine_port: int
) -> int:
    """Serve SCENARIO's engines and discovery on loopback, for any router, until interrupted.

    Prints discovery's address for each router. The scenario, with its faults, starts at once.
    """
    import gevent

    from spoolbarrow.lab.emulator import Emulator

    try:
        running = Emulator(read(scenario, sets), seed, processes, port, engine_port)
    except OSError as error:
        raise LabRunFailed("", str(error)) from error
    with running as fleet:
        for n, address in enumerate(fleet.discovery.addresses):
            click.echo(f"router {n}: discovery at {address}")
        fleet.begin()
        click.echo("the scenario has started; Ctrl-C ends it")
        try:
            while True:
                gevent.sleep(1.0)
        except KeyboardInterrupt:
            return 0


@command.command()
@SCENARIO_ARGUMENT
@SET_OPTION
@click.argument("targets", nargs=-1, required=True, metavar="IP:PORT...")
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=2, show_default=True)
@click.option("--token-bytes", default=4, show_default=True, help="Bytes of prompt text per token.")
@click.option("--csv", "table", type=click.Path(path_type=Path), help="Write a line for each request.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole report, on one line.")
def load(
    scenario: Path, sets: tuple[str, ...], targets: tuple[str, ...], seed: int, processes: int,
    token_bytes: int, table: Path | None, as_json: bool,
) -> int:  # fmt: skip
    """Send SCENARIO's requests to routers at IP:PORT, each at its time.

    \b
    Exit status: 1 if the load could not keep its own schedule.
    """
    import time

    from spoolbarrow.config import parse_address
    from spoolbarrow.lab.run_report import build_report, to_csv

    try:
        from spoolbarrow.lab.load import LoadGenerator
    except ImportError as error:
        raise MissingPackage("lab", error) from error

    loaded = read(scenario, sets)
    addresses = [parse_address("IP:PORT", target) for target in targets]
    try:
        with LoadGenerator(loaded, seed, addresses, processes, token_bytes) as running:
            running.begin(time.monotonic() + 0.1)
            show_progress(running)
            records, figures = running.wait()
    except OSError as error:
        raise LabRunFailed("", str(error)) from error
    report = build_report(loaded, records, []) | {"load": figures, "seed": seed}
    if table is not None:
        table.write_text(to_csv(loaded, records))
    print_report(report, as_json)
    return 0 if figures["kept_its_schedule"] else 1


def show_progress(running: Any) -> None:
    """Show a table of the load's processes, updated each second on a terminal, until the load has ended."""
    import gevent
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    def table() -> Table:
        rendered = Table("process", "sent", "done", "open", "sent late")
        for n, process in enumerate(running.progress):
            rendered.add_row(str(n), *(str(process.get(key, 0)) for key in ("sent", "done", "open", "late")))
        return rendered

    console = Console(stderr=True)
    with Live(table(), console=console, transient=True, auto_refresh=False) as live:
        while any(not greenlet.ready() for greenlet in running.hearing):
            gevent.joinall(running.hearing, timeout=1.0)
            if console.is_terminal:
                live.update(table(), refresh=True)


@command.command()
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--into", type=click.Path(path_type=Path, file_okay=False), help="Default: beside FILE, with its name."
)
@click.option("--workers", default=0, help="Processes; default: one per core.")
def experiment(file: Path, into: Path | None, workers: int) -> int:
    """Run the runs of FILE that are missing in its table; after a kill, the same command continues."""
    import os

    try:
        from rich.progress import Progress

        from spoolbarrow.lab import experiment as lab
    except ImportError as error:
        raise MissingPackage("lab", error) from error
    definition = lab.read_experiment(file)
    with Progress(transient=True) as bar:
        task = bar.add_task(definition.name)
        directory = into or file.parent / definition.name
        completed = lab.run_experiment(
            definition, file.parent, directory, workers or os.cpu_count() or 1,
            lambda done, of: bar.update(task, completed=done, total=of),
        )  # fmt: skip
    click.echo(f"{completed} runs completed; the table is {directory / lab.TABLE}")
    return 0


@command.command()
@click.argument("a")
@click.argument("b")
@click.option("--figure", "figures", multiple=True, default=("worth",), show_default=True)
def compare(a: str, b: str, figures: tuple[str, ...]) -> int:
    """Compare the runs of B with those of A: each a DIRECTORY, or DIRECTORY:column=value,...

    \b
    Runs are paired by scenario, settings, constants, policy and seed, except for the columns named.
    Exit status: 1 if B is worse in some figure.
    """
    try:
        from spoolbarrow.lab.compare import compare as hold
    except ImportError as error:
        raise MissingPackage("lab", error) from error
    worse = False
    for figure in figures:
        result = hold(a, b, figure)
        interval = f"{result.difference:+.4f} (95%: {result.low:+.4f} to {result.high:+.4f})"
        click.echo(
            f"{figure}: {result.of_a:.4f}, {result.of_b:.4f}: {interval}, "
            f"{result.pairs} pairs: {result.verdict}"
        )
        worse |= result.verdict == "B is worse"
    return int(worse)


@command.command()
@click.argument("directory", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--into", type=click.Path(path_type=Path, file_okay=False), help="Default: DIRECTORY.")
def plot(directory: Path, into: Path | None) -> int:
    """Draw the charts of the table in DIRECTORY, and a page that contains them."""
    try:
        from spoolbarrow.lab import charts
        from spoolbarrow.lab.experiment import ResultTable
    except ImportError as error:
        raise MissingPackage("lab", error) from error
    rows = ResultTable(directory).rows()
    if not rows:
        raise NoResults(str(directory), "no results")
    for path in charts.write(rows, into or directory, directory.name):
        click.echo(path)
    return 0


def print_report(report: dict[str, Any], as_json: bool) -> None:
    """Print a report."""
    click.echo(orjson.dumps(report).decode() if as_json else format_report(report))


def format_report(report: dict[str, Any]) -> str:
    """Format a report as text."""
    size = f", {report['engines']} engines, {report['routers']} routers" if "engines" in report else ""
    policy = f", {report['policy']}" if "policy" in report else ""
    lines = [f"{report['scenario']}: {report['requests']} requests{size}{policy}, seed {report['seed']}"]
    line = f"worth {report['worth']:.3f}, refused {report['refused_share']:.2%}"
    labels = {"attempts_a_request": "attempts a request", "probes_a_request": "probes a request"}
    labels |= {"wasted_share": "share of work wasted", "spread": "spread"}
    for key, name in labels.items():
        if key in report:
            line += f", {name} {report[key]:.3f}"
    lines.append(line)
    lines.append("outcomes: " + ", ".join(f"{name} {n}" for name, n in report["outcomes"].items()))
    if report["worth_lost"]:
        causes = (f"{name} {share:.3f}" for name, share in report["worth_lost"].items())
        lines.append("worth lost by cause: " + ", ".join(causes))
    for group in ("classes", "tenants"):
        for name, entry in report[group].items():
            first = f"{entry['first_token_ms_p50']:.0f} ms, p99 {entry['first_token_ms_p99']:.0f} ms"
            lines.append(
                f"  {name}: {entry['requests']}, worth {entry['worth']:.3f}, "
                f"refused {entry['refused_share']:.2%}, first token p50 {first}"
            )
    for window in report["worst_windows"]:
        lines.append(f"  from {window['begin_s']:.0f} s: worth {window['worth']:.3f} of {window['requests']}")
    for fault in report["troubles"]:
        span = f"at {fault['begin_s']:.1f} s for {fault['length_s']:.1f} s, {fault['victims']} hit"
        within, outside = fault["worth_within"], fault["worth_outside"]
        lines.append(f"  {fault['name']} {span}: worth {within:.3f} within, {outside:.3f} outside")
    for rule, count in report.get("rules_broken", {}).items():
        lines.append(f"  RULE BROKEN {count} times: {rule}")
    for key in ("load", "run"):
        if key in report:
            lines.append(f"{key}: " + ", ".join(f"{name} {value}" for name, value in report[key].items()))
    if "load" in report and not report["load"]["kept_its_schedule"]:
        lines.append("THE LOAD WAS TOO SLOW to keep its schedule: don't use these figures")
    return "\n".join(lines)
