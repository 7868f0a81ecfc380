"""The commands that run a control member and publish configuration changes."""

from __future__ import annotations

import click

from saltcourse.cli.errors import EXIT_FAILURE, exit_on_error, fail
from saltcourse.cli.logging import set_up_logging
from saltcourse.cli.options import AddressType, name_option, operator_option, operator_source
from saltcourse.codec.endpoint_list import Address
from saltcourse.config import ConfigError


@click.command()
@operator_option
@click.option(
    "--admin", type=AddressType(), default=None, help="Address of the admin server; default: no admin server."
)
@name_option
def control(operator: str | None, admin: Address | None, name: str | None) -> None:
    """Run a control member of the fleet, without a proxy, until SIGTERM.

    Voters vote on configuration changes; other members only follow them and answer operators.
    """
    with exit_on_error():
        source = operator_source(operator, name)
        settings = source.read_gossip()
        if settings is None:
            raise ConfigError("a control member needs an operator's file with a section gossip")
        from saltcourse.app.control_member import run_control_member  # imported late: it needs protobuf
        from saltcourse.gossip.messages import Role

        if settings.role is not Role.CONTROL:
            raise ConfigError("gossip.role: must be CONTROL for a control member")
        set_up_logging()
        run_control_member(settings, source.read_gossip, admin)


@click.command()
@click.option("--admin", type=AddressType(), required=True, help="Admin address of a control member.")
@click.option("--delete", "deleted", metavar="KEY", multiple=True, help="Key to delete; can be repeated.")
@click.argument("assignments", metavar="KEY=VALUE", nargs=-1)
def publish(admin: Address, deleted: tuple[str, ...], assignments: tuple[str, ...]) -> None:
    """Publish a change of the fleet's configuration, with all given keys in one atomic write.

    Print the position of the change once a majority of the voters has stored it on disk.
    """
    writes = _parse_writes(assignments, deleted)
    from saltcourse.admin.publish_client import PublishingError, publish_change

    try:
        position = publish_change(admin, writes)
    except PublishingError as error:
        fail(EXIT_FAILURE, str(error))
    click.echo(f"published: epoch {position.epoch}, version {position.version}")


def _parse_writes(assignments: tuple[str, ...], deleted: tuple[str, ...]) -> dict[str, str | None]:
    """Return the new values by key; the value None deletes the key."""
    writes: dict[str, str | None] = {}
    for assignment in assignments:
        key, equals, value = assignment.partition("=")
        if not key or not equals:
            raise click.UsageError(f"argument must be KEY=VALUE, not {assignment!r}")
        _add_write(writes, key, value)
    for key in deleted:
        _add_write(writes, key, None)
    if not writes:
        raise click.UsageError("nothing to publish: give KEY=VALUE or --delete KEY")
    return writes


def _add_write(writes: dict[str, str | None], key: str, value: str | None) -> None:
    if key in writes:
        raise click.UsageError(f"duplicate key {key!r}")
    writes[key] = value
