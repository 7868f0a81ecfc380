"""Options that several commands have."""

from __future__ import annotations

import os

import click

from saltcourse.app.operator_source import OperatorSource
from saltcourse.codec.endpoint_list import Address, read_address

config_option = click.option(
    "--config", "config_path", metavar="FILE", help="Configuration file; default $EDGE_CONFIG."
)
operator_option = click.option(
    "--operator", metavar="FILE", help="The operator's own file; default $SALTCOURSE_OPERATOR, else none."
)
name_option = click.option(
    "--name", default=None, help="Which member this is; default $EDGE_NAME, or the file's me."
)


class AddressType(click.ParamType[Address]):
    """``HOST:PORT``."""

    name = "HOST:PORT"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        """Parse the option's value; a wrong one ends the program as a usage error."""
        try:
            return read_address(value)
        except ValueError:
            self.fail(f"must be HOST:PORT, not {value!r}", param, ctx)


def operator_source(path: str | None, name: str | None) -> OperatorSource:
    """Return the operator's file for a program that has no proxy's configuration to name it."""
    return OperatorSource(path, os.environ, name or os.environ.get("EDGE_NAME") or "")
