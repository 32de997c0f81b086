"""`spoolbarrow store`: serves as a member of the replicated store, and reads and writes its documents."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import click
from msgspec import Struct

from spoolbarrow import config
from spoolbarrow.cli import print_problem, store_client
from spoolbarrow.cli.errors import BadArgument, NoAnswer, Refused
from spoolbarrow.errors import Problem

members_option = click.option(
    "--at",
    "asked",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="A member's control address; the first that responds, or leads, is used.",
)


@click.group(name="store")
def command() -> None:
    """A store of documents with three or more members; each change is made on all of them or none."""


@command.command()
@click.option("--name", required=True, help="This member's name.")
@click.option(
    "--member",
    "named",
    multiple=True,
    required=True,
    metavar="NAME=HOST:PORT",
    help="Each member and its address for the other members; the same for all members.",
)
@click.option("--listen", required=True, metavar="HOST:PORT", help="Address for the other members.")
@click.option("--control", required=True, metavar="HOST:PORT", help="Address for callers.")
@click.option("--directory", required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--most-pages", default=0, help="Greatest number of 4 KiB pages of the file; 0: no limit.")
def serve(
    name: str, named: tuple[str, ...], listen: str, control: str, directory: Path, most_pages: int
) -> int:
    """Serve as a member until SIGTERM. Connections are not encrypted: use it in trusted networks only."""
    addresses = {}
    for text in named:
        member_name, separator, address = text.partition("=")
        if not member_name or not separator or member_name in addresses:
            raise BadArgument("--member", f"{text!r} is not NAME=HOST:PORT, or its name is a duplicate")
        addresses[member_name] = config.parse_address("--member", address)
    if name not in addresses:
        raise BadArgument("--name", f"{name} is no --member")
    import gevent
    from gevent.event import Event

    from spoolbarrow.net.log import default_log, log
    from spoolbarrow.store.member import Member
    from spoolbarrow.store.raft import Settings

    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    store_member = Member(
        name,
        addresses,
        config.parse_address("--listen", listen),
        config.parse_address("--control", control),
        directory / f"{name}.store",
        Settings(election_timeout_ms=1000.0, heartbeat_ms=100.0),
        most_pages,
    )
    default_log.start()
    log("store_started", member=name, listen=listen, control=control)
    stop_requested.wait()
    store_member.close()
    log("store_ended", member=name)
    default_log.stop()
    return 0


class Status(Struct):
    """A member's own status."""

    member: str
    role: str
    term: int
    applied: int
    fault: str


@command.command()
@members_option
def status(asked: tuple[str, ...]) -> int:
    """Print each member's status; exit status 1 if one does not respond, or none is the leader."""
    responses = []
    for member in asked:
        try:
            response = store_client.request(member, "GET", "/v1/status", Status)
        except (NoAnswer, Refused) as error:
            print_problem(error, err=False)
            continue
        responses.append(response)
        line = (
            f"{response.member} ({member}): {response.role}, term {response.term}, applied {response.applied}"
        )
        click.echo(line + (f", {response.fault}" if response.fault else ""))
    healthy = len(responses) == len(asked) and not any(response.fault for response in responses)
    return 0 if healthy and any(response.role == "leader" for response in responses) else 1


@command.command()
@members_option
@click.argument("key")
def get(asked: tuple[str, ...], key: str) -> int:
    """Print a document as the first responding member has it, which may be an older revision."""
    for member in asked:
        try:
            document = store_client.read(member, key)
        except (NoAnswer, Refused) as error:
            print_problem(error)
            continue
        click.echo(document.value, nl=False)
        return 0
    return 1


@command.command()
@members_option
@click.option(
    "--expect",
    type=click.IntRange(min=0),
    help="The revision that the document must have; 0: it must not exist.",
)
@click.argument("key")
@click.argument("file", type=click.File("rb"))
def put(asked: tuple[str, ...], expect: int | None, key: str, file: Any) -> int:
    """Write a document from a file through the leader, at most once; prints its revision."""
    try:
        revision = store_client.write(asked, key, file.read(), expect, print_problem)
    except Problem as error:
        print_problem(error)
        return error.status
    click.echo(revision)
    return 0
