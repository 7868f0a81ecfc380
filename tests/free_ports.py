"""Free loopback addresses, for tests that must know an address before anything listens on it."""

from __future__ import annotations

import socket


def free_addresses(count: int) -> tuple[tuple[str, int], ...]:
    """Return distinct free UDP addresses; all sockets are bound at the same time, so that they differ."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = tuple(sock.getsockname() for sock in sockets)
    for sock in sockets:
        sock.close()
    return addresses
