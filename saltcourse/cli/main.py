"""The command line. Without a sub-command it serves."""

from __future__ import annotations

import os
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import click

from saltcourse import __version__, signals
from saltcourse.cli.gossip import control, publish
from saltcourse.cli.options import (
    EXIT_LISTEN,
    config_option,
    fail,
    load_operator,
    operator_option,
    refuse,
    reread_gossip,
    reread_operator,
    set_up_logging,
)
from saltcourse.config import Config, ConfigError, load_config
from saltcourse.config.overlay import ConfigurationSource
from saltcourse.proxy.companion import Companion, FleetMember
from saltcourse.proxy.errors import ListenError
from saltcourse.proxy.server import serve as serve_forever

if TYPE_CHECKING:  # nothing of it is imported without an operator's file
    from saltcourse.config.operator import MembershipSettings, OperatorSettings
    from saltcourse.config.operator_gossip import GossipSettings

NEEDS_PEERS = ("membership", "fleet", "gossip")  # sections that let proxies talk to each other


def _load(path: str | None) -> Config:
    try:
        return load_config(path, os.environ)
    except ConfigError as wrong:
        refuse(str(wrong))


def _load_both(path: str | None, operator: str | None) -> tuple[Config, OperatorSettings | None]:
    config = _load(path)
    settings = load_operator(operator, config.name)
    for section in NEEDS_PEERS:
        if (
            settings is not None
            and getattr(settings, section) is not None
            and not config.settings.peers_allowed
        ):
            refuse(
                f"{section}: the deployment's settings say that proxies may not talk to each other "
                "('settings.limits.peers')"
            )
    return _with_terms(config, settings), settings


def _with_terms(config: Config, operator: OperatorSettings | None) -> Config:
    """The operator's terms for the fleet stand in the settings that the module is told."""
    if operator is None or operator.fleet is None:
        return config
    return replace(config, settings=replace(config.settings, shared_state=operator.fleet))


def _reread(path: str | None, operator: OperatorSettings | None) -> Config:
    return _with_terms(load_config(path, os.environ, again=True), operator)


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A balancing proxy for long-lived connections."""
    if context.invoked_subcommand not in (None, serve.name, control.name):
        signals.release()
    if context.invoked_subcommand is None:
        context.invoke(serve, path=None, operator=None)


@main.command()
@config_option
@operator_option
def serve(path: str | None, operator: str | None) -> None:
    """Run the proxy until SIGTERM. SIGHUP has it read its configuration again."""
    config, settings = _load_both(path, operator)
    set_up_logging()
    source = ConfigurationSource(config, partial(_reread, path, settings))
    companions: list[Companion] = []
    gossip: FleetMember | None = None
    if settings is not None and settings.membership is not None:
        companions.append(_membership_companion(settings.membership, operator, config.name))
    if settings is not None and settings.gossip is not None:
        gossip = _gossip_companion(settings.gossip, source, operator, config.name)
    try:
        serve_forever(config, source.reread, companions, gossip)
    except ListenError as wrong:
        fail(EXIT_LISTEN, str(wrong))


def _membership_companion(settings: MembershipSettings, operator: str | None, me: str) -> Companion:
    from saltcourse.app.address_failover import Beside

    return Beside(settings, partial(_reread_membership, operator, me))


def _gossip_companion(
    settings: GossipSettings, source: ConfigurationSource, operator: str | None, me: str
) -> FleetMember:
    from saltcourse.app.gossip import GossipCompanion
    from saltcourse.gossip.messages import Role

    if settings.role is not Role.PROXY:
        refuse("gossip.role: must be PROXY for a proxy; a control member runs alone, by saltcourse control")
    return GossipCompanion(settings, source, partial(reread_gossip, operator, me))


def _reread_membership(operator: str | None, me: str) -> MembershipSettings | None:
    settings = reread_operator(operator, me)
    return settings.membership if settings is not None else None


@main.command()
@operator_option
@click.option("--name", default=None, help="Which member this is; default $EDGE_NAME, or the file's me.")
def witness(operator: str | None, name: str | None) -> None:
    """Vote in the election of the service address's holder, and hold nothing.

    Ends on SIGTERM; SIGHUP has it read its keys again.
    """
    me = name or os.environ.get("EDGE_NAME") or ""
    settings = load_operator(operator, me)
    if settings is None or settings.membership is None:
        refuse("a witness needs an operator's file with membership")
    if not settings.membership.witness:
        refuse(f"membership.member: {settings.membership.me!r} is no witness")
    set_up_logging()
    from saltcourse.app.address_failover import run_alone

    run_alone(settings.membership, partial(_reread_membership, operator, me))


@main.command("check-config")
@config_option
@operator_option
def check_config(path: str | None, operator: str | None) -> None:
    """Read the configuration, say what is in it, and exit."""
    config, settings = _load_both(path, operator)
    click.echo(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, asks discovery at "
        f"{config.discovery[0]}:{config.discovery[1]}; {len(config.settings.classes)} classes, "
        f"{len(config.known.endpoints)} known providers, {config.limits.sockets} sockets"
    )
    if settings is not None and settings.membership is not None:
        told = settings.membership
        by = "bgp" if told.bgp else "command" if told.command else "nobody (witness)"
        click.echo(
            f"membership: {told.me} of {len(told.seats)}, service address {told.service_address}, "
            f"announced by {by}, vote kept in {told.store_file or 'memory only'}, "
            f"{len(told.keys)} keys"
        )
    if settings is not None and settings.gossip is not None:
        gossip = settings.gossip
        click.echo(
            f"gossip: {gossip.me} in zone {gossip.zone} of {gossip.region}, listens on "
            f"{gossip.listen[0]}:{gossip.listen[1]}, {len(gossip.seeds)} seeds, "
            f"{len(gossip.voters)} voters, {gossip.bytes_per_s:g} bytes/s"
        )


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"saltcourse {__version__}")


main.add_command(control)
main.add_command(publish)
