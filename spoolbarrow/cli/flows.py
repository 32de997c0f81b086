"""`spoolbarrow flows`: collects flow records, prints and ranks them, and checks them against the log."""

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
from spoolbarrow.cli import print_problem
from spoolbarrow.cli.errors import BadArgument
from spoolbarrow.config import CannotListen
from spoolbarrow.errors import MissingPackage
from spoolbarrow.flows import analysis
from spoolbarrow.flows.collector import Listener, read_ipfix_file, server_tls_context
from spoolbarrow.flows.decode import FlowError, Message

ENTERPRISE_OPTION = click.option(
    "--enterprise", default=32_473, show_default=True, help="The exporter's enterprise number."
)
FORMAT_OPTION = click.option("--format", "form", type=click.Choice(["table", "json", "csv"]), default="table")
FILES_ARGUMENT = click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True)
)
KIND_OPTION = click.option(
    "--kind", type=click.Choice([*analysis.ROW_KINDS, "all"]), default="all", show_default=True
)
MAX_TEMPLATE_MESSAGES = 64  # messages with templates, repeated at the start of new files, per exporter
# Columns left out of tables for people; JSON and CSV have them.
HIDDEN_COLUMNS = frozenset({"kind", "exporter", "class_index", "tenant_index", "engine_flow", "flow"})
TABLE_WIDTH = 160  # columns of a table that does not go to a terminal


@click.group()
def command() -> None:
    """Collect, read, rank and verify flow records."""


@command.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--directory", type=click.Path(path_type=Path, file_okay=False), help="Store IPFIX files here.")
@click.option("--file-bytes", default=64 << 20, show_default=True, help="Size at which a new file is begun.")
@click.option("--ca", help="PEM: CAs trusted to sign exporters' certificates (tls://).")
@click.option("--certificate", help="PEM: this collector's certificate.")
@click.option("--key", help="PEM: its private key.")
@click.option("--records", default=0, help="Stop after so many records; 0: at SIGTERM.")
@ENTERPRISE_OPTION
@FORMAT_OPTION
@KIND_OPTION
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

    Prints each record, and stores files with --directory. Prints the numbers of lost records and malformed
    messages at the end; with any, the exit status is 1.
    """
    stop, names, count = Event(), analysis.NameTable(), 0
    writer = RowPrinter(form, stream=True)
    store = MessageStore(directory, file_bytes) if directory is not None else None

    def receive(exporter: str, message: Message, data: bytes) -> None:
        nonlocal count
        if store is not None:
            store.write(exporter, message, data)
        for row in analysis.flow_rows([(exporter, message)], names):
            if kind in ("all", row["kind"]) and not (records and count >= records):
                writer.row(row)
                count += 1
        if records and count >= records:
            stop.set()

    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    listeners: list[Listener] = []
    for text in addresses:
        collector = operator.parse_collector("ADDRESSES", text)
        tls = None
        if collector.kind == "tls":
            if not (ca and certificate and key):
                raise BadArgument(text, "tls:// needs --ca, --certificate and --key")
            try:
                tls = server_tls_context(ca, certificate, key)
            except OSError as error:
                raise BadArgument("--ca, --certificate, --key", str(error)) from error
        try:
            listeners.append(Listener(collector, enterprise, receive, tls))
        except OSError as error:
            raise CannotListen(text, str(error)) from error
    click.echo(f"collecting at {' '.join(addresses)}", err=True)
    stop.wait()
    for listener in listeners:
        listener.close()
    writer.end()
    if store is not None:
        store.close()
    malformed, lost = (sum(getattr(one, name) for one in listeners) for name in ("malformed", "lost"))
    click.echo(f"{count} records, {lost} lost by sequence number, {malformed} messages malformed", err=True)
    return 1 if malformed or lost else 0


@command.command()
@FILES_ARGUMENT
@ENTERPRISE_OPTION
@FORMAT_OPTION
@KIND_OPTION
def read(files: tuple[Path, ...], enterprise: int, form: str, kind: str) -> int:
    """Print the records of IPFIX files, plain or zstd; exit status 1 if one is torn or malformed."""
    reader = RecordReader(files, enterprise)
    writer = RowPrinter(form)
    for row in reader.rows():
        if kind in ("all", row["kind"]):
            writer.row(row)
    writer.end()
    return reader.status()


@command.command()
@FILES_ARGUMENT
@click.option("--by", type=click.Choice(analysis.RANK_KEYS), default="tenant", show_default=True)
@click.option("--start", type=click.DateTime(), help="Flows that ended at or after this time (UTC).")
@click.option("--end", type=click.DateTime(), help="Flows that ended up to this time (UTC).")
@click.option("--last", type=float, help="Instead: the last so many seconds in the files.")
@click.option("--most", default=20, show_default=True, help="Lines.")
@ENTERPRISE_OPTION
@FORMAT_OPTION
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
    """Rank tenants, classes, engines or client addresses by traffic."""
    reader = RecordReader(files, enterprise)
    rows = list(reader.rows())
    begin = start.timestamp() * 1000 if start else 0.0
    until = end.timestamp() * 1000 if end else float("inf")
    if last is not None:
        begin = max((row["end_ms"] for row in rows), default=0.0) - last * 1000
    writer = RowPrinter(form)
    for rank in analysis.rank_flows(rows, by, begin, until)[:most]:
        writer.row({by: rank.name, **{name: getattr(rank, name) for name in rank._fields[1:]}})
    writer.end()
    return reader.status()


@command.command()
@FILES_ARGUMENT
@click.option("--log", "log", required=True, type=click.File("rb"), help="The router's log, JSON lines.")
@ENTERPRISE_OPTION
def verify(files: tuple[Path, ...], log: Any, enterprise: int) -> int:
    """Check request records against the router's log; print each difference, and exit with 1 for any."""
    reader = RecordReader(files, enterprise)
    differences = 0
    for text in analysis.differences_from_log(reader.rows(), _log_lines(log)):
        differences += 1
        click.echo(text)
    click.echo(f"{differences} differences")
    return 1 if differences else reader.status()


