"""`spoolbarrow check`: both configuration files, every fault with its key."""

from __future__ import annotations

import os
from pathlib import Path

import click

from spoolbarrow import config as platform_config
from spoolbarrow import operator
from spoolbarrow.cli import tell


@click.command()
@click.option("--config", type=click.Path(path_type=Path), help="The platform's configuration (NODE_CONFIG).")
@click.option("--operator", "file", type=click.Path(path_type=Path), help="The operator's file.")
def command(config: Path | None, file: Path | None) -> int:
    """Check both configuration files as `serve` would read them.

    Prints each fault with its key, and below it what would put it right; exit status 2 where there is one.
    """
    environment = dict(os.environ)
    if config is not None:
        environment["NODE_CONFIG"] = str(config)
    if file is not None:
        environment[operator.FILE_VARIABLE] = str(file)
    told, faults_of_operator = operator.read(environment)
    faults_of_config = _faults_of_config(environment)
    if told.failover is not None and not faults_of_config:
        zones = platform_config.parse(platform_config.read(environment)).zones
        faults_of_operator += operator.zone_faults(told.failover, zones)
    found = [("config", faults_of_config), ("operator", faults_of_operator)]
    for name, faults in found:
        for fault in faults:
            tell(fault, f"{name}: ", err=False)
    if not operator.named(environment):
        click.echo("operator: no file is named: what it sets is off")
    if any(faults for _, faults in found):
        return 2
    click.echo("no faults")
    return 0


def _faults_of_config(environment: dict[str, str]) -> list[platform_config.ConfigError]:
    try:
        text = platform_config.read(environment)
    except platform_config.ConfigError as error:
        return [error]
    return platform_config.faults(text)
