"""The commands of a control member and of those who publish at one."""

from __future__ import annotations

import os
from functools import partial

import click

from saltcourse.cli.options import (
    EXIT_FAILURE,
    EXIT_LISTEN,
    fail,
    load_operator,
    operator_option,
    refuse,
    reread_gossip,
    set_up_logging,
)
from saltcourse.codec.endpoint_list import Address, read_address
from saltcourse.config import ConfigError
from saltcourse.proxy.errors import ListenError


class AddressType(click.ParamType[Address]):
    """``HOST:PORT``."""

    name = "HOST:PORT"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        try:
            return read_address(value)
        except ValueError:
            self.fail(f"must be HOST:PORT, not {value!r}", param, ctx)


@click.command()
@operator_option
@click.option("--admin", type=AddressType(), default=None, help="The operators' address; default: none.")
@click.option("--name", default=None, help="Which member this is; default $EDGE_NAME, or the file's me.")
def control(operator: str | None, admin: Address | None, name: str | None) -> None:
    """Run a control member of the fleet alone, until SIGTERM.

    A voter takes part in the agreement on configuration changes; others only follow and answer operators.
    """
    me = name or os.environ.get("EDGE_NAME") or ""
    settings = load_operator(operator, me)
    if settings is None or settings.gossip is None:
        refuse("a control member needs an operator's file with gossip")
    from saltcourse.app.control_member import ControlFailed, run_alone
    from saltcourse.gossip.messages import Role

    if settings.gossip.role is not Role.CONTROL:
        refuse("gossip.role: must be CONTROL for a control member")
    set_up_logging()
    try:
        run_alone(settings.gossip, partial(reread_gossip, operator, me), admin)
    except ConfigError as wrong:
        refuse(str(wrong))
    except ListenError as wrong:
        fail(EXIT_LISTEN, str(wrong))
    except ControlFailed as wrong:
        fail(EXIT_FAILURE, str(wrong))


@click.command()
@click.option("--admin", type=AddressType(), required=True, help="The admin address of a control member.")
@click.option("--delete", "deleted", metavar="KEY", multiple=True, help="A key to delete; can be repeated.")
@click.argument("settings", metavar="KEY=VALUE", nargs=-1)
def publish(admin: Address, deleted: tuple[str, ...], settings: tuple[str, ...]) -> None:
    """Change the fleet's configuration: all keys given are written together.

    Prints the position of the change once a majority of the voters has it on disk.
    """
    writes = _writes(settings, deleted)
    from saltcourse.admin.publishing import PublishingFailed, publish_change

    try:
        position = publish_change(admin, writes)
    except PublishingFailed as wrong:
        fail(EXIT_FAILURE, str(wrong))
    click.echo(f"published: epoch {position.epoch}, version {position.version}")


def _writes(settings: tuple[str, ...], deleted: tuple[str, ...]) -> dict[str, str | None]:
    writes: dict[str, str | None] = {}
    for setting in settings:
        key, equals, value = setting.partition("=")
        if not key or not equals:
            raise click.UsageError(f"must be KEY=VALUE, not {setting!r}")
        _add(writes, key, value)
    for key in deleted:
        _add(writes, key, None)
    if not writes:
        raise click.UsageError("nothing to publish: give KEY=VALUE or --delete KEY")
    return writes


def _add(writes: dict[str, str | None], key: str, value: str | None) -> None:
    if key in writes:
        raise click.UsageError(f"{key!r} stands twice")
    writes[key] = value
