"""The command line. Without a sub-command it serves."""

from __future__ import annotations

import logging
import os
import sys
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import click
import structlog

from saltcourse import __version__, signals
from saltcourse.config import Config, ConfigError, load_config
from saltcourse.net.lifecycle import CannotListen
from saltcourse.net.lifecycle import serve as serve_forever

if TYPE_CHECKING:  # nothing of it is imported without an operator's file
    from saltcourse.config.operator import MembershipSettings, OperatorSettings

EXIT_CONFIG, EXIT_LISTEN = 2, 3


def set_up_logging() -> None:
    """One line an event on standard error, time first; no colours, for it ends up in files."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def _load(path: str | None) -> Config:
    try:
        return load_config(path, os.environ)
    except ConfigError as wrong:
        click.echo(f"saltcourse: configuration: {wrong}", err=True)
        raise SystemExit(EXIT_CONFIG) from None


def _load_operator(given: str | None, me: str) -> OperatorSettings | None:
    if not (given or os.environ.get("SALTCOURSE_OPERATOR")):
        return None
    try:
        from saltcourse.config.operator import operator_path, read_operator
    except ImportError as wrong:
        click.echo(f"saltcourse: --operator: {wrong}: install saltcourse[membership]", err=True)
        raise SystemExit(EXIT_CONFIG) from None
    path = operator_path(given, os.environ)
    assert path is not None
    try:
        return read_operator(path, me)
    except ConfigError as wrong:
        click.echo(f"saltcourse: configuration: {wrong}", err=True)
        raise SystemExit(EXIT_CONFIG) from None


def _load_both(path: str | None, operator: str | None) -> tuple[Config, OperatorSettings | None]:
    config = _load(path)
    settings = _load_operator(operator, config.name)
    for part in ("membership", "fleet"):
        if settings is not None and getattr(settings, part) is not None and not config.settings.peers:
            click.echo(f"saltcourse: configuration: {part}: the deployment's settings say that proxies may "
                       "not talk to each other ('settings.limits.peers')", err=True)
            raise SystemExit(EXIT_CONFIG)
    return _with_terms(config, settings), settings


def _with_terms(config: Config, operator: OperatorSettings | None) -> Config:
    """The operator's terms for the fleet stand in the settings that the module is told."""
    if operator is None or operator.fleet is None:
        return config
    return replace(config, settings=replace(config.settings, fleet=operator.fleet))


def _reread(path: str | None, operator: OperatorSettings | None) -> Config:
    return _with_terms(load_config(path, os.environ, again=True), operator)


config_option = click.option(
    "--config", "path", metavar="FILE", help="Configuration file; default $EDGE_CONFIG.")
operator_option = click.option(
    "--operator", metavar="FILE", help="The operator's own file; default $SALTCOURSE_OPERATOR, else none.")


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A balancing proxy for long-lived connections."""
    if context.invoked_subcommand not in (None, serve.name):
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
    beside = None
    if settings is not None and settings.membership is not None:
        from saltcourse.membership.run import Beside

        beside = Beside(settings.membership, partial(_reread_membership, operator, config.name))
    try:
        serve_forever(config, partial(_reread, path, settings), beside)
    except CannotListen as wrong:
        click.echo(f"saltcourse: {wrong}", err=True)
        raise SystemExit(EXIT_LISTEN) from None


def _reread_membership(operator: str | None, me: str) -> MembershipSettings | None:
    from saltcourse.config.operator import operator_path, read_operator

    found = operator_path(operator, os.environ)
    return read_operator(found, me).membership if found is not None else None


@main.command()
@operator_option
@click.option("--name", default=None, help="Which member this is; default $EDGE_NAME, or the file's me.")
def witness(operator: str | None, name: str | None) -> None:
    """Vote in the election of the service address's holder, and hold nothing.

    Ends on SIGTERM; SIGHUP has it read its keys again.
    """
    me = name or os.environ.get("EDGE_NAME") or ""
    settings = _load_operator(operator, me)
    if settings is None or settings.membership is None:
        click.echo("saltcourse: configuration: a witness needs an operator's file with membership", err=True)
        raise SystemExit(EXIT_CONFIG)
    if not settings.membership.witness:
        click.echo(f"saltcourse: configuration: membership.member: {settings.membership.me!r} is no witness",
                   err=True)
        raise SystemExit(EXIT_CONFIG)
    set_up_logging()
    from saltcourse.membership.run import run_alone

    run_alone(settings.membership, partial(_reread_membership, operator, me))


@main.command("check-config")
@config_option
@operator_option
def check_config(path: str | None, operator: str | None) -> None:
    """Read the configuration, say what is in it, and exit."""
    config, settings = _load_both(path, operator)
    click.echo(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, asks discovery at "
               f"{config.discovery[0]}:{config.discovery[1]}; {len(config.settings.classes)} classes, "
               f"{len(config.known.members)} known providers, {config.limits.sockets} sockets")
    if settings is not None and settings.membership is not None:
        told = settings.membership
        by = "bgp" if told.bgp else "command" if told.command else "nobody (witness)"
        click.echo(f"membership: {told.me} of {len(told.seats)}, service address {told.service_address}, "
                   f"announced by {by}, vote kept in {told.store_file or 'memory only'}, "
                   f"{len(told.keys)} keys")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"saltcourse {__version__}")
