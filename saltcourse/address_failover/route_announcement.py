"""How a claim reaches the network: BGP sessions to route servers, or the operator's own program.

An announcer is told ``announce(term)`` and ``withdraw(term)`` in the order in which they hold, and says
through ``told`` whether it is able to announce; a member that isn't must not hold the address.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from typing import Protocol

import structlog

from saltcourse.address_failover import bgp_session as sp
from saltcourse.address_failover.bgp_session import Peering, Speaker, ranked
from saltcourse.address_failover.messages import MOST_MEMBERS

COMMAND_TIME = 1.0  # s for the operator's program; then it is killed and counts as failed
FIRST_REST, LONGEST_REST = 1.0, 30.0  # s for which a failed program keeps a member from holding; doubles
GOODBYE_TIME = 0.2  # s for a last message to leave

log = structlog.get_logger("saltcourse")


class Announcing(Protocol):
    """``able`` once at least one way to announce works."""

    able: bool

    def start(self, told: Callable[[bool], None]) -> None: ...

    def announce(self, term: int) -> None: ...

    def withdraw(self, term: int) -> None: ...

    async def stop(self, why: str) -> None: ...


class Session:
    """One speaker's socket and timer; everything that it does is told by the speaker."""

    def __init__(
        self,
        host: str,
        port: int,
        peering: Peering,
        seed: int,
        changed: Callable[[], None],
        source: str | None = None,
    ) -> None:
        self.speaker, self.name = Speaker(peering, seed), f"{host}:{port}"
        self.able = False
        self._host, self._port, self._source, self._changed = host, port, source, changed
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._wake: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def carry_out(self, actions: Sequence[sp.Action]) -> None:
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None
        for action in actions:
            match action:
                case sp.Dial():
                    self._task = self._loop.create_task(self._run())
                case sp.Write(data):
                    if self._writer is not None:
                        self._writer.write(data)
                case sp.HangUp():
                    self._hang_up()
                case sp.Wake(at):
                    self._wake = self._loop.call_at(at, self._tick)
                case sp.Stands(able, reason):
                    self.able = able
                    log.info("route server", name=self.name, able=able, reason=reason)
                    self._changed()

    def _tick(self) -> None:
        self.carry_out(self.speaker.tick(self._loop.time()))

    def _hang_up(self) -> None:
        task, self._task = self._task, None
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close()
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    async def _run(self) -> None:
        """One connection, from dialling to its end. A hung-up one says nothing any more."""
        me = asyncio.current_task()
        reason = "the connection ended"
        try:
            local = (self._source, 0) if self._source else None
            reader, writer = await asyncio.open_connection(self._host, self._port, local_addr=local)
            if self._task is not me:
                writer.close()
                return
            self._writer = writer
            self.carry_out(self.speaker.connected(self._loop.time()))
            while data := await reader.read(4096):
                self.carry_out(self.speaker.received(self._loop.time(), data))
                if self._task is not me:
                    return
        except OSError as wrong:
            reason = wrong.strerror or str(wrong)
        if self._task is me:
            self._task = None
            if self._writer is not None:
                self._writer.close()
                self._writer = None
            self.carry_out(self.speaker.closed(self._loop.time(), reason))


class BgpAnnouncer:
    """Announces at every route server; able while a session to any of them stands."""

    def __init__(
        self,
        address: str,
        next_hop: str,
        peering: Peering,
        servers: Sequence[tuple[str, int]],
        seed: int,
        source: str | None = None,
    ) -> None:
        self.address, self.next_hop, self.peering = address, next_hop, peering
        self.able = False
        self.sessions = [
            Session(host, port, peering, seed + i, self._look, source)
            for i, (host, port) in enumerate(servers)
        ]
        self._told: Callable[[bool], None] = lambda able: None

    def start(self, told: Callable[[bool], None]) -> None:
        self._told = told
        now = asyncio.get_running_loop().time()
        for session in self.sessions:
            session.carry_out(session.speaker.start(now))

    def _look(self) -> None:
        able = any(s.able for s in self.sessions)
        if able is not self.able:
            self.able = able
            self._told(able)

    def announce(self, term: int) -> None:
        route = ranked(self.address, self.next_hop, term // MOST_MEMBERS, self.peering)
        for session in self.sessions:
            session.carry_out(session.speaker.want(asyncio.get_running_loop().time(), route))

    def withdraw(self, term: int) -> None:
        for session in self.sessions:
            session.carry_out(session.speaker.want(asyncio.get_running_loop().time(), None))

    async def stop(self, why: str) -> None:
        for session in self.sessions:
            session.carry_out(session.speaker.stop(asyncio.get_running_loop().time(), why))
        await asyncio.sleep(0)


class CommandAnnouncer:
    """Runs ``PROGRAM... announce|withdraw ADDRESS TERM``, one at a time and in order.

    Exit code 0 is success. A program that fails to announce, or hangs, makes this member unable for a while;
    one that fails to withdraw is run again until it succeeds, for a claim that stays behind is worse.
    """

    def __init__(self, address: str, program: Sequence[str], timeout: float = COMMAND_TIME) -> None:
        self.address, self.program, self.timeout = address, list(program), timeout
        self.able = False
        self._told: Callable[[bool], None] = lambda able: None
        self._queue: asyncio.Queue[tuple[str, int]] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None
        self._rest = FIRST_REST

    def start(self, told: Callable[[bool], None]) -> None:
        self._told = told
        self._task = asyncio.get_running_loop().create_task(self._work())
        self._say(True)

    def announce(self, term: int) -> None:
        self._queue.put_nowait(("announce", term))

    def withdraw(self, term: int) -> None:
        self._queue.put_nowait(("withdraw", term))

    async def stop(self, why: str) -> None:
        """What is still to be withdrawn is given its time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.timeout + GOODBYE_TIME):
                await self._queue.join()
        if self._task is not None:
            self._task.cancel()

    def _say(self, able: bool) -> None:
        if able is not self.able:
            self.able = able
            self._told(able)

    async def _work(self) -> None:
        while True:
            what, term = await self._queue.get()
            try:
                worked = await self._run(what, term)
                while what == "withdraw" and not worked:
                    await asyncio.sleep(FIRST_REST)
                    worked = await self._run(what, term)
                if worked:
                    self._rest = FIRST_REST
                else:
                    self._say(False)
                    asyncio.get_running_loop().call_later(self._rest, self._say, True)
                    self._rest = min(LONGEST_REST, 2 * self._rest)
            finally:
                self._queue.task_done()

    async def _run(self, what: str, term: int) -> bool:
        said = dict(program=self.program[0], what=what, address=self.address, term=term)
        try:
            process = await asyncio.create_subprocess_exec(
                *self.program, what, self.address, str(term), stdin=asyncio.subprocess.DEVNULL
            )
        except OSError as wrong:
            log.error("the announcing program can't be run", reason=wrong.strerror, **said)
            return False
        try:
            async with asyncio.timeout(self.timeout):
                code = await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
            log.error("the announcing program hangs", after=self.timeout, **said)
            return False
        if code:
            log.error("the announcing program failed", code=code, **said)
        return code == 0
