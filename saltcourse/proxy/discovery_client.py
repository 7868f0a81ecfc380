"""The client of the discovery service: fetches and watches the endpoint list on the balancer's orders.

There are two kinds of calls, which may run concurrently:

    fetch   GET /catalog/members                          the complete list, answered immediately
    watch   GET /catalog/members?after=V&wait_ms=W        changes after version V, a long poll of up to W ms

The address is that of a discovery service for all proxies (mode ``POLLED``), or of an agent on the proxy's
own machine to which lists are pushed (``PUSHED``).

Rules:

1. A watch makes its next call after each response. A failed call ends the watch, and the balancer orders
   another one. The first watch of a polled list is ordered by the balancer as well. That of a pushed list
   begins with the client, because the proxy is expected to know at once what its agent has.
2. A watch call that times out is not a failure: the complete list is fetched in its place immediately.
3. A response with a version lower than the known one is late and is dropped. But if its version is also
   lower than the one that was known when its call was made, discovery has restarted, and its complete list
   is used.
4. After a change of address, the complete list is fetched first, because the versions of the new service
   are unknown. A call that is slow to be answered keeps its place in the service's queue: one hedged call
   is made beside it, in case it is lost, and the first response is used.
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
from saltcourse.balancing.settings import (
    CHANGE_KNOWN_WITHIN_SECONDS,
    LIST_CALL_TIMEOUT_SECONDS,
    DiscoveryMode,
)
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
WATCH_SLACK_SECONDS = 0.6  # time after the requested wait until an unanswered watch call times out
# Time for which a watch call waits for a change. Even a call that has just begun can hang although a change
# is pending. The proxy is expected to know a change within CHANGE_KNOWN_WITHIN_SECONDS, so by then the watch
# must have timed out, and discovery must have processed the fetch that replaces it.
WATCH_WAIT_SECONDS = CHANGE_KNOWN_WITHIN_SECONDS - WATCH_SLACK_SECONDS - LIST_CALL_TIMEOUT_SECONDS / 2
# The same times for an agent, which answers at once and without cost. What it has counts as known, and no
# request may be sent to a draining backend more than 3 s later, so a silent call is replaced well before.
AGENT_WATCH_WAIT_SECONDS = 1.5
AGENT_LIST_CALL_TIMEOUT_SECONDS = 1.0
# Delay before the next watch call after an immediate response without changes. Discovery treats a call
# within 0.2 s as a continuation of the same watch.
MIN_WATCH_INTERVAL_SECONDS = 0.1
# Delay of the hedged call at a new address. The list is needed within 4 s, and discovery may queue the hedged
# call for most of LIST_CALL_TIMEOUT_SECONDS.
HEDGE_DELAY_SECONDS = 1.2
NEW_ADDRESS_RETRY_SECONDS = 0.2  # delay between calls at a new address until one is answered
READ_CHUNK_BYTES = 16 * 1024

log = structlog.get_logger("saltcourse")


@dataclass(slots=True)
class ChangeAddress:
    """Orders the client to use discovery at another address."""

    address: Address


class DiscoveryClient(Actor[WatchEndpoints | FetchEndpoints | ChangeAddress]):
    """Makes each call in its own task, so that the complete list can be fetched during a watch.

    ``version`` is the version of the endpoint list that is known at the start. ``on_endpoints`` is called
    with each update, and with each failure that the balancer has to know of.
    """

    def __init__(
        self,
        address: Address,
        mode: DiscoveryMode,
        version: int,
        on_endpoints: Callable[[EndpointsReceived], None],
    ) -> None:
        super().__init__("discovery client")
        self._address = address
        self._is_pushed = mode is DiscoveryMode.PUSHED
        self._version = version  # the known version of the endpoint list
        self._on_endpoints = on_endpoints
        self._is_watching = False
        self._calls: set[asyncio.Task[None]] = set()  # the calls in progress at the current address

    async def run(self) -> None:
        """Process the balancer's orders and address changes until cancelled."""
        if self._is_pushed:
            self._begin_watch()
        while True:
            message = await self.mailbox.get()
            match message:
                case ChangeAddress(address):
                    self._change_address(address)
                case FetchEndpoints():
                    self._begin(self._fetch(), "endpoint list fetch")
                case WatchEndpoints() if self._is_watching:
                    # The watch in progress will report changes. The balancer still gets an empty update,
                    # because an update resets its count of failed calls.
                    no_changes = EndpointUpdate(self._version, False, (), {})
                    self._on_endpoints(EndpointsReceived(EndpointUpdateKind.DELTA, no_changes))
                case WatchEndpoints():
                    self._begin_watch()

    def _begin_watch(self) -> None:
        self._is_watching = True
        self._begin(self._watch(), "endpoint list watch")

    def _begin(self, call: Coroutine[Any, Any, None], name: str) -> None:
        task = spawn(call, name)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _change_address(self, address: Address) -> None:
        """Switch to a new address; cancel the old calls, whose late responses would undo newer updates."""
        for task in self._calls:
            task.cancel()
        self._address = address
        self._is_watching = True
        self._begin(self._watch_new_address(), "endpoint list watch at a new address")

    async def _watch_new_address(self) -> None:
        self._version = 0
        update = await self._hedged_fetch()
        while update is None:
            await asyncio.sleep(NEW_ADDRESS_RETRY_SECONDS)
            update = await self._try_fetch()
        self._publish(update, 0)
        await self._watch()

    async def _hedged_fetch(self) -> EndpointUpdate | None:
        """Fetch the complete list, with a second call beside a first one that is unanswered for a time.

        Return the first response, or None if no call succeeds.
        """
        loop = asyncio.get_running_loop()
        calls = {loop.create_task(self._try_fetch(), name="endpoint list fetch")}
        try:
            done, _ = await asyncio.wait(calls, timeout=HEDGE_DELAY_SECONDS)
            if not done:
                calls.add(loop.create_task(self._try_fetch(), name="hedged endpoint list fetch"))
            for response in asyncio.as_completed(calls):
                if (update := await response) is not None:
                    return update
        finally:
            for call in calls:
                call.cancel()
        return None

    async def _try_fetch(self) -> EndpointUpdate | None:
        """Fetch the complete list; return None if the call fails."""
        try:
            return await self._call(LIST_PATH, self._list_call_timeout)
        except DiscoveryError:
            return None

    async def _fetch(self) -> None:
        version_at_call = self._version
        try:
            self._publish(await self._call(LIST_PATH, self._list_call_timeout), version_at_call)
        except DiscoveryError:
            self._on_endpoints(EndpointsReceived(EndpointUpdateKind.UNAVAILABLE))

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        timed_out = False  # whether the previous call timed out
        while True:
            started, version_at_call = loop.time(), self._version
            try:
                if timed_out:
                    update = await self._call(LIST_PATH, self._list_call_timeout)
                else:
                    update = await self._call_watch(version_at_call)
            except DiscoveryTimeoutError:
                timed_out = True
                continue
            except DiscoveryCallError:
                break
            self._publish(update, version_at_call)
            was_immediate = loop.time() - started < MIN_WATCH_INTERVAL_SECONDS
            if not timed_out and not update.endpoints and was_immediate:
                # Avoid a busy loop against a service that does not wait for changes.
                await asyncio.sleep(MIN_WATCH_INTERVAL_SECONDS)
            timed_out = False
        self._is_watching = False
        self._on_endpoints(EndpointsReceived(EndpointUpdateKind.UNAVAILABLE))

    def _publish(self, update: EndpointUpdate, version_at_call: int) -> None:
        """Report an update; ``version_at_call`` is the version that was known when its call was made.

        An update with a version lower than the known one, but not lower than ``version_at_call``, is late and
        is dropped: another call has delivered a newer version in the meantime. A version lower than both
        means that discovery has restarted. A complete list is used then; an update that contains only changes
        is dropped and the known version reset to 0, so that the next watch call requests the complete list.
        """
        if version_at_call <= update.version < self._version:
            return
        has_restarted = update.version < version_at_call
        if has_restarted and not update.is_snapshot:
            self._version = 0
            return
        self._version = update.version
        kind = EndpointUpdateKind.SNAPSHOT if update.is_snapshot else EndpointUpdateKind.DELTA
        self._on_endpoints(EndpointsReceived(kind, update))

    async def _call_watch(self, version: int) -> EndpointUpdate:
        wait = AGENT_WATCH_WAIT_SECONDS if self._is_pushed else WATCH_WAIT_SECONDS
        target = f"{LIST_PATH}?after={version}&wait_ms={round(wait * 1000)}"
        return await self._call(target, wait + WATCH_SLACK_SECONDS)

    @property
    def _list_call_timeout(self) -> float:
        return AGENT_LIST_CALL_TIMEOUT_SECONDS if self._is_pushed else LIST_CALL_TIMEOUT_SECONDS

    async def _call(self, target: str, timeout: float) -> EndpointUpdate:
        """Make one call and return its update.

        Raises ``DiscoveryTimeoutError`` after ``timeout`` s, and ``DiscoveryCallError`` for any other
        failure.
        """
        try:
            async with asyncio.timeout(timeout):
                response = await self._get(target)
            if response.status != HTTP_OK:
                raise EndpointListError(f"HTTP status {response.status}, expected {HTTP_OK}")
            return decode_endpoint_update(response.body)
        except TimeoutError:
            log.info("endpoint list call timed out", timeout_s=timeout)
            raise DiscoveryTimeoutError from None
        except (OSError, OutOfSocketsError, HttpResponseError, EndpointListError) as error:
            log.info("endpoint list call failed", reason=str(error) or type(error).__name__)
            raise DiscoveryCallError from None

    async def _get(self, target: str) -> http.ResponseParser:
        """Send a GET request and return the parsed response.

        Raises ``OSError``, ``OutOfSocketsError`` or ``HttpResponseError``.
        """
        host, port = self._address
        stream = IOStream(open_socket(self._address), read_chunk_size=READ_CHUNK_BYTES)
        response = http.ResponseParser()
        try:
            await stream.connect(self._address)
            await stream.write(http.get_request(f"{host}:{port}", target))
            while not response.done:
                try:
                    response.feed(await stream.read_bytes(READ_CHUNK_BYTES, partial=True))
                    await asyncio.sleep(0)  # a read that completes at once does not let the event loop run
                except StreamClosedError:
                    if stream.error is not None:
                        raise
                    response.feed_eof()
        finally:
            stream.close()
        return response
