"""The proxy's own configuration, validated and with defaults filled in."""

from __future__ import annotations

from dataclasses import dataclass

from saltcourse.balancing.settings import Settings
from saltcourse.codec.endpoint_list import Address, EndpointUpdate

# Fields of Config that a reload does not apply, because sockets, names and decisions depend on them; it logs
# their changes. Changes to ``known``, ``measures_message_latency``, ``limits.cores`` and ``limits.memory_mb``
# are neither applied nor logged.
RESTART_REQUIRED_KEYS = ("name", "listen", "admin", "seed", "settings", "peers")


@dataclass(frozen=True, slots=True)
class Limits:
    """Resource limits of the process: processor cores, memory in megabytes, open file descriptors."""

    cores: float
    memory_mb: float
    sockets: int


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """The addresses at which proxies of the same tier reach each other.

    ``proxies`` is in the order of the deployment's ``self_index``; ``own_index`` is this proxy's index in it.
    ``broadcast`` reaches all of them; it is None if the platform has no such address.
    """

    listen: Address
    proxies: tuple[Address, ...]
    broadcast: Address | None
    own_index: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy.

    ``known``: the initial endpoint list, used until discovery sends one.
    ``measures_message_latency``: whether the latency of messages on open connections is measured, as input to
    the decisions.
    ``admin``: the operators' address; None disables the admin server.
    ``peers``: None if this proxy shares no state with others.
    ``listen_fd``: a listening socket inherited from the platform, used instead of binding ``listen``.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    known: EndpointUpdate
    settings: Settings
    measures_message_latency: bool
    admin: Address | None = None
    peers: PeerAddresses | None = None
    listen_fd: int | None = None
