"""A health check of a backend: PING or STATS on a separate connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from saltcourse.balancing.events import AttemptStatus, HealthCheckFinished, LoadReport
from saltcourse.codec.endpoint_list import Address
from saltcourse.codec.errors import ProtocolError
from saltcourse.codec.lines import LINE_END, NO, PING, PONG, STATS, parse_load_report, word_of
from saltcourse.proxy.actor import Actor
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.errors import ConnectionLostError, OutOfSocketsError
from saltcourse.proxy.sockets import open_socket
from saltcourse.proxy.stream import SocketStream

HEALTH_CHECK_TIMEOUT_SECONDS = 0.3  # for the connect, the write and the answer together


class HealthCheck(Actor[None]):
    """Runs one health check and calls ``on_finished`` exactly once with the result.

    The one exception is a health check whose task raises, which is logged as ``task failed``.
    """

    def __init__(
        self,
        backend: str,
        address: Address | None,
        with_load_report: bool,
        clock: Clock,
        on_finished: Callable[[HealthCheckFinished], None],
    ) -> None:
        super().__init__(f"health check of {backend}")
        self._backend = backend
        self._address = address
        self._with_load_report = with_load_report
        self._clock = clock
        self._on_finished = on_finished
        self._stream: SocketStream | None = None

    async def run(self) -> None:
        """Run the check and report its result; a backend without an address counts as unreachable."""
        started = self._clock.now()
        status = AttemptStatus.CONNECT_FAILED
        report = None
        try:
            if self._address is not None:
                async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_SECONDS):
                    status, report = await self._check(self._address)
        except OutOfSocketsError:
            status = AttemptStatus.NOT_SENT
        except TimeoutError:
            status = AttemptStatus.TIMEOUT
        except ConnectionLostError:
            status = AttemptStatus.CONNECT_FAILED
        except ProtocolError:
            status = AttemptStatus.ERROR
        elapsed = self._clock.now() - started
        self._on_finished(HealthCheckFinished(self._backend, status, elapsed, report))

    async def _check(self, address: Address) -> tuple[AttemptStatus, LoadReport | None]:
        self._stream = stream = SocketStream(open_socket(address))
        await stream.connect(address)
        await stream.write((STATS if self._with_load_report else PING) + LINE_END)
        line = await stream.next_line()
        if line is None:
            return AttemptStatus.RESET, None
        word = word_of(line)
        if word == NO:  # the backend currently answers no health checks, which does not mean it is unhealthy
            return AttemptStatus.NOT_SENT, None
        status = AttemptStatus.OK if word == PONG else AttemptStatus.ERROR
        return status, parse_load_report(line)

    def cleanup(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()
