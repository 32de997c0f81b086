"""`spoolbarrow store`: one member of the replicated store, and calls to members."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import quote

import click
from msgspec import Struct

from spoolbarrow import config
from spoolbarrow.cli import tell
from spoolbarrow.cli.errors import BadArgument, NoAnswer, Refused
from spoolbarrow.cli.http_client import request_json, understood

T = TypeVar("T")
members = click.option(
    "--at",
    "asked",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="A member's control address; the first that answers, or leads, is asked.",
)


class MemberRefused(Refused):
    """A store member answers no."""

    def __init__(self, member: str, told: dict[str, Any]) -> None:
        super().__init__(member, str(told.get("error", "no")), str(told.get("remedy", "")))
        self.done_nothing = "leader" in told  # another may be asked: this one neither leads nor did anything


@click.group(name="store")
def command() -> None:
    """Documents that three or more members keep, each change on all of them or on none."""


@command.command()
@click.option("--name", required=True, help="This member's.")
@click.option(
    "--member",
    "named",
    multiple=True,
    required=True,
    metavar="NAME=HOST:PORT",
    help="Each member with where it listens for the others; the same names for all.",
)
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
            raise BadArgument("--member", f"{one!r} is not NAME=HOST:PORT, or its name comes twice")
        addresses[who] = config.parse_address("--member", where)
    if name not in addresses:
        raise BadArgument("--name", f"{name} is no --member")
    import gevent
    from gevent.event import Event

    from spoolbarrow.net.log import default_log, log
    from spoolbarrow.store.member import Member
    from spoolbarrow.store.raft import Settings

    told_to_end = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told_to_end.set)
    made = Member(
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
    told_to_end.wait()
    made.close()
    log("store_ended", member=name)
    default_log.stop()
    return 0


class Status(Struct):
    """What a member says of itself."""

    member: str
    role: str
    term: int
    applied: int
    fault: str


class Read(Struct):
    """A document."""

    value: str


class Written(Struct):
    """A document that was written."""

    revision: int


def ask(member: str, method: str, path: str, kind: type[T], body: bytes = b"") -> T:
    """A member's answer; NoAnswer where none came, MemberRefused where it is no."""
    status, told = request_json(member, method, path, body)
    if status != 200:
        raise MemberRefused(member, told)
    return understood(member, told, kind)


@command.command()
@members
def status(asked: tuple[str, ...]) -> int:
    """Print what each member says of itself; exit status 1 where one does not answer, or none leads."""
    found = []
    for member in asked:
        try:
            told = ask(member, "GET", "/v1/status", Status)
        except (NoAnswer, Refused) as error:
            tell(error, err=False)
            continue
        found.append(told)
        line = f"{told.member} ({member}): {told.role}, term {told.term}, applied {told.applied}"
        click.echo(line + (f", {told.fault}" if told.fault else ""))
    whole = len(found) == len(asked) and not any(told.fault for told in found)
    return 0 if whole and any(told.role == "leader" for told in found) else 1


@command.command()
@members
@click.argument("key")
def get(asked: tuple[str, ...], key: str) -> int:
    """Print a document as the first member that answers has it, which may be an older one."""
    for member in asked:
        try:
            told = ask(member, "GET", f"/v1/store/{quote(key, safe='')}", Read)
        except (NoAnswer, Refused) as error:
            tell(error)
            continue
        click.echo(told.value, nl=False)
        return 0
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
        try:
            told = ask(member, "PUT", f"/v1/store/{quote(key, safe='')}{query}", Written, body)
        except NoAnswer as error:
            tell(error)
        except MemberRefused as error:
            tell(error)
            if not error.done_nothing:
                return 1  # refused, or unknown: saying it elsewhere could do it twice
        else:
            click.echo(told.revision)
            return 0
    return 1
