"""The client of discovery: calls for the endpoint list when the balancer asks, and watches it in between.

Two kinds of calls are made, beside each other where both are wanted:

    fetch   GET /catalog/members                          the whole list, at once
    watch   GET /catalog/members?after=V&wait_ms=W        changes after version V, within W ms

Rules:

1. A watch goes on by itself while it is answered. Its first failure ends it; the balancer asks for
   another.
2. A watch that falls silent is no failure: the whole list is fetched in its place at once.
3. Versions only go forward. An answer older than what is known when it comes is late and dropped; one older
   than what was known when it was asked for is of a discovery that began anew, and counts.
4. At a new address nothing is known of its versions, so the whole list comes first.
"""

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
from saltcourse.proxy.errors import (
    DiscoveryCallError,
    DiscoveryError,
    DiscoveryTimeoutError,
    OutOfSocketsError,
)
from saltcourse.proxy.messages import EndpointsReceived
from saltcourse.proxy.sockets import open_socket

LIST_PATH = "/catalog/members"
HTTP_OK = 200
# A watch can fall silent with a change held back, as soon as it is begun. What it misses counts as known
# CHANGE_KNOWN_WITHIN_SECONDS later: until then it has to be given up, and the call in its place has to have
# had its turn.
WATCH_SLACK_SECONDS = 0.6  # after its wait at which a watch without an answer counts as silent
WATCH_WAIT_SECONDS = (  # for which a watch may wait for a change
    CHANGE_KNOWN_WITHIN_SECONDS - WATCH_SLACK_SECONDS - LIST_CALL_TIMEOUT_SECONDS / 2
)
MIN_WATCH_INTERVAL_SECONDS = 0.1  # within the 0.2 s in which discovery takes the next call as the same watch
FIRST_CALL_TIMEOUT_SECONDS = 1.2  # at a new address, doubling: the list is due within 4 s
NEW_ADDRESS_RETRY_SECONDS = 0.2  # between calls at a new address while none has been answered
READ_CHUNK_BYTES = 16 * 1024

log = structlog.get_logger("saltcourse")


@dataclass(slots=True)
class ChangeAddress:
    """Discovery is at another address from now on."""

    address: Address


