"""The group of all commands. Without a sub-command it serves."""

from __future__ import annotations

import click

from saltcourse import __version__, signals
from saltcourse.cli.gossip import control, publish
from saltcourse.cli.proxy import check_config, serve
from saltcourse.cli.witness import witness

HANDLE_SIGNALS_THEMSELVES = (None, serve.name, control.name)  # None: no sub-command, which serves


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A balancing proxy for long-lived connections."""
    if context.invoked_subcommand not in HANDLE_SIGNALS_THEMSELVES:
        signals.release()
    if context.invoked_subcommand is None:
        context.invoke(serve, config_path=None, operator=None)


@click.command()
def version() -> None:
    """Print the version."""
    click.echo(f"saltcourse {__version__}")


for command in (serve, witness, check_config, version, control, publish):
    main.add_command(command)
