"""An actor: one coroutine that alone owns its state and takes messages from its mailbox.

An exception ends that actor and nothing else: it is logged, and ``cleanup`` releases what it held.
"""

from __future__ import annotations

import asyncio
from asyncio import Queue
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

import structlog

log = structlog.get_logger("saltcourse")
Message = TypeVar("Message")
_tasks: set[asyncio.Task[Any]] = set()  # the loop itself holds tasks weakly


async def _log_failure(work: Coroutine[Any, Any, Any], name: str) -> None:
    try:
        await work
    except Exception:
        log.exception("task failed", task=name)


def spawn(work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[None]:
    """Run ``work`` beside the caller; a failure is logged under ``name``."""
    task = asyncio.get_running_loop().create_task(_log_failure(work, name), name=name)
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)
    return task


class Actor(Generic[Message]):
    """Subclasses write ``run`` and, where they hold something, ``cleanup``."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.mailbox: Queue[Message] = Queue()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin ``run`` in a task of its own."""
        self.task = spawn(self._run_to_cleanup(), self.name)

    def send(self, message: Message) -> None:
        """Put a message into the mailbox; it never blocks."""
        self.mailbox.put_nowait(message)

    async def _run_to_cleanup(self) -> None:
        try:
            await self.run()
        finally:
            self.cleanup()

    async def run(self) -> None:
        """The actor's life."""
        raise NotImplementedError

    def cleanup(self) -> None:
        """Called once, however ``run`` ended."""
