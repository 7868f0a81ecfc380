"""Detection of the operator's changes in the configuration of a gossip member."""

from __future__ import annotations

from saltcourse.emulator.scale.gossip import change_writes, changes_of, configuration_digest, is_torn


def test_a_partially_applied_change_is_detected() -> None:
    """A change writes two keys. A member that applied only one of them has a torn change."""
    complete = {key: value for key, value in change_writes(3) if value is not None}
    assert changes_of(complete) == (3,) and changes_of(["other", "scale/x/left"]) == ()
    assert not is_torn(3, complete)
    partial = dict(list(complete.items())[:1])
    assert is_torn(3, partial) and is_torn(3, {})
    assert configuration_digest(complete) == configuration_digest(dict(reversed(complete.items())))
    assert configuration_digest(complete) != configuration_digest(partial)
