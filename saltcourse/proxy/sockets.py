"""Creates the proxy's sockets: listeners, and client sockets for backends and discovery."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from saltcourse.codec.endpoint_list import Address
from saltcourse.proxy.errors import OutOfSocketsError

SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # out of descriptors or memory


def open_socket(address: Address) -> socket.socket:
    """Return an unconnected TCP socket of the address's family.

    Raises ``OutOfSocketsError`` for lack of descriptors or memory, and ``OSError`` for any other failure.
    """
    try:
        return socket.socket(_family(address[0]), socket.SOCK_STREAM)
    except OSError as error:
        if error.errno in SHORTAGE_ERRNOS:
            raise OutOfSocketsError from None
        raise


def start_listening(address: Address, backlog: int, on_ready: Callable[[], None]) -> socket.socket:
    """Return a socket that listens on ``address``; ``on_ready`` is called when a connection is waiting.

    Raises ``OSError`` if the address cannot be bound; this closes the socket, so that no descriptor leaks.
    """
    listener = socket.socket(_family(address[0]), socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    asyncio.get_running_loop().add_reader(listener, on_ready)
    return listener


def inherit_listener(descriptor: int, on_ready: Callable[[], None]) -> socket.socket:
    """Return the listening socket of an inherited descriptor.

    ``on_ready`` is called when a connection is waiting. The platform passes the same socket to the process
    that this one replaces, and to the one that will replace it. Raises ``OSError`` if the descriptor is not a
    listening TCP socket.
    """
    listener = socket.socket(fileno=descriptor)
    is_listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if listener.type != socket.SOCK_STREAM or not is_listening:
        listener.detach()
        raise OSError(errno.ENOTSOCK, "not a listening TCP socket")
    listener.setblocking(False)
    asyncio.get_running_loop().add_reader(listener, on_ready)
    return listener


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET
