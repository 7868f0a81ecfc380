"""Settings of a gossip node: its own record, the seeds, the voters, and its intervals and limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltcourse.gossip.messages import Address, MemberId, MemberRecord, Role, member_id

PROXY_BYTES_PER_S = 21_000.0  # control traffic of a proxy, sent plus received; see docs/CAPACITY.md
CONTROL_BYTES_PER_S = 250_000.0  # control members run on dedicated machines and answer many members at once


def default_bytes_per_s(role: Role) -> float:
    """Return the byte budget of a role in bytes per second, sent plus received."""
    return CONTROL_BYTES_PER_S if role is Role.CONTROL else PROXY_BYTES_PER_S


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts in seconds, unless stated otherwise. They must be the same for all members."""

    probe_interval: float = 1.0  # interval between probes; each probe goes to one member
    probe_timeout: float = 0.4  # time until relays are asked; must exceed any round-trip time
    indirect_probes: int = 3  # number of relays asked in one probe
    suspicion_multiplier: float = 4.0  # suspicion timeout: this * max(1, log10(fleet size)) * probe_interval
    gossip_interval: float = 0.2  # interval between rounds of Gossip messages while updates are queued
    gossip_fanout: int = 3  # members that receive a Gossip message in each round
    retransmit_multiplier: float = 3.0  # transmissions of one update: this * log10(fleet size + 1)
    sync_interval: float = 10.0  # interval between comparisons of the member table with a random member
    reconnect_interval: float = 2.0  # interval between Pings to members that are dead or in unreachable zones
    forget_after: float = 3_600.0  # time after which a dead or left member is removed from the table
    zone_silence: float = 3.0  # time without a datagram from a zone before it can become unreachable
    stall: float = 3.0  # delay of a tick after which this process counts as stalled
    announce_fanout: int = 4  # members to which a newly applied change is announced
    fetch_timeout: float = 0.5  # time until changes are requested from another member
    snapshot_bytes_per_s: float = 8_000.0  # bytes per second that a joining member requests of a snapshot
    heartbeat_interval: float = 1.0  # interval between heartbeats of the publisher
    takeover_after: float = 2.5  # time without a heartbeat before another voter tries to become the publisher
    stale_after: float = 10.0  # time without a heartbeat before a member reports its configuration as stale
    publish_timeout: float = 4.0  # time until a change without a majority of the voters is reported as failed
    tally_interval: float = 1.0  # interval between tallies sent to the parent in the aggregation tree
    sum_interval: float = 5.0  # interval between broadcasts of a zone sum, each as costly as a member update


@dataclass(frozen=True, slots=True)
class Voter:
    """A control member that votes on configuration changes. All members are configured with the same list."""

    name: str
    address: Address

    @property
    def id(self) -> MemberId:
        """Member id derived from the name."""
        return member_id(self.name)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Start-up settings of a gossip node."""

    own_record: MemberRecord  # ``process_id`` is random for each start; the incarnation may be 0
    seeds: tuple[Address, ...]  # asked for the member table at start-up and while no other member is known
    voters: tuple[Voter, ...]
    key: bytes  # shared by all members; authenticates each datagram
    bytes_per_s: float = PROXY_BYTES_PER_S  # sent plus received, including IP and UDP headers
    timing: Timing = field(default_factory=Timing)
