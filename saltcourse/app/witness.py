"""Runs a witness in its own process: it votes in the election for the service address but never holds it."""

from __future__ import annotations

import asyncio
import signal

import structlog

from saltcourse.app.address_failover import AddressFailoverService
from saltcourse.app.reloading import Reread
from saltcourse.config.operator_address_failover import AddressFailoverSettings

log = structlog.get_logger("saltcourse")


def run_witness(settings: AddressFailoverSettings, reread: Reread[AddressFailoverSettings]) -> None:
    """Vote until SIGTERM or SIGINT; SIGHUP reloads the keys.

    Raises ``AddressFailoverStartError`` if the member can't start.
    """
    asyncio.run(_run(settings, reread))


async def _run(settings: AddressFailoverSettings, reread: Reread[AddressFailoverSettings]) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    member = AddressFailoverService(settings, reread)
    loop.add_signal_handler(signal.SIGHUP, member.reload)
    await member.start()
    log.info("witness started", member=settings.own_name, members=len(settings.voters))
    await stop.wait()
    await member.leave()
