"""Receives snapshots: checks each part, keeps the one transfer under way, applies it when it is complete."""

from __future__ import annotations

from collections import Counter

from saltcourse.gossip.configuration import ApplyOutcome, FleetConfiguration, PositionRelation
from saltcourse.gossip.fetching import Fetcher
from saltcourse.gossip.messages import MAX_CONFIGURATION_BYTES, Address, Send, SnapshotPart
from saltcourse.gossip.settings import Timing
from saltcourse.gossip.snapshots import INFINITY, PartFault, SnapshotTransfer, is_well_formed


class SnapshotReceiver:
    """At most one transfer.

    It begins with the first part that answers a fetch. One that nobody serves any more is given up: its parts
    are kept until a new fetch shows what the others have.
    """

    def __init__(
        self, timing: Timing, configuration: FleetConfiguration, fetcher: Fetcher, counters: Counter[str]
    ) -> None:
        self._timing = timing
        self._configuration = configuration
        self._fetcher = fetcher
        self._counters = counters
        self._transfer: SnapshotTransfer | None = None

    @property
    def active(self) -> bool:
        """While it is, no changes are fetched: the answer would be a snapshot."""
        return self._active_transfer is not None

    def receive(self, now: float, source: Address, part: SnapshotPart) -> list[Send]:
        """Take one part; a part that is rejected is counted by its reason."""
        fault = self._fault_of(part)
        if fault is None:
            return self._accept(now, source, part)
        self._counters[f"snapshot_{fault.name.lower()}"] += 1
        if self._transfer is not None:
            self._transfer.reject(source)
        return self.tick(now)

    def tick(self, now: float) -> list[Send]:
        """Request missing parts that are ready to be requested; end a transfer that is no longer needed."""
        transfer = self._transfer
        if transfer is None:
            return []
        if not self._configuration.is_ahead(transfer.assembly.position):
            self._transfer = None  # changes have come that were applied without it
            return self._fetch_more(now)
        sends = transfer.tick(now)
        return sends + self._fetch_more(now) if transfer.given_up else sends

    def next_deadline(self) -> float:
        """When ``tick`` is to be called, in seconds on the clock of ``now``."""
        transfer = self._active_transfer
        return INFINITY if transfer is None else transfer.next_deadline()

    @property
    def _active_transfer(self) -> SnapshotTransfer | None:
        transfer = self._transfer
        return None if transfer is None or transfer.given_up else transfer

    def _fault_of(self, part: SnapshotPart) -> PartFault | None:
        relation = self._configuration.relate(part.position)
        if relation is not PositionRelation.AHEAD:
            return PartFault[relation.name]
        if part.size > MAX_CONFIGURATION_BYTES:
            return PartFault.TOO_LARGE
        if not is_well_formed(part):
            return PartFault.MALFORMED
        transfer = self._active_transfer
        if transfer is not None and not transfer.assembly.is_of(part):
            same_position = part.position == transfer.assembly.position
            return PartFault.CONFLICT if same_position else PartFault.MOVED_ON
        if self._transfer is None and not self._fetcher.waiting:
            return PartFault.UNSOLICITED
        return None

    def _accept(self, now: float, source: Address, part: SnapshotPart) -> list[Send]:
        transfer = self._transfer_for(now, source, part)
        transfer.receive(part)
        if transfer.assembly.is_complete:
            return self._finish(now, source, transfer)
        return self.tick(now)

    def _transfer_for(self, now: float, source: Address, part: SnapshotPart) -> SnapshotTransfer:
        """The one that ``part`` belongs to: under way, taken up again, or begun with it."""
        transfer = self._active_transfer
        if transfer is not None:
            return transfer
        transfer = self._transfer
        if transfer is not None and transfer.assembly.is_of(part):
            transfer.resume(now, source)
        else:
            transfer = SnapshotTransfer(now, self._timing, part, source, self._fetcher.choose_server)
            self._counters["snapshot_transfers"] += 1
        self._transfer = transfer
        self._fetcher.settle()
        return transfer

    def _finish(self, now: float, source: Address, transfer: SnapshotTransfer) -> list[Send]:
        self._transfer = None
        checkpoint = transfer.assembly.checkpoint()
        outcome = ApplyOutcome.INVALID
        if checkpoint.digest == transfer.assembly.digest:
            outcome = self._configuration.load(checkpoint)
        self._counters[f"snapshot_{outcome.name.lower()}"] += 1
        if outcome is ApplyOutcome.INVALID:
            self._fetcher.retry_later(now, avoid=source)
            return []
        return self._fetch_more(now)

    def _fetch_more(self, now: float) -> list[Send]:
        """Changes that were made while the transfer went on, if any are known of."""
        self._fetcher.prune(now)
        if self._fetcher.waiting or not self._fetcher.behind:
            return []
        return self._fetcher.fetch(now)
