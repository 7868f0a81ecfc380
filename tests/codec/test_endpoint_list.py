"""Valid and invalid endpoint updates from discovery."""

from __future__ import annotations

import pytest

from saltcourse.balancing.events import BackendState
from saltcourse.codec.endpoint_list import decode_endpoint_update
from saltcourse.codec.errors import EndpointListError


def test_valid_updates_are_decoded_and_invalid_updates_rejected() -> None:
    entry = b'{"id":"s","addr":"10.0.0.1:81","state":"DRAINING","started_ms":1500,"weight":2}'
    update = decode_endpoint_update(b'{"version":4,"full":false,"servers":[%s]}' % entry)
    endpoint = update.endpoints[0]
    assert (endpoint.state, endpoint.started, endpoint.weight) == (BackendState.DRAINING, 1.5, 2.0)
    assert update.addresses == {"s": ("10.0.0.1", 81)}
    removed = decode_endpoint_update(b'{"version":4,"full":false,"servers":[{"id":"s","state":"DELETED"}]}')
    assert removed.endpoints[0].state is BackendState.REMOVED and not removed.addresses
    for invalid in (
        b"",
        b"[]",
        b'{"version":1,"full":true}',
        b'{"version":true,"full":true,"servers":[]}',
        b'{"version":1,"full":true,"servers":[{"id":"s","state":"SERVING","addr":"x"}]}',
        b'{"version":1,"full":true,"servers":[{"id":1,"state":"SERVING","addr":"x:1"}]}',
    ):
        with pytest.raises(EndpointListError):
            decode_endpoint_update(invalid)