class DiscoveryClient(Actor[WatchEndpoints | FetchEndpoints | ChangeAddress]):
    """Makes its calls in tasks of their own, so that the whole list can be fetched during a watch."""

    def __init__(
        self, address: Address, version: int, on_endpoints: Callable[[EndpointsReceived], None]
    ) -> None:
        super().__init__("discovery client")
        self._address = address
        self._version = version  # of the list that is known
        self._on_endpoints = on_endpoints
        self._is_watching = False
        self._calls: set[asyncio.Task[None]] = set()  # at the present address

    async def run(self) -> None:
        """Take the balancer's calls, and changes of the address."""
        while True:
            message = await self.mailbox.get()
            match message:
                case ChangeAddress(address):
                    self._change_address(address)
                case FetchEndpoints():
                    self._begin(self._fetch(), "endpoint list fetch")
                case WatchEndpoints() if self._is_watching:
                    # A call is out already and will bring changes. The balancer is answered all the same:
                    # an answer resets its count of failed calls.
                    nothing_new = EndpointUpdate(self._version, False, (), {})
                    self._on_endpoints(EndpointsReceived(EndpointUpdateKind.DELTA, nothing_new))
                case WatchEndpoints():
                    self._is_watching = True
                    self._begin(self._watch(), "endpoint list watch")

    def _begin(self, call: Coroutine[Any, Any, None], name: str) -> None:
        task = spawn(call, name)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _change_address(self, address: Address) -> None:
        """Calls at the old address are cancelled: a late answer would undo what the new one has sent."""
        for task in self._calls:
            task.cancel()
        self._address = address
        self._is_watching = True
        self._begin(self._watch_new_address(), "endpoint list watch at a new address")

    async def _watch_new_address(self) -> None:
        self._version = 0
        timeout = FIRST_CALL_TIMEOUT_SECONDS
        while True:
            try:
                update = await self._call(LIST_PATH, min(timeout, LIST_CALL_TIMEOUT_SECONDS))
                break
            except DiscoveryError:
                timeout *= 2
                await asyncio.sleep(NEW_ADDRESS_RETRY_SECONDS)
        self._publish(update, 0)
        await self._watch()

    async def _fetch(self) -> None:
        version_asked = self._version
        try:
            self._publish(await self._call(LIST_PATH), version_asked)
        except DiscoveryError:
            self._on_endpoints(EndpointsReceived(EndpointUpdateKind.UNAVAILABLE))

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        was_silent = False
        while True:
            started, version_asked = loop.time(), self._version
            try:
                update = await (self._call(LIST_PATH) if was_silent else self._call_watch(version_asked))
            except DiscoveryTimeoutError:
                was_silent = True
                continue
            except DiscoveryCallError:
                break
            self._publish(update, version_asked)
            came_at_once = loop.time() - started < MIN_WATCH_INTERVAL_SECONDS
            if not was_silent and not update.endpoints and came_at_once:
                # A service that does not wait must not be called in a spin.
                await asyncio.sleep(MIN_WATCH_INTERVAL_SECONDS)
            was_silent = False
        self._is_watching = False
        self._on_endpoints(EndpointsReceived(EndpointUpdateKind.UNAVAILABLE))

    def _publish(self, update: EndpointUpdate, version_asked: int) -> None:
        """Hand on an update; ``version_asked`` is the version that was known when its call was made.

        An answer under the version known now, but not under that one, is late: another call's answer crossed
        it and must not be undone. One under both is of a discovery that began anew, and counts; if it has
        changes only, there is a whole list behind it that has to be fetched.
        """
        if version_asked <= update.version < self._version:
            return
        began_anew = update.version < version_asked
        if began_anew and not update.is_snapshot:
            self._version = 0
            return
        self._version = update.version
        kind = EndpointUpdateKind.SNAPSHOT if update.is_snapshot else EndpointUpdateKind.DELTA
        self._on_endpoints(EndpointsReceived(kind, update))

    async def _call_watch(self, version: int) -> EndpointUpdate:
        target = f"{LIST_PATH}?after={version}&wait_ms={round(WATCH_WAIT_SECONDS * 1000)}"
        return await self._call(target, WATCH_WAIT_SECONDS + WATCH_SLACK_SECONDS)

    async def _call(self, target: str, timeout: float = LIST_CALL_TIMEOUT_SECONDS) -> EndpointUpdate:
        """One call; raises ``DiscoveryTimeoutError`` after ``timeout`` s, or ``DiscoveryCallError``."""
        try:
            async with asyncio.timeout(timeout):
                response = await self._get(target)
            if response.status != HTTP_OK:
                raise EndpointListError(f"status {response.status}")
            return decode_endpoint_update(response.body)
        except TimeoutError:
            log.info("endpoint list call timed out", elapsed_s=timeout)
            raise DiscoveryTimeoutError from None
        except (OSError, OutOfSocketsError, HttpResponseError, EndpointListError) as error:
            log.info("endpoint list call failed", reason=str(error) or type(error).__name__)
            raise DiscoveryCallError from None

    async def _get(self, target: str) -> http.ResponseParser:
        """One GET; raises ``OSError``, ``OutOfSocketsError`` or ``HttpResponseError``."""
        host, port = self._address
        stream = IOStream(open_socket(self._address), read_chunk_size=READ_CHUNK_BYTES)
        response = http.ResponseParser()
        try:
            await stream.connect(self._address)
            await stream.write(http.get_request(f"{host}:{port}", target))
            while not response.done:
                try:
                    response.feed(await stream.read_bytes(READ_CHUNK_BYTES, partial=True))
                except StreamClosedError:
                    if stream.error is not None:
                        raise
                    response.feed_eof()
        finally:
            stream.close()
        return response
