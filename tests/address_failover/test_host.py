"""Members, sessions and programs on real sockets of loopback. Audited by the route server's record; what is
timed is timed in the simulation and in benchmarks, here only order and outcome count."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from saltcourse.address_failover.authentication import DatagramAuthenticator, DropReason
from saltcourse.address_failover.bgp_announcer import BgpAnnouncer
from saltcourse.address_failover.bgp_session import Peering
from saltcourse.address_failover.command_announcer import CommandAnnouncer
from saltcourse.address_failover.host import ElectionHost
from saltcourse.address_failover.timing import ElectionTiming
from saltcourse.address_failover.vote_store import VoteStore
from saltcourse.address_failover.voters import ElectionConfig, Voter
from saltcourse.emulator.route_server import RouteServer

ADDRESS = "192.0.2.7"
VOTERS = (Voter("n0", 2), Voter("n1", 1), Voter("w", witness=True))
KEY = b"k" * 32
PATIENCE = 20.0  # s that a slow machine may take for what takes one


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.01)


class Site:
    """Three members on loopback; n0 and n1 each announce at the route servers that they are given."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in VOTERS]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        self.addresses = {s.name: sock.getsockname() for s, sock in zip(VOTERS, socks, strict=True)}
        for sock in socks:
            sock.close()
        self.servers = [RouteServer(64512), RouteServer(64512)]
        self.members: dict[str, ElectionHost] = {}
        self.incarnation = 1

    async def start(self, at: dict[str, list[int]]) -> None:
        for server in self.servers:
            await server.start()
        for name in ("n0", "w", "n1"):  # n0 has its votes before n1 is there to ask for them
            await self.start_one(name, at.get(name, []))
            if name == "w":
                await until(lambda: self.members["n0"].is_holder)

    async def start_one(self, name: str, at: list[int]) -> None:
        self.incarnation += 1
        announcer = None
        if at:
            peering = Peering(64512, 64512, f"10.0.0.{name[-1]}")
            route_servers = [("127.0.0.1", self.servers[i].port) for i in at]
            announcer = BgpAnnouncer(ADDRESS, f"10.0.0.{name[-1]}", peering, route_servers, self.incarnation)
        others = {n: p for n, p in self.addresses.items() if n != name}
        member = ElectionHost(
            ElectionConfig(VOTERS, name, ElectionTiming()),
            DatagramAuthenticator(name, self.incarnation, [KEY], others),
            self.incarnation,
            announcer,
            VoteStore(self.folder / name, name),
        )
        await member.start(self.addresses[name])
        self.members[name] = member

    def hop(self, server: int = 0) -> str:
        best = self.servers[server].best(ADDRESS)
        return str(best.next_hop) if best else ""

    def kill(self, name: str) -> None:
        """As kill -9 does: sockets are gone, nothing is sent."""
        member = self.members[name]
        member.close()
        assert isinstance(member.announcer, BgpAnnouncer)
        for connection in member.announcer.connections:
            if connection._writer is not None:
                connection._writer.transport.abort()
            connection.close()
            connection.execute([])

    async def end(self) -> None:
        for member in self.members.values():
            await member.leave()
        for server in self.servers:
            server.crash()


def play(folder: Path, at: dict[str, list[int]], scenario: Callable[[Site], Awaitable[None]]) -> None:
    async def run() -> None:
        site = Site(folder)
        await site.start(at)
        try:
            await until(lambda: site.members["n0"].is_holder and "10.0.0.0" in (site.hop(0), site.hop(1)))
            await scenario(site)
        finally:
            await site.end()

    asyncio.run(run())


BOTH = {"n0": [0, 1], "n1": [0, 1]}


def test_a_killed_holder_is_replaced_and_when_it_returns_the_healthy_one_stays(tmp_path: Path) -> None:
    # The holder's process is killed and nothing is withdrawn. The other member takes over when the lease has
    # expired, and the one that returns, of higher priority, does not take the lease back.
    async def scenario(site: Site) -> None:
        site.kill("n0")
        await until(lambda: site.hop(0) == site.hop(1) == "10.0.0.1")
        await site.start_one("n0", [0, 1])
        await asyncio.sleep(1.5)
        assert site.members["n1"].is_holder and not site.members["n0"].is_holder and site.hop() == "10.0.0.1"

    play(tmp_path, BOTH, scenario)


def test_a_planned_leave_withdraws_before_the_next_announces(tmp_path: Path) -> None:
    # The holder leaves at once after its start, when the next one does not know its term yet: the rank of the
    # new route must be higher all the same.
    async def scenario(site: Site) -> None:
        await site.members["n0"].leave()
        await until(lambda: site.hop() == "10.0.0.1")
        order = [(change.peer, change.route is not None) for change in site.servers[0].record]
        assert order[:3] == [("10.0.0.0", True), ("10.0.0.0", False), ("10.0.0.1", True)]
        first, second = (
            change.route.local_pref for change in site.servers[0].record if change.route is not None
        )
        assert first is not None and second is not None and second > first

    play(tmp_path, BOTH, scenario)


