"""The operator's changes in the configuration of a gossip member."""

from __future__ import annotations

from saltcourse.emulator.scale.gossip import change_writes, changes_of, configuration_digest, is_torn


def test_half_a_change_is_detected_in_a_configuration() -> None:
    """A change writes two keys. A member that applied only one of them has a torn change."""
    whole = {key: value for key, value in change_writes(3) if value is not None}
    assert changes_of(whole) == (3,) and changes_of(["other", "scale/x/left"]) == ()
    assert not is_torn(3, whole)
    half = dict(list(whole.items())[:1])
    assert is_torn(3, half) and is_torn(3, {})
    assert configuration_digest(whole) == configuration_digest(dict(reversed(whole.items())))
    assert configuration_digest(whole) != configuration_digest(half)
