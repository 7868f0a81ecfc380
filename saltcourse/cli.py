"""The command line. Without a sub-command it serves."""

from __future__ import annotations

import logging
import os
import sys
from functools import partial

import click
import structlog

from saltcourse import __version__
from saltcourse.config import Config, ConfigError, load_config
from saltcourse.net.lifecycle import serve as serve_forever

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


config_option = click.option(
    "--config", "path", metavar="FILE", help="Configuration file; default $EDGE_CONFIG.")


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A balancing proxy for long-lived connections."""
    if context.invoked_subcommand is None:
        context.invoke(serve, path=None)


@main.command()
@config_option
def serve(path: str | None) -> None:
    """Run the proxy until SIGTERM. SIGHUP has it read its configuration again."""
    config = _load(path)
    set_up_logging()
    try:
        serve_forever(config, partial(load_config, path, os.environ, again=True))
    except OSError as wrong:
        host, port = config.listen
        click.echo(f"saltcourse: 'listen': cannot listen on {host}:{port}: {wrong.strerror}", err=True)
        raise SystemExit(EXIT_LISTEN) from None


@main.command("check-config")
@config_option
def check_config(path: str | None) -> None:
    """Read the configuration, say what is in it, and exit."""
    config = _load(path)
    click.echo(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, asks discovery at "
               f"{config.discovery[0]}:{config.discovery[1]}; {len(config.settings.classes)} classes, "
               f"{len(config.known.members)} known providers, {config.limits.sockets} sockets")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"saltcourse {__version__}")
