"""The checker of safety properties, with records that satisfy them and records that violate them."""

from __future__ import annotations

import pytest

from saltcourse.emulator.scale.records import Confirmed, Lifecycle, Record
from saltcourse.emulator.scale.safety import BreachKind, find_breaches
from tests.emulator.scale.cases import configuration_seen

VALID_RECORDS = [
    configuration_seen(1, 0, 1, 1, 11),
    configuration_seen(2, 0, 1, 2, 12),
    configuration_seen(3, 0, 6, 3, 13),
    configuration_seen(1.5, 1, 1, 1, 11),
    configuration_seen(3.5, 1, 6, 3, 13),
    Lifecycle(4, 1, "kill"),
    Lifecycle(5, 1, "start"),
    configuration_seen(6, 1, 1, 2, 12),
    configuration_seen(7, 1, 6, 3, 13),
    Confirmed(3.1, 3, 0, 6, 3),
]


def test_valid_records_show_no_breach() -> None:
    assert find_breaches(VALID_RECORDS) == []
    assert find_breaches(reversed(VALID_RECORDS)) == []


@pytest.mark.parametrize(
    ("violation", "kind"),
    [
        (configuration_seen(8, 0, 1, 2, 12), BreachKind.VERSION_REGRESSION),
        (configuration_seen(8, 0, 6, 3, 13), BreachKind.VERSION_REGRESSION),  # the same version twice
        (configuration_seen(8, 0, 1, 4, 14), BreachKind.EPOCH_REGRESSION),
        (configuration_seen(8, 0, 6, 4, 14, torn=(4,)), BreachKind.TORN_CHANGE),
        (configuration_seen(8, 2, 6, 3, 99), BreachKind.DIVERGENCE),
        (configuration_seen(8, 2, 7, 3, 13), BreachKind.DIVERGENCE),
        (
            configuration_seen(8, 2, 2, 4, 14),
            BreachKind.EPOCH_REGRESSION,
        ),  # at another member than the newer one
        (Confirmed(8, 9, 0, 5, 3), BreachKind.LOST_CONFIRMED_CHANGE),
    ],
)
def test_each_kind_of_breach_is_detected(violation: Record, kind: BreachKind) -> None:
    """One record violates one safety property in an otherwise valid run. The checker must report its kind."""
    assert kind in [breach.kind for breach in find_breaches([*VALID_RECORDS, violation])]
