"""The command group ``saltcourse``; it runs ``serve`` if no subcommand is given."""

from __future__ import annotations

import click

from saltcourse import __version__, signals
from saltcourse.cli.gossip import control, publish
from saltcourse.cli.proxy import check_config, serve
from saltcourse.cli.witness import witness

SIGNAL_HANDLING_COMMANDS = (None, serve.name, control.name)  # None: no subcommand, which runs serve


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A load-balancing proxy for long-lived connections."""
    if context.invoked_subcommand not in SIGNAL_HANDLING_COMMANDS:
        signals.release()
    if context.invoked_subcommand is None:
        context.invoke(serve, config_path=None, operator=None)


@click.command()
def version() -> None:
    """Print the version."""
    click.echo(f"saltcourse {__version__}")


for command in (serve, witness, check_config, version, control, publish):
    main.add_command(command)
