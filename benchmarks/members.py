"""Benchmark of the service-address election at rest: ``python benchmarks/members.py [--quick] [--json]``.

Elections of 3, 9 and 31 members run in one process over real UDP sockets on loopback. Measured are the share
of a core and the bytes sent per second, each per member. A second measurement sends 10,000 invalid datagrams
per second to the member that holds the address, and compares its CPU time with that of an asyncio endpoint
that ignores the same datagrams (the control). The last line is one JSON object.
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

SIZES = (3, 9, 31)  # members
JUNK_PER_S = 10_000  # invalid datagrams per second
JUNK_INTERVAL = 0.01  # seconds between two batches of invalid datagrams
ELECTION_SECONDS = 2.0  # the time in which one member acquires the address
IP_UDP_HEADER_BYTES = 28  # IPv4


class MeteredHost(ElectionHost):
    """An election member that adds up the bytes that all members of the process send."""

    sent_bytes = 0

    def _send(self, receiver: str, data: bytes) -> None:
        MeteredHost.sent_bytes += len(data) + IP_UDP_HEADER_BYTES
        super()._send(receiver, data)


class Sink(asyncio.DatagramProtocol):
    """The control, which ignores the datagrams that it receives."""


def free_addresses(count: int) -> list[tuple[str, int]]:
    """Return loopback addresses with different free UDP ports."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    addresses = [sock.getsockname() for sock in socks]
    for sock in socks:
        sock.close()
    return addresses


async def start_members(count: int) -> list[MeteredHost]:
    """Start an election of ``count`` members and wait until it has settled."""
    voters = tuple(Voter(f"m{i}", priority=count - i) for i in range(count))
    addresses = dict(zip([voter.name for voter in voters], free_addresses(count), strict=True))
    key, members = os.urandom(32), []
    for number, voter in enumerate(voters):
        others = {name: address for name, address in addresses.items() if name != voter.name}
        member = MeteredHost(
            ElectionConfig(voters, voter.name, ElectionTiming()),
            DatagramAuthenticator(voter.name, time.time_ns() // 1000 + number, [key], others),
            number,
            None,
        )
        await member.start(addresses[voter.name])
        members.append(member)
    await asyncio.sleep(ELECTION_SECONDS)
    return members


async def measure_at_rest(count: int, seconds: float) -> tuple[float, float]:
    """Return the share of a core and the bytes sent per second, each per member."""
    members = await start_members(count)
    holders = sum(m.is_holder for m in members)
    if holders != 1:
        raise SystemExit(f"{holders} of {count} members hold the address; expected 1")
    cpu, sent, began = time.process_time(), MeteredHost.sent_bytes, time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - began
    cpu_share = (time.process_time() - cpu) / elapsed / count
    bytes_per_s = (MeteredHost.sent_bytes - sent) / elapsed / count
    for member in members:
        member.close()
    return cpu_share, bytes_per_s


async def send_junk(address: tuple[str, int], seconds: float) -> float:
    """Send invalid datagrams and return the CPU share of this process, which includes the sending."""
    random_source = random.Random(1)
    data = [b"SC\x01" + random_source.randbytes(150) for _ in range(64)]
    cpu, began, sent = time.process_time(), time.monotonic(), 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        while (elapsed := time.monotonic() - began) < seconds:
            while sent < elapsed * JUNK_PER_S:
                sock.sendto(data[sent % 64], address)
                sent += 1
            await asyncio.sleep(JUNK_INTERVAL)
    return (time.process_time() - cpu) / (time.monotonic() - began)


async def measure_under_junk(seconds: float) -> tuple[float, float, bool]:
    """Return the CPU shares of the holder and of the control, and whether the holder kept the address."""
    members = await start_members(3)
    holder = next(m for m in members if m.is_holder)
    assert holder._socket is not None
    holder_share = await send_junk(holder._socket.get_extra_info("sockname"), seconds)
    still_holds = holder.is_holder
    for member in members:
        member.close()
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(Sink, local_addr=("127.0.0.1", 0))
    control_share = await send_junk(transport.get_extra_info("sockname"), seconds)
    transport.close()
    return holder_share, control_share, still_holds


@click.command()
@click.option("--quick", is_flag=True, help="Two seconds per measurement instead of ten.")
@click.option("--json", "only_json", is_flag=True, help="Print the JSON object only.")
def main(quick: bool, only_json: bool) -> None:
    """Measure the CPU and traffic of an election at rest, and its CPU under invalid datagrams."""
    seconds = 2.0 if quick else 10.0
    result: dict[str, float | bool] = {}
    try:
        for count in SIZES:
            cpu, sent = asyncio.run(measure_at_rest(count, seconds))
            result |= {
                f"members_{count}_cpu_share_each": round(cpu, 5),
                f"members_{count}_sent_bytes_a_second_each": round(sent),
            }
            if not only_json:
                click.echo(f"{count:3} members: {cpu:.3%} of a core and {sent:.0f} bytes/s per member")
        holder_share, control_share, still_holds = asyncio.run(measure_under_junk(seconds))
    except KeyboardInterrupt:
        sys.exit(130)
    result |= {
        "junk_10000_a_second_cpu_share": round(holder_share, 4),
        "junk_control_cpu_share": round(control_share, 4),
        "junk_cpu_ratio": round(holder_share / control_share, 2),
        "junk_still_holding": still_holds,
    }
    if not only_json:
        click.echo(
            f"{JUNK_PER_S:,} invalid datagrams/s: {holder_share:.1%} of a core "
            f"(control {control_share:.1%}), {'address kept' if still_holds else 'address lost'}"
        )
    click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
