"""When a program that drains does what: on SIGTERM for good, in lameduck until it is taken back.

SIGTERM; the class with the longest deadline gives the length, for SIGKILL comes 0.7 s after that deadline.
The times count from the moment at which all background services have left. That is right after SIGTERM, but
up to 1.2 s later where a program announces the service address (``CommandAnnouncer``):

    0 s          PING is answered no more; the front may go on sending clients
    0.5 s        the listener closes; established connections are migrated from here on, spread
    end - 0.5 s  the last connection is migrated
    end - 0.25 s requests without an answer are failed
    end          longest deadline (at most 3 s) + 0.45 s

Where the listening socket is shared with the process that replaces this one (``EDGE_LISTEN_FD``), and after
lameduck, there is no wait of 0.5 s: the listener closes and migration begins at 0 s.

Lameduck: PING is answered no more; 0.5 s later migration begins, all are migrated within 3 s. The process
stays, and its listener stays open, for the front may still send a few clients: they are served and migrated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from saltcourse.balancing.settings import RequestClass
from saltcourse.proxy.messages import StartDraining, StopDraining

FRONT_NOTICE_SECONDS = 0.5  # for which the front may go on sending clients after PING is answered no more
MAX_DEADLINE_SECONDS = 3.0  # that the platform waits for
KILL_MARGIN_SECONDS = 0.45  # after the longest deadline; SIGKILL comes at 0.7 s
ANSWER_MARGIN_SECONDS = 0.25  # between the last final answers and the end: they have to be read by then
MIGRATION_MARGIN_SECONDS = 0.5  # between the last MOVE and the end: clients leave at once, checks may be late
SILENT_TIMEOUT_SECONDS = 0.25  # in which a client that has just connected sends its request
LAMEDUCK_MIGRATION_SECONDS = 3.0  # after which all are migrated; the operators want it within 4 s


@dataclass(frozen=True, slots=True)
class DrainTimeline:
    """The times of a drain that ends the program, in s from its begin."""

    duration: float

    @classmethod
    def for_classes(cls, classes: Iterable[RequestClass]) -> DrainTimeline:
        """As long as the longest deadline of the request classes allows."""
        longest = max((each.deadline for each in classes), default=MAX_DEADLINE_SECONDS)
        return cls(min(MAX_DEADLINE_SECONDS, longest) + KILL_MARGIN_SECONDS)

    @property
    def answers_due(self) -> float:
        """When every final answer has to be out."""
        return self.duration - ANSWER_MARGIN_SECONDS

    @property
    def migrations_due(self) -> float:
        """When every established connection has to be migrated."""
        return self.duration - MIGRATION_MARGIN_SECONDS


class Lameduck:
    """Empties the program for a while, by messages to the dispatcher."""

    def __init__(self, send_to_dispatcher: Callable[[StartDraining | StopDraining], None]) -> None:
        self._send = send_to_dispatcher
        self._timer: asyncio.TimerHandle | None = None  # until the migrations begin

    def start(self) -> None:
        """Migrate the established connections after the front's notice."""
        loop = asyncio.get_running_loop()
        begin = loop.time() + FRONT_NOTICE_SECONDS
        end = loop.time() + LAMEDUCK_MIGRATION_SECONDS
        self._timer = loop.call_later(FRONT_NOTICE_SECONDS, self._send, StartDraining(begin, end))

    def stop(self) -> None:
        """Leave the connections that are still here where they are."""
        self.cancel()
        self._send(StopDraining())

    def cancel(self) -> None:
        """Begin no migrations; those that have begun go on."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
