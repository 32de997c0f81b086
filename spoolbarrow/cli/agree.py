"""`spoolbarrow agree`: compares the versions routers act on, and changes settings on all or none."""

from __future__ import annotations

from typing import TypeVar

import click
from msgspec import Struct

from spoolbarrow.agree import COMPARED_ITEMS, Version, VersionedItem, digest, find_differences
from spoolbarrow.cli import print_problem
from spoolbarrow.cli.errors import NoAnswer, Refused
from spoolbarrow.cli.http_client import convert_response, request_json

T = TypeVar("T")
DRAINED_DIGEST = digest(True)
routers = click.argument("routers", nargs=-1, required=True, metavar="HOST:PORT...")


@click.group(name="agree")
def command() -> None:
    """Versions of settings that routers act on, read from their control listeners."""


class VersionsResponse(Struct):
    """The versions that a router acts on."""

    router: str
    now_ms: float
    within_s: float
    versions: dict[VersionedItem, Version]


class CheckResponse(Struct):
    """The version that a router's files contain."""

    router: str
    revision: int
    files: str


class AdoptResponse(Struct):
    """Confirms that a router acts on the checked files."""

    status: str


class _ErrorBody(Struct):
    message: str = "no"
    remedy: str = ""


class _ErrorResponse(Struct):
    error: _ErrorBody


def _request(router: str, method: str, path: str, kind: type[T]) -> T:
    """A router's response; raises NoAnswer or Refused if there is none or it is an error."""
    status, body = request_json(router, method, f"/v1/{path}")
    if status != 200:
        error = convert_response(router, body, _ErrorResponse).error
        raise Refused(router, error.message, error.remedy)
    return convert_response(router, body, kind)


def _request_all(
    routers: tuple[str, ...], method: str, path: str, kind: type[T]
) -> tuple[dict[str, T], bool]:
    """The responses by router, and whether all responded; errors are printed."""
    responses = {}
    for router in routers:
        try:
            responses[router] = _request(router, method, path, kind)
        except (NoAnswer, Refused) as error:
            print_problem(error, err=False)
    return responses, len(responses) == len(routers)


def _format_version(version: Version) -> str:
    return f"{version.number} {version.digest}" if version.number else version.digest


def _status(routers: tuple[str, ...], within_s: float | None) -> int:
    responses, complete = _request_all(routers, "GET", "versions", VersionsResponse)
    if not responses:
        return 1
    versions_by_router = {
        f"{response.router} ({router})": response.versions for router, response in responses.items()
    }
    now = max(response.now_ms for response in responses.values())
    within = min(response.within_s for response in responses.values()) if within_s is None else within_s
    differing = {difference.item: difference for difference in find_differences(versions_by_router)}
    status = 0 if complete else 1
    for item in COMPARED_ITEMS:
        if item not in differing:
            version = next(
                (versions[item] for versions in versions_by_router.values() if item in versions), None
            )
            if version is None:
                continue  # off at all routers
            click.echo(f"{item.value}: all {len(versions_by_router)} act on {_format_version(version)}")
            continue
        duration_s = max(0.0, now - differing[item].since_ms) / 1000.0
        too_long = duration_s > within
        status = 1 if too_long else status
        excess = f", more than {within:g}" if too_long else ""
        click.echo(f"{item.value}: contradict for {duration_s:.1f} s{excess}")
        for contents, (number, names) in differing[item].routers.items():
            click.echo(f"  {_format_version(Version(number, contents, 0.0))}: {', '.join(names)}")
    for name, versions in versions_by_router.items():
        if VersionedItem.DRAIN in versions and versions[VersionedItem.DRAIN].digest == DRAINED_DIGEST:
            click.echo(f"drained by hand: {name}")
    return status


@command.command()
@routers
@click.option("--within", type=click.FloatRange(min=0), help="Seconds of contradiction allowed.")
def status(routers: tuple[str, ...], within: float | None) -> int:
    """Print each item's version; exit status 1 if routers contradict for too long, or don't respond."""
    return _status(routers, within)


def _check(routers: tuple[str, ...]) -> str:
    """The digest of the files, if all routers would act on the same; else empty, with the reasons printed."""
    responses, complete = _request_all(routers, "GET", "settings/check", CheckResponse)
    by_digest: dict[str, list[str]] = {}
    for router, response in responses.items():
        by_digest.setdefault(response.files, []).append(f"{response.router} ({router})")
    if len(by_digest) > 1:
        click.echo("the files differ:")
        for contents, names in by_digest.items():
            click.echo(f"  {contents}: {', '.join(names)}")
    elif complete:
        revision = next(iter(responses.values())).revision
        click.echo(f"all {len(responses)} would act on revision {revision}, {next(iter(by_digest))}")
        return next(iter(by_digest))
    return ""


@command.command()
@routers
def check(routers: tuple[str, ...]) -> int:
    """Have each router read its files as at SIGHUP and report what it would act on; nothing is changed."""
    return 0 if _check(routers) else 1


@command.command()
@routers
def apply(routers: tuple[str, ...]) -> int:
    """Check the files of all routers and, if all would act on the same, have each apply them."""
    contents = _check(routers)
    if not contents:
        click.echo("nothing is changed")
        return 1
    _, complete = _request_all(routers, "POST", f"settings/adopt/{contents}", AdoptResponse)
    if not complete:
        click.echo("not all routers adopted it: repeat, or restore the old files with a higher revision")
    return max(_status(routers, None), 0 if complete else 1)
