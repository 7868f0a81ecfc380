"""Free loopback addresses, for tests that must know an address before anything listens on it.

The ports are below the range from which the system takes the ports of outgoing connections, so that no other
connection takes one before the process under test binds it.
"""

from __future__ import annotations

import random
import socket
from pathlib import Path

HOST = "127.0.0.1"
LOWEST_PORT = 15_000  # well-known services are below
PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")

_random = random.SystemRandom()  # test runs side by side must not draw the same ports
_ports_given: set[int] = set()


def free_port() -> int:
    """Return a port that is free for TCP and UDP now, and that was not returned before."""
    end = int(PORT_RANGE_FILE.read_text().split()[0])
    while True:
        port = _random.randrange(LOWEST_PORT, end)
        if port not in _ports_given and _is_free(port):
            _ports_given.add(port)
            return port


def free_ports(count: int) -> list[int]:
    return [free_port() for _ in range(count)]


def free_addresses(count: int) -> tuple[tuple[str, int], ...]:
    return tuple((HOST, port) for port in free_ports(count))


def _is_free(port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((HOST, port))
    except OSError:
        return False
    return True
