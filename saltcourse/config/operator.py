"""All sections of the operator's file, each read in its own module.

Imported only where there is such a file: it needs protobuf. This is where the file's names of the sections
are mapped to the features: ``membership`` is address failover, ``fleet`` is shared state.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.config.operator_address_failover import AddressFailoverSettings, read_address_failover
from saltcourse.config.operator_file import OperatorFile
from saltcourse.config.operator_shared_state import read_shared_state

if TYPE_CHECKING:  # nothing of it is imported where the file does not have the section
    from saltcourse.config.operator_gossip import GossipSettings


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """What each section says; None where it is left out: the feature is switched off."""

    address_failover: AddressFailoverSettings | None
    shared_state: SharedStateSettings | None
    gossip: GossipSettings | None = None

    def sections(self) -> list[str]:
        """The sections that are there, by their names in the file."""
        by_name = {
            "membership": self.address_failover,
            "fleet": self.shared_state,
            "gossip": self.gossip,
        }
        return [name for name, settings in by_name.items() if settings is not None]


def read_operator(path: Path, own_name: str) -> OperatorSettings:
    """Read the file; ``own_name`` is the name of this instance where the file does not give it.

    Raises ``ConfigError``.
    """
    file = OperatorFile(path)
    return OperatorSettings(
        read_address_failover(file, own_name), read_shared_state(file), _read_gossip(file, own_name)
    )


def _read_gossip(file: OperatorFile, own_name: str) -> GossipSettings | None:
    if not file.message.HasField("gossip"):
        return None
    from saltcourse.config.operator_gossip import read_gossip

    return read_gossip(file, own_name)
