"""Members, sessions and programs on real sockets of loopback. Judged by the route server's record; what is
timed is timed in the simulation and in benchmarks, here only order and outcome count."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from saltcourse.address_failover.authentication import Drop, Seal
from saltcourse.address_failover.bgp_session import Peering
from saltcourse.address_failover.host import Member
from saltcourse.address_failover.messages import Seat, Timing
from saltcourse.address_failover.route_announcement import BgpAnnouncer, CommandAnnouncer
from saltcourse.address_failover.vote_store import VoteStore
from saltcourse.emulator.route_server import RouteServer

ADDRESS = "192.0.2.7"
SEATS = (Seat("n0", 2), Seat("n1", 1), Seat("w", witness=True))
KEY = b"k" * 32
PATIENCE = 20.0  # s that a slow machine may take for what takes one


async def until(so: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not so():
            await asyncio.sleep(0.01)


class Site:
    """Three members on loopback; n0 and n1 each announce at the route servers that they are given."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in SEATS]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        self.places = {s.name: sock.getsockname() for s, sock in zip(SEATS, socks, strict=True)}
        for sock in socks:
            sock.close()
        self.servers = [RouteServer(64512), RouteServer(64512)]
        self.members: dict[str, Member] = {}
        self.boot = 1

    async def start(self, at: dict[str, list[int]]) -> None:
        for server in self.servers:
            await server.start()
        for name in ("n0", "w", "n1"):  # n0 has its votes before n1 is there to ask for them
            await self.start_one(name, at.get(name, []))
            if name == "w":
                await until(lambda: self.members["n0"].holding)

    async def start_one(self, name: str, at: list[int]) -> None:
        self.boot += 1
        announcer = None
        if at:
            peering = Peering(64512, 64512, f"10.0.0.{name[-1]}")
            places = [("127.0.0.1", self.servers[i].port) for i in at]
            announcer = BgpAnnouncer(ADDRESS, f"10.0.0.{name[-1]}", peering, places, self.boot)
        others = {n: p for n, p in self.places.items() if n != name}
        member = Member(
            SEATS,
            Seal(name, self.boot, [KEY], others),
            Timing(),
            self.boot,
            announcer,
            VoteStore(self.folder / name, name),
        )
        await member.start(self.places[name])
        self.members[name] = member

    def hop(self, server: int = 0) -> str:
        best = self.servers[server].best(ADDRESS)
        return str(best.next_hop) if best else ""

    def kill(self, name: str) -> None:
        """As kill -9 does: sockets are gone, nothing is said."""
        member = self.members[name]
        member.close()
        assert isinstance(member.announcer, BgpAnnouncer)
        for session in member.announcer.sessions:
            if session._writer is not None:
                session._writer.transport.abort()
            session._hang_up()
            session.carry_out([])

    async def end(self) -> None:
        for member in self.members.values():
            await member.leave()
        for server in self.servers:
            server.die()


def play(folder: Path, at: dict[str, list[int]], story: Callable[[Site], Awaitable[None]]) -> None:
    async def run() -> None:
        site = Site(folder)
        await site.start(at)
        try:
            await until(lambda: site.members["n0"].holding and "10.0.0.0" in (site.hop(0), site.hop(1)))
            await story(site)
        finally:
            await site.end()

    asyncio.run(run())


BOTH = {"n0": [0, 1], "n1": [0, 1]}


def test_a_killed_holder_is_replaced_and_when_it_returns_the_healthy_one_stays(tmp_path: Path) -> None:
    async def story(site: Site) -> None:
        site.kill("n0")
        await until(lambda: site.hop(0) == site.hop(1) == "10.0.0.1")
        await site.start_one("n0", [0, 1])
        await asyncio.sleep(1.5)
        assert site.members["n1"].holding and not site.members["n0"].holding and site.hop() == "10.0.0.1"

    play(tmp_path, BOTH, story)


def test_a_planned_leave_withdraws_before_the_next_announces(tmp_path: Path) -> None:
    # Also at once after its start, when the next holder has not heard of its term yet: the rank must grow.
    async def story(site: Site) -> None:
        await site.members["n0"].leave()
        await until(lambda: site.hop() == "10.0.0.1")
        order = [(peer, route is not None) for _, peer, _, route in site.servers[0].record]
        assert order[:3] == [("10.0.0.0", True), ("10.0.0.0", False), ("10.0.0.1", True)]
        first, second = (r.local_pref for _, _, _, r in site.servers[0].record if r is not None)
        assert first is not None and second is not None and second > first

    play(tmp_path, BOTH, story)