def _log_lines(log: Iterable[bytes]) -> Iterator[analysis.Row]:
    for line in log:
        try:
            entry = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue  # another program's line, or one truncated by a crash
        if isinstance(entry, dict):
            yield entry


class RecordReader:
    """Reads the rows of several files; errors in one are printed, and the others read."""

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
            print_problem(error, f"{path}: ")


class RowPrinter:
    """Prints rows as a table, JSON lines or CSV."""

    def __init__(self, form: str, stream: bool = False) -> None:
        self._form, self._stream = form, stream
        self._rows: list[analysis.Row] = []
        self._csv: dict[tuple[str, ...], Any] = {}

    def row(self, row: analysis.Row) -> None:
        """Print one row, or keep it for the table."""
        if self._form == "json":
            sys.stdout.buffer.write(orjson.dumps(row, option=orjson.OPT_APPEND_NEWLINE))
        elif self._form == "csv":
            columns = tuple(row)
            if columns not in self._csv:  # connections and requests differ in columns: one header line each
                self._csv[columns] = csv.DictWriter(sys.stdout, columns, lineterminator="\n")
                self._csv[columns].writeheader()
            self._csv[columns].writerow(row)
        elif self._stream:
            text = " ".join(f"{name}={value}" for name, value in row.items() if value not in (None, ""))
            sys.stdout.write(text + "\n")
        else:
            self._rows.append(row)
        if self._stream:
            sys.stdout.flush()

    def end(self) -> None:
        """Print the table and flush the output."""
        sys.stdout.flush()
        if not self._rows:
            return
        try:
            from rich.console import Console
            from rich.table import Table
        except ImportError as error:
            raise MissingPackage("tools", error) from error
        console = Console(width=None if sys.stdout.isatty() else TABLE_WIDTH)
        by_columns: dict[tuple[str, ...], Table] = {}
        for row in self._rows:
            row = {name: value for name, value in row.items() if name not in HIDDEN_COLUMNS}
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


class MessageStore:
    """Stores collected messages in files, one per exporter, each readable without the others."""

    def __init__(self, directory: Path, max_bytes: int) -> None:
        import zstandard

        directory.mkdir(parents=True, exist_ok=True)
        self._directory, self._max_bytes = directory, max_bytes
        self._compressor = zstandard.ZstdCompressor(level=3)
        self._files: dict[str, tuple[Any, Path]] = {}
        self._templates: dict[str, list[bytes]] = {}
        self._count = 0

    def write(self, exporter: str, message: Message, data: bytes) -> None:
        """Write one message."""
        templates = self._templates.setdefault(exporter, [])
        has_names = any("routerName" in record.values for record in message.records)
        file, _ = self._files.get(exporter) or self._begin(exporter, templates)
        file.write(self._compressor.compress(data))
        file.flush()
        if message.templates or has_names:
            templates.append(data)
            del templates[:-MAX_TEMPLATE_MESSAGES]
        if file.tell() >= self._max_bytes:
            self._complete(exporter)

    def close(self) -> None:
        """Complete all files."""
        for exporter in list(self._files):
            self._complete(exporter)

    def _begin(self, exporter: str, templates: list[bytes]) -> tuple[Any, Path]:
        self._count += 1
        host, _, port = exporter.rpartition(":")
        host_text = ipaddress.ip_address(host).exploded.replace(":", ".")
        timestamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        path = (
            self._directory / f"{timestamp}-{os.getpid()}-{self._count:05d}-{host_text}-{port}.ipfix.zst.part"
        )
        file = path.open("wb")
        for data in templates:
            file.write(self._compressor.compress(data))
        self._files[exporter] = (file, path)
        return file, path

    def _complete(self, exporter: str) -> None:
        file, path = self._files.pop(exporter)
        file.flush()
        os.fsync(file.fileno())
        file.close()
        path.rename(path.with_suffix(""))
