"""`spoolbarrow agree`: what versions routers act on, and a change that all of them take or none."""

from __future__ import annotations

from typing import TypeVar

import click
from msgspec import Struct

from spoolbarrow.agree import COMPARED_ITEMS, Version, VersionedItem, digest, find_differences
from spoolbarrow.cli import tell
from spoolbarrow.cli.errors import NoAnswer, Refused
from spoolbarrow.cli.http_client import request_json, understood

T = TypeVar("T")
DRAINED = digest(True)
routers = click.argument("routers", nargs=-1, required=True, metavar="HOST:PORT...")


@click.group(name="agree")
def command() -> None:
    """What routers act on, asked at their control listeners."""


class Told(Struct):
    """What a router acts on."""

    router: str
    now_ms: float
    within_s: float
    versions: dict[VersionedItem, Version]


class Checked(Struct):
    """What a router would act on."""

    router: str
    revision: int
    files: str


class Adopted(Struct):
    """That a router acts on what was checked."""

    status: str


class _No(Struct):
    message: str = "no"
    remedy: str = ""


class _Refusal(Struct):
    error: _No


def _ask(router: str, method: str, path: str, kind: type[T]) -> T:
    """A router's answer; NoAnswer or Refused where it is none or no."""
    status, told = request_json(router, method, f"/v1/{path}")
    if status != 200:
        fault = understood(router, told, _Refusal).error
        raise Refused(router, fault.message, fault.remedy)
    return understood(router, told, kind)


def _ask_all(routers: tuple[str, ...], method: str, path: str, kind: type[T]) -> tuple[dict[str, T], bool]:
    """The answers by router; why others gave none is printed."""
    found = {}
    for router in routers:
        try:
            found[router] = _ask(router, method, path, kind)
        except (NoAnswer, Refused) as error:
            tell(error, err=False)
    return found, len(found) == len(routers)


def _short(version: Version) -> str:
    return f"{version.number} {version.digest}" if version.number else version.digest


def _status(routers: tuple[str, ...], within_s: float | None) -> int:
    answers, whole = _ask_all(routers, "GET", "versions", Told)
    if not answers:
        return 1
    told = {f"{its.router} ({router})": its.versions for router, its in answers.items()}
    now = max(its.now_ms for its in answers.values())
    within = min(its.within_s for its in answers.values()) if within_s is None else within_s
    found = {one.item: one for one in find_differences(told)}
    status = 0 if whole else 1
    for item in COMPARED_ITEMS:
        if item not in found:
            version = next((versions[item] for versions in told.values() if item in versions), None)
            if version is None:
                continue  # what is off at all of them is not told
            click.echo(f"{item.value}: all {len(told)} act on {_short(version)}")
            continue
        for_s = max(0.0, now - found[item].since_ms) / 1000.0
        late = for_s > within
        status = 1 if late else status
        beyond = f", more than {within:g}" if late else ""
        click.echo(f"{item.value}: contradict for {for_s:.1f} s{beyond}")
        for contents, (number, names) in found[item].routers.items():
            click.echo(f"  {_short(Version(number, contents, 0.0))}: {', '.join(names)}")
    for name, versions in told.items():
        if VersionedItem.DRAIN in versions and versions[VersionedItem.DRAIN].digest == DRAINED:
            click.echo(f"drained by hand: {name}")
    return status


@command.command()
@routers
@click.option("--within", type=click.FloatRange(min=0), help="Seconds of contradiction allowed.")
def status(routers: tuple[str, ...], within: float | None) -> int:
    """Print each item's version; exit status 1 where routers contradict for too long, or do not answer."""
    return _status(routers, within)


def _check(routers: tuple[str, ...]) -> str:
    """The digest of the files that all routers would act on; empty, reasons printed, where not all would."""
    answers, whole = _ask_all(routers, "GET", "settings/check", Checked)
    wanted: dict[str, list[str]] = {}
    for router, told in answers.items():
        wanted.setdefault(told.files, []).append(f"{told.router} ({router})")
    if len(wanted) > 1:
        click.echo("the files differ:")
        for contents, names in wanted.items():
            click.echo(f"  {contents}: {', '.join(names)}")
    elif whole:
        revision = next(iter(answers.values())).revision
        click.echo(f"all {len(answers)} would act on revision {revision}, {next(iter(wanted))}")
        return next(iter(wanted))
    return ""


@command.command()
@routers
def check(routers: tuple[str, ...]) -> int:
    """Have each router read its files as at SIGHUP and tell what it would act on; nothing is changed."""
    return 0 if _check(routers) else 1


@command.command()
@routers
def apply(routers: tuple[str, ...]) -> int:
    """Check the files of all routers and, where all would act on the same, have each act on them."""
    contents = _check(routers)
    if not contents:
        click.echo("nothing is changed")
        return 1
    _, whole = _ask_all(routers, "POST", f"settings/adopt/{contents}", Adopted)
    if not whole:
        click.echo("not all have adopted it: say it again, or put the old files back under a higher revision")
    return max(_status(routers, None), 0 if whole else 1)
