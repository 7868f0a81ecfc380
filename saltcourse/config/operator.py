"""Reads all sections of the operator's file; each section has its own reader module.

This module needs protobuf and is imported only if there is an operator's file. It maps the names of the
sections to the features: ``membership`` configures address failover, ``fleet`` configures shared state.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.config.operator_address_failover import AddressFailoverSettings, read_address_failover
from saltcourse.config.operator_file import OperatorFile
from saltcourse.config.operator_shared_state import read_shared_state

if TYPE_CHECKING:  # imported at run time only if the file has this section
    from saltcourse.config.operator_gossip import GossipSettings


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The settings of each section; None if the section is absent, which disables the feature."""

    address_failover: AddressFailoverSettings | None
    shared_state: SharedStateSettings | None
    gossip: GossipSettings | None = None

    def sections(self) -> list[str]:
        """Return the names of the sections that are present in the file."""
        by_name = {
            "membership": self.address_failover,
            "fleet": self.shared_state,
            "gossip": self.gossip,
        }
        return [name for name, settings in by_name.items() if settings is not None]


def read_operator(path: Path, own_name: str) -> OperatorSettings:
    """Read the file; ``own_name`` is the name of this instance if a section does not set ``me``.

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
