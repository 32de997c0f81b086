"""`spoolbarrow completion`: what a shell must source to complete the command's words."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from spoolbarrow.cli import main


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def command(shell: str) -> None:
    """Print a completion script: `eval "$(spoolbarrow completion bash)"`."""
    made = get_completion_class(shell)
    assert made is not None, "click knows each shell of the choice"
    click.echo(made(main, {}, "spoolbarrow", "_SPOOLBARROW_COMPLETE").source())
