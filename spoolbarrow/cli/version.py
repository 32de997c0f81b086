"""`spoolbarrow version`: prints the versions of the program and of Python."""

from __future__ import annotations

import platform

import click

from spoolbarrow import __version__


@click.command()
def command() -> None:
    """Print the program's version and the Python it runs on."""
    click.echo(f"spoolbarrow {__version__} (Python {platform.python_version()})")
