"""Announces the service address by the operator's own program."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import structlog

from saltcourse.address_failover.route_announcement import AvailabilityCallback

COMMAND_TIMEOUT_SECONDS = 1.0  # then the program is killed and counts as failed
# For which a failed program makes this member unavailable; doubles with each failure in a row.
BACKOFF_INITIAL_SECONDS, BACKOFF_MAX_SECONDS = 1.0, 30.0
WITHDRAW_RETRY_SECONDS = 1.0
STOP_GRACE_SECONDS = 0.2  # beyond the command's own time-out

log = structlog.get_logger("saltcourse")


class Operation(Enum):
    """The first argument of the program."""

    ANNOUNCE = "announce"
    WITHDRAW = "withdraw"


@dataclass(frozen=True, slots=True)
class Command:
    """One run of the program."""

    operation: Operation
    term: int


class CommandAnnouncer:
    """Runs ``PROGRAM... announce|withdraw ADDRESS TERM``, one at a time and in order.

    Exit code 0 is success. A program that fails to announce, or hangs, makes this member unavailable for a
    while; one that fails to withdraw is run again until it succeeds, for an announcement that stays behind
    is worse. While a withdrawal fails, later commands wait and this member still counts as available.
    """

    def __init__(
        self, address: str, program: Sequence[str], timeout: float = COMMAND_TIMEOUT_SECONDS
    ) -> None:
        self.address = address
        self.program = list(program)
        self.timeout = timeout  # s
        self.available = False
        self._on_availability: AvailabilityCallback = lambda available: None
        self._queue: asyncio.Queue[Command] = asyncio.Queue()
        self._worker: asyncio.Task[None] | None = None
        self._backoff = BACKOFF_INITIAL_SECONDS

    def start(self, on_availability: AvailabilityCallback) -> None:
        """Begin to take commands; available at once."""
        self._on_availability = on_availability
        self._worker = asyncio.get_running_loop().create_task(self._work())
        self._set_available(True)

    def announce(self, term: int) -> None:
        """Queue an announcement."""
        self._queue.put_nowait(Command(Operation.ANNOUNCE, term))

    def withdraw(self, term: int) -> None:
        """Queue a withdrawal."""
        self._queue.put_nowait(Command(Operation.WITHDRAW, term))

    async def stop(self, reason: str) -> None:
        """Give what is queued the time of one command, then end."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.timeout + STOP_GRACE_SECONDS):
                await self._queue.join()
        if self._worker is not None:
            self._worker.cancel()

    def _set_available(self, available: bool) -> None:
        if available is not self.available:
            self.available = available
            self._on_availability(available)

    async def _work(self) -> None:
        while True:
            command = await self._queue.get()
            try:
                if await self._complete(command):
                    self._backoff = BACKOFF_INITIAL_SECONDS
                else:
                    self._back_off()
            finally:
                self._queue.task_done()

    async def _complete(self, command: Command) -> bool:
        """Run a command, a withdrawal until it succeeds. Whether it has succeeded."""
        succeeded = await self._run(command)
        while command.operation is Operation.WITHDRAW and not succeeded:
            await asyncio.sleep(WITHDRAW_RETRY_SECONDS)
            succeeded = await self._run(command)
        return succeeded

    def _back_off(self) -> None:
        self._set_available(False)
        asyncio.get_running_loop().call_later(self._backoff, self._set_available, True)
        self._backoff = min(BACKOFF_MAX_SECONDS, 2 * self._backoff)

    async def _run(self, command: Command) -> bool:
        """Whether the program exits with 0 in time; if not, the log says why."""
        operation = command.operation.value
        command_log = log.bind(
            program=self.program[0], operation=operation, address=self.address, term=command.term
        )
        try:
            process = await asyncio.create_subprocess_exec(
                *self.program, operation, self.address, str(command.term), stdin=asyncio.subprocess.DEVNULL
            )
        except OSError as error:
            command_log.error("announce program cannot be run", reason=error.strerror)
            return False
        try:
            async with asyncio.timeout(self.timeout):
                exit_code = await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            command_log.error("announce program timed out", timeout_s=self.timeout)
            return False
        if exit_code:
            command_log.error("announce program failed", exit_code=exit_code)
        return exit_code == 0
