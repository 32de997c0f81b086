"""`spoolbarrow door`: why a request was turned away at the door."""

from __future__ import annotations

from typing import Any

import click
import orjson

WHY = {
    "retries": "its tenant had used up its budget of retries, and the fleet was nearly full",
    "share": "its tenant had more under way than its share, and the fleet was nearly full",
    "client": "its client had more under way than its share of the tenant's, and the fleet was nearly full",
    "full": "the decisions refused it: the fleet was full for a request of its standing",
}


@click.group()
def command() -> None:
    """The door: shares, retries and come-back times."""


@command.command()
@click.argument("request")
@click.option("--log", "log", type=click.File("rb"), default="-", help="A router's log; else standard input.")
def explain(request: str, log: Any) -> int:
    """Say why REQUEST was turned away, by the id its client gave it or the router's number.

    \b
    Exit status: 0 it was, 1 the log says nothing of it.
    """
    found = 0
    for line in log:
        try:
            told = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue  # a line cut off, or of another program
        if not isinstance(told, dict) or told.get("event") != "door_away":
            continue
        if request in (str(told.get("request")), told.get("id")):
            found += 1
            for sentence in sentences(told):
                click.echo(sentence)
    if not found:
        click.echo(f"{request}: not turned away at the door, as far as this log goes")
    return 0 if found else 1


def sentences(told: dict[str, Any]) -> list[str]:
    """What a line of the log says, in words."""
    said = [
        f"{told['id'] or told['request']} of tenant {told['tenant']}: {WHY.get(told['why'], told['why'])}.",
        f"  fullness {told['fullness']:.2f} (shares are kept from 0.70, refusals begin at 1.00)",
        f"  its tenant was {told['ahead']} tokens ahead of its share, {told['limit']} allowed",
    ]
    if told["client_ahead"] or told["why"] == "client":
        said.append(f"  its client was {told['client_ahead']} tokens ahead, {told['client_limit']} allowed")
    if told["promised"]:
        said.append(f"  told to come back in {told['retry_after_ms']} ms; capacity was set aside for it then")
    else:
        said.append(f"  told to come back in {told['retry_after_ms']} ms; no capacity was left to promise")
    return said
