"""An actor: one coroutine that alone owns its state and takes messages from its mailbox.

An exception ends that actor and nothing else: it is logged, and ``cleanup`` gives back what it held.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

import structlog
from tornado.queues import Queue

log = structlog.get_logger("saltcourse")
Message = TypeVar("Message")
_tasks: set[asyncio.Task[Any]] = set()  # the loop itself holds tasks weakly


async def _guarded(work: Coroutine[Any, Any, Any], what: str) -> None:
    try:
        await work
    except Exception:
        log.exception("task failed", task=what)


def spawn(work: Coroutine[Any, Any, Any], what: str) -> asyncio.Task[None]:
    """Run beside the caller; a failure is logged under ``what``."""
    task = asyncio.get_running_loop().create_task(_guarded(work, what), name=what)
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
        self.task = spawn(self._live(), self.name)

    def tell(self, message: Message) -> None:
        self.mailbox.put_nowait(message)

    async def _live(self) -> None:
        try:
            await self.run()
        finally:
            self.cleanup()

    async def run(self) -> None:
        raise NotImplementedError

    def cleanup(self) -> None:
        """Called once, however ``run`` ended."""
