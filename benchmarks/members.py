"""What membership costs at rest: ``python benchmarks/members.py [--quick]``.

Sites of 3, 9 and 31 members on loopback, all in one process and on real UDP: CPU and bytes a second for each
member, and of one that is sent 10,000 junk datagrams a second. A ratio to an asyncio loop that only receives
the same datagrams is given beside the latter. The last line is one JSON object.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import sys
import time
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from saltcourse.address_failover.authentication import DatagramAuthenticator
from saltcourse.address_failover.host import ElectionHost
from saltcourse.address_failover.timing import ElectionTiming
from saltcourse.address_failover.voters import ElectionConfig, Voter

SIZES = (3, 9, 31)
JUNK_A_SECOND, JUNK_TICK = 10_000, 0.01
SETTLE = 2.0  # s until one holds


class Counted(ElectionHost):
    sent = 0  # bytes, of all members

    def _send(self, receiver: str, data: bytes) -> None:
        Counted.sent += len(data) + 28  # IPv4 and UDP headers
        super()._send(receiver, data)


class Sink(asyncio.DatagramProtocol):
    """The control: takes datagrams and does nothing."""


def places(count: int) -> list[tuple[str, int]]:
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    found = [sock.getsockname() for sock in socks]
    for sock in socks:
        sock.close()
    return found


async def site(count: int) -> list[Counted]:
    voters = tuple(Voter(f"m{i}", priority=count - i) for i in range(count))
    where = dict(zip([s.name for s in voters], places(count), strict=True))
    key, members = os.urandom(32), []
    for number, voter in enumerate(voters):
        others = {n: p for n, p in where.items() if n != voter.name}
        member = Counted(
            ElectionConfig(voters, voter.name, ElectionTiming()),
            DatagramAuthenticator(voter.name, time.time_ns() // 1000 + number, [key], others),
            number,
            None,
        )
        await member.start(where[voter.name])
        members.append(member)
    await asyncio.sleep(SETTLE)
    return members


async def at_rest(count: int, seconds: float) -> tuple[float, float]:
    """CPU share and bytes a second, each for one member."""
    members = await site(count)
    held = sum(m.is_holder for m in members)
    if held != 1:
        raise SystemExit(f"{held} of {count} members hold")
    cpu, sent, began = time.process_time(), Counted.sent, time.monotonic()
    await asyncio.sleep(seconds)
    took = time.monotonic() - began
    found = (time.process_time() - cpu) / took / count, (Counted.sent - sent) / took / count
    for member in members:
        member.close()
    return found


async def junk(address: tuple[str, int], seconds: float) -> float:
    """CPU share of this process while junk comes, the sending included."""
    draw = random.Random(1)
    data = [b"SC\x01" + draw.randbytes(150) for _ in range(64)]
    cpu, began, sent = time.process_time(), time.monotonic(), 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        while (past := time.monotonic() - began) < seconds:
            while sent < past * JUNK_A_SECOND:
                sock.sendto(data[sent % 64], address)
                sent += 1
            await asyncio.sleep(JUNK_TICK)
    return (time.process_time() - cpu) / (time.monotonic() - began)


async def junk_ratio(seconds: float) -> tuple[float, float, bool]:
    members = await site(3)
    held = next(m for m in members if m.is_holder)
    assert held._socket is not None
    ours = await junk(held._socket.get_extra_info("sockname"), seconds)
    still = held.is_holder
    for member in members:
        member.close()
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(Sink, local_addr=("127.0.0.1", 0))
    control = await junk(transport.get_extra_info("sockname"), seconds)
    transport.close()
    return ours, control, still


@click.command()
@click.option("--quick", is_flag=True, help="Two seconds each.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
def main(quick: bool, only_json: bool) -> None:
    """Measure what membership costs at rest and under junk."""
    seconds = 2.0 if quick else 10.0
    result: dict[str, float | bool] = {}
    try:
        for count in SIZES:
            cpu, sent = asyncio.run(at_rest(count, seconds))
            result |= {
                f"members_{count}_cpu_share_each": round(cpu, 5),
                f"members_{count}_sent_bytes_a_second_each": round(sent),
            }
            if not only_json:
                click.echo(f"{count:3} members: {cpu:.3%} of a core and {sent:.0f} bytes a second each")
        ours, control, still = asyncio.run(junk_ratio(seconds))
    except KeyboardInterrupt:
        sys.exit(130)
    result |= {
        "junk_10000_a_second_cpu_share": round(ours, 4),
        "junk_control_cpu_share": round(control, 4),
        "junk_cpu_ratio": round(ours / control, 2),
        "junk_still_holding": still,
    }
    if not only_json:
        click.echo(
            f"10,000 junk datagrams a second: {ours:.1%} of a core (control {control:.1%}), "
            f"{'still holding' if still else 'lost the address'}"
        )
    click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