def test_a_holder_that_hears_nobody_withdraws_by_itself_first(tmp_path: Path) -> None:
    async def story(site: Site) -> None:
        transport = site.members["n0"]._socket
        assert transport is not None
        transport.close()  # its announcer still works: only the lease tells it
        await until(lambda: site.hop() == "10.0.0.1")
        order = [(peer, route is not None) for _, peer, _, route in site.servers[0].record]
        assert order == [("10.0.0.0", True), ("10.0.0.0", False), ("10.0.0.1", True)]

    play(tmp_path, BOTH, story)


@pytest.mark.parametrize("how", ["dies", "hangs"])
def test_a_holder_that_can_announce_nowhere_gives_way_to_one_that_can(how: str, tmp_path: Path) -> None:
    async def story(site: Site) -> None:
        if how == "dies":
            site.servers[0].die()
        else:
            site.servers[0].hangs = True
        await until(lambda: site.hop(1) == "10.0.0.1")
        assert not site.members["n0"].holding
        site.servers[0].hangs = False

    play(tmp_path, {"n0": [0], "n1": [1]}, story)


def test_members_that_never_needed_each_other_know_each_other_s_process(tmp_path: Path) -> None:
    # A hand-over took 60 ms longer while its first question went to a witness that did not know the asker.
    async def story(site: Site) -> None:
        site.kill("n1")
        await asyncio.sleep(0.05)  # its port is free only after the loop has been round
        await site.start_one("n1", [0, 1])
        one, witness = site.members["n1"].seal, site.members["w"].seal
        await until(lambda: one.peers["w"].boot == witness.boot and witness.peers["n1"].boot == one.boot)

    play(tmp_path, BOTH, story)


def test_junk_and_strangers_change_nothing_and_are_counted(tmp_path: Path) -> None:
    async def story(site: Site) -> None:
        draw = random.Random(4)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for i in range(2000):
                junk = draw.randbytes(draw.randrange(600)) if i % 2 else b"SC\x01" + draw.randbytes(90)
                sock.sendto(junk, site.places["n0"])
                if i % 100 == 0:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        dropped = site.members["n0"].seal.dropped
        assert dropped[Drop.FORM] > 500 and dropped[Drop.KEY] > 500
        assert site.members["n0"].holding and len(site.servers[0].record) == 1

    play(tmp_path, BOTH, story)


def test_a_vote_that_can_not_be_kept_is_not_told(tmp_path: Path) -> None:
    async def story(site: Site) -> None:
        witness = site.members["w"]
        assert witness.store is not None
        witness.store.close()
        await site.members["n0"].leave()
        await until(lambda: witness._socket is not None and witness._socket.is_closing())
        assert not site.members["n1"].holding  # it has no majority

    play(tmp_path, BOTH, story)


PROGRAM = """
import sys, time
open({log!r}, "a").write(" ".join(sys.argv[1:]) + "\\n")
mode = open({mode!r}).read()
time.sleep(30 if mode == "hang" else 0)
sys.exit(mode == "fail")
"""


@pytest.mark.parametrize("mode", ["fail", "hang"])
def test_a_program_that_fails_or_hangs_makes_the_member_unable_for_a_while(mode: str, tmp_path: Path) -> None:
    log, how = tmp_path / "log", tmp_path / "mode"
    (tmp_path / "program.py").write_text(PROGRAM.format(log=str(log), mode=str(how)))

    async def run() -> None:
        how.write_text("work")
        said: list[bool] = []
        announcer = CommandAnnouncer(ADDRESS, [sys.executable, str(tmp_path / "program.py")], timeout=2.0)
        announcer.start(said.append)
        announcer.announce(65)
        await announcer._queue.join()
        assert said == [True]
        how.write_text(mode)
        announcer.announce(129)
        await until(lambda: said == [True, False])
        how.write_text("work")
        announcer.withdraw(129)
        await until(lambda: said == [True, False, True])
        await announcer.stop("done")
        assert log.read_text().splitlines() == [
            f"announce {ADDRESS} 65",
            f"announce {ADDRESS} 129",
            f"withdraw {ADDRESS} 129",
        ]

    asyncio.run(run())
