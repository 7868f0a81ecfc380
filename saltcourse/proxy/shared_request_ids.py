"""Request ids that the processes of one proxy share while one of them replaces the other.

The table is a file in ``$TMPDIR``, which the platform keeps through a replacement. It outlives the process,
so a new process also knows what the old one has run.
"""

from __future__ import annotations

import fcntl
import mmap
import os
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from hashlib import blake2b

import structlog

from saltcourse.codec.endpoint_list import Address
from saltcourse.proxy.request_id_table import TABLE_BYTES, RequestIdTable
from saltcourse.proxy.request_ids import RequestIds

DEFAULT_FOLDER = "/tmp"
FILE_MODE = 0o600

log = structlog.get_logger("saltcourse")


def shared_request_ids(name: str, listen: Address) -> RequestIds:
    """Return the ids that all processes of the proxy ``name`` at the address ``listen`` share.

    If the file cannot be used, this is logged, and the ids are those of this process alone.
    """
    identity = blake2b(f"{name} {listen[0]}:{listen[1]}".encode(), digest_size=8).hexdigest()
    folder = os.environ.get("TMPDIR") or DEFAULT_FOLDER
    path = os.path.join(folder, f"saltcourse-{identity}-{TABLE_BYTES}.request-ids")
    try:
        descriptor = _open_file(path)
    except OSError as error:
        log.warning("request ids not shared", path=path, reason=str(error))
        return RequestIds()
    table = RequestIdTable(memoryview(mmap.mmap(descriptor, TABLE_BYTES)))
    return RequestIds(table, partial(_locked, descriptor))


def _open_file(path: str) -> int:
    """Open the file and reserve its space: a write to a mapped page without space kills the process."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, FILE_MODE)
    try:
        os.posix_fallocate(descriptor, 0, TABLE_BYTES)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


@contextmanager
def _locked(descriptor: int) -> Iterator[None]:
    """Exclude the other process, which holds the lock for microseconds and loses it at its end."""
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    try:
        yield
    finally:
        fcntl.flock(descriptor, fcntl.LOCK_UN)
