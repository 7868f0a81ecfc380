"""Addresses of loopback that nobody holds, for tests that must know them before anything listens there."""

from __future__ import annotations

import socket


def free_addresses(count: int) -> tuple[tuple[str, int], ...]:
    """UDP addresses that nobody holds; all are held at once while they are sought, so that they differ."""
    held = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in held:
        sock.bind(("127.0.0.1", 0))
    found = tuple(sock.getsockname() for sock in held)
    for sock in held:
        sock.close()
    return found
