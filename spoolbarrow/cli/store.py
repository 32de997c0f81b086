"""`spoolbarrow store`: one member of the replicated store, and calls to members."""

from __future__ import annotations

import http.client
import json
import signal
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from spoolbarrow import config

CALL_S = 5.0
members = click.option("--at", "asked", multiple=True, required=True, metavar="HOST:PORT", help="A member's "
                       "control address; the first that answers, or leads, is asked.")


@click.group(name="store")
def command() -> None:
    """Documents that three or more members keep, each change on all of them or on none."""


def _address(text: str, option: str) -> config.Address:
    try:
        return config.address(option, text)
    except config.ConfigError as error:
        raise click.UsageError(str(error)) from error


@command.command()
@click.option("--name", required=True, help="This member's.")
@click.option("--member", "named", multiple=True, required=True, metavar="NAME=HOST:PORT",
              help="Each member with where it listens for the others; the same names for all.")
@click.option("--listen", required=True, metavar="HOST:PORT", help="For the other members.")
@click.option("--control", required=True, metavar="HOST:PORT", help="For callers.")
@click.option("--directory", required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--most-pages", default=0, help="Pages of 4 KiB that the file may take; 0: any.")
def serve(
    name: str, named: tuple[str, ...], listen: str, control: str, directory: Path, most_pages: int
) -> int:
    """Serve as a member until SIGTERM. Nothing here is encrypted: only for a network that is trusted."""
    addresses = {}
    for one in named:
        who, mark, where = one.partition("=")
        if not who or not mark or who in addresses:
            raise click.UsageError(f"--member: {one!r} is not NAME=HOST:PORT, or its name comes twice")
        addresses[who] = _address(where, "--member")
    if name not in addresses:
        raise click.UsageError(f"--name: {name} is no --member")
    import gevent
    from gevent.event import Event

    from spoolbarrow.net.log import log, standard
    from spoolbarrow.store.disk import DiskError
    from spoolbarrow.store.member import Member
    from spoolbarrow.store.raft import Settings

    told_to_end = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told_to_end.set)
    try:
        made = Member(
            name, addresses, _address(listen, "--listen"), _address(control, "--control"),
            directory / f"{name}.store", Settings(election_ms=1000.0, beat_ms=100.0), most_pages,
        )
    except (DiskError, OSError) as error:
        raise click.UsageError(str(error)) from error
    standard.start()
    log("store_started", member=name, listen=listen, control=control)
    told_to_end.wait()
    made.close()
    log("store_ended", member=name)
    standard.stop()
    return 0


def ask(member: str, method: str, path: str, body: bytes = b"") -> tuple[int, dict[str, Any]]:
    """A member's answer; status 0 with the reason where none came."""
    try:
        connection = http.client.HTTPConnection(member, timeout=CALL_S)
        connection.request(method, path, body or None)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        return 0, {"error": f"no answer: {error}"}


@command.command()
@members
def status(asked: tuple[str, ...]) -> int:
    """Print what each member says of itself; exit status 1 where one does not answer, or none leads."""
    found = [(member, *ask(member, "GET", "/v1/status")) for member in asked]
    for member, code, told in found:
        if code != 200:
            click.echo(f"{member}: {told.get('error', code)}")
            continue
        line = f"{told['member']} ({member}): {told['role']}, term {told['term']}, applied {told['applied']}"
        click.echo(line + (f", {told['fault']}" if told["fault"] else ""))
    whole = all(code == 200 and not told["fault"] for _, code, told in found)
    return 0 if whole and any(told["role"] == "leader" for _, _, told in found) else 1


@command.command()
@members
@click.argument("key")
def get(asked: tuple[str, ...], key: str) -> int:
    """Print a document as the first member that answers has it, which may be an older one."""
    for member in asked:
        code, told = ask(member, "GET", f"/v1/store/{quote(key, safe='')}")
        if code == 200:
            click.echo(told["value"], nl=False)
            return 0
        click.echo(f"{member}: {told['error']}", err=True)
    return 1


@command.command()
@members
@click.option("--expect", type=int, help="The revision that the document must have; 0: none yet.")
@click.argument("key")
@click.argument("file", type=click.File("rb"))
def put(asked: tuple[str, ...], expect: int | None, key: str, file: Any) -> int:
    """Write a document from a file through whoever leads; prints its revision."""
    body = file.read()
    query = "" if expect is None else f"?expect={expect}"
    for member in asked:
        code, told = ask(member, "PUT", f"/v1/store/{quote(key, safe='')}{query}", body)
        if code == 200:
            click.echo(told["revision"])
            return 0
        click.echo(f"{member}: {told['error']}", err=True)
        if "leader" not in told and code:
            return 1  # refused, or unknown: saying it elsewhere could do it twice
    return 1
