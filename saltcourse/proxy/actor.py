"""The base class of actors: a coroutine that exclusively owns its state and reads messages from a mailbox.

An exception ends only the actor in which it is raised: it is logged, and ``cleanup`` releases the resources.
"""

from __future__ import annotations

import asyncio
from asyncio import Queue
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

import structlog

log = structlog.get_logger("saltcourse")
Message = TypeVar("Message")
_tasks: set[asyncio.Task[Any]] = set()  # strong references, because the event loop keeps only weak ones


async def _log_failure(work: Coroutine[Any, Any, Any], name: str) -> None:
    try:
        await work
    except Exception:
        log.exception("task failed", task=name)


def spawn(work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[None]:
    """Run ``work`` in a new task called ``name``; log an exception that it raises with this name."""
    task = asyncio.get_running_loop().create_task(_log_failure(work, name), name=name)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


class Actor(Generic[Message]):
    """Base class of actors; subclasses implement ``run`` and, if they own resources, ``cleanup``."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.mailbox: Queue[Message] = Queue()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start ``run`` in its own task."""
        self.task = spawn(self._run_and_clean_up(), self.name)

    def send(self, message: Message) -> None:
        """Put a message into the mailbox; never blocks."""
        self.mailbox.put_nowait(message)

    async def _run_and_clean_up(self) -> None:
        try:
            await self.run()
        finally:
            self.cleanup()

    async def run(self) -> None:
        """Run the actor until its work is done."""
        raise NotImplementedError

    def cleanup(self) -> None:
        """Release resources; called exactly once, after ``run`` has returned, raised or been cancelled."""
