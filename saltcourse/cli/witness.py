"""The command that runs a witness, which only votes in the election for the service address."""

from __future__ import annotations

import click

from saltcourse.cli.errors import exit_on_error
from saltcourse.cli.logging import set_up_logging
from saltcourse.cli.options import name_option, operator_option, operator_source
from saltcourse.config import ConfigError


@click.command()
@operator_option
@name_option
def witness(operator: str | None, name: str | None) -> None:
    """Vote in the election for the service address, and never hold it.

    Runs until SIGTERM. SIGHUP reloads the keys.
    """
    with exit_on_error():
        source = operator_source(operator, name)
        settings = source.read_address_failover()
        if settings is None:
            raise ConfigError("a witness needs an operator's file with a section membership")
        if not settings.is_witness:
            raise ConfigError(f"membership.member: {settings.own_name!r} must have witness: true")
        set_up_logging()
        from saltcourse.app.witness import run_witness  # imported late: it needs protobuf

        run_witness(settings, source.read_address_failover)
