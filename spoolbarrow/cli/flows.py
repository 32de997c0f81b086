"""`spoolbarrow flows`: collect flow records, read them, rank them, hold them against the log."""

from __future__ import annotations

import csv
import ipaddress
import os
import signal
import sys
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click
import gevent
import orjson
from gevent.event import Event

from spoolbarrow import operator
from spoolbarrow.cli import tell
from spoolbarrow.cli.errors import BadArgument
from spoolbarrow.config import CannotListen
from spoolbarrow.errors import MissingPackage
from spoolbarrow.flows import analysis
from spoolbarrow.flows.collector import Listener, read_ipfix_file, server_tls_context
from spoolbarrow.flows.decode import FlowError, Message

ENTERPRISE = click.option(
    "--enterprise", default=32_473, show_default=True, help="The exporter's enterprise number."
)
FORM = click.option("--format", "form", type=click.Choice(["table", "json", "csv"]), default="table")
FILES = click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
KIND = click.option("--kind", type=click.Choice([*analysis.ROW_KINDS, "all"]), default="all", show_default=True)
TEMPLATES_KEPT = 64  # messages with templates kept for the beginnings of new files, each exporter
# What people read: the rest is in JSON and CSV.
NOT_IN_TABLES = frozenset({"kind", "exporter", "class_index", "tenant_index", "engine_flow", "flow"})
WIDE = 160  # columns of a table that is not written to a terminal


@click.group()
def command() -> None:
    """Flow records: collect, read, rank and verify them."""


@command.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--directory", type=click.Path(path_type=Path, file_okay=False), help="Keep IPFIX files here.")
@click.option("--file-bytes", default=64 << 20, show_default=True, help="A file is followed by another then.")
@click.option("--ca", help="PEM: who may have signed exporters' certificates (tls://).")
@click.option("--certificate", help="PEM: this collector's own.")
@click.option("--key", help="PEM: its key.")
@click.option("--records", default=0, help="End after so many records; 0: at SIGTERM.")
@ENTERPRISE
@FORM
@KIND
def collect(
    addresses: tuple[str, ...],
    directory: Path | None,
    file_bytes: int,
    ca: str | None,
    certificate: str | None,
    key: str | None,
    records: int,
    enterprise: int,
    form: str,
    kind: str,
) -> int:
    """Collect at ADDRESSES (udp://IP:PORT, tcp://IP:PORT, tls://IP:PORT) until SIGTERM or SIGINT.

    Prints each record, and keeps files with --directory. What could not be read is counted at the end, and
    then the exit status is 1.
    """
    end, names, seen = Event(), analysis.NameTable(), 0
    writer = Printer(form, stream=True)
    keeper = Keeper(directory, file_bytes) if directory is not None else None

    def hear(exporter: str, message: Message, data: bytes) -> None:
        nonlocal seen
        if keeper is not None:
            keeper.keep(exporter, message, data)
        for row in analysis.flow_rows([(exporter, message)], names):
            if kind in ("all", row["kind"]) and not (records and seen >= records):
                writer.row(row)
                seen += 1
        if records and seen >= records:
            end.set()

    gevent.signal_handler(signal.SIGTERM, end.set)
    gevent.signal_handler(signal.SIGINT, end.set)
    listeners: list[Listener] = []
    for text in addresses:
        where = operator.parse_collector("ADDRESSES", text)
        tls = None
        if where.kind == "tls":
            if not (ca and certificate and key):
                raise BadArgument(text, "tls:// needs --ca, --certificate and --key")
            try:
                tls = server_tls_context(ca, certificate, key)
            except OSError as error:
                raise BadArgument("--ca, --certificate, --key", str(error)) from error
        try:
            listeners.append(Listener(where, enterprise, hear, tls))
        except OSError as error:
            raise CannotListen(text, str(error)) from error
    click.echo(f"collecting at {' '.join(addresses)}", err=True)
    end.wait()
    for listener in listeners:
        listener.close()
    writer.end()
    if keeper is not None:
        keeper.close()
    malformed, lost = (sum(getattr(one, name) for one in listeners) for name in ("malformed", "lost"))
    click.echo(f"{seen} records, {lost} lost by their numbers, {malformed} messages refused", err=True)
    return 1 if malformed or lost else 0


@command.command()
@FILES
@ENTERPRISE
@FORM
@KIND
def read(files: tuple[Path, ...], enterprise: int, form: str, kind: str) -> int:
    """Print the records of IPFIX files, plain or zstd; exit status 1 where one is torn or malformed."""
    reader = Reader(files, enterprise)
    writer = Printer(form)
    for row in reader.rows():
        if kind in ("all", row["kind"]):
            writer.row(row)
    writer.end()
    return reader.status()


@command.command()
@FILES
@click.option("--by", type=click.Choice(analysis.RANK_KEYS), default="tenant", show_default=True)
@click.option("--start", type=click.DateTime(), help="Flows that ended from then on (UTC).")
@click.option("--end", type=click.DateTime(), help="Flows that ended until then (UTC).")
@click.option("--last", type=float, help="Instead: of the last so many seconds in the files.")
@click.option("--most", default=20, show_default=True, help="Lines.")
@ENTERPRISE
@FORM
def top(
    files: tuple[Path, ...],
    by: str,
    start: Any,
    end: Any,
    last: float | None,
    most: int,
    enterprise: int,
    form: str,
) -> int:
    """Rank tenants, classes, engines or clients' addresses by what passed."""
    reader = Reader(files, enterprise)
    found = list(reader.rows())
    begin = start.timestamp() * 1000 if start else 0.0
    until = end.timestamp() * 1000 if end else float("inf")
    if last is not None:
        begin = max((row["end_ms"] for row in found), default=0.0) - last * 1000
    writer = Printer(form)
    for rank in analysis.rank_flows(found, by, begin, until)[:most]:
        writer.row({by: rank.name, **{name: getattr(rank, name) for name in rank._fields[1:]}})
    writer.end()
    return reader.status()