def test_a_holder_that_receives_nothing_withdraws_before_another_announces(tmp_path: Path) -> None:
    # The holder's socket is dead, its BGP sessions are not: only its own lease can make it withdraw.
    async def scenario(site: Site) -> None:
        transport = site.members["n0"]._socket
        assert transport is not None
        transport.close()
        await until(lambda: site.hop() == "10.0.0.1")
        order = [(change.peer, change.route is not None) for change in site.servers[0].record]
        assert order == [("10.0.0.0", True), ("10.0.0.0", False), ("10.0.0.1", True)]

    play(tmp_path, BOTH, scenario)


@pytest.mark.parametrize("how", ["crashes", "hangs"])
def test_a_holder_that_can_announce_nowhere_transfers_its_lease(how: str, tmp_path: Path) -> None:
    # The holder's only route server crashes, or hangs with the session open; the other member has another
    # one.
    async def scenario(site: Site) -> None:
        if how == "crashes":
            site.servers[0].crash()
        else:
            site.servers[0].hangs = True
        await until(lambda: site.hop(1) == "10.0.0.1")
        assert not site.members["n0"].is_holder
        site.servers[0].hangs = False

    play(tmp_path, {"n0": [0], "n1": [1]}, scenario)


def test_members_know_each_other_s_incarnation_before_they_need_it(tmp_path: Path) -> None:
    # A member restarts and the witness, which has sent it nothing since, does not know its new process. The
    # next transfer of the lease would lose its first vote request, and take 60 ms longer.
    async def scenario(site: Site) -> None:
        site.kill("n1")
        await asyncio.sleep(0.05)  # its port is free only after the loop has been round
        await site.start_one("n1", [0, 1])
        one, witness = site.members["n1"].authenticator, site.members["w"].authenticator
        await until(
            lambda: (
                one.peers["w"].incarnation == witness.incarnation
                and witness.peers["n1"].incarnation == one.incarnation
            )
        )

    play(tmp_path, BOTH, scenario)


def test_junk_changes_nothing_and_is_counted(tmp_path: Path) -> None:
    # Somebody floods the holder's port with random bytes, half of them behind the right first bytes.
    async def scenario(site: Site) -> None:
        draw = random.Random(4)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for i in range(2000):
                junk = draw.randbytes(draw.randrange(600)) if i % 2 else b"SC\x01" + draw.randbytes(90)
                sock.sendto(junk, site.addresses["n0"])
                if i % 100 == 0:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        dropped = site.members["n0"].authenticator.dropped
        assert dropped[DropReason.MALFORMED] > 500 and dropped[DropReason.UNKNOWN_KEY] > 500
        assert site.members["n0"].is_holder and len(site.servers[0].record) == 1

    play(tmp_path, BOTH, scenario)


def test_a_vote_that_cannot_be_stored_is_not_sent(tmp_path: Path) -> None:
    # The witness's disk fails as the holder leaves. A vote that it sent but forgot could be given twice, so
    # it stops, and the member that is left has no majority.
    async def scenario(site: Site) -> None:
        witness = site.members["w"]
        assert witness.vote_store is not None
        witness.vote_store.close()
        await site.members["n0"].leave()
        await until(lambda: witness._socket is not None and witness._socket.is_closing())
        assert not site.members["n1"].is_holder  # it has no majority

    play(tmp_path, BOTH, scenario)


PROGRAM = """
import sys, time
open({log!r}, "a").write(" ".join(sys.argv[1:]) + "\\n")
mode = open({mode!r}).read()
time.sleep(30 if mode == "hang" else 0)
sys.exit(mode == "fail")
"""


@pytest.mark.parametrize("mode", ["fail", "hang"])
def test_a_program_that_fails_or_hangs_makes_the_member_unavailable_for_a_while(
    mode: str, tmp_path: Path
) -> None:
    # The operator's program fails to announce, or hangs and is killed. The member must not hold the address
    # until a while has passed, and still has to withdraw what the program may have announced.
    log, how = tmp_path / "log", tmp_path / "mode"
    (tmp_path / "program.py").write_text(PROGRAM.format(log=str(log), mode=str(how)))

    async def run() -> None:
        how.write_text("work")
        reports: list[bool] = []
        announcer = CommandAnnouncer(ADDRESS, [sys.executable, str(tmp_path / "program.py")], timeout=2.0)
        announcer.start(reports.append)
        announcer.announce(65)
        await announcer._queue.join()
        assert reports == [True]
        how.write_text(mode)
        announcer.announce(129)
        await until(lambda: reports == [True, False])
        how.write_text("work")
        announcer.withdraw(129)
        await until(lambda: reports == [True, False, True])
        await announcer.stop("done")
        assert log.read_text().splitlines() == [
            f"announce {ADDRESS} 65",
            f"announce {ADDRESS} 129",
            f"withdraw {ADDRESS} 129",
        ]

    asyncio.run(run())
