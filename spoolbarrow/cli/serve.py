"""`spoolbarrow serve`: passes options on in the environment and executes the serving program."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

VARIABLES = {
    "config": "NODE_CONFIG",
    "operator": "SPOOLBARROW_OPERATOR",
    "log_level": "SPOOLBARROW_LOG_LEVEL",
    "log_format": "SPOOLBARROW_LOG_FORMAT",
}


@click.command()
@click.option("--config", type=click.Path(path_type=Path), help="The platform's configuration (NODE_CONFIG).")
@click.option("--operator", type=click.Path(path_type=Path), help="The operator's own file.")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), help="Log level.")
@click.option("--log-format", type=click.Choice(["json", "text"]), help="For programs or for people.")
def command(**options: object) -> None:
    """Serve until SIGTERM, then finish the requests in progress.

    \b
    Exit status: 0 after SIGTERM or SIGINT; 2 if a configuration is invalid or its address unavailable.
    """
    environment = dict(os.environ)
    environment.update({VARIABLES[name]: str(value) for name, value in options.items() if value is not None})
    # Executed rather than called: modules of the command line must not stay in the serving process.
    os.execve(sys.executable, [sys.executable, "-m", "spoolbarrow"], environment)
