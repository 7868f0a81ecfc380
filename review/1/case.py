"""Case 1: a proxy hangs, and answers nobody, while one push server sends it an answer that never ends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import standins
from standins import Client, Discovery, Front, ProxyProcess, PushServer, Record, ServerList

TROUBLE = os.environ.get("TROUBLE") != "0"
PROXIES, SERVERS, SLOTS_PER_SERVER = 2, 8, 60  # one of the eight push servers is the one that is spoilt
CONNECTIONS_PER_SECOND, MEAN_LIFE_SECONDS = 5.3, 30.0
SPOIL_AT, END_AT = 6.0, 26.0  # seconds of the run, which begins once all proxies are ready
GIVE_UP_SECONDS = 1.2
LATEST_ANSWER_SECONDS = 0.5 + 0.05  # after its time a request that got no answer is lost; 50 ms on sockets
KILL_SECONDS = 1.2 + 0.7  # from SIGTERM to SIGKILL: the longest deadline and 0.7 s
SPOILT_NAME = "s-spoilt"


class Day:
    """One run: two proxies and eight push servers, of which one begins to give spoilt answers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = random.Random(1)
        self.list = ServerList()
        names = [f"s-{n:02}" for n in range(SERVERS - 1)]
        self.servers = [PushServer(name, "lima-1", SLOTS_PER_SERVER, record) for name in names]
        self.discovery = Discovery("discovery", self.list, record)
        self.proxies: list[ProxyProcess] = []
        self.clients: list[Client] = []
        self.spoilt: asyncio.subprocess.Process | None = None
        self.spoilt_output: asyncio.Task[None] | None = None
        self.front: Front | None = None
        self.memory: dict[str, int] = {}

    async def start(self) -> bool:
        """Start everything; return whether all proxies are ready within 30 s."""
        await self._start_spoilt_server()
        for server in self.servers:
            await server.start()
            self.list.add(server.entry())
        await self.discovery.start()
        for number in range(PROXIES):
            self.proxies.append(ProxyProcess(self._config(number), self.record))
            await self.proxies[-1].start()
        return all([await proxy.wait_until_ready(30.0) for proxy in self.proxies])

    async def _start_spoilt_server(self) -> None:
        program = Path(__file__).with_name("spoilt_server.py")
        self.spoilt = await asyncio.create_subprocess_exec(
            sys.executable, str(program), stdout=asyncio.subprocess.PIPE
        )
        assert self.spoilt.stdout is not None
        port = int(await self.spoilt.stdout.readline())
        sound = PushServer(SPOILT_NAME, "lima-1", SLOTS_PER_SERVER, self.record)
        self.list.add(sound.entry() | {"addr": f"{standins.HOST}:{port}"})
        self.spoilt_output = asyncio.create_task(self._record_output(self.spoilt.stdout))

    async def _record_output(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            self.record.write(f"{SPOILT_NAME}: {line.decode().rstrip()}")

    def _config(self, number: int) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": f"{standins.HOST}:{standins.free_port()}",
            "admin": f"{standins.HOST}:{standins.free_port()}",
            "discovery": f"{standins.HOST}:{self.discovery.port}",
            "seed": f"{self.random.getrandbits(60):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": self.list.whole(),
            "settings": standins.lima_push_settings(PROXIES, number),
        }

    async def run(self) -> None:
        """Let clients come and go; the disruption comes in between."""
        ports = {proxy.name: int(proxy.config["listen"].rpartition(":")[2]) for proxy in self.proxies}
        self.front = Front(ports, self.random, self.record)
        begin = self.record.now()
        trouble = asyncio.create_task(self._disrupt(begin))
        while (now := self.record.now()) < begin + END_AT:
            fields = f"c=live-feed,t=diario-lima,d={GIVE_UP_SECONDS * 1000:.0f},g=5c0f6e1a2b3d4c59"
            # The client waits as long as an answer may come, although it has given up by then.
            patience = GIVE_UP_SECONDS + LATEST_ANSWER_SECONDS
            client = Client(self.front.port, fields.replace("59", self._group()), patience, self.record)
            self.clients.append(client)
            life = self.random.expovariate(1 / MEAN_LIFE_SECONDS)
            client.start(min(life, begin + END_AT - now), self.random)
            await asyncio.sleep(self.random.expovariate(CONNECTIONS_PER_SECOND))
        await trouble
        await asyncio.sleep(GIVE_UP_SECONDS + LATEST_ANSWER_SECONDS)
        self.front.stop()
        for client in self.clients:
            client.leave()

    def _group(self) -> str:
        return f"{self.random.randrange(8):02}"

    async def _disrupt(self, begin: float) -> None:
        await asyncio.sleep(begin + SPOIL_AT - self.record.now())
        if TROUBLE and self.spoilt is not None:
            self.spoilt.send_signal(signal.SIGUSR1)
            self.record.conclude(
                f"{self.record.now():.2f} s: from now on the answers of {SPOILT_NAME} are spoilt"
            )

    async def end(self) -> None:
        """End all processes."""
        self.memory = {proxy.name: proxy.peak_memory_mb() for proxy in self.proxies}
        for proxy in self.proxies:
            proxy.send_signal(signal.SIGTERM)
        for proxy in self.proxies:
            await proxy.end(KILL_SECONDS)
        if self.spoilt is not None:
            with contextlib.suppress(ProcessLookupError):
                self.spoilt.kill()
            await self.spoilt.wait()

    def judge(self) -> int:
        """Say what was seen, and return the exit code."""
        outcomes = Counter(o.split(" ")[0] for client in self.clients for _, _, o in client.outcomes)
        self.record.conclude(f"clients' connections by outcome: {dict(sorted(outcomes.items()))}")
        assert self.front is not None
        silence = {name: round(seconds, 1) for name, seconds in self.front.longest_silence.items()}
        self.record.conclude(f"longest time (s) without an answer to PING: {silence}")
        self.record.conclude(f"peak memory (MB): {self.memory}")
        codes = {proxy.name: proxy.exit_code for proxy in self.proxies}
        self.record.conclude(f"exit codes after SIGTERM, -9 if it took longer than {KILL_SECONDS} s: {codes}")
        if not outcomes["UP-left"]:
            self.record.conclude("no client was served, so the run shows nothing")
            return standins.COULD_NOT_RUN
        lost = outcomes["none"] + outcomes["cut"]
        if lost:
            self.record.conclude(
                f"BROKEN: {lost} requests got no final answer within {GIVE_UP_SECONDS} s "
                f"and {LATEST_ANSWER_SECONDS} s more"
            )
        return standins.BROKEN if lost else standins.HELD


async def play(record: Record) -> int:
    """Play the day and judge it."""
    day = Day(record)
    try:
        if not await day.start():
            record.conclude("the proxies were not ready within 30 s")
            return standins.COULD_NOT_RUN
        await day.run()
    finally:
        await day.end()
        for proxy in day.proxies:
            proxy.remove_folder()
    return day.judge()


if __name__ == "__main__":
    the_record = Record(Path(__file__).with_name("record.txt"))
    sys.exit(asyncio.run(standins.run_case(the_record, play)))
