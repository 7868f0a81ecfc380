"""The number of descriptors for connections that the memory limit (``limits.memory_mb``) has room for.

The platform kills a process that exceeds the limit, with all of its connections. What a connection can hold
is bounded: two read buffers, a line being written in each direction, its request. So the memory that is left
at the start is divided by this bound, and more connections are refused like those for lack of descriptors.
"""

from __future__ import annotations

import os

BYTES_PER_MEGABYTE = 1024 * 1024
# A client's connection and the one to its backend, with long lines in all buffers and a long request.
BYTES_PER_DESCRIPTOR = 24 * 1024
RESERVED_BYTES = 3 * BYTES_PER_MEGABYTE  # for endpoint lists, health checks and operators' calls
MIN_DESCRIPTORS = 64  # a proxy whose limit is below its idle size serves a few clients all the same
MEMORY_PAGES_FILE = "/proc/self/statm"


def resident_bytes() -> int:
    """Return the resident size of this process."""
    with open(MEMORY_PAGES_FILE) as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGESIZE")


def descriptors_within(memory_megabytes: float, resident: int) -> int:
    """Return how many descriptors fit into the limit beside the ``resident`` bytes of the idle process."""
    available = memory_megabytes * BYTES_PER_MEGABYTE - resident - RESERVED_BYTES
    return max(MIN_DESCRIPTORS, int(available // BYTES_PER_DESCRIPTOR))
