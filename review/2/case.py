"""Case 2: where lists are pushed, the proxy never asks its agent and goes on sending to a draining server."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import standins
from standins import Client, Discovery, ProxyProcess, PushServer, Record, ServerList

TROUBLE = os.environ.get("TROUBLE") != "0"
PROXIES, SERVERS, DRAINING = 4, 12, 3  # a quarter of the push servers begin to drain
SLOTS_PER_SERVER = 50
CONNECTIONS_PER_SECOND, MEAN_LIFE_SECONDS = 11.0, 30.0
GROUPS = [f"{0x5C0F6E1A2B3D4C00 + number:016x}" for number in range(6)]
DRAIN_AT, STOP_AT, END_AT = 8.0, 32.0, 35.0  # seconds of the run, which begins once all proxies are ready
DRAIN_GRACE_SECONDS = 3.0 + 0.05  # obligations.drain_grace, and 50 ms on sockets


class Day:
    """One run: four proxies and twelve push servers of which three begin to drain."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = random.Random(1)
        self.list = ServerList()
        self.servers = [
            PushServer(f"s-{n:02}", f"site-{'abcd'[n % 4]}", SLOTS_PER_SERVER, record) for n in range(SERVERS)
        ]
        self.leaving = self.servers[:DRAINING]
        self.agents = [Discovery(f"agent of n{n}", self.list, record) for n in range(PROXIES)]
        self.proxies: list[ProxyProcess] = []
        self.clients: list[Client] = []
        self.told_at = float("inf")
        self.not_moved: list[str] = []

    async def start(self) -> bool:
        """Start everything; return whether all proxies are ready within 30 s."""
        for server in self.servers:
            await server.start()
            self.list.add(server.entry())
        for agent in self.agents:
            await agent.start()
        peers = [f"{standins.HOST}:{standins.free_port()}" for _ in range(PROXIES)]
        for number in range(PROXIES):
            self.proxies.append(ProxyProcess(self._config(number, peers), self.record))
            await self.proxies[-1].start()
        return all([await proxy.wait_until_ready(30.0) for proxy in self.proxies])

    def _config(self, number: int, peers: list[str]) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": f"{standins.HOST}:{standins.free_port()}",
            "admin": f"{standins.HOST}:{standins.free_port()}",
            "discovery": f"{standins.HOST}:{self.agents[number].port}",
            "seed": f"{self.random.getrandbits(60):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": self.list.whole(),
            "settings": standins.casa_main_settings(PROXIES, number),
            "peer_listen": peers[number],
            "peers": peers,
        }

    async def run(self) -> None:
        """Let clients come and go; the disruption comes in between."""
        begin = self.record.now()
        trouble = asyncio.create_task(self._disrupt(begin))
        while (now := self.record.now()) < begin + END_AT:
            client = Client(self._port, f"c=rider-stream,d=3000,g={self._group()}", 3.0, self.record)
            self.clients.append(client)
            life = self.random.expovariate(1 / MEAN_LIFE_SECONDS)
            client.start(min(life, begin + END_AT - now), self.random)
            await asyncio.sleep(self.random.expovariate(CONNECTIONS_PER_SECOND))
        await trouble
        for client in self.clients:
            client.leave()

    def _port(self) -> int:
        """Return the client port of the proxy that the front deals the next connection to."""
        return int(self.random.choice(self.proxies).config["listen"].rpartition(":")[2])

    def _group(self) -> str:
        return self.random.choice(GROUPS)

    async def _disrupt(self, begin: float) -> None:
        if not TROUBLE:
            return
        await asyncio.sleep(begin + DRAIN_AT - self.record.now())
        for server in self.leaving:
            server.is_draining = True
        names = [server.name for server in self.leaving]
        self.list.set_state(names, "DRAINING")  # each agent has it, and would answer at once
        self.told_at = self.record.now()
        self.record.conclude(f"{self.told_at:.2f} s: {', '.join(names)} drain, and all agents tell it")
        await asyncio.sleep(begin + STOP_AT - self.record.now())
        self.not_moved = [request for server in self.leaving for request in server.connections]
        self.list.set_state(names, "DELETED")
        for server in self.leaving:
            server.stop()
        self.record.conclude(f"{self.record.now():.2f} s: {', '.join(names)} have stopped")

    async def end(self) -> None:
        """End all proxies."""
        for proxy in self.proxies:
            proxy.send_signal(signal.SIGTERM)
        for proxy in self.proxies:
            await proxy.end(3.0 + 0.7)

    def judge(self) -> int:
        """Say what was seen, and return the exit code."""
        outcomes = Counter(o.split(" ")[0] for client in self.clients for _, _, o in client.outcomes)
        self.record.conclude(f"clients' connections by outcome: {dict(sorted(outcomes.items()))}")
        calls = {agent.name: agent.calls for agent in self.agents}
        self.record.conclude(f"calls that each agent got in the whole run: {calls}")
        if not outcomes["UP-left"]:
            self.record.conclude("no client was served, so the run shows nothing")
            return standins.COULD_NOT_RUN
        limit = self.told_at + DRAIN_GRACE_SECONDS
        late = [at for server in self.leaving for at in server.opened if at > limit]
        lost = {r for client in self.clients for _, r, o in client.outcomes if o == "UP-cut"}
        cut = [request for request in self.not_moved if request in lost]
        if late:
            self.record.conclude(
                f"BROKEN: {len(late)} OPEN lines came to draining push servers more than "
                f"{DRAIN_GRACE_SECONDS} s after the agents had it, the last {max(late) - self.told_at:.1f} s"
            )
        if cut:
            self.record.conclude(
                f"BROKEN: {len(cut)} clients were cut when their push server left, without MOVE"
            )
        return standins.BROKEN if late or cut else standins.HELD


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
