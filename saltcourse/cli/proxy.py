"""The commands that run the proxy and check its configuration."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import click

from saltcourse.app.proxy import ProxyProgram
from saltcourse.cli.errors import exit_on_error
from saltcourse.cli.logging import set_up_logging
from saltcourse.cli.options import config_option, operator_option
from saltcourse.config import Config

if TYPE_CHECKING:  # imported at run time only if there is an operator's file
    from saltcourse.config.operator_address_failover import AddressFailoverSettings
    from saltcourse.config.operator_gossip import GossipSettings


@click.command()
@config_option
@operator_option
def serve(config_path: str | None, operator: str | None) -> None:
    """Run the proxy until SIGTERM. SIGHUP reloads its configuration."""
    with exit_on_error():
        program = ProxyProgram(config_path, operator, os.environ)
        set_up_logging()
        program.run()


@click.command("check-config")
@config_option
@operator_option
def check_config(config_path: str | None, operator: str | None) -> None:
    """Check the configuration and print a summary of it."""
    with exit_on_error():
        program = ProxyProgram(config_path, operator, os.environ)
    click.echo(_proxy_summary(program.config))
    settings = program.operator
    if settings is not None and settings.address_failover is not None:
        click.echo(_address_failover_summary(settings.address_failover))
    if settings is not None and settings.gossip is not None:
        click.echo(_gossip_summary(settings.gossip))


def _proxy_summary(config: Config) -> str:
    return (
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, discovery at "
        f"{config.discovery[0]}:{config.discovery[1]}; {len(config.settings.classes)} classes, "
        f"{len(config.known.endpoints)} known backends, {config.limits.sockets} sockets"
    )


def _address_failover_summary(settings: AddressFailoverSettings) -> str:
    announcer = "bgp" if settings.bgp else "command" if settings.command else "nobody (witness)"
    return (
        f"membership: {settings.own_name} of {len(settings.voters)} members, service address "
        f"{settings.service_address}, announced by {announcer}, vote stored in "
        f"{settings.store_file or 'memory only'}, {len(settings.keys)} keys"
    )


def _gossip_summary(settings: GossipSettings) -> str:
    return (
        f"gossip: {settings.own_name} in zone {settings.zone} of {settings.region}, listens on "
        f"{settings.listen[0]}:{settings.listen[1]}, {len(settings.seeds)} seeds, "
        f"{len(settings.voters)} voters, {settings.bytes_per_s:g} bytes/s"
    )
