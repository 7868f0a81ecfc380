"""All sections of the operator's file, each read in its own module. Imported only when there is a file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from saltcourse.balancing.settings import SharedStateSettings
from saltcourse.config.operator_address_failover import RELOADED, MembershipSettings, read_membership
from saltcourse.config.operator_file import OperatorFile
from saltcourse.config.operator_shared_state import read_fleet

if TYPE_CHECKING:  # nothing of it is imported where the file does not have the section
    from saltcourse.config.operator_gossip import GossipSettings

VARIABLE = "SALTCOURSE_OPERATOR"


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """None for a section that is left out: it is switched off."""

    membership: MembershipSettings | None
    fleet: SharedStateSettings | None
    gossip: GossipSettings | None = None


def read_operator(path: Path, me: str) -> OperatorSettings:
    """``me`` is the name of this instance where the file does not give it."""
    file = OperatorFile(path)
    return OperatorSettings(read_membership(file, me), read_fleet(file), _read_gossip(file, me))


def _read_gossip(file: OperatorFile, me: str) -> GossipSettings | None:
    if not file.message.HasField("gossip"):
        return None
    from saltcourse.config.operator_gossip import read_gossip

    return read_gossip(file, me)


def operator_path(given: str | None, environment: Mapping[str, str]) -> Path | None:
    found = given or environment.get(VARIABLE)
    return Path(found) if found else None


__all__ = ["RELOADED", "VARIABLE", "MembershipSettings", "OperatorSettings", "operator_path", "read_operator"]
