"""`spoolbarrow door`: explains from a router's log why the door refused a request."""

from __future__ import annotations

from typing import Any

import click
import orjson

REASONS = {
    "retries": "its tenant had used up its retry budget, and the fleet was nearly full",
    "share": "its tenant had more under way than its share, and the fleet was nearly full",
    "client": "its client had more under way than its share of the tenant's, and the fleet was nearly full",
    "full": "the decisions refused it: the fleet was full for a request of its priority",
}


@click.group()
def command() -> None:
    """The door: fair shares, retry budgets and scheduled retries."""


@command.command()
@click.argument("request")
@click.option("--log", "log", type=click.File("rb"), default="-", help="A router's log; default: stdin.")
def explain(request: str, log: Any) -> int:
    """Explain why REQUEST was refused, given the client's id of it or the router's number.

    \b
    Exit status: 0 it was refused, 1 the log does not mention it.
    """
    matches = 0
    for line in log:
        try:
            entry = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue  # a truncated line, or another program's
        if not isinstance(entry, dict) or entry.get("event") != "door_away":
            continue
        if request in (str(entry.get("request")), entry.get("id")):
            matches += 1
            for sentence in sentences(entry):
                click.echo(sentence)
    if not matches:
        click.echo(f"{request}: not turned away at the door, according to this log")
    return 0 if matches else 1


def sentences(entry: dict[str, Any]) -> list[str]:
    """Describe a line of the log in sentences."""
    lines = [
        f"{entry['id'] or entry['request']} of tenant {entry['tenant']}: "
        f"{REASONS.get(entry['why'], entry['why'])}.",
        f"  fullness {entry['fullness']:.2f} (shares are kept from 0.70, refusals begin at 1.00)",
        f"  its tenant was {entry['ahead']} tokens ahead of its share, {entry['limit']} allowed",
    ]
    if entry["client_ahead"] or entry["why"] == "client":
        lines.append(
            f"  its client was {entry['client_ahead']} tokens ahead, {entry['client_limit']} allowed"
        )
    if entry["promised"]:
        lines.append(
            f"  told to come back in {entry['retry_after_ms']} ms; capacity was reserved for it then"
        )
    else:
        lines.append(f"  told to come back in {entry['retry_after_ms']} ms; no capacity was left to reserve")
    return lines
