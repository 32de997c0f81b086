"""The command line: one file a sub-command, imported when it is called.

Serving needs none of it: `serve` hands its flags on in the environment and becomes the serving program.
"""

from __future__ import annotations

import importlib
from typing import Any

import click

from spoolbarrow.cli.errors import BadArgument, FileUnusable
from spoolbarrow.errors import Problem

COMMANDS = {
    "agree": "What versions routers act on; a change that all take or none.",
    "check": "Check both configuration files and print each fault.",
    "door": "Fair shares at the front door: explain a refusal.",
    "completion": "Print the shell's completion script.",
    "flows": "Flow records: collect, read, rank and verify them.",
    "lab": "Play scenarios with a model of the fleet.",
    "shadow": "Shadow traffic: compare answers, see how copying goes.",
    "serve": "Serve until SIGTERM.",
    "store": "Documents kept by several members: serve as one, read, write.",
    "version": "Print the version.",
}
EXIT_STATUS = """\b
Exit status:
  0  done
  1  the command found what it was to look for, or failed
  2  the command line or a configuration is faulty"""


class Lazy(click.Group):
    """A group whose commands are modules of this package, each with a `command`."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Their names, in the alphabet's order."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import one; None where there is none of that name."""
        if cmd_name not in COMMANDS:
            return None
        made: click.Command = importlib.import_module(f"spoolbarrow.cli.{cmd_name}").command
        return made

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """The list in `--help`, without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, COMMANDS[name]) for name in self.list_commands(ctx)])


@click.group(cls=Lazy, epilog=EXIT_STATUS, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Request router for language-model servers. Without a command it serves."""


def tell(error: Problem, mark: str = "", err: bool = True) -> None:
    """Print what is wrong, and on a second line what can be done."""
    click.echo(f"{mark}{error}", err=err)
    click.echo(f"  {error.remedy}", err=err)


def run(arguments: list[str], **extra: Any) -> int:
    """Carry out a command; the exit status."""
    try:
        # Not standalone: then --help and exit() come back as a status, and errors as exceptions.
        status = main.main(arguments, prog_name="spoolbarrow", standalone_mode=False, **extra)
    except click.ClickException as error:
        error.show()
        if not isinstance(error, click.UsageError):  # which tells of --help itself
            click.echo(f"  {BadArgument.remedy}", err=True)
        return error.exit_code
    except OSError as error:
        tell(FileUnusable(str(error.filename or ""), error.strerror or str(error)), "Error: ")
        return FileUnusable.status
    except Problem as error:
        tell(error, "Error: ")
        return error.status
    except click.Abort:
        click.echo("aborted", err=True)
        return 1
    return status if isinstance(status, int) else 0
