"""The mechanisms that a scale run can measure. Each is imported only where it runs."""

from __future__ import annotations

from saltcourse.emulator.scale.simulated_member import SimulatedMember

MESH, GOSSIP = "mesh", "gossip"


def member_class(mechanism: str) -> type[SimulatedMember]:
    """The member class of a mechanism.

    Raises ImportError where the mechanism is not part of this version of the program.
    """
    if mechanism == MESH:
        from saltcourse.emulator.scale.mesh import MeshMember

        return MeshMember
    from saltcourse.emulator.scale.gossip import GossipMember

    return GossipMember