@command.command()
@FILES
@click.option("--log", "log", required=True, type=click.File("rb"), help="The router's log, JSON lines.")
@ENTERPRISE
def verify(files: tuple[Path, ...], log: Any, enterprise: int) -> int:
    """Hold request records against the router's log; name each difference, and exit with 1 for any."""
    reader = Reader(files, enterprise)
    differences = 0
    for text in analysis.differences_from_log(reader.rows(), _log_lines(log)):
        differences += 1
        click.echo(text)
    click.echo(f"{differences} differences")
    return 1 if differences else reader.status()


def _log_lines(log: Iterable[bytes]) -> Iterator[analysis.Row]:
    for line in log:
        try:
            told = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue  # a line of another program, or one cut short by a crash
        if isinstance(told, dict):
            yield told


class Reader:
    """The rows of several files; what is wrong with one is told, and the rest read."""

    def __init__(self, files: Iterable[Path], enterprise: int) -> None:
        self._files, self._enterprise = files, enterprise
        self._faulty = 0

    def rows(self) -> Iterator[analysis.Row]:
        """All rows, file by file."""
        for path in self._files:
            yield from analysis.flow_rows((path.name, message) for message in self._messages(path))

    def status(self) -> int:
        """The command's exit status."""
        return 1 if self._faulty else 0

    def _messages(self, path: Path) -> Iterator[Message]:
        try:
            yield from read_ipfix_file(path, self._enterprise)
        except FlowError as error:
            self._faulty += 1
            tell(error, f"{path}: ")


class Printer:
    """Rows as a table, JSON lines or CSV."""

    def __init__(self, form: str, stream: bool = False) -> None:
        self._form, self._stream = form, stream
        self._rows: list[analysis.Row] = []
        self._csv: dict[tuple[str, ...], Any] = {}

    def row(self, row: analysis.Row) -> None:
        """One more."""
        if self._form == "json":
            sys.stdout.buffer.write(orjson.dumps(row, option=orjson.OPT_APPEND_NEWLINE))
        elif self._form == "csv":
            columns = tuple(row)
            if columns not in self._csv:  # connections and requests differ: each has a line of names
                self._csv[columns] = csv.DictWriter(sys.stdout, columns, lineterminator="\n")
                self._csv[columns].writeheader()
            self._csv[columns].writerow(row)
        elif self._stream:
            told = " ".join(f"{name}={value}" for name, value in row.items() if value not in (None, ""))
            sys.stdout.write(told + "\n")
        else:
            self._rows.append(row)
        if self._stream:
            sys.stdout.flush()

    def end(self) -> None:
        """Write what waits."""
        sys.stdout.flush()
        if not self._rows:
            return
        try:
            from rich.console import Console
            from rich.table import Table
        except ImportError as error:
            raise MissingPackage("tools", error) from error
        console = Console(width=None if sys.stdout.isatty() else WIDE)
        by_columns: dict[tuple[str, ...], Table] = {}
        for row in self._rows:
            row = {name: value for name, value in row.items() if name not in NOT_IN_TABLES}
            table = by_columns.setdefault(tuple(row), Table(*row))
            table.add_row(*(_cell(name, value) for name, value in row.items()))
        for table in by_columns.values():
            console.print(table)


def _cell(name: str, value: Any) -> str:
    if value is None:
        return ""
    if name in ("start_ms", "end_ms"):
        return time.strftime("%H:%M:%S", time.gmtime(value / 1000)) + f".{int(value) % 1000:03d}"
    return f"{value:.1f}" if isinstance(value, float) else str(value)


class Keeper:
    """Files of what is collected, one exporter each, that can be read by themselves."""

    def __init__(self, directory: Path, most_bytes: int) -> None:
        import zstandard

        directory.mkdir(parents=True, exist_ok=True)
        self._directory, self._most = directory, most_bytes
        self._packer = zstandard.ZstdCompressor(level=3)
        self._files: dict[str, tuple[Any, Path]] = {}
        self._templates: dict[str, list[bytes]] = {}
        self._count = 0

    def keep(self, exporter: str, message: Message, data: bytes) -> None:
        """Write one message."""
        known = self._templates.setdefault(exporter, [])
        named = any("routerName" in record.values for record in message.records)
        file, _ = self._files.get(exporter) or self._begin(exporter, known)
        file.write(self._packer.compress(data))
        file.flush()
        if message.templates or named:
            known.append(data)
            del known[:-TEMPLATES_KEPT]
        if file.tell() >= self._most:
            self._complete(exporter)

    def close(self) -> None:
        """Complete all files."""
        for exporter in list(self._files):
            self._complete(exporter)

    def _begin(self, exporter: str, known: list[bytes]) -> tuple[Any, Path]:
        self._count += 1
        host, _, port = exporter.rpartition(":")
        safe = ipaddress.ip_address(host).exploded.replace(":", ".")
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        path = self._directory / f"{stamp}-{os.getpid()}-{self._count:05d}-{safe}-{port}.ipfix.zst.part"
        file = path.open("wb")
        for data in known:
            file.write(self._packer.compress(data))
        self._files[exporter] = (file, path)
        return file, path

    def _complete(self, exporter: str) -> None:
        file, path = self._files.pop(exporter)
        file.flush()
        os.fsync(file.fileno())
        file.close()
        path.rename(path.with_suffix(""))
