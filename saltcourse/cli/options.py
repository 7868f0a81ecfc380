"""Options that several commands share."""

from __future__ import annotations

import os

import click

from saltcourse.app.operator_source import OperatorSource
from saltcourse.codec.endpoint_list import Address, read_address

config_option = click.option(
    "--config", "config_path", metavar="FILE", help="Configuration file; default: $EDGE_CONFIG."
)
operator_option = click.option(
    "--operator", metavar="FILE", help="Operator's file; default: $SALTCOURSE_OPERATOR, or none."
)
name_option = click.option(
    "--name", default=None, help="Name of this member if the section does not set me; default: $EDGE_NAME."
)


class AddressType(click.ParamType[Address]):
    """An address ``HOST:PORT``."""

    name = "HOST:PORT"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        """Parse the value of the option; an invalid value is a usage error."""
        try:
            return read_address(value)
        except ValueError:
            self.fail(f"must be HOST:PORT, not {value!r}", param, ctx)


def operator_source(path: str | None, name: str | None) -> OperatorSource:
    """Return the source of the operator's file for a program without a proxy configuration."""
    return OperatorSource(path, os.environ, name or os.environ.get("EDGE_NAME") or "")
