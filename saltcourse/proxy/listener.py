"""The listener for clients: accepts connections as far as there are descriptors for them."""

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

BACKLOG = 1024  # connections that wait to be accepted: most clients may come back in the same second
MAX_ACCEPTS = 32  # before other work has its turn
WARNING_INTERVAL_SECONDS = 5.0  # between warnings of the same shortage
PAUSE_SECONDS = 0.05  # without accepting when there is no descriptor for another

log = structlog.get_logger("saltcourse")


class ClientListener:
    """Hands each accepted socket to ``on_accept``."""

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
        """Listen on ``address``, or on the platform's listening socket of that ``descriptor``.

        Raises ``ListenError``.
        """
        if descriptor is not None:
            try:
                self._socket = inherit_listener(descriptor, self._accept_waiting)
            except OSError as error:
                raise ListenError("EDGE_LISTEN_FD", f"descriptor {descriptor}", error) from None
            return
        try:
            self._socket = start_listening(address, BACKLOG, self._accept_waiting)
        except OSError as error:
            raise ListenError("listen", "{}:{}".format(*address), error) from None

    def address(self) -> Address:
        """Where clients reach this program; the port may have been left to the system."""
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    def close(self, accept_waiting: bool) -> None:
        """Stop listening.

        Connections that wait are accepted first where ``accept_waiting``: the close would reset them. On a
        listening socket that another process shares it resets none: what waits is left to that one.
        """
        if self._socket is not None:
            if accept_waiting:
                self._accept_waiting(BACKLOG)
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _accept_waiting(self, max_accepts: int = MAX_ACCEPTS) -> None:
        for _ in range(max_accepts):
            if self._socket is None or not self._accept_one(self._socket):
                return

    def _accept_one(self, listener: socket.socket) -> bool:
        """Whether there may be more to accept now."""
        self._pending.make_room(SocketStream.open_count)
        if not self._limit.can_accept():
            self._pause("too many connections")
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
        """Leave new connections in the backlog for a moment rather than spin on them."""
        if self._socket is None:
            return
        loop, listener = asyncio.get_running_loop(), self._socket
        if loop.time() >= self._last_warning + WARNING_INTERVAL_SECONDS:
            self._last_warning = loop.time()
            log.warning("accepting paused", reason=reason)
        loop.remove_reader(listener)
        loop.call_later(PAUSE_SECONDS, self._resume, listener)

    def _resume(self, listener: socket.socket) -> None:
        if listener is self._socket:
            asyncio.get_running_loop().add_reader(listener, self._accept_waiting)
