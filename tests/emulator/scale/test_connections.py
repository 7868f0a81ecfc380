"""Emulated client connections."""

from __future__ import annotations

from random import Random

from saltcourse.emulator.scale.connections import ConnectionChurn
from saltcourse.emulator.scale.scenario import Arrivals


def test_connections_arrive_and_end_at_the_configured_rates() -> None:
    connections = ConnectionChurn(Arrivals(2.0, 10.0, 1.0, 1), Random(5))
    assert len(connections.start(0.0)) == 20
    begun = sum(len(connections.begun(now / 10)) for now in range(2000))
    assert 300 < begun < 500
    connections.ended(200.0)
    assert 5 < len(connections) < 45
