"""The actor for discovery's list: asks when the module asks, and keeps a watch going between."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import structlog
from tornado.iostream import IOStream, StreamClosedError

from saltcourse.balancing.actions import FetchEndpoints, WatchEndpoints
from saltcourse.balancing.events import EndpointUpdateKind
from saltcourse.balancing.settings import CHANGE_KNOWN_WITHIN_SECONDS, LIST_CALL_TIMEOUT_SECONDS
from saltcourse.codec import http
from saltcourse.codec.endpoint_list import Address, EndpointUpdate, decode_endpoint_update
from saltcourse.codec.errors import EndpointListError, HttpResponseError
from saltcourse.proxy.actor import Actor, spawn
from saltcourse.proxy.attempt import NoSocket, open_socket
from saltcourse.proxy.messages import Listed

PATH = "/catalog/members"
# A watch can fall silent with news held back, as soon as it is begun. What it misses counts as told
# TOLD_WITHIN later: until then it has to be given up, and the call in its place has to have had its turn.
WATCH_SLACK = 0.6  # s after its wait at which a watch without an answer is taken for silent
WATCH_TIME = (
    CHANGE_KNOWN_WITHIN_SECONDS - WATCH_SLACK - LIST_CALL_TIMEOUT_SECONDS / 2
)  # s that a call may wait for news
SOON = 0.1  # s; a watch goes on when the next call comes within 0.2 s of an answer
FIRST_CALL_TIME = 1.2  # s for the first answer at a new address, doubling: the list is owed within 4 s
CALL_AGAIN = 0.2  # s between calls at a new address while none has been answered
CHUNK = 16 * 1024

log = structlog.get_logger("saltcourse")


class Refused(Exception):
    """A call failed: discovery could not be reached, turned it away, or told what is no list."""


class Silent(Exception):
    """Discovery took a call and has said nothing in time."""


@dataclass(slots=True)
class Relocate:
    """Discovery is at another address from now on."""

    address: Address


class Directory(Actor[WatchEndpoints | FetchEndpoints | Relocate]):
    """Calls run beside the mailbox, so that the whole list can be asked for during a watch."""

    def __init__(self, address: Address, version: int, told: Callable[[Listed], None]) -> None:
        super().__init__("directory")
        self._address, self._told = address, told
        self._version = version
        self._watching = False
        self._calls: set[asyncio.Task[None]] = set()  # at the present address

    async def run(self) -> None:
        while True:
            asked = await self.mailbox.get()
            if isinstance(asked, Relocate):
                self._relocate(asked.address)
            elif isinstance(asked, FetchEndpoints):
                self._begin(self._fetch(), "list call")
            elif self._watching:  # a call is out already, and news will come by it
                self._told(Listed(EndpointUpdateKind.DELTA, EndpointUpdate(self._version, False, (), {})))
            else:
                self._watching = True
                self._begin(self._watch(), "watch")

    def _begin(self, calls: Coroutine[Any, Any, None], what: str) -> None:
        task = spawn(calls, what)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _relocate(self, address: Address) -> None:
        """What the old address might still answer is not waited for: it may be late, and would undo what
        the new one has told."""
        for task in self._calls:
            task.cancel()
        self._address = address
        self._watching = True
        self._begin(self._settle(), "watch at a new address")

    async def _settle(self) -> None:
        """At a new address nothing is known of its versions, so the whole list comes first."""
        self._version = 0
        patience = FIRST_CALL_TIME
        while True:
            try:
                self._tell(await self._call(PATH, 0.0, min(patience, LIST_CALL_TIMEOUT_SECONDS)), 0)
                break
            except (Refused, Silent):
                patience *= 2
                await asyncio.sleep(CALL_AGAIN)
        await self._watch()

    async def _fetch(self) -> None:
        held = self._version
        try:
            self._tell(await self._call(PATH, 0.0), held)
        except (Refused, Silent):
            self._told(Listed(EndpointUpdateKind.UNAVAILABLE))

    async def _watch(self) -> None:
        """Each call follows the last answer at once. A call that falls silent is no refusal: the whole list
        is asked for at once. The first failure ends the watch; the module says when to begin another."""
        loop = asyncio.get_running_loop()
        silent = False
        while True:
            begun, held = loop.time(), self._version
            target = f"{PATH}?after={held}&wait_ms={round(WATCH_TIME * 1000)}"
            try:
                if silent:
                    listing = await self._call(PATH, 0.0)
                else:
                    listing = await self._call(target, WATCH_TIME, WATCH_SLACK)
            except Silent:
                silent = True
                continue
            except Refused:
                break
            self._tell(listing, held)
            if not silent and not listing.endpoints and loop.time() - begun < SOON:
                await asyncio.sleep(SOON)  # a service that does not wait must not be called in a spin
            silent = False
        self._watching = False
        self._told(Listed(EndpointUpdateKind.UNAVAILABLE))

    def _tell(self, listing: EndpointUpdate, held: int) -> None:
        """``held`` is the version that was held when the call was made.

        An answer under the version held now, but not under that one, is late: another call's answer crossed
        it, and it must not undo what that told. One under both is of a discovery that began anew, and counts;
        if it tells changes only, there is a whole list behind it that has to be asked for."""
        if held <= listing.version < self._version:
            return
        began_anew = listing.version < held
        self._version = 0 if began_anew and not listing.is_snapshot else listing.version
        if began_anew and not listing.is_snapshot:
            return
        self._told(
            Listed(EndpointUpdateKind.SNAPSHOT if listing.is_snapshot else EndpointUpdateKind.DELTA, listing)
        )

    async def _call(
        self, target: str, wait: float, patience: float = LIST_CALL_TIMEOUT_SECONDS
    ) -> EndpointUpdate:
        try:
            async with asyncio.timeout(wait + patience):
                answer = await self._get(target)
            if answer.status != 200:
                raise EndpointListError(f"status {answer.status}")
            return decode_endpoint_update(answer.body)
        except TimeoutError:
            log.info("list call fell silent", seconds=wait + patience)
            raise Silent from None
        except (OSError, NoSocket, HttpResponseError, EndpointListError) as wrong:
            log.info("list call failed", reason=str(wrong) or type(wrong).__name__)
            raise Refused from None

    async def _get(self, target: str) -> http.ResponseParser:
        host, port = self._address
        stream = IOStream(open_socket(self._address), read_chunk_size=CHUNK)
        answer = http.ResponseParser()
        try:
            await stream.connect(self._address)
            await stream.write(http.get_request(f"{host}:{port}", target))
            while not answer.done:
                try:
                    answer.feed(await stream.read_bytes(CHUNK, partial=True))
                except StreamClosedError:
                    if stream.error is not None:
                        raise
                    answer.feed_eof()
        finally:
            stream.close()
        return answer
