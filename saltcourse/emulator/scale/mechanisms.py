"""The mechanisms that a scale run can measure. A mechanism is imported only by the processes that run it."""

from __future__ import annotations

from saltcourse.emulator.scale.simulated_member import SimulatedMember

MESH, GOSSIP = "mesh", "gossip"


def member_class(mechanism: str) -> type[SimulatedMember]:
    """Return the member class of a mechanism.

    Raises ImportError if this version of the program does not include the mechanism.
    """
    if mechanism == MESH:
        from saltcourse.emulator.scale.mesh import MeshMember

        return MeshMember
    from saltcourse.emulator.scale.gossip import GossipMember

    return GossipMember
