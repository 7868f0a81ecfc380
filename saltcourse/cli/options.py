"""What the commands share: options, exit codes, the log, and the reading of the operator's file."""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING, NoReturn

import click
import structlog

from saltcourse.config import ConfigError

if TYPE_CHECKING:  # nothing of it is imported without an operator's file
    from saltcourse.config.operator import OperatorSettings
    from saltcourse.config.operator_gossip import GossipSettings

EXIT_FAILURE, EXIT_CONFIG, EXIT_LISTEN = 1, 2, 3

config_option = click.option(
    "--config", "path", metavar="FILE", help="Configuration file; default $EDGE_CONFIG."
)
operator_option = click.option(
    "--operator", metavar="FILE", help="The operator's own file; default $SALTCOURSE_OPERATOR, else none."
)


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


def fail(code: int, message: str) -> NoReturn:
    """One line on standard error, and the end."""
    click.echo(f"saltcourse: {message}", err=True)
    raise SystemExit(code) from None


def refuse(message: str) -> NoReturn:
    """The configuration can't be used."""
    fail(EXIT_CONFIG, f"configuration: {message}")


def load_operator(given: str | None, me: str) -> OperatorSettings | None:
    """The operator's file, or None where there is none; ends the program where it can't be used."""
    if not (given or os.environ.get("SALTCOURSE_OPERATOR")):
        return None
    try:
        from saltcourse.config.operator import operator_path, read_operator
    except ImportError as wrong:
        fail(EXIT_CONFIG, f"--operator: {wrong}: install saltcourse[membership] or saltcourse[gossip]")
    path = operator_path(given, os.environ)
    assert path is not None
    try:
        return read_operator(path, me)
    except ConfigError as wrong:
        refuse(str(wrong))


def reread_operator(given: str | None, me: str) -> OperatorSettings | None:
    """The same in a running program: ``ConfigError`` where it can't be used."""
    from saltcourse.config.operator import operator_path, read_operator

    found = operator_path(given, os.environ)
    return read_operator(found, me) if found is not None else None


def reread_gossip(given: str | None, me: str) -> GossipSettings | None:
    settings = reread_operator(given, me)
    return settings.gossip if settings is not None else None
