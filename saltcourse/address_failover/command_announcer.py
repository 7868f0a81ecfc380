"""Announces the service address by running the operator's program."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import structlog

from saltcourse.address_failover.route_announcement import AvailabilityCallback

COMMAND_TIMEOUT_SECONDS = 1.0  # time after which the program is killed; this counts as a failure
# Time for which this member is unavailable after a failure; doubles with each consecutive failure.
BACKOFF_INITIAL_SECONDS, BACKOFF_MAX_SECONDS = 1.0, 30.0
WITHDRAW_RETRY_SECONDS = 1.0  # time between attempts of a failed withdrawal
STOP_GRACE_SECONDS = 0.2  # time limit for stopping, in addition to the command timeout

log = structlog.get_logger("saltcourse")


class Operation(Enum):
    """Operations of the program; the value is passed as an argument."""

    ANNOUNCE = "announce"
    WITHDRAW = "withdraw"


@dataclass(frozen=True, slots=True)
class Command:
    """A queued run of the program."""

    operation: Operation
    term: int


class CommandAnnouncer:
    """Runs ``PROGRAM... announce|withdraw ADDRESS TERM``, one command at a time and in order.

    Exit code 0 means success. If an announcement fails or times out, this member is unavailable for the
    backoff time. A failed withdrawal is repeated until it succeeds, because an announcement that is not
    withdrawn is worse. While a withdrawal is repeated, later commands wait and this member still counts as
    available.
    """

    def __init__(
        self, address: str, program: Sequence[str], timeout: float = COMMAND_TIMEOUT_SECONDS
    ) -> None:
        self.address = address
        self.program = list(program)
        self.timeout = timeout  # seconds
        self.available = False
        self._on_availability: AvailabilityCallback = lambda available: None
        self._queue: asyncio.Queue[Command] = asyncio.Queue()
        self._worker: asyncio.Task[None] | None = None
        self._backoff = BACKOFF_INITIAL_SECONDS

    def start(self, on_availability: AvailabilityCallback) -> None:
        """Start running queued commands, and report immediately that the address can be announced."""
        self._on_availability = on_availability
        self._worker = asyncio.get_running_loop().create_task(self._work())
        self._set_available(True)

    def announce(self, term: int) -> None:
        """Queue the announcement of the address for the lease of ``term``."""
        self._queue.put_nowait(Command(Operation.ANNOUNCE, term))

    def withdraw(self, term: int) -> None:
        """Queue the withdrawal of the address."""
        self._queue.put_nowait(Command(Operation.WITHDRAW, term))

    async def stop(self, reason: str) -> None:
        """Wait for the queued commands, at most for the command timeout and a grace period, then stop."""
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
        """Run a command and return whether it succeeded. A withdrawal is repeated until it succeeds."""
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
        """Run the program once; return whether it exits with 0 in time. Failures are logged."""
        operation = command.operation.value
        command_log = log.bind(
            program=self.program[0], operation=operation, address=self.address, term=command.term
        )
        try:
            process = await asyncio.create_subprocess_exec(
                *self.program, operation, self.address, str(command.term), stdin=asyncio.subprocess.DEVNULL
            )
        except OSError as error:
            command_log.error("announcer command cannot be started", reason=error.strerror)
            return False
        try:
            async with asyncio.timeout(self.timeout):
                exit_code = await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            command_log.error("announcer command timed out", timeout_s=self.timeout)
            return False
        if exit_code:
            command_log.error("announcer command failed", exit_code=exit_code)
        return exit_code == 0
