"""The listener for clients, which accepts connections while file descriptors are available."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable

import structlog

from saltcourse.codec.endpoint_list import Address
from saltcourse.proxy.descriptors import DescriptorLimit
from saltcourse.proxy.errors import ListenError
from saltcourse.proxy.pending_connections import PendingConnections
from saltcourse.proxy.sockets import SHORTAGE_ERRNOS, inherit_listener, start_listening
from saltcourse.proxy.stream import SocketStream

BACKLOG = 1024  # connections; most clients may reconnect within the same second
MAX_ACCEPTS = 32  # connections accepted in one event loop callback, so that other work is not delayed
WARNING_INTERVAL_SECONDS = 5.0  # minimum time between two warnings about a shortage of descriptors
PAUSE_SECONDS = 0.05  # time without accepting when descriptors are exhausted

log = structlog.get_logger("saltcourse")


class ClientListener:
    """Accepts client connections and calls ``on_accept`` with each socket."""

    def __init__(
        self,
        limit: DescriptorLimit,
        pending: PendingConnections,
        on_accept: Callable[[socket.socket], None],
    ) -> None:
        self._limit = limit
        self._pending = pending
        self._on_accept = on_accept
        self._socket: socket.socket | None = None
        self._last_warning = -WARNING_INTERVAL_SECONDS

    def open(self, address: Address, descriptor: int | None) -> None:
        """Listen on ``address``, or on the inherited listening socket ``descriptor`` if it is not None.

        Raises ``ListenError``.
        """
        if descriptor is not None:
            try:
                self._socket = inherit_listener(descriptor, self._accept_from_backlog)
            except OSError as error:
                raise ListenError("EDGE_LISTEN_FD", f"descriptor {descriptor}", error) from None
            return
        try:
            self._socket = start_listening(address, BACKLOG, self._accept_from_backlog)
        except OSError as error:
            raise ListenError("listen", "{}:{}".format(*address), error) from None

    def address(self) -> Address:
        """Return the listening address; the port is the actual one if the configured port is 0."""
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    def close(self, accept_backlog: bool) -> None:
        """Stop listening.

        With ``accept_backlog``, the connections in the backlog are accepted first, because closing the socket
        would reset them. It must be False for a listening socket that another process shares: closing that
        socket resets nothing, and the other process accepts the backlog.
        """
        if self._socket is not None:
            if accept_backlog:
                self._accept_from_backlog(BACKLOG)
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _accept_from_backlog(self, max_accepts: int = MAX_ACCEPTS) -> None:
        for _ in range(max_accepts):
            if self._socket is None or not self._accept_one(self._socket):
                return

    def _accept_one(self, listener: socket.socket) -> bool:
        """Accept one connection; return whether another one may be waiting."""
        self._pending.make_room(SocketStream.open_count)
        if not self._limit.can_accept():
            self._pause("descriptor limit reached")
            return False
        try:
            accepted, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return False
        except OSError as error:
            if error.errno not in SHORTAGE_ERRNOS:
                raise
            self._pause(os.strerror(error.errno or errno.EMFILE))
            return False
        self._on_accept(accepted)
        return True

    def _pause(self, reason: str) -> None:
        """Leave new connections in the backlog for ``PAUSE_SECONDS`` instead of polling in a busy loop."""
        if self._socket is None:
            return
        loop, listener = asyncio.get_running_loop(), self._socket
        if loop.time() >= self._last_warning + WARNING_INTERVAL_SECONDS:
            self._last_warning = loop.time()
            log.warning("client accept paused", reason=reason)
        loop.remove_reader(listener)
        loop.call_later(PAUSE_SECONDS, self._resume, listener)

    def _resume(self, listener: socket.socket) -> None:
        if listener is self._socket:
            asyncio.get_running_loop().add_reader(listener, self._accept_from_backlog)
