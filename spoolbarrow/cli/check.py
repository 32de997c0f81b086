"""`spoolbarrow check`: validates both configuration files and prints each error with its key."""

from __future__ import annotations

import os
from pathlib import Path

import click

from spoolbarrow import config as platform_config
from spoolbarrow import operator
from spoolbarrow.cli import print_problem


@click.command()
@click.option("--config", type=click.Path(path_type=Path), help="The platform's configuration (NODE_CONFIG).")
@click.option("--operator", "file", type=click.Path(path_type=Path), help="The operator's file.")
def command(config: Path | None, file: Path | None) -> int:
    """Check both configuration files as `serve` would read them.

    Prints each error with its key, and its remedy below; exit status 2 if there is any.
    """
    environment = dict(os.environ)
    if config is not None:
        environment["NODE_CONFIG"] = str(config)
    if file is not None:
        environment[operator.FILE_VARIABLE] = str(file)
    operator_settings, operator_faults = operator.read(environment)
    config_faults = _read_config_faults(environment)
    if operator_settings.failover is not None and not config_faults:
        zones = platform_config.parse(platform_config.read(environment)).zones
        operator_faults += operator.zone_faults(operator_settings.failover, zones)
    by_file = [("config", config_faults), ("operator", operator_faults)]
    for name, faults in by_file:
        for fault in faults:
            print_problem(fault, f"{name}: ", err=False)
    if not operator.is_configured(environment):
        click.echo("operator: no file is named: its subsystems are off")
    if any(faults for _, faults in by_file):
        return 2
    click.echo("no faults")
    return 0


def _read_config_faults(environment: dict[str, str]) -> list[platform_config.ConfigError]:
    try:
        text = platform_config.read(environment)
    except platform_config.ConfigError as error:
        return [error]
    return platform_config.faults(text)
