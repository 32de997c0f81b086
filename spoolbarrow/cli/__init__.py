"""Defines the command line: each command is a module of this package, imported when it is called.

Serving loads none of it: `serve` passes its options on in the environment and executes the serving program.
"""

from __future__ import annotations

import importlib
from typing import Any

import click

from spoolbarrow.cli.errors import BadArgument, FileUnusable
from spoolbarrow.errors import Problem

COMMANDS = {
    "agree": "Compare the settings that routers act on; change them on all or none.",
    "check": "Check both configuration files and print each fault.",
    "door": "Explain why the door refused a request.",
    "completion": "Print the shell's completion script.",
    "flows": "Collect, read, rank and verify flow records.",
    "lab": "Run scenarios with a model of the fleet.",
    "shadow": "Shadow traffic: compare responses, show the state of copying.",
    "serve": "Serve until SIGTERM.",
    "store": "Replicated documents: serve as a store member, read, write.",
    "version": "Print the version.",
}
EXIT_STATUS = """\b
Exit status:
  0  success
  1  the command found what it looks for, or failed
  2  the command line or a configuration is invalid"""


class LazyGroup(click.Group):
    """A group whose commands are modules of this package, each with a `command`."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The commands' names, sorted."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command; None if there is none with this name."""
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = importlib.import_module(f"spoolbarrow.cli.{cmd_name}").command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list for `--help` without importing the commands."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, COMMANDS[name]) for name in self.list_commands(ctx)])


@click.group(cls=LazyGroup, epilog=EXIT_STATUS, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Request router for language-model servers. Serves if called without a command."""


def print_problem(error: Problem, mark: str = "", err: bool = True) -> None:
    """Print an error, and its remedy on a second line."""
    click.echo(f"{mark}{error}", err=err)
    click.echo(f"  {error.remedy}", err=err)


def run(arguments: list[str], **extra: Any) -> int:
    """Run a command; returns the exit status."""
    try:
        # Not standalone: --help and exit() then return a status, and errors arrive as exceptions.
        status = main.main(arguments, prog_name="spoolbarrow", standalone_mode=False, **extra)
    except click.ClickException as error:
        error.show()
        if not isinstance(error, click.UsageError):  # it mentions --help itself
            click.echo(f"  {BadArgument.remedy}", err=True)
        return error.exit_code
    except OSError as error:
        print_problem(FileUnusable(str(error.filename or ""), error.strerror or str(error)), "Error: ")
        return FileUnusable.status
    except Problem as error:
        print_problem(error, "Error: ")
        return error.status
    except click.Abort:
        click.echo("aborted", err=True)
        return 1
    return status if isinstance(status, int) else 0
