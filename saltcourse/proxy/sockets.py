"""Sockets as the proxy makes them: listeners, and sockets for calls to backends and discovery."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from saltcourse.codec.endpoint_list import Address
from saltcourse.proxy.errors import OutOfSocketsError

SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def open_socket(address: Address) -> socket.socket:
    """An unconnected TCP socket of the address's family; raises ``OutOfSocketsError`` or ``OSError``."""
    try:
        return socket.socket(_family(address[0]), socket.SOCK_STREAM)
    except OSError as error:
        if error.errno in SHORTAGE_ERRNOS:
            raise OutOfSocketsError from None
        raise


def start_listening(address: Address, backlog: int, on_ready: Callable[[], None]) -> socket.socket:
    """A listener on ``address`` that calls ``on_ready`` whenever a connection waits.

    Raises ``OSError`` when the address cannot be had; the socket is closed then, so that a failed start holds
    no descriptor.
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
    """The platform's listening socket, which this process shares with the one that it replaces, or its heir.

    Raises ``OSError`` when the descriptor is no listening TCP socket.
    """
    listener = socket.socket(fileno=descriptor)
    is_listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if listener.type != socket.SOCK_STREAM or not is_listening:
        listener.detach()
        raise OSError(errno.ENOTSOCK, "no listening TCP socket")
    listener.setblocking(False)
    asyncio.get_running_loop().add_reader(listener, on_ready)
    return listener


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET
