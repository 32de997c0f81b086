"""`spoolbarrow completion`: prints a script that a shell sources to complete commands."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from spoolbarrow.cli import main


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def command(shell: str) -> None:
    """Print a completion script: `eval "$(spoolbarrow completion bash)"`."""
    completion_class = get_completion_class(shell)
    assert completion_class is not None, "click supports each shell of the choice"
    click.echo(completion_class(main, {}, "spoolbarrow", "_SPOOLBARROW_COMPLETE").source())
