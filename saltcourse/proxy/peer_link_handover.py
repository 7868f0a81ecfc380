"""The handover of the address between proxies when a process is replaced while it serves.

``peer_listen`` belongs to one process at a time:

    new process   waits until the address is free, then opens the link   (``open_when_free``)
    old process   closes the link when it begins to drain                (``release``)

Until then the new process serves without its peers, and the old one goes on as before if the new one ends. An
address that stays taken for longer than any replacement takes is held by another program, which is logged.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

import structlog

from saltcourse.balancing.events import PeerLinkChanged
from saltcourse.proxy.actor import spawn
from saltcourse.proxy.peer_link import PeerLink

RETRY_INTERVAL_SECONDS = 0.1
# The old process has 6 s until its SIGTERM, and releases the address then.
REPLACED_WITHIN_SECONDS = 15.0

log = structlog.get_logger("saltcourse")


class PeerLinkHandover:
    """Opens and releases ``link``; ``on_change`` is called when that changes who speaks for this proxy."""

    def __init__(self, link: PeerLink, on_change: Callable[[PeerLinkChanged], None]) -> None:
        self._link = link
        self._on_change = on_change
        self._opening: asyncio.Task[None] | None = None

    async def open_when_free(self) -> None:
        """Open the link, now or in the background once its address is free.

        Raises ``OSError`` if the address cannot be bound for another reason than that it is taken.
        """
        if await self._try_open():
            return
        log.info("peer address is taken, waiting for it", address=self._link.address)
        self._on_change(PeerLinkChanged(is_open=False))
        self._opening = spawn(self._open_in_background(), "peer link opening")

    async def _try_open(self) -> bool:
        try:
            await self._link.open()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            return False
        return True

    async def _open_in_background(self) -> None:
        loop = asyncio.get_running_loop()
        warn_at: float | None = loop.time() + REPLACED_WITHIN_SECONDS
        while not await self._try_open():
            if warn_at is not None and loop.time() >= warn_at:
                log.error("peer address is held by another program", address=self._link.address)
                warn_at = None
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        log.info("peer link opened", address=self._link.address)
        self._on_change(PeerLinkChanged(is_open=True))

    def release(self) -> None:
        """Close the link, or stop waiting for its address, so that the other process can open it."""
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        self._on_change(PeerLinkChanged(is_open=False))
        self._link.close()
