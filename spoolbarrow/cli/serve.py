"""`spoolbarrow serve`: flags into the environment, then this process becomes the serving program."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

FLAGS = {
    "config": "NODE_CONFIG",
    "operator": "SPOOLBARROW_OPERATOR",
    "log_level": "SPOOLBARROW_LOG_LEVEL",
    "log_format": "SPOOLBARROW_LOG_FORMAT",
}


@click.command()
@click.option("--config", type=click.Path(path_type=Path), help="The platform's configuration (NODE_CONFIG).")
@click.option("--operator", type=click.Path(path_type=Path), help="The operator's own file.")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), help="What is logged.")
@click.option("--log-format", type=click.Choice(["json", "text"]), help="For programs, or for people.")
def command(**flags: object) -> None:
    """Serve until SIGTERM, then finish what was taken.

    \b
    Exit status: 0 after SIGTERM or SIGINT; 2 where a configuration is faulty or its address can't be had.
    """
    environment = dict(os.environ)
    environment.update({FLAGS[name]: str(value) for name, value in flags.items() if value is not None})
    # Not a call: what the command line needed is not to stay in the serving process.
    os.execve(sys.executable, [sys.executable, "-m", "spoolbarrow"], environment)
