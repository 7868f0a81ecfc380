"""Settings of a gossip node: who it is, which members it asks first, and its intervals."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltcourse.gossip.messages import Address, MemberId, MemberRecord, Role, member_id

PROXY_BYTES_PER_S = 21_000.0  # docs/CAPACITY.md: what control may cost a proxy, sent plus received
CONTROL_BYTES_PER_S = 250_000.0  # control members have machines of their own, and answer many at once


def default_bytes_per_s(role: Role) -> float:
    """Return the byte budget of a role, sent plus received."""
    return CONTROL_BYTES_PER_S if role is Role.CONTROL else PROXY_BYTES_PER_S


@dataclass(frozen=True, slots=True)
class Timing:
    """Seconds, unless stated otherwise. The same at all members."""

    probe_interval: float = 1.0  # one member is probed in each
    probe_timeout: float = 0.4  # for a direct answer, then relays are asked; above any round trip
    indirect_probes: int = 3  # members asked to probe for this one
    suspicion_multiplier: float = 4.0  # times log10 of the fleet times the interval: until a suspect is dead
    gossip_interval: float = 0.2  # between messages of updates alone, while there are any to send
    gossip_fanout: int = 3  # members that each of them goes to
    retransmit_multiplier: float = 3.0  # times log10 of the fleet: how often one update is passed on
    sync_interval: float = 10.0  # between comparisons of the member table with a random member
    reconnect_interval: float = 2.0  # between probes of members that are believed dead
    forget_after: float = 3_600.0  # since a member died or left
    zone_silence: float = 3.0  # without a datagram from a whole zone before its suspicions are held
    stall: float = 3.0  # by which a tick may be late before this process counts as stalled
    announce_fanout: int = 4  # members notified of a change that was just applied
    fetch_timeout: float = 0.5  # until another member is asked
    snapshot_bytes_per_s: float = 8_000.0  # that a late joiner asks for
    heartbeat_interval: float = 1.0  # of the publisher
    takeover_after: float = 2.5  # without a heartbeat before another voter tries to publish
    stale_after: float = 10.0  # without a heartbeat before a member reports that it may be behind
    publish_timeout: float = 4.0  # until a change that found no majority is reported as failed
    tally_interval: float = 1.0  # between sums sent up the aggregation tree
    sum_interval: float = 5.0  # between sums of a zone sent to all: each is passed on as often as an update


@dataclass(frozen=True, slots=True)
class Voter:
    """A control member that takes part in the agreement on changes. All members know the same list."""

    name: str
    address: Address

    @property
    def id(self) -> MemberId:
        """The id that belongs to the name."""
        return member_id(self.name)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All that a node needs to know at its start."""

    own_record: MemberRecord  # with a ``process_id`` drawn at this start; the incarnation may be 0
    seeds: tuple[Address, ...]  # asked for the member table at the start, and again while nobody is known
    voters: tuple[Voter, ...]
    key: bytes  # shared by all members; authenticates each datagram
    bytes_per_s: float = PROXY_BYTES_PER_S  # sent and received, IP and UDP headers included
    timing: Timing = field(default_factory=Timing)
