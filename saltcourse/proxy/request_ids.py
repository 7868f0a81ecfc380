"""The ids of requests, each of which is run at most once.

A client uses a new id for each connection. An id that comes again is an error of its client, or a repetition
of a request that may have run already, so it is refused:

    state of the id                              claimed again
    open, in this process or in the other one    refused
    ended, and a backend may have run it         refused for ``REMEMBERED_SECONDS``
    ended with BUSY, or no backend has run it    accepted

Where a process is replaced while it serves, the old and the new process are one proxy to clients, and share
the table (``shared_request_ids``).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

from saltcourse.codec.errors import ProtocolError
from saltcourse.proxy.request_id_table import TABLE_BYTES, RequestIdTable, digest_of

# No client waits longer for its answer (``MAX_TIMEOUT_MILLISECONDS``).
REMEMBERED_SECONDS = 60.0
REFRESH_SECONDS = REMEMBERED_SECONDS / 3  # interval at which open ids are kept from expiring in the table


class RequestIds:
    """Claims and releases ids; by default, those of this process alone.

    ``table`` may be shared with another process, which ``lock`` excludes during a change. ``clock`` returns
    the time (s) of a clock that both use.
    """

    def __init__(
        self,
        table: RequestIdTable | None = None,
        lock: Callable[[], AbstractContextManager[None]] = nullcontext,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._open: dict[str, int] = {}  # the open ids of this process, with their digests
        self._table = table or RequestIdTable(memoryview(bytearray(TABLE_BYTES)))
        self._lock = lock
        self._clock = clock

    def claim(self, request: str) -> None:
        """Register an id. Raises ``ProtocolError`` if it is refused; this does not affect its owner."""
        if request in self._open:
            raise ProtocolError("OPEN: request id is already in use")
        digest, now = digest_of(request), self._clock()
        with self._lock():
            if self._table.contains(digest, _milliseconds(now)):
                raise ProtocolError("OPEN: request id was used before")
            self._put(digest, now)
        self._open[request] = digest

    def release(self, request: str, may_run_again: bool) -> None:
        """End a claim; the id is remembered unless the request ``may_run_again``."""
        digest = self._open.pop(request)
        with self._lock():
            if may_run_again:
                self._table.remove(digest)
            else:
                self._put(digest, self._clock())

    def refresh(self) -> None:
        """Keep the open ids from expiring in a shared table, where the other process looks them up.

        It has to be called every ``REFRESH_SECONDS``.
        """
        now = self._clock()
        with self._lock():
            for digest in self._open.values():
                self._put(digest, now)

    def _put(self, digest: int, now: float) -> None:
        self._table.put(digest, _milliseconds(now + REMEMBERED_SECONDS))


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
