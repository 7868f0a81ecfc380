"""A health check over a real socket."""

from __future__ import annotations

import asyncio

from saltcourse.balancing.events import AttemptStatus, HealthCheckFinished, LoadReport
from saltcourse.proxy.clock import Clock
from saltcourse.proxy.health_check import HealthCheck


def test_a_health_check_returns_the_load_report_of_its_answer() -> None:
    """Guards against dropping all load reports on real sockets: 3.6 health checks per request were wasted."""

    async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await reader.readline() == b"STATS\r\n"
        writer.write(b"PONG q=0,x0=0.276\r\n")

    async def check() -> HealthCheckFinished:
        result: asyncio.Future[HealthCheckFinished] = asyncio.get_running_loop().create_future()
        async with await asyncio.start_server(backend, "127.0.0.1", 0) as server:
            address = server.sockets[0].getsockname()[:2]
            HealthCheck("s0", address, True, Clock(), result.set_result).start()
            return await result

    finished = asyncio.run(check())
    assert finished.status is AttemptStatus.OK
    assert finished.report == LoadReport(queue=0, load=0.276)
