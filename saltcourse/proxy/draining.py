"""The timelines of the two kinds of drain: on SIGTERM, which ends the process, and in lameduck.

SIGTERM: the request class with the longest deadline determines the duration, because SIGKILL follows 0.7 s
after that deadline. The times are relative to SIGTERM:

    0 s           PING is no longer answered; the front load balancer may still send clients. The background
                  services begin to leave
    0.5 s         the listener closes; the migration of established connections begins, spread evenly. Both
                  wait for the background services, because clients may come here until the service address
                  is withdrawn, but not later than 1 s before the end
    end - 0.5 s   the last connection is migrated
    end - 0.25 s  requests without an answer are failed
    end           longest deadline (at most 3 s) + 0.45 s

The wait of 0.5 s is skipped, so that the listener closes and migration begins at 0 s, if the listening socket
is shared with the process that replaces this one (``EDGE_LISTEN_FD``), and after lameduck.

Lameduck: PING is no longer answered. Migration begins 0.5 s later and completes within 3 s. The process keeps
running and its listener stays open, because the front load balancer may still send a few clients: they are
served and then migrated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from saltcourse.balancing.settings import RequestClass
from saltcourse.proxy.messages import StartDraining, StopDraining

FRONT_NOTICE_SECONDS = 0.5  # time the front load balancer may still send clients after PINGs go unanswered
MAX_DEADLINE_SECONDS = 3.0  # the longest request deadline that the platform waits for before SIGKILL
KILL_MARGIN_SECONDS = 0.45  # drain time after the longest deadline; SIGKILL follows 0.7 s after the deadline
ANSWER_MARGIN_SECONDS = 0.25  # time from the last final answers to the end, in which clients read them
# Time from the last MOVE to the end. Clients leave immediately, but the periodic check may be late.
MIGRATION_MARGIN_SECONDS = 0.5
SILENT_TIMEOUT_SECONDS = 0.25  # time for a newly connected client to send its request during a drain
MIN_MIGRATION_SECONDS = 0.5  # time for the migrations, however long the background services take to leave
LAMEDUCK_MIGRATION_SECONDS = 3.0  # time until all connections are migrated; operators require at most 4 s


@dataclass(frozen=True, slots=True)
class DrainTimeline:
    """The times of a drain that ends the process, in seconds after the start of the drain."""

    duration: float

    @classmethod
    def for_classes(cls, classes: Iterable[RequestClass]) -> DrainTimeline:
        """Return the timeline for request classes, whose longest deadline determines the duration."""
        longest = max((each.deadline for each in classes), default=MAX_DEADLINE_SECONDS)
        return cls(min(MAX_DEADLINE_SECONDS, longest) + KILL_MARGIN_SECONDS)

    @property
    def answer_deadline(self) -> float:
        """The time by which every final answer has to be written."""
        return self.duration - ANSWER_MARGIN_SECONDS

    @property
    def migration_deadline(self) -> float:
        """The time by which every established connection has to be migrated."""
        return self.duration - MIGRATION_MARGIN_SECONDS

    @property
    def latest_migration(self) -> float:
        """The time at which the migration begins, even if a background service has not left yet."""
        return self.migration_deadline - MIN_MIGRATION_SECONDS


class Lameduck:
    """Migrates all connections away while the process keeps running, by messages to the dispatcher."""

    def __init__(self, send_to_dispatcher: Callable[[StartDraining | StopDraining], None]) -> None:
        self._send = send_to_dispatcher
        self._timer: asyncio.TimerHandle | None = None  # starts the migrations

    def start(self) -> None:
        """Schedule the migration of all connections, to begin after ``FRONT_NOTICE_SECONDS``."""
        loop = asyncio.get_running_loop()
        begin = loop.time() + FRONT_NOTICE_SECONDS
        end = loop.time() + LAMEDUCK_MIGRATION_SECONDS
        self._timer = loop.call_later(FRONT_NOTICE_SECONDS, self._send, StartDraining(begin, end))

    def stop(self) -> None:
        """Stop migrating; the remaining connections stay."""
        self.cancel()
        self._send(StopDraining())

    def cancel(self) -> None:
        """Cancel a scheduled start of the migrations; migrations that have begun continue."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
