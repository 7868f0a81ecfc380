"""Converts errors of the programs to exit codes and one line on standard error, without a traceback.

::

    exit code  error
    1          any other AppError, such as an unusable membership address or vote file;
               a change that could not be published
    2          ConfigError, MissingExtraError, click's usage errors
    3          ListenError: the address of clients, of operators or of gossip cannot be bound
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NoReturn

import click

from saltcourse.app.errors import AppError, MissingExtraError
from saltcourse.config import ConfigError
from saltcourse.proxy.errors import ListenError

EXIT_FAILURE = 1
EXIT_CONFIG = 2
EXIT_LISTEN = 3


def fail(code: int, message: str) -> NoReturn:
    """Print one line to standard error, and end the program with an exit code."""
    click.echo(f"saltcourse: {message}", err=True)
    raise SystemExit(code) from None


@contextmanager
def exit_on_error() -> Iterator[None]:
    """End the program with the exit code of an error that is raised in the body."""
    try:
        yield
    except ConfigError as error:
        fail(EXIT_CONFIG, f"configuration: {error}")
    except MissingExtraError as error:
        fail(EXIT_CONFIG, str(error))
    except ListenError as error:
        fail(EXIT_LISTEN, str(error))
    except AppError as error:
        fail(EXIT_FAILURE, str(error))
